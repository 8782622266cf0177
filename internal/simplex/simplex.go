// Package simplex solves linear programmes exactly enough to be believed: each answer can
// be held against a certificate that does not trust the way it was found.
//
// The method is the revised primal simplex with bounds on all variables (Dantzig, Orden
// and Wolfe 1955; Chvátal, "Linear Programming", chapter 8), its basis kept as a product
// of eta columns that is made anew every so often, a first phase that minimises the sum of
// infeasibilities from any basis, so that a changed bound or a further row goes on from
// where it was, Harris' ratio test (1973), and Bland's rule (1977) while it stalls, which
// makes cycles impossible. Rows and columns are scaled by powers of two, which loses
// nothing.
//
// It has no I/O, clock or goroutines. The same problem takes the same steps everywhere.
package simplex

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Status is how a solution ended.
type Status int

const (
	Optimal Status = iota
	Infeasible
	Unbounded
	Stopped // by the caller, or at the most steps: what is there is feasible or not, no more
)

// String is the status for people.
func (s Status) String() string {
	return [...]string{"optimal", "infeasible", "unbounded", "stopped"}[s]
}

// Sense is a row's relation to its right side.
type Sense int

const (
	LE Sense = iota
	EQ
	GE
)

// Term is one coefficient.
type Term struct {
	Var   int
	Value float64
}

const (
	feasible = 1e-9  // by which a scaled bound may be missed
	optimal  = 1e-9  // by which a reduced cost may be wrong, of what it is made of
	noise    = 1e-11 // what is left of duals that cancel out, the largest cost being one
	least    = 1e-9  // a pivot's size
	renew    = 64    // steps between two makings of the basis
	stepsMin = 20000 // steps at most, or stepsPer a row and column
	stepsPer = 50
	// sizeMost bounds memory: about 100 bytes a row, column and coefficient.
	sizeMost = 1 << 22
)

// ErrSize is of a problem over the bound on memory, or one with numbers that are none.
var ErrSize = errors.New("simplex: too large")

// Problem is one linear programme, minimised. Variables and rows may be added and bounds
// and costs changed between two solutions; the next goes on from the last basis.
type Problem struct {
	cols       []column // of variables; slacks of rows are implied
	lo, hi     []float64
	cost       []float64
	sense      []Sense
	rhs        []float64
	rowScale   []float64
	colScale   []float64
	scaled     bool
	terms      int
	basis      []int // the variable of each row; -1-r: the slack of row r
	at         []place
	slackPlace []place
	Steps      int // made in all
	Refreshes  int // of the basis
}

// place is where a variable is: in the basis, or at a bound.
type place int8

const (
	atLower place = iota
	atUpper
	atZero // free and out of the basis
	inBasis
)

type column struct {
	rows []int32
	vals []float64
}

// Var adds a variable within lo and hi, either of which may be infinite.
func (p *Problem) Var(lo, hi, cost float64) int {
	p.cols = append(p.cols, column{})
	p.lo, p.hi, p.cost = append(p.lo, lo), append(p.hi, hi), append(p.cost, cost)
	p.at = append(p.at, start(lo, hi))
	p.scaled = false
	return len(p.cols) - 1
}

func start(lo, hi float64) place {
	switch {
	case !math.IsInf(lo, 0):
		return atLower
	case !math.IsInf(hi, 0):
		return atUpper
	}
	return atZero
}

// Row adds a row over variables that are there, each named once.
func (p *Problem) Row(sense Sense, rhs float64, terms ...Term) int {
	n := len(p.rhs)
	for _, t := range terms {
		if t.Value != 0 {
			c := &p.cols[t.Var]
			c.rows, c.vals = append(c.rows, int32(n)), append(c.vals, t.Value)
			p.terms++
		}
	}
	p.sense, p.rhs = append(p.sense, sense), append(p.rhs, rhs)
	p.basis = append(p.basis, -1-n)
	p.slackPlace = append(p.slackPlace, inBasis)
	p.scaled = false
	return n
}

// Size is the number of variables and rows.
func (p *Problem) Size() (vars, rows int) { return len(p.cols), len(p.rhs) }

// SetCost changes a variable's cost.
func (p *Problem) SetCost(v int, cost float64) { p.cost[v] = cost }

