package lab

import (
	"fmt"
	"math"
	"testing"
	"time"

	"chalkrack"
)

// overBudget is by how much what came to a cold node in any window went over the budget that
// the rules allow then and the part of it that is chance, 2 x root of N + 2, at the worst; and
// how much came then.
func (l *Lab) overBudget(node string, work time.Duration) (worst, came float64) {
	m, r := l.nodes[node], l.cfg.Rules
	can := func(at time.Duration) float64 { // requests a second
		age := math.Max(0, math.Min(1, float64(at-m.since)/float64(r.ColdFor)))
		return float64(m.Cores) * m.Speed * (m.Cold + (1-m.Cold)*age) / work.Seconds()
	}
	worst = math.Inf(-1)
	for from, last := 0, 0; last < len(m.times); last++ {
		for m.times[last]-m.times[from] > r.OverloadFor {
			from++
		}
		mid := m.times[last] - r.OverloadFor/2
		n := r.OverloadFactor * can(mid) * r.OverloadFor.Seconds()
		if over := float64(last-from+1) - n - 2*math.Sqrt(n) - 2; over > worst {
			worst, came = over, float64(last-from+1)
		}
	}
	return worst, came
}

// What all processes of a fleet send to a cold node stays under the budget of the settings,
// whatever their number and shares of the traffic: while the others are well, when most of
// these vanish right after its start, or are taken off the list, so that each process looks
// for another at once, and where all processes have only just started.
func TestColdBudgetHoldsForTheFleet(t *testing.T) {
	for _, rules := range []chalkrack.Config{
		{ColdFrom: 0.15, ColdFor: 20 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second},
		{ColdFrom: 0.1, ColdFor: 8 * time.Second, OverloadFactor: 3, OverloadFor: 1500 * time.Millisecond},
	} {
		coldBudget(t, rules)
	}
}

func coldBudget(t *testing.T, rules chalkrack.Config) {
	const work = 130 * time.Millisecond
	for _, count := range []int{2, 5, 30, 300} {
		seeds := 2
		if count == 300 {
			seeds = 1
		}
		for _, uneven := range []bool{false, true} {
			for _, what := range []string{"calm", "others vanish", "others are taken off", "all have just started"} {
				worst, came := math.Inf(-1), 0.0
				for seed := range uint64(seeds) {
					cfg := warmFleet(rules, 100+seed, count, uneven, 0.6, work)
					start := 5 * time.Second
					if what == "all have just started" {
						start = 50 * time.Millisecond
					}
					l, err := New(cfg)
					if err != nil {
						t.Fatal(err)
					}
					l.After(start, func() {
						for n := range 3 {
							l.Replace(fmt.Sprint("n", n), Node{Name: fmt.Sprint("fresh", n), Speed: 1.4, Cores: 2, Room: 5, Cold: rules.ColdFrom}, time.Second)
						}
					})
					if what == "others vanish" {
						l.After(start+3*time.Second, func() {
							for n := 3; n < 10; n++ {
								l.Vanish(fmt.Sprint("n", n), true)
							}
						})
					}
					if what == "others are taken off" {
						l.After(start+time.Second, func() {
							for n := 3; n < 10; n++ {
								l.Remove(fmt.Sprint("n", n), 200*time.Millisecond)
							}
						})
					}
					l.Run(start + 7*time.Second)
					for n := range 3 {
						if over, c := l.overBudget(fmt.Sprint("fresh", n), work); over > worst {
							worst, came = over, c
						}
					}
				}
				t.Logf("%d processes, uneven %v, %s: %.0f calls within a window, %+.1f beside the bound", count, uneven, what, came, worst)
				if worst > 0 {
					t.Errorf("%d processes, uneven %v, %s: %.1f calls over the bound", count, uneven, what, worst)
				}
			}
		}
	}
}

