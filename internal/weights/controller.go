package weights

import (
	"math"
	"slices"
	"time"
)

// Config holds the rules by which a plan gains and loses its hold.
type Config struct {
	Zone string // zone of this sidecar
	// UpdateInterval is the interval between two calls of UpdateHints.
	UpdateInterval time.Duration
	// MaxStepFactor is the largest factor by which a hint changes in one call of UpdateHints, so that
	// no node's share of calls grows abruptly.
	MaxStepFactor float64
	// ExpiryGrace is how long an expired plan keeps half of its hold before it loses all of it.
	ExpiryGrace time.Duration
	// MaxUnknownShare is the largest share of serving nodes missing in the plan at which it keeps
	// its full hold. Above that share the hold is halved, above twice that share it is 0.
	MaxUnknownShare float64
	// MaxDeviation is the largest factor by which the measurements of a node may differ from the plan
	// before the node counts as deviating.
	MaxDeviation float64
	// MaxDeviatingShare is the largest share of deviating nodes at which the plan does not count as
	// contradicted.
	MaxDeviatingShare float64
	// ConfirmationUpdates is the number of consecutive contradicted updates that halve the hold. Undoing
	// a halving takes as many updates without a contradiction, doubled for each halving
	// since SetPlan.
	ConfirmationUpdates int
}

// DefaultConfig returns the default rules, without a zone.
func DefaultConfig() Config {
	return Config{UpdateInterval: 2 * time.Second, MaxStepFactor: 1.25, ExpiryGrace: time.Hour, MaxUnknownShare: 0.2, MaxDeviation: 1.8, MaxDeviatingShare: 0.3, ConfirmationUpdates: 5}
}

const (
	// maxPriorFactor bounds the ratio of a weight to the mean weight, and its inverse.
	maxPriorFactor = 8.0
	// maxHalvings is the number of halvings at which a contradicted plan has no hold left.
	maxHalvings = 3
	// maxRecoveryDoublings bounds the updates that undo a halving: 2 to this power times the
	// number that halves the hold.
	maxRecoveryDoublings = 8
	// hintTolerance is the relative difference within which a hint has reached its target.
	hintTolerance = 1e-3
)

// Node is a serving server as this sidecar sees it.
type Node struct {
	Name string
	// Measured is the measured correction of the node's hint: above 1 the node performs
	// better than its hint says, relative to the others. 0: no measurement.
	Measured float64
}

// Reason states why a plan does not have its full hold.
type Reason string

const (
	None         Reason = ""
	NoPlan       Reason = "there is no plan"
	NoZone       Reason = "the plan says nothing of this zone"
	NotYetValid  Reason = "the plan is of a time to come"
	Expired      Reason = "the plan is over"
	UnknownNodes Reason = "the plan is for other nodes"
	Contradicted Reason = "the plan contradicts what is measured"
)

// View is the state of a plan and its hints as shown to operators.
type View struct {
	Made           time.Time          `json:"made"`
	Until          time.Time          `json:"until"`
	Hold           float64            `json:"hold"` // from 0, none, to 1
	Reason         Reason             `json:"why,omitempty"`
	KnownNodes     int                `json:"known"`   // serving nodes that are in the plan
	UnknownNodes   int                `json:"unknown"` // serving nodes that are not
	DeviatingNodes int                `json:"off"`     // nodes whose measurements deviate from the plan
	Moving         bool               `json:"moving"`  // some hints have not reached their targets
	Hints          map[string]float64 `json:"hints"`
}

// Controller holds the plan of one sidecar and the hints computed from it. It is not safe
// for concurrent use. Its memory is bounded by the plan and by the nodes passed to it.
type Controller struct {
	cfg                Config
	plan               *Plan
	priors             map[string]float64 // weights of this zone relative to their mean
	hints              map[string]float64 // in use, as factors on the hints of the server list
	halvings           int                // current halvings of the hold by contradictions
	totalHalvings      int                // halvings since SetPlan; each doubles the time to undo one
	contradictingTicks int                // consecutive updates with a contradiction
	agreeingTicks      int
	view               View
}

// NewController returns a Controller without a plan: all hints are 1.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, hints: make(map[string]float64), view: View{Reason: NoPlan}}
}

// SetPlan replaces the plan; nil removes it. Hints move from their current values to the
// new targets in steps. SetPlan reports false and keeps the plan if p is older.
func (c *Controller) SetPlan(p *Plan) (accepted bool) {
	if p != nil && c.plan != nil {
		if p.Made.Before(c.plan.Made) {
			return false
		}
		if p.Made.Equal(c.plan.Made) { // the same plan again: keeps the halvings
			return true
		}
	}
	c.plan, c.priors, c.halvings, c.totalHalvings, c.contradictingTicks, c.agreeingTicks = p, nil, 0, 0, 0, 0
	if p == nil {
		return true
	}
	zoneWeights := p.Weights[c.cfg.Zone]
	sum, n := 0.0, 0
	for _, w := range zoneWeights {
		if w > 0 {
			sum, n = sum+w, n+1
		}
	}
	if n == 0 {
		return true
	}
	c.priors = make(map[string]float64, len(zoneWeights))
	mean := sum / float64(n)
	for name, w := range zoneWeights {
		// A node of weight 0 gets the smallest factor: without any calls it is never measured.
		c.priors[name] = min(max(w/mean, 1/maxPriorFactor), maxPriorFactor)
	}
	return true
}

