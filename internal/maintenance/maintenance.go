// Package maintenance holds the servers that operators have taken out by hand, and lays
// that over the list of servers: one that is out is draining, whatever the list says of
// it, and one that was called back has just started. It has no I/O, clock or goroutines;
// whoever hosts it calls it under one lock.
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

// Most bounds the servers that may be out at once, and those that are remembered as
// called back.
const Most = 4096

// Why a call is refused.
var (
	ErrUnknown = errors.New("no server of this id")
	ErrMany    = errors.New("too many servers are out")
)

// State is what operators have done: what outlives a process.
type State struct {
	Out  []string                 `json:"out"`  // sorted
	Back map[string]time.Duration `json:"back"` // Unix time of the call, by id
}

// Set is who is out and what was last heard of all servers.
type Set struct {
	out    map[string]bool
	back   map[string]time.Duration
	listed map[string]membership.Entry
}

// New returns a Set with nobody out.
func New() *Set {
	return &Set{out: make(map[string]bool), back: make(map[string]time.Duration), listed: make(map[string]membership.Entry)}
}

// Listed takes a list as it came, and returns it as it is used.
func (s *Set) Listed(l *membership.List) *membership.List {
	if l.Whole {
		clear(s.listed)
	}
	laid := *l
	laid.Entries = make([]membership.Entry, len(l.Entries))
	for n, e := range l.Entries {
		if e.State == chalkrack.Gone {
			delete(s.listed, e.Name)
		} else {
			s.listed[e.Name] = e
		}
		laid.Entries[n] = s.lay(e)
	}
	return &laid
}

// lay is an entry as it is used.
func (s *Set) lay(e membership.Entry) membership.Entry {
	if s.out[e.Name] && e.State == chalkrack.Serving {
		e.State = chalkrack.Draining
	}
	e.Started = max(e.Started, s.back[e.Name])
	return e
}

// Disable takes a server out. The list that it returns is what changes, nil for nothing.
func (s *Set) Disable(id string) (*membership.List, error) {
	switch _, listed := s.listed[id]; {
	case s.out[id]:
		return nil, nil
	case !listed:
		return nil, ErrUnknown
	case len(s.out) >= Most:
		return nil, ErrMany
	}
	s.out[id] = true
	return s.change(id), nil
}

// Enable calls a server back, at a time since 1970. One that is out can be called back
// also where the list does not name it.
func (s *Set) Enable(id string, now time.Duration) (*membership.List, error) {
	if !s.out[id] {
		if _, listed := s.listed[id]; !listed {
			return nil, ErrUnknown
		}
		return nil, nil
	}
	delete(s.out, id)
	s.came(id, now)
	return s.change(id), nil
}

// came remembers a return. Past Most the oldest is forgotten, which by then is warm.
func (s *Set) came(id string, at time.Duration) {
	s.back[id] = max(at, s.back[id])
	if len(s.back) <= Most {
		return
	}
	oldest := id
	for other, at := range s.back {
		if at < s.back[oldest] {
			oldest = other
		}
	}
	delete(s.back, oldest)
}

// change is the list that tells of servers, as they are used now; nil where none is
// listed.
func (s *Set) change(ids ...string) *membership.List {
	l := &membership.List{}
	for _, id := range ids {
		if e, ok := s.listed[id]; ok {
			l.Entries = append(l.Entries, s.lay(e))
		}
	}
	if len(l.Entries) == 0 {
		return nil
	}
	return l
}

// State is what has been done so far.
func (s *Set) State() State {
	return State{Out: slices.Sorted(maps.Keys(s.out)), Back: maps.Clone(s.back)}
}

// Adopt goes on from what another process of the same sidecar has done: who is out is as
// it says, and returns add up. The list is what changes, nil for nothing.
func (s *Set) Adopt(st State) *membership.List {
	var changed []string
	out := make(map[string]bool, len(st.Out))
	for _, id := range st.Out[:min(len(st.Out), Most)] {
		if out[id] = true; !s.out[id] {
			changed = append(changed, id)
		}
	}
	for id := range s.out {
		if !out[id] {
			changed = append(changed, id)
		}
	}
	s.out = out
	for id, at := range st.Back {
		if at > s.back[id] {
			s.came(id, at)
			if !slices.Contains(changed, id) {
				changed = append(changed, id)
			}
		}
	}
	slices.Sort(changed)
	return s.change(changed...)
}

// List is the whole list as it came, by name.
func (s *Set) List() []membership.Entry {
	return slices.SortedFunc(maps.Values(s.listed), func(a, b membership.Entry) int { return cmp.Compare(a.Name, b.Name) })
}

// Discovered is how many servers are on the list.
func (s *Set) Discovered() int { return len(s.listed) }

// Out says whether a listed server is out by hand.
func (s *Set) Out(id string) bool { return s.out[id] }

// OutListed is how many listed servers are out by hand.
func (s *Set) OutListed() (n int) {
	for id := range s.out {
		if _, ok := s.listed[id]; ok {
			n++
		}
	}
	return n
}
