// Package client is the sidecar's decisions in the caller's own process: an
// http.RoundTripper that chooses a server for each call, hedges and retries within the
// class's rules, and refuses what can't be served in time, exactly as the daemon does,
// by the same core and the same decision module.
//
//	t, err := client.New(client.Config{Classes: classes, Discovery: "10.2.0.1:8500"})
//	...
//	defer t.Close(ctx)
//	c := &http.Client{Transport: t}
//
// A call's class is the first part of its path, or what Config.Classify says. One that
// has no answer ends as the daemon would end it: 503 with Retry-After where trying
// again is harmless, 502 where the call may have run. The field Fawn-Verdict of these
// says 'refused' or 'failed', and is set on no answer of a server.
//
// One tier decides on each call. What the Transport decides on goes out marked, so that
// a daemon on the way makes one attempt for it and no further ones of its own. With
// Config.Daemon the daemon decides while it is there.
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

// VerdictField is the field of an answer that no server made.
const VerdictField = "Fawn-Verdict"

// ErrClosed is the error of calls that come after Close, and of those that it broke off.
var ErrClosed = errors.New("client: closed")

// sweepEach is how often idle connections are looked through, while there are any.
const sweepEach = 2 * time.Second

// Transport is an http.RoundTripper. It holds MaxCalls calls, MaxConns connections and
// MaxBody bytes for the body of each call at most. While idle it has one timer, and with
// Discovery one goroutine and one connection.
type Transport struct {
	plan    *plan
	store   *body.Store // nil: bodies are held in memory, within MaxBody each
	pool    *upstream.Pool
	host    *core.Host
	watcher *discovery.Watcher // nil: a fixed list, or none
	link    *link              // nil: no daemon
	nodes   bool               // it has a source of them
	wg      sync.WaitGroup     // its goroutines

	mu       sync.Mutex
	closed   bool
	busy     int
	idle     chan struct{} // closed when busy is 0 after Close
	quiet    bool          // idle is closed
	streams  map[*stream]struct{}
	sweeping *time.Timer // nil: none is due
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport. Errors name the field of cfg.
func New(cfg Config) (*Transport, error) {
	p, err := cfg.check()
	if err != nil {
		return nil, err
	}
	t := &Transport{plan: p, idle: make(chan struct{}), streams: make(map[*stream]struct{})}
	t.pool = upstream.New(upstream.Config{
		ConnIdle:         p.set.ConnIdle,
		DialTimeout:      p.set.DialTimeout,
		DrainGrace:       p.set.DrainGrace,
		MaxConns:         p.MaxConns,
		Stall:            p.set.ShortestAim() / 2,
		Lull:             p.Pause,
		PassClientErrors: p.PassClientErrors,
	})
	if t.store, err = p.store(); err != nil {
		return nil, err
	}
	t.nodes = p.known != nil || p.Discovery != ""
	coreCfg := core.Config{Settings: p.set, Seed: p.Seed, Transport: t.pool, Log: p.Log}
	if p.Discovery != "" {
		t.watcher = &discovery.Watcher{Addr: p.Discovery, Timing: discovery.Pushed}
		if p.asks {
			t.watcher.Timing = discovery.Asked
		}
	}
	if t.host, err = core.New(coreCfg); err != nil {
		if t.store != nil {
			t.store.Close()
		}
		return nil, fmt.Errorf("client: %w", err)
	}
	if p.known != nil {
		t.host.Listed(p.known)
	}
	if t.watcher != nil {
		t.watcher.Listed, t.watcher.Failed = t.host.Listed, t.host.DiscoveryFailed
		if p.known != nil {
			t.watcher.Track = membership.Holding(p.known)
		}
		t.wg.Go(t.watcher.Follow)
	}
	if p.Daemon != "" {
		t.link = newLink(t)
	}
	return t, nil
}

// SetNodes replaces a fixed list of nodes. What is not on the new one has gone.
func (t *Transport) SetNodes(nodes []Node) error {
	if t.watcher != nil || !t.nodes {
		return errors.New("client: SetNodes is for a Transport with Nodes")
	}
	l, err := nodeList(nodes)
	if err != nil {
		return err
	}
	t.host.Listed(l)
	return nil
}

// Classify is the platform's form: the class is the first part of the path, or
// Req-Kind where it is set, the key Idempotency-Key, the tenant Req-Owner, and what a
// call is about the cookie 'user'.
func Classify(r *http.Request) (Info, error) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	info := Info{Class: or(r.Header.Get("Req-Kind"), class), Key: r.Header.Get("Idempotency-Key"), Tenant: r.Header.Get("Req-Owner")}
	if c, err := r.Cookie("user"); err == nil {
		info.About = c.Value
	}
	return info, nil
}

