package history

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"chalkrack/internal/durable"
)

// disk is the file system interface of a Store: a folder, memory, or a fake in tests that
// fails at a given step.
type disk interface {
	// Write writes a file and syncs it and its folder.
	Write(name string, data []byte) error
	// Rename atomically replaces a file with another one and syncs the folder.
	Rename(from, to string) error
	// Read returns a file's content, or an error if it is longer than maxBytes.
	Read(name string, maxBytes int64) ([]byte, error)
	Names() ([]string, error)
	Remove(name string) error
}

// Documents are the two files of a configuration, as they were read.
type Documents struct {
	Platform []byte // the platform's JSON
	Features []byte // deploy/features.toml; empty if there is none
}

const (
	stateFile = "state"
	lockFile  = "lock"
	// lockTimeout is how long a start waits for the previous process to end.
	lockTimeout = time.Second
	// maxDocumentBytes is the maximum size of each file that is read.
	maxDocumentBytes = 4 << 20
)

// Store persists a State and the documents that it refers to in a folder of its own. Each
// step is written before it takes effect: first the complete documents, then, by one
// rename, the state that refers to them. Only one process can have a folder open. A Store
// is not safe for concurrent use.
type Store struct {
	disk  disk
	state State
	now   func() time.Time
	lock  *os.File // the folder's lock; nil if the store is in memory
}

// Open reads the state in a folder, and creates the folder with mode 0700 if it does not
// exist. It waits up to lockTimeout for the folder's lock. It returns an error if the folder
// can't be used, another process has it open, or its state is invalid.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	lock, err := durable.Lock(filepath.Join(folder, lockFile), lockTimeout)
	if err != nil {
		return nil, fmt.Errorf("history: %s is in use by another process: %w", folder, err)
	}
	s, err := open(folderDisk(folder), time.Now)
	if err != nil {
		lock.Close()
		return nil, err
	}
	s.lock = lock
	return s, nil
}

// Close releases the folder.
func (s *Store) Close() {
	if s.lock != nil {
		s.lock.Close()
	}
}

func open(d disk, now func() time.Time) (*Store, error) {
	s := &Store{disk: d, now: now, state: State{Version: stateVersion}}
	data, err := d.Read(stateFile, maxDocumentBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, fmt.Errorf("history: %w", err)
	default:
		var read State
		if err := json.Unmarshal(data, &read); err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		if err := read.validate(); err != nil {
			return nil, err
		}
		s.state = read
	}
	return s, nil
}

// State returns the current state.
func (s *Store) State() State { return s.state }

// commit persists a state and makes it the current one. On an error the previous state
// stays current.
func (s *Store) commit(next State) error {
	data, err := json.Marshal(next)
	if err == nil {
		err = s.disk.Write(stateFile+".new", data)
	}
	if err == nil {
		err = s.disk.Rename(stateFile+".new", stateFile)
	}
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	s.state = next
	s.removeUnused()
	return nil
}

// removeUnused removes documents that no step can use again. Files that it fails to remove
// are removed after a later commit.
func (s *Store) removeUnused() {
	names, err := s.disk.Names()
	if err != nil {
		return
	}
	for _, name := range names {
		number, _, ok := strings.Cut(name, ".")
		id, err := strconv.Atoi(number)
		if ok && err == nil && ID(id) != s.state.Good && ID(id) != s.state.Baking && ID(id) != s.state.Before {
			s.disk.Remove(name)
		}
	}
}

func platformFile(id ID) string { return fmt.Sprintf("%d.json", id) }
func featuresFile(id ID) string { return fmt.Sprintf("%d.toml", id) }

// InMemory returns a Store that is lost at the end of the process.
func InMemory() *Store {
	s, _ := open(make(memoryDisk), time.Now)
	return s
}

// SetSeen persists the hash of the files that were read last.
func (s *Store) SetSeen(sum string) error {
	if s.state.Seen == sum {
		return nil
	}
	next := s.state
	next.Seen = sum
	return s.commit(next)
}

