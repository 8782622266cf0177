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
	"chalkrack/internal/rig"
	"chalkrack/internal/rooms/changes"
	"chalkrack/internal/standin"
)

// edit is the platform's JSON with some of its settings changed.
type edit func(settings map[string]any)

func edited(t testing.TB, platform []byte, edits ...edit) []byte {
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

func caps(name string, v any) edit {
	return func(s map[string]any) { s["caps"].(map[string]any)[name] = v }
}

func ofClass(class, name string, v any) edit {
	return func(s map[string]any) {
		for _, c := range s["classes"].([]any) {
			if c := c.(map[string]any); c["name"] == class {
				c[name] = v
			}
		}
	}
}

func without(class string) edit {
	return func(s map[string]any) {
		s["classes"] = slices.DeleteFunc(s["classes"].([]any), func(c any) bool { return c.(map[string]any)["name"] == class })
	}
}

func with(class string) edit {
	return func(s map[string]any) {
		without(class)(s)
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": class, "effect": "once", "promiseUs": 5e6, "hardLimitUs": 8e6, "worth": 1})
	}
}

func shorter(class string, by float64) edit {
	return func(s map[string]any) {
		for _, c := range s["classes"].([]any) {
			if c := c.(map[string]any); c["name"] == class {
				c["repeatWindowUs"] = float64(int(c["repeatWindowUs"].(float64) * by))
			}
		}
	}
}

// pushed is a change of the series: what it is, and what must become of it.
type pushed struct {
	name  string
	edits []edit
	want  string // kept, undone or refused
}

// kinds of changes, each with what must become of it. What a good one changes is what
// the next ones are made from.
func kinds(rng *rand.Rand) []pushed {
	return []pushed{
		{"fewer attempts", []edit{caps("attemptsCap", 3+rng.IntN(3))}, "kept"},
		{"another wait", []edit{caps("maxRetryAfterUs", 1e6+rng.IntN(1e6))}, "kept"},
		{"worth", []edit{ofClass("activate", "worth", 5+rng.IntN(10))}, "kept"},
		{"a class more", []edit{with(fmt.Sprint("extra", rng.IntN(3)))}, "kept"},
		{"shorter window", []edit{shorter("id-register", 0.95)}, "kept"},
		{"no retries", []edit{caps("attemptsCap", 1)}, "undone"},
		{"a class gone", []edit{without("id-register")}, "undone"},
		{"an aim that nobody meets", []edit{ofClass("activate", "promiseUs", 100)}, "undone"},
		{"activate may repeat", []edit{ofClass("activate", "effect", "repeatable")}, "refused"},
		{"a longer window", []edit{ofClass("id-register", "repeatWindowUs", 9e6)}, "refused"},
		{"a longer grace", []edit{func(s map[string]any) { s["guarantees"].(map[string]any)["drainGraceUs"] = 9e6 }}, "refused"},
		{"no number", []edit{caps("attemptsCap", "many")}, "refused"},
		{"another zone", []edit{func(s map[string]any) { s["zone"] = "elsewhere" }}, "refused"},
	}
}

// A seeded series of good and faulty changes under load, a seventh of attempts turned away:
// each call has one answer and lived under one configuration, whose attempts it kept to;
// nothing took effect twice; each faulty change was refused or undone, no good one was.
// FAWN_CHANGES=200 is the long one, with shorter trials.
func TestChangesUnderLoad(t *testing.T) {
	n, bake := len(kinds(rand.New(rand.NewPCG(0, 0)))), 4*time.Second // slow machines have fewer calls
	if v, err := strconv.Atoi(os.Getenv("FAWN_CHANGES")); err == nil {
		n, bake = v, 1200*time.Millisecond
	}
	site, err := rig.NewSite(rig.SiteConfig{Servers: 6, Classes: rig.Patient(), NoHedge: true, NoCopies: true})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	script(site, standin.Random(5, standin.Odd{Share: 0.15, Act: standin.Act{Kind: standin.Decline}}, standin.Odd{Share: 0.85, Act: standin.Act{Delay: time.Millisecond}}))
	socket := filepath.Join(t.TempDir(), "s")
	features := fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = %q\n", socket, bake)
	d, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}

	type sent struct {
		id, class string
		at        time.Time
		reply     standin.Reply
	}
	var mu sync.Mutex
	var calls []sent
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var load sync.WaitGroup
	asks := []standin.Class{{Name: "status-check", Effect: standin.Safe}, {Name: "id-register", Effect: standin.Keyed}, {Name: "activate", Effect: standin.Unsafe}}
	for g := range 16 {
		load.Go(func() {
			client := standin.NewClient(d.Addr)
			defer client.Close()
			for i := 0; ctx.Err() == nil; i++ {
				s := sent{id: fmt.Sprintf("c%d-%d", g, i), class: asks[(g+i)%3].Name, at: time.Now()}
				ask := standin.Ask{ID: s.id, Class: asks[(g+i)%3], Deadline: 20 * time.Second}
				if ask.Class.Effect == standin.Keyed {
					ask.Key = s.id
				}
				s.reply = client.Do(context.Background(), ask)
				mu.Lock()
				calls = append(calls, s)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}

	rng := rand.New(rand.NewPCG(7, 3))
	attempts := map[int]int{1: 5} // by configuration
	lacks := make(map[int]string) // the class that it does not know
	running := site.JSON("127.0.0.1:0", 1)
	status := func() (st changes.Status) {
		if err := admin.Get(t.Context(), socket, "config", &st); err != nil {
			t.Fatal(err)
		}
		return st
	}
	tally := make(map[string]int)
	var switches []time.Time
	var slowest time.Duration
	var turn []int
	for i := range n {
		all := kinds(rng)
		if len(turn) == 0 { // each kind once, in an order of its own
			turn = rng.Perm(len(all))
		}
		c := all[turn[0]]
		turn = turn[1:]
		next := edited(t, running, c.edits...)
		if string(next) == string(edited(t, running)) {
			continue
		}
		var out changes.Outcome
		began := time.Now()
		err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: next, Why: c.name}, &out)
		what := "refused"
		if err == nil && out.ID == 0 {
			continue // the same in other words
		}
		if err == nil {
			var doc struct {
				Settings struct{ Caps struct{ AttemptsCap int } }
			}
			json.Unmarshal(next, &doc)
			attempts[int(out.ID)] = doc.Settings.Caps.AttemptsCap
			if c.name == "a class gone" {
				lacks[int(out.ID)] = "id-register"
			}
			switches = append(switches, began)
			for what = ""; what == ""; time.Sleep(10 * time.Millisecond) {
				for _, e := range status().Events {
					if e.ID == out.ID && e.What != "applied" {
						what = e.What
					}
				}
			}
			slowest = max(slowest, time.Since(began))
		}
		if what != c.want {
			t.Errorf("change %d, %s: %s, want %s (%v)", i, c.name, what, c.want, err)
		}
		if what == "kept" {
			running = next
		}
		tally[c.want+" "+what]++
	}
	st := status()
	stop()
	load.Wait()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}

	ids := site.Ledger.IDs()
	ends, by := make(map[string]int), make(map[int]int)
	var near, far []time.Duration
	for _, s := range calls {
		ends[s.reply.Verdict()]++
		gen, _ := strconv.Atoi(s.reply.Header.Get("Fawn-Config"))
		by[gen]++
		count := ids[s.id]
		switch {
		case s.reply.Status == 0:
			t.Errorf("%s: no answer: %v", s.id, s.reply.Err)
		case s.reply.Status == 404 && lacks[gen] != s.class:
			t.Errorf("%s: configuration %d knows no %s", s.id, gen, s.class)
		case attempts[gen] == 0 || count.Attempts > attempts[gen]:
			t.Errorf("%s: %d attempts under configuration %d, which allows %d", s.id, count.Attempts, gen, attempts[gen])
		case count.Effects > 1 && s.class != "status-check", s.reply.Status == 200 && count.Effects == 0:
			t.Errorf("%s: status %d, %d effects", s.id, s.reply.Status, count.Effects)
		}
		at := &far
		for _, w := range switches {
			if d := s.at.Sub(w); d > -10*time.Millisecond && d < 50*time.Millisecond {
				at = &near
			}
		}
		*at = append(*at, s.reply.Took)
	}
	if len(by) < 3 || ends["served"] < len(calls)/2 {
		t.Errorf("%d calls, ends %v, by configuration %v", len(calls), ends, by)
	}
	quantile := func(all []time.Duration, p float64) time.Duration {
		if len(all) == 0 {
			return 0
		}
		slices.Sort(all)
		return all[int(p*float64(len(all)-1))]
	}
	t.Logf("%d calls, ends %v; wanted and became: %v; verdict after %v at most; last switches %.0f us", len(calls), ends, tally, slowest.Round(time.Millisecond), st.Switches)
	t.Logf("within 50 ms of a switch: %d calls, p50 %v, p99.9 %v; else p50 %v, p99.9 %v", len(near), quantile(near, 0.5), quantile(near, 0.999), quantile(far, 0.5), quantile(far, 0.999))
}

