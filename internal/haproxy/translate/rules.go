package translate

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"chalkrack/internal/features"
	"chalkrack/internal/haproxy"
)

// acl is what a criterion with its values asks of a request, as a route has it. The
// words are those of the manual's section 7.
func (t *translator) acl(words []string) (m features.Route, err error) {
	if len(words) == 0 {
		return m, fmt.Errorf("an acl without a criterion")
	}
	name, values := words[0], words[1:]
	fold, match := false, ""
	for len(values) > 0 && strings.HasPrefix(values[0], "-") {
		flag := values[0]
		values = values[1:]
		switch {
		case flag == "-i":
			fold = true
		case flag == "-m" && len(values) > 0:
			match, values = values[0], values[1:]
		case flag == "--":
		default:
			return m, fmt.Errorf("flag %s is not known here", flag)
		}
	}
	field := ""
	if at := strings.IndexByte(name, '('); at >= 0 && strings.HasSuffix(name, ")") {
		name, field = name[:at], strings.ToLower(name[at+1:len(name)-1])
	}
	// hdr_beg(host) is hdr(host) -m beg, and so on.
	for _, suffix := range []string{"_beg", "_end", "_reg", "_sub", "_dir", "_dom", "_len"} {
		if base, ok := strings.CutSuffix(name, suffix); ok {
			name, match = base, suffix[1:]
		}
	}
	name = strings.TrimPrefix(name, "req.")
	if match == "" {
		match = "str"
	}
	if len(values) == 0 && match != "found" {
		return m, fmt.Errorf("an acl without values")
	}
	switch {
	case name == "path" && match != "found":
		return t.path(match, fold, values)
	case (name == "hdr" || name == "fhdr") && field == "host" && (match == "str" || match == "end" || match == "dom"):
		for _, v := range values {
			switch {
			case match == "str":
				m.Hosts = append(m.Hosts, v)
			case match == "end" && strings.HasPrefix(v, "."):
				m.Hosts = append(m.Hosts, "*"+v)
			default:
				return m, fmt.Errorf("hosts are matched whole, or by what is behind a dot: %q is neither", v)
			}
		}
		return m, nil
	case (name == "hdr" || name == "fhdr") && field != "" && match == "found":
		m.Headers = []features.RouteHeader{{Name: field}}
		return m, nil
	case (name == "hdr" || name == "fhdr") && field != "" && match == "str" && len(values) == 1 && !fold:
		m.Headers = []features.RouteHeader{{Name: field, Value: values[0]}}
		return m, nil
	case name == "method" && match == "str":
		m.Methods = values
		return m, nil
	case name == "src":
		for _, v := range values {
			if !strings.Contains(v, "/") {
				if a, err := netip.ParseAddr(v); err == nil {
					v = netip.PrefixFrom(a, a.BitLen()).String()
				}
			}
			if _, err := netip.ParsePrefix(v); err != nil {
				return m, fmt.Errorf("%q is no range of addresses", v)
			}
			m.Sources = append(m.Sources, v)
		}
		return m, nil
	}
	return m, fmt.Errorf("criterion %q is not known here: rules that use it are not carried", words[0])
}

func (t *translator) path(match string, fold bool, values []string) (m features.Route, err error) {
	for _, v := range values {
		expr := ""
		switch match {
		case "str":
			if !fold {
				m.Paths = append(m.Paths, v)
				continue
			}
			expr = "^" + quoted(v) + "$"
		case "beg":
			expr = "^" + quoted(v)
		case "end":
			expr = quoted(v) + "$"
		case "sub":
			expr = quoted(v)
		case "dir": // between slashes, at the beginning or the end
			expr = "(^|/)" + quoted(strings.Trim(v, "/")) + "(/|$)"
		case "reg":
			expr = v
		default:
			return m, fmt.Errorf("match %q of a path is not known here", match)
		}
		if fold {
			expr = "(?i)" + expr
		}
		if _, err := regexp.Compile(expr); err != nil {
			return m, fmt.Errorf("%q is no expression that takes linear time", v)
		}
		m.Regexps = append(m.Regexps, expr)
	}
	return m, nil
}

