package features

import (
	"time"

	"chalkrack/internal/duration"
)

// Duty is the section [duty]: probing of servers that is shared among the sidecars that
// the platform's configuration names as peers. Package duty documents the fields.
type Duty struct {
	Enabled  bool              `toml:"enabled"`
	Probing  bool              `toml:"probing"` // false: only notes are exchanged, no server is probed
	Zones    map[string]string `toml:"zones"`   // zones of the peers by address; either of all peers or of none
	Key      Secret            `toml:"key"`     // authenticates notes; empty: notes carry no tag
	Path     string            `toml:"path"`    // of the probe's request
	Slow     duration.Duration `toml:"slow"`    // a server is reported as slow if its probe takes longer
	Timeout  duration.Duration `toml:"timeout"`
	Watchers int               `toml:"watchers"`
	Every    duration.Duration `toml:"every"`
	Step     duration.Duration `toml:"step"`
	Period   duration.Duration `toml:"period"`
	AckWait  duration.Duration `toml:"ack_wait"`
	Helpers  int               `toml:"helpers"`
	Suspect  duration.Duration `toml:"suspect"`
	Spread   int               `toml:"spread"`
	Probes   float64           `toml:"probes"`
	PerNode  float64           `toml:"per_node"`
	Notes    float64           `toml:"notes"`
	Remember duration.Duration `toml:"remember"`
}

func defaultDuty() Duty {
	return Duty{Probing: true, Path: "/ping", Slow: duration.Duration(100 * time.Millisecond), Timeout: duration.Duration(500 * time.Millisecond),
		Watchers: 2, Every: duration.Duration(2 * time.Second), Step: duration.Duration(500 * time.Millisecond), Period: duration.Duration(time.Second),
		AckWait: duration.Duration(200 * time.Millisecond), Helpers: 3, Suspect: duration.Duration(4 * time.Second), Spread: 3, Probes: 20, PerNode: 4, Notes: 20,
		Remember: duration.Duration(10 * time.Second)}
}

func (d *Duty) check(c *checker) {
	c.require(d.Path != "" && d.Path[0] == '/', "duty.path", "must begin with '/'")
	c.require(d.Slow > 0 && d.Slow < d.Timeout, "duty.slow", "must be above 0 and below timeout")
	c.require(d.Timeout <= duration.Duration(10*time.Second), "duty.timeout", "must be 10s at most")
}
