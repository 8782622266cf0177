package spool

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"
)

// File is one body's file. One goroutine appends; any number read what has been
// appended. It holds 4 bytes a piece.
type File struct {
	spool  *Spool
	class  int
	number uint64

	mu     sync.Mutex
	h      Handle // nil: not made yet
	sizes  []uint32
	end    int64
	calls  int  // under way
	closed bool // no more calls; the handle goes with the last one
	broken bool // a call has left it in a state that is not known: no more is appended
	pack   packing
}

type packing uint8

const (
	unsure packing = iota
	packed
	loose
)

// sampleLeast is what a sample must have to tell anything.
const sampleLeast = 512

// worth is the part of its length that a sample must shrink to for compression.
const worth = 0.85

// File returns a new file of a class. Nothing is done before the first Append.
func (s *Spool) File(class int) *File {
	return &File{spool: s, class: class, number: s.files.Add(1)}
}

// Pieces is how many there are.
func (f *File) Pieces() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sizes)
}

// nonce is that of a piece: each pair of file and piece is sealed once under the key.
func (f *File) nonce(piece int) []byte {
	n := make([]byte, 12)
	binary.BigEndian.PutUint64(n, f.number)
	binary.BigEndian.PutUint32(n[8:], uint32(piece))
	return n
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, PieceMost+2*sealMost); return &b }}

// seal returns what lies in the file of a piece: a byte that says whether it is
// compressed, and the text with its tag. The byte is sealed with it.
func (f *File) seal(buf, p []byte, piece int) []byte {
	s := f.spool
	text, flag := p, byte(0)
	if s.enc != nil && f.pack != loose {
		small := s.enc.EncodeAll(p, make([]byte, 0, len(p)+64))
		// The first piece that is long enough is the sample of its body.
		if f.pack == unsure && len(p) >= sampleLeast {
			f.pack = loose
			if float64(len(small)) <= worth*float64(len(p)) {
				f.pack = packed
			}
		}
		if f.pack == packed && len(small) < len(p) {
			text, flag = small, 1
		}
	}
	buf = append(buf[:0], flag)
	if s.aead == nil {
		return append(buf, text...)
	}
	return s.aead.Seal(buf, f.nonce(piece), text, []byte{flag})
}

// Append writes a piece of PieceMost bytes at most behind the others. It keeps nothing
// of p. After an error the pieces before are still good, and no more may be appended.
func (f *File) Append(p []byte) error {
	f.mu.Lock()
	if f.closed || f.broken {
		f.mu.Unlock()
		return ErrClosed
	}
	piece, at := len(f.sizes), f.end
	f.calls++
	f.mu.Unlock()
	buf := buffers.Get().(*[]byte)
	sealed := f.seal(*buf, p, piece)
	err := f.spool.call(f.class, func() error {
		err := f.write(sealed, at)
		f.mu.Lock()
		if err == nil {
			f.sizes, f.end = append(f.sizes, uint32(len(sealed))), at+int64(len(sealed))
		}
		f.mu.Unlock()
		f.leave()
		return err
	})
	switch err {
	case ErrBusy, ErrClosed:
		f.leave()
	case ErrLate: // the worker still has the buffer
		f.mu.Lock()
		f.broken = true
		f.mu.Unlock()
		return err
	}
	*buf = sealed[:0]
	buffers.Put(buf)
	return err
}

func (f *File) write(sealed []byte, at int64) error {
	f.mu.Lock()
	h, broken := f.h, f.broken || f.closed
	f.mu.Unlock()
	if broken { // given up while it waited
		return ErrClosed
	}
	if h == nil {
		var err error
		if h, err = f.spool.cfg.FS.Create(f.spool.folder); err != nil {
			return fmt.Errorf("spool: %w", err)
		}
		f.spool.open.Add(1)
		f.mu.Lock()
		f.h = h
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

// ReadAt reads a piece that begins at an offset into p, which has PieceMost bytes. It
// returns the text, and the offset of the next piece with it by Next.
func (f *File) ReadAt(p []byte, piece int, at int64) ([]byte, error) {
	f.mu.Lock()
	if f.closed || piece >= len(f.sizes) {
		f.mu.Unlock()
		return nil, ErrClosed
	}
	size, h := int(f.sizes[piece]), f.h
	f.calls++
	f.mu.Unlock()
	buf := buffers.Get().(*[]byte)
	sealed := (*buf)[:size]
	err := f.spool.call(f.class, func() error {
		defer f.leave()
		n, err := h.ReadAt(sealed, at)
		if n == size {
			return nil
		}
		if err == nil || err == io.EOF {
			return ErrSpoilt // cut
		}
		return fmt.Errorf("spool: %w", err)
	})
	switch err {
	case nil:
	case ErrLate: // the worker still has the buffer
		return nil, err
	case ErrBusy, ErrClosed:
		f.leave()
		return nil, err
	default:
		return nil, err
	}
	defer buffers.Put(buf)
	return f.unseal(p, sealed, piece)
}

// Next is the offset of the piece behind one.
func (f *File) Next(piece int, at int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at + int64(f.sizes[piece])
}

func (f *File) unseal(p, sealed []byte, piece int) ([]byte, error) {
	s := f.spool
	if len(sealed) == 0 {
		return nil, ErrSpoilt
	}
	flag, text := sealed[0], sealed[1:]
	if s.aead != nil {
		var err error
		if text, err = s.aead.Open(text[:0], f.nonce(piece), text, sealed[:1]); err != nil {
			return nil, ErrSpoilt
		}
	}
	if flag == 0 {
		return p[:copy(p, text)], nil
	}
	if s.dec == nil {
		return nil, ErrSpoilt
	}
	out, err := s.dec.DecodeAll(text, p[:0])
	if err != nil || len(out) > PieceMost {
		return nil, ErrSpoilt
	}
	return out, nil
}

// leave ends a call. The handle goes with the last one of a closed file.
func (f *File) leave() {
	f.mu.Lock()
	f.calls--
	h := f.h
	last := f.closed && f.calls == 0 && h != nil
	if last {
		f.h = nil
	}
	f.mu.Unlock()
	if last {
		h.Close()
		f.spool.open.Add(-1)
	}
}

// Close lets the file go, once. Its descriptor goes with the last call under way, in a
// worker: closing may hang like any other call.
func (f *File) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	f.calls++
	made := f.h != nil || f.calls > 1
	f.mu.Unlock()
	if !made {
		return
	}
	f.spool.later(f.class, func() error { f.leave(); return nil })
}
