package front

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// SetDraining says whether answers end their connections. New ones are served all the
// same.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// EndIdle ends the connections on which nothing is open and nothing has come. Each is
// looked at by its own goroutine: what a client has sent by then is read and answered.
func (s *Server) EndIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.busy && !c.shut && !c.reading {
			c.ending = true
			c.nc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// reprieved says whether a connection that is to be ended goes on, for something has
// come. Guards against ending one over a request: its client would have to send it once
// more, and might find nobody.
func (c *conn) reprieved(err error) bool {
	ne, ok := err.(net.Error)
	if !ok || !ne.Timeout() {
		return false
	}
	c.srv.mu.Lock()
	ending := c.ending && !c.shut
	c.ending = false
	c.srv.mu.Unlock()
	return ending && (c.br.Buffered() > 0 || pending(c.nc))
}

// pending says whether there are bytes to read.
func pending(nc net.Conn) bool {
	n, err := peek(nc)
	return err == nil && n > 0
}

// hungUp says whether the other side has ended the connection, and nothing is left to read
// before that.
func hungUp(nc net.Conn) bool {
	switch n, err := peek(nc); err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR, errNoPeek:
		return false
	default:
		return true
	}
}

// errNoPeek is for a connection that can't be looked at, or is closed on this side.
var errNoPeek = errors.New("front: no look at this connection")

// peek looks at what there is to read, and waits for nothing.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, errNoPeek
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, errNoPeek
	}
	err = errNoPeek
	raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, err
}
