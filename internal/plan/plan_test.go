package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"chalkrack/internal/racing"
	"chalkrack/internal/simplex"
)

func solved(t testing.TB, f *Fleet, o Options) *Plan {
	t.Helper()
	p, err := Solve(f, o)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func nearly(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }

// three is a fleet of three zones with two nodes each, of 2 s of work a second, and work
// of 6 s a second, a third of it of what must not be late.
func three() *Fleet {
	f := &Fleet{Version: 1, Classes: []Class{
		{Name: "activate", Rate: 20, WorkMS: 100, AimMS: 750, Worth: 10, Must: true},
		{Name: "status", Rate: 40, WorkMS: 100, AimMS: 800, Worth: 1},
	}}
	for _, z := range []string{"a", "b", "c"} {
		for n := range 2 {
			f.Nodes = append(f.Nodes, Node{Name: fmt.Sprint(z, n), Zone: z, Kind: "standard", Speed: 1, Cores: 2, Price: 1})
		}
	}
	return f
}

// Each case is a fleet, and what must be said of it.
func TestCases(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Fleet)
		status Status
		check  func(*Plan) bool
	}{
		{"equal nodes share equally", func(*Fleet) {}, Held, func(p *Plan) bool {
			return !slices.ContainsFunc(p.Nodes, func(d NodePlan) bool { return !nearly(d.Share, 1.0/6) || !nearly(d.Busy, 0.5) })
		}},
		{"a zone lost, the dear class first", func(f *Fleet) { f.Nodes = f.Nodes[:2]; f.Classes[1].Rate = 60 }, Short, func(p *Plan) bool {
			return nearly(p.Served["activate"], 1) && nearly(p.Served["status"], 20.0/60) && nearly(p.Values["worth"], 40)
		}},
		{"what must not be late before what is worth more", func(f *Fleet) { f.Nodes = f.Nodes[:1]; f.Classes[1].Worth = 1000 }, Short, func(p *Plan) bool {
			return nearly(p.Served["activate"], 1) && nearly(p.Served["status"], 0)
		}},
		{"one node a hundred times another", func(f *Fleet) { f.Nodes = f.Nodes[:2]; f.Nodes[0].Speed = 100 }, Held, func(p *Plan) bool {
			return p.Nodes[0].Share > 0.9
		}},
		{"no demand", func(f *Fleet) { f.Classes[0].Rate, f.Classes[1].Rate = 0, 0 }, Held, func(p *Plan) bool { return p.Values["worth"] == 0 }},
		{"no capacity", func(f *Fleet) {
			for n := range f.Nodes {
				f.Nodes[n].Cores = 0
			}
		}, Short, func(p *Plan) bool { return p.Served["activate"] == 0 && nearly(p.Values["late"], 20) }},
		{"a drained node has nothing", func(f *Fleet) { f.Nodes[2].Drain = true }, Held, func(p *Plan) bool {
			return p.Nodes[2].Load == 0 && strings.Contains(strings.Join(p.Nodes[2].Why, " "), "drained")
		}},
		{"dear crossings stay at home", func(f *Fleet) {
			for _, a := range []string{"a", "b", "c"} {
				for _, b := range []string{"a", "b", "c"} {
					if a != b {
						f.Prices = append(f.Prices, Price{a, b, 0.01})
					}
				}
			}
		}, Held, func(p *Plan) bool { return nearly(p.Crossing, 0) && nearly(p.Nodes[0].Weights["a"], 0.5) }},
		{"no more moves than are needed", func(f *Fleet) {
			for n, today := range []float64{0.3, 0.3, 0.1, 0.1, 0.1, 0.1} {
				f.Nodes[n].Today = today
			}
			f.Limits.MostOfNode = 0.25
		}, Held, func(p *Plan) bool { return nearly(p.Values["moves"], 0.1) }},
		{"only the nodes that are needed", func(f *Fleet) { f.Choose = true; f.Nodes[0].Price = 5 }, Held, func(p *Plan) bool {
			return nearly(p.Values["cost"], 3) && !p.Nodes[0].Used && p.Search.Gap == 0
		}},
		{"queues cost capacity", func(f *Fleet) { f.Limits.Late, f.Limits.Full = 0.05, 0.1 }, Held, func(p *Plan) bool {
			return p.Nodes[0].Capacity < 1.9 && p.Nodes[0].Capacity > 1
		}},
		{"one limit alone", func(f *Fleet) { f.Classes[1].AtLeast, f.Classes[1].Rate = 1, 60; f.Nodes = f.Nodes[:2] }, Contradictory, func(p *Plan) bool {
			return len(p.Conflicts) == 1 && len(p.Conflicts[0]) == 2
		}},
		{"three at a time", func(f *Fleet) {
			f.Pins = []Pin{{"status", []string{"zone:a"}, 0.5}}
			f.Classes[1].Not = []string{"a0"}
			f.Limits.MostOfNode = 0.3
		}, Contradictory, func(p *Plan) bool { return len(p.Conflicts) == 1 && len(p.Conflicts[0]) == 3 }},
		{"two contradictions", func(f *Fleet) {
			f.Pins = []Pin{{"status", []string{"zone:a"}, 0.8}, {"status", []string{"zone:b"}, 0.8}}
			f.Classes[0].Only, f.Classes[0].AtLeast = []string{"c0"}, 1
			f.Nodes[4].Drain = true
		}, Contradictory, func(p *Plan) bool { return len(p.Conflicts) >= 2 }},
	} {
		f := three()
		c.change(f)
		if p := solved(t, f, Options{Gains: true, Losses: true}); p.Status != c.status || !c.check(p) {
			text, _ := json.MarshalIndent(p, "", " ")
			t.Errorf("%s: %s", c.name, text)
		}
	}
}

