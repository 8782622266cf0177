package proxy

import (
	"testing"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/standin"

	lr "layeh.com/radius"
)

// newStartMs is when the new process of a server started, in milliseconds since the Unix epoch.
const newStartMs = 1790000000000

// listedServer returns the discovery entry of a server that started at the given time.
func listedServer(s *standin.RadiusServer, status string, sinceMs int64) standin.Endpoint {
	return standin.Endpoint{Name: s.Name, Address: s.Addr(), Zone: "a", Type: "standard", Status: status, Weight: 1, SinceMs: sinceMs}
}

// startProxyWithDiscovery starts a stand-in server r1, a discovery that lists it, and a proxy for
// accounting that follows the discovery.
func startProxyWithDiscovery(t *testing.T, change func(*features.Radius)) (*testFixture, *standin.Discovery) {
	t.Helper()
	fixture := &testFixture{t: t, ledger: standin.NewRadiusLedger()}
	server, err := standin.NewRadiusServer("r1", serverSecret, fixture.ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	fixture.servers = append(fixture.servers, server)
	discovery, err := standin.NewDiscovery(listedServer(server, "up", 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	section := defaultSection()
	section.Auth, section.AcctDiscovery, section.DiscoverySecret = "", discovery.Addr(), serverSecret
	change(&section)
	if fixture.proxy, err = New(Config{Radius: section, Platform: basePlatform(), DrainGrace: 2 * time.Second, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fixture.proxy.Close)
	return fixture, discovery
}

// awaitServed waits until an event that the test has not used before is answered.
func (f *testFixture) awaitServed() {
	f.t.Helper()
	waitUntil(f.t, "the new process serves nothing", func() bool {
		request := eventRequest("s2", 1)
		request.ResendInterval = 200 * time.Millisecond
		return f.newClient(true).Do(request).Code == lr.CodeAccountingResponse
	})
}

// A server counts an event, crashes before it answers and comes back at its address, and discovery tells
// that. Guards against sending the event's packet to the new process, which would count it a second
// time: by the resend of an open call, or by the terminal's retry of one that was given up.
func TestEventIsNotSentToServersNewProcess(t *testing.T) {
	restart := func(t *testing.T, server *standin.RadiusServer) {
		if err := server.Restart(); err != nil {
			t.Fatal(err)
		}
		server.SetScript(alwaysDo(standin.RadiusAccept))
	}
	for name, tell := range map[string]func(*testing.T, *standin.RadiusServer, *standin.Discovery){
		"started again": func(t *testing.T, server *standin.RadiusServer, discovery *standin.Discovery) {
			restart(t, server)
			discovery.Change(listedServer(server, "up", newStartMs))
		},
		"started again, by a whole list": func(t *testing.T, server *standin.RadiusServer, discovery *standin.Discovery) {
			restart(t, server)
			discovery.DropChanges(1)
			discovery.Change(listedServer(server, "up", newStartMs))
			discovery.CloseWatches()
		},
		"draining, then started again": func(t *testing.T, server *standin.RadiusServer, discovery *standin.Discovery) {
			discovery.Change(listedServer(server, "draining", 0))
			restart(t, server)
			discovery.Change(listedServer(server, "up", newStartMs))
		},
		"removed, then started again": func(t *testing.T, server *standin.RadiusServer, discovery *standin.Discovery) {
			discovery.Change(listedServer(server, "removed", 0))
			restart(t, server)
			discovery.Change(listedServer(server, "up", newStartMs))
		},
	} {
		for _, isOpen := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", open", false: ", given up"}[isOpen], func(t *testing.T) {
				t.Parallel()
				fixture, discovery := startProxyWithDiscovery(t, func(s *features.Radius) {
					if s.Accounting.ResendDelay = millis(2000); !isOpen { // the news come long before a resend
						s.Accounting.Deadline, s.Accounting.AttemptTimeout, s.Accounting.Aim = millis(400), millis(300), millis(200)
					}
				})
				fixture.setScripts(alwaysDo(standin.RadiusSilent))
				client, server := fixture.newClient(true), fixture.servers[0]
				event := eventName("s1", 1)
				sent := func(id byte) []byte { return client.Encode(eventRequest("s1", 1), id, [16]byte{}, 0) }
				waitUntil(t, "the event was not counted", func() bool {
					if fixture.ledger.Count(event).Effects == 0 { // before the first list no server is known
						client.Send(sent(1))
						time.Sleep(20 * time.Millisecond)
					}
					return fixture.ledger.Count(event).Effects > 0
				})
				isEnded := func() bool { return fixture.proxy.Held() == 0 }
				if !isOpen {
					waitUntil(t, "the call was not given up", isEnded)
				}
				tell(t, server, discovery)
				waitUntil(t, "the new start was not told", func() bool {
					servers := fixture.proxy.services[0].pools[""].host.LearnedState().Servers
					return len(servers) == 1 && servers[0].Started == newStartMs*time.Millisecond
				})
				waitUntil(t, "the call has no end", isEnded)
				fixture.awaitServed()
				for id := range byte(3) { // the terminal's retries
					client.Exchange(sent(100+id), 50*time.Millisecond)
				}
				waitUntil(t, "a retry has no end", isEnded)
				for _, name := range []string{event, eventName("s2", 1)} {
					if c := fixture.ledger.Count(name); c.Effects != 1 || c.Packets != 1 {
						t.Errorf("%s: %+v, want one packet that is counted once", name, c)
					}
				}
			})
		}
	}
}

// A server counts an event, crashes before it answers and comes back at its address, and no discovery
// tells that. Guards against sending the event to the new process where a refusal has shown the crash to
// another call, also of another realm and of access, or to a probe.
func TestRefusalShownToOthersProtectsEvent(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*features.Radius)
		other  func(*testFixture) // sends the other call
	}{
		"an event": {nil, func(f *testFixture) {
			client := f.newClient(true)
			client.Send(client.Encode(eventRequest("other", 1), 9, [16]byte{}, 0))
		}},
		"an access call of another realm": {func(s *features.Radius) { s.Servers[0].Realms = []string{"", "shop.example"} }, func(f *testFixture) {
			client := f.newClient(false)
			client.Send(client.Encode(accessRequest("a@shop.example"), 9, [16]byte{}, 0))
		}},
		"a probe": {func(s *features.Radius) { s.ProbeInterval, s.MaxProbeMisses = millis(100), 100 }, func(*testFixture) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := startProxy(t, 1, func(s *features.Radius) {
				s.Accounting.ResendDelay, s.Accounting.AttemptTimeout = millis(2000), millis(4000)
				if c.change != nil {
					c.change(s)
				}
			})
			fixture.setScripts(alwaysDo(standin.RadiusSilent))
			client, server := fixture.newClient(true), fixture.servers[0]
			sent := func(id byte) []byte { return client.Encode(eventRequest("s1", 1), id, [16]byte{}, 0) }
			client.Send(sent(1))
			waitUntil(t, "the event was not counted", func() bool { return fixture.ledger.Count(eventName("s1", 1)).Effects > 0 })
			server.Kill()
			c.other(fixture)
			waitUntil(t, "nothing was refused", func() bool { return fixture.refusals() > 0 })
			if err := server.Restart(); err != nil {
				t.Fatal(err)
			}
			server.SetScript(alwaysDo(standin.RadiusAccept))
			waitUntil(t, "the call has no end", func() bool { return fixture.proxy.Held() == 0 })
			fixture.awaitServed()
			for id := range byte(3) { // the terminal's retries
				client.Exchange(sent(100+id), 50*time.Millisecond)
			}
			waitUntil(t, "a retry has no end", func() bool { return fixture.proxy.Held() == 0 })
			if c := fixture.ledger.Count(eventName("s1", 1)); c.Effects != 1 || c.Packets != 1 {
				t.Errorf("%+v, want one packet that is counted once", c)
			}
		})
	}
}

