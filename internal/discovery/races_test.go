package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack/internal/membership"
)

// fakeDiscovery is a discovery service in memory and virtual time. serve handles each connection
// after the head of its request was read; n is the number of the connection.
type fakeDiscovery struct {
	t     *testing.T
	serve func(n int, c net.Conn, query string)

	mu         sync.Mutex
	dials      int
	queries    []string
	receivedAt map[int64]time.Time // when each list version was first handed on
	failures   []error
}

func (d *fakeDiscovery) dial(ctx context.Context, addr string) (net.Conn, error) {
	d.mu.Lock()
	n := d.dials
	d.dials++
	d.mu.Unlock()
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		r, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		d.mu.Lock()
		d.queries = append(d.queries, r.URL.RawQuery)
		d.mu.Unlock()
		d.serve(n, far, r.URL.RawQuery)
	}()
	return near, nil
}

// start runs w against this service until the returned function stops it.
func (d *fakeDiscovery) start(w *Watcher) (stop func()) {
	if w.Dial == nil {
		w.Dial = d.dial
	}
	d.receivedAt = make(map[int64]time.Time)
	w.OnList = func(l *membership.List) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if _, ok := d.receivedAt[l.Version]; !ok {
			d.receivedAt[l.Version] = time.Now()
		}
	}
	w.OnError = func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.failures = append(d.failures, err)
	}
	over := make(chan struct{})
	go func() { w.Run(); close(over) }()
	return func() { w.Close(); <-over }
}

// drainSleepers advances virtual time until all sleeping goroutines of the service are done.
func drainSleepers() { time.Sleep(time.Hour) }

func (d *fakeDiscovery) receiptTime(index int64) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.receivedAt[index]
	return at, ok
}

const head200 = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// waitForClose sends nothing more and waits until the other side closes.
func waitForClose(c net.Conn) { io.Copy(io.Discard, c) }

var timings = map[string]Timing{"pushed": AgentTiming, "asked": SharedServiceTiming}

// The timeouts and delays add up to less than the time allowed for a change, with 300 ms to
// spare for a busy machine.
func TestWorstCaseDelayIsBelowLimit(t *testing.T) {
	for name, timing := range timings {
		if worst := timing.WorstCaseDelay(); worst > MaxChangeDelay-300*time.Millisecond {
			t.Errorf("%s: worst-case delay is %v, too close to the limit of %v", name, worst, MaxChangeDelay)
		}
	}
}

// The watch becomes silent at the moment of a change. The next call connects at once and is
// answered just before its timeout. The change must still arrive within WorstCaseDelay.
func TestChangeDuringSilenceArrivesInTime(t *testing.T) {
	for name, timing := range timings {
		for range 40 {
			synctest.Test(t, func(t *testing.T) {
				var changed atomic.Int64
				d := &fakeDiscovery{t: t}
				d.serve = func(n int, c net.Conn, query string) {
					if n > 0 {
						time.Sleep(timing.CallTimeout - time.Millisecond)
						fmt.Fprint(c, head200)
						writeChunk(c, list(6, false, entry("b")))
						waitForClose(c)
						return
					}
					fmt.Fprint(c, head200)
					writeChunk(c, list(5, true, entry("a")))
					changed.Store(time.Now().UnixNano())
					waitForClose(c)
				}
				stop := d.start(&Watcher{Timing: timing})
				defer drainSleepers()
				defer stop()
				time.Sleep(timing.MaxInitialDelay + 2*MaxChangeDelay)
				at, ok := d.receiptTime(6)
				if took := at.Sub(time.Unix(0, changed.Load())); !ok || took > timing.WorstCaseDelay() || took >= MaxChangeDelay {
					t.Errorf("%s: list received %v after the change (received: %v), want at most %v", name, took, ok, timing.WorstCaseDelay())
				}
			})
		}
	}
}

// Before the first list the service is down: it accepts connections without answering, refuses
// them, or rejects calls. It returns at various points of a call or a delay between calls, and
// calls that hang stay hung. The list must still arrive within WorstCaseDelay of the
// return.
func TestChangeAfterOutageArrivesInTime(t *testing.T) {
	refused := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	noPlace := func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "socket", Err: syscall.EMFILE}
	}
	never := func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	for name, timing := range timings {
		for down, dial := range map[string]func(context.Context, string) (net.Conn, error){
			"silent": nil, "refused": refused, "no descriptor": noPlace, "never up": never, "turned away": nil,
		} {
			for n := range 12 {
				synctest.Test(t, func(t *testing.T) {
					back := time.Now().Add(5*time.Second + time.Duration(n)*311*time.Millisecond)
					d := &fakeDiscovery{t: t}
					d.serve = func(_ int, c net.Conn, _ string) {
						if time.Now().Before(back) {
							if down == "turned away" {
								fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
								return
							}
							waitForClose(c)
							return
						}
						time.Sleep(timing.CallTimeout - time.Millisecond)
						fmt.Fprint(c, head200)
						writeChunk(c, list(6, true, entry("b")))
						waitForClose(c)
					}
					w := &Watcher{Timing: timing}
					w.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
						if dial != nil && time.Now().Before(back) {
							return dial(ctx, addr)
						}
						return d.dial(ctx, addr)
					}
					stop := d.start(w)
					defer drainSleepers()
					defer stop()
					time.Sleep(time.Until(back) + 2*MaxChangeDelay)
					at, ok := d.receiptTime(6)
					if took := at.Sub(back); !ok || took > timing.WorstCaseDelay() || took >= MaxChangeDelay {
						t.Errorf("%s, %s: list received %v after the return (received: %v), want at most %v", name, down, took, ok, timing.WorstCaseDelay())
					}
				})
			}
		}
	}
}

