package core

import (
	"io"
	"time"

	"chalkrack"
)

// attempt is one send of a call, from the Balancer's wish to its end.
type attempt struct {
	send Attempt // the transport's
	host *Host
	q    *call
	n    int
	to   string
	sent time.Duration
	done bool

	ticket   uint64 // of the watch
	neverRan bool
	stream   Stream
}

// outcomes are the words of the log.
var outcomes = [...]string{"ok", "server error", "full", "timed out", "connect failed", "reset", "cancelled", "not sent"}

// Send implements chalkrack.Host.
func (h *Host) Send(id chalkrack.RequestID, server string, timeout time.Duration) {
	q := h.held[id]
	if q == nil {
		return
	}
	now := time.Now()
	a := &attempt{host: h, q: q, n: len(q.attempts), to: server, sent: h.unix + now.Sub(h.start)}
	o := Order{
		Payload:  q.c.Payload,
		Server:   server,
		N:        a.n,
		Deadline: now.Add(timeout),
		Once:     q.class != nil && q.class.Effect == chalkrack.Unsafe,
		Pass:     q.c.Under.Gen.PassClientErrors,
		Sink:     a,
	}
	if l := q.c.Limits; l != nil {
		o.NotAfter = l.NotAfter
		o.Deadline = o.Deadline.Add(-l.Coming) // servers' time begins with the last byte too
	}
	if end := q.repeatBefore(); end > 0 {
		if at := now.Add(end - a.sent); o.NotAfter.IsZero() || at.Before(o.NotAfter) {
			o.NotAfter = at
		}
	}
	a.send = h.transport.Attempt(o)
	if h.watch != nil {
		a.ticket = h.watch.Sent(a.sent, server)
		h.watched[a.ticket] = a
	}
	q.attempts = append(q.attempts, a)
	q.out++
	h.sends(a.sent, q, a)
	h.act(action{kind: actStart, a: a})
}

// Cancel implements chalkrack.Host.
func (h *Host) Cancel(id chalkrack.RequestID, n int) {
	if q := h.held[id]; q != nil && n < len(q.attempts) {
		a := q.attempts[n]
		a.send.Abandon()
		h.act(action{kind: actCancel, a: a})
	}
}

// Stream implements Sink. To the Balancer a long answer is served when it begins:
// that is its time. Told at its end, the Balancer would take what a slow client needs
// to read it for lateness of the servers, and shed load.
func (a *attempt) Stream(answer any, rep chalkrack.Report) (w io.Writer) {
	a.host.locked(func(now time.Duration) {
		q := a.q
		if q.over || a.done {
			return
		}
		a.done, q.over = true, true
		q.out--
		a.host.ends(now, q, "served")
		a.host.attemptEnded(now, a, chalkrack.OK)
		h := a.host
		h.forgo(q)
		a.stream = q.c.Caller.Stream(answer, a.abort)
		w = a.stream
		defer a.host.forget(q)
		a.host.b.Done(now, q.id, a.n, chalkrack.OK, true, rep)
	})
	return w
}

// abort breaks a long answer off.
func (a *attempt) abort() {
	a.send.Abandon()
	a.send.Close()
}

// Done implements Sink.
func (a *attempt) Done(o chalkrack.Outcome, answer any, rep chalkrack.Report) {
	if a.stream != nil {
		if o != chalkrack.OK {
			a.host.log().Info("long answer broken off", "server", a.to, "by", outcomes[o])
		}
		a.stream.End(o == chalkrack.OK)
		return
	}
	a.host.locked(func(now time.Duration) { a.host.done(now, a, o, answer, rep) })
}

func (h *Host) done(now time.Duration, a *attempt, o chalkrack.Outcome, answer any, rep chalkrack.Report) {
	if a.done {
		return
	}
	q := a.q
	a.done, a.neverRan = true, o.NeverRan()
	q.out--
	h.attemptEnded(now, a, o)
	switch {
	case q.over:
	case o == chalkrack.OK && answer != nil:
		q.over = true
		h.ends(now, q, "served")
		h.act(action{kind: actServe, caller: q.c.Caller, answer: answer})
		h.forgo(q)
	case o == chalkrack.OK: // nothing to show for it
		o = chalkrack.Reset
	}
	if o != chalkrack.OK && o != chalkrack.Full && o != chalkrack.Cancelled {
		h.log().Info("attempt ended: "+outcomes[o], "id", q.id, "class", q.c.Class, "attempt", a.n, "server", a.to, "after", now-a.sent, "phase", a.send.Phase())
	}
	over := q.over
	h.b.Done(now, q.id, a.n, o, over, rep)
	h.forget(q)
}

// forgo stops what of a call's attempts has not begun when it is over. Guards against a
// connection that comes up after the final answer, or after the client has left, where the
// Balancer lets both of a pair run, or may cancel nothing: it would be sent on for nobody.
func (h *Host) forgo(q *call) {
	for _, a := range q.attempts {
		if !a.done && a.send.Forgo() {
			h.act(action{kind: actCancel, a: a})
		}
	}
}

// GiveUp stops waiting for attempts, by the watch's tickets, so that others can be made for
// their calls. What must not run twice goes on: no other can be made, and this one may
// still be answered.
func (h *Host) GiveUp(tickets []uint64) {
	if len(tickets) == 0 {
		return
	}
	h.locked(func(now time.Duration) {
		for _, t := range tickets {
			a := h.watched[t]
			if a == nil || a.done || a.q.over || a.q.coming || a.q.class == nil || a.q.class.Effect == chalkrack.Unsafe {
				continue
			}
			o := chalkrack.TimedOut
			if !a.send.Abandon() {
				o = chalkrack.ConnectFailed
			}
			h.act(action{kind: actCloseAttempt, a: a})
			h.done(now, a, o, nil, chalkrack.Report{})
		}
	})
}

// expire ends what a call still has out at its deadline.
func (h *Host) expire(now time.Duration, q *call) {
	if h.held[q.id] == nil {
		return
	}
	for _, a := range q.attempts {
		if a.done {
			continue
		}
		o := chalkrack.TimedOut
		if !a.send.Abandon() {
			o = chalkrack.ConnectFailed
			if q.coming { // that the client took so long is no fault of the server's
				o = chalkrack.NotSent
			}
		}
		h.act(action{kind: actCloseAttempt, a: a})
		h.done(now, a, o, nil, chalkrack.Report{})
	}
	if !q.over {
		h.log().Error("request unanswered at its deadline", "class", q.c.Class)
		h.b.ClientGone(now, q.id)
		h.end(q, action{kind: actFail})
	}
}
