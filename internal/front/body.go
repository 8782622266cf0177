package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// bodyTimeout bounds the time that a client may take to send a body.
const bodyTimeout = 10 * time.Minute

// A body of unknown length is read in pieces of these sizes. The first piece is small, so that a
// short body takes little of the budget.
const (
	firstPieceBytes = 4 << 10
	pieceBytes      = 64 << 10
	// discardBytes is the size of the pieces in which a body without room is read.
	discardBytes = 2 << 10
)

// readBody reads the body of a request into memory, within the server's byte budget, and
// returns how many bytes it has reserved for it. If the budget is exceeded it reads and
// discards the rest of the body, and reserved is -1. A status above 0 is to be answered; below
// 0, the connection has failed.
func (c *conn) readBody(in *incomingRequest) (body [][]byte, reserved int64, status int) {
	if in.body == http.NoBody {
		return nil, 0, 0
	}
	b := c.srv.budget
	reader := c.newMinRateReader(in.body, minBodyRate, bodyTimeout)
	overBudget := false
	discard := func() {
		b.Release(reserved)
		body, reserved = nil, 0
	}
	var scratch []byte
	size := int64(firstPieceBytes)
	for total := int64(0); ; size = pieceBytes {
		switch {
		case overBudget:
			size = discardBytes
		case in.length > 0:
			size = min(pieceBytes, in.length-total)
		}
		if !overBudget && !b.Reserve(size) {
			overBudget = true
			discard()
			scratch = make([]byte, discardBytes)
		}
		piece := scratch
		if !overBudget {
			reserved += size
			piece = make([]byte, size)
		}
		n, err := readFull(reader, piece)
		total += int64(n)
		if !overBudget && n > 0 {
			body = append(body, piece[:n])
		}
		var netErr net.Error
		switch {
		case total > maxBodyBytes:
			status = http.StatusRequestEntityTooLarge
		case err == io.EOF, err == nil && total == in.length:
			if overBudget {
				reserved = -1
			}
			return body, reserved, 0
		case err == nil:
			continue
		case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
			c.logClose("body incomplete", err)
			status = -1
		default:
			status = http.StatusBadRequest
		}
		discard()
		return nil, 0, status
	}
}

// readFull reads from body until p is full or a read fails, with io.EOF at the end of the body.
func readFull(body io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = body.Read(p[n:])
		n += k
	}
	return n, err
}
