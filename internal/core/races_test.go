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

// memTransport is an in-memory transport. The test decides when and how each attempt ends.
type memTransport struct {
	onStart func(a *memAttempt)

	mu       sync.Mutex
	attempts []*memAttempt
}

// memAttempt is an attempt of a memTransport.
type memAttempt struct {
	owner     *memTransport
	order     core.Order
	startedAt time.Time // zero: not started
	dials     bool      // it has to connect before it writes
	writtenAt time.Time // with dials: zero: not written
	stopped   bool      // by Attempt.Abandon or Attempt.CancelUnsent
}

func (m *memTransport) NewAttempt(o core.Order) core.Attempt                    { return &memAttempt{owner: m, order: o} }
func (m *memTransport) AddServer(string, string, time.Duration)                 {}
func (m *memTransport) RetireServer(string, string, time.Duration, bool)        {}
func (m *memTransport) RetainServers(map[string]bool)                           {}
func (m *memTransport) CloseIdle(string)                                        {}
func (m *memTransport) Probe(string, time.Duration, func(chalkrack.LoadReport)) {}
func (a *memAttempt) Close()                                                    {}
func (a *memAttempt) Phase() string                                             { return "sent" }
func (a *memAttempt) Cause() string                                             { return "" }
func (a *memAttempt) Abandon() bool {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.stopped = true
	return !a.startedAt.IsZero()
}

func (a *memAttempt) CancelUnsent() bool {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	if !a.dials || !a.writtenAt.IsZero() {
		return false
	}
	a.stopped = true
	return true
}

func (a *memAttempt) Start() {
	a.owner.mu.Lock()
	stopped := a.stopped
	if !stopped {
		a.startedAt = time.Now()
		a.owner.attempts = append(a.owner.attempts, a)
	}
	a.owner.mu.Unlock()
	if stopped {
		a.order.Sink.Done(chalkrack.NotSent, nil, chalkrack.LoadReport{})
		return
	}
	a.owner.onStart(a)
}

// recordingCaller records how its call ends.
type recordingCaller struct {
	mu       sync.Mutex
	finals   []string
	endedAt  time.Time
	released int
}

func (c *recordingCaller) add(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finals, c.endedAt = append(c.finals, how), time.Now()
}
func (c *recordingCaller) Serve(any)                          { c.add("served") }
func (c *recordingCaller) Refuse(time.Duration, bool)         { c.add("refused") }
func (c *recordingCaller) Fail()                              { c.add("failed") }
func (c *recordingCaller) Stream(_ any, _ func()) core.Stream { c.add("streamed"); return stream{} }
func (c *recordingCaller) Release()                           { c.mu.Lock(); c.released++; c.mu.Unlock() }

// stream is a Stream that does nothing at its end.
type stream struct{ io.Writer }

func (stream) End(bool) {}

// newQuietHost returns a host without log output, with the given number of listed servers.
func newQuietHost(t *testing.T, transport *memTransport, config *settings.Settings, servers int) *core.Host {
	t.Helper()
	return newQuietHostWith(t, core.Config{Settings: config, Seed: 1, Transport: transport}, servers)
}

// newQuietHostWith is newQuietHost with a configuration.
func newQuietHostWith(t *testing.T, config core.Config, servers int) *core.Host {
	t.Helper()
	config.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	h, err := core.New(config)
	if err != nil {
		t.Fatal(err)
	}
	list := &membership.List{Complete: true}
	for n := range servers {
		list.Entries = append(list.Entries, membership.Entry{Endpoint: chalkrack.Endpoint{Name: fmt.Sprint("s", n), Zone: "z", Hint: 1}, Address: "127.0.0.1:1"})
	}
	h.ApplyList(list)
	return h
}

// shortSettings returns settings with an aim of 200 ms, a deadline of 500 ms and a window of
// 150 ms.
func shortSettings() *settings.Settings {
	return newSettings(200*time.Millisecond, 500*time.Millisecond, "cell", 150*time.Millisecond)
}

