package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack/internal/duration"
	"chalkrack/internal/load/schedule"
	"chalkrack/internal/standin"
)

// virtual waits by the timers of a bubble.
func virtual(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return ctx.Err() == nil
	}
}

// world is a server in virtual time: do says how long a call that begins now takes.
type world struct {
	dial func(now time.Time) (time.Duration, error)
	do   func(now time.Time, c *Call) (time.Duration, Reply, error)
	mu   sync.Mutex
	got  []string
	open int
}

func (w *world) Dial(deadline time.Time) (Conn, error) {
	if w.dial != nil {
		d, err := w.dial(time.Now())
		if err != nil {
			return nil, err
		}
		if d = min(d, time.Until(deadline)); d == time.Until(deadline) {
			time.Sleep(d)
			return nil, errors.New("too late")
		}
		time.Sleep(d)
	}
	w.mu.Lock()
	w.open++
	w.mu.Unlock()
	return &worldConn{w}, nil
}

type worldConn struct{ w *world }

func (c *worldConn) Do(call *Call) (Reply, error) {
	d, r, err := c.w.do(time.Now(), call)
	if left := time.Until(call.Deadline); d > left {
		d, r, err = left, Reply{}, errors.New("no answer")
	}
	time.Sleep(d)
	c.w.mu.Lock()
	c.w.got = append(c.w.got, call.ID)
	c.w.mu.Unlock()
	return r, err
}

func (c *worldConn) Close() {
	c.w.mu.Lock()
	c.w.open--
	c.w.mu.Unlock()
}

func constant(rate float64, length time.Duration) *Scenario {
	s := &Scenario{Version: 1, Seed: 3, Length: duration.Duration(length), Arrivals: []schedule.Shape{{Kind: "constant", Rate: rate}},
		Classes: []Class{{Name: "a", Share: 1, Effect: Safe, Aim: duration.Duration(time.Second), Deadline: duration.Duration(8 * time.Second), Worth: 1}}}
	s.defaults()
	s.Limits.Connections, s.Limits.Outstanding = 5000, 5000
	return s
}

func play(t *testing.T, s *Scenario, w Protocol) *Report {
	t.Helper()
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
	cfg, end, err := s.Run(Config{Protocol: w, until: virtual})
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	rep, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// piped is servers at the other end of pipes: HTTP1's own code in virtual time. It holds
// a goroutine a connection, until that is closed.
type piped func(r *http.Request, c net.Conn)

func (serve piped) Dial(time.Time) (Conn, error) {
	c, s := net.Pipe()
	go func() {
		defer s.Close()
		for br := bufio.NewReader(s); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			serve(r, s)
		}
	}()
	return &http1{Conn: c, br: bufio.NewReader(c), host: "app"}, nil
}

// exact is the quantile of what was worked out, in milliseconds.
func exact(all []time.Duration, p float64) float64 {
	slices.Sort(all)
	n := int(math.Ceil(p/100*float64(len(all)))) - 1
	return float64(all[max(n, 0)]) / 1e6
}

