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

// A server sends a duplicate answer on an idle connection. That connection is closed, and from
// then on a connection is not reused right after an answer, when a duplicate could still arrive
// on it. A connection that has been idle for longer is used instead, or else a new one.
func TestUnsolicitedAnswerDelaysConnectionReuse(t *testing.T) {
	again := make(chan struct{})
	addr, conns := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
			<-again
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		}
	})
	p := newPool(10)
	p.AddServer("s", addr, 0)
	if r := runAttempt(t, p); r.body != "hi" {
		t.Fatal(r)
	}
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
	again <- struct{}{}
	waitUntil(t, "connection with unsolicited bytes is kept", func() bool { return p.idleCount("s") == 0 && p.Conns() == 0 })
	waitUntil(t, "unsolicited bytes are not recorded", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return !p.unsolicitedAt.IsZero() })
	// The next connection is idle, and its duplicate answer under way, when a request comes.
	<-conns
	if r := runAttempt(t, p); r.body != "hi" {
		t.Fatal(r)
	}
	<-conns
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
	p.mu.Lock()
	p.servers["s"].idle[0].idleSince = time.Now().Add(time.Minute / 2) // in the future, so that even on a slow machine the connection counts as just used
	p.mu.Unlock()
	if r := runAttempt(t, p); r.body != "hi" {
		t.Fatalf("answer %q", r.body)
	}
	<-conns // a new connection
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 2 })
	// Connections that were idle for long enough are reused.
	p.mu.Lock()
	for _, c := range p.servers["s"].idle {
		c.idleSince = time.Now().Add(-2 * minReuseDelay)
	}
	p.mu.Unlock()
	go func() { again <- struct{}{} }()
	go func() { again <- struct{}{} }()
	waitUntil(t, "connections with unsolicited bytes are kept", func() bool { return p.Conns() == 0 })
	p.Close()
}

// A duplicate answer arrives after an idle connection was checked and before the request is
// written, and the connection's reader has not run. The request is not written, and the
// unsolicited bytes are recorded. A connection that ends at this point does not count as
// unsolicited bytes.
func TestUnsolicitedAnswerBeforeWritePreventsSend(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		received := make(chan string, 1)
		addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
			if !speaks {
				c.(*net.TCPConn).CloseWrite()
			} else {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			}
			line, _ := br.ReadString('\n')
			received <- line
		})
		p := newPool(1)
		p.AddServer("s", addr, 0)
		s := newSink()
		a := newGetAttempt(s)
		if c, _, err := p.acquire(a); c != nil || err != nil {
			t.Fatal(c, err)
		}
		a.pool = p
		c, err := a.connect(addr) // without starting its reader
		if err != nil {
			t.Fatal(err)
		}
		a.connUses = 1 // as if it had been idle and quiet
		waitUntil(t, "nothing arrived on the connection", func() bool { return !c.isQuiet() })
		a.send(c)
		if r := s.wait(t); r.outcome != chalkrack.ConnectFailed {
			t.Errorf("outcome %v", r.outcome)
		}
		if line := <-received; line != "" {
			t.Errorf("server received %q, want nothing", line)
		}
		p.mu.Lock()
		if noted := !p.unsolicitedAt.IsZero(); noted != speaks {
			t.Errorf("unsolicited bytes sent: %v, recorded: %v", speaks, noted)
		}
		p.mu.Unlock()
		p.Close()
	}
}

// Connections that were idle for minReuseDelay are reused also after unsolicited bytes; without
// such bytes, connections are reused at once.
func TestConnectionsAreReusedAfterDelay(t *testing.T) {
	addr, conns := startFakeServer(t, answerEach("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	for _, unsolicited := range []bool{false, true} {
		p := newPool(10)
		p.AddServer("s", addr, 0)
		if unsolicited {
			p.recordUnsolicited("s")
		}
		for range 3 {
			if r := runAttempt(t, p); r.body != "hi" {
				t.Fatal(r)
			}
			waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
			if unsolicited {
				p.mu.Lock()
				p.servers["s"].idle[0].idleSince = time.Now().Add(-minReuseDelay)
				p.mu.Unlock()
			}
		}
		if p.Conns() != 1 {
			t.Errorf("unsolicited bytes %v: %d connections, want 1", unsolicited, p.Conns())
		}
		p.Close()
		<-conns
	}
	// The delay ends after reuseDelayPeriod.
	p := newPool(10)
	p.unsolicitedAt = time.Now().Add(-reuseDelayPeriod)
	s := &server{idle: []*conn{{idleSince: time.Now()}}}
	if n := p.newestReusable(s, time.Now()); n != 0 {
		t.Errorf("newest reusable connection has index %d, want 0", n)
	}
}

// A connection that is established after its attempt was abandoned is closed without any bytes
// written to it, and its room in the pool is released.
func TestDialCompletingAfterAbandonSendsNothing(t *testing.T) {
	said := make(chan int, 1)
	addr, _ := startFakeServer(t, func(c net.Conn, _ *bufio.Reader) {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		n, _ := io.Copy(io.Discard, c)
		said <- int(n)
	})
	p := newPool(1)
	p.AddServer("s", addr, 0)
	s := newSink()
	a := newGetAttempt(s)
	if c, _, err := p.acquire(a); c != nil || err != nil { // as Start does before it dials
		t.Fatal(c, err)
	}
	a.pool = p
	if a.Abandon() {
		t.Error("attempt may have begun before its connection was established")
	}
	a.Close()
	a.dial(addr) // the connection is established now
	if r := s.wait(t); !r.outcome.NeverRan() {
		t.Errorf("outcome %v", r.outcome)
	}
	if n := <-said; n != 0 {
		t.Errorf("server received %d bytes, want 0", n)
	}
	waitUntil(t, "connection is still counted after the attempt", func() bool { return p.Conns() == 0 })
}

// For an answer without a length, closing the connection marks the end and a reset does not: the
// attempt fails.
func TestResetDoesNotEndAnswer(t *testing.T) {
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
		addr, _ := startFakeServer(t, func(nc net.Conn, br *bufio.Reader) {
			readRequest(br)
			io.WriteString(nc, c.answer)
			if c.reset {
				<-read // a reset discards bytes that were not read
				nc.(*net.TCPConn).SetLinger(0)
			}
			nc.Close()
		})
		p := newPool(1)
		p.AddServer("s", addr, 0)
		s := newSink()
		a := newGetAttempt(s)
		p.Start(a)
		if c.reset {
			waitUntil(t, "no answer has begun", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.answering })
			read <- struct{}{}
		}
		if r := s.wait(t); r.outcome != c.want || r.outcome == chalkrack.OK && r.body != "hi" {
			t.Errorf("%s: outcome %v, body %q", c.name, r.outcome, r.body)
		}
		p.Close()
	}
}

