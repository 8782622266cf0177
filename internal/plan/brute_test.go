package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"chalkrack/internal/racing"
)

// network is a flow network with lower bounds, small enough to be solved by augmenting paths. It
// shares no code with the linear programme: work is a single commodity that flows from classes over
// pins to nodes and then through their zones. Edge e and its reverse e^1 are adjacent.
type network struct {
	targets, nextEdge []int     // by edge, its target and the next edge of the same vertex; -1: none
	residual          []float64 // by edge, the residual capacity
	firstEdge         []int     // by vertex, its first edge; -1: none
	// excess is by vertex the sum of the lower bounds of edges into it, less that of edges out of it.
	excess []float64
}

// newNetwork returns a network without edges.
func newNetwork(vertexCount int) *network {
	w := &network{firstEdge: make([]int, vertexCount), excess: make([]float64, vertexCount)}
	for i := range w.firstEdge {
		w.firstEdge[i] = -1
	}
	return w
}

// addEdge adds an edge with a lower and an upper bound and returns its index.
func (w *network) addEdge(from, to int, lower, upper float64) int {
	w.excess[to] += lower
	w.excess[from] -= lower
	w.targets = append(w.targets, to, from)
	w.residual = append(w.residual, upper-lower, 0)
	w.nextEdge = append(w.nextEdge, w.firstEdge[from], w.firstEdge[to])
	w.firstEdge[from], w.firstEdge[to] = len(w.targets)-2, len(w.targets)-1
	return len(w.targets) - 2
}

// maxFlow adds as much flow from source to sink as fits, by shortest augmenting paths, and returns
// how much that is.
func (w *network) maxFlow(source, sink int) (sum float64) {
	for {
		edgeInto := make([]int, len(w.firstEdge))
		for i := range edgeInto {
			edgeInto[i] = -1
		}
		queue := []int{source}
		for len(queue) > 0 && edgeInto[sink] < 0 {
			v := queue[0]
			queue = queue[1:]
			for e := w.firstEdge[v]; e >= 0; e = w.nextEdge[e] {
				if u := w.targets[e]; w.residual[e] > 1e-12 && edgeInto[u] < 0 && u != source {
					edgeInto[u] = e
					queue = append(queue, u)
				}
			}
		}
		if edgeInto[sink] < 0 {
			return sum
		}
		bottleneck := math.Inf(1)
		for v := sink; v != source; v = w.targets[edgeInto[v]^1] {
			bottleneck = min(bottleneck, w.residual[edgeInto[v]])
		}
		for v := sink; v != source; v = w.targets[edgeInto[v]^1] {
			w.residual[edgeInto[v]] -= bottleneck
			w.residual[edgeInto[v]^1] += bottleneck
		}
		sum += bottleneck
	}
}

