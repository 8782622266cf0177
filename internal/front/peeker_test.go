package front

import (
	"io"
	"net"
	"strings"
	"testing"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// remoteClosed reports the end of the stream behind unread bytes, and nothing before that.
func TestRemoteCloseSeenBehindUnreadBytes(t *testing.T) {
	nc, far := connPair(t)
	var peeker socketPeeker
	peeker.attach(far)
	if peeker.remoteClosed() {
		t.Error("remoteClosed is true for an open connection")
	}
	io.WriteString(nc, strings.Repeat("x", 20<<10))
	waitFor(t, "the bytes did not arrive", peeker.hasPending)
	if peeker.remoteClosed() {
		t.Error("remoteClosed is true for an open connection with unread bytes")
	}
	nc.(*net.TCPConn).CloseWrite()
	waitFor(t, "remoteClosed stays false after the remote end has closed", peeker.remoteClosed)
}

// Guards against requests that are sent on after their client has reset its connection with bytes
// still unread.
func TestResetSeenBehindUnreadBytes(t *testing.T) {
	nc, far := connPair(t)
	var peeker socketPeeker
	peeker.attach(far)
	io.WriteString(nc, strings.Repeat("x", 20<<10))
	waitFor(t, "the bytes did not arrive", peeker.hasPending)
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
	waitFor(t, "remoteClosed stays false after the remote end has reset the connection", peeker.remoteClosed)
}
