package evacuation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// suspensionThreshold is the gap between two ticks above which the process or the machine must
	// have been suspended. Evidence from before such a gap says nothing about the present.
	suspensionThreshold = time.Second
	// heardTimeout is how long the last report of a peer counts. It is longer than a round of
	// notes.
	heardTimeout = 4 * time.Second
	// announcementPeriod is how long a change is announced at each tick.
	announcementPeriod = 400 * time.Millisecond
	// Tick intervals while no zone is suspected, and while one is.
	idleTickInterval   = 100 * time.Millisecond
	activeTickInterval = 40 * time.Millisecond
	// relapseResetDelay is how long a zone has to stay at StageAll until its relapses are
	// forgotten.
	relapseResetDelay = 2 * time.Minute
	// maxFailingShare is the share of failing votes, among the voting sidecars of a return stage,
	// above which the stage has failed.
	maxFailingShare = 0.25
)

// peerReport is the latest report of a peer on a zone.
type peerReport struct {
	zoneID     ZoneID
	vote       Vote
	evidenceAt time.Duration // of the evidence behind vote
	record     Record
	hasRecord  bool          // the peer sent a record
	heldSince  time.Duration // since when the peer is known to hold record
}

// peer is the state of another sidecar as known to this one.
type peer struct {
	incarnation uint64
	seq         uint32
	heardAt     time.Duration // when it was last heard from; negative: never
	reports     []peerReport  // at most maxNoteZones zones, each once
	isRecent    bool          // listed in Machine.recentPeers
	// minClockOffsetMs is the minimum, over the peer's notes, of the local clock minus the peer's
	// clock, in milliseconds. The excess of a later note over it is that note's delay.
	minClockOffsetMs uint32
	minClockOffsetAt time.Duration // when minClockOffsetMs was last lowered or raised; 0: never
}

// reportOn returns the peer's report on a zone. It searches linearly: a peer reports on few zones,
// and this runs for each peer and zone at each tick.
func (p *peer) reportOn(id ZoneID) (w peerReport, ok bool) {
	for n := range p.reports {
		if p.reports[n].zoneID == id {
			return p.reports[n], true
		}
	}
	return w, false
}

// zone is the state of a zone.
type zone struct {
	name          string
	id            ZoneID
	servers       []*server
	responseTimes decayingMean
	results       resultCounts
	// Send times of the last attempt that succeeded and of the first attempt that has failed since;
	// negative: none.
	lastGoodSent, firstBadSent time.Duration
	lastBadSent                time.Duration // send time of the last attempt that failed; negative: none
	// lastFailingAt is when the evidence was last bad enough for a vote of VoteFailing or
	// VoteCommonCause; negative: never.
	lastFailingAt       time.Duration
	stageGood, stageBad int  // results of attempts sent in the current return stage
	sentInStage         bool // this sidecar has sent to the zone in this stage

	record     Record
	stageSince time.Duration // when the current stage began
	order      Order
	vote       Vote
	// unconfirmedSince is since when enough peers hold a record that leaves the zone while too few
	// vote that it fails; negative: not the case.
	unconfirmedSince time.Duration
	// suspectSince is the time of the earliest evidence behind a vote that the zone fails;
	// negative: no such vote.
	suspectSince time.Duration
	// departureDueSince is since when the votes suffice to leave the zone; negative: they don't.
	departureDueSince time.Duration
	// locallyFailingSince is since when this sidecar sees the zone fail while the fleet does not
	// leave it; negative: not the case.
	locallyFailingSince time.Duration
	leftLocally         bool          // left by this sidecar only
	localRetryAt        time.Duration // when a zone left by this sidecar only is used again
	localDepartures     int           // consecutive departures of this sidecar only
	// leftBehindSince is since when most of the peers heard use the zone while this sidecar does
	// not; negative: not the case.
	leftBehindSince time.Duration
	announceUntil   time.Duration // until when changes are announced at each tick
	tokens          float64       // tokens left for sends in a return stage
	refilledAt      time.Duration
	// minCanaryWeight is the least weight of the sidecars that send in the current stage, computed
	// for minCanaryWeightRecord; 0: not computed yet.
	minCanaryWeight       uint64
	minCanaryWeightRecord Record
	changes               []Change // at most the last maxChanges
}

// maxChanges is the number of changes kept for each zone.
const maxChanges = 32

// Change is a stage change of a zone, as shown to operators.
type Change struct {
	At     time.Duration `json:"at_ns"`
	Zone   string        `json:"zone"`
	From   string        `json:"from"`
	To     string        `json:"to"`
	Reason string        `json:"why"`
}

