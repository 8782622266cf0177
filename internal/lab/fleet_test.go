package lab

import (
	"fmt"
	"testing"
	"time"

	"chalkrack"
)

const (
	sidecarCount = 80
	nodeCount    = 60
	meanWork     = 130 * time.Millisecond
)

// newFleet returns a simulation of 80 sidecars, a tenth of which have half of the calls, and 60
// nodes of two speeds, at a load that is a share of the nodes' capacity. change may adjust the
// configuration; it may be nil.
func newFleet(t *testing.T, load float64, change func(*Config)) *Lab {
	t.Helper()
	cfg := Config{Seed: 7, Sidecars: sidecarCount, ClientTimeout: 2500 * time.Millisecond, MaxClientRetries: 2, HonourRetryAfterShare: 0.8,
		Rules: chalkrack.Config{MaxAttempts: 5, MayCancel: true, SecondCopies: true, MaxRetryAfter: 2 * time.Second, WasteCost: 0.2,
			ColdFrom: 0.14, ColdFor: 23 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second},
		Classes: []Class{
			{Class: chalkrack.Class{Aim: 800 * time.Millisecond, Worth: 1, Effect: chalkrack.Safe}, Share: 0.52, MeanWork: meanWork},
			{Class: chalkrack.Class{Aim: time.Second, Worth: 3, Effect: chalkrack.Keyed, Window: 1500 * time.Millisecond}, Share: 0.27, MeanWork: meanWork},
			{Class: chalkrack.Class{Aim: 750 * time.Millisecond, Worth: 10, Effect: chalkrack.Unsafe}, Share: 0.21, MeanWork: meanWork},
		}}
	capacity := 0.0
	for n := range nodeCount {
		cfg.Nodes = append(cfg.Nodes, newNode(fmt.Sprint("n", n), n))
		capacity += 2 * cfg.Nodes[n].Speed
	}
	cfg.Rate = func(time.Duration) float64 { return load * capacity / meanWork.Seconds() }
	cfg.SidecarShare = func(n int) float64 {
		if n%10 == 0 {
			return 0.5 / 8
		}
		return 0.5 / 72
	}
	if change != nil {
		change(&cfg)
	}
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newNode(name string, n int) Node {
	return Node{Name: name, Speed: 1.8 - 0.9*float64(n%2), Cores: 2, QueueSize: 5}
}

// Sidecars that all start at once must spread their requests for the server list over AskWithin,
// and ask less often, not more, while discovery fails for ten seconds. Otherwise a start of the
// whole fleet overloads discovery.
func TestFleetSpreadsListRequests(t *testing.T) {
	for _, outage := range []time.Duration{0, 10 * time.Second} {
		l := newFleet(t, 0.3, func(cfg *Config) {
			cfg.Rules.AskWithin = 10 * time.Second
			cfg.OnSubscribe = func(s *Sidecar) {
				s.Lab.After(time.Millisecond, func() {
					if s.Lab.Now < outage {
						s.DiscoveryFailed(s.Lab.Now)
					} else {
						s.ServersChanged(s.Lab.Now, nil)
					}
				})
			}
		})
		l.Run(40 * time.Second)
		maxPerSecond, total := 0, 0
		for _, s := range l.Seconds {
			maxPerSecond, total = max(maxPerSecond, s.ListRequests), total+s.ListRequests
		}
		t.Logf("discovery down for %v: %d requests for the server list, at most %d in a second", outage, total, maxPerSecond)
		if maxPerSecond > sidecarCount/4 || total > 4*sidecarCount || total < sidecarCount {
			t.Errorf("discovery down for %v: %d requests for the server list by %d sidecars, up to %d in a second; want 1 to 4 per sidecar and at most a quarter of the sidecars in a second", outage, total, sidecarCount, maxPerSecond)
		}
	}
}

// A release replaces six in ten nodes within seven seconds at a load of 0.7. In each two seconds,
// the fleet must send to each cold node less than OverloadFactor (4) times what it can serve then,
// or the node fails. Copies, further attempts and connections stay within limits.
func TestFleetDuringRelease(t *testing.T) {
	l := newFleet(t, 0.7, nil)
	const releaseStart = 5 * time.Second
	var newNames []string
	for n := range nodeCount * 6 / 10 {
		name := fmt.Sprint("fresh", n)
		newNames = append(newNames, name)
		l.After(releaseStart+time.Duration(n)*7*time.Second/36, func() {
			replacement := newNode(name, n)
			replacement.ColdShare = 0.14
			l.Replace(fmt.Sprint("n", n), replacement, time.Second)
		})
	}
	l.Run(45 * time.Second)
	maxFactor := 0.0
	for n, name := range newNames {
		machine, arrivals := l.nodes[name], l.ArrivalsBySecond(name)
		for second := int(machine.start/time.Second) + 1; second+1 < len(arrivals); second++ {
			age := time.Duration(second+1)*time.Second - machine.start
			if age > 23*time.Second {
				break
			}
			capacity := 2 * newNode("", n).Speed * (0.14 + 0.86*age.Seconds()/23) // seconds of work per second
			maxFactor = max(maxFactor, float64(arrivals[second]+arrivals[second+1])*meanWork.Seconds()/(2*capacity))
		}
	}
	asked, sent, copies, retries, maxConnections := 0.0, 0, 0, 0, 0
	for _, s := range l.Seconds {
		for _, n := range s.Asked {
			asked += n
		}
		sent, copies, retries = sent+s.Sent, copies+s.Copies, retries+s.Retries
	}
	for n := range nodeCount {
		maxConnections = max(maxConnections, l.ConnectionCount(fmt.Sprint("n", n)))
	}
	for _, name := range newNames {
		maxConnections = max(maxConnections, l.ConnectionCount(name))
	}
	t.Logf("worth %.3f; a cold node gets at most %.2f times what it can serve; %.0f calls, %d attempts, %d copies, %d further attempts; at most %d connections at a node",
		l.ServedWorthShare(5, 45), maxFactor, asked, sent, copies, retries, maxConnections)
	if maxFactor >= 4 {
		t.Errorf("a cold node gets %.2f times what it can serve within two seconds, want less than 4", maxFactor)
	}
	if float64(copies) > 0.1*asked || float64(retries) > 0.8*asked || maxConnections > 3*sidecarCount {
		t.Errorf("%.0f calls: %d copies, %d further attempts, %d connections at a node; want at most 0.1 copies and 0.8 further attempts per call and 3 connections per sidecar", asked, copies, retries, maxConnections)
	}
}

// Seven nodes in sixty answer three attempts in four with an error for ten seconds. A call that
// must not run twice is lost with its first attempt, so the fleet may lose only a few such calls
// to attempts that test whether those nodes have recovered.
func TestFleetWithFailingNodes(t *testing.T) {
	l := newFleet(t, 0.5, nil)
	for n := range 7 {
		l.After(5*time.Second, func() { l.SetErrorRate(fmt.Sprint("n", n), 0.75) })
		l.After(15*time.Second, func() { l.SetErrorRate(fmt.Sprint("n", n), 0) })
	}
	l.Run(25 * time.Second)
	lost, unsafe := 0, 0.0
	for _, s := range l.Seconds[5:15] {
		lost, unsafe = lost+s.Failed, unsafe+s.Asked[2]
	}
	t.Logf("lost %d of %.0f calls that must not run twice", lost, unsafe)
	if float64(lost) > maxLostShare*unsafe {
		t.Errorf("lost %d of %.0f calls that must not run twice, more than maxLostShare of them", lost, unsafe)
	}
	if w := l.ServedWorthShare(17, 24); w < 0.9 {
		t.Errorf("worth %.3f after all nodes have recovered, want at least 0.9", w)
	}
}

// maxLostShare is the maximum share of calls that must not run twice that may be lost to failing
// nodes.
const maxLostShare = 0.025
