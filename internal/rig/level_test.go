package rig_test

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/level"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// Guards against a service level that does not follow the servers. When all servers decline, the
// daemon rises to emergency, where it tries only the class of the highest worth. When they serve
// again, it returns to normal one level at a time and accepts every class. Each call has one
// answer.
func TestReducedService(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 3, Classes: rig.LongDeadlineClasses(), NoHedge: true})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	socket := filepath.Join(t.TempDir(), "s")
	features := fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[level]\nenabled = true\nenter_after = \"100ms\"\nleave_after = \"300ms\"\nproof = \"300ms\"\nevidence = 5.0\nslope = 4.0\ndoublings = 1\n", socket)
	for _, l := range []string{"saving", "trimmed", "essential", "emergency"} { // ignore the resources of the test's own process
		features += "[level." + l + "]\nenter = { lag = 0.0, memory = 0.0, sockets = 0.0, lost = 0.0 }\n"
	}
	daemon, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	currentView := func() (v level.View) {
		if err := admin.Get(t.Context(), socket, "level", &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]map[int]int)
	for n, class := range rig.LongDeadlineClasses() {
		answers[class.Name] = make(map[int]int)
		for g := range 4 {
			wg.Go(func() {
				c := standin.NewClient(daemon.Addr)
				defer c.Close()
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprint(n, "-", g, "-", k)
					request := standin.ClientRequest{ID: id, Class: standin.Class{Name: class.Name, Effect: class.Effect}, Deadline: 15 * time.Second}
					if class.Effect == standin.Keyed {
						request.Key = id
					}
					reply := c.Do(t.Context(), request)
					mu.Lock()
					answers[class.Name][reply.Status]++
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	waitForLevel := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(time.Minute); currentView().Level != want; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("level %s, want %s: %+v", currentView().Level, want, currentView())
			}
		}
	}
	served := func(class string) int {
		mu.Lock()
		defer mu.Unlock()
		return answers[class][200]
	}
	waitForLevel("normal")
	for _, s := range site.Servers {
		s.SetScript(standin.Always(standin.Action{Kind: standin.Decline}))
	}
	waitForLevel("emergency")
	turnedAway := currentView().Turned // counts calls that arrive after the change, so it rises a moment later
	for deadline := time.Now().Add(time.Minute); turnedAway["status-check"] == 0 && time.Now().Before(deadline); turnedAway = currentView().Turned {
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range site.Servers {
		s.SetScript(standin.Always(standin.Action{}))
	}
	waitForLevel("normal")
	for _, class := range []string{"status-check", "id-register", "activate"} {
		before := served(class)
		for deadline := time.Now().Add(time.Minute); served(class) < before+20; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("class %s is not served again: %+v", class, currentView())
			}
		}
	}
	close(stop)
	wg.Wait()
	if turnedAway["activate"] != 0 || turnedAway["status-check"] == 0 {
		t.Errorf("calls turned away at emergency: %v, want some of status-check and none of activate", turnedAway)
	}
	v := currentView()
	stepsDown := 0
	for _, c := range v.Changes {
		from, _ := level.Parse(c.From)
		to, _ := level.Parse(c.To)
		if to < from {
			if stepsDown++; to != from-1 {
				t.Errorf("the level falls from %s to %s in one step", c.From, c.To)
			}
		}
	}
	if stepsDown == 0 {
		t.Errorf("the level never falls: %+v", v.Changes)
	}
	for class, all := range answers {
		for status, n := range all {
			if status != 200 && status != 503 && status != 502 {
				t.Errorf("%d answers with status %d to class %s, want only 200, 502 and 503", n, status, class)
			}
		}
	}
}
