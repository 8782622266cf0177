package route

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func toPool(name string) Action { return Action{Pool: name} }

// Requests take the first matching route of a table that combines all kinds of conditions.
func TestFindReturnsFirstMatchingRoute(t *testing.T) {
	table, err := New([]Route{
		{"admin from inside", Match{Paths: []string{"/admin"}, Sources: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, toPool("admin")},
		{"no admin", Match{Prefixes: []string{"/admin"}}, Action{Status: 403}},
		{"api post", Match{Hosts: []string{"API.example.com"}, Prefixes: []string{"/v1/"}, Methods: []string{"POST"}}, toPool("write")},
		{"api", Match{Hosts: []string{"api.example.com"}, Prefixes: []string{"/v1"}}, toPool("read")},
		{"beta", Match{Hosts: []string{"*.example.com"}, Headers: []Header{{Name: "X-Beta", Value: "1"}, {Name: "X-Not", Negated: true}}}, toPool("beta")},
		{"images", Match{Regexps: []string{`\.(png|jpe?g)$`}}, toPool("static")},
		{"shops", Match{Hosts: []string{"*.shop.example.com", "shop.example.com"}}, toPool("shops")},
		{"inner", Match{Listeners: []string{"inner"}}, toPool("inner")},
		{"rest", Match{}, toPool("web")},
	})
	if err != nil {
		t.Fatal(err)
	}
	in, out := netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("192.0.2.1")
	beta := func(name string) []string { return map[string][]string{"X-Beta": {"0", "1"}}[name] }
	for _, c := range []struct {
		q    Request
		want string
	}{
		{Request{"x", "/admin", "GET", in, "", nil}, "admin from inside"},
		{Request{"x", "/admin", "GET", netip.MustParseAddr("::ffff:10.1.2.3"), "", nil}, "admin from inside"},
		{Request{"x", "/admin", "GET", out, "", nil}, "no admin"},
		{Request{"x", "/admin/users", "GET", in, "", nil}, "no admin"},
		{Request{"x", "/administrator", "GET", in, "", nil}, "rest"},
		{Request{"api.example.com:8080", "/v1/a", "POST", out, "", nil}, "api post"},
		{Request{"api.example.com.", "/v1", "POST", out, "", nil}, "api"},
		{Request{"api.example.com", "/v1/a", "GET", out, "", beta}, "api"},
		{Request{"api.example.com", "/v2", "GET", out, "", beta}, "beta"},
		{Request{"a.b.example.com", "/", "GET", out, "", beta}, "beta"},
		{Request{"example.com", "/", "GET", out, "", beta}, "rest"},
		{Request{"a.shop.example.com", "/x.png", "GET", out, "", nil}, "images"},
		{Request{"shop.example.com", "/", "GET", out, "", nil}, "shops"},
		{Request{"[2001:db8::1]:80", "/", "GET", out, "", nil}, "rest"},
		{Request{"", "", "", netip.Addr{}, "", nil}, "rest"},
		{Request{"x", "/", "GET", in, "inner", nil}, "inner"},
		{Request{"x", "/", "GET", in, "outer", nil}, "rest"},
	} {
		if r := table.Find(&c.q); r == nil || r.Name != c.want {
			t.Errorf("request %+v: route %+v, want %s", c.q, r, c.want)
		}
	}
	if empty, err := New(nil); err != nil || empty.Find(&Request{Path: "/"}) != nil {
		t.Error("an empty table is rejected or finds a route")
	}
}

// Find returns the same route as a linear scan over all routes.
func TestFindMatchesLinearScan(t *testing.T) {
	hosts := []string{"a.x", "b.x", "*.x", "*.b.x", "x"}
	prefixes := []string{"/", "/a", "/a/", "/a/b", "/b"}
	some := func(from []string) *rapid.Generator[[]string] { return rapid.SliceOfN(rapid.SampledFrom(from), 0, 2) }
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for n := range rapid.IntRange(0, 12).Draw(t, "routes") {
			m := Match{Hosts: some(hosts).Draw(t, "hosts"), Paths: some([]string{"/a", "/b/c"}).Draw(t, "paths"), Prefixes: some(prefixes).Draw(t, "prefixes"),
				Regexps: some([]string{"c$", "^/b"}).Draw(t, "regexps"), Methods: some([]string{"GET", "POST"}).Draw(t, "methods")}
			routes = append(routes, Route{fmt.Sprint(n), m, toPool("p")})
		}
		table, err := New(routes)
		if err != nil {
			t.Fatal(err)
		}
		q := &Request{Host: rapid.SampledFrom([]string{"a.x", "b.x", "c.b.x", "B.X:80", "x", "y"}).Draw(t, "host"),
			Path:   rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/bc", "/ab", "/b/c", ""}).Draw(t, "path"),
			Method: rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method")}
		host := normalizeHost(q.Host)
		want := slices.IndexFunc(routes, func(r Route) bool {
			c, _ := compile(&r)
			return c.matches(q) && (len(r.Match.Hosts) == 0 || slices.ContainsFunc(r.Match.Hosts, func(h string) bool {
				name, below := strings.CutPrefix(h, "*")
				return h == host || below && strings.HasSuffix(host, name) && len(host) > len(name)
			}))
		})
		got := table.Find(q)
		if want < 0 && got != nil || want >= 0 && (got == nil || got.Name != routes[want].Name) {
			t.Fatalf("request %+v: route %+v, want index %d of %+v", q, got, want, routes)
		}
	})
}

