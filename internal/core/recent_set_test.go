package core

import (
	"fmt"
	"testing"
	"time"
)

const testTTL = 10 * time.Second

// A mark must be remembered for at least testTTL and at most twice that, and no more than two
// sets of marks may be held, however many marks arrive.
func TestMarksExpireAndAreBounded(t *testing.T) {
	m := recentSet{ttl: testTTL}
	if m.add(0, "a", "1") || !m.add(testTTL-1, "a", "1") || m.add(1, "a", "2") || m.add(1, "b", "1") {
		t.Error("marks are not distinguished by call and attempt, or forgotten before testTTL")
	}
	m = recentSet{ttl: testTTL}
	m.add(0, "a", "1")
	if m.add(testTTL, "other", "1"); !m.add(2*testTTL-1, "a", "1") {
		t.Error("a mark of the previous set is forgotten too early")
	}
	m = recentSet{ttl: testTTL}
	m.add(0, "a", "1")
	m.add(testTTL, "b", "1")
	m.add(2*testTTL, "c", "1")
	if m.add(2*testTTL, "a", "1") {
		t.Error("a mark is remembered for longer than twice testTTL")
	}
	m = recentSet{ttl: testTTL}
	for n := range 5 * maxPerSet {
		m.add(time.Duration(n), fmt.Sprint(n), "1")
		if len(m.current)+len(m.previous) > 2*maxPerSet {
			t.Fatalf("%d marks held", len(m.current)+len(m.previous))
		}
	}
	if !m.add(0, fmt.Sprint(5*maxPerSet-maxPerSet+1), "1") {
		t.Error("a recent mark is forgotten")
	}
}

func TestRemovedStringIsForgotten(t *testing.T) {
	m := recentSet{ttl: testTTL}
	m.remove("a")
	m.add(0, "a")
	m.add(testTTL, "b") // a is in the previous set now
	m.remove("a")
	m.remove("b")
	if m.add(testTTL, "a") || m.add(testTTL, "b") {
		t.Error("a removed string is remembered")
	}
}
