package rig_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/components/changes"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// Guards against wrong handling of changes by file and SIGHUP. A valid change is put on trial; a
// change during a trial waits for its end; restoring the old file ends the trial at once. Half a
// file and many signals in a row change nothing, and a change that was undone is not tried again.
// An undo leaves discovery's address and drains as they are.
func TestConfigChangesByFileAndSignal(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 2, Classes: rig.ActivationClasses()})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	dir := t.TempDir()
	socket := filepath.Join(dir, "s")
	// There is no traffic, so that trials end with the default verdict, which states too few calls.
	features := fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = \"3s\"\nfolder = %q\n", socket, dir)
	daemon, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	config1 := site.PlatformConfig("127.0.0.1:0", 1)
	status := func() (current changes.Status) {
		if err := admin.Get(t.Context(), socket, "config", &current); err != nil {
			t.Fatal(err)
		}
		return current
	}
	reload := func(platform []byte) {
		t.Helper()
		if err := daemon.Reload(platform, features); err != nil {
			t.Fatal(err)
		}
	}
	waitFor := func(description string, condition func(changes.Status) bool) changes.Status {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			current := status()
			if condition(current) {
				return current
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: %+v", description, current)
			}
		}
	}
	config2, config3 := editPlatform(t, config1, setCap("attemptsCap", 4)), editPlatform(t, config1, setCap("attemptsCap", 3))
	reload(config1[:len(config1)/2])
	reload(config2)
	waitFor("the second configuration is not on trial", func(current changes.Status) bool { return current.Trial == 2 })
	reload(config3)
	waitFor("the third configuration is not pending", func(current changes.Status) bool { return current.Pending })
	current := waitFor("the second configuration is not kept or the third not on trial", func(current changes.Status) bool { return current.Running == 2 && current.Trial == 3 })
	if e := current.Events[len(current.Events)-2]; e.What != "kept" || !strings.Contains(e.Why, "too few calls") {
		t.Errorf("%+v", e)
	}
	reload(config2)
	waitFor("the old file does not end the trial", func(current changes.Status) bool { return current.Running == 2 && current.Trial == 0 })
	for range 20 {
		reload(config3) // was undone before
		reload(config2)
	}
	reload(config3)
	time.Sleep(100 * time.Millisecond)
	if current := status(); current.Trial != 0 || current.Running != 2 || !current.Lasting {
		t.Errorf("the change that was undone is on trial again: %+v", current)
	}
	// An operator may apply a change that was undone before, and end its trial.
	var outcome changes.Outcome
	if err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: config3}, &outcome); err != nil || outcome.ID != 4 {
		t.Fatalf("%+v, %v", outcome, err)
	}
	if err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: config1}, &outcome); err == nil || !strings.Contains(err.Error(), "on trial: 4") {
		t.Errorf("a second change during a trial: %v, want an error that names trial 4", err)
	}
	// During the trial, discovery moves and a server starts to drain. An undo reverts neither.
	oldAddr := site.Discovery.Addr()
	if err := site.Discovery.Move(); err != nil {
		t.Fatal(err)
	}
	reload([]byte(strings.Replace(string(config2), oldAddr, site.Discovery.Addr(), 1)))
	waitFor("the daemon does not follow discovery to its new address within the trial", func(current changes.Status) bool { return site.Discovery.OpenWatches() > 0 && current.Trial == 4 })
	site.Discovery.Change(site.Endpoint(1, "draining"))
	rollback := func() {
		t.Helper()
		if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, new(changes.Status)); err != nil {
			t.Fatal(err)
		}
		if current := status(); current.Running != 2 || current.Trial != 0 {
			t.Errorf("%+v", current)
		}
	}
	rollback()
	client := standin.NewClient(daemon.Addr)
	defer client.Close()
	calls := 0
	waitFor("the draining server still receives calls", func(changes.Status) bool {
		for n := range 20 {
			calls++
			client.Do(t.Context(), standin.ClientRequest{ID: fmt.Sprint("d", calls, "-", n), Class: standin.Class{Name: "status-check"}, Deadline: 5 * time.Second})
		}
		log := site.Ledger.Arrivals()
		return !slices.ContainsFunc(log[max(0, len(log)-20):], func(a standin.Arrival) bool { return a.Server == "s2" })
	})
	if site.Discovery.OpenWatches() == 0 {
		t.Error("the undo reverted discovery's address")
	}
	// The reverse of this change would be refused as a change, but is allowed as an undo.
	if err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: editPlatform(t, config2, setClassField("id-register", "effect", "once"))}, &outcome); err != nil || outcome.ID != 5 {
		t.Fatalf("%+v, %v", outcome, err)
	}
	rollback()
	// Without a trial, a rollback applies the previous configuration under the rules of any change.
	if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, &outcome); err != nil || outcome.ID != 6 {
		t.Errorf("%+v, %v", outcome, err)
	}
	// A daemon that stops during a trial restarts with that configuration on trial, without one to
	// compare it with, and keeps it in the end.
	if err := daemon.Stop(); err != nil {
		t.Fatal(err)
	}
	restarted, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Stop()
	if current := status(); current.Trial != 6 || !current.Alone {
		t.Errorf("after the restart: %+v, want configuration 6 alone on trial", current)
	}
	waitFor("configuration 6 is not kept after the restart", func(current changes.Status) bool { return current.Running == 6 && current.Trial == 0 })
}

