package features

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each complaint is one line that names file, line and field.
func TestProblems(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no TOML", "version = 1\n[answers\n", "f.toml:2: "},
		{"no value", "version =\n", "f.toml:1: "},
		{"unknown section", "version = 1\n\n[anwsers]\npass_client_errors = true\n", "f.toml:3: anwsers: there is no such field"},
		{"unknown field", "[answers]\n\npass_client_error = true\n", "f.toml:3: answers.pass_client_error: there is no such field"},
		{"unknown field with dots", "answers.pass = true\n", "f.toml:1: answers.pass: there is no such field"},
		{"wrong type", "[answers]\n# a comment\npass_client_errors = \"yes\"\n", "f.toml:3: answers.pass_client_errors: "},
		{"wrong type of a section", "answers = 3\n", "f.toml:1: answers: "},
		{"wrong type in a table", "[paths]\n\"/a/b\" = 3\n", "f.toml:2: paths./a/b: "},
		{"out of range", "\n\nversion = 9\n", "f.toml:3: version: must be 1, not 9"},
		{"no path", "[paths]\n\"/x\" = \"a\"\n\"a\" = \"a\"\n", "f.toml:3: paths.a: the path must begin with '/'"},
		{"no class", "[paths]\n\"/x\" = \"\"\n", "f.toml:2: paths./x: names no class"},
		{"twice", "version = 1\nversion = 1\n", "f.toml:2: "},
		{"no text", "version = 1 # \xff\n", "f.toml: no UTF-8"},
		{"long", strings.Repeat("#", fileMost+1), "f.toml: over "},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
	_, err := Parse("f.toml", []byte("[paths]\nx = \"\"\n[answers]\n"))
	if bad, ok := err.(Problems); !ok || len(bad) != 2 || !strings.Contains(err.Error(), "1 more") {
		t.Errorf("not all of them: %v", err)
	}
}

func TestClasses(t *testing.T) {
	f, err := Parse("f.toml", []byte("[paths]\n\"/x\" = \"a\"\n\"/y\" = \"nowhere\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	err = f.CheckClasses(func(name string) bool { return name == "a" })
	if err == nil || err.Error() != `f.toml:3: paths./y: there is no class "nowhere"` {
		t.Error(err)
	}
	if err := f.CheckClasses(func(string) bool { return true }); err != nil {
		t.Error(err)
	}
}

// What the project ships is good and changes nothing, also with its examples taken in.
func TestShipped(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "features.toml")
	f, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Paths) > 0 || f.Answers != (Answers{}) {
		t.Errorf("something is on: %+v", f)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "# "); ok && strings.ContainsAny(rest, "=[") && !strings.HasSuffix(rest, ".\n") {
			line = rest
		}
		all = append(all, line)
	}
	if f, err = Parse("examples", []byte(strings.Join(all, ""))); err != nil || len(f.Paths) == 0 {
		t.Errorf("its examples: %v, %+v", err, f)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a file that is not there")
	}
}

func FuzzParse(f *testing.F) {
	f.Add("version = 1\n[answers]\npass_client_errors = true\n[paths]\n\"/x\" = \"a\"\n")
	f.Add("[[paths]]\nx = [1, {a = 2}]\n[paths.x]\n")
	f.Add("[[a]]\n[a.b]\nc = 1\n[[a]]\n")
	f.Add("version = 1e400\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("f", []byte(text))
		if err == nil {
			return
		}
		for _, p := range err.(Problems) {
			if strings.Contains(p.Error(), "\n") || p.Line < 0 || p.Line > strings.Count(text, "\n")+1 {
				t.Errorf("of %q: %q in line %d", text, p.Error(), p.Line)
			}
		}
	})
}
