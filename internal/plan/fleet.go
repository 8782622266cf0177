// Package plan works out what a fleet can carry, and where: how the work of each class in
// each zone is split over the nodes, which of the nodes that may be left out are needed,
// what is not served where capacity falls short, and which limits contradict each other
// where nothing can be right. It has no I/O, clock or goroutines; who waits for a long
// search says when to end it.
//
// The split is a linear programme (package simplex) over classes, zones and groups of
// nodes that are alike; the number of nodes in use is found by branch and bound over it.
// What is best is said in a fixed order, each only among what is best by those before:
// what must not be late, worth, cost, moves from today's, evenness.
package plan

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Bounds on a fleet, which bound time and memory: 400 nodes, 12 zones and 20 classes take
// seconds and under 200 MB.
const (
	NodesMost   = 2000
	ZonesMost   = 24
	ClassesMost = 64
	PinsMost    = 256
)

// Node is one server.
type Node struct {
	Name  string  `toml:"name" json:"name"`
	Zone  string  `toml:"zone" json:"zone"`
	Kind  string  `toml:"kind" json:"kind,omitempty"`
	Speed float64 `toml:"speed" json:"speed"` // of a core, of the yardstick's
	// SlowSpeed is the least that its speed may turn out to be; 0: Speed.
	SlowSpeed float64 `toml:"slow_speed" json:"slow_speed,omitempty"`
	Cores     int     `toml:"cores" json:"cores"`
	Queue     int     `toml:"queue" json:"queue,omitempty"` // requests that may wait there; 0: any number
	Price     float64 `toml:"price" json:"price,omitempty"` // an hour, while it is in use
	Drain     bool    `toml:"drain" json:"drain,omitempty"` // it is to be left
	// Today is its part of all work now, for the fewest moves; all 0: nothing is known.
	Today float64 `toml:"today" json:"today,omitempty"`

	out  bool   // not in use, by choice
	like string // the node whose limits it has too
}

// Class is one kind of request.
type Class struct {
	Name string  `toml:"name" json:"name"`
	Rate float64 `toml:"rate" json:"rate"` // requests a second, all in all
	// BusyRate is the most that Rate may turn out to be; 0: Rate.
	BusyRate float64            `toml:"busy_rate" json:"busy_rate,omitempty"`
	Zones    map[string]float64 `toml:"zones" json:"zones,omitempty"` // its share by zone of origin; none: equal
	WorkMS   float64            `toml:"work_ms" json:"work_ms"`       // of one request, on a core of speed 1
	AimMS    float64            `toml:"aim_ms" json:"aim_ms"`
	Worth    float64            `toml:"worth" json:"worth"`
	Must     bool               `toml:"must" json:"must,omitempty"` // before all others: it must not be late
	// AtLeast is the share that must be served in any case.
	AtLeast float64 `toml:"at_least" json:"at_least,omitempty"`
	// Only and Not name where it may and may not go: "zone:Z", "kind:K" or a node.
	Only []string `toml:"only" json:"only,omitempty"`
	Not  []string `toml:"not" json:"not,omitempty"`
}

// Pin is a part of a class's work that must go to some nodes.
type Pin struct {
	Class string   `toml:"class" json:"class"`
	At    []string `toml:"at" json:"at"` // as Only
	Least float64  `toml:"least" json:"least"`
}

// Price is what a request costs that crosses from one zone to another.
type Price struct {
	From string  `toml:"from" json:"from"`
	To   string  `toml:"to" json:"to"`
	Per  float64 `toml:"per_request" json:"per_request"`
}

