package daemon

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/features"
	"chalkrack/internal/rooms/zones"
)

// evacuationConfig is package evacuation's, from the platform's peers and the operators'
// file.
func evacuationConfig(c *Config, inc uint64) (evacuation.Config, string, error) {
	var raw struct {
		Name     string
		Listen   string
		Peers    []string
		Settings struct{ Rank int }
	}
	if err := json.Unmarshal(c.Platform, &raw); err != nil {
		return evacuation.Config{}, "", fmt.Errorf("config: %w", err)
	}
	cfg := ZonesOf(&c.Features.Zones)
	cfg.Self, cfg.Peers, cfg.Seed, cfg.Inc = raw.Settings.Rank, len(raw.Peers), c.Seed, inc
	mean := 0.0
	for _, k := range c.Settings.Config.Classes {
		mean += k.Worth / float64(len(c.Settings.Config.Classes))
	}
	for _, k := range c.Settings.Config.Classes {
		cfg.Dear = append(cfg.Dear, k.Worth > mean)
	}
	if err := cfg.Validate(); err != nil {
		return cfg, "", fmt.Errorf("features: %w", err)
	}
	return cfg, cmp.Or(raw.Name, raw.Listen), nil
}

// ZonesOf is package evacuation's configuration as the operators' file has it, without what
// differs from one sidecar to the next.
func ZonesOf(f *features.Zones) evacuation.Config {
	cfg := evacuation.Config{Witnesses: f.Witnesses, Share: f.Share, Fails: f.Fails, Limps: f.Limps, Silence: time.Duration(f.Silence), Slow: f.Slow,
		Window: time.Duration(f.Window), Settle: time.Duration(f.Settle), Alone: time.Duration(f.Alone), Dwell: time.Duration(f.Dwell), DwellMost: time.Duration(f.DwellMost),
		Proof: time.Duration(f.Proof), Bears: f.Bears, Spread: f.Spread, Full: f.Full, Carried: f.Carried, Regions: make(map[string]string)}
	for region, all := range f.Regions {
		for _, zone := range all {
			cfg.Regions[zone] = region
		}
	}
	return cfg
}

// newZoned returns nil where [zones] is off.
func newZoned(c *Config) (*zones.Zones, error) {
	if !c.Features.Zones.Enabled {
		return nil, nil
	}
	cfg, name, err := evacuationConfig(c, uint64(time.Now().UnixMilli()))
	if err != nil {
		return nil, err
	}
	return zones.New(zones.Config{Machine: cfg, Folder: c.Features.Zones.Folder, Name: name, Regions: c.Features.Zones.Regions})
}

// watchOf is a Watch that is nil where there is none.
func watchOf(z *zones.Zones) core.Watch {
	if z == nil {
		return nil
	}
	return z
}
