package plan

import (
	"fmt"
	"slices"

	"chalkrack/internal/simplex"
)

// lossCase is a failure that a plan is checked against: a lost zone, one lost node of a group, or
// all nodes at their slow speed and all classes at their busy rate.
type lossCase struct {
	name       string
	zoneIndex  int  // the lost zone; -1: none
	groupIndex int  // the group that loses a node; -1: none
	worstCase  bool // slow nodes and busy classes, see Fleet.worstCase
}

// Loss is the effect of a failure on a plan.
type Loss struct {
	Name string `json:"what"`
	// Survived is true if no more requests are late and no more worth is lost than without the
	// failure.
	Survived bool               `json:"held"`
	Served   map[string]float64 `json:"served"`
	// WorthLost is the worth per second that the plan serves and that is lost after the failure.
	WorthLost float64 `json:"worth_lost_s"`
}

// lossCases returns the failures that a fleet is checked against.
func (m *model) lossCases() (cases []lossCase) {
	for z, name := range m.zoneNames {
		if slices.ContainsFunc(m.groups, func(g *group) bool { return g.zoneIndex == z && !g.unusable }) {
			cases = append(cases, lossCase{name: "zone " + name, zoneIndex: z, groupIndex: -1})
		}
	}
	for n, g := range m.groups {
		if g.unusable {
			continue
		}
		node := &m.fleet.Nodes[g.nodeIndexes[0]]
		name := "node " + node.Name
		if len(g.nodeIndexes) > 1 {
			name = fmt.Sprintf("one of %d nodes like %s", len(g.nodeIndexes), node.Name)
		}
		cases = append(cases, lossCase{name: name, zoneIndex: -1, groupIndex: n})
	}
	if _, differs := m.fleet.worstCase(); differs {
		cases = append(cases, lossCase{name: "slowest nodes and busiest classes", zoneIndex: -1, groupIndex: -1, worstCase: true})
	}
	return cases
}

// lossModel is the linear programme of a fleet after a loss. The availableVar of each group is
// bounded by the number of its nodes that are left. Limits that need not be met after a loss are
// disabled: pins, at_least, and the number and price of nodes in use.
type lossModel struct {
	*model
}

// newLossModel returns the linear programme of a fleet after a loss.
func newLossModel(fleet *Fleet) *lossModel {
	disabled := make(disabledLimits)
	for n := range fleet.Classes {
		disabled[minServedLimit(&fleet.Classes[n])] = true
	}
	for n := range fleet.Pins {
		disabled[pinLimit(n, &fleet.Pins[n])] = true
	}
	disabled[maxNodesLimit(&fleet.Limits)], disabled[maxPriceLimit(&fleet.Limits)] = true, true
	relaxed := *fleet
	relaxed.Choose = true // no node has to be in use
	return &lossModel{newModel(&relaxed, disabled, false)}
}

// nodesLeft returns how many of the open nodes of a group are left after a loss.
func (l *lossCase) nodesLeft(groupIndex int, g *group, openNodes float64) float64 {
	switch {
	case l.zoneIndex == g.zoneIndex:
		return 0
	case l.groupIndex == groupIndex:
		return max(0, openNodes-1)
	}
	return openNodes
}

// solveAfter minimises the objectives after a loss, where openNodes are the nodes of each group in
// use before it. It returns an error if it was stopped.
func (m *lossModel) solveAfter(loss *lossCase, openNodes []float64, objectives []objective, stop func() bool) (values []float64, solution *simplex.Solution, err error) {
	for n, g := range m.groups {
		m.problem.SetBounds(g.availableVar, 0, loss.nodesLeft(n, g, openNodes[n]))
	}
	values, solution, _, err = solveLexicographic(m.problem, objectives, stop)
	if err == nil && solution.Status != simplex.Optimal {
		err = ErrStopped
	}
	return values, solution, err
}

// servedShares returns the share of each class that a solution serves.
func (m *model) servedShares(values []float64) map[string]float64 {
	shares := make(map[string]float64)
	for class := range m.fleet.Classes {
		unserved := 0.0
		for _, t := range m.unservedTerms(class) {
			unserved += t.Value * values[t.Var]
		}
		shares[m.fleet.Classes[class].Name] = max(0, 1-unserved)
	}
	return shares
}

