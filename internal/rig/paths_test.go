package rig_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/components/changes"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// pathSite is a site whose daemon reaches servers on several paths: the platform's servers s1 to s3; a
// pool of the fixed servers r1 to r3; one that follows the platform's discovery, and one that does so
// behind a queue; a further listener, and a route with a class.
type pathSite struct {
	*testing.T
	site    *rig.Site
	fixed   []*standin.Server
	daemon  *rig.Daemon
	socket  string
	clients map[string]*standin.Client // by path
	lastID  atomic.Int64
}

// pathNames are the names of the paths.
var pathNames = []string{"platform", "fixed", "followed", "queued", "listener"}

// newPathServers starts the servers of a site, and no daemon.
func newPathServers(t *testing.T, cfg rig.SiteConfig) *pathSite {
	t.Helper()
	cfg.Servers, cfg.NoHedge, cfg.HasManagement = 3, true, true
	site, err := rig.NewSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	s := &pathSite{T: t, site: site, socket: filepath.Join(t.TempDir(), "s"), clients: make(map[string]*standin.Client)}
	for n := range 3 {
		server, err := standin.NewServer(standin.ServerConfig{Name: fmt.Sprint("r", n+1), Ledger: site.Ledger})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		s.fixed = append(s.fixed, server)
	}
	return s
}

// features returns the text of a features file with the pools and their routes. The servers of the
// fixed pool have the names r1 to r3.
func (s *pathSite) features(fixed []*standin.Server) string {
	var entries []string
	for n, server := range fixed {
		entries = append(entries, fmt.Sprintf("{ name = \"r%d\", address = %q }", n+1, server.Addr()))
	}
	features := fmt.Sprintf(`version = 1
[[pools]]
name = "fixed"
servers = [%s]
[[pools]]
name = "followed"
discovery = %q
[[pools]]
name = "queued"
discovery = %[2]q
max_active = 2
max_waiting = 64
queue_wait = "10s"
`, strings.Join(entries, ", "), s.site.Discovery.Addr())
	for _, pool := range []string{"fixed", "followed", "queued"} {
		features += fmt.Sprintf("[[routes]]\nname = %q\nheaders = [{ name = \"x-pool\", value = %[1]q }]\npool = %[1]q\n", pool)
	}
	return features
}

// connect makes the clients of all paths, and waits until each path has servers. An empty listener
// leaves the further listener out.
func (s *pathSite) connect(addr, listener string) {
	s.Helper()
	for _, path := range pathNames {
		to := addr
		if path == "listener" {
			if to = listener; to == "" {
				continue
			}
		}
		s.clients[path] = standin.NewClient(to)
		s.Cleanup(s.clients[path].Close)
	}
	s.waitForServers()
}

// newPathSite starts a site with its daemon; trial is the length of a configuration's trial.
func newPathSite(t *testing.T, cfg rig.SiteConfig, trial time.Duration) *pathSite {
	t.Helper()
	s := newPathServers(t, cfg)
	listener := unusedAddress(t)
	features := s.features(s.fixed) + fmt.Sprintf("[admin]\nsocket = %q\n[config]\nenabled = true\nbake = %q\n[[listeners]]\nname = \"inner\"\naddress = %q\n", s.socket, trial, listener)
	var err error
	if s.daemon, err = s.site.StartDaemon(1, features); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.daemon.Stop() })
	s.connect(s.daemon.Addr, listener)
	return s
}

// setScripts sets what all servers do.
func (s *pathSite) setScripts(script standin.Script) {
	for _, server := range slices.Concat(s.site.Servers, s.fixed) {
		server.SetScript(script)
	}
}

// call sends a request of a class on a path and returns its id and reply.
func (s *pathSite) call(path string, class standin.Class) (id string, reply standin.Reply) {
	id = fmt.Sprint(path, "-", s.lastID.Add(1))
	return id, s.callWithID(path, id, class)
}

func (s *pathSite) callWithID(path, id string, class standin.Class) standin.Reply {
	request := standin.ClientRequest{ID: id, Class: class, Deadline: 20 * time.Second}
	if path != "platform" && path != "listener" {
		request.Header = http.Header{"X-Pool": {path}}
	}
	if class.Effect == standin.Keyed {
		request.Key = id
	}
	return s.clients[path].Do(s.Context(), request)
}

