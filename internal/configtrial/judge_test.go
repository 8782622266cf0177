package configtrial

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

func testConfig() Config {
	return Config{Classes: 3, Share: 0.5, FalseUndo: 0.001, DetectableShare: 0.05, Duration: time.Minute}
}

func newTestJudge(t testing.TB, change func(*Config)) *Judge {
	t.Helper()
	c := testConfig()
	if change != nil {
		change(&c)
	}
	j, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// scenario describes a change and the conditions during its trial.
type scenario struct {
	name  string
	calls int
	// badRate returns the probability of a bad call of the old generation, by the elapsed
	// fraction of the trial (0 to 1).
	badRate func(at float64) float64
	// addedRate is the additional probability of a bad call of the new generation in
	// class 0.
	addedRate float64
}

func constant(p float64) func(float64) float64 { return func(float64) float64 { return p } }

// initialBurst is trouble at the servers during the first third of the trial.
func initialBurst(p float64) func(float64) float64 {
	return func(at float64) float64 {
		if at < 0.33 {
			return p
		}
		return 0.005
	}
}

// runScenario simulates one trial and returns the final ruling.
func runScenario(t testing.TB, s scenario, seed uint64, share float64) Result {
	rng := rand.New(rand.NewPCG(seed, 6))
	j := newTestJudge(t, func(c *Config) { c.Share = share })
	for n := range s.calls {
		at := float64(n) / float64(s.calls)
		class := n % 3
		new := rng.Float64() < share
		p := s.badRate(at)
		if new && class == 0 {
			p = 1 - (1-p)*(1-s.addedRate)
		}
		if rng.Float64() < p {
			j.RecordBad(class, Kind(rng.IntN(int(kindCount))), new)
		} else {
			j.RecordGood(new)
		}
		if n%50 == 0 {
			if r := j.Evaluate(time.Duration(at * float64(time.Minute))); r.Verdict != Watching {
				return r
			}
		}
	}
	return j.Evaluate(time.Minute)
}

// Simulates 10,000 good and faulty changes under constant load, with trouble at the
// servers and with few calls. Good changes are undone no more often than FalseUndo allows
// (with a margin for random variation), and no fault that makes a fifth of a class's calls
// bad is kept.
func TestVerdictsOverTenThousandChanges(t *testing.T) {
	const runs = 1000
	var table strings.Builder
	fmt.Fprintf(&table, "%-46s %8s %6s %6s %6s %14s\n", "change", "calls", "kept", "undone", "thin", "calls to undo")
	for _, s := range []scenario{
		{"good, nothing fails", 6000, constant(0), 0},
		{"good, 1 % fail", 6000, constant(0.01), 0},
		{"good, 30 % fail", 6000, constant(0.3), 0},
		{"good, all fail for a third of the time", 6000, initialBurst(1), 0},
		{"good, thin traffic", 200, constant(0.05), 0},
		{"faulty: 20 % of a class", 6000, constant(0.01), 0.2},
		{"faulty: all of a class, 30 % fail anyway", 6000, constant(0.3), 1},
		{"faulty: 20 % of a class, servers in trouble", 6000, initialBurst(0.5), 0.2},
		{"faulty: 5 % of a class", 6000, constant(0.01), 0.05},
		{"faulty: 20 % of a class, thin traffic", 200, constant(0.01), 0.2},
	} {
		kept, undone, thin := 0, 0, 0
		var undoCalls []int
		for seed := range runs {
			r := runScenario(t, s, uint64(seed), 0.5)
			switch {
			case r.Thin:
				thin++
			case r.Verdict == Keep:
				kept++
			case r.Verdict == Undo:
				undone++
				undoCalls = append(undoCalls, r.Calls)
			default:
				t.Fatalf("%s, seed %d: %v", s.name, seed, r)
			}
		}
		text := "-"
		if len(undoCalls) > 0 {
			slices.Sort(undoCalls)
			text = fmt.Sprintf("%d, %d", undoCalls[len(undoCalls)/2], undoCalls[len(undoCalls)*95/100])
		}
		fmt.Fprintf(&table, "%-46s %8d %6d %6d %6d %14s\n", s.name, s.calls, kept, undone, thin, text)
		switch {
		// At most 1 of 1,000 is expected; 6 or more have a probability below 0.001.
		case s.addedRate == 0 && undone > 5:
			t.Errorf("%s: %d good changes undone", s.name, undone)
		case s.addedRate >= 0.2 && s.calls >= 6000 && kept > 0:
			t.Errorf("%s: %d faulty changes kept", s.name, kept)
		case s.calls < 1000 && s.addedRate == 0 && thin < runs-5:
			t.Errorf("%s: %d verdicts from too few calls", s.name, runs-thin)
		}
	}
	t.Logf("calls of the new generation until the undo, median and 95th percentile:\n%s", table.String())
}

// The mean of the likelihood ratio is 1 under the null hypothesis for any share. The bound
// on false undos depends on that. Each bad call multiplies the ratio by one of two factors.
func TestLikelihoodRatioMeanIsOne(t *testing.T) {
	for _, share := range []float64{0.05, 0.1, 0.5, 0.95} {
		j := newTestJudge(t, func(c *Config) { c.Share = share })
		// All outcomes of 12 bad calls, each with its probability.
		sum := 0.0
		for new := range 13 {
			ways := 1.0
			for k := range new {
				ways = ways * float64(12-k) / float64(k+1)
			}
			chance := ways * math.Pow(share, float64(new)) * math.Pow(1-share, float64(12-new))
			sum += chance * math.Exp(j.logEvidence(badCounts{float64(12 - new), float64(new)}))
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("share %v: mean is %v, want 1", share, sum)
		}
	}
}

// Trouble of both generations does not undo a change. The same trouble of the new
// generation alone does within a few calls, and the ruling names its class and kind.
func TestUndoNamesClassAndKind(t *testing.T) {
	j := newTestJudge(t, nil)
	for range 500 {
		j.RecordBad(1, Late, true)
		j.RecordBad(1, Late, false)
	}
	if r := j.Evaluate(time.Second); r.Verdict != Watching {
		t.Errorf("both generations have late calls: %+v", r)
	}
	for n := 1; ; n++ {
		j.RecordBad(2, Refused, true)
		if r := j.Evaluate(2 * time.Second); r.Verdict == Undo {
			if r.Class != 2 || r.Kind != Refused || r.Thin || n > 20 {
				t.Errorf("undone after %d bad calls: %+v", n, r)
			}
			break
		}
		if n == 1000 {
			t.Fatal("never undone")
		}
	}
	j.RecordBad(9, Failed, true) // class out of range
	j.RecordBad(0, Kind(7), true)
	for range 1000 {
		j.RecordBad(2, Refused, false)
	}
	if r := j.Evaluate(time.Hour); r.Verdict != Undo {
		t.Errorf("a final verdict changed: %+v", r)
	}
	// Failures of the old generation never undo the new one.
	j = newTestJudge(t, nil)
	for range 5000 {
		j.RecordBad(0, Failed, false)
		j.RecordGood(true)
	}
	if r := j.Evaluate(time.Minute); r.Verdict != Keep || r.Thin {
		t.Errorf("only the old generation fails: %+v", r)
	}
}

// With too few calls the ruling is Thin, says how many calls are needed, and its verdict
// is the one that ThinUndo selects.
func TestTooFewCalls(t *testing.T) {
	for _, undo := range []bool{false, true} {
		j := newTestJudge(t, func(c *Config) { c.ThinUndo = undo })
		for range j.RequiredCalls() - 1 {
			j.RecordGood(true)
		}
		if r := j.Evaluate(time.Minute - 1); r.Verdict != Watching {
			t.Errorf("%+v", r)
		}
		r := j.Evaluate(time.Minute)
		if want := map[bool]Verdict{false: Keep, true: Undo}[undo]; !r.Thin || r.Verdict != want || r.Calls != r.Needed-1 {
			t.Errorf("%+v", r)
		}
	}
	j := newTestJudge(t, nil)
	for range j.RequiredCalls() {
		j.RecordGood(true)
	}
	if r := j.Evaluate(time.Minute); r.Thin || r.Verdict != Keep {
		t.Errorf("%+v", r)
	}
	// RequiredCalls is enough to detect a fault of size DetectableShare.
	missed := 0
	for seed := range 1000 {
		rng := rand.New(rand.NewPCG(uint64(seed), 9))
		j := newTestJudge(t, nil)
		for range j.RequiredCalls() {
			if rng.Float64() < j.cfg.DetectableShare {
				j.RecordBad(0, Failed, true)
			} else {
				j.RecordGood(true)
			}
			j.RecordGood(false)
		}
		if j.Evaluate(time.Minute).Verdict != Undo {
			missed++
		}
	}
	if missed > 40 {
		t.Errorf("%d of 1,000 faults missed with RequiredCalls calls", missed)
	}
}

// The verdict depends on the counts of calls only, not on their order.
func TestVerdictIndependentOfCallOrder(t *testing.T) {
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
		var rulings [2]Result
		for n, list := range [][]call{calls, shuffled} {
			j, err := New(testConfig())
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range list {
				j.RecordBad(c.class, c.kind, c.new)
			}
			rulings[n] = j.Evaluate(time.Minute)
		}
		if rulings[0] != rulings[1] {
			t.Errorf("rulings differ by order of calls: %+v and %+v", rulings[0], rulings[1])
		}
	})
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for n, change := range []func(*Config){
		func(c *Config) { c.Classes = 0 }, func(c *Config) { c.Classes = 1 << 20 },
		func(c *Config) { c.Share = 0 }, func(c *Config) { c.Share = 1 }, func(c *Config) { c.Share = math.NaN() },
		func(c *Config) { c.FalseUndo = 0 }, func(c *Config) { c.FalseUndo = 1 },
		func(c *Config) { c.DetectableShare = 0 }, func(c *Config) { c.DetectableShare = 2 },
		func(c *Config) { c.Duration = 0 },
	} {
		c := testConfig()
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%d: New accepted %+v", n, c)
		}
	}
}

func BenchmarkEvaluate(b *testing.B) {
	j := newTestJudge(b, nil)
	for n := range 3000 {
		j.RecordBad(n%3, Kind(n%3), n%2 == 0)
	}
	for b.Loop() {
		j.Evaluate(0)
	}
}
