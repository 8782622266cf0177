package transport

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/radius"
)

const (
	serverAddr = "127.0.0.2:1"
	otherAddr  = "127.0.0.2:2"
)

// fakeServers opens a fakeConn for each socket of a Transport.
type fakeServers struct{ conns []*fakeConn }

func (f *fakeServers) dial(netip.AddrPort) (Conn, error) {
	conn := newFakeConn()
	f.conns = append(f.conns, conn)
	return conn, nil
}

// packets returns how many packets were sent to all servers.
func (f *fakeServers) packets() (sent int) {
	for _, conn := range f.conns {
		sent += len(conn.packets())
	}
	return sent
}

// answerLast answers the packet that was sent last on a socket.
func (f *fakeServers) answerLast(t *testing.T, conn *fakeConn) {
	t.Helper()
	sent := conn.packets()
	request, err := radius.Parse(sent[len(sent)-1])
	if err != nil {
		t.Fatal(err)
	}
	answer := radius.NewAnswer(request, radius.AccountingResponse)
	for kind, value := range request.All {
		if kind == radius.ProxyState {
			answer.Add(kind, value)
		}
	}
	answer.SignAnswer(serverSecret, request.Authenticator)
	conn.in <- answer.Marshal()
	synctest.Wait()
}

// newVirtualTransport returns a Transport for virtual time with the server r1, which started at 5 s.
func newVirtualTransport(t *testing.T) (*Transport, *fakeServers) {
	servers := new(fakeServers)
	transport := newTransport(t, func(c *Config) {
		c.AttemptTimeout, c.ResendDelay, c.MaxResends, c.Grace = 10*time.Second, 100*time.Millisecond, 6, 2*time.Second
		c.Dial = servers.dial
	})
	transport.AddServer("r1", serverAddr, 5*time.Second)
	return transport, servers
}

// giveUpEvent starts an attempt for a new event at r1 and gives it up. The attempt is kept for a retry.
func giveUpEvent(t *testing.T, transport *Transport) *Request {
	t.Helper()
	request := accountingRequest()
	attempt, outcomes := startAttempt(transport, request)
	outcomes.expectOutcome(t, "nothing came", chalkrack.TimedOut)
	attempt.Close()
	return request
}

// news is what a Transport may be told of the server r1 while events are open there.
var news = map[string]struct {
	tell func(t *Transport)
	// mayBeAnother says that another process may be at the server's address after the news.
	mayBeAnother bool
}{
	"nothing":                    {func(t *Transport) {}, false},
	"listed again":               {func(t *Transport) { t.AddServer("r1", serverAddr, 5*time.Second) }, false},
	"listed without a start":     {func(t *Transport) { t.AddServer("r1", serverAddr, 0) }, false},
	"in a complete list":         {func(t *Transport) { t.RetainServers(map[string]bool{"r1": true}) }, false},
	"draining":                   {func(t *Transport) { t.RetireServer("r1", serverAddr, 5*time.Second, false) }, false},
	"another one elsewhere":      {func(t *Transport) { t.AddServer("r2", otherAddr, 9*time.Second) }, false},
	"started again":              {func(t *Transport) { t.AddServer("r1", serverAddr, 9*time.Second) }, true},
	"a start before the earlier": {func(t *Transport) { t.AddServer("r1", serverAddr, time.Second) }, true}, // by a clock that was set back
	"started again, then without a start": {func(t *Transport) {
		t.AddServer("r1", serverAddr, 9*time.Second)
		t.AddServer("r1", serverAddr, 0)
	}, true},
	"started again and draining": {func(t *Transport) { t.RetireServer("r1", serverAddr, 9*time.Second, false) }, true},
	"draining, then started again": {func(t *Transport) {
		t.RetireServer("r1", serverAddr, 5*time.Second, false)
		t.AddServer("r1", serverAddr, 9*time.Second)
	}, true},
	"gone": {func(t *Transport) { t.RetireServer("r1", "", 0, true) }, true},
	"gone, then started again": {func(t *Transport) {
		t.RetireServer("r1", "", 0, true)
		t.AddServer("r1", serverAddr, 9*time.Second)
	}, true},
	"gone, then listed without a start": {func(t *Transport) {
		t.RetireServer("r1", "", 0, true)
		t.AddServer("r1", serverAddr, 0)
	}, true},
	"gone, then listed again": {func(t *Transport) {
		t.RetireServer("r1", "", 0, true)
		t.AddServer("r1", serverAddr, 5*time.Second)
	}, false},
	"gone, another one at its address, then listed again": {func(t *Transport) {
		t.RetireServer("r1", "", 0, true)
		t.AddServer("r2", serverAddr, 9*time.Second)
		t.AddServer("r1", serverAddr, 5*time.Second)
	}, true},
	"not in a complete list": {func(t *Transport) { t.RetainServers(nil) }, true},
	"moved":                  {func(t *Transport) { t.AddServer("r1", otherAddr, 5*time.Second) }, true},
	"moved and back": {func(t *Transport) {
		t.AddServer("r1", otherAddr, 5*time.Second)
		t.AddServer("r1", serverAddr, 5*time.Second)
	}, false},
	"another one at its address":          {func(t *Transport) { t.AddServer("r2", serverAddr, 9*time.Second) }, true},
	"another one drains at its address":   {func(t *Transport) { t.RetireServer("r2", serverAddr, 9*time.Second, false) }, true},
	"another one at its address, it left": {func(t *Transport) { t.AddServer("r2", serverAddr, 0); t.RetireServer("r2", "", 0, true) }, true},
}

