package core

import (
	"sync"
	"time"

	"chalkrack"
)

// action is one wish of the Balancer, carried out after the lock is freed. Guards
// against I/O under the lock, and against a garbage closure for each wish.
type action struct {
	kind   kind
	unsent bool
	caller Caller
	a      *attempt
	answer any
	after  time.Duration
	server string
}

type kind uint8

const (
	actStart kind = iota
	actCancel
	actCloseAttempt
	actServe
	actRefuse
	actFail
	actRelease
	actCloseIdle
	actProbe
	actTrace
)

var actionLists = sync.Pool{New: func() any { l := make([]action, 0, 4); return &l }}

// act writes a wish down.
func (h *Host) act(a action) {
	if h.actions == nil {
		h.actions = actionLists.Get().(*[]action)
	}
	*h.actions = append(*h.actions, a)
}

func (a *action) do(h *Host) {
	switch a.kind {
	case actStart:
		a.a.send.Start()
	case actCancel:
		// Told before the connection is closed: its reader would take the end for a
		// reset, and the server would be blamed for what was called off here.
		a.a.Done(chalkrack.Cancelled, nil, chalkrack.Report{})
		a.a.send.Close()
	case actCloseAttempt:
		a.a.send.Close()
	case actServe:
		a.caller.Serve(a.answer)
	case actRefuse:
		a.caller.Refuse(a.after, a.unsent)
	case actFail:
		a.caller.Fail()
	case actRelease:
		a.caller.Release()
	case actCloseIdle:
		h.transport.CloseIdle(a.server)
	case actProbe:
		server := a.server
		h.transport.Probe(server, probeMost, func(rep chalkrack.Report) {
			h.locked(func(now time.Duration) { h.b.Probed(now, server, rep) })
		})
	case actTrace:
		h.write(a.answer.(*Trace))
	}
}
