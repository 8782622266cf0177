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

// allowed returns the packages and libraries that each package may import,
// by the table in docs/ARCHITECTURE.md.
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
		t.Fatalf("the table of imports has %d rows, want 10 or more", len(rules))
	}
	return rules
}

// The packages import one another and libraries exactly as the table in
// docs/ARCHITECTURE.md says: each package has a row, and each entry is used.
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
			t.Errorf("package %s has no row in the table", pkg)
		}
		for name := range imports {
			if !slices.Contains(may, name) {
				t.Errorf("package %s imports %s, which the table does not allow", pkg, name)
			}
		}
	}
	for pkg, may := range rules {
		for _, name := range may {
			if !used[pkg][name] {
				t.Errorf("package %s does not import %s, which the table lists", pkg, name)
			}
		}
	}
}
