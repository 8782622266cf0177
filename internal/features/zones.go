package features

import (
	"slices"
	"time"

	"chalkrack/internal/duration"
)

// Zones is the section [zones]: leaving a zone that fails as a fleet, and coming back. Its
// word travels in the notes of [duty]. Package evacuation says what the fields mean.
type Zones struct {
	Enabled   bool                `toml:"enabled"`
	Folder    string              `toml:"folder"`  // remembers orders and stages over a start; empty: the others tell
	Regions   map[string][]string `toml:"regions"` // zones that an order may name together, and that are judged together
	Carried   map[string]float64  `toml:"carried"` // share of all calls that the other zones carry without one
	Witnesses int                 `toml:"witnesses"`
	Share     float64             `toml:"share"`
	Fails     float64             `toml:"fails"`
	Limps     float64             `toml:"limps"`
	Silence   duration.Duration   `toml:"silence"`
	Slow      float64             `toml:"slow"`
	Window    duration.Duration   `toml:"window"`
	Settle    duration.Duration   `toml:"settle"`
	Alone     duration.Duration   `toml:"alone"`
	Dwell     duration.Duration   `toml:"dwell"`
	DwellMost duration.Duration   `toml:"dwell_most"`
	Proof     duration.Duration   `toml:"proof"`
	Bears     float64             `toml:"bears"` // calls a second that one server of a zone bears
	Spread    int                 `toml:"spread"`
	Full      float64             `toml:"full"`
}

func zonesDefault() Zones {
	return Zones{Witnesses: 3, Share: 0.6, Fails: 0.6, Limps: 0.2, Silence: duration.Duration(400 * time.Millisecond), Slow: 4, Window: duration.Duration(1500 * time.Millisecond),
		Settle: duration.Duration(150 * time.Millisecond), Alone: duration.Duration(time.Second), Dwell: duration.Duration(5 * time.Second), DwellMost: duration.Duration(time.Minute),
		Proof: duration.Duration(time.Second), Bears: 20, Spread: 4, Full: 0.1}
}

func (z *Zones) check(c *checker, f *File) {
	c.need(!z.Enabled || f.Duty.Enabled, "zones.enabled", "needs duty.enabled: its word travels in the notes of [duty]")
	c.need(!z.Enabled || f.Duty.Key != "", "zones.enabled", "needs duty.key: whoever can send a note could lead the fleet")
	for _, zone := range sorted(z.Carried) {
		c.need(z.Carried[zone] >= 0 && z.Carried[zone] <= 1, "zones.carried."+zone, "must be within 0 and 1")
	}
	in := make(map[string]string)
	for _, region := range sorted(z.Regions) {
		c.need(len(z.Regions[region]) > 0, "zones.regions."+region, "names no zone")
		for _, zone := range z.Regions[region] {
			c.need(in[zone] == "", "zones.regions."+region, "zone %q is in %s too", zone, in[zone])
			in[zone] = region
		}
		c.need(!slices.Contains(z.Regions[region], region) || len(z.Regions[region]) == 1, "zones.regions."+region, "has the name of one of its zones")
	}
}
