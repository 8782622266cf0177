package evacuation

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// adopt goes on from the record that enough others hold. It takes the word of several: one
// that lies, or was stopped, moves nobody.
func (m *Machine) adopt(z *zone) {
	var held []Record
	heard, first := 0, 0 // first: members of this stage that have gone one on
	var next Record
	for _, n := range m.lately {
		p := &m.peers[n]
		if !m.fresh(p) {
			continue
		}
		heard++
		if w, ok := p.word(z.id); ok && w.told && w.rec.Later(z.rec) {
			held = append(held, w.rec)
			if z.rec.Stage >= First && w.rec.Gen == z.rec.Gen && w.rec.Step == z.rec.Step+1 && m.member(z, n) {
				first++
				if next == (Record{}) || w.rec.Later(next) {
					next = w.rec
				}
			}
		}
	}
	// Those that go first have seen what the others have not: their word is enough for the
	// next step, one's for a step back.
	if first >= min(m.need(), m.members(z.rec.Stage)) && next.Stage == after[z.rec.Stage] || first > 0 && next.Stage == before[z.rec.Stage] {
		z.rec = Record{next.Gen, next.Step, next.Fails, z.rec.Stage}
		m.enter(z, next.Stage, fmt.Sprintf("%d of those that go first have gone on", first))
		return
	}
	if len(held) == 0 {
		z.rumour = -1
	}
	need := m.needFor(z)
	if m.now-m.woke > m.cfg.Alone { // as many as there are to be heard
		need = max(1, min(need, heard))
	}
	if len(held) < need {
		return
	}
	slices.SortFunc(held, func(a, b Record) int {
		switch {
		case a.Later(b):
			return -1
		case b.Later(a):
			return 1
		}
		return 0
	})
	best := held[need-1] // so many hold this or a later one
	// A stage in which few send is a departure too for one who sends all: the others may be on
	// their way back already.
	departs := z.rec.Stage <= Part && best.Stage >= Out
	if departs && (m.rumoured(z) || (m.well(z) || best.Stage >= First) && 2*len(held) < heard) {
		return // what this one sees well it leaves with the many only
	}
	if (departs || best.Stage == Out) && m.lastLeft(z) && !m.rejoin(z) {
		return
	}
	from := z.rec.Stage
	z.rec = best
	if from == best.Stage {
		z.since = m.now
		return
	}
	to := best.Stage
	z.rec.Stage = from
	m.enter(z, to, fmt.Sprintf("%d others hold it so", len(held)))
}

// rejoin goes back to the zones that this sidecar has left alone, where the fleet leaves the
// last other one; false: there is none. Guards against one that stays with a zone that is lost
// since it alone could not reach the zone that all others are in.
func (m *Machine) rejoin(z *zone) (any bool) {
	for _, o := range m.zones {
		if o != z && o.alone && len(o.servers) > 0 {
			o.alone, any = false, true
			m.note(o, "left alone", "all", "the fleet leaves the last other zone")
		}
	}
	return any
}

// rumoured says that a departure is not followed yet, or not at all: of those that hold the
// zone to be left too few say that it fails now. Guards against a few whose partition has
// ended, whom those that have no calls just now would follow. Who sees the zone well since
// has time to say so. One that has just started takes the fleet's word.
func (m *Machine) rumoured(z *zone) bool {
	if failing, _ := m.voices(z); failing >= m.needFor(z) || m.now-m.woke < heardFor {
		return false
	}
	if z.rumour < 0 {
		z.rumour = m.now
		if z.vote == Fine { // where nobody says that it fails nothing else has this one speak
			z.eager = m.now + eagerFor
		}
	}
	fine := 0
	m.each(z, func(_ int, w word) {
		if w.vote == Fine && w.at >= z.rumour {
			fine++
		}
	})
	return fine >= min(2, m.need()) || m.now-z.rumour < 2*m.cfg.Settle
}

// weight is a sidecar's in the order in which a zone's return goes: those with the most go
// first. It is another one at each step, so that one with a bad link does not hold the return
// up (rendezvous hashing, Thaler and Ravishankar 1998).
func (z *zone) weight(n int) uint64 {
	return mix(uint64(z.id)<<48|uint64(z.rec.Gen&0xffff)<<16|uint64(z.rec.Step), n)
}

