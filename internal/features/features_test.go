package features

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Every problem is reported in one line that names file, line and field.
func TestProblemNamesFileLineAndField(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no TOML", "version = 1\n[answers\n", "f.toml:2: "},
		{"no value", "version =\n", "f.toml:1: "},
		{"unknown section", "version = 1\n\n[anwsers]\npass_client_errors = true\n", "f.toml:3: anwsers: there is no such field"},
		{"unknown field", "[answers]\n\npass_client_error = true\n", "f.toml:3: answers.pass_client_error: there is no such field"},
		{"unknown field with dots", "answers.pass = true\n", "f.toml:1: answers.pass: there is no such field"},
		{"wrong type", "[answers]\n# a comment\npass_client_errors = \"yes\"\n", "f.toml:3: answers.pass_client_errors: "},
		{"wrong type of a section", "answers = 3\n", "f.toml:1: answers: "},
		{"wrong type in a table", "[paths]\n\"/a/b\" = 3\n", "f.toml:2: paths./a/b: "},
		{"out of range", "\n\nversion = 9\n", "f.toml:3: version: must be 1, not 9"},
		{"no path", "[paths]\n\"/x\" = \"a\"\n\"a\" = \"a\"\n", "f.toml:3: paths.a: the path must begin with '/'"},
		{"no class", "[paths]\n\"/x\" = \"\"\n", "f.toml:2: paths./x: names no class"},
		{"twice", "version = 1\nversion = 1\n", "f.toml:2: "},
		{"no text", "version = 1 # \xff\n", "f.toml: no UTF-8"},
		{"long", strings.Repeat("#", maxFileBytes+1), "f.toml: over "},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("Parse = %v, want an error with prefix %q", err, c.want)
			}
		})
	}
	_, err := Parse("f.toml", []byte("[paths]\nx = \"\"\n[answers]\n"))
	if bad, ok := err.(Problems); !ok || len(bad) != 2 || !strings.Contains(err.Error(), "1 more") {
		t.Errorf("Parse = %v, want two problems", err)
	}
}

