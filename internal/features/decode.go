package features

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each key and table of a file to its line. The parts of a
// path are separated by dots; a table of an array has its index in brackets.
type lineIndex map[string]int

// lineOf returns the line of a field or, if it is not in the file, of the nearest enclosing
// table; 0 if there is none.
func (lines lineIndex) lineOf(field string) int {
	for field != "" {
		for _, name := range []string{field, field + "[0]"} {
			if n, ok := lines[name]; ok {
				return n
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 0
}

// indexLines builds the index of a text. It stops at a syntax error, which decode reports.
func indexLines(data []byte) lineIndex {
	lines := make(lineIndex)
	arrays := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		path, line := "", 0
		for keys := e.Key(); keys.Next(); {
			k := keys.Node()
			if line == 0 {
				line = p.Shape(k.Raw).Start.Line
			}
			path = joinPath(path, string(k.Data))
			if e.Kind != unstable.KeyValue {
				if n, ok := arrays[path]; ok && !keys.IsLast() {
					path = fmt.Sprintf("%s[%d]", path, n)
				}
			}
		}
		switch e.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			n, ok := arrays[path]
			if ok {
				n++
			}
			arrays[path] = n
			table = fmt.Sprintf("%s[%d]", path, n)
			path = table
		case unstable.KeyValue:
			path = joinPath(table, path)
		default:
			continue
		}
		lines[path] = line
	}
	return lines
}

func joinPath(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

// decode parses data into f and reports unknown fields and wrong types.
func (f *File) decode(data []byte) (problems Problems) {
	f.lines = indexLines(data)
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(f)
	var unknownFields *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknownFields):
		for n := range unknownFields.Errors {
			e := &unknownFields.Errors[n]
			line, _ := e.Position()
			problems = append(problems, &Problem{f.name, line, strings.Join(e.Key(), "."), "there is no such field"})
		}
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		field := strings.Join(decodeErr.Key(), ".")
		if field == "" {
			field = f.lines.fieldAt(line)
		}
		problems = append(problems, &Problem{f.name, line, field, strings.TrimPrefix(decodeErr.Error(), "toml: ")})
	default:
		problems = append(problems, &Problem{f.name, 0, "", err.Error()})
	}
	problems.sort()
	return problems
}

// fieldAt returns the field that is set in a line, or "" if there is none.
func (lines lineIndex) fieldAt(line int) string {
	for _, field := range slices.Sorted(maps.Keys(lines)) {
		if lines[field] == line {
			return field
		}
	}
	return ""
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b *Problem) int { return cmp.Compare(a.Line, b.Line) })
}

// checker collects the problems of a file.
type checker struct {
	file     *File
	problems Problems
}

// require records a problem with the field unless ok is true.
func (c *checker) require(ok bool, field, text string, args ...any) {
	if !ok {
		c.problems = append(c.problems, &Problem{c.file.name, c.file.lines.lineOf(field), field, fmt.Sprintf(text, args...)})
	}
}

// err returns the problems in the order of their lines, or nil if there are none.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	c.problems.sort()
	return c.problems
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
