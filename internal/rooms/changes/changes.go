// Package changes is the way of a change of the configuration in a running sidecar: proposed by a
// file, a signal or operators, checked, on trial beside what runs, kept or undone.
package changes

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/bake"
	"chalkrack/internal/change"
	"chalkrack/internal/config"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/history"
	"chalkrack/internal/upstream"
)

// Proposal is a configuration that is to run. What is left out stays as it is.
type Proposal struct {
	Platform json.RawMessage `json:"platform,omitempty"`
	Features *string         `json:"features,omitempty"` // the text; empty: none
	Why      string          `json:"why,omitempty"`
	Plan     bool            `json:"plan,omitempty"` // say what would be, and do nothing
}

// Outcome is what became of a proposal.
type Outcome struct {
	ID      history.ID      `json:"id,omitempty"` // 0: nothing was switched
	Changes []change.Change `json:"changes"`
	Refused []string        `json:"refused,omitempty"` // of a plan only: a proposal that is refused is an error
}

// errNeedsStart is part of a refusal for fields that only a start takes.
var errNeedsStart = errors.New("takes the next start")

// verdict is how a trial ended.
type verdict struct {
	keep bool
	why  string
}

// Config is what a Changes is told.
type Config struct {
	Running   *config.Config
	Host      *core.Host
	Pool      *upstream.Pool
	Front     *front.Server
	Discovery *discovery.Watcher
	Listener  net.Listener     // of the clients
	Figures   *figures.Figures // nil: nobody counts
}

// Changes owns the way of changes: what runs, what is on trial, and their listeners. All
// its methods but those that pages and deeds call run in one goroutine, which also answers
// what comes from Asks.
type Changes struct {
	c    *config.Config // what runs, or ran before the trial
	next *config.Config // on trial beside it; nil: none is

	host    *core.Host
	pool    *upstream.Pool
	srv     *front.Server
	watcher *discovery.Watcher

	ln, nextLn net.Listener // nextLn: of the trial, where it is another one

	since   time.Time // of a trial that has nothing beside it
	pending bool      // a SIGHUP came that waits for a trial's end
	problem string    // of the memory: what could not be written
	owed    *verdict  // what could not be written; nil: nothing
	owedAt  time.Time // when that was tried last
	took    []time.Duration
	trials  uint64

	fig     *figures.Figures // nil: nobody counts
	asks    chan Ask
	done    chan struct{}
	closing sync.Once
}

// New has a configuration run.
func New(c Config) *Changes {
	return &Changes{c: c.Running, host: c.Host, pool: c.Pool, srv: c.Front, watcher: c.Discovery, ln: c.Listener, fig: c.Figures, since: time.Now(), asks: make(chan Ask), done: make(chan struct{})}
}

// Running is the configuration that runs, or ran before the trial.
func (g *Changes) Running() *config.Config { return g.c }

// Asks is what operators ask for.
func (g *Changes) Asks() <-chan Ask { return g.asks }

// CloseListener ends the listener of what runs.
func (g *Changes) CloseListener() { g.ln.Close() }

// Close ends the listeners, and what operators wait for.
func (g *Changes) Close() {
	g.closing.Do(func() { close(g.done) })
	g.ln.Close()
	if g.nextLn != nil {
		g.nextLn.Close()
	}
}

// On says that changes are made while this process runs.
func (g *Changes) On() bool { return g.c.Store != nil }

// use is what runs needs now.
func (g *Changes) use() change.Use {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return change.Use{MemoryMB: int(m.Sys >> 20), Sockets: g.srv.Conns() + g.pool.Conns(), Held: g.host.Held()}
}

// plan holds a configuration against the one that runs: all that would change, and every
// reason why it must not be made now.
func (g *Changes) plan(next *config.Config) (*change.Plan, []error, error) {
	return planOf(g.c, next, g.use())
}

func planOf(running, next *config.Config, use change.Use) (*change.Plan, []error, error) {
	p, err := change.Compare(running.Document(), next.Document(), use)
	if err != nil {
		return nil, nil, err
	}
	var why []error
	for _, r := range p.Refusals {
		why = append(why, r)
	}
	for _, ch := range p.NeedingRestart() {
		why = append(why, fmt.Errorf("%s: %s -> %s: %w", ch.Field, ch.Old, ch.New, errNeedsStart))
	}
	// Parts that are made at the start know the classes of the start only.
	for _, ch := range p.Changes {
		switch {
		case !ch.Live || !strings.HasPrefix(ch.Field, "settings."):
		case running.Features.Radius.Enabled:
			why = append(why, fmt.Errorf("%s: %s -> %s: [radius] goes by it and %w", ch.Field, ch.Old, ch.New, errNeedsStart))
		case running.Features.Bodies.Enabled && strings.HasSuffix(ch.Field, "].name"):
			why = append(why, fmt.Errorf("%s: %s -> %s: [bodies] has shares by it and %w", ch.Field, ch.Old, ch.New, errNeedsStart))
		}
	}
	return p, why, nil
}

// propose checks a configuration, and puts it on trial if it may be.
func (g *Changes) propose(next *config.Config, why string, planOnly bool) (*Outcome, error) {
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
	if g.owed != nil {
		return nil, fmt.Errorf("the memory of changes can't be written, so the last verdict is not in it: %s", g.problem)
	}
	out.ID, err = g.try(next, why)
	return out, err
}

