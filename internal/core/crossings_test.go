package core_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
)

// wire is a transport in memory: each attempt ends as and when its test says.
type wire struct {
	ends func(a *sent)

	mu       sync.Mutex
	attempts []*sent
}

type sent struct {
	w       *wire
	o       core.Order
	started time.Time // zero: never
	dials   bool      // it has to connect first
	wrote   time.Time // then; zero: never
	ended   bool      // abandoned
}

func (w *wire) Attempt(o core.Order) core.Attempt                   { return &sent{w: w, o: o} }
func (w *wire) Serve(string, string, time.Duration)                 {}
func (w *wire) Leave(string, bool)                                  {}
func (w *wire) Keep(map[string]bool)                                {}
func (w *wire) CloseIdle(string)                                    {}
func (w *wire) Probe(string, time.Duration, func(chalkrack.Report)) {}
func (a *sent) Close()                                              {}
func (a *sent) Phase() string                                       { return "sent" }
func (a *sent) Abandon() bool {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	a.ended = true
	return !a.started.IsZero()
}

func (a *sent) Forgo() bool {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	if !a.dials || !a.wrote.IsZero() {
		return false
	}
	a.ended = true
	return true
}

func (a *sent) Start() {
	a.w.mu.Lock()
	ended := a.ended
	if !ended {
		a.started = time.Now()
		a.w.attempts = append(a.w.attempts, a)
	}
	a.w.mu.Unlock()
	if ended {
		a.o.Sink.Done(chalkrack.NotSent, nil, chalkrack.Report{})
		return
	}
	a.w.ends(a)
}

// caller counts how its call ends.
type caller struct {
	mu       sync.Mutex
	ends     []string
	at       time.Time
	released int
}

func (c *caller) end(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends, c.at = append(c.ends, how), time.Now()
}
func (c *caller) Serve(any)                          { c.end("served") }
func (c *caller) Refuse(time.Duration, bool)         { c.end("refused") }
func (c *caller) Fail()                              { c.end("failed") }
func (c *caller) Stream(_ any, _ func()) core.Stream { c.end("streamed"); return stream{} }
func (c *caller) Release()                           { c.mu.Lock(); c.released++; c.mu.Unlock() }

type stream struct{ io.Writer }

func (stream) End(bool) {}

