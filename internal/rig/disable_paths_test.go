package rig_test

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// operate sends an operators' call to a daemon and returns the answer.
func (s *pathSite) operate(daemon *rig.Daemon, line string) string {
	s.Helper()
	answer, err := daemon.Operate(line)
	if err != nil {
		s.Fatal(err)
	}
	return answer
}

// warmSite is a site whose servers count as warm until they are called back, and are cold for a long
// time then.
func warmSite() rig.SiteConfig {
	cfg := rig.SiteConfig{Classes: rig.LongDeadlineClasses(), WarmUpTime: time.Minute, ColdShare: 0.1, StartWarm: true, NoInitialList: true}
	cfg.Server.FallFactor, cfg.Server.FallFor = 4, 2*time.Second
	return cfg
}

// listAllAsOld has discovery list all servers with a start that is long ago.
func (s *pathSite) listAllAsOld() {
	for n := range s.site.Servers {
		e := s.site.Endpoint(n, "up")
		e.SinceMs = 0
		s.site.Discovery.Change(e)
	}
}

// callsByServer sends calls on a path, of a class that must run once and of one that is safe, and
// returns how many came to each server.
func (s *pathSite) callsByServer(path string, calls int) map[string]int {
	s.Helper()
	before := len(s.site.Ledger.Arrivals())
	var load sync.WaitGroup
	for n := range calls {
		class := standin.Class{Name: "activate", Effect: standin.Unsafe}
		if n%2 == 0 {
			class = standin.Class{Name: "status-check", Effect: standin.Safe}
		}
		load.Go(func() {
			if id, reply := s.call(path, class); reply.Status != 200 {
				s.Errorf("%s: %+v", id, reply)
			}
		})
		if n%4 == 3 {
			load.Wait()
		}
	}
	load.Wait()
	byServer := make(map[string]int)
	for _, a := range s.site.Ledger.Arrivals()[before:] {
		byServer[a.Server]++
	}
	return byServer
}

// checkUnused sends calls on all paths, none of which may come to a server.
func (s *pathSite) checkUnused(step, server string) {
	s.Helper()
	for path := range s.clients {
		if calls := s.callsByServer(path, 24); calls[server] > 0 {
			s.Errorf("%s: path %s: calls by server %v, want none to %s", step, path, calls, server)
		}
	}
}

// maxColdCalls is how many of 60 calls a cold server may get: N calls, and 3 times the root of N and 3 for
// chance. N is 6: the warm ones get 30 each, the cold one has a tenth of their capacity, is overloaded by
// 4 times that, and is sent half of what overloads it.
const maxColdCalls = 16

// checkCold sends calls on all paths; a server gets some of them, and far fewer than one that is warm.
func (s *pathSite) checkCold(step, server string) {
	s.Helper()
	s.checkColdOn(step, server, slices.Collect(maps.Keys(s.clients))...)
}

func (s *pathSite) checkColdOn(step, server string, paths ...string) {
	s.Helper()
	for _, path := range paths {
		total := 0
		for end := time.Now().Add(testTimeout); total == 0; {
			calls := s.callsByServer(path, 60)
			if total = calls[server]; total > maxColdCalls {
				s.Errorf("%s: path %s: calls by server %v, want a few to %s", step, path, calls, server)
			}
			if time.Now().After(end) {
				s.Errorf("%s: path %s: %s gets no calls", step, path, server)
				break
			}
		}
	}
}

// Guards against a server out by hand that some paths go on using: from the yes on no new call comes to
// it on any path, also under another name at its address, whatever discovery says; the call back puts
// it back on all of them, cold.
func TestDisabledServerGetsNothingOnAnyPath(t *testing.T) {
	s := newPathServers(t, warmSite())
	s.listAllAsOld()
	listener := unusedAddress(t)
	fixed := []*standin.Server{s.fixed[0], s.site.Servers[1], s.fixed[2]} // r2 is the platform's s2
	var err error
	if s.daemon, err = s.site.StartDaemon(1, s.features(fixed)+fmt.Sprintf("[[listeners]]\nname = \"inner\"\naddress = %q\n", listener)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.daemon.Stop() })
	s.connect(s.daemon.Addr, listener)
	for path := range s.clients {
		for end := time.Now().Add(testTimeout); s.callsByServer(path, 24)["s2"] == 0; {
			if time.Now().After(end) {
				t.Fatalf("at the start: path %s does not use s2", path)
			}
		}
	}
	if answer := s.operate(s.daemon, "DISABLE s9"); !strings.HasPrefix(answer, "NO") {
		t.Errorf("a server that nobody has: %s", answer)
	}
	for _, id := range []string{"s2", "r2", "s2"} { // twice; r2 is the same server by its other name
		if answer := s.operate(s.daemon, "DISABLE "+id); answer != "YES" {
			t.Fatalf("DISABLE %s: %s", id, answer)
		}
	}
	s.checkUnused("disabled", "s2")
	s.site.Discovery.Change(s.site.Endpoint(1, "removed"))
	s.checkUnused("gone from discovery", "s2")
	s.listAllAsOld()
	s.checkUnused("listed again", "s2")
	if answer := s.operate(s.daemon, "ENABLE s2"); answer != "YES" {
		t.Fatalf("ENABLE s2: %s", answer)
	}
	s.checkCold("called back", "s2")
}

