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

func planOf(made time.Time, w map[string]float64) *Plan {
	return &Plan{Version: 1, Made: made, Until: made.Add(time.Hour), Weights: map[string]map[string]float64{"here": w}}
}

// Only a file that is whole and signed by the key is a plan.
func TestFile(t *testing.T) {
	public := key(1).Public().(ed25519.PublicKey)
	data, err := Write(planOf(noon, map[string]float64{"a": 0.25, "b": 0.75}), key(1))
	if err != nil {
		t.Fatal(err)
	}
	if p, err := Read(data, public); err != nil || p.Weights["here"]["b"] != 0.75 || !p.Until.Equal(noon.Add(time.Hour)) {
		t.Fatalf("%+v, %v", p, err)
	}
	other, _ := Write(planOf(noon, map[string]float64{"a": 0.25, "b": 0.75}), key(2))
	for name, bad := range map[string][]byte{
		"another's": other, "changed": bytes.Replace(data, []byte("0.25"), []byte("0.52"), 1), "cut": data[:len(data)/2], "empty": nil,
		"without a signature": []byte(`{"plan":{"version":1}}`), "long": bytes.Repeat([]byte(" "), FileMost+1),
	} {
		if _, err := Read(bad, public); err == nil || !errors.Is(err, ErrSignature) && !errors.Is(err, ErrForm) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for says, p := range map[string]*Plan{
		"version": {Version: 2, Made: noon, Until: noon.Add(1)}, "until": {Version: 1, Made: noon, Until: noon},
		"weights must": {Version: 1, Made: noon, Until: noon.Add(1)}, "all 0": planOf(noon, map[string]float64{"a": 0}),
		"here.a": planOf(noon, map[string]float64{"a": -1}), "weights.here must": planOf(noon, nil),
	} {
		if _, err := Write(p, key(1)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v", says, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	data, _ := Write(planOf(noon, map[string]float64{"a": 1}), key(1))
	f.Add(data)
	f.Add([]byte(`{"plan":{},"ed25519":""}`))
	public := key(1).Public().(ed25519.PublicKey)
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := Read(data, public); err == nil && p.Validate() != nil {
			t.Error("a plan that is none")
		}
	})
}

func nodesOf(n int, measured float64) (all []Node) {
	for i := range n {
		all = append(all, Node{fmt.Sprint("n", i), measured})
	}
	return all
}

// Each thing that may be wrong with a plan takes its hold by stated steps, and what is
// mended gives it back.
func TestHold(t *testing.T) {
	w := make(map[string]float64)
	for i := range 10 {
		w[fmt.Sprint("n", i)] = float64(1 + i%2*3) // 1 and 4
	}
	cfg := Default()
	cfg.Zone = "here"
	fresh := func() *Holder {
		h := NewHolder(cfg)
		h.Take(planOf(noon, w))
		return h
	}
	mixed := func(n int, off float64) []Node {
		all := nodesOf(10, 1.1)
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
		{"good", noon, nodesOf(10, 0), 1, 1, None},
		{"all alike corrected", noon, nodesOf(10, 3), 20, 1, None},
		{"made in a time to come", noon.Add(-2 * time.Minute), nodesOf(10, 0), 1, 0, NotYet},
		{"a clock a little behind", noon.Add(-30 * time.Second), nodesOf(10, 0), 1, 1, None},
		{"over", noon.Add(time.Hour), nodesOf(10, 0), 1, 0.5, Over},
		{"long over", noon.Add(2 * time.Hour), nodesOf(10, 0), 1, 0, Over},
		{"a fifth unknown", noon, append(nodesOf(8, 0), Node{"x", 0}, Node{"y", 0}), 1, 1, None},
		{"a third unknown", noon, append(nodesOf(8, 0), Node{"x", 0}, Node{"y", 0}, Node{"z", 0}, Node{"u", 0}), 1, 0.5, Strange},
		{"half unknown", noon, append(nodesOf(2, 0), Node{"x", 0}, Node{"y", 0}), 1, 0, Strange},
		{"three of ten off", noon, mixed(3, 2), 50, 1, None},
		{"four of ten off, not yet long", noon, mixed(4, 2), 4, 1, None},
		{"four of ten off", noon, mixed(4, 2), 5, 0.5, Measured},
		{"four of ten far below, longer", noon, mixed(4, 0.25), 10, 0.25, Measured},
		{"four of ten off, long", noon, mixed(4, 2), 15, 0, Measured},
	} {
		h := fresh()
		for range c.ticks {
			h.Tick(c.now, c.nodes)
		}
		if v := h.View(); v.Hold != c.hold || v.Why != c.why {
			t.Errorf("%s: %v %q, want %v %q", c.name, v.Hold, v.Why, c.hold, c.why)
		}
	}
	h := fresh()
	for range 5 {
		h.Tick(noon, mixed(4, 2))
	}
	for n := range 10 {
		if h.Tick(noon, mixed(0, 1)); (h.View().Hold == 1) != (n == 9) {
			t.Errorf("after %d good ticks the hold is %v", n+1, h.View().Hold)
		}
	}
	for range 15 {
		h.Tick(noon, mixed(4, 2))
	}
	for range 1000 {
		h.Tick(noon, mixed(0, 1))
	}
	if h.View().Hold != 0 {
		t.Error("a plan without hold has it again, though nothing speaks for it")
	}
	h.Take(planOf(noon, w))
	if h.Tick(noon, mixed(0, 1)); h.View().Hold != 0 {
		t.Error("a plan that is read once more has its hold again")
	}
	if h.Take(planOf(noon.Add(-time.Second), w)) {
		t.Error("an older plan is taken")
	}
	if !h.Take(planOf(noon.Add(time.Second), w)) {
		t.Error("a newer plan is not taken")
	}
	if h.Tick(noon.Add(time.Second), mixed(0, 1)); h.View().Hold != 1 {
		t.Errorf("a new plan has hold %v", h.View().Hold)
	}
	lost := NewHolder(Config{Zone: "elsewhere", Step: 2})
	lost.Take(planOf(noon, w))
	if lost.Tick(noon, nodesOf(10, 0)); lost.View().Why != NoZone {
		t.Errorf("%+v", lost.View())
	}
}

// Whatever plans come and go and whatever is measured: a hint changes by a step at the
// most, stays within its bounds, a new node begins with no more than any other, and
// without a plan all come back to 1.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Default()
		cfg.Zone = "here"
		cfg.Step = rapid.Float64Range(1.01, 2).Draw(t, "step")
		h := NewHolder(cfg)
		was := make(map[string]float64)
		now := noon
		tick := func(nodes []Node) {
			changed := h.Tick(now, nodes)
			for _, n := range nodes {
				f, known := was[n.Name]
				next := h.Hint(n.Name)
				if !known {
					if f = 1; next > cfg.Step+1e-9 {
						t.Fatalf("a new node begins with %v", next)
					}
				} else if next > f*cfg.Step*(1+1e-9) || next < f/cfg.Step*(1-1e-9) {
					t.Fatalf("from %v to %v in a step of %v", f, next, cfg.Step)
				}
				if next > priorMost || next < 1/priorMost {
					t.Fatalf("a hint of %v", next)
				}
				if c, ok := changed[n.Name]; known && (next != f) != ok || ok && c != next {
					t.Fatalf("from %v to %v, told %v", f, next, changed)
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
				h.Take(planOf(now, w))
			case 1:
				nodes = nodesOf(rapid.IntRange(0, 8).Draw(t, "serving"), rapid.SampledFrom([]float64{0, 0.3, 1.1, 4}).Draw(t, "measured"))
			}
			tick(nodes)
		}
		h.Take(nil)
		for range 400 {
			tick(nodes)
		}
		for _, n := range nodes {
			if math.Abs(h.Hint(n.Name)-1) > 1e-9 {
				t.Fatalf("without a plan %s has %v", n.Name, h.Hint(n.Name))
			}
		}
	})
}
