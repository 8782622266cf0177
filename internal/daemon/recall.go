package daemon

import (
	"fmt"
	"log/slog"

	"chalkrack/internal/change"
	"chalkrack/internal/history"
)

func (c *Config) documents() history.Documents {
	return history.Documents{Platform: c.platform, Features: c.own}
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
		c.store = history.InMemory()
		slog.Info("changes of the configuration are remembered in memory only: no [config] folder")
		return c.first(sum)
	}
	if c.store, err = history.Open(f.Folder); err != nil {
		return nil, err
	}
	c.lasting = true
	id, remembered, err := c.store.Start()
	if err != nil {
		return nil, err
	}
	if id == 0 {
		return c.first(sum)
	}
	running, err := c.revive(remembered)
	if err != nil {
		return nil, fmt.Errorf("configuration %d, as remembered: %w", id, err)
	}
	switch c.store.State().Read(sum) {
	case history.Known:
	case history.Rejected:
		slog.Warn("the files hold what was undone: the last good configuration runs", "id", id)
	case history.Back:
		if err := c.store.Drop("the files held the one before at a start"); err != nil {
			return nil, err
		}
		running = c
	case history.Waits, history.New: // they were changed while nobody was there to read them
		if c.store.State().Baking != 0 {
			if err := c.store.Drop("the files held another one at a start"); err != nil {
				return nil, err
			}
		}
		if _, err = c.store.Apply(c.documents(), sum, "found in the files at a start"); err != nil {
			return nil, err
		}
		running = c
	}
	running.trial = c.store.State().Baking != 0
	slog.Info("configuration", "id", running.id(), "on trial", running.trial)
	return running, c.store.See(sum)
}

// id is the number of the configuration that a start runs.
func (c *Config) id() history.ID {
	if c.store == nil {
		return 0
	}
	st := c.store.State()
	if st.Baking != 0 {
		return st.Baking
	}
	return st.Good
}

// first makes c what is kept in a store that remembers nothing.
func (c *Config) first(sum string) (*Config, error) {
	if _, err := c.store.Apply(c.documents(), sum, "at the first start"); err != nil {
		return nil, err
	}
	return c, c.store.See(sum)
}

// revive reads documents that were remembered. What is no setting but a fact of this
// start is c's: where discovery is, what it said last, and the seed.
func (c *Config) revive(d history.Documents) (*Config, error) {
	r, err := parse(d.Platform, d.Features, "the remembered features", c.getenv)
	if err != nil {
		return nil, err
	}
	r.store, r.lasting, r.Disk, r.Managed = c.store, c.lasting, c.Disk, c.Managed
	r.discovery, r.known, r.seed = c.discovery, c.known, c.seed
	return r, nil
}
