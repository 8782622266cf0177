// Package level says how much of its service a sidecar gives, in stated levels with
// stated conditions for entering and leaving each. It has no I/O, clock or goroutines.
// It refuses nothing itself: the decision module asks it at each arrival and refuses.
//
// Entering is fast and leaving slow: separate thresholds, a dwell time, and a proof time
// behind it; a level that is entered again within the proof holds twice as long each time
// (Schmitt's trigger with a backoff). On the way out what is let in grows by a bounded
// factor a second from what was let in before, so that returning clients make a ramp.
package level

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Level is how reduced the service is.
type Level int

const (
	Normal    Level = iota
	Saving          // no copies, no probes, retries only for the dear
	Trimmed         // a share of the cheapest class is turned away
	Essential       // the cheapest class is off, others are trimmed
	Emergency       // only what is worth most
	levels
)

var words = [...]string{"normal", "saving", "trimmed", "essential", "emergency"}

// String is the level's name.
func (l Level) String() string { return words[l] }

// Parse is the level of a name.
func Parse(name string) (Level, bool) {
	n := slices.Index(words[:], name)
	return Level(max(n, 0)), n >= 0
}

// Sensor is one of the things that levels go by. All are shares, from 0 to 1 and above.
type Sensor int

const (
	Late    Sensor = iota // attempts whose answer came after the aim, or never
	Full                  // attempts that servers turned away
	Held                  // calls held, of the most that may be
	Lost                  // servers that can't serve, of those listed
	Memory                // in use, of the limit
	Sockets               // in use, of the limit
	Lag                   // by which a timer of a tick was late, of the tick
	sensors
)

var sensorWords = [...]string{"late", "full", "held", "lost", "memory", "sockets", "lag"}

// String is the sensor's name.
func (s Sensor) String() string { return sensorWords[s] }

// Sensors are all of them.
func Sensors() (all []Sensor) {
	for s := range sensors {
		all = append(all, s)
	}
	return all
}

// Class is a class of requests, by its place in the settings.
type Class struct {
	Name  string
	Worth float64
}

// Act is what a level does.
type Act struct {
	NoCopies, NoProbes bool
	RetryWorth         float64   // classes worth less get no retries
	Cut                []float64 // share of each class that is turned away
}

// Thresholds are those of one level, by sensor. It is entered where one reaches Enter, and
// left where all are below Leave. 0: the sensor plays no part.
type Thresholds struct {
	Enter, Leave [sensors]float64
}

// Config is what a Machine goes by.
type Config struct {
	Classes    []Class
	Acts       [levels]Act        // of Normal: nothing
	At         [levels]Thresholds // of Normal: none
	EnterAfter time.Duration      // a condition must hold for so long
	LeaveAfter time.Duration      // and the lack of all for so long
	Proof      time.Duration      // a level entered again within it holds longer
	Doublings  int                // at most
	Slope      float64            // by which what is let in grows in a second on the way out
	Evidence   float64            // outcomes that Late and Full need to say anything
	MostWait   time.Duration      // that a client may be told to wait
}

// Default is a configuration for some classes: the cheapest is cut first, the dearest
// never.
func Default(classes []Class) Config {
	c := Config{Classes: classes, EnterAfter: 500 * time.Millisecond, LeaveAfter: 20 * time.Second, Proof: time.Minute, Doublings: 5, Slope: 1.15, Evidence: 20, MostWait: 2 * time.Second}
	cheapest, dearest := math.Inf(1), 0.0
	for _, k := range classes {
		cheapest, dearest = min(cheapest, k.Worth), max(dearest, k.Worth)
	}
	for l := Normal; l < levels; l++ {
		a := &c.Acts[l]
		a.Cut = make([]float64, len(classes))
		if l == Normal {
			continue
		}
		a.NoCopies, a.NoProbes, a.RetryWorth = true, true, dearest
		for n, k := range classes {
			switch {
			case k.Worth == dearest: // also where all are worth the same
			case k.Worth == cheapest:
				a.Cut[n] = [levels]float64{0, 0, 0.5, 1, 1}[l]
			default:
				a.Cut[n] = [levels]float64{0, 0, 0, 0.5, 1}[l]
			}
		}
	}
	enter := [levels]map[Sensor]float64{
		Saving:    {Late: 0.15, Full: 0.3, Held: 0.5, Lost: 0.3, Memory: 0.8, Sockets: 0.8, Lag: 0.5},
		Trimmed:   {Late: 0.3, Full: 0.5, Held: 0.65, Lost: 0.5, Memory: 0.85, Sockets: 0.85, Lag: 1},
		Essential: {Late: 0.5, Full: 0.7, Held: 0.8, Lost: 0.7, Memory: 0.92, Sockets: 0.92, Lag: 2},
		Emergency: {Late: 0.75, Full: 0.9, Held: 0.92, Lost: 0.9, Memory: 0.97, Sockets: 0.97, Lag: 4},
	}
	for l, at := range enter {
		for s, x := range at {
			c.At[l].Enter[s], c.At[l].Leave[s] = x, x*0.6
			if s == Memory || s == Sockets {
				c.At[l].Leave[s] = x - 0.08
			}
		}
	}
	return c
}

