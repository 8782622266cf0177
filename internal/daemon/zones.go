package daemon

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"chalkrack/internal/components/zones"
	"chalkrack/internal/core"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/features"
)

// evacuationConfig returns the configuration of package evacuation and this sidecar's name, from
// the platform's peers and the operators' file. An error names the invalid field.
func evacuationConfig(c *Config, incarnation uint64) (evacuation.Config, string, error) {
	var raw struct {
		Name     string
		Listen   string
		Peers    []string
		Settings struct{ Rank int }
	}
	if err := json.Unmarshal(c.PlatformData, &raw); err != nil {
		return evacuation.Config{}, "", fmt.Errorf("config: %w", err)
	}
	cfg := BaseEvacuationConfig(&c.Features.Zones)
	cfg.Self, cfg.Peers, cfg.Seed, cfg.Incarnation = raw.Settings.Rank, len(raw.Peers), c.Seed, incarnation
	meanWorth := 0.0
	for _, class := range c.Settings.Config.Classes {
		meanWorth += class.Worth / float64(len(c.Settings.Config.Classes))
	}
	for _, class := range c.Settings.Config.Classes {
		cfg.HighWorthClasses = append(cfg.HighWorthClasses, class.Worth > meanWorth)
	}
	if err := cfg.Validate(); err != nil {
		return cfg, "", fmt.Errorf("features: %w", err)
	}
	return cfg, cmp.Or(raw.Name, raw.Listen), nil
}

// BaseEvacuationConfig returns the configuration of package evacuation from the operators' file, without the
// fields that differ between sidecars.
func BaseEvacuationConfig(settings *features.Zones) evacuation.Config {
	cfg := evacuation.Config{MinWitnesses: settings.MinWitnesses, MinFailingShare: settings.MinFailingShare, FailingRatio: settings.FailingRatio, DegradedRatio: settings.DegradedRatio, ResponseTimeout: time.Duration(settings.ResponseTimeout), SlowFactor: settings.SlowFactor,
		EvidenceWindow: time.Duration(settings.EvidenceWindow), SettleDelay: time.Duration(settings.SettleDelay), LocalDepartureDelay: time.Duration(settings.LocalDepartureDelay), MinDwell: time.Duration(settings.MinDwell), MaxDwell: time.Duration(settings.MaxDwell),
		MinStageDuration: time.Duration(settings.MinStageDuration), ServerCapacity: settings.ServerCapacity, Fanout: settings.Fanout, MaxRefusalShare: settings.MaxRefusalShare, CapacityWithoutZone: settings.CapacityWithoutZone, RegionByZone: make(map[string]string)}
	for region, zoneNames := range settings.ZonesByRegion {
		for _, zone := range zoneNames {
			cfg.RegionByZone[zone] = region
		}
	}
	return cfg
}

// newZones returns the zone evacuation of this sidecar, or nil if [zones] is off.
func newZones(c *Config) (*zones.Zones, error) {
	if !c.Features.Zones.Enabled {
		return nil, nil
	}
	cfg, name, err := evacuationConfig(c, uint64(time.Now().UnixMilli()))
	if err != nil {
		return nil, err
	}
	return zones.New(zones.Config{Machine: cfg, Folder: c.Features.Zones.Folder, Name: name, Regions: c.Features.Zones.ZonesByRegion})
}

// zoneObserver returns z as a core.AttemptObserver, and a nil interface if z is nil.
func zoneObserver(z *zones.Zones) core.AttemptObserver {
	if z == nil {
		return nil
	}
	return z
}
