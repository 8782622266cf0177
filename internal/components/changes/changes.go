// Package changes manages changes of the configuration in a running sidecar. A change is
// proposed by a file, SIGHUP or operators, checked against the running configuration, put
// on trial beside it, and then kept or undone.
package changes

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"time"

	"chalkrack/internal/change"
	"chalkrack/internal/config"
	"chalkrack/internal/configtrial"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/history"
)

// Proposal is a request to change the configuration. Parts that are left out do not change.
type Proposal struct {
	Platform json.RawMessage `json:"platform,omitempty"`
	Features *string         `json:"features,omitempty"` // the file's text; empty for none
	Why      string          `json:"why,omitempty"`
	Plan     bool            `json:"plan,omitempty"` // only report what would change
}

// Outcome is the result of a proposal.
type Outcome struct {
	ID      history.ID      `json:"id,omitempty"` // 0 if no trial was started
	Changes []change.Change `json:"changes"`
	Refused []string        `json:"refused,omitempty"` // set only for a plan; otherwise a refusal is an error
}

// errNeedsRestart is wrapped by refusals of fields that only a start of the process applies.
var errNeedsRestart = errors.New("takes the next start")

// trialResult is the end of a trial, with its reason.
type trialResult struct {
	keep bool
	why  string
}

// Config configures a Manager.
type Config struct {
	Running   *config.Config
	Paths     []Path // all ways to servers over HTTP; the platform's is the first
	Front     *front.Server
	Discovery *discovery.Watcher
	// OnDiscoveryMoved is called when the address of discovery has changed, for what follows the same
	// discovery on other paths; nil: there is none.
	OnDiscoveryMoved func(from, to string)
	Listener         net.Listener     // for clients
	Figures          *figures.Figures // metrics; nil for none
}

// Manager owns the current configuration, the one on trial and their listeners. All its
// methods run in one goroutine, which also serves the requests from Requests; the handlers that
// Pages returns may be called from any goroutine.
type Manager struct {
	current *config.Config // the current configuration; during a trial, the one before it
	trial   *config.Config // on trial beside current; nil if there is none

	paths   []Path
	cores   *core.Group // of the paths, in their order
	srv     *front.Server
	watcher *discovery.Watcher

	onDiscoveryMoved func(from, to string)

	listener, trialListener net.Listener // trialListener is nil if the trial uses listener

	startTime       time.Time    // start of this process, and of a trial without a configuration to compare with
	reloadPending   bool         // a SIGHUP waits for the end of the trial
	storeError      string       // last error of the store; empty if it works
	unsaved         *trialResult // result that could not be saved; nil if there is none
	lastSaveAttempt time.Time    // time of the last attempt to save a result
	switchTimes     []time.Duration
	trialCount      uint64

	figures  *figures.Figures // metrics; nil for none
	requests chan Request
	done     chan struct{}
	closing  sync.Once
}

// New returns a Manager for the running configuration.
func New(c Config) *Manager {
	return &Manager{current: c.Running, paths: c.Paths, cores: coresOf(c.Paths), srv: c.Front, watcher: c.Discovery, onDiscoveryMoved: c.OnDiscoveryMoved, listener: c.Listener, figures: c.Figures, startTime: time.Now(), requests: make(chan Request), done: make(chan struct{})}
}

// Running returns the current configuration; during a trial, the one before it.
func (g *Manager) Running() *config.Config { return g.current }

// Requests returns the channel of operators' requests.
func (g *Manager) Requests() <-chan Request { return g.requests }

// CloseListener closes the listener of the current configuration.
func (g *Manager) CloseListener() { g.listener.Close() }

// Close closes the listeners and fails the operators' requests that have not been received.
func (g *Manager) Close() {
	g.closing.Do(func() { close(g.done) })
	g.listener.Close()
	if g.trialListener != nil {
		g.trialListener.Close()
	}
}

// Enabled reports whether the configuration can be changed while the process runs.
func (g *Manager) Enabled() bool { return g.current.History != nil }

// usage returns the resources in use now.
func (g *Manager) usage() change.Usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	use := change.Usage{MemoryMB: int(m.Sys >> 20), Sockets: g.srv.Conns(), Held: g.paths[0].Host.Held()} // pools have limits of their own on held calls
	for _, p := range g.paths {
		use.Sockets += p.Conns.Conns()
	}
	return use
}