// Guards against a second final answer, a late one or a second release. An outcome, in some
// cases reported twice, and the client's departure coincide with the call's deadline or come
// shortly before or after it. The call must get one final answer in time, or none if its client
// left first, and be released once.
func TestOneAnswerWhenOutcomeMeetsDeadline(t *testing.T) {
	for _, class := range []string{"a", "u", "k"} {
		for _, outcome := range []chalkrack.Outcome{chalkrack.OK, chalkrack.Reset, chalkrack.Full, chalkrack.ConnectFailed} {
			for n := range 30 {
				synctest.Test(t, func(t *testing.T) {
					config := shortSettings()
					startedAt := time.Now()
					r := rand.New(rand.NewPCG(uint64(n), 1))
					offset := []time.Duration{0, -time.Millisecond, time.Millisecond, time.Duration(r.IntN(400)-380) * time.Millisecond}[n%4]
					at := startedAt.Add(495*time.Millisecond + offset) // the deadline minus deadlineMargin
					answer := any("hi")
					if outcome != chalkrack.OK {
						answer = nil
					}
					transport := &memTransport{onStart: func(a *memAttempt) {
						time.AfterFunc(time.Until(at), func() { a.order.Sink.Done(outcome, answer, chalkrack.LoadReport{}) })
						if n%3 == 0 { // reported twice
							time.AfterFunc(time.Until(at), func() { a.order.Sink.Done(outcome, answer, chalkrack.LoadReport{}) })
						}
					}}
					h := newQuietHost(t, transport, config, 3)
					c := new(recordingCaller)
					call := &core.Call{ID: "1", Class: class, Received: startedAt, Caller: c}
					h.Arrive(call)
					left := n%5 == 4
					gone := false
					if left {
						time.AfterFunc(time.Until(at), func() { gone = h.ClientGone(call) })
					}
					time.Sleep(3 * time.Second)
					synctest.Wait()
					want := 1
					if gone {
						want = 0
					}
					if len(c.finals) != want || c.released != 1 || h.Held() != 0 {
						t.Errorf("class %s, outcome %d, offset %v from the deadline, client left %v: final answers %v, released %d times, %d calls held", class, outcome, offset, gone, c.finals, c.released, h.Held())
					}
					if want == 1 && c.endedAt.Sub(startedAt) > 550*time.Millisecond {
						t.Errorf("class %s: call ended after %v, want at most 550ms", class, c.endedAt.Sub(startedAt))
					}
					for _, a := range transport.attempts {
						if a.startedAt.After(c.endedAt) && want == 1 {
							t.Errorf("class %s: an attempt started %v after the final answer", class, a.startedAt.Sub(c.endedAt))
						}
					}
					h.Close()
					time.Sleep(time.Hour) // lets the core's own timers expire
				})
			}
		}
	}
}

// Guards against attempts for a client that has left. The client leaves at a random time while
// attempts fail one after the other, or are so slow that copies are due. Nothing must be sent
// for it afterwards.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	sends := 0
	for n := range 200 {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(n), 2))
			transport := &memTransport{}
			var mu sync.Mutex
			draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.IntN(n) }
			transport.onStart = func(a *memAttempt) {
				o := []chalkrack.Outcome{chalkrack.Reset, chalkrack.Full, chalkrack.ConnectFailed, chalkrack.ServerError}[draw(4)]
				time.AfterFunc(time.Duration(draw(150))*time.Millisecond, func() { a.order.Sink.Done(o, nil, chalkrack.LoadReport{}) })
			}
			h := newQuietHost(t, transport, shortSettings(), 4)
			c := new(recordingCaller)
			call := &core.Call{ID: "1", Class: []string{"a", "k"}[n%2], Received: time.Now(), Caller: c}
			h.Arrive(call)
			time.Sleep(time.Duration(draw(300)) * time.Millisecond)
			left := time.Now()
			gone := h.ClientGone(call)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			for _, a := range transport.attempts {
				sends++
				if gone && a.startedAt.After(left) {
					t.Errorf("an attempt started %v after its client left", a.startedAt.Sub(left))
				}
			}
			if gone && len(c.finals) > 0 || !gone && len(c.finals) != 1 || c.released != 1 {
				t.Errorf("client left %v: final answers %v, released %d times", gone, c.finals, c.released)
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
	if sends < 300 {
		t.Errorf("%d attempts in all, want at least 300", sends)
	}
}

