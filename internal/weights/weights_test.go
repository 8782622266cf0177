package weights

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var noon = time.Date(2026, 4, 1, 12, 0, 0, 0, time.UTC)

func key(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
}

func newPlan(made time.Time, w map[string]float64) *Plan {
	return &Plan{Version: 1, Made: made, Until: made.Add(time.Hour), Weights: map[string]map[string]float64{"here": w}}
}

// Read accepts only an undamaged file signed by the key, and Write only a valid plan.
func TestReadAndWriteRejectInvalidPlans(t *testing.T) {
	public := key(1).Public().(ed25519.PublicKey)
	data, err := EncodePlan(newPlan(noon, map[string]float64{"a": 0.25, "b": 0.75}), key(1))
	if err != nil {
		t.Fatal(err)
	}
	if p, err := DecodePlan(data, public); err != nil || p.Weights["here"]["b"] != 0.75 || !p.Until.Equal(noon.Add(time.Hour)) {
		t.Fatalf("read plan %+v, error %v", p, err)
	}
	other, _ := EncodePlan(newPlan(noon, map[string]float64{"a": 0.25, "b": 0.75}), key(2))
	for name, bad := range map[string][]byte{
		"another's": other, "changed": bytes.Replace(data, []byte("0.25"), []byte("0.52"), 1), "cut": data[:len(data)/2], "empty": nil,
		"without a signature": []byte(`{"plan":{"version":1}}`), "long": bytes.Repeat([]byte(" "), MaxFileBytes+1),
	} {
		if _, err := DecodePlan(bad, public); err == nil || !errors.Is(err, ErrSignature) && !errors.Is(err, ErrInvalid) {
			t.Errorf("file %s: got error %v", name, err)
		}
	}
	for says, p := range map[string]*Plan{
		"version": {Version: 2, Made: noon, Until: noon.Add(1)}, "until": {Version: 1, Made: noon, Until: noon},
		"weights must": {Version: 1, Made: noon, Until: noon.Add(1)}, "all 0": newPlan(noon, map[string]float64{"a": 0}),
		"here.a": newPlan(noon, map[string]float64{"a": -1}), "weights.here must": newPlan(noon, nil),
	} {
		if _, err := EncodePlan(p, key(1)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("want error with %q, got %v", says, err)
		}
	}
}

func FuzzDecodePlan(f *testing.F) {
	data, _ := EncodePlan(newPlan(noon, map[string]float64{"a": 1}), key(1))
	f.Add(data)
	f.Add([]byte(`{"plan":{},"ed25519":""}`))
	public := key(1).Public().(ed25519.PublicKey)
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := DecodePlan(data, public); err == nil && p.Validate() != nil {
			t.Error("Read returned an invalid plan")
		}
	})
}

func newNodes(n int, measured float64) (all []Node) {
	for i := range n {
		all = append(all, Node{fmt.Sprint("n", i), measured})
	}
	return all
}

