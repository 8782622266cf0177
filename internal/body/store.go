// Package body holds the bodies of calls where internal/keep says: in memory, in a file
// of internal/spool, or only on their way to one server. Listeners bring them, and
// attempts read them, each from the beginning.
package body

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"chalkrack/internal/keep"
	"chalkrack/internal/spool"
)

// StreamPiece is the most that is read at once of a body that is not kept.
const StreamPiece = 32 << 10

const (
	firstPiece = 4 << 10
	pieceMost  = spool.PieceMost
)

// Errors of a body that can't be taken, read or read again.
var (
	ErrNoRoom = errors.New("body: no room to keep it or to pass it on")
	ErrLost   = errors.New("body: a kept piece can't be read")
	ErrOnce   = errors.New("body: not kept, and read already")
	ErrBroken = errors.New("body: its sender broke it off")
	errClosed = errors.New("body: reading closed")
)

// Config is what a Store is told.
type Config struct {
	Limits  keep.Limits // a share for each class
	Disk    keep.DiskLimits
	Spool   *spool.Spool // nil: no files; the Store closes it
	Classes []string     // names of the classes
	Window  int64        // bytes of a body that is not kept which wait for its server
	Log     *slog.Logger // nil: the default one
}

// Store holds the bodies of one process. Beyond what the limits say it holds, for each
// file, a piece of 64 KiB that is being written and one for each reading, and for each
// body that is not kept its window and a piece.
type Store struct {
	cfg   Config
	start time.Time

	mu     sync.Mutex
	keeper *keep.Keeper
	disk   keep.Disk
	since  time.Time // of the disk's state
	wake   chan struct{}
	quit   chan struct{}
	wg     sync.WaitGroup
}

// New returns a Store. Errors name the limit.
func New(cfg Config) (*Store, error) {
	if len(cfg.Limits.Shares) != len(cfg.Classes) {
		return nil, fmt.Errorf("body: Shares must be %d, one for each class", len(cfg.Classes))
	}
	if cfg.Spool == nil {
		cfg.Limits.Disk = 0
	}
	k, err := keep.New(cfg.Limits)
	if err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	cfg.Window = max(cfg.Window, pieceMost)
	s := &Store{cfg: cfg, start: time.Now(), since: time.Now(), keeper: k, disk: keep.NewDisk(cfg.Disk, 0), wake: make(chan struct{}, 1), quit: make(chan struct{})}
	if cfg.Spool != nil {
		s.wg.Go(s.tend)
	}
	return s, nil
}

// Close ends the Store's own goroutine and its files. Bodies that are still read can't
// be read on.
func (s *Store) Close() {
	close(s.quit)
	s.wg.Wait()
	if s.cfg.Spool != nil {
		s.cfg.Spool.Close()
	}
}

func (s *Store) now() time.Duration { return time.Since(s.start) }

// usable says whether files may be made now. It is called with the lock held.
func (s *Store) usable() bool {
	state, _ := s.disk.State()
	return s.cfg.Spool != nil && state == keep.Good
}

// called books how a file call ended. It is called with the lock held.
func (s *Store) called(err error, took time.Duration, trial bool) {
	f := keep.Broken
	switch {
	case err == nil:
		f = keep.None
	case errors.Is(err, spool.ErrClosed):
		return
	case errors.Is(err, spool.ErrLate), errors.Is(err, spool.ErrBusy):
		f = keep.Late
	case spool.NoRoom(err):
		f = keep.NoRoom
	}
	old, _ := s.disk.State()
	if trial {
		s.disk.RecordTrial(f, took, s.now())
	} else {
		s.disk.RecordCall(f, took, s.now())
	}
	if state, _ := s.disk.State(); state != old {
		s.since = time.Now()
		s.cfg.Log.Warn("disk for bodies", "was", old.String(), "is", state.String(), "err", err)
		s.nudge()
	}
}

func (s *Store) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// put books n bytes. It is called with the lock held.
func (s *Store) put(b *Body, n int64) keep.Place {
	p := s.keeper.Put(b.kept, n, s.usable())
	if s.keeper.IsTight() {
		s.nudge()
	}
	return p
}

// tend moves bodies to files while memory is short, and makes the trials of a disk that
// is not good. Both run here, one at a time: moving is for the time after the calls.
func (s *Store) tend() {
	trial := time.NewTicker(s.cfg.Disk.RestLeast)
	defer trial.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-s.wake:
		case <-trial.C:
			s.mu.Lock()
			due := s.disk.TrialDue(s.now())
			s.mu.Unlock()
			if due {
				began := time.Now()
				err := s.cfg.Spool.Try()
				s.mu.Lock()
				s.called(err, time.Since(began), true)
				s.mu.Unlock()
			}
		}
		for s.moveOne() {
		}
	}
}

func (s *Store) moveOne() bool {
	s.mu.Lock()
	kept := s.keeper.SelectForMove(s.usable())
	if kept == nil {
		s.mu.Unlock()
		return false
	}
	b := kept.Owner.(*Body)
	segs := b.segs
	f := s.cfg.Spool.File(b.class)
	s.mu.Unlock()
	moved := make([]segment, 0, len(segs))
	var err error
	for _, seg := range segs {
		if moved, err = s.write(f, moved, seg.mem); err != nil {
			break
		}
		select {
		case <-s.quit:
			err = spool.ErrClosed
		default:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && !b.gone {
		b.segs, b.file = moved, f
	} else {
		f.Close()
	}
	s.keeper.RecordMove(kept, err == nil)
	return true
}

// write appends p to a file, in pieces, and the segments to those that it returns.
func (s *Store) write(f *spool.File, segs []segment, p []byte) ([]segment, error) {
	for len(p) > 0 {
		n := min(len(p), pieceMost)
		began := time.Now()
		err := f.Append(p[:n])
		s.mu.Lock()
		s.called(err, time.Since(began), false)
		s.mu.Unlock()
		if err != nil {
			return segs, err
		}
		segs = append(segs, segment{piece: f.Pieces() - 1, n: n, filed: true})
		p = p[n:]
	}
	return segs, nil
}

// Incoming is a body as its listener has it.
type Incoming struct {
	Class, Tenant int
	Length        int64 // as announced; -1: not
	Once          bool  // the tier before keeps it
	Body          io.Reader
}

// Receive takes a body until it is whole, or until it is known that it is not kept:
// then Coming says true, some of it is at hand, and Forward takes the rest. The error
// is ErrNoRoom, or what reading said; the body is dropped then.
func (s *Store) Receive(in Incoming) (*Body, error) {
	b := &Body{store: s, class: in.Class, length: in.Length, in: in}
	b.moved.L = &s.mu
	s.mu.Lock()
	b.kept = s.keeper.Begin(in.Class, in.Tenant, in.Length, in.Once, s.usable())
	s.mu.Unlock()
	b.kept.Owner = b
	for {
		if err := b.receive(); err != nil {
			b.Drop()
			return nil, err
		}
		if b.whole || b.coming {
			return b, nil
		}
	}
}
