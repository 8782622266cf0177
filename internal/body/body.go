package body

import (
	"io"
	"sync"
	"time"

	"chalkrack/internal/keep"
	"chalkrack/internal/message"
	"chalkrack/internal/spool"
)

// Body is one body. It is a message.Source: attempts read it at once or one after
// another, each from its beginning, unless it is not kept; then one reads it, once.
type Body struct {
	store  *Store
	in     Incoming
	class  int
	length int64 // announced; -1: not
	kept   *keep.Body
	buf    []byte // for pieces that go to the file; the receiver's own
	last   int    // size of the piece before

	// Guarded by the store's lock.
	segs    []segment // a whole kept body's is replaced and never changed
	file    *spool.File
	whole   bool
	coming  bool // not kept
	err     error
	gone    bool
	opened  int // readings, ended ones included
	reading int
	wait    int64     // bytes that have come and not passed, of such a one
	moved   sync.Cond // something of that changed
}

// segment is a part of a body, in memory or as a piece of its file.
type segment struct {
	mem    []byte
	piece  int
	n      int
	filed  bool
	booked bool // of one in memory: the keeper has booked it
}

var _ message.Source = (*Body)(nil)

// Coming says that a body is not kept: it goes on to one server as it comes.
func (b *Body) Coming() bool {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.coming
}

// Whole says that all of it has come.
func (b *Body) Whole() bool {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.whole
}

// Place is where it is kept.
func (b *Body) Place() keep.Place {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.kept.Place()
}

// Length implements message.Source: the length that was announced, or that has come of
// a whole body; -1 if neither is known.
func (b *Body) Length() int64 {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.whole {
		return b.kept.Size()
	}
	return b.length
}

// Pieces is a whole body that stays in memory for its life, nil if it is of another
// kind: attempts need no reading of such a one.
func (b *Body) Pieces() [][]byte {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if !b.whole || b.coming || b.kept.Place() != keep.Memory || b.kept.Size() >= b.store.cfg.Limits.MoveLeast {
		return nil
	}
	all := make([][]byte, len(b.segs))
	for n, seg := range b.segs {
		all[n] = seg.mem
	}
	return all
}

// receive takes one more piece, or finds out that the body is not kept.
func (b *Body) receive() error {
	s := b.store
	size := b.pieceSize()
	if size == 0 {
		b.end()
		return nil
	}
	s.mu.Lock()
	place := s.put(b, size)
	s.mu.Unlock()
	switch place {
	case keep.Refused:
		return ErrNoRoom
	case keep.Nowhere:
		b.goOn()
		if len(b.segs) == 0 {
			_, err := b.take(size)
			return err
		}
		b.trim(size) // something is at hand: the call need not wait for more
		return nil
	case keep.Memory:
		p := make([]byte, size)
		n, err := b.read(p)
		b.trim(size - int64(n))
		if int64(n) < size/2 { // the room that was not needed is not held
			p = append(make([]byte, 0, n), p[:n]...)
		}
		if n > 0 {
			b.segs = append(b.segs, segment{mem: p[:n:n], n: n, booked: true})
		}
		return b.ended(err)
	}
	if b.file == nil && !b.spill() {
		if err := b.elsewhere(size); err != nil {
			return err
		}
		if b.coming {
			b.trim(size)
			return nil
		}
	}
	if b.buf == nil {
		b.buf = make([]byte, pieceMost)
	}
	n, err := b.read(b.buf[:size])
	b.trim(size - int64(n))
	if n > 0 {
		if err := b.append(b.buf[:n]); err != nil {
			return err
		}
	}
	return b.ended(err)
}

// elsewhere asks for another place for n bytes whose file can't be written. It may
// become a body that is not kept.
func (b *Body) elsewhere(n int64) error {
	b.store.mu.Lock()
	place := b.store.keeper.RecordFileFailure(b.kept, n, false)
	b.store.mu.Unlock()
	switch place {
	case keep.Refused:
		return ErrNoRoom
	case keep.Nowhere:
		b.goOn()
	}
	return nil
}

// trim gives back what was booked and did not come.
func (b *Body) trim(n int64) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.keeper.ReleaseUnreceived(b.kept, n)
}

