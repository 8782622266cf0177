// Package plan computes how much work a fleet can serve and on which nodes: how the work of each
// class in each zone is split over the nodes, which nodes are needed where nodes may be left out
// of use, which demand is not served if capacity is short, and which limits contradict each other
// if no plan meets them all. It has no I/O, clock or goroutines; the caller ends a long search by
// Options.Stop.
//
// The split is a linear programme (package simplex) over classes, zones and groups of identical
// nodes; the number of nodes in use is found by branch and bound over it. The objectives are
// minimised in a fixed order, each among the plans that are optimal for those before it: late
// requests of classes that must not be late, worth lost, cost, work moved from its current nodes,
// and the load of the busiest group of nodes (evenness).
package plan

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Limits on the size of a fleet, which bound time and memory: a fleet of 400 nodes, 12 zones and
// 20 classes takes seconds and under 200 MB.
const (
	MaxNodes   = 2000
	MaxZones   = 24
	MaxClasses = 64
	MaxPins    = 256
)

// Node is a server of the fleet.
type Node struct {
	Name  string  `toml:"name" json:"name"`
	Zone  string  `toml:"zone" json:"zone"`
	Kind  string  `toml:"kind" json:"kind,omitempty"`
	Speed float64 `toml:"speed" json:"speed"` // of a core, relative to the reference core (1)
	// SlowSpeed is the lowest speed expected of a core; 0 means Speed.
	SlowSpeed float64 `toml:"slow_speed" json:"slow_speed,omitempty"`
	Cores     int     `toml:"cores" json:"cores"`
	Queue     int     `toml:"queue" json:"queue,omitempty"` // requests that may wait at it; 0: no limit
	Price     float64 `toml:"price" json:"price,omitempty"` // per hour, while the node is in use
	Drain     bool    `toml:"drain" json:"drain,omitempty"` // the node gets no work
	// CurrentShare is the node's current share of all work, from which moved work is computed. If it
	// is 0 for all nodes, the current shares are unknown and moved work is not minimised.
	CurrentShare float64 `toml:"today" json:"today,omitempty"`

	notChosen bool // left out of use by the choice of nodes
	// sameLimitsAs is the name of a node whose pins, OnlyPlaces and ExcludedPlaces apply to this one
	// too; empty: none.
	sameLimitsAs string
}

// Class is a kind of request and its demand.
type Class struct {
	Name string  `toml:"name" json:"name"`
	Rate float64 `toml:"rate" json:"rate"` // requests per second, of all zones together
	// BusyRate is the highest rate expected; 0 means Rate.
	BusyRate float64 `toml:"busy_rate" json:"busy_rate,omitempty"`
	// Zones is the share of the rate that comes from each zone; if it is empty, the shares are equal.
	Zones         map[string]float64 `toml:"zones" json:"zones,omitempty"`
	WorkMS        float64            `toml:"work_ms" json:"work_ms"` // CPU time of a request on a core of speed 1
	AimMS         float64            `toml:"aim_ms" json:"aim_ms"`
	Worth         float64            `toml:"worth" json:"worth"`
	MustNotBeLate bool               `toml:"must" json:"must,omitempty"` // served before all other classes
	// MinServedShare is the share of the requests that every plan must serve.
	MinServedShare float64 `toml:"at_least" json:"at_least,omitempty"`
	// OnlyPlaces and ExcludedPlaces name where requests may and may not go, each as "zone:Z",
	// "kind:K" or the name of a node. If OnlyPlaces is empty, they may go everywhere.
	OnlyPlaces     []string `toml:"only" json:"only,omitempty"`
	ExcludedPlaces []string `toml:"not" json:"not,omitempty"`
}

// Pin requires that at least the share MinShare of a class's work goes to the named places.
type Pin struct {
	Class    string   `toml:"class" json:"class"`
	Places   []string `toml:"at" json:"at"` // in the form of Class.OnlyPlaces
	MinShare float64  `toml:"least" json:"least"`
}

// Price is the cost of a request that comes from one zone and is served in another.
type Price struct {
	From       string  `toml:"from" json:"from"`
	To         string  `toml:"to" json:"to"`
	PerRequest float64 `toml:"per_request" json:"per_request"`
}

