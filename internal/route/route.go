// Package route says which route a request takes: by its host, path, method, header
// fields and source, the first in a stated order that matches. It has no I/O, clock or
// goroutines, and a table does not change once it is made.
//
// The words are HAProxy's and Envoy's: a listener has a table of routes; a route names a
// pool of servers and the class of its requests, or answers by itself.
package route

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Bounds of a table.
const (
	RoutesMost  = 1 << 16
	matchesMost = 16       // of header fields in one route
	regexpMost  = 1 << 10  // bytes of one expression
	hostMost    = 255      // RFC 1035 section 2.3.4
	pathMost    = 64 << 10 // as long as a head may be
)

// Match is what a route asks of a request. What is left out matches all.
type Match struct {
	// Listeners are names of those that a request came by; the platform's has none.
	Listeners []string
	// Hosts are names, or "*.example.com" for those below it; case does not matter, and
	// a port in the request's Host is left out. Any of them will do, as in each list.
	Hosts []string
	// Paths, Prefixes and Regexps are of the path as it came, without the query. A prefix
	// ends at a "/" of the path: "/a" matches "/a" and "/a/b" and not "/ab"; with a "/"
	// at its end it matches what is below it only.
	Paths    []string
	Prefixes []string
	// Regexps are RE2's, which matches in time linear in the path, and match anywhere in
	// it unless they say "^" or "$".
	Regexps []string
	Methods []string
	Headers []Header
	Sources []netip.Prefix
}

// Header asks that a field is there, and has a value if one is set; Not turns it round.
type Header struct {
	Name  string // without case
	Value string // the whole value of one of its lines; empty: any
	Not   bool
}

// Action is what becomes of a request.
type Action struct {
	Pool  string // empty: it is answered here
	Class string // empty: the first part of the path names it
	// Rewrite, if set, stands in the place of the prefix that matched.
	Rewrite *string
	// Status and Location are of an answer that no server gives.
	Status   int
	Location string
	Body     string
}

// Route is one entry of a table.
type Route struct {
	Name   string
	Match  Match
	Action Action
}

// Request is what a table looks at.
type Request struct {
	Host, Path, Method string
	Source             netip.Addr
	Listener           string
	// Header has the values of a field, whose name is as the route has it.
	Header func(name string) []string
}

// compiled is a route that has been checked.
type compiled struct {
	*Route
	regexps []*regexp.Regexp
}

// Table finds routes. It is safe for use by many at once. It holds each route once, and
// for each of its hosts and paths an entry of some 100 bytes.
type Table struct {
	routes []compiled
	// hosts has, by a host's name or "*." and a name, what is asked of paths there; any
	// has those that ask nothing of the host.
	hosts map[string]*paths
	any   *paths
}

// paths are the places of routes, in their order, by what they ask of the path.
type paths struct {
	exact  map[string][]int32
	prefix map[string][]int32 // without the "/" at the end
	// longest is that of the prefixes, in bytes.
	longest int
	other   []int32 // regular expressions, and those that ask nothing
}

func newPaths() *paths {
	return &paths{exact: make(map[string][]int32), prefix: make(map[string][]int32)}
}

// New returns a Table of routes in their order. Errors name the route and the field.
func New(routes []Route) (*Table, error) {
	if len(routes) > RoutesMost {
		return nil, fmt.Errorf("route: %d routes, %d at most", len(routes), RoutesMost)
	}
	t := &Table{routes: make([]compiled, len(routes)), hosts: make(map[string]*paths), any: newPaths()}
	names := make(map[string]bool)
	for n := range routes {
		r := &routes[n]
		c, err := compile(r)
		if err == nil && names[r.Name] {
			err = fmt.Errorf("name: is there twice")
		}
		if err != nil {
			return nil, fmt.Errorf("route %d (%q): %w", n+1, r.Name, err)
		}
		names[r.Name] = true
		t.routes[n] = c
		if len(r.Match.Hosts) == 0 {
			t.any.add(&r.Match, int32(n))
		}
		for _, h := range r.Match.Hosts {
			h = strings.ToLower(h)
			if t.hosts[h] == nil {
				t.hosts[h] = newPaths()
			}
			t.hosts[h].add(&r.Match, int32(n))
		}
	}
	return t, nil
}

func (p *paths) add(m *Match, n int32) {
	put := func(l []int32) []int32 {
		if len(l) > 0 && l[len(l)-1] == n {
			return l
		}
		return append(l, n)
	}
	for _, e := range m.Paths {
		p.exact[e] = put(p.exact[e])
	}
	for _, f := range m.Prefixes {
		f = strings.TrimSuffix(f, "/")
		p.prefix[f] = put(p.prefix[f])
		p.longest = max(p.longest, len(f))
	}
	if len(m.Regexps) > 0 || len(m.Paths)+len(m.Prefixes) == 0 {
		p.other = put(p.other)
	}
}

