// Package handover is what two processes of one sidecar tell each other, by files in a
// folder that both have: who is there, what one has learnt, and what operators have done.
// An upgrade runs two for a while; one that was killed leaves its files to the next.
package handover

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// Most is the longest file that is read or written, in bytes.
const Most = 4 << 20

// version stands in each file: what another one wrote is not guessed at.
const version = "fawnrock handover 1"

// Why a file is not used.
var (
	ErrVersion = errors.New("handover: of another version")
	ErrTorn    = errors.New("handover: not whole")
	ErrLong    = errors.New("handover: too long")
)

// Encode is v as a file: a line that names the version, what it holds and its sum, then
// JSON.
func Encode(kind string, v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	sum := sha256.Sum256(text)
	b := fmt.Appendf(nil, "%s %s %s\n", version, kind, hex.EncodeToString(sum[:]))
	if len(b)+len(text) > Most {
		return nil, ErrLong
	}
	return append(b, text...), nil
}

// Decode reads what Encode wrote of that kind.
func Decode(kind string, data []byte, v any) error {
	if len(data) > Most {
		return ErrLong
	}
	head, text, ok := bytes.Cut(data, []byte("\n"))
	if !ok {
		return ErrTorn
	}
	sum, ok := bytes.CutPrefix(head, []byte(version+" "+kind+" "))
	if !ok {
		return ErrVersion
	}
	if want := sha256.Sum256(text); string(sum) != hex.EncodeToString(want[:]) {
		return ErrTorn
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}
