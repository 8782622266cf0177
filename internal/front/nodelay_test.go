package front

import (
	"net"
	"syscall"
	"testing"
)

// hasNoDelay reports whether TCP_NODELAY is set on nc, so that small writes are sent at once.
func hasNoDelay(t *testing.T, nc net.Conn) bool {
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
