package drain

import (
	"testing"
	"time"
)

func TestDrain(t *testing.T) {
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
	m.Begin(500 * time.Millisecond) // told twice: the first time holds
	at(1000, Ending)
	at(100000, Ending)
	m.End()
	at(1000, Serving)
	m.End()
	m.Begin(2 * time.Second) // a new drain has its own time
	at(2100, Draining)
	if since, on := m.Since(); since != 2*time.Second || !on {
		t.Errorf("since %v, %v", since, on)
	}
	// All ends long before the front wants it: 4 s, less 2 s in which no request may come.
	if idleAfter > 1500*time.Millisecond {
		t.Errorf("idle connections last %v", idleAfter)
	}
}
