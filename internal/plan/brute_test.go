package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"chalkrack/internal/racing"
)

// network is a flow network with lower bounds, small enough to be solved by paths. It
// shares nothing with the linear programme but the fleet: work is one commodity, which
// flows from classes by pins to nodes, and through their zones.
type network struct {
	to, next []int
	left     []float64
	first    []int
	over     []float64 // by vertex, what lower bounds bring in, less what they take out
}

func newNetwork(n int) *network {
	w := &network{first: make([]int, n), over: make([]float64, n)}
	for i := range w.first {
		w.first[i] = -1
	}
	return w
}

func (w *network) edge(a, b int, least, most float64) int {
	w.over[b] += least
	w.over[a] -= least
	w.to = append(w.to, b, a)
	w.left = append(w.left, most-least, 0)
	w.next = append(w.next, w.first[a], w.first[b])
	w.first[a], w.first[b] = len(w.to)-2, len(w.to)-1
	return len(w.to) - 2
}

// push sends all it can from a to b by shortest paths.
func (w *network) push(a, b int) (sum float64) {
	for {
		by := make([]int, len(w.first))
		for i := range by {
			by[i] = -1
		}
		queue := []int{a}
		for len(queue) > 0 && by[b] < 0 {
			v := queue[0]
			queue = queue[1:]
			for e := w.first[v]; e >= 0; e = w.next[e] {
				if u := w.to[e]; w.left[e] > 1e-12 && by[u] < 0 && u != a {
					by[u] = e
					queue = append(queue, u)
				}
			}
		}
		if by[b] < 0 {
			return sum
		}
		least := math.Inf(1)
		for v := b; v != a; v = w.to[by[v]^1] {
			least = min(least, w.left[by[v]])
		}
		for v := b; v != a; v = w.to[by[v]^1] {
			w.left[by[v]] -= least
			w.left[by[v]^1] += least
		}
		sum += least
	}
}

// flowOf is the network of a fleet with some of its nodes in use: source 0, sink 1, then
// classes, pins, nodes and zones.
func flowOf(f *Fleet, use uint, off holding) (w *network, demand []int) {
	zones := f.Zones()
	nc, np, nn := len(f.Classes), len(f.Pins), len(f.Nodes)
	w = newNetwork(2 + nc + np + nn + len(zones) + 2)
	total := 0.0
	for _, c := range f.Classes {
		total += c.Rate * c.WorkMS / 1000
	}
	l := &f.Limits
	for n := range f.Classes {
		c := &f.Classes[n]
		work := c.Rate * c.WorkMS / 1000
		least := 0.0
		if c.AtLeast > 0 && off.on(atLeastOf(c)) {
			least = c.AtLeast * work
		}
		demand = append(demand, w.edge(0, 2+n, least, work))
		pinned := make(map[int]int)
		for i := range f.Pins {
			p := &f.Pins[i]
			if p.Class != c.Name {
				continue
			}
			least := 0.0
			if off.on(pinOf(i, p)) {
				least = p.Least * work
			}
			w.edge(2+n, 2+nc+i, least, max(work, least))
			for k := range f.Nodes {
				if f.Nodes[k].is(p.At) {
					pinned[k] = 2 + nc + i
				}
			}
		}
		for k := range f.Nodes {
			d := &f.Nodes[k]
			if (len(c.Only) > 0 && off.on(onlyOf(c)) && !d.is(c.Only)) || (len(c.Not) > 0 && off.on(notOf(c)) && d.is(c.Not)) {
				continue
			}
			from := 2 + n
			if v, ok := pinned[k]; ok {
				from = v
			}
			w.edge(from, 2+nc+np+k, 0, math.Inf(1))
		}
	}
	for k := range f.Nodes {
		d := &f.Nodes[k]
		size := float64(d.Cores) * d.Speed
		if l.Free > 0 && off.on(freeOf(l)) {
			size *= 1 - l.Free
		}
		if !off.on(capacityOf(d.Zone)) {
			size = total
		}
		if l.MostOfNode > 0 && off.on(nodeShareOf(l)) {
			size = min(size, l.MostOfNode*total)
		}
		if use&(1<<k) == 0 || d.Drain && off.on(drainOf(d)) {
			size = 0
		}
		w.edge(2+nc+np+k, 2+nc+np+nn+slices.Index(zones, d.Zone), 0, size)
	}
	for z, name := range zones {
		most := math.Inf(1)
		if l.MostOfZone > 0 && off.on(zoneShareOf(l, name)) {
			most = l.MostOfZone * total
		}
		w.edge(2+nc+np+nn+z, 1, 0, most)
	}
	return w, demand
}

