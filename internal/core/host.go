package core

import (
	"io"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"chalkrack"
	"chalkrack/internal/bake"
	"chalkrack/internal/generation"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
)

const (
	deadlineMargin = 5 * time.Millisecond
	// longestWait bounds what a client may ask to wait.
	longestWait = 10 * time.Minute
	// probeMost is how long a probe may take.
	probeMost = 500 * time.Millisecond
)

// Host is the chalkrack.Host of one Balancer. One lock guards the Balancer and all
// that belongs to it. The Balancer's wishes are written down under the lock and
// carried out after it is freed, by whoever brought the event.
type Host struct {
	transport Transport
	directory Directory
	log       func() *slog.Logger
	story     *slog.Logger // nil: off
	watch     Watch        // nil: nobody

	start time.Time
	unix  time.Duration // at start

	view   atomic.Pointer[generation.View] // of gens, to be read without the lock
	stamps atomic.Uint64                   // given out in trials

	mu      sync.Mutex
	b       *chalkrack.Balancer
	gens    *generation.Machine
	held    map[chalkrack.RequestID]*call
	last    chalkrack.RequestID
	marks   marks
	alarms  alarms
	watched map[uint64]*attempt // that are out, by the watch's tickets; nil: no watch
	coming  *call               // the one whose arrival is being decided on
	alarm   *time.Timer
	alarmAt time.Duration
	actions *[]action // nil: none
	quitAt  time.Duration
	// listedAt is when discovery last said anything.
	listedAt time.Duration
	ready    bool
	closed   bool
	tally    Tally
}

// Config is what a Host is told.
type Config struct {
	Settings  *settings.Settings
	First     *generation.Generation // in place of Settings
	Seed      uint64
	Transport Transport
	Directory Directory    // nil where the list comes unasked
	Log       *slog.Logger // nil: the default one
	// Story is told of each call that was not served within its aim; nil: nobody is.
	Story *slog.Logger
	// Watch is told of each attempt; nil: nobody is.
	Watch Watch
}

var noLimits Limits

// call is one that is owed an answer or attempts' ends.
type call struct {
	id       chalkrack.RequestID
	c        *Call
	deadline time.Duration
	class    *chalkrack.Class // nil: unknown
	at       int              // the class's place; -1: unknown
	attempts []*attempt
	out      int
	over     bool
	coming   bool // its body is not whole

	story *Story        // nil: not told
	came  time.Duration // or when it was whole
}

// repeatBefore is when it is too late to repeat a keyed request: a window after the
// first send that may have run; 0 if none has, or for other requests.
func (q *call) repeatBefore() time.Duration {
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
	send Attempt // the transport's
	host *Host
	q    *call
	n    int
	to   string
	sent time.Duration
	done bool

	ticket   uint64 // of the watch
	neverRan bool
	stream   Stream
}

// outcomes are the words of the log.
var outcomes = [...]string{"ok", "server error", "full", "timed out", "connect failed", "reset", "cancelled", "not sent"}

// New returns a Host of a new Balancer. Its Listed and DiscoveryFailed take what the
// directory says.
func New(cfg Config) (*Host, error) {
	start := time.Now()
	first := cfg.First
	if first == nil {
		first = &generation.Generation{Settings: cfg.Settings}
	}
	gens, err := generation.New(first)
	if err != nil {
		return nil, err
	}
	h := &Host{
		gens:      gens,
		transport: cfg.Transport,
		directory: cfg.Directory,
		log:       slog.Default, // each time anew: a program may set it late
		start:     start,
		unix:      time.Duration(start.UnixNano()),
		held:      make(map[chalkrack.RequestID]*call),
		story:     cfg.Story,
		watch:     cfg.Watch,
	}
	if cfg.Log != nil {
		h.log = func() *slog.Logger { return cfg.Log }
	}
	if h.watch != nil {
		h.watched = make(map[uint64]*attempt)
	}
	h.view.Store(gens.View())
	h.alarm = time.AfterFunc(time.Hour, h.ring)
	h.locked(func(time.Duration) { h.b, err = chalkrack.New(*first.Rules(), cfg.Seed, h) })
	if err != nil {
		h.alarm.Stop()
	}
	return h, err
}

