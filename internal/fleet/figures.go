package fleet

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// ZoneExit measures how a fleet left a zone in a period in which the zone failed.
type ZoneExit struct {
	Zone            string        `json:"zone"`
	Start           time.Duration `json:"from_ns"`
	End             time.Duration `json:"to_ns"`
	NineTenthsOut   time.Duration `json:"nine_ns"` // from Start to the last send of nine tenths of the sidecars
	AllOut          time.Duration `json:"all_ns"`  // from Start to the last send of all sidecars
	Sends           int           `json:"sends"`   // into the zone in the period
	LateSends       int           `json:"after"`   // of Sends, those later than LateAfter
	LateAfter       time.Duration `json:"after_when_ns"`
	PeakReturnSends int           `json:"busiest"` // most sends to one of its servers in one second after End
	NotServed       int           `json:"lost"`    // of Calls, those that were not served
	Calls           int           `json:"asked"`   // to all zones in the period
	CallsByVerdict  map[string]int
}

// lateSendAfter is the time after a fault from which on sends into the zone count as late.
const lateSendAfter = 2 * time.Second

// MeasureExit measures how the fleet left a zone between start and end, and the busiest second of
// one of its servers within returnPeriod after end.
func (h *History) MeasureExit(zone string, start, end, returnPeriod time.Duration) ZoneExit {
	exit := ZoneExit{Zone: zone, Start: start, End: end, LateAfter: lateSendAfter, CallsByVerdict: make(map[string]int)}
	lastSends := make(map[Party]time.Duration)
	sendsPerSecond := make(map[string]int)
	for _, a := range h.Attempts() {
		if a.Zone != zone {
			continue
		}
		switch {
		case a.At >= start && a.At < end:
			exit.Sends++
			lastSends[a.Sidecar] = a.At - start
			if a.At-start > lateSendAfter {
				exit.LateSends++
			}
		case a.At >= end && a.At < end+returnPeriod:
			key := fmt.Sprint(a.Server, a.At/time.Second)
			sendsPerSecond[key]++
			exit.PeakReturnSends = max(exit.PeakReturnSends, sendsPerSecond[key])
		}
	}
	var exitTimes []time.Duration
	for n := range h.Schedule.Sidecars {
		exitTimes = append(exitTimes, lastSends[sidecarParty(n)])
	}
	slices.Sort(exitTimes)
	exit.NineTenthsOut = exitTimes[max(0, (len(exitTimes)*9+9)/10-1)]
	exit.AllOut = exitTimes[len(exitTimes)-1]
	for _, e := range h.Events {
		if e.Kind != EventCall || e.At < start || e.At >= end {
			continue
		}
		exit.Calls++
		exit.CallsByVerdict[e.Verdict]++
		if e.Verdict != "served" {
			exit.NotServed++
		}
	}
	return exit
}

// ServedShares returns the share of the calls that were served and the number of calls, for each
// second of the run.
func (h *History) ServedShares() (shares []float64, calls []int) {
	for _, e := range h.Events {
		if e.Kind != EventCall || e.At < 0 {
			continue
		}
		second := int(e.At / time.Second)
		for len(calls) <= second {
			calls, shares = append(calls, 0), append(shares, 0)
		}
		calls[second]++
		if e.Verdict == "served" {
			shares[second]++
		}
	}
	for n := range shares {
		if calls[n] > 0 {
			shares[n] /= float64(calls[n])
		}
	}
	return shares, calls
}

// zoneFaults returns the zone and the period of each fault that affects a zone, or part of it.
func (h *History) zoneFaults() (zones []string, spans []span) {
	for _, f := range h.Schedule.Faults {
		for _, selection := range []string{f.On, f.To} {
			zone, ok := strings.CutPrefix(selection, "zone:")
			if !ok || f.Kind == AdminCall {
				continue
			}
			end := time.Duration(f.At + f.For)
			if f.For == 0 || end > time.Duration(h.Schedule.Length) {
				end = time.Duration(h.Schedule.Length)
			}
			zones, spans = append(zones, zone), append(spans, span{time.Duration(f.At), end})
		}
	}
	return zones, spans
}

// ZoneExits returns the measurements for each period in which a zone failed.
func (h *History) ZoneExits() (exits []ZoneExit) {
	zones, spans := h.zoneFaults()
	for n, zone := range zones {
		exits = append(exits, h.MeasureExit(zone, spans[n].start, spans[n].end, time.Duration(h.Schedule.Length)))
	}
	return exits
}

// WriteReport writes a report for a terminal.
func (h *History) WriteReport(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	schedule := h.Schedule
	fmt.Fprintf(table, "schedule\t%s, seed %d: %d sidecars, %d servers in each of %d zones, runs for %v\n", schedule.Name, schedule.Seed, schedule.Sidecars, schedule.ServersPerZone, len(schedule.Zones), time.Duration(schedule.Length))
	verdicts := make(map[string]int)
	for _, e := range h.Events {
		if e.Kind == EventCall {
			verdicts[e.Verdict]++
		}
	}
	fmt.Fprintf(table, "calls\t%d served, %d refused, %d failed, %d with no answer, %d unsent\n", verdicts["served"], verdicts["refused"], verdicts["failed"], verdicts["none"], verdicts["unsent"])
	for _, exit := range h.ZoneExits() {
		fmt.Fprintf(table, "zone %s\t%v to %v: nine tenths of the sidecars out after %v, all after %v; %d sends, %d of them after %v; %d of %d calls not served; afterwards at most %d sends to one server in a second\n",
			exit.Zone, exit.Start, exit.End, exit.NineTenthsOut.Round(time.Millisecond), exit.AllOut.Round(time.Millisecond), exit.Sends, exit.LateSends, exit.LateAfter, exit.NotServed, exit.Calls, exit.PeakReturnSends)
	}
	notes, bytes := 0.0, 0.0
	for _, e := range h.Events {
		switch {
		case e.Kind == EventMeasurement && e.Detail == "notes":
			notes += e.Value
		case e.Kind == EventMeasurement && e.Detail == "note bytes":
			bytes += e.Value
		}
	}
	sidecarSeconds := float64(schedule.Sidecars) * time.Duration(schedule.Length).Seconds()
	fmt.Fprintf(table, "notes\t%.1f per sidecar per second, %.0f bytes\n", notes/sidecarSeconds, bytes/sidecarSeconds)
	findings := Check(h)
	fmt.Fprintf(table, "rules\t%d violations, %d more excused because the machine was starved\n", len(Unexcused(findings)), len(findings)-len(Unexcused(findings)))
	for n, f := range findings {
		if n == 20 {
			fmt.Fprintf(table, "\tand %d more\n", len(findings)-n)
			break
		}
		fmt.Fprintf(table, "\t%s\n", f)
	}
	return table.Flush()
}
