package agreed

import (
	"time"
)

// asksMost bounds the requests whose answers a sidecar still waits for.
const asksMost = 8

// Request is what a sidecar asks the council, again and again: it renews the lease, and tells how
// far the sidecar is.
type Request struct {
	Car   string `json:"car"`
	Inc   uint64 `json:"inc"`
	Seq   uint64 `json:"seq"`   // counts a start's requests
	Acts  uint64 `json:"acts"`  // the version that it acts on
	Ready uint64 `json:"ready"` // and has said yes to
	No    uint64 `json:"no"`    // the one that it can't take, and why; 0: none
	Why   string `json:"why,omitempty"`
	Seen  uint64 `json:"seen"` // the index of the newest answer that it has: nothing older is news
}

// Answer is what it is told. It was true at some time between the request's coming and now.
type Answer struct {
	Seq   uint64 `json:"seq"`
	Index uint64 `json:"index"` // of the log, up to which this is true
	Lease bool   `json:"lease"` // granted, from when the request was sent
	Force *Doc   `json:"force,omitempty"`
	Next  *Doc   `json:"next,omitempty"`
	// Held says that Force is the version which the request said it acts on, and is left out.
	Held bool `json:"held,omitempty"`
}

// Kept is what outlives a process: what it has promised to the council.
type Kept struct {
	Acts Doc  `json:"acts"`
	Next *Doc `json:"next,omitempty"` // said yes to
}

// Car is what one sidecar may act on. One owner calls its methods in turn; times are of a clock
// that runs on while the machine sleeps, and never go back.
type Car struct {
	name  string
	inc   uint64
	times Times

	acts  Doc
	next  *Doc // said yes to, and not yet heard what became of it; nil: none
	no    uint64
	why   string
	until time.Duration // of the lease; before it ever had one, below 0
	index uint64        // of the newest answer
	seq   uint64
	sent  []asked // the newest last
}

type asked struct {
	seq uint64
	at  time.Duration
}

// NewCar is a sidecar's start, with what it has kept from the one before. It has no lease.
func NewCar(name string, inc uint64, t Times, k Kept) *Car {
	return &Car{name: name, inc: inc, times: t, acts: k.Acts, next: k.Next, until: -1}
}

// Kept is what is to be on disk before the next request is sent.
func (c *Car) Kept() Kept { return Kept{c.acts, c.next} }

// Ask is the next request, sent now.
func (c *Car) Ask(now time.Duration) Request {
	c.seq++
	c.sent = append(c.sent, asked{c.seq, now})
	c.sent = c.sent[max(0, len(c.sent)-asksMost):]
	r := Request{Car: c.name, Inc: c.inc, Seq: c.seq, Acts: c.acts.Version, No: c.no, Why: c.why, Seen: c.index}
	if c.next != nil {
		r.Ready = c.next.Version
	}
	return r
}

// Wants is what a sidecar has to do.
type Wants struct {
	// Check is a version that it is to check, alone and beside what it runs, and then to say
	// Prepared of. What it acts on stays.
	Check *Doc
	// Act is a version that is in force: it acts on it from now on. It has been checked, unless
	// this sidecar was silent while it was prepared.
	Act *Doc
	// Drop says that the version which it had said yes to never came into force.
	Drop bool
}

// Told takes an answer. What is older than what it knows, or answers nothing that it asked, is
// left out.
func (c *Car) Told(now time.Duration, a Answer) (w Wants) {
	at := time.Duration(-1)
	for _, s := range c.sent {
		if s.seq == a.Seq {
			at = s.at
		}
	}
	if at < 0 || a.Index < c.index || a.Force == nil && !a.Held {
		return w
	}
	c.index = a.Index
	if a.Lease {
		c.until = max(c.until, at+c.times.Lease)
	}
	if a.Force != nil && a.Force.Version > c.acts.Version {
		c.acts = *a.Force
		w.Act = a.Force
		if c.next != nil && c.next.Version <= c.acts.Version {
			c.next = nil
		}
	}
	switch {
	case a.Next == nil || a.Next.Version <= c.acts.Version:
		w.Drop = c.next != nil
		c.next, c.no, c.why = nil, 0, ""
	case c.next != nil && c.next.Version != a.Next.Version:
		w.Drop = true
		c.next, c.no, c.why = nil, 0, ""
		w.Check = a.Next
	case c.next == nil && c.no != a.Next.Version:
		w.Check = a.Next
	}
	return w
}

// Prepared says that a version which was to be checked can be taken, or why not. Then it is kept,
// and told with the next request.
func (c *Car) Prepared(d *Doc, err error) {
	switch {
	case d.Version <= c.acts.Version:
	case err != nil:
		c.no, c.why = d.Version, cut(err.Error())
	default:
		c.next, c.no, c.why = d, 0, ""
	}
}

// cut is a text of KeyMost bytes at the most.
func cut(s string) string { return s[:min(len(s), KeyMost)] }

// Leased says whether its lease runs.
func (c *Car) Leased(now time.Duration) bool { return now < c.until-c.times.Margin }

// Until is when it acts as one that may be stale, unless it hears from the council before.
func (c *Car) Until() time.Duration { return c.until - c.times.Margin }

// Level is at which level of a key it acts now. Without a lease it acts on the stricter of what it
// holds and has said yes to, and on what a version promises of those that may be stale.
func (c *Car) Level(now time.Duration, key string) uint64 {
	level := c.acts.Rules[key]
	if c.Leased(now) {
		return level
	}
	level = max(level, c.acts.Stale(key))
	if c.next != nil {
		level = max(level, c.next.Rules[key])
	}
	return level
}

// Acts is the version that it holds.
func (c *Car) Acts() *Doc { return &c.acts }
