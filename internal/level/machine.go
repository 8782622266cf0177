package level

import (
	"fmt"
	"math"
	"time"
)

const (
	// changesKept are those that operators are shown.
	changesKept = 16
	// arrivalMemory is how fast a class's rate of arrivals fades.
	arrivalMemory = 5 * time.Second
	// rampFrom is the least that a ramp begins with, of what arrives.
	rampFrom = 0.05
	// burst is what a ramp may let in at once, in seconds of its rate.
	burst = 0.25
	// gapMost is the time that counts as passed between two events at the most: a clock
	// that jumps proves nothing.
	gapMost = 2 * time.Second
)

// Reading is what the sensors say.
type Reading struct {
	Value [sensors]float64
	// Outcomes is how many there were behind Late and Full; too few say nothing.
	Outcomes float64
	// Unknown sensors say nothing.
	Unknown [sensors]bool
}

// Change is one change of level.
type Change struct {
	At   time.Duration `json:"at_ns"` // by the Machine's clock
	From string        `json:"from"`
	To   string        `json:"to"`
	Why  string        `json:"why"`
}

// Pin holds a level by hand.
type pin struct {
	on    bool
	level Level
	until time.Duration
}

// ramp is a class's way back: what may be let in, by a rate that grows.
type ramp struct {
	on     bool
	rate   float64 // a second
	at     time.Duration
	room   float64 // of a bucket, filled last when
	filled time.Duration
}

// Machine has the level of one sidecar. One owner calls its methods in turn. A time that
// goes back counts as none passing.
type Machine struct {
	cfg   Config
	now   time.Duration
	began time.Duration // the first Tick
	free  Level         // by the conditions
	pin   pin

	ticked  time.Duration // the last Tick
	highFor [levels]time.Duration
	calmFor time.Duration
	left    [levels]time.Duration // when each was left last; 0: never
	doubled [levels]int
	last    Reading
	changes []Change
	count   int

	rates []float64 // of arrivals by class
	seen  []time.Duration
	acc   []float64 // what is left of cut shares
	ramps []ramp
	turns []uint64 // turned away by class
}

// New returns a Machine at Normal.
func New(cfg Config) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	n := len(cfg.Classes)
	return &Machine{cfg: cfg, rates: make([]float64, n), seen: make([]time.Duration, n), acc: make([]float64, n), ramps: make([]ramp, n), turns: make([]uint64, n)}, nil
}

// Level is the one in force: the pinned one, or the conditions'.
func (m *Machine) Level() Level {
	if m.pin.on && m.now < m.pin.until {
		return m.pin.level
	}
	return m.free
}

// step moves the Machine's clock.
func (m *Machine) step(now time.Duration) { m.now = max(m.now, now) }

// since is how much passed on the Machine's clock since a time, which it moves on. Each
// user of time has one of its own: arrivals between two Ticks take nothing from them.
func (m *Machine) since(at *time.Duration) time.Duration {
	d := min(m.now-*at, gapMost)
	*at = m.now
	return d
}

// Pin holds a level until a time, or ends that where until has passed.
func (m *Machine) Pin(now time.Duration, l Level, until time.Duration) {
	was := m.Level()
	m.step(now)
	m.pin = pin{on: until > m.now, level: l, until: until}
	m.moved(was, m.Level(), "pinned by hand")
}

// usable says whether a sensor's reading counts.
func (m *Machine) usable(r *Reading, s Sensor) bool {
	if r.Unknown[s] || math.IsNaN(r.Value[s]) {
		return false
	}
	return s != Late && s != Full || r.Outcomes >= m.cfg.Evidence
}

// reached is the first sensor at which a level is entered; ok is false for none.
func (m *Machine) reached(l Level, r *Reading) (Sensor, bool) {
	for s := range sensors {
		if e := m.cfg.At[l].Enter[s]; e > 0 && m.usable(r, s) && r.Value[s] >= e {
			return s, true
		}
	}
	return 0, false
}

// calm says whether all sensors are below where a level is left. One that says nothing
// holds nobody: a sidecar that turns everything away has no outcomes.
func (m *Machine) calm(l Level, r *Reading) bool {
	for s := range sensors {
		if v := m.cfg.At[l].Leave[s]; v > 0 && m.usable(r, s) && r.Value[s] >= v {
			return false
		}
	}
	return true
}

