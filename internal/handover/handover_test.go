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

const testTimeout = 20 * time.Second

func openFolder(t *testing.T, dir string) *Folder {
	t.Helper()
	f, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Only living processes count. A killed process leaves its files; they must neither count
// nor stay in the folder.
func TestProcessesAfterKill(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "shared")
	a, b := openFolder(t, dir), openFolder(t, dir)
	for _, f := range []*Folder{a, b} {
		if others, requesting := f.Processes(); others != 1 || len(requesting) != 0 {
			t.Errorf("%d other processes, %q request state; want 1 and none", others, requesting)
		}
	}
	os.WriteFile(b.path(requestPrefix+b.id), nil, 0o600)
	b.presence.Close() // a kill releases the lock and leaves the files
	if others, _ := a.Processes(); others != 0 {
		t.Errorf("%d other processes after the kill", others)
	}
	if _, requesting := a.Processes(); len(requesting) != 0 {
		t.Errorf("request of a dead process is still reported: %q", requesting)
	}
	c := openFolder(t, dir)
	defer c.Close()
	a.Close()
	if others, _ := c.Processes(); others != 0 {
		t.Errorf("%d other processes after all closed", others)
	}
	if left := c.names(); len(left) != 1 {
		t.Errorf("files left in the folder: %q", left)
	}
}

// Open removes old temporary files, which killed processes left, and keeps fresh ones,
// which a living process may be writing.
func TestRemoveStaleFiles(t *testing.T) {
	dir := t.TempDir()
	long := time.Now().Add(-2 * staleAfter)
	for _, name := range []string{"new-1-old", "new-2-fresh"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Chtimes(filepath.Join(dir, "new-1-old"), long, long); err != nil {
		t.Fatal(err)
	}
	f := openFolder(t, dir)
	defer f.Close()
	if names := strings.Join(f.names(), " "); strings.Contains(names, "old") || !strings.Contains(names, "fresh") {
		t.Errorf("files after Open: %s; want the fresh one without the old one", names)
	}
}

// A request is answered with the whole state of another process. Without another process
// it times out, so that a start is not held up.
func TestRequestAndSendState(t *testing.T) {
	dir := t.TempDir()
	a, b := openFolder(t, dir), openFolder(t, dir)
	defer a.Close()
	defer b.Close()
	var v struct{ N int }
	if err := b.RequestState(&v, 30*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("request without an answer: %v, want a timeout", err)
	}
	if _, requesting := a.Processes(); len(requesting) != 0 {
		t.Errorf("request left after its timeout: %q", requesting)
	}
	result := make(chan error, 1)
	go func() { result <- b.RequestState(&v, testTimeout) }()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if _, requesting := a.Processes(); len(requesting) == 1 {
			if err := a.SendState(requesting[0], map[string]int{"N": 7}); err != nil {
				t.Fatal(err)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("no request seen")
		}
	}
	if err := <-result; err != nil || v.N != 7 {
		t.Errorf("received %d, %v; want 7", v.N, err)
	}
	if err := a.SendState("x", strings.Repeat("x", MaxFileBytes)); !errors.Is(err, ErrTooLong) {
		t.Errorf("state longer than MaxFileBytes: %v, want ErrTooLong", err)
	}
}

// Each process reads a change of the operators once, and concurrent changes of two
// processes are both kept. Without the lock, one would overwrite the other.
func TestOperatorState(t *testing.T) {
	dir := t.TempDir()
	folders := []*Folder{openFolder(t, dir), openFolder(t, dir)}
	var v int
	if folders[0].ReadOperatorState(&v) {
		t.Error("read a change before any was made")
	}
	const each = 50
	finished := make(chan error, 2)
	for _, f := range folders {
		go func() {
			sum := 0
			for range each {
				if err := f.UpdateOperatorState(func() (any, bool) { f.ReadOperatorState(&sum); sum++; return sum, true }); err != nil {
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
	last := openFolder(t, dir)
	if !last.ReadOperatorState(&v) || v != 2*each {
		t.Errorf("%d changes kept of %d", v, 2*each)
	}
	if last.ReadOperatorState(&v) {
		t.Error("the same change is read twice")
	}
	refused := last.UpdateOperatorState(func() (any, bool) { return nil, false })
	if refused != nil || last.ReadOperatorState(&v) {
		t.Errorf("a refused change is written, or returned the error %v", refused)
	}
}

// A file that is incomplete, of another version, of another kind or too long is not used.
func TestInvalidFilesAreIgnored(t *testing.T) {
	good, err := Encode(operatorFile, map[string]int{"N": 1})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"empty":         {nil, ErrIncomplete},
		"cut":           {good[:len(good)-1], ErrIncomplete},
		"changed":       {bytes.Replace(good, []byte(`:1`), []byte(`:2`), 1), ErrIncomplete},
		"version":       {bytes.Replace(good, []byte("handover 1"), []byte("handover 2"), 1), ErrVersion},
		"kind":          {bytes.Replace(good, []byte(operatorFile), []byte(answerPrefix), 1), ErrVersion},
		"long":          {make([]byte, MaxFileBytes+1), ErrTooLong},
		"no line, long": {bytes.Repeat([]byte("x"), 1000), ErrIncomplete},
	} {
		dir := t.TempDir()
		f := openFolder(t, dir)
		if err := os.WriteFile(f.path(operatorFile), c.data, 0o600); err != nil {
			t.Fatal(err)
		}
		var v struct{ N int }
		if err := Decode(operatorFile, c.data, &v); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if f.ReadOperatorState(&v) || v.N != 0 {
			t.Errorf("%s: the file is used", name)
		}
		f.Close()
	}
}

func FuzzDecode(f *testing.F) {
	good, err := Encode(operatorFile, []int{1, 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(fileVersion + " done \n"))
	f.Add([]byte("\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var v []int
		if Decode(operatorFile, data, &v) != nil {
			return
		}
		again, err := Encode(operatorFile, v)
		var w []int
		if err != nil || Decode(operatorFile, again, &w) != nil || len(w) != len(v) {
			t.Errorf("%q: decoded as %v; encoded and decoded again as %v, %v", data, v, w, err)
		}
	})
}
