// Package handover exchanges state between the processes of one sidecar by files in a
// folder that they share: which processes are alive, the learned state that a running
// process hands to a new one, and the changes that operators made. An upgrade runs two
// processes for a while; the files of a killed process are read or removed by the next one.
package handover

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// MaxFileBytes is the size of the largest file that is read or written.
const MaxFileBytes = 4 << 20

// fileVersion is part of the first line of each file. Files of other versions are rejected.
const fileVersion = "fawnrock handover 1"

// Errors for files that are not used.
var (
	ErrVersion    = errors.New("handover: file of another version or kind")
	ErrIncomplete = errors.New("handover: incomplete file or wrong checksum")
	ErrTooLong    = errors.New("handover: file is longer than 4 MiB")
)

// Encode returns the text of a file that holds v: a line with the version, the kind and the
// SHA-256 sum of the rest, then v as JSON. It returns ErrTooLong beyond MaxFileBytes.
func Encode(kind string, v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	sum := sha256.Sum256(text)
	b := fmt.Appendf(nil, "%s %s %s\n", fileVersion, kind, hex.EncodeToString(sum[:]))
	if len(b)+len(text) > MaxFileBytes {
		return nil, ErrTooLong
	}
	return append(b, text...), nil
}

// Decode reads the text of a file that Encode wrote with the same kind into v. It returns
// ErrTooLong, ErrIncomplete, ErrVersion or an error of the JSON.
func Decode(kind string, data []byte, v any) error {
	if len(data) > MaxFileBytes {
		return ErrTooLong
	}
	head, text, ok := bytes.Cut(data, []byte("\n"))
	if !ok {
		return ErrIncomplete
	}
	sum, ok := bytes.CutPrefix(head, []byte(fileVersion+" "+kind+" "))
	if !ok {
		return ErrVersion
	}
	if want := sha256.Sum256(text); string(sum) != hex.EncodeToString(want[:]) {
		return ErrIncomplete
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}
