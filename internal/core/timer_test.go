package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/settings"
)

// liveBytes returns the size of the live heap.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC() // what finalizers and pools held on to
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against memory that grows with the number of ended calls whose callers stated a long wait, or
// whose class has a long aim.
func TestEndedCallsHoldNoMemory(t *testing.T) {
	const calls, maxBytes = 100_000, 1 << 20
	for name, c := range map[string]struct {
		settings *settings.Settings
		wait     time.Duration
	}{
		"long wait": {shortSettings(), 10 * time.Minute},
		"long aim":  {newSettings(10*time.Minute, 20*time.Minute, "cell", 150*time.Millisecond), 0},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &memTransport{}
			transport.onStart = func(a *memAttempt) {
				transport.mu.Lock()
				transport.attempts = nil
				transport.mu.Unlock()
				a.order.Sink.Done(chalkrack.OK, "hi", chalkrack.LoadReport{})
			}
			h := newQuietHost(t, transport, c.settings, 3)
			defer h.Close()
			run := func(from, to int) {
				for n := from; n < to; n++ {
					h.Arrive(&core.Call{ID: fmt.Sprint(n), Class: "a", Timeout: c.wait, Received: time.Now(), Caller: new(recordingCaller)})
				}
			}
			run(0, calls/10)
			before := liveBytes()
			run(calls/10, calls)
			if grown := liveBytes() - before; grown > maxBytes {
				t.Errorf("%d ended calls hold %d KB", calls, grown>>10)
			}
			if h.Held() != 0 {
				t.Errorf("%d calls are held", h.Held())
			}
		})
	}
}
