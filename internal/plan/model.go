package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"chalkrack/internal/simplex"
)

// limit describes a limit that the operators have set, in the words of the fleet file. Limits can
// contradict each other.
type limit string

// group is a set of nodes that are identical in everything that the linear programme uses.
type group struct {
	zoneIndex      int
	kind           string
	nodeCapacity   float64 // usable capacity of one node, as a share of all work
	limitedByShare bool    // nodeCapacity is set by limits.most_of_node rather than by the cores
	price          float64 // of one node
	unusable       bool    // gets no work: the nodes are drained or left out of use
	notChosen      bool    // left out of use by the choice of nodes
	allowed        []bool  // by class, whether its requests may go there
	currentShare   float64 // current share of all work, of all nodes of the group together
	nodeIndexes    []int   // indexes in Fleet.Nodes
	// Variables of the linear programme: the number of nodes in use, the number of these that
	// remain after a loss, and by class the share of the class's work that the group does.
	openVar, availableVar int
	workVars              []int
}

// model is the linear programme of a fleet. Work is expressed as a share of all work, and flows
// as shares of the demand of a class in a zone, so that the magnitudes of the coefficients do not
// depend on units.
type model struct {
	fleet        *Fleet
	zoneNames    []string
	problem      *simplex.Problem
	groups       []*group
	totalWork    float64     // all work, in seconds of a core of speed 1 per second; 1 without demand
	demandShares [][]float64 // by class and zone, share of the class's work
	workShares   []float64   // by class, share of all work
	rates        []float64   // by class, requests per second
	// Variables of the linear programme.
	unservedVars [][]int   // by class and zone: share of that demand that is not served; -1: no demand
	flowVars     [][][]int // by class, zone of origin and zone of the nodes: share of the demand
	maxBusyVar   int       // largest load of a group, relative to its capacity
	moveVars     []int     // two for each group: work that it gains and that it loses
	// rowLimits holds the limit that a row expresses, by row.
	rowLimits    map[int]limit
	capacityRows []int // by group, the row of its capacity
	// Variables that cuts add, 1 if any node of a group is in use: all of them, and by group.
	anyOpenVars       []int
	anyOpenVarByGroup map[int]int
}

// capacityLimit and the functions below it return the descriptions of limits. Each limit has a
// different description, so that a description serves as the limit's key.
func capacityLimit(zone string) limit { return limit("the capacity of zone " + zone) }
func minServedLimit(class *Class) limit {
	return limit(fmt.Sprintf("classes: %s: at_least %v of its requests are served", class.Name, class.MinServedShare))
}
func onlyPlacesLimit(class *Class) limit {
	return limit(fmt.Sprintf("classes: %s: only %s", class.Name, strings.Join(class.OnlyPlaces, ", ")))
}
func excludedPlacesLimit(class *Class) limit {
	return limit(fmt.Sprintf("classes: %s: not %s", class.Name, strings.Join(class.ExcludedPlaces, ", ")))
}
func pinLimit(index int, pin *Pin) limit {
	return limit(fmt.Sprintf("pins[%d]: at least %v of class %s goes to %s", index, pin.MinShare, pin.Class, strings.Join(pin.Places, ", ")))
}
func drainLimit(node *Node) limit { return limit("nodes: " + node.Name + " has drain = true") }
func freeShareLimit(limits *Limits) limit {
	return limit(fmt.Sprintf("limits.free: %v of each node's capacity stays unused", limits.FreeShare))
}
func nodeShareLimit(limits *Limits) limit {
	return limit(fmt.Sprintf("limits.most_of_node: at most %v of all work on one node", limits.MaxNodeShare))
}
func zoneShareLimit(limits *Limits, zone string) limit {
	return limit(fmt.Sprintf("limits.most_of_zone: at most %v of all work in zone %s", limits.MaxZoneShare, zone))
}
func maxNodesLimit(limits *Limits) limit {
	return limit(fmt.Sprintf("limits.most_nodes: at most %d nodes in use", limits.MaxNodes))
}
func maxPriceLimit(limits *Limits) limit {
	return limit(fmt.Sprintf("limits.most_price: the nodes in use cost at most %v per hour", limits.MaxPrice))
}

