package pools

import (
	"sync"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/generation"
	"chalkrack/internal/queue"
)

// handler is the core behind a queue.
type handler interface {
	front.Handler
	// Stamp returns the configuration generation for a call that begins to arrive.
	Stamp() generation.Stamp
	// RecordUnsentRefusal reports a call that was refused before it arrived.
	RecordUnsentRefusal(c *core.Call)
}

// queuedHandler queues the calls of a pool in front of its core. It takes the place of the
// core as the front's Handler, and wraps each call's Caller to detect the end of the call. Each
// call waits under the configuration generation that it is stamped with.
type queuedHandler struct {
	handler
	start   time.Time
	mu      sync.Mutex
	queue   *queue.Queue
	lastID  queue.ID
	waiting map[queue.ID]*trackedCall // queued calls
	tracked map[*core.Call]*trackedCall
	timer   *time.Timer
}

// trackedCall is a call that has or waits for a place. The place is freed once the core has
// released the call and a streamed response, if any, has ended.
type trackedCall struct {
	core.Caller
	handler *queuedHandler
	id      queue.ID
	call    *core.Call
	mu      sync.Mutex
	pending int // of release and stream end, those that still hold the place
}

// newQueuedHandler returns a queue in front of h, or an error if the limits are invalid.
func newQueuedHandler(h handler, l queue.Limits) (*queuedHandler, error) {
	q, err := queue.New(l)
	if err != nil {
		return nil, err
	}
	s := &queuedHandler{handler: h, start: time.Now(), queue: q, waiting: make(map[queue.ID]*trackedCall), tracked: make(map[*core.Call]*trackedCall)}
	s.timer = time.AfterFunc(time.Hour, s.expireWaiting)
	s.timer.Stop()
	return s, nil
}

// worthOf returns the worth of a call's class, 0 if its generation does not have the class.
func worthOf(c *core.Call) float64 {
	if class := c.Generation.Gen.Settings.ClassByName(c.Class); class != nil {
		return class.Worth
	}
	return 0
}

// maxDuration returns the time limit of a call, from Received on.
func maxDuration(c *core.Call) time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return c.Generation.Gen.Settings.DeadlineOf(c.Class)
}

func (s *queuedHandler) now() time.Duration { return time.Since(s.start) }

// Arrive implements front.Handler.
func (s *queuedHandler) Arrive(c *core.Call) {
	if c.Generation.Gen == nil {
		c.Generation = s.Stamp()
	}
	isAdmitted := false
	s.change(func() queue.Change {
		s.lastID++
		t := &trackedCall{Caller: c.Caller, handler: s, id: s.lastID, call: c, pending: 1}
		deadline := c.Received.Add(maxDuration(c)).Sub(s.start)
		// A call whose body is still being sent by its client, and is not stored, can't wait.
		mayWait := c.Limits == nil || c.Limits.BodyTimeout == 0
		decision, change := s.queue.Arrive(s.now(), t.id, worthOf(c), deadline, mayWait)
		isAdmitted = decision == queue.Admit
		if !isAdmitted { // also a refused call, which the change names
			s.waiting[t.id] = t
		}
		s.tracked[c] = t
		c.Caller = t
		return change
	})
	if isAdmitted {
		s.handler.Arrive(c)
	}
}

// refusal is a call that the queue refuses.
type refusal struct {
	call       *trackedCall
	retryAfter time.Duration
}

// change makes a change of the queue and of the tables of calls in one step, under the lock, and carries
// it out after that: it passes admitted calls to the core, refuses others, and resets the timer to the
// next expiry. A call that has left the table is in no later change.
func (s *queuedHandler) change(do func() queue.Change) {
	s.mu.Lock()
	c := do()
	admitted, refused := s.take(c)
	if at := s.queue.NextExpiry(); at > 0 {
		s.timer.Reset(max(at-s.now(), 0))
	}
	s.mu.Unlock()
	for _, t := range admitted {
		// In a goroutine: a call that the core ends at once frees its place and admits the
		// next one, which would nest as deeply as the queue is long.
		go s.handler.Arrive(t.call)
	}
	for _, r := range refused {
		s.RecordUnsentRefusal(r.call.call)
		r.call.Caller.Refuse(min(r.retryAfter, r.call.call.Generation.Gen.Settings.Config.MaxRetryAfter), true)
		r.call.Caller.Release()
	}
}

// take removes the calls of a change from the tables. The caller holds the lock since the change was made.
func (s *queuedHandler) take(c queue.Change) (admitted []*trackedCall, refused []refusal) {
	for _, id := range c.Admitted {
		admitted = append(admitted, s.waiting[id])
		delete(s.waiting, id)
	}
	for _, r := range c.Refused {
		t := s.waiting[r.ID]
		refused = append(refused, refusal{t, r.RetryAfter})
		delete(s.waiting, r.ID)
		delete(s.tracked, t.call)
	}
	return admitted, refused
}

// expireWaiting refuses the calls that have waited as long as they may.
func (s *queuedHandler) expireWaiting() {
	s.change(func() queue.Change {
		change, _ := s.queue.Expire(s.now())
		return change
	})
}

// ClientGone implements front.Handler. It removes a waiting call itself and passes on any other.
func (s *queuedHandler) ClientGone(c *core.Call) bool {
	var left *trackedCall
	s.change(func() queue.Change {
		t := s.tracked[c]
		if t == nil || s.waiting[t.id] == nil {
			return queue.Change{}
		}
		left = t
		delete(s.waiting, t.id)
		delete(s.tracked, c)
		return s.queue.Remove(s.now(), t.id)
	})
	if left == nil {
		return s.handler.ClientGone(c)
	}
	left.Caller.Release()
	return true
}

// stop refuses all waiting calls when the process ends, so that another process takes them.
func (s *queuedHandler) stop() { s.change(s.queue.Stop) }

func (s *queuedHandler) view() queue.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.View()
}

// releasePlace drops one of the references to the place, and frees it with the last.
func (t *trackedCall) releasePlace() {
	t.mu.Lock()
	t.pending--
	last := t.pending == 0
	t.mu.Unlock()
	if !last {
		return
	}
	s := t.handler
	s.change(func() queue.Change {
		delete(s.tracked, t.call)
		return s.queue.Remove(s.now(), t.id)
	})
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

// trackedStream wraps the stream of a response to free the call's place at its end.
type trackedStream struct {
	core.Stream
	tracked *trackedCall
}

// End implements core.Stream.
func (w *trackedStream) End(ok bool) {
	w.Stream.End(ok)
	w.tracked.releasePlace()
}
