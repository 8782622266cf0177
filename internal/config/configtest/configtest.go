// Package configtest writes and loads the configuration files of a sidecar in tests.
package configtest

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chalkrack/internal/config"
)

// Files holds the paths of a configuration's two files and of their folder.
type Files struct{ Dir, Platform, Features string }

// New returns the paths of both files in a temporary folder. It does not create the files.
func New(t *testing.T) *Files {
	dir := t.TempDir()
	return &Files{dir, filepath.Join(dir, "config.json"), filepath.Join(dir, "features.toml")}
}

// Getenv returns the environment variables that name the files.
func (p *Files) Getenv(name string) string {
	return map[string]string{"BALANCER_CONFIG": p.Platform, "FAWN_FEATURES": p.Features}[name]
}

// Write writes both files. The platform's file has the given limit of attempts and a new
// seed, and the port of its discovery is attempts + 1.
func (p *Files) Write(t *testing.T, attempts int, own string) {
	t.Helper()
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%016x","limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"replicasOfMe":1,"zone":"z","caps":{"attemptsCap":%d,"connIdleUs":30000000,"dialTimeoutUs":250000},"guarantees":{"drainGraceUs":2000000},
"classes":[{"name":"activate","effect":"once","promiseUs":1000000,"hardLimitUs":3000000}]}}`, 1+attempts, time.Now().UnixNano(), attempts)
	for path, data := range map[string]string{p.Platform: text, p.Features: "version = 1\n" + own} {
		if err := os.WriteFile(path, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Load loads the configuration from the files and fails the test if it is invalid.
func (p *Files) Load(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Load(p.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
