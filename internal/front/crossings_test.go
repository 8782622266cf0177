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

// seam is a connection of the server's whose reads and writes wait, and which tells of its ends.
type seam struct {
	*net.TCPConn
	read  func() // before each read; nil: at once
	write func() // before each write; nil: at once
	once  sync.Once
	ended chan struct{} // by us: half or for good
}

func (s *seam) Read(p []byte) (int, error) {
	if s.read != nil {
		s.read()
	}
	return s.TCPConn.Read(p)
}

func (s *seam) Write(p []byte) (int, error) {
	if s.write != nil {
		s.write()
	}
	return s.TCPConn.Write(p)
}

func (s *seam) end() { s.once.Do(func() { close(s.ended) }) }
func (s *seam) CloseWrite() error {
	defer s.end()
	return s.TCPConn.CloseWrite()
}

func (s *seam) Close() error {
	defer s.end()
	return s.TCPConn.Close()
}

// pair is a client and its connection at the server.
func pair(t *testing.T, s *Server, write func()) (*client, *seam) {
	t.Helper()
	return seamed(t, s, nil, write)
}

func seamed(t *testing.T, s *Server, read, write func()) (*client, *seam) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	// The client takes little at once, and the server's side holds much: what is written last
	// is still here when the connection ends.
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10) })
	}}
	nc, err := d.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far.(*net.TCPConn).SetWriteBuffer(1 << 20)
	m := &seam{TCPConn: far.(*net.TCPConn), read: read, write: write, ended: make(chan struct{})}
	s.add(m, "")
	return &client{t, nc, bufio.NewReader(nc)}, m
}

// holds is a server whose requests wait until the test answers them.
func holds(t *testing.T) (*Server, *fake, chan *Exchange) {
	t.Helper()
	got := make(chan *Exchange, 10)
	s, f, _ := start(t, Config{}, func(x *Exchange) { got <- x })
	return s, f, got
}

// An answer behind which the connection ends is read whole by a client that has sent more than
// was read: a pipelined request, half of one, or much. Closed over these bytes the connection
// would be reset, and the answer gone with it.
func TestAnswerSurvivesUnreadBytes(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing":             "",
		"a pipelined request": request("GET /a", field("Req-Id", "2")),
		"half a head":         "GET /a HT",
		"much":                strings.Repeat("x", 200<<10),
	} {
		for _, how := range []string{"told by the client", "in a drain"} {
			t.Run(name+" "+how, func(t *testing.T) {
				s, _, got := holds(t)
				c, m := pair(t, s, nil)
				first := ids
				if how == "told by the client" {
					first += field("Connection", "close")
				} else {
					s.SetDraining(true)
				}
				go io.WriteString(c.Conn, request("GET /a", first)+behind)
				x := <-got
				answerWhole(x, strings.Repeat("y", 100<<10))
				<-m.ended
				// What the client sends now crosses the end, too.
				io.WriteString(c.Conn, "GET /a")
				if status, body, _ := c.hear(); status != 200 || len(body) != 100<<10 {
					t.Fatalf("heard %d, %d bytes %.60q", status, len(body), body)
				}
				if !c.closed() {
					t.Error("not closed")
				}
				c.Close()
				settle(t, "still counted", func() bool { return s.Conns() == 0 })
				if len(got) > 0 {
					t.Error("a request was taken behind the end")
				}
			})
		}
	}
}

// A client's end is seen while its request waits, also behind what it has sent ahead.
func TestClientGoneBehindItsBytes(t *testing.T) {
	for _, size := range []int{0, 1, 100, 4 << 10, 9 << 10, 300 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s, f, got := holds(t)
			c, _ := pair(t, s, nil)
			c.say(request("GET /a", ids))
			x := <-got
			c.say(strings.Repeat("x", size))
			c.Close()
			select {
			case y := <-f.gone:
				if y != x {
					t.Error("another has gone")
				}
			case <-time.After(patience):
				t.Fatal("nobody has gone")
			}
			settle(t, "still counted", func() bool { return s.Conns() == 0 })
		})
	}
}

// A long request that crosses the answer before it, behind the word that the connection goes on,
// is answered too. Its bytes, taken for more than may lie behind a request, would be thrown away.
func TestLongRequestCrossesAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan *Exchange, 10)
		f := &fake{do: func(x *Exchange) { got <- x }, gone: make(chan *Exchange, 10), over: make(map[*Exchange]bool)}
		s := New(Config{MaxConns: 10, MaxBodyBytes: 1 << 20}, f)
		near, far := net.Pipe()
		defer near.Close()
		s.add(far, "")
		c := &client{t, near, bufio.NewReader(near)}
		c.say(request("GET /a", ids))
		go answerWhole(<-got, "one")
		synctest.Wait() // the answer has its head, and waits for the client to read it
		body := strings.Repeat("b", 100<<10)
		go io.WriteString(near, request("POST /a", field("Req-Id", "2")+field("Content-Length", fmt.Sprint(len(body))))+body)
		synctest.Wait() // what is read of the second request beside it has been read
		if status, body, h := c.hear(); status != 200 || body != "one" || h.Get("Connection") != "" {
			t.Fatalf("answered %d %q %v", status, body, h)
		}
		select {
		case x := <-got:
			go echo(x)
		case <-time.After(patience):
			t.Fatal("the second request is lost")
		}
		if status, answer, _ := c.hear(); status != 200 || answer != body {
			t.Fatalf("the second is answered %d, %d bytes", status, len(answer))
		}
		synctest.Wait() // the fake does not stand a client's end beside its answer's
	})
}

