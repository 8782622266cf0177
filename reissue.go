package chalkrack

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// SingleR (Kaler, He, Elnikety, SPAA 2017): a request still unanswered after
// delay d gets, with probability q, one copy on another server. Times here are
// fractions of the class's aim, so that balancers with little traffic can pool
// the samples of all classes.
const (
	maxReissueBudget  = 0.10  // highest share of requests that get a copy
	maxReissueCost    = 0.002 // limits that share where wasted work has a cost: share times Config.WasteCost
	tailPercentile    = 0.95  // k, the percentile of response times to minimise
	learningRate      = 0.3
	primaryWindowSize = 256
	copyWindowSize    = 96
	pairWindowSize    = 64
	// The policy is computed again after minRecomputeSamples new samples and one
	// to two times minRecomputeInterval, at random so that balancers do not
	// change d at the same time.
	minRecomputeSamples  = 32
	minRecomputeInterval = time.Second
	// observedPairShare of the copies run without cancelling the slower attempt, so that
	// both response times of some pairs are known for Pr(Y <= t-d | X > t).
	observedPairShare = 0.1
	pairPriorWeight   = 12.0 // weight, in pairs, of the assumption that X and Y are independent
	maxHedgeTokens    = 4.0
)

// sample is one recorded response time. A cancelled send is censored: its answer
// would have taken longer than responseTime.
type sample struct {
	responseTime float64
	censored     bool
}

// pair holds the response times of a first attempt (X) and of its copy (Y).
type pair struct{ primary, copy float64 }

// slidingWindow keeps the last values added to it.
type slidingWindow[T any] struct {
	values []T
	next   int // index of the oldest value once the buffer is full
}

// add appends v and drops the oldest value beyond limit.
func (w *slidingWindow[T]) add(v T, limit int) {
	if len(w.values) < limit {
		w.values = append(w.values, v)
		return
	}
	w.values[w.next] = v
	w.next = (w.next + 1) % limit
}

// reissuer learns the SingleR policy from the response times of first attempts
// and copies.
type reissuer struct {
	primary                       slidingWindow[sample]
	copies                        slidingWindow[sample]
	pairs                         slidingWindow[pair]
	budget                        float64       // B, the share of requests that get a copy
	delay, probability            float64       // delay d in fractions of the aim, and probability q
	newSamples                    int           // primary samples since the policy was last computed
	nextRecompute                 time.Duration // earliest time of the next computation
	tokens                        float64       // copies that may be sent now
	scratch                       []sample
	primarySurvival, copySurvival survival // of first attempts and of copies; kept to reuse their memory
}

// newReissuer returns a reissuer whose budget respects the cost of wasted work.
func newReissuer(wasteCost float64) reissuer {
	budget := min(maxReissueBudget, maxReissueCost/max(wasteCost, 1e-9))
	// The paper's starting policy: no delay, probability B.
	return reissuer{budget: budget, probability: budget, tokens: 1}
}

// recompute moves the policy towards the optimum for the recorded samples, if
// there are enough new ones. jitter is a random number in [0, 1).
func (r *reissuer) recompute(now time.Duration, jitter float64) {
	if r.newSamples < minRecomputeSamples || now < r.nextRecompute {
		return
	}
	r.nextRecompute = now + minRecomputeInterval + time.Duration(jitter*float64(minRecomputeInterval))
	step := learningRate * min(1, float64(r.newSamples)/primaryWindowSize*4)
	r.newSamples = 0
	r.primarySurvival.estimate(r.primary.values, &r.scratch)
	if len(r.copies.values) >= pairPriorWeight {
		r.copySurvival.estimate(r.copies.values, &r.scratch)
	} else {
		r.copySurvival.estimate(r.primary.values, &r.scratch)
	}
	r.delay += step * (computeOptimalSingleR(&r.primarySurvival, &r.copySurvival, r.pairs.values, tailPercentile, r.budget) - r.delay)
	r.probability = r.primarySurvival.reissueProbability(r.delay, r.budget)
}

// survival is a Kaplan-Meier estimate of a distribution of response times T:
// tail[i] is Pr(T > times[i]).
type survival struct {
	times []float64
	tail  []float64
}

// estimate fits s to samples, which may include censored ones. Without censoring
// the tail is the share of samples above each time. scratch is reused memory.
func (s *survival) estimate(samples []sample, scratch *[]sample) {
	sorted := append((*scratch)[:0], samples...)
	*scratch = sorted
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.responseTime, b.responseTime) })
	s.times, s.tail = s.times[:0], s.tail[:0]
	alive := 1.0
	for i := 0; i < len(sorted); {
		at, answered, j := sorted[i].responseTime, 0, i
		for ; j < len(sorted) && sorted[j].responseTime == at; j++ {
			if !sorted[j].censored {
				answered++
			}
		}
		if answered > 0 {
			alive *= 1 - float64(answered)/float64(len(sorted)-i)
			s.times = append(s.times, at)
			s.tail = append(s.tail, alive)
		}
		i = j
	}
}

// probabilityAfter returns Pr(T > t).
func (s *survival) probabilityAfter(t float64) float64 {
	if i := sort.Search(len(s.times), func(i int) bool { return s.times[i] > t }); i > 0 {
		return s.tail[i-1]
	}
	return 1
}

// reissueProbability returns the probability q that spends the budget on copies
// after delay d.
func (s *survival) reissueProbability(d, budget float64) float64 {
	return min(1, budget/max(s.probabilityAfter(d), 1e-9))
}

// computeOptimalSingleR returns the delay d that minimises the k-th percentile of
// response times within the budget, by the paper's algorithm of this name. x and
// y are the distributions of first attempts and of copies.
func computeOptimalSingleR(x, y *survival, pairs []pair, k, budget float64) float64 {
	if len(x.times) == 0 {
		return 0
	}
	timeIndex := len(x.times) - 1
	best := x.times[0]
	for i := 0; i <= timeIndex; i++ {
		d := x.times[i]
		for timeIndex > i && successRate(x, y, pairs, budget, x.times[timeIndex], d) > k {
			timeIndex--
			best = d
		}
	}
	return best
}

// successRate returns the probability that a request is answered by time t if it
// gets a copy after delay d.
func successRate(x, y *survival, pairs []pair, budget, t, d float64) float64 {
	late, q := x.probabilityAfter(t), x.reissueProbability(d, budget)
	n, inTime := pairPriorWeight, pairPriorWeight*(1-y.probabilityAfter(t-d))
	for _, p := range pairs {
		if p.primary > t {
			n++
			if p.copy <= t-d {
				inTime++
			}
		}
	}
	return 1 - late + q*late*inTime/n
}
