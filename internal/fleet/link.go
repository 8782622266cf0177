package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// way is what holds of one direction of a link.
type way struct {
	cut     bool
	delay   time.Duration
	spread  time.Duration
	rate    int // bytes a second; 0: any
	loss    float64
	double  float64
	reorder float64
	hold    bool
}

// Directions of a link.
const (
	out  = 0 // from the one who opens connections
	back = 1
)

// gate is what a link's goroutines go by. It wakes those that wait when it changes.
type gate struct {
	mu      sync.Mutex
	ways    [2]way
	refuse  bool // the far end's process is down
	reset   bool
	closed  bool
	changed chan struct{}
	rng     *rand.Rand
}

func newGate(seed uint64) gate {
	return gate{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 7))}
}

// set changes what holds.
func (g *gate) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	close(g.changed)
	g.changed = make(chan struct{})
}

// pass waits while a direction is cut, and says what holds of it then; false: it is over.
func (g *gate) pass(dir int, over <-chan struct{}) (way, bool) {
	for {
		g.mu.Lock()
		w, closed, changed := g.ways[dir], g.closed, g.changed
		g.mu.Unlock()
		switch {
		case closed:
			return w, false
		case !w.cut:
			return w, true
		}
		select {
		case <-changed:
		case <-over:
			return w, false
		}
	}
}

func (g *gate) late(w way) time.Duration {
	if w.spread <= 0 {
		return w.delay
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return w.delay + time.Duration(g.rng.Int64N(int64(w.spread)))
}

func (g *gate) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64() < share
}

// Link carries the connections from one process to one other, by an address of its own,
// with faults that are its alone. What is cut says nothing: bytes wait in its buffers, ends
// of connections too, and new connections never come up, for its queue of them is full.
type Link struct {
	From, To Party
	gate

	target string
	addr   string
	parked chan struct{} // the accepting goroutine has stopped for a cut; holds one
	wg     sync.WaitGroup

	// Guarded by the gate's lock.
	sends []*sending
	ln    *net.TCPListener // nil: refusing
	pipes map[*pipe]struct{}
	fill  map[string]net.Conn // the connections that fill the queue, by their own address
	stuck bool                // the accepting goroutine is parked
	whole time.Time           // when the last cut ended; zero: never
}

// sending is one request on its way through a link, as its sender wrote it.
type sending struct {
	id          string
	first, last time.Time // when its first piece was read, and its last so far
	// doubt says that its connection came up just after a cut: it may have been written
	// long before, and lain in a queue since.
	doubt bool
}

// sendsMost bounds the requests that one link remembers.
const sendsMost = 1 << 16

// idField is what a request's head has its id behind.
var idField = []byte("\r\nReq-Id: ")

// saw notes a piece of a request. Heads come in one piece: senders write them so.
func (l *Link) saw(p *pipe, b []byte) {
	now := time.Now()
	_, rest, begins := bytes.Cut(b, idField)
	l.mu.Lock()
	defer l.mu.Unlock()
	if begins {
		id, _, _ := bytes.Cut(rest, []byte("\r\n"))
		if len(l.sends) >= sendsMost {
			p.sending = nil
			return
		}
		p.sending = &sending{id: string(id), first: now, doubt: p.doubt}
		l.sends = append(l.sends, p.sending)
	}
	if p.sending != nil {
		p.sending.last = now
	}
}

// NewLink starts a link to a target, which listens at a host.
func NewLink(host string, from, to Party, target string, seed uint64) (*Link, error) {
	l := &Link{From: from, To: to, gate: newGate(seed), target: target, parked: make(chan struct{}, 1), pipes: make(map[*pipe]struct{}), fill: make(map[string]net.Conn)}
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("fleet: link: %w", err)
	}
	l.addr = ln.Addr().String()
	l.listen(ln.(*net.TCPListener))
	return l, nil
}

// Addr is where From reaches To.
func (l *Link) Addr() string { return l.addr }

func (l *Link) listen(ln *net.TCPListener) {
	l.mu.Lock()
	l.ln = ln
	l.mu.Unlock()
	l.wg.Go(func() { l.accept(ln) })
}

