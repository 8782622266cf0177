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
	Features  string   `type:"existingfile" help:"File with the [zones] to rehearse; the default settings if left out."`
	Sidecars  int      `default:"40" help:"Number of sidecars."`
	Servers   int      `default:"3" help:"Number of servers in each zone."`
	Zones     []string `default:"a,b,c" help:"Names of the zones."`
	Schedules int      `default:"200" help:"Number of random schedules to run, each of up to five faults."`
	From      uint64   `default:"1" help:"The seed of the first schedule."`
}

// errRehearsal means that a schedule of a rehearsal broke an invariant; exit status 1.
var errRehearsal = errors.New("a zone was left with no cause, or the fleet did not come to the same")

// maxRehearsedProcesses limits the sidecars, and the servers of all zones together;
// maxRehearsedSchedules limits the schedules.
const (
	maxRehearsedProcesses = 5000
	maxRehearsedSchedules = 1000000
)

// Run runs the schedules, as many at once as GOMAXPROCS, and prints a summary. Schedules that broke
// an invariant are printed with their seeds.
func (c *zoneRehearseCmd) Run(streams *stdStreams) error {
	file := features.Default()
	if c.Features != "" {
		var err error
		if file, err = features.Read(c.Features); err != nil {
			return err
		}
	}
	cfg := daemon.BaseEvacuationConfig(&file.Zones)
	switch {
	case c.Sidecars < 2 || c.Sidecars > maxRehearsedProcesses:
		return fmt.Errorf("--sidecars: must be between 2 and %d", maxRehearsedProcesses)
	case c.Servers < 1 || c.Servers*len(c.Zones) > maxRehearsedProcesses:
		return fmt.Errorf("--servers: must be at least 1, and at most %d in all zones together", maxRehearsedProcesses)
	case c.Schedules < 1 || c.Schedules > maxRehearsedSchedules:
		return fmt.Errorf("--schedules: must be between 1 and %d", maxRehearsedSchedules)
	}
	var (
		mu                                       sync.Mutex
		leaveTimes, settleTimes                  []time.Duration
		neverLeft, departures, played            int
		totalNotesPerSecond, totalBytesPerSecond float64
		broken                                   int
		runErr                                   error
		wg                                       sync.WaitGroup
		slots                                    = make(chan struct{}, runtime.GOMAXPROCS(0))
	)
	for seed := c.From; seed < c.From+uint64(c.Schedules); seed++ {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			outcome, faults, err := zonal.RunRandomFaults(cfg, seed, c.Sidecars, c.Servers, c.Zones...)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				runErr = err
				return
			}
			for _, d := range outcome.LeaveTimes {
				if d < 0 {
					neverLeft++
				} else {
					leaveTimes = append(leaveTimes, d)
				}
			}
			for count := range maps.Values(outcome.Departures) {
				departures += int(count)
			}
			settleTimes = append(settleTimes, outcome.SettleTime)
			totalNotesPerSecond, totalBytesPerSecond, played = totalNotesPerSecond+outcome.NotesPerSecond, totalBytesPerSecond+outcome.BytesPerSecond, played+1
			if len(outcome.Violations) > 0 {
				broken++
				fmt.Fprintf(streams.out, "seed %d: %v with the faults %v\n", seed, outcome.Violations, faults)
			}
		})
	}
	wg.Wait()
	if runErr != nil {
		return runErr
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "played\t%d schedules with %d sidecars, %d servers in each of %d zones\n", played, c.Sidecars, c.Servers, len(c.Zones))
	fmt.Fprintf(w, "broken\t%d\n", broken)
	fmt.Fprintf(w, "departures\t%d\n", departures)
	fmt.Fprintf(w, "all out after\t%s; not in %d cases, where the fault ended before or there was no other zone\n", formatSpread(leaveTimes), neverLeft)
	fmt.Fprintf(w, "all back after\t%s, from the last fault's end\n", formatSpread(settleTimes))
	fmt.Fprintf(w, "notes\t%.1f a sidecar a second, %.0f bytes of the zones' part\n", totalNotesPerSecond/float64(max(played, 1)), totalBytesPerSecond/float64(max(played, 1)))
	if err := w.Flush(); err != nil {
		return err
	}
	if broken > 0 {
		return errRehearsal
	}
	return nil
}

// formatSpread formats the median, the 90th percentile and the maximum of the durations. It sorts
// them.
func formatSpread(durations []time.Duration) string {
	if len(durations) == 0 {
		return "-"
	}
	slices.Sort(durations)
	quantile := func(fraction float64) time.Duration {
		return durations[int(fraction*float64(len(durations)-1))].Round(10 * time.Millisecond)
	}
	return fmt.Sprintf("%v at the median, %v at the 90th percentile, %v at most (of %d)", quantile(0.5), quantile(0.9), quantile(1), len(durations))
}
