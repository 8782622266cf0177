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

// parseACL returns a route with the conditions of an acl: a criterion, flags and values, as in
// section 7 of the manual. It returns an error if a route can't express them.
func (t *translator) parseACL(words []string) (route features.Route, err error) {
	if len(words) == 0 {
		return route, fmt.Errorf("the acl has no criterion")
	}
	name, values := words[0], words[1:]
	ignoreCase, matchMethod := false, ""
	for len(values) > 0 && strings.HasPrefix(values[0], "-") {
		flag := values[0]
		values = values[1:]
		switch {
		case flag == "-i":
			ignoreCase = true
		case flag == "-m" && len(values) > 0:
			matchMethod, values = values[0], values[1:]
		case flag == "--":
		default:
			return route, fmt.Errorf("unknown flag %s", flag)
		}
	}
	field := ""
	if parenthesis := strings.IndexByte(name, '('); parenthesis >= 0 && strings.HasSuffix(name, ")") {
		name, field = name[:parenthesis], strings.ToLower(name[parenthesis+1:len(name)-1])
	}
	// A suffix is short for a match method: hdr_beg(host) is hdr(host) -m beg.
	for _, suffix := range []string{"_beg", "_end", "_reg", "_sub", "_dir", "_dom", "_len"} {
		if base, ok := strings.CutSuffix(name, suffix); ok {
			name, matchMethod = base, suffix[1:]
		}
	}
	name = strings.TrimPrefix(name, "req.")
	if matchMethod == "" {
		matchMethod = "str"
	}
	if len(values) == 0 && matchMethod != "found" {
		return route, fmt.Errorf("the acl has no values")
	}
	switch {
	case name == "path" && matchMethod != "found":
		return t.parsePathACL(matchMethod, ignoreCase, values)
	case (name == "hdr" || name == "fhdr") && field == "host" && (matchMethod == "str" || matchMethod == "end" || matchMethod == "dom"):
		for _, value := range values {
			switch {
			case matchMethod == "str":
				route.Hosts = append(route.Hosts, value)
			case matchMethod == "end" && strings.HasPrefix(value, "."):
				route.Hosts = append(route.Hosts, "*"+value)
			default:
				return route, fmt.Errorf("a host can only be matched as a whole, or by an ending that begins with a dot, not by %q", value)
			}
		}
		return route, nil
	case (name == "hdr" || name == "fhdr") && field != "" && matchMethod == "found":
		route.Headers = []features.RouteHeader{{Name: field}}
		return route, nil
	case (name == "hdr" || name == "fhdr") && field != "" && matchMethod == "str" && len(values) == 1 && !ignoreCase:
		route.Headers = []features.RouteHeader{{Name: field, Value: values[0]}}
		return route, nil
	case name == "method" && matchMethod == "str":
		route.Methods = values
		return route, nil
	case name == "src":
		for _, value := range values {
			if !strings.Contains(value, "/") {
				if addr, err := netip.ParseAddr(value); err == nil {
					value = netip.PrefixFrom(addr, addr.BitLen()).String()
				}
			}
			if _, err := netip.ParsePrefix(value); err != nil {
				return route, fmt.Errorf("%q is not an IP address or a prefix such as 10.0.0.0/8", value)
			}
			route.Sources = append(route.Sources, value)
		}
		return route, nil
	}
	return route, fmt.Errorf("unknown criterion %q: rules that use it are not carried", words[0])
}

// parsePathACL returns a route with the path conditions of an acl. All matches but the exact one
// become regular expressions.
func (t *translator) parsePathACL(matchMethod string, ignoreCase bool, values []string) (route features.Route, err error) {
	for _, value := range values {
		expr := ""
		switch matchMethod {
		case "str":
			if !ignoreCase {
				route.Paths = append(route.Paths, value)
				continue
			}
			expr = "^" + quoteRegexp(value) + "$"
		case "beg":
			expr = "^" + quoteRegexp(value)
		case "end":
			expr = quoteRegexp(value) + "$"
		case "sub":
			expr = quoteRegexp(value)
		case "dir": // whole path segments
			expr = "(^|/)" + quoteRegexp(strings.Trim(value, "/")) + "(/|$)"
		case "reg":
			expr = value
		default:
			return route, fmt.Errorf("unknown match method %q for a path", matchMethod)
		}
		if ignoreCase {
			expr = "(?i)" + expr
		}
		if _, err := regexp.Compile(expr); err != nil {
			return route, fmt.Errorf("%q is not a regular expression that can be matched in linear time", value)
		}
		route.Regexps = append(route.Regexps, expr)
	}
	return route, nil
}

