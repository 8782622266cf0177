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
	// stoppedFor between two ticks says that the process was stopped, or the machine slept:
	// what it saw before tells nothing of now.
	stoppedFor = time.Second
	// heardFor is how long the last word of a peer counts; longer than a note's round.
	heardFor = 4 * time.Second
	// eagerFor is how long what is new is told at each tick.
	eagerFor = 400 * time.Millisecond
	// Between ticks, while nothing is suspected and while something is.
	quietTick = 100 * time.Millisecond
	busyTick  = 40 * time.Millisecond
	// calmFor at All forgets the relapses.
	calmFor = 2 * time.Minute
	// strays is how much of a stage's members may say that it fails, of those that speak.
	strays = 0.25
)

// word is what a peer said last of a zone.
type word struct {
	id   ZoneID
	vote Vote
	at   time.Duration // of its evidence
	rec  Record
	told bool          // a record came
	held time.Duration // since when it is known to hold rec
}

type peer struct {
	inc    uint64
	seq    uint32
	at     time.Duration // when heard last; below 0: never
	words  []word        // of zonesIn zones at the most, each once
	lately bool          // it is in Machine.lately
	// quickest is the least of our time less the peer's, in milliseconds, of its notes:
	// what a later one is above it, it was late.
	quickest uint32
	clocked  time.Duration // when it was last that, or was let grow; 0: never
}

// word is what it said of a zone. A search: it says few, and this is asked for each peer and
// zone at each tick.
func (p *peer) word(id ZoneID) (w word, ok bool) {
	for n := range p.words {
		if p.words[n].id == id {
			return p.words[n], true
		}
	}
	return w, false
}

// zone is what is held of one.
type zone struct {
	name    string
	id      ZoneID
	servers []*server
	took    mean
	counts  seen
	// When the last attempt was sent that was answered well, and the first of those that
	// were not since; below 0: none.
	goodSent, badSent   time.Duration
	badLast             time.Duration // when the last that was not was sent; below 0: none
	ill                 time.Duration // when so much was bad last that it fails, or fails like all; below 0: never
	stageGood, stageBad int           // of what was sent in a stage of return
	tried               bool          // this one has sent there in this stage

	rec     Record
	since   time.Duration // of rec
	order   Order
	vote    Vote
	rumour  time.Duration // since when enough hold it to be left, of whom too few see it fail; below 0: they don't
	suspect time.Duration // when the first of those that say it fails saw so; below 0: nobody does
	wanted  time.Duration // since when its departure has been called for; below 0: it is not
	doubted time.Duration // since when this one alone has seen it fail
	alone   bool          // left by this one alone
	trial   time.Duration // when an alone one tries again
	spells  int           // of leaving alone
	others  time.Duration // since when most of those heard use it, while this one does not; below 0: they don't
	eager   time.Duration // until when it is news
	room    float64       // of the pace
	roomAt  time.Duration
	// The least weight of those that go first, by the record that it was worked out for; 0:
	// not yet.
	firsts   uint64
	firstsOf Record
	changes  []Change // the last changesMost
}

// changesMost bounds what is remembered of a zone's changes.
const changesMost = 32

// Change is one that operators may see.
type Change struct {
	At   time.Duration `json:"at_ns"`
	Zone string        `json:"zone"`
	From string        `json:"from"`
	To   string        `json:"to"`
	Why  string        `json:"why"`
}

// Machine is one sidecar's part. One owner calls its methods in turn, with a time that
// never goes back.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	ticked  time.Duration
	zones   []*zone // by name
	byID    map[ZoneID]*zone
	servers map[string]*server
	open    map[uint64]attempt
	ticket  uint64
	peers   []peer
	lately  []int // the peers that were heard of late
	seq     uint32
	woke    time.Duration // when it started, or went on after a stop
	answers int           // since the last tick
	told    time.Duration // when peers were last told at once
	hello   bool          // it has just started and asks what the fleet holds
	log     []Change
	strange uint64 // notes that made no sense
	old     uint64 // that came out of turn
}

// New returns a Machine that holds all zones to be in use.
func New(cfg Config) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self))), byID: make(map[ZoneID]*zone), servers: make(map[string]*server), open: make(map[uint64]attempt), peers: make([]peer, cfg.Peers), hello: cfg.Peers > 1}
	for n := range m.peers {
		m.peers[n].at = -1
	}
	return m, nil
}

// Server is one on the list that serves.
type Server struct{ Name, Zone string }

