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

// evacuatingFleet gives each sidecar of a Lab an evacuation.Machine.
type evacuatingFleet struct {
	zonal.NoteNetwork
	lab             *Lab
	machines        []*evacuation.Machine
	evacuated       []map[string]bool // by sidecar and zone: whether the balancer was told to drain the zone
	endpointsByZone map[string][]chalkrack.Endpoint
	zoneOf          map[string]string // by node
}

// attach connects an evacuation.Machine to each sidecar of z.lab, which was built from cfg.
func (z *evacuatingFleet) attach(cfg Config) {
	z.NoteNetwork = zonal.NoteNetwork{Clock: &z.lab.Clock, Rand: z.lab.Random, OnUsesChanged: z.updateEndpoints}
	z.endpointsByZone, z.zoneOf = make(map[string][]chalkrack.Endpoint), make(map[string]string)
	var servers []evacuation.Server
	for _, n := range cfg.Nodes {
		servers = append(servers, evacuation.Server{Name: n.Name, Zone: n.Zone})
		z.endpointsByZone[n.Zone] = append(z.endpointsByZone[n.Zone], chalkrack.Endpoint{Name: n.Name, Zone: n.Zone, Hint: 1})
		z.zoneOf[n.Name] = n.Zone
	}
	for n, s := range z.lab.Sidecars {
		machineConfig := evacuation.Default()
		machineConfig.Self, machineConfig.Peers, machineConfig.Seed, machineConfig.Incarnation = n, cfg.Sidecars, cfg.Seed, 1
		machine, err := evacuation.New(machineConfig)
		if err != nil {
			panic(err) // the configuration is constant
		}
		machine.SetServers(0, servers)
		z.machines, z.evacuated = append(z.machines, machine), append(z.evacuated, map[string]bool{})
		s.SetZonePolicy(machine)
		z.SetMachine(n, machine)
	}
}

// updateEndpoints tells the balancer of a sidecar which zones its evacuation machine uses: the
// endpoints of the others are draining.
func (z *evacuatingFleet) updateEndpoints(sidecar int) {
	for zone, endpoints := range z.endpointsByZone {
		evacuated := !z.machines[sidecar].UsesZone(zone)
		if z.evacuated[sidecar][zone] == evacuated {
			continue
		}
		z.evacuated[sidecar][zone] = evacuated
		changed := make([]chalkrack.Endpoint, len(endpoints))
		for i, e := range endpoints {
			if changed[i] = e; evacuated {
				changed[i].State = chalkrack.Draining
			}
		}
		z.lab.Sidecars[sidecar].ServersChanged(z.lab.Now, changed)
	}
}

// resultKinds maps outcomes of attempts to results for evacuation. Other outcomes tell nothing
// about a server.
var resultKinds = map[chalkrack.Outcome]evacuation.ResultKind{chalkrack.OK: evacuation.ResultGood, chalkrack.ServerError: evacuation.ResultError, chalkrack.Full: evacuation.ResultRefused,
	chalkrack.TimedOut: evacuation.ResultLate, chalkrack.ConnectFailed: evacuation.ResultConnectFailed, chalkrack.Reset: evacuation.ResultReset}

// zonedConfig returns a fleet at 0.55 of the capacity of its nodes, a third of which are in each of
// three zones. A nil fleet means that sidecars have no evacuation machines.
func zonedConfig(sidecars int, fleet *evacuatingFleet) Config {
	cfg := Config{Seed: 5, Sidecars: sidecars, ClientTimeout: 2500 * time.Millisecond, HonourRetryAfterShare: 1, MaxClientRetries: 2,
		Classes: []Class{{Class: chalkrack.Class{Aim: 800 * time.Millisecond, Worth: 1}, Share: 0.7, MeanWork: 120 * time.Millisecond},
			{Class: chalkrack.Class{Aim: 750 * time.Millisecond, Worth: 10, Effect: chalkrack.Unsafe}, Share: 0.3, MeanWork: 120 * time.Millisecond}},
		Rules: chalkrack.Config{MaxAttempts: 5, MayCancel: true, SecondCopies: true, MaxRetryAfter: time.Second, WasteCost: 0.2}}
	nodes := max(9, sidecars*3/4/3*3)
	for n := range nodes {
		cfg.Nodes = append(cfg.Nodes, Node{Name: fmt.Sprint("n", n), Zone: []string{"a", "b", "c"}[n%3], Speed: 1.5, Cores: 2, QueueSize: 40})
	}
	rate := 0.55 * float64(nodes) * 2 * 1.5 / 0.12
	cfg.Rate = func(time.Duration) float64 { return rate }
	if fleet != nil {
		cfg.OnSend = func(s *Sidecar, node string) uint64 {
			fleet.machines[s.Index].TakeToken(fleet.lab.Now, fleet.zoneOf[node])
			return fleet.machines[s.Index].RecordSend(fleet.lab.Now, node)
		}
		cfg.OnAttemptDone = func(s *Sidecar, ticket uint64, outcome chalkrack.Outcome) {
			kind, hasKind := resultKinds[outcome]
			fleet.machines[s.Index].RecordEnd(fleet.lab.Now, ticket, kind, !hasKind)
		}
	}
	return cfg
}

