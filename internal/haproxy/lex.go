// Package haproxy reads HAProxy's configuration language, losslessly: what was read is
// printed again byte for byte, and every word has its place. Grammar and meaning are from
// the public Configuration Manual (sections 2.1 to 2.4: format, quoting and escaping,
// environment variables, conditional blocks). It has no I/O; files and the environment
// are handed in. It decides nothing about what a directive means for a balancer.
package haproxy

import (
	"fmt"
	"strings"
)

// Bounds of what is read.
const (
	// TextMost is the longest file, in bytes.
	TextMost = 64 << 20
	// wordsMost is HAProxy's own limit of words in a line.
	wordsMost = 64
	// expandMost bounds what the variables of one line grow to, in bytes.
	expandMost = 64 << 10
)

// Pos is a place in a file; both count from 1, columns in bytes.
type Pos struct{ Line, Col int }

// Word is one word of a line.
type Word struct {
	Pos  Pos
	Raw  string // as it stands, with its quotes
	Text string // what it means: unquoted, with variables put in
	Vars []string
}

// Line is a logical line: more than one of the file where a backslash ends them.
type Line struct {
	Pos   Pos
	Raw   string // with its end
	Words []Word // none: empty, or a comment
	Err   string // what is wrong with it; empty: nothing
}

// Key is the line's first word; empty if it has none.
func (l *Line) Key() string {
	if len(l.Words) == 0 {
		return ""
	}
	return l.Words[0].Text
}

// Args are the words behind the first.
func (l *Line) Args() []string {
	var all []string
	for n := 1; n < len(l.Words); n++ {
		all = append(all, l.Words[n].Text)
	}
	return all
}

// Env looks a variable up.
type Env func(name string) (value string, set bool)

// Lines cuts a text into its lines. It never fails: what is wrong with a line stands in
// its Err. The Raws of all lines together are the text.
func Lines(text string, env Env) []Line {
	if env == nil {
		env = func(string) (string, bool) { return "", false }
	}
	lines := make([]Line, 0, strings.Count(text, "\n")+1)
	for at, number := 0, 1; at < len(text); {
		x := lexer{text: text, at: at, line: number, bol: at, env: env}
		l := x.logical()
		l.Raw = text[at:x.at]
		lines = append(lines, l)
		at, number = x.at, number+strings.Count(l.Raw, "\n")
	}
	return lines
}

// Text is the lines as they were read.
func Text(lines []Line) string {
	var b strings.Builder
	for n := range lines {
		b.WriteString(lines[n].Raw)
	}
	return b.String()
}

type lexer struct {
	text string
	at   int
	line int
	bol  int // where the line of the file begins
	env  Env
	grew int // bytes that variables put in
	out  Line
}

func (x *lexer) pos() Pos { return Pos{x.line, x.at - x.bol + 1} }

func (x *lexer) fail(format string, args ...any) {
	if x.out.Err == "" {
		x.out.Err = fmt.Sprintf(format, args...)
	}
}

// end says whether a line's end is at hand, and passes it.
func (x *lexer) end() bool {
	switch {
	case x.at >= len(x.text):
		return true
	case x.text[x.at] == '\n':
		x.at++
		return true
	case strings.HasPrefix(x.text[x.at:], "\r\n"):
		x.at += 2
		return true
	}
	return false
}

// continued passes a backslash that joins the next line to this one.
func (x *lexer) continued() bool {
	for _, mark := range []string{"\\\n", "\\\r\n"} {
		if strings.HasPrefix(x.text[x.at:], mark) {
			x.at += len(mark)
			x.line, x.bol = x.line+1, x.at
			return true
		}
	}
	return false
}

func (x *lexer) logical() Line {
	x.out.Pos = x.pos()
	for {
		switch {
		case x.end():
			return x.out
		case x.continued():
		case x.text[x.at] == ' ' || x.text[x.at] == '\t' || x.text[x.at] == '\r':
			x.at++
		case x.text[x.at] == '#':
			for x.at < len(x.text) && x.text[x.at] != '\n' {
				x.at++
			}
		default:
			x.word()
		}
	}
}

