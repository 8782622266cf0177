package simplex

import (
	"cmp"
	"math"
	"slices"
)

// solver is the state of one call of Solve: the scaled problem, with the slack of row r as column
// varCount+r. In each row the terms and the slack add up to the right-hand side.
type solver struct {
	problem             *Problem
	varCount, rowCount  int
	cols                []column
	lower, upper        []float64
	costs               []float64
	rhs                 []float64
	statuses            []varStatus
	basis               []int // by row
	values              []float64
	etas                []eta
	refactoredEtas      int       // number of etas after the last refactorization
	duals, reducedCosts []float64 // by row; by column
	pivotColumn         []float64 // the basis' inverse times the column that ftran was called with
	inPhase1            bool
	stalledSteps        int // steps since the last one of a length above feasibilityTolerance
}

// eta is one factor of the basis' inverse: the identity matrix except for column pivotRow.
type eta struct {
	pivotRow     int
	rows         []int32
	coeffs       []float64
	inversePivot float64
}

// Solve minimises the cost. If stop is not nil, it is called every 16 steps, and the status is
// Stopped once it returns true. An error says that the problem is too large or has an invalid
// number.
func (p *Problem) Solve(stop func() bool) (*Solution, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	if !p.scaled {
		p.computeScales()
	}
	s := p.newSolver()
	status := s.iterate(stop)
	return s.buildSolution(status), nil
}

// newSolver returns a solver of the scaled problem that starts from the last basis.
func (p *Problem) newSolver() *solver {
	varCount, rowCount := len(p.cols), len(p.rhs)
	s := &solver{problem: p, varCount: varCount, rowCount: rowCount,
		cols: make([]column, varCount+rowCount), lower: make([]float64, varCount+rowCount), upper: make([]float64, varCount+rowCount),
		costs: make([]float64, varCount+rowCount), rhs: make([]float64, rowCount),
		statuses: make([]varStatus, varCount+rowCount), basis: make([]int, rowCount), values: make([]float64, varCount+rowCount),
		duals: make([]float64, rowCount), reducedCosts: make([]float64, varCount+rowCount), pivotColumn: make([]float64, rowCount)}
	// Costs are divided so that the largest is about 1, which does not change the optimum:
	// dualNoise assumes that scale.
	maxCost := 0.0
	for v := range varCount {
		maxCost = max(maxCost, math.Abs(p.costs[v]*p.colScale[v]))
	}
	maxCost = cmp.Or(nearestPowerOfTwo(maxCost), 1)
	for v := range varCount {
		c := column{rows: p.cols[v].rows, coeffs: make([]float64, len(p.cols[v].coeffs))}
		for k, r := range c.rows {
			c.coeffs[k] = p.cols[v].coeffs[k] * p.colScale[v] * p.rowScale[r]
		}
		s.cols[v] = c
		s.lower[v], s.upper[v], s.costs[v] = p.lower[v]/p.colScale[v], p.upper[v]/p.colScale[v], p.costs[v]*p.colScale[v]/maxCost
		s.statuses[v] = p.statuses[v]
	}
	for r := range rowCount {
		s.cols[varCount+r] = column{rows: []int32{int32(r)}, coeffs: []float64{1}}
		s.rhs[r] = p.rhs[r] * p.rowScale[r]
		switch p.senses[r] {
		case LE:
			s.lower[varCount+r], s.upper[varCount+r] = 0, math.Inf(1)
		case GE:
			s.lower[varCount+r], s.upper[varCount+r] = math.Inf(-1), 0
		}
		s.statuses[varCount+r] = p.slackStatuses[r]
		if s.basis[r] = p.basis[r]; s.basis[r] < 0 {
			s.basis[r] = varCount - 1 - p.basis[r]
		}
	}
	return s
}

// nonbasicValue returns the value of a variable that is not in the basis.
func (s *solver) nonbasicValue(variable int) float64 {
	switch s.statuses[variable] {
	case atLower:
		return s.lower[variable]
	case atUpper:
		return s.upper[variable]
	}
	return 0
}