// A list that trickles in byte by byte, or stops in the middle, does not count as a sign of
// life: the watch is reopened as after silence. Empty lines between lists keep the watch open.
func TestIncompleteListCountsAsSilence(t *testing.T) {
	whole, change := list(5, true, entry("a")), list(6, false, entry("b"))
	for name, c := range map[string]struct {
		goOn  func(c net.Conn)
		dials int
	}{
		"byte by byte": {func(c net.Conn) {
			for n := range change {
				time.Sleep(100 * time.Millisecond)
				writeChunk(c, change[n:n+1])
			}
			waitForClose(c)
		}, 2},
		"half of one, then empty lines": {func(c net.Conn) {
			writeChunk(c, change[:strings.Index(change, "[")+1]) // within a list, where whitespace does not count
			for range 10 {
				time.Sleep(2 * time.Second)
				writeChunk(c, "\n")
			}
		}, 2},
		"blanks without an end of line": {func(c net.Conn) {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				writeChunk(c, " ")
			}
		}, 2},
		"empty lines": {func(c net.Conn) {
			for range 10 {
				time.Sleep(2 * time.Second)
				writeChunk(c, "\n")
			}
		}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			var began atomic.Int64
			d := &fakeDiscovery{t: t}
			d.serve = func(n int, conn net.Conn, _ string) {
				fmt.Fprint(conn, head200)
				if n == 0 {
					writeChunk(conn, whole)
					began.Store(time.Now().UnixNano())
					c.goOn(conn)
				}
				writeChunk(conn, change)
				waitForClose(conn)
			}
			stop := d.start(&Watcher{Timing: AgentTiming})
			time.Sleep(4500 * time.Millisecond)
			d.mu.Lock()
			dials := d.dials
			d.mu.Unlock()
			stop()
			drainSleepers()
			if dials != c.dials {
				t.Errorf("%s: %d calls, want %d", name, dials, c.dials)
			}
			if at, ok := d.receivedAt[6]; c.dials == 2 && (!ok || at.Sub(time.Unix(0, began.Load())) > AgentTiming.WorstCaseDelay()) {
				t.Errorf("%s: list received after %v (received: %v)", name, at.Sub(time.Unix(0, began.Load())), ok)
			}
		})
	}
}

// A call that holds no list and receives only empty lines is given up, because it has to bring
// the whole list.
func TestEmptyLinesBeforeFirstListTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDiscovery{t: t}
		d.serve = func(n int, c net.Conn, _ string) {
			fmt.Fprint(c, head200)
			if n > 0 {
				writeChunk(c, list(5, true, entry("a")))
				waitForClose(c)
			}
			for range 1000 {
				time.Sleep(time.Second)
				writeChunk(c, "\n")
			}
		}
		began := time.Now()
		stop := d.start(&Watcher{Timing: AgentTiming})
		defer drainSleepers()
		defer stop()
		time.Sleep(time.Minute)
		if at, ok := d.receiptTime(5); !ok || at.Sub(began) > MaxChangeDelay {
			t.Errorf("list received after %v (received: %v)", at.Sub(began), ok)
		}
	})
}

// Lists are read on one line, indented over many, without a newline at the end, two at once, and
// split at any byte.
func TestListFormatting(t *testing.T) {
	first, second := list(5, true, entry("a")), list(6, false, entry("b"))
	indented := strings.NewReplacer("{", "{\n  ", ",", ",\n\t", "}", "\r\n}").Replace(first)
	for name, text := range map[string]string{
		"on a line":               first + "\n\n" + second,
		"indented":                indented + "\n" + strings.ReplaceAll(second, ",", " ,\n"),
		"no end of line":          strings.TrimSpace(first) + strings.TrimSpace(second),
		"blanks before":           "\n  \n\t" + first + "   " + second,
		"brackets in a name":      first + list(6, false, entry("b}]{")),
		"escaped quote in a name": first + list(6, false, entry(`b"{`)),
	} {
		for _, size := range []int{1, 7, len(text)} {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{t: t}
				d.serve = func(_ int, c net.Conn, _ string) {
					fmt.Fprint(c, head200)
					for rest := text; rest != ""; {
						n := min(size, len(rest))
						writeChunk(c, rest[:n])
						rest = rest[n:]
					}
					waitForClose(c)
				}
				stop := d.start(&Watcher{Timing: AgentTiming})
				synctest.Wait()
				stop()
				drainSleepers()
				if len(d.receivedAt) != 2 || len(d.failures) != 0 || d.dials != 1 {
					t.Errorf("%s in pieces of %d: %d lists, errors %v, %d calls", name, size, len(d.receivedAt), d.failures, d.dials)
				}
			})
		}
	}
}

