// Package front is the sidecar's side towards its client: it accepts
// connections, reads requests, writes answers and notices a client that leaves.
package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/figures"
	"chalkrack/internal/generation"
	"chalkrack/internal/message"
)

const (
	headMost = 64 << 10
	bodyMost = 32 << 20
	// A head must be whole so long after its first byte, the first one of a connection so
	// long after the connection came up; for bodies see pace.
	wholeWait    = 2500 * time.Millisecond
	longBody     = 64 << 10
	headPatience = time.Second
	// A client that takes nothing of its answer for so long has hung.
	writeMost = 10 * time.Second
	// How long a refused connection is read off, so that its client sees why.
	lingerMost  = 2 * time.Second
	lingerBytes = 1 << 20
	freshMost   = 500 * time.Millisecond
)

// Handler takes calls: the core.
type Handler interface {
	Arrive(c *core.Call)
	// Gone says that the client has left; false if an answer is under way.
	Gone(c *core.Call) bool
	// Ready says whether clients may come.
	Ready() bool
	// Route stamps a call by its path, and says which class that names and whether there
	// is such a class for it.
	Route(path string) (class string, under generation.Stamp, known bool)
	// Whole says that the body of a call that came before it is whole.
	Whole(c *core.Call)
}

// Config is what a Server is told.
type Config struct {
	MostConns int   // client connections at once
	MostBody  int64 // bytes of request bodies held at once
	// Choose says what becomes of a request, by its head; nil: all go to the Server's
	// Handler as they come.
	// listener is the name of the one that its connection came by.
	Choose func(r *http.Request, listener string, from netip.Addr) Choice
	// TellConfig answers with the number of the configuration that a call lived under.
	TellConfig bool
	// Bodies keeps request bodies; nil: all are held in memory, within MostBody.
	Bodies *Bodies
	// Long keeps those that are long or tell no length, where Bodies is nil; nil: nobody
	// does.
	Long *Bodies
	// Figures counts requests and their ends; nil: nobody does.
	Figures *figures.Figures
}

// Choice is what becomes of a request.
type Choice struct {
	To    Handler // nil: the Server's
	Class string  // empty: as the path names it
	Path  string  // in place of the request's; empty: as it came
	// Status, where it is not 0, answers here, with Location or Body.
	Status         int
	Location, Body string
}

// Server serves the client.
type Server struct {
	cfg     Config
	handler Handler
	budget  budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	open     map[string]struct{} // ids of the requests that wait for their answer
	draining bool
}

type conn struct {
	srv *Server
	nc  net.Conn
	in  capped

	listener string
	br       *bufio.Reader
	sight    sight

	busy    bool // a request is being read or answered
	head    bool
	shut    bool // closed by the sidecar
	ending  bool // to be ended, unless something has come
	reading bool // answered; what still comes is read off
	fresh   bool
	since   time.Time
	began   time.Time // what wholeWait counts from; the goroutine's own
	served  sync.Cond // x became nil
	x       *Exchange // the request that waits for its answer
	body    paced     // the body that is being read; the goroutine's own
}

// capped is a connection's input, which ends after left bytes. Guards against a
// head without end, which the parser would keep whole.
type capped struct {
	net.Conn
	left int64
	head *[]byte // what is read is written down here too, if set
}

var errLongHead = errors.New("front: head too long")

func (r *capped) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongHead
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.head != nil {
		*r.head = append(*r.head, p[:n]...)
	}
	return n, err
}

// New returns a Server that hands requests to h.
func New(cfg Config, h Handler) *Server {
	return &Server{cfg: cfg, handler: h, budget: budget{left: cfg.MostBody}, conns: make(map[*conn]struct{}), open: make(map[string]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error { return s.ServeAs("", ln) }

// ServeAs does so for a listener with a name. All listeners' connections count together.
func (s *Server) ServeAs(name string, ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// Out of descriptors or the like: it passes, and connections wait meanwhile.
			slog.Warn("can't accept", "err", err)
			s.evict()
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.add(nc, name)
	}
}

func (s *Server) add(nc net.Conn, listener string) {
	c := &conn{srv: s, nc: nc, listener: listener, in: capped{Conn: nc}, fresh: true, since: time.Now()}
	c.br = bufio.NewReaderSize(&c.in, 4<<10)
	c.served.L = &s.mu
	c.sight.of(nc)
	s.mu.Lock()
	full := len(s.conns) >= s.cfg.MostConns
	s.mu.Unlock()
	crowded := full && !s.evict()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve(crowded)
}

func (s *Server) evict() bool {
	s.mu.Lock()
	var oldest, slowest *conn
	for c := range s.conns {
		switch {
		case c.shut:
		case !c.busy:
			if oldest == nil || c.since.Before(oldest.since) {
				oldest = c
			}
		case c.head && time.Since(c.since) > headPatience:
			if slowest == nil || c.since.Before(slowest.since) {
				slowest = c
			}
		}
	}
	if oldest == nil {
		oldest = slowest
	}
	if oldest != nil {
		oldest.shut = true
		delete(s.conns, oldest)
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.nc.Close()
	}
	return oldest != nil
}

// Drain readies for the end: idle connections are closed, the others after
// their next answer. New ones are still served.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	var idle []*conn
	for c := range s.conns {
		if !c.busy && !c.shut && !c.fresh {
			c.shut = true
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.nc.Close()
	}
}

// Busy is the number of connections with a request, or about to bring one.
func (s *Server) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy || c.fresh && time.Since(c.since) < freshMost {
			n++
		}
	}
	return n
}

