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
	// suspectAfter is how long the daemon may say nothing on a call before it is asked
	// whether it is there at all.
	suspectAfter = 500 * time.Millisecond
	// probeWait is how long that answer may take.
	probeWait = 500 * time.Millisecond
)

// link is the way to the daemon. Calls on it are the daemon's to decide, but for the
// last attempt: the daemon is told to leave one, so that the Transport can make it when
// the daemon dies over a call, and both together stay within the limit.
type link struct {
	t     *Transport
	pool  *upstream.Pool // its one server is the daemon
	start time.Time

	mu      sync.Mutex
	machine *failover.Machine
	timer   *time.Timer
	probing bool
	closed  bool
	stop    chan struct{} // closed to break off calls
	wg      sync.WaitGroup
}

func newLink(t *Transport) *link {
	l := &link{
		t: t,
		pool: upstream.New(upstream.Config{
			ConnIdle:         t.plan.set.ConnIdle,
			DialTimeout:      t.plan.set.DialTimeout,
			DrainGrace:       time.Hour, // it never leaves
			MaxConns:         t.plan.MaxConns,
			Lull:             t.plan.Pause,
			PassClientErrors: true,
		}),
		start: time.Now().Add(-time.Second),
		stop:  make(chan struct{}),
	}
	l.machine = failover.New(failover.Default(), rand.New(rand.NewPCG(t.plan.Seed, 2)).Float64)
	l.pool.Serve(daemonName, t.plan.Daemon, 0)
	return l
}

func (l *link) now() time.Duration { return time.Since(l.start) }

func (l *link) here() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Here()
}

// lost takes a daemon that is not there. The budgets of the Transport's own core start
// empty at each take-over: else each spell without the daemon would bring the retries
// of another tier.
func (l *link) lost(why string) {
	l.mu.Lock()
	takeover := l.machine.Lost(l.now())
	l.wind()
	l.mu.Unlock()
	if takeover {
		l.t.host.EmptyBudgets()
		l.t.log().Warn("daemon lost: deciding here", "daemon", l.t.plan.Daemon, "why", why)
	}
}

// wind sets the timer for the Machine's next step. It is called with the lock held.
func (l *link) wind() {
	next := l.machine.Next()
	if next == 0 || l.closed {
		return
	}
	after := max(next-l.now(), 0)
	if l.timer == nil {
		l.timer = time.AfterFunc(after, l.due)
	} else {
		l.timer.Reset(after)
	}
}

func (l *link) due() {
	l.mu.Lock()
	probe, back := l.machine.Due(l.now())
	if !probe {
		l.wind()
	}
	l.mu.Unlock()
	if back {
		l.t.log().Info("daemon back: it decides again", "daemon", l.t.plan.Daemon)
	}
	if probe {
		l.probe()
	}
}

// probe asks the daemon whether it takes calls, one at a time. What a probe of a daemon
// that counts as there finds wrong is a loss.
func (l *link) probe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing || l.closed {
		return
	}
	l.probing = true
	l.wg.Go(func() {
		err := l.health()
		l.mu.Lock()
		l.probing = false
		here := l.machine.Here()
		if !here {
			l.machine.Probed(l.now(), err == nil)
			l.wind()
		}
		l.mu.Unlock()
		if here && err != nil {
			l.lost(err.Error())
		}
	})
}

func (l *link) health() error {
	ctx, cancel := context.WithTimeout(context.Background(), probeWait)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", l.t.plan.Daemon)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeWait))
	if _, err := io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("daemon says %s", resp.Status)
	}
	return nil
}

// via is one call's attempt at the daemon.
type via struct {
	c    *call
	a    core.Attempt
	ends chan end // holds the first one
	s    *stream  // the transport's goroutine's own

	mu   sync.Mutex
	over bool // nobody waits for its end
}

type end struct {
	o    chalkrack.Outcome
	resp *http.Response // nil: none
}

// tell hands on how it ended. Guards against an answer that nobody waits for any more:
// its transport would wait for a reader for ever.
func (v *via) tell(e end) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.over {
		select {
		case v.ends <- e:
			return
		default: // only the first counts
		}
	}
	if e.resp != nil {
		e.resp.Body.Close()
	}
}

// leave waits no longer. It returns the answer that has come all the same, nil if none.
func (v *via) leave() *http.Response {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.over = true
	select {
	case e := <-v.ends:
		return e.resp
	default:
		return nil
	}
}

// Stream implements core.Sink.
func (v *via) Stream(answer any, _ chalkrack.Report) io.Writer {
	s, resp := v.c.stream(answer.(*message.Answer), func() {
		v.a.Abandon()
		v.a.Close()
	})
	v.s = s
	v.tell(end{chalkrack.OK, resp})
	return s
}

