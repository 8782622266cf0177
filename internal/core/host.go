package core

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"chalkrack"
	"chalkrack/internal/configtrial"
	"chalkrack/internal/generation"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
)

const (
	// deadlineMargin is how long before a client's deadline its call ends here.
	deadlineMargin = 5 * time.Millisecond
	// maxClientWait is the upper limit of the time that a client may ask to wait.
	maxClientWait = 10 * time.Minute
	// probeTimeout is the timeout of a probe.
	probeTimeout = 500 * time.Millisecond
)

// Host is the chalkrack.Host of one Balancer. One lock guards the Balancer and all state
// that belongs to it. The Balancer's commands are queued under the lock and executed after
// its release, by the goroutine that delivered the event.
type Host struct {
	transport Transport
	log       func() *slog.Logger
	traceLog  *slog.Logger             // nil: off
	observer  AttemptObserver          // nil: none
	ids       *IDClaims                // nil: IDs may come again
	addresses *membership.AddressTable // nil: servers may share an address; guarded by mu

	start     time.Time
	startUnix time.Duration // the Unix time at start

	generationView atomic.Pointer[generation.View] // of generations, for reading without the lock
	stampCount     atomic.Uint64                   // number of stamps issued during trials

	mu               sync.Mutex
	balancer         *chalkrack.Balancer
	generations      *generation.Machine
	held             map[chalkrack.RequestID]*callState
	lastID           chalkrack.RequestID
	marks            recentSet // of attempts of previous tiers, by ID and mark
	timers           timerHeap
	watchedAttempts  map[uint64]*attempt // outstanding attempts by the observer's ticket; nil: no observer
	timer            *time.Timer
	timerAt          time.Duration // when timer fires; 0: not set
	compactAt        int           // number of timers at which pointless ones are removed
	shedLines        lineLimit
	actions          *[]action     // nil: none
	shutdownDeadline time.Duration // 0: ShutDownWithin was not called
	// listedAt is the time of the last list or change received from discovery.
	listedAt      time.Duration
	ready         bool
	closed        bool
	attemptCounts AttemptCounts
}

// Config configures a Host.
type Config struct {
	Settings   *settings.Settings
	Generation *generation.Generation // the initial configuration; if set, Settings is ignored
	Seed       uint64
	Transport  Transport
	Log        *slog.Logger // nil: the default one
	// TraceLog logs the trace of each call that was not served within its aim; nil: off.
	TraceLog *slog.Logger
	// Observer observes each attempt; nil: none.
	Observer AttemptObserver
	// IDs prevents that a call which is not safe to repeat runs again when its ID comes again, here or at
	// another Host with the same IDClaims; nil: IDs may come again.
	IDs *IDClaims
	// OneServerPerAddress says that of several servers that are listed with one address, only the one
	// that came last is there.
	OneServerPerAddress bool
}

// noLimits is used where Call.Limits is nil.
var noLimits Limits

// callState is the state of a call that has no final answer yet or has outstanding attempts.
type callState struct {
	id          chalkrack.RequestID
	details     *Call
	deadline    time.Duration
	class       *chalkrack.Class // nil: unknown
	classIndex  int              // -1: unknown
	attempts    []*attempt
	outstanding int  // the number of attempts without an outcome
	ended       bool // it has its final answer, or its client has left
	bodyPending bool // its body is not complete
	claimsID    bool

	trace     *Trace        // nil: not traced
	arrivedAt time.Duration // when it arrived or, if later, when its body was complete
}

// repeatDeadline returns the time before which a keyed call may be repeated: one window after
// the first attempt that may have run. It returns 0 if no attempt may have run, and for
// calls of other effects.
func (call *callState) repeatDeadline() time.Duration {
	if call.class == nil || call.class.Effect != chalkrack.Keyed {
		return 0
	}
	for _, a := range call.attempts {
		if !a.neverRan {
			return a.sentAt + call.class.Window
		}
	}
	return 0
}

