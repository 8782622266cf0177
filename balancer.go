// Package chalkrack makes the decisions of a client-side load balancer: where
// to send each request, when to send a copy of a slow one, when to try again
// and when to refuse. It hedges by SingleR and first-sends by two random
// choices over this balancer's own in-flight requests.
//
// A Balancer has no goroutines, clock or I/O. The host calls one method per
// event, from one goroutine at a time, with a time that never goes back, and
// carries out what the Balancer asks of it through Host.
package chalkrack

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// RequestID identifies a request for the life of a Balancer.
type RequestID uint64

// Host carries out a Balancer's decisions. Its methods are called from within
// the Balancer's own and must not call back into it.
type Host interface {
	// Send starts the request's next attempt; attempts count from 0.
	Send(id RequestID, server string, timeout time.Duration)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Refuse ends a request and tells the client that a retry is harmless,
	// preferably not before retryAfter.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail ends a request and promises nothing.
	Fail(id RequestID)
	// SetTimer asks for a Timer event after a delay.
	SetTimer(cookie uint64, after time.Duration)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server string)
	// Probe asks a server for its load report.
	Probe(server string)
	// Subscribe asks discovery for the list's changes from now on.
	Subscribe()
}

// Effect says what repeating a request does.
type Effect int

const (
	Safe Effect = iota
	Keyed
	Unsafe // must not run twice
)

// Scope is the group of servers that drops repeats of a keyed request.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // an answer within it earns the full worth
	LateWorth float64       // share of the worth that a later answer earns
	Worth     float64
	Effect    Effect
	Scope     Scope
	Window    time.Duration // for Keyed: how long repeats are dropped
}

// Config is what a Balancer is told of its site.
type Config struct {
	Instances      int // balancers in the tier, this one included
	Classes        []Class
	Tenants        []float64 // requests a second of all balancers that are within the tenant's share
	OverShareWorth float64   // share of its worth that a request above it has
	Zone           string
	MaxAttempts    int
	MayCancel      bool
	SecondCopies   bool
	MaxRetryAfter  time.Duration
	CrossZoneCost  float64
	WarmKeys       bool
	ConnectionCost float64 // points lost for 100 open connections a server
	WasteCost      float64
	Probes         bool // servers report their load when probed, and only then
	ProbeCost      float64

	// AskWithin, where above 0, says that the server list comes only to those
	// who subscribe, and that one who has not asked for so long counts as told.
	AskWithin time.Duration

	ColdFrom       float64 // share of its capacity that a fresh server has
	ColdFor        time.Duration
	OverloadFactor float64       // multiple of its capacity that fells a cold server
	OverloadFor    time.Duration // when sent for this long
}

// Validate says what of c can't be used, by the name of its field.
func (c *Config) Validate() error {
	var err error
	need := func(ok bool, field, want string) {
		if !ok && err == nil {
			err = fmt.Errorf("chalkrack: config: %s must be %s", field, want)
		}
	}
	need(c.Instances >= 1, "Instances", "at least 1")
	need(len(c.Classes) > 0, "Classes", "non-empty")
	need(c.MaxAttempts >= 1, "MaxAttempts", "at least 1")
	need(c.ColdFrom >= 0 && c.ColdFrom <= 1, "ColdFrom", "within 0 and 1")
	need(c.OverloadFactor >= 0, "OverloadFactor", "0 or more")
	for i, d := range []time.Duration{c.MaxRetryAfter, c.ColdFor, c.OverloadFor, c.AskWithin} {
		need(d >= 0, [...]string{"MaxRetryAfter", "ColdFor", "OverloadFor", "AskWithin"}[i], "0 or more")
	}
	for i, k := range c.Classes {
		name := fmt.Sprintf("Classes[%d].", i)
		need(k.Aim > 0, name+"Aim", "above 0")
		need(k.Effect >= Safe && k.Effect <= Unsafe, name+"Effect", "Safe, Keyed or Unsafe")
		need(k.Scope >= ScopeAll && k.Scope <= ScopeGroup, name+"Scope", "ScopeAll, ScopeZone or ScopeGroup")
	}
	return err
}

