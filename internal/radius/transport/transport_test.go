package transport

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
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
	buf := make([]byte, radius.MaxPacketBytes)
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
	if n, _, err := p.conn.ReadFromUDP(make([]byte, radius.MaxPacketBytes)); err == nil {
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

func (*sink) Stream(any, chalkrack.LoadReport) io.Writer { return nil }
func (s *sink) Done(o chalkrack.Outcome, answer any, _ chalkrack.LoadReport) {
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
	a := tr.NewAttempt(core.Order{Payload: r, Server: "r1", Sink: s})
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
	tr.AddServer("r1", p.addr(), 0)
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
		tr.AddServer("r1", p.addr(), 0)
		r := event()
		a, s := begin(tr, r)
		wire := p.get()
		s.want(t, "nothing came", chalkrack.TimedOut)
		a.Close()
		if moved {
			tr.AddServer("r1", other.addr(), 0)
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
	tr.AddServer("r1", p.addr(), 0)
	r := event()
	a, s := begin(tr, r)
	p.get()
	s.want(t, "nothing came", chalkrack.TimedOut)
	a.Close()
	tr.AddServer("r1", other.addr(), 0)
	_, s = begin(tr, r)
	s.want(t, "moved", chalkrack.NotSent)
	other.nothing(20 * time.Millisecond)
	if r.SentTo() != "r1" {
		t.Errorf("%q may have run it", r.SentTo())
	}
}

// line is a Conn in virtual time, whose far end its test plays.
type line struct {
	sent    [][]byte // guarded by mu, as refused
	refused [][]byte
	owed    int // writes that tell an earlier packet's error in place of sending
	mu      sync.Mutex
	in      chan []byte // nil: a refusal
	closed  chan struct{}
}

func newLine() *line { return &line{in: make(chan []byte, 10), closed: make(chan struct{})} }

func (l *line) Read(b []byte) (int, error) {
	select {
	case p := <-l.in:
		if p == nil {
			return 0, syscall.ECONNREFUSED
		}
		return copy(b, p), nil
	case <-l.closed:
		return 0, net.ErrClosed
	}
}

func (l *line) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owed > 0 {
		l.owed--
		return 0, syscall.ECONNREFUSED
	}
	l.sent = append(l.sent, bytes.Clone(b))
	return len(b), nil
}

func (l *line) Close() error {
	close(l.closed)
	return nil
}

func (l *line) Refused(tell func([]byte)) {
	l.mu.Lock()
	all := l.refused
	l.refused = nil
	l.mu.Unlock()
	for _, b := range all {
		tell(b)
	}
}

// packets is what has been sent so far.
func (l *line) packets() [][]byte {
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sent)
}

// refuse is the news that a packet's port was refused.
func (l *line) refuse(packet []byte) {
	l.mu.Lock()
	l.refused = append(l.refused, packet)
	l.mu.Unlock()
	l.in <- nil
	synctest.Wait()
}

// A server that read a packet and then refuses the next may have died after it counted:
// nothing more is sent, also when it is back, and the call can't go on.
func TestRefusedAfterRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine()
		tr := newTransport(t, func(c *Config) {
			c.Patience, c.Resend, c.Resends = time.Second, 100*time.Millisecond, 10
			c.Dial = func(netip.AddrPort) (Conn, error) { return l, nil }
		})
		tr.AddServer("r1", "127.0.0.2:1", 0)
		r := event()
		a, s := begin(tr, r)
		time.Sleep(101 * time.Millisecond)
		sent := l.packets()
		if len(sent) != 2 || !bytes.Equal(sent[0], sent[1]) {
			t.Fatalf("%x", sent)
		}
		l.refuse(sent[1])
		s.want(t, "refused after it was read", chalkrack.TimedOut)
		if n := len(l.packets()); n != 2 {
			t.Errorf("%d packets", n)
		}
		a.Close()
		if !r.IsLost() || r.SentTo() != "r1" {
			t.Errorf("lost %v, sent to %q", r.IsLost(), r.SentTo())
		}
	})
}

// A write that tells of an earlier packet's refusal has sent nothing: it is made again.
func TestWriteAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine()
		l.owed = 2
		tr := newTransport(t, func(c *Config) { c.Dial = func(netip.AddrPort) (Conn, error) { return l, nil } })
		tr.AddServer("r1", "127.0.0.2:1", 0)
		begin(tr, event())
		if n := len(l.packets()); n != 1 {
			t.Errorf("%d packets", n)
		}
	})
}

// Nothing is sent to a server without a secret, and nothing said of an attempt that the
// core has left, though its answer comes.
func TestNotSentNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine()
		secret := far
		tr := newTransport(t, func(c *Config) {
			c.Dial = func(netip.AddrPort) (Conn, error) { return l, nil }
			c.Secret = func(string) []byte { return secret }
		})
		tr.AddServer("r1", "127.0.0.2:1", 0)
		a, s := begin(tr, event())
		if !a.Abandon() {
			t.Error("it had begun")
		}
		request, err := radius.Parse(l.packets()[0])
		if err != nil {
			t.Fatal(err)
		}
		answer := radius.Answer(request, radius.AccountingResponse)
		answer.SignAnswer(far, request.Authenticator)
		l.in <- answer.Marshal()
		synctest.Wait()
		if c := tr.Counts(); c.Answers != 1 || len(s.done) != 0 {
			t.Errorf("%+v, %d outcomes", c, len(s.done))
		}
		a.Close()
		secret = nil
		_, s = begin(tr, event())
		s.want(t, "without a secret", chalkrack.ConnectFailed)
		if n := len(l.packets()); n != 1 {
			t.Errorf("%d packets", n)
		}
	})
}

