package daemon

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/level"
	"chalkrack/internal/rooms/levels"
	"chalkrack/internal/upstream"
)

// levelConfig is package level's for the platform's classes, with what the operators' file
// says.
func levelConfig(c *Config) (level.Config, error) {
	f := &c.Features.Level
	var classes []level.Class
	for n, name := range c.Settings.Names() {
		classes = append(classes, level.Class{Name: name, Worth: c.Settings.Config.Classes[n].Worth})
	}
	cfg := level.Default(classes)
	for _, d := range []struct {
		to   *time.Duration
		from time.Duration
	}{{&cfg.EnterAfter, time.Duration(f.EnterAfter)}, {&cfg.LeaveAfter, time.Duration(f.LeaveAfter)}, {&cfg.Proof, time.Duration(f.Proof)}, {&cfg.MostWait, c.Settings.Config.MaxRetryAfter}} {
		if d.from > 0 {
			*d.to = d.from
		}
	}
	if f.Doublings > 0 {
		cfg.Doublings = f.Doublings
	}
	if f.Slope > 0 {
		cfg.Slope = f.Slope
	}
	if f.Evidence > 0 {
		cfg.Evidence = f.Evidence
	}
	for name, at := range map[string]*struct {
		cut, enter, leave map[string]float64
		worth             *float64
		copies, probes    *bool
	}{
		"saving":    {f.Saving.Cut, f.Saving.Enter, f.Saving.Leave, f.Saving.RetryWorth, f.Saving.NoCopies, f.Saving.NoProbes},
		"trimmed":   {f.Trimmed.Cut, f.Trimmed.Enter, f.Trimmed.Leave, f.Trimmed.RetryWorth, f.Trimmed.NoCopies, f.Trimmed.NoProbes},
		"essential": {f.Essential.Cut, f.Essential.Enter, f.Essential.Leave, f.Essential.RetryWorth, f.Essential.NoCopies, f.Essential.NoProbes},
		"emergency": {f.Emergency.Cut, f.Emergency.Enter, f.Emergency.Leave, f.Emergency.RetryWorth, f.Emergency.NoCopies, f.Emergency.NoProbes},
	} {
		l, _ := level.Parse(name)
		act := &cfg.Acts[l]
		for _, class := range slices.Sorted(maps.Keys(at.cut)) {
			n := slices.IndexFunc(classes, func(k level.Class) bool { return k.Name == class })
			if n < 0 {
				return cfg, fmt.Errorf("features: level.%s.cut.%s: there is no such class", name, class)
			}
			act.Cut[n] = at.cut[class]
		}
		if at.worth != nil {
			act.RetryWorth = *at.worth
		}
		if at.copies != nil {
			act.NoCopies = *at.copies
		}
		if at.probes != nil {
			act.NoProbes = *at.probes
		}
		for _, s := range level.Sensors() {
			if x, ok := at.enter[s.String()]; ok {
				cfg.At[l].Enter[s], cfg.At[l].Leave[s] = x, 0.6*x
			}
			if x, ok := at.leave[s.String()]; ok {
				cfg.At[l].Leave[s] = x
			}
		}
	}
	if err := cfg.Validate(); err != nil {
		return cfg, fmt.Errorf("features: %w", err)
	}
	return cfg, nil
}

// newReduced returns nil where [level] is off.
func newReduced(c *Config, host *core.Host, srv *front.Server, pool *upstream.Pool, conns int) (*levels.Levels, error) {
	if !c.Features.Level.Enabled {
		return nil, nil
	}
	cfg, err := levelConfig(c)
	if err != nil {
		return nil, err
	}
	return levels.New(levels.Config{Level: cfg, Memory: int64(c.MemoryMB) << 20, Conns: conns, Sockets: c.Sockets - socketsSpare,
		Open: func() int { return srv.Conns() + pool.Conns() }}, host)
}
