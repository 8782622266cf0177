package transport

import (
	"bytes"
	"net"
	"net/netip"
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
		transport.RetireServer("r1", "127.0.0.2:1", 0, false)
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
