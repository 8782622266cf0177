package pools

import (
	"sync"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/queue"
)

// queued is a pool's calls before they come to its core: those that find no place wait
// here. It is the front's Handler in the core's place, and stands between the core and
// each call's Caller to see it end.
type queued struct {
	front.Handler
	worth func(class string) float64
	wait  func(c *core.Call) time.Duration // how long a call may take from Received on
	most  time.Duration                    // that clients are told to wait

	start time.Time
	mu    sync.Mutex
	q     *queue.Queue
	last  queue.ID
	lot   map[queue.ID]*ticket // that wait
	of    map[*core.Call]*ticket
	timer *time.Timer
}

// ticket is one call's stay: its place is free when the core needs nothing more of it and
// a long answer has ended. Then it is forgotten.
type ticket struct {
	core.Caller
	q    *queued
	id   queue.ID
	c    *core.Call
	mu   sync.Mutex
	left int // of the two, what still holds the place
}

func newQueued(h front.Handler, l queue.Limits, worth func(string) float64, wait func(*core.Call) time.Duration, most time.Duration) (*queued, error) {
	q, err := queue.New(l)
	if err != nil {
		return nil, err
	}
	s := &queued{Handler: h, worth: worth, wait: wait, most: most, start: time.Now(), q: q, lot: make(map[queue.ID]*ticket), of: make(map[*core.Call]*ticket)}
	s.timer = time.AfterFunc(time.Hour, s.ring)
	s.timer.Stop()
	return s, nil
}

func (s *queued) now() time.Duration { return time.Since(s.start) }

// Arrive implements front.Handler.
func (s *queued) Arrive(c *core.Call) {
	s.mu.Lock()
	s.last++
	t := &ticket{Caller: c.Caller, q: s, id: s.last, c: c, left: 1}
	until := c.Received.Add(s.wait(c)).Sub(s.start)
	// One whose body is not kept can't wait: its client is sending it.
	patient := c.Limits == nil || c.Limits.Coming == 0
	v, change := s.q.Arrive(s.now(), t.id, s.worth(c.Class), until, patient)
	if v != queue.Go { // also one that is refused: all who are told are found here
		s.lot[t.id] = t
	}
	s.of[c] = t
	c.Caller = t
	s.mu.Unlock()
	s.carry(change)
	if v == queue.Go {
		s.Handler.Arrive(c)
	}
}

// carry does what the queue decided, and sets the timer anew.
func (s *queued) carry(c queue.Change) {
	s.mu.Lock()
	went := make([]*ticket, 0, len(c.Went))
	for _, id := range c.Went {
		went = append(went, s.lot[id])
		delete(s.lot, id)
	}
	refused := make([]*ticket, 0, len(c.Refused))
	for _, r := range c.Refused {
		t := s.lot[r.ID]
		refused = append(refused, t)
		delete(s.lot, r.ID)
		delete(s.of, t.c)
	}
	if at := s.q.Next(); at > 0 {
		s.timer.Reset(max(at-s.now(), 0))
	}
	s.mu.Unlock()
	for _, t := range went {
		// Of its own: one that the core ends at once frees its place, and so would call
		// the next from within, as deep as the line is long.
		go s.Handler.Arrive(t.c)
	}
	for n, t := range refused {
		t.Caller.Refuse(min(c.Refused[n].After, s.most), true)
		t.Caller.Release()
	}
}

func (s *queued) ring() {
	s.mu.Lock()
	change, _ := s.q.Expire(s.now())
	s.mu.Unlock()
	s.carry(change)
}

// Gone implements front.Handler.
func (s *queued) Gone(c *core.Call) bool {
	s.mu.Lock()
	t := s.of[c]
	waits := t != nil && s.lot[t.id] != nil
	if waits {
		delete(s.lot, t.id)
		delete(s.of, c)
		s.q.Leave(s.now(), t.id)
	}
	s.mu.Unlock()
	if !waits {
		return s.Handler.Gone(c)
	}
	t.Caller.Release()
	return true
}

// stop refuses what waits: the process ends, and another takes it.
func (s *queued) stop() {
	s.mu.Lock()
	s.timer.Stop()
	change := s.q.Stop()
	s.mu.Unlock()
	s.carry(change)
}

func (s *queued) view() queue.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.q.View()
}

// free gives one of the two that hold the place back, and the place with the last.
func (t *ticket) free() {
	t.mu.Lock()
	t.left--
	last := t.left == 0
	t.mu.Unlock()
	if !last {
		return
	}
	s := t.q
	s.mu.Lock()
	delete(s.of, t.c)
	change := s.q.Leave(s.now(), t.id)
	s.mu.Unlock()
	s.carry(change)
}

// Release implements core.Caller.
func (t *ticket) Release() {
	t.Caller.Release()
	t.free()
}

// Stream implements core.Caller.
func (t *ticket) Stream(answer any, abort func()) core.Stream {
	t.mu.Lock()
	t.left++
	t.mu.Unlock()
	return &ticketStream{t.Caller.Stream(answer, abort), t}
}

type ticketStream struct {
	core.Stream
	t *ticket
}

// End implements core.Stream.
func (w *ticketStream) End(ok bool) {
	w.Stream.End(ok)
	w.t.free()
}
