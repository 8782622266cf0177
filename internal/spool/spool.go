// Package spool stores bodies in files. Bodies contain personal identities, so files are
// encrypted and authenticated in pieces with a key that never leaves the memory of the process:
// a piece that is truncated, swapped, altered or left by a crash is never accepted. File calls
// are made by a bounded number of workers, so that a disk that hangs blocks only these.
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

// MaxPieceBytes is the maximum length of a piece, in bytes.
const MaxPieceBytes = 64 << 10

// sealOverhead is the overhead of a sealed piece, in bytes: the compression flag and the tag.
const sealOverhead = 1 + 16

// Handle is an open file.
type Handle = interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// FS creates files.
type FS interface {
	// Create creates and opens a file that no other process can open, and whose space is freed
	// when it is closed.
	Create(folder string) (Handle, error)
}

// Config holds the settings of a Spool.
type Config struct {
	Folder   string        // an existing folder, in which the instance creates its own
	Workers  int           // maximum concurrent file calls
	Queue    int           // maximum calls per class that wait for a worker
	Classes  int           // number of classes
	Wait     time.Duration // timeout of a call, including its time in the queue
	Compress bool
	Plain    bool // pieces are not sealed; for measurements only
	FS       FS   // nil: files of the operating system
}

// Errors of calls. Other errors wrap those of the operating system.
var (
	ErrTimeout = errors.New("spool: file call took too long")
	ErrBusy    = errors.New("spool: all workers busy and the queue full")
	ErrAltered = errors.New("spool: piece is not what was written")
	ErrClosed  = errors.New("spool: closed")
)

// Spool creates files and makes their calls. It runs Workers goroutines, and holds one sealed
// piece for each call in progress or queued.
type Spool struct {
	cfg       Config
	folder    string
	lock      *os.File
	aead      cipher.AEAD // nil: plain
	encoder   *zstd.Encoder
	decoder   *zstd.Decoder
	fileCount atomic.Uint64 // number of files so far, which numbers them
	openFiles atomic.Int64

	mu        sync.Mutex
	queues    [][]*fileCall
	lastQueue int // index of the queue served last
	isClosed  bool
	work      sync.Cond
	wg        sync.WaitGroup
}

// New removes what dead instances left in the folder, and returns a Spool with its own folder
// there.
func New(cfg Config) (*Spool, error) {
	s := &Spool{cfg: cfg, queues: make([][]*fileCall, max(1, cfg.Classes))}
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
		// One coder with a small window uses 0.7 MB in all (BenchmarkCoders). More would be
		// too much, since the process may be limited to 32 MB.
		s.encoder, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(MaxPieceBytes), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
		if err == nil {
			s.decoder, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxPieceBytes))
		}
		if err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
	}
	if cfg.FS == nil {
		s.cfg.FS = osFS{}
	}
	if s.folder, s.lock, err = claimFolder(cfg.Folder); err != nil {
		return nil, err
	}
	for range max(1, cfg.Workers) {
		s.wg.Go(s.worker)
	}
	return s, nil
}

// Folder returns the path of the instance's own folder.
func (s *Spool) Folder() string { return s.folder }

// OpenFiles returns the number of open files.
func (s *Spool) OpenFiles() int64 { return s.openFiles.Load() }

// Close stops the workers after they have emptied their queues, and removes the folder. It waits
// for calls that hang for at most Config.Wait.
func (s *Spool) Close() {
	s.mu.Lock()
	s.isClosed = true
	s.work.Broadcast()
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(s.cfg.Wait):
	}
	removeLocked(s.folder, s.lock)
	if s.decoder != nil {
		s.decoder.Close()
	}
}

// fileCall is a queued file call.
type fileCall struct {
	run       func() error
	done      chan error // receives the result; buffered
	abandoned atomic.Bool
}

// call runs do in a worker and waits for it for at most Config.Wait. After ErrTimeout, do may still
// run later; after ErrBusy or ErrClosed it will not.
func (s *Spool) call(class int, do func() error) error {
	queued := &fileCall{run: do, done: make(chan error, 1)}
	if err := s.enqueue(class, queued, false); err != nil {
		return err
	}
	timeout := time.NewTimer(s.cfg.Wait)
	defer timeout.Stop()
	select {
	case err := <-queued.done:
		return err
	case <-timeout.C:
		queued.abandoned.Store(true)
		return ErrTimeout
	}
}

// callAsync runs do in a worker without waiting for it, however long the queue is.
func (s *Spool) callAsync(class int, do func() error) {
	if s.enqueue(class, &fileCall{run: do, done: make(chan error, 1)}, true) != nil {
		do() // the workers have ended
	}
}

// enqueue adds a call to the queue of its class. With ignoreBound the call is added even
// if the queue is full.
func (s *Spool) enqueue(class int, call *fileCall, ignoreBound bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	class = min(max(class, 0), len(s.queues)-1)
	switch {
	case s.isClosed:
		return ErrClosed
	case !ignoreBound && len(s.queues[class]) >= s.cfg.Queue:
		return ErrBusy
	}
	s.queues[class] = append(s.queues[class], call)
	s.work.Signal()
	return nil
}

// worker runs queued calls until the Spool is closed. It serves the classes in turn, so that the
// queue of one class does not delay the calls of another.
func (s *Spool) worker() {
	for {
		call := s.nextCall()
		if call == nil {
			return
		}
		call.done <- call.run()
	}
}

// nextCall returns the next call, and blocks until there is one; nil if the Spool is closed.
func (s *Spool) nextCall() *fileCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for range s.queues {
			s.lastQueue = (s.lastQueue + 1) % len(s.queues)
			if q := s.queues[s.lastQueue]; len(q) > 0 {
				call := q[0]
				q[0] = nil
				s.queues[s.lastQueue] = q[1:]
				return call
			}
		}
		if s.isClosed {
			return nil
		}
		s.work.Wait()
	}
}

// TestDisk tests the disk: it creates a file, writes a piece, reads it back and closes the file.
func (s *Spool) TestDisk() error {
	f := s.File(0)
	defer f.Close()
	p := make([]byte, 4<<10)
	if err := f.Append(p); err != nil {
		return err
	}
	_, err := f.ReadAt(make([]byte, MaxPieceBytes), 0, 0)
	return err
}

// NoRoom reports whether an error means that the disk has no space, or that the process or the
// system has no file descriptors left.
func NoRoom(err error) bool {
	for _, e := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EMFILE, syscall.ENFILE, syscall.EFBIG} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
