// Package replies tells a RADIUS client's retransmissions from new calls, and remembers
// answers for them (RFC 5080 section 2.2.2). It has no I/O and no clock.
//
// A packet is one that came before if it has the client, the identifier and the
// authenticator of one that is remembered, whatever port it comes from. An accounting
// event that comes in a packet of its own, because Acct-Delay-Time has changed with it,
// is known by its event: see Key.
//
// What is remembered is bounded: each entry for Keep after its answer, and in bytes, in
// all and for each client. At a client's bound its own oldest answered entry gives way,
// at the bound of all that of the client that holds most; where none can, the call is
// not taken. So a flood from one client can neither grow the memory nor push out what
// is remembered for others beside it.
package replies

import (
	"container/list"
	"net/netip"
	"time"
)

// Key names a call.
type Key struct {
	Client        netip.Addr
	Code          byte
	ID            byte
	Authenticator [16]byte
}

// Config bounds a Table. All must be above 0.
type Config struct {
	Keep       time.Duration // after the answer
	Bytes      int           // of all entries
	EachClient int           // of one client's
	Open       int           // calls of one client under way at once
	// Forget is told of the Memo of a call that is forgotten and was not retried; nil:
	// nobody. It must not call back.
	Forget func(memo any)
}

// overhead is what an entry costs beside its answer and its event, in bytes: the two
// maps, the lists, itself and its client, if it is the only one of it.
const overhead = 640

// Verdict says what a packet is.
type Verdict int

const (
	// New is a call to make; End must follow once it has ended.
	New Verdict = iota
	// Joined repeats a call that is under way.
	Joined
	// Answered repeats one that has its answer: Answer is to be sent again.
	Answered
	// Ended repeats one that ended without answer. It was given up: what comes now is
	// the client's own retry, and is to be made as a new call: the Table has made
	// place for it, as for New, and it has the Memo of the one before.
	Ended
	// Full says that there is no room: the packet is dropped.
	Full
)

// Call is an entry of the Table. Its owner may hang what it needs on it.
type Call struct {
	State any // while it is under way
	Memo  any // what its retry must know; kept after its end too

	key      Key
	event    string // empty: none
	client   *client
	answer   []byte
	done     bool
	gone     bool // out of the Table
	expires  time.Duration
	inClient *list.Element // among the client's answered ones
	inAll    *list.Element
	size     int
}

type client struct {
	addr  netip.Addr
	size  int
	done  *list.List // of *Call, the first ended first
	calls int        // those that have ended included
}

// Table is what is remembered.
type Table struct {
	cfg     Config
	byKey   map[Key]*Call
	byEvent map[string]*Call
	clients map[netip.Addr]*client
	done    *list.List // of *Call, in the order of their ends
	size    int
	shut    bool // no new calls
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, byKey: make(map[Key]*Call), byEvent: make(map[string]*Call), clients: make(map[netip.Addr]*client), done: list.New()}
}

// Arrive takes a packet: its key, and its event, empty where it has none. For Joined
// and Answered the call is the one that it repeats.
//
// An event that is remembered under another key is the same call: its answer must be
// made anew for the packet that came, which has another identifier.
func (t *Table) Arrive(now time.Duration, key Key, event string) (*Call, Verdict) {
	t.expire(now)
	c := t.byKey[key]
	if c == nil && event != "" {
		c = t.byEvent[event]
	}
	verdict, memo := New, any(nil)
	if c != nil {
		switch {
		case !c.done:
			return c, Joined
		case c.answer != nil:
			return c, Answered
		}
		if t.shut {
			return nil, Full
		}
		verdict, memo = Ended, c.Memo
		c.Memo = nil // it goes on
		t.drop(c)
	}
	size := overhead + len(event)
	cl := t.clients[key.Client]
	if cl == nil {
		cl = &client{addr: key.Client, done: list.New()}
	}
	if t.shut || cl.calls-cl.done.Len() >= t.cfg.Open || !t.makeRoom(cl, size) {
		if memo != nil && t.cfg.Forget != nil {
			t.cfg.Forget(memo)
		}
		return nil, Full
	}
	t.clients[key.Client] = cl
	c = &Call{Memo: memo, key: key, event: event, client: cl, size: size}
	t.byKey[key] = c
	if event != "" {
		t.byEvent[event] = c
	}
	cl.calls++
	cl.size += size
	t.size += size
	return c, verdict
}

