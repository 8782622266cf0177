package core

import (
	"fmt"
	"testing"
	"time"
)

// A mark must be remembered for at least minMarkTTL and at most twice that, and no more than two
// sets of marks may be held, however many marks arrive.
func TestMarksExpireAndAreBounded(t *testing.T) {
	var m seenMarks
	if m.seenBefore("a", "1", 0) || !m.seenBefore("a", "1", minMarkTTL-1) || m.seenBefore("a", "2", 1) || m.seenBefore("b", "1", 1) {
		t.Error("marks are not distinguished by call and attempt, or forgotten before minMarkTTL")
	}
	m = seenMarks{}
	m.seenBefore("a", "1", 0)
	if m.seenBefore("other", "1", minMarkTTL); !m.seenBefore("a", "1", 2*minMarkTTL-1) {
		t.Error("a mark of the previous set is forgotten too early")
	}
	m = seenMarks{}
	m.seenBefore("a", "1", 0)
	m.seenBefore("b", "1", minMarkTTL)
	m.seenBefore("c", "1", 2*minMarkTTL)
	if m.seenBefore("a", "1", 2*minMarkTTL) {
		t.Error("a mark is remembered for longer than twice minMarkTTL")
	}
	m = seenMarks{}
	for n := range 5 * maxMarksPerSet {
		m.seenBefore(fmt.Sprint(n), "1", time.Duration(n))
		if len(m.current)+len(m.previous) > 2*maxMarksPerSet {
			t.Fatalf("%d marks held", len(m.current)+len(m.previous))
		}
	}
	if !m.seenBefore(fmt.Sprint(5*maxMarksPerSet-maxMarksPerSet+1), "1", 0) {
		t.Error("a recent mark is forgotten")
	}
}