// hold is how long the lack of all conditions must last before a level is left.
func (m *Machine) hold(l Level) time.Duration { return m.cfg.LeaveAfter << m.doubled[l] }

// Tick takes a reading and returns the level in force.
func (m *Machine) Tick(now time.Duration, r Reading) Level {
	was := m.Level()
	m.step(now)
	if m.began == 0 {
		m.began, m.ticked = m.now, m.now
	}
	passed := m.since(&m.ticked)
	m.last = r
	why := ""
	// Up: the highest whose condition has held for long enough, at once.
	up := m.free
	for l := m.free + 1; l < levels; l++ {
		s, on := m.reached(l, &r)
		if !on {
			m.highFor[l] = 0
			continue
		}
		m.highFor[l] += passed
		if m.highFor[l] >= m.cfg.EnterAfter {
			up, why = l, fmt.Sprintf("%v is %.2f, %.2f or more", s, r.Value[s], m.cfg.At[l].Enter[s])
		}
	}
	switch {
	case up > m.free:
		for l := m.free + 1; l <= up; l++ {
			m.highFor[l] = 0
			if at := m.left[l]; at > 0 && m.now-at < m.cfg.Proof<<m.doubled[l] {
				m.doubled[l] = min(m.doubled[l]+1, m.cfg.Doublings)
			}
		}
		m.free, m.calmFor = up, 0
	case m.free > Normal && m.calm(m.free, &r):
		if m.calmFor += passed; m.calmFor >= m.hold(m.free) {
			m.left[m.free] = m.now
			m.free--
			m.calmFor = 0
			why = "all was below where it is left for long enough"
		}
	default:
		m.calmFor = 0
	}
	// What stayed out through its proof holds for half as long the next time.
	for l := m.free + 1; l < levels; l++ {
		if m.doubled[l] > 0 && m.left[l] > 0 && m.now-m.left[l] >= m.cfg.Proof<<m.doubled[l] {
			m.doubled[l]--
			m.left[l] = m.now
		}
	}
	if m.pin.on && m.now >= m.pin.until {
		m.pin.on = false
		why = "the pin is over"
	}
	m.moved(was, m.Level(), why)
	return m.Level()
}

// moved notes a change, and begins the ramps of what is let in again.
func (m *Machine) moved(from, to Level, why string) {
	if from == to {
		return
	}
	m.count++
	if len(m.changes) == changesKept {
		m.changes = append(m.changes[:0], m.changes[1:]...)
	}
	m.changes = append(m.changes, Change{m.now, from.String(), to.String(), why})
	for c := range m.ramps {
		was, next := m.cfg.Acts[from].Cut[c], m.cfg.Acts[to].Cut[c]
		if next >= was {
			m.ramps[c].on = false
			continue
		}
		rate := m.rate(c)
		begin := rate * max(1-was, rampFrom)
		if r := &m.ramps[c]; r.on { // out by two levels: from where the ramp is
			begin = min(m.grown(r), rate)
		}
		m.ramps[c] = ramp{on: true, rate: max(begin, 1), at: m.now, filled: m.now}
	}
}

func (m *Machine) rate(c int) float64 {
	return m.rates[c] * math.Exp(-float64(m.now-m.seen[c])/float64(arrivalMemory)) / arrivalMemory.Seconds()
}

// grown is a ramp's rate now.
func (m *Machine) grown(r *ramp) float64 {
	return r.rate * math.Pow(m.cfg.Slope, (m.now-r.at).Seconds())
}

// Turn counts an arrival and says whether it is turned away. Shares are exact: of a class
// cut by half every second one goes, and what is let in on a ramp is bounded by a bucket,
// so that callers in step make no burst.
func (m *Machine) Turn(now time.Duration, class int) (away bool) {
	if class < 0 || class >= len(m.rates) {
		return false
	}
	m.step(now)
	m.rates[class] = m.rates[class]*math.Exp(-float64(m.now-m.seen[class])/float64(arrivalMemory)) + 1
	m.seen[class] = m.now
	l := m.Level()
	defer func() {
		if away {
			m.turns[class]++
		}
	}()
	if r := &m.ramps[class]; r.on {
		g := m.grown(r)
		r.room = min(r.room+g*m.since(&r.filled).Seconds(), max(1, g*burst))
		if g >= 2*m.rate(class)+1 { // all that comes has long been let in
			r.on = false
		} else if r.room < 1 {
			return true
		} else {
			r.room--
		}
	}
	cut := m.cfg.Acts[l].Cut[class]
	if cut <= 0 {
		return false
	}
	if m.acc[class] += 1 - cut; m.acc[class] >= 1-1e-9 {
		m.acc[class]--
		return false
	}
	return true
}

