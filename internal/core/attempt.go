package core

import (
	"io"
	"time"

	"chalkrack"
)

// attempt is one attempt of a call, from the Balancer's Send to its outcome.
type attempt struct {
	handle Attempt // of the transport
	host   *Host
	call   *callState
	index  int
	server string
	sentAt time.Duration
	ended  bool

	ticket   uint64 // returned by the observer
	neverRan bool
	stream   Stream
}

// outcomeNames holds the names of the outcomes in the log and in traces, by chalkrack.Outcome.
var outcomeNames = [...]string{"ok", "server error", "full", "timed out", "connect failed", "reset", "cancelled", "not sent"}

// Send implements chalkrack.Host.
func (h *Host) Send(id chalkrack.RequestID, server string, timeout time.Duration) {
	call := h.held[id]
	if call == nil {
		return
	}
	now := time.Now()
	a := &attempt{host: h, call: call, index: len(call.attempts), server: server, sentAt: h.startUnix + now.Sub(h.start)}
	order := Order{
		Payload:          call.details.Payload,
		Server:           server,
		Index:            a.index,
		Deadline:         now.Add(timeout),
		AtMostOnce:       call.class != nil && call.class.Effect == chalkrack.Unsafe,
		PassClientErrors: call.details.Generation.Gen.PassClientErrors,
		Sink:             a,
	}
	if limits := call.details.Limits; limits != nil {
		order.NotAfter = limits.NotAfter
		// The server's time also begins with the last byte of the body.
		order.Deadline = order.Deadline.Add(-limits.BodyTimeout)
	}
	if end := call.repeatDeadline(); end > 0 {
		if at := now.Add(end - a.sentAt); order.NotAfter.IsZero() || at.Before(order.NotAfter) {
			order.NotAfter = at
		}
	}
	a.handle = h.transport.NewAttempt(order)
	if h.observer != nil {
		a.ticket = h.observer.Sent(a.sentAt, server)
		h.watchedAttempts[a.ticket] = a
	}
	h.logFurtherAttempt(call, server)
	call.attempts = append(call.attempts, a)
	call.outstanding++
	h.traceAttempt(a.sentAt, call, a)
	h.queueAction(action{kind: actStart, attempt: a})
}

// Cancel implements chalkrack.Host.
func (h *Host) Cancel(id chalkrack.RequestID, n int) {
	if call := h.held[id]; call != nil && n < len(call.attempts) {
		a := call.attempts[n]
		a.handle.Abandon()
		h.queueAction(action{kind: actCancel, attempt: a})
	}
}

// Stream implements Sink. A streamed answer is reported to the Balancer as served when it
// begins. If it were reported at its end, the time that a slow client takes to read it
// would count as latency of the server, and the Balancer would shed load.
func (a *attempt) Stream(answer any, rep chalkrack.LoadReport) (w io.Writer) {
	a.host.handleEvent(func(now time.Duration) {
		call := a.call
		if call.ended || a.ended {
			return
		}
		a.ended, call.ended = true, true
		call.outstanding--
		a.host.recordEnd(now, call, "served")
		a.host.recordOutcome(now, a, chalkrack.OK)
		h := a.host
		h.cancelUnsent(call)
		a.stream = call.details.Caller.Stream(answer, a.abort)
		w = a.stream
		defer a.host.removeIfDone(call)
		a.host.balancer.AttemptDone(now, call.id, a.index, chalkrack.OK, true, rep)
	})
	return w
}

// Stalled implements Sink.
func (a *attempt) Stalled() {
	a.host.handleEvent(func(now time.Duration) {
		if a.ended || a.call.ended {
			return
		}
		a.host.log().Info("answer stalled", "id", a.call.id, "request", a.call.logID(), "attempt", a.index, "server", a.server, "after", now-a.sentAt)
		a.host.balancer.AnswerStalled(now, a.call.id, a.index)
	})
}

// abort ends a streamed answer early.
func (a *attempt) abort() {
	a.handle.Abandon()
	a.handle.Close()
}

