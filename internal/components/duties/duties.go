// Package duties runs a duty.Detector in a sidecar: it exchanges notes with peers over UDP,
// probes servers over HTTP, and reports findings to the balancer.
package duties

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chalkrack"
	"chalkrack/internal/duty"
	"chalkrack/internal/membership"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxProbesInFlight bounds the probes in flight, each of which holds a connection.
	maxProbesInFlight = 16
	// MaxConns is the maximum number of file descriptors used: for probes, their idle connections
	// and the UDP socket.
	MaxConns = 2*maxProbesInFlight + 1
	// maxFindingAge is the maximum age of a finding that is reported to the balancer.
	maxFindingAge = 4 * time.Second
)

// loadByState is the load reported to the balancer for each state, in requests in flight. The
// balancer has no other input for a server's state than responses and loads.
var loadByState = map[duty.State]float64{duty.Answering: 0, duty.Slow: 3, duty.Refusing: 8, duty.Silent: 8}

// Reporter receives findings as load reports.
type Reporter interface {
	RecordReport(name string, age time.Duration, r chalkrack.LoadReport)
}

// Config holds the settings of the notes and probes of a sidecar.
type Config struct {
	Duty           duty.Config   // a peer's Name is its address, its alias is derived from its number
	Listen         string        // UDP address for notes
	PortInherited  bool          // the previous process of this sidecar may still hold the port
	Key            []byte        // authenticates notes; empty: notes carry no tag
	Path           string        // URL path of a probe
	SlowAfter      time.Duration // a server that takes longer to answer a probe is slow
	ProbeTimeout   time.Duration // of a probe
	ProbingEnabled bool          // whether servers are probed; notes are exchanged in any case
}

// PeerAlias returns the name under which all sidecars know sidecar n. It is not the address, since
// sidecars may reach a peer at different addresses.
func PeerAlias(n int) string { return fmt.Sprint("sidecar ", n) }

// Runner drives a duty.Detector with sockets and a clock. Starting and closing a nil pointer do
// nothing.
type Runner struct {
	host            Reporter
	start           time.Time
	listenAddr      *net.UDPAddr
	conn            atomic.Pointer[net.UDPConn] // nil: the previous process of this sidecar still holds the port
	key             []byte
	path            string
	slowAfter       time.Duration
	timeout         time.Duration
	transport       *http.Transport
	probeSlots      chan struct{}
	peerAddrs       map[string]*net.UDPAddr                   // of peers by name
	peerNumbers     map[duty.ID]int                           // numbers of peers
	peerNames       []string                                  // names of peers by number
	probingDisabled bool                                      // no server is probed
	onPayload       func(number int, inc uint64, part []byte) // receives payloads of notes; nil: none
	cancel          context.CancelFunc
	ctx             context.Context
	wg              sync.WaitGroup

	mu         sync.Mutex
	duty       *duty.Detector
	servers    map[string]membership.Entry // servers in the Serving state
	reportedAt map[string]time.Duration    // time of the finding last reported, by server
	unreadable uint64                      // notes that could not be parsed
}

// maxProbeHeadBytes bounds the head of an answer to a probe: the parser takes many times its bytes.
const maxProbeHeadBytes = 8 << 10

// newProbeTransport returns the transport of probes, which closes connections that were idle for
// longer than idleTimeout.
func newProbeTransport(idleTimeout time.Duration) *http.Transport {
	return &http.Transport{MaxConnsPerHost: 1, MaxIdleConns: maxProbesInFlight, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxProbeHeadBytes}
}

