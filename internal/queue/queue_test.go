package queue

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newQueue(t testing.TB, l Limits) *Queue {
	q, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// Invalid limits are rejected with an error that names the limit.
func TestNewRejectsInvalidLimits(t *testing.T) {
	for _, c := range []struct {
		l    Limits
		says string
	}{
		{Limits{}, "active"}, {Limits{MaxActive: MaxActiveCalls + 1}, "active"}, {Limits{MaxActive: 1, MaxWaiting: -1}, "waiting"},
		{Limits{MaxActive: 1, MaxWaiting: 1}, "longest"}, {Limits{MaxActive: 1}, ""},
	} {
		if _, err := New(c.l); (err == nil) != (c.says == "") || err != nil && !strings.Contains(err.Error(), c.says) {
			t.Errorf("limits %+v: got error %v", c.l, err)
		}
	}
}

// Calls are admitted by descending worth and then by arrival. A full queue displaces a
// call only for one of higher worth.
func TestAdmissionOrderByWorth(t *testing.T) {
	q := newQueue(t, Limits{MaxActive: 1, MaxWaiting: 3, MaxWait: time.Hour})
	if v, _ := q.Arrive(0, 1, 1, time.Hour, true); v != Admit {
		t.Fatal(v)
	}
	for id, worth := range map[ID]float64{2: 1} {
		q.Arrive(0, id, worth, time.Hour, true)
	}
	q.Arrive(0, 3, 10, time.Hour, true)
	q.Arrive(0, 4, 1, time.Hour, true)
	if v, c := q.Arrive(0, 5, 1, time.Hour, true); v != Refuse || len(c.Refused) != 1 || c.Refused[0].ID != 5 {
		t.Errorf("call of equal worth at a full queue: %v %+v, want it refused", v, c)
	}
	if v, c := q.Arrive(0, 6, 5, time.Hour, true); v != Wait || len(c.Refused) != 1 || c.Refused[0].ID != 4 {
		t.Errorf("call of higher worth at a full queue: %v %+v, want it queued and call 4 refused", v, c)
	}
	var order []ID
	for id := ID(1); id != 0; {
		c := q.Remove(ms, id)
		if id = 0; len(c.Admitted) > 0 {
			id = c.Admitted[0]
			order = append(order, id)
		}
	}
	if !slices.Equal(order, []ID{3, 6, 2}) {
		t.Errorf("calls were admitted in the order %v, want [3 6 2]", order)
	}
}

// A call whose expected wait exceeds the time it may wait is refused on arrival instead of
// after waiting in vain. The expected wait follows from the mean service time.
func TestRefusesCallsThatWouldWaitTooLong(t *testing.T) {
	q := newQueue(t, Limits{MaxActive: 2, MaxWaiting: 100, MaxWait: time.Second})
	for id := ID(1); id <= 2; id++ {
		q.Arrive(0, id, 1, time.Hour, true)
	}
	q.Remove(400*ms, 1) // the mean service time is 400 ms
	q.Arrive(400*ms, 1, 1, time.Hour, true)
	waits := 0
	for id := ID(10); id < 20; id++ {
		v, c := q.Arrive(400*ms, id, 1, time.Hour, true)
		if v == Wait {
			waits++
		} else if c.Refused[0].RetryAfter != time.Duration(waits+1)*200*ms {
			t.Errorf("refused with retry after %v while %d calls wait", c.Refused[0].RetryAfter, waits)
		}
	}
	if waits != 4 { // expected waits of 200, 400, 600, 800 ms; the next would be a second
		t.Errorf("%d calls wait, want 4", waits)
	}
	if v, _ := q.Arrive(400*ms, 30, 99, 500*ms, true); v != Refuse {
		t.Error("a call whose deadline is before its expected admission was not refused")
	}
	if v, _ := q.Arrive(400*ms, 31, 99, time.Hour, false); v != Refuse {
		t.Error("a call that may not wait was not refused")
	}
	if c, _ := q.Expire(1400 * ms); len(c.Refused) != 4 || len(c.Admitted) != 0 {
		t.Errorf("after the longest wait: %+v, want 4 refused and none admitted", c)
	}
	if c := q.Stop(); len(c.Refused) != 0 || q.NextExpiry() != 0 {
		t.Errorf("Stop returned %+v, or a call still waits", c)
	}
	if v, _ := q.Arrive(1400*ms, 40, 1, time.Hour, true); v != Refuse {
		t.Error("a stopped queue did not refuse a call")
	}
}

// For random calls: each call is admitted or refused once, the limits hold at every step,
// no place stays free while a call waits, and no call is admitted after its wait expires.
func TestRandomCallsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{MaxActive: rapid.IntRange(1, 4).Draw(t, "active"), MaxWaiting: rapid.IntRange(0, 5).Draw(t, "waiting"), MaxWait: time.Duration(rapid.IntRange(1, 50).Draw(t, "longest")) * ms}
		q, err := New(l)
		if err != nil {
			t.Fatal(err)
		}
		state := make(map[ID]string)
		until := make(map[ID]time.Duration)
		apply := func(c Change, now time.Duration) {
			for _, id := range c.Admitted {
				if state[id] != "waits" || until[id] <= now {
					t.Fatalf("call %d was admitted in state %q with a wait until %v at %v", id, state[id], until[id], now)
				}
				state[id] = "active"
			}
			for _, r := range c.Refused {
				if state[r.ID] != "waits" || r.RetryAfter < 0 {
					t.Fatalf("call %d was refused in state %q (retry after %v)", r.ID, state[r.ID], r.RetryAfter)
				}
				delete(state, r.ID)
			}
		}
		now, next := time.Duration(0), ID(1)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				id := next
				next++
				until[id] = min(now+time.Duration(rapid.IntRange(0, 60).Draw(t, "until"))*ms, now+l.MaxWait)
				state[id] = "waits"
				v, c := q.Arrive(now, id, float64(rapid.IntRange(1, 3).Draw(t, "worth")), until[id], rapid.Bool().Draw(t, "patient"))
				if v == Admit {
					state[id] = "active"
				}
				apply(c, now)
				if _, known := state[id]; known == (v == Refuse) {
					t.Fatalf("decision %v, but call is tracked: %v", v, known)
				}
			case 1:
				if len(state) > 0 {
					ids := make([]ID, 0, len(state))
					for id := range state {
						ids = append(ids, id)
					}
					slices.Sort(ids)
					id := rapid.SampledFrom(ids).Draw(t, "leaves")
					delete(state, id)
					apply(q.Remove(now, id), now)
				}
			case 2:
				c, at := q.Expire(now)
				apply(c, now)
				if at != 0 && at <= now {
					t.Fatalf("next expiry at %v is not after %v", at, now)
				}
			}
			active, waits := 0, 0
			for _, s := range state {
				if s == "active" {
					active++
				} else {
					waits++
				}
			}
			if v := q.View(); v.Active != active || v.Waiting != waits || active > l.MaxActive || waits > l.MaxWaiting || waits > 0 && active < l.MaxActive {
				t.Fatalf("%d calls are active, %d wait; the queue shows %+v", active, waits, v)
			}
		}
	})
}
