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
	prefix   = "instance-"
	lockName = "lock"
	// oTmpfile is Linux's O_TMPFILE: a file without a name (open(2)).
	oTmpfile = 0x400000 | syscall.O_DIRECTORY
)

// system makes files of the system's. Where it has files without a name these have
// none; else the name is taken away at once, and a process killed in between leaves an
// empty file to the sweep.
type system struct{}

func (system) Create(folder string) (Handle, error) {
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

// claimWait is how long a start waits for others' starts in the same folder.
const claimWait = 5 * time.Second

// claim makes an instance's folder within one that several share, and removes those
// whose instances have ended. Both are done under the lock of the whole, so that no
// sweep meets a folder whose instance has not locked it yet.
func claim(folder string) (own string, held *os.File, err error) {
	all, err := durable.Lock(filepath.Join(folder, lockName), claimWait)
	if err != nil {
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	defer all.Close()
	entries, err := os.ReadDir(folder)
	if err != nil {
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), prefix) {
			sweep(filepath.Join(folder, e.Name()))
		}
	}
	if own, err = os.MkdirTemp(folder, prefix); err != nil { // of mode 0700
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	if held, err = durable.Lock(filepath.Join(own, lockName), 0); err != nil {
		os.RemoveAll(own)
		return "", nil, fmt.Errorf("spool: %w", err)
	}
	return own, held, nil
}

// sweep removes a folder unless its instance lives.
func sweep(path string) {
	held, err := durable.Lock(filepath.Join(path, lockName), 0)
	if err != nil {
		return
	}
	release(path, held)
}

// release removes a folder whose lock is held.
func release(path string, held *os.File) {
	os.RemoveAll(path)
	held.Close()
}

// Magic numbers of statfs(2) for file systems that are memory.
const (
	tmpfsMagic = 0x01021994
	ramfsMagic = 0x858458f6
)

// InMemory says whether a folder lies in memory, so that its files count as such.
func InMemory(folder string) (bool, error) {
	var st syscall.Statfs_t
	if err := syscall.Statfs(folder, &st); err != nil {
		return false, fmt.Errorf("spool: %w", err)
	}
	return uint32(st.Type) == tmpfsMagic || uint32(st.Type) == ramfsMagic, nil
}
