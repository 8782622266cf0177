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
	clientHop    = radius.Hop{Secret: []byte("of the terminals"), Authenticator: radius.Authenticator{1}}
	serverSecret = []byte("of the server")
)

const testTimeout = 20 * time.Second

// testServer is a UDP server that a test receives packets from and answers by hand.
type testServer struct {
	t    *testing.T
	conn *net.UDPConn
	from *net.UDPAddr // sender of the last packet
}

func newTestServer(t *testing.T, addr string) *testServer {
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
	return &testServer{t: t, conn: conn}
}

func (s *testServer) addr() string { return s.conn.LocalAddr().String() }

// receive waits for the next packet and returns it.
func (s *testServer) receive() []byte {
	s.t.Helper()
	buf := make([]byte, radius.MaxPacketBytes)
	s.conn.SetReadDeadline(time.Now().Add(testTimeout))
	n, from, err := s.conn.ReadFromUDP(buf)
	if err != nil {
		s.t.Fatal(err)
	}
	s.from = from
	return buf[:n]
}

// expectNoPacket fails the test if a packet is there or comes within the given time.
func (s *testServer) expectNoPacket(within time.Duration) {
	s.t.Helper()
	s.conn.SetReadDeadline(time.Now().Add(within))
	if n, _, err := s.conn.ReadFromUDP(make([]byte, radius.MaxPacketBytes)); err == nil {
		s.t.Errorf("an unexpected packet of %d bytes came", n)
	}
}

// answer sends a signed answer to a request. withProxyStates says whether it contains the request's
// Proxy-States, as it must.
func (s *testServer) answer(wire []byte, code radius.Code, withProxyStates bool) {
	s.t.Helper()
	request, err := radius.Parse(wire)
	if err != nil {
		s.t.Fatal(err)
	}
	answer := &radius.Packet{Code: code, ID: request.ID}
	if code != radius.AccountingResponse {
		answer.Add(radius.MessageAuthenticator, make([]byte, 16))
	}
	for t, v := range request.All {
		if t == radius.ProxyState && withProxyStates {
			answer.Add(t, v)
		}
	}
	answer.SignAnswer(serverSecret, request.Authenticator)
	s.conn.WriteToUDP(answer.Marshal(), s.from)
}

func newTransport(t *testing.T, change func(*Config)) *Transport {
	cfg := Config{Secret: func(string) []byte { return serverSecret }, MaxSocketsPerServer: 1, LateAnswerTTL: time.Minute, AttemptTimeout: testTimeout, ResendDelay: testTimeout, Grace: time.Minute}
	if change != nil {
		change(&cfg)
	}
	transport := New(cfg)
	t.Cleanup(transport.Close)
	return transport
}

// sink implements core.Sink. It records the outcomes of an attempt and its answer.
type sink struct {
	done chan chalkrack.Outcome
	got  any
}

func (*sink) Stream(any, chalkrack.LoadReport) io.Writer { return nil }
func (s *sink) Done(o chalkrack.Outcome, answer any, _ chalkrack.LoadReport) {
	s.got = answer
	s.done <- o
}

// accountingRequest returns a Request that may be resumed after its call is given up.
func accountingRequest() *Request {
	p := &radius.Packet{Code: radius.AccountingRequest, ID: 7}
	p.Add(radius.AcctSessionID, []byte("s1"))
	p.SignRequest(clientHop.Secret)
	return &Request{Packet: p, ClientHop: radius.Hop{Secret: clientHop.Secret, Authenticator: p.Authenticator}, Resumable: true}
}

// startAttempt starts an attempt for the request at the server r1.
func startAttempt(transport *Transport, request *Request) (core.Attempt, *sink) {
	outcomes := &sink{done: make(chan chalkrack.Outcome, 2)}
	attempt := transport.NewAttempt(core.Order{Payload: request, Server: "r1", Sink: outcomes})
	attempt.Start()
	return attempt, outcomes
}

// expectOutcome waits for the attempt's outcome and compares it.
func (s *sink) expectOutcome(t *testing.T, step string, want chalkrack.Outcome) {
	t.Helper()
	select {
	case got := <-s.done:
		if got != want {
			t.Errorf("%s: outcome %v, want %v", step, got, want)
		}
	case <-time.After(testTimeout):
		t.Errorf("%s: no outcome", step)
	}
}