// plan compares a configuration with the current one. It returns all changes, and every
// reason why they must not be made now.
func (g *Manager) plan(next *config.Config) (*change.Plan, []error, error) {
	p, why, err := comparePlan(g.current, next, g.usage())
	if err != nil {
		return nil, nil, err
	}
	return p, append(why, checkPaths(g.paths, next)...), nil
}

func comparePlan(running, next *config.Config, use change.Usage) (*change.Plan, []error, error) {
	p, err := change.Compare(running.Document(), next.Document(), use)
	if err != nil {
		return nil, nil, err
	}
	var why []error
	for _, r := range p.Refusals {
		why = append(why, r)
	}
	for _, ch := range p.NeedingRestart() {
		why = append(why, fmt.Errorf("%s: %s -> %s: %w", ch.Field, ch.Old, ch.New, errNeedsRestart))
	}
	return p, append(why, checkStartCopies(running.Features, p.Changes)...), nil
}

// propose checks a configuration and, unless planOnly is set, puts it on trial if every
// change is allowed. Otherwise the error joins all refusals.
func (g *Manager) propose(next *config.Config, why string, planOnly bool) (*Outcome, error) {
	p, refused, err := g.plan(next)
	if err != nil {
		return nil, err
	}
	out := &Outcome{Changes: p.Changes}
	if planOnly {
		for _, r := range refused {
			out.Refused = append(out.Refused, r.Error())
		}
		return out, nil
	}
	if len(refused) > 0 {
		return nil, errors.Join(refused...)
	}
	if len(p.Changes) == 0 || len(p.Changes) == 1 && p.Changes[0].Field == "discovery" {
		return out, nil
	}
	if g.unsaved != nil {
		return nil, fmt.Errorf("the history of configuration changes can't be written, so the result of the last trial is not saved: %s", g.storeError)
	}
	out.ID, err = g.startTrial(next, why)
	return out, err
}

// startTrial opens a configuration's listener, persists the configuration and starts its
// trial. Every step that can fail comes before the switch and is undone on an error.
func (g *Manager) startTrial(next *config.Config, why string) (id history.ID, err error) {
	sum, err := change.Hash(next.Document())
	if err != nil {
		return 0, err
	}
	ln, err := g.openListener(next)
	if err != nil {
		return 0, err
	}
	if id, err = g.current.History.Apply(next.Documents(), sum, why); err != nil {
		closeListener(ln)
		return 0, err
	}
	if err := g.switchToTrial(next, id, ln); err != nil {
		g.saveResult(trialResult{why: err.Error()})
		return 0, err
	}
	f := &g.current.Features.Config
	slog.Info("configuration on trial", "id", id, "why", why, "share", f.TrialShare, "for", time.Duration(f.TrialDuration))
	return id, nil
}