// Machine decides for one sidecar which zones it uses. It is not safe for concurrent use. The times
// passed to its methods must not decrease.
type Machine struct {
	cfg              Config
	rng              *rand.Rand
	now              time.Duration
	lastTick         time.Duration
	zones            []*zone // sorted by name
	zonesByID        map[ZoneID]*zone
	servers          map[string]*server
	openAttempts     map[uint64]attempt
	lastTicket       uint64
	peers            []peer
	recentPeers      []int // indices of the peers that were heard recently
	lastSeq          uint32
	resumedAt        time.Duration // when the process started or resumed after a suspension
	repliesSinceTick int           // replies since the last tick
	lastAnnouncement time.Duration // when peers were last notified of a change
	helloPending     bool          // the next tick asks peers for the records of the fleet
	pendingChanges   []Change
	invalidNotes     uint64 // invalid notes received
	outdatedNotes    uint64 // duplicate or outdated notes received
}

// New returns a Machine that uses all zones. It returns an error if cfg is invalid.
func New(cfg Config) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), zonesByID: make(map[ZoneID]*zone), servers: make(map[string]*server), openAttempts: make(map[uint64]attempt), peers: make([]peer, cfg.Peers), helloPending: cfg.Peers > 1}
	for n := range m.peers {
		m.peers[n].heardAt = -1
	}
	return m, nil
}

// Server is a server that takes calls.
type Server struct{ Name, Zone string }

// SetServers replaces the list of servers. The state of a zone is kept while none of its servers is
// listed, since it may return with others.
func (m *Machine) SetServers(now time.Duration, list []Server) {
	m.now = now
	old := m.servers
	m.servers = make(map[string]*server, len(list))
	for _, z := range m.zones {
		z.servers = nil
	}
	for _, s := range list[:min(len(list), MaxServers)] {
		z := m.findOrAddZone(s.Zone)
		if z == nil {
			continue
		}
		known := old[s.Name]
		if known == nil || known.zone != z {
			known = &server{name: s.Name, zone: z, lastResultAt: -1}
		}
		m.servers[s.Name] = known
		z.servers = append(z.servers, known)
	}
}

