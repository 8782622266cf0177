package core

import "time"

// BodyComplete reports that the last byte of a call with Limits.BodyTimeout has been received.
func (h *Host) BodyComplete(c *Call) {
	defer h.logPanic("complete body")
	h.handleEvent(func(now time.Duration) {
		call := c.state
		if call == nil || call.ended || !call.bodyPending {
			return
		}
		call.deadline = min(call.deadline, h.lastByteNotBefore(now, call)+callTimeout(call.wait()))
		call.bodyPending, call.arrivedAt = false, now
		h.addTimer(timerEntry{at: call.deadline, call: call})
		h.balancer.BodyReceived(now, call.id, call.deadline)
	})
}

// wait returns how long the caller waits for the answer from the last byte of its request on.
func (call *callState) wait() time.Duration {
	if call.details.Timeout > 0 {
		return call.details.Timeout
	}
	return call.details.Generation.Gen.Settings.DeadlineOf(call.details.Class)
}

// lastByteNotBefore returns the earliest time at which the caller can have sent the last byte of a
// body that is still arriving. It is called with the lock held.
func (h *Host) lastByteNotBefore(now time.Duration, call *callState) time.Duration {
	limits := call.details.Limits
	if limits == nil || limits.LastByteNotBefore == nil {
		return now
	}
	return min(now, h.startUnix+limits.LastByteNotBefore().Sub(h.start))
}

// expiryTime returns the earliest time at which a call has to end. While its body is still arriving,
// that time moves on as long as the caller is known to be still sending. It is called with the lock
// held.
func (h *Host) expiryTime(now time.Duration, call *callState) time.Duration {
	if !call.bodyPending || call.details.Limits.LastByteNotBefore == nil {
		return call.deadline
	}
	return min(call.deadline, h.lastByteNotBefore(now, call)+callTimeout(call.wait()))
}

// mayGoOn reports whether a call goes on although one of its timers has expired: its time was extended
// after that timer was set. It is called with the lock held.
func (h *Host) mayGoOn(now time.Duration, call *callState) bool {
	if call.ended || h.shutdownDeadline > 0 && now >= h.shutdownDeadline {
		return false
	}
	at := h.expiryTime(now, call)
	if at <= now {
		return false
	}
	if call.bodyPending { // otherwise BodyComplete has set the timer
		h.addTimer(timerEntry{at: at, call: call})
	}
	return true
}
