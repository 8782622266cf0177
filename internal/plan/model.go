package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"chalkrack/internal/simplex"
)

// limit is one of the operators' limits, in their words: what can contradict others.
type limit string

// group is nodes that are alike in all that the programme knows.
type group struct {
	zone   int
	kind   string
	each   float64 // usable by one node
	shared bool    // by limits.most_of_node, not by its capacity
	price  float64
	drains bool // nothing goes there: it is to be left, or out of use by choice
	out    bool
	allow  []bool  // by class
	today  float64 // of all of them
	nodes  []int
	// variables
	open, busy int // how many are in use; how many of these are there after a loss
	work       []int
}

// model is a fleet's linear programme. Work is in parts of all work, flows are parts of
// their class's: the sizes of numbers say nothing about their units.
type model struct {
	f      *Fleet
	zones  []string
	p      *simplex.Problem
	groups []*group
	total  float64     // work of all, in core seconds a second
	demand [][]float64 // by class and zone, part of the class's work
	part   []float64   // by class, part of all work
	rate   []float64   // by class
	// variables
	miss  [][]int   // by class and zone: part of that demand that is not served; -1: there is none
	flow  [][][]int // by class, zone of origin and of the node
	level int       // the most that a group is busy
	moves []int
	// words are the limits that rows stand for.
	words map[int]limit
	rowOf []int // by group, its capacity
	any   []int // for cuts, whether any node of a group is in use; anyOf is a group's
	anyOf map[int]int
}

// words of limits
func capacityOf(zone string) limit { return limit("the capacity of zone " + zone) }
func atLeastOf(c *Class) limit {
	return limit(fmt.Sprintf("classes: %s: at_least %v of it is served", c.Name, c.AtLeast))
}
func onlyOf(c *Class) limit {
	return limit(fmt.Sprintf("classes: %s: only %s", c.Name, strings.Join(c.Only, ", ")))
}
func notOf(c *Class) limit {
	return limit(fmt.Sprintf("classes: %s: not %s", c.Name, strings.Join(c.Not, ", ")))
}
func pinOf(n int, p *Pin) limit {
	return limit(fmt.Sprintf("pins[%d]: at least %v of %s goes to %s", n, p.Least, p.Class, strings.Join(p.At, ", ")))
}
func drainOf(d *Node) limit { return limit("nodes: " + d.Name + " is to be drained") }
func freeOf(l *Limits) limit {
	return limit(fmt.Sprintf("limits.free: %v of each node stays free", l.Free))
}
func nodeShareOf(l *Limits) limit {
	return limit(fmt.Sprintf("limits.most_of_node: %v of all work at one node", l.MostOfNode))
}
func zoneShareOf(l *Limits, zone string) limit {
	return limit(fmt.Sprintf("limits.most_of_zone: %v of all work in zone %s", l.MostOfZone, zone))
}
func mostNodesOf(l *Limits) limit {
	return limit(fmt.Sprintf("limits.most_nodes: %d nodes in use", l.MostNodes))
}
func mostPriceOf(l *Limits) limit {
	return limit(fmt.Sprintf("limits.most_price: %v an hour", l.MostPrice))
}

// limits are all that the operators have set, in the order of the file.
func (f *Fleet) limits() (all []limit) {
	for _, z := range f.Zones() {
		all = append(all, capacityOf(z))
	}
	for n := range f.Nodes {
		if f.Nodes[n].Drain {
			all = append(all, drainOf(&f.Nodes[n]))
		}
	}
	for n := range f.Classes {
		c := &f.Classes[n]
		if c.AtLeast > 0 {
			all = append(all, atLeastOf(c))
		}
		if len(c.Only) > 0 {
			all = append(all, onlyOf(c))
		}
		if len(c.Not) > 0 {
			all = append(all, notOf(c))
		}
	}
	for n := range f.Pins {
		all = append(all, pinOf(n, &f.Pins[n]))
	}
	l := &f.Limits
	if l.Free > 0 {
		all = append(all, freeOf(l))
	}
	if l.MostOfNode > 0 {
		all = append(all, nodeShareOf(l))
	}
	if l.MostOfZone > 0 {
		for _, z := range f.Zones() {
			all = append(all, zoneShareOf(l, z))
		}
	}
	if l.MostNodes > 0 {
		all = append(all, mostNodesOf(l))
	}
	if l.MostPrice > 0 {
		all = append(all, mostPriceOf(l))
	}
	return all
}