// Start sets the hints to their targets at once. It is for a process that has sent no
// calls yet, so that there is no load to shift in steps.
func (c *Controller) Start(now time.Time, nodes []Node) {
	hold, why := c.evaluatePlan(now, nodes)
	for _, n := range nodes {
		c.hints[n.Name] = c.targetHint(n.Name, hold)
	}
	c.view.Hold, c.view.Reason = hold, why
}

// targetHint returns the hint that a node should have: the plan's relative weight to the
// power of hold, or 1 for a node that is not in the plan.
func (c *Controller) targetHint(name string, hold float64) float64 {
	if p := c.priors[name]; p > 0 {
		return math.Pow(p, hold)
	}
	return 1
}

// UpdateHints moves the hints of the serving nodes one step towards their targets, and
// drops those of other nodes. now is wall-clock time. It returns the hints that changed.
func (c *Controller) UpdateHints(now time.Time, nodes []Node) (changed map[string]float64) {
	hold, why := c.evaluatePlan(now, nodes)
	changed = make(map[string]float64)
	seen := make(map[string]bool, len(nodes))
	moving := false
	for _, n := range nodes {
		seen[n.Name] = true
		target := c.targetHint(n.Name, hold)
		previous, ok := c.hints[n.Name]
		if !ok { // a new node starts with a hint of at most 1
			previous = min(1, target)
			c.hints[n.Name], changed[n.Name] = previous, previous
		}
		next := min(max(target, previous/c.cfg.MaxStepFactor), previous*c.cfg.MaxStepFactor)
		if math.Abs(next-target) > hintTolerance*target {
			moving = true
		}
		if next != previous {
			c.hints[n.Name], changed[n.Name] = next, next
		}
	}
	for name := range c.hints {
		if !seen[name] {
			delete(c.hints, name)
		}
	}
	c.view.Hold, c.view.Reason, c.view.Moving = hold, why, moving
	return changed
}

// Hint returns the current hint of a node, 1 for an unknown one.
func (c *Controller) Hint(name string) float64 {
	if f, ok := c.hints[name]; ok {
		return f
	}
	return 1
}

// evaluatePlan returns the hold of the plan, and why it is not full.
func (c *Controller) evaluatePlan(now time.Time, nodes []Node) (hold float64, why Reason) {
	v := &c.view
	v.KnownNodes, v.UnknownNodes, v.DeviatingNodes = 0, 0, 0
	if c.plan == nil {
		v.Made, v.Until = time.Time{}, time.Time{}
		return 0, NoPlan
	}
	v.Made, v.Until = c.plan.Made, c.plan.Until
	if c.priors == nil {
		return 0, NoZone
	}
	if now.Before(c.plan.Made.Add(-time.Minute)) { // tolerates clock differences of up to a minute
		return 0, NotYetValid
	}
	hold = 1
	limitHold := func(limit float64, reason Reason) {
		if limit < hold {
			hold, why = limit, reason
		}
	}
	if sinceExpiry := now.Sub(c.plan.Until); sinceExpiry >= 0 {
		limitHold(0.5, Expired)
		if sinceExpiry >= c.cfg.ExpiryGrace {
			limitHold(0, Expired)
		}
	}
	var measured []float64
	for _, n := range nodes {
		if c.priors[n.Name] == 0 {
			v.UnknownNodes++
			continue
		}
		v.KnownNodes++
		if n.Measured > 0 {
			measured = append(measured, n.Measured)
		}
	}
	if share := float64(v.UnknownNodes) / float64(max(1, len(nodes))); share > c.cfg.MaxUnknownShare {
		limitHold(0.5, UnknownNodes)
		if share > 2*c.cfg.MaxUnknownShare {
			limitHold(0, UnknownNodes)
		}
	}
	c.compareMeasured(measured)
	if c.halvings > 0 {
		limit := math.Pow(0.5, float64(c.halvings))
		if c.halvings >= maxHalvings {
			limit = 0
		}
		limitHold(limit, Contradicted)
	}
	return hold, why
}

// compareMeasured compares the measured corrections with the plan and updates the
// halvings. Corrections apply to the current hints, which include the plan's weights: if
// the plan is right they are all close to their median.
func (c *Controller) compareMeasured(measured []float64) {
	if len(measured) < 2 {
		return // too few measurements
	}
	slices.Sort(measured)
	median := measured[len(measured)/2]
	for _, m := range measured {
		if r := m / median; r > c.cfg.MaxDeviation || r < 1/c.cfg.MaxDeviation {
			c.view.DeviatingNodes++
		}
	}
	if float64(c.view.DeviatingNodes) > c.cfg.MaxDeviatingShare*float64(len(measured)) {
		c.agreeingTicks = 0
		if c.contradictingTicks++; c.contradictingTicks >= c.cfg.ConfirmationUpdates {
			c.contradictingTicks, c.halvings, c.totalHalvings = 0, min(c.halvings+1, maxHalvings), min(c.totalHalvings+1, maxRecoveryDoublings)
		}
		return
	}
	c.contradictingTicks = 0
	if c.halvings == 0 {
		return
	}
	// A plan without any hold does not affect the hints, so that measurements can't confirm
	// it. Only a new plan ends that state.
	if c.agreeingTicks++; c.agreeingTicks >= c.cfg.ConfirmationUpdates<<c.totalHalvings && c.halvings < maxHalvings {
		c.agreeingTicks, c.halvings = 0, c.halvings-1
	}
}

// View returns the current state.
func (c *Controller) View() View {
	v := c.view
	v.Hints = make(map[string]float64, len(c.hints))
	for name, f := range c.hints {
		v.Hints[name] = f
	}
	return v
}
