package level

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack/internal/racing"
)

var threeClasses = []Class{{"status-check", 1}, {"id-register", 3}, {"activate", 10}}

func newTestMachine(t testing.TB, change func(*Config)) *Machine {
	t.Helper()
	c := Default(threeClasses)
	if change != nil {
		change(&c)
	}
	m, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func lateReading(x float64) Reading {
	r := Reading{Outcomes: 1000}
	r.Values[Late] = x
	return r
}

// Settings that would make levels oscillate, or shed classes of more worth before classes of
// less worth, are rejected with the name of the field.
func TestValidateNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		field  string
		change func(*Config)
	}{
		{"trimmed.leave.late", func(c *Config) { c.Thresholds[Trimmed].Leave[Late] = 0.3 }},
		{"trimmed.leave.late", func(c *Config) { c.Thresholds[Trimmed].Leave[Late] = 0 }},
		{"essential.enter.full", func(c *Config) { c.Thresholds[Essential].Enter[Full], c.Thresholds[Essential].Leave[Full] = 0.4, 0.1 }},
		{"essential.cut.status-check", func(c *Config) { c.Measures[Essential].ShedShare[0] = 0.4 }},
		{"emergency.cut.activate", func(c *Config) {
			c.Measures[Essential].ShedShare[2], c.Measures[Emergency].ShedShare[2] = 0.6, 1
			c.Measures[Emergency].ShedShare[1] = 0.9
		}},
		{"trimmed.cut", func(c *Config) { c.Measures[Trimmed].ShedShare = nil }},
		{"essential.no_copies", func(c *Config) { c.Measures[Essential].NoCopies = false }},
		{"essential.no_copies", func(c *Config) { c.Measures[Essential].MinRetryWorth = 1 }},
		{"leave_after", func(c *Config) { c.EnterAfter = c.LeaveAfter }},
		{"proof", func(c *Config) { c.ProofTime = time.Second }},
		{"slope", func(c *Config) { c.RampGrowth = 1 }},
		{"doublings", func(c *Config) { c.MaxDoublings = 11 }},
		{"evidence", func(c *Config) { c.MinOutcomes = 0 }},
		{"classes", func(c *Config) { c.Classes = nil }},
		{"most_wait", func(c *Config) { c.MaxWait = 0 }},
	} {
		cfg := Default(threeClasses)
		c.change(&cfg)
		if err := cfg.Validate(); err == nil || !strings.Contains(err.Error(), "level: "+c.field+":") {
			t.Errorf("setting %s: got error %v, want one that names it", c.field, err)
		}
	}
}

// Levels go up at once to the highest whose condition holds, and down one step at a time
// after the dwell time. A level entered again within the proof time dwells twice as long; one
// that stays left for the proof time returns to the shorter dwell time.
func TestEntersAtOnceAndLeavesAfterDwellTime(t *testing.T) {
	m := newTestMachine(t, func(c *Config) { c.LeaveAfter = 10 * time.Second })
	now := time.Duration(0)
	run := func(d time.Duration, r Reading) {
		for end := now + d; now < end; {
			now += 100 * time.Millisecond
			m.Tick(now, r)
		}
	}
	run(400*time.Millisecond, lateReading(0.6))
	if m.Level() != Normal {
		t.Errorf("level %v before the condition held for EnterAfter, want normal", m.Level())
	}
	run(200*time.Millisecond, lateReading(0.6))
	if m.Level() != Essential {
		t.Errorf("level %v after EnterAfter, want essential", m.Level())
	}
	run(time.Minute, lateReading(0.4)) // below the Enter threshold, above the Leave threshold
	if m.Level() != Essential {
		t.Errorf("level %v between the thresholds, want essential", m.Level())
	}
	run(9900*time.Millisecond, lateReading(0))
	if m.Level() != Essential {
		t.Errorf("level %v before the end of the dwell time, want essential", m.Level())
	}
	run(200*time.Millisecond, lateReading(0))
	if m.Level() != Trimmed {
		t.Errorf("level %v after the dwell time, want trimmed, one step down", m.Level())
	}
	run(time.Second, lateReading(0.6))
	if m.Level() != Essential {
		t.Errorf("level %v, want essential again", m.Level())
	}
	run(19*time.Second, lateReading(0))
	if m.Level() != Essential {
		t.Errorf("level %v, want essential: entered again within the proof time, it must dwell twice as long", m.Level())
	}
	run(2*time.Second, lateReading(0))
	if m.Level() != Trimmed {
		t.Errorf("level %v after the doubled dwell time, want trimmed", m.Level())
	}
	run(10*time.Minute, lateReading(0))
	if m.Level() != Normal {
		t.Errorf("level %v after ten calm minutes, want normal", m.Level())
	}
	run(time.Second, lateReading(0.6))
	run(10*time.Second, lateReading(0))
	if m.Level() != Trimmed {
		t.Errorf("level %v, want trimmed: after a whole proof time the dwell time must not be doubled", m.Level())
	}
}

