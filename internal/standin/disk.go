package standin

import (
	"io"
	"sync"
	"syscall"
)

// DiskFile is an open file of a Disk.
type DiskFile = interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// Disk is a file system in memory that fails on command.
type Disk struct {
	mu     sync.Mutex
	room   int64 // bytes that may still be written; -1: any number
	create error
	read   error
	short  bool
	spoil  func(at int64, p []byte)
	hung   chan struct{} // nil: it answers
	open   int
	made   int
	hangs  int // calls that wait
}

// NewDisk returns a disk that does all it is asked.
func NewDisk() *Disk { return &Disk{room: -1} }

// Room bounds what can still be written; more ends in ENOSPC. -1: no bound.
func (d *Disk) Room(bytes int64) { d.set(func() { d.room = bytes }) }

// NoFiles has it make no files: with err, nil ends it.
func (d *Disk) NoFiles(err error) { d.set(func() { d.create = err }) }

// NoReads has reads fail with err, nil ends it.
func (d *Disk) NoReads(err error) { d.set(func() { d.read = err }) }

// ShortWrites has it write half of what it is told, and say so.
func (d *Disk) ShortWrites(on bool) { d.set(func() { d.short = on }) }

// Spoil alters what is read; nil ends it.
func (d *Disk) Spoil(how func(at int64, p []byte)) { d.set(func() { d.spoil = how }) }

// Hang has all calls wait until Resume.
func (d *Disk) Hang() {
	d.set(func() {
		if d.hung == nil {
			d.hung = make(chan struct{})
		}
	})
}

// Resume ends Hang.
func (d *Disk) Resume() {
	d.set(func() {
		if d.hung != nil {
			close(d.hung)
			d.hung = nil
		}
	})
}

func (d *Disk) set(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
}

// Open is how many files are open, Made how many ever were, Hanging how many calls wait.
func (d *Disk) Open() (n int) { d.set(func() { n = d.open }); return n }

// Made is how many files there ever were.
func (d *Disk) Made() (n int) { d.set(func() { n = d.made }); return n }

// Hanging is how many calls wait for Resume.
func (d *Disk) Hanging() (n int) { d.set(func() { n = d.hangs }); return n }

// wait holds a call while the disk hangs, and leaves the lock held.
func (d *Disk) wait() {
	d.mu.Lock()
	for d.hung != nil {
		hung := d.hung
		d.hangs++
		d.mu.Unlock()
		<-hung
		d.mu.Lock()
		d.hangs--
	}
}

// Create makes a file.
func (d *Disk) Create(string) (DiskFile, error) {
	d.wait()
	defer d.mu.Unlock()
	if d.create != nil {
		return nil, d.create
	}
	d.open++
	d.made++
	return &diskFile{d: d}, nil
}

type diskFile struct {
	d    *Disk
	data []byte
	shut bool
}

// WriteAt implements io.WriterAt.
func (f *diskFile) WriteAt(p []byte, at int64) (n int, err error) {
	f.d.wait()
	defer f.d.mu.Unlock()
	switch {
	case f.shut:
		return 0, syscall.EBADF
	case f.d.room >= 0 && int64(len(p)) > f.d.room:
		p, err = p[:f.d.room], syscall.ENOSPC
	case f.d.short:
		p = p[:len(p)/2]
	}
	if f.d.room >= 0 {
		f.d.room -= int64(len(p))
	}
	if need := at + int64(len(p)); need > int64(len(f.data)) {
		f.data = append(f.data, make([]byte, need-int64(len(f.data)))...)
	}
	return copy(f.data[at:], p), err
}

// ReadAt implements io.ReaderAt.
func (f *diskFile) ReadAt(p []byte, at int64) (n int, err error) {
	f.d.wait()
	defer f.d.mu.Unlock()
	switch {
	case f.shut:
		return 0, syscall.EBADF
	case f.d.read != nil:
		return 0, f.d.read
	case at >= int64(len(f.data)):
		return 0, io.EOF
	}
	if n = copy(p, f.data[at:]); n < len(p) {
		err = io.EOF
	}
	if f.d.spoil != nil {
		f.d.spoil(at, p[:n])
	}
	return n, err
}

// Close implements io.Closer.
func (f *diskFile) Close() error {
	f.d.wait()
	defer f.d.mu.Unlock()
	if f.shut {
		return syscall.EBADF
	}
	f.shut = true
	f.d.open--
	return nil
}
