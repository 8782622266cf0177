// Package bodypolicy decides where the body of each call is kept for further attempts: in memory,
// in a file, or not at all, in which case the call has only one attempt. It has no I/O, clock
// or goroutines; callers serialize all calls with one lock.
//
// A body only moves from memory to a file, and from there to not kept. The exception is a body
// whose file cannot be written: its remaining bytes are kept in memory if they fit.
package bodypolicy

import (
	"fmt"
	"math"
)

// Limits holds the bounds on kept bodies.
type Limits struct {
	Memory     int64     // bytes of kept bodies in memory
	MemoryMost int64     // bytes: maximum length of a body kept in memory
	MoveLeast  int64     // bytes: minimum length of a body that is moved from memory to a file
	Disk       int64     // bytes in files; 0: files are not used
	FileMost   int64     // bytes: maximum length of a body that is kept at all
	Files      int64     // open files
	Streams    int64     // concurrent bodies that are not kept
	Shares     []float64 // guaranteed part of each amount, by class
	Lend       float64   // part of an unused share that other classes may borrow
	High, Low  float64   // marks between which an amount is tight, as parts of its limit
	Tenants    int       // number of tenants; 0: none
}

// Validate returns an error that names the first invalid limit.
func (l *Limits) Validate() error {
	var err error
	require := func(valid bool, field, want string) {
		if !valid && err == nil {
			err = fmt.Errorf("bodypolicy: %s must be %s", field, want)
		}
	}
	require(l.Memory > 0, "Memory", "above 0")
	require(l.MemoryMost > 0 && l.MemoryMost <= l.Memory, "MemoryMost", "above 0 and no more than Memory")
	require(l.MoveLeast > 0, "MoveLeast", "above 0")
	require(l.Disk >= 0, "Disk", "0 or more")
	require(l.Disk == 0 || l.Files > 0, "Files", "above 0 where there is a disk")
	require(l.FileMost >= l.MemoryMost, "FileMost", "no less than MemoryMost")
	require(l.Disk == 0 || l.FileMost <= l.Disk, "FileMost", "no more than Disk")
	require(l.Streams >= 0, "Streams", "0 or more")
	require(len(l.Shares) > 0, "Shares", "one for each class")
	sum := 0.0
	for _, s := range l.Shares {
		require(s >= 0 && s <= 1, "Shares", "within 0 and 1")
		sum += s
	}
	require(sum <= 1+1e-9 && !math.IsNaN(sum), "Shares", "1 in all at most")
	require(l.Lend >= 0 && l.Lend <= 1, "Lend", "within 0 and 1")
	require(l.Low > 0 && l.Low < l.High && l.High <= 1, "Low", "above 0 and under High, which is 1 at most")
	require(l.Tenants >= 0, "Tenants", "0 or more")
	return err
}
