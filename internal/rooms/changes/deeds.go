package changes

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/config"
	"chalkrack/internal/history"
)

// Status is what operators see of changes.
type Status struct {
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

// Ask is something that operators ask for, from the socket's goroutine.
type Ask struct {
	do    func() (any, error)
	reply chan answered
}

// Answer does it, and tells who has asked.
func (a Ask) Answer() {
	v, err := a.do()
	a.reply <- answered{v, err}
}

type answered struct {
	v   any
	err error
}

// ask has something done in Run's goroutine.
func (g *Changes) ask(do func() (any, error)) (any, error) {
	a := Ask{do, make(chan answered, 1)}
	select {
	case g.asks <- a:
	case <-g.done:
		return nil, errors.New("the daemon is stopping")
	}
	r := <-a.reply
	return r.v, r.err
}

// apply is what operators propose by the socket.
func (g *Changes) apply(text []byte) (any, error) {
	var p Proposal
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("the proposal: %w", err)
	}
	platform, own := g.c.Platform, g.c.Own
	if len(p.Platform) > 0 {
		platform = p.Platform
	}
	if p.Features != nil {
		own = []byte(*p.Features)
	}
	next, err := config.Parse(platform, own, "features", config.FileFirst(g.c.Getenv))
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
func (g *Changes) back(why string) (any, error) {
	if g.next != nil {
		g.settle(false, why)
		return g.status(), nil
	}
	good := g.c.Store.State().Good
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
	g.c.Trial = false
	g.record(verdict{why: why})
	g.end(true)
	g.after()
	return g.status(), nil
}

// remembered is a configuration that the memory has.
func (g *Changes) remembered(id history.ID) (*config.Config, error) {
	d, err := g.c.Store.Documents(id)
	if err != nil {
		return nil, err
	}
	return g.c.Revive(d)
}

// rollback ends a trial at once, or proposes the configuration that was kept before the
// one that runs, by the same rules as any other.
func (g *Changes) rollback([]byte) (any, error) {
	if g.next != nil || g.c.Trial {
		return g.back("by the operators")
	}
	id := g.c.Store.State().Before
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
func (g *Changes) status() *Status {
	st := g.c.Store.State()
	s := &Status{Running: st.Good, Trial: st.Baking, Alone: g.c.Trial, Bake: time.Duration(g.c.Features.Config.Bake).Seconds(),
		Pending: g.pending, Lasting: g.c.Lasting, Problem: g.problem, Events: st.Events}
	if g.next != nil {
		r, _, since, _ := g.host.Rule()
		s.Since, s.Calls, s.Needed = since.Seconds(), r.Calls, r.Needed
	} else if g.c.Trial {
		s.Since = time.Since(g.since).Seconds()
	}
	for _, t := range g.took {
		s.Switches = append(s.Switches, float64(t.Nanoseconds())/1e3)
	}
	return s
}

// Pages has the pages and deeds that are what the operators' socket has of changes, if they are on.
func (g *Changes) Pages(all map[string]func() any) map[string]admin.Deed {
	if !g.On() {
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
