// Package chalkrack makes the decisions of a client-side load balancer: which
// server gets each request, when a slow request gets a copy, when to retry and
// when to refuse. Copies are hedged by SingleR; first attempts go to the better
// of two random servers by this balancer's own requests in flight.
//
// A Balancer has no goroutines, clock or I/O. The host calls one method per
// event, from one goroutine at a time, with a time that never goes back, and
// carries out what the Balancer asks for through Host.
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

// Host carries out a Balancer's decisions. The Balancer calls its methods from
// within its own methods; they must not call back into it.
type Host interface {
	// Send starts the request's next attempt; attempts count from 0.
	Send(id RequestID, server string, timeout time.Duration)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Refuse ends a request and tells the client that a retry is harmless,
	// preferably not before retryAfter.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail ends a request that may have run; the client is not told that a retry is harmless.
	Fail(id RequestID)
	// SetTimer requests a call of Balancer.Timer after a delay.
	SetTimer(cookie uint64, after time.Duration)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server string)
	// Probe asks a server for its load report.
	Probe(server string)
	// Subscribe asks discovery for the server list and its changes from now on.
	Subscribe()
}

// Effect says whether a request may be repeated.
type Effect int

const (
	Safe   Effect = iota // may run any number of times
	Keyed                // servers drop repeats by the request's key, within Class.Scope and Class.Window
	Unsafe               // must not run twice
)

// Scope is the set of servers that drops repeats of a keyed request.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // target latency; an answer within it earns the full worth
	LateWorth float64       // share of the worth that a later answer earns
	Worth     float64       // points that an answer within the aim earns
	Effect    Effect
	Scope     Scope
	Window    time.Duration // for Keyed: how long repeats are dropped
}

// Config describes the site to a Balancer.
type Config struct {
	Instances      int // balancers in the tier, this one included
	Classes        []Class
	Tenants        []float64     // requests a second, over all balancers, within each tenant's share
	OverShareWorth float64       // factor on the worth of a request above its tenant's share
	Zone           string        // of this balancer
	MaxAttempts    int           // attempts of a request, copies included
	MayCancel      bool          // attempts that are no longer needed are cancelled
	SecondCopies   bool          // a request may have a further attempt while one is outstanding
	MaxRetryAfter  time.Duration // upper bound of the random retry delay sent with a refusal, unless the DegradationPolicy requires more
	CrossZoneCost  float64       // above 0: servers of the own zone are preferred
	WarmKeys       bool          // requests of one key go to the same server where possible
	ConnectionCost float64       // points lost for each 100 open connections of a server
	WasteCost      float64       // cost of wasted work; limits copies
	Probes         bool          // servers report their load when probed, and only then
	ProbeCost      float64       // cost of one probe; above a bound no probes are sent

	// AskWithin above 0 means that discovery sends the server list only to
	// subscribers, and that a balancer that has not subscribed within this time
	// counts as informed.
	AskWithin time.Duration

	ColdFrom       float64       // share of its capacity that a server has right after its start
	ColdFor        time.Duration // how long a server is cold after its start
	OverloadFactor float64       // multiple of its capacity that overloads a cold server
	OverloadFor    time.Duration // when sent for this long
}

// Validate returns an error that names the first unusable field of c, or nil.
func (c *Config) Validate() error {
	var err error
	check := func(ok bool, field, want string) {
		if !ok && err == nil {
			err = fmt.Errorf("chalkrack: config: %s must be %s", field, want)
		}
	}
	check(c.Instances >= 1, "Instances", "at least 1")
	check(len(c.Classes) > 0, "Classes", "non-empty")
	check(c.MaxAttempts >= 1, "MaxAttempts", "at least 1")
	check(c.ColdFrom >= 0 && c.ColdFrom <= 1, "ColdFrom", "within 0 and 1")
	check(c.OverloadFactor >= 0, "OverloadFactor", "0 or more")
	for i, duration := range []time.Duration{c.MaxRetryAfter, c.ColdFor, c.OverloadFor, c.AskWithin} {
		check(duration >= 0, [...]string{"MaxRetryAfter", "ColdFor", "OverloadFor", "AskWithin"}[i], "0 or more")
	}
	for i, class := range c.Classes {
		name := fmt.Sprintf("Classes[%d].", i)
		check(class.Aim > 0, name+"Aim", "above 0")
		check(class.Effect >= Safe && class.Effect <= Unsafe, name+"Effect", "Safe, Keyed or Unsafe")
		check(class.Scope >= ScopeAll && class.Scope <= ScopeGroup, name+"Scope", "ScopeAll, ScopeZone or ScopeGroup")
	}
	return err
}

