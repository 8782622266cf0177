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

// RecordUnsentRefusal reports to the trial a call that was refused before it arrived, by a queue in front
// of the Host.
func (h *Host) RecordUnsentRefusal(c *Call) {
	h.handleEvent(func(time.Duration) {
		h.generations.RecordFailure(c.Generation, c.Generation.Gen.Class(c.Class), configtrial.Refused)
	})
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
