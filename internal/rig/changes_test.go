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
