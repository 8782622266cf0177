// Package level implements brownout levels: how much of its service a sidecar offers under
// overload, with configured conditions for entering and leaving each level. It has no I/O,
// clock or goroutines, and refuses nothing itself: the balancer consults it for each arrival.
//
// A level is entered quickly and left slowly: its thresholds have hysteresis, the way out
// has a dwell time, and a level that is entered again within the proof time after it was
// left dwells twice as long each time (a Schmitt trigger with exponential backoff). While a
// level is left, the admitted rate grows by a bounded factor per second from the previous
// rate, so that returning clients form a ramp instead of a burst.
package level

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Level is the degree to which the service is reduced.
type Level int

const (
	Normal    Level = iota
	Saving          // no copies, no probes, retries only for the classes of most worth
	Trimmed         // a share of the class of least worth is shed
	Essential       // the class of least worth is shed entirely, others in part
	Emergency       // only the classes of most worth are served
	levelCount
)

var levelNames = [...]string{"normal", "saving", "trimmed", "essential", "emergency"}

// String returns the name of the level as used in settings and views.
func (l Level) String() string { return levelNames[l] }

// Parse returns the level of the given name; ok is false for an unknown name.
func Parse(name string) (Level, bool) {
	i := slices.Index(levelNames[:], name)
	return Level(max(i, 0)), i >= 0
}

// Sensor is one of the measurements that determine the level. Each is a ratio, which may
// exceed 1.
type Sensor int

const (
	Late    Sensor = iota // attempts answered after the aim or never, of those that ended
	Full                  // attempts that servers refused, of those that ended
	Held                  // calls held, of the maximum
	Lost                  // servers that cannot serve, of those listed
	Memory                // memory in use, of the limit
	Sockets               // sockets in use, of the limit
	Lag                   // delay of the tick timer, in tick intervals
	sensorCount
)

var sensorNames = [...]string{"late", "full", "held", "lost", "memory", "sockets", "lag"}

// String returns the name of the sensor as used in settings, views and metrics.
func (s Sensor) String() string { return sensorNames[s] }

// Sensors returns all sensors.
func Sensors() (all []Sensor) {
	for s := range sensorCount {
		all = append(all, s)
	}
	return all
}

// Class is a class of requests. Classes are identified by their index in the settings.
type Class struct {
	Name  string
	Worth float64
}

// Measures holds the load reduction measures of one level.
type Measures struct {
	NoCopies, NoProbes bool
	MinRetryWorth      float64   // classes of less worth get no retries
	ShedShare          []float64 // share of each class that is shed, 0 to 1
}

// Thresholds holds the thresholds of one level by sensor. The level is entered when any
// sensor reaches its Enter value, and left when all are below their Leave values. A sensor
// whose values are 0 has no influence.
type Thresholds struct {
	Enter, Leave [sensorCount]float64
}

// Config holds the settings of a Machine.
type Config struct {
	Classes      []Class
	Measures     [levelCount]Measures   // the zero value for Normal
	Thresholds   [levelCount]Thresholds // the zero value for Normal
	EnterAfter   time.Duration          // how long a condition must hold before its level is entered
	LeaveAfter   time.Duration          // how long all conditions must be absent before a level is left
	ProofTime    time.Duration          // a level entered again within this time after it was left dwells longer
	MaxDoublings int                    // maximum number of doublings of the dwell time
	RampGrowth   float64                // growth factor per second of the admitted rate while a level is left
	MinOutcomes  float64                // minimum number of outcomes for Late and Full to count
	MaxWait      time.Duration          // maximum wait suggested to a client
}

// Default returns the default configuration for the given classes: the class of least worth
// is shed first, the class of most worth never.
func Default(classes []Class) Config {
	cfg := Config{Classes: classes, EnterAfter: 500 * time.Millisecond, LeaveAfter: 20 * time.Second, ProofTime: time.Minute, MaxDoublings: 5, RampGrowth: 1.15, MinOutcomes: 20, MaxWait: 2 * time.Second}
	minWorth, maxWorth := math.Inf(1), 0.0
	for _, class := range classes {
		minWorth, maxWorth = min(minWorth, class.Worth), max(maxWorth, class.Worth)
	}
	for l := Normal; l < levelCount; l++ {
		act := &cfg.Measures[l]
		act.ShedShare = make([]float64, len(classes))
		if l == Normal {
			continue
		}
		act.NoCopies, act.NoProbes, act.MinRetryWorth = true, true, maxWorth
		for i, class := range classes {
			switch {
			case class.Worth == maxWorth: // also when all classes have equal worth
			case class.Worth == minWorth:
				act.ShedShare[i] = [levelCount]float64{0, 0, 0.5, 1, 1}[l]
			default:
				act.ShedShare[i] = [levelCount]float64{0, 0, 0, 0.5, 1}[l]
			}
		}
	}
	enterAt := [levelCount]map[Sensor]float64{
		Saving:    {Late: 0.15, Full: 0.3, Held: 0.5, Lost: 0.3, Memory: 0.8, Sockets: 0.8, Lag: 0.5},
		Trimmed:   {Late: 0.3, Full: 0.5, Held: 0.65, Lost: 0.5, Memory: 0.85, Sockets: 0.85, Lag: 1},
		Essential: {Late: 0.5, Full: 0.7, Held: 0.8, Lost: 0.7, Memory: 0.92, Sockets: 0.92, Lag: 2},
		Emergency: {Late: 0.75, Full: 0.9, Held: 0.92, Lost: 0.9, Memory: 0.97, Sockets: 0.97, Lag: 4},
	}
	for l, thresholds := range enterAt {
		for s, threshold := range thresholds {
			cfg.Thresholds[l].Enter[s], cfg.Thresholds[l].Leave[s] = threshold, threshold*0.6
			if s == Memory || s == Sockets {
				cfg.Thresholds[l].Leave[s] = threshold - 0.08
			}
		}
	}
	return cfg
}

