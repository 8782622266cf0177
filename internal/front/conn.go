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
	"chalkrack/internal/httphead"
	"chalkrack/internal/message"
)

// conn is one client connection. Its goroutine runs serve.
type conn struct {
	srv *Server
	nc  net.Conn
	in  limitedConn

	listener string
	source   httphead.Source // reads from in
	br       *bufio.Reader   // reads from source
	peeker   socketPeeker

	// The state of the connection, guarded by the server's lock. A connection is fresh until
	// its first byte, busy while a request is read (inHead during its head) or answered, and
	// idle between requests. When it is ending, the sidecar half-closes it and discards what
	// still arrives, until the client closes too or a bound is reached. It is closed after
	// that, or when it is evicted.
	fresh        bool
	busy         bool
	inHead       bool
	ending       bool // no further request is accepted
	halfClosed   bool // the sidecar has shut down its write side
	closed       bool // closed by the sidecar
	probing      bool // its goroutine was woken to check for bytes; without any, it ends the connection
	readingAhead bool // its goroutine reads while a request waits for its answer
	overflowed   bool // bytes after the current request were discarded, so the connection ends with the answer
	answerBegun  bool // the answer has begun and says whether the connection goes on; from here on no bytes are discarded
	stateSince   time.Time
	answered     sync.Cond             // signals that current has become nil
	current      *Exchange             // the request that waits for its answer
	headRoom     *httphead.Reservation // of the long head that is being read; nil: none

	headStart  time.Time     // start of headTimeout; used by the goroutine of the connection only
	bodyReader minRateReader // reads the current body; used by the goroutine of the connection only
	pacer      pacer         // used by the goroutine of the connection only
}

// serve reads and passes on the requests of the connection until it ends. If crowded is set the
// connection is over the limit, and its one request is refused unless another connection can
// be evicted.
func (c *conn) serve(crowded bool) {
	defer c.close()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic while serving a client connection", "panic", p, "stack", string(debug.Stack()))
			c.srv.mu.Lock()
			x := c.current
			c.srv.mu.Unlock()
			if x != nil && x.handler.ClientGone(&x.Call) {
				x.Fail()
			}
		}
	}()
	for c.awaitRequest() {
		x, status := c.readRequest(crowded)
		switch {
		case status < 0:
			return
		case status > 0:
			c.reject(status)
			return
		case x == nil:
			c.pacer.wait()
		default:
			if x.keptBody == nil || !x.keptBody.IsStreamed() { // else its body is not complete yet; forwardBody counts it
				c.srv.cfg.Figures.CountRequest(&x.counter, x.Class)
			}
			if !c.openExchange(x) {
				slog.Warn("request refused: another open request has the same id", "class", x.Class)
				x.writeAnswer(http.StatusConflict, "", nil, nil)
				x.Release()
				if x.bodyUnread {
					c.linger()
					return
				}
				c.pacer.wait()
				continue
			}
			if c.clientHasLeft(x) {
				// When the process was stopped or starved of CPU time, it reads requests that
				// arrived in the meantime before it reads the end of their connections, and would
				// forward requests of clients that have left.
				slog.Info("client left before its request was read", "class", x.Class)
				x.Release()
				return
			}
			x.handler.Arrive(&x.Call)
			if x.keptBody != nil && x.keptBody.IsStreamed() && !c.forwardBody(x) {
				return
			}
			if c.isAnswered() {
				c.pacer.wait()
			}
		}
	}
}

// isAnswered reports whether no request waits for its answer.
func (c *conn) isAnswered() bool {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	return c.current == nil
}

// openExchange makes x the current request of the connection, which waits for its answer. It
// reports false if another open request has the same id. Servers would take one of the two for
// a repetition of the other.
func (c *conn) openExchange(x *Exchange) bool {
	s := c.srv
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.openIDs[x.ID]; taken {
		return false
	}
	s.openIDs[x.ID] = x
	c.current, c.answerBegun = x, false
	return true
}

// freeID makes the id of a request available to new requests. The caller holds s.mu.
func (s *Server) freeID(x *Exchange) {
	if s.openIDs[x.ID] == x {
		delete(s.openIDs, x.ID)
	}
}

// clientHasLeft reports whether the client has closed its connection, also if bytes that it
// sent after the request are still unread.
func (c *conn) clientHasLeft(x *Exchange) bool {
	if x.bodyUnread { // unread bytes belong to the body
		return false
	}
	for {
		n, err := c.peeker.peek()
		switch {
		case err != nil || n == 0:
			return isRemoteClosed(n, err)
		case c.br.Buffered() == c.br.Size():
			return c.peeker.endSeen()
		}
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			return true
		}
	}
}

