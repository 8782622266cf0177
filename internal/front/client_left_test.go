package front

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// A process that was stopped and goes on reads requests whose clients have closed their
// connections in the meantime. These must not be forwarded; the requests of clients that still
// wait must be answered.
func TestRequestsOfClosedClientsAreDropped(t *testing.T) {
	var arrived atomic.Int32
	f := &fake{handle: func(x *Exchange) { arrived.Add(1); echo(x) }, gone: make(chan *Exchange, 10), ended: make(map[*Exchange]bool)}
	s := New(Config{MaxConns: 100, MaxBodyBytes: 1 << 20}, f)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const perKind = 8
	var waiting []*client
	for n := range 2 * perKind {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(testTimeout))
		c := &client{t: t, Conn: nc}
		c.send(request("GET /a", field("Req-Id", string(rune('a'+n)))+field("Req-Kind", "a")))
		if n%2 == 0 {
			nc.Close()
		} else {
			waiting = append(waiting, c)
		}
	}
	go s.Serve(ln) // the process goes on
	for _, c := range waiting {
		if b := make([]byte, 12); true {
			if _, err := c.Read(b); err != nil || string(b) != "HTTP/1.1 200" {
				t.Errorf("waiting client received %q, error %v", b, err)
			}
		}
	}
	waitFor(t, "the number of connections differs from that of the waiting clients", func() bool { return s.Conns() == perKind })
	if n := arrived.Load(); n != perKind {
		t.Errorf("%d requests forwarded, want %d", n, perKind)
	}
	// The client may read an answer before the id of its request is free.
	waitFor(t, "ids of answered requests are still open", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.openIDs) == 0 })
}