// Apply persists a configuration with the hash sum as the one on trial and returns its
// number; see State.Apply.
func (s *Store) Apply(d Documents, sum, why string) (ID, error) {
	next, err := s.state.Apply(s.now(), sum, why)
	if err != nil {
		return 0, err
	}
	id := s.state.Next()
	if err := s.disk.Write(platformFile(id), d.Platform); err != nil {
		return 0, fmt.Errorf("history: %w", err)
	}
	if err := s.disk.Write(featuresFile(id), d.Features); err != nil {
		return 0, fmt.Errorf("history: %w", err)
	}
	if err := s.commit(next); err != nil {
		return 0, err
	}
	return id, nil
}

// Keep ends the trial and makes the configuration on trial the good one.
func (s *Store) Keep(why string) error { return s.endTrial(State.Keep, why) }

// Undo ends the trial and goes back to the good configuration.
func (s *Store) Undo(why string) error { return s.endTrial(State.Undo, why) }

// Drop ends the trial and goes back to the good configuration to make way for another
// change.
func (s *Store) Drop(why string) error { return s.endTrial(State.Drop, why) }

func (s *Store) endTrial(step func(State, time.Time, string) (State, error), why string) error {
	next, err := step(s.state, s.now(), why)
	if err != nil {
		return err
	}
	return s.commit(next)
}

// Start persists a start of the process and returns the documents to run, with ID 0 if
// there are none. The process must call it once, before it serves.
func (s *Store) Start() (ID, Documents, error) {
	next, id := s.state.Start(s.now())
	if next.Starts != s.state.Starts || next.Baking != s.state.Baking {
		if err := s.commit(next); err != nil {
			return 0, Documents{}, err
		}
	}
	if id == 0 {
		return 0, Documents{}, nil
	}
	d, err := s.Documents(id)
	return id, d, err
}

// Documents returns the documents of a configuration, which must be the good one, the one
// before it or the one on trial.
func (s *Store) Documents(id ID) (d Documents, err error) {
	if d.Platform, err = s.disk.Read(platformFile(id), maxDocumentBytes); err == nil {
		d.Features, err = s.disk.Read(featuresFile(id), maxDocumentBytes)
	}
	if err != nil {
		return Documents{}, fmt.Errorf("history: configuration %d: %w", id, err)
	}
	return d, nil
}

// memoryDisk is a disk in memory, for processes without a folder.
type memoryDisk map[string][]byte

// Write implements disk.
func (m memoryDisk) Write(name string, data []byte) error {
	m[name] = bytes.Clone(data)
	return nil
}

// Rename implements disk.
func (m memoryDisk) Rename(from, to string) error {
	m[to] = m[from]
	delete(m, from)
	return nil
}

// Read implements disk.
func (m memoryDisk) Read(name string, _ int64) ([]byte, error) {
	if data, ok := m[name]; ok {
		return bytes.Clone(data), nil
	}
	return nil, fs.ErrNotExist
}

// Names implements disk.
func (m memoryDisk) Names() ([]string, error) { return slices.Collect(maps.Keys(m)), nil }

// Remove implements disk.
func (m memoryDisk) Remove(name string) error {
	delete(m, name)
	return nil
}

// folderDisk is a disk in the folder with this path.
type folderDisk string

func (d folderDisk) path(name string) string { return filepath.Join(string(d), name) }

// Write implements disk.
func (d folderDisk) Write(name string, data []byte) error { return durable.Write(d.path(name), data) }

// Rename implements disk.
func (d folderDisk) Rename(from, to string) error { return durable.Rename(d.path(from), d.path(to)) }

// Read implements disk.
func (d folderDisk) Read(name string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("%s is longer than %d bytes", name, maxBytes)
	}
	return os.ReadFile(d.path(name))
}

// Names implements disk.
func (d folderDisk) Names() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Remove implements disk.
func (d folderDisk) Remove(name string) error { return os.Remove(d.path(name)) }
