package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// stall watches how late this process itself is woken, for bounds on what others do in time.
func stall(t *testing.T) (worst func() time.Duration) {
	var most atomic.Int64
	quit := make(chan struct{})
	t.Cleanup(func() { close(quit) })
	go func() {
		const each = 5 * time.Millisecond
		for last := time.Now(); ; {
			select {
			case <-quit:
				return
			case <-time.After(each):
			}
			now := time.Now()
			most.Store(max(most.Load(), int64(now.Sub(last)-each)))
			last = now
		}
	}()
	return func() time.Duration { return time.Duration(most.Load()) }
}

// Clients leave at any time: while their request is read, while a connection comes up, while
// an attempt is out, between two, in the delay before a copy, and while the process is stopped;
// some with bytes ahead. Servers fail, freeze and turn away, so that there is always a reason
// to go on. No attempt begins more than 0.1 s after its client has closed.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	const clients, bound = 400, 100 * time.Millisecond
	script := func(seed uint64) standin.Script {
		r := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		return func(standin.Request) standin.Act {
			mu.Lock()
			defer mu.Unlock()
			kinds := []standin.Kind{standin.Serve, standin.Fail, standin.Fail, standin.Decline, standin.ResetLate, standin.Silence}
			return standin.Act{Kind: kinds[r.IntN(len(kinds))], Delay: time.Duration(r.IntN(150)) * time.Millisecond}
		}
	}
	site, err := rig.NewSite(rig.SiteConfig{Servers: 6, Classes: rig.Activation(), Attempts: 5})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	binary, err := rig.Binary()
	if err != nil {
		t.Fatal(err)
	}
	for n, s := range site.Servers {
		s.Do(script(uint64(n)))
	}
	d := process(t, site, binary)
	settles(t, "never ready", func() bool { return isReady(d.Addr) })
	late := stall(t)
	left := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	r := rand.New(rand.NewPCG(7, 7))
	for n := range clients {
		wait, ahead := time.Duration(r.IntN(250))*time.Millisecond, []int{0, 0, 20, 6000}[r.IntN(4)]
		begin := time.Duration(n) * 5 * time.Millisecond
		wg.Go(func() {
			time.Sleep(begin)
			c, err := net.Dial("tcp", d.Addr)
			if err != nil {
				t.Error(err)
				return
			}
			id := fmt.Sprintf("%016x", n)
			fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: %s\r\n\r\n%s", check.Name, id, check.Name, strings.Repeat("x", ahead))
			time.Sleep(wait)
			c.Close()
			mu.Lock()
			left[id] = time.Now()
			mu.Unlock()
		})
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		d.Signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		d.Signal(syscall.SIGCONT)
	}
	wg.Wait()
	if err := d.Stop(); err != nil { // with it whatever it would still send
		t.Error(err)
	}
	worst, attempts, after := time.Duration(0), 0, 0
	for _, s := range site.Servers[:1] { // they share one
		for _, a := range s.Ledger().Log() {
			gone, ok := left[a.ID]
			if !ok {
				continue
			}
			if attempts++; a.At.After(gone) {
				after++
				if late := a.At.Sub(gone); late > bound/2 {
					t.Logf("attempt %d of %s came %v after its client had closed, act %v", a.Nth, a.ID, late, a.Act)
				}
				worst = max(worst, a.At.Sub(gone))
			}
		}
	}
	t.Logf("%d attempts, %d after their client had closed, the last %v after it; bound %v, this process late by %v", attempts, after, worst, bound, late())
	if attempts < clients/2 {
		t.Errorf("only %d attempts", attempts)
	}
	if worst > bound+late() {
		t.Errorf("an attempt %v after its client had closed, %v at the most", worst, bound)
	}
}
