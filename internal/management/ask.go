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
	askTimeout     = 5 * time.Second
	maxAnswerBytes = 1 << 20
)

// Send sends one call to a sidecar's management address and returns the answer. It blocks
// for up to askTimeout. An empty answer, or one that begins with NO, is returned with an
// error that wraps ErrRefused.
func Send(ctx context.Context, addr, line string) (string, error) {
	if _, err := Parse(line); err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askTimeout))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(c, maxAnswerBytes))
	if err != nil {
		return "", fmt.Errorf("management: %w", err)
	}
	return string(text), CheckAnswer(string(text))
}

// ErrRefused is wrapped by the error of a call that the sidecar did not carry out.
var ErrRefused = errors.New("refused")

// CheckAnswer returns an error that wraps ErrRefused if the answer is a refusal or empty, and
// nil otherwise.
func CheckAnswer(answer string) error {
	reason, refused := strings.CutPrefix(strings.TrimSpace(answer), "NO")
	switch {
	case answer == "":
		return fmt.Errorf("management: %w: no answer", ErrRefused)
	case refused:
		return fmt.Errorf("management: %w:%s", ErrRefused, reason)
	}
	return nil
}