// Copies says whether copies of slow requests may be sent.
func (m *Machine) Copies() bool { return !m.cfg.Acts[m.Level()].NoCopies }

// Probes says whether servers may be probed.
func (m *Machine) Probes() bool { return !m.cfg.Acts[m.Level()].NoProbes }

// Retries says whether a class gets further attempts.
func (m *Machine) Retries(class int) bool {
	return class < 0 || class >= len(m.cfg.Classes) || m.cfg.Classes[class].Worth >= m.cfg.Acts[m.Level()].RetryWorth
}

// Wait is how long a client of the class is told to wait, for a number u from 0 to 1 that
// is drawn anew each time: spread over the time that the level still holds at least and
// the ramp takes, so that those who honour it come back as a ramp.
func (m *Machine) Wait(class int, u float64) time.Duration {
	l := m.Level()
	if class < 0 || class >= len(m.ramps) || m.cfg.Acts[l].Cut[class] == 0 && !m.ramps[class].on {
		return 0
	}
	over := time.Duration(0)
	if m.cfg.Acts[l].Cut[class] > 0 {
		over = max(0, m.hold(m.free)-m.calmFor)
	}
	// From r to the whole rate by the slope takes log(rate/r)/log(slope) seconds.
	ramp := time.Duration(math.Log(1/rampFrom) / math.Log(m.cfg.Slope) * float64(time.Second))
	return min(over+time.Duration(u*float64(ramp)), time.Duration((0.5+u/2)*float64(m.cfg.MostWait)))
}

// Condition is one sensor's value beside a level's thresholds.
type Condition struct {
	Sensor string  `json:"sensor"`
	Value  float64 `json:"value"`
	Counts bool    `json:"counts"` // it says something now
	Enter  float64 `json:"enter"`  // the next level
	Leave  float64 `json:"leave"`  // this one
}

// View is the state for operators.
type View struct {
	Level      string            `json:"level"`
	Since      time.Duration     `json:"since_ns"` // how long ago
	Free       string            `json:"by_conditions"`
	Pinned     string            `json:"pinned,omitempty"`
	PinLeft    time.Duration     `json:"pin_left_ns,omitempty"`
	Calm       time.Duration     `json:"calm_ns"`
	Holds      time.Duration     `json:"holds_ns"` // this long of calm leads out
	Conditions []Condition       `json:"conditions"`
	Cut        map[string]string `json:"cut"`
	Turned     map[string]uint64 `json:"turned"`
	Changes    []Change          `json:"changes"`
	Count      int               `json:"changes_in_all"`
	Now        time.Duration     `json:"now_ns"`
}

// View is the state now.
func (m *Machine) View() View {
	l := m.Level()
	v := View{Level: l.String(), Free: m.free.String(), Since: m.now - m.began, Calm: m.calmFor, Count: m.count, Now: m.now, Cut: make(map[string]string), Turned: make(map[string]uint64)}
	if m.pin.on {
		v.Pinned, v.PinLeft = m.pin.level.String(), max(0, m.pin.until-m.now)
	}
	if n := len(m.changes); n > 0 {
		v.Since = m.now - m.changes[n-1].At
	}
	if m.free > Normal {
		v.Holds = m.hold(m.free)
	}
	for s := range sensors {
		c := Condition{Sensor: s.String(), Value: m.last.Value[s], Counts: m.usable(&m.last, s)}
		if m.free+1 < levels {
			c.Enter = m.cfg.At[m.free+1].Enter[s]
		}
		if m.free > Normal {
			c.Leave = m.cfg.At[m.free].Leave[s]
		}
		v.Conditions = append(v.Conditions, c)
	}
	for n, k := range m.cfg.Classes {
		text := fmt.Sprintf("%.0f %%", 100*m.cfg.Acts[l].Cut[n])
		if m.ramps[n].on {
			text += fmt.Sprintf(", %.3g a second let in, rising", m.grown(&m.ramps[n]))
		}
		v.Cut[k.Name], v.Turned[k.Name] = text, m.turns[n]
	}
	v.Changes = append(v.Changes, m.changes...)
	return v
}