// runZoneLosses simulates a run of the given length, in each third of which zone a is unreachable
// for 20 s. It returns the share of worth served and, for each loss after which all sidecars left
// the zone within 10 s, the time that this took. With a nil fleet there are no such times.
func runZoneLosses(t *testing.T, sidecars int, fleet *evacuatingFleet, length time.Duration) (lab *Lab, worth float64, evacuationTimes []time.Duration) {
	t.Helper()
	cfg := zonedConfig(sidecars, fleet)
	lab, err := New(cfg)
	if err != nil {
		t.Error(err)
		return nil, 0, nil
	}
	if fleet != nil {
		fleet.lab = lab
		fleet.attach(cfg)
	}
	setZoneUnreachable := func(unreachable bool) {
		for _, n := range cfg.Nodes {
			if n.Zone == "a" {
				lab.SetUnreachable(n.Name, unreachable)
			}
		}
	}
	for n := range 3 {
		lossStart := length*time.Duration(n)/3 + 10*time.Second
		lab.Run(lossStart)
		setZoneUnreachable(true)
		for fleet != nil && lab.Now < lossStart+10*time.Second {
			lab.Run(lab.Now + 20*time.Millisecond)
			leftCount := 0
			for _, m := range fleet.machines {
				if !m.UsesZone("a") {
					leftCount++
				}
			}
			if leftCount == sidecars {
				evacuationTimes = append(evacuationTimes, lab.Now-lossStart)
				break
			}
		}
		lab.Run(lossStart + 20*time.Second)
		setZoneUnreachable(false)
	}
	lab.Run(length)
	return lab, lab.ServedWorthShare(5, int(length/time.Second)), evacuationTimes
}

// Sidecars with evacuation machines all leave a zone that becomes unreachable within 2 s, each
// time. A sidecar does not send more notes in a larger fleet, and the worth
// served is not lower than without evacuation. FAWN_LAB, a number of minutes, selects large fleets
// and that length.
func TestEvacuationOfUnreachableZone(t *testing.T) {
	sizes, length := []int{24, 48}, 3*time.Minute
	if n, err := strconv.Atoi(os.Getenv("FAWN_LAB")); err == nil {
		sizes, length = []int{80, 300, 2000}, time.Duration(n)*time.Minute
	}
	// The runs share no state, so they run concurrently.
	type result struct {
		fleet                   *evacuatingFleet
		worthWith, worthWithout float64
		times                   []time.Duration
	}
	results := make([]result, len(sizes))
	var running sync.WaitGroup
	for i, n := range sizes {
		results[i].fleet = new(evacuatingFleet)
		running.Go(func() { _, results[i].worthWith, results[i].times = runZoneLosses(t, n, results[i].fleet, length) })
		running.Go(func() { _, results[i].worthWithout, _ = runZoneLosses(t, n, nil, length) })
	}
	running.Wait()
	var noteRates []float64
	for i, n := range sizes {
		fleet, worthWith, worthWithout, times := results[i].fleet, results[i].worthWith, results[i].worthWithout, results[i].times
		noteRate := float64(fleet.NoteCount) / float64(n) / length.Seconds()
		noteRates = append(noteRates, noteRate)
		t.Logf("%d sidecars, %v: all left after %v; worth %.4f with evacuation, %.4f without; %.2f notes and %.0f bytes per sidecar and second, at most %d notes of a sidecar in a second", n, length, times, worthWith, worthWithout, noteRate, float64(fleet.NoteBytes)/float64(n)/length.Seconds(), fleet.MaxNotesInSecond)
		for _, d := range times {
			if d > 2*time.Second {
				t.Errorf("%d sidecars: all left the zone after %v, want at most 2s", n, d)
			}
		}
		if len(times) != 3 {
			t.Errorf("%d sidecars: all left the zone in %d of 3 losses", n, len(times))
		}
		if worthWith < worthWithout-0.005 {
			t.Errorf("%d sidecars: worth %.4f with evacuation, %.4f without, want at most 0.005 less", n, worthWith, worthWithout)
		}
		if fleet.MaxNotesInSecond > 61 { // a full budget and its refill in a second
			t.Errorf("%d sidecars: %d notes of a sidecar in one second, want at most 61", n, fleet.MaxNotesInSecond)
		}
		for c := range noteRates {
			if noteRates[c] > 1.3*noteRates[0] {
				t.Errorf("notes per sidecar and second, by size of the fleet: %v, want at most 1.3 times the first", noteRates)
			}
		}
	}
}