// Limits apply to the fleet as a whole. A limit of 0 is not set.
type Limits struct {
	FreeShare    float64 `toml:"free" json:"free,omitempty"`                 // share of each node's capacity that stays unused
	MaxNodeShare float64 `toml:"most_of_node" json:"most_of_node,omitempty"` // share of all work on one node
	MaxZoneShare float64 `toml:"most_of_zone" json:"most_of_zone,omitempty"` // share of all work in one zone
	MaxNodes     int     `toml:"most_nodes" json:"most_nodes,omitempty"`
	MaxPrice     float64 `toml:"most_price" json:"most_price,omitempty"` // sum over the nodes in use, per hour
	// MaxLateShare is the share of requests that may find a node too busy to answer within their
	// aim, MaxFullShare the share that may find its queue full. They lower the usable capacity
	// of a node below that of its cores; see UsableCapacity.
	MaxLateShare float64 `toml:"late" json:"late,omitempty"`
	MaxFullShare float64 `toml:"full" json:"full,omitempty"`
}

// Fleet is the input of a plan: nodes, demand and limits.
type Fleet struct {
	Version int     `toml:"version" json:"version"`
	Choose  bool    `toml:"choose" json:"choose,omitempty"` // the plan may leave nodes out of use
	Nodes   []Node  `toml:"nodes" json:"nodes"`
	Classes []Class `toml:"classes" json:"classes"`
	Prices  []Price `toml:"prices" json:"prices,omitempty"`
	Pins    []Pin   `toml:"pins" json:"pins,omitempty"`
	Limits  Limits  `toml:"limits" json:"limits"`
}

// Validate returns an error that names each invalid field, or nil.
func (f *Fleet) Validate() error {
	var problems []error
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
		}
	}
	checkNumber := func(x float64, field string) {
		require(x >= 0 && !math.IsInf(x, 0), field, "must be a finite number of 0 or more, not %v", x)
	}
	checkShare := func(x float64, field string) { require(x >= 0 && x <= 1, field, "must be from 0 to 1, not %v", x) }
	require(f.Version == 1, "version", "must be 1, not %d", f.Version)
	require(len(f.Nodes) >= 1 && len(f.Nodes) <= MaxNodes, "nodes", "their number must be from 1 to %d", MaxNodes)
	require(len(f.Classes) >= 1 && len(f.Classes) <= MaxClasses, "classes", "their number must be from 1 to %d", MaxClasses)
	require(len(f.Pins) <= MaxPins, "pins", "their number must be at most %d", MaxPins)
	require(len(f.Zones()) <= MaxZones, "zones", "their number must be at most %d", MaxZones)
	nodeNames := make(map[string]bool)
	knownPlaces := make(map[string]bool)
	currentShares := 0.0
	for n, node := range f.Nodes {
		prefix := fmt.Sprintf("nodes[%d].", n)
		require(node.Name != "" && !nodeNames[node.Name] && !strings.Contains(node.Name, ":"), prefix+"name", "must be set, unique and without ':'")
		nodeNames[node.Name] = true
		knownPlaces[node.Name], knownPlaces["zone:"+node.Zone], knownPlaces["kind:"+node.Kind] = true, true, true
		require(node.Zone != "", prefix+"zone", "must be set")
		require(node.Speed > 0 && !math.IsInf(node.Speed, 0), prefix+"speed", "must be a finite number above 0, not %v", node.Speed)
		require(node.SlowSpeed >= 0 && node.SlowSpeed <= node.Speed, prefix+"slow_speed", "must be from 0 to speed, not %v", node.SlowSpeed)
		require(node.Cores >= 0 && node.Cores <= 1<<12, prefix+"cores", "must be from 0 to %d, not %d", 1<<12, node.Cores)
		require(node.Queue >= 0, prefix+"queue", "must be 0 or more, not %d", node.Queue)
		checkNumber(node.Price, prefix+"price")
		checkShare(node.CurrentShare, prefix+"today")
		currentShares += node.CurrentShare
	}
	require(currentShares <= 1+1e-6, "nodes", "the values of today add up to %v, must be at most 1", currentShares)
	classNames := make(map[string]bool)
	checkPlaces := func(list []string, field string) {
		for _, p := range list {
			require(knownPlaces[p], field, "%q is not the name of a node, zone:ZONE or kind:KIND of the fleet", p)
		}
	}
	for n, class := range f.Classes {
		prefix := fmt.Sprintf("classes[%d].", n)
		require(class.Name != "" && !classNames[class.Name], prefix+"name", "must be set and unique")
		classNames[class.Name] = true
		checkNumber(class.Rate, prefix+"rate")
		require(class.BusyRate == 0 || class.BusyRate >= class.Rate && !math.IsInf(class.BusyRate, 0), prefix+"busy_rate", "must be 0, or rate or more, not %v", class.BusyRate)
		require(class.WorkMS > 0 && !math.IsInf(class.WorkMS, 0), prefix+"work_ms", "must be a finite number above 0, not %v", class.WorkMS)
		require(class.AimMS > 0 && !math.IsInf(class.AimMS, 0), prefix+"aim_ms", "must be a finite number above 0, not %v", class.AimMS)
		checkNumber(class.Worth, prefix+"worth")
		checkShare(class.MinServedShare, prefix+"at_least")
		sum := 0.0
		for _, z := range sortedKeys(class.Zones) {
			checkShare(class.Zones[z], prefix+"zones."+z)
			sum += class.Zones[z]
		}
		require(len(class.Zones) == 0 || math.Abs(sum-1) < 1e-6, prefix+"zones", "the shares must add up to 1, not %v", sum)
		checkPlaces(class.OnlyPlaces, prefix+"only")
		checkPlaces(class.ExcludedPlaces, prefix+"not")
	}
	for n, p := range f.Pins {
		prefix := fmt.Sprintf("pins[%d].", n)
		require(classNames[p.Class], prefix+"class", "there is no class %q", p.Class)
		require(len(p.Places) > 0, prefix+"at", "must name at least one node, zone:ZONE or kind:KIND")
		checkPlaces(p.Places, prefix+"at")
		checkShare(p.MinShare, prefix+"least")
	}
	pricedPairs := make(map[[2]string]bool)
	for n, p := range f.Prices {
		prefix := fmt.Sprintf("prices[%d].", n)
		checkNumber(p.PerRequest, prefix+"per_request")
		require(p.From != "" && p.To != "" && !pricedPairs[[2]string{p.From, p.To}], prefix+"from", "from and to must be set, and no pair of them may occur twice")
		pricedPairs[[2]string{p.From, p.To}] = true
	}
	limits := &f.Limits
	require(limits.FreeShare >= 0 && limits.FreeShare < 1, "limits.free", "must be 0 or more and below 1, not %v", limits.FreeShare)
	checkShare(limits.MaxNodeShare, "limits.most_of_node")
	checkShare(limits.MaxZoneShare, "limits.most_of_zone")
	require(limits.MaxNodes >= 0, "limits.most_nodes", "must be 0 or more, not %d", limits.MaxNodes)
	checkNumber(limits.MaxPrice, "limits.most_price")
	require(f.Choose || limits.MaxNodes == 0 && limits.MaxPrice == 0, "limits.most_nodes", "most_nodes and most_price need choose = true")
	checkShare(limits.MaxLateShare, "limits.late")
	checkShare(limits.MaxFullShare, "limits.full")
	return errors.Join(problems...)
}

