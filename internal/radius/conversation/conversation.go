// Package conversation remembers which server a State belongs to: the next request of
// an Access-Challenge goes to the server that gave the challenge (RFC 2865 section 5.24).
// It has no I/O and no clock. It holds Most entries, the oldest of which give way, each
// for Keep.
package conversation

import (
	"container/list"
	"net/netip"
	"time"
)

// Config bounds a Table. Both must be above 0.
type Config struct {
	Keep time.Duration
	Most int
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

// Table is what is remembered.
type Table struct {
	cfg   Config
	byKey map[key]*list.Element
	order *list.List // of *entry, the first to expire first
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, byKey: make(map[key]*list.Element), order: list.New()}
}

// Bind remembers that a server gave a client a State.
func (t *Table) Bind(now time.Duration, client netip.Addr, state []byte, server string) {
	k := key{client, string(state)}
	if e := t.byKey[k]; e != nil {
		t.order.Remove(e)
	}
	t.byKey[k] = t.order.PushBack(&entry{k, server, now + t.cfg.Keep})
	for e := t.order.Front(); e != nil && (t.order.Len() > t.cfg.Most || e.Value.(*entry).expires <= now); e = t.order.Front() {
		t.order.Remove(e)
		delete(t.byKey, e.Value.(*entry).key)
	}
}

// Server is the server that gave a client a State, empty if that is not known.
func (t *Table) Server(now time.Duration, client netip.Addr, state []byte) string {
	e := t.byKey[key{client, string(state)}]
	if e == nil || e.Value.(*entry).expires <= now {
		return ""
	}
	return e.Value.(*entry).server
}

// Len is how many are remembered.
func (t *Table) Len() int { return len(t.byKey) }
