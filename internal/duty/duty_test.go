package duty

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack/internal/racing"
)

// In each failure case, the probes per server and second and the longest time that a server
// goes unprobed stay within MaxWatchedGap, MaxTakeoverGap and the stated maximum.
func TestProbeBoundsInFailureCases(t *testing.T) {
	kill := func(w *sim, n int) {
		for i := range n {
			w.peers[i].isDead = true
		}
	}
	half := func(w *sim) func(a, b *sidecar) bool {
		side := make(map[*sidecar]bool)
		for n, c := range w.peers {
			side[c] = n%2 == 0
		}
		return func(a, b *sidecar) bool { return side[a] != side[b] }
	}
	cfg := Default()
	watched, lost := cfg.MaxWatchedGap(), cfg.MaxTakeoverGap(40, 20)
	for _, c := range []struct {
		name              string
		sidecars, servers int
		during            func(*sim)
		gap               time.Duration
		maxPerSecond      int
	}{
		{"nothing happens", 40, 40, nil, watched, 4},
		{"two sidecars", 2, 40, nil, watched, 4},
		{"a tenth of notes lost", 40, 40, func(w *sim) { w.loss = 0.1 }, watched, 4},
		{"half of notes lost", 40, 40, func(w *sim) { w.loss = 0.5 }, watched, 8},
		{"all notes lost", 40, 40, func(w *sim) { w.loss = 1 }, lost, 12},
		{"one killed", 40, 40, func(w *sim) { kill(w, 1) }, lost, 8},
		{"ten killed", 40, 40, func(w *sim) { kill(w, 10) }, lost, 8},
		{"half killed", 40, 40, func(w *sim) { kill(w, 20) }, lost, 8},
		{"all but one killed", 40, 40, func(w *sim) { kill(w, 39) }, cfg.MaxTakeoverGap(40, 1), 8},
		{"parted in halves", 40, 40, func(w *sim) { w.cut = half(w) }, lost, 8},
		{"one alone", 40, 40, func(w *sim) { w.cut = func(a, b *sidecar) bool { return a == w.peers[0] || b == w.peers[0] } }, lost, 8},
		{"one hears and is not heard", 40, 40, func(w *sim) { w.cut = func(a, b *sidecar) bool { return a == w.peers[0] } }, lost, 8},
		{"one is heard and hears nothing", 40, 40, func(w *sim) { w.cut = func(a, b *sidecar) bool { return b == w.peers[0] } }, lost, 8},
		{"halves, and together again", 40, 40, func(w *sim) {
			w.cut = half(w)
			w.After(15*time.Second, func() { w.cut = nil })
		}, lost, 8},
		{"all start anew at once", 40, 40, func(w *sim) {
			for _, c := range w.peers {
				w.start(c)
			}
		}, lost, 8},
		{"a rolling restart", 40, 40, func(w *sim) {
			for n, c := range w.peers {
				w.After(time.Duration(n)*700*time.Millisecond, func() { c.isDead = true })
				w.After(time.Duration(n)*700*time.Millisecond+2*time.Second, func() { w.start(c) })
			}
		}, lost, 8},
		{"three that live and are too slow", 40, 40, func(w *sim) {
			for _, c := range w.peers[:3] {
				c.tickDelay = 5 * time.Second
			}
		}, lost, 8},
		{"a liar", 40, 40, func(w *sim) {
			w.peers[0].isLiar = true
			w.falsify = func(n *Note) { // reports all servers as answering just now, and all other sidecars as dead
				n.Findings, n.Updates = nil, nil
				for i := range maxUpdates {
					n.Updates = append(n.Updates, Update{IDOf(fmt.Sprint("car", 1+(w.noteCount+i)%39)), 1 << 40, Dead})
				}
				for i := range MaxFindings(maxUpdates, false) {
					n.Findings = append(n.Findings, Finding{IDOf(fmt.Sprint("n", (w.noteCount+i)%40)), Answering, 0})
				}
			}
		}, lost, 8},
		{"notes held up for 10 s", 40, 40, func(w *sim) { w.extraDelay = 10 * time.Second }, watched, 12},
		{"half killed, notes held up for 10 s", 40, 40, func(w *sim) { kill(w, 20); w.extraDelay = 10 * time.Second }, cfg.MaxTakeoverGap(40, 1), 12},
		{"half killed, old notes come again", 40, 40, func(w *sim) { kill(w, 20); w.replayOld = true }, lost, 8},
		{"a clock that steps", 40, 40, func(w *sim) { w.peers[0].clockOffset += time.Hour }, lost, 8},
		{"210 sidecars", 210, 100, nil, watched, 4},
		{"210 sidecars, half killed", 210, 100, func(w *sim) { kill(w, 105) }, cfg.MaxTakeoverGap(210, 105), 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			if (testing.Short() || racing.Enabled) && c.sidecars > 100 {
				t.Skip("long")
			}
			w := newSim(1, c.sidecars, c.servers, nil)
			w.Run(15 * time.Second)
			probesBefore := w.probeCount
			if c.during != nil {
				c.during(w)
			}
			w.Run(60 * time.Second)
			mean, maxPerSecond, gap := w.probeStats(12*time.Second, 60*time.Second)
			t.Logf("%-32s probes per server and second: mean %.2f, maximum %d; longest gap: %v (bound %v); per sidecar and second: %.2f probes, %.1f notes",
				c.name, mean, maxPerSecond, gap.Round(10*time.Millisecond), c.gap, float64(w.probeCount-probesBefore)/45/float64(c.sidecars), float64(w.noteCount)/60/float64(c.sidecars))
			if gap > c.gap {
				t.Errorf("a server was not probed for %v, want at most %v", gap, c.gap)
			}
			if maxPerSecond > c.maxPerSecond {
				t.Errorf("a server was probed %d times in a second, want at most %d", maxPerSecond, c.maxPerSecond)
			}
		})
	}
}

