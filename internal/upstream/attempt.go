package upstream

import (
	"bufio"
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
	"sync"
	"syscall"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/message"
)

const (
	// WholeMost is the longest answer that is read whole before it is passed on:
	// if its server breaks first, another attempt can still be made.
	WholeMost = 64 << 10
	headMost  = 64 << 10 // of a server's answer
	// answerMost is the longest answer that is meant.
	answerMost = 32 << 20
	// smallSend is what a connection's empty buffer surely takes at once. More
	// is written by a goroutine of its own.
	smallSend = 8 << 10
)

// Attempt is one send of a request to one server.
type Attempt struct {
	Request  *message.Request
	Server   string
	N        int       // which attempt of its call, from 0
	Deadline time.Time // when the sidecar stops waiting
	NotAfter time.Time // when it is too late to begin; zero: never
	Once     bool      // must not run twice
	Pass     bool      // a 4xx is the answer
	Later    bool      // its call did not come just now
	Sink     core.Sink

	pool *Pool
	to   *server

	mu         sync.Mutex
	conn       *conn
	held       bool // all but the last byte is written, to see whether the connection breaks
	ended      bool // abandoned, or its connection is of no more use
	began      bool // the first byte may have been written
	wrote      bool
	readFailed bool            // the connection broke before that was known
	out        chan struct{}   // closed when the writer of a Source is done
	sendFailed bool            // the request can't be written any more; its reader tells how it ends
	reading    message.Reading // of the request's Source, while it is sent
	lastOut    bool            // the last byte of a Source may have been written

	sentAt time.Time

	// What the connection had behind it.
	idle time.Duration
	uses int

	answering bool // an answer has begun; for the log
}

// Attempt implements core.Transport. The payload is a *message.Request.
func (p *Pool) Attempt(o core.Order) core.Attempt {
	r := o.Payload.(*message.Request)
	if o.N > 0 && r.Again != nil {
		r.Again()
	}
	return &Attempt{
		Request:  r,
		Server:   o.Server,
		N:        o.N,
		Deadline: o.Deadline,
		NotAfter: o.NotAfter,
		Once:     o.Once,
		Pass:     o.Pass,
		Later:    o.Later,
		Sink:     o.Sink,
		pool:     p,
	}
}

// Start implements core.Attempt.
func (a *Attempt) Start() { a.pool.Start(a) }

// Start makes the attempt. It does not wait for the server.
func (p *Pool) Start(a *Attempt) {
	a.pool = p
	c, addr, err := p.take(a)
	switch {
	case errors.Is(err, errNoPlace):
		a.done(chalkrack.NotSent)
	case err != nil:
		a.done(chalkrack.ConnectFailed)
	case c != nil:
		a.send(c)
	default:
		go a.dial(addr)
	}
}

// Abandon stops an attempt and says whether it may have begun. Close closes its
// connection afterwards, which is how a server learns of it.
func (a *Attempt) Abandon() (began bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.began && (a.Request.Source == nil || a.lastOut)
}

// Phase tells for the log how far an attempt came.
func (a *Attempt) Phase() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	phase := "waiting"
	switch {
	case a.conn == nil:
		return "connecting"
	case !a.wrote:
		phase = "writing"
	case a.answering:
		phase = "reading"
	}
	if a.uses == 0 {
		return phase + " on a new connection"
	}
	return fmt.Sprintf("%s on a connection idle for %v after %d requests", phase, a.idle.Round(time.Millisecond), a.uses)
}

// Close closes the connection of an abandoned attempt.
func (a *Attempt) Close() {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	a.stopReading()
	if c == nil {
		return
	}
	a.pool.mu.Lock()
	mine := c.owner == a // else it has gone on to another attempt
	if mine {
		a.pool.drop(c)
	}
	a.pool.mu.Unlock()
	if mine {
		c.Close()
	}
}

func (a *Attempt) done(o chalkrack.Outcome) { a.Sink.Done(o, nil, chalkrack.Report{}) }

// guard keeps a panic to the attempt that it came from.
func (a *Attempt) guard() {
	if p := recover(); p != nil {
		slog.Error("panic in an attempt", "panic", p, "stack", string(debug.Stack()))
		a.done(chalkrack.Reset)
	}
}

// dial opens a connection, sends on it and stays as its reader.
func (a *Attempt) dial(addr string) {
	c, err := a.connect(addr)
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		slog.Warn("no descriptor left for a connection to a server", "err", err)
		a.done(chalkrack.NotSent)
		return
	case err != nil:
		a.done(chalkrack.ConnectFailed)
		return
	}
	a.Later = true
	go a.sendGuarded(c)
	c.read(a.pool)
}

func (a *Attempt) connect(addr string) (*conn, error) {
	d := net.Dialer{Timeout: a.pool.Times().DialTimeout, KeepAlive: -1}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		a.pool.unbook()
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		a.pool.unbook()
		return nil, err
	}
	c := &conn{Conn: nc, raw: raw, to: a.to, addr: addr, owner: a, in: capped{Conn: nc}}
	c.br = bufio.NewReaderSize(&c.in, 4<<10)
	return c, nil
}

func (a *Attempt) sendGuarded(c *conn) {
	defer a.guard()
	a.send(c)
}