func quietHost(t *testing.T, w *wire, set *settings.Settings, servers int) *core.Host {
	t.Helper()
	h, err := core.New(core.Config{Settings: set, Seed: 1, Transport: w, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	l := &membership.List{Whole: true}
	for n := range servers {
		l.Entries = append(l.Entries, membership.Entry{Endpoint: chalkrack.Endpoint{Name: fmt.Sprint("s", n), Zone: "z", Hint: 1}, Address: "127.0.0.1:1"})
	}
	h.Listed(l)
	return h
}

func shortSettings() *settings.Settings {
	return settingsOf(200*time.Millisecond, 500*time.Millisecond, "cell", 150*time.Millisecond)
}

// An answer, of one attempt or of several at once, a failure and the client's leaving come in
// the very instant of the call's deadline, or about it: the call has one final answer, in time,
// or none if its client left first, and its body is given back once.
func TestAnswerCrossesTheDeadline(t *testing.T) {
	for _, class := range []string{"a", "u", "k"} {
		for _, o := range []chalkrack.Outcome{chalkrack.OK, chalkrack.Reset, chalkrack.Full, chalkrack.ConnectFailed} {
			for n := range 30 {
				synctest.Test(t, func(t *testing.T) {
					set := shortSettings()
					began := time.Now()
					r := rand.New(rand.NewPCG(uint64(n), 1))
					off := []time.Duration{0, -time.Millisecond, time.Millisecond, time.Duration(r.IntN(400)-380) * time.Millisecond}[n%4]
					at := began.Add(495*time.Millisecond + off) // the deadline less its margin
					answer := any("hi")
					if o != chalkrack.OK {
						answer = nil
					}
					w := &wire{ends: func(a *sent) {
						time.AfterFunc(time.Until(at), func() { a.o.Sink.Done(o, answer, chalkrack.Report{}) })
						if n%3 == 0 { // and once more
							time.AfterFunc(time.Until(at), func() { a.o.Sink.Done(o, answer, chalkrack.Report{}) })
						}
					}}
					h := quietHost(t, w, set, 3)
					c := new(caller)
					call := &core.Call{ID: "1", Class: class, Received: began, Caller: c}
					h.Arrive(call)
					left := n%5 == 4
					gone := false
					if left {
						time.AfterFunc(time.Until(at), func() { gone = h.Gone(call) })
					}
					time.Sleep(3 * time.Second)
					synctest.Wait()
					want := 1
					if gone {
						want = 0
					}
					if len(c.ends) != want || c.released != 1 || h.Held() != 0 {
						t.Errorf("class %s, outcome %d, %v about the deadline, gone %v: ends %v, released %d, held %d", class, o, off, gone, c.ends, c.released, h.Held())
					}
					if want == 1 && c.at.Sub(began) > 550*time.Millisecond {
						t.Errorf("class %s: ended after %v", class, c.at.Sub(began))
					}
					for _, a := range w.attempts {
						if a.started.After(c.at) && want == 1 {
							t.Errorf("class %s: an attempt %v after the answer", class, a.started.Sub(c.at))
						}
					}
					h.Close()
					time.Sleep(time.Hour) // the core's own timers
				})
			}
		}
	}
}

// The client leaves at any instant of a call whose attempts fail one after the other, or are
// slow so that copies are due: from then on nothing is sent for it.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	sends := 0
	for n := range 200 {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(n), 2))
			w := &wire{}
			var mu sync.Mutex
			draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.IntN(n) }
			w.ends = func(a *sent) {
				o := []chalkrack.Outcome{chalkrack.Reset, chalkrack.Full, chalkrack.ConnectFailed, chalkrack.ServerError}[draw(4)]
				time.AfterFunc(time.Duration(draw(150))*time.Millisecond, func() { a.o.Sink.Done(o, nil, chalkrack.Report{}) })
			}
			h := quietHost(t, w, shortSettings(), 4)
			c := new(caller)
			call := &core.Call{ID: "1", Class: []string{"a", "k"}[n%2], Received: time.Now(), Caller: c}
			h.Arrive(call)
			time.Sleep(time.Duration(draw(300)) * time.Millisecond)
			left := time.Now()
			gone := h.Gone(call)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			for _, a := range w.attempts {
				sends++
				if gone && a.started.After(left) {
					t.Errorf("an attempt %v after its client left", a.started.Sub(left))
				}
			}
			if gone && len(c.ends) > 0 || !gone && len(c.ends) != 1 || c.released != 1 {
				t.Errorf("gone %v: ends %v, released %d", gone, c.ends, c.released)
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
	if sends < 300 {
		t.Errorf("only %d attempts", sends)
	}
}