// refactorize recomputes the basis' inverse from its columns, and the values from the inverse.
// Columns that depend linearly on others are replaced by slacks; if values then violate their
// bounds, the first phase repairs that.
func (s *solver) refactorize() {
	s.problem.Refactorizations++
	s.etas = s.etas[:0]
	basicVars := slices.Clone(s.basis)
	// Short columns come first, slacks before all others: most of a basis is nearly triangular,
	// and this order adds few nonzeros.
	slices.SortFunc(basicVars, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(s.cols[a].rows), len(s.cols[b].rows)), cmp.Compare(b, a))
	})
	takenRows := make([]bool, s.rowCount)
	pendingColumns := make([]int, s.rowCount) // by row, unprocessed columns with a coefficient there
	for _, j := range basicVars {
		for _, r := range s.cols[j].rows {
			pendingColumns[r]++
		}
	}
	var dropped []int
	for _, j := range basicVars {
		s.ftran(j)
		for _, r := range s.cols[j].rows {
			pendingColumns[r]--
		}
		pivotRow, maxAbs := -1, 0.0
		for r, a := range s.pivotColumn {
			if !takenRows[r] {
				maxAbs = max(maxAbs, math.Abs(a))
			}
		}
		if maxAbs > minPivot {
			for r, a := range s.pivotColumn {
				if !takenRows[r] && math.Abs(a) >= 0.1*maxAbs && (pivotRow < 0 || pendingColumns[r] < pendingColumns[pivotRow]) {
					pivotRow = r
				}
			}
		}
		if pivotRow < 0 {
			dropped = append(dropped, j)
			continue
		}
		takenRows[pivotRow] = true
		s.basis[pivotRow] = j
		s.appendEta(pivotRow)
	}
	for r := range s.rowCount {
		if takenRows[r] {
			continue
		}
		j := dropped[0]
		dropped = dropped[1:]
		s.statuses[j] = nearestBound(s.lower[j], s.upper[j], s.values[j])
		s.statuses[s.varCount+r], s.basis[r] = inBasis, s.varCount+r
		s.ftran(s.varCount + r)
		s.appendEta(r)
	}
	s.refactoredEtas = len(s.etas)
	s.computeBasicValues()
}

// nearestBound returns the status that puts a variable at the finite bound nearest to value.
func nearestBound(lower, upper, value float64) varStatus {
	switch {
	case math.IsInf(lower, 0) && math.IsInf(upper, 0):
		return atZero
	case math.IsInf(upper, 0) || value-lower <= upper-value:
		return atLower
	}
	return atUpper
}

// computeBasicValues computes the values of the basic variables from those of all others.
func (s *solver) computeBasicValues() {
	rhs := slices.Clone(s.rhs)
	for j := range s.cols {
		if s.statuses[j] == inBasis {
			continue
		}
		if s.values[j] = s.nonbasicValue(j); s.values[j] != 0 {
			for k, r := range s.cols[j].rows {
				rhs[r] -= s.cols[j].coeffs[k] * s.values[j]
			}
		}
	}
	s.applyInverse(rhs)
	for r, j := range s.basis {
		s.values[j] = rhs[r]
	}
}

// ftran (forward transformation) sets pivotColumn to the basis' inverse times the column of a
// variable.
func (s *solver) ftran(variable int) {
	clear(s.pivotColumn)
	for k, r := range s.cols[variable].rows {
		s.pivotColumn[r] = s.cols[variable].coeffs[k]
	}
	s.applyInverse(s.pivotColumn)
}

// applyInverse multiplies a column vector by the basis' inverse, in place.
func (s *solver) applyInverse(vector []float64) {
	for i := range s.etas {
		e := &s.etas[i]
		t := vector[e.pivotRow]
		if t == 0 {
			continue
		}
		vector[e.pivotRow] = e.inversePivot * t
		for k, r := range e.rows {
			vector[r] += e.coeffs[k] * t
		}
	}
}

// btran (backward transformation) multiplies duals, taken as a row vector, by the basis'
// inverse, in place.
func (s *solver) btran() {
	for i := len(s.etas) - 1; i >= 0; i-- {
		e := &s.etas[i]
		t := e.inversePivot * s.duals[e.pivotRow]
		for k, r := range e.rows {
			t += e.coeffs[k] * s.duals[r]
		}
		s.duals[e.pivotRow] = t
	}
}

// appendEta appends the factor that turns pivotColumn into the unit column of a row.
func (s *solver) appendEta(row int) {
	e := eta{pivotRow: row, inversePivot: 1 / s.pivotColumn[row]}
	for r, a := range s.pivotColumn {
		if r != row && math.Abs(a) > 1e-14 {
			e.rows = append(e.rows, int32(r))
			e.coeffs = append(e.coeffs, -a/s.pivotColumn[row])
		}
	}
	s.etas = append(s.etas, e)
}

// boundViolation returns by how much a value is above its upper bound, as a negative number by
// how much it is below its lower bound, or 0 if it is within both, up to feasibilityTolerance.
func (s *solver) boundViolation(variable int) float64 {
	value := s.values[variable]
	if excess := s.lower[variable] - value; excess > feasibilityTolerance*(1+math.Abs(s.lower[variable])) {
		return -excess
	}
	if excess := value - s.upper[variable]; excess > feasibilityTolerance*(1+math.Abs(s.upper[variable])) {
		return excess
	}
	return 0
}