// A retry of a call that was given up must send the identical packet from the same socket.
// Otherwise the server would take it for another event and count it twice.
func TestRetrySendsTheSamePacket(t *testing.T) {
	server := newTestServer(t, "127.0.0.2:0")
	transport := newTransport(t, func(c *Config) { c.AttemptTimeout = 50 * time.Millisecond })
	transport.AddServer("r1", server.addr(), 0)
	request := accountingRequest()
	attempt, outcomes := startAttempt(transport, request)
	first := server.receive()
	from := server.from.String()
	outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
	attempt.Close()
	if request.IsLost() || request.SentTo() != "r1" {
		t.Errorf("lost: %v, sent to %q, want false and r1", request.IsLost(), request.SentTo())
	}
	transport.cfg.AttemptTimeout = testTimeout
	again, outcomes := startAttempt(transport, request)
	if second := server.receive(); !bytes.Equal(first, second) || server.from.String() != from {
		t.Errorf("first packet %x from %s, then %x from %v: want the same", first, from, second, server.from)
	}
	server.answer(first, radius.AccountingResponse, true)
	outcomes.expectOutcome(t, "answered", chalkrack.OK)
	again.Close()
	if transport.parkedCount != 0 {
		t.Errorf("%d attempts are still parked", transport.parkedCount)
	}
}

// An answer that comes after its call was given up must be kept for the retry, which then sends
// nothing, even if the server has another address by then.
func TestLateAnswerIsKeptForRetry(t *testing.T) {
	for _, moved := range []bool{false, true} {
		server, other := newTestServer(t, "127.0.0.2:0"), newTestServer(t, "127.0.0.2:0")
		transport := newTransport(t, func(c *Config) { c.AttemptTimeout = 50 * time.Millisecond })
		transport.AddServer("r1", server.addr(), 0)
		request := accountingRequest()
		attempt, outcomes := startAttempt(transport, request)
		wire := server.receive()
		outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
		attempt.Close()
		if moved {
			transport.AddServer("r1", other.addr(), 0)
		}
		server.answer(wire, radius.AccountingResponse, true)
		for end := time.Now().Add(testTimeout); transport.Counts().Answers == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		_, outcomes = startAttempt(transport, request)
		outcomes.expectOutcome(t, "the late answer", chalkrack.OK)
		if outcomes.got == nil {
			t.Error("the outcome came without the answer")
		}
		server.expectNoPacket(20 * time.Millisecond)
		other.expectNoPacket(time.Millisecond)
	}
}

// After its server moved to another address, a parked attempt must not be resumed there: the
// server at that address does not recognize the packet as a duplicate.
func TestRetryIsNotSentToAnotherAddress(t *testing.T) {
	server, other := newTestServer(t, "127.0.0.2:0"), newTestServer(t, "127.0.0.2:0")
	transport := newTransport(t, func(c *Config) { c.AttemptTimeout = 50 * time.Millisecond })
	transport.AddServer("r1", server.addr(), 0)
	request := accountingRequest()
	attempt, outcomes := startAttempt(transport, request)
	server.receive()
	outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
	attempt.Close()
	transport.AddServer("r1", other.addr(), 0)
	_, outcomes = startAttempt(transport, request)
	outcomes.expectOutcome(t, "moved", chalkrack.NotSent)
	other.expectNoPacket(20 * time.Millisecond)
	if request.SentTo() != "r1" {
		t.Errorf("server that may have run it: %q, want r1", request.SentTo())
	}
}

// fakeConn is a Conn for tests in virtual time. The test reads the sent packets and supplies the
// received ones.
type fakeConn struct {
	sent          [][]byte // guarded by mu, as are the next two fields
	refused       [][]byte
	pendingErrors int // how many writes return the error of an earlier packet instead of sending
	mu            sync.Mutex
	in            chan []byte // datagrams to read; nil makes Read report a refusal
	closed        chan struct{}
}

func newFakeConn() *fakeConn {
	return &fakeConn{in: make(chan []byte, 10), closed: make(chan struct{})}
}

