// Package client runs the load balancer inside the caller's own process. Its Transport
// is an http.RoundTripper that chooses a server for each call, hedges and retries within
// the rules of the call's class, and refuses calls that can't be served in time. It uses
// the same core and the same decision module as the sidecar daemon.
//
//	t, err := client.New(client.Config{Classes: classes, Discovery: "10.2.0.1:8500"})
//	...
//	defer t.Close(ctx)
//	c := &http.Client{Transport: t}
//
// A call's class is the first segment of its path, or the result of Config.Classify. A
// call that no server answered gets the same response as from the daemon: 503 with
// Retry-After if it is harmless to try again, 502 if the call may have run. The header
// field Fawn-Verdict of these responses is 'refused' or 'failed'; it is never set on a
// server's response.
//
// Only one tier decides each call. Requests of calls that the Transport decides are
// marked, so that a daemon on the way makes a single attempt and no retries of its own.
// With Config.Daemon the daemon decides while it is available.
package client

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/core"
	"chalkrack/internal/discovery"
	"chalkrack/internal/membership"
	"chalkrack/internal/upstream"
)

// VerdictField is the header field that marks responses not made by a server.
const VerdictField = "Fawn-Verdict"

// ErrClosed is the error of calls made after Close and of calls that Close aborted.
var ErrClosed = errors.New("client: closed")

// sweepInterval is the interval between checks for idle connections, while there are any
// connections.
const sweepInterval = 2 * time.Second

// Transport is an http.RoundTripper. It holds at most MaxCalls calls, MaxConns
// connections and MaxBody bytes for the body of each call. While idle it has one timer,
// and with Discovery one goroutine and one connection. It is safe for concurrent use.
type Transport struct {
	cfg      *validConfig
	store    *body.Store // nil: bodies are held in memory, up to MaxBody each
	pool     *upstream.Pool
	host     *core.Host
	watcher  *discovery.Watcher // nil: nodes are a fixed list, or there are none
	daemon   *daemonLink        // nil: no daemon is configured
	hasNodes bool               // Nodes or Discovery is configured
	wg       sync.WaitGroup     // tracks the Transport's goroutines

	mu           sync.Mutex
	closed       bool
	active       int
	idleCh       chan struct{} // closed when active is 0 after Close
	isIdleClosed bool          // idleCh is closed
	streams      map[*stream]struct{}
	sweepTimer   *time.Timer // nil: no check is scheduled
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport for cfg. Errors name the invalid field of cfg.
func New(cfg Config) (*Transport, error) {
	p, err := cfg.validate()
	if err != nil {
		return nil, err
	}
	t := &Transport{cfg: p, idleCh: make(chan struct{}), streams: make(map[*stream]struct{})}
	t.pool = upstream.New(upstream.Config{
		ConnIdleTimeout:    p.settings.ConnIdle,
		DialTimeout:        p.settings.DialTimeout,
		DrainGrace:         p.settings.DrainGrace,
		MaxConns:           p.MaxConns,
		StallTimeout:       p.settings.ShortestAim() / 2,
		StreamStallTimeout: p.Pause,
		PassClientErrors:   p.PassClientErrors,
	})
	if t.store, err = p.newStore(); err != nil {
		return nil, err
	}
	t.hasNodes = p.knownNodes != nil || p.Discovery != ""
	coreCfg := core.Config{Settings: p.settings, Seed: p.Seed, Transport: t.pool, Log: p.Log}
	if p.Discovery != "" {
		t.watcher = &discovery.Watcher{Addr: p.Discovery, Timing: discovery.AgentTiming}
		if p.asksDiscovery {
			t.watcher.Timing = discovery.SharedServiceTiming
		}
	}
	if t.host, err = core.New(coreCfg); err != nil {
		if t.store != nil {
			t.store.Close()
		}
		return nil, fmt.Errorf("client: %w", err)
	}
	if p.knownNodes != nil {
		t.host.ApplyList(p.knownNodes)
	}
	if t.watcher != nil {
		t.watcher.OnList, t.watcher.OnError = t.host.ApplyList, t.host.DiscoveryFailed
		if p.knownNodes != nil {
			t.watcher.Track = membership.NewTracker(p.knownNodes)
		}
		t.wg.Go(t.watcher.Run)
	}
	if p.Daemon != "" {
		t.daemon = newDaemonLink(t)
	}
	return t, nil
}

// SetNodes replaces a fixed list of nodes. Nodes missing from the new list are removed.
// It returns an error if the Transport has no fixed list or the new list is invalid.
func (t *Transport) SetNodes(nodes []Node) error {
	if t.watcher != nil || !t.hasNodes {
		return errors.New("client: SetNodes needs a Transport with a fixed list of Nodes")
	}
	l, err := newNodeList(nodes)
	if err != nil {
		return err
	}
	t.host.ApplyList(l)
	return nil
}

// Classify reads a request in the platform's form: the class is the header field
// Req-Kind or, without it, the first segment of the path; the key is Idempotency-Key,
// the tenant is Req-Owner, and About is the cookie 'user'.
func Classify(r *http.Request) (Info, error) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	info := Info{Class: orDefault(r.Header.Get("Req-Kind"), class), Key: r.Header.Get("Idempotency-Key"), Tenant: r.Header.Get("Req-Owner")}
	if c, err := r.Cookie("user"); err == nil {
		info.About = c.Value
	}
	return info, nil
}

