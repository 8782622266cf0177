// Package front is the sidecar's side towards its client: it accepts
// connections, reads requests, writes answers and notices a client that leaves.
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

	"chalkrack/internal/core"
	"chalkrack/internal/figures"
	"chalkrack/internal/generation"
)

const (
	maxHeadBytes = 64 << 10
	maxBodyBytes = 32 << 20
	// A head must be whole so long after its first byte, the first one of a connection so
	// long after the connection came up; for bodies see pace.
	headTimeout  = 2500 * time.Millisecond
	longBody     = 64 << 10
	headPatience = time.Second
	// A client that takes nothing of its answer for so long has hung.
	writeTimeout = 10 * time.Second
	// How long a refused connection is read off, so that its client sees why.
	lingerTimeout  = 2 * time.Second
	maxLingerBytes = 1 << 20
	freshTimeout   = 500 * time.Millisecond
)

// Handler takes calls: the core.
type Handler interface {
	Arrive(c *core.Call)
	// Gone says that the client has left; false if an answer is under way.
	Gone(c *core.Call) bool
	// Ready says whether clients may come.
	Ready() bool
	// Route stamps a call by its path, and says which class that names and whether there
	// is such a class for it.
	Route(path string) (class string, under generation.Stamp, known bool)
	// Whole says that the body of a call that came before it is whole.
	Whole(c *core.Call)
}

// Config is what a Server is told.
type Config struct {
	MaxConns     int   // client connections at once
	MaxBodyBytes int64 // bytes of request bodies held at once
	// Choose says what becomes of a request, by its head; nil: all go to the Server's
	// Handler as they come.
	// listener is the name of the one that its connection came by.
	Choose func(r *http.Request, listener string, from netip.Addr) Choice
	// TellConfig answers with the number of the configuration that a call lived under.
	TellConfig bool
	// Bodies keeps request bodies; nil: all are held in memory, within MaxBodyBytes.
	Bodies *Bodies
	// Long keeps those that are long or tell no length, where Bodies is nil; nil: nobody
	// does.
	Long *Bodies
	// Figures counts requests and their ends; nil: nobody does.
	Figures *figures.Figures
}

// Choice is what becomes of a request.
type Choice struct {
	To    Handler // nil: the Server's
	Class string  // empty: as the path names it
	Path  string  // in place of the request's; empty: as it came
	// Status, where it is not 0, answers here, with Location or Body.
	Status         int
	Location, Body string
}

// Server serves the client.
type Server struct {
	cfg     Config
	handler Handler
	budget  budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	open     map[string]*Exchange // ids of the requests that wait for their answer
	draining bool
}

// New returns a Server that hands requests to h.
func New(cfg Config, h Handler) *Server {
	return &Server{cfg: cfg, handler: h, budget: budget{left: cfg.MaxBodyBytes}, conns: make(map[*conn]struct{}), open: make(map[string]*Exchange)}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error { return s.ServeAs("", ln) }

// ServeAs does so for a listener with a name. All listeners' connections count together.
func (s *Server) ServeAs(name string, ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// Out of descriptors or the like: it passes, and connections wait meanwhile.
			slog.Warn("can't accept", "err", err)
			s.evict(0)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.add(nc, name)
	}
}

// spareConns is how many connections over the limit are told why they are refused. Guards the
// descriptors that the list of servers and new connections to them need: past it a connection
// gives way at once, the one that has been in a head for the longest or the new one.
const spareConns = 8

func (s *Server) add(nc net.Conn, listener string) {
	c := &conn{srv: s, nc: nc, listener: listener, in: capped{Conn: nc}, fresh: true, since: time.Now()}
	c.br = bufio.NewReaderSize(&c.in, 4<<10)
	c.served.L = &s.mu
	c.sight.of(nc)
	s.mu.Lock()
	over := len(s.conns) - s.cfg.MaxConns
	s.mu.Unlock()
	crowded := over >= 0 && !s.evict(headPatience)
	if crowded && over >= spareConns && !s.evict(0) {
		slog.Warn("connection closed at a limit", "conns", s.tally())
		nc.Close()
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve(crowded)
}

// evict closes a connection that can be spared: one that ends, the one that has idled for the
// longest with nothing to read on it, or one that has been in a head for longer than patience.
func (s *Server) evict(patience time.Duration) bool {
	s.mu.Lock()
	var ending, idle, slow *conn
	older := func(c, than *conn) bool { return than == nil || c.since.Before(than.since) }
	for c := range s.conns {
		switch {
		case c.shut:
		case c.ending && !c.busy:
			if older(c, ending) {
				ending = c
			}
		case !c.busy:
			// Guards against closing over a request that has just come.
			if older(c, idle) && !c.sight.pending() {
				idle = c
			}
		case c.head && time.Since(c.since) > patience:
			if older(c, slow) {
				slow = c
			}
		}
	}
	out := cmp.Or(ending, idle, slow)
	if out != nil {
		out.shut = true
		delete(s.conns, out)
	}
	s.mu.Unlock()
	if out != nil {
		out.nc.Close()
	}
	return out != nil
}

// Drain readies for the end: idle connections are ended, the others after their next
// answer. New ones are still served. It may be called again and again: what has gone idle
// since, and what was opened and rests, is ended too.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		if !c.fresh || time.Since(c.since) >= freshTimeout {
			s.probe(c)
		}
	}
}

// Busy is the number of connections with a request, or about to bring one.
func (s *Server) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy || c.fresh && time.Since(c.since) < freshTimeout {
			n++
		}
	}
	return n
}

// LimitBodies goes on with another number of bytes of bodies at once. Past it nothing is
// taken until enough has been given back.
func (s *Server) LimitBodies(most int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.left += most - s.cfg.MaxBodyBytes
	s.cfg.MaxBodyBytes = most
}

func (s *Server) tally() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh, idle, heads, bodies, waiting int
	for c := range s.conns {
		switch {
		case c.x != nil:
			waiting++
		case c.head:
			heads++
		case c.busy:
			bodies++
		case c.fresh:
			fresh++
		default:
			idle++
		}
	}
	return fmt.Sprintf("%d without a byte, %d idle, %d in a head, %d in a body, %d waiting", fresh, idle, heads, bodies, waiting)
}

// Conns is the number of client connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
