package schedule

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack/internal/duration"
)

// tomlDuration converts a duration to the type of scenario fields.
func tomlDuration(d time.Duration) duration.Duration { return duration.Duration(d) }

// An error in a shape's formula gives another load than the scenario describes. In each tenth of
// the length, a shape must produce as many arrivals as its integral, in ascending order, and the
// same times for the same seed.
func TestArrivalsMatchRateIntegral(t *testing.T) {
	const length = 20 * time.Second
	base := Shape{Kind: "constant", Rate: 400}
	for name, c := range map[string]struct {
		shapes []Shape
		want   func(from, to float64) float64 // integral, derived by hand
	}{
		"constant": {[]Shape{base}, func(a, b float64) float64 { return 400 * (b - a) }},
		"ramp": {[]Shape{base, {Kind: "ramp", From: 0, To: 2, Over: tomlDuration(length)}}, func(a, b float64) float64 {
			return 400 * (b*b - a*a) / 20
		}},
		"surge": {[]Shape{base, {Kind: "surge", Factor: 3, At: tomlDuration(4 * time.Second), Hold: tomlDuration(2 * time.Second)}}, func(a, b float64) float64 {
			over := max(0, min(b, 6)-max(a, 4))
			return 400 * (b - a + 2*over)
		}},
		"sine": {[]Shape{base, {Kind: "sine", Amplitude: 1, Period: tomlDuration(length)}}, func(a, b float64) float64 {
			w := 2 * math.Pi / 20
			return 400 * (b - a - (math.Cos(w*b)-math.Cos(w*a))/w)
		}},
		"on-off": {[]Shape{base, {Kind: "on-off", On: tomlDuration(2 * time.Second), Off: tomlDuration(2 * time.Second)}}, func(a, b float64) float64 {
			return 400 * (b - a) * map[bool]float64{true: 1, false: 0}[int(a/2)%2 == 0]
		}},
		"piecewise": {[]Shape{{Kind: "piecewise", Points: []Point{{0, 100}, {tomlDuration(10 * time.Second), 500}}}}, func(a, b float64) float64 {
			part := func(x float64) float64 {
				if x < 10 {
					return 100*x + 20*x*x
				}
				return 3000 + 500*(x-10)
			}
			return part(b) - part(a)
		}},
	} {
		for _, poisson := range []bool{false, true} {
			plan := &Plan{Shapes: c.shapes, Length: length, Poisson: poisson, Seed: 5}
			if err := plan.Check(); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			var countPerTenth [10]float64
			var last time.Duration
			a, again := plan.Arrivals(), plan.Arrivals()
			for {
				at, ok := a.Next()
				if at2, ok2 := again.Next(); at2 != at || ok2 != ok {
					t.Fatalf("%s: arrivals at %v and %v with the same seed", name, at, at2)
				}
				if !ok {
					break
				}
				if at < last || at >= length {
					t.Fatalf("%s: arrival at %v after one at %v, want ascending times before the end", name, at, last)
				}
				last = at
				countPerTenth[at*10/length]++
			}
			for n, got := range countPerTenth {
				want := c.want(float64(2*n), float64(2*n+2))
				tolerance := 2.0
				if poisson {
					tolerance += 4.5 * math.Sqrt(want)
				}
				if math.Abs(got-want) > tolerance {
					t.Errorf("%s, Poisson %v: %v arrivals in tenth %d, want %.0f", name, poisson, got, n, want)
				}
			}
		}
	}
}

// At a high rate many arrivals fall into one integration step. All 50,000 arrivals of one second
// must be produced, each at its time.
func TestArrivalTimesInBurst(t *testing.T) {
	plan := &Plan{Shapes: []Shape{{Kind: "constant", Rate: 50000}}, Length: time.Second}
	n := 0
	for a := plan.Arrivals(); ; n++ {
		at, ok := a.Next()
		if !ok {
			break
		}
		if want := time.Duration((float64(n) + 0.5) * 20000); at < want-time.Microsecond || at > want+time.Microsecond {
			t.Fatalf("arrival %d at %v, want %v", n, at, want)
		}
	}
	if n != 50000 {
		t.Errorf("%d arrivals, want 50000", n)
	}
}

// The gaps between random arrivals must be those of a Poisson process, whose standard deviation
// equals the mean. A wrong distribution would make the load smoother or burstier than intended.
func TestPoissonGapSpread(t *testing.T) {
	plan := &Plan{Shapes: []Shape{{Kind: "constant", Rate: 1000}}, Length: 60 * time.Second, Poisson: true, Seed: 9}
	var n, sum, squares float64
	var last time.Duration
	for a := plan.Arrivals(); ; {
		at, ok := a.Next()
		if !ok {
			break
		}
		gap := (at - last).Seconds()
		last, n, sum, squares = at, n+1, sum+gap, squares+gap*gap
	}
	mean := sum / n
	if cv := math.Sqrt(squares/n-mean*mean) / mean; math.Abs(cv-1) > 0.03 {
		t.Errorf("the standard deviation divided by the mean is %.3f, want 1", cv)
	}
}

// A plan with NaN or out-of-range values could make the iteration panic or never end. Any plan that
// passes Check must be playable, with an expected count that is a number.
func TestValidPlansCanBePlayed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.OneOf(rapid.Float64Range(-1, 3), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), 1e7, 0}))
		span := rapid.Custom(func(t *rapid.T) duration.Duration {
			return duration.Duration(rapid.OneOf(rapid.Int64Range(-1, 2e9), rapid.Just(int64(1<<62))).Draw(t, "span"))
		})
		plan := &Plan{Length: 2 * time.Second, Poisson: rapid.Bool().Draw(t, "poisson")}
		for range rapid.IntRange(0, 3).Draw(t, "shapes") {
			shape := Shape{Kind: rapid.SampledFrom([]string{"constant", "ramp", "surge", "sine", "on-off", "piecewise", "?"}).Draw(t, "kind")}
			for _, f := range []*float64{&shape.Rate, &shape.From, &shape.To, &shape.Factor, &shape.Amplitude, &shape.Low} {
				*f = number.Draw(t, "number")
			}
			for _, d := range []*duration.Duration{&shape.At, &shape.Over, &shape.Rise, &shape.Hold, &shape.Fall, &shape.Every, &shape.Period, &shape.Phase, &shape.On, &shape.Off} {
				*d = span.Draw(t, "span")
			}
			for range rapid.IntRange(0, 3).Draw(t, "points") {
				shape.Points = append(shape.Points, Point{span.Draw(t, "at"), number.Draw(t, "rate")})
			}
			plan.Shapes = append(plan.Shapes, shape)
		}
		if plan.Check() != nil {
			return
		}
		n := 0.0
		for a := plan.Arrivals(); n < 1000; n++ {
			if _, ok := a.Next(); !ok {
				break
			}
		}
		if e := plan.ExpectedCount(); math.IsNaN(e) || e < 0 {
			t.Fatalf("the expected count is %v, want a number of at least 0", e)
		}
	})
}
