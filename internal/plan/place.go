package plan

import (
	"container/heap"
	"errors"
	"math"
	"slices"

	"chalkrack/internal/simplex"
)

const (
	// integerTolerance is how near a number of nodes must be to an integer to count as one.
	integerTolerance = 1e-6
	// maxSearchSteps bounds the steps of a search. Each solves a few linear programmes.
	maxSearchSteps = 4000
	// maxCuts bounds the cuts that makeRobust adds.
	maxCuts = 400
	// valueTolerance is how near two values must be to count as equal, relative to the larger of
	// them and 1.
	valueTolerance = 1e-7
)

// Search describes a search for the number of nodes in use.
type Search struct {
	Steps int       `json:"steps"`
	Cuts  int       `json:"cuts,omitempty"`
	Bound []float64 `json:"bound"` // late, worth, cost: no choice of nodes has lower values
	Best  []float64 `json:"best"`  // late, worth, cost of the best choice found
	// Gap is the difference of Best and Bound at the first of the three values that differs,
	// relative to Best; 0 if Best is proven to be optimal.
	Gap     float64 `json:"gap"`
	Stopped bool    `json:"left,omitempty"` // the search ended before Best was proven to be optimal
}

// ErrStopped is returned if Options.Stop or a limit on steps ended the search before it found any
// answer.
var ErrStopped = errors.New("plan: the search was stopped before it found an answer")

// searchNode is a node of the branch-and-bound tree: bounds on the integer variables, the values
// of the parent's relaxation (nil at the root) and the sequence number.
type searchNode struct {
	lower, upper []float64
	bound        []float64
	sequence     int
}

// frontier is a heap of the open search nodes, the one with the lowest bound first.
type frontier []*searchNode

func (f frontier) Len() int { return len(f) }
func (f frontier) Less(i, j int) bool {
	if c := compareLexicographic(f[i].bound, f[j].bound); c != 0 {
		return c < 0
	}
	return f[i].sequence > f[j].sequence // among equal bounds the newest node, which is the deepest
}
func (f frontier) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *frontier) Push(x any)   { *f = append(*f, x.(*searchNode)) }
func (f *frontier) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// compareLexicographic compares values in their order, with those within valueTolerance as equal,
// and returns -1, 0 or 1.
func compareLexicographic(a, b []float64) int {
	for n := range a {
		if d := a[n] - b[n]; math.Abs(d) > valueTolerance*max(1, math.Abs(a[n]), math.Abs(b[n])) {
			if d < 0 {
				return -1
			}
			return 1
		}
	}
	return 0
}

// chooseNodeCounts returns the number of nodes of each group that should be in use, followed by the
// values of anyOpenVars. It searches by best-first branch and bound (Land and Doig 1960): the
// values of a relaxation, in the order of the objectives, bound those of all integer solutions
// below it in the tree. With feasibleOnly it ends at the first solution that meets the limits,
// whatever its values. The counts are nil if there is no solution, or if none was found before the
// search was stopped; the returned Search tells which.
func (m *model) chooseNodeCounts(feasibleOnly bool, stop func() bool, progress func(Search)) (bestCounts []float64, search Search, err error) {
	objectives := m.objectives()[:movesObjective]
	if feasibleOnly {
		objectives = objectives[:0:0]
		objectives = append(objectives, objective{})
	}
	root := &searchNode{}
	for _, v := range m.integerVars() {
		lower, upper := m.problem.Bounds(v)
		root.lower, root.upper = append(root.lower, lower), append(root.upper, upper)
	}
	defer m.setNodeBounds(root)
	open := &frontier{root}
	nextSequence := 0
	var bestValues []float64
	for open.Len() > 0 {
		current := heap.Pop(open).(*searchNode)
		if bestValues != nil && current.bound != nil && compareLexicographic(current.bound, bestValues) >= 0 {
			break // all other nodes have bounds that are no lower
		}
		if search.Steps >= maxSearchSteps || stop != nil && stop() {
			search.Stopped = true
			heap.Push(open, current)
			break
		}
		search.Steps++
		values, counts, relaxErr := m.solveRelaxation(current, objectives, stop)
		if errors.Is(relaxErr, ErrStopped) {
			search.Stopped = true
			heap.Push(open, current)
			break
		}
		if relaxErr != nil {
			return nil, search, relaxErr
		}
		if values == nil || bestValues != nil && compareLexicographic(values, bestValues) >= 0 {
			continue
		}
		branch, maxFraction := -1, integerTolerance
		for n, x := range counts {
			if d := math.Abs(x - math.Round(x)); d > maxFraction {
				branch, maxFraction = n, d
			}
		}
		if branch < 0 {
			bestValues, bestCounts = values, roundAll(counts, math.Round)
			if feasibleOnly {
				break
			}
			search.Best = bestValues
			if progress != nil {
				progress(search)
			}
			continue
		}
		// All counts rounded up often serve as much as the relaxation; a good solution found
		// early prunes the tree.
		roundedUp := &searchNode{lower: roundAll(counts, ceilWithTolerance), upper: roundAll(counts, ceilWithTolerance)}
		if upValues, upCounts, relaxErr := m.solveRelaxation(roundedUp, objectives, stop); relaxErr == nil && upValues != nil && (bestValues == nil || compareLexicographic(upValues, bestValues) < 0) {
			bestValues, bestCounts = upValues, roundAll(upCounts, math.Round)
			search.Best = bestValues
			if feasibleOnly {
				break
			}
			if progress != nil {
				progress(search)
			}
		}
		for _, higher := range []bool{false, true} {
			child := &searchNode{lower: slices.Clone(current.lower), upper: slices.Clone(current.upper), bound: values, sequence: nextSequence}
			nextSequence++
			if higher {
				child.lower[branch] = math.Ceil(counts[branch])
			} else {
				child.upper[branch] = math.Floor(counts[branch])
			}
			heap.Push(open, child)
		}
	}
	search.Best, search.Bound = bestValues, bestValues
	if search.Stopped && open.Len() > 0 {
		if search.Bound = (*open)[0].bound; search.Bound != nil && bestValues != nil {
			for n := range bestValues {
				if d := bestValues[n] - search.Bound[n]; d > valueTolerance*max(1, math.Abs(bestValues[n])) {
					search.Gap = d / max(math.Abs(bestValues[n]), 1e-9)
					break
				}
			}
		}
	}
	return bestCounts, search, nil
}

