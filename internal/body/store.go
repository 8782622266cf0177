// Package body stores the bodies of calls where package bodypolicy decides: in memory, in a
// file of package spool, or not at all while they are streamed to one server. Listeners pass
// them to a Store, and each attempt reads them from the beginning.
package body

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"chalkrack/internal/bodypolicy"
	"chalkrack/internal/spool"
)

// MaxStreamPieceBytes is the maximum number of bytes per read of a body that is not kept.
const MaxStreamPieceBytes = 32 << 10

const (
	firstPieceBytes = 4 << 10
	maxPieceBytes   = spool.MaxPieceBytes
)

// Errors of receiving and reading bodies.
var (
	ErrNoRoom        = errors.New("body: no capacity to keep or to stream it")
	ErrLost          = errors.New("body: a kept piece cannot be read")
	ErrOnce          = errors.New("body: not kept, so it can be read only once")
	ErrBroken        = errors.New("body: aborted by its sender")
	errReadingClosed = errors.New("body: reading closed")
)

// Config holds the settings of a Store.
type Config struct {
	Limits  bodypolicy.Limits // Shares must have one element per class
	Disk    bodypolicy.DiskLimits
	Spool   *spool.Spool // nil: no files are used; closed by Store.Close
	Classes []string     // names of the classes; others may follow, see Incoming
	Window  int64        // maximum bytes of a body that is not kept waiting for its server
	Log     *slog.Logger // nil: slog.Default
}

// Store holds the bodies of one process. In addition to what the limits allow, it uses a piece
// of 64 KiB for each file that is being written and for each reading, and for each body that is
// not kept its window and one piece.
type Store struct {
	cfg   Config
	start time.Time

	mu        sync.Mutex
	keeper    *bodypolicy.Keeper
	disk      bodypolicy.Disk
	diskSince time.Time // when the state of the disk last changed
	wake      chan struct{}
	quit      chan struct{}
	wg        sync.WaitGroup
}

// New returns a Store, or an error that names the invalid limit.
func New(cfg Config) (*Store, error) {
	if len(cfg.Limits.Shares) != len(cfg.Classes) {
		return nil, fmt.Errorf("body: Shares must be %d, one for each class", len(cfg.Classes))
	}
	if cfg.Spool == nil {
		cfg.Limits.Disk = 0
	}
	k, err := bodypolicy.New(cfg.Limits)
	if err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	cfg.Window = max(cfg.Window, maxPieceBytes)
	s := &Store{cfg: cfg, start: time.Now(), diskSince: time.Now(), keeper: k, disk: bodypolicy.NewDisk(cfg.Disk, 0), wake: make(chan struct{}, 1), quit: make(chan struct{})}
	if cfg.Spool != nil {
		s.wg.Go(s.runBackground)
	}
	return s, nil
}

// Close stops the background goroutine and closes the Spool. Open readings of files fail
// afterwards.
func (s *Store) Close() {
	close(s.quit)
	s.wg.Wait()
	if s.cfg.Spool != nil {
		s.cfg.Spool.Close()
	}
}

func (s *Store) now() time.Duration { return time.Since(s.start) }

// canCreateFile reports whether files may be created now. The lock must be held.
func (s *Store) canCreateFile() bool {
	state, _ := s.disk.State()
	return s.cfg.Spool != nil && state == bodypolicy.Good
}

// recordFileCall records the outcome of a file call for the state of the disk. The lock must be
// held.
func (s *Store) recordFileCall(err error, took time.Duration, trial bool) {
	fault := bodypolicy.Broken
	switch {
	case err == nil:
		fault = bodypolicy.None
	case errors.Is(err, spool.ErrClosed):
		return
	case errors.Is(err, spool.ErrTimeout), errors.Is(err, spool.ErrBusy):
		fault = bodypolicy.Late
	case spool.NoRoom(err):
		fault = bodypolicy.NoRoom
	}
	old, _ := s.disk.State()
	if trial {
		s.disk.RecordTrial(fault, took, s.now())
	} else {
		s.disk.RecordCall(fault, took, s.now())
	}
	if state, _ := s.disk.State(); state != old {
		s.diskSince = time.Now()
		s.cfg.Log.Warn("disk for bodies", "was", old.String(), "is", state.String(), "err", err)
		s.wakeBackground()
	}
}

