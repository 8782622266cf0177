package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

var errMalformedChunk = errors.New("upstream: malformed chunk in an answer")

// chunkedBody decodes a body in the chunked transfer coding (RFC 9112 section 7.1). Unlike the reader of
// net/http it never waits for more of a chunk while it has bytes to return: the rest of a chunk may
// come much later.
type chunkedBody struct {
	reader    *bufio.Reader
	remaining uint64 // of the present chunk
	hasChunk  bool   // a chunk has been read, whose end follows
	err       error  // of the body; permanent
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for b.err == nil && b.remaining == 0 {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.Read(p[:min(uint64(len(p)), b.remaining)])
	b.remaining -= uint64(n)
	switch {
	case err != nil:
		b.err = unexpectedEnd(err)
	case b.remaining == 0 && b.skipBufferedEnd():
		b.err = io.EOF
	}
	return n, b.err
}

// bodyEnd is the usual end of a body, from the end of its last chunk on.
const bodyEnd = "\r\n0\r\n\r\n"

// skipBufferedEnd skips the end of the body if it has been received already, so that the last bytes are
// returned together with io.EOF.
func (b *chunkedBody) skipBufferedEnd() bool {
	buffered, _ := b.reader.Peek(min(b.reader.Buffered(), len(bodyEnd)))
	if string(buffered) != bodyEnd {
		return false
	}
	b.reader.Discard(len(bodyEnd))
	return true
}

// nextChunk reads the head of the next chunk. It returns io.EOF after the last one and its trailers.
func (b *chunkedBody) nextChunk() error {
	if b.hasChunk {
		if end, err := b.readLine(); err != nil || len(end) > 0 {
			return errors.Join(errMalformedChunk, err)
		}
	}
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";")) // what follows are extensions
	b.hasChunk = true
	if b.remaining, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 63); err != nil {
		return errors.Join(errMalformedChunk, err)
	}
	if b.remaining > 0 {
		return nil
	}
	for { // the trailers
		if line, err := b.readLine(); err != nil {
			return err
		} else if len(line) == 0 {
			return io.EOF
		}
	}
}

// readLine returns the next line without its end, which must be CRLF.
func (b *chunkedBody) readLine() ([]byte, error) {
	line, err := b.reader.ReadSlice('\n')
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	line, isWhole := bytes.CutSuffix(line, []byte("\r\n"))
	if !isWhole {
		return nil, errMalformedChunk
	}
	return line, nil
}

// unexpectedEnd returns the error of a body that ended with err.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
