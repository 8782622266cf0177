// Package ident gives out the identifiers of RADIUS requests to one server: 256 for
// each socket (RFC 2865 section 3), as many sockets as are needed up to a limit. It has
// no I/O and no clock.
//
// An identifier that is given back after its answer can be used again at once, for the
// answer's duplicates are told apart by the request's authenticator; one that is given
// back without an answer rests for as long as a late one may come, so that it meets a
// socket on which nothing else waits under its number.
package ident

import "time"

const each = 256 // identifiers of a socket

// ID is an identifier on a socket.
type ID struct {
	Socket int // from 0
	Number byte
}

// Pool gives out identifiers. It holds 12 bytes for each and no more than sockets*256
// of them.
type Pool struct {
	most    int // sockets
	rest    time.Duration
	free    []ID // used as a ring: the one that has been free for longest is next
	resting []resting
	sockets int
	out     int
}

type resting struct {
	id    ID
	until time.Duration
}

// New returns a Pool of up to that many sockets, 1 at least, whose identifiers rest for
// so long after an end without answer.
func New(sockets int, rest time.Duration) *Pool {
	return &Pool{most: max(sockets, 1), rest: rest}
}

// Take gives out an identifier. opened says that its socket is one that was not in use
// before. ok is false when all are out or resting.
func (p *Pool) Take(now time.Duration) (id ID, opened, ok bool) {
	p.wake(now)
	if len(p.free) == 0 {
		if p.sockets == p.most {
			return ID{}, false, false
		}
		for n := range each {
			p.free = append(p.free, ID{p.sockets, byte(n)})
		}
		p.sockets++
		opened = true
	}
	id = p.free[0]
	p.free = p.free[1:]
	p.out++
	return id, opened, true
}

// Give takes an identifier back. answered says that its answer has come.
func (p *Pool) Give(now time.Duration, id ID, answered bool) {
	p.out--
	if answered {
		p.free = append(p.free, id)
		return
	}
	p.resting = append(p.resting, resting{id, now + p.rest})
}

// wake frees what has rested. All rest equally long, so the first is due first.
func (p *Pool) wake(now time.Duration) {
	n := 0
	for n < len(p.resting) && p.resting[n].until <= now {
		p.free = append(p.free, p.resting[n].id)
		n++
	}
	p.resting = p.resting[n:]
}

// Out is how many identifiers are in use, Sockets how many sockets they need.
func (p *Pool) Out() int { return p.out }

// Sockets is how many sockets are in use.
func (p *Pool) Sockets() int { return p.sockets }