// A head or list without end is cut off at its maximum length, and is not handed on.
func TestHeadAndListLengthsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		say  func(net.Conn)
		want error
	}{
		"a head": {func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
			for n := 0; ; n++ {
				if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", n, strings.Repeat("x", 1000)); err != nil {
					return
				}
			}
		}, errHeadTooLong},
		"a list": {func(c net.Conn) {
			fmt.Fprint(c, head200)
			writeChunk(c, `{"index":5,"snapshot":true,"endpoints":["`)
			for long := strings.Repeat("x", 1<<20); ; {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(long), long); err != nil {
					return
				}
			}
		}, errListTooLong},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := &fakeDiscovery{t: t}
			d.serve = func(n int, conn net.Conn, _ string) {
				if n == 0 {
					c.say(conn)
				}
				waitForClose(conn)
			}
			stop := d.start(&Watcher{Timing: AgentTiming})
			time.Sleep(time.Second)
			stop()
			drainSleepers()
			if len(d.failures) == 0 || !errors.Is(d.failures[0], c.want) || len(d.receivedAt) != 0 {
				t.Errorf("%s: errors %v, %d lists", name, d.failures, len(d.receivedAt))
			}
		})
	}
}

// The address changes while a call hangs in connecting to the old one, or while the watch waits
// between two calls. The new address is asked at once, for the whole list, and nothing more is
// read from the old address.
func TestAddressChangeDuringDialAndDelay(t *testing.T) {
	for name, timing := range timings {
		for _, refuses := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDiscovery{t: t}
				d.serve = func(_ int, c net.Conn, _ string) {
					fmt.Fprint(c, head200)
					writeChunk(c, list(3, true, entry("b")))
					waitForClose(c)
				}
				w := &Watcher{Addr: "old", Timing: timing, Track: membership.ListTracker{Version: 50, HasServers: true}}
				w.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					switch {
					case addr == "next":
						return d.dial(ctx, addr)
					case refuses:
						return nil, syscall.ECONNREFUSED
					}
					<-ctx.Done()
					return nil, ctx.Err()
				}
				stop := d.start(w)
				defer drainSleepers()
				defer stop()
				time.Sleep(timing.MaxInitialDelay + 10*time.Second)
				moved := time.Now()
				w.SetAddr("next")
				synctest.Wait()
				if at, ok := d.receiptTime(3); !ok || at != moved {
					t.Errorf("%s, refused %v: list received %v after the move (received: %v)", name, refuses, at.Sub(moved), ok)
				}
				if len(d.queries) == 0 || d.queries[0] != "watch=1" {
					t.Errorf("queries %q, want \"watch=1\" first", d.queries)
				}
			})
		}
	}
}

// A fleet of sidecars that loses a shared service at the same moment spreads its next calls over
// time.
func TestSharedServiceCallsAreSpreadOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet = 200
		var mu sync.Mutex
		calls := make(map[time.Duration]int)
		began := time.Now()
		var lost time.Time
		var stops []func()
		for range fleet {
			d := &fakeDiscovery{t: t}
			d.serve = func(n int, c net.Conn, _ string) {
				mu.Lock()
				if at := time.Since(began); n == 0 {
					calls[at/(100*time.Millisecond)]++
				} else if n == 1 {
					calls[100+time.Since(lost)/(50*time.Millisecond)]++
				}
				mu.Unlock()
				fmt.Fprint(c, head200)
				writeChunk(c, list(5, true, entry("a")))
				if n == 0 {
					time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
					mu.Lock()
					lost = time.Now()
					mu.Unlock()
					return
				}
				waitForClose(c)
			}
			stops = append(stops, d.start(&Watcher{Timing: SharedServiceTiming}))
		}
		time.Sleep(10 * time.Second)
		for _, stop := range stops {
			stop()
		}
		drainSleepers()
		most, slots := 0, 0
		for _, n := range calls {
			most, slots = max(most, n), slots+1
		}
		if most > fleet/3 || slots < 15 {
			t.Errorf("up to %d calls of a fleet of %d in one time slot, %d slots used", most, fleet, slots)
		}
	})
}
