// Package upstream manages the sidecar's connections to servers. A Pool keeps the connections,
// and an Attempt sends one request once over one of them and reports the outcome. The package
// neither retries requests nor selects servers.
package upstream

import (
	"errors"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"chalkrack/internal/bytebudget"
	"chalkrack/internal/httphead"
)

// Config configures a Pool.
type Config struct {
	ConnIdleTimeout    time.Duration
	DialTimeout        time.Duration
	DrainGrace         time.Duration
	MaxConns           int           // maximum number of connections, including those being dialled
	StallTimeout       time.Duration // pause after which an answer that is not passed on yet is reported as stalled; 0 means defaultStallTimeout
	StreamStallTimeout time.Duration // longest pause in an answer being passed on; 0 means defaultStreamStallTimeout
	// PassClientErrors treats a 4xx answer (other than 408 and 429) as the server's answer to
	// the request and not as a failed attempt.
	PassClientErrors bool
	// Heads bounds the memory of the heads of answers that are longer than a connection's buffer. If
	// it is nil, the Pool has a budget of its own.
	Heads *httphead.Budget
	// Answers bounds the memory of the answers that are held before they are passed on. If it is nil,
	// it is not bounded.
	Answers *bytebudget.Budget
	// OnRequestWritten is called for each attempt after its last byte is written; it may be nil.
	OnRequestWritten func()
}

// Pool keeps the connections to all servers. Its methods may be called concurrently.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	servers map[string]*server
	byAddr  map[string]*server // the server that came last to each address
	conns   int

	idleTimeout          time.Duration
	idleTimeoutChangedAt time.Time
	longestSurvivedIdle  time.Duration // longest idle time that a connection recently survived
	longestSurvivedAt    time.Time
	lastBreakAt          time.Time     // when a connection last broke right after a request was sent
	unsolicitedAt        time.Time     // when a server last sent unsolicited bytes
	earlyBreakWindow     time.Duration // tests change this and the times below
	stallTimeout         time.Duration
	streamStallTimeout   time.Duration // longest pause in an answer being passed on
	holdBackDelay        time.Duration
	sendTimeout          time.Duration
}

const (
	// connBufferBytes is the size of the read buffer of a connection.
	connBufferBytes = 4 << 10
	// A reused connection that breaks this soon after a request was probably closed by the
	// server before the request arrived.
	defaultEarlyBreakWindow = 20 * time.Millisecond
	// minIdleTimeout is the lower bound of the learned idle timeout, so that connections in
	// steady use are kept.
	minIdleTimeout = 50 * time.Millisecond
	// After a connection breaks right after a request was sent, other connections are considered
	// unreliable for breakMemoryPeriod.
	breakMemoryPeriod = 5 * time.Second
	// The learned idle timeout doubles after idleRelearnInterval without an early break.
	idleRelearnInterval = 30 * time.Second
	// For reuseDelayPeriod after a server sent unsolicited bytes, a connection must be idle for
	// minReuseDelay before it is reused: a duplicate answer arrives some milliseconds late, and
	// on a connection already reused it would be taken for the answer to the next request.
	minReuseDelay    = 25 * time.Millisecond
	reuseDelayPeriod = 30 * time.Second
)

// server holds a server's address and the idle connections to it, oldest first.
type server struct {
	name, addr string
	started    time.Duration
	leftAt     time.Time
	idle       []*conn
}

// New returns a Pool without servers or connections.
func New(cfg Config) *Pool {
	if cfg.Heads == nil {
		cfg.Heads = httphead.NewBudget(0)
	}
	if cfg.Answers == nil {
		cfg.Answers = bytebudget.New(math.MaxInt64)
	}
	p := &Pool{cfg: cfg, servers: make(map[string]*server), byAddr: make(map[string]*server), earlyBreakWindow: defaultEarlyBreakWindow, stallTimeout: defaultStallTimeout, streamStallTimeout: defaultStreamStallTimeout, holdBackDelay: defaultHoldBackDelay, sendTimeout: defaultSendTimeout}
	p.idleTimeout = p.maxIdleTimeout()
	p.setStallTimeouts(cfg.StallTimeout, cfg.StreamStallTimeout)
	return p
}