// Validate returns the joined errors of all invalid fields, each with the name of its setting.
func (c *Config) Validate() error {
	var errs []error
	require := func(valid bool, field, want string) {
		if !valid {
			errs = append(errs, fmt.Errorf("level: %s: %s", field, want))
		}
	}
	require(len(c.Classes) > 0, "classes", "there must be one")
	require(c.EnterAfter >= 0 && c.EnterAfter < c.LeaveAfter, "leave_after", "must be above enter_after: entering is faster than leaving")
	require(c.ProofTime >= c.LeaveAfter, "proof", "must be leave_after or more")
	require(c.MaxDoublings >= 0 && c.MaxDoublings <= 10, "doublings", "must be within 0 and 10")
	require(c.RampGrowth > 1 && c.RampGrowth <= 4, "slope", "must be above 1, 4 at most")
	require(c.MinOutcomes >= 1, "evidence", "must be 1 or more")
	require(c.MaxWait > 0, "most_wait", "must be above 0")
	mostWorth := 0
	for i, class := range c.Classes {
		if class.Worth > c.Classes[mostWorth].Worth {
			mostWorth = i
		}
	}
	for l := Saving; l < levelCount; l++ {
		prefix := l.String() + "."
		act, below := &c.Measures[l], &c.Measures[l-1]
		require(len(act.ShedShare) == len(c.Classes), prefix+"cut", "must name the platform's classes")
		if len(act.ShedShare) != len(c.Classes) || len(below.ShedShare) != len(c.Classes) {
			continue
		}
		require((act.NoCopies || !below.NoCopies) && (act.NoProbes || !below.NoProbes) && act.MinRetryWorth >= below.MinRetryWorth, prefix+"no_copies", ", no_probes and retry_worth must do what "+below.levelName(l-1)+" does, or more")
		for i, class := range c.Classes {
			require(act.ShedShare[i] >= 0 && act.ShedShare[i] <= 1, prefix+"cut."+class.Name, "must be within 0 and 1")
			require(act.ShedShare[i] >= below.ShedShare[i], prefix+"cut."+class.Name, "must be what "+below.levelName(l-1)+" cuts, or more")
			require(act.ShedShare[i] >= act.ShedShare[mostWorth], prefix+"cut."+c.Classes[mostWorth].Name, "must not be above that of a cheaper class")
		}
		for s := range sensorCount {
			enter, leave := c.Thresholds[l].Enter[s], c.Thresholds[l].Leave[s]
			require(enter >= 0 && leave >= 0 && !math.IsInf(enter, 0), prefix+"enter."+s.String(), "must be 0 or more")
			require(enter == 0 && leave == 0 || leave < enter && leave > 0, prefix+"leave."+s.String(), "must be above 0 and below enter: leaving is stricter")
			if l > Saving && enter > 0 && c.Thresholds[l-1].Enter[s] > 0 {
				require(enter >= c.Thresholds[l-1].Enter[s] && leave >= c.Thresholds[l-1].Leave[s], prefix+"enter."+s.String(), "must be that of "+(l-1).String()+", or more")
			}
		}
	}
	return errors.Join(errs...)
}

func (*Measures) levelName(l Level) string { return l.String() }

// MaxChangesPerHour returns an upper bound on the level changes in an hour for any sensor
// readings: each step down takes at least LeaveAfter, and each step back up within the proof
// time doubles that.
func (c *Config) MaxChangesPerHour() int {
	// There are two fastest ways to leave a level and enter it again: wait until the proof
	// time is over each time, so that the dwell time stays at LeaveAfter, or come back sooner
	// and double the dwell time until the maximum number of doublings.
	steadyCycles := time.Hour / (c.LeaveAfter + c.ProofTime)
	doubledCycles := time.Duration(c.MaxDoublings) + time.Hour/(c.LeaveAfter<<c.MaxDoublings)
	return 2 * int(levelCount-1) * int(max(steadyCycles, doubledCycles)+1)
}
