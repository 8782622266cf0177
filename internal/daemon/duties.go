package daemon

import (
	"context"
	"encoding/json"
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
	"chalkrack/internal/core"
	"chalkrack/internal/duty"
	"chalkrack/internal/membership"
)

const (
	dutyTick = 100 * time.Millisecond
	// probesOut bounds the probes on their way, each of which holds a connection.
	probesOut = 16
	// dutyFresh is how old a finding may be that the decision module is told of.
	dutyFresh = 4 * time.Second
)

// What a finding counts as to the module, in requests held: it knows no other signs of a
// node's state than answers and loads.
var dutyLoad = map[duty.State]float64{duty.Answering: 0, duty.Slow: 3, duty.Refusing: 8, duty.Silent: 8}

// dutyConns are the descriptors that duties may hold: probes, their idle connections, and
// the socket for notes.
func dutyConns(c *Config) int {
	if !c.Features.Duty.Enabled {
		return 0
	}
	return 2*probesOut + 1
}

// duties is the host of a duty.Duty: its socket, its probes and its clock.
type duties struct {
	host  *core.Host
	start time.Time
	at    *net.UDPAddr
	conn  atomic.Pointer[net.UDPConn] // nil: another process of this sidecar still has the port
	key   []byte
	path  string
	slow  time.Duration
	wait  time.Duration
	http  *http.Transport
	room  chan struct{}
	addrs map[string]*net.UDPAddr                   // of peers, by name, which is their address
	ids   map[duty.ID]int                           // the numbers of peers
	named []string                                  // and their names, by number
	quiet bool                                      // nobody is probed
	heard func(number int, inc uint64, part []byte) // takes others' parts of notes; nil: nobody does
	stop  context.CancelFunc
	ctx   context.Context
	wg    sync.WaitGroup

	mu    sync.Mutex
	d     *duty.Duty
	nodes map[string]membership.Entry // that serve
	told  map[string]time.Duration    // when what was last told of a node was seen
	bad   uint64                      // notes that could not be read
}

// dutyConfig is package duty's, from the platform's peers and the operators' file.
func dutyConfig(c *Config, inc uint64) (duty.Config, string, error) {
	var raw struct {
		PeerListen string `json:"peer_listen"`
		Peers      []string
		Settings   struct{ Rank int }
	}
	if err := json.Unmarshal(c.platform, &raw); err != nil {
		return duty.Config{}, "", fmt.Errorf("config: %w", err)
	}
	f := &c.Features.Duty
	if raw.PeerListen == "" || raw.Settings.Rank < 0 || raw.Settings.Rank >= len(raw.Peers) {
		return duty.Config{}, "", errors.New("features: duty.enabled: the platform's configuration names no peers with this sidecar among them")
	}
	cfg := duty.Config{Inc: inc, Seed: c.seed, Watchers: f.Watchers, Every: time.Duration(f.Every), Step: time.Duration(f.Step), Period: time.Duration(f.Period), AckWait: time.Duration(f.AckWait),
		Helpers: f.Helpers, Suspect: time.Duration(f.Suspect), Spread: f.Spread, Probes: f.Probes, PerNode: f.PerNode, Notes: f.Notes, Remember: time.Duration(f.Remember), Keyed: f.Key != ""}
	for n, addr := range raw.Peers {
		zone, known := f.Zones[addr]
		if len(f.Zones) > 0 && !known {
			return cfg, "", fmt.Errorf("features: duty.zones: %s has none", addr)
		}
		// By number: a peer's address may differ from one sidecar to the next.
		as := asPeer(n)
		if n == raw.Settings.Rank {
			cfg.Self, cfg.As, cfg.Zone = addr, as, zone
		} else {
			cfg.Peers = append(cfg.Peers, duty.Peer{Name: addr, As: as, Zone: zone})
		}
	}
	if err := cfg.Validate(); err != nil {
		return cfg, "", fmt.Errorf("features: %w", err)
	}
	return cfg, raw.PeerListen, nil
}

