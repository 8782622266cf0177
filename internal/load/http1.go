package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

// HTTP1 sends calls over HTTP/1.1 in the platform's form: GET for what is safe to
// repeat, POST with Idempotency-Key for what carries a key, POST for the rest.
type HTTP1 struct {
	Addr string
	Host string // empty: app
}

// errClose is with a good reply whose connection ends.
var errClose = errors.New("load: last answer of its connection")

// Local makes an error of a system call ErrLocal where it is this machine that lacks
// something.
func Local(err error) error {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return fmt.Errorf("%w: %w", ErrLocal, err)
		}
	}
	return err
}

// Dial implements Protocol.
func (h *HTTP1) Dial(deadline time.Time) (Conn, error) {
	d := net.Dialer{Deadline: deadline, KeepAlive: -1}
	c, err := d.Dial("tcp", h.Addr)
	if err != nil {
		return nil, Local(err)
	}
	host := h.Host
	if host == "" {
		host = "app"
	}
	return &http1{Conn: c, br: bufio.NewReader(c), host: host}, nil
}

type http1 struct {
	net.Conn
	br   *bufio.Reader
	buf  []byte
	host string
	uses int
}

// filler is what bodies are made of: hex digits, as keys and numbers are.
var filler = func() []byte {
	p := make([]byte, 64<<10)
	x := uint32(2463534242)
	for i := range p {
		x ^= x << 13
		x ^= x >> 17
		x ^= x << 5
		p[i] = "0123456789abcdef"[x&15]
	}
	return p
}()

// Do implements Conn.
func (c *http1) Do(call *Call) (Reply, error) {
	used := c.uses > 0
	c.uses++
	c.SetDeadline(call.Deadline)
	method := http.MethodPost
	if call.Class.Effect == Safe {
		method = http.MethodGet
	}
	path := call.Path
	if path == "" {
		path = "/" + call.Class.Name
	}
	wait := max(1, time.Until(call.Deadline).Milliseconds())
	b := fmt.Appendf(c.buf[:0], "%s %s HTTP/1.1\r\nHost: %s\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n", method, path, c.host, call.ID, call.Class.Name, wait)
	if call.Key != "" {
		b = append(append(append(b, "Idempotency-Key: "...), call.Key...), "\r\n"...)
	}
	if call.Retry {
		b = append(b, "Req-Retry: 1\r\n"...)
	}
	size := call.Body
	if method == http.MethodGet {
		size = 0
	} else {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(size), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	n := min(size, len(filler))
	b = append(b, filler[:n]...)
	c.buf = b
	_, err := c.Write(b)
	for size -= n; size > 0 && err == nil; size -= n {
		n = min(size, len(filler))
		_, err = c.Write(filler[:n])
	}
	// Also after a write that failed: the answer may have come before.
	if _, rerr := c.br.Peek(1); rerr != nil {
		if used && (errors.Is(rerr, io.EOF) || errors.Is(rerr, syscall.ECONNRESET) || errors.Is(rerr, syscall.EPIPE)) {
			return Reply{}, ErrStale
		}
		return Reply{}, rerr
	}
	resp, rerr := http.ReadResponse(c.br, &http.Request{Method: method})
	if rerr != nil {
		return Reply{}, rerr
	}
	if _, rerr = io.Copy(io.Discard, resp.Body); rerr != nil {
		return Reply{}, rerr
	}
	r := Reply{Status: resp.StatusCode}
	if s, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil && s >= 0 && s < 3600 {
		r.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if err != nil || resp.Close {
		return r, errClose
	}
	return r, nil
}

// Close implements Conn.
func (c *http1) Close() { c.Conn.Close() }
