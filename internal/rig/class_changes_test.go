package rig_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/components/changes"
	"chalkrack/internal/rig"
)

// classSite is a site whose daemon changes its configuration in a test.
type classSite struct {
	*testing.T
	site   *rig.Site
	daemon *rig.Daemon
	socket string
	calls  int
}

func newClassSite(t *testing.T, trial time.Duration) *classSite {
	t.Helper()
	site, err := rig.NewSite(rig.SiteConfig{Servers: 3, Classes: rig.LongDeadlineClasses(), NoHedge: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	socket := filepath.Join(t.TempDir(), "s")
	daemon, err := site.StartDaemon(1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = %q\n", socket, trial))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { daemon.Stop() })
	return &classSite{T: t, site: site, daemon: daemon, socket: socket}
}

// apply proposes the site's configuration with edits and returns the trial's id.
func (s *classSite) apply(edits ...settingsEdit) (id int) {
	s.Helper()
	var outcome changes.Outcome
	proposed := editPlatform(s.T, s.site.PlatformConfig("127.0.0.1:0", 1), edits...)
	if err := admin.Do(s.Context(), s.socket, "config/apply", changes.Proposal{Platform: proposed}, &outcome); err != nil {
		s.Fatal(err)
	}
	return int(outcome.ID)
}

// waitForTrial waits until a trial has the result want.
func (s *classSite) waitForTrial(id int, want string) {
	s.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var current changes.Status
		if err := admin.Get(s.Context(), s.socket, "config", &current); err != nil {
			s.Fatal(err)
		}
		for _, e := range current.Events {
			if int(e.ID) == id && e.What != "applied" {
				if e.What != want {
					s.Fatalf("trial %d is %s, want %s", id, e.What, want)
				}
				return
			}
		}
	}
	s.Fatalf("trial %d has no result", id)
}

// checkBodies sends bodies of each class, short ones, long ones that are kept or streamed, and some in
// chunks. Each has to be answered with one of the statuses.
func (s *classSite) checkBodies(step string, statuses []int, classes ...string) {
	s.Helper()
	for _, class := range classes {
		for _, size := range []int{200, 100 << 10, 1 << 20} {
			for _, announced := range []int64{int64(size), -1} {
				s.calls++
				status, _, err := postBody(s.daemon.Addr, class, fmt.Sprintf("b%d", s.calls), bytes.NewReader(make([]byte, size)), announced)
				if !slices.Contains(statuses, status) {
					s.Errorf("%s: class %s, %d bytes, announced %d: status %d, want one of %v; %v", step, class, size, announced, status, statuses, err)
				}
			}
		}
	}
}

func reverseClasses(s map[string]any) { slices.Reverse(s["classes"].([]any)) }

// Guards against requests with long bodies that get no answer after a class was added: the first one
// of the new class blocked the bodies of all classes for good. Classes are added, put in another
// order, removed, renamed and brought back, kept and undone, and long bodies of each class of the
// running configuration are answered all the time.
func TestLongBodiesOverClassChanges(t *testing.T) {
	s := newClassSite(t, 1500*time.Millisecond)
	served, unknown, either := []int{200}, []int{404}, []int{200, 404}
	old := []string{"id-register", "activate"}
	s.checkBodies("at the start", served, old...)
	s.checkBodies("at the start", unknown, "sim-swap")

	id := s.apply(addClass("sim-swap"), reverseClasses)
	s.checkBodies("on trial", served, old...)
	s.checkBodies("on trial", either, "sim-swap") // as the call falls to one configuration or the other
	if err := admin.Do(t.Context(), s.socket, "config/rollback", struct{}{}, new(json.RawMessage)); err != nil {
		t.Fatal(err)
	}
	s.waitForTrial(id, "undone")
	s.checkBodies("undone", served, old...)
	s.checkBodies("undone", unknown, "sim-swap")

	s.waitForTrial(s.apply(addClass("sim-swap"), reverseClasses), "kept")
	s.checkBodies("added", served, append(old, "sim-swap")...)

	s.waitForTrial(s.apply(addClass("sim-swap"), removeClass("id-register")), "kept")
	s.checkBodies("one removed", served, "activate", "sim-swap")
	s.checkBodies("one removed", unknown, "id-register")

	s.waitForTrial(s.apply(addClass("sim-change"), removeClass("id-register")), "kept")
	s.checkBodies("one renamed", served, "activate", "sim-change")
	s.checkBodies("one renamed", unknown, "sim-swap")

	s.waitForTrial(s.apply(), "kept")
	s.checkBodies("as at the start", served, old...)
	s.checkBodies("as at the start", unknown, "sim-swap", "sim-change")
}
