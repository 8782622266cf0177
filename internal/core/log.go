package core

import "time"

// maxLoggedIDBytes bounds what the log shows of an ID, which clients choose.
const maxLoggedIDBytes = 64

// logID returns the call's ID as clients and servers know it, for the log.
func (call *callState) logID() string {
	id := call.details.ID
	return id[:min(len(id), maxLoggedIDBytes)]
}

// logFurtherAttempt logs that a call is sent once more, and why. It is called with the lock held.
func (h *Host) logFurtherAttempt(call *callState, server string) {
	if len(call.attempts) == 0 {
		return
	}
	reason := "retry"
	if call.outstanding > 0 {
		reason = "hedge"
	}
	h.log().Info("further attempt", "id", call.id, "request", call.logID(), "class", call.details.Class, "attempt", len(call.attempts), "server", server, "reason", reason)
}

// logEnd logs that a call is refused or failed, and why. It is called with the lock held.
func (h *Host) logEnd(now time.Duration, call *callState, kind actionKind) {
	message := "call failed"
	if kind == actRefuse {
		message = "call refused"
	}
	if len(call.attempts) == 0 && !h.shedLines.allow(now) {
		return
	}
	h.log().Info(message, "id", call.id, "request", call.logID(), "class", call.details.Class, "reason", call.endReason(now),
		"after", now-call.arrivedAt, "wait", call.details.Timeout, "attempts", len(call.attempts))
}

// endReason describes what a call without an answer has come to, for the log.
func (call *callState) endReason(now time.Duration) string {
	switch {
	case now >= call.deadline:
		return "deadline"
	case call.bodyPending:
		return "ended before its body was complete"
	case len(call.attempts) == 0:
		return "no attempt: shed, or no server may take it"
	}
	return "no further attempt is allowed"
}

const (
	lineWindow        = time.Second
	maxLinesPerWindow = 5
)

// lineLimit limits the lines of calls that end without an attempt. In an overload these are many, and
// have to cost little: what the logger would drop is not even composed.
type lineLimit struct {
	windowStart time.Duration
	lines       int
}

// allow reports whether another line may be logged now.
func (l *lineLimit) allow(now time.Duration) bool {
	if now-l.windowStart >= lineWindow {
		*l = lineLimit{windowStart: now}
	}
	l.lines++
	return l.lines <= maxLinesPerWindow
}
