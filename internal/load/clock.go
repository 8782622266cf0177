package load

import (
	"context"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// clock waits for exact times. The timers of the Go runtime wake an idle process only with
// millisecond precision; a kernel timer that is read like a connection (timerfd_create(2)) wakes it
// within some tens of microseconds.
type clock struct {
	timer   *os.File // nil if the system has none; runtime timers are used then
	rawConn syscall.RawConn
}

const (
	clockMonotonic = 1
	timerFlags     = syscall.O_NONBLOCK | syscall.O_CLOEXEC
	// fineMargin is the time before the target at which waiting switches from runtime timers, which a
	// context can interrupt, to the kernel timer.
	fineMargin = 3 * time.Millisecond
)

// newClock returns a clock, without a kernel timer if the system refuses one.
func newClock() *clock {
	fd, _, errno := syscall.Syscall(syscall.SYS_TIMERFD_CREATE, clockMonotonic, timerFlags, 0)
	if errno != 0 {
		return &clock{}
	}
	c := &clock{timer: os.NewFile(fd, "timer")}
	var err error
	if c.rawConn, err = c.timer.SyscallConn(); err != nil {
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

// waitUntil blocks until a time. It returns false if ctx ends before.
func (c *clock) waitUntil(ctx context.Context, at time.Time) bool {
	for {
		remaining := time.Until(at)
		switch {
		case remaining <= 0:
			return ctx.Err() == nil
		case remaining > 2*fineMargin:
			t := time.NewTimer(remaining - fineMargin)
			select {
			case <-ctx.Done():
				t.Stop()
				return false
			case <-t.C:
			}
		default:
			c.sleep(remaining)
		}
	}
}

// sleep blocks for d, by the kernel timer if there is one.
func (c *clock) sleep(d time.Duration) {
	if c.timer == nil || !c.arm(d) {
		time.Sleep(d)
		return
	}
	var expirations [8]byte
	c.timer.Read(expirations[:])
}

// arm sets the kernel timer to expire once after d, and reports whether that worked.
func (c *clock) arm(d time.Duration) (ok bool) {
	spec := struct{ interval, value syscall.Timespec }{value: syscall.NsecToTimespec(int64(d))}
	err := c.rawConn.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall6(syscall.SYS_TIMERFD_SETTIME, fd, 0, uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
		ok = errno == 0
	})
	return ok && err == nil
}

// processCPU returns the CPU time that this process has used, or 0 if it cannot be read.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