// Zones returns the zones of the nodes and the zones that work comes from, sorted.
func (f *Fleet) Zones() []string {
	names := make(map[string]float64)
	for _, d := range f.Nodes {
		names[d.Zone] = 0
	}
	for _, c := range f.Classes {
		for z := range c.Zones {
			names[z] = 0
		}
	}
	return sortedKeys(names)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys(m map[string]float64) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// matches reports whether places name the node, its zone or its kind, or the node whose limits
// also apply to it.
func (d *Node) matches(places []string) bool {
	return slices.Contains(places, d.Name) || d.sameLimitsAs != "" && slices.Contains(places, d.sameLimitsAs) || slices.Contains(places, "zone:"+d.Zone) || slices.Contains(places, "kind:"+d.Kind)
}

// worstCase returns the fleet with each node at its slow speed and each class at its busy rate,
// which is the worst case for every class at once, and whether any speed or rate changed.
func (f *Fleet) worstCase() (*Fleet, bool) {
	worst := *f
	worst.Nodes, worst.Classes = slices.Clone(f.Nodes), slices.Clone(f.Classes)
	differs := false
	for n := range worst.Nodes {
		if d := &worst.Nodes[n]; d.SlowSpeed > 0 && d.SlowSpeed < d.Speed {
			// The two speeds are exchanged, so that nodes that differ in either still differ and
			// the groups of identical nodes stay the same.
			d.Speed, d.SlowSpeed, differs = d.SlowSpeed, d.Speed, true
		}
	}
	for n := range worst.Classes {
		if c := &worst.Classes[n]; c.BusyRate > c.Rate {
			c.Rate, differs = c.BusyRate, true
		}
	}
	return &worst, differs
}