// New returns a Host with a new Balancer. The code that subscribes to the server list has to
// pass each list to ApplyList and report errors to DiscoveryFailed.
func New(cfg Config) (*Host, error) {
	start := time.Now()
	first := cfg.Generation
	if first == nil {
		first = &generation.Generation{Settings: cfg.Settings}
	}
	generations, err := generation.New(first)
	if err != nil {
		return nil, err
	}
	h := &Host{
		generations: generations,
		transport:   cfg.Transport,
		log:         slog.Default, // called for each line, since a program may set the default logger later
		start:       start,
		startUnix:   time.Duration(start.UnixNano()),
		held:        make(map[chalkrack.RequestID]*callState),
		traceLog:    cfg.TraceLog,
		observer:    cfg.Observer,
		marks:       recentSet{ttl: markTTL},
		ids:         cfg.IDs,
	}
	if cfg.Log != nil {
		h.log = func() *slog.Logger { return cfg.Log }
	}
	if h.observer != nil {
		h.watchedAttempts = make(map[uint64]*attempt)
	}
	if cfg.OneServerPerAddress {
		h.addresses = new(membership.AddressTable)
	}
	h.generationView.Store(generations.View())
	h.timer = time.AfterFunc(time.Hour, h.fireTimers)
	h.handleEvent(func(time.Duration) { h.balancer, err = chalkrack.New(*first.Rules(), cfg.Seed, h) })
	if err != nil {
		h.timer.Stop()
	}
	return h, err
}

// SetZonePolicy makes the Balancer ask policy whether zones have capacity for calls.
func (h *Host) SetZonePolicy(policy chalkrack.ZonePolicy) {
	h.handleEvent(func(time.Duration) { h.balancer.SetZonePolicy(policy) })
}

// Now returns the Balancer's time, as the time since the Unix epoch.
func (h *Host) Now() time.Duration { return h.now() }

// now returns the Balancer's time. After the start it follows the monotonic clock.
func (h *Host) now() time.Duration { return h.startUnix + time.Since(h.start) }

// handleEvent runs event with the lock held, then executes the actions that it queued without
// the lock.
func (h *Host) handleEvent(event func(now time.Duration)) {
	actions := h.runLocked(event)
	if actions == nil {
		return
	}
	for n := range *actions {
		(*actions)[n].execute(h)
	}
	clear(*actions)
	*actions = (*actions)[:0]
	actionLists.Put(actions)
}

// runLocked runs event with the lock held and returns the queued actions, nil if there are
// none. It releases the lock even if the Balancer panics, so that other calls continue.
func (h *Host) runLocked(event func(now time.Duration)) *[]action {
	h.mu.Lock()
	defer h.mu.Unlock()
	event(h.now())
	h.resetTimer()
	actions := h.actions
	h.actions = nil
	return actions
}

// Arrive accepts a call, which is ended exactly once, even if the Balancer panics on it.
func (h *Host) Arrive(c *Call) {
	defer func() {
		if p := recover(); p != nil {
			h.log().Error("panic", "at", "call arrival", "panic", p, "stack", string(debug.Stack()))
			if h.ClientGone(c) {
				c.Caller.Fail()
			}
		}
	}()
	if c.Generation.Gen == nil {
		c.Generation = h.Stamp()
	}
	claimsID := h.needsClaim(c)
	if claimsID && !h.ids.claim(h.now(), c.ID) {
		h.refuseRepeat(c)
		return
	}
	gen := c.Generation.Gen
	callSettings := gen.Settings
	h.handleEvent(func(now time.Duration) {
		classIndex := gen.Class(c.Class)
		if h.closed || callSettings.MaxHeld > 0 && len(h.held) >= callSettings.MaxHeld {
			h.log().Warn("call refused: call limit reached or closed", "held", len(h.held), "closed", h.closed)
			h.generations.RecordFailure(c.Generation, classIndex, configtrial.Refused)
			if claimsID {
				h.queueAction(action{kind: actForgetID, id: c.ID})
			}
			h.queueAction(action{kind: actRefuse, caller: c.Caller, retryAfter: callSettings.Config.MaxRetryAfter / 10, unsent: true})
			h.queueAction(action{kind: actRelease, caller: c.Caller})
			return
		}
		limits := c.Limits
		if limits == nil {
			limits = &noLimits
		}
		if limits.MaxAttempts == 1 && limits.Mark != "" && h.marks.add(now, c.ID, limits.Mark) {
			h.log().Warn("duplicate of a marked attempt: not attempted again", "class", c.Class)
			h.queueAction(action{kind: actFail, caller: c.Caller})
			h.queueAction(action{kind: actRelease, caller: c.Caller})
			return
		}
		wait := c.Timeout
		if wait == 0 {
			wait = callSettings.DeadlineOf(c.Class)
		}
		deadline := now - time.Since(c.Received) + limits.BodyTimeout + callTimeout(wait)
		if h.shutdownDeadline > 0 {
			deadline = min(deadline, h.shutdownDeadline)
		}
		h.lastID++
		call := &callState{id: h.lastID, details: c, deadline: deadline, classIndex: classIndex, arrivedAt: now, bodyPending: limits.BodyTimeout > 0, claimsID: claimsID}
		if classIndex >= 0 {
			call.class = &gen.Rules().Classes[classIndex]
		}
		c.state = call
		h.held[call.id] = call
		h.addTimer(timerEntry{at: h.expiryTime(now, call), call: call})
		h.traceArrival(now, call)
		h.balancer.Arrive(now, chalkrack.Request{
			ID:          call.id,
			Class:       classIndex,
			Tenant:      gen.Tenant(c.Tenant),
			Key:         c.Key,
			Deadline:    deadline,
			MaxAttempts: limits.maxAttempts(),
			Server:      limits.OnlyServer,
			BodyPending: call.bodyPending,
			Config:      gen.Rules(),
		})
	})
}

