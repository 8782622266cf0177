package fleet

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// startEcho starts a TCP server that returns all data, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// newTestLink returns a link to a server that returns all data.
func newTestLink(t *testing.T) *Link {
	t.Helper()
	link, err := NewLink("127.0.0.3", "sidecar:1", "server:s1", startEcho(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

// dialLink connects to a link.
func dialLink(t *testing.T, link *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// exchange sends text and waits until as many bytes have come back.
func exchange(c net.Conn, text string, timeout time.Duration) error {
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

// Timeouts for data that must arrive and for data that must not.
const (
	longTimeout   = 20 * time.Second       // more than a slow machine needs
	silencePeriod = 150 * time.Millisecond // after this time without data, none is expected
)

// Guards against a cut link that closes or resets connections or accepts new ones. Open connections
// must stay open and deliver the data written meanwhile when the cut ends.
func TestCutLinkPassesNothing(t *testing.T) {
	l := newTestLink(t)
	c := dialLink(t, l)
	if err := exchange(c, "before", longTimeout); err != nil {
		t.Fatal(err)
	}
	l.setImpairments(func(impairments *[2]impairment) { impairments[outbound].cut, impairments[inbound].cut = true, true })
	if err := exchange(c, "within", silencePeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("open connection during a cut: %v, want a timeout", err)
	}
	for range 3 {
		d, err := net.DialTimeout("tcp", l.Addr(), silencePeriod)
		if err == nil {
			d.Close()
			t.Fatal("a new connection was established during a cut")
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			t.Errorf("new connection during a cut: %v, want a timeout", err)
		}
	}
	l.setImpairments(func(impairments *[2]impairment) { *impairments = [2]impairment{} })
	c.SetDeadline(time.Now().Add(longTimeout))
	if _, err := io.ReadFull(c, make([]byte, len("within"))); err != nil {
		t.Errorf("data written during the cut did not arrive after it: %v", err)
	}
	if err := exchange(dialLink(t, l), "anew", longTimeout); err != nil {
		t.Errorf("new connection after the cut: %v", err)
	}
}

// Guards against a cut of one direction that also affects the other: the request must arrive, and
// the answer only after the cut.
func TestCutInOneDirection(t *testing.T) {
	var mu sync.Mutex
	got := ""
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b := make([]byte, 3)
		io.ReadFull(c, b)
		mu.Lock()
		got = string(b)
		mu.Unlock()
		c.Write(b)
		close(received)
	}()
	l, err := NewLink("127.0.0.3", "sidecar:1", "server:s1", ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := dialLink(t, l)
	l.setImpairments(func(impairments *[2]impairment) { impairments[inbound].cut = true })
	if err := exchange(c, "ask", silencePeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reading the answer during the cut: %v, want a timeout", err)
	}
	<-received
	l.setImpairments(func(impairments *[2]impairment) { impairments[inbound].cut = false })
	c.SetDeadline(time.Now().Add(longTimeout))
	if _, err := io.ReadFull(c, make([]byte, 3)); err != nil || got != "ask" {
		t.Errorf("after the cut: %v; the server got %q, want \"ask\"", err, got)
	}
}

// Guards against resets, refusals, delays and rate limits of a link that have no effect or do not
// end.
func TestResetRefuseDelayTrickle(t *testing.T) {
	l := newTestLink(t)
	c := dialLink(t, l)
	if err := exchange(c, "x", longTimeout); err != nil {
		t.Fatal(err)
	}
	l.SetReset(true)
	if err := exchange(c, "x", longTimeout); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("reset connection: %v, want a reset", err)
	}
	l.SetReset(false)
	l.Refuse()
	if _, err := net.Dial("tcp", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial while the link refuses: %v, want refused", err)
	}
	if err := l.StopRefusing(); err != nil {
		t.Fatal(err)
	}
	c = dialLink(t, l)
	l.setImpairments(func(impairments *[2]impairment) { impairments[outbound].delay = 80 * time.Millisecond })
	began := time.Now()
	if err := exchange(c, "late", longTimeout); err != nil || time.Since(began) < 80*time.Millisecond {
		t.Errorf("exchange with a delay of 80ms: %v after %v", err, time.Since(began))
	}
	l.setImpairments(func(impairments *[2]impairment) { impairments[outbound] = impairment{bytesPerSecond: 2000} })
	began = time.Now()
	if err := exchange(c, strings.Repeat("y", 400), longTimeout); err != nil || time.Since(began) < 150*time.Millisecond {
		t.Errorf("exchange of 400 bytes at 2000 bytes/s: %v after %v, want at least 150ms", err, time.Since(began))
	}
}

// Guards against faults of datagrams that have no effect, change the order or the number of
// datagrams in another way, or do not end.
func TestNoteLinkFaults(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	link, err := NewNoteLink("127.0.0.3", "sidecar:1", "sidecar:2", receiver.LocalAddr().(*net.UDPAddr), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	sender, err := net.Dial("udp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	receive := func(wait time.Duration) (received string) {
		b := make([]byte, 16)
		for {
			receiver.SetReadDeadline(time.Now().Add(wait))
			size, err := receiver.Read(b)
			if err != nil {
				return received
			}
			received += string(b[:size])
			wait = silencePeriod
		}
	}
	send := func(words ...string) {
		before, _ := link.Sent()
		for i, word := range words {
			io.WriteString(sender, word)
			for count, _ := link.Sent(); count < before+int64(i)+1; count, _ = link.Sent() {
				time.Sleep(time.Millisecond)
			}
		}
	}
	for _, test := range []struct {
		name  string
		fault impairment
		send  []string
		want  string
	}{
		{"no fault", impairment{}, []string{"a", "b"}, "ab"},
		{"cut", impairment{cut: true}, []string{"a"}, ""},
		{"lost", impairment{lossShare: 1}, []string{"a"}, ""},
		{"twice", impairment{duplicateShare: 1}, []string{"a"}, "aa"},
		{"reordered", impairment{reorderShare: 1}, []string{"a", "b"}, "ba"},
		{"held", impairment{hold: true}, []string{"a", "b"}, ""},
		{"released", impairment{}, []string{"c"}, "abc"},
	} {
		link.setImpairment(func(imp *impairment) { *imp = test.fault })
		send(test.send...)
		wait := silencePeriod
		if test.want != "" {
			wait = longTimeout
		}
		if got := receive(wait); got != test.want {
			t.Errorf("%s: received %q, want %q", test.name, got, test.want)
		}
	}
}
