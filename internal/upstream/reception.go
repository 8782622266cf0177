package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

const (
	// slowBodyDelay is how long the first part of a long answer is collected if more keeps coming.
	slowBodyDelay = 25 * time.Millisecond
	// maxHoldTime is how long the first part of a long answer is held while its server pauses and
	// another attempt could still answer instead.
	maxHoldTime = time.Second
	// passOnMargin is how long before the attempt's deadline a held first part is passed on at the
	// latest.
	passOnMargin = 20 * time.Millisecond
	// unbudgetedBytes is how much of an answer is held without room in the budget for answers.
	unbudgetedBytes   = 4 << 10
	streamBufferBytes = 16 << 10
)

var errClientGone = errors.New("upstream: the client accepts no more of the answer")

// reception is the state of an answer that is being read, and the pauseHandler of its connection. A
// server that pauses may be slow or hung. As long as nothing of its answer has been passed on, a
// pause ends nothing: it is reported once, so that another attempt can be made, and the attempt goes
// on until the call has an answer or its time is up.
type reception struct {
	attempt    *Attempt
	conn       *conn
	answer     *message.Answer // nil until its head has been read
	report     chalkrack.LoadReport
	isGood     bool      // its status makes it the call's answer
	hasNoRoom  bool      // it is passed on while it arrives, however short
	reserved   int64     // of the budget for answers
	isStalled  bool      // the pause has been reported
	isPassedOn bool      // passOn was called
	body       []byte    // the first part of the body
	heldSince  time.Time // when the first byte of body had come
	sent       int       // bytes of body that passOn has written
	stream     io.Writer // nil: not passed on, or the call is over
	writeErr   error     // of stream
}

// begin starts the reception of an attempt's answer on its connection.
func (r *reception) begin(a *Attempt, c *conn) {
	*r = reception{attempt: a, conn: c}
	c.limited.pauses = r
}

// end drops what the reception refers to, and returns its room.
func (r *reception) end() {
	r.release()
	*r = reception{}
}

// reserve takes room for n more bytes of the answer, and reports false if there is none.
func (r *reception) reserve(n int64) bool {
	if !r.attempt.pool.cfg.Answers.Reserve(n) {
		return false
	}
	r.reserved += n
	return true
}

// release drops the first part and returns all room.
func (r *reception) release() {
	if r.body = nil; r.answer != nil {
		r.answer.Body = nil
	}
	r.attempt.pool.cfg.Answers.Release(r.reserved)
	r.reserved = 0
}

// limit implements pauseHandler.
func (r *reception) limit() time.Duration {
	held, streamed := r.attempt.pool.stallTimeouts()
	if r.isPassedOn {
		return streamed
	}
	limit := time.Duration(0)
	if !r.isStalled {
		limit = held
	}
	if at := r.passOnTime(); !at.IsZero() {
		untilPassOn := max(time.Until(at), 1)
		if limit == 0 || untilPassOn < limit {
			limit = untilPassOn
		}
	}
	return limit
}

// paused implements pauseHandler.
func (r *reception) paused() (goOn bool) {
	if r.isPassedOn || r.answer != nil && !r.isGood { // the rest of a refusal or an error is not needed
		return false
	}
	if at := r.passOnTime(); at.IsZero() || time.Now().Before(at) {
		if !r.isStalled {
			r.isStalled = true
			r.attempt.Sink.Stalled()
		}
		return true
	}
	r.passOn()
	return r.stream != nil && r.writeErr == nil
}

// passOnTime returns when the first part of a long answer has to be passed on, even if its server
// pauses. It is zero if there is nothing to pass on.
func (r *reception) passOnTime() time.Time {
	a := r.attempt
	if r.answer == nil || !r.isGood || !r.isLong() || len(r.body) == 0 {
		return time.Time{}
	}
	at := r.heldSince.Add(maxHoldTime)
	if latest := a.Deadline.Add(-passOnMargin); !a.Deadline.IsZero() && latest.Before(at) {
		at = latest
	}
	return at
}