// holding says which limits hold: all but those that are off.
type holding map[limit]bool

func (off holding) on(l limit) bool { return !off[l] }

// newModel makes the programme of a fleet without the limits that are off. Where moves
// count each node is by itself.
func newModel(f *Fleet, off holding, moves bool) *model {
	m := &model{f: f, zones: f.Zones(), p: new(simplex.Problem), words: make(map[int]limit), anyOf: make(map[int]int)}
	m.demands()
	m.group(off, moves)
	m.variables(off)
	m.rows(off)
	return m
}

func (m *model) zone(name string) int { return slices.Index(m.zones, name) }

func (m *model) demands() {
	for n := range m.f.Classes {
		c := &m.f.Classes[n]
		by := make([]float64, len(m.zones))
		for z, name := range m.zones {
			by[z] = c.Zones[name]
			if len(c.Zones) == 0 {
				by[z] = 1 / float64(len(m.zones))
			}
		}
		m.demand = append(m.demand, by)
		m.rate = append(m.rate, c.Rate)
		m.part = append(m.part, c.Rate*c.WorkMS/1000)
		m.total += c.Rate * c.WorkMS / 1000
	}
	if m.total == 0 {
		m.total = 1 // no demand: all parts are nothing
	}
	for n := range m.part {
		m.part[n] /= m.total
	}
}

// mix is the mean work of a request and the shortest aim, which say what a node can bear.
func (f *Fleet) mix() (workMS, aimMS float64) {
	rate := 0.0
	for _, c := range f.Classes {
		rate += c.Rate
		workMS += c.Rate * c.WorkMS
		if aimMS == 0 || c.AimMS < aimMS {
			aimMS = c.AimMS
		}
	}
	if rate == 0 {
		return f.Classes[0].WorkMS, aimMS
	}
	return workMS / rate, aimMS
}

// group puts nodes together that are alike.
func (m *model) group(off holding, moves bool) {
	f, l := m.f, &m.f.Limits
	workMS, aimMS := f.mix()
	by := make(map[string]*group)
	for n := range f.Nodes {
		d := &f.Nodes[n]
		each := Usable(d, workMS, aimMS, l.Late, l.Full) / m.total
		if l.Free > 0 && off.on(freeOf(l)) {
			each *= 1 - l.Free
		}
		if !off.on(capacityOf(d.Zone)) {
			each = 1
		}
		if l.MostOfNode > 0 && off.on(nodeShareOf(l)) {
			each = min(each, l.MostOfNode)
		}
		g := &group{zone: m.zone(d.Zone), kind: d.Kind, each: each, shared: l.MostOfNode > 0 && each == l.MostOfNode, price: d.Price, out: d.out, drains: d.out || d.Drain && off.on(drainOf(d))}
		key := fmt.Sprint(g.zone, " ", g.kind, " ", each, " ", g.price, " ", g.drains, " ", g.out, " ", d.Speed, " ", d.SlowSpeed, " ", d.Cores, " ", d.Queue)
		for i := range f.Classes {
			c := &f.Classes[i]
			may := (len(c.Only) == 0 || !off.on(onlyOf(c)) || d.is(c.Only)) && (len(c.Not) == 0 || !off.on(notOf(c)) || !d.is(c.Not))
			g.allow = append(g.allow, may)
			key += fmt.Sprint(" ", may)
		}
		for i := range f.Pins {
			key += fmt.Sprint(" ", d.is(f.Pins[i].At))
		}
		if moves {
			key += " " + d.Name
		}
		if by[key] == nil {
			by[key] = g
			m.groups = append(m.groups, g)
		}
		g = by[key]
		g.nodes = append(g.nodes, n)
		g.today += d.Today
	}
}

