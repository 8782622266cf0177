package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	listMax = 8 << 20  // bytes of one list
	headMax = 64 << 10 // bytes of a watch's head
)

var (
	errLongHead = errors.New("discovery: head too long")
	errLongList = errors.New("discovery: list too long")
)

// stream takes a watch's body apart into lists. A list ends with its JSON object, whatever
// lines that stands on: it may come indented, or with no end of line behind it.
type stream struct {
	body io.Reader
	// beat is told of each empty line between two lists. Guards against a list that trickles
	// byte by byte: no byte of it is a sign of life, only its end.
	beat func()

	dec    *json.Decoder
	within bool  // a list has begun and is not whole
	left   int64 // bytes that it may still have
}

func newStream(body io.Reader, beat func()) *stream {
	s := &stream{body: body, beat: beat, left: listMax}
	s.dec = json.NewDecoder(s)
	return s
}

// Read implements io.Reader for the decoder.
func (s *stream) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errLongList
	}
	n, err := s.body.Read(b[:min(int64(len(b)), s.left)])
	s.left -= int64(n)
	if !s.within {
		switch text := b[:n]; {
		case !blank(text):
			s.within = true
		case bytes.IndexByte(text, '\n') >= 0:
			s.left = listMax
			s.beat()
		}
	}
	return n, err
}

// next is the text of the next list. It holds until next is called again.
func (s *stream) next() ([]byte, error) {
	var text json.RawMessage
	if err := s.dec.Decode(&text); err != nil {
		return nil, fmt.Errorf("discovery: watch ended: %w", err)
	}
	rest, _ := io.ReadAll(s.dec.Buffered())
	s.within, s.left = !blank(rest), listMax
	return text, nil
}

func blank(text []byte) bool { return len(bytes.TrimLeft(text, " \t\r\n")) == 0 }
