// Package settings reads the settings of a deployment into what the balancer
// and its hosts need of them, so that all hosts share one mapping.
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

// Settings is what a deployment's settings say.
type Settings struct {
	Config    chalkrack.Config
	Deadlines []time.Duration // by class: how long a client waits at most

	// What only a host on real sockets needs.
	ConnIdle    time.Duration // a server closes a connection that has been idle for so long
	DialTimeout time.Duration
	DrainGrace  time.Duration
	MaxHeld     int // requests held at once

	classes, tenants map[string]int
}

// env is the settings object; keys that have no use here are skipped.
type env struct {
	Caps struct {
		AttemptsCap     int
		MayCancel       bool
		SecondCopies    bool
		Probes          bool
		MaxRetryAfterUs int64
		RetryAfter      bool
		ConnIdleUs      int64
		DialTimeoutUs   int64
		MaxHeld         int `json:"mostHeld"` // the platform's word
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

// Parse reads the settings object. Errors name the field.
func Parse(data []byte) (*Settings, error) {
	var e env
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{
		Config:      config(&e),
		ConnIdle:    micros(e.Caps.ConnIdleUs),
		DialTimeout: micros(e.Caps.DialTimeoutUs),
		DrainGrace:  micros(e.Guarantees.DrainGraceUs),
		MaxHeld:     e.Caps.MaxHeld,
		classes:     make(map[string]int),
		tenants:     make(map[string]int),
	}
	for n, c := range e.Classes {
		s.classes[c.Name] = n
		s.Deadlines = append(s.Deadlines, micros(c.HardLimitUs))
	}
	for n, t := range e.Tenants {
		s.tenants[t.Name] = n
	}
	return s, nil
}

// New returns settings that a program states itself, with a name and a deadline for
// each class of cfg. The rest is for the caller to set.
func New(cfg chalkrack.Config, names []string, deadlines []time.Duration) (*Settings, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := checker{}
	seen := make(map[string]bool)
	s := &Settings{Config: cfg, Deadlines: deadlines, classes: make(map[string]int)}
	for n := range cfg.Classes {
		at := fmt.Sprintf("Classes[%d].", n)
		c.name(at+"Name", names[n], seen)
		c.need(deadlines[n] > 0, at+"Deadline", "above 0")
		s.classes[names[n]] = n
	}
	if c.err != nil {
		return nil, fmt.Errorf("settings: %w", c.err)
	}
	return s, nil
}

// ClassOf is what is known of a class, nil if there is none of that name.
func (s *Settings) ClassOf(name string) *chalkrack.Class {
	if n := s.Class([]byte(name)); n >= 0 {
		return &s.Config.Classes[n]
	}
	return nil
}

// Longest is the longest time that a client waits.
func (s *Settings) Longest() (d time.Duration) {
	for _, own := range s.Deadlines {
		d = max(d, own)
	}
	return d
}

// usMost is the longest time in microseconds that a Duration holds.
const usMost = math.MaxInt64 / int64(time.Microsecond)

// checker keeps the first complaint.
type checker struct{ err error }

func (c *checker) need(ok bool, field, want string, args ...any) {
	if !ok && c.err == nil {
		c.err = fmt.Errorf("%s must be "+want, append([]any{field}, args...)...)
	}
}

func (c *checker) times(prefix string, fields map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		c.need(fields[name] >= 0 && fields[name] <= usMost, prefix+name, "within 0 and %d", usMost)
	}
}

func (c *checker) amounts(prefix string, fields map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		c.need(fields[name] >= 0, prefix+name, "0 or more")
	}
}

func (c *checker) word(field, got string, known ...string) {
	c.need(slices.Contains(known, got), field, "one of %q, not %q", known, got)
}

func (c *checker) name(field, got string, seen map[string]bool) {
	c.need(got != "" && !seen[got], field, "set and the only one of its kind, not %q", got)
	seen[got] = true
}

