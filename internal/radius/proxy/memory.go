package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"

	"chalkrack/internal/durable"
	"chalkrack/internal/radius/listener"
)

// memoryMost bounds the file, in bytes for each that the memory itself may have: what
// it holds is written in text.
const memoryMost = 4

// recall gives a listener what the one before it has left. A file that is not there,
// or is none, is no reason not to serve.
func recall(l *listener.Listener, path string, bytes int) {
	f, err := os.Open(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			slog.Warn("radius: memory not read", "err", err)
		}
		return
	}
	defer f.Close()
	n, err := l.Load(io.LimitReader(f, int64(bytes)*memoryMost))
	if err != nil {
		slog.Warn("radius: memory not read", "file", path, "err", err)
	}
	slog.Info("radius: remembered from before the start", "calls", n)
}

// keep leaves to the next listener what this one remembers, whole or not at all.
func keep(l *listener.Listener, path string) error {
	var b bytes.Buffer
	err := l.Save(&b)
	if err == nil {
		err = durable.Replace(path, b.Bytes())
	}
	if err != nil {
		return fmt.Errorf("radius: memory: %w", err)
	}
	return nil
}
