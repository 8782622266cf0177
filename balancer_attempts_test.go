package chalkrack

import (
	"testing"
	"time"
)

// countingHost is a Host that counts calls and records servers and timers.
type countingHost struct {
	sends, refused, failed int
	timers                 []uint64
	servers                []string
}

func (h *countingHost) Send(_ RequestID, server string, _ time.Duration) {
	h.sends++
	h.servers = append(h.servers, server)
}
func (h *countingHost) Cancel(RequestID, int)                   {}
func (h *countingHost) Refuse(RequestID, time.Duration)         { h.refused++ }
func (h *countingHost) Fail(RequestID)                          { h.failed++ }
func (h *countingHost) SetTimer(cookie uint64, _ time.Duration) { h.timers = append(h.timers, cookie) }
func (h *countingHost) CloseIdle(string)                        {}
func (h *countingHost) Probe(string)                            {}
func (h *countingHost) Subscribe()                              {}

// fourServers returns a Balancer with four servers and its host.
func fourServers(t *testing.T) (*Balancer, *countingHost) {
	t.Helper()
	h := new(countingHost)
	b, err := New(Config{Instances: 1, MaxAttempts: 3, SecondCopies: true, Classes: []Class{{Aim: time.Second, Worth: 1}}}, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	return b, h
}

// A request may lower the number of its attempts below the configured one, but
// not raise it.
func TestRequestLowersMaxAttempts(t *testing.T) {
	for _, c := range []struct{ attempts, want int }{{0, 3}, {1, 1}, {2, 2}, {3, 3}, {99, 3}, {-5, 3}} {
		b, h := fourServers(t)
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second, MaxAttempts: c.attempts})
		for n := 0; n < h.sends; n++ {
			b.AttemptDone(time.Millisecond, 1, n, Full, false, LoadReport{})
		}
		if h.sends != c.want || h.refused != 1 {
			t.Errorf("with a limit of %d: %d sends and %d refusals, want at most the configured sends and 1 refusal", c.attempts, h.sends, h.refused)
		}
	}
}

// A request whose retries an upstream tier decides neither earns nor spends
// budget. Otherwise the retries of that tier would make this tier retry more too.
func TestSingleAttemptRequestsLeaveBudgetsUnchanged(t *testing.T) {
	b, h := fourServers(t)
	b.ClearBudgets()
	for id := range RequestID(500) {
		b.Arrive(time.Duration(id)*time.Millisecond, Request{ID: id, Tenant: -1, Deadline: time.Hour, MaxAttempts: 1})
	}
	if b.retryTokens != 0 || b.reissuer.tokens != 0 || h.sends != 500 {
		t.Errorf("earned %v retry and %v copy tokens by %d sends, want no tokens and 500 sends", b.retryTokens, b.reissuer.tokens, h.sends)
	}
	b.retryTokens, b.reissuer.tokens = maxRetryTokens, maxHedgeTokens
	for _, cookie := range h.timers {
		b.Timer(600*time.Millisecond, cookie)
	}
	for id := range RequestID(500) {
		b.AttemptDone(700*time.Millisecond, id, 0, Full, false, LoadReport{})
	}
	if b.retryTokens != maxRetryTokens || b.reissuer.tokens != maxHedgeTokens || h.sends != 500 || h.refused != 500 {
		t.Errorf("%v retry and %v copy tokens left, %d sends, %d refused, want all tokens, 500 sends and 500 refused", b.retryTokens, b.reissuer.tokens, h.sends, h.refused)
	}
}

// A request bound to a server goes only there, whatever the outcome. It ends at
// once if the server is not on the list or has left it.
func TestRequestBoundToServer(t *testing.T) {
	for id := range RequestID(40) {
		b, h := fourServers(t)
		b.Arrive(0, Request{ID: id, Tenant: -1, Deadline: time.Second, Server: "c"})
		for n := 0; n < h.sends; n++ {
			b.AttemptDone(time.Millisecond, id, n, Full, false, LoadReport{})
		}
		for _, cookie := range h.timers {
			b.Timer(600*time.Millisecond, cookie)
		}
		if len(h.servers) != 1 || h.servers[0] != "c" || h.refused+h.failed != 1 {
			t.Errorf("bound to c: sent to %v, %d refused, %d failed, want one send and one answer", h.servers, h.refused, h.failed)
		}
	}
	for _, gone := range []bool{false, true} {
		b, h := fourServers(t)
		only := "nowhere"
		if gone {
			only = "c"
			b.ServersListed(0, []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "d"}})
		}
		b.Arrive(time.Minute, Request{ID: 1, Tenant: -1, Deadline: time.Minute + time.Second, Server: only})
		for _, cookie := range h.timers {
			b.Timer(time.Minute+2*time.Second, cookie)
		}
		if h.sends != 0 || h.refused+h.failed != 1 {
			t.Errorf("bound to %s, which is not listed: sent to %v, %d refused, %d failed, want no send and one answer", only, h.servers, h.refused, h.failed)
		}
	}
}

