package failover

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{ProbeInterval: 100 * time.Millisecond, MaxProbeInterval: 2 * time.Second, MinGoodProbes: 2, ReturnSpread: 2 * time.Second, MaxReturnSpread: 16 * time.Second}
}

// runUntilReturn advances a lost Machine from one due time to the next until it returns to the daemon,
// which answers probes from the time up on.
func runUntilReturn(m *Machine, answersFrom time.Duration) (back time.Duration, probes int) {
	for {
		now := m.NextDue()
		probe, returned := m.Advance(now)
		if returned {
			return now, probes
		}
		if probe {
			probes++
			m.RecordProbe(now, now >= answersFrom)
		}
	}
}

// A lost daemon must be taken over from once, be probed at a bounded rate, and be used again
// only after it answers probes.
func TestReturnsAfterDaemonAnswers(t *testing.T) {
	m := New(testConfig(), rand.New(rand.NewPCG(1, 1)).Float64)
	if !m.UsesDaemon() || m.NextDue() != 0 {
		t.Fatal("a new machine does not use the daemon")
	}
	if !m.RecordLoss(time.Second) || m.RecordLoss(time.Second) || m.UsesDaemon() {
		t.Fatal("the first loss is not a take-over, or the second one is")
	}
	back, probes := runUntilReturn(m, 11*time.Second)
	if back < 11*time.Second || !m.UsesDaemon() {
		t.Errorf("returned at %v, want 11s or later", back)
	}
	if probes > 20 {
		t.Errorf("%d probes in 10 s, want at most 20", probes)
	}
}

// Guards against many callers returning at the same time after all of them lost their daemons
// for a moment. No tenth of the spread may contain more than a fifth of the returns.
func TestReturnsAreSpreadOut(t *testing.T) {
	const callers = 2000
	var returns []time.Duration
	for n := range uint64(callers) {
		m := New(testConfig(), rand.New(rand.NewPCG(n, 2)).Float64)
		m.RecordLoss(time.Second)
		back, _ := runUntilReturn(m, time.Second)
		returns = append(returns, back)
	}
	tenths := make(map[int]int)
	for _, b := range returns {
		tenths[int((b-time.Second)/(200*time.Millisecond))]++
	}
	for n, count := range tenths {
		if count > callers/5 {
			t.Errorf("%d of %d callers return in tenth %d of the spread", count, callers, n)
		}
	}
}

// The return to a daemon that is lost again and again must be delayed longer each time, up to a
// limit. After the daemon has been in use for an hour, the delay must be back at its initial value.
func TestFlappingDaemonDelaysReturn(t *testing.T) {
	m := New(testConfig(), func() float64 { return 0.999 })
	now := time.Second
	var delays []time.Duration
	for range 7 {
		m.RecordLoss(now)
		back, _ := runUntilReturn(m, now)
		delays = append(delays, back-now)
		now = back + time.Millisecond
	}
	for n := 1; n < 4; n++ {
		if delays[n] < delays[n-1]*3/2 {
			t.Errorf("returns after %v, want each of the first four to take 1.5 times as long as the one before", delays)
		}
	}
	if delays[6] > 17*time.Second {
		t.Errorf("returns after %v, want the last one within 17s", delays)
	}
	now += time.Hour
	m.RecordLoss(now)
	if back, _ := runUntilReturn(m, now); back-now > delays[0]+time.Second {
		t.Errorf("return after %v once an hour has passed, want the initial %v", back-now, delays[0])
	}
}

// A failed probe before a scheduled return must cancel the return.
func TestFailedProbeCancelsReturn(t *testing.T) {
	m := New(testConfig(), func() float64 { return 0.5 })
	m.RecordLoss(time.Second)
	m.RecordProbe(2*time.Second, true)
	m.RecordProbe(2*time.Second, true)
	scheduled := m.returnAt
	m.RecordProbe(2*time.Second, false)
	if _, back := m.Advance(scheduled); back || m.UsesDaemon() {
		t.Error("returned to the daemon after a failed probe")
	}
}

// For any order of events: the machine must not return before MinGoodProbes successful probes since the
// last loss or failed probe, and must have a next due time while the daemon is lost.
func TestNoReturnWithoutGoodProbesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig()
		m := New(c, func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		now, good := time.Second, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "after"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m.RecordLoss(now)
				good = 0
			case 1:
				if ok := rapid.Bool().Draw(t, "ok"); ok {
					good++
					m.RecordProbe(now, true)
				} else {
					good = 0
					m.RecordProbe(now, false)
				}
			default:
				if _, back := m.Advance(now); back && good < c.MinGoodProbes {
					t.Fatalf("returned after %d successful probes", good)
				} else if back {
					good = 0
				}
			}
			if !m.UsesDaemon() && m.NextDue() == 0 {
				t.Fatal("the daemon is lost and there is no due time")
			}
			if m.UsesDaemon() {
				good = 0
			}
			if m.spread > c.MaxReturnSpread || m.probeInterval > c.MaxProbeInterval {
				t.Fatalf("spread %v, wait %v", m.spread, m.probeInterval)
			}
		}
	})
}