// State is a server's state on the list.
type State int

const (
	Serving State = iota
	Draining
	Gone
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Name    string
	Zone    string
	Group   int
	Hint    float64       // capacity hint; only comparisons mean anything
	Started time.Duration // time of its last start; 0: long ago
	State   State
}

// Request is a client's request.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int // index into Config.Tenants, -1: none
	Key      string
	Deadline time.Duration
	// Attempts lowers Config.MaxAttempts; 0: it does not. With 1 a tier before this
	// one decides: the request earns no budget here and spends none.
	Attempts int
	Only     string  // the one server that may take it; empty: any
	Under    *Config // rules it to its end, with its own of Classes; nil: the Balancer's
	Coming   bool    // its body is not kept and still on its way: Attempts is 1, and Whole comes
}

// Outcome is how an attempt ended.
type Outcome int

const (
	OK          Outcome = iota
	ServerError         // the server answered with an error
	Full
	TimedOut      // no answer in time
	ConnectFailed // no connection in time
	Reset
	Cancelled
	NotSent // the request was over or its attempts used up
)

// NeverRan says whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// Report is a server's load report: the fields it carried, by meaning.
type Report struct {
	HasInFlight, HasUtil bool
	InFlight             float64
	Util                 float64
}

type attempt struct {
	to                               *server
	sent                             time.Duration
	done, neverRan, isCopy, censored bool
	held                             float64 // what its server held by report, with it
	took                             float64
}

const (
	// A first send earns retryBudget further attempts, up to retriesMax in all.
	// Dear ones (dearFactor times the mean worth) retry without, cheap ones leave half to others.
	retryBudget = 0.3
	retriesMax  = 10.0
	dearFactor  = 2.0
	probesEach  = 3
	probePrice  = 0.01
	probeWait   = 0.04
)

type request struct {
	Request
	class                                        *Class
	rank                                         int // for shedding
	arrived                                      time.Duration
	attempts                                     []attempt
	out                                          int // attempts without an outcome
	wholePair, ended, streamed, copyDue, overdue bool
	key, timer                                   uint64
}

// Balancer makes one client process's decisions.
type Balancer struct {
	cfg      Config
	host     Host
	rng      *rand.Rand
	fleet    fleet
	reissue  reissuer
	admit    admitter
	requests map[RequestID]*request
	timers   map[uint64]*request
	cookies  uint64
	retries  float64
	gate     gates

	askCookie uint64 // the timer of the next call to discovery
	askBack   time.Duration
}

// New returns a Balancer for cfg that draws its random numbers from seed.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	b := &Balancer{
		host:     host,
		rng:      rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		reissue:  newReissuer(cfg.WasteCost),
		requests: make(map[RequestID]*request),
		timers:   make(map[uint64]*request),
		retries:  retriesMax,
		gate:     gates{open{}, open{}},
	}
	b.fleet = fleet{cfg: &b.cfg, taken: 1, byName: make(map[string]*server), rand: b.rng.Float64}
	if err := b.Adopt(cfg); err != nil {
		return nil, err
	}
	if cfg.AskWithin > 0 {
		b.askCookie = b.setTimer(time.Duration(b.rng.Float64() * 0.8 * float64(cfg.AskWithin)))
	}
	return b, nil
}

// Adopt goes on under cfg with all that was learned. Classes and Tenants keep their
// places: there may be more, not fewer.
func (b *Balancer) Adopt(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	b.cfg = cfg
	b.admit = newAdmitter(&b.cfg, b.admit)
	b.cfg.Probes = cfg.Probes && probesEach*cfg.ProbeCost <= probePrice
	b.reissue.budget = newReissuer(cfg.WasteCost).budget
	return nil
}

func (b *Balancer) setTimer(after time.Duration) uint64 {
	b.cookies++
	b.host.SetTimer(b.cookies, after)
	return b.cookies
}

// ServersChanged takes changed entries of the server list.
func (b *Balancer) ServersChanged(now time.Duration, changed []Endpoint) {
	b.askBack = b.cfg.AskWithin / 2
	for _, e := range changed {
		b.fleet.update(e, now)
	}
}

