package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Effect says whether a class of requests may be repeated.
type Effect int

const (
	Safe   Effect = iota // may be repeated
	Keyed                // may be repeated with the same Idempotency-Key
	Unsafe               // must not run twice
)

// Class describes a class of requests that clients send.
type Class struct {
	Name     string
	Effect   Effect
	Share    float64 // weight among the classes of a Mix; the shares need not add up to 1
	Deadline time.Duration
	BodySize int // bytes
}

// ClientRequest is a request that a Client sends.
type ClientRequest struct {
	ID       string
	Class    Class
	Key      string
	Body     string
	Header   http.Header // additional header fields
	Deadline time.Duration
}

// Reply is the result of one request of a Client.
type Reply struct {
	Status     int // 0 if no complete answer came
	Body       string
	Header     http.Header
	RetryAfter time.Duration
	Elapsed    time.Duration
	Err        error
}

// Verdict returns the class of the result: "served", "refused", "failed", or "none" if no complete
// answer came.
func (r Reply) Verdict() string {
	switch r.Status {
	case 0:
		return "none"
	case 200:
		return "served"
	case 429, 503:
		return "refused"
	}
	return "failed"
}

// Client stands in for the application beside a sidecar. It keeps connections open and sends one
// request at a time on each.
type Client struct {
	sidecarAddr string
	mu          sync.Mutex
	idleConns   []*clientConn
}

// clientConn is a connection to the sidecar and the reader that buffers its answers.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// maxIdleConns is how many idle connections a Client keeps open.
const maxIdleConns = 64

// NewClient returns a Client of the sidecar at the given address.
func NewClient(sidecarAddr string) *Client { return &Client{sidecarAddr: sidecarAddr} }

// Do sends a request and waits for the complete answer or until ctx is done. It may be called from
// any goroutine. It sends each request once: a request fails if the sidecar closes the reused
// connection at that moment.
func (c *Client) Do(ctx context.Context, req ClientRequest) Reply {
	began := time.Now()
	reply := c.do(ctx, req)
	reply.Elapsed = time.Since(began)
	return reply
}

// do is Do without setting Elapsed.
func (c *Client) do(ctx context.Context, req ClientRequest) Reply {
	conn, err := c.idleOrNewConn(ctx)
	if err != nil {
		return Reply{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := conn.Write(req.encode()); err != nil {
		conn.Close()
		return Reply{Err: err}
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.Close()
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		conn.Close()
		return Reply{Err: err}
	}
	reply := Reply{Status: resp.StatusCode, Body: string(body), Header: resp.Header}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds >= 0 && seconds < 1e6 {
		reply.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.Close || !stop() {
		conn.Close()
	} else {
		c.mu.Lock()
		if len(c.idleConns) < maxIdleConns {
			c.idleConns = append(c.idleConns, conn)
			conn = nil
		}
		c.mu.Unlock()
		if conn != nil {
			conn.Close()
		}
	}
	return reply
}

// encode returns the request as sent on the connection. A Safe request is a GET, all others are
// POST.
func (r ClientRequest) encode() []byte {
	method := "POST"
	if r.Class.Effect == Safe {
		method = "GET"
	}
	b := fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: app\r\nReq-Id: %s\r\nReq-Kind: %s\r\n", method, r.Class.Name, r.ID, r.Class.Name)
	if r.Deadline > 0 {
		b = fmt.Appendf(b, "Req-Deadline-Ms: %d\r\n", r.Deadline.Milliseconds())
	}
	if r.Key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", r.Key)
	}
	for name, values := range r.Header {
		for _, v := range values {
			b = fmt.Appendf(b, "%s: %s\r\n", name, v)
		}
	}
	if method == "POST" || r.Body != "" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(append(b, "\r\n"...), r.Body...)
}

// idleOrNewConn returns an idle connection that is still usable, or a new one.
func (c *Client) idleOrNewConn(ctx context.Context) (*clientConn, error) {
	for {
		c.mu.Lock()
		if len(c.idleConns) == 0 {
			c.mu.Unlock()
			break
		}
		conn := c.idleConns[len(c.idleConns)-1]
		c.idleConns = c.idleConns[:len(c.idleConns)-1]
		c.mu.Unlock()
		if conn.isIdle() {
			return conn, nil
		}
		conn.Close()
	}
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", c.sidecarAddr)
	if err != nil {
		return nil, err
	}
	return &clientConn{netConn, bufio.NewReader(netConn)}, nil
}

// isIdle reports whether the peer has neither sent anything nor closed the connection since the
// last answer.
func (c *clientConn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcpConn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = recvErr == syscall.EAGAIN
	})
	return err == nil && idle
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idleConns {
		conn.Close()
	}
	c.idleConns = nil
}

// Mix generates requests of several classes at random. The same seed gives the same requests.
type Mix struct {
	classes    []Class
	rng        *rand.Rand
	totalShare float64
	count      int
}

// NewMix returns a Mix of the given classes, of which there must be at least one.
func NewMix(seed uint64, classes ...Class) *Mix {
	m := &Mix{classes: classes, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, c := range classes {
		m.totalShare += c.Share
	}
	return m
}

// Next returns the next request. It must not be called concurrently.
func (m *Mix) Next() ClientRequest {
	draw := m.rng.Float64() * m.totalShare
	class := m.classes[len(m.classes)-1]
	for _, c := range m.classes {
		if draw < c.Share {
			class = c
			break
		}
		draw -= c.Share
	}
	m.count++
	req := ClientRequest{ID: fmt.Sprintf("%08x%08x", m.count, m.rng.Uint32()), Class: class, Deadline: class.Deadline}
	if class.Effect == Keyed {
		req.Key = fmt.Sprintf("%016x%016x", m.rng.Uint64(), m.rng.Uint64())
	}
	if class.BodySize > 0 && class.Effect != Safe {
		req.Body = string(make([]byte, class.BodySize))
	}
	return req
}
