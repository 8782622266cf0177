package front

import (
	"net"
	"testing"
	"time"

	"chalkrack/internal/tcpstate"
)

// clockedConn returns a client's connection and the sidecar's side of it, read under a clock.
func clockedConn(t *testing.T) (client net.Conn, in *limitedConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	peeker := new(socketPeeker)
	peeker.attach(accepted)
	return client, &limitedConn{Conn: accepted, remaining: 1 << 40, clock: newLastByteClock(peeker, time.Now())}
}

func read(t *testing.T, in *limitedConn, size int) {
	t.Helper()
	if _, err := in.Read(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
}

// Bytes that lie unread don't move the clock on, however late they are read: the client may have
// written its last byte with them.
func TestUnreadBytesStopTheLastByteClock(t *testing.T) {
	client, in := clockedConn(t)
	client.Write(make([]byte, 3000))
	waitFor(t, "nothing arrives", func() bool { return in.clock.peeker.unread() == 3000 })
	written := time.Now()
	for range 3 {
		time.Sleep(20 * time.Millisecond)
		read(t, in, 1000)
		if at := in.clock.earliest(); at.After(written) {
			t.Fatalf("the clock stands %v after the bytes were written", at.Sub(written))
		}
	}
}

// A read that waits for the client shows that it is still writing.
func TestWaitingReadMovesTheLastByteClockOn(t *testing.T) {
	client, in := clockedConn(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		in.Read(make([]byte, 1000))
	}()
	waitFor(t, "the read never waits", func() bool { return time.Since(in.clock.earliest()) < time.Millisecond })
	time.Sleep(30 * time.Millisecond)
	asked := time.Now()
	if at := in.clock.earliest(); at.Before(asked) {
		t.Errorf("the clock stands %v in the past during a read that waits", asked.Sub(at))
	}
	client.Write(make([]byte, 1000))
	<-done
	if at := in.clock.earliest(); at.Before(asked.Add(-5 * time.Millisecond)) {
		t.Errorf("the clock stands %v before the last bytes were written", asked.Sub(at))
	}
}

// More bytes than the buffers hold cannot all have been written before the first of them was read.
func TestManyBytesMoveTheLastByteClockOn(t *testing.T) {
	client, in := clockedConn(t)
	go func() {
		piece := make([]byte, 1<<20)
		for {
			if _, err := client.Write(piece); err != nil {
				return
			}
		}
	}()
	waitFor(t, "nothing arrives", func() bool { return in.clock.peeker.unread() > 0 })
	began := time.Now()
	buffer := make([]byte, 64<<10)
	hidden := int64(in.clock.peeker.unread() + tcpstate.MaxSendBuffer())
	for in.clock.received < 8*hidden && !in.clock.earliest().After(began) {
		if _, err := in.Read(buffer); err != nil {
			t.Fatal(err)
		}
	}
	if !in.clock.earliest().After(began) {
		t.Errorf("the clock stands still after %d bytes, with %d hidden at the most", in.clock.received, hidden)
	}
	if len(in.clock.marks) > maxReadMarks {
		t.Errorf("%d marks, want %d at most", len(in.clock.marks), maxReadMarks)
	}
}
