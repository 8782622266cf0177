package front

import (
	"errors"
	"log/slog"
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
	"chalkrack/internal/httphead"
	"chalkrack/internal/message"
)

// Exchange is one request and its answer. It implements core.Caller. Of the methods that
// answer, Serve, Refuse, Fail and Stream, one is called, once; from any goroutine.
type Exchange struct {
	core.Call
	Request message.Request

	conn          *conn
	handler       Handler // takes the call
	counter       figures.Request
	localAnswer   Choice // the answer of the sidecar itself, if its Status is not 0
	reservedBytes int64
	headRoom      *httphead.Reservation // of a long head; nil: none
	keptBody      *body.Body            // nil: there is no body, or Request.Body holds it
	isBehindTier  bool                  // a balancer tier in front of this one has set the attempts mark
	bodyUnread    bool                  // the client is still sending the body; guarded by the server's lock
	keepAlive     bool                  // the connection may go on after the answer
	isHTTP10      bool
}

// parseHead sets the call from the head r, with h as the default handler. It returns the
// status to answer instead of passing the call on, 0 if there is none.
func (x *Exchange) parseHead(r *http.Request, h Handler) (status int) {
	x.isHTTP10 = !r.ProtoAtLeast(1, 1)
	x.handler = h
	class := ""
	if choose := x.conn.srv.cfg.Choose; choose != nil {
		c := choose(r, x.conn.listener, clientAddr(x.conn.nc))
		if c.Status != 0 {
			if x.localAnswer = c; r.Method == http.MethodHead {
				x.localAnswer.Body = "" // the client would read a body as its next answer
			}
			return c.Status
		}
		if c.Handler != nil {
			x.handler = c.Handler
		}
		if class = c.Class; c.Path != "" {
			r.RequestURI = (&url.URL{Path: c.Path, RawQuery: r.URL.RawQuery}).RequestURI()
		}
	}
	// The class decides what may be repeated, and servers act by the path. So a class that
	// does not exist, or a Req-Kind that differs from the class of the path, is an error.
	var known bool
	if x.Class, x.Generation, known = x.handler.Route(r.URL.Path); class != "" {
		x.Class = class // routes name known classes only
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
		x.Timeout = max(time.Duration(ms)*time.Millisecond, 1)
	}
	if mark := r.Header[message.AttemptsField]; mark != nil {
		x.Limits, x.isBehindTier = tierLimits(mark), true
	}
	x.Tenant = r.Header.Get("Req-Owner")
	x.IsRetry = r.Header.Get("Req-Retry") != ""
	if r.Header.Get("Cookie") != "" {
		if c, err := r.Cookie("user"); err == nil {
			x.Key = c.Value
		}
	}
	return 0
}

// HasLeft implements message.Client. It reports whether the client has closed its connection,
// also if the end of the stream has not been read yet.
func (x *Exchange) HasLeft() bool { return x.conn.peeker.remoteClosed() }

