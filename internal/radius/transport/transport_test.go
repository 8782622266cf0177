package transport

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/radius"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

var (
	near = radius.Hop{Secret: []byte("of the terminals"), Authenticator: radius.Authenticator{1}}
	far  = []byte("of the server")
)

const patience = 20 * time.Second

// peer is a server that does what its test says.
type peer struct {
	t    *testing.T
	conn *net.UDPConn
	from *net.UDPAddr // of the last packet
}

func newPeer(t *testing.T, addr string) *peer {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &peer{t: t, conn: conn}
}

func (p *peer) addr() string { return p.conn.LocalAddr().String() }

// get is the next packet.
func (p *peer) get() []byte {
	p.t.Helper()
	buf := make([]byte, radius.MaxSize)
	p.conn.SetReadDeadline(time.Now().Add(patience))
	n, from, err := p.conn.ReadFromUDP(buf)
	if err != nil {
		p.t.Fatal(err)
	}
	p.from = from
	return buf[:n]
}

// nothing says that no packet is there, and none comes within so long.
func (p *peer) nothing(within time.Duration) {
	p.t.Helper()
	p.conn.SetReadDeadline(time.Now().Add(within))
	if n, _, err := p.conn.ReadFromUDP(make([]byte, radius.MaxSize)); err == nil {
		p.t.Errorf("a packet of %d bytes came", n)
	}
}

// answer answers a packet. keep says whether its Proxy-States are given back.
func (p *peer) answer(wire []byte, code radius.Code, keep bool) {
	p.t.Helper()
	request, err := radius.Parse(wire)
	if err != nil {
		p.t.Fatal(err)
	}
	a := &radius.Packet{Code: code, ID: request.ID}
	if code != radius.AccountingResponse {
		a.Add(radius.MessageAuthenticator, make([]byte, 16))
	}
	for t, v := range request.All {
		if t == radius.ProxyState && keep {
			a.Add(t, v)
		}
	}
	a.SignAnswer(far, request.Authenticator)
	p.conn.WriteToUDP(a.Marshal(), p.from)
}

func newTransport(t *testing.T, change func(*Config)) *Transport {
	cfg := Config{Secret: func(string) []byte { return far }, Sockets: 1, Rest: time.Minute, Patience: patience, Resend: patience, Grace: time.Minute}
	if change != nil {
		change(&cfg)
	}
	tr := New(cfg)
	t.Cleanup(tr.Close)
	return tr
}

// sink keeps the outcomes of an attempt.
type sink struct {
	done chan chalkrack.Outcome
	got  any
}

func (*sink) Stream(any, chalkrack.Report) io.Writer { return nil }
func (s *sink) Done(o chalkrack.Outcome, answer any, _ chalkrack.Report) {
	s.got = answer
	s.done <- o
}

func event() *Request {
	p := &radius.Packet{Code: radius.AccountingRequest, ID: 7}
	p.Add(radius.AcctSessionID, []byte("s1"))
	p.SignRequest(near.Secret)
	return &Request{Packet: p, From: radius.Hop{Secret: near.Secret, Authenticator: p.Authenticator}, Resumes: true}
}

func begin(tr *Transport, r *Request) (core.Attempt, *sink) {
	s := &sink{done: make(chan chalkrack.Outcome, 2)}
	a := tr.Attempt(core.Order{Payload: r, Server: "r1", Sink: s})
	a.Start()
	return a, s
}

func (s *sink) want(t *testing.T, what string, want chalkrack.Outcome) {
	t.Helper()
	select {
	case got := <-s.done:
		if got != want {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	case <-time.After(patience):
		t.Errorf("%s: no outcome", what)
	}
}

// What was given up goes on with the very packet, from the very socket.
func TestResume(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, func(c *Config) { c.Patience = 50 * time.Millisecond })
	tr.Serve("r1", p.addr(), 0)
	r := event()
	a, s := begin(tr, r)
	first := p.get()
	from := p.from.String()
	s.want(t, "nothing came", chalkrack.TimedOut)
	a.Close()
	if r.IsLost() || r.SentTo() != "r1" {
		t.Errorf("lost %v, sent to %q", r.IsLost(), r.SentTo())
	}
	tr.cfg.Patience = patience
	again, s := begin(tr, r)
	if second := p.get(); !bytes.Equal(first, second) || p.from.String() != from {
		t.Errorf("%x from %s, then %x from %v", first, from, second, p.from)
	}
	p.answer(first, radius.AccountingResponse, true)
	s.want(t, "answered", chalkrack.OK)
	again.Close()
	if tr.parked != 0 {
		t.Errorf("%d are kept", tr.parked)
	}
}

