package pools

import (
	"sync"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/queue"
)

// queuedHandler is a pool's calls before they come to its core: those that find no place wait
// here. It is the front's Handler in the core's place, and stands between the core and
// each call's Caller to see it end.
type queuedHandler struct {
	front.Handler
	worth         func(class string) float64
	maxDuration   func(c *core.Call) time.Duration // how long a call may take from Received on
	maxRetryAfter time.Duration                    // that clients are told to wait

	start   time.Time
	mu      sync.Mutex
	queue   *queue.Queue
	lastID  queue.ID
	waiting map[queue.ID]*trackedCall // that wait
	tracked map[*core.Call]*trackedCall
	timer   *time.Timer
}

// trackedCall is one call's stay: its place is free when the core needs nothing more of it and
// a long answer has ended. Then it is forgotten.
type trackedCall struct {
	core.Caller
	handler *queuedHandler
	id      queue.ID
	call    *core.Call
	mu      sync.Mutex
	pending int // of the two, what still holds the place
}

func newQueuedHandler(h front.Handler, l queue.Limits, worth func(string) float64, maxDuration func(*core.Call) time.Duration, maxRetryAfter time.Duration) (*queuedHandler, error) {
	q, err := queue.New(l)
	if err != nil {
		return nil, err
	}
	s := &queuedHandler{Handler: h, worth: worth, maxDuration: maxDuration, maxRetryAfter: maxRetryAfter, start: time.Now(), queue: q, waiting: make(map[queue.ID]*trackedCall), tracked: make(map[*core.Call]*trackedCall)}
	s.timer = time.AfterFunc(time.Hour, s.expireWaiting)
	s.timer.Stop()
	return s, nil
}

func (s *queuedHandler) now() time.Duration { return time.Since(s.start) }

// Arrive implements front.Handler.
func (s *queuedHandler) Arrive(c *core.Call) {
	s.mu.Lock()
	s.lastID++
	t := &trackedCall{Caller: c.Caller, handler: s, id: s.lastID, call: c, pending: 1}
	deadline := c.Received.Add(s.maxDuration(c)).Sub(s.start)
	// One whose body is not kept can't wait: its client is sending it.
	mayWait := c.Limits == nil || c.Limits.Coming == 0
	decision, change := s.queue.Arrive(s.now(), t.id, s.worth(c.Class), deadline, mayWait)
	if decision != queue.Admit { // also one that is refused: all who are told are found here
		s.waiting[t.id] = t
	}
	s.tracked[c] = t
	c.Caller = t
	s.mu.Unlock()
	s.applyChange(change)
	if decision == queue.Admit {
		s.Handler.Arrive(c)
	}
}

// applyChange does what the queue decided, and sets the timer anew.
func (s *queuedHandler) applyChange(c queue.Change) {
	s.mu.Lock()
	went := make([]*trackedCall, 0, len(c.Admitted))
	for _, id := range c.Admitted {
		went = append(went, s.waiting[id])
		delete(s.waiting, id)
	}
	refused := make([]*trackedCall, 0, len(c.Refused))
	for _, r := range c.Refused {
		t := s.waiting[r.ID]
		refused = append(refused, t)
		delete(s.waiting, r.ID)
		delete(s.tracked, t.call)
	}
	if at := s.queue.NextExpiry(); at > 0 {
		s.timer.Reset(max(at-s.now(), 0))
	}
	s.mu.Unlock()
	for _, t := range went {
		// Of its own: one that the core ends at once frees its place, and so would call
		// the next from within, as deep as the line is long.
		go s.Handler.Arrive(t.call)
	}
	for n, t := range refused {
		t.Caller.Refuse(min(c.Refused[n].RetryAfter, s.maxRetryAfter), true)
		t.Caller.Release()
	}
}

func (s *queuedHandler) expireWaiting() {
	s.mu.Lock()
	change, _ := s.queue.Expire(s.now())
	s.mu.Unlock()
	s.applyChange(change)
}

// Gone implements front.Handler.
func (s *queuedHandler) Gone(c *core.Call) bool {
	s.mu.Lock()
	t := s.tracked[c]
	waits := t != nil && s.waiting[t.id] != nil
	if waits {
		delete(s.waiting, t.id)
		delete(s.tracked, c)
		s.queue.Remove(s.now(), t.id)
	}
	s.mu.Unlock()
	if !waits {
		return s.Handler.Gone(c)
	}
	t.Caller.Release()
	return true
}

// stop refuses what waits: the process ends, and another takes it.
func (s *queuedHandler) stop() {
	s.mu.Lock()
	s.timer.Stop()
	change := s.queue.Stop()
	s.mu.Unlock()
	s.applyChange(change)
}

func (s *queuedHandler) view() queue.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.View()
}

// releasePlace gives one of the two that hold the place back, and the place with the last.
func (t *trackedCall) releasePlace() {
	t.mu.Lock()
	t.pending--
	last := t.pending == 0
	t.mu.Unlock()
	if !last {
		return
	}
	s := t.handler
	s.mu.Lock()
	delete(s.tracked, t.call)
	change := s.queue.Remove(s.now(), t.id)
	s.mu.Unlock()
	s.applyChange(change)
}

// Release implements core.Caller.
func (t *trackedCall) Release() {
	t.Caller.Release()
	t.releasePlace()
}

// Stream implements core.Caller.
func (t *trackedCall) Stream(answer any, abort func()) core.Stream {
	t.mu.Lock()
	t.pending++
	t.mu.Unlock()
	return &trackedStream{t.Caller.Stream(answer, abort), t}
}

type trackedStream struct {
	core.Stream
	tracked *trackedCall
}

// End implements core.Stream.
func (w *trackedStream) End(ok bool) {
	w.Stream.End(ok)
	w.tracked.releasePlace()
}
