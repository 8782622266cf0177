package proxy

import (
	"syscall"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

// leaving is the news that a server drains.
func leaving(name string) *membership.List {
	return &membership.List{Entries: []membership.Entry{{Endpoint: chalkrack.Endpoint{Name: name, Hint: 1, State: chalkrack.Draining}, Address: "127.0.0.1:1"}}}
}

// cpu is what this process has used so far.
func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