// State is a server's state on the server list.
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
	Hint    float64       // capacity hint, relative to those of the other servers
	Started time.Duration // time of the last start; 0: long ago
	State   State
}

// Request is a client's request.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int // index into Config.Tenants, -1: none
	Key      string
	Deadline time.Duration
	// MaxAttempts lowers Config.MaxAttempts for this request; 0 leaves it. 1 means
	// that an upstream tier retries: the request neither earns nor spends retry
	// and copy budget here.
	MaxAttempts int
	Server      string  // the one server that may take the request; empty: any
	Config      *Config // configuration that holds for the request until it ends, its Classes included; nil: the Balancer's current one
	BodyPending bool    // the body is not buffered and still arriving; the request has 1 attempt, and the host reports the end of the body
}

// Outcome is how an attempt ended.
type Outcome int

const (
	OK            Outcome = iota
	ServerError           // the server answered with an error
	Full                  // the server turned the attempt away because it is full
	TimedOut              // no answer in time
	ConnectFailed         // no connection in time
	Reset
	Cancelled
	NotSent // the request had ended or had no attempts left
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// LoadReport is a server's load report, with the fields that it contained.
type LoadReport struct {
	HasInFlight, HasUtil bool
	InFlight             float64
	Util                 float64
}

// attempt is one send of a request to a server.
type attempt struct {
	server                           *server
	zone                             string // of the server when it was sent, as is group: another process may come under its name
	group                            int
	sentAt                           time.Duration
	done, neverRan, isCopy, censored bool    // censored: the response time is only a lower bound
	isStalled                        bool    // its answer has begun and paused
	serverHeld                       float64 // requests that the server held by its load report, this one included
	responseTime                     float64 // in fractions of the aim
}

const (
	// Each first attempt earns retryTokensPerRequest, up to maxRetryTokens in
	// all; a retry costs one token. Requests of at least highWorthFactor times
	// the mean worth retry without tokens, and those of the lowest worth leave
	// half of the tokens to others.
	retryTokensPerRequest = 0.3
	maxRetryTokens        = 10.0
	highWorthFactor       = 2.0
	probesPerRequest      = 3
	maxProbeCost          = 0.01 // highest cost, in calls, of the probes for one request; above it none are sent
	maxProbeWait          = 0.04 // longest wait for probes, in fractions of the aim
)

// request is a client's request and the state of its attempts.
type request struct {
	Request
	class                                                 *Class
	rank                                                  int // for shedding, see admitter
	arrivedAt                                             time.Duration
	attempts                                              []attempt
	outstanding                                           int  // attempts without an outcome
	observesPair, ended, streamed, copyPlanned, isOverdue bool // observesPair: the slower attempt is not cancelled; isOverdue: counted as late at its aim
	keyHash, timerCookie                                  uint64
}

// Balancer makes the decisions of one client process. It is not safe for
// concurrent use.
type Balancer struct {
	cfg          Config
	host         Host
	rng          *rand.Rand
	fleet        fleet
	reissuer     reissuer
	admitter     admitter
	requests     map[RequestID]*request
	timers       map[uint64]*request
	lastCookie   uint64
	retryTokens  float64
	restrictions restrictions

	subscribeCookie  uint64        // timer cookie of the next subscription; 0: none is planned
	subscribeBackoff time.Duration // backoff between subscriptions
}

// New returns a Balancer for cfg that draws its random numbers from seed. It
// returns an error if cfg is invalid.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	b := &Balancer{
		host:         host,
		rng:          rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		reissuer:     newReissuer(cfg.WasteCost),
		requests:     make(map[RequestID]*request),
		timers:       make(map[uint64]*request),
		retryTokens:  maxRetryTokens,
		restrictions: restrictions{unrestricted{}, unrestricted{}},
	}
	b.fleet = fleet{cfg: &b.cfg, acceptedShare: 1, byName: make(map[string]*server), rand: b.rng.Float64}
	if err := b.SetConfig(cfg); err != nil {
		return nil, err
	}
	if cfg.AskWithin > 0 {
		b.subscribeCookie = b.setTimer(time.Duration(b.rng.Float64() * 0.8 * float64(cfg.AskWithin)))
	}
	return b, nil
}