// findOrAddZone returns the state of the named zone, which it creates if needed. It returns nil if
// there are too many zones or if the ID collides with that of another zone; such a zone is always
// used.
func (m *Machine) findOrAddZone(name string) *zone {
	id := HashZoneName(name)
	if z := m.zonesByID[id]; z != nil {
		if z.name != name {
			return nil
		}
		return z
	}
	if len(m.zones) >= MaxZones {
		return nil
	}
	z := &zone{name: name, id: id, departureDueSince: -1, locallyFailingSince: -1, lastGoodSent: -1, firstBadSent: -1, lastBadSent: -1, lastFailingAt: -1, stageSince: m.now, suspectSince: -1, unconfirmedSince: -1, leftBehindSince: -1, refilledAt: m.now}
	m.zonesByID[id] = z
	m.zones = append(m.zones, z)
	slices.SortFunc(m.zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return z
}

// findZone returns the state of the named zone, or nil if the zone is not known.
func (m *Machine) findZone(name string) *zone {
	if z := m.zonesByID[HashZoneName(name)]; z != nil && z.name == name {
		return z
	}
	return nil
}

// Output lists what the owner of a Machine has to do after a call.
type Output struct {
	RandomNotes      int           // number of notes to send now, to randomly chosen peers
	Recipients       []int         // peers to send a note to now, by number
	Changes          []Change      // stage changes to log
	HopelessAttempts []uint64      // tickets of attempts that are not worth waiting for
	NextTick         time.Duration // longest time until the next call of Tick; 0: unchanged
	UsesChanged      bool          // the result of UsesZone has changed for a zone
}

// Tick evaluates the evidence, votes and timers of all zones.
func (m *Machine) Tick(now time.Duration) (out Output) {
	if m.lastTick > 0 && now-m.lastTick > suspensionThreshold {
		m.resetAfterSuspension(now)
	}
	if m.lastTick == 0 {
		m.resumedAt = now
	}
	m.now, m.lastTick, m.repliesSinceTick = max(now, m.now), now, 0
	m.dropPeerReports(func(p *peer) bool { return now-p.heardAt >= max(heardTimeout, 2*m.cfg.EvidenceWindow) })
	m.recordOverdueAttempts()
	usesBefore := m.zoneUses()
	for _, z := range m.zones {
		m.updateVote(z)
		m.adoptPeerRecord(z)
		if z.order.Action != ActionAuto {
			m.enforceOrder(z)
			continue
		}
		switch z.record.Stage {
		case StageAll, StagePart:
			m.evaluateDeparture(z)
		default:
			m.advanceReturn(z)
		}
	}
	if m.helloPending { // asks once: peers reply to the note of a sidecar that has just started
		m.helloPending = false
		out.RandomNotes = m.cfg.Fanout
	}
	out.NextTick = idleTickInterval
	due := now-m.lastAnnouncement >= activeTickInterval
	for _, z := range m.zones {
		switch {
		case now < z.announceUntil && due:
			out.RandomNotes = m.cfg.Fanout
		case z.record.Stage >= StageOneIn64 && due && m.isCanary(z, m.cfg.Self): // the other sidecars wait for its result
			out.RandomNotes = max(out.RandomNotes, 1)
		}
		if z.suspectSince >= 0 || now < z.announceUntil {
			out.NextTick = activeTickInterval
		}
	}
	if out.RandomNotes > 0 {
		m.lastAnnouncement = now
	}
	out.HopelessAttempts = m.takeHopelessAttempts()
	out.Changes, m.pendingChanges = m.pendingChanges, nil
	out.UsesChanged = !slices.Equal(usesBefore, m.zoneUses())
	return out
}

// zoneUses returns the result of UsesZone for each zone, in the order of m.zones.
func (m *Machine) zoneUses() (all []bool) {
	for _, z := range m.zones {
		all = append(all, m.usesZone(z))
	}
	return all
}

// dropPeerReports discards the reports of all peers for which isStale returns true. It visits only
// the peers that were heard recently, which are few whatever the size of the fleet.
func (m *Machine) dropPeerReports(isStale func(p *peer) bool) {
	m.recentPeers = slices.DeleteFunc(m.recentPeers, func(n int) bool {
		p := &m.peers[n]
		if !isStale(p) {
			return false
		}
		p.isRecent, p.reports, p.heardAt = false, nil, -1
		return true
	})
}

// resetAfterSuspension discards all evidence and reports after a suspension of the process. It
// restarts the time of each stage, so that no stage ends by the time spent suspended, and asks
// peers for the records of the fleet.
func (m *Machine) resetAfterSuspension(now time.Duration) {
	clear(m.openAttempts)
	m.resumedAt = now
	for _, s := range m.servers {
		s.lastResultAt = -1
	}
	m.dropPeerReports(func(*peer) bool { return true })
	for _, z := range m.zones {
		z.vote, z.suspectSince, z.unconfirmedSince, z.departureDueSince, z.locallyFailingSince, z.stageSince = VoteUnknown, -1, -1, -1, -1, now
		z.lastGoodSent, z.firstBadSent, z.lastBadSent, z.lastFailingAt, z.stageGood, z.stageBad = -1, -1, -1, -1, 0, 0
		if z.leftLocally {
			z.localRetryAt = now
		}
	}
	m.helloPending = m.cfg.Peers > 1
}

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

// hasHeard reports whether a peer was heard recently.
func (m *Machine) hasHeard(p *peer) bool { return p.heardAt >= 0 && m.now-p.heardAt < heardTimeout }

// forEachReport calls do with the report of each sidecar, including this one, whose evidence on a
// zone is within the window.
func (m *Machine) forEachReport(z *zone, do func(n int, w peerReport)) {
	for _, n := range m.recentPeers {
		p := &m.peers[n]
		if w, ok := p.reportOn(z.id); ok && m.now-p.heardAt < 2*m.cfg.EvidenceWindow && (w.vote == VoteFailing || m.now-w.evidenceAt < 2*m.cfg.EvidenceWindow) {
			do(n, w)
		}
	}
	do(m.cfg.Self, peerReport{vote: z.vote, evidenceAt: m.evidenceTime(z), record: z.record, heldSince: z.stageSince})
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
			m.stepToStage(z, StageAll, "it is fine again")
		}
		return
	}
	if z.departureDueSince < 0 {
		z.departureDueSince = m.now
	}
	if m.now-z.departureDueSince < m.cfg.SettleDelay {
		return // peers have time to contradict
	}
	why := fmt.Sprintf("%d say that it fails, %d speak against that", failing, against)
	// If the other zones already refuse calls, or can't carry all of them, and this zone still
	// serves some, only the calls of classes in Config.HighWorthClasses move.
	refused, carried := m.refusalShareElsewhere(z), m.capacityWithout(z)
	if (refused > m.cfg.MaxRefusalShare || carried < 1) && z.isServing() {
		if z.record.Stage == StageAll {
			m.stepToStage(z, StagePart, fmt.Sprintf("%s; the others turn away %.0f%% and carry %.0f%%", why, 100*refused, 100*carried))
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
		why := "nobody else has said so"
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

// recordChange adds a change to the zone's history and to the next Output.
func (m *Machine) recordChange(z *zone, from, to, why string) {
	c := Change{m.now, z.name, from, to, why}
	m.pendingChanges = append(m.pendingChanges, c)
	if z.changes = append(z.changes, c); len(z.changes) > maxChanges {
		z.changes = z.changes[1:]
	}
}

// enterStage sets the stage of a zone without advancing the step of its record.
func (m *Machine) enterStage(z *zone, s Stage, why string) {
	from := z.record.Stage
	if from <= StagePart || s <= StagePart {
		z.leftBehindSince = -1
	}
	z.record.Stage, z.stageSince, z.departureDueSince = s, m.now, -1
	z.announceUntil = m.now + announcementPeriod
	z.tokens, z.refilledAt, z.leftLocally = 1, m.now, false // one call may be sent at once, since the stage is there to test the zone
	z.stageGood, z.stageBad, z.sentInStage = 0, 0, false
	m.recordChange(z, from.String(), s.String(), why)
}

// stepToStage sets the stage of a zone and advances the step of its record.
func (m *Machine) stepToStage(z *zone, s Stage, why string) {
	if z.record.Step < math.MaxUint16 {
		z.record.Step++
	}
	m.enterStage(z, s, why)
}
