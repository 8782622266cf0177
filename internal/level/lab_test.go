package level

import (
	"fmt"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/lab"
)

// played is what a fleet served under a load, with levels or with the module's own
// shedding alone.
type played struct {
	worth   float64
	late    int
	refused [3]int
	changes int
	lab     *lab.Lab
	cars    []*Machine
}

const minutes = 2

// play has 40 sidecars, 13 of them quiet, before 12 nodes of two kinds.
func play(t testing.TB, seed uint64, reduced bool, load func(time.Duration) float64, change func(*lab.Config)) played {
	t.Helper()
	cfg := lab.Config{Seed: seed, Sidecars: 40, Wait: 2500 * time.Millisecond, Tries: 2, Honour: 0.8,
		Rules: chalkrack.Config{MaxAttempts: 5, SecondCopies: true, MaxRetryAfter: 2 * time.Second, WasteCost: 0.002},
		Classes: []lab.Class{
			{Class: chalkrack.Class{Aim: 800 * time.Millisecond, Worth: 1, Effect: chalkrack.Safe}, Share: 0.52, Work: 130 * time.Millisecond},
			{Class: chalkrack.Class{Aim: time.Second, Worth: 3, Effect: chalkrack.Keyed, Window: 1500 * time.Millisecond}, Share: 0.27, Work: 130 * time.Millisecond},
			{Class: chalkrack.Class{Aim: 750 * time.Millisecond, Worth: 10, Effect: chalkrack.Unsafe}, Share: 0.21, Work: 130 * time.Millisecond},
		}}
	capacity := 0.0
	for n := range 12 {
		speed := 1.8 - 0.9*float64(n%2)
		cfg.Nodes = append(cfg.Nodes, lab.Node{Name: fmt.Sprint("n", n), Speed: speed, Cores: 2, Room: 6})
		capacity += 2 * speed
	}
	cfg.Rate = func(at time.Duration) float64 { return load(at) * capacity / 0.13 }
	cfg.Share = func(n int) float64 { // every third is quiet
		if n%3 == 0 {
			return 0.1 / 14
		}
		return 0.9 / 26
	}
	var p played
	if reduced {
		cfg.Begin = func(s *lab.Sidecar) {
			m := made(t, nil)
			p.cars = append(p.cars, m)
			s.SetGate(m)
			var ended, late, full float64
			s.Lab.Every(100*time.Millisecond, func() {
				const fade = 0.98 // five seconds
				ended, late, full = ended*fade+s.Ended, late*fade+s.Late, full*fade+s.Full
				s.Ended, s.Late, s.Full = 0, 0, 0
				r := Reading{Outcomes: ended}
				r.Value[Late], r.Value[Full] = late/max(ended, 1), full/max(ended, 1)
				m.Tick(s.Lab.Now, r)
			})
		}
	}
	if change != nil {
		change(&cfg)
	}
	l, err := lab.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	l.Run(minutes * time.Minute)
	p.lab, p.worth = l, l.Worth(5, 60*minutes-5)
	for _, s := range l.Seconds {
		p.late += s.Late
		for c, n := range s.Refused {
			p.refused[c] += n
		}
	}
	for _, m := range p.cars {
		p.changes += m.count
	}
	return p
}

// Against the module's own shedding on the same load, from under to far over what the
// fleet can do: worth served in time is no lower with levels.
func TestWorth(t *testing.T) {
	seeds := uint64(2)
	if testing.Short() {
		seeds = 1
	}
	for _, x := range []float64{0.8, 1, 1.2, 1.5, 2, 3} {
		var sum [2]played
		for seed := range seeds {
			for n := range sum {
				p := play(t, seed, n == 1, func(time.Duration) float64 { return x }, nil)
				sum[n].worth += p.worth / float64(seeds)
				sum[n].late += p.late
				sum[n].changes += p.changes
				for c := range p.refused {
					sum[n].refused[c] += p.refused[c]
				}
			}
		}
		t.Logf("load %.1f: worth %.4f with shedding alone, %.4f with levels; late %d, %d; refused %v, %v; %.1f changes a sidecar",
			x, sum[0].worth, sum[1].worth, sum[0].late, sum[1].late, sum[0].refused, sum[1].refused, float64(sum[1].changes)/40/float64(seeds))
		if sum[1].worth < sum[0].worth-0.005 {
			t.Errorf("load %v: worth %v with levels, %v without", x, sum[1].worth, sum[0].worth)
		}
	}
}