// Each invalid route is rejected with an error that names the route and the field.
func TestNewRejectsInvalidRoutes(t *testing.T) {
	to := "/"
	for _, c := range []struct {
		r    Route
		want string
	}{
		{Route{"a", Match{Hosts: []string{"*.*.x"}}, toPool("p")}, "hosts"},
		{Route{"a", Match{Hosts: []string{"x:80"}}, toPool("p")}, "hosts"},
		{Route{"a", Match{Prefixes: []string{"a"}}, toPool("p")}, "paths"},
		{Route{"a", Match{Regexps: []string{"("}}, toPool("p")}, "regexps"},
		{Route{"a", Match{Regexps: []string{strings.Repeat("a", 2000)}}, toPool("p")}, "regexps"},
		{Route{"a", Match{Methods: []string{"get"}}, toPool("p")}, "methods"},
		{Route{"a", Match{Headers: []Header{{}}}, toPool("p")}, "headers"},
		{Route{"a", Match{Sources: []netip.Prefix{{}}}, toPool("p")}, "sources"},
		{Route{"a", Match{}, Action{}}, "status"},
		{Route{"a", Match{}, Action{Pool: "p", Status: 200}}, "status"},
		{Route{"a", Match{}, Action{Status: 302}}, "location"},
		{Route{"a", Match{}, Action{Status: 302, Location: "/\r\nSet-Cookie: x"}}, "location"},
		{Route{"a", Match{}, Action{Pool: "p", Rewrite: &to}}, "rewrite"},
		{Route{"twice", Match{}, toPool("p")}, "twice"},
	} {
		if _, err := New([]Route{{"twice", Match{}, toPool("p")}, c.r}); err == nil || !strings.Contains(err.Error(), "route 2") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("route %+v: got error %v", c.r, err)
		}
	}
}

// RewritePath replaces a matching prefix, keeps the rest of the path and joins both by one "/".
func TestRewritePath(t *testing.T) {
	for _, c := range [][4]string{
		{"/old", "/new", "/old/x", "/new/x"}, {"/old", "/new", "/old", "/new"}, {"/old/", "/", "/old/x/y", "/x/y"},
		{"/", "/v1", "/x", "/v1/x"}, {"/old", "/", "/old", "/"}, {"/old", "/new/", "/other", "/other"},
	} {
		r := Route{Match: Match{Prefixes: []string{c[0]}}, Action: Action{Pool: "p", Rewrite: &c[1]}}
		if got := r.RewritePath(c[2]); got != c[3] {
			t.Errorf("case %v: got %q", c, got)
		}
	}
}

// BenchmarkFind measures a request that matches the last of n routes with a host and a
// prefix each, and one that matches only the catch-all route behind them.
// go test ./internal/route -run '^$' -bench Find
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		var routes []Route
		for i := range n - 1 {
			routes = append(routes, Route{fmt.Sprint(i), Match{Hosts: []string{fmt.Sprintf("h%d.example.com", i%97)}, Prefixes: []string{fmt.Sprintf("/p%d/x", i)}}, toPool("p")})
		}
		routes = append(routes, Route{"rest", Match{}, toPool("p")})
		table, err := New(routes)
		if err != nil {
			b.Fatal(err)
		}
		last := &routes[max(n-2, 0)].Match
		for name, q := range map[string]*Request{
			"last": {Host: last.Hosts[0], Path: last.Prefixes[0] + "/y", Method: "GET"},
			"rest": {Host: "elsewhere.example.com", Path: "/some/other/path", Method: "GET"},
		} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					if table.Find(q) == nil {
						b.Fatal("none")
					}
				}
			})
		}
	}
}
