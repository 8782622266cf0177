package chalkrack

import (
	"testing"
	"time"
)

// tally is a Host that counts and remembers.
type tally struct {
	sends, refused, failed int
	timers                 []uint64
	to                     []string
}

func (h *tally) Send(_ RequestID, server string, _ time.Duration) {
	h.sends++
	h.to = append(h.to, server)
}
func (h *tally) Cancel(RequestID, int)                   {}
func (h *tally) Refuse(RequestID, time.Duration)         { h.refused++ }
func (h *tally) Fail(RequestID)                          { h.failed++ }
func (h *tally) SetTimer(cookie uint64, _ time.Duration) { h.timers = append(h.timers, cookie) }
func (h *tally) CloseIdle(string)                        {}
func (h *tally) Probe(string)                            {}
func (h *tally) Subscribe()                              {}

func fourServers(t *testing.T) (*Balancer, *tally) {
	t.Helper()
	h := new(tally)
	b, err := New(Config{Instances: 1, MaxAttempts: 3, SecondCopies: true, Classes: []Class{{Aim: time.Second, Worth: 1}}}, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	return b, h
}

// A request may lower the number of its attempts and never raise it.
func TestAttemptsOfARequest(t *testing.T) {
	for _, c := range []struct{ attempts, want int }{{0, 3}, {1, 1}, {2, 2}, {3, 3}, {99, 3}, {-5, 3}} {
		b, h := fourServers(t)
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second, Attempts: c.attempts})
		for n := 0; n < h.sends; n++ {
			b.Done(time.Millisecond, 1, n, Full, false, Report{})
		}
		if h.sends != c.want || h.refused != 1 {
			t.Errorf("with %d: %d sends, %d refusals", c.attempts, h.sends, h.refused)
		}
	}
}

// What a tier before this one decides earns no budget and spends none: else calls that
// it repeats would have this tier repeat more too.
func TestDecidedElsewhere(t *testing.T) {
	b, h := fourServers(t)
	b.EmptyBudgets()
	for id := range RequestID(500) {
		b.Arrive(time.Duration(id)*time.Millisecond, Request{ID: id, Tenant: -1, Deadline: time.Hour, Attempts: 1})
	}
	if b.retries != 0 || b.reissue.tokens != 0 || h.sends != 500 {
		t.Errorf("earned %v retries and %v copies by %d sends", b.retries, b.reissue.tokens, h.sends)
	}
	b.retries, b.reissue.tokens = retriesMax, hedgeTokensMax
	for _, cookie := range h.timers {
		b.Timer(600*time.Millisecond, cookie)
	}
	for id := range RequestID(500) {
		b.Done(700*time.Millisecond, id, 0, Full, false, Report{})
	}
	if b.retries != retriesMax || b.reissue.tokens != hedgeTokensMax || h.sends != 500 || h.refused != 500 {
		t.Errorf("%v retries and %v copies left, %d sends, %d refused", b.retries, b.reissue.tokens, h.sends, h.refused)
	}
}

// A request that is bound to a server goes there and nowhere else, whatever becomes of
// it; one whose server is not on the list, or has gone, ends at once.
func TestBoundToAServer(t *testing.T) {
	for id := range RequestID(40) {
		b, h := fourServers(t)
		b.Arrive(0, Request{ID: id, Tenant: -1, Deadline: time.Second, Only: "c"})
		for n := 0; n < h.sends; n++ {
			b.Done(time.Millisecond, id, n, Full, false, Report{})
		}
		for _, cookie := range h.timers {
			b.Timer(600*time.Millisecond, cookie)
		}
		if len(h.to) != 1 || h.to[0] != "c" || h.refused+h.failed != 1 {
			t.Errorf("sent to %v, %d refused, %d failed", h.to, h.refused, h.failed)
		}
	}
	for _, gone := range []bool{false, true} {
		b, h := fourServers(t)
		only := "nowhere"
		if gone {
			only = "c"
			b.ServersListed(0, []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "d"}})
		}
		b.Arrive(time.Minute, Request{ID: 1, Tenant: -1, Deadline: time.Minute + time.Second, Only: only})
		for _, cookie := range h.timers {
			b.Timer(time.Minute+2*time.Second, cookie)
		}
		if h.sends != 0 || h.refused+h.failed != 1 {
			t.Errorf("%s: sent to %v, %d refused, %d failed", only, h.to, h.refused, h.failed)
		}
	}
}

