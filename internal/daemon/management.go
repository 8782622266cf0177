package daemon

import (
	"log/slog"
	"net"

	"chalkrack/internal/components/operating"
	"chalkrack/internal/httphead"
	"chalkrack/internal/management"
)

const (
	// One in socketsPerManagementCaller descriptors is reserved for callers of the management
	// address, and at most maxManagementCallers. Few are enough, because silent callers are
	// evicted for new ones.
	maxManagementCallers       = 32
	socketsPerManagementCaller = 16
)

// managementCallers returns the number of descriptors reserved for callers of the management
// address, without its listener.
func managementCallers(c *Config) int {
	if c.Management == "" {
		return 0
	}
	return max(8, min(maxManagementCallers, c.Sockets/socketsPerManagementCaller))
}

// managementDescriptors returns the number of descriptors reserved for management, listener included.
func managementDescriptors(c *Config) int {
	if c.Management == "" {
		return 0
	}
	return managementCallers(c) + 1
}

// operationConfig returns the configuration of package operating.
func operationConfig(s *sidecar) operating.Config {
	c := s.cfg
	cfg := operating.Config{Host: s.host, Figures: s.figures, ApplyList: s.applyList, Pool: s.pool, Limits: operating.Limits{Memory: maxHeapBytes(c), Conns: s.maxConnsPerSide, Bodies: maxShortBodyBytes(c), Heads: []*httphead.Budget{s.requestHeads, s.answerHeads}, Answers: s.answers},
		Shared: c.InheritedFD > 0, Tmp: c.Getenv("TMPDIR"), Listen: c.Listen}
	if s.zones != nil {
		cfg.Zones = s.zones
	}
	return cfg
}

// listenManagement starts the server on the management address, or returns nil if none is set.
func listenManagement(c *Config, operations management.Handler) (*management.Server, error) {
	if c.Management == "" {
		return nil, nil
	}
	server, err := management.Listen(c.Management, managementCallers(c), operations)
	if err != nil {
		return nil, err
	}
	slog.Info("management", "listen", server.Addr())
	if c.OnManagementListen != nil {
		c.OnManagementListen(server.Addr())
	}
	return server, nil
}

// clientListener returns the listener for clients: an inherited one, or a new one of this process.
func clientListener(c *Config) (net.Listener, error) {
	if c.InheritedFD > 0 {
		return inheritListener(c.InheritedFD, c.Listen)
	}
	return net.Listen("tcp", c.Listen)
}