// LimitBodies goes on with another number of bytes of bodies at once. Past it nothing is
// taken until enough has been given back.
func (s *Server) LimitBodies(most int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.left += most - s.cfg.MostBody
	s.cfg.MostBody = most
}

func (s *Server) tally() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh, idle, heads, bodies, waiting int
	for c := range s.conns {
		switch {
		case c.x != nil:
			waiting++
		case c.head:
			heads++
		case c.busy:
			bodies++
		case c.fresh:
			fresh++
		default:
			idle++
		}
	}
	return fmt.Sprintf("%d without a byte, %d idle, %d in a head, %d in a body, %d waiting", fresh, idle, heads, bodies, waiting)
}

// Conns is the number of client connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
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
			if c.br.Buffered() == 0 && x.Left() {
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
	s.open[x.ID] = struct{}{}
	c.x = x
	return true
}

// next waits for a request to begin. Guards against clients that connect and say
// nothing: each would hold a descriptor for as long as it likes.
func (c *conn) next() bool {
	c.in.left = headMost
	first := c.began.IsZero()
	if first {
		c.began = time.Now()
		c.nc.SetReadDeadline(c.began.Add(wholeWait))
	}
	_, err := c.br.Peek(1)
	if err != nil && c.reprieved(err) {
		c.nc.SetReadDeadline(time.Now().Add(wholeWait))
		_, err = c.br.Peek(1)
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
	if err != nil || c.shut {
		return false
	}
	c.busy, c.head, c.fresh, c.since = true, true, false, time.Now()
	return true
}

// close ends a connection for good. Guards against counting those that are gone:
// after as many clients as there is room for, all others would be turned away.
func (c *conn) close() {
	c.srv.mu.Lock()
	c.shut = true
	if c.x != nil {
		delete(c.srv.open, c.x.ID)
		c.x.entry.Over(figures.Left)
	}
	delete(c.srv.conns, c)
	c.srv.mu.Unlock()
	c.nc.Close()
}

func (c *conn) read(crowded bool) (*Exchange, int) {
	c.nc.SetReadDeadline(c.began.Add(wholeWait))
	r, err := c.readHead()
	c.srv.mu.Lock()
	c.head = false
	c.srv.mu.Unlock()
	if err != nil {
		var ne net.Error
		switch {
		case errors.Is(err, errLongHead):
			return nil, http.StatusRequestHeaderFieldsTooLarge
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne):
			return nil, -1
		}
		return nil, http.StatusBadRequest
	}
	c.in.left = math.MaxInt64
	if c.srv.cfg.Bodies != nil || c.srv.cfg.Long != nil && (r.ContentLength > longBody || r.ContentLength < 0) {
		return c.readKept(r, crowded)
	}
	if r.ContentLength > bodyMost {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.nc.SetWriteDeadline(time.Now().Add(writeMost)) // the last answer's may be over
		c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, kept, status := c.readBody(r)
	if status != 0 {
		return nil, status
	}
	c.nc.SetReadDeadline(time.Time{})
	x := &Exchange{Call: core.Call{Received: time.Now()}, conn: c, reserved: kept, keep: !r.Close}
	if status = x.parse(r, c.srv.handler); status == 0 {
		x.compose(r, body)
	}
	switch {
	case r.URL.Path == "/_health":
		status = http.StatusOK
		if !c.srv.handler.Ready() {
			status = http.StatusServiceUnavailable
		}
	case status == 0 && (crowded || kept < 0):
		slog.Warn("request refused at a limit", "crowded", crowded, "conns", c.srv.tally())
		x.keep = x.keep && !crowded
		x.Refuse(limitRetry, true)
		x.Release()
		return nil, 0
	}
	if status != 0 {
		x.answerHere(status)
		x.Release()
		return nil, 0
	}
	return x, 0
}

var errTwoLengths = errors.New("front: body of two lengths")

// readHead reads a request's head. Guards against a request that hides another in
// its body: the parser drops a Content-Length beside a Transfer-Encoding, and a
// Transfer-Encoding of HTTP/1.0, without a word, so the head is looked at as it came.
func (c *conn) readHead() (*http.Request, error) {
	buf := buffers.Get().(*[]byte)
	defer giveBack(buf)
	come, _ := c.br.Peek(c.br.Buffered())
	*buf = append((*buf)[:0], come...)
	c.in.head = buf
	r, err := http.ReadRequest(c.br)
	c.in.head = nil
	if err != nil {
		return nil, err
	}
	length, encoding := framing(*buf)
	if encoding && (length || !r.ProtoAtLeast(1, 1)) {
		return nil, errTwoLengths
	}
	return r, nil
}

// framing says which of the fields that tell a body's end a head has.
func framing(head []byte) (length, encoding bool) {
	for line := range bytes.Lines(head) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		switch {
		case len(bytes.TrimSpace(line)) == 0:
			return length, encoding
		case !ok:
		case bytes.EqualFold(name, []byte("Content-Length")):
			length = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encoding = true
		}
	}
	return length, encoding
}

