package agreed

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func doc(key string, level uint64) *Doc {
	return &Doc{Key: key, Who: "kim", Reason: "a test", Rules: Rules{"class/a": level}}
}

// What each entry does to a log's state, in turn, and what it answers where it does nothing.
func TestEntries(t *testing.T) {
	s := new(State)
	for n, c := range []struct {
		e     Entry
		err   error
		force uint64 // in force after it
		next  uint64 // on its way; 0: none
	}{
		{Entry{Kind: Propose, Doc: doc("k1", 0)}, nil, 1, 0}, // nobody is there to ask
		{Entry{Kind: Join, Car: "a", Inc: 5, Version: 1}, nil, 1, 0},
		{Entry{Kind: Join, Car: "b", Inc: 5, Version: 7}, ErrEntry, 1, 0},
		{Entry{Kind: Join, Car: "b", Inc: 5, Version: 1}, nil, 1, 0},
		{Entry{Kind: Join, Car: "b", Inc: 4, Version: 1}, ErrStarted, 1, 0},
		{Entry{Kind: Propose, Base: 0, Doc: doc("k2", 2)}, ErrBase, 1, 0},
		{Entry{Kind: Propose, Base: 1, Doc: doc("k2", 3)}, ErrDoc, 1, 0},
		{Entry{Kind: Propose, Base: 1, Doc: doc("k2", 2)}, nil, 1, 2},
		{Entry{Kind: Propose, Base: 1, Doc: doc("k2", 2)}, nil, 1, 2}, // sent again
		{Entry{Kind: Propose, Base: 1, Doc: doc("k3", 1)}, ErrBusy, 1, 2},
		{Entry{Kind: Yes, Car: "a", Inc: 5, Version: 2}, nil, 1, 2},
		{Entry{Kind: Yes, Car: "b", Inc: 4, Version: 2}, ErrStarted, 1, 2},
		{Entry{Kind: Yes, Car: "c", Inc: 4, Version: 2}, ErrCar, 1, 2},
		{Entry{Kind: Withdraw, Version: 1}, ErrNone, 1, 2},
		{Entry{Kind: Withdraw, Version: 2, Who: "kim"}, nil, 1, 0},
		{Entry{Kind: Yes, Car: "b", Inc: 5, Version: 2}, ErrNone, 1, 0},
		{Entry{Kind: Propose, Base: 1, Doc: doc("k2", 2)}, nil, 1, 0}, // it was withdrawn: sent again it stays so
		{Entry{Kind: Propose, Base: 1, Doc: doc("k4", 2)}, nil, 1, 3},
		{Entry{Kind: No, Car: "a", Inc: 5, Version: 3, Reason: "class a"}, nil, 1, 0},
		{Entry{Kind: Propose, Base: 1, Doc: doc("k5", 1)}, nil, 1, 4},
		{Entry{Kind: Yes, Car: "a", Inc: 5, Version: 4}, nil, 1, 4},
		{Entry{Kind: Forget, Car: "b"}, ErrLive, 1, 4},
		{Entry{Kind: Gone, Car: "b", Inc: 5}, nil, 4, 0}, // who is left has said yes
		{Entry{Kind: Acts, Car: "b", Inc: 5, Version: 4}, ErrCar, 4, 0},
		{Entry{Kind: Propose, Base: 4, Doc: doc("k6", 0)}, ErrUnsettled, 4, 0},
		{Entry{Kind: Acts, Car: "a", Inc: 5, Version: 9}, ErrNone, 4, 0},
		{Entry{Kind: Acts, Car: "a", Inc: 5, Version: 4}, nil, 4, 0},
		{Entry{Kind: Join, Car: "b", Inc: 6, Version: 1}, nil, 4, 0}, // it was silent under 1, which is known for that
		{Entry{Kind: Join, Car: "a", Inc: 6, Version: 1}, nil, 4, 0},
		{Entry{Kind: Acts, Car: "a", Inc: 6, Version: 4}, nil, 4, 0},
		{Entry{Kind: Acts, Car: "b", Inc: 6, Version: 4}, nil, 4, 0},
		{Entry{Kind: Join, Car: "c", Inc: 1, Version: 1}, ErrForgotten, 4, 0}, // nobody acts on that any more
		{Entry{Kind: "what", Car: "a", Inc: 6}, ErrEntry, 4, 0},
		{Entry{Kind: Propose, Base: 4}, ErrEntry, 4, 0},
	} {
		before := *s
		err := s.Apply(&c.e)
		next := uint64(0)
		if s.Next != nil {
			next = s.Next.Version
		}
		if !errors.Is(err, c.err) || c.err == nil && err != nil || s.Force.Version != c.force || next != c.next {
			t.Fatalf("entry %d, %+v: %v, version %d in force, %d on its way", n, c.e, err, s.Force.Version, next)
		}
		if err != nil && !reflect.DeepEqual(before, *s) {
			t.Errorf("entry %d has changed something", n)
		}
	}
	for key, want := range map[string]Outcome{"k2": Withdrawn, "k4": Refused, "k5": InForce, "k9": ""} {
		if got, _ := s.Outcome(key); got.Outcome != want {
			t.Errorf("%s: %+v", key, got)
		}
	}
	if len(s.Old) != 0 {
		t.Errorf("nobody acts on %v", s.Old)
	}
}