func mix(salt uint64, n int) uint64 {
	x := salt ^ uint64(n+1)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// members is how many sidecars go first at a stage.
func (m *Machine) members(s Stage) int {
	return max(1, min(m.cfg.Peers, int(part[s]*float64(m.cfg.Peers)+0.999)))
}

// member says whether a sidecar is one of them. What it takes is worked out once for each
// record: it is asked for each candidate of each call, and of each peer at each tick.
func (m *Machine) member(z *zone, n int) bool {
	if z.firstsOf != z.rec || z.firsts == 0 {
		all := make([]uint64, m.cfg.Peers)
		for i := range all {
			all[i] = z.weight(i)
		}
		slices.Sort(all)
		z.firstsOf, z.firsts = z.rec, max(1, all[len(all)-m.members(z.rec.Stage)])
	}
	return z.weight(n) >= z.firsts
}

// returning goes on with a zone that was left.
func (m *Machine) returning(z *zone) {
	if m.left(z) {
		m.move(z, All, "the others are all back")
		return
	}
	if z.rec.Stage == Out {
		if len(z.servers) > 0 && m.now-z.since >= m.dwell(int(z.rec.Fails)) {
			m.move(z, First, "it has been out for long enough")
		}
		return
	}
	// Only what was seen in this stage counts, and only by those that go first: nobody else
	// sends there.
	failing, fine, mute := 0, 0, 0
	m.each(z, func(n int, w word) {
		if w.rec.Gen != z.rec.Gen || w.rec.Step != z.rec.Step || !m.member(z, n) {
			return
		}
		switch w.vote {
		case Failing, Alike, CutOff:
			failing++
		case Fine:
			fine++
		default: // by how long it is known to be in this stage: it came to it later than this one
			if m.now-w.held >= m.proof(z) {
				mute++
			}
		}
	})
	began := z.since
	spoke := failing + fine
	switch {
	case failing > 0 && float64(failing) > strays*float64(spoke):
		if z.rec.Fails < 30 {
			z.rec.Fails++
		}
		m.move(z, before[z.rec.Stage], fmt.Sprintf("%d of %d that went first say that it fails", failing, spoke))
	case m.now-began < m.proof(z):
	case fine > 0:
		m.move(z, after[z.rec.Stage], fmt.Sprintf("%d that went first say that it is fine", fine))
	case m.now-began >= 4*m.proof(z) || m.now-began >= 3*m.proof(z)/2 && mute >= m.members(z.rec.Stage): // those that went first have no calls, or are gone
		m.move(z, z.rec.Stage, "nobody of those that went first has seen it; others go")
	}
}

// left says that this one is alone with its stage: most of those that are heard use the
// zone. Guards against one whose record went on alone, in a partition or by an order that
// crossed another: it is later than theirs, so it would never take theirs, nor they its. That
// has to hold for longer than words last, or since its last step, whichever is sooner: it may go
// on making steps alone.
func (m *Machine) left(z *zone) bool {
	heard, back := 0, 0
	for _, n := range m.lately {
		p := &m.peers[n]
		if !m.fresh(p) {
			continue
		}
		heard++
		if w, ok := p.word(z.id); ok && w.rec.Stage == All {
			back++
		}
	}
	switch {
	case z.vote == Failing || back < m.need() || 2*back <= heard:
		z.others = -1
		return false
	case z.others < 0:
		z.others = m.now
	}
	return m.now-min(z.others, z.since) >= max(heardFor, m.proof(z))
}

// proof is how long a stage lasts at least: longer after relapses, up to the dwell's bound.
func (m *Machine) proof(z *zone) time.Duration {
	return min(m.cfg.Proof<<min(z.rec.Fails/2, 6), m.cfg.DwellMost)
}

// obey holds what an operator has ordered.
func (m *Machine) obey(z *zone) {
	want := z.order.Stage
	if z.order.Action == Leave {
		want = Out
	}
	if z.rec.Stage == want || want == Out && m.lastLeft(z) {
		return
	}
	if z.order.Action == Leave {
		z.rec.Gen++
		z.rec.Step = 0
	}
	m.move(z, want, fmt.Sprintf("%s ordered %s: %s", z.order.Who, z.order.Action, z.order.Reason))
}

// uses says whether this sidecar sends to a zone at all now.
func (m *Machine) uses(z *zone) bool {
	switch z.rec.Stage {
	case All, Part:
		return !z.alone
	case Out:
		return false
	}
	return m.member(z, m.cfg.Self)
}

// Uses says whether this sidecar sends to a zone at all. What is not known it uses.
func (m *Machine) Uses(name string) bool {
	z := m.named(name)
	return z == nil || m.uses(z)
}

// Room says whether a call of a class may go to a zone now. In a stage of return it keeps
// the pace: the sum over all sidecars that go first stays under what the stage's part of
// the zone's servers bears, whatever the traffic of one.
func (m *Machine) Room(now time.Duration, name string, class int) bool {
	z := m.named(name)
	if z == nil {
		return true
	}
	switch z.rec.Stage {
	case All:
		return !z.alone
	case Out:
		return false
	case Part:
		return class >= len(m.cfg.Dear) || class < 0 || !m.cfg.Dear[class]
	}
	if !m.member(z, m.cfg.Self) {
		return false
	}
	m.refill(z, now)
	return z.room >= 1
}

// Due is a zone whose return waits for this sidecar's first call to it in this stage; empty:
// there is none. Guards against a return that waits for chance: what a zone's servers met
// before it was left makes them the worse choice for long, and some are in no working set.
func (m *Machine) Due(now time.Duration, repeats bool) string {
	if !repeats { // what may not run twice tests nothing
		return ""
	}
	for _, z := range m.zones {
		if z.rec.Stage < First || z.tried || !m.member(z, m.cfg.Self) || len(z.servers) == 0 {
			continue
		}
		if m.refill(z, now); z.room >= 1 {
			return z.name
		}
	}
	return ""
}

// Booked says that a call goes to a zone for which Room was.
func (m *Machine) Booked(now time.Duration, name string) {
	if z := m.named(name); z != nil && z.rec.Stage >= First {
		m.refill(z, now)
		z.room--
		z.tried = true
	}
}

// Pace is how many sends a second to all servers of a zone a stage allows, as the sum over
// the fleet. In any second two calls more for each sidecar that goes first may come.
func (m *Machine) pace(z *zone) float64 {
	return part[z.rec.Stage] * m.cfg.Bears * float64(len(z.servers))
}

func (m *Machine) refill(z *zone, now time.Duration) {
	// Half of a member's part: notes are late or lost, and then those of two steps go at once.
	rate := m.pace(z) / float64(m.members(z.rec.Stage)) / 2
	if now > z.roomAt {
		z.room = min(z.room+rate*(now-z.roomAt).Seconds(), max(1, rate/4))
		z.roomAt = now
	}
}

// Order takes an operator's. Return begins the return in stages at once, and leaves it to
// evidence from then on.
func (m *Machine) Order(now time.Duration, name string, action string, who, reason string) error {
	z := m.named(name)
	if z == nil || len(z.servers) == 0 && z.rec == (Record{}) && z.order == (Order{}) {
		return fmt.Errorf("zone %q: %w", name, ErrZone)
	}
	if who == "" || reason == "" || len(who) > WhoMost || len(reason) > ReasonMost {
		return ErrText
	}
	m.now = now
	o := Order{Version: z.order.Version + 1, Author: uint16(m.cfg.Self), Who: who, Reason: reason}
	switch action {
	case "leave":
		if m.lastLeft(z) && z.rec.Stage != Out {
			return fmt.Errorf("zone %q: %w", name, ErrLast)
		}
		o.Action = Leave
	case "hold":
		o.Action, o.Stage = Hold, z.rec.Stage
	case "return", "auto":
		o.Action = Auto
	default:
		return fmt.Errorf("zones: %q is no order: leave, return, hold or auto", action)
	}
	m.ordered(z, o)
	if action == "return" && z.rec.Stage == Out {
		z.rec.Fails = 0
		m.move(z, First, fmt.Sprintf("%s ordered its return: %s", who, reason))
	}
	return nil
}

// ordered takes an order that is later than the one held.
func (m *Machine) ordered(z *zone, o Order) {
	z.order = o
	z.eager = m.now + eagerFor
	m.note(z, z.rec.Stage.String(), z.rec.Stage.String(), fmt.Sprintf("order %d of sidecar %d, %s: %s, %s", o.Version, o.Author, o.Who, o.Action, o.Reason))
	if o.Action != Auto {
		m.obey(z)
	}
}

// ZoneState is what is held of a zone: what outlives a process.
type ZoneState struct {
	Zone   string `json:"zone"`
	Record Record `json:"record"`
	Order  Order  `json:"order"`
}

// State is what is held of all zones that were ever left or ordered, by name.
func (m *Machine) State() (all []ZoneState) {
	for _, z := range m.zones {
		if z.rec != (Record{}) || z.order != (Order{}) {
			all = append(all, ZoneState{z.name, z.rec, z.order})
		}
	}
	return all
}

// Adopt goes on from what another process of the same sidecar held. What makes no sense is
// left out.
func (m *Machine) Adopt(now time.Duration, all []ZoneState) {
	m.now = now
	for _, s := range all {
		if s.Record.Stage >= stages || s.Order.Action >= actions || s.Order.Stage >= stages || len(s.Order.Who) > WhoMost || len(s.Order.Reason) > ReasonMost {
			m.strange++
			continue
		}
		z := m.zone(s.Zone)
		if z == nil {
			continue
		}
		if s.Record.Later(z.rec) {
			to := s.Record.Stage
			s.Record.Stage = z.rec.Stage
			z.rec = s.Record
			m.enter(z, to, "held before the start")
		}
		if s.Order.later(z.order) {
			m.ordered(z, s.Order)
		}
	}
}

// View is a zone for operators.
type View struct {
	Zone    string             `json:"zone"`
	Region  string             `json:"region,omitempty"`
	Stage   string             `json:"stage"`
	Uses    bool               `json:"uses"` // this sidecar
	Since   time.Duration      `json:"since_ns"`
	Verdict string             `json:"verdict"` // by this sidecar's own evidence
	Failing int                `json:"failing"` // sidecars that say so
	Fine    int                `json:"fine"`
	Servers int                `json:"servers"`
	Bad     float64            `json:"bad"` // part of what this sidecar saw lately
	Kinds   map[string]float64 `json:"kinds"`
	Next    time.Duration      `json:"next_ns"` // until the next stage at the earliest; 0: none is due
	Pace    float64            `json:"pace"`    // sends a second of the fleet; 0: no bound
	Record  Record             `json:"record"`
	Order   *Order             `json:"order,omitempty"`
	Alone   bool               `json:"alone"`
	Changes []Change           `json:"changes"`
}

// View is what is held and seen of all zones.
func (m *Machine) View(now time.Duration) (all []View) {
	m.now = max(now, m.now)
	for _, z := range m.zones {
		o := z.opinion(m.now, m.cfg.Window)
		failing, fine := m.voices(z)
		v := View{Zone: z.name, Stage: z.rec.Stage.String(), Uses: m.uses(z), Since: m.now - z.since, Verdict: z.vote.String(), Failing: failing, Fine: fine, Servers: len(z.servers),
			Bad: o.ratio, Kinds: make(map[string]float64), Record: z.rec, Alone: z.alone, Changes: slices.Clone(z.changes)}
		for k, x := range z.counts.n {
			if x >= 0.05 {
				v.Kinds[Kind(k).String()] = x
			}
		}
		switch {
		case z.order.Action != Auto:
		case z.rec.Stage == Out:
			v.Next = max(0, m.dwell(int(z.rec.Fails))-v.Since)
		case z.rec.Stage >= First:
			v.Next = max(0, m.proof(z)-v.Since)
		}
		if z.rec.Stage >= First {
			v.Pace = m.pace(z)
		}
		if z.order != (Order{}) {
			order := z.order
			v.Order = &order
		}
		all = append(all, v)
	}
	return all
}

// Heard is how many other sidecars were heard lately.
func (m *Machine) Heard() (n int) {
	for _, i := range m.lately {
		if m.fresh(&m.peers[i]) {
			n++
		}
	}
	return n
}

// Counts are notes that made no sense, and that came out of turn.
func (m *Machine) Counts() (strange, old uint64) { return m.strange, m.old }

// sortedZones are the zones in the order in which they are told: what is news first.
func (m *Machine) sortedZones() []*zone {
	all := slices.Clone(m.zones)
	slices.SortStableFunc(all, func(a, b *zone) int {
		return cmp.Or(-cmp.Compare(a.eager, b.eager), cmp.Compare(a.name, b.name))
	})
	return all
}
