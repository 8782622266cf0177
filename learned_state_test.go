package chalkrack

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// usedBalancer returns a Balancer that has handled successful and failed
// requests, its host, and a time after all outcomes.
func usedBalancer(t *testing.T) (*Balancer, *fakeHost, time.Duration) {
	t.Helper()
	b, h := eightServers(t, 1)
	now := time.Second
	for n := range 400 {
		now += 5 * time.Millisecond
		id := RequestID(n + 1)
		b.Arrive(now, Request{ID: id, Class: n % 2, Tenant: -1, Deadline: now + time.Second})
		for k := 0; k < len(h.sends); k++ {
			s := h.sends[k]
			o := OK
			if s.server == "b" && n%3 != 0 {
				o = ServerError
			}
			b.AttemptDone(now+time.Duration(3+n%20)*time.Millisecond, s.id, s.n, o, o == OK, LoadReport{})
		}
		h.sends = h.sends[:0]
	}
	return b, h, now + 50*time.Millisecond // after all outcomes
}

// fakeHost records sends and numbers the attempts of each request.
type fakeHost struct {
	sends []struct {
		id     RequestID
		n      int
		server string
	}
	attempts map[RequestID]int
}

func (h *fakeHost) Send(id RequestID, server string, _ time.Duration) {
	h.sends = append(h.sends, struct {
		id     RequestID
		n      int
		server string
	}{id, h.attempts[id], server})
	h.attempts[id]++
}
func (h *fakeHost) Cancel(RequestID, int)           {}
func (h *fakeHost) Refuse(RequestID, time.Duration) {}
func (h *fakeHost) Fail(RequestID)                  {}
func (h *fakeHost) SetTimer(uint64, time.Duration)  {}
func (h *fakeHost) CloseIdle(string)                {}
func (h *fakeHost) Probe(string)                    {}
func (h *fakeHost) Subscribe()                      {}

// eightServers returns a Balancer of two classes with eight servers, of which one
// is cold.
func eightServers(t *testing.T, seed uint64) (*Balancer, *fakeHost) {
	t.Helper()
	h := &fakeHost{attempts: make(map[RequestID]int)}
	class := Class{Aim: 100 * time.Millisecond, Worth: 1}
	unsafeClass := class
	unsafeClass.Effect, unsafeClass.Worth = Unsafe, 10
	b, err := New(Config{Instances: 1, Classes: []Class{class, unsafeClass}, MaxAttempts: 3, ColdFrom: 0.2, ColdFor: 10 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second}, seed, h)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		list = append(list, Endpoint{Name: name, Zone: "z", Hint: 1})
	}
	list[4].Started = 900 * time.Millisecond
	b.ServersListed(time.Second, list)
	return b, h
}

// A new Balancer that restores the state of its predecessor, passed as JSON, has
// the same knowledge: servers, ejections, working set, shed level and budgets.
// Otherwise each upgrade of the sidecar would learn them again at the cost of
// failed requests.
func TestRestoreLearnedState(t *testing.T) {
	old, _, now := usedBalancer(t)
	encoded, err := json.Marshal(old.LearnedState(now))
	if err != nil {
		t.Fatal(err)
	}
	var m LearnedState
	if err := json.Unmarshal(encoded, &m); err != nil {
		t.Fatal(err)
	}
	b, _ := eightServers(t, 2)
	now += time.Millisecond
	b.RestoreState(now, m)
	if got := b.LearnedState(now); !reflect.DeepEqual(got, m) {
		t.Errorf("restored state %.200q..., want %.200q...", fmt.Sprint(got), fmt.Sprint(m))
	}
	old.fleet.dirty = true
	old.fleet.refreshWeights(now)
	b.fleet.refreshWeights(now)
	if got, want := b.ViewState(now), old.ViewState(now); got != want {
		t.Errorf("view after restoring %+v, want %+v", got, want)
	}
	if b.EjectedCount(now) != 1 {
		t.Errorf("%d servers ejected, want 1", b.EjectedCount(now))
	}
	for _, name := range []string{"a", "b", "e", "h"} {
		got, want := b.ViewServer(now, name, 0), old.ViewServer(now, name, 0)
		if got != want {
			t.Errorf("server %s after restoring %+v, want %+v", name, got, want)
		}
	}
	// The state of a server that has restarted since is not restored.
	b, _ = eightServers(t, 3)
	b.ServersChanged(now, []Endpoint{{Name: "b", Zone: "z", Hint: 1, Started: now - 1}})
	b.RestoreState(now, m)
	if v := b.ViewServer(now, "b", 0); v.Ejected || v.Failures != 0 || v.Warmth > 0.3 {
		t.Errorf("restarted server has %+v, want a cold one without failures", v)
	}
}

// A damaged state file may hold any values. Restoring it clamps them, does not
// panic and leaves a Balancer that works.
func TestRestoreClampsInvalidState(t *testing.T) {
	big := math.MaxFloat64
	b, h := eightServers(t, 1)
	now := 5 * time.Second
	b.RestoreState(now, LearnedState{
		ShedLevel: 40, ShedLevelAt: math.MaxInt64, ArrivalShares: []float64{big, -big, 1, 1}, RetryTokens: big, HedgeTokens: -5, HedgeDelay: -1, HedgeProbability: 9,
		PrimarySamples: make([]float64, 10000), Pairs: make([][2]float64, 10000), Sends: -big, SendsAt: -1, AcceptedSends: -big, AcceptedShare: big, MeanLatency: -3,
		Servers: []LearnedServerState{
			{Name: "a", Priority: -1, LatencySum: -big, LatencyWeight: big, LearnedWeight: 0, Load: big, Ejection: Ejection{Failures: big, Ejections: -9, Until: math.MaxInt64}, ClassEjections: make([]Ejection, 1000)},
			{Name: "nobody"},
		},
	})
	m := b.LearnedState(now)
	if m.ShedLevel > 1 || m.RetryTokens > maxRetryTokens || m.HedgeTokens < 0 || m.Sends < 0 || m.AcceptedSends < 0 || len(m.PrimarySamples) > primaryWindowSize || len(m.Pairs) > pairWindowSize {
		t.Errorf("restored values out of bounds: %+v", m)
	}
	if v := b.ViewServer(now+3*maxEjectDuration, "a", 0); v.Ejected {
		t.Error("the server stays ejected beyond the longest ejection")
	}
	b.admitter.level = 0
	b.Arrive(now, Request{ID: 1, Tenant: -1, Deadline: now + time.Second})
	if len(h.sends) != 1 {
		t.Errorf("%d sends for one request, want 1", len(h.sends))
	}
}
