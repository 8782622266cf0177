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

// capped is a connection's input, which ends after left bytes. Guards against a
// head without end, which the parser would keep whole.
type capped struct {
	net.Conn
	left int64
	head *[]byte // what is read is written down here too, if set
}

var errLongHead = errors.New("front: head too long")

func (r *capped) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongHead
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.head != nil {
		*r.head = append(*r.head, p[:n]...)
	}
	return n, err
}

// read reads one request, or says what is to be answered in its place; below 0: nothing.
func (c *conn) read(crowded bool) (*Exchange, int) {
	c.nc.SetReadDeadline(c.began.Add(headTimeout))
	r, err := c.readHead()
	c.srv.mu.Lock()
	c.head = false
	c.srv.mu.Unlock()
	if err != nil {
		var ne net.Error
		switch {
		case errors.Is(err, errLongHead):
			return nil, http.StatusRequestHeaderFieldsTooLarge
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne):
			return nil, -1
		}
		return nil, http.StatusBadRequest
	}
	c.in.left = math.MaxInt64
	if c.srv.cfg.Bodies != nil || c.srv.cfg.Long != nil && (r.ContentLength > longBody || r.ContentLength < 0) {
		return c.readKept(r, crowded)
	}
	if r.ContentLength > maxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // the last answer's may be over
		c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, kept, status := c.readBody(r)
	if status != 0 {
		return nil, status
	}
	c.nc.SetReadDeadline(time.Time{})
	x := &Exchange{Call: core.Call{Received: time.Now()}, conn: c, reserved: kept, keep: !r.Close}
	if status = x.parse(r, c.srv.handler); status == 0 {
		x.compose(r, body)
	}
	switch {
	case r.URL.Path == "/_health":
		status = http.StatusOK
		if !c.srv.handler.Ready() {
			status = http.StatusServiceUnavailable
		}
	case status == 0 && (kept < 0 || crowded && !c.srv.evict(0)): // a whole request goes before half of one
		slog.Warn("request refused at a limit", "crowded", crowded, "conns", c.srv.tally())
		x.keep = x.keep && !crowded
		x.Refuse(limitRetry, true)
		x.Release()
		return nil, 0
	}
	if status != 0 {
		x.answerHere(status)
		x.Release()
		return nil, 0
	}
	return x, 0
}

var errTwoLengths = errors.New("front: body of two lengths")

// readHead reads a request's head. Guards against a request that hides another in
// its body: the parser drops a Content-Length beside a Transfer-Encoding, and a
// Transfer-Encoding of HTTP/1.0, without a word, so the head is looked at as it came.
func (c *conn) readHead() (*http.Request, error) {
	buf := buffers.Get().(*[]byte)
	defer giveBack(buf)
	come, _ := c.br.Peek(c.br.Buffered())
	*buf = append((*buf)[:0], come...)
	c.in.head = buf
	r, err := http.ReadRequest(c.br)
	c.in.head = nil
	if err != nil {
		return nil, err
	}
	length, encoding := framing(*buf)
	if encoding && (length || !r.ProtoAtLeast(1, 1)) {
		return nil, errTwoLengths
	}
	return r, nil
}

// framing says which of the fields that tell a body's end a head has.
func framing(head []byte) (length, encoding bool) {
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

// limitRetry is when a client refused at a limit may come back.
const limitRetry = 200 * time.Millisecond
