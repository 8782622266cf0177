package standin

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ServerConfig is what a Server is told.
type ServerConfig struct {
	Name   string
	Ledger *Ledger // of its fleet; nil: one of its own
	Script Script  // nil: all is served
	// Rate is how many requests a second it can serve when warm; 0: any number. What
	// comes beyond is served late, each in its turn.
	Rate float64
	// A server that starts with Cold above 0 begins with that share of Rate, which
	// rises evenly to all of it within WarmIn. Sent more than FallFactor times what it
	// can do, for FallFor, it falls over and stays down. FallFactor 0: it never falls.
	Cold       float64
	WarmIn     time.Duration
	FallFactor float64
	FallFor    time.Duration
}

// Server is a server of the platform's form.
type Server struct {
	cfg  ServerConfig
	addr string

	mu       sync.Mutex
	script   Script
	ln       net.Listener // nil: down
	conns    map[net.Conn]struct{}
	thaw     chan struct{} // closed when not frozen
	frozen   bool
	started  time.Time
	drained  time.Time // zero: it does not drain
	noted    time.Time // by NoteDrain
	turn     time.Time // when the request that came last has been served
	recent   []time.Time
	fallen   bool
	opened   int // connections
	handlers sync.WaitGroup
}

// hostCount counts the hosts that servers of this process have been given.
var hostCount atomic.Uint32

// newHost returns a loopback address that no other server, and no connection from 127.0.0.1, uses.
// The port of a server that is down is then still free when it is restarted: at a shared address
// another server that starts meanwhile could be given it.
func newHost() string {
	n := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 230+n/250%24, os.Getpid()&0xff, 1+n%250)
}

// NewServer starts a server on a loopback port that the system picks.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger(0)
	}
	if cfg.Script == nil {
		cfg.Script = Always(Act{})
	}
	s := &Server{cfg: cfg, script: cfg.Script, conns: make(map[net.Conn]struct{}), thaw: make(chan struct{})}
	close(s.thaw)
	ln, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	s.addr = ln.Addr().String()
	s.run(ln)
	return s, nil
}

func (s *Server) run(ln net.Listener) {
	s.mu.Lock()
	s.ln, s.started, s.drained, s.noted = ln, time.Now(), time.Time{}, time.Time{}
	s.mu.Unlock()
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		s.accept(ln)
	}()
}

// Name is the server's name, Addr its address.
func (s *Server) Name() string { return s.cfg.Name }
func (s *Server) Addr() string { return s.addr }

// Ledger counts what came.
func (s *Server) Ledger() *Ledger { return s.cfg.Ledger }

// Warm has it count as started long ago, until it restarts.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Unix(0, 0)
}

// Started is when it last started.
func (s *Server) Started() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Do changes what it does with requests from now on.
func (s *Server) Do(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// Opened is how many connections were ever opened to it, Open how many stand.
func (s *Server) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Open is how many connections to it stand.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Freeze stops it: connections come up and stay open, nothing is read or answered.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.frozen {
		s.frozen, s.thaw = true, make(chan struct{})
	}
}

// Thaw lets it go on.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen {
		s.frozen = false
		close(s.thaw)
	}
}

// Drain has it turn new requests away from now on; those it has are finished.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained.IsZero() {
		s.drained = time.Now()
	}
}

// NoteDrain books from now on for how long it has been draining, and turns nothing
// away: a server that drains finishes what comes. NoteUndrain ends that.
func (s *Server) NoteDrain() { s.note(time.Now()) }

// NoteUndrain ends NoteDrain.
func (s *Server) NoteUndrain() { s.note(time.Time{}) }

func (s *Server) note(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noted = at
}

// Kill ends it as a process that dies: connections are reset, new ones refused.
func (s *Server) Kill() {
	s.mu.Lock()
	ln := s.ln
	s.ln = nil
	var conns []net.Conn
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	for _, c := range conns {
		reset(c)
	}
	s.Thaw()
}

// Restart starts it again at its address, cold if it is of that kind.
func (s *Server) Restart() error {
	s.Kill()
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	s.mu.Lock()
	s.fallen, s.recent, s.turn = false, nil, time.Time{}
	s.mu.Unlock()
	s.run(ln)
	return nil
}

// Close ends it and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	s.handlers.Wait()
}

// Up says whether it runs; Fallen whether it was pushed over while cold.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln != nil
}