// A server counts an event and goes down with its machine: no port refuses anything, only the probes
// notice. Guards against sending the event to the process that comes up later at its address.
func TestEventIsNotSentToServerThatWasDown(t *testing.T) {
	t.Parallel()
	fixture := startProxy(t, 1, func(s *features.Radius) {
		// The resend comes between a missed probe (2.5 to 3.5 s) and the one after it.
		s.ProbeInterval, s.MaxProbeMisses = millis(2500), 1
		s.Accounting.ResendDelay, s.Accounting.AttemptTimeout = millis(4200), millis(6000)
	})
	fixture.setScripts(alwaysDo(standin.RadiusSilent))
	client, server := fixture.newClient(true), fixture.servers[0]
	client.Send(client.Encode(eventRequest("s1", 1), 1, [16]byte{}, 0))
	waitUntil(t, "the event was not counted", func() bool { return fixture.ledger.Count(eventName("s1", 1)).Effects > 0 })
	isDown := func() bool {
		pool := fixture.proxy.services[1].pools[""]
		pool.mu.Lock()
		defer pool.mu.Unlock()
		down, _ := pool.health.status("r1")
		return down
	}
	server.SetFrozen(true)
	waitUntil(t, "the probes do not notice that the server is down", isDown)
	if err := server.Restart(); err != nil {
		t.Fatal(err)
	}
	server.SetScript(alwaysDo(standin.RadiusAccept))
	server.SetFrozen(false)
	waitUntil(t, "the call has no end", func() bool { return fixture.proxy.Held() == 0 })
	fixture.awaitServed()
	if c := fixture.ledger.Count(eventName("s1", 1)); c.Effects != 1 {
		t.Errorf("%+v, want one that is counted once", c)
	}
}

// refusals returns how many packets and probes the servers' ports have refused.
func (f *testFixture) refusals() (packets int64) {
	for _, s := range f.proxy.services {
		for _, pool := range s.pools {
			packets += pool.transport.Counts().Refusals + pool.probes.Counts().Refusals
		}
	}
	return packets
}
