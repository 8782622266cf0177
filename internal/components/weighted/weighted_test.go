package weighted

import (
	"bytes"
	"crypto/ed25519"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
	"chalkrack/internal/weights"
)

// recordedHints is a Core that records the hints it receives.
type recordedHints map[string]float64

func (t recordedHints) ApplyList(l *membership.List) {
	for _, e := range l.Entries {
		t[e.Name] = e.Hint
	}
}

func (recordedHints) HintCorrections(names []string) []float64 { return make([]float64, len(names)) }

// A signed plan applies to the hints from the first list on. A plan that is signed by
// another key, or older, changes nothing; a newer one applies in steps. A server that has
// gone leaves no entry behind.
func TestPlanAppliesToListedHints(t *testing.T) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))
	file := filepath.Join(t.TempDir(), "plan.json")
	now := time.Now()
	write := func(made time.Time, by ed25519.PrivateKey, a, b float64) {
		t.Helper()
		data, err := weights.EncodePlan(&weights.Plan{Version: 1, Made: made, Until: made.Add(time.Hour), Weights: map[string]map[string]float64{"z": {"a": a, "b": b}}}, by)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(now, key, 3, 1)
	hints := make(recordedHints)
	w := New(hints, file, key.Public().(ed25519.PublicKey), weights.Config{Zone: "z", UpdateInterval: 2 * time.Second, MaxStepFactor: 1.25, ExpiryGrace: time.Hour, MaxUnknownShare: 0.2, MaxDeviation: 1.8, MaxDeviatingShare: 0.3, ConfirmationUpdates: 5})
	list := &membership.List{Complete: true}
	for _, name := range []string{"a", "b", "c"} {
		list.Entries = append(list.Entries, membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, Hint: 2, State: chalkrack.Serving}, Address: "127.0.0.1:1"})
	}
	list.Entries = list.Entries[:2]
	w.ApplyList(list)
	check := func(when string, a, b float64) {
		t.Helper()
		if x, y := hints["a"], hints["b"]; x != a || y != b {
			t.Errorf("%s: hints %v and %v, want %v and %v", when, x, y, a, b)
		}
	}
	check("at the start", 3, 1)
	write(now.Add(time.Second), ed25519.NewKeyFromSeed(bytes.Repeat([]byte{8}, ed25519.SeedSize)), 1, 3)
	w.Reload()
	w.UpdateHints(now)
	check("signed by another", 3, 1)
	write(now.Add(-time.Second), key, 1, 3)
	w.Reload()
	w.UpdateHints(now)
	check("older", 3, 1)
	write(now.Add(time.Second), key, 1, 3)
	w.Reload()
	w.UpdateHints(now)
	check("newer, by a step", 3/1.25, 1.25)
	w.UpdateHints(now.Add(3 * time.Hour))
	if v := w.View(); v.Reason != weights.Expired || v.Hold != 0 {
		t.Errorf("view %+v, want an expired plan without hold", v)
	}
	gone := list.Entries[0]
	gone.State = chalkrack.Gone
	w.ApplyList(&membership.List{Entries: []membership.Entry{gone}})
	w.UpdateHints(now)
	if len(w.entries) != 1 || len(w.View().Hints) != 1 {
		t.Errorf("after a server has gone %d entries and %d hints are left, want 1 of each", len(w.entries), len(w.View().Hints))
	}
	(*HintAdjuster)(nil).Reload() // weights are not configured
}