// awaitRequest blocks until the first byte of the next request has arrived and the current one
// is answered. It reports false if the connection ends. The first byte on a connection has to
// arrive within headTimeout; otherwise clients that connect and send nothing would hold
// descriptors indefinitely.
func (c *conn) awaitRequest() bool {
	c.in.remaining = httphead.MaxBytes
	first := c.headStart.IsZero()
	if first {
		c.headStart = time.Now()
		c.nc.SetReadDeadline(c.headStart.Add(headTimeout))
	}
	_, err := c.br.Peek(1)
	if err != nil && c.keepAfterProbe(err) {
		c.nc.SetReadDeadline(time.Now().Add(headTimeout))
		_, err = c.br.Peek(1)
	}
	if err == nil {
		err = c.readAhead()
	}
	if !first {
		c.headStart = time.Now()
	}
	s := c.srv
	s.mu.Lock()
	if err != nil && c.current != nil {
		x := c.current
		s.mu.Unlock()
		if x.handler.ClientGone(&x.Call) {
			return false
		}
		s.mu.Lock()
	}
	for c.current != nil {
		c.answered.Wait()
	}
	defer s.mu.Unlock()
	if err != nil || c.closed || c.ending {
		return false
	}
	c.busy, c.inHead, c.fresh, c.probing, c.stateSince = true, true, false, false, time.Now()
	return true
}

var errReadAheadLimit = errors.New("front: too many bytes after a request that waits for its answer")

// readAhead reads while a request waits for its answer, to detect that the client closes the
// connection after sending further bytes. It returns nil when the answer ends, which wakes it.
// Bytes that exceed the buffer are discarded, and the connection then ends with the answer;
// after maxLingerBytes of them it returns errReadAheadLimit. Once the answer has told the
// client that the connection goes on, nothing is discarded: the bytes may be the client's next
// request, sent before finishAnswer has run.
func (c *conn) readAhead() error {
	s := c.srv
	var scratch []byte
	for remaining := maxLingerBytes; ; {
		s.mu.Lock()
		if c.current == nil {
			s.mu.Unlock()
			return nil
		}
		full := c.br.Buffered() == c.br.Size()
		if full && c.answerBegun && !c.overflowed {
			for c.current != nil {
				c.answered.Wait()
			}
			s.mu.Unlock()
			return nil
		}
		c.readingAhead = true
		c.overflowed = c.overflowed || full
		s.mu.Unlock()
		var err error
		if full {
			if scratch == nil {
				scratch = make([]byte, 4<<10)
			}
			var n int
			if n, err = c.nc.Read(scratch); err == nil {
				if remaining -= n; remaining < 0 {
					err = errReadAheadLimit
				}
			}
		} else {
			_, err = c.br.Peek(c.br.Buffered() + 1)
		}
		s.mu.Lock()
		c.readingAhead = false
		answered := c.current == nil
		if answered && !c.ending {
			c.nc.SetReadDeadline(time.Time{}) // clears the deadline with which finishAnswer wakes the read
		}
		s.mu.Unlock()
		if answered {
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

// close closes the connection and removes it from the server's set; if it stayed there, the
// limit would eventually refuse all new clients. A connection that is ending is half-closed
// first, and what still arrives is discarded, within lingerTimeout and maxLingerBytes.
func (c *conn) close() {
	s := c.srv
	s.mu.Lock()
	if c.current != nil {
		s.freeID(c.current)
		c.current.counter.CountEnd(figures.ClientLeft)
	}
	c.headRoom.Release()
	c.busy = false
	graceful := c.ending && !c.closed
	if graceful {
		c.stateSince = time.Now()
		c.halfClose()
	}
	s.mu.Unlock()
	if graceful {
		io.CopyN(io.Discard, c.nc, maxLingerBytes) // until the client closes too
	}
	s.mu.Lock()
	c.closed = true
	delete(s.conns, c)
	s.mu.Unlock()
	c.nc.Close()
}

// halfClose closes the write side of the connection and bounds further reads by lingerTimeout.
// Closing both sides while bytes are unread would send a reset, and the client could lose an
// answer that was just written. The caller holds the server's lock.
func (c *conn) halfClose() {
	if c.halfClosed {
		return
	}
	c.halfClosed = true
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok {
		tc.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// logClose logs that the sidecar ends the connection with no answer, and why. A client that has closed
// its side itself is not logged.
func (c *conn) logClose(reason string, err error) {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	slog.Info("client connection closed without an answer", "client", c.nc.RemoteAddr(), "reason", reason, "err", err)
}

// reject answers a request that is not passed on with status, and ends the connection. What
// the client still sends is discarded, up to maxLingerBytes, because closing at once could
// lose the answer. Until then the connection can be evicted.
func (c *conn) reject(status int) { c.rejectWith(status, "") }

// rejectWith is like reject and adds the header lines in field.
func (c *conn) rejectWith(status int, field string) {
	slog.Info("request rejected, connection closed", "client", c.nc.RemoteAddr(), "status", status)
	x := &Exchange{conn: c}
	b := append(message.AppendLength(x.appendHead(nil, status, field, nil), 0), "\r\n"...)
	c.nc.SetWriteDeadline(time.Now().Add(lingerTimeout))
	c.nc.Write(b)
	c.linger()
}

// linger marks the connection as ending, so that close discards what the client still sends,
// within lingerTimeout and maxLingerBytes, before it closes the connection.
func (c *conn) linger() {
	c.srv.mu.Lock()
	c.ending = true
	c.srv.mu.Unlock()
}
