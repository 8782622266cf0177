package front

import (
	"io"
	"time"
)

const (
	// leastRate is what a client sends of a body in the mean at least, in bytes a second:
	// half of what slow ones are known to. Progress tells the slow from the hung.
	leastRate = 32 << 10
	// pauseTimeout is how long a body may pause that goes on: guards against one of which a
	// good part came at once, and nothing more.
	pauseTimeout = 1500 * time.Millisecond
	// afterHead is when something of a body must have come behind a head that was slow.
	afterHead = time.Second
)

// paced is a body as its client sends it. Each read has until the time by which so much
// must have come. Guards against clients that trickle or stop: each holds a place for as
// long as it likes. Time that we took, as when a server reads slowly, is not the client's.
type paced struct {
	c    *conn
	r    io.Reader
	rate float64       // bytes a second
	most time.Duration // for all of it
	from time.Time     // when the first of it must have come
	last time.Time     // when the last read returned
	held time.Duration // what we took between reads
	n    int64
}

func (c *conn) pace(r io.Reader, rate float64, most time.Duration) *paced {
	now := time.Now()
	p := &c.body // a connection has one at a time
	*p = paced{c: c, r: r, rate: rate, most: most, from: c.began.Add(headTimeout), last: now}
	if late := now.Add(afterHead); late.After(p.from) {
		p.from = late
	}
	return p
}

// until is when the next read must bring something.
func (p *paced) until(now time.Time) time.Time {
	in := min(time.Duration(float64(p.n)/p.rate*float64(time.Second)), p.most) + p.held
	t := p.from.Add(in)
	if pause := now.Add(pauseTimeout); p.n > 0 && pause.Before(t) {
		return pause
	}
	return t
}

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	now := time.Now()
	p.held += now.Sub(p.last)
	p.c.nc.SetReadDeadline(p.until(now))
	n, err := p.r.Read(b)
	p.n, p.last = p.n+int64(n), time.Now()
	return n, err
}