// SetZones has the Balancer ask z whether zones have room for calls.
func (h *Host) SetZones(z chalkrack.Zones) {
	h.locked(func(time.Duration) { h.b.SetZones(z) })
}

// Now is the time that the Balancer goes by.
func (h *Host) Now() time.Duration { return h.now() }

func (h *Host) now() time.Duration { return h.unix + time.Since(h.start) }

// locked brings an event to the Balancer and then does what it asked for.
func (h *Host) locked(event func(now time.Duration)) {
	acts := h.decide(event)
	if acts == nil {
		return
	}
	for n := range *acts {
		(*acts)[n].do(h)
	}
	clear(*acts)
	*acts = (*acts)[:0]
	actionLists.Put(acts)
}

// decide frees the lock also if the Balancer panics: others' calls go on.
func (h *Host) decide(event func(now time.Duration)) *[]action {
	h.mu.Lock()
	defer h.mu.Unlock()
	event(h.now())
	h.wind()
	acts := h.actions
	h.actions = nil
	return acts
}

// Arrive takes a call, which it ends once, also where the Balancer panics on it.
func (h *Host) Arrive(c *Call) {
	defer func() {
		if p := recover(); p != nil {
			h.log().Error("panic", "at", "a call that arrives", "panic", p, "stack", string(debug.Stack()))
			if h.Gone(c) {
				c.Caller.Fail()
			}
		}
	}()
	if c.Under.Gen == nil {
		c.Under = h.Stamp()
	}
	gen := c.Under.Gen
	set := gen.Settings
	h.locked(func(now time.Duration) {
		class := gen.Class(c.Class)
		if h.closed || set.MostHeld > 0 && len(h.held) >= set.MostHeld {
			h.log().Warn("call refused", "held", len(h.held), "closed", h.closed)
			h.gens.Bad(c.Under, class, bake.Refused)
			h.act(action{kind: actRefuse, caller: c.Caller, after: set.Config.MaxRetryAfter / 10, unsent: true})
			h.act(action{kind: actRelease, caller: c.Caller})
			return
		}
		limits := c.Limits
		if limits == nil {
			limits = &noLimits
		}
		if limits.Attempts == 1 && limits.Mark != "" && h.marks.again(c.ID, limits.Mark, now) {
			h.log().Warn("marked call came twice: not attempted again", "class", c.Class)
			h.act(action{kind: actFail, caller: c.Caller})
			h.act(action{kind: actRelease, caller: c.Caller})
			return
		}
		wait := c.Wait
		if wait == 0 {
			wait = set.DeadlineOf(c.Class)
		}
		deadline := now - time.Since(c.Received) + limits.Coming + within(wait)
		if h.quitAt > 0 {
			deadline = min(deadline, h.quitAt)
		}
		h.last++
		q := &call{id: h.last, c: c, deadline: deadline, at: class, came: now, coming: limits.Coming > 0}
		if class >= 0 {
			q.class = &gen.Rules().Classes[class]
		}
		c.state = q
		h.held[q.id] = q
		h.after(alarm{at: deadline, q: q})
		h.begins(now, q)
		h.coming = q
		defer func() { h.coming = nil }()
		h.b.Arrive(now, chalkrack.Request{
			ID:       q.id,
			Class:    class,
			Tenant:   gen.Tenant(c.Tenant),
			Key:      c.Key,
			Deadline: deadline,
			Attempts: limits.attempts(),
			Only:     limits.Only,
			Coming:   q.coming,
			Under:    gen.Rules(),
		})
	})
}

// within is how long a call may take whose caller waits for so long.
func within(wait time.Duration) time.Duration {
	return min(wait, longestWait) - min(deadlineMargin, wait/10)
}

