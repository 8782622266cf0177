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

func mustSolve(t testing.TB, fleet *Fleet, options Options) *Plan {
	t.Helper()
	plan, err := Solve(fleet, options)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }

// threeZoneFleet returns a fleet of three zones with two nodes each, of a capacity of 2 s of work
// per second, and a demand of 6 s per second, a third of it of a class that must not be late.
func threeZoneFleet() *Fleet {
	f := &Fleet{Version: 1, Classes: []Class{
		{Name: "activate", Rate: 20, WorkMS: 100, AimMS: 750, Worth: 10, MustNotBeLate: true},
		{Name: "status", Rate: 40, WorkMS: 100, AimMS: 800, Worth: 1},
	}}
	for _, z := range []string{"a", "b", "c"} {
		for n := range 2 {
			f.Nodes = append(f.Nodes, Node{Name: fmt.Sprint(z, n), Zone: z, Kind: "standard", Speed: 1, Cores: 2, Price: 1})
		}
	}
	return f
}

// Solves a fleet in each of its usual and extreme states, such as a lost zone, no demand or limits
// that contradict each other, and checks the status and the decisive figures of the plan.
func TestSolveCases(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Fleet)
		status Status
		check  func(*Plan) bool
	}{
		{"equal nodes share equally", func(*Fleet) {}, Satisfied, func(p *Plan) bool {
			return !slices.ContainsFunc(p.Nodes, func(d NodePlan) bool { return !nearlyEqual(d.Share, 1.0/6) || !nearlyEqual(d.Busy, 0.5) })
		}},
		{"a zone is lost: the class that must not be late is served first", func(f *Fleet) { f.Nodes = f.Nodes[:2]; f.Classes[1].Rate = 60 }, Short, func(p *Plan) bool {
			return nearlyEqual(p.Served["activate"], 1) && nearlyEqual(p.Served["status"], 20.0/60) && nearlyEqual(p.Values["worth"], 40)
		}},
		{"a class that must not be late comes before one of more worth", func(f *Fleet) { f.Nodes = f.Nodes[:1]; f.Classes[1].Worth = 1000 }, Short, func(p *Plan) bool {
			return nearlyEqual(p.Served["activate"], 1) && nearlyEqual(p.Served["status"], 0)
		}},
		{"a node a hundred times as fast as another", func(f *Fleet) { f.Nodes = f.Nodes[:2]; f.Nodes[0].Speed = 100 }, Satisfied, func(p *Plan) bool {
			return p.Nodes[0].Share > 0.9
		}},
		{"no demand", func(f *Fleet) { f.Classes[0].Rate, f.Classes[1].Rate = 0, 0 }, Satisfied, func(p *Plan) bool { return p.Values["worth"] == 0 }},
		{"no capacity", func(f *Fleet) {
			for n := range f.Nodes {
				f.Nodes[n].Cores = 0
			}
		}, Short, func(p *Plan) bool { return p.Served["activate"] == 0 && nearlyEqual(p.Values["late"], 20) }},
		{"a drained node gets no work", func(f *Fleet) { f.Nodes[2].Drain = true }, Satisfied, func(p *Plan) bool {
			return p.Nodes[2].Load == 0 && strings.Contains(strings.Join(p.Nodes[2].Reasons, " "), "drained")
		}},
		{"with costly crossings work stays in its zone", func(f *Fleet) {
			for _, a := range []string{"a", "b", "c"} {
				for _, b := range []string{"a", "b", "c"} {
					if a != b {
						f.Prices = append(f.Prices, Price{a, b, 0.01})
					}
				}
			}
		}, Satisfied, func(p *Plan) bool { return nearlyEqual(p.Crossing, 0) && nearlyEqual(p.Nodes[0].Weights["a"], 0.5) }},
		{"no more work is moved than needed", func(f *Fleet) {
			for n, today := range []float64{0.3, 0.3, 0.1, 0.1, 0.1, 0.1} {
				f.Nodes[n].CurrentShare = today
			}
			f.Limits.MaxNodeShare = 0.25
		}, Satisfied, func(p *Plan) bool { return nearlyEqual(p.Values["moves"], 0.1) }},
		{"only the nodes needed are used, the cheaper first", func(f *Fleet) { f.Choose = true; f.Nodes[0].Price = 5 }, Satisfied, func(p *Plan) bool {
			return nearlyEqual(p.Values["cost"], 3) && !p.Nodes[0].Used && p.Search.Gap == 0
		}},
		{"limits on late requests and full queues lower the capacity", func(f *Fleet) { f.Limits.MaxLateShare, f.Limits.MaxFullShare = 0.05, 0.1 }, Satisfied, func(p *Plan) bool {
			return p.Nodes[0].Capacity < 1.9 && p.Nodes[0].Capacity > 1
		}},
		{"at_least contradicts the capacity of the only zone", func(f *Fleet) { f.Classes[1].MinServedShare, f.Classes[1].Rate = 1, 60; f.Nodes = f.Nodes[:2] }, Contradictory, func(p *Plan) bool {
			return len(p.Conflicts) == 1 && len(p.Conflicts[0]) == 2
		}},
		{"a conflict of three limits", func(f *Fleet) {
			f.Pins = []Pin{{"status", []string{"zone:a"}, 0.5}}
			f.Classes[1].ExcludedPlaces = []string{"a0"}
			f.Limits.MaxNodeShare = 0.3
		}, Contradictory, func(p *Plan) bool { return len(p.Conflicts) == 1 && len(p.Conflicts[0]) == 3 }},
		{"two conflicts", func(f *Fleet) {
			f.Pins = []Pin{{"status", []string{"zone:a"}, 0.8}, {"status", []string{"zone:b"}, 0.8}}
			f.Classes[0].OnlyPlaces, f.Classes[0].MinServedShare = []string{"c0"}, 1
			f.Nodes[4].Drain = true
		}, Contradictory, func(p *Plan) bool { return len(p.Conflicts) >= 2 }},
	} {
		f := threeZoneFleet()
		c.change(f)
		if p := mustSolve(t, f, Options{Gains: true, Losses: true}); p.Status != c.status || !c.check(p) {
			text, _ := json.MarshalIndent(p, "", " ")
			t.Errorf("%s: %s", c.name, text)
		}
	}
}

