package management

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Handler carries out the calls. Its methods may be called from several goroutines and must
// not block for long: each answer is due within a second.
type Handler interface {
	// Ready reports whether this process can serve.
	Ready() bool
	// Figures appends the sidecar's counters to b, one line each.
	Figures(b []byte) []byte
	// Disable takes a server out of use, Enable puts it back. The text of an error is sent
	// to the caller.
	Disable(id string) error
	Enable(id string) error
	Drain() error
	Undrain() error
}

const (
	// callTimeout is the time in which a caller has to send its whole line.
	callTimeout = 10 * time.Second
	// answerTimeout is the time in which a caller has to read its answer. It is shorter
	// than callTimeout because answers are short.
	answerTimeout = 2 * time.Second
	// minEvictAge is the age from which the oldest connection without a whole line may be
	// closed when maxConns are open. A younger one is probably about to send its line.
	minEvictAge         = 15 * time.Millisecond
	acceptRetryInterval = 3 * time.Millisecond
)

// Server answers operators' calls. It holds at most maxConns connections; at that limit it
// closes the oldest one without a whole line to accept a new one.
type Server struct {
	ln          net.Listener
	handler     Handler
	maxConns    int
	minEvictAge time.Duration

	mu     sync.Mutex
	conns  map[*caller]struct{}
	closed bool
	wg     sync.WaitGroup
}

type caller struct {
	net.Conn
	accepted time.Time
	lineRead bool // its line has been read, or it can't be evicted any more
	evicting bool // asked to close for a new connection, unless its line has arrived
}

// Listen serves calls at a TCP address with at most maxConns connections, but no fewer than
// two. The error names the address.
func Listen(addr string, maxConns int, handler Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	s := newServer(ln, maxConns, handler)
	s.wg.Go(s.accept)
	return s, nil
}

func newServer(ln net.Listener, maxConns int, handler Handler) *Server {
	return &Server{ln: ln, handler: handler, maxConns: max(maxConns, 2), minEvictAge: minEvictAge, conns: make(map[*caller]struct{})}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close stops the server, closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Conn.Close()
	}
	s.mu.Unlock()
	s.ln.Close()
	s.wg.Wait()
}

func (s *Server) accept() {
	for {
		s.waitForCapacity()
		nc, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Warn("management: accepting a connection failed", "err", err)
			time.Sleep(acceptRetryInterval)
			continue
		}
		c := &caller{Conn: nc, accepted: time.Now()}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			nc.Close()
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(c) })
	}
}

// waitForCapacity blocks until another connection may be accepted. At the limit it evicts
// the oldest connection without a line, so that silent callers neither shut others out nor
// use more descriptors than are set aside. The evicted connection's goroutine closes it: on
// a busy machine its line may have arrived without having been read.
func (s *Server) waitForCapacity() {
	for {
		s.mu.Lock()
		if s.closed || len(s.conns) < s.maxConns {
			s.mu.Unlock()
			return
		}
		var oldest *caller
		evicting := false
		for c := range s.conns {
			evicting = evicting || c.evicting
			if !c.lineRead && (oldest == nil || c.accepted.Before(oldest.accepted)) {
				oldest = c
			}
		}
		if !evicting && oldest != nil && time.Since(oldest.accepted) > s.minEvictAge {
			oldest.evicting = true
			oldest.SetReadDeadline(time.Unix(1, 0))
		}
		s.mu.Unlock()
		time.Sleep(acceptRetryInterval)
	}
}

func (s *Server) serve(c *caller) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("management: panic in a call", "panic", p, "stack", string(debug.Stack()))
		}
		c.Conn.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	c.SetReadDeadline(c.accepted.Add(callTimeout))
	line, err := bufio.NewReaderSize(c.Conn, maxLineBytes).ReadSlice('\n')
	s.mu.Lock()
	evicting := c.evicting
	s.mu.Unlock()
	if evicting && errors.Is(err, os.ErrDeadlineExceeded) {
		line, err = readBuffered(c.Conn, line)
	}
	s.mu.Lock()
	c.lineRead, c.evicting = true, false
	s.mu.Unlock()
	var answer []byte
	switch {
	case err == nil:
		answer = ExecuteLine(strings.TrimSuffix(string(line), "\n"), s.handler)
	case errors.Is(err, bufio.ErrBufferFull):
		answer = refusal(errLineTooLong)
	default: // the caller left, or sent no whole line in time
		return
	}
	c.SetWriteDeadline(time.Now().Add(answerTimeout))
	if _, err := c.Conn.Write(answer); err != nil {
		return
	}
	// Bytes after the line are read before the connection is closed. Closing it with unread
	// bytes would reset it, and the answer would be lost.
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	var rest [512]byte
	for range maxLingerReads {
		if _, err := c.Conn.Read(rest[:]); err != nil {
			return
		}
	}
}

// readBuffered returns a caller's line, completed with what is unread in its socket even if
// the read deadline has passed. It does not block. If the line is still not whole, it
// returns os.ErrDeadlineExceeded.
func readBuffered(c net.Conn, line []byte) ([]byte, error) {
	line = append(make([]byte, 0, maxLineBytes), line...)
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				n, _, _ := syscall.Recvfrom(int(fd), line[len(line):cap(line)], syscall.MSG_DONTWAIT)
				line = line[:len(line)+max(n, 0)]
			})
		}
	}
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		return line[:end+1], nil
	}
	return nil, os.ErrDeadlineExceeded
}

const (
	lingerTimeout  = 100 * time.Millisecond
	maxLingerReads = 64
)

func refusal(err error) []byte { return []byte("NO " + err.Error() + "\n") }

// ExecuteLine parses a line without its newline, carries out the call and returns the
// answer.
func ExecuteLine(line string, d Handler) []byte {
	call, err := Parse(line)
	if err != nil {
		return refusal(err)
	}
	switch call.Kind {
	case Ready:
		if !d.Ready() {
			return []byte("NO not yet\n")
		}
	case Stats:
		return append(d.Figures(nil), "END\n"...)
	case Disable:
		err = d.Disable(call.ID)
	case Enable:
		err = d.Enable(call.ID)
	case Drain:
		err = d.Drain()
	case Undrain:
		err = d.Undrain()
	}
	if err != nil {
		return refusal(err)
	}
	return []byte("YES\n")
}
