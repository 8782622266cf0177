package haproxy

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// testEnv looks up the environment variables of the tests.
func testEnv(name string) (string, bool) {
	v, ok := map[string]string{"HOST": "10.0.0.1", "PORTS": "80  81 82", "EMPTY": "", "SP": "a b", "BIG": strings.Repeat("x", 5000)}[name]
	return v, ok
}

// Lines are split into words by the manual's rules of quoting, escaping, variables and
// continuation; a line that breaks them gets an error.
func TestWordsAndLineErrors(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string
		err  string
	}{
		{"  # nothing", nil, ""},
		{"bind :80 # comment", []string{"bind", ":80"}, ""},
		{"acl a\tpath  /x\\ y\\#z", []string{"acl", "a", "path", "/x y#z"}, ""},
		{`log-format "%ci \"q\" # no comment"`, []string{"log-format", `%ci "q" # no comment`}, ""},
		{`reqrep 'a\b "c" $HOST'`, []string{"reqrep", `a\b "c" $HOST`}, ""},
		{`a "x"'y'z`, []string{"a", "xyz"}, ""},
		{`a "" b`, []string{"a", "", "b"}, ""},
		{`a \x41\n\t\r`, []string{"a", "A\n\t\r"}, ""},
		{`server s "$HOST:${PORT-8080}"`, []string{"server", "s", "10.0.0.1:8080"}, ""},
		{`server s $HOST:80`, []string{"server", "s", "$HOST:80"}, ""},
		{`bind "${PORTS[*]}" x`, []string{"bind", "80", "81", "82", "x"}, ""},
		{`bind ":${PORTS[*]}/"`, []string{"bind", ":80", "81", "82/"}, ""},
		{`a "${EMPTY-no}" "${NONE}" "$SP"`, []string{"a", "", "", "a b"}, ""},
		{`a "\$HOST costs 5$"`, []string{"a", "$HOST costs 5$"}, ""},
		{"a b \\\n  c # d", []string{"a", "b", "c"}, ""},
		{"a b\\\r\nc\r\n", []string{"a", "bc"}, ""},
		{`a "b`, []string{"a", "b"}, "quote"},
		{`a 'b`, []string{"a", "b"}, "quote"},
		{`a \q`, []string{"a", "q"}, "unknown escape"},
		{`a \x4`, []string{"a", "4"}, "hexadecimal"},
		{`a b\`, []string{"a", "b"}, "backslash"},
		{`a "${HOST"`, []string{"a", "10.0.0.1"}, "brace"},
		{`a "${}"`, []string{"a", "${}"}, "without a name"},
		{"a \x00b", []string{"a", "b"}, "NUL"},
		{"a" + strings.Repeat(" b", 80), append([]string{"a"}, strings.Fields(strings.Repeat("b ", 63))...), "more than 64 words"},
		{`a "` + strings.Repeat("${BIG}", 20) + `"`, nil, "expand"},
	} {
		lines := ParseLines(c.text, testEnv)
		if len(lines) != 1 {
			t.Fatalf("%q: %d lines", c.text, len(lines))
		}
		line := lines[0]
		var got []string
		for _, w := range line.Words {
			got = append(got, w.Text)
		}
		if c.err != "expand" && !reflect.DeepEqual(got, c.want) || (c.err == "") != (line.Err == "") || !strings.Contains(line.Err, c.err) {
			t.Errorf("%.40q: %q, error %q", c.text, got, line.Err)
		}
	}
}

// A word's position is that of its first byte, also after a line continuation, a CRLF and a tab.
func TestWordPositions(t *testing.T) {
	text := "global\n  maxconn 10 \\\n     # a\n\nfrontend \"f 1\"\r\n\tbind :80"
	lines := ParseLines(text, nil)
	rows := strings.Split(text, "\n")
	for _, line := range lines {
		for _, word := range line.Words {
			if row := rows[word.Pos.Line-1][word.Pos.Col-1:]; !strings.HasPrefix(row, word.Raw) {
				t.Errorf("%q has position %+v, where the text is %q", word.Raw, word.Pos, row)
			}
		}
	}
	if fmt.Sprint(lines[len(lines)-1].Args()) != "[:80]" || lines[len(lines)-1].Keyword() != "bind" {
		t.Errorf("last line is %+v, want bind :80", lines[len(lines)-1])
	}
}

// Words written in single quotes, or in double quotes with escapes, are parsed to the same text.
func TestQuotedWordsKeepTheirText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.StringMatching(`[a-z #'"\\$\t{}-]{0,12}`), 1, 8).Draw(t, "words")
		var text strings.Builder
		for n, w := range words {
			if n > 0 {
				text.WriteByte(' ')
			}
			if strings.ContainsRune(w, '\'') || rapid.Bool().Draw(t, "double") {
				text.WriteString(`"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, `$`, `\$`).Replace(w) + `"`)
			} else {
				text.WriteString("'" + w + "'")
			}
		}
		line := ParseLines(text.String(), testEnv)[0]
		var got []string
		for _, w := range line.Words {
			got = append(got, w.Text)
		}
		if line.Err != "" || !reflect.DeepEqual(got, words) {
			t.Fatalf("%q: %q, %s", text.String(), got, line.Err)
		}
	})
}

// FuzzLines checks that any text can be parsed, that its lines join to the same text, and that no
// line has too many words.
func FuzzLines(f *testing.F) {
	for _, s := range []string{"", "global\n\tmaxconn 1 # c\n", "a \"${X[*]}\" 'b\n", "\\", "a \\x", "a\\\r\n b\x00\xff", "\"$", "\"${A-", "'\n'"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		lines := ParseLines(text, testEnv)
		if JoinLines(lines) != text {
			t.Fatal("the joined lines differ from the text")
		}
		for _, l := range lines {
			if len(l.Words) > maxWordsPerLine {
				t.Fatal("a line has more words than maxWordsPerLine")
			}
		}
	})
}