func (m *model) variables(off holding) {
	inf := math.Inf(1)
	for c := range m.f.Classes {
		miss := make([]int, len(m.zones))
		flow := make([][]int, len(m.zones))
		for z := range m.zones {
			miss[z] = -1
			if m.demand[c][z]*m.part[c] <= 0 {
				continue
			}
			miss[z] = m.p.Var(0, 1, 0)
			flow[z] = make([]int, len(m.zones))
			for to := range m.zones {
				flow[z][to] = m.p.Var(0, inf, 0)
			}
		}
		m.miss, m.flow = append(m.miss, miss), append(m.flow, flow)
	}
	for _, g := range m.groups {
		most, least := float64(len(g.nodes)), float64(len(g.nodes))
		if m.f.Choose {
			least = 0
		}
		if g.drains {
			most, least = 0, 0
		}
		g.open = m.p.Var(least, most, 0)
		g.busy = m.p.Var(0, most, 0)
		g.work = make([]int, len(m.f.Classes))
		for c := range g.work {
			hi := inf
			if !g.allow[c] || m.part[c] == 0 {
				hi = 0
			}
			g.work[c] = m.p.Var(0, hi, 0)
		}
	}
	m.level = m.p.Var(0, inf, 0)
	for range m.groups {
		m.moves = append(m.moves, m.p.Var(0, inf, 0), m.p.Var(0, inf, 0))
	}
}

func (m *model) rows(off holding) {
	p, l := m.p, &m.f.Limits
	for c := range m.f.Classes {
		for z := range m.zones {
			if m.miss[c][z] < 0 {
				continue
			}
			row := []simplex.Term{{Var: m.miss[c][z], Value: 1}}
			for to := range m.zones {
				row = append(row, simplex.Term{Var: m.flow[c][z][to], Value: 1})
			}
			p.Row(simplex.EQ, 1, row...)
		}
		if m.part[c] == 0 {
			continue
		}
		for to := range m.zones { // what comes to a zone is done at its nodes
			var row []simplex.Term
			for z := range m.zones {
				if m.miss[c][z] >= 0 {
					row = append(row, simplex.Term{Var: m.flow[c][z][to], Value: m.demand[c][z]})
				}
			}
			for _, g := range m.groups {
				if g.zone == to {
					row = append(row, simplex.Term{Var: g.work[c], Value: -1})
				}
			}
			p.Row(simplex.EQ, 0, row...)
		}
	}
	for n, g := range m.groups {
		p.Row(simplex.LE, 0, simplex.Term{Var: g.busy, Value: 1}, simplex.Term{Var: g.open, Value: -1})
		row := append(m.workOf(g), simplex.Term{Var: g.busy, Value: -g.each})
		at := p.Row(simplex.LE, 0, row...)
		m.rowOf = append(m.rowOf, at)
		m.words[at] = capacityOf(m.zones[g.zone])
		if g.shared {
			m.words[at] = nodeShareOf(l)
		}
		if g.each > 0 {
			p.Row(simplex.LE, 0, append(m.workOf(g), simplex.Term{Var: m.level, Value: -g.each * float64(len(g.nodes))})...)
		}
		p.Row(simplex.EQ, g.today, append(m.workOf(g), simplex.Term{Var: m.moves[2*n], Value: -1}, simplex.Term{Var: m.moves[2*n+1], Value: 1})...)
	}
	for z, name := range m.zones {
		if l.MostOfZone > 0 && off.on(zoneShareOf(l, name)) {
			var row []simplex.Term
			for _, g := range m.groups {
				if g.zone == z {
					row = append(row, m.workOf(g)...)
				}
			}
			m.words[p.Row(simplex.LE, l.MostOfZone, row...)] = zoneShareOf(l, name)
		}
	}
	for n := range m.f.Classes {
		c := &m.f.Classes[n]
		if c.AtLeast > 0 && m.part[n] > 0 && off.on(atLeastOf(c)) {
			m.words[p.Row(simplex.LE, 1-c.AtLeast, m.missOf(n)...)] = atLeastOf(c)
		}
	}
	for n := range m.f.Pins {
		pin := &m.f.Pins[n]
		c := slices.IndexFunc(m.f.Classes, func(c Class) bool { return c.Name == pin.Class })
		if pin.Least == 0 || m.part[c] == 0 || !off.on(pinOf(n, pin)) {
			continue
		}
		var row []simplex.Term
		for _, g := range m.groups {
			if m.f.Nodes[g.nodes[0]].is(pin.At) {
				row = append(row, simplex.Term{Var: g.work[c], Value: 1})
			}
		}
		m.words[p.Row(simplex.GE, pin.Least, row...)] = pinOf(n, pin)
	}
	if l.MostNodes > 0 && off.on(mostNodesOf(l)) {
		m.words[p.Row(simplex.LE, float64(l.MostNodes), m.openOf(func(*group) float64 { return 1 })...)] = mostNodesOf(l)
	}
	if l.MostPrice > 0 && off.on(mostPriceOf(l)) {
		m.words[p.Row(simplex.LE, l.MostPrice, m.openOf(func(g *group) float64 { return g.price })...)] = mostPriceOf(l)
	}
}

