package body

import (
	"io"
	"sync"

	"chalkrack/internal/bodypolicy"
	"chalkrack/internal/message"
	"chalkrack/internal/spool"
)

// Body is the body of one call. It implements message.BodySource: any number of attempts read it,
// concurrently or one after another, each from the beginning. A body that is not kept can be
// read only once.
type Body struct {
	store         *Store
	incoming      Incoming
	class         int
	length        int64 // announced length; -1: none
	record        *bodypolicy.Body
	buf           []byte // for pieces that go to the file; used only by the receiving goroutine
	lastPieceSize int    // size of the previous piece

	// Guarded by the store's lock.
	segments     []segment // of a complete kept body, replaced as a whole and never modified
	file         *spool.File
	isComplete   bool
	isStreamed   bool // not kept: streamed to one server
	err          error
	isDropped    bool
	openCount    int       // readings so far, including closed ones
	openReadings int       // open readings
	unsentBytes  int64     // of a body that is not kept: bytes received and not yet sent to the server
	changed      sync.Cond // signaled when one of the fields above changes
}

// segment is a part of a body, in memory or in a piece of its file.
type segment struct {
	data     []byte
	piece    int
	size     int
	inFile   bool
	isBooked bool // of a segment in memory: whether the Keeper has booked it
}

var _ message.BodySource = (*Body)(nil)

// IsStreamed reports whether the body is not kept but streamed to one server.
func (b *Body) IsStreamed() bool {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.isStreamed
}

// IsComplete reports whether the body has been received completely.
func (b *Body) IsComplete() bool {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.isComplete
}

// Place returns where the body is kept.
func (b *Body) Place() bodypolicy.Place {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.record.Place()
}

// Length implements message.BodySource. It returns the announced length, or the received length of
// a complete body, or -1 if neither is known.
func (b *Body) Length() int64 {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.isComplete {
		return b.record.Size()
	}
	return b.length
}

// Pieces returns the content of a complete body that is never moved to a file, so that
// attempts can use it without Open. It returns nil for other bodies.
func (b *Body) Pieces() [][]byte {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if !b.isComplete || b.isStreamed || b.record.Place() != bodypolicy.Memory || b.record.Size() >= b.store.cfg.Limits.MoveLeast {
		return nil
	}
	all := make([][]byte, len(b.segments))
	for n, seg := range b.segments {
		all[n] = seg.data
	}
	return all
}

// register makes the body known to the Keeper.
func (b *Body) register() {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	in := &b.incoming
	b.record = s.keeper.Begin(in.Class, in.Tenant, in.Length, in.KeptElsewhere, s.canCreateFile())
	b.record.Owner = b
}

// book books size more bytes and returns where they go.
func (b *Body) book(size int64) bodypolicy.Place {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.store.book(b, size)
}

// receivePiece reads the next piece, or determines that the body is not kept.
func (b *Body) receivePiece() error {
	size := b.pieceSize()
	if size == 0 {
		b.markComplete()
		return nil
	}
	switch b.book(size) {
	case bodypolicy.Refused:
		return ErrNoRoom
	case bodypolicy.NotKept:
		b.startStreaming()
		if len(b.segments) == 0 {
			_, err := b.receiveStreamed(size)
			return err
		}
		b.releaseUnreceived(size) // the call can start with what has been received
		return nil
	case bodypolicy.Memory:
		p := make([]byte, size)
		n, err := b.readFull(p)
		b.releaseUnreceived(size - int64(n))
		if int64(n) < size/2 { // do not hold a mostly unused buffer
			p = append(make([]byte, 0, n), p[:n]...)
		}
		if n > 0 {
			b.segments = append(b.segments, segment{data: p[:n:n], size: n, isBooked: true})
		}
		return b.handleReadError(err)
	}
	if b.file == nil && !b.spillToFile() {
		if err := b.moveElsewhere(size); err != nil {
			return err
		}
		if b.isStreamed {
			b.releaseUnreceived(size)
			return nil
		}
	}
	if b.buf == nil {
		b.buf = make([]byte, maxPieceBytes)
	}
	n, err := b.readFull(b.buf[:size])
	b.releaseUnreceived(size - int64(n))
	if n > 0 {
		if err := b.appendPiece(b.buf[:n]); err != nil {
			return err
		}
	}
	return b.handleReadError(err)
}

// moveElsewhere requests another place for n bytes whose file cannot be written. The body may
// become one that is not kept.
func (b *Body) moveElsewhere(n int64) error {
	switch b.recordFileFailure(n) {
	case bodypolicy.Refused:
		return ErrNoRoom
	case bodypolicy.NotKept:
		b.startStreaming()
	}
	return nil
}

// recordFileFailure records that n booked bytes cannot be written to the file, and returns where they
// go instead.
func (b *Body) recordFileFailure(n int64) bodypolicy.Place {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.store.keeper.RecordFileFailure(b.record, n, false)
}

// releaseUnreceived releases n booked bytes that were not received.
func (b *Body) releaseUnreceived(n int64) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.keeper.ReleaseUnreceived(b.record, n)
}

// pieceSize returns the size of the next piece, or 0 if the announced length has been
// received.
func (b *Body) pieceSize() int64 {
	size := int64(maxPieceBytes)
	if b.lastPieceSize == 0 {
		size = firstPieceBytes
	}
	if b.length >= 0 {
		size = min(maxPieceBytes, b.length-b.record.Size())
	}
	b.lastPieceSize = int(size)
	return size
}

