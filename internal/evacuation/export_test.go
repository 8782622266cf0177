package evacuation

import "time"

// What tests of a fleet look at and plant, beyond what a Machine shows.

// Pace is what a zone's stage allows the fleet a second, and how many sidecars go first.
func (m *Machine) Pace(zone string) (pace float64, members int) {
	z := m.named(zone)
	return m.pace(z), m.members(z.rec.Stage)
}

// First is who goes first once a zone's stage has had one step more.
func (m *Machine) First(zone string) int {
	z := *m.named(zone)
	z.rec.Step++
	z.rec.Stage = First
	for n := range m.cfg.Peers {
		if m.member(&z, n) {
			return n
		}
	}
	return -1
}

// Need is how many sidecars' word it takes.
func (m *Machine) Need() int { return m.need() }

// Plant has it hold a record, and vote, as nothing that it saw would make it.
func (m *Machine) Plant(now time.Duration, zone string, r Record, v Vote) {
	z := m.named(zone)
	z.rec, z.since, z.vote = r, now, v
}
