package daemon

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/front"
	"chalkrack/internal/history"
	"chalkrack/internal/upstream"
)

// starts is a changer as a start makes it, without servers or clients.
func starts(t *testing.T, c *Config) *changer {
	t.Helper()
	c, err := Recall(c)
	if err != nil {
		t.Fatal(err)
	}
	ts := times(c)
	pool := upstream.New(upstream.Config{ConnIdle: ts.ConnIdle, DialTimeout: ts.DialTimeout, DrainGrace: ts.DrainGrace, MostConns: 10})
	host, err := core.New(core.Config{First: generationOf(c, c.id()), Seed: 1, Transport: pool})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", c.listen)
	if err != nil {
		t.Fatal(err)
	}
	g := newChanger(c, host, pool, front.New(front.Config{MostConns: 10}, host), new(discovery.Watcher), ln)
	t.Cleanup(func() { g.close(); host.Close(); pool.Close(); c.store.Close() })
	return g
}

// edit is what runs with a part of its text replaced.
func (g *changer) edit(t *testing.T, old, new string) *Config {
	t.Helper()
	text := strings.Replace(string(g.c.platform), old, new, 1)
	if text == string(g.c.platform) {
		t.Fatalf("%s is not in it", old)
	}
	next, err := parse([]byte(text), g.c.own, "features", g.c.getenv)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// What belongs to no single call goes by both configurations while both serve, and by the
// one that is left afterwards; the address of discovery is a fact that no verdict changes;
// one trial is enough at a time.
func TestWhatAllCallsShare(t *testing.T) {
	for _, keep := range []bool{false, true} {
		p := newPair(t)
		p.write(t, 5, "[config]\nenabled = true\n")
		g := starts(t, p.load(t))
		next := g.edit(t, `"connIdleUs":30000000,"dialTimeoutUs":250000},"guarantees":{"drainGraceUs":2000000}`,
			`"connIdleUs":20000000,"dialTimeoutUs":900000},"guarantees":{"drainGraceUs":1000000}`)
		next.settings.Deadlines[0] = time.Minute
		if out, err := g.propose(next, "", false); err != nil || out.ID != 2 {
			t.Fatalf("%+v, %v", out, err)
		}
		if got := g.pool.Times(); got != (upstream.Times{ConnIdle: 20 * time.Second, DialTimeout: 900 * time.Millisecond, DrainGrace: time.Second}) {
			t.Errorf("on trial: %+v", got)
		}
		if g.longest() != time.Minute {
			t.Errorf("a stop waits %v", g.longest())
		}
		if _, err := g.propose(g.edit(t, `"attemptsCap":5`, `"attemptsCap":4`), "", false); !errors.Is(err, history.ErrBaking) {
			t.Errorf("two at once: %v", err)
		}
		g.c.discovery = "127.0.0.1:99" // as a SIGHUP within the trial has it
		g.settle(keep, "")
		want := times(g.c)
		if got := g.pool.Times(); got != want || (want.ConnIdle == 20*time.Second) != keep {
			t.Errorf("keep %v: %+v, want %+v", keep, got, want)
		}
		if g.c.discovery != "127.0.0.1:99" || (g.c == next) != keep {
			t.Errorf("keep %v: discovery %s", keep, g.c.discovery)
		}
	}
}

// The way back of a trial that a start found is a change like any: one that takes a start
// is refused whole, and the trial goes on; any other is made at once.
func TestWayBackBehindAStart(t *testing.T) {
	p := newPair(t)
	folder := t.TempDir()
	own := "[config]\nenabled = true\nfolder = \"" + folder + "\"\n"
	p.write(t, 5, own)
	first, err := Recall(p.load(t))
	if err != nil {
		t.Fatal(err)
	}
	first.store.Close()
	p.write(t, 4, strings.Replace(own, "enabled", "bake = \"1h\"\nenabled", 1))
	g := starts(t, p.load(t))
	if !g.c.trial {
		t.Fatal("not on trial")
	}
	if _, err := g.rollback(nil); !errors.Is(err, errNeedsStart) {
		t.Errorf("%v", err)
	}
	if st := g.c.store.State(); st.Baking == 0 || !g.c.trial || g.next != nil {
		t.Errorf("half undone: %+v", st)
	}
	g.close()
	g.c.store.Close()

	p.write(t, 3, own)
	g = starts(t, p.load(t))
	if _, err := g.rollback(nil); err != nil {
		t.Fatal(err)
	}
	st := g.c.store.State()
	if st.Baking != 0 || g.c.trial || g.c.settings.Config.MaxAttempts != 5 || g.host.Generations().Current.ID != int(st.Good) || g.host.Generations().Next != nil {
		t.Errorf("%+v, %d attempts", st, g.c.settings.Config.MaxAttempts)
	}
}
