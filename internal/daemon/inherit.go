package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
)

// inheritListener returns a listener on descriptor fd, a socket that the platform holds for all
// processes of the sidecar. The descriptor is this process's own copy, so closing the listener does
// not affect the other processes. Errors name BALANCER_FD.
func inheritListener(fd int, listen string) (net.Listener, error) {
	if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d: %w", fd, err)
	} else if listening != 1 {
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d does not listen", fd)
	}
	file := os.NewFile(uintptr(fd), "BALANCER_FD")
	ln, err := net.FileListener(file)
	file.Close()
	if err != nil {
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d is a %s socket, want tcp", fd, ln.Addr().Network())
	}
	if ln.Addr().String() != listen {
		slog.Warn("the inherited socket's address differs from the configured one", "socket", ln.Addr(), "listen", listen)
	}
	return ln, nil
}
