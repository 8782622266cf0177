package front

import (
	"errors"
	"net"
	"sync"
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
	return ending && (c.br.Buffered() > 0 || c.sight.pending())
}

// sight looks at what there is to read on a connection, and waits for nothing. It is made
// once for each: looking costs a system call and no allocation.
type sight struct {
	mu   sync.Mutex
	raw  syscall.RawConn  // nil: no look at this connection
	look func(fd uintptr) // of its own
	one  [1]byte
	n    int
	err  error
}

func (s *sight) of(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	s.raw = raw
	s.look = func(fd uintptr) {
		s.n, _, s.err = syscall.Recvfrom(int(fd), s.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
}

// peek is how many bytes there are to read, up to one.
func (s *sight) peek() (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw == nil {
		return 0, errNoPeek
	}
	s.n, s.err = 0, errNoPeek // where it is closed on this side nothing is looked at
	s.raw.Control(s.look)
	return s.n, s.err
}

// errNoPeek is for a connection that can't be looked at, or is closed on this side.
var errNoPeek = errors.New("front: no look at this connection")

// pending says whether there are bytes to read.
func (s *sight) pending() bool {
	n, err := s.peek()
	return err == nil && n > 0
}

// hungUp says whether the other side has ended the connection, and nothing is left to read
// before that.
func (s *sight) hungUp() bool {
	switch n, err := s.peek(); err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR, errNoPeek:
		return false
	default:
		return true
	}
}
