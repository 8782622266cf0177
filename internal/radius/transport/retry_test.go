package transport

import (
	"testing"
	"testing/synctest"
	"time"

	"chalkrack"
)

// An answer may come in the moment in which its call's deadline ends it. Guards against sending the
// event in a new packet when the terminal retries it, which the server would count a second time.
func TestAnswerAtDeadlineIsKeptForRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		request := accountingRequest()
		attempt, _ := startAttempt(transport, request)
		attempt.Abandon()
		servers.answerLast(t, servers.conns[0])
		attempt.Close()
		again, outcomes := startAttempt(transport, request)
		outcomes.expectOutcome(t, "the late answer", chalkrack.OK)
		again.Close()
		if sent := servers.packets(); sent != 1 || outcomes.got == nil {
			t.Errorf("%d packets, answer %v; want one packet and the answer", sent, outcomes.got)
		}
	})
}

// A late answer needs neither the identifier nor the place of its attempt any more.
func TestLateAnswerHoldsNoIdentifier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		request := giveUpEvent(t, transport)
		servers.answerLast(t, servers.conns[0])
		if inUse := transport.servers["r1"].identifiers.InUse(); inUse != 0 || transport.parkedCount != 0 {
			t.Errorf("%d identifiers in use, %d attempts parked; want none", inUse, transport.parkedCount)
		}
		_, outcomes := startAttempt(transport, request)
		outcomes.expectOutcome(t, "the late answer", chalkrack.OK)
		if request.lateAnswer != nil {
			t.Error("the answer is kept after the retry has it")
		}
	})
}

// The terminal's retry may come before the attempt of the call that was given up is put aside. Guards
// against a new packet for an event that a server may have counted: the retry isn't sent, and a later
// one has the first packet.
func TestRetryBeforeAttemptIsPutAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport, servers := newVirtualTransport(t)
		request := accountingRequest()
		attempt, _ := startAttempt(transport, request)
		attempt.Abandon()
		early, outcomes := startAttempt(transport, request)
		outcomes.expectOutcome(t, "too early", chalkrack.NotSent)
		early.Close()
		attempt.Close()
		startAttempt(transport, request)
		time.Sleep(maxNewsDelay + time.Millisecond)
		sent := servers.conns[0].packets()
		if len(sent) != 2 || string(sent[0]) != string(sent[1]) {
			t.Errorf("sent %x, want the same packet twice", sent)
		}
	})
}
