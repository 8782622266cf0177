package simplex

import (
	"cmp"
	"math"
	"slices"
)

// run is one solution under way: the scaled problem with slacks as further columns, n+r
// for row r. Row r reads: its terms and its slack add up to its right side.
type run struct {
	p      *Problem
	n, m   int
	cols   []column
	lo, hi []float64
	cost   []float64
	rhs    []float64
	at     []place
	basis  []int // by row
	x      []float64
	etas   []eta
	fresh  int // etas of the last making
	y, d   []float64
	col    []float64
	phase1 bool
	stall  int
}

// eta is one factor of the basis' inverse: the identity but for a column.
type eta struct {
	row  int
	at   []int32
	vals []float64
	piv  float64
}

// Solve finds the least cost. stop, where not nil, is asked now and then whether to give
// up. An error is of numbers that can't be used.
func (p *Problem) Solve(stop func() bool) (*Solution, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	if !p.scaled {
		p.scale()
	}
	s := p.begin()
	status := s.solve(stop)
	return s.finish(status), nil
}

func (p *Problem) begin() *run {
	n, m := len(p.cols), len(p.rhs)
	s := &run{p: p, n: n, m: m, cols: make([]column, n+m), lo: make([]float64, n+m), hi: make([]float64, n+m),
		cost: make([]float64, n+m), rhs: make([]float64, m), at: make([]place, n+m), basis: make([]int, m),
		x: make([]float64, n+m), y: make([]float64, m), d: make([]float64, n+m), col: make([]float64, m)}
	// The largest cost counts as one: the scale of costs changes nothing, and sizes of
	// reduced costs are told from nothing by what they are made of.
	top := 0.0
	for v := range n {
		top = max(top, math.Abs(p.cost[v]*p.colScale[v]))
	}
	top = cmp.Or(power(top), 1)
	for v := range n {
		c := column{rows: p.cols[v].rows, vals: make([]float64, len(p.cols[v].vals))}
		for k, r := range c.rows {
			c.vals[k] = p.cols[v].vals[k] * p.colScale[v] * p.rowScale[r]
		}
		s.cols[v] = c
		s.lo[v], s.hi[v], s.cost[v] = p.lo[v]/p.colScale[v], p.hi[v]/p.colScale[v], p.cost[v]*p.colScale[v]/top
		s.at[v] = p.at[v]
	}
	for r := range m {
		s.cols[n+r] = column{rows: []int32{int32(r)}, vals: []float64{1}}
		s.rhs[r] = p.rhs[r] * p.rowScale[r]
		switch p.sense[r] {
		case LE:
			s.lo[n+r], s.hi[n+r] = 0, math.Inf(1)
		case GE:
			s.lo[n+r], s.hi[n+r] = math.Inf(-1), 0
		}
		s.at[n+r] = p.slackPlace[r]
		if s.basis[r] = p.basis[r]; s.basis[r] < 0 {
			s.basis[r] = n - 1 - p.basis[r]
		}
	}
	return s
}

// rest is the value of a variable out of the basis.
func (s *run) rest(j int) float64 {
	switch s.at[j] {
	case atLower:
		return s.lo[j]
	case atUpper:
		return s.hi[j]
	}
	return 0
}

// refresh makes the basis' inverse anew from its columns, and the values with it.
// Columns that depend on others leave for slacks: the first phase mends what that breaks.
func (s *run) refresh() {
	s.p.Refreshes++
	s.etas = s.etas[:0]
	members := slices.Clone(s.basis)
	// Short columns first, slacks before all: most of a basis is nearly a triangle.
	slices.SortFunc(members, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(s.cols[a].rows), len(s.cols[b].rows)), cmp.Compare(b, a))
	})
	taken := make([]bool, s.m)
	count := make([]int, s.m) // columns yet to come that touch a row
	for _, j := range members {
		for _, r := range s.cols[j].rows {
			count[r]++
		}
	}
	var dropped []int
	for _, j := range members {
		s.ftran(j)
		for _, r := range s.cols[j].rows {
			count[r]--
		}
		best, size := -1, 0.0
		for r, a := range s.col {
			if !taken[r] {
				size = max(size, math.Abs(a))
			}
		}
		if size > least {
			for r, a := range s.col {
				if !taken[r] && math.Abs(a) >= 0.1*size && (best < 0 || count[r] < count[best]) {
					best = r
				}
			}
		}
		if best < 0 {
			dropped = append(dropped, j)
			continue
		}
		taken[best] = true
		s.basis[best] = j
		s.push(best)
	}
	for r := range s.m {
		if taken[r] {
			continue
		}
		j := dropped[0]
		dropped = dropped[1:]
		s.at[j] = nearest(s.lo[j], s.hi[j], s.x[j])
		s.at[s.n+r], s.basis[r] = inBasis, s.n+r
		s.ftran(s.n + r)
		s.push(r)
	}
	s.fresh = len(s.etas)
	s.values()
}

