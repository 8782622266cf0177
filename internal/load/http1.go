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

// HTTP1 sends calls over HTTP/1.1 in the platform's form: safe calls as GET, keyed calls as POST
// with Idempotency-Key, all others as POST.
type HTTP1 struct {
	Addr string
	Host string // value of the Host header; empty means app
}

// errLastReply accompanies a valid reply after which the connection cannot be used again.
var errLastReply = errors.New("load: the connection ends with this answer")

// WrapLocalError wraps an error of a system call in ErrLocalResource if this machine is out of
// descriptors, ports, buffers or memory, and returns any other error unchanged.
func WrapLocalError(err error) error {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return fmt.Errorf("%w: %w", ErrLocalResource, err)
		}
	}
	return err
}

// Dial implements Protocol.
func (h *HTTP1) Dial(deadline time.Time) (Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", h.Addr)
	if err != nil {
		return nil, WrapLocalError(err)
	}
	host := h.Host
	if host == "" {
		host = "app"
	}
	return &http1{Conn: conn, reader: bufio.NewReader(conn), host: host}, nil
}

// http1 is an HTTP/1.1 connection.
type http1 struct {
	net.Conn
	reader        *bufio.Reader
	requestBuffer []byte
	host          string
	callCount     int // calls begun on the connection
}

// bodyFiller is the content of request bodies: pseudo-random hex digits, which resemble keys and
// numbers.
var bodyFiller = func() []byte {
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
	reused := c.callCount > 0
	c.callCount++
	c.SetDeadline(call.Deadline)
	method := http.MethodPost
	if call.Class.Effect == Safe {
		method = http.MethodGet
	}
	path := call.Path
	if path == "" {
		path = "/" + call.Class.Name
	}
	remainingMillis := max(1, time.Until(call.Deadline).Milliseconds())
	request := fmt.Appendf(c.requestBuffer[:0], "%s %s HTTP/1.1\r\nHost: %s\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n", method, path, c.host, call.ID, call.Class.Name, remainingMillis)
	if call.Key != "" {
		request = append(append(append(request, "Idempotency-Key: "...), call.Key...), "\r\n"...)
	}
	if call.Retry {
		request = append(request, "Req-Retry: 1\r\n"...)
	}
	bodyBytes := call.BodyBytes
	if method == http.MethodGet {
		bodyBytes = 0
	} else {
		request = strconv.AppendInt(append(request, "Content-Length: "...), int64(bodyBytes), 10)
		request = append(request, "\r\n"...)
	}
	request = append(request, "\r\n"...)
	chunk := min(bodyBytes, len(bodyFiller))
	request = append(request, bodyFiller[:chunk]...)
	c.requestBuffer = request
	_, err := c.Write(request)
	for bodyBytes -= chunk; bodyBytes > 0 && err == nil; bodyBytes -= chunk {
		chunk = min(bodyBytes, len(bodyFiller))
		_, err = c.Write(bodyFiller[:chunk])
	}
	// The answer is also read after a failed write, since the server may have sent it before the end
	// of the body.
	if _, readErr := c.reader.Peek(1); readErr != nil {
		if reused && (errors.Is(readErr, io.EOF) || errors.Is(readErr, syscall.ECONNRESET) || errors.Is(readErr, syscall.EPIPE)) {
			return Reply{}, ErrStaleConn
		}
		return Reply{}, readErr
	}
	response, readErr := http.ReadResponse(c.reader, &http.Request{Method: method})
	if readErr != nil {
		return Reply{}, readErr
	}
	if _, readErr = io.Copy(io.Discard, response.Body); readErr != nil {
		return Reply{}, readErr
	}
	reply := Reply{Status: response.StatusCode}
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil && seconds >= 0 && seconds < 3600 {
		reply.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if err != nil || response.Close {
		return reply, errLastReply
	}
	return reply, nil
}

// Close implements Conn.
func (c *http1) Close() { c.Conn.Close() }
