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

// Disk is a file system in memory that fails on command. Its methods may be called from any
// goroutine.
type Disk struct {
	mu           sync.Mutex
	freeBytes    int64 // -1 for no limit
	createErr    error
	readErr      error
	shortWrites  bool
	corrupt      func(at int64, p []byte)
	resumed      chan struct{} // closed by Resume; nil while the disk doesn't hang
	openFiles    int
	createdFiles int // since the disk was created
	blockedCalls int // waiting for Resume
}

// NewDisk returns a Disk without faults.
func NewDisk() *Disk { return &Disk{freeBytes: -1} }

// SetFreeBytes sets how many more bytes can be written before writes fail with ENOSPC; -1 sets no
// limit.
func (d *Disk) SetFreeBytes(bytes int64) { d.withLock(func() { d.freeBytes = bytes }) }

// FailCreates makes Create fail with err; nil ends the fault.
func (d *Disk) FailCreates(err error) { d.withLock(func() { d.createErr = err }) }

// FailReads makes reads fail with err; nil ends the fault.
func (d *Disk) FailReads(err error) { d.withLock(func() { d.readErr = err }) }

// SetShortWrites makes each write store and report half of its bytes, without an error.
func (d *Disk) SetShortWrites(on bool) { d.withLock(func() { d.shortWrites = on }) }

// Corrupt sets a function that alters the bytes of each read, which gets their offset in the file;
// nil ends the fault.
func (d *Disk) Corrupt(alter func(at int64, p []byte)) { d.withLock(func() { d.corrupt = alter }) }

// Hang makes all file calls block until Resume.
func (d *Disk) Hang() {
	d.withLock(func() {
		if d.resumed == nil {
			d.resumed = make(chan struct{})
		}
	})
}

// Resume lets blocked calls go on.
func (d *Disk) Resume() {
	d.withLock(func() {
		if d.resumed != nil {
			close(d.resumed)
			d.resumed = nil
		}
	})
}

// withLock calls access with the lock held.
func (d *Disk) withLock(access func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	access()
}

// OpenFiles returns how many files are open.
func (d *Disk) OpenFiles() (n int) { d.withLock(func() { n = d.openFiles }); return n }

// CreatedFiles returns how many files were ever created.
func (d *Disk) CreatedFiles() (n int) { d.withLock(func() { n = d.createdFiles }); return n }

// BlockedCalls returns how many calls wait for Resume.
func (d *Disk) BlockedCalls() (n int) { d.withLock(func() { n = d.blockedCalls }); return n }

// lockWhenResumed blocks while the disk hangs and returns with the lock held.
func (d *Disk) lockWhenResumed() {
	d.mu.Lock()
	for d.resumed != nil {
		resumed := d.resumed
		d.blockedCalls++
		d.mu.Unlock()
		<-resumed
		d.mu.Lock()
		d.blockedCalls--
	}
}

// Create creates a file; its name is ignored.
func (d *Disk) Create(string) (DiskFile, error) {
	d.lockWhenResumed()
	defer d.mu.Unlock()
	if d.createErr != nil {
		return nil, d.createErr
	}
	d.openFiles++
	d.createdFiles++
	return &diskFile{disk: d}, nil
}

type diskFile struct {
	disk   *Disk
	data   []byte
	closed bool
}

// WriteAt implements io.WriterAt, with the faults that are set.
func (f *diskFile) WriteAt(p []byte, offset int64) (n int, err error) {
	f.disk.lockWhenResumed()
	defer f.disk.mu.Unlock()
	switch {
	case f.closed:
		return 0, syscall.EBADF
	case f.disk.freeBytes >= 0 && int64(len(p)) > f.disk.freeBytes:
		p, err = p[:f.disk.freeBytes], syscall.ENOSPC
	case f.disk.shortWrites:
		p = p[:len(p)/2]
	}
	if f.disk.freeBytes >= 0 {
		f.disk.freeBytes -= int64(len(p))
	}
	if newSize := offset + int64(len(p)); newSize > int64(len(f.data)) {
		f.data = append(f.data, make([]byte, newSize-int64(len(f.data)))...)
	}
	return copy(f.data[offset:], p), err
}

// ReadAt implements io.ReaderAt, with the faults that are set.
func (f *diskFile) ReadAt(p []byte, offset int64) (n int, err error) {
	f.disk.lockWhenResumed()
	defer f.disk.mu.Unlock()
	switch {
	case f.closed:
		return 0, syscall.EBADF
	case f.disk.readErr != nil:
		return 0, f.disk.readErr
	case offset >= int64(len(f.data)):
		return 0, io.EOF
	}
	if n = copy(p, f.data[offset:]); n < len(p) {
		err = io.EOF
	}
	if f.disk.corrupt != nil {
		f.disk.corrupt(offset, p[:n])
	}
	return n, err
}

// Close implements io.Closer.
func (f *diskFile) Close() error {
	f.disk.lockWhenResumed()
	defer f.disk.mu.Unlock()
	if f.closed {
		return syscall.EBADF
	}
	f.closed = true
	f.disk.openFiles--
	return nil
}
