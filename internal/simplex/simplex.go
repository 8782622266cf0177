// Package simplex solves linear programmes. Each answer can be checked by a certificate that
// is computed from the problem and the answer alone, independently of the solver.
//
// The method is the revised primal simplex with bounds on all variables (Dantzig, Orden and
// Wolfe 1955; Chvátal, "Linear Programming", chapter 8):
//   - The inverse of the basis is kept as a product of eta columns and refactorized at
//     intervals.
//   - The first phase minimises the sum of infeasibilities from any basis, so that after a
//     changed bound or an added row the solver continues from the last basis.
//   - The leaving variable is chosen by Harris' ratio test (1973), and by Bland's rule (1977)
//     while the solver stalls, which makes cycles impossible.
//   - Rows and columns are scaled by powers of two, which causes no rounding error.
//
// The package has no I/O, clock or goroutines. The same problem takes the same steps on every
// machine.
package simplex

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Status says how a run of the solver ended.
type Status int

const (
	Optimal Status = iota
	Infeasible
	Unbounded
	Stopped // by the caller or by the limit on steps: the values may or may not be feasible
)

// String returns the status as a lower-case word.
func (s Status) String() string {
	return [...]string{"optimal", "infeasible", "unbounded", "stopped"}[s]
}

// Sense is the relation between a row's sum and its right-hand side: <=, = or >=.
type Sense int

const (
	LE Sense = iota
	EQ
	GE
)

// Term is the coefficient Value of the variable Var in a row. Var is an index that AddVar
// returned.
type Term struct {
	Var   int
	Value float64
}

const (
	// feasibilityTolerance is by how much a scaled value may violate a bound, relative to
	// 1 + |bound|.
	feasibilityTolerance = 1e-9
	// reducedCostTolerance is the size below which a reduced cost counts as 0, relative to the sum
	// of the absolute terms that it is computed from.
	reducedCostTolerance = 1e-9
	// dualNoise is the absolute size below which a reduced cost counts as 0, where the largest
	// cost is scaled to 1: rounding leaves about this much when duals cancel out.
	dualNoise        = 1e-11
	minPivot         = 1e-9 // smallest absolute value of a pivot
	refactorInterval = 64   // steps between two refactorizations of the basis
	// The limit on steps is minStepLimit, or stepLimitPerDimension for each row and column if
	// that is more.
	minStepLimit          = 20000
	stepLimitPerDimension = 50
	// maxSize bounds the sum of variables, rows and coefficients, and so the memory: each
	// takes about 100 bytes.
	maxSize = 1 << 22
)

// ErrSize is returned for a problem with more variables, rows and coefficients than maxSize.
var ErrSize = errors.New("simplex: the problem has too many variables, rows and coefficients")

// Problem is a linear programme whose cost is minimised. Between two calls of Solve, variables
// and rows may be added and bounds and costs changed; the next call starts from the last basis.
// It is not safe for concurrent use.
type Problem struct {
	cols             []column // by variable; the rows' slack columns are implied
	lower, upper     []float64
	costs            []float64
	senses           []Sense
	rhs              []float64
	rowScale         []float64
	colScale         []float64
	scaled           bool
	termCount        int
	basis            []int // by row, the basic variable; -1-r: the slack of row r
	statuses         []varStatus
	slackStatuses    []varStatus
	Steps            int // simplex steps of all calls of Solve
	Refactorizations int // refactorizations of the basis, of all calls of Solve
}

// varStatus says whether a variable is in the basis, or else at which bound it is.
type varStatus int8

const (
	atLower varStatus = iota
	atUpper
	atZero // without bounds and not in the basis
	inBasis
)

// column holds the nonzero coefficients of a variable and their rows.
type column struct {
	rows   []int32
	coeffs []float64
}

// AddVar adds a variable with bounds, either of which may be infinite, and returns its index.
func (p *Problem) AddVar(lower, upper, cost float64) int {
	p.cols = append(p.cols, column{})
	p.lower, p.upper, p.costs = append(p.lower, lower), append(p.upper, upper), append(p.costs, cost)
	p.statuses = append(p.statuses, initialStatus(lower, upper))
	p.scaled = false
	return len(p.cols) - 1
}

// initialStatus returns the status of a variable that is not in the basis: at its lower bound,
// at its upper bound if the lower one is infinite, or at 0 if both are.
func initialStatus(lower, upper float64) varStatus {
	switch {
	case !math.IsInf(lower, 0):
		return atLower
	case !math.IsInf(upper, 0):
		return atUpper
	}
	return atZero
}

// AddRow adds a row and returns its index. The terms name variables that have been added, each
// at most once.
func (p *Problem) AddRow(sense Sense, rhs float64, terms ...Term) int {
	row := len(p.rhs)
	for _, t := range terms {
		if t.Value != 0 {
			c := &p.cols[t.Var]
			c.rows, c.coeffs = append(c.rows, int32(row)), append(c.coeffs, t.Value)
			p.termCount++
		}
	}
	p.senses, p.rhs = append(p.senses, sense), append(p.rhs, rhs)
	p.basis = append(p.basis, -1-row)
	p.slackStatuses = append(p.slackStatuses, inBasis)
	p.scaled = false
	return row
}

// Size returns the number of variables and rows.
func (p *Problem) Size() (vars, rows int) { return len(p.cols), len(p.rhs) }

// SetCost sets the cost of a variable.
func (p *Problem) SetCost(variable int, cost float64) { p.costs[variable] = cost }

