// Package management serves operators' calls to a running sidecar on a TCP address. Each
// connection carries one line with a call and one answer. An implementation of Handler
// carries the calls out.
package management

import (
	"errors"
	"fmt"
	"strings"
)

// Kind is the command of a call.
type Kind int

const (
	Ready Kind = iota
	Stats
	Disable
	Enable
	Drain
	Undrain
)

var kindByName = map[string]Kind{"READY": Ready, "STATS": Stats, "DISABLE": Disable, "ENABLE": Enable, "DRAIN": Drain, "UNDRAIN": Undrain}

// Call is a parsed line.
type Call struct {
	Kind Kind
	ID   string // of the server, for Disable and Enable
}

// maxLineBytes is the length of the longest line of a call, its end included.
const maxLineBytes = 512

var errLineTooLong = errors.New("the line is longer than 512 bytes")

// Parse parses the line of a call, without its newline. The error's text is sent to the
// caller; it repeats nothing that the caller chose.
func Parse(line string) (Call, error) {
	line = strings.TrimSuffix(line, "\r")
	if len(line) >= maxLineBytes {
		return Call{}, errLineTooLong
	}
	for _, c := range []byte(line) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Call{}, errors.New("the line has bytes that are no text")
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, errors.New("the line is empty")
	}
	kind, ok := kindByName[words[0]]
	if !ok {
		return Call{}, errors.New("no such call: READY, STATS, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")
	}
	want := 1
	if kind == Disable || kind == Enable {
		want = 2
	}
	if len(words) != want {
		return Call{}, fmt.Errorf("%s takes %d words after it, not %d", words[0], want-1, len(words)-1)
	}
	c := Call{Kind: kind}
	if want == 2 {
		c.ID = words[1]
	}
	return c, nil
}
