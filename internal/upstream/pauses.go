package upstream

import (
	"errors"
	"net"
	"os"
	"time"

	"chalkrack/internal/httphead"
)

const (
	// An answer that pauses for longer than the stall timeout is reported as stalled, so that the
	// call can get another attempt beside this one. The configuration may lower the timeout, but not
	// below minStallTimeout: a sidecar that has only part of a core may itself be paused for that long.
	defaultStallTimeout = 400 * time.Millisecond
	minStallTimeout     = 60 * time.Millisecond
	// defaultStreamStallTimeout is how long an answer that is being passed on may pause before its
	// server counts as hung.
	defaultStreamStallTimeout = 2 * time.Second
	// maxStreamStallTimeout bounds StreamStallTimeoutFor.
	maxStreamStallTimeout = 10 * time.Second
)

// StreamStallTimeoutFor returns the Config.StreamStallTimeout for servers whose clients wait for up to
// longestWait: a server may pause within an answer for as long as it may take to begin one.
func StreamStallTimeoutFor(longestWait time.Duration) time.Duration {
	return max(defaultStreamStallTimeout, min(longestWait, maxStreamStallTimeout))
}

var errAnswerPaused = errors.New("upstream: the answer paused for longer than the limit")

// pauseHandler limits the pauses of what a limitedConn reads.
type pauseHandler interface {
	// limit returns how long the next read may take, 0 for no limit.
	limit() time.Duration
	// paused is called when a read has taken that long. It reports whether to go on reading.
	paused() (goOn bool)
}

// limitedConn is the input of a connection. It fails with httphead.ErrTooLong once remaining bytes
// have been read, and with errAnswerPaused if pauses ends a read.
type limitedConn struct {
	net.Conn
	remaining   int64
	pauses      pauseHandler // nil: reads wait without limit
	hasDeadline bool         // the connection has a read deadline
}

// clearDeadline removes the limit on pauses.
func (r *limitedConn) clearDeadline() {
	r.pauses = nil
	r.setDeadline(0)
}

// setDeadline limits the next read to the given time, 0 for no limit.
func (r *limitedConn) setDeadline(limit time.Duration) {
	switch {
	case limit > 0:
		r.hasDeadline = true
		r.Conn.SetReadDeadline(time.Now().Add(limit))
	case r.hasDeadline:
		r.hasDeadline = false
		r.Conn.SetReadDeadline(time.Time{})
	}
}

// Read implements io.Reader.
func (r *limitedConn) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, httphead.ErrTooLong
	}
	for {
		if r.pauses != nil {
			r.setDeadline(r.pauses.limit())
		}
		n, err := r.Conn.Read(p[:min(int64(len(p)), r.remaining)])
		r.remaining -= int64(n)
		if n > 0 || r.pauses == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !r.pauses.paused() {
			return 0, errAnswerPaused
		}
	}
}
