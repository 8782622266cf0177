// Package upstream is the sidecar's side towards the servers: the connections
// it keeps to them and single attempts on these, with their outcomes. It sends
// nothing twice and chooses no server.
package upstream

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Config is what a Pool is told.
type Config struct {
	ConnIdle    time.Duration
	DialTimeout time.Duration
	DrainGrace  time.Duration
	MaxConns    int           // connections at once, those being dialled included
	Stall       time.Duration // what an answer may pause before it is passed on; 0: stallTimeout
	Lull        time.Duration // what one may pause that is being passed on; 0: lullTimeout
	// PassClientErrors takes an answer of 4xx (but for 408 and 429) as the server's
	// answer to the request, not as a failed attempt.
	PassClientErrors bool
	// Forwarded is told of each attempt whose last byte was written; nil: nobody is.
	Forwarded func()
}

// Pool keeps the connections to all servers.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	servers map[string]*server
	conns   int

	idleTimeout time.Duration
	learned     time.Time     // when idleTimeout last changed
	lasted      time.Duration // the longest idling that a connection came through lately
	lastedAt    time.Time
	brokeAt     time.Time     // when a connection last broke under a request just sent
	unasked     time.Time     // when bytes that nobody asked for last came
	early       time.Duration // earlyBreak; tests have more patience, as with stall and hold
	stall       time.Duration
	lull        time.Duration // lullTimeout; what an answer may pause that is being passed on
	hold        time.Duration // commitAfter
	send        time.Duration // sendTimeout
}

const (
	// A used connection that breaks so soon after a request was probably closed
	// by its server before: the two crossed.
	earlyBreak = 20 * time.Millisecond
	// minIdle is what idleTimeout never falls below: connections in steady use are kept.
	minIdle = 50 * time.Millisecond
	// After a connection broke under a request just sent, others are mistrusted for so long.
	brittleFor = 5 * time.Second
	// After so long without an early break idleTimeout doubles.
	idleRelearn = 30 * time.Second
	// After bytes that nobody asked for connections rest for minRest between two requests,
	// for unaskedFor: a second answer comes some milliseconds late, and on a connection that
	// has gone on it would be taken for the answer to the next request.
	minRest    = 25 * time.Millisecond
	unaskedFor = 30 * time.Second
)

// server is where a server is, and the idle connections to it, oldest first.
type server struct {
	name, addr string
	started    time.Duration
	left       time.Time
	idle       []*conn
}

type conn struct {
	net.Conn
	raw   syscall.RawConn
	in    capped
	br    *bufio.Reader
	to    *server
	addr  string
	used  time.Time // when it went idle last
	uses  int
	look  func(fd uintptr) // sets still; made once, for it is called twice a request
	still bool             // of whoever takes the connection, and its owner then
	owner *Attempt         // nil while idle; guarded by the pool's lock
	dead  bool             // taken out of the pool; guarded by the pool's lock
}

// New returns an empty Pool.
func New(cfg Config) *Pool {
	p := &Pool{cfg: cfg, servers: make(map[string]*server), early: earlyBreak, stall: stallTimeout, lull: lullTimeout, hold: commitAfter, send: sendTimeout}
	p.idleTimeout = p.idleCap()
	if cfg.Lull > 0 {
		p.lull = cfg.Lull
	}
	if cfg.Stall > 0 {
		p.stall = max(minStall, min(cfg.Stall, stallTimeout))
	}
	return p
}

// idleCap is how long a connection is kept idle at most, well under the time after
// which servers say that they close it.
func (p *Pool) idleCap() time.Duration { return p.cfg.ConnIdle * 6 / 10 }

// Times are what a change of the configuration may change of a Pool's Config.
type Times struct{ ConnIdle, DialTimeout, DrainGrace time.Duration }

// Adopt goes on with other times. What idles for too long by them goes with the next
// Sweep or the next use.
func (p *Pool) Adopt(t Times) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.ConnIdle, p.cfg.DialTimeout, p.cfg.DrainGrace = t.ConnIdle, t.DialTimeout, t.DrainGrace
	p.idleTimeout = min(p.idleTimeout, p.idleCap())
}