// waitForServers waits until each path of the platform's servers has a list.
func (s *pathSite) waitForServers() {
	s.Helper()
	for path := range s.clients {
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			_, reply := s.call(path, standin.Class{Name: "status-check", Effect: standin.Safe})
			if reply.Status == 200 {
				break
			}
			if time.Now().After(end) {
				s.Fatalf("path %s: %+v", path, reply)
			}
		}
	}
}

// propose applies the site's configuration with edits and returns the trial's id.
func (s *pathSite) propose(edits ...settingsEdit) (id int) {
	s.Helper()
	var outcome changes.Outcome
	proposed := editPlatform(s.T, s.site.PlatformConfig("127.0.0.1:0", 1), edits...)
	if err := admin.Do(s.Context(), s.socket, "config/apply", changes.Proposal{Platform: proposed}, &outcome); err != nil {
		s.Fatal(err)
	}
	return int(outcome.ID)
}

// result returns the result of a trial, "" while it is on.
func (s *pathSite) result(id int) string {
	s.Helper()
	var current changes.Status
	if err := admin.Get(s.Context(), s.socket, "config", &current); err != nil {
		s.Fatal(err)
	}
	for _, e := range current.Events {
		if int(e.ID) == id && e.What != "applied" {
			return e.What
		}
	}
	return ""
}

// configOf returns the configuration that a reply names.
func configOf(reply standin.Reply) int {
	id, _ := strconv.Atoi(reply.Header.Get("Fawn-Config"))
	return id
}

var keyedClass = standin.Class{Name: "id-register", Effect: standin.Keyed}

// checkResets sends calls of the keyed class, whose first attempts are reset, on a path. Calls under
// configuration 1 may have a second attempt, and one has if repeats is set; all others have one.
func (s *pathSite) checkResets(step, path string, calls int, repeats bool) (configs map[int]int) {
	s.Helper()
	configs = make(map[int]int)
	repeated := 0
	for range calls {
		id, reply := s.call(path, keyedClass)
		config := configOf(reply)
		configs[config]++
		n := s.site.Ledger.RequestCount(id).Attempts
		if n > 1 {
			repeated++
		}
		if n < 1 || config != 1 && (n > 1 || reply.Verdict() == "refused") { // it has run once
			s.Errorf("%s: %s under configuration %d: %d attempts; status %d", step, id, config, n, reply.Status)
		}
	}
	if repeats && repeated == 0 {
		s.Errorf("%s: path %s: none of %d calls was repeated", step, path, calls)
	}
	return configs
}

// makeOnce makes the keyed class one that must not run twice.
func makeOnce(s map[string]any) { setClassField("id-register", "effect", "once")(s) }

// Guards against a change of the configuration that some paths to servers don't follow, while it is
// reported as kept: calls of a class that must not run twice any more were repeated in pools.
func TestKeptChangeAppliesOnEveryPath(t *testing.T) {
	s := newPathSite(t, rig.SiteConfig{Classes: rig.LongDeadlineClasses()}, 300*time.Millisecond)
	resetFirst := standin.Sequence(standin.Action{Kind: standin.ResetLate}, standin.Action{})
	s.setScripts(resetFirst)
	for _, path := range pathNames {
		if configs := s.checkResets("at the start", path, 5, true); configs[1] != 5 {
			t.Errorf("at the start: path %s serves under %v", path, configs)
		}
	}
	s.setScripts(standin.Always(standin.Action{}))
	id := s.propose(makeOnce)
	for end := time.Now().Add(testTimeout); s.result(id) == ""; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the trial does not end")
		}
	}
	if got := s.result(id); got != "kept" {
		t.Fatalf("the change is %s", got)
	}
	s.setScripts(resetFirst)
	for _, path := range pathNames {
		if configs := s.checkResets("kept", path, 10, false); configs[id] != 10 {
			t.Errorf("kept: path %s serves under %v, want %d", path, configs, id)
		}
	}
}

