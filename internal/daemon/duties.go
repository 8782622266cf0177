package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"chalkrack/internal/components/duties"
	"chalkrack/internal/core"
	"chalkrack/internal/duty"
)

// dutyDescriptors returns the number of descriptors that duties may hold.
func dutyDescriptors(c *Config) int {
	if !c.Features.Duty.Enabled {
		return 0
	}
	return duties.MaxConns
}

// dutyConfig returns the configuration of package duty and the listen address for notes, from the
// platform's peers and the operators' file. An error names the invalid field.
func dutyConfig(c *Config, incarnation uint64) (duty.Config, string, error) {
	var raw struct {
		PeerListen string `json:"peer_listen"`
		Peers      []string
		Settings   struct{ Rank int }
	}
	if err := json.Unmarshal(c.PlatformData, &raw); err != nil {
		return duty.Config{}, "", fmt.Errorf("config: %w", err)
	}
	settings := &c.Features.Duty
	if raw.PeerListen == "" || raw.Settings.Rank < 0 || raw.Settings.Rank >= len(raw.Peers) {
		return duty.Config{}, "", errors.New("features: duty.enabled: the platform's configuration lists no peers that include this sidecar")
	}
	cfg := duty.Config{Incarnation: incarnation, Seed: c.Seed, Watchers: settings.Watchers, ProbeInterval: time.Duration(settings.ProbeInterval), TakeoverStep: time.Duration(settings.TakeoverStep), PingInterval: time.Duration(settings.PingInterval), AckTimeout: time.Duration(settings.AckTimeout),
		IndirectPings: settings.IndirectPings, SuspectTimeout: time.Duration(settings.SuspectTimeout), Fanout: settings.Fanout, MaxProbeRate: settings.MaxProbeRate, MaxServerProbeRate: settings.MaxServerProbeRate, MaxNoteRate: settings.MaxNoteRate, DeadPingInterval: time.Duration(settings.DeadPingInterval), Authenticated: settings.Key != ""}
	for rank, addr := range raw.Peers {
		zone, known := settings.Zones[addr]
		if len(settings.Zones) > 0 && !known {
			return cfg, "", fmt.Errorf("features: duty.zones: no zone for peer %s", addr)
		}
		id := duties.PeerAlias(rank)
		if rank == raw.Settings.Rank {
			cfg.Self, cfg.Alias, cfg.Zone = addr, id, zone
		} else {
			cfg.Peers = append(cfg.Peers, duty.Peer{Name: addr, Alias: id, Zone: zone})
		}
	}
	if err := cfg.Validate(); err != nil {
		return cfg, "", fmt.Errorf("features: %w", err)
	}
	return cfg, raw.PeerListen, nil
}

// newDuties returns the duties of this sidecar, or nil if [duty] is off.
func newDuties(c *Config, host *core.Host) (*duties.Runner, error) {
	if !c.Features.Duty.Enabled {
		return nil, nil
	}
	if !c.Settings.Config.Probes && c.Settings.Config.ProbeCost > 0 {
		slog.Info("duty: the platform charges for probes", "probe", c.Settings.Config.ProbeCost)
	}
	cfg, listen, err := dutyConfig(c, uint64(time.Now().UnixMilli()))
	if err != nil {
		return nil, err
	}
	settings := &c.Features.Duty
	return duties.New(duties.Config{Duty: cfg, Listen: listen, PortInherited: c.InheritedFD > 0, Key: []byte(settings.Key), Path: settings.Path,
		SlowAfter: time.Duration(settings.SlowAfter), ProbeTimeout: time.Duration(settings.ProbeTimeout), ProbingEnabled: settings.ProbingEnabled}, host)
}