// Numbers that are none, and settings that can't be, are refused by their field.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		field  string
		change func(*Fleet)
	}{
		{"nodes[1].speed", func(f *Fleet) { f.Nodes[1].Speed = math.NaN() }},
		{"nodes[1].speed", func(f *Fleet) { f.Nodes[1].Speed = math.Inf(1) }},
		{"nodes[0].price", func(f *Fleet) { f.Nodes[0].Price = -1 }},
		{"nodes[0].slow_speed", func(f *Fleet) { f.Nodes[0].SlowSpeed = 9 }},
		{"nodes[3].name", func(f *Fleet) { f.Nodes[3].Name = "a0" }},
		{"nodes", func(f *Fleet) { f.Nodes[0].Today, f.Nodes[1].Today = 0.6, 0.6 }},
		{"classes[0].rate", func(f *Fleet) { f.Classes[0].Rate = math.Inf(1) }},
		{"classes[0].busy_rate", func(f *Fleet) { f.Classes[0].BusyRate = 1 }},
		{"classes[0].work_ms", func(f *Fleet) { f.Classes[0].WorkMS = 0 }},
		{"classes[1].worth", func(f *Fleet) { f.Classes[1].Worth = -1 }},
		{"classes[1].zones", func(f *Fleet) { f.Classes[1].Zones = map[string]float64{"a": 0.4} }},
		{"classes[1].only", func(f *Fleet) { f.Classes[1].Only = []string{"zone:x"} }},
		{"pins[0].class", func(f *Fleet) { f.Pins = []Pin{{"x", []string{"a0"}, 0.1}} }},
		{"prices[0].per_request", func(f *Fleet) { f.Prices = []Price{{"a", "b", -1}} }},
		{"limits.free", func(f *Fleet) { f.Limits.Free = 1 }},
		{"limits.most_nodes", func(f *Fleet) { f.Limits.MostNodes = 1 }},
		{"version", func(f *Fleet) { f.Version = 2 }},
	} {
		f := three()
		c.change(f)
		if _, err := Solve(f, Options{}); err == nil || !strings.Contains(err.Error(), c.field+":") {
			t.Errorf("%s: %v", c.field, err)
		}
	}
}

