// Package haproxy parses HAProxy's configuration language without loss: the parsed lines can be
// joined to the original text byte for byte, and every word has its position. Grammar and
// meaning follow the public Configuration Manual (sections 2.1 to 2.4: format, quoting and
// escaping, environment variables, conditional blocks). The package does no I/O; the caller
// passes in the files and the environment. Package translate interprets the directives.
package haproxy

import (
	"fmt"
	"strings"
)

// Limits on the input.
const (
	// MaxFileBytes is the maximum size of a file in bytes.
	MaxFileBytes = 64 << 20
	// maxWordsPerLine is HAProxy's own limit.
	maxWordsPerLine = 64
	// maxExpansionBytes limits the total size of the values of a line's variables.
	maxExpansionBytes = 64 << 10
)

// Pos is a position in a file. Lines and columns count from 1; columns count bytes.
type Pos struct{ Line, Col int }

// Word is one word of a line.
type Word struct {
	Pos       Pos
	Raw       string // as written, with quotes and escapes
	Text      string // without quotes and escapes, variables replaced by their values
	Variables []string
}

// Line is a logical line. It spans several lines of the file if a backslash joins them.
type Line struct {
	Pos   Pos
	Raw   string // as written, with the line end
	Words []Word // empty for a blank line or a comment
	Err   string // the first error in the line; empty if there is none
}

// Keyword returns the line's first word, or an empty string if it has no words.
func (l *Line) Keyword() string {
	if len(l.Words) == 0 {
		return ""
	}
	return l.Words[0].Text
}

// Args returns the words after the first.
func (l *Line) Args() []string {
	var all []string
	for n := 1; n < len(l.Words); n++ {
		all = append(all, l.Words[n].Text)
	}
	return all
}

// Env looks up an environment variable and returns its value and whether it is set.
type Env func(name string) (value string, set bool)

// ParseLines splits a text into logical lines and those into words. It never fails: a line's Err
// holds its first error. The Raw fields of all lines joined are the text. A nil env means that
// no variable is set.
func ParseLines(text string, env Env) []Line {
	if env == nil {
		env = func(string) (string, bool) { return "", false }
	}
	lines := make([]Line, 0, strings.Count(text, "\n")+1)
	for offset, lineNumber := 0, 1; offset < len(text); {
		x := lexer{text: text, offset: offset, lineNumber: lineNumber, lineStart: offset, env: env}
		line := x.readLine()
		line.Raw = text[offset:x.offset]
		lines = append(lines, line)
		offset, lineNumber = x.offset, lineNumber+strings.Count(line.Raw, "\n")
	}
	return lines
}

// JoinLines returns the text that the lines were parsed from.
func JoinLines(lines []Line) string {
	var b strings.Builder
	for n := range lines {
		b.WriteString(lines[n].Raw)
	}
	return b.String()
}

// lexer parses one logical line.
type lexer struct {
	text          string
	offset        int
	lineNumber    int
	lineStart     int // offset of the current line of the file
	env           Env
	expandedBytes int // total size of the values of the variables so far
	parsed        Line
}

// position returns the position of the next byte.
func (x *lexer) position() Pos { return Pos{x.lineNumber, x.offset - x.lineStart + 1} }

// setError records an error in the line, unless it already has one.
func (x *lexer) setError(format string, args ...any) {
	if x.parsed.Err == "" {
		x.parsed.Err = fmt.Sprintf(format, args...)
	}
}

// acceptLineEnd returns whether the line or the text ends here, and advances past the line end.
func (x *lexer) acceptLineEnd() bool {
	switch {
	case x.offset >= len(x.text):
		return true
	case x.text[x.offset] == '\n':
		x.offset++
		return true
	case strings.HasPrefix(x.text[x.offset:], "\r\n"):
		x.offset += 2
		return true
	}
	return false
}

// acceptContinuation advances past a backslash and the line end after it, which join the next
// line of the file to this one, and returns whether they were there.
func (x *lexer) acceptContinuation() bool {
	for _, mark := range []string{"\\\n", "\\\r\n"} {
		if strings.HasPrefix(x.text[x.offset:], mark) {
			x.offset += len(mark)
			x.lineNumber, x.lineStart = x.lineNumber+1, x.offset
			return true
		}
	}
	return false
}

// readLine reads the words of a logical line, up to and including its end.
func (x *lexer) readLine() Line {
	x.parsed.Pos = x.position()
	for {
		switch {
		case x.acceptLineEnd():
			return x.parsed
		case x.acceptContinuation():
		case x.text[x.offset] == ' ' || x.text[x.offset] == '\t' || x.text[x.offset] == '\r':
			x.offset++
		case x.text[x.offset] == '#':
			for x.offset < len(x.text) && x.text[x.offset] != '\n' {
				x.offset++
			}
		default:
			x.readWord()
		}
	}
}

