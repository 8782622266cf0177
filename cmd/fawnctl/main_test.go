package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/standin"
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

// The exit statuses of the commands that ask a daemon, send load and read traces.
func TestStatuses(t *testing.T) {
	dir := t.TempDir()
	short := filepath.Join(dir, "short.toml")
	text := "version = 1\nlength = \"300ms\"\n[[arrivals]]\nkind = \"constant\"\nrate = 50\n[limits]\nlag = \"10s\"\ncpu = 1000.0\n"
	if err := os.WriteFile(short, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	server, err := standin.NewServer(standin.ServerConfig{Name: "s"})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	log := filepath.Join(dir, "log")
	os.WriteFile(log, []byte(`{"msg":"story","story":{"class":"activate","worth":10,"end":"refused"}}`+"\n"), 0o600)
	recording := filepath.Join(dir, "calls.csv")
	os.WriteFile(recording, []byte("ts,kind\n1700000000,activate\n1700000001,activate\nx,y\n"), 0o600)
	for _, c := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"status", "--socket", filepath.Join(dir, "none")}, 3, "can't be asked"},
		{[]string{"bodies", "--socket", filepath.Join(dir, "none"), "--json"}, 3, "can't be asked"},
		{[]string{"load", "run", short, "--target", "192.0.2.1:80"}, 1, "not a loopback"},
		{[]string{"load", "run", short, "--target", server.Addr()}, 0, "these figures hold"},
		{[]string{"load", "run", short, "--target", server.Addr(), "--json", "-"}, 0, `"figures_hold":true`},
		{[]string{"load", "run", short, "--target", server.Addr(), "--html", filepath.Join(dir, "r.html")}, 0, "all, naive"},
		{[]string{"load", "run", filepath.Join(dir, "none.toml"), "--target", server.Addr()}, 1, "the library has"},
		{[]string{"load", "import", recording, "--form", "csv", "--columns", "at=ts;class=kind", "--out", filepath.Join(dir, "t")}, 0, "2 of 3 lines taken"},
		{[]string{"rehearse", "--list"}, 0, "quiet-day"},
		{[]string{"rehearse", short}, 1, "no [site]"},
		{[]string{"explain", log}, 0, "no server is listed"},
		{[]string{"explain", log, "--against", log, "--json"}, 0, `"worth_a":10`},
	} {
		var out, errs bytes.Buffer
		if got := run(c.args, &streams{strings.NewReader(""), &out, &errs}); got != c.status || !strings.Contains(out.String()+errs.String(), c.says) {
			t.Errorf("%v: status %d, want %d with %q\n%s%s", c.args, got, c.status, c.says, out.String(), errs.String())
		}
	}
}
