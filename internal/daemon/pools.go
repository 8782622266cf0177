package daemon

import (
	"chalkrack/internal/bytebudget"
	"chalkrack/internal/components/pools"
	"chalkrack/internal/core"
	"chalkrack/internal/httphead"
)

// newRouting returns the routing, or nil if the operators' file has no routes, pools or listeners.
// addPool registers each pool for the operators' calls and upgrades; nil: there are none.
func newRouting(c *Config, answerHeads *httphead.Budget, answers *bytebudget.Budget, ids *core.IDClaims, addPool pools.AddPool) (*pools.Routing, error) {
	return pools.New(&pools.Config{AddPool: addPool, IDs: ids, Generation: c.Generation(c.ID()), Features: c.Features, Seed: c.Seed, Trace: traceLogger(c), Heads: answerHeads, Answers: answers})
}

// maxPoolConns returns the maximum number of connections to servers of all pools together.
func maxPoolConns(c *Config) (n int) {
	for _, p := range c.Features.Pools {
		n += p.MaxConnections
	}
	return n
}
