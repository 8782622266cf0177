// Package core runs a Balancer independently of any protocol. It handles calls and
// attempts only and never inspects the payload that a listener reads and a transport
// sends. It passes the events of callers, servers and discovery to the Balancer and
// executes its decisions; it makes no decision itself apart from enforcing its own
// limits. It enforces what holds for every protocol: each call gets one final answer
// before its deadline, a keyed call is repeated only within its window, and a panic
// affects only the call that caused it.
package core

import (
	"io"
	"time"

	"chalkrack"
	"chalkrack/internal/generation"
)

// Caller receives the result of one call on behalf of its client. The core ends each
// call that has arrived exactly once, with Serve, Refuse, Fail or Stream, unless
// Host.ClientGone withdrew it first, and calls Release exactly once, when no attempt needs
// the payload any more. Serve, Refuse, Fail and Release are called without the core's lock,
// from any goroutine. An implementation must bound the time for which a method waits for
// the client.
type Caller interface {
	// Serve delivers a complete answer, as the transport returned it.
	Serve(answer any)
	// Refuse reports that the call may be retried without harm after retryAfter (0: no
	// time is suggested). unsent reports that no attempt can have run.
	Refuse(retryAfter time.Duration, unsent bool)
	// Fail reports that the call failed and may have run.
	Fail()
	// Stream begins a streamed answer. The transport writes the rest and ends it. abort
	// makes the transport end the stream early, for a caller that leaves while the
	// server sends nothing. abort must not be called from within Stream, which runs
	// under the core's lock.
	Stream(answer any, abort func()) Stream
	// Release reports that the core no longer uses the call or its payload.
	Release()
}

// Stream receives the body of a streamed answer.
type Stream interface {
	io.Writer
	// End ends the stream; ok reports whether the body is complete.
	End(ok bool)
}

// Call describes one call. The caller owns it and may embed it; the core refers to it
// until Caller.Release.
type Call struct {
	ID       string // the same for each attempt of the call and each time that it arrives
	Class    string
	Tenant   string
	Key      string
	Timeout  time.Duration // how long the caller waits, from Received on; 0: the class's deadline
	Received time.Time
	Limits   *Limits // nil: only the limits of the settings apply
	// Generation is the configuration generation that applies to the call until its end, as
	// returned by Host.Stamp or Host.Route when the call began to be read. The zero value
	// selects the generation that is current when the call arrives.
	Generation generation.Stamp
	Payload    any // passed to the transport
	Caller     Caller
	IsRetry    bool // the client marked the call as a retry; recorded in the trace

	state *callState
}

// Limits restricts a call further than the settings do. It is set by the listener, also
// on behalf of the previous tier.
type Limits struct {
	// MaxAttempts is the maximum number of attempts; 0: the number in the settings. 1 also
	// means that the previous tier decides on retries: the call gets one attempt, and
	// neither adds to the retry budget here nor spends from it.
	MaxAttempts int
	// Mark is the ID of this attempt in the previous tier, used if MaxAttempts is 1; empty: no
	// duplicate is expected.
	Mark string
	// FromTier says that the call is an attempt of a previous tier, which may repeat its ID.
	FromTier   bool
	NotAfter   time.Time // no attempt begins later; zero: no such limit
	OnlyServer string    // the only server that the call may go to; empty: any
	// BodyTimeout is the maximum time for the rest of the body of a call that arrives before
	// its body is complete. As such a body is not stored and cannot be sent again, the
	// call gets one attempt. 0: the body is complete.
	BodyTimeout time.Duration
	// LastByteNotBefore returns the earliest time at which the caller can have sent the last byte of
	// a body that is not complete; the call's time counts from there. If it is nil, the time counts
	// from Host.BodyComplete on. It is called with the core's lock held, so it must neither block nor
	// call the Host.
	LastByteNotBefore func() time.Time
}

// AttemptObserver observes each attempt. Its methods are called with the core's lock held, so
// they must neither block nor call the Host.
type AttemptObserver interface {
	// Sent reports that an attempt is sent to a server. The ticket that it returns
	// identifies the attempt in Ended and in Host.AbandonAttempts.
	Sent(now time.Duration, server string) (ticket uint64)
	// Ended reports the outcome of an attempt, once for each.
	Ended(now time.Duration, ticket uint64, o chalkrack.Outcome)
}

// Order describes one attempt to a transport.
type Order struct {
	Payload          any // of the call
	Server           string
	Index            int       // the attempt's index within the call, from 0
	Deadline         time.Time // when the core stops waiting
	NotAfter         time.Time // the attempt must not begin later; zero: no such limit
	AtMostOnce       bool      // the call must not run twice
	PassClientErrors bool      // a 4xx response is passed on as the call's answer
	Sink             Sink
}

// Sink receives the result of an attempt.
type Sink interface {
	// Stream reports that a streamed answer has begun. It returns the writer for the
	// rest of the body, or nil if the call has already ended.
	Stream(answer any, rep chalkrack.LoadReport) io.Writer
	// Stalled reports, at most once, that the answer has begun and pauses. The attempt goes on.
	Stalled()
	// Done reports the outcome; answer is set for a complete answer. Only the first
	// call has an effect.
	Done(o chalkrack.Outcome, answer any, rep chalkrack.LoadReport)
}

// Transport sends attempts to servers. It sends each attempt at most once and never
// selects a server.
type Transport interface {
	// NewAttempt prepares an attempt. Nothing is sent before Attempt.Start.
	NewAttempt(o Order) Attempt
	// AddServer sets a server's address and the time at which it last started.
	AddServer(server, address string, started time.Duration)
	// RetireServer reports that a server is draining or, with gone, has been removed. No attempt
	// begins there after the drain grace period, not even one that was already queued. The address
	// and the time of the last start are as listed, and may be missing for a server that has been
	// removed.
	RetireServer(server, address string, started time.Duration, gone bool)
	// RetainServers removes all servers except those listed.
	RetainServers(listed map[string]bool)
	// CloseIdle closes a server's idle connections.
	CloseIdle(server string)
	// Probe requests a server's load report. onReport is called at most once, from any
	// goroutine, and not at all if the report takes longer than wait.
	Probe(server string, wait time.Duration, onReport func(chalkrack.LoadReport))
}

// Attempt is one send of a call to one server. It has begun once the server may act on it.
type Attempt interface {
	// Start starts sending the attempt. It does not wait for the server.
	Start()
	// Abandon stops the attempt without I/O and reports whether it may have begun.
	Abandon() (began bool)
	// CancelUnsent stops the attempt without I/O unless it has begun, and reports whether it was
	// stopped.
	CancelUnsent() bool
	// Close frees the resources of an abandoned attempt, for example its connection, by
	// which the server can notice that the attempt was cancelled.
	Close()
	// Phase returns the phase that the attempt has reached, for the log.
	Phase() string
	// Cause returns what ended the attempt, for the log; empty while it goes on, and if its outcome
	// says all.
	Cause() string
}
