package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/duration"
	"chalkrack/internal/features"
	"chalkrack/internal/radius/proxy"
	"chalkrack/internal/standin"
)

// What terminals meet on their way: datagrams are lost, doubled and overtaken, each way.
const (
	radiusLoss   = 0.05
	radiusDouble = 0.02
	radiusLate   = 0.02
)

const (
	terminalSecret = "of the terminals"
	serverSecret   = "of the servers"
	// grace is what a server that has left may still get new calls.
	grace = time.Second
)

// terminals is a world of counter terminals that ask for access and send accounting over
// RADIUS.
type terminals struct {
	cfg       Config
	ledger    *standin.RadiusLedger
	servers   []*standin.RadiusServer
	discovery *standin.Discovery
	proxy     *proxy.Proxy
	relays    map[bool]*standin.Relay // by accounting
	clients   map[bool]*standin.RadiusClient

	mu      sync.Mutex
	tallies map[string]*replies
	counted map[string]bool // events, whether they were answered
	leftOut int
}

// replies is what became of calls.
type replies struct{ asked, accepted, rejected, none, packets int }

func newTerminals(cfg Config) (m *terminals, err error) {
	m = &terminals{
		cfg: cfg, ledger: standin.NewRadiusLedger(), relays: make(map[bool]*standin.Relay), clients: make(map[bool]*standin.RadiusClient),
		tallies: map[string]*replies{"access": {}, "accounting": {}}, counted: make(map[string]bool),
	}
	defer func() {
		if err != nil {
			m.close()
		}
	}()
	for n := range cfg.Servers {
		s, err := standin.NewRadiusServer(fmt.Sprint("s", n+1), serverSecret, m.ledger)
		if err != nil {
			return nil, err
		}
		m.servers = append(m.servers, s)
		s.Do(func(seen standin.RadiusSeen) standin.RadiusAct {
			act := standin.RadiusAct{Delay: 20 * time.Millisecond}
			if seen.Password == wrongPIN {
				act.Kind = standin.RadiusReject
			}
			return act
		})
	}
	var list []standin.Endpoint
	for n := range m.servers {
		list = append(list, m.endpoint(n, "up"))
	}
	if m.discovery, err = standin.NewDiscovery(list...); err != nil {
		return nil, err
	}
	sec := features.Default().Radius
	sec.Enabled, sec.Auth, sec.Acct = true, "127.0.0.1:0", "127.0.0.1:0"
	sec.Clients = []features.RadiusClient{{Name: "terminals", Range: "127.0.0.0/8", Secret: terminalSecret}}
	sec.AuthDiscovery, sec.AcctDiscovery, sec.DiscoverySecret = m.discovery.Addr(), m.discovery.Addr(), serverSecret
	sec.MaxCallsPerClient = held
	sec.Accounting.Deadline, sec.Accounting.AttemptTimeout = duration.Duration(5*time.Second), duration.Duration(5*time.Second)
	if m.proxy, err = proxy.New(proxy.Config{Radius: sec, Base: chalkrack.Config{Instances: 1, MaxRetryAfter: time.Second}, Grace: grace, Seed: cfg.Seed}); err != nil {
		return nil, err
	}
	for _, accounting := range []bool{false, true} {
		relay, err := standin.NewRelay(m.proxy.Addr(accounting).String(), cfg.Seed, radiusLoss, radiusDouble, radiusLate)
		if err != nil {
			return nil, err
		}
		m.relays[accounting] = relay
		m.clients[accounting] = standin.NewRadiusClient(relay.Addr(), terminalSecret, "")
	}
	return m, nil
}

func (m *terminals) endpoint(n int, status string) standin.Endpoint {
	s := m.servers[n]
	return standin.Endpoint{Name: s.Name, Address: s.Addr(), Zone: "z", Status: status, Weight: 1}
}

func (m *terminals) about() string {
	return fmt.Sprintf("RADIUS proxy, access at %v and accounting at %v, %d servers, %.0f %% of datagrams lost each way before it", m.proxy.Addr(false), m.proxy.Addr(true), m.cfg.Servers, radiusLoss*100)
}

// wrongPIN is what servers reject.
const wrongPIN = "0000"

