package client

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// Restarts the daemon under load several times, by SIGTERM and by SIGKILL. Every call gets
// exactly one answer, no call runs twice unless it may, no call has more attempts than both
// tiers together may make, the plug-in decides calls during the outage and then returns to
// the daemon, and the servers see no burst of calls on that return.
func TestDaemonRestartsUnderLoad(t *testing.T) {
	path, err := rig.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("kill=%v", kill), func(t *testing.T) {
			const (
				workers = 8
				pace    = 20 * time.Millisecond
				most    = 4
			)
			cs := rigClassesWithDeadline(5 * time.Second)
			site := newSite(t, rig.SiteConfig{Classes: cs, Servers: 4, MaxAttempts: most, Server: standin.ServerConfig{
				Script: standin.Random(7,
					standin.WeightedAction{Probability: 0.05, Action: standin.Action{Kind: standin.Decline}},
					standin.WeightedAction{Probability: 0.05, Action: standin.Action{Kind: standin.CloseLate}},
					standin.WeightedAction{Probability: 0.9, Action: standin.Action{Delay: 10 * time.Millisecond}}),
			}})
			d, err := site.StartProcess(path, 3, "")
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			tr := newTransport(t, Config{Platform: site.PlatformConfig("127.0.0.1:1", 5), Daemon: d.Addr, Seed: 5})
			stop := make(chan struct{})
			var wg sync.WaitGroup
			var mu sync.Mutex
			p := runResult{verdicts: make(map[string]string), classOf: make(map[string]string)}
			for w := range workers {
				wg.Go(func() {
					m := mix(uint64(w), cs)
					tick := time.NewTicker(pace)
					defer tick.Stop()
					for {
						select {
						case <-stop:
							return
						case <-tick.C:
						}
						a := m.Next()
						a.ID = fmt.Sprint(w, "-", a.ID)
						r := send(context.Background(), tr, a)
						mu.Lock()
						p.verdicts[a.ID], p.classOf[a.ID] = r.Verdict(), a.Class.Name
						if r.Verdict() == "none" {
							t.Errorf("%s %s: %v", a.Class.Name, a.ID, r.Err)
						}
						mu.Unlock()
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			var returns []time.Time
			for range 2 {
				if kill {
					d.Kill()
				} else if err := d.Stop(); err != nil {
					t.Errorf("stopping the daemon: %v", err)
				}
				waitUntil(t, "the plug-in never takes over", func() bool { return !tr.ByDaemon() })
				before := len(site.Ledger.Arrivals())
				waitUntil(t, "no calls bypass the stopped daemon", func() bool { return len(site.Ledger.Arrivals()) > before+20 })
				if err := d.Start(); err != nil {
					t.Fatal(err)
				}
				waitUntil(t, "calls never return to the daemon", tr.ByDaemon)
				returns = append(returns, time.Now())
				time.Sleep(300 * time.Millisecond)
			}
			close(stop)
			wg.Wait()
			waitUntil(t, "the core still holds calls", func() bool { return tr.heldCalls() == 0 })
			p.counts = site.Ledger.RequestCounts()
			if broken := p.violations(most); broken != nil {
				t.Errorf("%d rule violations: %.2000v", len(broken), broken)
			}
			served := 0
			for _, v := range p.verdicts {
				if v == "served" {
					served++
				}
			}
			if served < len(p.verdicts)*8/10 {
				t.Errorf("only %d of %d calls served, want at least 80%%", served, len(p.verdicts))
			}
			// Workers wait for their answers and missed ticks don't accumulate: on a return
			// the servers can see at most one call of each worker beyond the usual ones.
			usual := float64(workers) / pace.Seconds()
			for _, at := range returns {
				n := 0
				for _, a := range site.Ledger.Arrivals() {
					if !a.At.Before(at) && a.At.Before(at.Add(100*time.Millisecond)) {
						n++
					}
				}
				if most := usual*0.1*1.5 + workers; float64(n) > most {
					t.Errorf("%d arrivals in the 100 ms after a return to the daemon, usually %.0f", n, usual*0.1)
				}
			}
			t.Logf("%d calls, %d served, %d attempts reached the servers", len(p.verdicts), served, len(site.Ledger.Arrivals()))
		})
	}
}
