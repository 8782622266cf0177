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
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultyDisk is a disk in memory that simulates a kill of the process at a step: before
// it, or halfway (a file half written, a rename done but not reported). files is what the
// next start finds.
type faultyDisk struct {
	files     map[string][]byte
	stepsLeft int // steps until the kill; below 0: never
	halfway   bool
	dead      bool
}

var errKilled = errors.New("killed")

// nextStep reports whether the process completes this step, and if not, whether it is
// killed halfway.
func (d *faultyDisk) nextStep() (lives, half bool) {
	if d.dead {
		return false, false
	}
	if d.stepsLeft == 0 {
		d.dead = true
		return false, d.halfway
	}
	d.stepsLeft--
	return true, false
}

func (d *faultyDisk) Write(name string, data []byte) error {
	lives, half := d.nextStep()
	if lives {
		d.files[name] = bytes.Clone(data)
		return nil
	}
	if half {
		d.files[name] = bytes.Clone(data[:len(data)/2])
	}
	return errKilled
}

func (d *faultyDisk) Rename(from, to string) error {
	lives, half := d.nextStep()
	if lives || half { // halfway: the rename is done, but the process is killed before it returns
		d.files[to] = d.files[from]
		delete(d.files, from)
	}
	if !lives {
		return errKilled
	}
	return nil
}

func (d *faultyDisk) Remove(name string) error {
	if lives, half := d.nextStep(); !lives && !half {
		return errKilled
	}
	delete(d.files, name)
	return nil
}

func (d *faultyDisk) Read(name string, _ int64) ([]byte, error) {
	if data, ok := d.files[name]; ok {
		return data, nil
	}
	return nil, fs.ErrNotExist
}

func (d *faultyDisk) Names() (names []string, err error) {
	for name := range d.files {
		names = append(names, name)
	}
	return names, nil
}

func testClock() func() time.Time {
	at := time.Unix(1790000000, 0)
	return func() time.Time { at = at.Add(time.Second); return at }
}

func testDocuments(n int) Documents {
	return Documents{Platform: fmt.Appendf(nil, `{"n":%d}`, n), Features: fmt.Appendf(nil, "# %d\n", n)}
}

// documentNumber returns the n for which d equals testDocuments(n), or -1 if d is a mixture
// or incomplete.
func documentNumber(d Documents) int {
	for n := range 20 {
		if want := testDocuments(n); bytes.Equal(d.Platform, want.Platform) && bytes.Equal(d.Features, want.Features) {
			return n
		}
	}
	return -1
}

// The process is killed before and halfway through each step of a change, and started
// again. It must run either the complete old or the complete new configuration, and accept
// further changes.
func TestKilledAtAnyStepStartsWithWholeConfiguration(t *testing.T) {
	before := make(map[string][]byte)
	s, err := open(&faultyDisk{files: before, stepsLeft: -1}, testClock())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(testDocuments(1), "", "the first"); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]struct {
		do    func(*Store) error
		after []int // what may run at the next start
	}{
		"apply": {func(s *Store) error { _, err := s.Apply(testDocuments(2), "", ""); return err }, []int{1, 2}},
		"keep": {func(s *Store) error {
			if _, err := s.Apply(testDocuments(2), "", ""); err != nil {
				return err
			}
			return s.Keep("")
		}, []int{1, 2}},
		"undo": {func(s *Store) error {
			if _, err := s.Apply(testDocuments(2), "", ""); err != nil {
				return err
			}
			return s.Undo("")
		}, []int{1, 2}},
		"keep, and another": {func(s *Store) error {
			if _, err := s.Apply(testDocuments(2), "", ""); err != nil {
				return err
			}
			if err := s.Keep(""); err != nil {
				return err
			}
			_, err := s.Apply(testDocuments(3), "", "")
			return err
		}, []int{1, 2, 3}},
	} {
		seen := make(map[int]int)
		for step := 0; ; step++ {
			lived := false
			for _, mid := range []bool{false, true} {
				d := &faultyDisk{files: maps.Clone(before), stepsLeft: step, halfway: mid}
				s, err := open(d, testClock())
				if err != nil {
					t.Fatal(err)
				}
				lived = change.do(s) == nil
				d.stepsLeft, d.dead = -1, false // the process starts again
				s, err = open(d, testClock())
				if err != nil {
					t.Fatalf("%s, killed at step %d: %v", name, step, err)
				}
				_, docs, err := s.Start()
				n := documentNumber(docs)
				if err != nil || !contains(change.after, n) {
					t.Fatalf("%s, killed at step %d, halfway %v: runs %d, want one of %v, error %v", name, step, mid, n, change.after, err)
				}
				seen[n]++
				// Further changes work.
				if s.State().Baking != 0 {
					if err := s.Undo(""); err != nil {
						t.Fatal(err)
					}
				}
				if _, err := s.Apply(testDocuments(9), "", ""); err != nil {
					t.Fatalf("%s, killed at step %d: %v", name, step, err)
				}
				if _, docs, err := s.Start(); err != nil || documentNumber(docs) != 9 {
					t.Fatalf("%s, killed at step %d: runs %d after a further change, want 9, error %v", name, step, documentNumber(docs), err)
				}
				want := 5 // two files of each of the trial's and the good configuration, and the state
				if s.State().Before != 0 {
					want += 2
				}
				if len(d.files) != want {
					t.Errorf("%s: %d files are left", name, len(d.files))
				}
			}
			if lived {
				if step < 4 {
					t.Errorf("%s has only %d steps", name, step)
				}
				break
			}
		}
		if seen[1] == 0 || len(seen) < 2 {
			t.Errorf("%s: %v", name, seen)
		}
	}
}

