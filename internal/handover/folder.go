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
	presencePrefix   = "here-"   // one file per process, locked while the process lives
	requestPrefix    = "wants-"  // a process requests the learned state
	answerPrefix     = "learnt-" // the learned state for the process that requested it
	tempPrefix       = "new-"    // files that are being written
	operatorFile     = "done"    // the changes that operators made
	operatorLockFile = "done.lock"

	lockTimeout  = 300 * time.Millisecond
	pollInterval = 10 * time.Millisecond
	// maxNames bounds the file names that are read of the folder at once.
	maxNames = 256
)

// Folder is one process's access to the shared folder. It is not safe for concurrent use.
type Folder struct {
	dir, id      string
	presence     *os.File
	operatorInfo os.FileInfo // of operatorFile when it was last read or written
}

// Open registers this process in a folder, which it creates if needed. It removes stale
// files that killed processes were writing.
func Open(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var id [8]byte
	rand.Read(id[:])
	f := &Folder{dir: dir, id: fmt.Sprintf("%d-%s", os.Getpid(), hex.EncodeToString(id[:]))}
	// The file is locked before it gets the name that others look for. Otherwise they could
	// take this process for dead in between.
	tempPath := f.path(tempPrefix + f.id)
	lock, err := os.OpenFile(tempPath, os.O_RDWR|os.O_CREATE|os.O_EXCL|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		err = os.Rename(tempPath, f.path(presencePrefix+f.id))
	}
	if err != nil {
		lock.Close()
		os.Remove(tempPath)
		return nil, fmt.Errorf("handover: %w", err)
	}
	f.presence = lock
	f.removeStale()
	return f, nil
}

// staleAfter is the age from which a temporary file counts as left by a killed process.
const staleAfter = time.Minute

// removeStale removes temporary files that are older than staleAfter. Otherwise they could
// pile up until the files of living processes are not among the maxNames names that are
// read.
func (f *Folder) removeStale() {
	for _, name := range f.names() {
		if !strings.HasPrefix(name, tempPrefix) {
			continue
		}
		if info, err := os.Lstat(f.path(name)); err == nil && time.Since(info.ModTime()) > staleAfter {
			os.Remove(f.path(name))
		}
	}
}

func (f *Folder) path(name string) string { return filepath.Join(f.dir, name) }

// Close removes this process's files from the folder and releases its lock.
func (f *Folder) Close() {
	for _, kind := range []string{presencePrefix, requestPrefix, answerPrefix} {
		os.Remove(f.path(kind + f.id))
	}
	f.presence.Close()
}

func (f *Folder) names() []string {
	d, err := os.Open(f.dir)
	if err != nil {
		return nil
	}
	defer d.Close()
	names, _ := d.Readdirnames(maxNames)
	return names
}

// Processes returns the number of other living processes and the ids of those that request
// the learned state. It removes the files of dead processes.
func (f *Folder) Processes() (others int, requesting []string) {
	for _, name := range f.names() {
		if id, ok := strings.CutPrefix(name, presencePrefix); ok && id != f.id && f.isAlive(id) {
			others++
		}
		if id, ok := strings.CutPrefix(name, requestPrefix); ok && id != f.id {
			requesting = append(requesting, id)
		}
	}
	return others, requesting
}

// isAlive reports whether a process holds its lock. A process without it is dead, whether
// it ended or was killed, and isAlive removes its files.
func (f *Folder) isAlive(id string) bool {
	file, err := os.OpenFile(f.path(presencePrefix+id), os.O_RDWR|syscall.O_NOFOLLOW|syscall.O_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer file.Close()
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Is(err, syscall.EWOULDBLOCK)
	}
	for _, kind := range []string{presencePrefix, requestPrefix, answerPrefix} {
		os.Remove(f.path(kind + id))
	}
	return false
}

// RequestState requests the learned state of another process and decodes it into v. It
// blocks for up to wait, and returns os.ErrDeadlineExceeded if no process answers.
func (f *Folder) RequestState(v any, wait time.Duration) error {
	requestPath, answerPath := f.path(requestPrefix+f.id), f.path(answerPrefix+f.id)
	if err := os.WriteFile(requestPath, nil, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer os.Remove(answerPath)
	defer os.Remove(requestPath)
	for end := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		data, err := readFile(answerPath)
		switch {
		case err == nil:
			return Decode(answerPrefix, data, v)
		case !errors.Is(err, os.ErrNotExist):
			return err
		case time.Now().After(end):
			return fmt.Errorf("handover: %w", os.ErrDeadlineExceeded)
		}
	}
}

// SendState answers the request of process id with v.
func (f *Folder) SendState(id string, v any) error {
	data, err := Encode(answerPrefix, v)
	if err == nil {
		err = f.writeFile(answerPrefix+id, data)
	}
	os.Remove(f.path(requestPrefix + id)) // also if the state could not be written
	return err
}

// ReadOperatorState reads the changes that operators made into v. It returns false if they
// are as this process last read or wrote them, or if the file can't be used, which is
// logged.
func (f *Folder) ReadOperatorState(v any) bool {
	info, err := os.Stat(f.path(operatorFile))
	if err != nil || f.operatorInfo != nil && os.SameFile(info, f.operatorInfo) && info.ModTime().Equal(f.operatorInfo.ModTime()) {
		return false
	}
	f.operatorInfo = info
	data, err := readFile(f.path(operatorFile))
	if err == nil {
		err = Decode(operatorFile, data, v)
	}
	if err != nil {
		slog.Error("handover: operators' changes can't be read and are ignored", "err", err)
	}
	return err == nil
}

// UpdateOperatorState runs do under the lock that all processes share, and writes the value
// it returns unless ok is false. do runs even if the lock can't be taken within lockTimeout
// or nothing can be written; UpdateOperatorState then returns an error.
func (f *Folder) UpdateOperatorState(do func() (v any, ok bool)) error {
	lock, lockErr := f.lockOperatorFile()
	if lockErr == nil {
		defer lock.Close()
	}
	v, ok := do()
	if !ok {
		return nil
	}
	data, err := Encode(operatorFile, v)
	if err == nil {
		err = f.writeFile(operatorFile, data)
	}
	if err != nil {
		return err
	}
	f.operatorInfo, _ = os.Stat(f.path(operatorFile))
	return lockErr
}

func (f *Folder) lockOperatorFile() (*os.File, error) {
	lock, err := os.OpenFile(f.path(operatorLockFile), os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for end := time.Now().Add(lockTimeout); ; time.Sleep(pollInterval) {
		if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return lock, nil
		}
		if time.Now().After(end) {
			lock.Close()
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
}

// writeFile writes a file atomically: a process that is killed meanwhile leaves no partial
// file under the name. The file does not need to survive a crash of the machine, so it is
// not synced.
func (f *Folder) writeFile(name string, data []byte) error {
	tmp := f.path(tempPrefix + f.id + "-" + name)
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

func readFile(path string) ([]byte, error) {
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	return data, nil
}
