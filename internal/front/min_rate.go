package front

import (
	"io"
	"time"
)

const (
	// minBodyRate is the lowest mean rate, in bytes per second, at which a client may send a
	// body. It is half of the rate of known slow clients. Progress distinguishes a
	// slow client from a hung one.
	minBodyRate = 32 << 10
	// bodyPauseTimeout bounds each pause within a body. The mean rate alone would allow a long
	// pause to a client that sends much of its body at once and then stops.
	bodyPauseTimeout = 1500 * time.Millisecond
	// firstBodyTimeout is the least time that a client has, after a slow head, to send the
	// first byte of the body.
	firstBodyTimeout = time.Second
)

// minRateReader reads a body from its client and sets a deadline for each read, so that the
// client keeps up a mean rate of at least minRate. Otherwise a client that sends very slowly or
// stops could hold its connection for as long as it wants. Time that passes between reads, for
// instance while a server reads slowly, does not count against the client.
type minRateReader struct {
	c             *conn
	r             io.Reader
	minRate       float64       // bytes per second
	timeout       time.Duration // for the whole body
	firstDeadline time.Time     // for the first byte
	lastRead      time.Time     // when the last read returned
	heldTime      time.Duration // total time between reads
	received      int64
}

// newMinRateReader returns a reader of r, a body on c. It is valid until the next call, for a
// connection reads one body at a time.
func (c *conn) newMinRateReader(r io.Reader, minRate float64, timeout time.Duration) *minRateReader {
	now := time.Now()
	p := &c.bodyReader // reused, to avoid an allocation
	*p = minRateReader{c: c, r: r, minRate: minRate, timeout: timeout, firstDeadline: c.headStart.Add(headTimeout), lastRead: now}
	if afterHead := now.Add(firstBodyTimeout); afterHead.After(p.firstDeadline) {
		p.firstDeadline = afterHead
	}
	return p
}

// readDeadline returns the deadline of a read that starts now.
func (p *minRateReader) readDeadline(now time.Time) time.Time {
	allowed := min(time.Duration(float64(p.received)/p.minRate*float64(time.Second)), p.timeout) + p.heldTime
	deadline := p.firstDeadline.Add(allowed)
	if pauseDeadline := now.Add(bodyPauseTimeout); p.received > 0 && pauseDeadline.Before(deadline) {
		return pauseDeadline
	}
	return deadline
}

// Read implements io.Reader.
func (p *minRateReader) Read(b []byte) (int, error) {
	now := time.Now()
	p.heldTime += now.Sub(p.lastRead)
	p.c.nc.SetReadDeadline(p.readDeadline(now))
	n, err := p.r.Read(b)
	p.received, p.lastRead = p.received+int64(n), time.Now()
	return n, err
}
