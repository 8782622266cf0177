package chalkrack

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Memory is the state that a Balancer has learned and that its successor in the
// same sidecar starts from. It holds no requests: a request ends in the Balancer
// in which it began. Times are the host's.
type Memory struct {
	Level   float64        `json:"level"` // shed level
	LevelAt time.Duration  `json:"level_at"`
	Shares  []float64      `json:"shares"`  // of arrivals, by rank
	Tenants []float64      `json:"tenants"` // tokens left, by tenant
	Retries float64        `json:"retries"` // retry tokens left
	Hedges  float64        `json:"hedges"`  // copy tokens left
	Delay   float64        `json:"delay"`   // before a copy, in fractions of the aim
	Odds    float64        `json:"odds"`    // probability of a copy
	Samples []float64      `json:"samples"` // response times of first sends; negative if cancelled after that time
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

// ServerMemory is the state learned about one server.
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

// BarMemory is the state of an ejection of a server.
type BarMemory struct {
	Failures float64       `json:"failures"`
	Spells   int           `json:"spells"`
	At       time.Duration `json:"at"`
	Until    time.Duration `json:"until"`
}

// export returns the state of e in its exported form.
func (e ejection) export() BarMemory { return BarMemory{e.failures, e.ejections, e.errorAt, e.until} }

// Memory returns a copy of the state learned so far.
func (b *Balancer) Memory(now time.Duration) Memory {
	m := Memory{
		Level: b.admitter.level, LevelAt: b.admitter.levelAt, Shares: slices.Clone(b.admitter.arrivalShares),
		Retries: b.retryTokens, Hedges: b.reissuer.tokens, Delay: b.reissuer.delay, Odds: b.reissuer.probability,
		Sent: b.fleet.sends, SentAt: b.fleet.sendsAt, Carried: b.fleet.acceptedSends, Taken: b.fleet.acceptedShare, MeanLat: b.fleet.meanLatency, PerHeld: b.fleet.latencyPerHeld,
	}
	for _, t := range b.admitter.tenantBuckets {
		m.Tenants = append(m.Tenants, t.tokens)
	}
	m.Samples, m.Copies = encodeSamples(b.reissuer.primary.values), encodeSamples(b.reissuer.copies.values)
	for _, p := range b.reissuer.pairs.values {
		m.Pairs = append(m.Pairs, [2]float64{p.primary, p.copy})
	}
	for _, s := range b.fleet.byName {
		sm := ServerMemory{Name: s.name, Started: s.started, Since: s.coldSince, Priority: s.priority, LatSum: s.latencySum, LatN: s.latencyWeight, LatAt: s.latencyAt,
			Load: s.load, LoadAt: s.loadAt, Learned: s.learnedWeight, Out: s.ejection.export()}
		for _, o := range s.classEjections {
			sm.Barred = append(sm.Barred, o.export())
		}
		m.Servers = append(m.Servers, sm)
	}
	slices.SortFunc(m.Servers, func(a, b ServerMemory) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// encodeSamples returns the response times of samples, those of censored ones negated.
func encodeSamples(samples []sample) (encoded []float64) {
	for _, s := range samples {
		if s.censored {
			s.responseTime = -s.responseTime
		}
		encoded = append(encoded, s.responseTime)
	}
	return encoded
}

// clamp returns v limited to the range from lowest to highest, and lowest for NaN.
func clamp(v, lowest, highest float64) float64 {
	if math.IsNaN(v) {
		return lowest
	}
	return max(lowest, min(v, highest))
}

// clampToPast returns t limited to the range from 0 to now: a time that another
// clock gave may lie in the future.
func clampToPast(t, now time.Duration) time.Duration { return max(0, min(t, now)) }

// Remember takes over the state that another Balancer has learned, for servers
// that are listed and have not restarted since. Values out of range are clamped,
// because m may come from a file.
func (b *Balancer) Remember(now time.Duration, m Memory) {
	const maxValue = 1e9
	b.admitter.level, b.admitter.levelAt = clamp(m.Level, 0, 1), clampToPast(m.LevelAt, now)
	if len(m.Shares) == len(b.admitter.arrivalShares) {
		for i, v := range m.Shares {
			b.admitter.arrivalShares[i] = clamp(v, 0, 1)
		}
	}
	if len(m.Tenants) == len(b.admitter.tenantBuckets) {
		for i, v := range m.Tenants {
			b.admitter.tenantBuckets[i] = tokenBucket{clamp(v, 0, maxValue), now}
		}
	}
	b.retryTokens, b.reissuer.tokens = clamp(m.Retries, 0, maxRetryTokens), clamp(m.Hedges, 0, maxHedgeTokens)
	b.reissuer.delay, b.reissuer.probability = clamp(m.Delay, 0, maxValue), clamp(m.Odds, 0, 1)
	decodeSamples(&b.reissuer.primary, m.Samples, primaryWindowSize)
	decodeSamples(&b.reissuer.copies, m.Copies, copyWindowSize)
	for _, p := range m.Pairs[:min(len(m.Pairs), pairWindowSize)] {
		b.reissuer.pairs.add(pair{clamp(p[0], 0, maxValue), clamp(p[1], 0, maxValue)}, pairWindowSize)
	}
	f := &b.fleet
	f.sends, f.sendsAt, f.acceptedShare = clamp(m.Sent, 0, maxValue), clampToPast(m.SentAt, now), clamp(m.Taken, 0, 1)
	f.acceptedSends = clamp(m.Carried, 0, maxValue)
	f.meanLatency, f.latencyPerHeld = clamp(m.MeanLat, 0, maxValue), clamp(m.PerHeld, 0, maxValue)
	for _, sm := range m.Servers {
		s := f.byName[sm.Name]
		if s == nil {
			continue
		}
		if sm.Priority >= 0 { // keeps the predecessor's working set
			s.priority = sm.Priority
		}
		if sm.Started != s.started {
			continue // the rest of the state is from before the restart
		}
		s.coldSince = clampToPast(sm.Since, now)
		s.latencySum, s.latencyWeight, s.latencyAt = clamp(sm.LatSum, 0, maxValue), clamp(sm.LatN, 0, maxValue), clampToPast(sm.LatAt, now)
		s.load, s.loadAt, s.learnedWeight = clamp(sm.Load, 0, maxValue), clampToPast(sm.LoadAt, now), clamp(sm.Learned, 1/maxLearnedWeight, maxLearnedWeight)
		s.ejection, s.classEjections = sm.Out.ejection(now), nil
		for _, o := range sm.Barred[:min(len(sm.Barred), len(b.cfg.Classes))] {
			s.classEjections = append(s.classEjections, o.ejection(now))
		}
		if s.serving && now < s.ejection.until && !slices.Contains(f.ejected, s) {
			f.ejected = append(f.ejected, s)
		}
	}
	slices.SortFunc(f.byPriority, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.name, b.name))
	})
	f.dirty = true
}

// decodeSamples adds samples encoded by encodeSamples to w and skips values that
// are not finite.
func decodeSamples(w *slidingWindow[sample], encoded []float64, limit int) {
	for _, v := range encoded[:min(len(encoded), limit)] {
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			w.add(sample{responseTime: math.Abs(v), censored: v < 0}, limit)
		}
	}
}

// ejection returns the state in its internal form, with values clamped.
func (m BarMemory) ejection(now time.Duration) ejection {
	return ejection{clamp(m.Failures, 0, 1e3), max(0, min(m.Spells, 64)), clampToPast(m.At, now), max(0, min(m.Until, now+2*maxEjectDuration))}
}
