// Package ratelimitlog provides a rate-limited slog logger, so that a process under load
// does not flood its log. It writes at most 5 lines per second with the same message and
// adds the number of omitted lines, as left_out, to the first line of the next interval.
package ratelimitlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	interval            = time.Second
	maxLinesPerInterval = 5 // lines with the same message
)

// New returns a logger that writes lines of at least the given level to w as text, limited
// by message. Loggers derived from it share the limits.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(&handler{
		Handler:  slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}),
		counters: &counters{byMessage: make(map[string]*counter)},
	})
}

// handler limits the lines of each message and passes the rest on to Handler.
type handler struct {
	slog.Handler
	counters *counters
}

// counters holds the counters of all messages.
type counters struct {
	mu        sync.Mutex
	byMessage map[string]*counter
}

// counter counts the lines of one message since start, the beginning of its interval.
type counter struct {
	start          time.Time
	lines, omitted int
}

// Handle implements slog.Handler. It drops the record if its message is over the limit.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.counters.mu.Lock()
	c := h.counters.byMessage[r.Message]
	if c == nil {
		c = new(counter)
		h.counters.byMessage[r.Message] = c
	}
	if r.Time.Sub(c.start) >= interval {
		if c.omitted > 0 {
			r.AddAttrs(slog.Int("left_out", c.omitted))
		}
		*c = counter{start: r.Time}
	}
	if c.lines++; c.lines > maxLinesPerInterval {
		c.omitted++
		h.counters.mu.Unlock()
		return nil
	}
	h.counters.mu.Unlock()
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler. The returned handler shares the limits.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.counters}
}

// WithGroup implements slog.Handler. The returned handler shares the limits.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.counters}
}
