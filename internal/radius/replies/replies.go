// Package replies distinguishes retransmissions of RADIUS clients from new calls, and remembers the
// answers of calls for them (RFC 5080 section 2.2.2). It has no I/O and no clock: callers pass in
// the time since a fixed start.
//
// A packet is a retransmission if its client address, code, identifier and authenticator are those
// of a remembered call; the client's port does not matter. A retransmitted accounting event has
// another authenticator if its Acct-Delay-Time has changed, and is recognized by the name of the
// event that the caller passes to Arrive.
//
// Entries are kept for a bounded time after the end of their call, and their bytes are bounded for
// each client and in total. At a client's bound, the entry of its call that ended first is evicted.
// At the total bound, this is done for the client that takes the most bytes. If no entry can be
// evicted, a new call is not accepted. So a flood from one client can neither grow the memory nor
// evict the answers of other clients.
package replies

import (
	"container/list"
	"net/netip"
	"time"
)

// Key identifies a call by the packet that began it. Retransmissions of the packet have the same
// Key.
type Key struct {
	Client        netip.Addr
	Code          byte
	ID            byte
	Authenticator [16]byte
}

// Config bounds a Table. All numbers must be above 0.
type Config struct {
	TTL               time.Duration // how long an entry is kept after the end of its call
	MaxBytes          int           // bound of all entries
	MaxBytesPerClient int           // bound of one client's entries, in bytes
	MaxCallsPerClient int           // bound of one client's calls under way
	// OnForget is called with the RetryState of a call whose entry is removed before the call was
	// retried. It may be nil. It must not call methods of the Table.
	OnForget func(retryState any)
}

// entryOverheadBytes is the memory that an entry takes besides its answer and its event name: the
// Call, its places in two maps and two lists, and its clientCalls if it is the client's only entry.
const entryOverheadBytes = 640

// Verdict says how a packet relates to the calls that a Table remembers.
type Verdict int

const (
	// New is a call to make. The caller must call End once it has ended.
	New Verdict = iota
	// Joined repeats a call that is under way.
	Joined
	// Answered repeats a call that was answered: Answer must be sent again.
	Answered
	// Retried repeats a call that ended without answer. The proxy gave that call up, so this is a
	// retry by the client, to be made as a new call. As for New, the Table has a new entry for it
	// and End must follow; the entry has the RetryState of the one before.
	Retried
	// Full is a new call or a retry for which there is no room, or which came after Drain. The
	// packet is dropped.
	Full
)

// Call is an entry of the Table. The caller may attach data of its own in State and RetryState.
type Call struct {
	State      any // removed when the call ends
	RetryState any // what a retry of the call has to know; kept after its end

	key           Key
	event         string // empty if the call has none
	client        *clientCalls
	answer        []byte // nil if the call ended without answer
	ended         bool
	removed       bool // no longer in the Table
	expiresAt     time.Duration
	clientElement *list.Element // in the client's list of ended calls, nil while under way
	tableElement  *list.Element // in the Table's list of ended calls, nil while under way
	size          int           // in bytes
}

// clientCalls holds the totals and the ended calls of one client.
type clientCalls struct {
	addr  netip.Addr
	size  int        // bytes of its entries
	ended *list.List // of *Call, in the order in which they ended
	calls int        // calls under way and ended
}

// Table remembers calls. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	byKey    map[Key]*Call
	byEvent  map[string]*Call
	clients  map[netip.Addr]*clientCalls
	ended    *list.List // of *Call, in the order in which they ended
	size     int        // bytes of all entries
	draining bool       // accepts no new calls
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, byKey: make(map[Key]*Call), byEvent: make(map[string]*Call), clients: make(map[netip.Addr]*clientCalls), ended: list.New()}
}

// Arrive returns how a packet with that key relates to the remembered calls, and its call: for
// Joined and Answered the one that it repeats, for New and Retried a new one, for Full nil. event
// names the accounting event that the packet reports, and is empty for others.
//
// A packet that reports a remembered event belongs to that event's call even if its key differs.
// The remembered answer does not fit it then, and the caller must make another one for the new
// identifier and authenticator: see HasKey.
func (t *Table) Arrive(now time.Duration, key Key, event string) (*Call, Verdict) {
	t.removeExpired(now)
	call := t.byKey[key]
	if call == nil && event != "" {
		call = t.byEvent[event]
	}
	verdict, retryState := New, any(nil)
	if call != nil {
		switch {
		case !call.ended:
			return call, Joined
		case call.answer != nil:
			return call, Answered
		}
		if t.draining {
			return nil, Full
		}
		verdict, retryState = Retried, call.RetryState
		call.RetryState = nil // it moves on to the new call, so remove must not report it
		t.remove(call)
	}
	size := entryOverheadBytes + len(event)
	client := t.clients[key.Client]
	if client == nil {
		client = &clientCalls{addr: key.Client, ended: list.New()}
	}
	if t.draining || client.calls-client.ended.Len() >= t.cfg.MaxCallsPerClient || !t.makeRoom(client, size) {
		if retryState != nil && t.cfg.OnForget != nil {
			t.cfg.OnForget(retryState)
		}
		return nil, Full
	}
	t.clients[key.Client] = client
	call = &Call{RetryState: retryState, key: key, event: event, client: client, size: size}
	t.byKey[key] = call
	if event != "" {
		t.byEvent[event] = call
	}
	client.calls++
	client.size += size
	t.size += size
	return call, verdict
}