// returnsLate is a connection of the server's whose writes return late.
type returnsLate struct {
	net.Conn
	goOn chan struct{}
}

func (l returnsLate) Write(p []byte) (int, error) {
	defer func() { <-l.goOn }()
	return l.Conn.Write(p)
}

// A client that has read its answer may ask again under the same id on another connection, in
// the moment before the answer's end is noted; and that end does not free the new one's id.
func TestSameIDCrossesTheAnswersEnd(t *testing.T) {
	for name, fields := range map[string]string{"goes on": ids, "told to close": ids + field("Connection", "close")} {
		t.Run(name, func(t *testing.T) { sameIDCrossesTheAnswersEnd(t, fields) })
	}
}

func sameIDCrossesTheAnswersEnd(t *testing.T, fields string) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan *Exchange, 10)
		f := &fake{do: func(x *Exchange) { got <- x }, gone: make(chan *Exchange, 10), over: make(map[*Exchange]bool)}
		s := New(Config{MaxConns: 10, MaxBodyBytes: 1 << 20}, f)
		goOn := make(chan struct{})
		open := func(wrap func(net.Conn) net.Conn) *client {
			near, far := net.Pipe()
			t.Cleanup(func() { near.Close() })
			s.add(wrap(far), "")
			return &client{t, near, bufio.NewReader(near)}
		}
		plain := func(nc net.Conn) net.Conn { return nc }
		first, second, third := open(func(nc net.Conn) net.Conn { return returnsLate{nc, goOn} }), open(plain), open(plain)
		first.say(request("GET /a", fields))
		go answerWhole(<-got, "one")
		if status, body, _ := first.hear(); status != 200 || body != "one" {
			t.Fatalf("answered %d %q", status, body)
		}
		second.say(request("GET /a", ids))
		synctest.Wait()
		if len(got) != 1 {
			status, _, _ := second.hear()
			t.Fatalf("the second is answered %d", status)
		}
		close(goOn)
		synctest.Wait()
		third.say(request("GET /a", ids))
		if status, _, _ := third.hear(); status != 409 {
			t.Errorf("beside the second, which waits, the third is answered %d", status)
		}
		go answerWhole(<-got, "two")
		if status, body, _ := second.hear(); status != 200 || body != "two" {
			t.Errorf("the second is answered %d %q", status, body)
		}
		synctest.Wait() // the fake does not stand a client's end beside its answer's
	})
}

// One that sends without end behind a request is cut, and counts as gone.
func TestFloodBehindARequestIsCut(t *testing.T) {
	s, f, got := holds(t)
	c, _ := pair(t, s, nil)
	c.say(request("GET /a", ids))
	<-got
	go func() {
		for text := strings.Repeat("x", 64<<10); ; {
			if _, err := io.WriteString(c.Conn, text); err != nil {
				return
			}
		}
	}()
	<-f.gone
	settle(t, "still counted", func() bool { return s.Conns() == 0 })
}

// What stopped the process: request, bytes ahead and the end lie there when it goes on.
func TestClientGoneBeforeItsBytesWereRead(t *testing.T) {
	for _, size := range []int{0, 10, 3 << 10, 9 << 10} {
		s, _, got := holds(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, request("GET /a", ids)+strings.Repeat("x", size))
		nc.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		var look sight
		look.of(far)
		settle(t, "the bytes never came", look.pending)
		s.add(far, "")
		settle(t, "still counted", func() bool { return s.Conns() == 0 })
		if len(got) > 0 {
			t.Errorf("%d bytes ahead: sent on for nobody", size)
		}
	}
}