// mergeRoutes returns a route with the conditions of both. It returns an error if both have
// conditions on the host, the path, the method or the source, because a route can't express that.
func mergeRoutes(a, b features.Route) (features.Route, error) {
	conflict := func(inA, inB bool, part string) error {
		if inA && inB {
			return fmt.Errorf("a route can't have two conditions on the %s", part)
		}
		return nil
	}
	hasPath := func(r features.Route) bool { return len(r.Paths)+len(r.Regexps) > 0 }
	for _, err := range []error{
		conflict(len(a.Hosts) > 0, len(b.Hosts) > 0, "host"), conflict(hasPath(a), hasPath(b), "path"),
		conflict(len(a.Methods) > 0, len(b.Methods) > 0, "method"), conflict(len(a.Sources) > 0, len(b.Sources) > 0, "source"),
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

// parseCondition returns the routes that together match what an "if" condition matches. A request
// that matches any of them meets the condition. It returns an error for a condition that routes
// can't express.
func (t *translator) parseCondition(proxy *proxySettings, words []string) (alternatives []features.Route, err error) {
	if len(words) == 0 {
		return []features.Route{{}}, nil
	}
	if words[0] != "if" {
		return nil, fmt.Errorf("%q: a route can only require that conditions hold", words[0])
	}
	current := []features.Route{{}}
	flush := func() {
		alternatives = append(alternatives, current...)
		current = []features.Route{{}}
	}
	for words = words[1:]; len(words) > 0; {
		word := words[0]
		words = words[1:]
		if word == "||" || word == "or" {
			flush()
			continue
		}
		negated := false
		for strings.HasPrefix(word, "!") {
			negated, word = !negated, word[1:]
			if word == "" && len(words) > 0 {
				word, words = words[0], words[1:]
			}
		}
		var choices []features.Route
		if word == "{" {
			end := slices.Index(words, "}")
			if end < 0 {
				return nil, fmt.Errorf("anonymous acl without a closing brace")
			}
			route, err := t.parseACL(words[:end])
			if err != nil {
				return nil, err
			}
			choices, words = []features.Route{route}, words[end+1:]
		} else {
			if len(proxy.acls[word]) == 0 {
				return nil, fmt.Errorf("acl %q is not defined or not carried", word)
			}
			for _, directive := range proxy.acls[word] { // acls of the same name are alternatives
				route, err := t.parseACL(directive.Args()[1:])
				if err != nil {
					return nil, err
				}
				choices = append(choices, route)
			}
		}
		if negated {
			if len(choices) != 1 || len(choices[0].Headers) != 1 || len(choices[0].Hosts)+len(choices[0].Paths)+len(choices[0].Regexps)+len(choices[0].Methods)+len(choices[0].Sources) > 0 {
				return nil, fmt.Errorf("!%s: only a condition on a single header field can be negated", word)
			}
			choices[0].Headers[0].Negate = !choices[0].Headers[0].Negate
		}
		var next []features.Route
		for _, a := range current {
			for _, b := range choices {
				route, err := mergeRoutes(a, b)
				if err != nil {
					return nil, err
				}
				next = append(next, route)
			}
		}
		if len(next) > maxAlternatives {
			return nil, fmt.Errorf("the rule needs more than %d routes", maxAlternatives)
		}
		current = next
	}
	flush()
	return alternatives, nil
}

// maxAlternatives limits the routes that one rule expands to.
const maxAlternatives = 64

// fallThroughNote is appended to the reason why a rule is not carried.
const fallThroughNote = "; requests that it would match go on to the rules after it"

// translateRule adds the routes of a directive that chooses a backend or answers requests itself.
// It returns the verdict and its reason.
func (t *translator) translateRule(proxy *proxySettings, directive *haproxy.Directive, name string) (Verdict, string) {
	args := directive.Args()
	conditionStart := slices.IndexFunc(args, func(w string) bool { return w == "if" || w == "unless" })
	if conditionStart < 0 {
		conditionStart = len(args)
	}
	condition, args := args[conditionStart:], args[:conditionStart]
	var target features.Route
	verdict, reason := Carried, "a route"
	switch name {
	case "use_backend", "default_backend":
		if len(args) != 1 {
			return NotCarried, "it must name exactly one backend" + fallThroughNote
		}
		switch {
		case strings.Contains(args[0], "%["):
			return NotCarried, "the backend is computed for each request" + fallThroughNote
		case t.backends[args[0]] == nil:
			return NotCarried, fmt.Sprintf("there is no backend %q", args[0]) + fallThroughNote
		case !t.hasPool(args[0]):
			return NotCarried, fmt.Sprintf("backend %q has no server that is carried", args[0]) + fallThroughNote
		}
		target.Pool = args[0]
		if name == "default_backend" {
			if len(condition) > 0 {
				return NotCarried, "default_backend takes no condition"
			}
			t.defaultPools[proxy] = target.Pool
			return Carried, "the route after all others"
		}
	case "http-request deny":
		target.Status = 403
		if n := slices.Index(args, "deny_status"); n >= 0 && n+1 < len(args) {
			target.Status, _ = strconv.Atoi(args[n+1])
		}
	case "http-request return":
		target.Status = 200
		for n := 1; n+1 < len(args); n += 2 {
			switch args[n] {
			case "status":
				target.Status, _ = strconv.Atoi(args[n+1])
			case "string":
				target.Body = args[n+1]
			case "content-type":
				verdict, reason = Different, "a route, without a type of its content"
			default:
				return NotCarried, args[n] + " is not supported" + fallThroughNote
			}
		}
	case "redirect", "http-request redirect":
		if name != "redirect" {
			args = args[1:]
		}
		target.Status = 302
		for n := 0; n+1 < len(args); n += 2 {
			switch args[n] {
			case "location":
				target.Location = args[n+1]
			case "code":
				target.Status, _ = strconv.Atoi(args[n+1])
			default:
				return NotCarried, args[n] + ": only a fixed location is carried" + fallThroughNote
			}
		}
		if target.Location == "" || strings.Contains(target.Location, "%[") {
			return NotCarried, "only a fixed location is carried" + fallThroughNote
		}
	}
	if target.Pool == "" && (target.Status < 200 || target.Status > 599) {
		return NotCarried, "the status must be between 200 and 599" + fallThroughNote
	}
	alternatives, err := t.parseCondition(proxy, condition)
	if err != nil {
		return NotCarried, err.Error() + fallThroughNote
	}
	for _, route := range alternatives {
		route.Pool, route.Status, route.Location, route.Body = target.Pool, target.Status, target.Location, target.Body
		route.Listeners = t.routeListeners(proxy)
		t.routes = append(t.routes, rankedRoute{ruleRank(name), route, directive.Location()})
	}
	return verdict, reason
}

// rankedRoute is a route with its rank and the location of its rule. HAProxy evaluates http-request
// rules first, then redirects, then rules that choose a backend, each group in the order of the
// file (section 4.2 of the manual).
type rankedRoute struct {
	rank     int
	route    features.Route
	location string
}

// ruleRank returns the rank of a rule; rules of lower rank are evaluated first.
func ruleRank(name string) int {
	switch {
	case strings.HasPrefix(name, "http-request"):
		return 0
	case name == "redirect":
		return 1
	}
	return 2
}

// buildRoutes names the routes and adds them in the order of evaluation, the default routes last.
func (t *translator) buildRoutes() {
	slices.SortStableFunc(t.routes, func(a, b rankedRoute) int { return a.rank - b.rank })
	for n, r := range t.routes {
		r.route.Name = fmt.Sprintf("%d from %s", n+1, r.location)
		t.addRoute(r.route)
	}
	for _, proxy := range t.frontends {
		pool := t.defaultPools[proxy]
		if pool == "" && t.hasPool(proxy.defaultBackend) { // from the defaults section
			pool = proxy.defaultBackend
		}
		if pool != "" {
			t.addRoute(features.Route{Name: "default of " + proxy.section.Name, Pool: pool, Listeners: t.routeListeners(proxy)})
		}
	}
}

// routeListeners returns the listeners that the routes of a frontend name. With a single frontend
// they need not name any, and it returns nil.
func (t *translator) routeListeners(proxy *proxySettings) []string {
	if len(t.frontends) < 2 {
		return nil
	}
	return []string{proxy.listener}
}

// addRoute adds a route to the result. If the class depends on the method, it adds one route for
// the safe methods and one for the others.
func (t *translator) addRoute(route features.Route) {
	if route.Pool == "" || t.options.SafeClass == "" {
		t.result.Routes = append(t.result.Routes, route)
		return
	}
	var safeMethods, otherMethods []string
	for _, method := range route.Methods {
		if isSafeMethod(method) {
			safeMethods = append(safeMethods, method)
		} else {
			otherMethods = append(otherMethods, method)
		}
	}
	if len(route.Methods) == 0 {
		safeMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	if len(safeMethods) > 0 {
		safeRoute := route
		safeRoute.Name, safeRoute.Class, safeRoute.Methods = route.Name+", may be repeated", t.options.SafeClass, safeMethods
		t.result.Routes = append(t.result.Routes, safeRoute)
	}
	if len(otherMethods) > 0 || len(route.Methods) == 0 {
		route.Class, route.Methods = t.options.OtherClass, otherMethods
		t.result.Routes = append(t.result.Routes, route)
	}
}
