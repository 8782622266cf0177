// Package conversation remembers which server sent a State attribute to a client. The client's
// response to an Access-Challenge must go to the server that sent the challenge (RFC 2865 section
// 5.24). The number of entries and their age are bounded; the oldest entries are evicted first.
// The package has no I/O and no clock: callers pass in the time since a fixed start.
package conversation

import (
	"container/list"
	"net/netip"
	"time"
)

// Config bounds a Table. Both values must be above 0.
type Config struct {
	TTL        time.Duration // how long an entry is kept
	MaxEntries int           // how many entries are kept at most
}

type key struct {
	client netip.Addr
	state  string
}

type entry struct {
	key     key
	server  string
	expires time.Duration
}

// Table maps a client and a State to the server that sent the State. It is not safe for concurrent
// use.
type Table struct {
	cfg      Config
	byKey    map[key]*list.Element
	byExpiry *list.List // of *entry, in the order in which they expire
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, byKey: make(map[key]*list.Element), byExpiry: list.New()}
}

// Bind records that the server sent the State to the client. It evicts expired entries and, above
// the bound, the oldest ones.
func (t *Table) Bind(now time.Duration, client netip.Addr, state []byte, server string) {
	k := key{client, string(state)}
	if e := t.byKey[k]; e != nil {
		t.byExpiry.Remove(e)
	}
	t.byKey[k] = t.byExpiry.PushBack(&entry{k, server, now + t.cfg.TTL})
	for e := t.byExpiry.Front(); e != nil && (t.byExpiry.Len() > t.cfg.MaxEntries || e.Value.(*entry).expires <= now); e = t.byExpiry.Front() {
		t.byExpiry.Remove(e)
		delete(t.byKey, e.Value.(*entry).key)
	}
}

// ServerFor returns the name of the server that sent the State to the client, empty if it is not
// known or the entry has expired.
func (t *Table) ServerFor(now time.Duration, client netip.Addr, state []byte) string {
	e := t.byKey[key{client, string(state)}]
	if e == nil || e.Value.(*entry).expires <= now {
		return ""
	}
	return e.Value.(*entry).server
}

// Len returns the number of entries, including expired ones that are not evicted yet.
func (t *Table) Len() int { return len(t.byKey) }
