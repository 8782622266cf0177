package chalkrack

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The shed level rises from where a sixth of answers are late or a third of the
	// sends turned away, which costs only an attempt, and rests where they say.
	lateStep = 0.08
	fullStep = 0.03
	calmStep = 0.014
	// levelFade of the level goes with each outcome. Balancers that add the same signs up,
	// each for itself, drift apart: the busiest shed the dearest, others send the cheapest.
	levelFade = 0.016
	// A balancer of fewer than calmRate sends a second takes larger steps, by
	// gainMax at most. Guards against a level that outlives its cause.
	calmRate = 8.0
	gainMax  = 4.0
	// One of more than busyRate takes smaller ones, so that a level takes as long for
	// all: what a freeze of a quarter second turned away shed all for ten seconds.
	busyRate      = 30.0
	shedSlack     = 0.06 // the level that chance alone gives a calm fleet
	shedMax       = 0.99 // not less: clients try again, and what is let in at each try adds up
	arrivalMemory = 100  // how many arrivals the classes' shares look back on
	// Where nearly all is shed, the level fades by itself after shedHold without an
	// outcome. Fading all the time, quiet balancers rested at three quarters late.
	shedMemory = 8 * time.Second
	shedHold   = time.Second
	shareBurst = 4 * time.Second
)

type admitter struct {
	cfg     *Config
	level   float64
	at      time.Duration // of the last change of level
	share   []float64     // of arrivals, by rank: twice the class, and 1 where it is above its share
	ranked  []int
	tenants []bucket
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
}

// newAdmitter goes on with what old has learned.
func newAdmitter(cfg *Config, old admitter) admitter {
	a := admitter{cfg: cfg, level: old.level, at: old.at, share: slices.Clone(old.share), tenants: slices.Clone(old.tenants)}
	for i := range 2 * len(cfg.Classes) {
		a.ranked = append(a.ranked, i)
		if i >= len(a.share) { // at first all classes have an equal one
			a.share = append(a.share, float64((i+1)%2)/float64(len(cfg.Classes)))
		}
	}
	for _, allowed := range cfg.Tenants[len(a.tenants):] {
		a.tenants = append(a.tenants, bucket{tokens: allowed / float64(cfg.Instances) * shareBurst.Seconds()})
	}
	slices.SortStableFunc(a.ranked, func(i, j int) int { return cmp.Compare(a.worth(i), a.worth(j)) })
	return a
}

// worth is by work, of which the aim is the only sign.
func (a *admitter) worth(rank int) float64 {
	c, part := &a.cfg.Classes[rank/2], [2]float64{1, a.cfg.OverShareWorth}
	return c.Worth / c.Aim.Seconds() * part[rank%2]
}

func (a *admitter) meanWorth() (m float64) {
	for r, share := range a.share {
		m += share * a.worth(r&^1)
	}
	return m
}

// arrived counts an arrival and returns its rank.
func (a *admitter) arrived(class, tenant int, now time.Duration) (rank int) {
	rank = 2 * class
	if tenant >= 0 && tenant < len(a.tenants) {
		rate := a.cfg.Tenants[tenant] / float64(a.cfg.Instances)
		t := &a.tenants[tenant]
		t.tokens, t.at = min(t.tokens+rate*(now-t.at).Seconds(), max(1, rate*shareBurst.Seconds())), now
		if t.tokens >= 1 {
			t.tokens--
		} else {
			rank++
		}
	}
	for i := range a.share {
		a.share[i] *= 1 - 1.0/arrivalMemory
	}
	a.share[rank] += 1.0 / arrivalMemory
	return rank
}

// odds is the probability with which a request of the rank is shed now.
func (a *admitter) odds(rank int, now time.Duration) float64 {
	left := a.faded(now) - shedSlack
	for _, r := range a.ranked {
		if r == rank {
			return max(0, min(left/max(a.share[r], 0.01), shedMax))
		}
		left -= a.share[r] * shedMax
	}
	return 0
}

// faded is the level less what it has lost since the last outcome.
func (a *admitter) faded(now time.Duration) float64 {
	return a.level * fade(max(0, now-a.at-shedHold), shedMemory)
}

// outcome feeds the level with one attempt's end; rate is of sends a second.
func (a *admitter) outcome(full, late bool, rate float64, now time.Duration) {
	a.level, a.at = a.faded(now), now
	gain := max(1, min(calmRate/max(rate, 0.1), gainMax)) * busyRate / max(rate, busyRate)
	step := -calmStep
	if late {
		step = lateStep
	} else if full {
		step = fullStep
	}
	a.level = max(0, min(a.level+gain*(step-levelFade*a.level), 1))
}
