package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// Fleet is the processes of a schedule and all that stands round them.
type Fleet struct {
	s            *Schedule
	h            *History
	site         *rig.Site
	dir          string
	host, linked string // where sidecars listen, and links
	cars         []*process
	finders      []*standin.Discovery // one for each sidecar: what it is told has its own addresses
	links        []*Link
	notes        []*Notes
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu     sync.Mutex
	active map[int]Fault
}

// classes are those of the schedule, by whose settings the sidecars live.
func (s *Schedule) classes() []rig.Class {
	all := rig.Activation()
	if s.Wait > 0 {
		for n := range all {
			all[n].Deadline = time.Duration(s.Wait)
			all[n].Aim = min(all[n].Aim, all[n].Deadline)
		}
	}
	return all
}

// New starts the stand-ins and the sidecars' processes, and waits until all serve. binary
// is the built daemon.
func New(ctx context.Context, s *Schedule, binary string) (*Fleet, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	f := &Fleet{s: s, h: &History{Head: Head{Schedule: s}, began: time.Now()}, active: make(map[int]Fault)}
	f.host, f.linked = hosts()
	ok := false
	defer func() {
		if !ok {
			f.Close()
		}
	}()
	var err error
	if f.dir, err = os.MkdirTemp("", "fleet"); err != nil {
		return nil, err
	}
	var zones []string
	for n := range s.Servers * len(s.Zones) {
		zones = append(zones, s.zoneOf(n))
	}
	f.site, err = rig.NewSite(rig.SiteConfig{Servers: len(zones), Classes: s.classes(), Zones: zones, Warm: true, ColdFrom: s.ColdFrom, ColdFor: time.Duration(s.ColdFor),
		Server: standin.ServerConfig{Script: f.script(standin.Act{}), Rate: s.Capacity, Cold: s.ColdFrom, WarmIn: time.Duration(s.ColdFor), FallFactor: s.Fall, FallFor: time.Duration(s.FallFor)}})
	if err != nil {
		return nil, err
	}
	if err := f.addresses(); err != nil {
		return nil, err
	}
	for n := range f.cars {
		f.cars[n].binary = binary
		if err := f.prepare(n); err != nil {
			return nil, err
		}
	}
	for _, p := range f.cars {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range f.cars {
		if err := p.ready(ctx); err != nil {
			return nil, fmt.Errorf("%w; its log ends: %s", err, f.lastLine(p.party))
		}
	}
	ok = true
	return f, nil
}

func (f *Fleet) lastLine(who Party) (line string) {
	f.h.mu.Lock()
	defer f.h.mu.Unlock()
	for _, e := range f.h.Events {
		if e.Kind == Logged && e.Who == who {
			line = e.What
		}
	}
	return line
}

// script serves after the schedule's work, or as an act says.
func (f *Fleet) script(a standin.Act) standin.Script {
	if a.Delay == 0 {
		a.Delay = time.Duration(f.s.Work)
	}
	return standin.Always(a)
}

var runs atomic.Uint32

// hosts are where a run's sidecars listen, and its links: no connection that goes out from
// 127.0.0.1 takes a port there, so that one that refuses, or was killed, can have it again.
// Each run has its own: a port is free between when it is picked and when its sidecar listens,
// and another run's sidecar there would answer in its name.
func hosts() (sidecars, links string) {
	pid, n := os.Getpid(), 2+2*(int(runs.Add(1))%120)
	base := fmt.Sprintf("127.%d.%d.", 1+pid>>8&0x7f, pid&0xff)
	return base + strconv.Itoa(n), base + strconv.Itoa(n+1)
}

// addresses picks one for each sidecar's clients and one for its notes, free now at an
// address that nobody goes out from.
func (f *Fleet) addresses() error {
	var held []interface{ Close() error }
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for n := range f.s.Sidecars {
		ln, err := net.Listen("tcp", f.host+":0")
		if err != nil {
			return err
		}
		held = append(held, ln)
		p := &process{party: sidecarParty(n), listen: ln.Addr().String(), h: f.h}
		if f.s.upgrades(p.party) {
			if p.held, err = ln.(*net.TCPListener).File(); err != nil {
				return err
			}
		}
		f.cars = append(f.cars, p)
	}
	return nil
}

// prepare readies one sidecar's links, discovery and files.
func (f *Fleet) prepare(n int) error {
	p := f.cars[n]
	p.dir = filepath.Join(f.dir, fmt.Sprint(n+1))
	if err := os.Mkdir(p.dir, 0o700); err != nil {
		return err
	}
	seed := f.s.Seed<<16 + uint64(n)
	var list []standin.Endpoint
	for i, server := range f.site.Servers {
		l, err := NewLink(f.linked, p.party, serverParty(server.Name()), server.Addr(), seed<<8+uint64(i))
		if err != nil {
			return err
		}
		f.links = append(f.links, l)
		e := f.site.Endpoint(i, "up")
		e.Address = l.Addr()
		e.SinceMs = 0 // warm, all of them, at the beginning
		list = append(list, e)
	}
	d, err := standin.NewDiscovery(list...)
	if err != nil {
		return err
	}
	f.finders = append(f.finders, d)
	finder, err := NewLink(f.linked, p.party, "discovery", d.Addr(), seed<<8+255)
	if err != nil {
		return err
	}
	f.links = append(f.links, finder)
	if n == 0 {
		if err := f.peers(); err != nil {
			return err
		}
	}
	var tree map[string]any
	if err := json.Unmarshal(f.site.JSON(p.listen, seed|1<<60), &tree); err != nil {
		return err
	}
	tree["name"], tree["discovery"] = fmt.Sprintf("n%d", n+1), finder.Addr()
	tree["known"].(map[string]any)["endpoints"] = list
	tree["peer_listen"] = f.cars[n].notes
	tree["peers"] = f.peersOf(n)
	set := tree["settings"].(map[string]any)
	set["rank"], set["zone"] = n, f.s.homeOf(n)
	set["replicasOfMe"] = f.s.Sidecars
	if f.s.Claimed > 0 {
		set["replicasOfMe"] = f.s.Claimed
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.config(), text, 0o600); err != nil {
		return err
	}
	own := strings.ReplaceAll(f.s.Features, "@SOCKET@", p.socket())
	own = strings.ReplaceAll(own, "@DIR@", p.dir)
	return os.WriteFile(p.features(), []byte(own), 0o600)
}

// peers gives each sidecar an address for notes, and each pair a link.
func (f *Fleet) peers() error {
	var held []*net.UDPConn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for _, p := range f.cars {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(f.host)})
		if err != nil {
			return err
		}
		held = append(held, c)
		p.notes = c.LocalAddr().String()
	}
	for i, from := range f.cars {
		for j, to := range f.cars {
			if i == j {
				continue
			}
			l, err := NewNotes(f.linked, from.party, to.party, held[j].LocalAddr().(*net.UDPAddr), f.s.Seed<<20+uint64(i*SidecarsMost+j))
			if err != nil {
				return err
			}
			f.notes = append(f.notes, l)
		}
	}
	return nil
}

