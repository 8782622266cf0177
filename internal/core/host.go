package core

import (
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
	log       func() *slog.Logger
	trace     *slog.Logger // nil: off
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
	Log       *slog.Logger // nil: the default one
	// Trace is told of each call that was not served within its aim; nil: nobody is.
	Trace *slog.Logger
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

	trace *Trace        // nil: not told
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

// New returns a Host of a new Balancer. Its Listed and DiscoveryFailed take what whoever
// follows the list says.
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
		log:       slog.Default, // each time anew: a program may set it late
		start:     start,
		unix:      time.Duration(start.UnixNano()),
		held:      make(map[chalkrack.RequestID]*call),
		trace:     cfg.Trace,
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
		if h.closed || set.MaxHeld > 0 && len(h.held) >= set.MaxHeld {
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
		h.forgo(q)
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
	h.forgo(q)
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

// Subscribe implements chalkrack.Host. Whoever follows the list keeps the watch open and
// owns the waits between two calls: what is told is bounded there, in one place.
func (h *Host) Subscribe() {}

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

func (h *Host) recovered(at string) {
	if p := recover(); p != nil {
		h.log().Error("panic", "at", at, "panic", p, "stack", string(debug.Stack()))
	}
}
