package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	good, bad := filepath.Join("..", "..", "deploy", "features.toml"), filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("version = 1\nsurprise = 2\n[answers]\nmore = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   string
		status int
		out    string
		err    string
	}{
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
		var out, err bytes.Buffer
		status := run(strings.Fields(c.args), &streams{strings.NewReader(""), &out, &err})
		if status != c.status || !strings.Contains(out.String(), c.out) || !strings.Contains(err.String(), c.err) {
			t.Errorf("%s: exit %d\n%s\n%s", c.args, status, out.String(), err.String())
		}
	}
}
