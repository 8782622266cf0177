package front

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/core"
	"chalkrack/internal/message"
)

// Bodies configures how request bodies are stored.
type Bodies struct {
	Store *body.Store
	// ClassIndex and TenantIndex return the index of a name in the settings, -1 if it is not there.
	ClassIndex, TenantIndex func(name string) int
	MaxBytes                int64         // bytes; a longer body is answered with 413
	MinRate                 int64         // lowest mean rate at which a client may send, in bytes per second
	Timeout                 time.Duration // bound of the time that a body may take in all
	ProxyStatus             bool          // report errors and the effect of a body that was not kept in Proxy-Status (RFC 9209)
}

// bodyStore returns the store for bodies that readStoredRequest reads.
func (s *Server) bodyStore() *Bodies {
	if s.cfg.Bodies != nil {
		return s.cfg.Bodies
	}
	return s.cfg.LongBodies
}

// readStoredRequest continues readRequest after the head for a request whose body goes into the
// store. A body that the store does not keep is still incomplete when it returns; forwardBody
// transfers the rest. It returns the same values as readRequest.
func (c *conn) readStoredRequest(in *incomingRequest, crowded bool) (*Exchange, int) {
	store := c.srv.bodyStore()
	x := in.exchange
	x.Received = time.Now()
	refused := false
	switch {
	case in.status != 0:
	case in.length > store.MaxBytes:
		c.rejectWith(http.StatusRequestEntityTooLarge, store.proxyStatusField("http_request_error", "body too long"))
		return nil, -1
	case !in.hasRoom, crowded && !c.srv.evictConn(0):
		slog.Warn("request refused: connection or memory limit reached", "crowded", crowded, "head", in.hasRoom, "conns", c.srv.describeConns())
		refused = true
	}
	if in.status != 0 || refused {
		return nil, c.answerWithoutBody(in)
	}
	if in.body == http.NoBody {
		x.setBody(nil)
		c.nc.SetReadDeadline(time.Time{})
		return x, 0
	}
	clock := newLastByteClock(&c.peeker, x.Received)
	c.in.clock = clock
	toStore := body.Incoming{Class: store.ClassIndex(x.Class), Tenant: store.TenantIndex(x.Tenant), Length: in.length, Body: c.newMinRateReader(in.body, float64(store.MinRate), store.Timeout)}
	toStore.KeptElsewhere = x.isBehindTier && x.Limits.MaxAttempts == 1
	if in.expectsContinue {
		toStore.Body = &continueReader{c: c, r: toStore.Body}
	}
	toStore.Body = &maxLengthReader{r: toStore.Body, remaining: store.MaxBytes}
	kept, err := store.Store.Receive(toStore)
	if err != nil || !kept.IsStreamed() {
		c.in.clock = nil
	}
	if err != nil {
		return nil, c.rejectBody(x, err)
	}
	x.keptBody = kept
	x.Received = time.Now()
	if pieces := kept.Pieces(); pieces != nil {
		x.setBody(pieces)
		x.Request.OnRetry = kept.RecordRetry
	} else {
		if length := kept.Length(); length >= 0 {
			x.Request.Head = message.AppendLength(x.Request.Head, length)
		}
		x.Request.Source, x.Request.Chunked = kept, kept.Length() < 0
	}
	if !kept.IsStreamed() {
		c.nc.SetReadDeadline(time.Time{})
		return x, 0
	}
	// Limits.BodyTimeout allows the call one attempt, whatever its class: what has been forwarded of
	// a body that is not kept cannot be sent again.
	limits := core.Limits{}
	if x.Limits != nil {
		limits = *x.Limits
	}
	limits.BodyTimeout, limits.LastByteNotBefore = store.Timeout, clock.earliest
	x.Limits, x.bodyUnread = &limits, true
	return x, 0
}

// answerWithoutBody answers a request whose body is not stored, with its status, or with a refusal
// if that is 0. It reads and discards a short body, so that the connection can go on, and
// ends the connection instead of reading a long one. It returns 0, or -1 if the connection
// ends.
func (c *conn) answerWithoutBody(in *incomingRequest) int {
	x, status := in.exchange, in.status
	if in.body != http.NoBody {
		if in.expectsContinue || in.length < 0 || in.length > maxShortBodyBytes {
			field := ""
			if status == 0 {
				status, field = http.StatusServiceUnavailable, retryAfterField(limitRetryAfter)
			}
			c.rejectWith(status, field)
			return -1
		}
		if _, err := io.Copy(io.Discard, in.body); err != nil {
			return -1
		}
	}
	if status != 0 {
		x.answerLocally(status)
	} else {
		x.keepAlive = false
		x.Refuse(limitRetryAfter, true)
	}
	return 0
}