// callTimeout returns the time that a call may take whose caller waits for the given time. The
// margin is at most a tenth of the wait, so that a short wait is not used up by it.
func callTimeout(wait time.Duration) time.Duration {
	return min(wait, maxClientWait) - min(deadlineMargin, wait/10)
}

// maxAttempts returns the maximum number of attempts, 0 if it is not limited. It is one while
// the body is still arriving, since the body is not stored.
func (l *Limits) maxAttempts() int {
	if l.BodyTimeout > 0 {
		return 1
	}
	return l.MaxAttempts
}

// ClientGone reports that a call's caller has left, and returns whether that ended the call. If
// not, the Caller has received or will receive an answer nevertheless. The result is valid
// even if the Balancer panics, since the caller's side uses Host.ClientGone to end a call that
// a panic has left open.
func (h *Host) ClientGone(c *Call) (taken bool) {
	defer h.logPanic("departed caller")
	h.handleEvent(func(now time.Duration) {
		call := c.state
		if call == nil || call.ended { // for a streamed answer, writing to the client will fail
			return
		}
		call.ended, taken = true, true
		h.cancelUnsent(call)
		h.recordEnd(now, call, "left")
		h.log().Info("client left", "id", call.id, "request", call.logID(), "class", c.Class, "after", time.Since(c.Received), "attempts", len(call.attempts), "wait", c.Timeout)
		defer h.removeIfDone(call)
		h.balancer.ClientGone(now, call.id)
	})
	return taken
}

// Ready reports whether calls may be sent here.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// SetReady sets whether calls may be sent here.
func (h *Host) SetReady(ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

// ClearBudgets sets the budgets of retries and copies to zero. Later calls add to them
// again.
func (h *Host) ClearBudgets() { h.handleEvent(func(time.Duration) { h.balancer.ClearBudgets() }) }

// ShutDownWithin limits the deadline of all current and future calls to the given time from
// now, so that every call is answered by then.
func (h *Host) ShutDownWithin(in time.Duration) {
	h.handleEvent(func(now time.Duration) {
		h.shutdownDeadline = now + in
		for _, call := range h.held {
			if call.deadline > h.shutdownDeadline {
				h.addTimer(timerEntry{at: h.shutdownDeadline, call: call})
			}
		}
	})
}

// Ejected returns the number of listed servers that the Balancer has ejected.
func (h *Host) Ejected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancer.EjectedCount(h.now())
}

// LearnedState returns the state that the Balancer has learned, to be handed over to another
// process of the same sidecar.
func (h *Host) LearnedState() chalkrack.LearnedState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancer.LearnedState(h.now())
}

// RestoreState takes over the state that another process of the same sidecar has learned, for
// servers that are listed and have not restarted since.
func (h *Host) RestoreState(state chalkrack.LearnedState) {
	h.handleEvent(func(now time.Duration) { h.balancer.RestoreState(now, state) })
}

