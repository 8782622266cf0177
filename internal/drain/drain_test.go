package drain

import (
	"testing"
	"time"
)

// A repeated Begin must not restart the delay, and a new drain after End must not keep
// the start time of the previous one.
func TestDrainStates(t *testing.T) {
	var m Machine
	at := func(ms int, want State) {
		t.Helper()
		if got := m.State(time.Duration(ms) * time.Millisecond); got != want {
			t.Errorf("at %d ms: %v, want %v", ms, got, want)
		}
	}
	at(0, Serving)
	m.Begin(100 * time.Millisecond)
	at(100, Draining)
	at(999, Draining)
	m.Begin(500 * time.Millisecond) // repeated: the first start time stays
	at(1000, ClosingIdle)
	at(100000, ClosingIdle)
	m.End()
	at(1000, Serving)
	m.End()
	m.Begin(2 * time.Second) // a new drain has its own start time
	at(2100, Draining)
	if since, on := m.Since(); since != 2*time.Second || !on {
		t.Errorf("Since() = %v, %v, want 2s, true", since, on)
	}
	// The load balancer in front requires all connections closed after 4 s. In 2 s of
	// these no request may arrive, so the delay has to end well within the other 2 s.
	if idleCloseDelay > 1500*time.Millisecond {
		t.Errorf("idle connections are closed after %v, want at most 1.5s", idleCloseDelay)
	}
}