// Every error about [radius] names the field and its line, and no error or dump contains
// a secret.
func TestRadiusErrorNamesFieldAndHidesSecrets(t *testing.T) {
	good := `[radius]
enabled = true
auth = "127.0.0.1:1812"
acct = "127.0.0.1:1813"
[[radius.clients]]
range = "10.0.0.0/8"
secret = "hush-client"
[[radius.clients]]
range = "10.1.2.3"
secret = "hush-other"
[[radius.servers]]
name = "r1"
auth = "127.0.0.1:1"
acct = "127.0.0.1:2"
secret = "hush-server"
[radius.access]
aim = "1s"
[radius.accounting]
resends = 3
`
	f, err := Parse("f.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if text := fmt.Sprintf("%v %+v %#v %v", f.Radius, f.Radius, f.Radius, f.Radius.Clients); strings.Contains(text, "hush") {
		t.Errorf("formatted settings contain a secret: %s", text)
	}
	for _, c := range []struct{ old, new, want string }{
		{`auth = "127.0.0.1:1812"`, `auth = "here"`, "f.toml:3: radius.auth: "},
		{`range = "10.0.0.0/8"`, `range = "10.0.0.0/40"`, "f.toml:6: radius.clients[0].range: "},
		{`range = "10.1.2.3"`, `range = "10.9.9.9/8"`, "f.toml:9: radius.clients[1].range: is there twice"},
		{`secret = "hush-other"`, ``, "f.toml:8: radius.clients[1].secret: is not set"},
		{`secret = "hush-other"`, `secret = "hush"` + "\nsecret_file = \"x\"", "f.toml:10: radius.clients[1].secret: and secret_file"},
		{`secret = "hush-other"`, `secret_file = "nowhere"`, "f.toml:10: radius.clients[1].secret_file: can't be read"},
		{`secret = "hush-other"`, `secret = 77001`, "f.toml:10: radius.clients"},
		{`name = "r1"`, `name = ""`, "f.toml:12: radius.servers[0].name: "},
		{`acct = "127.0.0.1:2"`, ``, "f.toml:11: radius.servers: none takes accounting"},
		{`aim = "1s"`, `aim = "1h"`, "f.toml:17: radius.access.aim: "},
		{`aim = "1s"`, `aim = "soon"`, "f.toml:17: radius.access.aim: "},
		{`aim = "1s"`, `effect = "maybe"`, "f.toml:17: radius.access.effect: "},
		{`resends = 3`, `resends = 99`, "f.toml:19: radius.accounting.resends: "},
		{`resends = 3`, `effect = "safe"`, "f.toml:19: radius.accounting.effect: must be once"},
		{`enabled = true`, "enabled = true\nattempts = 6", "f.toml:3: radius.attempts: "},
		{`enabled = true`, "enabled = true\nsockets = 0", "f.toml:3: radius.sockets: "},
		{`enabled = true`, "enabled = true\nremember_bytes_each = 1", "f.toml:3: radius.remember_bytes_each: "},
		{`enabled = true`, "enabled = true\non_give_up = \"wait\"", "f.toml:3: radius.on_give_up: "},
		{`enabled = true`, "enabled = true\nprobe_every = \"1ms\"", "f.toml:3: radius.probe_every: "},
		{`enabled = true`, "enabled = true\nprobe_every = \"1s\"\nauth_discovery = \"127.0.0.1:1\"\ndiscovery_secret = \"hush\"", "f.toml:3: radius.probe_every: stands beside"},
		{`enabled = true`, "enabled = true\nremember_file = \"/nowhere/at/all\"", "f.toml:3: radius.remember_file: its folder"},
		{`enabled = true`, "enabled = true\nauth_discovery = \"127.0.0.1:1\"\ndiscovery_secret = \"hush\"", "f.toml:13: radius.servers: stands beside"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		_, err := Parse("f.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "hush") || strings.Contains(err.Error(), "77001") {
			t.Errorf("Parse with %q = %v, want an error with %q and no secret", c.new, err, c.want)
		}
	}
}

// A path with an unknown class is reported with its line.
func TestUnknownClassIsReported(t *testing.T) {
	f, err := Parse("f.toml", []byte("[paths]\n\"/x\" = \"a\"\n\"/y\" = \"nowhere\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	err = f.CheckClasses(func(name string) bool { return name == "a" })
	if err == nil || err.Error() != `f.toml:3: paths./y: there is no class "nowhere"` {
		t.Error(err)
	}
	if err := f.CheckClasses(func(string) bool { return true }); err != nil {
		t.Error(err)
	}
}

// The shipped file is valid and enables nothing, and it is still valid with its commented-out
// examples enabled.
func TestShippedFileIsValid(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "features.toml")
	f, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Paths) > 0 || f.Answers != (Answers{}) || f.Radius.Enabled {
		t.Errorf("the shipped file enables a feature: %+v", f)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "# "); ok && strings.ContainsAny(rest, "=[") && !strings.HasSuffix(rest, ".\n") {
			line = rest
		}
		all = append(all, line)
	}
	if f, err = Parse("examples", []byte(strings.Join(all, ""))); err != nil || len(f.Paths) == 0 || !f.Radius.Enabled {
		t.Errorf("Parse of the shipped examples = %v, %+v", err, f)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("Read of a missing file succeeded")
	}
}

func FuzzParse(f *testing.F) {
	f.Add("version = 1\n[answers]\npass_client_errors = true\n[paths]\n\"/x\" = \"a\"\n")
	f.Add("[[paths]]\nx = [1, {a = 2}]\n[paths.x]\n")
	f.Add("[[a]]\n[a.b]\nc = 1\n[[a]]\n")
	f.Add("version = 1e400\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("f", []byte(text))
		if err == nil {
			return
		}
		for _, p := range err.(Problems) {
			if strings.Contains(p.Error(), "\n") || p.Line < 0 || p.Line > strings.Count(text, "\n")+1 {
				t.Errorf("Parse(%q) reports %q in line %d", text, p.Error(), p.Line)
			}
		}
	})
}