// BenchmarkCost measures the cost of shared probing, compared with each sidecar probing each
// server as often as a watcher does, and how long nine tenths of the sidecars take to learn
// that a server has gone silent.
//
//	go test ./internal/duty -run '^$' -bench Cost -benchtime 1x
func BenchmarkCost(b *testing.B) {
	for _, size := range []struct {
		sidecars, servers int
		every             time.Duration
	}{{40, 40, 2 * time.Second}, {210, 200, 10 * time.Second}, {2000, 400, 30 * time.Second}} {
		b.Run(fmt.Sprintf("sidecars=%d/nodes=%d", size.sidecars, size.servers), func(b *testing.B) {
			for b.Loop() {
				w := newSim(1, size.sidecars, size.servers, func(c *Config) { c.ProbeInterval = size.every })
				w.states = make(map[string]State)
				settle := 3 * size.every
				w.Run(settle)
				from, notes, bytes := w.Now, w.noteCount, w.byteCount
				w.Run(settle + 2*size.every)
				mean, maxPerSecond, gap := w.probeStats(from, w.Now)
				took := (w.Now - from).Seconds() * float64(size.sidecars)
				b.ReportMetric(mean, "probes/node/s")
				b.ReportMetric(float64(size.sidecars)/size.every.Seconds(), "each-probes-all/node/s")
				b.ReportMetric(float64(maxPerSecond), "most/node/s")
				b.ReportMetric(gap.Seconds(), "longest-gap-s")
				b.ReportMetric(float64(w.noteCount-notes)/took, "notes/sidecar/s")
				b.ReportMetric(float64(w.byteCount-bytes)/took, "bytes/sidecar/s")
				w.states["n0"] = Silent
				began := w.Now
				for {
					w.Run(w.Now + 100*time.Millisecond)
					known := 0
					for _, c := range w.peers {
						if s, _, _, ok := c.duty.Lookup("n0"); ok && s == Silent {
							known++
						}
					}
					if known*10 >= size.sidecars*9 || w.Now-began > 20*size.every {
						break
					}
				}
				b.ReportMetric((w.Now - began).Seconds(), "noticed-by-nine-tenths-s")
				var alone []time.Duration // each sidecar probing by itself, at a random phase
				for range w.peers {
					alone = append(alone, time.Duration(w.rng.Int64N(int64(size.every))))
				}
				slices.Sort(alone)
				b.ReportMetric(alone[len(alone)*9/10].Seconds(), "each-by-itself-s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// When a sidecar dies, only the servers that it watched get new watchers, and its restart is
// noticed by all.
func TestDeathMovesOnlyOwnWatches(t *testing.T) {
	w := newSim(2, 40, 100, nil)
	watch := func(c *sidecar) (all []string) {
		for _, n := range c.duty.View().Servers {
			if n.IsWatcher {
				all = append(all, n.Name)
			}
		}
		return all
	}
	w.Run(5 * time.Second)
	before := make(map[*sidecar][]string)
	for _, c := range w.peers {
		before[c] = watch(c)
	}
	w.peers[7].isDead = true
	w.Run(40 * time.Second)
	moved := 0
	for _, c := range w.peers {
		if c.isDead {
			continue
		}
		for _, n := range watch(c) {
			if !slices.Contains(before[c], n) {
				moved++
			}
		}
		if v := c.duty.View(); v.Alive != 39 || !slices.Equal(v.Dead, []string{"car7"}) {
			t.Fatalf("%s considers %d sidecars alive and %v dead, want 39 and [car7]", c.name, v.Alive, v.Dead)
		}
	}
	if lost := len(before[w.peers[7]]); moved > 2*lost || moved < lost { // the alternation between zones moves some more
		t.Errorf("%d watches moved, want from %d to twice that, the watches of the dead sidecar", moved, lost)
	}
	w.start(w.peers[7])
	w.Run(70 * time.Second)
	for _, c := range w.peers {
		if v := c.duty.View(); v.Alive != 40 {
			t.Errorf("%s considers %d sidecars alive after the restart, want 40", c.name, v.Alive)
		}
	}
}

// Without loss, no living sidecar is suspected, and each server has its number of watchers.
func TestNoFalseSuspicionWithoutLoss(t *testing.T) {
	w := newSim(3, 40, 40, nil)
	w.Run(2 * time.Minute)
	watchers := make(map[string]int)
	for _, c := range w.peers {
		v := c.duty.View()
		if v.Alive != 40 || v.Counts.Refuted > 0 {
			t.Errorf("%s: counts %+v, want 40 sidecars alive and no refuted suspicion", c.name, v.Counts)
		}
		for _, n := range v.Servers {
			if n.IsWatcher {
				watchers[n.Name]++
			}
			if n.Age > 3*w.cfg.ProbeInterval {
				t.Errorf("%s: the latest finding of %s is %v old, want at most 3 probe intervals", c.name, n.Name, n.Age)
			}
		}
	}
	for name, n := range watchers {
		if n != w.cfg.Watchers {
			t.Errorf("%s has %d watchers, want cfg.Watchers", name, n)
		}
	}
}

// Two simulations with the same seed give the same probes.
func TestSimulationIsDeterministic(t *testing.T) {
	play := func() map[string][]time.Duration {
		w := newSim(4, 10, 10, nil)
		w.loss = 0.2
		w.Run(20 * time.Second)
		return w.probes
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("two simulations with the same seed differ")
	}
}

// Each invalid setting is rejected with its name.
func TestValidateNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		field  string
		change func(*Config)
	}{
		{"self", func(c *Config) { c.Self = "" }}, {"peers", func(c *Config) { c.Peers = append(c.Peers, c.Peers[0]) }}, {"watchers", func(c *Config) { c.Watchers = 0 }},
		{"every", func(c *Config) { c.ProbeInterval = 0 }}, {"step", func(c *Config) { c.TakeoverStep = 0 }}, {"period", func(c *Config) { c.PingInterval = 0 }}, {"ack_wait", func(c *Config) { c.AckTimeout = c.PingInterval }},
		{"helpers", func(c *Config) { c.IndirectPings = 99 }}, {"suspect", func(c *Config) { c.SuspectTimeout = 1 }}, {"spread", func(c *Config) { c.Fanout = 0 }}, {"probes", func(c *Config) { c.MaxProbeRate = 0 }},
		{"per_node", func(c *Config) { c.MaxServerProbeRate = 1 }}, {"notes", func(c *Config) { c.MaxNoteRate = 1 }}, {"remember", func(c *Config) { c.DeadPingInterval = 0 }},
	} {
		cfg := Default()
		cfg.Self, cfg.Peers = "a", []Peer{{Name: "b", Zone: ""}}
		c.change(&cfg)
		if err := cfg.Validate(); err == nil || !strings.Contains(err.Error(), "duty: "+c.field+":") {
			t.Errorf("setting %s: got error %v, want one that names it", c.field, err)
		}
	}
}

// For any sequence of crashes, restarts, losses, partitions and clock steps in which a third of
// the sidecars stays alive, each server is probed within the MaxTakeoverGap for the lowest number
// alive.
func TestProbeBoundsForAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const sidecars, servers = 12, 8
		w := newSim(rapid.Uint64Range(1, 1000).Draw(t, "seed"), sidecars, servers, nil)
		w.Run(10 * time.Second)
		minAlive := sidecars
		for range 8 {
			switch rapid.IntRange(0, 5).Draw(t, "trouble") {
			case 0:
				alive := 0
				for _, c := range w.peers {
					if !c.isDead {
						alive++
					}
				}
				for _, c := range w.peers {
					if alive > sidecars/3 && !c.isDead && rapid.IntRange(0, 2).Draw(t, "dies") == 0 {
						c.isDead = true
						alive--
					}
				}
				minAlive = min(minAlive, alive)
			case 1:
				for _, c := range w.peers {
					if c.isDead {
						w.start(c)
					}
				}
			case 2:
				w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "loss")
			case 3:
				side := rapid.IntRange(1, 1<<sidecars-1).Draw(t, "side")
				part := make(map[*sidecar]bool)
				for n, c := range w.peers {
					part[c] = side&(1<<n) != 0
				}
				oneWay := rapid.Bool().Draw(t, "one way")
				w.cut = func(a, b *sidecar) bool { return part[a] && !part[b] || !oneWay && part[b] && !part[a] }
			case 4:
				w.cut = nil
			case 5:
				w.peers[rapid.IntRange(0, sidecars-1).Draw(t, "steps")].clockOffset += time.Duration(rapid.IntRange(0, 3600).Draw(t, "by")) * time.Second
			}
			w.Run(w.Now + time.Duration(rapid.IntRange(1, 10).Draw(t, "s"))*time.Second)
		}
		_, maxPerSecond, gap := w.probeStats(8*time.Second, w.Now)
		if bound := w.cfg.MaxTakeoverGap(sidecars, minAlive); gap > bound {
			t.Fatalf("a server was not probed for %v, want at most %v with %d of %d sidecars alive", gap, bound, minAlive, sidecars)
		}
		if maxPerSecond > sidecars {
			t.Fatalf("%d probes of one server in a second, want at most one per sidecar", maxPerSecond)
		}
	})
}

