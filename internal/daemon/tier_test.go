package daemon_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"chalkrack/client"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	code := m.Run()
	rig.RemoveBuiltDaemon()
	os.Exit(code)
}

var (
	check    = standin.Class{Name: "status-check", Effect: standin.Safe}
	activate = standin.Class{Name: "activate", Effect: standin.Unsafe}
)

func startDaemons(t *testing.T, cfg rig.SiteConfig, daemons int, features string) (*rig.Site, []*rig.Daemon) {
	t.Helper()
	if cfg.Classes == nil {
		cfg.Classes = rig.LongDeadlineClasses()
	}
	cfg.Servers, cfg.NoHedge = 5, true
	site, err := rig.NewSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	var all []*rig.Daemon
	for n := range daemons {
		d, err := site.StartDaemon(uint64(n), features)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Stop() })
		all = append(all, d)
	}
	return site, all
}

func alwaysServer(k standin.ActionKind) standin.ServerConfig {
	return standin.ServerConfig{Script: standin.Always(standin.Action{Kind: k, Status: 404, Body: "why"})}
}

// A Req-Attempts header bounds the daemon's attempts: to one if it is invalid, and never to more
// than the settings allow. The same header a second time gets no attempt.
func TestAttemptMarksBoundAttempts(t *testing.T) {
	for _, m := range []struct {
		marks []string
		most  int
	}{
		{nil, 3}, {[]string{"1; nth=1"}, 1}, {[]string{"1"}, 1}, {[]string{"2"}, 2}, {[]string{"3"}, 3}, {[]string{" 2 ; x"}, 2},
		{[]string{"99"}, 3}, {[]string{"0"}, 1}, {[]string{"-7"}, 1}, {[]string{""}, 1}, {[]string{"many"}, 1}, {[]string{"1e3"}, 1},
		{[]string{"99999999999999999999999"}, 1}, {[]string{"3", "3"}, 1}, {[]string{"; nth=2"}, 1}, {[]string{"3, 3"}, 1},
	} {
		t.Run(fmt.Sprintf("%q", m.marks), func(t *testing.T) {
			t.Parallel()
			site, ds := startDaemons(t, rig.SiteConfig{MaxAttempts: 3, Server: alwaysServer(standin.Decline)}, 1, "")
			c := standin.NewClient(ds[0].Addr)
			defer c.Close()
			r := c.Do(context.Background(), standin.ClientRequest{ID: "1", Class: activate, Header: http.Header{"Req-Attempts": m.marks}})
			if n := site.Ledger.RequestCount("1").Attempts; n != m.most || r.Status != 503 {
				t.Errorf("%d attempts, answered %d", n, r.Status)
			}
			if told := r.Header.Get("Srv-Declined") == "1"; told != (m.marks != nil) {
				t.Errorf("Srv-Declined set: %v", told)
			}
		})
	}
	t.Run("twice", func(t *testing.T) {
		t.Parallel()
		site, ds := startDaemons(t, rig.SiteConfig{MaxAttempts: 3, Server: alwaysServer(standin.Fail)}, 1, "")
		c := standin.NewClient(ds[0].Addr)
		defer c.Close()
		for n, step := range []struct {
			mark, verdict string
			attempts      int
		}{{"1; nth=1", "refused", 1}, {"1; nth=1", "failed", 1}, {"1; nth=1", "failed", 1}, {"1; nth=2", "refused", 2}} {
			r := c.Do(context.Background(), standin.ClientRequest{ID: "twice", Class: check, Header: http.Header{"Req-Attempts": {step.mark}}})
			if got := site.Ledger.RequestCount("twice").Attempts; r.Verdict() != step.verdict || got != step.attempts {
				t.Errorf("step %d: %s, %d attempts", n, r.Verdict(), got)
			}
		}
	})
}

// A client plug-in uses daemons as nodes: the plug-in decides on retries, and a daemon makes one
// attempt for each attempt of the plug-in. An activation that may have run is not repeated, a
// declined one goes to the other daemon, and safe calls are not retried by both layers.
func TestPluginWithDaemonsAsNodes(t *testing.T) {
	for _, c := range []struct {
		name     string
		act      standin.ActionKind
		class    string
		verdict  string
		attempts int
		effects  int
	}{
		{"served", standin.Serve, "activate", "served", 1, 1},
		{"broken off", standin.CloseLate, "activate", "failed", 1, 1},
		{"failed", standin.Fail, "activate", "failed", 1, 1},
		{"turned away", standin.Decline, "activate", "refused", 2, 0},
		{"failed, safe", standin.Fail, "status-check", "refused", 2, 2},
		{"broken off, safe", standin.CloseLate, "status-check", "refused", 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			site, ds := startDaemons(t, rig.SiteConfig{Server: alwaysServer(c.act)}, 2, "")
			tr, err := client.New(client.Config{
				Classes: []client.Class{
					{Name: "status-check", Effect: client.Safe, Aim: 10 * time.Second, Deadline: 20 * time.Second},
					{Name: "activate", Aim: 10 * time.Second, Deadline: 20 * time.Second},
				},
				Nodes: []client.Node{{Address: ds[0].Addr}, {Address: ds[1].Addr}}, MaxAttempts: 5, NoCopies: true, Seed: 1,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer tr.Close(context.Background())
			method := map[string]string{"activate": "POST", "status-check": "GET"}[c.class]
			r, _ := http.NewRequest(method, "http://app/"+c.class, nil)
			r.Header.Set("Req-Id", "1")
			resp, err := tr.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			got := site.Ledger.RequestCount("1")
			if v := (standin.Reply{Status: resp.StatusCode}).Verdict(); v != c.verdict || got.Attempts != c.attempts || got.Effects != c.effects {
				t.Errorf("%s after %+v, want %s after %d attempts", v, got, c.verdict, c.attempts)
			}
		})
	}
}

// The operators' file sets the class of a path and whether 4xx answers are passed on. Errors name
// the file, line and field.
func TestPathAndAnswerFeatures(t *testing.T) {
	_, ds := startDaemons(t, rig.SiteConfig{Server: alwaysServer(standin.Deny)}, 1, "[answers]\npass_client_errors = true\n[paths]\n\"/sim.v1.Sim/Check\" = \"status-check\"\n")
	resp, err := http.DefaultClient.Do(newRequest(t, "GET", "http://"+ds[0].Addr+"/sim.v1.Sim/Check"))
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != 404 || string(body) != "why" {
		t.Errorf("with pass_client_errors: %d %q, want 404 \"why\"", resp.StatusCode, body)
	}
	_, ds = startDaemons(t, rig.SiteConfig{Server: alwaysServer(standin.Deny)}, 1, "")
	for path, want := range map[string]int{"/sim.v1.Sim/Check": 404, "/status-check": 503} {
		resp, err := http.DefaultClient.Do(newRequest(t, "GET", "http://"+ds[0].Addr+path))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("without settings %s: %d", path, resp.StatusCode)
		}
	}
	for text, want := range map[string]string{"[paths]\n\"/x\" = \"nowhere\"\n": `features.toml:2: paths./x: there is no class "nowhere"`, "nonsense = 1": "features.toml:1: nonsense"} {
		site, _ := startDaemons(t, rig.SiteConfig{}, 0, "")
		if _, err := site.StartDaemon(1, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func newRequest(t *testing.T, method, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", url)
	return r
}
