// Package proxy is the RADIUS proxy. It has one listener for access requests and one for
// accounting requests, and for each realm a core host with the realm's servers, which chooses
// a server for each call with the same decision module as for HTTP.
package proxy

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/features"
	"chalkrack/internal/membership"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/conversation"
	"chalkrack/internal/radius/listener"
	"chalkrack/internal/radius/replies"
	"chalkrack/internal/radius/transport"
	"chalkrack/internal/settings"
)

// Config holds the settings of a Proxy.
type Config struct {
	Radius features.Radius
	// Platform holds the settings of the platform that apply to RADIUS as well: the number of
	// instances, the zone, and the handling of cold servers.
	Platform   chalkrack.Config
	DrainGrace time.Duration // how long a server that discovery has removed may still get new attempts
	Seed       uint64        // for the random choices of the decision modules

	// AddServers registers the servers of a realm for the operators' calls. It returns the function that
	// takes their lists and passes them to forward with the operators' changes; nil: there are none.
	AddServers func(name string, forward func(*membership.List)) (applyList func(*membership.List))

	// Listen and Dial replace UDP sockets in tests. If nil, UDP is used.
	Listen func(address string) listener.Conn
	Dial   func(netip.AddrPort) (transport.Conn, error)
}

// Proxy is a running RADIUS proxy, created by New.
type Proxy struct {
	cfg       Config
	services  []*service
	stop      chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
}

// service is the access or the accounting part of a Proxy.
type service struct {
	name       string
	accounting bool
	listener   *listener.Listener
	pools      map[string]*realmPool // by realm in lower case; "" for realms that no server names
	class      features.RadiusClass
	watcher    *discovery.Watcher // nil for a fixed list of servers
}

// realmPool holds the servers of a realm and the core host that chooses among them.
type realmPool struct {
	host      *core.Host
	transport *transport.Transport
	applyList func(*membership.List) // passes a list on, with the operators' changes, to host

	// probes is a separate transport from which no server is ever removed, so that a server
	// that is down is still probed.
	probes  *transport.Transport
	mu      sync.Mutex         // guards health
	servers []membership.Entry // the fixed list; empty with discovery. It never changes.
	health  *health
}

// New opens the listeners and starts to serve, to watch discovery and to probe servers. If it
// returns an error, it has closed all that it opened.
func New(cfg Config) (*Proxy, error) {
	p := &Proxy{cfg: cfg, stop: make(chan struct{})}
	section := &cfg.Radius
	for _, s := range []struct {
		accounting                bool
		name                      string
		listenAddr, discoveryAddr string
		class                     features.RadiusClass
	}{{false, "access", section.Auth, section.AuthDiscovery, section.Access}, {true, "accounting", section.Acct, section.AcctDiscovery, section.Accounting}} {
		if s.listenAddr == "" {
			continue
		}
		if err := p.addService(s.accounting, s.name, s.listenAddr, s.discoveryAddr, s.class); err != nil {
			p.Close()
			return nil, err
		}
	}
	for _, s := range p.services {
		p.wg.Go(s.listener.Serve)
		if s.watcher != nil {
			p.wg.Go(s.watcher.Run)
		}
		if section.ProbeInterval > 0 {
			for _, pool := range s.pools {
				p.wg.Go(func() { p.probeServers(s, pool) })
			}
		}
	}
	return p, nil
}

