package upstream

import (
	"bufio"
	"cmp"
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
	// MaxBuffered is the size in bytes of the longest answer that is read completely before it
	// is passed on. If the server breaks off such an answer, another attempt can still be made.
	MaxBuffered = 64 << 10
	// maxAnswerBytes is the longest body that is accepted from a server.
	maxAnswerBytes = 32 << 20
	// maxInlineSendBytes fits the empty send buffer of any connection, so that writing it does
	// not block. Longer requests are written by a separate goroutine.
	maxInlineSendBytes = 8 << 10
)

// Attempt sends a request to one server, once.
type Attempt struct {
	Request          *message.Request
	Server           string
	Index            int       // number of the attempt within its call, from 0
	Deadline         time.Time // when the sidecar stops waiting for the answer
	NotAfter         time.Time // the request must not begin after this time; zero means no limit
	AtMostOnce       bool      // the request must not run twice
	PassClientErrors bool      // a 4xx answer (other than 408 and 429) is no failure
	Sink             core.Sink

	pool          *Pool
	target        *server
	targetAddr    string  // of target when the attempt was started
	targetProcess process // at that address then

	mu              sync.Mutex
	conn            *conn
	heldBack        bool // all bytes but the last are written; the last waits to see whether the connection breaks
	ended           bool // abandoned, or its connection is unusable
	began           bool // the first byte may have been written
	written         bool
	readFailed      bool               // the connection broke before the write was complete
	writerDone      chan struct{}      // closed when the goroutine that writes a Source has finished
	sendFailed      bool               // the request can no longer be written; the reader reports the outcome
	reading         message.BodyReader // open reader of the request's Source while it is sent
	lastByteSent    bool               // the last byte of a Source may have been written
	lastBytePending bool               // the last byte of a long body is not yet written

	sentAt time.Time

	// Use of the connection before this attempt.
	connIdle time.Duration
	connUses int

	answering bool  // an answer has begun; only for Phase
	cause     error // why the attempt ended; only for Cause
}

// NewAttempt implements core.Transport. The payload must be a *message.Request.
func (p *Pool) NewAttempt(o core.Order) core.Attempt {
	r := o.Payload.(*message.Request)
	if o.Index > 0 && r.OnRetry != nil {
		r.OnRetry()
	}
	return &Attempt{
		Request:          r,
		Server:           o.Server,
		Index:            o.Index,
		Deadline:         o.Deadline,
		NotAfter:         o.NotAfter,
		AtMostOnce:       o.AtMostOnce,
		PassClientErrors: o.PassClientErrors,
		Sink:             o.Sink,
		pool:             p,
	}
}

// Start implements core.Attempt.
func (a *Attempt) Start() { a.pool.Start(a) }

// Start starts the attempt and does not wait for the server.
func (p *Pool) Start(a *Attempt) {
	a.pool = p
	c, addr, err := p.acquire(a)
	switch {
	case errors.Is(err, errPoolFull):
		a.finish(chalkrack.NotSent, err)
	case err != nil:
		a.finish(chalkrack.ConnectFailed, err)
	case c != nil:
		a.send(c)
	default:
		go a.dial(addr)
	}
}

// Abandon stops an attempt and reports whether the server may have begun it. Close must be
// called afterwards: closing the connection tells the server that the attempt is over.
func (a *Attempt) Abandon() (began bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.began && (a.Request.Source == nil || a.lastByteSent)
}

// CancelUnsent implements core.Attempt. It stops the attempt unless the server may have begun it. A
// server begins a request when it has the last byte, so an attempt whose last byte is unwritten
// has not begun.
func (a *Attempt) CancelUnsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.began && a.Request.Source == nil && !a.lastBytePending || a.lastByteSent {
		return false
	}
	a.ended = true
	return true
}

// Phase describes the progress of an attempt for the log.
func (a *Attempt) Phase() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	phase := "waiting"
	switch {
	case a.conn == nil:
		return "connecting"
	case !a.written:
		phase = "writing"
	case a.answering:
		phase = "reading"
	}
	if a.connUses == 0 {
		return phase + " on a new connection"
	}
	return fmt.Sprintf("%s on a connection idle for %v after %d requests", phase, a.connIdle.Round(time.Millisecond), a.connUses)
}

// Cause implements core.Attempt.
func (a *Attempt) Cause() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cause == nil {
		return ""
	}
	return a.cause.Error()
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
	isOwner := c.owner == a // otherwise another attempt has acquired it
	if isOwner {
		a.pool.remove(c)
	}
	a.pool.mu.Unlock()
	if isOwner {
		c.dropUnsent()
		c.Close()
	}
}

// finish reports the outcome of an attempt without an answer. cause says why it ended, nil if the
// outcome says all.
func (a *Attempt) finish(outcome chalkrack.Outcome, cause error) {
	a.setCause(cause)
	a.Sink.Done(outcome, nil, chalkrack.LoadReport{})
}

// setCause sets the cause of the attempt's end, unless another was first.
func (a *Attempt) setCause(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cause == nil {
		a.cause = cause
	}
}

// discardConn closes the attempt's connection and reports the outcome.
func (a *Attempt) discardConn(c *conn, outcome chalkrack.Outcome, cause error) {
	a.setCause(cause) // before the reader finds the connection closed
	a.pool.discard(c)
	a.finish(outcome, cause)
}

var (
	errPanic        = errors.New("upstream: panic, see the log")
	errServerClosed = errors.New("upstream: the server ended the connection")
)

// recoverPanic contains a panic in the attempt's own goroutine and ends the attempt.
func (a *Attempt) recoverPanic() {
	if cause := recover(); cause != nil {
		slog.Error("panic while sending an attempt", "panic", cause, "stack", string(debug.Stack()))
		a.finish(chalkrack.Reset, errPanic)
	}
}

// dial opens a connection, starts sending on it and runs the connection's reader until it
// closes.
func (a *Attempt) dial(addr string) {
	c, err := a.connect(addr)
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		slog.Warn("cannot connect to server: no file descriptor left", "err", err)
		a.finish(chalkrack.NotSent, err)
		return
	case err != nil:
		a.finish(chalkrack.ConnectFailed, err)
		return
	}
	go a.sendGuarded(c)
	c.read(a.pool)
}

func (a *Attempt) connect(addr string) (*conn, error) {
	d := net.Dialer{Timeout: a.pool.Timeouts().DialTimeout, KeepAlive: -1}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		a.pool.releaseReservation()
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		a.pool.releaseReservation()
		return nil, err
	}
	c := &conn{Conn: nc, raw: raw, server: a.target, addr: addr, owner: a, limited: limitedConn{Conn: nc}}
	c.source.R = &c.limited
	c.reader = bufio.NewReaderSize(&c.source, connBufferBytes)
	c.checkQuiet = func(fd uintptr) { c.quiet = nothingToRead(fd) }
	return c, nil
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func (a *Attempt) recordWritten(complete bool) (readFailed bool) {
	if a.written = complete; complete && a.pool.cfg.OnRequestWritten != nil {
		a.pool.cfg.OnRequestWritten()
	}
	return a.readFailed
}

func (a *Attempt) reportSendResult(c *conn, complete, readFailed bool, err error) {
	switch {
	case !complete:
		a.discardConn(c, chalkrack.ConnectFailed, fmt.Errorf("upstream: request not written: %w", cmp.Or(err, errAttemptEnded)))
	case readFailed:
		a.finish(chalkrack.Reset, errServerClosed)
	}
}
