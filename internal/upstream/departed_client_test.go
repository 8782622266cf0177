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

// leaver is a client that counts as present for a number of calls of HasLeft and has left after
// them.
type leaver struct {
	polls   atomic.Int32 // further calls of HasLeft that report the client as present
	onCheck func()       // called after each call of HasLeft; may be nil
}

func (g *leaver) HasLeft() bool {
	left := g.polls.Add(-1) < 0
	if g.onCheck != nil {
		g.onCheck()
	}
	return left
}

// Nothing is written for a client that has left while the connection was dialled, while the last
// byte was held back or before a further attempt, nor after the attempt's deadline. A request
// that was not written never ran, and its server is not blamed.
func TestNothingIsSentForDepartedClient(t *testing.T) {
	received := make(chan string, 10)
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for readRequest(br) == nil {
			received <- "a request"
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
		received <- "the end"
	})
	for _, c := range []struct {
		name  string
		ready func(p *Pool, a *Attempt, g *leaver)
		want  chalkrack.Outcome
	}{
		{"a client that waits", func(_ *Pool, _ *Attempt, g *leaver) { g.polls.Store(9) }, chalkrack.OK},
		{"left while it was dialled", func(*Pool, *Attempt, *leaver) {}, chalkrack.NotSent},
		{"its time is up", func(_ *Pool, a *Attempt, g *leaver) { g.polls.Store(9); a.Deadline = time.Now().Add(-time.Millisecond) }, chalkrack.NotSent},
		{"left while the last byte is held", func(p *Pool, a *Attempt, g *leaver) {
			a.AtMostOnce = true
			p.recordEarlyBreak(0, 0)
			g.polls.Store(1) // present when the connection is established, gone when the last byte is due
		}, chalkrack.NotSent},
	} {
		p := newPool(10)
		p.AddServer("s", addr, 0)
		s, g := newSink(), new(leaver)
		a := newGetAttempt(s)
		a.Request.Client = g
		c.ready(p, a, g)
		p.Start(a)
		if r := s.wait(t); r.outcome != c.want {
			t.Errorf("%s: outcome %v", c.name, r.outcome)
		}
		p.Close()
		for over := false; !over; {
			switch word := <-received; {
			case word == "the end":
				over = true
			case c.want != chalkrack.OK:
				t.Errorf("%s: server received %s", c.name, word)
			}
		}
	}
	// The same holds for a first attempt on an existing connection.
	p := newPool(10)
	p.AddServer("s", addr, 0)
	if r := runAttempt(t, p); r.outcome != chalkrack.OK {
		t.Fatal(r.outcome)
	}
	waitUntil(t, "connection is not idle", func() bool { return p.idleCount("s") == 1 })
	s, g := newSink(), new(leaver)
	a := newGetAttempt(s)
	a.Request = &message.Request{Method: a.Request.Method, Head: a.Request.Head, Client: g}
	p.Start(a)
	if r := s.wait(t); r.outcome != chalkrack.NotSent {
		t.Errorf("attempt for a client that has left: outcome %v", r.outcome)
	}
	p.Close()
}

// The process is suspended just before a write and resumes later. Meanwhile the client has left,
// the server's drain grace has ended, or the time for which servers drop repeats has passed. For
// every form of request, the write with which the server would begin is not made.
func TestSuspensionBeforeWritePreventsSend(t *testing.T) {
	whole := make(chan bool, 1)
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
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
			a.AtMostOnce = true
			p.recordEarlyBreak(0, 0)
		},
		"long": func(_ *Pool, a *Attempt) {
			a.Request.Head = []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n")
			a.Request.Body = [][]byte{make([]byte, 9000)}
		},
		"from a source": func(_ *Pool, a *Attempt) {
			a.Request.Head = []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n")
			a.Request.Source = newPieceSource(4, "ab", "cd")
		},
		"from a source, held back": func(p *Pool, a *Attempt) {
			a.Request.Head = []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n")
			a.Request.Source = newPieceSource(4, "ab", "cd")
			a.AtMostOnce = true
			p.recordEarlyBreak(0, 0)
		},
	}
	meanwhile := map[string]struct {
		happens func(p *Pool, a *Attempt)
		want    chalkrack.Outcome
	}{
		"nothing":              {func(*Pool, *Attempt) {}, chalkrack.Reset}, // the server closes without an answer
		"the client left":      {func(_ *Pool, a *Attempt) { a.Request.Client.(*leaver).polls.Store(0) }, chalkrack.NotSent},
		"the grace is over":    {func(p *Pool, _ *Attempt) { p.setLeftAgo("s", 2*p.cfg.DrainGrace) }, chalkrack.ConnectFailed},
		"repeats are new ones": {func(_ *Pool, a *Attempt) { a.NotAfter = time.Now().Add(-time.Second) }, chalkrack.ConnectFailed},
	}
	for form, ready := range forms {
		for what, m := range meanwhile {
			t.Run(form+", "+what, func(t *testing.T) {
				p := newPool(10)
				p.AddServer("s", addr, 0)
				s := newSink()
				a := newGetAttempt(s)
				g := &leaver{}
				g.polls.Store(9)
				a.Request.Client = g
				ready(p, a)
				if form == "small" { // suspended before its only write
					m.happens(p, a)
				} else { // suspended between the check of the first piece and that of the last
					g.onCheck = sync.OnceFunc(func() { m.happens(p, a) })
				}
				p.Start(a)
				r := s.wait(t)
				began := <-whole
				if r.outcome != m.want {
					t.Errorf("outcome %v", r.outcome)
				}
				if begins := m.want == chalkrack.Reset; began != begins {
					t.Errorf("server received the whole request: %v", began)
				}
				waitUntil(t, "connection is still counted after the attempt", func() bool { return p.Conns() == 0 })
			})
		}
	}
}

// setLeftAgo sets the time at which a server left to the given duration ago.
func (p *Pool) setLeftAgo(server string, ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[server].leftAt = time.Now().Add(-ago)
}

// The process is suspended during the check itself, in its system call, where a signal stops it.
// The result of that check is out of date, and the check is repeated.
func TestSuspensionDuringSendCheckRepeatsCheck(t *testing.T) {
	addr, received := startRecordingServer(t)
	p := newPool(1)
	p.AddServer("s", addr, 0)
	s, g := newSink(), new(leaver)
	g.polls.Store(1)
	g.onCheck = sync.OnceFunc(func() {
		for began := time.Now(); time.Since(began) < 2*maxCheckDuration; { // simulates the suspension
		}
	})
	a := newGetAttempt(s)
	a.Request.Client = g
	p.Start(a)
	if r := s.wait(t); r.outcome != chalkrack.NotSent {
		t.Errorf("outcome %v", r.outcome)
	}
	if line := <-received; line != "" {
		t.Errorf("server received %q, want nothing", line)
	}
	// When every check takes this long, checking ends after maxChecks and the request is sent.
	s, g = newSink(), new(leaver)
	g.polls.Store(100)
	g.onCheck = func() {
		for began := time.Now(); time.Since(began) < 2*maxCheckDuration; {
		}
	}
	a = newGetAttempt(s)
	a.Request.Client = g
	p.Start(a)
	if line := <-received; line == "" {
		t.Error("nothing was sent for a client that still waits")
	}
	if n := 100 - g.polls.Load(); n > maxChecks {
		t.Errorf("checked %d times, want at most maxChecks", n)
	}
	a.Abandon()
	a.Close()
	p.Close()
}
