package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/body"
	"chalkrack/internal/core"
	"chalkrack/internal/message"
)

// call is one request in progress. It implements core.Caller for the calls that the
// Transport's own core decides.
type call struct {
	core.Call
	t          *Transport
	r          *http.Request
	class      *chalkrack.Class
	hasKey     bool // the request carries an idempotency key
	msg        message.Request
	responseCh chan *http.Response // buffered: receives exactly one response
	reqBody    *body.Body          // nil: no body, or msg holds it whole

	// Used for a body that is streamed instead of stored:
	forwardDone chan struct{}
	forwardErr  error // valid once forwardDone is closed
	closeOnce   sync.Once
}

// ErrBodyTooLarge is the error of a call whose body exceeds the limits for storing it
// for further attempts.
var ErrBodyTooLarge = errors.New("client: body too large to keep")

// prepare classifies and validates a request and reads its body, unless the body is
// streamed. It closes the request's body in every case except the streamed one, where
// startForwarding closes it.
func (t *Transport) prepare(r *http.Request) (c *call, err error) {
	defer func() {
		if c == nil || c.reqBody == nil || !c.reqBody.IsStreamed() {
			closeBody(r)
		}
	}()
	info, err := t.cfg.Classify(r)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	c = &call{t: t, r: r, class: t.cfg.settings.ClassByName(info.Class), hasKey: info.Key != "", responseCh: make(chan *http.Response, 1)}
	switch {
	case c.class == nil:
		return nil, fmt.Errorf("client: there is no class %q", info.Class)
	case c.class.Effect == chalkrack.Keyed && !c.hasKey:
		return nil, fmt.Errorf("client: class %q needs an Idempotency-Key", info.Class)
	case r.URL == nil:
		return nil, errors.New("client: the request has no URL")
	}
	h := r.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	id := h.Get("Req-Id")
	if id == "" {
		id = rand.Text()
		h.Set("Req-Id", id)
	}
	if c.hasKey {
		h.Set("Idempotency-Key", info.Key)
	}
	wait, err := c.maxWait(h.Get("Req-Deadline-Ms"))
	if err != nil {
		return nil, err
	}
	method, host := orDefault(r.Method, http.MethodGet), orDefault(r.Host, r.URL.Host)
	if err := validateHead(method, host, h); err != nil {
		return nil, err
	}
	size := int64(-1)
	if t.store != nil && r.Body != nil && r.Body != http.NoBody {
		if size, err = c.receiveBody(info); err != nil {
			return nil, err
		}
	} else if r.Body != nil && r.Body != http.NoBody {
		whole, err := io.ReadAll(io.LimitReader(r.Body, t.cfg.MaxBody+1))
		switch {
		case err != nil:
			return nil, fmt.Errorf("client: reading the body: %w", err)
		case int64(len(whole)) > t.cfg.MaxBody:
			return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, t.cfg.MaxBody)
		case r.ContentLength > 0 && int64(len(whole)) != r.ContentLength:
			return nil, fmt.Errorf("client: the body has %d bytes, but %d are stated", len(whole), r.ContentLength)
		}
		c.msg.Body = [][]byte{whole}
		size = int64(len(whole))
	} else if method != http.MethodGet && method != http.MethodHead {
		size = 0
	}
	c.msg.Method = method
	c.msg.Head = message.AppendHead(make([]byte, 0, 512), method, r.URL.RequestURI(), host, h, size)
	c.msg.Marked, c.msg.Client = true, c
	c.Call = core.Call{
		ID: id, Class: info.Class, Tenant: info.Tenant, Key: info.About,
		Timeout: wait, Received: time.Now(), Payload: &c.msg, Caller: c,
	}
	if c.reqBody != nil && c.reqBody.IsStreamed() {
		c.Limits = &core.Limits{MaxAttempts: 1, BodyTimeout: c.t.cfg.Keep.Within}
	}
	return c, nil
}

// HasLeft implements message.Client. It also compares the context's deadline with the
// clock, because the context may report its end late.
func (c *call) HasLeft() bool {
	ctx := c.r.Context()
	at, timed := ctx.Deadline()
	return ctx.Err() != nil || timed && time.Now().After(at)
}

// maxWait returns how long the caller waits: the shorter of the context's deadline and the
// request's Req-Deadline-Ms field, 0 if neither is set.
func (c *call) maxWait(field string) (wait time.Duration, err error) {
	if field != "" {
		ms, err := strconv.ParseInt(field, 10, 32)
		if err != nil || ms <= 0 {
			return 0, fmt.Errorf("client: Req-Deadline-Ms: %q is not a positive number of milliseconds", field)
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	if at, ok := c.r.Context().Deadline(); ok {
		left := time.Until(at)
		if left <= 0 {
			return 0, context.DeadlineExceeded
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return wait, nil
}

// validateHead rejects characters that would inject another header line or smuggle a
// second request behind this one (RFC 9110 section 5.5, RFC 9112 section 11).
func validateHead(method, host string, h http.Header) error {
	if !isToken(method) {
		return fmt.Errorf("client: invalid method %q", method)
	}
	if host == "" || strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return fmt.Errorf("client: invalid host %q", host)
	}
	for name, values := range h {
		if !isToken(name) {
			return fmt.Errorf("client: invalid field name %q", name)
		}
		for _, v := range values {
			if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				return fmt.Errorf("client: invalid value of field %q", name)
			}
		}
	}
	return nil
}

// isToken reports whether s is a token as defined in RFC 9110.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
	})
}

