// Package queue limits the calls in progress at a pool's servers and decides which of the
// other calls wait, for how long, and which are refused with a delay before a retry. It
// has no I/O, clock or goroutines. The decision module selects a server for a call after
// the call has left the queue.
//
// The concepts follow HAProxy (Configuration Manual: "maxconn", "maxqueue", "timeout
// queue"). Unlike HAProxy, a call that can't be admitted in time is refused on arrival: by
// Little's law, a call behind n others waits about n times the mean service time divided
// by the number of places, and it is refused if that exceeds the time that it may wait.
package queue

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxActiveCalls and MaxWaitingCalls are the largest limits that a queue accepts. They
	// bound its memory, at about 100 bytes per call.
	MaxActiveCalls  = 1 << 16
	MaxWaitingCalls = 1 << 16
	// serviceTimeWeight is the weight of one call in the moving average of service times.
	serviceTimeWeight = 1.0 / 16
)

// Limits holds the limits of a queue.
type Limits struct {
	MaxActive  int           // calls in progress at the servers
	MaxWaiting int           // waiting calls; 0: a call that finds no free place is refused
	MaxWait    time.Duration // time that a call may wait
}

// Validate returns an error that names the first limit out of its range, or nil.
func (l Limits) Validate() error {
	switch {
	case l.MaxActive < 1 || l.MaxActive > MaxActiveCalls:
		return fmt.Errorf("queue: maximum of active calls must be within 1 and %d", MaxActiveCalls)
	case l.MaxWaiting < 0 || l.MaxWaiting > MaxWaitingCalls:
		return fmt.Errorf("queue: maximum of waiting calls must be within 0 and %d", MaxWaitingCalls)
	case l.MaxWaiting > 0 && l.MaxWait <= 0:
		return fmt.Errorf("queue: longest wait must be above 0 if calls may wait")
	}
	return nil
}

// ID identifies a call while it is active or waiting.
type ID uint64

// Decision is the result of Arrive for a call.
type Decision int

const (
	Admit  Decision = iota // the call has a place until Remove
	Wait                   // a Change of a later method call admits or refuses it
	Refuse                 // the call is refused and the queue forgets it
)

// Refusal is a call that was refused on arrival or while it waited. A retry sooner than
// RetryAfter is unlikely to be admitted.
type Refusal struct {
	ID         ID
	RetryAfter time.Duration
}

// Change lists the calls that an event admitted from the queue or refused.
type Change struct {
	Admitted []ID // calls that have a place now
	Refused  []Refusal
}

// waitingCall is a queued call with its rank and the end of its wait.
type waitingCall struct {
	id        ID
	worth     float64
	expiresAt time.Duration
	seq       uint64 // order of arrival
}

// Queue is the queue of one pool. It is not safe for concurrent use, and the times passed
// to its methods must not decrease. A call is added by Arrive and is removed when it is
// refused or passed to Remove.
type Queue struct {
	limits      Limits
	active      map[ID]time.Duration // time of admission by call
	waiting     []waitingCall        // by descending worth, then by arrival
	nextSeq     uint64
	meanService time.Duration // 0: no call has ended yet
	counts      Counts
}

// Counts holds the totals of a queue since it was made.
type Counts struct {
	Admitted         uint64 `json:"went"`      // on arrival or after a wait
	Waited           uint64 `json:"waited"`    // calls queued, whether admitted or refused later
	RefusedOnArrival uint64 `json:"hopeless"`  // could not be admitted in time
	Displaced        uint64 `json:"displaced"` // refused in favour of a call of higher worth
	Expired          uint64 `json:"expired"`   // refused after the longest wait
}

// New returns an empty Queue, or an error if the limits are invalid.
func New(l Limits) (*Queue, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	return &Queue{limits: l, active: make(map[ID]time.Duration)}, nil
}

