package zonal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chalkrack/internal/evacuation"
	"chalkrack/internal/lab/virtual"
)

// World simulates a fleet of sidecars that make calls at random times. CallResult determines how
// the calls end.
type World struct {
	virtual.Clock
	NoteNetwork
	Zones        []string
	Servers      []evacuation.Server
	Rate         func(n int) float64                                    // calls per second of sidecar n; nil: 12
	CallResult   func(n int, s evacuation.Server) evacuation.ResultKind // result of a call of sidecar n; nil: ResultGood
	CallDuration time.Duration                                          // mean duration of a successful call
	SendTimes    map[string][]time.Duration                             // send times by zone
	Sidecars     []*Sidecar
	rng          *rand.Rand
	eligible     []evacuation.Server // reused list of servers that a call may go to
}

// Sidecar is a simulated sidecar.
type Sidecar struct {
	*evacuation.Machine
	Config   evacuation.Config
	Dead     bool
	Stopped  bool
	callLoop int // number of the current series of calls; increases with each start and kill
}

// New returns a World with a number of sidecars, whose configurations differ only in Self, and with
// serversPerZone servers in each zone. It returns an error if cfg is invalid.
func New(seed uint64, cfg evacuation.Config, sidecars, serversPerZone int, zones ...string) (*World, error) {
	w := &World{Zones: zones, CallDuration: 40 * time.Millisecond, SendTimes: make(map[string][]time.Duration), rng: rand.New(rand.NewPCG(seed, 3))}
	w.NoteNetwork = NoteNetwork{Clock: &w.Clock, Rand: w.rng}
	for n := range serversPerZone * len(zones) {
		w.Servers = append(w.Servers, evacuation.Server{Name: fmt.Sprint("s", n), Zone: zones[n%len(zones)]})
	}
	for n := range sidecars {
		c := &Sidecar{Config: cfg}
		c.Config.Self, c.Config.Peers, c.Config.Seed = n, sidecars, seed
		w.Sidecars = append(w.Sidecars, c)
		if err := w.Start(n); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Start starts sidecar n without any state.
func (w *World) Start(n int) error {
	c := w.Sidecars[n]
	m, err := evacuation.New(c.Config)
	if err != nil {
		return err
	}
	c.Machine, c.Dead, c.Stopped = m, false, false
	c.callLoop++
	m.SetServers(w.Now, w.Servers)
	w.SetMachine(n, m)
	loop := c.callLoop
	gap := func() time.Duration {
		rate := 12.0
		if w.Rate != nil {
			rate = w.Rate(n)
		}
		return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	}
	var call func()
	call = func() {
		if c.callLoop != loop {
			return
		}
		if !c.Stopped {
			w.makeCall(n)
		}
		w.After(gap(), call)
	}
	w.After(time.Duration(w.rng.Int64N(int64(time.Second))), call)
	return nil
}

// Kill ends sidecar n and discards its state.
func (w *World) Kill(n int) {
	w.Sidecars[n].Dead = true
	w.Sidecars[n].callLoop++
	w.SetMachine(n, nil)
}

// SetStopped suspends or resumes sidecar n.
func (w *World) SetStopped(n int, stopped bool) {
	w.Sidecars[n].Stopped = stopped
	w.NoteNetwork.SetStopped(n, stopped)
}

// makeCall makes one call of sidecar n to a random server of the zones that it may use.
func (w *World) makeCall(n int) {
	c := w.Sidecars[n]
	allowed := make(map[string]bool, len(w.Zones))
	for _, z := range w.Zones {
		allowed[z] = c.UsesZone(z) && c.HasRoom(w.Now, z, 0)
	}
	eligible := w.eligible[:0]
	due := c.PreferredZone(w.Now, true)
	if !allowed[due] {
		due = ""
	}
	for _, s := range w.Servers {
		if allowed[s.Zone] && (due == "" || s.Zone == due) {
			eligible = append(eligible, s)
		}
	}
	w.eligible = eligible
	if len(eligible) == 0 {
		return
	}
	s := eligible[w.rng.IntN(len(eligible))]
	ticket := c.RecordSend(w.Now, s.Name)
	c.TakeToken(w.Now, s.Zone)
	w.SendTimes[s.Zone] = append(w.SendTimes[s.Zone], w.Now)
	result := evacuation.ResultGood
	if w.CallResult != nil {
		result = w.CallResult(n, s)
	}
	took := time.Duration(float64(w.CallDuration) * (0.2 + 0.8*w.rng.ExpFloat64()))
	switch result {
	case evacuation.ResultConnectFailed:
		took = 250 * time.Millisecond
	case evacuation.ResultLate:
		took = 2500 * time.Millisecond
	case evacuation.ResultReset, evacuation.ResultError, evacuation.ResultRefused:
		took = 2 * time.Millisecond
	}
	w.scheduleEnd(took, c, c.callLoop, ticket, result)
}

// scheduleEnd reports the end of an attempt to a sidecar after the given time, or once the sidecar
// resumes.
func (w *World) scheduleEnd(after time.Duration, c *Sidecar, loop int, ticket uint64, result evacuation.ResultKind) {
	w.After(after, func() {
		switch {
		case c.callLoop != loop:
		case c.Stopped:
			w.scheduleEnd(resumeCheckInterval, c, loop, ticket, result)
		default:
			c.RecordEnd(w.Now, ticket, result, false)
		}
	})
}

// RecordAndOrder returns the record and the order that the sidecar holds for a zone, empty ones if
// it does not know the zone.
func (c *Sidecar) RecordAndOrder(zone string) (evacuation.Record, evacuation.Order) {
	for _, s := range c.State() {
		if s.Zone == zone {
			return s.Record, s.Order
		}
	}
	return evacuation.Record{}, evacuation.Order{}
}

// CountByStage returns the number of live sidecars by stage of a zone.
func (w *World) CountByStage(zone string) map[evacuation.Stage]int {
	counts := make(map[evacuation.Stage]int)
	for _, c := range w.Sidecars {
		if !c.Dead {
			rec, _ := c.RecordAndOrder(zone)
			counts[rec.Stage]++
		}
	}
	return counts
}

// CountUsing returns how many of the running sidecars use a zone, and the number of running
// sidecars.
func (w *World) CountUsing(zone string) (using, running int) {
	for _, c := range w.Sidecars {
		if c.Dead || c.Stopped {
			continue
		}
		if running++; c.UsesZone(zone) {
			using++
		}
	}
	return using, running
}

// MaxDepartures returns the highest number of departures of a zone in any live sidecar's record.
func (w *World) MaxDepartures(zone string) (highest uint32) {
	for _, c := range w.Sidecars {
		if !c.Dead {
			rec, _ := c.RecordAndOrder(zone)
			highest = max(highest, rec.Gen)
		}
	}
	return highest
}

// IsAgreed reports whether all running sidecars hold the same number of departures, stage and order
// of a zone.
func (w *World) IsAgreed(zone string) bool {
	type heldState struct {
		gen     uint32
		stage   evacuation.Stage
		version uint32
		author  uint16
	}
	distinct := make(map[heldState]bool)
	for _, c := range w.Sidecars {
		if !c.Dead && !c.Stopped {
			rec, order := c.RecordAndOrder(zone)
			distinct[heldState{rec.Gen, rec.Stage, order.Version, order.Author}] = true
		}
	}
	return len(distinct) <= 1
}

// RunUntil runs the fleet in steps until holds returns true or maxTime has passed. It returns the
// time taken, and whether holds returned true.
func (w *World) RunUntil(maxTime, step time.Duration, holds func() bool) (time.Duration, bool) {
	began := w.Now
	for !holds() {
		if w.Now-began >= maxTime {
			return maxTime, false
		}
		w.Run(w.Now + step)
	}
	return w.Now - began, true
}
