package duty

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Limits on the number of peers and servers that one sidecar tracks.
const (
	MaxPeers   = 4096 // including the sidecar itself
	MaxServers = 4096
)

// Peer is another sidecar, which may or may not be running.
type Peer struct {
	Name, Zone string
	Alias      string // the name under which all sidecars know it; empty: Name
}

func (p *Peer) id() ID { return IDOf(cmp.Or(p.Alias, p.Name)) }

func (c *Config) id() ID { return IDOf(cmp.Or(c.Alias, c.Self)) }

// Server is a server of this sidecar's list.
type Server struct {
	Name, Zone string
}

// Config holds the settings of a Detector.
type Config struct {
	Self        string
	Alias       string // the name under which all sidecars know this one; empty: Self
	Peers       []Peer // without Self
	Zone        string // of Self
	Incarnation uint64 // incarnation of this start; must exceed those of earlier starts, for instance the time
	Seed        uint64

	Watchers      int           // sidecars that regularly probe each server
	ProbeInterval time.Duration // interval at which a watcher probes a server
	// TakeoverStep is the additional delay per rank in a server's order before a sidecar takes over
	// probing, beyond two probe intervals without a finding.
	TakeoverStep time.Duration

	PingInterval       time.Duration // interval between pings; each goes to one peer
	AckTimeout         time.Duration // timeout of a direct ping, after which others are asked to ping
	IndirectPings      int           // number of peers asked to ping
	SuspectTimeout     time.Duration // how long a peer is suspected before it is declared dead
	Fanout             int           // peers that get findings in each ping interval
	MaxProbeRate       float64       // maximum probes per second by this sidecar
	MaxServerProbeRate float64       // maximum probes per second of one server by all sidecars together
	MaxNoteRate        float64       // maximum notes per second from this sidecar
	DeadPingInterval   time.Duration // minimum interval between pings of a dead peer
	Authenticated      bool          // notes carry an authentication tag
}

// Default returns the default settings. The caller sets those of the individual sidecar: its
// name, zone, peers, incarnation and seed.
func Default() Config {
	return Config{Watchers: 2, ProbeInterval: 2 * time.Second, TakeoverStep: 500 * time.Millisecond, PingInterval: time.Second, AckTimeout: 200 * time.Millisecond, IndirectPings: 3,
		SuspectTimeout: 4 * time.Second, Fanout: 3, MaxProbeRate: 20, MaxServerProbeRate: 4, MaxNoteRate: 20, DeadPingInterval: 10 * time.Second}
}

// Validate returns the joined errors of all invalid fields, each with the name of its setting.
func (c *Config) Validate() error {
	var errs []error
	require := func(valid bool, field, want string, args ...any) {
		if !valid {
			errs = append(errs, fmt.Errorf("duty: %s: %s", field, fmt.Sprintf(want, args...)))
		}
	}
	require(c.Self != "", "self", "must be set")
	require(len(c.Peers) < MaxPeers, "peers", "must be below %d", MaxPeers)
	seen := map[ID]string{c.id(): c.Self}
	for _, p := range c.Peers {
		id := p.id()
		require(p.Name != "" && seen[id] == "", "peers", "%q is listed twice, or has the same hash as %q", p.Name, seen[id])
		seen[id] = cmp.Or(p.Name, "?")
	}
	require(c.Watchers >= 1 && c.Watchers <= 16, "watchers", "must be within 1 and 16")
	require(c.ProbeInterval >= 50*time.Millisecond && c.ProbeInterval <= time.Hour, "every", "must be within 50ms and 1h")
	require(c.TakeoverStep > 0, "step", "must be above 0")
	require(c.PingInterval >= 50*time.Millisecond, "period", "must be at least 50ms")
	require(c.AckTimeout > 0 && 2*c.AckTimeout < c.PingInterval, "ack_wait", "must be above 0 and below half of period")
	require(c.IndirectPings >= 0 && c.IndirectPings <= 16, "helpers", "must be within 0 and 16")
	require(c.SuspectTimeout >= c.PingInterval, "suspect", "must be at least period")
	require(c.Fanout >= 1 && c.Fanout <= 16, "spread", "must be within 1 and 16")
	require(c.MaxProbeRate > 0, "probes", "must be above 0")
	require(c.MaxServerProbeRate > 0 && c.MaxServerProbeRate >= 2*float64(c.Watchers)/c.ProbeInterval.Seconds(), "per_node", "must be at least twice the rate of %d watchers that each probe every %v", c.Watchers, c.ProbeInterval)
	require(c.MaxNoteRate >= float64(c.Fanout+c.IndirectPings+2)/c.PingInterval.Seconds(), "notes", "must allow spread + helpers + 2 notes in a period")
	require(c.DeadPingInterval > 0, "remember", "must be above 0")
	return errors.Join(errs...)
}

// MaxWatchedGap returns the maximum time between probes of a server while any of its watchers is
// alive.
func (c *Config) MaxWatchedGap() time.Duration { return c.ProbeInterval + maxTickDelay }

// minTakeoverInterval returns the minimum time between two takeovers of a server by the same
// sidecar, for a total number of sidecars. If all of them were isolated, a server would get
// half of its maximum probe rate on average.
func (c *Config) minTakeoverInterval(sidecars int) time.Duration {
	return time.Duration(2 * float64(sidecars) / c.MaxServerProbeRate * float64(time.Second))
}

// MaxTakeoverGap returns the maximum time between probes of a server whose watchers are all dead
// or unreachable, while alive of all sidecars live and the dead ones are not yet known. Each
// living sidecar may take over once per minTakeoverInterval, and waits one step for each rank
// before its own; dead sidecars still count in the ranks. In the steady state the gap is
// g = 2 probe interval + step (minTakeoverInterval/g + 1) all/alive.
func (c *Config) MaxTakeoverGap(all, alive int) time.Duration {
	interval := 1.25 * c.minTakeoverInterval(all).Seconds()
	probeInterval, stepSeconds := c.ProbeInterval.Seconds(), c.TakeoverStep.Seconds()*float64(all)/float64(max(1, alive))
	gap := probeInterval + stepSeconds/2 + math.Sqrt((probeInterval+stepSeconds/2)*(probeInterval+stepSeconds/2)+stepSeconds*interval)
	return time.Duration(max(gap, interval/float64(max(1, alive)))*float64(time.Second)) + 2*c.TakeoverStep + maxTickDelay
}

// maxTickDelay is the maximum delay of a Tick after the time that NextTick returned.
const maxTickDelay = 200 * time.Millisecond