// New binds the UDP port for notes, unless the previous process of this sidecar still holds it.
func New(cfg Config, host Reporter) (*Runner, error) {
	d, err := duty.New(cfg.Duty)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	listenAddr, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("config: peer_listen: %w", err)
	}
	s := &Runner{host: host, start: time.Now(), duty: d, key: cfg.Key, path: cfg.Path, slowAfter: cfg.SlowAfter, timeout: cfg.ProbeTimeout,
		probeSlots: make(chan struct{}, maxProbesInFlight), peerAddrs: make(map[string]*net.UDPAddr), servers: make(map[string]membership.Entry), reportedAt: make(map[string]time.Duration),
		transport: newProbeTransport(3 * cfg.Duty.ProbeInterval)}
	s.peerNumbers, s.peerNames, s.probingDisabled = make(map[duty.ID]int), make([]string, len(cfg.Duty.Peers)+1), !cfg.ProbingEnabled
	for _, p := range cfg.Duty.Peers {
		var number int
		fmt.Sscanf(p.Alias, "sidecar %d", &number)
		s.peerNumbers[duty.IDOf(p.Alias)], s.peerNames[number] = number, p.Name
		if s.peerAddrs[p.Name], err = net.ResolveUDPAddr("udp", p.Name); err != nil {
			return nil, fmt.Errorf("config: peers: %w", err)
		}
	}
	s.listenAddr = listenAddr
	conn, err := net.ListenUDP("udp", listenAddr)
	switch {
	case err == nil:
		s.conn.Store(conn)
	case !cfg.PortInherited || !errors.Is(err, syscall.EADDRINUSE): // otherwise the previous process holds it until it ends
		return nil, fmt.Errorf("config: peer_listen: %w", err)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Start starts sending and receiving notes. The payload functions must be set before.
func (s *Runner) Start() {
	if s != nil {
		s.wg.Go(func() {
			if s.waitForPort() {
				s.receiveNotes()
			}
		})
		s.wg.Go(s.run)
	}
}

// bindInterval is the interval of attempts to bind the port held by the previous process.
const bindInterval = 50 * time.Millisecond

// waitForPort waits until the port is bound. It returns false if s is closed first.
func (s *Runner) waitForPort() bool {
	for s.conn.Load() == nil {
		select {
		case <-s.ctx.Done():
			return false
		case <-time.After(bindInterval):
		}
		if conn, err := net.ListenUDP("udp", s.listenAddr); err == nil {
			s.conn.Store(conn)
			slog.Info("duty: bound the port for notes after the previous process released it", "listen", s.listenAddr)
		}
	}
	if s.ctx.Err() != nil { // Close did not see the connection
		s.conn.Load().Close()
		return false
	}
	return true
}

// IsBound reports whether this process has bound the port for notes.
func (s *Runner) IsBound() bool { return s.conn.Load() != nil }

// SetPayload sets the function that returns the payload of each note, given the number of bytes
// available, and the function that receives payloads with the number and incarnation of their
// sender. It must be called before notes are sent and received.
func (s *Runner) SetPayload(payload func(maxBytes int) []byte, onPayload func(number int, inc uint64, payload []byte)) {
	s.duty.SetPayload(func(_ time.Duration, maxBytes int) []byte { return payload(maxBytes) })
	s.onPayload = onPayload
}

// SendNotes sends a note at once to n random living peers and to those with the given numbers.
func (s *Runner) SendNotes(n int, numbers []int) {
	var names []string
	for _, i := range numbers {
		if i >= 0 && i < len(s.peerNames) && s.peerNames[i] != "" {
			names = append(names, s.peerNames[i])
		}
	}
	s.mu.Lock()
	out := s.duty.SendNotes(s.now(), n, names...)
	s.mu.Unlock()
	s.execute(out)
}

func (s *Runner) now() time.Duration { return time.Since(s.start) }

// UpdateServers updates the servers from discovery. Only listed servers in the Serving state are
// probed and included in notes.
func (s *Runner) UpdateServers(list *membership.List) {
	if s.probingDisabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if list.Complete {
		clear(s.servers)
	}
	for _, entry := range list.Entries {
		if entry.State == chalkrack.Serving {
			s.servers[entry.Name] = entry
		} else {
			delete(s.servers, entry.Name)
		}
	}
	servers := make([]duty.Server, 0, len(s.servers))
	for name, entry := range s.servers {
		servers = append(servers, duty.Server{Name: name, Zone: entry.Zone})
	}
	for name := range s.reportedAt {
		if _, ok := s.servers[name]; !ok {
			delete(s.reportedAt, name)
		}
	}
	s.duty.SetServers(s.now(), servers)
}

// run calls Tick at a fixed interval until s is closed.
func (s *Runner) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		out := s.duty.Tick(s.now())
		s.mu.Unlock()
		s.execute(out)
		s.reportFindings()
	}
}