// runLocally makes the call through the Transport's own core and blocks until it has a
// response or the request's context ends.
func (c *call) runLocally() (*http.Response, error) {
	ctx := c.r.Context()
	c.t.host.Arrive(&c.Call)
	forwarded := c.forwardDone
	for waiting := true; waiting; {
		select {
		case resp := <-c.responseCh:
			return resp, nil
		case <-forwarded:
			forwarded = nil
			if c.forwardErr == nil {
				c.t.host.BodyComplete(&c.Call)
			} else if c.t.host.ClientGone(&c.Call) {
				return nil, fmt.Errorf("client: reading the body: %w", c.forwardErr)
			}
		case <-ctx.Done():
			waiting = false
		}
	}
	if c.t.host.ClientGone(&c.Call) {
		return nil, ctx.Err()
	}
	resp := <-c.responseCh // the core has already started to respond
	resp.Body.Close()
	return nil, ctx.Err()
}

// Serve implements core.Caller.
func (c *call) Serve(answer any) {
	ans := answer.(*message.Answer)
	c.responseCh <- c.newResponse(orDefault(ans.Status, http.StatusOK), ans.Header, io.NopCloser(bytes.NewReader(ans.Body)), int64(len(ans.Body)))
}

// Refuse implements core.Caller.
func (c *call) Refuse(after time.Duration, _ bool) {
	if c.reqBody != nil {
		c.reqBody.RecordEnd(true)
	}
	c.responseCh <- c.refusedResponse(after)
}

// Fail implements core.Caller.
func (c *call) Fail() {
	if c.reqBody != nil {
		c.reqBody.RecordEnd(false)
	}
	c.responseCh <- c.failedResponse()
}

// Release implements core.Caller.
func (c *call) Release() {
	if c.reqBody != nil {
		c.reqBody.Drop()
	}
}

// Stream implements core.Caller.
func (c *call) Stream(answer any, abort func()) core.Stream {
	s, resp := c.startStream(answer.(*message.Answer), abort)
	c.responseCh <- resp
	return s
}

func (c *call) refusedResponse(after time.Duration) *http.Response {
	h := http.Header{VerdictField: {"refused"}}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	return c.newResponse(http.StatusServiceUnavailable, h, http.NoBody, 0)
}

func (c *call) failedResponse() *http.Response {
	return c.newResponse(http.StatusBadGateway, http.Header{VerdictField: {"failed"}}, http.NoBody, 0)
}

// unansweredResponse returns the response for a call that may have run: a refusal, which
// invites a repeat, only if the class allows the call to run again, else a failure.
func (c *call) unansweredResponse() *http.Response {
	if c.class.Effect == chalkrack.Safe || c.class.Effect == chalkrack.Keyed && c.class.Scope == chalkrack.ScopeAll {
		return c.refusedResponse(c.t.cfg.settings.Config.MaxRetryAfter / 2)
	}
	return c.failedResponse()
}

func (c *call) newResponse(status int, h http.Header, body io.ReadCloser, size int64) *http.Response {
	if h == nil {
		h = make(http.Header)
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding"} {
		h.Del(name)
	}
	return &http.Response{
		Status: fmt.Sprintf("%d %s", status, http.StatusText(status)), StatusCode: status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, Body: body, ContentLength: size, Request: c.r,
	}
}

// stream is a response body that is passed on as it arrives. The upstream transport
// writes and the caller reads; each blocks until the other is ready. It ends at the
// latest with the caller's Close, the end of the context or the Transport's Close.
type stream struct {
	c         *call
	pipe      *io.PipeWriter
	abort     func()
	stopWatch func() bool
	remaining int64 // bytes still expected; -1: length not stated
}

// cancel ends a streamed response from the caller's side. It aborts the attempt as well:
// if the server sends nothing, the upstream transport would notice the closed pipe only
// at the next byte.
func (s *stream) cancel(err error) {
	s.pipe.CloseWithError(err)
	s.abort()
}

// streamBody is the response body that the caller reads.
type streamBody struct {
	*io.PipeReader
	s      *stream
	sawEOF bool
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.PipeReader.Read(p)
	b.sawEOF = b.sawEOF || err == io.EOF
	return n, err
}

// Close implements io.Closer. It aborts the attempt unless the body was read to its
// end, in which case the connection is reused.
func (b *streamBody) Close() error {
	err := b.PipeReader.Close()
	if !b.sawEOF {
		b.s.abort()
	}
	return err
}

func (c *call) startStream(ans *message.Answer, abort func()) (*stream, *http.Response) {
	pr, pw := io.Pipe()
	s := &stream{c: c, pipe: pw, abort: abort, remaining: ans.Length}
	ctx := c.r.Context()
	s.stopWatch = context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
	t := c.t
	t.mu.Lock()
	t.active++
	t.streams[s] = struct{}{}
	t.mu.Unlock()
	return s, c.newResponse(orDefault(ans.Status, http.StatusOK), ans.Header, &streamBody{PipeReader: pr, s: s}, ans.Length)
}

// Write implements core.Stream.
func (s *stream) Write(p []byte) (int, error) {
	if s.remaining >= 0 {
		if s.remaining -= int64(len(p)); s.remaining < 0 {
			return 0, errors.New("client: the response body exceeds its stated length")
		}
	}
	return s.pipe.Write(p)
}

// End implements core.Stream.
func (s *stream) End(ok bool) {
	s.stopWatch()
	if ok && s.remaining <= 0 {
		s.pipe.Close()
	} else {
		s.pipe.CloseWithError(io.ErrUnexpectedEOF)
	}
	s.c.t.mu.Lock()
	delete(s.c.t.streams, s)
	s.c.t.mu.Unlock()
	s.c.t.release()
}