// isCut says that connections can't come up: a handshake needs both directions.
func (l *Link) isCut() bool { return l.ways[out].cut || l.ways[back].cut }

func (l *Link) accept(ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			var ne net.Error
			if !errors.As(err, &ne) || !ne.Timeout() {
				return
			}
			// A cut begins: wait for its end.
			l.mu.Lock()
			l.stuck = true
			for l.isCut() && l.ln == ln && !l.closed {
				changed := l.changed
				l.mu.Unlock()
				select {
				case l.parked <- struct{}{}:
				default:
				}
				<-changed
				l.mu.Lock()
			}
			l.stuck = false
			over := l.ln != ln || l.closed
			l.mu.Unlock()
			if over {
				return
			}
			continue
		}
		l.mu.Lock()
		own := l.fill[c.RemoteAddr().String()]
		delete(l.fill, c.RemoteAddr().String())
		reset := l.reset
		l.mu.Unlock()
		switch {
		case own != nil:
			own.Close()
			c.Close()
		case reset:
			sever(c)
		default:
			l.wg.Go(func() { l.carry(c) })
		}
	}
}

// pipe is one connection through a link.
type pipe struct {
	near, far *net.TCPConn
	over      chan struct{}
	once      sync.Once
	sending   *sending // guarded by the gate's lock
	doubt     bool
}

func (p *pipe) end(abort bool) {
	p.once.Do(func() { close(p.over) })
	for _, c := range []*net.TCPConn{p.near, p.far} {
		if abort {
			c.SetLinger(0)
		}
		c.Close()
	}
}

func sever(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func (l *Link) carry(near *net.TCPConn) {
	c, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		sever(near)
		return
	}
	p := &pipe{near: near, far: c.(*net.TCPConn), over: make(chan struct{})}
	l.mu.Lock()
	if l.closed || l.reset {
		l.mu.Unlock()
		p.end(true)
		return
	}
	l.pipes[p] = struct{}{}
	p.doubt = !l.whole.IsZero() && time.Since(l.whole) < doubtFor
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, p.far, p.near, out) })
	both.Go(func() { l.pump(p, p.near, p.far, back) })
	both.Wait()
	p.end(false)
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// piece is what was read of a connection at once, and how that ended.
type piece struct {
	b   []byte
	at  time.Time
	err error
}

// piecesMost bounds what a direction holds, beside the kernel's buffers.
const piecesMost = 64

// pump carries one direction. It reads on while the link is cut: when a sidecar wrote
// something is told by when it was read here.
func (l *Link) pump(p *pipe, dst, src *net.TCPConn, dir int) {
	pieces := make(chan piece, piecesMost)
	go l.readOn(p, src, dir, pieces)
	for x := range pieces {
		w, ok := l.pass(dir, p.over)
		if !ok {
			p.end(true)
			return
		}
		if d := l.late(w) - time.Since(x.at); d > 0 && w.delay+w.spread > 0 && len(x.b) > 0 {
			time.Sleep(d)
		}
		if len(x.b) > 0 && !write(dst, x.b, w.rate) {
			p.end(true)
			return
		}
		switch {
		case x.err == nil:
		case errors.Is(x.err, io.EOF):
			dst.CloseWrite()
			return
		default:
			p.end(true)
			return
		}
	}
	p.end(true) // the other direction has ended it
}

// readOn reads one direction to its end, or that of the connection.
func (l *Link) readOn(p *pipe, src *net.TCPConn, dir int, pieces chan<- piece) {
	defer close(pieces)
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if dir == out && n > 0 {
			l.saw(p, buf[:n])
		}
		select {
		case pieces <- piece{bytes.Clone(buf[:n]), time.Now(), err}:
		case <-p.over:
			return
		}
		if err != nil {
			return
		}
	}
}

