package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// hookedConn is a server-side connection that calls a function before each read and write, and
// signals when the server closes it.
type hookedConn struct {
	*net.TCPConn
	beforeRead  func() // nil: no function
	beforeWrite func() // nil: no function
	once        sync.Once
	ended       chan struct{} // closed when the server closes or half-closes the connection
}

func (s *hookedConn) Read(p []byte) (int, error) {
	if s.beforeRead != nil {
		s.beforeRead()
	}
	return s.TCPConn.Read(p)
}

func (s *hookedConn) Write(p []byte) (int, error) {
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
	return s.TCPConn.Write(p)
}

func (s *hookedConn) signalEnd() { s.once.Do(func() { close(s.ended) }) }
func (s *hookedConn) CloseWrite() error {
	defer s.signalEnd()
	return s.TCPConn.CloseWrite()
}

func (s *hookedConn) Close() error {
	defer s.signalEnd()
	return s.TCPConn.Close()
}

// dialPair returns a client and its connection at s, which calls write before each write.
func dialPair(t *testing.T, s *Server, write func()) (*client, *hookedConn) {
	t.Helper()
	return dialHooked(t, s, nil, write)
}

// dialHooked is like dialPair and also sets a function that is called before each read.
func dialHooked(t *testing.T, s *Server, read, write func()) (*client, *hookedConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	// A small receive buffer at the client and a large send buffer at the server: the end of
	// an answer is still in the send buffer when the connection ends.
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10) })
	}}
	nc, err := d.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.(*net.TCPConn).SetWriteBuffer(1 << 20)
	hooked := &hookedConn{TCPConn: accepted.(*net.TCPConn), beforeRead: read, beforeWrite: write, ended: make(chan struct{})}
	s.addConn(hooked, "")
	return &client{t, nc, bufio.NewReader(nc)}, hooked
}

// startHolding starts a server whose requests wait until the test answers them. It sends them on
// the channel.
func startHolding(t *testing.T) (*Server, *fake, chan *Exchange) {
	t.Helper()
	got := make(chan *Exchange, 10)
	s, f, _ := startServer(t, Config{}, func(x *Exchange) { got <- x })
	return s, f, got
}

// A client receives the complete last answer of a connection, also if it has sent bytes that the
// server has not read: a pipelined request, half of one, or many bytes. If the server closed
// the connection with bytes unread, a reset would discard the answer.
func TestAnswerIsReadWholeDespiteUnreadBytes(t *testing.T) {
	for name, following := range map[string]string{
		"nothing":             "",
		"a pipelined request": request("GET /a", field("Req-Id", "2")),
		"half a head":         "GET /a HT",
		"much":                strings.Repeat("x", 200<<10),
	} {
		for _, closing := range []string{"told by the client", "in a drain"} {
			t.Run(name+" "+closing, func(t *testing.T) {
				s, _, got := startHolding(t)
				c, m := dialPair(t, s, nil)
				first := idFields
				if closing == "told by the client" {
					first += field("Connection", "close")
				} else {
					s.SetDraining(true)
				}
				go io.WriteString(c.Conn, request("GET /a", first)+following)
				x := <-got
				answerWith(x, strings.Repeat("y", 100<<10))
				<-m.ended
				// These bytes arrive after the server has ended the connection.
				io.WriteString(c.Conn, "GET /a")
				if status, body, _ := c.receive(); status != 200 || len(body) != 100<<10 {
					t.Fatalf("answered %d, %d bytes %.60q", status, len(body), body)
				}
				if !c.isClosed() {
					t.Error("connection is not closed")
				}
				c.Close()
				waitFor(t, "closed connections are still counted", func() bool { return s.Conns() == 0 })
				if len(got) > 0 {
					t.Error("a request was accepted after the end of the connection")
				}
			})
		}
	}
}

