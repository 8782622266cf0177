package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/message"
)

// pieceSource is a request body that a test supplies piece by piece.
type pieceSource struct {
	length int64
	pieces chan string // closed at the end of the body
	err    error       // returned by Open

	mu     sync.Mutex
	opened int
	closed chan struct{}
}

func newPieceSource(length int64, pieces ...string) *pieceSource {
	s := &pieceSource{length: length, pieces: make(chan string, 100), closed: make(chan struct{})}
	for _, p := range pieces {
		s.pieces <- p
	}
	return s
}

func (s *pieceSource) Length() int64 { return s.length }

func (s *pieceSource) Open() (message.BodyReader, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	return &pieceReading{source: s}, s.err
}

type pieceReading struct {
	source *pieceSource
	once   sync.Once
}

func (r *pieceReading) Next() ([]byte, error) {
	select {
	case p, ok := <-r.source.pieces:
		if !ok {
			return nil, io.EOF
		}
		if p == "broken" {
			return nil, errors.New("broken")
		}
		return []byte(p), nil
	case <-r.source.closed:
		return nil, errors.New("closed")
	}
}

func (r *pieceReading) Close() { r.once.Do(func() { close(r.source.closed) }) }

func newPostAttempt(s *pieceSource, sink *sink, chunked bool) *Attempt {
	head := "POST /x HTTP/1.1\r\nHost: h\r\n"
	if !chunked {
		head += "Content-Length: " + string(rune('0'+s.length)) + "\r\n"
	}
	return &Attempt{Request: &message.Request{Method: "POST", Head: []byte(head), Source: s, Chunked: chunked},
		Server: "s", Deadline: time.Now().Add(testTimeout), Sink: sink}
}

// echoBodies answers each request with its body and reports each byte that it reads.
func echoBodies(got chan<- string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			var b strings.Builder
			p := make([]byte, 1)
			for err == nil {
				var n int
				if n, err = r.Body.Read(p); n > 0 {
					b.Write(p[:n])
					got <- string(p[:n])
				}
			}
			if err != io.EOF {
				got <- "cut"
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+string(rune('0'+b.Len()))+"\r\n\r\n"+b.String())
		}
	}
}

// A body of known length or in chunks is sent while it arrives, and the connection is reused.
func TestSourceIsSentAsItArrives(t *testing.T) {
	got := make(chan string, 100)
	addr, conns := startFakeServer(t, echoBodies(got))
	for _, hold := range []bool{false, true} {
		p := newPool(10)
		p.AddServer("s", addr, 0)
		for _, chunked := range []bool{false, true} {
			s, k := newPieceSource(3, "a"), newSink()
			a := newPostAttempt(s, k, chunked)
			a.AtMostOnce = hold
			if hold { // so that the last byte is held back
				p.lastBreakAt = time.Now()
			}
			p.Start(a)
			if first := <-got; first != "a" {
				t.Fatalf("server read %q first, want \"a\"", first)
			}
			if a.mayHaveBegun() {
				t.Fatal("attempt may have begun before its last byte was sent")
			}
			s.pieces <- "bc"
			close(s.pieces)
			if r := k.wait(t); r.outcome != chalkrack.OK || r.body != "abc" {
				t.Errorf("chunked %v, held back %v: %+v", chunked, hold, r)
			}
			<-got
			<-got
			<-s.closed                                               // the reader of the body is closed
			for idle := 0; idle == 0; time.Sleep(time.Millisecond) { // the answer is reported before the connection is idle
				p.mu.Lock()
				idle = len(p.servers["s"].idle) + len(conns) - 1
				p.mu.Unlock()
			}
		}
		if len(conns) != 1 {
			t.Errorf("%d connections for two requests", len(conns))
		}
		<-conns
	}
}

// mayHaveBegun reports whether the server may have begun the attempt. Unlike Abandon, it stops
// nothing.
func (a *Attempt) mayHaveBegun() (began bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.began && (a.Request.Source == nil || a.lastByteSent)
}

