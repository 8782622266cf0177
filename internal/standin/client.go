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

// Effect is what a class of requests allows.
type Effect int

const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Class is a class of requests as clients send it.
type Class struct {
	Name     string
	Effect   Effect
	Share    float64 // of all requests; only proportions count
	Deadline time.Duration
	BodySize int
}

// Ask is one request of a client's.
type Ask struct {
	ID       string
	Class    Class
	Key      string
	Body     string
	Header   http.Header // further fields
	Deadline time.Duration
}

// Reply is what became of an Ask.
type Reply struct {
	Status     int // 0: no whole answer
	Body       string
	Header     http.Header
	RetryAfter time.Duration
	Took       time.Duration
	Err        error
}

// Verdict sorts a Reply as the platform does.
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

// Client is the application beside a sidecar: it keeps connections and sends one
// request at a time on each.
type Client struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	br *bufio.Reader
}

// connsMost bounds the idle connections that a Client keeps.
const connsMost = 64

// NewClient returns a Client of the sidecar at an address.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Do sends a request and waits for the whole answer. It sends nothing twice, but for a
// request that crossed the close of a kept connection before any byte of it was read.
func (c *Client) Do(ctx context.Context, a Ask) Reply {
	began := time.Now()
	r := c.do(ctx, a)
	r.Took = time.Since(began)
	return r
}

func (c *Client) do(ctx context.Context, a Ask) Reply {
	conn, err := c.take(ctx)
	if err != nil {
		return Reply{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := conn.Write(a.wire()); err != nil {
		conn.Close()
		return Reply{Err: err}
	}
	resp, err := http.ReadResponse(conn.br, nil)
	if err != nil {
		conn.Close()
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		conn.Close()
		return Reply{Err: err}
	}
	r := Reply{Status: resp.StatusCode, Body: string(body), Header: resp.Header}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s >= 0 && s < 1e6 {
		r.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Close || !stop() {
		conn.Close()
	} else {
		c.mu.Lock()
		if len(c.idle) < connsMost {
			c.idle = append(c.idle, conn)
			conn = nil
		}
		c.mu.Unlock()
		if conn != nil {
			conn.Close()
		}
	}
	return r
}

func (a Ask) wire() []byte {
	method := "POST"
	if a.Class.Effect == Safe {
		method = "GET"
	}
	b := fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: app\r\nReq-Id: %s\r\nReq-Kind: %s\r\n", method, a.Class.Name, a.ID, a.Class.Name)
	if a.Deadline > 0 {
		b = fmt.Appendf(b, "Req-Deadline-Ms: %d\r\n", a.Deadline.Milliseconds())
	}
	if a.Key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", a.Key)
	}
	for name, values := range a.Header {
		for _, v := range values {
			b = fmt.Appendf(b, "%s: %s\r\n", name, v)
		}
	}
	if method == "POST" || a.Body != "" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(a.Body))
	}
	return append(append(b, "\r\n"...), a.Body...)
}

// take gives a kept connection on which nothing has come since, or a new one.
func (c *Client) take(ctx context.Context) (*clientConn, error) {
	for {
		c.mu.Lock()
		if len(c.idle) == 0 {
			c.mu.Unlock()
			break
		}
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.mu.Unlock()
		if conn.quiet() {
			return conn, nil
		}
		conn.Close()
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc, bufio.NewReader(nc)}, nil
}

// quiet says that nothing has come on a connection since its last answer, nor its end.
func (c *clientConn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN
	})
	return err == nil && quiet
}

// Close closes the kept connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// Mix draws requests of several classes from a seed: the same ones on every run.
type Mix struct {
	classes []Class
	rng     *rand.Rand
	total   float64
	n       int
}

// NewMix returns a Mix of the classes, which must not be empty.
func NewMix(seed uint64, classes ...Class) *Mix {
	m := &Mix{classes: classes, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, c := range classes {
		m.total += c.Share
	}
	return m
}

// Next is the next request.
func (m *Mix) Next() Ask {
	at := m.rng.Float64() * m.total
	class := m.classes[len(m.classes)-1]
	for _, c := range m.classes {
		if at < c.Share {
			class = c
			break
		}
		at -= c.Share
	}
	m.n++
	a := Ask{ID: fmt.Sprintf("%08x%08x", m.n, m.rng.Uint32()), Class: class, Deadline: class.Deadline}
	if class.Effect == Keyed {
		a.Key = fmt.Sprintf("%016x%016x", m.rng.Uint64(), m.rng.Uint64())
	}
	if class.BodySize > 0 && class.Effect != Safe {
		a.Body = string(make([]byte, class.BodySize))
	}
	return a
}
