// Package pools hosts the routes and the pools of servers of their own that they lead to.
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

	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/features"
	"chalkrack/internal/front"
	"chalkrack/internal/generation"
	"chalkrack/internal/membership"
	"chalkrack/internal/pool"
	"chalkrack/internal/queue"
	"chalkrack/internal/route"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

// serverPool is a pool of servers with all of its own: a balancer under the one decision
// module, connections, calls held, and where its servers come from. What is shared with
// other pools is the process and the clients' connections.
type serverPool struct {
	name    string
	host    *core.Host
	queue   *queuedHandler // before host; nil: calls come to it at once
	conns   *upstream.Pool
	watcher *discovery.Watcher // nil: a fixed list

	mu        sync.Mutex
	members   *pool.Pool // nil: discovery's
	checks    features.PoolChecks
	start     time.Time
	startUnix time.Duration
	wg        sync.WaitGroup
	stop      context.CancelFunc
}

// Config is what routes and pools are made of.
type Config struct {
	Settings *settings.Settings // the platform's
	Features *features.File
	Seed     uint64
	Trace    *slog.Logger // takes the traces of calls; nil: nobody does
}

// Settings are the platform's, with what a pool has of its own.
func Settings(platform *settings.Settings, p *features.Pool) *settings.Settings {
	s := *platform
	s.MaxHeld = p.MaxHeld
	s.Config.AskWithin = 0 // its discovery is followed, not asked
	if p.Attempts > 0 {
		s.Config.MaxAttempts = p.Attempts
	}
	if p.Discovery == "" {
		// A fixed list has no starts but those that checks see.
		s.Config.ColdFor, s.Config.ColdFrom = time.Duration(p.SlowStart), p.Cold
		if s.Config.OverloadFactor == 0 {
			s.Config.OverloadFactor, s.Config.OverloadFor = 2, time.Second
		}
	}
	return &s
}

func newServerPool(c *Config, p *features.Pool, seed uint64) (*serverPool, error) {
	set := Settings(c.Settings, p)
	s := &serverPool{name: p.Name, checks: p.Checks, start: time.Now()}
	s.startUnix = time.Duration(s.start.UnixNano())
	s.conns = upstream.New(upstream.Config{
		ConnIdle: set.ConnIdle, DialTimeout: set.DialTimeout, DrainGrace: set.DrainGrace, MaxConns: p.MaxConnections, Stall: set.ShortestAim() / 2,
	})
	var err error
	s.host, err = core.New(core.Config{
		First: &generation.Generation{Settings: set, Paths: c.Features.Paths, PassClientErrors: c.Features.Answers.PassClientErrors},
		Seed:  seed, Transport: s.conns, Trace: c.Trace,
	})
	if err != nil {
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	if p.MaxActive > 0 {
		s.queue, err = newQueuedHandler(s.host, queue.Limits{MaxActive: p.MaxActive, MaxWaiting: p.MaxWaiting, MaxWait: time.Duration(p.QueueWait)},
			func(class string) float64 {
				if k := set.ClassOf(class); k != nil {
					return k.Worth
				}
				return 0
			},
			func(c *core.Call) time.Duration {
				if c.Wait > 0 {
					return c.Wait
				}
				return set.DeadlineOf(c.Class)
			}, set.Config.MaxRetryAfter)
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", p.Name, err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if p.Discovery != "" {
		s.watcher = &discovery.Watcher{Addr: p.Discovery, Timing: discovery.Pushed, Listed: s.host.Listed, Failed: s.host.DiscoveryFailed}
		s.wg.Go(s.watcher.Follow)
		return s, nil
	}
	var members []pool.Member
	for _, m := range p.Servers {
		members = append(members, pool.Member{Name: m.Name, Address: m.Address, Zone: m.Zone, Weight: m.Weight, Backup: m.Backup})
	}
	s.members, err = pool.New(members, pool.Checks{Interval: time.Duration(p.Checks.Every), Rise: p.Checks.Rise, Fall: p.Checks.Fall})
	if err != nil {
		s.close()
		return nil, fmt.Errorf("pool %q: %w", p.Name, err)
	}
	s.host.Listed(s.members.List())
	if p.Checks.Every > 0 {
		for n, m := range members {
			// Spread over the time between two checks: they must not come as one burst.
			first := time.Duration(p.Checks.Every) * time.Duration(n) / time.Duration(len(members))
			s.wg.Go(func() { s.runChecks(ctx, m, first) })
		}
	}
	return s, nil
}

// runChecks checks one member again and again. It holds one connection at most.
func (s *serverPool) runChecks(ctx context.Context, m pool.Member, first time.Duration) {
	t := time.NewTimer(first)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		t.Reset(time.Duration(s.checks.Every))
		err := checkOnce(ctx, m.Address, s.checks.Path, time.Duration(s.checks.Timeout))
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		var l *membership.List
		if s.members.RecordResult(s.startUnix+time.Since(s.start), m.Name, err == nil) {
			l = s.members.List()
			slog.Info("checks", "pool", s.name, "server", m.Name, "up", err == nil, "err", err)
			s.host.Listed(l) // under the lock: lists must not overtake each other
		}
		s.mu.Unlock()
	}
}

