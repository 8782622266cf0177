package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"chalkrack/internal/change"
	"chalkrack/internal/discovery"
	"chalkrack/internal/features"
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

	listen, discovery string
	seed              uint64
	cores             float64
	memoryMB, sockets int
	known             *membership.List // nil: none
	settings          *settings.Settings
	asks              bool   // discovery must be asked
	platform          []byte // the file, as read
	own               []byte // the operators' file, as read; empty: none
	getenv            func(string) string
	management        string // where operators call; empty: nowhere
	inherited         int    // the descriptor of the clients' listening socket; 0: none

	// Of Recall:
	store   *history.Store // nil: not yet
	trial   bool           // what runs is on trial since before the start, with nothing beside it
	lasting bool           // the store outlives the process
}

// Document is the configuration as it was read, for a comparison with another.
func (c *Config) Document() change.Document {
	return change.Document{Platform: c.platform, Features: c.Features}
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

// FeaturesFile is where the operators' own settings stand, from the folder that the
// sidecar is started in. FAWN_FEATURES names another file; that one must exist.
const FeaturesFile = "deploy/features.toml"

// Load reads the configuration from the environment and the files it names.
// Errors name the field.
func Load(getenv func(string) string) (*Config, error) {
	platform, own, name, err := readFiles(getenv)
	if err != nil {
		return nil, err
	}
	return parse(platform, own, name, getenv)
}

// readFiles reads the two files. own is empty where the operators have none.
func readFiles(getenv func(string) string) (platform, own []byte, name string, err error) {
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

// parse checks a configuration alone; name is that of the operators' file, for errors.
func parse(platform, own []byte, name string, getenv func(string) string) (*Config, error) {
	c, err := parsePlatform(platform, getenv)
	if err != nil {
		return nil, err
	}
	c.own, c.getenv = own, getenv
	if len(own) == 0 {
		c.Features = features.Default()
		return c, nil
	}
	if c.Features, err = features.Parse(name, own); err != nil {
		return nil, err
	}
	if err := c.Features.CheckClasses(func(name string) bool { return c.settings.Class([]byte(name)) >= 0 }); err != nil {
		return nil, err
	}
	inMemory := false
	if b := &c.Features.Bodies; b.Enabled && b.Folder != "" {
		if inMemory, err = spool.InMemory(b.Folder); err != nil {
			return nil, err
		}
	}
	return c, c.Features.CheckPlatform(c.memoryMB, c.sockets, inMemory)
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
		platform:  data,
		listen:    raw.Listen,
		discovery: raw.Discovery,

		management: raw.Management,
		cores:      raw.Limits.Cores,
		memoryMB:   int(raw.Limits.MemoryMB),
		sockets:    int(raw.Limits.Sockets),
	}
	if v := getenv("BALANCER_LISTEN"); v != "" {
		c.listen = v
	}
	if v := getenv("BALANCER_DISCOVERY"); v != "" {
		c.discovery = v
	}
	if v := getenv("BALANCER_MANAGEMENT"); v != "" {
		c.management = v
	}
	if c.management != "" {
		if err := checkAddress(c.management, 0); err != nil {
			return nil, fmt.Errorf("config: management: %w", err)
		}
	}
	if v := getenv("BALANCER_FD"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 3 || n > most {
			return nil, fmt.Errorf("BALANCER_FD: %q is no descriptor from 3 on", v)
		}
		c.inherited = n
	}
	if err := checkAddress(c.listen, 0); err != nil {
		return nil, fmt.Errorf("config: listen: %w", err)
	}
	if err := checkAddress(c.discovery, 1); err != nil {
		return nil, fmt.Errorf("config: discovery: %w", err)
	}
	var err error
	if c.seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	switch {
	case !(c.cores > 0 && c.cores <= most):
		return nil, fmt.Errorf("config: limits.cores must be above 0, %d at most", most)
	case !(raw.Limits.MemoryMB >= memoryLeast && raw.Limits.MemoryMB <= most):
		return nil, fmt.Errorf("config: limits.memory_mb must be within %d and %d", memoryLeast, most)
	case !(raw.Limits.Sockets >= socketsLeast && raw.Limits.Sockets <= most):
		return nil, fmt.Errorf("config: limits.sockets must be within %d and %d", socketsLeast, most)
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
	for n, d := range s.Deadlines {
		if d <= 0 {
			return nil, fmt.Errorf("config: settings.classes[%d].hardLimitUs must be above 0", n)
		}
	}
	if err := s.Config.Validate(); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	c.asks = s.Config.AskWithin > 0
	return c, nil
}