// write writes at a rate, in slices of 20 ms.
func write(dst net.Conn, b []byte, rate int) bool {
	if rate <= 0 {
		_, err := dst.Write(b)
		return err == nil
	}
	const slice = 20 * time.Millisecond
	piece := max(1, int(float64(rate)*slice.Seconds()))
	for len(b) > 0 {
		n := min(piece, len(b))
		if _, err := dst.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		time.Sleep(slice)
	}
	return true
}

// fillMost bounds the connections that fill a queue, fillWait how long one may take.
const (
	fillMost = 8
	fillWait = 40 * time.Millisecond
	// doubtFor after a cut a connection may be one that began to come up before.
	doubtFor = 5 * time.Second
)

// change alters what holds of the link.
func (l *Link) change(how func(ways *[2]way)) {
	l.mu.Lock()
	was, ln := l.isCut(), l.ln
	ways := l.ways
	how(&ways)
	is := ways[out].cut || ways[back].cut
	l.mu.Unlock()
	if was && !is && ln != nil { // while nobody else accepts
		l.openQueue(ln)
	}
	l.set(func() { l.ways = ways })
	if is && !was && ln != nil {
		l.shutQueue(ln)
	}
}

// SetCut cuts a direction of the link, or has it whole again: out is from the one who opens
// connections.
func (l *Link) SetCut(there, andBack bool) {
	l.change(func(w *[2]way) { w[out].cut, w[back].cut = there, andBack })
}

// SetDelay has what comes back be late by so much.
func (l *Link) SetDelay(andBack time.Duration) {
	l.change(func(w *[2]way) { w[back].delay = andBack })
}

// shutQueue has new connections never come up: the kernel drops the first packet of one
// where the queue of those that wait is full (listen(2), tcp(7)).
func (l *Link) shutQueue(ln *net.TCPListener) {
	ln.SetDeadline(time.Unix(1, 0))
	<-l.parked
	backlog(ln, 0)
	for range fillMost {
		c, err := net.DialTimeout("tcp", l.addr, fillWait)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.fill[c.LocalAddr().String()] = c
		l.mu.Unlock()
	}
}

// openQueue resets what came into the queue as the cut began: a machine that is back knows
// nothing of it.
func (l *Link) openQueue(ln *net.TCPListener) {
	for range fillMost {
		ln.SetDeadline(time.Now().Add(5 * time.Millisecond))
		c, err := ln.AcceptTCP()
		if err != nil {
			break
		}
		l.mu.Lock()
		own := l.fill[c.RemoteAddr().String()]
		delete(l.fill, c.RemoteAddr().String())
		l.mu.Unlock()
		if own != nil {
			own.Close()
		}
		sever(c)
	}
	l.mu.Lock()
	l.whole = time.Now()
	l.mu.Unlock()
	backlog(ln, 128)
	ln.SetDeadline(time.Time{})
}

func backlog(ln *net.TCPListener, n int) {
	if raw, err := ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Refuse has new connections refused, as where no process listens; open ones are reset.
func (l *Link) Refuse() {
	var ln *net.TCPListener
	l.set(func() { ln, l.ln, l.refuse = l.ln, nil, true })
	if ln != nil {
		ln.Close()
	}
	l.sever()
}

// Accept ends Refuse.
func (l *Link) Accept() error {
	l.mu.Lock()
	refuses := l.refuse
	l.refuse = false
	cut := l.isCut()
	l.mu.Unlock()
	if !refuses {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("fleet: link: %w", err)
	}
	l.listen(ln.(*net.TCPListener))
	if cut {
		l.shutQueue(ln.(*net.TCPListener))
	}
	return nil
}

// sever resets all that is open.
func (l *Link) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.end(true)
	}
}

// SetReset resets what is open, and what comes while it is on.
func (l *Link) SetReset(on bool) {
	l.set(func() { l.reset = on })
	if on {
		l.sever()
	}
}

// Close ends it and waits for its goroutines.
func (l *Link) Close() {
	var ln *net.TCPListener
	l.set(func() { l.closed, ln = true, l.ln })
	if ln != nil {
		ln.Close()
	}
	l.sever()
	l.mu.Lock()
	for _, c := range l.fill {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
