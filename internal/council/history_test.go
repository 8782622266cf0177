package council

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"chalkrack/internal/agreed"
)

// deed is what an operator does: a proposal against a version, or a look (key empty).
type deed struct {
	base uint64
	key  string
}

// seen is what came of it.
type seen struct {
	version uint64 // in force, or that of the proposal; 0 of a proposal: it was refused for its base
	unknown bool
}

// versions is a council without sidecars, where a proposal is in force as it is agreed on: a
// register that is written only against what it holds. Its state is the version in force. Each
// deed is sent until its outcome is known.
var versions = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		v, d, o := state.(uint64), in.(deed), out.(seen)
		switch {
		case d.key == "":
			return o.version == v, v
		case o.version == 0:
			return v != d.base, v
		default:
			return v == d.base && o.version == v+1, v + 1
		}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// play has three operators propose and look for some seconds, while members are killed, stopped,
// started and cut from one another by a seed, and returns what they saw.
func playHistory(t *testing.T, seed uint64, length time.Duration) (all []porcupine.Operation) {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := convene(t, 3+2*int(seed%2))
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	began := time.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for n := range 3 {
		draw := rand.New(rand.NewPCG(seed, uint64(n)+7))
		c := g.client(n)
		wait.Go(func() {
			known := uint64(0)
			for i := 0; ctx.Err() == nil; i++ {
				d := deed{}
				if draw.IntN(2) == 0 {
					d = deed{known, fmt.Sprintf("%d-%d", n, i)}
				}
				call := time.Since(began)
				// Each is answered or not known when the run ends: it is sent until then.
				mostly, stop := context.WithTimeout(context.Background(), 20*time.Second)
				var st Status
				var err error
				if d.key == "" {
					st, err = c.Sure(mostly)
				} else {
					st, err = c.Enter(mostly, agreed.Entry{Kind: agreed.Propose, Base: d.base, Doc: level(d.key, uint64(i)%3)})
				}
				stop()
				o := seen{version: st.InForce.Version}
				var no *Refusal
				switch {
				case errors.As(err, &no) && strings.Contains(no.Text, agreed.ErrBaseVersion.Error()):
					o.version = 0
					known++
				case err != nil:
					o.unknown = true
				case d.key != "":
					for _, e := range st.Endings {
						if e.Key == d.key {
							o.version = e.Version
						}
					}
				}
				if st.InForce.Version > 0 {
					known = st.InForce.Version
				}
				mu.Lock()
				all = append(all, porcupine.Operation{ClientId: n, Input: d, Call: int64(call), Output: o, Return: int64(time.Since(began))})
				mu.Unlock()
				time.Sleep(time.Duration(draw.IntN(20)) * time.Millisecond)
			}
		})
	}
	for ctx.Err() == nil {
		p := g.procs[rng.IntN(len(g.procs))]
		pause := func(most int) { time.Sleep(time.Duration(50+rng.IntN(most)) * time.Millisecond) }
		q := g.others(p)[rng.IntN(len(g.procs)-1)]
		switch rng.IntN(6) {
		case 0:
			g.kill(p)
			pause(800)
			g.start(p)
		case 1:
			p.cmd.Process.Signal(syscall.SIGSTOP)
			pause(1200)
			p.cmd.Process.Signal(syscall.SIGCONT)
		case 2: // all at once
			for _, p := range g.procs {
				g.kill(p)
			}
			pause(200)
			for _, p := range g.procs {
				g.start(p)
			}
		case 3: // it hands its lead over, if it has it
			p.cmd.Process.Signal(syscall.SIGTERM)
			<-p.ended
			g.start(p)
		case 4: // one does not hear another
			g.cut(p, q, true)
			pause(1500)
			g.cut(p, q, false)
		case 5: // one hears nobody, or nobody hears it
			deaf := rng.IntN(2) == 0
			all := func(is bool) {
				for _, q := range g.others(p) {
					if deaf {
						g.cut(q, p, is)
					} else {
						g.cut(p, q, is)
					}
				}
			}
			all(true)
			pause(1500)
			all(false)
		}
		pause(1500)
	}
	wait.Wait()
	return all
}

// What operators see over random schedules of kills, stops, starts and cuts is what one register that
// nobody can lose would have shown. FAWN_HISTORIES says how many schedules, FAWN_HISTORIES_FROM
// which is the first; by hand 200.
func TestHistories(t *testing.T) {
	t.Parallel()
	many, length := 2, 4*time.Second
	if n, err := strconv.Atoi(os.Getenv("FAWN_HISTORIES")); err == nil {
		many, length = n, 8*time.Second
	}
	from, _ := strconv.Atoi(os.Getenv("FAWN_HISTORIES_FROM"))
	for seed := uint64(from); seed < uint64(from+many); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			all := playHistory(t, seed, length)
			proposed, last, unknown := 0, uint64(0), 0
			for _, op := range all {
				d, o := op.Input.(deed), op.Output.(seen)
				if o.unknown {
					unknown++
				}
				if d.key != "" && o.version > 0 {
					proposed++
					last = max(last, o.version)
				}
			}
			t.Logf("%d deeds, %d versions, the last %d, %d not known", len(all), proposed, last, unknown)
			if proposed < 5 || unknown > 0 {
				t.Fatalf("%d versions, %d not known: the schedule proves little", proposed, unknown)
			}
			if r := porcupine.CheckOperationsTimeout(versions, all, time.Minute); r != porcupine.Ok {
				t.Errorf("%s", r)
			}
		})
	}
}

// A history in which somebody sees what was there before is found.
func TestHistoriesThatCantBe(t *testing.T) {
	op := func(call, ret int64, d deed, o seen) porcupine.Operation {
		return porcupine.Operation{Input: d, Call: call, Output: o, Return: ret}
	}
	first := op(0, 1, deed{0, "a"}, seen{version: 1})
	for name, c := range map[string]struct {
		all []porcupine.Operation
		ok  bool
	}{
		"well":             {[]porcupine.Operation{first, op(2, 3, deed{}, seen{version: 1})}, true},
		"an old look":      {[]porcupine.Operation{first, op(2, 3, deed{}, seen{version: 0})}, false},
		"two by one base":  {[]porcupine.Operation{first, op(2, 3, deed{0, "b"}, seen{version: 2})}, false},
		"one number twice": {[]porcupine.Operation{first, op(0, 9, deed{0, "b"}, seen{version: 1})}, false},
	} {
		if got := porcupine.CheckOperations(versions, c.all); got != c.ok {
			t.Errorf("%s: %v", name, got)
		}
	}
}
