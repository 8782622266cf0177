package handover

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	here    = "here-"   // a process; it holds the file's lock for as long as it lives
	wants   = "wants-"  // it asks for what others have learnt
	learnt  = "learnt-" // and this is it
	unnamed = "new-"    // what is being written
	done    = "done"    // what operators have done
	doneKey = "done.lock"

	lockMost = 300 * time.Millisecond
	askEach  = 10 * time.Millisecond
	// namesMost bounds what is read of the folder at once.
	namesMost = 256
)

// Folder is one process's hold of the folder. One goroutine uses it at a time.
type Folder struct {
	dir, me string
	lock    *os.File
	seen    os.FileInfo // of done, as it was read or written last
}

// Open enters a folder, which is made if need be. What dead processes left of themselves
// is removed.
func Open(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var id [8]byte
	rand.Read(id[:])
	f := &Folder{dir: dir, me: fmt.Sprintf("%d-%s", os.Getpid(), hex.EncodeToString(id[:]))}
	// Locked before others see it: guards against being taken for dead meanwhile.
	own := f.path(unnamed + f.me)
	lock, err := os.OpenFile(own, os.O_RDWR|os.O_CREATE|os.O_EXCL|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		err = os.Rename(own, f.path(here+f.me))
	}
	if err != nil {
		lock.Close()
		os.Remove(own)
		return nil, fmt.Errorf("handover: %w", err)
	}
	f.lock = lock
	f.tidy()
	return f, nil
}

// leftAfter is when a file that was never renamed was left by a process that was killed.
const leftAfter = time.Minute

// tidy removes such files. Guards against a folder that fills with them, until those who
// live are not seen among the names.
func (f *Folder) tidy() {
	for _, name := range f.names() {
		if !strings.HasPrefix(name, unnamed) {
			continue
		}
		if info, err := os.Lstat(f.path(name)); err == nil && time.Since(info.ModTime()) > leftAfter {
			os.Remove(f.path(name))
		}
	}
}

func (f *Folder) path(name string) string { return filepath.Join(f.dir, name) }

// Close leaves the folder.
func (f *Folder) Close() {
	for _, kind := range []string{here, wants, learnt} {
		os.Remove(f.path(kind + f.me))
	}
	f.lock.Close()
}

func (f *Folder) names() []string {
	d, err := os.Open(f.dir)
	if err != nil {
		return nil
	}
	defer d.Close()
	names, _ := d.Readdirnames(namesMost)
	return names
}

// Around is who else is here: how many other processes live, and which of them ask for
// what this one has learnt.
func (f *Folder) Around() (others int, asking []string) {
	for _, name := range f.names() {
		if id, ok := strings.CutPrefix(name, here); ok && id != f.me && f.lives(id) {
			others++
		}
		if id, ok := strings.CutPrefix(name, wants); ok && id != f.me {
			asking = append(asking, id)
		}
	}
	return others, asking
}

// lives says whether a process holds its lock. One that does not is dead, however it
// ended, and its files go.
func (f *Folder) lives(id string) bool {
	file, err := os.OpenFile(f.path(here+id), os.O_RDWR|syscall.O_NOFOLLOW|syscall.O_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer file.Close()
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Is(err, syscall.EWOULDBLOCK)
	}
	for _, kind := range []string{here, wants, learnt} {
		os.Remove(f.path(kind + id))
	}
	return false
}

// Ask asks the others for what they have learnt, into v, and waits so long for it.
// os.ErrDeadlineExceeded says that nobody answered.
func (f *Folder) Ask(v any, wait time.Duration) error {
	ask, answer := f.path(wants+f.me), f.path(learnt+f.me)
	if err := os.WriteFile(ask, nil, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer os.Remove(answer)
	defer os.Remove(ask)
	for end := time.Now().Add(wait); ; time.Sleep(askEach) {
		data, err := read(answer)
		switch {
		case err == nil:
			return Decode(learnt, data, v)
		case !errors.Is(err, os.ErrNotExist):
			return err
		case time.Now().After(end):
			return fmt.Errorf("handover: %w", os.ErrDeadlineExceeded)
		}
	}
}

// Tell answers one who asks.
func (f *Folder) Tell(who string, v any) error {
	data, err := Encode(learnt, v)
	if err == nil {
		err = f.put(learnt+who, data)
	}
	os.Remove(f.path(wants + who)) // also where nothing can be told
	return err
}

// Done reads what operators have done, into v; false if that is as this process last
// read or wrote it. What can't be used is logged, and nothing.
func (f *Folder) Done(v any) bool {
	info, err := os.Stat(f.path(done))
	if err != nil || f.seen != nil && os.SameFile(info, f.seen) && info.ModTime().Equal(f.seen.ModTime()) {
		return false
	}
	f.seen = info
	data, err := read(f.path(done))
	if err == nil {
		err = Decode(done, data, v)
	}
	if err != nil {
		slog.Error("what operators have done can't be read: it is passed over", "err", err)
	}
	return err == nil
}

// Change has do make changes that no other process makes meanwhile, and writes down what
// it returns. do runs also where the others can't be kept out or nothing can be written:
// the error says so.
func (f *Folder) Change(do func() (v any, ok bool)) error {
	lock, lockErr := f.exclude()
	if lockErr == nil {
		defer lock.Close()
	}
	v, ok := do()
	if !ok {
		return nil
	}
	data, err := Encode(done, v)
	if err == nil {
		err = f.put(done, data)
	}
	if err != nil {
		return err
	}
	f.seen, _ = os.Stat(f.path(done))
	return lockErr
}

func (f *Folder) exclude() (*os.File, error) {
	lock, err := os.OpenFile(f.path(doneKey), os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for end := time.Now().Add(lockMost); ; time.Sleep(askEach) {
		if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return lock, nil
		}
		if time.Now().After(end) {
			lock.Close()
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
}

// put writes a file whole or not at all: a process killed meanwhile leaves none of it
// under its name. It need not outlive the machine, so nothing is synced.
func (f *Folder) put(name string, data []byte) error {
	tmp := f.path(unnamed + f.me + "-" + name)
	err := os.WriteFile(tmp, data, 0o600)
	if err == nil {
		err = os.Rename(tmp, f.path(name))
	}
	if err != nil {
		os.Remove(tmp)
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func read(path string) ([]byte, error) {
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, Most+1))
	if err != nil {
		return nil, err
	}
	return data, nil
}
