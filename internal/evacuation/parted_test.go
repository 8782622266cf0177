package evacuation_test

import (
	"testing"
	"time"

	"chalkrack/internal/evacuation"
)

// The fleet is parted while a zone fails for the one half; then whole again.
func TestPartedAndWholeAgain(t *testing.T) {
	f := newFleet(t, 17, 40)
	parted := true
	f.parted(20, &parted)
	f.by = func(n int) bool { return n < 20 }
	f.vanish("a")
	f.Run(6 * sec)
	first, _ := f.Cars[0].Held("a")
	last, _ := f.Cars[39].Held("a")
	if first.Stage != evacuation.Out || last.Stage != evacuation.All {
		t.Fatalf("in two halves: %v", f.Stages("a"))
	}
	parted, f.fails["a"] = false, evacuation.Good
	f.Run(9 * sec)
	f.wait("agreed", 60*sec, func() bool { return f.Agree("a") })
	for n, c := range f.Cars {
		for _, v := range c.View(f.Now) {
			if len(v.Changes) > 10 {
				t.Errorf("%d changes of zone %s at sidecar %d", len(v.Changes), v.Zone, n)
			}
		}
	}
	f.back("a", time.Minute)
}

// fewLeave is a fleet of 40 whose first 8 hear nobody else and have left zone a, which fails for
// them alone; it is whole again where parted is false.
func fewLeave(t *testing.T) (f *fleet, parted *bool) {
	t.Helper()
	f, parted = newFleet(t, 47, 40), new(bool)
	*parted = true
	f.parted(8, parted)
	f.by = func(n int) bool { return n < 8 }
	f.vanish("a")
	f.Run(6 * sec)
	f.uses("a", 32)
	return f, parted
}

// manyStay fails if within so long anybody but the first few leaves zone a.
func (f *fleet) manyStay(few int, long time.Duration) {
	f.t.Helper()
	for to := f.Now + long; f.Now < to; {
		f.Run(f.Now + 50*ms)
		for n, c := range f.Cars[few:] {
			if !c.Uses("a") {
				f.t.Fatalf("at %v sidecar %d has left too: %+v", f.Now, n+few, c.View(f.Now)[0].Changes)
			}
		}
	}
}

// A small part of the fleet leaves while it hears nobody else; when it is heard again the
// many who see the zone well don't follow it.
func TestTheManyDontFollowAFew(t *testing.T) {
	f, parted := fewLeave(t)
	*parted, f.fails["a"] = false, evacuation.Good
	f.manyStay(8, 6*sec)
	f.back("a", time.Minute)
}

// The same where the few are already on their way back when they are heard again: a stage in
// which few send is a departure too for those who all send.
func TestTheManyDontFollowAFewOnTheirWayBack(t *testing.T) {
	for _, stage := range []evacuation.Stage{evacuation.First, evacuation.Second, evacuation.Quarter} {
		t.Run(stage.String(), func(t *testing.T) {
			f, parted := fewLeave(t)
			f.fails["a"] = evacuation.Good
			f.wait("on their way back", time.Minute, func() bool {
				rec, _ := f.Cars[0].Held("a")
				return rec.Stage == stage
			})
			*parted = false
			f.manyStay(8, 6*sec)
			f.back("a", time.Minute)
		})
	}
}

// In a partition the one part leaves a, and the other one b and c, and then sees a fail as well.
// Those whose last zone is a stay there, also when the first part is on its way back.
func TestTheLastZoneStaysWhereTheOthersReturn(t *testing.T) {
	for _, stage := range []evacuation.Stage{evacuation.Out, evacuation.First} {
		t.Run(stage.String(), func(t *testing.T) {
			f := newFleet(t, 53, 12)
			parted := true
			f.parted(6, &parted)
			f.Run(3 * sec)
			f.Up = func(n int, s evacuation.Server) evacuation.Kind {
				lost := s.Zone == "a" && f.Now < 7*sec
				if n >= 6 {
					lost = s.Zone != "a" || !parted
				}
				return map[bool]evacuation.Kind{true: evacuation.NoConn}[lost]
			}
			f.wait("on their way back", time.Minute, func() bool {
				rec, _ := f.Cars[0].Held("a")
				return rec.Stage == stage
			})
			f.Run(max(f.Now, 8*sec))
			if c := f.Cars[8]; c.Uses("b") || c.Uses("c") || !c.Uses("a") {
				t.Fatalf("sidecar 8 holds %+v", c.View(f.Now))
			}
			parted = false
			for to := f.Now + 6*sec; f.Now < to; {
				f.Run(f.Now + 50*ms)
				for n, c := range f.Cars {
					if !c.Uses("a") && !c.Uses("b") && !c.Uses("c") {
						t.Fatalf("at %v sidecar %d uses no zone: %+v", f.Now, n, c.View(f.Now)[0].Changes)
					}
				}
			}
		})
	}
}
