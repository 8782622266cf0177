// Package levels runs a level.Machine in a sidecar: it samples the sensors at a fixed
// interval, logs changes of level, and adds a page and a pin command for operators.
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
	// TickInterval is the interval at which the sensors are sampled.
	TickInterval = 100 * time.Millisecond
	// outcomeDecay is the decay factor of outcome counts per tick: about a third (0.36) of a
	// tick's outcomes is left after five seconds.
	outcomeDecay = 0.98
	// MaxPinDuration is the maximum duration of a pin, so that a forgotten one expires.
	MaxPinDuration = 24 * time.Hour
)

// Config holds the settings of a level.Machine and the limits that its sensors refer to.
type Config struct {
	Level       level.Config
	MemoryLimit int64      // memory limit of the process, in bytes
	MaxConns    int        // maximum client connections, each with one call
	MaxSockets  int        // maximum connections of the process
	OpenSockets func() int // returns the number of open connections of the process
}

// Controller drives a level.Machine, which is guarded by the lock of the core.Host.
type Controller struct {
	cfg  Config
	host *core.Host

	machine           *level.Machine
	ended, late, full float64   // decayed counts of outcomes
	lastTick          time.Time // of the last Tick
	lastTally         core.AttemptCounts
	lastLevel         level.Level
	memorySamples     []metrics.Sample
}

// New creates a level.Machine and installs it as the degradation policy of host.
func New(cfg Config, host *core.Host) (*Controller, error) {
	machine, err := level.New(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	r := &Controller{cfg: cfg, host: host, machine: machine, lastTick: time.Now(),
		memorySamples: []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}}
	host.SetDegradationPolicy(machine)
	return r, nil
}

// Tick samples the sensors and passes the reading to the Machine. It must be called at
// intervals of TickInterval.
func (r *Controller) Tick(now time.Time) {
	var reading level.Reading
	lag := now.Sub(r.lastTick) - TickInterval
	r.lastTick = now
	metrics.Read(r.memorySamples)
	held := r.host.Held()
	r.host.WithPolicyLock(func(at time.Duration, tally core.AttemptCounts, members, ejected int) {
		r.ended = r.ended*outcomeDecay + float64(tally.Ended-r.lastTally.Ended)
		r.late = r.late*outcomeDecay + float64(tally.Late-r.lastTally.Late)
		r.full = r.full*outcomeDecay + float64(tally.Full-r.lastTally.Full)
		r.lastTally = tally
		reading.Outcomes = r.ended
		reading.Values[level.Late], reading.Values[level.Full] = r.late/max(r.ended, 1), r.full/max(r.ended, 1)
		reading.Values[level.Held] = float64(held) / float64(max(1, r.cfg.MaxConns))
		reading.Values[level.Lost] = 1 // the list of servers is empty
		if members > 0 {
			reading.Values[level.Lost] = float64(ejected) / float64(members)
		}
		reading.Values[level.Memory] = float64(r.memorySamples[0].Value.Uint64()-r.memorySamples[1].Value.Uint64()) / float64(r.cfg.MemoryLimit)
		reading.Values[level.Sockets] = float64(r.cfg.OpenSockets()) / float64(max(1, r.cfg.MaxSockets))
		reading.Values[level.Lag] = math.Max(0, lag.Seconds()/TickInterval.Seconds())
		r.machine.Tick(at, reading)
	})
	if l := r.currentLevel(); l != r.lastLevel {
		v := r.currentView()
		slog.Warn("service", "level", l.String(), "was", r.lastLevel.String(), "why", v.Changes[len(v.Changes)-1].Why)
		r.lastLevel = l
	}
}

func (r *Controller) currentLevel() (l level.Level) {
	r.host.WithPolicyLock(func(time.Duration, core.AttemptCounts, int, int) { l = r.machine.Level() })
	return l
}

func (r *Controller) currentView() (v level.View) {
	r.host.WithPolicyLock(func(time.Duration, core.AttemptCounts, int, int) { v = r.machine.View() })
	return v
}

// PinRequest is an operator's request to pin a level for a time; a For of 0 removes the pin.
type PinRequest struct {
	Level string        `json:"level"`
	For   time.Duration `json:"for_ns"`
}

// handlePin handles a request in JSON to pin a level. It implements admin.Action.
func (r *Controller) handlePin(body []byte) (any, error) {
	var request PinRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("level: %w", err)
	}
	l, ok := level.Parse(request.Level)
	if !ok && request.For > 0 {
		return nil, fmt.Errorf("level: there is no level %q", request.Level)
	}
	if request.For < 0 || request.For > MaxPinDuration {
		return nil, fmt.Errorf("level: a pin must have an end within %v", MaxPinDuration)
	}
	r.host.WithPolicyLock(func(now time.Duration, _ core.AttemptCounts, _, _ int) { r.machine.Pin(now, l, now+request.For) })
	return r.currentView(), nil
}

// AddPages adds the level page to all and the pin command to actions.
func (r *Controller) AddPages(all map[string]func() any, actions map[string]admin.Action) {
	all["level"] = func() any { return r.currentView() }
	actions["level/pin"] = r.handlePin
}
