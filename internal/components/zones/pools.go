package zones

import (
	"cmp"
	"maps"
	"slices"

	"chalkrack"
	"chalkrack/internal/membership"
)

// pool holds the servers of a pool, which has a core of its own. Its calls are no evidence on zones and
// count for no stage's rate, so it uses a zone only while all sidecars do.
type pool struct {
	forward func(*membership.List)
	entries membership.Servers
	closed  map[string]bool // zones whose servers were passed on as draining last
}

// AddPool adds a pool and returns the function that takes its lists. It passes them to forward with the
// servers of zones that are left, or not back yet, as draining. A pool without a server elsewhere goes on
// using them.
func (z *Zones) AddPool(forward func(*membership.List)) (applyList func(*membership.List)) {
	p := &pool{forward: forward, entries: make(membership.Servers)}
	z.forwardMu.Lock()
	defer z.forwardMu.Unlock()
	z.pools = append(z.pools, p)
	return func(l *membership.List) { z.applyPoolList(p, l) }
}

// applyPoolList takes a list of a pool.
func (z *Zones) applyPoolList(p *pool, l *membership.List) {
	z.forwardMu.Lock()
	defer z.forwardMu.Unlock()
	p.entries.Apply(l)
	closed := z.closedZones(p)
	if len(closed) == 0 && len(p.closed) == 0 {
		p.forward(l)
		return
	}
	p.pass(closed)
}

// forwardPools passes the lists of all pools on whose zones have changed.
func (z *Zones) forwardPools() {
	z.forwardMu.Lock()
	defer z.forwardMu.Unlock()
	for _, p := range z.pools {
		if closed := z.closedZones(p); !maps.Equal(closed, p.closed) {
			p.pass(closed)
		}
	}
}

// closedZones returns the zones whose servers a pool may not use now.
func (z *Zones) closedZones(p *pool) map[string]bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	closed, hasOther := make(map[string]bool), false
	for _, e := range p.entries {
		switch {
		case !z.machine.IsOpen(e.Zone):
			closed[e.Zone] = true
		case e.State == chalkrack.Serving:
			hasOther = true
		}
	}
	if !hasOther {
		clear(closed)
	}
	return closed
}

// pass passes the whole list on, with the servers of closed zones as draining.
func (p *pool) pass(closed map[string]bool) {
	p.closed = closed
	whole := &membership.List{Complete: true}
	for _, e := range p.entries {
		if closed[e.Zone] && e.State == chalkrack.Serving {
			e.State = chalkrack.Draining
		}
		whole.Entries = append(whole.Entries, e)
	}
	slices.SortFunc(whole.Entries, func(a, b membership.Entry) int { return cmp.Compare(a.Name, b.Name) })
	p.forward(whole)
}
