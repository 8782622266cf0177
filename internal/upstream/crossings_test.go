package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// A second answer that comes late, on a connection that idles: that one is closed, and from
// then on a connection that has just had an answer is not used for the next request while it
// may come there. Another that has rested is, else a new one.
func TestSecondAnswerCrossesTheNextRequest(t *testing.T) {
	again := make(chan struct{})
	addr, conns := fake(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
			<-again
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		}
	})
	p := newPool(10)
	p.Serve("s", addr, 0)
	if r := try(t, p); r.body != "hi" {
		t.Fatal(r)
	}
	settle(t, "not idle", func() bool { return p.idle("s") == 1 })
	again <- struct{}{}
	settle(t, "kept though it spoke unasked", func() bool { return p.idle("s") == 0 && p.Conns() == 0 })
	settle(t, "unnoticed", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return !p.unasked.IsZero() })
	// The next connection is idle, and its second answer on the way, when a request comes.
	<-conns
	if r := try(t, p); r.body != "hi" {
		t.Fatal(r)
	}
	<-conns
	settle(t, "not idle", func() bool { return p.idle("s") == 1 })
	p.mu.Lock()
	p.servers["s"].idle[0].used = time.Now().Add(time.Minute / 2) // no machine is as slow: it does not rest
	p.mu.Unlock()
	if r := try(t, p); r.body != "hi" {
		t.Fatalf("answered %q", r.body)
	}
	<-conns // a new one
	settle(t, "not idle", func() bool { return p.idle("s") == 2 })
	// What has rested is used again.
	p.mu.Lock()
	for _, c := range p.servers["s"].idle {
		c.used = time.Now().Add(-2 * minRest)
	}
	p.mu.Unlock()
	go func() { again <- struct{}{} }()
	go func() { again <- struct{}{} }()
	settle(t, "kept though they spoke unasked", func() bool { return p.Conns() == 0 })
	p.Close()
}

// A second answer comes between the look at an idle connection and the write, and the
// connection's reader has not run: nothing is written, and it is noted. An end that comes there
// is none of what nobody asked for.
func TestSecondAnswerCrossesTheWrite(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		heard := make(chan string, 1)
		addr, _ := fake(t, func(c net.Conn, br *bufio.Reader) {
			if !speaks {
				c.(*net.TCPConn).CloseWrite()
			} else {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			}
			line, _ := br.ReadString('\n')
			heard <- line
		})
		p := newPool(1)
		p.Serve("s", addr, 0)
		s := newSink()
		a := get(s)
		if c, _, err := p.take(a); c != nil || err != nil {
			t.Fatal(c, err)
		}
		a.pool = p
		c, err := a.connect(addr) // and no reader of it runs
		if err != nil {
			t.Fatal(err)
		}
		a.uses = 1 // it was idle, and quiet
		settle(t, "nothing came", func() bool { return !c.quiet() })
		a.send(c)
		if r := s.wait(t); r.o != chalkrack.ConnectFailed {
			t.Errorf("ended: %v", r.o)
		}
		if line := <-heard; line != "" {
			t.Errorf("the server heard %q", line)
		}
		p.mu.Lock()
		if noted := !p.unasked.IsZero(); noted != speaks {
			t.Errorf("it spoke %v, noted %v", speaks, noted)
		}
		p.mu.Unlock()
		p.Close()
	}
}

// Connections that have rested are used also after unasked bytes, and calm servers' at once.
func TestRestedConnectionsAreUsed(t *testing.T) {
	addr, conns := fake(t, each("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	for _, unasked := range []bool{false, true} {
		p := newPool(10)
		p.Serve("s", addr, 0)
		if unasked {
			p.heardUnasked("s")
		}
		for range 3 {
			if r := try(t, p); r.body != "hi" {
				t.Fatal(r)
			}
			settle(t, "not idle", func() bool { return p.idle("s") == 1 })
			if unasked {
				p.mu.Lock()
				p.servers["s"].idle[0].used = time.Now().Add(-minRest)
				p.mu.Unlock()
			}
		}
		if p.Conns() != 1 {
			t.Errorf("unasked %v: %d connections", unasked, p.Conns())
		}
		p.Close()
		<-conns
	}
	// It is over after a time.
	p := newPool(10)
	p.unasked = time.Now().Add(-unaskedFor)
	s := &server{idle: []*conn{{used: time.Now()}}}
	if n := p.rested(s, time.Now()); n != 0 {
		t.Errorf("place %d", n)
	}
}

// A connection that comes up after its attempt was given up is closed, with nothing written to
// it, and gives its place back.
func TestDialComesUpAfterItsAttempt(t *testing.T) {
	said := make(chan int, 1)
	addr, _ := fake(t, func(c net.Conn, _ *bufio.Reader) {
		c.SetReadDeadline(time.Now().Add(patience))
		n, _ := io.Copy(io.Discard, c)
		said <- int(n)
	})
	p := newPool(1)
	p.Serve("s", addr, 0)
	s := newSink()
	a := get(s)
	if c, _, err := p.take(a); c != nil || err != nil { // as Start does, before the dial
		t.Fatal(c, err)
	}
	a.pool = p
	if a.Abandon() {
		t.Error("it may have begun")
	}
	a.Close()
	a.dial(addr) // which comes up now
	if r := s.wait(t); !r.o.NeverRan() {
		t.Errorf("ended: %v", r.o)
	}
	if n := <-said; n != 0 {
		t.Errorf("%d bytes were written", n)
	}
	settle(t, "its place is lost", func() bool { return p.Conns() == 0 })
}

// An answer that tells no length and is reset is no answer: a reset is no end, but a close is.
func TestResetIsNoEnd(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		reset        bool
		want         chalkrack.Outcome
	}{
		{"closed", "HTTP/1.1 200 OK\r\n\r\nhi", false, chalkrack.OK},
		{"reset", "HTTP/1.1 200 OK\r\n\r\nhi", true, chalkrack.Reset},
		{"reset in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", true, chalkrack.Reset},
		{"closed in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, chalkrack.Reset},
		{"closed in its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", false, chalkrack.Reset},
	} {
		read := make(chan struct{}, 1)
		addr, _ := fake(t, func(nc net.Conn, br *bufio.Reader) {
			readRequest(br)
			io.WriteString(nc, c.answer)
			if c.reset {
				<-read // a reset takes back what was not read
				nc.(*net.TCPConn).SetLinger(0)
			}
			nc.Close()
		})
		p := newPool(1)
		p.Serve("s", addr, 0)
		s := newSink()
		a := get(s)
		p.Start(a)
		if c.reset {
			settle(t, "nothing was read", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.answering })
			read <- struct{}{}
		}
		if r := s.wait(t); r.o != c.want || r.o == chalkrack.OK && r.body != "hi" {
			t.Errorf("%s: %v %q", c.name, r.o, r.body)
		}
		p.Close()
	}
}

