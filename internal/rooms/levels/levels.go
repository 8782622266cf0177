// Package levels reads the sensors for a level.Machine and shows its levels to operators.
package levels

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"runtime/metrics"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/core"
	"chalkrack/internal/level"
)

const (
	// TickEach is how often the sensors are read.
	TickEach = 100 * time.Millisecond
	// fade leaves of a tick's outcomes a third after five seconds.
	fade = 0.98
	// PinMost bounds a level held by hand: nobody may forget it for good.
	PinMost = 24 * time.Hour
)

// Config is what it is made of.
type Config struct {
	Level   level.Config
	Memory  int64      // that the process may have, in bytes
	Conns   int        // that clients may have, each with one call
	Sockets int        // connections that the process may have
	Open    func() int // those that it has
}

// Levels is the host of a level.Machine, which the core's lock guards.
type Levels struct {
	c    Config
	host *core.Host

	m                 *level.Machine
	ended, late, full float64
	at                time.Time // of the last tick
	tallied           core.Tally
	was               level.Level
	memory            []metrics.Sample
}

// New puts a machine at the core's gate.
func New(c Config, host *core.Host) (*Levels, error) {
	m, err := level.New(c.Level)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	r := &Levels{c: c, host: host, m: m, at: time.Now(),
		memory: []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}}
	host.SetGate(m)
	return r, nil
}

// Tick reads the sensors and lets the machine decide.
func (r *Levels) Tick(now time.Time) {
	var s level.Reading
	lag := now.Sub(r.at) - TickEach
	r.at = now
	metrics.Read(r.memory)
	held := r.host.Held()
	r.host.With(func(at time.Duration, seen core.Tally, members, ejected int) {
		r.ended = r.ended*fade + float64(seen.Ended-r.tallied.Ended)
		r.late = r.late*fade + float64(seen.Late-r.tallied.Late)
		r.full = r.full*fade + float64(seen.Full-r.tallied.Full)
		r.tallied = seen
		s.Outcomes = r.ended
		s.Value[level.Late], s.Value[level.Full] = r.late/max(r.ended, 1), r.full/max(r.ended, 1)
		s.Value[level.Held] = float64(held) / float64(max(1, r.c.Conns))
		s.Value[level.Lost] = 1 // a list that is empty
		if members > 0 {
			s.Value[level.Lost] = float64(ejected) / float64(members)
		}
		s.Value[level.Memory] = float64(r.memory[0].Value.Uint64()-r.memory[1].Value.Uint64()) / float64(r.c.Memory)
		s.Value[level.Sockets] = float64(r.c.Open()) / float64(max(1, r.c.Sockets))
		s.Value[level.Lag] = math.Max(0, lag.Seconds()/TickEach.Seconds())
		r.m.Tick(at, s)
	})
	if l := r.level(); l != r.was {
		v := r.view()
		slog.Warn("service", "level", l.String(), "was", r.was.String(), "why", v.Changes[len(v.Changes)-1].Why)
		r.was = l
	}
}

func (r *Levels) level() (l level.Level) {
	r.host.With(func(time.Duration, core.Tally, int, int) { l = r.m.Level() })
	return l
}

func (r *Levels) view() (v level.View) {
	r.host.With(func(time.Duration, core.Tally, int, int) { v = r.m.View() })
	return v
}

// PinAsk holds a level by hand; a For of 0 ends it.
type PinAsk struct {
	Level string        `json:"level"`
	For   time.Duration `json:"for_ns"`
}

// pin implements admin.Deed.
func (r *Levels) pin(text []byte) (any, error) {
	var a PinAsk
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, fmt.Errorf("level: %w", err)
	}
	l, ok := level.Parse(a.Level)
	if !ok && a.For > 0 {
		return nil, fmt.Errorf("level: there is no level %q", a.Level)
	}
	if a.For < 0 || a.For > PinMost {
		return nil, fmt.Errorf("level: a pin must have an end within %v", PinMost)
	}
	r.host.With(func(now time.Duration, _ core.Tally, _, _ int) { r.m.Pin(now, l, now+a.For) })
	return r.view(), nil
}

// Pages adds what operators may see and ask for.
func (r *Levels) Pages(all map[string]func() any, deeds map[string]admin.Deed) {
	all["level"] = func() any { return r.view() }
	deeds["level/pin"] = r.pin
}
