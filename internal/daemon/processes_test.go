package daemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/discovery"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// newProcessSite returns a site for daemons that run as separate processes, and the daemon's binary.
func newProcessSite(t *testing.T, cfg rig.SiteConfig) (*rig.Site, string) {
	t.Helper()
	cfg.Classes, cfg.NoHedge = rig.LongDeadlineClasses(), true
	site, err := rig.NewSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	binary, err := rig.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	return site, binary
}

// limitedBinary returns a script that runs the daemon with a limited number of descriptors.
func limitedBinary(t *testing.T, binary string, descriptors int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "limited")
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s\n", descriptors, binary)
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

func startProcess(t *testing.T, site *rig.Site, binary string) *rig.Daemon {
	t.Helper()
	d, err := site.StartProcess(binary, 1, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func checkServed(t *testing.T, addr, id string) {
	t.Helper()
	c := standin.NewClient(addr)
	defer c.Close()
	if r := c.Do(context.Background(), standin.ClientRequest{ID: id, Class: check}); r.Verdict() != "served" {
		t.Errorf("call %s: %s, %v", id, r.Verdict(), r.Err)
	}
}

func isReady(addr string) bool {
	resp, err := http.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// A polled list is followed like a pushed one: changes arrive, and after an outage of discovery
// the process polls again within discovery.MaxChangeDelay.
func TestPolledListIsFollowed(t *testing.T) {
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: 2, SubscribesToDiscovery: true})
	d := startProcess(t, site, binary)
	waitUntil(t, "the daemon does not watch discovery", func() bool { return site.Discovery.OpenWatches() == 1 })
	site.Discovery.SetDown(true)
	waitUntil(t, "the daemon does not reconnect", func() bool { return site.Discovery.RefusedCalls() > 1 })
	site.Discovery.Change(site.Endpoint(0, "draining"))
	back := time.Now()
	site.Discovery.SetDown(false)
	waitUntil(t, "the daemon does not watch discovery after its return", func() bool { return site.Discovery.OpenWatches() == 1 })
	if took := time.Since(back); took >= discovery.MaxChangeDelay {
		t.Errorf("polled again %v after discovery returned, want under %v", took, discovery.MaxChangeDelay)
	}
	checkServed(t, d.Addr, "1")
}

// A process without a list is not ready until discovery sends one, however long its requests
// fail. A process with a known list is ready even while discovery is down.
func TestReadyNeedsList(t *testing.T) {
	for _, asked := range []bool{false, true} {
		site, binary := newProcessSite(t, rig.SiteConfig{Servers: 2, SubscribesToDiscovery: asked, NoInitialList: true})
		site.Discovery.SetDown(true)
		d := startProcess(t, site, binary)
		waitUntil(t, "the daemon does not contact discovery", func() bool { return site.Discovery.RefusedCalls() >= 4 })
		if isReady(d.Addr) {
			t.Error("ready without a list")
		}
		site.Discovery.SetDown(false)
		waitUntil(t, "the daemon is never ready", func() bool { return isReady(d.Addr) })
		checkServed(t, d.Addr, "1")
	}
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: 2})
	site.Discovery.SetDown(true)
	d := startProcess(t, site, binary)
	waitUntil(t, "not ready with a known list", func() bool { return isReady(d.Addr) })
	checkServed(t, d.Addr, "1")
}

// SIGTERM before a process is ready, repeated and combined with SIGHUP, must end it by a normal
// exit.
func TestSignalsBeforeReadyStopProcess(t *testing.T) {
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: 2, NoInitialList: true})
	site.Discovery.SetDown(true)
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		ln.Close()
		if err := os.WriteFile(path, site.PlatformConfig(addr, 1), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(binary)
		cmd.Env = []string{"BALANCER_CONFIG=" + path}
		before := site.Discovery.RefusedCalls()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the daemon does not contact discovery", func() bool { return site.Discovery.RefusedCalls() > before })
		for _, s := range signals {
			if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
				t.Fatal(err)
			}
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: %v", signals, err)
		}
	}
}

