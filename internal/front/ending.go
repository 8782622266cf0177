package front

import (
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
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	some := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return err == nil && some
}
