package haproxy

import (
	"fmt"
	"strings"
	"testing"
)

// Conditions follow the manual's operators and predicates; those that depend on how HAProxy was
// built are unknown, and invalid ones are errors.
func TestEvaluateConditions(t *testing.T) {
	for _, c := range []struct {
		cond string
		want Truth
		err  string
	}{
		{"", False, ""}, {"0", False, ""}, {"2", True, ""}, {"defined(HOST)", True, ""}, {"!defined(NONE)", True, ""},
		{"streq(a,a) && strneq(a, b)", True, ""}, {"strstr(abc,bd) || 1", True, ""}, {"(0 || 1) && !(1 && 0)", True, ""},
		{"version_atleast(2.4)", True, ""}, {"version_before(2.8.4)", True, ""}, {"version_atleast(2.8.3-dev1)", True, ""},
		{"feature(QUIC)", Unknown, ""}, {"feature(QUIC) && 0", False, ""}, {"feature(QUIC) || 1", True, ""}, {"!feature(QUIC)", Unknown, ""},
		{"perhaps(1)", False, "unknown predicate"}, {"streq(a)", False, "2 arguments"}, {"(1", False, "missing closing parenthesis"}, {"1 1", True, "unexpected"},
		{"abc", False, "not a condition"}, {"defined(A", False, "missing closing parenthesis"}, {"version_atleast(two)", False, "invalid version"}, {strings.Repeat("(", 99), False, "parentheses"},
	} {
		got, err := Evaluate(c.cond, "2.8.3", testEnv)
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) || err == nil && got != c.want {
			t.Errorf("%q: %v, %v", c.cond, got, err)
		}
	}
}

// Two files form one configuration. It has defaults by name and by position, conditional
// blocks that are true, false and unknown, unknown sections, and unknown, duplicate and cyclic
// names. Each error must be reported, and none may stop the reading.
func TestReadSectionsDefaultsAndProblems(t *testing.T) {
	firstFile := `global
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
	secondFile := `backend a
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
	config := Read([]Source{{"one", firstFile}, {"two", "stray 1\n" + secondFile}}, Options{Env: testEnv, IsKnownDirective: known})
	var got []string
	for _, s := range config.Sections {
		defaultsName := ""
		if s.Defaults != nil {
			defaultsName = s.Defaults.Name
		}
		directives := ""
		for _, d := range s.Directives {
			directives += " " + d.Keyword() + " " + strings.Join(d.Args(), " ") + " " + d.Active.String()
		}
		got = append(got, fmt.Sprintf("%s %s (%v, %s)%s", s.Kind, s.Name, s.Known, defaultsName, directives))
	}
	want := []string{
		"global  (true, ) maxconn 10 true", "foo bar (false, ) baz 1 true", "defaults base (true, ) mode http true",
		"defaults web (true, base) timeout client 5s true", "defaults round (true, )", "defaults trip (true, round) retries 1 true",
		"frontend f (true, web) bind :80 true use_backend a true use_backend b false use_backend c false acl x path /x unknown acl y path /y unknown",
		"backend a (true, trip) server s1 1.2.3.4:80  true", "listen a (true, trip)", "frontend g (true, )", "resolvers r (true, ) nameserver n 1.1.1.1:53 true", "defaults web (true, )",
	}
	for n := range max(len(got), len(want)) {
		if n >= len(got) || n >= len(want) || got[n] != want[n] {
			t.Errorf("section %d:\ngot  %q\nwant %q", n, got[min(n, len(got)-1)], want[min(n, len(want)-1)])
		}
	}
	problems := ""
	for _, p := range config.Problems {
		problems += p.Error() + "\n"
	}
	for _, text := range []string{`one:3:1: unknown section "foo"`, "cyclic defaults", "quote", `duplicate listen "a", first defined at two:2`, ".endif without .if", "block without .endif", `"stray" appears before`, `unknown defaults "nowhere"`, `duplicate defaults "web", first defined at one:7`} {
		if !strings.Contains(problems, text) {
			t.Errorf("no problem with %q among:\n%s", text, problems)
		}
	}
	count := 0
	for d, owner := range config.Sections[6].AllDirectives {
		if count++; count == 1 && (d.Keyword() != "mode" || owner.Name != "base") {
			t.Errorf("first directive is %s of %s, want mode of base", d.Keyword(), owner.Name)
		}
	}
	if count != 8 {
		t.Errorf("got %d directives, want 8", count)
	}
}

// FuzzRead checks that any text can be read, and that cyclic defaults do not make AllDirectives
// run forever.
func FuzzRead(f *testing.F) {
	f.Add("defaults a from b\ndefaults b from a\nfrontend x from a\n.if !(1\n.elif\n.else\n.endif\nlisten x\n y z\nq")
	f.Add(".if 1\n.if 0\nglobal\n.endif\n\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		config := Read([]Source{{"f", text}}, Options{Env: testEnv, IsKnownDirective: func(_, name string) bool { return len(name) > 1 }})
		for _, s := range config.Sections {
			n := 0
			for range s.AllDirectives {
				if n++; n > len(text)+1 {
					t.Fatal("section has more directives than the text has bytes: its defaults are cyclic")
				}
			}
		}
	})
}
