package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/bake"
	"chalkrack/internal/change"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/generation"
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

// ChangeStatus is what operators see of changes.
type ChangeStatus struct {
	Running  history.ID      `json:"running"`
	Trial    history.ID      `json:"trial,omitempty"`
	Alone    bool            `json:"alone,omitempty"` // on trial since before the start: nothing to hold it against
	Since    float64         `json:"since_s,omitempty"`
	Bake     float64         `json:"bake_s"`
	Calls    int             `json:"calls,omitempty"`  // that the trial has seen
	Needed   int             `json:"needed,omitempty"` // for a verdict that is not thin
	Pending  bool            `json:"pending,omitempty"`
	Lasting  bool            `json:"lasting"` // remembered over a start
	Problem  string          `json:"problem,omitempty"`
	Events   []history.Event `json:"events"`
	Switches []float64       `json:"switch_us,omitempty"` // how long the last ones took, at most 16
}

// errNeedsStart is part of a refusal for fields that only a start takes.
var errNeedsStart = errors.New("takes the next start")

// asked is something that operators ask for, from the socket's goroutine.
type asked struct {
	do    func() (any, error)
	reply chan answered
}

type answered struct {
	v   any
	err error
}

// verdict is how a trial ended.
type verdict struct {
	keep bool
	why  string
}

// changer owns the way of changes: what runs, what is on trial, and their listeners. All
// its methods but ask run in the goroutine of Run.
type changer struct {
	c    *Config // what runs, or ran before the trial
	next *Config // on trial beside it; nil: none is

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
	asks    chan asked
	done    chan struct{}
	closing sync.Once
}

func newChanger(c *Config, host *core.Host, pool *upstream.Pool, srv *front.Server, w *discovery.Watcher, ln net.Listener) *changer {
	return &changer{c: c, host: host, pool: pool, srv: srv, watcher: w, ln: ln, since: time.Now(), asks: make(chan asked), done: make(chan struct{})}
}

// close ends the listeners, and what operators wait for.
func (g *changer) close() {
	g.closing.Do(func() { close(g.done) })
	g.ln.Close()
	if g.nextLn != nil {
		g.nextLn.Close()
	}
}

func (g *changer) on() bool { return g.c.store != nil }

// ask has something done in Run's goroutine.
func (g *changer) ask(do func() (any, error)) (any, error) {
	a := asked{do, make(chan answered, 1)}
	select {
	case g.asks <- a:
	case <-g.done:
		return nil, errors.New("the daemon is stopping")
	}
	r := <-a.reply
	return r.v, r.err
}

// generationOf is what calls live under by a configuration.
func generationOf(c *Config, id history.ID) *generation.Generation {
	return &generation.Generation{ID: int(id), Settings: c.settings, Paths: c.Features.Paths, PassClientErrors: c.Features.Answers.PassClientErrors}
}

// use is what runs needs now.
func (g *changer) use() change.Use {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return change.Use{MemoryMB: int(m.Sys >> 20), Sockets: g.srv.Conns() + g.pool.Conns(), Held: g.host.Held()}
}

// plan holds a configuration against the one that runs: all that would change, and every
// reason why it must not be made now.
func (g *changer) plan(next *Config) (*change.Plan, []error, error) {
	return planOf(g.c, next, g.use())
}

