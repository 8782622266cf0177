package plan

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"chalkrack/internal/simplex"
)

// Status is the result of planning a fleet.
type Status string

const (
	Satisfied     Status = "held"          // all demand is served
	Short         Status = "short"         // some demand is not served: see Plan.Served
	Contradictory Status = "contradictory" // no plan meets all limits: see Plan.Conflicts
)

// Options control Solve.
type Options struct {
	// Stop may be nil. Solve calls it at intervals, and ends with the best plan found once it
	// returns true.
	Stop     func() bool
	Progress func(Search) // nil or called with each better choice of nodes
	Losses   bool         // compute the effect of the loss of each zone and node
	Robust   bool         // with Fleet.Choose: choose nodes that survive these losses
	Gains    bool         // compute what one more node of each kind in each zone would gain
}

// Plan is the result of Solve. If Status is Contradictory, only Conflicts is set.
type Plan struct {
	Status    Status     `json:"status"`
	Conflicts [][]string `json:"conflicts,omitempty"`

	Demand   float64            `json:"demand"`   // work, in seconds of a core of speed 1 per second
	Capacity float64            `json:"capacity"` // usable capacity of the nodes in use, as Demand
	Served   map[string]float64 `json:"served"`   // by class, share of its demand that is served
	// Values holds the values of the objectives by name: late requests per second, worth lost per
	// second, cost per hour, share of the work moved and load of the busiest group.
	Values  map[string]float64 `json:"values"`
	Missing []Missing          `json:"missing,omitempty"`
	// Binding describes the limits without which more demand would be served.
	Binding []string   `json:"binding,omitempty"`
	Gains   []Gain     `json:"gains,omitempty"`
	Losses  []Loss     `json:"losses,omitempty"`
	Nodes   []NodePlan `json:"nodes"`
	// Crossing is the share of the work that is done outside its zone of origin.
	Crossing float64 `json:"crossing"`
	// Skipped names the parts, losses or shortage, that were not computed because Options.Stop
	// returned true.
	Skipped []string `json:"left,omitempty"`

	Search *Search `json:"search,omitempty"`
	// Robust gives the price of a choice of nodes that survives losses, and the losses that no
	// choice survives. It is set by Options.Robust.
	Robust *Robust `json:"robust,omitempty"`
}

// Robust compares the price per hour of the nodes in use with and without Options.Robust.
type Robust struct {
	CostWithout float64 `json:"cost_without"`
	CostWith    float64 `json:"cost_with"`
	// Problems lists the losses that no choice of nodes survives. If no choice that survives the
	// other losses was found, the last entry is the reason.
	Problems []string `json:"weak,omitempty"`
}

// Missing is the demand of a class in a zone that is not served.
type Missing struct {
	Class string  `json:"class"`
	Zone  string  `json:"zone"`
	Rate  float64 `json:"rate"` // requests per second
}

// Gain is how much more worth per second would be served with one more node of a kind in a zone:
// the upper bound that the dual price of capacity gives, and the actual gain, found by solving
// with that node.
type Gain struct {
	Kind      string  `json:"kind"`
	Zone      string  `json:"zone"`
	DualBound float64 `json:"dual"`
	Actual    float64 `json:"again"`
}

// NodePlan is the part of a plan for one node.
type NodePlan struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone"`
	Kind     string  `json:"kind"`
	Used     bool    `json:"used"`
	Capacity float64 `json:"capacity"` // usable capacity, as Plan.Demand
	Load     float64 `json:"load"`
	Busy     float64 `json:"busy"`  // Load divided by Capacity
	Share    float64 `json:"share"` // share of all work served
	// Weights holds the node's share of the work that comes from each zone, by zone.
	Weights map[string]float64 `json:"weights"`
	Reasons []string           `json:"why"`
}

// Solve validates a fleet and computes its plan. It returns the error of Validate, or the error of
// a search that was stopped before it found any plan.
func Solve(fleet *Fleet, options Options) (*Plan, error) {
	if err := fleet.Validate(); err != nil {
		return nil, err
	}
	feasible, err := fleet.limitsFeasible(nil, options.Stop)
	if err != nil {
		return nil, err
	}
	if !feasible {
		plan := &Plan{Status: Contradictory}
		plan.Conflicts, err = fleet.Conflicts(options.Stop)
		return plan, err
	}
	plan := &Plan{Values: make(map[string]float64)}
	plannedFleet := fleet
	if fleet.Choose {
		if plannedFleet, err = plan.chooseNodes(fleet, options); err != nil {
			return nil, err
		}
	}
	// Once nodes are chosen the split ignores Stop: it is a few linear programmes, each of
	// bounded steps, and a choice without a split would be of no use.
	splitOptions := options
	if fleet.Choose {
		splitOptions.Stop = nil
	}
	if err := plan.splitWork(plannedFleet, splitOptions); err != nil {
		return nil, err
	}
	// The rest is optional: parts that are stopped are listed in the plan.
	if plan.Status == Short {
		if err := plan.noteSkipped("shortage", plan.explainShortage(plannedFleet, options)); err != nil {
			return nil, err
		}
	}
	if options.Losses {
		if err := plan.noteSkipped("losses", plan.checkLosses(plannedFleet, options)); err != nil {
			return nil, err
		}
	}
	return plan, nil
}