// flowNetwork returns the network of a fleet with a subset of its nodes in use, and the edge of
// each class's demand. Vertex 0 is the source and 1 the sink; then come classes, pins, nodes and
// zones, and two vertices for hasCirculation.
func flowNetwork(fleet *Fleet, subset uint, disabled disabledLimits) (w *network, demandEdges []int) {
	zones := fleet.Zones()
	classCount, pinCount, nodeCount := len(fleet.Classes), len(fleet.Pins), len(fleet.Nodes)
	w = newNetwork(2 + classCount + pinCount + nodeCount + len(zones) + 2)
	totalWork := 0.0
	for _, class := range fleet.Classes {
		totalWork += class.Rate * class.WorkMS / 1000
	}
	limits := &fleet.Limits
	for n := range fleet.Classes {
		class := &fleet.Classes[n]
		work := class.Rate * class.WorkMS / 1000
		lower := 0.0
		if class.MinServedShare > 0 && disabled.enforces(minServedLimit(class)) {
			lower = class.MinServedShare * work
		}
		demandEdges = append(demandEdges, w.addEdge(0, 2+n, lower, work))
		pinned := make(map[int]int)
		for i := range fleet.Pins {
			p := &fleet.Pins[i]
			if p.Class != class.Name {
				continue
			}
			lower := 0.0
			if disabled.enforces(pinLimit(i, p)) {
				lower = p.MinShare * work
			}
			w.addEdge(2+n, 2+classCount+i, lower, max(work, lower))
			for k := range fleet.Nodes {
				if fleet.Nodes[k].matches(p.Places) {
					pinned[k] = 2 + classCount + i
				}
			}
		}
		for k := range fleet.Nodes {
			node := &fleet.Nodes[k]
			if (len(class.OnlyPlaces) > 0 && disabled.enforces(onlyPlacesLimit(class)) && !node.matches(class.OnlyPlaces)) || (len(class.ExcludedPlaces) > 0 && disabled.enforces(excludedPlacesLimit(class)) && node.matches(class.ExcludedPlaces)) {
				continue
			}
			from := 2 + n
			if v, ok := pinned[k]; ok {
				from = v
			}
			w.addEdge(from, 2+classCount+pinCount+k, 0, math.Inf(1))
		}
	}
	for k := range fleet.Nodes {
		node := &fleet.Nodes[k]
		capacity := float64(node.Cores) * node.Speed
		if limits.FreeShare > 0 && disabled.enforces(freeShareLimit(limits)) {
			capacity *= 1 - limits.FreeShare
		}
		if !disabled.enforces(capacityLimit(node.Zone)) {
			capacity = totalWork
		}
		if limits.MaxNodeShare > 0 && disabled.enforces(nodeShareLimit(limits)) {
			capacity = min(capacity, limits.MaxNodeShare*totalWork)
		}
		if subset&(1<<k) == 0 || node.Drain && disabled.enforces(drainLimit(node)) {
			capacity = 0
		}
		w.addEdge(2+classCount+pinCount+k, 2+classCount+pinCount+nodeCount+slices.Index(zones, node.Zone), 0, capacity)
	}
	for z, name := range zones {
		upper := math.Inf(1)
		if limits.MaxZoneShare > 0 && disabled.enforces(zoneShareLimit(limits, name)) {
			upper = limits.MaxZoneShare * totalWork
		}
		w.addEdge(2+classCount+pinCount+nodeCount+z, 1, 0, upper)
	}
	return w, demandEdges
}

// hasCirculation reports whether some flow meets all lower bounds (Hoffman's circulation theorem).
func (w *network) hasCirculation() bool {
	w.addEdge(1, 0, 0, math.Inf(1))
	source, sink := len(w.firstEdge)-2, len(w.firstEdge)-1
	required := 0.0
	for v, excess := range slices.Clone(w.excess) {
		if excess > 0 {
			w.addEdge(source, v, 0, excess)
			required += excess
		} else if excess < 0 {
			w.addEdge(v, sink, 0, -excess)
		}
	}
	return w.maxFlow(source, sink) >= required-1e-9*max(1, required)
}

// allowedSubsets returns the choices of nodes that meet the limits on number and price and use no
// drained node.
func allowedSubsets(fleet *Fleet, disabled disabledLimits) (allowed []uint) {
	allNodes := uint(1)<<len(fleet.Nodes) - 1
	if !fleet.Choose {
		return []uint{allNodes}
	}
	for subset := uint(0); subset <= allNodes; subset++ {
		price, count := 0.0, 0
		drained := false
		for k := range fleet.Nodes {
			if subset&(1<<k) != 0 {
				price += fleet.Nodes[k].Price
				count++
				drained = drained || fleet.Nodes[k].Drain && disabled.enforces(drainLimit(&fleet.Nodes[k]))
			}
		}
		limits := &fleet.Limits
		if drained || limits.MaxNodes > 0 && disabled.enforces(maxNodesLimit(limits)) && count > limits.MaxNodes || limits.MaxPrice > 0 && disabled.enforces(maxPriceLimit(limits)) && price > limits.MaxPrice+1e-9 {
			continue
		}
		allowed = append(allowed, subset)
	}
	return allowed
}

