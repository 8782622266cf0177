package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/consensus"
)

// Guards the output and exit status of the settings and council commands against a council of one
// member: proposals that are repeated, outdated or invalid, and a council that can't be reached.
func TestCouncilCommands(t *testing.T) {
	dir := t.TempDir()
	cfg := consensus.DefaultConfig()
	cfg.Fleet, cfg.Name, cfg.Listen, cfg.Folder, cfg.Key = "f", "a", "127.0.0.1:0", filepath.Join(dir, "log"), "sixteen bytes and more"
	cfg.Members = map[string]string{"a": "127.0.0.1:1"}
	runningMember, err := consensus.Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- runningMember.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		runningMember.Close()
	}()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	memberFile := writeFile("member.toml", fmt.Sprintf("key = %q\n[members]\na = %q\n", cfg.Key, runningMember.Addr()))
	unreachableFile := writeFile("away.toml", fmt.Sprintf("key = %q\n[members]\na = \"127.0.0.1:1\"\n", cfg.Key))
	proposalFile := writeFile("first.toml", "[rules]\n\"class/a\" = 1\n[floor]\n\"class/a\" = 1\n")
	invalidFile := writeFile("bad.toml", "[rules]\n\"class/a\" = 9\n")
	for _, c := range []struct {
		args   string
		status int
		want   string // part of the output
	}{
		{"settings show", 0, "version 0, settled"},
		{"settings propose " + proposalFile + " --base 0 --reason first --who kim --key k1", 0, "version 1 is in force and settled"},
		{"settings propose " + proposalFile + " --base 0 --reason first --who kim --key k1", 0, "version 1 is in force and settled"},
		{"settings propose " + proposalFile + " --base 0 --reason more", 1, "version 1, not 0"},
		{"settings propose " + invalidFile + " --base 1 --reason more", 1, "class/a: level 9, 2 at most"},
		{"settings propose " + invalidFile + "x --base 1 --reason more", 1, "no such file"},
		{"settings show", 0, "by kim: first"},
		{"settings show --json", 0, `"who": "kim"`},
		{"settings history", 0, "in force"},
		{"settings bound", 0, "14.091s"},
		{"settings withdraw 3 --reason no", 1, "no such proposal"},
		{"settings forget car --reason gone", 1, "no such sidecar"},
		{"council status", 0, "true"},
		{"council remove 5 --reason x", 1, "unknown flag"},
		{"council remove 5", 1, "can't be made"},
		{"council add 5 a 127.0.0.1:7", 1, "the name or the address is another's"},
	} {
		var out bytes.Buffer
		args := append(strings.Fields(c.args), "--council", memberFile)
		if status := run(args, &stdStreams{strings.NewReader(""), &out, &out}); status != c.status || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %d, %s", c.args, status, out.String())
		}
	}
	var out bytes.Buffer
	if status := run([]string{"council", "status", "--council", unreachableFile}, &stdStreams{strings.NewReader(""), &out, &out}); status != 1 || !strings.Contains(out.String(), "nobody leads") {
		t.Errorf("an unreachable council: %d, %s", status, out.String())
	}
	if status := run([]string{"council", "status", "--council", invalidFile}, &stdStreams{strings.NewReader(""), &out, &out}); status != 1 || !strings.Contains(out.String(), "rules") {
		t.Errorf("a file without a council: %d, %s", status, out.String())
	}
}
