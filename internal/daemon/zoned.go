package daemon

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/evacuation"
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
	if err := json.Unmarshal(c.platform, &raw); err != nil {
		return evacuation.Config{}, "", fmt.Errorf("config: %w", err)
	}
	f := &c.Features.Zones
	cfg := evacuation.Config{Self: raw.Settings.Rank, Peers: len(raw.Peers), Seed: c.seed, Inc: inc, Witnesses: f.Witnesses, Share: f.Share, Fails: f.Fails, Limps: f.Limps,
		Silence: time.Duration(f.Silence), Slow: f.Slow, Window: time.Duration(f.Window), Settle: time.Duration(f.Settle), Alone: time.Duration(f.Alone),
		Dwell: time.Duration(f.Dwell), DwellMost: time.Duration(f.DwellMost), Proof: time.Duration(f.Proof), Bears: f.Bears, Spread: f.Spread, Full: f.Full}
	mean := 0.0
	for _, k := range c.settings.Config.Classes {
		mean += k.Worth / float64(len(c.settings.Config.Classes))
	}
	for _, k := range c.settings.Config.Classes {
		cfg.Dear = append(cfg.Dear, k.Worth > mean)
	}
	if err := cfg.Validate(); err != nil {
		return cfg, "", fmt.Errorf("features: %w", err)
	}
	return cfg, cmp.Or(raw.Name, raw.Listen), nil
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
