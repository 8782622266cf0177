// Package duties hosts a duty.Duty: its socket for notes, its probes and its clock.
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
	tick = 100 * time.Millisecond
	// probesOut bounds the probes on their way, each of which holds a connection.
	probesOut = 16
	// Conns are the descriptors that it may hold: probes, their idle connections, and the
	// socket for notes.
	Conns = 2*probesOut + 1
	// fresh is how old a finding may be that the decision module is told of.
	fresh = 4 * time.Second
)

// What a finding counts as to the module, in requests held: it knows no other signs of a
// node's state than answers and loads.
var loads = map[duty.State]float64{duty.Answering: 0, duty.Slow: 3, duty.Refusing: 8, duty.Silent: 8}

// Core is told what was found.
type Core interface {
	Reported(name string, age time.Duration, r chalkrack.Report)
}

// Config is what it is made of.
type Config struct {
	Duty      duty.Config   // peers are named by their addresses, and As is As of their numbers
	Listen    string        // where notes come
	Inherited bool          // the process before may still have that port
	Key       []byte        // of notes; empty: they have no tag
	Path      string        // that is asked of a node
	Slow      time.Duration // an answer that takes longer is slow
	Timeout   time.Duration // of a probe
	Probing   bool          // nodes are probed, else notes are sent only
}

// As is the name that all sidecars know the one with a number by: a peer's address may
// differ from one sidecar to the next.
func As(n int) string { return fmt.Sprint("sidecar ", n) }

// Duties is the host. What is called of a nil one does nothing.
type Duties struct {
	host  Core
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

// New binds the port for notes, unless the process before still has it.
func New(c Config, host Core) (*Duties, error) {
	d, err := duty.New(c.Duty)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	at, err := net.ResolveUDPAddr("udp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("config: peer_listen: %w", err)
	}
	s := &Duties{host: host, start: time.Now(), d: d, key: c.Key, path: c.Path, slow: c.Slow, wait: c.Timeout,
		room: make(chan struct{}, probesOut), addrs: make(map[string]*net.UDPAddr), nodes: make(map[string]membership.Entry), told: make(map[string]time.Duration),
		http: &http.Transport{MaxConnsPerHost: 1, MaxIdleConns: probesOut, IdleConnTimeout: 3 * c.Duty.Every, DisableCompression: true}}
	s.ids, s.named, s.quiet = make(map[duty.ID]int), make([]string, len(c.Duty.Peers)+1), !c.Probing
	for _, p := range c.Duty.Peers {
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
	case !c.Inherited || !errors.Is(err, syscall.EADDRINUSE): // else the process before has it, till it ends
		return nil, fmt.Errorf("config: peer_listen: %w", err)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// Begin has it tell and hear. What its notes carry of others' is set before.
func (s *Duties) Begin() {
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
func (s *Duties) bind() bool {
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
	if s.ctx.Err() != nil { // Close did not see it
		s.conn.Load().Close()
		return false
	}
	return true
}

// Bound says that the port for notes is this process's.
func (s *Duties) Bound() bool { return s.conn.Load() != nil }

// Carries has notes carry a part of others', and hands what comes to them. It is called
// before Begin.
func (s *Duties) Carries(part func(room int) []byte, heard func(number int, inc uint64, part []byte)) {
	s.d.Carry(func(_ time.Duration, room int) []byte { return part(room) })
	s.heard = heard
}

// TellSome has peers told what there is to tell now: so many drawn, and those of a number.
func (s *Duties) TellSome(n int, numbers []int) {
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

func (s *Duties) now() time.Duration { return time.Since(s.start) }

// Listed takes what discovery says: only what it names is probed and told of.
func (s *Duties) Listed(l *membership.List) {
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
func (s *Duties) run() {
	t := time.NewTicker(tick)
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
func (s *Duties) read() {
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

func (s *Duties) carry(out duty.Out) {
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
func (s *Duties) probe(addr string) duty.State {
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
func (s *Duties) tell() {
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
		if seen := now - age; ok && age < fresh && seen > s.told[name] {
			s.told[name] = seen
			all = append(all, found{name, age, loads[state]})
		}
	}
	s.mu.Unlock()
	for _, f := range all {
		s.host.Reported(f.name, f.age, chalkrack.Report{HasInFlight: true, InFlight: f.load})
	}
}

// View is what operators see.
type View struct {
	duty.View
	Unread uint64 `json:"unread_notes"`
}

// View is what is held.
func (s *Duties) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return View{s.d.View(), s.bad}
}

// Close ends it and waits for its probes.
func (s *Duties) Close() {
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
