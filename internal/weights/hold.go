package weights

import (
	"math"
	"slices"
	"time"
)

// Config says how a plan gets and loses its hold.
type Config struct {
	Zone string // this sidecar's
	// Every is the time between two Ticks, Step the most that a hint changes by in one, as
	// a factor: so that no node gets much more at once than it had.
	Every time.Duration
	Step  float64
	// Fade is how long a plan that is over keeps half of its hold; then it has none.
	Fade time.Duration
	// Strangers is the share of serving nodes that a plan may not know before it has half
	// of its hold; at twice of it none.
	Strangers float64
	// Off is the factor by which what is measured may differ from the plan at a node, and
	// OffShare the share of nodes at which it may, before the hold is halved; Proof is how
	// many Ticks in a row that takes, and as many good ones bring a step back.
	Off      float64
	OffShare float64
	Proof    int
}

// Default is what holds where nothing is said.
func Default() Config {
	return Config{Every: 2 * time.Second, Step: 1.25, Fade: time.Hour, Strangers: 0.2, Off: 1.8, OffShare: 0.3, Proof: 5}
}

const (
	// priorMost is how far a plan's weight may stand from the mean, as a factor.
	priorMost = 8.0
	// stepsDown are the halvings after which measurements have taken all hold.
	stepsDown = 3
	// fallsMost bounds the way back: Proof times 2 to it, in Ticks.
	fallsMost = 8
	// near is how close a hint is to its aim to count as there.
	near = 1e-3
)

// Node is a serving server as this sidecar sees it.
type Node struct {
	Name string
	// Measured corrects its hint by what was seen: above 1 it does better than the hint
	// says, beside the others. 0: nothing was seen.
	Measured float64
}

// Reason is why a plan has no full hold.
type Reason string

const (
	None     Reason = ""
	NoPlan   Reason = "there is no plan"
	NoZone   Reason = "the plan says nothing of this zone"
	NotYet   Reason = "the plan is of a time to come"
	Over     Reason = "the plan is over"
	Strange  Reason = "the plan is for other nodes"
	Measured Reason = "the plan contradicts what is measured"
)

// View is the hold for operators.
type View struct {
	Made    time.Time          `json:"made"`
	Until   time.Time          `json:"until"`
	Hold    float64            `json:"hold"` // from 0, none, to 1
	Why     Reason             `json:"why,omitempty"`
	Known   int                `json:"known"`   // serving nodes that the plan knows
	Unknown int                `json:"unknown"` // and that it does not
	Off     int                `json:"off"`     // nodes at which it is measured otherwise
	Moving  bool               `json:"moving"`  // hints are on their way
	Hints   map[string]float64 `json:"hints"`
}

// Holder has one sidecar's plan and the hints that it makes. One owner calls its methods
// in turn. Its memory is bounded by the plan's and by the servers that it is told of.
type Holder struct {
	cfg   Config
	plan  *Plan
	prior map[string]float64 // of this zone, around 1
	hints map[string]float64 // in use, as factors on what the list says
	down  int                // halvings by measurements
	falls int                // how often there was one: each makes the way back longer
	bad   int                // Ticks in a row that contradict
	good  int
	view  View
}

// NewHolder returns a Holder without a plan: all hints are 1.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg, hints: make(map[string]float64), view: View{Why: NoPlan}}
}

// Take puts a plan in the place of the one there was, or nil for none. Hints go there by
// steps, from where they are. An older plan than the one there is, is not taken.
func (h *Holder) Take(p *Plan) (taken bool) {
	if p != nil && h.plan != nil {
		if p.Made.Before(h.plan.Made) {
			return false
		}
		if p.Made.Equal(h.plan.Made) { // read once more: what measurements took stays taken
			return true
		}
	}
	h.plan, h.prior, h.down, h.falls, h.bad, h.good = p, nil, 0, 0, 0, 0
	if p == nil {
		return true
	}
	mine := p.Weights[h.cfg.Zone]
	sum, n := 0.0, 0
	for _, w := range mine {
		if w > 0 {
			sum, n = sum+w, n+1
		}
	}
	if n == 0 {
		return true
	}
	h.prior = make(map[string]float64, len(mine))
	mean := sum / float64(n)
	for name, w := range mine {
		// One without a weight still gets the least: what is never tried is never known.
		h.prior[name] = min(max(w/mean, 1/priorMost), priorMost)
	}
	return true
}

// Start puts the hints where the plan wants them at once: for a process that has sent
// nothing yet, so that there is nothing to move.
func (h *Holder) Start(now time.Time, nodes []Node) {
	hold, why := h.judge(now, nodes)
	for _, n := range nodes {
		h.hints[n.Name] = h.aim(n.Name, hold)
	}
	h.view.Hold, h.view.Why = hold, why
}