// asPeer is the name that all sidecars know the one with a number by.
func asPeer(n int) string { return fmt.Sprint("sidecar ", n) }

// newDuties returns nil where [duty] is off.
func newDuties(c *Config, host *core.Host) (*duties, error) {
	if !c.Features.Duty.Enabled {
		return nil, nil
	}
	if !c.settings.Config.Probes && c.settings.Config.ProbeCost > 0 {
		slog.Info("duty: the platform prices probes", "probe", c.settings.Config.ProbeCost)
	}
	cfg, listen, err := dutyConfig(c, uint64(time.Now().UnixMilli()))
	if err != nil {
		return nil, err
	}
	d, err := duty.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("config: peer_listen: %w", err)
	}
	f := &c.Features.Duty
	s := &duties{host: host, start: time.Now(), d: d, key: []byte(f.Key), path: f.Path, slow: time.Duration(f.Slow), wait: time.Duration(f.Timeout),
		room: make(chan struct{}, probesOut), addrs: make(map[string]*net.UDPAddr), nodes: make(map[string]membership.Entry), told: make(map[string]time.Duration),
		http: &http.Transport{MaxConnsPerHost: 1, MaxIdleConns: probesOut, IdleConnTimeout: 3 * time.Duration(f.Every), DisableCompression: true}}
	s.ids, s.named, s.quiet = make(map[duty.ID]int), make([]string, len(cfg.Peers)+1), !f.Probing
	for _, p := range cfg.Peers {
		var n int
		fmt.Sscanf(p.As, "sidecar %d", &n)
		s.ids[duty.IDOf(p.As)], s.named[n] = n, p.Name
		if s.addrs[p.Name], err = net.ResolveUDPAddr("udp", p.Name); err != nil {
			return nil, fmt.Errorf("config: peers: %w", err)
		}
	}
	s.at = at
	conn, err := net.ListenUDP("udp", at)
	switch {
	case err == nil:
		s.conn.Store(conn)
	case c.inherited == 0 || !errors.Is(err, syscall.EADDRINUSE): // else the process before has it, till it ends
		return nil, fmt.Errorf("config: peer_listen: %w", err)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// begin has it tell and hear. What its notes carry of others' is set before.
func (s *duties) begin() {
	if s != nil {
		s.wg.Go(func() {
			if s.bind() {
				s.read()
			}
		})
		s.wg.Go(s.run)
	}
}

// bindEach is how often a process tries to have the port that the one before it has.
const bindEach = 50 * time.Millisecond

// bind waits until the port is this process's; false: it ends.
func (s *duties) bind() bool {
	for s.conn.Load() == nil {
		select {
		case <-s.ctx.Done():
			return false
		case <-time.After(bindEach):
		}
		if conn, err := net.ListenUDP("udp", s.at); err == nil {
			s.conn.Store(conn)
			slog.Info("duty: the port for notes is free", "listen", s.at)
		}
	}
	if s.ctx.Err() != nil { // close did not see it
		s.conn.Load().Close()
		return false
	}
	return true
}

// carry has notes carry a part of others', and hands what comes to them. It is called
// before begin.
func (s *duties) carries(part func(room int) []byte, heard func(number int, inc uint64, part []byte)) {
	s.d.Carry(func(_ time.Duration, room int) []byte { return part(room) })
	s.heard = heard
}

// tellSome has peers told what there is to tell now: so many drawn, and those of a number.
func (s *duties) tellSome(n int, numbers []int) {
	var names []string
	for _, i := range numbers {
		if i >= 0 && i < len(s.named) && s.named[i] != "" {
			names = append(names, s.named[i])
		}
	}
	s.mu.Lock()
	out := s.d.TellSome(s.now(), n, names...)
	s.mu.Unlock()
	s.carry(out)
}

func (s *duties) now() time.Duration { return time.Since(s.start) }

// listed takes what discovery says: only what it names is probed and told of.
func (s *duties) listed(l *membership.List) {
	if s.quiet {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Whole {
		clear(s.nodes)
	}
	for _, e := range l.Entries {
		if e.State == chalkrack.Serving {
			s.nodes[e.Name] = e
		} else {
			delete(s.nodes, e.Name)
		}
	}
	all := make([]duty.Node, 0, len(s.nodes))
	for name, e := range s.nodes {
		all = append(all, duty.Node{Name: name, Zone: e.Zone})
	}
	for name := range s.told {
		if _, ok := s.nodes[name]; !ok {
			delete(s.told, name)
		}
	}
	s.d.Nodes(s.now(), all)
}

// run ticks until the end.
func (s *duties) run() {
	t := time.NewTicker(dutyTick)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		out := s.d.Tick(s.now())
		s.mu.Unlock()
		s.carry(out)
		s.tell()
	}
}

// read takes notes until the end. Who sent one is told by its sender's id, as peers may be
// reached by other addresses than they send from; a key is what keeps others out.
func (s *duties) read() {
	b := make([]byte, 2*duty.NoteMost)
	for {
		n, _, err := s.conn.Load().ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of a peer whose port is closed
		}
		note, err := duty.Parse(b[:n], s.key)
		s.mu.Lock()
		if err != nil {
			s.bad++
			s.mu.Unlock()
			continue
		}
		out := s.d.Receive(s.now(), note)
		s.mu.Unlock()
		s.carry(out)
		if n, known := s.ids[note.From]; known && s.heard != nil && len(note.Part) > 0 {
			s.heard(n, note.Inc, note.Part)
		}
	}
}