// A stall of two seconds shows in full, whatever it is a stall of: each reported
// percentile is the one worked out from the schedule, within 1 % or 2 ms. The naive
// figure, beside it, hides what waited for a connection.
func TestInjectedStallShowsInFull(t *testing.T) {
	const work = 20 * time.Millisecond
	const from, stall = 4 * time.Second, 2 * time.Second
	stalled := func(at time.Duration) time.Duration { // how long what begins then waits
		if at >= from && at < from+stall {
			return from + stall - at
		}
		return 0
	}
	for name, c := range map[string]struct {
		conns int
		world func(begin *time.Time) Protocol
		took  func(at time.Duration) time.Duration
	}{
		"a reader that stops": {5000, func(begin *time.Time) Protocol {
			return piped(func(r *http.Request, c net.Conn) {
				time.Sleep(stalled(time.Since(*begin))) // the body waits in the sender
				io.Copy(io.Discard, r.Body)
				time.Sleep(work)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			})
		}, func(at time.Duration) time.Duration { return work + stalled(at) }},
		"an answer that stops half way": {5000, func(begin *time.Time) Protocol {
			return piped(func(r *http.Request, c net.Conn) {
				io.Copy(io.Discard, r.Body)
				time.Sleep(work)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo")
				time.Sleep(stalled(time.Since(*begin)))
				io.WriteString(c, "dy")
			})
		}, func(at time.Duration) time.Duration { return work + stalled(at+work) }},
		"a server that stops": {5000, func(begin *time.Time) Protocol {
			return &world{do: func(now time.Time, _ *Call) (time.Duration, Reply, error) {
				return work + stalled(now.Sub(*begin)), Reply{Status: 200}, nil
			}}
		}, func(at time.Duration) time.Duration { return work + stalled(at) }},
		"connections that don't come up": {5000, func(begin *time.Time) Protocol {
			return &world{
				dial: func(now time.Time) (time.Duration, error) { return stalled(now.Sub(*begin)), nil },
				do: func(time.Time, *Call) (time.Duration, Reply, error) {
					return work, Reply{Status: 200}, errClose // each call needs a new one
				},
			}
		}, func(at time.Duration) time.Duration { return work + stalled(at) }},
		"half an answer": {5000, func(begin *time.Time) Protocol {
			return &world{do: func(now time.Time, _ *Call) (time.Duration, Reply, error) {
				if at := now.Sub(*begin); at >= from && at < from+stall {
					return time.Hour, Reply{}, nil // begins, and never ends
				}
				return work, Reply{Status: 200}, nil
			}}
		}, func(at time.Duration) time.Duration {
			if at >= from && at < from+stall {
				return 8 * time.Second // the deadline
			}
			return work
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now().Add(10 * time.Millisecond) // as Run has it
				s := constant(200, 10*time.Second)
				s.Limits.Connections = c.conns
				s.Classes[0].Effect, s.Classes[0].Body = Once, 20000
				rep := play(t, s, c.world(&begin))
				var want []time.Duration
				for a := s.plan().Arrivals(); ; {
					at, ok := a.Next()
					if !ok {
						break
					}
					want = append(want, c.took(at))
				}
				if rep.Sent != int64(len(want)) || !rep.Holds {
					t.Fatalf("%d of %d sent: %s", rep.Sent, len(want), rep.Verdict())
				}
				for n, p := range quantileList {
					got, want := *rep.Latency.at(n), exact(want, p)
					t.Logf("p%v: %.1f ms reported, %.1f worked out, %.1f naive", p, got, want, *rep.Naive.at(n))
					if math.Abs(got-want) > max(2, want/100) {
						t.Errorf("p%v: %.2f ms, worked out: %.2f ms", p, got, want)
					}
				}
				if rep.Latency.P99 < 1500 {
					t.Errorf("p99 %.1f ms hides the stall", rep.Latency.P99)
				}
			})
		})
	}
}