// The file and SIGHUP: a good change is put on trial, one during another's trial waits for
// its end, the old file back ends a trial at once, half a file and a storm of signals do
// nothing, what was undone is not taken again, and a listener of an undone change goes.
func TestChangesByFile(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 2, Classes: rig.Activation()})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	dir := t.TempDir()
	socket := filepath.Join(dir, "s")
	// No traffic: the verdict is the default's, and says so.
	features := fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = \"3s\"\nfolder = %q\n", socket, dir)
	d, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	first := site.JSON("127.0.0.1:0", 1)
	status := func() (st changes.Status) {
		if err := admin.Get(t.Context(), socket, "config", &st); err != nil {
			t.Fatal(err)
		}
		return st
	}
	reload := func(platform []byte) {
		t.Helper()
		if err := d.Reload(platform, features); err != nil {
			t.Fatal(err)
		}
	}
	until := func(what string, ok func(changes.Status) bool) changes.Status {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			st := status()
			if ok(st) {
				return st
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, st)
			}
		}
	}
	two, three := edited(t, first, caps("attemptsCap", 4)), edited(t, first, caps("attemptsCap", 3))
	reload(first[:len(first)/2])
	reload(two)
	until("on trial", func(st changes.Status) bool { return st.Trial == 2 })
	reload(three)
	until("the next one waits", func(st changes.Status) bool { return st.Pending })
	st := until("the first is kept, the next on trial", func(st changes.Status) bool { return st.Running == 2 && st.Trial == 3 })
	if e := st.Events[len(st.Events)-2]; e.What != "kept" || !strings.Contains(e.Why, "too few calls") {
		t.Errorf("%+v", e)
	}
	reload(two)
	until("the old file ends the trial", func(st changes.Status) bool { return st.Running == 2 && st.Trial == 0 })
	for range 20 {
		reload(three) // undone before
		reload(two)
	}
	reload(three)
	time.Sleep(100 * time.Millisecond)
	if st := status(); st.Trial != 0 || st.Running != 2 || !st.Lasting {
		t.Errorf("what was undone is on trial again: %+v", st)
	}
	// Operators may mean it; and end it.
	var out changes.Outcome
	if err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: three}, &out); err != nil || out.ID != 4 {
		t.Fatalf("%+v, %v", out, err)
	}
	if err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: first}, &out); err == nil || !strings.Contains(err.Error(), "on trial: 4") {
		t.Errorf("two at once: %v", err)
	}
	// Discovery moves and a server drains meanwhile: both are facts, which an undo leaves.
	old := site.Discovery.Addr()
	if err := site.Discovery.Move(); err != nil {
		t.Fatal(err)
	}
	reload([]byte(strings.Replace(string(two), old, site.Discovery.Addr(), 1)))
	until("discovery is followed within the trial", func(st changes.Status) bool { return site.Discovery.Watching() > 0 && st.Trial == 4 })
	site.Discovery.Change(site.Endpoint(1, "draining"))
	rollback := func() {
		t.Helper()
		if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, new(changes.Status)); err != nil {
			t.Fatal(err)
		}
		if st := status(); st.Running != 2 || st.Trial != 0 {
			t.Errorf("%+v", st)
		}
	}
	rollback()
	client := standin.NewClient(d.Addr)
	defer client.Close()
	calls := 0
	until("the drain is kept", func(changes.Status) bool {
		for n := range 20 {
			calls++
			client.Do(t.Context(), standin.Ask{ID: fmt.Sprint("d", calls, "-", n), Class: standin.Class{Name: "status-check"}, Deadline: 5 * time.Second})
		}
		log := site.Ledger.Log()
		return !slices.ContainsFunc(log[max(0, len(log)-20):], func(a standin.Arrival) bool { return a.Server == "s2" })
	})
	if site.Discovery.Watching() == 0 {
		t.Error("the undo took discovery's address back")
	}
	// The way back from this one would be refused as a change; as an undo it is not.
	if err := admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: edited(t, two, ofClass("id-register", "effect", "once"))}, &out); err != nil || out.ID != 5 {
		t.Fatalf("%+v, %v", out, err)
	}
	rollback()
	// What ran before the one that runs, by the same rules as any other.
	if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, &out); err != nil || out.ID != 6 {
		t.Errorf("%+v, %v", out, err)
	}
	// What stops in the middle of a trial starts in it, alone, and keeps it in the end.
	if err := d.Stop(); err != nil {
		t.Fatal(err)
	}
	again, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Stop()
	if st := status(); st.Trial != 6 || !st.Alone {
		t.Errorf("after a start: %+v", st)
	}
	until("kept alone", func(st changes.Status) bool { return st.Running == 6 && st.Trial == 0 })
}