// SetConfig replaces the configuration and keeps everything learned so far. Classes
// and Tenants may be appended, but not removed or moved. It returns an error and
// changes nothing if cfg is invalid.
func (b *Balancer) SetConfig(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	b.cfg = cfg
	b.admitter = newAdmitter(&b.cfg, b.admitter)
	b.cfg.Probes = cfg.Probes && probesPerRequest*cfg.ProbeCost <= maxProbeCost
	b.reissuer.budget = newReissuer(cfg.WasteCost).budget
	return nil
}

// setTimer requests a call of Timer from the host and returns its cookie.
func (b *Balancer) setTimer(after time.Duration) uint64 {
	b.lastCookie++
	b.host.SetTimer(b.lastCookie, after)
	return b.lastCookie
}

// ServersChanged applies changed entries of the server list.
func (b *Balancer) ServersChanged(now time.Duration, changed []Endpoint) {
	b.subscribeBackoff = b.cfg.AskWithin / 2
	for _, e := range changed {
		b.fleet.updateServer(e, now)
	}
}

// ServersListed applies a whole server list.
func (b *Balancer) ServersListed(now time.Duration, list []Endpoint) {
	b.subscribeBackoff = b.cfg.AskWithin / 2
	b.fleet.replaceList(list, now)
}

// DiscoveryFailed tells the Balancer that a call to discovery failed or that the
// subscription broke. It plans the next subscription, with a growing delay.
func (b *Balancer) DiscoveryFailed(now time.Duration) {
	if b.cfg.AskWithin == 0 {
		return
	}
	b.subscribeCookie = b.setTimer(b.subscribeBackoff/2 + time.Duration(b.rng.Float64()*float64(b.subscribeBackoff)))
	b.subscribeBackoff = min(b.subscribeBackoff*2, 2*b.cfg.AskWithin)
}

// Arrive accepts a client's request. It ends with one final answer: an attempt's,
// Host.Refuse or Host.Fail.
func (b *Balancer) Arrive(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Config == nil {
		r.Config = &b.cfg
	}
	if r.Class < 0 || r.Class >= len(r.Config.Classes) {
		b.host.Refuse(r.ID, 0)
		return
	}
	req := &request{Request: r, class: &r.Config.Classes[r.Class], arrivedAt: now}
	req.MaxAttempts = min(cmp.Or(max(r.MaxAttempts, 0), r.Config.MaxAttempts), r.Config.MaxAttempts)
	if r.Config.WarmKeys {
		req.keyHash = hashName(r.Key)
	}
	b.requests[r.ID] = req
	req.rank = b.admitter.recordArrival(r.Class, r.Tenant, now)
	if probability := b.admitter.shedProbability(req.rank, now); b.restrictions.ShouldRefuse(now, r.Class) || b.rng.Float64() < probability {
		b.endUnanswered(req)
		return
	}
	if b.cfg.Probes && b.restrictions.AllowsProbes() {
		b.fleet.refreshWeights(now)
		for range probesPerRequest {
			if s := b.fleet.drawServer(); s != nil {
				b.host.Probe(s.name)
			}
		}
		b.setRequestTimer(req, min(time.Duration(maxProbeWait*float64(req.class.Aim)), (req.Deadline-now)/2))
		return
	}
	b.sendFirst(req, now)
}

// sendFirst sends the first attempt of req and adds to the budgets for retries
// and copies, or ends it if no server is available.
func (b *Balancer) sendFirst(req *request, now time.Duration) {
	if !b.sendAttempt(req, now, false) {
		b.endUnanswered(req)
		return
	}
	if req.MaxAttempts > 1 {
		b.reissuer.tokens = min(b.reissuer.tokens+b.reissuer.budget, maxHedgeTokens)
		b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	}
	b.planCopy(req, now)
}

// setRequestTimer sets the timer of req.
func (b *Balancer) setRequestTimer(req *request, after time.Duration) {
	req.timerCookie = b.setTimer(after)
	b.timers[req.timerCookie] = req
}

// planCopy decides at random whether req gets a copy. It sets the timer for the
// copy, or for the aim if there is none.
func (b *Balancer) planCopy(req *request, now time.Duration) {
	after := req.arrivedAt + req.class.Aim - now
	if req.class.Effect != Unsafe && req.MaxAttempts > 1 {
		b.reissuer.recompute(now, b.rng.Float64())
		delay := time.Duration(b.reissuer.delay * float64(req.class.Aim))
		if req.copyPlanned = b.rng.Float64() < b.reissuer.probability && delay < after; req.copyPlanned {
			after = delay
		}
	}
	b.setRequestTimer(req, after)
}

