package pools

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/generation"
	"chalkrack/internal/queue"
	"chalkrack/internal/settings"
)

// fakeCore is a Handler that records calls, and ends them only if endsAtOnce is set.
type fakeCore struct {
	mu         sync.Mutex
	calls      []*core.Call
	endsAtOnce bool // fail and release each call on arrival
	goneCount  int
	generation *generation.Generation // of the calls that arrive
	refused    int                    // calls that RecordUnsentRefusal has reported
}

func (h *fakeCore) Arrive(c *core.Call) {
	h.mu.Lock()
	h.calls = append(h.calls, c)
	once := h.endsAtOnce
	h.mu.Unlock()
	if once {
		c.Caller.Fail()
		c.Caller.Release()
	}
}
func (h *fakeCore) ClientGone(*core.Call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.goneCount++
	return false
}
func (h *fakeCore) Ready() bool             { return true }
func (h *fakeCore) BodyComplete(*core.Call) {}
func (h *fakeCore) Stamp() generation.Stamp { return generation.Stamp{Gen: h.generation} }
func (h *fakeCore) RecordUnsentRefusal(*core.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused++
}
func (h *fakeCore) Route(string) (string, generation.Stamp, bool) {
	return "", generation.Stamp{}, true
}

// takeCalls returns the calls received since the last takeCalls, and their IDs.
func (h *fakeCore) takeCalls() (ids []string, calls []*core.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls, h.calls = h.calls, nil
	for _, c := range calls {
		ids = append(ids, c.ID)
	}
	return ids, calls
}

// fakeCaller is a Caller that records its method calls as events.
type fakeCaller struct {
	mu     sync.Mutex
	events []string
}

func (h *fakeCaller) record(s string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, s)
}

// isReleased reports whether the call's last event was recorded.
func (h *fakeCaller) isReleased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.events, "released")
}
func (h *fakeCaller) Serve(any) { h.record("served") }
func (h *fakeCaller) Refuse(after time.Duration, unsent bool) {
	h.record(fmt.Sprint("refused ", after <= 3*time.Second && unsent))
}
func (h *fakeCaller) Fail()                          { h.record("failed") }
func (h *fakeCaller) Stream(any, func()) core.Stream { return h }
func (h *fakeCaller) Write(p []byte) (int, error)    { return len(p), nil }
func (h *fakeCaller) End(bool)                       { h.record("ended") }
func (h *fakeCaller) Release()                       { h.record("released") }

// newWorthGeneration returns a generation with the classes x and xx, of the given worths. Its deadlines
// are a minute long.
func newWorthGeneration(t *testing.T, worthOfX, worthOfXX float64) *generation.Generation {
	t.Helper()
	cfg := chalkrack.Config{Instances: 1, MaxAttempts: 1, MaxRetryAfter: 3 * time.Second, Classes: []chalkrack.Class{{Aim: time.Second, Worth: worthOfX}, {Aim: time.Second, Worth: worthOfXX}}}
	set, err := settings.New(cfg, []string{"x", "xx"}, []time.Duration{time.Minute, time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	return &generation.Generation{Settings: set}
}

// newTestQueue returns a queue in front of a fakeCore, and a function that sends it a call.
func newTestQueue(t *testing.T, l queue.Limits) (*queuedHandler, *fakeCore, func(id, class string, wait time.Duration) *fakeCaller) {
	t.Helper()
	h := &fakeCore{generation: newWorthGeneration(t, 1, 2)}
	s, err := newQueuedHandler(h, l)
	if err != nil {
		t.Fatal(err)
	}
	return s, h, func(id, class string, wait time.Duration) *fakeCaller {
		c := &fakeCaller{}
		s.Arrive(&core.Call{ID: id, Class: class, Timeout: wait, Received: time.Now(), Caller: c})
		return c
	}
}

// A call keeps its place until the core has released it and a streamed response has ended.
// A waiting call is answered once: by the core, at its time limit, or at the process's end.
func TestPlaceIsHeldUntilCallAndStreamEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, held, ask := newTestQueue(t, queue.Limits{MaxActive: 1, MaxWaiting: 3, MaxWait: 2 * time.Second})
		check := func(want string) []*core.Call {
			t.Helper()
			synctest.Wait()
			ids, calls := held.takeCalls()
			if fmt.Sprint(ids) != want {
				t.Errorf("the core received calls %v, want %s", ids, want)
			}
			return calls
		}
		says := func(c *fakeCaller, want string) {
			t.Helper()
			synctest.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			if fmt.Sprint(c.events) != want {
				t.Errorf("the caller recorded %v, want %s", c.events, want)
			}
		}
		first := ask("a", "x", time.Minute)
		a := check("[a]")[0]
		lowWorth, shortWait, highWorth := ask("b", "x", time.Minute), ask("c", "x", time.Second), ask("d", "xx", time.Minute)
		check("[]")
		stream := a.Caller.Stream(nil, nil)
		a.Caller.Release()
		check("[]") // the response is still being streamed
		says(first, "[released]")
		stream.End(true)
		d := check("[d]")[0]
		time.Sleep(time.Second)
		says(shortWait, "[refused true released]")
		d.Caller.Serve(nil)
		d.Caller.Release()
		says(highWorth, "[served released]")
		b := check("[b]")[0]
		if s.ClientGone(b) || held.goneCount != 1 {
			t.Error("ClientGone for an admitted call was not passed to the core")
		}
		left := &fakeCaller{}
		w := &core.Call{ID: "e", Class: "x", Timeout: time.Minute, Received: time.Now(), Caller: left}
		s.Arrive(w)
		if !s.ClientGone(w) || held.goneCount != 1 {
			t.Error("ClientGone for a waiting call returned false or was passed to the core")
		}
		says(left, "[released]")
		last := ask("f", "x", time.Minute)
		s.stop()
		says(last, "[refused true released]")
		b.Caller.Fail()
		b.Caller.Release()
		check("[]")
		says(lowWorth, "[failed released]")
		if v := s.view(); v.Active != 0 || v.Waiting != 0 || len(s.waiting)+len(s.tracked) != 0 {
			t.Errorf("calls are left over: %+v, %d waiting and %d tracked", v, len(s.waiting), len(s.tracked))
		}
	})
}

