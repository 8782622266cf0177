package chalkrack

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// LearnedState is the state that a Balancer has learned and that its successor in the
// same sidecar starts from. It holds no requests: a request ends in the Balancer
// in which it began. Times are the host's.
type LearnedState struct {
	ShedLevel        float64              `json:"level"`
	ShedLevelAt      time.Duration        `json:"level_at"`
	ArrivalShares    []float64            `json:"shares"`  // of arrivals, by rank
	TenantTokens     []float64            `json:"tenants"` // tokens left, by tenant
	RetryTokens      float64              `json:"retries"`
	HedgeTokens      float64              `json:"hedges"`
	HedgeDelay       float64              `json:"delay"` // in fractions of the aim
	HedgeProbability float64              `json:"odds"`
	PrimarySamples   []float64            `json:"samples"` // response times of first sends; negative if cancelled after that time
	CopySamples      []float64            `json:"copies"`
	Pairs            [][2]float64         `json:"pairs"`
	Sends            float64              `json:"sent"`
	SendsAt          time.Duration        `json:"sent_at"`
	AcceptedSends    float64              `json:"carried"`
	AcceptedShare    float64              `json:"taken"`
	MeanLatency      float64              `json:"mean_lat"`
	LatencyPerHeld   float64              `json:"per_held"`
	Servers          []LearnedServerState `json:"servers"`
}

// LearnedServerState is the state learned about one server.
type LearnedServerState struct {
	Name           string        `json:"name"`
	Started        time.Duration `json:"started"`
	ColdSince      time.Duration `json:"since"`
	Priority       float64       `json:"priority"`
	LatencySum     float64       `json:"lat_sum"`
	LatencyWeight  float64       `json:"lat_n"`
	LatencyAt      time.Duration `json:"lat_at"`
	Load           float64       `json:"load"`
	LoadAt         time.Duration `json:"load_at"`
	LearnedWeight  float64       `json:"learned"`
	Ejection       Ejection      `json:"out"`
	ClassEjections []Ejection    `json:"barred,omitempty"`
}

// Ejection is the state of an ejection, in the form that is stored.
type Ejection struct {
	Failures  float64       `json:"failures"`
	Ejections int           `json:"spells"`
	ErrorAt   time.Duration `json:"at"`
	Until     time.Duration `json:"until"`
}

// export returns e in the form that is stored.
func (e ejection) export() Ejection { return Ejection{e.failures, e.ejections, e.errorAt, e.until} }

// LearnedState returns a copy of the state learned so far.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	m := LearnedState{
		ShedLevel: b.admitter.level, ShedLevelAt: b.admitter.levelAt, ArrivalShares: slices.Clone(b.admitter.arrivalShares),
		RetryTokens: b.retryTokens, HedgeTokens: b.reissuer.tokens, HedgeDelay: b.reissuer.delay, HedgeProbability: b.reissuer.probability,
		Sends: b.fleet.sends, SendsAt: b.fleet.sendsAt, AcceptedSends: b.fleet.acceptedSends, AcceptedShare: b.fleet.acceptedShare, MeanLatency: b.fleet.meanLatency, LatencyPerHeld: b.fleet.latencyPerHeld,
	}
	for _, t := range b.admitter.tenantBuckets {
		m.TenantTokens = append(m.TenantTokens, t.tokens)
	}
	m.PrimarySamples, m.CopySamples = encodeSamples(b.reissuer.primary.values), encodeSamples(b.reissuer.copies.values)
	for _, p := range b.reissuer.pairs.values {
		m.Pairs = append(m.Pairs, [2]float64{p.primary, p.copy})
	}
	for _, s := range b.fleet.byName {
		state := LearnedServerState{Name: s.name, Started: s.started, ColdSince: s.coldSince, Priority: s.priority, LatencySum: s.latencySum, LatencyWeight: s.latencyWeight, LatencyAt: s.latencyAt,
			Load: s.load, LoadAt: s.loadAt, LearnedWeight: s.learnedWeight, Ejection: s.ejection.export()}
		for _, o := range s.classEjections {
			state.ClassEjections = append(state.ClassEjections, o.export())
		}
		m.Servers = append(m.Servers, state)
	}
	slices.SortFunc(m.Servers, func(a, b LearnedServerState) int { return cmp.Compare(a.Name, b.Name) })
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