// An answer that comes after its call was given up is kept for the next, which sends
// nothing; also when the server has moved meanwhile.
func TestLateAnswer(t *testing.T) {
	for _, moved := range []bool{false, true} {
		p, other := newPeer(t, "127.0.0.2:0"), newPeer(t, "127.0.0.2:0")
		tr := newTransport(t, func(c *Config) { c.Patience = 50 * time.Millisecond })
		tr.Serve("r1", p.addr(), 0)
		r := event()
		a, s := begin(tr, r)
		wire := p.get()
		s.want(t, "nothing came", chalkrack.TimedOut)
		a.Close()
		if moved {
			tr.Serve("r1", other.addr(), 0)
		}
		p.answer(wire, radius.AccountingResponse, true)
		for end := time.Now().Add(patience); tr.Counts().Answers == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		_, s = begin(tr, r)
		s.want(t, "the late answer", chalkrack.OK)
		if s.got == nil {
			t.Error("no answer with it")
		}
		p.nothing(20 * time.Millisecond)
		other.nothing(time.Millisecond)
	}
}

// At another address nobody knows the packet: nothing is sent there.
func TestMoved(t *testing.T) {
	p, other := newPeer(t, "127.0.0.2:0"), newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, func(c *Config) { c.Patience = 50 * time.Millisecond })
	tr.Serve("r1", p.addr(), 0)
	r := event()
	a, s := begin(tr, r)
	p.get()
	s.want(t, "nothing came", chalkrack.TimedOut)
	a.Close()
	tr.Serve("r1", other.addr(), 0)
	_, s = begin(tr, r)
	s.want(t, "moved", chalkrack.NotSent)
	other.nothing(20 * time.Millisecond)
	if r.SentTo() != "r1" {
		t.Errorf("%q may have run it", r.SentTo())
	}
}

// A server that read a packet and then refuses the next may have died after it counted:
// nothing more is sent, also when it is back, and the call can't go on.
func TestRefusedAfterRead(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, func(c *Config) {
		c.Patience, c.Resend, c.Resends = 1500*time.Millisecond, 100*time.Millisecond, 10
	})
	tr.Serve("r1", p.addr(), 0)
	r := event()
	a, s := begin(tr, r)
	p.get()
	addr := p.addr()
	p.conn.Close()
	for end := time.Now().Add(patience); tr.Counts().Refusals == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no refusal")
		}
	}
	back := newPeer(t, addr)
	back.nothing(900 * time.Millisecond) // resends were due
	s.want(t, "refused after it was read", chalkrack.TimedOut)
	a.Close()
	if !r.IsLost() || r.SentTo() != "r1" {
		t.Errorf("lost %v, sent to %q", r.IsLost(), r.SentTo())
	}
}

// A port that refuses every packet has run none.
func TestRefused(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, nil)
	tr.Serve("r1", p.addr(), 0)
	p.conn.Close()
	r := event()
	a, s := begin(tr, r)
	s.want(t, "refused", chalkrack.ConnectFailed)
	a.Close()
	if r.IsLost() || r.SentTo() != "" || tr.parked != 0 {
		t.Errorf("lost %v, sent to %q, %d kept", r.IsLost(), r.SentTo(), tr.parked)
	}
}

