// Package durable writes files that a process killed at any point, or a machine without
// power, leaves whole or not there, and holds locks that end with their process.
package durable

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Write writes a file of mode 0600 and syncs it and its folder. Killed meanwhile it may
// leave half of it: write under a name that nobody reads, and Rename.
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

// Rename puts a file in another's place in the same folder, whole, and syncs the folder.
func Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return err
	}
	return syncFolder(to)
}

// Replace puts data in a file's place, whole or not at all. A file of that name with
// .new behind it is used on the way.
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

// Lock takes a file's lock, which ends with the process that holds it, whatever its
// number was. It is tried for the time given, once at least.
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
