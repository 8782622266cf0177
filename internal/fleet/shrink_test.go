package fleet

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack/internal/duration"
	"chalkrack/internal/rig"
)

// rapidSource is a randomSource whose numbers rapid generates and shrinks.
type rapidSource struct{ t *rapid.T }

func (s rapidSource) IntN(n int) int       { return rapid.IntRange(0, n-1).Draw(s.t, "n") }
func (s rapidSource) Int64N(n int64) int64 { return rapid.Int64Range(0, n-1).Draw(s.t, "at") }
func (s rapidSource) Float64() float64     { return float64(s.IntN(1000)) / 1000 }

// rapidSchedule returns base with 1 to maxFaults faults that rapid generates instead of its own.
func rapidSchedule(t *rapid.T, base Schedule, maxFaults int) *Schedule {
	schedule := base
	schedule.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fault { return schedule.randomFault(rapidSource{t}) }), 1, maxFaults).Draw(t, "faults")
	return &schedule
}

// silentTB records that rapid found a failure, without failing the test or logging: the failure is
// expected.
type silentTB struct {
	testing.TB
	failed bool
}

func (s *silentTB) Fail()                 { s.failed = true }
func (s *silentTB) FailNow()              { s.failed = true }
func (s *silentTB) Failed() bool          { return s.failed }
func (s *silentTB) Errorf(string, ...any) { s.failed = true }
func (s *silentTB) Fatalf(string, ...any) { s.failed = true }
func (s *silentTB) Logf(string, ...any)   {}

// findShrunk lets rapid search for a schedule for which breaks is true, and shrink it. It returns
// nil if there is none.
func findShrunk(t *testing.T, base Schedule, breaks func(*Schedule) bool) (s *Schedule) {
	t.Helper()
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	tb := &silentTB{TB: t}
	rapid.Check(tb, func(t *rapid.T) {
		if candidate := rapidSchedule(t, base, 6); breaks(candidate) {
			s = candidate // the last one that breaks is the smallest
			t.Fatalf("broken")
		}
	})
	return s
}

// Guards against random faults that rapid cannot shrink: a failing schedule of up to six faults
// must be reduced to the one or two faults that cause the failure, as short as possible.
func TestRapidShrinksSchedules(t *testing.T) {
	base := shippedSchedule(t, "zone-vanishes")
	base.Length = duration.Duration(9 * time.Second)
	for wantKinds, breaks := range map[string]func(*Schedule) bool{
		"cut stop": func(s *Schedule) bool { // a sidecar is stopped while a zone is cut off
			for _, cut := range s.Faults {
				for _, stop := range s.Faults {
					if cut.Kind == Cut && cut.From == "sidecars" && stop.Kind == Stop && stop.At < cut.At+cut.For && cut.At < stop.At+stop.For {
						return true
					}
				}
			}
			return false
		},
		"kill": func(s *Schedule) bool { // the servers of any zone are killed
			for _, f := range s.Faults {
				if f.Kind == Kill && strings.HasPrefix(f.On, "zone:") {
					return true
				}
			}
			return false
		},
	} {
		s := findShrunk(t, *base, breaks)
		if s == nil {
			t.Fatalf("%s: rapid found no failing schedule", wantKinds)
		}
		if err := s.Validate(); err != nil {
			t.Error(err)
		}
		var got []string
		for _, f := range s.Faults {
			if got = append(got, string(f.Kind)); f.For > duration.Duration(200*time.Millisecond) && len(s.Faults) == 1 {
				t.Errorf("%s: %v lasts %v, want at most 200ms", wantKinds, f, f.For)
			}
		}
		if text := strings.Join(got, " "); text != wantKinds && text != "stop cut" {
			t.Errorf("%s: shrunk to %v, want only faults of these kinds", wantKinds, s.Faults)
		}
	}
}

// Searches for schedules that break a rule, over real processes. Runs only with FAWN_HUNT set.
// rapid generates as many schedules as -rapid.checks says, and shrinks one that breaks a rule for
// -rapid.shrinktime. With FAWN_PLANT=1 the test adds an artificial violation that requires two
// faults: a sidecar is stopped while a zone is cut off.
func TestHuntByRapid(t *testing.T) {
	if os.Getenv("FAWN_HUNT") == "" {
		t.Skip("by hand: FAWN_HUNT=1 go test ./internal/fleet -run HuntByRapid -rapid.checks=20 -rapid.shrinktime=5m")
	}
	path, err := rig.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	base := shippedSchedule(t, "zone-vanishes")
	base.Features, base.Sidecars, base.QuietSidecars, base.Length = zoneFeatures, 4, 1, duration.Duration(3*time.Second)
	runs := 0
	s := findShrunk(t, *base, func(s *Schedule) bool {
		runs++
		h, err := Run(context.Background(), s, path)
		if err != nil {
			t.Fatal(err)
		}
		found := Unexcused(Check(h))
		if os.Getenv("FAWN_PLANT") != "" {
			found = append(found, plantedFindings(h)...)
		}
		t.Logf("run %d: %v: %v", runs, s.Faults, found)
		return len(found) > 0
	})
	if s != nil {
		text, err := s.Text()
		t.Fatalf("shrunk in %d runs to %v, %v:\n%s", runs, s.Faults, err, text)
	}
}

// plantedFindings returns a finding for each time that the artificial violation of FAWN_PLANT
// occurs in a history.
func plantedFindings(h *History) (findings []Finding) {
	activeCuts := 0
	for _, e := range h.Events {
		switch {
		case e.Kind == EventFaultStart && strings.HasPrefix(e.Detail, "cut sidecars"):
			activeCuts++
		case e.Kind == EventFaultEnd && strings.HasPrefix(e.Detail, "cut sidecars"):
			activeCuts--
		case e.Kind == EventFaultStart && strings.HasPrefix(e.Detail, "stop") && activeCuts > 0:
			findings = append(findings, Finding{Rule: "planted", At: e.At, Message: fmt.Sprint(e.Detail)})
		}
	}
	return findings
}
