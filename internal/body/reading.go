package body

import (
	"io"
	"time"

	"chalkrack/internal/message"
	"chalkrack/internal/spool"
)

// Open implements message.BodySource.
func (b *Body) Open() (message.BodyReader, error) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case b.isDropped:
		return nil, errReadingClosed
	case b.isStreamed && b.openCount > 0:
		return nil, ErrOnce
	}
	s.keeper.BeginRead(b.record, b.openCount > 0)
	b.openCount++
	b.openReadings++
	return &reading{body: b, segments: b.segments, file: b.file, isStreamed: b.isStreamed}, nil
}

// reading is the message.BodyReader of one attempt. Next and Close may be called from different
// goroutines.
type reading struct {
	body       *Body
	segments   []segment // as of Open; not affected by a later move to a file
	file       *spool.File
	isStreamed bool // whether the body is not kept

	nextSegment int   // index of the next segment
	offset      int64 // offset in the file
	buf         []byte
	isClosed    bool    // guarded by the store's lock
	lastSegment segment // the last segment returned, of a body that is not kept
}

// Next implements message.BodyReader.
func (r *reading) Next() ([]byte, error) {
	seg, err := r.next()
	if err != nil {
		return nil, err
	}
	if !seg.inFile {
		return seg.data, nil
	}
	if r.buf == nil {
		r.buf = make([]byte, maxPieceBytes)
	}
	began := time.Now()
	p, err := r.file.ReadAt(r.buf, seg.piece, r.offset)
	s := r.body.store
	s.mu.Lock()
	s.recordFileCall(err, time.Since(began), false)
	s.mu.Unlock()
	if err != nil || len(p) != seg.size {
		s.cfg.Log.Warn("kept body cannot be read", "class", s.className(r.body.class), "piece", seg.piece, "err", err)
		return nil, ErrLost
	}
	r.offset = r.file.Next(seg.piece, r.offset)
	return p, nil
}

// next returns the next segment. Of a body that is not kept, it blocks until one is received.
func (r *reading) next() (segment, error) {
	b, s := r.body, r.body.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.isStreamed {
		if r.isClosed {
			return segment{}, errReadingClosed
		}
		if r.nextSegment == len(r.segments) {
			return segment{}, io.EOF
		}
		r.nextSegment++
		return r.segments[r.nextSegment-1], nil
	}
	r.releaseLast()
	for {
		switch {
		case r.isClosed || b.isDropped:
			return segment{}, errReadingClosed
		case r.nextSegment < len(b.segments):
			seg := b.segments[r.nextSegment]
			b.segments[r.nextSegment] = segment{}
			r.lastSegment = seg
			r.nextSegment++
			if r.nextSegment > 64 { // release the consumed segments
				b.segments, r.nextSegment = append([]segment(nil), b.segments[r.nextSegment:]...), 0
			}
			r.file = b.file
			return seg, nil
		case b.isComplete:
			return segment{}, io.EOF
		case b.err != nil:
			return segment{}, b.err
		}
		b.changed.Wait()
	}
}

// releaseLast releases the segment that Next returned last. The lock must be held.
func (r *reading) releaseLast() {
	seg := r.lastSegment
	r.lastSegment = segment{}
	switch {
	case seg.size == 0:
	case seg.inFile:
		r.body.store.keeper.RecordForwarded(r.body.record, 0, int64(seg.size))
	case seg.isBooked:
		r.body.store.keeper.RecordForwarded(r.body.record, int64(seg.size), 0)
	default:
		r.body.unsentBytes -= int64(seg.size)
		r.body.changed.Broadcast()
	}
}

// Close implements message.BodyReader.
func (r *reading) Close() {
	s := r.body.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.isClosed {
		return
	}
	r.isClosed = true
	r.releaseLast()
	r.body.openReadings--
	s.keeper.EndRead(r.body.record)
	r.body.closeUnusedFile()
	r.body.changed.Broadcast()
}
