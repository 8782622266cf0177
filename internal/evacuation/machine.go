package evacuation

import (
	"cmp"
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