// An attempt whose body ends before its last byte never ran, and the server is blamed only if it
// caused the end.
func TestIncompleteSourceNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		server func(net.Conn, *bufio.Reader)
		act    func(p *Pool, a *Attempt, s *pieceSource, got chan string)
		grace  time.Duration
		want   chalkrack.Outcome
	}{
		"its sender breaks off": {nil, func(_ *Pool, _ *Attempt, s *pieceSource, _ chan string) { s.pieces <- "broken" }, time.Minute, chalkrack.NotSent},
		"it ends too early":     {nil, func(_ *Pool, _ *Attempt, s *pieceSource, _ chan string) { close(s.pieces) }, time.Minute, chalkrack.NotSent},
		"it is too long":        {nil, func(_ *Pool, _ *Attempt, s *pieceSource, _ chan string) { s.pieces <- "123456789" }, time.Minute, chalkrack.NotSent},
		"the server's grace ends": {nil, func(p *Pool, _ *Attempt, s *pieceSource, _ chan string) {
			p.RetireServer("s", "", 0, false)
			time.Sleep(20 * time.Millisecond)
			s.pieces <- "bc"
		}, 10 * time.Millisecond, chalkrack.ConnectFailed},
		"the server resets": {func(c net.Conn, br *bufio.Reader) {
			http.ReadRequest(br)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}, func(*Pool, *Attempt, *pieceSource, chan string) {}, time.Minute, chalkrack.ConnectFailed},
		"the server declines early": {func(c net.Conn, br *bufio.Reader) {
			http.ReadRequest(br)
			io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, br)
		}, func(*Pool, *Attempt, *pieceSource, chan string) {}, time.Minute, chalkrack.Full},
		"the server answers early": {func(c net.Conn, br *bufio.Reader) {
			http.ReadRequest(br)
			io.WriteString(c, "HTTP/1.1 413 Too long\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, br)
		}, func(*Pool, *Attempt, *pieceSource, chan string) {}, time.Minute, chalkrack.OK},
		"it can't be read at all": {nil, nil, time.Minute, chalkrack.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan string, 100)
			server := c.server
			if server == nil {
				server = echoBodies(got)
			}
			addr, _ := startFakeServer(t, server)
			p := New(Config{ConnIdleTimeout: time.Minute, DialTimeout: 5 * time.Second, DrainGrace: c.grace, MaxConns: 10})
			p.AddServer("s", addr, 0)
			s, k := newPieceSource(3, "a"), newSink()
			if c.act == nil {
				s.err = errors.New("lost")
			}
			a := newPostAttempt(s, k, false)
			p.Start(a)
			if c.act != nil {
				if c.server == nil {
					<-got // the first byte has arrived
				}
				c.act(p, a, s, got)
			}
			if r := k.wait(t); r.outcome != c.want {
				t.Errorf("outcome %v, want %v", r.outcome, c.want)
			}
			if c.act != nil {
				<-s.closed // the reader no longer waits for the client
			}
			if c.act != nil && c.server == nil {
				if end := <-got; end != "cut" {
					t.Errorf("server read %q, want the request to be cut", end)
				}
			}
			for end := time.Now().Add(testTimeout); p.Conns() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("connection of the failed attempt is kept")
				}
			}
		})
	}
}

// An attempt whose last byte was sent may have run, whatever the server does afterwards; one
// whose last byte was not sent cannot have run.
func TestAbandonReportsLastByteSent(t *testing.T) {
	got := make(chan string, 100)
	addr, _ := startFakeServer(t, func(_ net.Conn, br *bufio.Reader) {
		p := make([]byte, 1)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		for { // reads without answering
			if n, err := r.Body.Read(p); n > 0 {
				got <- string(p)
			} else if err != nil {
				return
			}
		}
	})
	for _, whole := range []bool{false, true} {
		p := newPool(10)
		p.AddServer("s", addr, 0)
		s := newPieceSource(3, "ab")
		a := newPostAttempt(s, newSink(), false)
		p.Start(a)
		<-got
		<-got
		if whole {
			s.pieces <- "c"
			<-got
		}
		if began := a.Abandon(); began != whole {
			t.Errorf("last byte sent %v: may have run %v", whole, began)
		}
		a.Close()
		<-s.closed
	}
}

