// Package pools runs the configured routes, the further listeners, and the server pools
// that routes refer to. Each pool has its own balancer, connections, health checks or
// discovery, and optionally a queue.
package pools

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"chalkrack/internal/bytebudget"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/features"
	"chalkrack/internal/front"
	"chalkrack/internal/generation"
	"chalkrack/internal/httphead"
	"chalkrack/internal/membership"
	"chalkrack/internal/pool"
	"chalkrack/internal/queue"
	"chalkrack/internal/route"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

// serverPool is a pool with its own balancer (an instance of the decision module),
// connections, held calls and source of servers. Pools share only the process and the
// client connections.
type serverPool struct {
	name    string
	host    *core.Host
	queue   *queuedHandler // in front of host; nil: calls go to host directly
	conns   *upstream.Pool
	watcher *discovery.Watcher // nil if the list of servers is fixed
	// adapt returns the pool's settings under those of the platform.
	adapt func(platform *settings.Settings) *settings.Settings

	// applyList passes a list of the pool's servers on, with the operators' changes, to the core.
	applyList func(*membership.List)
	standby   *pool.Standby // nil if servers come from discovery

	mu        sync.Mutex
	members   *pool.Pool // nil if servers come from discovery
	checks    features.PoolChecks
	warmFor   time.Duration // how long ago a server that came up by its checks counts as started
	start     time.Time
	startUnix time.Duration
	wg        sync.WaitGroup
	stop      context.CancelFunc
}

// Config holds the inputs of New.
type Config struct {
	Generation *generation.Generation // the platform's at the start
	Features   *features.File
	Seed       uint64
	Trace      *slog.Logger       // receives the traces of calls; may be nil
	Heads      *httphead.Budget   // for the long heads of answers; nil: a budget for each pool
	Answers    *bytebudget.Budget // for answers that are held; nil: not bounded
	// AddPool registers a pool for the operators' calls. It returns the function that takes the pool's
	// lists of servers and passes them to forward with the operators' changes; nil: there are none.
	AddPool func(name string, forward func(*membership.List)) (applyList func(*membership.List))
}

// register returns the function that takes a pool's lists of servers for forward.
func (c *Config) register(name string, forward func(*membership.List)) func(*membership.List) {
	if c.AddPool == nil {
		return forward
	}
	return c.AddPool(name, forward)
}

// Settings returns the platform's settings with the pool's own values applied.
func Settings(platform *settings.Settings, p *features.Pool) *settings.Settings {
	s := *platform
	s.MaxHeld = p.MaxHeld
	s.Config.AskWithin = 0 // a pool's discovery pushes changes and is not asked
	if p.MaxAttempts > 0 {
		s.Config.MaxAttempts = p.MaxAttempts
	}
	if p.Discovery == "" {
		// For a fixed list, checks and operators' calls show that a server has started. Without a slow
		// start of the pool's own only the latter count, by the platform's terms.
		if p.SlowStart > 0 {
			s.Config.ColdFor, s.Config.ColdFrom = time.Duration(p.SlowStart), p.ColdShare
		}
		if s.Config.OverloadFactor == 0 {
			s.Config.OverloadFactor, s.Config.OverloadFor = 2, time.Second
		}
	}
	return &s
}

