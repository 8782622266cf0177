package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	maxListBytes = 8 << 20  // maximum size of one list
	maxHeadBytes = 64 << 10 // maximum size of the head of a watch's answer
)

var (
	errHeadTooLong = errors.New("discovery: answer head is too long")
	errListTooLong = errors.New("discovery: list is too long")
)

// listReader splits the body of a watch into lists. A list ends with the end of its JSON object,
// independent of line breaks: it may be indented, and no newline has to follow it.
type listReader struct {
	body io.Reader
	// onEmptyLine is called for empty lines between two lists. Bytes within a list do not count
	// as a sign of life, only its end does, so that a list that trickles in byte by byte cannot
	// keep the watch alive.
	onEmptyLine func()

	dec       *json.Decoder
	inList    bool  // a list has begun and is incomplete
	remaining int64 // bytes that the current list may still take
}

func newListReader(body io.Reader, onEmptyLine func()) *listReader {
	s := &listReader{body: body, onEmptyLine: onEmptyLine, remaining: maxListBytes}
	s.dec = json.NewDecoder(s)
	return s
}

// Read implements io.Reader for the JSON decoder.
func (s *listReader) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, errListTooLong
	}
	n, err := s.body.Read(b[:min(int64(len(b)), s.remaining)])
	s.remaining -= int64(n)
	if !s.inList {
		switch text := b[:n]; {
		case !isBlank(text):
			s.inList = true
		case bytes.IndexByte(text, '\n') >= 0:
			s.remaining = maxListBytes
			s.onEmptyLine()
		}
	}
	return n, err
}

// next returns the text of the next list. It is valid until the next call.
func (s *listReader) next() ([]byte, error) {
	var text json.RawMessage
	if err := s.dec.Decode(&text); err != nil {
		return nil, fmt.Errorf("discovery: watch ended: %w", err)
	}
	rest, _ := io.ReadAll(s.dec.Buffered())
	s.inList, s.remaining = !isBlank(rest), maxListBytes
	return text, nil
}

func isBlank(text []byte) bool { return len(bytes.TrimLeft(text, " \t\r\n")) == 0 }