// End ends a call with its answer, nil for none: then the end is remembered, and what
// repeats it is the client's own retry.
func (t *Table) End(now time.Duration, c *Call, answer []byte) {
	if c.done || c.gone {
		return
	}
	c.done, c.expires = true, now+t.cfg.Keep
	c.State = nil
	c.inClient, c.inAll = c.client.done.PushBack(c), t.done.PushBack(c)
	c.answer = answer
	c.size += len(answer)
	c.client.size += len(answer)
	t.size += len(answer)
	// The answer has been given: if it does not fit, it is what is forgotten first.
	if !t.makeRoom(c.client, 0) {
		t.drop(c)
	}
}

// Shut takes no new call from now on: it is Full for them. What repeats a call is
// joined or answered as before.
func (t *Table) Shut() { t.shut = true }

// Record is what a Table tells of a call that has ended, for another that goes on in
// its place.
type Record struct {
	Key    Key
	Event  string
	Answer []byte // nil: none
	Memo   any
	Left   time.Duration // that it is still remembered for
}

// Records is what has ended and is remembered at now, the first ended first.
func (t *Table) Records(now time.Duration) (all []Record) {
	for e := t.done.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Call); c.expires > now {
			all = append(all, Record{c.key, c.event, c.answer, c.Memo, c.expires - now})
		}
	}
	return all
}

// Restore remembers what another Table did, within the bounds of this one. A record
// for a key or an event that is known is left out, as is one kept for longer than Keep.
func (t *Table) Restore(now time.Duration, r Record) {
	if r.Left <= 0 || r.Left > t.cfg.Keep || t.byKey[r.Key] != nil || r.Event != "" && t.byEvent[r.Event] != nil {
		return
	}
	c, verdict := t.Arrive(now, r.Key, r.Event)
	if verdict != New {
		return
	}
	c.Memo = r.Memo
	t.End(now-t.cfg.Keep+r.Left, c, r.Answer)
}

// Expire forgets what has been kept for long enough, as each Arrive does.
func (t *Table) Expire(now time.Duration) { t.expire(now) }

// Under says whether a call is known by that key; if not, its event brought it.
func (c *Call) Under(key Key) bool { return c.key == key }

// Answer is what answered a call.
func (c *Call) Answer() []byte { return c.answer }

// makeRoom forgets what is answered until so much more fits.
func (t *Table) makeRoom(cl *client, size int) bool {
	for cl.size+size > t.cfg.EachClient {
		first := cl.done.Front()
		if first == nil {
			return false
		}
		t.drop(first.Value.(*Call))
	}
	for t.size+size > t.cfg.Bytes {
		most := cl
		for _, o := range t.clients {
			if o.done.Len() > 0 && (most.done.Len() == 0 || o.size > most.size) {
				most = o
			}
		}
		first := most.done.Front()
		if first == nil {
			return false
		}
		t.drop(first.Value.(*Call))
	}
	return true
}

// expire forgets what has been kept for long enough.
func (t *Table) expire(now time.Duration) {
	for e := t.done.Front(); e != nil && e.Value.(*Call).expires <= now; e = t.done.Front() {
		t.drop(e.Value.(*Call))
	}
}

func (t *Table) drop(c *Call) {
	if c.gone {
		return
	}
	c.gone = true
	if c.Memo != nil && t.cfg.Forget != nil {
		t.cfg.Forget(c.Memo)
	}
	delete(t.byKey, c.key)
	if t.byEvent[c.event] == c {
		delete(t.byEvent, c.event)
	}
	if c.inAll != nil {
		t.done.Remove(c.inAll)
		c.client.done.Remove(c.inClient)
	}
	c.client.size -= c.size
	t.size -= c.size
	if c.client.calls--; c.client.calls == 0 && t.clients[c.client.addr] == c.client {
		delete(t.clients, c.client.addr)
	}
}

// Size is how many bytes the Table counts, Len how many calls it remembers.
func (t *Table) Size() int { return t.size }

// Len is how many calls the Table remembers, those under way included.
func (t *Table) Len() int { return len(t.byKey) }