// both joins what two acls ask for, where one route can say it.
func both(a, b features.Route) (features.Route, error) {
	clash := func(x, y bool, what string) error {
		if x && y {
			return fmt.Errorf("two conditions on the %s at once can't be said by a route", what)
		}
		return nil
	}
	paths := func(r features.Route) bool { return len(r.Paths)+len(r.Regexps) > 0 }
	for _, err := range []error{
		clash(len(a.Hosts) > 0, len(b.Hosts) > 0, "host"), clash(paths(a), paths(b), "path"),
		clash(len(a.Methods) > 0, len(b.Methods) > 0, "method"), clash(len(a.Sources) > 0, len(b.Sources) > 0, "source"),
	} {
		if err != nil {
			return a, err
		}
	}
	a.Hosts = slices.Concat(a.Hosts, b.Hosts)
	a.Paths, a.Regexps = slices.Concat(a.Paths, b.Paths), slices.Concat(a.Regexps, b.Regexps)
	a.Methods, a.Sources = slices.Concat(a.Methods, b.Methods), slices.Concat(a.Sources, b.Sources)
	a.Headers = slices.Concat(a.Headers, b.Headers)
	return a, nil
}

// condition is what "if ..." asks for: one of several routes' matches.
func (t *translator) condition(p *proxy, words []string) (any []features.Route, err error) {
	if len(words) == 0 {
		return []features.Route{{}}, nil
	}
	if words[0] != "if" {
		return nil, fmt.Errorf("%q: a route says what must hold, not what must not", words[0])
	}
	now := []features.Route{{}}
	flush := func() {
		any = append(any, now...)
		now = []features.Route{{}}
	}
	for words = words[1:]; len(words) > 0; {
		w := words[0]
		words = words[1:]
		if w == "||" || w == "or" {
			flush()
			continue
		}
		not := false
		for strings.HasPrefix(w, "!") {
			not, w = !not, w[1:]
			if w == "" && len(words) > 0 {
				w, words = words[0], words[1:]
			}
		}
		var options []features.Route
		if w == "{" {
			end := slices.Index(words, "}")
			if end < 0 {
				return nil, fmt.Errorf("an anonymous acl that does not end")
			}
			m, err := t.acl(words[:end])
			if err != nil {
				return nil, err
			}
			options, words = []features.Route{m}, words[end+1:]
		} else {
			if len(p.acls[w]) == 0 {
				return nil, fmt.Errorf("there is no acl %q that is carried", w)
			}
			for _, d := range p.acls[w] { // of one name: any of them
				m, err := t.acl(d.Args()[1:])
				if err != nil {
					return nil, err
				}
				options = append(options, m)
			}
		}
		if not {
			if len(options) != 1 || len(options[0].Headers) != 1 || len(options[0].Hosts)+len(options[0].Paths)+len(options[0].Regexps)+len(options[0].Methods)+len(options[0].Sources) > 0 {
				return nil, fmt.Errorf("!%s: only a field can be asked not to be there", w)
			}
			options[0].Headers[0].Negate = !options[0].Headers[0].Negate
		}
		var next []features.Route
		for _, a := range now {
			for _, b := range options {
				m, err := both(a, b)
				if err != nil {
					return nil, err
				}
				next = append(next, m)
			}
		}
		if len(next) > alternativesMost {
			return nil, fmt.Errorf("over %d alternatives", alternativesMost)
		}
		now = next
	}
	flush()
	return any, nil
}

// alternativesMost bounds the routes that one rule becomes.
const alternativesMost = 64

// after is said of a rule that is lost where others follow it.
const after = "; what it would have taken goes on to the rules behind it"