// chooseEntering computes duals and reduced costs and returns the variable that enters the
// basis: the one with the largest reduced cost, or under Bland's rule the first that improves the
// objective. It returns -1 if no variable does. While a basic variable violates a bound, the
// objective is the sum of infeasibilities (inPhase1).
func (s *solver) chooseEntering(bland bool) int {
	s.inPhase1 = false
	for r, j := range s.basis {
		violation := s.boundViolation(j)
		s.duals[r] = 0
		if violation != 0 {
			s.inPhase1 = true
			s.duals[r] = math.Copysign(1, violation)
		}
	}
	if !s.inPhase1 {
		for r, j := range s.basis {
			s.duals[r] = s.costs[j]
		}
	}
	s.btran()
	entering, maxReducedCost := -1, 0.0
	for j := range s.cols {
		if s.statuses[j] == inBasis {
			s.reducedCosts[j] = 0
			continue
		}
		reducedCost, magnitude := 0.0, 0.0
		if !s.inPhase1 {
			reducedCost = s.costs[j]
			magnitude = math.Abs(reducedCost)
		}
		for k, r := range s.cols[j].rows {
			t := s.duals[r] * s.cols[j].coeffs[k]
			reducedCost -= t
			magnitude += math.Abs(t)
		}
		if math.Abs(reducedCost) <= reducedCostTolerance*magnitude || math.Abs(reducedCost) <= dualNoise {
			reducedCost = 0
		}
		s.reducedCosts[j] = reducedCost
		if reducedCost == 0 || s.lower[j] == s.upper[j] || s.statuses[j] == atLower && reducedCost > 0 || s.statuses[j] == atUpper && reducedCost < 0 {
			continue
		}
		if bland {
			return j
		}
		if math.Abs(reducedCost) > maxReducedCost {
			entering, maxReducedCost = j, math.Abs(reducedCost)
		}
	}
	return entering
}

// iterate takes simplex steps until the problem is solved, proven to have no solution or
// unbounded, or until it is stopped.
func (s *solver) iterate(stop func() bool) Status {
	s.refactorize()
	maxSteps := max(minStepLimit, stepLimitPerDimension*(s.varCount+s.rowCount))
	for steps := 0; ; steps++ {
		if steps >= maxSteps || steps%16 == 0 && stop != nil && stop() {
			s.chooseEntering(false)
			return Stopped
		}
		if len(s.etas)-s.refactoredEtas >= refactorInterval {
			s.refactorize()
		}
		bland := s.stalledSteps > 2*s.rowCount+100
		entering := s.chooseEntering(bland)
		if entering < 0 {
			if len(s.etas) > s.refactoredEtas { // the result must also hold after a refactorization
				s.refactorize()
				if entering = s.chooseEntering(bland); entering >= 0 {
					continue
				}
			}
			if s.inPhase1 {
				return Infeasible
			}
			return Optimal
		}
		s.problem.Steps++
		if !s.pivot(entering, bland) {
			if s.inPhase1 { // rounding error: the sum of infeasibilities can't be unbounded
				s.refactorize()
				s.stalledSteps++
				if s.stalledSteps > 4*s.rowCount+1000 {
					return Stopped
				}
				continue
			}
			return Unbounded
		}
	}
}

