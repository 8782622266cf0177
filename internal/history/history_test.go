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

// faulty is a disk in memory that dies at a step: before it, in its middle (a file half
// written, a rename that is not yet lasting), or after it. What is in files is what a
// start finds.
type faulty struct {
	files map[string][]byte
	left  int // steps until it dies; below 0: never
	mid   bool
	dead  bool
}

var errDead = errors.New("killed")

// step says whether the process lives through this step, and if not, whether it dies in
// its middle.
func (d *faulty) step() (lives, half bool) {
	if d.dead {
		return false, false
	}
	if d.left == 0 {
		d.dead = true
		return false, d.mid
	}
	d.left--
	return true, false
}

func (d *faulty) Write(name string, data []byte) error {
	lives, half := d.step()
	if lives {
		d.files[name] = bytes.Clone(data)
		return nil
	}
	if half {
		d.files[name] = bytes.Clone(data[:len(data)/2])
	}
	return errDead
}

func (d *faulty) Rename(from, to string) error {
	lives, half := d.step()
	if lives || half { // it is done, and the process may die before it hears
		d.files[to] = d.files[from]
		delete(d.files, from)
	}
	if !lives {
		return errDead
	}
	return nil
}

func (d *faulty) Remove(name string) error {
	if lives, half := d.step(); !lives && !half {
		return errDead
	}
	delete(d.files, name)
	return nil
}

func (d *faulty) Read(name string, _ int64) ([]byte, error) {
	if data, ok := d.files[name]; ok {
		return data, nil
	}
	return nil, fs.ErrNotExist
}

func (d *faulty) Names() (names []string, err error) {
	for name := range d.files {
		names = append(names, name)
	}
	return names, nil
}

func clock() func() time.Time {
	at := time.Unix(1790000000, 0)
	return func() time.Time { at = at.Add(time.Second); return at }
}

func documents(n int) Documents {
	return Documents{Platform: fmt.Appendf(nil, `{"n":%d}`, n), Features: fmt.Appendf(nil, "# %d\n", n)}
}

// whole says which of the documents these are; -1: a mixture, or half of one.
func whole(d Documents) int {
	for n := range 20 {
		if want := documents(n); bytes.Equal(d.Platform, want.Platform) && bytes.Equal(d.Features, want.Features) {
			return n
		}
	}
	return -1
}

// The process is killed at every step of a change, in its middle too, and started again:
// it comes up under the old configuration or the new one, whole, and goes on from there.
func TestKilledAnywhere(t *testing.T) {
	before := make(map[string][]byte)
	s, err := open(&faulty{files: before, left: -1}, clock())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(documents(1), "", "the first"); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]struct {
		do    func(*Store) error
		after []int // what may run at the next start
	}{
		"apply": {func(s *Store) error { _, err := s.Apply(documents(2), "", ""); return err }, []int{1, 2}},
		"keep": {func(s *Store) error {
			if _, err := s.Apply(documents(2), "", ""); err != nil {
				return err
			}
			return s.Keep("")
		}, []int{1, 2}},
		"undo": {func(s *Store) error {
			if _, err := s.Apply(documents(2), "", ""); err != nil {
				return err
			}
			return s.Undo("")
		}, []int{1, 2}},
		"keep, and another": {func(s *Store) error {
			if _, err := s.Apply(documents(2), "", ""); err != nil {
				return err
			}
			if err := s.Keep(""); err != nil {
				return err
			}
			_, err := s.Apply(documents(3), "", "")
			return err
		}, []int{1, 2, 3}},
	} {
		seen := make(map[int]int)
		for step := 0; ; step++ {
			lived := false
			for _, mid := range []bool{false, true} {
				d := &faulty{files: maps.Clone(before), left: step, mid: mid}
				s, err := open(d, clock())
				if err != nil {
					t.Fatal(err)
				}
				lived = change.do(s) == nil
				d.left, d.dead = -1, false // the next start
				s, err = open(d, clock())
				if err != nil {
					t.Fatalf("%s, killed at step %d: %v", name, step, err)
				}
				_, docs, err := s.Start()
				n := whole(docs)
				if err != nil || !contains(change.after, n) {
					t.Fatalf("%s, killed at step %d, in its middle %v: runs %d of %v, %v", name, step, mid, n, change.after, err)
				}
				seen[n]++
				// And it goes on.
				if s.State().Baking != 0 {
					if err := s.Undo(""); err != nil {
						t.Fatal(err)
					}
				}
				if _, err := s.Apply(documents(9), "", ""); err != nil {
					t.Fatalf("%s, killed at step %d: %v", name, step, err)
				}
				if _, docs, err := s.Start(); err != nil || whole(docs) != 9 {
					t.Fatalf("%s, killed at step %d: then %d, %v", name, step, whole(docs), err)
				}
				want := 5 // the one on trial, the good one and the state
				if s.State().Before != 0 {
					want += 2
				}
				if len(d.files) != want {
					t.Errorf("%s: %d files are left", name, len(d.files))
				}
			}
			if lived {
				if step < 4 {
					t.Errorf("%s has %d steps", name, step)
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

// A change after which the process crashes again and again is undone by the start after
// StartsMost of them; one that is kept in time is not.
func TestCrashes(t *testing.T) {
	d := &faulty{files: make(map[string][]byte), left: -1}
	start := func() (*Store, int) {
		s, err := open(d, clock())
		if err != nil {
			t.Fatal(err)
		}
		_, docs, err := s.Start()
		if err != nil {
			t.Fatal(err)
		}
		return s, whole(docs)
	}
	s, n := start()
	if n != -1 || s.State().Good != 0 {
		t.Errorf("an empty folder runs %d", n)
	}
	for n := 1; n <= 2; n++ {
		if _, err := s.Apply(documents(n), "", ""); err != nil {
			t.Fatal(err)
		}
	}
	for k := range StartsMost {
		if _, n := start(); n != 2 {
			t.Errorf("start %d runs %d", k, n)
		}
	}
	for range 2 {
		if s, n = start(); n != 1 || s.State().Baking != 0 {
			t.Errorf("runs %d, %+v", n, s.State())
		}
	}
	if e := s.State().Events; e[len(e)-1].What != "crashed" || e[len(e)-1].ID != 2 {
		t.Errorf("%+v", e)
	}
	if id, err := s.Apply(documents(3), "", ""); id != 3 || err != nil { // no number twice
		t.Errorf("%d, %v", id, err)
	}
	for range StartsMost {
		s, _ = start()
	}
	if err := s.Keep(""); err != nil {
		t.Fatal(err)
	}
	for range StartsMost + 2 {
		if _, n = start(); n != 3 {
			t.Errorf("kept, and runs %d", n)
		}
	}
}

// In any order of steps the state makes sense, a change on trial has one to go back to,
// and the history is bounded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Version: stateVersion}
		now := clock()
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
				if s, id = s.Start(now()); id != s.Good && id != s.Baking || before.Baking != 0 && before.Starts < StartsMost != (id == before.Baking) {
					t.Fatalf("starts %d after %+v", id, before)
				}
			}
			if err := s.check(); err != nil {
				t.Fatalf("%v: %+v", err, s)
			}
		}
		for _, e := range s.Events {
			if len(e.Why) > whyMost {
				t.Fatal("a reason is not bounded")
			}
		}
	})
}

