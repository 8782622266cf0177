package chalkrack

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func serversNamed(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("s%03d", i)})
	}
	return list
}

func TestRefusesWithoutServers(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"none":         nil,
		"all draining": {{Name: "a", State: Draining}, {Name: "b", State: Draining}},
		"all gone":     {{Name: "a", State: Gone}},
	} {
		b, r := newTestBalancer(t, testConfig(), list...)
		for class := range 3 {
			b.Arrive(0, Request{ID: RequestID(class + 1), Class: class, Deadline: 300 * ms})
		}
		if len(r.decisions) != 3 || r.decisions[0] != "refuse 1" || r.decisions[1] != "refuse 2" || r.decisions[2] != "refuse 3" {
			t.Errorf("%s: %v, want three refusals", name, r.decisions)
		}
	}
	b, r := newTestBalancer(t, testConfig(), serversNamed(2)...)
	b.Arrive(time.Second, Request{ID: 1, Deadline: time.Second})
	b.Arrive(time.Second, Request{ID: 2, Class: 9, Deadline: 2 * time.Second})
	if len(r.decisions) != 2 || r.decisions[0] != "refuse 1" || r.decisions[1] != "refuse 2" {
		t.Errorf("deadline past and unknown class: %v, want two refusals", r.decisions)
	}
}

// When all servers fail, at most maxEjectedShare of them are ejected, so that
// the rest still serve. The ejections end with time.
func TestEjectionIsCapped(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), serversNamed(10)...)
	b.fleet.refreshWeights(0)
	for _, s := range b.fleet.byPriority {
		for range 3 {
			b.fleet.recordFailure(s, 0)
		}
	}
	if len(b.fleet.ejected) != 4 {
		t.Errorf("%d of 10 ejected, want 4", len(b.fleet.ejected))
	}
	b.fleet.refreshWeights(time.Minute)
	if len(b.fleet.ejected) != 0 {
		t.Errorf("%d still ejected after a minute", len(b.fleet.ejected))
	}
}

// Where open connections have a cost, the balancers of a large tier keep small working sets.
func TestConnectionCostLimitsWorkingSet(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ConnectionCost = 1200, 0.05
	b, r := newTestBalancer(t, cfg, serversNamed(60)...)
	b.disableCopies()
	used := map[string]bool{}
	for id := RequestID(1); id <= 200; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
		b.AttemptDone(0, id, 0, OK, true, LoadReport{})
		used[r.servers[id-1]] = true
	}
	if len(used) > 4 {
		t.Errorf("%d servers used, want at most 4", len(used))
	}
}

// Two balancers that know the same servers send requests of one key to the same server.
func TestBalancersAgreeOnServerOfKey(t *testing.T) {
	cfg := testConfig()
	cfg.WarmKeys = true
	one, r1 := newTestBalancer(t, cfg, serversNamed(minWorkingSet)...)
	r2 := new(recorder)
	two, err := New(cfg, 99, r2)
	if err != nil {
		t.Fatal(err)
	}
	two.ServersListed(0, serversNamed(minWorkingSet))
	for id := RequestID(1); id <= 20; id++ {
		for _, b := range []*Balancer{one, two} {
			b.disableCopies()
			b.Arrive(0, Request{ID: id, Key: fmt.Sprint(id % 7), Deadline: 300 * ms})
			b.AttemptDone(0, id, 0, OK, true, LoadReport{})
		}
		if a, b := r1.servers[id-1], r2.servers[id-1]; a != b {
			t.Errorf("key %d went to %s and %s", id%7, a, b)
		}
	}
}

// A balancer with little traffic, half of whose answers are late, sheds nearly
// everything. A level that decayed between any two outcomes would settle far lower.
func TestShedLevelHoldsBetweenOutcomes(t *testing.T) {
	cfg := testConfig()
	a := newAdmitter(&cfg, admitter{})
	for i := range 200 { // half are late, twice a second
		a.recordOutcome(false, i%2 == 0, 2, time.Duration(i)*500*ms)
	}
	after := a.level // after an answer in time
	a.recordOutcome(false, true, 2, 100*time.Second)
	if mean := (after + a.level) / 2; mean < 0.9 {
		t.Errorf("levels %v and %v with half of the answers late, want a mean of 0.9 or more", after, a.level)
	}
}