// addService opens the listener of access or accounting and creates a pool for each realm. It
// adds the service to p even if it fails, so that Close closes what was opened.
func (p *Proxy) addService(accounting bool, name, listenAddr, discoveryAddr string, class features.RadiusClass) error {
	section := &p.cfg.Radius
	secrets := make(map[string][]byte)
	entriesByRealm := make(map[string][]membership.Entry)
	for _, server := range section.Servers {
		addr := server.Auth
		if accounting {
			addr = server.Acct
		}
		if addr == "" {
			continue
		}
		secrets[server.Name] = []byte(server.Secret)
		realms := server.Realms
		if len(realms) == 0 {
			realms = []string{""}
		}
		for _, realm := range realms {
			realm = strings.ToLower(realm)
			entriesByRealm[realm] = append(entriesByRealm[realm], membership.Entry{Endpoint: chalkrack.Endpoint{Name: server.Name, Zone: server.Zone, Hint: 1}, Address: addr})
		}
	}
	secretOf := func(server string) []byte { return secrets[server] }
	if discoveryAddr != "" {
		entriesByRealm[""] = nil
		secretOf = func(string) []byte { return []byte(section.DiscoverySecret) }
	}
	service := &service{name: name, accounting: accounting, class: class, pools: make(map[string]*realmPool)}
	p.services = append(p.services, service)
	for realm, entries := range entriesByRealm {
		pool, err := p.newPool(name, class, secretOf, uint64(len(p.services)*1000+len(service.pools)))
		if err != nil {
			return fmt.Errorf("radius: cannot set up the servers of a realm: %w", err)
		}
		service.pools[realm] = pool
		pool.applyList = pool.host.ApplyList
		if p.cfg.AddServers != nil {
			pool.applyList = p.cfg.AddServers(name+" "+realm, pool.host.ApplyList)
		}
		pool.servers = entries
		if discoveryAddr == "" {
			pool.applyServers(0)
		}
	}
	if discoveryAddr != "" {
		pool := service.pools[""]
		service.watcher = &discovery.Watcher{Addr: discoveryAddr, Timing: discovery.AgentTiming, OnList: pool.applyList, OnError: pool.host.DiscoveryFailed}
	}
	var clients []listener.Client
	for _, client := range section.Clients {
		prefix, err := netip.ParsePrefix(client.Range)
		if err != nil {
			addr, addrErr := netip.ParseAddr(client.Range)
			if addrErr != nil {
				return fmt.Errorf("radius: a client's range is neither an IP address nor a prefix: %w", err)
			}
			prefix = netip.PrefixFrom(addr, addr.BitLen())
		}
		clients = append(clients, listener.Client{Name: cmp.Or(client.Name, client.Range), Range: prefix, Secret: []byte(client.Secret), AllowUnsigned: client.AllowUnsigned})
	}
	var conn listener.Conn
	if p.cfg.Listen != nil {
		conn = p.cfg.Listen(listenAddr)
	}
	var err error
	service.listener, err = listener.Listen(listenAddr, listener.Config{
		Conn:           conn,
		Accounting:     accounting,
		Clients:        clients,
		HostForRealm:   service.hostForRealm,
		Class:          name,
		AnswerTimeout:  time.Duration(class.Deadline),
		Replies:        replies.Config{TTL: time.Duration(section.RememberTTL), MaxBytes: section.MaxRememberBytes, MaxBytesPerClient: section.MaxRememberBytesPerClient, MaxCallsPerClient: section.MaxCallsPerClient},
		Conversations:  conversation.Config{TTL: time.Duration(section.ConversationTTL), MaxEntries: section.MaxConversations},
		SilentOnGiveUp: section.OnGiveUp == "silent",
		ErrorCause:     uint32(section.ErrorCause),
	})
	if err == nil && accounting && section.RememberFile != "" {
		loadRemembered(service.listener, section.RememberFile, section.MaxRememberBytes)
	}
	return err
}

// hostForRealm returns the core host of a realm. If no server names the realm, it returns the
// host of the servers without realms, or nil if there are none.
func (s *service) hostForRealm(realm string) *core.Host {
	pool := s.pools[strings.ToLower(realm)]
	if pool == nil {
		pool = s.pools[""]
	}
	if pool == nil {
		return nil
	}
	return pool.host
}

