package zonal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chalkrack/internal/evacuation"
)

// FaultKind is what a Fault does.
type FaultKind int

// Faults of a rehearsal.
const (
	ZoneFails  FaultKind = iota // calls of all to the zone meet How
	CutOff                      // those of one sidecar
	HalfCutOff                  // those of the first half
	Parted                      // the first At sidecars and the others don't hear each other
	NotesLost                   // half of the notes
	Stopped                     // one sidecar
	Killed                      // and started again at the end
	Ordered                     // one sidecar is told to leave the zone, and at the end to return
	faultKinds
)

// Fault is one of a rehearsal.
type Fault struct {
	Kind     FaultKind
	Zone     string
	From, To time.Duration
	At       int // the sidecar, or where the fleet is parted
	How      evacuation.Kind
}

// String is the fault in a line.
func (f Fault) String() string {
	what := [...]string{"zone %s fails, %v", "cut off from %s, %v", "half cut off from %s, %v", "parted", "half of the notes lost", "stopped", "killed", "ordered out of %s"}[f.Kind]
	switch f.Kind {
	case ZoneFails, CutOff, HalfCutOff:
		what = fmt.Sprintf(what, f.Zone, f.How)
	case Ordered:
		what = fmt.Sprintf(what, f.Zone)
	}
	return fmt.Sprintf("%v to %v: %s (%d)", f.From.Round(time.Millisecond), f.To.Round(time.Millisecond), what, f.At)
}

// calm is how long a rehearsal runs before its first fault.
const calm = 3 * time.Second

// Draw is up to five faults for a fleet, within half a minute.
func Draw(rng *rand.Rand, cars int, zones []string) (all []Fault) {
	for range 1 + rng.IntN(5) {
		f := Fault{Kind: FaultKind(rng.IntN(int(faultKinds))), Zone: zones[rng.IntN(len(zones))], From: calm + time.Duration(rng.Int64N(int64(20*time.Second))), At: rng.IntN(cars),
			How: []evacuation.Kind{evacuation.NoConn, evacuation.Broken, evacuation.Late, evacuation.Errored}[rng.IntN(4)]}
		f.To = f.From + 300*time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Second)))
		if f.Kind == Parted {
			f.At = 1 + rng.IntN(max(1, cars-1))
		}
		all = append(all, f)
	}
	return all
}

// Outcome is what a rehearsal saw.
type Outcome struct {
	Broken     []string                 // what must not be, each in a line
	Departures map[string]uint32        // by zone
	Settled    time.Duration            // from the last fault's end until all zones were in use by all
	Left       map[string]time.Duration // of zones that failed for all: from then until all were out; -1: never
	Notes      float64                  // a sidecar a second
	Bytes      float64                  // of the zones' part of them
}

// needOf is how many sidecars cut off are the fleet's word.
func needOf(c evacuation.Config, cars int) int { return max(1, min(c.Witnesses, (cars+1)/2)) }

