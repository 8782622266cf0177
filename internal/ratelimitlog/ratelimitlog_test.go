package ratelimitlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Lines over the limit of their message are omitted and counted; other messages are not
// affected.
func TestLinesOverLimitAreOmittedAndCounted(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, slog.LevelInfo).With("name", "n0")
	at := time.Now()
	logAt := func(msg string, at time.Time) {
		log.Handler().Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, msg, 0))
	}
	for range 3 * maxLinesPerInterval {
		logAt("often", at)
	}
	logAt("once", at)
	logAt("often", at.Add(interval))
	if n := strings.Count(out.String(), "msg=often"); n != maxLinesPerInterval+1 {
		t.Errorf("%d lines, want %d:\n%s", n, maxLinesPerInterval+1, out.String())
	}
	if !strings.Contains(out.String(), "left_out=10") || strings.Count(out.String(), "msg=once") != 1 {
		t.Errorf("wrote:\n%s", out.String())
	}
}
