package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// clock waits for exact times. The runtime's timers wake an idle process to the
// millisecond only; a thread of its own that sleeps in the kernel wakes within some
// tens of microseconds.
type clock struct{}

func newClock() *clock {
	runtime.LockOSThread()
	return &clock{}
}

func (c *clock) close() { runtime.UnlockOSThread() }

const (
	// coarse is how long before a time the wait leaves the runtime's timers.
	coarse = 3 * time.Millisecond
	// fine is what a kernel's sleep may take longer than it was told.
	fine = 60 * time.Microsecond
)

// until waits for a time; false if ctx ends before.
func (c *clock) until(ctx context.Context, at time.Time) bool {
	for {
		left := time.Until(at)
		switch {
		case left <= 0:
			return ctx.Err() == nil
		case left > 2*coarse:
			t := time.NewTimer(left - coarse)
			select {
			case <-ctx.Done():
				t.Stop()
				return false
			case <-t.C:
			}
		case left > fine:
			ts := syscall.NsecToTimespec(int64(left - fine/2))
			syscall.Nanosleep(&ts, nil)
		default:
			return ctx.Err() == nil
		}
	}
}

// cpu is what the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
