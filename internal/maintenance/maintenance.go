// Package maintenance keeps the servers that operators have disabled and applies that to
// the lists of all paths to servers: a disabled server that is listed as serving counts as
// draining, and one that was enabled again counts as just started. A server is known by its
// name, and by its address where another source has it under another name. The package has
// no I/O, clock or goroutines; its caller serializes all calls.
package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

// MaxServers bounds the servers that may be disabled at once, and the servers whose
// enabling is remembered.
const MaxServers = 4096

// MaxSources bounds the sources of which a server's addresses are taken over from another process.
const MaxSources = 1024

// Errors of Disable and Enable. Their texts are part of the answer to the operator.
var (
	ErrUnknownServer   = errors.New("no server of this id")
	ErrTooManyDisabled = errors.New("too many servers are out")
	ErrOutByOtherName  = errors.New("that name is a server elsewhere too, enable it by that name")
)

// State is the part of a Set that outlives its process.
type State struct {
	Disabled  []string                 `json:"out"`  // sorted
	EnabledAt map[string]time.Duration `json:"back"` // Unix time of the last Enable, by server id
	// Addresses has the last addresses of these servers, by server id and source.
	Addresses map[string]map[string]Address `json:"at,omitempty"`
}

// Address is the address of a server in a network.
type Address struct {
	Network string `json:"network"`
	Address string `json:"address"`
}

// Set holds the disabled servers and the last list of each source.
type Set struct {
	disabled   map[string]bool
	enabledAt  map[string]time.Duration
	sources    []*Source
	identities identities
}

// New returns a Set without sources or disabled servers.
func New() *Set {
	return &Set{disabled: make(map[string]bool), enabledAt: make(map[string]time.Duration), identities: newIdentities()}
}

// AddSource adds a source without servers. Its name must be unique, and the same in all processes of
// a sidecar; network distinguishes addresses of different kinds, such as tcp and udp.
func (s *Set) AddSource(name, network string) *Source {
	src := newSource(name, network)
	s.sources = append(s.sources, src)
	return src
}

// ApplyList takes a list of a source and returns a copy with the operators' changes applied. others
// has what changes beside it, because the list shows a disabled server at another address; it is to
// be applied after the list.
func (s *Set) ApplyList(src *Source, l *membership.List) (applied *membership.List, others []Update) {
	touched := make(endpointSet)
	if l.Complete {
		for at := range s.identities.servers {
			touched[at] = true
		}
		src.clear()
	}
	for _, e := range l.Entries {
		s.applyEntry(src, e, touched)
	}
	overlaid := *l
	overlaid.Entries = make([]membership.Entry, len(l.Entries))
	for i, e := range l.Entries {
		overlaid.Entries[i] = s.overlay(src, e)
		if e.State == chalkrack.Gone {
			delete(src.effective, e.Name)
		} else {
			src.effective[e.Name] = overlaid.Entries[i]
		}
	}
	return &overlaid, s.refresh(touched)
}

// applyEntry enters an entry of a source's list, and adds to touched where it may change other servers.
func (s *Set) applyEntry(src *Source, e membership.Entry, touched endpointSet) {
	if earlier, ok := src.listed[e.Name]; ok {
		touched.addKnown(&s.identities, src.endpointOf(earlier))
	}
	src.set(e)
	if s.identities.follows(e.Name) && e.State != chalkrack.Gone {
		touched.addServer(&s.identities, e.Name)
		s.identities.put(e.Name, src.name, src.endpointOf(e))
	}
	touched.addKnown(&s.identities, src.endpointOf(e))
}

// overlay returns an entry of a source's list with the operators' changes applied.
func (s *Set) overlay(src *Source, e membership.Entry) membership.Entry {
	for _, id := range append(s.othersAt(src, e), e.Name) {
		if s.disabled[id] && e.State == chalkrack.Serving {
			e.State = chalkrack.Draining
		}
		e.Started = max(e.Started, s.enabledAt[id])
	}
	return e
}

// refresh applies the operators' changes anew to the servers at endpoints and to those of the given
// names, and returns what has changed in each source.
func (s *Set) refresh(touched endpointSet, ids ...string) (updates []Update) {
	for _, src := range s.sources {
		names := make(map[string]bool)
		for _, id := range ids {
			names[id] = true
		}
		for at := range touched {
			if at.network == src.network {
				maps.Copy(names, src.atAddress[at.address])
			}
		}
		if l := src.refresh(names, s.overlay); l != nil {
			updates = append(updates, Update{src, l})
		}
	}
	return updates
}

// refresh applies overlay to the entries of the given names and returns those that it changes, nil if
// there are none.
func (src *Source) refresh(names map[string]bool, overlay func(*Source, membership.Entry) membership.Entry) *membership.List {
	l := &membership.List{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		listed, ok := src.listed[name]
		if !ok {
			continue
		}
		if e := overlay(src, listed); e != src.effective[name] {
			src.effective[name] = e
			l.Entries = append(l.Entries, e)
		}
	}
	if len(l.Entries) == 0 {
		return nil
	}
	return l
}

