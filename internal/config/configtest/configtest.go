// Package configtest writes a sidecar's files for tests.
package configtest

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chalkrack/internal/config"
)

// Pair is a configuration's two files in a folder.
type Pair struct{ Dir, Platform, Own string }

// New is a Pair of names; nothing is written yet.
func New(t *testing.T) *Pair {
	dir := t.TempDir()
	return &Pair{dir, filepath.Join(dir, "config.json"), filepath.Join(dir, "features.toml")}
}

// Getenv names the files as the environment does.
func (p *Pair) Getenv(name string) string {
	return map[string]string{"BALANCER_CONFIG": p.Platform, "FAWN_FEATURES": p.Own}[name]
}

// Write writes both files, the platform's with so many attempts and a seed of its own.
func (p *Pair) Write(t *testing.T, attempts int, own string) {
	t.Helper()
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%016x","limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"replicasOfMe":1,"zone":"z","caps":{"attemptsCap":%d,"connIdleUs":30000000,"dialTimeoutUs":250000},"guarantees":{"drainGraceUs":2000000},
"classes":[{"name":"activate","effect":"once","promiseUs":1000000,"hardLimitUs":3000000}]}}`, 1+attempts, time.Now().UnixNano(), attempts)
	for path, data := range map[string]string{p.Platform: text, p.Own: "version = 1\n" + own} {
		if err := os.WriteFile(path, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Load reads them.
func (p *Pair) Load(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Load(p.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