// ceilWithTolerance rounds up, but rounds a number just above an integer down to it.
func ceilWithTolerance(x float64) float64 { return math.Ceil(x - integerTolerance) }

// roundAll applies a rounding function to all values.
func roundAll(values []float64, round func(float64) float64) []float64 {
	result := make([]float64, len(values))
	for n, x := range values {
		result[n] = round(x)
	}
	return result
}

// integerVars returns the variables that must be integers: the number of nodes in use of each
// group, then for groups that a cut names whether any node is in use.
func (m *model) integerVars() (variables []int) {
	for _, g := range m.groups {
		variables = append(variables, g.openVar)
	}
	return append(variables, m.anyOpenVars...)
}

// setNodeBounds sets the bounds of the integer variables to those of a search node.
func (m *model) setNodeBounds(node *searchNode) {
	for n, v := range m.integerVars() {
		m.problem.SetBounds(v, node.lower[n], node.upper[n])
	}
}

// solveRelaxation solves a search node without the integrality of its variables. It returns nil
// values if the node has no solution, and an error if it was stopped.
func (m *model) solveRelaxation(node *searchNode, objectives []objective, stop func() bool) (values, counts []float64, err error) {
	m.setNodeBounds(node)
	values, solution, _, err := solveLexicographic(m.problem, objectives, stop)
	switch {
	case err != nil:
		return nil, nil, err
	case solution.Status == simplex.Stopped:
		return nil, nil, ErrStopped
	case solution.Status != simplex.Optimal:
		return nil, nil, nil
	}
	for _, v := range m.integerVars() {
		counts = append(counts, solution.Values[v])
	}
	return values, counts, nil
}

// limitsFeasible reports whether some plan meets all limits that are not disabled.
func (f *Fleet) limitsFeasible(disabled disabledLimits, stop func() bool) (bool, error) {
	m := newModel(f, disabled, false)
	if f.Choose {
		counts, search, err := m.chooseNodeCounts(true, stop, nil)
		if counts == nil && search.Stopped && err == nil {
			err = ErrStopped
		}
		return counts != nil, err
	}
	_, solution, _, err := solveLexicographic(m.problem, []objective{{}}, stop)
	if err == nil && solution.Status == simplex.Stopped {
		err = ErrStopped
	}
	return err == nil && solution.Status == simplex.Optimal, err
}

// Conflicts returns minimal sets of limits that contradict each other: without any one limit of a
// set, the others of the set can be met. Sets share no limit, and there are at most eight; there
// is none if all limits can be met. It runs QuickXplain (Junker 2004) repeatedly, each time without
// the limits of the sets found before.
func (f *Fleet) Conflicts(stop func() bool) (sets [][]string, err error) {
	limits := f.allLimits()
	var found []limit
	for range 8 {
		remaining := slices.DeleteFunc(slices.Clone(limits), func(l limit) bool { return slices.Contains(found, l) })
		feasible := func(enforced []limit) (bool, error) {
			disabled := make(disabledLimits)
			for _, l := range limits {
				disabled[l] = !slices.Contains(enforced, l)
			}
			return f.limitsFeasible(disabled, stop)
		}
		if met, err := feasible(remaining); met || err != nil {
			return sets, err
		}
		set, err := minimalConflict(nil, remaining, false, feasible)
		if err != nil || len(set) == 0 {
			return sets, err
		}
		var descriptions []string
		for _, l := range limits { // in the order of the fleet file
			if slices.Contains(set, l) {
				descriptions = append(descriptions, string(l))
			}
		}
		sets, found = append(sets, descriptions), append(found, set...)
	}
	return sets, nil
}

// minimalConflict returns a minimal subset of the candidates that contradicts the limits of base.
// The candidates together with base must contradict each other. baseGrew says that base has limits
// that the caller has not checked: if base alone is contradictory, the subset is empty.
func minimalConflict(base, candidates []limit, baseGrew bool, feasible func([]limit) (bool, error)) ([]limit, error) {
	if baseGrew {
		if met, err := feasible(base); !met || err != nil {
			return nil, err
		}
	}
	if len(candidates) == 1 {
		return candidates, nil
	}
	half := len(candidates) / 2
	first, second := candidates[:half], candidates[half:]
	fromSecond, err := minimalConflict(slices.Concat(base, first), second, len(first) > 0, feasible)
	if err != nil {
		return nil, err
	}
	fromFirst, err := minimalConflict(slices.Concat(base, fromSecond), first, len(fromSecond) > 0, feasible)
	return slices.Concat(fromFirst, fromSecond), err
}
