package operating

import (
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
	"time"

	"chalkrack"
	"chalkrack/internal/bytebudget"
	"chalkrack/internal/evacuation"
	"chalkrack/internal/handover"
	"chalkrack/internal/httphead"
	"chalkrack/internal/maintenance"
	"chalkrack/internal/membership"
)

const (
	// learnedStateTimeout bounds how long a start waits for the learned state of a process
	// that still serves.
	learnedStateTimeout = 700 * time.Millisecond
	// processCheckInterval is how often a process looks for others of its sidecar and for
	// the changes that operators made there. It is well below the time that operators allow
	// for a change to take effect.
	processCheckInterval = 100 * time.Millisecond
)

// learnedState is the state that a running process hands to a new one.
type learnedState struct {
	Memory chalkrack.LearnedState `json:"memory"`
	List   []membership.Entry     `json:"list"` // the last whole list from discovery
	Zones  []evacuation.ZoneState `json:"zones,omitempty"`
	Pools  []poolState            `json:"pools,omitempty"`
}

// poolState is the part of a learnedState that belongs to a pool.
type poolState struct {
	Name   string                 `json:"name"`
	Memory chalkrack.LearnedState `json:"memory"`
	List   []membership.Entry     `json:"list"` // the last whole list
}

// operatorState holds the changes that operators made by calls to any process of the sidecar.
type operatorState struct {
	maintenance.State
	Drain bool          `json:"drain"`
	Since time.Duration `json:"since"`
	// Clock is the clock of the process that wrote the state, relative to handover.MonotonicNow; 0: not
	// known. The times above are by that clock: the machine's may have been stepped between two starts.
	Clock time.Duration `json:"clock"`
}

// convertTo converts the times to the clock of another process.
func (d *operatorState) convertTo(clock time.Duration) {
	if d.Clock == 0 {
		return
	}
	d.Since += clock - d.Clock
	for id := range d.EnabledAt {
		d.EnabledAt[id] += clock - d.Clock
	}
	d.Clock = clock
}

// openFolder opens the folder that the sidecar's processes share if the platform holds the
// clients' socket for them, and applies the operators' changes. If the folder can't be
// opened, this process still serves, without a handover.
func (o *Operation) openFolder() {
	f, err := handover.Open(handover.FolderPath(o.config.Tmp, o.config.Listen))
	if err != nil {
		slog.Error("handover folder can't be opened: no handover between processes", "err", err)
		return
	}
	o.folder = f
	o.mu.Lock()
	defer o.mu.Unlock()
	o.otherProcesses, _ = f.Processes()
	o.applyOperatorState()
}

