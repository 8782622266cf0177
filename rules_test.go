package chalkrack

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// checker is a Host that simulates servers and clients from a seed. It checks the
// Balancer's decisions against the rules with its own records, independently of
// the Balancer's state.
type checker struct {
	t          *testing.T
	cfg        Config
	rng        *rand.Rand
	now        time.Duration
	servers    map[string]*listedServer
	requests   map[RequestID]*clientRequest
	events     []event
	order      int
	sends      int
	copies     int
	refused    int
	failed     int
	violations []string
}

// listedServer is a server as the Balancer was last told of it.
type listedServer struct {
	Endpoint
	stoppedAt time.Duration // when it last stopped serving
}

// clientRequest is a request as the checker knows it.
type clientRequest struct {
	Request
	class      Class
	ended      bool
	clientLeft bool
	attempts   []sentAttempt
}

// sentAttempt is an attempt as the checker knows it.
type sentAttempt struct {
	server    Endpoint
	sentAt    time.Duration
	done      bool
	neverRan  bool
	cancelled bool
}

// event is a planned step of the simulation. Events at the same time run in order.
type event struct {
	at    time.Duration
	order int
	run   func(b *Balancer)
}

// deadlineTolerance allows for timers, which the checker fires up to 5 ms late.
const deadlineTolerance = 20 * ms

// reportViolation records a broken rule.
func (c *checker) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// schedule plans do at time t.
func (c *checker) schedule(t time.Duration, do func(b *Balancer)) {
	c.order++
	c.events = append(c.events, event{t, c.order, do})
}

func (c *checker) Send(id RequestID, name string, timeout time.Duration) {
	r, s := c.requests[id], c.servers[name]
	if r == nil || s == nil {
		c.reportViolation("send for unknown request %d or server %q", id, name)
		return
	}
	if r.ended {
		c.reportViolation("send for ended request %d", id)
	}
	if len(r.attempts) >= c.cfg.MaxAttempts {
		c.reportViolation("attempt %d of request %d, more than MaxAttempts", len(r.attempts), id)
	}
	if s.State != Serving && c.now > s.stoppedAt {
		c.reportViolation("send to %s, which is not serving", name)
	}
	outstanding := false
	for _, t := range r.attempts {
		outstanding = outstanding || !t.done
		if t.done && t.neverRan {
			continue
		}
		switch {
		case r.class.Effect == Unsafe:
			c.reportViolation("unsafe request %d sent again", id)
		case r.class.Effect == Keyed && c.now-t.sentAt >= r.class.Window:
			c.reportViolation("keyed request %d sent past its window", id)
		case r.class.Effect == Keyed && (r.class.Scope == ScopeZone && t.server.Zone != s.Zone ||
			r.class.Scope == ScopeGroup && t.server.Group != s.Group):
			c.reportViolation("keyed request %d sent outside its group", id)
		}
	}
	if outstanding && !c.cfg.SecondCopies {
		c.reportViolation("two attempts of request %d outstanding where SecondCopies is off", id)
	}
	if outstanding {
		c.copies++
	}
	c.sends++
	n := len(r.attempts)
	r.attempts = append(r.attempts, sentAttempt{server: s.Endpoint, sentAt: c.now})
	outcomes := []Outcome{OK, OK, OK, OK, OK, Full, Full, ServerError, ConnectFailed, Reset, TimedOut, NotSent}
	o := outcomes[c.rng.IntN(len(outcomes))]
	took := time.Duration(c.rng.ExpFloat64() * float64(60*ms))
	if o == TimedOut || took > timeout {
		o, took = TimedOut, max(timeout, 0)
	}
	c.schedule(c.now+took, func(b *Balancer) { c.finishAttempt(b, r, n, o) })
}

// finishAttempt reports the outcome of an attempt to the Balancer.
func (c *checker) finishAttempt(b *Balancer, r *clientRequest, n int, o Outcome) {
	t := &r.attempts[n]
	if t.done {
		return
	}
	t.done, t.neverRan = true, o.NeverRan()
	if o == OK {
		r.ended = true
	}
	rep := LoadReport{HasInFlight: c.rng.IntN(2) == 0, InFlight: float64(c.rng.IntN(9)), HasUtil: c.rng.IntN(2) == 0, Util: c.rng.Float64()}
	b.AttemptDone(c.now, r.ID, n, o, r.ended, rep)
	if !r.ended && c.now > r.Deadline+deadlineTolerance {
		c.reportViolation("request %d unanswered after its deadline", r.ID)
	}
}

func (c *checker) Cancel(id RequestID, n int) {
	r := c.requests[id]
	switch {
	case !c.cfg.MayCancel:
		c.reportViolation("cancel of an attempt where MayCancel is off")
	case r == nil || n >= len(r.attempts):
		c.reportViolation("cancel of an attempt that was never sent")
	case !r.attempts[n].done && !r.attempts[n].cancelled:
		r.attempts[n].cancelled = true
		c.schedule(c.now, func(b *Balancer) { c.finishAttempt(b, r, n, Cancelled) })
	}
}

