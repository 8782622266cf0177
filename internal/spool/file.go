package spool

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"
)

// File is the file of one body. One goroutine may append while any number of others read what
// has been appended. It uses 4 bytes of memory per piece.
type File struct {
	spool  *Spool
	class  int
	number uint64

	mu          sync.Mutex
	handle      Handle // nil: not created yet
	sizes       []uint32
	endOffset   int64
	activeCalls int  // in progress
	isClosed    bool // no more calls are accepted; the last one closes the handle
	isBroken    bool // a timed-out call left the file in an unknown state: no more is appended
	packing     compression
}

// compression is whether the pieces of a file are compressed.
type compression uint8

const (
	undecided    compression = iota // no piece has been long enough to decide
	compressed                      // each piece that gets shorter is compressed
	uncompressed                    // no piece is compressed
)

// minSampleBytes is the minimum length of a piece, in bytes, to decide about compression.
const minSampleBytes = 512

// maxCompressedRatio is the maximum ratio of compressed to original size at which a body is
// compressed.
const maxCompressedRatio = 0.85

// File returns a new File for a body of a class. It is created on disk by the first Append.
func (s *Spool) File(class int) *File {
	return &File{spool: s, class: class, number: s.fileCount.Add(1)}
}

// Pieces returns the number of pieces.
func (f *File) Pieces() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sizes)
}

// nonce returns the nonce of a piece. It is unique under the key, since each piece of a file is
// sealed once.
func (f *File) nonce(piece int) []byte {
	n := make([]byte, 12)
	binary.BigEndian.PutUint64(n, f.number)
	binary.BigEndian.PutUint32(n[8:], uint32(piece))
	return n
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, MaxPieceBytes+2*sealOverhead); return &b }}

// seal returns the stored form of a piece: a flag byte, 1 if the text is compressed, then the
// encrypted text with its tag. The flag is authenticated with the text.
func (f *File) seal(buf, p []byte, piece int) []byte {
	s := f.spool
	text, flag := p, byte(0)
	if s.encoder != nil && f.packing != uncompressed {
		small := s.encoder.EncodeAll(p, make([]byte, 0, len(p)+64))
		// The first piece that is long enough decides for the whole body.
		if f.packing == undecided && len(p) >= minSampleBytes {
			f.packing = uncompressed
			if float64(len(small)) <= maxCompressedRatio*float64(len(p)) {
				f.packing = compressed
			}
		}
		if f.packing == compressed && len(small) < len(p) {
			text, flag = small, 1
		}
	}
	buf = append(buf[:0], flag)
	if s.aead == nil {
		return append(buf, text...)
	}
	return s.aead.Seal(buf, f.nonce(piece), text, []byte{flag})
}

// Append writes a piece of at most 64 KiB after the others, and does not retain p. It
// blocks for at most Config.Wait. After an error, earlier pieces can still be read, and no more
// may be appended.
func (f *File) Append(p []byte) error {
	f.mu.Lock()
	if f.isClosed || f.isBroken {
		f.mu.Unlock()
		return ErrClosed
	}
	piece, at := len(f.sizes), f.endOffset
	f.activeCalls++
	f.mu.Unlock()
	buf := buffers.Get().(*[]byte)
	sealed := f.seal(*buf, p, piece)
	err := f.spool.call(f.class, func() error {
		err := f.write(sealed, at)
		f.mu.Lock()
		if err == nil {
			f.sizes, f.endOffset = append(f.sizes, uint32(len(sealed))), at+int64(len(sealed))
		}
		f.mu.Unlock()
		f.endCall()
		return err
	})
	switch err {
	case ErrBusy, ErrClosed:
		f.endCall()
	case ErrTimeout: // the worker may still use the buffer
		f.mu.Lock()
		f.isBroken = true
		f.mu.Unlock()
		return err
	}
	*buf = sealed[:0]
	buffers.Put(buf)
	return err
}

