// Package agreement contains the state machines by which a fleet of sidecars agrees on one version
// of the settings: the replicated state that each member of the council (the raft cluster of the
// fleet) builds from the log, the tracking of sidecar leases at the leader, and the sidecar's side
// of the protocol. A new version is prepared by every live sidecar before it comes into force, as
// in two-phase commit. The package does no I/O, reads no clock and starts no goroutines.
// docs/design/agreement.md describes the protocol and its reasons.
package agreement

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits on the size of the state.
const (
	MaxRules      = 512       // keys in the rules of one version
	MaxKeyBytes   = 96        // bytes in a key, name or reason
	MaxBodyBytes  = 256 << 10 // bytes in the body of a document
	MaxSidecars   = 8192      // sidecars in the state
	MaxResults    = 256       // finished proposals whose results are kept
	maxSuperseded = 64        // superseded versions that expired sidecars may still have active
)

// Rules maps keys to the levels that a version requires. A missing key has level 0; a higher
// level is stricter.
type Rules map[string]uint64

// Strictest returns the rules that have for each key the higher level of r and other.
func (r Rules) Strictest(other Rules) Rules {
	merged := maps.Clone(r)
	if merged == nil {
		merged = make(Rules, len(other))
	}
	for k, level := range other {
		merged[k] = max(merged[k], level)
	}
	return merged
}

// FirstLaxerKey returns the first key, in sorted order, at which r has a lower level than other,
// or "" if there is none.
func (r Rules) FirstLaxerKey(other Rules) string {
	for _, k := range slices.Sorted(maps.Keys(other)) {
		if r[k] < other[k] {
			return k
		}
	}
	return ""
}

// Keys of rules, or their prefixes.
const (
	ClassPrefix  = "class/"  // a class of calls: level 0 may run again, 1 needs an idempotency key, 2 runs once
	ServerPrefix = "server/" // level 1: an operator took the server out of use
	ListKey      = "list"    // the lowest index of the discovery list that may be used
	// LevelOnce is the strictest level of a class.
	LevelOnce = 2
)

// Validate returns an error that names the first invalid key, or the number of keys if there are
// too many.
func (r Rules) Validate() error {
	if len(r) > MaxRules {
		return fmt.Errorf("rules: %d keys, %d at most", len(r), MaxRules)
	}
	for _, k := range slices.Sorted(maps.Keys(r)) {
		level := r[k]
		maxLevel := uint64(0)
		switch name, kind := k, ""; {
		case k == ListKey:
			maxLevel = 1 << 62
		case strings.HasPrefix(k, ClassPrefix):
			kind, name, maxLevel = ClassPrefix, k[len(ClassPrefix):], LevelOnce
			fallthrough
		case strings.HasPrefix(k, ServerPrefix):
			if kind == "" {
				name, maxLevel = k[len(ServerPrefix):], 1
			}
			if name == "" {
				return fmt.Errorf("rules: %q has no name after its prefix", k)
			}
		default:
			return fmt.Errorf("rules: %q is not a valid key: must be class/NAME, server/ID or list", k)
		}
		if len(k) > MaxKeyBytes {
			return fmt.Errorf("rules: %.20q...: a key must have at most %d bytes", k, MaxKeyBytes)
		}
		if level > maxLevel {
			return fmt.Errorf("rules: %s: level %d, %d at most", k, level, maxLevel)
		}
	}
	return nil
}

// Doc is one version of the settings, as proposed by an operator.
type Doc struct {
	Version uint64          `json:"version"`        // 0 until the proposal is accepted
	Body    json.RawMessage `json:"body,omitempty"` // settings for the sidecars, opaque to this package
	Rules   Rules           `json:"rules,omitempty"`
	// Floor lists classes that a sidecar without a lease applies at the given level instead of
	// LevelOnce. No later version may make such a class stricter than its floor while a sidecar
	// with an expired lease may still have this version active.
	Floor  Rules  `json:"floor,omitempty"`
	Key    string `json:"key"` // identifies the proposal, so that a repeated one has no second effect
	Who    string `json:"who"` // the operator
	Reason string `json:"reason"`
}

