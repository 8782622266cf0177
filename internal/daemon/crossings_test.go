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

// crossingSite is a site for processes of the daemon's own, and the daemon's binary.
func crossingSite(t *testing.T, cfg rig.SiteConfig) (*rig.Site, string) {
	t.Helper()
	cfg.Classes, cfg.NoHedge = rig.Patient(), true
	site, err := rig.NewSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	binary, err := rig.Binary()
	if err != nil {
		t.Fatal(err)
	}
	return site, binary
}

// limited is a program that runs the daemon with so many descriptors.
func limited(t *testing.T, binary string, descriptors int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "limited")
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s\n", descriptors, binary)
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

func process(t *testing.T, site *rig.Site, binary string) *rig.Daemon {
	t.Helper()
	d, err := site.StartProcess(binary, 1, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func isServed(t *testing.T, addr, id string) {
	t.Helper()
	c := standin.NewClient(addr)
	defer c.Close()
	if r := c.Do(context.Background(), standin.Ask{ID: id, Class: check}); r.Verdict() != "served" {
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

// An asked list is followed like a pushed one: what changes is heard, and after discovery was
// down it is heard again before it counts as told.
func TestAskedListIsFollowed(t *testing.T) {
	site, binary := crossingSite(t, rig.SiteConfig{Servers: 2, Asked: true})
	d := process(t, site, binary)
	settles(t, "nobody watches", func() bool { return site.Discovery.Watching() == 1 })
	site.Discovery.Down(true)
	settles(t, "nobody asks again", func() bool { return site.Discovery.Refused() > 1 })
	site.Discovery.Change(site.Endpoint(0, "draining"))
	back := time.Now()
	site.Discovery.Down(false)
	settles(t, "nobody watches after the return", func() bool { return site.Discovery.Watching() == 1 })
	if took := time.Since(back); took >= discovery.Told {
		t.Errorf("asked again %v after the return, %v at the most", took, discovery.Told)
	}
	isServed(t, d.Addr, "1")
}

// A process that knows no list is not ready before discovery has told one, however long calls
// fail; one that knows a list is, though discovery is down.
func TestReadyNeedsAList(t *testing.T) {
	for _, asked := range []bool{false, true} {
		site, binary := crossingSite(t, rig.SiteConfig{Servers: 2, Asked: asked, Unlisted: true})
		site.Discovery.Down(true)
		d := process(t, site, binary)
		settles(t, "nobody asks", func() bool { return site.Discovery.Refused() >= 4 })
		if isReady(d.Addr) {
			t.Error("ready without a list")
		}
		site.Discovery.Down(false)
		settles(t, "never ready", func() bool { return isReady(d.Addr) })
		isServed(t, d.Addr, "1")
	}
	site, binary := crossingSite(t, rig.SiteConfig{Servers: 2})
	site.Discovery.Down(true)
	d := process(t, site, binary)
	settles(t, "not ready with a list known", func() bool { return isReady(d.Addr) })
	isServed(t, d.Addr, "1")
}

// SIGTERM before a process is ready, twice, and with SIGHUP between: it ends by itself, in
// good order.
func TestSignalsCross(t *testing.T) {
	site, binary := crossingSite(t, rig.SiteConfig{Servers: 2, Unlisted: true})
	site.Discovery.Down(true)
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
		if err := os.WriteFile(path, site.JSON(addr, 1), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(binary)
		cmd.Env = []string{"BALANCER_CONFIG=" + path}
		before := site.Discovery.Refused()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		settles(t, "nobody asks", func() bool { return site.Discovery.Refused() > before })
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

// At SIGTERM connections that rest are ended by a close that their clients can read: one that
// was used, one that never said a thing, one with a pipelined rest. A request that waits then
// is answered before the process ends.
func TestTermEndsRestingConnections(t *testing.T) {
	site, binary := crossingSite(t, rig.SiteConfig{Servers: 2, Server: standin.ServerConfig{
		Script: standin.Always(standin.Act{Kind: standin.Serve, Delay: 300 * time.Millisecond})}})
	d := process(t, site, binary)
	settles(t, "never ready", func() bool { return isReady(d.Addr) })
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		return c, bufio.NewReader(c)
	}
	ask := func(c net.Conn, id string) {
		fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Kind: %s\r\n\r\n", check.Name, id, check.Name)
	}
	hear := func(br *bufio.Reader) error {
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
	ask(used, "9b1f01")
	if err := hear(usedIn); err != nil {
		t.Fatal(err)
	}
	_, freshIn := dial()
	waits, waitsIn := dial()
	ask(waits, "9b1f02")
	fmt.Fprintf(waits, "GET /%s HTTP/1.1\r\nHo", check.Name)
	half, halfIn := dial()
	fmt.Fprintf(half, "POST /%s HTTP/1.1\r\nHost: h\r\nReq-Id: 9b1f03\r\nReq-Kind: %s\r\nContent-Length: 2\r\n\r\nh", check.Name, check.Name)
	ended := make(chan error, 1)
	settles(t, "the request never came", func() bool { return len(site.Servers[0].Ledger().Log()) >= 2 })
	go func() { ended <- d.Stop() }()
	for name, br := range map[string]*bufio.Reader{"one that was used": usedIn, "one that never said a thing": freshIn} {
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v", name, err)
		}
	}
	fmt.Fprint(half, "i") // its last byte comes after SIGTERM
	if err := hear(halfIn); err != nil {
		t.Errorf("one with half a body: %v", err)
	}
	half.Close()
	if err := hear(waitsIn); err != nil {
		t.Errorf("one that waited: %v", err)
	}
	if _, err := waitsIn.ReadByte(); err != io.EOF {
		t.Errorf("behind its answer: %v", err)
	}
	waits.Close()
	if err := <-ended; err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Clients go on coming for 0.4 s after SIGTERM: each that had connected by then is answered,
// however close to the listener's end.
func TestTermServesWhoStillComes(t *testing.T) {
	site, binary := crossingSite(t, rig.SiteConfig{Servers: 2})
	d := process(t, site, binary)
	settles(t, "never ready", func() bool { return isReady(d.Addr) })
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- d.Stop() }()
	// come is one client: whether the next may come, and whether this one was in time.
	come := func(n int64) (more, counts bool) {
		c, err := net.Dial("tcp", d.Addr)
		connected := time.Since(began)
		if err != nil {
			if connected < 400*time.Millisecond {
				t.Errorf("refused after %v: %v", connected, err)
			}
			return false, false
		}
		defer c.Close()
		if connected > 400*time.Millisecond { // its own trouble
			return connected < 650*time.Millisecond, false
		}
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: 9b1f%04x\r\nReq-Kind: %s\r\n\r\n", check.Name, n, check.Name)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("connected after %v: %v, %v", connected, resp, err)
		}
		return true, true
	}
	var wg sync.WaitGroup
	var next, came atomic.Int64
	for range 8 { // one client after the other each: no moment of these 0.4 s is without one that comes
		wg.Go(func() {
			for {
				more, counts := come(next.Add(1))
				if counts {
					came.Add(1)
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
	if came.Load() == 0 {
		t.Error("nobody came")
	}
}

// A deadline later than the kill, at servers that hang: SIGKILL comes 3.7 s after SIGTERM at
// the soonest, whatever clients wait. By then the request is answered and the process has ended.
func TestDeadlineLaterThanTheKill(t *testing.T) {
	site, binary := crossingSite(t, rig.SiteConfig{Servers: 2, Server: standin.ServerConfig{
		Script: standin.Always(standin.Act{Kind: standin.Silence})}})
	d := process(t, site, binary)
	settles(t, "never ready", func() bool { return isReady(d.Addr) })
	c, err := net.Dial("tcp", d.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nReq-Id: 9b1f\r\nReq-Kind: %s\r\nReq-Deadline-Ms: 15000\r\n\r\n", check.Name, check.Name)
	settles(t, "the request never came", func() bool { return len(site.Servers[0].Ledger().Log()) > 0 })
	late := stall(t)
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
		t.Errorf("answered after %v, ended after %v, killed after %v at the soonest", answered, took, kill)
	}
}

// Clients that connect and rest, or bring half a head, fill what a process may hold while
// discovery is down. The watch comes back in time, servers are reached over new connections,
// and whoever asks is answered.
func TestDescriptorsFullWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 128
	site, binary := crossingSite(t, rig.SiteConfig{Servers: 4, Sockets: descriptors})
	d := process(t, site, limited(t, binary, descriptors))
	settles(t, "nobody watches", func() bool { return site.Discovery.Watching() == 1 })
	site.Discovery.Down(true)
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
	refused := site.Discovery.Refused()
	settles(t, "nobody asks", func() bool { return site.Discovery.Refused() > refused+1 })
	back := time.Now()
	site.Discovery.Down(false)
	settles(t, "nobody watches after the return", func() bool { return site.Discovery.Watching() == 1 })
	if took := time.Since(back); took >= discovery.Told {
		t.Errorf("the watch came back after %v", took)
	}
	for n := range 8 {
		isServed(t, d.Addr, fmt.Sprint("9b1f", n))
	}
}

// Thirty processes start at once, on a list of two hundred: discovery has it at once, or late,
// or is down and they know an old one, or know none. Nine in ten are ready within 10 s, all
// within 30 s.
func TestThirtyStartAtOnce(t *testing.T) {
	const fleet, servers = 30, 200
	for _, c := range []struct {
		name string
		cfg  rig.SiteConfig
		down bool
		late time.Duration // discovery is back then
	}{
		{name: "pushed, at once", cfg: rig.SiteConfig{Unlisted: true}},
		{name: "asked, at once", cfg: rig.SiteConfig{Unlisted: true, Asked: true}},
		{name: "down, an old list known", down: true},
		{name: "down, none known", cfg: rig.SiteConfig{Unlisted: true}, down: true},
		{name: "back late, none known", cfg: rig.SiteConfig{Unlisted: true, Asked: true}, down: true, late: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.cfg.Servers = 2
			site, binary := crossingSite(t, c.cfg)
			var many []standin.Endpoint
			for n := range servers {
				e := site.Endpoint(0, "up")
				e.Name = fmt.Sprint("more-", n)
				many = append(many, e)
			}
			site.Discovery.Change(many...)
			site.Discovery.Down(c.down)
			if c.late > 0 {
				time.AfterFunc(c.late, func() { site.Discovery.Down(false) })
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
						t.Errorf("process %d at %s is not ready, its log:\n%s", n, d.Addr, d.Log())
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