// noteSkipped lists a part as not computed if err says that it was stopped, and returns other
// errors.
func (p *Plan) noteSkipped(part string, err error) error {
	if errors.Is(err, ErrStopped) {
		p.Skipped = append(p.Skipped, part)
		return nil
	}
	return err
}

// chooseNodes finds the nodes to use and returns a fleet in which all others are marked notChosen.
func (p *Plan) chooseNodes(fleet *Fleet, options Options) (*Fleet, error) {
	m := newModel(fleet, nil, false)
	counts, search, err := m.chooseNodeCounts(false, options.Stop, options.Progress)
	if err == nil && counts == nil {
		err = ErrStopped
	}
	if err != nil {
		return nil, err
	}
	p.Search = &search
	if options.Robust {
		robustCounts, robustSearch, unsurvivable, err := m.makeRobust(counts[:len(m.groups)], options.Stop, options.Progress)
		p.Robust = &Robust{CostWithout: m.totalPrice(counts), Problems: unsurvivable}
		switch {
		case errors.Is(err, ErrStopped):
			p.Robust.Problems = append(p.Robust.Problems, "the search was stopped before it found a choice of nodes that survives the losses")
			p.Search.Stopped, robustCounts = true, counts
		case err != nil:
			return nil, err
		case robustCounts == nil:
			p.Robust.Problems = append(p.Robust.Problems, "no choice of nodes within the limits survives the losses that all nodes together would")
			robustCounts = counts
		}
		counts = robustCounts
		p.Robust.CostWith = m.totalPrice(counts)
		p.Search.Cuts = robustSearch.Cuts
		p.Search.Steps += robustSearch.Steps
	}
	chosen := *fleet
	chosen.Choose, chosen.Nodes = false, slices.Clone(fleet.Nodes)
	isChosen := make([]bool, len(fleet.Nodes))
	for n, nodeGroup := range m.groups {
		// Nodes with the largest current share come first, then those first in the fleet file.
		nodes := slices.Clone(nodeGroup.nodeIndexes)
		slices.SortStableFunc(nodes, func(a, b int) int { return cmp.Compare(fleet.Nodes[b].CurrentShare, fleet.Nodes[a].CurrentShare) })
		for _, node := range nodes[:int(counts[n])] {
			isChosen[node] = true
		}
	}
	for n := range chosen.Nodes {
		chosen.Nodes[n].notChosen = !isChosen[n]
	}
	chosen.Limits.MaxNodes, chosen.Limits.MaxPrice = 0, 0 // already met by the choice
	return &chosen, nil
}

// totalPrice returns the price per hour of the nodes in use.
func (m *model) totalPrice(counts []float64) (sum float64) {
	for n, g := range m.groups {
		sum += g.price * counts[n]
	}
	return sum
}

// splitWork computes how the work is split over the nodes in use, and sets the plan's status.
func (p *Plan) splitWork(plannedFleet *Fleet, options Options) error {
	sharesKnown := slices.ContainsFunc(plannedFleet.Nodes, func(d Node) bool { return d.CurrentShare > 0 })
	m := newModel(plannedFleet, nil, sharesKnown)
	objectives := m.objectives()
	if !sharesKnown {
		objectives = slices.Delete(objectives, movesObjective, movesObjective+1)
	}
	values, solution, _, err := solveLexicographic(m.problem, objectives, options.Stop)
	if err != nil {
		return err
	}
	if solution.Status != simplex.Optimal {
		return fmt.Errorf("%w: the linear programme of the split ended as %v", ErrStopped, solution.Status)
	}
	for n, current := range objectives {
		p.Values[current.name] = values[n]
	}
	p.Status = Satisfied
	p.Demand = m.totalWork
	p.Served = m.servedShares(solution.Values)
	for c := range plannedFleet.Classes {
		for z, v := range m.unservedVars[c] {
			if v >= 0 && solution.Values[v] > valueTolerance {
				p.Status = Short
				p.Missing = append(p.Missing, Missing{plannedFleet.Classes[c].Name, m.zoneNames[z], solution.Values[v] * m.rates[c] * m.demandShares[c][z]})
			}
		}
	}
	m.fillNodes(p, solution.Values)
	return nil
}

