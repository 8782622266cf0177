// Package fleet runs several processes of the built daemon, each with stand-in servers in
// zones, discovery, peers and a client behind links of its own, plays a schedule of faults
// against them and writes down what each client, server and sidecar saw, by one clock.
// Checkers read that history. Everything is on loopback, bounded in count and time, and
// every process that it ends is one that it started.
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

// Bounds of a schedule.
const (
	SidecarsMost = 96
	ServersMost  = 60 // of all zones together
	FaultsMost   = 64
	LengthMost   = 3 * time.Minute
	RateMost     = 400.0 // calls a second of one client
)

// Kind is what a fault does.
type Kind string

// Faults of links, between From and To: in both directions, or with OneWay only for what
// goes from From to To.
const (
	Cut     Kind = "cut"     // nothing comes, nothing is reset, new connections never come up
	Reset   Kind = "reset"   // connections are reset, new ones too
	Delay   Kind = "delay"   // By, with up to Spread more
	Trickle Kind = "trickle" // Rate bytes a second on each connection
	Loss    Kind = "loss"    // of datagrams, a Share
	Double  Kind = "double"  // of datagrams, a Share
	Reorder Kind = "reorder" // of datagrams, a Share comes after the next
	Hold    Kind = "hold"    // datagrams are held up and let go at the end, all at once
)

// Faults of processes, On some of them. Sidecars know Kill, Stop, Term, Upgrade, Starve and Spoil,
// servers Kill, Freeze, Fail, Slow, Decline and List, discovery Kill and Lag.
const (
	Kill    Kind = "kill"    // ends without a word; starts again when the fault ends
	Stop    Kind = "stop"    // SIGSTOP, and SIGCONT when the fault ends
	Term    Kind = "term"    // SIGTERM, and a start once it has ended
	Upgrade Kind = "upgrade" // a second process at the same socket, and SIGTERM for the first once it serves
	Starve  Kind = "starve"  // it runs for a Share of the time only, in slices of 100 ms
	Spoil   Kind = "spoil"   // it is ended, and its starts fail until the fault ends
	Freeze  Kind = "freeze"  // connections come up, nothing is read or answered
	Fail    Kind = "fail"    // answers 500
	Slow    Kind = "slow"    // answers Factor times as late
	Decline Kind = "decline" // turns all away
	List    Kind = "list"    // discovery says With of it: up, draining, removed, or new: it has just started
	Lag     Kind = "lag"     // changes of the list come By later
	Deed    Kind = "deed"    // an operator's call, Name with the text With, at a sidecar's socket
	Mark    Kind = "mark"    // nothing happens: a time that the report names
)

var linkKinds = []Kind{Cut, Reset, Delay, Trickle, Loss, Double, Reorder, Hold}

var processKinds = map[Kind]string{ // what each may be done to
	Kill: "sidecar server discovery", Stop: "sidecar", Term: "sidecar", Upgrade: "sidecar", Starve: "sidecar", Spoil: "sidecar", Deed: "sidecar",
	Freeze: "server", Fail: "server", Slow: "server", Decline: "server", List: "server", Lag: "discovery",
}

// Fault is one line of a schedule.
type Fault struct {
	At     duration.Duration `toml:"at"`  // from the beginning of the load
	For    duration.Duration `toml:"for"` // 0: to the end
	Kind   Kind              `toml:"kind"`
	On     string            `toml:"on,omitempty"`
	From   string            `toml:"from,omitempty"`
	To     string            `toml:"to,omitempty"`
	OneWay bool              `toml:"one_way,omitempty"`
	By     duration.Duration `toml:"by,omitempty"`
	Spread duration.Duration `toml:"spread,omitempty"`
	Rate   int               `toml:"rate,omitempty"`
	Share  float64           `toml:"share,omitempty"`
	Factor float64           `toml:"factor,omitempty"`
	Name   string            `toml:"name,omitempty"`
	With   string            `toml:"with,omitempty"` // JSON
}

