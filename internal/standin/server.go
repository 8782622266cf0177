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

// ServerConfig configures a Server.
type ServerConfig struct {
	Name   string
	Ledger *Ledger // shared by the fleet; nil for a Ledger of its own
	Script Script  // nil serves every request
	// RequestsPerSecond is how many requests a second a warm server can serve; 0 sets no limit.
	// Requests beyond it wait in a queue and are answered late, in the order in which they came.
	RequestsPerSecond float64
	// ColdShare is the share of the request rate that a server has at its start; 0 means that it
	// starts warm. The share rises linearly to 1.
	ColdShare float64
	// WarmUpTime is how long a cold server takes to reach its full rate.
	WarmUpTime time.Duration
	// FallFactor bounds the load of a cold server as a multiple of its present rate. If more
	// requests arrive over FallFor, the server stops and stays down. 0 sets no limit.
	FallFactor float64
	// FallFor is the time span over which the overload is measured.
	FallFor time.Duration
	// ReadBytesPerSecond is the rate at which the server reads the body of each request; 0 sets no
	// limit. The server's receive buffers are small then.
	ReadBytesPerSecond int
}

// Server stands in for a server of the platform. Its methods may be called from any goroutine.
type Server struct {
	cfg  ServerConfig
	addr string

	mu                 sync.Mutex
	script             Script
	listener           net.Listener // nil while the server is down
	conns              map[net.Conn]struct{}
	thawed             chan struct{} // closed while the server isn't frozen
	frozen             bool
	startTime          time.Time
	drainingSince      time.Time   // zero while the server isn't draining
	recordedDrainSince time.Time   // draining that is only recorded; zero if none
	busyUntil          time.Time   // when the queue of requests has been served
	recentArrivals     []time.Time // within FallFor
	fallen             bool        // stopped by overload while cold
	openedConns        int         // since the server was created
	goroutines         sync.WaitGroup
}

// hostsUsed counts the loopback hosts that this process has given to servers.
var hostsUsed atomic.Uint32

// newHost returns a loopback address that no other server and no connection from 127.0.0.1 uses.
// The port of a stopped server then stays free until its restart. On a shared address the system
// could give it to another server that starts in the meantime.
func newHost() string {
	n := hostsUsed.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 230+n/250%24, os.Getpid()&0xff, 1+n%250)
}

// NewServer starts a server on a loopback port that the system picks. The caller must close it.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger(0)
	}
	if cfg.Script == nil {
		cfg.Script = Always(Action{})
	}
	s := &Server{cfg: cfg, script: cfg.Script, conns: make(map[net.Conn]struct{}), thawed: make(chan struct{})}
	close(s.thawed)
	listener, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		return nil, fmt.Errorf("standin: start server: %w", err)
	}
	s.addr = listener.Addr().String()
	s.startServing(listener)
	return s, nil
}

// startServing accepts connections on a listener in a new goroutine.
func (s *Server) startServing(listener net.Listener) {
	s.mu.Lock()
	s.listener, s.startTime, s.drainingSince, s.recordedDrainSince = listener, time.Now(), time.Time{}, time.Time{}
	s.mu.Unlock()
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.accept(listener)
	}()
}

// Name returns the server's name.
func (s *Server) Name() string { return s.cfg.Name }

// Addr returns the server's address, which stays the same over restarts.
func (s *Server) Addr() string { return s.addr }

// Ledger returns the Ledger that records the server's requests.
func (s *Server) Ledger() *Ledger { return s.cfg.Ledger }

// SetWarm makes the server count as fully warmed up until its next restart.
func (s *Server) SetWarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startTime = time.Unix(0, 0)
}

// StartTime returns when the server last started.
func (s *Server) StartTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startTime
}

// SetScript replaces the server's Script for all requests from now on.
func (s *Server) SetScript(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// OpenedConns returns how many connections the server has accepted since it was created.
func (s *Server) OpenedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openedConns
}

// OpenConns returns how many connections to the server are open.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Freeze suspends the server: it accepts connections and keeps them open, but answers nothing until
// Thaw.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.frozen {
		s.frozen, s.thawed = true, make(chan struct{})
	}
}

// Thaw resumes a frozen server.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen {
		s.frozen = false
		close(s.thawed)
	}
}

// Drain makes the server decline new requests until it restarts. It finishes the requests that it
// has already received.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainingSince.IsZero() {
		s.drainingSince = time.Now()
	}
}

// RecordDrain makes the server record with each arrival how long it has been draining. It declines
// nothing: a draining server still serves the requests that come.
func (s *Server) RecordDrain() { s.setRecordedDrain(time.Now()) }

// RecordUndrain ends the recording of draining times.
func (s *Server) RecordUndrain() { s.setRecordedDrain(time.Time{}) }

func (s *Server) setRecordedDrain(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordedDrainSince = since
}

// Kill stops the server like a process that dies: open connections are reset, new ones refused.
func (s *Server) Kill() {
	s.mu.Lock()
	listener := s.listener
	s.listener = nil
	var conns []net.Conn
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	for _, c := range conns {
		resetConn(c)
	}
	s.Thaw()
}

// Restart starts the server again at its address, cold if it is so configured. A running server is
// killed first.
func (s *Server) Restart() error {
	s.Kill()
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("standin: restart server: %w", err)
	}
	s.mu.Lock()
	s.fallen, s.recentArrivals, s.busyUntil = false, nil, time.Time{}
	s.mu.Unlock()
	s.startServing(listener)
	return nil
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	s.goroutines.Wait()
}