func (c *fakeConn) Read(b []byte) (int, error) {
	select {
	case p := <-c.in:
		if p == nil {
			return 0, syscall.ECONNREFUSED
		}
		return copy(b, p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *fakeConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingErrors > 0 {
		c.pendingErrors--
		return 0, syscall.ECONNREFUSED
	}
	c.sent = append(c.sent, bytes.Clone(b))
	return len(b), nil
}

func (c *fakeConn) Close() error {
	close(c.closed)
	return nil
}

func (c *fakeConn) Refused(report func([]byte)) {
	c.mu.Lock()
	all := c.refused
	c.refused = nil
	c.mu.Unlock()
	for _, b := range all {
		report(b)
	}
}

// packets returns the packets sent so far, after all goroutines have become idle.
func (c *fakeConn) packets() [][]byte {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.sent)
}

// refuse reports to the transport that the port refused a packet.
func (c *fakeConn) refuse(packet []byte) {
	c.mu.Lock()
	c.refused = append(c.refused, packet)
	c.mu.Unlock()
	c.in <- nil
	synctest.Wait()
}

// A server whose port refuses the second packet of an attempt may have run the call for the first
// one and crashed. After a restart it would run the call for a third packet again: none may be
// sent, and the request is lost.
func TestNoResendAfterRefusalOfLaterPacket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newFakeConn()
		transport := newTransport(t, func(c *Config) {
			c.AttemptTimeout, c.ResendDelay, c.MaxResends = time.Second, 100*time.Millisecond, 10
			c.Dial = func(netip.AddrPort) (Conn, error) { return conn, nil }
		})
		transport.AddServer("r1", "127.0.0.2:1", 0)
		request := accountingRequest()
		attempt, outcomes := startAttempt(transport, request)
		time.Sleep(101 * time.Millisecond)
		sent := conn.packets()
		if len(sent) != 2 || !bytes.Equal(sent[0], sent[1]) {
			t.Fatalf("sent %x, want the same packet twice", sent)
		}
		conn.refuse(sent[1])
		outcomes.expectOutcome(t, "refused after it was read", chalkrack.TimedOut)
		if n := len(conn.packets()); n != 2 {
			t.Errorf("%d packets sent, want 2: none after the refusal", n)
		}
		attempt.Close()
		if !request.IsLost() || request.SentTo() != "r1" {
			t.Errorf("lost: %v, sent to %q, want true and r1", request.IsLost(), request.SentTo())
		}
	})
}

// A write that returns the refusal of an earlier packet has sent nothing, and must be repeated.
func TestWriteRepeatedAfterEarlierError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newFakeConn()
		conn.pendingErrors = 2
		transport := newTransport(t, func(c *Config) { c.Dial = func(netip.AddrPort) (Conn, error) { return conn, nil } })
		transport.AddServer("r1", "127.0.0.2:1", 0)
		startAttempt(transport, accountingRequest())
		if n := len(conn.packets()); n != 1 {
			t.Errorf("%d packets sent, want 1", n)
		}
	})
}

// Nothing may be sent to a server without a secret. No outcome may be reported for an attempt that
// the core has abandoned, even if its answer comes.
func TestNoSecretAndAbandonedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newFakeConn()
		secret := serverSecret
		transport := newTransport(t, func(c *Config) {
			c.Dial = func(netip.AddrPort) (Conn, error) { return conn, nil }
			c.Secret = func(string) []byte { return secret }
		})
		transport.AddServer("r1", "127.0.0.2:1", 0)
		attempt, outcomes := startAttempt(transport, accountingRequest())
		if !attempt.Abandon() {
			t.Error("Abandon says that the attempt had not begun")
		}
		request, err := radius.Parse(conn.packets()[0])
		if err != nil {
			t.Fatal(err)
		}
		answer := radius.NewAnswer(request, radius.AccountingResponse)
		answer.SignAnswer(serverSecret, request.Authenticator)
		conn.in <- answer.Marshal()
		synctest.Wait()
		if c := transport.Counts(); c.Answers != 1 || len(outcomes.done) != 0 {
			t.Errorf("counts %+v and %d outcomes, want 1 answer and no outcome", c, len(outcomes.done))
		}
		attempt.Close()
		secret = nil
		_, outcomes = startAttempt(transport, accountingRequest())
		outcomes.expectOutcome(t, "without a secret", chalkrack.ConnectFailed)
		if n := len(conn.packets()); n != 1 {
			t.Errorf("%d packets sent, want only that of the first attempt", n)
		}
	})
}