// aim is where a hint should be: the plan's weight, drawn to 1 as the hold is lost.
func (h *Holder) aim(name string, hold float64) float64 {
	if p := h.prior[name]; p > 0 {
		return math.Pow(p, hold)
	}
	return 1
}

// Tick works the hints out anew, at a wall clock's time and for the nodes that serve. It
// returns those that changed.
func (h *Holder) Tick(now time.Time, nodes []Node) (changed map[string]float64) {
	hold, why := h.judge(now, nodes)
	changed = make(map[string]float64)
	seen := make(map[string]bool, len(nodes))
	moving := false
	for _, n := range nodes {
		seen[n.Name] = true
		aim := h.aim(n.Name, hold)
		was, ok := h.hints[n.Name]
		if !ok { // new here: it begins with no more than any other
			was = min(1, aim)
			h.hints[n.Name], changed[n.Name] = was, was
		}
		next := min(max(aim, was/h.cfg.Step), was*h.cfg.Step)
		if math.Abs(next-aim) > near*aim {
			moving = true
		}
		if next != was {
			h.hints[n.Name], changed[n.Name] = next, next
		}
	}
	for name := range h.hints {
		if !seen[name] {
			delete(h.hints, name)
		}
	}
	h.view.Hold, h.view.Why, h.view.Moving = hold, why, moving
	return changed
}

// Hint is a node's factor now.
func (h *Holder) Hint(name string) float64 {
	if f, ok := h.hints[name]; ok {
		return f
	}
	return 1
}

// judge says how much hold the plan has.
func (h *Holder) judge(now time.Time, nodes []Node) (hold float64, why Reason) {
	v := &h.view
	v.Known, v.Unknown, v.Off = 0, 0, 0
	if h.plan == nil {
		v.Made, v.Until = time.Time{}, time.Time{}
		return 0, NoPlan
	}
	v.Made, v.Until = h.plan.Made, h.plan.Until
	if h.prior == nil {
		return 0, NoZone
	}
	if now.Before(h.plan.Made.Add(-time.Minute)) { // clocks differ a little
		return 0, NotYet
	}
	hold = 1
	less := func(to float64, reason Reason) {
		if to < hold {
			hold, why = to, reason
		}
	}
	if past := now.Sub(h.plan.Until); past >= 0 {
		less(0.5, Over)
		if past >= h.cfg.Fade {
			less(0, Over)
		}
	}
	var measured []float64
	for _, n := range nodes {
		if h.prior[n.Name] == 0 {
			v.Unknown++
			continue
		}
		v.Known++
		if n.Measured > 0 {
			measured = append(measured, n.Measured)
		}
	}
	if share := float64(v.Unknown) / float64(max(1, len(nodes))); share > h.cfg.Strangers {
		less(0.5, Strange)
		if share > 2*h.cfg.Strangers {
			less(0, Strange)
		}
	}
	h.weigh(measured)
	if h.down > 0 {
		to := math.Pow(0.5, float64(h.down))
		if h.down >= stepsDown {
			to = 0
		}
		less(to, Measured)
	}
	return hold, why
}

// weigh holds what was measured against the plan. Corrections are of hints as they stand,
// which have the plan in them: where it is right they are all alike, around their median.
func (h *Holder) weigh(measured []float64) {
	if len(measured) < 2 {
		return // too little was seen
	}
	slices.Sort(measured)
	mid := measured[len(measured)/2]
	for _, m := range measured {
		if r := m / mid; r > h.cfg.Off || r < 1/h.cfg.Off {
			h.view.Off++
		}
	}
	if float64(h.view.Off) > h.cfg.OffShare*float64(len(measured)) {
		h.good = 0
		if h.bad++; h.bad >= h.cfg.Proof {
			h.bad, h.down, h.falls = 0, min(h.down+1, stepsDown), min(h.falls+1, fallsMost)
		}
		return
	}
	h.bad = 0
	if h.down == 0 {
		return
	}
	// Without any hold nothing shows any more whether the plan is right: only a new one
	// counts then.
	if h.good++; h.good >= h.cfg.Proof<<h.falls && h.down < stepsDown {
		h.good, h.down = 0, h.down-1
	}
}

// View is the hold as it is now.
func (h *Holder) View() View {
	v := h.view
	v.Hints = make(map[string]float64, len(h.hints))
	for name, f := range h.hints {
		v.Hints[name] = f
	}
	return v
}
