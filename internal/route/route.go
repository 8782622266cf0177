// Package route selects the route of a request by its listener, host, path, method,
// header fields and source address. The first matching route in the configured order is
// used. The package has no I/O, clock or goroutines, and a table is immutable.
//
// The terms follow HAProxy and Envoy: a listener has a table of routes; a route names a
// pool of servers and the class of its requests, or defines a fixed response.
package route

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Limits of a table.
const (
	MaxRoutes        = 1 << 16
	maxHeaderMatches = 16       // header matches in one route
	maxRegexpBytes   = 1 << 10  // of one expression
	maxHostBytes     = 255      // RFC 1035 section 2.3.4
	maxPathBytes     = 64 << 10 // the longest request head
)

// Match holds the conditions of a route. Every kind of condition has to be met; an empty
// list matches every request. One entry of a list is enough, except that all Headers have
// to match.
type Match struct {
	// Listeners are names of the listeners that accepted the request.
	Listeners []string
	// Hosts are host names, or "*.example.com" for all subdomains. Case, and a port in the
	// request's Host, are ignored.
	Hosts []string
	// Paths, Prefixes and Regexps apply to the path as received, without the query; one
	// match among the three is enough. A prefix matches whole path segments: "/a" matches
	// "/a" and "/a/b" but not "/ab"; "/a/" matches only paths below "/a".
	Paths    []string
	Prefixes []string
	// Regexps use RE2, which matches in time linear in the length of the path. They match
	// anywhere in the path unless anchored by "^" or "$".
	Regexps []string
	Methods []string
	Headers []Header
	Sources []netip.Prefix
}

// Header matches a request that has a header field, with Value if that is set. Negated
// inverts the match.
type Header struct {
	Name    string // case-insensitive
	Value   string // whole value of one of the field's lines; empty: any
	Negated bool
}

// Action states what happens to a request that matches.
type Action struct {
	Pool  string // empty: fixed response
	Class string // empty: the first path segment is the class
	// Rewrite, if set, replaces the prefix that matched.
	Rewrite *string
	// Status, Location and Body define the fixed response.
	Status   int
	Location string
	Body     string
}

// Route is one entry of a table. Names are unique in a table.
type Route struct {
	Name   string
	Match  Match
	Action Action
}

// Request holds the properties of a request that routes match on.
type Request struct {
	Host, Path, Method string
	Source             netip.Addr
	Listener           string
	// Header returns the values of a field. The name is spelled as in the route.
	Header func(name string) []string
}

// compiledRoute is a validated route with its compiled regular expressions.
type compiledRoute struct {
	*Route
	regexps []*regexp.Regexp
}

// Table is an index of routes, safe for concurrent use. It holds each route once, and an
// entry of about 100 bytes for each of a route's hosts and paths.
type Table struct {
	routes []compiledRoute
	// hosts holds an index for each host name and wildcard ("*." and a name); anyHost
	// holds the routes without a host condition.
	hosts   map[string]*pathIndex
	anyHost *pathIndex
}

// pathIndex maps path conditions to the indexes of their routes in Table.routes, in
// ascending order.
type pathIndex struct {
	exact  map[string][]int32
	prefix map[string][]int32 // without a trailing "/"
	// maxPrefixBytes is the length of the longest prefix.
	maxPrefixBytes int
	unindexed      []int32 // routes with regular expressions or without a path condition
}

func newPathIndex() *pathIndex {
	return &pathIndex{exact: make(map[string][]int32), prefix: make(map[string][]int32)}
}

// New returns a Table that tries routes in the given order. It returns an error that names
// the route and the field if a route is invalid.
func New(routes []Route) (*Table, error) {
	if len(routes) > MaxRoutes {
		return nil, fmt.Errorf("route: table has %d routes, the maximum is %d", len(routes), MaxRoutes)
	}
	t := &Table{routes: make([]compiledRoute, len(routes)), hosts: make(map[string]*pathIndex), anyHost: newPathIndex()}
	names := make(map[string]bool)
	for n := range routes {
		r := &routes[n]
		c, err := compile(r)
		if err == nil && names[r.Name] {
			err = fmt.Errorf("name: must be unique, is used twice")
		}
		if err != nil {
			return nil, fmt.Errorf("route %d (%q): %w", n+1, r.Name, err)
		}
		names[r.Name] = true
		t.routes[n] = c
		if len(r.Match.Hosts) == 0 {
			t.anyHost.add(&r.Match, int32(n))
		}
		for _, h := range r.Match.Hosts {
			h = strings.ToLower(h)
			if t.hosts[h] == nil {
				t.hosts[h] = newPathIndex()
			}
			t.hosts[h].add(&r.Match, int32(n))
		}
	}
	return t, nil
}