// A packet must be sent again after the configured delay, which doubles three times at most, and
// no more often than configured.
func TestResendDelaysAndCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newFakeConn()
		transport := newTransport(t, func(c *Config) {
			c.AttemptTimeout, c.ResendDelay, c.MaxResends = 5*time.Second, 100*time.Millisecond, 5
			c.Dial = func(netip.AddrPort) (Conn, error) { return conn, nil }
		})
		transport.AddServer("r1", "127.0.0.2:1", 0)
		started := time.Now()
		attempt, outcomes := startAttempt(transport, accountingRequest())
		at := time.Duration(0)
		for n, wait := range []time.Duration{0, 100, 200, 400, 800, 800} { // ms
			at += wait * time.Millisecond
			time.Sleep(time.Until(started.Add(at - time.Millisecond)))
			if got := len(conn.packets()); wait > 0 && got != n {
				t.Errorf("%d packets just before %v, want no resend yet", got, at)
			}
			time.Sleep(2 * time.Millisecond)
			if got := len(conn.packets()); got != n+1 {
				t.Errorf("%d packets just after %v, want one more", got, at)
			}
		}
		outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
		if n := len(conn.packets()); n != 6 || time.Since(started) != 5*time.Second {
			t.Errorf("%d packets, timed out after %v, want 6 and 5s", n, time.Since(started))
		}
		attempt.Close()
	})
}

// A resumed attempt must time out at its call's deadline, as the first one does, and an attempt
// whose latest start has passed must send nothing.
func TestResumedAttemptKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newFakeConn()
		transport := newTransport(t, func(c *Config) {
			c.AttemptTimeout = time.Minute
			c.Dial = func(netip.AddrPort) (Conn, error) { return conn, nil }
		})
		transport.AddServer("r1", "127.0.0.2:1", 0)
		request := accountingRequest()
		for range 2 {
			started := time.Now()
			outcomes := &sink{done: make(chan chalkrack.Outcome, 2)}
			attempt := transport.NewAttempt(core.Order{Payload: request, Server: "r1", Sink: outcomes, Deadline: started.Add(2 * time.Second)})
			attempt.Start()
			outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
			if took := time.Since(started); took != 2*time.Second {
				t.Errorf("timed out after %v, want 2s", took)
			}
			attempt.Close()
		}
		if n := len(conn.packets()); n != 2 {
			t.Errorf("%d packets sent, want one per attempt", n)
		}
		late := transport.NewAttempt(core.Order{Payload: accountingRequest(), Server: "r1", Sink: &sink{done: make(chan chalkrack.Outcome, 2)}, NotAfter: time.Now().Add(-1)})
		late.Start()
		if n := len(conn.packets()); n != 2 || late.Phase() != "not sent" {
			t.Errorf("an attempt past its latest start was sent: %d packets in all, want 2", n)
		}
	})
}

// If the port refuses every packet, the server has run nothing: the attempt could not connect, and
// the request may be sent to another server.
func TestPortRefusesEveryPacket(t *testing.T) {
	server := newTestServer(t, "127.0.0.2:0")
	transport := newTransport(t, nil)
	transport.AddServer("r1", server.addr(), 0)
	server.conn.Close()
	request := accountingRequest()
	attempt, outcomes := startAttempt(transport, request)
	outcomes.expectOutcome(t, "refused", chalkrack.ConnectFailed)
	attempt.Close()
	if request.IsLost() || request.SentTo() != "" || transport.parkedCount != 0 {
		t.Errorf("lost: %v, sent to %q, %d attempts parked; want false, none and 0", request.IsLost(), request.SentTo(), transport.parkedCount)
	}
}

// A refusal of an earlier packet with the same identifier must not end an attempt: its own packet
// was not refused, and the server may run it.
func TestRefusalOfEarlierPacketIsIgnored(t *testing.T) {
	server := newTestServer(t, "127.0.0.2:0")
	transport := newTransport(t, nil)
	transport.AddServer("r1", server.addr(), 0)
	_, outcomes := startAttempt(transport, accountingRequest())
	wire := server.receive()
	transport.mu.Lock()
	sock := transport.servers["r1"].sockets[0]
	transport.mu.Unlock()
	addr := server.addr()
	server.conn.Close()
	old := bytes.Clone(wire)
	old[10]++ // another authenticator, as of an earlier attempt
	sock.write(old)
	for end := time.Now().Add(testTimeout); transport.Counts().Refusals == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no refusal")
		}
	}
	restarted := newTestServer(t, addr)
	restarted.from = sock.conn.(*udpConn).LocalAddr().(*net.UDPAddr)
	restarted.answer(wire, radius.AccountingResponse, true)
	outcomes.expectOutcome(t, "answered", chalkrack.OK)
}

