package front

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"chalkrack/internal/figures"
)

// While the server drains, each answer ends its connection and CloseIdle ends idle connections.
// After SetDraining(false) connections are kept again.
func TestDrainEndsConnectionsUntilUndone(t *testing.T) {
	s, _, dial := startServer(t, Config{}, echo)
	asked := 0
	ask := func(c *client) string { // with a new id each time: an answer may be read before its id is free
		t.Helper()
		asked++
		status, _, h := c.send(request("GET /a", fmt.Sprintf("Req-Id: 9b1f%d\r\nReq-Kind: a\r\n", asked))).receive()
		if status != 200 {
			t.Fatalf("answered %d", status)
		}
		return h.Get("Connection")
	}
	used, idle, fresh := dial(), dial(), dial()
	ask(used)
	ask(idle)
	waitFor(t, "not all connections are counted", func() bool { return s.Conns() == 3 && s.BusyConns() <= 1 })
	s.SetDraining(true)
	if connection := ask(used); connection != "close" || !used.isClosed() {
		t.Errorf("answered with Connection: %q in a drain, or not closed", connection)
	}
	if connection := ask(dial()); connection != "close" {
		t.Errorf("new connection answered with Connection: %q in a drain", connection)
	}
	s.CloseIdle()
	if !idle.isClosed() || !fresh.isClosed() {
		t.Error("an idle connection is open after CloseIdle")
	}
	waitFor(t, "ended connections are still counted", func() bool { return s.Conns() == 0 })
	s.SetDraining(false)
	if connection := ask(dial()); connection != "" {
		t.Errorf("answered with Connection: %q after the drain", connection)
	}
}

// lateReadConn delays the return of a read that timed out, so that a request can arrive before.
type lateReadConn struct {
	*net.TCPConn
	timedOut, release chan struct{}
}

func (l *lateReadConn) Read(p []byte) (int, error) {
	n, err := l.TCPConn.Read(p)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		l.timedOut <- struct{}{}
		<-l.release
	}
	return n, err
}

// lateListener accepts connections as lateReadConn.
type lateListener struct {
	net.Listener
	timedOut, release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateReadConn{nc.(*net.TCPConn), l.timedOut, l.release}, nil
}

// A request that arrives while its idle connection is being ended is answered. Otherwise its
// client would have to send it again.
func TestRequestDuringIdleCloseIsAnswered(t *testing.T) {
	s := New(Config{MaxConns: 10, MaxBodyBytes: 1 << 20}, &fake{handle: echo, gone: make(chan *Exchange, 10), ended: make(map[*Exchange]bool)})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	ln := &lateListener{inner, make(chan struct{}, 8), make(chan struct{})}
	go s.Serve(ln)
	nc, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	c := &client{t, nc, bufio.NewReader(nc)}
	waitFor(t, "the connection is not counted", func() bool { return s.Conns() == 1 })
	s.SetDraining(true)
	s.CloseIdle()
	<-ln.timedOut
	c.send(request("GET /a", idFields))
	waitFor(t, "the request did not arrive", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			return c.peeker.hasPending()
		}
		return false
	})
	close(ln.release)
	if status, _, _ := c.receive(); status != 200 || !c.isClosed() {
		t.Errorf("answered %d, or connection not closed", status)
	}
}

// Each request is counted once, by its outcome: served, refused, failed, or abandoned by a client
// that left.
func TestRequestsAreCountedOnceByEnd(t *testing.T) {
	counts := figures.New([]string{"a"})
	hold := make(chan *Exchange, 1)
	s, f, dial := startServer(t, Config{Figures: counts}, func(x *Exchange) {
		switch x.Tenant {
		case "refused":
			x.Refuse(0, true)
			x.Release()
		case "failed":
			x.Fail()
			x.Release()
		case "held":
			hold <- x
		default:
			echo(x)
		}
	})
	// Each request has its own id: an answer may be read before its id is free.
	for n, tenant := range []string{"", "refused", "failed", ""} {
		dial().send(request("GET /a", field("Req-Id", string(rune('p'+n)))+field("Req-Kind", "a")+field("Req-Owner", tenant))).receive()
	}
	gone := dial().send(request("GET /a", field("Req-Id", "held")+field("Req-Kind", "a")+field("Req-Owner", "held")))
	<-hold
	// A request is counted after its answer is written, which the client may read before that.
	waitFor(t, "the number of outstanding requests is not 1", func() bool { return counts.Outstanding() == 1 })
	gone.Close()
	<-f.gone
	waitFor(t, "the request of a client that left is still outstanding", func() bool { return counts.Outstanding() == 0 })
	dial().send(request("GET /a", "Req-Kind: a\r\n")).receive() // without an id
	dial().send(request("GET /b", idFields)).receive()          // unknown class
	waitFor(t, "connections are still busy", func() bool { return s.BusyConns() == 0 })
	for outcome, want := range map[figures.Outcome]int64{figures.Succeeded: 2, figures.Declined: 1, figures.Aborted: 2, figures.ClientLeft: 1} {
		if n := counts.Count("a", outcome); n != want {
			t.Errorf("outcome %d: %d requests counted, want %d", outcome, n, want)
		}
	}
}