// readFull fills p, or stops at io.EOF or another error.
func (b *Body) readFull(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = b.incoming.Body.Read(p[n:])
		n += k
	}
	return n, err
}

// handleReadError handles the error of a read: io.EOF completes the body, unless it is shorter
// than announced.
func (b *Body) handleReadError(err error) error {
	switch {
	case err == io.EOF && b.length >= 0 && b.record.Size() < b.length:
		return io.ErrUnexpectedEOF
	case err == io.EOF, err == nil && b.length >= 0 && b.record.Size() == b.length:
		b.markComplete()
		return nil
	}
	return err
}

// markComplete marks the body as complete.
func (b *Body) markComplete() {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	b.isComplete, b.buf = true, nil
	s.keeper.Complete(b.record)
	b.changed.Broadcast()
	if s.keeper.IsTight() {
		s.wakeBackground()
	}
}

// startStreaming turns the body into one that is not kept.
func (b *Body) startStreaming() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.isStreamed = true
	b.changed.Broadcast()
}

// spillToFile creates the file and moves the segments in memory to it; later pieces go there
// too. Segments that cannot be written stay in memory, and spillToFile returns false.
func (b *Body) spillToFile() (ok bool) {
	s := b.store
	b.file = s.cfg.Spool.File(b.class)
	old := b.segments
	var segs []segment
	for n, seg := range old {
		filed, err := s.write(b.file, segs, seg.data)
		s.mu.Lock()
		if err != nil {
			left := int64(0)
			for _, seg := range old[n:] {
				left += int64(seg.size)
			}
			s.keeper.RecordFileFailure(b.record, left, true)
			b.segments = append(segs, old[n:]...)
			s.mu.Unlock()
			return false
		}
		s.keeper.RecordWritten(b.record, int64(seg.size))
		s.mu.Unlock()
		segs = filed
	}
	b.segments = segs
	return true
}

// appendPiece stores a received piece in the body's place. If the file cannot be written, the
// piece goes to another place, so that it is not lost.
func (b *Body) appendPiece(p []byte) error {
	s := b.store
	if !b.record.FileFailed() {
		segs, err := s.write(b.file, b.segments, p)
		if err == nil {
			b.segments = segs
			return nil
		}
		if err := b.moveElsewhere(int64(len(p))); err != nil {
			return err
		}
		if b.isStreamed {
			b.queueForServer(p)
			return nil
		}
	}
	b.segments = append(b.segments, segment{data: append([]byte(nil), p...), size: len(p), isBooked: true})
	return nil
}

// queueForServer queues a piece of a body that is not kept for its server.
func (b *Body) queueForServer(p []byte) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	b.segments = append(b.segments, segment{data: append([]byte(nil), p...), size: len(p)})
	b.unsentBytes += int64(len(p))
	b.changed.Broadcast()
}

// receiveStreamed reads a piece of a body that is not kept, for which size bytes are booked.
// more is false when the body is complete.
func (b *Body) receiveStreamed(size int64) (more bool, err error) {
	if b.buf == nil {
		b.buf = make([]byte, MaxStreamPieceBytes)
	}
	n, err := io.ReadAtLeast(b.incoming.Body, b.buf[:min(size, int64(len(b.buf)))], 1) // return what is available instead of filling the buffer
	b.releaseUnreceived(size - int64(n))
	if n > 0 {
		b.queueForServer(b.buf[:n])
	}
	if err = b.handleReadError(err); err != nil {
		return false, err
	}
	return !b.IsComplete(), nil
}

// Forward receives the rest of a body that is not kept, no faster than its server reads it. It
// blocks until the body is complete or dropped, and returns nil then. After any other error of
// the read, the caller must end the call and then abort the body.
func (b *Body) Forward() error {
	for {
		size, more := b.bookForwarded()
		if !more {
			return nil
		}
		var err error
		if size == 0 {
			b.markComplete()
			more = false
		} else {
			more, err = b.receiveStreamed(size)
		}
		if err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

// bookForwarded waits until the server has read enough of a body that is not kept, and books its next
// piece. more is false if the body is complete or dropped.
func (b *Body) bookForwarded() (size int64, more bool) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	for b.unsentBytes >= s.cfg.Window && !b.isDropped {
		b.changed.Wait()
	}
	if b.isDropped || b.isComplete {
		return 0, false
	}
	size = b.pieceSize()
	s.book(b, size)
	return size, true
}

// Abort aborts the body: a reading gets ErrBroken after the bytes received so far. It must be
// called after the end of the call, so that the error is not attributed to the attempt.
func (b *Body) Abort() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.err = ErrBroken
	b.changed.Broadcast()
}

// Drop ends the life of the body. Open readings may continue until they are closed.
func (b *Body) Drop() {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.isDropped {
		return
	}
	b.isDropped = true
	s.keeper.Drop(b.record)
	b.closeUnusedFile()
	b.changed.Broadcast()
}

// closeUnusedFile closes the file once no reading needs it. The lock must be held.
func (b *Body) closeUnusedFile() {
	if b.isDropped && b.openReadings == 0 && b.file != nil {
		b.file.Close()
		b.file = nil
	}
}

// RecordRetry records a further attempt that uses the result of Pieces.
func (b *Body) RecordRetry() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.keeper.CountRetry(b.record)
}

// RecordEnd records that the call ended without an answer, refused or failed.
func (b *Body) RecordEnd(refused bool) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.keeper.RecordEnd(b.record, refused)
}