// Each defect of a plan reduces its hold by defined steps. Agreeing measurements restore
// it, except for a plan without any hold, which only a newer plan replaces.
func TestHoldFollowsPlanState(t *testing.T) {
	w := make(map[string]float64)
	for i := range 10 {
		w[fmt.Sprint("n", i)] = float64(1 + i%2*3) // 1 and 4
	}
	cfg := DefaultConfig()
	cfg.Zone = "here"
	fresh := func() *Controller {
		h := NewController(cfg)
		h.SetPlan(newPlan(noon, w))
		return h
	}
	mixed := func(n int, off float64) []Node {
		all := newNodes(10, 1.1)
		for i := range n {
			all[i].Measured = 1.1 * off
		}
		return all
	}
	for _, c := range []struct {
		name  string
		now   time.Time
		nodes []Node
		ticks int
		hold  float64
		why   Reason
	}{
		{"good", noon, newNodes(10, 0), 1, 1, None},
		{"all alike corrected", noon, newNodes(10, 3), 20, 1, None},
		{"made in a time to come", noon.Add(-2 * time.Minute), newNodes(10, 0), 1, 0, NotYetValid},
		{"a clock a little behind", noon.Add(-30 * time.Second), newNodes(10, 0), 1, 1, None},
		{"over", noon.Add(time.Hour), newNodes(10, 0), 1, 0.5, Expired},
		{"long over", noon.Add(2 * time.Hour), newNodes(10, 0), 1, 0, Expired},
		{"a fifth unknown", noon, append(newNodes(8, 0), Node{"x", 0}, Node{"y", 0}), 1, 1, None},
		{"a third unknown", noon, append(newNodes(8, 0), Node{"x", 0}, Node{"y", 0}, Node{"z", 0}, Node{"u", 0}), 1, 0.5, UnknownNodes},
		{"half unknown", noon, append(newNodes(2, 0), Node{"x", 0}, Node{"y", 0}), 1, 0, UnknownNodes},
		{"three of ten off", noon, mixed(3, 2), 50, 1, None},
		{"four of ten off, not yet long", noon, mixed(4, 2), 4, 1, None},
		{"four of ten off", noon, mixed(4, 2), 5, 0.5, Contradicted},
		{"four of ten far below, longer", noon, mixed(4, 0.25), 10, 0.25, Contradicted},
		{"four of ten off, long", noon, mixed(4, 2), 15, 0, Contradicted},
	} {
		h := fresh()
		for range c.ticks {
			h.UpdateHints(c.now, c.nodes)
		}
		if v := h.View(); v.Hold != c.hold || v.Reason != c.why {
			t.Errorf("%s: hold %v %q, want %v %q", c.name, v.Hold, v.Reason, c.hold, c.why)
		}
	}
	h := fresh()
	for range 5 {
		h.UpdateHints(noon, mixed(4, 2))
	}
	for n := range 10 {
		if h.UpdateHints(noon, mixed(0, 1)); (h.View().Hold == 1) != (n == 9) {
			t.Errorf("after %d agreeing updates the hold is %v", n+1, h.View().Hold)
		}
	}
	for range 15 {
		h.UpdateHints(noon, mixed(4, 2))
	}
	for range 1000 {
		h.UpdateHints(noon, mixed(0, 1))
	}
	if h.View().Hold != 0 {
		t.Error("a plan without any hold recovered it without evidence")
	}
	h.SetPlan(newPlan(noon, w))
	if h.UpdateHints(noon, mixed(0, 1)); h.View().Hold != 0 {
		t.Error("setting the same plan again restored its hold")
	}
	if h.SetPlan(newPlan(noon.Add(-time.Second), w)) {
		t.Error("an older plan was accepted")
	}
	if !h.SetPlan(newPlan(noon.Add(time.Second), w)) {
		t.Error("a newer plan was not accepted")
	}
	if h.UpdateHints(noon.Add(time.Second), mixed(0, 1)); h.View().Hold != 1 {
		t.Errorf("a new plan has hold %v, want 1", h.View().Hold)
	}
	lost := NewController(Config{Zone: "elsewhere", MaxStepFactor: 2})
	lost.SetPlan(newPlan(noon, w))
	if lost.UpdateHints(noon, newNodes(10, 0)); lost.View().Reason != NoZone {
		t.Errorf("view %+v, want the reason NoZone", lost.View())
	}
}

// For random plans and measurements: a hint changes by at most one step per update and
// stays within its bounds, a new node starts at 1 or below before its first step, and
// without a plan all hints return to 1.
func TestHintsChangeByBoundedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.Zone = "here"
		cfg.MaxStepFactor = rapid.Float64Range(1.01, 2).Draw(t, "step")
		h := NewController(cfg)
		was := make(map[string]float64)
		now := noon
		tick := func(nodes []Node) {
			changed := h.UpdateHints(now, nodes)
			for _, n := range nodes {
				f, known := was[n.Name]
				next := h.Hint(n.Name)
				if !known {
					if f = 1; next > cfg.MaxStepFactor+1e-9 {
						t.Fatalf("a new node starts with a hint of %v", next)
					}
				} else if next > f*cfg.MaxStepFactor*(1+1e-9) || next < f/cfg.MaxStepFactor*(1-1e-9) {
					t.Fatalf("hint changed from %v to %v with a step of %v", f, next, cfg.MaxStepFactor)
				}
				if next > maxPriorFactor || next < 1/maxPriorFactor {
					t.Fatalf("hint %v is out of bounds", next)
				}
				if c, ok := changed[n.Name]; known && (next != f) != ok || ok && c != next {
					t.Fatalf("hint changed from %v to %v, returned changes %v", f, next, changed)
				}
			}
			clear(was)
			for _, n := range nodes {
				was[n.Name] = h.Hint(n.Name)
			}
		}
		var nodes []Node
		for range rapid.IntRange(1, 60).Draw(t, "ticks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "s")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				w := make(map[string]float64)
				for i := range rapid.IntRange(1, 6).Draw(t, "planned") {
					w[fmt.Sprint("n", i)] = rapid.SampledFrom([]float64{0, 0.01, 1, 4, 100}).Draw(t, "weight")
				}
				h.SetPlan(newPlan(now, w))
			case 1:
				nodes = newNodes(rapid.IntRange(0, 8).Draw(t, "serving"), rapid.SampledFrom([]float64{0, 0.3, 1.1, 4}).Draw(t, "measured"))
			}
			tick(nodes)
		}
		h.SetPlan(nil)
		for range 400 {
			tick(nodes)
		}
		for _, n := range nodes {
			if math.Abs(h.Hint(n.Name)-1) > 1e-9 {
				t.Fatalf("without a plan %s has a hint of %v, want 1", n.Name, h.Hint(n.Name))
			}
		}
	})
}