// Schedule is a fleet and what happens to it. It is data: a file, or drawn from a seed.
type Schedule struct {
	Name     string            `toml:"name"`
	Seed     uint64            `toml:"seed"`
	Sidecars int               `toml:"sidecars"`
	Zones    []string          `toml:"zones"`
	Servers  int               `toml:"servers"` // in each zone
	Rate     float64           `toml:"rate"`    // calls a second of each client
	Quiet    int               `toml:"quiet"`   // so many of the sidecars, the last, have a twentieth of it
	Work     duration.Duration `toml:"work"`    // that a call takes at a server
	Capacity float64           `toml:"capacity"`
	// Cold servers: what a restart leaves of the capacity, and for how long; falls over at
	// fall times what it can do for fall_for.
	ColdFrom float64           `toml:"cold_from"`
	ColdFor  duration.Duration `toml:"cold_for"`
	Fall     float64           `toml:"fall"`
	FallFor  duration.Duration `toml:"fall_for"`
	Length   duration.Duration `toml:"length"`
	// Wait is how long clients wait, in place of the classes' own; Linger how much longer
	// they keep the connection open before they close it.
	Wait   duration.Duration `toml:"wait"`
	Linger duration.Duration `toml:"linger"`
	Class  string            `toml:"class"` // the only one that is called; empty: all three
	// Features is the text of each sidecar's own settings. @SOCKET@ in it is replaced.
	Features string  `toml:"features"`
	Claimed  int     `toml:"claimed"` // how many sidecars they are told that there are; 0: the truth
	Faults   []Fault `toml:"faults"`
}

// Read reads a schedule. An error names the field.
func Read(text []byte) (*Schedule, error) {
	s := &Schedule{Seed: 1, Sidecars: 12, Zones: []string{"a", "b", "c"}, Servers: 3, Rate: 10, Length: duration.Duration(5 * time.Second),
		Work: duration.Duration(20 * time.Millisecond), Linger: duration.Duration(300 * time.Millisecond)}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			row, _ := strict.Errors[0].Position()
			return nil, fmt.Errorf("schedule: line %d: unknown field", row)
		}
		return nil, fmt.Errorf("schedule: %w", err)
	}
	return s, s.Validate()
}

// Text is the schedule as a file has it.
func (s *Schedule) Text() ([]byte, error) { return toml.Marshal(s) }

// Validate says what of a schedule can't be played, by its field.
func (s *Schedule) Validate() error {
	var err error
	need := func(ok bool, field, want string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("schedule: %s: %s", field, fmt.Sprintf(want, args...))
		}
	}
	need(s.Sidecars >= 1 && s.Sidecars <= SidecarsMost, "sidecars", "must be within 1 and %d", SidecarsMost)
	need(len(s.Zones) >= 1, "zones", "must name one at least")
	for n, z := range s.Zones {
		need(z != "" && !slices.Contains(s.Zones[:n], z), "zones", "%q stands twice or is empty", z)
	}
	need(s.Servers >= 1 && s.Servers*len(s.Zones) <= ServersMost, "servers", "must be 1 at least and %d at most over all zones", ServersMost)
	need(s.Rate > 0 && s.Rate <= RateMost, "rate", "must be above 0, %v at most", RateMost)
	need(s.Quiet >= 0 && s.Quiet <= s.Sidecars, "quiet", "must be within 0 and sidecars")
	need(s.Length > 0 && time.Duration(s.Length) <= LengthMost, "length", "must be above 0, %v at most", LengthMost)
	need(s.ColdFrom >= 0 && s.ColdFrom <= 1, "cold_from", "must be within 0 and 1")
	need(s.Claimed >= 0, "claimed", "must be 0 or more")
	need(len(s.Faults) <= FaultsMost, "faults", "are %d at most", FaultsMost)
	if err != nil {
		return err
	}
	names := s.names()
	for n, f := range s.Faults {
		at := func(field string) string { return fmt.Sprintf("faults[%d].%s", n, field) }
		need(f.At >= 0 && f.At < s.Length, at("at"), "must be within the schedule's length")
		need(f.For >= 0, at("for"), "must be 0 or more")
		need(f.Share >= 0 && f.Share <= 1, at("share"), "must be within 0 and 1")
		who, on := processKinds[f.Kind]
		switch {
		case f.Kind == Mark:
		case on:
			all, perr := names.pick(f.On)
			need(perr == nil, at("on"), "%v", perr)
			for _, p := range all {
				need(containsWord(who, p.kind()), at("on"), "%s is no %s, and %s is for these", p, who, f.Kind)
			}
		case slices.Contains(linkKinds, f.Kind):
			for field, text := range map[string]string{"from": f.From, "to": f.To} {
				_, perr := names.pick(text)
				need(perr == nil, at(field), "%v", perr)
			}
		default:
			need(false, at("kind"), "%q is none", f.Kind)
		}
		switch f.Kind {
		case Trickle:
			need(f.Rate > 0, at("rate"), "must be above 0")
		case Slow:
			need(f.Factor >= 1, at("factor"), "must be 1 or more")
		case Starve:
			need(f.Share > 0 && f.Share < 1, at("share"), "must be above 0 and below 1")
		case List:
			need(slices.Contains([]string{"up", "draining", "removed", "new"}, f.With), at("with"), "must be up, draining, removed or new")
		case Deed:
			need(f.Name != "", at("name"), "must name a deed")
		}
	}
	return err
}