// A request whose body is still arriving gets one attempt, and its aim counts
// from the last byte: the time that the client takes to send it must not count as
// lateness or as a server's latency. Before that byte nothing has run, so that a
// request of any class may be refused; after it the rules of the class hold.
func TestRequestWithArrivingBody(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		whole bool
		o     Outcome
		want  []string
	}{
		{"broken before its end", 2, false, ConnectFailed, []string{"send 1", "refuse 1"}},
		{"turned away", 0, true, Full, []string{"send 1", "refuse 1"}},
		{"safe, failed", 0, true, ServerError, []string{"send 1", "refuse 1"}},
		{"keyed, reset", 1, true, Reset, []string{"send 1", "fail 1"}},
		{"unsafe, reset", 2, true, Reset, []string{"send 1", "fail 1"}},
	} {
		b, r := newTestBalancer(t, testConfig(), Endpoint{Name: "a", Zone: "z"}, Endpoint{Name: "b", Zone: "z"})
		b.reissuer.probability = 1 // each safe request would get a copy
		level := b.admitter.level
		b.Arrive(0, Request{ID: 1, Class: c.class, Deadline: time.Hour, MaxAttempts: 1, BodyPending: true})
		for _, cookie := range r.timers {
			b.Timer(10*time.Second, cookie) // long after the aim
		}
		if b.admitter.level != level {
			t.Errorf("%s: the time that the client takes for its body counts as lateness", c.name)
		}
		at := 20 * time.Second
		if c.whole {
			b.BodyReceived(at, 1, at+300*ms)
		}
		b.AttemptDone(at+ms, 1, 0, c.o, false, LoadReport{})
		for _, cookie := range r.timers {
			b.Timer(at+2*ms, cookie)
		}
		if got := r.decisions; len(got) != 2 || got[0] != c.want[0] || got[1] != c.want[1] {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	b, r := newTestBalancer(t, testConfig(), Endpoint{Name: "a"})
	b.Arrive(0, Request{ID: 1, Deadline: time.Hour, MaxAttempts: 1, BodyPending: true})
	b.AttemptDone(50*time.Second, 1, 0, OK, true, LoadReport{}) // answered before the end of the body
	if s := b.fleet.byName["a"]; s.latencyWeight != 0 || b.reissuer.newSamples != 0 || b.admitter.level != 0 {
		t.Errorf("an answer before the end of the body was recorded as a response time: %+v", s)
	}
	b.Arrive(0, Request{ID: 2, Deadline: time.Hour, MaxAttempts: 1, BodyPending: true})
	b.BodyReceived(60*time.Second, 2, 61*time.Second)
	if n := len(r.delays); r.delays[n-1] != 100*ms {
		t.Errorf("the timer for the aim is set to %v at the last byte, want 100ms", r.delays[n-1])
	}
	b.AttemptDone(60*time.Second+10*ms, 2, 0, OK, true, LoadReport{})
	if s := b.fleet.byName["a"]; s.latencyWeight == 0 || b.fleet.meanLatency > 0.11 {
		t.Errorf("the response time does not count from the last byte: mean %v of the aim, want 0.1", b.fleet.meanLatency)
	}
}

// Only a retry that is sent costs budget. Otherwise each call that must not run
// twice or has used up its attempts would take a retry from another call.
func TestOnlySentRetriesCostBudget(t *testing.T) {
	for name, c := range map[string]struct {
		class   Class
		only    string
		outcome Outcome
		sends   int
	}{
		"may not run twice":    {Class{Aim: time.Second, Worth: 1, Effect: Unsafe}, "", Reset, 1},
		"has had its attempts": {Class{Aim: time.Second, Worth: 1}, "", Full, 3},
		"no server is left":    {Class{Aim: time.Second, Worth: 1}, "a", Full, 1},
	} {
		b, h := fourServers(t)
		if err := b.SetConfig(Config{Instances: 1, MaxAttempts: 3, Classes: []Class{c.class}}); err != nil {
			t.Fatal(err)
		}
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second, Server: c.only})
		for n := 0; n < h.sends; n++ {
			b.AttemptDone(time.Millisecond, 1, n, c.outcome, false, LoadReport{})
		}
		if want := maxRetryTokens - float64(c.sends-1); h.sends != c.sends || h.refused+h.failed != 1 || b.retryTokens != want {
			t.Errorf("%s: %d sends, %v retries left, want %v", name, h.sends, b.retryTokens, want)
		}
	}
}

// A load report older than the last one is ignored: reports received by other
// balancers arrive late.
func TestOlderLoadReportIsIgnored(t *testing.T) {
	b, err := New(Config{Instances: 1, MaxAttempts: 1, Classes: []Class{{Aim: time.Second}}}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, []Endpoint{{Name: "a"}})
	b.Probed(10*time.Second, "a", LoadReport{HasInFlight: true, InFlight: 8})
	b.Probed(9*time.Second, "a", LoadReport{HasInFlight: true})
	if got := b.ViewServer(10*time.Second, "a", 0).HeldRequests; got != 9 {
		t.Errorf("load %v after an older report without load, want 9", got)
	}
}
