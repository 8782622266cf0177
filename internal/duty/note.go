// Package duty divides the probing of nodes among sidecars that tell one another by short
// notes what they found. It has no I/O, clock or goroutines.
//
// Who is there is judged as in SWIM (Das, Gupta, Motivala, DSN 2002): direct and indirect
// signs, suspicion before death, incarnation numbers against old news. Who watches a node
// is told by rendezvous hashing (Thaler and Ravishankar 1998). Nothing about a node's
// watching depends on all having the same view: who stands further down in a node's order
// takes over when what is known of the node has grown old for its place.
package duty

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// NoteMost is the length of a note, in bytes.
const NoteMost = 256

const (
	noteVersion = 1
	// partVersion is of notes that carry a part of somebody else's: behind the findings its
	// length, and the part.
	partVersion = 2
	headLen     = 1 + 1 + 4 + 8 + 4 + 4 + 4 + 1 + 1
	newsLen     = 4 + 8 + 1
	foundLen    = 4 + 2
	tagLen      = 12
	newsMost    = 6
	ageUnit     = 100 * time.Millisecond
	ageMost     = 1<<13 - 1
)

// Kind is what a note is for.
type Kind uint8

const (
	Tell Kind = iota // findings and news, no more
	Ping             // answer me
	Ack              // of a Ping with this number, about its sender or Whom
	Ask              // ping Whom for me
	kinds
)

// ID names a sidecar or a node: a hash of its name. Names whose hashes are the same are
// found at the start, where all names are known.
type ID uint32

// IDOf is a name's.
func IDOf(name string) ID {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	return ID(x ^ x>>32)
}

// State is what a probe found.
type State uint8

const (
	Answering State = iota
	Slow
	Refusing
	Silent
	states
)

var stateWords = [...]string{"answering", "slow", "refusing", "silent"}

// String is the state's name.
func (s State) String() string { return stateWords[s] }

// Life is what is said of a sidecar.
type Life uint8

const (
	Alive Life = iota
	Suspect
	Dead
	lives
)

// String is the word for it.
func (l Life) String() string { return [...]string{"alive", "suspected", "dead"}[l] }

// News is what is said of one sidecar, at one of its incarnations.
type News struct {
	Who  ID
	Inc  uint64
	Life Life
}

// Found is what is known of a node, and how long ago it was seen.
type Found struct {
	Node  ID
	State State
	Age   time.Duration
}

// Note is what one sidecar sends another.
type Note struct {
	Kind  Kind
	From  ID
	Inc   uint64 // of its sender: grows with each start, and to refute suspicion
	Seq   uint32 // of a Ping, and of its Ack
	Whom  ID     // of Ask, and of an Ack for somebody else; 0: nobody
	Sent  uint32 // when, in milliseconds of its sender's own clock, which wraps
	News  []News
	Found []Found
	Part  []byte // of somebody else's; empty: none
}

// PartMost is the longest part, in bytes: findings need room too.
const PartMost = 150

// Errors of a note that can't be read. They are not told to its sender.
var (
	ErrNote = errors.New("duty: not a note")
	ErrTag  = errors.New("duty: a note with a wrong tag")
)

// Room is how many findings fit beside so many news.
func Room(news int, tagged bool) int { return room(news, tagged) / foundLen }

// room is how many bytes are left beside so many news.
func room(news int, tagged bool) int {
	left := NoteMost - headLen - news*newsLen
	if tagged {
		left -= tagLen
	}
	return left
}

// room is how many findings a note has room for.
func (n *Note) room(tagged bool) int {
	left := room(min(len(n.News), newsMost), tagged)
	if len(n.Part) > 0 {
		left -= 1 + len(n.Part)
	}
	return max(0, left/foundLen)
}

// Append writes a note behind b, with a tag where there is a key. What does not fit is a
// mistake of the caller's: it is cut off.
func (n *Note) Append(b []byte, key []byte) []byte {
	begin := len(b)
	news := n.News[:min(len(n.News), newsMost)]
	found := n.Found[:min(len(n.Found), n.room(len(key) > 0))]
	version := byte(noteVersion)
	if len(n.Part) > 0 {
		version = partVersion
	}
	b = append(b, version, byte(n.Kind))
	b = binary.BigEndian.AppendUint32(b, uint32(n.From))
	b = binary.BigEndian.AppendUint64(b, n.Inc)
	b = binary.BigEndian.AppendUint32(b, n.Seq)
	b = binary.BigEndian.AppendUint32(b, uint32(n.Whom))
	b = binary.BigEndian.AppendUint32(b, n.Sent)
	b = append(b, byte(len(news)), byte(len(found)))
	for _, w := range news {
		b = binary.BigEndian.AppendUint32(b, uint32(w.Who))
		b = binary.BigEndian.AppendUint64(b, w.Inc)
		b = append(b, byte(w.Life))
	}
	for _, f := range found {
		b = binary.BigEndian.AppendUint32(b, uint32(f.Node))
		age := min(max((f.Age+ageUnit-1)/ageUnit, 0), ageMost) // never younger than it is
		b = binary.BigEndian.AppendUint16(b, uint16(f.State)<<13|uint16(age))
	}
	if len(n.Part) > 0 {
		b = append(append(b, byte(len(n.Part))), n.Part...)
	}
	if len(key) > 0 {
		b = append(b, tag(b[begin:], key)...)
	}
	return b
}

func tag(b, key []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(b)
	return m.Sum(nil)[:tagLen]
}

// Parse reads a note. With a key nothing of a note without its tag is looked at.
func Parse(b, key []byte) (*Note, error) {
	if len(b) > NoteMost || len(b) < headLen {
		return nil, ErrNote
	}
	if len(key) > 0 {
		cut := len(b) - tagLen
		if cut < headLen || !hmac.Equal(tag(b[:cut], key), b[cut:]) {
			return nil, ErrTag
		}
		b = b[:cut]
	}
	if b[0] != noteVersion && b[0] != partVersion || b[1] >= byte(kinds) {
		return nil, ErrNote
	}
	n := &Note{Kind: Kind(b[1]), From: ID(binary.BigEndian.Uint32(b[2:])), Inc: binary.BigEndian.Uint64(b[6:]), Seq: binary.BigEndian.Uint32(b[14:]), Whom: ID(binary.BigEndian.Uint32(b[18:])), Sent: binary.BigEndian.Uint32(b[22:])}
	news, found := int(b[26]), int(b[27])
	size := headLen + news*newsLen + found*foundLen
	if news > newsMost || len(b) < size {
		return nil, ErrNote
	}
	switch part := b[size:]; {
	case b[0] == noteVersion && len(part) > 0, b[0] == partVersion && (len(part) < 2 || len(part) > PartMost+1 || int(part[0]) != len(part)-1):
		return nil, ErrNote
	case b[0] == partVersion:
		n.Part = part[1:]
	}
	b = b[headLen:]
	for range news {
		w := News{ID(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint64(b[4:]), Life(b[12])}
		if w.Life >= lives {
			return nil, ErrNote
		}
		n.News, b = append(n.News, w), b[newsLen:]
	}
	for range found {
		x := binary.BigEndian.Uint16(b[4:])
		f := Found{ID(binary.BigEndian.Uint32(b)), State(x >> 13), time.Duration(x&ageMost) * ageUnit}
		if f.State >= states {
			return nil, ErrNote
		}
		n.Found, b = append(n.Found, f), b[foundLen:]
	}
	return n, nil
}