func nearest(lo, hi, x float64) place {
	switch {
	case math.IsInf(lo, 0) && math.IsInf(hi, 0):
		return atZero
	case math.IsInf(hi, 0) || x-lo <= hi-x:
		return atLower
	}
	return atUpper
}

// values works the basis' values out from those of the rest.
func (s *run) values() {
	b := slices.Clone(s.rhs)
	for j := range s.cols {
		if s.at[j] == inBasis {
			continue
		}
		if s.x[j] = s.rest(j); s.x[j] != 0 {
			for k, r := range s.cols[j].rows {
				b[r] -= s.cols[j].vals[k] * s.x[j]
			}
		}
	}
	s.apply(b)
	for r, j := range s.basis {
		s.x[j] = b[r]
	}
}

// ftran puts the basis' inverse times a column into col.
func (s *run) ftran(j int) {
	clear(s.col)
	for k, r := range s.cols[j].rows {
		s.col[r] = s.cols[j].vals[k]
	}
	s.apply(s.col)
}

func (s *run) apply(v []float64) {
	for i := range s.etas {
		e := &s.etas[i]
		t := v[e.row]
		if t == 0 {
			continue
		}
		v[e.row] = e.piv * t
		for k, r := range e.at {
			v[r] += e.vals[k] * t
		}
	}
}

// btran puts a row vector times the basis' inverse into y.
func (s *run) btran() {
	for i := len(s.etas) - 1; i >= 0; i-- {
		e := &s.etas[i]
		t := e.piv * s.y[e.row]
		for k, r := range e.at {
			t += e.vals[k] * s.y[r]
		}
		s.y[e.row] = t
	}
}

// push adds the factor that makes col the unit column of a row.
func (s *run) push(row int) {
	e := eta{row: row, piv: 1 / s.col[row]}
	for r, a := range s.col {
		if r != row && math.Abs(a) > 1e-14 {
			e.at = append(e.at, int32(r))
			e.vals = append(e.vals, -a/s.col[row])
		}
	}
	s.etas = append(s.etas, e)
}

// over is by how much a value is above its bounds; below 0: below them; 0: within.
func (s *run) over(j int) float64 {
	x := s.x[j]
	if miss := s.lo[j] - x; miss > feasible*(1+math.Abs(s.lo[j])) {
		return -miss
	}
	if miss := x - s.hi[j]; miss > feasible*(1+math.Abs(s.hi[j])) {
		return miss
	}
	return 0
}

// price fills in duals and reduced costs, and returns the variable that should move, -1
// for none.
func (s *run) price(bland bool) int {
	s.phase1 = false
	for r, j := range s.basis {
		o := s.over(j)
		s.y[r] = 0
		if o != 0 {
			s.phase1 = true
			s.y[r] = math.Copysign(1, o)
		}
	}
	if !s.phase1 {
		for r, j := range s.basis {
			s.y[r] = s.cost[j]
		}
	}
	s.btran()
	best, size := -1, 0.0
	for j := range s.cols {
		if s.at[j] == inBasis {
			s.d[j] = 0
			continue
		}
		d, of := 0.0, 0.0
		if !s.phase1 {
			d = s.cost[j]
			of = math.Abs(d)
		}
		for k, r := range s.cols[j].rows {
			t := s.y[r] * s.cols[j].vals[k]
			d -= t
			of += math.Abs(t)
		}
		if math.Abs(d) <= optimal*of || math.Abs(d) <= noise {
			d = 0
		}
		s.d[j] = d
		if d == 0 || s.lo[j] == s.hi[j] || s.at[j] == atLower && d > 0 || s.at[j] == atUpper && d < 0 {
			continue
		}
		if bland {
			return j
		}
		if math.Abs(d) > size {
			best, size = j, math.Abs(d)
		}
	}
	return best
}

func (s *run) solve(stop func() bool) Status {
	s.refresh()
	most := max(stepsMin, stepsPer*(s.n+s.m))
	for steps := 0; ; steps++ {
		if steps >= most || steps%16 == 0 && stop != nil && stop() {
			s.price(false)
			return Stopped
		}
		if len(s.etas)-s.fresh >= renew {
			s.refresh()
		}
		bland := s.stall > 2*s.m+100
		j := s.price(bland)
		if j < 0 {
			if len(s.etas) > s.fresh { // what was found must hold with a new basis
				s.refresh()
				if j = s.price(bland); j >= 0 {
					continue
				}
			}
			if s.phase1 {
				return Infeasible
			}
			return Optimal
		}
		s.p.Steps++
		if !s.step(j, bland) {
			if s.phase1 { // nothing bounds it: the sum of infeasibilities can't be; numbers are lost
				s.refresh()
				s.stall++
				if s.stall > 4*s.m+1000 {
					return Stopped
				}
				continue
			}
			return Unbounded
		}
	}
}