// Resends come after Resend, doubled three times at most, and as often as they may.
func TestResends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine()
		tr := newTransport(t, func(c *Config) {
			c.Patience, c.Resend, c.Resends = 5*time.Second, 100*time.Millisecond, 5
			c.Dial = func(netip.AddrPort) (Conn, error) { return l, nil }
		})
		tr.AddServer("r1", "127.0.0.2:1", 0)
		began := time.Now()
		a, s := begin(tr, event())
		at := time.Duration(0)
		for n, wait := range []time.Duration{0, 100, 200, 400, 800, 800} { // ms
			at += wait * time.Millisecond
			time.Sleep(time.Until(began.Add(at - time.Millisecond)))
			if got := len(l.packets()); wait > 0 && got != n {
				t.Errorf("%d packets just before %v", got, at)
			}
			time.Sleep(2 * time.Millisecond)
			if got := len(l.packets()); got != n+1 {
				t.Errorf("%d packets just after %v", got, at)
			}
		}
		s.want(t, "nothing came", chalkrack.TimedOut)
		if n := len(l.packets()); n != 6 || time.Since(began) != 5*time.Second {
			t.Errorf("%d packets, ended after %v", n, time.Since(began))
		}
		a.Close()
	})
}

// An attempt that is taken up again ends at its call's deadline, as the first did.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine()
		tr := newTransport(t, func(c *Config) {
			c.Patience = time.Minute
			c.Dial = func(netip.AddrPort) (Conn, error) { return l, nil }
		})
		tr.AddServer("r1", "127.0.0.2:1", 0)
		r := event()
		for range 2 {
			began := time.Now()
			s := &sink{done: make(chan chalkrack.Outcome, 2)}
			a := tr.NewAttempt(core.Order{Payload: r, Server: "r1", Sink: s, Deadline: began.Add(2 * time.Second)})
			a.Start()
			s.want(t, "nothing came", chalkrack.TimedOut)
			if took := time.Since(began); took != 2*time.Second {
				t.Errorf("ended after %v", took)
			}
			a.Close()
		}
		if n := len(l.packets()); n != 2 {
			t.Errorf("%d packets", n)
		}
		late := tr.NewAttempt(core.Order{Payload: event(), Server: "r1", Sink: &sink{done: make(chan chalkrack.Outcome, 2)}, NotAfter: time.Now().Add(-1)})
		late.Start()
		if n := len(l.packets()); n != 2 || late.Phase() != "not sent" {
			t.Errorf("too late to begin, and sent: %d packets", n)
		}
	})
}

// A port that refuses every packet has run none.
func TestRefused(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, nil)
	tr.AddServer("r1", p.addr(), 0)
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
	tr.AddServer("r1", p.addr(), 0)
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
	tr.AddServer("r1", p.addr(), 0)
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
	synctest.Test(t, func(t *testing.T) {
		l := newLine()
		tr := newTransport(t, func(c *Config) {
			c.Grace, c.Resend, c.Resends, c.Patience = 250*time.Millisecond, 100*time.Millisecond, 10, 5*time.Second
			c.Dial = func(netip.AddrPort) (Conn, error) { return l, nil }
		})
		tr.AddServer("r1", "127.0.0.2:1", 0)
		_, s := begin(tr, event())
		tr.RetireServer("r1", false)
		time.Sleep(200 * time.Millisecond)
		begin(tr, event()) // within the grace
		if n := len(l.packets()); n != 3 {
			t.Errorf("%d packets within the grace", n)
		}
		time.Sleep(51 * time.Millisecond)
		before := len(l.packets())
		s.want(t, "nothing came", chalkrack.TimedOut)
		_, s = begin(tr, event())
		s.want(t, "after the grace", chalkrack.ConnectFailed)
		if n := len(l.packets()); n != before {
			t.Errorf("%d packets after the grace", n-before)
		}
		tr.AddServer("r1", "127.0.0.2:1", 0)
		begin(tr, event()) // it is back
		if n := len(l.packets()); n != before+1 {
			t.Errorf("%d packets, and it is back", n-before)
		}
	})
}

// An identifier is not used again while a late answer may come: with one socket the
// 257th attempt is not sent, though those before have ended.
func TestIdentifiersRest(t *testing.T) {
	p := newPeer(t, "127.0.0.2:0")
	tr := newTransport(t, func(c *Config) { c.Patience = 50 * time.Millisecond })
	tr.AddServer("r1", p.addr(), 0)
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
	tr.AddServer("r1", p.addr(), 0)
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
