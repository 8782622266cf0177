package bake

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func config() Config {
	return Config{Classes: 3, Share: 0.5, FalseUndo: 0.001, Notice: 0.05, Bake: time.Minute}
}

func judge(t testing.TB, change func(*Config)) *Judge {
	t.Helper()
	c := config()
	if change != nil {
		change(&c)
	}
	j, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// season is how one kind of change and its time go.
type season struct {
	name  string
	calls int
	// bad is the chance of a bad call of the old generation at a time within 0 and 1.
	bad func(at float64) float64
	// worse is what the new generation adds in class 0.
	worse float64
}

func steady(p float64) func(float64) float64 { return func(float64) float64 { return p } }

// burst is trouble at the servers for a third of the time, which begins at the switch.
func burst(p float64) func(float64) float64 {
	return func(at float64) float64 {
		if at < 0.33 {
			return p
		}
		return 0.005
	}
}

// play is one change: its verdict, and the calls of the new generation by then.
func play(t testing.TB, s season, seed uint64, share float64) Ruling {
	rng := rand.New(rand.NewPCG(seed, 6))
	j := judge(t, func(c *Config) { c.Share = share })
	for n := range s.calls {
		at := float64(n) / float64(s.calls)
		class := n % 3
		new := rng.Float64() < share
		p := s.bad(at)
		if new && class == 0 {
			p = 1 - (1-p)*(1-s.worse)
		}
		if rng.Float64() < p {
			j.Bad(class, Kind(rng.IntN(int(kinds))), new)
		} else {
			j.Good(new)
		}
		if n%50 == 0 {
			if r := j.Rule(time.Duration(at * float64(time.Minute))); r.Verdict != Watching {
				return r
			}
		}
	}
	return j.Rule(time.Minute)
}

// 10,000 changes, good and faulty, under steady load, under trouble at the servers and
// with thin traffic. Good ones are undone at most as often as FalseUndo says, with room
// for chance; of the faulty none that spoils a fifth of a class is kept.
func TestTenThousandChanges(t *testing.T) {
	const each = 1000
	var table strings.Builder
	fmt.Fprintf(&table, "%-46s %8s %6s %6s %6s %14s\n", "change", "calls", "kept", "undone", "thin", "calls to undo")
	for _, s := range []season{
		{"good, nothing fails", 6000, steady(0), 0},
		{"good, 1 % fail", 6000, steady(0.01), 0},
		{"good, 30 % fail", 6000, steady(0.3), 0},
		{"good, all fail for a third of the time", 6000, burst(1), 0},
		{"good, thin traffic", 200, steady(0.05), 0},
		{"faulty: 20 % of a class", 6000, steady(0.01), 0.2},
		{"faulty: all of a class, 30 % fail anyway", 6000, steady(0.3), 1},
		{"faulty: 20 % of a class, servers in trouble", 6000, burst(0.5), 0.2},
		{"faulty: 5 % of a class", 6000, steady(0.01), 0.05},
		{"faulty: 20 % of a class, thin traffic", 200, steady(0.01), 0.2},
	} {
		kept, undone, thin := 0, 0, 0
		var took []int
		for seed := range each {
			r := play(t, s, uint64(seed), 0.5)
			switch {
			case r.Thin:
				thin++
			case r.Verdict == Keep:
				kept++
			case r.Verdict == Undo:
				undone++
				took = append(took, r.Calls)
			default:
				t.Fatalf("%s, seed %d: %v", s.name, seed, r)
			}
		}
		text := "-"
		if len(took) > 0 {
			slices.Sort(took)
			text = fmt.Sprintf("%d, %d", took[len(took)/2], took[len(took)*95/100])
		}
		fmt.Fprintf(&table, "%-46s %8d %6d %6d %6d %14s\n", s.name, s.calls, kept, undone, thin, text)
		switch {
		// 1 of 1,000 is expected at most; 6 or more would come with a chance below 0.001.
		case s.worse == 0 && undone > 5:
			t.Errorf("%s: %d good changes undone", s.name, undone)
		case s.worse >= 0.2 && s.calls >= 6000 && kept > 0:
			t.Errorf("%s: %d faulty changes kept", s.name, kept)
		case s.calls < 1000 && s.worse == 0 && thin < each-5:
			t.Errorf("%s: %d verdicts from thin traffic", s.name, each-thin)
		}
	}
	t.Logf("by the new generation's calls, median and 95th of 100:\n%s", table.String())
}

// The mean of the ratio stays 1 under the null, whatever the share: what the bound on
// false undos rests on. Each bad call multiplies it by one of two factors.
func TestMeanIsOne(t *testing.T) {
	for _, share := range []float64{0.05, 0.1, 0.5, 0.95} {
		j := judge(t, func(c *Config) { c.Share = share })
		// All outcomes of 12 bad calls, each with its chance.
		sum := 0.0
		for new := range 13 {
			ways := 1.0
			for k := range new {
				ways = ways * float64(12-k) / float64(k+1)
			}
			chance := ways * math.Pow(share, float64(new)) * math.Pow(1-share, float64(12-new))
			sum += chance * math.Exp(j.evidence(cell{float64(12 - new), float64(new)}))
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("share %v: the mean is %v", share, sum)
		}
	}
}

// Trouble that both have is no reason; the same trouble of the new one alone is, at
// once, and it names where.
func TestReasons(t *testing.T) {
	j := judge(t, nil)
	for range 500 {
		j.Bad(1, Late, true)
		j.Bad(1, Late, false)
	}
	if r := j.Rule(time.Second); r.Verdict != Watching {
		t.Errorf("both suffer: %+v", r)
	}
	for n := 1; ; n++ {
		j.Bad(2, Refused, true)
		if r := j.Rule(2 * time.Second); r.Verdict == Undo {
			if r.Class != 2 || r.Kind != Refused || r.Thin || n > 20 {
				t.Errorf("after %d: %+v", n, r)
			}
			break
		}
		if n == 1000 {
			t.Fatal("never undone")
		}
	}
	j.Bad(9, Failed, true) // no class of it
	j.Bad(0, Kind(7), true)
	for range 1000 {
		j.Bad(2, Refused, false)
	}
	if r := j.Rule(time.Hour); r.Verdict != Undo {
		t.Errorf("a verdict was taken back: %+v", r)
	}
	// The old one's failures never undo the new.
	j = judge(t, nil)
	for range 5000 {
		j.Bad(0, Failed, false)
		j.Good(true)
	}
	if r := j.Rule(time.Minute); r.Verdict != Keep || r.Thin {
		t.Errorf("the old one fails: %+v", r)
	}
}

// With too few calls it says so, says how many it needs, and keeps to the default.
func TestThin(t *testing.T) {
	for _, undo := range []bool{false, true} {
		j := judge(t, func(c *Config) { c.ThinUndo = undo })
		for range j.Needed() - 1 {
			j.Good(true)
		}
		if r := j.Rule(time.Minute - 1); r.Verdict != Watching {
			t.Errorf("%+v", r)
		}
		r := j.Rule(time.Minute)
		if want := map[bool]Verdict{false: Keep, true: Undo}[undo]; !r.Thin || r.Verdict != want || r.Calls != r.Needed-1 {
			t.Errorf("%+v", r)
		}
	}
	j := judge(t, nil)
	for range j.Needed() {
		j.Good(true)
	}
	if r := j.Rule(time.Minute); r.Thin || r.Verdict != Keep {
		t.Errorf("%+v", r)
	}
	// What it says it needs is enough.
	missed := 0
	for seed := range 1000 {
		rng := rand.New(rand.NewPCG(uint64(seed), 9))
		j := judge(t, nil)
		for range j.Needed() {
			if rng.Float64() < j.cfg.Notice {
				j.Bad(0, Failed, true)
			} else {
				j.Good(true)
			}
			j.Good(false)
		}
		if j.Rule(time.Minute).Verdict != Undo {
			missed++
		}
	}
	if missed > 40 {
		t.Errorf("%d of 1,000 faults missed with as many calls as it needs", missed)
	}
}

// In any order of any calls the verdict is the same: it is about counts.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type call struct {
			class int
			kind  Kind
			new   bool
		}
		calls := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
			return call{rapid.IntRange(-1, 3).Draw(t, "class"), Kind(rapid.IntRange(0, 3).Draw(t, "kind")), rapid.Bool().Draw(t, "new")}
		}), 0, 200).Draw(t, "calls")
		shuffled := rapid.Permutation(calls).Draw(t, "shuffled")
		var rulings [2]Ruling
		for n, list := range [][]call{calls, shuffled} {
			j, err := New(config())
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range list {
				j.Bad(c.class, c.kind, c.new)
			}
			rulings[n] = j.Rule(time.Minute)
		}
		if rulings[0] != rulings[1] {
			t.Errorf("%+v and %+v", rulings[0], rulings[1])
		}
	})
}

func TestConfig(t *testing.T) {
	for n, change := range []func(*Config){
		func(c *Config) { c.Classes = 0 }, func(c *Config) { c.Classes = 1 << 20 },
		func(c *Config) { c.Share = 0 }, func(c *Config) { c.Share = 1 }, func(c *Config) { c.Share = math.NaN() },
		func(c *Config) { c.FalseUndo = 0 }, func(c *Config) { c.FalseUndo = 1 },
		func(c *Config) { c.Notice = 0 }, func(c *Config) { c.Notice = 2 },
		func(c *Config) { c.Bake = 0 },
	} {
		c := config()
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%d: %+v is taken", n, c)
		}
	}
}

func BenchmarkRule(b *testing.B) {
	j := judge(b, nil)
	for n := range 3000 {
		j.Bad(n%3, Kind(n%3), n%2 == 0)
	}
	for b.Loop() {
		j.Rule(0)
	}
}
