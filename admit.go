package chalkrack

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The shed level rises when more than a sixth of the answers are late or more
	// than a third of the sends are turned away, which costs only an attempt. It
	// settles at a value that depends on these shares.
	lateStep   = 0.08
	fullStep   = 0.03
	inTimeStep = 0.014
	// Each outcome takes outcomeDecay of the level away. Without it, balancers that
	// sum up the same outcomes on their own drift apart: the busiest shed the
	// classes of highest worth while others still send those of lowest worth.
	outcomeDecay = 0.016
	// Below lowSendRate sends a second the steps are larger, by a factor of
	// maxStepGain at most. Otherwise the level would stay up after its cause is gone.
	lowSendRate = 8.0
	maxStepGain = 4.0
	// Above highSendRate sends a second the steps are smaller, so that the level
	// changes equally fast at any rate: with full steps, the sends turned away in
	// a freeze of a quarter of a second shed everything for ten seconds.
	highSendRate       = 30.0
	minShedLevel       = 0.06 // level that random variation alone causes in a fleet without overload
	maxShedProbability = 0.99 // not lower, because clients retry and what is admitted at each try adds up
	arrivalWindow      = 100  // number of arrivals over which the shares of the classes are averaged
	// Where nearly everything is shed, the level decays by itself after
	// shedLevelHold without an outcome. With a decay at all times, balancers with
	// little traffic settled where three quarters of the answers were late.
	shedLevelDecay = 8 * time.Second
	shedLevelHold  = time.Second
	tenantBurst    = 4 * time.Second // how much of its share a tenant can save up
)

// admitter decides which requests are shed. Requests are ranked by worth for
// their work: rank 2*class, or 2*class+1 for a request above its tenant's share.
// The shed level is the share of arrivals to shed, lowest worth first.
type admitter struct {
	cfg           *Config
	level         float64
	levelAt       time.Duration // time of the last change of level
	arrivalShares []float64     // share of arrivals by rank
	ranksByWorth  []int         // ranks, lowest worth first
	tenantBuckets []tokenBucket
}

// tokenBucket holds the tokens of a bucket at a time.
type tokenBucket struct {
	tokens float64
	at     time.Duration // last refill, or the end of a cold server's window
}

// newAdmitter returns an admitter for cfg that keeps what old has learned.
func newAdmitter(cfg *Config, old admitter) admitter {
	a := admitter{cfg: cfg, level: old.level, levelAt: old.levelAt, arrivalShares: slices.Clone(old.arrivalShares), tenantBuckets: slices.Clone(old.tenantBuckets)}
	for i := range 2 * len(cfg.Classes) {
		a.ranksByWorth = append(a.ranksByWorth, i)
		if i >= len(a.arrivalShares) { // all classes start with equal shares
			a.arrivalShares = append(a.arrivalShares, float64((i+1)%2)/float64(len(cfg.Classes)))
		}
	}
	for _, allowed := range cfg.Tenants[len(a.tenantBuckets):] {
		a.tenantBuckets = append(a.tenantBuckets, tokenBucket{tokens: allowed / float64(cfg.Instances) * tenantBurst.Seconds()})
	}
	slices.SortStableFunc(a.ranksByWorth, func(i, j int) int { return cmp.Compare(a.worth(i), a.worth(j)) })
	return a
}

// worth returns the worth for the work of a request of the rank. The aim is the
// only indication of how much work a request is.
func (a *admitter) worth(rank int) float64 {
	class, shareFactor := &a.cfg.Classes[rank/2], [2]float64{1, a.cfg.OverShareWorth}
	return class.Worth / class.Aim.Seconds() * shareFactor[rank%2]
}

// meanWorth returns the mean worth of recent arrivals, as if all were within
// their tenants' shares.
func (a *admitter) meanWorth() (m float64) {
	for r, share := range a.arrivalShares {
		m += share * a.worth(r&^1)
	}
	return m
}

// recordArrival counts an arrival and returns its rank.
func (a *admitter) recordArrival(class, tenant int, now time.Duration) (rank int) {
	rank = 2 * class
	if tenant >= 0 && tenant < len(a.tenantBuckets) {
		rate := a.cfg.Tenants[tenant] / float64(a.cfg.Instances)
		bucket := &a.tenantBuckets[tenant]
		bucket.tokens, bucket.at = min(bucket.tokens+rate*(now-bucket.at).Seconds(), max(1, rate*tenantBurst.Seconds())), now
		if bucket.tokens >= 1 {
			bucket.tokens--
		} else {
			rank++
		}
	}
	for i := range a.arrivalShares {
		a.arrivalShares[i] *= 1 - 1.0/arrivalWindow
	}
	a.arrivalShares[rank] += 1.0 / arrivalWindow
	return rank
}

// shedProbability returns the probability with which a request of the rank is shed now.
func (a *admitter) shedProbability(rank int, now time.Duration) float64 {
	remaining := a.currentLevel(now) - minShedLevel
	for _, r := range a.ranksByWorth {
		if r == rank {
			return max(0, min(remaining/max(a.arrivalShares[r], 0.01), maxShedProbability))
		}
		remaining -= a.arrivalShares[r] * maxShedProbability
	}
	return 0
}

// currentLevel returns the shed level with its decay since the last outcome.
func (a *admitter) currentLevel(now time.Duration) float64 {
	return a.level * decay(max(0, now-a.levelAt-shedLevelHold), shedLevelDecay)
}

// recordOutcome updates the level with the outcome of one attempt. rate is in
// sends a second.
func (a *admitter) recordOutcome(full, late bool, rate float64, now time.Duration) {
	a.level, a.levelAt = a.currentLevel(now), now
	gain := max(1, min(lowSendRate/max(rate, 0.1), maxStepGain)) * highSendRate / max(rate, highSendRate)
	step := -inTimeStep
	if late {
		step = lateStep
	} else if full {
		step = fullStep
	}
	a.level = max(0, min(a.level+gain*(step-outcomeDecay*a.level), 1))
}
