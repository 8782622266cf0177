// Package generation holds which configurations a process serves under while one takes
// another's place. It has no I/O, clock, chance or goroutines.
//
// A generation is one configuration. A call is stamped with one when it comes and lives
// under it to its end. While a change is on trial two generations take calls, and a judge
// (package bake) holds them against each other; what all calls share (the cold servers,
// the learned state by class) is held to the stricter of both.
package generation

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"chalkrack"
	"chalkrack/internal/settings"
)

// Generation is one configuration that calls live under. Nothing in it changes.
type Generation struct {
	ID       int // as its owner numbers them
	Settings *settings.Settings
	// Paths has the class of requests to exact paths. Elsewhere the first part of the
	// path is the class.
	Paths map[string]string
	// PassClientErrors takes a server's answer of 4xx as the call's answer.
	PassClientErrors bool

	// rules are the Settings' with classes and tenants at their places.
	rules            chalkrack.Config
	classes, tenants map[string]int
}

// Rules are what the decision module is told of a call that lives under g.
func (g *Generation) Rules() *chalkrack.Config { return &g.rules }

// Class is the place of a class, Tenant that of a tenant; -1 if g does not know it.
func (g *Generation) Class(name string) int { return at(g.classes, name) }

// Tenant is the place of a tenant, -1 for one that is not known.
func (g *Generation) Tenant(name string) int { return at(g.tenants, name) }

func at(places map[string]int, name string) int {
	if n, ok := places[name]; ok {
		return n
	}
	return -1
}

// ClassOfPath is the class that a path names, by Paths or by its first part; it may be
// none that g knows.
func (g *Generation) ClassOfPath(path string) string {
	if class, ok := g.Paths[path]; ok {
		return class
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return class
}

// placesMost bounds the names of classes, and of tenants, that a process may meet in its
// life: what was learned of each is kept.
const placesMost = 1024

// ErrPlaces says that a process has met more names than it can keep apart.
var ErrPlaces = errors.New("generation: over 1024 classes or tenants since the start: a start forgets those that are gone")

// places give each name a place for the life of the process, so that what was learned of
// a class or a tenant goes over to the next generation, and comes back at an undo.
type places struct {
	classes, tenants []string
	// last is what each class was last, for the places of those that a generation lacks.
	last []chalkrack.Class
}

// with returns the places with a generation's names added, and fills the generation in.
// It changes nothing of p.
func (p places) with(g *Generation) (places, error) {
	s := g.Settings
	next := places{slices.Clone(p.classes), slices.Clone(p.tenants), slices.Clone(p.last)}
	g.rules = s.Config
	g.classes, g.tenants = make(map[string]int), make(map[string]int)
	for n, name := range s.Names() {
		i := slices.Index(next.classes, name)
		if i < 0 {
			i = len(next.classes)
			next.classes, next.last = append(next.classes, name), append(next.last, s.Config.Classes[n])
		}
		next.last[i], g.classes[name] = s.Config.Classes[n], i
	}
	names := s.TenantNames()
	for _, name := range names {
		i := slices.Index(next.tenants, name)
		if i < 0 {
			i = len(next.tenants)
			next.tenants = append(next.tenants, name)
		}
		g.tenants[name] = i
	}
	if len(next.classes) > placesMost || len(next.tenants) > placesMost {
		return p, ErrPlaces
	}
	g.rules.Classes = slices.Clone(next.last)
	g.rules.Tenants = make([]float64, len(next.tenants))
	for n, name := range names {
		g.rules.Tenants[g.tenants[name]] = s.Config.Tenants[n]
	}
	if err := g.rules.Validate(); err != nil {
		return p, fmt.Errorf("generation: %w", err)
	}
	return next, nil
}

// stricter is what the decision module is told while two generations take calls: rules on
// cold servers, and the waste of copies, that keep to both; of the rest those of next.
// The classes and tenants of both have their places in next.
func stricter(running, next *chalkrack.Config) chalkrack.Config {
	g := *next
	g.ColdFrom = min(running.ColdFrom, next.ColdFrom)
	g.ColdFor = max(running.ColdFor, next.ColdFor)
	g.OverloadFactor = min(running.OverloadFactor, next.OverloadFactor)
	g.OverloadFor = min(running.OverloadFor, next.OverloadFor)
	g.WasteCost = max(running.WasteCost, next.WasteCost)
	g.Probes = running.Probes && next.Probes
	if running.AskWithin > 0 && next.AskWithin > 0 {
		g.AskWithin = min(running.AskWithin, next.AskWithin)
	} else {
		g.AskWithin = cmp.Or(running.AskWithin, next.AskWithin)
	}
	return g
}