// Servers takes the list. What is held of a zone stays while none of its servers is listed:
// it may come back with others.
func (m *Machine) Servers(now time.Duration, list []Server) {
	m.now = now
	old := m.servers
	m.servers = make(map[string]*server, len(list))
	for _, z := range m.zones {
		z.servers = nil
	}
	for _, s := range list[:min(len(list), ServersMost)] {
		z := m.zone(s.Zone)
		if z == nil {
			continue
		}
		x := old[s.Name]
		if x == nil || x.zone != z {
			x = &server{name: s.Name, zone: z, at: -1}
		}
		m.servers[s.Name] = x
		z.servers = append(z.servers, x)
	}
}

// zone finds or begins one; nil where there are too many, or its id is another's: such a
// zone is never left.
func (m *Machine) zone(name string) *zone {
	id := IDOf(name)
	if z := m.byID[id]; z != nil {
		if z.name != name {
			return nil
		}
		return z
	}
	if len(m.zones) >= ZonesMost {
		return nil
	}
	z := &zone{name: name, id: id, wanted: -1, doubted: -1, goodSent: -1, badSent: -1, badLast: -1, ill: -1, since: m.now, suspect: -1, rumour: -1, others: -1, roomAt: m.now}
	m.byID[id] = z
	m.zones = append(m.zones, z)
	slices.SortFunc(m.zones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return z
}

func (m *Machine) named(name string) *zone {
	if z := m.byID[IDOf(name)]; z != nil && z.name == name {
		return z
	}
	return nil
}

// Wants is what a Machine wants done.
type Wants struct {
	Tell    int           // so many peers are to be told now, drawn
	To      []int         // and these, by number
	Changes []Change      // for the log
	Lost    []uint64      // attempts that are not worth waiting for, by their tickets
	Next    time.Duration // until the next Tick, at the latest; 0: as it was
	Moved   bool          // what Uses says of some zone has changed
}

// Tick looks at what is due.
func (m *Machine) Tick(now time.Duration) (out Wants) {
	if m.ticked > 0 && now-m.ticked > stoppedFor {
		m.forget(now)
	}
	if m.ticked == 0 {
		m.woke = now
	}
	m.now, m.ticked, m.answers = max(now, m.now), now, 0
	m.drop(func(p *peer) bool { return now-p.at >= max(heardFor, 2*m.cfg.Window) })
	m.overdue()
	uses := m.using()
	for _, z := range m.zones {
		m.opine(z)
		m.adopt(z)
		if z.order.Action != Auto {
			m.obey(z)
			continue
		}
		switch z.rec.Stage {
		case All, Part:
			m.judge(z)
		default:
			m.returning(z)
		}
	}
	if m.hello { // once: whoever hears of a new start answers
		m.hello = false
		out.Tell = m.cfg.Spread
	}
	out.Next = quietTick
	due := now-m.told >= busyTick
	for _, z := range m.zones {
		switch {
		case now < z.eager && due:
			out.Tell = m.cfg.Spread
		case z.rec.Stage >= First && due && m.member(z, m.cfg.Self): // what it sees the others wait for
			out.Tell = max(out.Tell, 1)
		}
		if z.suspect >= 0 || now < z.eager {
			out.Next = busyTick
		}
	}
	if out.Tell > 0 {
		m.told = now
	}
	out.Lost = m.hopeless()
	out.Changes, m.log = m.log, nil
	out.Moved = !slices.Equal(uses, m.using())
	return out
}

// using is what Uses says of each zone.
func (m *Machine) using() (all []bool) {
	for _, z := range m.zones {
		all = append(all, m.uses(z))
	}
	return all
}

// drop forgets what some of the peers said. What is looked at at each tick are those heard of
// late, a few, however many there are.
func (m *Machine) drop(old func(p *peer) bool) {
	m.lately = slices.DeleteFunc(m.lately, func(n int) bool {
		p := &m.peers[n]
		if !old(p) {
			return false
		}
		p.lately, p.words, p.at = false, nil, -1
		return true
	})
}

// forget is for a process that was stopped: it has nothing to say of what it saw, waits
// for no end of a stage that has long passed, and asks what the fleet holds now.
func (m *Machine) forget(now time.Duration) {
	clear(m.open)
	m.woke = now
	for _, s := range m.servers {
		s.at = -1
	}
	m.drop(func(*peer) bool { return true })
	for _, z := range m.zones {
		z.vote, z.suspect, z.rumour, z.wanted, z.doubted, z.since = None, -1, -1, -1, -1, now
		z.goodSent, z.badSent, z.badLast, z.ill, z.stageGood, z.stageBad = -1, -1, -1, -1, 0, 0
		if z.alone {
			z.trial = now
		}
	}
	m.hello = m.cfg.Peers > 1
}

func (m *Machine) opine(z *zone) {
	m.suspects(z)
	v := m.vote(z)
	if v == Failing && z.badSent >= 0 && (z.suspect < 0 || z.badSent < z.suspect) {
		z.suspect = z.badSent
	}
	if failing, against := m.voices(z); v == Failing && z.rec.Stage == All && against >= m.need() && against > failing {
		v = CutOff
	}
	if v != z.vote {
		z.vote = v
		if v == Failing || v == Fine && z.suspect >= 0 {
			z.eager = m.now + eagerFor
		}
	}
}

// need is how many sidecars' word it takes.
func (m *Machine) need() int { return max(1, min(m.cfg.Witnesses, (m.cfg.Peers+1)/2)) }

// needFor is how many it takes for a zone: where most of its region is out already, anybody's.
func (m *Machine) needFor(z *zone) int {
	region := m.cfg.Regions[z.name]
	if region == "" {
		return m.need()
	}
	all, out := 0, 0
	for _, o := range m.zones {
		if m.cfg.Regions[o.name] != region || len(o.servers) == 0 {
			continue
		}
		if all++; o != z && o.rec.Stage == Out && o.order.Action == Auto {
			out++
		}
	}
	if 2*out > all {
		return 1
	}
	return m.need()
}

// fresh says that a peer was heard lately.
func (m *Machine) fresh(p *peer) bool { return p.at >= 0 && m.now-p.at < heardFor }

// each calls do with what each sidecar says of a zone, this one too, by evidence within
// the window.
func (m *Machine) each(z *zone, do func(n int, w word)) {
	for _, n := range m.lately {
		p := &m.peers[n]
		if w, ok := p.word(z.id); ok && m.now-p.at < 2*m.cfg.Window && (w.vote == Failing || m.now-w.at < 2*m.cfg.Window) {
			do(n, w)
		}
	}
	do(m.cfg.Self, word{vote: z.vote, at: m.sawAt(z), rec: z.rec, held: z.since})
}

// sawAt is of when what this sidecar votes by is: of a zone that is fine, when the last
// attempt was sent that was answered well, of one that fails, the first that was not.
func (m *Machine) sawAt(z *zone) time.Duration {
	switch {
	case z.vote == Fine && z.goodSent >= 0:
		return z.goodSent
	case z.vote == Failing && z.badSent >= 0:
		return z.badSent
	}
	return m.ticked
}

// voices counts who says that a zone fails, and who speaks against that: it is fine, or
// what it meets it meets everywhere. Each counts once. What was seen before anybody saw the
// zone fail speaks against nothing.
func (m *Machine) voices(z *zone) (failing, against int) {
	m.each(z, func(_ int, w word) {
		switch {
		case w.vote == Failing:
			failing++
		case w.vote == Alike, w.vote == Fine && w.at >= z.suspect+m.margin(z):
			against++ // what was sent as it began to fail may just have been answered
		}
	})
	return failing, against
}

// margin is how much later than the first that failed an attempt must have been sent to
// speak against that: of those that were out together some are answered before.
func (m *Machine) margin(z *zone) time.Duration {
	return min(max(50*time.Millisecond, time.Duration(2*z.took.value())), m.cfg.Silence/2)
}

// suspects keeps since when anybody says that a zone fails.
func (m *Machine) suspects(z *zone) {
	first := time.Duration(-1)
	m.each(z, func(_ int, w word) {
		if w.vote == Failing && (first < 0 || w.at < first) {
			first = max(w.at, 0)
		}
	})
	if first < 0 || z.suspect < 0 {
		z.suspect = first
	}
}

// well says that this sidecar has seen a zone answer since anybody saw it fail.
func (m *Machine) well(z *zone) bool {
	return z.vote == Fine && z.goodSent >= z.suspect+m.margin(z)
}

// lastLeft says that no other zone is in use that has a server.
func (m *Machine) lastLeft(z *zone) bool {
	for _, o := range m.zones {
		if o != z && len(o.servers) > 0 && !o.alone && (o.rec.Stage == All || o.rec.Stage == Part) && o.order.Action != Leave {
			return false
		}
	}
	return true
}

// judge decides whether a zone in use is left.
func (m *Machine) judge(z *zone) {
	if z.rec.Fails > 0 && m.now-z.since > calmFor {
		z.rec.Fails = 0
	}
	m.alone(z)
	failing, against := m.voices(z)
	// One that sees it well may err. Where two do it is no failing zone, but a cut between
	// some and it, and these leave alone.
	called := failing >= m.needFor(z) && against < min(2, m.need()) && float64(failing) >= m.cfg.Share*float64(failing+against) && (z.vote == Failing || z.vote == Limping) && !m.lastLeft(z)
	if !called {
		z.wanted = -1
		if z.rec.Stage == Part && z.vote == Fine && m.now-z.since > m.cfg.Dwell {
			m.move(z, All, "it is fine again")
		}
		return
	}
	if z.wanted < 0 {
		z.wanted = m.now
	}
	if m.now-z.wanted < m.cfg.Settle {
		return // others have time to contradict
	}
	why := fmt.Sprintf("%d say that it fails, %d speak against that", failing, against)
	// What the others can carry: where they refuse already, and this one still serves some,
	// only what is dear goes there.
	elsewhere, carried := m.refusals(z), m.carried(z)
	if (elsewhere > m.cfg.Full || carried < 1) && z.serves() {
		if z.rec.Stage == All {
			m.move(z, Part, fmt.Sprintf("%s; the others turn away %.0f%% and carry %.0f%%", why, 100*elsewhere, 100*carried))
		}
		return
	}
	z.rec = Record{Gen: z.rec.Gen + 1, Fails: z.rec.Fails, Stage: z.rec.Stage}
	m.enter(z, Out, why)
}

// serves says that a zone has served some calls of late, over a longer time than an opinion
// looks at: a few bad ones in a row must not pass for all.
func (z *zone) serves() bool {
	all := 0.0
	for _, x := range z.counts.n {
		all += x
	}
	return z.counts.n[Good] > 0.03*(all-z.counts.n[Full])
}

// carried is what share of the calls the others carry without a zone, by the plan; 1 where
// there is none.
func (m *Machine) carried(z *zone) float64 {
	if share, ok := m.cfg.Carried[z.name]; ok {
		return share
	}
	return 1
}

// refusals is the share of answers elsewhere that turned calls away.
func (m *Machine) refusals(z *zone) (share float64) {
	n := 0.0
	for _, o := range m.zones {
		if o != z && o.rec.Stage == All {
			share += o.opinion(m.now, m.cfg.Window).full
			n++
		}
	}
	return share / max(n, 1)
}

// alone is for what this one sees and the fleet does not: it leaves by itself, says so to
// nobody as the zone's fault, and tries again after a while.
func (m *Machine) alone(z *zone) {
	switch {
	case z.alone && (z.vote == Fine || z.vote == None && m.now >= z.trial):
		if z.vote == Fine {
			z.spells = 0
		}
		z.alone = false
		m.note(z, "left alone", "all", "a trial is due")
	case z.alone:
	case (z.vote == Limping || z.vote == None) && !m.lastLeft(z): // the doubt stays until it is well
	case z.vote != CutOff && z.vote != Failing || m.lastLeft(z):
		z.doubted = -1
	case z.doubted < 0:
		z.doubted = m.now
	case m.now-z.doubted >= m.cfg.Alone:
		z.alone, z.doubted = true, -1
		z.trial = m.now + m.dwell(z.spells)
		z.spells = min(z.spells+1, 30)
		why := "nobody else has said so"
		if z.vote == CutOff {
			why = "this sidecar is cut off from it"
		}
		m.note(z, "all", "left alone", why)
	}
}

// dwell is how long a zone stays out after so many relapses.
func (m *Machine) dwell(fails int) time.Duration {
	d := m.cfg.Dwell << min(fails, 20)
	if d > m.cfg.DwellMost || d <= 0 {
		return m.cfg.DwellMost
	}
	return d
}

func (m *Machine) note(z *zone, from, to, why string) {
	c := Change{m.now, z.name, from, to, why}
	m.log = append(m.log, c)
	if z.changes = append(z.changes, c); len(z.changes) > changesMost {
		z.changes = z.changes[1:]
	}
}

// enter goes to a stage without a step of its own.
func (m *Machine) enter(z *zone, s Stage, why string) {
	from := z.rec.Stage
	if from <= Part || s <= Part {
		z.others = -1
	}
	z.rec.Stage, z.since, z.wanted = s, m.now, -1
	z.eager = m.now + eagerFor
	z.room, z.roomAt, z.alone = 1, m.now, false // one call may go at once: it is what the stage is for
	z.stageGood, z.stageBad, z.tried = 0, 0, false
	m.note(z, from.String(), s.String(), why)
}

// move goes to a stage by a step.
func (m *Machine) move(z *zone, s Stage, why string) {
	if z.rec.Step < math.MaxUint16 {
		z.rec.Step++
	}
	m.enter(z, s, why)
}
