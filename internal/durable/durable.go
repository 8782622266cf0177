// Package durable writes files that a process killed at any point, or a machine without
// power, leaves whole or not there.
package durable

import (
	"os"
	"path/filepath"
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