// newServerPool starts a pool: it follows discovery, or lists its fixed servers and starts
// their checks.
func newServerPool(c *Config, p *features.Pool, seed uint64) (*serverPool, error) {
	set := Settings(c.Generation.Settings, p)
	s := &serverPool{name: p.Name, checks: p.Checks, start: time.Now()}
	s.adapt = func(platform *settings.Settings) *settings.Settings { return Settings(platform, p) }
	s.startUnix = time.Duration(s.start.UnixNano())
	s.conns = upstream.New(upstream.Config{
		ConnIdleTimeout: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: p.MaxConnections, StallTimeout: set.ShortestAim() / 2, StreamStallTimeout: upstream.StreamStallTimeoutFor(set.MaxDeadline()),
		Heads: c.Heads, Answers: c.Answers,
	})
	var err error
	s.host, err = core.New(core.Config{
		Generation: c.Generation.WithSettings(set), Seed: seed, Transport: s.conns, TraceLog: c.Trace,
	})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	if p.MaxActive > 0 {
		s.queue, err = newQueuedHandler(s.host, queue.Limits{MaxActive: p.MaxActive, MaxWaiting: p.MaxWaiting, MaxWait: time.Duration(p.QueueWait)})
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", p.Name, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if p.Discovery != "" {
		s.applyList = c.register(p.Name, s.host.ApplyList)
		s.watcher = &discovery.Watcher{Addr: p.Discovery, Timing: discovery.AgentTiming, OnList: s.applyList, OnError: s.host.DiscoveryFailed}
		s.wg.Go(s.watcher.Run)
		return s, nil
	}
	if err := s.startFixed(ctx, c, p, set.Config.ColdFor); err != nil {
		s.close()
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	return s, nil
}

// startFixed lists the fixed servers of a pool and starts their checks. coldFor is the time for which a
// server is cold.
func (s *serverPool) startFixed(ctx context.Context, c *Config, p *features.Pool, coldFor time.Duration) (err error) {
	var members []pool.Member
	for _, m := range p.Servers {
		members = append(members, pool.Member{Name: m.Name, Address: m.Address, Zone: m.Zone, Weight: m.Weight, Backup: m.Backup})
	}
	s.members, err = pool.New(members, pool.Checks{Interval: time.Duration(p.Checks.Interval), Rise: p.Checks.Rise, Fall: p.Checks.Fall})
	if err != nil {
		return err
	}
	if p.SlowStart == 0 {
		s.warmFor = coldFor
	}
	s.standby = s.members.NewStandby()
	s.applyList = c.register(p.Name, func(l *membership.List) { s.host.ApplyList(s.standby.Apply(l)) })
	s.applyList(s.listMembers())
	if p.Checks.Interval > 0 {
		for n, m := range members {
			// Spreads the first checks over the interval so that they don't come in a burst.
			first := time.Duration(p.Checks.Interval) * time.Duration(n) / time.Duration(len(members))
			s.wg.Go(func() { s.runChecks(ctx, m, first) })
		}
	}
	return nil
}

// listMembers returns the list of a pool's members by their checks. The caller holds s.mu.
func (s *serverPool) listMembers() *membership.List {
	l := s.members.List()
	for n := range l.Entries {
		if e := &l.Entries[n]; e.Started > 0 {
			e.Started = max(e.Started-s.warmFor, 1)
		}
	}
	return l
}

// runChecks checks one member periodically until ctx is done, and passes the list to host
// if the member's state changes. It opens one connection at a time.
func (s *serverPool) runChecks(ctx context.Context, m pool.Member, first time.Duration) {
	t := time.NewTimer(first)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		t.Reset(time.Duration(s.checks.Interval))
		err := checkOnce(ctx, m.Address, s.checks.Path, time.Duration(s.checks.Timeout))
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		if s.members.RecordResult(s.startUnix+time.Since(s.start), m.Name, err == nil) {
			slog.Info("checks", "pool", s.name, "server", m.Name, "up", err == nil, "err", err)
			s.applyList(s.listMembers()) // under the lock, to keep the lists in order
		}
		s.mu.Unlock()
	}
}

// maxCheckHeadBytes bounds the head of an answer to a check: the parser takes many times its bytes.
const maxCheckHeadBytes = 8 << 10

// checkOnce makes one check within the timeout wait: a TCP connection if path is empty, else
// a GET that has to be answered with a 2xx or 3xx status.
func checkOnce(ctx context.Context, addr, path string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if path == "" {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err == nil {
			c.Close()
		}
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	t := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxCheckHeadBytes}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	io.CopyN(io.Discard, resp.Body, 64<<10)
	resp.Body.Close()
	if resp.StatusCode < 200 || resp.StatusCode > 399 {
		return fmt.Errorf("check answered with status %d, expected 200 to 399", resp.StatusCode)
	}
	return nil
}

// handler returns the handler for the pool's calls.
func (s *serverPool) handler() front.Handler {
	if s.queue != nil {
		return s.queue
	}
	return s.host
}

// close stops checks, discovery and the queue, and closes the balancer and connections.
func (s *serverPool) close() {
	s.stop()
	if s.queue != nil {
		s.queue.stop()
	}
	if s.watcher != nil {
		s.watcher.Close()
	}
	s.wg.Wait()
	s.host.Close()
	s.conns.Close()
}

// Status is the state of a pool as shown to operators.
type Status struct {
	Name        string      `json:"name"`
	Held        int         `json:"held"`
	Connections int         `json:"connections"`
	Queue       *queue.View `json:"queue,omitempty"`
	Servers     []pool.View `json:"servers,omitempty"` // only for a fixed list
}

func (s *serverPool) status() Status {
	st := Status{Name: s.name, Held: s.host.Held(), Connections: s.conns.Conns()}
	if s.queue != nil {
		v := s.queue.view()
		st.Queue = &v
	}
	if s.members != nil {
		s.mu.Lock()
		st.Servers = s.members.View(s.standby.IsServing)
		s.mu.Unlock()
	}
	return st
}

// Routing holds the routes, their pools and the further listeners. On a nil Routing, Serve,
// Chooser, Close, Sweep and ShutDownWithin do nothing.
type Routing struct {
	table   *route.Table
	pools   map[string]*serverPool
	ordered []*serverPool

	listeners map[string]net.Listener
}

