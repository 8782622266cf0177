package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// gone is a client that is there when it is asked so many times, and has left then.
type gone struct {
	there atomic.Int32
	asked func() // happens after each question; nil: nothing
}

func (g *gone) Left() bool {
	left := g.there.Add(-1) < 0
	if g.asked != nil {
		g.asked()
	}
	return left
}

// Nothing is written for a client that has left while a connection came up, while the last
// byte was held back, or before a further attempt; nor once the attempt's time is up. What
// was not written never ran, and its server is not blamed.
func TestNothingIsWrittenForNobody(t *testing.T) {
	heard := make(chan string, 10)
	addr, _ := fake(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) == nil {
			heard <- "a request"
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
		heard <- "the end"
	})
	for _, c := range []struct {
		name  string
		ready func(p *Pool, a *Attempt, g *gone)
		want  chalkrack.Outcome
	}{
		{"a client that waits", func(_ *Pool, _ *Attempt, g *gone) { g.there.Store(9) }, chalkrack.OK},
		{"left while it was dialled", func(*Pool, *Attempt, *gone) {}, chalkrack.NotSent},
		{"its time is up", func(_ *Pool, a *Attempt, g *gone) { g.there.Store(9); a.Deadline = time.Now().Add(-time.Millisecond) }, chalkrack.NotSent},
		{"left while the last byte is held", func(p *Pool, a *Attempt, g *gone) {
			a.Once = true
			p.broke(0, 0)
			g.there.Store(1) // as the connection comes up, and not when the last byte is due
		}, chalkrack.NotSent},
	} {
		p := newPool(10)
		p.Serve("s", addr, 0)
		s, g := newSink(), new(gone)
		a := get(s)
		a.Request.Client = g
		c.ready(p, a, g)
		p.Start(a)
		if r := s.wait(t); r.o != c.want {
			t.Errorf("%s: %v", c.name, r.o)
		}
		p.Close()
		for over := false; !over; {
			switch word := <-heard; {
			case word == "the end":
				over = true
			case c.want != chalkrack.OK:
				t.Errorf("%s: the server had %s", c.name, word)
			}
		}
	}
	// On a connection that stands, the first attempt too.
	p := newPool(10)
	p.Serve("s", addr, 0)
	if r := try(t, p); r.o != chalkrack.OK {
		t.Fatal(r.o)
	}
	settle(t, "the connection is idle", func() bool { return p.idle("s") == 1 })
	s, g := newSink(), new(gone)
	a := get(s)
	a.Request = &message.Request{Method: a.Request.Method, Head: a.Request.Head, Client: g}
	p.Start(a)
	if r := s.wait(t); r.o != chalkrack.NotSent {
		t.Errorf("an attempt for nobody: %v", r.o)
	}
	p.Close()
}

// The process is stopped in the instant before a write and goes on after it: the client has left
// meanwhile, the server's grace is over, or the time in which a repeat is dropped. Whatever the
// request's form, the write with which the server would begin is not made.
func TestStopCrossesTheWrite(t *testing.T) {
	whole := make(chan bool, 1)
	addr, _ := fake(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		whole <- err == nil
		c.Close()
	})
	forms := map[string]func(p *Pool, a *Attempt){
		"small": func(*Pool, *Attempt) {},
		"held back": func(p *Pool, a *Attempt) {
			a.Once = true
			p.broke(0, 0)
		},
		"long": func(_ *Pool, a *Attempt) {
			a.Request.Head = []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n")
			a.Request.Body = [][]byte{make([]byte, 9000)}
		},
		"from a source": func(_ *Pool, a *Attempt) {
			a.Request.Head = []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n")
			a.Request.Source = newSource(4, "ab", "cd")
		},
		"from a source, held back": func(p *Pool, a *Attempt) {
			a.Request.Head = []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n")
			a.Request.Source = newSource(4, "ab", "cd")
			a.Once = true
			p.broke(0, 0)
		},
	}
	meanwhile := map[string]struct {
		happens func(p *Pool, a *Attempt)
		want    chalkrack.Outcome
	}{
		"nothing":              {func(*Pool, *Attempt) {}, chalkrack.Reset}, // the server says nothing
		"the client left":      {func(_ *Pool, a *Attempt) { a.Request.Client.(*gone).there.Store(0) }, chalkrack.NotSent},
		"the grace is over":    {func(p *Pool, _ *Attempt) { p.age("s", 2*p.cfg.DrainGrace) }, chalkrack.ConnectFailed},
		"repeats are new ones": {func(_ *Pool, a *Attempt) { a.NotAfter = time.Now().Add(-time.Second) }, chalkrack.ConnectFailed},
	}
	for form, ready := range forms {
		for what, m := range meanwhile {
			t.Run(form+", "+what, func(t *testing.T) {
				p := newPool(10)
				p.Serve("s", addr, 0)
				s := newSink()
				a := get(s)
				g := &gone{}
				g.there.Store(9)
				a.Request.Client = g
				ready(p, a)
				if form == "small" { // stopped before its only write
					m.happens(p, a)
				} else { // stopped after the first piece was allowed, before the last one is
					g.asked = sync.OnceFunc(func() { m.happens(p, a) })
				}
				p.Start(a)
				r := s.wait(t)
				began := <-whole
				if r.o != m.want {
					t.Errorf("ended: %v", r.o)
				}
				if begins := m.want == chalkrack.Reset; began != begins {
					t.Errorf("the server has the whole request: %v", began)
				}
				settle(t, "its place is lost", func() bool { return p.Conns() == 0 })
			})
		}
	}
}

// age has a server have left so long ago.
func (p *Pool) age(server string, ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[server].left = time.Now().Add(-ago)
}

// The process is stopped within the look itself, which is where a signal finds it: in its system
// call. What was seen then is of before, and is looked at again.
func TestStopCrossesTheLook(t *testing.T) {
	addr, heard := hearing(t)
	p := newPool(1)
	p.Serve("s", addr, 0)
	s, g := newSink(), new(gone)
	g.there.Store(1)
	g.asked = sync.OnceFunc(func() {
		for began := time.Now(); time.Since(began) < 2*lookFor; { // it goes on so much later
		}
	})
	a := get(s)
	a.Request.Client = g
	p.Start(a)
	if r := s.wait(t); r.o != chalkrack.NotSent {
		t.Errorf("ended: %v", r.o)
	}
	if line := <-heard; line != "" {
		t.Errorf("the server heard %q", line)
	}
	// Looks that always take so long end: it goes on in the end.
	s, g = newSink(), new(gone)
	g.there.Store(100)
	g.asked = func() {
		for began := time.Now(); time.Since(began) < 2*lookFor; {
		}
	}
	a = get(s)
	a.Request.Client = g
	p.Start(a)
	if line := <-heard; line == "" {
		t.Error("nothing was sent for a client that waits")
	}
	if n := 100 - g.there.Load(); n > lookMost {
		t.Errorf("looked %d times", n)
	}
	a.Abandon()
	a.Close()
	p.Close()
}
