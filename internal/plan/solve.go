package plan

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"chalkrack/internal/simplex"
)

// Status is how a plan ended.
type Status string

const (
	Held          Status = "held"          // all is served
	Short         Status = "short"         // not all: Served says what
	Contradictory Status = "contradictory" // no plan meets the limits: Conflicts says which
)

// Options of a solution.
type Options struct {
	Stop     func() bool  // asked now and then: true ends it with the best found
	Progress func(Search) // told of each better choice of nodes
	Losses   bool         // hold the plan against the loss of each zone and node
	Robust   bool         // with Choose: choose nodes that bear them
	Gains    bool         // what one more node of each kind would bring
}

// Plan is what was worked out.
type Plan struct {
	Status    Status     `json:"status"`
	Conflicts [][]string `json:"conflicts,omitempty"`

	Demand   float64            `json:"demand"`   // work, in seconds of a core of speed 1 a second
	Capacity float64            `json:"capacity"` // usable, of the nodes in use
	Served   map[string]float64 `json:"served"`   // share, by class
	Values   map[string]float64 `json:"values"`   // of the aims: late requests a second, worth lost a second, cost an hour, work moved, most busy
	Missing  []Missing          `json:"missing,omitempty"`
	Binding  []string           `json:"binding,omitempty"` // limits that more would be served without
	Gains    []Gain             `json:"gains,omitempty"`
	Losses   []Loss             `json:"losses,omitempty"`
	Nodes    []NodePlan         `json:"nodes"`
	Crossing float64            `json:"crossing"`       // share of the work that leaves its zone
	Left     []string           `json:"left,omitempty"` // parts that were not worked out to their end

	Search *Search `json:"search,omitempty"`
	// Robust says what bearing losses costs: the price an hour beside the plan without,
	// and which losses no choice of these nodes bears.
	Robust *Robust `json:"robust,omitempty"`
}

// Robust is the price of bearing losses.
type Robust struct {
	Without float64  `json:"cost_without"`
	With    float64  `json:"cost_with"`
	Weak    []string `json:"weak,omitempty"`
}

// Missing is demand that is not served.
type Missing struct {
	Class string  `json:"class"`
	Zone  string  `json:"zone"`
	Rate  float64 `json:"rate"` // requests a second
}

// Gain is what one more node of a kind in a zone would bring in worth served a second:
// what the dual price promises at the most, and what solving again finds.
type Gain struct {
	Kind  string  `json:"kind"`
	Zone  string  `json:"zone"`
	Dual  float64 `json:"dual"`
	Again float64 `json:"again"`
}

// NodePlan is one node's part.
type NodePlan struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone"`
	Kind     string  `json:"kind"`
	Used     bool    `json:"used"`
	Capacity float64 `json:"capacity"` // usable work
	Load     float64 `json:"load"`
	Busy     float64 `json:"busy"`  // Load of Capacity
	Share    float64 `json:"share"` // of all work served
	// Weights are its share of what comes from each zone.
	Weights map[string]float64 `json:"weights"`
	Why     []string           `json:"why"`
}

