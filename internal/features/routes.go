package features

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"chalkrack/internal/duration"
)

// Pool is one of [[pools]]: servers with a balancer of their own, beside the platform's.
type Pool struct {
	Name string `toml:"name"`
	// Servers are a fixed list; Discovery is followed in its place.
	Servers   []PoolServer `toml:"servers"`
	Discovery string       `toml:"discovery"`
	Checks    PoolChecks   `toml:"checks"` // of a fixed list
	// SlowStart is how long a server that came up is warming; it begins with Cold of its
	// share.
	SlowStart duration.Duration `toml:"slow_start"`
	Cold      float64           `toml:"cold"`
	// MaxConnections are to its servers at once, MaxHeld its calls: more are refused.
	MaxConnections int `toml:"max_connections"`
	MaxHeld        int `toml:"max_held"`
	// Attempts are those of one call at most; 0: as the platform has it.
	Attempts int `toml:"attempts"`
}

// PoolServer is one of a pool's servers.
type PoolServer struct {
	Name    string  `toml:"name"`
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Weight  float64 `toml:"weight"`
	Backup  bool    `toml:"backup"`
}

// PoolChecks are active checks: GET of a path that must be answered with 2xx or 3xx; with
// no path a connection that comes up.
type PoolChecks struct {
	Every   duration.Duration `toml:"every"` // 0: none
	Timeout duration.Duration `toml:"timeout"`
	Path    string            `toml:"path"`
	Rise    int               `toml:"rise"`
	Fall    int               `toml:"fall"`
}

// Route is one of [[routes]], which are tried in their order. Package route says what the
// fields mean.
type Route struct {
	Name     string        `toml:"name"`
	Hosts    []string      `toml:"hosts"`
	Paths    []string      `toml:"paths"`
	Prefixes []string      `toml:"prefixes"`
	Regexps  []string      `toml:"regexps"`
	Methods  []string      `toml:"methods"`
	Headers  []RouteHeader `toml:"headers"`
	Sources  []string      `toml:"sources"`

	Pool     string `toml:"pool"` // empty, with no status: the platform's
	Class    string `toml:"class"`
	Rewrite  string `toml:"rewrite"`
	Status   int    `toml:"status"`
	Location string `toml:"location"`
	Body     string `toml:"body"`
}

// RouteHeader is a field that a route asks for.
type RouteHeader struct {
	Name  string `toml:"name"`
	Value string `toml:"value"`
	Not   bool   `toml:"not"`
}

const (
	poolsMost     = 64
	poolConnsLeft = 1 << 16
)

// poolDefaults fills in what a pool leaves out; the decoder knows no defaults of entries.
func (f *File) poolDefaults() {
	for n := range f.Pools {
		p := &f.Pools[n]
		if p.Checks.Every > 0 {
			if p.Checks.Rise == 0 {
				p.Checks.Rise = 2
			}
			if p.Checks.Fall == 0 {
				p.Checks.Fall = 3
			}
			if p.Checks.Timeout == 0 {
				p.Checks.Timeout = p.Checks.Every
			}
		}
		if p.MaxConnections == 0 {
			p.MaxConnections = 32
		}
		if p.MaxHeld == 0 {
			p.MaxHeld = 256
		}
		if p.SlowStart > 0 && p.Cold == 0 {
			p.Cold = 0.1
		}
	}
}

func goodAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, perr := strconv.Atoi(port)
	return err == nil && perr == nil && host != "" && n >= 1 && n <= 65535
}

func (f *File) checkRoutes(c *checker) {
	c.need(len(f.Pools) <= poolsMost, "pools", "%d at most", poolsMost)
	pools := make(map[string]bool)
	for n := range f.Pools {
		p, at := &f.Pools[n], fmt.Sprintf("pools[%d].", n)
		c.need(p.Name != "" && !pools[p.Name], at+"name", "must be set and the only one of its kind")
		pools[p.Name] = true
		c.need((len(p.Servers) > 0) != (p.Discovery != ""), at+"servers", "one of servers and discovery must be there")
		c.need(p.Discovery == "" || goodAddress(p.Discovery), at+"discovery", "%q is no address with a port", p.Discovery)
		names := make(map[string]bool)
		for i, s := range p.Servers {
			in := fmt.Sprintf("%sservers[%d].", at, i)
			c.need(s.Name != "" && !names[s.Name], in+"name", "must be set and the only one of its kind")
			names[s.Name] = true
			c.need(goodAddress(s.Address), in+"address", "%q is no address with a port", s.Address)
			c.need(s.Weight >= 0 && s.Weight <= 256, in+"weight", "must be within 0 and 256")
		}
		k := &p.Checks
		c.need(k.Every >= 0, at+"checks.every", "must be 0 or more")
		c.need(k.Every == 0 || p.Discovery == "", at+"checks.every", "is for a fixed list: discovery says who is up")
		c.need(k.Timeout >= 0 && (k.Every == 0 || k.Timeout > 0), at+"checks.timeout", "must be above 0")
		c.need(k.Path == "" || k.Path[0] == '/', at+"checks.path", "must begin with '/'")
		c.need(k.Rise >= 0 && k.Rise <= 100 && k.Fall >= 0 && k.Fall <= 100, at+"checks.rise", "and fall must be within 1 and 100")
		c.need(p.SlowStart >= 0, at+"slow_start", "must be 0 or more")
		c.need(p.Cold >= 0 && p.Cold <= 1, at+"cold", "must be within 0 and 1")
		c.need(p.MaxConnections >= 1 && p.MaxConnections <= poolConnsLeft, at+"max_connections", "must be within 1 and %d", poolConnsLeft)
		c.need(p.MaxHeld >= 1 && p.MaxHeld <= poolConnsLeft, at+"max_held", "must be within 1 and %d", poolConnsLeft)
		c.need(p.Attempts >= 0 && p.Attempts <= 20, at+"attempts", "must be within 0 and 20")
	}
	for n := range f.Routes {
		r, at := &f.Routes[n], fmt.Sprintf("routes[%d].", n)
		c.need(r.Pool == "" || pools[r.Pool], at+"pool", "there is no pool %q", r.Pool)
		for _, s := range r.Sources {
			_, err := netip.ParsePrefix(s)
			c.need(err == nil, at+"sources", "%q is no range of addresses", s)
		}
	}
}