// clientAddr returns the address of the client, or the zero Addr if it is not a TCP address.
func clientAddr(nc net.Conn) netip.Addr {
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// answerLocally answers a request that is not passed to a handler.
func (x *Exchange) answerLocally(status int) {
	field := ""
	if x.localAnswer.Location != "" {
		field = "Location: " + x.localAnswer.Location + "\r\n"
	}
	x.writeAnswer(status, field, nil, []byte(x.localAnswer.Body))
}

// setBody completes Request with a body that is in memory, nil for none.
func (x *Exchange) setBody(body [][]byte) {
	if body != nil || x.Request.Method != http.MethodGet && x.Request.Method != http.MethodHead {
		size := int64(0)
		for _, p := range body {
			size += int64(len(p))
		}
		x.Request.Head = message.AppendLength(x.Request.Head, size)
	}
	x.Request.Body = body
}

const (
	// minHeadBytes is the initial capacity of a composed head, and enough for most.
	minHeadBytes = 512
	// lengthFieldBytes is the capacity that a composed head has left for its Content-Length field.
	lengthFieldBytes = 64
)

// composeHead sets Request without its body and the field for its length. received is the length of
// the head as it was received, in bytes.
func (x *Exchange) composeHead(r *http.Request, received int) {
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	b := message.AppendHead(make([]byte, 0, max(minHeadBytes, received+lengthFieldBytes)), r.Method, uri, r.Host, r.Header, -1)
	if cap(b) > connBufferBytes { // a long head: hold no more than it needs
		b = append(make([]byte, 0, len(b)+lengthFieldBytes), b...)
	}
	x.Request = message.Request{Method: r.Method, Head: b}
	x.Request.Client = x
	x.Payload, x.Caller = &x.Request, x
}

// tierLimits parses the attempts mark, in which the tier in front of this one states how many
// attempts it leaves to it. An invalid mark leaves one attempt; otherwise a damaged mark would
// multiply the attempts of the tier that set it.
func tierLimits(values []string) *core.Limits {
	mark := strings.Join(values, ",")
	if len(values) == 1 {
		number, _, _ := strings.Cut(mark, ";")
		if n, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && n > 1 {
			return &core.Limits{MaxAttempts: n, FromTier: true}
		}
	}
	return &core.Limits{MaxAttempts: 1, Mark: "=" + mark, FromTier: true}
}

// Refuse implements core.Caller: it answers with 503, which tells the client that it may safely
// retry. If no attempt can have run, a tier in front of this one is told so with Srv-Declined,
// as a server does that refuses a request; the tier may then make another attempt, whatever
// the class.
func (x *Exchange) Refuse(retryAfter time.Duration, unsent bool) {
	field := ""
	if retryAfter > 0 {
		field = retryAfterField(retryAfter)
	}
	if unsent && x.isBehindTier {
		field += "Srv-Declined: 1\r\n"
	}
	field += x.unkeptBodyField(true)
	x.writeAnswer(http.StatusServiceUnavailable, field, nil, nil)
}

// Fail implements core.Caller: it answers with 502, because the request failed and may have run.
func (x *Exchange) Fail() { x.writeAnswer(http.StatusBadGateway, x.unkeptBodyField(false), nil, nil) }

// Serve implements core.Caller: it writes the complete answer of a server, a *message.Answer,
// to the client.
func (x *Exchange) Serve(answer any) {
	ans := answer.(*message.Answer)
	x.writeAnswer(answerStatus(ans), "", ans.Header, ans.Body)
}

// answerStatus returns the status of an answer, whose zero value stands for 200.
func answerStatus(ans *message.Answer) int {
	if ans.Status == 0 {
		return http.StatusOK
	}
	return ans.Status
}

// buffers holds *[]byte for the heads that are read and the answers that are written.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// putBuffer returns buf to the pool, unless it has grown too large to keep.
func putBuffer(buf *[]byte) {
	if cap(*buf) <= 80<<10 {
		buffers.Put(buf)
	}
}

// writeAnswer writes a complete answer in one write and makes the connection ready for the
// next request. field holds extra header lines.
func (x *Exchange) writeAnswer(status int, field string, h http.Header, body []byte) {
	c := x.conn
	closing := c.srv.beginAnswer(x, true)
	x.keepAlive = x.keepAlive && !closing
	buf := buffers.Get().(*[]byte)
	b := message.AppendLength(x.appendHead((*buf)[:0], status, field, h), int64(len(body)))
	b = append(b, "\r\n"...)
	var long []byte // written from where it is, without a copy
	if len(body) <= maxCopiedBytes {
		b = append(b, body...)
	} else {
		long = body
	}
	// Small answers need a deadline too: a client that sends requests and never reads fills
	// the socket buffers, and the write would block the goroutine that delivers the answer.
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	var err error
	if long == nil { // without the allocations of several pieces
		_, err = c.nc.Write(b)
	} else {
		err = c.writePieces(b, long)
	}
	*buf = b
	putBuffer(buf)
	x.recordEnd(status, err == nil)
	x.finishAnswer(err == nil)
}

// maxCopiedBytes is the size of the longest body that is copied behind its head. A client that reads
// slowly holds what is written to it.
const maxCopiedBytes = 4 << 10

// writePieces writes the pieces, of which the others may be empty, in one call.
func (c *conn) writePieces(first []byte, others ...[]byte) error {
	pieces := net.Buffers{first}
	for _, piece := range others {
		if len(piece) > 0 {
			pieces = append(pieces, piece)
		}
	}
	_, err := pieces.WriteTo(c.nc)
	return err
}

// recordEnd counts the outcome of the request by status; an answer that was not written in
// full counts as aborted. It counts the arrival too if that has not been counted, for requests
// that were never passed on.
func (x *Exchange) recordEnd(status int, complete bool) {
	x.conn.srv.cfg.Figures.CountRequest(&x.counter, x.Class)
	switch {
	case !complete:
		x.counter.CountEnd(figures.Aborted)
	case status == http.StatusOK:
		x.counter.CountEnd(figures.Succeeded)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		x.counter.CountEnd(figures.Declined)
	default:
		x.counter.CountEnd(figures.Aborted)
	}
}

// appendHead appends the status line and header of an answer to b, without the field for the
// length and the final empty line.
func (x *Exchange) appendHead(b []byte, status int, field string, h http.Header) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = append(b, field...)
	if x.conn.srv.cfg.SendConfigID && x.Generation.Gen != nil {
		b = append(strconv.AppendInt(append(b, "Fawn-Config: "...), int64(x.Generation.Gen.ID), 10), "\r\n"...)
	}
	b = message.AppendFields(b, h)
	if !x.keepAlive {
		b = append(b, "Connection: close\r\n"...)
	} else if x.isHTTP10 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}