// A refusal of another packet under the identifier says nothing of this one.
func TestRefusalOfAnother(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, nil)
	tr.Serve("r1", p.addr(), 0)
	_, s := begin(tr, event())
	wire := p.get()
	tr.mu.Lock()
	k := tr.servers["r1"].sockets[0]
	tr.mu.Unlock()
	addr := p.addr()
	p.conn.Close()
	old := bytes.Clone(wire)
	old[10]++ // that of an attempt before
	k.write(old)
	for end := time.Now().Add(patience); tr.Counts().Refusals == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no refusal")
		}
	}
	back := newPeer(t, addr)
	back.from = k.conn.(*udp).LocalAddr().(*net.UDPAddr)
	back.answer(wire, radius.AccountingResponse, true)
	s.want(t, "answered", chalkrack.OK)
}

// What does not answer the request, or does not give our state back, is no answer to
// hand on; the latter has run.
func TestAnswers(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, nil)
	tr.Serve("r1", p.addr(), 0)
	r := event()
	_, s := begin(tr, r)
	wire := p.get()
	p.answer(wire, radius.AccessAccept, true) // well signed, and for another kind
	p.answer(wire, radius.AccountingResponse, false)
	s.want(t, "without our state", chalkrack.Reset)
	if c := tr.Counts(); c.Unasked != 1 || c.Malformed != 1 || !r.IsLost() {
		t.Errorf("%+v, lost %v", c, r.IsLost())
	}
}

// After the grace nothing new goes to a server that has left, and nothing again.
func TestLeft(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, func(c *Config) {
		c.Grace, c.Resend, c.Resends, c.Patience = time.Hour, 100*time.Millisecond, 10, 700*time.Millisecond
	})
	tr.Serve("r1", p.addr(), 0)
	_, s := begin(tr, event())
	p.get()
	p.get() // within the grace
	tr.mu.Lock()
	tr.cfg.Grace = 0
	tr.mu.Unlock()
	tr.Leave("r1", false)
	p.nothing(400 * time.Millisecond)
	s.want(t, "nothing came", chalkrack.TimedOut)
	_, s = begin(tr, event())
	s.want(t, "after the grace", chalkrack.ConnectFailed)
	p.nothing(20 * time.Millisecond)
	tr.Serve("r1", p.addr(), 0)
	_, _ = begin(tr, event())
	p.get() // it is back
}

// An identifier is not used again while a late answer may come: with one socket the
// 257th attempt is not sent, though those before have ended.
func TestIdentifiersRest(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, func(c *Config) { c.Patience = 50 * time.Millisecond })
	tr.Serve("r1", p.addr(), 0)
	for n := range 256 {
		r := event()
		r.Resumes = false
		a, s := begin(tr, r)
		s.want(t, "nothing came", chalkrack.TimedOut)
		a.Close()
		if n == 0 {
			tr.cfg.Patience = time.Microsecond
		}
	}
	_, s := begin(tr, event())
	s.want(t, "no identifier", chalkrack.NotSent)
	if c := tr.Counts(); c.NoIdentifier != 1 || c.Sent != 256 {
		t.Errorf("%+v", c)
	}
}

// What is kept for calls that may come again is bounded; past that they are lost, and
// Forget gives the room back.
func TestParkedMost(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, func(c *Config) { c.Patience, c.Sockets = time.Microsecond, 4 })
	tr.Serve("r1", p.addr(), 0)
	var all []*Request
	for range parkedMost + 1 {
		r := event()
		a, s := begin(tr, r)
		s.want(t, "nothing came", chalkrack.TimedOut)
		a.Close()
		all = append(all, r)
	}
	for n, r := range all {
		if r.IsLost() != (n == parkedMost) {
			t.Errorf("%d: lost %v", n, r.IsLost())
		}
	}
	all[0].Forget()
	all[0].Forget() // once is enough
	if tr.parked != parkedMost-1 {
		t.Errorf("%d are kept", tr.parked)
	}
	r := event()
	a, s := begin(tr, r)
	s.want(t, "nothing came", chalkrack.TimedOut)
	a.Close()
	if r.IsLost() {
		t.Error("lost, and there is room")
	}
	tr.Close()
	if tr.parked != 0 {
		t.Errorf("%d are kept after the end", tr.parked)
	}
}