// A fleet with NaN, infinite or out-of-range numbers or unknown names is refused by an error that
// names the field.
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
		{"nodes", func(f *Fleet) { f.Nodes[0].CurrentShare, f.Nodes[1].CurrentShare = 0.6, 0.6 }},
		{"classes[0].rate", func(f *Fleet) { f.Classes[0].Rate = math.Inf(1) }},
		{"classes[0].busy_rate", func(f *Fleet) { f.Classes[0].BusyRate = 1 }},
		{"classes[0].work_ms", func(f *Fleet) { f.Classes[0].WorkMS = 0 }},
		{"classes[1].worth", func(f *Fleet) { f.Classes[1].Worth = -1 }},
		{"classes[1].zones", func(f *Fleet) { f.Classes[1].Zones = map[string]float64{"a": 0.4} }},
		{"classes[1].only", func(f *Fleet) { f.Classes[1].OnlyPlaces = []string{"zone:x"} }},
		{"pins[0].class", func(f *Fleet) { f.Pins = []Pin{{"x", []string{"a0"}, 0.1}} }},
		{"prices[0].per_request", func(f *Fleet) { f.Prices = []Price{{"a", "b", -1}} }},
		{"limits.free", func(f *Fleet) { f.Limits.FreeShare = 1 }},
		{"limits.most_nodes", func(f *Fleet) { f.Limits.MaxNodes = 1 }},
		{"version", func(f *Fleet) { f.Version = 2 }},
	} {
		f := threeZoneFleet()
		c.change(f)
		if _, err := Solve(f, Options{}); err == nil || !strings.Contains(err.Error(), c.field+":") {
			t.Errorf("%s: error = %v, want one that names the field", c.field, err)
		}
	}
}

// Solving the same fleet twice must give byte-identical plans, which iteration over a map would
// break. A search that is stopped at once returns the error for that.
func TestSolveIsDeterministic(t *testing.T) {
	seeds := uint64(200)
	if racing.Enabled {
		seeds = 30
	}
	for seed := range seeds {
		f := randomFleet(rand.New(rand.NewPCG(seed, 5)), true)
		a, _ := json.Marshal(mustSolve(t, f, Options{Gains: true}))
		b, _ := json.Marshal(mustSolve(t, f, Options{Gains: true}))
		if string(a) != string(b) {
			t.Fatalf("seed %d: two plans of the same fleet differ:\n%s\n%s", seed, a, b)
		}
	}
	if _, err := Solve(threeZoneFleet(), Options{Stop: func() bool { return true }}); !errors.Is(err, ErrStopped) {
		t.Errorf("error = %v, want that of a stopped search", err)
	}
}