// The same fleet has the same plan, to the byte; one that is left says so.
func TestSame(t *testing.T) {
	seeds := uint64(200)
	if racing.On {
		seeds = 30
	}
	for seed := range seeds {
		f := fleetOf(rand.New(rand.NewPCG(seed, 5)), true)
		a, _ := json.Marshal(solved(t, f, Options{Gains: true}))
		b, _ := json.Marshal(solved(t, f, Options{Gains: true}))
		if string(a) != string(b) {
			t.Fatalf("seed %d:\n%s\n%s", seed, a, b)
		}
	}
	if _, err := Solve(three(), Options{Stop: func() bool { return true }}); !errors.Is(err, ErrLeft) {
		t.Errorf("%v", err)
	}
}

// What the price of capacity promises of one more node is never less than what solving
// again finds, and never nothing where that is something.
func TestGains(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	seen := 0
	cases, want := 1500, 100
	if racing.On {
		cases, want = 150, 10
	}
	for n := range cases {
		f := fleetOf(rng, false)
		f.Limits.MostOfNode, f.Limits.MostOfZone = 0, 0 // whose part of all work more capacity changes nothing of
		p := solved(t, f, Options{Gains: true})
		for _, g := range p.Gains {
			if g.Again > 1e-6 {
				seen++
			}
			if g.Again > g.Dual+1e-6*max(1, g.Dual) {
				t.Fatalf("fleet %d: %+v\n%+v", n, g, f)
			}
		}
	}
	if seen < want {
		t.Errorf("%d gains: too few", seen)
	}
}

// bruteRobust is the least cost of a choice of nodes that is best in late and worth among
// those that bear each loss as well as all nodes together would.
func bruteRobust(f *Fleet) (best []float64) {
	value := func(use uint) float64 {
		g := *f
		g.Choose, g.Nodes = false, nil
		for k, d := range f.Nodes {
			if use&(1<<k) == 0 {
				d.Cores = 0
			}
			g.Nodes = append(g.Nodes, d)
		}
		v := bruteBest(&g)
		if slices.ContainsFunc(f.Classes, func(c Class) bool { return c.Must && c.Rate > 0 }) {
			return v[0]
		}
		return v[1]
	}
	var losses []uint
	every := uint(0)
	for k, d := range f.Nodes {
		if !d.Drain {
			every |= 1 << k
			losses = append(losses, 1<<k)
		}
	}
	for _, z := range f.Zones() {
		zone := uint(0)
		for k, d := range f.Nodes {
			if d.Zone == z {
				zone |= 1 << k
			}
		}
		if zone != 0 {
			losses = append(losses, zone)
		}
	}
	most := make([]float64, len(losses))
	for n, l := range losses {
		most[n] = value(every &^ l)
	}
	for _, use := range subsets(f, nil) {
		bears := true
		for n, l := range losses {
			if n < bits.OnesCount(every) && use&l == 0 {
				continue
			}
			if value(use&^l) > most[n]+1e-6*max(1, most[n]) {
				bears = false
				break
			}
		}
		if !bears {
			continue
		}
		g := *f
		g.Choose, g.Nodes = false, nil
		price := 0.0
		for k, d := range f.Nodes {
			if use&(1<<k) == 0 {
				d.Cores = 0
			} else {
				price += d.Price
			}
			g.Nodes = append(g.Nodes, d)
		}
		v := bruteBest(&g)
		v[2] = price
		if best == nil || lexical(v, best) < 0 {
			best = v
		}
	}
	return best
}

