// Package proxy puts the parts of RADIUS together: a listener each for access and
// accounting, and for each realm a core of its own with its servers, under the one
// decision module.
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

// Config is what a Proxy is told beside its section.
type Config struct {
	Radius features.Radius
	// Base is the platform's: instances, zone, what is said of cold servers.
	Base  chalkrack.Config
	Grace time.Duration // after which nothing new goes to a server that has left
	Seed  uint64

	// In place of UDP sockets, for tests; nil: UDP.
	Listen func(address string) listener.Conn
	Dial   func(netip.AddrPort) (transport.Conn, error)
}

// Proxy is the whole.
type Proxy struct {
	cfg   Config
	sides []*side
	stop  chan struct{}
	once  sync.Once // of Close
	wg    sync.WaitGroup
}

// side is access, or accounting.
type side struct {
	name       string
	accounting bool
	listener   *listener.Listener
	pools      map[string]*pool // by realm; "": all others
	class      features.RadiusClass
	watcher    *discovery.Watcher
}

// pool is the servers of a realm.
type pool struct {
	host      *core.Host
	transport *transport.Transport

	// Probes have a transport of their own, for which no server ever leaves.
	probes  *transport.Transport
	mu      sync.Mutex
	servers []membership.Entry // of the fixed list
	health  *health
}

// New opens the listeners. An error has undone all of it.
func New(cfg Config) (*Proxy, error) {
	p := &Proxy{cfg: cfg, stop: make(chan struct{})}
	r := &cfg.Radius
	for _, s := range []struct {
		accounting    bool
		name          string
		listen, disco string
		class         features.RadiusClass
	}{{false, "access", r.Auth, r.AuthDiscovery, r.Access}, {true, "accounting", r.Acct, r.AcctDiscovery, r.Accounting}} {
		if s.listen == "" {
			continue
		}
		if err := p.add(s.accounting, s.name, s.listen, s.disco, s.class); err != nil {
			p.Close()
			return nil, err
		}
	}
	for _, s := range p.sides {
		p.wg.Go(s.listener.Serve)
		if s.watcher != nil {
			p.wg.Go(s.watcher.Run)
		}
		if r.ProbeInterval > 0 {
			for _, pl := range s.pools {
				p.wg.Go(func() { p.probe(s, pl) })
			}
		}
	}
	return p, nil
}

func (p *Proxy) add(accounting bool, name, listen, disco string, class features.RadiusClass) error {
	r := &p.cfg.Radius
	secrets := make(map[string][]byte)
	byRealm := make(map[string][]membership.Entry)
	for _, k := range r.Servers {
		addr := k.Auth
		if accounting {
			addr = k.Acct
		}
		if addr == "" {
			continue
		}
		secrets[k.Name] = []byte(k.Secret)
		realms := k.Realms
		if len(realms) == 0 {
			realms = []string{""}
		}
		for _, realm := range realms {
			realm = strings.ToLower(realm)
			byRealm[realm] = append(byRealm[realm], membership.Entry{Endpoint: chalkrack.Endpoint{Name: k.Name, Zone: k.Zone, Hint: 1}, Address: addr})
		}
	}
	secret := func(server string) []byte { return secrets[server] }
	if disco != "" {
		byRealm[""] = nil
		secret = func(string) []byte { return []byte(r.DiscoverySecret) }
	}
	s := &side{name: name, accounting: accounting, class: class, pools: make(map[string]*pool)}
	p.sides = append(p.sides, s)
	for realm, entries := range byRealm {
		pl, err := p.pool(name, class, secret, uint64(len(p.sides)*1000+len(s.pools)))
		if err != nil {
			return fmt.Errorf("radius: %w", err)
		}
		s.pools[realm] = pl
		pl.servers = entries
		if disco == "" {
			pl.list(0)
		}
	}
	if disco != "" {
		h := s.pools[""].host
		s.watcher = &discovery.Watcher{Addr: disco, Timing: discovery.AgentTiming, OnList: h.ApplyList, OnError: h.DiscoveryFailed}
	}
	var clients []listener.Client
	for _, k := range r.Clients {
		prefix, err := netip.ParsePrefix(k.Range)
		if err != nil {
			a, aerr := netip.ParseAddr(k.Range)
			if aerr != nil {
				return fmt.Errorf("radius: %w", err)
			}
			prefix = netip.PrefixFrom(a, a.BitLen())
		}
		clients = append(clients, listener.Client{Name: cmp.Or(k.Name, k.Range), Range: prefix, Secret: []byte(k.Secret), Unsigned: k.AllowUnsigned})
	}
	var conn listener.Conn
	if p.cfg.Listen != nil {
		conn = p.cfg.Listen(listen)
	}
	var err error
	s.listener, err = listener.Listen(listen, listener.Config{
		Conn:          conn,
		Accounting:    accounting,
		Clients:       clients,
		Pool:          s.pool,
		Class:         name,
		Wait:          time.Duration(class.Deadline),
		Replies:       replies.Config{Keep: time.Duration(r.RememberTTL), Bytes: r.MaxRememberBytes, EachClient: r.MaxRememberBytesPerClient, Open: r.MaxCallsPerClient},
		Conversations: conversation.Config{Keep: time.Duration(r.ConversationTTL), Most: r.MaxConversations},
		Silent:        r.OnGiveUp == "silent",
		ErrorCause:    uint32(r.ErrorCause),
	})
	if err == nil && accounting && r.RememberFile != "" {
		recall(s.listener, r.RememberFile, r.MaxRememberBytes)
	}
	return err
}

