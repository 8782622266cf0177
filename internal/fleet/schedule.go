// Package fleet starts several processes of the built daemon and plays a schedule of faults
// against them. Each sidecar process has stand-in servers in zones, service discovery, peers and
// a client, and reaches them through links of its own, so that faults can be injected for each
// sidecar. The package records what each client, server and sidecar observes, with times of one
// clock, and Check verifies that history. All traffic stays on loopback, counts and durations are
// bounded, and the package ends only processes that it started.
package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"chalkrack/internal/duration"
)

// Limits of a schedule.
const (
	MaxSidecars = 96
	MaxServers  = 60 // in all zones together
	MaxFaults   = 64
	MaxLength   = 3 * time.Minute
	MaxRate     = 400.0 // calls per second of one client
)

// FaultKind selects what a fault does.
type FaultKind string

// Faults of the links between From and To. They apply to both directions, or with OneWay only to
// traffic from From to To.
const (
	Cut       FaultKind = "cut"     // no data passes, no connection is reset, new connections are not established
	Reset     FaultKind = "reset"   // open and new connections are reset
	Delay     FaultKind = "delay"   // data is delayed by AddedDelay plus a random time below DelaySpread
	Trickle   FaultKind = "trickle" // each connection passes BytesPerSecond
	Loss      FaultKind = "loss"    // a Share of the datagrams is lost
	Duplicate FaultKind = "double"  // a Share of the datagrams is delivered twice
	Reorder   FaultKind = "reorder" // a Share of the datagrams is delivered after the next one
	Hold      FaultKind = "hold"    // datagrams are queued and all delivered at once when the fault ends
)

// Faults of the processes that On selects. Sidecars support Kill, Stop, Terminate, Upgrade, Starve,
// BreakConfig and AdminCall, servers Kill, Freeze, Fail, Slow, Decline and SetStatus, discovery
// Kill and Lag.
const (
	Kill        FaultKind = "kill"    // ends the process at once; it starts again when the fault ends
	Stop        FaultKind = "stop"    // SIGSTOP, and SIGCONT when the fault ends
	Terminate   FaultKind = "term"    // SIGTERM, and a start after the process has exited
	Upgrade     FaultKind = "upgrade" // starts a second process on the same socket; once it is ready the first gets SIGTERM
	Starve      FaultKind = "starve"  // runs only for a Share of the time, in periods of 100 ms
	BreakConfig FaultKind = "spoil"   // ends the process at once, and its starts fail until the fault ends
	Freeze      FaultKind = "freeze"  // accepts connections, reads and answers nothing
	Fail        FaultKind = "fail"    // answers 500
	Slow        FaultKind = "slow"    // takes Factor times as long to answer
	Decline     FaultKind = "decline" // declines all requests
	SetStatus   FaultKind = "list"    // discovery lists the server as Argument: up, draining, removed, or new (just started)
	Lag         FaultKind = "lag"     // discovery delays changes of its list by AddedDelay
	AdminCall   FaultKind = "deed"    // calls Name on the admin socket of a sidecar, with the request Argument
	Marker      FaultKind = "mark"    // has no effect; it marks a time span in the history and on the page
)

var linkFaultKinds = []FaultKind{Cut, Reset, Delay, Trickle, Loss, Duplicate, Reorder, Hold}

// faultRoles maps each process fault to the roles of the processes that support it.
var faultRoles = map[FaultKind]string{
	Kill: "sidecar server discovery", Stop: "sidecar", Terminate: "sidecar", Upgrade: "sidecar", Starve: "sidecar", BreakConfig: "sidecar", AdminCall: "sidecar",
	Freeze: "server", Fail: "server", Slow: "server", Decline: "server", SetStatus: "server", Lag: "discovery",
}

