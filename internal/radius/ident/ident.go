// Package ident allocates the identifiers of RADIUS requests to one server. There are 256 for each
// socket (RFC 2865 section 3), and as many sockets as needed up to a limit. The package has no I/O
// and no clock: callers pass in the time since a fixed start.
//
// An identifier that is released after its answer can be used again at once: duplicates of the
// answer fail the check against the next request's authenticator. An identifier that is released
// without an answer rests for as long as a late answer may come, so that no other request has its
// number when the answer comes.
package ident

import "time"

const identifiersPerSocket = 256

// ID is an identifier on a socket.
type ID struct {
	Socket int // index of the socket, from 0
	Number byte
}

// Pool allocates identifiers. Its memory is at most 256 entries for each socket, with 16 bytes for
// a free identifier and 24 for a resting one. It is not safe for concurrent use.
type Pool struct {
	maxSockets int
	restTime   time.Duration // how long an identifier rests after a request without answer
	free       []ID          // a queue: the identifier that has been free for longest is next
	resting    []restingID   // in the order in which they become free
	sockets    int           // that have identifiers in the Pool
	inUse      int           // identifiers in use
}

type restingID struct {
	id    ID
	until time.Duration
}

// New returns a Pool for up to maxSockets sockets, at least 1. Its identifiers rest for restTime
// when they are released without an answer.
func New(maxSockets int, restTime time.Duration) *Pool {
	return &Pool{maxSockets: max(maxSockets, 1), restTime: restTime}
}

// Acquire allocates an identifier. opened reports that it is the first one of its socket, which
// the caller has to open. ok is false if all identifiers are in use or resting.
func (p *Pool) Acquire(now time.Duration) (id ID, opened, ok bool) {
	p.freeRested(now)
	if len(p.free) == 0 {
		if p.sockets == p.maxSockets {
			return ID{}, false, false
		}
		for n := range identifiersPerSocket {
			p.free = append(p.free, ID{p.sockets, byte(n)})
		}
		p.sockets++
		opened = true
	}
	id = p.free[0]
	p.free = p.free[1:]
	p.inUse++
	return id, opened, true
}

// Release ends the use of an identifier. answered says whether the request's answer came.
func (p *Pool) Release(now time.Duration, id ID, answered bool) {
	p.inUse--
	if answered {
		p.free = append(p.free, id)
		return
	}
	p.resting = append(p.resting, restingID{id, now + p.restTime})
}

// freeRested frees the identifiers whose rest is over. All rest equally long, so the first one in
// the list is always the next to become free.
func (p *Pool) freeRested(now time.Duration) {
	n := 0
	for n < len(p.resting) && p.resting[n].until <= now {
		p.free = append(p.free, p.resting[n].id)
		n++
	}
	p.resting = p.resting[n:]
}

// InUse returns the number of identifiers in use, without those that rest.
func (p *Pool) InUse() int { return p.inUse }

// Sockets returns the number of sockets that identifiers have been allocated on.
func (p *Pool) Sockets() int { return p.sockets }