// ServersListed takes the whole server list.
func (b *Balancer) ServersListed(now time.Duration, list []Endpoint) {
	b.askBack = b.cfg.AskWithin / 2
	b.fleet.replace(list, now)
}

// DiscoveryFailed says that a call to discovery failed or the subscription broke.
func (b *Balancer) DiscoveryFailed(now time.Duration) {
	if b.cfg.AskWithin == 0 {
		return
	}
	b.askCookie = b.setTimer(b.askBack/2 + time.Duration(b.rng.Float64()*float64(b.askBack)))
	b.askBack = min(b.askBack*2, 2*b.cfg.AskWithin)
}

// Arrive takes a client's request; the balancer owes it one final answer.
func (b *Balancer) Arrive(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Under == nil {
		r.Under = &b.cfg
	}
	if r.Class < 0 || r.Class >= len(r.Under.Classes) {
		b.host.Refuse(r.ID, 0)
		return
	}
	q := &request{Request: r, class: &r.Under.Classes[r.Class], arrived: now}
	q.Attempts = min(cmp.Or(max(r.Attempts, 0), r.Under.MaxAttempts), r.Under.MaxAttempts)
	if r.Under.WarmKeys {
		q.key = hashName(r.Key)
	}
	b.requests[r.ID] = q
	q.rank = b.admit.arrived(r.Class, r.Tenant, now)
	if odds := b.admit.odds(q.rank, now); b.gate.Turn(now, r.Class) || b.rng.Float64() < odds {
		b.end(q)
		return
	}
	if b.cfg.Probes && b.gate.Probes() {
		b.fleet.refresh(now)
		for range probesEach {
			if s := b.fleet.draw(); s != nil {
				b.host.Probe(s.name)
			}
		}
		b.timerFor(q, min(time.Duration(probeWait*float64(q.class.Aim)), (q.Deadline-now)/2))
		return
	}
	b.first(q, now)
}

// first makes q's first send.
func (b *Balancer) first(q *request, now time.Duration) {
	if !b.try(q, now, false) {
		b.end(q)
		return
	}
	if q.Attempts > 1 {
		b.reissue.tokens = min(b.reissue.tokens+b.reissue.budget, hedgeTokensMax)
		b.retries = min(b.retries+retryBudget, retriesMax)
	}
	b.planCopy(q, now)
}

// timerFor sets q's timer.
func (b *Balancer) timerFor(q *request, after time.Duration) {
	q.timer = b.setTimer(after)
	b.timers[q.timer] = q
}

// planCopy draws whether q gets a copy and sets its timer, else the one for its aim.
func (b *Balancer) planCopy(q *request, now time.Duration) {
	after := q.arrived + q.class.Aim - now
	if q.class.Effect != Unsafe && q.Attempts > 1 {
		b.reissue.recompute(now, b.rng.Float64())
		d := time.Duration(b.reissue.d * float64(q.class.Aim))
		if q.copyDue = b.rng.Float64() < b.reissue.q && d < after; q.copyDue {
			after = d
		}
	}
	b.timerFor(q, after)
}

// Timer takes a timer that came due. Stale ones are ignored.
func (b *Balancer) Timer(now time.Duration, cookie uint64) {
	if cookie == b.askCookie && cookie != 0 {
		b.askCookie = 0
		b.host.Subscribe()
		return
	}
	if q := b.timers[cookie]; q != nil {
		delete(b.timers, cookie)
		switch {
		case len(q.attempts) == 0:
			b.first(q, now)
		case q.Coming: // no server is late before it has all of the request
		case q.copyDue:
			q.copyDue = false
			b.hedge(q, now)
			b.timerFor(q, q.arrived+q.class.Aim-now)
		default: // guards against hearing of a jam only by time-outs
			q.overdue = true
			b.admit.outcome(false, true, b.fleet.rate(now), now)
		}
	}
}

func (b *Balancer) hedge(q *request, now time.Duration) {
	if q.out == 1 && b.gate.Copies() && b.reissue.tokens >= 1 && b.admit.faded(now) < shedSlack && b.try(q, now, true) {
		b.reissue.tokens--
		q.wholePair = b.rng.Float64() < pairShare
	}
}