// feasibleByBruteForce reports whether some allowed subset of nodes meets all limits that are not
// disabled.
func feasibleByBruteForce(fleet *Fleet, disabled disabledLimits) bool {
	for _, subset := range allowedSubsets(fleet, disabled) {
		if w, _ := flowNetwork(fleet, subset, disabled); w.hasCirculation() {
			return true
		}
	}
	return false
}

// bestByBruteForce returns late, worth and cost of the best plan of a fleet without pins, at_least
// and prices of crossings. The amounts of several classes that can be served together form a
// polymatroid (flows from several sources), so that it is optimal to serve classes greedily, in
// the order of what a second of their work is worth (Edmonds 1970).
func bestByBruteForce(fleet *Fleet) (best []float64) {
	order := make([]int, len(fleet.Classes))
	for n := range order {
		order[n] = n
	}
	worthPerWork := func(n int) (must, worth float64) {
		c := &fleet.Classes[n]
		if c.MustNotBeLate {
			must = 1 / c.WorkMS
		}
		return must, c.Worth / c.WorkMS
	}
	slices.SortStableFunc(order, func(a, b int) int {
		am, aw := worthPerWork(a)
		bm, bw := worthPerWork(b)
		return compareLexicographic([]float64{bm, bw}, []float64{am, aw})
	})
	for _, subset := range allowedSubsets(fleet, nil) {
		w, demandEdges := flowNetwork(fleet, subset, nil)
		demands := make([]float64, len(demandEdges))
		for n, e := range demandEdges {
			demands[n], w.residual[e] = w.residual[e], 0
		}
		values := make([]float64, 3)
		for _, n := range order {
			w.residual[demandEdges[n]] = demands[n]
			served := w.maxFlow(0, 1)
			c := &fleet.Classes[n]
			missing := max(0, c.Rate-served*1000/c.WorkMS)
			if c.MustNotBeLate {
				values[0] += missing
			}
			values[1] += c.Worth * missing
		}
		for k := range fleet.Nodes {
			if subset&(1<<k) != 0 {
				values[2] += fleet.Nodes[k].Price
			}
		}
		if best == nil || compareLexicographic(values, best) < 0 {
			best = values
		}
	}
	return best
}

// randomFleet returns a fleet of up to eight nodes with limits of all kinds, with pins and at_least
// only if withMinimums is set. Its numbers are small integers, so that ties are frequent.
func randomFleet(rng *rand.Rand, withMinimums bool) *Fleet {
	f := &Fleet{Version: 1, Choose: rng.IntN(2) == 0}
	zones := []string{"a", "b", "c"}[:1+rng.IntN(3)]
	for n := range 1 + rng.IntN(8) {
		f.Nodes = append(f.Nodes, Node{Name: fmt.Sprint("n", n), Zone: zones[rng.IntN(len(zones))], Kind: []string{"big", "small"}[rng.IntN(2)],
			Speed: float64(1 + rng.IntN(3)), Cores: rng.IntN(3), Price: float64(rng.IntN(4)), Drain: rng.IntN(10) == 0})
	}
	places := []string{"zone:" + f.Nodes[0].Zone, "kind:" + f.Nodes[0].Kind, f.Nodes[len(f.Nodes)-1].Name}
	for n := range 1 + rng.IntN(3) {
		c := Class{Name: fmt.Sprint("c", n), Rate: float64(rng.IntN(60)), WorkMS: float64(50 * (1 + rng.IntN(4))), AimMS: 800, Worth: float64(rng.IntN(11)), MustNotBeLate: rng.IntN(3) == 0}
		if rng.IntN(2) == 0 {
			c.Zones = map[string]float64{zones[0]: 1}
		}
		if rng.IntN(4) == 0 {
			c.OnlyPlaces = places[rng.IntN(3):][:1]
		}
		if rng.IntN(5) == 0 {
			c.ExcludedPlaces = places[rng.IntN(3):][:1]
		}
		if withMinimums && rng.IntN(2) == 0 {
			c.MinServedShare = []float64{0.5, 0.9, 1}[rng.IntN(3)]
		}
		f.Classes = append(f.Classes, c)
	}
	limits := &f.Limits
	limits.FreeShare = []float64{0, 0, 0.25}[rng.IntN(3)]
	limits.MaxNodeShare = []float64{0, 0, 0.5}[rng.IntN(3)]
	limits.MaxZoneShare = []float64{0, 0, 0.5, 0.75}[rng.IntN(4)]
	if f.Choose {
		limits.MaxNodes = []int{0, 0, 1 + rng.IntN(4)}[rng.IntN(3)]
		limits.MaxPrice = []float64{0, 0, float64(1 + rng.IntN(8))}[rng.IntN(3)]
	}
	if withMinimums && rng.IntN(2) == 0 {
		f.Pins = append(f.Pins, Pin{Class: "c0", Places: places[rng.IntN(3):][:1], MinShare: []float64{0.2, 0.6, 1}[rng.IntN(3)]})
	}
	return f
}