// Done implements Sink.
func (a *attempt) Done(outcome chalkrack.Outcome, answer any, rep chalkrack.LoadReport) {
	if a.stream != nil {
		if outcome != chalkrack.OK {
			a.host.log().Info("streamed answer ended early", "id", a.call.id, "server", a.server, "by", outcomeNames[outcome], "cause", a.handle.Cause())
		}
		a.stream.End(outcome == chalkrack.OK)
		return
	}
	a.host.handleEvent(func(now time.Duration) { a.host.endAttempt(now, a, outcome, answer, rep) })
}

// endAttempt records the outcome of an attempt and passes it to the Balancer. It is called with
// the lock held.
func (h *Host) endAttempt(now time.Duration, a *attempt, outcome chalkrack.Outcome, answer any, rep chalkrack.LoadReport) {
	if a.ended {
		return
	}
	call := a.call
	a.ended, a.neverRan = true, outcome.NeverRan()
	call.outstanding--
	h.recordOutcome(now, a, outcome)
	switch {
	case call.ended:
	case outcome == chalkrack.OK && answer != nil:
		call.ended = true
		h.recordEnd(now, call, "served")
		h.queueAction(action{kind: actServe, caller: call.details.Caller, answer: answer})
		h.cancelUnsent(call)
	case outcome == chalkrack.OK: // success was reported without an answer
		outcome = chalkrack.Reset
	}
	if outcome != chalkrack.OK && outcome != chalkrack.Full && outcome != chalkrack.Cancelled {
		h.log().Info("attempt ended: "+outcomeNames[outcome], "id", call.id, "request", call.logID(), "class", call.details.Class, "attempt", a.index, "server", a.server, "after", now-a.sentAt, "phase", a.handle.Phase(), "cause", a.handle.Cause())
	}
	callEnded := call.ended
	h.balancer.AttemptDone(now, call.id, a.index, outcome, callEnded, rep)
	h.removeIfDone(call)
}

// cancelUnsent stops those attempts of an ended call that have not begun. The Balancer may let
// both attempts of a hedged pair run, or the settings may not allow it to cancel. An attempt
// whose connection is established after the final answer, or after the client has left,
// would then be sent although nobody waits for it.
func (h *Host) cancelUnsent(call *callState) {
	for _, a := range call.attempts {
		if !a.ended && a.handle.CancelUnsent() {
			h.queueAction(action{kind: actCancel, attempt: a})
		}
	}
}

// AbandonAttempts stops waiting for the attempts with the given tickets of the observer, so that
// their calls can be attempted again. Attempts of calls that must not run twice go on: those calls
// cannot be attempted again, and the attempt may still be answered.
func (h *Host) AbandonAttempts(tickets []uint64) {
	if len(tickets) == 0 {
		return
	}
	h.handleEvent(func(now time.Duration) {
		for _, ticket := range tickets {
			a := h.watchedAttempts[ticket]
			if a == nil || a.ended || a.call.ended || a.call.bodyPending || a.call.class == nil || a.call.class.Effect == chalkrack.Unsafe {
				continue
			}
			outcome := chalkrack.TimedOut
			if !a.handle.Abandon() {
				outcome = chalkrack.ConnectFailed
			}
			h.queueAction(action{kind: actCloseAttempt, attempt: a})
			h.endAttempt(now, a, outcome, nil, chalkrack.LoadReport{})
		}
	})
}

// expireCall ends a call at its deadline, together with its outstanding attempts. It is called
// with the lock held.
func (h *Host) expireCall(now time.Duration, call *callState) {
	if h.held[call.id] == nil || h.mayGoOn(now, call) {
		return
	}
	for _, a := range call.attempts {
		if a.ended {
			continue
		}
		outcome := chalkrack.TimedOut
		if !a.handle.Abandon() {
			outcome = chalkrack.ConnectFailed
			if call.bodyPending && now >= call.deadline { // the client was too slow, which is no failure of the server
				outcome = chalkrack.NotSent
			}
		}
		h.queueAction(action{kind: actCloseAttempt, attempt: a})
		h.endAttempt(now, a, outcome, nil, chalkrack.LoadReport{})
	}
	if !call.ended {
		h.log().Error("call not answered by its deadline", "id", call.id, "request", call.logID(), "class", call.details.Class)
		h.balancer.ClientGone(now, call.id)
		h.endCall(call, action{kind: actFail})
	}
}