// The server resets the connection after a complete answer. The answer is delivered, and the
// connection is not reused.
func TestResetAfterCompleteAnswerDropsConnection(t *testing.T) {
	answered := make(chan struct{})
	addr, conns := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		<-answered
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	p := newPool(1)
	p.AddServer("s", addr, 0)
	if r := runAttempt(t, p); r.outcome != chalkrack.OK || r.body != "hi" {
		t.Fatal(r)
	}
	<-conns
	close(answered)
	waitUntil(t, "connection that was reset is kept", func() bool { return p.Conns() == 0 })
}

// A server that declines after the last byte of a body has not run the request, whatever the
// size of the body.
func TestDeclinedAfterBodyNeverRan(t *testing.T) {
	addr, _ := startFakeServer(t, answerEach("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"))
	p := newPool(9) // the previous connection may not be idle yet
	p.AddServer("s", addr, 0)
	for _, size := range []int{0, 100, 200 << 10} {
		s := newSink()
		a := newGetAttempt(s)
		a.Request = &message.Request{Method: "POST", Head: []byte(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", size)),
			Body: [][]byte{[]byte(strings.Repeat("x", size))}}
		p.Start(a)
		if r := s.wait(t); r.outcome != chalkrack.Full || !r.outcome.NeverRan() {
			t.Errorf("body of %d bytes: outcome %v, want Full", size, r.outcome)
		}
	}
}

// TCP_NODELAY is set, so that small writes to a server are sent at once.
func TestConnectionsSetNoDelay(t *testing.T) {
	addr, _ := startFakeServer(t, answerEach("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	p := newPool(1)
	p.AddServer("s", addr, 0)
	if r := runAttempt(t, p); r.outcome != chalkrack.OK {
		t.Fatal(r)
	}
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
	p.mu.Lock()
	c := p.servers["s"].idle[0]
	p.mu.Unlock()
	on, err := 0, error(nil)
	c.raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
	if err != nil || on != 1 {
		t.Errorf("TCP_NODELAY is %d, want 1 (error %v)", on, err)
	}
}

// The call ends while a long request is being written. The last byte is not written, so that no
// server begins the request, and the connection is closed.
func TestLastByteOfCancelledLongWriteIsNotSent(t *testing.T) {
	read := make(chan struct{})
	got := make(chan int64, 1)
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		<-read // only what fits into the socket buffers has been written by then
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
	p.AddServer("s", addr, 0)
	s := newSink()
	a := newGetAttempt(s)
	a.Request = &message.Request{Method: "POST", Head: []byte(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", size)),
		Body: [][]byte{make([]byte, size-7), make([]byte, 7), nil}}
	p.Start(a)
	waitUntil(t, "request is not being written", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.lastBytePending })
	if !a.CancelUnsent() {
		t.Fatal("attempt counts as begun before its last byte is written")
	}
	close(read) // everything but the last byte is written now
	if r := s.wait(t); !r.outcome.NeverRan() {
		t.Errorf("outcome %v", r.outcome)
	}
	if n := <-got; n >= size {
		t.Errorf("server received %d bytes of the body, want fewer than the whole", n)
	}
	waitUntil(t, "connection is still counted after the attempt", func() bool { return p.Conns() == 0 })
}

// An attempt that has begun is not stopped as unsent. One that is not started or whose last byte
// is held back is stopped.
func TestOnlyUnsentAttemptsAreCancelled(t *testing.T) {
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) { readRequest(br); io.Copy(io.Discard, br) })
	p := newPool(9)
	p.AddServer("s", addr, 0)
	a := newGetAttempt(newSink())
	if !a.CancelUnsent() {
		t.Error("attempt that was not started counts as begun")
	}
	b := newGetAttempt(newSink())
	p.Start(b)
	waitUntil(t, "attempt does not begin", b.hasBegun)
	if b.CancelUnsent() {
		t.Error("attempt that has begun was stopped as unsent")
	}
	b.Close()
	p.recordEarlyBreak(0, 0)
	p.holdBackDelay = testTimeout
	c := newGetAttempt(newSink())
	c.AtMostOnce = true
	p.Start(c)
	waitUntil(t, "last byte is not held back", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.heldBack })
	if !c.CancelUnsent() {
		t.Error("attempt whose last byte is held back counts as begun")
	}
	c.Close()
}
