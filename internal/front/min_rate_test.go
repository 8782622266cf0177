package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/bodypolicy"
)

// A body at twice minBodyRate never misses a deadline, however long it is. A body below the
// minimum, or one that stops, does. Time between reads does not count against the client.
func TestMinRateReaderDeadlines(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	fresh := func() *minRateReader {
		return &minRateReader{minRate: minBodyRate, timeout: bodyTimeout, firstDeadline: began.Add(headTimeout)}
	}
	for name, c := range map[string]struct {
		each, every, held int // bytes per read, ms until they arrive, ms between reads
		ends              int // ms after which a deadline is missed, 0: never
	}{
		"64 kB a second":                {16000, 250, 0, 0},
		"64 kB a second, in one piece":  {64000, 1000, 0, 0},
		"half of the least rate":        {4096, 250, 0, 5000},
		"a byte now and then":           {1, 20, 0, 2500},
		"nothing":                       {0, 100, 0, 2500},
		"slow for want of a server":     {32000, 300, 2000, 0},
		"a piece that takes too long":   {1 << 20, 1600, 0, 1600},
		"much at once, and then no end": {30 << 20, 1400, 0, 0},
	} {
		p := fresh()
		missed := 0
		for now := 0; now < 60000; {
			until := p.readDeadline(at(now))
			now += c.every
			if at(now).After(until) {
				missed = now
				break
			}
			p.received += int64(c.each)
			now += c.held
			p.heldTime += time.Duration(c.held) * time.Millisecond
		}
		if (missed == 0) != (c.ends == 0) || c.ends > 0 && (missed < c.ends || missed > c.ends+c.every) {
			t.Errorf("%s: deadline missed after %d ms, want %d", name, missed, c.ends)
		}
	}
	// A body of 60 MB that stops half way times out early enough that its client reads the answer.
	p := fresh()
	p.received = 30 << 20
	if until := p.readDeadline(at(2000)); until.After(at(6000)) {
		t.Errorf("deadline of a body that stopped is after %v, want at most 6s", until.Sub(began))
	}
}

// newLongBodies returns a store that keeps bodies of up to 256 KiB and forwards at most streams
// longer ones at one time.
func newLongBodies(t *testing.T, streams int64) *Bodies {
	t.Helper()
	store, err := body.New(body.Config{
		Limits: bodypolicy.Limits{Memory: 1 << 20, MemoryMost: 256 << 10, FileMost: 256 << 10, MoveLeast: 64 << 10, Streams: streams, Shares: []float64{0}, Lend: 1, High: 1, Low: 0.9},
		Window: 64 << 10, Classes: []string{"a"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	zero := func(string) int { return 0 }
	return &Bodies{Store: store, ClassIndex: zero, TenantIndex: func(string) int { return -1 }, MaxBytes: maxBodyBytes, MinRate: minBodyRate, Timeout: time.Minute}
}

// The call of a body over 256 KiB starts before the end of the body has arrived; the call of a
// shorter body starts when it is complete. A body beyond the limit of forwarded ones is refused.
func TestLongBodyIsForwardedAsItArrives(t *testing.T) {
	const size = 300 << 10
	arrived := make(chan *Exchange, 8)
	_, _, dial := startServer(t, Config{LongBodies: newLongBodies(t, 1)}, func(x *Exchange) { arrived <- x })
	part := strings.Repeat("x", 64<<10)
	c := dial().send(request("POST /a", idFields+field("Content-Length", fmt.Sprint(size))) + part)
	x := <-arrived
	if x.Limits == nil || x.Limits.BodyTimeout == 0 {
		t.Fatalf("long body arrived with limits %+v, want BodyTimeout set", x.Limits)
	}
	other := dial().send(request("POST /a", strings.Replace(idFields, "9b1f", "other", 1)+field("Content-Length", fmt.Sprint(size))) + part)
	if status, _, h := other.receive(); status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("body beyond the limit answered %d, %v", status, h)
	}
	r, err := x.Request.Source.Open()
	if err != nil {
		t.Fatal(err)
	}
	go io.WriteString(c.Conn, strings.Repeat("x", size-len(part)))
	total := 0
	for {
		p, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		total += len(p)
	}
	r.Close()
	if total != size {
		t.Errorf("%d of %d bytes received", total, size)
	}
	answerWith(x, "hi")
	if status, body, _ := c.receive(); status != 200 || body != "hi" {
		t.Errorf("answered %d %q", status, body)
	}
	for name, framing := range map[string]string{
		"told":   field("Content-Length", "100000") + "\r\n" + strings.Repeat("x", 100000),
		"chunks": field("Transfer-Encoding", "chunked") + "\r\n" + "186A0;ext=1\r\n" + strings.Repeat("x", 100000) + "\r\n0\r\nX-Sum: t\r\n\r\n",
	} {
		c := dial().send("POST /a HTTP/1.1\r\nHost: h\r\n" + strings.Replace(idFields, "9b1f", name, 1) + framing)
		var x *Exchange
		select {
		case x = <-arrived:
		case <-time.After(testTimeout / 4):
			status, body, _ := c.receive()
			t.Fatalf("%s: request did not arrive, answered %d %q", name, status, body)
		}
		if x.Limits != nil || x.keptBody.IsStreamed() || x.keptBody.Length() != 100000 {
			t.Errorf("%s: limits %+v, length %d", name, x.Limits, x.keptBody.Length())
		}
		answerWith(x, "hi")
		if status, _, _ := c.receive(); status != 200 {
			t.Errorf("%s: answered %d", name, status)
		}
	}
}

// A client that disconnects within a long body that is being forwarded ends its call, and the
// reader of the body gets an error instead of io.EOF.
func TestClientCloseDuringLongBodyEndsCall(t *testing.T) {
	arrived := make(chan *Exchange, 1)
	s, f, dial := startServer(t, Config{LongBodies: newLongBodies(t, 4)}, func(x *Exchange) { arrived <- x })
	c := dial().send(request("POST /a", idFields+field("Content-Length", "300000")) + strings.Repeat("x", 70000))
	x := <-arrived
	r, err := x.Request.Source.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := r.Next(); err != nil {
				ended <- err
				return
			}
		}
	}()
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	select {
	case <-f.gone:
	case <-time.After(testTimeout):
		t.Fatal("ClientGone was not called")
	}
	if err := <-ended; err == io.EOF {
		t.Error("an incomplete body ends with io.EOF")
	}
	waitFor(t, "closed connections are still counted", func() bool { return s.Conns() == 0 })
}
