package core

import (
	"context"
	"log/slog"
	"time"

	"chalkrack"
)

// TraceMessage is the log message of a call's trace. Stored logs contain it, and operators'
// settings files use it in log.stories.
const TraceMessage = "story"

// Trace records a call that was not served within its aim: the Balancer's state when the
// call arrived and at each attempt, the outcome of each attempt, and what the client
// received. Times are in milliseconds since the call's arrival.
type Trace struct {
	ID       uint64              `json:"id"`
	Class    string              `json:"class"`
	Effect   string              `json:"effect"`
	Worth    float64             `json:"worth"`
	Aim      float64             `json:"aim"`
	Wait     float64             `json:"wait"`
	Retry    bool                `json:"retry"` // set by the client
	End      string              `json:"end"`   // served, refused, failed or left
	Took     float64             `json:"took"`
	ListAge  float64             `json:"list_age"` // since the last list or change from discovery
	State    chalkrack.StateView `json:"state"`    // at the call's arrival
	StateEnd chalkrack.StateView `json:"state_end"`
	Attempts []AttemptTrace      `json:"attempts"`
}

// AttemptTrace records one attempt of a Trace.
type AttemptTrace struct {
	Server  string               `json:"server"`
	Sent    float64              `json:"sent"`
	Took    float64              `json:"took"`
	Outcome string               `json:"outcome"`
	Phase   string               `json:"phase"`
	Before  chalkrack.ServerView `json:"before"` // when it was sent
	After   chalkrack.ServerView `json:"after"`  // when it ended
}

// effectNames holds the names of the effects in traces, by chalkrack.Effect.
var effectNames = [...]string{"safe", "keyed", "once"}

// millis returns d in milliseconds, rounded to 10 microseconds.
func millis(d time.Duration) float64 { return float64(d.Round(10*time.Microsecond)) / 1e6 }

// traceArrival starts the trace of a call that arrives. Like all functions of the trace up to
// queueTrace, it is called with the lock held.
func (h *Host) traceArrival(now time.Duration, call *callState) {
	if h.traceLog != nil {
		call.trace = &Trace{ID: uint64(call.id), State: h.balancer.ViewState(now), ListAge: millis(now - h.listedAt)}
	}
}

// traceAttempt adds an attempt that is sent to the trace, with the state of its server.
func (h *Host) traceAttempt(now time.Duration, call *callState, a *attempt) {
	if trace := call.trace; trace != nil {
		trace.Attempts = append(trace.Attempts, AttemptTrace{Server: a.server, Sent: millis(now - call.arrivedAt), Outcome: "under way", Before: h.balancer.ViewServer(now, a.server, call.classIndex)})
	}
}

// recordOutcome records the outcome of an attempt in the counts and the trace, and reports it
// to the observer.
func (h *Host) recordOutcome(now time.Duration, a *attempt, outcome chalkrack.Outcome) {
	h.countOutcome(now, a, outcome)
	if h.observer != nil {
		h.observer.Ended(now, a.ticket, outcome)
		delete(h.watchedAttempts, a.ticket)
	}
	if trace := a.call.trace; trace != nil && a.index < len(trace.Attempts) {
		entry := &trace.Attempts[a.index]
		entry.Took, entry.Outcome, entry.Phase = millis(now-a.sentAt), outcomeNames[outcome], a.handle.Phase()
		entry.After = h.balancer.ViewServer(now, a.server, a.call.classIndex)
	}
}

// recordEnd records how a call ended for its client, in the trace and in the trial.
func (h *Host) recordEnd(now time.Duration, call *callState, end string) {
	h.recordInTrial(now, call, end)
	if trace := call.trace; trace != nil && trace.End == "" {
		trace.End, trace.Took, trace.StateEnd = end, millis(now-call.arrivedAt), h.balancer.ViewState(now)
	}
}

// queueTrace queues the trace of a finished call for the log, unless the call was served within
// its aim.
func (h *Host) queueTrace(call *callState) {
	trace := call.trace
	call.trace = nil
	if trace == nil || call.class == nil {
		return
	}
	trace.Class, trace.Effect, trace.Worth = call.details.Class, effectNames[call.class.Effect], call.class.Worth
	trace.Aim, trace.Wait, trace.Retry = millis(call.class.Aim), millis(call.details.Timeout), call.details.IsRetry
	if trace.End != "served" || trace.Took > trace.Aim {
		h.queueAction(action{kind: actTrace, answer: trace})
	}
}

// writeTrace logs a trace. It is called without the lock.
func (h *Host) writeTrace(trace *Trace) {
	h.traceLog.LogAttrs(context.Background(), slog.LevelInfo, TraceMessage, slog.Any("story", trace))
}

// HintCorrections returns the factor by which the Balancer corrects each server's hint according
// to its measurements; 0 for a server without measurements.
func (h *Host) HintCorrections(servers []string) []float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	corrections := make([]float64, len(servers))
	for n, name := range servers {
		if view := h.balancer.ViewServer(now, name, -1); view.LearnedWeight != 1 {
			corrections[n] = view.LearnedWeight
		}
	}
	return corrections
}
