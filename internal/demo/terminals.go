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

// Shares of the datagrams between terminals and proxy, in each direction, that are lost, duplicated
// or delayed. Later datagrams can overtake a delayed one.
const (
	lossShare      = 0.05
	duplicateShare = 0.02
	delayShare     = 0.02
)

const (
	terminalSecret = "of the terminals"
	serverSecret   = "of the servers"
	// drainGrace is how long a server that has left discovery may still get new calls.
	drainGrace = time.Second
)

// radiusEnvironment runs the RADIUS proxy between stand-in servers and counter terminals that
// request access and send accounting events.
type radiusEnvironment struct {
	cfg       Config
	ledger    *standin.RadiusLedger
	servers   []*standin.RadiusServer
	discovery *standin.Discovery
	proxy     *proxy.Proxy
	relays    map[bool]*standin.Relay        // by accounting
	clients   map[bool]*standin.RadiusClient // by accounting

	mu              sync.Mutex
	tallies         map[string]*terminalTally // of access and accounting
	answeredByEvent map[string]bool           // whether each accounting event was answered
	skippedCalls    int                       // because too many were under way
}

// terminalTally counts the results of calls, and the packets that terminals sent for them.
type terminalTally struct{ asked, accepted, rejected, unanswered, packets int }

// newRadiusEnvironment starts the servers, discovery, the proxy, and the lossy relays between the
// terminals and the proxy. The caller must close it.
func newRadiusEnvironment(cfg Config) (e *radiusEnvironment, err error) {
	e = &radiusEnvironment{
		cfg: cfg, ledger: standin.NewRadiusLedger(), relays: make(map[bool]*standin.Relay), clients: make(map[bool]*standin.RadiusClient),
		tallies: map[string]*terminalTally{"access": {}, "accounting": {}}, answeredByEvent: make(map[string]bool),
	}
	defer func() {
		if err != nil {
			e.close()
		}
	}()
	for n := range cfg.Servers {
		s, err := standin.NewRadiusServer(fmt.Sprint("s", n+1), serverSecret, e.ledger)
		if err != nil {
			return nil, err
		}
		e.servers = append(e.servers, s)
		s.SetScript(func(request standin.RadiusRequest) standin.RadiusAction {
			action := standin.RadiusAction{Delay: 20 * time.Millisecond}
			if request.Password == wrongPIN {
				action.Kind = standin.RadiusReject
			}
			return action
		})
	}
	var endpoints []standin.Endpoint
	for n := range e.servers {
		endpoints = append(endpoints, e.endpoint(n, "up"))
	}
	if e.discovery, err = standin.NewDiscovery(endpoints...); err != nil {
		return nil, err
	}
	radiusConfig := features.Default().Radius
	radiusConfig.Enabled, radiusConfig.Auth, radiusConfig.Acct = true, "127.0.0.1:0", "127.0.0.1:0"
	radiusConfig.Clients = []features.RadiusClient{{Name: "terminals", Range: "127.0.0.0/8", Secret: terminalSecret}}
	radiusConfig.AuthDiscovery, radiusConfig.AcctDiscovery, radiusConfig.DiscoverySecret = e.discovery.Addr(), e.discovery.Addr(), serverSecret
	radiusConfig.MaxCallsPerClient = maxConcurrentCalls
	radiusConfig.Accounting.Deadline, radiusConfig.Accounting.AttemptTimeout = duration.Duration(5*time.Second), duration.Duration(5*time.Second)
	if e.proxy, err = proxy.New(proxy.Config{Radius: radiusConfig, Platform: chalkrack.Config{Instances: 1, MaxRetryAfter: time.Second}, DrainGrace: drainGrace, Seed: cfg.Seed}); err != nil {
		return nil, err
	}
	for _, accounting := range []bool{false, true} {
		relay, err := standin.NewRelay(e.proxy.Addr(accounting).String(), cfg.Seed, lossShare, duplicateShare, delayShare)
		if err != nil {
			return nil, err
		}
		e.relays[accounting] = relay
		e.clients[accounting] = standin.NewRadiusClient(relay.Addr(), terminalSecret, "")
	}
	return e, nil
}

func (e *radiusEnvironment) endpoint(n int, status string) standin.Endpoint {
	s := e.servers[n]
	return standin.Endpoint{Name: s.Name, Address: s.Addr(), Zone: "z", Status: status, Weight: 1}
}

func (e *radiusEnvironment) description() string {
	return fmt.Sprintf("RADIUS proxy, access at %v and accounting at %v, %d servers, %.0f %% of datagrams lost each way before it", e.proxy.Addr(false), e.proxy.Addr(true), e.cfg.Servers, lossShare*100)
}

// wrongPIN is the password that servers reject.
const wrongPIN = "0000"

// A terminal sends at most terminalMaxPackets packets for a request and waits
// terminalResendInterval for an answer to each.
const (
	terminalMaxPackets     = 10
	terminalResendInterval = time.Second
)

