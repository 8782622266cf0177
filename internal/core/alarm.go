package core

import (
	"container/heap"
	"time"
)

// tick is the least time between two looks at the timers: due ones share one.
const tick = 2 * time.Millisecond

// alarm is a timer of the Balancer's, or the deadline of a call. They stay until they
// are due, also of calls that are over: as many as calls came within the longest wait.
type alarm struct {
	at     time.Duration
	cookie uint64
	q      *call
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*a = old[:len(old)-1]
	return x
}

func (h *Host) after(a alarm) { heap.Push(&h.alarms, a) }

// wind sets the one timer for the first alarm. Guards against an alarm that is set
// later and due earlier than the one wound: it would ring only with that one.
func (h *Host) wind() {
	if len(h.alarms) == 0 || h.closed {
		return
	}
	if at := h.alarms[0].at; h.alarmAt == 0 || at < h.alarmAt {
		h.alarmAt = at
		h.alarm.Reset(max(at-h.now(), tick))
	}
}

// ring brings the Balancer the timers that are due, and ends what is overdue.
func (h *Host) ring() {
	defer h.recovered("a timer")
	h.locked(func(now time.Duration) {
		h.alarmAt = 0
		defer h.wind() // also if the Balancer panics: the next ones must ring
		for len(h.alarms) > 0 && h.alarms[0].at <= now {
			a := heap.Pop(&h.alarms).(alarm)
			if a.q != nil {
				h.expire(now, a.q)
			} else {
				h.b.Timer(now, a.cookie)
			}
		}
	})
}
