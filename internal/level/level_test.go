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

var three = []Class{{"status-check", 1}, {"id-register", 3}, {"activate", 10}}

func made(t testing.TB, change func(*Config)) *Machine {
	t.Helper()
	c := Default(three)
	if change != nil {
		change(&c)
	}
	m, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func late(x float64) Reading {
	r := Reading{Outcomes: 1000}
	r.Value[Late] = x
	return r
}

// Relations that would make levels swing, or cut what is dear before what is cheap, are
// refused by their field.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		field  string
		change func(*Config)
	}{
		{"trimmed.leave.late", func(c *Config) { c.At[Trimmed].Leave[Late] = 0.3 }},
		{"trimmed.leave.late", func(c *Config) { c.At[Trimmed].Leave[Late] = 0 }},
		{"essential.enter.full", func(c *Config) { c.At[Essential].Enter[Full], c.At[Essential].Leave[Full] = 0.4, 0.1 }},
		{"essential.cut.status-check", func(c *Config) { c.Acts[Essential].Cut[0] = 0.4 }},
		{"emergency.cut.activate", func(c *Config) {
			c.Acts[Essential].Cut[2], c.Acts[Emergency].Cut[2] = 0.6, 1
			c.Acts[Emergency].Cut[1] = 0.9
		}},
		{"trimmed.cut", func(c *Config) { c.Acts[Trimmed].Cut = nil }},
		{"essential.no_copies", func(c *Config) { c.Acts[Essential].NoCopies = false }},
		{"essential.no_copies", func(c *Config) { c.Acts[Essential].RetryWorth = 1 }},
		{"leave_after", func(c *Config) { c.EnterAfter = c.LeaveAfter }},
		{"proof", func(c *Config) { c.Proof = time.Second }},
		{"slope", func(c *Config) { c.Slope = 1 }},
		{"doublings", func(c *Config) { c.Doublings = 11 }},
		{"evidence", func(c *Config) { c.Evidence = 0 }},
		{"classes", func(c *Config) { c.Classes = nil }},
		{"most_wait", func(c *Config) { c.MostWait = 0 }},
	} {
		cfg := Default(three)
		c.change(&cfg)
		if err := cfg.Validate(); err == nil || !strings.Contains(err.Error(), "level: "+c.field+":") {
			t.Errorf("%s: %v", c.field, err)
		}
	}
}

// Up at once to the highest, down a step at a time after the dwell; a level entered again
// within the proof holds twice as long, and one that stays out forgets that.
func TestUpAndDown(t *testing.T) {
	m := made(t, func(c *Config) { c.LeaveAfter = 10 * time.Second })
	now := time.Duration(0)
	run := func(d time.Duration, r Reading) {
		for end := now + d; now < end; {
			now += 100 * time.Millisecond
			m.Tick(now, r)
		}
	}
	run(400*time.Millisecond, late(0.6))
	if m.Level() != Normal {
		t.Errorf("%v before the condition has held for long enough", m.Level())
	}
	run(200*time.Millisecond, late(0.6))
	if m.Level() != Essential {
		t.Errorf("%v, want essential at once", m.Level())
	}
	run(time.Minute, late(0.4)) // under where it is entered, not under where it is left
	if m.Level() != Essential {
		t.Errorf("%v between the thresholds", m.Level())
	}
	run(9900*time.Millisecond, late(0))
	if m.Level() != Essential {
		t.Errorf("%v before the dwell is over", m.Level())
	}
	run(200*time.Millisecond, late(0))
	if m.Level() != Trimmed {
		t.Errorf("%v, want one step down", m.Level())
	}
	run(time.Second, late(0.6))
	if m.Level() != Essential {
		t.Errorf("%v", m.Level())
	}
	run(19*time.Second, late(0))
	if m.Level() != Essential {
		t.Errorf("%v: entered again within the proof, it holds twice as long", m.Level())
	}
	run(2*time.Second, late(0))
	if m.Level() != Trimmed {
		t.Errorf("%v", m.Level())
	}
	run(10*time.Minute, late(0))
	if m.Level() != Normal {
		t.Errorf("%v", m.Level())
	}
	run(time.Second, late(0.6))
	run(10*time.Second, late(0))
	if m.Level() != Trimmed {
		t.Errorf("%v: what stayed out through its proof still holds longer", m.Level())
	}
}

