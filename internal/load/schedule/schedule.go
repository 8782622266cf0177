// Package schedule computes the times at which calls are due, independently of how they are sent.
// The arrival rate is a product of shapes over time. The package uses no clock and no I/O, and the
// same seed gives the same times.
package schedule

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"chalkrack/internal/duration"
)

// Bounds of a schedule.
const (
	MaxRate   = 1e6 // arrivals per second
	MaxLength = 24 * time.Hour
	MaxPoints = 1 << 16 // of one piecewise shape
	maxShapes = 16      // of one plan
	// integrationStep is the resolution at which the rate is integrated. Where the rate jumps within
	// a step, arrivals may be off by this time.
	integrationStep = time.Millisecond
)

// Point is a rate or a factor at a time.
type Point struct {
	At   duration.Duration `toml:"at"`
	Rate float64           `toml:"rate"`
}

// Shape is one factor of the rate as a function of time. The shapes of a schedule are multiplied:
// usually one is a constant in calls per second and the others are factors around 1.
type Shape struct {
	Kind string `toml:"kind"` // constant, ramp, surge, sine, on-off or piecewise
	// Rate is the value of a constant. Points are for a piecewise shape, which is linear between
	// them and keeps the first rate before and the last rate after them.
	Rate   float64 `toml:"rate"`
	Points []Point `toml:"points"`
	// A ramp begins at At, changes linearly from From to To within Over, and stays there.
	From float64           `toml:"from"`
	To   float64           `toml:"to"`
	At   duration.Duration `toml:"at"`
	Over duration.Duration `toml:"over"`
	// A surge is 1 until At, rises to Factor within Rise, stays there for Hold and falls back to 1
	// within Fall. With Every above 0 it repeats with that period.
	Factor float64           `toml:"factor"`
	Rise   duration.Duration `toml:"rise"`
	Hold   duration.Duration `toml:"hold"`
	Fall   duration.Duration `toml:"fall"`
	Every  duration.Duration `toml:"every"`
	// A sine is 1 + Amplitude*sin(2 pi (t + Phase) / Period).
	Amplitude float64           `toml:"amplitude"`
	Period    duration.Duration `toml:"period"`
	Phase     duration.Duration `toml:"phase"`
	// An on-off shape alternates between 1 for On and Low for Off.
	On  duration.Duration `toml:"on"`
	Off duration.Duration `toml:"off"`
	Low float64           `toml:"low"`
}

// Value returns the factor at a time, or 0 for an unknown kind.
func (s *Shape) Value(at time.Duration) float64 {
	t := at.Seconds()
	switch s.Kind {
	case "constant":
		return s.Rate
	case "ramp":
		x := (t - s.At.Seconds()) / s.Over.Seconds()
		return s.From + (s.To-s.From)*min(max(x, 0), 1)
	case "surge":
		x := t - s.At.Seconds()
		if x < 0 {
			return 1
		}
		if s.Every > 0 {
			x = math.Mod(x, s.Every.Seconds())
		}
		rise, hold, fall := s.Rise.Seconds(), s.Hold.Seconds(), s.Fall.Seconds()
		switch {
		case x < rise:
			return 1 + (s.Factor-1)*x/rise
		case x < rise+hold:
			return s.Factor
		case x < rise+hold+fall:
			return s.Factor - (s.Factor-1)*(x-rise-hold)/fall
		}
		return 1
	case "sine":
		return 1 + s.Amplitude*math.Sin(2*math.Pi*(t+s.Phase.Seconds())/s.Period.Seconds())
	case "on-off":
		if math.Mod(t, (s.On+s.Off).Seconds()) < s.On.Seconds() {
			return 1
		}
		return s.Low
	case "piecewise":
		n := sort.Search(len(s.Points), func(n int) bool { return s.Points[n].At.Seconds() > t })
		switch n {
		case 0:
			return s.Points[0].Rate
		case len(s.Points):
			return s.Points[n-1].Rate
		}
		a, b := s.Points[n-1], s.Points[n]
		return a.Rate + (b.Rate-a.Rate)*(t-a.At.Seconds())/(b.At-a.At).Seconds()
	}
	return 0
}

// validRate reports whether v is a rate within bounds; NaN is not.
func validRate(v float64) bool { return v >= 0 && v <= MaxRate }

