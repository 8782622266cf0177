package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/duty"
	"chalkrack/internal/rooms/duties"
)

// dutyConns are the descriptors that duties may hold.
func dutyConns(c *Config) int {
	if !c.Features.Duty.Enabled {
		return 0
	}
	return duties.Conns
}

// dutyConfig is package duty's, from the platform's peers and the operators' file.
func dutyConfig(c *Config, inc uint64) (duty.Config, string, error) {
	var raw struct {
		PeerListen string `json:"peer_listen"`
		Peers      []string
		Settings   struct{ Rank int }
	}
	if err := json.Unmarshal(c.Platform, &raw); err != nil {
		return duty.Config{}, "", fmt.Errorf("config: %w", err)
	}
	f := &c.Features.Duty
	if raw.PeerListen == "" || raw.Settings.Rank < 0 || raw.Settings.Rank >= len(raw.Peers) {
		return duty.Config{}, "", errors.New("features: duty.enabled: the platform's configuration names no peers with this sidecar among them")
	}
	cfg := duty.Config{Inc: inc, Seed: c.Seed, Watchers: f.Watchers, Every: time.Duration(f.Every), Step: time.Duration(f.Step), Period: time.Duration(f.Period), AckWait: time.Duration(f.AckWait),
		Helpers: f.Helpers, Suspect: time.Duration(f.Suspect), Spread: f.Spread, Probes: f.Probes, PerNode: f.PerNode, Notes: f.Notes, Remember: time.Duration(f.Remember), Keyed: f.Key != ""}
	for n, addr := range raw.Peers {
		zone, known := f.Zones[addr]
		if len(f.Zones) > 0 && !known {
			return cfg, "", fmt.Errorf("features: duty.zones: %s has none", addr)
		}
		as := duties.As(n)
		if n == raw.Settings.Rank {
			cfg.Self, cfg.As, cfg.Zone = addr, as, zone
		} else {
			cfg.Peers = append(cfg.Peers, duty.Peer{Name: addr, As: as, Zone: zone})
		}
	}
	if err := cfg.Validate(); err != nil {
		return cfg, "", fmt.Errorf("features: %w", err)
	}
	return cfg, raw.PeerListen, nil
}

// newDuties returns nil where [duty] is off.
func newDuties(c *Config, host *core.Host) (*duties.Duties, error) {
	if !c.Features.Duty.Enabled {
		return nil, nil
	}
	if !c.Settings.Config.Probes && c.Settings.Config.ProbeCost > 0 {
		slog.Info("duty: the platform prices probes", "probe", c.Settings.Config.ProbeCost)
	}
	cfg, listen, err := dutyConfig(c, uint64(time.Now().UnixMilli()))
	if err != nil {
		return nil, err
	}
	f := &c.Features.Duty
	return duties.New(duties.Config{Duty: cfg, Listen: listen, Inherited: c.Inherited > 0, Key: []byte(f.Key), Path: f.Path,
		Slow: time.Duration(f.Slow), Timeout: time.Duration(f.Timeout), Probing: f.Probing}, host)
}