func (a *Attempt) send(c *conn) {
	// A slow dial must not carry work past a drain's grace, nor a repeat past the time
	// for which servers drop it.
	now := time.Now()
	late := a.pool.late(a.to) || !a.NotAfter.IsZero() && now.After(a.NotAfter)
	unwanted := a.Later && a.unwanted(now)
	a.mu.Lock()
	a.conn = c
	if a.ended || late || a.readFailed {
		a.ended = true
		a.mu.Unlock()
		a.pool.discard(c)
		a.done(chalkrack.ConnectFailed)
		return
	}
	if unwanted {
		a.ended = true
		a.mu.Unlock()
		a.pool.discard(c)
		a.done(chalkrack.NotSent)
		return
	}
	hold := a.Once && a.pool.brittle()
	if a.Request.Source != nil {
		a.sendSource(c, hold)
		return
	}
	a.began, a.sentAt = !hold, time.Now()

	buf := buffers.Get().(*[]byte)
	head := a.appendHead((*buf)[:0])
	size := len(head)
	for _, piece := range a.Request.Body {
		size += len(piece)
	}
	if size <= smallSend {
		for _, piece := range a.Request.Body {
			head = append(head, piece...)
		}
		if hold {
			a.holdBack(c, head)
			a.mu.Unlock()
			*buf = head
			buffers.Put(buf)
			return
		}
		// The lock stays: an answer may come before the write returns.
		n, err := c.Write(head)
		failed := a.sent(n == size)
		a.mu.Unlock()
		*buf = head
		buffers.Put(buf)
		a.afterSend(c, n == size, failed, err)
		return
	}
	a.began = true
	a.mu.Unlock()
	go func() {
		defer a.guard()
		pieces := append(net.Buffers{head}, a.Request.Body...)
		n, err := pieces.WriteTo(c.Conn)
		a.mu.Lock()
		failed := a.sent(n == int64(size))
		a.mu.Unlock()
		a.afterSend(c, n == int64(size), failed, err)
	}()
}

// unwanted says that nobody waits for the answer any more. Guards against a process that
// was stopped, or starved of its core: what was to be written meanwhile is written when it
// goes on, before it is told that the client has left, or that the time is up.
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
	unwanted := a.unwanted(time.Now())
	a.mu.Lock()
	if a.ended || a.readFailed {
		a.ended = true
		a.mu.Unlock()
		a.pool.discard(c)
		a.done(chalkrack.ConnectFailed)
		return
	}
	if unwanted {
		a.ended, a.held = true, false // its connection breaks by this, and proves nothing
		a.mu.Unlock()
		a.pool.discard(c)
		a.done(chalkrack.NotSent)
		return
	}
	a.held, a.began = false, true
	n, err := c.Write([]byte{last})
	failed := a.sent(n == 1)
	a.mu.Unlock()
	a.afterSend(c, n == 1, failed, err)
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func (a *Attempt) sent(whole bool) (readFailed bool) {
	if a.wrote = whole; whole && a.pool.cfg.Forwarded != nil {
		a.pool.cfg.Forwarded()
	}
	return a.readFailed
}

func (a *Attempt) afterSend(c *conn, whole, readFailed bool, err error) {
	switch {
	case !whole:
		slog.Debug("request not written", "server", a.Server, "err", err)
		a.pool.discard(c)
		a.done(chalkrack.ConnectFailed)
	case readFailed:
		a.done(chalkrack.Reset)
	}
}

func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		c.in.left = headMost
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
// passed on gets less where the configuration says so, but stallLeast at least: so
// long a sidecar with a part of a core may itself have to wait.
const (
	stallMost  = 400 * time.Millisecond
	stallLeast = 60 * time.Millisecond
	// One that is being passed on can't be made again: a server that is slow is waited
	// for, one that hangs is told from it by this.
	lullMost = 2 * time.Second
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
	if ans.Body, long, err = readMost(resp.Body, ans.Length); err != nil {
		a.done(chalkrack.Reset)
		return false
	}
	good := resp.StatusCode == http.StatusOK || (a.pool.cfg.PassClientErrors || a.Pass || early) && clientError(resp.StatusCode)
	if long && good {
		return a.stream(c, resp, ans, rep)
	}
	// The next request must find nothing of this answer on the connection.
	goesOn = !long && !resp.Close && c.br.Buffered() == 0 && a.isWritten()
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
		case resp.ContentLength > answerMost:
			return nil, errLongAnswer // spoilt; begun, it could not be made for a second time
		case resp.StatusCode >= 200:
			// Also for one that tells no length and never ends. Small chunks need as much
			// again for what they say of themselves.
			c.in.left = 2*answerMost + headMost
			return resp, nil
		}
		c.in.calm()
		if _, err := c.br.Peek(1); err != nil {
			return nil, err
		}
	}
}

const trickle = 25 * time.Millisecond

// readMost reads what comes of a body before it is passed on: the whole of one that is
// told to be short, of others WholeMost, or what has come when bytes still come after
// trickle; more says that it goes on. One that has stopped does not: another attempt can
// still be made for it.
func readMost(body io.Reader, length int64) (b []byte, more bool, err error) {
	if length >= 0 && length <= WholeMost {
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
		case len(b) > WholeMost: // its end, if that has come, comes once more
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
		if total += n; total > answerMost {
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

// loadMost is beyond any load that a server can have.
const loadMost = 1e6

// ParseLoad reads a load report: name=value, with commas between. What makes no
// sense is passed over.
func ParseLoad(text string) (rep chalkrack.Report) {
	for text != "" {
		var field string
		field, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= loadMost) {
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