// beginAnswer is called before the head of an answer is written. It reports whether the answer
// has to announce the end of the connection: the server is draining, the client is still
// sending the body, or bytes that it sent were discarded. If complete is set the answer goes
// out in one write, and the request's id is free from here on: the client may read the answer
// and send the id again, perhaps on another connection, before finishAnswer has run.
func (s *Server) beginAnswer(x *Exchange, complete bool) (closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.conn.answerBegun = true; complete {
		s.freeID(x)
	}
	return s.draining || x.bodyUnread || x.conn.overflowed
}

// maxLoggedIDBytes bounds what the log shows of an ID, which clients choose.
const maxLoggedIDBytes = 64

// finishAnswer makes the connection idle after an answer; a connection that stayed busy could
// be neither evicted nor closed by a drain. If the connection does not go on it is half-closed
// here, so that the client learns of it at once; its own goroutine, which may be reading,
// closes it. If ok is false, the answer is incomplete and the connection is reset.
func (x *Exchange) finishAnswer(ok bool) {
	c := x.conn
	if !ok {
		slog.Info("client connection reset: its answer is incomplete", "request", x.ID[:min(len(x.ID), maxLoggedIDBytes)], "class", x.Class)
		resetOnClose(c)
	}
	s := c.srv
	s.mu.Lock()
	keepAlive := ok && x.keepAlive && !c.overflowed
	if c.current != nil {
		s.freeID(c.current)
	}
	c.current, c.busy, c.stateSince = nil, false, time.Now()
	c.closed = c.closed || !ok
	c.ending = c.ending || !keepAlive
	halfClose := ok && !keepAlive && !c.closed && !x.bodyUnread // with an unread body its goroutine does so, once the client has had time to read the answer
	switch {
	case halfClose:
		c.halfClose()
	case c.readingAhead:
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	if !ok {
		c.nc.Close()
	}
	c.answered.Signal()
}

// Release implements core.Caller: it releases the memory or storage of the request body.
func (x *Exchange) Release() {
	if x.keptBody != nil {
		x.keptBody.Drop()
	}
	x.conn.srv.budget.Release(x.reservedBytes)
	x.reservedBytes = 0
	x.releaseHead()
}

// releaseHead releases the room of a long head. Calls after the first one do nothing.
func (x *Exchange) releaseHead() { x.headRoom.Release() }

// resetOnClose makes closing the connection send a reset, so that an incomplete answer is not
// taken for a complete one.
func resetOnClose(c *conn) {
	if l, ok := c.nc.(interface{ SetLinger(int) error }); ok {
		l.SetLinger(0)
	}
}

// Stream writes a long answer to the client piece by piece. It implements core.Stream.
type Stream struct {
	x         *Exchange
	status    int
	chunked   bool
	head      []byte
	remaining int64
}

// Stream implements core.Caller. answer is a *message.Answer with the status, the header and
// the length. It ignores abort: a client that has left is detected by the next write.
func (x *Exchange) Stream(answer any, _ func()) core.Stream {
	ans := answer.(*message.Answer)
	w := &Stream{x: x, status: answerStatus(ans), remaining: ans.Length}
	closing := x.conn.srv.beginAnswer(x, false)
	x.keepAlive = x.keepAlive && !closing
	if ans.Length < 0 {
		w.chunked = !x.isHTTP10
		x.keepAlive = x.keepAlive && w.chunked
	}
	w.head = x.appendHead(nil, answerStatus(ans), "", ans.Header)
	if ans.Length >= 0 {
		w.head = message.AppendLength(w.head, ans.Length)
	} else if w.chunked {
		w.head = append(w.head, "Transfer-Encoding: chunked\r\n"...)
	}
	w.head = append(w.head, "\r\n"...)
	return w
}

var errLengthExceeded = errors.New("front: answer exceeds its announced length")

// Write sends p to the client at once; the first call also sends the head. It blocks for at
// most writeTimeout.
func (w *Stream) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	head, end := w.head, []byte(nil)
	w.head = nil
	switch {
	case w.chunked:
		head = append(strconv.AppendInt(head, int64(len(p)), 16), "\r\n"...)
		end = []byte("\r\n")
	case w.remaining >= 0:
		if w.remaining -= int64(len(p)); w.remaining < 0 {
			return 0, errLengthExceeded
		}
	}
	w.x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := w.x.conn.writePieces(head, p, end); err != nil {
		return 0, err
	}
	return len(p), nil
}

var _ core.Caller = (*Exchange)(nil)

// End ends the answer. ok reports whether the server sent all of it; if not, or if the announced
// length was not reached, the connection is reset.
func (w *Stream) End(ok bool) {
	if ok && w.chunked {
		_, err := w.x.conn.nc.Write(append(w.head, "0\r\n\r\n"...))
		ok = err == nil
	}
	if w.remaining > 0 {
		ok = false
	}
	w.x.conn.nc.SetWriteDeadline(time.Time{})
	w.x.recordEnd(w.status, ok)
	w.x.finishAnswer(ok)
}