// openListener opens the listener of a configuration, or returns nil if its address is the
// current one.
func (g *Manager) openListener(next *config.Config) (net.Listener, error) {
	if next.Listen == g.current.Listen {
		return nil, nil
	}
	ln, err := net.Listen("tcp", next.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

func closeListener(ln net.Listener) {
	if ln != nil {
		ln.Close()
	}
}

// switchToTrial starts the trial, so that next takes its share of the calls. On an error it
// closes the listener and nothing changes.
func (g *Manager) switchToTrial(next *config.Config, id history.ID, ln net.Listener) error {
	f := &g.current.Features.Config
	g.trialCount++
	g.figures.AddClasses(next.Settings.ClassNames())
	began := time.Now()
	err := g.cores.StartTrial(generationsOf(g.paths, next.Generation(id)), configtrial.Config{
		Share: f.TrialShare, FalseUndo: f.FalseUndoProbability, DetectableShare: f.DetectableShare, Duration: time.Duration(f.TrialDuration), ThinUndo: f.OnFewCalls == "undo",
	}, g.current.Seed^g.trialCount)
	if err != nil {
		closeListener(ln)
		return err
	}
	g.setTimeouts(strictestTimes(connTimes(g.current), connTimes(next)))
	g.addSwitchTime(time.Since(began))
	g.trial, g.trialListener = next, ln
	if ln != nil {
		go g.srv.Serve(ln)
	}
	return nil
}

// maxSwitchTimes is the number of latest switch durations that are kept.
const maxSwitchTimes = 16

func (g *Manager) addSwitchTime(took time.Duration) {
	g.switchTimes = append(g.switchTimes, took)
	g.switchTimes = g.switchTimes[max(0, len(g.switchTimes)-maxSwitchTimes):]
}

// setStoreError logs an error of the store and keeps it for Status; nil clears it.
func (g *Manager) setStoreError(err error) {
	g.storeError = ""
	if err != nil {
		g.storeError = err.Error()
		slog.Error("the history of configuration changes can't be written", "err", err)
	}
}

// saveRetryInterval is the minimum time between attempts to save a result.
const saveRetryInterval = time.Second

// saveResult persists the result of a trial. If that fails, the result still applies to this
// process and CheckTrial retries the write. Until it succeeds no other change is put on trial,
// and a start of the process finds the trial still on.
func (g *Manager) saveResult(v trialResult) {
	write := g.current.History.Undo
	if v.keep {
		write = g.current.History.Keep
	}
	err := write(v.why)
	if g.unsaved, g.lastSaveAttempt = nil, time.Now(); err != nil {
		g.unsaved = &v
	}
	g.setStoreError(err)
}

// CheckTrial ends a trial that has a verdict, and retries to save a result that could not be
// saved. It must be called at regular intervals.
func (g *Manager) CheckTrial() {
	switch {
	case g.unsaved != nil:
		if time.Since(g.lastSaveAttempt) >= saveRetryInterval {
			g.saveResult(*g.unsaved)
			g.runPendingReload()
		}
	case g.trial != nil:
		r, class, _, err := g.cores.TrialRuling()
		if err != nil || r.Verdict == configtrial.Watching {
			return
		}
		why := fmt.Sprintf("%d calls", r.Calls)
		switch {
		case r.Thin:
			why = fmt.Sprintf("too few calls for a verdict: %d of %d; [config] thin decides", r.Calls, r.Needed)
		case r.Verdict == configtrial.Undo:
			why = fmt.Sprintf("more calls %v than under the previous configuration, most of class %s, after %d calls", r.Kind, class, r.Calls)
		}
		g.finishTrial(r.Verdict == configtrial.Keep, why)
	case g.current.OnTrial && time.Since(g.startTime) >= time.Duration(g.current.Features.Config.TrialDuration):
		g.current.OnTrial = false
		g.saveResult(trialResult{true, "served since a start, with nothing beside it"})
		g.runPendingReload()
	}
}

// runPendingReload reloads the files if a SIGHUP arrived during the trial.
func (g *Manager) runPendingReload() {
	if g.reloadPending && g.unsaved == nil {
		g.reloadPending = false
		g.Reload()
	}
}

// finishTrial ends the trial. It persists the result first, so that a start of the process
// has the same result.
func (g *Manager) finishTrial(keep bool, why string) {
	g.saveResult(trialResult{keep, why})
	g.switchFromTrial(keep)
	if keep {
		slog.Info("configuration kept", "why", why)
	} else {
		slog.Error("configuration undone", "why", why)
	}
	g.runPendingReload()
}

// switchFromTrial makes one of the two configurations the current one and ends the other.
func (g *Manager) switchFromTrial(keep bool) {
	began := time.Now()
	if err := g.cores.EndTrial(keep); err != nil { // both sets of rules were checked
		slog.Error("a trial could not be ended", "err", err)
	}
	winner, old := g.current, g.trialListener
	if keep {
		winner = g.trial
		winner.History, winner.IsPersistent, winner.Discovery = g.current.History, g.current.IsPersistent, g.current.Discovery
		if old = nil; g.trialListener != nil {
			old, g.listener = g.listener, g.trialListener
		}
	}
	g.setTimeouts(connTimes(winner))
	g.addSwitchTime(time.Since(began))
	closeListener(old) // connections that it accepted stay open
	g.current, g.trial, g.trialListener = winner, nil, nil
}

// LongestDeadline returns the longest time that a client waits for a response under any
// configuration that serves.
func (g *Manager) LongestDeadline() time.Duration {
	d := g.current.Settings.MaxDeadline()
	if g.trial != nil {
		d = max(d, g.trial.Settings.MaxDeadline())
	}
	return d
}