// Timer handles a timer that has expired. It ignores timers that no longer apply.
func (b *Balancer) Timer(now time.Duration, cookie uint64) {
	if cookie == b.subscribeCookie && cookie != 0 {
		b.subscribeCookie = 0
		b.host.Subscribe()
		return
	}
	if req := b.timers[cookie]; req != nil {
		delete(b.timers, cookie)
		switch {
		case len(req.attempts) == 0:
			b.sendFirst(req, now)
		case req.BodyPending: // a server cannot be late before it has the whole request
		case req.copyPlanned:
			req.copyPlanned = false
			b.sendCopy(req, now)
			b.setRequestTimer(req, req.arrivedAt+req.class.Aim-now)
		default: // counts as late at the aim, since time-outs would show an overload only seconds later
			req.isOverdue = true
			b.admitter.recordOutcome(false, true, b.fleet.sendRate(now), now)
		}
	}
}

// IsTimerPending reports whether Timer would do something for a cookie.
func (b *Balancer) IsTimerPending(cookie uint64) bool {
	return b.timers[cookie] != nil || cookie == b.subscribeCookie
}

// sendCopy sends a copy of req if the policy and the budget allow it and the
// Balancer does not shed.
func (b *Balancer) sendCopy(req *request, now time.Duration) {
	if req.outstanding == 1 && b.restrictions.AllowsCopies() && b.reissuer.tokens >= 1 && b.admitter.currentLevel(now) < minShedLevel && b.sendAttempt(req, now, true) {
		b.reissuer.tokens--
		req.observesPair = b.rng.Float64() < observedPairShare
	}
}

// anchor returns the first attempt that may have run, or nil. A keyed request
// may be repeated only within this attempt's scope and window.
func (req *request) anchor() *attempt {
	if i := slices.IndexFunc(req.attempts, func(a attempt) bool { return !a.done || !a.neverRan }); i >= 0 {
		return &req.attempts[i]
	}
	return nil
}

// mayAttempt reports whether req may have one more attempt. A keyed request that
// may have run gets one only within its anchor's window; sendAttempt checks the
// scope.
func (b *Balancer) mayAttempt(req *request, anchor *attempt, now time.Duration) bool {
	switch {
	case req.ended || req.streamed || len(req.attempts) >= req.MaxAttempts || now >= req.Deadline,
		req.outstanding > 0 && !req.Config.SecondCopies:
		return false
	case req.class.Effect == Safe || anchor == nil:
		return true
	}
	return req.class.Effect == Keyed && now-anchor.sentAt < req.class.Window
}

// sendAttempt sends the next attempt of req. It reports false if req may have no
// more attempts, if no server is available, or if by the load reports the answer
// would come too late to be of any worth.
func (b *Balancer) sendAttempt(req *request, now time.Duration, isCopy bool) bool {
	anchor := req.anchor()
	if !b.mayAttempt(req, anchor, now) {
		return false
	}
	isAllowed := func(s *server) bool {
		return (req.Server == "" || req.Server == s.name) && b.restrictions.HasRoom(now, s.zone, req.Class) && !slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.server == s }) &&
			(anchor == nil || req.class.Effect != Keyed || anchor.inScope(req.class.Scope, s))
	}
	preferredZone, s := b.restrictions.PreferredZone(now, req.class.Effect != Unsafe), (*server)(nil)
	for pass := 1 - min(len(preferredZone), 1); s == nil && pass < 3; pass++ {
		// Unsafe requests go to suspect servers only in the last pass, because
		// they cannot be retried if the server fails.
		s = b.fleet.pickServer(now, req.keyHash, func(s *server) bool {
			return (pass > 0 || s.zone == preferredZone) && (pass > 1 || !s.isEjectedFor(req.Class, now) && (req.class.Effect != Unsafe || !s.ejection.isSuspect(now))) && isAllowed(s)
		})
	}
	if s == nil {
		return false
	}
	heldRequests := s.held(now)
	if b.cfg.Probes && req.class.LateWorth == 0 &&
		b.fleet.latencyPerHeld*heldRequests*float64(req.class.Aim) > float64(req.arrivedAt+req.class.Aim-now) {
		return false
	}
	req.attempts = append(req.attempts, attempt{server: s, zone: s.zone, group: s.group, sentAt: now, isCopy: isCopy, serverHeld: heldRequests})
	req.outstanding++
	b.fleet.recordSend(s, now)
	b.host.Send(req.ID, s.name, req.Deadline-now)
	return true
}

