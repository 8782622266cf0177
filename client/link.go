package client

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/failover"
	"chalkrack/internal/message"
	"chalkrack/internal/upstream"
)

const (
	daemonName = "daemon"
	// probeDelay is the time without an answer to a call after which the daemon's health is
	// probed.
	probeDelay = 500 * time.Millisecond
	// probeTimeout is the timeout of a health probe.
	probeTimeout = 500 * time.Millisecond
)

// daemonLink sends calls through the daemon and tracks whether it is available. The
// daemon decides these calls, but is told to leave the last attempt unused: if the daemon
// dies during a call, the Transport makes that attempt, and both together stay within the
// limit.
type daemonLink struct {
	t         *Transport
	pool      *upstream.Pool // has the daemon as its only server
	startTime time.Time

	mu        sync.Mutex
	state     *failover.Machine
	timer     *time.Timer
	isProbing bool
	closed    bool
	abort     chan struct{} // closed to abort calls
	wg        sync.WaitGroup
}

func newDaemonLink(t *Transport) *daemonLink {
	l := &daemonLink{
		t: t,
		pool: upstream.New(upstream.Config{
			ConnIdleTimeout:    t.cfg.settings.ConnIdle,
			DialTimeout:        t.cfg.settings.DialTimeout,
			DrainGrace:         time.Hour, // unused: the daemon never leaves the pool
			MaxConns:           t.cfg.MaxConns,
			StreamStallTimeout: t.cfg.Pause,
			PassClientErrors:   true,
		}),
		startTime: time.Now().Add(-time.Second),
		abort:     make(chan struct{}),
	}
	l.state = failover.New(failover.Default(), rand.New(rand.NewPCG(t.cfg.Seed, 2)).Float64)
	l.pool.AddServer(daemonName, t.cfg.Daemon, 0)
	return l
}

func (l *daemonLink) now() time.Duration { return time.Since(l.startTime) }

func (l *daemonLink) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.UsesDaemon()
}

// markLost records that the daemon is unavailable. When the Transport takes over, the retry
// budgets of its own core start empty; otherwise each outage of the daemon would add the
// retries of a second tier.
func (l *daemonLink) markLost(reason string) {
	l.mu.Lock()
	takeover := l.state.RecordLoss(l.now())
	l.resetTimer()
	l.mu.Unlock()
	if takeover {
		l.t.host.ClearBudgets()
		l.t.logger().Warn("daemon unavailable: deciding calls in this process", "daemon", l.t.cfg.Daemon, "why", reason)
	}
}

// resetTimer sets the timer for the state machine's next step. The caller must hold l.mu.
func (l *daemonLink) resetTimer() {
	next := l.state.NextDue()
	if next == 0 || l.closed {
		return
	}
	after := max(next-l.now(), 0)
	if l.timer == nil {
		l.timer = time.AfterFunc(after, l.onTimer)
	} else {
		l.timer.Reset(after)
	}
}

func (l *daemonLink) onTimer() {
	l.mu.Lock()
	probe, back := l.state.Advance(l.now())
	if !probe {
		l.resetTimer()
	}
	l.mu.Unlock()
	if back {
		l.t.logger().Info("daemon available again: it decides calls", "daemon", l.t.cfg.Daemon)
	}
	if probe {
		l.probe()
	}
}

// probe checks the daemon's health in a goroutine; only one probe runs at a time. If the
// daemon counts as available and the probe fails, probe records the daemon as lost.
func (l *daemonLink) probe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isProbing || l.closed {
		return
	}
	l.isProbing = true
	l.wg.Go(func() {
		err := l.checkHealth()
		l.mu.Lock()
		l.isProbing = false
		here := l.state.UsesDaemon()
		if !here {
			l.state.RecordProbe(l.now(), err == nil)
			l.resetTimer()
		}
		l.mu.Unlock()
		if here && err != nil {
			l.markLost(err.Error())
		}
	})
}

func (l *daemonLink) checkHealth() error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", l.t.cfg.Daemon)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("health check of the daemon returned %s", resp.Status)
	}
	return nil
}

// daemonAttempt is the attempt to make one call through the daemon. It implements
// core.Sink.
type daemonAttempt struct {
	c           *call
	coreAttempt core.Attempt
	results     chan attemptResult // buffered: receives only the first result
	stream      *stream            // used only by the goroutine of the upstream transport

	mu          sync.Mutex
	isAbandoned bool // nobody waits for the result
}

type attemptResult struct {
	outcome chalkrack.Outcome
	resp    *http.Response // nil: no response
}

// deliver passes the first result on to the waiting call. It closes a response that nobody
// waits for any more, because the upstream transport would wait for a reader forever.
func (v *daemonAttempt) deliver(e attemptResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isAbandoned {
		select {
		case v.results <- e:
			return
		default: // only the first result counts
		}
	}
	if e.resp != nil {
		e.resp.Body.Close()
	}
}

// abandon stops waiting for the result. It returns a response that has arrived in the
// meantime, or nil.
func (v *daemonAttempt) abandon() *http.Response {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isAbandoned = true
	select {
	case e := <-v.results:
		return e.resp
	default:
		return nil
	}
}

// Stream implements core.Sink.
func (v *daemonAttempt) Stream(answer any, _ chalkrack.LoadReport) io.Writer {
	s, resp := v.c.startStream(answer.(*message.Answer), func() {
		v.coreAttempt.Abandon()
		v.coreAttempt.Close()
	})
	v.stream = s
	v.deliver(attemptResult{chalkrack.OK, resp})
	return s
}

