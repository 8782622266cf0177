// Package config is what a sidecar is told at its start: the platform's file, the operators'
// own, and what is remembered of their changes.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"chalkrack/internal/change"
	"chalkrack/internal/discovery"
	"chalkrack/internal/features"
	"chalkrack/internal/generation"
	"chalkrack/internal/history"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
	"chalkrack/internal/spool"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Features *features.File
	Disk     spool.FS // where files of bodies are made; nil: the system's
	// Managed is told where operators call, before the daemon serves; nil: nobody is.
	Managed func(net.Addr)

	Listen, Discovery string
	Seed              uint64
	Cores             float64
	MemoryMB, Sockets int
	Known             *membership.List // nil: none
	Settings          *settings.Settings
	Asks              bool   // discovery must be asked
	Platform          []byte // the file, as read
	Own               []byte // the operators' file, as read; empty: none
	Getenv            func(string) string
	Management        string // where operators call; empty: nowhere
	Inherited         int    // the descriptor of the clients' listening socket; 0: none

	// Of Recall:
	Store   *history.Store // nil: not yet
	Trial   bool           // what runs is on trial since before the start, with nothing beside it
	Lasting bool           // the store outlives the process
}

// Generation is what calls live under by this configuration.
func (c *Config) Generation(id history.ID) *generation.Generation {
	return &generation.Generation{ID: int(id), Settings: c.Settings, Paths: c.Features.Paths, PassClientErrors: c.Features.Answers.PassClientErrors}
}

// Document is the configuration as it was read, for a comparison with another.
func (c *Config) Document() change.Document {
	return change.Document{Platform: c.Platform, Features: c.Features}
}

const (
	memoryLeast  = 32
	socketsLeast = 32
	most         = 1 << 20 // of each limit, in its unit: more is a slip
)

// checkAddress wants a host and the number of a port: there is no DNS, and a name
// that is found nowhere would only show once it is used.
func checkAddress(addr string, portLeast int) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.Atoi(port); err != nil || n < portLeast || n > 65535 || host == "" {
		return fmt.Errorf("%q is no address with a port", addr)
	}
	return nil
}