// attempts is the most of a call's attempts: one of a body that nobody keeps.
func (l *Limits) attempts() int {
	if l.Coming > 0 {
		return 1
	}
	return l.Attempts
}

// Whole says that the last byte of a call with Limits.Coming has come.
func (h *Host) Whole(c *Call) {
	defer h.recovered("a body that is whole")
	h.locked(func(now time.Duration) {
		q := c.state
		if q == nil || q.over || !q.coming {
			return
		}
		wait := c.Wait
		if wait == 0 {
			wait = c.Under.Gen.Settings.DeadlineOf(c.Class)
		}
		q.coming, q.came = false, now
		q.deadline = min(q.deadline, now+within(wait))
		h.after(alarm{at: q.deadline, q: q})
		h.b.Whole(now, q.id, q.deadline)
	})
}

// Gone says that a call's caller has left. False says that its answer is under way
// or given, so that the caller hears of it all the same. It holds also where the
// Balancer panics: the caller's side comes here to end a call that a panic has left
// open.
func (h *Host) Gone(c *Call) (taken bool) {
	defer h.recovered("a caller that left")
	h.locked(func(now time.Duration) {
		q := c.state
		if q == nil || q.over { // of a long answer the writes will notice
			return
		}
		q.over, taken = true, true
		h.ends(now, q, "left")
		h.log().Info("client left", "id", q.id, "class", c.Class, "after", time.Since(c.Received), "attempts", len(q.attempts), "wait", c.Wait)
		defer h.forget(q)
		h.b.ClientGone(now, q.id)
	})
	return taken
}

// Ready says whether calls may come.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// SetReady says whether calls may come.
func (h *Host) SetReady(ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

// EmptyBudgets takes the budgets of retries and copies away. They are earned anew by
// the calls that come.
func (h *Host) EmptyBudgets() { h.locked(func(time.Duration) { h.b.EmptyBudgets() }) }

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

// Ejected is the number of listed servers that get no calls by choice.
func (h *Host) Ejected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.b.Ejected(h.now())
}

// Memory is what the Balancer has learnt, for another process of the same sidecar.
func (h *Host) Memory() chalkrack.Memory {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.b.Memory(h.now())
}

// Remember goes on from what another process has learnt of the servers that are listed.
func (h *Host) Remember(m chalkrack.Memory) {
	h.locked(func(now time.Duration) { h.b.Remember(now, m) })
}

