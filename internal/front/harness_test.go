package front

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/generation"
	"chalkrack/internal/message"
)

// testTimeout bounds each wait of a test for an event that is expected.
const testTimeout = 20 * time.Second

// fake is a Handler that calls handle for each call that arrives, in the connection's goroutine.
type fake struct {
	handle func(x *Exchange)
	gone   chan *Exchange

	mu    sync.Mutex
	ended map[*Exchange]bool
}

func (f *fake) Arrive(c *core.Call) { f.handle(c.Caller.(*Exchange)) }

func (f *fake) ClientGone(c *core.Call) bool {
	x := c.Caller.(*Exchange)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended[x] {
		return false
	}
	f.ended[x] = true
	x.Release()
	f.gone <- x
	return true
}

func (f *fake) BodyComplete(*core.Call) {}

func (f *fake) Ready() bool { return true }

func (f *fake) Route(path string) (class string, under generation.Stamp, known bool) {
	class = new(generation.Generation).ClassOfPath(path)
	return class, under, class == "a"
}

// end ends a call with an answer, and reports false if its client has left before.
func (f *fake) end(x *Exchange) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended[x] {
		return false
	}
	f.ended[x] = true
	return true
}

func answerWith(x *Exchange, b string) {
	if f, ok := x.handler.(*fake); ok && !f.end(x) {
		return
	}
	x.Serve(&message.Answer{Body: []byte(b)})
	x.Release()
}

func echo(x *Exchange) { answerWith(x, string(bytes.Join(x.Request.Body, nil))) }

func field(name, value string) string { return name + ": " + value + "\r\n" }

func request(line, fields string) string { return line + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" }

const idFields = "Req-Id: 9b1f\r\nReq-Kind: a\r\n"

// startServer starts a Server with a fake that calls handle, and returns a function that dials it.
func startServer(t *testing.T, cfg Config, handle func(*Exchange)) (*Server, *fake, func() *client) {
	t.Helper()
	f := &fake{handle: handle, gone: make(chan *Exchange, 10), ended: make(map[*Exchange]bool)}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = 100
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = 64 << 20
	}
	s := New(cfg, f)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go s.Serve(ln)
	return s, f, func() *client {
		t.Helper()
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(testTimeout))
		return &client{t, nc, bufio.NewReader(nc)}
	}
}

// client is the client's end of a connection.
type client struct {
	t *testing.T
	net.Conn
	br *bufio.Reader
}

func (c *client) send(text string) *client {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// receive reads an answer. If there is none, the status is 0 and the body the error.
func (c *client) receive() (status int, body string, h http.Header) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, string(b), resp.Header
}

// isClosed waits for the end of the connection, and reports whether the server closed it in time.
func (c *client) isClosed() bool {
	_, err := c.br.ReadByte()
	ne, ok := err.(net.Error)
	return err != nil && !(ok && ne.Timeout())
}

// waitFor waits until ok returns true, and fails the test with failure after testTimeout.
func waitFor(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

func (c *client) CloseWrite() { c.Conn.(*net.TCPConn).CloseWrite() }
