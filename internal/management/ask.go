package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	askMost     = 5 * time.Second
	answerBytes = 1 << 20
)

// Ask makes a call at a sidecar's management address, and returns what it answers. An
// answer that begins with NO is ErrRefused.
func Ask(ctx context.Context, addr, line string) (string, error) {
	if _, err := Parse(line); err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, askMost)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askMost))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(c, answerBytes))
	if err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	return string(text), Refused(string(text))
}

// ErrRefused is what a call comes to that the sidecar does not do.
var ErrRefused = errors.New("refused")

// Refused is the error of an answer, nil for one that is no refusal.
func Refused(answer string) error {
	why, no := strings.CutPrefix(strings.TrimSpace(answer), "NO")
	switch {
	case answer == "":
		return fmt.Errorf("management: %w: no answer", ErrRefused)
	case no:
		return fmt.Errorf("management: %w:%s", ErrRefused, why)
	}
	return nil
}