// A daemon that is killed at any moment of a change starts under one configuration whole:
// the one that it says, with that one's attempts. FAWN_KILLS=100 is the long one.
func TestChangesKilled(t *testing.T) {
	n := 6
	if v, err := strconv.Atoi(os.Getenv("FAWN_KILLS")); err == nil {
		n = v
	}
	binary := filepath.Join(t.TempDir(), "fawnrock")
	if out, err := run("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	site, err := rig.NewSite(rig.SiteConfig{Servers: 6, Classes: rig.Activation(), NoHedge: true, NoCopies: true})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	script(site, standin.Always(standin.Act{Kind: standin.Decline}))
	dir := t.TempDir()
	socket := filepath.Join(dir, "s")
	d, err := site.StartProcess(binary, 1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = \"100ms\"\nfolder = %q\n", socket, dir))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	platform := site.JSON(d.Addr, 1)
	rng := rand.New(rand.NewPCG(uint64(n), 8))
	allows := map[int]int{1: 5}
	last, trials := 1, 0
	status := func() (st changes.Status) {
		t.Helper()
		// The port is there a moment before the socket.
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(2 * time.Millisecond) {
			err := admin.Get(t.Context(), socket, "config", &st)
			if err == nil {
				return st
			}
			if time.Now().After(end) {
				t.Fatal(err)
			}
		}
	}
	for i := range n {
		c := 1 + rng.IntN(4)
		st := status()
		if st.Trial == 0 { // else the kill meets a trial that is on
			last = 1 + int(max(st.Running, st.Events[len(st.Events)-1].ID))
			allows[last] = c
		}
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: edited(t, platform, caps("attemptsCap", c))}, new(changes.Outcome))
		}()
		time.Sleep(time.Duration(rng.IntN(20000)) * time.Microsecond)
		d.Kill()
		<-applied
		if err := d.Start(); err != nil {
			t.Fatalf("kill %d: %v", i, err)
		}
		st = status()
		client := standin.NewClient(d.Addr)
		id := fmt.Sprint("k", i)
		r := client.Do(t.Context(), standin.Ask{ID: id, Class: standin.Class{Name: "status-check"}, Deadline: 10 * time.Second})
		client.Close()
		gen, _ := strconv.Atoi(r.Header.Get("Fawn-Config"))
		want := int(st.Running)
		if st.Trial != 0 {
			want = int(st.Trial)
			trials++
		}
		if got := site.Ledger.ID(id).Attempts; gen != want || got > allows[gen] || got == 0 {
			t.Errorf("kill %d: %d attempts under configuration %d, which allows %d; status %+v", i, got, gen, allows[gen], st)
		}
	}
	t.Logf("%d kills, %d of them within a trial", n, trials)
}

