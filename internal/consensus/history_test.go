package consensus

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

	"chalkrack/internal/agreement"
)

// operation is an operation of an operator: a proposal against a base version, or a read if key is
// empty.
type operation struct {
	base uint64
	key  string
}

// result is the result of an operation.
type result struct {
	version uint64 // the version read or proposed; 0 for a proposal refused because of its base
	unknown bool
}

// versionModel models a council without sidecars, where a proposal comes into force as soon as it
// is committed: a register with compare-and-set, whose state is the version in force. Each
// operation is repeated until its result is known.
var versionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		version, op, res := state.(uint64), in.(operation), out.(result)
		switch {
		case op.key == "":
			return res.version == version, version
		case res.version == 0:
			return version != op.base, version
		default:
			return version == op.base && res.version == version+1, version + 1
		}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// runHistory has three operators propose and read for a time while members are killed, suspended,
// restarted and partitioned, and returns the history of the operations. The seed determines the
// schedule.
func runHistory(t *testing.T, seed uint64, length time.Duration) (all []porcupine.Operation) {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := startCouncil(t, 3+2*int(seed%2))
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	began := time.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for n := range 3 {
		random := rand.New(rand.NewPCG(seed, uint64(n)+7))
		c := g.client(n)
		wait.Go(func() {
			known := uint64(0)
			for i := 0; ctx.Err() == nil; i++ {
				d := operation{}
				if random.IntN(2) == 0 {
					d = operation{known, fmt.Sprintf("%d-%d", n, i)}
				}
				call := time.Since(began)
				// The operation has a context of its own, so that the end of the run does not cut
				// it off: its result must be known.
				opCtx, stop := context.WithTimeout(context.Background(), 20*time.Second)
				var st Status
				var err error
				if d.key == "" {
					st, err = c.ConfirmedStatus(opCtx)
				} else {
					st, err = c.Apply(opCtx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: d.base, Doc: level(d.key, uint64(i)%3)})
				}
				stop()
				o := result{version: st.InForce.Version}
				var refusal *Refusal
				switch {
				case errors.As(err, &refusal) && strings.Contains(refusal.Text, agreement.ErrBaseVersion.Error()):
					o.version = 0
					known++
				case err != nil:
					o.unknown = true
				case d.key != "":
					for _, e := range st.Results {
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
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
		})
	}
	for ctx.Err() == nil {
		p := g.procs[rng.IntN(len(g.procs))]
		pause := func(maxMillis int) { time.Sleep(time.Duration(50+rng.IntN(maxMillis)) * time.Millisecond) }
		q := g.otherMembers(p)[rng.IntN(len(g.procs)-1)]
		switch rng.IntN(6) {
		case 0:
			g.killProcess(p)
			pause(800)
			g.startProcess(p)
		case 1:
			p.cmd.Process.Signal(syscall.SIGSTOP)
			pause(1200)
			p.cmd.Process.Signal(syscall.SIGCONT)
		case 2: // all members are killed at once
			for _, p := range g.procs {
				g.killProcess(p)
			}
			pause(200)
			for _, p := range g.procs {
				g.startProcess(p)
			}
		case 3: // a regular stop, with a transfer of leadership if it leads
			p.cmd.Process.Signal(syscall.SIGTERM)
			<-p.ended
			g.startProcess(p)
		case 4: // messages from one member to another are lost
			g.setCut(p, q, true)
			pause(1500)
			g.setCut(p, q, false)
		case 5: // all messages to one member, or all from it, are lost
			receivesNothing := rng.IntN(2) == 0
			setAllCut := func(isCut bool) {
				for _, q := range g.otherMembers(p) {
					if receivesNothing {
						g.setCut(q, p, isCut)
					} else {
						g.setCut(p, q, isCut)
					}
				}
			}
			setAllCut(true)
			pause(1500)
			setAllCut(false)
		}
		pause(1500)
	}
	wait.Wait()
	return all
}

// The operations of several operators must be linearizable in random schedules of kills,
// suspensions, restarts and partitions. FAWN_HISTORIES sets the number of schedules and
// FAWN_HISTORIES_FROM the first seed; a run by hand uses 200 schedules.
func TestHistories(t *testing.T) {
	t.Parallel()
	schedules, length := 2, 4*time.Second
	if n, err := strconv.Atoi(os.Getenv("FAWN_HISTORIES")); err == nil {
		schedules, length = n, 8*time.Second
	}
	from, _ := strconv.Atoi(os.Getenv("FAWN_HISTORIES_FROM"))
	for seed := uint64(from); seed < uint64(from+schedules); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			all := runHistory(t, seed, length)
			proposed, last, unknown := 0, uint64(0), 0
			for _, op := range all {
				d, o := op.Input.(operation), op.Output.(result)
				if o.unknown {
					unknown++
				}
				if d.key != "" && o.version > 0 {
					proposed++
					last = max(last, o.version)
				}
			}
			t.Logf("%d operations, %d versions, the last %d, %d results unknown", len(all), proposed, last, unknown)
			if proposed < 5 || unknown > 0 {
				t.Fatalf("%d versions, want at least 5; %d results unknown, want 0", proposed, unknown)
			}
			if r := porcupine.CheckOperationsTimeout(versionModel, all, time.Minute); r != porcupine.Ok {
				t.Errorf("linearizability check: %s", r)
			}
		})
	}
}

// The model accepts a correct history and rejects stale reads and conflicting proposals; otherwise
// TestHistories could not detect them.
func TestHistoryModelRejectsInvalidHistories(t *testing.T) {
	op := func(call, ret int64, d operation, o result) porcupine.Operation {
		return porcupine.Operation{Input: d, Call: call, Output: o, Return: ret}
	}
	first := op(0, 1, operation{0, "a"}, result{version: 1})
	for name, c := range map[string]struct {
		all []porcupine.Operation
		ok  bool
	}{
		"valid":                    {[]porcupine.Operation{first, op(2, 3, operation{}, result{version: 1})}, true},
		"a stale read":             {[]porcupine.Operation{first, op(2, 3, operation{}, result{version: 0})}, false},
		"two versions by one base": {[]porcupine.Operation{first, op(2, 3, operation{0, "b"}, result{version: 2})}, false},
		"one version twice":        {[]porcupine.Operation{first, op(0, 9, operation{0, "b"}, result{version: 1})}, false},
	} {
		if got := porcupine.CheckOperations(versionModel, c.all); got != c.ok {
			t.Errorf("%s: wrong verdict: linearizable %v", name, got)
		}
	}
}
