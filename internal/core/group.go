package core

import (
	"errors"
	"fmt"
	"time"

	"chalkrack"
	"chalkrack/internal/configtrial"
	"chalkrack/internal/generation"
)

// Group is the set of Hosts of a process. They change their configuration together: a change that one
// of them can't take applies to none. The methods must not be called concurrently.
type Group struct {
	hosts []*Host
	judge *generation.Judge // of the trial that is on; nil: none
	began time.Duration     // when that trial began, by the first host's time
}

// NewGroup returns a Group of at least one Host. All of them have to serve under the same
// configuration, with the differences that are their own.
func NewGroup(hosts ...*Host) *Group { return &Group{hosts: hosts} }

// StartTrial starts a trial of a configuration at all Hosts: next has the generation of each one, in
// their order. The Balancers keep everything that they have learned, and calls in progress keep their
// generation. On an error nothing changes.
func (g *Group) StartTrial(next []*generation.Generation, cfg configtrial.Config, seed uint64) error {
	changes := make([]*generation.Change, len(g.hosts))
	for n, h := range g.hosts {
		var err error
		if changes[n], err = h.prepareTrial(next[n]); err != nil {
			return err
		}
		cfg.Classes = max(cfg.Classes, changes[n].ClassCount())
	}
	judge, err := generation.NewJudge(cfg)
	if err != nil {
		return err
	}
	g.judge, g.began = judge, g.hosts[0].now()
	for n, h := range g.hosts {
		h.beginTrial(changes[n], judge, cfg.Share, seed+uint64(n))
	}
	g.publishViews()
	return nil
}

// publishViews makes the generations of all Hosts apply to the calls that arrive from now on.
func (g *Group) publishViews() {
	for _, h := range g.hosts {
		h.publishView()
	}
}

// TrialRuling returns the ruling on the trial so far, the name of the class that weighs most in it,
// and for how long the trial has run. It returns generation.ErrIdle if there is no trial.
func (g *Group) TrialRuling() (ruling configtrial.Result, class string, since time.Duration, err error) {
	if g.judge == nil {
		return ruling, "", 0, generation.ErrIdle
	}
	first := g.hosts[0]
	since = first.now() - g.began
	ruling = g.judge.Evaluate(since)
	return ruling, first.className(ruling.Class), since, nil
}

// EndTrial ends the trial at all Hosts. With keep, the new generation serves all later calls, otherwise
// the previous one does. It returns generation.ErrIdle if there is no trial.
func (g *Group) EndTrial(keep bool) error {
	if g.judge == nil {
		return generation.ErrIdle
	}
	g.judge = nil
	var failed []error
	rules := make([]chalkrack.Config, len(g.hosts))
	for n, h := range g.hosts {
		var err error
		rules[n], err = h.endTrial(keep)
		failed = append(failed, err)
	}
	g.publishViews()
	for n, h := range g.hosts { // the rules of both apply until no call is given the other generation
		failed = append(failed, h.setRules(rules[n]))
	}
	return errors.Join(failed...)
}

// prepareTrial checks a generation as the next one, without a change.
func (h *Host) prepareTrial(next *generation.Generation) (change *generation.Change, err error) {
	h.handleEvent(func(time.Duration) { change, err = h.generations.Prepare(next) })
	return change, err
}

// beginTrial begins the trial of a change; publishView has to follow.
func (h *Host) beginTrial(change *generation.Change, judge *generation.Judge, share float64, seed uint64) {
	h.handleEvent(func(time.Duration) {
		rules := h.generations.BeginTrial(change, judge, share, seed)
		if err := h.balancer.SetConfig(rules); err != nil { // the rules of both were checked
			h.log().Error("the rules of a trial were not taken", "err", err)
		}
	})
}

// endTrial ends the trial and returns the rules for setRules; publishView has to follow.
func (h *Host) endTrial(keep bool) (rules chalkrack.Config, err error) {
	h.handleEvent(func(time.Duration) { rules, err = h.generations.EndTrial(keep) })
	return rules, err
}

// setRules replaces the rules for what calls of all generations share.
func (h *Host) setRules(rules chalkrack.Config) (err error) {
	h.handleEvent(func(time.Duration) { err = h.balancer.SetConfig(rules) })
	if err != nil {
		return fmt.Errorf("core: rules: %w", err)
	}
	return nil
}

// publishView makes the generations that take calls known to Stamp.
func (h *Host) publishView() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generationView.Store(h.generations.View())
}

// className returns the name of a class by its index.
func (h *Host) className(index int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generations.Classes()[index]
}
