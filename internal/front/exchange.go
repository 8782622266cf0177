package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/upstream"
)

// Exchange is one request and its answer. Its answering methods may be called
// from any goroutine, one of them once.
type Exchange struct {
	Request  upstream.Request
	Class    string
	Tenant   string
	Key      string
	Wait     time.Duration
	Received time.Time
	State    any // the handler's

	conn     *conn
	id       string
	body     [][]byte
	reserved int64
	keep     bool // the connection may go on
	http10   bool
}

var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Req-Deadline-Ms": true,
}

// parse takes r over; it returns the status to answer at once, 0 for none.
func (x *Exchange) parse(r *http.Request, h Handler) (status int) {
	x.http10 = !r.ProtoAtLeast(1, 1)
	// The class tells what may be repeated, and servers go by the path: guards
	// against one that does not exist and two that differ.
	x.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !h.Known(x.Class) {
		return http.StatusNotFound
	}
	if kind := r.Header.Values("Req-Kind"); len(kind) > 1 || len(kind) == 1 && kind[0] != x.Class {
		return http.StatusBadRequest
	}
	id := r.Header.Values("Req-Id")
	if len(id) != 1 || id[0] == "" {
		return http.StatusBadRequest
	}
	x.id = id[0]
	if d := r.Header.Get("Req-Deadline-Ms"); d != "" {
		ms, err := strconv.ParseInt(d, 10, 32)
		if err != nil || ms < 0 {
			return http.StatusBadRequest
		}
		x.Wait = max(time.Duration(ms)*time.Millisecond, 1)
	}
	x.Tenant = r.Header.Get("Req-Owner")
	if r.Header.Get("Cookie") != "" {
		if c, err := r.Cookie("user"); err == nil {
			x.Key = c.Value
		}
	}
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, uri...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, r.Header)
	if x.body != nil || r.Method != http.MethodGet && r.Method != http.MethodHead {
		size := 0
		for _, p := range x.body {
			size += len(p)
		}
		b = appendLength(b, int64(size))
	}
	x.Request = upstream.Request{Method: r.Method, Head: b, Body: x.body}
	return 0
}

func appendHeader(b []byte, h http.Header) []byte {
	for name, values := range h {
		if hop[name] {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// Refuse tells the client that trying again is harmless.
func (x *Exchange) Refuse(retryAfter time.Duration) {
	field := ""
	if retryAfter > 0 {
		field = "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	x.answer(http.StatusServiceUnavailable, field, nil, nil)
}

// Fail tells the client that the request failed.
func (x *Exchange) Fail() { x.answer(http.StatusBadGateway, "", nil, nil) }

// Serve passes on a server's whole answer.
func (x *Exchange) Serve(ans *upstream.Answer) { x.answer(http.StatusOK, "", ans.Header, ans.Body) }

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// giveBack returns a buffer to its pool, unless it has grown too large to keep.
func giveBack(buf *[]byte) {
	if cap(*buf) <= 80<<10 {
		buffers.Put(buf)
	}
}

// answer writes a whole answer, in one write, and readies the connection for the
// next request.
func (x *Exchange) answer(status int, field string, h http.Header, body []byte) {
	c := x.conn
	x.keep = x.keep && !c.srv.closing()
	buf := buffers.Get().(*[]byte)
	b := appendLength(x.head((*buf)[:0], status, field, h), int64(len(body)))
	b = append(b, "\r\n"...)
	b = append(b, body...)
	// Small ones too: guards against a client that asks and never reads, whose full
	// buffers would hold up whoever brings the answer.
	c.nc.SetWriteDeadline(time.Now().Add(writeMost))
	_, err := c.nc.Write(b)
	*buf = b
	giveBack(buf)
	x.end(err == nil)
}

func (x *Exchange) head(b []byte, status int, field string, h http.Header) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = append(b, field...)
	b = appendHeader(b, h)
	if !x.keep {
		b = append(b, "Connection: close\r\n"...)
	} else if x.http10 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

func (s *Server) closing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// end frees the connection of an answered request. Guards against one that counts
// as busy for ever: it could be neither evicted nor closed at a drain.
func (x *Exchange) end(ok bool) {
	c := x.conn
	if !ok {
		cut(c)
	}
	s := c.srv
	s.mu.Lock()
	keep := ok && x.keep
	if c.x != nil {
		delete(s.open, c.x.id)
	}
	c.x, c.busy, c.since = nil, false, time.Now()
	c.shut = c.shut || !keep
	s.mu.Unlock()
	if !keep {
		c.nc.Close()
	}
	c.served.Signal()
}

// Release gives the body's bytes back to the budget. The handler calls it when
// no attempt needs the body any more.
func (x *Exchange) Release() {
	x.conn.srv.budget.give(x.reserved)
	x.reserved = 0
}

func cut(c *conn) {
	if l, ok := c.nc.(interface{ SetLinger(int) error }); ok {
		l.SetLinger(0)
	}
}

// Stream is a long answer on its way to the client.
type Stream struct {
	x       *Exchange
	chunked bool
	head    []byte
	left    int64
}

// Stream begins a long answer; ans.Body is its beginning.
func (x *Exchange) Stream(ans *upstream.Answer) *Stream {
	w := &Stream{x: x, left: ans.Length}
	x.keep = x.keep && !x.conn.srv.closing()
	if ans.Length < 0 {
		w.chunked = !x.http10
		x.keep = x.keep && w.chunked
	}
	w.head = x.head(nil, http.StatusOK, "", ans.Header)
	if ans.Length >= 0 {
		w.head = appendLength(w.head, ans.Length)
	} else if w.chunked {
		w.head = append(w.head, "Transfer-Encoding: chunked\r\n"...)
	}
	w.head = append(w.head, "\r\n"...)
	return w
}

var errTooMuch = errors.New("front: more than the stated length")

// Write passes a part on at once.
func (w *Stream) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	b := w.head
	w.head = nil
	if w.chunked {
		b = strconv.AppendInt(b, int64(len(p)), 16)
		b = append(b, "\r\n"...)
		b = append(b, p...)
		b = append(b, "\r\n"...)
	} else {
		if w.left >= 0 {
			if w.left -= int64(len(p)); w.left < 0 {
				return 0, errTooMuch
			}
		}
		b = append(b, p...)
	}
	w.x.conn.nc.SetWriteDeadline(time.Now().Add(writeMost))
	if _, err := w.x.conn.nc.Write(b); err != nil {
		return 0, err
	}
	return len(p), nil
}

var _ io.Writer = (*Stream)(nil)

// End ends the answer; ok says that all of it came.
func (w *Stream) End(ok bool) {
	if ok && w.chunked {
		_, err := w.x.conn.nc.Write(append(w.head, "0\r\n\r\n"...))
		ok = err == nil
	}
	if w.left > 0 {
		ok = false
	}
	w.x.conn.nc.SetWriteDeadline(time.Time{})
	w.x.end(ok)
}
