package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/httphead"
)

// A server may send interim answers early and then work for longer than the stall timeout.
func TestInterimAnswerSuspendsStallTimeout(t *testing.T) {
	const stall = 50 * time.Millisecond
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		for range 2 {
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
			time.Sleep(4 * stall)
		}
		io.WriteString(c, okResponse)
	})
	p := newPool(9)
	p.stallTimeout = stall
	p.AddServer("s", addr, 0)
	if r := runAttempt(t, p); r.outcome != chalkrack.OK || r.body != "hi" {
		t.Errorf("outcome %d, body %q", r.outcome, r.body)
	}
}

// Guards against answers that are cut off because their server pauses: nothing ends the attempt but
// its caller.
func TestPausedAnswerGoesOn(t *testing.T) {
	for name, c := range map[string]struct{ first, rest, body string }{
		"in its head":   {"HTTP/1.1 200 OK\r\nContent-", "Length: 2\r\n\r\nhi", "hi"},
		"before a body": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "hi", "hi"},
		"in its body":   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nstop", "ped!!", "stopped!!"},
		"in a chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n0\r\n\r\n", "hi"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOn := make(chan struct{})
			addr, _ := startFakeServer(t, func(c2 net.Conn, br *bufio.Reader) {
				readRequest(br)
				io.WriteString(c2, c.first)
				<-goOn
				io.WriteString(c2, c.rest)
				br.ReadByte()
			})
			p := newPool(9)
			p.stallTimeout = 20 * time.Millisecond
			p.AddServer("s", addr, 0)
			s := newSink()
			p.Start(newGetAttempt(s))
			<-s.stalled
			time.Sleep(5 * p.stallTimeout)
			select {
			case r := <-s.done:
				t.Errorf("outcome %d of an answer that pauses", r.outcome)
			default:
			}
			close(goOn)
			if r := s.wait(t); r.outcome != chalkrack.OK || r.body != c.body {
				t.Errorf("outcome %d, body %q, want %q", r.outcome, r.body, c.body)
			}
			if len(s.stalled) > 0 {
				t.Error("reported as stalled more than once")
			}
		})
	}
}

// An attempt whose answer stops for good ends when its caller gives it up, with its connection.
func TestStoppedAnswerEndsWithItsAttempt(t *testing.T) {
	for _, first := range []string{"HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nstop"} {
		addr, _ := startFakeServer(t, answerEach(first))
		p := newPool(9)
		p.stallTimeout = 20 * time.Millisecond
		p.AddServer("s", addr, 0)
		s := newSink()
		a := newGetAttempt(s)
		p.Start(a)
		<-s.stalled
		if !a.Abandon() {
			t.Error("an attempt with an answer counts as not begun")
		}
		a.Close()
		if r := s.wait(t); r.outcome != chalkrack.Reset || r.body != "" || p.Conns() != 0 {
			t.Errorf("outcome %d, body %q, %d connections left", r.outcome, r.body, p.Conns())
		}
	}
}

// An answer that pauses is reported after the configured stall timeout, in time for another
// attempt. An answer that is being passed on may pause for longer.
func TestConfiguredStallTimeout(t *testing.T) {
	for _, c := range []struct{ stall, want time.Duration }{{0, defaultStallTimeout}, {time.Hour, defaultStallTimeout}, {100 * time.Millisecond, 100 * time.Millisecond}, {1, minStallTimeout}} {
		if got := New(Config{StallTimeout: c.stall}).stallTimeout; got != c.want {
			t.Errorf("configured %v: stall timeout %v, want %v", c.stall, got, c.want)
		}
	}
	long := strings.Repeat("x", MaxBuffered+1)
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long)+2, long)
		time.Sleep(defaultStallTimeout * 3)
		io.WriteString(c, "yz")
		br.ReadByte()
	})
	p := New(Config{ConnIdleTimeout: time.Minute, DialTimeout: 5 * time.Second, DrainGrace: time.Minute, MaxConns: 9, StallTimeout: defaultStallTimeout})
	p.streamStallTimeout = testTimeout
	p.AddServer("s", addr, 0)
	s := newSink()
	p.Start(newGetAttempt(s))
	if r := s.wait(t); r.outcome != chalkrack.OK || s.streamed.String() != long+"yz" {
		t.Errorf("outcome %d, %d streamed", r.outcome, s.streamed.Len())
	}
}

// An answer without a length that never ends is cut off at maxAnswerBytes.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
		for range 2 * maxAnswerBytes / len(chunk) {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
		io.WriteString(c, "0\r\n\r\n")
	})
	p := newPool(9)
	p.AddServer("s", addr, 0)
	s := newSink()
	p.Start(newGetAttempt(s))
	if r := s.wait(t); r.outcome != chalkrack.Reset || s.streamed.Len() > maxAnswerBytes+httphead.MaxBytes {
		t.Errorf("outcome %d, %d streamed", r.outcome, s.streamed.Len())
	}
}