// expectServed starts an attempt for a new event at a server, and fails the test unless it is sent
// once and its answer is passed on.
func expectServed(t *testing.T, transport *Transport, servers *fakeServers, server string) {
	t.Helper()
	before := servers.packets()
	outcomes := &sink{done: make(chan chalkrack.Outcome, 2)}
	attempt := transport.NewAttempt(core.Order{Payload: accountingRequest(), Server: server, AtMostOnce: true, Sink: outcomes})
	attempt.Start()
	if sent := servers.packets() - before; sent != 1 {
		t.Errorf("%d packets for a new event, want 1", sent)
		return
	}
	servers.answerLast(t, servers.conns[len(servers.conns)-1])
	outcomes.expectOutcome(t, "a new event", chalkrack.OK)
	attempt.Close()
}

// A packet of an event that may have been counted must not be sent again once another process may be
// at the server's address: it knows nothing of the event and would count it a second time. As long as
// it is the same process, packets are sent again as configured.
func TestOpenEventIsNotSentToAnotherProcess(t *testing.T) {
	for name, c := range news {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport, servers := newVirtualTransport(t)
				request := accountingRequest()
				attempt, outcomes := startAttempt(transport, request)
				time.Sleep(150 * time.Millisecond)
				before := servers.packets()
				c.tell(transport)
				time.Sleep(time.Second)
				if sent := servers.packets() - before; sent > 0 == c.mayBeAnother {
					t.Errorf("%d further packets after the news", sent)
				}
				for range 2 { // the outcome, then retries by the terminal
					before = servers.packets()
					time.Sleep(11 * time.Second)
					if len(outcomes.done) != 1 {
						t.Errorf("%d outcomes, want 1", len(outcomes.done))
					}
					attempt.Close()
					if request.IsLost() {
						break
					}
					attempt, outcomes = startAttempt(transport, request)
				}
				if sent := servers.packets() - before; c.mayBeAnother && sent > 0 {
					t.Errorf("%d packets by retries", sent)
				}
				transport.AddServer("r1", serverAddr, 20*time.Second)
				expectServed(t, transport, servers, "r1")
			})
		})
	}
}

// The retry of an event that was given up must not be sent once another process may be at the
// server's address.
func TestRetryIsNotSentToAnotherProcess(t *testing.T) {
	for name, c := range news {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport, servers := newVirtualTransport(t)
				request := giveUpEvent(t, transport)
				before := servers.packets()
				c.tell(transport)
				if !request.IsLost() { // of a lost one no attempt is made
					startAttempt(transport, request)
				}
				time.Sleep(2 * maxNewsDelay)
				if sent := servers.packets() - before; sent > 0 == c.mayBeAnother {
					t.Errorf("%d packets by the retry", sent)
				}
			})
		})
	}
}

// A call that must run once and isn't retried by its client has no other protection than its attempt's.
func TestCallThatMustRunOnceIsNotSentToAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		request := accountingRequest()
		request.Resumable = false
		outcomes := &sink{done: make(chan chalkrack.Outcome, 2)}
		transport.NewAttempt(core.Order{Payload: request, Server: "r1", AtMostOnce: true, Sink: outcomes}).Start()
		transport.AddServer("r1", serverAddr, 9*time.Second)
		time.Sleep(time.Second)
		if sent := servers.packets(); sent != 1 {
			t.Errorf("%d packets, want 1", sent)
		}
	})
}

// A server's new process must be served at once, also if all identifiers of the earlier one are in use.
// What waits at the earlier one must end soon, with an outcome for which the new one isn't blamed, and
// leave nothing behind.
func TestNewProcessIsServedAndEarlierOneForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		giveUpEvent(t, transport)
		var open []*sink
		for range 256 - 1 {
			attempt, outcomes := startAttempt(transport, accountingRequest())
			defer attempt.Close()
			open = append(open, outcomes)
		}
		_, outcomes := startAttempt(transport, accountingRequest())
		outcomes.expectOutcome(t, "all identifiers are in use", chalkrack.NotSent)
		began := time.Now()
		transport.AddServer("r1", serverAddr, 9*time.Second)
		expectServed(t, transport, servers, "r1")
		for _, outcomes := range open {
			outcomes.expectOutcome(t, "the process has ended", chalkrack.Cancelled)
		}
		if waited := time.Since(began); waited > 100*time.Millisecond {
			t.Errorf("the attempts waited for %v, want no longer than for a resend", waited)
		}
		synctest.Wait()
		select {
		case <-servers.conns[0].closed:
		default:
			t.Error("the socket of the earlier process is open")
		}
		if len(transport.removed) != 0 || transport.parkedCount != 0 {
			t.Errorf("%d servers and %d parked attempts are left, want none", len(transport.removed), transport.parkedCount)
		}
		expectServed(t, transport, servers, "r1")
	})
}