// RestoreState takes over the state that another Balancer has learned, for servers
// that are listed and have not restarted since. Values out of range are clamped,
// because m may come from a file.
func (b *Balancer) RestoreState(now time.Duration, m LearnedState) {
	const maxValue = 1e9
	b.admitter.level, b.admitter.levelAt = clamp(m.ShedLevel, 0, 1), clampToPast(m.ShedLevelAt, now)
	if len(m.ArrivalShares) == len(b.admitter.arrivalShares) {
		for i, v := range m.ArrivalShares {
			b.admitter.arrivalShares[i] = clamp(v, 0, 1)
		}
	}
	if len(m.TenantTokens) == len(b.admitter.tenantBuckets) {
		for i, v := range m.TenantTokens {
			b.admitter.tenantBuckets[i] = tokenBucket{clamp(v, 0, maxValue), now}
		}
	}
	b.retryTokens, b.reissuer.tokens = clamp(m.RetryTokens, 0, maxRetryTokens), clamp(m.HedgeTokens, 0, maxHedgeTokens)
	b.reissuer.delay, b.reissuer.probability = clamp(m.HedgeDelay, 0, maxValue), clamp(m.HedgeProbability, 0, 1)
	decodeSamples(&b.reissuer.primary, m.PrimarySamples, primaryWindowSize)
	decodeSamples(&b.reissuer.copies, m.CopySamples, copyWindowSize)
	for _, p := range m.Pairs[:min(len(m.Pairs), pairWindowSize)] {
		b.reissuer.pairs.add(pair{clamp(p[0], 0, maxValue), clamp(p[1], 0, maxValue)}, pairWindowSize)
	}
	f := &b.fleet
	f.sends, f.sendsAt, f.acceptedShare = clamp(m.Sends, 0, maxValue), clampToPast(m.SendsAt, now), clamp(m.AcceptedShare, 0, 1)
	f.acceptedSends = clamp(m.AcceptedSends, 0, maxValue)
	f.meanLatency, f.latencyPerHeld = clamp(m.MeanLatency, 0, maxValue), clamp(m.LatencyPerHeld, 0, maxValue)
	for _, state := range m.Servers {
		s := f.byName[state.Name]
		if s == nil {
			continue
		}
		if state.Priority >= 0 { // keeps the predecessor's working set
			s.priority = state.Priority
		}
		if state.Started != s.started {
			continue // the rest of the state is from before the restart
		}
		s.coldSince = clampToPast(state.ColdSince, now)
		s.latencySum, s.latencyWeight, s.latencyAt = clamp(state.LatencySum, 0, maxValue), clamp(state.LatencyWeight, 0, maxValue), clampToPast(state.LatencyAt, now)
		s.load, s.loadAt, s.learnedWeight = clamp(state.Load, 0, maxValue), clampToPast(state.LoadAt, now), clamp(state.LearnedWeight, 1/maxLearnedWeight, maxLearnedWeight)
		s.ejection, s.classEjections = state.Ejection.internal(now), nil
		for _, o := range state.ClassEjections[:min(len(state.ClassEjections), len(b.cfg.Classes))] {
			s.classEjections = append(s.classEjections, o.internal(now))
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

// internal returns the ejection that m stores, with values clamped.
func (m Ejection) internal(now time.Duration) ejection {
	return ejection{clamp(m.Failures, 0, 1e3), max(0, min(m.Ejections, 64)), clampToPast(m.ErrorAt, now), max(0, min(m.Until, now+2*maxEjectDuration))}
}