// newPool creates a pool without servers. seedOffset differs between the pools of a Proxy, so
// that their random choices are independent.
func (p *Proxy) newPool(name string, class features.RadiusClass, secretOf func(string) []byte, seedOffset uint64) (*realmPool, error) {
	cfg := p.cfg.Platform
	effect := chalkrack.Unsafe
	if class.Effect == "safe" {
		effect = chalkrack.Safe
	}
	cfg.Classes = []chalkrack.Class{{Aim: time.Duration(class.Aim), Worth: class.Worth, LateWorth: 1, Effect: effect}}
	cfg.Tenants, cfg.Probes, cfg.AskWithin = nil, false, 0
	cfg.MaxAttempts, cfg.MayCancel, cfg.SecondCopies = p.cfg.Radius.MaxAttempts, true, false
	classSettings, err := settings.New(cfg, []string{name}, []time.Duration{time.Duration(class.Deadline)})
	if err != nil {
		return nil, err
	}
	transportConfig := transport.Config{
		Secret:               secretOf,
		MaxSocketsPerServer:  p.cfg.Radius.MaxSocketsPerServer,
		LateAnswerTTL:        time.Duration(p.cfg.Radius.LateAnswerTTL),
		AttemptTimeout:       time.Duration(class.AttemptTimeout),
		ResendDelay:          time.Duration(class.ResendDelay),
		MaxResends:           class.MaxResends,
		AllowUnsignedAnswers: p.cfg.Radius.AllowUnsignedAnswers,
		Grace:                p.cfg.DrainGrace,
		Dial:                 p.cfg.Dial,
		OnPortRefused:        p.portRefused,
	}
	callTransport := transport.New(transportConfig)
	transportConfig.MaxSocketsPerServer, transportConfig.MaxResends = 1, 0
	host, err := core.New(core.Config{Settings: classSettings, Seed: p.cfg.Seed + seedOffset, Transport: callTransport})
	if err != nil {
		return nil, err
	}
	host.SetReady(true)
	return &realmPool{host: host, transport: callTransport, probes: transport.New(transportConfig), health: newHealth(p.cfg.Radius.MaxProbeMisses)}, nil
}

// portRefused tells all transports that the port of a server has refused a packet or a probe: the realms
// share servers, and access and accounting may be at one port.
func (p *Proxy) portRefused(addr netip.AddrPort) {
	for _, s := range p.services {
		for _, pool := range s.pools {
			pool.transport.PortRefused(addr)
		}
	}
}

// applyServers gives the core host the fixed list of servers. Servers that are down by their probes
// are marked as draining; servers that came back have the time of their return as their start.
// probeStart is the time at which probing started, since the Unix epoch. The caller holds p.mu or
// is the only user of p.
func (p *realmPool) applyServers(probeStart time.Duration) {
	list := &membership.List{Complete: true, Entries: slices.Clone(p.servers)}
	for n := range list.Entries {
		entry := &list.Entries[n]
		down, upSince := p.health.status(entry.Name)
		if down {
			entry.State = chalkrack.Draining
		}
		if upSince > 0 {
			entry.Started = probeStart + upSince
		}
	}
	p.applyList(list)
}

// probeServers sends a Status-Server packet to each server of a fixed list once per
// ProbeInterval, evenly spread over it, until the Proxy is closed. It does nothing for a pool
// with discovery.
func (p *Proxy) probeServers(service *service, pool *realmPool) {
	if len(pool.servers) == 0 {
		return
	}
	for _, entry := range pool.servers {
		pool.probes.AddServer(entry.Name, entry.Address, 0)
	}
	start := time.Now()
	startUnix := time.Duration(start.UnixNano())
	ticker := time.NewTicker(time.Duration(p.cfg.Radius.ProbeInterval) / time.Duration(len(pool.servers)))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		server := pool.servers[n%len(pool.servers)].Name
		order := core.Order{Payload: &transport.Request{Packet: newStatusServerPacket()}, Server: server, Deadline: time.Now().Add(probeTimeout)}
		order.Sink = &probeSink{func(ok bool) {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			if pool.health.recordProbe(server, time.Since(start), ok) {
				slog.Warn("radius: server by its probes", "side", service.name, "server", server, "answers", ok)
				if !ok {
					pool.transport.Suspect(server)
				}
				pool.applyServers(startUnix)
			}
		}}
		pool.probes.NewAttempt(order).Start()
	}
}

// probeTimeout limits how long the answer to a Status-Server packet may take.
const probeTimeout = time.Second