// free is an address that nobody listens at, and that no connection which goes out takes.
func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// A change that moves the listener: one that can't be staged leaves nothing; on trial both
// addresses serve; undone the new one is closed and its connections go on; kept the old
// one is closed.
func TestChangeOfListener(t *testing.T) {
	for _, keep := range []bool{false, true} {
		t.Run(fmt.Sprint("keep ", keep), func(t *testing.T) {
			site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: rig.Activation()})
			if err != nil {
				t.Fatal(err)
			}
			defer site.Close()
			socket := filepath.Join(t.TempDir(), "s")
			bake := map[bool]string{false: "10m", true: "500ms"}[keep]
			d, err := site.StartDaemon(1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = %q\n", socket, bake))
			if err != nil {
				t.Fatal(err)
			}
			defer d.Stop()
			taken, err := net.Listen("tcp", "127.0.0.3:0")
			if err != nil {
				t.Fatal(err)
			}
			defer taken.Close()
			calls := 0
			ask := func(c *standin.Client) int {
				calls++
				return c.Do(t.Context(), standin.Ask{ID: fmt.Sprint("l", calls), Class: standin.Class{Name: "status-check"}, Deadline: 10 * time.Second}).Status
			}
			move := func(to string) error {
				text := strings.Replace(string(site.JSON("127.0.0.1:0", 1)), `"listen":"127.0.0.1:0"`, `"listen":"`+to+`"`, 1)
				return admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: []byte(text)}, new(changes.Outcome))
			}
			var st changes.Status
			if err := move(taken.Addr().String()); err == nil || !strings.Contains(err.Error(), "listen") {
				t.Errorf("a taken address: %v", err)
			}
			if err := admin.Get(t.Context(), socket, "config", &st); err != nil || st.Trial != 0 || len(st.Events) != 1 {
				t.Errorf("left behind: %+v, %v", st, err)
			}
			to := free(t)
			if err := move(to); err != nil {
				t.Fatal(err)
			}
			old, moved := standin.NewClient(d.Addr), standin.NewClient(to)
			defer old.Close()
			defer moved.Close()
			if a := ask(moved); a != 200 {
				t.Errorf("at the new address: %d", a)
			}
			gone := to
			if keep {
				gone = d.Addr
			} else {
				if a := ask(old); a != 200 {
					t.Errorf("at the old address: %d", a)
				}
				if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, &st); err != nil {
					t.Fatal(err)
				}
			}
			for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
				c, err := net.Dial("tcp", gone)
				if err != nil {
					break
				}
				c.Close()
				if time.Now().After(end) {
					t.Fatalf("%s still listens", gone)
				}
			}
			if a := ask(moved); a != 200 {
				t.Errorf("on a connection that was there: %d", a)
			}
			fresh := standin.NewClient(map[bool]string{false: d.Addr, true: to}[keep])
			defer fresh.Close()
			if a := ask(fresh); a != 200 {
				t.Errorf("at the address that is left: %d", a)
			}
		})
	}
}

