package features

import (
	"os"
	"time"

	"chalkrack/internal/duration"
)

// Config is the section [config]: changes of the configuration, which are checked, put on
// trial beside what runs, and kept or undone. Without Enabled a SIGHUP takes discovery's
// address and nothing else.
type Config struct {
	Enabled bool `toml:"enabled"`
	// Folder remembers the configurations over a start; empty: they are forgotten.
	Folder string `toml:"folder"`
	// Bake is how long a change is on trial, Share the part of calls that it takes then.
	Bake  duration.Duration `toml:"bake"`
	Share float64           `toml:"share"`
	// FalseUndo is the chance that a good change is undone, Notice the part of one
	// class's calls that may not go badly unnoticed.
	FalseUndo float64 `toml:"false_undo"`
	Notice    float64 `toml:"notice"`
	// Thin is what becomes of a change that too few calls have tried: keep or undo.
	Thin string `toml:"thin"`
}

func configDefault() Config {
	return Config{Bake: duration.Duration(time.Minute), Share: 0.5, FalseUndo: 0.001, Notice: 0.2, Thin: "keep"}
}

const (
	bakeLeast = duration.Duration(100 * time.Millisecond)
	bakeMost  = duration.Duration(24 * time.Hour)
)

func (f *Config) check(c *checker) {
	c.need(f.Bake >= bakeLeast && f.Bake <= bakeMost, "config.bake", "must be within 100ms and 24h")
	c.need(f.Share >= 0.05 && f.Share <= 0.95, "config.share", "must be within 0.05 and 0.95")
	c.need(f.FalseUndo >= 1e-9 && f.FalseUndo <= 0.2, "config.false_undo", "must be within 1e-9 and 0.2")
	c.need(f.Notice > 0 && f.Notice <= 1, "config.notice", "must be above 0, 1 at most")
	c.need(f.Thin == "keep" || f.Thin == "undo", "config.thin", "must be keep or undo, not %q", f.Thin)
	if f.Folder != "" && f.Enabled {
		info, err := os.Stat(f.Folder)
		c.need(err == nil && info.IsDir(), "config.folder", "must be a folder that is there")
	}
}
