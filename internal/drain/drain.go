// Package drain decides how a sidecar leaves its clients and comes back to them: a state
// machine without I/O, clock or goroutines.
//
// From DRAIN on the front is told no, and sends no new connection soon after. Answers
// end their connections. Those that idle are ended after idleAfter, when the front has
// long stopped to open new ones, and long before it wants them all gone.
package drain

import "time"

// State is where a sidecar stands.
type State int

const (
	Serving  State = iota
	Draining       // connections come and are used
	Ending         // those that idle are ended
)

// idleAfter is how long after DRAIN connections that idle are ended. Until then most end
// with an answer, which no request can cross.
const idleAfter = 900 * time.Millisecond

// Machine is one sidecar's drain. The zero Machine serves.
type Machine struct {
	on    bool
	since time.Duration
}

// Begin drains from now on. Told twice, the first time holds.
func (m *Machine) Begin(now time.Duration) {
	if !m.on {
		m.on, m.since = true, now
	}
}

// End goes back to work.
func (m *Machine) End() { m.on = false }

// State is where it stands now.
func (m *Machine) State(now time.Duration) State {
	switch {
	case !m.on:
		return Serving
	case now-m.since < idleAfter:
		return Draining
	}
	return Ending
}

// Since is when the drain began; false if there is none.
func (m *Machine) Since() (time.Duration, bool) { return m.since, m.on }

// String is the state's name.
func (s State) String() string { return [...]string{"serving", "draining", "ending"}[s] }
