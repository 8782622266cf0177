package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"chalkrack"
)

func TestConnectFailedReleasesReservation(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	p := newPool(9)
	p.AddServer("s", ln.Addr().String(), 0)
	if r := runAttempt(t, p); r.outcome != chalkrack.ConnectFailed {
		t.Errorf("outcome %d", r.outcome)
	}
	if p.Conns() != 0 {
		t.Error("connection is still counted")
	}
	s := newSink()
	a := newGetAttempt(s)
	a.Server = "unheard of"
	if p.Start(a); s.wait(t).outcome != chalkrack.ConnectFailed {
		t.Error("unlisted server: outcome is not ConnectFailed")
	}
}

// With all connections in use an attempt is not made, and its server is not blamed. An idle
// connection to another server is closed to make room.
func TestFullPool(t *testing.T) {
	silent, _ := startFakeServer(t, func(_ net.Conn, br *bufio.Reader) { readRequest(br); br.ReadByte() })
	quick, _ := startFakeServer(t, answerEach(okResponse))
	p := newPool(2)
	p.AddServer("s", quick, 0)
	if r := runAttempt(t, p); r.outcome != chalkrack.OK {
		t.Fatalf("outcome %d", r.outcome)
	}
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
	p.AddServer("silent", silent, 0)
	for range 2 {
		a := newGetAttempt(newSink())
		a.Server = "silent"
		p.Start(a)
		waitUntil(t, "request is not written", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.written })
	}
	if r := runAttempt(t, p); r.outcome != chalkrack.NotSent {
		t.Errorf("outcome %d with a full pool, want NotSent", r.outcome)
	}
	if p.Conns() != 2 || p.idleCount("s") != 0 {
		t.Errorf("%d connections, %d idle, want 2 and 0", p.Conns(), p.idleCount("s"))
	}
}

func (p *Pool) idleCount(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.servers[name].idle)
}

func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(p *Pool, c net.Conn, addr string) // runs before the second attempt
		conns  int
	}{
		{"kept", func(*Pool, net.Conn, string) {}, 1},
		{"closed by the server", func(_ *Pool, c net.Conn, _ string) { c.Close() }, 2},
		{"half-closed by the server", func(_ *Pool, c net.Conn, _ string) { c.(*net.TCPConn).CloseWrite() }, 2},
		{"bytes that nobody asked for", func(_ *Pool, c net.Conn, _ string) { io.WriteString(c, okResponse) }, 2},
		{"a restarted server", func(p *Pool, _ net.Conn, addr string) { p.AddServer("s", addr, 5) }, 2},
		{"idle for long", func(p *Pool, _ net.Conn, _ string) { p.Sweep(time.Now().Add(time.Minute)) }, 2},
		{"told to close", func(p *Pool, _ net.Conn, _ string) { p.CloseIdle("s") }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, conns := startFakeServer(t, answerEach(okResponse))
			p := newPool(9)
			p.AddServer("s", addr, 0)
			if r := runAttempt(t, p); r.outcome != chalkrack.OK {
				t.Fatalf("first attempt: outcome %d", r.outcome)
			}
			waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
			first := <-conns
			c.before(p, first, addr)
			if r := runAttempt(t, p); r.outcome != chalkrack.OK || r.body != "hi" {
				t.Errorf("second attempt: outcome %d, %q", r.outcome, r.body)
			}
			if n := 1 + len(conns); n != c.conns {
				t.Errorf("%d connections, want %d", n, c.conns)
			}
		})
	}
}

// When connections break on their first use after idling, the pool shortens its idle timeout so
// that it closes them in time, and raises it again when nothing breaks any more.
func TestEarlyIdleCloseShortensIdleTimeout(t *testing.T) {
	const idle = 4 * minIdleTimeout
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for first := true; readRequest(br) == nil; first = false {
			if !first { // as if the server had closed the idle connection before the request arrived
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			io.WriteString(c, okResponse)
		}
	})
	p := newPool(9)
	p.earlyBreakWindow = testTimeout
	p.AddServer("s", addr, 0)
	resets := 0
	for range 3 {
		if r := runAttempt(t, p); r.outcome == chalkrack.Reset {
			resets++
			continue // the connection is closed
		}
		waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
		time.Sleep(idle)
	}
	if r := runAttempt(t, p); r.outcome != chalkrack.OK || resets != 1 {
		t.Errorf("outcome %d after %d resets", r.outcome, resets)
	}
	low := p.idleTimeout
	for range 20 {
		p.Sweep(p.idleTimeoutChangedAt.Add(2 * idleRelearnInterval))
	}
	if low > idle || p.idleTimeout != p.maxIdleTimeout() {
		t.Errorf("idle timeout %v after the break, %v later", low, p.idleTimeout)
	}
}

