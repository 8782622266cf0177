package core

import (
	"sync"
	"time"

	"chalkrack"
)

// action is a command of the Balancer that is executed after the lock is released, so
// that no I/O happens under the lock. It is a struct rather than a closure to avoid an
// allocation for each command.
type action struct {
	kind       actionKind
	unsent     bool
	caller     Caller
	attempt    *attempt
	answer     any
	retryAfter time.Duration
	server     string
	id         string
}

// actionKind selects what an action does.
type actionKind uint8

const (
	actStart actionKind = iota
	actCancel
	actCloseAttempt
	actServe
	actRefuse
	actFail
	actRelease
	actCloseIdle
	actProbe
	actTrace
	actForgetID
)

// actionLists recycles the lists of queued actions.
var actionLists = sync.Pool{New: func() any { l := make([]action, 0, 4); return &l }}

// queueAction adds an action that is executed after the lock is released. It is called with the
// lock held.
func (h *Host) queueAction(a action) {
	if h.actions == nil {
		h.actions = actionLists.Get().(*[]action)
	}
	*h.actions = append(*h.actions, a)
}

// execute performs the action. It is called without the lock.
func (a *action) execute(h *Host) {
	switch a.kind {
	case actStart:
		a.attempt.handle.Start()
	case actCancel:
		// The outcome is reported before the connection is closed. Otherwise the
		// connection's reader would report the close as a reset, and the cancellation
		// would count as a failure of the server.
		a.attempt.Done(chalkrack.Cancelled, nil, chalkrack.LoadReport{})
		a.attempt.handle.Close()
	case actCloseAttempt:
		a.attempt.handle.Close()
	case actServe:
		a.caller.Serve(a.answer)
	case actRefuse:
		a.caller.Refuse(a.retryAfter, a.unsent)
	case actFail:
		a.caller.Fail()
	case actRelease:
		a.caller.Release()
	case actCloseIdle:
		h.transport.CloseIdle(a.server)
	case actProbe:
		server := a.server
		h.transport.Probe(server, probeTimeout, func(rep chalkrack.LoadReport) {
			h.handleEvent(func(now time.Duration) { h.balancer.Probed(now, server, rep) })
		})
	case actForgetID:
		h.ids.forget(a.id)
	case actTrace:
		h.writeTrace(a.answer.(*Trace))
	}
}
