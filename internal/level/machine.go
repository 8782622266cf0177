package level

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxRecentChanges is the number of latest changes that View returns.
	maxRecentChanges = 16
	// arrivalDecayTime is the time constant of the exponential decay of arrival counts.
	arrivalDecayTime = 5 * time.Second
	// minRampShare is the minimum share of the arrival rate that a ramp starts with.
	minRampShare = 0.05
	// rampBurstSeconds is the size of a ramp's token bucket, in seconds of the ramp's rate.
	rampBurstSeconds = 0.25
	// maxElapsed caps the time counted between two events, so that a clock that jumps does not
	// complete a dwell time.
	maxElapsed = 2 * time.Second
)

// Reading holds one sample of all sensors.
type Reading struct {
	Values [sensorCount]float64
	// Outcomes is the number of attempts behind Late and Full, which are ignored when it is
	// below Config.MinOutcomes.
	Outcomes float64
	// Unknown marks sensors without a value, which are ignored.
	Unknown [sensorCount]bool
}

// Change records one change of level.
type Change struct {
	At   time.Duration `json:"at_ns"` // on the Machine's clock
	From string        `json:"from"`
	To   string        `json:"to"`
	Why  string        `json:"why"`
}

// pin is a level that an operator has fixed for a limited time.
type pin struct {
	active bool
	level  Level
	until  time.Duration
}

// ramp limits the arrivals of a class after its shed share went down: a token bucket whose
// rate grows.
type ramp struct {
	active     bool
	rate       float64 // calls per second at startedAt
	startedAt  time.Duration
	tokens     float64
	refilledAt time.Duration // when tokens were last added
}

// Machine computes the level of one sidecar. It is not safe for concurrent use. A time
// before that of an earlier call counts as no time passing.
type Machine struct {
	cfg            Config
	now            time.Duration
	firstTick      time.Duration // the time of the first Tick
	conditionLevel Level         // the level by the conditions, regardless of a pin
	pin            pin

	lastTick      time.Duration             // the time of the last Tick
	highFor       [levelCount]time.Duration // how long the condition of each level has held
	calmFor       time.Duration             // how long all conditions have been absent
	leftAt        [levelCount]time.Duration // when each level was last left; 0: never
	doublings     [levelCount]int           // of the dwell time of each level
	lastReading   Reading
	recentChanges []Change
	changeCount   int

	arrivals    []float64 // arrivals by class, decayed to arrivalsAt
	arrivalsAt  []time.Duration
	admitCredit []float64 // fraction of a call carried over when a share of a class is shed
	ramps       []ramp
	shedCounts  []uint64 // calls shed by class
}

// New returns a Machine at Normal, or the error of Config.Validate.
func New(cfg Config) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	classCount := len(cfg.Classes)
	return &Machine{cfg: cfg, arrivals: make([]float64, classCount), arrivalsAt: make([]time.Duration, classCount), admitCredit: make([]float64, classCount), ramps: make([]ramp, classCount), shedCounts: make([]uint64, classCount)}, nil
}

// Level returns the level in force: the pinned one, or else the one by the conditions.
func (m *Machine) Level() Level {
	if m.pin.active && m.now < m.pin.until {
		return m.pin.level
	}
	return m.conditionLevel
}

// advance moves the Machine's clock to now, unless it is ahead.
func (m *Machine) advance(now time.Duration) { m.now = max(m.now, now) }

// elapsed returns the time elapsed on the Machine's clock since *at, at most maxElapsed, and sets
// *at to the current time. Each caller keeps its own *at, so that arrivals between two calls
// of Tick do not shorten the time that Tick counts.
func (m *Machine) elapsed(at *time.Duration) time.Duration {
	d := min(m.now-*at, maxElapsed)
	*at = m.now
	return d
}

