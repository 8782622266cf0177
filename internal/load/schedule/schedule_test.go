package schedule

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack/internal/duration"
)

func every(d time.Duration) duration.Duration { return duration.Duration(d) }

// Each shape brings the number of arrivals that its integral says, in each tenth of the
// way, in order, and the same for the same seed.
func TestShapesBringTheirIntegral(t *testing.T) {
	const length = 20 * time.Second
	base := Shape{Kind: "constant", Rate: 400}
	for name, c := range map[string]struct {
		shapes []Shape
		want   func(from, to float64) float64 // the integral, worked out by hand
	}{
		"constant": {[]Shape{base}, func(a, b float64) float64 { return 400 * (b - a) }},
		"ramp": {[]Shape{base, {Kind: "ramp", From: 0, To: 2, Over: every(length)}}, func(a, b float64) float64 {
			return 400 * (b*b - a*a) / 20
		}},
		"surge": {[]Shape{base, {Kind: "surge", Factor: 3, At: every(4 * time.Second), Hold: every(2 * time.Second)}}, func(a, b float64) float64 {
			over := max(0, min(b, 6)-max(a, 4))
			return 400 * (b - a + 2*over)
		}},
		"sine": {[]Shape{base, {Kind: "sine", Amplitude: 1, Period: every(length)}}, func(a, b float64) float64 {
			w := 2 * math.Pi / 20
			return 400 * (b - a - (math.Cos(w*b)-math.Cos(w*a))/w)
		}},
		"on-off": {[]Shape{base, {Kind: "on-off", On: every(2 * time.Second), Off: every(2 * time.Second)}}, func(a, b float64) float64 {
			return 400 * (b - a) * map[bool]float64{true: 1, false: 0}[int(a/2)%2 == 0]
		}},
		"piecewise": {[]Shape{{Kind: "piecewise", Points: []Point{{0, 100}, {every(10 * time.Second), 500}}}}, func(a, b float64) float64 {
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
			p := &Plan{Shapes: c.shapes, Length: length, Poisson: poisson, Seed: 5}
			if err := p.Check(); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			var tenths [10]float64
			var last time.Duration
			a, again := p.Arrivals(), p.Arrivals()
			for {
				at, ok := a.Next()
				if at2, ok2 := again.Next(); at2 != at || ok2 != ok {
					t.Fatalf("%s: %v and %v from one seed", name, at, at2)
				}
				if !ok {
					break
				}
				if at < last || at >= length {
					t.Fatalf("%s: %v after %v", name, at, last)
				}
				last = at
				tenths[at*10/length]++
			}
			for n, got := range tenths {
				want := c.want(float64(2*n), float64(2*n+2))
				slack := 2.0
				if poisson {
					slack += 4.5 * math.Sqrt(want)
				}
				if math.Abs(got-want) > slack {
					t.Errorf("%s, by chance %v: %v arrivals in tenth %d, want %.0f", name, poisson, got, n, want)
				}
			}
		}
	}
}

// 50,000 arrivals in one second are brought, each at its time.
func TestBurst(t *testing.T) {
	p := &Plan{Shapes: []Shape{{Kind: "constant", Rate: 50000}}, Length: time.Second}
	n := 0
	for a := p.Arrivals(); ; n++ {
		at, ok := a.Next()
		if !ok {
			break
		}
		if want := time.Duration((float64(n) + 0.5) * 20000); at < want-time.Microsecond || at > want+time.Microsecond {
			t.Fatalf("arrival %d at %v, want %v", n, at, want)
		}
	}
	if n != 50000 {
		t.Errorf("%d arrivals", n)
	}
}

// Gaps by chance are those of a Poisson process: their mean and spread are alike.
func TestGapsByChance(t *testing.T) {
	p := &Plan{Shapes: []Shape{{Kind: "constant", Rate: 1000}}, Length: 60 * time.Second, Poisson: true, Seed: 9}
	var n, sum, squares float64
	var last time.Duration
	for a := p.Arrivals(); ; {
		at, ok := a.Next()
		if !ok {
			break
		}
		g := (at - last).Seconds()
		last, n, sum, squares = at, n+1, sum+g, squares+g*g
	}
	mean := sum / n
	if cv := math.Sqrt(squares/n-mean*mean) / mean; math.Abs(cv-1) > 0.03 {
		t.Errorf("the spread over the mean is %.3f, want 1", cv)
	}
}

// Whatever passes Check can be played, and what is not a number or out of bounds does
// not pass.
func TestCheckedPlansPlay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.OneOf(rapid.Float64Range(-1, 3), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), 1e7, 0}))
		span := rapid.Custom(func(t *rapid.T) duration.Duration {
			return duration.Duration(rapid.OneOf(rapid.Int64Range(-1, 2e9), rapid.Just(int64(1<<62))).Draw(t, "span"))
		})
		p := &Plan{Length: 2 * time.Second, Poisson: rapid.Bool().Draw(t, "poisson")}
		for range rapid.IntRange(0, 3).Draw(t, "shapes") {
			s := Shape{Kind: rapid.SampledFrom([]string{"constant", "ramp", "surge", "sine", "on-off", "piecewise", "?"}).Draw(t, "kind")}
			for _, f := range []*float64{&s.Rate, &s.From, &s.To, &s.Factor, &s.Amplitude, &s.Low} {
				*f = number.Draw(t, "number")
			}
			for _, d := range []*duration.Duration{&s.At, &s.Over, &s.Rise, &s.Hold, &s.Fall, &s.Every, &s.Period, &s.Phase, &s.On, &s.Off} {
				*d = span.Draw(t, "span")
			}
			for range rapid.IntRange(0, 3).Draw(t, "points") {
				s.Points = append(s.Points, Point{span.Draw(t, "at"), number.Draw(t, "rate")})
			}
			p.Shapes = append(p.Shapes, s)
		}
		if p.Check() != nil {
			return
		}
		n := 0.0
		for a := p.Arrivals(); n < 1000; n++ {
			if _, ok := a.Next(); !ok {
				break
			}
		}
		if e := p.Expect(); math.IsNaN(e) || e < 0 {
			t.Fatalf("expects %v", e)
		}
	})
}
