package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The daemon that the deploy file builds must be linked dynamically and name an interpreter,
// because libraries that the platform preloads into the process have no effect otherwise. The run
// command must exec the daemon, so that it replaces the shell.
func TestDaemonIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	setting := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if m == nil {
			t.Fatalf("the deploy file has no key %s", key)
		}
		return string(m[1])
	}
	if run := setting("run"); run != "exec bin/fawnrock" {
		t.Errorf("run is %q, want the daemon with exec", run)
	}
	dir := t.TempDir()
	cmd := exec.Command("sh", "-c", strings.ReplaceAll(setting("build"), "bin", dir))
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build command: %v: %s", err, out)
	}
	daemon, err := elf.Open(filepath.Join(dir, "fawnrock"))
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Close()
	for _, p := range daemon.Progs {
		if p.Type == elf.PT_INTERP {
			return
		}
	}
	t.Error("the daemon names no interpreter: it is not linked dynamically")
}
