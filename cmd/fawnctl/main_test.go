package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/standin"
)

// commandCase is one run of the program: its arguments, the wanted exit status, and texts that its
// standard output and standard error must contain.
type commandCase struct {
	args             string
	wantStatus       int
	wantOut, wantErr string
}

// runAndCheck runs the program with the command words before the arguments, checks the result, and
// returns all output.
func (e commandCase) runAndCheck(t *testing.T, words ...string) string {
	t.Helper()
	var out, err bytes.Buffer
	status := run(append(words, strings.Fields(e.args)...), &stdStreams{strings.NewReader(""), &out, &err})
	if status != e.wantStatus || !strings.Contains(out.String(), e.wantOut) || !strings.Contains(err.String(), e.wantErr) {
		t.Errorf("%s: exit %d\n%s\n%s", e.args, status, out.String(), err.String())
	}
	return out.String() + err.String()
}

// Guards the exit statuses of check and demo: a script relies on them, so a file with a problem, a
// missing file and a wrong flag must each give 1 and name the file or flag.
func TestCheckAndDemoCommands(t *testing.T) {
	goodFile, badFile := filepath.Join("..", "..", "deploy", "features.toml"), filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(badFile, []byte("version = 1\nsurprise = 2\n[answers]\nmore = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []commandCase{
		{"check " + goodFile, 0, "good", ""},
		{"check " + badFile, 1, "", badFile + ":4: answers.more: there is no such field"},
		{"check " + goodFile + " " + badFile, 1, "good", badFile + ":2: surprise"},
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
		c.runAndCheck(t)
	}
}

// Guards the exit statuses of status, bodies, load, rehearse and explain: a daemon that can't be
// reached gives 3, an error in the arguments or files gives 1.
func TestStatusLoadRehearseAndExplainCommands(t *testing.T) {
	dir := t.TempDir()
	scenario := filepath.Join(dir, "short.toml")
	text := "version = 1\nlength = \"300ms\"\n[[arrivals]]\nkind = \"constant\"\nrate = 50\n[limits]\nlag = \"10s\"\ncpu = 1000.0\n"
	if err := os.WriteFile(scenario, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	server, err := standin.NewServer(standin.ServerConfig{Name: "s"})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	traceLog := filepath.Join(dir, "log")
	os.WriteFile(traceLog, []byte(`{"msg":"story","story":{"class":"activate","worth":10,"end":"refused"}}`+"\n"), 0o600)
	recording := filepath.Join(dir, "calls.csv")
	os.WriteFile(recording, []byte("ts,kind\n1700000000,activate\n1700000001,activate\nx,y\n"), 0o600)
	for _, c := range []struct {
		args       []string
		wantStatus int
		want       string
	}{
		{[]string{"status", "--socket", filepath.Join(dir, "none")}, 3, "can't be asked"},
		{[]string{"bodies", "--socket", filepath.Join(dir, "none"), "--json"}, 3, "can't be asked"},
		{[]string{"load", "run", scenario, "--target", "192.0.2.1:80"}, 1, "not a loopback"},
		{[]string{"load", "run", scenario, "--target", server.Addr()}, 0, "these figures hold"},
		{[]string{"load", "run", scenario, "--target", server.Addr(), "--json", "-"}, 0, `"figures_hold":true`},
		{[]string{"load", "run", scenario, "--target", server.Addr(), "--html", filepath.Join(dir, "r.html")}, 0, "all, naive"},
		{[]string{"load", "run", filepath.Join(dir, "none.toml"), "--target", server.Addr()}, 1, "the library has"},
		{[]string{"load", "import", recording, "--form", "csv", "--columns", "at=ts;class=kind", "--out", filepath.Join(dir, "t")}, 0, "2 of 3 lines taken"},
		{[]string{"rehearse", "--list"}, 0, "quiet-day"},
		{[]string{"rehearse", scenario}, 1, "no [site]"},
		{[]string{"explain", traceLog}, 0, "no server is listed"},
		{[]string{"explain", traceLog, "--against", traceLog, "--json"}, 0, `"worth_a":10`},
	} {
		var out, errs bytes.Buffer
		if got := run(c.args, &stdStreams{strings.NewReader(""), &out, &errs}); got != c.wantStatus || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%v: status %d, want %d with %q\n%s%s", c.args, got, c.wantStatus, c.want, out.String(), errs.String())
		}
	}
}