// The gain of one more node that the dual price of capacity predicts is an upper bound of the gain
// that solving with that node finds. A wrong sign or scale of the duals would break that.
func TestGainIsAtMostDualBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	seen := 0
	cases, minSeen := 1500, 100
	if racing.Enabled {
		cases, minSeen = 150, 10
	}
	for n := range cases {
		fleet := randomFleet(rng, false)
		// More capacity does not relax these shares of all work.
		fleet.Limits.MaxNodeShare, fleet.Limits.MaxZoneShare = 0, 0
		plan := mustSolve(t, fleet, Options{Gains: true})
		for _, g := range plan.Gains {
			if g.Actual > 1e-6 {
				seen++
			}
			if g.Actual > g.DualBound+1e-6*max(1, g.DualBound) {
				t.Fatalf("fleet %d: the gain is above the dual bound: %+v\n%+v", n, g, fleet)
			}
		}
	}
	if seen < minSeen {
		t.Errorf("%d gains above 0 in the sample: too few", seen)
	}
}

// robustByBruteForce returns late, worth and cost of the best choice of nodes among those that
// survive each loss as well as all nodes together would, or nil if there is none.
func robustByBruteForce(fleet *Fleet) (best []float64) {
	unservedValue := func(subset uint) float64 {
		reduced := *fleet
		reduced.Choose, reduced.Nodes = false, nil
		for k, d := range fleet.Nodes {
			if subset&(1<<k) == 0 {
				d.Cores = 0
			}
			reduced.Nodes = append(reduced.Nodes, d)
		}
		v := bestByBruteForce(&reduced)
		if slices.ContainsFunc(fleet.Classes, func(c Class) bool { return c.MustNotBeLate && c.Rate > 0 }) {
			return v[0]
		}
		return v[1]
	}
	var losses []uint
	allNodes := uint(0)
	for k, d := range fleet.Nodes {
		if !d.Drain {
			allNodes |= 1 << k
			losses = append(losses, 1<<k)
		}
	}
	for _, z := range fleet.Zones() {
		zone := uint(0)
		for k, d := range fleet.Nodes {
			if d.Zone == z {
				zone |= 1 << k
			}
		}
		if zone != 0 {
			losses = append(losses, zone)
		}
	}
	bestValues := make([]float64, len(losses))
	for n, l := range losses {
		bestValues[n] = unservedValue(allNodes &^ l)
	}
	for _, subset := range allowedSubsets(fleet, nil) {
		survives := true
		for n, l := range losses {
			if n < bits.OnesCount(allNodes) && subset&l == 0 {
				continue
			}
			if unservedValue(subset&^l) > bestValues[n]+1e-6*max(1, bestValues[n]) {
				survives = false
				break
			}
		}
		if !survives {
			continue
		}
		reduced := *fleet
		reduced.Choose, reduced.Nodes = false, nil
		price := 0.0
		for k, d := range fleet.Nodes {
			if subset&(1<<k) == 0 {
				d.Cores = 0
			} else {
				price += d.Price
			}
			reduced.Nodes = append(reduced.Nodes, d)
		}
		v := bestByBruteForce(&reduced)
		v[2] = price
		if best == nil || compareLexicographic(v, best) < 0 {
			best = v
		}
	}
	return best
}

