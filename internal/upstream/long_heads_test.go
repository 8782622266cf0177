package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"chalkrack"
	"chalkrack/internal/httphead"
	"chalkrack/internal/message"
)

const (
	testHeadBytes   = 60 << 10 // of a long head that a test server sends
	testHeadBudget  = 2 << 20  // bytes
	stoppedServers  = 60
	connectionBytes = 48 << 10 // both ends of a connection of a test, without its head
)

// manyFieldNames returns fields of n bytes in all, each with a name of its own.
func manyFieldNames(n int) string {
	var fields strings.Builder
	for k := 0; fields.Len() < n; k++ {
		fmt.Fprintf(&fields, "%x:\r\n", k)
	}
	return fields.String()
}

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against servers that stop in the middle of long heads and make the sidecar hold a multiple
// of the bytes that they have sent. All heads of answers together hold no more than the budget.
func TestStoppedAnswerHeadsStayWithinBudget(t *testing.T) {
	for name, fields := range map[string]string{"many field names": manyFieldNames(testHeadBytes), "few fields": strings.Repeat("a: "+strings.Repeat("x", 6000)+"\r\n", 10)} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + fields
			sent := make(chan struct{}, stoppedServers)
			addr, conns := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
				readRequest(br)
				io.WriteString(c, head)
				sent <- struct{}{}
			})
			budget := httphead.NewBudget(testHeadBudget)
			p := New(Config{MaxConns: stoppedServers, Heads: budget})
			defer p.Close()
			p.stallTimeout = testTimeout
			p.AddServer("s", addr, 0)
			before := liveBytes()
			sinks := make([]*sink, stoppedServers)
			for n := range sinks {
				sinks[n] = newSink()
				p.Start(newGetAttempt(sinks[n]))
			}
			for range stoppedServers {
				<-sent
			}
			waitUntil(t, "the heads do not fill the budget", func() bool { return budget.Used() > testHeadBudget/2 })
			if got, most := liveBytes()-before, int64(testHeadBudget+stoppedServers*connectionBytes); got > most {
				t.Errorf("%d stopped heads hold %d KB, want %d KB at most", stoppedServers, got>>10, most>>10)
			}
			for range stoppedServers {
				(<-conns).Close()
			}
			for n := range sinks {
				if r := sinks[n].wait(t); r.outcome != chalkrack.Reset {
					t.Errorf("attempt %d: outcome %d, want Reset", n, r.outcome)
				}
			}
			waitUntil(t, "room is not returned", func() bool { return budget.Used() == 0 })
		})
	}
}

// An answer with a long head is served if its fields fit into the budget, and its connection is
// reused unless more follows on it. Its room is returned.
func TestLongAnswerHeads(t *testing.T) {
	few := strings.Repeat("a: "+strings.Repeat("x", 6000)+"\r\n", 10)
	for name, c := range map[string]struct {
		fields, body, rest string
		want               chalkrack.Outcome
		reused             bool
	}{
		"few fields":                {few, "hi", "", chalkrack.OK, true},
		"some hundred fields":       {manyFieldNames(5000), "hi", "", chalkrack.OK, true},
		"a long body":               {few, strings.Repeat("x", 5<<10), "", chalkrack.OK, true},
		"a second answer behind it": {few, "hi", okResponse, chalkrack.OK, false},
		"thousands of fields":       {manyFieldNames(testHeadBytes), "hi", "", chalkrack.Reset, false},
		"noise in the head":         {few + "noise\r\n", "hi", "", chalkrack.Reset, false},
		"over the limit":            {few + few, "hi", "", chalkrack.Reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := "HTTP/1.1 200 OK\r\n" + c.fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(c.body)) + c.body + c.rest
			addr, conns := startFakeServer(t, answerEach(answer))
			budget := httphead.NewBudget(testHeadBudget)
			p := newPoolWithHeads(budget)
			defer p.Close()
			p.AddServer("s", addr, 0)
			for range 2 {
				if r := runAttempt(t, p); r.outcome != c.want || c.want == chalkrack.OK && r.body != c.body {
					t.Errorf("outcome %d with %d bytes, want %d with %d", r.outcome, len(r.body), c.want, len(c.body))
				}
				waitUntil(t, "the connection is neither idle nor closed", func() bool { return p.Conns() == 0 || hasIdle(p) })
			}
			if reused := len(conns) == 1; reused != c.reused {
				t.Errorf("%d connections for two attempts, reused should be %v", len(conns), c.reused)
			}
			waitUntil(t, "room is not returned", func() bool { return budget.Used() == 0 })
		})
	}
}

func newPoolWithHeads(budget *httphead.Budget) *Pool {
	p := newPool(9)
	p.cfg.Heads = budget
	return p
}

// hasIdle reports whether the only connection of a pool is idle.
func hasIdle(p *Pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.servers["s"].idle) == 1
}

// Guards against a request with a long head that is never sent, because its last byte is not one of a
// body: heads up to the longest that the front accepts are sent whole, with each kind of body, and their
// connection is used again.
func TestLongRequestHeadsAreSent(t *testing.T) {
	for _, headBytes := range []int{1 << 10, maxInlineSendBytes - 40, maxInlineSendBytes, 12 << 10, testHeadBytes} {
		for name, body := range map[string][][]byte{"no body": nil, "an empty piece": {{}}, "one byte": {[]byte("b")}, "pieces": {[]byte("bo"), {}, []byte("dy"), {}}} {
			for _, atMostOnce := range []bool{false, true} {
				type request struct {
					field, body string
					err         error
				}
				received := make(chan request, 4)
				addr, conns := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
					for {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						text, err := io.ReadAll(r.Body)
						received <- request{r.Header.Get("Long"), string(text), err}
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				})
				p := newPool(4)
				p.AddServer("s", addr, 0)
				size := 0
				for _, piece := range body {
					size += len(piece)
				}
				field := strings.Repeat("x", headBytes)
				for range 2 {
					s := newSink()
					a := newGetAttempt(s)
					a.AtMostOnce = atMostOnce
					a.Request.Method, a.Request.Body = "POST", body
					a.Request.Head = message.AppendLength([]byte("POST /x HTTP/1.1\r\nHost: h\r\nLong: "+field+"\r\n"), int64(size))
					p.Start(a)
					if r := s.wait(t); r.outcome != chalkrack.OK || r.body != "ok" {
						t.Fatalf("%d bytes, %s, at most once %v: %+v", headBytes, name, atMostOnce, r)
					}
					if r := <-received; r.field != field || len(r.body) != size || r.err != nil {
						t.Errorf("%d bytes, %s: the server received a field of %d bytes and a body of %d, %v", headBytes, name, len(r.field), len(r.body), r.err)
					}
				}
				if len(conns) != 1 || p.Conns() != 1 {
					t.Errorf("%d bytes, %s: %d connections were opened, %d are held; want one", headBytes, name, len(conns), p.Conns())
				}
				p.Close()
			}
		}
	}
}