// Limits hold for the fleet as a whole. 0: no such limit.
type Limits struct {
	Free       float64 `toml:"free" json:"free,omitempty"`                 // of each node's capacity stays free
	MostOfNode float64 `toml:"most_of_node" json:"most_of_node,omitempty"` // of all work, at one node
	MostOfZone float64 `toml:"most_of_zone" json:"most_of_zone,omitempty"`
	MostNodes  int     `toml:"most_nodes" json:"most_nodes,omitempty"`
	MostPrice  float64 `toml:"most_price" json:"most_price,omitempty"` // of nodes, an hour
	// Late is the share of requests that may find a node too busy to answer within their
	// aim, Full the share that may find its queue full; they make a node's capacity less
	// than its cores.
	Late float64 `toml:"late" json:"late,omitempty"`
	Full float64 `toml:"full" json:"full,omitempty"`
}

// Fleet is what is planned for.
type Fleet struct {
	Version int     `toml:"version" json:"version"`
	Choose  bool    `toml:"choose" json:"choose,omitempty"` // nodes may be left out of use
	Nodes   []Node  `toml:"nodes" json:"nodes"`
	Classes []Class `toml:"classes" json:"classes"`
	Prices  []Price `toml:"prices" json:"prices,omitempty"`
	Pins    []Pin   `toml:"pins" json:"pins,omitempty"`
	Limits  Limits  `toml:"limits" json:"limits"`
}

// Validate says all that can't be used, each by its field.
func (f *Fleet) Validate() error {
	var bad []error
	need := func(ok bool, field, want string, args ...any) {
		if !ok {
			bad = append(bad, fmt.Errorf("%s: %s", field, fmt.Sprintf(want, args...)))
		}
	}
	number := func(x float64, field string) {
		need(x >= 0 && !math.IsInf(x, 0), field, "must be a number, 0 or more, not %v", x)
	}
	share := func(x float64, field string) { need(x >= 0 && x <= 1, field, "must be within 0 and 1, not %v", x) }
	need(f.Version == 1, "version", "must be 1, not %d", f.Version)
	need(len(f.Nodes) >= 1 && len(f.Nodes) <= NodesMost, "nodes", "must be 1 to %d", NodesMost)
	need(len(f.Classes) >= 1 && len(f.Classes) <= ClassesMost, "classes", "must be 1 to %d", ClassesMost)
	need(len(f.Pins) <= PinsMost, "pins", "must be %d at most", PinsMost)
	need(len(f.Zones()) <= ZonesMost, "zones", "must be %d at most", ZonesMost)
	names := make(map[string]bool)
	places := make(map[string]bool)
	today := 0.0
	for n, d := range f.Nodes {
		at := fmt.Sprintf("nodes[%d].", n)
		need(d.Name != "" && !names[d.Name] && !strings.Contains(d.Name, ":"), at+"name", "must be set, the only one of its kind, and without ':'")
		names[d.Name] = true
		places[d.Name], places["zone:"+d.Zone], places["kind:"+d.Kind] = true, true, true
		need(d.Zone != "", at+"zone", "must be set")
		need(d.Speed > 0 && !math.IsInf(d.Speed, 0), at+"speed", "must be above 0, not %v", d.Speed)
		need(d.SlowSpeed >= 0 && d.SlowSpeed <= d.Speed, at+"slow_speed", "must be within 0 and speed, not %v", d.SlowSpeed)
		need(d.Cores >= 0 && d.Cores <= 1<<12, at+"cores", "must be within 0 and %d, not %d", 1<<12, d.Cores)
		need(d.Queue >= 0, at+"queue", "must be 0 or more, not %d", d.Queue)
		number(d.Price, at+"price")
		share(d.Today, at+"today")
		today += d.Today
	}
	need(today <= 1+1e-6, "nodes", "today adds up to %v, over 1", today)
	classes := make(map[string]bool)
	where := func(list []string, field string) {
		for _, p := range list {
			need(places[p], field, "%q is no node, zone:ZONE or kind:KIND of the fleet", p)
		}
	}
	for n, c := range f.Classes {
		at := fmt.Sprintf("classes[%d].", n)
		need(c.Name != "" && !classes[c.Name], at+"name", "must be set and the only one of its kind")
		classes[c.Name] = true
		number(c.Rate, at+"rate")
		need(c.BusyRate == 0 || c.BusyRate >= c.Rate && !math.IsInf(c.BusyRate, 0), at+"busy_rate", "must be rate or more, not %v", c.BusyRate)
		need(c.WorkMS > 0 && !math.IsInf(c.WorkMS, 0), at+"work_ms", "must be above 0, not %v", c.WorkMS)
		need(c.AimMS > 0 && !math.IsInf(c.AimMS, 0), at+"aim_ms", "must be above 0, not %v", c.AimMS)
		number(c.Worth, at+"worth")
		share(c.AtLeast, at+"at_least")
		sum := 0.0
		for _, z := range sorted(c.Zones) {
			share(c.Zones[z], at+"zones."+z)
			sum += c.Zones[z]
		}
		need(len(c.Zones) == 0 || math.Abs(sum-1) < 1e-6, at+"zones", "must add up to 1, not %v", sum)
		where(c.Only, at+"only")
		where(c.Not, at+"not")
	}
	for n, p := range f.Pins {
		at := fmt.Sprintf("pins[%d].", n)
		need(classes[p.Class], at+"class", "there is no class %q", p.Class)
		need(len(p.At) > 0, at+"at", "must name a place")
		where(p.At, at+"at")
		share(p.Least, at+"least")
	}
	seen := make(map[[2]string]bool)
	for n, p := range f.Prices {
		at := fmt.Sprintf("prices[%d].", n)
		number(p.Per, at+"per_request")
		need(p.From != "" && p.To != "" && !seen[[2]string{p.From, p.To}], at+"from", "and to must be set, each pair once")
		seen[[2]string{p.From, p.To}] = true
	}
	l := &f.Limits
	need(l.Free >= 0 && l.Free < 1, "limits.free", "must be 0 or more, below 1, not %v", l.Free)
	share(l.MostOfNode, "limits.most_of_node")
	share(l.MostOfZone, "limits.most_of_zone")
	need(l.MostNodes >= 0, "limits.most_nodes", "must be 0 or more, not %d", l.MostNodes)
	number(l.MostPrice, "limits.most_price")
	need(f.Choose || l.MostNodes == 0 && l.MostPrice == 0, "limits.most_nodes", "and most_price are for choosing nodes: choose = true")
	share(l.Late, "limits.late")
	share(l.Full, "limits.full")
	return errors.Join(bad...)
}

