package daemon

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"runtime/metrics"
	"slices"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/level"
	"chalkrack/internal/upstream"
)

const (
	// levelTick is how often the sensors are read.
	levelTick = 100 * time.Millisecond
	// levelFade leaves of a tick's outcomes a third after five seconds.
	levelFade = 0.98
	// pinMost bounds a level held by hand: nobody may forget it for good.
	pinMost = 24 * time.Hour
)

// reduced reads the sensors for a level.Machine, which the core's lock guards.
type reduced struct {
	c     *Config
	host  *core.Host
	srv   *front.Server
	pool  *upstream.Pool
	conns int // that clients may have, each with one call

	m                 *level.Machine
	ended, late, full float64
	at                time.Time // of the last tick
	tallied           core.Tally
	was               level.Level
	memory            []metrics.Sample
}

// levelConfig is package level's for the platform's classes, with what the operators' file
// says.
func levelConfig(c *Config) (level.Config, error) {
	f := &c.Features.Level
	var classes []level.Class
	for n, name := range c.settings.Names() {
		classes = append(classes, level.Class{Name: name, Worth: c.settings.Config.Classes[n].Worth})
	}
	cfg := level.Default(classes)
	for _, d := range []struct {
		to   *time.Duration
		from time.Duration
	}{{&cfg.EnterAfter, time.Duration(f.EnterAfter)}, {&cfg.LeaveAfter, time.Duration(f.LeaveAfter)}, {&cfg.Proof, time.Duration(f.Proof)}, {&cfg.MostWait, c.settings.Config.MaxRetryAfter}} {
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
func newReduced(c *Config, host *core.Host, srv *front.Server, pool *upstream.Pool, conns int) (*reduced, error) {
	if !c.Features.Level.Enabled {
		return nil, nil
	}
	cfg, err := levelConfig(c)
	if err != nil {
		return nil, err
	}
	m, err := level.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	r := &reduced{c: c, host: host, srv: srv, pool: pool, conns: conns, m: m, at: time.Now(),
		memory: []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}}
	host.SetGate(m)
	return r, nil
}

// tick reads the sensors and lets the machine decide.
func (r *reduced) tick(now time.Time) {
	var s level.Reading
	lag := now.Sub(r.at) - levelTick
	r.at = now
	metrics.Read(r.memory)
	held := r.host.Held()
	r.host.With(func(at time.Duration, seen core.Tally, members, ejected int) {
		r.ended = r.ended*levelFade + float64(seen.Ended-r.tallied.Ended)
		r.late = r.late*levelFade + float64(seen.Late-r.tallied.Late)
		r.full = r.full*levelFade + float64(seen.Full-r.tallied.Full)
		r.tallied = seen
		s.Outcomes = r.ended
		s.Value[level.Late], s.Value[level.Full] = r.late/max(r.ended, 1), r.full/max(r.ended, 1)
		s.Value[level.Held] = float64(held) / float64(max(1, r.conns))
		s.Value[level.Lost] = 1 // a list that is empty
		if members > 0 {
			s.Value[level.Lost] = float64(ejected) / float64(members)
		}
		s.Value[level.Memory] = float64(r.memory[0].Value.Uint64()-r.memory[1].Value.Uint64()) / float64(r.c.memoryMB<<20)
		s.Value[level.Sockets] = float64(r.srv.Conns()+r.pool.Conns()) / float64(max(1, r.c.sockets-socketsSpare))
		s.Value[level.Lag] = math.Max(0, lag.Seconds()/levelTick.Seconds())
		r.m.Tick(at, s)
	})
	if l := r.level(); l != r.was {
		v := r.view()
		slog.Warn("service", "level", l.String(), "was", r.was.String(), "why", v.Changes[len(v.Changes)-1].Why)
		r.was = l
	}
}

func (r *reduced) level() (l level.Level) {
	r.host.With(func(time.Duration, core.Tally, int, int) { l = r.m.Level() })
	return l
}

func (r *reduced) view() (v level.View) {
	r.host.With(func(time.Duration, core.Tally, int, int) { v = r.m.View() })
	return v
}

// PinAsk holds a level by hand; a For of 0 ends it.
type PinAsk struct {
	Level string        `json:"level"`
	For   time.Duration `json:"for_ns"`
}

// pin implements admin.Deed.
func (r *reduced) pin(text []byte) (any, error) {
	var a PinAsk
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, fmt.Errorf("level: %w", err)
	}
	l, ok := level.Parse(a.Level)
	if !ok && a.For > 0 {
		return nil, fmt.Errorf("level: there is no level %q", a.Level)
	}
	if a.For < 0 || a.For > pinMost {
		return nil, fmt.Errorf("level: a pin must have an end within %v", pinMost)
	}
	r.host.With(func(now time.Duration, _ core.Tally, _, _ int) { r.m.Pin(now, l, now+a.For) })
	return r.view(), nil
}

// pages adds what operators may see and ask for.
func (r *reduced) pages(all map[string]func() any, deeds map[string]admin.Deed) {
	all["level"] = func() any { return r.view() }
	deeds["level/pin"] = r.pin
}