// What becomes of what files say, by what is kept, on trial, undone and read before.
func TestRead(t *testing.T) {
	kept := State{Good: 1, Last: 1, Kept: "k", Undone: "u", Seen: "s"}
	trial := kept
	trial.Baking, trial.Last, trial.Trying = 2, 2, "t"
	for _, c := range []struct {
		of   State
		sum  string
		want Reading
	}{
		{kept, "s", Known}, {kept, "k", Known}, {kept, "u", Rejected}, {kept, "n", New}, {kept, "", New},
		{trial, "s", Known}, {trial, "t", Known}, {trial, "k", Back}, {trial, "u", Rejected}, {trial, "n", Waits},
	} {
		if got := c.of.Read(c.sum); got != c.want {
			t.Errorf("%+v: %q is %d, want %d", c.of, c.sum, got, c.want)
		}
	}
	// What was undone and is kept after all is no longer rejected.
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
	if s.Read("b") != Rejected || s.Read("a") != Known {
		t.Errorf("%+v", s)
	}
	step(s.Apply(at, "b", ""))
	step(s.Keep(at, ""))
	if s.Read("b") != Known || s.Read("a") != New || s.Undone != "" || s.Kept != "b" {
		t.Errorf("%+v", s)
	}
	step(s.Apply(at, "c", ""))
	step(s.Drop(at, ""))
	if s.Read("c") != New {
		t.Errorf("%+v", s)
	}
}

// A folder on a real disk: modes, what is no state, documents that are gone.
func TestFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "history")
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 3; n++ {
		if _, err := s.Apply(documents(n), "", "pushed"); err != nil {
			t.Fatal(err)
		}
		if n > 1 {
			if err := s.Keep("quiet"); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := s.Keep(""); !errors.Is(err, ErrIdle) {
		t.Errorf("%v", err)
	}
	entries, err := os.ReadDir(folder)
	if err != nil || len(entries) != 6 { // of two, the state and the lock
		t.Errorf("%v, %v", entries, err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err != nil || info.Mode().Perm() != 0o600 { // secrets may be in it
			t.Errorf("%s: %v, %v", e.Name(), info.Mode(), err)
		}
	}
	if _, err := Open(folder); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("two at once: %v", err)
	}
	s.Close()
	s, err = Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if id, docs, err := s.Start(); id != 3 || whole(docs) != 3 || err != nil {
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
		if _, err := open(dir(folder), clock()); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

func FuzzState(f *testing.F) {
	f.Add([]byte(`{"Version":1,"Last":2,"Good":1,"Baking":2,"Starts":1,"Events":[{"ID":1,"What":"kept"}]}`))
	f.Add([]byte(`{"Version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := open(&faulty{files: map[string][]byte{"state": data}, left: -1}, clock())
		if err != nil {
			return
		}
		next, id := s.State().Start(time.Unix(0, 0))
		if err := next.check(); err != nil || id != next.Good && id != next.Baking {
			t.Errorf("%s: %+v, %v", data, next, err)
		}
		if _, err := json.Marshal(next); err != nil {
			t.Error(err)
		}
	})
}
