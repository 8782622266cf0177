package upstream

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
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
	switch {
	case errors.Is(err, net.ErrClosed):
		cause = nil // closed by the sidecar, which has set the cause
	case err != nil:
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
	errEarlyBytes    = errors.New("upstream: the server sent bytes before the request had begun")
)

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
	r := &c.reception
	r.begin(a, c)
	defer r.end()
	resp, err := c.readHead(a.Request.Method, a.pool.cfg.Heads)
	if err != nil {
		slog.Warn("invalid answer from server", "server", a.Server, "err", err)
		a.finish(chalkrack.Reset, err)
		return false
	}
	r.report = ParseLoad(resp.Header.Get("Srv-Load"))
	r.answer = &message.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	r.isGood = resp.StatusCode == http.StatusOK || (a.pool.cfg.PassClientErrors || a.PassClientErrors || beforeLastByte) && clientError(resp.StatusCode)
	// The first part of a long answer is also read before the answer is passed on: otherwise the
	// client could get a head without a body as its only answer.
	if resp.Body != http.NoBody && slices.Contains(resp.TransferEncoding, "chunked") {
		resp.Body = io.NopCloser(&chunkedBody{reader: c.reader})
	}
	more, err := r.readFirstPart(resp.Body)
	switch {
	case r.isPassedOn:
		return r.finishStream(resp, err)
	case err != nil && r.isGood:
		a.finish(chalkrack.Reset, err)
		return false
	case more && r.isGood:
		r.passOn()
		return r.finishStream(resp, nil)
	}
	// The connection is reused only if nothing of this answer is left on it.
	isWhole := !more && err == nil
	reusable = isWhole && !resp.Close && c.isDrained() && a.isWritten()
	if isWhole && !c.isDrained() {
		a.pool.recordUnsolicited(a.Server)
	}
	r.answer.Body = r.body
	if r.isGood {
		a.Sink.Done(chalkrack.OK, r.answer, r.report)
		return reusable
	}
	outcome := chalkrack.ServerError
	if s := resp.StatusCode; (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && (beforeLastByte || resp.Header.Get("Srv-Declined") == "1") {
		outcome = chalkrack.Full // no server begins a request before its last byte
	}
	a.Sink.Done(outcome, r.answer, r.report)
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
// the server may work for as long as before its first byte, so pauses are not limited until the
// next byte.
func (c *conn) readHead(method string, budget *httphead.Budget) (*http.Response, error) {
	for pauses := c.limited.pauses; ; c.limited.pauses = pauses {
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
