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

// byRapid are dice whose throws rapid makes, and makes smaller.
type byRapid struct{ t *rapid.T }

func (d byRapid) IntN(n int) int       { return rapid.IntRange(0, n-1).Draw(d.t, "n") }
func (d byRapid) Int64N(n int64) int64 { return rapid.Int64Range(0, n-1).Draw(d.t, "at") }
func (d byRapid) Float64() float64     { return float64(d.IntN(1000)) / 1000 }

// drawnBy is a schedule of up to so many faults that rapid draws.
func drawnBy(t *rapid.T, base Schedule, most int) *Schedule {
	s := base
	s.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fault { return s.drawn(byRapid{t}) }), 1, most).Draw(t, "faults")
	return &s
}

// quietly takes what rapid says of a failure that is wanted.
type quietly struct {
	testing.TB
	failed bool
}

func (q *quietly) Fail()                 { q.failed = true }
func (q *quietly) FailNow()              { q.failed = true }
func (q *quietly) Failed() bool          { return q.failed }
func (q *quietly) Errorf(string, ...any) { q.failed = true }
func (q *quietly) Fatalf(string, ...any) { q.failed = true }
func (q *quietly) Logf(string, ...any)   {}

// least has rapid look for a schedule that breaks something, and shrink it; nil: none did.
func least(t *testing.T, base Schedule, breaks func(*Schedule) bool) (s *Schedule) {
	t.Helper()
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	q := &quietly{TB: t}
	rapid.Check(q, func(t *rapid.T) {
		if x := drawnBy(t, base, 6); breaks(x) {
			s = x // of those that break the last is the least
			t.Fatalf("broken")
		}
	})
	return s
}

// A failing schedule of up to six faults is shrunk to the two that matter, at their shortest.
func TestRapidShrinksSchedules(t *testing.T) {
	base := shipped(t, "zone-vanishes")
	base.Length = duration.Duration(9 * time.Second)
	for kinds, breaks := range map[string]func(*Schedule) bool{
		"cut stop": func(s *Schedule) bool { // a sidecar that is stopped while a zone is cut off
			for _, cut := range s.Faults {
				for _, stop := range s.Faults {
					if cut.Kind == Cut && cut.From == "sidecars" && stop.Kind == Stop && stop.At < cut.At+cut.For && cut.At < stop.At+stop.For {
						return true
					}
				}
			}
			return false
		},
		"kill": func(s *Schedule) bool { // any zone's death
			for _, f := range s.Faults {
				if f.Kind == Kill && strings.HasPrefix(f.On, "zone:") {
					return true
				}
			}
			return false
		},
	} {
		s := least(t, *base, breaks)
		if s == nil {
			t.Fatalf("%s: nothing was found", kinds)
		}
		if err := s.Validate(); err != nil {
			t.Error(err)
		}
		var got []string
		for _, f := range s.Faults {
			if got = append(got, string(f.Kind)); f.For > duration.Duration(200*time.Millisecond) && len(s.Faults) == 1 {
				t.Errorf("%s: %v lasts %v", kinds, f, f.For)
			}
		}
		if text := strings.Join(got, " "); text != kinds && text != "stop cut" {
			t.Errorf("%s: shrunk to %v", kinds, s.Faults)
		}
	}
}

// By hand, over real processes: FAWN_HUNT=N has rapid draw N schedules (with -rapid.checks=N)
// and shrink one that breaks a rule for as long as -rapid.shrinktime says. FAWN_PLANT=1 plants
// a breach that takes two faults: a sidecar is stopped while a zone is cut off.
func TestHuntByRapid(t *testing.T) {
	if os.Getenv("FAWN_HUNT") == "" {
		t.Skip("by hand: FAWN_HUNT=1 go test ./internal/fleet -run HuntByRapid -rapid.checks=20 -rapid.shrinktime=5m")
	}
	path, err := rig.Binary()
	if err != nil {
		t.Fatal(err)
	}
	base := shipped(t, "zone-vanishes")
	base.Features, base.Sidecars, base.Quiet, base.Length = zoned, 4, 1, duration.Duration(3*time.Second)
	runs := 0
	s := least(t, *base, func(s *Schedule) bool {
		runs++
		h, err := Run(context.Background(), s, path)
		if err != nil {
			t.Fatal(err)
		}
		found := Held(Check(h))
		if os.Getenv("FAWN_PLANT") != "" {
			found = append(found, planted(h)...)
		}
		t.Logf("run %d: %v: %v", runs, s.Faults, found)
		return len(found) > 0
	})
	if s != nil {
		text, err := s.Text()
		t.Fatalf("shrunk in %d runs to %v, %v:\n%s", runs, s.Faults, err, text)
	}
}

// planted is the breach that FAWN_PLANT plants, as the history tells of it.
func planted(h *History) (all []Finding) {
	cut := 0
	for _, e := range h.Events {
		switch {
		case e.Kind == Faulted && strings.HasPrefix(e.What, "cut sidecars"):
			cut++
		case e.Kind == Mended && strings.HasPrefix(e.What, "cut sidecars"):
			cut--
		case e.Kind == Faulted && strings.HasPrefix(e.What, "stop") && cut > 0:
			all = append(all, Finding{Rule: "planted", At: e.At, Text: fmt.Sprint(e.What)})
		}
	}
	return all
}
