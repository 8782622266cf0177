package proxy

import "time"

// health tracks which servers are down by the results of probes. A server is down after
// maxMisses unanswered probes in a row, until it answers one. health does no I/O and reads no
// clock. The caller guards it with a lock.
type health struct {
	maxMisses int
	servers   map[string]*serverState
}

type serverState struct {
	consecutiveMisses int
	down              bool
	upSince           time.Duration // when it last came back after being down; 0 if it has not
}

func newHealth(maxMisses int) *health {
	return &health{maxMisses: maxMisses, servers: make(map[string]*serverState)}
}

// recordProbe records the result of a probe and reports whether the server went down or came
// back. A server that comes back counts as started at that time, so that it is warmed up like
// a cold one.
func (h *health) recordProbe(server string, now time.Duration, ok bool) (changed bool) {
	s := h.servers[server]
	if s == nil {
		s = new(serverState)
		h.servers[server] = s
	}
	wasDown := s.down
	if ok {
		if s.down {
			s.upSince = now
		}
		s.consecutiveMisses, s.down = 0, false
	} else if s.consecutiveMisses++; s.consecutiveMisses >= h.maxMisses {
		s.down = true
	}
	return s.down != wasDown
}

// status returns whether a server is down, and when it came back if it has been down before.
// A server that was never probed is up.
func (h *health) status(server string) (down bool, upSince time.Duration) {
	if s := h.servers[server]; s != nil {
		return s.down, s.upSince
	}
	return false, 0
}
