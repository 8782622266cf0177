package evacuation

import (
	"encoding/binary"
	"slices"
	"time"
)

// A note's part for zones: a version, the number of its sender, a count of its notes, its
// own clock, how many zones, and for each what the sender votes, by how old evidence, the
// record that it holds and the order. The newest order's texts follow.
const (
	noteVersion = 1
	headLen     = 1 + 2 + 4 + 4 + 1 + 1
	zoneLen     = 2 + 1 + 1 + 4 + 2 + 1 + 4 + 2 + 1
	zonesIn     = 8 // in one note; more take turns
	ageUnit     = 20 * time.Millisecond
	ageMost     = 255
	hello       = 1 // flag: answer me
)

// RoomLeast is the length of a note's part of one zone, in bytes; more is used as it is
// there.
const RoomLeast = headLen + zoneLen + 1

// Note is this sidecar's part of a note, room bytes at most; nil where it has nothing to
// say, or no room.
func (m *Machine) Note(now time.Duration, room int) []byte {
	if room < RoomLeast || len(m.zones) == 0 {
		return nil
	}
	m.seq++
	flags := byte(0)
	if m.ticked > 0 && now-m.ticked < stoppedFor && m.greets(now) {
		flags |= hello
	}
	all := m.sortedZones()
	all = all[:min(len(all), zonesIn, (room-headLen-1)/zoneLen)]
	b := make([]byte, 0, room)
	b = append(b, noteVersion)
	b = binary.BigEndian.AppendUint16(b, uint16(m.cfg.Self))
	b = binary.BigEndian.AppendUint32(b, m.seq)
	b = binary.BigEndian.AppendUint32(b, uint32(now/time.Millisecond))
	b = append(b, flags, byte(len(all)))
	var newest *zone
	for _, z := range all {
		b = binary.BigEndian.AppendUint16(b, uint16(z.id))
		age := min((max(now-m.sawAt(z), 0)+ageUnit-1)/ageUnit, ageMost) // never newer than it is
		b = append(b, byte(z.vote), byte(age))
		b = binary.BigEndian.AppendUint32(b, z.rec.Gen)
		b = binary.BigEndian.AppendUint16(b, z.rec.Step)
		b = append(b, byte(z.rec.Stage)<<5|min(z.rec.Fails, 31))
		b = binary.BigEndian.AppendUint32(b, z.order.Version)
		b = binary.BigEndian.AppendUint16(b, z.order.Author)
		b = append(b, byte(z.order.Action)<<5|byte(z.order.Stage))
		if z.order.Version > 0 && (newest == nil || z.eager > newest.eager) {
			newest = z
		}
	}
	if newest != nil && len(b)+4+len(newest.order.Who)+len(newest.order.Reason) <= room {
		b = binary.BigEndian.AppendUint16(b, uint16(newest.id))
		b = append(b, byte(len(newest.order.Who)), byte(len(newest.order.Reason)))
		b = append(b, newest.order.Who...)
		b = append(b, newest.order.Reason...)
	}
	return b
}

// greets says that this one has heard of too few to know what the fleet holds.
func (m *Machine) greets(now time.Duration) bool {
	return m.cfg.Peers > 1 && m.Heard() < m.need() && m.hellos(now)
}

// hellos says that it started, or went on, a short time ago.
func (m *Machine) hellos(now time.Duration) bool { return now-m.woke < 3*time.Second }