// Guards against a trial that looks at the platform's servers only: calls of each path are given to
// both configurations, the failures of a single pool undo the change, and the undo applies everywhere.
func TestTrialAndUndoApplyOnEveryPath(t *testing.T) {
	s := newPathSite(t, rig.SiteConfig{Classes: rig.LongDeadlineClasses()}, time.Hour)
	id := s.propose(makeOnce)
	for _, path := range pathNames {
		configs := make(map[int]int)
		for len(configs) < 2 {
			_, reply := s.call(path, keyedClass)
			if configs[configOf(reply)]++; configs[configOf(reply)] > 60 || reply.Status != 200 {
				t.Fatalf("on trial: path %s serves under %v; %+v", path, configs, reply)
			}
		}
		if configs[1] == 0 || configs[id] == 0 {
			t.Errorf("on trial: path %s serves under %v", path, configs)
		}
	}
	s.setScripts(standin.Sequence(standin.Action{Kind: standin.ResetLate}, standin.Action{}))
	for end := time.Now().Add(testTimeout); s.result(id) == ""; {
		s.checkResets("on trial", "fixed", 1, false)
		if time.Now().After(end) {
			t.Fatal("the failures of one pool do not undo the change")
		}
	}
	if got := s.result(id); got != "undone" {
		t.Fatalf("the change is %s", got)
	}
	for _, path := range pathNames {
		if configs := s.checkResets("undone", path, 10, true); configs[1] != 10 {
			t.Errorf("undone: path %s serves under %v", path, configs)
		}
	}
}

// Guards against calls that are lost to a change or its undo: calls that are at servers or wait in a
// queue meanwhile are all served, each under the configuration that it came under.
func TestChangeLosesNoWaitingCall(t *testing.T) {
	s := newPathSite(t, rig.SiteConfig{Classes: rig.LongDeadlineClasses()}, time.Hour)
	s.setScripts(standin.Always(standin.Action{Delay: 60 * time.Millisecond}))
	var mu sync.Mutex
	served := make(map[int]int)
	var load sync.WaitGroup
	send := func() {
		for _, path := range pathNames {
			for range 8 {
				load.Go(func() {
					id, reply := s.call(path, keyedClass)
					mu.Lock()
					defer mu.Unlock()
					if served[configOf(reply)]++; reply.Status != 200 {
						t.Errorf("%s: status %d, %v", id, reply.Status, reply.Err)
					}
				})
			}
		}
	}
	// waitFor waits until a call of a configuration is served; others are at servers and in the queue then.
	waitFor := func(config int) {
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			mu.Lock()
			n := served[config]
			mu.Unlock()
			if n > 0 {
				return
			}
		}
		t.Errorf("no call of configuration %d is served", config)
	}
	send()
	waitFor(1)
	id := s.propose(makeOnce)
	send()
	waitFor(id)
	if err := admin.Do(t.Context(), s.socket, "config/rollback", struct{}{}, new(json.RawMessage)); err != nil {
		t.Fatal(err)
	}
	send()
	load.Wait()
	if got := s.result(id); got != "undone" || served[id] == 0 || served[1]+served[id] != 3*8*len(pathNames) {
		t.Errorf("the change is %s; calls by configuration: %v", got, slices.Sorted(maps.Keys(served)))
	}
}

// Guards against a request that runs again, at the same path or at another one, because its id comes
// again.
func TestRepeatedIDRunsOnceOnAllPaths(t *testing.T) {
	s := newPathSite(t, rig.SiteConfig{Classes: rig.LongDeadlineClasses()}, time.Hour)
	for _, first := range pathNames {
		for _, again := range pathNames {
			id, reply := s.call(first, activateClass)
			if reply.Status != 200 {
				t.Fatalf("%s: %+v", id, reply)
			}
			if r := s.callWithID(again, id, activateClass); r.Verdict() != "failed" {
				t.Errorf("%s: %s when it came again on path %s, want failed", id, r.Verdict(), again)
			}
			if n := s.site.Ledger.RequestCount(id).Effects; n != 1 {
				t.Errorf("%s, again on path %s: ran %d times", id, again, n)
			}
		}
	}
}