// An answer with the wrong code must be dropped. An answer without the proxy's Proxy-State can't be
// passed on, but the server has run the call, so the request is lost.
func TestAnswersThatCannotBePassedOn(t *testing.T) {
	server := newTestServer(t, "127.0.0.2:0")
	transport := newTransport(t, nil)
	transport.AddServer("r1", server.addr(), 0)
	request := accountingRequest()
	_, outcomes := startAttempt(transport, request)
	wire := server.receive()
	server.answer(wire, radius.AccessAccept, true) // signed correctly, but not an accounting answer
	server.answer(wire, radius.AccountingResponse, false)
	outcomes.expectOutcome(t, "without our state", chalkrack.Reset)
	if c := transport.Counts(); c.Unsolicited != 1 || c.Malformed != 1 || !request.IsLost() {
		t.Errorf("counts %+v, want 1 unsolicited and 1 malformed answer; lost: %v, want true", c, request.IsLost())
	}
}

// A server that has left must get new packets and resends during the grace period and none after
// it, until it is added again.
func TestServerThatLeftGetsNothingAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newFakeConn()
		transport := newTransport(t, func(c *Config) {
			c.Grace, c.ResendDelay, c.MaxResends, c.AttemptTimeout = 250*time.Millisecond, 100*time.Millisecond, 10, 5*time.Second
			c.Dial = func(netip.AddrPort) (Conn, error) { return conn, nil }
		})
		transport.AddServer("r1", "127.0.0.2:1", 0)
		_, outcomes := startAttempt(transport, accountingRequest())
		transport.RetireServer("r1", false)
		time.Sleep(200 * time.Millisecond)
		startAttempt(transport, accountingRequest()) // within the grace
		if n := len(conn.packets()); n != 3 {
			t.Errorf("%d packets within the grace period, want 3", n)
		}
		time.Sleep(51 * time.Millisecond)
		before := len(conn.packets())
		outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
		_, outcomes = startAttempt(transport, accountingRequest())
		outcomes.expectOutcome(t, "after the grace", chalkrack.ConnectFailed)
		if n := len(conn.packets()); n != before {
			t.Errorf("%d packets after the grace period, want none", n-before)
		}
		transport.AddServer("r1", "127.0.0.2:1", 0)
		startAttempt(transport, accountingRequest()) // the server is listed again
		if n := len(conn.packets()); n != before+1 {
			t.Errorf("%d packets after the server came back, want 1", n-before)
		}
	})
}

// An identifier must not be used again while a late answer may come. With one socket, the 257th
// attempt is therefore not sent, although all earlier ones have timed out.
func TestIdentifiersRestAfterTimeout(t *testing.T) {
	server := newTestServer(t, "127.0.0.2:0")
	transport := newTransport(t, func(c *Config) { c.AttemptTimeout = 50 * time.Millisecond })
	transport.AddServer("r1", server.addr(), 0)
	for n := range 256 {
		request := accountingRequest()
		request.Resumable = false
		attempt, outcomes := startAttempt(transport, request)
		outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
		attempt.Close()
		if n == 0 {
			transport.cfg.AttemptTimeout = time.Microsecond
		}
	}
	_, outcomes := startAttempt(transport, accountingRequest())
	outcomes.expectOutcome(t, "no identifier", chalkrack.NotSent)
	if c := transport.Counts(); c.NoIdentifier != 1 || c.Sent != 256 {
		t.Errorf("counts %+v, want 256 packets sent and 1 attempt without identifier", c)
	}
}

// The attempts parked for calls that may be retried are bounded, since clients may never retry.
// Requests beyond the bound are lost, and Forget makes room again.
func TestParkedAttemptsAreBounded(t *testing.T) {
	server := newTestServer(t, "127.0.0.2:0")
	transport := newTransport(t, func(c *Config) { c.AttemptTimeout, c.MaxSocketsPerServer = time.Microsecond, 4 })
	transport.AddServer("r1", server.addr(), 0)
	var all []*Request
	for range maxParked + 1 {
		request := accountingRequest()
		attempt, outcomes := startAttempt(transport, request)
		outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
		attempt.Close()
		all = append(all, request)
	}
	for n, request := range all {
		if request.IsLost() != (n == maxParked) {
			t.Errorf("request %d: lost: %v, want true only for the last", n, request.IsLost())
		}
	}
	all[0].Forget()
	all[0].Forget() // a second call does nothing
	if transport.parkedCount != maxParked-1 {
		t.Errorf("%d attempts are parked after one was forgotten, want one fewer than maxParked", transport.parkedCount)
	}
	request := accountingRequest()
	attempt, outcomes := startAttempt(transport, request)
	outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
	attempt.Close()
	if request.IsLost() {
		t.Error("a request is lost although there is room")
	}
	transport.Close()
	if transport.parkedCount != 0 {
		t.Errorf("%d attempts are parked after Close, want none", transport.parkedCount)
	}
}