// pieceSize is how long the next piece is, 0 if the announced length has come.
func (b *Body) pieceSize() int64 {
	size := int64(pieceMost)
	if b.last == 0 {
		size = firstPiece
	}
	if b.length >= 0 {
		size = min(pieceMost, b.length-b.kept.Size())
	}
	b.last = int(size)
	return size
}

// read fills p, or ends with io.EOF or another error before.
func (b *Body) read(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = b.in.Body.Read(p[n:])
		n += k
	}
	return n, err
}

// ended takes the error of a read: io.EOF ends the body.
func (b *Body) ended(err error) error {
	switch {
	case err == io.EOF && b.length >= 0 && b.kept.Size() < b.length:
		return io.ErrUnexpectedEOF
	case err == io.EOF, err == nil && b.length >= 0 && b.kept.Size() == b.length:
		b.end()
		return nil
	}
	return err
}

func (b *Body) end() {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	b.whole, b.buf = true, nil
	s.keeper.Complete(b.kept)
	b.moved.Broadcast()
	if s.keeper.IsTight() {
		s.nudge()
	}
}

// goOn makes it a body that is not kept.
func (b *Body) goOn() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.coming = true
	b.moved.Broadcast()
}

// spill brings what lies in memory to the file, where all that comes goes. What can't
// be brought there stays in memory.
func (b *Body) spill() (ok bool) {
	s := b.store
	b.file = s.cfg.Spool.File(b.class)
	old := b.segs
	var segs []segment
	for n, seg := range old {
		filed, err := s.write(b.file, segs, seg.mem)
		s.mu.Lock()
		if err != nil {
			left := int64(0)
			for _, seg := range old[n:] {
				left += int64(seg.n)
			}
			s.keeper.RecordFileFailure(b.kept, left, true)
			b.segs = append(segs, old[n:]...)
			s.mu.Unlock()
			return false
		}
		s.keeper.RecordWritten(b.kept, int64(seg.n))
		s.mu.Unlock()
		segs = filed
	}
	b.segs = segs
	return true
}

// append puts a piece that has come where its place is. If its file can't be written
// it asks for another place, and the piece goes there: nothing of it is lost.
func (b *Body) append(p []byte) error {
	s := b.store
	if !b.kept.FileFailed() {
		segs, err := s.write(b.file, b.segs, p)
		if err == nil {
			b.segs = segs
			return nil
		}
		if err := b.elsewhere(int64(len(p))); err != nil {
			return err
		}
		if b.coming {
			b.push(p)
			return nil
		}
	}
	b.segs = append(b.segs, segment{mem: append([]byte(nil), p...), n: len(p), booked: true})
	return nil
}

// push adds a piece of a body that is not kept to what waits for its server.
func (b *Body) push(p []byte) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	b.segs = append(b.segs, segment{mem: append([]byte(nil), p...), n: len(p)})
	b.wait += int64(len(p))
	b.moved.Broadcast()
}

// take reads a piece of a body that is not kept, whose bytes the keeper has counted.
func (b *Body) take(size int64) (more bool, err error) {
	if b.buf == nil {
		b.buf = make([]byte, StreamPiece)
	}
	n, err := io.ReadAtLeast(b.in.Body, b.buf[:min(size, int64(len(b.buf)))], 1) // as it comes, not filled
	b.trim(size - int64(n))
	if n > 0 {
		b.push(b.buf[:n])
	}
	if err = b.ended(err); err != nil {
		return false, err
	}
	return !b.Whole(), nil
}

