package upstream

import (
	"net"
	"slices"
	"strconv"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

func (a *Attempt) sendGuarded(c *conn) {
	defer a.guard()
	a.send(c)
}

func (a *Attempt) send(c *conn) {
	a.mu.Lock()
	a.conn = c
	if a.Request.Source != nil {
		if o, no := a.mustNotGo(); no {
			a.callOff(c, o)
			return
		}
		a.sendSource(c, a.Once && a.pool.brittle())
		return
	}
	buf := buffers.Get().(*[]byte)
	head := a.appendHead((*buf)[:0])
	size := len(head)
	for _, piece := range a.Request.Body {
		size += len(piece)
	}
	small := size <= smallSend
	if small {
		for _, piece := range a.Request.Body {
			head = append(head, piece...)
		}
	}
	hold := small && a.Once && a.pool.brittle()
	if o, no := a.mustNotGo(); no {
		a.callOff(c, o)
		*buf = head
		buffers.Put(buf)
		return
	}
	a.began, a.sentAt = !hold, time.Now()
	switch {
	case hold:
		a.holdBack(c, head)
		a.mu.Unlock()
		*buf = head
		buffers.Put(buf)
	case small:
		// The lock stays: an answer may come before the write returns.
		n, err := c.Write(head)
		failed := a.sent(n == size)
		a.mu.Unlock()
		*buf = head
		buffers.Put(buf)
		a.afterSend(c, n == size, failed, err)
	default:
		a.lastHeld = true
		a.mu.Unlock()
		go func() {
			defer a.guard()
			a.sendLong(c, head, size)
		}()
	}
}

// A look at whether an attempt may begin that took longer than lookFor is made again, lookMost
// times at the most: the process was stopped, or starved of its core, in it.
const (
	lookFor  = 5 * time.Millisecond
	lookMost = 4
)

// mustNotGo says whether an attempt must not begin now, and how it ends then. It is asked with
// the lock held, in the instant before each write with which a server may begin, and nothing is
// done between. Guards against a slow dial that carries work past a drain's grace, or a repeat
// past the time for which servers drop it; and against a process that was stopped, or starved of
// its core, anywhere on the way to the write: what it goes on with is of then.
func (a *Attempt) mustNotGo() (o chalkrack.Outcome, no bool) {
	for range lookMost {
		now := time.Now()
		switch {
		case a.ended, a.readFailed, a.pool.late(a.to), !a.NotAfter.IsZero() && now.After(a.NotAfter), a.spokenTo():
			return chalkrack.ConnectFailed, true
		case a.unwanted(now):
			return chalkrack.NotSent, true
		case time.Since(now) < lookFor:
			return 0, false
		}
	}
	return 0, false
}

// spokenTo says that a connection that was quiet when it was taken is no more, before a byte of
// the request. Guards against a second answer that comes in between, where the connection's
// reader has not run yet: it would be taken for this request's.
func (a *Attempt) spokenTo() bool {
	if a.began || a.held || a.uses == 0 || a.conn.quiet() {
		return false
	}
	if a.conn.speaks() {
		a.pool.heardUnasked(a.Server)
	}
	return true
}

// callOff ends an attempt before its server can have begun. It is called with the lock held,
// and frees it.
func (a *Attempt) callOff(c *conn, o chalkrack.Outcome) {
	a.ended, a.held = true, false // its connection breaks by this, and proves nothing
	a.mu.Unlock()
	a.pool.discard(c)
	a.done(o)
}

// sendLong writes a long request. Its last byte goes out under the lock, unless the attempt was
// given up meanwhile: guards against one that is whole, and begins, after the final answer.
func (a *Attempt) sendLong(c *conn, head []byte, size int) {
	body := slices.Clone(a.Request.Body)
	end := len(body) - 1
	for len(body[end]) == 0 {
		end--
	}
	last := body[end][len(body[end])-1:]
	body[end] = body[end][:len(body[end])-1]
	pieces := append(net.Buffers{head}, body...)
	n, err := pieces.WriteTo(c.Conn)
	a.mu.Lock()
	whole := n == int64(size-1)
	if whole {
		if o, no := a.mustNotGo(); no {
			a.callOff(c, o)
			return
		}
		a.lastHeld = false
		var k int
		k, err = c.Write(last)
		whole = k == 1
	}
	failed := a.sent(whole)
	a.mu.Unlock()
	a.afterSend(c, whole, failed, err)
}

// unwanted says that nobody waits for the answer any more, also where nobody has been told yet.
func (a *Attempt) unwanted(now time.Time) bool {
	return a.Request.Source == nil && !a.Deadline.IsZero() && now.After(a.Deadline) || a.Request.Client != nil && a.Request.Client.Left()
}

func (a *Attempt) appendHead(head []byte) []byte {
	head = append(head, a.Request.Head...)
	if a.Request.Chunked {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	head = append(head, "Req-Deadline-Ms: "...)
	head = strconv.AppendInt(head, max(1, time.Until(a.Deadline).Milliseconds()), 10)
	if a.Request.Marked {
		head = append(head, "\r\n"+message.AttemptsField+": 1; nth="...)
		head = strconv.AppendInt(head, int64(a.N+1), 10)
	}
	return append(head, "\r\n\r\n"...)
}

// commitAfter is how long the last byte of a request is held back: the word of a
// broken connection has come by then from any zone.
const commitAfter = 3 * time.Millisecond

// holdBack writes a request but for its last byte, and that a little later if the
// connection still stands. Guards a request that must not run twice against brittle
// connections: servers begin with the last byte, so one that breaks before it proves
// that nothing ran, and another attempt can be made. It is called with the lock held.
func (a *Attempt) holdBack(c *conn, request []byte) {
	most, last := request[:len(request)-1], request[len(request)-1]
	a.held = true
	if _, err := c.Write(most); err != nil {
		a.readFailed = true // the commit tells of it
	}
	time.AfterFunc(a.pool.hold, func() {
		defer a.guard()
		a.commit(c, last)
	})
}

func (a *Attempt) commit(c *conn, last byte) {
	a.mu.Lock()
	if o, no := a.mustNotGo(); no {
		a.callOff(c, o)
		return
	}
	a.held, a.began = false, true
	n, err := c.Write([]byte{last})
	failed := a.sent(n == 1)
	a.mu.Unlock()
	a.afterSend(c, n == 1, failed, err)
}