// Close ends all that is still held, as failed, and the timer. Calls that arrive later
// are refused.
func (h *Host) Close() {
	h.locked(func(now time.Duration) {
		h.closed = true
		for _, q := range h.held {
			h.b.ClientGone(now, q.id) // first: else it would be attempted once more
			h.end(q, action{kind: actFail})
			h.expire(now, q)
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.alarm.Stop()
}

// Held is the number of calls held.
func (h *Host) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}

// Listed takes what is said of the servers.
func (h *Host) Listed(l *membership.List) {
	endpoints := make([]chalkrack.Endpoint, len(l.Entries))
	h.locked(func(now time.Duration) {
		h.listedAt = now
		listed := make(map[string]bool, len(l.Entries))
		for n, e := range l.Entries {
			endpoints[n] = e.Endpoint
			listed[e.Name] = true
			if e.State == chalkrack.Serving {
				h.transport.Serve(e.Name, e.Address, e.Started)
			} else {
				h.transport.Leave(e.Name, e.State == chalkrack.Gone)
			}
		}
		if l.Whole {
			h.transport.Keep(listed)
			h.b.ServersListed(now, endpoints)
		} else {
			h.b.ServersChanged(now, endpoints)
		}
	})
}

// DiscoveryFailed takes a failed call or a watch that ended.
func (h *Host) DiscoveryFailed(err error) {
	h.log().Warn("discovery failed", "err", err)
	h.locked(func(now time.Duration) { h.b.DiscoveryFailed(now) })
}

// Send implements chalkrack.Host.
func (h *Host) Send(id chalkrack.RequestID, server string, timeout time.Duration) {
	q := h.held[id]
	if q == nil {
		return
	}
	now := time.Now()
	a := &attempt{host: h, q: q, n: len(q.attempts), to: server, sent: h.unix + now.Sub(h.start)}
	o := Order{
		Payload:  q.c.Payload,
		Server:   server,
		N:        a.n,
		Deadline: now.Add(timeout),
		Once:     q.class != nil && q.class.Effect == chalkrack.Unsafe,
		Pass:     q.c.Under.Gen.PassClientErrors,
		Later:    q != h.coming,
		Sink:     a,
	}
	if l := q.c.Limits; l != nil {
		o.NotAfter = l.NotAfter
		o.Deadline = o.Deadline.Add(-l.Coming) // servers' time begins with the last byte too
	}
	if end := q.repeatBefore(); end > 0 {
		if at := now.Add(end - a.sent); o.NotAfter.IsZero() || at.Before(o.NotAfter) {
			o.NotAfter = at
		}
	}
	a.send = h.transport.Attempt(o)
	if h.watch != nil {
		a.ticket = h.watch.Sent(a.sent, server)
		h.watched[a.ticket] = a
	}
	q.attempts = append(q.attempts, a)
	q.out++
	h.sends(a.sent, q, a)
	h.act(action{kind: actStart, a: a})
}

// Cancel implements chalkrack.Host.
func (h *Host) Cancel(id chalkrack.RequestID, n int) {
	if q := h.held[id]; q != nil && n < len(q.attempts) {
		a := q.attempts[n]
		a.send.Abandon()
		h.act(action{kind: actCancel, a: a})
	}
}

// Refuse implements chalkrack.Host.
func (h *Host) Refuse(id chalkrack.RequestID, retryAfter time.Duration) {
	if q := h.held[id]; q != nil {
		h.end(q, action{kind: actRefuse, after: retryAfter, unsent: q.unsent()})
	}
}

// Fail implements chalkrack.Host.
func (h *Host) Fail(id chalkrack.RequestID) {
	if q := h.held[id]; q != nil {
		h.end(q, action{kind: actFail})
	}
}

// unsent says that no attempt can have run.
func (q *call) unsent() bool {
	for _, a := range q.attempts {
		if !a.neverRan {
			return false
		}
	}
	return true
}

func (h *Host) end(q *call, answer action) {
	if q.over {
		return
	}
	q.over = true
	if answer.kind == actRefuse {
		h.ends(h.now(), q, "refused")
	} else {
		h.ends(h.now(), q, "failed")
	}
	answer.caller = q.c.Caller
	h.act(answer)
	h.forget(q)
}

// SetTimer implements chalkrack.Host.
func (h *Host) SetTimer(cookie uint64, after time.Duration) {
	h.after(alarm{at: h.now() + max(after, 0), cookie: cookie})
}

// CloseIdle implements chalkrack.Host.
func (h *Host) CloseIdle(server string) { h.act(action{kind: actCloseIdle, server: server}) }

// Probe implements chalkrack.Host.
func (h *Host) Probe(server string) { h.act(action{kind: actProbe, server: server}) }

// Subscribe implements chalkrack.Host.
func (h *Host) Subscribe() {
	if h.directory != nil {
		h.act(action{kind: actSubscribe})
	}
}

// forget drops a call that needs nothing more. Its deadline still points to it, but
// not to its body.
func (h *Host) forget(q *call) {
	if q.over && q.out == 0 && q.c != nil {
		delete(h.held, q.id)
		h.tell(q)
		h.act(action{kind: actRelease, caller: q.c.Caller})
		q.c, q.attempts = nil, nil
	}
}

// Stream implements Sink. To the Balancer a long answer is served when it begins:
// that is its time. Told at its end, the Balancer would take what a slow client needs
// to read it for lateness of the servers, and shed load.
func (a *attempt) Stream(answer any, rep chalkrack.Report) (w io.Writer) {
	a.host.locked(func(now time.Duration) {
		q := a.q
		if q.over || a.done {
			return
		}
		a.done, q.over = true, true
		q.out--
		a.host.ends(now, q, "served")
		a.host.attemptEnded(now, a, chalkrack.OK)
		a.stream = q.c.Caller.Stream(answer, a.abort)
		w = a.stream
		defer a.host.forget(q)
		a.host.b.Done(now, q.id, a.n, chalkrack.OK, true, rep)
	})
	return w
}

// abort breaks a long answer off.
func (a *attempt) abort() {
	a.send.Abandon()
	a.send.Close()
}

// Done implements Sink.
func (a *attempt) Done(o chalkrack.Outcome, answer any, rep chalkrack.Report) {
	if a.stream != nil {
		if o != chalkrack.OK {
			a.host.log().Info("long answer broken off", "server", a.to, "by", outcomes[o])
		}
		a.stream.End(o == chalkrack.OK)
		return
	}
	a.host.locked(func(now time.Duration) { a.host.done(now, a, o, answer, rep) })
}

func (h *Host) done(now time.Duration, a *attempt, o chalkrack.Outcome, answer any, rep chalkrack.Report) {
	if a.done {
		return
	}
	q := a.q
	a.done, a.neverRan = true, o.NeverRan()
	q.out--
	h.attemptEnded(now, a, o)
	switch {
	case q.over:
	case o == chalkrack.OK && answer != nil:
		q.over = true
		h.ends(now, q, "served")
		h.act(action{kind: actServe, caller: q.c.Caller, answer: answer})
	case o == chalkrack.OK: // nothing to show for it
		o = chalkrack.Reset
	}
	if o != chalkrack.OK && o != chalkrack.Full && o != chalkrack.Cancelled {
		h.log().Info("attempt ended: "+outcomes[o], "id", q.id, "class", q.c.Class, "attempt", a.n, "server", a.to, "after", now-a.sent, "phase", a.send.Phase())
	}
	over := q.over
	h.b.Done(now, q.id, a.n, o, over, rep)
	h.forget(q)
}

// GiveUp stops waiting for attempts, by the watch's tickets, so that others can be made for
// their calls. What must not run twice goes on: no other can be made, and this one may
// still be answered.
func (h *Host) GiveUp(tickets []uint64) {
	if len(tickets) == 0 {
		return
	}
	h.locked(func(now time.Duration) {
		for _, t := range tickets {
			a := h.watched[t]
			if a == nil || a.done || a.q.over || a.q.coming || a.q.class == nil || a.q.class.Effect == chalkrack.Unsafe {
				continue
			}
			o := chalkrack.TimedOut
			if !a.send.Abandon() {
				o = chalkrack.ConnectFailed
			}
			h.act(action{kind: actCloseAttempt, a: a})
			h.done(now, a, o, nil, chalkrack.Report{})
		}
	})
}

// expire ends what a call still has out at its deadline.
func (h *Host) expire(now time.Duration, q *call) {
	if h.held[q.id] == nil {
		return
	}
	for _, a := range q.attempts {
		if a.done {
			continue
		}
		o := chalkrack.TimedOut
		if !a.send.Abandon() {
			o = chalkrack.ConnectFailed
			if q.coming { // that the client took so long is no fault of the server's
				o = chalkrack.NotSent
			}
		}
		h.act(action{kind: actCloseAttempt, a: a})
		h.done(now, a, o, nil, chalkrack.Report{})
	}
	if !q.over {
		h.log().Error("request unanswered at its deadline", "class", q.c.Class)
		h.b.ClientGone(now, q.id)
		h.end(q, action{kind: actFail})
	}
}

func (h *Host) recovered(at string) {
	if p := recover(); p != nil {
		h.log().Error("panic", "at", at, "panic", p, "stack", string(debug.Stack()))
	}
}
