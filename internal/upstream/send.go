package upstream

import (
	"errors"
	"net"
	"strconv"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

func (a *Attempt) sendGuarded(c *conn) {
	defer a.recoverPanic()
	a.send(c)
}

func (a *Attempt) send(c *conn) {
	a.mu.Lock()
	a.conn = c
	if a.Request.Source != nil {
		if outcome, blocked := a.checkSendBlocked(); blocked {
			a.abortUnsent(c, outcome)
			return
		}
		a.sendSource(c, a.AtMostOnce && a.pool.hasRecentBreak())
		return
	}
	buf := buffers.Get().(*[]byte)
	head := a.appendHead((*buf)[:0])
	size := len(head)
	for _, piece := range a.Request.Body {
		size += len(piece)
	}
	small := size <= maxInlineSendBytes
	if small {
		for _, piece := range a.Request.Body {
			head = append(head, piece...)
		}
	}
	hold := small && a.AtMostOnce && a.pool.hasRecentBreak()
	if outcome, blocked := a.checkSendBlocked(); blocked {
		a.abortUnsent(c, outcome)
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
		// The lock is held during the write: the answer may arrive before the write returns.
		n, err := c.Write(head)
		readFailed := a.recordWritten(n == size)
		a.mu.Unlock()
		*buf = head
		buffers.Put(buf)
		a.reportSendResult(c, n == size, readFailed, err)
	default:
		a.lastBytePending = true
		a.mu.Unlock()
		go func() {
			defer a.recoverPanic()
			a.sendLong(c, head, size)
		}()
	}
}

// A check of whether an attempt may begin is repeated if it took longer than maxCheckDuration,
// since the process was then suspended or starved of CPU during the check. maxChecks bounds the
// number of checks.
const (
	maxCheckDuration = 5 * time.Millisecond
	maxChecks        = 4
)

// checkSendBlocked reports whether an attempt must not begin now, and the outcome with which it
// then ends. It is called with the lock held immediately before each write with which a server
// may begin, and nothing may be done between the check and the write. It prevents work from
// reaching a server past its drain grace after a slow dial, and a repeat from reaching it past
// the time for which servers drop repeats. It also covers a process that was suspended or starved
// of CPU on the way to the write, whose earlier checks are out of date.
func (a *Attempt) checkSendBlocked() (outcome chalkrack.Outcome, blocked bool) {
	for range maxChecks {
		now := time.Now()
		switch {
		case a.ended, a.readFailed, a.pool.mayNotReceive(a), !a.NotAfter.IsZero() && now.After(a.NotAfter), a.hasUnsolicitedData():
			return chalkrack.ConnectFailed, true
		case a.isUnwanted(now):
			return chalkrack.NotSent, true
		case time.Since(now) < maxCheckDuration:
			return 0, false
		}
	}
	return 0, false
}

// hasUnsolicitedData reports whether bytes or an end have arrived on a reused connection since
// it was acquired, before any byte of the request was written. A duplicate answer can arrive
// then, before the connection's reader runs, and would be taken for the answer to this request.
func (a *Attempt) hasUnsolicitedData() bool {
	if a.began || a.heldBack || a.connUses == 0 || a.conn.isQuiet() {
		return false
	}
	if a.conn.hasUnreadData() {
		a.pool.recordUnsolicited(a.Server)
	}
	return true
}

var errSendBlocked = errors.New("upstream: not sent, as it would have begun too late, on a broken connection, at another process or for a client that has left")

// abortUnsent ends an attempt that its server cannot have begun. It is called with the lock held
// and releases it.
func (a *Attempt) abortUnsent(c *conn, outcome chalkrack.Outcome) {
	a.ended, a.heldBack = true, false // so that closing the connection does not count as a break by the server
	a.mu.Unlock()
	a.discardConn(c, outcome, errSendBlocked)
}

// sendLong writes a long request, whose last byte may be one of the head. That byte is written with the lock held and only if the
// attempt was not abandoned meanwhile, so that no server begins the request after the call's
// final answer.
func (a *Attempt) sendLong(c *conn, head []byte, size int) {
	pieces := append(net.Buffers{head}, a.Request.Body...)
	lastPiece := len(pieces) - 1
	for len(pieces[lastPiece]) == 0 { // the head is not empty
		lastPiece--
	}
	withoutLast := len(pieces[lastPiece]) - 1
	last := pieces[lastPiece][withoutLast:]
	pieces[lastPiece] = pieces[lastPiece][:withoutLast]
	n, err := pieces.WriteTo(c.Conn)
	a.mu.Lock()
	complete := n == int64(size-1)
	if complete {
		if outcome, blocked := a.checkSendBlocked(); blocked {
			a.abortUnsent(c, outcome)
			return
		}
		a.lastBytePending = false
		var k int
		k, err = c.Write(last)
		complete = k == 1
	}
	readFailed := a.recordWritten(complete)
	a.mu.Unlock()
	a.reportSendResult(c, complete, readFailed, err)
}

// isUnwanted reports whether nobody waits for the answer any more, including cases that have not
// been reported to the attempt yet.
func (a *Attempt) isUnwanted(now time.Time) bool {
	return a.Request.Source == nil && !a.Deadline.IsZero() && now.After(a.Deadline) || a.Request.Client != nil && a.Request.Client.HasLeft()
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
		head = strconv.AppendInt(head, int64(a.Index+1), 10)
	}
	return append(head, "\r\n\r\n"...)
}

// defaultHoldBackDelay is how long the last byte of a request is held back. It is long enough
// for the news of a broken connection to arrive from any zone.
const defaultHoldBackDelay = 3 * time.Millisecond

// holdBack writes a request except for its last byte, and schedules the last byte for a little
// later, if the connection still stands. It protects a request that must not run twice from
// unreliable connections: servers begin with the last byte, so a break before it proves that the
// request did not run and another attempt can be made. It is called with the lock held.
func (a *Attempt) holdBack(c *conn, request []byte) {
	prefix, last := request[:len(request)-1], request[len(request)-1]
	a.heldBack = true
	if _, err := c.Write(prefix); err != nil {
		a.readFailed = true // sendLastByte reports it
	}
	time.AfterFunc(a.pool.holdBackDelay, func() {
		defer a.recoverPanic()
		a.sendLastByte(c, last)
	})
}

func (a *Attempt) sendLastByte(c *conn, last byte) {
	a.mu.Lock()
	if outcome, blocked := a.checkSendBlocked(); blocked {
		a.abortUnsent(c, outcome)
		return
	}
	a.heldBack, a.began = false, true
	n, err := c.Write([]byte{last})
	readFailed := a.recordWritten(n == 1)
	a.mu.Unlock()
	a.reportSendResult(c, n == 1, readFailed, err)
}
