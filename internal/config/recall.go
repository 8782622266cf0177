package config

import (
	"fmt"
	"log/slog"

	"chalkrack/internal/change"
	"chalkrack/internal/history"
)

// Documents returns the content of the files that were read.
func (c *Config) Documents() history.Documents {
	return history.Documents{Platform: c.Platform, Features: c.Own}
}

// Recall opens the history of configuration changes and returns the configuration to run:
// the one that was last kept or is on trial, unless the files have changed. A start accepts
// every configuration that is valid by itself. A new one is on trial, so that it is undone
// if the process keeps crashing. If changes are disabled, it returns c. Call it once
// per start.
func Recall(c *Config) (*Config, error) {
	f := &c.Features.Config
	if !f.Enabled {
		return c, nil
	}
	sum, err := change.Hash(c.Document())
	if err != nil {
		return nil, err
	}
	if f.Folder == "" {
		c.Store = history.InMemory()
		slog.Info("configuration changes are stored in memory only: [config] names no folder")
		return c.recordFirst(sum)
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
		return c.recordFirst(sum)
	}
	running, err := c.Revive(remembered)
	if err != nil {
		return nil, fmt.Errorf("stored configuration %d: %w", id, err)
	}
	switch c.Store.State().Read(sum) {
	case history.FilesKnown:
	case history.FilesRejected:
		slog.Warn("the files contain a configuration that was undone: running the last good one", "id", id)
	case history.FilesRevert:
		if err := c.Store.Drop("the files held the one before at a start"); err != nil {
			return nil, err
		}
		running = c
	case history.FilesWaiting, history.FilesNew: // the files were changed while the sidecar was not running
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
	return running, c.Store.SetSeen(sum)
}

// ID returns the number of the configuration on trial or else of the one kept last; 0 if
// there is no store.
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

// recordFirst stores c in an empty store, as the configuration that is kept.
func (c *Config) recordFirst(sum string) (*Config, error) {
	if _, err := c.Store.Apply(c.Documents(), sum, "at the first start"); err != nil {
		return nil, err
	}
	return c, c.Store.SetSeen(sum)
}

// Revive parses stored documents. Values that belong to this start rather than to the
// settings are taken from c: the address of discovery, its last server list and the seed.
func (c *Config) Revive(d history.Documents) (*Config, error) {
	r, err := Parse(d.Platform, d.Features, "the stored features", c.Getenv)
	if err != nil {
		return nil, err
	}
	r.Store, r.Lasting, r.Disk, r.Managed = c.Store, c.Lasting, c.Disk, c.Managed
	r.Discovery, r.Known, r.Seed = c.Discovery, c.Known, c.Seed
	return r, nil
}
