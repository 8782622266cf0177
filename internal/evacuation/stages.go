package evacuation

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// adoptPeerRecord takes over a record that enough peers hold. It requires several, so that a single
// sidecar that is faulty or was suspended changes no other.
func (m *Machine) adoptPeerRecord(z *zone) {
	var held []Record
	heard, ahead := 0, 0 // ahead: sidecars sending in this stage whose record is one step ahead
	var next Record
	for _, n := range m.recentPeers {
		p := &m.peers[n]
		if !m.hasHeard(p) {
			continue
		}
		heard++
		if w, ok := p.reportOn(z.id); ok && w.hasRecord && w.record.IsLater(z.record) {
			held = append(held, w.record)
			if z.record.Stage >= StageOneIn64 && w.record.Gen == z.record.Gen && w.record.Step == z.record.Step+1 && m.isCanary(z, n) {
				ahead++
				if next == (Record{}) || w.record.IsLater(next) {
					next = w.record
				}
			}
		}
	}
	// The sidecars that send in this stage have evidence that the others lack. The required number
	// of them is enough for the next stage, and a single one for a step back.
	if ahead >= min(m.requiredVotes(), m.canaryCount(z.record.Stage)) && next.Stage == nextStage[z.record.Stage] || ahead > 0 && next.Stage == relapseStage[z.record.Stage] {
		z.record = Record{next.Gen, next.Step, next.Fails, z.record.Stage}
		m.enterStage(z, next.Stage, fmt.Sprintf("%d canaries have moved to this stage", ahead))
		return
	}
	if len(held) == 0 {
		z.unconfirmedSince = -1
	}
	required := m.requiredVotesFor(z)
	if m.now-m.resumedAt > m.cfg.LocalDepartureDelay { // peers have had time to answer: require no more than were heard
		required = max(1, min(required, heard))
	}
	if len(held) < required {
		return
	}
	slices.SortFunc(held, func(a, b Record) int {
		switch {
		case a.IsLater(b):
			return -1
		case b.IsLater(a):
			return 1
		}
		return 0
	})
	best := held[required-1] // the latest record that at least required peers have reached
	// For a sidecar that sends all calls, a return stage is a departure as well: its peers may have
	// left the zone and be on their way back.
	leaves := z.record.Stage <= StagePart && best.Stage >= StageOut
	if leaves && (m.isUnconfirmed(z) || (m.hasSeenRecovery(z) || best.Stage >= StageOneIn64) && 2*len(held) < heard) {
		return // a zone that works is left only together with most of the fleet
	}
	if (leaves || best.Stage == StageOut) && m.isLastZone(z) && !m.rejoinLocallyLeftZones(z) {
		return
	}
	from := z.record.Stage
	z.record = best
	if from == best.Stage {
		z.stageSince = m.now
		return
	}
	to := best.Stage
	z.record.Stage = from
	m.enterStage(z, to, fmt.Sprintf("%d peers hold this stage", len(held)))
}

// rejoinLocallyLeftZones uses the zones again that this sidecar has left by itself, when the fleet
// leaves the last other zone. It returns false if there is none. Otherwise a sidecar that could not
// reach the zone that all others moved to would stay with a zone that has failed.
func (m *Machine) rejoinLocallyLeftZones(z *zone) (any bool) {
	for _, o := range m.zones {
		if o != z && o.leftLocally && len(o.servers) > 0 {
			o.leftLocally, any = false, true
			m.recordChange(o, "left alone", "all", "the fleet leaves the last other zone")
		}
	}
	return any
}

