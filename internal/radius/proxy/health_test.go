package proxy

import (
	"testing"
	"time"

	"chalkrack/internal/duration"
)

// A server is down after three unanswered probes in a row and up again after one answer. It then
// counts as started at that time, so that it is warmed up. Guards against taking a server out of
// use for misses that are not in a row.
func TestServerDownAfterMissedProbes(t *testing.T) {
	h := newHealth(3)
	for n, step := range []struct {
		ok, changed, down bool
	}{
		{true, false, false}, {false, false, false}, {false, false, false}, {true, false, false},
		{false, false, false}, {false, false, false}, {false, true, true}, {false, false, true},
		{true, true, false}, {true, false, false},
	} {
		changed := h.recordProbe("r1", time.Duration(n)*time.Second, step.ok)
		if down, _ := h.status("r1"); changed != step.changed || down != step.down {
			t.Errorf("probe %d: changed %v, down %v", n, changed, down)
		}
	}
	if _, upSince := h.status("r1"); upSince != 8*time.Second {
		t.Errorf("up since %v, want 8s", upSince)
	}
	if down, upSince := h.status("r2"); down || upSince != 0 {
		t.Error("a server that was never probed is down or has a time of return")
	}
}

// A server that comes back after missed probes gets few calls while it is cold. Guards against
// not telling the decision module when the server came back.
func TestReturningServerIsCold(t *testing.T) {
	fixture := startProxy(t, 2, nil)
	fixture.proxy.Close()
	section := fixture.proxy.cfg.Radius
	section.ProbeInterval, section.MaxProbeMisses = duration.Duration(100*time.Millisecond), 1
	platform := basePlatform()
	platform.ColdFrom, platform.ColdFor, platform.OverloadFactor, platform.OverloadFor = 0.01, 10*time.Minute, 1.5, time.Second
	restarted, err := New(Config{Radius: section, Platform: platform, DrainGrace: time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	fixture.proxy = restarted
	isDown := func(want bool) func() bool {
		return func() bool {
			pool := restarted.services[0].pools[""]
			pool.mu.Lock()
			defer pool.mu.Unlock()
			down, _ := pool.health.status("r1")
			return down == want
		}
	}
	fixture.servers[0].Kill()
	waitUntil(t, "the probes do not notice that the server was killed", isDown(true))
	if err := fixture.servers[0].Restart(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the probes do not notice that the server came back", isDown(false))
	const calls = 200
	for n := range calls {
		fixture.newClient(false).Do(accessRequest(string(rune('a'+n%26)) + time.Duration(n).String()))
	}
	if n := len(fixture.servers[0].ReceivedNames()); n > calls/5 {
		t.Errorf("a cold server got %d of %d calls", n, calls)
	}
}
