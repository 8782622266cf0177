package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// example is a use of the program: its arguments, and its exit status with a part of
// what it writes.
type example struct {
	args     string
	status   int
	out, err string
}

// try runs it, behind the command's words, and returns all that it wrote.
func (e example) try(t *testing.T, command ...string) string {
	t.Helper()
	var out, err bytes.Buffer
	status := run(append(command, strings.Fields(e.args)...), &streams{strings.NewReader(""), &out, &err})
	if status != e.status || !strings.Contains(out.String(), e.out) || !strings.Contains(err.String(), e.err) {
		t.Errorf("%s: exit %d\n%s\n%s", e.args, status, out.String(), err.String())
	}
	return out.String() + err.String()
}

func TestRun(t *testing.T) {
	good, bad := filepath.Join("..", "..", "deploy", "features.toml"), filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("version = 1\nsurprise = 2\n[answers]\nmore = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []example{
		{"check " + good, 0, "good", ""},
		{"check " + bad, 1, "", bad + ":4: answers.more: there is no such field"},
		{"check " + good + " " + bad, 1, "good", bad + ":2: surprise"},
		{"check nowhere", 1, "", "nowhere"},
		{"check", 1, "", "file"},
		{"--help", 0, "demo", ""},
		{"elsewhere", 1, "", "elsewhere"},
		{"demo --for 300ms --no-keys", 0, "summary", ""},
		{"demo --radius --for 1500ms --no-keys", 0, "counted twice: 0", ""},
		{"demo --servers 0 --for 300ms", 1, "", "servers"},
		{"demo --script nonsense", 1, "", "--script"},
		{"demo --script @nowhere", 1, "", "nowhere"},
	} {
		c.try(t)
	}
}