// Readings with too few outcomes, with unknown sensors or with NaN neither raise the level
// nor keep it raised; a clock that jumps does not complete a dwell time.
func TestUnusableReadingsDoNotChangeLevel(t *testing.T) {
	m := newTestMachine(t, func(c *Config) { c.LeaveAfter = 10 * time.Second })
	thin := lateReading(1)
	thin.Outcomes = 19
	bad := lateReading(math.NaN())
	away := lateReading(1)
	away.Unknown[Late] = true
	for n, r := range []Reading{thin, bad, away} {
		for i := range 100 {
			m.Tick(time.Duration(n*100+i)*100*time.Millisecond, r)
		}
	}
	if m.Level() != Normal {
		t.Errorf("level %v after unusable readings, want normal", m.Level())
	}
	now := 40 * time.Second
	for range 10 {
		now += 100 * time.Millisecond
		m.Tick(now, lateReading(0.35))
	}
	m.Tick(now+time.Hour, lateReading(0))
	if m.Level() != Trimmed {
		t.Errorf("level %v, want trimmed: a clock jump of an hour must not end the dwell time", m.Level())
	}
	m.Tick(now, lateReading(0)) // the clock jumps back
	for n := range 200 {
		m.Tick(now+time.Hour+time.Duration(n)*100*time.Millisecond, thin)
	}
	if m.Level() > Saving {
		t.Errorf("level %v: a sidecar with no outcomes must be able to leave its level", m.Level())
	}
}

// A pinned level holds regardless of the conditions, which View still reports, and expires
// by itself.
func TestPinOverridesConditionsUntilExpiry(t *testing.T) {
	m := newTestMachine(t, nil)
	m.Tick(time.Second, lateReading(0))
	m.Pin(time.Second, Emergency, 11*time.Second)
	for now := time.Second; now < 10*time.Second; now += 100 * time.Millisecond {
		m.Tick(now, lateReading(0.2))
	}
	if v := m.View(); v.Level != "emergency" || v.Free != "saving" || v.Pinned != "emergency" || v.PinLeft <= 0 {
		t.Errorf("view with a pin: %+v, want emergency, and saving by the conditions", v)
	}
	if !m.ShouldRefuse(10*time.Second, 0) || m.ShouldRefuse(10*time.Second, 2) {
		t.Error("a pinned emergency must shed class 0 and admit class 2")
	}
	m.Tick(11*time.Second, lateReading(0.2))
	if v := m.View(); v.Level != "saving" || v.Pinned != "" {
		t.Errorf("view after the pin expired: %+v, want saving, not pinned", v)
	}
	m.Pin(12*time.Second, Essential, time.Minute)
	m.Pin(13*time.Second, Essential, 0)
	if m.Level() != Saving {
		t.Errorf("level %v after the pin was removed, want saving", m.Level())
	}
}

