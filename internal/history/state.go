// Package history remembers which configuration runs, which was the last good one and
// what became of the changes, so that a process that is killed at any point starts
// under the one or the other whole, and one that crashes again and again after a change
// comes up under the last good one.
package history

import (
	"errors"
	"fmt"
	"time"
)

// ID numbers a configuration, from 1; 0 is none.
type ID int

// Event is a line of the history.
type Event struct {
	At   time.Time
	ID   ID
	What string // applied, kept, undone, crashed, dropped
	Why  string
}

// State is what is remembered. Its methods return the next one and change nothing.
type State struct {
	Version int
	Last    ID // the highest number that was given out
	Good    ID // the last one that was kept
	Baking  ID // the one that is on trial; 0: none
	Before  ID // the good one before; 0: none, or it is gone
	Starts  int
	Events  []Event
	// Kept names what the good one says, Trying the one on trial, Undone the one that was
	// undone last: it is not tried again for being in a file.
	Kept, Trying, Undone string
	// Seen names what the files said when they were read last: only what differs from it
	// is a proposal.
	Seen string
}

const (
	stateVersion = 1
	// eventsMost bounds the history; the oldest go first.
	eventsMost = 100
	// whyMost bounds the reason of an event, in bytes.
	whyMost = 500
	// StartsMost is how often a configuration on trial may be started: one that has not
	// been kept by then is taken for the cause of the crashes.
	StartsMost = 3
)

// What is wrong with a step.
var (
	ErrBaking = errors.New("history: a change is on trial")
	ErrIdle   = errors.New("history: no change is on trial")
)

func (s State) note(at time.Time, id ID, what, why string) State {
	if len(why) > whyMost {
		why = why[:whyMost]
	}
	events := append(append([]Event(nil), s.Events...), Event{at, id, what, why})
	s.Events = events[max(0, len(events)-eventsMost):]
	return s
}

// Next is the number that a new configuration gets.
func (s State) Next() ID { return s.Last + 1 }

// Apply puts the configuration Next on trial, or, with none good yet, makes it the good
// one: there is nothing to go back to. sum names what it says.
func (s State) Apply(at time.Time, sum, why string) (State, error) {
	if s.Baking != 0 {
		return s, fmt.Errorf("%w: %d", ErrBaking, s.Baking)
	}
	s.Last++
	if s.Good == 0 {
		s.Good, s.Kept = s.Last, sum
		return s.note(at, s.Last, "kept", why), nil
	}
	s.Baking, s.Starts, s.Trying = s.Last, 0, sum
	return s.note(at, s.Last, "applied", why), nil
}

// Keep makes the one on trial the good one.
func (s State) Keep(at time.Time, why string) (State, error) { return s.end(at, "kept", why) }

// Drop goes back to the good one for the sake of another change: nothing was found
// against the one on trial.
func (s State) Drop(at time.Time, why string) (State, error) { return s.end(at, "dropped", why) }

// Undo goes back to the good one.
func (s State) Undo(at time.Time, why string) (State, error) { return s.end(at, "undone", why) }

func (s State) end(at time.Time, what, why string) (State, error) {
	if s.Baking == 0 {
		return s, ErrIdle
	}
	id := s.Baking
	switch what {
	case "kept":
		s.Good, s.Before, s.Kept = id, s.Good, s.Trying
		if s.Undone == s.Kept { // operators meant it after all
			s.Undone = ""
		}
	case "undone", "crashed":
		s.Undone = s.Trying
	}
	s.Baking, s.Starts, s.Trying = 0, 0, ""
	return s.note(at, id, what, why), nil
}

// Start is a start of the process: the state that must be remembered before anything
// else happens, and the configuration to run; 0: none is known. A change on trial is
// undone when it has been started StartsMost times before.
func (s State) Start(at time.Time) (State, ID) {
	if s.Baking == 0 {
		return s, s.Good
	}
	if s.Starts++; s.Starts > StartsMost {
		s, _ = s.end(at, "crashed", fmt.Sprintf("%d starts and no verdict", StartsMost))
		return s, s.Good
	}
	return s, s.Baking
}

// Reading is what becomes of what the files say.
type Reading int

const (
	// Known is what was read before, or runs: what operators applied since goes on.
	Known Reading = iota
	// Rejected is what was undone: it is not taken from a file again.
	Rejected
	// Back is the good one, while another is on trial: the trial ends.
	Back
	// Waits is new while another is on trial.
	Waits
	// New is a change to be tried.
	New
)

// Read says what becomes of files that say what sum names.
func (s State) Read(sum string) Reading {
	switch {
	case sum == s.Seen, sum == s.Trying && s.Baking != 0:
		return Known
	case sum == s.Kept && s.Baking != 0:
		return Back
	case sum == s.Kept:
		return Known
	case sum == s.Undone:
		return Rejected
	case s.Baking != 0:
		return Waits
	}
	return New
}

// check says whether a state that was read can be one.
func (s State) check() error {
	switch {
	case s.Version != stateVersion:
		return fmt.Errorf("history: version %d, not %d", s.Version, stateVersion)
	case s.Good < 0 || s.Baking < 0 || s.Before < 0 || s.Before > s.Last || s.Starts < 0 || s.Good > s.Last || s.Baking > s.Last || s.Baking != 0 && (s.Good == 0 || s.Good == s.Baking) || len(s.Events) > eventsMost:
		return errors.New("history: the state makes no sense")
	}
	return nil
}
