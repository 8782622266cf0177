package route

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func pool(name string) Action { return Action{Pool: name} }

// Routes in the shapes that sites have, and which one a request takes.
func TestFind(t *testing.T) {
	table, err := New([]Route{
		{"admin from inside", Match{Paths: []string{"/admin"}, Sources: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, pool("admin")},
		{"no admin", Match{Prefixes: []string{"/admin"}}, Action{Status: 403}},
		{"api post", Match{Hosts: []string{"API.example.com"}, Prefixes: []string{"/v1/"}, Methods: []string{"POST"}}, pool("write")},
		{"api", Match{Hosts: []string{"api.example.com"}, Prefixes: []string{"/v1"}}, pool("read")},
		{"beta", Match{Hosts: []string{"*.example.com"}, Headers: []Header{{Name: "X-Beta", Value: "1"}, {Name: "X-Not", Not: true}}}, pool("beta")},
		{"images", Match{Regexps: []string{`\.(png|jpe?g)$`}}, pool("static")},
		{"shops", Match{Hosts: []string{"*.shop.example.com", "shop.example.com"}}, pool("shops")},
		{"inner", Match{Listeners: []string{"inner"}}, pool("inner")},
		{"rest", Match{}, pool("web")},
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
			t.Errorf("%+v: %+v, want %s", c.q, r, c.want)
		}
	}
	if empty, err := New(nil); err != nil || empty.Find(&Request{Path: "/"}) != nil {
		t.Error("an empty table")
	}
}

// The table is an index of what trying every route in turn finds.
func TestFirstOfAll(t *testing.T) {
	hosts := []string{"a.x", "b.x", "*.x", "*.b.x", "x"}
	prefixes := []string{"/", "/a", "/a/", "/a/b", "/b"}
	some := func(from []string) *rapid.Generator[[]string] { return rapid.SliceOfN(rapid.SampledFrom(from), 0, 2) }
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for n := range rapid.IntRange(0, 12).Draw(t, "routes") {
			m := Match{Hosts: some(hosts).Draw(t, "hosts"), Paths: some([]string{"/a", "/b/c"}).Draw(t, "paths"), Prefixes: some(prefixes).Draw(t, "prefixes"),
				Regexps: some([]string{"c$", "^/b"}).Draw(t, "regexps"), Methods: some([]string{"GET", "POST"}).Draw(t, "methods")}
			routes = append(routes, Route{fmt.Sprint(n), m, pool("p")})
		}
		table, err := New(routes)
		if err != nil {
			t.Fatal(err)
		}
		q := &Request{Host: rapid.SampledFrom([]string{"a.x", "b.x", "c.b.x", "B.X:80", "x", "y"}).Draw(t, "host"),
			Path:   rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/bc", "/ab", "/b/c", ""}).Draw(t, "path"),
			Method: rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method")}
		host := hostOf(q.Host)
		want := slices.IndexFunc(routes, func(r Route) bool {
			c, _ := compile(&r)
			return c.matches(q) && (len(r.Match.Hosts) == 0 || slices.ContainsFunc(r.Match.Hosts, func(h string) bool {
				name, below := strings.CutPrefix(h, "*")
				return h == host || below && strings.HasSuffix(host, name) && len(host) > len(name)
			}))
		})
		got := table.Find(q)
		if want < 0 && got != nil || want >= 0 && (got == nil || got.Name != routes[want].Name) {
			t.Fatalf("%+v: %+v, want %d of %+v", q, got, want, routes)
		}
	})
}

func TestBadRoutes(t *testing.T) {
	to := "/"
	for _, c := range []struct {
		r    Route
		want string
	}{
		{Route{"a", Match{Hosts: []string{"*.*.x"}}, pool("p")}, "hosts"},
		{Route{"a", Match{Hosts: []string{"x:80"}}, pool("p")}, "hosts"},
		{Route{"a", Match{Prefixes: []string{"a"}}, pool("p")}, "paths"},
		{Route{"a", Match{Regexps: []string{"("}}, pool("p")}, "regexps"},
		{Route{"a", Match{Regexps: []string{strings.Repeat("a", 2000)}}, pool("p")}, "regexps"},
		{Route{"a", Match{Methods: []string{"get"}}, pool("p")}, "methods"},
		{Route{"a", Match{Headers: []Header{{}}}, pool("p")}, "headers"},
		{Route{"a", Match{Sources: []netip.Prefix{{}}}, pool("p")}, "sources"},
		{Route{"a", Match{}, Action{}}, "status"},
		{Route{"a", Match{}, Action{Pool: "p", Status: 200}}, "status"},
		{Route{"a", Match{}, Action{Status: 302}}, "location"},
		{Route{"a", Match{}, Action{Status: 302, Location: "/\r\nSet-Cookie: x"}}, "location"},
		{Route{"a", Match{}, Action{Pool: "p", Rewrite: &to}}, "rewrite"},
		{Route{"twice", Match{}, pool("p")}, "twice"},
	} {
		if _, err := New([]Route{{"twice", Match{}, pool("p")}, c.r}); err == nil || !strings.Contains(err.Error(), "route 2") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v", c.r, err)
		}
	}
}

func TestRewritten(t *testing.T) {
	for _, c := range [][4]string{
		{"/old", "/new", "/old/x", "/new/x"}, {"/old", "/new", "/old", "/new"}, {"/old/", "/", "/old/x/y", "/x/y"},
		{"/", "/v1", "/x", "/v1/x"}, {"/old", "/", "/old", "/"}, {"/old", "/new/", "/other", "/other"},
	} {
		r := Route{Match: Match{Prefixes: []string{c[0]}}, Action: Action{Pool: "p", Rewrite: &c[1]}}
		if got := r.Rewritten(c[2]); got != c[3] {
			t.Errorf("%v: %q", c, got)
		}
	}
}

// BenchmarkFind is a request that takes the last of so many routes, of one host and path
// each, and one that takes the rest behind all.
// go test ./internal/route -run '^$' -bench Find
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		var routes []Route
		for i := range n - 1 {
			routes = append(routes, Route{fmt.Sprint(i), Match{Hosts: []string{fmt.Sprintf("h%d.example.com", i%97)}, Prefixes: []string{fmt.Sprintf("/p%d/x", i)}}, pool("p")})
		}
		routes = append(routes, Route{"rest", Match{}, pool("p")})
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
