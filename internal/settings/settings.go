// Package settings parses the settings of a deployment into the values that the Balancer
// and its hosts need, so that all hosts share one mapping.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"chalkrack"
)

// Settings holds the settings of a deployment.
type Settings struct {
	Config    chalkrack.Config
	Deadlines []time.Duration // by class: the maximum time that a client waits

	// The following fields are used only by hosts that send requests over the network.
	ConnIdle    time.Duration // the idle time after which a server closes a connection
	DialTimeout time.Duration
	DrainGrace  time.Duration
	MaxHeld     int // the maximum number of calls held at once; 0: no limit

	classes, tenants map[string]int
}

// document is the settings document. Keys without a field here are ignored.
type document struct {
	Caps struct {
		AttemptsCap     int
		MayCancel       bool
		SecondCopies    bool
		Probes          bool
		MaxRetryAfterUs int64
		RetryAfter      bool
		ConnIdleUs      int64
		DialTimeoutUs   int64
		MaxHeld         int `json:"mostHeld"` // the platform's name
	}
	Classes []struct {
		Name           string
		PromiseUs      int64
		HardLimitUs    int64
		Effect         string
		DedupScope     string
		LateValue      float64
		RepeatWindowUs int64
		Worth          float64
	}
	Costs      struct{ Connection, CrossZone, Probe, Waste float64 }
	FamilyInfo struct{ WarmKeys bool }
	Feedback   struct{ How string }
	Guarantees struct {
		AskWithinUs    int64
		ColdFrom       float64
		ColdUs         int64
		DrainGraceUs   int64
		OverloadFactor float64
		OverloadForUs  int64
	}
	OverShareWorth float64
	Tenants        []struct {
		Name          string
		AllowancePerS float64
	}
	RegistryMode string
	ReplicasOfMe int
	Zone         string
}

// Parse parses and checks a settings document in JSON. Errors name the field.
func Parse(data []byte) (*Settings, error) {
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := doc.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{
		Config:      newConfig(&doc),
		ConnIdle:    microseconds(doc.Caps.ConnIdleUs),
		DialTimeout: microseconds(doc.Caps.DialTimeoutUs),
		DrainGrace:  microseconds(doc.Guarantees.DrainGraceUs),
		MaxHeld:     doc.Caps.MaxHeld,
		classes:     make(map[string]int),
		tenants:     make(map[string]int),
	}
	for n, c := range doc.Classes {
		s.classes[c.Name] = n
		s.Deadlines = append(s.Deadlines, microseconds(c.HardLimitUs))
	}
	for n, t := range doc.Tenants {
		s.tenants[t.Name] = n
	}
	return s, nil
}

// New returns settings for a program that configures itself, with a name and a deadline for
// each class of cfg. The caller sets the other fields. Errors name the field.
func New(cfg chalkrack.Config, names []string, deadlines []time.Duration) (*Settings, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	check := checker{}
	seen := make(map[string]bool)
	s := &Settings{Config: cfg, Deadlines: deadlines, classes: make(map[string]int)}
	for n := range cfg.Classes {
		prefix := fmt.Sprintf("Classes[%d].", n)
		check.requireUniqueName(prefix+"Name", names[n], seen)
		check.require(deadlines[n] > 0, prefix+"Deadline", "above 0")
		s.classes[names[n]] = n
	}
	if check.err != nil {
		return nil, fmt.Errorf("settings: %w", check.err)
	}
	return s, nil
}

// ClassByName returns the class with a name, or nil if there is none.
func (s *Settings) ClassByName(name string) *chalkrack.Class {
	if n := s.ClassIndex([]byte(name)); n >= 0 {
		return &s.Config.Classes[n]
	}
	return nil
}

// MaxDeadline returns the longest deadline of any class.
func (s *Settings) MaxDeadline() (d time.Duration) {
	for _, deadline := range s.Deadlines {
		d = max(d, deadline)
	}
	return d
}