// A break that was not caused by idling leaves the idle timeout unchanged: on a connection
// reused at once, and on one that was idle for less than another that survived.
func TestUnrelatedBreakKeepsIdleTimeout(t *testing.T) {
	const idle = 20 * minIdleTimeout
	for _, idled := range []time.Duration{0, idle / 10} {
		answers := make(chan bool, 3)
		addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
			for readRequest(br) == nil && <-answers {
				io.WriteString(c, okResponse)
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		p := newPool(9)
		p.earlyBreakWindow = testTimeout
		p.AddServer("s", addr, 0)
		for n, wait := range []time.Duration{idle, idled, 0} {
			answers <- n < 2
			if r := runAttempt(t, p); (r.outcome == chalkrack.OK) != (n < 2) {
				t.Fatalf("attempt %d: outcome %d", n, r.outcome)
			}
			if n < 2 {
				waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
			}
			time.Sleep(wait)
		}
		if p.mu.Lock(); p.idleTimeout != p.maxIdleTimeout() {
			t.Errorf("break after %v of idling, %v survived: idle timeout shortened to %v", idled, idle, p.idleTimeout)
		}
		p.mu.Unlock()
	}
}

// After a server's address changes, idle connections to the old address are not used.
func TestAddressChangeClosesIdleConnections(t *testing.T) {
	old, _ := startFakeServer(t, answerEach(okResponse))
	next, _ := startFakeServer(t, answerEach("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"))
	p := newPool(9)
	p.AddServer("s", old, 0)
	runAttempt(t, p)
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
	p.AddServer("s", next, 0)
	if r := runAttempt(t, p); r.body != "new" {
		t.Errorf("answer %q", r.body)
	}
}

// Closing an abandoned attempt closes its connection, and no connection that has gone to another
// attempt.
func TestCloseClosesOnlyOwnConnection(t *testing.T) {
	ended := make(chan error, 1)
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, err := br.ReadByte()
		ended <- err
	})
	p := newPool(9)
	p.AddServer("s", addr, 0)
	s := newSink()
	a := newGetAttempt(s)
	p.Start(a)
	waitUntil(t, "request is not written", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.written })
	if !a.Abandon() {
		t.Error("Abandon reports that the attempt did not begin")
	}
	a.Close()
	if err := <-ended; err != io.EOF {
		t.Errorf("server read %v, want EOF", err)
	}

	addr, conns := startFakeServer(t, answerEach(okResponse))
	p.AddServer("s", addr, 0)
	s = newSink()
	a = newGetAttempt(s)
	p.Start(a)
	s.wait(t)
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
	a.Close() // too late: the attempt no longer owns the connection
	if runAttempt(t, p); len(conns) != 1 {
		t.Errorf("%d connections", len(conns))
	}
}

// A shorter idle timeout applies at once; a longer one takes effect only as the pool relearns
// it.
func TestChangedTimeoutsApplyToIdleConnections(t *testing.T) {
	p := New(Config{ConnIdleTimeout: 10 * time.Second, DialTimeout: time.Second, DrainGrace: time.Second})
	changed := Timeouts{time.Second, 2 * time.Second, time.Minute, 100 * time.Millisecond, 5 * time.Second}
	p.SetTimeouts(changed)
	if got := p.Timeouts(); got != changed || p.idleTimeout != 600*time.Millisecond {
		t.Errorf("times %+v, idle timeout %v", got, p.idleTimeout)
	}
	if p.SetTimeouts(Timeouts{ConnIdleTimeout: 10 * time.Second}); p.idleTimeout != 600*time.Millisecond {
		t.Errorf("idle timeout raised to %v at once", p.idleTimeout)
	}
}
