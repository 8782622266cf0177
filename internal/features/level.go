package features

import (
	"chalkrack/internal/duration"
)

// Level is the section [level]: the levels of reduced service. Package level has the
// defaults, which depend on the platform's classes.
type Level struct {
	Enabled      bool              `toml:"enabled"`
	EnterAfter   duration.Duration `toml:"enter_after"`
	LeaveAfter   duration.Duration `toml:"leave_after"`
	ProofTime    duration.Duration `toml:"proof"`
	MaxDoublings int               `toml:"doublings"`
	RampGrowth   float64           `toml:"slope"`
	MinOutcomes  float64           `toml:"evidence"`
	Saving       LevelOverride     `toml:"saving"`
	Trimmed      LevelOverride     `toml:"trimmed"`
	Essential    LevelOverride     `toml:"essential"`
	Emergency    LevelOverride     `toml:"emergency"`
}

// LevelOverride overrides what one level does and when it applies. The thresholds for entering
// and leaving it are by sensor (late, full, held, lost, memory, sockets, lag); 0 disables a
// sensor.
type LevelOverride struct {
	ShedShare     map[string]float64 `toml:"cut"` // by class
	MinRetryWorth *float64           `toml:"retry_worth"`
	NoCopies      *bool              `toml:"no_copies"`
	NoProbes      *bool              `toml:"no_probes"`
	Enter         map[string]float64 `toml:"enter"`
	Leave         map[string]float64 `toml:"leave"`
}

// levelSensors are the names of the sensors.
var levelSensors = map[string]bool{"late": true, "full": true, "held": true, "lost": true, "memory": true, "sockets": true, "lag": true}

func (l *Level) levels() map[string]*LevelOverride {
	return map[string]*LevelOverride{"saving": &l.Saving, "trimmed": &l.Trimmed, "essential": &l.Essential, "emergency": &l.Emergency}
}

func (l *Level) check(c *checker) {
	c.require(l.EnterAfter >= 0 && l.LeaveAfter >= 0 && l.ProofTime >= 0, "level.enter_after", ", leave_after and proof must be 0 or more")
	c.require(l.RampGrowth == 0 || l.RampGrowth > 1 && l.RampGrowth <= 4, "level.slope", "must be above 1, 4 at most")
	c.require(l.MaxDoublings >= 0 && l.MaxDoublings <= 10, "level.doublings", "must be within 0 and 10")
	c.require(l.MinOutcomes >= 0, "level.evidence", "must be 0 or more")
	for name, at := range l.levels() {
		for field, all := range map[string]map[string]float64{"enter.": at.Enter, "leave.": at.Leave} {
			for s, x := range all {
				c.require(levelSensors[s], "level."+name+"."+field+s, "there is no such sensor")
				c.require(x >= 0, "level."+name+"."+field+s, "must be 0 or more")
			}
		}
		for class, x := range at.ShedShare {
			c.require(x >= 0 && x <= 1, "level."+name+".cut."+class, "must be within 0 and 1")
		}
	}
}