// rejectBody handles the error of a body that could not be read or stored. It returns the
// status to answer, or -1 if it has answered or the connection has failed.
func (c *conn) rejectBody(x *Exchange, err error) (status int) {
	store := c.srv.bodyStore()
	var netErr net.Error
	switch {
	case errors.Is(err, body.ErrNoRoom):
		slog.Warn("request refused: no room to store its body", "conns", c.srv.describeConns())
		x.recordEnd(http.StatusServiceUnavailable, true)
		c.rejectWith(http.StatusServiceUnavailable, retryAfterField(limitRetryAfter)+store.proxyStatusField("proxy_internal_error", "no room for the body"))
		return -1
	case errors.Is(err, errBodyTooLong):
		c.rejectWith(http.StatusRequestEntityTooLarge, store.proxyStatusField("http_request_error", "body too long"))
		return -1
	case errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		c.logClose("body incomplete", err)
		return -1
	}
	return http.StatusBadRequest
}

// forwardBody transfers the rest of a body that is not kept to the only attempt of its call. It
// blocks until the body or the call ends, and reports whether the connection goes on.
func (c *conn) forwardBody(x *Exchange) bool {
	s := c.srv
	err := x.keptBody.Forward()
	c.in.clock = nil
	c.nc.SetReadDeadline(time.Time{})
	complete := err == nil && x.keptBody.IsComplete()
	if complete {
		s.mu.Lock()
		answered := c.current == nil // before the end of the body: the answer told the client that the connection closes
		x.bodyUnread = answered
		s.mu.Unlock()
		if !answered {
			s.cfg.Figures.CountRequest(&x.counter, x.Class)
			x.handler.BodyComplete(&x.Call)
			return true
		}
		c.linger()
		return false
	}
	gone := err != nil && x.handler.ClientGone(&x.Call)
	if err != nil {
		x.keptBody.Abort()
	}
	if gone {
		// The server has not received the last byte, so it has not started the request.
		if status := c.rejectBody(x, err); status > 0 {
			c.reject(status)
		}
		return false
	}
	// The answer was given before the end of the body, or is being written.
	s.mu.Lock()
	for c.current != nil {
		c.answered.Wait()
	}
	s.mu.Unlock()
	c.linger()
	return false
}

// unkeptBodyField returns the header line that tells the client how a body that was not kept
// limited its call, which ends without an answer of a server. It is empty for other bodies.
func (x *Exchange) unkeptBodyField(refused bool) string {
	if x.keptBody == nil || !x.keptBody.IsStreamed() {
		return ""
	}
	x.keptBody.RecordEnd(refused)
	if refused {
		return x.conn.srv.bodyStore().proxyStatusField("destination_unavailable", "body not kept: one attempt, which did not run")
	}
	return x.conn.srv.bodyStore().proxyStatusField("connection_terminated", "body not kept: one attempt, which may have run")
}

// proxyStatusField returns the Proxy-Status line of RFC 9209 with one of the error types of
// section 2.3, or an empty string if ProxyStatus is off.
func (b *Bodies) proxyStatusField(errorType, details string) string {
	if !b.ProxyStatus {
		return ""
	}
	return "Proxy-Status: fawnrock; error=" + errorType + "; details=" + strconv.Quote(details) + "\r\n"
}

// retryAfterField returns a Retry-After line in seconds with three decimals.
func retryAfterField(after time.Duration) string {
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}

// continueReader sends 100 Continue at the first read of a body. The store reads only after it
// has room for the body, so the client does not send a body that would be refused.
type continueReader struct {
	c    *conn
	r    io.Reader
	sent bool
}

func (a *continueReader) Read(p []byte) (int, error) {
	if !a.sent {
		a.sent = true
		a.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the deadline of the last answer may have passed
		if _, err := a.c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	return a.r.Read(p)
}

var errBodyTooLong = errors.New("front: request body exceeds the size limit")

// maxLengthReader fails with errBodyTooLong when a body exceeds remaining bytes. It bounds
// chunked bodies, whose length is not known in advance.
type maxLengthReader struct {
	r         io.Reader
	remaining int64
}

func (b *maxLengthReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return n, errBodyTooLong
	}
	return n, err
}
