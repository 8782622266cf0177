package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"chalkrack/internal/discovery"
	"chalkrack/internal/settings"
)

// config is what a sidecar is told at its start.
type config struct {
	listen, discovery string
	seed              uint64
	cores             float64
	memoryMB, sockets int
	known             *discovery.List // nil: none
	settings          *settings.Settings
	asks              bool   // discovery must be asked
	fixed             []byte // what holds from start to end: limits and settings, as read
}

const (
	memoryLeast  = 32
	socketsLeast = 32
)

// fileFirst hides the address of discovery in the environment, which is that of the
// start: at a reload the file has the newer one.
func fileFirst(getenv func(string) string) func(string) string {
	return func(name string) string {
		if name == "BALANCER_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}
}

// load reads the configuration from the environment and the file it names.
// Errors name the field.
func load(getenv func(string) string) (*config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	var raw struct {
		Listen, Discovery string
		Seed              string
		Limits            struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	c := &config{
		listen:    raw.Listen,
		discovery: raw.Discovery,
		cores:     raw.Limits.Cores,
		memoryMB:  int(raw.Limits.MemoryMB),
		sockets:   int(raw.Limits.Sockets),
	}
	if v := getenv("BALANCER_LISTEN"); v != "" {
		c.listen = v
	}
	if v := getenv("BALANCER_DISCOVERY"); v != "" {
		c.discovery = v
	}
	for _, f := range []struct{ name, addr string }{{"listen", c.listen}, {"discovery", c.discovery}} {
		if _, _, err := net.SplitHostPort(f.addr); err != nil {
			return nil, fmt.Errorf("config: %s: %w", f.name, err)
		}
	}
	if c.seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	switch {
	case !(c.cores > 0):
		return nil, errors.New("config: limits.cores must be above 0")
	case c.memoryMB < memoryLeast:
		return nil, fmt.Errorf("config: limits.memory_mb must be at least %d", memoryLeast)
	case c.sockets < socketsLeast:
		return nil, fmt.Errorf("config: limits.sockets must be at least %d", socketsLeast)
	case len(raw.Settings) == 0:
		return nil, errors.New("config: settings is missing")
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.known, err = discovery.Parse(raw.Known); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	if c.settings, err = settings.Parse(raw.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	s := c.settings
	switch {
	case s.DialTimeout <= 0:
		return nil, errors.New("config: settings.caps.dialTimeoutUs must be above 0")
	case s.ConnIdle <= 0:
		return nil, errors.New("config: settings.caps.connIdleUs must be above 0")
	case s.MostHeld < 0:
		return nil, errors.New("config: settings.caps.mostHeld must be 0 or more")
	case s.DrainGrace < 0:
		return nil, errors.New("config: settings.guarantees.drainGraceUs must be 0 or more")
	}
	if err := s.Config.Validate(); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	c.asks = s.Config.AskWithin > 0
	c.fixed = fmt.Appendf(nil, "%+v %s", raw.Limits, raw.Settings)
	return c, nil
}