// circulates says whether lower bounds can be met (Hoffman's circulations).
func (w *network) circulates() bool {
	w.edge(1, 0, 0, math.Inf(1))
	a, b := len(w.first)-2, len(w.first)-1
	need := 0.0
	for v, over := range slices.Clone(w.over) {
		if over > 0 {
			w.edge(a, v, 0, over)
			need += over
		} else if over < 0 {
			w.edge(v, b, 0, -over)
		}
	}
	return w.push(a, b) >= need-1e-9*max(1, need)
}

// subsets are the choices of nodes that limits on numbers and prices leave.
func subsets(f *Fleet, off holding) (all []uint) {
	every := uint(1)<<len(f.Nodes) - 1
	if !f.Choose {
		return []uint{every}
	}
	for use := uint(0); use <= every; use++ {
		price, count := 0.0, 0
		drained := false
		for k := range f.Nodes {
			if use&(1<<k) != 0 {
				price += f.Nodes[k].Price
				count++
				drained = drained || f.Nodes[k].Drain && off.on(drainOf(&f.Nodes[k]))
			}
		}
		l := &f.Limits
		if drained || l.MostNodes > 0 && off.on(mostNodesOf(l)) && count > l.MostNodes || l.MostPrice > 0 && off.on(mostPriceOf(l)) && price > l.MostPrice+1e-9 {
			continue
		}
		all = append(all, use)
	}
	return all
}

func bruteMeets(f *Fleet, off holding) bool {
	for _, use := range subsets(f, off) {
		if w, _ := flowOf(f, use, off); w.circulates() {
			return true
		}
	}
	return false
}

// bruteBest is late, worth and, where nothing crosses for a price, cost of the best plan
// of a fleet without pins and at_least. What can be served of several classes at once is a
// polymatroid (flows from sources), so that the greedy in the order of what a second of
// work is worth is the best there is (Edmonds 1970).
func bruteBest(f *Fleet) (best []float64) {
	order := make([]int, len(f.Classes))
	for n := range order {
		order[n] = n
	}
	value := func(n int) (must, worth float64) {
		c := &f.Classes[n]
		if c.Must {
			must = 1 / c.WorkMS
		}
		return must, c.Worth / c.WorkMS
	}
	slices.SortStableFunc(order, func(a, b int) int {
		am, aw := value(a)
		bm, bw := value(b)
		return lexical([]float64{bm, bw}, []float64{am, aw})
	})
	for _, use := range subsets(f, nil) {
		w, demand := flowOf(f, use, nil)
		open := make([]float64, len(demand))
		for n, e := range demand {
			open[n], w.left[e] = w.left[e], 0
		}
		v := make([]float64, 3)
		for _, n := range order {
			w.left[demand[n]] = open[n]
			got := w.push(0, 1)
			c := &f.Classes[n]
			missing := max(0, c.Rate-got*1000/c.WorkMS)
			if c.Must {
				v[0] += missing
			}
			v[1] += c.Worth * missing
		}
		for k := range f.Nodes {
			if use&(1<<k) != 0 {
				v[2] += f.Nodes[k].Price
			}
		}
		if best == nil || lexical(v, best) < 0 {
			best = v
		}
	}
	return best
}