// pivot moves the entering variable as far as its own bounds and those of the basic variables
// allow, and exchanges it for the basic variable that limits the move. It returns false if nothing
// limits it.
func (s *solver) pivot(entering int, bland bool) bool {
	s.ftran(entering)
	direction := 1.0
	if s.reducedCosts[entering] > 0 {
		direction = -1
	}
	// blockingStep returns how far the entering variable can move until the basic variable of a
	// row reaches a bound, whether that is its upper bound, and whether there is such a bound. A
	// variable within its bounds stops at the next one, and one outside at the bound that it
	// violates.
	blockingStep := func(row int) (distance float64, upperBound, blocks bool) {
		basicVar, rate := s.basis[row], -direction*s.pivotColumn[row]
		if math.Abs(rate) <= minPivot {
			return 0, false, false
		}
		violation := s.boundViolation(basicVar)
		switch {
		case rate > 0 && violation < 0:
			return (s.lower[basicVar] - s.values[basicVar]) / rate, false, true
		case rate > 0 && violation == 0 && !math.IsInf(s.upper[basicVar], 0):
			return (s.upper[basicVar] - s.values[basicVar]) / rate, true, true
		case rate < 0 && violation > 0:
			return (s.upper[basicVar] - s.values[basicVar]) / rate, true, true
		case rate < 0 && violation == 0 && !math.IsInf(s.lower[basicVar], 0):
			return (s.lower[basicVar] - s.values[basicVar]) / rate, false, true
		}
		return 0, false, false
	}
	// Harris' ratio test: find the maximum step with bounds widened by the tolerance, then take
	// the largest pivot among the rows that block within it. Under Bland's rule there is no
	// tolerance, and the blocking variable with the lowest index leaves.
	maxStep := math.Inf(1)
	for row := range s.rowCount {
		if distance, _, blocks := blockingStep(row); blocks {
			tolerance := feasibilityTolerance / math.Abs(s.pivotColumn[row])
			if bland {
				tolerance = 0
			}
			maxStep = min(maxStep, max(distance, 0)+tolerance)
		}
	}
	leavingRow, leavesAtUpper, pivotSize := -1, false, 0.0
	for row := range s.rowCount {
		distance, upperBound, blocks := blockingStep(row)
		if !blocks || max(distance, 0) > maxStep {
			continue
		}
		a := math.Abs(s.pivotColumn[row])
		if bland && leavingRow >= 0 && s.basis[row] > s.basis[leavingRow] || !bland && a <= pivotSize {
			continue
		}
		leavingRow, leavesAtUpper, pivotSize = row, upperBound, a
	}
	stepLength := math.Inf(1)
	if leavingRow >= 0 {
		distance, _, _ := blockingStep(leavingRow)
		stepLength = max(distance, 0)
	}
	boundRange := s.upper[entering] - s.lower[entering]
	if boundRange <= stepLength && !math.IsInf(boundRange, 0) {
		// The variable moves to its other bound, and the basis stays.
		s.moveVariable(entering, direction*boundRange)
		if s.statuses[entering] == atLower {
			s.statuses[entering] = atUpper
		} else {
			s.statuses[entering] = atLower
		}
		s.values[entering] = s.nonbasicValue(entering)
		s.stalledSteps = 0
		return true
	}
	if leavingRow < 0 {
		return false
	}
	if stepLength > feasibilityTolerance {
		s.stalledSteps = 0
	} else {
		s.stalledSteps++
	}
	s.moveVariable(entering, direction*stepLength)
	basicVar := s.basis[leavingRow]
	s.statuses[basicVar], s.statuses[entering] = atLower, inBasis
	if leavesAtUpper {
		s.statuses[basicVar] = atUpper
	}
	s.values[basicVar] = s.nonbasicValue(basicVar)
	s.basis[leavingRow] = entering
	s.appendEta(leavingRow)
	return true
}

// moveVariable adds an amount to a variable that is not in the basis and adjusts the basic
// variables. pivotColumn must be that variable's column times the basis' inverse.
func (s *solver) moveVariable(variable int, amount float64) {
	if amount == 0 {
		return
	}
	s.values[variable] += amount
	for r, a := range s.pivotColumn {
		if a != 0 {
			s.values[s.basis[r]] -= a * amount
		}
	}
}

// buildSolution stores the basis in the problem for the next call of Solve and returns the
// solution in the problem's units.
func (s *solver) buildSolution(status Status) *Solution {
	p := s.problem
	solution := &Solution{Status: status, Values: make([]float64, s.varCount), Duals: make([]float64, s.rowCount), ReducedCosts: make([]float64, s.varCount), SlackReducedCosts: make([]float64, s.rowCount)}
	maxCost := 0.0
	for v := range s.varCount {
		maxCost = max(maxCost, math.Abs(p.costs[v]*p.colScale[v]))
	}
	maxCost = cmp.Or(nearestPowerOfTwo(maxCost), 1)
	if s.inPhase1 {
		maxCost = 1
	}
	for v := range s.varCount {
		p.statuses[v] = s.statuses[v]
		x := s.values[v] * p.colScale[v]
		solution.Values[v] = min(max(x, p.lower[v]), p.upper[v])
		solution.Objective += p.costs[v] * solution.Values[v]
		solution.ReducedCosts[v] = s.reducedCosts[v] / p.colScale[v] * maxCost
	}
	for r := range s.rowCount {
		p.slackStatuses[r] = s.statuses[s.varCount+r]
		if p.basis[r] = s.basis[r]; s.basis[r] >= s.varCount {
			p.basis[r] = -1 - (s.basis[r] - s.varCount)
		}
		// A slack's reduced cost is the negated dual of its row, with rounding noise already
		// removed. A basic slack has a dual of 0 unless it violates its bounds in an infeasible
		// problem.
		dual := -s.reducedCosts[s.varCount+r]
		if s.statuses[s.varCount+r] == inBasis && s.inPhase1 && s.boundViolation(s.varCount+r) != 0 {
			dual = s.duals[r]
		}
		solution.Duals[r] = dual * p.rowScale[r] * maxCost
		solution.SlackReducedCosts[r] = s.reducedCosts[s.varCount+r] * p.rowScale[r] * maxCost
	}
	return solution
}
