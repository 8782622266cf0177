package transport

import (
	"testing"
	"testing/synctest"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
)

// A refusal shows that the server's process has ended, for every call that it may have run and not only
// for the one whose packet was refused. Guards against sending the packets of the others to the process
// that takes its place.
func TestRefusalEndsProcessForAllEvents(t *testing.T) {
	for name, c := range map[string]struct {
		refuse func(transport *Transport, conn *fakeConn)
	}{
		"of another event's packet": {func(transport *Transport, conn *fakeConn) {
			_, outcomes := startAttempt(transport, accountingRequest())
			sent := conn.packets()
			conn.refuse(sent[len(sent)-1])
			outcomes.expectOutcome(t, "refused", chalkrack.ConnectFailed)
		}},
		"of the event's own packet": {func(transport *Transport, conn *fakeConn) {
			time.Sleep(100 * time.Millisecond)
			sent := conn.packets()
			conn.refuse(sent[len(sent)-1])
		}},
		"of a packet of another transport": {func(transport *Transport, conn *fakeConn) { transport.PortRefused(transport.servers["r1"].addr) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport, servers := newVirtualTransport(t)
				request := accountingRequest()
				attempt, outcomes := startAttempt(transport, request)
				time.Sleep(time.Millisecond)
				c.refuse(transport, servers.conns[0])
				before := servers.packets()
				time.Sleep(11 * time.Second)
				if sent := servers.packets() - before; sent > 0 {
					t.Errorf("%d packets after the refusal, want none", sent)
				}
				outcomes.expectOutcome(t, "it may have run", chalkrack.TimedOut)
				attempt.Close()
				if !request.IsLost() || request.SentTo() != "r1" || transport.parkedCount != 0 {
					t.Errorf("lost: %v, sent to %q, %d attempts parked; want true, r1 and 0", request.IsLost(), request.SentTo(), transport.parkedCount)
				}
				expectServed(t, transport, servers, "r1")
				if len(transport.removed) != 0 {
					t.Errorf("%d servers are left, want none", len(transport.removed))
				}
			})
		})
	}
}

// A refusal may come after its call was given up. Guards against resuming the attempt that is kept for
// the retry, whose earlier packet may have been read.
func TestRefusalAfterGivingUpPreventsRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		request := giveUpEvent(t, transport)
		sent := servers.conns[0].packets()
		servers.conns[0].refuse(sent[len(sent)-1])
		if !request.IsLost() || transport.parkedCount != 0 {
			t.Errorf("lost: %v, %d attempts parked; want true and 0", request.IsLost(), transport.parkedCount)
		}
		expectServed(t, transport, servers, "r1")
	})
}

// Attempts whose packets were all refused never ran, whatever is known of the process: they must end at
// once, so that another server is tried.
func TestRefusedEventsMayGoElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		startAttempt(transport, accountingRequest()) // it may have run
		var refused []*sink
		for range 3 {
			_, outcomes := startAttempt(transport, accountingRequest())
			refused = append(refused, outcomes)
		}
		for _, packet := range servers.conns[0].packets()[1:] {
			servers.conns[0].refuse(packet)
		}
		for _, outcomes := range refused {
			outcomes.expectOutcome(t, "refused", chalkrack.ConnectFailed)
		}
	})
}

// A call that is safe to repeat is sent again as configured, also after the process has ended for an event
// that it may have counted: it may well run at the new process.
func TestSafeCallIsSentAgainAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		request := accountingRequest()
		request.Resumable = false
		transport.NewAttempt(core.Order{Payload: request, Server: "r1", Sink: &sink{done: make(chan chalkrack.Outcome, 2)}}).Start()
		startAttempt(transport, accountingRequest()) // it may have run
		_, outcomes := startAttempt(transport, accountingRequest())
		servers.conns[0].refuse(servers.conns[0].packets()[2])
		outcomes.expectOutcome(t, "refused", chalkrack.ConnectFailed)
		if len(transport.removed) != 1 {
			t.Errorf("%d processes have ended, want 1", len(transport.removed))
		}
		time.Sleep(150 * time.Millisecond)
		sent := servers.conns[0].packets()
		if len(sent) != 4 || string(sent[3]) != string(sent[0]) {
			t.Errorf("%d packets, want four: those of the three calls and the safe one's again", len(sent))
		}
	})
}

// A process that a refusal has ended stays ended, also if its server leaves and is listed again with the
// start that was known before.
func TestEndedProcessIsNotTakenUpAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		startAttempt(transport, accountingRequest())
		transport.PortRefused(transport.servers["r1"].addr)
		transport.RetireServer("r1", "", 0, true)
		transport.AddServer("r1", serverAddr, 5*time.Second)
		time.Sleep(5 * time.Second)
		if sent := servers.packets(); sent != 1 {
			t.Errorf("%d packets, want none after the first", sent)
		}
		expectServed(t, transport, servers, "r1")
	})
}