// SetBounds changes a variable's bounds.
func (p *Problem) SetBounds(v int, lo, hi float64) {
	p.lo[v], p.hi[v] = lo, hi
	if p.at[v] != inBasis {
		if p.at[v] == atZero || p.at[v] == atLower && math.IsInf(lo, 0) || p.at[v] == atUpper && math.IsInf(hi, 0) {
			p.at[v] = start(lo, hi)
		}
	}
}

// Bounds are a variable's.
func (p *Problem) Bounds(v int) (lo, hi float64) { return p.lo[v], p.hi[v] }

// SetRight changes a row's right side.
func (p *Problem) SetRight(row int, rhs float64) { p.rhs[row] = rhs }

// Solution is what a solution found, in the problem's own units.
type Solution struct {
	Status    Status
	Objective float64
	X         []float64 // by variable
	// Dual is the price of each row's right side: what the objective changes by for one
	// more of it. Where the problem is infeasible it is Farkas' proof instead: the rows
	// by these factors add up to something that no values within bounds can meet.
	Dual []float64
	// Reduced is each variable's reduced cost, and SlackReduced each row's: away from
	// zero only where every optimal solution has it at the bound where it is.
	Reduced, SlackReduced []float64
}

// check says which numbers can't be used.
func (p *Problem) check() error {
	if len(p.cols)+len(p.rhs)+p.terms > sizeMost {
		return ErrSize
	}
	for v := range p.cols {
		if math.IsNaN(p.cost[v]) || math.IsInf(p.cost[v], 0) || math.IsNaN(p.lo[v]) || math.IsNaN(p.hi[v]) || math.IsInf(p.lo[v], 1) || math.IsInf(p.hi[v], -1) {
			return fmt.Errorf("simplex: variable %d: cost or bounds are no numbers", v)
		}
		for _, a := range p.cols[v].vals {
			if math.IsNaN(a) || math.IsInf(a, 0) {
				return fmt.Errorf("simplex: variable %d: a coefficient is no number", v)
			}
		}
	}
	for r, b := range p.rhs {
		if math.IsNaN(b) || math.IsInf(b, 0) {
			return fmt.Errorf("simplex: row %d: the right side is no number", r)
		}
	}
	return nil
}

// scale finds powers of two that bring the coefficients near one.
func (p *Problem) scale() {
	n, m := len(p.cols), len(p.rhs)
	p.colScale, p.rowScale = ones(n), ones(m)
	lo, hi := make([]float64, m), make([]float64, m)
	for range 4 {
		for r := range m {
			lo[r], hi[r] = math.Inf(1), 0
		}
		for v, c := range p.cols {
			for k, r := range c.rows {
				a := math.Abs(c.vals[k]) * p.colScale[v]
				lo[r], hi[r] = min(lo[r], a), max(hi[r], a)
			}
		}
		for r := range m {
			if hi[r] > 0 {
				p.rowScale[r] = power(1 / math.Sqrt(lo[r]*hi[r]))
			}
		}
		for v, c := range p.cols {
			l, h := math.Inf(1), 0.0
			for k, r := range c.rows {
				a := math.Abs(c.vals[k]) * p.rowScale[r]
				l, h = min(l, a), max(h, a)
			}
			if h > 0 {
				p.colScale[v] = power(1 / math.Sqrt(l*h))
			}
		}
	}
	p.scaled = true
}

func ones(n int) []float64 {
	all := make([]float64, n)
	for i := range all {
		all[i] = 1
	}
	return all
}

// power is the power of two next to x.
func power(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 0) {
		return 1
	}
	return math.Ldexp(1, int(math.Round(math.Log2(x))))
}

// Hold makes a row's slack stay where it is: at nothing.
func (p *Problem) Hold(row int) { p.sense[row] = EQ }

// Clone returns a problem of its own, with the basis of this one.
func (p *Problem) Clone() *Problem {
	q := *p
	q.cols = make([]column, len(p.cols))
	for v, c := range p.cols {
		q.cols[v] = column{rows: slices.Clip(c.rows), vals: slices.Clip(c.vals)}
	}
	q.lo, q.hi, q.cost = slices.Clone(p.lo), slices.Clone(p.hi), slices.Clone(p.cost)
	q.sense, q.rhs = slices.Clone(p.sense), slices.Clone(p.rhs)
	q.rowScale, q.colScale = slices.Clone(p.rowScale), slices.Clone(p.colScale)
	q.basis, q.at, q.slackPlace = slices.Clone(p.basis), slices.Clone(p.at), slices.Clone(p.slackPlace)
	return &q
}