// Close fails all calls that are still held and stops the timer. Calls that arrive later
// are refused.
func (h *Host) Close() {
	h.handleEvent(func(now time.Duration) {
		h.closed = true
		for _, call := range h.held {
			h.balancer.ClientGone(now, call.id) // first, as otherwise the Balancer would make another attempt
			h.endCall(call, action{kind: actFail})
			h.expireCall(now, call)
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer.Stop()
}

// Held returns the number of calls that have no final answer yet or have outstanding
// attempts.
func (h *Host) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}

// ApplyList applies a list of servers, or of changes, from discovery.
func (h *Host) ApplyList(list *membership.List) {
	h.handleEvent(func(now time.Duration) {
		if h.addresses != nil {
			list = h.addresses.Resolve(list)
		}
		endpoints := make([]chalkrack.Endpoint, len(list.Entries))
		h.listedAt = now
		listed := make(map[string]bool, len(list.Entries))
		for n, e := range list.Entries {
			endpoints[n] = e.Endpoint
			listed[e.Name] = true
			if e.State == chalkrack.Serving {
				h.transport.AddServer(e.Name, e.Address, e.Started)
			} else {
				h.transport.RetireServer(e.Name, e.Address, e.Started, e.State == chalkrack.Gone)
			}
		}
		if list.Complete {
			h.transport.RetainServers(listed)
			h.balancer.ServersListed(now, endpoints)
		} else {
			h.balancer.ServersChanged(now, endpoints)
		}
	})
}

// DiscoveryFailed reports a discovery call that failed or a subscription that ended.
func (h *Host) DiscoveryFailed(err error) {
	h.log().Warn("discovery failed", "err", err)
	h.handleEvent(func(now time.Duration) { h.balancer.DiscoveryFailed(now) })
}

// Refuse implements chalkrack.Host.
func (h *Host) Refuse(id chalkrack.RequestID, retryAfter time.Duration) {
	if call := h.held[id]; call != nil {
		h.endCall(call, action{kind: actRefuse, retryAfter: retryAfter, unsent: call.unsent()})
	}
}

// Fail implements chalkrack.Host.
func (h *Host) Fail(id chalkrack.RequestID) {
	if call := h.held[id]; call != nil {
		h.endCall(call, action{kind: actFail})
	}
}

// unsent reports whether no attempt can have run.
func (call *callState) unsent() bool {
	for _, a := range call.attempts {
		if !a.neverRan {
			return false
		}
	}
	return true
}

// endCall ends a call with the given action, unless it has ended already. It is called with the
// lock held.
func (h *Host) endCall(call *callState, final action) {
	if call.ended {
		return
	}
	call.ended = true
	h.cancelUnsent(call)
	if final.kind == actRefuse {
		h.recordEnd(h.now(), call, "refused")
	} else {
		h.recordEnd(h.now(), call, "failed")
	}
	h.logEnd(h.now(), call, final.kind)
	if call.outstanding == 0 {
		h.forgetUnsentID(call) // before the answer: its client may send the ID again then
	}
	final.caller = call.details.Caller
	h.queueAction(final)
	h.removeIfDone(call)
}

// SetTimer implements chalkrack.Host.
func (h *Host) SetTimer(cookie uint64, after time.Duration) {
	h.addTimer(timerEntry{at: h.now() + max(after, 0), cookie: cookie})
}

// CloseIdle implements chalkrack.Host.
func (h *Host) CloseIdle(server string) { h.queueAction(action{kind: actCloseIdle, server: server}) }

// Probe implements chalkrack.Host.
func (h *Host) Probe(server string) { h.queueAction(action{kind: actProbe, server: server}) }

// Subscribe implements chalkrack.Host. It does nothing: the code that follows the server list
// keeps the subscription open and alone decides on the delay between two calls, so that
// the rate of calls to discovery is bounded in one place.
func (h *Host) Subscribe() {}

// removeIfDone removes a call that has ended and has no outstanding attempts. Its deadline's timer
// still refers to the call, but no longer to its payload.
func (h *Host) removeIfDone(call *callState) {
	if call.ended && call.outstanding == 0 && call.details != nil {
		delete(h.held, call.id)
		h.forgetUnsentID(call)
		h.queueTrace(call)
		h.queueAction(action{kind: actRelease, caller: call.details.Caller})
		call.details, call.attempts = nil, nil
	}
}

// logPanic logs a panic of the calling function, which must defer it. at names the event
// that was handled.
func (h *Host) logPanic(at string) {
	if p := recover(); p != nil {
		h.log().Error("panic", "at", at, "panic", p, "stack", string(debug.Stack()))
	}
}