// A terminal sends a request so often, and waits so long for each.
const (
	terminalTries = 10
	terminalEach  = time.Second
)

func (m *terminals) arrivals(ctx context.Context) {
	n := -1
	left := arrive(ctx, m.cfg, func(rng *rand.Rand) func() {
		n++
		a := standin.RadiusAsk{NAS: "shop", Tries: terminalTries, Each: terminalEach}
		if n%2 == 0 {
			a.User, a.Password = fmt.Sprint("u", n), "1234"
			if rng.Float64() < 0.1 {
				a.Password = wrongPIN
			}
		} else {
			a.Session, a.Status, a.At = fmt.Sprint("s", n), uint32(1+n/2%3), time.Now()
			a.NewID = n%4 == 1
		}
		return func() { m.call(a) }
	})
	m.mu.Lock()
	m.leftOut = left
	m.mu.Unlock()
}

func (m *terminals) call(a standin.RadiusAsk) {
	class := "access"
	if a.User == "" {
		class = "accounting"
	}
	reply := m.clients[a.User == ""].Do(a)
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tallies[class]
	t.asked++
	t.packets += reply.Packets
	switch {
	case reply.Code == 0:
		t.none++
	case reply.Code.String() == "Access-Reject":
		t.rejected++
	default:
		t.accepted++
	}
	if a.User == "" {
		m.counted[fmt.Sprintf("%s %s %d %v", a.NAS, a.Session, a.Status, a.At.Unix())] = reply.Code != 0
	}
}

func (m *terminals) do(s Step) (state string, err error) {
	n := s.Server - 1
	server := m.servers[n]
	switch s.Verb {
	case "freeze":
		server.Freeze(true)
		return "frozen", nil
	case "thaw":
		server.Freeze(false)
	case "kill":
		server.Kill()
		return "down", nil
	case "restart":
		if err := server.Restart(); err != nil {
			return "", err
		}
	case "drain":
		m.discovery.Change(m.endpoint(n, "draining"))
		return "draining", nil
	case "undrain":
		m.discovery.Change(m.endpoint(n, "up"))
	}
	return "up", nil
}

func (m *terminals) table(b *strings.Builder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintf(b, "  %-11s %7s %9s %9s %10s %8s %7s %11s %9s %9s\n", "calls", "asked", "accepted", "rejected", "no answer", "packets", "joined", "remembered", "given up", "resent")
	for _, accounting := range []bool{false, true} {
		name := "access"
		if accounting {
			name = "accounting"
		}
		t := m.tallies[name]
		l, s := m.proxy.Counts(accounting)
		fmt.Fprintf(b, "  %-11s %7d %9d %9d %10d %8d %7d %11d %9d %9d\n", name, t.asked, t.accepted, t.rejected, t.none, t.packets, l.Joined, l.Remembered, l.Rejected+l.GivenUp, s.Resent)
	}
}

func (m *terminals) summary(b *strings.Builder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	twice, missing, once := 0, 0, 0
	for name, answered := range m.counted {
		c := m.ledger.Of(name)
		switch {
		case c.Effects > 1:
			twice++
		case answered && c.Effects == 0:
			missing++
		case answered:
			once++
		}
	}
	fmt.Fprintf(b, "  events answered and counted once: %d; counted twice: %d; answered and not counted: %d; calls left out at the limit of %d at once: %d\n", once, twice, missing, held, m.leftOut)
	if none := m.tallies["access"].none; none > 0 || twice > 0 || missing > 0 {
		return fmt.Errorf("demo: %d access calls without an answer, %d events counted twice, %d not counted", none, twice, missing)
	}
	return nil
}

func (m *terminals) stop() error {
	m.proxy.ShutDownWithin(time.Second)
	for end := time.Now().Add(2 * time.Second); m.proxy.Held() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d calls have no end", m.proxy.Held())
		}
	}
	return nil
}

func (m *terminals) close() {
	if m.proxy != nil {
		m.proxy.Close()
	}
	for _, r := range m.relays {
		r.Close()
	}
	if m.discovery != nil {
		m.discovery.Close()
	}
	for _, s := range m.servers {
		s.Close()
	}
}
