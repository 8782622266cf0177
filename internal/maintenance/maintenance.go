// Package maintenance keeps the servers that operators have disabled and applies that to
// the list from discovery: a disabled server that is listed as serving counts as draining,
// and one that was enabled again counts as just started. It has no I/O, clock or
// goroutines; its caller serializes all calls.
package maintenance

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

// MaxServers bounds the servers that may be disabled at once, and the servers whose
// enabling is remembered.
const MaxServers = 4096

// Errors of Disable and Enable. Their texts are part of the answer to the operator.
var (
	ErrUnknownServer   = errors.New("no server of this id")
	ErrTooManyDisabled = errors.New("too many servers are out")
)

// State is the part of a Set that outlives its process.
type State struct {
	Disabled  []string                 `json:"out"`  // sorted
	EnabledAt map[string]time.Duration `json:"back"` // Unix time of the last Enable, by server id
}

// Set holds the disabled servers and the last list of all servers.
type Set struct {
	disabled  map[string]bool
	enabledAt map[string]time.Duration
	listed    map[string]membership.Entry
}

// New returns a Set without disabled servers.
func New() *Set {
	return &Set{disabled: make(map[string]bool), enabledAt: make(map[string]time.Duration), listed: make(map[string]membership.Entry)}
}

// ApplyList takes a list from discovery and returns a copy with the operators' changes
// applied.
func (s *Set) ApplyList(l *membership.List) *membership.List {
	if l.Complete {
		clear(s.listed)
	}
	overlaid := *l
	overlaid.Entries = make([]membership.Entry, len(l.Entries))
	for i, e := range l.Entries {
		if e.State == chalkrack.Gone {
			delete(s.listed, e.Name)
		} else {
			s.listed[e.Name] = e
		}
		overlaid.Entries[i] = s.overlay(e)
	}
	return &overlaid
}

// overlay returns an entry of the list with the operators' changes applied.
func (s *Set) overlay(e membership.Entry) membership.Entry {
	if s.disabled[e.Name] && e.State == chalkrack.Serving {
		e.State = chalkrack.Draining
	}
	e.Started = max(e.Started, s.enabledAt[e.Name])
	return e
}

// Disable disables a listed server. It returns the list of what changes, nil if nothing
// does.
func (s *Set) Disable(id string) (*membership.List, error) {
	switch _, listed := s.listed[id]; {
	case s.disabled[id]:
		return nil, nil
	case !listed:
		return nil, ErrUnknownServer
	case len(s.disabled) >= MaxServers:
		return nil, ErrTooManyDisabled
	}
	s.disabled[id] = true
	return s.changedList(id), nil
}

// Enable enables a server again; now is the time since 1970. A disabled server can be
// enabled even if it is not listed. Enable returns the list of what changes, nil if nothing
// does.
func (s *Set) Enable(id string, now time.Duration) (*membership.List, error) {
	if !s.disabled[id] {
		if _, listed := s.listed[id]; !listed {
			return nil, ErrUnknownServer
		}
		return nil, nil
	}
	delete(s.disabled, id)
	s.recordEnabled(id, now)
	return s.changedList(id), nil
}

// recordEnabled remembers when a server was enabled. Beyond MaxServers it forgets the
// server enabled longest ago, which is warm by then.
func (s *Set) recordEnabled(id string, at time.Duration) {
	s.enabledAt[id] = max(at, s.enabledAt[id])
	if len(s.enabledAt) <= MaxServers {
		return
	}
	oldest := id
	for other, at := range s.enabledAt {
		if at < s.enabledAt[oldest] {
			oldest = other
		}
	}
	delete(s.enabledAt, oldest)
}

// changedList returns a partial list of the given servers with the operators' changes
// applied, nil if none of them is listed.
func (s *Set) changedList(ids ...string) *membership.List {
	l := &membership.List{}
	for _, id := range ids {
		if e, ok := s.listed[id]; ok {
			l.Entries = append(l.Entries, s.overlay(e))
		}
	}
	if len(l.Entries) == 0 {
		return nil
	}
	return l
}

// State returns a copy of the operators' changes.
func (s *Set) State() State {
	return State{Disabled: slices.Sorted(maps.Keys(s.disabled)), EnabledAt: maps.Clone(s.enabledAt)}
}

// Adopt takes over the state of another process of the same sidecar: the disabled servers
// are replaced, the enabling times are merged. It returns the list of what changes, nil if
// nothing does.
func (s *Set) Adopt(st State) *membership.List {
	var changed []string
	disabled := make(map[string]bool, len(st.Disabled))
	for _, id := range st.Disabled[:min(len(st.Disabled), MaxServers)] {
		if disabled[id] = true; !s.disabled[id] {
			changed = append(changed, id)
		}
	}
	for id := range s.disabled {
		if !disabled[id] {
			changed = append(changed, id)
		}
	}
	s.disabled = disabled
	for id, at := range st.EnabledAt {
		if at > s.enabledAt[id] {
			s.recordEnabled(id, at)
			if !slices.Contains(changed, id) {
				changed = append(changed, id)
			}
		}
	}
	slices.Sort(changed)
	return s.changedList(changed...)
}

// List returns the entries of the whole list as discovery gave them, sorted by name.
func (s *Set) List() []membership.Entry {
	return slices.SortedFunc(maps.Values(s.listed), func(a, b membership.Entry) int { return cmp.Compare(a.Name, b.Name) })
}

// Discovered returns the number of servers on the list.
func (s *Set) Discovered() int { return len(s.listed) }

// IsDisabled reports whether operators have disabled a server.
func (s *Set) IsDisabled(id string) bool { return s.disabled[id] }

// DisabledCount returns the number of listed servers that are disabled.
func (s *Set) DisabledCount() (n int) {
	for id := range s.disabled {
		if _, ok := s.listed[id]; ok {
			n++
		}
	}
	return n
}
