package evacuation

import (
	"fmt"
	"time"
)

// updateVote updates this sidecar's vote on a zone from its evidence and the reports of its peers.
func (m *Machine) updateVote(z *zone) {
	m.updateSuspectSince(z)
	v := m.voteByEvidence(z)
	if v == VoteFailing && z.firstBadSent >= 0 && (z.suspectSince < 0 || z.firstBadSent < z.suspectSince) {
		z.suspectSince = z.firstBadSent
	}
	if failing, against := m.countVotes(z); v == VoteFailing && z.record.Stage == StageAll && against >= m.requiredVotes() && against > failing {
		v = VoteCutOff
	}
	if v != z.vote {
		z.vote = v
		if v == VoteFailing || v == VoteFine && z.suspectSince >= 0 {
			z.announceUntil = m.now + announcementPeriod
		}
	}
}

// requiredVotes returns the number of sidecars whose votes a decision of the fleet requires.
func (m *Machine) requiredVotes() int { return max(1, min(m.cfg.MinWitnesses, (m.cfg.Peers+1)/2)) }

// requiredVotesFor returns the number of votes required to leave a zone. It is 1 if most of the
// zone's region is already out.
func (m *Machine) requiredVotesFor(z *zone) int {
	region := m.cfg.RegionByZone[z.name]
	if region == "" {
		return m.requiredVotes()
	}
	all, out := 0, 0
	for _, o := range m.zones {
		if m.cfg.RegionByZone[o.name] != region || len(o.servers) == 0 {
			continue
		}
		if all++; o != z && o.record.Stage == StageOut && o.order.Action == ActionAuto {
			out++
		}
	}
	if 2*out > all {
		return 1
	}
	return m.requiredVotes()
}

// evidenceTime returns the time of the evidence behind this sidecar's vote: when the last
// successful attempt was sent for VoteFine, when the first failed one was sent for VoteFailing.
func (m *Machine) evidenceTime(z *zone) time.Duration {
	switch {
	case z.vote == VoteFine && z.lastGoodSent >= 0:
		return z.lastGoodSent
	case z.vote == VoteFailing && z.firstBadSent >= 0:
		return z.firstBadSent
	}
	return m.lastTick
}

// countVotes counts the sidecars that vote that a zone fails and those that contradict, either
// because the zone works for them or because all zones are as bad. Evidence from before the first
// failure was seen does not contradict.
func (m *Machine) countVotes(z *zone) (failing, against int) {
	m.forEachReport(z, func(_ int, w peerReport) {
		switch {
		case w.vote == VoteFailing:
			failing++
		case w.vote == VoteCommonCause, w.vote == VoteFine && w.evidenceAt >= z.suspectSince+m.contradictionMargin(z):
			against++ // an attempt sent as the failure began may still have succeeded
		}
	})
	return failing, against
}

// contradictionMargin returns how much later than the first failed attempt a successful one must
// have been sent to contradict the failure: of the attempts in flight at that time some still
// succeed.
func (m *Machine) contradictionMargin(z *zone) time.Duration {
	return min(max(50*time.Millisecond, time.Duration(2*z.responseTimes.value())), m.cfg.ResponseTimeout/2)
}

// updateSuspectSince updates the time of the earliest evidence behind a vote that a zone fails.
func (m *Machine) updateSuspectSince(z *zone) {
	first := time.Duration(-1)
	m.forEachReport(z, func(_ int, w peerReport) {
		if w.vote == VoteFailing && (first < 0 || w.evidenceAt < first) {
			first = max(w.evidenceAt, 0)
		}
	})
	if first < 0 || z.suspectSince < 0 {
		z.suspectSince = first
	}
}

// hasSeenRecovery reports whether this sidecar has seen a zone work since the first vote that it
// fails.
func (m *Machine) hasSeenRecovery(z *zone) bool {
	return z.vote == VoteFine && z.lastGoodSent >= z.suspectSince+m.contradictionMargin(z)
}

// isLastZone reports whether no other zone with servers is in use.
func (m *Machine) isLastZone(z *zone) bool {
	for _, o := range m.zones {
		if o != z && len(o.servers) > 0 && !o.leftLocally && (o.record.Stage == StageAll || o.record.Stage == StagePart) && o.order.Action != ActionLeave {
			return false
		}
	}
	return true
}