// waitForHeldAnswer checks that an answer whose server pauses after its first byte is reported as
// stalled, is held while another attempt could answer, and is passed on after maxHoldTime.
func waitForHeldAnswer(t *testing.T, s *sink) {
	t.Helper()
	<-s.stalled
	select {
	case r := <-s.done:
		t.Errorf("outcome %d of a stalled answer", r.outcome)
	default:
	}
	stalledAt := time.Now()
	if r := s.wait(t); r.outcome != chalkrack.Reset || s.streamed.String() != "x" {
		t.Errorf("answer that stops: outcome %d, %q streamed", r.outcome, s.streamed.String())
	}
	if held := time.Since(stalledAt); held < maxHoldTime/2 {
		t.Errorf("passed on %v after it had stalled, want %v", held, maxHoldTime)
	}
	if len(s.stalled) > 0 {
		t.Error("reported as stalled more than once")
	}
}

// An answer without a length that arrives in small pieces is passed on while it arrives. An
// answer that stops after its first piece is held for a time.
func TestTricklingAnswerIsStreamed(t *testing.T) {
	for _, stops := range []bool{false, true} {
		addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
			readRequest(br)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
			if !stops {
				time.Sleep(2 * slowBodyDelay)
				io.WriteString(c, "1\r\ny\r\n")
				time.Sleep(2 * slowBodyDelay)
				io.WriteString(c, "1\r\nz\r\n0\r\n\r\n")
			}
			br.ReadByte()
		})
		p := newPool(9)
		if p.streamStallTimeout = 50 * time.Millisecond; !stops {
			p.stallTimeout, p.streamStallTimeout = testTimeout, testTimeout
		}
		p.AddServer("s", addr, 0)
		s := newSink()
		p.Start(newGetAttempt(s))
		if stops {
			waitForHeldAnswer(t, s)
			continue
		}
		r := s.wait(t)
		if r.outcome != chalkrack.OK || s.streamed.String() != "xyz" {
			t.Errorf("outcome %d, streamed %q", r.outcome, s.streamed.String())
		}
	}
}

func TestParseLoad(t *testing.T) {
	r := ParseLoad("inflight=7, queue=2,util=0.61,odd,x=y")
	if !r.HasInFlight || r.InFlight != 7 || !r.HasUtil || r.Util != 0.61 {
		t.Errorf("ParseLoad = %+v", r)
	}
	for _, bad := range []string{"", "inflight", "inflight=NaN,util=nan", "inflight=Inf,util=-Inf", "inflight=-3,util=-0.1", "inflight=1e300"} {
		if r := ParseLoad(bad); r.HasInFlight || r.HasUtil {
			t.Errorf("ParseLoad(%q) = %+v, want no values", bad, r)
		}
	}
}

// A long answer of known length that arrives slowly is passed on while it arrives, without
// waiting for the first MaxBuffered bytes. An answer that stops after its first piece is held for a
// time in which another attempt can be made.
func TestSlowLongAnswerIsStreamed(t *testing.T) {
	const length = 2 * MaxBuffered
	for _, stops := range []bool{false, true} {
		begun := make(chan struct{})
		addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
			readRequest(br)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", length)
			if !stops {
				time.Sleep(2 * slowBodyDelay)
				io.WriteString(c, "y")
				<-begun // the rest is sent only after the first bytes were passed on
				io.WriteString(c, strings.Repeat("z", length-2))
			}
			br.ReadByte()
		})
		p := newPool(9)
		if p.streamStallTimeout = 50 * time.Millisecond; !stops {
			p.stallTimeout, p.streamStallTimeout = testTimeout, testTimeout
		}
		p.AddServer("s", addr, 0)
		s := newSink()
		s.onStream = sync.OnceFunc(func() { close(begun) })
		p.Start(newGetAttempt(s))
		if stops {
			waitForHeldAnswer(t, s)
			continue
		}
		r := s.wait(t)
		if r.outcome != chalkrack.OK || s.streamed.Len() != length {
			t.Errorf("outcome %d, %d streamed", r.outcome, s.streamed.Len())
		}
	}
}

// The framing of small chunks takes as many bytes as their content. An answer of maxAnswerBytes
// in small chunks still passes.
func TestLongestAnswerInSmallChunksPasses(t *testing.T) {
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		part := strings.Repeat("8\r\nxxxxxxxx\r\n", 8<<10)
		for range maxAnswerBytes / (64 << 10) {
			io.WriteString(c, part)
		}
		io.WriteString(c, "0\r\n\r\n")
		br.ReadByte()
	})
	p := newPool(9)
	p.streamStallTimeout = testTimeout
	p.AddServer("s", addr, 0)
	s := newSink()
	p.Start(newGetAttempt(s))
	if r := s.wait(t); r.outcome != chalkrack.OK || s.streamed.Len() != maxAnswerBytes {
		t.Errorf("outcome %d, %d streamed", r.outcome, s.streamed.Len())
	}
}

func TestStreamStallTimeoutFollowsTheClients(t *testing.T) {
	for wait, want := range map[time.Duration]time.Duration{0: 2 * time.Second, time.Second: 2 * time.Second, 3 * time.Second: 3 * time.Second, time.Hour: 10 * time.Second} {
		if got := StreamStallTimeoutFor(wait); got != want {
			t.Errorf("clients wait for %v: %v, want %v", wait, got, want)
		}
	}
}
