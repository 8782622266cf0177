// Package membership defines the server list that a source (discovery, a fixed list or
// another one) passes to the core, and decides which lists of a source are used.
package membership

import (
	"fmt"
	"slices"

	"chalkrack"
)

// Entry is one server of a list, with the address at which this process reaches it.
type Entry struct {
	chalkrack.Endpoint
	Address string // host:port
}

// List is a complete list of servers, or a list of the servers that changed.
type List struct {
	Version  int64 // the version that the source assigned
	Complete bool  // the list is complete: servers that it does not name have been removed
	Entries  []Entry
}

// Servers holds the servers of one source by name, as its lists so far have them.
type Servers map[string]Entry

// Apply applies a list: a complete one replaces all servers, another one changes those that it names.
func (s Servers) Apply(l *List) {
	if l.Complete {
		clear(s)
	}
	for _, e := range l.Entries {
		if e.State == chalkrack.Gone {
			delete(s, e.Name)
		} else {
			s[e.Name] = e
		}
	}
}

// ListTracker follows the lists of one source. It decides which lists are used, and after which
// version the source is asked for changes. It belongs to the client of the source and must
// not be used concurrently.
type ListTracker struct {
	Version    int64 // the last version used; 0: the complete list must be requested
	HasServers bool  // the list in use names at least one server
}

// NewTracker returns the state of a client that already uses l.
func NewTracker(l *List) ListTracker {
	return ListTracker{Version: l.Version, HasServers: l.hasServers()}
}

// hasServers reports whether l names a server that has not been removed.
func (l *List) hasServers() bool {
	return slices.ContainsFunc(l.Entries, func(e Entry) bool { return e.State != chalkrack.Gone })
}

// Accept decides whether l is used and returns an error if it is not. In that case the previous
// list stays in use and the complete list must be requested, since further changes cannot be
// based on l. It rejects changes whose version went backwards, and a complete list without
// a server: a source that lost its state may send one, and using it would stop all service.
// The first list may be empty, as no server is lost by it.
func (t *ListTracker) Accept(l *List) error {
	previous := t.Version
	t.Version = 0
	switch {
	case !l.Complete && l.Version < previous:
		return fmt.Errorf("server list: changes of version %d after version %d, versions must not decrease", l.Version, previous)
	case l.Complete && t.HasServers && !l.hasServers():
		return fmt.Errorf("server list: complete list of version %d names no server, the previous one does", l.Version)
	}
	t.Version, t.HasServers = l.Version, t.HasServers || l.hasServers()
	return nil
}
