package core

import (
	"time"

	"chalkrack/internal/configtrial"
	"chalkrack/internal/generation"
)

// Stamp returns the configuration generation for a call that begins to arrive. It applies to
// the call until its end. Stamp takes no lock.
func (h *Host) Stamp() generation.Stamp {
	view := h.generationView.Load()
	if view.Next == nil {
		return view.Stamp(0)
	}
	return view.Stamp(h.stampCount.Add(1))
}

// Route returns a stamp for a call, the class that the call's path names, and whether the
// stamp's generation defines that class.
func (h *Host) Route(path string) (class string, under generation.Stamp, known bool) {
	under = h.Stamp()
	class = under.Gen.ClassOfPath(path)
	if under.Gen.Class(class) >= 0 {
		return class, under, true
	}
	if h.generationView.Load().Next != nil {
		h.handleEvent(func(time.Duration) { h.generations.RecordUnknownClass(under, class) })
	}
	return class, under, false
}

// Generations returns the configuration generations that currently take calls.
func (h *Host) Generations() *generation.View { return h.generationView.Load() }

// StartTrial starts a trial of next beside the current generation, atomically. The Balancer keeps
// everything that it has learned, and calls in progress keep their generation. On an error
// nothing changes.
func (h *Host) StartTrial(next *generation.Generation, cfg configtrial.Config, seed uint64) (err error) {
	h.handleEvent(func(now time.Duration) {
		rules, e := h.generations.BeginTrial(now, next, cfg, seed)
		if err = e; err == nil {
			if err = h.balancer.SetConfig(rules); err != nil {
				h.generations.EndTrial(false)
			}
		}
		h.generationView.Store(h.generations.View())
	})
	return err
}

// TrialRuling returns the ruling on the trial so far, the name of the class that weighs most in it,
// and for how long the trial has run. It returns an error if there is no trial.
func (h *Host) TrialRuling() (ruling configtrial.Result, class string, since time.Duration, err error) {
	h.handleEvent(func(now time.Duration) {
		if ruling, since, err = h.generations.Evaluate(now); err == nil {
			class = h.generations.Classes()[ruling.Class]
		}
	})
	return ruling, class, since, err
}

// EndTrial ends the trial, atomically. With keep, the new generation serves all later calls,
// otherwise the previous one does. It returns an error if there is no trial.
func (h *Host) EndTrial(keep bool) (err error) {
	h.handleEvent(func(time.Duration) {
		rules, e := h.generations.EndTrial(keep)
		if err = e; err == nil {
			err = h.balancer.SetConfig(rules)
		}
		h.generationView.Store(h.generations.View())
	})
	return err
}

// recordInTrial reports to the trial how a call ended for its client. A call whose client left
// within the aim is not counted, as it says nothing about either generation.
func (h *Host) recordInTrial(now time.Duration, call *callState, end string) {
	if call.details == nil {
		return
	}
	late := call.class != nil && now-call.arrivedAt > call.class.Aim
	switch {
	case end == "failed":
		h.generations.RecordFailure(call.details.Generation, call.classIndex, configtrial.Failed)
	case end == "refused":
		h.generations.RecordFailure(call.details.Generation, call.classIndex, configtrial.Refused)
	case late:
		h.generations.RecordFailure(call.details.Generation, call.classIndex, configtrial.Late)
	case end == "served":
		h.generations.RecordSuccess(call.details.Generation)
	}
}