// Receive takes the part of a note that another sidecar sent, of the number that the note
// itself tells, in its incarnation inc. What
// makes no sense is counted and dropped, and nothing else changes.
func (m *Machine) Receive(now time.Duration, from int, inc uint64, b []byte) (out Wants) {
	m.now = max(now, m.now)
	n, ok := parse(b)
	if !ok || int(n.from) != from || from >= m.cfg.Peers || from == m.cfg.Self {
		m.strange++
		return out
	}
	p := &m.peers[n.from]
	if m.fresh(p) && (inc < p.inc || inc == p.inc && int32(n.seq-p.seq) <= 0) {
		m.old++
		return out
	}
	if inc != p.inc { // a new start, also of one whose clock was set back meanwhile
		*p = peer{inc: inc, at: -1, lately: p.lately}
	}
	if !p.lately {
		p.lately, m.lately = true, append(m.lately, from)
	}
	// A note may have been held up on its way: by how much it is later than the quickest of
	// its sender's, what it tells is older.
	offset := uint32(now.Milliseconds()) - n.sent // both wrap
	if p.clocked > 0 {                            // clocks may drift apart, by driftMost
		if grown := uint32(float64(max(now-p.clocked, 0)/time.Millisecond) * driftMost); grown > 0 {
			p.quickest, p.clocked = p.quickest+grown, now
		}
	}
	if p.clocked == 0 || int32(offset-p.quickest) < 0 {
		p.quickest, p.clocked = offset, now
	}
	late := time.Duration(offset-p.quickest) * time.Millisecond
	p.seq, p.at = n.seq, now-late
	before := *p
	p.words = make([]word, 0, len(n.zones))
	news, soon := false, false // soon: what it says is looked at before the next tick is due
	for _, t := range n.zones {
		w := word{id: t.id, vote: t.vote, at: now - late - t.age, rec: t.rec, told: true, held: now}
		if old, ok := before.word(t.id); ok && old.rec == t.rec {
			w.held = old.held
		}
		p.words = append(slices.DeleteFunc(p.words, func(x word) bool { return x.id == t.id }), w)
		z := m.byID[t.id]
		if z == nil {
			continue
		}
		left := t.rec.Stage == Out && z.rec.Stage <= Part && t.rec.Later(z.rec)
		soon = soon || t.vote == Failing || left
		if (t.vote == Failing || left) && z.vote == Fine && m.now-z.goodSent < m.cfg.Window {
			// One that sees it well says so at once, first to the one that does not.
			z.eager = max(z.eager, m.now+eagerFor)
			news = news || z.goodSent >= now-late-t.age+m.margin(z)
		}
		if t.order.later(z.order) {
			if n.text && n.texted == t.id {
				t.order.Who, t.order.Reason = n.who, n.reason
			} else {
				t.order.Who, t.order.Reason = "somebody", "not told yet"
			}
			m.ordered(z, t.order)
			news = true
		} else if n.text && n.texted == t.id && t.order.Version == z.order.Version && t.order.Author == z.order.Author && z.order.Reason != n.reason && z.order.Who == "somebody" {
			z.order.Who, z.order.Reason = n.who, n.reason
		}
	}
	if n.flags&hello != 0 {
		out.To = append(out.To, int(n.from))
	} else if news && m.answers < answersMost {
		m.answers++
		out.To = append(out.To, int(n.from))
	}
	if soon && now-m.ticked >= soonest && now-m.ticked <= stoppedFor {
		to := out.To
		out = m.Tick(now)
		out.To = to
		return out
	}
	out.Changes, m.log = m.log, nil
	out.Moved = len(out.Changes) > 0
	return out
}

// soonest is the least time between two looks at what is due.
const soonest = 10 * time.Millisecond

// driftMost is how far two clocks may drift apart, as a share of the time.
const driftMost = 0.01

// answersMost bounds the answers to peers that hold something older, between two ticks.
const answersMost = 4

type told struct {
	id    ZoneID
	vote  Vote
	age   time.Duration
	rec   Record
	order Order
}

type noted struct {
	from        uint16
	seq, sent   uint32
	flags       byte
	zones       []told
	text        bool // an order's texts follow, of texted
	texted      ZoneID
	who, reason string
}

// parse reads a note's part; it accepts nothing that Note would not write.
func parse(b []byte) (n noted, ok bool) {
	if len(b) < headLen || b[0] != noteVersion {
		return n, false
	}
	n.from, n.seq, n.sent, n.flags = binary.BigEndian.Uint16(b[1:]), binary.BigEndian.Uint32(b[3:]), binary.BigEndian.Uint32(b[7:]), b[11]
	count := int(b[12])
	b = b[headLen:]
	if count > zonesIn || len(b) < count*zoneLen || n.flags&^hello != 0 {
		return n, false
	}
	for range count {
		t := told{id: ZoneID(binary.BigEndian.Uint16(b)), vote: Vote(b[2]), age: time.Duration(b[3]) * ageUnit,
			rec:   Record{Gen: binary.BigEndian.Uint32(b[4:]), Step: binary.BigEndian.Uint16(b[8:]), Stage: Stage(b[10] >> 5), Fails: b[10] & 31},
			order: Order{Version: binary.BigEndian.Uint32(b[11:]), Author: binary.BigEndian.Uint16(b[15:]), Action: Action(b[17] >> 5), Stage: Stage(b[17] & 31)}}
		if t.vote >= votes || t.rec.Stage >= stages || t.order.Action >= actions || t.order.Stage >= stages {
			return n, false
		}
		n.zones = append(n.zones, t)
		b = b[zoneLen:]
	}
	if len(b) == 0 {
		return n, true
	}
	if len(b) < 4 || int(b[2]) > WhoMost || int(b[3]) > ReasonMost || len(b) != 4+int(b[2])+int(b[3]) {
		return n, false
	}
	n.text, n.texted = true, ZoneID(binary.BigEndian.Uint16(b))
	n.who, n.reason = string(b[4:4+b[2]]), string(b[4+b[2]:])
	return n, true
}
