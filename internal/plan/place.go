package plan

import (
	"container/heap"
	"errors"
	"math"
	"slices"

	"chalkrack/internal/simplex"
)

const (
	// whole is how near a number of nodes must be to a whole one.
	whole = 1e-6
	// stepsMost bounds a search by its steps, each a few linear programmes.
	stepsMost = 4000
	// cutsMost bounds how often a placement is mended for a loss that it can't bear.
	cutsMost = 400
	// alike is how near two values must be to count as one.
	alike = 1e-7
)

// Search is how a search for the number of nodes went.
type Search struct {
	Steps int       `json:"steps"`
	Cuts  int       `json:"cuts,omitempty"`
	Bound []float64 `json:"bound"` // late, worth, cost: no placement does better
	Best  []float64 `json:"best"`  // of what was found
	// Gap is what Best misses of Bound at the first of the three where they differ, of
	// its size; 0: it is proven to be the best.
	Gap  float64 `json:"gap"`
	Left bool    `json:"left,omitempty"` // ended before its end
}

// ErrLeft is of a search that was ended before it found anything.
var ErrLeft = errors.New("plan: left before an answer was found")

// searchNode is one part of the search: bounds on how many nodes of each group are in use.
type searchNode struct {
	lo, hi []float64
	bound  []float64
	n      int
}

type frontier []*searchNode

func (f frontier) Len() int { return len(f) }
func (f frontier) Less(i, j int) bool {
	if c := lexical(f[i].bound, f[j].bound); c != 0 {
		return c < 0
	}
	return f[i].n > f[j].n // of equals the newest, which is the deepest
}
func (f frontier) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *frontier) Push(x any)   { *f = append(*f, x.(*searchNode)) }
func (f *frontier) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// lexical compares values in their order, those that are alike as one.
func lexical(a, b []float64) int {
	for n := range a {
		if d := a[n] - b[n]; math.Abs(d) > alike*max(1, math.Abs(a[n]), math.Abs(b[n])) {
			if d < 0 {
				return -1
			}
			return 1
		}
	}
	return 0
}

// place finds how many nodes of each group should be in use, by best-first branch and
// bound (Land and Doig 1960): the relaxation's values, in the order of the aims, bound
// those of all whole numbers below it. feasible stops at the first that meets the limits.
// A nil count says that there is none, or none was found before the search was left.
func (m *model) place(feasible bool, stop func() bool, progress func(Search)) (count []float64, s Search, err error) {
	all := m.aims()[:moves]
	if feasible {
		all = all[:0:0]
		all = append(all, aim{})
	}
	root := &searchNode{}
	for _, v := range m.ints() {
		lo, hi := m.p.Bounds(v)
		root.lo, root.hi = append(root.lo, lo), append(root.hi, hi)
	}
	defer m.bound(root)
	open := &frontier{root}
	next := 0
	var best []float64
	for open.Len() > 0 {
		at := heap.Pop(open).(*searchNode)
		if best != nil && at.bound != nil && lexical(at.bound, best) >= 0 {
			break // so are all others
		}
		if s.Steps >= stepsMost || stop != nil && stop() {
			s.Left = true
			heap.Push(open, at)
			break
		}
		s.Steps++
		values, counts, serr := m.relax(at, all, stop)
		if errors.Is(serr, ErrLeft) {
			s.Left = true
			heap.Push(open, at)
			break
		}
		if serr != nil {
			return nil, s, serr
		}
		if values == nil || best != nil && lexical(values, best) >= 0 {
			continue
		}
		branch, far := -1, whole
		for n, x := range counts {
			if d := math.Abs(x - math.Round(x)); d > far {
				branch, far = n, d
			}
		}
		if branch < 0 {
			best, count = values, rounded(counts, math.Round)
			if feasible {
				break
			}
			s.Best = best
			if progress != nil {
				progress(s)
			}
			continue
		}
		// All rounded up often serves as well as the relaxation, and prunes the rest.
		up := &searchNode{lo: rounded(counts, ceil), hi: rounded(counts, ceil)}
		if v, c, serr := m.relax(up, all, stop); serr == nil && v != nil && (best == nil || lexical(v, best) < 0) {
			best, count = v, rounded(c, math.Round)
			s.Best = best
			if feasible {
				break
			}
			if progress != nil {
				progress(s)
			}
		}
		for _, higher := range []bool{false, true} {
			child := &searchNode{lo: slices.Clone(at.lo), hi: slices.Clone(at.hi), bound: values, n: next}
			next++
			if higher {
				child.lo[branch] = math.Ceil(counts[branch])
			} else {
				child.hi[branch] = math.Floor(counts[branch])
			}
			heap.Push(open, child)
		}
	}
	s.Best, s.Bound = best, best
	if s.Left && open.Len() > 0 {
		if s.Bound = (*open)[0].bound; s.Bound != nil && best != nil {
			for n := range best {
				if d := best[n] - s.Bound[n]; d > alike*max(1, math.Abs(best[n])) {
					s.Gap = d / max(math.Abs(best[n]), 1e-9)
					break
				}
			}
		}
	}
	return count, s, nil
}

