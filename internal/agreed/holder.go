package agreed

import (
	"slices"
	"time"
)

// Holder is how a council's leader knows whose lease has ended. Its times are of a clock that
// runs on while the machine sleeps. It lives as long as one leadership does.
type Holder struct {
	times Times
	since time.Duration            // it leads: whoever led before may have granted until then
	last  map[string]time.Duration // when a sidecar's last request came that was granted
}

// NewHolder begins a leadership.
func NewHolder(t Times, now time.Duration) *Holder {
	return &Holder{times: t, since: now, last: make(map[string]time.Duration)}
}

// Granted says that a sidecar's request, which came at a time, has been granted. It is to be
// said before the sidecar is told.
func (h *Holder) Granted(car string, came time.Duration) { h.last[car] = max(came, h.last[car]) }

// Ended are those of the sidecars that are not gone whose lease has surely ended, by name.
func (h *Holder) Ended(now time.Duration, s *State) (all []string) {
	for name, c := range s.Cars {
		last, heard := h.last[name]
		if !heard {
			last = h.since
		}
		if !c.Gone && now-max(last, h.since) >= h.times.Over() {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// Forget has what is kept of sidecars that are gone be dropped: the State bounds it.
func (h *Holder) Forget(s *State) {
	for name := range h.last {
		if c, ok := s.Cars[name]; !ok || c.Gone {
			delete(h.last, name)
		}
	}
}
