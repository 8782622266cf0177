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
	return membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, State: state, Started: 5}, Address: "h:1"}
}

func whole(names ...string) *membership.List {
	l := &membership.List{Whole: true}
	for _, n := range names {
		l.Entries = append(l.Entries, entry(n, chalkrack.Serving))
	}
	return l
}

func told(t *testing.T, l *membership.List, name string, state chalkrack.State, started time.Duration) {
	t.Helper()
	if l == nil {
		t.Fatalf("%s: nothing told", name)
	}
	for _, e := range l.Entries {
		if e.Name == name {
			if e.State != state || e.Started != started {
				t.Errorf("%s: state %d, started %v; want %d, %v", name, e.State, e.Started, state, started)
			}
			return
		}
	}
	t.Errorf("%s is not told", name)
}

func TestOutAndBack(t *testing.T) {
	s := New()
	s.Listed(whole("a", "b"))
	if _, err := s.Disable("c"); !errors.Is(err, ErrUnknown) {
		t.Errorf("one that nobody has: %v", err)
	}
	if _, err := s.Enable("c", 10); !errors.Is(err, ErrUnknown) {
		t.Errorf("back, one that nobody has: %v", err)
	}
	l, err := s.Disable("a")
	if err != nil {
		t.Fatal(err)
	}
	told(t, l, "a", chalkrack.Draining, 5)
	if l, err := s.Disable("a"); l != nil || err != nil {
		t.Errorf("a second call: %v, %v", l, err)
	}
	// Whatever discovery says: gone, back under the same id, and up.
	s.Listed(&membership.List{Entries: []membership.Entry{entry("a", chalkrack.Gone)}})
	if s.OutListed() != 0 || s.Discovered() != 1 {
		t.Errorf("%d out, %d listed", s.OutListed(), s.Discovered())
	}
	told(t, s.Listed(&membership.List{Entries: []membership.Entry{entry("a", chalkrack.Serving)}}), "a", chalkrack.Draining, 5)
	told(t, s.Listed(whole("a", "b")), "a", chalkrack.Draining, 5)
	told(t, s.Listed(whole("a", "b")), "b", chalkrack.Serving, 5)
	if l, err = s.Enable("a", 100); err != nil {
		t.Fatal(err)
	}
	told(t, l, "a", chalkrack.Serving, 100)
	told(t, s.Listed(whole("a", "b")), "a", chalkrack.Serving, 100) // still cold by the next list
	if l, err := s.Enable("a", 200); l != nil || err != nil {
		t.Errorf("a second call back: %v, %v", l, err)
	}
	// One that left the list while it was out.
	if _, err := s.Disable("b"); err != nil {
		t.Fatal(err)
	}
	s.Listed(whole("a"))
	if l, err := s.Enable("b", 300); l != nil || err != nil {
		t.Errorf("back, unlisted: %v, %v", l, err)
	}
	told(t, s.Listed(whole("b")), "b", chalkrack.Serving, 300)
}

// Two processes that adopt each other's state after each call agree, and so do the lists
// that they hand on.
func TestTwoAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		sets := [2]*Set{New(), New()}
		used := [2]map[string]membership.Entry{{}, {}}
		take := func(n int, l *membership.List) {
			if l == nil {
				return
			}
			if l.Whole {
				clear(used[n])
			}
			for _, e := range l.Entries {
				if used[n][e.Name] = e; e.State == chalkrack.Gone {
					delete(used[n], e.Name)
				}
			}
		}
		for n := range sets {
			take(n, sets[n].Listed(whole(names...)))
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
			case 2: // both hear the same, in their own time
				list := whole(rapid.SampledFrom([][]string{{"a", "b", "c"}, {"a", "b"}, {"c"}}).Draw(t, "list")...)
				take(1-n, sets[1-n].Listed(list))
				l = sets[n].Listed(list)
			}
			take(n, l)
			take(1-n, sets[1-n].Adopt(sets[n].State()))
			for name, e := range used[n] {
				if other := used[1-n][name]; other != e {
					t.Fatalf("%s is %+v at one, %+v at the other", name, e, other)
				}
				if out := slices.Contains(sets[n].State().Out, name); out != (e.State == chalkrack.Draining) {
					t.Fatalf("%s: out %v, state %d", name, out, e.State)
				}
			}
		}
	})
}

func TestBounds(t *testing.T) {
	s := New()
	var names []string
	for n := range Most + 1 {
		names = append(names, fmt.Sprint(n))
	}
	s.Listed(whole(names...))
	for _, n := range names[:Most] {
		if _, err := s.Disable(n); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Disable(names[Most]); !errors.Is(err, ErrMany) {
		t.Errorf("past the bound: %v", err)
	}
	for n, name := range names[:Most] {
		s.Enable(name, time.Duration(n+1))
	}
	s.Disable(names[Most])
	s.Enable(names[Most], 9999)
	if st := s.State(); len(st.Back) != Most || st.Back[names[Most]] != 9999 {
		t.Errorf("%d remembered", len(st.Back))
	}
}
