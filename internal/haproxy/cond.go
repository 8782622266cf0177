package haproxy

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Truth is what is known of a condition.
type Truth int

const (
	False Truth = iota
	True
	// Unknown is for what depends on the HAProxy that would have read the file: its
	// version, how it was built, and its options.
	Unknown
)

// String is the word for it.
func (t Truth) String() string { return [...]string{"false", "true", "unknown"}[t] }

func (t Truth) not() Truth {
	if t == Unknown {
		return Unknown
	}
	return 1 - t
}

// and and or are Kleene's: unknown unless the other side settles it.
func (t Truth) and(u Truth) Truth {
	switch {
	case t == False || u == False:
		return False
	case t == Unknown || u == Unknown:
		return Unknown
	}
	return True
}

func (t Truth) or(u Truth) Truth { return t.not().and(u.not()).not() }

// condMost bounds how deep conditions nest, in their parentheses and as blocks.
const condMost = 32

// Evaluate works out the condition of a conditional block (section 2.4). Version is that
// of the HAProxy that the file is for, as "2.8.3"; empty: not known.
func Evaluate(cond, version string, env Env) (Truth, error) {
	p := &condParser{text: cond, version: version, env: env}
	p.space()
	if p.at == len(p.text) { // "an empty string is false"
		return False, nil
	}
	t, err := p.or(0)
	if err == nil && p.at < len(p.text) {
		err = fmt.Errorf("%q makes no sense here", p.text[p.at:])
	}
	return t, err
}

type condParser struct {
	text, version string
	at            int
	env           Env
}

func (p *condParser) space() {
	for p.at < len(p.text) && (p.text[p.at] == ' ' || p.text[p.at] == '\t') {
		p.at++
	}
}

// take passes a token if it is next.
func (p *condParser) take(token string) bool {
	p.space()
	if strings.HasPrefix(p.text[p.at:], token) {
		p.at += len(token)
		p.space()
		return true
	}
	return false
}

func (p *condParser) or(depth int) (Truth, error) {
	t, err := p.and(depth)
	for err == nil && p.take("||") {
		var u Truth
		u, err = p.and(depth)
		t = t.or(u)
	}
	return t, err
}

func (p *condParser) and(depth int) (Truth, error) {
	t, err := p.term(depth)
	for err == nil && p.take("&&") {
		var u Truth
		u, err = p.term(depth)
		t = t.and(u)
	}
	return t, err
}

func (p *condParser) term(depth int) (Truth, error) {
	if depth > condMost {
		return False, errors.New("too many parentheses")
	}
	switch {
	case p.take("!"):
		t, err := p.term(depth + 1)
		return t.not(), err
	case p.take("("):
		t, err := p.or(depth + 1)
		if err == nil && !p.take(")") {
			err = errors.New("a parenthesis that does not close")
		}
		return t, err
	}
	from := p.at
	for p.at < len(p.text) && (nameByte(p.text[p.at], false) || p.text[p.at] == '-') {
		p.at++
	}
	word := p.text[from:p.at]
	if n, err := strconv.ParseInt(word, 10, 64); err == nil {
		p.space()
		return truth(n != 0), nil
	}
	if word == "" || !p.take("(") {
		return False, fmt.Errorf("%q is no condition", p.text[from:])
	}
	end := strings.IndexByte(p.text[p.at:], ')')
	if end < 0 {
		return False, errors.New("a parenthesis that does not close")
	}
	args := strings.Split(p.text[p.at:p.at+end], ",")
	p.at += end + 1
	p.space()
	for n := range args {
		args[n] = strings.TrimSpace(args[n])
	}
	return p.predicate(word, args)
}

func truth(b bool) Truth {
	if b {
		return True
	}
	return False
}

// arity is how many arguments a predicate has.
var arity = map[string]int{"defined": 1, "feature": 1, "enabled": 1, "streq": 2, "strneq": 2, "strstr": 2, "version_atleast": 1, "version_before": 1,
	"openssl_version_atleast": 1, "openssl_version_before": 1, "ssllib_name_startswith": 1, "awslc_api_atleast": 1, "awslc_api_before": 1}

func (p *condParser) predicate(name string, args []string) (Truth, error) {
	n, known := arity[name]
	switch {
	case !known:
		return False, fmt.Errorf("%s is no predicate", name)
	case len(args) != n:
		return False, fmt.Errorf("%s takes %d arguments, not %d", name, n, len(args))
	}
	switch name {
	case "defined":
		_, set := p.env(args[0])
		return truth(set), nil
	case "streq":
		return truth(args[0] == args[1]), nil
	case "strneq":
		return truth(args[0] != args[1]), nil
	case "strstr":
		return truth(strings.Contains(args[0], args[1])), nil
	case "version_atleast", "version_before":
		if p.version == "" {
			return Unknown, nil
		}
		less, err := older(p.version, args[0])
		return truth(less == (name == "version_before")), err
	}
	return Unknown, nil
}

// older says whether a version is older than another. Parts that are not there count as
// 0; what follows a dash is a pre-release, which is not compared.
func older(a, b string) (bool, error) {
	pa, err := parts(a)
	if err != nil {
		return false, err
	}
	pb, err := parts(b)
	if err != nil {
		return false, err
	}
	for n := range pa {
		if pa[n] != pb[n] {
			return pa[n] < pb[n], nil
		}
	}
	return false, nil
}

func parts(v string) (p [4]int, err error) {
	v, _, _ = strings.Cut(v, "-")
	fields := strings.Split(v, ".")
	if len(fields) > len(p) {
		return p, fmt.Errorf("%q is no version", v)
	}
	for n, f := range fields {
		if p[n], err = strconv.Atoi(f); err != nil || p[n] < 0 {
			return p, fmt.Errorf("%q is no version", v)
		}
	}
	return p, nil
}
