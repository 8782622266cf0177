package core

import (
	"hash/maphash"
	"time"
)

// recentSet remembers strings for a time, by their hashes. It holds at most two sets of maxPerSet: a
// string is remembered for at least ttl, unless more than maxPerSet come in that time, and for at
// most twice ttl. It uses no memory until the first string comes, and about 300 KB when full.
type recentSet struct {
	ttl               time.Duration
	seed              maphash.Seed
	current, previous map[uint64]struct{}
	currentSince      time.Duration
}

const maxPerSet = 8192

// add remembers the string that the parts make up, and reports whether it was there.
func (s *recentSet) add(now time.Duration, parts ...string) (wasThere bool) {
	if s.current == nil {
		s.seed, s.current, s.currentSince = maphash.MakeSeed(), make(map[uint64]struct{}), now
	}
	if len(s.current) >= maxPerSet || now-s.currentSince >= s.ttl {
		s.current, s.previous, s.currentSince = make(map[uint64]struct{}), s.current, now
	}
	sum := s.hash(parts)
	_, wasThere = s.current[sum]
	if _, before := s.previous[sum]; before {
		wasThere = true
	}
	s.current[sum] = struct{}{}
	return wasThere
}

// remove forgets the string that the parts make up.
func (s *recentSet) remove(parts ...string) {
	if s.current == nil {
		return
	}
	sum := s.hash(parts)
	delete(s.current, sum)
	delete(s.previous, sum)
}

func (s *recentSet) hash(parts []string) uint64 {
	var h maphash.Hash
	h.SetSeed(s.seed)
	for _, part := range parts {
		h.WriteString(part)
		h.WriteByte(0) // a separator that no part contains
	}
	return h.Sum64()
}
