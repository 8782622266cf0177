package evacuation_test

import (
	"slices"
	"testing"
	"time"

	"chalkrack/internal/evacuation"
)

// The return goes through all stages, and the sends of the whole fleet stay within the rate of the
// stage in every second, also with half of the notes lost and with one sidecar that has a quarter
// of the traffic.
func TestReturnStaysWithinRate(t *testing.T) {
	for _, loss := range []float64{0, 0.5} {
		f := newFleet(t, 11, 40)
		f.LossRate = loss
		f.Rate = func(n int) float64 { return map[bool]float64{true: 400, false: 30}[n == 5] }
		f.failZone("a")
		f.waitUntilLeft("a", 4*sec)
		f.Run(f.Now + 2*sec)
		f.results["a"] = evacuation.ResultGood
		seen := map[evacuation.Stage]bool{}
		limit := func() (most float64) { // of the stage that allows the most calls
			for _, c := range f.Sidecars {
				if rec, _ := c.RecordAndOrder("a"); rec.Stage == evacuation.StageAll {
					return 1e9
				}
				rate, canaries := c.StageRate("a")
				most = max(most, rate+2*float64(canaries))
			}
			return most
		}
		for f.CountByStage("a")[evacuation.StageAll] == 0 && f.Now < 60*sec {
			bound := limit()
			f.Run(f.Now + 100*ms)
			bound = max(bound, limit())
			all := f.SendTimes["a"]
			from, _ := slices.BinarySearch(all, f.Now-sec)
			if got := len(all) - from; float64(got) > bound {
				t.Errorf("loss %v, at %v: %d sends to zone a in a second, want at most %.1f (sidecars by stage: %v)", loss, f.Now, got, bound, f.CountByStage("a"))
			}
			for s := range f.CountByStage("a") {
				seen[s] = true
			}
		}
		for _, s := range []evacuation.Stage{evacuation.StageOneIn64, evacuation.StageOneIn16, evacuation.StageOneIn4} {
			if !seen[s] {
				t.Errorf("loss %v: no sidecar was at stage %v", loss, s)
			}
		}
		f.waitUntilReturned("a", 5*sec)
	}
}

// A zone recovers and fails again five times. Each time only a few sidecars try it, and it must
// stay out for longer.
func TestRelapseExtendsDwell(t *testing.T) {
	f := newFleet(t, 13, 40)
	f.failZone("a")
	f.waitUntilLeft("a", 2*sec)
	f.Run(f.Now + sec)
	allOut := func() bool { return f.CountByStage("a")[evacuation.StageOut] == len(f.Sidecars) }
	var outs []time.Duration
	for range 5 {
		outs = append(outs, f.waitFor("the start of a return", 3*time.Minute, func() bool { return !allOut() }))
		f.waitFor("departure of all sidecars again", 3*time.Minute, allOut)
	}
	for n := range outs[1:] {
		if n > 0 && outs[n+1] < outs[n] || outs[n+1] > evacuation.Default().MaxDwell+10*sec {
			t.Errorf("zone a stayed out for %v, want increasing times below the maximum dwell time", outs)
		}
	}
	if last := outs[len(outs)-1]; last < 8*evacuation.Default().MinDwell {
		t.Errorf("zone a stayed out for %v after five relapses, want at least 8 times the dwell time", last)
	}
	if n := f.MaxDepartures("a"); n != 1 {
		t.Errorf("%d departures of the whole fleet, want 1: only the first sidecars should see a relapse", n)
	}
	f.results["a"] = evacuation.ResultGood
	f.waitUntilReturned("a", 3*time.Minute)
}

// Only a few sidecars send in the first return stages. Their votes must suffice for the next stage
// although they are fewer than a departure requires, and a lost or missing vote must not hold up
// the return.
func TestCanaryVotesAdvanceReturn(t *testing.T) {
	for sidecars, loss := range map[int]float64{6: 0, 40: 0.5} {
		for seed := range uint64(12) {
			f := newFleet(t, seed, sidecars)
			f.failZone("a")
			f.waitUntilLeft("a", 4*sec)
			f.LossRate = loss
			f.results["a"] = evacuation.ResultGood
			f.waitUntilReturned("a", 9500*ms) // the dwell time and three stages take 8 s
		}
	}
}

// The sidecar that is chosen to send first cannot reach the zone. Others must take its place.
func TestCanaryWithBadLinkDoesNotBlockReturn(t *testing.T) {
	f := newFleet(t, 31, 12)
	f.failZone("a")
	f.waitUntilLeft("a", 2*sec)
	bad := f.Sidecars[0].FirstCanary("a")
	f.Run(f.Now + sec)
	f.affects = func(n int) bool { return n == bad }
	f.waitFor("return of the other sidecars", 2*time.Minute, func() bool { n, _ := f.CountUsing("a"); return n >= 11 })
}

// Most of the fleet has hardly any calls. Those chosen to send first must not hold up the return
// for long.
func TestCanariesWithoutCallsDoNotBlockReturn(t *testing.T) {
	f := newFleet(t, 37, 16)
	f.Rate = func(n int) float64 { return map[bool]float64{true: 20, false: 0.01}[n%4 == 0] }
	f.failZone("a")
	f.waitUntilLeft("a", 3*sec)
	f.Run(f.Now + sec)
	f.results["a"] = evacuation.ResultGood
	f.waitUntilReturned("a", 25*sec)
}

// Notes are slow, so the sidecars that are chosen to send first, and have few calls, learn of it
// late. They must get the full stage time, with few stages failing for want of evidence.
func TestSlowNotesDoNotCutStagesShort(t *testing.T) {
	cfg, steps := evacuation.Default(), 0
	cfg.MinStageDuration = 500 * ms
	for seed := range uint64(8) {
		f := newFleetWithConfig(t, seed, cfg, 12)
		f.ExtraDelay = 50 * ms
		f.failZone("a")
		f.waitUntilLeft("a", 4*sec)
		f.results["a"] = evacuation.ResultGood
		f.Rate = func(int) float64 { return 4 }
		f.waitUntilReturned("a", 60*sec)
		rec, _ := f.Sidecars[0].RecordAndOrder("a")
		steps += int(rec.Step)
	}
	if steps > 8*8 { // a return takes at least four steps
		t.Errorf("%d steps in eight returns, want at most 64", steps)
	}
}