// warmFleet is twelve warm nodes under a load, evenly asked or by a tenth of the sidecars that
// bring ten times as much as any other.
func warmFleet(rules chalkrack.Config, seed uint64, count int, uneven bool, load float64, work time.Duration) Config {
	rules.MaxAttempts, rules.MayCancel, rules.SecondCopies, rules.MaxRetryAfter, rules.WasteCost = 5, true, true, 2*time.Second, 0.2
	cfg := Config{Seed: seed, Sidecars: count, Wait: 2500 * time.Millisecond, Tries: 2, Honour: 0.8,
		Rules:   rules,
		Classes: []Class{{Class: chalkrack.Class{Aim: 800 * time.Millisecond, Worth: 1, Effect: chalkrack.Safe}, Share: 1, Work: work}}}
	capacity := 0.0
	for n := range 12 {
		cfg.Nodes = append(cfg.Nodes, Node{Name: fmt.Sprint("n", n), Speed: 1.4, Cores: 2, Room: 5})
		capacity += 2 * 1.4
	}
	cfg.Rate = func(time.Duration) float64 { return load * capacity / work.Seconds() }
	if uneven {
		busy := (count + 9) / 10
		unit := 1 / (float64(10*busy) + float64(count-busy))
		cfg.Share = func(n int) float64 {
			if n < busy {
				return 10 * unit
			}
			return unit
		}
	}
	return cfg
}

// All nodes, or most, are anew at once: what is sent to them follows what they can do, and what
// can't be sent for a while does not lower what may be sent then.
func TestFleetAllColdComesBack(t *testing.T) {
	const work = 130 * time.Millisecond
	rules := chalkrack.Config{ColdFrom: 0.15, ColdFor: 20 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second}
	for _, count := range []int{30, 150} {
		for _, anew := range []int{12, 9} {
			var worth [3]float64
			worst := math.Inf(-1)
			const seeds = 3
			for seed := range uint64(seeds) {
				l, err := New(warmFleet(rules, 200+seed, count, false, 0.5, work))
				if err != nil {
					t.Fatal(err)
				}
				const start = 25
				l.After(start*time.Second, func() {
					for n := range anew {
						l.Replace(fmt.Sprint("n", n), Node{Name: fmt.Sprint("fresh", n), Speed: 1.4, Cores: 2, Room: 5, Cold: rules.ColdFrom}, 500*time.Millisecond)
					}
				})
				l.Run((start + 22) * time.Second)
				for n, from := range [...]int{1, 6, 11} {
					worth[n] += l.Worth(start+from, start+[...]int{6, 11, 20}[n]) / seeds
				}
				for n := range anew {
					over, _ := l.overBudget(fmt.Sprint("fresh", n), work)
					worst = max(worst, over)
				}
			}
			t.Logf("%d processes, %d of 12 anew: worth %.2f, %.2f, %.2f; %+.1f beside the bound", count, anew, worth[0], worth[1], worth[2], worst)
			if worst > 0 {
				t.Errorf("%d processes, %d of 12 anew: %.1f calls over the bound", count, anew, worst)
			}
			if least := map[int]float64{30: 0.88, 150: 0.7}[count]; worth[2] < least {
				t.Errorf("%d processes, %d of 12 anew: worth %.2f from 11 to 20 s after, at least %.2f is wanted", count, anew, worth[2], least)
			}
		}
	}
}

// Clocks that are ahead by 6 s make servers look that much older when they start. What is kept
// for chance covers it at a load of 0.9. From 10 s on it does not, and nothing else guards that.
func TestClockAheadCrossesAStart(t *testing.T) {
	const work = 130 * time.Millisecond
	rules := chalkrack.Config{ColdFrom: 0.15, ColdFor: 20 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second}
	for _, count := range []int{2, 5, 30, 300} {
		worst := math.Inf(-1)
		for seed := range uint64(2) {
			cfg := warmFleet(rules, 300+seed, count, false, 0.9, work)
			cfg.Ahead = 6 * time.Second
			l, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			l.After(30*time.Second, func() {
				for n := range 9 {
					l.Replace(fmt.Sprint("n", n), Node{Name: fmt.Sprint("fresh", n), Speed: 1.4, Cores: 2, Room: 5, Cold: rules.ColdFrom}, time.Second)
				}
			})
			l.Run(42 * time.Second)
			for n := range 9 {
				over, _ := l.overBudget(fmt.Sprint("fresh", n), work)
				worst = max(worst, over)
			}
		}
		t.Logf("%d processes: %+.1f beside the bound", count, worst)
		if worst > 0 {
			t.Errorf("%d processes: %.1f calls over the bound", count, worst)
		}
	}
}