// With one connection what waits for it is the generator's limit, and is said to be
// that: calls are dropped and the figures do not hold from that second on.
func TestOwnLimitsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now().Add(10 * time.Millisecond)
		slow := &world{do: func(now time.Time, _ *Call) (time.Duration, Reply, error) {
			if at := now.Sub(begin); at > 3*time.Second && at < 5*time.Second {
				return 500 * time.Millisecond, Reply{Status: 200}, nil
			}
			return time.Millisecond, Reply{Status: 200}, nil
		}}
		s := constant(100, 6*time.Second)
		s.Limits.Connections = 5
		rep := play(t, s, slow)
		if rep.Holds || rep.LimitFrom != 3 || rep.Limit != "calls were dropped" || rep.Dropped == 0 {
			t.Errorf("%s; %d dropped", rep.Verdict(), rep.Dropped)
		}
		if rep.Sent+rep.Dropped != 600 {
			t.Errorf("%d sent, %d dropped of 600", rep.Sent, rep.Dropped)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		n := 0
		var mu sync.Mutex
		starved := &world{
			dial: func(time.Time) (time.Duration, error) {
				mu.Lock()
				defer mu.Unlock()
				if n++; n > 50 {
					return 0, fmt.Errorf("%w: test", ErrLocal)
				}
				return 0, nil
			},
			do: func(time.Time, *Call) (time.Duration, Reply, error) {
				return time.Millisecond, Reply{Status: 200}, errClose
			},
		}
		rep := play(t, constant(20, 5*time.Second), starved)
		if rep.Holds || rep.LimitFrom != 2 || rep.Classes[0].None != 0 || rep.Dropped != 50 {
			t.Errorf("out of ports: %s; dropped %d, no answer %d", rep.Verdict(), rep.Dropped, rep.Classes[0].None)
		}
	})
	synctest.Test(t, func(t *testing.T) { // sends that leave late, as without CPU
		s := constant(100, 4*time.Second)
		cfg, end, err := s.Run(Config{Protocol: &world{do: func(time.Time, *Call) (time.Duration, Reply, error) {
			return time.Millisecond, Reply{Status: 200}, nil
		}}})
		if err != nil {
			t.Fatal(err)
		}
		defer end()
		began := time.Now()
		cfg.until = func(ctx context.Context, at time.Time) bool {
			if at.Sub(began) > 2*time.Second {
				at = at.Add(20 * time.Millisecond)
			}
			return virtual(ctx, at)
		}
		rep, err := Run(t.Context(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		if rep.Holds || rep.LimitFrom < 1 || rep.LimitFrom > 2 || rep.Limit != "sends left late" {
			t.Errorf("late sends: %s", rep.Verdict())
		}
		if rep.Latency.P50 > 1.5+20 { // it counts from when calls were due all the same
			t.Errorf("p50 %v", rep.Latency.P50)
		}
	})
}

// Clients come again as they are told, or not, and what comes of it is booked to their
// first try; what may not run again comes only after a refusal.
func TestRetriesAreBookedToTheirFirstTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := make(map[string][]time.Time)
		var mu sync.Mutex
		w := &world{do: func(now time.Time, c *Call) (time.Duration, Reply, error) {
			mu.Lock()
			defer mu.Unlock()
			id, _, _ := strings.Cut(c.ID, "-")
			tries[id] = append(tries[id], now)
			switch n := len(tries[id]); {
			case c.Class.Name == "refused" && n < 3:
				return time.Millisecond, Reply{Status: 503, RetryAfter: time.Second}, nil
			case c.Class.Name == "broken":
				return time.Millisecond, Reply{Status: 502}, nil
			}
			return time.Millisecond, Reply{Status: 200}, nil
		}}
		s := constant(50, 4*time.Second)
		d := duration.Duration(8 * time.Second)
		s.Classes = []Class{
			{"refused", 1, Once, d, d, 1, 0, 0},
			{"broken", 1, Once, d, d, 1, 0, 0},
		}
		s.Retries = Retries{Most: 2, Backoff: duration.Duration(100 * time.Millisecond), Growth: 2, Heed: 0.5}
		rep := play(t, s, w)
		r, b := rep.Classes[0], rep.Classes[1]
		if r.Served != r.Sent || r.Retries != 2*r.Sent || b.Failed != b.Sent || b.Retries != 0 {
			t.Errorf("%+v\n%+v", r, b)
		}
		heeded := 0
		for _, at := range tries {
			if len(at) == 3 {
				if first, second := at[1].Sub(at[0]), at[2].Sub(at[1]); first >= time.Second && second >= time.Second {
					heeded++
				} else if first > 150*time.Millisecond || second > 250*time.Millisecond {
					t.Errorf("a client waits %v and %v", first, second)
				}
			}
		}
		if share := float64(heeded) / float64(r.Sent); math.Abs(share-0.5) > 0.15 {
			t.Errorf("%.2f of the clients heed Retry-After, want 0.5", share)
		}
		if r.Latency.P50 < 300 || r.Naive.P50 > 5 {
			t.Errorf("latency %.1f ms from when it was due, %.1f ms naive", r.Latency.P50, r.Naive.P50)
		}
		if r.Earned != 1 || b.Earned != 0 {
			t.Errorf("earned %v and %v", r.Earned, b.Earned)
		}
	})
}