// Compares Solve with brute force over every choice of nodes, which uses network flows instead of
// the linear programme. It fails if the optimum differs, if they disagree whether the limits
// contradict each other, or if a set of limits reported as a conflict is not one or not minimal.
func TestSolveAgainstBruteForce(t *testing.T) {
	const seed = 11
	fleets := 10000
	if testing.Short() || racing.Enabled {
		fleets = 600
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	seen := make(map[Status]int)
	setCount, setSizes := 0, make(map[int]int)
	for n := range fleets {
		fleet := randomFleet(rng, n%2 == 0)
		plan, err := Solve(fleet, Options{})
		if err != nil {
			t.Fatalf("seed %d, fleet %d: %v", seed, n, err)
		}
		seen[plan.Status]++
		if feasible := feasibleByBruteForce(fleet, nil); feasible == (plan.Status == Contradictory) {
			t.Fatalf("seed %d, fleet %d: status %v, brute force says that the limits can be met: %v\n%+v", seed, n, plan.Status, feasible, fleet)
		}
		if plan.Status == Contradictory {
			if len(plan.Conflicts) == 0 {
				t.Fatalf("seed %d, fleet %d: contradictory without a set of conflicting limits", seed, n)
			}
			for _, set := range plan.Conflicts {
				setCount++
				setSizes[len(set)]++
				disabled := make(disabledLimits)
				for _, l := range fleet.allLimits() {
					disabled[l] = !slices.Contains(set, string(l))
				}
				if feasibleByBruteForce(fleet, disabled) {
					t.Fatalf("seed %d, fleet %d: the limits %q are reported as a conflict and can be met", seed, n, set)
				}
				for _, l := range set {
					disabled[limit(l)] = true
					if !feasibleByBruteForce(fleet, disabled) {
						t.Fatalf("seed %d, fleet %d: the conflict %q is not minimal: without %q it can't be met either", seed, n, set, l)
					}
					disabled[limit(l)] = false
				}
			}
			continue
		}
		if n%2 == 0 { // with pins and at_least the greedy order need not be optimal
			continue
		}
		want := bestByBruteForce(fleet)
		got := []float64{plan.Values["late"], plan.Values["worth"], plan.Values["cost"]}
		if !fleet.Choose {
			want[2] = got[2]
		} else if plan.Search != nil {
			got[2] = plan.Search.Best[2]
		}
		for i := range want {
			if math.Abs(want[i]-got[i]) > 1e-6*max(1, want[i]) {
				t.Fatalf("seed %d, fleet %d: late, worth, cost %v, by brute force %v\n%+v", seed, n, got, want, fleet)
			}
		}
	}
	t.Logf("%v; %d conflicts, by size %v", seen, setCount, setSizes)
	if seen[Satisfied] < fleets/20 || seen[Short] < fleets/20 || seen[Contradictory] < fleets/20 || setSizes[2] == 0 || setSizes[3] == 0 {
		t.Errorf("too few of a kind in the sample: statuses %v, sizes of conflicts %v", seen, setSizes)
	}
}
