// Package keep decides where the body of each call is kept, so that it is at hand for
// another attempt: in memory, in a file, or nowhere, and then the call has one attempt.
// It has no I/O, clock or goroutines; whoever hosts it calls it under one lock.
//
// A body goes one way: from memory to a file to nowhere. Only one whose file can't be
// written goes on in memory, where there is room for it.
package keep

import (
	"fmt"
	"math"
)

// Limits bound all that is kept.
type Limits struct {
	Memory     int64 // bytes of kept bodies in memory
	MemoryMost int64 // bytes: the longest body that is kept in memory
	MoveLeast  int64 // bytes: the shortest body that moves from memory to a file
	Disk       int64 // bytes in files; 0: there are none
	FileMost   int64 // bytes: the longest body that is kept at all
	Files      int64 // open at once
	Streams    int64 // bodies at once that are not kept
	Shares     []float64
	Lend       float64 // the part of an unused share that others may borrow
	High, Low  float64 // marks, as parts of an amount
	Tenants    int     // 0: the site has none
}

// Check says which limit can't be used, by its name here.
func (l *Limits) Check() error {
	var err error
	need := func(ok bool, field, want string) {
		if !ok && err == nil {
			err = fmt.Errorf("keep: %s must be %s", field, want)
		}
	}
	need(l.Memory > 0, "Memory", "above 0")
	need(l.MemoryMost > 0 && l.MemoryMost <= l.Memory, "MemoryMost", "above 0 and no more than Memory")
	need(l.MoveLeast > 0, "MoveLeast", "above 0")
	need(l.Disk >= 0, "Disk", "0 or more")
	need(l.Disk == 0 || l.Files > 0, "Files", "above 0 where there is a disk")
	need(l.FileMost >= l.MemoryMost, "FileMost", "no less than MemoryMost")
	need(l.Disk == 0 || l.FileMost <= l.Disk, "FileMost", "no more than Disk")
	need(l.Streams >= 0, "Streams", "0 or more")
	need(len(l.Shares) > 0, "Shares", "one for each class")
	sum := 0.0
	for _, s := range l.Shares {
		need(s >= 0 && s <= 1, "Shares", "within 0 and 1")
		sum += s
	}
	need(sum <= 1+1e-9 && !math.IsNaN(sum), "Shares", "1 in all at most")
	need(l.Lend >= 0 && l.Lend <= 1, "Lend", "within 0 and 1")
	need(l.Low > 0 && l.Low < l.High && l.High <= 1, "Low", "above 0 and under High, which is 1 at most")
	need(l.Tenants >= 0, "Tenants", "0 or more")
	return err
}
