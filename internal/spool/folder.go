package spool

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"chalkrack/internal/durable"
)

const (
	instancePrefix = "instance-"
	lockName       = "lock"
	// oTmpfile is O_TMPFILE of Linux, which creates a file without a name (open(2)).
	oTmpfile = 0x400000 | syscall.O_DIRECTORY
)

// osFS creates files with the operating system: without a name where that is supported.
// Otherwise it removes the name right after creation; a process killed in between leaves an
// empty file, which the next start in the folder removes.
type osFS struct{}

func (osFS) Create(folder string) (Handle, error) {
	f, err := os.OpenFile(folder, os.O_RDWR|oTmpfile, 0o600)
	if err == nil {
		return f, nil
	}
	if f, err = os.CreateTemp(folder, "body-"); err != nil { // of mode 0600
		return nil, err
	}
	if err := os.Remove(f.Name()); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// claimTimeout is how long a starting instance waits for others that are starting in the same
// folder.
const claimTimeout = 5 * time.Second

// claimFolder creates an instance's own folder in one that several instances share, and removes
// those of instances that have ended. It holds the lock of the shared folder meanwhile, so that
// no other instance finds a folder that its own instance has not locked yet.
func claimFolder(folder string) (own string, ownLock *os.File, err error) {
	sharedLock, err := durable.Lock(filepath.Join(folder, lockName), claimTimeout)
	if err != nil {
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	defer sharedLock.Close()
	entries, err := os.ReadDir(folder)
	if err != nil {
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), instancePrefix) {
			removeIfDead(filepath.Join(folder, e.Name()))
		}
	}
	if own, err = os.MkdirTemp(folder, instancePrefix); err != nil { // of mode 0700
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	if ownLock, err = durable.Lock(filepath.Join(own, lockName), 0); err != nil {
		os.RemoveAll(own)
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	return own, ownLock, nil
}

// removeIfDead removes the folder of an instance unless the instance is running.
func removeIfDead(path string) {
	lock, err := durable.Lock(filepath.Join(path, lockName), 0)
	if err != nil {
		return
	}
	removeLocked(path, lock)
}

// removeLocked removes a folder whose lock is held.
func removeLocked(path string, lock *os.File) {
	os.RemoveAll(path)
	lock.Close()
}

// Magic numbers of statfs(2) for file systems in memory.
const (
	tmpfsMagic = 0x01021994
	ramfsMagic = 0x858458f6
)

// InMemory reports whether a folder is on a file system in memory, so that its files use
// memory.
func InMemory(folder string) (bool, error) {
	var st syscall.Statfs_t
	if err := syscall.Statfs(folder, &st); err != nil {
		return false, fmt.Errorf("spool: %w", err)
	}
	return uint32(st.Type) == tmpfsMagic || uint32(st.Type) == ramfsMagic, nil
}
