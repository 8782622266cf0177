package evacuation

import (
	"math"
	"slices"
	"time"
)

// ResultKind is the result of an attempt.
type ResultKind uint8

const (
	ResultGood          ResultKind = iota
	ResultConnectFailed            // no connection was established
	ResultReset                    // the connection was reset or closed
	ResultLate                     // no response in time, or one that took far longer than in other zones
	ResultError                    // the response is an error
	ResultRefused                  // refused: the server is up and busy, which is no sign of failure
	resultKindCount
)

// String returns the name of the result as shown to operators.
func (k ResultKind) String() string {
	return [...]string{"good", "no connection", "broken", "late", "error", "turned away"}[k]
}

// isFailure reports whether the result counts as a failure of the zone.
func (k ResultKind) isFailure() bool { return k != ResultGood && k != ResultRefused }

// resultCounts holds exponentially decaying counts by result. Operators see them in View.
type resultCounts struct {
	counts    [resultKindCount]float64
	updatedAt time.Duration
}

func (c *resultCounts) decay(now, window time.Duration) {
	if now > c.updatedAt {
		factor := math.Exp(-float64(now-c.updatedAt) / float64(window))
		for k := range c.counts {
			c.counts[k] *= factor
		}
		c.updatedAt = now
	}
}

// server is a server of a zone with its latest result.
type server struct {
	name         string
	zone         *zone
	lastResult   ResultKind
	lastResultAt time.Duration // negative: never
}

// attempt is an attempt that has not ended.
type attempt struct {
	server           *server
	sentAt           time.Duration
	countedLate      bool // already counted as late
	reportedHopeless bool // already reported in Output.HopelessAttempts
}

// decayingMean is a decaying mean of the response times of successful attempts.
type decayingMean struct{ sum, weight float64 }

func (m *decayingMean) add(x float64) { m.sum, m.weight = m.sum*0.95+x, m.weight*0.95+1 }

func (m *decayingMean) value() float64 {
	if m.weight < 1 {
		return 0
	}
	return m.sum / m.weight
}

// evidence summarizes a sidecar's own evidence on a zone. Only the latest result of each server
// counts, weighted by its age. Otherwise a single server that fails fast, and therefore often,
// would determine the evidence on the whole zone.
type evidence struct {
	badRatio      float64 // weight of bad results divided by weight
	weight        float64 // total weight of good and bad results
	recentServers int     // servers whose result is recent enough to count
	badServers    int     // of these, servers whose result is bad
	refusalShare  float64 // share of refusals
	goodWeight    float64 // weight of good results
}

// resultWindows is the time constant of the result counts, in multiples of Config.EvidenceWindow.
const resultWindows = 3

// minEvidenceWeight is the evidence weight below which no conclusion is drawn.
const minEvidenceWeight = 0.5

// evidence returns the evidence on the zone at the given time.
func (z *zone) evidence(now, window time.Duration) (e evidence) {
	badWeight := 0.0
	for _, s := range z.servers {
		if s.lastResultAt < 0 {
			continue
		}
		weight := math.Exp(-float64(now-s.lastResultAt) / float64(window/2))
		if weight < 0.05 {
			continue
		}
		switch {
		case s.lastResult.isFailure():
			badWeight += weight
			e.badServers++
		case s.lastResult == ResultGood:
			e.goodWeight += weight
		}
		e.recentServers++
	}
	e.weight = badWeight + e.goodWeight
	if e.weight > 0 {
		e.badRatio = badWeight / e.weight
	}
	z.results.decay(now, resultWindows*window)
	total := 0.0
	for _, x := range z.results.counts {
		total += x
	}
	if total > minEvidenceWeight {
		e.refusalShare = z.results.counts[ResultRefused] / total
	}
	return e
}

// RecordSend records that an attempt was sent to a server. It returns the ticket that identifies
// the attempt in RecordEnd.
func (m *Machine) RecordSend(now time.Duration, name string) uint64 {
	m.lastTicket++
	if s := m.servers[name]; s != nil && len(m.openAttempts) < maxOpenAttempts {
		m.openAttempts[m.lastTicket] = attempt{server: s, sentAt: now}
	}
	return m.lastTicket
}

// RecordEnd records the result of an attempt. A cancelled attempt is no evidence.
func (m *Machine) RecordEnd(now time.Duration, ticket uint64, k ResultKind, cancelled bool) {
	a, ok := m.openAttempts[ticket]
	if !ok {
		return
	}
	delete(m.openAttempts, ticket)
	if cancelled || a.countedLate || m.servers[a.server.name] != a.server {
		return
	}
	if k == ResultGood {
		if took := now - a.sentAt; took > m.lateThreshold() {
			k = ResultLate
		} else {
			a.server.zone.responseTimes.add(float64(took))
		}
	}
	m.recordResult(now, a, k)
}

