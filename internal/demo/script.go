package demo

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one thing that happens to a server.
type Step struct {
	At     time.Duration // since the clients began
	Verb   string        // of verbs
	Server int           // from 1
}

// verbs are what can be done to a server, by their keys.
var verbs = map[string]string{"f": "freeze", "t": "thaw", "k": "kill", "r": "restart", "d": "drain", "u": "undrain"}

// stepsMost bounds a script.
const stepsMost = 1000

// ParseScript reads steps, with ';' or line ends between: '2s freeze 3; 4s thaw 3'. They
// are returned in the order of their times.
func ParseScript(text string, servers int) ([]Step, error) {
	var steps []Step
	for n, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ';' || r == '\n' }) {
		part, _, _ = strings.Cut(part, "#")
		words := strings.Fields(part)
		if len(words) == 0 {
			continue
		}
		if len(words) != 3 {
			return nil, fmt.Errorf("step %d: %q: want a time, a verb and a server", n+1, strings.TrimSpace(part))
		}
		at, err := time.ParseDuration(words[0])
		if err != nil || at < 0 || at > durationMost {
			return nil, fmt.Errorf("step %d: %q is no time within 0 and %v", n+1, words[0], durationMost)
		}
		step, err := parseDeed(words[1], words[2], servers)
		if err != nil {
			return nil, fmt.Errorf("step %d: %w", n+1, err)
		}
		step.At = at
		if steps = append(steps, step); len(steps) > stepsMost {
			return nil, fmt.Errorf("over %d steps", stepsMost)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

// ParseKeys reads what is typed: a verb's key and a server ('f2').
func ParseKeys(text string, servers int) (Step, error) {
	text = strings.TrimSpace(text)
	if len(text) < 2 || verbs[text[:1]] == "" {
		return Step{}, fmt.Errorf("%q: want one of f t k r d u and a server, as in f2", text)
	}
	return parseDeed(verbs[text[:1]], text[1:], servers)
}

func parseDeed(verb, server string, servers int) (Step, error) {
	known := false
	for _, v := range verbs {
		known = known || v == verb
	}
	if !known {
		return Step{}, fmt.Errorf("%q is none of freeze, thaw, kill, restart, drain and undrain", verb)
	}
	n, err := strconv.Atoi(server)
	if err != nil || n < 1 || n > servers {
		return Step{}, fmt.Errorf("%q is no server from 1 to %d", server, servers)
	}
	return Step{Verb: verb, Server: n}, nil
}