// Fault is one fault of a schedule. The json tags are the names of the fields in histories.
type Fault struct {
	At             duration.Duration `toml:"at"`  // since the start of the load
	For            duration.Duration `toml:"for"` // 0: until the end of the run
	Kind           FaultKind         `toml:"kind"`
	On             string            `toml:"on,omitempty"`   // selects the processes
	From           string            `toml:"from,omitempty"` // selects one end of the links
	To             string            `toml:"to,omitempty"`   // selects the other end
	OneWay         bool              `toml:"one_way,omitempty"`
	AddedDelay     duration.Duration `toml:"by,omitempty" json:"By"`
	DelaySpread    duration.Duration `toml:"spread,omitempty" json:"Spread"`
	BytesPerSecond int               `toml:"rate,omitempty" json:"Rate"`
	Share          float64           `toml:"share,omitempty"`
	Factor         float64           `toml:"factor,omitempty"`
	Name           string            `toml:"name,omitempty"`
	Argument       string            `toml:"with,omitempty" json:"With"` // a status, or the request of an admin call in JSON
}

// Schedule describes a fleet, its load and the faults that are injected. It is read from a file or
// generated from a seed. The json tags are the names of the fields in histories.
type Schedule struct {
	Name           string            `toml:"name"`
	Seed           uint64            `toml:"seed"`
	Sidecars       int               `toml:"sidecars"`
	Zones          []string          `toml:"zones"`
	ServersPerZone int               `toml:"servers" json:"Servers"`   // in each zone
	Rate           float64           `toml:"rate"`                     // calls per second of each client
	QuietSidecars  int               `toml:"quiet" json:"Quiet"`       // number of sidecars, the last ones, whose clients have a twentieth of Rate
	WorkTime       duration.Duration `toml:"work" json:"Work"`         // time that a server takes to process a call
	ServerCapacity float64           `toml:"capacity" json:"Capacity"` // requests per second of a warm server; 0: unlimited
	// A restarted server is cold: it starts with the share ColdShare of its capacity and is warm
	// after WarmUpTime. It fails permanently when it gets FallFactor times its current capacity for
	// FallTime.
	ColdShare  float64           `toml:"cold_from" json:"ColdFrom"`
	WarmUpTime duration.Duration `toml:"cold_for" json:"ColdFor"`
	FallFactor float64           `toml:"fall" json:"Fall"`
	FallTime   duration.Duration `toml:"fall_for" json:"FallFor"`
	Length     duration.Duration `toml:"length"`
	// CallDeadline replaces the deadlines of the classes if it is above 0. LingerTime is how long
	// clients keep a connection open after the deadline.
	CallDeadline duration.Duration `toml:"wait" json:"Wait"`
	LingerTime   duration.Duration `toml:"linger" json:"Linger"`
	Class        string            `toml:"class"` // the only class that clients call; empty: all three
	// Features is the features file of each sidecar. @SOCKET@ is replaced by the path of its admin
	// socket and @DIR@ by its directory.
	Features        string  `toml:"features"`
	ClaimedSidecars int     `toml:"claimed" json:"Claimed"` // number of sidecars that the settings state; 0: the actual number
	Faults          []Fault `toml:"faults"`
}

// ParseSchedule decodes a schedule from TOML, fills in defaults and validates it. Errors name the
// field or the line.
func ParseSchedule(text []byte) (*Schedule, error) {
	schedule := &Schedule{Seed: 1, Sidecars: 12, Zones: []string{"a", "b", "c"}, ServersPerZone: 3, Rate: 10, Length: duration.Duration(5 * time.Second),
		WorkTime: duration.Duration(20 * time.Millisecond), LingerTime: duration.Duration(300 * time.Millisecond)}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(schedule); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			line, _ := strict.Errors[0].Position()
			return nil, fmt.Errorf("schedule: line %d: unknown field", line)
		}
		return nil, fmt.Errorf("schedule: %w", err)
	}
	return schedule, schedule.Validate()
}

// Text returns the schedule as TOML.
func (s *Schedule) Text() ([]byte, error) { return toml.Marshal(s) }

