package translate

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"chalkrack/internal/haproxy"
)

// table is the operators' table of keywords, made from the code.
func table() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(Keywords)) {
		fmt.Fprintf(&b, "| `%s` | %v | %s |\n", k, Keywords[k].Verdict, Keywords[k].Why)
	}
	return b.String()
}

// The operators' page has the verdict of every keyword as the code has it.
func TestPageHasAllKeywords(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/haproxy-import.md")
	if err != nil {
		t.Fatal(err)
	}
	for row := range strings.Lines(table()) {
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks: %s", row)
		}
	}
}

// FuzzTranslate: whatever is read, each directive has one verdict and nothing panics.
func FuzzTranslate(f *testing.F) {
	f.Add("listen l\n mode http\n acl a path /x\n acl a hdr(host) -m end .y\n use_backend b if a !a || { src 1 }\n server s 1.1.1.1:1 weight\nbackend b\n mode http\n server")
	f.Add("frontend f\n mode http\n http-request deny if { path_reg ( }\n redirect\n acl\n use_backend\n option httpchk\n retry-on")
	f.Add(".if 1\nfrontend f\n option\n timeout\n.endif")
	f.Fuzz(func(t *testing.T, text string) {
		c := haproxy.Read([]haproxy.Source{{Name: "f", Text: text}}, haproxy.Options{})
		r := Translate(c, Options{SafeClass: "s", OtherClass: "o"})
		want := len(c.Outside) + len(c.Blocks)
		for _, s := range c.Sections {
			want += 1 + len(s.Directives)
		}
		if len(r.Entries) != want {
			t.Fatalf("%d verdicts of %d directives", len(r.Entries), want)
		}
	})
}

// BenchmarkImport is 10,000 lines.
// go test ./internal/haproxy/translate -run '^$' -bench Import -benchmem
func BenchmarkImport(b *testing.B) {
	var text strings.Builder
	text.WriteString("frontend f\n mode http\n")
	for n := range 3333 {
		fmt.Fprintf(&text, " acl a%d path_beg /p%d/\n use_backend b%d if a%d\n", n, n, n%1000, n)
	}
	for n := range 1000 {
		fmt.Fprintf(&text, "backend b%d\n mode http\n server s 10.0.0.1:80 check\n", n)
	}
	for b.Loop() {
		c := haproxy.Read([]haproxy.Source{{Name: "f", Text: text.String()}}, haproxy.Options{})
		if r := Translate(c, Options{}); len(r.Routes) != 3333 {
			b.Fatal(len(r.Routes))
		}
	}
}