// isListed reports whether a source lists a server by its name.
func (s *Set) isListed(id string) bool {
	return slices.ContainsFunc(s.sources, func(src *Source) bool {
		_, ok := src.listed[id]
		return ok
	})
}

// Disable disables a server that a source lists. It returns what changes in the sources.
func (s *Set) Disable(id string) ([]Update, error) {
	switch {
	case s.disabled[id]:
		return nil, nil
	case !s.isListed(id):
		return nil, ErrUnknownServer
	case len(s.disabled) >= MaxServers:
		return nil, ErrTooManyDisabled
	}
	s.disabled[id] = true
	return s.follow(id), nil
}

// follow begins to follow the addresses of servers that operators have changed, and returns what
// changes in the sources.
func (s *Set) follow(ids ...string) []Update {
	touched := make(endpointSet)
	for _, id := range ids {
		s.identities.follow(id, s.sources)
		touched.addServer(&s.identities, id)
	}
	return s.refresh(touched, ids...)
}

// Enable enables a server again, under all names that it was disabled by; now is the time since
// 1970. A disabled server can be enabled even if it is not listed. Enable returns what changes in the
// sources. It returns an error and changes nothing if another name of the server that is disabled also
// stands for a server elsewhere.
func (s *Set) Enable(id string, now time.Duration) ([]Update, error) {
	if !s.disabled[id] && !s.isListed(id) {
		return nil, ErrUnknownServer
	}
	names := s.disabledNamesOf(id)
	for _, name := range names {
		if name != id && !s.isOnlyWhere(name, id) {
			return nil, fmt.Errorf("it is out as %q too: %w", name, ErrOutByOtherName)
		}
	}
	for _, name := range names {
		delete(s.disabled, name)
		s.recordEnabled(name, now)
	}
	return s.follow(names...), nil
}

// endpointsOf returns where a server is, or was listed last.
func (s *Set) endpointsOf(id string) endpointSet {
	all := make(endpointSet)
	all.addServer(&s.identities, id)
	for _, src := range s.sources {
		if e, ok := src.listed[id]; ok {
			all[src.endpointOf(e)] = true
		}
	}
	return all
}

// disabledNamesOf returns the names by which a server is disabled: its own, and those that stand for a
// server at one of its endpoints.
func (s *Set) disabledNamesOf(id string) (names []string) {
	if s.disabled[id] {
		names = append(names, id)
	}
	for at := range s.endpointsOf(id) {
		for other := range s.identities.servers[at] {
			if s.disabled[other] && !slices.Contains(names, other) && s.isAt(other, at) {
				names = append(names, other)
			}
		}
	}
	slices.Sort(names)
	return names
}

// isOnlyWhere reports whether a name stands for no server elsewhere than at another's endpoints.
func (s *Set) isOnlyWhere(name, other string) bool {
	there := s.endpointsOf(other)
	for at := range s.endpointsOf(name) {
		if !there[at] {
			return false
		}
	}
	return true
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
	if !s.disabled[oldest] {
		s.identities.forget(oldest)
	}
}

// State returns a copy of the operators' changes.
func (s *Set) State() State {
	state := State{Disabled: slices.Sorted(maps.Keys(s.disabled)), EnabledAt: maps.Clone(s.enabledAt), Addresses: make(map[string]map[string]Address)}
	for id, addresses := range s.identities.endpoints {
		bySource := make(map[string]Address, len(addresses))
		for name, at := range addresses {
			bySource[name] = Address{at.network, at.address}
		}
		state.Addresses[id] = bySource
	}
	return state
}

// Adopt takes over the state of another process of the same sidecar: the disabled servers are
// replaced, the enabling times are merged, and addresses are added that no list has shown here. It
// returns what changes in the sources.
func (s *Set) Adopt(st State) []Update {
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
			changed = append(changed, id)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	for _, id := range changed {
		s.adoptAddresses(id, st.Addresses[id])
	}
	return s.follow(changed...)
}

// adoptAddresses takes over addresses of a server that sources have shown to another process.
func (s *Set) adoptAddresses(id string, bySource map[string]Address) {
	s.identities.follow(id, s.sources)
	for name, at := range bySource {
		if known := s.identities.endpoints[id]; known[name] == (endpoint{}) && len(known) < MaxSources {
			s.identities.put(id, name, endpoint{at.Network, at.Address})
		}
	}
}

// List returns the entries of a source's whole list as it gave them, sorted by name.
func (src *Source) List() []membership.Entry {
	return slices.SortedFunc(maps.Values(src.listed), func(a, b membership.Entry) int { return cmp.Compare(a.Name, b.Name) })
}

// Discovered returns the number of servers on the source's list.
func (src *Source) Discovered() int { return len(src.listed) }

// DisabledCount returns the number of a source's servers that are disabled.
func (s *Set) DisabledCount(src *Source) (n int) {
	for _, e := range src.listed {
		if s.disabled[e.Name] || slices.ContainsFunc(s.othersAt(src, e), func(id string) bool { return s.disabled[id] }) {
			n++
		}
	}
	return n
}
