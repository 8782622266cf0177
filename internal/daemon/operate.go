package daemon

import (
	"log/slog"
	"net"

	"chalkrack/internal/management"
	"chalkrack/internal/rooms/operating"
)

const (
	// Descriptors set aside for callers of the management address: few, for one that says
	// nothing makes way.
	maxCallers   = 32
	callersShare = 16 // of the descriptors, one in so many
)

// callers is how many descriptors are set aside for who calls the management address;
// its listener not counted.
func callers(c *Config) int {
	if c.Management == "" {
		return 0
	}
	return max(8, min(maxCallers, c.Sockets/callersShare))
}

// managementConns are the descriptors that management needs in all.
func managementConns(c *Config) int {
	if c.Management == "" {
		return 0
	}
	return callers(c) + 1
}

// operatingOf is what the room of operating is told.
func operatingOf(s *sidecar) operating.Config {
	c := s.c
	cfg := operating.Config{Host: s.host, Figures: s.fig, Tell: s.tell, Pool: s.pool, Limits: operating.Limits{Memory: maxHeap(c), Conns: s.side, Bodies: maxShortBodies(c)},
		Shared: c.Inherited > 0, Tmp: c.Getenv("TMPDIR"), Listen: c.Listen}
	if s.zoned != nil {
		cfg.Zones = s.zoned
	}
	return cfg
}

// manage listens where operators call; nil where that is off.
func manage(c *Config, deeds management.Deeds) (*management.Server, error) {
	if c.Management == "" {
		return nil, nil
	}
	s, err := management.Listen(c.Management, callers(c), deeds)
	if err != nil {
		return nil, err
	}
	slog.Info("management", "listen", s.Addr())
	if c.Managed != nil {
		c.Managed(s.Addr())
	}
	return s, nil
}

// listener is where clients come: one that the platform holds, or one of our own.
func listener(c *Config) (net.Listener, error) {
	if c.Inherited > 0 {
		return inherit(c.Inherited, c.Listen)
	}
	return net.Listen("tcp", c.Listen)
}