// Check returns an error that names the first field with a value out of range.
func (s *Shape) Check() error {
	invalid := func(field, want string) error { return fmt.Errorf("%s of a %s shape must be %s", field, s.Kind, want) }
	validSpan := func(d duration.Duration) bool { return d >= 0 && time.Duration(d) <= MaxLength }
	switch s.Kind {
	case "constant":
		if !validRate(s.Rate) {
			return invalid("rate", "between 0 and 1e6")
		}
	case "ramp":
		switch {
		case !validRate(s.From):
			return invalid("from", "between 0 and 1e6")
		case !validRate(s.To):
			return invalid("to", "between 0 and 1e6")
		case !validSpan(s.At):
			return invalid("at", "between 0 and 24h")
		case !validSpan(s.Over) || s.Over == 0:
			return invalid("over", "above 0 and at most 24h")
		}
	case "surge":
		switch {
		case !validRate(s.Factor):
			return invalid("factor", "between 0 and 1e6")
		case !validSpan(s.At) || !validSpan(s.Rise) || !validSpan(s.Hold) || !validSpan(s.Fall):
			return invalid("at, rise, hold and fall", "between 0 and 24h")
		case s.Rise+s.Hold+s.Fall == 0:
			return invalid("rise, hold and fall", "above 0 in total")
		case s.Every != 0 && (!validSpan(s.Every) || s.Every < s.Rise+s.Hold+s.Fall):
			return invalid("every", "0, or at most 24h and no less than the total of rise, hold and fall")
		}
	case "sine":
		switch {
		case !(s.Amplitude >= 0 && s.Amplitude <= 1):
			return invalid("amplitude", "between 0 and 1")
		case !validSpan(s.Period) || time.Duration(s.Period) < 10*integrationStep:
			return invalid("period", "between 10ms and 24h")
		case !validSpan(s.Phase):
			return invalid("phase", "between 0 and 24h")
		}
	case "on-off":
		switch {
		case !validSpan(s.On) || s.On == 0:
			return invalid("on", "above 0 and at most 24h")
		case !validSpan(s.Off) || s.Off == 0:
			return invalid("off", "above 0 and at most 24h")
		case !(s.Low >= 0 && s.Low <= 1):
			return invalid("low", "between 0 and 1")
		}
	case "piecewise":
		if len(s.Points) == 0 || len(s.Points) > MaxPoints {
			return invalid("points", fmt.Sprintf("a list of 1 to %d", MaxPoints))
		}
		for n, p := range s.Points {
			if !validRate(p.Rate) || !validSpan(p.At) || n > 0 && p.At <= s.Points[n-1].At {
				return invalid(fmt.Sprintf("points[%d]", n), "of a rate between 0 and 1e6, within 24h, and later than the point before")
			}
		}
	default:
		return errors.New("kind must be constant, ramp, surge, sine, on-off or piecewise")
	}
	return nil
}

// Plan is a complete schedule.
type Plan struct {
	Shapes  []Shape
	Length  time.Duration
	Poisson bool // random arrivals of a Poisson process; otherwise evenly spaced by the rate
	Seed    uint64
}

// Check returns an error that names the first field with a value out of range.
func (p *Plan) Check() error {
	if len(p.Shapes) == 0 || len(p.Shapes) > maxShapes {
		return fmt.Errorf("arrivals must be a list of 1 to %d shapes", maxShapes)
	}
	for n := range p.Shapes {
		if err := p.Shapes[n].Check(); err != nil {
			return fmt.Errorf("arrivals[%d]: %w", n, err)
		}
	}
	if p.Length <= 0 || p.Length > MaxLength {
		return fmt.Errorf("length must be above 0 and at most %v", MaxLength)
	}
	return nil
}

// Rate returns the rate at a time in arrivals per second, at most MaxRate.
func (p *Plan) Rate(at time.Duration) float64 {
	r := 1.0
	for n := range p.Shapes {
		r *= p.Shapes[n].Value(at)
	}
	return min(r, MaxRate)
}

// Arrivals iterates over the arrival times of a plan. It keeps no earlier times.
type Arrivals struct {
	plan         *Plan
	rng          *rand.Rand
	stepStart    time.Duration // beginning of the current step
	integral     float64       // integral of the rate up to stepStart
	stepIntegral float64       // integral of the rate over the current step
	nextDue      float64       // integral at which the next arrival is due
}

// Arrivals returns an iterator at the beginning of the plan.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0x5c4ed)), stepStart: -integrationStep}
	a.nextDue = a.nextGap()
	if !p.Poisson { // the first arrival is in the middle of its interval
		a.nextDue = 0.5
	}
	a.advance()
	return a
}

// nextGap returns the integral of the rate between two arrivals. Time rescaling turns a Poisson
// process of rate 1 into one of any rate (Daley and Vere-Jones, An Introduction to the Theory of
// Point Processes, section 7.4).
func (a *Arrivals) nextGap() float64 {
	if a.plan.Poisson {
		return a.rng.ExpFloat64()
	}
	return 1
}

// advance moves to the next step.
func (a *Arrivals) advance() {
	a.integral += a.stepIntegral
	a.stepStart += integrationStep
	a.stepIntegral = a.plan.Rate(a.stepStart+integrationStep/2) * integrationStep.Seconds()
}

// Next returns the time of the next arrival, counted from the beginning, and false at the end.
func (a *Arrivals) Next() (time.Duration, bool) {
	for a.stepStart < a.plan.Length {
		if a.stepIntegral > 0 && a.integral+a.stepIntegral >= a.nextDue {
			due := a.stepStart + time.Duration((a.nextDue-a.integral)/a.stepIntegral*float64(integrationStep))
			a.nextDue += a.nextGap()
			if due >= a.plan.Length {
				return 0, false
			}
			return due, true
		}
		a.advance()
	}
	return 0, false
}

// ExpectedCount returns the mean number of arrivals of the plan.
func (p *Plan) ExpectedCount() float64 {
	sum := 0.0
	for at := time.Duration(0); at < p.Length; at += integrationStep {
		sum += p.Rate(at+integrationStep/2) * min(integrationStep, p.Length-at).Seconds()
	}
	return sum
}
