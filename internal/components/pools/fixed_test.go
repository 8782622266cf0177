package pools

import (
	"net"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/duration"
	"chalkrack/internal/features"
	"chalkrack/internal/generation"
	"chalkrack/internal/settings"
)

// A fixed server that comes up by its checks counts as just started only where the pool has a slow
// start of its own. Without one it is warm, while the platform's terms hold for one that operators call
// back.
func TestServerThatComesUpIsColdBySlowStartOnly(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const platformCold, now = time.Minute, 10 * time.Hour
	cfg := chalkrack.Config{Instances: 1, MaxAttempts: 1, ColdFor: platformCold, ColdFrom: 0.5, Classes: []chalkrack.Class{{Aim: time.Second}}}
	set, err := settings.New(cfg, []string{"x"}, []time.Duration{time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		slowStart time.Duration
		coldFor   time.Duration // by the pool's settings
		started   time.Duration // of a server that came up at now
	}{{0, platformCold, now - platformCold}, {5 * time.Second, 5 * time.Second, now}} {
		p := &features.Pool{Name: "p", SlowStart: duration.Duration(c.slowStart), ColdShare: 0.1, Servers: []features.PoolServer{{Name: "w", Address: ln.Addr().String()}}}
		s, err := newServerPool(&Config{Generation: &generation.Generation{Settings: set}, Features: &features.File{}}, p, 1)
		if err != nil {
			t.Fatal(err)
		}
		defer s.close()
		for _, ok := range []bool{false, true} {
			s.members.RecordResult(now, "w", ok)
			s.members.RecordResult(now, "w", ok)
		}
		if e := s.listMembers().Entries[0]; e.State != chalkrack.Serving || e.Started != c.started {
			t.Errorf("slow start %v: %+v, want a start at %v", c.slowStart, e, c.started)
		}
		if got := s.adapt(set).Config.ColdFor; got != c.coldFor {
			t.Errorf("slow start %v: servers are cold for %v, want %v", c.slowStart, got, c.coldFor)
		}
	}
}