// allLimits returns all limits that the operators have set, in the order of the fleet file.
func (f *Fleet) allLimits() (descriptions []limit) {
	for _, z := range f.Zones() {
		descriptions = append(descriptions, capacityLimit(z))
	}
	for n := range f.Nodes {
		if f.Nodes[n].Drain {
			descriptions = append(descriptions, drainLimit(&f.Nodes[n]))
		}
	}
	for n := range f.Classes {
		class := &f.Classes[n]
		if class.MinServedShare > 0 {
			descriptions = append(descriptions, minServedLimit(class))
		}
		if len(class.OnlyPlaces) > 0 {
			descriptions = append(descriptions, onlyPlacesLimit(class))
		}
		if len(class.ExcludedPlaces) > 0 {
			descriptions = append(descriptions, excludedPlacesLimit(class))
		}
	}
	for n := range f.Pins {
		descriptions = append(descriptions, pinLimit(n, &f.Pins[n]))
	}
	limits := &f.Limits
	if limits.FreeShare > 0 {
		descriptions = append(descriptions, freeShareLimit(limits))
	}
	if limits.MaxNodeShare > 0 {
		descriptions = append(descriptions, nodeShareLimit(limits))
	}
	if limits.MaxZoneShare > 0 {
		for _, z := range f.Zones() {
			descriptions = append(descriptions, zoneShareLimit(limits, z))
		}
	}
	if limits.MaxNodes > 0 {
		descriptions = append(descriptions, maxNodesLimit(limits))
	}
	if limits.MaxPrice > 0 {
		descriptions = append(descriptions, maxPriceLimit(limits))
	}
	return descriptions
}

// disabledLimits is the set of limits that a model leaves out.
type disabledLimits map[limit]bool

// enforces reports whether the limit is not disabled.
func (disabled disabledLimits) enforces(l limit) bool { return !disabled[l] }

// newModel returns the linear programme of a fleet without the disabled limits. With perNode each
// node forms a group of its own, so that the work moved from or to each node is known.
func newModel(fleet *Fleet, disabled disabledLimits, perNode bool) *model {
	m := &model{fleet: fleet, zoneNames: fleet.Zones(), problem: new(simplex.Problem), rowLimits: make(map[int]limit), anyOpenVarByGroup: make(map[int]int)}
	m.computeDemand()
	m.groupNodes(disabled, perNode)
	m.addVariables(disabled)
	m.addRows(disabled)
	return m
}

// zoneIndex returns the index of a zone in zoneNames, or -1.
func (m *model) zoneIndex(name string) int { return slices.Index(m.zoneNames, name) }

// computeDemand computes the demand of each class and zone and the total work.
func (m *model) computeDemand() {
	for n := range m.fleet.Classes {
		class := &m.fleet.Classes[n]
		shares := make([]float64, len(m.zoneNames))
		for z, name := range m.zoneNames {
			shares[z] = class.Zones[name]
			if len(class.Zones) == 0 {
				shares[z] = 1 / float64(len(m.zoneNames))
			}
		}
		m.demandShares = append(m.demandShares, shares)
		m.rates = append(m.rates, class.Rate)
		m.workShares = append(m.workShares, class.Rate*class.WorkMS/1000)
		m.totalWork += class.Rate * class.WorkMS / 1000
	}
	if m.totalWork == 0 {
		m.totalWork = 1 // without demand all shares are 0
	}
	for n := range m.workShares {
		m.workShares[n] /= m.totalWork
	}
}

// requestMix returns the mean work of a request and the shortest aim of a class, from which the
// usable capacity of a node is computed.
func (f *Fleet) requestMix() (workMS, aimMS float64) {
	totalRate := 0.0
	for _, c := range f.Classes {
		totalRate += c.Rate
		workMS += c.Rate * c.WorkMS
		if aimMS == 0 || c.AimMS < aimMS {
			aimMS = c.AimMS
		}
	}
	if totalRate == 0 {
		return f.Classes[0].WorkMS, aimMS
	}
	return workMS / totalRate, aimMS
}

