// Package durable writes files atomically, so that a kill of the process or a power failure
// at any point leaves a file complete or absent, and provides locks that end with the
// process that holds them.
package durable

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Write writes a file with mode 0600 and syncs it and its folder. A process that is killed
// meanwhile may leave a partial file, so write to a temporary name and use Rename, or use
// Replace.
func Write(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if serr := f.Sync(); err == nil {
		err = serr
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	return syncFolder(path)
}

// Rename atomically replaces a file in the same folder and syncs the folder.
func Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return err
	}
	return syncFolder(to)
}

// Replace atomically replaces a file's content. It uses a temporary file with the suffix
// .new.
func Replace(path string, data []byte) error {
	if err := Write(path+".new", data); err != nil {
		os.Remove(path + ".new")
		return err
	}
	return Rename(path+".new", path)
}

func syncFolder(path string) error {
	f, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes an exclusive lock on a file and creates the file if needed. The lock ends when
// the returned file is closed or the process ends, so it does not depend on process IDs.
// Lock tries for the time wait, at least once, and blocks meanwhile.
func Lock(path string, wait time.Duration) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if err != syscall.EINTR && (err != syscall.EWOULDBLOCK || time.Now().After(end)) {
			f.Close()
			return nil, err
		}
	}
}
