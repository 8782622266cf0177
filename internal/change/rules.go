package change

import (
	"fmt"
	"strings"
)

// way is a field's way from one value to another, within both configurations.
type way struct {
	path     string
	old, new value
	was, is  fields
	use      Use
}

func (w *way) added() bool   { return w.old == value{} }
func (w *way) removed() bool { return w.new == value{} }

// rule says what of a field's changes must not be made.
type rule struct {
	match func(path string) bool
	wrong func(*way) (why string)
}

func field(name string) func(string) bool { return func(path string) bool { return path == name } }

// class matches a field of any class.
func class(name string) func(string) bool {
	return func(path string) bool {
		_, rest, ok := between(path, "settings.classes")
		return ok && rest == "."+name
	}
}

// rises refuses more, falls less; and both what takes a promise away.
func rises(why string) func(*way) string {
	return func(w *way) string {
		if w.new.number() > w.old.number() {
			return why
		}
		return ""
	}
}

func falls(why string) func(*way) string {
	return func(w *way) string {
		if w.new.number() < w.old.number() {
			return why
		}
		return ""
	}
}

// inOrder refuses a step up in an order of words. What is not there, or in another
// word, is the last of them.
func inOrder(why string, order ...string) func(*way) string {
	rank := func(text string) int {
		for n, o := range order {
			if text == o {
				return n
			}
		}
		return len(order) - 1
	}
	return func(w *way) string {
		if rank(w.new.text) > rank(w.old.text) {
			return why
		}
		return ""
	}
}

// known says whether a class is in a configuration.
func known(f fields, class string) bool {
	_, ok := f["settings.classes["+class+"].name"]
	return ok
}

// effects from that which allows least to that which allows most.
var effects = []string{"once", "by_key", "repeatable"}

func effectRank(f fields, class string) int {
	for n, e := range effects {
		if f["settings.classes["+class+"].effect"].text == e {
			return n
		}
	}
	return 0
}

// ofKeyed holds for a class that repeats by its key before and after: its effect has a
// rule of its own.
func ofKeyed(wrong func(*way) string) func(*way) string {
	return func(w *way) string {
		name, _, _ := between(w.path, "settings.classes")
		at := "settings.classes[" + name + "].effect"
		if w.was[at].text != "by_key" || w.is[at].text != "by_key" {
			return ""
		}
		return wrong(w)
	}
}

// below refuses a limit under what is in use.
func below(what string, used func(Use) int) func(*way) string {
	return func(w *way) string {
		if n := used(w.use); n > 0 && w.new.number() < float64(n) && (w.new.number() > 0 || w.removed()) {
			return fmt.Sprintf("%d %s are in use", n, what)
		}
		return ""
	}
}

// rules are what a change of a running configuration is held to, beside what each
// configuration is held to alone. Each guards one of the protocol's rules, or a promise
// of the servers that only they can widen.
var rules = []rule{
	{class("effect"), func(w *way) string {
		name, _, _ := between(w.path, "settings.classes")
		if !known(w.was, name) || !known(w.is, name) {
			return "" // a class that is new, or gone
		}
		return inOrder("calls that ran once could run twice: retries and second copies would reach them", effects...)(w)
	}},
	{class("repeatWindowUs"), ofKeyed(rises("servers drop repeats for as long as they promised, and no longer"))},
	{class("dedupScope"), ofKeyed(inOrder("a repeat would reach servers that do not know the first", "cell", "zone", "all"))},
	{field("settings.guarantees.drainGraceUs"), rises("a draining server would get new calls for longer than the platform allows")},
	{field("settings.guarantees.coldFrom"), rises("a cold server would be sent more than it can do")},
	{field("settings.guarantees.coldUs"), falls("a cold server would count as warm too early")},
	{field("settings.guarantees.overloadFactor"), rises("a cold server could be pushed over")},
	{field("settings.guarantees.overloadForUs"), rises("a cold server could be pushed over")},
	{field("settings.guarantees.askWithinUs"), func(w *way) string {
		if w.new.number() == 0 && w.old.number() > 0 || w.new.number() > w.old.number() && w.old.number() > 0 {
			return "a server that left would count as told for longer than the platform allows"
		}
		return ""
	}},
	{field("settings.caps.connIdleUs"), rises("servers close idle connections earlier: what must run once would be lost on them")},
	{field("settings.caps.mostHeld"), below("held calls", func(u Use) int { return u.Held })},
	{field("limits.memory_mb"), below("MB", func(u Use) int { return u.MemoryMB })},
	{field("limits.sockets"), below("sockets", func(u Use) int { return u.Sockets })},
	{func(path string) bool { return strings.HasPrefix(path, "features.paths[") }, func(w *way) string {
		if w.added() || w.removed() { // then the class is the first part of the path, as it stands
			path, _, _ := between(w.path, "features.paths")
			first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
			if w.added() {
				w.old = value{text: first}
			} else {
				w.new = value{text: first}
			}
		}
		return weaker(w)
	}},
	{func(path string) bool {
		_, rest, ok := between(path, "features.routes")
		return ok && rest == ".class"
	}, weaker},
	{field("features.radius.access.effect"), inOrder("access that was asked once could be asked twice", "once", "safe")},
	{field("features.radius.rest"), func(w *way) string {
		if patience := max(w.was["features.radius.access.patience"].number(), 0); w.new.number() < w.old.number() && w.new.number() < patience {
			return "a late answer could meet another call under its identifier"
		}
		return ""
	}},
	{field("features.radius.remember_for"), func(w *way) string {
		if w.new.number() < w.is["features.radius.accounting.deadline"].number() && w.new.number() < w.old.number() {
			return "an event would be forgotten within the time that it may take, and counted twice"
		}
		return ""
	}},
	{field("features.radius.unsigned_answers"), unsigned},
	{func(path string) bool {
		_, rest, ok := between(path, "features.radius.clients")
		return ok && rest == ".unsigned"
	}, func(w *way) string {
		if w.added() {
			return "" // a new range of clients
		}
		return unsigned(w)
	}},
	{field("features.radius.remember_file"), func(w *way) string {
		if w.removed() {
			return "events that come again after a start would be counted twice"
		}
		return ""
	}},
}

// weaker refuses a class in another's place whose calls may be repeated where the other's
// may not.
func weaker(w *way) string {
	if known(w.was, w.old.text) && known(w.is, w.new.text) && effectRank(w.is, w.new.text) > effectRank(w.was, w.old.text) {
		return fmt.Sprintf("calls of %s that ran once could run twice as %s", w.old.text, w.new.text)
	}
	return ""
}

func unsigned(w *way) string {
	if w.new.text == "true" {
		return "packets that were vouched for could be forged (CVE-2024-3596)"
	}
	return ""
}
