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
	rig.RemoveBuiltDaemon()
	os.Exit(code)
}

// shippedSchedule returns an embedded schedule.
func shippedSchedule(t *testing.T, name string) *Schedule {
	t.Helper()
	text, err := schedules.Text(name)
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseSchedule(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runSchedule runs a schedule, and repeats the run up to two times if the machine was starved. An
// unexcused finding fails the test.
func runSchedule(t *testing.T, s *Schedule) *History {
	t.Helper()
	binary, err := rig.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	for try := 0; ; try++ {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute+time.Duration(s.Length))
		h, err := Run(ctx, s, binary)
		stop()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range Unexcused(Check(h)) {
			t.Errorf("%s: %v", s.Name, f)
		}
		if len(h.starvedSpans()) == 0 || t.Failed() {
			return h
		}
		if try == 2 {
			t.Fatalf("%s: the machine was starved in three runs", s.Name)
		}
		t.Logf("%s: the machine was starved; running again", s.Name)
	}
}

// Sidecars are stopped for longer than their clients wait, and continue. The test guards against
// requests that are then sent although their clients have given up: those in the buffers of their
// sockets, and those that the sidecars were about to send.
func TestStoppedSidecarsSendNoExpiredCalls(t *testing.T) {
	t.Parallel()
	s := shippedSchedule(t, "stopped")
	s.Faults = s.Faults[:2]
	s.Faults[0].For = duration.Duration(1500 * time.Millisecond)
	s.Faults[1].At, s.Faults[1].For = duration.Duration(5*time.Second), duration.Duration(1500*time.Millisecond)
	s.Length = duration.Duration(8 * time.Second)
	h := runSchedule(t, s)
	unanswered := 0
	for _, e := range h.Events {
		if e.Kind == EventCall && e.Verdict == "none" {
			unanswered++
		}
	}
	if unanswered < 100 {
		t.Errorf("only %d calls without an answer, want at least 100: the sidecars were not stopped for long enough", unanswered)
	}
}

// Sidecars run for a tenth of the time only, with calls of a keyed class. The test guards against
// requests that are sent late, after their clients have given up.
func TestStarvedSidecarsSendNoExpiredCalls(t *testing.T) {
	t.Parallel()
	s := shippedSchedule(t, "stopped")
	s.Class, s.Length = "id-register", duration.Duration(5*time.Second)
	s.Faults = []Fault{{Kind: Starve, On: "sidecars", Share: 0.1, At: duration.Duration(time.Second), For: duration.Duration(3 * time.Second)}}
	runSchedule(t, s)
}