// Times are those that the Pool goes by now.
func (p *Pool) Times() Times {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Times{p.cfg.ConnIdle, p.cfg.DialTimeout, p.cfg.DrainGrace}
}

// broke takes a connection that broke as soon as a request was written.
func (p *Pool) broke(idle time.Duration, uses int) {
	p.mu.Lock()
	p.brokeAt = time.Now()
	p.mu.Unlock()
	if uses > 0 {
		p.crossed(idle)
	}
}

// brittle says that connections have broken of late.
func (p *Pool) brittle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.brokeAt.IsZero() && time.Since(p.brokeAt) < brittleFor
}

// crossed learns from a connection that broke as soon as it was used after idling.
// Guards against learning from a server that dies or breaks off: what idled for a
// moment, or for less than others that are well, did not break of that.
func (p *Pool) crossed(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle < minIdle || idle <= p.lasted && time.Since(p.lastedAt) < idleRelearn {
		return
	}
	p.learned = time.Now()
	if most := max(idle/2, minIdle); most < p.idleTimeout {
		p.idleTimeout = most
		slog.Info("connections break after idling: kept for less", "idle", idle, "kept", most)
	}
}

// Serve says where a server is and when it last started. Idle connections to
// another address or an earlier process are closed: they would end as resets.
func (p *Pool) Serve(name, addr string, started time.Duration) {
	p.mu.Lock()
	s := p.servers[name]
	if s == nil {
		s = &server{name: name}
		p.servers[name] = s
	}
	var old []*conn
	if s.addr != addr || s.started != started {
		old = p.takeIdle(s)
	}
	s.addr, s.started, s.left = addr, started, time.Time{}
	p.mu.Unlock()
	closeAll(old)
}

