package chalkrack

import (
	"math"
	"time"
)

// ServerView is what a Balancer knows of a server at one moment. It is for logs: nothing
// is decided by it.
type ServerView struct {
	Serving  bool    `json:"serving"`
	InSet    bool    `json:"in_set"`
	Ejected  bool    `json:"ejected"`
	Barred   bool    `json:"barred"` // for the class asked about
	InFlight int     `json:"in_flight"`
	Failures int     `json:"failures"`
	Latency  float64 `json:"latency"` // relative to the fleet's
	Load     float64 `json:"load"`
	Learned  float64 `json:"learned"`
	Warmth   float64 `json:"warmth"`
	UpFor    float64 `json:"up_s"` // since its listed start; 0: long ago
}

// StateView is what a Balancer knows of itself at one moment.
type StateView struct {
	Level   float64 `json:"level"` // of shedding
	Retries float64 `json:"retries"`
	Hedges  float64 `json:"hedges"`
	Delay   float64 `json:"delay"` // of a copy, in fractions of the aim
	Members int     `json:"members"`
	Set     int     `json:"set"`
	Ejected int     `json:"ejected"`
	Rate    float64 `json:"rate"` // of sends
}

// ViewServer is what is known of a server now.
func (b *Balancer) ViewServer(now time.Duration, name string, class int) (v ServerView) {
	s := b.fleet.byName[name]
	if s == nil {
		return v
	}
	v = ServerView{Serving: s.serving, InSet: s.inSet, Ejected: now < s.out.until, InFlight: s.inFlight, Failures: int(math.Round(s.out.failures)),
		Latency: s.latency(now), Load: s.held(now), Learned: s.learned, Warmth: b.fleet.warmth(s, now)}
	if class >= 0 && class < len(b.cfg.Classes) {
		v.Barred = s.barredFor(class, now)
	}
	if s.started > 0 {
		v.UpFor = (now - s.started).Seconds()
	}
	return v
}

// ViewState is what the Balancer knows of itself now.
func (b *Balancer) ViewState(now time.Duration) StateView {
	return StateView{Level: b.admit.faded(now), Retries: b.retries, Hedges: b.reissue.tokens, Delay: b.reissue.d,
		Members: len(b.fleet.members), Set: len(b.fleet.set), Ejected: len(b.fleet.ejected), Rate: b.fleet.rate(now)}
}

// Ejected is how many of the servers that serve get no requests now, for they failed.
func (b *Balancer) Ejected(now time.Duration) (n int) {
	for _, s := range b.fleet.members {
		if now < s.out.until {
			n++
		}
	}
	return n
}