// checkOnce is one check: a connection that comes up, or a GET answered with 2xx or 3xx.
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
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	io.CopyN(io.Discard, resp.Body, 64<<10)
	resp.Body.Close()
	if resp.StatusCode < 200 || resp.StatusCode > 399 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// handler is who takes the pool's calls.
func (s *serverPool) handler() front.Handler {
	if s.queue != nil {
		return s.queue
	}
	return s.host
}

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

// Status is what operators see of a pool.
type Status struct {
	Name        string      `json:"name"`
	Held        int         `json:"held"`
	Connections int         `json:"connections"`
	Queue       *queue.View `json:"queue,omitempty"`
	Servers     []pool.View `json:"servers,omitempty"` // of a fixed list
}

func (s *serverPool) status() Status {
	st := Status{Name: s.name, Held: s.host.Held(), Connections: s.conns.Conns()}
	if s.queue != nil {
		v := s.queue.view()
		st.Queue = &v
	}
	if s.members != nil {
		s.mu.Lock()
		st.Servers = s.members.View()
		s.mu.Unlock()
	}
	return st
}

// Routing is the routes with their pools. What is called of a nil one does nothing.
type Routing struct {
	table   *route.Table
	pools   map[string]*serverPool
	ordered []*serverPool

	listeners map[string]net.Listener
}

// New makes the pools and the table, and binds the further listeners; nil where the file has
// none. Errors name the pool or route.
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
			m.Headers = append(m.Headers, route.Header{Name: http.CanonicalHeaderKey(h.Name), Value: h.Value, Negated: h.Not})
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

// Serve accepts clients on the further listeners.
func (r *Routing) Serve(srv *front.Server) {
	if r != nil {
		for name, ln := range r.listeners {
			go srv.ServeAs(name, ln)
		}
	}
}

// platformPool stands for the platform's own servers; no pool can have the name.
const platformPool = "\x00"

// choose implements front.Config.Choose. What no route takes goes the platform's way.
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
	c.To = r.Handler(e.Action.Pool)
	return c
}

// Handler is who takes the calls of a pool; nil: there is no such pool.
func (r *Routing) Handler(name string) front.Handler {
	if p := r.pools[name]; p != nil {
		return p.handler()
	}
	return nil
}

// Chooser is what a front is told; nil where there are no routes.
func (r *Routing) Chooser() func(*http.Request, string, netip.Addr) front.Choice {
	if r == nil {
		return nil
	}
	return r.choose
}

// Close ends the pools and the further listeners.
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

// Sweep closes connections that have been idle for too long.
func (r *Routing) Sweep(now time.Time) {
	if r != nil {
		for _, p := range r.ordered {
			p.conns.Sweep(now)
		}
	}
}

// QuitAt has all that is held answered in so long; what waits in a line is told at once.
func (r *Routing) QuitAt(in time.Duration) {
	if r != nil {
		for _, p := range r.ordered {
			if p.queue != nil {
				p.queue.stop()
			}
			p.host.QuitAt(in)
		}
	}
}

// Addresses are where the further listeners are.
func (r *Routing) Addresses() map[string]string {
	all := make(map[string]string)
	for name, ln := range r.listeners {
		all[name] = ln.Addr().String()
	}
	return all
}

// Status is what operators see of each pool.
func (r *Routing) Status() []Status {
	all := []Status{}
	for _, p := range r.ordered {
		all = append(all, p.status())
	}
	return all
}
