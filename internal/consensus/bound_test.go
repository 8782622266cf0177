package consensus

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

	"chalkrack/internal/agreement"
)

// boundChecker checks the levels that the sidecars of a run apply against the versions in force.
type boundChecker struct {
	mu           sync.Mutex
	began        time.Time
	inForceSince []time.Duration // by version: when it was first seen in force
	levels       []uint64        // by version
	violations   []string        // violations of the bound
	longestLax   time.Duration   // longest time that a sidecar applied a lower level than the newest version in force
}

// recordInForce records that a version, and each before it, is in force.
func (a *boundChecker) recordInForce(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for uint64(len(a.inForceSince)) <= version {
		a.inForceSince = append(a.inForceSince, time.Since(a.began))
	}
}

// lowestLevel returns the lowest level of all versions in force within the bound before now. No
// sidecar may apply a lower one.
func (a *boundChecker) lowestLevel(now, bound time.Duration) uint64 {
	v := len(a.inForceSince) - 1
	lowest := a.levels[v]
	for ; v > 0 && now-a.inForceSince[v] <= bound; v-- {
		lowest = min(lowest, a.levels[v-1])
	}
	return lowest
}

// check checks the level that a sidecar applies, read after the time before, against the bound.
func (a *boundChecker) check(sidecar int, before time.Duration, level uint64, bound time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lowest := a.lowestLevel(before, bound); level < lowest && len(a.violations) < 5 {
		a.violations = append(a.violations, fmt.Sprintf("sidecar %d applies level %d at %v, want at least %d, the lowest level in force within %v (in force since %v, levels %v)", sidecar, level, before, lowest, bound, a.inForceSince, a.levels))
	}
	for v := len(a.inForceSince) - 1; v > 0; v-- { // the newest version with a higher level
		if level < a.levels[v] {
			if v == len(a.inForceSince)-1 {
				a.longestLax = max(a.longestLax, before-a.inForceSince[v])
			}
			return
		}
	}
}

// runBoundSchedule brings versions into force that make a class stricter and less strict, while
// members are killed and suspended and sidecars stop sending requests. The seed determines the
// schedule.
func runBoundSchedule(t *testing.T, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	g := startCouncil(t, 3)
	a := &boundChecker{began: time.Now(), inForceSince: []time.Duration{0}, levels: []uint64{0}} // version 0: none in force yet, and leases are granted for it
	bound := g.times.MaxStaleness() - g.times.MaxCallTime                                        // only levels are checked, no call is sent
	var sidecars []*testSidecar
	for n := range 8 {
		sidecars = append(sidecars, g.startSidecar(fmt.Sprintf("car%d", n), n))
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { // checks all sidecars
		for ctx.Err() == nil {
			for n, sidecar := range sidecars {
				before := time.Since(a.began)
				sidecar.mu.Lock()
				level, version := sidecar.participant.Level(bootTime(), "class/a"), sidecar.participant.Active().Version
				sidecar.mu.Unlock()
				a.recordInForce(version)
				a.check(n, before, level, bound)
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
	wait.Go(func() { // the operator
		random := rand.New(rand.NewPCG(seed, 4))
		c := g.client(0)
		for version := uint64(0); ctx.Err() == nil; {
			// The level rises twice, then falls to 0. Some versions stay in force for longer than T.
			time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
			level := (version + 1) % 3
			a.mu.Lock()
			a.levels = append(a.levels[:version+1], level)
			a.mu.Unlock()
			st, err := c.Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: version, Doc: &agreement.Doc{Key: fmt.Sprint("k", version), Who: "kim", Reason: "a test", Rules: agreement.Rules{"class/a": level}}})
			for ctx.Err() == nil && (err != nil || !st.IsSettled || st.InForce.Version != version+1) {
				time.Sleep(20 * time.Millisecond)
				if err != nil { // not settled yet, or no response: repeat the proposal
					st, err = c.Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: version, Doc: &agreement.Doc{Key: fmt.Sprint("k", version), Who: "kim", Reason: "a test", Rules: agreement.Rules{"class/a": level}}})
				} else {
					st, err = c.ConfirmedStatus(ctx)
				}
				if err == nil {
					a.recordInForce(min(st.InForce.Version, version+1))
				}
			}
			version++
		}
	})
	wait.Go(func() { // sidecars stop sending for less than a lease, or for long enough to lose it
		random := rand.New(rand.NewPCG(seed, 5))
		for ctx.Err() == nil {
			sidecar := sidecars[random.IntN(len(sidecars))]
			sidecar.setSilent(true)
			time.Sleep([]time.Duration{time.Second, 6 * time.Second}[random.IntN(2)])
			sidecar.setSilent(false)
			time.Sleep(200 * time.Millisecond)
		}
	})
	for ctx.Err() == nil {
		p := g.procs[rng.IntN(len(g.procs))]
		pause := func(maxMillis int) { time.Sleep(time.Duration(50+rng.IntN(maxMillis)) * time.Millisecond) }
		if rng.IntN(2) == 0 {
			g.killProcess(p)
			pause(800)
			g.startProcess(p)
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
	t.Logf("%d versions; longest time below the level of the newest version in force: %v, T: %v", len(a.inForceSince)-1, a.longestLax.Round(time.Millisecond), bound)
	for _, w := range a.violations {
		t.Error(w)
	}
	if len(a.inForceSince) < 3 {
		t.Errorf("only %d versions came into force: too few for a meaningful run", len(a.inForceSince)-1)
	}
}

// No sidecar may apply a lower level than every version in force within T, in random schedules of
// member and sidecar failures. FAWN_BOUNDS sets the number of schedules for a run by hand.
func TestBoundHolds(t *testing.T) {
	t.Parallel()
	schedules, length := 2, 14*time.Second
	if n, err := strconv.Atoi(os.Getenv("FAWN_BOUNDS")); err == nil {
		schedules, length = n, 30*time.Second
	}
	for seed := range uint64(schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runBoundSchedule(t, seed, length)
		})
	}
}
