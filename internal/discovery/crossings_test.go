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

// world is a discovery in memory and virtual time. Each connection is served by serve, told
// which one it is, behind the head of its request.
type world struct {
	t     *testing.T
	serve func(n int, c net.Conn, query string)

	mu      sync.Mutex
	dials   int
	queries []string
	heard   map[int64]time.Time // when each version was first handed on
	fails   []error
}

func (d *world) dial(ctx context.Context, addr string) (net.Conn, error) {
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

// follow runs a watcher of this world until the returned function ends it.
func (d *world) follow(w *Watcher) (stop func()) {
	if w.Dial == nil {
		w.Dial = d.dial
	}
	d.heard = make(map[int64]time.Time)
	w.Listed = func(l *membership.List) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if _, ok := d.heard[l.Index]; !ok {
			d.heard[l.Index] = time.Now()
		}
	}
	w.Failed = func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.fails = append(d.fails, err)
	}
	over := make(chan struct{})
	go func() { w.Follow(); close(over) }()
	return func() { w.Close(); <-over }
}

// rest lets what the other sides still sleep for pass, in virtual time.
func rest() { time.Sleep(time.Hour) }

func (d *world) heardAt(index int64) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.heard[index]
	return at, ok
}

const head200 = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// hang says nothing more until the other side closes.
func hang(c net.Conn) { io.Copy(io.Discard, c) }

var timings = map[string]Timing{"pushed": Pushed, "asked": Asked}

// The constants sum up to less than the time after which a change counts as told, with
// what a busy machine may add.
func TestWorstCaseIsBelowTold(t *testing.T) {
	for name, timing := range timings {
		if worst := timing.Worst(); worst > Told-300*time.Millisecond {
			t.Errorf("%s: a change may stay unheard for %v of %v", name, worst, Told)
		}
	}
}

// The watch falls silent in the moment in which something changes. The next call connects at
// once and is answered as late as a call is waited for.
func TestSilenceCrossesAChange(t *testing.T) {
	for name, timing := range timings {
		for range 40 {
			synctest.Test(t, func(t *testing.T) {
				var changed atomic.Int64
				d := &world{t: t}
				d.serve = func(n int, c net.Conn, query string) {
					if n > 0 {
						time.Sleep(timing.Call - time.Millisecond)
						fmt.Fprint(c, head200)
						chunk(c, list(6, false, entry("b")))
						hang(c)
						return
					}
					fmt.Fprint(c, head200)
					chunk(c, list(5, true, entry("a")))
					changed.Store(time.Now().UnixNano())
					hang(c)
				}
				stop := d.follow(&Watcher{Timing: timing})
				defer rest()
				defer stop()
				time.Sleep(timing.Spread + 2*Told)
				at, ok := d.heardAt(6)
				if took := at.Sub(time.Unix(0, changed.Load())); !ok || took > timing.Worst() || took >= Told {
					t.Errorf("%s: heard %v after the change (%v), at most %v", name, took, ok, timing.Worst())
				}
			})
		}
	}
}

// Discovery is down before the first list: it takes connections and says nothing, or refuses
// them, or turns calls away. What it has at its return, whenever that is in the middle of a
// call or a wait, is heard in time, though calls that hang stay hung.
func TestReturnCrossesACall(t *testing.T) {
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
					d := &world{t: t}
					d.serve = func(_ int, c net.Conn, _ string) {
						if time.Now().Before(back) {
							if down == "turned away" {
								fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
								return
							}
							hang(c)
							return
						}
						time.Sleep(timing.Call - time.Millisecond)
						fmt.Fprint(c, head200)
						chunk(c, list(6, true, entry("b")))
						hang(c)
					}
					w := &Watcher{Timing: timing}
					w.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
						if dial != nil && time.Now().Before(back) {
							return dial(ctx, addr)
						}
						return d.dial(ctx, addr)
					}
					stop := d.follow(w)
					defer rest()
					defer stop()
					time.Sleep(time.Until(back) + 2*Told)
					at, ok := d.heardAt(6)
					if took := at.Sub(back); !ok || took > timing.Worst() || took >= Told {
						t.Errorf("%s, %s: heard %v after the return (%v), at most %v", name, down, took, ok, timing.Worst())
					}
				})
			}
		}
	}
}

// A list that trickles byte by byte is no sign of life, nor is one that stops in the middle:
// the watch is opened anew as after silence. Empty lines are, for as long as they come.
func TestTrickleIsSilence(t *testing.T) {
	whole, change := list(5, true, entry("a")), list(6, false, entry("b"))
	for name, c := range map[string]struct {
		goOn  func(c net.Conn)
		dials int
	}{
		"byte by byte": {func(c net.Conn) {
			for n := range change {
				time.Sleep(100 * time.Millisecond)
				chunk(c, change[n:n+1])
			}
			hang(c)
		}, 2},
		"half of one, then empty lines": {func(c net.Conn) {
			chunk(c, change[:strings.Index(change, "[")+1]) // where blanks say nothing
			for range 10 {
				time.Sleep(2 * time.Second)
				chunk(c, "\n")
			}
		}, 2},
		"blanks without an end of line": {func(c net.Conn) {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				chunk(c, " ")
			}
		}, 2},
		"empty lines": {func(c net.Conn) {
			for range 10 {
				time.Sleep(2 * time.Second)
				chunk(c, "\n")
			}
		}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			var began atomic.Int64
			d := &world{t: t}
			d.serve = func(n int, conn net.Conn, _ string) {
				fmt.Fprint(conn, head200)
				if n == 0 {
					chunk(conn, whole)
					began.Store(time.Now().UnixNano())
					c.goOn(conn)
				}
				chunk(conn, change)
				hang(conn)
			}
			stop := d.follow(&Watcher{Timing: Pushed})
			time.Sleep(4500 * time.Millisecond)
			d.mu.Lock()
			dials := d.dials
			d.mu.Unlock()
			stop()
			rest()
			if dials != c.dials {
				t.Errorf("%s: %d calls, want %d", name, dials, c.dials)
			}
			if at, ok := d.heard[6]; c.dials == 2 && (!ok || at.Sub(time.Unix(0, began.Load())) > Pushed.Worst()) {
				t.Errorf("%s: heard after %v (%v)", name, at.Sub(time.Unix(0, began.Load())), ok)
			}
		})
	}
}

