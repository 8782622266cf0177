package daemon

import "chalkrack/internal/rooms/pools"

// newRouting returns nil where the operators' file has no routes, pools or listeners.
func newRouting(c *Config) (*pools.Routing, error) {
	return pools.New(&pools.Config{Settings: c.Settings, Features: c.Features, Seed: c.Seed, Trace: traces(c)})
}

// connectionsOf is how many connections to servers all pools may have.
func connectionsOf(c *Config) (n int) {
	for _, p := range c.Features.Pools {
		n += p.MaxConnections
	}
	return n
}
