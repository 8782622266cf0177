package pools

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/generation"
	"chalkrack/internal/queue"
)

// fakeCore is a Handler that records calls, and ends them only if endsAtOnce is set.
type fakeCore struct {
	mu         sync.Mutex
	calls      []*core.Call
	endsAtOnce bool // fail and release each call on arrival
	goneCount  int
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
func (h *fakeCore) ClientGone(*core.Call) bool { h.goneCount++; return false }
func (h *fakeCore) Ready() bool                { return true }
func (h *fakeCore) BodyComplete(*core.Call)    {}
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
func (h *fakeCaller) Serve(any) { h.record("served") }
func (h *fakeCaller) Refuse(after time.Duration, unsent bool) {
	h.record(fmt.Sprint("refused ", after <= 3*time.Second && unsent))
}
func (h *fakeCaller) Fail()                          { h.record("failed") }
func (h *fakeCaller) Stream(any, func()) core.Stream { return h }
func (h *fakeCaller) Write(p []byte) (int, error)    { return len(p), nil }
func (h *fakeCaller) End(bool)                       { h.record("ended") }
func (h *fakeCaller) Release()                       { h.record("released") }

// newTestQueue returns a queue in front of a fakeCore, and a function that sends it a call.
func newTestQueue(t *testing.T, l queue.Limits) (*queuedHandler, *fakeCore, func(id, class string, wait time.Duration) *fakeCaller) {
	t.Helper()
	h := new(fakeCore)
	s, err := newQueuedHandler(h, l, func(class string) float64 { return float64(len(class)) }, func(c *core.Call) time.Duration { return c.Timeout }, 3*time.Second)
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
