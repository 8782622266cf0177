package front

import (
	"net"
	"syscall"
	"testing"
)

// noDelay says whether small writes go out at once on a connection.
func noDelay(t *testing.T, nc net.Conn) bool {
	t.Helper()
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	on := 0
	raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
	if err != nil {
		t.Fatal(err)
	}
	return on == 1
}
