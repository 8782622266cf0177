package config_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/config"
	"chalkrack/internal/config/configtest"
)

// Which configuration a start runs, by what the files say and what is remembered. The
// address of discovery is the files' always.
func TestRecall(t *testing.T) {
	p := configtest.New(t)
	folder := filepath.Join(p.Dir, "memory")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	own := fmt.Sprintf("[config]\nenabled = true\nfolder = %q\n", folder)
	for n, c := range []struct {
		files, runs int
		trial       bool
	}{
		{5, 5, false}, {5, 5, false}, // the first one is kept
		{4, 4, true}, {4, 4, true}, {4, 4, true}, {4, 4, true}, // changed while nobody was there, and started again
		{4, 5, false}, {4, 5, false}, // once too often; the files hold what was undone
		{3, 3, true}, {2, 2, true}, {3, 3, true}, // what gave way to another was not found bad
		{5, 5, false}, // back
		{4, 5, false}, // still what was undone last
	} {
		p.Write(t, c.files, own)
		got, err := config.Recall(p.Load(t))
		if err != nil {
			t.Fatalf("start %d: %v", n, err)
		}
		if got.Settings.Config.MaxAttempts != c.runs || got.Trial != c.trial || got.Discovery != fmt.Sprintf("127.0.0.1:%d", 1+c.files) {
			t.Errorf("start %d: files say %d: %d attempts, on trial %v, discovery %s", n, c.files, got.Settings.Config.MaxAttempts, got.Trial, got.Discovery)
		}
		if n == 0 { // two at once
			if _, err := config.Recall(p.Load(t)); err == nil || !strings.Contains(err.Error(), "another process") {
				t.Errorf("%v", err)
			}
		}
		got.Store.Close()
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if err := os.WriteFile(f, []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := config.Recall(p.Load(t)); err == nil || !strings.Contains(err.Error(), "as remembered") {
		t.Errorf("spoilt documents: %v", err)
	}
	p.Write(t, 3, "[config]\nenabled = true\n")
	if got, err := config.Recall(p.Load(t)); err != nil || got.Lasting || got.ID() != 1 {
		t.Errorf("without a folder: %+v, %v", got, err)
	}
	p.Write(t, 3, "")
	if got, err := config.Recall(p.Load(t)); err != nil || got.Store != nil {
		t.Errorf("off: %+v, %v", got, err)
	}
}

// A file that is half written is waited for, also where the half is good by itself; one
// that never rests is not taken.
func TestReadTwice(t *testing.T) {
	p := configtest.New(t)
	const half, whole = "[paths]\n\"/a\" = \"activate\"\n", "[paths]\n\"/a\" = \"activate\"\n\"/b\" = \"activate\"\n"
	p.Write(t, 5, half)
	pauses := 0
	_, own, _, err := config.ReadTwice(p.Getenv, func() {
		if pauses++; pauses == 1 {
			p.Write(t, 5, whole)
		}
	})
	if err != nil || !bytes.Contains(own, []byte(`"/b"`)) || pauses < 2 {
		t.Errorf("%q after %d pauses, %v", own, pauses, err)
	}
	if _, _, _, err := config.ReadTwice(p.Getenv, func() { p.Write(t, 5, whole) }); err == nil || !strings.Contains(err.Error(), "changing") {
		t.Errorf("%v", err)
	}
	if _, _, _, err := config.ReadTwice(p.Getenv, func() { os.Remove(p.Own) }); err == nil {
		t.Error("a file that goes is taken")
	}
}
