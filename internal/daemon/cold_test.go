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

// Thirty processes, three with ten times the load of the others, learn at the same time that a
// server has restarted and that three of six servers are removed. All their attempts at the cold
// server together, retries and copies included, must not overload it: 32 calls within a second
// do at its start.
func TestThirtyProcessesDoNotOverloadColdServer(t *testing.T) {
	const fleet, servers = 30, 6
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: servers, DaemonCount: fleet, StartWarm: true, ColdShare: 0.2, WarmUpTime: 8 * time.Second,
		Server: standin.ServerConfig{RequestsPerSecond: 40, ColdShare: 0.2, WarmUpTime: 8 * time.Second, FallFactor: 4, FallFor: time.Second}})
	for _, s := range site.Servers {
		s.SetWarm()
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	var started sync.WaitGroup
	for n := range fleet {
		started.Add(1)
		wg.Go(func() {
			d, err := site.StartProcess(binary, uint64(n), "")
			if err != nil {
				t.Error(err)
				started.Done()
				return
			}
			defer d.Close()
			pause := time.Second
			if n%10 == 0 {
				pause /= 10
			}
			c := standin.NewClient(d.Addr)
			defer c.Close()
			for k := 0; ctx.Err() == nil; k++ {
				if k == 3 {
					started.Done()
				}
				c.Do(ctx, standin.ClientRequest{ID: fmt.Sprintf("%x-%x", n, k), Class: check})
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		})
	}
	started.Wait()
	logLength := len(site.Servers[0].Ledger().Arrivals())
	site.Servers[0].Kill()
	if err := site.Servers[0].Restart(); err != nil {
		t.Fatal(err)
	}
	changes := []standin.Endpoint{site.Endpoint(0, "up")}
	for n := 1; n <= 3; n++ {
		changes = append(changes, site.Endpoint(n, "removed"))
	}
	site.Discovery.Change(changes...)
	name, cold := site.Servers[0].Name(), 0
	waitUntil(t, "the cold server is not used", func() bool {
		cold = 0
		for _, a := range site.Servers[0].Ledger().Arrivals()[logLength:] {
			if a.Server == name {
				cold++
			}
		}
		return cold >= 20 || site.Servers[0].Fallen()
	})
	if site.Servers[0].Fallen() {
		t.Errorf("the cold server was overloaded by %d calls", cold)
	}
}