// Too few outcomes, sensors that say nothing and no number move nothing up, and hold
// nobody down; a clock that jumps proves no calm.
func TestThin(t *testing.T) {
	m := made(t, func(c *Config) { c.LeaveAfter = 10 * time.Second })
	thin := late(1)
	thin.Outcomes = 19
	bad := late(math.NaN())
	away := late(1)
	away.Unknown[Late] = true
	for n, r := range []Reading{thin, bad, away} {
		for i := range 100 {
			m.Tick(time.Duration(n*100+i)*100*time.Millisecond, r)
		}
	}
	if m.Level() != Normal {
		t.Errorf("%v by readings that say nothing", m.Level())
	}
	now := 40 * time.Second
	for range 10 {
		now += 100 * time.Millisecond
		m.Tick(now, late(0.35))
	}
	m.Tick(now+time.Hour, late(0))
	if m.Level() != Trimmed {
		t.Errorf("%v: a clock that jumped an hour ended the dwell", m.Level())
	}
	m.Tick(now, late(0)) // and back
	for n := range 200 {
		m.Tick(now+time.Hour+time.Duration(n)*100*time.Millisecond, thin)
	}
	if m.Level() > Saving {
		t.Errorf("%v: a sidecar with no outcomes never leaves", m.Level())
	}
}

// A pin holds whatever the conditions say, which are told meanwhile, and ends by itself.
func TestPin(t *testing.T) {
	m := made(t, nil)
	m.Tick(time.Second, late(0))
	m.Pin(time.Second, Emergency, 11*time.Second)
	for now := time.Second; now < 10*time.Second; now += 100 * time.Millisecond {
		m.Tick(now, late(0.2))
	}
	if v := m.View(); v.Level != "emergency" || v.Free != "saving" || v.Pinned != "emergency" || v.PinLeft <= 0 {
		t.Errorf("%+v", v)
	}
	if !m.Turn(10*time.Second, 0) || m.Turn(10*time.Second, 2) {
		t.Error("a pinned level does not do what it says")
	}
	m.Tick(11*time.Second, late(0.2))
	if v := m.View(); v.Level != "saving" || v.Pinned != "" {
		t.Errorf("%+v", v)
	}
	m.Pin(12*time.Second, Essential, time.Minute)
	m.Pin(13*time.Second, Essential, 0)
	if m.Level() != Saving {
		t.Errorf("%v after the pin was ended", m.Level())
	}
}

// Shares are exact, and what is dearest is never turned away.
func TestShares(t *testing.T) {
	for l, want := range map[Level][3]int{Normal: {0, 0, 0}, Saving: {0, 0, 0}, Trimmed: {500, 0, 0}, Essential: {1000, 500, 0}, Emergency: {1000, 1000, 0}} {
		m := made(t, nil)
		m.Pin(0, l, time.Hour)
		var got [3]int
		for n := range 3000 {
			if m.Turn(time.Duration(n)*time.Millisecond, n%3) {
				got[n%3]++
			}
		}
		if got != want {
			t.Errorf("%v turns away %v of 1000 each, want %v", l, got, want)
		}
		if m.Copies() != (l == Normal) || m.Probes() != (l == Normal) || !m.Retries(2) || m.Retries(0) != (l == Normal) {
			t.Errorf("%v: %v %v %v %v", l, m.Copies(), m.Probes(), m.Retries(0), m.Retries(2))
		}
	}
}

// Whatever the load hovers at, by whatever period, and whatever noise is on it: the level
// changes no more often than is stated.
func TestHovers(t *testing.T) {
	cfg := Default(three)
	bound := cfg.ChangesPerHour()
	worst := 0
	for _, sensor := range []Sensor{Late, Held} {
		for l := Saving; l < levels; l++ {
			for n, period := range []time.Duration{0, time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 3 * time.Minute, 10 * time.Minute} {
				if racing.On && n%3 != 0 {
					continue
				}
				for _, swing := range []float64{0.05, 0.3, 1} {
					rng := rand.New(rand.NewPCG(uint64(period), uint64(l)))
					m := made(t, nil)
					at := cfg.At[l].Enter[sensor]
					for now := time.Duration(0); now < time.Hour; now += 100 * time.Millisecond {
						x := at * (1 + swing*(rng.Float64()-0.5)) // noise alone
						if period > 0 {
							x = at * (1 + swing*math.Sin(2*math.Pi*float64(now)/float64(period)))
						}
						r := Reading{Outcomes: 1000}
						r.Value[sensor] = x
						m.Tick(now, r)
					}
					worst = max(worst, m.count)
					if m.count > bound {
						t.Errorf("%v at %v, period %v, swing %v: %d changes in an hour, %d at the most", sensor, l, period, swing, m.count, bound)
					}
				}
			}
		}
	}
	t.Logf("%d changes in an hour at the worst, %d stated", worst, bound)
}

