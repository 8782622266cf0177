package config

import (
	"fmt"
	"log/slog"

	"chalkrack/internal/change"
	"chalkrack/internal/history"
)

// Documents are the files that were read.
func (c *Config) Documents() history.Documents {
	return history.Documents{Platform: c.Platform, Features: c.Own}
}

// Recall takes up what was remembered of changes, and returns the configuration to run:
// what was kept last or is on trial, unless the files say something new. A start takes
// any configuration that is good alone; one that is new is on trial, so that it is undone
// if it keeps crashing. Where changes are off it returns c. Call it once for each start.
func Recall(c *Config) (*Config, error) {
	f := &c.Features.Config
	if !f.Enabled {
		return c, nil
	}
	sum, err := change.Sum(c.Document())
	if err != nil {
		return nil, err
	}
	if f.Folder == "" {
		c.Store = history.InMemory()
		slog.Info("changes of the configuration are remembered in memory only: no [config] folder")
		return c.first(sum)
	}
	if c.Store, err = history.Open(f.Folder); err != nil {
		return nil, err
	}
	c.Lasting = true
	id, remembered, err := c.Store.Start()
	if err != nil {
		return nil, err
	}
	if id == 0 {
		return c.first(sum)
	}
	running, err := c.Revive(remembered)
	if err != nil {
		return nil, fmt.Errorf("configuration %d, as remembered: %w", id, err)
	}
	switch c.Store.State().Read(sum) {
	case history.Known:
	case history.Rejected:
		slog.Warn("the files hold what was undone: the last good configuration runs", "id", id)
	case history.Back:
		if err := c.Store.Drop("the files held the one before at a start"); err != nil {
			return nil, err
		}
		running = c
	case history.Waits, history.New: // they were changed while nobody was there to read them
		if c.Store.State().Baking != 0 {
			if err := c.Store.Drop("the files held another one at a start"); err != nil {
				return nil, err
			}
		}
		if _, err = c.Store.Apply(c.Documents(), sum, "found in the files at a start"); err != nil {
			return nil, err
		}
		running = c
	}
	running.Trial = c.Store.State().Baking != 0
	slog.Info("configuration", "id", running.ID(), "on trial", running.Trial)
	return running, c.Store.See(sum)
}

// ID is the number of the configuration that a start runs.
func (c *Config) ID() history.ID {
	if c.Store == nil {
		return 0
	}
	st := c.Store.State()
	if st.Baking != 0 {
		return st.Baking
	}
	return st.Good
}

// first makes c what is kept in a store that remembers nothing.
func (c *Config) first(sum string) (*Config, error) {
	if _, err := c.Store.Apply(c.Documents(), sum, "at the first start"); err != nil {
		return nil, err
	}
	return c, c.Store.See(sum)
}

// Revive reads documents that were remembered. What is no setting but a fact of this
// start is c's: where discovery is, what it said last, and the seed.
func (c *Config) Revive(d history.Documents) (*Config, error) {
	r, err := Parse(d.Platform, d.Features, "the remembered features", c.Getenv)
	if err != nil {
		return nil, err
	}
	r.Store, r.Lasting, r.Disk, r.Managed = c.Store, c.Lasting, c.Disk, c.Managed
	r.Discovery, r.Known, r.Seed = c.Discovery, c.Known, c.Seed
	return r, nil
}