// A version that tightens a class past what a silent sidecar acts on waits for that one, or for
// an operator's word that it is no more; one that does not goes on without it.
func TestPromises(t *testing.T) {
	first := doc("k1", 0)
	first.Floor = Rules{"class/a": 1}
	for _, c := range []struct {
		level uint64
		ends  Entry
		err   error
	}{
		{1, Entry{}, nil}, // by its floor it acts on that
		{2, Entry{Kind: Forget, Car: "b"}, ErrFloor},
		{2, Entry{Kind: Join, Car: "b", Inc: 2, Version: 1}, ErrFloor},
	} {
		s := new(State)
		for _, e := range []Entry{{Kind: Propose, Doc: first}, {Kind: Join, Car: "a", Inc: 1, Version: 1}, {Kind: Join, Car: "b", Inc: 1, Version: 1}, {Kind: Gone, Car: "b", Inc: 1}} {
			if err := s.Apply(&e); err != nil {
				t.Fatal(err)
			}
		}
		next := Entry{Kind: Propose, Base: 1, Doc: doc("k2", c.level)}
		err := s.Apply(&next)
		if !errors.Is(err, c.err) || c.err == nil && err != nil {
			t.Errorf("level %d: %v", c.level, err)
		}
		if err == nil {
			continue
		}
		if err := s.Apply(&c.ends); err != nil {
			t.Error(err)
		}
		if err := s.Apply(&next); err != nil {
			t.Errorf("level %d after %s: %v", c.level, c.ends.Kind, err)
		}
		// It goes silent again while it is asked: what was proposed waits.
		if err := s.Apply(&Entry{Kind: Yes, Car: "a", Inc: 1, Version: 2}); err != nil {
			t.Error(err)
		}
		if c.ends.Kind == Join {
			if err := s.Apply(&Entry{Kind: Gone, Car: "b", Inc: 2}); err != nil || s.Force.Version != 1 {
				t.Errorf("version %d is in force beside one that is silent under 1, %v", s.Force.Version, err)
			}
			if err := s.Apply(&Entry{Kind: Forget, Car: "b"}); err != nil {
				t.Error(err)
			}
		}
		if s.Force.Version != 2 {
			t.Errorf("after %s version %d is in force", c.ends.Kind, s.Force.Version)
		}
	}
}

// What can't be proposed, by the field or key.
func TestBadDocuments(t *testing.T) {
	for want, spoil := range map[string]func(*Doc){
		"key:":            func(d *Doc) { d.Key = "" },
		"who:":            func(d *Doc) { d.Who = strings.Repeat("x", 97) },
		"reason:":         func(d *Doc) { d.Reason = "" },
		"body:":           func(d *Doc) { d.Body = make([]byte, BodyMost+1) },
		`"class/" names`:  func(d *Doc) { d.Rules["class/"] = 1 },
		"class/a: level":  func(d *Doc) { d.Rules["class/a"] = 3 },
		"server/s: level": func(d *Doc) { d.Rules["server/s"] = 2 },
		`"what" is no`:    func(d *Doc) { d.Rules["what"] = 1 },
		"513 keys": func(d *Doc) {
			for n := range RulesMost {
				d.Rules["class/"+strings.Repeat("x", n%50)+string(rune('0'+n))] = 1
			}
		},
		"floor: list":      func(d *Doc) { d.Floor = Rules{"list": 1} },
		"below the rule's": func(d *Doc) { d.Rules["class/a"] = 2; d.Floor = Rules{"class/a": 1} },
	} {
		d := doc("k", 1)
		spoil(d)
		if err := d.Validate(); !errors.Is(err, ErrDoc) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	good := Times{Lease: 10 * time.Second, Drift: 0.01, Margin: time.Second, Call: 3 * time.Second}
	if err := good.Validate(); err != nil || good.Bound() < 12*time.Second || good.Bound() > 12200*time.Millisecond {
		t.Errorf("%v, %v", err, good.Bound())
	}
	for field, spoil := range map[string]func(*Times){
		"council.lease":  func(x *Times) { x.Lease = 0 },
		"council.drift":  func(x *Times) { x.Drift = 0.2 },
		"council.margin": func(x *Times) { x.Margin = 3 * time.Second },
		"council.call":   func(x *Times) { x.Call = 0 },
	} {
		x := good
		spoil(&x)
		if err := x.Validate(); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
