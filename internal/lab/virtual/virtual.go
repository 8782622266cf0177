// Package virtual provides a clock for simulations, which advances from event to event and runs the
// events in the same order in every run.
package virtual

import (
	"container/heap"
	"time"
)

// Clock runs callbacks in the order of their times, and those of the same time in the order in
// which they were scheduled. It starts at 0 and is not safe for concurrent use.
type Clock struct {
	Now          time.Duration
	events       events
	lastSequence int // number of events scheduled so far
}

// After schedules callback to run after delay. A negative delay counts as 0.
func (c *Clock) After(delay time.Duration, callback func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.Now + max(delay, 0), c.lastSequence, callback})
}

// Every runs callback after each interval, for as long as the clock runs.
func (c *Clock) Every(interval time.Duration, callback func()) {
	c.After(interval, func() {
		callback()
		c.Every(interval, callback)
	})
}

// Run runs all events before the time until, and sets Now to it. Events at that very time are left
// for the next Run.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at < until {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.callback()
	}
	c.Now = until
}

type event struct {
	at       time.Duration
	sequence int
	callback func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].sequence < e[b].sequence
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{} // lets the callback be garbage collected
	*e = old[:len(old)-1]
	return last
}
