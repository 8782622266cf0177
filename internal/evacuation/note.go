package evacuation

import (
	"encoding/binary"
	"slices"
	"time"
)

// The part of a note on zones starts with the format version, the sender's number, its sequence
// number, its clock, flags and the number of zones. Each zone's entry has the sender's vote, the
// age of the evidence behind it, the sender's record and its order. The texts of the most recently
// announced order follow.
const (
	noteVersion  = 1
	headerLen    = 1 + 2 + 4 + 4 + 1 + 1
	zoneEntryLen = 2 + 1 + 1 + 4 + 2 + 1 + 4 + 2 + 1
	maxNoteZones = 8 // per note; zones that were announced last come first
	ageUnit      = 20 * time.Millisecond
	maxAge       = 255
	flagHello    = 1 // flag: the sender asks for a reply
)

// MinNoteBytes is the length of a note's part with one zone, in bytes. With more bytes the
// part holds more zones.
const MinNoteBytes = headerLen + zoneEntryLen + 1

// EncodeNote returns this sidecar's part of a note, at most maxBytes long. It returns nil if
// maxBytes is below MinNoteBytes or no zone is known.
func (m *Machine) EncodeNote(now time.Duration, maxBytes int) []byte {
	if maxBytes < MinNoteBytes || len(m.zones) == 0 {
		return nil
	}
	m.lastSeq++
	flags := byte(0)
	if m.lastTick > 0 && now-m.lastTick < suspensionThreshold && m.needsHello(now) {
		flags |= flagHello
	}
	zones := m.zonesByAnnouncement()
	zones = zones[:min(len(zones), maxNoteZones, (maxBytes-headerLen-1)/zoneEntryLen)]
	buf := make([]byte, 0, maxBytes)
	buf = append(buf, noteVersion)
	buf = binary.BigEndian.AppendUint16(buf, uint16(m.cfg.Self))
	buf = binary.BigEndian.AppendUint32(buf, m.lastSeq)
	buf = binary.BigEndian.AppendUint32(buf, uint32(now/time.Millisecond))
	buf = append(buf, flags, byte(len(zones)))
	var newest *zone
	for _, z := range zones {
		buf = binary.BigEndian.AppendUint16(buf, uint16(z.id))
		age := min((max(now-m.evidenceTime(z), 0)+ageUnit-1)/ageUnit, maxAge) // rounded up, so that evidence never looks newer than it is
		buf = append(buf, byte(z.vote), byte(age))
		buf = binary.BigEndian.AppendUint32(buf, z.record.Gen)
		buf = binary.BigEndian.AppendUint16(buf, z.record.Step)
		buf = append(buf, byte(z.record.Stage)<<5|min(z.record.Fails, 31))
		buf = binary.BigEndian.AppendUint32(buf, z.order.Version)
		buf = binary.BigEndian.AppendUint16(buf, z.order.Author)
		buf = append(buf, byte(z.order.Action)<<5|byte(z.order.Stage))
		if z.order.Version > 0 && (newest == nil || z.announceUntil > newest.announceUntil) {
			newest = z
		}
	}
	if newest != nil && len(buf)+4+len(newest.order.Who)+len(newest.order.Reason) <= maxBytes {
		buf = binary.BigEndian.AppendUint16(buf, uint16(newest.id))
		buf = append(buf, byte(len(newest.order.Who)), byte(len(newest.order.Reason)))
		buf = append(buf, newest.order.Who...)
		buf = append(buf, newest.order.Reason...)
	}
	return buf
}

// needsHello reports whether this sidecar has just started and has heard too few peers to know the
// records of the fleet.
func (m *Machine) needsHello(now time.Duration) bool {
	return m.cfg.Peers > 1 && m.RecentPeers() < m.requiredVotes() && m.hasJustResumed(now)
}

// hasJustResumed reports whether the process started or resumed a short time ago.
func (m *Machine) hasJustResumed(now time.Duration) bool { return now-m.resumedAt < 3*time.Second }