// A core that ends calls on arrival drains a long queue. Nested admissions in one goroutine
// would grow the stack with the length of the queue.
func TestLongQueueDrainsWhenCallsEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, held, ask := newTestQueue(t, queue.Limits{MaxActive: 1, MaxWaiting: 2000, MaxWait: time.Minute})
		ask("a", "x", time.Minute)
		var all []*fakeCaller
		for n := range 2000 {
			all = append(all, ask(fmt.Sprint(n), "x", time.Minute))
		}
		_, calls := held.takeCalls()
		held.endsAtOnce = true
		calls[0].Caller.Fail()
		calls[0].Caller.Release()
		synctest.Wait()
		for n, c := range all {
			if fmt.Sprint(c.events) != "[failed released]" {
				t.Fatalf("call %d: caller recorded %v", n, c.events)
			}
		}
		if v := s.view(); v.Admitted != 2001 || v.Active != 0 {
			t.Errorf("view %+v, want 2001 admitted and none active", v)
		}
	})
}

// Guards against a queue that goes on by the settings of the start: a call waits by the worth and the
// deadline of its own configuration, and one that the queue refuses counts in a trial.
func TestQueuedCallsFollowTheirConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, held, ask := newTestQueue(t, queue.Limits{MaxActive: 1, MaxWaiting: 3, MaxWait: 2 * time.Second})
		ask("active", "x", time.Minute)
		_, calls := held.takeCalls()
		ask("xx before the change", "xx", time.Minute)
		held.generation = newWorthGeneration(t, 3, 1)
		ask("xx after it", "xx", time.Minute)
		ask("x after it", "x", 0) // of most worth now
		for _, want := range []string{"[x after it]", "[xx before the change]"} {
			calls[0].Caller.Fail()
			calls[0].Caller.Release()
			synctest.Wait()
			var ids []string
			if ids, calls = held.takeCalls(); fmt.Sprint(ids) != want {
				t.Fatalf("admitted: %v, want %s", ids, want)
			}
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if held.refused != 1 {
			t.Errorf("%d refusals reported, want 1", held.refused)
		}
		s.stop()
	})
}

// Guards against a queue that ends the process: calls expire, leave, arrive and end at once, in any order,
// from several goroutines. Each call gets one result, and no place is held in the end.
func TestQueuedCallsExpireAndLeaveAtOnce(t *testing.T) {
	const rounds, calls = 200, 40
	for range rounds {
		s, held, _ := newTestQueue(t, queue.Limits{MaxActive: 2, MaxWaiting: calls, MaxWait: time.Millisecond})
		var all [calls]*fakeCaller
		var left [calls]bool
		var wg sync.WaitGroup
		for n := range calls {
			wg.Go(func() {
				c := &fakeCaller{}
				all[n] = c
				call := &core.Call{ID: fmt.Sprint(n), Class: "x", Timeout: time.Minute, Received: time.Now(), Caller: c}
				s.Arrive(call)
				if n%2 == 0 { // leaves as its wait expires
					time.Sleep(time.Until(call.Received.Add(time.Millisecond - time.Duration(n)*10*time.Microsecond)))
				}
				left[n] = n%2 == 0 && s.ClientGone(call)
			})
		}
		done := make(chan struct{})
		var core sync.WaitGroup
		core.Go(func() { // ends the calls that it gets
			for {
				_, arrived := held.takeCalls()
				for _, call := range arrived {
					call.Caller.Serve(nil)
					call.Caller.Release()
				}
				select {
				case <-done:
					return
				case <-time.After(50 * time.Microsecond):
				}
			}
		})
		wg.Wait()
		for _, c := range all {
			for end := time.Now().Add(20 * time.Second); !c.isReleased() && time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
			}
		}
		close(done)
		core.Wait()
		for n, c := range all {
			c.mu.Lock()
			got := fmt.Sprint(c.events)
			c.mu.Unlock()
			if left[n] != (got == "[released]") || !left[n] && got != "[served released]" && got != "[refused true released]" {
				t.Fatalf("call %d, left %v: the caller recorded %s", n, left[n], got)
			}
		}
		if v := s.view(); v.Active != 0 || v.Waiting != 0 || len(s.waiting)+len(s.tracked) != 0 {
			t.Fatalf("calls are left over: %+v", v)
		}
	}
}