func (q *request) anchor() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.done || !a.neverRan }); i >= 0 {
		return &q.attempts[i]
	}
	return nil
}

// mayTry says whether q may have one more attempt: a keyed request that may have
// run goes on inside its anchor's group and window only.
func (b *Balancer) mayTry(q *request, anchor *attempt, now time.Duration) bool {
	switch {
	case q.ended || q.streamed || len(q.attempts) >= q.Attempts || now >= q.Deadline,
		q.out > 0 && !q.Under.SecondCopies:
		return false
	case q.class.Effect == Safe || anchor == nil:
		return true
	}
	return q.class.Effect == Keyed && now-anchor.sent < q.class.Window
}

// try sends q's next attempt, if it may have one and a server is to be had.
func (b *Balancer) try(q *request, now time.Duration, isCopy bool) bool {
	anchor := q.anchor()
	if !b.mayTry(q, anchor, now) {
		return false
	}
	may := func(s *server) bool {
		return (q.Only == "" || q.Only == s.name) && b.gate.Room(now, s.zone, q.Class) && !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.to == s }) &&
			(anchor == nil || q.class.Effect != Keyed || sameGroup(q.class.Scope, anchor.to, s))
	}
	due, s := b.gate.Due(now, q.class.Effect != Unsafe), (*server)(nil)
	for pass := 1 - min(len(due), 1); s == nil && pass < 3; pass++ {
		// Guards against a suspect that is tested by what can't be made good if it fails.
		s = b.fleet.pick(now, q.key, func(s *server) bool {
			return (pass > 0 || s.zone == due) && (pass > 1 || !s.barredFor(q.Class, now) && (q.class.Effect != Unsafe || !s.out.suspect(now))) && may(s)
		})
	}
	if s == nil {
		return false
	}
	held := s.held(now)
	if b.cfg.Probes && q.class.LateWorth == 0 &&
		b.fleet.perHeld*held*float64(q.class.Aim) > float64(q.arrived+q.class.Aim-now) {
		return false
	}
	q.attempts = append(q.attempts, attempt{to: s, sent: now, isCopy: isCopy, held: held})
	q.out++
	b.fleet.book(s, now)
	b.host.Send(q.ID, s.name, q.Deadline-now)
	return true
}

func sameGroup(scope Scope, a, b *server) bool {
	return scope == ScopeAll || a.zone == b.zone && (scope == ScopeZone || a.group == b.group)
}

// Probed takes the load report that a probe brought.
func (b *Balancer) Probed(now time.Duration, server string, rep Report) {
	if s := b.fleet.byName[server]; s != nil && now >= s.loadAt { // one that others saw may be old
		s.heed(rep, now)
	}
}

// Started says that an answer has begun to stream: the client has its attempt.
func (b *Balancer) Started(now time.Duration, id RequestID, n int) {
	if q := b.requests[id]; q != nil && n >= 0 && n < len(q.attempts) {
		q.streamed = true
		b.cancelOthers(q, n)
	}
}

// Whole says that the last byte of a Coming request has come: its time counts from now.
func (b *Balancer) Whole(now time.Duration, id RequestID, deadline time.Duration) {
	if q := b.requests[id]; q != nil && q.Coming && q.out > 0 {
		q.Coming, q.arrived, q.attempts[0].sent, q.Deadline = false, now, now, deadline
		delete(b.timers, q.timer)
		b.planCopy(q, now)
	}
}

// EmptyBudgets takes the budgets of retries and copies away, to be earned anew.
func (b *Balancer) EmptyBudgets() { b.retries, b.reissue.tokens = 0, 0 }

