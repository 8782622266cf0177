package core

import (
	"time"

	"chalkrack"
)

// Tally counts attempts' ends.
type Tally struct {
	Ended uint64 // all but those that were called off
	Late  uint64 // of them, answered after the aim or never
	Full  uint64 // and turned away by the server
}

// SetGate has the Balancer ask g, which the Host's lock guards from now on.
func (h *Host) SetGate(g chalkrack.Gate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.b.SetGate(g)
}

// With calls do with the lock that guards the gate: at what time, what was tallied, how
// many servers serve and how many of them are ejected. do must not call the Host.
func (h *Host) With(do func(now time.Duration, seen Tally, members, ejected int)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	s := h.b.ViewState(now)
	do(now, h.tally, s.Members, s.Ejected)
}

// count tallies an attempt's end.
func (h *Host) count(now time.Duration, a *attempt, o chalkrack.Outcome) {
	if o == chalkrack.Cancelled || o == chalkrack.NotSent {
		return
	}
	h.tally.Ended++
	switch {
	case o == chalkrack.Full:
		h.tally.Full++
	case o == chalkrack.TimedOut, a.q.class != nil && now-a.q.came > a.q.class.Aim:
		h.tally.Late++
	}
}

// Reported takes a server's load as it was seen some time ago.
func (h *Host) Reported(server string, age time.Duration, rep chalkrack.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.b.Probed(h.now()-age, server, rep)
}
