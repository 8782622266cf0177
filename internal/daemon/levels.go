package daemon

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"chalkrack/internal/components/levels"
	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/level"
	"chalkrack/internal/upstream"
)

// levelConfig returns the configuration of package level for the platform's classes, with the
// settings of the operators' file. An error names the invalid field.
func levelConfig(c *Config) (level.Config, error) {
	settings := &c.Features.Level
	var classes []level.Class
	for n, name := range c.Settings.ClassNames() {
		classes = append(classes, level.Class{Name: name, Worth: c.Settings.Config.Classes[n].Worth})
	}
	cfg := level.Default(classes)
	for _, delay := range []struct {
		to   *time.Duration
		from time.Duration
	}{{&cfg.EnterAfter, time.Duration(settings.EnterAfter)}, {&cfg.LeaveAfter, time.Duration(settings.LeaveAfter)}, {&cfg.ProofTime, time.Duration(settings.ProofTime)}, {&cfg.MaxWait, c.Settings.Config.MaxRetryAfter}} {
		if delay.from > 0 {
			*delay.to = delay.from
		}
	}
	if settings.MaxDoublings > 0 {
		cfg.MaxDoublings = settings.MaxDoublings
	}
	if settings.RampGrowth > 0 {
		cfg.RampGrowth = settings.RampGrowth
	}
	if settings.MinOutcomes > 0 {
		cfg.MinOutcomes = settings.MinOutcomes
	}
	for name, step := range map[string]*struct {
		cut, enter, leave map[string]float64
		worth             *float64
		copies, probes    *bool
	}{
		"saving":    {settings.Saving.ShedShare, settings.Saving.Enter, settings.Saving.Leave, settings.Saving.MinRetryWorth, settings.Saving.NoCopies, settings.Saving.NoProbes},
		"trimmed":   {settings.Trimmed.ShedShare, settings.Trimmed.Enter, settings.Trimmed.Leave, settings.Trimmed.MinRetryWorth, settings.Trimmed.NoCopies, settings.Trimmed.NoProbes},
		"essential": {settings.Essential.ShedShare, settings.Essential.Enter, settings.Essential.Leave, settings.Essential.MinRetryWorth, settings.Essential.NoCopies, settings.Essential.NoProbes},
		"emergency": {settings.Emergency.ShedShare, settings.Emergency.Enter, settings.Emergency.Leave, settings.Emergency.MinRetryWorth, settings.Emergency.NoCopies, settings.Emergency.NoProbes},
	} {
		lvl, _ := level.Parse(name)
		act := &cfg.Measures[lvl]
		for _, class := range slices.Sorted(maps.Keys(step.cut)) {
			n := slices.IndexFunc(classes, func(candidate level.Class) bool { return candidate.Name == class })
			if n < 0 {
				return cfg, fmt.Errorf("features: level.%s.cut.%s: no such class", name, class)
			}
			act.ShedShare[n] = step.cut[class]
		}
		if step.worth != nil {
			act.MinRetryWorth = *step.worth
		}
		if step.copies != nil {
			act.NoCopies = *step.copies
		}
		if step.probes != nil {
			act.NoProbes = *step.probes
		}
		for _, sensor := range level.Sensors() {
			if threshold, ok := step.enter[sensor.String()]; ok {
				cfg.Thresholds[lvl].Enter[sensor], cfg.Thresholds[lvl].Leave[sensor] = threshold, 0.6*threshold
			}
			if threshold, ok := step.leave[sensor.String()]; ok {
				cfg.Thresholds[lvl].Leave[sensor] = threshold
			}
		}
	}
	if err := cfg.Validate(); err != nil {
		return cfg, fmt.Errorf("features: %w", err)
	}
	return cfg, nil
}

// newLevels returns the degradation levels, or nil if [level] is off.
func newLevels(c *Config, host *core.Host, srv *front.Server, pool *upstream.Pool, maxConns int) (*levels.Controller, error) {
	if !c.Features.Level.Enabled {
		return nil, nil
	}
	cfg, err := levelConfig(c)
	if err != nil {
		return nil, err
	}
	return levels.New(levels.Config{Level: cfg, MemoryLimit: int64(c.MemoryMB) << 20, MaxConns: maxConns, MaxSockets: c.Sockets - reservedSockets,
		OpenSockets: func() int { return srv.Conns() + pool.Conns() }}, host)
}
