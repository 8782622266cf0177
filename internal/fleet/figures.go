package fleet

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Leaving is how a fleet left a zone in a time.
type Leaving struct {
	Zone     string        `json:"zone"`
	From     time.Duration `json:"from_ns"`
	To       time.Duration `json:"to_ns"`
	Nine     time.Duration `json:"nine_ns"` // until nine tenths of the sidecars sent nothing more there
	All      time.Duration `json:"all_ns"`  // until none did
	Sends    int           `json:"sends"`   // into the zone, in all of it
	After    int           `json:"after"`   // of them later than AfterWhen
	When     time.Duration `json:"after_when_ns"`
	Busiest  int           `json:"busiest"` // sends to one of its servers in one second after To
	Lost     int           `json:"lost"`    // calls of that time that were not served
	Asked    int           `json:"asked"`
	ByEnding map[string]int
}

// afterWhen is when a zone should have been left.
const afterWhen = 2 * time.Second

// Leave measures how a fleet left a zone between two times, and what came back to its
// servers within a time afterwards.
func (h *History) Leave(zone string, from, to, back time.Duration) Leaving {
	l := Leaving{Zone: zone, From: from, To: to, When: afterWhen, ByEnding: make(map[string]int)}
	last := make(map[Party]time.Duration)
	seconds := make(map[string]int)
	for _, a := range h.Attempts() {
		if a.Zone != zone {
			continue
		}
		switch {
		case a.At >= from && a.At < to:
			l.Sends++
			last[a.By] = a.At - from
			if a.At-from > afterWhen {
				l.After++
			}
		case a.At >= to && a.At < to+back:
			key := fmt.Sprint(a.Server, a.At/time.Second)
			seconds[key]++
			l.Busiest = max(l.Busiest, seconds[key])
		}
	}
	var all []time.Duration
	for n := range h.Schedule.Sidecars {
		all = append(all, last[sidecarParty(n)])
	}
	slices.Sort(all)
	l.Nine = all[max(0, (len(all)*9+9)/10-1)]
	l.All = all[len(all)-1]
	for _, e := range h.Events {
		if e.Kind != Called || e.At < from || e.At >= to {
			continue
		}
		l.Asked++
		l.ByEnding[e.Verdict]++
		if e.Verdict != "served" {
			l.Lost++
		}
	}
	return l
}

// Served is the share of calls that were served, by second of the run.
func (h *History) Served() (share []float64, calls []int) {
	for _, e := range h.Events {
		if e.Kind != Called || e.At < 0 {
			continue
		}
		s := int(e.At / time.Second)
		for len(calls) <= s {
			calls, share = append(calls, 0), append(share, 0)
		}
		calls[s]++
		if e.Verdict == "served" {
			share[s]++
		}
	}
	for n := range share {
		if calls[n] > 0 {
			share[n] /= float64(calls[n])
		}
	}
	return share, calls
}

// zoneSpans are the times within which faults kept a zone's servers from working, or from
// being reached by more than half of the sidecars: its name, and when.
func (h *History) zoneSpans() (zones []string, spans []span) {
	for _, f := range h.Schedule.Faults {
		for _, text := range []string{f.On, f.To} {
			zone, ok := strings.CutPrefix(text, "zone:")
			if !ok || f.Kind == Deed {
				continue
			}
			to := time.Duration(f.At + f.For)
			if f.For == 0 || to > time.Duration(h.Schedule.Length) {
				to = time.Duration(h.Schedule.Length)
			}
			zones, spans = append(zones, zone), append(spans, span{time.Duration(f.At), to})
		}
	}
	return zones, spans
}

// Leavings are the measures of each time in which a zone failed.
func (h *History) Leavings() (all []Leaving) {
	zones, spans := h.zoneSpans()
	for n, z := range zones {
		all = append(all, h.Leave(z, spans[n].from, spans[n].to, time.Duration(h.Schedule.Length)))
	}
	return all
}

// Text writes a report for a terminal.
func (h *History) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	s := h.Schedule
	fmt.Fprintf(t, "schedule\t%s, seed %d: %d sidecars, %d servers in each of %d zones, %v\n", s.Name, s.Seed, s.Sidecars, s.Servers, len(s.Zones), time.Duration(s.Length))
	ends := make(map[string]int)
	for _, e := range h.Events {
		if e.Kind == Called {
			ends[e.Verdict]++
		}
	}
	fmt.Fprintf(t, "calls\t%d served, %d refused, %d failed, %d with no answer, %d unsent\n", ends["served"], ends["refused"], ends["failed"], ends["none"], ends["unsent"])
	for _, l := range h.Leavings() {
		fmt.Fprintf(t, "zone %s\t%v to %v: nine tenths out after %v, all after %v; %d sends, %d of them after %v; %d of %d calls not served; busiest second of a server afterwards %d\n",
			l.Zone, l.From, l.To, l.Nine.Round(time.Millisecond), l.All.Round(time.Millisecond), l.Sends, l.After, l.When, l.Lost, l.Asked, l.Busiest)
	}
	notes, bytes := 0.0, 0.0
	for _, e := range h.Events {
		switch {
		case e.Kind == Figure && e.What == "notes":
			notes += e.Value
		case e.Kind == Figure && e.What == "note bytes":
			bytes += e.Value
		}
	}
	per := float64(s.Sidecars) * time.Duration(s.Length).Seconds()
	fmt.Fprintf(t, "notes\t%.1f a sidecar a second, %.0f bytes\n", notes/per, bytes/per)
	all := Check(h)
	fmt.Fprintf(t, "rules\t%d breaches, %d more excused by a starved machine\n", len(Held(all)), len(all)-len(Held(all)))
	for n, f := range all {
		if n == 20 {
			fmt.Fprintf(t, "\tand %d more\n", len(all)-n)
			break
		}
		fmt.Fprintf(t, "\t%s\n", f)
	}
	return t.Flush()
}