// Up reports whether the server is running.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// Fallen reports whether overload stopped the server while it was cold.
func (s *Server) Fallen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fallen
}

// accept serves each connection of a listener in its own goroutine until the listener is closed.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.listener != listener {
			s.mu.Unlock()
			resetConn(conn)
			return
		}
		if tcpConn, ok := conn.(*net.TCPConn); ok && s.cfg.ReadBytesPerSecond > 0 {
			tcpConn.SetReadBuffer(slowReceiveBufferBytes)
		}
		s.conns[conn] = struct{}{}
		s.openedConns++
		s.mu.Unlock()
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			defer func() {
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
				conn.Close()
			}()
			reader := bufio.NewReader(conn)
			for s.serve(conn, reader) {
			}
		}()
	}
}

func (s *Server) waitUntilThawed() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	<-thawed
}

// serve handles one request of a connection and reports whether the connection can take another.
func (s *Server) serve(conn net.Conn, reader *bufio.Reader) (reusable bool) {
	httpReq, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	s.waitUntilThawed()
	class, _, _ := strings.Cut(strings.TrimPrefix(httpReq.URL.Path, "/"), "/")
	if kind := httpReq.Header.Get("Req-Kind"); kind != "" {
		class = kind
	}
	req := Request{ID: httpReq.Header.Get("Req-Id"), Class: class, Key: httpReq.Header.Get("Idempotency-Key"), Server: s.cfg.Name, Header: httpReq.Header}
	s.mu.Lock()
	script, drainingSince, recordedDrainSince := s.script, s.drainingSince, s.recordedDrainSince
	s.mu.Unlock()
	req.AttemptNumber = s.cfg.Ledger.nextAttemptNumber(req.ID)
	action := script(req)
	if action.Kind == ResetEarly {
		if action.Delay > 0 { // the reset comes while the client sends the body
			time.Sleep(action.Delay)
		}
		return action.writeAnswer(conn, req)
	}
	if action.BeforeBody {
		action.writeAnswer(conn, req)
		io.CopyN(io.Discard, httpReq.Body, maxScriptBodyBytes)
		return false
	}
	body, size, hash, err := readBody(s.limitRate(httpReq.Body))
	if err != nil {
		return false
	}
	req.Body = string(body)
	arrival := Arrival{ID: req.ID, Class: class, Key: req.Key, Server: s.cfg.Name, At: time.Now(), BodySize: size, BodyHash: hash}
	if !recordedDrainSince.IsZero() {
		arrival.DrainingFor = max(time.Since(recordedDrainSince), 1)
	}
	if !drainingSince.IsZero() {
		arrival.DrainingFor = max(time.Since(drainingSince), 1)
		action = Action{Kind: Decline}
	}
	wait, fallsOver := s.reserveTurn(arrival.At)
	if fallsOver {
		s.Kill()
		return false
	}
	arrival.ActionKind = action.Kind
	// Attempts that arrive at the same time can have been given the same number above. The number
	// of the Ledger is final.
	if number := s.cfg.Ledger.recordArrival(arrival); number != req.AttemptNumber && drainingSince.IsZero() {
		req.AttemptNumber = number
		action = script(req)
	}
	if action.Kind.takesEffect() {
		s.cfg.Ledger.recordEffect(req.ID, class, req.Key)
	}
	if delay := action.Delay + wait; delay > 0 {
		time.Sleep(delay)
		s.waitUntilThawed()
	}
	return action.writeAnswer(conn, req)
}

// readBody reads a complete body of any length and returns its first maxScriptBodyBytes, its size
// and its SHA-256.
func readBody(r io.Reader) (prefix []byte, size int64, hash [32]byte, err error) {
	hasher := sha256.New()
	if prefix, err = io.ReadAll(io.LimitReader(io.TeeReader(r, hasher), maxScriptBodyBytes)); err == nil {
		size, err = io.Copy(hasher, r)
	}
	return prefix, size + int64(len(prefix)), [32]byte(hasher.Sum(nil)), err
}

// reserveTurn adds a request to the queue of the server's present rate. It returns how long the
// request waits in the queue, and whether the request overloads a cold server.
func (s *Server) reserveTurn(now time.Time) (wait time.Duration, fallsOver bool) {
	if s.cfg.RequestsPerSecond <= 0 {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.cfg.RequestsPerSecond * s.rateShare(now)
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(time.Second) / rate))
	if s.cfg.FallFactor > 0 && s.rateShare(now) < 1 {
		s.recentArrivals = append(s.recentArrivals, now)
		for len(s.recentArrivals) > 0 && now.Sub(s.recentArrivals[0]) > s.cfg.FallFor {
			s.recentArrivals = s.recentArrivals[1:]
		}
		if float64(len(s.recentArrivals)) > s.cfg.FallFactor*rate*s.cfg.FallFor.Seconds() {
			s.fallen = true
			return 0, true
		}
	}
	return s.busyUntil.Sub(now), false
}

// rateShare returns the share of its full rate that the server has now, at most 1.
func (s *Server) rateShare(now time.Time) float64 {
	if s.cfg.ColdShare <= 0 || s.cfg.WarmUpTime <= 0 {
		return 1
	}
	return min(1, s.cfg.ColdShare+(1-s.cfg.ColdShare)*float64(now.Sub(s.startTime))/float64(s.cfg.WarmUpTime))
}
