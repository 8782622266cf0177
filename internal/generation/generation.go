// Package generation tracks which configurations a process serves under while one
// replaces another. It has no I/O, clock, random source or goroutines.
//
// Each core of the process has a Machine. Cores that change together prepare the change first, so
// that all of them take it or none does, and report to one Judge.
//
// A generation is one configuration. A call is assigned to a generation when it arrives
// and keeps it until it ends. During a trial, two generations take calls and a judge
// (package configtrial) compares them. State that all calls share (cold servers, what
// was learned per class) follows the stricter rules of the two.
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

// Generation is one configuration that calls are served under. It is immutable once New
// or Machine.Prepare has taken it.
type Generation struct {
	ID       int // assigned by the owner
	Settings *settings.Settings
	// Paths maps exact request paths to classes. For any other path the first segment
	// is the class.
	Paths map[string]string
	// PassClientErrors passes a server's 4xx response on as the response to the call.
	PassClientErrors bool

	// rules is Settings.Config with classes and tenants at the process's indexes.
	rules            chalkrack.Config
	classes, tenants map[string]int
}

// WithSettings returns the generation with other settings, for a core that has some of its own.
func (g *Generation) WithSettings(s *settings.Settings) *Generation {
	return &Generation{ID: g.ID, Settings: s, Paths: g.Paths, PassClientErrors: g.PassClientErrors}
}

// Rules returns the configuration of the decision module for calls under g.
func (g *Generation) Rules() *chalkrack.Config { return &g.rules }

// Class returns the index of a class, or -1 if g does not have it.
func (g *Generation) Class(name string) int { return indexOf(g.classes, name) }

// Tenant returns the index of a tenant, or -1 if g does not have it.
func (g *Generation) Tenant(name string) int { return indexOf(g.tenants, name) }

func indexOf(indexes map[string]int, name string) int {
	if n, ok := indexes[name]; ok {
		return n
	}
	return -1
}

// ClassOfPath returns the class that a request path names, through Paths or its first
// segment. The class may be unknown to g.
func (g *Generation) ClassOfPath(path string) string {
	if class, ok := g.Paths[path]; ok {
		return class
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return class
}

// maxNames is the maximum number of distinct class names, and of tenant names, over the
// life of a process, because the learned state of each name is kept.
const maxNames = 1024

// ErrTooManyNames reports that a generation would bring the process over its limit of
// distinct class or tenant names.
var ErrTooManyNames = errors.New("generation: over 1024 classes or tenants since the start of the process; a restart removes unused ones")

// nameTable assigns each class and tenant name an index for the life of the process, so
// that the learned state of a name carries over to the next generation and is there again
// after an undo.
type nameTable struct {
	classes, tenants []string
	// lastClasses holds the latest settings of each class, used at the indexes of classes
	// that a generation does not have.
	lastClasses []chalkrack.Class
}

// withGeneration returns a copy of t with the generation's names added, and sets the
// generation's rules and indexes. It does not change t. An error says that there are too
// many names or that the rules are invalid.
func (t nameTable) withGeneration(g *Generation) (nameTable, error) {
	set := g.Settings
	next := nameTable{slices.Clone(t.classes), slices.Clone(t.tenants), slices.Clone(t.lastClasses)}
	g.rules = set.Config
	g.classes, g.tenants = make(map[string]int), make(map[string]int)
	for n, name := range set.ClassNames() {
		i := slices.Index(next.classes, name)
		if i < 0 {
			i = len(next.classes)
			next.classes, next.lastClasses = append(next.classes, name), append(next.lastClasses, set.Config.Classes[n])
		}
		next.lastClasses[i], g.classes[name] = set.Config.Classes[n], i
	}
	names := set.TenantNames()
	for _, name := range names {
		i := slices.Index(next.tenants, name)
		if i < 0 {
			i = len(next.tenants)
			next.tenants = append(next.tenants, name)
		}
		g.tenants[name] = i
	}
	if len(next.classes) > maxNames || len(next.tenants) > maxNames {
		return t, ErrTooManyNames
	}
	g.rules.Classes = slices.Clone(next.lastClasses)
	g.rules.Tenants = make([]float64, len(next.tenants))
	for n, name := range names {
		g.rules.Tenants[g.tenants[name]] = set.Config.Tenants[n]
	}
	if err := g.rules.Validate(); err != nil {
		return t, fmt.Errorf("generation: %w", err)
	}
	return next, nil
}

// stricterRules returns the decision module's configuration while two generations take
// calls: for cold servers, overload, probes, discovery queries and the cost of wasted
// copies the stricter value of the two, for all else that of next. next must have the
// classes and tenants of both at their indexes.
func stricterRules(running, next *chalkrack.Config) chalkrack.Config {
	rules := *next
	rules.ColdFrom = min(running.ColdFrom, next.ColdFrom)
	rules.ColdFor = max(running.ColdFor, next.ColdFor)
	rules.OverloadFactor = min(running.OverloadFactor, next.OverloadFactor)
	rules.OverloadFor = min(running.OverloadFor, next.OverloadFor)
	rules.WasteCost = max(running.WasteCost, next.WasteCost)
	rules.Probes = running.Probes && next.Probes
	if running.AskWithin > 0 && next.AskWithin > 0 {
		rules.AskWithin = min(running.AskWithin, next.AskWithin)
	} else {
		rules.AskWithin = cmp.Or(running.AskWithin, next.AskWithin)
	}
	return rules
}