// pool is the core of a realm, that of all others where none is named for it.
func (s *side) pool(realm string) *core.Host {
	pl := s.pools[strings.ToLower(realm)]
	if pl == nil {
		pl = s.pools[""]
	}
	if pl == nil {
		return nil
	}
	return pl.host
}

func (p *Proxy) pool(name string, class features.RadiusClass, secret func(string) []byte, n uint64) (*pool, error) {
	cfg := p.cfg.Base
	effect := chalkrack.Unsafe
	if class.Effect == "safe" {
		effect = chalkrack.Safe
	}
	cfg.Classes = []chalkrack.Class{{Aim: time.Duration(class.Aim), Worth: class.Worth, LateWorth: 1, Effect: effect}}
	cfg.Tenants, cfg.Probes, cfg.AskWithin = nil, false, 0
	cfg.MaxAttempts, cfg.MayCancel, cfg.SecondCopies = p.cfg.Radius.MaxAttempts, true, false
	set, err := settings.New(cfg, []string{name}, []time.Duration{time.Duration(class.Deadline)})
	if err != nil {
		return nil, err
	}
	how := transport.Config{
		Secret:   secret,
		Sockets:  p.cfg.Radius.MaxSocketsPerServer,
		Rest:     time.Duration(p.cfg.Radius.LateAnswerTTL),
		Patience: time.Duration(class.AttemptTimeout),
		Resend:   time.Duration(class.ResendDelay),
		Resends:  class.MaxResends,
		Unsigned: p.cfg.Radius.AllowUnsignedAnswers,
		Grace:    p.cfg.Grace,
		Dial:     p.cfg.Dial,
	}
	t := transport.New(how)
	how.Sockets, how.Resends = 1, 0
	host, err := core.New(core.Config{Settings: set, Seed: p.cfg.Seed + n, Transport: t})
	if err != nil {
		return nil, err
	}
	host.SetReady(true)
	return &pool{host: host, transport: t, probes: transport.New(how), health: newHealth(p.cfg.Radius.MaxProbeMisses)}, nil
}

// list tells the core of a fixed list, with what probes have found.
func (pl *pool) list(unix time.Duration) {
	l := &membership.List{Complete: true, Entries: slices.Clone(pl.servers)}
	for n := range l.Entries {
		e := &l.Entries[n]
		down, upAt := pl.health.of(e.Name)
		if down {
			e.State = chalkrack.Draining
		}
		if upAt > 0 {
			e.Started = unix + upAt
		}
	}
	pl.host.ApplyList(l)
}

