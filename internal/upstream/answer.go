package upstream

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// read is a connection's reader: answers while an attempt owns it, its end while it idles.
func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		c.in.left = maxHeadBytes
		// Nothing is read before it is clear whose it is: an attempt that takes the
		// connection just now must find there what nobody asked for.
		err := c.raw.Read(func(fd uintptr) bool { return !silent(fd) })
		p.mu.Lock()
		a := c.owner
		if a == nil { // ended while idle, or something came that nobody asked for
			p.drop(c)
		}
		p.mu.Unlock()
		if a == nil {
			if c.speaks() {
				p.heardUnasked(c.to.name)
			}
			return
		}
		if err == nil {
			_, err = c.br.Peek(1)
		}
		if err != nil || !a.hasBegun() {
			a.broken()
			return
		}
		c.in.pausing = p.stall
		if !a.receive(c) {
			return
		}
		c.in.calm()
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

// broken takes a connection's end before any byte of an answer.
func (a *Attempt) broken() {
	a.mu.Lock()
	wrote, held, failed := a.wrote, a.held, a.sendFailed
	a.readFailed = true
	if !wrote {
		defer a.stopReading()
	}
	early := (a.began || held) && !a.ended && time.Since(a.sentAt) < a.pool.early
	a.mu.Unlock()
	if early {
		a.pool.broke(a.idle, a.uses)
	}
	switch {
	case wrote:
		a.done(chalkrack.Reset)
	case held, failed:
		a.done(chalkrack.ConnectFailed)
	}
}

var (
	errLongHead   = errors.New("upstream: head of the answer too long")
	errLongAnswer = errors.New("upstream: answer too long")
)

// An answer that has begun and pauses for longer has stopped. One that is not yet
// passed on gets less where the configuration says so, but minStall at least: so
// long a sidecar with a part of a core may itself have to wait.
const (
	stallTimeout = 400 * time.Millisecond
	minStall     = 60 * time.Millisecond
	// One that is being passed on can't be made again: a server that is slow is waited
	// for, one that hangs is told from it by this.
	lullTimeout = 2 * time.Second
)

type capped struct {
	net.Conn
	left    int64
	pausing time.Duration // how long a read may take; 0: any time
	timed   bool          // the connection has a deadline
}

func (r *capped) calm() {
	if r.pausing = 0; r.timed {
		r.timed = false
		r.Conn.SetReadDeadline(time.Time{})
	}
}

func (r *capped) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongHead
	}
	if r.pausing > 0 {
		r.timed = true
		r.Conn.SetReadDeadline(time.Now().Add(r.pausing))
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// receive reads one answer and reports it; true if the connection can go on.
func (a *Attempt) receive(c *conn) (goesOn bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in an answer", "panic", p, "stack", string(debug.Stack()))
			a.done(chalkrack.Reset)
			goesOn = false
		}
	}()
	a.mu.Lock()
	a.answering = true
	early := a.Request.Source != nil && !a.lastOut
	a.mu.Unlock()
	if early { // the answer holds, and the rest is not sent
		defer a.stopReading()
	}
	resp, err := c.readHead(a.Request.Method)
	if err != nil {
		slog.Warn("bad answer", "server", a.Server, "err", err)
		a.done(chalkrack.Reset)
		return false
	}
	rep := ParseLoad(resp.Header.Get("Srv-Load"))
	ans := &message.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	// Of a long one too some comes first: guards against taking the client's only answer
	// for a head that nothing follows.
	var long bool
	if ans.Body, long, err = readBuffered(resp.Body, ans.Length); err != nil {
		a.done(chalkrack.Reset)
		return false
	}
	good := resp.StatusCode == http.StatusOK || (a.pool.cfg.PassClientErrors || a.Pass || early) && clientError(resp.StatusCode)
	if long && good {
		return a.stream(c, resp, ans, rep)
	}
	// The next request must find nothing of this answer on the connection.
	goesOn = !long && !resp.Close && c.br.Buffered() == 0 && a.isWritten()
	if c.br.Buffered() > 0 && !long {
		a.pool.heardUnasked(a.Server)
	}
	if good {
		a.Sink.Done(chalkrack.OK, ans, rep)
		return goesOn
	}
	o := chalkrack.ServerError
	if s := resp.StatusCode; (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) && (early || resp.Header.Get("Srv-Declined") == "1") {
		o = chalkrack.Full // before its last byte no server begins a request
	}
	a.Sink.Done(o, ans, rep)
	return goesOn
}

