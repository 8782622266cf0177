// Package config loads the configuration of a sidecar at its start: the platform's file,
// the operators' own file, and the stored history of configuration changes.
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

// Config is the configuration that a sidecar is started with.
type Config struct {
	Features *features.File
	BodyFS   spool.FS // file system for files of bodies; nil: the operating system's
	// OnManagementListen, if not nil, is called with the address of the management listener before the
	// daemon starts to serve.
	OnManagementListen func(net.Addr)

	Listen, Discovery string
	Seed              uint64
	Cores             float64
	MemoryMB, Sockets int
	KnownServers      *membership.List // server list known at the start; nil: none
	Settings          *settings.Settings
	NeedsSubscription bool   // discovery sends the server list to subscribers only
	PlatformData      []byte // the platform's file, as read
	FeaturesData      []byte // the operators' file, as read; empty: none
	Getenv            func(string) string
	Management        string // address of the management listener; empty: none
	InheritedFD       int    // descriptor of the inherited client listening socket; 0: none

	// Set when the history of changes is opened:
	History      *history.Store // nil: not opened yet, or changes are disabled
	OnTrial      bool           // the running configuration was on trial before the start, and none runs beside it
	IsPersistent bool           // the store is persistent
}

// Generation returns the settings that apply to calls under this configuration.
func (c *Config) Generation(id history.ID) *generation.Generation {
	return &generation.Generation{ID: int(id), Settings: c.Settings, Paths: c.Features.Paths, PassClientErrors: c.Features.Answers.PassClientErrors}
}

// Document returns the configuration as it was read, for comparison with another one.
func (c *Config) Document() change.Document {
	return change.Document{Platform: c.PlatformData, Features: c.Features}
}

const (
	minMemoryMB = 32
	minSockets  = 32
	maxLimit    = 1 << 20 // of each limit, in its unit; a higher value is taken for a mistake
)

// checkAddress checks that addr has a host and a numeric port of at least minPort. Names
// are not accepted as ports: there is no DNS, and a name that can't be resolved would only
// be noticed when it is used.
func checkAddress(addr string, minPort int) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.Atoi(port); err != nil || n < minPort || n > 65535 || host == "" {
		return fmt.Errorf("%q is no address with a port", addr)
	}
	return nil
}

// PreferFile returns a getenv that hides BALANCER_DISCOVERY, so that the address of
// discovery in the file takes precedence. At a reload the environment still has the
// address from the start, and the file has the newer one.
func PreferFile(getenv func(string) string) func(string) string {
	return func(name string) string {
		if name == "BALANCER_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}
}

// FeaturesFile is the default path of the operators' settings, relative to the working
// directory. FAWN_FEATURES sets another path, and then the file must exist.
const FeaturesFile = "deploy/features.toml"

// Load reads the configuration from the environment and the files it names.
// Errors name the invalid field.
func Load(getenv func(string) string) (*Config, error) {
	platform, own, name, err := ReadFiles(getenv)
	if err != nil {
		return nil, err
	}
	return Parse(platform, own, name, getenv)
}

// ReadFiles reads the platform's and the operators' file. own is nil if the operators
// have no file; name is the path of that file.
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

// SettleDelay is how long the files must be unchanged before they are used. It guards
// against a file that is being written: its first half may be valid TOML.
const SettleDelay = 20 * time.Millisecond

// ReadStable reads the files until two consecutive reads return the same content, and calls
// pause before each further read. It fails if the files still differ after 10 of them.
func ReadStable(getenv func(string) string, pause func()) (platform, own []byte, name string, err error) {
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

// Parse parses and validates a configuration without regard to others. name is the name of
// the operators' file in errors.
func Parse(platform, own []byte, name string, getenv func(string) string) (*Config, error) {
	c, err := parsePlatform(platform, getenv)
	if err != nil {
		return nil, err
	}
	c.FeaturesData, c.Getenv = own, getenv
	if len(own) == 0 {
		c.Features = features.Default()
		return c, nil
	}
	if c.Features, err = features.Parse(name, own); err != nil {
		return nil, err
	}
	if err := c.Features.CheckClasses(func(name string) bool { return c.Settings.ClassIndex([]byte(name)) >= 0 }); err != nil {
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

// parsePlatform parses the platform's file. Environment variables override its addresses.
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
		PlatformData: data,
		Listen:       raw.Listen,
		Discovery:    raw.Discovery,

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
		if err != nil || n < 3 || n > maxLimit {
			return nil, fmt.Errorf("BALANCER_FD: %q is no descriptor from 3 on", v)
		}
		c.InheritedFD = n
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
	case !(c.Cores > 0 && c.Cores <= maxLimit):
		return nil, fmt.Errorf("config: limits.cores must be above 0, %d at most", maxLimit)
	case !(raw.Limits.MemoryMB >= minMemoryMB && raw.Limits.MemoryMB <= maxLimit):
		return nil, fmt.Errorf("config: limits.memory_mb must be within %d and %d", minMemoryMB, maxLimit)
	case !(raw.Limits.Sockets >= minSockets && raw.Limits.Sockets <= maxLimit):
		return nil, fmt.Errorf("config: limits.sockets must be within %d and %d", minSockets, maxLimit)
	case len(raw.Settings) == 0:
		return nil, errors.New("config: settings is missing")
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.KnownServers, err = discovery.Parse(raw.Known); err != nil {
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
	c.NeedsSubscription = s.Config.AskWithin > 0
	return c, nil
}
