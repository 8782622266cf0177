package chalkrack

import (
	"math"
	"time"
)

// ServerView is what a Balancer knows about a server at one moment. It serves
// logs only; no decision depends on it.
type ServerView struct {
	Serving       bool    `json:"serving"`
	InWorkingSet  bool    `json:"in_set"`
	Ejected       bool    `json:"ejected"`
	ClassEjected  bool    `json:"barred"` // for the class asked about
	InFlight      int     `json:"in_flight"`
	Failures      int     `json:"failures"`
	Latency       float64 `json:"latency"` // relative to the fleet's mean
	HeldRequests  float64 `json:"load"`    // requests held by its load report, plus one
	LearnedWeight float64 `json:"learned"` // factor on the capacity hint
	Warmth        float64 `json:"warmth"`  // share of its full capacity
	UptimeSeconds float64 `json:"up_s"`    // seconds since its listed start; 0: long ago
}

// StateView is the state of a Balancer at one moment.
type StateView struct {
	ShedLevel      float64 `json:"level"`   // shed level
	RetryTokens    float64 `json:"retries"` // retry tokens left
	HedgeTokens    float64 `json:"hedges"`  // copy tokens left
	HedgeDelay     float64 `json:"delay"`   // before a copy, in fractions of the aim
	ServingServers int     `json:"members"` // serving servers
	WorkingSet     int     `json:"set"`     // servers in the working set
	Ejected        int     `json:"ejected"`
	SendRate       float64 `json:"rate"` // sends a second
}

// ViewServer returns what is known about a server now, and a zero view for an
// unknown server. class is the class for which the view says whether the server
// is ejected.
func (b *Balancer) ViewServer(now time.Duration, name string, class int) (v ServerView) {
	s := b.fleet.byName[name]
	if s == nil {
		return v
	}
	v = ServerView{Serving: s.serving, InWorkingSet: s.inWorkingSet, Ejected: now < s.ejection.until, InFlight: s.inFlight, Failures: int(math.Round(s.ejection.failures)),
		Latency: s.relativeLatency(now), HeldRequests: s.held(now), LearnedWeight: s.learnedWeight, Warmth: b.fleet.warmth(s, now)}
	if class >= 0 && class < len(b.cfg.Classes) {
		v.ClassEjected = s.isEjectedFor(class, now)
	}
	if s.started > 0 {
		v.UptimeSeconds = (now - s.started).Seconds()
	}
	return v
}

// ViewState returns the state of the Balancer now.
func (b *Balancer) ViewState(now time.Duration) StateView {
	return StateView{ShedLevel: b.admitter.currentLevel(now), RetryTokens: b.retryTokens, HedgeTokens: b.reissuer.tokens, HedgeDelay: b.reissuer.delay,
		ServingServers: len(b.fleet.byPriority), WorkingSet: len(b.fleet.workingSet), Ejected: len(b.fleet.ejected), SendRate: b.fleet.sendRate(now)}
}

// EjectedCount returns how many of the serving servers are ejected now.
func (b *Balancer) EjectedCount(now time.Duration) (n int) {
	for _, s := range b.fleet.byPriority {
		if now < s.ejection.until {
			n++
		}
	}
	return n
}