// workOf is a group's work, in parts of all work.
func (m *model) workOf(g *group) (row []simplex.Term) {
	for c, v := range g.work {
		row = append(row, simplex.Term{Var: v, Value: m.part[c]})
	}
	return row
}

// missOf is the part of a class that is not served.
func (m *model) missOf(c int) (row []simplex.Term) {
	for z, v := range m.miss[c] {
		if v >= 0 {
			row = append(row, simplex.Term{Var: v, Value: m.demand[c][z]})
		}
	}
	return row
}

func (m *model) openOf(of func(*group) float64) (row []simplex.Term) {
	for _, g := range m.groups {
		row = append(row, simplex.Term{Var: g.open, Value: of(g)})
	}
	return row
}

// aim is one of the things that a plan is to do best at, as costs of variables.
type aim struct {
	name  string
	costs []simplex.Term
}

// most is more than an aim's value can be where its variables are shares.
func (a *aim) most() (sum float64) {
	for _, t := range a.costs {
		sum += t.Value
	}
	return sum
}

// The aims, in their order.
const (
	late = iota
	worth
	cost
	moves
	even
	aims
)

func (m *model) aims() []aim {
	all := make([]aim, aims)
	all[late].name, all[worth].name, all[cost].name, all[moves].name, all[even].name = "late", "worth", "cost", "moves", "evenness"
	for c := range m.f.Classes {
		k := &m.f.Classes[c]
		for z, v := range m.miss[c] {
			if v < 0 {
				continue
			}
			n := m.rate[c] * m.demand[c][z]
			if k.Must {
				all[late].costs = append(all[late].costs, simplex.Term{Var: v, Value: n})
			}
			all[worth].costs = append(all[worth].costs, simplex.Term{Var: v, Value: n * k.Worth})
			for _, p := range m.f.Prices {
				if to := m.zone(p.To); p.From == m.zones[z] && to >= 0 {
					all[cost].costs = append(all[cost].costs, simplex.Term{Var: m.flow[c][z][to], Value: n * p.Per * 3600})
				}
			}
		}
	}
	all[cost].costs = append(all[cost].costs, m.openOf(func(g *group) float64 { return g.price })...)
	for _, v := range m.moves {
		all[moves].costs = append(all[moves].costs, simplex.Term{Var: v, Value: 0.5})
	}
	all[even].costs = []simplex.Term{{Var: m.level, Value: 1}}
	return all
}

// lexicographic solves for one aim after the other: what an aim's reduced costs say to be
// at its bound in every best solution stays there for those that follow, which leaves
// exactly the best ones. It works on a copy, which it returns with the last solution.
func lexicographic(p *simplex.Problem, all []aim, stop func() bool) (values []float64, sol *simplex.Solution, q *simplex.Problem, err error) {
	q = p.Clone()
	n, rows := q.Size()
	for _, a := range all {
		for v := range n {
			q.SetCost(v, 0)
		}
		for _, t := range a.costs {
			q.SetCost(t.Var, t.Value)
		}
		if sol, err = q.Solve(stop); err != nil || sol.Status != simplex.Optimal {
			return values, sol, q, err
		}
		values = append(values, sol.Objective)
		for v := range n {
			if sol.Reduced[v] != 0 {
				q.SetBounds(v, sol.X[v], sol.X[v])
			}
		}
		for r := range rows {
			if sol.SlackReduced[r] != 0 {
				q.Hold(r)
			}
		}
	}
	return values, sol, q, nil
}
