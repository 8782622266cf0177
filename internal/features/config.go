package features

import (
	"os"
	"time"

	"chalkrack/internal/duration"
)

// Config is the section [config]: changes of the configuration at run time. A change is
// checked, runs on trial beside the current configuration, and is then kept or undone.
// Unless Enabled is set, a SIGHUP reloads only the address of discovery.
type Config struct {
	Enabled bool `toml:"enabled"`
	// Folder stores the configurations across restarts; if empty, they are lost.
	Folder string `toml:"folder"`
	// TrialDuration is the duration of a trial.
	TrialDuration duration.Duration `toml:"bake"`
	// TrialShare is the fraction of calls that use the change during its trial.
	TrialShare float64 `toml:"share"`
	// FalseUndoProbability is the accepted probability that a good change is undone.
	FalseUndoProbability float64 `toml:"false_undo"`
	// DetectableShare is the smallest fraction of one class's calls whose failure has to be detected.
	DetectableShare float64 `toml:"notice"`
	// OnFewCalls decides about a change that too few calls have tried: keep or undo.
	OnFewCalls string `toml:"thin"`
}

func defaultConfig() Config {
	return Config{TrialDuration: duration.Duration(time.Minute), TrialShare: 0.5, FalseUndoProbability: 0.001, DetectableShare: 0.2, OnFewCalls: "keep"}
}

const (
	minBake = duration.Duration(100 * time.Millisecond)
	maxBake = duration.Duration(24 * time.Hour)
)

func (f *Config) check(c *checker) {
	c.require(f.TrialDuration >= minBake && f.TrialDuration <= maxBake, "config.bake", "must be within 100ms and 24h")
	c.require(f.TrialShare >= 0.05 && f.TrialShare <= 0.95, "config.share", "must be within 0.05 and 0.95")
	c.require(f.FalseUndoProbability >= 1e-9 && f.FalseUndoProbability <= 0.2, "config.false_undo", "must be within 1e-9 and 0.2")
	c.require(f.DetectableShare > 0 && f.DetectableShare <= 1, "config.notice", "must be above 0, 1 at most")
	c.require(f.OnFewCalls == "keep" || f.OnFewCalls == "undo", "config.thin", "must be keep or undo, not %q", f.OnFewCalls)
	if f.Folder != "" && f.Enabled {
		info, err := os.Stat(f.Folder)
		c.require(err == nil && info.IsDir(), "config.folder", "must be a folder that is there")
	}
}
