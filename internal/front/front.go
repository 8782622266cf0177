// Package front is the client-facing HTTP/1.1 server of the sidecar. It accepts
// connections, parses requests, passes each one as a core.Call to a Handler and writes
// the answer back. It detects clients that close their connections, and bounds the
// connections, head sizes, body bytes and read times that clients can take up.
package front

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"chalkrack/internal/bytebudget"
	"chalkrack/internal/core"
	"chalkrack/internal/figures"
	"chalkrack/internal/generation"
	"chalkrack/internal/httphead"
)

const (
	// connBufferBytes is the size of the read buffer of a connection.
	connBufferBytes = 4 << 10
	maxBodyBytes    = 32 << 20
	// headTimeout bounds the time from the first byte of a head to its end; for the first
	// head of a connection it counts from the accept. minRateReader sets the deadlines of
	// bodies.
	headTimeout = 2500 * time.Millisecond
	// headRoomTimeout bounds, from the same moment as headTimeout, how long a long head waits for
	// room. A client that then stops before its body is still closed within 3 s.
	headRoomTimeout = 1500 * time.Millisecond
	// A body that is longer than maxShortBodyBytes, or of unknown length, counts as long.
	maxShortBodyBytes = 64 << 10
	// A connection whose head is older than minEvictableHeadAge may be closed to make room
	// for a new one.
	minEvictableHeadAge = time.Second
	// writeTimeout bounds each write of an answer: a client that reads nothing for that long
	// is taken for hung.
	writeTimeout = 10 * time.Second
	// lingerTimeout and maxLingerBytes bound how long and how much is read and discarded from
	// a connection that is ending, so that its client can read the last answer.
	lingerTimeout  = 2 * time.Second
	maxLingerBytes = 1 << 20
	// freshTimeout is how long a new connection that has sent nothing counts as busy, and is
	// spared by a drain: its first request may be about to arrive.
	freshTimeout = 500 * time.Millisecond
)

// Handler takes the calls that a Server reads. core.Host implements it.
type Handler interface {
	// Arrive starts a call. The handler ends it once, through c.Caller.
	Arrive(c *core.Call)
	// ClientGone reports to the handler that the client has closed its connection. It returns
	// false if an answer has begun or was given.
	ClientGone(c *core.Call) bool
	// Ready reports whether calls are accepted.
	Ready() bool
	// Route returns the class that a request path names, the stamp of the configuration
	// generation that the call runs under, and whether that generation knows the class.
	Route(path string) (class string, under generation.Stamp, known bool)
	// BodyComplete reports that the body of a call that arrived before the end of its body is now
	// complete.
	BodyComplete(c *core.Call)
}

// Config is the configuration of a Server.
type Config struct {
	MaxConns     int   // limit of simultaneous client connections
	MaxBodyBytes int64 // limit of the bytes of request bodies in memory at one time
	// Heads bounds the memory of request heads that are longer than a connection's buffer, from
	// their arrival until their calls end. If it is nil, the Server has a budget of its own.
	Heads *httphead.Budget
	// Choose routes a request by its head, the name of the listener that accepted its
	// connection, and the address of its client. If it is nil, all requests go unchanged to
	// the Server's Handler.
	Choose func(r *http.Request, listener string, from netip.Addr) Choice
	// SendConfigID adds a Fawn-Config field to answers, with the number of the configuration
	// that the call ran under.
	SendConfigID bool
	// Bodies stores all request bodies. If it is nil, bodies are held in memory, within
	// MaxBodyBytes.
	Bodies *Bodies
	// LongBodies stores bodies that are longer than 64 KiB or of unknown length, if Bodies is nil.
	// If both are nil, these are held in memory too.
	LongBodies *Bodies
	// Figures counts requests by class and outcome. If it is nil, nothing is counted.
	Figures *figures.Figures
}

// Choice is the routing decision for one request.
type Choice struct {
	Handler Handler // takes the call; nil: the Server's Handler
	Class   string  // class of the call; empty: the class that the path names
	Path    string  // replaces the path of the request; empty: unchanged
	// Status, if not 0, is answered by the Server itself, with Location or Body.
	Status         int
	Location, Body string
}

// Server accepts client connections and serves the requests on them. Its methods may be
// called from any goroutine.
type Server struct {
	cfg     Config
	handler Handler
	budget  *bytebudget.Budget // of request bodies in memory

	mu       sync.Mutex
	conns    map[*conn]struct{}
	openIDs  map[string]*Exchange // requests that wait for their answer, by id
	draining bool

	// longHeads is held while a long head is parsed: the parser may take many times its bytes.
	longHeads sync.Mutex
}

// New returns a Server that passes requests to h.
func New(cfg Config, h Handler) *Server {
	if cfg.Heads == nil {
		cfg.Heads = httphead.NewBudget(0)
	}
	return &Server{cfg: cfg, handler: h, budget: bytebudget.New(cfg.MaxBodyBytes), conns: make(map[*conn]struct{}), openIDs: make(map[string]*Exchange)}
}

