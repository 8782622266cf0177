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

// Status is the state of changes as operators see it.
type Status struct {
	Running  history.ID      `json:"running"`
	Trial    history.ID      `json:"trial,omitempty"`
	Alone    bool            `json:"alone,omitempty"` // on trial since before the start, without a configuration to compare it with
	Since    float64         `json:"since_s,omitempty"`
	Bake     float64         `json:"bake_s"`
	Calls    int             `json:"calls,omitempty"`  // calls of the configuration on trial so far
	Needed   int             `json:"needed,omitempty"` // calls that a verdict needs
	Pending  bool            `json:"pending,omitempty"`
	Lasting  bool            `json:"lasting"` // persisted across starts of the process
	Problem  string          `json:"problem,omitempty"`
	Events   []history.Event `json:"events"`
	Switches []float64       `json:"switch_us,omitempty"` // durations of the latest switches, at most 16
}

// Request is an operator's request, sent from the socket's goroutine.
type Request struct {
	run   func() (any, error)
	reply chan response
}

// Serve carries out the request and sends the response to its sender.
func (a Request) Serve() {
	v, err := a.run()
	a.reply <- response{v, err}
}

type response struct {
	value any
	err   error
}

// request runs a function in the goroutine that receives from Requests, and returns its
// result.
// It blocks until then, and returns an error if g is closed first.
func (g *Manager) request(do func() (any, error)) (any, error) {
	a := Request{do, make(chan response, 1)}
	select {
	case g.requests <- a:
	case <-g.done:
		return nil, errors.New("the daemon is stopping")
	}
	r := <-a.reply
	return r.value, r.err
}

// apply handles a proposal from the operators' socket.
func (g *Manager) apply(text []byte) (any, error) {
	var p Proposal
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("the proposal: %w", err)
	}
	platform, own := g.current.PlatformData, g.current.FeaturesData
	if len(p.Platform) > 0 {
		platform = p.Platform
	}
	if p.Features != nil {
		own = []byte(*p.Features)
	}
	next, err := config.Parse(platform, own, "features", config.PreferFile(g.current.Getenv))
	if err != nil {
		return nil, err
	}
	if p.Why == "" {
		p.Why = "by the operators' socket"
	}
	return g.propose(next, p.Why, p.Plan)
}

// endTrialNow undoes the change on trial at once. If the process started with it on trial,
// the way back to the good configuration is a change under the same rules as any other: it
// may be refused, and then nothing changes.
func (g *Manager) endTrialNow(why string) (any, error) {
	if g.trial != nil {
		g.finishTrial(false, why)
		return g.status(), nil
	}
	good := g.current.History.State().Good
	next, err := g.loadConfig(good)
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
	ln, err := g.openListener(next)
	if err != nil {
		return nil, err
	}
	if err := g.switchToTrial(next, good, ln); err != nil {
		return nil, err
	}
	g.current.OnTrial = false
	g.saveResult(trialResult{why: why})
	g.switchFromTrial(true)
	g.runPendingReload()
	return g.status(), nil
}

// loadConfig returns a configuration from the store.
func (g *Manager) loadConfig(id history.ID) (*config.Config, error) {
	d, err := g.current.History.Documents(id)
	if err != nil {
		return nil, err
	}
	return g.current.ParseStored(d)
}

// rollback undoes the change on trial at once. If there is no trial, it proposes the
// configuration that was kept before the current one, under the same rules as any other.
func (g *Manager) rollback([]byte) (any, error) {
	if g.trial != nil || g.current.OnTrial {
		return g.endTrialNow("by the operators")
	}
	id := g.current.History.State().Before
	if id == 0 {
		return nil, errors.New("there is no configuration before this one")
	}
	next, err := g.loadConfig(id)
	if err != nil {
		return nil, err
	}
	return g.propose(next, fmt.Sprintf("back to %d, by the operators", id), false)
}

// status returns the current Status.
func (g *Manager) status() *Status {
	st := g.current.History.State()
	s := &Status{Running: st.Good, Trial: st.Baking, Alone: g.current.OnTrial, Bake: time.Duration(g.current.Features.Config.TrialDuration).Seconds(),
		Pending: g.reloadPending, Lasting: g.current.IsPersistent, Problem: g.storeError, Events: st.Events}
	if g.trial != nil {
		r, _, since, _ := g.cores.TrialRuling()
		s.Since, s.Calls, s.Needed = since.Seconds(), r.Calls, r.Needed
	} else if g.current.OnTrial {
		s.Since = time.Since(g.startTime).Seconds()
	}
	for _, t := range g.switchTimes {
		s.Switches = append(s.Switches, float64(t.Nanoseconds())/1e3)
	}
	return s
}

// Pages adds the page "config" to all and returns the actions "config/apply" and
// "config/rollback" of the operators' socket. It does nothing if changes are off.
func (g *Manager) Pages(all map[string]func() any) map[string]admin.Action {
	if !g.Enabled() {
		return nil
	}
	all["config"] = func() any {
		v, err := g.request(func() (any, error) { return g.status(), nil })
		if err != nil {
			return map[string]string{"problem": err.Error()}
		}
		return v
	}
	action := func(do func([]byte) (any, error)) admin.Action {
		return func(text []byte) (any, error) {
			return g.request(func() (any, error) { return do(text) })
		}
	}
	return map[string]admin.Action{"config/apply": action(g.apply), "config/rollback": action(g.rollback)}
}