// Fallen says whether it was pushed over while it was cold.
func (s *Server) Fallen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fallen
}

func (s *Server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ln != ln {
			s.mu.Unlock()
			reset(c)
			return
		}
		s.conns[c] = struct{}{}
		s.opened++
		s.mu.Unlock()
		s.handlers.Add(1)
		go func() {
			defer s.handlers.Done()
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				c.Close()
			}()
			br := bufio.NewReader(c)
			for s.serve(c, br) {
			}
		}()
	}
}

func (s *Server) waitThaw() {
	s.mu.Lock()
	thaw := s.thaw
	s.mu.Unlock()
	<-thaw
}

// serve takes one request of a connection.
func (s *Server) serve(c net.Conn, br *bufio.Reader) (goesOn bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	s.waitThaw()
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if kind := r.Header.Get("Req-Kind"); kind != "" {
		class = kind
	}
	req := Request{ID: r.Header.Get("Req-Id"), Class: class, Key: r.Header.Get("Idempotency-Key"), Server: s.cfg.Name, Header: r.Header}
	s.mu.Lock()
	script, drained, noted := s.script, s.drained, s.noted
	s.mu.Unlock()
	req.Nth = s.cfg.Ledger.nth(req.ID)
	act := script(req)
	if act.Kind == ResetEarly {
		if act.Delay > 0 { // in the middle of its body
			time.Sleep(act.Delay)
		}
		return act.answer(c, req)
	}
	if act.Early {
		act.answer(c, req)
		io.CopyN(io.Discard, r.Body, bodyMost)
		return false
	}
	body, size, sum, err := readBody(r.Body)
	if err != nil {
		return false
	}
	req.Body = string(body)
	at := Arrival{ID: req.ID, Class: class, Key: req.Key, Server: s.cfg.Name, At: time.Now(), Size: size, Sum: sum}
	if !noted.IsZero() {
		at.Draining = max(time.Since(noted), 1)
	}
	if !drained.IsZero() {
		at.Draining = max(time.Since(drained), 1)
		act = Act{Kind: Decline}
	}
	wait, fell := s.take(at.At)
	if fell {
		s.Kill()
		return false
	}
	at.Act = act.Kind
	// Two that come at once see each other here at the latest.
	if nth := s.cfg.Ledger.arrived(at); nth != req.Nth && drained.IsZero() {
		req.Nth = nth
		act = script(req)
	}
	if act.Kind.runs() {
		s.cfg.Ledger.ran(req.ID, class, req.Key)
	}
	if d := act.Delay + wait; d > 0 {
		time.Sleep(d)
		s.waitThaw()
	}
	return act.answer(c, req)
}

// readBody reads a body whole, of any length.
func readBody(r io.Reader) (begin []byte, size int64, sum [32]byte, err error) {
	h := sha256.New()
	if begin, err = io.ReadAll(io.LimitReader(io.TeeReader(r, h), bodyMost)); err == nil {
		size, err = io.Copy(h, r)
	}
	return begin, size + int64(len(begin)), [32]byte(h.Sum(nil)), err
}

// take books a request against what the server can do now. It says how long the
// request waits for its turn, and whether it pushes the server over.
func (s *Server) take(now time.Time) (wait time.Duration, fell bool) {
	if s.cfg.Rate <= 0 {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.cfg.Rate * s.warmth(now)
	if s.turn.Before(now) {
		s.turn = now
	}
	s.turn = s.turn.Add(time.Duration(float64(time.Second) / rate))
	if s.cfg.FallFactor > 0 && s.warmth(now) < 1 {
		s.recent = append(s.recent, now)
		for len(s.recent) > 0 && now.Sub(s.recent[0]) > s.cfg.FallFor {
			s.recent = s.recent[1:]
		}
		if float64(len(s.recent)) > s.cfg.FallFactor*rate*s.cfg.FallFor.Seconds() {
			s.fallen = true
			return 0, true
		}
	}
	return s.turn.Sub(now), false
}

// warmth is the share of its rate that the server has now.
func (s *Server) warmth(now time.Time) float64 {
	if s.cfg.Cold <= 0 || s.cfg.WarmIn <= 0 {
		return 1
	}
	return min(1, s.cfg.Cold+(1-s.cfg.Cold)*float64(now.Sub(s.started))/float64(s.cfg.WarmIn))
}