// maxIdleTimeout returns the longest time that a connection is kept idle. It is well below the
// idle timeout that servers announce.
func (p *Pool) maxIdleTimeout() time.Duration { return p.cfg.ConnIdleTimeout * 6 / 10 }

// Timeouts holds the fields of a Pool's Config that can change at run time. A StallTimeout or
// StreamStallTimeout of 0 leaves the one in use.
type Timeouts struct {
	ConnIdleTimeout, DialTimeout, DrainGrace time.Duration
	StallTimeout, StreamStallTimeout         time.Duration
}

// SetTimeouts replaces the pool's timeouts. Connections that have been idle for too long under
// the new ones are closed by the next Sweep or when they are next considered for use.
func (p *Pool) SetTimeouts(timeouts Timeouts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.ConnIdleTimeout, p.cfg.DialTimeout, p.cfg.DrainGrace = timeouts.ConnIdleTimeout, timeouts.DialTimeout, timeouts.DrainGrace
	p.idleTimeout = min(p.idleTimeout, p.maxIdleTimeout())
	p.setStallTimeouts(timeouts.StallTimeout, timeouts.StreamStallTimeout)
}

// setStallTimeouts sets the limits of pauses in answers; 0 leaves one as it is. The caller holds the
// pool's lock, or is the only user of p.
func (p *Pool) setStallTimeouts(held, streamed time.Duration) {
	if held > 0 {
		p.stallTimeout = max(minStallTimeout, min(held, defaultStallTimeout))
	}
	if streamed > 0 {
		p.streamStallTimeout = streamed
	}
}

// stallTimeouts returns the longest pause in an answer that is held, and in one that is passed on.
func (p *Pool) stallTimeouts() (held, streamed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stallTimeout, p.streamStallTimeout
}

// Timeouts returns the timeouts currently in use.
func (p *Pool) Timeouts() Timeouts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Timeouts{p.cfg.ConnIdleTimeout, p.cfg.DialTimeout, p.cfg.DrainGrace, p.stallTimeout, p.streamStallTimeout}
}

// recordEarlyBreak records that a connection broke as soon as a request was written to it. idle
// and uses are the connection's idle time and number of earlier requests.
func (p *Pool) recordEarlyBreak(idle time.Duration, uses int) {
	p.mu.Lock()
	p.lastBreakAt = time.Now()
	p.mu.Unlock()
	if uses > 0 {
		p.learnIdleTimeout(idle)
	}
}

// hasRecentBreak reports whether a connection broke early within breakMemoryPeriod.
func (p *Pool) hasRecentBreak() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastBreakAt.IsZero() && time.Since(p.lastBreakAt) < breakMemoryPeriod
}

// learnIdleTimeout shortens the idle timeout after a connection broke on its first use after
// idling. It ignores connections that were idle for less than minIdleTimeout, or for a time
// that other connections recently survived: these broke because the server died or aborted,
// not because they were idle.
func (p *Pool) learnIdleTimeout(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle < minIdleTimeout || idle <= p.longestSurvivedIdle && time.Since(p.longestSurvivedAt) < idleRelearnInterval {
		return
	}
	p.idleTimeoutChangedAt = time.Now()
	if shortened := max(idle/2, minIdleTimeout); shortened < p.idleTimeout {
		p.idleTimeout = shortened
		slog.Info("connection broke after idling: idle timeout shortened", "idle", idle, "kept", shortened)
	}
}