// A server that accepts no bytes of a long body is given up before the last byte is sent. The
// request did not run, and the client gets a failure.
func TestServerThatReadsNothingTimesOut(t *testing.T) {
	addr, _ := startFakeServer(t, func(c net.Conn, _ *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		time.Sleep(testTimeout)
	})
	p := newPool(9)
	p.sendTimeout = 50 * time.Millisecond
	p.AddServer("s", addr, 0)
	src := newPieceSource(64 << 20)
	go func() {
		part := strings.Repeat("x", 1<<20)
		for range 63 {
			select {
			case src.pieces <- part:
			case <-src.closed:
				return
			}
		}
	}()
	s := newSink()
	p.Start(newPostAttempt(src, s, false))
	if r := s.wait(t); r.outcome != chalkrack.ConnectFailed {
		t.Errorf("outcome %d", r.outcome)
	}
}

// bigSource is a body of zeros of the given length.
type bigSource struct{ length int64 }

func (s bigSource) Length() int64                     { return s.length }
func (s bigSource) Open() (message.BodyReader, error) { return &bigReading{remaining: s.length}, nil }

type bigReading struct{ remaining int64 }

func (r *bigReading) Next() ([]byte, error) {
	piece := make([]byte, min(r.remaining, 32<<10))
	r.remaining -= int64(len(piece))
	if len(piece) == 0 {
		return nil, io.EOF
	}
	return piece, nil
}
func (*bigReading) Close() {}

// Guards against requests that are given up because a write blocks while the server goes on reading.
func TestSlowlyReadBodyIsSent(t *testing.T) {
	const length = 12 << 20
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		request, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		for {
			if _, err := io.CopyN(io.Discard, request.Body, 64<<10); err != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		io.WriteString(c, okResponse)
	})
	for _, chunked := range []bool{false, true} {
		p := newPool(9)
		p.sendTimeout = 80 * time.Millisecond
		p.AddServer("s", addr, 0)
		s := newSink()
		a := newPostAttempt(newPieceSource(0), s, true)
		a.Request.Source, a.Request.Chunked = bigSource{length}, chunked
		if !chunked {
			a.Request.Head = fmt.Appendf(a.Request.Head, "Content-Length: %d\r\n", length)
		}
		p.Start(a)
		if r := s.wait(t); r.outcome != chalkrack.OK {
			t.Errorf("chunked %v: outcome %d, cause %q", chunked, r.outcome, a.Cause())
		}
	}
}

// Guards against requests that reach a server after they were given up, from the system's buffers.
func TestAbandonedRequestIsNotCompleted(t *testing.T) {
	const length = 1 << 20
	for name, setBody := range map[string]func(r *message.Request){
		"stored":   func(r *message.Request) { r.Body = [][]byte{make([]byte, length)} },
		"streamed": func(r *message.Request) { r.Source = bigSource{length} },
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan int64, 1)
			goOn := make(chan struct{})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				c.(*net.TCPConn).SetReadBuffer(16 << 10)
				<-goOn
				n, _ := io.Copy(io.Discard, c)
				received <- n
			}()
			written := make(chan struct{}, 1)
			p := New(Config{ConnIdleTimeout: time.Minute, DialTimeout: 5 * time.Second, DrainGrace: time.Minute, MaxConns: 9, OnRequestWritten: func() { written <- struct{}{} }})
			p.AddServer("s", listener.Addr().String(), 0)
			a := newPostAttempt(newPieceSource(0), newSink(), true)
			a.Request.Source, a.Request.Chunked = nil, false
			a.Request.Head = fmt.Appendf(a.Request.Head, "Content-Length: %d\r\n", length)
			setBody(a.Request)
			p.Start(a)
			<-written
			a.Abandon()
			a.Close()
			close(goOn)
			if n := <-received; n >= length {
				t.Errorf("the server received %d bytes of a request that was given up", n)
			}
		})
	}
}
