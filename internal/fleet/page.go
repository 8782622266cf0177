package fleet

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// Sizes in the chart, in pixels.
const (
	laneHeight = 16
	laneOffset = 110
	laneWidth  = 1000
)

// mark is a rectangle of the chart, with the CSS class Class and the tooltip Title.
type mark struct {
	X, Y, Width, Height float64
	Class               string
	Title               string
}

// label is a text in the chart.
type label struct {
	X, Y float64
	Text string
}

// pageData is the data for page.html.
type pageData struct {
	Heading   string
	Width     float64
	Height    float64
	Marks     []mark
	Labels    []label
	Report    string
	Findings  []Finding
	ZoneExits []ZoneExit
}

// WriteHTML writes a page with a lane over time for each fault, sidecar and server. It shows when
// sidecars were down, calls by verdict, requests that arrived at servers, and findings.
func (h *History) WriteHTML(w io.Writer) error {
	length := time.Duration(h.Schedule.Length)
	x := func(at time.Duration) float64 {
		return laneOffset + laneWidth*min(1, max(0, float64(at)/float64(length)))
	}
	var report strings.Builder
	if err := h.WriteReport(&report); err != nil {
		return err
	}
	data := pageData{Heading: fmt.Sprintf("%s, seed %d", h.Schedule.Name, h.Schedule.Seed), Width: laneOffset + laneWidth + 20, Report: report.String(), Findings: Check(h), ZoneExits: h.ZoneExits()}
	y := 20.0
	for second := range int(length/time.Second) + 1 {
		data.Labels = append(data.Labels, label{x(time.Duration(second) * time.Second), 12, fmt.Sprintf("%d s", second)})
	}
	addLane := func(name string) float64 {
		at := y
		data.Labels = append(data.Labels, label{2, at + laneHeight - 4, name})
		y += laneHeight + 2
		return at
	}
	for _, f := range h.Schedule.Faults {
		at := addLane("")
		to := time.Duration(f.At + f.For)
		if f.For == 0 {
			to = length
		}
		from := x(time.Duration(f.At))
		data.Marks = append(data.Marks, mark{from, at, max(2, x(to)-from), laneHeight, "fault", f.String()})
		data.Labels = append(data.Labels, label{from + 4, at + laneHeight - 4, f.String()})
	}
	laneTops := make(map[Party]float64)
	for n := range h.Schedule.Sidecars {
		party := sidecarParty(n)
		laneTops[party] = addLane(string(party) + " " + h.Schedule.sidecarZone(n))
		for _, downtime := range h.downtimes(party) {
			from := x(downtime.start)
			data.Marks = append(data.Marks, mark{from, laneTops[party], max(1, x(downtime.end)-from), laneHeight, "down", "not running"})
		}
	}
	for n := range h.Schedule.ServersPerZone * len(h.Schedule.Zones) {
		laneTops[serverParty(serverName(n))] = addLane(serverName(n) + " in " + h.Schedule.serverZone(n))
	}
	for _, e := range h.Events {
		at, ok := laneTops[e.Party]
		if !ok || e.At < 0 {
			continue
		}
		eventMark := mark{X: x(e.At), Y: at + 3, Width: 1.5, Height: laneHeight - 6}
		switch {
		case e.Kind == EventCall:
			eventMark.Class, eventMark.Title = e.Verdict, fmt.Sprintf("%s %s after %v", e.Class, e.Verdict, e.Elapsed.Round(time.Millisecond))
		case e.Kind == EventArrival:
			eventMark.Class = "arrive"
		case e.Kind == EventLogLine && strings.Contains(e.Detail, "msg=zone"):
			eventMark.Class, eventMark.Title, eventMark.Width, eventMark.Y, eventMark.Height = "zone", e.Detail, 4, at, laneHeight
		default:
			continue
		}
		data.Marks = append(data.Marks, eventMark)
	}
	for _, f := range data.Findings {
		if at, ok := laneTops[f.Party]; ok {
			data.Marks = append(data.Marks, mark{x(f.At) - 3, at, 6, laneHeight, "breach", f.String()})
		}
	}
	// The most important marks are drawn last, above the others.
	order := []string{"fault", "down", "arrive", "served"}
	slices.SortStableFunc(data.Marks, func(a, b mark) int { return drawRank(order, a.Class) - drawRank(order, b.Class) })
	data.Height = y + 10
	return pageTemplate.Execute(w, &data)
}

// drawRank returns the position of a class in order. Classes that are not in it come last.
func drawRank(order []string, class string) int {
	if n := slices.Index(order, class); n >= 0 {
		return n
	}
	return len(order)
}