// try stages a configuration, remembers it and switches to it. Everything that can fail
// comes before the switch, and is taken back whole.
func (g *Changes) try(next *config.Config, why string) (id history.ID, err error) {
	sum, err := change.Sum(next.Document())
	if err != nil {
		return 0, err
	}
	ln, err := g.stage(next)
	if err != nil {
		return 0, err
	}
	if id, err = g.c.Store.Apply(next.Documents(), sum, why); err != nil {
		unstage(ln)
		return 0, err
	}
	if err := g.begin(next, id, ln); err != nil {
		g.record(verdict{why: err.Error()})
		return 0, err
	}
	f := &g.c.Features.Config
	slog.Info("configuration on trial", "id", id, "why", why, "share", f.Share, "for", time.Duration(f.Bake))
	return id, nil
}

// stage makes what a configuration needs beside what runs: a listener, if it is another
// one.
func (g *Changes) stage(next *config.Config) (net.Listener, error) {
	if next.Listen == g.c.Listen {
		return nil, nil
	}
	ln, err := net.Listen("tcp", next.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

func unstage(ln net.Listener) {
	if ln != nil {
		ln.Close()
	}
}

// begin switches: from now on next takes its share of the calls. An error leaves nothing
// of it.
func (g *Changes) begin(next *config.Config, id history.ID, ln net.Listener) error {
	f := &g.c.Features.Config
	g.trials++
	began := time.Now()
	err := g.host.Try(next.Generation(id), bake.Config{
		Share: f.Share, FalseUndo: f.FalseUndo, Notice: f.Notice, Bake: time.Duration(f.Bake), ThinUndo: f.Thin == "undo",
	}, g.c.Seed^g.trials)
	if err != nil {
		unstage(ln)
		return err
	}
	g.pool.Adopt(strictest(times(g.c), times(next)))
	g.note(time.Since(began))
	g.next, g.nextLn = next, ln
	if ln != nil {
		go g.srv.Serve(ln)
	}
	return nil
}

// switchesMost bounds the times of switches that are kept.
const switchesMost = 16

func (g *Changes) note(took time.Duration) {
	g.took = append(g.took, took)
	g.took = g.took[max(0, len(g.took)-switchesMost):]
}

func times(c *config.Config) upstream.Times {
	return upstream.Times{ConnIdle: c.Settings.ConnIdle, DialTimeout: c.Settings.DialTimeout, DrainGrace: c.Settings.DrainGrace}
}

// strictest is the times that keep the promises of both.
func strictest(a, b upstream.Times) upstream.Times {
	return upstream.Times{ConnIdle: min(a.ConnIdle, b.ConnIdle), DialTimeout: max(a.DialTimeout, b.DialTimeout), DrainGrace: min(a.DrainGrace, b.DrainGrace)}
}

// remember keeps what the memory complains of, for operators to see.
func (g *Changes) remember(err error) {
	g.problem = ""
	if err != nil {
		g.problem = err.Error()
		slog.Error("the memory of changes", "err", err)
	}
}

// owedEach is how often a verdict is tried that could not be written.
const owedEach = time.Second

// record writes a verdict down. What can't be written holds for this process all the same
// and is tried again; until then nothing else is put on trial, and a start finds the
// trial as it was.
func (g *Changes) record(v verdict) {
	write := g.c.Store.Undo
	if v.keep {
		write = g.c.Store.Keep
	}
	err := write(v.why)
	if g.owed, g.owedAt = nil, time.Now(); err != nil {
		g.owed = &v
	}
	g.remember(err)
}

// Watch ends a trial whose verdict is there.
func (g *Changes) Watch() {
	switch {
	case g.owed != nil:
		if time.Since(g.owedAt) >= owedEach {
			g.record(*g.owed)
			g.after()
		}
	case g.next != nil:
		r, class, _, err := g.host.Rule()
		if err != nil || r.Verdict == bake.Watching {
			return
		}
		why := fmt.Sprintf("%d calls", r.Calls)
		switch {
		case r.Thin:
			why = fmt.Sprintf("too few calls for a verdict: %d of %d; [config] thin says so", r.Calls, r.Needed)
		case r.Verdict == bake.Undo:
			why = fmt.Sprintf("more calls %v than under the one before, most of class %s, after %d calls", r.Kind, class, r.Calls)
		}
		g.settle(r.Verdict == bake.Keep, why)
	case g.c.Trial && time.Since(g.since) >= time.Duration(g.c.Features.Config.Bake):
		g.c.Trial = false
		g.record(verdict{true, "served since a start, with nothing beside it"})
		g.after()
	}
}

// after takes up what waited for a trial's end.
func (g *Changes) after() {
	if g.pending && g.owed == nil {
		g.pending = false
		g.Reload()
	}
}

// settle ends the trial: it is written down first, so that a start comes out the same.
func (g *Changes) settle(keep bool, why string) {
	g.record(verdict{keep, why})
	g.end(keep)
	if keep {
		slog.Info("configuration kept", "why", why)
	} else {
		slog.Error("configuration undone", "why", why)
	}
	g.after()
}

// end switches to one generation alone.
func (g *Changes) end(keep bool) {
	began := time.Now()
	if err := g.host.Settle(keep); err != nil { // both sets of rules were checked
		slog.Error("the end of a trial", "err", err)
	}
	winner, old := g.c, g.nextLn
	if keep {
		winner = g.next
		winner.Store, winner.Lasting, winner.Discovery = g.c.Store, g.c.Lasting, g.c.Discovery
		if old = nil; g.nextLn != nil {
			old, g.ln = g.ln, g.nextLn
		}
	}
	g.pool.Adopt(times(winner))
	g.note(time.Since(began))
	unstage(old) // connections that it took go on
	g.c, g.next, g.nextLn = winner, nil, nil
}

// Longest is the longest time that a client waits by any configuration that serves.
func (g *Changes) Longest() time.Duration {
	d := g.c.Settings.Longest()
	if g.next != nil {
		d = max(d, g.next.Settings.Longest())
	}
	return d
}
