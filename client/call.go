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

// call is one call: the core's Caller where the Transport decides on it.
type call struct {
	core.Call
	t       *Transport
	r       *http.Request
	class   *chalkrack.Class
	keyed   bool // it carries a key
	msg     message.Request
	answers chan *http.Response // holds the one answer
	kept    *body.Body          // nil: none, or msg has it

	// Of a body that is not kept:
	forwarded  chan struct{}
	forwardErr error // once forwarded is closed
	closing    sync.Once
}

// ErrBodyTooLarge is the error of a call whose body can't be kept for another attempt.
var ErrBodyTooLarge = errors.New("client: body too large to keep")

// prepare reads a request whole, but for a body that is not kept. It closes the
// request's body in any case, or leaves that to the call's forward.
func (t *Transport) prepare(r *http.Request) (c *call, err error) {
	defer func() {
		if c == nil || c.kept == nil || !c.kept.Coming() {
			closeBody(r)
		}
	}()
	info, err := t.plan.Classify(r)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	c = &call{t: t, r: r, class: t.plan.set.ClassOf(info.Class), keyed: info.Key != "", answers: make(chan *http.Response, 1)}
	switch {
	case c.class == nil:
		return nil, fmt.Errorf("client: there is no class %q", info.Class)
	case c.class.Effect == chalkrack.Keyed && !c.keyed:
		return nil, fmt.Errorf("client: class %q needs an Idempotency-Key", info.Class)
	case r.URL == nil:
		return nil, errors.New("client: a request without URL")
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
	if c.keyed {
		h.Set("Idempotency-Key", info.Key)
	}
	wait, err := c.wait(h.Get("Req-Deadline-Ms"))
	if err != nil {
		return nil, err
	}
	method, host := or(r.Method, http.MethodGet), or(r.Host, r.URL.Host)
	if err := checkHead(method, host, h); err != nil {
		return nil, err
	}
	size := int64(-1)
	if t.store != nil && r.Body != nil && r.Body != http.NoBody {
		if size, err = c.keep(info); err != nil {
			return nil, err
		}
	} else if r.Body != nil && r.Body != http.NoBody {
		whole, err := io.ReadAll(io.LimitReader(r.Body, t.plan.MaxBody+1))
		switch {
		case err != nil:
			return nil, fmt.Errorf("client: reading the body: %w", err)
		case int64(len(whole)) > t.plan.MaxBody:
			return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, t.plan.MaxBody)
		case r.ContentLength > 0 && int64(len(whole)) != r.ContentLength:
			return nil, fmt.Errorf("client: body of %d bytes, %d are stated", len(whole), r.ContentLength)
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
		Wait: wait, Received: time.Now(), Payload: &c.msg, Caller: c,
	}
	if c.kept != nil && c.kept.Coming() {
		c.Limits = &core.Limits{Attempts: 1, Coming: c.t.plan.Keep.Within}
	}
	return c, nil
}

// Left implements message.Client. A context's end may be due and not told yet.
func (c *call) Left() bool {
	ctx := c.r.Context()
	at, timed := ctx.Deadline()
	return ctx.Err() != nil || timed && time.Now().After(at)
}

// wait is how long the caller waits: what the context says, or the request, at most.
func (c *call) wait(field string) (wait time.Duration, err error) {
	if field != "" {
		ms, err := strconv.ParseInt(field, 10, 32)
		if err != nil || ms <= 0 {
			return 0, fmt.Errorf("client: Req-Deadline-Ms: %q is no time in milliseconds", field)
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

// checkHead guards against a field that would end its line and begin another, or hide
// a request behind this one (RFC 9110 section 5.5, RFC 9112 section 11).
func checkHead(method, host string, h http.Header) error {
	if !token(method) {
		return fmt.Errorf("client: method %q", method)
	}
	if host == "" || strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return fmt.Errorf("client: host %q", host)
	}
	for name, values := range h {
		if !token(name) {
			return fmt.Errorf("client: field name %q", name)
		}
		for _, v := range values {
			if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				return fmt.Errorf("client: value of field %q", name)
			}
		}
	}
	return nil
}

// token is RFC 9110's.
func token(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
	})
}

