package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
	"go.uber.org/goleak"
)

// The caller cancels a call in each of its states: no call, stream or connection remains,
// and no goroutine remains after the Transport is closed.
func TestCallerCancelsInEveryState(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	big := strings.Repeat("x", 32<<20) // larger than all buffers between client and server
	half := strings.Repeat("y", 300<<10)
	for name, c := range map[string]struct {
		act    standin.Action
		body   string
		freeze bool
		down   bool
		read   int // bytes of the response to read before cancelling
		daemon bool
	}{
		"before it begins":                {},
		"while its request is written":    {freeze: true, body: big},
		"while the server works":          {act: standin.Action{Kind: standin.Silence}},
		"while the answer's body stops":   {act: standin.Action{Kind: standin.StopBody}},
		"within a long answer":            {act: standin.Action{Kind: standin.StopBody, Body: half}, read: 1000},
		"within one never read":           {act: standin.Action{Body: strings.Repeat("z", 24<<20)}, read: 1},
		"while the daemon works":          {act: standin.Action{Kind: standin.Silence}, daemon: true},
		"while the daemon is written to":  {freeze: true, body: big, daemon: true},
		"within the daemon's long answer": {act: standin.Action{Kind: standin.StopBody, Body: half}, read: 1000, daemon: true},
		"with all servers down":           {down: true},
	} {
		t.Run(name, func(t *testing.T) {
			site, err := rig.NewSite(rig.SiteConfig{Servers: 2, Server: standin.ServerConfig{Script: standin.Always(c.act)}})
			if err != nil {
				t.Fatal(err)
			}
			defer site.Close()
			cfg := Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), MaxBody: 64 << 20, Pause: time.Hour}
			if c.daemon {
				cfg.Daemon = site.Servers[0].Addr()
			}
			tr, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range site.Servers {
				if c.freeze {
					s.Freeze()
				}
				if c.down {
					s.Kill()
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			a := askOf("activate", "1")
			a.Body = c.body
			left := make(chan error, 1)
			go func() {
				resp, err := tr.RoundTrip(newRequest(ctx, a))
				if err == nil {
					if c.read > 0 {
						_, err = io.ReadFull(resp.Body, make([]byte, c.read))
					}
					cancel()
					if _, rerr := io.Copy(io.Discard, resp.Body); err == nil {
						err = rerr
					}
					resp.Body.Close()
				}
				left <- err
			}()
			switch {
			case c.down || c.read > 0:
			case c.freeze:
				waitUntil(t, "no connection to a server was opened", func() bool { return site.Servers[0].OpenedConns()+site.Servers[1].OpenedConns() > 0 })
			case c.act.Kind != standin.Serve:
				waitUntil(t, "no request reached a server", func() bool { return len(site.Ledger.Arrivals()) > 0 })
			}
			if c.read == 0 && !c.down {
				cancel()
			}
			err = <-left
			cancel()
			if c.down {
				if err != nil {
					t.Errorf("with all servers down: %v", err)
				}
			} else if !errors.Is(err, context.Canceled) && name != "before it begins" {
				t.Errorf("error %v, want context.Canceled", err)
			}
			waitUntil(t, "the core still holds calls", func() bool { return tr.heldCalls() == 0 })
			waitUntil(t, "calls or streams remain active", func() bool { tr.mu.Lock(); defer tr.mu.Unlock(); return tr.active == 0 })
			for _, s := range site.Servers {
				s.Thaw()
			}
			if name != "before it begins" {
				waitUntil(t, "connections are still open", func() bool { return tr.pool.Conns() == 0 && (tr.daemon == nil || tr.daemon.pool.Conns() == 0) })
			}
			if err := tr.Close(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
}

// Close waits for calls in progress, including streamed responses, and aborts them when its
// context ends. New calls are rejected meanwhile.
func TestCloseWaitsThenAborts(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	gates := make(chan chan struct{}, 10) // one for each waiting request
	site, err := rig.NewSite(rig.SiteConfig{Servers: 2, Server: standin.ServerConfig{Script: func(r standin.Request) standin.Action {
		if r.Class == "status-check" {
			gate := make(chan struct{})
			gates <- gate
			<-gate
			return standin.Action{}
		}
		return standin.Action{Kind: standin.StopBody, Body: strings.Repeat("x", 100<<10)}
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	for _, daemon := range []bool{false, true} {
		cfg := Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Pause: time.Hour} // only Close ends a streamed response
		if daemon {
			cfg.Daemon = site.Servers[0].Addr()
		}
		tr, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		replies := make(chan standin.Reply, 1)
		go func() { replies <- send(context.Background(), tr, askOf("status-check", fmt.Sprint("wait", daemon))) }()
		waitUntil(t, "the call did not start", func() bool { tr.mu.Lock(); defer tr.mu.Unlock(); return tr.active == 1 })
		closed := make(chan error, 1)
		go func() { closed <- tr.Close(context.Background()) }()
		waitUntil(t, "Close did not start", func() bool { tr.mu.Lock(); defer tr.mu.Unlock(); return tr.closed })
		if r := send(context.Background(), tr, askOf("status-check", "late")); !errors.Is(r.Err, ErrClosed) {
			t.Errorf("call during Close: %+v, want ErrClosed", r)
		}
		select {
		case <-closed:
			t.Error("Close returned before the call in progress ended")
		default:
		}
		for waiting := true; waiting; { // a copy, or a retry on a slow machine, waits as well
			select {
			case gate := <-gates:
				close(gate)
			case r := <-replies:
				waiting = false
				if r.Status != 200 {
					t.Errorf("call in progress during Close: %+v", r)
				}
			}
		}
		for len(gates) > 0 {
			close(<-gates)
		}
		if err := <-closed; err != nil {
			t.Error(err)
		}
		if err := tr.Close(context.Background()); !errors.Is(err, ErrClosed) {
			t.Errorf("second Close: %v, want ErrClosed", err)
		}

		if tr, err = New(cfg); err != nil {
			t.Fatal(err)
		}
		go func() { replies <- send(context.Background(), tr, askOf("activate", fmt.Sprint("stream", daemon))) }()
		waitUntil(t, "no streamed response started", func() bool { tr.mu.Lock(); defer tr.mu.Unlock(); return len(tr.streams) == 1 })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := tr.Close(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Close with a cancelled context: %v", err)
		}
		if r := <-replies; !errors.Is(r.Err, ErrClosed) {
			t.Errorf("streamed response aborted by Close: %v, want ErrClosed", r.Err)
		}

		if tr, err = New(cfg); err != nil {
			t.Fatal(err)
		}
		go func() { replies <- send(context.Background(), tr, askOf("status-check", fmt.Sprint("broken", daemon))) }()
		waitUntil(t, "no request reached a server", func() bool { return len(gates) == 1 })
		tr.Close(ctx)
		if r := <-replies; r.Status != 502 && !errors.Is(r.Err, ErrClosed) {
			t.Errorf("call aborted by Close: %+v, want status 502 or ErrClosed", r)
		}
		close(<-gates)
	}
}

// Many idle Transports in one process: each uses a timer and little memory, but no
// goroutine and no connection.
func TestIdleTransportsAreCheap(t *testing.T) {
	const many = 2000
	site := newSite(t, rig.SiteConfig{Servers: 8})
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, goroutines := heap(), runtime.NumGoroutine()
	all := make([]*Transport, many)
	cfg := Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Daemon: site.Servers[0].Addr()}
	for n := range all {
		all[n] = newTransport(t, cfg)
	}
	each := (heap() - before) / many
	if n := runtime.NumGoroutine() - goroutines; n > 10 {
		t.Errorf("%d additional goroutines, want at most 10", n)
	}
	if each > 32<<10 {
		t.Errorf("%d bytes of heap per Transport", each)
	}
	opened := 0
	for _, s := range site.Servers {
		opened += s.OpenedConns()
	}
	if opened > 0 {
		t.Errorf("%d connections opened, want none", opened)
	}
	t.Logf("%d idle Transports: %d bytes of heap each, no goroutine, no connection", many, each)
	runtime.KeepAlive(all)
}