func planOf(running, next *Config, use change.Use) (*change.Plan, []error, error) {
	p, err := change.Compare(running.Document(), next.Document(), use)
	if err != nil {
		return nil, nil, err
	}
	var why []error
	for _, r := range p.Refusals {
		why = append(why, r)
	}
	for _, ch := range p.Waiting() {
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
func (g *changer) propose(next *Config, why string, planOnly bool) (*Outcome, error) {
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
func (g *changer) try(next *Config, why string) (id history.ID, err error) {
	sum, err := change.Sum(next.Document())
	if err != nil {
		return 0, err
	}
	ln, err := g.stage(next)
	if err != nil {
		return 0, err
	}
	if id, err = g.c.store.Apply(next.documents(), sum, why); err != nil {
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
func (g *changer) stage(next *Config) (net.Listener, error) {
	if next.listen == g.c.listen {
		return nil, nil
	}
	ln, err := net.Listen("tcp", next.listen)
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
func (g *changer) begin(next *Config, id history.ID, ln net.Listener) error {
	f := &g.c.Features.Config
	g.trials++
	began := time.Now()
	err := g.host.Try(generationOf(next, id), bake.Config{
		Share: f.Share, FalseUndo: f.FalseUndo, Notice: f.Notice, Bake: time.Duration(f.Bake), ThinUndo: f.Thin == "undo",
	}, g.c.seed^g.trials)
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

func (g *changer) note(took time.Duration) {
	g.took = append(g.took, took)
	g.took = g.took[max(0, len(g.took)-switchesMost):]
}

func times(c *Config) upstream.Times {
	return upstream.Times{ConnIdle: c.settings.ConnIdle, DialTimeout: c.settings.DialTimeout, DrainGrace: c.settings.DrainGrace}
}

// strictest is the times that keep the promises of both.
func strictest(a, b upstream.Times) upstream.Times {
	return upstream.Times{ConnIdle: min(a.ConnIdle, b.ConnIdle), DialTimeout: max(a.DialTimeout, b.DialTimeout), DrainGrace: min(a.DrainGrace, b.DrainGrace)}
}

// remember keeps what the memory complains of, for operators to see.
func (g *changer) remember(err error) {
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
func (g *changer) record(v verdict) {
	write := g.c.store.Undo
	if v.keep {
		write = g.c.store.Keep
	}
	err := write(v.why)
	if g.owed, g.owedAt = nil, time.Now(); err != nil {
		g.owed = &v
	}
	g.remember(err)
}

// watch ends a trial whose verdict is there.
func (g *changer) watch() {
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
	case g.c.trial && time.Since(g.since) >= time.Duration(g.c.Features.Config.Bake):
		g.c.trial = false
		g.record(verdict{true, "served since a start, with nothing beside it"})
		g.after()
	}
}

// after takes up what waited for a trial's end.
func (g *changer) after() {
	if g.pending && g.owed == nil {
		g.pending = false
		g.reload()
	}
}

// settle ends the trial: it is written down first, so that a start comes out the same.
func (g *changer) settle(keep bool, why string) {
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
func (g *changer) end(keep bool) {
	began := time.Now()
	if err := g.host.Settle(keep); err != nil { // both sets of rules were checked
		slog.Error("the end of a trial", "err", err)
	}
	winner, old := g.c, g.nextLn
	if keep {
		winner = g.next
		winner.store, winner.lasting, winner.discovery = g.c.store, g.c.lasting, g.c.discovery
		if old = nil; g.nextLn != nil {
			old, g.ln = g.ln, g.nextLn
		}
	}
	g.pool.Adopt(times(winner))
	g.note(time.Since(began))
	unstage(old) // connections that it took go on
	g.c, g.next, g.nextLn = winner, nil, nil
}

// settleWait is how long files must be the same to be read: guards against one that is
// being replaced, half of which may be good TOML.
const settleWait = 20 * time.Millisecond

// readTwice reads the files until two readings agree, with a pause between.
func readTwice(getenv func(string) string, pause func()) (platform, own []byte, name string, err error) {
	if platform, own, name, err = readFiles(getenv); err != nil {
		return nil, nil, "", err
	}
	for range 10 {
		pause()
		p, o, _, err := readFiles(getenv)
		if err != nil {
			return nil, nil, "", err
		}
		if bytes.Equal(p, platform) && bytes.Equal(o, own) {
			return platform, own, name, nil
		}
		platform, own = p, o
	}
	return nil, nil, "", errors.New("the files keep changing")
}

// reload takes the files up at a SIGHUP. The address of discovery is a fact and taken at
// once. With changes on, the rest is a proposal if it is new; else it is named.
func (g *changer) reload() {
	read := readFiles
	if g.on() {
		read = func(getenv func(string) string) ([]byte, []byte, string, error) {
			return readTwice(getenv, func() { time.Sleep(settleWait) })
		}
	}
	getenv := fileFirst(g.c.getenv)
	platform, own, name, err := read(getenv)
	var next *Config
	if err == nil {
		next, err = parse(platform, own, name, getenv)
	}
	if err != nil {
		g.fig.Read(false)
		slog.Error("new configuration not taken: the old one stays in force", "err", err)
		return
	}
	if next.discovery != g.c.discovery {
		slog.Info("discovery moves", "from", g.c.discovery, "to", next.discovery)
		g.c.discovery = next.discovery
		g.watcher.Move(next.discovery)
	}
	if !g.on() {
		g.tell(next)
	} else if err = g.reloadChange(next); err != nil {
		slog.Error("new configuration not taken: the old one stays in force", "err", err)
	}
	g.fig.Read(err == nil)
	slog.Info("configuration read again", "discovery", g.c.discovery)
}

// reloadChange proposes what the files say, if it is new.
func (g *changer) reloadChange(next *Config) error {
	sum, err := change.Sum(next.Document())
	if err != nil {
		return err
	}
	switch st := g.c.store.State(); st.Read(sum) {
	case history.Known:
		return nil
	case history.Rejected:
		slog.Warn("the files hold what was undone: it is taken by 'fawnctl config apply' only")
		return nil
	case history.Back:
		g.remember(g.c.store.See(sum))
		_, err := g.back("the files hold the one before again")
		return err
	case history.Waits:
		g.pending = true
		return fmt.Errorf("%w: %d; this one waits for its end", history.ErrBaking, st.Baking)
	}
	// What is refused stays new: a start takes it, and what refused it may be over by the
	// next SIGHUP.
	if _, err = g.propose(next, "SIGHUP", false); err == nil {
		g.remember(g.c.store.See(sum))
	}
	return err
}

// longest is the longest time that a client waits by any configuration that serves.
func (g *changer) longest() time.Duration {
	d := g.c.settings.Longest()
	if g.next != nil {
		d = max(d, g.next.settings.Longest())
	}
	return d
}

// tell names what a start would take, where changes are off.
func (g *changer) tell(next *Config) {
	plan, err := change.Compare(g.c.Document(), next.Document(), change.Use{})
	if err != nil {
		return
	}
	for _, ch := range plan.Changes {
		if ch.Field != "discovery" {
			slog.Warn("new configuration: not taken while running", "field", ch.Field, "old", ch.Old, "new", ch.New, "takes", ch.Takes)
		}
	}
	for _, r := range plan.Refusals {
		slog.Error("new configuration: weakens what runs", "err", r)
	}
}

// apply is what operators propose by the socket.
func (g *changer) apply(text []byte) (any, error) {
	var p Proposal
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("the proposal: %w", err)
	}
	platform, own := g.c.platform, g.c.own
	if len(p.Platform) > 0 {
		platform = p.Platform
	}
	if p.Features != nil {
		own = []byte(*p.Features)
	}
	next, err := parse(platform, own, "features", fileFirst(g.c.getenv))
	if err != nil {
		return nil, err
	}
	if p.Why == "" {
		p.Why = "by the operators' socket"
	}
	return g.propose(next, p.Why, p.Plan)
}

// back ends a trial at once. One that has nothing beside it goes back to what was kept
// before it by the same rules as any change: then the undo may be refused, and nothing is
// done.
func (g *changer) back(why string) (any, error) {
	if g.next != nil {
		g.settle(false, why)
		return g.status(), nil
	}
	good := g.c.store.State().Good
	next, err := g.remembered(good)
	if err != nil {
		return nil, err
	}
	_, refused, err := g.plan(next)
	if err == nil {
		err = errors.Join(refused...)
	}
	if err != nil {
		return nil, err
	}
	ln, err := g.stage(next)
	if err != nil {
		return nil, err
	}
	if err := g.begin(next, good, ln); err != nil {
		return nil, err
	}
	g.c.trial = false
	g.record(verdict{why: why})
	g.end(true)
	g.after()
	return g.status(), nil
}

// remembered is a configuration that the memory has.
func (g *changer) remembered(id history.ID) (*Config, error) {
	d, err := g.c.store.Documents(id)
	if err != nil {
		return nil, err
	}
	return g.c.revive(d)
}

// rollback ends a trial at once, or proposes the configuration that was kept before the
// one that runs, by the same rules as any other.
func (g *changer) rollback([]byte) (any, error) {
	if g.next != nil || g.c.trial {
		return g.back("by the operators")
	}
	id := g.c.store.State().Before
	if id == 0 {
		return nil, errors.New("there is no configuration before this one")
	}
	next, err := g.remembered(id)
	if err != nil {
		return nil, err
	}
	return g.propose(next, fmt.Sprintf("back to %d, by the operators", id), false)
}

// status is what operators see.
func (g *changer) status() *ChangeStatus {
	st := g.c.store.State()
	s := &ChangeStatus{Running: st.Good, Trial: st.Baking, Alone: g.c.trial, Bake: time.Duration(g.c.Features.Config.Bake).Seconds(),
		Pending: g.pending, Lasting: g.c.lasting, Problem: g.problem, Events: st.Events}
	if g.next != nil {
		r, _, since, _ := g.host.Rule()
		s.Since, s.Calls, s.Needed = since.Seconds(), r.Calls, r.Needed
	} else if g.c.trial {
		s.Since = time.Since(g.since).Seconds()
	}
	for _, t := range g.took {
		s.Switches = append(s.Switches, float64(t.Nanoseconds())/1e3)
	}
	return s
}

// pages and deeds are what the operators' socket has of changes, if they are on.
func (g *changer) pages(all map[string]func() any) map[string]admin.Deed {
	if !g.on() {
		return nil
	}
	all["config"] = func() any {
		v, err := g.ask(func() (any, error) { return g.status(), nil })
		if err != nil {
			return map[string]string{"problem": err.Error()}
		}
		return v
	}
	deed := func(do func([]byte) (any, error)) admin.Deed {
		return func(text []byte) (any, error) {
			return g.ask(func() (any, error) { return do(text) })
		}
	}
	return map[string]admin.Deed{"config/apply": deed(g.apply), "config/rollback": deed(g.rollback)}
}
