package load

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"chalkrack/internal/standin"
)

// Over real sockets, calls must be sent as HTTP/1.1 with the method and key of their effect and
// with bodies of the set length. A kept-alive connection that the server closed gives ErrStaleConn,
// so that the call is sent again. An answer that stops half way must give another error, because
// that call may have run. A refused connection must not count as a lack of ports or descriptors of
// this machine.
func TestHTTP1(t *testing.T) {
	ledger := standin.NewLedger(0)
	server, err := standin.NewServer(standin.ServerConfig{Name: "s", Ledger: ledger})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn, err := (&HTTP1{Addr: server.Addr()}).Dial(time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	classes := DefaultClasses()
	call := func(class int, id string, body int) (Reply, error) {
		c := &Call{ID: id, Class: &classes[class], BodyBytes: body, Deadline: time.Now().Add(20 * time.Second)}
		if classes[class].Effect == Keyed {
			c.Key = "k" + id
		}
		return conn.Do(c)
	}
	for n, size := range []int{0, 1, 70000, 200 << 10} {
		for class := range classes {
			id := fmt.Sprintf("%d%d", n, class)
			r, err := call(class, id, size)
			if err != nil || r.Status != 200 || ledger.RequestCount(id).Attempts != 1 {
				t.Errorf("%s: %+v, %v", id, r, err)
			}
			log := ledger.Arrivals()
			if last := log[len(log)-1]; (last.Key != "") != (classes[class].Effect == Keyed) || classes[class].Effect != Safe && last.BodySize != int64(size) {
				t.Errorf("%s: %+v", id, last)
			}
		}
	}
	server.SetScript(standin.Always(standin.Action{Kind: standin.Deny, Status: 503}))
	if r, err := call(0, "refused", 0); err != nil || r.Status != 503 {
		t.Errorf("%+v, %v", r, err)
	}
	server.SetScript(standin.Always(standin.Action{Kind: standin.ShortBody}))
	if r, err := call(0, "half", 0); err == nil || errors.Is(err, ErrStaleConn) {
		t.Errorf("half an answer: %+v, %v", r, err)
	}
	server.Kill()
	conn.Close()
	if _, err := (&HTTP1{Addr: server.Addr()}).Dial(time.Now().Add(time.Second)); err == nil || errors.Is(err, ErrLocalResource) {
		t.Errorf("a server that is down: error %v, want one that is not local", err)
	}
	if err := server.Restart(); err != nil {
		t.Fatal(err)
	}
	server.SetScript(standin.Always(standin.Action{}))
	if conn, err = (&HTTP1{Addr: server.Addr()}).Dial(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := call(2, "first", 10); err != nil {
		t.Fatal(err)
	}
	server.Kill()
	if _, err := call(2, "second", 10); !errors.Is(err, ErrStaleConn) && !errors.Is(err, net.ErrClosed) {
		t.Errorf("a kept-alive connection that was closed: %v", err)
	}
	conn.Close()
}
