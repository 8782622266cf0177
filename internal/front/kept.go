package front

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/core"
)

// Bodies is how request bodies are kept.
type Bodies struct {
	Store *body.Store
	// Class and Tenant are the places of a name in the settings, -1 for none.
	Class, Tenant func(name string) int
	Longest       int64         // bytes; more is answered 413
	Rate          int64         // bytes a second that a client sends in the mean at least
	Within        time.Duration // how long a body may take in all
	ProxyStatus   bool          // say in Proxy-Status what the lack of a kept body did (RFC 9209)
}

// keeping is how bodies are kept, of those that come here.
func (s *Server) keeping() *Bodies {
	if s.cfg.Bodies != nil {
		return s.cfg.Bodies
	}
	return s.cfg.Long
}

// readKept takes a request behind its head, and its body as far as it is kept.
func (c *conn) readKept(r *http.Request, crowded bool) (*Exchange, int) {
	bs := c.srv.keeping()
	x := &Exchange{conn: c, keep: !r.Close}
	x.Received = time.Now()
	status := x.parse(r, c.srv.handler)
	expects := r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	refused := false
	switch {
	case r.URL.Path == "/_health":
		status = http.StatusOK
		if !c.srv.handler.Ready() {
			status = http.StatusServiceUnavailable
		}
	case status != 0:
	case r.ContentLength > bs.Longest:
		c.rejectWith(http.StatusRequestEntityTooLarge, bs.proxyStatus("http_request_error", "body too long"))
		return nil, -1
	case crowded && !c.srv.evict(0):
		slog.Warn("request refused at a limit", "crowded", crowded, "conns", c.srv.tally())
		refused = true
	}
	if status != 0 || refused {
		return nil, c.endUnread(x, r, status, expects)
	}
	if r.Body == http.NoBody {
		x.compose(r, nil)
		c.nc.SetReadDeadline(time.Time{})
		return x, 0
	}
	in := body.Incoming{Class: bs.Class(x.Class), Tenant: bs.Tenant(x.Tenant), Length: r.ContentLength, Body: c.pace(r.Body, float64(bs.Rate), bs.Within)}
	in.Once = x.tier && x.Limits.Attempts == 1
	if expects {
		in.Body = &continues{c: c, r: in.Body}
	}
	in.Body = &capBody{r: in.Body, left: bs.Longest}
	kept, err := bs.Store.Receive(in)
	if err != nil {
		return nil, c.badBody(x, err)
	}
	x.kept = kept
	x.Received = time.Now()
	if pieces := kept.Pieces(); pieces != nil {
		x.compose(r, pieces)
		x.Request.Again = kept.Retried
	} else {
		x.composeHead(r, kept.Length())
		x.Request.Source, x.Request.Chunked = kept, kept.Length() < 0
	}
	if !kept.Coming() {
		c.nc.SetReadDeadline(time.Time{})
		return x, 0
	}
	// One attempt, whatever the class: what has been sent on can't be sent again.
	limits := core.Limits{}
	if x.Limits != nil {
		limits = *x.Limits
	}
	limits.Coming = bs.Within
	x.Limits, x.unread = &limits, true
	return x, 0
}

// endUnread answers a request whose body is not taken. A short one is read off, so that
// the connection can go on.
func (c *conn) endUnread(x *Exchange, r *http.Request, status int, expects bool) int {
	if r.Body != http.NoBody {
		if expects || r.ContentLength < 0 || r.ContentLength > longBody {
			field := ""
			if status == 0 {
				status, field = http.StatusServiceUnavailable, retryField(limitRetry)
			}
			c.rejectWith(status, field)
			return -1
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return -1
		}
	}
	if status != 0 {
		x.answerHere(status)
	} else {
		x.keep = false
		x.Refuse(limitRetry, true)
	}
	return 0
}

// badBody answers a request whose body could not be taken.
func (c *conn) badBody(x *Exchange, err error) (status int) {
	bs := c.srv.keeping()
	var ne net.Error
	switch {
	case errors.Is(err, body.ErrNoRoom):
		slog.Warn("request refused: no room for its body", "conns", c.srv.tally())
		x.counted(http.StatusServiceUnavailable, true)
		c.rejectWith(http.StatusServiceUnavailable, retryField(limitRetry)+bs.proxyStatus("proxy_internal_error", "no room for the body"))
		return -1
	case errors.Is(err, errTooLong):
		c.rejectWith(http.StatusRequestEntityTooLarge, bs.proxyStatus("http_request_error", "body too long"))
		return -1
	case errors.As(err, &ne) && ne.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return -1
	}
	return http.StatusBadRequest
}

// forward takes the rest of a body that is not kept, for the one attempt that its call
// has; true if the connection goes on.
func (c *conn) forward(x *Exchange) bool {
	s := c.srv
	err := x.kept.Forward()
	c.nc.SetReadDeadline(time.Time{})
	whole := err == nil && x.kept.Whole()
	if whole {
		s.mu.Lock()
		answered := c.x == nil // before the end came: the client was told of a close
		x.unread = answered
		s.mu.Unlock()
		if !answered {
			s.cfg.Figures.Take(&x.entry, x.Class)
			x.to.Whole(&x.Call)
			return true
		}
		c.linger()
		return false
	}
	gone := err != nil && x.to.Gone(&x.Call)
	if err != nil {
		x.kept.Break()
	}
	if gone {
		// What was sent of it has no last byte: no server began it.
		if status := c.badBody(x, err); status > 0 {
			c.reject(status)
		}
		return false
	}
	// The answer came before the body's end, or is on its way.
	s.mu.Lock()
	for c.x != nil {
		c.served.Wait()
	}
	s.mu.Unlock()
	c.linger()
	return false
}

// unkept is what the client is told of a body that was not kept, where its call ends
// without an answer.
func (x *Exchange) unkept(refused bool) string {
	if x.kept == nil || !x.kept.Coming() {
		return ""
	}
	x.kept.Ended(refused)
	if refused {
		return x.conn.srv.keeping().proxyStatus("destination_unavailable", "body not kept: one attempt, which did not run")
	}
	return x.conn.srv.keeping().proxyStatus("connection_terminated", "body not kept: one attempt, which may have run")
}

// proxyStatus is the field of RFC 9209, with one of the error types of its section 2.3.
func (b *Bodies) proxyStatus(kind, details string) string {
	if !b.ProxyStatus {
		return ""
	}
	return "Proxy-Status: fawnrock; error=" + kind + "; details=" + strconv.Quote(details) + "\r\n"
}

func retryField(after time.Duration) string {
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}

// continues asks for a body when it is first read: by then it is decided that there is
// room for it.
type continues struct {
	c     *conn
	r     io.Reader
	asked bool
}

func (a *continues) Read(p []byte) (int, error) {
	if !a.asked {
		a.asked = true
		a.c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the last answer's may be over
		if _, err := a.c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	return a.r.Read(p)
}

var errTooLong = errors.New("front: body too long")

// capBody ends a body in chunks that grows too long.
type capBody struct {
	r    io.Reader
	left int64
}

func (b *capBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n, errTooLong
	}
	return n, err
}