// Against brute force over every choice and every loss: the cheapest that bears them.
func TestRobust(t *testing.T) {
	const seed = 4
	rng := rand.New(rand.NewPCG(seed, 4))
	fleets, dearer := 400, 0
	if testing.Short() || racing.On {
		fleets = 60
	}
	for n := range fleets {
		f := fleetOf(rng, false)
		f.Choose = true
		if len(f.Nodes) > 6 {
			f.Nodes = f.Nodes[:6]
		}
		for c := range f.Classes {
			f.Classes[c].Only, f.Classes[c].Not = nil, nil
			f.Classes[c].Zones = nil
		}
		if f.Validate() != nil {
			continue
		}
		p := solved(t, f, Options{Robust: true})
		want := bruteRobust(f)
		if want == nil {
			if !slices.Contains(p.Robust.Weak, "no choice within the limits bears what all nodes together would") {
				t.Fatalf("seed %d, fleet %d: no choice bears the losses, and it says %+v", seed, n, p.Robust)
			}
			continue
		}
		if !nearly(p.Robust.With, want[2]) || !nearly(p.Values["late"], want[0]) || !nearly(p.Values["worth"], want[1]) {
			t.Fatalf("seed %d, fleet %d: %+v %+v, by brute force %v\n%+v", seed, n, p.Robust, p.Values, want, f)
		}
		if p.Robust.With > p.Robust.Without {
			dearer++
		}
	}
	if dearer < fleets/10 {
		t.Errorf("%d of %d cost more for bearing losses: the sample says too little", dearer, fleets)
	}
}

// large is a fleet as they are: two kinds, prices across zones, a limit on zones, one
// class that must not be late, and about as much work as it can do.
func large(rng *rand.Rand, nodes, zones, classes int) *Fleet {
	f := &Fleet{Version: 1, Limits: Limits{Free: 0.1, MostOfZone: 0.9, Late: 0.05, Full: 0.2}}
	total := 0.0
	for n := range nodes {
		d := Node{Name: fmt.Sprint("n", n), Zone: fmt.Sprint("z", rng.IntN(zones)), Kind: "standard", Cores: 2, Queue: 5, Price: 1}
		d.Speed = math.Round(100*(1.5+0.6*rng.Float64())) / 100
		if rng.IntN(2) == 0 {
			d.Kind, d.Speed = "half-speed", math.Round(100*(0.77+0.23*rng.Float64()))/100
		}
		total += 2 * d.Speed
		f.Nodes = append(f.Nodes, d)
	}
	for n := range classes {
		c := Class{Name: fmt.Sprint("c", n), WorkMS: 90 + 90*rng.Float64(), AimMS: 750 + 250*rng.Float64(), Worth: float64(1 + rng.IntN(10)), Must: n == 0, Zones: make(map[string]float64)}
		c.Rate = total * (0.3 + 0.7*rng.Float64()) / float64(classes) / c.WorkMS * 1000
		for _, d := range f.Nodes {
			c.Zones[d.Zone] += 1 / float64(nodes)
		}
		if rng.IntN(4) == 0 {
			c.Not = []string{"kind:half-speed"}
		}
		f.Classes = append(f.Classes, c)
	}
	for _, a := range f.Zones() {
		for _, b := range f.Zones() {
			if a != b {
				f.Prices = append(f.Prices, Price{a, b, 1e-6 * (1 + rng.Float64())})
			}
		}
	}
	return f
}

