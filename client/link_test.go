package client

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// fakeDaemon starts a stand-in server in place of the daemon. It handles calls by the
// script and answers health probes with success.
func fakeDaemon(t *testing.T, script standin.Script) *standin.Server {
	t.Helper()
	s, err := standin.NewServer(standin.ServerConfig{Name: "daemon", Script: func(r standin.Request) standin.Action {
		if r.Class == "_health" {
			return standin.Action{}
		}
		return script(r)
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// The daemon dies or misbehaves at each stage of a call. If the call can't have reached it,
// the plug-in makes the whole call; if the call may have run, the plug-in continues only as
// the class allows, with the one attempt that the daemon was told to leave.
func TestDaemonDiesDuringCall(t *testing.T) {
	all := []string{"status-check", "id-register", "activate"}
	type want struct {
		verdict string
		sends   int // attempts of the plug-in at the nodes
	}
	served, refused, failed := want{"served", 1}, want{"refused", 0}, want{"failed", 0}
	for _, c := range []struct {
		name   string
		act    standin.Action
		before func(d *standin.Server)
		big    bool
		window time.Duration
		scope  Scope
		wait   time.Duration
		want   [3]want // by class, in the order of all
	}{
		{name: "is not there", before: (*standin.Server).Kill, want: [3]want{served, served, served}},
		{name: "dies before the last byte", act: standin.Action{Kind: standin.ResetEarly}, big: true, want: [3]want{{}, served, served}},
		{name: "dies behind the last byte", act: standin.Action{Kind: standin.ResetLate}, want: [3]want{served, served, failed}},
		{name: "dies at work", act: standin.Action{Kind: standin.CloseLate, Delay: 50 * time.Millisecond}, want: [3]want{served, served, failed}},
		{name: "dies with half an answer", act: standin.Action{Kind: standin.ShortBody}, want: [3]want{served, served, failed}},
		{name: "answers noise", act: standin.Action{Kind: standin.Noise}, want: [3]want{served, served, failed}},
		{name: "dies after the window", act: standin.Action{Kind: standin.ResetLate, Delay: 150 * time.Millisecond}, window: 50 * time.Millisecond, want: [3]want{served, refused, failed}},
		{name: "dies, keys known in a group", act: standin.Action{Kind: standin.ResetLate}, scope: ScopeGroup, want: [3]want{served, failed, failed}},
		{name: "says nothing", act: standin.Action{Kind: standin.Silence}, wait: 200 * time.Millisecond, want: [3]want{refused, refused, failed}},
		{name: "refuses", act: standin.Action{Kind: standin.Deny, Status: 503}, want: [3]want{refused, refused, refused}},
		{name: "fails", act: standin.Action{Kind: standin.Deny, Status: 502}, want: [3]want{failed, failed, failed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for n, class := range all {
				if c.want[n] == (want{}) {
					continue
				}
				site := newSite(t, rig.SiteConfig{Servers: 3})
				d := fakeDaemon(t, standin.Always(c.act))
				cfg := Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Daemon: d.Addr(), MaxBody: 32 << 20, MaxAttempts: 4}
				cfg.Classes[1].Scope = c.scope
				if c.window > 0 {
					cfg.Classes[1].Window = c.window
				}
				tr := newTransport(t, cfg)
				if c.before != nil {
					c.before(d)
				}
				a := askOf(class, "1")
				a.Deadline = c.wait
				if c.big {
					a.Body = strings.Repeat("x", 16<<20)
				}
				r := send(context.Background(), tr, a)
				if got := (want{r.Verdict(), site.Ledger.RequestCount("1").Attempts}); got != c.want[n] {
					t.Errorf("%s: %+v (%+v), want %+v", class, got, r, c.want[n])
				}
				if v := r.Verdict(); v != "served" && r.Header.Get(VerdictField) != v {
					t.Errorf("%s: call was %s, but Fawn-Verdict is %q", class, v, r.Header.Get(VerdictField))
				}
				if c.before == nil && !c.big && d.Ledger().RequestCount("1").Attempts != 1 {
					t.Errorf("%s: want one attempt at the daemon, got %+v", class, d.Ledger().RequestCount("1"))
				}
			}
		})
	}
}

// Req-Attempts tells the daemon to leave the last attempt to the plug-in and carries no
// other mark.
func TestDaemonLeavesLastAttempt(t *testing.T) {
	var mu sync.Mutex
	var fields []string
	d := fakeDaemon(t, func(r standin.Request) standin.Action {
		mu.Lock()
		defer mu.Unlock()
		fields = append(fields, r.Header.Get("Req-Attempts"))
		return standin.Action{}
	})
	site := newSite(t, rig.SiteConfig{Servers: 2})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Daemon: d.Addr(), MaxAttempts: 4})
	for n := range 5 {
		if r := send(context.Background(), tr, askOf("activate", fmt.Sprint(n))); r.Verdict() != "served" {
			t.Errorf("%+v", r)
		}
	}
	if !tr.ByDaemon() || len(site.Ledger.Arrivals()) != 0 {
		t.Errorf("%d calls bypassed the daemon", len(site.Ledger.Arrivals()))
	}
	if got := fmt.Sprint(fields); got != "[3 3 3 3 3]" {
		t.Errorf("Req-Attempts values %s, want [3 3 3 3 3]", got)
	}
}

// The retry budgets are empty when the plug-in takes over from the daemon: it earns retries
// only by the calls that it makes itself. Otherwise each outage of the daemon would add the
// retries of a second tier.
func TestRetryBudgetEmptyAfterTakeover(t *testing.T) {
	const calls = 40
	site := newSite(t, rig.SiteConfig{Servers: 4, Server: standin.ServerConfig{Script: nthScript(standin.Fail)}})
	d := fakeDaemon(t, standin.Always(standin.Action{}))
	cs := longDeadlineClasses()[:1]
	tr := newTransport(t, Config{Classes: cs, Nodes: fixedNodes(site), Daemon: d.Addr(), NoCopies: true})
	for n := range calls { // through the daemon: these earn no retries in the plug-in
		send(context.Background(), tr, askOf("status-check", fmt.Sprint("d", n)))
	}
	d.Kill()
	for n := range calls {
		send(context.Background(), tr, askOf("status-check", fmt.Sprint("p", n)))
	}
	// Each call earns 0.3 further attempts; a full budget would allow 10 more.
	n := len(site.Ledger.Arrivals())
	if n > calls+calls*3/10+1 {
		t.Errorf("%d attempts for %d calls", n, calls)
	}
	t.Logf("%d attempts for %d calls", n, calls)
}

// A Transport without nodes refuses a call at once, with Retry-After, if the daemon is down.
func TestRefusesWithoutDaemonAndNodes(t *testing.T) {
	d := fakeDaemon(t, standin.Always(standin.Action{}))
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Daemon: d.Addr()})
	d.Kill()
	r := send(context.Background(), tr, askOf("activate", "1"))
	if r.Verdict() != "refused" || r.Header.Get("Retry-After") == "" || r.Header.Get(VerdictField) != "refused" {
		t.Errorf("%+v", r)
	}
}

// A daemon that hangs is detected by a probe, not only by calls that reach their deadlines:
// later calls bypass it.
func TestProbeDetectsFrozenDaemon(t *testing.T) {
	site := newSite(t, rig.SiteConfig{Servers: 2})
	d := fakeDaemon(t, standin.Always(standin.Action{}))
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Daemon: d.Addr()})
	d.Freeze()
	ctx, cancel := context.WithCancel(context.Background())
	hung := make(chan standin.Reply, 1)
	go func() { hung <- send(ctx, tr, askOf("activate", "hung")) }()
	waitUntil(t, "the hanging daemon still counts as available", func() bool { return !tr.ByDaemon() })
	if r := send(context.Background(), tr, askOf("activate", "next")); r.Verdict() != "served" || site.Ledger.RequestCount("next").Attempts != 1 {
		t.Errorf("%+v", r)
	}
	cancel()
	<-hung
	d.Thaw()
	waitUntil(t, "calls never return to the daemon", tr.ByDaemon)
}
