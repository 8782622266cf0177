package core

import (
	"time"

	"chalkrack/internal/bake"
	"chalkrack/internal/generation"
)

// Stamp gives a call that begins to come the generation that it lives under to its end.
// It takes no lock.
func (h *Host) Stamp() generation.Stamp {
	v := h.view.Load()
	if v.Next == nil {
		return v.Stamp(0)
	}
	return v.Stamp(h.stamps.Add(1))
}

// Route stamps a call by its path, and says which class that names and whether the
// call's generation knows it.
func (h *Host) Route(path string) (class string, under generation.Stamp, known bool) {
	under = h.Stamp()
	class = under.Gen.ClassOfPath(path)
	if under.Gen.Class(class) >= 0 {
		return class, under, true
	}
	if h.view.Load().Next != nil {
		h.locked(func(time.Duration) { h.gens.Unknown(under, class) })
	}
	return class, under, false
}

// Generations are who takes calls now.
func (h *Host) Generations() *generation.View { return h.view.Load() }

// Try puts a generation on trial beside the one that serves, in one step. Everything
// that was learned goes over, and calls under way stay as they are. An error leaves all
// as it was.
func (h *Host) Try(next *generation.Generation, cfg bake.Config, seed uint64) (err error) {
	h.locked(func(now time.Duration) {
		rules, e := h.gens.Begin(now, next, cfg, seed)
		if err = e; err == nil {
			if err = h.b.Adopt(rules); err != nil {
				h.gens.End(false)
			}
		}
		h.view.Store(h.gens.View())
	})
	return err
}

// Rule is the judge's ruling on the trial so far, the class that weighs most by name,
// and for how long the trial has been on.
func (h *Host) Rule() (r bake.Ruling, class string, since time.Duration, err error) {
	h.locked(func(now time.Duration) {
		if r, since, err = h.gens.Rule(now); err == nil {
			class = h.gens.Classes()[r.Class]
		}
	})
	return r, class, since, err
}

// Settle ends the trial, in one step: with keep the new generation serves from now on,
// else the one before.
func (h *Host) Settle(keep bool) (err error) {
	h.locked(func(time.Duration) {
		rules, e := h.gens.End(keep)
		if err = e; err == nil {
			err = h.b.Adopt(rules)
		}
		h.view.Store(h.gens.View())
	})
	return err
}

// judged tells the trial how a call ended for its client. One that left within its aim
// says nothing of either generation.
func (h *Host) judged(now time.Duration, q *call, how string) {
	if q.c == nil {
		return
	}
	late := q.class != nil && now-q.came > q.class.Aim
	switch {
	case how == "failed":
		h.gens.Bad(q.c.Under, q.at, bake.Failed)
	case how == "refused":
		h.gens.Bad(q.c.Under, q.at, bake.Refused)
	case late:
		h.gens.Bad(q.c.Under, q.at, bake.Late)
	case how == "served":
		h.gens.Good(q.c.Under)
	}
}
