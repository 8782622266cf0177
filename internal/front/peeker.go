package front

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"chalkrack/internal/tcpstate"
)

// socketPeeker checks without blocking whether a connection has bytes to read. Each connection
// has one for its lifetime, so that a check costs a system call and no allocation.
type socketPeeker struct {
	mu       sync.Mutex
	raw      syscall.RawConn  // nil: the connection cannot be peeked at
	peekByte func(fd uintptr) // allocated once; sets n and err
	buf      [1]byte
	n        int
	err      error
}

// attach sets the connection. One without a file descriptor cannot be peeked at.
func (s *socketPeeker) attach(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	s.raw = raw
	s.peekByte = func(fd uintptr) {
		s.n, _, s.err = syscall.Recvfrom(int(fd), s.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
}

// peek returns the number of bytes to read, at most 1, and 0 at the end of the stream. It
// returns errNoPeek if the connection cannot be peeked at or is closed on this side, and
// EAGAIN if there is nothing to read.
func (s *socketPeeker) peek() (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw == nil {
		return 0, errNoPeek
	}
	s.n, s.err = 0, errNoPeek // remains if the connection is closed on this side, where Control fails
	s.raw.Control(s.peekByte)
	return s.n, s.err
}

// errNoPeek is the error for a connection that cannot be peeked at, or is closed on this side.
var errNoPeek = errors.New("front: cannot peek at this connection")

// hasPending reports whether there are bytes to read.
func (s *socketPeeker) hasPending() bool {
	n, err := s.peek()
	return err == nil && n > 0
}

// remoteClosed reports whether the remote end has closed the connection, also if bytes that
// it sent before are still unread.
func (s *socketPeeker) remoteClosed() bool {
	n, err := s.peek()
	return isRemoteClosed(n, err) || err == nil && s.endSeen()
}

// States of a TCP connection in the first byte of TCP_INFO in which the remote end may still send. In
// all others the kernel has received its FIN or its reset, or has given it up.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// endSeen reports whether the kernel has seen the remote end's FIN or reset, also if bytes that came
// before are still unread. It is false if the state is unavailable.
func (s *socketPeeker) endSeen() bool {
	state, err := 0, errNoPeek
	s.raw.Control(func(fd uintptr) {
		state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	})
	if err != nil {
		return false
	}
	switch state & 0xff {
	case 0, tcpEstablished, tcpFinWait1, tcpFinWait2:
		return false
	}
	return true
}

// isRemoteClosed reports whether a result of peek means that the remote end has closed the
// connection.
func isRemoteClosed(n int, err error) bool {
	switch err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR, errNoPeek:
		return false
	default:
		return true
	}
}

// nothingUnread reports whether all bytes that have arrived have been read; also if the connection
// cannot tell.
func (s *socketPeeker) nothingUnread() bool {
	_, err := s.peek()
	return err == syscall.EAGAIN || err == errNoPeek
}

// lastDataAt returns when data last arrived, now if the system does not tell.
func (s *socketPeeker) lastDataAt() time.Time {
	now, age := time.Now(), time.Duration(0)
	if s.raw != nil {
		s.raw.Control(func(fd uintptr) { age, _ = tcpstate.SinceLastData(fd) })
	}
	return now.Add(-age)
}

// defaultUnread stands for the unread bytes of a connection whose system does not tell them.
const defaultUnread = 6 << 20

// unread returns the number of bytes that have arrived and have not been read.
func (s *socketPeeker) unread() (n int) {
	err := errNoPeek
	if s.raw != nil {
		s.raw.Control(func(fd uintptr) { n, err = tcpstate.Unread(fd) })
	}
	if err != nil {
		return defaultUnread
	}
	return n
}
