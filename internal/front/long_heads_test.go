package front

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/headpolicy"
	"chalkrack/internal/httphead"
)

const (
	testHeadBytes   = 60 << 10 // of a long head that a test sends
	testHeadBudget  = 2 << 20  // bytes
	stoppedClients  = 60
	connectionBytes = 48 << 10 // both ends of a connection of a test, without its head
)

// longHeads returns heads of about testHeadBytes without their last line, by the kind of their
// fields.
func longHeads() map[string]string {
	first := "GET /a HTTP/1.1\r\nHost: h\r\n" + idFields
	var distinct strings.Builder
	for n := 0; distinct.Len() < testHeadBytes-len(first); n++ {
		fmt.Fprintf(&distinct, "%x:\r\n", n)
	}
	return map[string]string{
		"one field":        first + "a: " + strings.Repeat("x", testHeadBytes-len(first)) + "\r\n",
		"few fields":       first + strings.Repeat("a: "+strings.Repeat("x", 6000)+"\r\n", 10),
		"many fields":      first + strings.Repeat("a:\r\n", (testHeadBytes-len(first))/4),
		"many field names": first + distinct.String(),
	}
}

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against clients that stop in the middle of long heads and take a multiple of the bytes
// that they have sent, each: the sidecar went over its limit of memory. They hold no more than the
// budget, whatever their fields are, and others are answered meanwhile.
func TestStoppedHeadsStayWithinBudget(t *testing.T) {
	for name, head := range longHeads() {
		t.Run(name, func(t *testing.T) {
			s, _, dial := startServer(t, Config{Heads: httphead.NewBudget(testHeadBudget), MaxConns: 2 * stoppedClients}, echo)
			usual := dial()
			if status, _, _ := usual.send(request("GET /a", idFields)).receive(); status != 200 {
				t.Fatalf("answered %d", status)
			}
			before := liveBytes()
			for range stoppedClients {
				c := dial()
				go io.WriteString(c, head) // blocks while the head finds no room
			}
			waitFor(t, "heads never fill the budget", func() bool { return s.cfg.Heads.Waiting() > 0 })
			if got, most := liveBytes()-before, int64(testHeadBudget+stoppedClients*connectionBytes); got > most {
				t.Errorf("%d stopped heads hold %d KB, want %d KB at most", stoppedClients, got>>10, most>>10)
			}
			for n := range 20 {
				if status, _, _ := usual.send(request("GET /a", field("Req-Id", fmt.Sprint(n))+field("Cookie", strings.Repeat("x", 12<<10)))).receive(); status != 200 {
					t.Errorf("another client's request answered %d", status)
				}
			}
			waitFor(t, "stopped heads are not ended", func() bool { return s.cfg.Heads.Used() == 0 && s.Conns() == 1 })
		})
	}
}

// Long heads of complete requests hold their room while the body arrives and until the call ends,
// and no longer, however the request ends.
func TestLongHeadRoomIsReturned(t *testing.T) {
	head := longHeads()["many fields"]
	get, post := head+"\r\n", strings.Replace(head, "GET", "POST", 1)
	for name, c := range map[string]struct {
		text   string
		status int // 0: the connection is closed without an answer
	}{
		"answered":            {get, 200},
		"with a body":         {post + "Content-Length: 2\r\n\r\nhi", 200},
		"in chunks":           {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200},
		"no such class":       {strings.Replace(get, "/a ", "/b ", 1), 404},
		"no id":               {strings.Replace(get, "Req-Id", "Req-No", 1), 400},
		"not HTTP":            {head + "no colon\r\n", 400},
		"two lengths":         {post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"body too long":       {post + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes+1), 413},
		"bad chunk":           {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"over the limit":      {head + strings.Repeat("a:\r\n", 2<<10), 431},
		"stops in its body":   {post + "Content-Length: 2\r\n\r\nh", 0},
		"leaves in its body":  {post + "Content-Length: 2\r\n\r\nh", -1},
		"leaves in its head":  {head, -1},
		"leaves in the call":  {strings.Replace(get, "GET /a", "GET /a/slow", 1), -1},
		"answered twice over": {get + strings.Replace(get, "9b1f", "9b20", 1), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 1)
			s, _, dial := startServer(t, Config{}, func(x *Exchange) {
				if strings.Contains(string(x.Request.Head), "/slow") {
					arrived <- struct{}{}
					return
				}
				if s := x.conn.srv; s.cfg.Heads.Used() < int64(len(x.Request.Head)) {
					t.Errorf("%d bytes are reserved during a call with a head of %d", s.cfg.Heads.Used(), len(x.Request.Head))
				}
				echo(x)
			})
			cl := dial().send(c.text)
			switch {
			case c.status > 0:
				if status, _, _ := cl.receive(); status != c.status {
					t.Errorf("answered %d, want %d", status, c.status)
				}
			case c.status == 0:
				if !cl.isClosed() {
					t.Error("connection is not closed")
				}
			default:
				if strings.Contains(c.text, "/slow") {
					<-arrived
				}
				cl.Close()
			}
			waitFor(t, "the room of a long head is not returned", func() bool { return s.cfg.Heads.Used() == 0 })
		})
	}
}