// A server that answers nothing, for long, at a limit of memory; and an end in the
// middle: each gives a whole report.
func TestNothingAnswersAndCutShort(t *testing.T) {
	silent := func() *world {
		return &world{do: func(time.Time, *Call) (time.Duration, Reply, error) { return time.Hour, Reply{}, nil }}
	}
	synctest.Test(t, func(t *testing.T) {
		s := constant(200, 10*time.Minute)
		s.Classes[0].Deadline = duration.Duration(2 * time.Second)
		w := silent()
		rep := play(t, s, w)
		if rep.Classes[0].None != rep.Sent || rep.Sent != 120000 || len(rep.Seconds) != 600 || w.open != 0 {
			t.Errorf("%d sent, %d without answer, %d seconds, %d connections open", rep.Sent, rep.Classes[0].None, len(rep.Seconds), w.open)
		}
		if math.Abs(rep.Latency.P50-2000) > 20 {
			t.Errorf("p50 %v", rep.Latency.P50)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		s := constant(100, time.Minute)
		cfg, end, err := s.Run(Config{Protocol: silent(), until: virtual})
		if err != nil {
			t.Fatal(err)
		}
		defer end()
		rep, err := Run(ctx, cfg)
		if err != nil || !rep.Cut || rep.Sent < 290 || rep.Sent > 301 || rep.Classes[0].None != rep.Sent {
			t.Errorf("%+v, %v", rep, err)
		}
		var text, page bytes.Buffer
		if err := errors.Join(rep.WriteText(&text), rep.WriteHTML(&page)); err != nil || !strings.Contains(text.String(), "cut short") || !strings.Contains(page.String(), "cut short") {
			t.Errorf("%v\n%s", err, text.String())
		}
		if _, err := json.Marshal(rep); err != nil {
			t.Error(err)
		}
	})
}

// 50,000 calls in one second leave in the order of their schedule and are all counted.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := constant(100, 3*time.Second)
		s.Limits.Connections, s.Limits.Outstanding = 1<<16, 1<<17
		s.Arrivals = []schedule.Shape{{Kind: "piecewise", Points: []schedule.Point{{At: 0, Rate: 100}, {At: duration.Duration(time.Second), Rate: 100},
			{At: duration.Duration(time.Second + 1), Rate: 50000}, {At: duration.Duration(2 * time.Second), Rate: 50000}, {At: duration.Duration(2*time.Second + 1), Rate: 100}}}}
		rep := play(t, s, &world{do: func(time.Time, *Call) (time.Duration, Reply, error) {
			return 100 * time.Millisecond, Reply{Status: 200}, nil
		}})
		if rep.Dropped != 0 || rep.Seconds[1].Sent < 49900 || rep.Seconds[1].Sent > 50100 || rep.Classes[0].Served != rep.Sent {
			t.Errorf("%d in the burst, %d dropped, %d of %d served", rep.Seconds[1].Sent, rep.Dropped, rep.Classes[0].Served, rep.Sent)
		}
	})
}