// While sidecars get a new list with delays of up to 9 s, servers that stay are probed without
// interruption, new servers are probed as soon as some sidecar has them, and no sidecar probes
// a server that is not on its own list.
func TestProbingWhileListsDiffer(t *testing.T) {
	w := newSim(6, 40, 40, nil)
	w.Run(15 * time.Second)
	old := slices.Clone(w.servers)
	var next []Server
	for n := 5; n < 45; n++ {
		next = append(next, Server{fmt.Sprint("n", n), zones[n%3]})
	}
	changed := w.Now
	for _, c := range w.peers {
		at := time.Duration(w.rng.Int64N(int64(9 * time.Second)))
		w.After(at, func() {
			c.duty.SetServers(w.Now+c.clockOffset, next)
			for _, n := range c.duty.View().Servers {
				if slices.Contains(old[:5], Server{n.Name, zones[0]}) {
					t.Errorf("%s still has %s, which its list no longer has", c.name, n.Name)
				}
			}
		})
	}
	w.Run(60 * time.Second)
	w.servers = next[:35]
	if _, _, gap := w.probeStats(12*time.Second, 60*time.Second); gap > w.cfg.MaxWatchedGap() {
		t.Errorf("a server that stayed was not probed for %v, want at most MaxWatchedGap", gap)
	}
	for _, n := range next[35:] {
		if at := w.probes[n.Name]; len(at) == 0 || at[0]-changed > 9*time.Second {
			t.Errorf("new server %s was probed at %v, want the first probe within 9s of the change", n.Name, at)
		}
	}
	w.servers = next[35:]
	if _, _, gap := w.probeStats(changed+12*time.Second, 60*time.Second); gap > w.cfg.MaxWatchedGap() {
		t.Errorf("a new server was not probed for %v, want at most MaxWatchedGap", gap)
	}
	for _, n := range old[:5] {
		if at := w.probes[n.Name]; at[len(at)-1] > changed+9*time.Second {
			t.Errorf("removed server %s was probed %v after the change, want at most 9s", n.Name, at[len(at)-1]-changed)
		}
	}
}