// upgrades says that a sidecar is upgraded somewhere: its clients' socket is held for it then.
func (s *Schedule) upgrades(who Party) bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		all, err := s.names().pick(f.On)
		return f.Kind == Upgrade && err == nil && slices.Contains(all, who)
	})
}

// Draw is a schedule with up to most random faults drawn from a seed, on the fleet of a
// base. The same seed always draws the same.
func Draw(base Schedule, seed uint64, most int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0xf1ee7))
	s := base
	s.Seed, s.Name, s.Faults = seed, fmt.Sprintf("%s-%d", base.Name, seed), slices.Clone(base.Faults)
	for range 1 + rng.IntN(max(1, most)) {
		s.Faults = append(s.Faults, s.drawn(rng))
	}
	return &s
}

// dice are what a fault is drawn by.
type dice interface {
	IntN(n int) int // from 0 to below n
	Int64N(n int64) int64
	Float64() float64 // from 0 to below 1
}

// drawn is one random fault of the schedule's fleet.
func (s *Schedule) drawn(rng dice) Fault {
	length := time.Duration(s.Length)
	ms := func(from, to int) duration.Duration {
		return duration.Duration(time.Duration(from+rng.IntN(to-from+1)) * time.Millisecond)
	}
	zone := func() string { return "zone:" + s.Zones[rng.IntN(len(s.Zones))] }
	sidecar := func() string { return fmt.Sprintf("sidecar:%d", 1+rng.IntN(s.Sidecars)) }
	f := Fault{At: duration.Duration(rng.Int64N(int64(length) * 2 / 3)), For: ms(200, int(length.Milliseconds()/3))}
	switch rng.IntN(12) {
	case 0, 1:
		f.Kind, f.From, f.To = Cut, "sidecars", zone()
	case 2:
		f.Kind, f.From, f.To, f.OneWay = Cut, sidecar(), zone(), rng.IntN(2) == 0
	case 3:
		f.Kind, f.From, f.To, f.By, f.Spread = Delay, "sidecars", zone(), ms(5, 200), ms(0, 50)
	case 4:
		f.Kind, f.From, f.To = Reset, "sidecars", zone()
	case 5:
		f.Kind, f.From, f.To, f.Share = Loss, "sidecars", "sidecars", 0.2+0.6*rng.Float64()
	case 6:
		f.Kind, f.On = Stop, sidecar()
	case 7:
		f.Kind, f.On = Kill, sidecar()
	case 8:
		f.Kind, f.On, f.Share = Starve, sidecar(), 0.1+0.4*rng.Float64()
	case 9:
		f.Kind, f.On = Fail, zone()
	case 10:
		f.Kind, f.On, f.Factor = Slow, zone(), 2+8*rng.Float64()
	case 11:
		f.Kind, f.On = Kill, zone()
	}
	return f
}

// Scale changes the size of a schedule's fleet, where the figures are above 0. Ranges of
// sidecars in its faults grow with it.
func (s *Schedule) Scale(sidecars, servers int, rate float64) {
	if rate > 0 {
		s.Rate = rate
	}
	if servers > 0 {
		s.Servers = servers
	}
	if sidecars <= 0 || sidecars == s.Sidecars {
		return
	}
	was := s.Sidecars
	part := func(n int) int { return (n*sidecars + was - 1) / was }
	scaled := func(text string) string {
		words := strings.Split(text, ",")
		for n, w := range words {
			var from, to int
			if k, _ := fmt.Sscanf(w, "sidecar:%d-%d", &from, &to); k == 2 {
				words[n] = fmt.Sprintf("sidecar:%d-%d", part(from-1)+1, part(to))
			}
		}
		return strings.Join(words, ",")
	}
	s.Faults = slices.Clone(s.Faults)
	for n := range s.Faults {
		f := &s.Faults[n]
		f.On, f.From, f.To = scaled(f.On), scaled(f.From), scaled(f.To)
	}
	s.Sidecars, s.Quiet = sidecars, s.Quiet*sidecars/was
}
