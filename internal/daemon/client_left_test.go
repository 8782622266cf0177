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

// measureWakeupDelay measures by how much this process's own timers are late, as tolerance for
// bounds on other processes' timing. worst returns the maximum so far.
func measureWakeupDelay(t *testing.T) (worst func() time.Duration) {
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

// Clients close at any time: while their request is read, while a server connection opens, during
// an attempt, between two, in the delay before a copy, and while the process is stopped; some with
// pipelined bytes. Servers fail, hang and decline, so there is always a reason for another attempt.
// No attempt may start more than 0.1 s after its client closed.
func TestNoAttemptsForClosedClients(t *testing.T) {
	const clients, bound = 400, 100 * time.Millisecond
	script := func(seed uint64) standin.Script {
		r := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		return func(standin.Request) standin.Action {
			mu.Lock()
			defer mu.Unlock()
			kinds := []standin.ActionKind{standin.Serve, standin.Fail, standin.Fail, standin.Decline, standin.ResetLate, standin.Silence}
			return standin.Action{Kind: kinds[r.IntN(len(kinds))], Delay: time.Duration(r.IntN(150)) * time.Millisecond}
		}
	}
	site, err := rig.NewSite(rig.SiteConfig{Servers: 6, Classes: rig.ActivationClasses(), MaxAttempts: 5})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	binary, err := rig.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	for n, s := range site.Servers {
		s.SetScript(script(uint64(n)))
	}
	d := startProcess(t, site, binary)
	waitUntil(t, "the daemon is never ready", func() bool { return isReady(d.Addr) })
	wakeupDelay := measureWakeupDelay(t)
	closedAt := make(map[string]time.Time)
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
			closedAt[id] = time.Now()
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
	if err := d.Stop(); err != nil { // after it, no attempt can follow
		t.Error(err)
	}
	worst, attempts, after := time.Duration(0), 0, 0
	for _, s := range site.Servers[:1] { // all servers share one ledger
		for _, a := range s.Ledger().Arrivals() {
			closed, ok := closedAt[a.ID]
			if !ok {
				continue
			}
			if attempts++; a.At.After(closed) {
				after++
				if wakeupDelay := a.At.Sub(closed); wakeupDelay > bound/2 {
					t.Logf("attempt %d of %s arrived %v after its client closed, act %v", a.AttemptNumber, a.ID, wakeupDelay, a.ActionKind)
				}
				worst = max(worst, a.At.Sub(closed))
			}
		}
	}
	t.Logf("%d attempts, %d after their client closed, the latest by %v; bound %v, wake-up delay %v", attempts, after, worst, bound, wakeupDelay())
	if attempts < clients/2 {
		t.Errorf("only %d attempts: too few for the test", attempts)
	}
	if worst > bound+wakeupDelay() {
		t.Errorf("an attempt %v after its client closed, want at most %v", worst, bound)
	}
}