// groupNodes puts identical nodes into groups.
func (m *model) groupNodes(disabled disabledLimits, perNode bool) {
	fleet, limits := m.fleet, &m.fleet.Limits
	workMS, aimMS := fleet.requestMix()
	groupsByKey := make(map[string]*group)
	for n := range fleet.Nodes {
		node := &fleet.Nodes[n]
		capacity := UsableCapacity(node, workMS, aimMS, limits.MaxLateShare, limits.MaxFullShare) / m.totalWork
		if limits.FreeShare > 0 && disabled.enforces(freeShareLimit(limits)) {
			capacity *= 1 - limits.FreeShare
		}
		if !disabled.enforces(capacityLimit(node.Zone)) {
			capacity = 1
		}
		if limits.MaxNodeShare > 0 && disabled.enforces(nodeShareLimit(limits)) {
			capacity = min(capacity, limits.MaxNodeShare)
		}
		nodeGroup := &group{zoneIndex: m.zoneIndex(node.Zone), kind: node.Kind, nodeCapacity: capacity, limitedByShare: limits.MaxNodeShare > 0 && capacity == limits.MaxNodeShare, price: node.Price, notChosen: node.notChosen, unusable: node.notChosen || node.Drain && disabled.enforces(drainLimit(node))}
		key := fmt.Sprint(nodeGroup.zoneIndex, " ", nodeGroup.kind, " ", capacity, " ", nodeGroup.price, " ", nodeGroup.unusable, " ", nodeGroup.notChosen, " ", node.Speed, " ", node.SlowSpeed, " ", node.Cores, " ", node.Queue)
		for i := range fleet.Classes {
			class := &fleet.Classes[i]
			allowed := (len(class.OnlyPlaces) == 0 || !disabled.enforces(onlyPlacesLimit(class)) || node.matches(class.OnlyPlaces)) && (len(class.ExcludedPlaces) == 0 || !disabled.enforces(excludedPlacesLimit(class)) || !node.matches(class.ExcludedPlaces))
			nodeGroup.allowed = append(nodeGroup.allowed, allowed)
			key += fmt.Sprint(" ", allowed)
		}
		for i := range fleet.Pins {
			key += fmt.Sprint(" ", node.matches(fleet.Pins[i].Places))
		}
		if perNode {
			key += " " + node.Name
		}
		if groupsByKey[key] == nil {
			groupsByKey[key] = nodeGroup
			m.groups = append(m.groups, nodeGroup)
		}
		nodeGroup = groupsByKey[key]
		nodeGroup.nodeIndexes = append(nodeGroup.nodeIndexes, n)
		nodeGroup.currentShare += node.CurrentShare
	}
}

// addVariables adds the variables of the linear programme and their bounds.
func (m *model) addVariables(disabled disabledLimits) {
	infinity := math.Inf(1)
	for c := range m.fleet.Classes {
		unserved := make([]int, len(m.zoneNames))
		flows := make([][]int, len(m.zoneNames))
		for z := range m.zoneNames {
			unserved[z] = -1
			if m.demandShares[c][z]*m.workShares[c] <= 0 {
				continue
			}
			unserved[z] = m.problem.AddVar(0, 1, 0)
			flows[z] = make([]int, len(m.zoneNames))
			for to := range m.zoneNames {
				flows[z][to] = m.problem.AddVar(0, infinity, 0)
			}
		}
		m.unservedVars, m.flowVars = append(m.unservedVars, unserved), append(m.flowVars, flows)
	}
	for _, g := range m.groups {
		maxOpen, minOpen := float64(len(g.nodeIndexes)), float64(len(g.nodeIndexes))
		if m.fleet.Choose {
			minOpen = 0
		}
		if g.unusable {
			maxOpen, minOpen = 0, 0
		}
		g.openVar = m.problem.AddVar(minOpen, maxOpen, 0)
		g.availableVar = m.problem.AddVar(0, maxOpen, 0)
		g.workVars = make([]int, len(m.fleet.Classes))
		for c := range g.workVars {
			upper := infinity
			if !g.allowed[c] || m.workShares[c] == 0 {
				upper = 0
			}
			g.workVars[c] = m.problem.AddVar(0, upper, 0)
		}
	}
	m.maxBusyVar = m.problem.AddVar(0, infinity, 0)
	for range m.groups {
		m.moveVars = append(m.moveVars, m.problem.AddVar(0, infinity, 0), m.problem.AddVar(0, infinity, 0))
	}
}