// receiveNotes receives notes until the connection is closed. The sender is identified by the
// ID in the note, since a peer may send from another address than it is reached at; only a
// key keeps out notes of others.
func (s *Runner) receiveNotes() {
	buf := make([]byte, 2*duty.MaxNoteBytes)
	for {
		n, _, err := s.conn.Load().ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for instance, the port of a peer is closed
		}
		note, err := duty.Parse(buf[:n], s.key)
		s.mu.Lock()
		if err != nil {
			s.unreadable++
			s.mu.Unlock()
			continue
		}
		out := s.duty.Receive(s.now(), note)
		s.mu.Unlock()
		s.execute(out)
		if n, known := s.peerNumbers[note.From]; known && s.onPayload != nil && len(note.Payload) > 0 {
			s.onPayload(n, note.Incarnation, note.Payload)
		}
	}
}

// execute sends the notes of out and starts its probes.
func (s *Runner) execute(out duty.Actions) {
	var buf [duty.MaxNoteBytes]byte
	conn := s.conn.Load()
	for _, outgoing := range out.Notes {
		if conn == nil {
			break
		}
		conn.WriteToUDP(outgoing.Note.Append(buf[:0], s.key), s.peerAddrs[outgoing.To])
	}
	for _, name := range out.Probes {
		s.mu.Lock()
		entry, ok := s.servers[name]
		s.mu.Unlock()
		if !ok {
			continue
		}
		select {
		case s.probeSlots <- struct{}{}:
		default: // the maximum number of probes is in flight: it stays due by its age
			continue
		}
		s.wg.Go(func() {
			defer func() { <-s.probeSlots }()
			state := s.probe(entry.Address)
			if s.ctx.Err() != nil {
				return
			}
			s.mu.Lock()
			s.duty.RecordProbe(s.now(), entry.Name, state)
			s.mu.Unlock()
		})
	}
}

// probe sends a probe to addr, and returns the resulting state of the server.
func (s *Runner) probe(addr string) duty.State {
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+s.path, nil)
	if err != nil {
		return duty.Silent
	}
	began := time.Now()
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			return duty.Silent
		}
		return duty.Refusing
	}
	io.CopyN(io.Discard, resp.Body, 4<<10)
	resp.Body.Close()
	switch {
	case resp.StatusCode < 200 || resp.StatusCode > 299:
		return duty.Refusing
	case time.Since(began) > s.slowAfter:
		return duty.Slow
	}
	return duty.Answering
}

// reportFindings reports the findings since the last call to the balancer, each with its age.
func (s *Runner) reportFindings() {
	type found struct {
		name string
		age  time.Duration
		load float64
	}
	var findings []found
	s.mu.Lock()
	now := s.now()
	for name := range s.servers {
		state, age, _, ok := s.duty.Lookup(name)
		if seen := now - age; ok && age < maxFindingAge && seen > s.reportedAt[name] {
			s.reportedAt[name] = seen
			findings = append(findings, found{name, age, loadByState[state]})
		}
	}
	s.mu.Unlock()
	for _, finding := range findings {
		s.host.RecordReport(finding.name, finding.age, chalkrack.LoadReport{HasInFlight: true, InFlight: finding.load})
	}
}

// View is the state as shown to operators.
type View struct {
	duty.View
	Unread uint64 `json:"unread_notes"`
}

// View returns the current state.
func (s *Runner) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return View{s.duty.View(), s.unreadable}
}

// Close stops sending and receiving notes, and waits for the probes in flight.
func (s *Runner) Close() {
	if s == nil {
		return
	}
	s.cancel()
	if conn := s.conn.Load(); conn != nil {
		conn.Close()
	}
	s.wg.Wait()
	s.transport.CloseIdleConnections()
}
