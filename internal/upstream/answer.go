package upstream

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/httphead"
	"chalkrack/internal/message"
)

// read is the connection's reader loop. It reads answers while an attempt owns the connection
// and detects the connection's end while it is idle.
func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		c.limited.remaining = httphead.MaxBytes
		// Waits for input without consuming any before the owner is known: an attempt that
		// acquires the connection at this moment must still see unsolicited bytes.
		err := c.raw.Read(func(fd uintptr) bool { return !nothingToRead(fd) })
		p.mu.Lock()
		a := c.owner
		if a == nil { // closed while idle, or unsolicited bytes arrived
			p.remove(c)
		}
		p.mu.Unlock()
		if a == nil {
			if c.hasUnreadData() {
				p.recordUnsolicited(c.server.name)
			}
			return
		}
		if err == nil {
			_, err = c.reader.Peek(1)
		}
		if err != nil || !a.hasBegun() {
			a.handleBreak(err)
			return
		}
		c.limited.pauseTimeout = p.stallTimeout
		if !a.receive(c) {
			return
		}
		c.limited.clearDeadline()
		if !p.release(c) {
			return
		}
	}
}

func (a *Attempt) hasBegun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.began
}

// handleBreak handles the end of a connection before any byte of an answer. err is that of the
// read, nil if bytes came before the request had begun.
func (a *Attempt) handleBreak(err error) {
	a.mu.Lock()
	written, heldBack, sendFailed := a.written, a.heldBack, a.sendFailed
	a.readFailed = true
	if !written {
		defer a.stopReading()
	}
	early := (a.began || heldBack) && !a.ended && time.Since(a.sentAt) < a.pool.earlyBreakWindow
	a.mu.Unlock()
	if early {
		a.pool.recordEarlyBreak(a.connIdle, a.connUses)
	}
	cause := errEarlyBytes
	if err != nil {
		cause = fmt.Errorf("%w: %w", errServerClosed, err)
	}
	switch {
	case written:
		a.finish(chalkrack.Reset, cause)
	case heldBack, sendFailed:
		a.finish(chalkrack.ConnectFailed, cause)
	}
}

var (
	errMalformedHead = errors.New("upstream: malformed answer head")
	errAnswerTooLong = errors.New("upstream: answer body is too long")
	errAnswerPaused  = errors.New("upstream: the answer paused for longer than the limit")
	errEarlyBytes    = errors.New("upstream: the server sent bytes before the request had begun")
	errClientGone    = errors.New("upstream: the client accepts no more of the answer")
)

// An answer that has begun and pauses for longer than the stall timeout counts as stopped. The
// configuration may lower the timeout for answers that are not yet passed on, but not below
// minStallTimeout: a sidecar that has only part of a core may itself be paused for that long.
const (
	defaultStallTimeout = 400 * time.Millisecond
	minStallTimeout     = 60 * time.Millisecond
	// An answer that is being passed on cannot be repeated by another attempt, so the timeout is
	// longer: it has to distinguish a slow server from a hung one.
	defaultStreamStallTimeout = 2 * time.Second
)

type limitedConn struct {
	net.Conn
	remaining    int64
	pauseTimeout time.Duration // longest time that one read may take; 0 means no limit
	hasDeadline  bool          // the connection has a read deadline
}

func (r *limitedConn) clearDeadline() {
	if r.pauseTimeout = 0; r.hasDeadline {
		r.hasDeadline = false
		r.Conn.SetReadDeadline(time.Time{})
	}
}

func (r *limitedConn) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, httphead.ErrTooLong
	}
	if r.pauseTimeout > 0 {
		r.hasDeadline = true
		r.Conn.SetReadDeadline(time.Now().Add(r.pauseTimeout))
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if r.pauseTimeout > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errAnswerPaused
	}
	return n, err
}

// receive reads one answer and reports it. It returns true if the connection can be reused.
func (a *Attempt) receive(c *conn) (reusable bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic while receiving an answer", "panic", p, "stack", string(debug.Stack()))
			a.finish(chalkrack.Reset, errPanic)
			reusable = false
		}
	}()
	a.mu.Lock()
	a.answering = true
	beforeLastByte := a.Request.Source != nil && !a.lastByteSent
	a.mu.Unlock()
	if beforeLastByte { // the answer is final, and the rest of the request is not sent
		defer a.stopReading()
	}
	defer c.releaseHeadRoom()
	resp, err := c.readHead(a.Request.Method, a.pool.cfg.Heads)
	if err != nil {
		slog.Warn("invalid answer from server", "server", a.Server, "err", err)
		a.finish(chalkrack.Reset, err)
		return false
	}
	report := ParseLoad(resp.Header.Get("Srv-Load"))
	answer := &message.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	// The first part of a long answer is also read before the answer is passed on: otherwise the
	// client could get a head without a body as its only answer.
	var long bool
	if answer.Body, long, err = readBuffered(resp.Body, answer.Length); err != nil {
		a.finish(chalkrack.Reset, err)
		return false
	}
	good := resp.StatusCode == http.StatusOK || (a.pool.cfg.PassClientErrors || a.PassClientErrors || beforeLastByte) && clientError(resp.StatusCode)
	if long && good {
		return a.stream(c, resp, answer, report)
	}
	// The connection is reused only if nothing of this answer is left on it.
	reusable = !long && !resp.Close && c.isDrained() && a.isWritten()
	if !c.isDrained() && !long {
		a.pool.recordUnsolicited(a.Server)
	}
	if good {
		a.Sink.Done(chalkrack.OK, answer, report)
		return reusable
	}
	outcome := chalkrack.ServerError
	if s := resp.StatusCode; (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && (beforeLastByte || resp.Header.Get("Srv-Declined") == "1") {
		outcome = chalkrack.Full // no server begins a request before its last byte
	}
	a.Sink.Done(outcome, answer, report)
	return reusable
}