// isUnconfirmed reports whether a departure is not followed, or not yet: too few of the sidecars
// whose record leaves the zone also vote that it fails now. Otherwise sidecars without calls of
// their own would follow a minority whose partition has just ended. Sidecars that see the zone work
// get time to say so. A sidecar that has just started follows the fleet.
func (m *Machine) isUnconfirmed(z *zone) bool {
	if failing, _ := m.countVotes(z); failing >= m.requiredVotesFor(z) || m.now-m.resumedAt < heardTimeout {
		return false
	}
	if z.unconfirmedSince < 0 {
		z.unconfirmedSince = m.now
		if z.vote == VoteFine { // while no peer votes that it fails, nothing else makes this sidecar report
			z.announceUntil = m.now + announcementPeriod
		}
	}
	fine := 0
	m.forEachReport(z, func(_ int, w peerReport) {
		if w.vote == VoteFine && w.evidenceAt >= z.unconfirmedSince {
			fine++
		}
	})
	return fine >= min(2, m.requiredVotes()) || m.now-z.unconfirmedSince < 2*m.cfg.SettleDelay
}

// canaryWeight ranks the sidecars for the return to a zone: those with the highest weights send
// first. The ranking changes with each step, so that a sidecar with a bad link does not hold up the
// return (rendezvous hashing, Thaler and Ravishankar 1998).
func (z *zone) canaryWeight(n int) uint64 {
	return hashWeight(uint64(z.id)<<48|uint64(z.record.Gen&0xffff)<<16|uint64(z.record.Step), n)
}