// Done implements core.Sink.
func (v *via) Done(o chalkrack.Outcome, answer any, _ chalkrack.Report) {
	if v.s != nil {
		v.s.End(o == chalkrack.OK)
		return
	}
	e := end{o: o}
	if ans, _ := answer.(*message.Answer); ans != nil {
		ans.Header.Del("Srv-Declined") // between tiers
		switch ans.Status {            // the daemon's own words: servers' answers come as 200 and 4xx only
		case http.StatusServiceUnavailable:
			ans.Header.Set(VerdictField, "refused")
		case http.StatusBadGateway:
			ans.Header.Set(VerdictField, "failed")
		}
		e.resp = v.c.response(or(ans.Status, http.StatusOK), ans.Header, io.NopCloser(bytes.NewReader(ans.Body)), int64(len(ans.Body)))
	}
	v.tell(e)
}

// roundTrip makes a call by way of the daemon. past says that the Transport decides on
// it instead: the daemon is away, nothing of the call has reached it, or it died over
// a call that may still go on within c.Limits.
func (l *link) roundTrip(c *call) (resp *http.Response, err error, past bool) {
	if !l.here() {
		return nil, nil, true
	}
	ctx := c.r.Context()
	most := l.t.plan.set.Config.MaxAttempts
	msg := &message.Request{Method: c.msg.Method, Body: c.msg.Body, Source: c.msg.Source, Chunked: c.msg.Chunked}
	msg.Head = fmt.Appendf(c.msg.Head[:len(c.msg.Head):len(c.msg.Head)], "%s: %d\r\n", message.AttemptsField, max(1, most-1))
	wait := c.Wait
	if wait == 0 {
		wait = l.t.plan.set.DeadlineOf(c.Class)
	}
	deadline := c.Received.Add(wait)
	v := &via{c: c, ends: make(chan end, 1)}
	began := time.Now()
	v.a = l.pool.Attempt(core.Order{Payload: msg, Server: daemonName, Deadline: deadline, Once: c.class.Effect == chalkrack.Unsafe, Sink: v})
	v.a.Start()
	giveUp := func() *http.Response {
		v.a.Abandon()
		v.a.Close()
		return v.leave()
	}
	drop := func(err error) (*http.Response, error, bool) {
		if resp := giveUp(); resp != nil {
			resp.Body.Close()
		}
		return nil, err, false
	}
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	forwarded := c.forwarded
	if forwarded != nil { // the time counts from the last byte
		late.Reset(time.Until(deadline) + l.t.plan.Keep.Within)
	}
	suspect := time.NewTimer(suspectAfter)
	defer suspect.Stop()
	for {
		select {
		case e := <-v.ends:
			return l.ended(c, e, began, most)
		case <-forwarded:
			forwarded = nil
			if c.forwardErr != nil {
				return drop(fmt.Errorf("client: reading the body: %w", c.forwardErr))
			}
			late.Reset(wait)
		case <-suspect.C:
			l.probe()
		case <-ctx.Done():
			return drop(ctx.Err())
		case <-l.stop:
			return drop(ErrClosed)
		case <-late.C:
			if resp := giveUp(); resp != nil { // it came just now
				return resp, nil, false
			}
			l.probe()
			return c.answerUnanswered(), nil, false
		}
	}
}

// ended takes what came of a call at the daemon.
func (l *link) ended(c *call, e end, began time.Time, most int) (resp *http.Response, err error, past bool) {
	switch {
	case e.resp != nil:
		return e.resp, nil, false
	case e.o == chalkrack.NotSent: // no connection left here: that is no matter of the daemon's
		return c.answerRefused(l.t.plan.set.Config.MaxRetryAfter / 2), nil, false
	case e.o == chalkrack.ConnectFailed:
		l.lost("no connection")
		return nil, nil, true
	}
	// The daemon, or its connection, died over the call, which may have run, with all
	// attempts that were left to the daemon.
	l.probe()
	if most < 2 || !l.t.nodes {
		return c.answerUnanswered(), nil, false
	}
	switch c.class.Effect {
	case chalkrack.Safe:
		c.Limits = &core.Limits{Attempts: 1}
		return nil, nil, true
	case chalkrack.Keyed:
		// Which servers the daemon tried is not known: only a key that all know helps.
		if c.class.Scope == chalkrack.ScopeAll {
			c.Limits = &core.Limits{Attempts: 1, NotAfter: began.Add(c.class.Window)}
			return nil, nil, true
		}
	}
	return c.answerUnanswered(), nil, false
}

func (l *link) breakOff() { close(l.stop) }

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
	l.mu.Unlock()
	l.pool.Close()
	l.wg.Wait()
}
