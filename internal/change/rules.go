package change

import (
	"fmt"
	"strings"
)

// transition is the change of one field, together with both complete configurations.
type transition struct {
	path                 string
	old, new             value
	oldFields, newFields fields
	use                  Usage
}

func (t *transition) added() bool   { return t.old == value{} }
func (t *transition) removed() bool { return t.new == value{} }

// rule refuses some changes of the fields that match accepts. check returns the reason for
// the refusal, or "" if the change may be made.
type rule struct {
	match func(path string) bool
	check func(*transition) (why string)
}

func field(name string) func(string) bool { return func(path string) bool { return path == name } }

// classField matches the field with this name of any class.
func classField(name string) func(string) bool {
	return func(path string) bool {
		_, rest, ok := bracketed(path, "settings.classes")
		return ok && rest == "."+name
	}
}

// refuseIncrease returns a check that refuses a greater number. An absent field counts as 0.
func refuseIncrease(why string) func(*transition) string {
	return func(t *transition) string {
		if t.new.number() > t.old.number() {
			return why
		}
		return ""
	}
}

// refuseDecrease returns a check that refuses a smaller number. An absent field counts as 0.
func refuseDecrease(why string) func(*transition) string {
	return func(t *transition) string {
		if t.new.number() < t.old.number() {
			return why
		}
		return ""
	}
}

// refuseHigherRank returns a check that refuses a word that comes later in order. An absent
// or unknown word ranks as the last one.
func refuseHigherRank(why string, order ...string) func(*transition) string {
	rank := func(text string) int {
		for n, o := range order {
			if text == o {
				return n
			}
		}
		return len(order) - 1
	}
	return func(t *transition) string {
		if rank(t.new.text) > rank(t.old.text) {
			return why
		}
		return ""
	}
}

// hasClass reports whether a configuration has a class.
func hasClass(f fields, class string) bool {
	_, ok := f["settings.classes["+class+"].name"]
	return ok
}

// effects are the effects of a class, from the one that allows the fewest repeats to the
// one that allows the most.
var effects = []string{"once", "by_key", "repeatable"}

func effectRank(f fields, class string) int {
	for n, e := range effects {
		if f["settings.classes["+class+"].effect"].text == e {
			return n
		}
	}
	return 0
}

// forKeyedClass applies a check only if the effect of the class is by_key before and after
// the change; a change of the effect has a rule of its own.
func forKeyedClass(check func(*transition) string) func(*transition) string {
	return func(t *transition) string {
		name, _, _ := bracketed(t.path, "settings.classes")
		at := "settings.classes[" + name + "].effect"
		if t.oldFields[at].text != "by_key" || t.newFields[at].text != "by_key" {
			return ""
		}
		return check(t)
	}
}

// refuseBelowUse returns a check that refuses a limit below what is in use.
func refuseBelowUse(resource string, used func(Usage) int) func(*transition) string {
	return func(t *transition) string {
		if n := used(t.use); n > 0 && t.new.number() < float64(n) && (t.new.number() > 0 || t.removed()) {
			return fmt.Sprintf("%d %s are in use", n, resource)
		}
		return ""
	}
}

// rules apply to a change of a running configuration, in addition to the validation of each
// configuration. Each guards one of the protocol's rules, or a promise that only the
// servers can extend.
var rules = []rule{
	{classField("effect"), func(t *transition) string {
		name, _, _ := bracketed(t.path, "settings.classes")
		if !hasClass(t.oldFields, name) || !hasClass(t.newFields, name) {
			return "" // a class that was added or removed
		}
		return refuseHigherRank("calls that ran once could run twice: retries and second copies would reach them", effects...)(t)
	}},
	{classField("repeatWindowUs"), forKeyedClass(refuseIncrease("servers drop repeats for as long as they promised, and no longer"))},
	{classField("dedupScope"), forKeyedClass(refuseHigherRank("a repeat would reach servers that do not know the first", "cell", "zone", "all"))},
	{field("settings.guarantees.drainGraceUs"), refuseIncrease("a draining server would get new calls for longer than the platform allows")},
	{field("settings.guarantees.coldFrom"), refuseIncrease("a cold server would be sent more than its capacity")},
	{field("settings.guarantees.coldUs"), refuseDecrease("a cold server would count as warm too early")},
	{field("settings.guarantees.overloadFactor"), refuseIncrease("a cold server could be overloaded")},
	{field("settings.guarantees.overloadForUs"), refuseIncrease("a cold server could be overloaded")},
	{field("settings.guarantees.askWithinUs"), func(t *transition) string {
		if t.new.number() == 0 && t.old.number() > 0 || t.new.number() > t.old.number() && t.old.number() > 0 {
			return "a server that left would count as told for longer than the platform allows"
		}
		return ""
	}},
	{field("settings.caps.connIdleUs"), refuseIncrease("servers close idle connections earlier: what must run once would be lost on them")},
	{field("settings.caps.mostHeld"), refuseBelowUse("held calls", func(u Usage) int { return u.Held })},
	{field("limits.memory_mb"), refuseBelowUse("MB", func(u Usage) int { return u.MemoryMB })},
	{field("limits.sockets"), refuseBelowUse("sockets", func(u Usage) int { return u.Sockets })},
	{func(path string) bool { return strings.HasPrefix(path, "features.paths[") }, func(t *transition) string {
		if t.added() || t.removed() { // without an entry the class is the first segment of the path
			path, _, _ := bracketed(t.path, "features.paths")
			first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
			if t.added() {
				t.old = value{text: first}
			} else {
				t.new = value{text: first}
			}
		}
		return refuseMoreRepeats(t)
	}},
	{func(path string) bool {
		_, rest, ok := bracketed(path, "features.routes")
		return ok && rest == ".class"
	}, refuseMoreRepeats},
	{field("features.radius.access.effect"), refuseHigherRank("access that was asked once could be asked twice", "once", "safe")},
	{field("features.radius.rest"), func(t *transition) string {
		if patience := max(t.oldFields["features.radius.access.patience"].number(), 0); t.new.number() < t.old.number() && t.new.number() < patience {
			return "a late answer could be taken for that to another call with the same identifier"
		}
		return ""
	}},
	{field("features.radius.remember_for"), func(t *transition) string {
		if t.new.number() < t.newFields["features.radius.accounting.deadline"].number() && t.new.number() < t.old.number() {
			return "an event would be forgotten before its deadline, and could be counted twice"
		}
		return ""
	}},
	{field("features.radius.unsigned_answers"), refuseUnsigned},
	{func(path string) bool {
		_, rest, ok := bracketed(path, "features.radius.clients")
		return ok && rest == ".unsigned"
	}, func(t *transition) string {
		if t.added() {
			return "" // an added range of clients
		}
		return refuseUnsigned(t)
	}},
	{field("features.radius.remember_file"), func(t *transition) string {
		if t.removed() {
			return "events that come again after a start would be counted twice"
		}
		return ""
	}},
}

// refuseMoreRepeats refuses to replace a class with one whose effect allows more repeats.
func refuseMoreRepeats(t *transition) string {
	if hasClass(t.oldFields, t.old.text) && hasClass(t.newFields, t.new.text) && effectRank(t.newFields, t.new.text) > effectRank(t.oldFields, t.old.text) {
		return fmt.Sprintf("calls of %s that ran once could run twice as %s", t.old.text, t.new.text)
	}
	return ""
}

func refuseUnsigned(t *transition) string {
	if t.new.text == "true" {
		return "packets that were authenticated could be forged (CVE-2024-3596)"
	}
	return ""
}