// The client leaves while a connection comes up, where attempts may not be cancelled: nothing
// is written on it.
func TestClientLeavesWhileDialling(t *testing.T) {
	for n := range 40 {
		synctest.Test(t, func(t *testing.T) {
			w := &wire{}
			w.ends = func(a *sent) { a.connects(100*time.Millisecond, func() {}) }
			set := shortSettings()
			set.Config.MayCancel = n%2 == 0
			h := quietHost(t, w, set, 4)
			c := new(caller)
			call := &core.Call{ID: "1", Class: []string{"a", "k", "u"}[n%3], Received: time.Now(), Caller: c}
			h.Arrive(call)
			time.Sleep(time.Duration(n) * 2 * time.Millisecond)
			if !h.Gone(call) {
				t.Error("it was not there")
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			for _, a := range w.attempts {
				if !a.wrote.IsZero() {
					t.Error("written for a client that had left")
				}
			}
			if len(c.ends) > 0 || c.released != 1 || h.Held() != 0 {
				t.Errorf("ends %v, released %d, held %d", c.ends, c.released, h.Held())
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
}

// A repeat of a keyed call that is decided on within its window is told when that ends, in the
// transport's time: what is written later is past it.
func TestWindowEndsBeforeTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		w := &wire{}
		w.ends = func(a *sent) {
			if a.o.N == 0 {
				time.AfterFunc(100*time.Millisecond, func() { a.o.Sink.Done(chalkrack.Reset, nil, chalkrack.Report{}) })
			}
		}
		h := quietHost(t, w, shortSettings(), 4)
		c := new(caller)
		h.Arrive(&core.Call{ID: "1", Class: "k", Received: began, Caller: c})
		time.Sleep(time.Second)
		synctest.Wait()
		if len(w.attempts) < 2 {
			t.Fatalf("%d attempts", len(w.attempts))
		}
		if end := w.attempts[1].o.NotAfter; end.After(began.Add(150*time.Millisecond)) || end.IsZero() {
			t.Errorf("the repeat may be written until %v after the first", end.Sub(began))
		}
		h.Close()
		time.Sleep(time.Hour)
	})
}

// The process is told to end in the instant in which copies, further attempts and deadlines are
// due: every call is answered by then, once, nothing is sent after its answer, and a call that
// comes later is answered too.
func TestQuitCrossesTimers(t *testing.T) {
	for n := range 60 {
		synctest.Test(t, func(t *testing.T) {
			w := &wire{}
			w.ends = func(a *sent) {
				if n%2 == 0 { // else they hang
					time.AfterFunc(time.Duration(n)*3*time.Millisecond, func() { a.o.Sink.Done(chalkrack.Full, nil, chalkrack.Report{}) })
				}
			}
			set := testSettings() // whose deadlines are 20 s
			h := quietHost(t, w, set, 4)
			const quit = 300 * time.Millisecond
			var callers []*caller
			arrive := func(class string) {
				c := new(caller)
				callers = append(callers, c)
				h.Arrive(&core.Call{ID: fmt.Sprint(len(callers)), Class: class, Received: time.Now(), Caller: c})
			}
			for _, class := range []string{"a", "u", "k"} {
				arrive(class)
			}
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
			told := time.Now()
			h.QuitAt(quit)
			arrive("a")
			time.Sleep(quit / 2)
			arrive("u")
			time.Sleep(quit)
			arrive("a") // past it
			time.Sleep(time.Second)
			synctest.Wait()
			for k, c := range callers {
				if len(c.ends) != 1 || c.released != 1 {
					t.Fatalf("call %d: ends %v, released %d", k, c.ends, c.released)
				}
				if late := c.at.Sub(told); k < 5 && late > quit+5*time.Millisecond {
					t.Errorf("call %d: answered %v after the word to end", k, late)
				}
			}
			for _, a := range w.attempts {
				if late := a.started.Sub(told); late > quit+5*time.Millisecond {
					t.Errorf("an attempt %v after the word to end", late)
				}
			}
			if h.Held() != 0 {
				t.Errorf("%d held", h.Held())
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
}

// connects has the attempt connect for so long, and then write unless it was given up.
func (a *sent) connects(wait time.Duration, then func()) {
	a.w.mu.Lock()
	a.dials = true
	a.w.mu.Unlock()
	time.AfterFunc(wait, func() {
		a.w.mu.Lock()
		ended := a.ended
		if !ended {
			a.wrote = time.Now()
		}
		a.w.mu.Unlock()
		if ended {
			a.o.Sink.Done(chalkrack.ConnectFailed, nil, chalkrack.Report{})
		} else {
			then()
		}
	})
}

// A copy answers while the first attempt still waits for its connection, also where the module
// wants to see both of the pair: what has not begun by the final answer never begins.
func TestAnswerCrossesALateDial(t *testing.T) {
	for _, long := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			copies, late := 0, 0
			w := &wire{}
			w.ends = func(a *sent) {
				if a.o.N == 1 {
					copies++
					time.AfterFunc(time.Millisecond, func() {
						if long {
							a.o.Sink.Stream("hi", chalkrack.Report{}) // nobody may want it
						}
						a.o.Sink.Done(chalkrack.OK, "hi", chalkrack.Report{})
					})
					return
				}
				a.connects(100*time.Millisecond, func() {
					time.AfterFunc(time.Millisecond, func() { a.o.Sink.Done(chalkrack.OK, "hi", chalkrack.Report{}) })
				})
			}
			h := quietHost(t, w, shortSettings(), 6)
			for n := range 4000 {
				c := new(caller)
				h.Arrive(&core.Call{ID: fmt.Sprint(n), Class: "a", Received: time.Now(), Caller: c})
				time.Sleep(300 * time.Millisecond)
				synctest.Wait()
				if len(c.ends) != 1 || c.released != 1 {
					t.Fatalf("call %d: ends %v, released %d", n, c.ends, c.released)
				}
				for _, a := range w.attempts {
					if a.wrote.After(c.at) {
						late++
					}
				}
				w.attempts = nil
			}
			if copies < 100 {
				t.Errorf("only %d copies", copies)
			}
			if late > 0 {
				t.Errorf("%d attempts of %d copied calls began after the final answer", late, copies)
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
}
