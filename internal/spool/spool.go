// Package spool keeps bodies in files. The bodies hold people's identities, so a file
// is sealed in pieces with a key of this process that never leaves its memory: a piece
// that is cut, swapped, altered or left by a crash is never read as good. File calls
// are made by a bounded set of workers, so that a disk that hangs holds these and
// nobody else.
package spool

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/klauspost/compress/zstd"
)

// PieceMost is how many bytes a piece holds at most.
const PieceMost = 64 << 10

// sealMost is what a sealed piece has beyond its text: a byte that says whether it is
// compressed, and the tag.
const sealMost = 1 + 16

// Handle is an open file.
type Handle = interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// FS makes files.
type FS interface {
	// Create opens a new file, which nobody else can open and whose room is free again
	// when it is closed.
	Create(folder string) (Handle, error)
}

// Config is what a Spool is told.
type Config struct {
	Folder   string // an existing one; the instance makes a folder of its own in it
	Workers  int    // file calls at once
	Queue    int    // calls of a class that wait for a worker
	Classes  int
	Wait     time.Duration // how long a call may take, its wait included
	Compress bool
	Plain    bool // not sealed: for measurements only
	FS       FS   // nil: the system's
}

// Errors of calls. Others are the system's.
var (
	ErrLate   = errors.New("spool: file call took too long")
	ErrBusy   = errors.New("spool: all workers busy and the queue full")
	ErrSpoilt = errors.New("spool: piece is not what was written")
	ErrClosed = errors.New("spool: closed")
)

// Spool keeps files. It holds Workers goroutines, and for each call under way or in a
// queue one sealed piece.
type Spool struct {
	cfg    Config
	folder string
	lock   *os.File
	aead   cipher.AEAD // nil: plain
	enc    *zstd.Encoder
	dec    *zstd.Decoder
	files  atomic.Uint64 // how many there were: the number of the next
	open   atomic.Int64

	mu     sync.Mutex
	queues [][]*op
	turn   int // the queue that is looked at first
	closed bool
	work   sync.Cond
	wg     sync.WaitGroup
}

// New sweeps the folder of what dead instances left, and returns a Spool with a folder
// of its own there.
func New(cfg Config) (*Spool, error) {
	s := &Spool{cfg: cfg, queues: make([][]*op, max(1, cfg.Classes))}
	s.work.L = &s.mu
	if !cfg.Plain {
		key := make([]byte, 32)
		rand.Read(key)
		block, err := aes.NewCipher(key)
		if err == nil {
			s.aead, err = cipher.NewGCM(block)
		}
		clear(key)
		if err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
	}
	var err error
	if cfg.Compress {
		// One coder at a time and small windows: 0.7 MB in all (BenchmarkCoders), for
		// the process may have 32 MB.
		s.enc, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(PieceMost), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
		if err == nil {
			s.dec, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(PieceMost))
		}
		if err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
	}
	if cfg.FS == nil {
		s.cfg.FS = system{}
	}
	if s.folder, s.lock, err = claim(cfg.Folder); err != nil {
		return nil, err
	}
	for range max(1, cfg.Workers) {
		s.wg.Go(s.worker)
	}
	return s, nil
}

// Folder is the instance's own.
func (s *Spool) Folder() string { return s.folder }

// Open is how many files are open.
func (s *Spool) Open() int64 { return s.open.Load() }

// Close ends the workers once their queues are empty, and removes the folder. A call
// that hangs is waited for no longer than a call may take.
func (s *Spool) Close() {
	s.mu.Lock()
	s.closed = true
	s.work.Broadcast()
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(s.cfg.Wait):
	}
	release(s.folder, s.lock)
	if s.dec != nil {
		s.dec.Close()
	}
}

// op is one file call.
type op struct {
	do   func() error
	done chan error // holds its end
	left atomic.Bool
}

// call has a worker do something and waits, no longer than a call may take. After
// ErrLate it may still be done at some time; after ErrBusy it will not be.
func (s *Spool) call(class int, do func() error) error {
	o := &op{do: do, done: make(chan error, 1)}
	if err := s.enqueue(class, o, false); err != nil {
		return err
	}
	late := time.NewTimer(s.cfg.Wait)
	defer late.Stop()
	select {
	case err := <-o.done:
		return err
	case <-late.C:
		o.left.Store(true)
		return ErrLate
	}
}

// later has a worker do something whose end nobody waits for, however long the queue.
func (s *Spool) later(class int, do func() error) {
	if s.enqueue(class, &op{do: do, done: make(chan error, 1)}, true) != nil {
		do() // the workers have ended
	}
}

func (s *Spool) enqueue(class int, o *op, must bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	class = min(max(class, 0), len(s.queues)-1)
	switch {
	case s.closed:
		return ErrClosed
	case !must && len(s.queues[class]) >= s.cfg.Queue:
		return ErrBusy
	}
	s.queues[class] = append(s.queues[class], o)
	s.work.Signal()
	return nil
}

// worker takes calls, of each class in turn: guards one class's calls against a queue
// of another's.
func (s *Spool) worker() {
	for {
		o := s.next()
		if o == nil {
			return
		}
		o.done <- o.do()
	}
}

func (s *Spool) next() *op {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for range s.queues {
			s.turn = (s.turn + 1) % len(s.queues)
			if q := s.queues[s.turn]; len(q) > 0 {
				o := q[0]
				q[0] = nil
				s.queues[s.turn] = q[1:]
				return o
			}
		}
		if s.closed {
			return nil
		}
		s.work.Wait()
	}
}

// Try makes a file, writes a piece to it, reads it back and lets it go: a trial of the
// disk.
func (s *Spool) Try() error {
	f := s.File(0)
	defer f.Close()
	p := make([]byte, 4<<10)
	if err := f.Append(p); err != nil {
		return err
	}
	_, err := f.ReadAt(make([]byte, PieceMost), 0, 0)
	return err
}

// NoRoom says whether an error tells of a disk without room, or of a process or system
// without descriptors.
func NoRoom(err error) bool {
	for _, e := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EMFILE, syscall.ENFILE, syscall.EFBIG} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
