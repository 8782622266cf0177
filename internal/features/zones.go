package features

import (
	"slices"
	"time"

	"chalkrack/internal/duration"
)

// Zones is the section [zones]: the coordinated evacuation of a failing zone by all
// sidecars, and the return to it. Its messages travel in the notes of [duty]. Package
// evacuation documents the fields.
type Zones struct {
	Enabled   bool                `toml:"enabled"`
	Folder    string              `toml:"folder"`  // stores orders and stages across restarts; empty: they are learned from peers
	Regions   map[string][]string `toml:"regions"` // groups of zones that an order may name, and that are evaluated together
	Carried   map[string]float64  `toml:"carried"` // by zone: share of all calls that the other zones can carry without it
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
	Bears     float64             `toml:"bears"` // calls per second that one server of a zone can serve
	Spread    int                 `toml:"spread"`
	Full      float64             `toml:"full"`
}

func defaultZones() Zones {
	return Zones{Witnesses: 3, Share: 0.6, Fails: 0.6, Limps: 0.2, Silence: duration.Duration(400 * time.Millisecond), Slow: 4, Window: duration.Duration(1500 * time.Millisecond),
		Settle: duration.Duration(150 * time.Millisecond), Alone: duration.Duration(time.Second), Dwell: duration.Duration(5 * time.Second), DwellMost: duration.Duration(time.Minute),
		Proof: duration.Duration(time.Second), Bears: 20, Spread: 4, Full: 0.1}
}

func (z *Zones) check(c *checker, f *File) {
	c.require(!z.Enabled || f.Duty.Enabled, "zones.enabled", "needs duty.enabled: its word travels in the notes of [duty]")
	c.require(!z.Enabled || f.Duty.Key != "", "zones.enabled", "needs duty.key: whoever can send a note could lead the fleet")
	for _, zone := range sortedKeys(z.Carried) {
		c.require(z.Carried[zone] >= 0 && z.Carried[zone] <= 1, "zones.carried."+zone, "must be within 0 and 1")
	}
	regionOf := make(map[string]string)
	for _, region := range sortedKeys(z.Regions) {
		c.require(len(z.Regions[region]) > 0, "zones.regions."+region, "names no zone")
		for _, zone := range z.Regions[region] {
			c.require(regionOf[zone] == "", "zones.regions."+region, "zone %q is in %s too", zone, regionOf[zone])
			regionOf[zone] = region
		}
		c.require(!slices.Contains(z.Regions[region], region) || len(z.Regions[region]) == 1, "zones.regions."+region, "has the name of one of its zones")
	}
}
