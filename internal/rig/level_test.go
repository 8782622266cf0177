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

// Servers that turn all away take the daemon up to emergency, where only what is worth most
// is tried; once they serve it comes down step by step and lets all in again. Every call is
// answered once.
func TestReducedService(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 3, Classes: rig.Patient(), NoHedge: true})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	socket := filepath.Join(t.TempDir(), "s")
	features := fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[level]\nenabled = true\nenter_after = \"100ms\"\nleave_after = \"300ms\"\nproof = \"300ms\"\nevidence = 5.0\nslope = 4.0\ndoublings = 1\n", socket)
	for _, l := range []string{"saving", "trimmed", "essential", "emergency"} { // of the test's own process
		features += "[level." + l + "]\nenter = { lag = 0.0, memory = 0.0, sockets = 0.0, lost = 0.0 }\n"
	}
	d, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	view := func() (v level.View) {
		if err := admin.Get(t.Context(), socket, "level", &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]map[int]int)
	for n, class := range rig.Patient() {
		answers[class.Name] = make(map[int]int)
		for g := range 4 {
			wg.Go(func() {
				c := standin.NewClient(d.Addr)
				defer c.Close()
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprint(n, "-", g, "-", k)
					a := standin.Ask{ID: id, Class: standin.Class{Name: class.Name, Effect: class.Effect}, Deadline: 15 * time.Second}
					if class.Effect == standin.Keyed {
						a.Key = id
					}
					r := c.Do(t.Context(), a)
					mu.Lock()
					answers[class.Name][r.Status]++
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(time.Minute); view().Level != want; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s, want %s: %+v", view().Level, want, view())
			}
		}
	}
	served := func(class string) int {
		mu.Lock()
		defer mu.Unlock()
		return answers[class][200]
	}
	until("normal")
	for _, s := range site.Servers {
		s.Do(standin.Always(standin.Act{Kind: standin.Decline}))
	}
	until("emergency")
	turned := view().Turned // of calls that come after the change, so a moment later
	for end := time.Now().Add(time.Minute); turned["status-check"] == 0 && time.Now().Before(end); turned = view().Turned {
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range site.Servers {
		s.Do(standin.Always(standin.Act{}))
	}
	until("normal")
	for _, class := range []string{"status-check", "id-register", "activate"} {
		was := served(class)
		for end := time.Now().Add(time.Minute); served(class) < was+20; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s is not served again: %+v", class, view())
			}
		}
	}
	close(stop)
	wg.Wait()
	if turned["activate"] != 0 || turned["status-check"] == 0 {
		t.Errorf("turned away at emergency: %v", turned)
	}
	v := view()
	downs := 0
	for _, c := range v.Changes {
		from, _ := level.Parse(c.From)
		to, _ := level.Parse(c.To)
		if to < from {
			if downs++; to != from-1 {
				t.Errorf("from %s to %s in one step", c.From, c.To)
			}
		}
	}
	if downs == 0 {
		t.Errorf("no way down: %+v", v.Changes)
	}
	for class, all := range answers {
		for status, n := range all {
			if status != 200 && status != 503 && status != 502 {
				t.Errorf("%d answers %d to %s", n, status, class)
			}
		}
	}
}
