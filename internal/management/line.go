// Package management is where operators call a running sidecar: a line to a connection,
// an answer, and the end. What the calls do is Deeds'.
package management

import (
	"errors"
	"fmt"
	"strings"
)

// Kind is what a call asks for.
type Kind int

const (
	Ready Kind = iota
	Stats
	Disable
	Enable
	Drain
	Undrain
)

var kinds = map[string]Kind{"READY": Ready, "STATS": Stats, "DISABLE": Disable, "ENABLE": Enable, "DRAIN": Drain, "UNDRAIN": Undrain}

// Call is one call.
type Call struct {
	Kind Kind
	ID   string // of a server, for Disable and Enable
}

// lineMost is the longest line of a call, its end included.
const lineMost = 512

var errLong = errors.New("the line is longer than 512 bytes")

// Parse reads a call from its line, without the end of the line. The error is the reason
// that the caller is told; it repeats nothing of the line.
func Parse(line string) (Call, error) {
	line = strings.TrimSuffix(line, "\r")
	if len(line) >= lineMost {
		return Call{}, errLong
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
	kind, ok := kinds[words[0]]
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
