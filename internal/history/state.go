// Package history persists which configuration runs, which was the last good one and how
// each change ended. A process that is killed at any point starts again with either the old
// or the new configuration, never a mixture, and a process that crashes repeatedly after a
// change starts with the last good one.
package history

import (
	"errors"
	"fmt"
	"time"
)

// ID is the number of a configuration, from 1; 0 means none.
type ID int

// Event is one entry of the history.
type Event struct {
	At   time.Time
	ID   ID
	What string // applied, kept, undone, crashed, dropped
	Why  string
}

// State is the persisted state. Its methods return the next state and do not change the
// receiver.
type State struct {
	Version int
	Last    ID  // the highest number assigned so far
	Good    ID  // the configuration that was kept last
	Baking  ID  // the configuration on trial; 0 if none
	Before  ID  // the good configuration before Good; 0 if there is none
	Starts  int // process starts under the configuration on trial
	Events  []Event
	// Kept is the hash of the good configuration, Trying of the one on trial, Undone of
	// the one that was undone last, which is not tried again just because a file has it.
	Kept, Trying, Undone string
	// Seen is the hash of the files when they were last read. Only files with another hash
	// are a proposal.
	Seen string
}

const (
	stateVersion = 1
	// maxEvents bounds the history; the oldest events are dropped.
	maxEvents = 100
	// maxReasonBytes is the maximum length of an event's reason; longer ones are cut.
	maxReasonBytes = 500
	// MaxTrialStarts is the maximum number of process starts under a configuration on
	// trial. One that has not been kept by then is assumed to cause the crashes.
	MaxTrialStarts = 3
)

// Errors of steps that the state does not allow.
var (
	ErrOnTrial = errors.New("history: a change is on trial")
	ErrNoTrial = errors.New("history: no change is on trial")
)

func (s State) addEvent(at time.Time, id ID, what, why string) State {
	if len(why) > maxReasonBytes {
		why = why[:maxReasonBytes]
	}
	events := append(append([]Event(nil), s.Events...), Event{at, id, what, why})
	s.Events = events[max(0, len(events)-maxEvents):]
	return s
}

// Next returns the number of the next new configuration.
func (s State) Next() ID { return s.Last + 1 }

// Apply puts the configuration with number Next on trial. If there is no good configuration
// yet, it becomes the good one at once, because there is none to go back to. sum is its
// hash. It returns ErrOnTrial during a trial.
func (s State) Apply(at time.Time, sum, why string) (State, error) {
	if s.Baking != 0 {
		return s, fmt.Errorf("%w: %d", ErrOnTrial, s.Baking)
	}
	s.Last++
	if s.Good == 0 {
		s.Good, s.Kept = s.Last, sum
		return s.addEvent(at, s.Last, "kept", why), nil
	}
	s.Baking, s.Starts, s.Trying = s.Last, 0, sum
	return s.addEvent(at, s.Last, "applied", why), nil
}

// Keep ends the trial and makes the configuration on trial the good one. It returns
// ErrNoTrial if there is no trial.
func (s State) Keep(at time.Time, why string) (State, error) { return s.endTrial(at, "kept", why) }

// Drop ends the trial and goes back to the good configuration to make way for another
// change. It does not mark the configuration on trial as undone. It returns ErrNoTrial if
// there is no trial.
func (s State) Drop(at time.Time, why string) (State, error) { return s.endTrial(at, "dropped", why) }

// Undo ends the trial, goes back to the good configuration and marks the one on trial as
// undone. It returns ErrNoTrial if there is no trial.
func (s State) Undo(at time.Time, why string) (State, error) { return s.endTrial(at, "undone", why) }

func (s State) endTrial(at time.Time, what, why string) (State, error) {
	if s.Baking == 0 {
		return s, ErrNoTrial
	}
	id := s.Baking
	switch what {
	case "kept":
		s.Good, s.Before, s.Kept = id, s.Good, s.Trying
		if s.Undone == s.Kept { // operators applied it again and it was kept
			s.Undone = ""
		}
	case "undone", "crashed":
		s.Undone = s.Trying
	}
	s.Baking, s.Starts, s.Trying = 0, 0, ""
	return s.addEvent(at, id, what, why), nil
}

// Start returns the state after a start of the process, which the caller must persist
// before anything else, and the configuration to run, 0 if there is none. It undoes a
// change on trial that has been started MaxTrialStarts times before.
func (s State) Start(at time.Time) (State, ID) {
	if s.Baking == 0 {
		return s, s.Good
	}
	if s.Starts++; s.Starts > MaxTrialStarts {
		s, _ = s.endTrial(at, "crashed", fmt.Sprintf("%d starts and no verdict", MaxTrialStarts))
		return s, s.Good
	}
	return s, s.Baking
}

// FileStatus says how the content of the configuration files is handled.
type FileStatus int

const (
	// FilesKnown means that the files were read before or hold what runs. They change nothing, so
	// that what operators have applied since stays in force.
	FilesKnown FileStatus = iota
	// FilesRejected means that the files hold what was undone, which is not taken from a file
	// again.
	FilesRejected
	// FilesRevert means that the files hold the good configuration while another is on trial. The
	// trial ends.
	FilesRevert
	// FilesWaiting means that the files hold a new configuration while another is on trial.
	FilesWaiting
	// FilesNew means that the files hold a change to be tried.
	FilesNew
)

// Read returns how files whose content has the hash sum are handled.
func (s State) Read(sum string) FileStatus {
	switch {
	case sum == s.Seen, sum == s.Trying && s.Baking != 0:
		return FilesKnown
	case sum == s.Kept && s.Baking != 0:
		return FilesRevert
	case sum == s.Kept:
		return FilesKnown
	case sum == s.Undone:
		return FilesRejected
	case s.Baking != 0:
		return FilesWaiting
	}
	return FilesNew
}

// validate returns an error if a state that was read has another version or is
// inconsistent.
func (s State) validate() error {
	switch {
	case s.Version != stateVersion:
		return fmt.Errorf("history: state has version %d, want %d", s.Version, stateVersion)
	case s.Good < 0 || s.Baking < 0 || s.Before < 0 || s.Before > s.Last || s.Starts < 0 || s.Good > s.Last || s.Baking > s.Last || s.Baking != 0 && (s.Good == 0 || s.Good == s.Baking) || len(s.Events) > maxEvents:
		return errors.New("history: the state is inconsistent: a number is out of range, or there are too many events")
	}
	return nil
}