// probe asks each server of a fixed list whether it is there, in turn, one each
// ProbeEvery divided by their number.
func (p *Proxy) probe(s *side, pl *pool) {
	if len(pl.servers) == 0 {
		return
	}
	for _, e := range pl.servers {
		pl.probes.AddServer(e.Name, e.Address, 0)
	}
	start := time.Now()
	unix := time.Duration(start.UnixNano())
	tick := time.NewTicker(time.Duration(p.cfg.Radius.ProbeInterval) / time.Duration(len(pl.servers)))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		server := pl.servers[n%len(pl.servers)].Name
		o := core.Order{Payload: &transport.Request{Packet: statusPacket()}, Server: server, Deadline: time.Now().Add(probeWait)}
		o.Sink = &status{func(ok bool) {
			pl.mu.Lock()
			defer pl.mu.Unlock()
			if pl.health.probed(server, time.Since(start), ok) {
				slog.Warn("radius: server by its probes", "side", s.name, "server", server, "answers", ok)
				pl.list(unix)
			}
		}}
		pl.probes.NewAttempt(o).Start()
	}
}

// probeWait is how long the answer to a Status-Server may take.
const probeWait = time.Second

func statusPacket() *radius.Packet { return &radius.Packet{Code: radius.StatusServer} }

// status is the Sink of a probe.
type status struct{ told func(ok bool) }

// Stream implements core.Sink.
func (*status) Stream(any, chalkrack.LoadReport) io.Writer { return nil }

// Done implements core.Sink.
func (s *status) Done(o chalkrack.Outcome, _ any, _ chalkrack.LoadReport) {
	if o != chalkrack.NotSent { // that is this side's own trouble
		s.told(o == chalkrack.OK)
	}
}

// Addr is where access, or accounting, is taken; the zero value where it is not.
func (p *Proxy) Addr(accounting bool) (addr netip.AddrPort) {
	for _, s := range p.sides {
		if s.accounting == accounting && s.listener != nil {
			addr = s.listener.Addr()
		}
	}
	return addr
}

// Counts is what the listener and the transports of access, or of accounting, have met.
func (p *Proxy) Counts(accounting bool) (l listener.Counts, t transport.Counts) {
	for _, s := range p.sides {
		if s.accounting != accounting || s.listener == nil {
			continue
		}
		l = s.listener.Counts()
		for _, pl := range s.pools {
			c := pl.transport.Counts()
			t.Sent += c.Sent
			t.Resent += c.Resent
			t.Answers += c.Answers
			t.Unverified += c.Unverified
			t.Unasked += c.Unasked
			t.Refusals += c.Refusals
			t.NoIdentifier += c.NoIdentifier
			t.Malformed += c.Malformed
		}
	}
	return l, t
}

// Held is the number of calls under way.
func (p *Proxy) Held() (n int) {
	for _, s := range p.sides {
		for _, pl := range s.pools {
			n += pl.host.Held()
		}
	}
	return n
}

// ShutDownWithin accepts no new calls and has all calls that are still open answered within
// the given time.
func (p *Proxy) ShutDownWithin(in time.Duration) {
	for _, s := range p.sides {
		s.listener.Drain()
		for _, pl := range s.pools {
			pl.host.ShutDownWithin(in)
		}
	}
}

// Close ends all of it. What is under way is rejected, or given up. A second Close does
// nothing.
func (p *Proxy) Close() { p.once.Do(p.close) }

func (p *Proxy) close() {
	close(p.stop)
	for _, s := range p.sides {
		for _, pl := range s.pools {
			pl.host.Close()
		}
	}
	for _, s := range p.sides {
		if s.watcher != nil {
			s.watcher.Close()
		}
		if s.listener != nil {
			s.listener.Shut()
		}
	}
	p.wg.Wait()
	for _, s := range p.sides {
		if s.listener == nil || !s.accounting || p.cfg.Radius.RememberFile == "" {
			continue
		}
		if err := keep(s.listener, p.cfg.Radius.RememberFile); err != nil {
			slog.Error("radius: events that come again may be counted twice", "err", err)
		}
	}
	for _, s := range p.sides {
		for _, pl := range s.pools {
			pl.transport.Close()
			pl.probes.Close()
		}
	}
}
