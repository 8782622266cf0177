package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// impairment describes the faults in one direction of a link.
type impairment struct {
	cut            bool
	delay          time.Duration
	jitter         time.Duration
	bytesPerSecond int // 0: unlimited
	lossShare      float64
	duplicateShare float64
	reorderShare   float64
	hold           bool
}

// Directions of a link.
const (
	outbound = 0 // from the party that opens connections
	inbound  = 1
)

// linkState is the state that the goroutines of a link share. A change wakes the waiting ones.
type linkState struct {
	mu          sync.Mutex
	impairments [2]impairment
	refusing    bool // no process listens at the target
	resetting   bool
	closed      bool
	changed     chan struct{} // closed and replaced at each change
	rng         *rand.Rand
}

func newLinkState(seed uint64) linkState {
	return linkState{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 7))}
}

// update runs change with the lock held and wakes the goroutines that wait for a change.
func (s *linkState) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// awaitUncut blocks while a direction is cut, and returns its impairment then. It returns false if
// the link is closed, or if done is closed during the wait.
func (s *linkState) awaitUncut(direction int, done <-chan struct{}) (impairment, bool) {
	for {
		s.mu.Lock()
		imp, closed, changed := s.impairments[direction], s.closed, s.changed
		s.mu.Unlock()
		switch {
		case closed:
			return imp, false
		case !imp.cut:
			return imp, true
		}
		select {
		case <-changed:
		case <-done:
			return imp, false
		}
	}
}

// randomDelay returns the delay for one piece of data.
func (s *linkState) randomDelay(imp impairment) time.Duration {
	if imp.jitter <= 0 {
		return imp.delay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return imp.delay + time.Duration(s.rng.Int64N(int64(imp.jitter)))
}

// randomChance returns true with a probability of share.
func (s *linkState) randomChance(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

// Link proxies the TCP connections from one process to another at an address of its own, and
// injects faults that affect no other link. A cut link gives no sign of the cut: data and ends of
// connections wait in its buffers, and new connections are not established because its accept queue
// is full.
type Link struct {
	From, To Party
	linkState

	target string
	addr   string
	parked chan struct{} // signals that the accept loop has paused for a cut; has a buffer of one
	wg     sync.WaitGroup

	// Guarded by the lock of linkState.
	requests     []*requestRecord
	listener     *net.TCPListener // nil: the link refuses connections
	conns        map[*proxyConn]struct{}
	queueFillers map[string]net.Conn // connections that fill the accept queue, by local address
	paused       bool                // the accept loop has paused for a cut
	lastCutEnd   time.Time           // zero: there was no cut
}

// requestRecord records when the sender wrote a request to a link.
type requestRecord struct {
	id                    string
	firstChunk, lastChunk time.Time // when the first chunk was read, and the last so far
	// maybeQueued is set if the connection was accepted soon after a cut: the request may have been
	// written long before firstChunk and have waited in a queue.
	maybeQueued bool
}

// maxRequestRecords limits the requests that one link records.
const maxRequestRecords = 1 << 16

// requestIDField precedes the request ID in the head of a request.
var requestIDField = []byte("\r\nReq-Id: ")

// recordChunk records a chunk of a request. It relies on senders writing each head at once, so that
// a head is never split over two chunks.
func (l *Link) recordChunk(conn *proxyConn, data []byte) {
	now := time.Now()
	_, rest, hasHead := bytes.Cut(data, requestIDField)
	l.mu.Lock()
	defer l.mu.Unlock()
	if hasHead {
		id, _, _ := bytes.Cut(rest, []byte("\r\n"))
		if len(l.requests) >= maxRequestRecords {
			conn.request = nil
			return
		}
		conn.request = &requestRecord{id: string(id), firstChunk: now, maybeQueued: conn.maybeQueued}
		l.requests = append(l.requests, conn.request)
	}
	if conn.request != nil {
		conn.request.lastChunk = now
	}
}

// NewLink starts a link to the address target. It listens on a free port of the IP address host.
// The caller must close it.
func NewLink(host string, from, to Party, target string, seed uint64) (*Link, error) {
	l := &Link{From: from, To: to, linkState: newLinkState(seed), target: target, parked: make(chan struct{}, 1), conns: make(map[*proxyConn]struct{}), queueFillers: make(map[string]net.Conn)}
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("fleet: link: %w", err)
	}
	l.addr = ln.Addr().String()
	l.serve(ln.(*net.TCPListener))
	return l, nil
}

// Addr returns the address at which From reaches To.
func (l *Link) Addr() string { return l.addr }

// serve starts accepting connections from a listener.
func (l *Link) serve(ln *net.TCPListener) {
	l.mu.Lock()
	l.listener = ln
	l.mu.Unlock()
	l.wg.Go(func() { l.acceptLoop(ln) })
}

// isCut reports whether new connections cannot be established: a handshake needs both directions.
// The lock must be held.
func (l *Link) isCut() bool { return l.impairments[outbound].cut || l.impairments[inbound].cut }

// acceptLoop accepts and proxies connections until the listener is closed. It pauses while the link
// is cut.
func (l *Link) acceptLoop(ln *net.TCPListener) {
	for {
		conn, err := ln.AcceptTCP()
		if err != nil {
			var netErr net.Error
			if !errors.As(err, &netErr) || !netErr.Timeout() {
				return
			}
			// The deadline in the past means that a cut begins: wait for its end.
			l.mu.Lock()
			l.paused = true
			for l.isCut() && l.listener == ln && !l.closed {
				changed := l.changed
				l.mu.Unlock()
				select {
				case l.parked <- struct{}{}:
				default:
				}
				<-changed
				l.mu.Lock()
			}
			l.paused = false
			stop := l.listener != ln || l.closed
			l.mu.Unlock()
			if stop {
				return
			}
			continue
		}
		l.mu.Lock()
		filler := l.queueFillers[conn.RemoteAddr().String()]
		delete(l.queueFillers, conn.RemoteAddr().String())
		reset := l.resetting
		l.mu.Unlock()
		switch {
		case filler != nil:
			filler.Close()
			conn.Close()
		case reset:
			resetConn(conn)
		default:
			l.wg.Go(func() { l.proxy(conn) })
		}
	}
}

// proxyConn is one connection through a link.
type proxyConn struct {
	near, far   *net.TCPConn
	done        chan struct{}
	once        sync.Once
	request     *requestRecord // guarded by the lock of the Link
	maybeQueued bool
}

// close closes both connections, with a reset if abort is true.
func (p *proxyConn) close(abort bool) {
	p.once.Do(func() { close(p.done) })
	for _, c := range []*net.TCPConn{p.near, p.far} {
		if abort {
			c.SetLinger(0)
		}
		c.Close()
	}
}

// resetConn closes a connection with a reset.
func resetConn(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// proxy connects to the target and forwards data in both directions until both have ended.
func (l *Link) proxy(near *net.TCPConn) {
	target, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		resetConn(near)
		return
	}
	conn := &proxyConn{near: near, far: target.(*net.TCPConn), done: make(chan struct{})}
	l.mu.Lock()
	if l.closed || l.resetting {
		l.mu.Unlock()
		conn.close(true)
		return
	}
	l.conns[conn] = struct{}{}
	conn.maybeQueued = !l.lastCutEnd.IsZero() && time.Since(l.lastCutEnd) < queuedConnPeriod
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(conn, conn.far, conn.near, outbound) })
	directions.Go(func() { l.forward(conn, conn.near, conn.far, inbound) })
	directions.Wait()
	conn.close(false)
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// chunk is the result of one read from a connection.
type chunk struct {
	data   []byte
	readAt time.Time
	err    error
}