// A request that follows a long head in the same bytes is read whole, as the body or as the next
// request.
func TestBytesBehindLongHead(t *testing.T) {
	for name, head := range longHeads() {
		_, _, dial := startServer(t, Config{}, echo)
		c := dial()
		for _, size := range []int{0, 1, 5000, maxShortBodyBytes} {
			body := strings.Repeat("b", size)
			c.send(strings.Replace(head, "GET", "POST", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body)
			if status, got, _ := c.receive(); status != 200 || got != body {
				t.Errorf("%s: answered %d with %d bytes, want %d", name, status, len(got), size)
			}
		}
	}
}

// A complete head that is forwarded in more bytes than it was sent in, and finds no room for them,
// is refused, and its connection goes on.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	budget := httphead.NewBudget(1)
	s, _, dial := startServer(t, Config{Heads: budget}, echo)
	other := budget.Reserve()
	head := longHeads()["many fields"]
	c := dial().send(head)
	waitFor(t, "the head is not read", func() bool { return budget.Used() >= testHeadBytes })
	if !other.Resize(headpolicy.MinLimit - budget.Used()) {
		t.Fatal("the rest of the budget is not free")
	}
	status, _, h := c.send("\r\n").receive()
	if status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("answered %d, Retry-After %q, want 503", status, h.Get("Retry-After"))
	}
	other.Release()
	if status, _, _ := c.send(head + "\r\n").receive(); status != 200 {
		t.Errorf("the same request answered %d once there is room", status)
	}
	waitFor(t, "room is not returned", func() bool { return s.cfg.Heads.Used() == 0 })
}

// A head that waits for room is refused after headRoomTimeout, and evicted at once if its
// connection has to make room for others.
func TestWaitingHeads(t *testing.T) {
	budget := httphead.NewBudget(1)
	s, _, dial := startServer(t, Config{Heads: budget, MaxConns: 2}, echo)
	first := dial().send(longHeads()["few fields"])
	waitFor(t, "the first head is not read", func() bool { return budget.Used() >= testHeadBytes })
	second := dial()
	go io.WriteString(second, longHeads()["few fields"])
	waitFor(t, "the second head does not wait", func() bool { return budget.Waiting() == 1 })
	s.evictConn(0) // the first head is the oldest
	if !first.isClosed() {
		t.Error("the first connection is not evicted")
	}
	waitFor(t, "the second head gets no room", func() bool { return budget.Waiting() == 0 && budget.Used() >= testHeadBytes })
	third := dial()
	go io.WriteString(third, longHeads()["few fields"])
	waitFor(t, "the third head does not wait", func() bool { return budget.Waiting() == 1 })
	s.evictConn(0)
	s.evictConn(0)
	if !third.isClosed() {
		t.Error("the third connection is not evicted")
	}
	waitFor(t, "evicted heads hold room", func() bool { return budget.Used() == 0 && budget.Waiting() == 0 })
	holder := budget.Reserve()
	if !holder.TryGrow(testHeadBytes) {
		t.Fatal("no room for a head")
	}
	began := time.Now()
	fourth := dial()
	go io.WriteString(fourth, longHeads()["few fields"]+"\r\n")
	if status, _, _ := fourth.receive(); status != 503 {
		t.Errorf("a head without room answered %d, want 503", status)
	}
	if took := time.Since(began); took < headRoomTimeout {
		t.Errorf("refused after %v, want %v", took, headRoomTimeout)
	}
	holder.Release()
}

// Clients that stop at the end of a long head, before the body that it states, keep the room of the
// head only, and their parsed fields are dropped.
func TestStoppedBodiesBehindLongHeads(t *testing.T) {
	s, _, dial := startServer(t, Config{Heads: httphead.NewBudget(testHeadBudget), MaxConns: 2 * stoppedClients}, echo)
	head := strings.Replace(longHeads()["many field names"], "GET", "POST", 1) + "Content-Length: 9\r\n\r\n"
	before := liveBytes()
	var conns []net.Conn
	for range stoppedClients {
		c := dial()
		conns = append(conns, c)
		go io.WriteString(c, head)
	}
	waitFor(t, "heads never fill the budget", func() bool { return s.cfg.Heads.Used() > testHeadBudget/2 })
	s.longHeads.Lock() // no head is being parsed: the parser holds more than the budget counts until it is done
	got := liveBytes() - before
	s.longHeads.Unlock()
	if most := int64(testHeadBudget + stoppedClients*connectionBytes); got > most {
		t.Errorf("%d stopped bodies hold %d KB, want %d KB at most", stoppedClients, got>>10, most>>10)
	}
	for _, c := range conns {
		c.Close()
	}
	waitFor(t, "room is not returned", func() bool { return s.cfg.Heads.Used() == 0 })
}