// limitRetry is when a client refused at a limit may come back.
const limitRetry = 200 * time.Millisecond

// readBody reads a request's body under the byte budget. Past it the rest is
// read off and thrown away, and kept is -1.
func (c *conn) readBody(r *http.Request) (body [][]byte, kept int64, status int) {
	if r.Body == http.NoBody {
		return nil, 0, 0
	}
	b := &c.srv.budget
	in := c.pace(r.Body, leastRate, bodyWait)
	over := false
	drop := func() {
		b.give(kept)
		body, kept = nil, 0
	}
	var waste []byte
	size := int64(firstPiece)
	for total := int64(0); ; size = pieceSize {
		if r.ContentLength > 0 {
			size = min(pieceSize, r.ContentLength-total)
		}
		if !over && !b.take(size) {
			over = true
			drop()
			waste = make([]byte, pieceSize)
		}
		piece := waste
		if !over {
			kept += size
			piece = make([]byte, size)
		}
		n, err := fill(in, piece)
		total += int64(n)
		if !over && n > 0 {
			body = append(body, piece[:n])
		}
		var ne net.Error
		switch {
		case total > bodyMost:
			status = http.StatusRequestEntityTooLarge
		case err == io.EOF, err == nil && total == r.ContentLength:
			if over {
				kept = -1
			}
			return body, kept, 0
		case err == nil:
			continue
		case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
			status = -1
		default:
			status = http.StatusBadRequest
		}
		drop()
		return nil, 0, status
	}
}

// fill fills p; io.EOF says that the body ended before.
func fill(body io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = body.Read(p[n:])
		n += k
	}
	return n, err
}

// reject answers what is no request and closes the connection, after reading off
// what the client still sends: closing at once would take the answer back. What it
// sends beyond lingerBytes is not worth the reading. Meanwhile the connection counts
// as idle, so that it gives way to others.
func (c *conn) reject(status int) { c.rejectWith(status, "") }

func (c *conn) rejectWith(status int, field string) {
	x := &Exchange{conn: c}
	b := append(message.AppendLength(x.head(nil, status, field, nil), 0), "\r\n"...)
	c.nc.SetWriteDeadline(time.Now().Add(lingerMost))
	c.nc.Write(b)
	c.linger()
}

// linger reads off what the client still sends, for a while.
func (c *conn) linger() {
	if tc, ok := c.nc.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	c.srv.mu.Lock()
	c.busy, c.reading, c.since = false, true, time.Now()
	c.srv.mu.Unlock()
	c.nc.SetReadDeadline(time.Now().Add(lingerMost))
	io.CopyN(io.Discard, c.nc, lingerBytes)
}

// bodyWait is how long a body may take in all.
const bodyWait = 10 * time.Minute

const (
	firstPiece = 4 << 10
	pieceSize  = 64 << 10
)

type budget struct {
	mu   sync.Mutex
	left int64
}

func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *budget) give(n int64) {
	if n > 0 {
		b.mu.Lock()
		b.left += n
		b.mu.Unlock()
	}
}
