package evacuation_test

import (
	"testing"
	"time"

	"chalkrack/internal/evacuation"
	"chalkrack/internal/lab/zonal"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// fleet is a simulated fleet with zones a, b and c, whose faults a test sets.
type fleet struct {
	*zonal.World
	t       testing.TB
	results map[string]evacuation.ResultKind // result of calls by zone; default ResultGood
	affects func(n int) bool                 // sidecars that the failures affect; nil: all
}

func newFleet(t testing.TB, seed uint64, sidecars int) *fleet {
	t.Helper()
	return newFleetWithConfig(t, seed, evacuation.Default(), sidecars)
}

func newFleetWithConfig(t testing.TB, seed uint64, cfg evacuation.Config, sidecars int) *fleet {
	t.Helper()
	w, err := zonal.New(seed, cfg, sidecars, 3, "a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{World: w, t: t, results: make(map[string]evacuation.ResultKind)}
	w.CallResult = func(n int, s evacuation.Server) evacuation.ResultKind {
		if f.affects != nil && !f.affects(n) {
			return evacuation.ResultGood
		}
		return f.results[s.Zone]
	}
	return f
}

// failZone makes connections to a zone fail, at 3 s or now, whichever is later.
func (f *fleet) failZone(zone string) {
	if f.Now < 3*sec {
		f.Run(3 * sec)
	}
	f.results[zone] = evacuation.ResultConnectFailed
}

// waitFor runs the fleet until holds returns true. It fails the test if that takes longer than
// maxTime.
func (f *fleet) waitFor(condition string, maxTime time.Duration, holds func() bool) time.Duration {
	f.t.Helper()
	took, ok := f.RunUntil(maxTime, 10*ms, holds)
	if !ok {
		f.t.Errorf("at %v: condition %q not met within %v", f.Now, condition, maxTime)
	}
	return took
}

// waitUntilLeft waits until no running sidecar sends to a zone. It returns how long that took for
// nine tenths of them and for all.
func (f *fleet) waitUntilLeft(zone string, maxTime time.Duration) (nine, all time.Duration) {
	f.t.Helper()
	out := func(part int) func() bool {
		return func() bool {
			n, of := f.CountUsing(zone)
			return n <= of/part
		}
	}
	nine = f.waitFor("departure of nine tenths from zone "+zone, maxTime, out(10))
	return nine, nine + f.waitFor("departure of all from zone "+zone, maxTime-nine, out(1<<30))
}

// waitUntilReturned waits until the record of each running sidecar is at StageAll.
func (f *fleet) waitUntilReturned(zone string, maxTime time.Duration) time.Duration {
	f.t.Helper()
	return f.waitFor("return of all to zone "+zone, maxTime, func() bool {
		for _, c := range f.Sidecars {
			if rec, _ := c.RecordAndOrder(zone); rec.Stage != evacuation.StageAll && !c.Stopped {
				return false
			}
		}
		return true
	})
}

// requireUsers fails the test unless want sidecars send to a zone.
func (f *fleet) requireUsers(zone string, want int) {
	f.t.Helper()
	if n, of := f.CountUsing(zone); n != want {
		f.t.Errorf("at %v: %d of %d sidecars use zone %s, want %d (by stage: %v)", f.Now, n, of, zone, want, f.CountByStage(zone))
	}
}

func (f *fleet) start(n int) {
	f.t.Helper()
	if err := f.Start(n); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) order(n int, zone, action, reason string) {
	f.t.Helper()
	if err := f.Sidecars[n].SubmitOrder(f.Now, zone, action, "ops", reason); err != nil {
		f.t.Fatal(err)
	}
}

// partition separates sidecars with a number below first from the others while active is true.
func (f *fleet) partition(first int, active *bool) {
	f.IsReachable = func(from, to int) bool { return !*active || (from < first) == (to < first) }
}
