package upstream

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// A server begins a request with its last byte: the last one of a body whose length is
// told, else the end of the chunk that says so. An attempt that ends before it has
// proved that nothing ran, however much was sent.
const lastChunk = "0\r\n\r\n"

var (
	errLate  = errors.New("upstream: too late to go on")
	errEnded = errors.New("upstream: attempt ended")
	// errUnwanted is no fault of the server's.
	errUnwanted = errors.New("upstream: nobody waits for the answer")
)

// sendSource sends a request whose body is read piece by piece. It is called with the
// lock held, and frees it.
func (a *Attempt) sendSource(c *conn, hold bool) {
	r, err := a.Request.Source.Open()
	if err != nil {
		a.ended = true
		a.mu.Unlock()
		slog.Warn("attempt without its body", "server", a.Server, "err", err)
		a.pool.discard(c)
		a.done(chalkrack.NotSent)
		return
	}
	a.began, a.sentAt, a.reading, a.out = true, time.Now(), r, make(chan struct{})
	a.mu.Unlock()
	go func() {
		defer a.guard()
		defer a.stopReading()
		err := a.copySource(c, r, hold)
		var ne net.Error
		broke := errors.As(err, &ne)
		a.mu.Lock()
		failed := a.sent(err == nil)
		a.sendFailed = broke
		a.mu.Unlock()
		close(a.out)
		switch {
		case err == nil && !failed:
		case err == nil:
			a.done(chalkrack.Reset)
		case broke && ne.Timeout():
			slog.Info("request not written: its server takes nothing", "server", a.Server)
			a.pool.discard(c)
			a.done(chalkrack.ConnectFailed)
		case broke && !failed:
			// Its server broke it off, perhaps behind an answer that holds: the reader
			// finds that, or the end.
			slog.Debug("request not written", "server", a.Server, "err", err)
		case broke, errors.Is(err, errLate), failed:
			a.pool.discard(c)
			a.done(chalkrack.ConnectFailed)
		default:
			a.pool.discard(c)
			a.done(chalkrack.NotSent) // no fault of the server's
		}
	}()
}

// sendTimeout is how long a server may take nothing of a body. Guards against one that
// hangs: the client's time begins with its last byte, which it could not send.
const sendTimeout = time.Second

// outMost is how long an answer waits for its request's writer to say that it is done:
// the server has all of it, so it is about to.
const outMost = 10 * time.Millisecond

// waitOut waits for the writer of a request whose last byte is out. Guards a connection
// that is good against being dropped because its answer was faster than the writer.
func (a *Attempt) waitOut() {
	a.mu.Lock()
	out, wait := a.out, a.lastOut && !a.wrote
	a.mu.Unlock()
	if !wait {
		return
	}
	t := time.NewTimer(outMost)
	defer t.Stop()
	select {
	case <-out:
	case <-t.C:
	}
}

// stopReading ends the reading of the body, also one that waits for the client.
func (a *Attempt) stopReading() {
	a.mu.Lock()
	r := a.reading
	a.reading = nil
	a.mu.Unlock()
	if r != nil {
		r.Close()
	}
}

func (a *Attempt) copySource(c *conn, r message.Reading, hold bool) error {
	left := a.Request.Source.Length()
	chunked := a.Request.Chunked
	buf := buffers.Get().(*[]byte)
	b := a.appendHead((*buf)[:0])
	defer func() { *buf = b[:0]; buffers.Put(buf) }()
	if !chunked && left == 0 {
		return a.writeLast(c, b, hold)
	}
	send := func() { c.SetWriteDeadline(time.Now().Add(a.pool.send)) }
	defer c.SetWriteDeadline(time.Time{})
	send()
	if _, err := c.Write(b); err != nil {
		return err
	}
	for {
		p, err := r.Next()
		send()
		switch {
		case err == io.EOF && chunked:
			return a.writeLast(c, []byte(lastChunk), hold)
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if left -= int64(len(p)); !chunked && left == 0 {
			return a.writeLast(c, p, hold)
		}
		if err := a.goesOn(); err != nil {
			return err
		}
		if !chunked {
			if left < 0 {
				return io.ErrShortBuffer
			}
			_, err = c.Write(p)
		} else {
			b = strconv.AppendInt(b[:0], int64(len(p)), 16)
			b = append(b, "\r\n"...)
			pieces := net.Buffers{b, p, []byte("\r\n")}
			_, err = pieces.WriteTo(c.Conn)
		}
		if err != nil {
			return err
		}
	}
}

// goesOn says whether more may be sent: not of an attempt that has ended, nor to a
// server that left longer ago than the grace.
func (a *Attempt) goesOn() error {
	late := a.pool.late(a.to) || !a.NotAfter.IsZero() && time.Now().After(a.NotAfter)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended || a.readFailed:
		return errEnded
	case late:
		a.ended = true
		return errLate
	}
	return nil
}

// writeLast writes what ends the request. From here on it may run. With hold the last
// byte is held back a little, as holdBack does.
func (a *Attempt) writeLast(c *conn, p []byte, hold bool) error {
	if hold {
		if _, err := c.Write(p[:len(p)-1]); err != nil {
			return err
		}
		p = p[len(p)-1:]
		time.Sleep(a.pool.hold)
	}
	a.mu.Lock()
	if o, no := a.mustNotGo(); no {
		ended := a.ended || a.readFailed
		a.ended = true
		a.mu.Unlock()
		switch {
		case ended:
			return errEnded
		case o == chalkrack.NotSent:
			return errUnwanted
		}
		return errLate
	}
	a.lastOut = true
	a.mu.Unlock()
	_, err := c.Write(p)
	return err
}
