package simplex

import (
	"fmt"
	"math"
)

// Certificate is what a solution's own numbers prove, worked out from the problem alone.
type Certificate struct {
	Primal float64 // by how much the worst row or bound is missed, of its own size
	Gap    float64 // between the objective and what the duals prove to be the least, of their size
}

// Check holds an optimal solution against the problem. That the objective is the least
// follows from weak duality alone, whatever way led there.
func (p *Problem) Check(s *Solution) Certificate {
	var c Certificate
	rows, size := make([]float64, len(p.rhs)), make([]float64, len(p.rhs))
	for v := range p.cols {
		for k, r := range p.cols[v].rows {
			t := p.cols[v].vals[k] * s.X[v]
			rows[r] += t
			size[r] = max(size[r], math.Abs(t))
		}
		if lo := p.lo[v]; !math.IsInf(lo, 0) {
			c.Primal = max(c.Primal, (lo-s.X[v])/(1+math.Abs(lo)))
		}
		if hi := p.hi[v]; !math.IsInf(hi, 0) {
			c.Primal = max(c.Primal, (s.X[v]-hi)/(1+math.Abs(hi)))
		}
	}
	for r, b := range p.rhs {
		miss := rows[r] - b
		if p.sense[r] == LE && miss < 0 || p.sense[r] == GE && miss > 0 {
			miss = 0
		}
		c.Primal = max(c.Primal, math.Abs(miss)/max(size[r], math.Abs(b), 1e-300))
	}
	bound, of := p.lagrange(s.Dual, p.cost)
	c.Gap = math.Abs(s.Objective-bound) / max(1e-300, of, math.Abs(s.Objective))
	return c
}

// Proves says whether an infeasible solution's duals prove that no values meet the rows.
func (p *Problem) Proves(s *Solution) error {
	bound, of := p.lagrange(s.Dual, make([]float64, len(p.cols)))
	if !(bound > 1e-10*of) {
		return fmt.Errorf("simplex: the rows by their factors add up to %g of %g at the least, which is no contradiction", bound, of)
	}
	return nil
}

// lagrange is the least of cost x + y (b - A x - s) over the bounds of x and of the slacks
// s, a bound from below of the objective over all that meets the rows; and the size of
// what it is made of. What is nothing beside what it is made of counts as nothing.
func (p *Problem) lagrange(y, cost []float64) (bound, of float64) {
	top := 0.0
	for _, c := range cost {
		top = max(top, math.Abs(c))
	}
	add := func(d, size, lo, hi float64) {
		if math.Abs(d) <= 1e-9*size || math.Abs(d) <= noise*top {
			return
		}
		at := lo
		if d < 0 {
			at = hi
		}
		bound += d * at
		if !math.IsInf(at, 0) {
			of = max(of, math.Abs(d*at))
		}
	}
	for r, b := range p.rhs {
		bound += y[r] * b
		of = max(of, math.Abs(y[r]*b))
		switch p.sense[r] {
		case LE: // slack from 0 up
			add(-y[r], 0, 0, math.Inf(1))
		case GE:
			add(-y[r], 0, math.Inf(-1), 0)
		}
	}
	for v := range p.cols {
		d, size := cost[v], math.Abs(cost[v])
		for k, r := range p.cols[v].rows {
			t := y[r] * p.cols[v].vals[k]
			d -= t
			size += math.Abs(t)
		}
		add(d, size, p.lo[v], p.hi[v])
	}
	return bound, of
}
