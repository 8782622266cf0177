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
	callersMost  = 32
	callersShare = 16 // of the descriptors, one in so many
)

// callers is how many descriptors are set aside for who calls the management address;
// its listener not counted.
func (c *Config) callers() int {
	if c.management == "" {
		return 0
	}
	return max(8, min(callersMost, c.sockets/callersShare))
}

// managementConns are the descriptors that management needs in all.
func managementConns(c *Config) int {
	if c.management == "" {
		return 0
	}
	return c.callers() + 1
}

// operatingOf is what the room of operating is told.
func operatingOf(s *sidecar) operating.Config {
	c := s.c
	cfg := operating.Config{Host: s.host, Figures: s.fig, Tell: s.tell, Pool: s.pool, Limits: operating.Limits{Memory: c.heapMost(), Conns: s.side, Bodies: c.shortMost()},
		Shared: c.inherited > 0, Tmp: c.getenv("TMPDIR"), Listen: c.listen}
	if s.zoned != nil {
		cfg.Zones = s.zoned
	}
	return cfg
}

// manage listens where operators call; nil where that is off.
func manage(c *Config, deeds management.Deeds) (*management.Server, error) {
	if c.management == "" {
		return nil, nil
	}
	s, err := management.Listen(c.management, c.callers(), deeds)
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
	if c.inherited > 0 {
		return inherit(c.inherited, c.listen)
	}
	return net.Listen("tcp", c.listen)
}
