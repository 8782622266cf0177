package front

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"chalkrack/internal/figures"
	"chalkrack/internal/message"
)

type conn struct {
	srv *Server
	nc  net.Conn
	in  capped

	listener string
	br       *bufio.Reader
	sight    sight

	// Where it is in its life, guarded by the server's lock. A connection is fresh until its
	// first byte, busy while a request is read (in its head at first) or answered, idle
	// between two, and ending from then on: half-closed by us, what still comes is read off
	// until its client has closed too, or a bound. Then, or when it gives way, it is shut.
	fresh  bool
	busy   bool
	head   bool
	ending bool // nothing that comes is taken any more
	half   bool // half-closed
	shut   bool // closed by the sidecar
	probed bool // its goroutine looks whether anything has come; if not, it ends
	ahead  bool // its goroutine reads on while a request waits for its answer
	flood  bool // its client has sent more behind a request than is kept
	told   bool // the answer of x says whether the connection goes on; what comes now is kept
	since  time.Time
	served sync.Cond // x became nil
	x      *Exchange // the request that waits for its answer

	began time.Time // what headTimeout counts from; the goroutine's own
	body  paced     // the body that is being read; the goroutine's own
}

// serve is a connection's goroutine. On a crowded server it refuses the one
// request of its connection.
func (c *conn) serve(crowded bool) {
	defer c.close()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic at a client connection", "panic", p, "stack", string(debug.Stack()))
			c.srv.mu.Lock()
			x := c.x
			c.srv.mu.Unlock()
			if x != nil && x.to.Gone(&x.Call) {
				x.Fail()
			}
		}
	}()
	for c.next() {
		x, status := c.read(crowded)
		switch {
		case status < 0:
			return
		case status > 0:
			c.reject(status)
			return
		case x == nil:
		default:
			if x.kept == nil || !x.kept.Coming() { // else it is not taken yet
				c.srv.cfg.Figures.Take(&x.entry, x.Class)
			}
			if !c.open(x) {
				slog.Warn("request turned away: its id is taken", "class", x.Class)
				x.answer(http.StatusConflict, "", nil, nil)
				x.Release()
				if x.unread {
					c.linger()
					return
				}
				continue
			}
			if c.hasLeft(x) {
				// Guards against a process that was stopped, or starved of its core: what
				// came meanwhile is read when it goes on, before the word that its client
				// has left since, and would be sent on for nobody.
				slog.Info("client left before its request was read", "class", x.Class)
				x.Release()
				return
			}
			x.to.Arrive(&x.Call)
			if x.kept != nil && x.kept.Coming() && !c.forward(x) {
				return
			}
		}
	}
}

// open makes x the request that waits for its answer, unless its id is open already.
// Guards against a client that sends another's id: servers would take the one for a
// repeat of the other.
func (c *conn) open(x *Exchange) bool {
	s := c.srv
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.open[x.ID]; taken {
		return false
	}
	s.open[x.ID] = x
	c.x, c.told = x, false
	return true
}

// free lets the id of a request be used again. It is called with the lock held.
func (s *Server) free(x *Exchange) {
	if s.open[x.ID] == x {
		delete(s.open, x.ID)
	}
}

// hasLeft says whether the client has closed its connection, behind whatever it has sent.
func (c *conn) hasLeft(x *Exchange) bool {
	if x.unread { // what is to be read is the body
		return false
	}
	for {
		n, err := c.sight.peek()
		switch {
		case err != nil || n == 0:
			return ended(n, err)
		case c.br.Buffered() == c.br.Size():
			return c.sight.closing()
		}
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			return true
		}
	}
}