// fillNodes sets the plan's nodes, capacity and crossing work. Identical nodes get equal parts.
func (m *model) fillNodes(plan *Plan, values []float64) {
	zoneCount := len(m.zoneNames)
	// by class and zone of the nodes, share of the class's work
	classWork := make([][]float64, len(m.workShares))
	for c := range m.workShares {
		classWork[c] = make([]float64, zoneCount)
		for _, g := range m.groups {
			classWork[c][g.zoneIndex] += values[g.workVars[c]]
		}
	}
	servedByZone := make([]float64, zoneCount) // by zone of origin, work that is served
	localWork := 0.0
	plansByName := make(map[string]*NodePlan)
	servedWork := 0.0
	for c := range m.workShares {
		for z := range zoneCount {
			for to := range zoneCount {
				if m.unservedVars[c][z] < 0 {
					continue
				}
				work := m.workShares[c] * m.demandShares[c][z] * values[m.flowVars[c][z][to]]
				servedByZone[z] += work
				servedWork += work
				if z == to {
					localWork += work
				}
			}
		}
	}
	for _, g := range m.groups {
		for _, n := range g.nodeIndexes {
			node := &m.fleet.Nodes[n]
			nodePlan := &NodePlan{Name: node.Name, Zone: node.Zone, Kind: node.Kind, Used: !g.unusable, Capacity: g.nodeCapacity * m.totalWork, Weights: make(map[string]float64)}
			for c := range m.workShares {
				nodeShare := values[g.workVars[c]] / float64(len(g.nodeIndexes))
				nodePlan.Load += nodeShare * m.workShares[c] * m.totalWork
				for z, name := range m.zoneNames {
					if m.unservedVars[c][z] < 0 || servedByZone[z] == 0 || classWork[c][g.zoneIndex] == 0 {
						continue
					}
					nodePlan.Weights[name] += m.workShares[c] * m.demandShares[c][z] * values[m.flowVars[c][z][g.zoneIndex]] / servedByZone[z] * nodeShare / classWork[c][g.zoneIndex]
				}
			}
			if nodePlan.Capacity > 0 {
				nodePlan.Busy = nodePlan.Load / nodePlan.Capacity
			}
			if servedWork > 0 {
				nodePlan.Share = nodePlan.Load / m.totalWork / servedWork
			}
			nodePlan.Reasons = m.explainNode(g, node, nodePlan)
			plansByName[node.Name] = nodePlan
			if nodePlan.Used {
				plan.Capacity += nodePlan.Capacity
			}
		}
	}
	for n := range m.fleet.Nodes { // in the order of the fleet file
		plan.Nodes = append(plan.Nodes, *plansByName[m.fleet.Nodes[n].Name])
	}
	if servedWork > 0 {
		plan.Crossing = max(0, 1-localWork/servedWork)
	}
}

// explainNode returns sentences for the operators that explain a node's part.
func (m *model) explainNode(g *group, node *Node, nodePlan *NodePlan) (reasons []string) {
	add := func(text string, args ...any) { reasons = append(reasons, fmt.Sprintf(text, args...)) }
	rawCapacity := float64(node.Cores) * node.Speed
	add("%d cores of speed %.3g can do %.3g s of work per second, of which %.3g is usable", node.Cores, node.Speed, rawCapacity, g.nodeCapacity*m.totalWork)
	var barredClasses []string
	for c, allowed := range g.allowed {
		if !allowed {
			barredClasses = append(barredClasses, m.fleet.Classes[c].Name)
		}
	}
	switch {
	case g.notChosen:
		add("not chosen: what it would add is not worth its price or its place within the limits")
	case g.unusable:
		add("it is being drained and gets no work")
	case len(barredClasses) == len(g.allowed):
		add("it may not serve any class")
	case len(barredClasses) > 0:
		add("it may not serve %s", strings.Join(barredClasses, ", "))
	}
	for n := range m.fleet.Pins {
		if node.matches(m.fleet.Pins[n].Places) {
			add("pins[%d] sends at least %v of class %s to the places that include it", n, m.fleet.Pins[n].MinShare, m.fleet.Pins[n].Class)
		}
	}
	switch {
	case g.unusable:
	case g.nodeCapacity > 0 && nodePlan.Busy > 1-1e-6 && g.limitedByShare:
		add("it has as much of all work as limits.most_of_node allows")
	case g.nodeCapacity > 0 && nodePlan.Busy > 1-1e-6:
		add("its usable capacity is used up")
	case nodePlan.Load == 0:
		add("it gets no work: other nodes do all of it, or at a lower cost")
	default:
		add("%.0f %% of its usable capacity: the load is as even as the limits and prices allow", 100*nodePlan.Busy)
	}
	if maxShare := m.fleet.Limits.MaxZoneShare; maxShare > 0 {
		zoneCapacity := 0.0
		for _, other := range m.groups {
			if other.zoneIndex == g.zoneIndex {
				zoneCapacity += other.nodeCapacity * float64(len(other.nodeIndexes))
			}
		}
		if zoneCapacity > maxShare {
			add("limits.most_of_zone allows its zone %v of all work, less than its nodes can do", maxShare)
		}
	}
	return reasons
}