// End records the end of a call and its encoded answer, nil if it was given up without one. A
// packet that repeats a call without answer is a retry by the client. A second End of a call does
// nothing.
func (t *Table) End(now time.Duration, call *Call, answer []byte) {
	if call.ended || call.removed {
		return
	}
	call.ended, call.expiresAt = true, now+t.cfg.TTL
	call.State = nil
	call.clientElement, call.tableElement = call.client.ended.PushBack(call), t.ended.PushBack(call)
	call.answer = answer
	call.size += len(answer)
	call.client.size += len(answer)
	t.size += len(answer)
	// The client gets the answer in any case. If its bytes do not fit, older entries are evicted and,
	// if that is not enough, this one.
	if !t.makeRoom(call.client, 0) {
		t.remove(call)
	}
}

// Drain makes Arrive return Full for new calls and retries from now on. A packet that repeats a
// call under way or an answered one gets Joined or Answered as before.
func (t *Table) Drain() { t.draining = true }

// Record describes a call that has ended, so that it can be handed over to another Table.
type Record struct {
	Key        Key
	Event      string
	Answer     []byte // nil if the call ended without answer
	RetryState any
	Remaining  time.Duration // until the entry expires
}

// Records returns the calls that have ended and whose entries have not expired, in the order in
// which they ended.
func (t *Table) Records(now time.Duration) (all []Record) {
	for e := t.ended.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Call); c.expiresAt > now {
			all = append(all, Record{c.key, c.event, c.answer, c.RetryState, c.expiresAt - now})
		}
	}
	return all
}

// Restore adds a call that another Table remembered, if the bounds of this one allow it. It ignores
// a record whose key or event is already known, one that has expired, and one whose Remaining is
// above the TTL of this Table.
func (t *Table) Restore(now time.Duration, record Record) {
	if record.Remaining <= 0 || record.Remaining > t.cfg.TTL || t.byKey[record.Key] != nil || record.Event != "" && t.byEvent[record.Event] != nil {
		return
	}
	call, verdict := t.Arrive(now, record.Key, record.Event)
	if verdict != New {
		return
	}
	call.RetryState = record.RetryState
	t.End(now-t.cfg.TTL+record.Remaining, call, record.Answer)
}

// Expire removes the entries that have expired, as each Arrive does.
func (t *Table) Expire(now time.Duration) { t.removeExpired(now) }

// HasKey reports whether the call began with a packet of that key. A packet with another key
// belongs to the call only if it reports the same event.
func (c *Call) HasKey(key Key) bool { return c.key == key }

// Answer returns the encoded answer of the call, nil if it has none.
func (c *Call) Answer() []byte { return c.answer }

// makeRoom evicts ended calls until size more bytes fit into the bounds of the client and of the
// Table. It returns false if that is not possible, perhaps after evicting some.
func (t *Table) makeRoom(client *clientCalls, size int) bool {
	for client.size+size > t.cfg.MaxBytesPerClient {
		first := client.ended.Front()
		if first == nil {
			return false
		}
		t.remove(first.Value.(*Call))
	}
	for t.size+size > t.cfg.MaxBytes {
		largest := client
		for _, other := range t.clients {
			if other.ended.Len() > 0 && (largest.ended.Len() == 0 || other.size > largest.size) {
				largest = other
			}
		}
		first := largest.ended.Front()
		if first == nil {
			return false
		}
		t.remove(first.Value.(*Call))
	}
	return true
}

// removeExpired removes the entries that have expired.
func (t *Table) removeExpired(now time.Duration) {
	for e := t.ended.Front(); e != nil && e.Value.(*Call).expiresAt <= now; e = t.ended.Front() {
		t.remove(e.Value.(*Call))
	}
}

// remove removes a call from the Table, and reports its RetryState if no retry has taken it over.
func (t *Table) remove(call *Call) {
	if call.removed {
		return
	}
	call.removed = true
	if call.RetryState != nil && t.cfg.OnForget != nil {
		t.cfg.OnForget(call.RetryState)
	}
	delete(t.byKey, call.key)
	if t.byEvent[call.event] == call {
		delete(t.byEvent, call.event)
	}
	if call.tableElement != nil {
		t.ended.Remove(call.tableElement)
		call.client.ended.Remove(call.clientElement)
	}
	call.client.size -= call.size
	t.size -= call.size
	if call.client.calls--; call.client.calls == 0 && t.clients[call.client.addr] == call.client {
		delete(t.clients, call.client.addr)
	}
}

// Size returns the estimated memory of all entries in bytes, which is what the bounds apply to.
func (t *Table) Size() int { return t.size }

// Len returns the number of calls in the Table, under way and ended.
func (t *Table) Len() int { return len(t.byKey) }