// Serve accepts connections on ln and blocks until ln is closed, whose net.ErrClosed it
// returns. The listener has no name.
func (s *Server) Serve(ln net.Listener) error { return s.ServeNamed("", ln) }

// ServeNamed is like Serve for a listener with a name, which Config.Choose receives. The
// connections of all listeners count towards one Config.MaxConns.
func (s *Server) ServeNamed(name string, ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// For instance, the process is out of descriptors. That is temporary, and new
			// connections wait in the backlog until then.
			slog.Warn("cannot accept a client connection; will retry", "err", err)
			s.evictConn(0)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.addConn(nc, name)
	}
}

// maxExcessConns is how many connections over Config.MaxConns are accepted for the time it
// takes to answer their request with a refusal. Beyond it a connection is closed at once: the
// one that has been sending its head for the longest, or else the new one. This keeps
// descriptors free for the discovery of servers and for new connections to servers.
const maxExcessConns = 8

// addConn starts to serve a new connection, or closes it if none can be evicted for it.
func (s *Server) addConn(nc net.Conn, listener string) {
	c := &conn{srv: s, nc: nc, listener: listener, in: limitedConn{Conn: nc}, fresh: true, stateSince: time.Now()}
	c.source.R = &c.in
	c.br = bufio.NewReaderSize(&c.source, connBufferBytes)
	c.answered.L = &s.mu
	c.peeker.attach(nc)
	s.mu.Lock()
	over := len(s.conns) - s.cfg.MaxConns
	s.mu.Unlock()
	crowded := over >= 0 && !s.evictConn(minEvictableHeadAge)
	if crowded && over >= maxExcessConns && !s.evictConn(0) {
		slog.Warn("client connection closed: connection limit reached", "conns", s.describeConns())
		nc.Close()
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve(crowded)
}

// evictConn closes one connection to make room, and reports whether it found one. It picks,
// in this order, the oldest that is ending, the one that has been idle for the longest and has
// no bytes to read, or the one that has been sending its head for the longest, if for longer
// than minHeadAge.
func (s *Server) evictConn(minHeadAge time.Duration) bool {
	s.mu.Lock()
	var ending, idle, slow *conn
	older := func(c, other *conn) bool { return other == nil || c.stateSince.Before(other.stateSince) }
	for c := range s.conns {
		switch {
		case c.closed:
		case c.ending && !c.busy:
			if older(c, ending) {
				ending = c
			}
		case !c.busy:
			// A connection with bytes to read is spared: they may be a request that its
			// goroutine has not read yet.
			if older(c, idle) && !c.peeker.hasPending() {
				idle = c
			}
		case c.inHead && time.Since(c.stateSince) > minHeadAge:
			if older(c, slow) {
				slow = c
			}
		}
	}
	victim := cmp.Or(ending, idle, slow)
	if victim != nil {
		victim.closed = true
		victim.headRoom.Cancel()
		delete(s.conns, victim)
	}
	s.mu.Unlock()
	if victim != nil {
		slog.Info("client connection closed to make room for another", "client", victim.nc.RemoteAddr(), "state", victimState(victim, ending, idle))
		victim.nc.Close()
	}
	return victim != nil
}

// victimState names the state for which a connection was evicted, for the log.
func victimState(victim, ending, idle *conn) string {
	switch victim {
	case ending:
		return "ending"
	case idle:
		return "idle"
	}
	return "in a head"
}

// Drain prepares the shutdown. It ends idle connections now and the others after their next
// answer. New connections are still served. Call it repeatedly: each call also ends the
// connections that have become idle, and the new ones that have sent nothing for
// freshTimeout.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		if !c.fresh || time.Since(c.stateSince) >= freshTimeout {
			s.probeIdle(c)
		}
	}
}

// BusyConns returns the number of connections that have a request, or that are too new to count
// as idle.
func (s *Server) BusyConns() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy || c.fresh && time.Since(c.stateSince) < freshTimeout {
			n++
		}
	}
	return n
}

// SetMaxBodyBytes changes Config.MaxBodyBytes to maxBytes. If more bytes are reserved already, no
// body is accepted until enough of them have been released.
func (s *Server) SetMaxBodyBytes(maxBytes int64) { s.budget.SetLimit(maxBytes) }

// describeConns returns the number of connections in each state, for log lines.
func (s *Server) describeConns() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh, idle, heads, bodies, waiting int
	for c := range s.conns {
		switch {
		case c.current != nil:
			waiting++
		case c.inHead:
			heads++
		case c.busy:
			bodies++
		case c.fresh:
			fresh++
		default:
			idle++
		}
	}
	return fmt.Sprintf("%d fresh, %d idle, %d reading a head, %d reading a body, %d waiting for an answer", fresh, idle, heads, bodies, waiting)
}

// Conns returns the number of client connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