// Guards against a server out by hand that the next process of an upgrade uses: calls to either process
// hold in both, on all paths, and so does the call back.
func TestDisabledServerGetsNothingOverUpgrade(t *testing.T) {
	s := newPathServers(t, warmSite())
	s.listAllAsOld()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	dir, features := t.TempDir(), s.features([]*standin.Server{s.fixed[0], s.site.Servers[1], s.fixed[2]})
	start := func(seed uint64) *rig.Daemon {
		daemon, err := s.site.StartDaemonOnSocket(seed, socket.(*net.TCPListener), dir, features)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { daemon.Stop() })
		return daemon
	}
	old := start(1)
	s.connect(socket.Addr().String(), "")
	if answer := s.operate(old, "DISABLE s2"); answer != "YES" {
		t.Fatalf("DISABLE s2: %s", answer)
	}
	s.site.Discovery.Change(s.site.Endpoint(1, "removed")) // the next process doesn't hear of it
	next := start(2)
	s.checkUnused("both processes", "s2")
	if err := old.Stop(); err != nil {
		t.Error(err)
	}
	s.checkUnused("the next process", "s2")
	s.listAllAsOld()
	s.checkUnused("listed again", "s2")
	last := start(3)
	if answer := s.operate(last, "ENABLE s2"); answer != "YES" {
		t.Fatalf("ENABLE s2: %s", answer)
	}
	if err := next.Stop(); err != nil {
		t.Error(err)
	}
	s.checkCold("called back", "s2")
}

// Guards against a pool that goes on asking the discovery that the platform's configuration has moved
// away from: after SIGHUP a drain that the new address tells is kept on all paths.
func TestPathsFollowDiscoveryThatMoves(t *testing.T) {
	radius := "[radius]\nenabled = true\nauth = %q\nacct = %q\nauth_discovery = %q\nacct_discovery = %[3]q\ndiscovery_secret = \"of the servers\"\n[[radius.clients]]\nrange = \"127.0.0.0/8\"\nsecret = \"of the terminals\"\n"
	for name, features := range map[string]string{"as it is": "", "config": "[config]\nenabled = true\n", "radius": radius} {
		t.Run(name, func(t *testing.T) {
			s := newPathServers(t, rig.SiteConfig{Classes: rig.LongDeadlineClasses()})
			if name == "radius" {
				features = fmt.Sprintf(features, unusedAddress(t), unusedAddress(t), s.site.Discovery.Addr())
			}
			text := s.features(s.fixed) + features
			var err error
			if s.daemon, err = s.site.StartDaemon(1, text); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { s.daemon.Stop() })
			s.connect(s.daemon.Addr, "")
			watches := s.site.Discovery.OpenWatches()
			for round := range 2 {
				if err := s.site.Discovery.Move(); err != nil {
					t.Fatal(err)
				}
				s.site.Discovery.CloseWatches()
				if err := s.daemon.Reload(s.site.PlatformConfig("127.0.0.1:0", 1), text); err != nil {
					t.Fatal(err)
				}
				for end := time.Now().Add(testTimeout); s.site.Discovery.OpenWatches() < watches; time.Sleep(5 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("move %d: %d of %d watches at the new address", round, s.site.Discovery.OpenWatches(), watches)
					}
				}
				out := s.site.Endpoint(round, "draining")
				s.site.Discovery.Change(out)
				for _, path := range []string{"platform", "followed", "queued"} {
					for end := time.Now().Add(testTimeout); s.callsByServer(path, 24)[out.Name] > 0; {
						if time.Now().After(end) {
							t.Fatalf("move %d: path %s goes on using %s", round, path, out.Name)
						}
					}
				}
			}
		})
	}
}

// Guards against a pool that sends to a process by the name of the one that was at its address before:
// the new one is cold on all paths that follow discovery, though the old one is still listed.
func TestReplacedServerIsColdOnAllPaths(t *testing.T) {
	s := newPathServers(t, warmSite())
	s.listAllAsOld()
	var err error
	if s.daemon, err = s.site.StartDaemon(1, s.features(s.fixed)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.daemon.Stop() })
	s.connect(s.daemon.Addr, "")
	replacement := s.site.Endpoint(0, "up")
	replacement.Name, replacement.SinceMs = "s9", time.Now().UnixMilli()
	s.site.Discovery.Change(replacement)
	time.Sleep(200 * time.Millisecond) // all watches have told it
	s.checkColdOn("replaced", "s1", "platform", "followed", "queued")
}

// Guards against pools that the next process of an upgrade serves without servers: while discovery is
// down it takes over their lists, as it does the platform's.
func TestUpgradeHandsPoolsOver(t *testing.T) {
	s := newPathServers(t, warmSite())
	s.listAllAsOld()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	dir, features := t.TempDir(), s.features(s.fixed)
	var last *rig.Daemon
	for process := range 2 {
		daemon, err := s.site.StartDaemonOnSocket(uint64(process+1), socket.(*net.TCPListener), dir, features)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { daemon.Stop() })
		if last == nil {
			s.connect(socket.Addr().String(), "")
			if answer := s.operate(daemon, "DISABLE s2"); answer != "YES" {
				t.Fatalf("DISABLE s2: %s", answer)
			}
			s.site.Discovery.SetDown(true)
			s.site.Discovery.CloseWatches()
		} else if err := last.Stop(); err != nil {
			t.Error(err)
		}
		last = daemon
	}
	s.checkUnused("the next process", "s2")
	for path := range s.clients {
		if calls := s.callsByServer(path, 24); len(calls) < 2 {
			t.Errorf("path %s: calls by server %v", path, calls)
		}
	}
}
