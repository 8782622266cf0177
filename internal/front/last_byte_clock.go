package front

import (
	"sync"
	"time"

	"chalkrack/internal/tcpstate"
)

// maxReadMarks bounds the marks of a lastByteClock.
const maxReadMarks = 9

// lastByteClock tells the earliest time at which the client can have written the last byte of the
// body that is being read. A body is read no faster than its server takes it, so bytes that were
// written long ago may wait in the system's buffers. They are bounded: at a moment when nothing is
// unread, or after which more has been read than the buffers hold, the client was still writing.
type lastByteClock struct {
	peeker *socketPeeker

	mu        sync.Mutex
	notBefore time.Time
	isWaiting bool // a read began with nothing unread and has not returned
	received  int64
	marks     []readMark // oldest first
}

// readMark is a moment at which bytes were unread.
type readMark struct {
	at       time.Time
	received int64 // up to then
	hidden   int64 // the most bytes that the client had written beside them
}

// newLastByteClock returns the clock of a body whose head was read at the given time.
func newLastByteClock(peeker *socketPeeker, headRead time.Time) *lastByteClock {
	return &lastByteClock{peeker: peeker, notBefore: headRead}
}

// beforeRead is called before each read of the connection.
func (c *lastByteClock) beforeRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.isWaiting = c.peeker.nothingUnread(); c.isWaiting {
		c.notBefore, c.marks = now, c.marks[:0]
	}
}

// afterRead is called after each read of the connection, which has returned n bytes.
func (c *lastByteClock) afterRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasWaited := c.isWaiting
	c.isWaiting = false
	c.received += int64(n)
	switch {
	case n == 0:
	case hasWaited:
		c.notBefore = c.peeker.lastDataAt()
	default:
		c.addMark()
	}
}

// addMark moves the clock on to the latest mark after which more has been read than was hidden then.
func (c *lastByteClock) addMark() {
	for len(c.marks) > 0 && c.received-c.marks[0].received > c.marks[0].hidden {
		c.notBefore = c.marks[0].at
		c.marks = c.marks[1:]
	}
	hidden := int64(c.peeker.unread() + tcpstate.MaxSendBuffer())
	isFar := len(c.marks) == 0 || c.received-c.marks[len(c.marks)-1].received >= hidden/(maxReadMarks-1)
	if isFar && len(c.marks) < maxReadMarks {
		c.marks = append(c.marks, readMark{at: time.Now(), received: c.received, hidden: hidden})
	}
}

// earliest returns the earliest time at which the last byte can have been written, the current time
// while the client is known to be still writing.
func (c *lastByteClock) earliest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.isWaiting:
		return c.notBefore
	case c.peeker.nothingUnread():
		return time.Now()
	}
	return c.peeker.lastDataAt() // has arrived and is about to be read
}
