// Package sidecar hosts one Balancer on real sockets. It brings the events of
// clients, servers and discovery to the Balancer and carries out its decisions;
// it makes none itself, beyond guarding its limits.
package sidecar

import (
	"container/heap"
	"io"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"chalkrack"
	"chalkrack/internal/discovery"
	"chalkrack/internal/front"
	"chalkrack/internal/settings"
	"chalkrack/internal/upstream"
)

const (
	// tick is the least time between two looks at the timers: due ones share one.
	tick           = 2 * time.Millisecond
	deadlineMargin = 5 * time.Millisecond
	// longestWait bounds what a client may ask to wait.
	longestWait = 10 * time.Minute
)

// Host is the chalkrack.Host of a real sidecar. One lock guards the Balancer and
// all that belongs to it. The Balancer's wishes are written down under the lock
// and carried out after it is freed, by whoever brought the event.
type Host struct {
	set     *settings.Settings
	pool    *upstream.Pool
	watcher *discovery.Watcher

	start time.Time
	unix  time.Duration // at start

	mu      sync.Mutex
	b       *chalkrack.Balancer
	held    map[chalkrack.RequestID]*request
	last    chalkrack.RequestID
	alarms  alarms
	alarm   *time.Timer
	alarmAt time.Duration
	actions []func()
	quitAt  time.Duration
	ready   bool
}

// request is one that is owed an answer or attempts' ends.
type request struct {
	id       chalkrack.RequestID
	x        *front.Exchange
	deadline time.Duration
	class    *chalkrack.Class // nil: unknown
	attempts []*attempt
	out      int
	over     bool
}

// repeatBefore is when it is too late to repeat a keyed request: a window after the
// first send that may have run; 0 if none has, or for other requests.
func (q *request) repeatBefore() time.Duration {
	if q.class == nil || q.class.Effect != chalkrack.Keyed {
		return 0
	}
	for _, a := range q.attempts {
		if !a.neverRan {
			return a.sent + q.class.Window
		}
	}
	return 0
}

type attempt struct {
	upstream.Attempt
	host *Host
	q    *request
	n    int
	sent time.Duration
	done bool

	neverRan bool
	stream   *front.Stream
}

// outcomes are the words of the log.
var outcomes = [...]string{"ok", "server error", "full", "timed out", "connect failed", "reset", "cancelled", "not sent"}

// New returns a Host of a new Balancer, which the watcher tells of the servers.
func New(set *settings.Settings, seed uint64, pool *upstream.Pool, watcher *discovery.Watcher) (*Host, error) {
	start := time.Now()
	h := &Host{
		set:     set,
		pool:    pool,
		watcher: watcher,
		start:   start,
		unix:    time.Duration(start.UnixNano()),
		held:    make(map[chalkrack.RequestID]*request),
	}
	watcher.Listed, watcher.Failed = h.Listed, h.DiscoveryFailed
	h.alarm = time.AfterFunc(time.Hour, h.ring)
	var err error
	h.locked(func(time.Duration) { h.b, err = chalkrack.New(set.Config, seed, h) })
	return h, err
}

func (h *Host) now() time.Duration { return h.unix + time.Since(h.start) }

// locked brings an event to the Balancer and then does what it asked for.
func (h *Host) locked(event func(now time.Duration)) {
	for _, act := range h.decide(event) {
		act()
	}
}

// decide frees the lock also if the Balancer panics: others' requests go on.
func (h *Host) decide(event func(now time.Duration)) []func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	event(h.now())
	h.wind()
	acts := h.actions
	h.actions = nil
	return acts
}