// Shed requests bring no answers that could lower the level. A balancer with
// little traffic therefore takes larger steps and the level decays by itself;
// otherwise it stays up after its cause is gone.
func TestShedLevelFallsAtLowRate(t *testing.T) {
	a := newAdmitter(&Config{Classes: make([]Class, 1)}, admitter{})
	a.level = 0.6
	for range 15 {
		a.recordOutcome(false, false, 1, 0)
	}
	if a.level > 0.05 {
		t.Errorf("level %v after 15 answers in time at a low rate, want at most 0.05", a.level)
	}
	a.level, a.arrivalShares[0] = 0.9, 1
	if before, after := a.shedProbability(0, 0), a.shedProbability(0, 2*shedLevelDecay); before < 0.5 || after > before/4 {
		t.Errorf("shed probability went from %v to %v without outcomes, want a fall to a quarter or less", before, after)
	}
}

// Each send counts as in flight on its server until its outcome, in the rate of
// sends, and against the budget of a cold server.
func TestSendsAreCounted(t *testing.T) {
	list := serversNamed(1)
	list[0].Started = 100 * time.Second
	b, _ := newTestBalancer(t, testConfig())
	b.disableCopies()
	b.ServersListed(100*time.Second, list)
	s, now := b.fleet.byName["s000"], 100*time.Second
	for id := RequestID(1); id <= 3; id++ {
		s.coldBudget = tokenBucket{2, now + 1}
		b.Arrive(now, Request{ID: id, Tenant: -1, Deadline: now + time.Second})
		if s.inFlight != int(id) || s.coldBudget.tokens >= 2 {
			t.Errorf("send %d: %d in flight, %v of 2 tokens left", id, s.inFlight, s.coldBudget.tokens)
		}
	}
	if got, want := b.fleet.sendRate(now), 3/sendRateDecay.Seconds(); math.Abs(got-want) > 1e-9 {
		t.Errorf("send rate %v after three sends, want %v", got, want)
	}
	if got := b.fleet.sendRate(now + 20*sendRateDecay); got > 1e-6 {
		t.Errorf("send rate %v after 20 time constants without a send, want 0", got)
	}
	for id := RequestID(1); id <= 3; id++ {
		b.AttemptDone(now, id, 0, OK, true, LoadReport{})
	}
	if s.inFlight != 0 {
		t.Errorf("%d in flight after all outcomes", s.inFlight)
	}
}

// The choice between two random servers goes by requests in flight: requests
// without an answer spread evenly.
func TestTwoChoicesSpreadLoad(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), serversNamed(minWorkingSet)...)
	b.disableCopies()
	counts := make(map[string]int)
	for id := RequestID(1); id <= 100; id++ {
		b.Arrive(0, Request{ID: id, Tenant: -1, Deadline: time.Second})
		counts[r.servers[id-1]]++
	}
	for name, n := range counts {
		if n < 20 || n > 30 {
			t.Errorf("%s holds %d of 100 requests, want about a quarter", name, n)
		}
	}
}

// Own requests in flight outweigh every other part of the cost: a server that
// holds one of them may have a queue that its earlier answers do not show yet.
func TestInFlightDominatesCost(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), serversNamed(2)...)
	busy, slow := b.fleet.byName["s000"], b.fleet.byName["s001"]
	busy.inFlight = 1
	slow.load, slow.latencySum, slow.latencyWeight = timedOutLoad, 40, 10
	if b.fleet.cost(busy, 0) <= b.fleet.cost(slow, 0) {
		t.Error("a server with a request in flight costs less than an idle one")
	}
}