// Compares Options.Robust with brute force over every choice of nodes and every loss. A cut that is
// too strong makes the choice too expensive, and one that is too weak lets a loss through.
func TestRobustAgainstBruteForce(t *testing.T) {
	const seed = 4
	rng := rand.New(rand.NewPCG(seed, 4))
	fleets, costlier := 400, 0
	if testing.Short() || racing.Enabled {
		fleets = 60
	}
	for n := range fleets {
		fleet := randomFleet(rng, false)
		fleet.Choose = true
		if len(fleet.Nodes) > 6 {
			fleet.Nodes = fleet.Nodes[:6]
		}
		for c := range fleet.Classes {
			fleet.Classes[c].OnlyPlaces, fleet.Classes[c].ExcludedPlaces = nil, nil
			fleet.Classes[c].Zones = nil
		}
		if fleet.Validate() != nil {
			continue
		}
		plan := mustSolve(t, fleet, Options{Robust: true})
		want := robustByBruteForce(fleet)
		if want == nil {
			if !slices.Contains(plan.Robust.Problems, "no choice of nodes within the limits survives the losses that all nodes together would") {
				t.Fatalf("seed %d, fleet %d: no choice survives the losses, and the plan says %+v", seed, n, plan.Robust)
			}
			continue
		}
		if !nearlyEqual(plan.Robust.CostWith, want[2]) || !nearlyEqual(plan.Values["late"], want[0]) || !nearlyEqual(plan.Values["worth"], want[1]) {
			t.Fatalf("seed %d, fleet %d: %+v %+v, by brute force %v\n%+v", seed, n, plan.Robust, plan.Values, want, fleet)
		}
		if plan.Robust.CostWith > plan.Robust.CostWithout {
			costlier++
		}
	}
	if costlier < fleets/10 {
		t.Errorf("%d of %d plans cost more for surviving losses: too few in the sample", costlier, fleets)
	}
}