// explainShortage sets the binding limits of a plan that does not serve all demand, and the gains
// if the options ask for them.
func (p *Plan) explainShortage(plannedFleet *Fleet, options Options) error {
	m := newModel(plannedFleet, nil, false)
	objectives := m.objectives()[worthObjective : worthObjective+1]
	if len(objectives[0].costs) == 0 {
		return nil
	}
	values, solution, _, err := solveLexicographic(m.problem, objectives, options.Stop)
	if err == nil && solution.Status != simplex.Optimal {
		err = ErrStopped
	}
	if err != nil {
		return err
	}
	binding := make(map[limit]bool)
	for r, l := range m.rowLimits {
		if math.Abs(solution.Duals[r]) > valueTolerance {
			binding[l] = true
		}
	}
	for n := range plannedFleet.Classes { // where a class is not allowed but would be served
		c := &plannedFleet.Classes[n]
		for _, g := range m.groups {
			if !g.allowed[n] && solution.ReducedCosts[g.workVars[n]] < -valueTolerance {
				if len(c.OnlyPlaces) > 0 {
					binding[onlyPlacesLimit(c)] = true
				}
				if len(c.ExcludedPlaces) > 0 {
					binding[excludedPlacesLimit(c)] = true
				}
			}
		}
	}
	for _, l := range plannedFleet.allLimits() {
		if binding[l] {
			p.Binding = append(p.Binding, string(l))
		}
	}
	if !options.Gains {
		return nil
	}
	// The dual price of capacity gives an upper bound of the gain. Only the first group of each
	// kind in each zone is examined.
	seen := make(map[string]bool)
	for n, g := range m.groups {
		key := m.zoneNames[g.zoneIndex] + " " + g.kind
		if seen[key] || g.unusable {
			continue
		}
		seen[key] = true
		larger := *plannedFleet
		added := plannedFleet.Nodes[g.nodeIndexes[0]]
		added.Name, added.sameLimitsAs, added.CurrentShare = added.Name+" again", added.Name, 0
		larger.Nodes = append(slices.Clone(plannedFleet.Nodes), added)
		largerModel := newModel(&larger, nil, false)
		largerValues, largerSolution, _, err := solveLexicographic(largerModel.problem, largerModel.objectives()[worthObjective:worthObjective+1], options.Stop)
		if err == nil && largerSolution.Status != simplex.Optimal {
			err = ErrStopped
		}
		if err != nil {
			return err
		}
		p.Gains = append(p.Gains, Gain{Kind: g.kind, Zone: m.zoneNames[g.zoneIndex], DualBound: -solution.Duals[m.capacityRows[n]] * g.nodeCapacity, Actual: values[0] - largerValues[0]})
	}
	slices.SortStableFunc(p.Gains, func(a, b Gain) int { return cmp.Compare(b.Actual, a.Actual) })
	return nil
}

// checkLosses computes the effect of each loss on the plan.
func (p *Plan) checkLosses(plannedFleet *Fleet, options Options) error {
	m := newModel(plannedFleet, nil, false)
	openNodes := make([]float64, len(m.groups))
	for n, g := range m.groups {
		_, openNodes[n] = m.problem.Bounds(g.openVar)
	}
	normalModel := newLossModel(plannedFleet)
	for _, loss := range m.lossCases() {
		afterLoss := normalModel
		if loss.worstCase {
			worstFleet, _ := plannedFleet.worstCase()
			afterLoss = newLossModel(worstFleet)
		}
		values, solution, err := afterLoss.solveAfter(&loss, openNodes, afterLoss.objectives()[:costObjective], options.Stop)
		if err != nil {
			return err
		}
		worthLost := max(0, values[worthObjective]-p.Values["worth"])
		survived := values[lateObjective] <= p.Values["late"]+valueTolerance*max(1, p.Values["late"]) && worthLost <= valueTolerance*max(1, values[worthObjective])
		p.Losses = append(p.Losses, Loss{Name: loss.name, Survived: survived, Served: afterLoss.servedShares(solution.Values), WorthLost: worthLost})
	}
	return nil
}
