package front

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// SetDraining sets whether each answer ends its connection. New connections are served in
// either case.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// CloseIdle ends the connections that have no open request and no bytes to read. It returns at
// once; the goroutine of each connection checks for bytes, and reads and answers a request that
// its client has sent by then.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.probeIdle(c)
	}
}

// probeIdle makes the goroutine of an idle connection end it, unless there are bytes to read:
// a read deadline in the past wakes it. The caller holds s.mu.
func (s *Server) probeIdle(c *conn) {
	if !c.busy && !c.closed && !c.ending && !c.probing {
		c.probing = true
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// keepAfterProbe reports whether a connection goes on after a read failed with err, because
// probeIdle caused that error and there are bytes to read. If there are none the connection is
// ending from here on. Ending it over a request would make the client send it again, perhaps
// to a process that is gone.
func (c *conn) keepAfterProbe(err error) bool {
	if !isTimeout(err) {
		return false
	}
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	probed := c.probing && !c.closed
	c.probing = false
	if probed && (c.br.Buffered() > 0 || c.peeker.hasPending()) {
		return true
	}
	c.ending = c.ending || probed // set under the lock, so that no one takes it for idle afterwards
	return false
}

// socketPeeker checks without blocking whether a connection has bytes to read. Each connection
// has one for its lifetime, so that a check costs a system call and no allocation.
type socketPeeker struct {
	mu       sync.Mutex
	raw      syscall.RawConn  // nil: the connection cannot be peeked at
	peekByte func(fd uintptr) // allocated once; sets n and err
	buf      [1]byte
	n        int
	err      error
}

// attach sets the connection. One without a file descriptor cannot be peeked at.
func (s *socketPeeker) attach(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	s.raw = raw
	s.peekByte = func(fd uintptr) {
		s.n, _, s.err = syscall.Recvfrom(int(fd), s.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
}

// peek returns the number of bytes to read, at most 1, and 0 at the end of the stream. It
// returns errNoPeek if the connection cannot be peeked at or is closed on this side, and
// EAGAIN if there is nothing to read.
func (s *socketPeeker) peek() (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw == nil {
		return 0, errNoPeek
	}
	s.n, s.err = 0, errNoPeek // remains if the connection is closed on this side, where Control fails
	s.raw.Control(s.peekByte)
	return s.n, s.err
}

// errNoPeek is the error for a connection that cannot be peeked at, or is closed on this side.
var errNoPeek = errors.New("front: cannot peek at this connection")

// hasPending reports whether there are bytes to read.
func (s *socketPeeker) hasPending() bool {
	n, err := s.peek()
	return err == nil && n > 0
}

// remoteClosed reports whether the remote end has closed the connection, also if bytes that
// it sent before are still unread.
func (s *socketPeeker) remoteClosed() bool {
	n, err := s.peek()
	return isRemoteClosed(n, err) || err == nil && s.inCloseWait()
}

// tcpCloseWait is the value of the first byte of TCP_INFO, the state, for a connection whose
// remote end has sent a FIN.
const tcpCloseWait = 8

// inCloseWait reports whether the kernel has received a FIN; false if the state is unavailable.
func (s *socketPeeker) inCloseWait() bool {
	state := 0
	s.raw.Control(func(fd uintptr) {
		if info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			state = info & 0xff
		}
	})
	return state == tcpCloseWait
}

// isRemoteClosed reports whether a result of peek means that the remote end has closed the
// connection.
func isRemoteClosed(n int, err error) bool {
	switch err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR, errNoPeek:
		return false
	default:
		return true
	}
}
