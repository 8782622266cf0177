package core

import (
	"container/heap"
	"time"
)

// minTimerDelay is the minimum time between two checks of the timers, so that timers which are
// due shortly after each other are handled together.
const minTimerDelay = 2 * time.Millisecond

// timerEntry is a timer of the Balancer or the deadline of a call. It stays in the heap until
// it is due or, if it has become pointless, until the next compaction.
type timerEntry struct {
	at     time.Duration
	cookie uint64
	call   *callState
}

// timerHeap is a min-heap of timers, ordered by due time.
type timerHeap []timerEntry

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)        { *a = append(*a, x.(timerEntry)) }
func (a *timerHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*a = old[:len(old)-1]
	return x
}

// minCompaction is the least number of timers at which pointless ones are removed.
const minCompaction = 1024

// addTimer adds a timer. The caller holds the lock.
func (h *Host) addTimer(a timerEntry) {
	if len(h.timers) >= max(h.compactAt, minCompaction) {
		h.compactTimers()
	}
	heap.Push(&h.timers, a)
}

// compactTimers removes the timers of ended calls and those that the Balancer no longer needs. A caller
// may state a wait of maxClientWait, so these would pile up for as long. The next compaction comes when
// the number of timers has doubled, so that its cost is spread over as many calls of addTimer.
func (h *Host) compactTimers() {
	needed := h.timers[:0]
	for _, timer := range h.timers {
		if timer.call != nil && timer.call.details != nil || timer.call == nil && h.balancer.IsTimerPending(timer.cookie) {
			needed = append(needed, timer)
		}
	}
	clear(h.timers[len(needed):])
	h.timers = needed
	heap.Init(&h.timers)
	h.compactAt = 2 * len(h.timers)
}

// resetTimer sets the runtime timer to the earliest entry. It resets the timer if that entry is
// due earlier than the one the timer is set to; without this, an entry that is added later
// and due earlier would fire only with the other one.
func (h *Host) resetTimer() {
	if len(h.timers) == 0 || h.closed {
		return
	}
	if at := h.timers[0].at; h.timerAt == 0 || at < h.timerAt {
		h.timerAt = at
		h.timer.Reset(max(at-h.now(), minTimerDelay))
	}
}

// fireTimers passes the timers that are due to the Balancer and ends calls whose deadline has
// passed.
func (h *Host) fireTimers() {
	defer h.logPanic("timer")
	h.handleEvent(func(now time.Duration) {
		h.timerAt = 0
		defer h.resetTimer() // also if the Balancer panics, as the later timers must still fire
		for len(h.timers) > 0 && h.timers[0].at <= now {
			entry := heap.Pop(&h.timers).(timerEntry)
			if entry.call != nil {
				h.expireCall(now, entry.call)
			} else {
				h.balancer.Timer(now, entry.cookie)
			}
		}
	})
}