func ceil(x float64) float64 { return math.Ceil(x - whole) }

func rounded(all []float64, by func(float64) float64) []float64 {
	out := make([]float64, len(all))
	for n, x := range all {
		out[n] = by(x)
	}
	return out
}

// ints are the variables that must be whole: how many nodes of each group are in use, then
// whether any is, of groups that a cut names.
func (m *model) ints() (all []int) {
	for _, g := range m.groups {
		all = append(all, g.open)
	}
	return append(all, m.any...)
}

// bound sets how many nodes may be in use.
func (m *model) bound(at *searchNode) {
	for n, v := range m.ints() {
		m.p.SetBounds(v, at.lo[n], at.hi[n])
	}
}

// relax solves a part of the search without whole numbers; nil values: nothing meets it.
func (m *model) relax(at *searchNode, all []aim, stop func() bool) (values, counts []float64, err error) {
	m.bound(at)
	values, sol, _, err := lexicographic(m.p, all, stop)
	switch {
	case err != nil:
		return nil, nil, err
	case sol.Status == simplex.Stopped:
		return nil, nil, ErrLeft
	case sol.Status != simplex.Optimal:
		return nil, nil, nil
	}
	for _, v := range m.ints() {
		counts = append(counts, sol.X[v])
	}
	return values, counts, nil
}

// meets says whether the limits that are not off can be met together.
func (f *Fleet) meets(off holding, stop func() bool) (bool, error) {
	m := newModel(f, off, false)
	if f.Choose {
		count, s, err := m.place(true, stop, nil)
		if count == nil && s.Left && err == nil {
			err = ErrLeft
		}
		return count != nil, err
	}
	_, sol, _, err := lexicographic(m.p, []aim{{}}, stop)
	if err == nil && sol.Status == simplex.Stopped {
		err = ErrLeft
	}
	return err == nil && sol.Status == simplex.Optimal, err
}

// Conflicts are least sets of limits that contradict each other: with any one of a set
// taken away the rest of the set can be met. Sets share no limit; none: all can be met.
// It is QuickXplain (Junker 2004), again and again without the limits found before.
func (f *Fleet) Conflicts(stop func() bool) (sets [][]string, err error) {
	all := f.limits()
	var gone []limit
	for range 8 {
		left := slices.DeleteFunc(slices.Clone(all), func(l limit) bool { return slices.Contains(gone, l) })
		ok := func(on []limit) (bool, error) {
			off := make(holding)
			for _, l := range all {
				off[l] = !slices.Contains(on, l)
			}
			return f.meets(off, stop)
		}
		if good, err := ok(left); good || err != nil {
			return sets, err
		}
		set, err := explain(nil, left, false, ok)
		if err != nil || len(set) == 0 {
			return sets, err
		}
		var words []string
		for _, l := range all { // in the order of the file
			if slices.Contains(set, l) {
				words = append(words, string(l))
			}
		}
		sets, gone = append(sets, words), append(gone, set...)
	}
	return sets, nil
}

// explain finds a least set within some of limits that contradicts with those of base.
func explain(base, some []limit, fresh bool, ok func([]limit) (bool, error)) ([]limit, error) {
	if fresh {
		if good, err := ok(base); !good || err != nil {
			return nil, err
		}
	}
	if len(some) == 1 {
		return some, nil
	}
	half := len(some) / 2
	first, second := some[:half], some[half:]
	right, err := explain(slices.Concat(base, first), second, len(first) > 0, ok)
	if err != nil {
		return nil, err
	}
	left, err := explain(slices.Concat(base, right), first, len(right) > 0, ok)
	return slices.Concat(left, right), err
}