// Errors that come at once must not count as low latency: the server would draw more requests.
func TestFastErrorsAreNotLowLatency(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), serversNamed(minWorkingSet)...)
	b.disableCopies()
	for id := RequestID(1); id <= 200; id++ {
		now := time.Duration(id) * 100 * ms
		b.Arrive(now, Request{ID: id, Class: 2, Tenant: -1, Deadline: now + time.Second})
		o, took := OK, 50*ms
		if r.servers[len(r.servers)-1] == "s000" {
			o, took = ServerError, ms
		}
		b.AttemptDone(now+took, id, 0, o, o == OK, LoadReport{})
	}
	failing, working := b.fleet.byName["s000"], b.fleet.byName["s001"]
	if failing.learnedWeight > working.learnedWeight || failing.relativeLatency(20*time.Second) < working.relativeLatency(20*time.Second) {
		t.Errorf("failing server: weight %v, latency %v; working server: weight %v, latency %v", failing.learnedWeight, failing.relativeLatency(20*time.Second), working.learnedWeight, working.relativeLatency(20*time.Second))
	}
}

// A server that fails a third of its calls is ejected like one that fails all,
// although most failures have a successful answer between them. One that fails
// one call in 50 is not, and both are tried again.
func TestEjectsServerThatFailsSomeCalls(t *testing.T) {
	for every, maxRatio := range map[int]float64{3: 0.12, 50: 9} {
		b, r := newTestBalancer(t, testConfig(), serversNamed(minWorkingSet)...)
		b.disableCopies()
		failingServerCalls, otherCalls := 0, 0
		for id := RequestID(1); id <= 4000; id++ { // 80 s, 12 calls a second to each
			now := time.Duration(id) * 20 * ms
			b.Arrive(now, Request{ID: id, Tenant: -1, Deadline: now + time.Second})
			o := OK
			if r.servers[len(r.servers)-1] == "s000" {
				if failingServerCalls++; failingServerCalls%every == 0 {
					o = ServerError
				}
			} else {
				otherCalls++
			}
			b.AttemptDone(now+50*ms, id, 0, o, o == OK, LoadReport{})
		}
		ratio := float64(failingServerCalls) / (float64(otherCalls) / (minWorkingSet - 1)) // share of what each of the others gets
		if ratio > maxRatio || ratio < 0.01 || every == 50 && ratio < 0.3 {
			t.Errorf("one failure in %d calls: got %.2f of the calls of each other server, want 0.01 to 0.12 for one in 3 and 0.3 to 9 for one in 50", every, ratio)
		}
	}
}

// A server that failed gets no calls that must not run twice until repeatable
// calls have succeeded there: a failure of such a call cannot be retried. If all
// servers are suspect, or no repeatable calls come for long, it gets them.
func TestSuspectServerIsTestedByRepeatableCalls(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), serversNamed(minWorkingSet)...)
	b.disableCopies()
	id, now := RequestID(0), time.Duration(0)
	send := func(class int, isFailing func(string) bool) (to string) {
		id++
		now += 20 * ms
		b.Arrive(now, Request{ID: id, Class: class, Tenant: -1, Deadline: now + time.Second})
		to = r.servers[len(r.servers)-1]
		o := OK
		if isFailing(to) {
			o = ServerError
		}
		b.AttemptDone(now, id, 0, o, o == OK, LoadReport{})
		return to
	}
	isFirstServer := func(to string) bool { return to == "s000" }
	isNoServer := func(string) bool { return false }
	for send(0, isFirstServer) != "s000" {
	}
	for range 500 { // 10 s, in which its ejections end several times
		if send(2, isFirstServer) == "s000" {
			t.Fatal("a suspect server got a call that must not run twice")
		}
	}
	alone := 0
	for range 1500 { // 30 s without repeatable calls, so that one of these has to test the server
		if send(2, isNoServer) == "s000" {
			alone++
		}
	}
	for send(0, isFirstServer) != "s000" {
	}
	tested, returned := 0, 0
	for range 400 {
		if send(0, isNoServer) == "s000" {
			tested++
		}
		if send(2, isNoServer) == "s000" {
			returned++
		}
	}
	if tested == 0 || returned == 0 || alone == 0 {
		t.Errorf("recovered server got %d repeatable calls, %d unsafe ones beside them and %d unsafe ones alone, want some of each", tested, returned, alone)
	}
	ejected := b.fleet.byPriority[0]
	for range ejectThreshold {
		b.fleet.recordFailure(ejected, now)
	}
	if returned := ejected.ejection.until; returned <= now || !ejected.ejection.isSuspect(returned) || ejected.ejection.isSuspect(returned+maxEjectDuration) {
		t.Error("an ejected server is not suspect after its return, or stays suspect for ever")
	}
	for _, s := range b.fleet.byPriority[1:] {
		b.fleet.recordFailure(s, now)
		if s.ejection.isSuspect(now) {
			t.Errorf("%s is suspect after a failure without an error, which may be a time-out due to load", s.name)
		}
		s.ejection.failures, s.ejection.errorAt = 1, now
	}
	if to := send(2, isNoServer); to == "" || r.decisions[len(r.decisions)-1] != fmt.Sprintf("send %d", id) {
		t.Errorf("all servers suspect: got %q, want a send", r.decisions[len(r.decisions)-1])
	}
}

