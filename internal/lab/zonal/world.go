package zonal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chalkrack/internal/evacuation"
	"chalkrack/internal/lab/virtual"
)

// World is a fleet with calls at random times to servers that are as its owner says.
type World struct {
	virtual.Clock
	Notes
	Zones   []string
	Servers []evacuation.Server
	Rate    func(n int) float64                              // calls a second of a sidecar; nil: 12
	Up      func(n int, s evacuation.Server) evacuation.Kind // what a call meets; nil: all is good
	Work    time.Duration                                    // that a good call takes
	Zoned   map[string][]time.Duration                       // sends to a zone
	Cars    []*Car
	draw    *rand.Rand
	ok      []evacuation.Server // where a call may go, used again
}

// Car is one sidecar.
type Car struct {
	*evacuation.Machine
	Config  evacuation.Config
	Dead    bool
	Stopped bool
	loop    int // its chain of calls; a start begins another
}

// New is a World of so many sidecars, each with a machine of a Config and its own number, and
// so many servers in each zone.
func New(seed uint64, cfg evacuation.Config, cars, each int, zones ...string) (*World, error) {
	w := &World{Zones: zones, Work: 40 * time.Millisecond, Zoned: make(map[string][]time.Duration), draw: rand.New(rand.NewPCG(seed, 3))}
	w.Notes = Notes{Clock: &w.Clock, Rand: w.draw}
	for n := range each * len(zones) {
		w.Servers = append(w.Servers, evacuation.Server{Name: fmt.Sprint("s", n), Zone: zones[n%len(zones)]})
	}
	for n := range cars {
		c := &Car{Config: cfg}
		c.Config.Self, c.Config.Peers, c.Config.Seed = n, cars, seed
		w.Cars = append(w.Cars, c)
		if err := w.Start(n); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Start begins a sidecar from nothing.
func (w *World) Start(n int) error {
	c := w.Cars[n]
	m, err := evacuation.New(c.Config)
	if err != nil {
		return err
	}
	c.Machine, c.Dead, c.Stopped = m, false, false
	c.loop++
	m.Servers(w.Now, w.Servers)
	w.Put(n, m)
	loop := c.loop
	gap := func() time.Duration {
		rate := 12.0
		if w.Rate != nil {
			rate = w.Rate(n)
		}
		return time.Duration(w.draw.ExpFloat64() / rate * float64(time.Second))
	}
	var call func()
	call = func() {
		if c.loop != loop {
			return
		}
		if !c.Stopped {
			w.call(n)
		}
		w.After(gap(), call)
	}
	w.After(time.Duration(w.draw.Int64N(int64(time.Second))), call)
	return nil
}

// Kill ends a sidecar.
func (w *World) Kill(n int) {
	w.Cars[n].Dead = true
	w.Cars[n].loop++
	w.Put(n, nil)
}

// Stop has a sidecar stopped, or go on.
func (w *World) Stop(n int, stopped bool) {
	w.Cars[n].Stopped = stopped
	w.Notes.Stop(n, stopped)
}

// call makes one call, to one of the servers that may be used.
func (w *World) call(n int) {
	c := w.Cars[n]
	may := make(map[string]bool, len(w.Zones))
	for _, z := range w.Zones {
		may[z] = c.Uses(z) && c.Room(w.Now, z, 0)
	}
	ok := w.ok[:0]
	due := c.Due(w.Now, true)
	if !may[due] {
		due = ""
	}
	for _, s := range w.Servers {
		if may[s.Zone] && (due == "" || s.Zone == due) {
			ok = append(ok, s)
		}
	}
	w.ok = ok
	if len(ok) == 0 {
		return
	}
	s := ok[w.draw.IntN(len(ok))]
	ticket := c.Sent(w.Now, s.Name)
	c.Booked(w.Now, s.Zone)
	w.Zoned[s.Zone] = append(w.Zoned[s.Zone], w.Now)
	k := evacuation.Good
	if w.Up != nil {
		k = w.Up(n, s)
	}
	took := time.Duration(float64(w.Work) * (0.2 + 0.8*w.draw.ExpFloat64()))
	switch k {
	case evacuation.NoConn:
		took = 250 * time.Millisecond
	case evacuation.Late:
		took = 2500 * time.Millisecond
	case evacuation.Broken, evacuation.Errored, evacuation.Full:
		took = 2 * time.Millisecond
	}
	w.ends(took, c, c.loop, ticket, k)
}

// ends tells a sidecar of an attempt's end, once it runs.
func (w *World) ends(after time.Duration, c *Car, loop int, ticket uint64, k evacuation.Kind) {
	w.After(after, func() {
		switch {
		case c.loop != loop:
		case c.Stopped:
			w.ends(waitEach, c, loop, ticket, k)
		default:
			c.Ended(w.Now, ticket, k, false)
		}
	})
}

// Held is what a sidecar holds of a zone.
func (c *Car) Held(zone string) (evacuation.Record, evacuation.Order) {
	for _, s := range c.State() {
		if s.Zone == zone {
			return s.Record, s.Order
		}
	}
	return evacuation.Record{}, evacuation.Order{}
}

// Stages is how many of those that live hold which stage of a zone.
func (w *World) Stages(zone string) map[evacuation.Stage]int {
	all := make(map[evacuation.Stage]int)
	for _, c := range w.Cars {
		if !c.Dead {
			rec, _ := c.Held(zone)
			all[rec.Stage]++
		}
	}
	return all
}

// Using is how many of those that run send to a zone, of how many.
func (w *World) Using(zone string) (n, of int) {
	for _, c := range w.Cars {
		if c.Dead || c.Stopped {
			continue
		}
		if of++; c.Uses(zone) {
			n++
		}
	}
	return n, of
}

// Departures is the most departures of a zone that any sidecar holds.
func (w *World) Departures(zone string) (most uint32) {
	for _, c := range w.Cars {
		if !c.Dead {
			rec, _ := c.Held(zone)
			most = max(most, rec.Gen)
		}
	}
	return most
}

// Agree says whether all that run hold the same of a zone: departures, stage and order.
func (w *World) Agree(zone string) bool {
	type held struct {
		gen     uint32
		stage   evacuation.Stage
		version uint32
		author  uint16
	}
	all := make(map[held]bool)
	for _, c := range w.Cars {
		if !c.Dead && !c.Stopped {
			rec, order := c.Held(zone)
			all[held{rec.Gen, rec.Stage, order.Version, order.Author}] = true
		}
	}
	return len(all) <= 1
}

// Until plays on step by step until something holds, and says how long that took; false: it
// did not within a time.
func (w *World) Until(most, step time.Duration, holds func() bool) (time.Duration, bool) {
	began := w.Now
	for !holds() {
		if w.Now-began >= most {
			return most, false
		}
		w.Run(w.Now + step)
	}
	return w.Now - began, true
}