// StaleLevel returns the minimum level of key that a sidecar with this version active applies once
// it has no lease: for a class the floor, or LevelOnce without one; for other keys the level of the
// rules.
func (d *Doc) StaleLevel(key string) uint64 {
	level := d.Rules[key]
	if strings.HasPrefix(key, ClassPrefix) {
		if floor, hasFloor := d.Floor[key]; hasFloor {
			return max(level, floor)
		}
		return LevelOnce
	}
	return level
}

// Errors of documents.
var (
	// ErrInvalidDoc is wrapped by the errors of Doc.Validate.
	ErrInvalidDoc = errors.New("invalid document")
)

// Validate returns an error that wraps ErrInvalidDoc and names the field if the document can't be
// proposed.
func (d *Doc) Validate() error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrInvalidDoc, fmt.Sprintf(format, args...))
	}
	for field, text := range map[string]string{"key": d.Key, "who": d.Who, "reason": d.Reason} {
		if text == "" || len(text) > MaxKeyBytes {
			return invalid("%s: must have 1 to %d bytes", field, MaxKeyBytes)
		}
	}
	if len(d.Body) > MaxBodyBytes {
		return invalid("body: %d bytes, %d at most", len(d.Body), MaxBodyBytes)
	}
	if err := d.Rules.Validate(); err != nil {
		return invalid("%v", err)
	}
	if err := d.Floor.Validate(); err != nil {
		return invalid("floor: %v", err)
	}
	for _, k := range slices.Sorted(maps.Keys(d.Floor)) {
		if !strings.HasPrefix(k, ClassPrefix) {
			return invalid("floor: %s: only classes have a floor", k)
		}
		if d.Floor[k] < d.Rules[k] {
			return invalid("floor: %s: level %d is below the rule's, %d", k, d.Floor[k], d.Rules[k])
		}
	}
	return nil
}

// LeaseTimes holds the durations and the clock accuracy that leases depend on.
type LeaseTimes struct {
	Lease time.Duration // duration of a lease, from when the sidecar sends its request
	Drift float64       // maximum rate error of any clock, fast or slow, as a fraction
	// Margin is how long before the end of its lease, by its own clock, a sidecar already acts
	// as if the lease had expired.
	Margin time.Duration
	// MaxCallTime is the maximum duration of a call. A call sent under a rule may run for this long
	// after the sidecar has stopped applying the rule.
	MaxCallTime time.Duration
}

// Validate returns an error that names the invalid field as in the configuration file.
func (t LeaseTimes) Validate() error {
	switch {
	case t.Lease < time.Second || t.Lease > time.Hour:
		return errors.New("council.lease: must be between 1s and 1h")
	case t.Drift < 0.0001 || t.Drift > 0.1:
		return errors.New("council.drift: must be between 0.0001 and 0.1")
	case t.Margin < 0 || t.Margin > t.Lease/4:
		return errors.New("council.margin: must be between 0 and a quarter of council.lease")
	case t.MaxCallTime <= 0 || t.MaxCallTime > time.Hour:
		return errors.New("council.call: must be greater than 0 and at most 1h")
	}
	return nil
}

// MaxStaleness returns the bound T: the maximum time after a version comes into force, by an exact
// clock, for which a sidecar may still apply less strict rules or calls sent under such rules may
// still run.
func (t LeaseTimes) MaxStaleness() time.Duration {
	return t.maxRealTime(t.Lease-t.Margin) + t.MaxCallTime
}

// maxRealTime returns the maximum real time that passes while a clock within the drift counts d.
func (t LeaseTimes) maxRealTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-t.Drift)) + 1
}

// ExpiryDelay returns how long the leader waits after it granted a lease, by its own clock, until
// the lease has expired by the clock of any sidecar.
func (t LeaseTimes) ExpiryDelay() time.Duration {
	return time.Duration(float64(t.maxRealTime(t.Lease))*(1+t.Drift)) + 1
}