func compile(r *Route) (c compiled, err error) {
	c.Route = r
	m, a := &r.Match, &r.Action
	bad := func(field, format string, args ...any) (compiled, error) {
		return c, fmt.Errorf(field+": "+format, args...)
	}
	for _, h := range m.Hosts {
		name := strings.TrimPrefix(h, "*.")
		if name == "" || len(h) > hostMost || strings.ContainsAny(name, "*/ :") {
			return bad("hosts", "%q is no name of a host", h)
		}
	}
	for _, p := range append(slices.Clone(m.Paths), m.Prefixes...) {
		if !strings.HasPrefix(p, "/") || len(p) > pathMost {
			return bad("paths", "%q must begin with '/'", p)
		}
	}
	for _, e := range m.Regexps {
		if len(e) > regexpMost {
			return bad("regexps", "over %d bytes long", regexpMost)
		}
		re, err := regexp.Compile(e)
		if err != nil {
			return bad("regexps", "%w", err)
		}
		c.regexps = append(c.regexps, re)
	}
	for _, method := range m.Methods {
		if method == "" || strings.ToUpper(method) != method {
			return bad("methods", "%q is no method", method)
		}
	}
	if len(m.Headers) > matchesMost {
		return bad("headers", "over %d", matchesMost)
	}
	for _, h := range m.Headers {
		if h.Name == "" {
			return bad("headers", "a field without a name")
		}
	}
	for _, s := range m.Sources {
		if !s.IsValid() {
			return bad("sources", "no range of addresses")
		}
	}
	switch {
	case a.Pool != "" && (a.Status != 0 || a.Location != "" || a.Body != ""):
		return bad("status", "a route to a pool does not answer by itself")
	case a.Pool == "" && (a.Status < 200 || a.Status > 599):
		return bad("status", "must be within 200 and 599, or a pool named")
	case a.Pool == "" && (a.Status/100 == 3) != (a.Location != ""):
		return bad("location", "goes with a status of 3xx, and only with one")
	case strings.ContainsAny(a.Location, "\r\n\x00"):
		return bad("location", "must be one line")
	case a.Rewrite != nil && (a.Pool == "" || len(m.Prefixes) == 0):
		return bad("rewrite", "needs prefixes and a pool")
	case a.Rewrite != nil && !strings.HasPrefix(*a.Rewrite, "/"):
		return bad("rewrite", "%q must begin with '/'", *a.Rewrite)
	}
	return c, nil
}

// Find is the first route that matches, nil if none does. It allocates nothing but what
// a regular expression needs. Its cost does not grow with the routes of other hosts, nor
// with those of other paths; those at one path, and all regular expressions of a host,
// are tried in turn.
func (t *Table) Find(q *Request) *Route {
	best := int32(len(t.routes))
	best = t.any.find(t, q, best)
	if len(t.hosts) > 0 {
		host := hostOf(q.Host)
		best = t.hosts[host].find(t, q, best)
		for at := strings.IndexByte(host, '.'); at >= 0; {
			// "*." and what is behind the dot, without putting a string together.
			if p := t.below(host[at+1:]); p != nil {
				best = p.find(t, q, best)
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

// below is what is asked of the hosts below a name.
func (t *Table) below(name string) *paths {
	var buf [hostMost + 2]byte
	if len(name) > hostMost {
		return nil
	}
	return t.hosts[string(append(append(buf[:0], "*."...), name...))]
}

// hostOf is a Host field's name, without case, port and the dot at the end.
func hostOf(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// find is the first of p's routes that matches, if it comes before best.
func (p *paths) find(t *Table, q *Request, best int32) int32 {
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
	for end := min(len(q.Path), p.longest); end >= 0; end-- {
		if end == len(q.Path) || q.Path[end] == '/' {
			first(p.prefix[q.Path[:end]])
		}
	}
	first(p.other)
	return best
}

// matches says whether a request is all that a route asks for, but for the host.
func (c *compiled) matches(q *Request) bool {
	m := &c.Match
	if len(m.Paths)+len(m.Prefixes)+len(c.regexps) > 0 && !slices.Contains(m.Paths, q.Path) &&
		!slices.ContainsFunc(m.Prefixes, func(p string) bool { return under(q.Path, p) }) &&
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
		if has == h.Not {
			return false
		}
	}
	return true
}

// under says whether a path is a prefix's, or below it.
func under(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (strings.HasPrefix(rest, "/") || rest == "" && !strings.HasSuffix(prefix, "/"))
}

// Rewritten is the path that goes on to the pool: the longest of the route's prefixes
// that the path has is replaced.
func (r *Route) Rewritten(path string) string {
	if r.Action.Rewrite == nil {
		return path
	}
	longest := -1
	for n, p := range r.Match.Prefixes {
		if under(path, p) && (longest < 0 || len(p) > len(r.Match.Prefixes[longest])) {
			longest = n
		}
	}
	if longest < 0 {
		return path
	}
	rest := path[len(strings.TrimSuffix(r.Match.Prefixes[longest], "/")):]
	to := strings.TrimSuffix(*r.Action.Rewrite, "/") + rest
	if to == "" {
		to = "/"
	}
	return to
}
