package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/council"
)

// What operators ask of a council, what they are told, and with which exit status.
func TestCouncilCommands(t *testing.T) {
	dir := t.TempDir()
	cfg := council.Default()
	cfg.Fleet, cfg.Name, cfg.Listen, cfg.Folder, cfg.Key = "f", "a", "127.0.0.1:0", filepath.Join(dir, "log"), "sixteen bytes and more"
	cfg.Members = map[string]string{"a": "127.0.0.1:1"}
	s, err := council.Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		s.Close()
	}()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	member := file("member.toml", fmt.Sprintf("key = %q\n[members]\na = %q\n", cfg.Key, s.Addr()))
	away := file("away.toml", fmt.Sprintf("key = %q\n[members]\na = \"127.0.0.1:1\"\n", cfg.Key))
	first := file("first.toml", "[rules]\n\"class/a\" = 1\n[floor]\n\"class/a\" = 1\n")
	bad := file("bad.toml", "[rules]\n\"class/a\" = 9\n")
	for _, c := range []struct {
		args   string
		status int
		want   string // in what is written
	}{
		{"settings show", 0, "version 0, settled"},
		{"settings propose " + first + " --base 0 --reason first --who kim --key k1", 0, "version 1 is in force and settled"},
		{"settings propose " + first + " --base 0 --reason first --who kim --key k1", 0, "version 1 is in force and settled"},
		{"settings propose " + first + " --base 0 --reason more", 1, "version 1, not 0"},
		{"settings propose " + bad + " --base 1 --reason more", 1, "class/a: level 9, 2 at most"},
		{"settings propose " + bad + "x --base 1 --reason more", 1, "no such file"},
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
		args := append(strings.Fields(c.args), "--council", member)
		if status := run(args, &streams{strings.NewReader(""), &out, &out}); status != c.status || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %d, %s", c.args, status, out.String())
		}
	}
	var out bytes.Buffer
	if status := run([]string{"council", "status", "--council", away}, &streams{strings.NewReader(""), &out, &out}); status != 1 || !strings.Contains(out.String(), "nobody leads") {
		t.Errorf("away: %d, %s", status, out.String())
	}
	if status := run([]string{"council", "status", "--council", bad}, &streams{strings.NewReader(""), &out, &out}); status != 1 || !strings.Contains(out.String(), "rules") {
		t.Errorf("no council's file: %d, %s", status, out.String())
	}
}
