package main

import (
	"errors"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"chalkrack/internal/daemon"
	"chalkrack/internal/features"
	"chalkrack/internal/lab/zonal"
)

type zoneRehearseCmd struct {
	Features  string   `type:"existingfile" help:"The file whose [zones] are rehearsed; without it the defaults are."`
	Sidecars  int      `default:"40" help:"How many."`
	Servers   int      `default:"3" help:"How many in each zone."`
	Zones     []string `default:"a,b,c" help:"Their names."`
	Schedules int      `default:"200" help:"How many random schedules of up to five faults are played."`
	From      uint64   `default:"1" help:"The seed of the first."`
}

// errRehearsal is for a rehearsal in which something broke: exit status 1.
var errRehearsal = errors.New("a zone was left with no cause, or the fleet did not come to the same")

// Bounds of a rehearsal.
const (
	rehearsedCars = 5000
	rehearsedMost = 1000000
)

// Run plays the schedules, as many at once as there are cores, and sums up.
func (c *zoneRehearseCmd) Run(s *streams) error {
	file := features.Default()
	if c.Features != "" {
		var err error
		if file, err = features.Read(c.Features); err != nil {
			return err
		}
	}
	cfg := daemon.BaseEvacuationConfig(&file.Zones)
	switch {
	case c.Sidecars < 2 || c.Sidecars > rehearsedCars:
		return fmt.Errorf("--sidecars: must be within 2 and %d", rehearsedCars)
	case c.Servers < 1 || c.Servers*len(c.Zones) > rehearsedCars:
		return fmt.Errorf("--servers: must be 1 at least, and %d at most in all zones", rehearsedCars)
	case c.Schedules < 1 || c.Schedules > rehearsedMost:
		return fmt.Errorf("--schedules: must be within 1 and %d", rehearsedMost)
	}
	var (
		mu                    sync.Mutex
		left, settled         []time.Duration
		never, departed, away int
		notes, bytes          float64
		broken                int
		fail                  error
		all                   sync.WaitGroup
		room                  = make(chan struct{}, runtime.GOMAXPROCS(0))
	)
	for seed := c.From; seed < c.From+uint64(c.Schedules); seed++ {
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			o, faults, err := zonal.RunRandomFaults(cfg, seed, c.Sidecars, c.Servers, c.Zones...)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fail = err
				return
			}
			for _, d := range o.LeaveTimes {
				if d < 0 {
					never++
				} else {
					left = append(left, d)
				}
			}
			for n := range maps.Values(o.Departures) {
				departed += int(n)
			}
			settled = append(settled, o.SettleTime)
			notes, bytes, away = notes+o.NotesPerSecond, bytes+o.BytesPerSecond, away+1
			if len(o.Violations) > 0 {
				broken++
				fmt.Fprintf(s.out, "seed %d: %v by %v\n", seed, o.Violations, faults)
			}
		})
	}
	all.Wait()
	if fail != nil {
		return fail
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "played\t%d schedules with %d sidecars, %d servers in each of %d zones\n", away, c.Sidecars, c.Servers, len(c.Zones))
	fmt.Fprintf(w, "broken\t%d\n", broken)
	fmt.Fprintf(w, "departures\t%d\n", departed)
	fmt.Fprintf(w, "all out after\t%s; %d of the faults ended before, or the zone was all there was\n", spread(left), never)
	fmt.Fprintf(w, "all back after\t%s, from the last fault's end\n", spread(settled))
	fmt.Fprintf(w, "notes\t%.1f a sidecar a second, %.0f bytes of the zones' part\n", notes/float64(max(away, 1)), bytes/float64(max(away, 1)))
	if err := w.Flush(); err != nil {
		return err
	}
	if broken > 0 {
		return errRehearsal
	}
	return nil
}

// spread is the middle, the ninth tenth and the most of some times.
func spread(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	at := func(part float64) time.Duration {
		return all[int(part*float64(len(all)-1))].Round(10 * time.Millisecond)
	}
	return fmt.Sprintf("%v in the middle, %v for nine tenths, %v at the most (of %d)", at(0.5), at(0.9), at(1), len(all))
}
