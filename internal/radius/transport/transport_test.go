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

func (*sink) Stalled()                                   {}
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