// recordResult records the result of an attempt as evidence.
func (m *Machine) recordResult(now time.Duration, a attempt, k ResultKind) {
	z := a.server.zone
	z.results.decay(now, resultWindows*m.cfg.EvidenceWindow)
	z.results.counts[k]++
	if k == ResultRefused {
		return
	}
	a.server.lastResult, a.server.lastResultAt = k, now
	switch {
	case k == ResultGood:
		z.lastGoodSent = max(z.lastGoodSent, a.sentAt)
		if a.sentAt >= z.firstBadSent {
			z.firstBadSent = -1
		}
	case z.firstBadSent < 0:
		z.firstBadSent = a.sentAt
	}
	if k != ResultGood {
		z.lastBadSent = max(z.lastBadSent, a.sentAt)
	}
	if z.record.Stage >= StageOneIn64 && a.sentAt >= z.stageSince {
		if k == ResultGood {
			z.stageGood++
		} else {
			z.stageBad++
		}
	}
}

// lateThreshold returns the time after which an attempt counts as late. It depends on the usual
// response time of the fastest zone, so that a zone that slows down does not raise its own limit.
func (m *Machine) lateThreshold() time.Duration {
	fastest := 0.0
	for _, o := range m.zones {
		if v := o.responseTimes.value(); v > 0 && (fastest == 0 || v < fastest) {
			fastest = v
		}
	}
	return max(m.cfg.ResponseTimeout, time.Duration(m.cfg.SlowFactor*fastest))
}

// recordOverdueAttempts records each attempt that has exceeded the time limit as late, once.
func (m *Machine) recordOverdueAttempts() {
	bound := m.lateThreshold()
	for ticket, a := range m.openAttempts {
		if a.countedLate || m.now-a.sentAt <= bound {
			continue
		}
		a.countedLate = true
		m.openAttempts[ticket] = a
		if m.servers[a.server.name] == a.server {
			m.recordResult(m.now, a, ResultLate)
		}
	}
}

// takeHopelessAttempts returns the tickets of the attempts to zones that fail or were left by
// evidence, once they have waited for half the time after which they count as late, so that their
// calls still have time for another attempt. Each ticket is returned once.
func (m *Machine) takeHopelessAttempts() (tickets []uint64) {
	bound := m.lateThreshold()
	for ticket, a := range m.openAttempts {
		z := a.server.zone
		if a.reportedHopeless || z.vote != VoteFailing && z.vote != VoteCutOff && (z.record.Stage != StageOut || z.order.Action != ActionAuto) || m.now-a.sentAt <= bound/2 {
			continue
		}
		a.reportedHopeless = true
		m.openAttempts[ticket] = a
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	return tickets
}

// voteByEvidence returns this sidecar's vote on a zone by its own evidence, without the reports of
// peers.
func (m *Machine) voteByEvidence(z *zone) Vote {
	if z.record.Stage >= StageOneIn64 { // only attempts that were sent in this stage count
		switch {
		case z.stageBad > 0 && 3*z.stageBad >= z.stageBad+z.stageGood:
			return VoteFailing
		case z.stageGood > 0:
			return VoteFine
		}
		return VoteUnknown
	}
	evidence := z.evidence(m.now, m.cfg.EvidenceWindow)
	switch {
	case evidence.weight < minEvidenceWeight:
		return VoteUnknown
	case evidence.badRatio < m.cfg.DegradedRatio:
		return VoteFine
	case evidence.badRatio < m.cfg.FailingRatio || evidence.badServers < min(2, len(z.servers)):
		return VoteDegraded
	}
	z.lastFailingAt = m.now
	// Another zone must be better, by attempts sent there since this zone went bad. If all zones
	// are as bad, the cause is common to them; if nothing is known about the others, they cannot be
	// called better. A zone that was as bad after the last failed attempt to this one and is well
	// now proves nothing either: this zone may have recovered with it.
	better, worse := false, false
	for _, other := range m.zones {
		switch {
		case other == z || other.record.Stage == StageOut:
		case other.lastGoodSent >= z.firstBadSent && other.lastGoodSent >= 0 && other.lastFailingAt <= z.lastBadSent:
			better = true
		case other.firstBadSent >= 0:
			worse = true
		}
	}
	switch {
	case better:
		return VoteFailing
	case worse:
		return VoteCommonCause
	}
	return VoteUnknown
}
