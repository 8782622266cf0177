package durable

import (
	"os"
	"path/filepath"
	"testing"
)

// Replace writes the complete content with mode 0600 and leaves no temporary file. On an
// error the old file stays as it was.
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
	// If the temporary file can't be written, the old file stays as it was.
	if err := os.Mkdir(path+".new", 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(path, []byte("the third")); err == nil {
		t.Error("Replace succeeded although the temporary name is a folder")
	}
	if got, err := os.ReadFile(path); string(got) != "the second" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if err := Replace(filepath.Join(folder, "nowhere", "file"), nil); err == nil {
		t.Error("Replace succeeded in a folder that does not exist")
	}
}