// Arrive implements front.Handler.
func (h *Host) Arrive(x *front.Exchange) {
	h.locked(func(now time.Duration) {
		if h.set.MostHeld > 0 && len(h.held) >= h.set.MostHeld {
			slog.Warn("request refused: too many held", "held", len(h.held))
			h.actions = append(h.actions, func() { x.Refuse(h.set.Config.MaxRetryAfter / 10) }, x.Release)
			return
		}
		class := h.set.Class([]byte(x.Class))
		wait := x.Wait
		if wait == 0 {
			wait = h.longest(class)
		}
		deadline := now - time.Since(x.Received) + min(wait, longestWait) - min(deadlineMargin, wait/10)
		if h.quitAt > 0 {
			deadline = min(deadline, h.quitAt)
		}
		h.last++
		q := &request{id: h.last, x: x, deadline: deadline}
		if class >= 0 {
			q.class = &h.set.Config.Classes[class]
		}
		x.State = q
		h.held[q.id] = q
		h.after(alarm{at: deadline, q: q})
		h.b.Arrive(now, chalkrack.Request{
			ID:       q.id,
			Class:    class,
			Tenant:   h.set.Tenant([]byte(x.Tenant)),
			Key:      x.Key,
			Deadline: deadline,
		})
	})
}

// longest is a class's own deadline, that of the longest for one unknown.
func (h *Host) longest(class int) (d time.Duration) {
	for n, own := range h.set.Deadlines {
		if n == class {
			return own
		}
		d = max(d, own)
	}
	return max(d, time.Second)
}

// Gone implements front.Handler. It holds also where the Balancer panics: the
// client side comes here to end a request that a panic has left open.
func (h *Host) Gone(x *front.Exchange) (taken bool) {
	defer recovered("a client that left")
	h.locked(func(now time.Duration) {
		q, _ := x.State.(*request)
		if q == nil || q.over { // of a long answer the writes will notice
			return
		}
		q.over, taken = true, true
		slog.Info("client left", "id", q.id, "class", x.Class, "after", time.Since(x.Received), "attempts", len(q.attempts), "wait", x.Wait)
		defer h.forget(q)
		h.b.ClientGone(now, q.id)
	})
	return taken
}

// Ready implements front.Handler.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// SetReady says whether clients may come.
func (h *Host) SetReady(ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

// Known implements front.Handler.
func (h *Host) Known(class string) bool { return h.set.Class([]byte(class)) >= 0 }

// QuitAt sees to it that all is answered by then, and clients are told to wait no longer.
func (h *Host) QuitAt(in time.Duration) {
	h.locked(func(now time.Duration) {
		h.quitAt = now + in
		for _, q := range h.held {
			if q.deadline > h.quitAt {
				h.after(alarm{at: h.quitAt, q: q})
			}
		}
	})
}

// Held is the number of requests held.
func (h *Host) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}

// Listed takes what discovery says.
func (h *Host) Listed(l *discovery.List) {
	endpoints := make([]chalkrack.Endpoint, len(l.Entries))
	h.locked(func(now time.Duration) {
		listed := make(map[string]bool, len(l.Entries))
		for n, e := range l.Entries {
			endpoints[n] = e.Endpoint
			listed[e.Name] = true
			if e.State == chalkrack.Serving {
				h.pool.Serve(e.Name, e.Address, e.Started)
			} else {
				h.pool.Leave(e.Name, e.State == chalkrack.Gone)
			}
		}
		if l.Whole {
			h.pool.Keep(listed)
			h.b.ServersListed(now, endpoints)
		} else {
			h.b.ServersChanged(now, endpoints)
		}
	})
}

// DiscoveryFailed takes a failed call or a watch that ended.
func (h *Host) DiscoveryFailed(err error) {
	slog.Warn("discovery failed", "err", err)
	h.locked(func(now time.Duration) { h.b.DiscoveryFailed(now) })
}

// Send implements chalkrack.Host.
func (h *Host) Send(id chalkrack.RequestID, server string, timeout time.Duration) {
	q := h.held[id]
	if q == nil {
		return
	}
	a := &attempt{host: h, q: q, n: len(q.attempts), sent: h.now()}
	a.Attempt = upstream.Attempt{Request: &q.x.Request, Server: server, Deadline: time.Now().Add(timeout), Sink: a}
	a.Once = q.class != nil && q.class.Effect == chalkrack.Unsafe
	if end := q.repeatBefore(); end > 0 {
		a.NotAfter = time.Now().Add(end - a.sent)
	}
	q.attempts = append(q.attempts, a)
	q.out++
	h.actions = append(h.actions, func() { h.pool.Start(&a.Attempt) })
}

