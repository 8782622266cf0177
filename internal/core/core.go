// Package core hosts the decision module for every kind of front and transport. It
// knows calls and attempts only: what a listener has read and a transport sends goes
// through it unseen. It brings the events of callers, servers and discovery to the
// Balancer and carries out its decisions; it makes none itself, beyond guarding its
// limits. What must hold for every protocol stands here, once: one final answer to
// each call, in time; deadlines; the window of keyed calls; panics kept to the call
// that they came from.
package core

import (
	"io"
	"time"

	"chalkrack"
	"chalkrack/internal/generation"
)

// Caller is one call's side toward whoever made it. The core ends each call that has
// arrived once, by Serve, Refuse, Fail or Stream, unless Gone took it back, and calls
// Release once, when no attempt needs the payload any more. The methods are called
// without the core's lock, from any goroutine, and must not wait for the client
// longer than they bound themselves.
type Caller interface {
	// Serve passes on a whole answer, as the transport brought it.
	Serve(answer any)
	// Refuse says that trying again is harmless, after the time given (0: none given).
	// unsent says that no attempt can have run.
	Refuse(retryAfter time.Duration, unsent bool)
	// Fail says that the call failed, and may have run.
	Fail()
	// Stream begins a long answer. The transport writes the rest and ends it. abort
	// breaks it off at the transport, which ends it then: for a caller that leaves
	// while the server says nothing. It must not be called from within Stream.
	Stream(answer any, abort func()) Stream
	Release()
}

// Stream is a long answer on its way to the caller.
type Stream interface {
	io.Writer
	// End ends it; ok says that all of it came.
	End(ok bool)
}

// Call is one call as its caller tells it. The caller owns it and may embed it; the
// core keeps it until Release.
type Call struct {
	ID       string // the same for each attempt and each copy of the call that comes in
	Class    string
	Tenant   string
	Key      string
	Wait     time.Duration // how long the caller waits from Received on; 0: as long as the class may
	Received time.Time
	Limits   *Limits // nil: those of the settings only
	// Under is the generation that the call lives under, as Host.Stamp or Host.Route gave
	// it when the call began to come; zero: the one that it arrives in.
	Under   generation.Stamp
	Payload any // for the transport
	Caller  Caller
	Retry   bool // its caller's, told for the log

	state *call
}

// Limits is what a tier before this one leaves of a call, or its front.
type Limits struct {
	// Attempts is how many attempts may be made at most; 0: as many as the settings
	// allow. 1 also says that the tier before decides on the call: it gets that
	// attempt, and earns and spends no budget here.
	Attempts int
	Mark     string    // with Attempts at 1: names this attempt of the tier before; empty: it comes once
	NotAfter time.Time // no attempt begins later; zero: no such end
	Only     string    // the one server that may take it; empty: any
	// Coming is how long the body may still take of a call that arrives before it is
	// whole, since it is kept nowhere: it gets one attempt, and its time counts from
	// Host.Whole on. 0: all of it is here.
	Coming time.Duration
}

// Watch is told of each attempt, under the core's lock: it must not wait, nor call back.
type Watch interface {
	// Sent says that an attempt goes to a server. What it returns is told at its end.
	Sent(now time.Duration, server string) (ticket uint64)
	// Ended says how it ended, once.
	Ended(now time.Duration, ticket uint64, o chalkrack.Outcome)
}

// Order is what a transport is told of one attempt.
type Order struct {
	Payload  any // the call's
	Server   string
	N        int       // which attempt of the call, from 0
	Deadline time.Time // when the core stops waiting
	NotAfter time.Time // when it is too late to begin; zero: never
	Once     bool      // must not run twice
	Pass     bool      // a 4xx is the answer
	Sink     Sink
}

// Sink is told how an attempt goes.
type Sink interface {
	// Stream says that a long answer has begun, and asks where the rest goes; nil
	// if nobody wants it.
	Stream(answer any, rep chalkrack.Report) io.Writer
	// Done tells the outcome; answer is set for a whole one. Only the first call counts.
	Done(o chalkrack.Outcome, answer any, rep chalkrack.Report)
}

// Transport carries attempts to servers. It sends nothing twice and chooses nothing.
type Transport interface {
	// Attempt readies an attempt. Nothing is sent before its Start.
	Attempt(o Order) Attempt
	// Serve says where a server is and when it last started.
	Serve(server, address string, started time.Duration)
	// Leave says that a server drains or has gone: nothing new goes to it once the
	// grace is over, whatever was on its way.
	Leave(server string, gone bool)
	// Keep lets go of all servers but those listed.
	Keep(listed map[string]bool)
	CloseIdle(server string)
	// Probe asks a server for its load. told is called once at most, from any
	// goroutine, and not if the answer takes longer than wait.
	Probe(server string, wait time.Duration, told func(chalkrack.Report))
}

// Attempt is one send of a call to one server.
type Attempt interface {
	// Start makes the attempt. It does not wait for the server.
	Start()
	// Abandon stops it, without I/O, and says whether it may have begun.
	Abandon() (began bool)
	// Forgo stops it, without I/O, if it has not begun; false: it has.
	Forgo() bool
	// Close frees what an abandoned attempt holds, so that its server may learn of it.
	Close()
	// Phase tells for the log how far it came.
	Phase() string
}
