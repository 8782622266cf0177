package core

import (
	"time"

	"chalkrack"
)

// AttemptCounts counts attempts that have ended.
type AttemptCounts struct {
	Ended uint64 // all except those that were cancelled or not sent
	Late  uint64 // those of Ended, not declined, that timed out or ended after the aim of their call
	Full  uint64 // those of Ended that the server declined
}

// SetDegradationPolicy makes the Balancer ask policy, which the Host's lock guards from now on.
func (h *Host) SetDegradationPolicy(policy chalkrack.DegradationPolicy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.SetDegradationPolicy(policy)
}

// WithPolicyLock calls do while it holds the lock that guards the degradation policy. It passes
// the current time, the counts of attempts, the number of serving servers and the number of those
// that are ejected. do must not call the Host.
func (h *Host) WithPolicyLock(do func(now time.Duration, seen AttemptCounts, members, ejected int)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	state := h.balancer.ViewState(now)
	do(now, h.attemptCounts, state.ServingServers, state.Ejected)
}

// countOutcome adds the outcome of an attempt to the counts.
func (h *Host) countOutcome(now time.Duration, a *attempt, outcome chalkrack.Outcome) {
	if outcome == chalkrack.Cancelled || outcome == chalkrack.NotSent {
		return
	}
	h.attemptCounts.Ended++
	switch {
	case outcome == chalkrack.Full:
		h.attemptCounts.Full++
	case outcome == chalkrack.TimedOut, a.call.class != nil && now-a.call.arrivedAt > a.call.class.Aim:
		h.attemptCounts.Late++
	}
}

// RecordReport passes a server's load report that is of the given age to the Balancer.
func (h *Host) RecordReport(server string, age time.Duration, rep chalkrack.LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.Probed(h.now()-age, server, rep)
}
