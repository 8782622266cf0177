package features

import (
	"time"

	"chalkrack/internal/duration"
)

// Duty is the section [duty]: probing shared among the sidecars that the platform's
// configuration names as peers. Package duty says what the fields mean.
type Duty struct {
	Enabled  bool              `toml:"enabled"`
	Probing  bool              `toml:"probing"` // false: notes only, nobody is probed
	Zones    map[string]string `toml:"zones"`   // of peers, by their addresses; all or none
	Key      Secret            `toml:"key"`     // of the tags that notes carry; empty: none
	Path     string            `toml:"path"`    // that is probed
	Slow     duration.Duration `toml:"slow"`    // a probe that takes longer finds a node slow
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

func dutyDefault() Duty {
	return Duty{Probing: true, Path: "/ping", Slow: duration.Duration(100 * time.Millisecond), Timeout: duration.Duration(500 * time.Millisecond),
		Watchers: 2, Every: duration.Duration(2 * time.Second), Step: duration.Duration(500 * time.Millisecond), Period: duration.Duration(time.Second),
		AckWait: duration.Duration(200 * time.Millisecond), Helpers: 3, Suspect: duration.Duration(4 * time.Second), Spread: 3, Probes: 20, PerNode: 4, Notes: 20,
		Remember: duration.Duration(10 * time.Second)}
}

func (d *Duty) check(c *checker) {
	c.need(d.Path != "" && d.Path[0] == '/', "duty.path", "must begin with '/'")
	c.need(d.Slow > 0 && d.Slow < d.Timeout, "duty.slow", "must be above 0 and below timeout")
	c.need(d.Timeout <= duration.Duration(10*time.Second), "duty.timeout", "must be 10s at most")
}
