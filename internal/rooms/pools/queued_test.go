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

// fakeCore is a core that holds each call until it is told to end it.
type fakeCore struct {
	mu         sync.Mutex
	calls      []*core.Call
	endsAtOnce bool // ends each at once
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
func (h *fakeCore) Gone(*core.Call) bool { h.goneCount++; return false }
func (h *fakeCore) Ready() bool          { return true }
func (h *fakeCore) Whole(*core.Call)     {}
func (h *fakeCore) Route(string) (string, generation.Stamp, bool) {
	return "", generation.Stamp{}, true
}

// takeCalls are the calls that came, and forgets them.
func (h *fakeCore) takeCalls() (ids []string, calls []*core.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls, h.calls = h.calls, nil
	for _, c := range calls {
		ids = append(ids, c.ID)
	}
	return ids, calls
}

// fakeCaller is a caller that keeps what it was told.
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

// newTestQueue is a queue of one place before a core that holds calls.
func newTestQueue(t *testing.T, l queue.Limits) (*queuedHandler, *fakeCore, func(id, class string, wait time.Duration) *fakeCaller) {
	t.Helper()
	h := new(fakeCore)
	s, err := newQueuedHandler(h, l, func(class string) float64 { return float64(len(class)) }, func(c *core.Call) time.Duration { return c.Wait }, 3*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return s, h, func(id, class string, wait time.Duration) *fakeCaller {
		c := &fakeCaller{}
		s.Arrive(&core.Call{ID: id, Class: class, Wait: wait, Received: time.Now(), Caller: c})
		return c
	}
}

// A place is taken until the core needs nothing of the call and a long answer has ended;
// what waits is answered once: by the core, by its time, or by the end of the process.
func TestPlaceIsHeldUntilCallAndStreamEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, held, ask := newTestQueue(t, queue.Limits{MaxActive: 1, MaxWaiting: 3, MaxWait: 2 * time.Second})
		check := func(want string) []*core.Call {
			t.Helper()
			synctest.Wait()
			ids, calls := held.takeCalls()
			if fmt.Sprint(ids) != want {
				t.Errorf("came %v, want %s", ids, want)
			}
			return calls
		}
		says := func(c *fakeCaller, want string) {
			t.Helper()
			synctest.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			if fmt.Sprint(c.events) != want {
				t.Errorf("heard %v, want %s", c.events, want)
			}
		}
		first := ask("a", "x", time.Minute)
		a := check("[a]")[0]
		cheap, short, dear := ask("b", "x", time.Minute), ask("c", "x", time.Second), ask("d", "xx", time.Minute)
		check("[]")
		stream := a.Caller.Stream(nil, nil)
		a.Caller.Release()
		check("[]") // the answer goes on
		says(first, "[released]")
		stream.End(true)
		d := check("[d]")[0]
		time.Sleep(time.Second)
		says(short, "[refused true released]")
		d.Caller.Serve(nil)
		d.Caller.Release()
		says(dear, "[served released]")
		b := check("[b]")[0]
		if s.Gone(b) || held.goneCount != 1 {
			t.Error("the core's own call is not asked of the core")
		}
		left := &fakeCaller{}
		w := &core.Call{ID: "e", Class: "x", Wait: time.Minute, Received: time.Now(), Caller: left}
		s.Arrive(w)
		if !s.Gone(w) || held.goneCount != 1 {
			t.Error("a call that waits is not its caller's to take back")
		}
		says(left, "[released]")
		last := ask("f", "x", time.Minute)
		s.stop()
		says(last, "[refused true released]")
		b.Caller.Fail()
		b.Caller.Release()
		check("[]")
		says(cheap, "[failed released]")
		if v := s.view(); v.Active != 0 || v.Waiting != 0 || len(s.waiting)+len(s.tracked) != 0 {
			t.Errorf("left over: %+v, %d, %d", v, len(s.waiting), len(s.tracked))
		}
	})
}

// A core that ends calls at once as they come works off a line of any length.
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
				t.Fatalf("%d: %v", n, c.events)
			}
		}
		if v := s.view(); v.Admitted != 2001 || v.Active != 0 {
			t.Errorf("%+v", v)
		}
	})
}
