package front

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/core"
	"chalkrack/internal/figures"
	"chalkrack/internal/message"
)

// Exchange is one request and its answer. Its answering methods may be called
// from any goroutine, one of them once.
type Exchange struct {
	core.Call
	Request message.Request

	conn     *conn
	to       Handler // who takes it
	entry    figures.Request
	here     Choice // with a Status: the answer that no server gives
	reserved int64
	kept     *body.Body // nil: none, or Request has it
	tier     bool       // a tier before this one has marked it
	unread   bool       // its client is still sending it; guarded by the server's lock
	keep     bool       // the connection may go on
	http10   bool
}

// parse takes r over; it returns the status to answer at once, 0 for none.
func (x *Exchange) parse(r *http.Request, h Handler) (status int) {
	x.http10 = !r.ProtoAtLeast(1, 1)
	x.to = h
	class := ""
	if choose := x.conn.srv.cfg.Choose; choose != nil {
		c := choose(r, x.conn.listener, source(x.conn.nc))
		if c.Status != 0 {
			if x.here = c; r.Method == http.MethodHead {
				x.here.Body = "" // what follows would be read as the next answer
			}
			return c.Status
		}
		if c.To != nil {
			x.to = c.To
		}
		if class = c.Class; c.Path != "" {
			r.RequestURI = (&url.URL{Path: c.Path, RawQuery: r.URL.RawQuery}).RequestURI()
		}
	}
	// The class tells what may be repeated, and servers go by the path: guards
	// against one that does not exist and two that differ.
	var known bool
	if x.Class, x.Under, known = x.to.Route(r.URL.Path); class != "" {
		x.Class = class // one that routes name is known
	} else if !known {
		return http.StatusNotFound
	}
	if kind := r.Header.Values("Req-Kind"); len(kind) > 1 || len(kind) == 1 && kind[0] != x.Class {
		return http.StatusBadRequest
	}
	id := r.Header.Values("Req-Id")
	if len(id) != 1 || id[0] == "" {
		return http.StatusBadRequest
	}
	x.ID = id[0]
	if d := r.Header.Get("Req-Deadline-Ms"); d != "" {
		ms, err := strconv.ParseInt(d, 10, 32)
		if err != nil || ms < 0 {
			return http.StatusBadRequest
		}
		x.Wait = max(time.Duration(ms)*time.Millisecond, 1)
	}
	if mark := r.Header[message.AttemptsField]; mark != nil {
		x.Limits, x.tier = limits(mark), true
	}
	x.Tenant = r.Header.Get("Req-Owner")
	x.Retry = r.Header.Get("Req-Retry") != ""
	if r.Header.Get("Cookie") != "" {
		if c, err := r.Cookie("user"); err == nil {
			x.Key = c.Value
		}
	}
	return 0
}

// Left implements message.Client. One that has closed its connection has left, though the
// word of it may not have been read yet.
func (x *Exchange) Left() bool { return x.conn.sight.hungUp() }

// source is a client's address.
func source(nc net.Conn) netip.Addr {
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// answerHere answers a request that goes nowhere.
func (x *Exchange) answerHere(status int) {
	field := ""
	if x.here.Location != "" {
		field = "Location: " + x.here.Location + "\r\n"
	}
	x.answer(status, field, nil, []byte(x.here.Body))
}

// compose readies a request with a body that lies in memory.
func (x *Exchange) compose(r *http.Request, body [][]byte) {
	size := int64(-1)
	if body != nil || r.Method != http.MethodGet && r.Method != http.MethodHead {
		size = 0
		for _, p := range body {
			size += int64(len(p))
		}
	}
	x.composeHead(r, size)
	x.Request.Body = body
}

// composeHead readies a request with a body of that size, -1 for none or one in chunks.
func (x *Exchange) composeHead(r *http.Request, size int64) {
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	b := message.AppendHead(make([]byte, 0, 512), r.Method, uri, r.Host, r.Header, size)
	x.Request = message.Request{Method: r.Method, Head: b}
	x.Request.Client = x
	x.Payload, x.Caller = &x.Request, x
}

// limits reads what the tier before leaves to this one. What makes no sense leaves one
// attempt: guards against a spoilt mark that would add attempts to those of the tier
// that set it.
func limits(values []string) *core.Limits {
	mark := strings.Join(values, ",")
	if len(values) == 1 {
		number, _, _ := strings.Cut(mark, ";")
		if n, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && n > 1 {
			return &core.Limits{Attempts: n}
		}
	}
	return &core.Limits{Attempts: 1, Mark: "=" + mark}
}

// Refuse implements core.Caller: the client is told that trying again is harmless.
// A tier before this one is told too when nothing has run, in the words of a server
// that turns a request away: it may then make another attempt, whatever the class.
func (x *Exchange) Refuse(retryAfter time.Duration, unsent bool) {
	field := ""
	if retryAfter > 0 {
		field = retryField(retryAfter)
	}
	if unsent && x.tier {
		field += "Srv-Declined: 1\r\n"
	}
	field += x.unkept(true)
	x.answer(http.StatusServiceUnavailable, field, nil, nil)
}

// Fail implements core.Caller: the client is told that the request failed.
func (x *Exchange) Fail() { x.answer(http.StatusBadGateway, x.unkept(false), nil, nil) }

// Serve implements core.Caller: a server's whole answer, a *message.Answer, is passed
// on.
func (x *Exchange) Serve(answer any) {
	ans := answer.(*message.Answer)
	x.answer(statusOf(ans), "", ans.Header, ans.Body)
}

func statusOf(ans *message.Answer) int {
	if ans.Status == 0 {
		return http.StatusOK
	}
	return ans.Status
}

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
	closing := c.srv.tells(x, true)
	x.keep = x.keep && !closing
	buf := buffers.Get().(*[]byte)
	b := message.AppendLength(x.head((*buf)[:0], status, field, h), int64(len(body)))
	b = append(b, "\r\n"...)
	b = append(b, body...)
	// Small ones too: guards against a client that asks and never reads, whose full
	// buffers would hold up whoever brings the answer.
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(b)
	*buf = b
	giveBack(buf)
	x.counted(status, err == nil)
	x.end(err == nil)
}

