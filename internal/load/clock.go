package load

import (
	"context"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// clock waits for exact times. The runtime's timers wake an idle process to the
// millisecond only; a timer of the kernel's that is read like a connection
// (timerfd_create(2)) wakes it within some tens of microseconds.
type clock struct {
	timer *os.File // nil: the system has none; the runtime's timers do
	raw   syscall.RawConn
}

const (
	clockMonotonic = 1
	timerNonblock  = syscall.O_NONBLOCK | syscall.O_CLOEXEC
	// coarse is how long before a time the wait leaves the runtime's timers, which a
	// context can end.
	coarse = 3 * time.Millisecond
)

func newClock() *clock {
	fd, _, errno := syscall.Syscall(syscall.SYS_TIMERFD_CREATE, clockMonotonic, timerNonblock, 0)
	if errno != 0 {
		return &clock{}
	}
	c := &clock{timer: os.NewFile(fd, "timer")}
	var err error
	if c.raw, err = c.timer.SyscallConn(); err != nil {
		c.timer.Close()
		return &clock{}
	}
	return c
}

func (c *clock) close() {
	if c.timer != nil {
		c.timer.Close()
	}
}

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
		default:
			c.sleep(left)
		}
	}
}

func (c *clock) sleep(d time.Duration) {
	if c.timer == nil || !c.arm(d) {
		time.Sleep(d)
		return
	}
	var times [8]byte
	c.timer.Read(times[:])
}

func (c *clock) arm(d time.Duration) (ok bool) {
	spec := struct{ interval, value syscall.Timespec }{value: syscall.NsecToTimespec(int64(d))}
	err := c.raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall6(syscall.SYS_TIMERFD_SETTIME, fd, 0, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
		ok = errno == 0
	})
	return ok && err == nil
}

// cpu is what the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
