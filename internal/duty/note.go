// Package duty divides the probing of servers among sidecars, which exchange findings in
// short notes. It has no I/O, clock or goroutines.
//
// Membership follows SWIM (Das, Gupta, Motivala, DSN 2002): direct and indirect pings,
// suspicion before death, and incarnation numbers against outdated updates. The sidecars that
// watch a server are chosen by rendezvous hashing (Thaler and Ravishankar 1998). Probing does
// not depend on a consistent view: a sidecar further down in a server's order takes over when
// the latest finding of the server is older than its rank allows.
package duty

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// MaxNoteBytes is the maximum length of an encoded note, in bytes.
const MaxNoteBytes = 256

const (
	noteVersion = 1
	// payloadVersion marks notes with a payload: its length and bytes follow the findings.
	payloadVersion = 2
	headerBytes    = 1 + 1 + 4 + 8 + 4 + 4 + 4 + 1 + 1
	updateBytes    = 4 + 8 + 1
	findingBytes   = 4 + 2
	tagBytes       = 12
	maxUpdates     = 6
	ageUnit        = 100 * time.Millisecond
	maxAgeUnits    = 1<<13 - 1
)

// Kind is the purpose of a note.
type Kind uint8

const (
	Gossip      Kind = iota // only carries updates and findings
	Ping                    // requests an Ack
	Ack                     // answers the Ping of the same Seq, for its sender or for Target
	PingRequest             // requests that the receiver ping Target
	kindCount
)

// ID identifies a sidecar or a server by a hash of its name. Collisions among sidecars are
// detected by Config.Validate, which knows all their names.
type ID uint32

// IDOf returns the ID of a name.
func IDOf(name string) ID {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	return ID(x ^ x>>32)
}

// State is the result of a probe.
type State uint8

const (
	Answering State = iota
	Slow
	Refusing
	Silent
	stateCount
)