// recordAnswer checks that a final answer is the first one and in time.
func (c *checker) recordAnswer(id RequestID) *clientRequest {
	r := c.requests[id]
	if r == nil {
		c.reportViolation("answer for unknown request %d", id)
		return &clientRequest{}
	}
	if r.ended && !r.clientLeft {
		c.reportViolation("second answer for request %d", id)
	}
	if c.now > r.Deadline+deadlineTolerance {
		c.reportViolation("answer for request %d after its deadline", id)
	}
	r.ended = true
	return r
}

func (c *checker) Refuse(id RequestID, _ time.Duration) {
	r := c.recordAnswer(id)
	c.refused++
	if r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll {
		return
	}
	for _, t := range r.attempts {
		if !t.done || !t.neverRan {
			c.reportViolation("request %d refused though it may have run", id)
		}
	}
}

func (c *checker) Fail(id RequestID) { c.recordAnswer(id); c.failed++ }

func (c *checker) SetTimer(cookie uint64, after time.Duration) {
	if after < 0 {
		c.reportViolation("timer with a negative delay")
	}
	c.schedule(c.now+after+5*ms, func(b *Balancer) { b.Timer(c.now, cookie) })
}

func (c *checker) CloseIdle(string) {}
func (c *checker) Probe(string)     {}

func (c *checker) Subscribe() {
	c.schedule(c.now+time.Duration(c.rng.IntN(1000))*ms, func(b *Balancer) {
		if c.rng.IntN(2) == 0 {
			b.DiscoveryFailed(c.now)
			return
		}
		b.ServersListed(c.now, c.serverList())
	})
}

// serverList returns the current server list, sorted by name.
func (c *checker) serverList() []Endpoint {
	var all []Endpoint
	for _, s := range c.servers {
		if s.State != Gone {
			all = append(all, s.Endpoint)
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// changeServer changes one of n servers at random and tells the Balancer.
func (c *checker) changeServer(b *Balancer, n int) {
	name := fmt.Sprintf("s%d", c.rng.IntN(n))
	s := c.servers[name]
	if s == nil {
		s = &listedServer{Endpoint: Endpoint{Name: name, Zone: fmt.Sprintf("z%d", c.rng.IntN(2)), Group: c.rng.IntN(3), Hint: c.rng.Float64() * 2}}
		c.servers[name] = s
	}
	was := s.State
	s.State = State(c.rng.IntN(3))
	if s.State == Serving && was == Gone || c.rng.IntN(4) == 0 {
		s.Started = c.now
	}
	if s.State != Serving {
		s.stoppedAt = c.now
	}
	b.ServersChanged(c.now, []Endpoint{s.Endpoint})
}

// runScript runs 600 requests of one random script and returns the checker with
// the violations that it found.
func runScript(t *testing.T, seed uint64, cfg Config, servers int, meanGap, maxDeadline time.Duration) *checker {
	t.Helper()
	c := &checker{t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), servers: map[string]*listedServer{}, requests: map[RequestID]*clientRequest{}, now: time.Hour}
	b, err := New(cfg, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	for range servers {
		c.changeServer(b, servers)
	}
	nextArrival := c.now
	for id := RequestID(1); id <= 600; id++ {
		nextArrival += time.Duration(c.rng.ExpFloat64() * float64(meanGap))
		req := &clientRequest{Request: Request{ID: id, Class: c.rng.IntN(len(cfg.Classes)), Tenant: c.rng.IntN(4) - 1, Key: fmt.Sprint(c.rng.IntN(20)), Deadline: nextArrival + time.Duration(c.rng.Float64()*float64(maxDeadline))}}
		req.class = cfg.Classes[req.Class]
		c.schedule(nextArrival, func(b *Balancer) {
			c.requests[req.ID] = req
			b.Arrive(c.now, req.Request)
			if c.rng.IntN(10) == 0 {
				c.schedule(c.now+time.Duration(c.rng.Float64()*float64(maxDeadline)/2), func(b *Balancer) {
					if !req.ended {
						req.ended, req.clientLeft = true, true
					}
					b.ClientGone(c.now, req.ID)
				})
			}
		})
		if c.rng.IntN(10) == 0 {
			c.schedule(nextArrival, func(b *Balancer) { c.changeServer(b, servers) })
		}
	}
	for len(c.events) > 0 {
		slices.SortFunc(c.events, func(a, b event) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.order - b.order
		})
		e := c.events[0]
		c.events = c.events[1:]
		if e.at > nextArrival+maxDeadline+20*time.Second {
			break // only discovery events are left; they never end
		}
		c.now = max(c.now, e.at)
		e.run(b)
	}
	for id, req := range c.requests {
		if !req.ended {
			c.reportViolation("request %d never answered", id)
		}
	}
	if n := len(b.requests) + len(b.timers); n != 0 {
		c.reportViolation("%d requests and timers kept after all requests ended", n)
	}
	return c
}

// Random sequences of requests, outcomes, list changes and departing clients
// break none of the rules for attempts, effects, deadlines and answers.
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
				for _, s := range c.violations {
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
