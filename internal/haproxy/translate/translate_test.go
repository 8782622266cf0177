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

// keywordTable returns the operators' table of keywords, made from Keywords.
func keywordTable() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(Keywords)) {
		fmt.Fprintf(&b, "| `%s` | %v | %s |\n", k, Keywords[k].Verdict, Keywords[k].Reason)
	}
	return b.String()
}

// The operators' page must list the verdict and reason of every keyword as in Keywords; it becomes
// outdated if only one of them is edited.
func TestOperatorsPageListsAllKeywords(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/haproxy-import.md")
	if err != nil {
		t.Fatal(err)
	}
	for row := range strings.Lines(keywordTable()) {
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks the row: %s", row)
		}
	}
}

// FuzzTranslate checks that any text can be translated and that each directive gets exactly one
// verdict.
func FuzzTranslate(f *testing.F) {
	f.Add("listen l\n mode http\n acl a path /x\n acl a hdr(host) -m end .y\n use_backend b if a !a || { src 1 }\n server s 1.1.1.1:1 weight\nbackend b\n mode http\n server")
	f.Add("frontend f\n mode http\n http-request deny if { path_reg ( }\n redirect\n acl\n use_backend\n option httpchk\n retry-on")
	f.Add(".if 1\nfrontend f\n option\n timeout\n.endif")
	f.Fuzz(func(t *testing.T, text string) {
		config := haproxy.Read([]haproxy.Source{{Name: "f", Text: text}}, haproxy.Options{})
		result := Translate(config, Options{SafeClass: "s", OtherClass: "o"})
		want := len(config.OutsideDirectives) + len(config.BlockDirectives)
		for _, s := range config.Sections {
			want += 1 + len(s.Directives)
		}
		if len(result.Entries) != want {
			t.Fatalf("%d verdicts for %d directives", len(result.Entries), want)
		}
	})
}

// BenchmarkImport reads and translates 10,000 lines:
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
		config := haproxy.Read([]haproxy.Source{{Name: "f", Text: text.String()}}, haproxy.Options{})
		if result := Translate(config, Options{}); len(result.Routes) != 3333 {
			b.Fatal(len(result.Routes))
		}
	}
}