// Validate says all that can't be used, each by its field.
func (c *Config) Validate() error {
	var bad []error
	need := func(ok bool, field, want string) {
		if !ok {
			bad = append(bad, fmt.Errorf("level: %s: %s", field, want))
		}
	}
	need(len(c.Classes) > 0, "classes", "there must be one")
	need(c.EnterAfter >= 0 && c.EnterAfter < c.LeaveAfter, "leave_after", "must be above enter_after: entering is faster than leaving")
	need(c.Proof >= c.LeaveAfter, "proof", "must be leave_after or more")
	need(c.Doublings >= 0 && c.Doublings <= 10, "doublings", "must be within 0 and 10")
	need(c.Slope > 1 && c.Slope <= 4, "slope", "must be above 1, 4 at most")
	need(c.Evidence >= 1, "evidence", "must be 1 or more")
	need(c.MostWait > 0, "most_wait", "must be above 0")
	dearest := 0
	for n, k := range c.Classes {
		if k.Worth > c.Classes[dearest].Worth {
			dearest = n
		}
	}
	for l := Saving; l < levels; l++ {
		at := l.String() + "."
		a, below := &c.Acts[l], &c.Acts[l-1]
		need(len(a.Cut) == len(c.Classes), at+"cut", "must name the platform's classes")
		if len(a.Cut) != len(c.Classes) || len(below.Cut) != len(c.Classes) {
			continue
		}
		need((a.NoCopies || !below.NoCopies) && (a.NoProbes || !below.NoProbes) && a.RetryWorth >= below.RetryWorth, at+"no_copies", ", no_probes and retry_worth must do what "+below.name(l-1)+" does, or more")
		for n, k := range c.Classes {
			need(a.Cut[n] >= 0 && a.Cut[n] <= 1, at+"cut."+k.Name, "must be within 0 and 1")
			need(a.Cut[n] >= below.Cut[n], at+"cut."+k.Name, "must be what "+below.name(l-1)+" cuts, or more")
			need(a.Cut[n] >= a.Cut[dearest], at+"cut."+c.Classes[dearest].Name, "must not be above that of a cheaper class")
		}
		for s := range sensors {
			e, v := c.At[l].Enter[s], c.At[l].Leave[s]
			need(e >= 0 && v >= 0 && !math.IsInf(e, 0), at+"enter."+s.String(), "must be 0 or more")
			need(e == 0 && v == 0 || v < e && v > 0, at+"leave."+s.String(), "must be above 0 and below enter: leaving is stricter")
			if l > Saving && e > 0 && c.At[l-1].Enter[s] > 0 {
				need(e >= c.At[l-1].Enter[s] && v >= c.At[l-1].Leave[s], at+"enter."+s.String(), "must be that of "+(l-1).String()+", or more")
			}
		}
	}
	return errors.Join(bad...)
}

func (*Act) name(l Level) string { return l.String() }

// ChangesPerHour bounds how often the level changes in an hour, whatever the sensors say:
// each way down takes LeaveAfter a step at the least, and each way back up that comes
// within the proof doubles it.
func (c *Config) ChangesPerHour() int {
	// One step out and in again, the fastest that can go on: it holds for LeaveAfter, and
	// outlives the proof so that it does not hold longer the next time; or it doubles.
	steady := time.Hour / (c.LeaveAfter + c.Proof)
	doubled := time.Duration(c.Doublings) + time.Hour/(c.LeaveAfter<<c.Doublings)
	return 2 * int(levels-1) * int(max(steady, doubled)+1)
}
