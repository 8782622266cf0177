package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
)

// inherit takes up a listening socket that the platform holds, for every process of the
// sidecar, as a descriptor. What we do to our copy ends nothing of the others'. The error
// names BALANCER_FD.
func inherit(fd int, listen string) (net.Listener, error) {
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d: %w", fd, err)
	} else if on != 1 {
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "BALANCER_FD")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("BALANCER_FD: descriptor %d is %s, no TCP", fd, ln.Addr().Network())
	}
	if ln.Addr().String() != listen {
		slog.Warn("the inherited socket is another address than the configuration's", "socket", ln.Addr(), "listen", listen)
	}
	return ln, nil
}