// Validate returns an error that names the first invalid field, or nil.
func (s *Schedule) Validate() error {
	var err error
	require := func(ok bool, field, format string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("schedule: %s: %s", field, fmt.Sprintf(format, args...))
		}
	}
	require(s.Sidecars >= 1 && s.Sidecars <= MaxSidecars, "sidecars", "must be between 1 and %d", MaxSidecars)
	require(len(s.Zones) >= 1, "zones", "must name at least one zone")
	for n, zone := range s.Zones {
		require(zone != "" && !slices.Contains(s.Zones[:n], zone), "zones", "%q is duplicate or empty", zone)
	}
	require(s.ServersPerZone >= 1 && s.ServersPerZone*len(s.Zones) <= MaxServers, "servers", "must be at least 1, and at most %d in all zones together", MaxServers)
	require(s.Rate > 0 && s.Rate <= MaxRate, "rate", "must be above 0 and at most %v", MaxRate)
	require(s.QuietSidecars >= 0 && s.QuietSidecars <= s.Sidecars, "quiet", "must be between 0 and the number of sidecars")
	require(s.Length > 0 && time.Duration(s.Length) <= MaxLength, "length", "must be above 0 and at most %v", MaxLength)
	require(s.ColdShare >= 0 && s.ColdShare <= 1, "cold_from", "must be between 0 and 1")
	require(s.ClaimedSidecars >= 0, "claimed", "must be 0 or more")
	require(len(s.Faults) <= MaxFaults, "faults", "must be at most %d", MaxFaults)
	if err != nil {
		return err
	}
	selector := s.selector()
	for n, fault := range s.Faults {
		faultField := func(field string) string { return fmt.Sprintf("faults[%d].%s", n, field) }
		require(fault.At >= 0 && fault.At < s.Length, faultField("at"), "must be within the schedule's length")
		require(fault.For >= 0, faultField("for"), "must be 0 or more")
		require(fault.Share >= 0 && fault.Share <= 1, faultField("share"), "must be between 0 and 1")
		roles, isProcessFault := faultRoles[fault.Kind]
		switch {
		case fault.Kind == Marker:
		case isProcessFault:
			parties, selectErr := selector.resolve(fault.On)
			require(selectErr == nil, faultField("on"), "%v", selectErr)
			for _, party := range parties {
				require(containsWord(roles, party.role()), faultField("on"), "%s is not a %s, which kind %q requires", party, roles, fault.Kind)
			}
		case slices.Contains(linkFaultKinds, fault.Kind):
			for field, text := range map[string]string{"from": fault.From, "to": fault.To} {
				_, selectErr := selector.resolve(text)
				require(selectErr == nil, faultField(field), "%v", selectErr)
			}
		default:
			require(false, faultField("kind"), "%q is not a kind of fault", fault.Kind)
		}
		switch fault.Kind {
		case Trickle:
			require(fault.BytesPerSecond > 0, faultField("rate"), "must be above 0")
		case Slow:
			require(fault.Factor >= 1, faultField("factor"), "must be 1 or more")
		case Starve:
			require(fault.Share > 0 && fault.Share < 1, faultField("share"), "must be above 0 and below 1")
		case SetStatus:
			require(slices.Contains([]string{"up", "draining", "removed", "new"}, fault.Argument), faultField("with"), "must be up, draining, removed or new")
		case AdminCall:
			require(fault.Name != "", faultField("name"), "must name an admin call")
		}
	}
	return err
}

// isUpgraded reports whether a fault of the schedule upgrades a sidecar. The listening socket for
// its clients is then held open, so that both of its processes can use it.
func (s *Schedule) isUpgraded(party Party) bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		parties, err := s.selector().resolve(f.On)
		return f.Kind == Upgrade && err == nil && slices.Contains(parties, party)
	})
}

// RandomSchedule returns base with between 1 and maxFaults random faults appended. The same seed
// always gives the same faults.
func RandomSchedule(base Schedule, seed uint64, maxFaults int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0xf1ee7))
	schedule := base
	schedule.Seed, schedule.Name, schedule.Faults = seed, fmt.Sprintf("%s-%d", base.Name, seed), slices.Clone(base.Faults)
	for range 1 + rng.IntN(max(1, maxFaults)) {
		schedule.Faults = append(schedule.Faults, schedule.randomFault(rng))
	}
	return &schedule
}