// rule makes routes of a directive that says where requests go.
func (t *translator) rule(p *proxy, d *haproxy.Directive, k string) (Verdict, string) {
	args := d.Args()
	at := slices.IndexFunc(args, func(w string) bool { return w == "if" || w == "unless" })
	if at < 0 {
		at = len(args)
	}
	cond, args := args[at:], args[:at]
	var to features.Route
	v, why := Carried, "a route"
	switch k {
	case "use_backend", "default_backend":
		if len(args) != 1 {
			return Lost, "it names no backend" + after
		}
		switch {
		case strings.Contains(args[0], "%["):
			return Lost, "a backend that is worked out for each request" + after
		case t.backend[args[0]] == nil:
			return Lost, fmt.Sprintf("there is no backend %q", args[0]) + after
		case !t.made(args[0]):
			return Lost, fmt.Sprintf("backend %q has no server that is carried", args[0]) + after
		}
		to.Pool = args[0]
		if k == "default_backend" {
			if len(cond) > 0 {
				return Lost, "it takes no condition"
			}
			t.byDefault[p] = to.Pool
			return Carried, "the route behind all others"
		}
	case "http-request deny":
		to.Status = 403
		if n := slices.Index(args, "deny_status"); n >= 0 && n+1 < len(args) {
			to.Status, _ = strconv.Atoi(args[n+1])
		}
	case "http-request return":
		to.Status = 200
		for n := 1; n+1 < len(args); n += 2 {
			switch args[n] {
			case "status":
				to.Status, _ = strconv.Atoi(args[n+1])
			case "string":
				to.Body = args[n+1]
			case "content-type":
				v, why = Different, "a route, without a type of its content"
			default:
				return Lost, args[n] + " is not known here" + after
			}
		}
	case "redirect", "http-request redirect":
		if k != "redirect" {
			args = args[1:]
		}
		to.Status = 302
		for n := 0; n+1 < len(args); n += 2 {
			switch args[n] {
			case "location":
				to.Location = args[n+1]
			case "code":
				to.Status, _ = strconv.Atoi(args[n+1])
			default:
				return Lost, args[n] + ": only a fixed location is carried" + after
			}
		}
		if to.Location == "" || strings.Contains(to.Location, "%[") {
			return Lost, "only a fixed location is carried" + after
		}
	}
	if to.Pool == "" && (to.Status < 200 || to.Status > 599) {
		return Lost, "a status that is out of range" + after
	}
	alternatives, err := t.condition(p, cond)
	if err != nil {
		return Lost, err.Error() + after
	}
	for _, m := range alternatives {
		m.Pool, m.Status, m.Location, m.Body = to.Pool, to.Status, to.Location, to.Body
		m.Listeners = t.listeners(p)
		t.routes = append(t.routes, ranked{rank(k), m, d.At()})
	}
	return v, why
}

// ranked is a route with its place: HAProxy goes through the http-request rules first,
// then redirects, then those that choose a backend, each in their order (section 4.2).
type ranked struct {
	rank  int
	route features.Route
	at    string
}

func rank(k string) int {
	switch {
	case strings.HasPrefix(k, "http-request"):
		return 0
	case k == "redirect":
		return 1
	}
	return 2
}

// order names the routes and puts them in their order, the default one last.
func (t *translator) order() {
	slices.SortStableFunc(t.routes, func(a, b ranked) int { return a.rank - b.rank })
	for n, r := range t.routes {
		r.route.Name = fmt.Sprintf("%d from %s", n+1, r.at)
		t.classed(r.route)
	}
	for _, p := range t.fronts {
		pool := t.byDefault[p]
		if pool == "" && t.made(p.backend) { // of its defaults
			pool = p.backend
		}
		if pool != "" {
			t.classed(features.Route{Name: "default of " + p.s.Name, Pool: pool, Listeners: t.listeners(p)})
		}
	}
}

// listeners are those of a frontend's routes; none need be named where there is one.
func (t *translator) listeners(p *proxy) []string {
	if len(t.fronts) < 2 {
		return nil
	}
	return []string{p.listener}
}

// classed adds a route, or two where what may be repeated goes by the method.
func (t *translator) classed(r features.Route) {
	if r.Pool == "" || t.o.SafeClass == "" {
		t.out.Routes = append(t.out.Routes, r)
		return
	}
	var safe, other []string
	for _, m := range r.Methods {
		if harmless(m) {
			safe = append(safe, m)
		} else {
			other = append(other, m)
		}
	}
	if len(r.Methods) == 0 {
		safe = []string{"GET", "HEAD", "OPTIONS"}
	}
	if len(safe) > 0 {
		s := r
		s.Name, s.Class, s.Methods = r.Name+", may be repeated", t.o.SafeClass, safe
		t.out.Routes = append(t.out.Routes, s)
	}
	if len(other) > 0 || len(r.Methods) == 0 {
		r.Class, r.Methods = t.o.OtherClass, other
		t.out.Routes = append(t.out.Routes, r)
	}
}