// peersOf is where a sidecar reaches each of the tier, in the order of their numbers.
func (f *Fleet) peersOf(n int) (all []string) {
	at := n * (len(f.cars) - 1)
	for i := range f.cars {
		if i == n {
			all = append(all, f.cars[n].notes)
			continue
		}
		all = append(all, f.notes[at].Addr())
		at++
	}
	return all
}

// Socket is the operators' socket of the n-th sidecar, from 0.
func (f *Fleet) Socket(n int) string { return f.cars[n].socket() }

// History is what has been seen so far. It must not be read while the run goes on.
func (f *Fleet) History() *History { return f.h }

// server is the stand-in of a party.
func (f *Fleet) server(p Party) (*standin.Server, int) {
	for n, s := range f.site.Servers {
		if serverParty(s.Name()) == p {
			return s, n
		}
	}
	return nil, -1
}

// car is the process of a party, nil where it is no sidecar.
func (f *Fleet) car(p Party) *process {
	for _, c := range f.cars {
		if c.party == p {
			return c
		}
	}
	return nil
}

// Close ends all that it started.
func (f *Fleet) Close() error {
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
	var wait sync.WaitGroup
	for _, p := range f.cars {
		p.unslice()
		wait.Go(func() {
			p.signal(syscallCont)
			p.kill()
			if p.held != nil {
				p.held.Close()
			}
		})
	}
	wait.Wait()
	for _, n := range f.notes {
		n.Close()
	}
	for _, l := range f.links {
		wait.Go(l.Close)
	}
	wait.Wait()
	for _, d := range f.finders {
		d.Close()
	}
	if f.site != nil {
		f.site.Close()
	}
	if f.dir == "" {
		return nil
	}
	return os.RemoveAll(f.dir)
}
