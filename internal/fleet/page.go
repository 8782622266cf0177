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
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Sizes of the picture, in pixels.
const (
	laneHeight = 16
	laneLeft   = 110
	laneWidth  = 1000
)

type mark struct {
	X, Y, W, H float64
	Class      string
	Title      string
}

type label struct {
	X, Y float64
	Text string
}

type picture struct {
	Head     string
	Width    float64
	Height   float64
	Marks    []mark
	Labels   []label
	Text     string
	Findings []Finding
	Leavings []Leaving
}

// HTML writes a page with a lane for each fault, sidecar and server over time: when each
// was down, what was asked and how it ended, what arrived, and what was found.
func (h *History) HTML(w io.Writer) error {
	length := time.Duration(h.Schedule.Length)
	x := func(at time.Duration) float64 {
		return laneLeft + laneWidth*min(1, max(0, float64(at)/float64(length)))
	}
	var text strings.Builder
	if err := h.Text(&text); err != nil {
		return err
	}
	p := picture{Head: fmt.Sprintf("%s, seed %d", h.Schedule.Name, h.Schedule.Seed), Width: laneLeft + laneWidth + 20, Text: text.String(), Findings: Check(h), Leavings: h.Leavings()}
	y := 20.0
	for s := range int(length/time.Second) + 1 {
		p.Labels = append(p.Labels, label{x(time.Duration(s) * time.Second), 12, fmt.Sprintf("%d s", s)})
	}
	lane := func(name string) float64 {
		at := y
		p.Labels = append(p.Labels, label{2, at + laneHeight - 4, name})
		y += laneHeight + 2
		return at
	}
	for _, f := range h.Schedule.Faults {
		at := lane("")
		to := time.Duration(f.At + f.For)
		if f.For == 0 {
			to = length
		}
		from := x(time.Duration(f.At))
		p.Marks = append(p.Marks, mark{from, at, max(2, x(to)-from), laneHeight, "fault", f.String()})
		p.Labels = append(p.Labels, label{from + 4, at + laneHeight - 4, f.String()})
	}
	lanes := make(map[Party]float64)
	for n := range h.Schedule.Sidecars {
		who := sidecarParty(n)
		lanes[who] = lane(string(who) + " " + h.Schedule.homeOf(n))
		for _, d := range h.downs(who) {
			from := x(d.from)
			p.Marks = append(p.Marks, mark{from, lanes[who], max(1, x(d.to)-from), laneHeight, "down", "not running"})
		}
	}
	for n := range h.Schedule.Servers * len(h.Schedule.Zones) {
		lanes[serverParty(serverName(n))] = lane(serverName(n) + " in " + h.Schedule.zoneOf(n))
	}
	for _, e := range h.Events {
		at, ok := lanes[e.Who]
		if !ok || e.At < 0 {
			continue
		}
		m := mark{X: x(e.At), Y: at + 3, W: 1.5, H: laneHeight - 6}
		switch {
		case e.Kind == Called:
			m.Class, m.Title = e.Verdict, fmt.Sprintf("%s %s after %v", e.Class, e.Verdict, e.Took.Round(time.Millisecond))
		case e.Kind == Arrived:
			m.Class = "arrive"
		case e.Kind == Logged && strings.Contains(e.What, "msg=zone"):
			m.Class, m.Title, m.W, m.Y, m.H = "zone", e.What, 4, at, laneHeight
		default:
			continue
		}
		p.Marks = append(p.Marks, m)
	}
	for _, f := range p.Findings {
		if at, ok := lanes[f.Who]; ok {
			p.Marks = append(p.Marks, mark{x(f.At) - 3, at, 6, laneHeight, "breach", f.String()})
		}
	}
	// What matters most is drawn last, over the rest.
	order := []string{"fault", "down", "arrive", "served"}
	slices.SortStableFunc(p.Marks, func(a, b mark) int { return rank(order, a.Class) - rank(order, b.Class) })
	p.Height = y + 10
	return page.Execute(w, &p)
}

func rank(order []string, class string) int {
	if n := slices.Index(order, class); n >= 0 {
		return n
	}
	return len(order)
}