// Zones are all that nodes stand in, work comes from or prices name, in order.
func (f *Fleet) Zones() []string {
	all := make(map[string]float64)
	for _, d := range f.Nodes {
		all[d.Zone] = 0
	}
	for _, c := range f.Classes {
		for z := range c.Zones {
			all[z] = 0
		}
	}
	return sorted(all)
}

func sorted(m map[string]float64) []string {
	var all []string
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// is says whether a node is one of the places.
func (d *Node) is(places []string) bool {
	return slices.Contains(places, d.Name) || d.like != "" && slices.Contains(places, d.like) || slices.Contains(places, "zone:"+d.Zone) || slices.Contains(places, "kind:"+d.Kind)
}

// bad is the fleet at the end of its intervals that is worst for every class at once:
// each node as slow and each class as busy as may be.
func (f *Fleet) bad() (*Fleet, bool) {
	g := *f
	g.Nodes, g.Classes = slices.Clone(f.Nodes), slices.Clone(f.Classes)
	some := false
	for n := range g.Nodes {
		if d := &g.Nodes[n]; d.SlowSpeed > 0 && d.SlowSpeed < d.Speed {
			// Exchanged, so that nodes that differ still do: groups stay what they are.
			d.Speed, d.SlowSpeed, some = d.SlowSpeed, d.Speed, true
		}
	}
	for n := range g.Classes {
		if c := &g.Classes[n]; c.BusyRate > c.Rate {
			c.Rate, some = c.BusyRate, true
		}
	}
	return &g, some
}