// ends are both of a connection.
func ends(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// The end is seen behind bytes that nobody has read, and only then.
func TestEndBehindUnreadBytes(t *testing.T) {
	nc, far := ends(t)
	var look sight
	look.of(far)
	if look.hungUp() {
		t.Error("ended while it stands")
	}
	io.WriteString(nc, strings.Repeat("x", 20<<10))
	settle(t, "the bytes never came", look.pending)
	if look.hungUp() {
		t.Error("ended for bytes that came")
	}
	nc.(*net.TCPConn).CloseWrite()
	settle(t, "its end is not seen", look.hungUp)
}

// A flood of connections with half a head takes no more than the limit and spareConns, whoever
// else comes is answered, and requests that wait are not lost by it.
func TestHalfHeadsLeaveDescriptors(t *testing.T) {
	got := make(chan *Exchange, 1)
	s, _, dial := start(t, Config{MaxConns: 10}, func(x *Exchange) {
		if x.Tenant == "waits" {
			got <- x
			return
		}
		echo(x)
	})
	waits := dial().say(request("GET /a", field("Req-Id", "waits")+field("Req-Owner", "waits")))
	x := <-got
	for n := range 60 {
		c := dial()
		io.WriteString(c.Conn, "GET /a HTTP/1.1\r\nHost") // may be closed already
		if c := s.Conns(); c > 10+spareConns {
			t.Fatalf("%d connections after %d", c, n)
		}
	}
	if status, _, _ := dial().say(request("GET /a", field("Req-Id", "other"))).hear(); status != 200 && status != 503 {
		t.Errorf("another client was answered %d", status)
	}
	answerWhole(x, "hi")
	if status, body, _ := waits.hear(); status != 200 || body != "hi" {
		t.Errorf("one that waited was answered %d %q", status, body)
	}
}

// A connection on which a request has just come is not the one that gives way, though it has
// idled for the longest and its goroutine has not got round to what has come.
func TestEvictionSparesArrivingBytes(t *testing.T) {
	s, _, dial := start(t, Config{MaxConns: 2}, echo)
	ask := func(c *client, id string) int {
		status, _, _ := c.say(request("GET /a", field("Req-Id", id))).hear()
		return status
	}
	reads := 0
	idles, goOn := make(chan struct{}), make(chan struct{})
	first, m := seamed(t, s, func() {
		if reads++; reads == 2 {
			close(idles)
			<-goOn
		}
	}, nil)
	second := dial()
	ask(first, "1")
	<-idles
	ask(second, "2")
	settle(t, "busy after its answer", func() bool { return s.Busy() == 0 })
	first.say(request("GET /a", field("Req-Id", "3")))
	var look sight
	look.of(m.TCPConn)
	settle(t, "the request never came", look.pending)
	if status := ask(dial(), "4"); status != 200 {
		t.Errorf("the new one was answered %d", status)
	}
	close(goOn)
	if status, _, _ := first.hear(); status != 200 {
		t.Errorf("the one with a request was answered %d", status)
	}
	if !second.closed() {
		t.Error("the other one was kept")
	}
}

// An answer that said the connection goes on crosses the beginning of a drain: the connection
// is ended once it is idle, and so is one that never said anything, when it has rested.
func TestDrainCrossesAnAnswer(t *testing.T) {
	s, _, got := holds(t)
	writing, goOn := make(chan struct{}), make(chan struct{})
	c, _ := pair(t, s, func() { writing <- struct{}{}; <-goOn })
	rests, _ := pair(t, s, nil)
	c.say(request("GET /a", ids))
	go answerWhole(<-got, "hi")
	<-writing
	s.Drain()
	close(goOn)
	if status, body, h := c.hear(); status != 200 || body != "hi" || h.Get("Connection") != "" {
		t.Errorf("answered %d %q, Connection: %q", status, body, h.Get("Connection"))
	}
	s.mu.Lock()
	for c := range s.conns {
		c.since = c.since.Add(-freshTimeout)
	}
	s.mu.Unlock()
	settle(t, "not idle", func() bool { return s.Busy() == 0 })
	s.Drain()
	s.mu.Lock()
	for c := range s.conns { // one that rests would be closed in the end, as saying nothing
		if !c.probed && !c.ending {
			t.Error("a connection is left alone by the drain")
		}
	}
	s.mu.Unlock()
	if !c.closed() || !rests.closed() {
		t.Error("a connection outlives the drain")
	}
	c.Close()
	rests.Close()
	settle(t, "still counted", func() bool { return s.Conns() == 0 })
}

// An answer wakes the reading ahead in the moment of a drain, whichever comes first: the
// pipelined request is answered or never taken, and the connection ends.
func TestDrainCrossesAPipelinedRequest(t *testing.T) {
	for n := range 40 {
		got := make(chan *Exchange, 1)
		s, _, _ := start(t, Config{}, func(x *Exchange) {
			if x.ID == "1" {
				got <- x
				return
			}
			echo(x)
		})
		c, _ := pair(t, s, nil)
		c.say(request("GET /a", field("Req-Id", "1")) + request("GET /a", field("Req-Id", "2")))
		x := <-got
		if n%2 == 0 {
			go s.Drain()
			answerWhole(x, "one")
		} else {
			go answerWhole(x, "one")
			s.Drain()
		}
		if status, body, _ := c.hear(); status != 200 || body != "one" {
			t.Fatalf("answered %d %q", status, body)
		}
		// The second was taken before the drain, or the connection ends before it.
		status, body, h := c.hear()
		if status != 200 && !(status == 0 && strings.HasSuffix(body, "EOF")) {
			t.Fatalf("then answered %d %q %v", status, body, h)
		}
		// As it goes on: an answer before the first may have said that the connection does.
		settle(t, "not ended", func() bool {
			s.Drain()
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				return c.ending || c.probed
			}
			return true
		})
		if !c.closed() {
			t.Error("not closed")
		}
		c.Close()
		settle(t, "still counted", func() bool { return s.Conns() == 0 })
	}
}

// What the server accepts has no delay on small writes: a close takes back what waits.
func TestAcceptedConnectionsHaveNoDelay(t *testing.T) {
	_, far := ends(t)
	if !noDelay(t, far) {
		t.Error("an accepted connection delays small writes")
	}
}