// An answer that is on its way when the new start is told must be passed on: the event was counted.
func TestAnswerOfEndedProcessIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		attempt, outcomes := startAttempt(transport, accountingRequest())
		transport.AddServer("r1", serverAddr, 9*time.Second)
		time.Sleep(20 * time.Millisecond)
		servers.answerLast(t, servers.conns[0])
		outcomes.expectOutcome(t, "answered", chalkrack.OK)
		attempt.Close()
		if len(transport.removed) != 0 {
			t.Errorf("%d servers are left, want none", len(transport.removed))
		}
	})
}

// Of two servers that are listed at one address, the earlier one stays listed and gets new calls.
func TestServerWithAnotherOneAtItsAddressIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		startAttempt(transport, accountingRequest())
		transport.AddServer("r2", serverAddr, 9*time.Second)
		time.Sleep(time.Minute)
		expectServed(t, transport, servers, "r1")
		expectServed(t, transport, servers, "r2")
	})
}

// A server that doesn't answer probes may have been replaced, or be slow: nothing is sent again, and a
// late answer is passed on.
func TestSuspectedServerMayStillAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		attempt, outcomes := startAttempt(transport, accountingRequest())
		transport.Suspect("r1")
		transport.RetireServer("r1", serverAddr, 5*time.Second, false)
		time.Sleep(5 * time.Second)
		if sent := servers.packets(); sent != 1 {
			t.Errorf("%d packets, want none after the first", sent)
		}
		servers.answerLast(t, servers.conns[0])
		outcomes.expectOutcome(t, "answered", chalkrack.OK)
		attempt.Close()
		transport.AddServer("r1", serverAddr, 9*time.Second)
		expectServed(t, transport, servers, "r1")
	})
}

// A process that was stopped gets the news of the time in which it stood and the timers that became due
// at one moment. Guards against sending a packet again before the news of another process is read.
func TestOverdueResendWaitsForNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, isTold := range map[string]bool{"another process is told": true, "nothing is told": false} {
			transport, servers := newVirtualTransport(t)
			started, _ := startAttempt(transport, accountingRequest())
			overdue := started.(*attempt)
			transport.mu.Lock()
			overdue.timer.Stop()
			overdue.timerDueAt = time.Now().Add(-time.Second)
			transport.mu.Unlock()
			overdue.onTimer()
			if sent := servers.packets(); sent != 1 {
				t.Errorf("%s: %d packets at once, want none after the first", name, sent)
			}
			if isTold {
				transport.AddServer("r1", serverAddr, 9*time.Second)
			}
			time.Sleep(maxNewsDelay + time.Millisecond)
			if sent := servers.packets(); sent > 1 == isTold {
				t.Errorf("%s: %d packets after the wait", name, sent)
			}
		}
	})
}

// The retry of an event that was given up waits for news too.
func TestRetryWaitsForNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		request := giveUpEvent(t, transport)
		before := servers.packets()
		again, outcomes := startAttempt(transport, request)
		transport.AddServer("r1", serverAddr, 9*time.Second)
		outcomes.expectOutcome(t, "the process has ended", chalkrack.Cancelled)
		again.Close()
		if sent := servers.packets() - before; sent > 0 || !request.IsLost() {
			t.Errorf("%d packets by the retry, lost: %v; want none and true", sent, request.IsLost())
		}
	})
}

// A server that leaves and is listed again without a start, as before, may be another process.
func TestServerWithoutStartIsNotTakenUpAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		transport.AddServer("r2", otherAddr, 0)
		outcomes := &sink{done: make(chan chalkrack.Outcome, 2)}
		transport.NewAttempt(core.Order{Payload: accountingRequest(), Server: "r2", AtMostOnce: true, Sink: outcomes}).Start()
		transport.RetireServer("r2", "", 0, true)
		transport.AddServer("r2", otherAddr, 0)
		time.Sleep(5 * time.Second)
		if sent := servers.packets(); sent != 1 {
			t.Errorf("%d packets, want none after the first", sent)
		}
	})
}

// The drain grace counts from when the server was first told to drain, whichever process drains.
func TestNewStartDoesNotExtendDrainGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		transport.RetireServer("r1", serverAddr, 5*time.Second, false)
		time.Sleep(1500 * time.Millisecond)
		transport.RetireServer("r1", serverAddr, 9*time.Second, false)
		time.Sleep(time.Second)
		_, outcomes := startAttempt(transport, accountingRequest())
		outcomes.expectOutcome(t, "after the grace", chalkrack.ConnectFailed)
		if sent := servers.packets(); sent != 0 {
			t.Errorf("%d packets after the grace, want none", sent)
		}
	})
}
