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

// disk is what a Store needs of a file system: a folder's, or a test's that dies.
type disk interface {
	// Write writes a file and syncs it and its folder.
	Write(name string, data []byte) error
	// Rename puts a file in another's place, whole, and syncs the folder.
	Rename(from, to string) error
	Read(name string, most int64) ([]byte, error)
	Names() ([]string, error)
	Remove(name string) error
}

// Documents are a configuration's two files, as they were read.
type Documents struct {
	Platform []byte // the platform's JSON
	Features []byte // deploy/features.toml; empty: none
}

const (
	stateFile = "state"
	lockFile  = "lock"
	// lockWait is how long a start waits for the process before it to end.
	lockWait = time.Second
	// documentMost bounds each file that is read, in bytes.
	documentMost = 4 << 20
)

// Store keeps a State and the documents that it names in a folder of its own. Every
// step is written before it is taken: the documents whole, then the state that names
// them by one rename. One process may have a folder at a time.
type Store struct {
	disk  disk
	state State
	now   func() time.Time
	held  *os.File // the folder's lock; nil: none
}

// Open reads what a folder remembers; it makes the folder, with mode 0700, if it is not
// there. An error says that the folder can't be used, that another process has it, or
// that it holds what is no state.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	held, err := durable.Lock(filepath.Join(folder, lockFile), lockWait)
	if err != nil {
		return nil, fmt.Errorf("history: %s: another process has it: %w", folder, err)
	}
	s, err := open(dir(folder), time.Now)
	if err != nil {
		held.Close()
		return nil, err
	}
	s.held = held
	return s, nil
}

// Close lets go of the folder.
func (s *Store) Close() {
	if s.held != nil {
		s.held.Close()
	}
}

func open(d disk, now func() time.Time) (*Store, error) {
	s := &Store{disk: d, now: now, state: State{Version: stateVersion}}
	data, err := d.Read(stateFile, documentMost)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, fmt.Errorf("history: %w", err)
	default:
		var read State
		if err := json.Unmarshal(data, &read); err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		if err := read.check(); err != nil {
			return nil, err
		}
		s.state = read
	}
	return s, nil
}

// State is what is remembered now.
func (s *Store) State() State { return s.state }

// commit makes a state the one that is remembered. An error leaves the one before.
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
	s.sweep()
	return nil
}

// sweep removes documents that no step can come back to. What it leaves at an error
// goes with the next.
func (s *Store) sweep() {
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

// InMemory returns a Store that forgets with its process.
func InMemory() *Store {
	s, _ := open(make(memory), time.Now)
	return s
}

// See remembers what the files say.
func (s *Store) See(sum string) error {
	if s.state.Seen == sum {
		return nil
	}
	next := s.state
	next.Seen = sum
	return s.commit(next)
}

// Apply remembers a configuration as the one on trial; see State.Apply. sum names what
// it says.
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

// Keep makes the configuration on trial the good one.
func (s *Store) Keep(why string) error { return s.end(State.Keep, why) }

// Undo goes back to the good one.
func (s *Store) Undo(why string) error { return s.end(State.Undo, why) }

// Drop goes back to the good one for the sake of another change.
func (s *Store) Drop(why string) error { return s.end(State.Drop, why) }

func (s *Store) end(how func(State, time.Time, string) (State, error), why string) error {
	next, err := how(s.state, s.now(), why)
	if err != nil {
		return err
	}
	return s.commit(next)
}

// Start is to be called at each start of the process, before it serves: it gives the
// documents to run. ID 0 says that none are known.
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

// Documents are those of the good configuration or of the one on trial.
func (s *Store) Documents(id ID) (d Documents, err error) {
	if d.Platform, err = s.disk.Read(platformFile(id), documentMost); err == nil {
		d.Features, err = s.disk.Read(featuresFile(id), documentMost)
	}
	if err != nil {
		return Documents{}, fmt.Errorf("history: configuration %d: %w", id, err)
	}
	return d, nil
}

// memory is a disk of a process that has none.
type memory map[string][]byte

// Write implements disk.
func (m memory) Write(name string, data []byte) error {
	m[name] = bytes.Clone(data)
	return nil
}

// Rename implements disk.
func (m memory) Rename(from, to string) error {
	m[to] = m[from]
	delete(m, from)
	return nil
}

// Read implements disk.
func (m memory) Read(name string, _ int64) ([]byte, error) {
	if data, ok := m[name]; ok {
		return bytes.Clone(data), nil
	}
	return nil, fs.ErrNotExist
}

// Names implements disk.
func (m memory) Names() ([]string, error) { return slices.Collect(maps.Keys(m)), nil }

// Remove implements disk.
func (m memory) Remove(name string) error {
	delete(m, name)
	return nil
}

// dir is a folder.
type dir string

func (d dir) at(name string) string { return filepath.Join(string(d), name) }

// Write implements disk.
func (d dir) Write(name string, data []byte) error { return durable.Write(d.at(name), data) }

// Rename implements disk.
func (d dir) Rename(from, to string) error { return durable.Rename(d.at(from), d.at(to)) }

// Read implements disk.
func (d dir) Read(name string, most int64) ([]byte, error) {
	info, err := os.Stat(d.at(name))
	if err != nil {
		return nil, err
	}
	if info.Size() > most {
		return nil, fmt.Errorf("%s is over %d bytes", name, most)
	}
	return os.ReadFile(d.at(name))
}

// Names implements disk.
func (d dir) Names() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Remove implements disk.
func (d dir) Remove(name string) error { return os.Remove(d.at(name)) }