// word reads one word, or several where a variable is a list ("${NAME[*]}").
func (x *lexer) word() {
	w := Word{Pos: x.pos()}
	from := x.at
	var b strings.Builder
	quote := byte(0)
	var split []string
	done := false
	for !done && x.at < len(x.text) {
		c := x.text[x.at]
		switch {
		case c == 0:
			x.fail("a NUL at column %d", x.at-x.bol+1)
			x.at++
		case quote == '\'':
			x.at++
			switch c {
			case '\'':
				quote = 0
			case '\n':
				x.fail("a quote that does not end")
				x.at--
				done = true
			default:
				b.WriteByte(c)
			}
		case x.continued():
		case c == '\n':
			if quote != 0 {
				x.fail("a quote that does not end")
			}
			done = true
		case c == '\\':
			x.escape(&b, quote)
		case c == '"':
			x.at++
			quote ^= '"'
		case quote == 0 && c == '\'':
			x.at++
			quote = c
		case quote == '"' && c == '$':
			name, value, list := x.variable()
			if name == "" {
				b.WriteByte('$')
				continue
			}
			w.Vars = append(w.Vars, name)
			if x.grew += len(value); x.grew > expandMost {
				x.fail("variables that grow to over %d bytes", expandMost)
				value = ""
			}
			if fields := strings.Fields(value); list && len(fields) > 0 {
				b.WriteString(fields[0])
				for _, f := range fields[1:] {
					split = append(split, b.String())
					b.Reset()
					b.WriteString(f)
				}
				continue
			}
			b.WriteString(value)
		case quote == 0 && (c == ' ' || c == '\t' || c == '#' || c == '\r'):
			done = true
		default:
			b.WriteByte(c)
			x.at++
		}
	}
	if quote != 0 {
		x.fail("a quote that does not end")
	}
	w.Raw = x.text[from:x.at]
	for _, text := range append(split, b.String()) {
		if len(x.out.Words) >= wordsMost {
			x.fail("over %d words in a line", wordsMost)
			return
		}
		w.Text = text
		x.out.Words = append(x.out.Words, w)
	}
}

// escape reads a backslash and what it guards (section 2.2). Within double quotes only
// those have a meaning that the quotes would otherwise give another.
func (x *lexer) escape(b *strings.Builder, quote byte) {
	x.at++
	if x.at >= len(x.text) || x.text[x.at] == '\n' {
		x.fail("a backslash with nothing behind it")
		return
	}
	c := x.text[x.at]
	switch c {
	case '\\', '"', '$':
	case ' ', '#', '\'':
		if quote != 0 {
			b.WriteByte('\\')
		}
	case 'n':
		c = '\n'
	case 'r':
		c = '\r'
	case 't':
		c = '\t'
	case 'x':
		var v, n int
		for n = 0; n < 2 && x.at+1+n < len(x.text); n++ {
			d := strings.IndexByte("0123456789abcdef", x.text[x.at+1+n]|0x20)
			if d < 0 {
				break
			}
			v = v<<4 | d
		}
		if n < 2 {
			x.fail("\\x needs two hexadecimal digits")
			x.at++
			return
		}
		x.at += 2
		c = byte(v)
	default:
		x.fail("\\%c is no escape", c)
	}
	b.WriteByte(c)
	x.at++
}

func nameByte(c byte, first bool) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || !first && c >= '0' && c <= '9'
}

// variable reads $NAME, ${NAME}, ${NAME-default} and ${NAME[*]} (section 2.3). A dollar
// that begins none is itself.
func (x *lexer) variable() (name, value string, list bool) {
	x.at++
	braces := x.at < len(x.text) && x.text[x.at] == '{'
	at := x.at
	if braces {
		at++
	}
	from := at
	for at < len(x.text) && nameByte(x.text[at], at == from) {
		at++
	}
	if name = x.text[from:at]; name == "" {
		if braces {
			x.fail("a variable without a name")
		}
		return "", "", false
	}
	value, set := x.env(name)
	if braces {
		if strings.HasPrefix(x.text[at:], "[*]") {
			list = true
			at += 3
		}
		if at < len(x.text) && x.text[at] == '-' {
			end := strings.IndexAny(x.text[at:], "}\n")
			if end < 0 {
				end = len(x.text) - at
			}
			if !set {
				value = x.text[at+1 : at+end]
			}
			at += end
		}
		if at >= len(x.text) || x.text[at] != '}' {
			x.fail("a variable whose brace does not close")
		} else {
			at++
		}
	}
	x.at = at
	return name, value, list
}
