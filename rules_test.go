package chalkrack

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// checker is a Host that plays the fleet and the clients from a seed and holds
// the balancer to the rules on its own account, apart from the module's state.
type checker struct {
	t       *testing.T
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	servers map[string]*listed
	reqs    map[RequestID]*asked
	queue   []event
	order   int
	sends   int
	copies  int
	refused int
	failed  int
	broken  []string
}

// listed is what the balancer was last told of a server.
type listed struct {
	Endpoint
	badSince time.Duration
}

type asked struct {
	Request
	class    Class
	ended    bool
	byClient bool
	tries    []try
}

type try struct {
	server   Endpoint
	sent     time.Duration
	done     bool
	neverRan bool
	cancel   bool
}

type event struct {
	at    time.Duration
	order int
	do    func(b *Balancer)
}

const slack = 20 * ms

func (c *checker) broke(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) at(t time.Duration, do func(b *Balancer)) {
	c.order++
	c.queue = append(c.queue, event{t, c.order, do})
}

func (c *checker) Send(id RequestID, name string, timeout time.Duration) {
	r, s := c.reqs[id], c.servers[name]
	if r == nil || s == nil {
		c.broke("send for unknown request %d or server %q", id, name)
		return
	}
	if r.ended {
		c.broke("send for ended request %d", id)
	}
	if len(r.tries) >= c.cfg.MaxAttempts {
		c.broke("attempt %d of request %d", len(r.tries), id)
	}
	if s.State != Serving && c.now > s.badSince {
		c.broke("send to %s, which is not serving", name)
	}
	out := false
	for _, t := range r.tries {
		out = out || !t.done
		if t.done && t.neverRan {
			continue
		}
		switch {
		case r.class.Effect == Unsafe:
			c.broke("unsafe request %d sent again", id)
		case r.class.Effect == Keyed && c.now-t.sent >= r.class.Window:
			c.broke("keyed request %d sent past its window", id)
		case r.class.Effect == Keyed && (r.class.Scope == ScopeZone && t.server.Zone != s.Zone ||
			r.class.Scope == ScopeGroup && t.server.Group != s.Group):
			c.broke("keyed request %d sent outside its group", id)
		}
	}
	if out && !c.cfg.SecondCopies {
		c.broke("two attempts of request %d out", id)
	}
	if out {
		c.copies++
	}
	c.sends++
	n := len(r.tries)
	r.tries = append(r.tries, try{server: s.Endpoint, sent: c.now})
	outcomes := []Outcome{OK, OK, OK, OK, OK, Full, Full, ServerError, ConnectFailed, Reset, TimedOut, NotSent}
	o := outcomes[c.rng.IntN(len(outcomes))]
	took := time.Duration(c.rng.ExpFloat64() * float64(60*ms))
	if o == TimedOut || took > timeout {
		o, took = TimedOut, max(timeout, 0)
	}
	c.at(c.now+took, func(b *Balancer) { c.finish(b, r, n, o) })
}

func (c *checker) finish(b *Balancer, r *asked, n int, o Outcome) {
	t := &r.tries[n]
	if t.done {
		return
	}
	t.done, t.neverRan = true, o.NeverRan()
	if o == OK {
		r.ended = true
	}
	rep := Report{HasInFlight: c.rng.IntN(2) == 0, InFlight: float64(c.rng.IntN(9)), HasUtil: c.rng.IntN(2) == 0, Util: c.rng.Float64()}
	b.Done(c.now, r.ID, n, o, r.ended, rep)
	if !r.ended && c.now > r.Deadline+slack {
		c.broke("request %d unanswered after its deadline", r.ID)
	}
}

func (c *checker) Cancel(id RequestID, n int) {
	r := c.reqs[id]
	switch {
	case !c.cfg.MayCancel:
		c.broke("cancel where none is allowed")
	case r == nil || n >= len(r.tries):
		c.broke("cancel of an attempt never made")
	case !r.tries[n].done && !r.tries[n].cancel:
		r.tries[n].cancel = true
		c.at(c.now, func(b *Balancer) { c.finish(b, r, n, Cancelled) })
	}
}

func (c *checker) answer(id RequestID) *asked {
	r := c.reqs[id]
	if r == nil {
		c.broke("answer for unknown request %d", id)
		return &asked{}
	}
	if r.ended && !r.byClient {
		c.broke("second answer for request %d", id)
	}
	if c.now > r.Deadline+slack {
		c.broke("answer for request %d after its deadline", id)
	}
	r.ended = true
	return r
}

func (c *checker) Refuse(id RequestID, _ time.Duration) {
	r := c.answer(id)
	c.refused++
	if r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll {
		return
	}
	for _, t := range r.tries {
		if !t.done || !t.neverRan {
			c.broke("request %d refused though it may have run", id)
		}
	}
}

func (c *checker) Fail(id RequestID) { c.answer(id); c.failed++ }

func (c *checker) SetTimer(cookie uint64, after time.Duration) {
	if after < 0 {
		c.broke("timer in the past")
	}
	c.at(c.now+after+5*ms, func(b *Balancer) { b.Timer(c.now, cookie) })
}

func (c *checker) CloseIdle(string) {}
func (c *checker) Probe(string)     {}

func (c *checker) Subscribe() {
	c.at(c.now+time.Duration(c.rng.IntN(1000))*ms, func(b *Balancer) {
		if c.rng.IntN(2) == 0 {
			b.DiscoveryFailed(c.now)
			return
		}
		b.ServersListed(c.now, c.list())
	})
}

