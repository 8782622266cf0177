package core_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack/internal/core"
)

// Guards against final answers that come late because the sidecar has not read the body that its
// caller has written: the call's time counts from the earliest time at which the last byte can have
// been written, whether or not it has been read by then.
func TestTimeOfStreamedBodyCountsFromItsLastByte(t *testing.T) {
	const wait = 200 * time.Millisecond
	for name, c := range map[string]struct {
		writesUntil time.Duration // when the caller writes its last byte; it is known to be writing up to then
		readAt      time.Duration // when the last byte is read; 0: never
	}{
		"never read":                   {0, 0},
		"never read, written for 1 s":  {time.Second, 0},
		"read late":                    {0, 150 * time.Millisecond},
		"read late, written for 1 s":   {time.Second, 1100 * time.Millisecond},
		"read at once after a second":  {time.Second, time.Second},
		"read at once after a minute":  {time.Minute, time.Minute},
		"never read, after the bodies": {3 * time.Minute, 0}, // 2 minutes are allowed for the body
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newQuietHost(t, &memTransport{onStart: func(*memAttempt) {}}, shortSettings(), 1)
				defer h.Close()
				began := time.Now()
				caller := new(recordingCaller)
				call := &core.Call{ID: "1", Class: "a", Timeout: wait, Received: began, Caller: caller,
					Limits: &core.Limits{BodyTimeout: 2 * time.Minute, LastByteNotBefore: func() time.Time {
						return began.Add(min(time.Since(began), c.writesUntil))
					}}}
				h.Arrive(call)
				if c.readAt > 0 {
					time.AfterFunc(c.readAt, func() { h.BodyComplete(call) })
				}
				time.Sleep(5 * time.Minute)
				synctest.Wait()
				due := min(c.writesUntil, 2*time.Minute) + wait
				caller.mu.Lock()
				defer caller.mu.Unlock()
				ended := caller.endedAt.Sub(began)
				if len(caller.finals) != 1 || ended > due || ended < due-50*time.Millisecond {
					t.Errorf("%v after %v, want one end just before %v", slices.Clone(caller.finals), ended, due)
				}
			})
		})
	}
}
