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
	// Bake is the duration of a trial.
	Bake duration.Duration `toml:"bake"`
	// Share is the fraction of calls that use the change during its trial.
	Share float64 `toml:"share"`
	// FalseUndo is the accepted probability that a good change is undone.
	FalseUndo float64 `toml:"false_undo"`
	// Notice is the smallest fraction of one class's calls whose failure has to be detected.
	Notice float64 `toml:"notice"`
	// Thin decides about a change that too few calls have tried: keep or undo.
	Thin string `toml:"thin"`
}

func defaultConfig() Config {
	return Config{Bake: duration.Duration(time.Minute), Share: 0.5, FalseUndo: 0.001, Notice: 0.2, Thin: "keep"}
}

const (
	minBake = duration.Duration(100 * time.Millisecond)
	maxBake = duration.Duration(24 * time.Hour)
)

func (f *Config) check(c *checker) {
	c.require(f.Bake >= minBake && f.Bake <= maxBake, "config.bake", "must be within 100ms and 24h")
	c.require(f.Share >= 0.05 && f.Share <= 0.95, "config.share", "must be within 0.05 and 0.95")
	c.require(f.FalseUndo >= 1e-9 && f.FalseUndo <= 0.2, "config.false_undo", "must be within 1e-9 and 0.2")
	c.require(f.Notice > 0 && f.Notice <= 1, "config.notice", "must be above 0, 1 at most")
	c.require(f.Thin == "keep" || f.Thin == "undo", "config.thin", "must be keep or undo, not %q", f.Thin)
	if f.Folder != "" && f.Enabled {
		info, err := os.Stat(f.Folder)
		c.require(err == nil && info.IsDir(), "config.folder", "must be a folder that is there")
	}
}