// Pin fixes the level at l until the given time. An until that is not in the future removes
// the pin.
func (m *Machine) Pin(now time.Duration, l Level, until time.Duration) {
	previous := m.Level()
	m.advance(now)
	m.pin = pin{active: until > m.now, level: l, until: until}
	m.recordChange(previous, m.Level(), "pinned by hand")
}

// isUsable reports whether the reading of a sensor counts.
func (m *Machine) isUsable(r *Reading, s Sensor) bool {
	if r.Unknown[s] || math.IsNaN(r.Values[s]) {
		return false
	}
	return s != Late && s != Full || r.Outcomes >= m.cfg.MinOutcomes
}

// reachedSensor returns the first sensor that has reached the Enter threshold of l, and whether
// there is one.
func (m *Machine) reachedSensor(l Level, r *Reading) (Sensor, bool) {
	for s := range sensorCount {
		if enter := m.cfg.Thresholds[l].Enter[s]; enter > 0 && m.isUsable(r, s) && r.Values[s] >= enter {
			return s, true
		}
	}
	return 0, false
}

// isCalm reports whether all usable sensors are below the Leave thresholds of l. Unusable ones
// are ignored, since a sidecar that sheds everything has no outcomes and could never leave.
func (m *Machine) isCalm(l Level, r *Reading) bool {
	for s := range sensorCount {
		if leave := m.cfg.Thresholds[l].Leave[s]; leave > 0 && m.isUsable(r, s) && r.Values[s] >= leave {
			return false
		}
	}
	return true
}

// dwellTime returns how long all conditions must be absent before l is left.
func (m *Machine) dwellTime(l Level) time.Duration { return m.cfg.LeaveAfter << m.doublings[l] }

// Tick processes a reading and returns the level in force.
func (m *Machine) Tick(now time.Duration, r Reading) Level {
	previous := m.Level()
	m.advance(now)
	if m.firstTick == 0 {
		m.firstTick, m.lastTick = m.now, m.now
	}
	passed := m.elapsed(&m.lastTick)
	m.lastReading = r
	reason := ""
	// Move up at once to the highest level whose condition has held for EnterAfter.
	highest := m.conditionLevel
	for l := m.conditionLevel + 1; l < levelCount; l++ {
		s, isReached := m.reachedSensor(l, &r)
		if !isReached {
			m.highFor[l] = 0
			continue
		}
		m.highFor[l] += passed
		if m.highFor[l] >= m.cfg.EnterAfter {
			highest, reason = l, fmt.Sprintf("%v is %.2f, %.2f or more", s, r.Values[s], m.cfg.Thresholds[l].Enter[s])
		}
	}
	switch {
	case highest > m.conditionLevel:
		for l := m.conditionLevel + 1; l <= highest; l++ {
			m.highFor[l] = 0
			if at := m.leftAt[l]; at > 0 && m.now-at < m.cfg.ProofTime<<m.doublings[l] {
				m.doublings[l] = min(m.doublings[l]+1, m.cfg.MaxDoublings)
			}
		}
		m.conditionLevel, m.calmFor = highest, 0
	case m.conditionLevel > Normal && m.isCalm(m.conditionLevel, &r):
		if m.calmFor += passed; m.calmFor >= m.dwellTime(m.conditionLevel) {
			m.leftAt[m.conditionLevel] = m.now
			m.conditionLevel--
			m.calmFor = 0
			reason = "all was below where it is left for long enough"
		}
	default:
		m.calmFor = 0
	}
	// A level that stayed left for its whole proof time has its dwell time halved.
	for l := m.conditionLevel + 1; l < levelCount; l++ {
		if m.doublings[l] > 0 && m.leftAt[l] > 0 && m.now-m.leftAt[l] >= m.cfg.ProofTime<<m.doublings[l] {
			m.doublings[l]--
			m.leftAt[l] = m.now
		}
	}
	if m.pin.active && m.now >= m.pin.until {
		m.pin.active = false
		reason = "the pin is over"
	}
	m.recordChange(previous, m.Level(), reason)
	return m.Level()
}