// write writes a sealed piece, and creates the file on the first call. It runs in a worker.
func (f *File) write(sealed []byte, at int64) error {
	f.mu.Lock()
	h, broken := f.handle, f.isBroken || f.isClosed
	f.mu.Unlock()
	if broken { // the caller timed out while the call was queued
		return ErrClosed
	}
	if h == nil {
		var err error
		if h, err = f.spool.cfg.FS.Create(f.spool.folder); err != nil {
			return fmt.Errorf("spool: %w", err)
		}
		f.spool.openFiles.Add(1)
		f.mu.Lock()
		f.handle = h
		f.mu.Unlock()
	}
	n, err := h.WriteAt(sealed, at)
	if err == nil && n < len(sealed) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return nil
}

// ReadAt reads the piece that starts at offset at into p, which must have room for the longest
// piece, and returns its text. Next returns the offset of the following piece. It blocks for at
// most Config.Wait, and returns ErrAltered if the piece is not what was written.
func (f *File) ReadAt(p []byte, piece int, at int64) ([]byte, error) {
	f.mu.Lock()
	if f.isClosed || piece >= len(f.sizes) {
		f.mu.Unlock()
		return nil, ErrClosed
	}
	size, h := int(f.sizes[piece]), f.handle
	f.activeCalls++
	f.mu.Unlock()
	buf := buffers.Get().(*[]byte)
	sealed := (*buf)[:size]
	err := f.spool.call(f.class, func() error {
		defer f.endCall()
		n, err := h.ReadAt(sealed, at)
		if n == size {
			return nil
		}
		if err == nil || err == io.EOF {
			return ErrAltered // truncated
		}
		return fmt.Errorf("spool: %w", err)
	})
	switch err {
	case nil:
	case ErrTimeout: // the worker may still use the buffer
		return nil, err
	case ErrBusy, ErrClosed:
		f.endCall()
		return nil, err
	default:
		return nil, err
	}
	defer buffers.Put(buf)
	return f.unseal(p, sealed, piece)
}

// Next returns the offset of the piece after the given one, which starts at offset at.
func (f *File) Next(piece int, at int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at + int64(f.sizes[piece])
}

// unseal verifies, decrypts and decompresses a piece into p.
func (f *File) unseal(p, sealed []byte, piece int) ([]byte, error) {
	s := f.spool
	if len(sealed) == 0 {
		return nil, ErrAltered
	}
	flag, text := sealed[0], sealed[1:]
	if s.aead != nil {
		var err error
		if text, err = s.aead.Open(text[:0], f.nonce(piece), text, sealed[:1]); err != nil {
			return nil, ErrAltered
		}
	}
	if flag == 0 {
		return p[:copy(p, text)], nil
	}
	if s.decoder == nil {
		return nil, ErrAltered
	}
	out, err := s.decoder.DecodeAll(text, p[:0])
	if err != nil || len(out) > MaxPieceBytes {
		return nil, ErrAltered
	}
	return out, nil
}

// endCall ends a call. The last call of a closed file closes the handle.
func (f *File) endCall() {
	f.mu.Lock()
	f.activeCalls--
	h := f.handle
	last := f.isClosed && f.activeCalls == 0 && h != nil
	if last {
		f.handle = nil
	}
	f.mu.Unlock()
	if last {
		h.Close()
		f.spool.openFiles.Add(-1)
	}
}

// Close closes the file; further calls do nothing. The descriptor is closed after the last call
// in progress, by a worker, since closing may hang like any other file call.
func (f *File) Close() {
	f.mu.Lock()
	if f.isClosed {
		f.mu.Unlock()
		return
	}
	f.isClosed = true
	f.activeCalls++
	made := f.handle != nil || f.activeCalls > 1
	f.mu.Unlock()
	if !made {
		return
	}
	f.spool.callAsync(f.class, func() error { f.endCall(); return nil })
}