// A call that has no list held and brings empty lines only is given up: the whole list is owed.
func TestEmptyLinesAreNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &world{t: t}
		d.serve = func(n int, c net.Conn, _ string) {
			fmt.Fprint(c, head200)
			if n > 0 {
				chunk(c, list(5, true, entry("a")))
				hang(c)
			}
			for range 1000 {
				time.Sleep(time.Second)
				chunk(c, "\n")
			}
		}
		began := time.Now()
		stop := d.follow(&Watcher{Timing: Pushed})
		defer rest()
		defer stop()
		time.Sleep(time.Minute)
		if at, ok := d.heardAt(5); !ok || at.Sub(began) > Told {
			t.Errorf("a list after %v (%v)", at.Sub(began), ok)
		}
	})
}

// Lists come on one line, indented over many, with no end of line, two in one piece, in
// pieces that end anywhere.
func TestFormsOfLists(t *testing.T) {
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
				d := &world{t: t}
				d.serve = func(_ int, c net.Conn, _ string) {
					fmt.Fprint(c, head200)
					for rest := text; rest != ""; {
						n := min(size, len(rest))
						chunk(c, rest[:n])
						rest = rest[n:]
					}
					hang(c)
				}
				stop := d.follow(&Watcher{Timing: Pushed})
				synctest.Wait()
				stop()
				rest()
				if len(d.heard) != 2 || len(d.fails) != 0 || d.dials != 1 {
					t.Errorf("%s in pieces of %d: %d lists, %v, %d calls", name, size, len(d.heard), d.fails, d.dials)
				}
			})
		}
	}
}

// What has no end is ended by its length, and the list held stays in use.
func TestLengthsAreBounded(t *testing.T) {
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
		}, errLongHead},
		"a list": {func(c net.Conn) {
			fmt.Fprint(c, head200)
			chunk(c, `{"index":5,"snapshot":true,"endpoints":["`)
			for long := strings.Repeat("x", 1<<20); ; {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(long), long); err != nil {
					return
				}
			}
		}, errLongList},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := &world{t: t}
			d.serve = func(n int, conn net.Conn, _ string) {
				if n == 0 {
					c.say(conn)
				}
				hang(conn)
			}
			stop := d.follow(&Watcher{Timing: Pushed})
			time.Sleep(time.Second)
			stop()
			rest()
			if len(d.fails) == 0 || !errors.Is(d.fails[0], c.want) || len(d.heard) != 0 {
				t.Errorf("%s: %v, %d lists", name, d.fails, len(d.heard))
			}
		})
	}
}

// A move while a call connects to the address before, which never answers, and while the
// watch waits between two calls: the next is asked at once, for the whole list. What the old
// address still says is heard by nobody.
func TestMoveWhileDialling(t *testing.T) {
	for name, timing := range timings {
		for _, refuses := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				d := &world{t: t}
				d.serve = func(_ int, c net.Conn, _ string) {
					fmt.Fprint(c, head200)
					chunk(c, list(3, true, entry("b")))
					hang(c)
				}
				w := &Watcher{Addr: "old", Timing: timing, Track: membership.Track{Index: 50, Held: true}}
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
				stop := d.follow(w)
				defer rest()
				defer stop()
				time.Sleep(timing.Spread + 10*time.Second)
				moved := time.Now()
				w.Move("next")
				synctest.Wait()
				if at, ok := d.heardAt(3); !ok || at != moved {
					t.Errorf("%s, refused %v: heard %v after the move (%v)", name, refuses, at.Sub(moved), ok)
				}
				if len(d.queries) == 0 || d.queries[0] != "watch=1" {
					t.Errorf("asked %q", d.queries)
				}
			})
		}
	}
}

// Many that lose an asked discovery at once do not come back all at once.
func TestAskedCallsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet = 200
		var mu sync.Mutex
		calls := make(map[time.Duration]int)
		began := time.Now()
		var lost time.Time
		var stops []func()
		for range fleet {
			d := &world{t: t}
			d.serve = func(n int, c net.Conn, _ string) {
				mu.Lock()
				if at := time.Since(began); n == 0 {
					calls[at/(100*time.Millisecond)]++
				} else if n == 1 {
					calls[100+time.Since(lost)/(50*time.Millisecond)]++
				}
				mu.Unlock()
				fmt.Fprint(c, head200)
				chunk(c, list(5, true, entry("a")))
				if n == 0 {
					time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
					mu.Lock()
					lost = time.Now()
					mu.Unlock()
					return
				}
				hang(c)
			}
			stops = append(stops, d.follow(&Watcher{Timing: Asked}))
		}
		time.Sleep(10 * time.Second)
		for _, stop := range stops {
			stop()
		}
		rest()
		most, slots := 0, 0
		for _, n := range calls {
			most, slots = max(most, n), slots+1
		}
		if most > fleet/3 || slots < 15 {
			t.Errorf("%d of %d calls within one step, %d steps", most, fleet, slots)
		}
	})
}
