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

// fileBytesPerMemoryByte limits how much of the file is read, as a multiple of the limit on the
// remembered answers in memory. The file is text, which takes more bytes than the entries.
const fileBytesPerMemoryByte = 4

// loadRemembered reads the remembered answers that saveRemembered wrote before the last
// shutdown into l. A missing file is ignored; an unreadable or invalid one is logged and does
// not prevent the start.
func loadRemembered(l *listener.Listener, path string, maxBytes int) {
	file, err := os.Open(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			slog.Warn("radius: cannot open the file of remembered answers", "err", err)
		}
		return
	}
	defer file.Close()
	calls, err := l.Load(io.LimitReader(file, int64(maxBytes)*fileBytesPerMemoryByte))
	if err != nil {
		slog.Warn("radius: cannot read the file of remembered answers", "file", path, "err", err)
	}
	slog.Info("radius: remembered from before the start", "calls", calls)
}

// saveRemembered atomically writes the answers that l remembers to a file, for the listener of
// the next start.
func saveRemembered(l *listener.Listener, path string) error {
	var buffer bytes.Buffer
	err := l.Save(&buffer)
	if err == nil {
		err = durable.Replace(path, buffer.Bytes())
	}
	if err != nil {
		return fmt.Errorf("radius: cannot save the remembered answers: %w", err)
	}
	return nil
}
