package haproxy

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Truth is the value of a condition in three-valued logic.
type Truth int

const (
	False Truth = iota
	True
	// Unknown is the value of a condition that depends on the HAProxy that reads the file: its
	// version, build options or libraries.
	Unknown
)

// String returns "false", "true" or "unknown".
func (t Truth) String() string { return [...]string{"false", "true", "unknown"}[t] }

// not returns the negation; the negation of Unknown is Unknown.
func (t Truth) not() Truth {
	if t == Unknown {
		return Unknown
	}
	return 1 - t
}

// and returns Kleene's conjunction: if an operand is Unknown, it is Unknown unless the other
// operand is False.
func (t Truth) and(u Truth) Truth {
	switch {
	case t == False || u == False:
		return False
	case t == Unknown || u == Unknown:
		return Unknown
	}
	return True
}

// or returns Kleene's disjunction: if an operand is Unknown, it is Unknown unless the other
// operand is True.
func (t Truth) or(u Truth) Truth { return t.not().and(u.not()).not() }

// maxConditionDepth limits the nesting of parentheses and negations in a condition, and of
// conditional blocks.
const maxConditionDepth = 32

// Evaluate returns the value of a conditional block's condition (section 2.4 of the manual).
// version is that of the HAProxy that the file is written for, such as "2.8.3"; empty: unknown.
// It returns an error if the condition can't be parsed.
func Evaluate(condition, version string, env Env) (Truth, error) {
	p := &conditionParser{text: condition, version: version, env: env}
	p.skipSpace()
	if p.offset == len(p.text) { // the manual: "an empty string is false"
		return False, nil
	}
	t, err := p.parseOr(0)
	if err == nil && p.offset < len(p.text) {
		err = fmt.Errorf("unexpected %q after the condition", p.text[p.offset:])
	}
	return t, err
}

// conditionParser evaluates a condition while it parses it by recursive descent.
type conditionParser struct {
	text, version string
	offset        int
	env           Env
}

// skipSpace advances past spaces and tabs.
func (p *conditionParser) skipSpace() {
	for p.offset < len(p.text) && (p.text[p.offset] == ' ' || p.text[p.offset] == '\t') {
		p.offset++
	}
}

// acceptToken advances past the token and the space around it if it comes next, and returns
// whether it did.
func (p *conditionParser) acceptToken(token string) bool {
	p.skipSpace()
	if strings.HasPrefix(p.text[p.offset:], token) {
		p.offset += len(token)
		p.skipSpace()
		return true
	}
	return false
}

// parseOr parses terms joined by && and ||; && binds more tightly.
func (p *conditionParser) parseOr(depth int) (Truth, error) {
	t, err := p.parseAnd(depth)
	for err == nil && p.acceptToken("||") {
		var u Truth
		u, err = p.parseAnd(depth)
		t = t.or(u)
	}
	return t, err
}

// parseAnd parses terms joined by &&.
func (p *conditionParser) parseAnd(depth int) (Truth, error) {
	t, err := p.parseTerm(depth)
	for err == nil && p.acceptToken("&&") {
		var u Truth
		u, err = p.parseTerm(depth)
		t = t.and(u)
	}
	return t, err
}

// parseTerm parses a negation, a condition in parentheses, an integer or a predicate.
func (p *conditionParser) parseTerm(depth int) (Truth, error) {
	if depth > maxConditionDepth {
		return False, errors.New("parentheses or negations are nested too deeply")
	}
	switch {
	case p.acceptToken("!"):
		t, err := p.parseTerm(depth + 1)
		return t.not(), err
	case p.acceptToken("("):
		t, err := p.parseOr(depth + 1)
		if err == nil && !p.acceptToken(")") {
			err = errors.New("missing closing parenthesis")
		}
		return t, err
	}
	start := p.offset
	for p.offset < len(p.text) && (isNameByte(p.text[p.offset], false) || p.text[p.offset] == '-') {
		p.offset++
	}
	word := p.text[start:p.offset]
	if n, err := strconv.ParseInt(word, 10, 64); err == nil {
		p.skipSpace()
		return truthOf(n != 0), nil
	}
	if word == "" || !p.acceptToken("(") {
		return False, fmt.Errorf("%q is not a condition", p.text[start:])
	}
	end := strings.IndexByte(p.text[p.offset:], ')')
	if end < 0 {
		return False, errors.New("missing closing parenthesis")
	}
	args := strings.Split(p.text[p.offset:p.offset+end], ",")
	p.offset += end + 1
	p.skipSpace()
	for n := range args {
		args[n] = strings.TrimSpace(args[n])
	}
	return p.evaluatePredicate(word, args)
}

func truthOf(value bool) Truth {
	if value {
		return True
	}
	return False
}

// predicateArity is the number of arguments of each predicate.
var predicateArity = map[string]int{"defined": 1, "feature": 1, "enabled": 1, "streq": 2, "strneq": 2, "strstr": 2, "version_atleast": 1, "version_before": 1,
	"openssl_version_atleast": 1, "openssl_version_before": 1, "ssllib_name_startswith": 1, "awslc_api_atleast": 1, "awslc_api_before": 1}

// evaluatePredicate returns the value of a predicate, and an error for an unknown name, a wrong
// number of arguments or an invalid version. Predicates on HAProxy's build are Unknown.
func (p *conditionParser) evaluatePredicate(name string, args []string) (Truth, error) {
	wantArgs, known := predicateArity[name]
	switch {
	case !known:
		return False, fmt.Errorf("unknown predicate %s", name)
	case len(args) != wantArgs:
		return False, fmt.Errorf("predicate %s takes %d arguments, not %d", name, wantArgs, len(args))
	}
	switch name {
	case "defined":
		_, set := p.env(args[0])
		return truthOf(set), nil
	case "streq":
		return truthOf(args[0] == args[1]), nil
	case "strneq":
		return truthOf(args[0] != args[1]), nil
	case "strstr":
		return truthOf(strings.Contains(args[0], args[1])), nil
	case "version_atleast", "version_before":
		if p.version == "" {
			return Unknown, nil
		}
		isOlder, err := isOlderVersion(p.version, args[0])
		return truthOf(isOlder == (name == "version_before")), err
	}
	return Unknown, nil
}

// isOlderVersion returns whether version a precedes version b. Missing parts count as 0, and a
// pre-release suffix after a dash is ignored.
func isOlderVersion(a, b string) (bool, error) {
	partsA, err := versionParts(a)
	if err != nil {
		return false, err
	}
	partsB, err := versionParts(b)
	if err != nil {
		return false, err
	}
	for n := range partsA {
		if partsA[n] != partsB[n] {
			return partsA[n] < partsB[n], nil
		}
	}
	return false, nil
}

// versionParts returns the up to four numbers of a version such as "2.8.3-dev1".
func versionParts(version string) (numbers [4]int, err error) {
	version, _, _ = strings.Cut(version, "-")
	fields := strings.Split(version, ".")
	if len(fields) > len(numbers) {
		return numbers, fmt.Errorf("invalid version %q: want up to four numbers separated by dots", version)
	}
	for n, field := range fields {
		if numbers[n], err = strconv.Atoi(field); err != nil || numbers[n] < 0 {
			return numbers, fmt.Errorf("invalid version %q: want up to four numbers separated by dots", version)
		}
	}
	return numbers, nil
}