// sendCalls sends access requests and accounting events in turn. A tenth of the access requests
// have a wrong PIN, and half of the events get a new identifier with each retransmission.
func (e *radiusEnvironment) sendCalls(ctx context.Context) {
	n := -1
	skipped := generateCalls(ctx, e.cfg, func(rng *rand.Rand) func() {
		n++
		request := standin.RadiusClientRequest{NAS: "shop", MaxPackets: terminalMaxPackets, ResendInterval: terminalResendInterval}
		if n%2 == 0 {
			request.User, request.Password = fmt.Sprint("u", n), "1234"
			if rng.Float64() < 0.1 {
				request.Password = wrongPIN
			}
		} else {
			request.Session, request.Status, request.EventTime = fmt.Sprint("s", n), uint32(1+n/2%3), time.Now()
			request.NewID = n%4 == 1
		}
		return func() { e.makeCall(request) }
	})
	e.mu.Lock()
	e.skippedCalls = skipped
	e.mu.Unlock()
}

// makeCall makes one call and counts its result.
func (e *radiusEnvironment) makeCall(request standin.RadiusClientRequest) {
	class := "access"
	if request.User == "" {
		class = "accounting"
	}
	reply := e.clients[request.User == ""].Do(request)
	e.mu.Lock()
	defer e.mu.Unlock()
	tally := e.tallies[class]
	tally.asked++
	tally.packets += reply.PacketsSent
	switch {
	case reply.Code == 0:
		tally.unanswered++
	case reply.Code.String() == "Access-Reject":
		tally.rejected++
	default:
		tally.accepted++
	}
	if request.User == "" {
		e.answeredByEvent[fmt.Sprintf("%s %s %d %v", request.NAS, request.Session, request.Status, request.EventTime.Unix())] = reply.Code != 0
	}
}

// applyStep carries out a step. Only drain and undrain show in discovery.
func (e *radiusEnvironment) applyStep(step Step) (state string, err error) {
	index := step.Server - 1
	server := e.servers[index]
	switch step.Verb {
	case "freeze":
		server.SetFrozen(true)
		return "frozen", nil
	case "thaw":
		server.SetFrozen(false)
	case "kill":
		server.Kill()
		return "down", nil
	case "restart":
		if err := server.Restart(); err != nil {
			return "", err
		}
	case "drain":
		e.discovery.Change(e.endpoint(index, "draining"))
		return "draining", nil
	case "undrain":
		e.discovery.Change(e.endpoint(index, "up"))
	}
	return "up", nil
}

func (e *radiusEnvironment) writeTable(b *strings.Builder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(b, "  %-11s %7s %9s %9s %10s %8s %7s %11s %9s %9s\n", "calls", "asked", "accepted", "rejected", "no answer", "packets", "joined", "remembered", "given up", "resent")
	for _, accounting := range []bool{false, true} {
		name := "access"
		if accounting {
			name = "accounting"
		}
		tally := e.tallies[name]
		listenerCounts, transportCounts := e.proxy.Counts(accounting)
		fmt.Fprintf(b, "  %-11s %7d %9d %9d %10d %8d %7d %11d %9d %9d\n", name, tally.asked, tally.accepted, tally.rejected, tally.unanswered, tally.packets, listenerCounts.Joined, listenerCounts.Remembered, listenerCounts.Rejected+listenerCounts.GivenUp, transportCounts.Resent)
	}
}

// writeSummary writes how often the answered events were counted. It returns an error if an access
// call had no answer, an event was counted twice or an answered event was not counted.
func (e *radiusEnvironment) writeSummary(b *strings.Builder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	countedTwice, notCounted, countedOnce := 0, 0, 0
	for name, answered := range e.answeredByEvent {
		c := e.ledger.Count(name)
		switch {
		case c.Effects > 1:
			countedTwice++
		case answered && c.Effects == 0:
			notCounted++
		case answered:
			countedOnce++
		}
	}
	fmt.Fprintf(b, "  events answered and counted once: %d; counted twice: %d; answered and not counted: %d; calls skipped at the limit of %d at once: %d\n", countedOnce, countedTwice, notCounted, maxConcurrentCalls, e.skippedCalls)
	if unanswered := e.tallies["access"].unanswered; unanswered > 0 || countedTwice > 0 || notCounted > 0 {
		return fmt.Errorf("demo: %d access calls had no answer, %d events were counted twice and %d answered events were not counted, expected 0 of each", unanswered, countedTwice, notCounted)
	}
	return nil
}

func (e *radiusEnvironment) stopProxy() error {
	e.proxy.ShutDownWithin(time.Second)
	for deadline := time.Now().Add(2 * time.Second); e.proxy.Held() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d calls are still under way 2 s after the stop", e.proxy.Held())
		}
	}
	return nil
}

func (e *radiusEnvironment) close() {
	if e.proxy != nil {
		e.proxy.Close()
	}
	for _, r := range e.relays {
		r.Close()
	}
	if e.discovery != nil {
		e.discovery.Close()
	}
	for _, s := range e.servers {
		s.Close()
	}
}