// addRows adds the rows of the linear programme.
func (m *model) addRows(disabled disabledLimits) {
	problem, limits := m.problem, &m.fleet.Limits
	for class := range m.fleet.Classes {
		for z := range m.zoneNames {
			if m.unservedVars[class][z] < 0 {
				continue
			}
			row := []simplex.Term{{Var: m.unservedVars[class][z], Value: 1}}
			for to := range m.zoneNames {
				row = append(row, simplex.Term{Var: m.flowVars[class][z][to], Value: 1})
			}
			problem.AddRow(simplex.EQ, 1, row...)
		}
		if m.workShares[class] == 0 {
			continue
		}
		for to := range m.zoneNames { // the work that comes to a zone is done by the zone's nodes
			var row []simplex.Term
			for z := range m.zoneNames {
				if m.unservedVars[class][z] >= 0 {
					row = append(row, simplex.Term{Var: m.flowVars[class][z][to], Value: m.demandShares[class][z]})
				}
			}
			for _, g := range m.groups {
				if g.zoneIndex == to {
					row = append(row, simplex.Term{Var: g.workVars[class], Value: -1})
				}
			}
			problem.AddRow(simplex.EQ, 0, row...)
		}
	}
	for n, g := range m.groups {
		problem.AddRow(simplex.LE, 0, simplex.Term{Var: g.availableVar, Value: 1}, simplex.Term{Var: g.openVar, Value: -1})
		row := append(m.workTerms(g), simplex.Term{Var: g.availableVar, Value: -g.nodeCapacity})
		rowIndex := problem.AddRow(simplex.LE, 0, row...)
		m.capacityRows = append(m.capacityRows, rowIndex)
		m.rowLimits[rowIndex] = capacityLimit(m.zoneNames[g.zoneIndex])
		if g.limitedByShare {
			m.rowLimits[rowIndex] = nodeShareLimit(limits)
		}
		if g.nodeCapacity > 0 {
			problem.AddRow(simplex.LE, 0, append(m.workTerms(g), simplex.Term{Var: m.maxBusyVar, Value: -g.nodeCapacity * float64(len(g.nodeIndexes))})...)
		}
		problem.AddRow(simplex.EQ, g.currentShare, append(m.workTerms(g), simplex.Term{Var: m.moveVars[2*n], Value: -1}, simplex.Term{Var: m.moveVars[2*n+1], Value: 1})...)
	}
	for z, name := range m.zoneNames {
		if limits.MaxZoneShare > 0 && disabled.enforces(zoneShareLimit(limits, name)) {
			var row []simplex.Term
			for _, g := range m.groups {
				if g.zoneIndex == z {
					row = append(row, m.workTerms(g)...)
				}
			}
			m.rowLimits[problem.AddRow(simplex.LE, limits.MaxZoneShare, row...)] = zoneShareLimit(limits, name)
		}
	}
	for n := range m.fleet.Classes {
		class := &m.fleet.Classes[n]
		if class.MinServedShare > 0 && m.workShares[n] > 0 && disabled.enforces(minServedLimit(class)) {
			m.rowLimits[problem.AddRow(simplex.LE, 1-class.MinServedShare, m.unservedTerms(n)...)] = minServedLimit(class)
		}
	}
	for n := range m.fleet.Pins {
		pin := &m.fleet.Pins[n]
		class := slices.IndexFunc(m.fleet.Classes, func(class Class) bool { return class.Name == pin.Class })
		if pin.MinShare == 0 || m.workShares[class] == 0 || !disabled.enforces(pinLimit(n, pin)) {
			continue
		}
		var row []simplex.Term
		for _, g := range m.groups {
			if m.fleet.Nodes[g.nodeIndexes[0]].matches(pin.Places) {
				row = append(row, simplex.Term{Var: g.workVars[class], Value: 1})
			}
		}
		m.rowLimits[problem.AddRow(simplex.GE, pin.MinShare, row...)] = pinLimit(n, pin)
	}
	if limits.MaxNodes > 0 && disabled.enforces(maxNodesLimit(limits)) {
		m.rowLimits[problem.AddRow(simplex.LE, float64(limits.MaxNodes), m.openTerms(func(*group) float64 { return 1 })...)] = maxNodesLimit(limits)
	}
	if limits.MaxPrice > 0 && disabled.enforces(maxPriceLimit(limits)) {
		m.rowLimits[problem.AddRow(simplex.LE, limits.MaxPrice, m.openTerms(func(g *group) float64 { return g.price })...)] = maxPriceLimit(limits)
	}
}

// workTerms returns the sum of a group's work, as a share of all work.
func (m *model) workTerms(g *group) (terms []simplex.Term) {
	for c, v := range g.workVars {
		terms = append(terms, simplex.Term{Var: v, Value: m.workShares[c]})
	}
	return terms
}

