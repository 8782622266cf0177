package lab

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/lab/zonal"
)

// zoned gives each sidecar of a Lab an evacuation.Machine.
type zoned struct {
	zonal.NoteNetwork
	l    *Lab
	all  []*evacuation.Machine
	out  []map[string]bool               // zones that a sidecar was told to be out, by sidecar
	list map[string][]chalkrack.Endpoint // by zone
	zone map[string]string
}

func (z *zoned) begin(cfg Config) {
	z.NoteNetwork = zonal.NoteNetwork{Clock: &z.l.Clock, Rand: z.l.Rand, OnUsesChanged: z.tell}
	z.list, z.zone = make(map[string][]chalkrack.Endpoint), make(map[string]string)
	var servers []evacuation.Server
	for _, n := range cfg.Nodes {
		servers = append(servers, evacuation.Server{Name: n.Name, Zone: n.Zone})
		z.list[n.Zone] = append(z.list[n.Zone], chalkrack.Endpoint{Name: n.Name, Zone: n.Zone, Hint: 1})
		z.zone[n.Name] = n.Zone
	}
	for n, s := range z.l.Sidecars {
		c := evacuation.Default()
		c.Self, c.Peers, c.Seed, c.Incarnation = n, cfg.Sidecars, cfg.Seed, 1
		m, err := evacuation.New(c)
		if err != nil {
			panic(err) // of constants
		}
		m.SetServers(0, servers)
		z.all, z.out = append(z.all, m), append(z.out, map[string]bool{})
		s.SetZonePolicy(m)
		z.SetMachine(n, m)
	}
}

// tell has a sidecar's module know which zones it sends to.
func (z *zoned) tell(n int) {
	for zone, list := range z.list {
		out := !z.all[n].UsesZone(zone)
		if z.out[n][zone] == out {
			continue
		}
		z.out[n][zone] = out
		changed := make([]chalkrack.Endpoint, len(list))
		for i, e := range list {
			if changed[i] = e; out {
				changed[i].State = chalkrack.Draining
			}
		}
		z.l.Sidecars[n].ServersChanged(z.l.Now, changed)
	}
}

var evidence = map[chalkrack.Outcome]evacuation.ResultKind{chalkrack.OK: evacuation.ResultGood, chalkrack.ServerError: evacuation.ResultError, chalkrack.Full: evacuation.ResultRefused,
	chalkrack.TimedOut: evacuation.ResultLate, chalkrack.ConnectFailed: evacuation.ResultConnectFailed, chalkrack.Reset: evacuation.ResultReset}

// inZones is a fleet at 0.6 of what its nodes can do, a third of which lie in each zone.
func inZones(sidecars int, z *zoned) Config {
	cfg := Config{Seed: 5, Sidecars: sidecars, Wait: 2500 * time.Millisecond, Honour: 1, Tries: 2,
		Classes: []Class{{Class: chalkrack.Class{Aim: 800 * time.Millisecond, Worth: 1}, Share: 0.7, Work: 120 * time.Millisecond},
			{Class: chalkrack.Class{Aim: 750 * time.Millisecond, Worth: 10, Effect: chalkrack.Unsafe}, Share: 0.3, Work: 120 * time.Millisecond}},
		Rules: chalkrack.Config{MaxAttempts: 5, MayCancel: true, SecondCopies: true, MaxRetryAfter: time.Second, WasteCost: 0.2}}
	nodes := max(9, sidecars*3/4/3*3)
	for n := range nodes {
		cfg.Nodes = append(cfg.Nodes, Node{Name: fmt.Sprint("n", n), Zone: []string{"a", "b", "c"}[n%3], Speed: 1.5, Cores: 2, Room: 40})
	}
	rate := 0.55 * float64(nodes) * 2 * 1.5 / 0.12
	cfg.Rate = func(time.Duration) float64 { return rate }
	if z != nil {
		cfg.Sent = func(s *Sidecar, node string) uint64 {
			z.all[s.Index].TakeToken(z.l.Now, z.zone[node])
			return z.all[s.Index].RecordSend(z.l.Now, node)
		}
		cfg.Ended = func(s *Sidecar, ticket uint64, o chalkrack.Outcome) {
			k, tells := evidence[o]
			z.all[s.Index].RecordEnd(z.l.Now, ticket, k, !tells)
		}
	}
	return cfg
}