func contains(all []int, n int) bool {
	for _, a := range all {
		if a == n {
			return true
		}
	}
	return false
}

// If the process crashes repeatedly during a trial, the start after MaxTrialStarts starts
// undoes the change. A change that was kept before that stays.
func TestRepeatedCrashesUndoTheTrial(t *testing.T) {
	d := &faultyDisk{files: make(map[string][]byte), stepsLeft: -1}
	start := func() (*Store, int) {
		s, err := open(d, testClock())
		if err != nil {
			t.Fatal(err)
		}
		_, docs, err := s.Start()
		if err != nil {
			t.Fatal(err)
		}
		return s, documentNumber(docs)
	}
	s, n := start()
	if n != -1 || s.State().Good != 0 {
		t.Errorf("an empty disk runs configuration %d", n)
	}
	for n := 1; n <= 2; n++ {
		if _, err := s.Apply(testDocuments(n), "", ""); err != nil {
			t.Fatal(err)
		}
	}
	for k := range MaxTrialStarts {
		if _, n := start(); n != 2 {
			t.Errorf("start %d runs configuration %d, want 2", k, n)
		}
	}
	for range 2 {
		if s, n = start(); n != 1 || s.State().Baking != 0 {
			t.Errorf("runs configuration %d, want 1: %+v", n, s.State())
		}
	}
	if e := s.State().Events; e[len(e)-1].What != "crashed" || e[len(e)-1].ID != 2 {
		t.Errorf("%+v", e)
	}
	if id, err := s.Apply(testDocuments(3), "", ""); id != 3 || err != nil { // numbers are not reused
		t.Errorf("%d, %v", id, err)
	}
	for range MaxTrialStarts {
		s, _ = start()
	}
	if err := s.Keep(""); err != nil {
		t.Fatal(err)
	}
	for range MaxTrialStarts + 2 {
		if _, n = start(); n != 3 {
			t.Errorf("configuration 3 was kept, but %d runs", n)
		}
	}
}

// After any sequence of steps the state is valid, there is a good configuration during a
// trial, and the history is bounded.
func TestStateIsValidAfterAnySteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Version: stateVersion}
		now := testClock()
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			before := s
			var err error
			switch rapid.SampledFrom([]string{"apply", "keep", "undo", "start"}).Draw(t, "step") {
			case "apply":
				if s, err = s.Apply(now(), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "sum"), strings.Repeat("why ", 200)); (err != nil) != (before.Baking != 0) {
					t.Fatalf("%v after %+v", err, before)
				}
			case "keep":
				if s, err = s.Keep(now(), ""); (err != nil) != (before.Baking == 0) || err == nil && s.Good != before.Baking {
					t.Fatalf("%v after %+v", err, before)
				}
			case "undo":
				if s, err = s.Undo(now(), ""); (err != nil) != (before.Baking == 0) || s.Good != before.Good {
					t.Fatalf("%v after %+v", err, before)
				}
			case "start":
				var id ID
				if s, id = s.Start(now()); id != s.Good && id != s.Baking || before.Baking != 0 && before.Starts < MaxTrialStarts != (id == before.Baking) {
					t.Fatalf("Start returned configuration %d after %+v", id, before)
				}
			}
			if err := s.validate(); err != nil {
				t.Fatalf("%v: %+v", err, s)
			}
		}
		for _, e := range s.Events {
			if len(e.Why) > maxReasonBytes {
				t.Fatal("a reason is longer than maxReasonBytes")
			}
		}
	})
}