// FileFirst hides the address of discovery in the environment, which is that of the
// start: at a reload the file has the newer one.
func FileFirst(getenv func(string) string) func(string) string {
	return func(name string) string {
		if name == "BALANCER_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}
}

// FeaturesFile is where the operators' own settings stand, from the folder that the
// sidecar is started in. FAWN_FEATURES names another file; that one must exist.
const FeaturesFile = "deploy/features.toml"

// Load reads the configuration from the environment and the files it names.
// Errors name the field.
func Load(getenv func(string) string) (*Config, error) {
	platform, own, name, err := ReadFiles(getenv)
	if err != nil {
		return nil, err
	}
	return Parse(platform, own, name, getenv)
}

// ReadFiles reads the two files. own is empty where the operators have none.
func ReadFiles(getenv func(string) string) (platform, own []byte, name string, err error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, nil, "", errors.New("BALANCER_CONFIG is not set")
	}
	if platform, err = os.ReadFile(path); err != nil {
		return nil, nil, "", fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	name = getenv("FAWN_FEATURES")
	if name == "" {
		name = FeaturesFile
		if _, err := os.Stat(name); errors.Is(err, os.ErrNotExist) {
			return platform, nil, name, nil
		}
	}
	if own, err = os.ReadFile(name); err != nil {
		return nil, nil, "", fmt.Errorf("features: %w", err)
	}
	return platform, own, name, nil
}

// SettleWait is how long files must be the same to be read: guards against one that is
// being replaced, half of which may be good TOML.
const SettleWait = 20 * time.Millisecond

// ReadTwice reads the files until two readings agree, with a pause between.
func ReadTwice(getenv func(string) string, pause func()) (platform, own []byte, name string, err error) {
	if platform, own, name, err = ReadFiles(getenv); err != nil {
		return nil, nil, "", err
	}
	for range 10 {
		pause()
		p, o, _, err := ReadFiles(getenv)
		if err != nil {
			return nil, nil, "", err
		}
		if bytes.Equal(p, platform) && bytes.Equal(o, own) {
			return platform, own, name, nil
		}
		platform, own = p, o
	}
	return nil, nil, "", errors.New("the files keep changing")
}

// Parse checks a configuration alone; name is that of the operators' file, for errors.
func Parse(platform, own []byte, name string, getenv func(string) string) (*Config, error) {
	c, err := parsePlatform(platform, getenv)
	if err != nil {
		return nil, err
	}
	c.Own, c.Getenv = own, getenv
	if len(own) == 0 {
		c.Features = features.Default()
		return c, nil
	}
	if c.Features, err = features.Parse(name, own); err != nil {
		return nil, err
	}
	if err := c.Features.CheckClasses(func(name string) bool { return c.Settings.Class([]byte(name)) >= 0 }); err != nil {
		return nil, err
	}
	inMemory := false
	if b := &c.Features.Bodies; b.Enabled && b.Folder != "" {
		if inMemory, err = spool.InMemory(b.Folder); err != nil {
			return nil, err
		}
	}
	return c, c.Features.CheckPlatform(c.MemoryMB, c.Sockets, inMemory)
}

func parsePlatform(data []byte, getenv func(string) string) (*Config, error) {
	var raw struct {
		Listen, Discovery string
		Management        string
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
	c := &Config{
		Platform:  data,
		Listen:    raw.Listen,
		Discovery: raw.Discovery,

		Management: raw.Management,
		Cores:      raw.Limits.Cores,
		MemoryMB:   int(raw.Limits.MemoryMB),
		Sockets:    int(raw.Limits.Sockets),
	}
	if v := getenv("BALANCER_LISTEN"); v != "" {
		c.Listen = v
	}
	if v := getenv("BALANCER_DISCOVERY"); v != "" {
		c.Discovery = v
	}
	if v := getenv("BALANCER_MANAGEMENT"); v != "" {
		c.Management = v
	}
	if c.Management != "" {
		if err := checkAddress(c.Management, 0); err != nil {
			return nil, fmt.Errorf("config: management: %w", err)
		}
	}
	if v := getenv("BALANCER_FD"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 3 || n > most {
			return nil, fmt.Errorf("BALANCER_FD: %q is no descriptor from 3 on", v)
		}
		c.Inherited = n
	}
	if err := checkAddress(c.Listen, 0); err != nil {
		return nil, fmt.Errorf("config: listen: %w", err)
	}
	if err := checkAddress(c.Discovery, 1); err != nil {
		return nil, fmt.Errorf("config: discovery: %w", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	switch {
	case !(c.Cores > 0 && c.Cores <= most):
		return nil, fmt.Errorf("config: limits.cores must be above 0, %d at most", most)
	case !(raw.Limits.MemoryMB >= memoryLeast && raw.Limits.MemoryMB <= most):
		return nil, fmt.Errorf("config: limits.memory_mb must be within %d and %d", memoryLeast, most)
	case !(raw.Limits.Sockets >= socketsLeast && raw.Limits.Sockets <= most):
		return nil, fmt.Errorf("config: limits.sockets must be within %d and %d", socketsLeast, most)
	case len(raw.Settings) == 0:
		return nil, errors.New("config: settings is missing")
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.Known, err = discovery.Parse(raw.Known); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	if c.Settings, err = settings.Parse(raw.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	s := c.Settings
	switch {
	case s.DialTimeout <= 0:
		return nil, errors.New("config: settings.caps.dialTimeoutUs must be above 0")
	case s.ConnIdle <= 0:
		return nil, errors.New("config: settings.caps.connIdleUs must be above 0")
	case s.MaxHeld < 0:
		return nil, errors.New("config: settings.caps.mostHeld must be 0 or more")
	case s.DrainGrace < 0:
		return nil, errors.New("config: settings.guarantees.drainGraceUs must be 0 or more")
	}
	for n, d := range s.Deadlines {
		if d <= 0 {
			return nil, fmt.Errorf("config: settings.classes[%d].hardLimitUs must be above 0", n)
		}
	}
	if err := s.Config.Validate(); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	c.Asks = s.Config.AskWithin > 0
	return c, nil
}
