package chalkrack

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Memory is what a Balancer has learnt and its successor in the same sidecar goes on
// from. It holds nothing of requests: those end where they began. Times are the host's.
type Memory struct {
	Level   float64        `json:"level"` // of shedding
	LevelAt time.Duration  `json:"level_at"`
	Shares  []float64      `json:"shares"`
	Tenants []float64      `json:"tenants"` // tokens
	Retries float64        `json:"retries"`
	Hedges  float64        `json:"hedges"`
	Delay   float64        `json:"delay"`
	Odds    float64        `json:"odds"`
	Samples []float64      `json:"samples"` // of first sends; below 0 those that were cut off
	Copies  []float64      `json:"copies"`
	Pairs   [][2]float64   `json:"pairs"`
	Sent    float64        `json:"sent"`
	SentAt  time.Duration  `json:"sent_at"`
	Carried float64        `json:"carried"`
	Taken   float64        `json:"taken"`
	MeanLat float64        `json:"mean_lat"`
	PerHeld float64        `json:"per_held"`
	Servers []ServerMemory `json:"servers"`
}

// ServerMemory is what is known of one server.
type ServerMemory struct {
	Name     string        `json:"name"`
	Started  time.Duration `json:"started"`
	Since    time.Duration `json:"since"`
	Priority float64       `json:"priority"`
	LatSum   float64       `json:"lat_sum"`
	LatN     float64       `json:"lat_n"`
	LatAt    time.Duration `json:"lat_at"`
	Load     float64       `json:"load"`
	LoadAt   time.Duration `json:"load_at"`
	Learned  float64       `json:"learned"`
	Out      BarMemory     `json:"out"`
	Barred   []BarMemory   `json:"barred,omitempty"`
}

// BarMemory is what keeps requests from a server.
type BarMemory struct {
	Failures float64       `json:"failures"`
	Spells   int           `json:"spells"`
	At       time.Duration `json:"at"`
	Until    time.Duration `json:"until"`
}

func (b bar) memory() BarMemory { return BarMemory{b.failures, b.spells, b.at, b.until} }

// Memory is what has been learnt by now.
func (b *Balancer) Memory(now time.Duration) Memory {
	m := Memory{
		Level: b.admit.level, LevelAt: b.admit.at, Shares: slices.Clone(b.admit.share),
		Retries: b.retries, Hedges: b.reissue.tokens, Delay: b.reissue.d, Odds: b.reissue.q,
		Sent: b.fleet.sent, SentAt: b.fleet.sentAt, Carried: b.fleet.carried, Taken: b.fleet.taken, MeanLat: b.fleet.meanLat, PerHeld: b.fleet.perHeld,
	}
	for _, t := range b.admit.tenants {
		m.Tenants = append(m.Tenants, t.tokens)
	}
	m.Samples, m.Copies = flat(b.reissue.primary.buf), flat(b.reissue.copies.buf)
	for _, p := range b.reissue.pairs.buf {
		m.Pairs = append(m.Pairs, [2]float64{p.x, p.y})
	}
	for _, s := range b.fleet.byName {
		sm := ServerMemory{Name: s.name, Started: s.started, Since: s.since, Priority: s.priority, LatSum: s.latSum, LatN: s.latN, LatAt: s.latAt,
			Load: s.load, LoadAt: s.loadAt, Learned: s.learned, Out: s.out.memory()}
		for _, o := range s.barred {
			sm.Barred = append(sm.Barred, o.memory())
		}
		m.Servers = append(m.Servers, sm)
	}
	slices.SortFunc(m.Servers, func(a, b ServerMemory) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

func flat(samples []sample) (all []float64) {
	for _, s := range samples {
		if s.censored {
			s.at = -s.at
		}
		all = append(all, s.at)
	}
	return all
}

// within is v, or the nearest to it that makes sense.
func within(v, least, most float64) float64 {
	if math.IsNaN(v) {
		return least
	}
	return max(least, min(v, most))
}

// past is a time that lies no later than now: what another clock says may.
func past(t, now time.Duration) time.Duration { return max(0, min(t, now)) }

// Remember goes on from what another Balancer has learnt, of the servers that are listed
// and have not started anew since. What makes no sense is brought to what does: it may
// come from a file.
func (b *Balancer) Remember(now time.Duration, m Memory) {
	const largest = 1e9
	b.admit.level, b.admit.at = within(m.Level, 0, 1), past(m.LevelAt, now)
	if len(m.Shares) == len(b.admit.share) {
		for i, v := range m.Shares {
			b.admit.share[i] = within(v, 0, 1)
		}
	}
	if len(m.Tenants) == len(b.admit.tenants) {
		for i, v := range m.Tenants {
			b.admit.tenants[i] = bucket{within(v, 0, largest), now}
		}
	}
	b.retries, b.reissue.tokens = within(m.Retries, 0, retriesMax), within(m.Hedges, 0, hedgeTokensMax)
	b.reissue.d, b.reissue.q = within(m.Delay, 0, largest), within(m.Odds, 0, 1)
	recall(&b.reissue.primary, m.Samples, primaryWindow)
	recall(&b.reissue.copies, m.Copies, copyWindow)
	for _, p := range m.Pairs[:min(len(m.Pairs), pairWindow)] {
		b.reissue.pairs.add(pair{within(p[0], 0, largest), within(p[1], 0, largest)}, pairWindow)
	}
	f := &b.fleet
	f.sent, f.sentAt, f.taken = within(m.Sent, 0, largest), past(m.SentAt, now), within(m.Taken, 0, 1)
	f.carried = within(m.Carried, 0, largest)
	f.meanLat, f.perHeld = within(m.MeanLat, 0, largest), within(m.PerHeld, 0, largest)
	for _, sm := range m.Servers {
		s := f.byName[sm.Name]
		if s == nil {
			continue
		}
		if sm.Priority >= 0 { // one working set, not two
			s.priority = sm.Priority
		}
		if sm.Started != s.started {
			continue // it knows nothing of this start
		}
		s.since = past(sm.Since, now)
		s.latSum, s.latN, s.latAt = within(sm.LatSum, 0, largest), within(sm.LatN, 0, largest), past(sm.LatAt, now)
		s.load, s.loadAt, s.learned = within(sm.Load, 0, largest), past(sm.LoadAt, now), within(sm.Learned, 1/learnMax, learnMax)
		s.out, s.barred = sm.Out.bar(now), nil
		for _, o := range sm.Barred[:min(len(sm.Barred), len(b.cfg.Classes))] {
			s.barred = append(s.barred, o.bar(now))
		}
		if s.serving && now < s.out.until && !slices.Contains(f.ejected, s) {
			f.ejected = append(f.ejected, s)
		}
	}
	slices.SortFunc(f.members, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
	})
	f.dirty = true
}

func recall(w *window[sample], all []float64, most int) {
	for _, v := range all[:min(len(all), most)] {
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			w.add(sample{at: math.Abs(v), censored: v < 0}, most)
		}
	}
}

func (m BarMemory) bar(now time.Duration) bar {
	return bar{within(m.Failures, 0, 1e3), max(0, min(m.Spells, 64)), past(m.At, now), max(0, min(m.Until, now+2*ejectMax))}
}
