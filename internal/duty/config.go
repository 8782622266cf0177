package duty

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Bounds on what one sidecar knows.
const (
	PeersMost = 4096
	NodesMost = 4096
)

// Peer is a sidecar that may be there.
type Peer struct {
	Name, Zone string
	As         string // the name that all sidecars know it by; empty: Name
}

func (p *Peer) id() ID { return IDOf(cmp.Or(p.As, p.Name)) }

func (c *Config) id() ID { return IDOf(cmp.Or(c.As, c.Self)) }

// Node is a server that this sidecar's own list names.
type Node struct {
	Name, Zone string
}

// Config is what a Duty goes by.
type Config struct {
	Self  string
	As    string // the name that all sidecars know this one by; empty: Self
	Peers []Peer // without Self
	Zone  string // of Self
	Inc   uint64 // of this start: above those of earlier ones, as the time is
	Seed  uint64

	Watchers int           // of each node
	Every    time.Duration // from one probe of a node by a watcher to its next
	// Step is what each place further down in a node's order waits longer before it takes
	// over, beyond two Every without a finding.
	Step time.Duration

	Period   time.Duration // from one sign asked of a peer to the next
	AckWait  time.Duration // for a direct sign, before others are asked
	Helpers  int           // who are asked
	Suspect  time.Duration // from suspicion to death
	Spread   int           // peers that are told findings in a Period
	Probes   float64       // a second, of this sidecar, at the most
	PerNode  float64       // a second, of all sidecars together at one node, at the most
	Notes    float64       // a second, of this sidecar, at the most
	Remember time.Duration // how long a dead peer is asked for a sign again, at the least
	Keyed    bool          // notes carry a tag
}

// Default is what holds where nothing is said.
func Default() Config {
	return Config{Watchers: 2, Every: 2 * time.Second, Step: 500 * time.Millisecond, Period: time.Second, AckWait: 200 * time.Millisecond, Helpers: 3,
		Suspect: 4 * time.Second, Spread: 3, Probes: 20, PerNode: 4, Notes: 20, Remember: 10 * time.Second}
}

// Validate says all that can't be used, each by its field.
func (c *Config) Validate() error {
	var bad []error
	need := func(ok bool, field, want string, args ...any) {
		if !ok {
			bad = append(bad, fmt.Errorf("duty: %s: %s", field, fmt.Sprintf(want, args...)))
		}
	}
	need(c.Self != "", "self", "must be set")
	need(len(c.Peers) < PeersMost, "peers", "must be below %d", PeersMost)
	seen := map[ID]string{c.id(): c.Self}
	for _, p := range c.Peers {
		id := p.id()
		need(p.Name != "" && seen[id] == "", "peers", "%q is there twice, or has the hash of %q", p.Name, seen[id])
		seen[id] = cmp.Or(p.Name, "?")
	}
	need(c.Watchers >= 1 && c.Watchers <= 16, "watchers", "must be within 1 and 16")
	need(c.Every >= 50*time.Millisecond && c.Every <= time.Hour, "every", "must be within 50ms and 1h")
	need(c.Step > 0, "step", "must be above 0")
	need(c.Period >= 50*time.Millisecond, "period", "must be 50ms at least")
	need(c.AckWait > 0 && 2*c.AckWait < c.Period, "ack_wait", "must be above 0, and twice of it below period")
	need(c.Helpers >= 0 && c.Helpers <= 16, "helpers", "must be within 0 and 16")
	need(c.Suspect >= c.Period, "suspect", "must be period at the least")
	need(c.Spread >= 1 && c.Spread <= 16, "spread", "must be within 1 and 16")
	need(c.Probes > 0, "probes", "must be above 0")
	need(c.PerNode > 0 && c.PerNode >= 2*float64(c.Watchers)/c.Every.Seconds(), "per_node", "must be twice what %d watchers probe each %v, or more", c.Watchers, c.Every)
	need(c.Notes >= float64(c.Spread+c.Helpers+2)/c.Period.Seconds(), "notes", "must be enough for spread, helpers and signs in a period")
	need(c.Remember > 0, "remember", "must be above 0")
	return errors.Join(bad...)
}

// WatchedGap bounds the time that a node goes unprobed of which a fixed watcher lives.
func (c *Config) WatchedGap() time.Duration { return c.Every + tickMost }

// share is the least time between two takeovers of one node by one of so many sidecars.
// Were all of them alone, a node would get half of PerNode from them, in the mean.
func (c *Config) share(all int) time.Duration {
	return time.Duration(2 * float64(all) / c.PerNode * float64(time.Second))
}

// TakeoverGap bounds the time that a node goes unprobed all of whose fixed watchers are
// dead, or can't be heard, while so many of all sidecars live and nobody knows yet who. Each
// that lives may take over once in its share, and waits a Step for each place before it, of
// which the dead hold theirs: at rest the gap g is 2 Every + Step (share/g + 1) all/alive.
func (c *Config) TakeoverGap(all, alive int) time.Duration {
	share := 1.25 * c.share(all).Seconds()
	e, step := c.Every.Seconds(), c.Step.Seconds()*float64(all)/float64(max(1, alive))
	g := e + step/2 + math.Sqrt((e+step/2)*(e+step/2)+step*share)
	return time.Duration(max(g, share/float64(max(1, alive)))*float64(time.Second)) + 2*c.Step + tickMost
}

// tickMost is how late a Tick may come beyond what Next asked for.
const tickMost = 200 * time.Millisecond