// A server that fails one class and serves the others is ejected for that class
// only and is tried again later. Where all servers fail a class, most of them
// still get it.
func TestEjectedForOneClass(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), serversNamed(minWorkingSet)...)
	var failing = map[string]bool{"s000": true}
	failed, served := 0, 0
	serve := func(id RequestID) {
		b.disableCopies()
		now := time.Duration(id) * 20 * ms
		b.Arrive(now, Request{ID: id, Class: int(id%2) * 2, Tenant: -1, Deadline: now + time.Second})
		to, o := r.servers[len(r.servers)-1], OK
		switch {
		case failing[to] && id%2 == 1:
			failed++
			o = ServerError
		case failing[to]:
			served++
		}
		b.AttemptDone(now, id, 0, o, o == OK, LoadReport{})
	}
	for id := RequestID(1); id <= 1000; id++ { // 20 s
		serve(id)
	}
	if failed < 3 || failed > 15 || served < 60 {
		t.Errorf("the failing server failed %d of 500 requests and served %d of the other class, want 3 to 15 and 60 or more", failed, served)
	}
	failing = nil
	before := len(r.servers)
	for id := RequestID(1001); id <= 3000; id++ {
		serve(id)
	}
	if s := b.fleet.byName["s000"]; s.classEjections[2].ejections != 0 || s.classEjections[2].failures > 0.01 {
		t.Errorf("without a failure for 40 s the class still has %+v after %d sends", s.classEjections[2], len(r.servers)-before)
	}
	now := time.Hour
	for _, s := range b.fleet.byPriority {
		for range 2 * ejectThreshold {
			b.fleet.recordClassFailure(s, 2, now)
		}
	}
	ejected := 0
	for _, s := range b.fleet.byPriority {
		if s.isEjectedFor(2, now) {
			ejected++
		}
	}
	if ejected != 1 {
		t.Errorf("%d of %d servers ejected for the class, want 1", ejected, minWorkingSet)
	}
	r.decisions = nil
	b.Arrive(now, Request{ID: 9999, Class: 2, Tenant: -1, Deadline: now + time.Second})
	if len(r.decisions) != 1 || r.decisions[0] != "send 9999" {
		t.Errorf("all servers fail the class: got %v, want a send", r.decisions)
	}
}

// The class of the lowest worth is shed first, and completely before the next one.
func TestShedsLowestWorthFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Worth = 10
	b, _ := newTestBalancer(t, cfg)
	for range 300 {
		b.admitter.recordArrival(0, -1, 0)
		b.admitter.recordArrival(2, -1, 0)
	}
	b.admitter.level = 0.3
	if low, high := b.admitter.shedProbability(0, 0), b.admitter.shedProbability(2, 0); low < 0.4 || high != 0 {
		t.Errorf("shed probability %v for the class of low worth and %v for that of high worth, want 0.4 or more and 0", low, high)
	}
	for range 1000 {
		b.admitter.recordOutcome(false, false, 10, 0)
	}
	if b.admitter.level != 0 {
		t.Errorf("level %v after 1000 answers in time, want 0", b.admitter.level)
	}
}

