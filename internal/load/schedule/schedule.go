// Package schedule says when calls are due, before any is sent: arrivals at a rate that
// is a product of shapes over time. It has no clock and no I/O, and plays out the same
// for the same seed.
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

// Bounds of what a schedule may be.
const (
	RateMost   = 1e6 // arrivals a second
	LengthMost = 24 * time.Hour
	PointsMost = 1 << 16
	shapesMost = 16
	// step is how finely the rate is integrated: where it jumps within a step, arrivals
	// may be off by this.
	step = time.Millisecond
)

// Point is a rate, or a factor, at a time.
type Point struct {
	At   duration.Duration `toml:"at"`
	Rate float64           `toml:"rate"`
}

// Shape is one factor of the rate. Those of a schedule are multiplied: one of them is
// usually a constant in calls a second, the others are factors round 1.
type Shape struct {
	Kind string `toml:"kind"`
	// Rate is that of a constant; Points are of a piecewise, straight between them, the
	// first before and the last behind.
	Rate   float64 `toml:"rate"`
	Points []Point `toml:"points"`
	// A ramp goes from From to To, from At on, within Over, and stays.
	From float64           `toml:"from"`
	To   float64           `toml:"to"`
	At   duration.Duration `toml:"at"`
	Over duration.Duration `toml:"over"`
	// A surge is 1, from At on rises to Factor within Rise, stays for Hold and falls
	// back within Fall. With Every above 0 it comes again so long after each beginning.
	Factor float64           `toml:"factor"`
	Rise   duration.Duration `toml:"rise"`
	Hold   duration.Duration `toml:"hold"`
	Fall   duration.Duration `toml:"fall"`
	Every  duration.Duration `toml:"every"`
	// A sine is 1 + Amplitude*sin(2 pi (t + Phase) / Period).
	Amplitude float64           `toml:"amplitude"`
	Period    duration.Duration `toml:"period"`
	Phase     duration.Duration `toml:"phase"`
	// An on-off is 1 for On and Low for Off, in turn.
	On  duration.Duration `toml:"on"`
	Off duration.Duration `toml:"off"`
	Low float64           `toml:"low"`
}

// At is the factor at a time.
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

func good(v float64) bool { return v >= 0 && v <= RateMost }

// Check says what is wrong with a shape, by its field.
func (s *Shape) Check() error {
	bad := func(field, want string) error { return fmt.Errorf("%s of a %s must be %s", field, s.Kind, want) }
	span := func(d duration.Duration) bool { return d >= 0 && time.Duration(d) <= LengthMost }
	switch s.Kind {
	case "constant":
		if !good(s.Rate) {
			return bad("rate", "within 0 and 1e6")
		}
	case "ramp":
		switch {
		case !good(s.From):
			return bad("from", "within 0 and 1e6")
		case !good(s.To):
			return bad("to", "within 0 and 1e6")
		case !span(s.At):
			return bad("at", "within 0 and 24h")
		case !span(s.Over) || s.Over == 0:
			return bad("over", "above 0, 24h at most")
		}
	case "surge":
		switch {
		case !good(s.Factor):
			return bad("factor", "within 0 and 1e6")
		case !span(s.At) || !span(s.Rise) || !span(s.Hold) || !span(s.Fall):
			return bad("at, rise, hold and fall", "within 0 and 24h")
		case s.Rise+s.Hold+s.Fall == 0:
			return bad("rise, hold and fall", "above 0 together")
		case s.Every != 0 && (!span(s.Every) || s.Every < s.Rise+s.Hold+s.Fall):
			return bad("every", "0, or no less than rise, hold and fall together")
		}
	case "sine":
		switch {
		case !(s.Amplitude >= 0 && s.Amplitude <= 1):
			return bad("amplitude", "within 0 and 1")
		case !span(s.Period) || time.Duration(s.Period) < 10*step:
			return bad("period", "within 10ms and 24h")
		case !span(s.Phase):
			return bad("phase", "within 0 and 24h")
		}
	case "on-off":
		switch {
		case !span(s.On) || s.On == 0:
			return bad("on", "above 0, 24h at most")
		case !span(s.Off) || s.Off == 0:
			return bad("off", "above 0, 24h at most")
		case !(s.Low >= 0 && s.Low <= 1):
			return bad("low", "within 0 and 1")
		}
	case "piecewise":
		if len(s.Points) == 0 || len(s.Points) > PointsMost {
			return bad("points", fmt.Sprintf("1 to %d", PointsMost))
		}
		for n, p := range s.Points {
			if !good(p.Rate) || !span(p.At) || n > 0 && p.At <= s.Points[n-1].At {
				return bad(fmt.Sprintf("points[%d]", n), "of a rate within 0 and 1e6, and later than the one before")
			}
		}
	default:
		return errors.New("kind must be constant, ramp, surge, sine, on-off or piecewise")
	}
	return nil
}

