package core

import (
	"testing"
	"time"
)

func TestLinesOfCallsWithoutAttemptAreLimited(t *testing.T) {
	var limit lineLimit
	for second := range 3 {
		allowed := 0
		for n := range 100 {
			if limit.allow(time.Hour + time.Duration(second)*lineWindow + time.Duration(n)*time.Millisecond) {
				allowed++
			}
		}
		if allowed != maxLinesPerWindow {
			t.Errorf("second %d: %d lines, want %d", second, allowed, maxLinesPerWindow)
		}
	}
}