// Cancel implements chalkrack.Host.
func (h *Host) Cancel(id chalkrack.RequestID, n int) {
	if q := h.held[id]; q != nil && n < len(q.attempts) {
		a := q.attempts[n]
		a.Abandon()
		h.actions = append(h.actions, func() {
			// Told before the connection is closed: its reader would take the end for
			// a reset, and the server would be blamed for what was called off here.
			a.Done(chalkrack.Cancelled, nil, chalkrack.Report{})
			a.Close()
		})
	}
}

// Refuse implements chalkrack.Host.
func (h *Host) Refuse(id chalkrack.RequestID, retryAfter time.Duration) {
	h.end(id, func(x *front.Exchange) { x.Refuse(retryAfter) })
}

// Fail implements chalkrack.Host.
func (h *Host) Fail(id chalkrack.RequestID) { h.end(id, (*front.Exchange).Fail) }

func (h *Host) end(id chalkrack.RequestID, answer func(*front.Exchange)) {
	q := h.held[id]
	if q == nil || q.over {
		return
	}
	q.over = true
	x := q.x
	h.actions = append(h.actions, func() { answer(x) })
	h.forget(q)
}

// SetTimer implements chalkrack.Host.
func (h *Host) SetTimer(cookie uint64, after time.Duration) {
	h.after(alarm{at: h.now() + max(after, 0), cookie: cookie})
}

// CloseIdle implements chalkrack.Host.
func (h *Host) CloseIdle(server string) {
	h.actions = append(h.actions, func() { h.pool.CloseIdle(server) })
}

// probeMost is how long a probe may take.
const probeMost = 500 * time.Millisecond

// probe is the Sink of a probe.
type probe struct {
	upstream.Attempt
	host *Host
}

var probeRequest = &upstream.Request{Method: "GET", Head: []byte("GET /_load HTTP/1.1\r\nHost: server\r\n")}

// Probe implements chalkrack.Host.
func (h *Host) Probe(server string) {
	p := &probe{host: h}
	p.Attempt = upstream.Attempt{Request: probeRequest, Server: server, Deadline: time.Now().Add(probeMost), Sink: p}
	h.actions = append(h.actions, func() {
		time.AfterFunc(probeMost, func() {
			p.Abandon()
			p.Close()
		})
		h.pool.Start(&p.Attempt)
	})
}

// Stream implements upstream.Sink: no report is that long.
func (p *probe) Stream(*upstream.Answer, chalkrack.Report) io.Writer { return nil }

// Done implements upstream.Sink.
func (p *probe) Done(o chalkrack.Outcome, ans *upstream.Answer, rep chalkrack.Report) {
	if o != chalkrack.OK || ans == nil {
		return
	}
	if !rep.HasInFlight && !rep.HasUtil {
		rep = upstream.ParseLoad(string(ans.Body))
	}
	p.host.locked(func(now time.Duration) { p.host.b.Probed(now, p.Server, rep) })
}

// Subscribe implements chalkrack.Host.
func (h *Host) Subscribe() {
	h.actions = append(h.actions, func() {
		go func() {
			defer recovered("discovery")
			h.DiscoveryFailed(h.watcher.Watch())
		}()
	})
}

// forget drops a request that needs nothing more. Its deadline still points to
// it, but not to its body.
func (h *Host) forget(q *request) {
	if q.over && q.out == 0 && q.x != nil {
		delete(h.held, q.id)
		h.actions = append(h.actions, q.x.Release)
		q.x, q.attempts = nil, nil
	}
}