// hashWeight returns a pseudorandom weight for sidecar n.
func hashWeight(salt uint64, n int) uint64 {
	x := salt ^ uint64(n+1)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// canaryCount returns the number of canaries, the sidecars that send in a return stage.
func (m *Machine) canaryCount(s Stage) int {
	return max(1, min(m.cfg.Peers, int(sendingShare[s]*float64(m.cfg.Peers)+0.999)))
}

// isCanary reports whether sidecar n is a canary, which sends in the current return stage of a
// zone. The threshold is computed once for each record, because this runs for each
// candidate of each call and for each peer at each tick.
func (m *Machine) isCanary(z *zone, n int) bool {
	if z.minCanaryWeightRecord != z.record || z.minCanaryWeight == 0 {
		weights := make([]uint64, m.cfg.Peers)
		for i := range weights {
			weights[i] = z.canaryWeight(i)
		}
		slices.Sort(weights)
		z.minCanaryWeightRecord, z.minCanaryWeight = z.record, max(1, weights[len(weights)-m.canaryCount(z.record.Stage)])
	}
	return z.canaryWeight(n) >= z.minCanaryWeight
}

// advanceReturn advances the return to a zone that was left.
func (m *Machine) advanceReturn(z *zone) {
	if m.isLeftBehind(z) {
		m.stepToStage(z, StageAll, "most peers use the zone again")
		return
	}
	if z.record.Stage == StageOut {
		if len(z.servers) > 0 && m.now-z.stageSince >= m.dwellTime(int(z.record.Fails)) {
			m.stepToStage(z, StageOneIn64, "the dwell time is over")
		}
		return
	}
	// Only evidence from this stage counts, and only that of the sidecars that send in it: no other
	// sidecar sends to the zone.
	failing, fine, silent := 0, 0, 0
	m.forEachReport(z, func(n int, report peerReport) {
		if report.record.Gen != z.record.Gen || report.record.Step != z.record.Step || !m.isCanary(z, n) {
			return
		}
		switch report.vote {
		case VoteFailing, VoteCommonCause, VoteCutOff:
			failing++
		case VoteFine:
			fine++
		default: // counted from when this sidecar learned of its stage, which is later than its own
			if m.now-report.heldSince >= m.minStageDuration(z) {
				silent++
			}
		}
	})
	since := z.stageSince
	voted := failing + fine
	switch {
	case failing > 0 && float64(failing) > maxFailingShare*float64(voted):
		if z.record.Fails < 30 {
			z.record.Fails++
		}
		m.stepToStage(z, relapseStage[z.record.Stage], fmt.Sprintf("%d of %d that went first say that it fails", failing, voted))
	case m.now-since < m.minStageDuration(z):
	case fine > 0:
		m.stepToStage(z, nextStage[z.record.Stage], fmt.Sprintf("%d that went first say that it is fine", fine))
	// None of the chosen sidecars has calls, or all are gone.
	case m.now-since >= 4*m.minStageDuration(z) || m.now-since >= 3*m.minStageDuration(z)/2 && silent >= m.canaryCount(z.record.Stage):
		m.stepToStage(z, z.record.Stage, "no canary has evidence; other sidecars become canaries")
	}
}

// isLeftBehind reports whether this sidecar is alone with its stage while most of the peers that it
// hears use the zone. Its record advanced alone, in a partition or by an order that crossed
// another. It is later than those of the peers, so neither side would ever adopt the other's. The
// condition has to hold for longer than reports last, counted from its start or from the last step,
// whichever is earlier, since the sidecar may go on making steps alone.
func (m *Machine) isLeftBehind(z *zone) bool {
	heard, using := 0, 0
	for _, n := range m.recentPeers {
		p := &m.peers[n]
		if !m.hasHeard(p) {
			continue
		}
		heard++
		if w, ok := p.reportOn(z.id); ok && w.record.Stage == StageAll {
			using++
		}
	}
	switch {
	case z.vote == VoteFailing || using < m.requiredVotes() || 2*using <= heard:
		z.leftBehindSince = -1
		return false
	case z.leftBehindSince < 0:
		z.leftBehindSince = m.now
	}
	return m.now-min(z.leftBehindSince, z.stageSince) >= max(heardTimeout, m.minStageDuration(z))
}

// minStageDuration returns the minimum duration of a stage. It grows with relapses, up to
// Config.MaxDwell.
func (m *Machine) minStageDuration(z *zone) time.Duration {
	return min(m.cfg.MinStageDuration<<min(z.record.Fails/2, 6), m.cfg.MaxDwell)
}

// enforceOrder brings a zone to the stage that an operator's order demands.
func (m *Machine) enforceOrder(z *zone) {
	want := z.order.Stage
	if z.order.Action == ActionLeave {
		want = StageOut
	}
	if z.record.Stage == want || want == StageOut && m.isLastZone(z) {
		return
	}
	if z.order.Action == ActionLeave {
		z.record.Gen++
		z.record.Step = 0
	}
	m.stepToStage(z, want, fmt.Sprintf("%s ordered %s: %s", z.order.Who, z.order.Action, z.order.Reason))
}

// usesZone reports whether this sidecar sends to a zone in its current stage.
func (m *Machine) usesZone(z *zone) bool {
	switch z.record.Stage {
	case StageAll, StagePart:
		return !z.leftLocally
	case StageOut:
		return false
	}
	return m.isCanary(z, m.cfg.Self)
}

// UsesZone reports whether this sidecar sends to the named zone. It is true for a zone that is not
// known.
func (m *Machine) UsesZone(name string) bool {
	z := m.findZone(name)
	return z == nil || m.usesZone(z)
}

// IsOpen reports whether the named zone is neither left nor in a stage of its return. It is true for a
// zone that is not known.
func (m *Machine) IsOpen(name string) bool {
	z := m.findZone(name)
	return z == nil || z.record.Stage == StagePart || z.record.Stage == StageAll && !z.leftLocally
}

// HasRoom reports whether a call of the given class may be sent to a zone now. In a return stage it
// enforces the rate limit: the total of all sidecars that send stays below the stage's share of
// what the zone's servers can take, whatever the traffic of a single sidecar.
func (m *Machine) HasRoom(now time.Duration, name string, class int) bool {
	z := m.findZone(name)
	if z == nil {
		return true
	}
	switch z.record.Stage {
	case StageAll:
		return !z.leftLocally
	case StageOut:
		return false
	case StagePart:
		return class >= len(m.cfg.HighWorthClasses) || class < 0 || !m.cfg.HighWorthClasses[class]
	}
	if !m.isCanary(z, m.cfg.Self) {
		return false
	}
	m.refillTokens(z, now)
	return z.tokens >= 1
}

// PreferredZone returns a zone whose return waits for this sidecar's first call in the current
// stage, or "" if there is none. Without it the return would depend on chance: the
// results of a zone's servers before the departure keep them a bad choice for long, and some are
// in no working set.
func (m *Machine) PreferredZone(now time.Duration, repeats bool) string {
	if !repeats { // a call that must not run twice is no test
		return ""
	}
	for _, z := range m.zones {
		if z.record.Stage < StageOneIn64 || z.sentInStage || !m.isCanary(z, m.cfg.Self) || len(z.servers) == 0 {
			continue
		}
		if m.refillTokens(z, now); z.tokens >= 1 {
			return z.name
		}
	}
	return ""
}

// TakeToken takes a token for a call that is sent to a zone for which HasRoom returned true.
func (m *Machine) TakeToken(now time.Duration, name string) {
	if z := m.findZone(name); z != nil && z.record.Stage >= StageOneIn64 {
		m.refillTokens(z, now)
		z.tokens--
		z.sentInStage = true
	}
}

// stageRate returns the rate limit of a zone's stage, in calls per second to all its servers, over
// the whole fleet. In any second, up to two calls more for each sending sidecar are possible.
func (m *Machine) stageRate(z *zone) float64 {
	return sendingShare[z.record.Stage] * m.cfg.ServerCapacity * float64(len(z.servers))
}

// refillTokens adds the tokens earned since the last refill.
func (m *Machine) refillTokens(z *zone, now time.Duration) {
	// Half of a sidecar's share: when notes are late or lost, the sidecars of two steps send at
	// once.
	rate := m.stageRate(z) / float64(m.canaryCount(z.record.Stage)) / 2
	if now > z.refilledAt {
		z.tokens = min(z.tokens+rate*(now-z.refilledAt).Seconds(), max(1, rate/4))
		z.refilledAt = now
	}
}

// SubmitOrder accepts an operator's order. "return" starts the return at once and then leaves it to
// evidence.
func (m *Machine) SubmitOrder(now time.Duration, name string, action string, who, reason string) error {
	z := m.findZone(name)
	if z == nil || len(z.servers) == 0 && z.record == (Record{}) && z.order == (Order{}) {
		return fmt.Errorf("zone %q: %w", name, ErrUnknownZone)
	}
	if who == "" || reason == "" || len(who) > MaxWhoBytes || len(reason) > MaxReasonBytes {
		return ErrOrderText
	}
	m.now = now
	order := Order{Version: z.order.Version + 1, Author: uint16(m.cfg.Self), Who: who, Reason: reason}
	switch action {
	case "leave":
		if m.isLastZone(z) && z.record.Stage != StageOut {
			return fmt.Errorf("zone %q: %w", name, ErrLastZone)
		}
		order.Action = ActionLeave
	case "hold":
		order.Action, order.Stage = ActionHold, z.record.Stage
	case "return", "auto":
		order.Action = ActionAuto
	default:
		return fmt.Errorf("zones: %q is not an order: expected leave, return, hold or auto", action)
	}
	m.setOrder(z, order)
	if action == "return" && z.record.Stage == StageOut {
		z.record.Fails = 0
		m.stepToStage(z, StageOneIn64, fmt.Sprintf("%s ordered its return: %s", who, reason))
	}
	return nil
}

// setOrder replaces the order of a zone by a later one.
func (m *Machine) setOrder(z *zone, o Order) {
	z.order = o
	z.announceUntil = m.now + announcementPeriod
	m.recordChange(z, z.record.Stage.String(), z.record.Stage.String(), fmt.Sprintf("order %d of sidecar %d, %s: %s, %s", o.Version, o.Author, o.Who, o.Action, o.Reason))
	if o.Action != ActionAuto {
		m.enforceOrder(z)
	}
}

// ZoneState is the state of a zone that outlives the process.
type ZoneState struct {
	Zone   string `json:"zone"`
	Record Record `json:"record"`
	Order  Order  `json:"order"`
}

// State returns the state of all zones that were ever left or ordered, sorted by name.
func (m *Machine) State() (all []ZoneState) {
	for _, z := range m.zones {
		if z.record != (Record{}) || z.order != (Order{}) {
			all = append(all, ZoneState{z.name, z.record, z.order})
		}
	}
	return all
}

// RestoreState restores the state that another process of the same sidecar held. Invalid entries
// are skipped and counted.
func (m *Machine) RestoreState(now time.Duration, states []ZoneState) {
	m.now = now
	for _, s := range states {
		if s.Record.Stage >= stageCount || s.Order.Action >= actionCount || s.Order.Stage >= stageCount || len(s.Order.Who) > MaxWhoBytes || len(s.Order.Reason) > MaxReasonBytes {
			m.invalidNotes++
			continue
		}
		z := m.findOrAddZone(s.Zone)
		if z == nil {
			continue
		}
		if s.Record.IsLater(z.record) {
			stage := s.Record.Stage
			s.Record.Stage = z.record.Stage
			z.record = s.Record
			m.enterStage(z, stage, "restored from before the start")
		}
		if s.Order.isLater(z.order) {
			m.setOrder(z, s.Order)
		}
	}
}

// View is the state of a zone as shown to operators.
type View struct {
	Zone        string             `json:"zone"`
	Region      string             `json:"region,omitempty"`
	Stage       string             `json:"stage"`
	InUse       bool               `json:"uses"` // by this sidecar
	Since       time.Duration      `json:"since_ns"`
	Verdict     string             `json:"verdict"` // vote by this sidecar's own evidence
	Failing     int                `json:"failing"` // sidecars that vote that the zone fails
	Fine        int                `json:"fine"`
	Servers     int                `json:"servers"`
	BadRatio    float64            `json:"bad"` // ratio of bad results in this sidecar's recent evidence
	Results     map[string]float64 `json:"kinds"`
	NextStageIn time.Duration      `json:"next_ns"` // earliest time until the next stage; 0: none is due
	StageRate   float64            `json:"pace"`    // rate limit of the fleet, in calls per second; 0: none
	Record      Record             `json:"record"`
	Order       *Order             `json:"order,omitempty"`
	LeftLocally bool               `json:"alone"`
	Changes     []Change           `json:"changes"`
}

// ZoneViews returns the state of all zones at the given time.
func (m *Machine) ZoneViews(now time.Duration) (views []View) {
	m.now = max(now, m.now)
	for _, z := range m.zones {
		evidence := z.evidence(m.now, m.cfg.EvidenceWindow)
		failing, fine := m.countVotes(z)
		view := View{Zone: z.name, Stage: z.record.Stage.String(), InUse: m.usesZone(z), Since: m.now - z.stageSince, Verdict: z.vote.String(), Failing: failing, Fine: fine, Servers: len(z.servers),
			BadRatio: evidence.badRatio, Results: make(map[string]float64), Record: z.record, LeftLocally: z.leftLocally, Changes: slices.Clone(z.changes)}
		for k, count := range z.results.counts {
			if count >= 0.05 {
				view.Results[ResultKind(k).String()] = count
			}
		}
		switch {
		case z.order.Action != ActionAuto:
		case z.record.Stage == StageOut:
			view.NextStageIn = max(0, m.dwellTime(int(z.record.Fails))-view.Since)
		case z.record.Stage >= StageOneIn64:
			view.NextStageIn = max(0, m.minStageDuration(z)-view.Since)
		}
		if z.record.Stage >= StageOneIn64 {
			view.StageRate = m.stageRate(z)
		}
		if z.order != (Order{}) {
			order := z.order
			view.Order = &order
		}
		views = append(views, view)
	}
	return views
}

// RecentPeers returns the number of peers that were heard recently.
func (m *Machine) RecentPeers() (n int) {
	for _, i := range m.recentPeers {
		if m.hasHeard(&m.peers[i]) {
			n++
		}
	}
	return n
}

// NoteErrors returns the numbers of invalid and of outdated notes received.
func (m *Machine) NoteErrors() (invalid, outdated uint64) { return m.invalidNotes, m.outdatedNotes }

// zonesByAnnouncement returns the zones in the order in which notes report them: the most recently
// changed first.
func (m *Machine) zonesByAnnouncement() []*zone {
	sorted := slices.Clone(m.zones)
	slices.SortStableFunc(sorted, func(a, b *zone) int {
		return cmp.Or(-cmp.Compare(a.announceUntil, b.announceUntil), cmp.Compare(a.name, b.name))
	})
	return sorted
}