// unservedTerms returns the sum of the demand of a class that is not served, as a share of the
// class.
func (m *model) unservedTerms(class int) (terms []simplex.Term) {
	for z, v := range m.unservedVars[class] {
		if v >= 0 {
			terms = append(terms, simplex.Term{Var: v, Value: m.demandShares[class][z]})
		}
	}
	return terms
}

// openTerms returns the sum of a value over all nodes in use.
func (m *model) openTerms(value func(*group) float64) (terms []simplex.Term) {
	for _, g := range m.groups {
		terms = append(terms, simplex.Term{Var: g.openVar, Value: value(g)})
	}
	return terms
}

// objective is a quantity that a plan minimises, given by the costs of variables.
type objective struct {
	name  string
	costs []simplex.Term
}

// maxValue returns an upper bound of the objective's value if its variables are shares of 0 to 1.
func (o *objective) maxValue() (sum float64) {
	for _, t := range o.costs {
		sum += t.Value
	}
	return sum
}

// The objectives, in the order in which they are minimised.
const (
	lateObjective = iota
	worthObjective
	costObjective
	movesObjective
	evennessObjective
	objectiveCount
)

// objectives returns all objectives in their order: late requests per second of classes that must
// not be late, worth lost per second, cost per hour, share of the work moved, and the largest load
// of a group relative to its capacity.
func (m *model) objectives() []objective {
	objectives := make([]objective, objectiveCount)
	objectives[lateObjective].name, objectives[worthObjective].name, objectives[costObjective].name, objectives[movesObjective].name, objectives[evennessObjective].name = "late", "worth", "cost", "moves", "evenness"
	for c := range m.fleet.Classes {
		class := &m.fleet.Classes[c]
		for z, v := range m.unservedVars[c] {
			if v < 0 {
				continue
			}
			requestRate := m.rates[c] * m.demandShares[c][z]
			if class.MustNotBeLate {
				objectives[lateObjective].costs = append(objectives[lateObjective].costs, simplex.Term{Var: v, Value: requestRate})
			}
			objectives[worthObjective].costs = append(objectives[worthObjective].costs, simplex.Term{Var: v, Value: requestRate * class.Worth})
			for _, price := range m.fleet.Prices {
				if to := m.zoneIndex(price.To); price.From == m.zoneNames[z] && to >= 0 {
					objectives[costObjective].costs = append(objectives[costObjective].costs, simplex.Term{Var: m.flowVars[c][z][to], Value: requestRate * price.PerRequest * 3600})
				}
			}
		}
	}
	objectives[costObjective].costs = append(objectives[costObjective].costs, m.openTerms(func(g *group) float64 { return g.price })...)
	for _, v := range m.moveVars {
		objectives[movesObjective].costs = append(objectives[movesObjective].costs, simplex.Term{Var: v, Value: 0.5})
	}
	objectives[evennessObjective].costs = []simplex.Term{{Var: m.maxBusyVar, Value: 1}}
	return objectives
}

// solveLexicographic minimises the objectives one after the other. A variable or slack with a
// nonzero reduced cost is at the same bound in every optimal solution. After each objective these
// variables and slacks are fixed at that bound, so that exactly the optimal solutions remain for
// the next objective. It works on a clone of the problem, which it returns with the values and the
// last solution. At the first objective without an optimum it returns the values of the objectives
// before it, and a solution whose status says why.
func solveLexicographic(problem *simplex.Problem, objectives []objective, stop func() bool) (values []float64, solution *simplex.Solution, working *simplex.Problem, err error) {
	working = problem.Clone()
	varCount, rowCount := working.Size()
	for _, current := range objectives {
		for v := range varCount {
			working.SetCost(v, 0)
		}
		for _, t := range current.costs {
			working.SetCost(t.Var, t.Value)
		}
		if solution, err = working.Solve(stop); err != nil || solution.Status != simplex.Optimal {
			return values, solution, working, err
		}
		values = append(values, solution.Objective)
		for v := range varCount {
			if solution.ReducedCosts[v] != 0 {
				working.SetBounds(v, solution.Values[v], solution.Values[v])
			}
		}
		for r := range rowCount {
			if solution.SlackReducedCosts[r] != 0 {
				working.MakeEquality(r)
			}
		}
	}
	return values, solution, working, nil
}
