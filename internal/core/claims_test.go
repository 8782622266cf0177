package core_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
)

// A call whose ID comes again is attempted again only if that does no harm.
func TestRepeatedIDs(t *testing.T) {
	for name, c := range map[string]struct {
		class   string
		first   chalkrack.Outcome // of all attempts of the first call
		limits  *core.Limits
		between time.Duration
		attempt bool // the second call is attempted
	}{
		"safe":                     {"a", chalkrack.Reset, nil, 0, true},
		"unsafe, may have run":     {"u", chalkrack.Reset, nil, 0, false},
		"unsafe, served":           {"u", chalkrack.OK, nil, 0, false},
		"unsafe, never ran":        {"u", chalkrack.ConnectFailed, nil, 0, true},
		"keyed, served":            {"k", chalkrack.OK, nil, 0, false},
		"keyed, never ran":         {"k", chalkrack.Full, nil, 0, true},
		"unsafe, of another tier":  {"u", chalkrack.Reset, &core.Limits{FromTier: true}, 0, true},
		"unsafe, a long time ago":  {"u", chalkrack.Reset, nil, 5 * time.Minute, true},
		"unsafe, half a minute on": {"u", chalkrack.Reset, nil, 30 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &memTransport{onStart: func(a *memAttempt) {
					var answer any
					if c.first == chalkrack.OK {
						answer = "hi"
					}
					a.order.Sink.Done(c.first, answer, chalkrack.LoadReport{})
				}}
				h := newQuietHostWith(t, core.Config{Settings: shortSettings(), Seed: 1, Transport: transport, IDs: core.NewIDClaims(nil)}, 3)
				defer h.Close()
				attempts := func() int {
					transport.mu.Lock()
					defer transport.mu.Unlock()
					return len(transport.attempts)
				}
				arrive := func(id string) *recordingCaller {
					caller := new(recordingCaller)
					h.Arrive(&core.Call{ID: id, Class: c.class, Received: time.Now(), Caller: caller, Limits: c.limits})
					synctest.Wait()
					return caller
				}
				arrive("7")
				first := attempts()
				if first == 0 {
					t.Fatal("the first call is not attempted")
				}
				time.Sleep(c.between)
				if c.between > time.Minute { // time passes for the set with other calls
					for n := range 3 {
						arrive(fmt.Sprint("other", n))
						time.Sleep(time.Minute)
					}
					first = attempts()
				}
				again := arrive("7")
				if attempted := attempts() > first; attempted != c.attempt {
					t.Errorf("attempted again: %v, want %v", attempted, c.attempt)
				}
				if len(again.finals) != 1 || !c.attempt && again.finals[0] != "failed" {
					t.Errorf("the second call ended as %v", again.finals)
				}
			})
		})
	}
}

// Guards against a call that runs again at another core of the process, such as a pool's, when its ID
// comes again there.
func TestRepeatedIDAtAnotherHost(t *testing.T) {
	ids := core.NewIDClaims(nil)
	attempts := 0
	transport := &memTransport{onStart: func(a *memAttempt) {
		attempts++
		a.order.Sink.Done(chalkrack.Reset, nil, chalkrack.LoadReport{})
	}}
	for n := range 3 {
		h := newQuietHostWith(t, core.Config{Settings: shortSettings(), Seed: 1, Transport: transport, IDs: ids}, 3)
		defer h.Close()
		caller := new(recordingCaller)
		h.Arrive(&core.Call{ID: "7", Class: "u", Received: time.Now(), Caller: caller})
		if attempts != 1 || len(caller.finals) != 1 || caller.finals[0] != "failed" {
			t.Errorf("host %d: %d attempts so far, the call ended as %v", n, attempts, caller.finals)
		}
	}
}
