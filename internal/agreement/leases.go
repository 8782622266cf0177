package agreement

import (
	"slices"
	"time"
)

// LeaseTracker tracks, at the leader, when each sidecar's lease was last granted, and so which
// leases have expired. Its times come from a monotonic clock that also counts while the machine is
// suspended. It covers a single leadership: a new leader creates a new tracker.
type LeaseTracker struct {
	times LeaseTimes
	since time.Duration            // start of this leadership; an earlier leader may have granted leases until then
	last  map[string]time.Duration // by sidecar, the arrival time of its last granted request
}

// NewLeaseTracker returns the tracker of a leadership that starts at now.
func NewLeaseTracker(t LeaseTimes, now time.Duration) *LeaseTracker {
	return &LeaseTracker{times: t, since: now, last: make(map[string]time.Duration)}
}

// RecordGrant records that the lease of the sidecar named id was granted; at is the time at which
// its request arrived. It must be called before the response is sent.
func (t *LeaseTracker) RecordGrant(id string, at time.Duration) { t.last[id] = max(at, t.last[id]) }

// Expired returns the names, sorted, of the sidecars that s still counts as live and whose lease
// has expired by any clock within the assumed drift.
func (t *LeaseTracker) Expired(now time.Duration, s *State) (expired []string) {
	for name, c := range s.Sidecars {
		last, granted := t.last[name]
		if !granted {
			last = t.since
		}
		if !c.LeaseExpired && now-max(last, t.since) >= t.times.ExpiryDelay() {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// Prune drops the records of sidecars that s has removed or counts as expired, so that the
// tracker holds no more sidecars than s does.
func (t *LeaseTracker) Prune(s *State) {
	for name := range t.last {
		if c, ok := s.Sidecars[name]; !ok || c.LeaseExpired {
			delete(t.last, name)
		}
	}
}
