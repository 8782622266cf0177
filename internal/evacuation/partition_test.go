package evacuation_test

import (
	"testing"
	"time"

	"chalkrack/internal/evacuation"
)

// A zone fails for one half of a partitioned fleet. The halves must agree once the partition ends.
func TestPartitionedFleetAgreesAfterwards(t *testing.T) {
	f := newFleet(t, 17, 40)
	parted := true
	f.partition(20, &parted)
	f.affects = func(n int) bool { return n < 20 }
	f.failZone("a")
	f.Run(6 * sec)
	first, _ := f.Sidecars[0].RecordAndOrder("a")
	last, _ := f.Sidecars[39].RecordAndOrder("a")
	if first.Stage != evacuation.StageOut || last.Stage != evacuation.StageAll {
		t.Fatalf("during the partition: sidecars by stage: %v, want the first half out", f.CountByStage("a"))
	}
	parted, f.results["a"] = false, evacuation.ResultGood
	f.Run(9 * sec)
	f.waitFor("agreed", 60*sec, func() bool { return f.IsAgreed("a") })
	for n, c := range f.Sidecars {
		for _, v := range c.ZoneViews(f.Now) {
			if len(v.Changes) > 10 {
				t.Errorf("%d changes of zone %s at sidecar %d, want at most 10", len(v.Changes), v.Zone, n)
			}
		}
	}
	f.waitUntilReturned("a", time.Minute)
}

// newFleetWithMinorityOut returns a fleet of 40 in which a partition separates the first 8
// sidecars. Zone a fails for them only, and they have left it. Setting parted to false ends the
// partition.
func newFleetWithMinorityOut(t *testing.T) (f *fleet, parted *bool) {
	t.Helper()
	f, parted = newFleet(t, 47, 40), new(bool)
	*parted = true
	f.partition(8, parted)
	f.affects = func(n int) bool { return n < 8 }
	f.failZone("a")
	f.Run(6 * sec)
	f.requireUsers("a", 32)
	return f, parted
}

// requireUnaffected runs the fleet for the given period and fails the test if any sidecar but the
// first few leaves zone a.
func (f *fleet) requireUnaffected(few int, period time.Duration) {
	f.t.Helper()
	for end := f.Now + period; f.Now < end; {
		f.Run(f.Now + 50*ms)
		for n, c := range f.Sidecars[few:] {
			if !c.UsesZone("a") {
				f.t.Fatalf("at %v: sidecar %d left zone a: %+v", f.Now, n+few, c.ZoneViews(f.Now)[0].Changes)
			}
		}
	}
}

// A minority leaves a zone during a partition. When it ends, the majority that sees the zone work
// must not follow.
func TestMajorityDoesNotFollowMinority(t *testing.T) {
	f, parted := newFleetWithMinorityOut(t)
	*parted, f.results["a"] = false, evacuation.ResultGood
	f.requireUnaffected(8, 6*sec)
	f.waitUntilReturned("a", time.Minute)
}

// As before, but the minority has begun to return when the partition ends. For sidecars that send
// all calls a return stage is a departure too.
func TestMajorityDoesNotFollowReturningMinority(t *testing.T) {
	for _, stage := range []evacuation.Stage{evacuation.StageOneIn64, evacuation.StageOneIn16, evacuation.StageOneIn4} {
		t.Run(stage.String(), func(t *testing.T) {
			f, parted := newFleetWithMinorityOut(t)
			f.results["a"] = evacuation.ResultGood
			f.waitFor("change of sidecar 0 to the expected stage", time.Minute, func() bool {
				rec, _ := f.Sidecars[0].RecordAndOrder("a")
				return rec.Stage == stage
			})
			*parted = false
			f.requireUnaffected(8, 6*sec)
			f.waitUntilReturned("a", time.Minute)
		})
	}
}

// In a partition one part of the fleet leaves zone a, and the other part leaves b and c before a
// fails for it too. Sidecars whose last zone is a must stay there, even if the first part is on its
// way back to it.
func TestLastZoneStaysInUseAfterPartition(t *testing.T) {
	for _, stage := range []evacuation.Stage{evacuation.StageOut, evacuation.StageOneIn64} {
		t.Run(stage.String(), func(t *testing.T) {
			f := newFleet(t, 53, 12)
			parted := true
			f.partition(6, &parted)
			f.Run(3 * sec)
			f.CallResult = func(n int, s evacuation.Server) evacuation.ResultKind {
				lost := s.Zone == "a" && f.Now < 7*sec
				if n >= 6 {
					lost = s.Zone != "a" || !parted
				}
				return map[bool]evacuation.ResultKind{true: evacuation.ResultConnectFailed}[lost]
			}
			f.waitFor("change of sidecar 0 to the expected stage", time.Minute, func() bool {
				rec, _ := f.Sidecars[0].RecordAndOrder("a")
				return rec.Stage == stage
			})
			f.Run(max(f.Now, 8*sec))
			if c := f.Sidecars[8]; c.UsesZone("b") || c.UsesZone("c") || !c.UsesZone("a") {
				t.Fatalf("sidecar 8 uses other zones than a: %+v", c.ZoneViews(f.Now))
			}
			parted = false
			for to := f.Now + 6*sec; f.Now < to; {
				f.Run(f.Now + 50*ms)
				for n, c := range f.Sidecars {
					if !c.UsesZone("a") && !c.UsesZone("b") && !c.UsesZone("c") {
						t.Fatalf("at %v: sidecar %d uses no zone: %+v", f.Now, n, c.ZoneViews(f.Now)[0].Changes)
					}
				}
			}
		})
	}
}
