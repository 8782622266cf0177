package haproxy

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func env(name string) (string, bool) {
	v, ok := map[string]string{"HOST": "10.0.0.1", "PORTS": "80  81 82", "EMPTY": "", "SP": "a b", "BIG": strings.Repeat("x", 5000)}[name]
	return v, ok
}

// The manual's rules of quoting, escaping, variables and continuation, and what is wrong
// with lines that break them.
func TestWords(t *testing.T) {
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
		{`a \q`, []string{"a", "q"}, "no escape"},
		{`a \x4`, []string{"a", "4"}, "hexadecimal"},
		{`a b\`, []string{"a", "b"}, "backslash"},
		{`a "${HOST"`, []string{"a", "10.0.0.1"}, "brace"},
		{`a "${}"`, []string{"a", "${}"}, "without a name"},
		{"a \x00b", []string{"a", "b"}, "NUL"},
		{"a" + strings.Repeat(" b", 80), append([]string{"a"}, strings.Fields(strings.Repeat("b ", 63))...), "over 64 words"},
		{`a "` + strings.Repeat("${BIG}", 20) + `"`, nil, "grow"},
	} {
		lines := Lines(c.text, env)
		if len(lines) != 1 {
			t.Fatalf("%q: %d lines", c.text, len(lines))
		}
		l := lines[0]
		var got []string
		for _, w := range l.Words {
			got = append(got, w.Text)
		}
		if c.err != "grow" && !reflect.DeepEqual(got, c.want) || (c.err == "") != (l.Err == "") || !strings.Contains(l.Err, c.err) {
			t.Errorf("%.40q: %q, error %q", c.text, got, l.Err)
		}
	}
}

// Every word stands where it says, in files of any lines.
func TestPlaces(t *testing.T) {
	text := "global\n  maxconn 10 \\\n     # a\n\nfrontend \"f 1\"\r\n\tbind :80"
	lines := Lines(text, nil)
	rows := strings.Split(text, "\n")
	for _, l := range lines {
		for _, w := range l.Words {
			if row := rows[w.Pos.Line-1][w.Pos.Col-1:]; !strings.HasPrefix(row, w.Raw) {
				t.Errorf("%q is said to be at %+v, where %q is", w.Raw, w.Pos, row)
			}
		}
	}
	if fmt.Sprint(lines[len(lines)-1].Args()) != "[:80]" || lines[len(lines)-1].Key() != "bind" {
		t.Errorf("%+v", lines[len(lines)-1])
	}
}

// Words that are quoted any way come out as they were.
func TestQuotedBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.StringMatching(`[a-z #'"\\$\t{}-]{0,12}`), 1, 8).Draw(t, "words")
		var b strings.Builder
		for n, w := range words {
			if n > 0 {
				b.WriteByte(' ')
			}
			if strings.ContainsRune(w, '\'') || rapid.Bool().Draw(t, "double") {
				b.WriteString(`"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, `$`, `\$`).Replace(w) + `"`)
			} else {
				b.WriteString("'" + w + "'")
			}
		}
		l := Lines(b.String(), env)[0]
		var got []string
		for _, w := range l.Words {
			got = append(got, w.Text)
		}
		if l.Err != "" || !reflect.DeepEqual(got, words) {
			t.Fatalf("%q: %q, %s", b.String(), got, l.Err)
		}
	})
}

func FuzzLines(f *testing.F) {
	for _, s := range []string{"", "global\n\tmaxconn 1 # c\n", "a \"${X[*]}\" 'b\n", "\\", "a \\x", "a\\\r\n b\x00\xff", "\"$", "\"${A-", "'\n'"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		lines := Lines(text, env)
		if Text(lines) != text {
			t.Fatal("not what was read")
		}
		for _, l := range lines {
			if len(l.Words) > wordsMost {
				t.Fatal("too many words")
			}
		}
	})
}
