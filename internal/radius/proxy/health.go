package proxy

import "time"

// health judges servers by probes: one that misses so many in a row is taken for gone,
// until one is answered. It has no I/O and no clock.
type health struct {
	misses  int
	servers map[string]*state
}

type state struct {
	missed int
	down   bool
	upAt   time.Duration // since when it has been up again; 0: always
}

func newHealth(misses int) *health {
	return &health{misses: misses, servers: make(map[string]*state)}
}

// probed takes the end of a probe and says whether the server's state has changed. One
// that comes back counts as started then: it is warmed as a cold one.
func (h *health) probed(server string, now time.Duration, ok bool) (changed bool) {
	s := h.servers[server]
	if s == nil {
		s = new(state)
		h.servers[server] = s
	}
	was := s.down
	if ok {
		if s.down {
			s.upAt = now
		}
		s.missed, s.down = 0, false
	} else if s.missed++; s.missed >= h.misses {
		s.down = true
	}
	return s.down != was
}

// of is what is known of a server.
func (h *health) of(server string) (down bool, upAt time.Duration) {
	if s := h.servers[server]; s != nil {
		return s.down, s.upAt
	}
	return false, 0
}