// add enters the route at index under its path conditions.
func (p *pathIndex) add(m *Match, index int32) {
	appendOnce := func(l []int32) []int32 {
		if len(l) > 0 && l[len(l)-1] == index {
			return l
		}
		return append(l, index)
	}
	for _, e := range m.Paths {
		p.exact[e] = appendOnce(p.exact[e])
	}
	for _, f := range m.Prefixes {
		f = strings.TrimSuffix(f, "/")
		p.prefix[f] = appendOnce(p.prefix[f])
		p.maxPrefixBytes = max(p.maxPrefixBytes, len(f))
	}
	if len(m.Regexps) > 0 || len(m.Paths)+len(m.Prefixes) == 0 {
		p.unindexed = appendOnce(p.unindexed)
	}
}

// compile validates a route and compiles its regular expressions.
func compile(r *Route) (c compiledRoute, err error) {
	c.Route = r
	m, a := &r.Match, &r.Action
	invalid := func(field, format string, args ...any) (compiledRoute, error) {
		return c, fmt.Errorf(field+": "+format, args...)
	}
	for _, h := range m.Hosts {
		name := strings.TrimPrefix(h, "*.")
		if name == "" || len(h) > maxHostBytes || strings.ContainsAny(name, "*/ :") {
			return invalid("hosts", "%q is not a host name", h)
		}
	}
	for _, p := range append(slices.Clone(m.Paths), m.Prefixes...) {
		if !strings.HasPrefix(p, "/") || len(p) > maxPathBytes {
			return invalid("paths", "%q must begin with '/'", p)
		}
	}
	for _, e := range m.Regexps {
		if len(e) > maxRegexpBytes {
			return invalid("regexps", "expression is longer than %d bytes", maxRegexpBytes)
		}
		re, err := regexp.Compile(e)
		if err != nil {
			return invalid("regexps", "%w", err)
		}
		c.regexps = append(c.regexps, re)
	}
	for _, method := range m.Methods {
		if method == "" || strings.ToUpper(method) != method {
			return invalid("methods", "%q is not an upper-case method name", method)
		}
	}
	if len(m.Headers) > maxHeaderMatches {
		return invalid("headers", "more than %d matches", maxHeaderMatches)
	}
	for _, h := range m.Headers {
		if h.Name == "" {
			return invalid("headers", "field name must be set")
		}
	}
	for _, s := range m.Sources {
		if !s.IsValid() {
			return invalid("sources", "invalid address range")
		}
	}
	switch {
	case a.Pool != "" && (a.Status != 0 || a.Location != "" || a.Body != ""):
		return invalid("status", "a route to a pool can't have a fixed response")
	case a.Pool == "" && (a.Status < 200 || a.Status > 599):
		return invalid("status", "must be within 200 and 599 if no pool is set")
	case a.Pool == "" && (a.Status/100 == 3) != (a.Location != ""):
		return invalid("location", "must be set for a 3xx status and for no other")
	case strings.ContainsAny(a.Location, "\r\n\x00"):
		return invalid("location", "must be one line")
	case a.Rewrite != nil && (a.Pool == "" || len(m.Prefixes) == 0):
		return invalid("rewrite", "needs prefixes and a pool")
	case a.Rewrite != nil && !strings.HasPrefix(*a.Rewrite, "/"):
		return invalid("rewrite", "%q must begin with '/'", *a.Rewrite)
	}
	return c, nil
}

