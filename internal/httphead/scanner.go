package httphead

import "bytes"

// Kind is the kind of message that a head belongs to.
type Kind uint8

const (
	Request Kind = iota
	Answer
)

// scanner finds the end of a head in bytes that arrive piece by piece.
type scanner struct {
	kind      Kind
	lineStart int // of the first line that is not complete yet
	searched  int // bytes in which the end of that line was not found
	lines     int // complete lines
}

// state is what is known of a head.
type state uint8

const (
	incomplete state = iota
	complete
	malformed // a parser refuses it, whatever follows
)

// scan continues with b, the head so far, and returns the length of a complete head.
func (s *scanner) scan(b []byte) (end int, is state) {
	for {
		n := bytes.IndexByte(b[s.searched:], '\n')
		if n < 0 {
			s.searched = len(b)
			return 0, incomplete
		}
		next := s.searched + n + 1
		line := bytes.TrimSuffix(b[s.lineStart:next-1], []byte("\r"))
		switch {
		case len(line) == 0 && s.lines > 0:
			return next, complete
		case !s.isPlausible(line):
			return 0, malformed
		}
		s.lines++
		s.lineStart, s.searched = next, next
	}
}

// isPlausible reports whether a line may be part of a well-formed head. It finds what no parser
// accepts, so that a peer that sends no HTTP is answered at once, and leaves the rest to the parser.
func (s *scanner) isPlausible(line []byte) bool {
	switch {
	case s.lines > 0:
		return line[0] == ' ' || line[0] == '\t' || bytes.IndexByte(line, ':') > 0
	case s.kind == Answer:
		return bytes.HasPrefix(line, []byte("HTTP/"))
	}
	_, rest, _ := bytes.Cut(line, []byte(" "))
	_, version, _ := bytes.Cut(rest, []byte(" "))
	return bytes.HasPrefix(version, []byte("HTTP/"))
}