// maxBufferedChunks limits the data that one direction buffers, in addition to the kernel's
// buffers.
const maxBufferedChunks = 64

// forward forwards one direction of a connection with its impairment. Reading continues while the
// link is cut, because the time of the read is recorded as the time at which a sidecar wrote the
// data.
func (l *Link) forward(conn *proxyConn, dst, src *net.TCPConn, direction int) {
	chunks := make(chan chunk, maxBufferedChunks)
	go l.readChunks(conn, src, direction, chunks)
	for next := range chunks {
		imp, ok := l.awaitUncut(direction, conn.done)
		if !ok {
			conn.close(true)
			return
		}
		if remaining := l.randomDelay(imp) - time.Since(next.readAt); remaining > 0 && imp.delay+imp.jitter > 0 && len(next.data) > 0 {
			time.Sleep(remaining)
		}
		if len(next.data) > 0 && !writeAtRate(dst, next.data, imp.bytesPerSecond) {
			conn.close(true)
			return
		}
		switch {
		case next.err == nil:
		case errors.Is(next.err, io.EOF):
			dst.CloseWrite()
			return
		default:
			conn.close(true)
			return
		}
	}
	conn.close(true) // the other direction has closed the connection
}

// readChunks reads from src into chunks until the end of the data, an error, or the end of the
// connection. It closes chunks.
func (l *Link) readChunks(conn *proxyConn, src *net.TCPConn, direction int, chunks chan<- chunk) {
	defer close(chunks)
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if direction == outbound && n > 0 {
			l.recordChunk(conn, buf[:n])
		}
		select {
		case chunks <- chunk{bytes.Clone(buf[:n]), time.Now(), err}:
		case <-conn.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// writeAtRate writes data at a rate, in portions of 20 ms each, and reports success. At a rate of 0
// it writes all at once.
func writeAtRate(dst net.Conn, data []byte, bytesPerSecond int) bool {
	if bytesPerSecond <= 0 {
		_, err := dst.Write(data)
		return err == nil
	}
	const interval = 20 * time.Millisecond
	portionBytes := max(1, int(float64(bytesPerSecond)*interval.Seconds()))
	for len(data) > 0 {
		n := min(portionBytes, len(data))
		if _, err := dst.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
		time.Sleep(interval)
	}
	return true
}

// Refuse makes the link refuse new connections, as if no process listened, and resets open ones.
func (l *Link) Refuse() {
	var listener *net.TCPListener
	l.update(func() { listener, l.listener, l.refusing = l.listener, nil, true })
	if listener != nil {
		listener.Close()
	}
	l.resetConns()
}

// StopRefusing ends Refuse. It listens again at the same address.
func (l *Link) StopRefusing() error {
	l.mu.Lock()
	wasRefusing := l.refusing
	l.refusing = false
	isCut := l.isCut()
	l.mu.Unlock()
	if !wasRefusing {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("fleet: link: %w", err)
	}
	l.serve(ln.(*net.TCPListener))
	if isCut {
		l.blockConnects(ln.(*net.TCPListener))
	}
	return nil
}

// resetConns resets all open connections.
func (l *Link) resetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.close(true)
	}
}

// SetReset sets whether the link resets new connections. If on is true it also resets open ones.
func (l *Link) SetReset(on bool) {
	l.update(func() { l.resetting = on })
	if on {
		l.resetConns()
	}
}

// Close closes the listener, resets all connections and waits for the goroutines of the link.
func (l *Link) Close() {
	var listener *net.TCPListener
	l.update(func() { l.closed, listener = true, l.listener })
	if listener != nil {
		listener.Close()
	}
	l.resetConns()
	l.mu.Lock()
	for _, c := range l.queueFillers {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
