package core

import (
	"hash/maphash"
	"time"
)

// seenMarks remembers which attempts of previous tiers have arrived, so that a marked call that
// arrives twice is attempted once. It holds at most two sets of maxMarksPerSet marks: a mark is
// remembered for at least minMarkTTL, unless more than maxMarksPerSet marks arrive in that time,
// and for at most twice minMarkTTL. It uses no memory until the first mark arrives, and about
// 300 KB when full.
type seenMarks struct {
	seed              maphash.Seed
	current, previous map[uint64]struct{}
	currentSince      time.Duration
}

const (
	maxMarksPerSet = 8192
	// minMarkTTL can be short: an attempt is repeated because its connection broke, either
	// immediately or not at all.
	minMarkTTL = 10 * time.Second
)

// seenBefore reports whether this attempt of this call has arrived before, and remembers it.
func (m *seenMarks) seenBefore(id, mark string, now time.Duration) bool {
	if m.current == nil {
		m.seed, m.current, m.currentSince = maphash.MakeSeed(), make(map[uint64]struct{}), now
	}
	if len(m.current) >= maxMarksPerSet || now-m.currentSince >= minMarkTTL {
		m.current, m.previous, m.currentSince = make(map[uint64]struct{}), m.current, now
	}
	var h maphash.Hash
	h.SetSeed(m.seed)
	h.WriteString(id)
	h.WriteByte(0) // a separator that no ID contains
	h.WriteString(mark)
	sum := h.Sum64()
	_, seen := m.current[sum]
	if _, before := m.previous[sum]; before {
		seen = true
	}
	m.current[sum] = struct{}{}
	return seen
}