// New builds the route table, starts the pools and binds the further listeners. It returns
// nil if the file has no routes, pools or listeners. Errors name the pool, route or listener.
func New(c *Config) (*Routing, error) {
	f := c.Features
	if len(f.Routes)+len(f.Pools)+len(f.Listeners) == 0 {
		return nil, nil
	}
	r := &Routing{pools: make(map[string]*serverPool), listeners: make(map[string]net.Listener)}
	var routes []route.Route
	for _, e := range f.Routes {
		m := route.Match{Listeners: e.Listeners, Hosts: e.Hosts, Paths: e.Paths, Prefixes: e.Prefixes, Regexps: e.Regexps, Methods: e.Methods}
		for _, h := range e.Headers {
			m.Headers = append(m.Headers, route.Header{Name: http.CanonicalHeaderKey(h.Name), Value: h.Value, Negated: h.Negate})
		}
		for _, s := range e.Sources {
			p, err := netip.ParsePrefix(s)
			if err != nil {
				return nil, fmt.Errorf("route %q: sources: %w", e.Name, err)
			}
			m.Sources = append(m.Sources, p)
		}
		a := route.Action{Pool: e.Pool, Class: e.Class, Status: e.Status, Location: e.Location, Body: e.Body}
		if a.Pool == "" && a.Status == 0 {
			a.Pool = platformPool
		}
		if e.Rewrite != "" {
			a.Rewrite = &e.Rewrite
		}
		routes = append(routes, route.Route{Name: e.Name, Match: m, Action: a})
	}
	var err error
	if r.table, err = route.New(routes); err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	for n := range f.Pools {
		p, err := newServerPool(c, &f.Pools[n], c.Seed+uint64(n)+1)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.pools[p.name] = p
		r.ordered = append(r.ordered, p)
	}
	for _, l := range f.Listeners {
		ln, err := net.Listen("tcp", l.Address)
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("features: listeners: %q: %w", l.Name, err)
		}
		r.listeners[l.Name] = ln
	}
	return r, nil
}

// Serve starts to accept clients on the further listeners; it does not block.
func (r *Routing) Serve(srv *front.Server) {
	if r != nil {
		for name, ln := range r.listeners {
			go srv.ServeNamed(name, ln)
		}
	}
}

// platformPool names the platform's own servers. No configured pool can have this name.
const platformPool = "\x00"

// choose implements front.Config.Choose. A request without a matching route goes to the
// platform's servers.
func (r *Routing) choose(q *http.Request, listener string, from netip.Addr) front.Choice {
	if listener == "" {
		listener = features.PlatformListener
	}
	e := r.table.Find(&route.Request{Host: q.Host, Path: q.URL.Path, Method: q.Method, Source: from, Listener: listener, Header: func(name string) []string { return q.Header[name] }})
	if e == nil {
		return front.Choice{}
	}
	c := front.Choice{Class: e.Action.Class, Status: e.Action.Status, Location: e.Action.Location, Body: e.Action.Body}
	if e.Action.Rewrite != nil {
		c.Path = e.RewritePath(q.URL.Path)
	}
	c.Handler = r.Handler(e.Action.Pool)
	return c
}

// Handler returns the handler for the calls of a pool, nil if there is no such pool.
func (r *Routing) Handler(name string) front.Handler {
	if p := r.pools[name]; p != nil {
		return p.handler()
	}
	return nil
}

// Chooser returns the function for front.Config.Choose, nil if there are no routes.
func (r *Routing) Chooser() func(*http.Request, string, netip.Addr) front.Choice {
	if r == nil {
		return nil
	}
	return r.choose
}

// Close closes the pools and the further listeners.
func (r *Routing) Close() {
	if r != nil {
		for _, ln := range r.listeners {
			ln.Close()
		}
		for _, p := range r.ordered {
			p.close()
		}
	}
}

// Sweep closes the pools' connections that have been idle for too long.
func (r *Routing) Sweep(now time.Time) {
	if r != nil {
		for _, p := range r.ordered {
			p.conns.Sweep(now)
		}
	}
}

// ShutDownWithin has all held calls answered within the given time, and refuses calls that wait in
// a queue at once.
func (r *Routing) ShutDownWithin(in time.Duration) {
	if r != nil {
		for _, p := range r.ordered {
			if p.queue != nil {
				p.queue.stop()
			}
			p.host.ShutDownWithin(in)
		}
	}
}

// Core is the core of a pool with its connections.
type Core struct {
	Pool  string // the pool's name
	Host  *core.Host
	Conns *upstream.Pool
	// Adapt returns the pool's settings under those of the platform.
	Adapt func(platform *settings.Settings) *settings.Settings
}

// Cores returns the cores of all pools, in the configured order.
func (r *Routing) Cores() (all []Core) {
	if r != nil {
		for _, p := range r.ordered {
			all = append(all, Core{p.name, p.host, p.conns, p.adapt})
		}
	}
	return all
}

// Addresses returns the addresses of the further listeners by name.
func (r *Routing) Addresses() map[string]string {
	all := make(map[string]string)
	for name, ln := range r.listeners {
		all[name] = ln.Addr().String()
	}
	return all
}

// Status returns the states of all pools, in the configured order.
func (r *Routing) Status() []Status {
	all := []Status{}
	for _, p := range r.ordered {
		all = append(all, p.status())
	}
	return all
}