// ReceiveNote handles the part of a note from the sidecar with number from, in incarnation inc.
// Both come from the note itself. An invalid part is counted and dropped without any other effect.
func (m *Machine) ReceiveNote(now time.Duration, from int, inc uint64, part []byte) (out Output) {
	m.now = max(now, m.now)
	note, ok := parseNote(part)
	if !ok || int(note.from) != from || from >= m.cfg.Peers || from == m.cfg.Self {
		m.invalidNotes++
		return out
	}
	p := &m.peers[note.from]
	if m.hasHeard(p) && (inc < p.incarnation || inc == p.incarnation && int32(note.seq-p.seq) <= 0) {
		m.outdatedNotes++
		return out
	}
	if inc != p.incarnation { // a restarted peer, even if its clock was set back
		*p = peer{incarnation: inc, heardAt: -1, isRecent: p.isRecent}
	}
	if !p.isRecent {
		p.isRecent, m.recentPeers = true, append(m.recentPeers, from)
	}
	// A note may have been delayed in transit. Its delay beyond that of the sender's fastest note
	// is added to the age of its content.
	offset := uint32(now.Milliseconds()) - note.sentMs // both wrap around
	if p.minClockOffsetAt > 0 {                        // the clocks may drift apart by maxClockDrift
		if drift := uint32(float64(max(now-p.minClockOffsetAt, 0)/time.Millisecond) * maxClockDrift); drift > 0 {
			p.minClockOffsetMs, p.minClockOffsetAt = p.minClockOffsetMs+drift, now
		}
	}
	if p.minClockOffsetAt == 0 || int32(offset-p.minClockOffsetMs) < 0 {
		p.minClockOffsetMs, p.minClockOffsetAt = offset, now
	}
	delay := time.Duration(offset-p.minClockOffsetMs) * time.Millisecond
	p.seq, p.heardAt = note.seq, now-delay
	before := *p
	p.reports = make([]peerReport, 0, len(note.zones))
	replyDue, urgent := false, false // urgent: evaluate the note before the next tick is due
	for _, entry := range note.zones {
		report := peerReport{zoneID: entry.id, vote: entry.vote, evidenceAt: now - delay - entry.age, record: entry.record, hasRecord: true, heldSince: now}
		if previous, ok := before.reportOn(entry.id); ok && previous.record == entry.record {
			report.heldSince = previous.heldSince
		}
		p.reports = append(slices.DeleteFunc(p.reports, func(x peerReport) bool { return x.zoneID == entry.id }), report)
		z := m.zonesByID[entry.id]
		if z == nil {
			continue
		}
		leaves := entry.record.Stage == StageOut && z.record.Stage <= StagePart && entry.record.IsLater(z.record)
		urgent = urgent || entry.vote == VoteFailing || leaves
		if (entry.vote == VoteFailing || leaves) && z.vote == VoteFine && m.now-z.lastGoodSent < m.cfg.EvidenceWindow {
			// A sidecar that sees the zone work says so at once, first to the peer that does not.
			z.announceUntil = max(z.announceUntil, m.now+announcementPeriod)
			replyDue = replyDue || z.lastGoodSent >= now-delay-entry.age+m.contradictionMargin(z)
		}
		if entry.order.isLater(z.order) {
			if note.hasText && note.textZone == entry.id {
				entry.order.Who, entry.order.Reason = note.who, note.reason
			} else {
				entry.order.Who, entry.order.Reason = "somebody", "not told yet"
			}
			m.setOrder(z, entry.order)
			replyDue = true
		} else if note.hasText && note.textZone == entry.id && entry.order.Version == z.order.Version && entry.order.Author == z.order.Author && z.order.Reason != note.reason && z.order.Who == "somebody" {
			z.order.Who, z.order.Reason = note.who, note.reason
		}
	}
	if note.flags&flagHello != 0 {
		out.Recipients = append(out.Recipients, int(note.from))
	} else if replyDue && m.repliesSinceTick < maxReplies {
		m.repliesSinceTick++
		out.Recipients = append(out.Recipients, int(note.from))
	}
	if urgent && now-m.lastTick >= minEvaluationInterval && now-m.lastTick <= suspensionThreshold {
		to := out.Recipients
		out = m.Tick(now)
		out.Recipients = to
		return out
	}
	out.Changes, m.pendingChanges = m.pendingChanges, nil
	out.UsesChanged = len(out.Changes) > 0
	return out
}

// minEvaluationInterval is the minimum time between two evaluations.
const minEvaluationInterval = 10 * time.Millisecond

// maxClockDrift is the assumed maximum drift between two clocks, as a share of the elapsed time.
const maxClockDrift = 0.01

// maxReplies limits the replies between two ticks to peers that hold older state.
const maxReplies = 4

// zoneEntry is the entry of a zone in a note.
type zoneEntry struct {
	id     ZoneID
	vote   Vote
	age    time.Duration
	record Record
	order  Order
}

// parsedNote is a decoded part of a note.
type parsedNote struct {
	from        uint16
	seq, sentMs uint32
	flags       byte
	zones       []zoneEntry
	hasText     bool // the texts of an order for textZone follow the entries
	textZone    ZoneID
	who, reason string
}

// parseNote decodes a note's part. It accepts only what EncodeNote can write.
func parseNote(b []byte) (note parsedNote, ok bool) {
	if len(b) < headerLen || b[0] != noteVersion {
		return note, false
	}
	note.from, note.seq, note.sentMs, note.flags = binary.BigEndian.Uint16(b[1:]), binary.BigEndian.Uint32(b[3:]), binary.BigEndian.Uint32(b[7:]), b[11]
	count := int(b[12])
	b = b[headerLen:]
	if count > maxNoteZones || len(b) < count*zoneEntryLen || note.flags&^flagHello != 0 {
		return note, false
	}
	for range count {
		entry := zoneEntry{id: ZoneID(binary.BigEndian.Uint16(b)), vote: Vote(b[2]), age: time.Duration(b[3]) * ageUnit,
			record: Record{Gen: binary.BigEndian.Uint32(b[4:]), Step: binary.BigEndian.Uint16(b[8:]), Stage: Stage(b[10] >> 5), Fails: b[10] & 31},
			order:  Order{Version: binary.BigEndian.Uint32(b[11:]), Author: binary.BigEndian.Uint16(b[15:]), Action: Action(b[17] >> 5), Stage: Stage(b[17] & 31)}}
		if entry.vote >= voteCount || entry.record.Stage >= stageCount || entry.order.Action >= actionCount || entry.order.Stage >= stageCount {
			return note, false
		}
		note.zones = append(note.zones, entry)
		b = b[zoneEntryLen:]
	}
	if len(b) == 0 {
		return note, true
	}
	if len(b) < 4 || int(b[2]) > MaxWhoBytes || int(b[3]) > MaxReasonBytes || len(b) != 4+int(b[2])+int(b[3]) {
		return note, false
	}
	note.hasText, note.textZone = true, ZoneID(binary.BigEndian.Uint16(b))
	note.who, note.reason = string(b[4:4+b[2]]), string(b[4+b[2]:])
	return note, true
}