// Stream implements upstream.Sink. To the Balancer a long answer is served when it
// begins: that is its time. Told at its end, the Balancer would take what a slow
// client needs to read it for lateness of the servers, and shed load.
func (a *attempt) Stream(ans *upstream.Answer, rep chalkrack.Report) (w io.Writer) {
	a.host.locked(func(now time.Duration) {
		q := a.q
		if q.over || a.done {
			return
		}
		a.done, q.over = true, true
		q.out--
		a.stream = q.x.Stream(ans)
		w = a.stream
		defer a.host.forget(q)
		a.host.b.Done(now, q.id, a.n, chalkrack.OK, true, rep)
	})
	return w
}

// Done implements upstream.Sink.
func (a *attempt) Done(o chalkrack.Outcome, ans *upstream.Answer, rep chalkrack.Report) {
	if a.stream != nil {
		if o != chalkrack.OK {
			slog.Info("long answer broken off", "server", a.Server, "by", outcomes[o])
		}
		a.stream.End(o == chalkrack.OK)
		return
	}
	a.host.locked(func(now time.Duration) { a.host.done(now, a, o, ans, rep) })
}

func (h *Host) done(now time.Duration, a *attempt, o chalkrack.Outcome, ans *upstream.Answer, rep chalkrack.Report) {
	if a.done {
		return
	}
	q := a.q
	a.done, a.neverRan = true, o.NeverRan()
	q.out--
	switch {
	case q.over:
	case o == chalkrack.OK && ans != nil:
		q.over = true
		x := q.x
		h.actions = append(h.actions, func() { x.Serve(ans) })
	case o == chalkrack.OK: // nothing to show for it
		o = chalkrack.Reset
	}
	if o != chalkrack.OK && o != chalkrack.Full && o != chalkrack.Cancelled {
		slog.Info("attempt ended: "+outcomes[o], "id", q.id, "class", q.x.Class, "attempt", a.n, "server", a.Server, "after", now-a.sent, "phase", a.Phase())
	}
	over := q.over
	h.b.Done(now, q.id, a.n, o, over, rep)
	h.forget(q)
}

// expire ends what a request still has out at its deadline.
func (h *Host) expire(now time.Duration, q *request) {
	if h.held[q.id] == nil {
		return
	}
	for _, a := range q.attempts {
		if a.done {
			continue
		}
		o := chalkrack.TimedOut
		if !a.Abandon() {
			o = chalkrack.ConnectFailed
		}
		h.actions = append(h.actions, a.Close)
		h.done(now, a, o, nil, chalkrack.Report{})
	}
	if !q.over {
		slog.Error("request unanswered at its deadline", "class", q.x.Class)
		h.b.ClientGone(now, q.id)
		h.end(q.id, (*front.Exchange).Fail)
	}
}

func recovered(at string) {
	if p := recover(); p != nil {
		slog.Error("panic", "at", at, "panic", p, "stack", string(debug.Stack()))
	}
}

type alarm struct {
	at     time.Duration
	cookie uint64
	q      *request
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*a = old[:len(old)-1]
	return x
}

func (h *Host) after(a alarm) { heap.Push(&h.alarms, a) }

// wind sets the one timer for the first alarm. Guards against an alarm that is set
// later and due earlier than the one wound: it would ring only with that one.
func (h *Host) wind() {
	if len(h.alarms) == 0 {
		return
	}
	if at := h.alarms[0].at; h.alarmAt == 0 || at < h.alarmAt {
		h.alarmAt = at
		h.alarm.Reset(max(at-h.now(), tick))
	}
}

// ring brings the Balancer the timers that are due, and ends what is overdue.
func (h *Host) ring() {
	defer recovered("a timer")
	h.locked(func(now time.Duration) {
		h.alarmAt = 0
		defer h.wind() // also if the Balancer panics: the next ones must ring
		for len(h.alarms) > 0 && h.alarms[0].at <= now {
			a := heap.Pop(&h.alarms).(alarm)
			if a.q != nil {
				h.expire(now, a.q)
			} else {
				h.b.Timer(now, a.cookie)
			}
		}
	})
}