// recordChange records a change of level, and starts a ramp for each class of which less is shed
// than before.
func (m *Machine) recordChange(from, to Level, reason string) {
	if from == to {
		return
	}
	m.changeCount++
	if len(m.recentChanges) == maxRecentChanges {
		m.recentChanges = append(m.recentChanges[:0], m.recentChanges[1:]...)
	}
	m.recentChanges = append(m.recentChanges, Change{m.now, from.String(), to.String(), reason})
	for class := range m.ramps {
		shedBefore, shedNow := m.cfg.Measures[from].ShedShare[class], m.cfg.Measures[to].ShedShare[class]
		if shedNow >= shedBefore {
			m.ramps[class].active = false
			continue
		}
		rate := m.arrivalRate(class)
		initialRate := rate * max(1-shedBefore, minRampShare)
		if r := &m.ramps[class]; r.active { // left two levels in a row: continue at the rate reached
			initialRate = min(m.currentRate(r), rate)
		}
		m.ramps[class] = ramp{active: true, rate: max(initialRate, 1), startedAt: m.now, refilledAt: m.now}
	}
}

// arrivalRate returns the current arrival rate of a class, in calls per second.
func (m *Machine) arrivalRate(class int) float64 {
	return m.arrivals[class] * math.Exp(-float64(m.now-m.arrivalsAt[class])/float64(arrivalDecayTime)) / arrivalDecayTime.Seconds()
}

// currentRate returns the current rate of a ramp, in calls per second.
func (m *Machine) currentRate(r *ramp) float64 {
	return r.rate * math.Pow(m.cfg.RampGrowth, (m.now-r.startedAt).Seconds())
}

// ShouldRefuse counts an arrival of a class and reports whether it is to be shed. Shares are exact:
// of a class that is shed by half every second arrival is shed. On a ramp a token bucket
// bounds the admitted arrivals, so that synchronized clients cannot cause a burst.
func (m *Machine) ShouldRefuse(now time.Duration, class int) (shed bool) {
	if class < 0 || class >= len(m.arrivals) {
		return false
	}
	m.advance(now)
	m.arrivals[class] = m.arrivals[class]*math.Exp(-float64(m.now-m.arrivalsAt[class])/float64(arrivalDecayTime)) + 1
	m.arrivalsAt[class] = m.now
	l := m.Level()
	defer func() {
		if shed {
			m.shedCounts[class]++
		}
	}()
	if r := &m.ramps[class]; r.active {
		rate := m.currentRate(r)
		r.tokens = min(r.tokens+rate*m.elapsed(&r.refilledAt).Seconds(), max(1, rate*rampBurstSeconds))
		if rate >= 2*m.arrivalRate(class)+1 { // the ramp has been above the arrival rate for some time
			r.active = false
		} else if r.tokens < 1 {
			return true
		} else {
			r.tokens--
		}
	}
	shedShare := m.cfg.Measures[l].ShedShare[class]
	if shedShare <= 0 {
		return false
	}
	if m.admitCredit[class] += 1 - shedShare; m.admitCredit[class] >= 1-1e-9 {
		m.admitCredit[class]--
		return false
	}
	return true
}

// AllowsCopies reports whether copies of slow requests may be sent.
func (m *Machine) AllowsCopies() bool { return !m.cfg.Measures[m.Level()].NoCopies }

// AllowsProbes reports whether servers may be probed.
func (m *Machine) AllowsProbes() bool { return !m.cfg.Measures[m.Level()].NoProbes }

// AllowsRetries reports whether calls of a class may have further attempts.
func (m *Machine) AllowsRetries(class int) bool {
	return class < 0 || class >= len(m.cfg.Classes) || m.cfg.Classes[class].Worth >= m.cfg.Measures[m.Level()].MinRetryWorth
}

