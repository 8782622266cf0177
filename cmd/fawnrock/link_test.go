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

// The daemon that the deploy file builds is linked dynamically and names an interpreter:
// what the platform loads into the process beside it is only then taken up. run ends by
// exec in it.
func TestDaemonIsLinkedDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	setting := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if m == nil {
			t.Fatalf("no %s", key)
		}
		return string(m[1])
	}
	if run := setting("run"); run != "exec bin/fawnrock" {
		t.Errorf("run is %q", run)
	}
	dir := t.TempDir()
	cmd := exec.Command("sh", "-c", strings.ReplaceAll(setting("build"), "bin", dir))
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
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
	t.Error("the daemon names no interpreter")
}
