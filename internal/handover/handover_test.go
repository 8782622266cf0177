package handover

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const patience = 20 * time.Second

func enter(t *testing.T, dir string) *Folder {
	t.Helper()
	f, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Processes see who lives, also where one of them was killed and left its files.
func TestAround(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "shared")
	a, b := enter(t, dir), enter(t, dir)
	for _, f := range []*Folder{a, b} {
		if others, asking := f.Around(); others != 1 || len(asking) != 0 {
			t.Errorf("%d others, %q ask", others, asking)
		}
	}
	os.WriteFile(b.path(wants+b.me), nil, 0o600)
	b.lock.Close() // as a kill does
	if others, _ := a.Around(); others != 0 {
		t.Errorf("%d others after the kill", others)
	}
	if _, asking := a.Around(); len(asking) != 0 {
		t.Errorf("a dead process asks: %q", asking)
	}
	c := enter(t, dir)
	defer c.Close()
	a.Close()
	if others, _ := c.Around(); others != 0 {
		t.Errorf("%d others after all left", others)
	}
	if left := c.names(); len(left) != 1 {
		t.Errorf("left behind: %q", left)
	}
}

// What a killed process was writing goes with the next start, what is being written not.
func TestTidy(t *testing.T) {
	dir := t.TempDir()
	long := time.Now().Add(-2 * leftAfter)
	for _, name := range []string{"new-1-old", "new-2-fresh"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Chtimes(filepath.Join(dir, "new-1-old"), long, long); err != nil {
		t.Fatal(err)
	}
	f := enter(t, dir)
	defer f.Close()
	if names := strings.Join(f.names(), " "); strings.Contains(names, "old") || !strings.Contains(names, "fresh") {
		t.Errorf("left: %s", names)
	}
}

// Who asks is told what another has learnt, whole; with nobody there it waits no longer
// than it said.
func TestAskAndTell(t *testing.T) {
	dir := t.TempDir()
	a, b := enter(t, dir), enter(t, dir)
	defer a.Close()
	defer b.Close()
	var v struct{ N int }
	if err := b.Ask(&v, 30*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nobody to answer: %v", err)
	}
	if _, asking := a.Around(); len(asking) != 0 {
		t.Errorf("asks still: %q", asking)
	}
	told := make(chan error, 1)
	go func() { told <- b.Ask(&v, patience) }()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if _, asking := a.Around(); len(asking) == 1 {
			if err := a.Tell(asking[0], map[string]int{"N": 7}); err != nil {
				t.Fatal(err)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("nobody asks")
		}
	}
	if err := <-told; err != nil || v.N != 7 {
		t.Errorf("told %d, %v", v.N, err)
	}
	if err := a.Tell("x", strings.Repeat("x", Most)); !errors.Is(err, ErrLong) {
		t.Errorf("too much to tell: %v", err)
	}
}

// What operators have done is seen once by each other process, and changes of two
// processes at once are both kept.
func TestDone(t *testing.T) {
	dir := t.TempDir()
	folders := []*Folder{enter(t, dir), enter(t, dir)}
	var v int
	if folders[0].Done(&v) {
		t.Error("done before anything was")
	}
	const each = 50
	finished := make(chan error, 2)
	for _, f := range folders {
		go func() {
			sum := 0
			for range each {
				if err := f.Change(func() (any, bool) { f.Done(&sum); sum++; return sum, true }); err != nil {
					finished <- err
					return
				}
			}
			finished <- nil
		}()
	}
	for range folders {
		if err := <-finished; err != nil {
			t.Fatal(err)
		}
	}
	last := enter(t, dir)
	if !last.Done(&v) || v != 2*each {
		t.Errorf("%d changes kept of %d", v, 2*each)
	}
	if last.Done(&v) {
		t.Error("seen twice")
	}
	refused := last.Change(func() (any, bool) { return nil, false })
	if refused != nil || last.Done(&v) {
		t.Errorf("a change that was refused is written: %v", refused)
	}
}

// A file that is torn, of another version, of another kind or too long is not used.
func TestBadFiles(t *testing.T) {
	good, err := Encode(done, map[string]int{"N": 1})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"empty":         {nil, ErrTorn},
		"cut":           {good[:len(good)-1], ErrTorn},
		"changed":       {bytes.Replace(good, []byte(`:1`), []byte(`:2`), 1), ErrTorn},
		"version":       {bytes.Replace(good, []byte("handover 1"), []byte("handover 2"), 1), ErrVersion},
		"kind":          {bytes.Replace(good, []byte(done), []byte(learnt), 1), ErrVersion},
		"long":          {make([]byte, Most+1), ErrLong},
		"no line, long": {bytes.Repeat([]byte("x"), 1000), ErrTorn},
	} {
		dir := t.TempDir()
		f := enter(t, dir)
		if err := os.WriteFile(f.path(done), c.data, 0o600); err != nil {
			t.Fatal(err)
		}
		var v struct{ N int }
		if err := Decode(done, c.data, &v); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if f.Done(&v) || v.N != 0 {
			t.Errorf("%s: used", name)
		}
		f.Close()
	}
}

func FuzzDecode(f *testing.F) {
	good, err := Encode(done, []int{1, 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(version + " done \n"))
	f.Add([]byte("\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var v []int
		if Decode(done, data, &v) != nil {
			return
		}
		again, err := Encode(done, v)
		var w []int
		if err != nil || Decode(done, again, &w) != nil || len(w) != len(v) {
			t.Errorf("%q: read as %v, then %v, %v", data, v, w, err)
		}
	})
}
