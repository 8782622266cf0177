package front

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"chalkrack/internal/httphead"
)

// limitedConn is the input of a connection, which fails with httphead.ErrTooLong once remaining
// bytes have been read.
type limitedConn struct {
	net.Conn
	remaining int64
	clock     *lastByteClock // of the body that is being read; nil: none
}

func (r *limitedConn) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, httphead.ErrTooLong
	}
	if r.clock != nil {
		r.clock.beforeRead()
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.remaining)])
	if r.clock != nil {
		r.clock.afterRead(n)
	}
	r.remaining -= int64(n)
	return n, err
}

// incomingRequest is a request whose head has been parsed and whose body is still to be read.
type incomingRequest struct {
	exchange        *Exchange
	status          int       // to be answered instead of passing the request on; 0: none
	hasRoom         bool      // there is memory for its head
	body            io.Reader // http.NoBody: none
	length          int64     // of the body, in bytes; -1: unknown
	expectsContinue bool      // the client waits for 100 Continue
}

// readRequest reads one request. If it returns no Exchange, a status above 0 is to be answered
// before the connection ends; 0: the request has been answered; below 0: the connection ends
// without a further answer.
func (c *conn) readRequest(crowded bool) (*Exchange, int) {
	in, status := c.readHead()
	if status != 0 {
		return nil, status
	}
	x, status := c.readAfterHead(in, crowded)
	if x == nil {
		in.exchange.releaseHead()
	}
	return x, status
}

// readHead reads and parses the head of a request. A status other than 0 means the same as that of
// readRequest.
func (c *conn) readHead() (in *incomingRequest, status int) {
	c.nc.SetReadDeadline(c.headStart.Add(headTimeout))
	reader := httphead.Reader{Buffer: c.br, Source: &c.source, Kind: httphead.Request}
	head, err := reader.Read(c.growHead)
	if err == nil {
		in, err = c.parseRequest(head)
		reader.Parsed()
	}
	c.srv.mu.Lock()
	c.inHead = false
	c.srv.mu.Unlock()
	if err != nil {
		c.headRoom.Release()
	}
	var netErr net.Error
	switch {
	case err == nil:
		return in, 0
	case errors.Is(err, httphead.ErrTooLong):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, httphead.ErrNoRoom):
		slog.Warn("request refused: no memory for its head", "conns", c.srv.describeConns())
		c.rejectWith(http.StatusServiceUnavailable, retryAfterField(limitRetryAfter))
		return nil, -1
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr):
		c.logClose("head incomplete", err)
		return nil, -1
	}
	return nil, http.StatusBadRequest
}

// growHead reserves size bytes for a long head. It blocks until there is room, until headRoomTimeout
// is over or until the connection is evicted, and reports false in the last two cases.
func (c *conn) growHead(size int64) bool {
	s := c.srv
	s.mu.Lock()
	if c.closed {
		s.mu.Unlock()
		return false
	}
	if c.headRoom == nil {
		c.headRoom = s.cfg.Heads.Reserve()
	}
	room := c.headRoom
	s.mu.Unlock()
	return room.Grow(size, c.headStart.Add(headRoomTimeout))
}

var (
	errAmbiguousLength = errors.New("front: ambiguous body length: Transfer-Encoding with Content-Length or with HTTP/1.0")
	errMalformedHead   = errors.New("front: malformed request head")
)

// parseRequest parses a head that has been read. It returns errAmbiguousLength for one with which a
// second request could be smuggled inside the body. http.ReadRequest silently drops a
// Content-Length beside a Transfer-Encoding, and a Transfer-Encoding of HTTP/1.0, so the raw
// bytes of the head are checked.
//
// What the parser makes of the fields may take many times their bytes. It is dropped before
// parseRequest returns, and long heads are parsed one at a time.
func (c *conn) parseRequest(head httphead.Head) (*incomingRequest, error) {
	if head.IsLong {
		c.srv.longHeads.Lock()
		defer c.srv.longHeads.Unlock()
	}
	length, encoding := framingFields(head.Bytes)
	r, err := http.ReadRequest(c.br)
	switch {
	case err != nil:
		return nil, err
	case head.IsMalformed: // what the parser has read beyond these bytes is not checked
		return nil, errMalformedHead
	case encoding && (length || !r.ProtoAtLeast(1, 1)):
		return nil, errAmbiguousLength
	}
	x := &Exchange{conn: c, keepAlive: !r.Close}
	in := &incomingRequest{exchange: x, hasRoom: true, body: r.Body, length: r.ContentLength}
	in.expectsContinue = r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if in.status = x.parseHead(r, c.srv.handler); in.status == 0 {
		x.composeHead(r, len(head.Bytes))
	}
	if r.URL.Path == "/_health" {
		in.status = c.healthStatus()
	}
	in.hasRoom = c.passHeadRoom(x)
	r.Header = nil // the body refers to r
	return in, nil
}

// passHeadRoom passes the room of the head from the connection to x, which holds it until its end,
// and reports whether it is enough for the head that x forwards.
func (c *conn) passHeadRoom(x *Exchange) bool {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	x.headRoom, c.headRoom = c.headRoom, nil
	return x.headRoom == nil || x.headRoom.Resize(int64(cap(x.Request.Head)))
}

// healthStatus returns the status of an answer to a health check.
func (c *conn) healthStatus() int {
	if c.srv.handler.Ready() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

// readAfterHead reads the body of a request, or arranges that it is forwarded. It returns the same
// values as readRequest.
func (c *conn) readAfterHead(in *incomingRequest, crowded bool) (*Exchange, int) {
	c.in.remaining = math.MaxInt64
	if c.srv.cfg.Bodies != nil || c.srv.cfg.LongBodies != nil && (in.length > maxShortBodyBytes || in.length < 0) {
		return c.readStoredRequest(in, crowded)
	}
	if in.length > maxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if in.expectsContinue {
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the deadline of the last answer may have passed
		c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, reserved, status := c.readBody(in)
	if status != 0 {
		return nil, status
	}
	c.nc.SetReadDeadline(time.Time{})
	x := in.exchange
	x.Received, x.reservedBytes = time.Now(), reserved
	switch {
	case in.status != 0:
		x.answerLocally(in.status)
	case !in.hasRoom, reserved < 0, crowded && !c.srv.evictConn(0): // a complete request has priority over a connection that is still in its head
		slog.Warn("request refused: connection or memory limit reached", "crowded", crowded, "head", in.hasRoom, "conns", c.srv.describeConns())
		x.keepAlive = x.keepAlive && !crowded
		x.Refuse(limitRetryAfter, true)
	default:
		x.setBody(body)
		return x, 0
	}
	x.Release()
	return nil, 0
}

// framingFields reports which fields of a raw head define the length of the body.
func framingFields(head []byte) (length, encoding bool) {
	for line := range bytes.Lines(head) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		switch {
		case len(bytes.TrimSpace(line)) == 0:
			return length, encoding
		case !ok:
		case bytes.EqualFold(name, []byte("Content-Length")):
			length = true
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encoding = true
		}
	}
	return length, encoding
}

// limitRetryAfter is the Retry-After of a request that is refused at a limit.
const limitRetryAfter = 200 * time.Millisecond