// Each aim's solution by itself is proven by its own duals. FAWN_PLANS=1000 plays fleets
// up to 400 nodes.
func TestCertificates(t *testing.T) {
	const seed = 9
	fleets, most := 25, 40
	if racing.On {
		fleets = 6
	}
	if n, err := strconv.Atoi(os.Getenv("FAWN_PLANS")); err == nil {
		fleets, most = n, 400
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	worst := simplex.Certificate{}
	for n := range fleets {
		f := large(rng, 8+rng.IntN(most-7), 1+rng.IntN(12), 1+rng.IntN(20))
		m := newModel(f, nil, false)
		for _, a := range m.aims()[:moves] {
			_, sol, _, err := lexicographic(m.p, []aim{a}, nil)
			if err != nil || sol.Status != simplex.Optimal {
				t.Fatalf("seed %d, fleet %d, %s: %v %v", seed, n, a.name, sol.Status, err)
			}
			p := m.p.Clone()
			for _, c := range a.costs {
				p.SetCost(c.Var, c.Value)
			}
			c := p.Check(sol)
			worst = simplex.Certificate{Primal: max(worst.Primal, c.Primal), Gap: max(worst.Gap, c.Gap)}
			if c.Primal > 1e-6 || c.Gap > 1e-6 {
				t.Fatalf("seed %d, fleet %d, %s: %+v", seed, n, a.name, c)
			}
		}
	}
	t.Logf("%d fleets up to %d nodes: at worst %+v", fleets, most, worst)
}

// BenchmarkSolve is the time of a plan with the loss of each zone and node:
// go test ./internal/plan -run '^$' -bench Solve -benchtime 1x -benchmem
func BenchmarkSolve(b *testing.B) {
	for _, size := range []struct{ nodes, zones, classes int }{{8, 3, 3}, {40, 3, 3}, {210, 3, 3}, {400, 12, 20}} {
		for _, today := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/zones=%d/classes=%d/today=%v", size.nodes, size.zones, size.classes, today), func(b *testing.B) {
				f := large(rand.New(rand.NewPCG(1, 1)), size.nodes, size.zones, size.classes)
				if today {
					for n := range f.Nodes {
						f.Nodes[n].Today = 1 / float64(size.nodes)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := Solve(f, Options{}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// A search that is ended at any point has no answer yet, or the best found with a gap that
// is true: the optimum lies between its bound and it, and it keeps all limits.
func TestLeft(t *testing.T) {
	rng := rand.New(rand.NewPCG(21, 1))
	none, some := 0, 0
	cases := 80
	if racing.On {
		cases = 16
	}
	for n := range cases {
		f := fleetOf(rng, false)
		f.Choose = true
		if f.Validate() != nil {
			continue
		}
		whole, err := Solve(f, Options{Robust: n%2 == 0})
		if err != nil || whole.Status == Contradictory {
			continue
		}
		answered := false
		for k := range 150 {
			asked := 0
			p, err := Solve(f, Options{Robust: n%2 == 0, Losses: true, Stop: func() bool { asked++; return asked > k }})
			if errors.Is(err, ErrLeft) {
				if answered {
					t.Fatalf("fleet %d: no answer with more time than one took", n)
				}
				none++
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			answered = true
			const never = "no choice within the limits bears what all nodes together would"
			if p.Robust != nil && slices.Contains(p.Robust.Weak, never) && !slices.Contains(whole.Robust.Weak, never) {
				t.Fatalf("fleet %d, left after %d: it says that there is no choice: %q", n, k, p.Robust.Weak)
			}
			if !p.Search.Left && len(p.Left) == 0 {
				break
			}
			if !p.Search.Left {
				continue
			}
			some++
			best, bound := p.Search.Best, p.Search.Bound
			if n%2 != 0 && (lexical(whole.Search.Best, best) > 0 || bound != nil && lexical(bound, whole.Search.Best) > 0) {
				t.Fatalf("fleet %d, left after %d: best %v, bound %v, and the optimum is %v", n, k, best, bound, whole.Search.Best)
			}
			if n%2 != 0 && bound != nil && (lexical(bound, best) < 0) != (p.Search.Gap > 0) {
				t.Fatalf("fleet %d: best %v, bound %v, gap %v", n, best, bound, p.Search.Gap)
			}
			if used := len(slices.DeleteFunc(slices.Clone(p.Nodes), func(d NodePlan) bool { return !d.Used })); f.Limits.MostNodes > 0 && used > f.Limits.MostNodes {
				t.Fatalf("fleet %d: %d nodes in use", n, used)
			}
		}
	}
	if none < cases || some < cases/4 {
		t.Errorf("%d without an answer, %d with the best found: the sample says too little", none, some)
	}
}
