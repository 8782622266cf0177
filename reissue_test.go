package chalkrack

import (
	"math"
	"testing"
	"time"
)

func answered(times ...float64) []sample {
	var s []sample
	for _, t := range times {
		s = append(s, sample{at: t})
	}
	return s
}

func fit(samples []sample) *survival {
	s, scratch := new(survival), []sample(nil)
	s.estimate(samples, &scratch)
	return s
}

func TestSurvival(t *testing.T) {
	for _, c := range []struct {
		name    string
		samples []sample
		at      float64
		want    float64
	}{
		{"no sample", nil, 1, 1},
		{"before the first", answered(2, 4), 1, 1},
		{"at a sample", answered(1, 2, 3, 4), 2, 0.5},
		{"ties", answered(1, 1, 1, 4), 1, 0.25},
		// Three at risk at 1 leave 2/3; the one at 2 is censored, so that one
		// is at risk at 3 and takes all that is left.
		{"censored between", []sample{{1, false}, {2, true}, {3, false}}, 2.5, 2.0 / 3},
		{"censored then answered", []sample{{1, false}, {2, true}, {3, false}}, 3, 0},
		// Counting the censored one as answered at 2 would give 0.5 here.
		{"censored first", []sample{{3, false}, {1, false}, {2, true}, {4, false}}, 3, 0.375},
		{"all censored", []sample{{1, true}, {2, true}}, 5, 1},
		{"a tie of both kinds", []sample{{1, true}, {1, false}, {2, false}}, 1, 2.0 / 3},
	} {
		if got := fit(c.samples).after(c.at); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%s: Pr(T > %v) = %v, want %v", c.name, c.at, got, c.want)
		}
	}
}

func TestSuccessRate(t *testing.T) {
	// Ten first sends answered at 1..10. With d = 6, four are still out, so a
	// budget of 0.2 copies half of them. By t = 8 two of ten are late; copies
	// answered within t-d = 2 save half of them with q = 0.5.
	x := fit(answered(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
	y := fit(answered(1, 2, 3, 4))
	if got, want := successRate(x, y, nil, 0.2, 8, 6), 0.8+0.5*0.2*0.5; math.Abs(got-want) > 1e-12 {
		t.Errorf("independent: %v, want %v", got, want)
	}
	// Twelve whole pairs with X > 8 whose copies were all slow weigh as much
	// as the prior: half of what independence promised.
	var slow []pair
	for range 12 {
		slow = append(slow, pair{9, 9})
	}
	if got, want := successRate(x, y, slow, 0.2, 8, 6), 0.8+0.5*0.2*0.25; math.Abs(got-want) > 1e-12 {
		t.Errorf("correlated: %v, want %v", got, want)
	}
}

func TestComputeOptimalSingleR(t *testing.T) {
	// 90 answers at 1 and 10 stragglers at 100; copies answer at 1. A copy at
	// any d up to the second answers by d+1, and B = 0.1 covers every
	// straggler once d = 1 leaves only them: the tail falls from 100 to 2.
	var x []sample
	for range 90 {
		x = append(x, sample{at: 1})
	}
	for i := range 10 {
		x = append(x, sample{at: 100 + float64(i)})
	}
	if d := computeOptimalSingleR(fit(x), fit(answered(1, 1, 1)), nil, 0.95, 0.1); d != 1 {
		t.Errorf("d = %v, want 1", d)
	}
	if d := computeOptimalSingleR(fit(nil), fit(nil), nil, 0.95, 0.1); d != 0 {
		t.Errorf("without samples d = %v, want 0", d)
	}
}

func TestReissuerSteps(t *testing.T) {
	r := newReissuer(0)
	if r.d != 0 || r.q != reissueBudget {
		t.Fatalf("starts at d=%v q=%v, want d=0 and q=B", r.d, r.q)
	}
	for range recomputeEvery - 3 {
		logged(&r, sample{at: 1})
	}
	logged(&r, sample{at: 50})
	logged(&r, sample{at: 60})
	r.recompute(time.Second, 0)
	if r.d != 0 {
		t.Error("recomputed on too few samples")
	}
	logged(&r, sample{at: 70})
	r.recompute(time.Second, 0)
	local := computeOptimalSingleR(&r.x, &r.x, nil, tailPercentile, r.budget)
	step := learningRate * float64(recomputeEvery) / primaryWindow * 4
	if want := step * local; math.Abs(r.d-want) > 1e-12 || want == 0 {
		t.Errorf("d = %v, want a step of %v towards %v", r.d, step, local)
	}
	if want := r.budget / r.x.after(r.d); math.Abs(r.q-want) > 1e-12 {
		t.Errorf("q = %v, want B / Pr(X > d) = %v", r.q, want)
	}
	if dear := newReissuer(0.4); dear.budget >= r.budget {
		t.Errorf("budget %v where waste is dear, want under %v", dear.budget, r.budget)
	}
}

// Copies are bought with tokens that first sends earn: a burst of retries of
// one request must not buy more.
func TestHedgeTokens(t *testing.T) {
	b, r := newTest(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"}, Endpoint{Name: "c"})
	b.reissue.q, b.reissue.d, b.reissue.tokens = 1, 0, 0
	for id := RequestID(1); id <= 30; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
		b.Timer(0, r.timers[len(r.timers)-1])
	}
	if copies := len(r.servers) - 30; copies < 2 || copies > 3 {
		t.Errorf("%d copies for 30 first sends at B = %v", copies, reissueBudget)
	}
}

func logged(r *reissuer, s sample) {
	r.primary.add(s, primaryWindow)
	r.fresh++
}