// Shed shares are exact, and the class of most worth is never shed.
func TestShedSharesAreExact(t *testing.T) {
	for l, want := range map[Level][3]int{Normal: {0, 0, 0}, Saving: {0, 0, 0}, Trimmed: {500, 0, 0}, Essential: {1000, 500, 0}, Emergency: {1000, 1000, 0}} {
		m := newTestMachine(t, nil)
		m.Pin(0, l, time.Hour)
		var got [3]int
		for n := range 3000 {
			if m.ShouldRefuse(time.Duration(n)*time.Millisecond, n%3) {
				got[n%3]++
			}
		}
		if got != want {
			t.Errorf("level %v sheds %v of 1000 calls per class, want %v", l, got, want)
		}
		if m.AllowsCopies() != (l == Normal) || m.AllowsProbes() != (l == Normal) || !m.AllowsRetries(2) || m.AllowsRetries(0) != (l == Normal) {
			t.Errorf("level %v: copies %v, probes %v, retries of class 0 %v, of class 2 %v", l, m.AllowsCopies(), m.AllowsProbes(), m.AllowsRetries(0), m.AllowsRetries(2))
		}
	}
}

// A sensor that oscillates around a threshold, with any period, amplitude or noise, causes no
// more level changes than MaxChangesPerHour states.
func TestChangesPerHourBoundNearThreshold(t *testing.T) {
	cfg := Default(threeClasses)
	bound := cfg.MaxChangesPerHour()
	worst := 0
	for _, sensor := range []Sensor{Late, Held} {
		for l := Saving; l < levelCount; l++ {
			for n, period := range []time.Duration{0, time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 3 * time.Minute, 10 * time.Minute} {
				if racing.Enabled && n%3 != 0 {
					continue
				}
				for _, amplitude := range []float64{0.05, 0.3, 1} {
					rng := rand.New(rand.NewPCG(uint64(period), uint64(l)))
					m := newTestMachine(t, nil)
					threshold := cfg.Thresholds[l].Enter[sensor]
					for now := time.Duration(0); now < time.Hour; now += 100 * time.Millisecond {
						x := threshold * (1 + amplitude*(rng.Float64()-0.5)) // only noise
						if period > 0 {
							x = threshold * (1 + amplitude*math.Sin(2*math.Pi*float64(now)/float64(period)))
						}
						r := Reading{Outcomes: 1000}
						r.Values[sensor] = x
						m.Tick(now, r)
					}
					worst = max(worst, m.changeCount)
					if m.changeCount > bound {
						t.Errorf("sensor %v around the threshold of %v, period %v, amplitude %v: %d changes in an hour, want at most %d", sensor, l, period, amplitude, m.changeCount, bound)
					}
				}
			}
		}
	}
	t.Logf("at most %d changes in an hour, bound %d", worst, bound)
}

// Single spikes do not change the level; a sensor that is stuck holds one level without
// oscillation.
func TestSpikesAndStuckSensor(t *testing.T) {
	m := newTestMachine(t, nil)
	for n := range 36000 {
		x := 0.0
		if n%50 == 0 {
			x = 1
		}
		m.Tick(time.Duration(n)*100*time.Millisecond, lateReading(x))
	}
	if m.changeCount != 0 {
		t.Errorf("single spikes caused %d level changes, want none", m.changeCount)
	}
	for n := range 36000 {
		m.Tick(time.Hour+time.Duration(n)*100*time.Millisecond, lateReading(0.55))
	}
	if m.changeCount != 1 || m.Level() != Essential {
		t.Errorf("a stuck sensor caused %d level changes, to %v, want 1, to essential", m.changeCount, m.Level())
	}
}

// For any readings, each move down is a single step no sooner than LeaveAfter, and an hour
// has no more changes than MaxChangesPerHour states.
func TestChangesPerHourBoundForAnyReadings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Default(threeClasses)
		m, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		now, previous, since := time.Duration(0), Normal, time.Duration(0)
		for now < time.Hour {
			x, d := rapid.Float64Range(0, 1).Draw(t, "late"), time.Duration(rapid.IntRange(1, 900).Draw(t, "for"))*100*time.Millisecond
			for end := now + d; now < end && now < time.Hour; now += 100 * time.Millisecond {
				l := m.Tick(now, lateReading(x))
				if l < previous && (l != previous-1 || now-since < cfg.LeaveAfter) {
					t.Fatalf("level went from %v to %v after %v, want one step, no sooner than LeaveAfter", previous, l, now-since)
				}
				if l != previous {
					previous, since = l, now
				}
			}
		}
		if m.changeCount > cfg.MaxChangesPerHour() {
			t.Fatalf("%d level changes in an hour, want at most %d", m.changeCount, cfg.MaxChangesPerHour())
		}
	})
}

