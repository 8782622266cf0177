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

// holder is a core that holds each call until it is told to end it.
type holder struct {
	mu    sync.Mutex
	calls []*core.Call
	once  bool // ends each at once
	gone  int
}

func (h *holder) Arrive(c *core.Call) {
	h.mu.Lock()
	h.calls = append(h.calls, c)
	once := h.once
	h.mu.Unlock()
	if once {
		c.Caller.Fail()
		c.Caller.Release()
	}
}
func (h *holder) Gone(*core.Call) bool { h.gone++; return false }
func (h *holder) Ready() bool          { return true }
func (h *holder) Whole(*core.Call)     {}
func (h *holder) Route(string) (string, generation.Stamp, bool) {
	return "", generation.Stamp{}, true
}

// got are the calls that came, and forgets them.
func (h *holder) got() (ids []string, calls []*core.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls, h.calls = h.calls, nil
	for _, c := range calls {
		ids = append(ids, c.ID)
	}
	return ids, calls
}

// heard is a caller that keeps what it was told.
type heard struct {
	mu   sync.Mutex
	said []string
}

func (h *heard) say(s string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.said = append(h.said, s)
}
func (h *heard) Serve(any) { h.say("served") }
func (h *heard) Refuse(after time.Duration, unsent bool) {
	h.say(fmt.Sprint("refused ", after <= 3*time.Second && unsent))
}
func (h *heard) Fail()                          { h.say("failed") }
func (h *heard) Stream(any, func()) core.Stream { return h }
func (h *heard) Write(p []byte) (int, error)    { return len(p), nil }
func (h *heard) End(bool)                       { h.say("ended") }
func (h *heard) Release()                       { h.say("released") }

// line is a queue of one place before a core that holds calls.
func line(t *testing.T, l queue.Limits) (*queued, *holder, func(id, class string, wait time.Duration) *heard) {
	t.Helper()
	h := new(holder)
	s, err := newQueued(h, l, func(class string) float64 { return float64(len(class)) }, func(c *core.Call) time.Duration { return c.Wait }, 3*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return s, h, func(id, class string, wait time.Duration) *heard {
		c := &heard{}
		s.Arrive(&core.Call{ID: id, Class: class, Wait: wait, Received: time.Now(), Caller: c})
		return c
	}
}

// A place is taken until the core needs nothing of the call and a long answer has ended;
// what waits is answered once: by the core, by its time, or by the end of the process.
func TestQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, held, ask := line(t, queue.Limits{Active: 1, Waiting: 3, Longest: 2 * time.Second})
		check := func(want string) []*core.Call {
			t.Helper()
			synctest.Wait()
			ids, calls := held.got()
			if fmt.Sprint(ids) != want {
				t.Errorf("came %v, want %s", ids, want)
			}
			return calls
		}
		says := func(c *heard, want string) {
			t.Helper()
			synctest.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			if fmt.Sprint(c.said) != want {
				t.Errorf("heard %v, want %s", c.said, want)
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
		if s.Gone(b) || held.gone != 1 {
			t.Error("the core's own call is not asked of the core")
		}
		left := &heard{}
		w := &core.Call{ID: "e", Class: "x", Wait: time.Minute, Received: time.Now(), Caller: left}
		s.Arrive(w)
		if !s.Gone(w) || held.gone != 1 {
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
		if v := s.view(); v.Active != 0 || v.Waiting != 0 || len(s.lot)+len(s.of) != 0 {
			t.Errorf("left over: %+v, %d, %d", v, len(s.lot), len(s.of))
		}
	})
}

// A core that ends calls at once as they come works off a line of any length.
func TestQueuedLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, held, ask := line(t, queue.Limits{Active: 1, Waiting: 2000, Longest: time.Minute})
		ask("a", "x", time.Minute)
		var all []*heard
		for n := range 2000 {
			all = append(all, ask(fmt.Sprint(n), "x", time.Minute))
		}
		_, calls := held.got()
		held.once = true
		calls[0].Caller.Fail()
		calls[0].Caller.Release()
		synctest.Wait()
		for n, c := range all {
			if fmt.Sprint(c.said) != "[failed released]" {
				t.Fatalf("%d: %v", n, c.said)
			}
		}
		if v := s.view(); v.Went != 2001 || v.Active != 0 {
			t.Errorf("%+v", v)
		}
	})
}
