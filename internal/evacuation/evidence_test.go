package evacuation

import (
	"testing"
	"time"
)

// Attempts to a zone that fails, which have waited for long, are told as hopeless, each
// once; those elsewhere, and to a zone that an operator has the fleet leave, are not.
func TestHopeless(t *testing.T) {
	a, _ := pair(t)
	at := sec
	all := map[uint64]bool{a.Sent(at, "s1"): true, a.Sent(at, "s2"): true}
	elsewhere := a.Sent(at, "s3")
	a.Ended(at+20*time.Millisecond, a.Sent(at+10*time.Millisecond, "s4"), Good, false)
	var told []uint64
	for at < 2*sec {
		at += 40 * time.Millisecond
		told = append(told, a.Tick(at).Lost...)
		if at == sec+200*time.Millisecond && len(told) > 0 {
			t.Errorf("after 200 ms: %v", told)
		}
	}
	for _, ticket := range told {
		if !all[ticket] {
			t.Errorf("%d is told (%d went elsewhere), all are %v", ticket, elsewhere, told)
		}
	}
	if len(told) != 2 {
		t.Errorf("told %v", told)
	}
	_, b := pair(t)
	b.Sent(sec, "s3")
	if err := b.Order(sec, "b", "leave", "x", "y"); err != nil {
		t.Fatal(err)
	}
	if lost := b.Tick(sec + 300*time.Millisecond).Lost; len(lost) > 0 {
		t.Errorf("by an order: %v", lost)
	}
}

// Answers that take ten times as long as elsewhere are bad, though each is answered.
func TestSlowZone(t *testing.T) {
	a, _ := pair(t)
	now := 2 * sec
	for n := range 40 {
		for name, took := range map[string]time.Duration{"s1": 600 * time.Millisecond, "s2": 600 * time.Millisecond, "s3": 60 * time.Millisecond, "s4": 60 * time.Millisecond} {
			if n < 20 {
				took = 60 * time.Millisecond
			}
			ticket := a.Sent(now, name)
			a.Ended(now+took, ticket, Good, false)
		}
		now += 100 * time.Millisecond
		a.Tick(now)
	}
	a.Tick(now + 100*time.Millisecond)
	if v := a.zones[0].vote; v != Failing {
		t.Errorf("zone a is %v", v)
	}
	if v := a.zones[1].vote; v != Fine {
		t.Errorf("zone b is %v", v)
	}
}

// A zone in a stage of return is due at each that goes first, until that one has sent there
// in this stage; not for what may not run twice.
func TestDue(t *testing.T) {
	cfg := Default()
	cfg.Peers = 2
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	m.Servers(0, []Server{{Name: "s1", Zone: "a"}, {Name: "s2", Zone: "b"}})
	due := func(now time.Duration, want string) {
		t.Helper()
		if got := m.Due(now, true); got != want || m.Due(now, false) != "" {
			t.Errorf("at %v %q is due, want %q; for what runs once %q", now, got, want, m.Due(now, false))
		}
	}
	due(time.Second, "")
	m.Plant(time.Second, "a", Record{Gen: 1, Step: 1, Stage: Quarter}, None)
	for step := uint16(1); m.Uses("a"); step++ { // until it is another's turn
		m.Plant(time.Second, "a", Record{Gen: 1, Step: step, Stage: Quarter}, None)
	}
	due(time.Second, "")
	for step := uint16(1); !m.Uses("a"); step++ { // until it is this one's turn
		m.Plant(time.Second, "a", Record{Gen: 1, Step: step, Stage: Quarter}, None)
	}
	due(2*time.Second, "a")
	m.Booked(2*time.Second, "b")
	due(2*time.Second, "a")
	m.Booked(2*time.Second, "a")
	due(20*time.Second, "")
}
