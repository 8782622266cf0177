package features

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"chalkrack/internal/duration"
)

// Pool is an entry of [[pools]]: servers with a balancer of their own, in addition to the
// platform's.
type Pool struct {
	Name string `toml:"name"`
	// Servers is a fixed list. Discovery is the address of a discovery that replaces it.
	Servers   []PoolServer `toml:"servers,omitempty"`
	Discovery string       `toml:"discovery,omitempty"`
	Checks    PoolChecks   `toml:"checks,omitempty"` // only with a fixed list
	// SlowStart is how long a server that came up takes to reach its full share.
	SlowStart duration.Duration `toml:"slow_start,omitempty"`
	// ColdShare is the fraction of its share that such a server starts with.
	ColdShare float64 `toml:"cold,omitempty"`
	// MaxConnections limits the concurrent connections to the servers, MaxHeld the pending
	// calls. Calls above MaxHeld are refused.
	MaxConnections int `toml:"max_connections,omitempty"`
	MaxHeld        int `toml:"max_held,omitempty"`
	// MaxActive limits the calls at the servers. Up to MaxWaiting further calls are queued,
	// each for at most QueueWait. 0: there is no queue.
	MaxActive  int               `toml:"max_active,omitempty"`
	MaxWaiting int               `toml:"max_waiting,omitempty"`
	QueueWait  duration.Duration `toml:"queue_wait,omitempty"`
	// MaxAttempts limits the attempts of one call; 0: the platform's limit applies.
	MaxAttempts int `toml:"attempts,omitempty"`
}

// PoolServer is a server of a pool.
type PoolServer struct {
	Name    string  `toml:"name"`
	Address string  `toml:"address"`
	Zone    string  `toml:"zone,omitempty"`
	Weight  float64 `toml:"weight,omitempty"`
	Backup  bool    `toml:"backup,omitempty"`
}

// PoolChecks configures active health checks. A check passes if a GET of Path is answered
// with 2xx or 3xx or, without a path, if a connection can be established.
type PoolChecks struct {
	Interval duration.Duration `toml:"every,omitempty"` // 0: no checks
	Timeout  duration.Duration `toml:"timeout,omitempty"`
	Path     string            `toml:"path,omitempty"`
	Rise     int               `toml:"rise,omitempty"`
	Fall     int               `toml:"fall,omitempty"`
}

// PlatformListener is the name of the platform's own listener in routes.
const PlatformListener = "platform"

// Listener is an entry of [[listeners]]: an additional address at which clients may
// connect.
type Listener struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// Route is an entry of [[routes]]; the first one that matches a request applies. Package
// route documents the fields.
type Route struct {
	Name      string        `toml:"name"`
	Listeners []string      `toml:"listeners,omitempty"` // empty: all, including the platform's
	Hosts     []string      `toml:"hosts,omitempty"`
	Paths     []string      `toml:"paths,omitempty"`
	Prefixes  []string      `toml:"prefixes,omitempty"`
	Regexps   []string      `toml:"regexps,omitempty"`
	Methods   []string      `toml:"methods,omitempty"`
	Headers   []RouteHeader `toml:"headers,omitempty"`
	Sources   []string      `toml:"sources,omitempty"`

	Pool     string `toml:"pool,omitempty"` // if empty and there is no status: the platform's
	Class    string `toml:"class,omitempty"`
	Rewrite  string `toml:"rewrite,omitempty"`
	Status   int    `toml:"status,omitempty"`
	Location string `toml:"location,omitempty"`
	Body     string `toml:"body,omitempty"`
}

// RouteHeader is a header field that a route requires or, if negated, excludes.
type RouteHeader struct {
	Name   string `toml:"name"`
	Value  string `toml:"value,omitempty"`
	Negate bool   `toml:"not,omitempty"`
}

const (
	maxPools           = 64
	maxListeners       = 16
	maxPoolConnections = 1 << 16
)

// setPoolDefaults sets the defaults of fields that a pool leaves out. The decoder can't do
// it, because the entries of an array do not exist before decoding.
func (f *File) setPoolDefaults() {
	for n := range f.Pools {
		p := &f.Pools[n]
		if p.Checks.Interval > 0 {
			if p.Checks.Rise == 0 {
				p.Checks.Rise = 2
			}
			if p.Checks.Fall == 0 {
				p.Checks.Fall = 3
			}
			if p.Checks.Timeout == 0 {
				p.Checks.Timeout = p.Checks.Interval
			}
		}
		if p.MaxConnections == 0 {
			p.MaxConnections = 32
		}
		if p.MaxHeld == 0 {
			p.MaxHeld = 256
		}
		if p.MaxActive > 0 && p.MaxWaiting > 0 && p.QueueWait == 0 {
			p.QueueWait = duration.Duration(time.Second)
		}
		if p.SlowStart > 0 && p.ColdShare == 0 {
			p.ColdShare = 0.1
		}
	}
}