// lose plays some minutes in which a zone vanishes for 20 s in each third of them.
func lose(t *testing.T, sidecars int, z *zoned, length time.Duration) (l *Lab, worth float64, out []time.Duration) {
	t.Helper()
	cfg := inZones(sidecars, z)
	l, err := New(cfg)
	if err != nil {
		t.Error(err)
		return nil, 0, nil
	}
	if z != nil {
		z.l = l
		z.begin(cfg)
	}
	vanish := func(gone bool) {
		for _, n := range cfg.Nodes {
			if n.Zone == "a" {
				l.Vanish(n.Name, gone)
			}
		}
	}
	for n := range 3 {
		at := length*time.Duration(n)/3 + 10*time.Second
		l.Run(at)
		vanish(true)
		for z != nil && l.Now < at+10*time.Second {
			l.Run(l.Now + 20*time.Millisecond)
			left := 0
			for _, m := range z.all {
				if !m.UsesZone("a") {
					left++
				}
			}
			if left == sidecars {
				out = append(out, l.Now-at)
				break
			}
		}
		l.Run(at + 20*time.Second)
		vanish(false)
	}
	l.Run(length)
	return l, l.Worth(5, int(length/time.Second)), out
}

// With the decision module in it: all are out within the stated time, each time; what a
// sidecar says does not grow with the fleet; and the worth that is served is not less. The
// large sizes are for FAWN_LAB, the minutes.
func TestZonesInTheLab(t *testing.T) {
	sizes, length := []int{24, 48}, 3*time.Minute
	if n, err := strconv.Atoi(os.Getenv("FAWN_LAB")); err == nil {
		sizes, length = []int{80, 300, 2000}, time.Duration(n)*time.Minute
	}
	// Each fleet with zones and without is a world of its own: they run side by side.
	type seen struct {
		z             *zoned
		with, without float64
		out           []time.Duration
	}
	all := make([]seen, len(sizes))
	var wait sync.WaitGroup
	for i, n := range sizes {
		all[i].z = new(zoned)
		wait.Go(func() { _, all[i].with, all[i].out = lose(t, n, all[i].z, length) })
		wait.Go(func() { _, all[i].without, _ = lose(t, n, nil, length) })
	}
	wait.Wait()
	var per []float64
	for i, n := range sizes {
		z, with, without, out := all[i].z, all[i].with, all[i].without, all[i].out
		notes := float64(z.NoteCount) / float64(n) / length.Seconds()
		per = append(per, notes)
		t.Logf("%d sidecars, %v: out after %v; worth %.4f with, %.4f without; %.2f notes and %.0f bytes a sidecar a second, %d notes in the busiest second of one", n, length, out, with, without, notes, float64(z.NoteBytes)/float64(n)/length.Seconds(), z.MaxNotesInSecond)
		for _, d := range out {
			if d > 2*time.Second {
				t.Errorf("%d sidecars: all out after %v", n, d)
			}
		}
		if len(out) != 3 {
			t.Errorf("%d sidecars: left %d times of 3", n, len(out))
		}
		if with < without-0.005 {
			t.Errorf("%d sidecars: worth %.4f, %.4f without", n, with, without)
		}
		if z.MaxNotesInSecond > 61 { // a full budget, and a second of it
			t.Errorf("%d sidecars: %d notes in one second", n, z.MaxNotesInSecond)
		}
		for c := range per {
			if per[c] > 1.3*per[0] {
				t.Errorf("notes grow with the fleet: %v", per)
			}
		}
	}
}
