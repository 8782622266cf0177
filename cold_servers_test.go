package chalkrack

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// A restarted server is overloaded by a full share of the requests. While it is
// cold it gets no more than coldSendShare of what would overload it, measured by
// what the warm servers get.
func TestColdServerGetsReducedShare(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[2:] // no copies
	list := serversNamed(4)
	list[0].Started = 100 * time.Second
	b, r := newTestBalancer(t, cfg)
	now, cold := 100*time.Second, 0
	b.ServersListed(now, list)
	for id := RequestID(1); id <= 400; id++ {
		now += 5 * ms
		b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
		if r.servers[id-1] == "s000" {
			cold++
		}
		b.AttemptDone(now, id, 0, OK, true, LoadReport{})
	}
	// The run lasts 2 s and a quarter of the sends would be 100; the server has 0.2 to 0.36 of its
	// capacity.
	if cold == 0 || cold > 60 {
		t.Errorf("%d of 400 sends went to a server that just started, want 1 to 60", cold)
	}
}

// Tokens left from before a restart would allow a burst of sends to a server
// that is cold again. In its first window the server gets a random part of the
// window's budget (coldSendShare of what overloads it), half of it in the mean.
func TestRestartClearsColdBudget(t *testing.T) {
	list := serversNamed(minWorkingSet)
	cfg := testConfig()
	b, _ := newTestBalancer(t, cfg, list...)
	now := 100 * time.Second
	sum, restarts := 0, 400
	budget := coldSendShare * cfg.OverloadFactor * cfg.ColdFrom * 100 / minWorkingSet * cfg.OverloadFor.Seconds()
	for range restarts {
		now += time.Minute
		b.fleet.sends, b.fleet.acceptedSends, b.fleet.sendsAt = 100*sendRateDecay.Seconds(), 100*acceptedDecay.Seconds(), now
		list[0].Started = now
		b.ServersChanged(now, list[:1])
		b.fleet.refreshWeights(now)
		s, allowed := b.fleet.byName["s000"], 0
		sends, acceptedSends := b.fleet.sends, b.fleet.acceptedSends
		for ; b.fleet.hasColdBudget(s, now) && allowed < 100; allowed++ {
			b.fleet.recordSend(s, now)
		}
		if b.fleet.sends, b.fleet.acceptedSends = sends, acceptedSends; float64(allowed) > budget+1 {
			t.Fatalf("%d sends allowed at the moment of a restart, the window's budget is %.1f", allowed, budget)
		}
		sum += allowed
	}
	if mean := float64(sum) / float64(restarts); mean < 0.4*budget || mean > 0.6*budget {
		t.Errorf("%.2f sends allowed at a restart in the mean, want about half of the window's budget of %.1f", mean, budget)
	}
}

// The budgets that the balancers compute on their own must not add up to an
// overload of a server that has just started. For any number of balancers and
// any split of the sends, each sending as soon as it may, the total within any
// OverloadFor stays below twice coldSendShare of what overloads the server, plus
// random variation.
func TestColdBudgetsAddUpWithinLimit(t *testing.T) {
	for _, count := range []int{2, 5, 30, 300} {
		for _, uneven := range []bool{false, true} {
			for _, total := range []float64{40, 400} { // sends a second of all balancers, to minWorkingSet servers
				list := serversNamed(minWorkingSet)
				cfg := testConfig()
				cfg.Instances, cfg.ColdFor = count, time.Hour // the server stays as cold as at its start
				now := 100 * time.Second
				rates, totalWeight := make([]float64, count), 0.0
				for n := range rates {
					if rates[n] = 1; uneven && n < (count+9)/10 {
						rates[n] = 10
					}
					totalWeight += rates[n]
				}
				var sends []time.Duration
				list[0].Started = now
				for n := range rates {
					rates[n] *= total / totalWeight
					r := &recorder{}
					b, err := New(cfg, uint64(n), r)
					if err != nil {
						t.Fatal(err)
					}
					b.ServersListed(now, list)
					for at := now; at < now+5*cfg.OverloadFor; at += 10 * ms {
						b.fleet.sends, b.fleet.acceptedSends, b.fleet.sendsAt = rates[n]*sendRateDecay.Seconds(), rates[n]*acceptedDecay.Seconds(), at
						b.fleet.refreshWeights(at)
						for s := b.fleet.byName["s000"]; s.inWorkingSet && b.fleet.hasColdBudget(s, at); s.coldBudget.tokens-- {
							sends = append(sends, at)
						}
					}
				}
				slices.Sort(sends)
				maxSends := 0
				for from, last := 0, 0; last < len(sends); last++ {
					for sends[last]-sends[from] >= cfg.OverloadFor {
						from++
					}
					maxSends = max(maxSends, last-from+1)
				}
				budget := total / minWorkingSet * cfg.OverloadFactor * cfg.ColdFrom * cfg.OverloadFor.Seconds()
				// All balancers together send at least one; the minimum of each adds at most two in all.
				if limit := 2*coldSendShare*budget + 2*math.Sqrt(budget) + 2; float64(maxSends) > limit {
					t.Errorf("%d balancers, uneven %v, %.0f sends a second: %d sends within a window, want at most %.1f", count, uneven, total, maxSends, limit)
				}
				if len(sends) == 0 {
					t.Errorf("%d balancers, uneven %v, %.0f sends a second: the cold server got no request", count, uneven, total)
				}
			}
		}
	}
}

