package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"chalkrack/internal/httphead"
	"chalkrack/internal/tcpstate"
)

// conn is a connection to a server. Its goroutine runs read.
type conn struct {
	net.Conn
	raw        syscall.RawConn
	limited    limitedConn
	source     httphead.Source       // reads from limited
	reader     *bufio.Reader         // reads from source
	headRoom   *httphead.Reservation // of a long head of an answer; nil: none; used by the reader
	reception  reception             // of the answer that is being read; used by the reader
	server     *server
	addr       string
	idleSince  time.Time // when it last became idle
	uses       int
	checkQuiet func(fd uintptr) // sets quiet; allocated once because it runs twice per request
	quiet      bool             // belongs to the goroutine that acquires the connection, then to the owner
	owner      *Attempt         // nil while idle; guarded by the pool's lock
	removed    bool             // removed from the pool; guarded by the pool's lock
}

// hasUnreadData reports whether there are bytes to read; the end of the stream does not count.
func (c *conn) hasUnreadData() bool {
	n := 0
	c.raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// unacknowledged returns the number of bytes that were written and that the server's system has not
// acknowledged.
func (c *conn) unacknowledged() (n int, err error) {
	if controlErr := c.raw.Control(func(fd uintptr) { n, err = tcpstate.Unacknowledged(fd) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// dropUnsent makes the system drop what the server's system has not got when the connection is closed.
// It would go on sending it otherwise, and the server would begin a request that was given up.
func (c *conn) dropUnsent() {
	if n, err := c.unacknowledged(); err == nil && n == 0 {
		return
	}
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		l.SetLinger(0)
	}
}

func (c *conn) isQuiet() bool {
	c.quiet = false
	return c.raw.Control(c.checkQuiet) == nil && c.quiet
}

// nothingToRead reports whether a read would block: neither bytes nor an end have arrived.
func nothingToRead(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN || err == syscall.EINTR
}