// AddServer adds a server, or updates its address and start time. Idle connections to another
// address or to an earlier process are closed, because requests on them would end in resets.
func (p *Pool) AddServer(name, addr string, started time.Duration) {
	p.mu.Lock()
	s := p.servers[name]
	if s == nil {
		s = &server{name: name}
		p.servers[name] = s
	}
	var toClose []*conn
	isNew := s.addr != addr || s.started != started
	if isNew {
		toClose = p.detachIdle(s)
	}
	if s.addr != addr {
		p.leaveAddr(s)
	}
	s.addr, s.started, s.leftAt = addr, started, time.Time{}
	if isNew || p.byAddr[addr] == nil {
		p.byAddr[addr] = s
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// RetireServer records that a server is draining, or that it is gone, and closes the idle
// connections to it. A request is sent once, so the server's address and start don't matter here.
func (p *Pool) RetireServer(name, _ string, _ time.Duration, gone bool) {
	p.mu.Lock()
	var toClose []*conn
	if s := p.servers[name]; s != nil {
		toClose = p.detachIdle(s)
		if s.leftAt.IsZero() {
			s.leftAt = time.Now()
		}
		if gone {
			delete(p.servers, name)
			p.leaveAddr(s)
		}
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// leaveAddr records that a server is no longer at its address. The caller holds the pool's lock.
func (p *Pool) leaveAddr(s *server) {
	if p.byAddr[s.addr] == s {
		delete(p.byAddr, s.addr)
	}
}

// process is what was at an address at some time: a server and its start. Its zero value is none.
type process struct {
	server  *server
	started time.Duration
}

// processAt returns the process at an address. The caller holds the pool's lock.
func (p *Pool) processAt(addr string) process {
	if s := p.byAddr[addr]; s != nil {
		return process{s, s.started}
	}
	return process{}
}

// RetainServers removes all servers that are not listed.
func (p *Pool) RetainServers(listed map[string]bool) {
	var unlisted []string
	p.mu.Lock()
	for name := range p.servers {
		if !listed[name] {
			unlisted = append(unlisted, name)
		}
	}
	p.mu.Unlock()
	for _, name := range unlisted {
		p.RetireServer(name, "", 0, true)
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	var toClose []*conn
	if s := p.servers[name]; s != nil {
		toClose = p.detachIdle(s)
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// SetMaxConns sets the maximum number of connections. Idle connections above it are closed,
// those idle for the longest first; connections in use are closed when their attempts end.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	p.cfg.MaxConns = maxConns
	var toClose []*conn
	for p.conns > maxConns {
		c := p.oldestIdle()
		if c == nil {
			break
		}
		toClose = append(toClose, c)
		p.remove(c)
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// Sweep closes connections that have been idle for too long, and raises a shortened idle timeout
// when no connection has broken early for idleRelearnInterval.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	if maxIdle := p.maxIdleTimeout(); p.idleTimeout < maxIdle && now.Sub(p.idleTimeoutChangedAt) > idleRelearnInterval {
		p.idleTimeout, p.idleTimeoutChangedAt = min(2*p.idleTimeout, maxIdle), now
	}
	var toClose []*conn
	for _, s := range p.servers {
		for len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) > p.idleTimeout {
			toClose = append(toClose, s.idle[0])
			p.remove(s.idle[0])
		}
	}
	p.mu.Unlock()
	closeAll(toClose)
}

// Close closes all idle connections. Connections in use are closed when their attempts end. All
// servers are removed, so nothing new is sent.
func (p *Pool) Close() { p.RetainServers(nil) }

// MaxConns returns the maximum number of connections.
func (p *Pool) MaxConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.MaxConns
}

// Conns returns the number of connections, including those being dialled.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

func (p *Pool) detachIdle(s *server) []*conn {
	detached := s.idle
	for _, c := range detached {
		c.removed = true
	}
	p.conns -= len(detached)
	s.idle = nil
	return detached
}

// remove takes an open connection out of the pool. The caller closes it and holds the pool's
// lock.
func (p *Pool) remove(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	p.conns--
	for i, other := range c.server.idle {
		if other == c {
			c.server.idle = append(c.server.idle[:i], c.server.idle[i+1:]...)
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
	errUnknownServer = errors.New("upstream: server is not listed")
	// errPoolFull is a local resource limit and must not be counted as the server's failure.
	errPoolFull = errors.New("upstream: all connections in use")
)

// acquire returns the newest usable idle connection to the server of a. If there is none, it
// reserves a slot for a new connection and returns the server's address.
func (p *Pool) acquire(a *Attempt) (c *conn, addr string, err error) {
	now := time.Now()
	p.mu.Lock()
	var toClose []*conn
	defer func() {
		p.mu.Unlock()
		closeAll(toClose)
	}()
	s := p.servers[a.Server]
	if s == nil {
		return nil, "", errUnknownServer // removed after the server was selected
	}
	a.target, a.targetAddr, a.targetProcess = s, s.addr, p.processAt(s.addr)
	for index := p.newestReusable(s, now); index >= 0; index = p.newestReusable(s, now) {
		c := s.idle[index]
		if now.Sub(c.idleSince) <= p.idleTimeout && c.isQuiet() {
			s.idle = slices.Delete(s.idle, index, index+1)
			c.owner = a
			a.connIdle, a.connUses = now.Sub(c.idleSince), c.uses
			return c, "", nil
		}
		toClose = append(toClose, c)
		p.remove(c)
	}
	if p.conns >= p.cfg.MaxConns {
		c := p.oldestIdle()
		if c == nil {
			slog.Warn("no connection available: limit reached and none idle", "conns", p.conns)
			return nil, "", errPoolFull
		}
		toClose = append(toClose, c)
		p.remove(c)
	}
	p.conns++
	return nil, s.addr, nil
}

// newestReusable returns the index of the newest idle connection to a server that may be used
// now, or -1. The caller holds the pool's lock.
func (p *Pool) newestReusable(s *server, now time.Time) int {
	index := len(s.idle) - 1
	if p.unsolicitedAt.IsZero() || now.Sub(p.unsolicitedAt) >= reuseDelayPeriod {
		return index
	}
	for index >= 0 && now.Sub(s.idle[index].idleSince) < minReuseDelay {
		index--
	}
	return index
}

// recordUnsolicited records that a server sent bytes that belong to no request.
func (p *Pool) recordUnsolicited(server string) {
	p.mu.Lock()
	first := time.Since(p.unsolicitedAt) >= reuseDelayPeriod
	p.unsolicitedAt = time.Now()
	p.mu.Unlock()
	if first {
		slog.Info("server sent unsolicited bytes: reuse of connections is delayed", "server", server, "for", minReuseDelay)
	}
}

// oldestIdle returns the connection that has been idle for the longest, or nil. The caller holds
// the pool's lock.
func (p *Pool) oldestIdle() (oldest *conn) {
	for _, s := range p.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = s.idle[0]
		}
	}
	return oldest
}

func (p *Pool) release(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed || c.addr != c.server.addr || !c.server.leftAt.IsZero() {
		return false
	}
	if p.conns > p.cfg.MaxConns { // the maximum was lowered
		return false
	}
	now := time.Now()
	if idle := c.owner.connIdle; idle >= p.longestSurvivedIdle || now.Sub(p.longestSurvivedAt) >= idleRelearnInterval {
		p.longestSurvivedIdle, p.longestSurvivedAt = idle, now
	}
	c.owner, c.idleSince = nil, now
	c.uses++
	c.server.idle = append(c.server.idle, c)
	return true
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.remove(c)
	p.mu.Unlock()
	c.Close()
}

// releaseReservation releases the slot reserved for a connection that was not established.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	p.conns--
	p.mu.Unlock()
}

// mayNotReceive reports whether the target of an attempt must get nothing new: it left longer ago than
// the drain grace, or another process has come to its address since the attempt was started.
func (p *Pool) mayNotReceive(a *Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if present := p.processAt(a.targetAddr); present != (process{}) && present != a.targetProcess {
		return true
	}
	return !a.target.leftAt.IsZero() && time.Since(a.target.leftAt) > p.cfg.DrainGrace
}
