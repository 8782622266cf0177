package council

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/agreed"
)

// acted is what the sidecars of a run acted on, and when versions came into force at the latest.
type acted struct {
	mu     sync.Mutex
	began  time.Time
	forced []time.Duration // by version: when somebody first saw it in force
	levels []uint64        // by version
	wrong  []string
	lax    time.Duration // the longest that somebody acted on less than a version in force
}

// saw notes that a version is in force.
func (a *acted) saw(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for uint64(len(a.forced)) <= version {
		a.forced = append(a.forced, time.Since(a.began))
	}
}

// least is the level that nobody may be under: the least of what was in force within T.
func (a *acted) least(now, bound time.Duration) uint64 {
	v := len(a.forced) - 1
	least := a.levels[v]
	for ; v > 0 && now-a.forced[v] <= bound; v-- {
		least = min(least, a.levels[v-1])
	}
	return least
}

// check holds what a sidecar acted on, at a time before it was looked at, against the bound.
func (a *acted) check(who int, before time.Duration, level uint64, bound time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if least := a.least(before, bound); level < least && len(a.wrong) < 5 {
		a.wrong = append(a.wrong, fmt.Sprintf("sidecar %d acts on level %d at %v, %d is the least within %v (in force since %v, levels %v)", who, level, before, least, bound, a.forced, a.levels))
	}
	for v := len(a.forced) - 1; v > 0; v-- { // since the newest that it is under
		if level < a.levels[v] {
			if v == len(a.forced)-1 {
				a.lax = max(a.lax, before-a.forced[v])
			}
			return
		}
	}
}

// playBound has versions that tighten and loosen a class come into force while members are killed
// and stopped, and sidecars fall silent, by a seed.
func playBound(t *testing.T, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	g := convene(t, 3)
	a := &acted{began: time.Now(), forced: []time.Duration{0}, levels: []uint64{0}} // nothing is in force, and leases are given for that
	bound := g.times.MaxStaleness() - g.times.Call                                  // rules are looked at, no call is sent
	var cars []*car
	for n := range 8 {
		cars = append(cars, g.car(fmt.Sprintf("car%d", n), n))
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { // looks at all
		for ctx.Err() == nil {
			for n, k := range cars {
				before := time.Since(a.began)
				k.mu.Lock()
				level, version := k.car.Level(bootNow(), "class/a"), k.car.Active().Version
				k.mu.Unlock()
				a.saw(version)
				a.check(n, before, level, bound)
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
	wait.Go(func() { // operators
		draw := rand.New(rand.NewPCG(seed, 4))
		c := g.client(0)
		for version := uint64(0); ctx.Err() == nil; {
			// Tightened twice, then loosened; some stay for longer than T.
			time.Sleep(time.Duration(draw.IntN(2500)) * time.Millisecond)
			level := (version + 1) % 3
			a.mu.Lock()
			a.levels = append(a.levels[:version+1], level)
			a.mu.Unlock()
			st, err := c.Enter(ctx, agreed.Entry{Kind: agreed.Propose, Base: version, Doc: &agreed.Doc{Key: fmt.Sprint("k", version), Who: "kim", Reason: "a test", Rules: agreed.Rules{"class/a": level}}})
			for ctx.Err() == nil && (err != nil || !st.Settled || st.InForce.Version != version+1) {
				time.Sleep(20 * time.Millisecond)
				if err != nil { // unsettled, or lost: the same again
					st, err = c.Enter(ctx, agreed.Entry{Kind: agreed.Propose, Base: version, Doc: &agreed.Doc{Key: fmt.Sprint("k", version), Who: "kim", Reason: "a test", Rules: agreed.Rules{"class/a": level}}})
				} else {
					st, err = c.Sure(ctx)
				}
				if err == nil {
					a.saw(min(st.InForce.Version, version+1))
				}
			}
			version++
		}
	})
	wait.Go(func() { // sidecars fall silent for less than a lease, or until long after one has ended
		draw := rand.New(rand.NewPCG(seed, 5))
		for ctx.Err() == nil {
			k := cars[draw.IntN(len(cars))]
			k.hush(true)
			time.Sleep([]time.Duration{time.Second, 6 * time.Second}[draw.IntN(2)])
			k.hush(false)
			time.Sleep(200 * time.Millisecond)
		}
	})
	for ctx.Err() == nil {
		p := g.procs[rng.IntN(len(g.procs))]
		pause := func(most int) { time.Sleep(time.Duration(50+rng.IntN(most)) * time.Millisecond) }
		if rng.IntN(2) == 0 {
			g.kill(p)
			pause(800)
			g.start(p)
		} else {
			p.cmd.Process.Signal(syscall.SIGSTOP)
			pause(1000)
			p.cmd.Process.Signal(syscall.SIGCONT)
		}
		pause(1500)
	}
	wait.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Logf("%d versions; the longest on less than the newest in force %v, T %v", len(a.forced)-1, a.lax.Round(time.Millisecond), bound)
	for _, w := range a.wrong {
		t.Error(w)
	}
	if len(a.forced) < 3 {
		t.Errorf("%d versions came into force: the schedule proves little", len(a.forced)-1)
	}
}

// Nobody acts on less than what was in force within T, over random schedules. FAWN_BOUNDS says how
// many, by hand.
func TestBoundHolds(t *testing.T) {
	t.Parallel()
	many, length := 2, 14*time.Second
	if n, err := strconv.Atoi(os.Getenv("FAWN_BOUNDS")); err == nil {
		many, length = n, 30*time.Second
	}
	for seed := range uint64(many) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playBound(t, seed, length)
		})
	}
}
