package simplex

import (
	"fmt"
	"math"
)

// Certificate holds the errors of a solution, computed from the problem and the solution alone.
type Certificate struct {
	Primal float64 // largest violation of a row or bound, relative to its size
	// Gap is the difference of the objective and the bound that the duals prove, relative to their
	// size.
	Gap float64
}

// Certify returns how far an optimal solution violates the rows and bounds, and how far its
// objective is from the lower bound that its duals prove by weak duality. It uses nothing that
// the solver computed on the way.
func (p *Problem) Certify(solution *Solution) Certificate {
	var certificate Certificate
	rowSums, rowScales := make([]float64, len(p.rhs)), make([]float64, len(p.rhs))
	for v := range p.cols {
		for k, r := range p.cols[v].rows {
			t := p.cols[v].coeffs[k] * solution.Values[v]
			rowSums[r] += t
			rowScales[r] = max(rowScales[r], math.Abs(t))
		}
		if lower := p.lower[v]; !math.IsInf(lower, 0) {
			certificate.Primal = max(certificate.Primal, (lower-solution.Values[v])/(1+math.Abs(lower)))
		}
		if upper := p.upper[v]; !math.IsInf(upper, 0) {
			certificate.Primal = max(certificate.Primal, (solution.Values[v]-upper)/(1+math.Abs(upper)))
		}
	}
	for r, b := range p.rhs {
		violation := rowSums[r] - b
		if p.senses[r] == LE && violation < 0 || p.senses[r] == GE && violation > 0 {
			violation = 0
		}
		certificate.Primal = max(certificate.Primal, math.Abs(violation)/max(rowScales[r], math.Abs(b), 1e-300))
	}
	bound, magnitude := p.dualBound(solution.Duals, p.costs)
	certificate.Gap = math.Abs(solution.Objective-bound) / max(1e-300, magnitude, math.Abs(solution.Objective))
	return certificate
}

// VerifyInfeasible returns nil if the duals of an infeasible solution prove that no values
// within the bounds meet the rows.
func (p *Problem) VerifyInfeasible(solution *Solution) error {
	bound, magnitude := p.dualBound(solution.Duals, make([]float64, len(p.cols)))
	if !(bound > 1e-10*magnitude) {
		return fmt.Errorf("simplex: the duals prove no infeasibility: the lower bound of the weighted rows is %g at a magnitude of %g, expected above 0", bound, magnitude)
	}
	return nil
}

// dualBound returns the minimum of cost x + y (b - A x - s) over the bounds of x and of the
// slacks s, where y are the duals: a lower bound of the objective over all values that meet the
// rows. It also returns the largest absolute term of that sum. Reduced costs that are no larger
// than the rounding error of the terms they are computed from count as 0.
func (p *Problem) dualBound(duals, costs []float64) (bound, magnitude float64) {
	maxCost := 0.0
	for _, c := range costs {
		maxCost = max(maxCost, math.Abs(c))
	}
	addTerm := func(reducedCost, scale, lower, upper float64) {
		if math.Abs(reducedCost) <= 1e-9*scale || math.Abs(reducedCost) <= dualNoise*maxCost {
			return
		}
		extreme := lower
		if reducedCost < 0 {
			extreme = upper
		}
		bound += reducedCost * extreme
		if !math.IsInf(extreme, 0) {
			magnitude = max(magnitude, math.Abs(reducedCost*extreme))
		}
	}
	for r, b := range p.rhs {
		bound += duals[r] * b
		magnitude = max(magnitude, math.Abs(duals[r]*b))
		switch p.senses[r] {
		case LE: // the slack is 0 or more
			addTerm(-duals[r], 0, 0, math.Inf(1))
		case GE:
			addTerm(-duals[r], 0, math.Inf(-1), 0)
		}
	}
	for v := range p.cols {
		reducedCost, scale := costs[v], math.Abs(costs[v])
		for k, r := range p.cols[v].rows {
			t := duals[r] * p.cols[v].coeffs[k]
			reducedCost -= t
			scale += math.Abs(t)
		}
		addTerm(reducedCost, scale, p.lower[v], p.upper[v])
	}
	return bound, magnitude
}