// A request whose body is still on its way gets one attempt, and its time counts from
// the last byte: what its client needs for it is no lateness and no sign of a server's
// speed. Before that byte nothing has run, whatever the class; after it the class's
// rules hold.
func TestBodyOnItsWay(t *testing.T) {
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
		b, r := newTest(t, testConfig(), Endpoint{Name: "a", Zone: "z"}, Endpoint{Name: "b", Zone: "z"})
		b.reissue.q = 1 // each safe request would get a copy
		level := b.admit.level
		b.Arrive(0, Request{ID: 1, Class: c.class, Deadline: time.Hour, Attempts: 1, Coming: true})
		for _, cookie := range r.timers {
			b.Timer(10*time.Second, cookie) // the aim is long past
		}
		if b.admit.level != level {
			t.Errorf("%s: a client that takes its time counts as lateness", c.name)
		}
		at := 20 * time.Second
		if c.whole {
			b.Whole(at, 1, at+300*ms)
		}
		b.Done(at+ms, 1, 0, c.o, false, Report{})
		for _, cookie := range r.timers {
			b.Timer(at+2*ms, cookie)
		}
		if got := r.got; len(got) != 2 || got[0] != c.want[0] || got[1] != c.want[1] {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	b, r := newTest(t, testConfig(), Endpoint{Name: "a"})
	b.Arrive(0, Request{ID: 1, Deadline: time.Hour, Attempts: 1, Coming: true})
	b.Done(50*time.Second, 1, 0, OK, true, Report{}) // answered before the body's end
	if s := b.fleet.byName["a"]; s.latN != 0 || b.reissue.fresh != 0 || b.admit.level != 0 {
		t.Errorf("learned from a body on its way: %+v", s)
	}
	b.Arrive(0, Request{ID: 2, Deadline: time.Hour, Attempts: 1, Coming: true})
	b.Whole(60*time.Second, 2, 61*time.Second)
	if n := len(r.delays); r.delays[n-1] != 100*ms {
		t.Errorf("the aim counts for %v from the last byte, want 100ms", r.delays[n-1])
	}
	b.Done(60*time.Second+10*ms, 2, 0, OK, true, Report{})
	if s := b.fleet.byName["a"]; s.latN == 0 || b.fleet.meanLat > 0.11 {
		t.Errorf("its time does not count from the last byte: mean %v of the aim", b.fleet.meanLat)
	}
}

// What can't be tried again costs no budget: else each call that may not run twice, and
// each that has had its attempts, takes a retry from one that could have had it.
func TestOnlyRetriesAreChargedFor(t *testing.T) {
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
		if err := b.Adopt(Config{Instances: 1, MaxAttempts: 3, Classes: []Class{c.class}}); err != nil {
			t.Fatal(err)
		}
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second, Only: c.only})
		for n := 0; n < h.sends; n++ {
			b.Done(time.Millisecond, 1, n, c.outcome, false, Report{})
		}
		if want := retriesMax - float64(c.sends-1); h.sends != c.sends || h.refused+h.failed != 1 || b.retries != want {
			t.Errorf("%s: %d sends, %v retries left, want %v", name, h.sends, b.retries, want)
		}
	}
}

// A load report of a time before the one that is known changes nothing: what others saw
// comes late.
func TestOldReport(t *testing.T) {
	b, err := New(Config{Instances: 1, MaxAttempts: 1, Classes: []Class{{Aim: time.Second}}}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, []Endpoint{{Name: "a"}})
	b.Probed(10*time.Second, "a", Report{HasInFlight: true, InFlight: 8})
	b.Probed(9*time.Second, "a", Report{HasInFlight: true})
	if got := b.ViewServer(10*time.Second, "a", 0).Load; got != 9 {
		t.Errorf("the load is %v after an older report of none", got)
	}
}