// Stalled implements core.Sink. The daemon makes another attempt itself where that is allowed.
func (v *daemonAttempt) Stalled() {}

// Done implements core.Sink.
func (v *daemonAttempt) Done(o chalkrack.Outcome, answer any, _ chalkrack.LoadReport) {
	if v.stream != nil {
		v.stream.End(o == chalkrack.OK)
		return
	}
	e := attemptResult{outcome: o}
	if ans, _ := answer.(*message.Answer); ans != nil {
		ans.Header.Del("Srv-Declined") // only meant for use between the tiers
		switch ans.Status {            // the daemon's own responses: it passes on only 200 and 4xx from servers
		case http.StatusServiceUnavailable:
			ans.Header.Set(VerdictField, "refused")
		case http.StatusBadGateway:
			ans.Header.Set(VerdictField, "failed")
		}
		e.resp = v.c.newResponse(orDefault(ans.Status, http.StatusOK), ans.Header, io.NopCloser(bytes.NewReader(ans.Body)), int64(len(ans.Body)))
	}
	v.deliver(e)
}

// roundTrip makes a call through the daemon. If local is true, the Transport must decide
// the call instead: the daemon is unavailable, nothing of the call has reached it, or it
// died during a call that may still continue within c.Limits.
func (l *daemonLink) roundTrip(c *call) (resp *http.Response, err error, local bool) {
	if !l.isUp() {
		return nil, nil, true
	}
	ctx := c.r.Context()
	maxAttempts := l.t.cfg.settings.Config.MaxAttempts
	msg := &message.Request{Method: c.msg.Method, Body: c.msg.Body, Source: c.msg.Source, Chunked: c.msg.Chunked}
	msg.Head = fmt.Appendf(c.msg.Head[:len(c.msg.Head):len(c.msg.Head)], "%s: %d\r\n", message.AttemptsField, max(1, maxAttempts-1))
	wait := c.Timeout
	if wait == 0 {
		wait = l.t.cfg.settings.DeadlineOf(c.Class)
	}
	deadline := c.Received.Add(wait)
	attempt := &daemonAttempt{c: c, results: make(chan attemptResult, 1)}
	began := time.Now()
	attempt.coreAttempt = l.pool.NewAttempt(core.Order{Payload: msg, Server: daemonName, Deadline: deadline, AtMostOnce: c.class.Effect == chalkrack.Unsafe, Sink: attempt})
	attempt.coreAttempt.Start()
	abandon := func() *http.Response {
		attempt.coreAttempt.Abandon()
		attempt.coreAttempt.Close()
		return attempt.abandon()
	}
	fail := func(err error) (*http.Response, error, bool) {
		if resp := abandon(); resp != nil {
			resp.Body.Close()
		}
		return nil, err, false
	}
	deadlineTimer := time.NewTimer(time.Until(deadline))
	defer deadlineTimer.Stop()
	forwarded := c.forwardDone
	if forwarded != nil { // the deadline counts from the body's last byte
		deadlineTimer.Reset(time.Until(deadline) + l.t.cfg.Keep.Within)
	}
	probeTimer := time.NewTimer(probeDelay)
	defer probeTimer.Stop()
	for {
		select {
		case e := <-attempt.results:
			return l.handleResult(c, e, began, maxAttempts)
		case <-forwarded:
			forwarded = nil
			if c.forwardErr != nil {
				return fail(fmt.Errorf("client: reading the body: %w", c.forwardErr))
			}
			deadlineTimer.Reset(wait)
		case <-probeTimer.C:
			l.probe()
		case <-ctx.Done():
			return fail(ctx.Err())
		case <-l.abort:
			return fail(ErrClosed)
		case <-deadlineTimer.C:
			if resp := abandon(); resp != nil { // it arrived at the last moment
				return resp, nil, false
			}
			l.probe()
			return c.unansweredResponse(), nil, false
		}
	}
}

// handleResult processes the result of a call through the daemon. Its results are those of
// roundTrip.
func (l *daemonLink) handleResult(c *call, e attemptResult, began time.Time, maxAttempts int) (resp *http.Response, err error, local bool) {
	switch {
	case e.resp != nil:
		return e.resp, nil, false
	case e.outcome == chalkrack.NotSent: // the pool has no connection left: this says nothing about the daemon
		return c.refusedResponse(l.t.cfg.settings.Config.MaxRetryAfter / 2), nil, false
	case e.outcome == chalkrack.ConnectFailed:
		l.markLost("no connection")
		return nil, nil, true
	}
	// The daemon or its connection died during the call, which may have run and may have
	// used all the attempts allowed to the daemon.
	l.probe()
	if maxAttempts < 2 || !l.t.hasNodes {
		return c.unansweredResponse(), nil, false
	}
	switch c.class.Effect {
	case chalkrack.Safe:
		c.Limits = &core.Limits{MaxAttempts: 1}
		return nil, nil, true
	case chalkrack.Keyed:
		// It is unknown which servers the daemon tried, so only a key that all servers
		// share prevents a second run.
		if c.class.Scope == chalkrack.ScopeAll {
			c.Limits = &core.Limits{MaxAttempts: 1, NotAfter: began.Add(c.class.Window)}
			return nil, nil, true
		}
	}
	return c.unansweredResponse(), nil, false
}

func (l *daemonLink) abortCalls() { close(l.abort) }

func (l *daemonLink) close() {
	l.mu.Lock()
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
	l.mu.Unlock()
	l.pool.Close()
	l.wg.Wait()
}