// After a level is left, the admitted arrivals grow by at most the slope per second, whether
// the clients arrive evenly or all at once.
func TestRampBoundsAdmittedArrivals(t *testing.T) {
	for _, inStep := range []bool{false, true} {
		m := newTestMachine(t, nil)
		m.Pin(0, Emergency, 20*time.Second)
		admitted := make([]int, 120)
		shed := make([]int, 120)
		for ms := range 120000 {
			now := time.Duration(ms) * time.Millisecond
			if ms%100 == 0 {
				m.Tick(now, lateReading(0))
			}
			n := 0
			switch {
			case !inStep && ms%5 == 0: // 200 per second
				n = 1
			case inStep && ms%1000 == 0: // the same rate in bursts
				n = 200
			}
			for range n {
				if m.ShouldRefuse(now, 0) {
					shed[ms/1000]++
				} else {
					admitted[ms/1000]++
				}
			}
		}
		full := 0
		for s := 21; s < 120; s++ {
			before := max(float64(admitted[s-1]), 200*minRampShare)
			if float64(admitted[s]) > 1.3*before+2 && !inStep {
				t.Errorf("in step %v: second %d admits %d after %d, want a factor of at most 1.3", inStep, s, admitted[s], admitted[s-1])
			}
			if admitted[s] >= 190 && full == 0 {
				full = s
			}
		}
		if admitted[19] != 0 || admitted[20] > 30 || !inStep && (full == 0 || full > 60) {
			t.Errorf("in step %v: admitted by second: %v, want none in second 19, at most 30 in second 20, and all by second 60", inStep, admitted)
		}
		if inStep { // a token bucket of a quarter second bounds a burst
			for s := 20; s < 100; s++ {
				if limit := 200 * minRampShare * math.Pow(1.15, float64(s-19)) * rampBurstSeconds; float64(admitted[s]) > max(2, limit)+1 && limit < 50 {
					t.Errorf("second %d admits a burst of %d, want at most %.0f", s, admitted[s], limit)
				}
			}
		}
	}
}

// Clients that honour the wait return spread over the ramp, and none is told to wait longer
// than the maximum.
func TestWaitsAreSpreadOverRamp(t *testing.T) {
	m := newTestMachine(t, func(c *Config) { c.MaxWait, c.LeaveAfter = time.Minute, 10*time.Second })
	if w := m.MinRetryAfter(0, 0.5); w != 0 {
		t.Errorf("wait %v at normal, want 0", w)
	}
	m.Pin(0, Emergency, time.Hour)
	shortest, longest := time.Hour, time.Duration(0)
	for n := range 100 {
		w := m.MinRetryAfter(0, float64(n)/100)
		shortest, longest = min(shortest, w), max(longest, w)
	}
	if shortest > 12*time.Second || longest < 2*shortest || longest > time.Minute {
		t.Errorf("waits from %v to %v, want at most 12s for the shortest, twice that or more and at most 1m for the longest", shortest, longest)
	}
	if w := m.MinRetryAfter(2, 0.5); w != 0 {
		t.Errorf("wait %v for a class that is not shed, want 0", w)
	}
}

// An interrupted dwell time starts again: two halves do not add up to a whole one.
func TestInterruptedDwellTimeRestarts(t *testing.T) {
	m := newTestMachine(t, func(c *Config) { c.LeaveAfter = 10 * time.Second })
	now := time.Duration(0)
	run := func(d time.Duration, x float64) {
		for end := now + d; now < end; {
			now += 100 * time.Millisecond
			m.Tick(now, lateReading(x))
		}
	}
	run(time.Second, 0.35)
	for range 5 {
		run(9*time.Second, 0)
		run(200*time.Millisecond, 0.2)
	}
	if m.Level() != Trimmed {
		t.Errorf("level %v after interrupted dwell times, want trimmed", m.Level())
	}
}
