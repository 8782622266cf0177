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

// index has the line of each key and table of a file, by its path: parts with dots
// between, tables of an array with their place in brackets.
type index map[string]int

// line is that of a field, or of the nearest table round it.
func (i index) line(field string) int {
	for field != "" {
		for _, name := range []string{field, field + "[0]"} {
			if n, ok := i[name]; ok {
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

// scan indexes a text; it stops at what is no TOML, which decoding will complain of.
func scan(data []byte) index {
	lines := make(index)
	arrays := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		path, at := "", 0
		for keys := e.Key(); keys.Next(); {
			k := keys.Node()
			if at == 0 {
				at = p.Shape(k.Raw).Start.Line
			}
			path = join(path, string(k.Data))
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
			path = join(table, path)
		default:
			continue
		}
		lines[path] = at
	}
	return lines
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

// decode fills f strictly.
func (f *File) decode(data []byte) (bad Problems) {
	f.lines = scan(data)
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(f)
	var missing *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		for n := range missing.Errors {
			e := &missing.Errors[n]
			line, _ := e.Position()
			bad = append(bad, &Problem{f.name, line, strings.Join(e.Key(), "."), "there is no such field"})
		}
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		field := strings.Join(wrong.Key(), ".")
		if field == "" {
			field = f.lines.fieldAt(line)
		}
		bad = append(bad, &Problem{f.name, line, field, strings.TrimPrefix(wrong.Error(), "toml: ")})
	default:
		bad = append(bad, &Problem{f.name, 0, "", err.Error()})
	}
	bad.sort()
	return bad
}

// fieldAt is the field whose value stands in a line.
func (i index) fieldAt(line int) string {
	for _, field := range slices.Sorted(maps.Keys(i)) {
		if i[field] == line {
			return field
		}
	}
	return ""
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b *Problem) int { return cmp.Compare(a.Line, b.Line) })
}

// checker collects what is out of range.
type checker struct {
	file *File
	bad  Problems
}

func (c *checker) need(ok bool, field, text string, args ...any) {
	if !ok {
		c.bad = append(c.bad, &Problem{c.file.name, c.file.lines.line(field), field, fmt.Sprintf(text, args...)})
	}
}

// all is the complaints in the order of their lines, nil if there are none.
func (c *checker) all() error {
	if len(c.bad) == 0 {
		return nil
	}
	c.bad.sort()
	return c.bad
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
