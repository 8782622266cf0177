package lab

import (
	"fmt"
	"math"
	"testing"
	"time"

	"chalkrack"
)

// maxOverBudget returns the largest excess, over all windows of Rules.OverloadFor, of the attempts
// that reached a cold node over the budget N of the rules plus 2*sqrt(N) + 2 for chance, and the
// number of attempts in that window. A negative excess means that the budget was kept.
func (l *Lab) maxOverBudget(node string, work time.Duration) (maxExcess, arrivals float64) {
	machine, rules := l.nodes[node], l.cfg.Rules
	capacity := func(at time.Duration) float64 { // requests per second
		age := math.Max(0, math.Min(1, float64(at-machine.start)/float64(rules.ColdFor)))
		return float64(machine.Cores) * machine.Speed * (machine.ColdShare + (1-machine.ColdShare)*age) / work.Seconds()
	}
	maxExcess = math.Inf(-1)
	for first, last := 0, 0; last < len(machine.coldArrivals); last++ {
		for machine.coldArrivals[last]-machine.coldArrivals[first] > rules.OverloadFor {
			first++
		}
		middle := machine.coldArrivals[last] - rules.OverloadFor/2
		budget := rules.OverloadFactor * capacity(middle) * rules.OverloadFor.Seconds()
		if excess := float64(last-first+1) - budget - 2*math.Sqrt(budget) - 2; excess > maxExcess {
			maxExcess, arrivals = excess, float64(last-first+1)
		}
	}
	return maxExcess, arrivals
}

// If each process of a fleet computes its part of a cold node's budget wrongly, the attempts of all
// processes together exceed the budget. It must hold with few or many processes, with equal or
// unequal traffic, when most other nodes vanish or leave the server list, so that all processes
// choose other nodes at once, and when all processes have just started.
func TestColdBudgetHoldsForTheFleet(t *testing.T) {
	for _, rules := range []chalkrack.Config{
		{ColdFrom: 0.15, ColdFor: 20 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second},
		{ColdFrom: 0.1, ColdFor: 8 * time.Second, OverloadFactor: 3, OverloadFor: 1500 * time.Millisecond},
	} {
		testColdBudget(t, rules)
	}
}

func testColdBudget(t *testing.T, rules chalkrack.Config) {
	const work = 130 * time.Millisecond
	for _, processCount := range []int{2, 5, 30, 300} {
		seeds := 2
		if processCount == 300 {
			seeds = 1
		}
		for _, uneven := range []bool{false, true} {
			for _, scenario := range []string{"calm", "others vanish", "others are taken off", "all have just started"} {
				maxExcess, arrivals := math.Inf(-1), 0.0
				for seed := range uint64(seeds) {
					cfg := warmFleetConfig(rules, 100+seed, processCount, uneven, 0.6, work)
					start := 5 * time.Second
					if scenario == "all have just started" {
						start = 50 * time.Millisecond
					}
					l, err := New(cfg)
					if err != nil {
						t.Fatal(err)
					}
					l.After(start, func() {
						for n := range 3 {
							l.Replace(fmt.Sprint("n", n), Node{Name: fmt.Sprint("fresh", n), Speed: 1.4, Cores: 2, QueueSize: 5, ColdShare: rules.ColdFrom}, time.Second)
						}
					})
					if scenario == "others vanish" {
						l.After(start+3*time.Second, func() {
							for n := 3; n < 10; n++ {
								l.SetUnreachable(fmt.Sprint("n", n), true)
							}
						})
					}
					if scenario == "others are taken off" {
						l.After(start+time.Second, func() {
							for n := 3; n < 10; n++ {
								l.Remove(fmt.Sprint("n", n), 200*time.Millisecond)
							}
						})
					}
					l.Run(start + 7*time.Second)
					for n := range 3 {
						if excess, callCount := l.maxOverBudget(fmt.Sprint("fresh", n), work); excess > maxExcess {
							maxExcess, arrivals = excess, callCount
						}
					}
				}
				t.Logf("%d processes, uneven %v, %s: at most %.0f attempts in a window, %+.1f compared to the limit", processCount, uneven, scenario, arrivals, maxExcess)
				if maxExcess > 0 {
					t.Errorf("%d processes, uneven %v, %s: %.1f attempts above the limit of a cold node", processCount, uneven, scenario, maxExcess)
				}
			}
		}
	}
}