// Probes are sent to cold servers too and must not overload them. Even where all
// servers are cold, every arrival is probed for and probes have the highest cost
// at which they are sent, they cost a server at most a fortieth of its budget
// within any OverloadFor.
func TestProbesDoNotOverloadColdServers(t *testing.T) {
	cfg := testConfig()
	cfg.Probes, cfg.ProbeCost = true, maxProbeCost/probesPerRequest
	list := serversNamed(minWorkingSet)
	now := 100 * time.Second
	for n := range list {
		list[n].Started = now
	}
	b, r := newTestBalancer(t, cfg)
	b.ServersListed(now, list)
	const rate = 100 // arrivals a second, the capacity of the servers when warm
	probeTimes := make(map[string][]time.Duration)
	for id := RequestID(1); now < 100*time.Second+4*cfg.OverloadFor; id++ {
		now += time.Second / rate
		r.decisions = nil
		b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
		for _, got := range r.decisions {
			if s, ok := strings.CutPrefix(got, "probe "); ok {
				probeTimes[s] = append(probeTimes[s], now)
			}
		}
		b.ClientGone(now, id)
	}
	budget := rate / minWorkingSet * cfg.OverloadFactor * cfg.ColdFrom * cfg.OverloadFor.Seconds() // in calls
	worst := 0.0
	for s, probes := range probeTimes {
		for from, last := 0, 0; last < len(probes); last++ {
			for probes[last]-probes[from] >= cfg.OverloadFor {
				from++
			}
			cost := float64(last-from+1) * cfg.ProbeCost
			if worst = max(worst, cost); cost > budget/40 {
				t.Fatalf("%s: probes within a window cost %.2f calls, want at most a fortieth of the budget of %.1f", s, cost, budget)
			}
		}
	}
	t.Logf("probes within a window cost %.2f calls at most, the budget is %.1f", worst, budget)
	if len(probeTimes) != minWorkingSet {
		t.Errorf("%d servers were probed, want all", len(probeTimes))
	}
}

// A cold server outside the working set gets no requests: all balancers could
// fall back on it at once, each with a full budget.
func TestColdServerOutsideWorkingSetGetsNothing(t *testing.T) {
	list := serversNamed(12)
	for i := range list {
		list[i].Started = 100 * time.Second
	}
	cfg := testConfig()
	cfg.Instances = 1 // otherwise the one send that all balancers share is seldom this balancer's
	b, _ := newTestBalancer(t, cfg)
	f, now := &b.fleet, 100*time.Second
	b.ServersListed(now, list)
	f.refreshWeights(now)
	if len(f.workingSet) == len(f.byPriority) {
		t.Fatal("every server is in the working set, want some outside it")
	}
	for _, s := range f.byPriority {
		allowed := false
		for at := now; at < now+b.cfg.ColdFor && !allowed; at += 100 * ms { // until a window has a budget
			allowed = f.hasColdBudget(s, at)
		}
		if allowed != s.inWorkingSet {
			t.Errorf("%s: in the working set: %v, has a budget: %v", s.name, s.inWorkingSet, allowed)
		}
	}
}

// With a local clock behind that of discovery, a server's start lies in the
// future. The server is cold from when it was first heard of, not longer by the
// difference of the clocks, and a repeated list changes nothing.
func TestServerStartInTheFuture(t *testing.T) {
	cfg := testConfig()
	f := fleet{cfg: &cfg, byName: make(map[string]*server), rand: func() float64 { return 0.5 }}
	const heard, ahead = time.Hour, 3 * time.Hour
	e := Endpoint{Name: "a", Started: heard + ahead}
	f.updateServer(e, heard)
	f.updateServer(e, heard+cfg.ColdFor/2)
	s := f.byName["a"]
	if !f.isCold(s, heard+cfg.ColdFor-1) || f.isCold(s, heard+cfg.ColdFor) {
		t.Error("a server whose start lies in the future is not cold for ColdFor from when it was heard of")
	}
	e.Started += ms // another start
	if f.updateServer(e, heard+cfg.ColdFor); !f.isCold(s, heard+2*cfg.ColdFor-1) {
		t.Error("the next start did not make the server cold")
	}
	e.Started = heard // a later list with an earlier start is taken
	if f.updateServer(e, heard+cfg.ColdFor+1); f.isCold(s, heard+cfg.ColdFor+1) {
		t.Error("the server is cold although it started long ago by the last list")
	}
}