// readWord reads one word. It adds several words to the line if a variable in it is expanded as
// a list ("${NAME[*]}").
func (x *lexer) readWord() {
	word := Word{Pos: x.position()}
	start := x.offset
	var text strings.Builder
	quote := byte(0)
	var completed []string
	done := false
	for !done && x.offset < len(x.text) {
		c := x.text[x.offset]
		switch {
		case c == 0:
			x.setError("NUL byte at column %d", x.offset-x.lineStart+1)
			x.offset++
		case quote == '\'':
			x.offset++
			switch c {
			case '\'':
				quote = 0
			case '\n':
				x.setError("unterminated quote")
				x.offset--
				done = true
			default:
				text.WriteByte(c)
			}
		case x.acceptContinuation():
		case c == '\n':
			if quote != 0 {
				x.setError("unterminated quote")
			}
			done = true
		case c == '\\':
			x.readEscape(&text, quote)
		case c == '"':
			x.offset++
			quote ^= '"'
		case quote == 0 && c == '\'':
			x.offset++
			quote = c
		case quote == '"' && c == '$':
			name, value, isList := x.readVariable()
			if name == "" {
				text.WriteByte('$')
				continue
			}
			word.Variables = append(word.Variables, name)
			if x.expandedBytes += len(value); x.expandedBytes > maxExpansionBytes {
				x.setError("variables expand to more than %d bytes", maxExpansionBytes)
				value = ""
			}
			if fields := strings.Fields(value); isList && len(fields) > 0 {
				text.WriteString(fields[0])
				for _, f := range fields[1:] {
					completed = append(completed, text.String())
					text.Reset()
					text.WriteString(f)
				}
				continue
			}
			text.WriteString(value)
		case quote == 0 && (c == ' ' || c == '\t' || c == '#' || c == '\r'):
			done = true
		default:
			text.WriteByte(c)
			x.offset++
		}
	}
	if quote != 0 {
		x.setError("unterminated quote")
	}
	word.Raw = x.text[start:x.offset]
	for _, value := range append(completed, text.String()) {
		if len(x.parsed.Words) >= maxWordsPerLine {
			x.setError("more than %d words in the line", maxWordsPerLine)
			return
		}
		word.Text = value
		x.parsed.Words = append(x.parsed.Words, word)
	}
}

// readEscape reads a backslash and the characters that it escapes (section 2.2 of the manual).
// Within double quotes, a backslash before a space, '#' or a single quote is kept, because those
// characters need no escaping there.
func (x *lexer) readEscape(text *strings.Builder, quote byte) {
	x.offset++
	if x.offset >= len(x.text) || x.text[x.offset] == '\n' {
		x.setError("nothing follows the backslash")
		return
	}
	c := x.text[x.offset]
	switch c {
	case '\\', '"', '$':
	case ' ', '#', '\'':
		if quote != 0 {
			text.WriteByte('\\')
		}
	case 'n':
		c = '\n'
	case 'r':
		c = '\r'
	case 't':
		c = '\t'
	case 'x':
		var value, digits int
		for digits = 0; digits < 2 && x.offset+1+digits < len(x.text); digits++ {
			digit := strings.IndexByte("0123456789abcdef", x.text[x.offset+1+digits]|0x20)
			if digit < 0 {
				break
			}
			value = value<<4 | digit
		}
		if digits < 2 {
			x.setError("\\x must be followed by two hexadecimal digits")
			x.offset++
			return
		}
		x.offset += 2
		c = byte(value)
	default:
		x.setError("unknown escape sequence \\%c", c)
	}
	text.WriteByte(c)
	x.offset++
}

// isNameByte returns whether a byte may stand in a variable's name. The first may not be a digit.
func isNameByte(c byte, first bool) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || !first && c >= '0' && c <= '9'
}

// readVariable reads $NAME, ${NAME}, ${NAME-default} or ${NAME[*]} (section 2.3 of the manual) and
// returns the variable's name, its value, and whether the value is to be split into words. For a
// dollar sign that begins no variable it advances past the sign and returns an empty name.
func (x *lexer) readVariable() (name, value string, isList bool) {
	x.offset++
	braces := x.offset < len(x.text) && x.text[x.offset] == '{'
	next := x.offset
	if braces {
		next++
	}
	nameStart := next
	for next < len(x.text) && isNameByte(x.text[next], next == nameStart) {
		next++
	}
	if name = x.text[nameStart:next]; name == "" {
		if braces {
			x.setError("variable without a name")
		}
		return "", "", false
	}
	value, set := x.env(name)
	if braces {
		if strings.HasPrefix(x.text[next:], "[*]") {
			isList = true
			next += 3
		}
		if next < len(x.text) && x.text[next] == '-' {
			end := strings.IndexAny(x.text[next:], "}\n")
			if end < 0 {
				end = len(x.text) - next
			}
			if !set {
				value = x.text[next+1 : next+end]
			}
			next += end
		}
		if next >= len(x.text) || x.text[next] != '}' {
			x.setError("variable without a closing brace")
		} else {
			next++
		}
	}
	x.offset = next
	return name, value, isList
}