// A client that closes its connection while its request waits is detected, also if it has sent
// further bytes after the request.
func TestClientCloseSeenBehindPipelinedBytes(t *testing.T) {
	for _, size := range []int{0, 1, 100, 4 << 10, 9 << 10, 300 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s, f, got := startHolding(t)
			c, _ := dialPair(t, s, nil)
			c.send(request("GET /a", idFields))
			x := <-got
			c.send(strings.Repeat("x", size))
			c.Close()
			select {
			case y := <-f.gone:
				if y != x {
					t.Error("ClientGone was called for another request")
				}
			case <-time.After(testTimeout):
				t.Fatal("ClientGone was not called")
			}
			waitFor(t, "closed connections are still counted", func() bool { return s.Conns() == 0 })
		})
	}
}

// A long request that arrives while the answer before it is being written is answered too, if
// that answer says that the connection goes on. If its bytes counted as excess bytes after the
// first request, they would be discarded.
func TestLongRequestSentDuringAnswerIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan *Exchange, 10)
		f := &fake{handle: func(x *Exchange) { got <- x }, gone: make(chan *Exchange, 10), ended: make(map[*Exchange]bool)}
		s := New(Config{MaxConns: 10, MaxBodyBytes: 1 << 20}, f)
		near, far := net.Pipe()
		defer near.Close()
		s.addConn(far, "")
		c := &client{t, near, bufio.NewReader(near)}
		c.send(request("GET /a", idFields))
		go answerWith(<-got, "one")
		synctest.Wait() // the answer has its head, and its write blocks until the client reads
		body := strings.Repeat("b", 100<<10)
		go io.WriteString(near, request("POST /a", field("Req-Id", "2")+field("Content-Length", fmt.Sprint(len(body))))+body)
		synctest.Wait() // readAhead has read as much of the second request as it does
		if status, body, h := c.receive(); status != 200 || body != "one" || h.Get("Connection") != "" {
			t.Fatalf("first request answered %d %q %v", status, body, h)
		}
		select {
		case x := <-got:
			go echo(x)
		case <-time.After(testTimeout):
			t.Fatal("the second request did not arrive")
		}
		if status, answer, _ := c.receive(); status != 200 || answer != body {
			t.Fatalf("second request answered %d, %d bytes", status, len(answer))
		}
		synctest.Wait() // fake does not synchronize a client's departure with the end of its answer: wait for that end first
	})
}

// delayedWriteConn is a server-side connection whose writes return only when release is closed.
type delayedWriteConn struct {
	net.Conn
	release chan struct{}
}

func (l delayedWriteConn) Write(p []byte) (int, error) {
	defer func() { <-l.release }()
	return l.Conn.Write(p)
}

// A client that has read its answer may send the same id again on another connection before the
// server has recorded the end of the answer. Recording that end must not free the id of the
// new request.
func TestIDIsFreeBeforeAnswerEnd(t *testing.T) {
	for name, fields := range map[string]string{"goes on": idFields, "told to close": idFields + field("Connection", "close")} {
		t.Run(name, func(t *testing.T) { testIDIsFreeBeforeAnswerEnd(t, fields) })
	}
}

func testIDIsFreeBeforeAnswerEnd(t *testing.T, fields string) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan *Exchange, 10)
		f := &fake{handle: func(x *Exchange) { got <- x }, gone: make(chan *Exchange, 10), ended: make(map[*Exchange]bool)}
		s := New(Config{MaxConns: 10, MaxBodyBytes: 1 << 20}, f)
		release := make(chan struct{})
		open := func(wrap func(net.Conn) net.Conn) *client {
			near, far := net.Pipe()
			t.Cleanup(func() { near.Close() })
			s.addConn(wrap(far), "")
			return &client{t, near, bufio.NewReader(near)}
		}
		plain := func(nc net.Conn) net.Conn { return nc }
		first, second, third := open(func(nc net.Conn) net.Conn { return delayedWriteConn{nc, release} }), open(plain), open(plain)
		first.send(request("GET /a", fields))
		go answerWith(<-got, "one")
		if status, body, _ := first.receive(); status != 200 || body != "one" {
			t.Fatalf("answered %d %q", status, body)
		}
		second.send(request("GET /a", idFields))
		synctest.Wait()
		if len(got) != 1 {
			status, _, _ := second.receive()
			t.Fatalf("second request answered %d, want it to arrive", status)
		}
		close(release)
		synctest.Wait()
		third.send(request("GET /a", idFields))
		if status, _, _ := third.receive(); status != 409 {
			t.Errorf("third request answered %d while the second one is open, want 409", status)
		}
		go answerWith(<-got, "two")
		if status, body, _ := second.receive(); status != 200 || body != "two" {
			t.Errorf("second request answered %d %q", status, body)
		}
		synctest.Wait() // fake does not synchronize a client's departure with the end of its answer: wait for that end first
	})
}

