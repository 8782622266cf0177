package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/message"
)

const (
	// MaxBuffered is the longest answer that is read whole before it is passed on:
	// if its server breaks first, another attempt can still be made.
	MaxBuffered  = 64 << 10
	maxHeadBytes = 64 << 10 // of a server's answer
	// maxAnswerBytes is the longest answer that is meant.
	maxAnswerBytes = 32 << 20
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
	lastHeld   bool            // the last byte of a long body is not written

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

// Forgo implements core.Attempt. A server begins with the last byte: until that is written
// nothing has begun.
func (a *Attempt) Forgo() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.began && a.Request.Source == nil && !a.lastHeld || a.lastOut {
		return false
	}
	a.ended = true
	return true
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
	c.look = func(fd uintptr) { c.still = silent(fd) }
	return c, nil
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
