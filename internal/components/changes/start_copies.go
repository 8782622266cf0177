package changes

import (
	"fmt"
	"strings"

	"chalkrack/internal/change"
	"chalkrack/internal/features"
)

// startCopy is a part of the sidecar that goes on by settings as they were at its start. A change of them
// would be in force for some calls only, so it is refused while the part is on.
type startCopy struct {
	section string
	isOn    func(*features.File) bool
	copies  func(field string) bool
}

var startCopies = []startCopy{
	{"radius", func(f *features.File) bool { return f.Radius.Enabled }, func(field string) bool { return strings.HasPrefix(field, "settings.") }},
	{"bodies", func(f *features.File) bool { return f.Bodies.Enabled }, isName},
	{"level", func(f *features.File) bool { return f.Level.Enabled }, func(field string) bool {
		return isName(field) || isWorth(field) || field == "settings.caps.maxRetryAfterUs"
	}},
	{"zones", func(f *features.File) bool { return f.Zones.Enabled }, func(field string) bool { return isName(field) || isWorth(field) || field == rankField }},
	{"duty", func(f *features.File) bool { return f.Duty.Enabled }, func(field string) bool { return field == rankField }},
}

const rankField = "settings.rank"

// isName reports whether a field adds or removes a class or a tenant.
func isName(field string) bool {
	return strings.HasPrefix(field, "settings.") && strings.HasSuffix(field, "].name")
}

// isWorth reports whether a field is the worth of a class.
func isWorth(field string) bool {
	return strings.HasPrefix(field, "settings.classes[") && strings.HasSuffix(field, "].worth")
}

// checkStartCopies returns why changes must wait for the next start, although the cores could take them.
func checkStartCopies(running *features.File, all []change.Change) (why []error) {
	for _, ch := range all {
		if !ch.Live {
			continue
		}
		for _, part := range startCopies {
			if part.isOn(running) && part.copies(ch.Field) {
				why = append(why, fmt.Errorf("%s: %s -> %s: [%s] depends on it and %w", ch.Field, ch.Old, ch.New, part.section, errNeedsRestart))
			}
		}
	}
	return why
}
