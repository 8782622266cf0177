package durable

import (
	"os"
	"path/filepath"
	"testing"
)

func TestReplace(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "file")
	for _, text := range []string{"the first, and longer", "the second"} {
		if err := Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path); string(got) != text || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info, err)
	}
	if all, err := os.ReadDir(folder); len(all) != 1 || err != nil {
		t.Errorf("%v, %v", all, err)
	}
	// What can't be written leaves the old file as it was.
	if err := os.Mkdir(path+".new", 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(path, []byte("the third")); err == nil {
		t.Error("written over a folder")
	}
	if got, err := os.ReadFile(path); string(got) != "the second" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if err := Replace(filepath.Join(folder, "nowhere", "file"), nil); err == nil {
		t.Error("written where there is no folder")
	}
}
