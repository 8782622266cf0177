// Package drain decides how a sidecar drains its client connections and returns to
// service. It is a state machine without I/O, clock or goroutines.
//
// From DRAIN on the sidecar reports that it is not ready, and the load balancer in front
// of it soon sends no new connections. Each answer closes its connection. Connections
// that stay idle are closed after idleCloseDelay, well after the load balancer stops
// opening new ones and well before it requires all of them to be closed.
package drain

import "time"

// State is the stage of a drain.
type State int

const (
	Serving     State = iota
	Draining          // connections are still accepted and used
	ClosingIdle       // idle connections are closed
)

// idleCloseDelay is the time from DRAIN until idle connections are closed. Until then
// most connections end with an answer, where no request can cross the close.
const idleCloseDelay = 900 * time.Millisecond

// Machine is the drain state of one sidecar. The zero Machine serves.
type Machine struct {
	draining bool
	since    time.Duration
}

// Begin starts a drain at now. During a drain it does nothing: the first start time stays.
func (m *Machine) Begin(now time.Duration) {
	if !m.draining {
		m.draining, m.since = true, now
	}
}

// End stops the drain and returns to service.
func (m *Machine) End() { m.draining = false }

// State returns the state at now.
func (m *Machine) State(now time.Duration) State {
	switch {
	case !m.draining:
		return Serving
	case now-m.since < idleCloseDelay:
		return Draining
	}
	return ClosingIdle
}

// Since returns when the drain began, and whether there is one.
func (m *Machine) Since() (time.Duration, bool) { return m.since, m.draining }

// String returns the state's name.
func (s State) String() string { return [...]string{"serving", "draining", "ending"}[s] }
