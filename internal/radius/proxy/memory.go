package proxy

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

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
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*") // of mode 0600
	if err != nil {
		return fmt.Errorf("radius: memory: %w", err)
	}
	err = l.Save(f)
	if serr := f.Sync(); err == nil {
		err = serr
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("radius: memory: %w", err)
	}
	return nil
}