// warmFleetConfig returns a fleet of twelve warm nodes and count sidecars. load is the share of the
// nodes' capacity that the calls need. If uneven is set, a tenth of the sidecars have ten times as
// much traffic as each of the others.
func warmFleetConfig(rules chalkrack.Config, seed uint64, count int, uneven bool, load float64, work time.Duration) Config {
	rules.MaxAttempts, rules.MayCancel, rules.SecondCopies, rules.MaxRetryAfter, rules.WasteCost = 5, true, true, 2*time.Second, 0.2
	cfg := Config{Seed: seed, Sidecars: count, ClientTimeout: 2500 * time.Millisecond, MaxClientRetries: 2, HonourRetryAfterShare: 0.8,
		Rules:   rules,
		Classes: []Class{{Class: chalkrack.Class{Aim: 800 * time.Millisecond, Worth: 1, Effect: chalkrack.Safe}, Share: 1, MeanWork: work}}}
	capacity := 0.0
	for n := range 12 {
		cfg.Nodes = append(cfg.Nodes, Node{Name: fmt.Sprint("n", n), Speed: 1.4, Cores: 2, QueueSize: 5})
		capacity += 2 * 1.4
	}
	cfg.Rate = func(time.Duration) float64 { return load * capacity / work.Seconds() }
	if uneven {
		busySidecars := (count + 9) / 10
		lowShare := 1 / (float64(10*busySidecars) + float64(count-busySidecars))
		cfg.SidecarShare = func(n int) float64 {
			if n < busySidecars {
				return 10 * lowShare
			}
			return lowShare
		}
	}
	return cfg
}

// When all or most nodes restart at once, the attempts sent must follow their rising capacity.
// Capacity that sidecars left unused for a while must not lower their later budget: the fleet
// would not recover then.
func TestFleetRecoversWhenMostNodesRestart(t *testing.T) {
	const work = 130 * time.Millisecond
	rules := chalkrack.Config{ColdFrom: 0.15, ColdFor: 20 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second}
	for _, processCount := range []int{30, 150} {
		for _, replaced := range []int{12, 9} {
			var worth [3]float64
			maxExcess := math.Inf(-1)
			const seeds = 3
			for seed := range uint64(seeds) {
				l, err := New(warmFleetConfig(rules, 200+seed, processCount, false, 0.5, work))
				if err != nil {
					t.Fatal(err)
				}
				const start = 25
				l.After(start*time.Second, func() {
					for n := range replaced {
						l.Replace(fmt.Sprint("n", n), Node{Name: fmt.Sprint("fresh", n), Speed: 1.4, Cores: 2, QueueSize: 5, ColdShare: rules.ColdFrom}, 500*time.Millisecond)
					}
				})
				l.Run((start + 22) * time.Second)
				for n, from := range [...]int{1, 6, 11} {
					worth[n] += l.ServedWorthShare(start+from, start+[...]int{6, 11, 20}[n]) / seeds
				}
				for n := range replaced {
					excess, _ := l.maxOverBudget(fmt.Sprint("fresh", n), work)
					maxExcess = max(maxExcess, excess)
				}
			}
			t.Logf("%d processes, %d of 12 nodes restarted: worth %.2f, %.2f, %.2f; %+.1f compared to the limit", processCount, replaced, worth[0], worth[1], worth[2], maxExcess)
			if maxExcess > 0 {
				t.Errorf("%d processes, %d of 12 nodes restarted: %.1f attempts above the limit of a cold node", processCount, replaced, maxExcess)
			}
			if minWorth := map[int]float64{30: 0.88, 150: 0.7}[processCount]; worth[2] < minWorth {
				t.Errorf("%d processes, %d of 12 nodes restarted: worth %.2f from 11 to 20 s after the restart, want at least %.2f", processCount, replaced, worth[2], minWorth)
			}
		}
	}
}

// Sidecars whose clocks are ahead by 6 s take servers that start for 6 s older, and so for warmer
// than they are. At a load of 0.9 the allowance for chance covers this. From 10 s on it does not,
// and no other mechanism keeps the budget then.
func TestColdBudgetHoldsWithClocksAhead(t *testing.T) {
	const work = 130 * time.Millisecond
	rules := chalkrack.Config{ColdFrom: 0.15, ColdFor: 20 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second}
	for _, processCount := range []int{2, 5, 30, 300} {
		maxExcess := math.Inf(-1)
		for seed := range uint64(2) {
			cfg := warmFleetConfig(rules, 300+seed, processCount, false, 0.9, work)
			cfg.ClockAhead = 6 * time.Second
			l, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			l.After(30*time.Second, func() {
				for n := range 9 {
					l.Replace(fmt.Sprint("n", n), Node{Name: fmt.Sprint("fresh", n), Speed: 1.4, Cores: 2, QueueSize: 5, ColdShare: rules.ColdFrom}, time.Second)
				}
			})
			l.Run(42 * time.Second)
			for n := range 9 {
				excess, _ := l.maxOverBudget(fmt.Sprint("fresh", n), work)
				maxExcess = max(maxExcess, excess)
			}
		}
		t.Logf("%d processes: %+.1f attempts compared to the limit", processCount, maxExcess)
		if maxExcess > 0 {
			t.Errorf("%d processes: %.1f attempts above the limit of a cold node", processCount, maxExcess)
		}
	}
}
