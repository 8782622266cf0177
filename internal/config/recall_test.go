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

// Checks which configuration a start runs, given the files and the stored history. The
// address of discovery always comes from the files.
func TestRecallSelectsConfiguration(t *testing.T) {
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
		{5, 5, false}, {5, 5, false}, // the first configuration is kept
		{4, 4, true}, {4, 4, true}, {4, 4, true}, {4, 4, true}, // changed while the sidecar was not running, then restarted
		{4, 5, false}, {4, 5, false}, // one restart too many: undone, although the files still contain it
		{3, 3, true}, {2, 2, true}, {3, 3, true}, // a configuration that was replaced during its trial may be tried again
		{5, 5, false}, // the files contain the kept configuration again
		{4, 5, false}, // still the configuration that was undone last
	} {
		p.Write(t, c.files, own)
		got, err := config.RestoreHistory(p.Load(t))
		if err != nil {
			t.Fatalf("start %d: %v", n, err)
		}
		if got.Settings.Config.MaxAttempts != c.runs || got.OnTrial != c.trial || got.Discovery != fmt.Sprintf("127.0.0.1:%d", 1+c.files) {
			t.Errorf("start %d: files have %d attempts: got %d attempts, on trial %v, discovery %s", n, c.files, got.Settings.Config.MaxAttempts, got.OnTrial, got.Discovery)
		}
		if n == 0 { // two processes use the folder at once
			if _, err := config.RestoreHistory(p.Load(t)); err == nil || !strings.Contains(err.Error(), "another process") {
				t.Errorf("second Recall = %v, want an error about another process", err)
			}
		}
		got.History.Close()
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
	if _, err := config.RestoreHistory(p.Load(t)); err == nil || !strings.Contains(err.Error(), "stored configuration ") {
		t.Errorf("Recall with corrupt documents = %v", err)
	}
	p.Write(t, 3, "[config]\nenabled = true\n")
	if got, err := config.RestoreHistory(p.Load(t)); err != nil || got.IsPersistent || got.ID() != 1 {
		t.Errorf("Recall without a folder = %+v, %v", got, err)
	}
	p.Write(t, 3, "")
	if got, err := config.RestoreHistory(p.Load(t)); err != nil || got.History != nil {
		t.Errorf("Recall with changes disabled = %+v, %v", got, err)
	}
}

// A partly written file is read again until it is complete, even if the first part is valid
// by itself. Files that keep changing or disappear are rejected.
func TestReadTwiceWaitsForCompleteFiles(t *testing.T) {
	p := configtest.New(t)
	const half, whole = "[paths]\n\"/a\" = \"activate\"\n", "[paths]\n\"/a\" = \"activate\"\n\"/b\" = \"activate\"\n"
	p.Write(t, 5, half)
	pauses := 0
	_, own, _, err := config.ReadStable(p.Getenv, func() {
		if pauses++; pauses == 1 {
			p.Write(t, 5, whole)
		}
	})
	if err != nil || !bytes.Contains(own, []byte(`"/b"`)) || pauses < 2 {
		t.Errorf("ReadStable = %q after %d pauses, %v", own, pauses, err)
	}
	if _, _, _, err := config.ReadStable(p.Getenv, func() { p.Write(t, 5, whole) }); err == nil || !strings.Contains(err.Error(), "changing") {
		t.Errorf("ReadStable of changing files = %v", err)
	}
	if _, _, _, err := config.ReadStable(p.Getenv, func() { os.Remove(p.Features) }); err == nil {
		t.Error("ReadStable accepts a file that was removed")
	}
}
