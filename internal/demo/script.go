package demo

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one action on a server.
type Step struct {
	At     time.Duration // since the clients started
	Verb   string        // freeze, thaw, kill, restart, drain or undrain
	Server int           // from 1
}

// verbByKey maps the keys that a user types to verbs.
var verbByKey = map[string]string{"f": "freeze", "t": "thaw", "k": "kill", "r": "restart", "d": "drain", "u": "undrain"}

// maxSteps is how many steps a script may have.
const maxSteps = 1000

// ParseScript parses steps that are separated by ';' or line ends, as in "2s freeze 3; 4s thaw 3",
// for the given number of servers. '#' begins a comment. It returns the steps sorted by time.
func ParseScript(text string, servers int) ([]Step, error) {
	var steps []Step
	for n, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ';' || r == '\n' }) {
		part, _, _ = strings.Cut(part, "#")
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		if len(words) != 3 {
			return nil, fmt.Errorf("step %d: %q: expected a time, a verb and a server", n+1, strings.TrimSpace(part))
		}
		at, err := time.ParseDuration(words[0])
		if err != nil || at < 0 || at > maxDuration {
			return nil, fmt.Errorf("step %d: %q is not a time from 0 to %v", n+1, words[0], maxDuration)
		}
		step, err := parseAction(words[1], words[2], servers)
		if err != nil {
			return nil, fmt.Errorf("step %d: %w", n+1, err)
		}
		step.At = at
		if steps = append(steps, step); len(steps) > maxSteps {
			return nil, fmt.Errorf("the script has more than %d steps", maxSteps)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

// ParseKeys parses a typed line, a verb's key and a server, as in "f2". The step has no time.
func ParseKeys(text string, servers int) (Step, error) {
	text = strings.TrimSpace(text)
	if len(text) < 2 || verbByKey[text[:1]] == "" {
		return Step{}, fmt.Errorf("%q: expected one of f t k r d u and a server, as in f2", text)
	}
	return parseAction(verbByKey[text[:1]], text[1:], servers)
}

// parseAction returns the step of a verb and a server, without a time.
func parseAction(verb, server string, servers int) (Step, error) {
	known := false
	for _, v := range verbByKey {
		known = known || v == verb
	}
	if !known {
		return Step{}, fmt.Errorf("verb %q is not one of freeze, thaw, kill, restart, drain and undrain", verb)
	}
	n, err := strconv.Atoi(server)
	if err != nil || n < 1 || n > servers {
		return Step{}, fmt.Errorf("%q is not a server from 1 to %d", server, servers)
	}
	return Step{Verb: verb, Server: n}, nil
}
