package agreement

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

// Applies one sequence of entries and checks, after each, the error, the version in force and the
// pending proposal. An entry that fails must leave the state unchanged.
func TestApplyEntries(t *testing.T) {
	s := new(State)
	for n, c := range []struct {
		e     Entry
		err   error
		force uint64 // version in force after the entry
		next  uint64 // pending proposal after the entry; 0: none
	}{
		{Entry{Kind: KindPropose, Doc: doc("k1", 0)}, nil, 1, 0}, // no sidecar has to prepare it
		{Entry{Kind: KindJoin, Sidecar: "a", Incarnation: 5, Version: 1}, nil, 1, 0},
		{Entry{Kind: KindJoin, Sidecar: "b", Incarnation: 5, Version: 7}, ErrInvalidEntry, 1, 0},
		{Entry{Kind: KindJoin, Sidecar: "b", Incarnation: 5, Version: 1}, nil, 1, 0},
		{Entry{Kind: KindJoin, Sidecar: "b", Incarnation: 4, Version: 1}, ErrOtherIncarnation, 1, 0},
		{Entry{Kind: KindPropose, BaseVersion: 0, Doc: doc("k2", 2)}, ErrBaseVersion, 1, 0},
		{Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k2", 3)}, ErrInvalidDoc, 1, 0},
		{Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k2", 2)}, nil, 1, 2},
		{Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k2", 2)}, nil, 1, 2}, // repeated
		{Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k3", 1)}, ErrProposalPending, 1, 2},
		{Entry{Kind: KindPrepared, Sidecar: "a", Incarnation: 5, Version: 2}, nil, 1, 2},
		{Entry{Kind: KindPrepared, Sidecar: "b", Incarnation: 4, Version: 2}, ErrOtherIncarnation, 1, 2},
		{Entry{Kind: KindPrepared, Sidecar: "c", Incarnation: 4, Version: 2}, ErrUnknownSidecar, 1, 2},
		{Entry{Kind: KindWithdraw, Version: 1}, ErrNoProposal, 1, 2},
		{Entry{Kind: KindWithdraw, Version: 2, Who: "kim"}, nil, 1, 0},
		{Entry{Kind: KindPrepared, Sidecar: "b", Incarnation: 5, Version: 2}, ErrNoProposal, 1, 0},
		{Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k2", 2)}, nil, 1, 0}, // a withdrawn proposal stays withdrawn when repeated
		{Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k4", 2)}, nil, 1, 3},
		{Entry{Kind: KindRejected, Sidecar: "a", Incarnation: 5, Version: 3, Reason: "class a"}, nil, 1, 0},
		{Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k5", 1)}, nil, 1, 4},
		{Entry{Kind: KindPrepared, Sidecar: "a", Incarnation: 5, Version: 4}, nil, 1, 4},
		{Entry{Kind: KindRemove, Sidecar: "b"}, ErrLeaseActive, 1, 4},
		{Entry{Kind: KindLeaseExpired, Sidecar: "b", Incarnation: 5}, nil, 4, 0}, // the remaining live sidecar has prepared it
		{Entry{Kind: KindActive, Sidecar: "b", Incarnation: 5, Version: 4}, ErrUnknownSidecar, 4, 0},
		{Entry{Kind: KindPropose, BaseVersion: 4, Doc: doc("k6", 0)}, ErrNotSettled, 4, 0},
		{Entry{Kind: KindActive, Sidecar: "a", Incarnation: 5, Version: 9}, ErrNoProposal, 4, 0},
		{Entry{Kind: KindActive, Sidecar: "a", Incarnation: 5, Version: 4}, nil, 4, 0},
		{Entry{Kind: KindJoin, Sidecar: "b", Incarnation: 6, Version: 1}, nil, 4, 0}, // its lease expired with version 1 active, so version 1 is still kept
		{Entry{Kind: KindJoin, Sidecar: "a", Incarnation: 6, Version: 1}, nil, 4, 0},
		{Entry{Kind: KindActive, Sidecar: "a", Incarnation: 6, Version: 4}, nil, 4, 0},
		{Entry{Kind: KindActive, Sidecar: "b", Incarnation: 6, Version: 4}, nil, 4, 0},
		{Entry{Kind: KindJoin, Sidecar: "c", Incarnation: 1, Version: 1}, ErrUnknownVersion, 4, 0}, // no sidecar has version 1 active any more
		{Entry{Kind: "what", Sidecar: "a", Incarnation: 6}, ErrInvalidEntry, 4, 0},
		{Entry{Kind: KindPropose, BaseVersion: 4}, ErrInvalidEntry, 4, 0},
	} {
		before := *s
		err := s.Apply(&c.e)
		next := uint64(0)
		if s.Pending != nil {
			next = s.Pending.Version
		}
		if !errors.Is(err, c.err) || c.err == nil && err != nil || s.InForce.Version != c.force || next != c.next {
			t.Fatalf("entry %d, %+v: error %v, version %d in force, version %d pending", n, c.e, err, s.InForce.Version, next)
		}
		if err != nil && !reflect.DeepEqual(before, *s) {
			t.Errorf("entry %d failed but changed the state", n)
		}
	}
	for key, want := range map[string]Outcome{"k2": OutcomeWithdrawn, "k4": OutcomeRefused, "k5": OutcomeInForce, "k9": ""} {
		if got, _ := s.Result(key); got.Outcome != want {
			t.Errorf("proposal %s: wrong outcome in %+v", key, got)
		}
	}
	if len(s.Superseded) != 0 {
		t.Errorf("superseded versions are kept that no sidecar has active: %v", s.Superseded)
	}
}

// A version that makes a class stricter than an expired sidecar applies it must wait until that
// sidecar joins again or an operator removes it. A version that is no stricter does not wait.
func TestProposalWaitsForStaleSidecar(t *testing.T) {
	first := doc("k1", 0)
	first.Floor = Rules{"class/a": 1}
	for _, c := range []struct {
		level   uint64
		unblock Entry
		err     error
	}{
		{1, Entry{}, nil}, // the floor already gives level 1
		{2, Entry{Kind: KindRemove, Sidecar: "b"}, ErrStaleSidecar},
		{2, Entry{Kind: KindJoin, Sidecar: "b", Incarnation: 2, Version: 1}, ErrStaleSidecar},
	} {
		s := new(State)
		for _, e := range []Entry{{Kind: KindPropose, Doc: first}, {Kind: KindJoin, Sidecar: "a", Incarnation: 1, Version: 1}, {Kind: KindJoin, Sidecar: "b", Incarnation: 1, Version: 1}, {Kind: KindLeaseExpired, Sidecar: "b", Incarnation: 1}} {
			if err := s.Apply(&e); err != nil {
				t.Fatal(err)
			}
		}
		next := Entry{Kind: KindPropose, BaseVersion: 1, Doc: doc("k2", c.level)}
		err := s.Apply(&next)
		if !errors.Is(err, c.err) || c.err == nil && err != nil {
			t.Errorf("level %d: unexpected result of the proposal: %v", c.level, err)
		}
		if err == nil {
			continue
		}
		if err := s.Apply(&c.unblock); err != nil {
			t.Error(err)
		}
		if err := s.Apply(&next); err != nil {
			t.Errorf("level %d after %s: %v", c.level, c.unblock.Kind, err)
		}
		// Its lease expires again during the preparation: the proposal must wait.
		if err := s.Apply(&Entry{Kind: KindPrepared, Sidecar: "a", Incarnation: 1, Version: 2}); err != nil {
			t.Error(err)
		}
		if c.unblock.Kind == KindJoin {
			if err := s.Apply(&Entry{Kind: KindLeaseExpired, Sidecar: "b", Incarnation: 2}); err != nil || s.InForce.Version != 1 {
				t.Errorf("version %d is in force while an expired sidecar has version 1 active, error %v", s.InForce.Version, err)
			}
			if err := s.Apply(&Entry{Kind: KindRemove, Sidecar: "b"}); err != nil {
				t.Error(err)
			}
		}
		if s.InForce.Version != 2 {
			t.Errorf("after %s: version %d is in force, want 2", c.unblock.Kind, s.InForce.Version)
		}
	}
}

// Invalid documents and lease times are rejected with an error that names the field or key.
func TestInvalidDocumentsAndTimes(t *testing.T) {
	for want, invalidate := range map[string]func(*Doc){
		"key:":                      func(d *Doc) { d.Key = "" },
		"who:":                      func(d *Doc) { d.Who = strings.Repeat("x", 97) },
		"reason:":                   func(d *Doc) { d.Reason = "" },
		"body:":                     func(d *Doc) { d.Body = make([]byte, MaxBodyBytes+1) },
		`"class/" has no name`:      func(d *Doc) { d.Rules["class/"] = 1 },
		"class/a: level":            func(d *Doc) { d.Rules["class/a"] = 3 },
		"server/s: level":           func(d *Doc) { d.Rules["server/s"] = 2 },
		`"what" is not a valid key`: func(d *Doc) { d.Rules["what"] = 1 },
		"513 keys": func(d *Doc) {
			for n := range MaxRules {
				d.Rules["class/"+strings.Repeat("x", n%50)+string(rune('0'+n))] = 1
			}
		},
		"floor: list":      func(d *Doc) { d.Floor = Rules{"list": 1} },
		"below the rule's": func(d *Doc) { d.Rules["class/a"] = 2; d.Floor = Rules{"class/a": 1} },
	} {
		d := doc("k", 1)
		invalidate(d)
		if err := d.Validate(); !errors.Is(err, ErrInvalidDoc) || !strings.Contains(err.Error(), want) {
			t.Errorf("want error %q, got %v", want, err)
		}
	}
	good := LeaseTimes{Lease: 10 * time.Second, Drift: 0.01, Margin: time.Second, MaxCallTime: 3 * time.Second}
	if err := good.Validate(); err != nil || good.MaxStaleness() < 12*time.Second || good.MaxStaleness() > 12200*time.Millisecond {
		t.Errorf("valid times: error %v, bound %v, want 12s to 12.2s", err, good.MaxStaleness())
	}
	for field, invalidate := range map[string]func(*LeaseTimes){
		"council.lease":  func(x *LeaseTimes) { x.Lease = 0 },
		"council.drift":  func(x *LeaseTimes) { x.Drift = 0.2 },
		"council.margin": func(x *LeaseTimes) { x.Margin = 3 * time.Second },
		"council.call":   func(x *LeaseTimes) { x.MaxCallTime = 0 },
	} {
		x := good
		invalidate(&x)
		if err := x.Validate(); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("want an error of %s, got %v", field, err)
		}
	}
}