// Leave says that a server drains or has gone.
func (p *Pool) Leave(name string, gone bool) {
	p.mu.Lock()
	var old []*conn
	if s := p.servers[name]; s != nil {
		old = p.takeIdle(s)
		if s.left.IsZero() {
			s.left = time.Now()
		}
		if gone {
			delete(p.servers, name)
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// Keep lets go of all servers but those listed.
func (p *Pool) Keep(listed map[string]bool) {
	var gone []string
	p.mu.Lock()
	for name := range p.servers {
		if !listed[name] {
			gone = append(gone, name)
		}
	}
	p.mu.Unlock()
	for _, name := range gone {
		p.Leave(name, true)
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	var old []*conn
	if s := p.servers[name]; s != nil {
		old = p.takeIdle(s)
	}
	p.mu.Unlock()
	closeAll(old)
}

// Limit goes on with another number of connections at most. Past it idle ones are
// closed, those that idle for the longest first; others as they end.
func (p *Pool) Limit(most int) {
	p.mu.Lock()
	p.cfg.MaxConns = most
	var old []*conn
	for p.conns > most {
		c := p.longestIdle()
		if c == nil {
			break
		}
		old = append(old, c)
		p.drop(c)
	}
	p.mu.Unlock()
	closeAll(old)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	if most := p.idleCap(); p.idleTimeout < most && now.Sub(p.learned) > idleRelearn {
		p.idleTimeout, p.learned = min(2*p.idleTimeout, most), now
	}
	var old []*conn
	for _, s := range p.servers {
		for len(s.idle) > 0 && now.Sub(s.idle[0].used) > p.idleTimeout {
			old = append(old, s.idle[0])
			p.drop(s.idle[0])
		}
	}
	p.mu.Unlock()
	closeAll(old)
}

// Close closes all idle connections, and others when their attempts end: each server
// counts as one that has left, so nothing new is sent.
func (p *Pool) Close() { p.Keep(nil) }

// Limits is the number of connections at most, as Limit said last.
func (p *Pool) Limits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.MaxConns
}

// Conns is the number of connections.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

func (p *Pool) takeIdle(s *server) []*conn {
	old := s.idle
	for _, c := range old {
		c.dead = true
	}
	p.conns -= len(old)
	s.idle = nil
	return old
}

// drop takes an open connection out of the pool. The caller closes it.
func (p *Pool) drop(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	p.conns--
	for i, o := range c.to.idle {
		if o == c {
			c.to.idle = append(c.to.idle[:i], c.to.idle[i+1:]...)
			break
		}
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}

var (
	errUnlisted = errors.New("upstream: server not listed")
	// errNoPlace is this sidecar's own trouble: guards against blaming a server for it.
	errNoPlace = errors.New("upstream: all connections in use")
)

// take gives a the newest idle connection to its server that is still good. With
// none it books a place for a new one.
func (p *Pool) take(a *Attempt) (c *conn, addr string, err error) {
	now := time.Now()
	p.mu.Lock()
	var old []*conn
	defer func() {
		p.mu.Unlock()
		closeAll(old)
	}()
	s := p.servers[a.Server]
	if s == nil {
		return nil, "", errUnlisted // gone between the decision and now
	}
	a.to = s
	for last := p.rested(s, now); last >= 0; last = p.rested(s, now) {
		c := s.idle[last]
		if now.Sub(c.used) <= p.idleTimeout && c.quiet() {
			s.idle = slices.Delete(s.idle, last, last+1)
			c.owner = a
			a.idle, a.uses = now.Sub(c.used), c.uses
			return c, "", nil
		}
		old = append(old, c)
		p.drop(c)
	}
	if p.conns >= p.cfg.MaxConns {
		c := p.longestIdle()
		if c == nil {
			slog.Warn("no descriptor left for a connection to a server", "conns", p.conns)
			return nil, "", errNoPlace
		}
		old = append(old, c)
		p.drop(c)
	}
	p.conns++
	return nil, s.addr, nil
}

// rested is the place of the newest idle connection to a server that may be used now, -1 for
// none.
func (p *Pool) rested(s *server, now time.Time) int {
	last := len(s.idle) - 1
	if p.unasked.IsZero() || now.Sub(p.unasked) >= unaskedFor {
		return last
	}
	for last >= 0 && now.Sub(s.idle[last].used) < minRest {
		last--
	}
	return last
}

// heardUnasked takes it that a server sent what nobody asked for.
func (p *Pool) heardUnasked(server string) {
	p.mu.Lock()
	first := time.Since(p.unasked) >= unaskedFor
	p.unasked = time.Now()
	p.mu.Unlock()
	if first {
		slog.Info("a server sends what nobody asked for: connections rest between requests", "server", server, "for", minRest)
	}
}

// longestIdle is the connection that has been idle for the longest, nil if none is.
func (p *Pool) longestIdle() (oldest *conn) {
	for _, s := range p.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].used.Before(oldest.used)) {
			oldest = s.idle[0]
		}
	}
	return oldest
}

// speaks says whether there are bytes to read, and not only an end.
func (c *conn) speaks() bool {
	n := 0
	c.raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

func (c *conn) quiet() bool {
	c.still = false
	return c.raw.Control(c.look) == nil && c.still
}

// silent says that there is nothing to read now.
func silent(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EINTR
}

func (p *Pool) release(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.dead || c.addr != c.to.addr || !c.to.left.IsZero() {
		return false
	}
	if p.conns > p.cfg.MaxConns { // the limit has come down
		return false
	}
	now := time.Now()
	if idle := c.owner.idle; idle >= p.lasted || now.Sub(p.lastedAt) >= idleRelearn {
		p.lasted, p.lastedAt = idle, now
	}
	c.owner, c.used = nil, now
	c.uses++
	c.to.idle = append(c.to.idle, c)
	return true
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.drop(c)
	p.mu.Unlock()
	c.Close()
}

// unbook gives back the place of a connection that never came up.
func (p *Pool) unbook() {
	p.mu.Lock()
	p.conns--
	p.mu.Unlock()
}

// late says that the grace of a server that left is over.
func (p *Pool) late(s *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !s.left.IsZero() && time.Since(s.left) > p.cfg.DrainGrace
}