// check says which field can't be used. Guards above all against a word that is not
// known: an effect taken for 'repeatable' would have requests run twice.
func (e *env) check() error {
	var c checker
	g := &e.Guarantees
	c.times("caps.", map[string]int64{"maxRetryAfterUs": e.Caps.MaxRetryAfterUs, "connIdleUs": e.Caps.ConnIdleUs, "dialTimeoutUs": e.Caps.DialTimeoutUs})
	c.times("guarantees.", map[string]int64{"askWithinUs": g.AskWithinUs, "coldUs": g.ColdUs, "drainGraceUs": g.DrainGraceUs, "overloadForUs": g.OverloadForUs})
	c.amounts("costs.", map[string]float64{"connection": e.Costs.Connection, "crossZone": e.Costs.CrossZone, "probe": e.Costs.Probe, "waste": e.Costs.Waste})
	c.amounts("", map[string]float64{"overShareWorth": e.OverShareWorth})
	c.word("registryMode", e.RegistryMode, "", "automatic", "subscribe")
	c.need(e.RegistryMode != "subscribe" || g.AskWithinUs > 0, "guarantees.askWithinUs", "above 0 where the list must be asked for")
	e.checkClasses(&c)
	seen := make(map[string]bool)
	for n, t := range e.Tenants {
		at := fmt.Sprintf("tenants[%d].", n)
		c.name(at+"name", t.Name, seen)
		c.amounts(at, map[string]float64{"allowancePerS": t.AllowancePerS})
	}
	return c.err
}

func (e *env) checkClasses(c *checker) {
	seen := make(map[string]bool)
	for n, class := range e.Classes {
		at := fmt.Sprintf("classes[%d].", n)
		c.name(at+"name", class.Name, seen)
		c.word(at+"effect", class.Effect, "repeatable", "by_key", "once")
		scopes := []string{"all", "zone", "cell", ""}
		if class.Effect == "by_key" {
			scopes = scopes[:3]
		}
		c.word(at+"dedupScope", class.DedupScope, scopes...)
		c.times(at, map[string]int64{"promiseUs": class.PromiseUs, "hardLimitUs": class.HardLimitUs, "repeatWindowUs": class.RepeatWindowUs})
		c.amounts(at, map[string]float64{"worth": class.Worth, "lateValue": class.LateValue})
	}
}

// DeadlineOf is a class's own deadline, that of the longest for one unknown.
func (s *Settings) DeadlineOf(name string) time.Duration {
	if n := s.Class([]byte(name)); n >= 0 {
		return s.Deadlines[n]
	}
	return max(s.Longest(), time.Second)
}

// ShortestAim is the shortest time within which a class of requests wants its answer.
func (s *Settings) ShortestAim() time.Duration {
	var d time.Duration
	for n, c := range s.Config.Classes {
		if n == 0 || c.Aim < d {
			d = c.Aim
		}
	}
	return d
}

// Class is the place of a class, -1 if there is none of that name.
func (s *Settings) Class(name []byte) int { return index(s.classes, name) }

// Names are the classes' names, by their places.
func (s *Settings) Names() []string { return byPlace(s.classes) }

func byPlace(places map[string]int) []string {
	names := make([]string, len(places))
	for name, n := range places {
		names[n] = name
	}
	return names
}

// TenantNames are the tenants' names, by their places.
func (s *Settings) TenantNames() []string { return byPlace(s.tenants) }

// Tenant is the place of a tenant, -1 if there is none of that name.
func (s *Settings) Tenant(name []byte) int { return index(s.tenants, name) }

func index(places map[string]int, name []byte) int {
	if n, ok := places[string(name)]; ok {
		return n
	}
	return -1
}

func config(e *env) chalkrack.Config {
	cfg := chalkrack.Config{
		Instances:      e.ReplicasOfMe,
		Zone:           e.Zone,
		OverShareWorth: e.OverShareWorth,
		MaxAttempts:    e.Caps.AttemptsCap,
		MayCancel:      e.Caps.MayCancel,
		SecondCopies:   e.Caps.SecondCopies,
		WasteCost:      e.Costs.Waste,
		Probes:         e.Caps.Probes && e.Feedback.How == "probe",
		ProbeCost:      e.Costs.Probe,
		WarmKeys:       e.FamilyInfo.WarmKeys,
		ConnectionCost: e.Costs.Connection,
		CrossZoneCost:  e.Costs.CrossZone,
		ColdFrom:       e.Guarantees.ColdFrom,
		ColdFor:        micros(e.Guarantees.ColdUs),
		OverloadFactor: e.Guarantees.OverloadFactor,
		OverloadFor:    micros(e.Guarantees.OverloadForUs),
	}
	if e.RegistryMode == "subscribe" {
		cfg.AskWithin = micros(e.Guarantees.AskWithinUs)
	}
	if e.Caps.RetryAfter {
		cfg.MaxRetryAfter = micros(e.Caps.MaxRetryAfterUs)
	}
	for _, t := range e.Tenants {
		cfg.Tenants = append(cfg.Tenants, t.AllowancePerS)
	}
	for _, c := range e.Classes {
		class := chalkrack.Class{
			Aim:       micros(c.PromiseUs),
			LateWorth: c.LateValue,
			Worth:     c.Worth,
			Window:    micros(c.RepeatWindowUs),
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

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
