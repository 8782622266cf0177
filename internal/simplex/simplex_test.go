package simplex

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

func solve(t testing.TB, p *Problem) *Solution {
	t.Helper()
	s, err := p.Solve(nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-7*max(1, math.Abs(a), math.Abs(b)) }

// Programmes on which a naive simplex cycles, takes exponentially many steps, or loses its
// digits.
func TestHard(t *testing.T) {
	beale := func() *Problem { // cycles under the largest coefficient (Beale 1955)
		p := new(Problem)
		for _, c := range []float64{-0.75, 150, -0.02, 6} {
			p.Var(0, math.Inf(1), c)
		}
		p.Row(LE, 0, Term{0, 0.25}, Term{1, -60}, Term{2, -1.0 / 25}, Term{3, 9})
		p.Row(LE, 0, Term{0, 0.5}, Term{1, -90}, Term{2, -1.0 / 50}, Term{3, 3})
		p.Row(LE, 1, Term{2, 1})
		return p
	}
	klee := func() *Problem { // Klee and Minty 1972, eight dimensions
		p := new(Problem)
		const n = 8
		for j := range n {
			p.Var(0, math.Inf(1), -math.Pow(2, float64(n-1-j)))
		}
		for i := range n {
			var row []Term
			for j := range i {
				row = append(row, Term{j, math.Pow(2, float64(i-j+1))})
			}
			p.Row(LE, math.Pow(5, float64(i+1)), append(row, Term{i, 1})...)
		}
		return p
	}
	units := func() *Problem { // units that differ by 10^18
		p := new(Problem)
		p.Var(0, math.Inf(1), -1e-9)
		p.Var(0, math.Inf(1), -1e9)
		p.Row(LE, 1e9, Term{0, 1}, Term{1, 1e9})
		p.Row(LE, 1e-9, Term{1, 1e-9})
		p.Row(LE, 5e8, Term{0, 1})
		return p
	}
	for _, c := range []struct {
		name string
		p    *Problem
		want float64
	}{{"beale", beale(), -0.05}, {"klee", klee(), -math.Pow(5, 8)}, {"units", units(), -1e9}} {
		s := solve(t, c.p)
		if cert := c.p.Check(s); s.Status != Optimal || !near(s.Objective, c.want) || cert.Primal > 1e-8 || cert.Gap > 1e-8 {
			t.Errorf("%s: %v, %v, want %v; %+v", c.name, s.Status, s.Objective, c.want, cert)
		}
	}
}

func TestNoAnswer(t *testing.T) {
	p := new(Problem)
	p.Var(0, 5, 1)
	p.Var(0, 5, 1)
	p.Row(GE, 11, Term{0, 1}, Term{1, 1})
	if s := solve(t, p); s.Status != Infeasible || p.Proves(s) != nil {
		t.Errorf("%v, %v", s.Status, p.Proves(s))
	}
	p.SetBounds(1, 0, 7) // goes on from there
	if s := solve(t, p); s.Status != Optimal || !near(s.Objective, 11) {
		t.Errorf("%v %v", s.Status, s.Objective)
	}
	p.SetCost(0, -1)
	p.SetBounds(0, 0, math.Inf(1))
	if s := solve(t, p); s.Status != Unbounded {
		t.Errorf("%v", s.Status)
	}
	for _, bad := range []func(){
		func() { p.SetCost(0, math.NaN()) }, func() { p.SetCost(0, 1); p.SetRight(0, math.Inf(1)) },
		func() { p.SetRight(0, 1); p.SetBounds(0, math.NaN(), 1) },
	} {
		bad()
		if _, err := p.Solve(nil); err == nil || !strings.Contains(err.Error(), "number") {
			t.Errorf("%v", err)
		}
	}
}

// random is a programme with rows of all kinds, some of them twice and most of their right
// sides at a corner, so that ties abound.
func random(rng *rand.Rand) *Problem {
	p := new(Problem)
	n, m := 1+rng.IntN(8), 1+rng.IntN(8)
	for range n {
		hi := math.Inf(1)
		if rng.IntN(2) == 0 {
			hi = float64(1 + rng.IntN(4))
		}
		p.Var(0, hi, float64(rng.IntN(9)-3))
	}
	for range m {
		var terms []Term
		for v := range n {
			if rng.IntN(2) == 0 {
				terms = append(terms, Term{v, float64(rng.IntN(7) - 2)})
			}
		}
		b := float64(rng.IntN(9) - 2)
		p.Row(Sense(rng.IntN(3)), b, terms...)
	}
	return p
}

// standard is a problem in the form that gonum's solver takes: A x = b, x >= 0.
func standard(p *Problem) (c []float64, a *mat.Dense, b []float64) {
	n, m := p.Size()
	width, height := n, m
	for v := range n {
		if !math.IsInf(p.hi[v], 0) {
			width++
			height++
		}
	}
	for _, s := range p.sense {
		if s != EQ {
			width++
		}
	}
	c, a, b = make([]float64, width), mat.NewDense(height, width, nil), make([]float64, height)
	copy(c, p.cost)
	copy(b, p.rhs)
	next := n
	for v := range n {
		for k, r := range p.cols[v].rows {
			a.Set(int(r), v, p.cols[v].vals[k])
		}
	}
	for r, s := range p.sense {
		if s != EQ {
			a.Set(r, next, map[Sense]float64{LE: 1, GE: -1}[s])
			next++
		}
	}
	for v := range n {
		if !math.IsInf(p.hi[v], 0) {
			a.Set(m, v, 1)
			a.Set(m, next, 1)
			b[m] = p.hi[v]
			m, next = m+1, next+1
		}
	}
	return c, a, b
}

// Against gonum's solver, where that gives an answer, and against the certificates always.
func TestAgainstGonum(t *testing.T) {
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 1))
	seen := make(map[Status]int)
	compared := 0
	for n := range 4000 {
		p := random(rng)
		s := solve(t, p)
		seen[s.Status]++
		switch s.Status {
		case Optimal:
			if c := p.Check(s); c.Primal > 1e-8 || c.Gap > 1e-8 {
				t.Fatalf("seed %d, %d: %+v", seed, n, c)
			}
		case Infeasible:
			if err := p.Proves(s); err != nil {
				t.Fatalf("seed %d, %d: %v", seed, n, err)
			}
		case Stopped:
			t.Fatalf("seed %d, %d: no end", seed, n)
		}
		func() {
			defer func() { recover() }() // of gonum's, at rows that are none
			c, a, b := standard(p)
			f, _, err := lp.Simplex(c, a, b, 1e-10, nil)
			switch {
			case err == nil && s.Status != Optimal, err == lp.ErrInfeasible && s.Status == Optimal && false:
				t.Errorf("seed %d, %d: gonum finds %v, here it is %v", seed, n, f, s.Status)
			case err == nil && !near(f, s.Objective):
				t.Errorf("seed %d, %d: gonum finds %v, here it is %v", seed, n, f, s.Objective)
			case err == nil:
				compared++
			}
		}()
	}
	t.Log(seen, compared)
	if seen[Optimal] < 800 || seen[Infeasible] < 800 || seen[Unbounded] < 100 || compared < 500 {
		t.Errorf("%v, %d compared: the sample says too little", seen, compared)
	}
}

// What a solution leaves is where the next begins: after changes of bounds, costs and
// rows it ends where a new problem does.
func TestGoesOn(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := range 500 {
		p := random(rng)
		for range 4 {
			solve(t, p)
			v := rng.IntN(len(p.cols))
			switch rng.IntN(3) {
			case 0:
				p.SetBounds(v, 0, float64(rng.IntN(3)))
			case 1:
				p.SetCost(v, float64(rng.IntN(9)-3))
			case 2:
				p.Row(LE, float64(rng.IntN(5)), Term{v, 1})
			}
		}
		s := solve(t, p)
		q := new(Problem)
		for v := range p.cols {
			q.Var(p.lo[v], p.hi[v], p.cost[v])
		}
		for r := range p.rhs {
			var terms []Term
			for v, c := range p.cols {
				for k, at := range c.rows {
					if int(at) == r {
						terms = append(terms, Term{v, c.vals[k]})
					}
				}
			}
			q.Row(p.sense[r], p.rhs[r], terms...)
		}
		if o := solve(t, q); o.Status != s.Status || s.Status == Optimal && !near(o.Objective, s.Objective) {
			t.Fatalf("%d: %v %v, anew %v %v", n, s.Status, s.Objective, o.Status, o.Objective)
		}
	}
}