// Guards against a mixture of two configurations after a crash: a daemon that is killed at a random
// moment of a change restarts under one complete configuration, the one that its status and
// answers name, and keeps to the attempts of that one. FAWN_KILLS=100 runs more kills.
func TestKillDuringConfigChange(t *testing.T) {
	kills := 6
	if v, err := strconv.Atoi(os.Getenv("FAWN_KILLS")); err == nil {
		kills = v
	}
	binary := filepath.Join(t.TempDir(), "fawnrock")
	if out, err := runCommand("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	site, err := rig.NewSite(rig.SiteConfig{Servers: 6, Classes: rig.ActivationClasses(), NoHedge: true, NoCopies: true})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	setScript(site, standin.Always(standin.Action{Kind: standin.Decline}))
	dir := t.TempDir()
	socket := filepath.Join(dir, "s")
	daemon, err := site.StartProcess(binary, 1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = \"100ms\"\nfolder = %q\n", socket, dir))
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Close()
	platform := site.PlatformConfig(daemon.Addr, 1)
	rng := rand.New(rand.NewPCG(uint64(kills), 8))
	maxAttempts := map[int]int{1: 5}
	lastID, trials := 1, 0
	status := func() (current changes.Status) {
		t.Helper()
		// The daemon listens on its port a moment before it creates the admin socket.
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(2 * time.Millisecond) {
			err := admin.Get(t.Context(), socket, "config", &current)
			if err == nil {
				return current
			}
			if time.Now().After(deadline) {
				t.Fatal(err)
			}
		}
	}
	for i := range kills {
		attemptsCap := 1 + rng.IntN(4)
		current := status()
		if current.Trial == 0 { // otherwise the previous kill left a trial that continues
			lastID = 1 + int(max(current.Running, current.Events[len(current.Events)-1].ID))
			maxAttempts[lastID] = attemptsCap
		}
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: editPlatform(t, platform, setCap("attemptsCap", attemptsCap))}, new(changes.Outcome))
		}()
		time.Sleep(time.Duration(rng.IntN(20000)) * time.Microsecond)
		daemon.Kill()
		<-applied
		if err := daemon.Start(); err != nil {
			t.Fatalf("kill %d: %v", i, err)
		}
		current = status()
		client := standin.NewClient(daemon.Addr)
		id := fmt.Sprint("k", i)
		reply := client.Do(t.Context(), standin.ClientRequest{ID: id, Class: standin.Class{Name: "status-check"}, Deadline: 10 * time.Second})
		client.Close()
		configID, _ := strconv.Atoi(reply.Header.Get("Fawn-Config"))
		want := int(current.Running)
		if current.Trial != 0 {
			want = int(current.Trial)
			trials++
		}
		if got := site.Ledger.RequestCount(id).Attempts; configID != want || got > maxAttempts[configID] || got == 0 {
			t.Errorf("kill %d: %d attempts under configuration %d, which allows %d; status %+v", i, got, configID, maxAttempts[configID], current)
		}
	}
	t.Logf("%d kills, %d of them within a trial", kills, trials)
}

// Guards against an undo that is lost because the state file cannot be written. The undo takes
// effect, the status reports the problem, the write is retried, and no other change is put on trial
// until it succeeds.
func TestRollbackIsRetriedWhenStateCannotBeWritten(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: rig.ActivationClasses()})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	dir := t.TempDir()
	socket, folder := filepath.Join(dir, "s"), filepath.Join(dir, "memory")
	blockingDir := filepath.Join(folder, "state.new") // a directory at the path of the temporary file makes writing fail
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	daemon, err := site.StartDaemon(1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = \"10m\"\nfolder = %q\n", socket, folder))
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	platform := site.PlatformConfig("127.0.0.1:0", 1)
	apply := func(attempts int) error {
		return admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: editPlatform(t, platform, setCap("attemptsCap", attempts))}, new(changes.Outcome))
	}
	if err := apply(4); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(blockingDir, 0o700); err != nil {
		t.Fatal(err)
	}
	var current changes.Status
	if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, &current); err != nil || current.Problem == "" {
		t.Errorf("%+v, %v", current, err)
	}
	client := standin.NewClient(daemon.Addr)
	defer client.Close()
	for n := range 8 { // the undo is in effect: configuration 1 handles all calls
		if r := client.Do(t.Context(), standin.ClientRequest{ID: fmt.Sprint("w", n), Class: standin.Class{Name: "status-check"}, Deadline: 10 * time.Second}); r.Header.Get("Fawn-Config") != "1" {
			t.Errorf("call handled under configuration %q, want 1", r.Header.Get("Fawn-Config"))
		}
	}
	if err := apply(3); err == nil || !strings.Contains(err.Error(), "can't be written") {
		t.Errorf("%v", err)
	}
	if err := os.Remove(blockingDir); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		current = changes.Status{}
		if err := admin.Get(t.Context(), socket, "config", &current); err != nil {
			t.Fatal(err)
		}
		if current.Problem == "" && current.Trial == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v", current)
		}
	}
	if err := apply(3); err != nil {
		t.Errorf("change after the state was written: %v", err)
	}
}