func (s *duties) carry(out duty.Out) {
	var b [duty.NoteMost]byte
	conn := s.conn.Load()
	for _, o := range out.Notes {
		if conn == nil {
			break
		}
		conn.WriteToUDP(o.Note.Append(b[:0], s.key), s.addrs[o.To])
	}
	for _, name := range out.Probes {
		s.mu.Lock()
		e, ok := s.nodes[name]
		s.mu.Unlock()
		if !ok {
			continue
		}
		select {
		case s.room <- struct{}{}:
		default: // as many are out as may be: it stays due by its age
			continue
		}
		s.wg.Go(func() {
			defer func() { <-s.room }()
			state := s.probe(e.Address)
			if s.ctx.Err() != nil {
				return
			}
			s.mu.Lock()
			s.d.Probed(s.now(), e.Name, state)
			s.mu.Unlock()
		})
	}
}

// probe asks a node.
func (s *duties) probe(addr string) duty.State {
	ctx, cancel := context.WithTimeout(s.ctx, s.wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+s.path, nil)
	if err != nil {
		return duty.Silent
	}
	began := time.Now()
	resp, err := s.http.RoundTrip(r)
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
	case time.Since(began) > s.slow:
		return duty.Slow
	}
	return duty.Answering
}

// tell hands the module what was found since it was last told, as a report of the time
// when it was seen.
func (s *duties) tell() {
	type found struct {
		name string
		age  time.Duration
		load float64
	}
	var all []found
	s.mu.Lock()
	now := s.now()
	for name := range s.nodes {
		state, age, _, ok := s.d.Known(name)
		if seen := now - age; ok && age < dutyFresh && seen > s.told[name] {
			s.told[name] = seen
			all = append(all, found{name, age, dutyLoad[state]})
		}
	}
	s.mu.Unlock()
	for _, f := range all {
		s.host.Reported(f.name, f.age, chalkrack.Report{HasInFlight: true, InFlight: f.load})
	}
}

// DutyView is what operators see.
type DutyView struct {
	duty.View
	Unread uint64 `json:"unread_notes"`
}

func (s *duties) view() DutyView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return DutyView{s.d.View(), s.bad}
}

func (s *duties) close() {
	if s == nil {
		return
	}
	s.stop()
	if conn := s.conn.Load(); conn != nil {
		conn.Close()
	}
	s.wg.Wait()
	s.http.CloseIdleConnections()
}
