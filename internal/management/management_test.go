package management

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 30 * time.Second

// stub implements Handler and records the calls.
type stub struct {
	mu  sync.Mutex
	ran []string
}

func (b *stub) record(what string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran = append(b.ran, what)
	if strings.HasSuffix(what, " nobody") {
		return errors.New("no server of this id")
	}
	return nil
}

func (b *stub) Ready() bool              { return b.record("ready") == nil }
func (b *stub) Figures(to []byte) []byte { b.record("stats"); return append(to, "x=1\n"...) }
func (b *stub) Disable(id string) error  { return b.record("out " + id) }
func (b *stub) Enable(id string) error   { return b.record("back " + id) }
func (b *stub) Drain() error             { return b.record("drain") }
func (b *stub) Undrain() error           { return b.record("undrain") }
func (b *stub) list() string             { b.mu.Lock(); defer b.mu.Unlock(); return strings.Join(b.ran, ", ") }
func listen(t *testing.T, maxConns int) (*Server, *stub) {
	t.Helper()
	b := new(stub)
	s, err := Listen("127.0.0.1:0", maxConns, b)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, b
}

func sendLine(t *testing.T, s *Server, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, line)
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%.40q: %v", line, err)
	}
	return string(text)
}

func TestCallsAndAnswers(t *testing.T) {
	s, b := listen(t, 4)
	for _, c := range []struct{ line, answer, done string }{
		{"READY\n", "YES\n", "ready"},
		{"READY\r\n", "YES\n", "ready"},
		{"  READY  \n", "YES\n", "ready"},
		{"STATS\n", "x=1\nEND\n", "stats"},
		{"DISABLE s-1\n", "YES\n", "out s-1"},
		{"DISABLE nobody\n", "NO no server of this id\n", "out nobody"},
		{"ENABLE\ts-1\n", "YES\n", "back s-1"},
		{"DRAIN\n", "YES\n", "drain"},
		{"UNDRAIN\nREADY\n", "YES\n", "undrain"},
		{"\n", "NO the line is empty\n", ""},
		{"ready\n", "NO no such call", ""},
		{"DISABLE\n", "NO DISABLE takes 1 words", ""},
		{"DISABLE a b\n", "NO DISABLE takes 1 words", ""},
		{"READY now\n", "NO READY takes 0 words", ""},
		{"\x00\xff\x01\n", "NO the line has bytes", ""},
		{strings.Repeat("A", 5000), "NO the line is longer", ""},
		{"DISABLE " + strings.Repeat("A", maxLineBytes) + "\n", "NO the line is longer", ""},
	} {
		b.mu.Lock()
		b.ran = nil
		b.mu.Unlock()
		answer := sendLine(t, s, c.line)
		lines := max(1, strings.Count(c.answer, "\n"))
		if !strings.HasPrefix(answer, c.answer) || strings.Count(answer, "\n") != lines || !strings.HasSuffix(answer, "\n") {
			t.Errorf("%.40q: answer %q", c.line, answer)
		}
		if b.list() != c.done {
			t.Errorf("%.40q: calls %q", c.line, b.list())
		}
	}
}

// serveAfter starts a server that accepts connections only after before has returned. The
// tests set minEvictAge to a value that also works on a slow machine.
func serveAfter(t *testing.T, maxConns int, minEvictAge time.Duration, before func(*Server)) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(ln, maxConns, new(stub))
	s.minEvictAge = minEvictAge
	before(s)
	s.wg.Go(s.accept)
	t.Cleanup(s.Close)
	return s
}

// A connection that is evicted must be answered if its line has arrived but has not been
// read, as happens on a busy machine. Otherwise the caller's call is lost.
func TestEvictedCallerWithUnreadLineIsAnswered(t *testing.T) {
	var all []net.Conn
	serveAfter(t, 2, 0, func(s *Server) {
		for range 50 {
			c, err := net.Dial("tcp", s.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			c.SetDeadline(time.Now().Add(testTimeout))
			if _, err := io.WriteString(c, "STATS\n"); err != nil {
				t.Fatal(err)
			}
			all = append(all, c)
		}
	})
	for n, c := range all {
		text, err := io.ReadAll(c)
		if string(text) != "x=1\nEND\n" {
			t.Fatalf("caller %d: answer %q, %v", n, text, err)
		}
		c.Close()
	}
}

// Callers that use up all connections and send nothing, or a byte now and then, must not
// keep others from being answered.
func TestSilentCallersAreEvicted(t *testing.T) {
	const maxConns, silent = 4, 12
	s := serveAfter(t, maxConns, time.Second, func(*Server) {})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for n := range silent {
		wg.Go(func() {
			c, err := net.Dial("tcp", s.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			for n%2 == 0 { // sends a byte now and then
				if _, err := io.WriteString(c, "S"); err != nil {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
			<-stop
		})
	}
	for range 10 {
		if got := sendLine(t, s, "STATS\n"); got != "x=1\nEND\n" {
			t.Fatalf("answer %q, want the counters", got)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) > maxConns {
		t.Errorf("%d connections held, at most %d allowed", len(s.conns), maxConns)
	}
}

// A call that arrives in pieces is carried out once; an incomplete one is not.
func TestLineInPieces(t *testing.T) {
	s, b := listen(t, 2)
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	for _, piece := range []string{"DIS", "ABLE s", "-1", "\n"} {
		io.WriteString(c, piece)
		time.Sleep(5 * time.Millisecond)
	}
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "YES\n" || err != nil || b.list() != "out s-1" {
		t.Errorf("answer %q, %v, calls %q", line, err, b.list())
	}
	half, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(half, "DRAIN")
	half.(*net.TCPConn).CloseWrite()
	half.SetDeadline(time.Now().Add(testTimeout))
	if text, _ := io.ReadAll(half); len(text) != 0 || b.list() != "out s-1" {
		t.Errorf("incomplete call: answer %q, calls %q", text, b.list())
	}
	half.Close()
}

func TestAddressInUse(t *testing.T) {
	s, b := listen(t, 2)
	if _, err := Listen(s.Addr().String(), 2, b); err == nil || !strings.Contains(err.Error(), "management") {
		t.Errorf("Listen on an address in use: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, line := range []string{"READY", "DISABLE s-1", "ENABLE \t x ", "STATS\r", "DRAIN x", "\x00", strings.Repeat("x", 600)} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		c, err := Parse(line)
		if err != nil {
			if strings.ContainsAny(err.Error(), "\r\n") {
				t.Errorf("%q: error text of several lines", line)
			}
			return
		}
		if needs := c.Kind == Disable || c.Kind == Enable; needs != (c.ID != "") || strings.ContainsAny(c.ID, " \t\r\n") {
			t.Errorf("%q: %+v", line, c)
		}
		if again, err := Parse(fmt.Sprint(strings.Fields(line)[0], " ", c.ID)); err != nil || again != c {
			t.Errorf("%q: parsed as %+v, then as %+v, %v", line, c, again, err)
		}
	})
}
