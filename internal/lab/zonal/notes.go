// Package zonal is a fleet of zones' machines in virtual time: what a decision of package
// evacuation does over minutes, for any size, the same on every run.
package zonal

import (
	"math/rand/v2"
	"time"

	"chalkrack/internal/evacuation"
	"chalkrack/internal/lab/virtual"
)

// What package duty does with notes by default: so many a second to peers that are drawn,
// so many at the most, and with what it had saved up for as long again.
const (
	notesEach = 4
	notesMost = 20.0
	noteRoom  = 150
	delayMin  = 1400 * time.Microsecond
	delayMore = 32600 * time.Microsecond
)

// Notes carries what machines tell one another, as package duty does.
type Notes struct {
	Clock *virtual.Clock
	Rand  *rand.Rand
	Loss  float64                 // the share of notes that never come
	Late  time.Duration           // that notes take longer
	Hears func(from, to int) bool // nil: all hear each other
	Lost  func(n int, l []uint64) // takes the attempts that a machine gives up; nil: nobody does
	Moved func(n int)             // is told that what a machine uses has changed; nil: nobody is
	Count int                     // of notes
	Bytes int                     // of their parts for zones
	Most  int                     // notes of one machine in one second
	all   []*speaker
}

// speaker is one sidecar's machine, in one of its starts.
type speaker struct {
	m       *evacuation.Machine
	inc     uint64
	stopped bool
	room    float64
	roomAt  time.Duration
	told    int // since the last second began
}

// Put has the n-th sidecar speak by a machine from now on, in a new start of its own. nil: it
// is dead.
func (s *Notes) Put(n int, m *evacuation.Machine) {
	for len(s.all) <= n {
		s.all = append(s.all, &speaker{})
	}
	p := &speaker{m: m, inc: s.all[n].inc + 1, room: 2 * notesMost, roomAt: s.Clock.Now}
	s.all[n] = p
	if m == nil {
		return
	}
	lives := func() bool { return s.all[n] == p }
	var tick, tell func()
	tick = func() {
		next := 100 * time.Millisecond
		if !lives() {
			return
		}
		if !p.stopped {
			out := m.Tick(s.Clock.Now)
			s.Carry(n, out)
			next = out.NextTick
		}
		s.Clock.After(next, tick)
	}
	tell = func() {
		if !lives() {
			return
		}
		for range notesEach {
			s.Send(n, s.other(n))
		}
		s.Most, p.told = max(s.Most, p.told), 0
		s.Clock.After(time.Second, tell)
	}
	s.Clock.After(time.Duration(s.Rand.Int64N(int64(100*time.Millisecond))), tick)
	s.Clock.After(time.Duration(s.Rand.Int64N(int64(time.Second))), tell)
}

// Stop has the n-th sidecar stopped, or go on: meanwhile it does nothing, and what comes for
// it waits.
func (s *Notes) Stop(n int, stopped bool) { s.all[n].stopped = stopped }

// other draws another than n, or n where there is none.
func (s *Notes) other(n int) int {
	if len(s.all) < 2 {
		return n
	}
	o := s.Rand.IntN(len(s.all) - 1)
	if o >= n {
		o++
	}
	return o
}

// Carry does what a machine wants.
func (s *Notes) Carry(n int, out evacuation.Output) {
	for _, to := range out.Recipients {
		s.Send(n, to)
	}
	for range out.RandomNotes {
		s.Send(n, s.other(n))
	}
	if s.Lost != nil && len(out.HopelessAttempts) > 0 {
		s.Lost(n, out.HopelessAttempts)
	}
	if s.Moved != nil && out.UsesChanged {
		s.Moved(n)
	}
}

// Send sends a note, where the budget has room.
func (s *Notes) Send(n, to int) {
	p := s.all[n]
	p.room = min(2*notesMost, p.room+notesMost*(s.Clock.Now-p.roomAt).Seconds())
	p.roomAt = s.Clock.Now
	if n == to || p.m == nil || p.stopped || p.room < 1 {
		return
	}
	b := p.m.Note(s.Clock.Now, noteRoom)
	if b == nil {
		return
	}
	p.room--
	p.told++
	s.Count++
	s.Bytes += len(b)
	if s.Rand.Float64() < s.Loss || s.Hears != nil && !s.Hears(n, to) {
		return
	}
	s.Clock.After(s.Late+delayMin+time.Duration(s.Rand.Int64N(int64(delayMore))), func() { s.Deliver(n, to, p.inc, b) })
}

// waitEach is how often what waits for a stopped process is looked at.
const waitEach = 50 * time.Millisecond

// Deliver brings a note of a start of one sidecar's to another.
func (s *Notes) Deliver(from, to int, inc uint64, b []byte) {
	switch p := s.all[to]; {
	case p.m == nil:
	case p.stopped:
		s.Clock.After(waitEach, func() { s.Deliver(from, to, inc, b) })
	default:
		s.Carry(to, p.m.ReceiveNote(s.Clock.Now, from, inc, b))
	}
}

// Start is the count of the n-th sidecar's starts.
func (s *Notes) Start(n int) uint64 { return s.all[n].inc }
