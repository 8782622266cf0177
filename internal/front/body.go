package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// bodyTimeout is how long a body may take in all.
const bodyTimeout = 10 * time.Minute

const (
	firstPiece = 4 << 10
	pieceSize  = 64 << 10
)

type budget struct {
	mu   sync.Mutex
	left int64
}

func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *budget) give(n int64) {
	if n > 0 {
		b.mu.Lock()
		b.left += n
		b.mu.Unlock()
	}
}

// readBody reads a request's body under the byte budget. Past it the rest is
// read off and thrown away, and kept is -1.
func (c *conn) readBody(r *http.Request) (body [][]byte, kept int64, status int) {
	if r.Body == http.NoBody {
		return nil, 0, 0
	}
	b := &c.srv.budget
	in := c.pace(r.Body, leastRate, bodyTimeout)
	over := false
	drop := func() {
		b.give(kept)
		body, kept = nil, 0
	}
	var waste []byte
	size := int64(firstPiece)
	for total := int64(0); ; size = pieceSize {
		if r.ContentLength > 0 {
			size = min(pieceSize, r.ContentLength-total)
		}
		if !over && !b.take(size) {
			over = true
			drop()
			waste = make([]byte, pieceSize)
		}
		piece := waste
		if !over {
			kept += size
			piece = make([]byte, size)
		}
		n, err := fill(in, piece)
		total += int64(n)
		if !over && n > 0 {
			body = append(body, piece[:n])
		}
		var ne net.Error
		switch {
		case total > maxBodyBytes:
			status = http.StatusRequestEntityTooLarge
		case err == io.EOF, err == nil && total == r.ContentLength:
			if over {
				kept = -1
			}
			return body, kept, 0
		case err == nil:
			continue
		case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
			status = -1
		default:
			status = http.StatusBadRequest
		}
		drop()
		return nil, 0, status
	}
}

// fill fills p; io.EOF says that the body ended before.
func fill(body io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = body.Read(p[n:])
		n += k
	}
	return n, err
}