// SetBounds sets the bounds of a variable. One that is at a bound which becomes infinite moves
// to the other bound, or to 0.
func (p *Problem) SetBounds(variable int, lower, upper float64) {
	p.lower[variable], p.upper[variable] = lower, upper
	if p.statuses[variable] != inBasis {
		if p.statuses[variable] == atZero || p.statuses[variable] == atLower && math.IsInf(lower, 0) || p.statuses[variable] == atUpper && math.IsInf(upper, 0) {
			p.statuses[variable] = initialStatus(lower, upper)
		}
	}
}

// Bounds returns the bounds of a variable.
func (p *Problem) Bounds(v int) (lower, upper float64) { return p.lower[v], p.upper[v] }

// SetRHS sets the right-hand side of a row.
func (p *Problem) SetRHS(row int, rhs float64) { p.rhs[row] = rhs }

// Solution is the result of Solve, in the problem's own units.
type Solution struct {
	Status    Status
	Objective float64
	Values    []float64 // by variable
	// Duals holds each row's dual price: by how much the objective changes if the right-hand
	// side grows by one. If the problem is infeasible it is a Farkas certificate instead: the
	// sum of the rows, weighted by these factors, holds for no values within the bounds.
	Duals []float64
	// ReducedCosts holds each variable's reduced cost, and SlackReducedCosts that of each
	// row's slack. One is nonzero only if every optimal solution has that variable or slack at
	// the bound at which it is here.
	ReducedCosts, SlackReducedCosts []float64
}

// validate returns ErrSize if the problem is too large, and an error that names the variable
// or row if a number is NaN or infinite where it must not be.
func (p *Problem) validate() error {
	if len(p.cols)+len(p.rhs)+p.termCount > maxSize {
		return ErrSize
	}
	for v := range p.cols {
		if math.IsNaN(p.costs[v]) || math.IsInf(p.costs[v], 0) || math.IsNaN(p.lower[v]) || math.IsNaN(p.upper[v]) || math.IsInf(p.lower[v], 1) || math.IsInf(p.upper[v], -1) {
			return fmt.Errorf("simplex: variable %d: the cost must be a finite number, the lower bound a number below +Inf, and the upper bound a number above -Inf", v)
		}
		for _, a := range p.cols[v].coeffs {
			if math.IsNaN(a) || math.IsInf(a, 0) {
				return fmt.Errorf("simplex: variable %d: a coefficient is not a finite number", v)
			}
		}
	}
	for r, b := range p.rhs {
		if math.IsNaN(b) || math.IsInf(b, 0) {
			return fmt.Errorf("simplex: row %d: the right-hand side is not a finite number", r)
		}
	}
	return nil
}

// computeScales sets the factors of rows and columns, powers of two, that bring the
// coefficients near 1.
func (p *Problem) computeScales() {
	varCount, rowCount := len(p.cols), len(p.rhs)
	p.colScale, p.rowScale = ones(varCount), ones(rowCount)
	rowMin, rowMax := make([]float64, rowCount), make([]float64, rowCount)
	for range 4 {
		for r := range rowCount {
			rowMin[r], rowMax[r] = math.Inf(1), 0
		}
		for v, c := range p.cols {
			for k, r := range c.rows {
				a := math.Abs(c.coeffs[k]) * p.colScale[v]
				rowMin[r], rowMax[r] = min(rowMin[r], a), max(rowMax[r], a)
			}
		}
		for r := range rowCount {
			if rowMax[r] > 0 {
				p.rowScale[r] = nearestPowerOfTwo(1 / math.Sqrt(rowMin[r]*rowMax[r]))
			}
		}
		for v, c := range p.cols {
			colMin, colMax := math.Inf(1), 0.0
			for k, r := range c.rows {
				a := math.Abs(c.coeffs[k]) * p.rowScale[r]
				colMin, colMax = min(colMin, a), max(colMax, a)
			}
			if colMax > 0 {
				p.colScale[v] = nearestPowerOfTwo(1 / math.Sqrt(colMin*colMax))
			}
		}
	}
	p.scaled = true
}

func ones(count int) []float64 {
	values := make([]float64, count)
	for i := range values {
		values[i] = 1
	}
	return values
}

// nearestPowerOfTwo returns the power of two whose logarithm is nearest to that of x, or 1 if x
// is not positive and finite.
func nearestPowerOfTwo(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 0) {
		return 1
	}
	return math.Ldexp(1, int(math.Round(math.Log2(x))))
}

// MakeEquality turns a row into an equality, which fixes its slack at 0.
func (p *Problem) MakeEquality(row int) { p.senses[row] = EQ }

// Clone returns an independent copy of the problem with the same basis.
func (p *Problem) Clone() *Problem {
	clone := *p
	clone.cols = make([]column, len(p.cols))
	for v, c := range p.cols {
		clone.cols[v] = column{rows: slices.Clip(c.rows), coeffs: slices.Clip(c.coeffs)}
	}
	clone.lower, clone.upper, clone.costs = slices.Clone(p.lower), slices.Clone(p.upper), slices.Clone(p.costs)
	clone.senses, clone.rhs = slices.Clone(p.senses), slices.Clone(p.rhs)
	clone.rowScale, clone.colScale = slices.Clone(p.rowScale), slices.Clone(p.colScale)
	clone.basis, clone.statuses, clone.slackStatuses = slices.Clone(p.basis), slices.Clone(p.statuses), slices.Clone(p.slackStatuses)
	return &clone
}