// next waits for a request to begin. Guards against clients that connect and say
// nothing: each would hold a descriptor for as long as it likes.
func (c *conn) next() bool {
	c.in.left = maxHeadBytes
	first := c.began.IsZero()
	if first {
		c.began = time.Now()
		c.nc.SetReadDeadline(c.began.Add(headTimeout))
	}
	_, err := c.br.Peek(1)
	if err != nil && c.reprieved(err) {
		c.nc.SetReadDeadline(time.Now().Add(headTimeout))
		_, err = c.br.Peek(1)
	}
	if err == nil {
		err = c.attend()
	}
	if !first {
		c.began = time.Now()
	}
	s := c.srv
	s.mu.Lock()
	if err != nil && c.x != nil {
		x := c.x
		s.mu.Unlock()
		if x.to.Gone(&x.Call) {
			return false
		}
		s.mu.Lock()
	}
	for c.x != nil {
		c.served.Wait()
	}
	defer s.mu.Unlock()
	if err != nil || c.shut || c.ending {
		return false
	}
	c.busy, c.head, c.fresh, c.probed, c.since = true, true, false, false, time.Now()
	return true
}

var errFlood = errors.New("front: too much behind a request that waits for its answer")

// attend reads on while a request waits for its answer, so that the client's end is seen also
// behind bytes that it has sent ahead. What the buffer holds no more is thrown away, and the
// connection ends with the answer; past maxLingerBytes it is cut. An answer wakes it. Once the
// answer has told the client that the connection goes on, nothing is thrown away: what comes may
// be its next request, sent before this side has noted the answer's end.
func (c *conn) attend() error {
	s := c.srv
	var scratch []byte
	for most := maxLingerBytes; ; {
		s.mu.Lock()
		if c.x == nil {
			s.mu.Unlock()
			return nil
		}
		full := c.br.Buffered() == c.br.Size()
		if full && c.told && !c.flood {
			for c.x != nil {
				c.served.Wait()
			}
			s.mu.Unlock()
			return nil
		}
		c.ahead = true
		c.flood = c.flood || full
		s.mu.Unlock()
		var err error
		if full {
			if scratch == nil {
				scratch = make([]byte, 4<<10)
			}
			var n int
			if n, err = c.nc.Read(scratch); err == nil {
				if most -= n; most < 0 {
					err = errFlood
				}
			}
		} else {
			_, err = c.br.Peek(c.br.Buffered() + 1)
		}
		s.mu.Lock()
		c.ahead = false
		over := c.x == nil
		if over && !c.ending {
			c.nc.SetReadDeadline(time.Time{}) // by which the answer woke us
		}
		s.mu.Unlock()
		if over {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// close ends a connection for good. Guards against counting those that are gone:
// after as many clients as there is room for, all others would be turned away.
func (c *conn) close() {
	s := c.srv
	s.mu.Lock()
	if c.x != nil {
		s.free(c.x)
		c.x.entry.Over(figures.Left)
	}
	c.busy = false
	graceful := c.ending && !c.shut
	if graceful {
		c.since = time.Now()
		c.halfClose()
	}
	s.mu.Unlock()
	if graceful {
		io.CopyN(io.Discard, c.nc, maxLingerBytes) // until its client has closed too
	}
	s.mu.Lock()
	c.shut = true
	delete(s.conns, c)
	s.mu.Unlock()
	c.nc.Close()
}

// halfClose tells the client that nothing more comes; what still comes is read off, within a
// bound. Guards against a close over unread bytes, which turns into a reset and takes back an
// answer that was just written. It is called with the server's lock held.
func (c *conn) halfClose() {
	if c.half {
		return
	}
	c.half = true
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok {
		tc.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// reject answers what is no request and closes the connection, after reading off
// what the client still sends: closing at once would take the answer back. What it
// sends beyond maxLingerBytes is not worth the reading. Meanwhile the connection counts
// as idle, so that it gives way to others.
func (c *conn) reject(status int) { c.rejectWith(status, "") }

func (c *conn) rejectWith(status int, field string) {
	x := &Exchange{conn: c}
	b := append(message.AppendLength(x.head(nil, status, field, nil), 0), "\r\n"...)
	c.nc.SetWriteDeadline(time.Now().Add(lingerTimeout))
	c.nc.Write(b)
	c.linger()
}

// linger has the connection end in good order: its close reads off what the client still
// sends, for a while.
func (c *conn) linger() {
	c.srv.mu.Lock()
	c.ending = true
	c.srv.mu.Unlock()
}