// largeFleet returns a realistic fleet: two kinds of nodes, prices of crossings, a limit on the
// share of a zone, one class that must not be late, and about as much work as the nodes can do.
func largeFleet(rng *rand.Rand, nodes, zones, classes int) *Fleet {
	f := &Fleet{Version: 1, Limits: Limits{FreeShare: 0.1, MaxZoneShare: 0.9, MaxLateShare: 0.05, MaxFullShare: 0.2}}
	total := 0.0
	for n := range nodes {
		node := Node{Name: fmt.Sprint("n", n), Zone: fmt.Sprint("z", rng.IntN(zones)), Kind: "standard", Cores: 2, Queue: 5, Price: 1}
		node.Speed = math.Round(100*(1.5+0.6*rng.Float64())) / 100
		if rng.IntN(2) == 0 {
			node.Kind, node.Speed = "half-speed", math.Round(100*(0.77+0.23*rng.Float64()))/100
		}
		total += 2 * node.Speed
		f.Nodes = append(f.Nodes, node)
	}
	for n := range classes {
		class := Class{Name: fmt.Sprint("c", n), WorkMS: 90 + 90*rng.Float64(), AimMS: 750 + 250*rng.Float64(), Worth: float64(1 + rng.IntN(10)), MustNotBeLate: n == 0, Zones: make(map[string]float64)}
		class.Rate = total * (0.3 + 0.7*rng.Float64()) / float64(classes) / class.WorkMS * 1000
		for _, node := range f.Nodes {
			class.Zones[node.Zone] += 1 / float64(nodes)
		}
		if rng.IntN(4) == 0 {
			class.ExcludedPlaces = []string{"kind:half-speed"}
		}
		f.Classes = append(f.Classes, class)
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

// Solves realistic fleets for each of the first three objectives alone and checks the certificate
// of the solution, which fails on loss of precision in large problems. FAWN_PLANS=1000 solves 1000
// fleets of up to 400 nodes.
func TestSolutionsHaveCertificates(t *testing.T) {
	const seed = 9
	fleets, maxNodes := 25, 40
	if racing.Enabled {
		fleets = 6
	}
	if n, err := strconv.Atoi(os.Getenv("FAWN_PLANS")); err == nil {
		fleets, maxNodes = n, 400
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	worst := simplex.Certificate{}
	for n := range fleets {
		fleet := largeFleet(rng, 8+rng.IntN(maxNodes-7), 1+rng.IntN(12), 1+rng.IntN(20))
		model := newModel(fleet, nil, false)
		for _, current := range model.objectives()[:movesObjective] {
			_, solution, _, err := solveLexicographic(model.problem, []objective{current}, nil)
			if err != nil || solution.Status != simplex.Optimal {
				t.Fatalf("seed %d, fleet %d, %s: status %v, error %v, want optimal", seed, n, current.name, solution.Status, err)
			}
			problem := model.problem.Clone()
			for _, term := range current.costs {
				problem.SetCost(term.Var, term.Value)
			}
			certificate := problem.Certify(solution)
			worst = simplex.Certificate{Primal: max(worst.Primal, certificate.Primal), Gap: max(worst.Gap, certificate.Gap)}
			if certificate.Primal > 1e-6 || certificate.Gap > 1e-6 {
				t.Fatalf("seed %d, fleet %d, %s: certificate %+v, want at most 1e-6", seed, n, current.name, certificate)
			}
		}
	}
	t.Logf("%d fleets up to %d nodes: the worst certificate is %+v", fleets, maxNodes, worst)
}

// BenchmarkSolve measures the time of a plan, with and without known current shares:
// go test ./internal/plan -run '^$' -bench Solve -benchtime 1x -benchmem
func BenchmarkSolve(b *testing.B) {
	for _, size := range []struct{ nodes, zones, classes int }{{8, 3, 3}, {40, 3, 3}, {210, 3, 3}, {400, 12, 20}} {
		for _, today := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/zones=%d/classes=%d/today=%v", size.nodes, size.zones, size.classes, today), func(b *testing.B) {
				f := largeFleet(rand.New(rand.NewPCG(1, 1)), size.nodes, size.zones, size.classes)
				if today {
					for n := range f.Nodes {
						f.Nodes[n].CurrentShare = 1 / float64(size.nodes)
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

// Stops a search after 0, 1, 2 and up to 149 calls of Stop. It must return the error of a stopped
// search, or a plan that meets the limits and whose search has bounds that hold: the optimum lies
// between Bound and Best, and the gap is 0 only if they are equal. A stopped search must not claim
// that no choice exists.
func TestStoppedSearchReportsBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(21, 1))
	unanswered, partial := 0, 0
	cases := 80
	if racing.Enabled {
		cases = 16
	}
	for n := range cases {
		fleet := randomFleet(rng, false)
		fleet.Choose = true
		if fleet.Validate() != nil {
			continue
		}
		complete, err := Solve(fleet, Options{Robust: n%2 == 0})
		if err != nil || complete.Status == Contradictory {
			continue
		}
		answered := false
		for stopAfter := range 150 {
			calls := 0
			plan, err := Solve(fleet, Options{Robust: n%2 == 0, Losses: true, Stop: func() bool { calls++; return calls > stopAfter }})
			if errors.Is(err, ErrStopped) {
				if answered {
					t.Fatalf("fleet %d: no answer although a search stopped earlier found one", n)
				}
				unanswered++
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			answered = true
			const noChoice = "no choice of nodes within the limits survives the losses that all nodes together would"
			if plan.Robust != nil && slices.Contains(plan.Robust.Problems, noChoice) && !slices.Contains(complete.Robust.Problems, noChoice) {
				t.Fatalf("fleet %d, stopped after %d calls: the plan says that there is no choice: %q", n, stopAfter, plan.Robust.Problems)
			}
			if !plan.Search.Stopped && len(plan.Skipped) == 0 {
				break
			}
			if !plan.Search.Stopped {
				continue
			}
			partial++
			best, bound := plan.Search.Best, plan.Search.Bound
			if n%2 != 0 && (compareLexicographic(complete.Search.Best, best) > 0 || bound != nil && compareLexicographic(bound, complete.Search.Best) > 0) {
				t.Fatalf("fleet %d, stopped after %d calls: best %v, bound %v, and the optimum is %v", n, stopAfter, best, bound, complete.Search.Best)
			}
			if n%2 != 0 && bound != nil && (compareLexicographic(bound, best) < 0) != (plan.Search.Gap > 0) {
				t.Fatalf("fleet %d: best %v, bound %v, gap %v", n, best, bound, plan.Search.Gap)
			}
			if used := len(slices.DeleteFunc(slices.Clone(plan.Nodes), func(d NodePlan) bool { return !d.Used })); fleet.Limits.MaxNodes > 0 && used > fleet.Limits.MaxNodes {
				t.Fatalf("fleet %d: %d nodes in use, more than limits.most_nodes", n, used)
			}
		}
	}
	if unanswered < cases || partial < cases/4 {
		t.Errorf("%d stopped searches without an answer, %d with one: too few in the sample", unanswered, partial)
	}
}
