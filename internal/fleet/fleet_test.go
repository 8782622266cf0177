package fleet

import (
	"context"
	"os"
	"testing"
	"time"

	"chalkrack/internal/duration"
	"chalkrack/internal/fleet/schedules"
	"chalkrack/internal/rig"
)

func TestMain(m *testing.M) {
	code := m.Run()
	rig.RemoveBinary()
	os.Exit(code)
}

func shipped(t *testing.T, name string) *Schedule {
	t.Helper()
	text, err := schedules.Text(name)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Read(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// play runs a schedule, and once more up to twice where the machine starved it. A breach
// that no starving excuses fails the test.
func play(t *testing.T, s *Schedule) *History {
	t.Helper()
	path, err := rig.Binary()
	if err != nil {
		t.Fatal(err)
	}
	for try := 0; ; try++ {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute+time.Duration(s.Length))
		h, err := Run(ctx, s, path)
		stop()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range Held(Check(h)) {
			t.Errorf("%s: %v", s.Name, f)
		}
		if len(h.starved()) == 0 || t.Failed() {
			return h
		}
		if try == 2 {
			t.Fatalf("%s: the machine starved it three times", s.Name)
		}
		t.Logf("%s: the machine starved it; once more", s.Name)
	}
}

// Sidecars that were stopped for longer than their clients wait go on: what lay in their
// sockets, and what they were about to send, is for nobody any more.
func TestStoppedSidecarsSendNothingOld(t *testing.T) {
	t.Parallel()
	s := shipped(t, "stopped")
	s.Faults = s.Faults[:2]
	s.Faults[0].For = duration.Duration(1500 * time.Millisecond)
	s.Faults[1].At, s.Faults[1].For = duration.Duration(5*time.Second), duration.Duration(1500*time.Millisecond)
	s.Length = duration.Duration(8 * time.Second)
	h := play(t, s)
	left := 0
	for _, e := range h.Events {
		if e.Kind == Called && e.Verdict == "none" {
			left++
		}
	}
	if left < 100 {
		t.Errorf("%d clients gave up: nobody was put to the test", left)
	}
}

// The same of sidecars that get a tenth of a core, and of keyed calls.
func TestStarvedSidecarsSendNothingOld(t *testing.T) {
	t.Parallel()
	s := shipped(t, "stopped")
	s.Class, s.Length = "id-register", duration.Duration(5*time.Second)
	s.Faults = []Fault{{Kind: Starve, On: "sidecars", Share: 0.1, At: duration.Duration(time.Second), For: duration.Duration(3 * time.Second)}}
	play(t, s)
}
