package core

import (
	"sync"
	"time"

	"chalkrack"
)

const (
	// markTTL can be short: an attempt is repeated because its connection broke, either immediately
	// or not at all.
	markTTL = 10 * time.Second
	// idTTL is how long the ID of a call that may have run is remembered after its last arrival.
	idTTL = time.Minute
)

// IDRegistry holds the IDs that all processes of a sidecar have claimed. Its methods may be called
// from any goroutine and block for a short time only.
type IDRegistry interface {
	// Claim claims an ID for this process, and reports false if another one has claimed it.
	Claim(id string) bool
	// Forget gives a claim up.
	Forget(id string)
}

// IDClaims prevents that a call runs again when its ID comes again, after its client has left or its
// answer was lost. Clients use each ID once, and a call that may have run must not run for a second
// call of the same ID, at whichever Host of the process that comes. Its methods may be called from any
// goroutine.
type IDClaims struct {
	shared IDRegistry // nil: there is no other process

	mu     sync.Mutex
	recent recentSet
}

// NewIDClaims returns claims for all Hosts of a process. shared has the claims of all processes of the
// sidecar; nil: there is one process.
func NewIDClaims(shared IDRegistry) *IDClaims {
	return &IDClaims{shared: shared, recent: recentSet{ttl: idTTL}}
}

// claim claims the ID of a call that arrives, and reports false if it was claimed before.
func (c *IDClaims) claim(now time.Duration, id string) bool {
	c.mu.Lock()
	wasThere := c.recent.add(now, id)
	c.mu.Unlock()
	return !wasThere && (c.shared == nil || c.shared.Claim(id))
}

// forget gives the claim of a call up that provably has not run.
func (c *IDClaims) forget(id string) {
	c.mu.Lock()
	c.recent.remove(id)
	c.mu.Unlock()
	if c.shared != nil {
		c.shared.Forget(id)
	}
}

// needsClaim reports whether a call must not run again when its ID comes again. Attempts of a
// previous tier repeat an ID where that is allowed.
func (h *Host) needsClaim(c *Call) bool {
	if h.ids == nil || c.Limits != nil && c.Limits.FromTier {
		return false
	}
	gen := c.Generation.Gen
	index := gen.Class(c.Class)
	return index >= 0 && gen.Rules().Classes[index].Effect != chalkrack.Safe
}

// refuseRepeat ends a call whose ID has been claimed before.
func (h *Host) refuseRepeat(c *Call) {
	h.log().Warn("call failed: a call of the same ID may have run", "request", c.ID[:min(len(c.ID), maxLoggedIDBytes)], "class", c.Class)
	c.Caller.Fail()
	c.Caller.Release()
}

// forgetUnsentID gives up the claim of a call that provably has not run. It is called with the lock
// held.
func (h *Host) forgetUnsentID(call *callState) {
	if call.claimsID && call.unsent() {
		call.claimsID = false
		h.queueAction(action{kind: actForgetID, id: call.details.ID})
	}
}