// The server has answered whole and resets behind it: the answer holds, and the connection is
// not used again.
func TestResetBehindAWholeAnswer(t *testing.T) {
	answered := make(chan struct{})
	addr, conns := fake(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		<-answered
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	p := newPool(1)
	p.Serve("s", addr, 0)
	if r := try(t, p); r.o != chalkrack.OK || r.body != "hi" {
		t.Fatal(r)
	}
	<-conns
	close(answered)
	settle(t, "a connection that was reset is kept", func() bool { return p.Conns() == 0 })
}

// Declined behind the last byte of a body proves that nothing ran, whatever its size.
func TestDeclinedBehindTheBody(t *testing.T) {
	addr, _ := fake(t, each("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"))
	p := newPool(9) // the one before may not be idle yet
	p.Serve("s", addr, 0)
	for _, size := range []int{0, 100, 200 << 10} {
		s := newSink()
		a := get(s)
		a.Request = &message.Request{Method: "POST", Head: []byte(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", size)),
			Body: [][]byte{[]byte(strings.Repeat("x", size))}}
		p.Start(a)
		if r := s.wait(t); r.o != chalkrack.Full || !r.o.NeverRan() {
			t.Errorf("%d bytes: %v", size, r.o)
		}
	}
}

// Small writes to a server go out at once.
func TestConnectionsHaveNoDelay(t *testing.T) {
	addr, _ := fake(t, each("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	p := newPool(1)
	p.Serve("s", addr, 0)
	if r := try(t, p); r.o != chalkrack.OK {
		t.Fatal(r)
	}
	settle(t, "not idle", func() bool { return p.idle("s") == 1 })
	p.mu.Lock()
	c := p.servers["s"].idle[0]
	p.mu.Unlock()
	on, err := 0, error(nil)
	c.raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
	if err != nil || on != 1 {
		t.Errorf("TCP_NODELAY is %d, %v", on, err)
	}
}

// The call is over while a long request is written: its last byte is not, so that no server
// begins it, and its connection is closed.
func TestForgoCrossesALongWrite(t *testing.T) {
	read := make(chan struct{})
	got := make(chan int64, 1)
	addr, _ := fake(t, func(c net.Conn, br *bufio.Reader) {
		<-read // what fits between the two is written, and no more
		r, err := http.ReadRequest(br)
		if err != nil {
			got <- 0
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		got <- n
	})
	const size = 30 << 20
	p := newPool(1)
	p.Serve("s", addr, 0)
	s := newSink()
	a := get(s)
	a.Request = &message.Request{Method: "POST", Head: []byte(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", size)),
		Body: [][]byte{make([]byte, size-7), make([]byte, 7), nil}}
	p.Start(a)
	settle(t, "nothing is written", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.lastHeld })
	if !a.Forgo() {
		t.Fatal("it has begun")
	}
	close(read) // the rest goes out now, but for its last byte
	if r := s.wait(t); !r.o.NeverRan() {
		t.Errorf("ended: %v", r.o)
	}
	if n := <-got; n >= size {
		t.Errorf("%d bytes came", n)
	}
	settle(t, "its place is lost", func() bool { return p.Conns() == 0 })
}

// What has begun is not forgone; what is dialled, or has its last byte held back, is.
func TestForgo(t *testing.T) {
	addr, _ := fake(t, func(c net.Conn, br *bufio.Reader) { readRequest(br); io.Copy(io.Discard, br) })
	p := newPool(9)
	p.Serve("s", addr, 0)
	a := get(newSink())
	if !a.Forgo() {
		t.Error("one that has not started has begun")
	}
	b := get(newSink())
	p.Start(b)
	settle(t, "it never began", b.hasBegun)
	if b.Forgo() {
		t.Error("one that has begun is forgone")
	}
	b.Close()
	p.broke(0, 0)
	p.hold = patience
	c := get(newSink())
	c.Once = true
	p.Start(c)
	settle(t, "it is not held back", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.held })
	if !c.Forgo() {
		t.Error("one whose last byte is held back has begun")
	}
	c.Close()
}