// clientError says that a status blames the request: another server would say the
// same, so it is an answer and no failed attempt. 408 and 429 speak of the server.
func clientError(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

func (a *Attempt) isWritten() bool {
	if a.Request.Source != nil {
		a.waitOut()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wrote && !a.ended
}

// readHead reads an answer's head, past interim ones. Behind these the server may
// work for as long as before its first byte: the limit on pauses waits for the next.
func (c *conn) readHead(method string) (*http.Response, error) {
	stall := c.in.pausing
	for ; ; c.in.pausing = stall {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream: protocol switched")
		case resp.ContentLength > maxAnswerBytes:
			return nil, errLongAnswer // spoilt; begun, it could not be made for a second time
		case resp.StatusCode >= 200:
			// Also for one that tells no length and never ends. Small chunks need as much
			// again for what they say of themselves.
			c.in.left = 2*maxAnswerBytes + maxHeadBytes
			return resp, nil
		}
		c.in.calm()
		if _, err := c.br.Peek(1); err != nil {
			return nil, err
		}
	}
}

const trickle = 25 * time.Millisecond

// readBuffered reads what comes of a body before it is passed on: the whole of one that is
// told to be short, of others MaxBuffered, or what has come when bytes still come after
// trickle; more says that it goes on. One that has stopped does not: another attempt can
// still be made for it.
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
		case len(b) > MaxBuffered: // its end, if that has come, comes once more
			return b, true, nil
		case err == io.EOF:
			return b, false, nil
		case n > 0 && time.Since(began) > trickle: // it comes slowly: what is there goes on
			return b, true, nil
		}
	}
}

// stream passes a long answer on as it comes.
func (a *Attempt) stream(c *conn, resp *http.Response, ans *message.Answer, rep chalkrack.Report) bool {
	w := a.Sink.Stream(ans, rep)
	if w == nil { // the request is over: reading the rest on would only cost
		a.Sink.Done(chalkrack.OK, nil, rep)
		return false
	}
	if _, err := w.Write(ans.Body); err != nil {
		a.done(chalkrack.Cancelled) // the client has left
		return false
	}
	c.in.pausing = a.pool.lull // no other attempt can be made any more
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for total := len(ans.Body); ; {
		n, err := resp.Body.Read(*buf)
		if total += n; total > maxAnswerBytes {
			a.done(chalkrack.Reset)
			return false
		}
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				a.done(chalkrack.Cancelled)
				return false
			}
		}
		switch err {
		case nil:
		case io.EOF:
			goesOn := !resp.Close && c.br.Buffered() == 0 && a.isWritten()
			a.Sink.Done(chalkrack.OK, nil, rep)
			return goesOn
		default:
			a.done(chalkrack.Reset)
			return false
		}
	}
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// maxLoad is beyond any load that a server can have.
const maxLoad = 1e6

// ParseLoad reads a load report: name=value, with commas between. What makes no
// sense is passed over.
func ParseLoad(text string) (rep chalkrack.Report) {
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxLoad) {
			continue // "NaN" parses too, and no server compares as less loaded than that
		}
		switch name {
		case "inflight", "busy_reqs":
			rep.InFlight, rep.HasInFlight = v, true
		case "util", "cpu_share":
			rep.Util, rep.HasUtil = v, true
		}
	}
	return rep
}
