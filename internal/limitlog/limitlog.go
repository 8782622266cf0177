// Package limitlog is a log for a process under load: of lines with the same
// message only a few a second are written, with the number of those left out.
package limitlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	span = time.Second
	most = 5 // lines of one message in a span
)

// New returns a logger that writes to w.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(&handler{
		Handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}),
		seen:    &seen{by: make(map[string]*count)},
	})
}

type handler struct {
	slog.Handler
	seen *seen
}

type seen struct {
	mu sync.Mutex
	by map[string]*count
}

type count struct {
	began      time.Time
	said, left int
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.seen.mu.Lock()
	c := h.seen.by[r.Message]
	if c == nil {
		c = new(count)
		h.seen.by[r.Message] = c
	}
	if r.Time.Sub(c.began) >= span {
		if c.left > 0 {
			r.AddAttrs(slog.Int("left_out", c.left))
		}
		*c = count{began: r.Time}
	}
	if c.said++; c.said > most {
		c.left++
		h.seen.mu.Unlock()
		return nil
	}
	h.seen.mu.Unlock()
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.seen}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.seen}
}