// RoundTrip implements http.RoundTripper. It returns an error if the request is invalid
// or its body can't be read, if the context ended, or if the Transport is closed; every
// other outcome is a response. The call's deadline is the context's or else its class's.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.acquire() {
		closeBody(r)
		return nil, ErrClosed
	}
	defer t.release()
	c, err := t.prepare(r)
	if err != nil {
		return nil, err
	}
	c.startForwarding()
	defer c.discardBody()
	if t.daemon != nil {
		if resp, err, local := t.daemon.roundTrip(c); !local {
			return resp, err
		}
		if !t.hasNodes {
			return c.refusedResponse(t.cfg.settings.Config.MaxRetryAfter/10 + rand.N(t.cfg.settings.Config.MaxRetryAfter/10+1)), nil
		}
	}
	return c.runLocally()
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		r.Body.Close()
	}
}

func (t *Transport) acquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.active++
	if t.sweepTimer == nil {
		t.sweepTimer = time.AfterFunc(sweepInterval, t.sweepIdleConns)
	}
	return true
}

func (t *Transport) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.signalIfIdle()
}

// signalIfIdle tells Close that no call is in progress. The caller must hold t.mu.
func (t *Transport) signalIfIdle() {
	if t.active == 0 && t.closed && !t.isIdleClosed {
		t.isIdleClosed = true
		close(t.idleCh)
	}
}

// sweepIdleConns closes connections that have been idle for too long. It reschedules
// itself only while there are connections or calls, so that a Transport without traffic
// uses no CPU.
func (t *Transport) sweepIdleConns() {
	now := time.Now()
	t.pool.Sweep(now)
	left := t.pool.Conns()
	if t.daemon != nil {
		t.daemon.pool.Sweep(now)
		left += t.daemon.pool.Conns()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweepTimer = nil
	if (left > 0 || t.active > 0) && !t.closed {
		t.sweepTimer = time.AfterFunc(sweepInterval, t.sweepIdleConns)
	}
}

// Close rejects new calls and blocks until the calls in progress, including streamed
// responses, have ended. If ctx ends first, Close aborts them and returns the context's
// error. A second Close returns ErrClosed.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return ErrClosed
	}
	t.closed = true
	t.signalIfIdle()
	t.mu.Unlock()
	var err error
	select {
	case <-t.idleCh:
	case <-ctx.Done():
		err = ctx.Err()
		if t.daemon != nil {
			t.daemon.abortCalls()
		}
		t.host.Close()
		t.mu.Lock()
		openStreams := make([]*stream, 0, len(t.streams))
		for s := range t.streams {
			openStreams = append(openStreams, s)
		}
		t.mu.Unlock()
		for _, s := range openStreams {
			s.cancel(ErrClosed)
		}
		<-t.idleCh
	}
	t.host.Close()
	t.pool.Close()
	if t.daemon != nil {
		t.daemon.close()
	}
	if t.watcher != nil {
		t.watcher.Close()
	}
	t.wg.Wait()
	if t.store != nil {
		t.store.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sweepTimer != nil {
		t.sweepTimer.Stop()
	}
	return err
}

// ByDaemon reports whether a call that begins now is sent through the daemon.
func (t *Transport) ByDaemon() bool { return t.daemon != nil && t.daemon.isUp() }

// heldCalls returns the number of calls that the core holds.
func (t *Transport) heldCalls() int { return t.host.Held() }

func (t *Transport) logger() *slog.Logger {
	if t.cfg.Log != nil {
		return t.cfg.Log
	}
	return slog.Default()
}
