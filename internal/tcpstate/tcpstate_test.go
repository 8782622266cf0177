package tcpstate

import (
	"net"
	"testing"
	"time"
)

// connect returns both ends of a TCP connection and a function that calls ask with the descriptor of
// the second.
func connect(t *testing.T) (first, second *net.TCPConn, control func(ask func(fd uintptr))) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	second = accepted.(*net.TCPConn)
	raw, err := second.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return dialed.(*net.TCPConn), second, func(ask func(fd uintptr)) { raw.Control(ask) }
}

func TestUnreadBytesAndTheirAge(t *testing.T) {
	first, _, control := connect(t)
	first.Write(make([]byte, 300))
	const wait = 50 * time.Millisecond
	time.Sleep(wait)
	control(func(fd uintptr) {
		if n, err := Unread(fd); n != 300 || err != nil {
			t.Errorf("%d bytes unread, %v, want 300", n, err)
		}
		if age, err := SinceLastData(fd); age < wait/2 || err != nil {
			t.Errorf("last data %v ago, %v, want %v", age, err, wait)
		}
	})
}

func TestUnacknowledgedBytes(t *testing.T) {
	_, second, control := connect(t)
	second.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for {
		if _, err := second.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	control(func(fd uintptr) {
		if n, err := Unacknowledged(fd); n <= 0 || err != nil {
			t.Errorf("%d bytes unacknowledged with full buffers, %v", n, err)
		}
	})
}

func TestMaxSendBufferIsPlausible(t *testing.T) {
	if n := MaxSendBuffer(); n < 64<<10 {
		t.Errorf("%d bytes", n)
	}
}