// State.Read classifies the content of the files by what is kept, on trial, undone and was
// read before.
func TestReadClassifiesFiles(t *testing.T) {
	kept := State{Good: 1, Last: 1, Kept: "k", Undone: "u", Seen: "s"}
	trial := kept
	trial.Baking, trial.Last, trial.Trying = 2, 2, "t"
	for _, c := range []struct {
		of   State
		sum  string
		want FileStatus
	}{
		{kept, "s", FilesKnown}, {kept, "k", FilesKnown}, {kept, "u", FilesRejected}, {kept, "n", FilesNew}, {kept, "", FilesNew},
		{trial, "s", FilesKnown}, {trial, "t", FilesKnown}, {trial, "k", FilesRevert}, {trial, "u", FilesRejected}, {trial, "n", FilesWaiting},
	} {
		if got := c.of.Read(c.sum); got != c.want {
			t.Errorf("%+v: %q is %d, want %d", c.of, c.sum, got, c.want)
		}
	}
	// A configuration that was undone and later kept is no longer rejected.
	s := State{Version: stateVersion}
	var err error
	step := func(next State, e error) {
		t.Helper()
		if s, err = next, e; err != nil {
			t.Fatal(err)
		}
	}
	at := time.Unix(0, 0)
	step(s.Apply(at, "a", ""))
	step(s.Apply(at, "b", ""))
	step(s.Undo(at, ""))
	if s.Read("b") != FilesRejected || s.Read("a") != FilesKnown {
		t.Errorf("%+v", s)
	}
	step(s.Apply(at, "b", ""))
	step(s.Keep(at, ""))
	if s.Read("b") != FilesKnown || s.Read("a") != FilesNew || s.Undone != "" || s.Kept != "b" {
		t.Errorf("%+v", s)
	}
	step(s.Apply(at, "c", ""))
	step(s.Drop(at, ""))
	if s.Read("c") != FilesNew {
		t.Errorf("%+v", s)
	}
}

// A store in a real folder: file modes, the lock, missing documents and invalid states.
func TestStoreInFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "history")
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 3; n++ {
		if _, err := s.Apply(testDocuments(n), "", "pushed"); err != nil {
			t.Fatal(err)
		}
		if n > 1 {
			if err := s.Keep("quiet"); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := s.Keep(""); !errors.Is(err, ErrNoTrial) {
		t.Errorf("%v", err)
	}
	entries, err := os.ReadDir(folder)
	if err != nil || len(entries) != 6 { // two files of two configurations, the state and the lock
		t.Errorf("%v, %v", entries, err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err != nil || info.Mode().Perm() != 0o600 { // files may hold secrets
			t.Errorf("%s: %v, %v", e.Name(), info.Mode(), err)
		}
	}
	if _, err := Open(folder); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second Open of an open folder: got error %v", err)
	}
	s.Close()
	s, err = Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if id, docs, err := s.Start(); id != 3 || documentNumber(docs) != 3 || err != nil {
		t.Errorf("%d, %v", id, err)
	}
	if err := os.Remove(filepath.Join(folder, "3.toml")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Start(); err == nil || !strings.Contains(err.Error(), "configuration 3") {
		t.Errorf("%v", err)
	}
	for _, bad := range []string{"", "{", `{"Version":2}`, `{"Version":1,"Last":1,"Good":2}`, `{"Version":1,"Last":2,"Baking":2}`, `{"Version":1,"Last":2,"Good":2,"Baking":2}`, `{"Version":1,"Last":-1,"Good":-1}`} {
		if err := os.WriteFile(filepath.Join(folder, "state"), []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := open(folderDisk(folder), testClock()); err == nil {
			t.Errorf("state %q was accepted", bad)
		}
	}
}

func FuzzState(f *testing.F) {
	f.Add([]byte(`{"Version":1,"Last":2,"Good":1,"Baking":2,"Starts":1,"Events":[{"ID":1,"What":"kept"}]}`))
	f.Add([]byte(`{"Version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := open(&faultyDisk{files: map[string][]byte{"state": data}, stepsLeft: -1}, testClock())
		if err != nil {
			return
		}
		next, id := s.State().Start(time.Unix(0, 0))
		if err := next.validate(); err != nil || id != next.Good && id != next.Baking {
			t.Errorf("%s: %+v, %v", data, next, err)
		}
		if _, err := json.Marshal(next); err != nil {
			t.Error(err)
		}
	})
}