// isHostPort reports whether addr is a host and a numeric port from 1 to 65535.
func isHostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, perr := strconv.Atoi(port)
	return err == nil && perr == nil && host != "" && n >= 1 && n <= 65535
}

func (f *File) checkRoutes(c *checker) {
	c.require(len(f.Pools) <= maxPools, "pools", "%d at most", maxPools)
	pools := make(map[string]bool)
	for n := range f.Pools {
		p, at := &f.Pools[n], fmt.Sprintf("pools[%d].", n)
		c.require(p.Name != "" && !pools[p.Name], at+"name", "must be set and the only one of its kind")
		pools[p.Name] = true
		c.require((len(p.Servers) > 0) != (p.Discovery != ""), at+"servers", "one of servers and discovery must be there")
		c.require(p.Discovery == "" || isHostPort(p.Discovery), at+"discovery", "%q is no address with a port", p.Discovery)
		names := make(map[string]bool)
		for i, s := range p.Servers {
			in := fmt.Sprintf("%sservers[%d].", at, i)
			c.require(s.Name != "" && !names[s.Name], in+"name", "must be set and the only one of its kind")
			names[s.Name] = true
			c.require(isHostPort(s.Address), in+"address", "%q is no address with a port", s.Address)
			c.require(s.Weight >= 0 && s.Weight <= 256, in+"weight", "must be within 0 and 256")
		}
		k := &p.Checks
		c.require(k.Interval >= 0, at+"checks.every", "must be 0 or more")
		c.require(k.Interval == 0 || p.Discovery == "", at+"checks.every", "is for a fixed list: discovery says who is up")
		c.require(k.Timeout >= 0 && (k.Interval == 0 || k.Timeout > 0), at+"checks.timeout", "must be above 0")
		c.require(k.Path == "" || k.Path[0] == '/', at+"checks.path", "must begin with '/'")
		c.require(k.Rise >= 0 && k.Rise <= 100 && k.Fall >= 0 && k.Fall <= 100, at+"checks.rise", "and fall must be within 1 and 100")
		c.require(p.SlowStart >= 0, at+"slow_start", "must be 0 or more")
		c.require(p.ColdShare >= 0 && p.ColdShare <= 1, at+"cold", "must be within 0 and 1")
		c.require(p.MaxConnections >= 1 && p.MaxConnections <= maxPoolConnections, at+"max_connections", "must be within 1 and %d", maxPoolConnections)
		c.require(p.MaxHeld >= 1 && p.MaxHeld <= maxPoolConnections, at+"max_held", "must be within 1 and %d", maxPoolConnections)
		c.require(p.MaxActive >= 0 && p.MaxActive <= p.MaxHeld, at+"max_active", "must be within 0 and max_held, which is %d", p.MaxHeld)
		c.require(p.MaxWaiting >= 0 && p.MaxWaiting <= maxPoolConnections, at+"max_waiting", "must be within 0 and %d", maxPoolConnections)
		c.require(p.MaxWaiting == 0 || p.MaxActive > 0, at+"max_waiting", "is of a queue, which max_active makes")
		c.require(p.QueueWait >= 0 && (p.QueueWait == 0 || p.MaxWaiting > 0), at+"queue_wait", "must be 0 or more, and 0 where nothing waits")
		c.require(p.MaxAttempts >= 0 && p.MaxAttempts <= 20, at+"attempts", "must be within 0 and 20")
	}
	listeners := map[string]bool{PlatformListener: true}
	c.require(len(f.Listeners) <= maxListeners, "listeners", "%d at most", maxListeners)
	for n, l := range f.Listeners {
		at := fmt.Sprintf("listeners[%d].", n)
		c.require(l.Name != "" && !listeners[l.Name], at+"name", "must be set and the only one of its kind")
		listeners[l.Name] = true
		_, _, err := net.SplitHostPort(l.Address)
		c.require(err == nil, at+"address", "%q is no address with a port", l.Address)
	}
	for n := range f.Routes {
		r, at := &f.Routes[n], fmt.Sprintf("routes[%d].", n)
		c.require(r.Pool == "" || pools[r.Pool], at+"pool", "there is no pool %q", r.Pool)
		for _, l := range r.Listeners {
			c.require(listeners[l], at+"listeners", "there is no listener %q", l)
		}
		for _, s := range r.Sources {
			_, err := netip.ParsePrefix(s)
			c.require(err == nil, at+"sources", "%q is no range of addresses", s)
		}
	}
}