// maxMicros is the maximum number of microseconds that a time.Duration can hold.
const maxMicros = math.MaxInt64 / int64(time.Microsecond)

// checker collects the first error of several checks.
type checker struct{ err error }

// require records an error for field unless ok holds.
func (c *checker) require(ok bool, field, want string, args ...any) {
	if !ok && c.err == nil {
		c.err = fmt.Errorf("%s must be "+want, append([]any{field}, args...)...)
	}
}

// requireMicros checks that each field is a number of microseconds that a time.Duration can hold.
func (c *checker) requireMicros(prefix string, fields map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		c.require(fields[name] >= 0 && fields[name] <= maxMicros, prefix+name, "within 0 and %d", maxMicros)
	}
}

// requireNonNegative checks that no field is negative.
func (c *checker) requireNonNegative(prefix string, fields map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		c.require(fields[name] >= 0, prefix+name, "0 or more")
	}
}

// requireOneOf checks that the value of field is one of known.
func (c *checker) requireOneOf(field, got string, known ...string) {
	c.require(slices.Contains(known, got), field, "one of %q, not %q", known, got)
}

// requireUniqueName checks that a name is neither empty nor in seen, and adds it to seen.
func (c *checker) requireUniqueName(field, got string, seen map[string]bool) {
	c.require(got != "" && !seen[got], field, "set and the only one of its kind, not %q", got)
	seen[got] = true
}

// validate returns an error that names the first invalid field. Unknown words are errors rather
// than replaced by a default, because requests would run twice if an effect were taken for
// 'repeatable' by mistake.
func (doc *document) validate() error {
	var c checker
	g := &doc.Guarantees
	c.requireMicros("caps.", map[string]int64{"maxRetryAfterUs": doc.Caps.MaxRetryAfterUs, "connIdleUs": doc.Caps.ConnIdleUs, "dialTimeoutUs": doc.Caps.DialTimeoutUs})
	c.requireMicros("guarantees.", map[string]int64{"askWithinUs": g.AskWithinUs, "coldUs": g.ColdUs, "drainGraceUs": g.DrainGraceUs, "overloadForUs": g.OverloadForUs})
	c.requireNonNegative("costs.", map[string]float64{"connection": doc.Costs.Connection, "crossZone": doc.Costs.CrossZone, "probe": doc.Costs.Probe, "waste": doc.Costs.Waste})
	c.requireNonNegative("", map[string]float64{"overShareWorth": doc.OverShareWorth})
	c.requireOneOf("registryMode", doc.RegistryMode, "", "automatic", "subscribe")
	c.require(doc.RegistryMode != "subscribe" || g.AskWithinUs > 0, "guarantees.askWithinUs", "above 0 where the list must be asked for")
	doc.validateClasses(&c)
	seen := make(map[string]bool)
	for n, t := range doc.Tenants {
		prefix := fmt.Sprintf("tenants[%d].", n)
		c.requireUniqueName(prefix+"name", t.Name, seen)
		c.requireNonNegative(prefix, map[string]float64{"allowancePerS": t.AllowancePerS})
	}
	return c.err
}

// validateClasses checks the classes. Only a class whose effect is by_key needs a dedupScope.
func (doc *document) validateClasses(c *checker) {
	seen := make(map[string]bool)
	for n, class := range doc.Classes {
		prefix := fmt.Sprintf("classes[%d].", n)
		c.requireUniqueName(prefix+"name", class.Name, seen)
		c.requireOneOf(prefix+"effect", class.Effect, "repeatable", "by_key", "once")
		scopes := []string{"all", "zone", "cell", ""}
		if class.Effect == "by_key" {
			scopes = scopes[:3]
		}
		c.requireOneOf(prefix+"dedupScope", class.DedupScope, scopes...)
		c.requireMicros(prefix, map[string]int64{"promiseUs": class.PromiseUs, "hardLimitUs": class.HardLimitUs, "repeatWindowUs": class.RepeatWindowUs})
		c.requireNonNegative(prefix, map[string]float64{"worth": class.Worth, "lateValue": class.LateValue})
	}
}