// MinRetryAfter returns how long a shed client of a class is told to wait, given a random number u
// from 0 to 1. The waits are spread over the ramp that follows the rest of the dwell time, so
// that clients which honour them return gradually.
func (m *Machine) MinRetryAfter(class int, u float64) time.Duration {
	l := m.Level()
	if class < 0 || class >= len(m.ramps) || m.cfg.Measures[l].ShedShare[class] == 0 && !m.ramps[class].active {
		return 0
	}
	dwellLeft := time.Duration(0)
	if m.cfg.Measures[l].ShedShare[class] > 0 {
		dwellLeft = max(0, m.dwellTime(m.conditionLevel)-m.calmFor)
	}
	// Growing from r to the whole rate takes log(rate/r)/log(slope) seconds.
	rampTime := time.Duration(math.Log(1/minRampShare) / math.Log(m.cfg.RampGrowth) * float64(time.Second))
	return min(dwellLeft+time.Duration(u*float64(rampTime)), time.Duration((0.5+u/2)*float64(m.cfg.MaxWait)))
}

// Condition holds the value of one sensor beside the thresholds of the neighboring levels.
type Condition struct {
	Sensor string  `json:"sensor"`
	Value  float64 `json:"value"`
	Counts bool    `json:"counts"` // whether the value is usable
	Enter  float64 `json:"enter"`  // threshold of the next level up
	Leave  float64 `json:"leave"`  // threshold of the current level
}

// View is the state of a Machine as shown to operators.
type View struct {
	Level       string            `json:"level"`
	Since       time.Duration     `json:"since_ns"` // time since the last change, or since the first Tick
	Free        string            `json:"by_conditions"`
	Pinned      string            `json:"pinned,omitempty"`
	PinLeft     time.Duration     `json:"pin_left_ns,omitempty"`
	Calm        time.Duration     `json:"calm_ns"`
	Holds       time.Duration     `json:"holds_ns"` // how long Calm must last before the level is left
	Conditions  []Condition       `json:"conditions"`
	Cut         map[string]string `json:"cut"`
	Turned      map[string]uint64 `json:"turned"`
	Changes     []Change          `json:"changes"`
	ChangeCount int               `json:"changes_in_all"`
	Now         time.Duration     `json:"now_ns"`
}

// View returns the current state.
func (m *Machine) View() View {
	l := m.Level()
	v := View{Level: l.String(), Free: m.conditionLevel.String(), Since: m.now - m.firstTick, Calm: m.calmFor, ChangeCount: m.changeCount, Now: m.now, Cut: make(map[string]string), Turned: make(map[string]uint64)}
	if m.pin.active {
		v.Pinned, v.PinLeft = m.pin.level.String(), max(0, m.pin.until-m.now)
	}
	if i := len(m.recentChanges); i > 0 {
		v.Since = m.now - m.recentChanges[i-1].At
	}
	if m.conditionLevel > Normal {
		v.Holds = m.dwellTime(m.conditionLevel)
	}
	for s := range sensorCount {
		condition := Condition{Sensor: s.String(), Value: m.lastReading.Values[s], Counts: m.isUsable(&m.lastReading, s)}
		if m.conditionLevel+1 < levelCount {
			condition.Enter = m.cfg.Thresholds[m.conditionLevel+1].Enter[s]
		}
		if m.conditionLevel > Normal {
			condition.Leave = m.cfg.Thresholds[m.conditionLevel].Leave[s]
		}
		v.Conditions = append(v.Conditions, condition)
	}
	for i, class := range m.cfg.Classes {
		text := fmt.Sprintf("%.0f %%", 100*m.cfg.Measures[l].ShedShare[i])
		if m.ramps[i].active {
			text += fmt.Sprintf(", %.3g a second let in, rising", m.currentRate(&m.ramps[i]))
		}
		v.Cut[class.Name], v.Turned[class.Name] = text, m.shedCounts[i]
	}
	v.Changes = append(v.Changes, m.recentChanges...)
	return v
}
