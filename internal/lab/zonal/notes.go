// Package zonal simulates a fleet of evacuation machines in virtual time. It shows the effect of
// decisions of package evacuation over minutes in a fleet of any size, and is deterministic for a
// seed.
package zonal

import (
	"math/rand/v2"
	"time"

	"chalkrack/internal/evacuation"
	"chalkrack/internal/lab/virtual"
)

// Limits of notes, as package duty has them by default.
const (
	notesPerSecond    = 4    // to random peers
	maxNotesPerSecond = 20.0 // a burst may have twice as many
	maxNoteBytes      = 150  // space for zones in a note
	minTransitTime    = 1400 * time.Microsecond
	transitTimeRange  = 32600 * time.Microsecond // a random part of it is added to minTransitTime
)

// NoteNetwork simulates the network that carries notes between machines, with the limits of package
// duty.
type NoteNetwork struct {
	Clock            *virtual.Clock
	Rand             *rand.Rand
	LossRate         float64                 // share of notes that are lost
	ExtraDelay       time.Duration           // additional transit time
	IsReachable      func(from, to int) bool // whether a note arrives; nil: always
	OnHopeless       func(n int, l []uint64) // receives the tickets of attempts that machine n gives up; nil: ignored
	OnUsesChanged    func(n int)             // called when the zones that machine n uses have changed; nil: ignored
	NoteCount        int                     // notes sent
	NoteBytes        int                     // total length of the notes' parts for zones
	MaxNotesInSecond int                     // maximum number of regular notes of one machine in one second
	senders          []*sender
}

// sender is the sender state of one incarnation of a sidecar.
type sender struct {
	machine         *evacuation.Machine
	incarnation     uint64
	stopped         bool
	tokens          float64
	refilledAt      time.Duration
	notesThisSecond int // notes sent in the current second
}

// SetMachine sets the machine of sidecar n and starts a new incarnation of it. A nil machine stands
// for a dead process.
func (s *NoteNetwork) SetMachine(n int, m *evacuation.Machine) {
	for len(s.senders) <= n {
		s.senders = append(s.senders, &sender{})
	}
	current := &sender{machine: m, incarnation: s.senders[n].incarnation + 1, tokens: 2 * maxNotesPerSecond, refilledAt: s.Clock.Now}
	s.senders[n] = current
	if m == nil {
		return
	}
	isCurrent := func() bool { return s.senders[n] == current }
	var tick, sendNotes func()
	tick = func() {
		next := 100 * time.Millisecond
		if !isCurrent() {
			return
		}
		if !current.stopped {
			out := m.Tick(s.Clock.Now)
			s.Execute(n, out)
			next = out.NextTick
		}
		s.Clock.After(next, tick)
	}
	sendNotes = func() {
		if !isCurrent() {
			return
		}
		for range notesPerSecond {
			s.SendNote(n, s.randomOther(n))
		}
		s.MaxNotesInSecond, current.notesThisSecond = max(s.MaxNotesInSecond, current.notesThisSecond), 0
		s.Clock.After(time.Second, sendNotes)
	}
	s.Clock.After(time.Duration(s.Rand.Int64N(int64(100*time.Millisecond))), tick)
	s.Clock.After(time.Duration(s.Rand.Int64N(int64(time.Second))), sendNotes)
}

// SetStopped suspends or resumes sidecar n. A suspended sidecar does nothing, and notes to it wait.
func (s *NoteNetwork) SetStopped(n int, stopped bool) { s.senders[n].stopped = stopped }

// randomOther returns the number of a random sidecar other than n, or n if there is none.
func (s *NoteNetwork) randomOther(n int) int {
	if len(s.senders) < 2 {
		return n
	}
	o := s.Rand.IntN(len(s.senders) - 1)
	if o >= n {
		o++
	}
	return o
}

// Execute carries out the actions that the machine of sidecar n has returned.
func (s *NoteNetwork) Execute(n int, out evacuation.Output) {
	for _, to := range out.Recipients {
		s.SendNote(n, to)
	}
	for range out.RandomNotes {
		s.SendNote(n, s.randomOther(n))
	}
	if s.OnHopeless != nil && len(out.HopelessAttempts) > 0 {
		s.OnHopeless(n, out.HopelessAttempts)
	}
	if s.OnUsesChanged != nil && out.UsesChanged {
		s.OnUsesChanged(n)
	}
}

// SendNote sends a note from sidecar n to another if its rate limit allows it.
func (s *NoteNetwork) SendNote(n, to int) {
	from := s.senders[n]
	from.tokens = min(2*maxNotesPerSecond, from.tokens+maxNotesPerSecond*(s.Clock.Now-from.refilledAt).Seconds())
	from.refilledAt = s.Clock.Now
	if n == to || from.machine == nil || from.stopped || from.tokens < 1 {
		return
	}
	part := from.machine.EncodeNote(s.Clock.Now, maxNoteBytes)
	if part == nil {
		return
	}
	from.tokens--
	from.notesThisSecond++
	s.NoteCount++
	s.NoteBytes += len(part)
	if s.Rand.Float64() < s.LossRate || s.IsReachable != nil && !s.IsReachable(n, to) {
		return
	}
	s.Clock.After(s.ExtraDelay+minTransitTime+time.Duration(s.Rand.Int64N(int64(transitTimeRange))), func() { s.DeliverNote(n, to, from.incarnation, part) })
}

// resumeCheckInterval is the interval at which events for a suspended process are retried.
const resumeCheckInterval = 50 * time.Millisecond

// DeliverNote passes a note from an incarnation of a sidecar to another sidecar.
func (s *NoteNetwork) DeliverNote(from, to int, incarnation uint64, part []byte) {
	switch p := s.senders[to]; {
	case p.machine == nil:
	case p.stopped:
		s.Clock.After(resumeCheckInterval, func() { s.DeliverNote(from, to, incarnation, part) })
	default:
		s.Execute(to, p.machine.ReceiveNote(s.Clock.Now, from, incarnation, part))
	}
}

// Incarnation returns the current incarnation of sidecar n.
func (s *NoteNetwork) Incarnation(n int) uint64 { return s.senders[n].incarnation }