// makeRobust changes a choice of nodes until, after every loss, no more requests that must not be
// late are late than if all nodes had been in use (or, if no class has MustNotBeLate set, no more
// worth is lost). It returns the new choice, or nil if there is none.
//
// Each loss that the choice does not survive adds a cut to the choice of nodes (Benders 1962). The
// number of late requests after a loss falls as more nodes are left and is convex in their numbers,
// so that the reduced costs at one choice give a lower bound for every other choice. A group that
// loses a node counts one node less if any of its nodes is in use. unsurvivable names the losses
// that even all nodes together do not survive without late requests.
func (m *model) makeRobust(counts []float64, stop func() bool, progress func(Search)) (robustCounts []float64, summary Search, unsurvivable []string, err error) {
	objectives := m.objectives()[:lateObjective+1]
	if len(objectives[lateObjective].costs) == 0 { // no class must not be late: worth counts instead
		objectives = m.objectives()[worthObjective : worthObjective+1]
	}
	allNodes := make([]float64, len(m.groups))
	for n, g := range m.groups {
		_, allNodes[n] = m.problem.Bounds(g.openVar)
	}
	type checkedLoss struct {
		lossCase
		model     *lossModel
		bestValue float64
	}
	var checkedLosses []checkedLoss
	normalModel := newLossModel(m.fleet)
	worstFleet, differs := m.fleet.worstCase()
	var worstModel *lossModel
	if differs {
		worstModel = newLossModel(worstFleet)
	}
	for _, loss := range m.lossCases() {
		checked := checkedLoss{lossCase: loss, model: normalModel}
		if loss.worstCase {
			checked.model = worstModel
		}
		values, _, err := checked.model.solveAfter(&loss, allNodes, objectives, stop)
		if err != nil {
			return nil, summary, nil, err
		}
		if checked.bestValue = values[0]; checked.bestValue > valueTolerance {
			unsurvivable = append(unsurvivable, loss.name)
		}
		checkedLosses = append(checkedLosses, checked)
	}
	cutCount := 0
	for {
		cutAdded := false
		for _, checked := range checkedLosses {
			if checked.groupIndex >= 0 && counts[checked.groupIndex] < 0.5 {
				continue // no node of the group is in use, so none can be lost
			}
			values, solution, err := checked.model.solveAfter(&checked.lossCase, counts, objectives, stop)
			if err != nil {
				return nil, summary, unsurvivable, err
			}
			if values[0] <= checked.bestValue+valueTolerance*max(1, checked.bestValue) {
				continue
			}
			if cutCount++; cutCount > maxCuts {
				return nil, summary, unsurvivable, ErrStopped
			}
			cutAdded = true
			rhs := checked.bestValue - values[0]
			var terms []simplex.Term
			anyCoefficient := 0.0
			for n, g := range checked.model.groups {
				reducedCost := solution.ReducedCosts[g.availableVar]
				if reducedCost >= 0 || checked.zoneIndex == g.zoneIndex {
					continue
				}
				rhs += reducedCost * checked.nodesLeft(n, g, counts[n])
				terms = append(terms, simplex.Term{Var: m.groups[n].openVar, Value: reducedCost})
				if checked.groupIndex == n {
					anyCoefficient -= reducedCost
				}
			}
			if checked.groupIndex >= 0 { // the cut binds only if a node of the group is in use
				terms = append(terms, simplex.Term{Var: m.anyOpenVar(checked.groupIndex), Value: anyCoefficient + objectives[0].maxValue()})
				rhs += objectives[0].maxValue()
			}
			m.problem.AddRow(simplex.LE, rhs, terms...)
		}
		if !cutAdded {
			summary.Cuts = cutCount
			return counts, summary, unsurvivable, nil
		}
		nextCounts, search, err := m.chooseNodeCounts(false, stop, progress)
		if search.Stopped && err == nil {
			err = ErrStopped
		}
		if err != nil || nextCounts == nil {
			return nil, search, unsurvivable, err
		}
		counts, summary = nextCounts[:len(m.groups)], search
	}
}

// anyOpenVar returns the variable that is 1 if any node of a group is in use, and adds it if it
// does not exist yet.
func (m *model) anyOpenVar(groupIndex int) int {
	variable, ok := m.anyOpenVarByGroup[groupIndex]
	if !ok {
		variable = m.problem.AddVar(0, 1, 0)
		m.anyOpenVars, m.anyOpenVarByGroup[groupIndex] = append(m.anyOpenVars, variable), variable
		_, maxOpen := m.problem.Bounds(m.groups[groupIndex].openVar)
		m.problem.AddRow(simplex.LE, 0, simplex.Term{Var: m.groups[groupIndex].openVar, Value: 1}, simplex.Term{Var: variable, Value: -max(maxOpen, 1)})
	}
	return variable
}
