package proxy

import (
	"syscall"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

// drainingList returns a discovery update that marks a server as draining.
func drainingList(name string) *membership.List {
	return &membership.List{Entries: []membership.Entry{{Endpoint: chalkrack.Endpoint{Name: name, Hint: 1, State: chalkrack.Draining}, Address: "127.0.0.1:1"}}}
}

// processCPUTime returns the CPU time that this process has used so far.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
