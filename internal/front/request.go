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

	"chalkrack/internal/core"
)

// limitedConn is the input of a connection, which fails with errHeadTooLong once remaining
// bytes have been read. Without the limit the parser would buffer a head of any length.
type limitedConn struct {
	net.Conn
	remaining int64
	record    *[]byte // if set, all bytes that are read are appended to it
}

var errHeadTooLong = errors.New("front: request head exceeds the size limit")

func (r *limitedConn) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	if r.record != nil {
		*r.record = append(*r.record, p[:n]...)
	}
	return n, err
}

// readRequest reads one request. If it returns no Exchange, a status above 0 is to be answered
// before the connection ends; 0: the request has been answered; below 0: the connection ends
// without a further answer.
func (c *conn) readRequest(crowded bool) (*Exchange, int) {
	c.nc.SetReadDeadline(c.headStart.Add(headTimeout))
	r, err := c.readHead()
	c.srv.mu.Lock()
	c.inHead = false
	c.srv.mu.Unlock()
	if err != nil {
		var netErr net.Error
		switch {
		case errors.Is(err, errHeadTooLong):
			return nil, http.StatusRequestHeaderFieldsTooLarge
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr):
			return nil, -1
		}
		return nil, http.StatusBadRequest
	}
	c.in.remaining = math.MaxInt64
	if c.srv.cfg.Bodies != nil || c.srv.cfg.LongBodies != nil && (r.ContentLength > maxShortBodyBytes || r.ContentLength < 0) {
		return c.readStoredRequest(r, crowded)
	}
	if r.ContentLength > maxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the deadline of the last answer may have passed
		c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, reserved, status := c.readBody(r)
	if status != 0 {
		return nil, status
	}
	c.nc.SetReadDeadline(time.Time{})
	x := &Exchange{Call: core.Call{Received: time.Now()}, conn: c, reservedBytes: reserved, keepAlive: !r.Close}
	if status = x.parseHead(r, c.srv.handler); status == 0 {
		x.composeRequest(r, body)
	}
	switch {
	case r.URL.Path == "/_health":
		status = http.StatusOK
		if !c.srv.handler.Ready() {
			status = http.StatusServiceUnavailable
		}
	case status == 0 && (reserved < 0 || crowded && !c.srv.evictConn(0)): // a complete request has priority over a connection that is still in its head
		slog.Warn("request refused: connection or body memory limit reached", "crowded", crowded, "conns", c.srv.describeConns())
		x.keepAlive = x.keepAlive && !crowded
		x.Refuse(limitRetryAfter, true)
		x.Release()
		return nil, 0
	}
	if status != 0 {
		x.answerLocally(status)
		x.Release()
		return nil, 0
	}
	return x, 0
}

var errAmbiguousLength = errors.New("front: ambiguous body length: Transfer-Encoding with Content-Length or with HTTP/1.0")

// readHead reads the head of a request. It returns errAmbiguousLength for a head with which a
// second request could be smuggled inside the body. http.ReadRequest silently drops a
// Content-Length beside a Transfer-Encoding, and a Transfer-Encoding of HTTP/1.0, so the raw
// bytes of the head are checked.
func (c *conn) readHead() (*http.Request, error) {
	buf := buffers.Get().(*[]byte)
	defer putBuffer(buf)
	buffered, _ := c.br.Peek(c.br.Buffered())
	*buf = append((*buf)[:0], buffered...)
	c.in.record = buf
	r, err := http.ReadRequest(c.br)
	c.in.record = nil
	if err != nil {
		return nil, err
	}
	length, encoding := framingFields(*buf)
	if encoding && (length || !r.ProtoAtLeast(1, 1)) {
		return nil, errAmbiguousLength
	}
	return r, nil
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
