// Package httphead reads the heads of HTTP/1.1 messages as plain bytes until they are complete, so
// that a peer that stops in the middle of a head costs no more memory than it has sent. Heads that
// do not fit into the buffer of their connection get room from a Budget. A parser then reads the
// head from the same buffer.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
)

const (
	// MaxBytes is the limit of the bytes of one head.
	MaxBytes = 64 << 10
	// readBytes bounds one read of a long head, and so what is read of the bytes behind it.
	readBytes = 4 << 10
)

// Errors of reading heads.
var (
	ErrTooLong = errors.New("httphead: head exceeds the size limit")
	ErrNoRoom  = errors.New("httphead: no memory for a long head")
)

// Head is a head as it was received.
type Head struct {
	Bytes []byte // valid until the next read from the connection
	// IsMalformed reports that a parser refuses the head. It may be incomplete then.
	IsMalformed bool
	// IsLong reports that the head did not fit into the buffer of its connection.
	IsLong bool
}

// Source is the input of a connection's bufio.Reader. It supplies the bytes of a long head, once
// that is complete, before those of R.
type Source struct {
	R       io.Reader
	pending []byte
}

// Read implements io.Reader.
func (s *Source) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		return s.R.Read(p)
	}
	n := copy(p, s.pending)
	if s.pending = s.pending[n:]; len(s.pending) == 0 {
		s.pending = nil
	}
	return n, nil
}

// Pending returns the number of bytes that were read from R and not supplied yet.
func (s *Source) Pending() int { return len(s.pending) }

// trim frees the memory of a long head that has been parsed, and keeps what was read behind it.
func (s *Source) trim() { s.pending = slices.Clone(s.pending) }

// Reader reads the heads of one connection. It is used by one goroutine at a time.
type Reader struct {
	Buffer *bufio.Reader // reads from Source
	Source *Source
	Kind   Kind
}

// Read blocks until the next head is complete. It consumes nothing: a parser can read the head and
// what follows it from Buffer. Before a head that does not fit into Buffer grows to size bytes, Read
// calls grow(size), and returns ErrNoRoom if that reports false. After an error the connection is of
// no further use. The caller must call Parsed after it has parsed the head.
func (r *Reader) Read(grow func(size int64) bool) (Head, error) {
	scan := scanner{kind: r.Kind}
	for {
		buffered, _ := r.Buffer.Peek(r.Buffer.Buffered())
		end, is := scan.scan(buffered)
		switch {
		case is == complete:
			return Head{Bytes: buffered[:end]}, nil
		case is == malformed:
			return Head{Bytes: buffered, IsMalformed: true}, nil
		case len(buffered) == r.Buffer.Size():
			return r.readLong(&scan, buffered, grow)
		}
		if _, err := r.Buffer.Peek(len(buffered) + 1); err != nil {
			return Head{}, err
		}
	}
}

// readLong continues with a head that fills Buffer.
func (r *Reader) readLong(scan *scanner, buffered []byte, grow func(size int64) bool) (Head, error) {
	var head []byte
	for {
		if len(head) == cap(head) {
			size := 2 * max(len(head), len(buffered))
			switch {
			case len(head) >= MaxBytes:
				return Head{}, ErrTooLong
			case !grow(int64(min(size, MaxBytes))):
				return Head{}, ErrNoRoom
			}
			head = append(make([]byte, 0, min(size, MaxBytes)), head...)
			if len(head) == 0 {
				head = append(head, buffered...)
				r.Buffer.Discard(len(buffered))
			}
		}
		n, err := r.Source.Read(head[len(head):min(cap(head), len(head)+readBytes)])
		head = head[:len(head)+n]
		end, is := scan.scan(head)
		switch {
		case is == complete:
			r.Source.prepend(head)
			return Head{Bytes: head[:end], IsLong: true}, nil
		case is == malformed:
			r.Source.prepend(head)
			return Head{Bytes: head, IsMalformed: true, IsLong: true}, nil
		case err != nil:
			return Head{}, err
		}
	}
}

// prepend makes Read supply p before all that follows.
func (s *Source) prepend(p []byte) {
	if len(s.pending) > 0 {
		p = append(p, s.pending...)
	}
	s.pending = p
}

// Parsed frees the memory of the head that Read returned last. Its bytes must not be used any more.
func (r *Reader) Parsed() { r.Source.trim() }

// Lines returns the number of lines of a head.
func (h *Head) Lines() int { return bytes.Count(h.Bytes, []byte("\n")) }