// HTTP/1.1 on real sockets, in the platform's form: each effect has its method and key,
// bodies have their length; a kept connection that was closed is not an answer lost, a
// half-answer and a reset are.
func TestHTTP1(t *testing.T) {
	ledger := standin.NewLedger(0)
	server, err := standin.NewServer(standin.ServerConfig{Name: "s", Ledger: ledger})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn, err := (&HTTP1{Addr: server.Addr()}).Dial(time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	classes := Activation()
	call := func(class int, id string, body int) (Reply, error) {
		c := &Call{ID: id, Class: &classes[class], Body: body, Deadline: time.Now().Add(20 * time.Second)}
		if classes[class].Effect == Keyed {
			c.Key = "k" + id
		}
		return conn.Do(c)
	}
	for n, size := range []int{0, 1, 70000, 200 << 10} {
		for class := range classes {
			id := fmt.Sprintf("%d%d", n, class)
			r, err := call(class, id, size)
			if err != nil || r.Status != 200 || ledger.ID(id).Attempts != 1 {
				t.Errorf("%s: %+v, %v", id, r, err)
			}
			log := ledger.Log()
			if last := log[len(log)-1]; (last.Key != "") != (classes[class].Effect == Keyed) || classes[class].Effect != Safe && last.Size != int64(size) {
				t.Errorf("%s: %+v", id, last)
			}
		}
	}
	server.Do(standin.Always(standin.Act{Kind: standin.Deny, Status: 503}))
	if r, err := call(0, "refused", 0); err != nil || r.Status != 503 {
		t.Errorf("%+v, %v", r, err)
	}
	server.Do(standin.Always(standin.Act{Kind: standin.ShortBody}))
	if r, err := call(0, "half", 0); err == nil || errors.Is(err, ErrStale) {
		t.Errorf("half an answer: %+v, %v", r, err)
	}
	server.Kill()
	conn.Close()
	if _, err := (&HTTP1{Addr: server.Addr()}).Dial(time.Now().Add(time.Second)); err == nil || errors.Is(err, ErrLocal) {
		t.Errorf("a server that is down: %v", err)
	}
	if err := server.Restart(); err != nil {
		t.Fatal(err)
	}
	server.Do(standin.Always(standin.Act{}))
	if conn, err = (&HTTP1{Addr: server.Addr()}).Dial(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := call(2, "first", 10); err != nil {
		t.Fatal(err)
	}
	server.Kill()
	if _, err := call(2, "second", 10); !errors.Is(err, ErrStale) && !errors.Is(err, net.ErrClosed) {
		t.Errorf("a kept connection that was closed: %v", err)
	}
	conn.Close()
}

// Scenarios are strict: each of these is refused by the name of what is wrong.
func TestScenariosAreChecked(t *testing.T) {
	const good = "version = 1\nlength = \"1s\"\n[[arrivals]]\nkind = \"constant\"\nrate = 1\n"
	if _, err := ParseScenario([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		strings.Replace(good, "= 1\n", "= 2\n", 1):        "version",
		strings.Replace(good, "1s", "0s", 1):              "length",
		strings.Replace(good, "constant", "steady", 1):    "kind",
		strings.Replace(good, "rate = 1", "rate = -1", 1): "rate",
		"version = 1\nlength = \"1s\"\n":                  "arrivals",
		"lenght = \"1s\"\n" + good:                        "lenght",
		good + "[retries]\nmost = 11\n":                   "retries.most",
		good + "[retries]\nheed = 1.5\n":                  "retries.heed",
		good + "[limits]\nconnections = -1\n":             "limits.connections",
		good + "[[classes]]\nname = \"a\"\nshare = 1.0\neffect = \"twice\"\naim = \"1s\"\ndeadline = \"1s\"\n": "classes[0].effect",
		good + "[[classes]]\nname = \"a\"\nshare = 1.0\neffect = \"safe\"\naim = \"2s\"\ndeadline = \"1s\"\n":  "classes[0].aim",
		good + "[[classes]]\nname = \"a\"\nshare = 0.0\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1s\"\n":  "classes",
		good + "[[events]]\nat = \"1s\"\ndo = \"kill\"\nservers = [1]\n":                                       "site",
		good + "[site]\nservers = 2\n[[events]]\nat = \"1s\"\ndo = \"kill\"\nservers = [3]\n":                  "events[0].servers",
		good + "[site]\nservers = 2\n[[events]]\nat = \"2s\"\ndo = \"kill\"\nservers = [1]\n":                  "events[0].at",
		good + "[site]\nservers = 2\n[[events]]\nat = \"1s\"\ndo = \"burn\"\nservers = [1]\n":                  "events[0].do",
		good + "[site]\nservers = 2\n[[events]]\nat = \"1s\"\ndo = \"kill\"\nzone = \"x\"\n":                   "events[0].zone",
		good + "[site]\nservers = 0\n":  "site.servers",
		good + "[aims]\nearned = 2.0\n": "aims.earned",
	} {
		if _, err := ParseScenario([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want a complaint of %s", text, err, want)
		}
	}
}

func FuzzScenario(f *testing.F) {
	f.Add([]byte("version = 1\nlength = \"1s\"\n[[arrivals]]\nkind = \"constant\"\nrate = 1\n"))
	f.Add([]byte("version = 1\ntrace = \"x\"\nspeed = 2.5\n[[classes]]\nname = \"a\"\nshare = 1.0\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1s\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseScenario(data)
		if err != nil || s.Trace != "" {
			return
		}
		a := s.plan().Arrivals()
		for range 100 {
			if _, ok := a.Next(); !ok {
				break
			}
		}
	})
}

// Who asks again: after a refusal all, after a mistake of their own nobody, after anything
// else what may run again.
func TestWhoAsksAgain(t *testing.T) {
	for status, want := range map[int][2]bool{200: {}, 429: {true, true}, 503: {true, true}, 404: {}, 403: {}, 413: {}, 408: {true, false}, 500: {true, false}, 502: {true, false}, 0: {true, false}} {
		if got := [2]bool{retries(&Class{Effect: Safe}, Reply{Status: status}), retries(&Class{Effect: Once}, Reply{Status: status})}; got != want {
			t.Errorf("after %d: safe and once %v, want %v", status, got, want)
		}
	}
}