// At SIGTERM idle connections end with a close that their clients can read as EOF: a used one, one
// without any request, one with a partial pipelined request. A request in progress is answered
// before the process exits.
func TestTermClosesIdleConnections(t *testing.T) {
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: 2, Server: standin.ServerConfig{
		Script: standin.Always(standin.Action{Kind: standin.Serve, Delay: 300 * time.Millisecond})}})
	d := startProcess(t, site, binary)
	waitUntil(t, "the daemon is never ready", func() bool { return isReady(d.Addr) })
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		return c, bufio.NewReader(c)
	}
	sendRequest := func(c net.Conn, id string) {
		fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: %s\r\n\r\n", check.Name, id, check.Name)
	}
	readResponse := func(br *bufio.Reader) error {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("answered %d", resp.StatusCode)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	used, usedIn := dial()
	sendRequest(used, "9b1f01")
	if err := readResponse(usedIn); err != nil {
		t.Fatal(err)
	}
	_, freshIn := dial()
	waits, waitsIn := dial()
	sendRequest(waits, "9b1f02")
	fmt.Fprintf(waits, "GET /%s HTTP/1.1\r\nHo", check.Name)
	half, halfIn := dial()
	fmt.Fprintf(half, "POST /%s HTTP/1.1\r\nHost: h\r\nReq-Id: 9b1f03\r\nReq-Kind: %s\r\nContent-Length: 2\r\n\r\nh", check.Name, check.Name)
	ended := make(chan error, 1)
	waitUntil(t, "no server received the request", func() bool { return len(site.Servers[0].Ledger().Arrivals()) >= 2 })
	go func() { ended <- d.Stop() }()
	for name, br := range map[string]*bufio.Reader{"used connection": usedIn, "unused connection": freshIn} {
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v", name, err)
		}
	}
	fmt.Fprint(half, "i") // its last byte comes after SIGTERM
	if err := readResponse(halfIn); err != nil {
		t.Errorf("request with half a body: %v", err)
	}
	half.Close()
	if err := readResponse(waitsIn); err != nil {
		t.Errorf("request in progress: %v", err)
	}
	if _, err := waitsIn.ReadByte(); err != io.EOF {
		t.Errorf("after its answer: %v, want EOF", err)
	}
	waits.Close()
	if err := <-ended; err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Clients go on connecting for 0.4 s after SIGTERM. Each that connects within that time is
// answered, even just before the listener closes.
func TestTermServesClientsThatStillConnect(t *testing.T) {
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: 2})
	d := startProcess(t, site, binary)
	waitUntil(t, "the daemon is never ready", func() bool { return isReady(d.Addr) })
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- d.Stop() }()
	// connect runs one client: more reports whether another may follow, counts whether it was in time.
	connect := func(n int64) (more, counts bool) {
		c, err := net.Dial("tcp", d.Addr)
		connected := time.Since(began)
		if err != nil {
			if connected < 400*time.Millisecond {
				t.Errorf("refused after %v: %v", connected, err)
			}
			return false, false
		}
		defer c.Close()
		if connected > 400*time.Millisecond { // too late to be owed an answer
			return connected < 650*time.Millisecond, false
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: 9b1f%04x\r\nReq-Kind: %s\r\n\r\n", check.Name, n, check.Name)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("connected after %v: %v, %v", connected, resp, err)
		}
		return true, true
	}
	var wg sync.WaitGroup
	var next, answered atomic.Int64
	for range 8 { // each runs its clients in sequence, so that some client connects at any moment of the 0.4 s
		wg.Go(func() {
			for {
				more, counts := connect(next.Add(1))
				if counts {
					answered.Add(1)
				}
				if !more {
					return
				}
			}
		})
	}
	wg.Wait()
	if err := <-ended; err != nil {
		t.Errorf("exit: %v", err)
	}
	if answered.Load() == 0 {
		t.Error("no client connected in time")
	}
}

