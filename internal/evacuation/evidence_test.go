package evacuation

import (
	"testing"
	"time"
)

// Attempts that have waited long for a zone that fails must be reported as hopeless once, but not
// those to other zones or to a zone that an operator ordered the fleet to leave.
func TestAttemptsToFailingZoneAreAbandoned(t *testing.T) {
	a, _ := pair(t)
	at := sec
	expected := map[uint64]bool{a.RecordSend(at, "s1"): true, a.RecordSend(at, "s2"): true}
	elsewhere := a.RecordSend(at, "s3")
	a.RecordEnd(at+20*time.Millisecond, a.RecordSend(at+10*time.Millisecond, "s4"), ResultGood, false)
	var reported []uint64
	for at < 2*sec {
		at += 40 * time.Millisecond
		reported = append(reported, a.Tick(at).HopelessAttempts...)
		if at == sec+200*time.Millisecond && len(reported) > 0 {
			t.Errorf("attempts reported after 200 ms: %v, want none", reported)
		}
	}
	for _, ticket := range reported {
		if !expected[ticket] {
			t.Errorf("reported attempt %d (%d went to another zone), want one of %v", ticket, elsewhere, reported)
		}
	}
	if len(reported) != 2 {
		t.Errorf("reported attempts %v, want 2", reported)
	}
	_, b := pair(t)
	b.RecordSend(sec, "s3")
	if err := b.SubmitOrder(sec, "b", "leave", "x", "y"); err != nil {
		t.Fatal(err)
	}
	if lost := b.Tick(sec + 300*time.Millisecond).HopelessAttempts; len(lost) > 0 {
		t.Errorf("zone left by order: reported attempts %v, want none", lost)
	}
}

// Answers that take ten times as long as in another zone must count as failures.
func TestSlowZoneFails(t *testing.T) {
	a, _ := pair(t)
	now := 2 * sec
	for n := range 40 {
		for name, took := range map[string]time.Duration{"s1": 600 * time.Millisecond, "s2": 600 * time.Millisecond, "s3": 60 * time.Millisecond, "s4": 60 * time.Millisecond} {
			if n < 20 {
				took = 60 * time.Millisecond
			}
			ticket := a.RecordSend(now, name)
			a.RecordEnd(now+took, ticket, ResultGood, false)
		}
		now += 100 * time.Millisecond
		a.Tick(now)
	}
	a.Tick(now + 100*time.Millisecond)
	if v := a.zones[0].vote; v != VoteFailing {
		t.Errorf("vote on zone a is %v, want failing", v)
	}
	if v := a.zones[1].vote; v != VoteFine {
		t.Errorf("vote on zone b is %v, want fine", v)
	}
}

// Each sidecar chosen to send in a return stage must get the zone as due until it has sent there in
// this stage, except for calls that must not run twice.
func TestZoneIsDueUntilFirstSend(t *testing.T) {
	cfg := Default()
	cfg.Peers = 2
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	m.SetServers(0, []Server{{Name: "s1", Zone: "a"}, {Name: "s2", Zone: "b"}})
	due := func(now time.Duration, want string) {
		t.Helper()
		if got := m.PreferredZone(now, true); got != want || m.PreferredZone(now, false) != "" {
			t.Errorf("at %v: zone %q is due, want %q; for a call that must not run twice: %q, want none", now, got, want, m.PreferredZone(now, false))
		}
	}
	due(time.Second, "")
	m.SetState(time.Second, "a", Record{Gen: 1, Step: 1, Stage: StageOneIn4}, VoteUnknown)
	for step := uint16(1); m.UsesZone("a"); step++ { // until another sidecar is chosen
		m.SetState(time.Second, "a", Record{Gen: 1, Step: step, Stage: StageOneIn4}, VoteUnknown)
	}
	due(time.Second, "")
	for step := uint16(1); !m.UsesZone("a"); step++ { // until this sidecar is chosen
		m.SetState(time.Second, "a", Record{Gen: 1, Step: step, Stage: StageOneIn4}, VoteUnknown)
	}
	due(2*time.Second, "a")
	m.TakeToken(2*time.Second, "b")
	due(2*time.Second, "a")
	m.TakeToken(2*time.Second, "a")
	due(20*time.Second, "")
}
