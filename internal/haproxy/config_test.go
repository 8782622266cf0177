package haproxy

import (
	"fmt"
	"strings"
	"testing"
)

func TestConditions(t *testing.T) {
	for _, c := range []struct {
		cond string
		want Truth
		err  string
	}{
		{"", False, ""}, {"0", False, ""}, {"2", True, ""}, {"defined(HOST)", True, ""}, {"!defined(NONE)", True, ""},
		{"streq(a,a) && strneq(a, b)", True, ""}, {"strstr(abc,bd) || 1", True, ""}, {"(0 || 1) && !(1 && 0)", True, ""},
		{"version_atleast(2.4)", True, ""}, {"version_before(2.8.4)", True, ""}, {"version_atleast(2.8.3-dev1)", True, ""},
		{"feature(QUIC)", Unknown, ""}, {"feature(QUIC) && 0", False, ""}, {"feature(QUIC) || 1", True, ""}, {"!feature(QUIC)", Unknown, ""},
		{"perhaps(1)", False, "no predicate"}, {"streq(a)", False, "2 arguments"}, {"(1", False, "close"}, {"1 1", True, "no sense"},
		{"abc", False, "no condition"}, {"defined(A", False, "close"}, {"version_atleast(two)", False, "no version"}, {strings.Repeat("(", 99), False, "parentheses"},
	} {
		got, err := Evaluate(c.cond, "2.8.3", env)
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) || err == nil && got != c.want {
			t.Errorf("%q: %v, %v", c.cond, got, err)
		}
	}
}

// Files in their order are one configuration: defaults by name and by place, blocks that
// hold, do not, or depend on what nobody knows here, sections that do not exist, and all
// that is wrong with names; none of it ends the reading.
func TestRead(t *testing.T) {
	one := `global
  maxconn 10
foo bar
  baz 1
defaults base
  mode http
defaults web from base
  timeout client 5s
defaults round from trip
defaults trip from round
  retries 1
frontend f from web
  bind :80
  .if defined(HOST)
  use_backend a
  .elif 1
  use_backend b
  .else
  use_backend c
  .endif
  .if feature(LUA)
  acl x path /x
  .else
  acl y path /y
  .endif
`
	two := `backend a
  server s1 1.2.3.4:80 "
listen a
  .endif
  .if 1
frontend g from nowhere
resolvers r
  nameserver n 1.1.1.1:53
defaults web
`
	known := func(kind, name string) bool { return kind == "frontend" || name == "maxconn" || name == "mode" }
	c := Read([]Source{{"one", one}, {"two", "stray 1\n" + two}}, Options{Env: env, Directive: known})
	var got []string
	for _, s := range c.Sections {
		from := ""
		if s.Defaults != nil {
			from = s.Defaults.Name
		}
		held := ""
		for _, d := range s.Directives {
			held += " " + d.Key() + " " + strings.Join(d.Args(), " ") + " " + d.Holds.String()
		}
		got = append(got, fmt.Sprintf("%s %s (%v, %s)%s", s.Kind, s.Name, s.Known, from, held))
	}
	want := []string{
		"global  (true, ) maxconn 10 true", "foo bar (false, ) baz 1 true", "defaults base (true, ) mode http true",
		"defaults web (true, base) timeout client 5s true", "defaults round (true, )", "defaults trip (true, round) retries 1 true",
		"frontend f (true, web) bind :80 true use_backend a true use_backend b false use_backend c false acl x path /x unknown acl y path /y unknown",
		"backend a (true, trip) server s1 1.2.3.4:80  true", "listen a (true, trip)", "frontend g (true, )", "resolvers r (true, ) nameserver n 1.1.1.1:53 true", "defaults web (true, )",
	}
	for n := range max(len(got), len(want)) {
		if n >= len(got) || n >= len(want) || got[n] != want[n] {
			t.Errorf("section %d:\n%q\n%q", n, got[min(n, len(got)-1)], want[min(n, len(want)-1)])
		}
	}
	all := ""
	for _, p := range c.Problems {
		all += p.Error() + "\n"
	}
	for _, text := range []string{`one:3:1: there is no section "foo"`, "a cycle of from", "quote", `listen "a" is there already, at two:2`, ".endif without .if", "does not end", `"stray" stands before`, `no defaults "nowhere"`, `defaults "web" is there already, at one:7`} {
		if !strings.Contains(all, text) {
			t.Errorf("%q is not said:\n%s", text, all)
		}
	}
	n := 0
	for d, of := range c.Sections[6].All {
		if n++; n == 1 && (d.Key() != "mode" || of.Name != "base") {
			t.Errorf("first %s of %s", d.Key(), of.Name)
		}
	}
	if n != 8 {
		t.Errorf("%d directives hold", n)
	}
}

func FuzzRead(f *testing.F) {
	f.Add("defaults a from b\ndefaults b from a\nfrontend x from a\n.if !(1\n.elif\n.else\n.endif\nlisten x\n y z\nq")
	f.Add(".if 1\n.if 0\nglobal\n.endif\n\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		c := Read([]Source{{"f", text}}, Options{Env: env, Directive: func(_, name string) bool { return len(name) > 1 }})
		for _, s := range c.Sections {
			n := 0
			for range s.All {
				if n++; n > len(text)+1 {
					t.Fatal("a cycle")
				}
			}
		}
	})
}