// Forward takes the rest of a body that is not kept, no faster than its server does.
// It ends with nil when the body is whole or nobody wants more of it, else with what
// reading said; then the call is to be ended, and Break called.
func (b *Body) Forward() error {
	s := b.store
	for {
		s.mu.Lock()
		for b.wait >= s.cfg.Window && !b.gone {
			b.moved.Wait()
		}
		if b.gone || b.whole {
			s.mu.Unlock()
			return nil
		}
		size := b.pieceSize()
		s.put(b, size)
		s.mu.Unlock()
		more, err := true, error(nil)
		if size == 0 {
			b.end()
			more = false
		} else {
			more, err = b.take(size)
		}
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

// Break says that no more comes: a reading ends with ErrBroken where it is. It is for
// after the call's end, so that this end is not taken for the attempt's.
func (b *Body) Break() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.err = ErrBroken
	b.moved.Broadcast()
}

// Drop ends the body. Readings that go on may end.
func (b *Body) Drop() {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.gone {
		return
	}
	b.gone = true
	s.keeper.Drop(b.kept)
	b.settle()
	b.moved.Broadcast()
}

// settle lets the file go once nobody needs it. It is called with the lock held.
func (b *Body) settle() {
	if b.gone && b.reading == 0 && b.file != nil {
		b.file.Close()
		b.file = nil
	}
}

// Retried says that a further attempt is made with the Pieces.
func (b *Body) Retried() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.keeper.CountRetry(b.kept)
}

// Ended says that its call ended without an answer: refused, or failed.
func (b *Body) Ended(refused bool) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.keeper.RecordEnd(b.kept, refused)
}

// Open implements message.Source.
func (b *Body) Open() (message.Reading, error) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case b.gone:
		return nil, errClosed
	case b.coming && b.opened > 0:
		return nil, ErrOnce
	}
	s.keeper.BeginRead(b.kept, b.opened > 0)
	b.opened++
	b.reading++
	return &reading{b: b, segs: b.segs, file: b.file, live: b.coming}, nil
}

// reading is one attempt's. Next and Close may be called from two goroutines.
type reading struct {
	b    *Body
	segs []segment // those at its beginning: a move changes nothing for it
	file *spool.File
	live bool // of a body that is not kept

	n      int   // the next segment
	at     int64 // in the file
	buf    []byte
	closed bool // guarded by the store's lock
	passed segment
}

// Next implements message.Reading.
func (r *reading) Next() ([]byte, error) {
	seg, err := r.next()
	if err != nil {
		return nil, err
	}
	if !seg.filed {
		return seg.mem, nil
	}
	if r.buf == nil {
		r.buf = make([]byte, pieceMost)
	}
	began := time.Now()
	p, err := r.file.ReadAt(r.buf, seg.piece, r.at)
	s := r.b.store
	s.mu.Lock()
	s.called(err, time.Since(began), false)
	s.mu.Unlock()
	if err != nil || len(p) != seg.n {
		s.cfg.Log.Warn("kept body can't be read", "class", s.cfg.Classes[r.b.class], "piece", seg.piece, "err", err)
		return nil, ErrLost
	}
	r.at = r.file.Next(seg.piece, r.at)
	return p, nil
}

func (r *reading) next() (segment, error) {
	b, s := r.b, r.b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.live {
		if r.closed {
			return segment{}, errClosed
		}
		if r.n == len(r.segs) {
			return segment{}, io.EOF
		}
		r.n++
		return r.segs[r.n-1], nil
	}
	r.pass()
	for {
		switch {
		case r.closed || b.gone:
			return segment{}, errClosed
		case r.n < len(b.segs):
			seg := b.segs[r.n]
			b.segs[r.n] = segment{}
			r.passed = seg
			r.n++
			if r.n > 64 { // those that have passed are let go
				b.segs, r.n = append([]segment(nil), b.segs[r.n:]...), 0
			}
			r.file = b.file
			return seg, nil
		case b.whole:
			return segment{}, io.EOF
		case b.err != nil:
			return segment{}, b.err
		}
		b.moved.Wait()
	}
}

// pass gives back the segment that Next returned before. It is called with the lock
// held.
func (r *reading) pass() {
	seg := r.passed
	r.passed = segment{}
	switch {
	case seg.n == 0:
	case seg.filed:
		r.b.store.keeper.RecordForwarded(r.b.kept, 0, int64(seg.n))
	case seg.booked:
		r.b.store.keeper.RecordForwarded(r.b.kept, int64(seg.n), 0)
	default:
		r.b.wait -= int64(seg.n)
		r.b.moved.Broadcast()
	}
}

// Close implements message.Reading.
func (r *reading) Close() {
	s := r.b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	r.pass()
	r.b.reading--
	s.keeper.EndRead(r.b.kept)
	r.b.settle()
	r.b.moved.Broadcast()
}
