package features

import (
	"time"

	"chalkrack/internal/duration"
)

// Duty is the section [duty]: probing of servers that is shared among the sidecars that
// the platform's configuration names as peers. Package duty documents the fields.
type Duty struct {
	Enabled            bool              `toml:"enabled"`
	ProbingEnabled     bool              `toml:"probing"` // false: only notes are exchanged, no server is probed
	Zones              map[string]string `toml:"zones"`   // zones of the peers by address; either of all peers or of none
	Key                Secret            `toml:"key"`     // authenticates notes; empty: notes carry no tag
	Path               string            `toml:"path"`    // of the probe's request
	SlowAfter          duration.Duration `toml:"slow"`    // a server is reported as slow if its probe takes longer
	ProbeTimeout       duration.Duration `toml:"timeout"`
	Watchers           int               `toml:"watchers"`
	ProbeInterval      duration.Duration `toml:"every"`
	TakeoverStep       duration.Duration `toml:"step"`
	PingInterval       duration.Duration `toml:"period"`
	AckTimeout         duration.Duration `toml:"ack_wait"`
	IndirectPings      int               `toml:"helpers"`
	SuspectTimeout     duration.Duration `toml:"suspect"`
	Fanout             int               `toml:"spread"`
	MaxProbeRate       float64           `toml:"probes"`
	MaxServerProbeRate float64           `toml:"per_node"`
	MaxNoteRate        float64           `toml:"notes"`
	DeadPingInterval   duration.Duration `toml:"remember"`
}

func defaultDuty() Duty {
	return Duty{ProbingEnabled: true, Path: "/ping", SlowAfter: duration.Duration(100 * time.Millisecond), ProbeTimeout: duration.Duration(500 * time.Millisecond),
		Watchers: 2, ProbeInterval: duration.Duration(2 * time.Second), TakeoverStep: duration.Duration(500 * time.Millisecond), PingInterval: duration.Duration(time.Second),
		AckTimeout: duration.Duration(200 * time.Millisecond), IndirectPings: 3, SuspectTimeout: duration.Duration(4 * time.Second), Fanout: 3, MaxProbeRate: 20, MaxServerProbeRate: 4, MaxNoteRate: 20,
		DeadPingInterval: duration.Duration(10 * time.Second)}
}

func (d *Duty) check(c *checker) {
	c.require(d.Path != "" && d.Path[0] == '/', "duty.path", "must begin with '/'")
	c.require(d.SlowAfter > 0 && d.SlowAfter < d.ProbeTimeout, "duty.slow", "must be above 0 and below timeout")
	c.require(d.ProbeTimeout <= duration.Duration(10*time.Second), "duty.timeout", "must be 10s at most")
}
