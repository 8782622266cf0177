package rig_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/components/changes"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// settingsEdit changes the settings in a decoded platform configuration.
type settingsEdit func(settings map[string]any)

// editPlatform returns the platform configuration with the edits applied to its settings.
func editPlatform(t testing.TB, platform []byte, edits ...settingsEdit) []byte {
	t.Helper()
	var doc map[string]any
	if err := json.Unmarshal(platform, &doc); err != nil {
		t.Fatal(err)
	}
	for _, e := range edits {
		e(doc["settings"].(map[string]any))
	}
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// setCap sets a field of the settings' caps.
func setCap(name string, v any) settingsEdit {
	return func(s map[string]any) { s["caps"].(map[string]any)[name] = v }
}

// setClassField sets a field of the class with that name.
func setClassField(class, name string, v any) settingsEdit {
	return func(s map[string]any) {
		for _, c := range s["classes"].([]any) {
			if c := c.(map[string]any); c["name"] == class {
				c[name] = v
			}
		}
	}
}

func removeClass(class string) settingsEdit {
	return func(s map[string]any) {
		s["classes"] = slices.DeleteFunc(s["classes"].([]any), func(c any) bool { return c.(map[string]any)["name"] == class })
	}
}

// addClass adds a class with effect once, or replaces the class of that name.
func addClass(class string) settingsEdit {
	return func(s map[string]any) {
		removeClass(class)(s)
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": class, "effect": "once", "promiseUs": 5e6, "hardLimitUs": 8e6, "worth": 1})
	}
}

// shortenWindow multiplies the deduplication window of a class by the factor.
func shortenWindow(class string, factor float64) settingsEdit {
	return func(s map[string]any) {
		for _, c := range s["classes"].([]any) {
			if c := c.(map[string]any); c["name"] == class {
				c["repeatWindowUs"] = float64(int(c["repeatWindowUs"].(float64) * factor))
			}
		}
	}
}

// changeCase is a configuration change and its expected result.
type changeCase struct {
	name  string
	edits []settingsEdit
	want  string // kept, undone or refused
}

// changeCases returns a change of each kind. A change that is kept is the base of those after it.
func changeCases(rng *rand.Rand) []changeCase {
	return []changeCase{
		{"fewer attempts", []settingsEdit{setCap("attemptsCap", 3+rng.IntN(3))}, "kept"},
		{"other maximum for Retry-After", []settingsEdit{setCap("maxRetryAfterUs", 1e6+rng.IntN(1e6))}, "kept"},
		{"worth", []settingsEdit{setClassField("activate", "worth", 5+rng.IntN(10))}, "kept"},
		{"additional class", []settingsEdit{addClass(fmt.Sprint("extra", rng.IntN(3)))}, "kept"},
		{"shorter window", []settingsEdit{shortenWindow("id-register", 0.95)}, "kept"},
		{"no retries", []settingsEdit{setCap("attemptsCap", 1)}, "undone"},
		{"class removed", []settingsEdit{removeClass("id-register")}, "undone"},
		{"aim that no answer meets", []settingsEdit{setClassField("activate", "promiseUs", 100)}, "undone"},
		{"activate made repeatable", []settingsEdit{setClassField("activate", "effect", "repeatable")}, "refused"},
		{"longer window", []settingsEdit{setClassField("id-register", "repeatWindowUs", 9e6)}, "refused"},
		{"longer drain grace", []settingsEdit{func(s map[string]any) { s["guarantees"].(map[string]any)["drainGraceUs"] = 9e6 }}, "refused"},
		{"attempts not a number", []settingsEdit{setCap("attemptsCap", "many")}, "refused"},
		{"other zone", []settingsEdit{func(s map[string]any) { s["zone"] = "elsewhere" }}, "refused"},
	}
}

// Guards against calls that are lost, repeated or handled under two configurations while
// configurations change under load. Servers decline 15 % of attempts; good and faulty changes are
// applied in a seeded order. Each call has one answer and stays within the attempts of the
// configuration that its answer names, no unsafe or keyed call takes effect twice, and only the
// faulty changes are refused or undone. FAWN_CHANGES=200 runs more changes with shorter trials.
func TestConfigChangesUnderLoad(t *testing.T) {
	changeCount, trialTime := len(changeCases(rand.New(rand.NewPCG(0, 0)))), 4*time.Second // enough calls for a verdict on slow machines too
	if v, err := strconv.Atoi(os.Getenv("FAWN_CHANGES")); err == nil {
		changeCount, trialTime = v, 1200*time.Millisecond
	}
	site, err := rig.NewSite(rig.SiteConfig{Servers: 6, Classes: rig.LongDeadlineClasses(), NoHedge: true, NoCopies: true})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	setScript(site, standin.Random(5, standin.WeightedAction{Probability: 0.15, Action: standin.Action{Kind: standin.Decline}}, standin.WeightedAction{Probability: 0.85, Action: standin.Action{Delay: time.Millisecond}}))
	socket := filepath.Join(t.TempDir(), "s")
	features := fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = %q\n", socket, trialTime)
	daemon, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}

	type sentCall struct {
		id, class string
		sentAt    time.Time
		reply     standin.Reply
	}
	var mu sync.Mutex
	var calls []sentCall
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var load sync.WaitGroup
	requestClasses := []standin.Class{{Name: "status-check", Effect: standin.Safe}, {Name: "id-register", Effect: standin.Keyed}, {Name: "activate", Effect: standin.Unsafe}}
	for g := range 16 {
		load.Go(func() {
			client := standin.NewClient(daemon.Addr)
			defer client.Close()
			for i := 0; ctx.Err() == nil; i++ {
				call := sentCall{id: fmt.Sprintf("c%d-%d", g, i), class: requestClasses[(g+i)%3].Name, sentAt: time.Now()}
				request := standin.ClientRequest{ID: call.id, Class: requestClasses[(g+i)%3], Deadline: 20 * time.Second}
				if request.Class.Effect == standin.Keyed {
					request.Key = call.id
				}
				call.reply = client.Do(context.Background(), request)
				mu.Lock()
				calls = append(calls, call)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}

	rng := rand.New(rand.NewPCG(7, 3))
	maxAttempts := map[int]int{1: 5}     // by configuration ID
	missingClass := make(map[int]string) // by configuration ID: the class that it does not define
	runningConfig := site.PlatformConfig("127.0.0.1:0", 1)
	status := func() (current changes.Status) {
		if err := admin.Get(t.Context(), socket, "config", &current); err != nil {
			t.Fatal(err)
		}
		return current
	}
	results := make(map[string]int)
	var switchTimes []time.Time
	var slowestVerdict time.Duration
	var remaining []int
	for i := range changeCount {
		all := changeCases(rng)
		if len(remaining) == 0 { // each kind once per round, in random order
			remaining = rng.Perm(len(all))
		}
		change := all[remaining[0]]
		remaining = remaining[1:]
		proposed := editPlatform(t, runningConfig, change.edits...)
		if string(proposed) == string(editPlatform(t, runningConfig)) {
			continue
		}
		var outcome changes.Outcome
		startTime := time.Now()
		err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: proposed, Why: change.name}, &outcome)
		result := "refused"
		if err == nil && outcome.ID == 0 {
			continue // the daemon found no difference in meaning
		}
		if err == nil {
			var doc struct {
				Settings struct{ Caps struct{ AttemptsCap int } }
			}
			json.Unmarshal(proposed, &doc)
			maxAttempts[int(outcome.ID)] = doc.Settings.Caps.AttemptsCap
			if change.name == "class removed" {
				missingClass[int(outcome.ID)] = "id-register"
			}
			switchTimes = append(switchTimes, startTime)
			for result = ""; result == ""; time.Sleep(10 * time.Millisecond) {
				for _, e := range status().Events {
					if e.ID == outcome.ID && e.What != "applied" {
						result = e.What
					}
				}
			}
			slowestVerdict = max(slowestVerdict, time.Since(startTime))
		}
		if result != change.want {
			t.Errorf("change %d, %s: %s, want %s (%v)", i, change.name, result, change.want, err)
		}
		if result == "kept" {
			runningConfig = proposed
		}
		results[change.want+" "+result]++
	}
	current := status()
	stop()
	load.Wait()
	if err := daemon.Stop(); err != nil {
		t.Error(err)
	}

	counts := site.Ledger.RequestCounts()
	verdicts, callsByConfig := make(map[string]int), make(map[int]int)
	var nearSwitch, awayFromSwitch []time.Duration
	for _, call := range calls {
		verdicts[call.reply.Verdict()]++
		configID, _ := strconv.Atoi(call.reply.Header.Get("Fawn-Config"))
		callsByConfig[configID]++
		count := counts[call.id]
		switch {
		case call.reply.Status == 0:
			t.Errorf("%s: no answer: %v", call.id, call.reply.Err)
		case call.reply.Status == 404 && missingClass[configID] != call.class:
			t.Errorf("%s: configuration %d does not define class %s", call.id, configID, call.class)
		case maxAttempts[configID] == 0 || count.Attempts > maxAttempts[configID]:
			t.Errorf("%s: %d attempts under configuration %d, which allows %d", call.id, count.Attempts, configID, maxAttempts[configID])
		case count.Effects > 1 && call.class != "status-check", call.reply.Status == 200 && count.Effects == 0:
			t.Errorf("%s: status %d, %d effects", call.id, call.reply.Status, count.Effects)
		}
		durations := &awayFromSwitch
		for _, w := range switchTimes {
			if offset := call.sentAt.Sub(w); offset > -10*time.Millisecond && offset < 50*time.Millisecond {
				durations = &nearSwitch
			}
		}
		*durations = append(*durations, call.reply.Elapsed)
	}
	if len(callsByConfig) < 3 || verdicts["served"] < len(calls)/2 {
		t.Errorf("%d calls, verdicts %v, calls by configuration %v; want at least 3 configurations and half of the calls served", len(calls), verdicts, callsByConfig)
	}
	quantile := func(all []time.Duration, p float64) time.Duration {
		if len(all) == 0 {
			return 0
		}
		slices.Sort(all)
		return all[int(p*float64(len(all)-1))]
	}
	t.Logf("%d calls, verdicts %v; changes by wanted and actual result: %v; slowest verdict after %v; last switches took %.0f us", len(calls), verdicts, results, slowestVerdict.Round(time.Millisecond), current.Switches)
	t.Logf("within 50 ms of a switch: %d calls, p50 %v, p99.9 %v; otherwise p50 %v, p99.9 %v", len(nearSwitch), quantile(nearSwitch, 0.5), quantile(nearSwitch, 0.999), quantile(awayFromSwitch, 0.5), quantile(awayFromSwitch, 0.999))
}

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

// unusedAddress returns a free address on a host other than 127.0.0.1, so that no outgoing
// connection from there takes its port.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Guards against lost listeners and connections when a change moves the listener. A change to an
// address in use is refused and leaves nothing behind. During a trial both addresses serve.
// Afterwards one listener is closed, the new one after an undo, the old one otherwise, and open
// connections continue.
func TestListenerAddressChange(t *testing.T) {
	for _, keepChange := range []bool{false, true} {
		t.Run(fmt.Sprint("keep ", keepChange), func(t *testing.T) {
			site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: rig.ActivationClasses()})
			if err != nil {
				t.Fatal(err)
			}
			defer site.Close()
			socket := filepath.Join(t.TempDir(), "s")
			trialTime := map[bool]string{false: "10m", true: "500ms"}[keepChange]
			daemon, err := site.StartDaemon(1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = %q\n", socket, trialTime))
			if err != nil {
				t.Fatal(err)
			}
			defer daemon.Stop()
			takenListener, err := net.Listen("tcp", "127.0.0.3:0")
			if err != nil {
				t.Fatal(err)
			}
			defer takenListener.Close()
			calls := 0
			callStatus := func(c *standin.Client) int {
				calls++
				return c.Do(t.Context(), standin.ClientRequest{ID: fmt.Sprint("l", calls), Class: standin.Class{Name: "status-check"}, Deadline: 10 * time.Second}).Status
			}
			moveListener := func(newAddr string) error {
				text := strings.Replace(string(site.PlatformConfig("127.0.0.1:0", 1)), `"listen":"127.0.0.1:0"`, `"listen":"`+newAddr+`"`, 1)
				return admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: []byte(text)}, new(changes.Outcome))
			}
			var current changes.Status
			if err := moveListener(takenListener.Addr().String()); err == nil || !strings.Contains(err.Error(), "listen") {
				t.Errorf("change to an address in use: %v, want a listen error", err)
			}
			if err := admin.Get(t.Context(), socket, "config", &current); err != nil || current.Trial != 0 || len(current.Events) != 1 {
				t.Errorf("after the refused change: %+v, %v; want no trial and one event", current, err)
			}
			newAddr := unusedAddress(t)
			if err := moveListener(newAddr); err != nil {
				t.Fatal(err)
			}
			oldClient, newClient := standin.NewClient(daemon.Addr), standin.NewClient(newAddr)
			defer oldClient.Close()
			defer newClient.Close()
			if a := callStatus(newClient); a != 200 {
				t.Errorf("status %d at the new address, want 200", a)
			}
			closedAddr := newAddr
			if keepChange {
				closedAddr = daemon.Addr
			} else {
				if a := callStatus(oldClient); a != 200 {
					t.Errorf("status %d at the old address, want 200", a)
				}
				if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, &current); err != nil {
					t.Fatal(err)
				}
			}
			for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
				c, err := net.Dial("tcp", closedAddr)
				if err != nil {
					break
				}
				c.Close()
				if time.Now().After(deadline) {
					t.Fatalf("the listener at %s is still open", closedAddr)
				}
			}
			if a := callStatus(newClient); a != 200 {
				t.Errorf("status %d on a connection opened during the trial, want 200", a)
			}
			freshClient := standin.NewClient(map[bool]string{false: daemon.Addr, true: newAddr}[keepChange])
			defer freshClient.Close()
			if a := callStatus(freshClient); a != 200 {
				t.Errorf("status %d at the remaining address, want 200", a)
			}
		})
	}
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
