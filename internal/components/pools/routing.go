package pools

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/features"
	"chalkrack/internal/front"
	"chalkrack/internal/route"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

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

// FollowDiscovery moves the pools that follow the discovery at one address to another address.
func (r *Routing) FollowDiscovery(from, to string) {
	if r == nil {
		return
	}
	for _, p := range r.ordered {
		if p.watcher != nil && p.watcher.Follow(from, to) {
			slog.Info("a pool follows the platform's discovery to its new address", "pool", p.name, "from", from, "to", to)
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
