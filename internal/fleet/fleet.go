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

// Fleet holds the sidecar processes of a schedule with their stand-in servers, discovery and links.
type Fleet struct {
	schedule              *Schedule
	history               *History
	site                  *rig.Site
	dir                   string
	sidecarHost, linkHost string // loopback addresses on which sidecars and links listen
	sidecars              []*process
	discoveries           []*standin.Discovery // one for each sidecar, which lists the addresses of its own links
	links                 []*Link
	noteLinks             []*NoteLink
	cancel                context.CancelFunc
	wg                    sync.WaitGroup

	mu           sync.Mutex
	activeFaults map[int]Fault
}

// classes returns the classes for the settings of the sidecars, with the deadlines replaced by
// CallDeadline if the schedule has one.
func (s *Schedule) classes() []rig.Class {
	classes := rig.ActivationClasses()
	if s.CallDeadline > 0 {
		for n := range classes {
			classes[n].Deadline = time.Duration(s.CallDeadline)
			classes[n].Aim = min(classes[n].Aim, classes[n].Deadline)
		}
	}
	return classes
}

// New starts the stand-ins and the sidecar processes, and blocks until all sidecars serve. binary
// is the path of the built daemon. The caller must close the Fleet.
func New(ctx context.Context, schedule *Schedule, binary string) (*Fleet, error) {
	if err := schedule.Validate(); err != nil {
		return nil, err
	}
	fleet := &Fleet{schedule: schedule, history: &History{Header: Header{Schedule: schedule}, started: time.Now()}, activeFaults: make(map[int]Fault)}
	fleet.sidecarHost, fleet.linkHost = pickHosts()
	started := false
	defer func() {
		if !started {
			fleet.Close()
		}
	}()
	var err error
	if fleet.dir, err = os.MkdirTemp("", "fleet"); err != nil {
		return nil, err
	}
	var zones []string
	for n := range schedule.ServersPerZone * len(schedule.Zones) {
		zones = append(zones, schedule.serverZone(n))
	}
	fleet.site, err = rig.NewSite(rig.SiteConfig{Servers: len(zones), Classes: schedule.classes(), Zones: zones, StartWarm: true, ColdShare: schedule.ColdShare, WarmUpTime: time.Duration(schedule.WarmUpTime),
		Server: standin.ServerConfig{Script: fleet.script(standin.Action{}), RequestsPerSecond: schedule.ServerCapacity, ColdShare: schedule.ColdShare, WarmUpTime: time.Duration(schedule.WarmUpTime), FallFactor: schedule.FallFactor, FallFor: time.Duration(schedule.FallTime)}})
	if err != nil {
		return nil, err
	}
	if err := fleet.createSidecars(); err != nil {
		return nil, err
	}
	for n := range fleet.sidecars {
		fleet.sidecars[n].binary = binary
		if err := fleet.prepareSidecar(n); err != nil {
			return nil, err
		}
	}
	for _, p := range fleet.sidecars {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range fleet.sidecars {
		if err := p.awaitReady(ctx); err != nil {
			return nil, fmt.Errorf("%w; last line of its log: %s", err, fleet.lastLogLine(p.party))
		}
	}
	started = true
	return fleet, nil
}

// lastLogLine returns the last recorded log line of a sidecar, or "" if there is none.
func (f *Fleet) lastLogLine(party Party) (line string) {
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for _, e := range f.history.Events {
		if e.Kind == EventLogLine && e.Party == party {
			line = e.Detail
		}
	}
	return line
}

// script returns a script that always does act, by default after the WorkTime of the schedule.
func (f *Fleet) script(act standin.Action) standin.Script {
	if act.Delay == 0 {
		act.Delay = time.Duration(f.schedule.WorkTime)
	}
	return standin.Always(act)
}

// startedRuns counts the fleets that this program has started.
var startedRuns atomic.Uint32

// pickHosts returns the loopback addresses on which the sidecars and the links of a run listen.
// They differ from 127.0.0.1, so that no outgoing connection takes a port of a link that refuses or
// of a sidecar that was killed before it listens there again. Each run has its own addresses: a
// port is free from the time it is chosen until its sidecar listens, and a sidecar of another run
// could otherwise take it and answer instead.
func pickHosts() (sidecars, links string) {
	pid, run := os.Getpid(), 2+2*(int(startedRuns.Add(1))%120)
	base := fmt.Sprintf("127.%d.%d.", 1+pid>>8&0x7f, pid&0xff)
	return base + strconv.Itoa(run), base + strconv.Itoa(run+1)
}

// createSidecars adds a process for each sidecar, with a free port for its clients. If the schedule
// upgrades the sidecar, the listening socket stays open for both of its processes.
func (f *Fleet) createSidecars() error {
	var listeners []interface{ Close() error }
	defer func() {
		for _, c := range listeners {
			c.Close()
		}
	}()
	for n := range f.schedule.Sidecars {
		listener, err := net.Listen("tcp", f.sidecarHost+":0")
		if err != nil {
			return err
		}
		listeners = append(listeners, listener)
		p := &process{party: sidecarParty(n), clientAddr: listener.Addr().String(), history: f.history}
		if f.schedule.isUpgraded(p.party) {
			if p.clientSocket, err = listener.(*net.TCPListener).File(); err != nil {
				return err
			}
		}
		f.sidecars = append(f.sidecars, p)
	}
	return nil
}

// prepareSidecar creates the links, the discovery and the configuration files of the n-th sidecar.
func (f *Fleet) prepareSidecar(n int) error {
	p := f.sidecars[n]
	p.dir = filepath.Join(f.dir, fmt.Sprint(n+1))
	if err := os.Mkdir(p.dir, 0o700); err != nil {
		return err
	}
	seed := f.schedule.Seed<<16 + uint64(n)
	var endpoints []standin.Endpoint
	for i, server := range f.site.Servers {
		link, err := NewLink(f.linkHost, p.party, serverParty(server.Name()), server.Addr(), seed<<8+uint64(i))
		if err != nil {
			return err
		}
		f.links = append(f.links, link)
		endpoint := f.site.Endpoint(i, "up")
		endpoint.Address = link.Addr()
		endpoint.SinceMs = 0 // all servers are warm at the start
		endpoints = append(endpoints, endpoint)
	}
	discovery, err := standin.NewDiscovery(endpoints...)
	if err != nil {
		return err
	}
	f.discoveries = append(f.discoveries, discovery)
	discoveryLink, err := NewLink(f.linkHost, p.party, "discovery", discovery.Addr(), seed<<8+255)
	if err != nil {
		return err
	}
	f.links = append(f.links, discoveryLink)
	if n == 0 {
		if err := f.createNoteLinks(); err != nil {
			return err
		}
	}
	var config map[string]any
	if err := json.Unmarshal(f.site.PlatformConfig(p.clientAddr, seed|1<<60), &config); err != nil {
		return err
	}
	config["name"], config["discovery"] = fmt.Sprintf("n%d", n+1), discoveryLink.Addr()
	config["known"].(map[string]any)["endpoints"] = endpoints
	config["peer_listen"] = f.sidecars[n].noteAddr
	config["peers"] = f.peerAddresses(n)
	settings := config["settings"].(map[string]any)
	settings["rank"], settings["zone"] = n, f.schedule.sidecarZone(n)
	settings["replicasOfMe"] = f.schedule.Sidecars
	if f.schedule.ClaimedSidecars > 0 {
		settings["replicasOfMe"] = f.schedule.ClaimedSidecars
	}
	configJSON, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath(), configJSON, 0o600); err != nil {
		return err
	}
	features := strings.ReplaceAll(f.schedule.Features, "@SOCKET@", p.socketPath())
	features = strings.ReplaceAll(features, "@DIR@", p.dir)
	return os.WriteFile(p.featuresPath(), []byte(features), 0o600)
}