// evaluateDeparture decides whether the fleet leaves a zone that is in use.
func (m *Machine) evaluateDeparture(z *zone) {
	if z.record.Fails > 0 && m.now-z.stageSince > relapseResetDelay {
		z.record.Fails = 0
	}
	m.updateLocalDeparture(z)
	failing, against := m.countVotes(z)
	// A single sidecar that sees the zone work may be wrong. If two do, the zone itself works, and
	// the connection between it and some sidecars is broken. Those leave it by themselves.
	isDue := failing >= m.requiredVotesFor(z) && against < min(2, m.requiredVotes()) && float64(failing) >= m.cfg.MinFailingShare*float64(failing+against) && (z.vote == VoteFailing || z.vote == VoteDegraded) && !m.isLastZone(z)
	if !isDue {
		z.departureDueSince = -1
		if z.record.Stage == StagePart && z.vote == VoteFine && m.now-z.stageSince > m.cfg.MinDwell {
			m.stepToStage(z, StageAll, "the zone works again")
		}
		return
	}
	if z.departureDueSince < 0 {
		z.departureDueSince = m.now
	}
	if m.now-z.departureDueSince < m.cfg.SettleDelay {
		return // peers have time to contradict
	}
	why := fmt.Sprintf("%d sidecars vote that it fails, %d contradict", failing, against)
	// If the other zones already refuse calls, or can't carry all of them, and this zone still
	// serves some, only the calls of classes in Config.HighWorthClasses move.
	refused, carried := m.refusalShareElsewhere(z), m.capacityWithout(z)
	if (refused > m.cfg.MaxRefusalShare || carried < 1) && z.isServing() {
		if z.record.Stage == StageAll {
			m.stepToStage(z, StagePart, fmt.Sprintf("%s; the other zones refuse %.0f%% of calls and can carry %.0f%%", why, 100*refused, 100*carried))
		}
		return
	}
	z.record = Record{Gen: z.record.Gen + 1, Fails: z.record.Fails, Stage: z.record.Stage}
	m.enterStage(z, StageOut, why)
}

// isServing reports whether a zone has served some calls recently. It looks at a longer time than
// zone.evidence does, so that a few failures in a row do not count as a total failure.
func (z *zone) isServing() bool {
	total := 0.0
	for _, x := range z.results.counts {
		total += x
	}
	return z.results.counts[ResultGood] > 0.03*(total-z.results.counts[ResultRefused])
}

// capacityWithout returns the share of the calls that the other zones can carry without z; 1 if
// none is configured.
func (m *Machine) capacityWithout(z *zone) float64 {
	if share, ok := m.cfg.CapacityWithoutZone[z.name]; ok {
		return share
	}
	return 1
}

// refusalShareElsewhere returns the mean share of refusals in the other zones.
func (m *Machine) refusalShareElsewhere(z *zone) (share float64) {
	n := 0.0
	for _, o := range m.zones {
		if o != z && o.record.Stage == StageAll {
			share += o.evidence(m.now, m.cfg.EvidenceWindow).refusalShare
			n++
		}
	}
	return share / max(n, 1)
}

// updateLocalDeparture handles failures that this sidecar sees and the fleet does not. It stops
// sending to the zone by itself, does not report this as a failure of the zone, and tries again
// after a dwell time.
func (m *Machine) updateLocalDeparture(z *zone) {
	switch {
	case z.leftLocally && (z.vote == VoteFine || z.vote == VoteUnknown && m.now >= z.localRetryAt):
		if z.vote == VoteFine {
			z.localDepartures = 0
		}
		z.leftLocally = false
		m.recordChange(z, "left alone", "all", "a trial is due")
	case z.leftLocally:
	case (z.vote == VoteDegraded || z.vote == VoteUnknown) && !m.isLastZone(z): // locallyFailingSince stays set until VoteFine
	case z.vote != VoteCutOff && z.vote != VoteFailing || m.isLastZone(z):
		z.locallyFailingSince = -1
	case z.locallyFailingSince < 0:
		z.locallyFailingSince = m.now
	case m.now-z.locallyFailingSince >= m.cfg.LocalDepartureDelay:
		z.leftLocally, z.locallyFailingSince = true, -1
		z.localRetryAt = m.now + m.dwellTime(z.localDepartures)
		z.localDepartures = min(z.localDepartures+1, 30)
		why := "no peer agrees that it fails"
		if z.vote == VoteCutOff {
			why = "this sidecar is cut off from it"
		}
		m.recordChange(z, "all", "left alone", why)
	}
}

// dwellTime returns how long a zone stays out after the given number of relapses.
func (m *Machine) dwellTime(fails int) time.Duration {
	d := m.cfg.MinDwell << min(fails, 20)
	if d > m.cfg.MaxDwell || d <= 0 {
		return m.cfg.MaxDwell
	}
	return d
}
