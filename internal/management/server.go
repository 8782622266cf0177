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

// Deeds carries calls out. Its methods may be called from several goroutines and must
// wait for nobody for long: each answer is owed within a second.
type Deeds interface {
	// Ready says whether this process can serve.
	Ready() bool
	// Figures appends what the sidecar counts, a line each.
	Figures(b []byte) []byte
	// Disable leaves a server out, Enable puts it back. An error is why not.
	Disable(id string) error
	Enable(id string) error
	Drain() error
	Undrain() error
}

const (
	// A caller is cut that has brought no whole line for so long.
	callMost = 10 * time.Second
	// One that takes nothing of its answer is cut earlier: it is short.
	answerMost = 2 * time.Second
	// Where all places are taken, the caller that has waited longest gives way, if it is
	// older than this: one that has just come is about to say what it wants.
	youngest = 15 * time.Millisecond
	acceptIn = 3 * time.Millisecond
)

// Server answers callers. It holds Places connections at most; those without a whole
// line make way for new ones.
type Server struct {
	ln       net.Listener
	deeds    Deeds
	places   int
	youngest time.Duration

	mu    sync.Mutex
	conns map[*caller]struct{}
	shut  bool
	wg    sync.WaitGroup
}

type caller struct {
	net.Conn
	since time.Time
	heard bool // its line is whole
	told  bool // to give way; it does, unless its line has come meanwhile
}

// Listen serves at an address with so many places. The error names the address.
func Listen(addr string, places int, d Deeds) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("management: %w", err)
	}
	s := serverOf(ln, places, d)
	s.wg.Go(s.accept)
	return s, nil
}

func serverOf(ln net.Listener, places int, d Deeds) *Server {
	return &Server{ln: ln, deeds: d, places: max(places, 2), youngest: youngest, conns: make(map[*caller]struct{})}
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close ends it, and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.shut = true
	for c := range s.conns {
		c.Conn.Close()
	}
	s.mu.Unlock()
	s.ln.Close()
	s.wg.Wait()
}

func (s *Server) accept() {
	for {
		s.makeRoom()
		nc, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Warn("management: can't accept", "err", err)
			time.Sleep(acceptIn)
			continue
		}
		c := &caller{Conn: nc, since: time.Now()}
		s.mu.Lock()
		if s.shut {
			s.mu.Unlock()
			nc.Close()
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(c) })
	}
}

// makeRoom waits until one more connection may be held. Guards against callers that hold
// connections and say nothing: they shut nobody out, and take no more descriptors than
// are set aside. Who gives way ends by itself: its line may lie in its socket, where a busy
// machine has not let anybody look.
func (s *Server) makeRoom() {
	for {
		s.mu.Lock()
		if s.shut || len(s.conns) < s.places {
			s.mu.Unlock()
			return
		}
		var oldest *caller
		ending := false
		for c := range s.conns {
			ending = ending || c.told
			if !c.heard && (oldest == nil || c.since.Before(oldest.since)) {
				oldest = c
			}
		}
		if !ending && oldest != nil && time.Since(oldest.since) > s.youngest {
			oldest.told = true
			oldest.SetReadDeadline(time.Unix(1, 0))
		}
		s.mu.Unlock()
		time.Sleep(acceptIn)
	}
}

func (s *Server) serve(c *caller) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic at a management call", "panic", p, "stack", string(debug.Stack()))
		}
		c.Conn.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	c.SetReadDeadline(c.since.Add(callMost))
	line, err := bufio.NewReaderSize(c.Conn, lineMost).ReadSlice('\n')
	s.mu.Lock()
	told := c.told
	s.mu.Unlock()
	if told && errors.Is(err, os.ErrDeadlineExceeded) {
		line, err = waiting(c.Conn, line)
	}
	s.mu.Lock()
	c.heard, c.told = true, false
	s.mu.Unlock()
	var answer []byte
	switch {
	case err == nil:
		answer = Answer(strings.TrimSuffix(string(line), "\n"), s.deeds)
	case errors.Is(err, bufio.ErrBufferFull):
		answer = no(errLong)
	default: // it left, or brought no whole line in time
		return
	}
	c.SetWriteDeadline(time.Now().Add(answerMost))
	if _, err := c.Conn.Write(answer); err != nil {
		return
	}
	// What it sent behind its line is read off: closed over it, the answer would be lost.
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerMost))
	var rest [512]byte
	for range lingerReads {
		if _, err := c.Conn.Read(rest[:]); err != nil {
			return
		}
	}
}

// waiting is a caller's line with what lies unread in its socket, whatever the deadline says;
// os.ErrDeadlineExceeded: it is not whole.
func waiting(c net.Conn, line []byte) ([]byte, error) {
	line = append(make([]byte, 0, lineMost), line...)
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
	lingerMost  = 100 * time.Millisecond
	lingerReads = 64
)

func no(err error) []byte { return []byte("NO " + err.Error() + "\n") }

// Answer carries out the call of a line, and returns what its caller is told.
func Answer(line string, d Deeds) []byte {
	call, err := Parse(line)
	if err != nil {
		return no(err)
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
		return no(err)
	}
	return []byte("YES\n")
}
