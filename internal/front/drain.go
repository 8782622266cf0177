package front

import "time"

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