var stateNames = [...]string{"answering", "slow", "refusing", "silent"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// PeerState is the state of a sidecar as known to others. Higher values override lower ones of the
// same incarnation.
type PeerState uint8

const (
	Alive PeerState = iota
	Suspect
	Dead
	peerStateCount
)

// String returns the name of the state.
func (s PeerState) String() string { return [...]string{"alive", "suspected", "dead"}[s] }

// Update is a membership update: the state of one incarnation of a sidecar.
type Update struct {
	ID          ID
	Incarnation uint64
	State       PeerState
}

// Finding is the last known state of a server, and the time since the probe that found it.
type Finding struct {
	Server ID
	State  State
	Age    time.Duration
}

// Note is a message from one sidecar to another.
type Note struct {
	Kind        Kind
	From        ID
	Incarnation uint64 // incarnation of the sender: grows with each start and to refute a suspicion
	Seq         uint32 // number of a Ping, and of its Ack
	Target      ID     // target of a PingRequest, or of an Ack on behalf of another sidecar; 0: none
	SentMillis  uint32 // time of sending, in milliseconds of the sender's clock, modulo 2^32
	Updates     []Update
	Findings    []Finding
	Payload     []byte // payload of another package; empty: none
}

// MaxPayloadBytes is the maximum length of a payload, in bytes; it leaves space for findings.
const MaxPayloadBytes = 150

// Errors of Parse. They are not reported to the sender of the note.
var (
	ErrMalformed = errors.New("duty: malformed note")
	ErrTag       = errors.New("duty: note with an invalid authentication tag")
)

// MaxFindings returns the number of findings that fit into a note beside the given number of
// updates.
func MaxFindings(updates int, tagged bool) int { return freeBytes(updates, tagged) / findingBytes }

// freeBytes returns the number of bytes left in a note beside the given number of updates.
func freeBytes(updates int, tagged bool) int {
	free := MaxNoteBytes - headerBytes - updates*updateBytes
	if tagged {
		free -= tagBytes
	}
	return free
}

// maxFindings returns the number of findings that fit into the note.
func (n *Note) maxFindings(tagged bool) int {
	free := freeBytes(min(len(n.Updates), maxUpdates), tagged)
	if len(n.Payload) > 0 {
		free -= 1 + len(n.Payload)
	}
	return max(0, free/findingBytes)
}

// Append appends the encoded note to b, with an authentication tag if key is not empty. Updates
// and findings that do not fit are omitted; callers must not pass so many.
func (n *Note) Append(b []byte, key []byte) []byte {
	start := len(b)
	updates := n.Updates[:min(len(n.Updates), maxUpdates)]
	findings := n.Findings[:min(len(n.Findings), n.maxFindings(len(key) > 0))]
	version := byte(noteVersion)
	if len(n.Payload) > 0 {
		version = payloadVersion
	}
	b = append(b, version, byte(n.Kind))
	b = binary.BigEndian.AppendUint32(b, uint32(n.From))
	b = binary.BigEndian.AppendUint64(b, n.Incarnation)
	b = binary.BigEndian.AppendUint32(b, n.Seq)
	b = binary.BigEndian.AppendUint32(b, uint32(n.Target))
	b = binary.BigEndian.AppendUint32(b, n.SentMillis)
	b = append(b, byte(len(updates)), byte(len(findings)))
	for _, update := range updates {
		b = binary.BigEndian.AppendUint32(b, uint32(update.ID))
		b = binary.BigEndian.AppendUint64(b, update.Incarnation)
		b = append(b, byte(update.State))
	}
	for _, finding := range findings {
		b = binary.BigEndian.AppendUint32(b, uint32(finding.Server))
		age := min(max((finding.Age+ageUnit-1)/ageUnit, 0), maxAgeUnits) // rounded up, so that a finding never appears newer
		b = binary.BigEndian.AppendUint16(b, uint16(finding.State)<<13|uint16(age))
	}
	if len(n.Payload) > 0 {
		b = append(append(b, byte(len(n.Payload))), n.Payload...)
	}
	if len(key) > 0 {
		b = append(b, computeTag(b[start:], key)...)
	}
	return b
}

// computeTag returns the truncated HMAC-SHA256 of b.
func computeTag(b, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(b)
	return mac.Sum(nil)[:tagBytes]
}

// Parse decodes a note. With a key, the tag is verified before anything else is read. It
// returns ErrMalformed or ErrTag.
func Parse(b, key []byte) (*Note, error) {
	if len(b) > MaxNoteBytes || len(b) < headerBytes {
		return nil, ErrMalformed
	}
	if len(key) > 0 {
		tagStart := len(b) - tagBytes
		if tagStart < headerBytes || !hmac.Equal(computeTag(b[:tagStart], key), b[tagStart:]) {
			return nil, ErrTag
		}
		b = b[:tagStart]
	}
	if b[0] != noteVersion && b[0] != payloadVersion || b[1] >= byte(kindCount) {
		return nil, ErrMalformed
	}
	note := &Note{Kind: Kind(b[1]), From: ID(binary.BigEndian.Uint32(b[2:])), Incarnation: binary.BigEndian.Uint64(b[6:]), Seq: binary.BigEndian.Uint32(b[14:]), Target: ID(binary.BigEndian.Uint32(b[18:])), SentMillis: binary.BigEndian.Uint32(b[22:])}
	updateCount, findingCount := int(b[26]), int(b[27])
	size := headerBytes + updateCount*updateBytes + findingCount*findingBytes
	if updateCount > maxUpdates || len(b) < size {
		return nil, ErrMalformed
	}
	switch payload := b[size:]; {
	case b[0] == noteVersion && len(payload) > 0, b[0] == payloadVersion && (len(payload) < 2 || len(payload) > MaxPayloadBytes+1 || int(payload[0]) != len(payload)-1):
		return nil, ErrMalformed
	case b[0] == payloadVersion:
		note.Payload = payload[1:]
	}
	b = b[headerBytes:]
	for range updateCount {
		update := Update{ID(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint64(b[4:]), PeerState(b[12])}
		if update.State >= peerStateCount {
			return nil, ErrMalformed
		}
		note.Updates, b = append(note.Updates, update), b[updateBytes:]
	}
	for range findingCount {
		x := binary.BigEndian.Uint16(b[4:])
		finding := Finding{ID(binary.BigEndian.Uint32(b)), State(x >> 13), time.Duration(x&maxAgeUnits) * ageUnit}
		if finding.State >= stateCount {
			return nil, ErrMalformed
		}
		note.Findings, b = append(note.Findings, finding), b[findingBytes:]
	}
	return note, nil
}