// isLong reports whether the answer may be passed on before it is complete.
func (r *reception) isLong() bool {
	return r.answer.Length < 0 || r.answer.Length > MaxBuffered || r.hasNoRoom
}

// readFirstPart reads the part of a body that is held before the answer is passed on: a body of
// known length up to MaxBuffered completely, others up to MaxBuffered, or what has arrived if bytes
// still arrive after slowBodyDelay, or what the budget has room for. more reports that the body goes on. It returns early if a pause
// has made it pass the answer on; err is then that of the last read.
func (r *reception) readFirstPart(body io.Reader) (more bool, err error) {
	length := r.answer.Length
	r.hasNoRoom = length > unbudgetedBytes && length <= MaxBuffered && !r.reserve(length)
	if !r.isLong() {
		r.body = make([]byte, r.answer.Length)
		_, err = io.ReadFull(body, r.body)
		return false, err
	}
	began := time.Now()
	r.body = make([]byte, 0, unbudgetedBytes)
	for {
		if len(r.body) == cap(r.body) && !r.grow() {
			return true, nil
		}
		n, err := body.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		if n > 0 && r.heldSince.IsZero() {
			r.heldSince = time.Now()
		}
		switch {
		case r.isPassedOn:
			return true, err
		case err != nil && err != io.EOF:
			return false, err
		case len(r.body) > MaxBuffered: // an EOF read together with these bytes is returned again by the next read
			return true, nil
		case err == io.EOF:
			return false, nil
		case n > 0 && time.Since(began) > slowBodyDelay:
			return true, nil
		}
	}
}

// grow makes room for more of the first part, up to a little more than MaxBuffered, and reports false
// if the budget has none.
func (r *reception) grow() bool {
	size := min(2*cap(r.body), MaxBuffered+unbudgetedBytes)
	if !r.reserve(int64(size - cap(r.body))) {
		return false
	}
	r.body = append(make([]byte, 0, size), r.body...)
	return true
}

// passOn begins to pass the answer on, with the part of it that has been read.
func (r *reception) passOn() {
	r.isPassedOn = true
	r.answer.Body, r.sent = r.body, len(r.body)
	if r.stream = r.attempt.Sink.Stream(r.answer, r.report); r.stream != nil {
		_, r.writeErr = r.stream.Write(r.body)
	}
}

// finishStream passes on the rest of an answer while it arrives. err is that of the last read. It
// returns true if the connection can be reused.
func (r *reception) finishStream(resp *http.Response, err error) (reusable bool) {
	a := r.attempt
	if r.stream == nil { // the call is over; the rest of the answer is not needed
		a.Sink.Done(chalkrack.OK, nil, r.report)
		return false
	}
	total := len(r.body)
	if r.writeErr == nil && r.sent < total {
		_, r.writeErr = r.stream.Write(r.body[r.sent:])
	}
	r.release()
	buffer, putBack := r.streamBuffer()
	defer putBack()
	for {
		switch {
		case r.writeErr != nil:
			a.finish(chalkrack.Cancelled, fmt.Errorf("%w: %w", errClientGone, r.writeErr))
			return false
		case total > maxAnswerBytes:
			a.finish(chalkrack.Reset, errAnswerTooLong)
			return false
		case err == io.EOF:
			reusable = !resp.Close && r.conn.isDrained() && a.isWritten()
			a.Sink.Done(chalkrack.OK, nil, r.report)
			return reusable
		case err != nil:
			a.finish(chalkrack.Reset, err)
			return false
		}
		var n int
		n, err = resp.Body.Read(buffer)
		if total += n; n > 0 && total <= maxAnswerBytes {
			_, r.writeErr = r.stream.Write(buffer[:n])
		}
	}
}

// streamBuffer returns the buffer in which an answer is passed on, a small one if the budget has no
// room, and the function to call after its use.
func (r *reception) streamBuffer() (buffer []byte, putBack func()) {
	if !r.reserve(streamBufferBytes) {
		return make([]byte, unbudgetedBytes), func() {}
	}
	pooled := streamBuffers.Get().(*[]byte)
	return *pooled, func() { streamBuffers.Put(pooled) }
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}