// Arrive admits, queues or refuses a call. Waiting calls are ordered by worth: one of
// higher worth is admitted first, and if the queue is full it displaces the last call of
// the lowest worth. deadline is the time at which the caller stops waiting; mayWait
// reports whether the call may be queued at all.
func (q *Queue) Arrive(now time.Duration, id ID, worth float64, deadline time.Duration, mayWait bool) (Decision, Change) {
	if len(q.active) < q.limits.MaxActive && len(q.waiting) == 0 {
		q.admit(now, id)
		return Admit, Change{}
	}
	w := waitingCall{id: id, worth: worth, expiresAt: min(deadline, now+q.limits.MaxWait), seq: q.nextSeq}
	q.nextSeq++
	position, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiting)
	if !mayWait || q.limits.MaxWaiting == 0 || now+q.expectedWait(position) >= w.expiresAt || position >= q.limits.MaxWaiting {
		q.counts.RefusedOnArrival++
		return Refuse, Change{Refused: []Refusal{{id, q.retryDelay()}}}
	}
	var c Change
	if len(q.waiting) >= q.limits.MaxWaiting {
		last := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		q.counts.Displaced++
		c.Refused = append(c.Refused, Refusal{last.id, q.retryDelay()})
	}
	q.waiting = slices.Insert(q.waiting, position, w)
	q.counts.Waited++
	return Wait, c
}

// compareWaiting orders waiting calls by descending worth, then by arrival.
func compareWaiting(a, b waitingCall) int {
	return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.seq, b.seq))
}

// expectedWait estimates the wait of a call with the given number of calls ahead of it.
func (q *Queue) expectedWait(ahead int) time.Duration {
	return time.Duration(float64(q.meanService) * float64(ahead+1) / float64(q.limits.MaxActive))
}

// retryDelay estimates how long the calls that wait now need to be admitted.
func (q *Queue) retryDelay() time.Duration { return q.expectedWait(len(q.waiting)) }

// admit gives a call a place.
func (q *Queue) admit(now time.Duration, id ID) {
	q.active[id] = now
	q.counts.Admitted++
}

// Remove removes a call that has ended or that has stopped waiting, and admits waiting
// calls to the place that it frees. An unknown call is ignored, so that a place can't be
// freed twice.
func (q *Queue) Remove(now time.Duration, id ID) Change {
	since, ok := q.active[id]
	if !ok {
		q.waiting = slices.DeleteFunc(q.waiting, func(w waitingCall) bool { return w.id == id })
		return Change{}
	}
	delete(q.active, id)
	took := max(now-since, 1)
	q.meanService = cmp.Or(q.meanService, took)
	q.meanService += time.Duration(serviceTimeWeight * float64(took-q.meanService))
	return q.admitWaiting(now)
}

// admitWaiting refuses the calls whose wait has expired and admits others to free places.
func (q *Queue) admitWaiting(now time.Duration) Change {
	c := Change{Refused: q.dropExpired(now)}
	for len(q.waiting) > 0 && len(q.active) < q.limits.MaxActive {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.admit(now, w.id)
		c.Admitted = append(c.Admitted, w.id)
	}
	return c
}

// Expire refuses the calls that have waited as long as they may. It returns the time of
// the next expiry as NextExpiry does.
func (q *Queue) Expire(now time.Duration) (c Change, next time.Duration) {
	c = q.admitWaiting(now)
	return c, q.NextExpiry()
}

// dropExpired removes the calls whose wait has expired and returns their refusals.
func (q *Queue) dropExpired(now time.Duration) (refused []Refusal) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingCall) bool {
		if w.expiresAt > now {
			return false
		}
		q.counts.Expired++
		refused = append(refused, Refusal{ID: w.id})
		return true
	})
	for n := range refused {
		refused[n].RetryAfter = q.retryDelay()
	}
	return refused
}

// NextExpiry returns the time at which the first wait expires, or 0 if no call waits.
func (q *Queue) NextExpiry() (at time.Duration) {
	for _, w := range q.waiting {
		if at == 0 || w.expiresAt < at {
			at = w.expiresAt
		}
	}
	return at
}

// Stop refuses all waiting calls and queues none from then on. It is called when the
// process ends.
func (q *Queue) Stop() Change {
	q.limits.MaxWaiting = 0
	var c Change
	for _, w := range q.waiting {
		c.Refused = append(c.Refused, Refusal{ID: w.id})
	}
	q.waiting = nil
	return c
}

// View is the state of a queue as shown to operators.
type View struct {
	Active     int     `json:"active"`
	MaxActive  int     `json:"places"`
	Waiting    int     `json:"waiting"`
	MaxWaiting int     `json:"waiting_most"`
	ServiceMS  float64 `json:"service_ms"` // mean
	Counts
}

// View returns the current state of the queue.
func (q *Queue) View() View {
	return View{len(q.active), q.limits.MaxActive, len(q.waiting), q.limits.MaxWaiting, float64(q.meanService) / float64(time.Millisecond), q.counts}
}
