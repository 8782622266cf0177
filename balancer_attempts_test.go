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