// inScope reports whether s drops repeats of the keyed request that a sent.
func (a *attempt) inScope(scope Scope, s *server) bool {
	return scope == ScopeAll || a.zone == s.zone && (scope == ScopeZone || a.group == s.group)
}

// Probed applies the load report that a probe returned.
func (b *Balancer) Probed(now time.Duration, server string, rep LoadReport) {
	if s := b.fleet.byName[server]; s != nil && now >= s.loadAt { // a report received by other balancers may be older than the last one
		s.applyReport(rep, now)
	}
}

// AnswerStarted tells the Balancer that the answer of attempt n has begun to stream to
// the client. It cancels the other attempts.
func (b *Balancer) AnswerStarted(now time.Duration, id RequestID, n int) {
	if req := b.requests[id]; req != nil && n >= 0 && n < len(req.attempts) {
		req.streamed = true
		b.cancelOthers(req, n)
	}
}

// AnswerStalled tells the Balancer that the answer of attempt n has begun and pauses: its server is slow
// or hangs. The attempt goes on, since its answer may still come in time. If no other one is under way
// that has not stalled too, the request gets another one under the terms of a retry.
func (b *Balancer) AnswerStalled(now time.Duration, id RequestID, n int) {
	req := b.requests[id]
	if req == nil || n < 0 || n >= len(req.attempts) || req.attempts[n].done {
		return
	}
	req.attempts[n].isStalled = true
	isUnderWay := func(a attempt) bool { return !a.done && !a.isStalled }
	isLate := req.class.LateWorth == 0 && now >= req.arrivedAt+req.class.Aim
	if isLate || req.MaxAttempts == 1 || slices.ContainsFunc(req.attempts, isUnderWay) || !b.mayRetry(req) {
		return
	}
	if b.sendAttempt(req, now, false) && b.retryTokens >= 1 {
		b.retryTokens--
	}
}

// BodyReceived tells the Balancer that a body that was still arriving is complete. The
// aim and the given deadline count from now.
func (b *Balancer) BodyReceived(now time.Duration, id RequestID, deadline time.Duration) {
	if req := b.requests[id]; req != nil && req.BodyPending && req.outstanding > 0 {
		req.BodyPending, req.arrivedAt, req.attempts[0].sentAt, req.Deadline = false, now, now, deadline
		delete(b.timers, req.timerCookie)
		b.planCopy(req, now)
	}
}

// ClearBudgets sets the budgets for retries and copies to zero; first attempts
// earn them again.
func (b *Balancer) ClearBudgets() { b.retryTokens, b.reissuer.tokens = 0, 0 }

// AttemptDone records the outcome o of attempt n. over reports whether the request has ended.
func (b *Balancer) AttemptDone(now time.Duration, id RequestID, n int, o Outcome, over bool, rep LoadReport) {
	req := b.requests[id]
	if req == nil || n < 0 || n >= len(req.attempts) || req.attempts[n].done {
		return
	}
	a := &req.attempts[n]
	a.done, a.neverRan = true, o.NeverRan()
	req.outstanding--
	a.server.inFlight--
	b.recordOutcome(req, a, o, now, rep)
	if over {
		req.ended = true
		delete(b.timers, req.timerCookie)
		if !req.observesPair || o != OK {
			b.cancelOthers(req, n)
		}
		b.removeIfFinished(req)
		return
	}
	switch {
	case req.ended:
		b.removeIfFinished(req)
	case req.outstanding > 0: // another attempt may still answer
	case req.class.LateWorth == 0 && now >= req.arrivedAt+req.class.Aim: // a late answer is worth nothing
		b.endUnanswered(req)
	case req.MaxAttempts == 1 || !b.mayRetry(req) || !b.sendAttempt(req, now, false):
		b.endUnanswered(req)
	case b.retryTokens >= 1: // only an attempt that was sent costs a token
		b.retryTokens--
	}
}

// mayRetry reports whether the policy and the retry budget allow a retry of req.
// A request below the mean worth needs more tokens left in the budget.
func (b *Balancer) mayRetry(req *request) bool {
	worth, mean := b.admitter.worth(req.rank), b.admitter.meanWorth()
	neededTokens := 1 + maxRetryTokens/2*max(0, 1-worth/max(mean, 1e-9))
	return b.restrictions.AllowsRetries(req.Class) && b.retryTokens >= neededTokens || worth >= highWorthFactor*mean
}