func (c *checker) list() []Endpoint {
	var all []Endpoint
	for _, s := range c.servers {
		if s.State != Gone {
			all = append(all, s.Endpoint)
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// change alters one server and tells the balancer.
func (c *checker) change(b *Balancer, n int) {
	name := fmt.Sprintf("s%d", c.rng.IntN(n))
	s := c.servers[name]
	if s == nil {
		s = &listed{Endpoint: Endpoint{Name: name, Zone: fmt.Sprintf("z%d", c.rng.IntN(2)), Group: c.rng.IntN(3), Hint: c.rng.Float64() * 2}}
		c.servers[name] = s
	}
	was := s.State
	s.State = State(c.rng.IntN(3))
	if s.State == Serving && was == Gone || c.rng.IntN(4) == 0 {
		s.Started = c.now
	}
	if s.State != Serving {
		s.badSince = c.now
	}
	b.ServersChanged(c.now, []Endpoint{s.Endpoint})
}

// run plays one random script and returns what it broke.
func runScript(t *testing.T, seed uint64, cfg Config, servers int, gap, patience time.Duration) *checker {
	t.Helper()
	c := &checker{t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), servers: map[string]*listed{}, reqs: map[RequestID]*asked{}, now: time.Hour}
	b, err := New(cfg, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	for range servers {
		c.change(b, servers)
	}
	next := c.now
	for id := RequestID(1); id <= 600; id++ {
		next += time.Duration(c.rng.ExpFloat64() * float64(gap))
		r := &asked{Request: Request{ID: id, Class: c.rng.IntN(len(cfg.Classes)), Tenant: c.rng.IntN(4) - 1, Key: fmt.Sprint(c.rng.IntN(20)), Deadline: next + time.Duration(c.rng.Float64()*float64(patience))}}
		r.class = cfg.Classes[r.Class]
		c.at(next, func(b *Balancer) {
			c.reqs[r.ID] = r
			b.Arrive(c.now, r.Request)
			if c.rng.IntN(10) == 0 {
				c.at(c.now+time.Duration(c.rng.Float64()*float64(patience)/2), func(b *Balancer) {
					if !r.ended {
						r.ended, r.byClient = true, true
					}
					b.ClientGone(c.now, r.ID)
				})
			}
		})
		if c.rng.IntN(10) == 0 {
			c.at(next, func(b *Balancer) { c.change(b, servers) })
		}
	}
	for len(c.queue) > 0 {
		slices.SortFunc(c.queue, func(a, b event) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.order - b.order
		})
		e := c.queue[0]
		c.queue = c.queue[1:]
		if e.at > next+patience+20*time.Second {
			break // only discovery goes on for ever
		}
		c.now = max(c.now, e.at)
		e.do(b)
	}
	for id, r := range c.reqs {
		if !r.ended {
			c.broke("request %d never answered", id)
		}
	}
	if n := len(b.requests) + len(b.timers); n != 0 {
		c.broke("%d requests and timers kept after all ended", n)
	}
	return c
}

func TestRulesUnderRandomScripts(t *testing.T) {
	for _, v := range []struct {
		name    string
		change  func(*Config)
		servers int
		gap     time.Duration
		wait    time.Duration
	}{
		{"as usual", func(c *Config) { c.Classes[0].Aim = 300 * ms }, 8, 10 * ms, 400 * ms},
		{"no cancel", func(c *Config) { c.MayCancel = false }, 8, 10 * ms, 400 * ms},
		{"no second copies", func(c *Config) { c.SecondCopies = false }, 8, 10 * ms, 400 * ms},
		{"one server", func(*Config) {}, 1, 10 * ms, 400 * ms},
		{"tenants, one without a share", func(c *Config) { c.Tenants, c.OverShareWorth = []float64{5, 0, 40}, 0.2 }, 5, 10 * ms, 400 * ms},
		{"one attempt", func(c *Config) { c.MaxAttempts = 1 }, 5, 10 * ms, 400 * ms},
		{"one instance", func(c *Config) { c.Instances = 1 }, 5, 10 * ms, 400 * ms},
		{"thousands of instances, priced connections", func(c *Config) { c.Instances, c.ConnectionCost = 5000, 0.05 }, 40, 200 * ms, 400 * ms},
		{"warm keys", func(c *Config) { c.WarmKeys = true }, 12, 5 * ms, 400 * ms},
		{"keyed everywhere", func(c *Config) { c.Classes[1].Scope = ScopeAll }, 8, 10 * ms, 400 * ms},
		{"short repeat window", func(c *Config) { c.Classes[1].Window = 30 * ms }, 8, 10 * ms, 400 * ms},
		{"keyed in a cell", func(c *Config) { c.Classes[1].Scope = ScopeGroup }, 20, 10 * ms, 400 * ms},
		{"subscribed", func(c *Config) { c.AskWithin = 3 * time.Second }, 8, 20 * ms, 400 * ms},
		{"short deadlines", func(*Config) {}, 8, 10 * ms, 8 * ms},
		{"long deadlines", func(*Config) {}, 8, 10 * ms, time.Minute},
		{"late answers count", func(c *Config) { c.Classes[0].LateWorth = 0.5; c.Classes[1].LateWorth = 0.5 }, 8, 10 * ms, 400 * ms},
	} {
		t.Run(v.name, func(t *testing.T) {
			copies := 0
			for seed := range uint64(12) {
				cfg := testConfig()
				v.change(&cfg)
				c := runScript(t, seed, cfg, v.servers, v.gap, v.wait)
				for _, s := range c.broken {
					t.Errorf("seed %d: %s", seed, s)
				}
				if c.sends == 0 && v.servers > 1 {
					t.Errorf("seed %d: nothing was sent", seed)
				}
				copies += c.copies
			}
			if v.name == "as usual" && copies == 0 {
				t.Error("no copy was sent in any script")
			}
		})
	}
}