// fleetOf is a fleet of up to eight nodes with limits of all kinds; numbers are small and
// whole, so that ties abound.
func fleetOf(rng *rand.Rand, hard bool) *Fleet {
	f := &Fleet{Version: 1, Choose: rng.IntN(2) == 0}
	zones := []string{"a", "b", "c"}[:1+rng.IntN(3)]
	for n := range 1 + rng.IntN(8) {
		f.Nodes = append(f.Nodes, Node{Name: fmt.Sprint("n", n), Zone: zones[rng.IntN(len(zones))], Kind: []string{"big", "small"}[rng.IntN(2)],
			Speed: float64(1 + rng.IntN(3)), Cores: rng.IntN(3), Price: float64(rng.IntN(4)), Drain: rng.IntN(10) == 0})
	}
	places := []string{"zone:" + f.Nodes[0].Zone, "kind:" + f.Nodes[0].Kind, f.Nodes[len(f.Nodes)-1].Name}
	for n := range 1 + rng.IntN(3) {
		c := Class{Name: fmt.Sprint("c", n), Rate: float64(rng.IntN(60)), WorkMS: float64(50 * (1 + rng.IntN(4))), AimMS: 800, Worth: float64(rng.IntN(11)), Must: rng.IntN(3) == 0}
		if rng.IntN(2) == 0 {
			c.Zones = map[string]float64{zones[0]: 1}
		}
		if rng.IntN(4) == 0 {
			c.Only = places[rng.IntN(3):][:1]
		}
		if rng.IntN(5) == 0 {
			c.Not = places[rng.IntN(3):][:1]
		}
		if hard && rng.IntN(2) == 0 {
			c.AtLeast = []float64{0.5, 0.9, 1}[rng.IntN(3)]
		}
		f.Classes = append(f.Classes, c)
	}
	l := &f.Limits
	l.Free = []float64{0, 0, 0.25}[rng.IntN(3)]
	l.MostOfNode = []float64{0, 0, 0.5}[rng.IntN(3)]
	l.MostOfZone = []float64{0, 0, 0.5, 0.75}[rng.IntN(4)]
	if f.Choose {
		l.MostNodes = []int{0, 0, 1 + rng.IntN(4)}[rng.IntN(3)]
		l.MostPrice = []float64{0, 0, float64(1 + rng.IntN(8))}[rng.IntN(3)]
	}
	if hard && rng.IntN(2) == 0 {
		f.Pins = append(f.Pins, Pin{Class: "c0", At: places[rng.IntN(3):][:1], Least: []float64{0.2, 0.6, 1}[rng.IntN(3)]})
	}
	return f
}

// Against brute force over every choice of nodes, with flows in place of the programme:
// the same optimum, the same verdict on contradictions, and every set of limits said to
// contradict is one, and least.
func TestBruteForce(t *testing.T) {
	const seed = 11
	fleets := 10000
	if testing.Short() || racing.On {
		fleets = 600
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	seen := make(map[Status]int)
	sets, sizes := 0, make(map[int]int)
	for n := range fleets {
		f := fleetOf(rng, n%2 == 0)
		p, err := Solve(f, Options{})
		if err != nil {
			t.Fatalf("seed %d, fleet %d: %v", seed, n, err)
		}
		seen[p.Status]++
		if good := bruteMeets(f, nil); good == (p.Status == Contradictory) {
			t.Fatalf("seed %d, fleet %d: %v, by brute force it can be met: %v\n%+v", seed, n, p.Status, good, f)
		}
		if p.Status == Contradictory {
			if len(p.Conflicts) == 0 {
				t.Fatalf("seed %d, fleet %d: no set of limits", seed, n)
			}
			for _, set := range p.Conflicts {
				sets++
				sizes[len(set)]++
				off := make(holding)
				for _, l := range f.limits() {
					off[l] = !slices.Contains(set, string(l))
				}
				if bruteMeets(f, off) {
					t.Fatalf("seed %d, fleet %d: %q can be met", seed, n, set)
				}
				for _, l := range set {
					off[limit(l)] = true
					if !bruteMeets(f, off) {
						t.Fatalf("seed %d, fleet %d: %q is not least: without %q it can't be met either", seed, n, set, l)
					}
					off[limit(l)] = false
				}
			}
			continue
		}
		if n%2 == 0 { // pins and at_least: greedy is no proof
			continue
		}
		want := bruteBest(f)
		got := []float64{p.Values["late"], p.Values["worth"], p.Values["cost"]}
		if !f.Choose {
			want[2] = got[2]
		} else if p.Search != nil {
			got[2] = p.Search.Best[2]
		}
		for i := range want {
			if math.Abs(want[i]-got[i]) > 1e-6*max(1, want[i]) {
				t.Fatalf("seed %d, fleet %d: %v, by brute force %v\n%+v", seed, n, got, want, f)
			}
		}
	}
	t.Logf("%v; %d sets of limits by size %v", seen, sets, sizes)
	if seen[Held] < fleets/20 || seen[Short] < fleets/20 || seen[Contradictory] < fleets/20 || sizes[2] == 0 || sizes[3] == 0 {
		t.Errorf("the sample says too little: %v, %v", seen, sizes)
	}
}