// createNoteLinks assigns each sidecar an address for notes and creates a link for each ordered
// pair of sidecars.
func (f *Fleet) createNoteLinks() error {
	var conns []*net.UDPConn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for _, p := range f.sidecars {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(f.sidecarHost)})
		if err != nil {
			return err
		}
		conns = append(conns, c)
		p.noteAddr = c.LocalAddr().String()
	}
	for i, from := range f.sidecars {
		for j, to := range f.sidecars {
			if i == j {
				continue
			}
			link, err := NewNoteLink(f.linkHost, from.party, to.party, conns[j].LocalAddr().(*net.UDPAddr), f.schedule.Seed<<20+uint64(i*MaxSidecars+j))
			if err != nil {
				return err
			}
			f.noteLinks = append(f.noteLinks, link)
		}
	}
	return nil
}

// peerAddresses returns the addresses at which the n-th sidecar reaches all sidecars, ordered by
// number. Its own entry is the address on which it listens for notes.
func (f *Fleet) peerAddresses(n int) (addresses []string) {
	next := n * (len(f.sidecars) - 1)
	for i := range f.sidecars {
		if i == n {
			addresses = append(addresses, f.sidecars[n].noteAddr)
			continue
		}
		addresses = append(addresses, f.noteLinks[next].Addr())
		next++
	}
	return addresses
}

// Socket returns the path of the admin socket of the n-th sidecar, counted from 0.
func (f *Fleet) Socket(n int) string { return f.sidecars[n].socketPath() }

// History returns the history of the run. It must not be read before Play has returned.
func (f *Fleet) History() *History { return f.history }

// findServer returns the stand-in server of a party and its index, or nil and -1.
func (f *Fleet) findServer(party Party) (*standin.Server, int) {
	for n, server := range f.site.Servers {
		if serverParty(server.Name()) == party {
			return server, n
		}
	}
	return nil, -1
}

// findSidecar returns the process of a party, or nil if the party is not a sidecar.
func (f *Fleet) findSidecar(party Party) *process {
	for _, sidecar := range f.sidecars {
		if sidecar.party == party {
			return sidecar
		}
	}
	return nil
}

// Close ends all processes, links and stand-ins that the fleet started, and deletes its directory.
func (f *Fleet) Close() error {
	if f.cancel != nil {
		f.cancel()
	}
	f.wg.Wait()
	var closing sync.WaitGroup
	for _, p := range f.sidecars {
		p.stopStarving()
		closing.Go(func() {
			p.signal(sigCont)
			p.kill()
			if p.clientSocket != nil {
				p.clientSocket.Close()
			}
		})
	}
	closing.Wait()
	for _, n := range f.noteLinks {
		n.Close()
	}
	for _, l := range f.links {
		closing.Go(l.Close)
	}
	closing.Wait()
	for _, d := range f.discoveries {
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