// Spikes that are single move nothing; a sensor that is stuck holds a level and does not
// swing it.
func TestSpikes(t *testing.T) {
	m := made(t, nil)
	for n := range 36000 {
		x := 0.0
		if n%50 == 0 {
			x = 1
		}
		m.Tick(time.Duration(n)*100*time.Millisecond, late(x))
	}
	if m.count != 0 {
		t.Errorf("single spikes made %d changes", m.count)
	}
	for n := range 36000 {
		m.Tick(time.Hour+time.Duration(n)*100*time.Millisecond, late(0.55))
	}
	if m.count != 1 || m.Level() != Essential {
		t.Errorf("a stuck sensor made %d changes, to %v", m.count, m.Level())
	}
}

// For any readings at all: levels stay within their range, each step out is one step and
// comes after its dwell, and an hour has no more changes than are stated.
func TestAnyReadings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Default(three)
		m, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		now, was, since := time.Duration(0), Normal, time.Duration(0)
		for now < time.Hour {
			x, d := rapid.Float64Range(0, 1).Draw(t, "late"), time.Duration(rapid.IntRange(1, 900).Draw(t, "for"))*100*time.Millisecond
			for end := now + d; now < end && now < time.Hour; now += 100 * time.Millisecond {
				l := m.Tick(now, late(x))
				if l < was && (l != was-1 || now-since < cfg.LeaveAfter) {
					t.Fatalf("from %v to %v after %v", was, l, now-since)
				}
				if l != was {
					was, since = l, now
				}
			}
		}
		if m.count > cfg.ChangesPerHour() {
			t.Fatalf("%d changes in an hour, %d at the most", m.count, cfg.ChangesPerHour())
		}
	})
}

// On the way out what is let in grows by the slope at the most, however many come and
// however they come together.
func TestRamp(t *testing.T) {
	for _, inStep := range []bool{false, true} {
		m := made(t, nil)
		m.Pin(0, Emergency, 20*time.Second)
		in := make([]int, 120)
		away := make([]int, 120)
		for ms := range 120000 {
			now := time.Duration(ms) * time.Millisecond
			if ms%100 == 0 {
				m.Tick(now, late(0))
			}
			n := 0
			switch {
			case !inStep && ms%5 == 0: // 200 a second
				n = 1
			case inStep && ms%1000 == 0: // the same at once
				n = 200
			}
			for range n {
				if m.Turn(now, 0) {
					away[ms/1000]++
				} else {
					in[ms/1000]++
				}
			}
		}
		full := 0
		for s := 21; s < 120; s++ {
			before := max(float64(in[s-1]), 200*rampFrom)
			if float64(in[s]) > 1.3*before+2 && !inStep {
				t.Errorf("in step %v: second %d lets %d in after %d", inStep, s, in[s], in[s-1])
			}
			if in[s] >= 190 && full == 0 {
				full = s
			}
		}
		if in[19] != 0 || in[20] > 30 || !inStep && (full == 0 || full > 60) {
			t.Errorf("in step %v: %v let in", inStep, in)
		}
		if inStep { // a bucket of a quarter second bounds what comes at once
			for s := 20; s < 100; s++ {
				if limit := 200 * rampFrom * math.Pow(1.15, float64(s-19)) * burst; float64(in[s]) > max(2, limit)+1 && limit < 50 {
					t.Errorf("second %d lets %d in at once, %.0f at the most", s, in[s], limit)
				}
			}
		}
	}
}

// Clients that wait as they are told come back spread over the ramp, none later than the
// most they may be told.
func TestWait(t *testing.T) {
	m := made(t, func(c *Config) { c.MostWait, c.LeaveAfter = time.Minute, 10*time.Second })
	if w := m.Wait(0, 0.5); w != 0 {
		t.Errorf("%v at normal", w)
	}
	m.Pin(0, Emergency, time.Hour)
	least, most := time.Hour, time.Duration(0)
	for n := range 100 {
		w := m.Wait(0, float64(n)/100)
		least, most = min(least, w), max(most, w)
	}
	if least > 12*time.Second || most < 2*least || most > time.Minute {
		t.Errorf("from %v to %v", least, most)
	}
	if w := m.Wait(2, 0.5); w != 0 {
		t.Errorf("%v for a class that is not cut", w)
	}
}

// Calm that is broken off begins anew: two halves of a dwell are none.
func TestBrokenCalm(t *testing.T) {
	m := made(t, func(c *Config) { c.LeaveAfter = 10 * time.Second })
	now := time.Duration(0)
	run := func(d time.Duration, x float64) {
		for end := now + d; now < end; {
			now += 100 * time.Millisecond
			m.Tick(now, late(x))
		}
	}
	run(time.Second, 0.35)
	for range 5 {
		run(9*time.Second, 0)
		run(200*time.Millisecond, 0.2)
	}
	if m.Level() != Trimmed {
		t.Errorf("%v", m.Level())
	}
}
