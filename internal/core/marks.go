package core

import (
	"hash/maphash"
	"time"
)

// marks remembers which attempts of tiers before this one have come, so that a marked
// call that comes twice is attempted once. It holds at most two generations of
// marksEach: a mark is remembered for marksFor at least, unless more than marksEach
// come in that time, and for twice that at most. The cost is nothing until the first
// mark comes, and about 300 KB when full.
type marks struct {
	seed     maphash.Seed
	now, old map[uint64]struct{}
	since    time.Duration
}

const (
	marksEach = 8192
	// A repeat of an attempt comes from a connection that broke: at once, or never.
	marksFor = 10 * time.Second
)

// again says whether that attempt of that call has come before, and remembers it.
func (m *marks) again(id, mark string, now time.Duration) bool {
	if m.now == nil {
		m.seed, m.now, m.since = maphash.MakeSeed(), make(map[uint64]struct{}), now
	}
	if len(m.now) >= marksEach || now-m.since >= marksFor {
		m.now, m.old, m.since = make(map[uint64]struct{}), m.now, now
	}
	var h maphash.Hash
	h.SetSeed(m.seed)
	h.WriteString(id)
	h.WriteByte(0) // no id has one
	h.WriteString(mark)
	sum := h.Sum64()
	_, seen := m.now[sum]
	if _, before := m.old[sum]; before {
		seen = true
	}
	m.now[sum] = struct{}{}
	return seen
}
