package plan

import (
	"fmt"
	"slices"

	"chalkrack/internal/simplex"
)

// loss is something that may go wrong: a zone or one node of a group lost, or all nodes
// at their slowest and all classes at their busiest.
type loss struct {
	name  string
	zone  int // -1: none
	group int // -1: none
	bad   bool
}

// Loss is what a loss would leave.
type Loss struct {
	What   string             `json:"what"`
	Held   bool               `json:"held"` // nothing more is late or lost than without it
	Served map[string]float64 `json:"served"`
	Worth  float64            `json:"worth_lost_s"` // of requests not served, a second, beside the plan
}

// losses are all that a fleet is held against.
func (m *model) losses() (all []loss) {
	for z, name := range m.zones {
		if slices.ContainsFunc(m.groups, func(g *group) bool { return g.zone == z && !g.drains }) {
			all = append(all, loss{name: "zone " + name, zone: z, group: -1})
		}
	}
	for n, g := range m.groups {
		if g.drains {
			continue
		}
		d := &m.f.Nodes[g.nodes[0]]
		name := "node " + d.Name
		if len(g.nodes) > 1 {
			name = fmt.Sprintf("one of %d nodes like %s", len(g.nodes), d.Name)
		}
		all = append(all, loss{name: name, zone: -1, group: n})
	}
	if _, some := m.f.bad(); some {
		all = append(all, loss{name: "slowest nodes and busiest classes", zone: -1, group: -1, bad: true})
	}
	return all
}

// after is the programme of what a loss leaves, in which nodes in use are the variables
// busy. What must hold on a good day (pins, at_least, numbers of nodes) does not bind it.
type after struct {
	*model
}

func newAfter(f *Fleet) *after {
	off := make(holding)
	for n := range f.Classes {
		off[atLeastOf(&f.Classes[n])] = true
	}
	for n := range f.Pins {
		off[pinOf(n, &f.Pins[n])] = true
	}
	off[mostNodesOf(&f.Limits)], off[mostPriceOf(&f.Limits)] = true, true
	g := *f
	g.Choose = true // nothing has to be in use
	return &after{newModel(&g, off, false)}
}

// left is how many nodes of a group are there after a loss, of so many in use.
func (l *loss) left(n int, g *group, count float64) float64 {
	switch {
	case l.zone == g.zone:
		return 0
	case l.group == n:
		return max(0, count-1)
	}
	return count
}

// solve is the best that can be done after a loss with so many nodes of each group in use.
func (a *after) solve(l *loss, count []float64, all []aim, stop func() bool) (values []float64, sol *simplex.Solution, err error) {
	for n, g := range a.groups {
		a.p.SetBounds(g.busy, 0, l.left(n, g, count[n]))
	}
	values, sol, _, err = lexicographic(a.p, all, stop)
	if err == nil && sol.Status != simplex.Optimal {
		err = ErrLeft
	}
	return values, sol, err
}

// served is the share of each class that a solution serves.
func (m *model) served(x []float64) map[string]float64 {
	all := make(map[string]float64)
	for c := range m.f.Classes {
		miss := 0.0
		for _, t := range m.missOf(c) {
			miss += t.Value * x[t.Var]
		}
		all[m.f.Classes[c].Name] = max(0, 1-miss)
	}
	return all
}

// bear mends a placement until it bears every loss as well as all nodes together would,
// in what must not be late: each loss that it does not bear adds a cut to the choice of
// nodes (Benders 1962). The value of what is late after a loss falls with the nodes that
// are left and is convex in them, so that its reduced costs bound it everywhere. Nodes of
// a group from which one is lost count less one where any is in use. weak are losses that
// all nodes together don't bear.
func (m *model) bear(count []float64, stop func() bool, progress func(Search)) (mended []float64, s Search, weak []string, err error) {
	all := m.aims()[:late+1]
	if len(all[late].costs) == 0 { // nothing must: then worth counts
		all = m.aims()[worth : worth+1]
	}
	every := make([]float64, len(m.groups))
	for n, g := range m.groups {
		_, every[n] = m.p.Bounds(g.open)
	}
	type held struct {
		loss
		after *after
		most  float64
	}
	var losses []held
	normal := newAfter(m.f)
	bad, some := m.f.bad()
	var worst *after
	if some {
		worst = newAfter(bad)
	}
	for _, l := range m.losses() {
		h := held{loss: l, after: normal}
		if l.bad {
			h.after = worst
		}
		values, _, err := h.after.solve(&l, every, all, stop)
		if err != nil {
			return nil, s, nil, err
		}
		if h.most = values[0]; h.most > alike {
			weak = append(weak, l.name)
		}
		losses = append(losses, h)
	}
	cuts := 0
	for {
		cut := false
		for _, h := range losses {
			if h.group >= 0 && count[h.group] < 0.5 {
				continue // there is none to lose
			}
			values, sol, err := h.after.solve(&h.loss, count, all, stop)
			if err != nil {
				return nil, s, weak, err
			}
			if values[0] <= h.most+alike*max(1, h.most) {
				continue
			}
			if cuts++; cuts > cutsMost {
				return nil, s, weak, ErrLeft
			}
			cut = true
			right := h.most - values[0]
			var row []simplex.Term
			any := 0.0
			for n, g := range h.after.groups {
				d := sol.Reduced[g.busy]
				if d >= 0 || h.zone == g.zone {
					continue
				}
				right += d * h.left(n, g, count[n])
				row = append(row, simplex.Term{Var: m.groups[n].open, Value: d})
				if h.group == n {
					any -= d
				}
			}
			if h.group >= 0 { // it binds only where there is a node to lose
				row = append(row, simplex.Term{Var: m.anyVar(h.group), Value: any + all[0].most()})
				right += all[0].most()
			}
			m.p.Row(simplex.LE, right, row...)
		}
		if !cut {
			s.Cuts = cuts
			return count, s, weak, nil
		}
		next, search, err := m.place(false, stop, progress)
		if search.Left && err == nil {
			err = ErrLeft
		}
		if err != nil || next == nil {
			return nil, search, weak, err
		}
		count, s = next[:len(m.groups)], search
	}
}

// anyVar is the variable that is 1 where any node of a group is in use.
func (m *model) anyVar(n int) int {
	v, ok := m.anyOf[n]
	if !ok {
		v = m.p.Var(0, 1, 0)
		m.any, m.anyOf[n] = append(m.any, v), v
		_, most := m.p.Bounds(m.groups[n].open)
		m.p.Row(simplex.LE, 0, simplex.Term{Var: m.groups[n].open, Value: 1}, simplex.Term{Var: v, Value: -max(most, 1)})
	}
	return v
}
