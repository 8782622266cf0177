package daemon_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// startDaemon returns a daemon with a descriptor limit, 0 for the default, and its site, whose
// servers answer after a delay.
func startDaemon(t *testing.T, servers, sockets int, delay time.Duration) (*rig.Site, *rig.Daemon) {
	t.Helper()
	site, err := rig.NewSite(rig.SiteConfig{Servers: servers, Classes: rig.LongDeadlineClasses(), NoHedge: true, MaxSockets: sockets,
		Server: standin.ServerConfig{Script: standin.Always(standin.Action{Kind: standin.Serve, Delay: delay})}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	d, err := site.StartDaemon(1, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop() })
	return site, d
}

// A busy sidecar of 256 descriptors reuses its connections to 60 servers: with too low a limit for
// server connections, each call evicted an idle connection to another server.
func TestBusySidecarReusesConnections(t *testing.T) {
	const servers, clients, calls = 60, 40, 80
	site, d := startDaemon(t, servers, 256, 20*time.Millisecond)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			c := standin.NewClient(d.Addr)
			defer c.Close()
			for k := range calls {
				if r := c.Do(context.Background(), standin.ClientRequest{ID: fmt.Sprintf("%d-%d", n, k), Class: check}); r.Verdict() != "served" {
					t.Errorf("client %d, call %d: %s", n, k, r.Verdict())
				}
			}
		})
	}
	wg.Wait()
	opened := 0
	for _, s := range site.Servers {
		opened += s.OpenedConns()
	}
	t.Logf("%d connections for %d calls", opened, clients*calls)
	if opened > clients*calls/8 {
		t.Errorf("%d connections for %d calls, want at most one for 8", opened, clients*calls)
	}
}