// recordOutcome updates the shed level, the server's state and the response time
// samples with the outcome of an attempt.
func (b *Balancer) recordOutcome(req *request, a *attempt, outcome Outcome, now time.Duration, loadReport LoadReport) {
	s, responseTime := a.server, float64(now-a.sentAt)/float64(req.class.Aim)
	if outcome != Cancelled && outcome != NotSent && !req.isOverdue && !req.BodyPending {
		b.admitter.recordOutcome(outcome == Full, now-req.arrivedAt > req.class.Aim, b.fleet.sendRate(now), now)
	}
	if b.fleet.acceptedShare *= 1 - runningMeanStep; outcome != Full {
		b.fleet.acceptedShare += runningMeanStep
	}
	switch outcome {
	case OK:
		s.ejection.recordSuccess(now)
		if req.Class < len(s.classEjections) {
			s.classEjections[req.Class].recordSuccess(now)
		}
	case ServerError, ConnectFailed, Reset, TimedOut:
		b.fleet.recordFailure(s, now)
	case Cancelled:
		if a.isStalled { // another attempt answered while this one paused
			b.fleet.recordFailure(s, now)
		}
	}
	switch {
	case req.BodyPending: // the time that a client takes for its body says nothing about the server
	case outcome == OK || outcome == TimedOut:
		b.fleet.recordLatency(s, outcome, loadReport, responseTime, a.serverHeld, now)
	case outcome == ServerError: // its response time is not recorded: a server that fails fast would get more requests
		s.applyReport(loadReport, now)
		s.ejection.errorAt = now
		b.fleet.recordClassFailure(s, req.Class, now)
	}
	if b.cfg.ConnectionCost > 0 && !s.inWorkingSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // a connection to a server outside the working set would stay open unused
	}
	if req.class.Effect == Unsafe || req.BodyPending || (outcome != OK && outcome != Cancelled && outcome != TimedOut) {
		return
	}
	a.responseTime, a.censored = responseTime, outcome != OK
	if a.isCopy {
		b.reissuer.copies.add(sample{responseTime, a.censored}, copyWindowSize)
	} else {
		b.reissuer.primary.add(sample{responseTime, a.censored}, primaryWindowSize)
		b.reissuer.newSamples++
	}
	if req.observesPair && req.outstanding == 0 && len(req.attempts) == 2 {
		x, y := &req.attempts[0], &req.attempts[1]
		if !x.censored && !y.censored && x.responseTime > 0 && y.responseTime > 0 {
			b.reissuer.pairs.add(pair{x.responseTime, y.responseTime}, pairWindowSize)
		}
	}
}

// cancelOthers cancels all attempts of req without an outcome except attempt n,
// if attempts may be cancelled.
func (b *Balancer) cancelOthers(req *request, n int) {
	if !req.Config.MayCancel || req.outstanding == 0 {
		return
	}
	for i := range req.attempts {
		if i != n && !req.attempts[i].done {
			b.host.Cancel(req.ID, i)
		}
	}
}

// ClientGone tells the Balancer that the client has left. Outstanding attempts
// are cancelled where that is allowed.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if req := b.requests[id]; req != nil && !req.ended {
		b.closeRequest(req)
	}
}

// endUnanswered ends req without an answer: with a refusal if a retry is
// harmless, otherwise with a failure.
func (b *Balancer) endUnanswered(req *request) {
	b.closeRequest(req)
	if e := req.class.Effect; e == Safe || e == Keyed && req.class.Scope == ScopeAll || req.anchor() == nil {
		part := b.rng.Float64()
		b.host.Refuse(req.ID, max(b.restrictions.MinRetryAfter(req.Class, part), time.Duration((0.5+part/2)*float64(req.Config.MaxRetryAfter))))
	} else {
		b.host.Fail(req.ID)
	}
}

// closeRequest marks req as ended and cancels its outstanding attempts.
func (b *Balancer) closeRequest(req *request) {
	req.ended = true
	delete(b.timers, req.timerCookie)
	b.cancelOthers(req, -1)
	b.removeIfFinished(req)
}

// removeIfFinished removes req once it has ended and all attempts have outcomes.
func (b *Balancer) removeIfFinished(req *request) {
	if req.ended && req.outstanding == 0 {
		delete(b.requests, req.ID)
	}
}