// A request to hanging servers with a deadline after SIGKILL, which comes 3.7 s after SIGTERM at
// the earliest: it is answered and the process has exited by then.
func TestDeadlineLaterThanKillIsAnswered(t *testing.T) {
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: 2, Server: standin.ServerConfig{
		Script: standin.Always(standin.Action{Kind: standin.Silence})}})
	d := startProcess(t, site, binary)
	waitUntil(t, "the daemon is never ready", func() bool { return isReady(d.Addr) })
	c, err := net.Dial("tcp", d.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: 9b1f\r\nReq-Kind: %s\r\nReq-Deadline-Ms: 15000\r\n\r\n", check.Name, check.Name)
	waitUntil(t, "no server received the request", func() bool { return len(site.Servers[0].Ledger().Arrivals()) > 0 })
	late := measureWakeupDelay(t)
	began := time.Now()
	ended := make(chan time.Duration, 1)
	go func() {
		if err := d.Stop(); err != nil {
			t.Errorf("exit: %v", err)
		}
		ended <- time.Since(began)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode == http.StatusOK {
		t.Errorf("answered %v, %v", resp, err)
	}
	answered := time.Since(began)
	c.Close()
	const kill = 3700 * time.Millisecond
	if took := <-ended; answered > kill+late() || took > kill+late() {
		t.Errorf("answered after %v, exited after %v, killed after %v at the earliest", answered, took, kill)
	}
}

// While discovery is down, clients that stay idle or send half a head use up the process's
// descriptors. The watch of discovery must still recover in time, and new connections to servers
// must be possible, so that calls are served.
func TestDiscoveryRecoversWithFullDescriptors(t *testing.T) {
	const descriptors = 128
	site, binary := newProcessSite(t, rig.SiteConfig{Servers: 4, MaxSockets: descriptors})
	d := startProcess(t, site, limitedBinary(t, binary, descriptors))
	waitUntil(t, "the daemon does not watch discovery", func() bool { return site.Discovery.OpenWatches() == 1 })
	site.Discovery.SetDown(true)
	for n := range 3 * descriptors {
		c, err := net.Dial("tcp", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%2 == 1 {
			io.WriteString(c, "GET /a HTTP/1.1\r\nHost")
		}
	}
	refused := site.Discovery.RefusedCalls()
	waitUntil(t, "the daemon does not contact discovery", func() bool { return site.Discovery.RefusedCalls() > refused+1 })
	back := time.Now()
	site.Discovery.SetDown(false)
	waitUntil(t, "the daemon does not watch discovery after its return", func() bool { return site.Discovery.OpenWatches() == 1 })
	if took := time.Since(back); took >= discovery.MaxChangeDelay {
		t.Errorf("the watch recovered after %v", took)
	}
	for n := range 8 {
		checkServed(t, d.Addr, fmt.Sprint("9b1f", n))
	}
}

// Thirty processes start at the same time with a list of two hundred servers: discovery sends it
// at once or late, or is down while they know an old list or none. Nine in ten must be ready within
// 10 s, all within 30 s.
func TestThirtyProcessesStartTogether(t *testing.T) {
	const fleet, servers = 30, 200
	for _, c := range []struct {
		name string
		cfg  rig.SiteConfig
		down bool
		late time.Duration // when discovery returns
	}{
		{name: "pushed, at once", cfg: rig.SiteConfig{NoInitialList: true}},
		{name: "asked, at once", cfg: rig.SiteConfig{NoInitialList: true, SubscribesToDiscovery: true}},
		{name: "down, an old list known", down: true},
		{name: "down, none known", cfg: rig.SiteConfig{NoInitialList: true}, down: true},
		{name: "back late, none known", cfg: rig.SiteConfig{NoInitialList: true, SubscribesToDiscovery: true}, down: true, late: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.cfg.Servers = 2
			site, binary := newProcessSite(t, c.cfg)
			var many []standin.Endpoint
			for n := range servers {
				e := site.Endpoint(0, "up")
				e.Name = fmt.Sprint("more-", n)
				many = append(many, e)
			}
			site.Discovery.Change(many...)
			site.Discovery.SetDown(c.down)
			if c.late > 0 {
				time.AfterFunc(c.late, func() { site.Discovery.SetDown(false) })
			}
			took := make([]time.Duration, fleet)
			var wg sync.WaitGroup
			for n := range fleet {
				wg.Go(func() {
					began := time.Now()
					d, err := site.StartProcess(binary, uint64(n), "")
					if err != nil {
						t.Error(err)
						return
					}
					defer d.Close()
					ready := isReady(d.Addr)
					for ; !ready && time.Since(began) < time.Minute; ready = isReady(d.Addr) {
						time.Sleep(20 * time.Millisecond)
					}
					took[n] = time.Since(began)
					if !ready {
						d.Kill()
						t.Errorf("process %d at %s is not ready; log:\n%s", n, d.Addr, d.Log())
					}
				})
			}
			wg.Wait()
			slices.Sort(took)
			t.Logf("ready: median %v, nine in ten %v, all %v", took[fleet/2], took[fleet*9/10-1], took[fleet-1])
			if took[fleet*9/10-1] > 10*time.Second || took[fleet-1] > 30*time.Second {
				t.Errorf("nine in ten ready after %v, all after %v", took[fleet*9/10-1], took[fleet-1])
			}
		})
	}
}