// When all servers freeze for a moment, hundreds of a busy balancer's sends are
// turned away within it. That must not shed everything for many times as long,
// since few sends are left then to bring the level down.
func TestShedLevelOfBusyBalancerAfterFreeze(t *testing.T) {
	cfg := testConfig()
	const rate, freeze = 400.0, 250 * ms
	a := newAdmitter(&cfg, admitter{})
	now := time.Duration(0)
	for ; now < freeze; now += time.Second / rate {
		a.recordOutcome(true, false, rate, now)
	}
	if l := a.currentLevel(now); l > 0.25 {
		t.Errorf("level %.2f after %v of full servers, want at most 0.25", l, freeze)
	}
	// A lasting freeze leads to shedding within a few seconds.
	for ; now < 4*time.Second; now += time.Second / rate {
		a.recordOutcome(true, false, rate, now)
	}
	if l := a.currentLevel(now); l < 0.8 {
		t.Errorf("level %.2f after four seconds of full servers, want 0.8 or more", l)
	}
	// The level falls although a third of the few admitted sends still meet a full server.
	for n := 0; now < 14*time.Second; n, now = n+1, now+time.Second/50 {
		a.recordOutcome(n%3 == 0, false, 50, now)
	}
	if l := a.currentLevel(now); l > 0.2 {
		t.Errorf("level %.2f ten seconds later, want at most 0.2", l)
	}
}

// A tenant's requests above its share are shed before those of other tenants
// within theirs, whatever their classes.
func TestShedsAboveShareFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverShareWorth = []float64{9, 9}, 0.1
	cfg.Classes[2].Worth = 5
	a := newAdmitter(&cfg, admitter{})
	within, above := 0, 0
	for i := range 200 { // 20 requests of high worth a second from the first tenant, whose share at this balancer is 3
		now := time.Duration(i) * 50 * ms
		if a.recordArrival(2, 0, now) == 4 {
			within++
		} else {
			above++
		}
	}
	if within < 38 || within > 45 {
		t.Errorf("%d of 200 within the share, want 38 to 45: 3 a second and the saved burst", within)
	}
	a.level, a.levelAt = 0.5, 10*time.Second
	withinRank := a.recordArrival(0, 1, 10*time.Second)
	if aboveProbability, withinProbability := a.shedProbability(5, a.levelAt), a.shedProbability(withinRank, a.levelAt); withinRank != 0 || aboveProbability < 0.4 || withinProbability != 0 {
		t.Errorf("shed probability %v above the share and %v within it, want 0.4 or more and 0", aboveProbability, withinProbability)
	}
}

// Sorting a large fleet for each of many small changes cost a balancer with
// little traffic more than its requests did. The serving servers are kept sorted
// as changes come.
func TestServingServersStaySorted(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), serversNamed(20)...)
	f, rng := &b.fleet, rand.New(rand.NewPCG(7, 7))
	for step := range 500 {
		list := serversNamed(30)
		e := list[rng.IntN(len(list))]
		e.State = State(rng.IntN(3))
		b.ServersChanged(0, []Endpoint{e})
		if step%50 == 49 {
			b.ServersListed(0, list[rng.IntN(10):])
		}
		serving := 0
		for _, s := range f.byName {
			if s.serving {
				serving++
			}
		}
		if serving != len(f.byPriority) {
			t.Fatalf("step %d: %d servers in the order, want the %d serving ones", step, len(f.byPriority), serving)
		}
		for i, s := range f.byPriority {
			if !s.serving || f.byName[s.name] != s || i > 0 && f.byPriority[i-1].priority > s.priority {
				t.Fatalf("step %d: server %d of the order is out of place", step, i)
			}
		}
	}
}