// Done takes an attempt's outcome; over says that the request has ended.
func (b *Balancer) Done(now time.Duration, id RequestID, n int, o Outcome, over bool, rep Report) {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || q.attempts[n].done {
		return
	}
	a := &q.attempts[n]
	a.done, a.neverRan = true, o.NeverRan()
	q.out--
	a.to.inFlight--
	b.note(q, a, o, now, rep)
	if over {
		q.ended = true
		delete(b.timers, q.timer)
		if !q.wholePair || o != OK {
			b.cancelOthers(q, n)
		}
		b.forget(q)
		return
	}
	switch {
	case q.ended:
		b.forget(q)
	case q.out > 0: // another attempt may still answer
	case q.class.LateWorth == 0 && now >= q.arrived+q.class.Aim: // nothing to win any more
		b.end(q)
	case q.Attempts == 1 || !b.mayRetry(q) || !b.try(q, now, false):
		b.end(q)
	case b.retries >= 1: // only what was sent is paid for
		b.retries--
	}
}

func (b *Balancer) mayRetry(q *request) bool {
	worth, mean := b.admit.worth(q.rank), b.admit.meanWorth()
	need := 1 + retriesMax/2*max(0, 1-worth/max(mean, 1e-9))
	return b.gate.Retries(q.Class) && b.retries >= need || worth >= dearFactor*mean
}

func (b *Balancer) note(q *request, a *attempt, o Outcome, now time.Duration, rep Report) {
	s, took := a.to, float64(now-a.sent)/float64(q.class.Aim)
	if o != Cancelled && o != NotSent && !q.overdue && !q.Coming {
		b.admit.outcome(o == Full, now-q.arrived > q.class.Aim, b.fleet.rate(now), now)
	}
	if b.fleet.taken *= 1 - meanStep; o != Full {
		b.fleet.taken += meanStep
	}
	switch o {
	case OK:
		s.out.served(now)
		if q.Class < len(s.barred) {
			s.barred[q.Class].served(now)
		}
	case ServerError, ConnectFailed, Reset, TimedOut:
		b.fleet.failed(s, now)
	}
	switch {
	case q.Coming: // what a client needs for its body says nothing of the server
	case o == OK || o == TimedOut:
		b.fleet.report(s, o, rep, took, a.held, now)
	case o == ServerError: // how soon it came says nothing of speed: one that fails fast would draw more
		s.heed(rep, now)
		s.out.at = now
		b.fleet.classFailed(s, q.Class, now)
	}
	if b.cfg.ConnectionCost > 0 && !s.inSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // a guest's connection would stand open unused
	}
	if q.class.Effect == Unsafe || q.Coming || (o != OK && o != Cancelled && o != TimedOut) {
		return
	}
	a.took, a.censored = took, o != OK
	if a.isCopy {
		b.reissue.copies.add(sample{took, a.censored}, copyWindow)
	} else {
		b.reissue.primary.add(sample{took, a.censored}, primaryWindow)
		b.reissue.fresh++
	}
	if q.wholePair && q.out == 0 && len(q.attempts) == 2 {
		x, y := &q.attempts[0], &q.attempts[1]
		if !x.censored && !y.censored && x.took > 0 && y.took > 0 {
			b.reissue.pairs.add(pair{x.took, y.took}, pairWindow)
		}
	}
}

func (b *Balancer) cancelOthers(q *request, n int) {
	if !q.Under.MayCancel || q.out == 0 {
		return
	}
	for i := range q.attempts {
		if i != n && !q.attempts[i].done {
			b.host.Cancel(q.ID, i)
		}
	}
}

// ClientGone says that the client has left; attempts still out will end.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.close(q)
	}
}

func (b *Balancer) end(q *request) {
	b.close(q)
	if e := q.class.Effect; e == Safe || e == Keyed && q.class.Scope == ScopeAll || q.anchor() == nil {
		part := b.rng.Float64()
		b.host.Refuse(q.ID, max(b.gate.Wait(q.Class, part), time.Duration((0.5+part/2)*float64(q.Under.MaxRetryAfter))))
	} else {
		b.host.Fail(q.ID)
	}
}

func (b *Balancer) close(q *request) {
	q.ended = true
	delete(b.timers, q.timer)
	b.cancelOthers(q, -1)
	b.forget(q)
}

func (b *Balancer) forget(q *request) {
	if q.ended && q.out == 0 {
		delete(b.requests, q.ID)
	}
}
