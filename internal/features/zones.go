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
	Enabled             bool                `toml:"enabled"`
	Folder              string              `toml:"folder"`  // stores orders and stages across restarts; empty: they are learned from peers
	ZonesByRegion       map[string][]string `toml:"regions"` // groups of zones that an order may name, and that are evaluated together
	CapacityWithoutZone map[string]float64  `toml:"carried"` // by zone: share of all calls that the other zones can carry without it
	MinWitnesses        int                 `toml:"witnesses"`
	MinFailingShare     float64             `toml:"share"`
	FailingRatio        float64             `toml:"fails"`
	DegradedRatio       float64             `toml:"limps"`
	ResponseTimeout     duration.Duration   `toml:"silence"`
	SlowFactor          float64             `toml:"slow"`
	EvidenceWindow      duration.Duration   `toml:"window"`
	SettleDelay         duration.Duration   `toml:"settle"`
	LocalDepartureDelay duration.Duration   `toml:"alone"`
	MinDwell            duration.Duration   `toml:"dwell"`
	MaxDwell            duration.Duration   `toml:"dwell_most"`
	MinStageDuration    duration.Duration   `toml:"proof"`
	ServerCapacity      float64             `toml:"bears"` // calls per second that one server of a zone can serve
	Fanout              int                 `toml:"spread"`
	MaxRefusalShare     float64             `toml:"full"`
}

func defaultZones() Zones {
	return Zones{MinWitnesses: 3, MinFailingShare: 0.6, FailingRatio: 0.6, DegradedRatio: 0.2, ResponseTimeout: duration.Duration(400 * time.Millisecond), SlowFactor: 4, EvidenceWindow: duration.Duration(1500 * time.Millisecond),
		SettleDelay: duration.Duration(150 * time.Millisecond), LocalDepartureDelay: duration.Duration(time.Second), MinDwell: duration.Duration(5 * time.Second), MaxDwell: duration.Duration(time.Minute),
		MinStageDuration: duration.Duration(time.Second), ServerCapacity: 20, Fanout: 4, MaxRefusalShare: 0.1}
}

func (z *Zones) check(c *checker, f *File) {
	c.require(!z.Enabled || f.Duty.Enabled, "zones.enabled", "needs duty.enabled: its word travels in the notes of [duty]")
	c.require(!z.Enabled || f.Duty.Key != "", "zones.enabled", "needs duty.key: whoever can send a note could lead the fleet")
	for _, zone := range sortedKeys(z.CapacityWithoutZone) {
		c.require(z.CapacityWithoutZone[zone] >= 0 && z.CapacityWithoutZone[zone] <= 1, "zones.carried."+zone, "must be within 0 and 1")
	}
	regionOf := make(map[string]string)
	for _, region := range sortedKeys(z.ZonesByRegion) {
		c.require(len(z.ZonesByRegion[region]) > 0, "zones.regions."+region, "names no zone")
		for _, zone := range z.ZonesByRegion[region] {
			c.require(regionOf[zone] == "", "zones.regions."+region, "zone %q is in %s too", zone, regionOf[zone])
			regionOf[zone] = region
		}
		c.require(!slices.Contains(z.ZonesByRegion[region], region) || len(z.ZonesByRegion[region]) == 1, "zones.regions."+region, "has the name of one of its zones")
	}
}