// DeadlineOf returns the deadline of a class. For an unknown class it returns the longest
// deadline of any class, at least one second.
func (s *Settings) DeadlineOf(name string) time.Duration {
	if n := s.ClassIndex([]byte(name)); n >= 0 {
		return s.Deadlines[n]
	}
	return max(s.MaxDeadline(), time.Second)
}

// ShortestAim returns the shortest target latency of any class.
func (s *Settings) ShortestAim() time.Duration {
	var d time.Duration
	for n, c := range s.Config.Classes {
		if n == 0 || c.Aim < d {
			d = c.Aim
		}
	}
	return d
}

// ClassIndex returns the index of a class in Config.Classes, or -1 if there is none of that name.
func (s *Settings) ClassIndex(name []byte) int { return indexOf(s.classes, name) }

// ClassNames returns the names of the classes, by index.
func (s *Settings) ClassNames() []string { return namesByIndex(s.classes) }

// namesByIndex returns the keys of indexes, ordered by their values.
func namesByIndex(indexes map[string]int) []string {
	names := make([]string, len(indexes))
	for name, n := range indexes {
		names[n] = name
	}
	return names
}

// TenantNames returns the names of the tenants, by index.
func (s *Settings) TenantNames() []string { return namesByIndex(s.tenants) }

// TenantIndex returns the index of a tenant in Config.Tenants, or -1 if there is none of that
// name.
func (s *Settings) TenantIndex(name []byte) int { return indexOf(s.tenants, name) }

// indexOf returns the index of a name, or -1 if it is unknown.
func indexOf(indexes map[string]int, name []byte) int {
	if n, ok := indexes[string(name)]; ok {
		return n
	}
	return -1
}

// newConfig converts a checked settings document to a Balancer's configuration.
func newConfig(doc *document) chalkrack.Config {
	cfg := chalkrack.Config{
		Instances:      doc.ReplicasOfMe,
		Zone:           doc.Zone,
		OverShareWorth: doc.OverShareWorth,
		MaxAttempts:    doc.Caps.AttemptsCap,
		MayCancel:      doc.Caps.MayCancel,
		SecondCopies:   doc.Caps.SecondCopies,
		WasteCost:      doc.Costs.Waste,
		Probes:         doc.Caps.Probes && doc.Feedback.How == "probe",
		ProbeCost:      doc.Costs.Probe,
		WarmKeys:       doc.FamilyInfo.WarmKeys,
		ConnectionCost: doc.Costs.Connection,
		CrossZoneCost:  doc.Costs.CrossZone,
		ColdFrom:       doc.Guarantees.ColdFrom,
		ColdFor:        microseconds(doc.Guarantees.ColdUs),
		OverloadFactor: doc.Guarantees.OverloadFactor,
		OverloadFor:    microseconds(doc.Guarantees.OverloadForUs),
	}
	if doc.RegistryMode == "subscribe" {
		cfg.AskWithin = microseconds(doc.Guarantees.AskWithinUs)
	}
	if doc.Caps.RetryAfter {
		cfg.MaxRetryAfter = microseconds(doc.Caps.MaxRetryAfterUs)
	}
	for _, t := range doc.Tenants {
		cfg.Tenants = append(cfg.Tenants, t.AllowancePerS)
	}
	for _, c := range doc.Classes {
		class := chalkrack.Class{
			Aim:       microseconds(c.PromiseUs),
			LateWorth: c.LateValue,
			Worth:     c.Worth,
			Window:    microseconds(c.RepeatWindowUs),
		}
		switch c.Effect {
		case "by_key":
			class.Effect = chalkrack.Keyed
		case "once":
			class.Effect = chalkrack.Unsafe
		}
		switch c.DedupScope {
		case "zone":
			class.Scope = chalkrack.ScopeZone
		case "cell":
			class.Scope = chalkrack.ScopeGroup
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	return cfg
}

// microseconds returns us microseconds as a Duration.
func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