// Play plays faults, and says what broke: a zone that the fleet left with no cause, or a
// fleet that does not come to have all zones in use again once all is well.
func (w *World) Play(faults []Fault) (o Outcome, err error) {
	cars := len(w.Cars)
	cfg := w.Cars[0].Config
	on := func(f Fault, k FaultKind) bool { return f.Kind == k && w.Now >= f.From && w.Now < f.To }
	w.Up = func(n int, s evacuation.Server) evacuation.Kind {
		for _, f := range faults {
			if f.Zone == s.Zone && (on(f, ZoneFails) || on(f, CutOff) && n == f.At || on(f, HalfCutOff) && n < cars/2) {
				return f.How
			}
		}
		return evacuation.Good
	}
	w.Hears = func(from, to int) bool {
		for _, f := range faults {
			if on(f, Parted) && (from < f.At) != (to < f.At) || on(f, NotesLost) && w.draw.IntN(2) == 0 {
				return false
			}
		}
		return true
	}
	caused, cutOff, end := make(map[string]bool), make(map[string]map[int]bool), calm
	o.Left, o.Departures = make(map[string]time.Duration), make(map[string]uint32)
	for _, f := range faults {
		end = max(end, f.To)
		switch f.Kind {
		case ZoneFails, HalfCutOff, Ordered:
			caused[f.Zone] = true
		case CutOff: // so many are the fleet's word, for all that anybody can tell
			if cutOff[f.Zone] == nil {
				cutOff[f.Zone] = make(map[int]bool)
			}
			cutOff[f.Zone][f.At] = true
			caused[f.Zone] = caused[f.Zone] || len(cutOff[f.Zone]) >= needOf(cfg, cars)
		}
		w.begin(f, &o, &err)
	}
	w.Run(end)
	for _, z := range w.Zones {
		if o.Departures[z] = w.Departures(z); !caused[z] && o.Departures[z] > 0 {
			o.Broken = append(o.Broken, fmt.Sprintf("zone %s was left with no cause", z))
		}
	}
	// An order to return that did not reach the one to leave's holder is given again, as an
	// operator would who looks at the status.
	w.Run(end + 10*time.Second)
	for _, z := range w.Zones {
		w.command(z, "return", func(c *Car) bool { _, order := c.Held(z); return order.Action == evacuation.Leave })
	}
	_, settled := w.Until(3*cfg.DwellMost, time.Second, func() bool {
		return !slices.ContainsFunc(w.Zones, func(z string) bool {
			n, _ := w.Using(z)
			return n < cars || w.Stages(z)[evacuation.StageAll] < cars
		})
	})
	o.Settled = w.Now - end
	o.Notes = float64(w.Count) / float64(cars) / w.Now.Seconds()
	o.Bytes = float64(w.Bytes) / float64(cars) / w.Now.Seconds()
	if !settled {
		for _, z := range w.Zones {
			n, _ := w.Using(z)
			o.Broken = append(o.Broken, fmt.Sprintf("zone %s: %v, used by %d of %d, %v after the last fault", z, w.Stages(z), n, cars, o.Settled))
		}
	}
	return o, err
}

// command has the first that runs, of those that are meant, take an order.
func (w *World) command(zone, action string, meant func(c *Car) bool) {
	for _, c := range w.Cars {
		if !c.Dead && !c.Stopped && meant(c) {
			c.SubmitOrder(w.Now, zone, action, "operator", "a rehearsal")
			return
		}
	}
}

// begin has a fault begin and end at its times, beyond what Up and Hears ask.
func (w *World) begin(f Fault, o *Outcome, err *error) {
	c := w.Cars[f.At]
	switch f.Kind {
	case ZoneFails:
		w.After(f.From, func() { w.watch(f, o) })
	case Stopped:
		w.After(f.From, func() { w.Stop(f.At, true) })
		w.After(f.To, func() { w.Stop(f.At, false) })
	case Killed:
		w.After(f.From, func() { w.Kill(f.At) })
		w.After(f.To, func() {
			if c.Dead {
				if e := w.Start(f.At); e != nil && *err == nil {
					*err = e
				}
			}
		})
	case Ordered:
		w.After(f.From, func() { w.command(f.Zone, "leave", func(x *Car) bool { return x == c }) })
		w.After(f.To, func() { w.command(f.Zone, "return", func(*Car) bool { return true }) })
	}
}

// watchEach is how exactly the time is told in which a zone was left.
const watchEach = 20 * time.Millisecond

// watch measures how long a zone that fails takes to be left by all.
func (w *World) watch(f Fault, o *Outcome) {
	if n, of := w.Using(f.Zone); n == 0 && of > 0 {
		o.Left[f.Zone] = max(o.Left[f.Zone], w.Now-f.From)
		return
	}
	if w.Now >= f.To {
		if _, known := o.Left[f.Zone]; !known {
			o.Left[f.Zone] = -1
		}
		return
	}
	w.After(watchEach, func() { w.watch(f, o) })
}

// Rehearse plays the schedule of a seed on a fleet of a Config, and if something breaks tells
// the fewest of its faults that break it.
func Rehearse(cfg evacuation.Config, seed uint64, cars, each int, zones ...string) (Outcome, []Fault, error) {
	faults := Draw(rand.New(rand.NewPCG(seed, 9)), cars, zones)
	play := func(faults []Fault) (Outcome, error) {
		w, err := New(seed, cfg, cars, each, zones...)
		if err != nil {
			return Outcome{}, err
		}
		w.Rate = func(n int) float64 {
			if n%4 == 3 { // quiet ones are hard to lead
				return 0.7
			}
			return 8
		}
		return w.Play(faults)
	}
	o, err := play(faults)
	for n := 0; n < len(faults) && len(o.Broken) > 0 && err == nil; {
		less := slices.Delete(slices.Clone(faults), n, n+1)
		if p, e := play(less); e == nil && len(p.Broken) > 0 {
			faults, o = less, p
		} else {
			n++
		}
	}
	return o, faults, err
}
