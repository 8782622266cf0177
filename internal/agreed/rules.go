// Package agreed decides on which version of the settings a fleet of sidecars acts, and since
// when: both halves of it. A State is what the council's log means, the same at each of its
// members; a Holder is how its leader knows that a lease has ended; a Car is what one sidecar may
// act on. The package has no I/O, clock or goroutines. How it goes, and why, is in
// docs/design/agreement.md.
package agreed

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of what is held.
const (
	RulesMost   = 512       // keys of one version's rules
	KeyMost     = 96        // bytes of a key, a name, a reason
	BodyMost    = 256 << 10 // bytes of a document
	CarsMost    = 8192      // sidecars that the council knows of
	EndingsMost = 256       // proposals whose outcome is remembered
	oldMost     = 64        // versions that silent sidecars may still act on
)

// Rules is what a version asks of who acts on it: levels by key. A key that is not there has
// level 0; a higher level is stricter.
type Rules map[string]uint64

// Stricter is the higher level of both, key by key.
func (r Rules) Stricter(o Rules) Rules {
	all := maps.Clone(r)
	if all == nil {
		all = make(Rules, len(o))
	}
	for k, level := range o {
		all[k] = max(all[k], level)
	}
	return all
}

// Lax is a key, the first by name, at which r is below o; empty: there is none.
func (r Rules) Lax(o Rules) string {
	for _, k := range slices.Sorted(maps.Keys(o)) {
		if r[k] < o[k] {
			return k
		}
	}
	return ""
}

// Kinds of keys, as they begin.
const (
	ClassKey  = "class/"  // a class of calls: 0 may run again, 1 keyed, 2 once
	ServerKey = "server/" // 1: out by hand
	ListKey   = "list"    // the least index of discovery's list that may be used
	// Once is the strictest level of a class.
	Once = 2
)

// Validate says what makes no sense, by the key.
func (r Rules) Validate() error {
	if len(r) > RulesMost {
		return fmt.Errorf("rules: %d keys, %d at most", len(r), RulesMost)
	}
	for _, k := range slices.Sorted(maps.Keys(r)) {
		level := r[k]
		most := uint64(0)
		switch name, kind := k, ""; {
		case k == ListKey:
			most = 1 << 62
		case strings.HasPrefix(k, ClassKey):
			kind, name, most = ClassKey, k[len(ClassKey):], Once
			fallthrough
		case strings.HasPrefix(k, ServerKey):
			if kind == "" {
				name, most = k[len(ServerKey):], 1
			}
			if name == "" {
				return fmt.Errorf("rules: %q names nothing", k)
			}
		default:
			return fmt.Errorf("rules: %q is no key: class/NAME, server/ID or list", k)
		}
		if len(k) > KeyMost {
			return fmt.Errorf("rules: %.20q...: a key has %d bytes at most", k, KeyMost)
		}
		if level > most {
			return fmt.Errorf("rules: %s: level %d, %d at most", k, level, most)
		}
	}
	return nil
}

// Doc is a version.
type Doc struct {
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body,omitempty"` // what sidecars take; this package does not look into it
	Rules   Rules           `json:"rules,omitempty"`
	// Floor has classes that a sidecar which may be stale acts on at a level below Once: a
	// promise that no version tightens them further while such a sidecar may be about.
	Floor  Rules  `json:"floor,omitempty"`
	Key    string `json:"key"` // of its proposal: sent again it is the same one
	Who    string `json:"who"`
	Reason string `json:"reason"`
}

// Stale is the level that a sidecar which may be stale acts on at the least by this version.
func (d *Doc) Stale(key string) uint64 {
	level := d.Rules[key]
	if strings.HasPrefix(key, ClassKey) {
		if floor, promised := d.Floor[key]; promised {
			return max(level, floor)
		}
		return Once
	}
	return level
}

// Errors of documents.
var (
	ErrDoc = errors.New("the document can't be used")
)

// Validate says why a document can't be proposed.
func (d *Doc) Validate() error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrDoc, fmt.Sprintf(format, args...))
	}
	for field, text := range map[string]string{"key": d.Key, "who": d.Who, "reason": d.Reason} {
		if text == "" || len(text) > KeyMost {
			return bad("%s: must have 1 to %d bytes", field, KeyMost)
		}
	}
	if len(d.Body) > BodyMost {
		return bad("body: %d bytes, %d at most", len(d.Body), BodyMost)
	}
	if err := d.Rules.Validate(); err != nil {
		return bad("%v", err)
	}
	if err := d.Floor.Validate(); err != nil {
		return bad("floor: %v", err)
	}
	for _, k := range slices.Sorted(maps.Keys(d.Floor)) {
		if !strings.HasPrefix(k, ClassKey) {
			return bad("floor: %s: only classes have one", k)
		}
		if d.Floor[k] < d.Rules[k] {
			return bad("floor: %s: level %d is below the rule's, %d", k, d.Floor[k], d.Rules[k])
		}
	}
	return nil
}

// Times are what leases go by.
type Times struct {
	Lease time.Duration // from when a sidecar asks
	Drift float64       // by how much any clock may be fast or slow, as a share
	// Margin is how long before its lease's end, by its own clock, a sidecar acts as if it had
	// ended.
	Margin time.Duration
	// Call is the longest that a call may take: what was sent by a rule may run for so long after.
	Call time.Duration
}

// Validate says what can't be used, by the name of the field as the operators' file has it.
func (t Times) Validate() error {
	switch {
	case t.Lease < time.Second || t.Lease > time.Hour:
		return errors.New("council.lease: must be within 1s and 1h")
	case t.Drift < 0.0001 || t.Drift > 0.1:
		return errors.New("council.drift: must be within 0.0001 and 0.1")
	case t.Margin < 0 || t.Margin > t.Lease/4:
		return errors.New("council.margin: must be 0 or more, a quarter of lease at most")
	case t.Call <= 0 || t.Call > time.Hour:
		return errors.New("council.call: must be above 0, 1h at most")
	}
	return nil
}

// Bound is T: for how long after a version came into force a sidecar may act on laxer rules, by
// a clock that is right, and what it sent by them may run.
func (t Times) Bound() time.Duration { return t.longest(t.Lease-t.Margin) + t.Call }

// longest is the most that a time takes by a clock that is slow.
func (t Times) longest(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-t.Drift)) + 1
}

// Over is how long a leader waits by its own clock until a lease has ended by any sidecar's.
func (t Times) Over() time.Duration {
	return time.Duration(float64(t.longest(t.Lease))*(1+t.Drift)) + 1
}
