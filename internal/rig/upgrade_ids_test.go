package rig_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// Guards against a request that runs twice because its id comes to the other process of an upgrade,
// while the first one still runs it or after its client has left there.
func TestIDComesToTheOtherProcessOfAnUpgrade(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 4, Classes: rig.LongDeadlineClasses(), NoHedge: true,
		Server: standin.ServerConfig{Script: standin.Always(standin.Action{Kind: standin.Serve, Delay: slowRunTime})}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dir := t.TempDir()
	for seed := range 2 {
		daemon, err := site.StartDaemonOnSocket(uint64(seed+1), listener.(*net.TCPListener), dir, "")
		if err != nil {
			t.Fatal(err)
		}
		defer daemon.Stop()
	}
	var wg sync.WaitGroup
	for n := range 40 {
		wg.Go(func() {
			request := standin.ClientRequest{ID: fmt.Sprint("other-", n), Class: activateClass, Body: "card"}
			// Which process accepts a connection is up to the system: each id comes four times.
			var tries sync.WaitGroup
			for k := range 4 {
				tries.Go(func() {
					time.Sleep(time.Duration(k) * 60 * time.Millisecond)
					ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
					if n%2 == 0 { // the client leaves while the request runs
						ctx, cancel = context.WithTimeout(t.Context(), 30*time.Millisecond)
					}
					defer cancel()
					client := standin.NewClient(listener.Addr().String())
					defer client.Close()
					client.Do(ctx, request)
				})
			}
			tries.Wait()
		})
	}
	wg.Wait()
	time.Sleep(2 * slowRunTime)
	for n := range 40 {
		id := fmt.Sprint("other-", n)
		if count := site.Ledger.RequestCount(id); count.Effects != 1 {
			t.Errorf("%s: ran %d times", id, count.Effects)
		}
	}
}
