package changes

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/change"
	"chalkrack/internal/config"
	"chalkrack/internal/config/configtest"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/figures"
	"chalkrack/internal/front"
	"chalkrack/internal/history"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

// newTestChanges returns a Manager as the daemon creates it at a start, without servers or
// clients.
func newTestChanges(t *testing.T, c *config.Config) *Manager {
	t.Helper()
	c, err := config.RestoreHistory(c)
	if err != nil {
		t.Fatal(err)
	}
	ts := connTimes(c)
	pool := upstream.New(upstream.Config{ConnIdleTimeout: ts.ConnIdleTimeout, DialTimeout: ts.DialTimeout, DrainGrace: ts.DrainGrace, MaxConns: 10})
	pool.SetTimeouts(ts)
	host, err := core.New(core.Config{Generation: c.Generation(c.ID()), Seed: 1, Transport: pool})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{Running: c, Paths: []Path{{Host: host, Conns: pool}}, Front: front.New(front.Config{MaxConns: 10}, host), Discovery: new(discovery.Watcher), Listener: ln})
	t.Cleanup(func() { g.Close(); host.Close(); pool.Close(); c.History.Close() })
	return g
}

// withReplacement returns the current configuration with a part of its text replaced.
func (g *Manager) withReplacement(t *testing.T, old, new string) *config.Config {
	t.Helper()
	text := strings.Replace(string(g.current.PlatformData), old, new, 1)
	if text == string(g.current.PlatformData) {
		t.Fatalf("the configuration does not contain %s", old)
	}
	next, err := config.Parse([]byte(text), g.current.FeaturesData, "features", g.current.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// addPath adds a path with a core and connections of its own.
func (g *Manager) addPath(t *testing.T, name string) {
	t.Helper()
	conns := upstream.New(upstream.Config{MaxConns: 10})
	conns.SetTimeouts(connTimes(g.current))
	host, err := core.New(core.Config{Generation: g.current.Generation(g.current.ID()), Seed: 2, Transport: conns})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { host.Close(); conns.Close() })
	g.paths = append(g.paths, Path{Name: name, Host: host, Conns: conns})
	g.cores = coresOf(g.paths)
}

// Settings that all calls share follow the stricter of both configurations during a trial,
// and the remaining one afterwards. The address of discovery does not depend on the result
// of the trial, and a second trial is refused.
func TestSharedSettingsFollowBothConfigurationsDuringTrial(t *testing.T) {
	for _, keep := range []bool{false, true} {
		p := configtest.New(t)
		p.Write(t, 5, "[config]\nenabled = true\n")
		g := newTestChanges(t, p.Load(t))
		g.addPath(t, "web")
		next := g.withReplacement(t, `"connIdleUs":30000000,"dialTimeoutUs":250000},"guarantees":{"drainGraceUs":2000000}`,
			`"connIdleUs":20000000,"dialTimeoutUs":900000},"guarantees":{"drainGraceUs":1000000}`)
		next.Settings.Deadlines[0], next.Settings.Config.Classes[0].Aim = time.Minute, 300*time.Millisecond
		if out, err := g.propose(next, "", false); err != nil || out.ID != 2 {
			t.Fatalf("%+v, %v", out, err)
		}
		for _, path := range g.paths {
			if got := path.Conns.Timeouts(); got != (upstream.Timeouts{ConnIdleTimeout: 20 * time.Second, DialTimeout: 900 * time.Millisecond, DrainGrace: time.Second, StallTimeout: 150 * time.Millisecond, StreamStallTimeout: 10 * time.Second}) {
				t.Errorf("path %q: times during the trial: %+v", path.Name, got)
			}
		}
		if g.LongestDeadline() != time.Minute {
			t.Errorf("Longest is %v, want 1m", g.LongestDeadline())
		}
		if _, err := g.propose(g.withReplacement(t, `"attemptsCap":5`, `"attemptsCap":4`), "", false); !errors.Is(err, history.ErrOnTrial) {
			t.Errorf("second trial: got error %v, want ErrOnTrial", err)
		}
		g.current.Discovery = "127.0.0.1:99" // as a SIGHUP within the trial has it
		g.finishTrial(keep, "")
		want := connTimes(g.current)
		want.StallTimeout = min(want.StallTimeout, 400*time.Millisecond) // the longest that connections take
		for _, path := range g.paths {
			if got := path.Conns.Timeouts(); got != want || (want.ConnIdleTimeout == 20*time.Second) != keep {
				t.Errorf("keep %v: path %q: %+v, want %+v", keep, path.Name, got, want)
			}
		}
		if g.current.Discovery != "127.0.0.1:99" || (g.current == next) != keep {
			t.Errorf("keep %v: discovery %s", keep, g.current.Discovery)
		}
	}
}

// Requests of a class that a change adds are counted from the beginning of its trial.
func TestTrialCountsAddedClasses(t *testing.T) {
	p := configtest.New(t)
	p.Write(t, 5, "[config]\nenabled = true\n")
	g := newTestChanges(t, p.Load(t))
	g.figures = figures.New(g.current.Settings.ClassNames())
	next := g.withReplacement(t, `"classes":[`, `"classes":[{"name":"sim-swap","effect":"once","promiseUs":1000000,"hardLimitUs":3000000},`)
	if _, err := g.propose(next, "", false); err != nil {
		t.Fatal(err)
	}
	for _, class := range []string{"sim-swap", "activate"} {
		g.figures.CountRequest(new(figures.Request), class)
	}
	if n := g.figures.Outstanding(); n != 2 {
		t.Errorf("%d requests of two classes are outstanding, want 2", n)
	}
}

// The rollback of a trial that was on at the start of the process follows the rules of any
// change: one that needs a restart is refused completely and the trial goes on; any other
// is made at once.
func TestRollbackOfTrialFoundAtStart(t *testing.T) {
	p := configtest.New(t)
	folder := t.TempDir()
	own := "[config]\nenabled = true\nfolder = \"" + folder + "\"\n"
	p.Write(t, 5, own)
	first, err := config.RestoreHistory(p.Load(t))
	if err != nil {
		t.Fatal(err)
	}
	first.History.Close()
	p.Write(t, 4, strings.Replace(own, "enabled", "bake = \"1h\"\nenabled", 1))
	g := newTestChanges(t, p.Load(t))
	if !g.current.OnTrial {
		t.Fatal("the configuration from the files is not on trial after the start")
	}
	if _, err := g.rollback(nil); !errors.Is(err, errNeedsRestart) {
		t.Errorf("%v", err)
	}
	if st := g.current.History.State(); st.Baking == 0 || !g.current.OnTrial || g.trial != nil {
		t.Errorf("a refused rollback changed the trial: %+v", st)
	}
	g.Close()
	g.current.History.Close()

	p.Write(t, 3, own)
	g = newTestChanges(t, p.Load(t))
	if _, err := g.rollback(nil); err != nil {
		t.Fatal(err)
	}
	st := g.current.History.State()
	if st.Baking != 0 || g.current.OnTrial || g.current.Settings.Config.MaxAttempts != 5 || g.paths[0].Host.Generations().Current.ID != int(st.Good) || g.paths[0].Host.Generations().Next != nil {
		t.Errorf("%+v, %d attempts", st, g.current.Settings.Config.MaxAttempts)
	}
}

// A change of a setting that parts of the daemon were constructed with needs a restart, and
// the whole change is refused.
func TestChangesThatNeedRestartAreRefused(t *testing.T) {
	p := configtest.New(t)
	const bodies = "[bodies]\nenabled = true\n"
	const radius = "[radius]\nenabled = true\nauth = \"127.0.0.1:1812\"\nacct = \"127.0.0.1:1813\"\n[[radius.clients]]\nname = \"c\"\nrange = \"10.0.0.0/8\"\nsecret = \"a long secret\"\n" +
		"[[radius.servers]]\nname = \"r\"\nauth = \"127.0.0.1:1\"\nacct = \"127.0.0.1:2\"\nsecret = \"another secret\"\n"
	for _, c := range []struct {
		own, old, new, field string // field: empty, it may be made
	}{
		{"", `"attemptsCap":5`, `"attemptsCap":4`, ""},
		{bodies, `"attemptsCap":5`, `"attemptsCap":4`, ""},
		{bodies, `"classes":[`, `"classes":[{"name":"more","effect":"once","promiseUs":1,"hardLimitUs":1},`, "settings.classes[more].name"},
		{"", `"classes":[`, `"classes":[{"name":"more","effect":"once","promiseUs":1,"hardLimitUs":1},`, ""},
		{radius, `"attemptsCap":5`, `"attemptsCap":4`, "settings.caps.attemptsCap"},
		{"", `"zone":"z"`, `"zone":"y"`, "settings.zone"},
		{"", `"memory_mb":64`, `"memory_mb":96`, "limits.memory_mb"},
		{"[level]\nenabled = true\n", `"attemptsCap":5`, `"attemptsCap":4`, ""},
		{"[level]\nenabled = true\n", `"hardLimitUs":3000000`, `"hardLimitUs":3000000,"worth":2`, "settings.classes[activate].worth"},
		{"", `"hardLimitUs":3000000`, `"hardLimitUs":3000000,"worth":2`, ""},
	} {
		p.Write(t, 5, c.own)
		running := p.Load(t)
		text := bytes.Replace(running.PlatformData, []byte(c.old), []byte(c.new), 1)
		next, err := config.Parse(text, running.FeaturesData, "features", p.Getenv)
		if err != nil {
			t.Fatal(err)
		}
		plan, why, err := comparePlan(running, next, change.Usage{})
		if err != nil || len(plan.Changes) == 0 {
			t.Fatalf("%+v, %v", plan, err)
		}
		said := fmt.Sprint(why)
		if (c.field == "") != (len(why) == 0) || !strings.Contains(said, c.field) || c.field != "" && !strings.Contains(said, "next start") {
			t.Errorf("%s to %s with %.10q: %v", c.old, c.new, c.own, why)
		}
	}
}

// Guards against a change that the platform's servers take and a pool can't: it is refused with the pool
// and the field, and leaves neither a trial nor an entry in the history.
func TestChangeThatOnePathCannotTakeIsRefused(t *testing.T) {
	p := configtest.New(t)
	p.Write(t, 5, "[config]\nenabled = true\n")
	g := newTestChanges(t, p.Load(t))
	g.addPath(t, "web")
	canTake := false
	g.paths[1].Adapt = func(platform *settings.Settings) *settings.Settings {
		own := *platform
		if !canTake {
			own.Config.MaxAttempts = 0
		}
		return &own
	}
	next := g.withReplacement(t, `"attemptsCap":5`, `"attemptsCap":4`)
	if _, err := g.propose(next, "", false); err == nil || !strings.Contains(err.Error(), `"web"`) || !strings.Contains(err.Error(), "MaxAttempts") {
		t.Errorf("the change is answered with %v", err)
	}
	if err := g.switchToTrial(next, 2, nil); err == nil {
		t.Error("a change that one core can't take began")
	}
	for _, path := range g.paths {
		if v := path.Host.Generations(); v.Next != nil || v.Current.ID != 1 {
			t.Errorf("path %q serves under %+v", path.Name, v)
		}
	}
	if st := g.current.History.State(); len(st.Events) != 1 || g.trial != nil {
		t.Errorf("history %+v, trial %v", st, g.trial)
	}
	canTake = true
	if _, err := g.propose(next, "", false); err != nil {
		t.Fatal(err)
	}
	for _, path := range g.paths {
		if v := path.Host.Generations(); v.Next == nil || v.Next.ID != 2 {
			t.Errorf("path %q serves under %+v", path.Name, v)
		}
	}
}

// During a trial the times of shared connections keep the promises of both configurations.
func TestStrictestTimesKeepsBothPromises(t *testing.T) {
	a := upstream.Timeouts{ConnIdleTimeout: 3, DialTimeout: 1, DrainGrace: 2, StallTimeout: 7, StreamStallTimeout: 8}
	b := upstream.Timeouts{ConnIdleTimeout: 2, DialTimeout: 4, DrainGrace: 5, StallTimeout: 6, StreamStallTimeout: 9}
	if got := strictestTimes(a, b); got != (upstream.Timeouts{ConnIdleTimeout: 2, DialTimeout: 4, DrainGrace: 2, StallTimeout: 6, StreamStallTimeout: 9}) || got != strictestTimes(b, a) {
		t.Errorf("%+v", got)
	}
}