// TakeOverState takes over the learned state of a process that still serves, and starts watching
// the other processes. It blocks for up to learnedStateTimeout. It has to be called before
// any news of the servers other than the list that the platform gave.
func (o *Operation) TakeOverState() {
	if o.folder == nil {
		return
	}
	if o.otherProcesses > 0 {
		var l learnedState
		began := time.Now()
		if err := o.folder.RequestState(&l, learnedStateTimeout); err != nil {
			slog.Warn("no learned state from the previous process", "err", err)
		} else {
			if len(l.List) > 0 {
				o.ApplyList(&membership.List{Complete: true, Entries: l.List})
			}
			o.config.Host.RestoreState(l.Memory)
			if o.config.Zones != nil {
				o.config.Zones.Adopt(l.Zones)
			}
			o.takeOverPools(l.Pools)
			slog.Info("took over the learned state of the previous process", "servers", len(l.List), "after", time.Since(began))
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.divideLimits(o.otherProcesses + 1)
	o.watchDone = make(chan struct{})
	go o.watchProcesses()
}

// takeOverPools takes over the state of the pools that this process has too. A pool whose discovery has
// been heard already keeps its own list.
func (o *Operation) takeOverPools(states []poolState) {
	for _, state := range states {
		n := slices.IndexFunc(o.pools, func(p handedOverPool) bool { return p.name == state.Name })
		if n < 0 {
			continue
		}
		pool := o.pools[n]
		o.mu.Lock()
		if pool.source.Discovered() == 0 && len(state.List) > 0 {
			o.applyListLocked(pool.source, &membership.List{Complete: true, Entries: state.List})
		}
		o.mu.Unlock()
		pool.host.RestoreState(state.Memory)
	}
}

// poolStates returns the state of all pools. The caller holds o.mu.
func (o *Operation) poolStates() (states []poolState) {
	for _, pool := range o.pools {
		states = append(states, poolState{pool.name, pool.host.LearnedState(), pool.source.List()})
	}
	return states
}

// watchProcesses keeps this process in step with the others of its sidecar: it divides the
// limits, applies the operators' changes and sends the learned state until Close is called.
func (o *Operation) watchProcesses() {
	defer close(o.watchDone)
	for {
		time.Sleep(processCheckInterval)
		o.mu.Lock()
		if o.closed {
			o.mu.Unlock()
			return
		}
		others, requesting := o.folder.Processes()
		if others != o.otherProcesses {
			slog.Info("number of other processes of this sidecar changed", "others", others)
			o.otherProcesses = others
			o.divideLimits(others + 1)
		}
		o.applyOperatorState()
		if o.serving.Load() && !o.quitting {
			for _, id := range requesting {
				l := learnedState{Memory: o.config.Host.LearnedState(), List: o.platform.List(), Pools: o.poolStates()}
				if o.config.Zones != nil {
					l.Zones = o.config.Zones.State()
				}
				if err := o.folder.SendState(id, l); err != nil {
					slog.Error("learned state can't be sent to a new process", "err", err)
				}
			}
		}
		o.mu.Unlock()
	}
}

// applyOperatorState applies the changes that operators made at other processes. The caller
// holds o.mu.
func (o *Operation) applyOperatorState() {
	var d operatorState
	if !o.folder.ReadOperatorState(&d) {
		return
	}
	d.convertTo(o.clock)
	o.pass(o.servers.Adopt(d.State))
	switch _, on := o.drain.Since(); {
	case d.Drain && !on:
		o.beginDrain(d.Since)
	case !d.Drain && on:
		o.endDrain()
	}
}

// updateOperatorState runs do, which makes a change, and writes the new state for the other
// processes. The caller holds o.mu.
func (o *Operation) updateOperatorState(do func() error) (err error) {
	if o.folder == nil {
		return do()
	}
	writeErr := o.folder.UpdateOperatorState(func() (any, bool) {
		o.applyOperatorState()
		if err = do(); err != nil {
			return nil, false
		}
		d := operatorState{State: o.servers.State(), Clock: o.clock}
		d.Since, d.Drain = o.drain.Since()
		return d, true
	})
	if writeErr != nil {
		// The change is in force here, but a later process would not know of it.
		slog.Error("operators' changes can't be written", "err", writeErr)
		if err == nil {
			err = errors.New("in force in this process, but not saved: later processes will not know of the change")
		}
	}
	return err
}

// divideLimits sets this process's limits to one of parts equal shares of the sidecar's
// limits. The caller holds o.mu.
func (o *Operation) divideLimits(parts int) {
	parts = max(1, min(parts, maxParts))
	debug.SetMemoryLimit(o.config.Limits.Memory / int64(parts))
	o.config.Pool.SetMaxConns(o.config.Limits.Conns / parts)
	o.srv.SetMaxBodyBytes(o.config.Limits.Bodies / int64(parts))
	o.config.Limits.Answers.Divide(parts)
	for _, budget := range o.config.Limits.Heads {
		budget.Divide(parts)
	}
}

// maxParts bounds the number of shares, and so how small a share gets.
const maxParts = 4

// Limits are the limits of the whole sidecar, which its processes share.
type Limits struct {
	Memory  int64              // of the heap, in bytes
	Conns   int                // to servers
	Bodies  int64              // of requests, in bytes
	Heads   []*httphead.Budget // for the long heads of requests and of answers
	Answers *bytebudget.Budget // for answers that are held
}

// closeFolder waits for watchProcesses and removes this process from the folder.
func (o *Operation) closeFolder() {
	if o.watchDone != nil {
		<-o.watchDone
	}
	if o.folder != nil {
		o.folder.Close()
	}
}
