package limitlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestLimit(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, slog.LevelInfo).With("name", "n0")
	at := time.Now()
	say := func(msg string, at time.Time) {
		log.Handler().Handle(t.Context(), slog.NewRecord(at, slog.LevelInfo, msg, 0))
	}
	for range 3 * most {
		say("often", at)
	}
	say("once", at)
	say("often", at.Add(span))
	if n := strings.Count(out.String(), "msg=often"); n != most+1 {
		t.Errorf("%d lines, want %d:\n%s", n, most+1, out.String())
	}
	if !strings.Contains(out.String(), "left_out=10") || strings.Count(out.String(), "msg=once") != 1 {
		t.Errorf("wrote:\n%s", out.String())
	}
}
