package upstream

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// A server begins a request with its last byte: the last byte of a body of known length, or the
// end of lastChunk. An attempt that ends before that byte is written has provably not run,
// however much was sent.
const lastChunk = "0\r\n\r\n"

var (
	errTooLate      = errors.New("upstream: too late to send more of the request")
	errAttemptEnded = errors.New("upstream: attempt ended")
	errNoProgress   = errors.New("upstream: the server accepted no data for too long")
	// errNoReceiver is not the server's fault.
	errNoReceiver = errors.New("upstream: client no longer waits for the answer")
)

// sendSource sends a request whose body is read piece by piece, in a goroutine of its own. It is
// called with the lock held and releases it.
func (a *Attempt) sendSource(c *conn, hold bool) {
	reading, err := a.Request.Source.Open()
	if err != nil {
		a.ended = true
		a.mu.Unlock()
		slog.Warn("cannot read the request body", "server", a.Server, "err", err)
		a.discardConn(c, chalkrack.NotSent, err)
		return
	}
	a.began, a.sentAt, a.reading, a.writerDone = true, time.Now(), reading, make(chan struct{})
	a.mu.Unlock()
	go func() {
		defer a.recoverPanic()
		defer a.stopReading()
		err := a.copySource(c, reading, hold)
		var netErr net.Error
		broke := errors.As(err, &netErr)
		a.mu.Lock()
		readFailed := a.recordWritten(err == nil)
		a.sendFailed = broke
		a.mu.Unlock()
		close(a.writerDone)
		switch {
		case err == nil && !readFailed:
		case err == nil:
			a.finish(chalkrack.Reset, errServerClosed)
		case broke && netErr.Timeout():
			slog.Info("request not written: server accepts no data", "server", a.Server)
			a.discardConn(c, chalkrack.ConnectFailed, errNoProgress)
		case broke && !readFailed:
			// The server closed the connection, perhaps after a final answer. The reader finds
			// that answer or the end of the connection and reports it.
			slog.Debug("request not written", "server", a.Server, "err", err)
		case broke, errors.Is(err, errTooLate), readFailed:
			a.discardConn(c, chalkrack.ConnectFailed, err)
		default:
			a.discardConn(c, chalkrack.NotSent, err) // not the server's fault
		}
	}()
}

// defaultSendTimeout is how long a server may accept no bytes of a body. It detects a hung
// server: the client's own timeout begins with its last byte, which it cannot send while the
// server accepts nothing.
const defaultSendTimeout = time.Second

// maxWriterWait is how long an answer waits for the request's writer to finish. The server
// already has the whole request, so the writer is about to return.
const maxWriterWait = 10 * time.Millisecond

// waitForWriter waits for the writer of a request whose last byte has been sent. Without it a
// good connection would be closed when the answer arrives before the writer returns.
func (a *Attempt) waitForWriter() {
	a.mu.Lock()
	writerDone, pending := a.writerDone, a.lastByteSent && !a.written
	a.mu.Unlock()
	if !pending {
		return
	}
	t := time.NewTimer(maxWriterWait)
	defer t.Stop()
	select {
	case <-writerDone:
	case <-t.C:
	}
}

// stopReading closes the reader of the body, which also ends a read that waits for the client.
func (a *Attempt) stopReading() {
	a.mu.Lock()
	r := a.reading
	a.reading = nil
	a.mu.Unlock()
	if r != nil {
		r.Close()
	}
}

func (a *Attempt) copySource(c *conn, reading message.BodyReader, hold bool) error {
	remaining := a.Request.Source.Length()
	chunked := a.Request.Chunked
	buf := buffers.Get().(*[]byte)
	b := a.appendHead((*buf)[:0])
	defer func() { *buf = b[:0]; buffers.Put(buf) }()
	if !chunked && remaining == 0 {
		return a.writeLast(c, b, hold)
	}
	defer c.SetWriteDeadline(time.Time{})
	if err := a.write(c, b); err != nil {
		return err
	}
	for {
		piece, err := reading.Next()
		switch {
		case err == io.EOF && chunked:
			return a.writeLast(c, []byte(lastChunk), hold)
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if remaining -= int64(len(piece)); !chunked && remaining == 0 {
			return a.writeLast(c, piece, hold)
		}
		if err := a.checkMaySend(); err != nil {
			return err
		}
		if !chunked {
			if remaining < 0 {
				return io.ErrShortBuffer
			}
			err = a.write(c, piece)
		} else {
			b = strconv.AppendInt(b[:0], int64(len(piece)), 16)
			b = append(b, "\r\n"...)
			err = a.write(c, b, piece, []byte("\r\n"))
		}
		if err != nil {
			return err
		}
	}
}

// checkMaySend returns an error if no more bytes may be sent: the attempt has ended, it is past
// NotAfter, or the server left longer ago than the drain grace.
func (a *Attempt) checkMaySend() error {
	tooLate := a.pool.mayNotReceive(a) || !a.NotAfter.IsZero() && time.Now().After(a.NotAfter)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended || a.readFailed:
		return errAttemptEnded
	case tooLate:
		a.ended = true
		return errTooLate
	}
	return nil
}

// writeLast writes the end of the request. Once it does, the request may run. With hold, the
// last byte is delayed as in holdBack.
func (a *Attempt) writeLast(c *conn, piece []byte, hold bool) error {
	if hold {
		if err := a.write(c, piece[:len(piece)-1]); err != nil {
			return err
		}
		piece = piece[len(piece)-1:]
		time.Sleep(a.pool.holdBackDelay)
	}
	a.mu.Lock()
	if outcome, blocked := a.checkSendBlocked(); blocked {
		ended := a.ended || a.readFailed
		a.ended = true
		a.mu.Unlock()
		switch {
		case ended:
			return errAttemptEnded
		case outcome == chalkrack.NotSent:
			return errNoReceiver
		}
		return errTooLate
	}
	a.lastByteSent = true
	a.mu.Unlock()
	return a.write(c, piece)
}

// write writes the pieces. It fails with a time-out if the server accepts nothing for sendTimeout. The
// system may let a write block for longer than that while the server reads: it wakes the writer when
// a good part of its buffer is free.
func (a *Attempt) write(c *conn, pieces ...[]byte) error {
	remaining := net.Buffers(pieces)
	for {
		before, err := c.unacknowledged()
		isKnown := err == nil
		c.SetWriteDeadline(time.Now().Add(a.pool.sendTimeout))
		n, err := remaining.WriteTo(c.Conn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		after, unknown := c.unacknowledged()
		if n == 0 && !(isKnown && unknown == nil && after < before) {
			return err
		}
	}
}