// randomSource provides the random numbers for a random fault.
type randomSource interface {
	IntN(n int) int       // in [0, n)
	Int64N(n int64) int64 // in [0, n)
	Float64() float64     // in [0, 1)
}

// randomFault returns a random fault that is valid for the fleet of the schedule.
func (s *Schedule) randomFault(source randomSource) Fault {
	length := time.Duration(s.Length)
	randomMillis := func(low, high int) duration.Duration {
		return duration.Duration(time.Duration(low+source.IntN(high-low+1)) * time.Millisecond)
	}
	randomZone := func() string { return "zone:" + s.Zones[source.IntN(len(s.Zones))] }
	randomSidecar := func() string { return fmt.Sprintf("sidecar:%d", 1+source.IntN(s.Sidecars)) }
	fault := Fault{At: duration.Duration(source.Int64N(int64(length) * 2 / 3)), For: randomMillis(200, int(length.Milliseconds()/3))}
	switch source.IntN(12) {
	case 0, 1:
		fault.Kind, fault.From, fault.To = Cut, "sidecars", randomZone()
	case 2:
		fault.Kind, fault.From, fault.To, fault.OneWay = Cut, randomSidecar(), randomZone(), source.IntN(2) == 0
	case 3:
		fault.Kind, fault.From, fault.To, fault.AddedDelay, fault.DelaySpread = Delay, "sidecars", randomZone(), randomMillis(5, 200), randomMillis(0, 50)
	case 4:
		fault.Kind, fault.From, fault.To = Reset, "sidecars", randomZone()
	case 5:
		fault.Kind, fault.From, fault.To, fault.Share = Loss, "sidecars", "sidecars", 0.2+0.6*source.Float64()
	case 6:
		fault.Kind, fault.On = Stop, randomSidecar()
	case 7:
		fault.Kind, fault.On = Kill, randomSidecar()
	case 8:
		fault.Kind, fault.On, fault.Share = Starve, randomSidecar(), 0.1+0.4*source.Float64()
	case 9:
		fault.Kind, fault.On = Fail, randomZone()
	case 10:
		fault.Kind, fault.On, fault.Factor = Slow, randomZone(), 2+8*source.Float64()
	case 11:
		fault.Kind, fault.On = Kill, randomZone()
	}
	return fault
}

// Scale changes the number of sidecars, the servers in each zone and the rate of the clients; an
// argument of 0 leaves the value as it is. Sidecar ranges in faults are scaled in proportion.
func (s *Schedule) Scale(sidecars, servers int, rate float64) {
	if rate > 0 {
		s.Rate = rate
	}
	if servers > 0 {
		s.ServersPerZone = servers
	}
	if sidecars <= 0 || sidecars == s.Sidecars {
		return
	}
	oldSidecars := s.Sidecars
	scaleNumber := func(n int) int { return (n*sidecars + oldSidecars - 1) / oldSidecars }
	scaleRanges := func(text string) string {
		words := strings.Split(text, ",")
		for n, word := range words {
			var from, to int
			if fields, _ := fmt.Sscanf(word, "sidecar:%d-%d", &from, &to); fields == 2 {
				words[n] = fmt.Sprintf("sidecar:%d-%d", scaleNumber(from-1)+1, scaleNumber(to))
			}
		}
		return strings.Join(words, ",")
	}
	s.Faults = slices.Clone(s.Faults)
	for n := range s.Faults {
		fault := &s.Faults[n]
		fault.On, fault.From, fault.To = scaleRanges(fault.On), scaleRanges(fault.From), scaleRanges(fault.To)
	}
	s.Sidecars, s.QuietSidecars = sidecars, s.QuietSidecars*sidecars/oldSidecars
}