// A client that keeps sending bytes after a request is disconnected, and its call ends as that of
// a client that has left. Otherwise the server would read without a limit.
func TestEndlessPipelinedBytesCloseConnection(t *testing.T) {
	s, f, got := startHolding(t)
	c, _ := dialPair(t, s, nil)
	c.send(request("GET /a", idFields))
	<-got
	go func() {
		for text := strings.Repeat("x", 64<<10); ; {
			if _, err := io.WriteString(c.Conn, text); err != nil {
				return
			}
		}
	}()
	<-f.gone
	waitFor(t, "closed connections are still counted", func() bool { return s.Conns() == 0 })
}

// After the process was stopped, a request, further bytes and the end of the stream are all there
// to read when it goes on. The request must not be forwarded, because its client has left.
func TestClosedClientRequestIsNotForwarded(t *testing.T) {
	for _, size := range []int{0, 10, 3 << 10, 9 << 10} {
		s, _, got := startHolding(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, request("GET /a", idFields)+strings.Repeat("x", size))
		nc.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		var peeker socketPeeker
		peeker.attach(far)
		waitFor(t, "the bytes did not arrive", peeker.hasPending)
		s.addConn(far, "")
		waitFor(t, "closed connections are still counted", func() bool { return s.Conns() == 0 })
		if len(got) > 0 {
			t.Errorf("%d bytes after the request: request of a closed client was forwarded", size)
		}
	}
}

// Many connections with incomplete heads hold no more descriptors than MaxConns+maxExcessConns.
// Another client is still answered, and a request that waits for its answer is not lost.
func TestIncompleteHeadsAreBounded(t *testing.T) {
	got := make(chan *Exchange, 1)
	s, _, dial := startServer(t, Config{MaxConns: 10}, func(x *Exchange) {
		if x.Tenant == "waits" {
			got <- x
			return
		}
		echo(x)
	})
	waiting := dial().send(request("GET /a", field("Req-Id", "waits")+field("Req-Owner", "waits")))
	x := <-got
	for n := range 60 {
		c := dial()
		io.WriteString(c.Conn, "GET /a HTTP/1.1\r\nHost") // the connection may be closed already
		if c := s.Conns(); c > 10+maxExcessConns {
			t.Fatalf("%d connections open after %d were dialed", c, n)
		}
	}
	if status, _, _ := dial().send(request("GET /a", field("Req-Id", "other"))).receive(); status != 200 && status != 503 {
		t.Errorf("another client was answered %d", status)
	}
	answerWith(x, "hi")
	if status, body, _ := waiting.receive(); status != 200 || body != "hi" {
		t.Errorf("waiting request answered %d %q", status, body)
	}
}

// The connection that has been idle for the longest is not evicted if a request has arrived on it
// that its goroutine has not read yet.
func TestEvictionSparesConnectionWithPendingBytes(t *testing.T) {
	s, _, dial := startServer(t, Config{MaxConns: 2}, echo)
	ask := func(c *client, id string) int {
		status, _, _ := c.send(request("GET /a", field("Req-Id", id))).receive()
		return status
	}
	reads := 0
	idle, release := make(chan struct{}), make(chan struct{})
	first, hooked := dialHooked(t, s, func() {
		if reads++; reads == 2 {
			close(idle)
			<-release
		}
	}, nil)
	second := dial()
	ask(first, "1")
	<-idle
	ask(second, "2")
	waitFor(t, "connection is busy after its answer", func() bool { return s.BusyConns() == 0 })
	first.send(request("GET /a", field("Req-Id", "3")))
	var peeker socketPeeker
	peeker.attach(hooked.TCPConn)
	waitFor(t, "the request did not arrive", peeker.hasPending)
	if status := ask(dial(), "4"); status != 200 {
		t.Errorf("request on the new connection answered %d", status)
	}
	close(release)
	if status, _, _ := first.receive(); status != 200 {
		t.Errorf("request on the idle connection answered %d", status)
	}
	if !second.isClosed() {
		t.Error("the other idle connection was not evicted")
	}
}