// Find returns the first route that matches, or nil. It allocates nothing except in
// regular expressions. Its cost does not depend on the number of routes of other hosts or
// paths; the routes of one path, and all regular expressions of a host, are tried in turn.
func (t *Table) Find(q *Request) *Route {
	best := int32(len(t.routes))
	best = t.anyHost.firstMatch(t, q, best)
	if len(t.hosts) > 0 {
		host := normalizeHost(q.Host)
		best = t.hosts[host].firstMatch(t, q, best)
		for at := strings.IndexByte(host, '.'); at >= 0; {
			// Looks up "*." and the rest of the name without allocating a string.
			if p := t.wildcard(host[at+1:]); p != nil {
				best = p.firstMatch(t, q, best)
			}
			next := strings.IndexByte(host[at+1:], '.')
			if next < 0 {
				break
			}
			at += 1 + next
		}
	}
	if int(best) == len(t.routes) {
		return nil
	}
	return t.routes[best].Route
}

// wildcard returns the index for the subdomains of a name, or nil.
func (t *Table) wildcard(name string) *pathIndex {
	var buf [maxHostBytes + 2]byte
	if len(name) > maxHostBytes {
		return nil
	}
	return t.hosts[string(append(append(buf[:0], "*."...), name...))]
}

// normalizeHost returns the name in a Host field in lower case, without the port and a
// trailing dot.
func normalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// firstMatch returns the index of the first route of p that matches and precedes best,
// else best.
func (p *pathIndex) firstMatch(t *Table, q *Request, best int32) int32 {
	if p == nil {
		return best
	}
	first := func(l []int32) {
		for _, n := range l {
			if n >= best {
				return
			}
			if t.routes[n].matches(q) {
				best = n
				return
			}
		}
	}
	first(p.exact[q.Path])
	for end := min(len(q.Path), p.maxPrefixBytes); end >= 0; end-- {
		if end == len(q.Path) || q.Path[end] == '/' {
			first(p.prefix[q.Path[:end]])
		}
	}
	first(p.unindexed)
	return best
}

// matches reports whether a request meets all conditions of the route except the host.
func (c *compiledRoute) matches(q *Request) bool {
	m := &c.Match
	if len(m.Paths)+len(m.Prefixes)+len(c.regexps) > 0 && !slices.Contains(m.Paths, q.Path) &&
		!slices.ContainsFunc(m.Prefixes, func(p string) bool { return hasPathPrefix(q.Path, p) }) &&
		!slices.ContainsFunc(c.regexps, func(re *regexp.Regexp) bool { return re.MatchString(q.Path) }) {
		return false
	}
	if len(m.Listeners) > 0 && !slices.Contains(m.Listeners, q.Listener) {
		return false
	}
	if len(m.Methods) > 0 && !slices.Contains(m.Methods, q.Method) {
		return false
	}
	if len(m.Sources) > 0 && !slices.ContainsFunc(m.Sources, func(s netip.Prefix) bool { return s.Contains(q.Source.Unmap()) }) {
		return false
	}
	for n := range m.Headers {
		h := &m.Headers[n]
		var values []string
		if q.Header != nil {
			values = q.Header(h.Name)
		}
		has := len(values) > 0 && (h.Value == "" || slices.Contains(values, h.Value))
		if has == h.Negated {
			return false
		}
	}
	return true
}

// hasPathPrefix reports whether a prefix, as in Match.Prefixes, matches a path.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (strings.HasPrefix(rest, "/") || rest == "" && !strings.HasSuffix(prefix, "/"))
}

// RewritePath returns the path that is sent to the pool, with the longest of the route's
// prefixes that matches replaced by Action.Rewrite.
func (r *Route) RewritePath(path string) string {
	if r.Action.Rewrite == nil {
		return path
	}
	longest := -1
	for n, p := range r.Match.Prefixes {
		if hasPathPrefix(path, p) && (longest < 0 || len(p) > len(r.Match.Prefixes[longest])) {
			longest = n
		}
	}
	if longest < 0 {
		return path
	}
	rest := path[len(strings.TrimSuffix(r.Match.Prefixes[longest], "/")):]
	rewritten := strings.TrimSuffix(*r.Action.Rewrite, "/") + rest
	if rewritten == "" {
		rewritten = "/"
	}
	return rewritten
}