func newStatusServerPacket() *radius.Packet { return &radius.Packet{Code: radius.StatusServer} }

// probeSink is the core.Sink of a probe. onResult is called with true if the server answered.
type probeSink struct{ onResult func(ok bool) }

// Stream implements core.Sink.
func (*probeSink) Stream(any, chalkrack.LoadReport) io.Writer { return nil }

// Stalled implements core.Sink. An answer over UDP comes as a whole.
func (*probeSink) Stalled() {}

// Done implements core.Sink.
func (s *probeSink) Done(outcome chalkrack.Outcome, _ any, _ chalkrack.LoadReport) {
	if outcome != chalkrack.NotSent { // a probe that was not sent says nothing about the server
		s.onResult(outcome == chalkrack.OK)
	}
}

// FollowDiscovery moves what follows the discovery at one address to another address.
func (p *Proxy) FollowDiscovery(from, to string) {
	for _, s := range p.services {
		if s.watcher != nil && s.watcher.Follow(from, to) {
			slog.Info("radius: follows the platform's discovery to its new address", "side", s.name, "from", from, "to", to)
		}
	}
}

// Addr returns the address at which access or accounting requests are received, or the zero
// value if they are not.
func (p *Proxy) Addr(accounting bool) (addr netip.AddrPort) {
	for _, s := range p.services {
		if s.accounting == accounting && s.listener != nil {
			addr = s.listener.Addr()
		}
	}
	return addr
}

// Counts returns the counts of the listener and the summed counts of the transports of access
// or of accounting. Probes are not included.
func (p *Proxy) Counts(accounting bool) (listenerCounts listener.Counts, transportCounts transport.Counts) {
	for _, s := range p.services {
		if s.accounting != accounting || s.listener == nil {
			continue
		}
		listenerCounts = s.listener.Counts()
		for _, pool := range s.pools {
			c := pool.transport.Counts()
			transportCounts.Sent += c.Sent
			transportCounts.Resent += c.Resent
			transportCounts.Answers += c.Answers
			transportCounts.Unverified += c.Unverified
			transportCounts.Unsolicited += c.Unsolicited
			transportCounts.Refusals += c.Refusals
			transportCounts.NoIdentifier += c.NoIdentifier
			transportCounts.Malformed += c.Malformed
		}
	}
	return listenerCounts, transportCounts
}

// Held returns the number of calls that have no final answer yet or have outstanding attempts.
func (p *Proxy) Held() (calls int) {
	for _, s := range p.services {
		for _, pool := range s.pools {
			calls += pool.host.Held()
		}
	}
	return calls
}

// ShutDownWithin makes the listeners drop new calls and limits the deadlines of the open
// calls, so that they are all answered within the given time. It does not wait for them.
func (p *Proxy) ShutDownWithin(timeout time.Duration) {
	for _, s := range p.services {
		s.listener.Drain()
		for _, pool := range s.pools {
			pool.host.ShutDownWithin(timeout)
		}
	}
}

// Close stops the listeners, watchers and probes, waits for them, and saves the remembered
// accounting answers if RememberFile is set. Open access calls are rejected, or end without an
// answer if OnGiveUp is silent; open accounting calls end without an answer. A second Close
// does nothing.
func (p *Proxy) Close() { p.closeOnce.Do(p.close) }

func (p *Proxy) close() {
	close(p.stop)
	for _, s := range p.services {
		for _, pool := range s.pools {
			pool.host.Close()
		}
	}
	for _, s := range p.services {
		if s.watcher != nil {
			s.watcher.Close()
		}
		if s.listener != nil {
			s.listener.Close()
		}
	}
	p.wg.Wait()
	for _, s := range p.services {
		if s.listener == nil || !s.accounting || p.cfg.Radius.RememberFile == "" {
			continue
		}
		if err := saveRemembered(s.listener, p.cfg.Radius.RememberFile); err != nil {
			slog.Error("radius: events that come again may be counted twice", "err", err)
		}
	}
	for _, s := range p.services {
		for _, pool := range s.pools {
			pool.transport.Close()
			pool.probes.Close()
		}
	}
}
