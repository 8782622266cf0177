package chalkrack

import (
	"math"
	"testing"
	"time"
)

// answeredSamples returns uncensored samples of the given times.
func answeredSamples(times ...float64) []sample {
	var s []sample
	for _, t := range times {
		s = append(s, sample{responseTime: t})
	}
	return s
}

// fitSurvival returns the estimate for samples.
func fitSurvival(samples []sample) *survival {
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
		{"before the first", answeredSamples(2, 4), 1, 1},
		{"at a sample", answeredSamples(1, 2, 3, 4), 2, 0.5},
		{"ties", answeredSamples(1, 1, 1, 4), 1, 0.25},
		// One of three at risk answers at 1, which leaves 2/3. The sample at 2 is
		// censored, so that one is at risk at 3 and takes the rest.
		{"censored between", []sample{{1, false}, {2, true}, {3, false}}, 2.5, 2.0 / 3},
		{"censored then answered", []sample{{1, false}, {2, true}, {3, false}}, 3, 0},
		// Counting the censored sample as answered at 2 would give 0.5 here.
		{"censored first", []sample{{3, false}, {1, false}, {2, true}, {4, false}}, 3, 0.375},
		{"all censored", []sample{{1, true}, {2, true}}, 5, 1},
		{"a tie of both kinds", []sample{{1, true}, {1, false}, {2, false}}, 1, 2.0 / 3},
	} {
		if got := fitSurvival(c.samples).probabilityAfter(c.at); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%s: Pr(T > %v) = %v, want %v", c.name, c.at, got, c.want)
		}
	}
}

func TestSuccessRate(t *testing.T) {
	// Ten first sends answered at 1..10. At d = 6 four are unanswered, so a budget
	// of 0.2 copies half of them. At t = 8 two of ten are late; with q = 0.5,
	// copies answered within t-d = 2 save half of those that they are sent for.
	x := fitSurvival(answeredSamples(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
	y := fitSurvival(answeredSamples(1, 2, 3, 4))
	if got, want := successRate(x, y, nil, 0.2, 8, 6), 0.8+0.5*0.2*0.5; math.Abs(got-want) > 1e-12 {
		t.Errorf("independent: %v, want %v", got, want)
	}
	// Twelve complete pairs with X > 8 whose copies were all slow weigh as much
	// as the prior, which halves the gain predicted for independent times.
	var slow []pair
	for range 12 {
		slow = append(slow, pair{9, 9})
	}
	if got, want := successRate(x, y, slow, 0.2, 8, 6), 0.8+0.5*0.2*0.25; math.Abs(got-want) > 1e-12 {
		t.Errorf("correlated: %v, want %v", got, want)
	}
}

func TestComputeOptimalSingleR(t *testing.T) {
	// 90 answers at 1 and 10 stragglers from 100 on; copies answer within 1, so a
	// copy sent after d answers by d+1. At d = 1 only the stragglers are left and
	// B = 0.1 covers each of them: the tail falls from 100 to 2.
	var x []sample
	for range 90 {
		x = append(x, sample{responseTime: 1})
	}
	for i := range 10 {
		x = append(x, sample{responseTime: 100 + float64(i)})
	}
	if d := computeOptimalSingleR(fitSurvival(x), fitSurvival(answeredSamples(1, 1, 1)), nil, 0.95, 0.1); d != 1 {
		t.Errorf("d = %v, want 1", d)
	}
	if d := computeOptimalSingleR(fitSurvival(nil), fitSurvival(nil), nil, 0.95, 0.1); d != 0 {
		t.Errorf("without samples d = %v, want 0", d)
	}
}

func TestRecomputeStepsTowardsOptimum(t *testing.T) {
	r := newReissuer(0)
	if r.delay != 0 || r.probability != maxReissueBudget {
		t.Fatalf("initial policy d=%v q=%v, want d=0 and q=B", r.delay, r.probability)
	}
	for range minRecomputeSamples - 3 {
		addSample(&r, sample{responseTime: 1})
	}
	addSample(&r, sample{responseTime: 50})
	addSample(&r, sample{responseTime: 60})
	r.recompute(time.Second, 0)
	if r.delay != 0 {
		t.Error("the policy was computed from too few samples")
	}
	addSample(&r, sample{responseTime: 70})
	r.recompute(time.Second, 0)
	optimum := computeOptimalSingleR(&r.primarySurvival, &r.primarySurvival, nil, tailPercentile, r.budget)
	step := learningRate * float64(minRecomputeSamples) / primaryWindowSize * 4
	if want := step * optimum; math.Abs(r.delay-want) > 1e-12 || want == 0 {
		t.Errorf("d = %v, want a step of %v towards %v", r.delay, step, optimum)
	}
	if want := r.budget / r.primarySurvival.probabilityAfter(r.delay); math.Abs(r.probability-want) > 1e-12 {
		t.Errorf("q = %v, want B / Pr(X > d) = %v", r.probability, want)
	}
	if costly := newReissuer(0.4); costly.budget >= r.budget {
		t.Errorf("budget %v with a high cost of wasted work, want below %v", costly.budget, r.budget)
	}
}

// Copies cost tokens that first sends earn, so that at most the budgeted share of
// requests gets a copy even if each would.
func TestHedgeTokensLimitCopies(t *testing.T) {
	b, r := newTestBalancer(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"}, Endpoint{Name: "c"})
	b.reissuer.probability, b.reissuer.delay, b.reissuer.tokens = 1, 0, 0
	for id := RequestID(1); id <= 30; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
		b.Timer(0, r.timers[len(r.timers)-1])
	}
	if copies := len(r.servers) - 30; copies < 2 || copies > 3 {
		t.Errorf("%d copies for 30 first sends at B = %v, want 2 or 3", copies, maxReissueBudget)
	}
}

// addSample records a response time of a first send.
func addSample(r *reissuer, s sample) {
	r.primary.add(s, primaryWindowSize)
	r.newSamples++
}
