package evacuation

import "time"

// Access for tests of a fleet to state that Machine does not export.

// StageRate returns the rate limit of a zone's stage, in calls per second of the fleet, and the
// number of sidecars that send.
func (m *Machine) StageRate(zone string) (rate float64, canaries int) {
	z := m.findZone(zone)
	return m.stageRate(z), m.canaryCount(z.record.Stage)
}

// FirstCanary returns the number of the first sidecar that will send in StageOneIn64 after one more
// step of the zone; -1: there is none.
func (m *Machine) FirstCanary(zone string) int {
	z := *m.findZone(zone)
	z.record.Step++
	z.record.Stage = StageOneIn64
	for n := range m.cfg.Peers {
		if m.isCanary(&z, n) {
			return n
		}
	}
	return -1
}

// RequiredVotes returns the number of sidecars whose votes are required.
func (m *Machine) RequiredVotes() int { return m.requiredVotes() }

// SetState sets a zone's record and vote, whatever the evidence.
func (m *Machine) SetState(now time.Duration, zone string, r Record, v Vote) {
	z := m.findZone(zone)
	z.record, z.stageSince, z.vote = r, now, v
}