// clientError reports whether a status blames the request. Another server would answer the same,
// so this is an answer and not a failed attempt. 408 and 429 describe the state of the server
// and are excluded.
func clientError(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

func (a *Attempt) isWritten() bool {
	if a.Request.Source != nil {
		a.waitForWriter()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written && !a.ended
}

// readHead reads the head of the final answer and skips interim ones. After an interim answer
// the server may work for as long as before its first byte, so the stall timeout is suspended
// until the next byte.
func (c *conn) readHead(method string, budget *httphead.Budget) (*http.Response, error) {
	stall := c.limited.pauseTimeout
	for ; ; c.limited.pauseTimeout = stall {
		resp, err := c.readOneHead(method, budget)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream: server switched protocols")
		case resp.ContentLength > maxAnswerBytes:
			return nil, errAnswerTooLong // refused here because an answer that has begun cannot be repeated
		case resp.StatusCode >= 200:
			// The limit also covers answers without a length that never end. It is doubled
			// because the framing of small chunks takes as many bytes as their content.
			c.limited.remaining = 2*maxAnswerBytes + httphead.MaxBytes
			return resp, nil
		}
		c.limited.clearDeadline()
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
	}
}

// fieldBytes is the memory that the parser may need for one field of a head, beside its bytes.
const fieldBytes = 200

// readOneHead reads the head of one answer, final or not. A long one holds room of budget until
// releaseHeadRoom, for its bytes and then also for its fields; without room it is refused.
func (c *conn) readOneHead(method string, budget *httphead.Budget) (*http.Response, error) {
	reader := httphead.Reader{Buffer: c.reader, Source: &c.source, Kind: httphead.Answer}
	head, err := reader.Read(func(size int64) bool {
		if c.headRoom == nil {
			c.headRoom = budget.Reserve()
		}
		return c.headRoom.TryGrow(size)
	})
	if err != nil {
		return nil, err
	}
	defer reader.Parsed()
	if head.IsLong && !c.headRoom.TryGrow(int64(len(head.Bytes)+head.Lines()*fieldBytes)) {
		return nil, httphead.ErrNoRoom
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil && head.IsMalformed {
		err = errMalformedHead
	}
	return resp, err
}

// releaseHeadRoom releases the room of the long head that was read last.
func (c *conn) releaseHeadRoom() {
	c.headRoom.Release()
	c.headRoom = nil
}

// isDrained reports whether all bytes that were read have been used.
func (c *conn) isDrained() bool { return c.reader.Buffered() == 0 && c.source.Pending() == 0 }

const slowBodyDelay = 25 * time.Millisecond

// readBuffered reads the part of a body that is buffered before the answer is passed on: a body
// of known length up to MaxBuffered completely, others up to MaxBuffered, or what has arrived if
// bytes still arrive after slowBodyDelay. more reports that the body goes on. A body that stops
// is an error, so that another attempt can still be made.
func readBuffered(body io.Reader, length int64) (b []byte, more bool, err error) {
	if length >= 0 && length <= MaxBuffered {
		b = make([]byte, length)
		_, err = io.ReadFull(body, b)
		return b, false, err
	}
	began := time.Now()
	b = make([]byte, 0, 4<<10)
	for {
		if len(b) == cap(b) {
			b = slices.Grow(b, len(b))
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err != nil && err != io.EOF:
			return nil, false, err
		case len(b) > MaxBuffered: // an EOF read together with these bytes is returned again by the next read
			return b, true, nil
		case err == io.EOF:
			return b, false, nil
		case n > 0 && time.Since(began) > slowBodyDelay: // a slow body: pass on what has arrived
			return b, true, nil
		}
	}
}

// stream passes a long answer on while it arrives. It returns true if the connection can be
// reused.
func (a *Attempt) stream(c *conn, resp *http.Response, answer *message.Answer, report chalkrack.LoadReport) bool {
	w := a.Sink.Stream(answer, report)
	if w == nil { // the request is over; the rest of the answer is not needed
		a.Sink.Done(chalkrack.OK, nil, report)
		return false
	}
	if _, err := w.Write(answer.Body); err != nil {
		a.finish(chalkrack.Cancelled, fmt.Errorf("%w: %w", errClientGone, err))
		return false
	}
	c.limited.pauseTimeout = a.pool.streamStallTimeout // no other attempt is possible after this point
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for total := len(answer.Body); ; {
		n, err := resp.Body.Read(*buf)
		if total += n; total > maxAnswerBytes {
			a.finish(chalkrack.Reset, errAnswerTooLong)
			return false
		}
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				a.finish(chalkrack.Cancelled, fmt.Errorf("%w: %w", errClientGone, werr))
				return false
			}
		}
		switch err {
		case nil:
		case io.EOF:
			reusable := !resp.Close && c.isDrained() && a.isWritten()
			a.Sink.Done(chalkrack.OK, nil, report)
			return reusable
		default:
			a.finish(chalkrack.Reset, err)
			return false
		}
	}
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// maxLoadValue is larger than any load that a server can have.
const maxLoadValue = 1e6

// ParseLoad parses a load report, a list of name=value fields separated by commas. Unknown and
// invalid fields are ignored.
func ParseLoad(text string) (report chalkrack.LoadReport) {
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxLoadValue) {
			continue // this also excludes "NaN", which ParseFloat accepts: no server compares as less loaded than one with NaN
		}
		switch name {
		case "inflight", "busy_reqs":
			report.InFlight, report.HasInFlight = v, true
		case "util", "cpu_share":
			report.Util, report.HasUtil = v, true
		}
	}
	return report
}