// A drain begins while an answer is being written that says the connection goes on. The
// connection is ended once it is idle, and so is one that has sent nothing for freshTimeout.
func TestDrainDuringAnswerEndsConnection(t *testing.T) {
	s, _, got := startHolding(t)
	writing, release := make(chan struct{}), make(chan struct{})
	c, _ := dialPair(t, s, func() { writing <- struct{}{}; <-release })
	silent, _ := dialPair(t, s, nil)
	c.send(request("GET /a", idFields))
	go answerWith(<-got, "hi")
	<-writing
	s.Drain()
	close(release)
	if status, body, h := c.receive(); status != 200 || body != "hi" || h.Get("Connection") != "" {
		t.Errorf("answered %d %q, Connection: %q", status, body, h.Get("Connection"))
	}
	s.mu.Lock()
	for c := range s.conns {
		c.stateSince = c.stateSince.Add(-freshTimeout)
	}
	s.mu.Unlock()
	waitFor(t, "connections are not idle", func() bool { return s.BusyConns() == 0 })
	s.Drain()
	s.mu.Lock()
	for c := range s.conns { // checked here, because headTimeout would close the silent one anyway
		if !c.probing && !c.ending {
			t.Error("a connection is not affected by the drain")
		}
	}
	s.mu.Unlock()
	if !c.isClosed() || !silent.isClosed() {
		t.Error("a connection is open after the drain")
	}
	c.Close()
	silent.Close()
	waitFor(t, "closed connections are still counted", func() bool { return s.Conns() == 0 })
}

// A drain begins while the end of an answer wakes readAhead, in either order. The pipelined
// request is answered or not accepted at all, and the connection ends.
func TestDrainDuringPipelinedRequest(t *testing.T) {
	for n := range 40 {
		got := make(chan *Exchange, 1)
		s, _, _ := startServer(t, Config{}, func(x *Exchange) {
			if x.ID == "1" {
				got <- x
				return
			}
			echo(x)
		})
		c, _ := dialPair(t, s, nil)
		c.send(request("GET /a", field("Req-Id", "1")) + request("GET /a", field("Req-Id", "2")))
		x := <-got
		if n%2 == 0 {
			go s.Drain()
			answerWith(x, "one")
		} else {
			go answerWith(x, "one")
			s.Drain()
		}
		if status, body, _ := c.receive(); status != 200 || body != "one" {
			t.Fatalf("answered %d %q", status, body)
		}
		// The second request was accepted before the drain, or the connection ended before it.
		status, body, h := c.receive()
		if status != 200 && !(status == 0 && strings.HasSuffix(body, "EOF")) {
			t.Fatalf("then answered %d %q %v", status, body, h)
		}
		// The drain is repeated: an answer written before the first call may have said that the
		// connection goes on.
		waitFor(t, "connection was not ended", func() bool {
			s.Drain()
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				return c.ending || c.probing
			}
			return true
		})
		if !c.isClosed() {
			t.Error("connection is not closed")
		}
		c.Close()
		waitFor(t, "closed connections are still counted", func() bool { return s.Conns() == 0 })
	}
}

// Accepted connections have TCP_NODELAY set: a close could discard small writes that are delayed.
func TestAcceptedConnectionsSetNoDelay(t *testing.T) {
	_, far := connPair(t)
	if !hasNoDelay(t, far) {
		t.Error("an accepted connection does not have TCP_NODELAY set")
	}
}
