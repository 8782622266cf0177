package chalkrack_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "chalkrack"

// allowed reads the table of docs/ARCHITECTURE.md: what each package may import.
func allowed(t *testing.T) map[string][]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("docs", "ARCHITECTURE.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(text), "| package | may import of ours | libraries |")
	rules := make(map[string][]string)
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 5 {
			if len(rules) > 0 {
				break
			}
			continue
		}
		words := func(cell string) (all []string) {
			for _, w := range strings.Fields(cell) {
				all = append(all, strings.Trim(w, "`"))
			}
			return all
		}
		if name := words(cells[1]); len(name) == 1 && !strings.HasPrefix(name[0], "-") {
			rules[name[0]] = append(words(cells[2]), words(cells[3])...)
		}
	}
	if len(rules) < 10 {
		t.Fatalf("the table has %d rows", len(rules))
	}
	return rules
}

// The table in docs/ARCHITECTURE.md is how the packages import one another, each has a
// row, and nothing of the table is out of use.
func TestImportsAsTheDocumentSays(t *testing.T) {
	rules := allowed(t)
	used := make(map[string]map[string]bool)
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if _, err := os.Stat(filepath.Join(path, "go.mod")); path != "." && (err == nil || strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata" || d.Name() == "journal") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		pkg := filepath.ToSlash(filepath.Dir(path))
		if used[pkg] == nil {
			used[pkg] = make(map[string]bool)
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			switch rest, ours := strings.CutPrefix(name, module+"/"); {
			case name == module:
				used[pkg]["."] = true
			case ours:
				used[pkg][rest] = true
			case strings.Contains(strings.Split(name, "/")[0], "."):
				at := slices.IndexFunc(rules[pkg], func(lib string) bool { return name == lib || strings.HasPrefix(name, lib+"/") })
				if at >= 0 {
					name = rules[pkg][at]
				}
				used[pkg][name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for pkg, imports := range used {
		may, known := rules[pkg]
		if !known {
			t.Errorf("%s has no row", pkg)
		}
		for name := range imports {
			if !slices.Contains(may, name) {
				t.Errorf("%s imports %s", pkg, name)
			}
		}
	}
	for pkg, may := range rules {
		for _, name := range may {
			if !used[pkg][name] {
				t.Errorf("%s does not import %s", pkg, name)
			}
		}
	}
}
