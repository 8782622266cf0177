package proxy

import (
	"testing"
	"time"

	"chalkrack/internal/duration"
)

// A server that misses so many probes in a row is out; one that answers is back, and
// counts as started then, so that it is warmed.
func TestHealth(t *testing.T) {
	h := newHealth(3)
	for n, c := range []struct {
		ok, changed, down bool
	}{
		{true, false, false}, {false, false, false}, {false, false, false}, {true, false, false},
		{false, false, false}, {false, false, false}, {false, true, true}, {false, false, true},
		{true, true, false}, {true, false, false},
	} {
		changed := h.probed("r1", time.Duration(n)*time.Second, c.ok)
		if down, _ := h.of("r1"); changed != c.changed || down != c.down {
			t.Errorf("probe %d: changed %v, down %v", n, changed, down)
		}
	}
	if _, upAt := h.of("r1"); upAt != 8*time.Second {
		t.Errorf("up since %v", upAt)
	}
	if down, upAt := h.of("r2"); down || upAt != 0 {
		t.Error("one that was never probed is judged")
	}
}

// What comes back is given little while it is cold: the module knows when it came.
func TestWarm(t *testing.T) {
	r := start(t, 2, nil)
	r.p.Close()
	sec := r.p.cfg.Radius
	sec.ProbeInterval, sec.MaxProbeMisses = duration.Duration(100*time.Millisecond), 1
	platform := base()
	platform.ColdFrom, platform.ColdFor, platform.OverloadFactor, platform.OverloadFor = 0.01, 10*time.Minute, 1.5, time.Second
	p, err := New(Config{Radius: sec, Base: platform, Grace: time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	r.p = p
	is := func(want bool) func() bool {
		return func() bool {
			pl := p.sides[0].pools[""]
			pl.mu.Lock()
			defer pl.mu.Unlock()
			down, _ := pl.health.of("r1")
			return down == want
		}
	}
	r.servers[0].Kill()
	settle(t, "its end", is(true))
	if err := r.servers[0].Restart(); err != nil {
		t.Fatal(err)
	}
	settle(t, "its return", is(false))
	const calls = 200
	for n := range calls {
		r.client(false).Do(access(string(rune('a'+n%26)) + time.Duration(n).String()))
	}
	if n := len(r.servers[0].Names()); n > calls/5 {
		t.Errorf("a cold server got %d of %d calls", n, calls)
	}
}