// wakeBackground wakes the background goroutine.
func (s *Store) wakeBackground() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// className returns the name of a class for log lines.
func (s *Store) className(class int) string {
	if class < 0 || class >= len(s.cfg.Classes) {
		return "added later"
	}
	return s.cfg.Classes[class]
}

// book books n more bytes of a body. The lock must be held.
func (s *Store) book(b *Body, n int64) bodypolicy.Place {
	p := s.keeper.Put(b.record, n, s.canCreateFile())
	if s.keeper.IsTight() {
		s.wakeBackground()
	}
	return p
}

// runBackground moves bodies to files while memory is tight, and runs the trials of a disk that
// is not good. Both run in this one goroutine, one at a time, since moving is less urgent than
// the file calls made for attempts.
func (s *Store) runBackground() {
	trial := time.NewTicker(s.cfg.Disk.MinTrialDelay)
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
				err := s.cfg.Spool.TestDisk()
				s.mu.Lock()
				s.recordFileCall(err, time.Since(began), true)
				s.mu.Unlock()
			}
		}
		for s.moveOne() {
		}
	}
}

// moveOne moves one body to a file, and reports whether there was one to move.
func (s *Store) moveOne() bool {
	s.mu.Lock()
	record := s.keeper.SelectForMove(s.canCreateFile())
	if record == nil {
		s.mu.Unlock()
		return false
	}
	b := record.Owner.(*Body)
	segs := b.segments
	f := s.cfg.Spool.File(b.class)
	s.mu.Unlock()
	moved := make([]segment, 0, len(segs))
	var err error
	for _, seg := range segs {
		if moved, err = s.write(f, moved, seg.data); err != nil {
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
	if err == nil && !b.isDropped {
		b.segments, b.file = moved, f
	} else {
		f.Close()
	}
	s.keeper.RecordMove(record, err == nil)
	return true
}

// write appends p to a file in pieces, and returns segs with a segment added for each piece
// written.
func (s *Store) write(f *spool.File, segs []segment, p []byte) ([]segment, error) {
	for len(p) > 0 {
		n := min(len(p), maxPieceBytes)
		began := time.Now()
		err := f.Append(p[:n])
		s.mu.Lock()
		s.recordFileCall(err, time.Since(began), false)
		s.mu.Unlock()
		if err != nil {
			return segs, err
		}
		segs = append(segs, segment{piece: f.Pieces() - 1, size: n, inFile: true})
		p = p[n:]
	}
	return segs, nil
}

// Incoming is a body to be received from a listener.
type Incoming struct {
	// Class is an index of Config.Classes. Any other value stands for the classes that a later
	// configuration has added; they have no share of their own.
	Class         int
	Tenant        int   // -1: none, or one that a later configuration has added
	Length        int64 // announced length; -1: none
	KeptElsewhere bool  // the previous tier keeps it
	Body          io.Reader
}

// Receive reads a body until it is complete, or until it is known that it is not kept. In that
// case a first part has been received, and Body.Forward receives the rest. The error is
// ErrNoRoom or that of the read; the body is dropped then.
func (s *Store) Receive(in Incoming) (*Body, error) {
	b := &Body{store: s, class: in.Class, length: in.Length, incoming: in}
	b.changed.L = &s.mu
	b.register()
	for {
		if err := b.receivePiece(); err != nil {
			b.Drop()
			return nil, err
		}
		if b.isComplete || b.isStreamed {
			return b, nil
		}
	}
}