// decide has the Transport's own core make the call.
func (c *call) decide() (*http.Response, error) {
	ctx := c.r.Context()
	c.t.host.Arrive(&c.Call)
	forwarded := c.forwarded
	for waiting := true; waiting; {
		select {
		case resp := <-c.answers:
			return resp, nil
		case <-forwarded:
			forwarded = nil
			if c.forwardErr == nil {
				c.t.host.Whole(&c.Call)
			} else if c.t.host.Gone(&c.Call) {
				return nil, fmt.Errorf("client: reading the body: %w", c.forwardErr)
			}
		case <-ctx.Done():
			waiting = false
		}
	}
	if c.t.host.Gone(&c.Call) {
		return nil, ctx.Err()
	}
	resp := <-c.answers // it is under way
	resp.Body.Close()
	return nil, ctx.Err()
}

// Serve implements core.Caller.
func (c *call) Serve(answer any) {
	ans := answer.(*message.Answer)
	c.answers <- c.response(or(ans.Status, http.StatusOK), ans.Header, io.NopCloser(bytes.NewReader(ans.Body)), int64(len(ans.Body)))
}

// Refuse implements core.Caller.
func (c *call) Refuse(after time.Duration, _ bool) {
	if c.kept != nil {
		c.kept.Ended(true)
	}
	c.answers <- c.answerRefused(after)
}

// Fail implements core.Caller.
func (c *call) Fail() {
	if c.kept != nil {
		c.kept.Ended(false)
	}
	c.answers <- c.answerFailed()
}

// Release implements core.Caller.
func (c *call) Release() {
	if c.kept != nil {
		c.kept.Drop()
	}
}

// Stream implements core.Caller.
func (c *call) Stream(answer any, abort func()) core.Stream {
	s, resp := c.stream(answer.(*message.Answer), abort)
	c.answers <- resp
	return s
}

func (c *call) answerRefused(after time.Duration) *http.Response {
	h := http.Header{VerdictField: {"refused"}}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	return c.response(http.StatusServiceUnavailable, h, http.NoBody, 0)
}

func (c *call) answerFailed() *http.Response {
	return c.response(http.StatusBadGateway, http.Header{VerdictField: {"failed"}}, http.NoBody, 0)
}

// answerUnanswered is for a call that may have run: only what its class lets run again
// may be refused.
func (c *call) answerUnanswered() *http.Response {
	if c.class.Effect == chalkrack.Safe || c.class.Effect == chalkrack.Keyed && c.class.Scope == chalkrack.ScopeAll {
		return c.answerRefused(c.t.plan.set.Config.MaxRetryAfter / 2)
	}
	return c.answerFailed()
}

func (c *call) response(status int, h http.Header, body io.ReadCloser, size int64) *http.Response {
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

// stream is a long answer on its way: its transport writes, the caller reads, and waits
// for the other. It ends with the caller's Close, with the context and with the
// Transport's Close at the latest.
type stream struct {
	c     *call
	pipe  *io.PipeWriter
	abort func()
	stop  func() bool
	left  int64 // -1: not stated
}

// breakOff ends a long answer from the caller's side. Guards against a server that says
// nothing: its transport would notice only with the next byte.
func (s *stream) breakOff(err error) {
	s.pipe.CloseWithError(err)
	s.abort()
}

// streamBody is the caller's end.
type streamBody struct {
	*io.PipeReader
	s     *stream
	whole bool
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.PipeReader.Read(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

// Close implements io.Closer. The connection of an answer that was read to its end
// goes on.
func (b *streamBody) Close() error {
	err := b.PipeReader.Close()
	if !b.whole {
		b.s.abort()
	}
	return err
}

func (c *call) stream(ans *message.Answer, abort func()) (*stream, *http.Response) {
	pr, pw := io.Pipe()
	s := &stream{c: c, pipe: pw, abort: abort, left: ans.Length}
	ctx := c.r.Context()
	s.stop = context.AfterFunc(ctx, func() { s.breakOff(ctx.Err()) })
	t := c.t
	t.mu.Lock()
	t.busy++
	t.streams[s] = struct{}{}
	t.mu.Unlock()
	return s, c.response(or(ans.Status, http.StatusOK), ans.Header, &streamBody{PipeReader: pr, s: s}, ans.Length)
}

// Write implements core.Stream.
func (s *stream) Write(p []byte) (int, error) {
	if s.left >= 0 {
		if s.left -= int64(len(p)); s.left < 0 {
			return 0, errors.New("client: more than the stated length")
		}
	}
	return s.pipe.Write(p)
}

// End implements core.Stream.
func (s *stream) End(ok bool) {
	s.stop()
	if ok && s.left <= 0 {
		s.pipe.Close()
	} else {
		s.pipe.CloseWithError(io.ErrUnexpectedEOF)
	}
	s.c.t.mu.Lock()
	delete(s.c.t.streams, s)
	s.c.t.mu.Unlock()
	s.c.t.leave()
}
