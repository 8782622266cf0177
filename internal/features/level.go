package features

import (
	"chalkrack/internal/duration"
)

// Level is the section [level]: the levels of reduced service. Package level has the
// defaults, which depend on the platform's classes.
type Level struct {
	Enabled    bool              `toml:"enabled"`
	EnterAfter duration.Duration `toml:"enter_after"`
	LeaveAfter duration.Duration `toml:"leave_after"`
	Proof      duration.Duration `toml:"proof"`
	Doublings  int               `toml:"doublings"`
	Slope      float64           `toml:"slope"`
	Evidence   float64           `toml:"evidence"`
	Saving     LevelAt           `toml:"saving"`
	Trimmed    LevelAt           `toml:"trimmed"`
	Essential  LevelAt           `toml:"essential"`
	Emergency  LevelAt           `toml:"emergency"`
}

// LevelAt overrides what one level does and when it applies. The thresholds for entering
// and leaving it are by sensor (late, full, held, lost, memory, sockets, lag); 0 disables a
// sensor.
type LevelAt struct {
	Cut        map[string]float64 `toml:"cut"` // by class
	RetryWorth *float64           `toml:"retry_worth"`
	NoCopies   *bool              `toml:"no_copies"`
	NoProbes   *bool              `toml:"no_probes"`
	Enter      map[string]float64 `toml:"enter"`
	Leave      map[string]float64 `toml:"leave"`
}

// levelSensors are the names of the sensors.
var levelSensors = map[string]bool{"late": true, "full": true, "held": true, "lost": true, "memory": true, "sockets": true, "lag": true}

func (l *Level) levels() map[string]*LevelAt {
	return map[string]*LevelAt{"saving": &l.Saving, "trimmed": &l.Trimmed, "essential": &l.Essential, "emergency": &l.Emergency}
}

func (l *Level) check(c *checker) {
	c.require(l.EnterAfter >= 0 && l.LeaveAfter >= 0 && l.Proof >= 0, "level.enter_after", ", leave_after and proof must be 0 or more")
	c.require(l.Slope == 0 || l.Slope > 1 && l.Slope <= 4, "level.slope", "must be above 1, 4 at most")
	c.require(l.Doublings >= 0 && l.Doublings <= 10, "level.doublings", "must be within 0 and 10")
	c.require(l.Evidence >= 0, "level.evidence", "must be 0 or more")
	for name, at := range l.levels() {
		for field, all := range map[string]map[string]float64{"enter.": at.Enter, "leave.": at.Leave} {
			for s, x := range all {
				c.require(levelSensors[s], "level."+name+"."+field+s, "there is no such sensor")
				c.require(x >= 0, "level."+name+"."+field+s, "must be 0 or more")
			}
		}
		for class, x := range at.Cut {
			c.require(x >= 0 && x <= 1, "level."+name+".cut."+class, "must be within 0 and 1")
		}
	}
}
