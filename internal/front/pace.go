package front

import "time"

const (
	// paceWindow and maxPerWindow bound how many requests of one connection are answered at once,
	// without a wait for a server.
	paceWindow   = 64 * time.Millisecond
	maxPerWindow = 64
)

// pacer limits the rate of the requests of one connection that are answered at once. A client that
// sends such requests at full speed would keep its goroutine running all the time, and a process with
// a part of a core has no other for its other clients. The zero value is ready for use.
type pacer struct {
	windowStart time.Time
	count       int // in the window
}

// wait is called after each such request. It blocks until the end of the window if there have been
// too many in it.
func (p *pacer) wait() {
	now := time.Now()
	if now.Sub(p.windowStart) >= paceWindow {
		p.windowStart, p.count = now, 0
	}
	if p.count++; p.count < maxPerWindow {
		return
	}
	time.Sleep(p.windowStart.Add(paceWindow).Sub(now))
}