// step moves j as far as its own bounds and those of the basis let it; false if nothing
// stops it.
func (s *run) step(j int, bland bool) bool {
	s.ftran(j)
	dir := 1.0
	if s.d[j] > 0 {
		dir = -1
	}
	// Where each basic value stops: within bounds at the next one, outside at the one
	// that it misses.
	limit := func(r int) (room float64, up, stops bool) {
		k, rate := s.basis[r], -dir*s.col[r]
		if math.Abs(rate) <= least {
			return 0, false, false
		}
		o := s.over(k)
		switch {
		case rate > 0 && o < 0:
			return (s.lo[k] - s.x[k]) / rate, false, true
		case rate > 0 && o == 0 && !math.IsInf(s.hi[k], 0):
			return (s.hi[k] - s.x[k]) / rate, true, true
		case rate < 0 && o > 0:
			return (s.hi[k] - s.x[k]) / rate, true, true
		case rate < 0 && o == 0 && !math.IsInf(s.lo[k], 0):
			return (s.lo[k] - s.x[k]) / rate, false, true
		}
		return 0, false, false
	}
	// Harris: first how far one may go with a little slack, then the largest pivot so far.
	most := math.Inf(1)
	for r := range s.m {
		if room, _, stops := limit(r); stops {
			slack := feasible / math.Abs(s.col[r])
			if bland {
				slack = 0
			}
			most = min(most, max(room, 0)+slack)
		}
	}
	leave, upper, size := -1, false, 0.0
	for r := range s.m {
		room, up, stops := limit(r)
		if !stops || max(room, 0) > most {
			continue
		}
		a := math.Abs(s.col[r])
		if bland && leave >= 0 && s.basis[r] > s.basis[leave] || !bland && a <= size {
			continue
		}
		leave, upper, size = r, up, a
	}
	t := math.Inf(1)
	if leave >= 0 {
		room, _, _ := limit(leave)
		t = max(room, 0)
	}
	own := s.hi[j] - s.lo[j]
	if own <= t && !math.IsInf(own, 0) { // to its other bound, and the basis stays
		s.shift(j, dir*own)
		if s.at[j] == atLower {
			s.at[j] = atUpper
		} else {
			s.at[j] = atLower
		}
		s.x[j] = s.rest(j)
		s.stall = 0
		return true
	}
	if leave < 0 {
		return false
	}
	if t > feasible {
		s.stall = 0
	} else {
		s.stall++
	}
	s.shift(j, dir*t)
	k := s.basis[leave]
	s.at[k], s.at[j] = atLower, inBasis
	if upper {
		s.at[k] = atUpper
	}
	s.x[k] = s.rest(k)
	s.basis[leave] = j
	s.push(leave)
	return true
}

// shift moves j by so much, and the basis with it.
func (s *run) shift(j int, by float64) {
	if by == 0 {
		return
	}
	s.x[j] += by
	for r, a := range s.col {
		if a != 0 {
			s.x[s.basis[r]] -= a * by
		}
	}
}

// finish takes the basis back for the next solution and tells this one in the problem's
// units.
func (s *run) finish(status Status) *Solution {
	p := s.p
	sol := &Solution{Status: status, X: make([]float64, s.n), Dual: make([]float64, s.m), Reduced: make([]float64, s.n), SlackReduced: make([]float64, s.m)}
	top := 0.0
	for v := range s.n {
		top = max(top, math.Abs(p.cost[v]*p.colScale[v]))
	}
	top = cmp.Or(power(top), 1)
	if s.phase1 {
		top = 1
	}
	for v := range s.n {
		p.at[v] = s.at[v]
		x := s.x[v] * p.colScale[v]
		sol.X[v] = min(max(x, p.lo[v]), p.hi[v])
		sol.Objective += p.cost[v] * sol.X[v]
		sol.Reduced[v] = s.d[v] / p.colScale[v] * top
	}
	for r := range s.m {
		p.slackPlace[r] = s.at[s.n+r]
		if p.basis[r] = s.basis[r]; s.basis[r] >= s.n {
			p.basis[r] = -1 - (s.basis[r] - s.n)
		}
		// A slack's reduced cost is its row's dual, but for the sign, and has no noise. One in
		// the basis has none, unless it is what can't be met.
		y := -s.d[s.n+r]
		if s.at[s.n+r] == inBasis && s.phase1 && s.over(s.n+r) != 0 {
			y = s.y[r]
		}
		sol.Dual[r] = y * p.rowScale[r] * top
		sol.SlackReduced[r] = s.d[s.n+r] * p.rowScale[r] * top
	}
	return sol
}