// counted counts the request's end, and that it came where it ends at the front.
func (x *Exchange) counted(status int, whole bool) {
	x.conn.srv.cfg.Figures.Take(&x.entry, x.Class)
	switch {
	case !whole:
		x.entry.Over(figures.Aborted)
	case status == http.StatusOK:
		x.entry.Over(figures.Succeeded)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		x.entry.Over(figures.Declined)
	default:
		x.entry.Over(figures.Aborted)
	}
}

func (x *Exchange) head(b []byte, status int, field string, h http.Header) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = append(b, field...)
	if x.conn.srv.cfg.TellConfig && x.Under.Gen != nil {
		b = append(strconv.AppendInt(append(b, "Fawn-Config: "...), int64(x.Under.Gen.ID), 10), "\r\n"...)
	}
	b = message.AppendFields(b, h)
	if !x.keep {
		b = append(b, "Connection: close\r\n"...)
	} else if x.http10 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// tells says whether a connection ends with an answer, which is about to tell its client so: the
// server drains, or the client has sent, or still sends, what nobody will read as a request. The
// id of a request whose answer is whole is free from here on: its client may ask again, on another
// connection too, before this side has noted the answer's end.
func (s *Server) tells(x *Exchange, whole bool) (closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.conn.told = true; whole {
		s.free(x)
	}
	return s.draining || x.unread || x.conn.flood
}

// end frees the connection of an answered request. Guards against one that counts
// as busy for ever: it could be neither evicted nor closed at a drain. One that does not go
// on is half-closed here, so that the client learns of it at once; its own goroutine, which
// may be reading, closes it.
func (x *Exchange) end(ok bool) {
	c := x.conn
	if !ok {
		cut(c)
	}
	s := c.srv
	s.mu.Lock()
	keep := ok && x.keep && !c.flood
	if c.x != nil {
		s.free(c.x)
	}
	c.x, c.busy, c.since = nil, false, time.Now()
	c.shut = c.shut || !ok
	c.ending = c.ending || !keep
	half := ok && !keep && !c.shut && !x.unread // else its reader does so, when the client can have seen the answer
	switch {
	case half:
		c.halfClose()
	case c.ahead:
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	if !ok {
		c.nc.Close()
	}
	c.served.Signal()
}

// Release implements core.Caller: it gives the body's bytes back.
func (x *Exchange) Release() {
	if x.kept != nil {
		x.kept.Drop()
	}
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
	status  int
	chunked bool
	head    []byte
	left    int64
}

// Stream implements core.Caller. That a client has left shows when it is written to. The answer, a *message.Answer, holds the beginning.
func (x *Exchange) Stream(answer any, _ func()) core.Stream {
	ans := answer.(*message.Answer)
	w := &Stream{x: x, status: statusOf(ans), left: ans.Length}
	closing := x.conn.srv.tells(x, false)
	x.keep = x.keep && !closing
	if ans.Length < 0 {
		w.chunked = !x.http10
		x.keep = x.keep && w.chunked
	}
	w.head = x.head(nil, statusOf(ans), "", ans.Header)
	if ans.Length >= 0 {
		w.head = message.AppendLength(w.head, ans.Length)
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
	w.x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.x.conn.nc.Write(b); err != nil {
		return 0, err
	}
	return len(p), nil
}

var _ core.Caller = (*Exchange)(nil)

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
	w.x.counted(w.status, ok)
	w.x.end(ok)
}