// Solve works out the plan of a valid fleet.
func Solve(f *Fleet, o Options) (*Plan, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	good, err := f.meets(nil, o.Stop)
	if err != nil {
		return nil, err
	}
	if !good {
		p := &Plan{Status: Contradictory}
		p.Conflicts, err = f.Conflicts(o.Stop)
		return p, err
	}
	p := &Plan{Values: make(map[string]float64)}
	used := f
	if f.Choose {
		if used, err = p.choose(f, o); err != nil {
			return nil, err
		}
	}
	// What was chosen is told whole: its split is a few programmes of bounded steps.
	whole := o
	if f.Choose {
		whole.Stop = nil
	}
	if err := p.split(used, whole); err != nil {
		return nil, err
	}
	// What comes on top may be left for want of time, and is said to be.
	if p.Status == Short {
		if err := p.without("shortage", p.shortage(used, o)); err != nil {
			return nil, err
		}
	}
	if o.Losses {
		if err := p.without("losses", p.hold(used, o)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// without notes a part that was left for want of time.
func (p *Plan) without(part string, err error) error {
	if errors.Is(err, ErrLeft) {
		p.Left = append(p.Left, part)
		return nil
	}
	return err
}

// choose finds the nodes in use and returns the fleet of these alone.
func (p *Plan) choose(f *Fleet, o Options) (*Fleet, error) {
	m := newModel(f, nil, false)
	count, search, err := m.place(false, o.Stop, o.Progress)
	if err == nil && count == nil {
		err = ErrLeft
	}
	if err != nil {
		return nil, err
	}
	p.Search = &search
	if o.Robust {
		with, mended, weak, err := m.bear(count[:len(m.groups)], o.Stop, o.Progress)
		p.Robust = &Robust{Without: m.priceOf(count), Weak: weak}
		switch {
		case errors.Is(err, ErrLeft):
			p.Robust.Weak = append(p.Robust.Weak, "the search was left before a choice was found that bears the losses")
			p.Search.Left, with = true, count
		case err != nil:
			return nil, err
		case with == nil:
			p.Robust.Weak = append(p.Robust.Weak, "no choice within the limits bears what all nodes together would")
			with = count
		}
		count = with
		p.Robust.With = m.priceOf(count)
		p.Search.Cuts = mended.Cuts
		p.Search.Steps += mended.Steps
	}
	g := *f
	g.Choose, g.Nodes = false, slices.Clone(f.Nodes)
	keep := make([]bool, len(f.Nodes))
	for n, group := range m.groups {
		// Those that have most today, then in their order.
		nodes := slices.Clone(group.nodes)
		slices.SortStableFunc(nodes, func(a, b int) int { return cmp.Compare(f.Nodes[b].Today, f.Nodes[a].Today) })
		for _, at := range nodes[:int(count[n])] {
			keep[at] = true
		}
	}
	for n := range g.Nodes {
		g.Nodes[n].out = !keep[n]
	}
	g.Limits.MostNodes, g.Limits.MostPrice = 0, 0 // kept by the choice
	return &g, nil
}

// priceOf is what nodes in use cost an hour.
func (m *model) priceOf(count []float64) (sum float64) {
	for n, g := range m.groups {
		sum += g.price * count[n]
	}
	return sum
}

// split works out how work is split over the nodes in use.
func (p *Plan) split(used *Fleet, o Options) error {
	known := slices.ContainsFunc(used.Nodes, func(d Node) bool { return d.Today > 0 })
	m := newModel(used, nil, known)
	all := m.aims()
	if !known {
		all = slices.Delete(all, moves, moves+1)
	}
	values, sol, _, err := lexicographic(m.p, all, o.Stop)
	if err != nil {
		return err
	}
	if sol.Status != simplex.Optimal {
		return fmt.Errorf("%w: the split is %v", ErrLeft, sol.Status)
	}
	for n, a := range all {
		p.Values[a.name] = values[n]
	}
	p.Status = Held
	p.Demand = m.total
	p.Served = m.served(sol.X)
	for c := range used.Classes {
		for z, v := range m.miss[c] {
			if v >= 0 && sol.X[v] > alike {
				p.Status = Short
				p.Missing = append(p.Missing, Missing{used.Classes[c].Name, m.zones[z], sol.X[v] * m.rate[c] * m.demand[c][z]})
			}
		}
	}
	m.fill(p, sol.X)
	return nil
}

// fill tells each node's part. Nodes that are alike have equal ones.
func (m *model) fill(p *Plan, x []float64) {
	zones := len(m.zones)
	into := make([][]float64, len(m.part)) // by class and zone of the nodes
	for c := range m.part {
		into[c] = make([]float64, zones)
		for _, g := range m.groups {
			into[c][g.zone] += x[g.work[c]]
		}
	}
	from := make([]float64, zones) // work of each zone that is served
	home := 0.0
	at := make(map[string]*NodePlan)
	served := 0.0
	for c := range m.part {
		for z := range zones {
			for to := range zones {
				if m.miss[c][z] < 0 {
					continue
				}
				w := m.part[c] * m.demand[c][z] * x[m.flow[c][z][to]]
				from[z] += w
				served += w
				if z == to {
					home += w
				}
			}
		}
	}
	for _, g := range m.groups {
		for _, n := range g.nodes {
			d := &m.f.Nodes[n]
			np := &NodePlan{Name: d.Name, Zone: d.Zone, Kind: d.Kind, Used: !g.drains, Capacity: g.each * m.total, Weights: make(map[string]float64)}
			for c := range m.part {
				mine := x[g.work[c]] / float64(len(g.nodes))
				np.Load += mine * m.part[c] * m.total
				for z, name := range m.zones {
					if m.miss[c][z] < 0 || from[z] == 0 || into[c][g.zone] == 0 {
						continue
					}
					np.Weights[name] += m.part[c] * m.demand[c][z] * x[m.flow[c][z][g.zone]] / from[z] * mine / into[c][g.zone]
				}
			}
			if np.Capacity > 0 {
				np.Busy = np.Load / np.Capacity
			}
			if served > 0 {
				np.Share = np.Load / m.total / served
			}
			np.Why = m.why(g, d, np)
			at[d.Name] = np
			if np.Used {
				p.Capacity += np.Capacity
			}
		}
	}
	for n := range m.f.Nodes { // in the file's order
		p.Nodes = append(p.Nodes, *at[m.f.Nodes[n].Name])
	}
	if served > 0 {
		p.Crossing = max(0, 1-home/served)
	}
}

// why says in the operators' words what makes a node's part what it is.
func (m *model) why(g *group, d *Node, np *NodePlan) (all []string) {
	add := func(text string, args ...any) { all = append(all, fmt.Sprintf(text, args...)) }
	raw := float64(d.Cores) * d.Speed
	add("%d cores at %.3g of the yardstick are %.3g s of work a second, of which %.3g can be used", d.Cores, d.Speed, raw, g.each*m.total)
	var barred []string
	for c, may := range g.allow {
		if !may {
			barred = append(barred, m.f.Classes[c].Name)
		}
	}
	switch {
	case g.out:
		add("not needed: what it would add is not worth its price, or its place within limits")
	case g.drains:
		add("it is to be drained: nothing goes there")
	case len(barred) == len(g.allow):
		add("no class may go there")
	case len(barred) > 0:
		add("%s may not go there", strings.Join(barred, ", "))
	}
	for n := range m.f.Pins {
		if d.is(m.f.Pins[n].At) {
			add("pins[%d] wants %v of %s there or at its like", n, m.f.Pins[n].Least, m.f.Pins[n].Class)
		}
	}
	switch {
	case g.drains:
	case g.each > 0 && np.Busy > 1-1e-6 && g.shared:
		add("it has as much as limits.most_of_node lets one node have")
	case g.each > 0 && np.Busy > 1-1e-6:
		add("it is full: its capacity binds")
	case np.Load == 0:
		add("nothing goes there: others do it cheaper, or all")
	default:
		add("%.0f %% of what it can do: as even as the limits and prices let the most loaded be", 100*np.Busy)
	}
	if l := m.f.Limits.MostOfZone; l > 0 {
		sum := 0.0
		for _, o := range m.groups {
			if o.zone == g.zone {
				sum += o.each * float64(len(o.nodes))
			}
		}
		if sum > l {
			add("its zone may have %v of all work, less than its nodes could do", l)
		}
	}
	return all
}

// shortage says what binds and what one more node of each kind would bring.
func (p *Plan) shortage(used *Fleet, o Options) error {
	m := newModel(used, nil, false)
	all := m.aims()[worth : worth+1]
	if len(all[0].costs) == 0 {
		return nil
	}
	values, sol, _, err := lexicographic(m.p, all, o.Stop)
	if err == nil && sol.Status != simplex.Optimal {
		err = ErrLeft
	}
	if err != nil {
		return err
	}
	binding := make(map[limit]bool)
	for r, l := range m.words {
		if math.Abs(sol.Dual[r]) > alike {
			binding[l] = true
		}
	}
	for n := range used.Classes { // what may not go somewhere, where it could
		c := &used.Classes[n]
		for _, g := range m.groups {
			if !g.allow[n] && sol.Reduced[g.work[n]] < -alike {
				if len(c.Only) > 0 {
					binding[onlyOf(c)] = true
				}
				if len(c.Not) > 0 {
					binding[notOf(c)] = true
				}
			}
		}
	}
	for _, l := range used.limits() {
		if binding[l] {
			p.Binding = append(p.Binding, string(l))
		}
	}
	if !o.Gains {
		return nil
	}
	// The most that the price of capacity promises, for each kind in each zone.
	seen := make(map[string]bool)
	for n, g := range m.groups {
		key := m.zones[g.zone] + " " + g.kind
		if seen[key] || g.drains {
			continue
		}
		seen[key] = true
		more := *used
		d := used.Nodes[g.nodes[0]]
		d.Name, d.like, d.Today = d.Name+" again", d.Name, 0
		more.Nodes = append(slices.Clone(used.Nodes), d)
		mm := newModel(&more, nil, false)
		again, sol2, _, err := lexicographic(mm.p, mm.aims()[worth:worth+1], o.Stop)
		if err == nil && sol2.Status != simplex.Optimal {
			err = ErrLeft
		}
		if err != nil {
			return err
		}
		p.Gains = append(p.Gains, Gain{Kind: g.kind, Zone: m.zones[g.zone], Dual: -sol.Dual[m.rowOf[n]] * g.each, Again: values[0] - again[0]})
	}
	slices.SortStableFunc(p.Gains, func(a, b Gain) int { return cmp.Compare(b.Again, a.Again) })
	return nil
}

// hold tells what each loss would leave.
func (p *Plan) hold(used *Fleet, o Options) error {
	m := newModel(used, nil, false)
	count := make([]float64, len(m.groups))
	for n, g := range m.groups {
		_, count[n] = m.p.Bounds(g.open)
	}
	normal := newAfter(used)
	for _, l := range m.losses() {
		a := normal
		if l.bad {
			worse, _ := used.bad()
			a = newAfter(worse)
		}
		values, sol, err := a.solve(&l, count, a.aims()[:cost], o.Stop)
		if err != nil {
			return err
		}
		lost := max(0, values[worth]-p.Values["worth"])
		held := values[late] <= p.Values["late"]+alike*max(1, p.Values["late"]) && lost <= alike*max(1, values[worth])
		p.Losses = append(p.Losses, Loss{What: l.name, Held: held, Served: a.served(sol.X), Worth: lost})
	}
	return nil
}