// Plan is a whole schedule.
type Plan struct {
	Shapes  []Shape
	Length  time.Duration
	Poisson bool // arrivals by chance; otherwise evenly spaced by the rate
	Seed    uint64
}

// Check says what is wrong with a plan, by its field.
func (p *Plan) Check() error {
	if len(p.Shapes) == 0 || len(p.Shapes) > shapesMost {
		return fmt.Errorf("there must be 1 to %d shapes", shapesMost)
	}
	for n := range p.Shapes {
		if err := p.Shapes[n].Check(); err != nil {
			return fmt.Errorf("arrivals[%d]: %w", n, err)
		}
	}
	if p.Length <= 0 || p.Length > LengthMost {
		return fmt.Errorf("length must be above 0, %v at most", LengthMost)
	}
	return nil
}

// Rate is the rate at a time, in arrivals a second, RateMost at most.
func (p *Plan) Rate(at time.Duration) float64 {
	r := 1.0
	for n := range p.Shapes {
		r *= p.Shapes[n].Value(at)
	}
	return min(r, RateMost)
}

// Arrivals are the times of a plan, one after another. It keeps nothing of those before.
type Arrivals struct {
	plan *Plan
	rng  *rand.Rand
	at   time.Duration // of the step
	sum  float64       // the integral of the rate up to at
	here float64       // that over the step
	due  float64       // the integral at which the next one is due
}

// Arrivals begins a plan.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0x5c4ed)), at: -step}
	a.due = a.gap()
	if !p.Poisson { // the first at its place in the middle
		a.due = 0.5
	}
	a.step()
	return a
}

// gap is how much of the integral lies between two arrivals: time-rescaling makes a
// Poisson process of any rate from one of rate 1 (Daley and Vere-Jones, An Introduction
// to the Theory of Point Processes, section 7.4).
func (a *Arrivals) gap() float64 {
	if a.plan.Poisson {
		return a.rng.ExpFloat64()
	}
	return 1
}

func (a *Arrivals) step() {
	a.sum += a.here
	a.at += step
	a.here = a.plan.Rate(a.at+step/2) * step.Seconds()
}

// Next is when the next call is due, from the beginning; false at the end.
func (a *Arrivals) Next() (time.Duration, bool) {
	for a.at < a.plan.Length {
		if a.here > 0 && a.sum+a.here >= a.due {
			at := a.at + time.Duration((a.due-a.sum)/a.here*float64(step))
			a.due += a.gap()
			if at >= a.plan.Length {
				return 0, false
			}
			return at, true
		}
		a.step()
	}
	return 0, false
}

// Expect is how many arrivals the plan has in the mean.
func (p *Plan) Expect() float64 {
	sum := 0.0
	for at := time.Duration(0); at < p.Length; at += step {
		sum += p.Rate(at+step/2) * min(step, p.Length-at).Seconds()
	}
	return sum
}
