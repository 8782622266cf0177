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

// echo answers each line with itself.
func echo(t *testing.T) string {
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

func linked(t *testing.T) *Link {
	t.Helper()
	l, err := NewLink("127.0.0.3", "sidecar:1", "server:s1", echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dialed(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// says sends a word and waits for it to come back.
func says(c net.Conn, word string, wait time.Duration) error {
	c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, word); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, len(word)))
	return err
}

// patient is longer than a slow machine needs, silent long enough to show that nothing came.
const (
	patient = 20 * time.Second
	silent  = 150 * time.Millisecond
)

// What is cut says nothing: an open connection stays open, a new one does not come up, and
// when it has ended what was written comes.
func TestCutLinkIsSilent(t *testing.T) {
	l := linked(t)
	c := dialed(t, l)
	if err := says(c, "before", patient); err != nil {
		t.Fatal(err)
	}
	l.change(func(w *[2]way) { w[out].cut, w[back].cut = true, true })
	if err := says(c, "within", silent); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection over a cut: %v", err)
	}
	for range 3 {
		d, err := net.DialTimeout("tcp", l.Addr(), silent)
		if err == nil {
			d.Close()
			t.Fatal("a connection came up over a cut")
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			t.Errorf("a new connection over a cut: %v", err)
		}
	}
	l.change(func(w *[2]way) { *w = [2]way{} })
	c.SetDeadline(time.Now().Add(patient))
	if _, err := io.ReadFull(c, make([]byte, len("within"))); err != nil {
		t.Errorf("after the cut: %v", err)
	}
	if err := says(dialed(t, l), "anew", patient); err != nil {
		t.Errorf("a new one after the cut: %v", err)
	}
}

// One direction alone: what was asked arrives, the answer does not, until it may.
func TestCutInOneDirection(t *testing.T) {
	var mu sync.Mutex
	got := ""
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	came := make(chan struct{})
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
		close(came)
	}()
	l, err := NewLink("127.0.0.3", "sidecar:1", "server:s1", ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := dialed(t, l)
	l.change(func(w *[2]way) { w[back].cut = true })
	if err := says(c, "ask", silent); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an answer came: %v", err)
	}
	<-came
	l.change(func(w *[2]way) { w[back].cut = false })
	c.SetDeadline(time.Now().Add(patient))
	if _, err := io.ReadFull(c, make([]byte, 3)); err != nil || got != "ask" {
		t.Errorf("%v, %q", err, got)
	}
}

func TestResetRefuseDelayTrickle(t *testing.T) {
	l := linked(t)
	c := dialed(t, l)
	if err := says(c, "x", patient); err != nil {
		t.Fatal(err)
	}
	l.SetReset(true)
	if err := says(c, "x", patient); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("over a reset: %v", err)
	}
	l.SetReset(false)
	l.Refuse()
	if _, err := net.Dial("tcp", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refused: %v", err)
	}
	if err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	c = dialed(t, l)
	l.change(func(w *[2]way) { w[out].delay = 80 * time.Millisecond })
	began := time.Now()
	if err := says(c, "late", patient); err != nil || time.Since(began) < 80*time.Millisecond {
		t.Errorf("delayed: %v after %v", err, time.Since(began))
	}
	l.change(func(w *[2]way) { w[out] = way{rate: 2000} })
	began = time.Now()
	if err := says(c, strings.Repeat("y", 400), patient); err != nil || time.Since(began) < 150*time.Millisecond {
		t.Errorf("trickling: %v after %v", err, time.Since(began))
	}
}

func TestDatagrams(t *testing.T) {
	to, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)})
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	n, err := NewNotes("127.0.0.3", "sidecar:1", "sidecar:2", to.LocalAddr().(*net.UDPAddr), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	from, err := net.Dial("udp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	come := func(wait time.Duration) (all string) {
		b := make([]byte, 16)
		for {
			to.SetReadDeadline(time.Now().Add(wait))
			size, err := to.Read(b)
			if err != nil {
				return all
			}
			all += string(b[:size])
			wait = silent
		}
	}
	send := func(words ...string) {
		before, _ := n.Sent()
		for i, w := range words {
			io.WriteString(from, w)
			for count, _ := n.Sent(); count < before+int64(i)+1; count, _ = n.Sent() {
				time.Sleep(time.Millisecond)
			}
		}
	}
	for _, c := range []struct {
		name string
		w    way
		send []string
		want string
	}{
		{"as they are", way{}, []string{"a", "b"}, "ab"},
		{"cut", way{cut: true}, []string{"a"}, ""},
		{"lost", way{loss: 1}, []string{"a"}, ""},
		{"twice", way{double: 1}, []string{"a"}, "aa"},
		{"out of order", way{reorder: 1}, []string{"a", "b"}, "ba"},
		{"held up", way{hold: true}, []string{"a", "b"}, ""},
		{"let go", way{}, []string{"c"}, "abc"},
	} {
		n.change(func(w *way) { *w = c.w })
		send(c.send...)
		wait := silent
		if c.want != "" {
			wait = patient
		}
		if got := come(wait); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
