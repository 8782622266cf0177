package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack"
	"chalkrack/internal/membership"
)

func entry(name string, state chalkrack.State) membership.Entry {
	return membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, State: state, Started: 5}, Address: name + ":1"}
}

func wholeList(names ...string) *membership.List {
	l := &membership.List{Complete: true}
	for _, n := range names {
		l.Entries = append(l.Entries, entry(n, chalkrack.Serving))
	}
	return l
}

// oneSource is a Set with one source, whose lists of changes it returns.
type oneSource struct {
	*Set
	source *Source
}

func newOneSource() *oneSource {
	s := New()
	return &oneSource{s, s.AddSource("", "tcp")}
}

// only returns the list of updates that must be of one source, nil if there are none.
func only(updates []Update) *membership.List {
	switch len(updates) {
	case 0:
		return nil
	case 1:
		return updates[0].List
	}
	panic("updates of several sources")
}

func (s *oneSource) ApplyList(l *membership.List) *membership.List {
	applied, others := s.Set.ApplyList(s.source, l)
	if len(others) > 0 {
		panic("a list of the only source changes others")
	}
	return applied
}

func (s *oneSource) Disable(id string) (*membership.List, error) {
	updates, err := s.Set.Disable(id)
	return only(updates), err
}

func (s *oneSource) Enable(id string, now time.Duration) (*membership.List, error) {
	updates, err := s.Set.Enable(id, now)
	return only(updates), err
}

func (s *oneSource) Adopt(st State) *membership.List { return only(s.Set.Adopt(st)) }

func checkEntry(t *testing.T, l *membership.List, name string, state chalkrack.State, started time.Duration) {
	t.Helper()
	if l == nil {
		t.Fatalf("%s: no list of changes", name)
	}
	for _, e := range l.Entries {
		if e.Name == name {
			if e.State != state || e.Started != started {
				t.Errorf("%s: state %d, started %v; want %d, %v", name, e.State, e.Started, state, started)
			}
			return
		}
	}
	t.Errorf("%s is not in the list", name)
}

// A disabled server stays draining through any list from discovery, and an enabled one
// stays recently started. Both would be lost if a new list replaced the operators' changes.
func TestDisableAndEnable(t *testing.T) {
	s := newOneSource()
	s.ApplyList(wholeList("a", "b"))
	if _, err := s.Disable("c"); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("Disable of an unknown server: %v", err)
	}
	if _, err := s.Enable("c", 10); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("Enable of an unknown server: %v", err)
	}
	l, err := s.Disable("a")
	if err != nil {
		t.Fatal(err)
	}
	checkEntry(t, l, "a", chalkrack.Draining, 5)
	if l, err := s.Disable("a"); l != nil || err != nil {
		t.Errorf("second Disable: %v, %v", l, err)
	}
	// The server leaves the list, is listed again under its id, and is serving.
	s.ApplyList(&membership.List{Entries: []membership.Entry{entry("a", chalkrack.Gone)}})
	if s.DisabledCount(s.source) != 0 || s.source.Discovered() != 1 {
		t.Errorf("%d disabled, %d listed, want 0 and 1", s.DisabledCount(s.source), s.source.Discovered())
	}
	checkEntry(t, s.ApplyList(&membership.List{Entries: []membership.Entry{entry("a", chalkrack.Serving)}}), "a", chalkrack.Draining, 5)
	checkEntry(t, s.ApplyList(wholeList("a", "b")), "a", chalkrack.Draining, 5)
	checkEntry(t, s.ApplyList(wholeList("a", "b")), "b", chalkrack.Serving, 5)
	if l, err = s.Enable("a", 100); err != nil {
		t.Fatal(err)
	}
	checkEntry(t, l, "a", chalkrack.Serving, 100)
	checkEntry(t, s.ApplyList(wholeList("a", "b")), "a", chalkrack.Serving, 100) // still cold after the next list
	if l, err := s.Enable("a", 200); l != nil || err != nil {
		t.Errorf("second Enable: %v, %v", l, err)
	}
	// A server that leaves the list while it is disabled.
	if _, err := s.Disable("b"); err != nil {
		t.Fatal(err)
	}
	s.ApplyList(wholeList("a"))
	if l, err := s.Enable("b", 300); l != nil || err != nil {
		t.Errorf("Enable of an unlisted server: %v, %v", l, err)
	}
	checkEntry(t, s.ApplyList(wholeList("b")), "b", chalkrack.Serving, 300)
}

// Two processes that adopt each other's state after each call have the same state and
// return the same lists, in any order of calls and of lists from discovery.
func TestTwoProcessesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		sets := [2]*oneSource{newOneSource(), newOneSource()}
		used := [2]map[string]membership.Entry{{}, {}}
		deliver := func(n int, l *membership.List) {
			if l == nil {
				return
			}
			if l.Complete {
				clear(used[n])
			}
			for _, e := range l.Entries {
				if used[n][e.Name] = e; e.State == chalkrack.Gone {
					delete(used[n], e.Name)
				}
			}
		}
		for n := range sets {
			deliver(n, sets[n].ApplyList(wholeList(names...)))
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 1).Draw(t, "which")
			name := rapid.SampledFrom(names).Draw(t, "name")
			var l *membership.List
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l, _ = sets[n].Disable(name)
			case 1:
				l, _ = sets[n].Enable(name, time.Duration(100+step))
			case 2: // both get the same list, one after the other
				list := wholeList(rapid.SampledFrom([][]string{{"a", "b", "c"}, {"a", "b"}, {"c"}}).Draw(t, "list")...)
				deliver(1-n, sets[1-n].ApplyList(list))
				l = sets[n].ApplyList(list)
			}
			deliver(n, l)
			deliver(1-n, sets[1-n].Adopt(sets[n].State()))
			for name, e := range used[n] {
				if other := used[1-n][name]; other != e {
					t.Fatalf("%s is %+v in one process, %+v in the other", name, e, other)
				}
				if disabled := slices.Contains(sets[n].State().Disabled, name); disabled != (e.State == chalkrack.Draining) {
					t.Fatalf("%s: disabled %v, state %d", name, disabled, e.State)
				}
			}
		}
	})
}

// At most MaxServers servers are disabled or remembered as enabled, however many calls are
// made. Without the bound the state would grow with each server that is ever disabled.
func TestMaxServers(t *testing.T) {
	s := newOneSource()
	var names []string
	for n := range MaxServers + 1 {
		names = append(names, fmt.Sprint(n))
	}
	s.ApplyList(wholeList(names...))
	for _, n := range names[:MaxServers] {
		if _, err := s.Disable(n); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Disable(names[MaxServers]); !errors.Is(err, ErrTooManyDisabled) {
		t.Errorf("Disable beyond MaxServers: %v", err)
	}
	for n, name := range names[:MaxServers] {
		s.Enable(name, time.Duration(n+1))
	}
	s.Disable(names[MaxServers])
	s.Enable(names[MaxServers], 9999)
	if st := s.State(); len(st.EnabledAt) != MaxServers || st.EnabledAt[names[MaxServers]] != 9999 {
		t.Errorf("%d servers remembered as enabled, or the last of them is missing", len(st.EnabledAt))
	}
	if st := s.State(); len(st.Addresses) != MaxServers || len(s.identities.servers) != MaxServers {
		t.Errorf("the addresses of %d servers are followed, at %d endpoints", len(st.Addresses), len(s.identities.servers))
	}
}
