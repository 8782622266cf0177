package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

const testTimeout = 30 * time.Second

// newManagedSite returns a site whose daemons have a management address and whose servers answer
// after a delay and are warm until restarted. sockets is a daemon's descriptor limit, 0 for the
// default.
func newManagedSite(t *testing.T, servers, sockets int, delay time.Duration) *rig.Site {
	t.Helper()
	site, err := rig.NewSite(rig.SiteConfig{Servers: servers, Classes: rig.LongDeadlineClasses(), NoHedge: true, HasManagement: true, MaxSockets: sockets, StartWarm: true,
		ColdShare: 0.3, WarmUpTime: 2 * time.Second, Server: standin.ServerConfig{Script: standin.Always(standin.Action{Kind: standin.Serve, Delay: delay})}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	return site
}

// startManagedDaemon returns a site of newManagedSite and a running daemon.
func startManagedDaemon(t *testing.T, servers, sockets int, delay time.Duration) (*rig.Site, *rig.Daemon) {
	t.Helper()
	site := newManagedSite(t, servers, sockets, delay)
	d, err := site.StartDaemon(1, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop() })
	return site, d
}

// sendCommand sends a command to the management address and returns the answer.
func sendCommand(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(c, line)
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return string(text)
}

func requireYes(t *testing.T, addr, line string) {
	t.Helper()
	if got := sendCommand(t, addr, line); !strings.HasPrefix(got, "YES") {
		t.Fatalf("%s: answered %q", line, got)
	}
}

// readFigure returns the value of a figure from STATS.
func readFigure(t *testing.T, addr, name string) int {
	t.Helper()
	for line := range strings.Lines(sendCommand(t, addr, "STATS")) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "balancer."+name+"="); ok {
			n, err := strconv.Atoi(v)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("no figure %s", name)
	return 0
}

// waitUntil polls ok and fails with the message what after testTimeout.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// startCalls makes calls in sequence from each of several clients until stop, which returns their
// number.
func startCalls(t *testing.T, addr string, clients int) (stop func() int) {
	t.Helper()
	quit := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	callCount, series := 0, callSeries.Add(1)
	for n := range clients {
		wg.Go(func() {
			c := standin.NewClient(addr)
			defer c.Close()
			for k := 0; ; k++ {
				select {
				case <-quit:
					return
				default:
				}
				if r := c.Do(context.Background(), standin.ClientRequest{ID: fmt.Sprintf("%d-%d-%d", series, n, k), Class: check}); r.Verdict() != "served" {
					t.Errorf("client %d, call %d: %s, %v", n, k, r.Verdict(), r.Err)
				}
				mu.Lock()
				callCount++
				mu.Unlock()
			}
		})
	}
	return func() int {
		close(quit)
		wg.Wait()
		return callCount
	}
}

// failedAttempts returns how many attempts a server answered with a failure.
func failedAttempts(site *rig.Site, server string) (n int) {
	for _, a := range site.Ledger.Arrivals() {
		if a.Server == server && a.ActionKind == standin.Fail {
			n++
		}
	}
	return n
}

// callSeries numbers the uses of startCalls, to keep their call ids distinct.
var callSeries atomic.Int64

// receivedAttempts returns how many attempts a server received.
func receivedAttempts(site *rig.Site, server string) (n int) {
	for _, a := range site.Ledger.Arrivals() {
		if a.Server == server {
			n++
		}
	}
	return n
}

// A server that an operator disabled gets no new calls, whatever discovery reports, until it is
// enabled again; then it is used again. The figures count the calls and attempts exactly.
func TestDisabledServerGetsNoCalls(t *testing.T) {
	site, d := startManagedDaemon(t, 3, 0, 2*time.Millisecond)
	if got := sendCommand(t, d.ManagementAddr, "READY"); got != "YES\n" {
		t.Errorf("READY answers %q", got)
	}
	for _, id := range []string{"DISABLE nobody", "ENABLE nobody"} {
		if got := sendCommand(t, d.ManagementAddr, id); !strings.HasPrefix(got, "NO ") {
			t.Errorf("%s: answered %q", id, got)
		}
	}
	stop := startCalls(t, d.Addr, 4)
	waitUntil(t, "s1 is never used", func() bool { return receivedAttempts(site, "s1") > 5 })
	requireYes(t, d.ManagementAddr, "DISABLE s1")
	requireYes(t, d.ManagementAddr, "DISABLE s1")
	made := stop() // no earlier attempt is outstanding any more
	before := receivedAttempts(site, "s1")
	// Calls that fail at s2 are retried, at s3 only.
	site.Servers[1].SetScript(standin.Random(1, standin.WeightedAction{Probability: 0.1, Action: standin.Action{Kind: standin.Fail}}))
	stop = startCalls(t, d.Addr, 4)
	waitUntil(t, "no attempt fails at s2", func() bool { return failedAttempts(site, "s2") > 0 })
	if n := readFigure(t, d.ManagementAddr, "ejected"); n != 1 {
		t.Errorf("%d ejected, want 1", n)
	}
	// s1 is removed from the list, restarted, and listed again with the same id at another address.
	e := site.Endpoint(0, "up")
	removed := e
	removed.Status = "removed"
	site.Discovery.Change(removed)
	waitUntil(t, "s1 stays on the list", func() bool { return readFigure(t, d.ManagementAddr, "discovered") == 2 })
	site.Servers[0].Kill()
	if err := site.Servers[0].Restart(); err != nil {
		t.Fatal(err)
	}
	site.Discovery.Change(site.Endpoint(0, "up"))
	waitUntil(t, "s1 does not return to the list", func() bool { return readFigure(t, d.ManagementAddr, "discovered") == 3 })
	rest := receivedAttempts(site, "s2") + receivedAttempts(site, "s3")
	waitUntil(t, "the others are not used", func() bool { return receivedAttempts(site, "s2")+receivedAttempts(site, "s3") > rest+200 })
	if n := receivedAttempts(site, "s1"); n != before {
		t.Errorf("s1 got %d attempts while disabled", n-before)
	}
	requireYes(t, d.ManagementAddr, "ENABLE s1")
	waitUntil(t, "s1 is not used after ENABLE", func() bool { return receivedAttempts(site, "s1") > before })
	made += stop()
	waitUntil(t, "calls stay outstanding", func() bool { return readFigure(t, d.ManagementAddr, "outstanding") == 0 })
	if n := readFigure(t, d.ManagementAddr, "succeeded."+check.Name); n != made {
		t.Errorf("%d counted as succeeded, %d calls made", n, made)
	}
	if n, sent := readFigure(t, d.ManagementAddr, "forwards"), len(site.Ledger.Arrivals()); n != sent {
		t.Errorf("%d counted as forwarded, %d received", n, sent)
	}
}

// With every server disabled, calls are refused at once instead of waiting for their deadline.
func TestAllServersDisabledRefusesCalls(t *testing.T) {
	_, d := startManagedDaemon(t, 2, 0, 0)
	requireYes(t, d.ManagementAddr, "DISABLE s1")
	requireYes(t, d.ManagementAddr, "DISABLE s2")
	c := standin.NewClient(d.Addr)
	defer c.Close()
	r := c.Do(context.Background(), standin.ClientRequest{ID: "1", Class: check, Deadline: 10 * time.Second})
	if r.Verdict() != "refused" || r.Elapsed > 5*time.Second {
		t.Errorf("%s after %v", r.Verdict(), r.Elapsed)
	}
	requireYes(t, d.ManagementAddr, "ENABLE s1")
	waitUntil(t, "the server does not serve after ENABLE", func() bool {
		r := c.Do(context.Background(), standin.ClientRequest{ID: fmt.Sprint(time.Now().UnixNano()), Class: check})
		return r.Verdict() == "served"
	})
}

// healthStatus returns the status of the daemon's health check.
func healthStatus(t *testing.T, addr string) int {
	t.Helper()
	r, err := http.Get("http://" + addr + "/_health")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// A drain fails the health check at once, answers the calls that still arrive and closes all
// connections within 3 s. The process stays and serves again right after UNDRAIN. A second DRAIN
// has no further effect.
func TestDrainClosesConnectionsUntilUndrain(t *testing.T) {
	_, d := startManagedDaemon(t, 2, 0, 20*time.Millisecond)
	idle, err := net.Dial("tcp", d.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	// A connection that had an answer may stay idle without limit, except in a drain.
	idle.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(idle, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: idle\r\n\r\n", check.Name)
	if resp, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("before the drain: %v, %v", resp, err)
	}
	stop := startCalls(t, d.Addr, 3)
	waitUntil(t, "no call succeeds", func() bool { return readFigure(t, d.ManagementAddr, "succeeded."+check.Name) > 10 })
	if s := healthStatus(t, d.Addr); s != http.StatusOK {
		t.Errorf("health check before the drain: %d", s)
	}
	requireYes(t, d.ManagementAddr, "DRAIN")
	began := time.Now()
	requireYes(t, d.ManagementAddr, "DRAIN")
	if s := healthStatus(t, d.Addr); s != http.StatusServiceUnavailable {
		t.Errorf("health check in a drain: %d", s)
	}
	stop()
	idle.SetDeadline(began.Add(testTimeout))
	if _, err := idle.Read(make([]byte, 1)); err == nil || time.Since(began) > 3*time.Second {
		t.Errorf("an idle connection ended with %v after %v", err, time.Since(began))
	}
	requireYes(t, d.ManagementAddr, "READY")
	requireYes(t, d.ManagementAddr, "DISABLE s1")
	requireYes(t, d.ManagementAddr, "UNDRAIN")
	if s := healthStatus(t, d.Addr); s != http.StatusOK {
		t.Errorf("health check after the drain: %d", s)
	}
	req, err := http.NewRequest("GET", "http://"+d.Addr+"/"+check.Name, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Req-Id", "after")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("after the drain: status %d, connection closed: %v", resp.StatusCode, resp.Close)
	}
}

// Operators are answered in time although other callers of the management address send nothing
// or single bytes, and clients make more calls than there is room for.
func TestOperatorsAreAnsweredUnderLoad(t *testing.T) {
	_, d := startManagedDaemon(t, 2, 96, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for n := range 200 {
		wg.Go(func() {
			for ctx.Err() == nil {
				c, err := new(net.Dialer).DialContext(ctx, "tcp", d.ManagementAddr)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { c.Close() })
				for n%2 == 0 && ctx.Err() == nil {
					if _, err := io.WriteString(c, "S"); err != nil {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				c.Read(make([]byte, 1)) // until the daemon closes it
				stop()
				c.Close()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for n := range 60 {
		wg.Go(func() {
			c := standin.NewClient(d.Addr)
			defer c.Close()
			for k := 0; ctx.Err() == nil; k++ {
				c.Do(ctx, standin.ClientRequest{ID: fmt.Sprintf("%d-%d", n, k), Class: check})
			}
		})
	}
	waitUntil(t, "no load reaches the servers", func() bool { return readFigure(t, d.ManagementAddr, "forwards") > 100 })
	var most time.Duration
	for range 4 {
		for _, line := range []string{"READY", "STATS", "DISABLE s1", "ENABLE s1"} {
			began := time.Now()
			sendCommand(t, d.ManagementAddr, line)
			most = max(most, time.Since(began))
		}
	}
	t.Logf("the slowest answer took %v", most)
	if most > 5*time.Second { // the product's bound is one second; two slow cores under the race detector need more
		t.Errorf("an answer took %v", most)
	}
}

// A request that is half read when the drain begins is answered, and so is one that is in
// progress while idle connections are closed.
func TestDrainDuringRequestAnswersIt(t *testing.T) {
	_, d := startManagedDaemon(t, 2, 0, 1500*time.Millisecond) // longer than the delay until idle connections are closed
	send := func(id, half string) (net.Conn, string) {
		c, err := net.Dial("tcp", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		text := fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\n\r\n", check.Name, id)
		if half != "" {
			fmt.Fprint(c, text[:len(text)/2])
			return c, text[len(text)/2:]
		}
		fmt.Fprint(c, text)
		return c, ""
	}
	waits, _ := send("waits", "")
	half, rest := send("half", "half")
	waitUntil(t, "the first request is not outstanding", func() bool { return readFigure(t, d.ManagementAddr, "outstanding") == 1 })
	requireYes(t, d.ManagementAddr, "DRAIN")
	fmt.Fprint(half, rest)
	for name, c := range map[string]net.Conn{"waits": waits, "half": half} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s: answered %v, %v", name, resp, err)
		}
	}
}