// Guards against a request being written for a client that left while the connection was being
// established, also where the settings do not allow attempts to be cancelled.
func TestNothingWrittenWhenClientLeavesDuringDial(t *testing.T) {
	for n := range 40 {
		synctest.Test(t, func(t *testing.T) {
			transport := &memTransport{}
			transport.onStart = func(a *memAttempt) { a.connect(100*time.Millisecond, func() {}) }
			config := shortSettings()
			config.Config.MayCancel = n%2 == 0
			h := newQuietHost(t, transport, config, 4)
			c := new(recordingCaller)
			call := &core.Call{ID: "1", Class: []string{"a", "k", "u"}[n%3], Received: time.Now(), Caller: c}
			h.Arrive(call)
			time.Sleep(time.Duration(n) * 2 * time.Millisecond)
			if !h.ClientGone(call) {
				t.Error("ClientGone returned false for a call without an answer")
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			for _, a := range transport.attempts {
				if !a.writtenAt.IsZero() {
					t.Error("the request was written after its client had left")
				}
			}
			if len(c.finals) > 0 || c.released != 1 || h.Held() != 0 {
				t.Errorf("final answers %v, released %d times, %d calls held; want none, 1 and 0", c.finals, c.released, h.Held())
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
}

// Guards against a keyed call being repeated after its window: the Balancer decides on the repeat
// within the window, but the transport writes it later. The order must therefore carry the end of
// the window.
func TestRepeatOrderCarriesEndOfWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivedAt := time.Now()
		transport := &memTransport{}
		transport.onStart = func(a *memAttempt) {
			if a.order.Index == 0 {
				time.AfterFunc(100*time.Millisecond, func() { a.order.Sink.Done(chalkrack.Reset, nil, chalkrack.LoadReport{}) })
			}
		}
		h := newQuietHost(t, transport, shortSettings(), 4)
		c := new(recordingCaller)
		h.Arrive(&core.Call{ID: "1", Class: "k", Received: arrivedAt, Caller: c})
		time.Sleep(time.Second)
		synctest.Wait()
		if len(transport.attempts) < 2 {
			t.Fatalf("%d attempts, want at least 2", len(transport.attempts))
		}
		if end := transport.attempts[1].order.NotAfter; end.After(arrivedAt.Add(150*time.Millisecond)) || end.IsZero() {
			t.Errorf("the repeat may be written until %v after the call's arrival, want at most 150ms", end.Sub(arrivedAt))
		}
		h.Close()
		time.Sleep(time.Hour)
	})
}

// Guards against calls that stay unanswered when the process ends. ShutDownWithin is called
// while copies, further attempts and deadlines are due. Every call must be answered once by the
// given time, nothing may be sent later, and calls that arrive afterwards must be answered too.
func TestShutDownWithinAnswersAllCallsInTime(t *testing.T) {
	for n := range 60 {
		synctest.Test(t, func(t *testing.T) {
			transport := &memTransport{}
			transport.onStart = func(a *memAttempt) {
				if n%2 == 0 { // otherwise they are never answered
					time.AfterFunc(time.Duration(n)*3*time.Millisecond, func() { a.order.Sink.Done(chalkrack.Full, nil, chalkrack.LoadReport{}) })
				}
			}
			config := testSettings() // with deadlines of 20 s
			h := newQuietHost(t, transport, config, 4)
			const quit = 300 * time.Millisecond
			var callers []*recordingCaller
			arrive := func(class string) {
				c := new(recordingCaller)
				callers = append(callers, c)
				h.Arrive(&core.Call{ID: fmt.Sprint(len(callers)), Class: class, Received: time.Now(), Caller: c})
			}
			for _, class := range []string{"a", "u", "k"} {
				arrive(class)
			}
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
			quitCalled := time.Now()
			h.ShutDownWithin(quit)
			arrive("a")
			time.Sleep(quit / 2)
			arrive("u")
			time.Sleep(quit)
			arrive("a") // after the time given to ShutDownWithin
			time.Sleep(time.Second)
			synctest.Wait()
			for k, c := range callers {
				if len(c.finals) != 1 || c.released != 1 {
					t.Fatalf("call %d: final answers %v, released %d times", k, c.finals, c.released)
				}
				if late := c.endedAt.Sub(quitCalled); k < 5 && late > quit+5*time.Millisecond {
					t.Errorf("call %d: answered %v after ShutDownWithin", k, late)
				}
			}
			for _, a := range transport.attempts {
				if late := a.startedAt.Sub(quitCalled); late > quit+5*time.Millisecond {
					t.Errorf("an attempt started %v after ShutDownWithin", late)
				}
			}
			if h.Held() != 0 {
				t.Errorf("%d calls held, want 0", h.Held())
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
}

// connect simulates a connection that takes wait to be established. After that the attempt is
// written and then is called, unless the attempt was abandoned.
func (a *memAttempt) connect(wait time.Duration, then func()) {
	a.owner.mu.Lock()
	a.dials = true
	a.owner.mu.Unlock()
	time.AfterFunc(wait, func() {
		a.owner.mu.Lock()
		stopped := a.stopped
		if !stopped {
			a.writtenAt = time.Now()
		}
		a.owner.mu.Unlock()
		if stopped {
			a.order.Sink.Done(chalkrack.ConnectFailed, nil, chalkrack.LoadReport{})
		} else {
			then()
		}
	})
}

// Guards against an attempt that begins after the final answer. A copy is answered while the first
// attempt still waits for its connection, also where the Balancer lets both attempts of the pair
// run. An attempt that has not begun by the final answer must never begin.
func TestNoAttemptBeginsAfterCopyAnswered(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			copies, late := 0, 0
			transport := &memTransport{}
			transport.onStart = func(a *memAttempt) {
				if a.order.Index == 1 {
					copies++
					time.AfterFunc(time.Millisecond, func() {
						if streamed {
							// Stream returns nil if the call has ended.
							a.order.Sink.Stream("hi", chalkrack.LoadReport{})
						}
						a.order.Sink.Done(chalkrack.OK, "hi", chalkrack.LoadReport{})
					})
					return
				}
				a.connect(100*time.Millisecond, func() {
					time.AfterFunc(time.Millisecond, func() { a.order.Sink.Done(chalkrack.OK, "hi", chalkrack.LoadReport{}) })
				})
			}
			h := newQuietHost(t, transport, shortSettings(), 6)
			for n := range 4000 {
				c := new(recordingCaller)
				h.Arrive(&core.Call{ID: fmt.Sprint(n), Class: "a", Received: time.Now(), Caller: c})
				time.Sleep(300 * time.Millisecond)
				synctest.Wait()
				if len(c.finals) != 1 || c.released != 1 {
					t.Fatalf("call %d: final answers %v, released %d times", n, c.finals, c.released)
				}
				for _, a := range transport.attempts {
					if a.writtenAt.After(c.endedAt) {
						late++
					}
				}
				transport.attempts = nil
			}
			if copies < 100 {
				t.Errorf("%d copies, want at least 100", copies)
			}
			if late > 0 {
				t.Errorf("%d attempts of %d copied calls began after the final answer", late, copies)
			}
			h.Close()
			time.Sleep(time.Hour)
		})
	}
}