// Sidecars that are all isolated eventually consider all others dead; the probes of a server by
// all of them together still stay within the maximum rate per server.
func TestIsolatedSidecarsStayWithinServerBudget(t *testing.T) {
	w := newSim(7, 40, 20, nil)
	w.loss = 1
	w.Run(2 * time.Minute)
	for _, c := range w.peers {
		if v := c.duty.View(); v.Alive > 5 {
			t.Fatalf("%s considers %d sidecars alive, want at most 5: the test case was not reached", c.name, v.Alive)
		}
	}
	mean, maxPerSecond, gap := w.probeStats(time.Minute, 2*time.Minute)
	t.Logf("probes per server and second: mean %.2f, maximum %d; longest gap: %v", mean, maxPerSecond, gap)
	if mean > w.cfg.MaxServerProbeRate || gap > w.cfg.MaxWatchedGap() {
		t.Errorf("%v probes per server and second, want at most %v; longest gap %v, want at most MaxWatchedGap", mean, w.cfg.MaxServerProbeRate, gap)
	}
}

// When only the link between two sidecars is cut, neither suspects the other, thanks to
// indirect pings; and halves that declared each other dead rejoin after a partition.
func TestIndirectPingsAndRejoinAfterPartition(t *testing.T) {
	w := newSim(8, 10, 5, nil)
	a, b := w.peers[0], w.peers[1]
	w.cut = func(x, y *sidecar) bool { return x == a && y == b || x == b && y == a }
	w.Run(time.Minute)
	for _, c := range []*sidecar{a, b} {
		if v := c.duty.View(); v.Alive != 10 || v.Counts.Suspected > 0 {
			t.Errorf("%s: %d alive, %d suspicions, want 10 and 0", c.name, v.Alive, v.Counts.Suspected)
		}
	}
	side := func(c *sidecar) bool { return slices.Index(w.peers, c) < 5 }
	w.cut = func(x, y *sidecar) bool { return side(x) != side(y) }
	w.Run(3 * time.Minute)
	if v := a.duty.View(); v.Alive != 5 {
		t.Fatalf("%d alive on one side of a partition, want 5", v.Alive)
	}
	w.cut = nil
	w.Run(5 * time.Minute)
	for _, c := range w.peers {
		if v := c.duty.View(); v.Alive != 10 {
			t.Errorf("%s considers %d sidecars alive after the partition, want 10", c.name, v.Alive)
		}
	}
}
