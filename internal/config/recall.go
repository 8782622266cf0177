package config

import (
	"fmt"
	"log/slog"

	"chalkrack/internal/change"
	"chalkrack/internal/history"
)

// Documents returns the content of the files that were read.
func (c *Config) Documents() history.Documents {
	return history.Documents{Platform: c.PlatformData, Features: c.FeaturesData}
}

// RestoreHistory opens the history of configuration changes and returns the configuration to run:
// the one that was last kept or is on trial, unless the files have changed. A start accepts
// every configuration that is valid by itself. A new one is on trial, so that it is undone
// if the process keeps crashing. If changes are disabled, it returns c. Call it once
// per start.
func RestoreHistory(c *Config) (*Config, error) {
	f := &c.Features.Config
	if !f.Enabled {
		return c, nil
	}
	sum, err := change.Hash(c.Document())
	if err != nil {
		return nil, err
	}
	if f.Folder == "" {
		c.History = history.InMemory()
		slog.Info("configuration changes are stored in memory only: [config] names no folder")
		return c.recordFirst(sum)
	}
	if c.History, err = history.Open(f.Folder); err != nil {
		return nil, err
	}
	c.IsPersistent = true
	id, remembered, err := c.History.Start()
	if err != nil {
		return nil, err
	}
	if id == 0 {
		return c.recordFirst(sum)
	}
	running, err := c.ParseStored(remembered)
	if err != nil {
		return nil, fmt.Errorf("stored configuration %d: %w", id, err)
	}
	switch c.History.State().Read(sum) {
	case history.FilesKnown:
	case history.FilesRejected:
		slog.Warn("the files contain a configuration that was undone: running the last good one", "id", id)
	case history.FilesRevert:
		if err := c.History.Drop("the files held the one before at a start"); err != nil {
			return nil, err
		}
		running = c
	case history.FilesWaiting, history.FilesNew: // the files were changed while the sidecar was not running
		if c.History.State().Baking != 0 {
			if err := c.History.Drop("the files held another one at a start"); err != nil {
				return nil, err
			}
		}
		if _, err = c.History.Apply(c.Documents(), sum, "found in the files at a start"); err != nil {
			return nil, err
		}
		running = c
	}
	running.OnTrial = c.History.State().Baking != 0
	slog.Info("configuration", "id", running.ID(), "on trial", running.OnTrial)
	return running, c.History.SetSeen(sum)
}

// ID returns the number of the configuration on trial or else of the one kept last; 0 if
// there is no store.
func (c *Config) ID() history.ID {
	if c.History == nil {
		return 0
	}
	st := c.History.State()
	if st.Baking != 0 {
		return st.Baking
	}
	return st.Good
}

// recordFirst stores c in an empty store, as the configuration that is kept.
func (c *Config) recordFirst(sum string) (*Config, error) {
	if _, err := c.History.Apply(c.Documents(), sum, "at the first start"); err != nil {
		return nil, err
	}
	return c, c.History.SetSeen(sum)
}

// ParseStored parses stored documents. Values that belong to this start rather than to the
// settings are taken from c: the address of discovery, its last server list and the seed.
func (c *Config) ParseStored(d history.Documents) (*Config, error) {
	r, err := Parse(d.Platform, d.Features, "the stored features", c.Getenv)
	if err != nil {
		return nil, err
	}
	r.History, r.IsPersistent, r.BodyFS, r.OnManagementListen = c.History, c.IsPersistent, c.BodyFS, c.OnManagementListen
	r.Discovery, r.KnownServers, r.Seed = c.Discovery, c.KnownServers, c.Seed
	return r, nil
}