// RoundTrip implements http.RoundTripper. An error says that no call was made, that the
// context ended, or that the Transport is closed; whatever else becomes of a call is an
// answer. The time that a call may take is the context's, or its class's.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.enter() {
		closeBody(r)
		return nil, ErrClosed
	}
	defer t.leave()
	c, err := t.prepare(r)
	if err != nil {
		return nil, err
	}
	c.forward()
	defer c.drop()
	if t.link != nil {
		if resp, err, past := t.link.roundTrip(c); !past {
			return resp, err
		}
		if !t.nodes {
			return c.answerRefused(t.plan.set.Config.MaxRetryAfter/10 + rand.N(t.plan.set.Config.MaxRetryAfter/10+1)), nil
		}
	}
	return c.decide()
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		r.Body.Close()
	}
}

func (t *Transport) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.busy++
	if t.sweeping == nil {
		t.sweeping = time.AfterFunc(sweepEach, t.sweep)
	}
	return true
}

func (t *Transport) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	t.checkIdle()
}

// checkIdle tells Close that nothing is under way. It is called with the lock held.
func (t *Transport) checkIdle() {
	if t.busy == 0 && t.closed && !t.quiet {
		t.quiet = true
		close(t.idle)
	}
}

// sweep closes connections that have been idle for too long. It comes again only while
// there are any: a Transport without traffic costs no CPU.
func (t *Transport) sweep() {
	now := time.Now()
	t.pool.Sweep(now)
	left := t.pool.Conns()
	if t.link != nil {
		t.link.pool.Sweep(now)
		left += t.link.pool.Conns()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweeping = nil
	if (left > 0 || t.busy > 0) && !t.closed {
		t.sweeping = time.AfterFunc(sweepEach, t.sweep)
	}
}

// Close takes no more calls and waits until those under way, long answers included,
// have ended. When ctx ends it breaks them off, which ends them at once, and returns
// the context's error.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return ErrClosed
	}
	t.closed = true
	t.checkIdle()
	t.mu.Unlock()
	var err error
	select {
	case <-t.idle:
	case <-ctx.Done():
		err = ctx.Err()
		if t.link != nil {
			t.link.breakOff()
		}
		t.host.Close()
		t.mu.Lock()
		broken := make([]*stream, 0, len(t.streams))
		for s := range t.streams {
			broken = append(broken, s)
		}
		t.mu.Unlock()
		for _, s := range broken {
			s.breakOff(ErrClosed)
		}
		<-t.idle
	}
	t.host.Close()
	t.pool.Close()
	if t.link != nil {
		t.link.close()
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
	if t.sweeping != nil {
		t.sweeping.Stop()
	}
	return err
}

// ByDaemon says whether a call that begins now goes by way of the daemon.
func (t *Transport) ByDaemon() bool { return t.link != nil && t.link.here() }

// held is how many calls the core holds.
func (t *Transport) held() int { return t.host.Held() }

func (t *Transport) log() *slog.Logger {
	if t.plan.Log != nil {
		return t.plan.Log
	}
	return slog.Default()
}