// A memory that can't be written: the undo holds, is said to be missing there and tried
// again, and nothing else is put on trial until it is written.
func TestVerdictThatIsNotWritten(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: rig.Activation()})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	dir := t.TempDir()
	socket, folder := filepath.Join(dir, "s"), filepath.Join(dir, "memory")
	inTheWay := filepath.Join(folder, "state.new") // a folder: no file can be written there
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	d, err := site.StartDaemon(1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[config]\nenabled = true\nbake = \"10m\"\nfolder = %q\n", socket, folder))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	first := site.JSON("127.0.0.1:0", 1)
	apply := func(attempts int) error {
		return admin.Do(t.Context(), socket, "config/apply", changes.Proposal{Platform: edited(t, first, caps("attemptsCap", attempts))}, new(changes.Outcome))
	}
	if err := apply(4); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(inTheWay, 0o700); err != nil {
		t.Fatal(err)
	}
	var st changes.Status
	if err := admin.Do(t.Context(), socket, "config/rollback", struct{}{}, &st); err != nil || st.Problem == "" {
		t.Errorf("%+v, %v", st, err)
	}
	client := standin.NewClient(d.Addr)
	defer client.Close()
	for n := range 8 { // the undo holds: all calls are the first one's
		if r := client.Do(t.Context(), standin.Ask{ID: fmt.Sprint("w", n), Class: standin.Class{Name: "status-check"}, Deadline: 10 * time.Second}); r.Header.Get("Fawn-Config") != "1" {
			t.Errorf("under %q", r.Header.Get("Fawn-Config"))
		}
	}
	if err := apply(3); err == nil || !strings.Contains(err.Error(), "can't be written") {
		t.Errorf("%v", err)
	}
	if err := os.Remove(inTheWay); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		st = changes.Status{}
		if err := admin.Get(t.Context(), socket, "config", &st); err != nil {
			t.Fatal(err)
		}
		if st.Problem == "" && st.Trial == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", st)
		}
	}
	if err := apply(3); err != nil {
		t.Errorf("once it is written: %v", err)
	}
}
