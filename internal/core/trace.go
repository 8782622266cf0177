package core

import (
	"context"
	"log/slog"
	"time"

	"chalkrack"
)

// TraceMessage is the message of a line that tells a call's trace. Logs that are kept have this
// word, and operators' files the setting log.stories.
const TraceMessage = "story"

// Trace is the whole way of a call that was not served within its aim: what the module
// knew when it came and at each attempt, how each went and what the client saw. Times
// are in milliseconds since the call came.
type Trace struct {
	ID       uint64              `json:"id"`
	Class    string              `json:"class"`
	Effect   string              `json:"effect"`
	Worth    float64             `json:"worth"`
	Aim      float64             `json:"aim"`
	Wait     float64             `json:"wait"`
	Retry    bool                `json:"retry"` // told by the client
	End      string              `json:"end"`   // served, refused, failed or left
	Took     float64             `json:"took"`
	ListAge  float64             `json:"list_age"` // since discovery said anything
	State    chalkrack.StateView `json:"state"`    // when it came
	StateEnd chalkrack.StateView `json:"state_end"`
	Attempts []AttemptTrace      `json:"attempts"`
}

// AttemptTrace is one attempt's.
type AttemptTrace struct {
	Server  string               `json:"server"`
	Sent    float64              `json:"sent"`
	Took    float64              `json:"took"`
	Outcome string               `json:"outcome"`
	Phase   string               `json:"phase"`
	Before  chalkrack.ServerView `json:"before"` // at its sending
	After   chalkrack.ServerView `json:"after"`  // at its end
}

var effectNames = [...]string{"safe", "keyed", "once"}

func millis(d time.Duration) float64 { return float64(d.Round(10*time.Microsecond)) / 1e6 }

// begins notes what is known when a call comes. It is called with the lock held, as
// all of these.
func (h *Host) begins(now time.Duration, q *call) {
	if h.trace != nil {
		q.trace = &Trace{ID: uint64(q.id), State: h.b.ViewState(now), ListAge: millis(now - h.listedAt)}
	}
}

// sends notes what is known of an attempt's server.
func (h *Host) sends(now time.Duration, q *call, a *attempt) {
	if s := q.trace; s != nil {
		s.Attempts = append(s.Attempts, AttemptTrace{Server: a.to, Sent: millis(now - q.came), Outcome: "under way", Before: h.b.ViewServer(now, a.to, q.at)})
	}
}

// attemptEnded notes how an attempt went.
func (h *Host) attemptEnded(now time.Duration, a *attempt, o chalkrack.Outcome) {
	h.count(now, a, o)
	if h.watch != nil {
		h.watch.Ended(now, a.ticket, o)
		delete(h.watched, a.ticket)
	}
	if s := a.q.trace; s != nil && a.n < len(s.Attempts) {
		t := &s.Attempts[a.n]
		t.Took, t.Outcome, t.Phase = millis(now-a.sent), outcomes[o], a.send.Phase()
		t.After = h.b.ViewServer(now, a.to, a.q.at)
	}
}

// ends notes what the client is told, for the trace and for a trial.
func (h *Host) ends(now time.Duration, q *call, how string) {
	h.judged(now, q, how)
	if s := q.trace; s != nil && s.End == "" {
		s.End, s.Took, s.StateEnd = how, millis(now-q.came), h.b.ViewState(now)
	}
}

// tell writes a trace down once nothing of it is open, unless the call was served in
// time.
func (h *Host) tell(q *call) {
	s := q.trace
	q.trace = nil
	if s == nil || q.class == nil {
		return
	}
	s.Class, s.Effect, s.Worth = q.c.Class, effectNames[q.class.Effect], q.class.Worth
	s.Aim, s.Wait, s.Retry = millis(q.class.Aim), millis(q.c.Wait), q.c.Retry
	if s.End != "served" || s.Took > s.Aim {
		h.act(action{kind: actTrace, answer: s})
	}
}

func (h *Host) write(s *Trace) {
	h.trace.LogAttrs(context.Background(), slog.LevelInfo, TraceMessage, slog.Any("story", s))
}

// Measured is by how much the module corrects each server's hint by what it saw; 0 where
// it has seen nothing.
func (h *Host) Measured(servers []string) []float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	all := make([]float64, len(servers))
	for n, name := range servers {
		if v := h.b.ViewServer(now, name, -1); v.Learned != 1 {
			all[n] = v.Learned
		}
	}
	return all
}
