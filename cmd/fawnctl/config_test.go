package main

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/rig"
)

const platformJSON = `{"listen":"127.0.0.1:8080","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"replicasOfMe":1,"zone":"z","caps":{"attemptsCap":3,"connIdleUs":30000000,"dialTimeoutUs":250000},
"guarantees":{"drainGraceUs":2000000},"classes":[{"name":"activate","effect":"once","promiseUs":1000000,"hardLimitUs":3000000}]}}`

// Guards 'config plan': it must list each change, and refuse with exit status 1 a change that a
// running daemon refuses, such as a weaker effect or fewer sockets than are in use.
func TestConfigPlan(t *testing.T) {
	dir := t.TempDir()
	writeVariant := func(name, old, new string) string {
		path := filepath.Join(dir, name)
		text := platformJSON
		if old != "" {
			if text = strings.Replace(platformJSON, old, new, 1); text == platformJSON {
				t.Fatalf("the platform's JSON does not contain %s", old)
			}
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	running := writeVariant("running", "", "")
	otherDiscovery := writeVariant("moved", "127.0.0.1:1", "127.0.0.1:2")
	weakerEffect := writeVariant("weak", "once", "repeatable")
	fewerSockets := writeVariant("small", "1024", "64")
	invalid := writeVariant("bad", "attemptsCap\":3", "attemptsCap\":0")
	featuresFile := filepath.Join(dir, "own.toml")
	if err := os.WriteFile(featuresFile, []byte("version = 1\n[paths]\n\"/v1/Activate\" = \"activate\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []commandCase{
		{running + " " + running, 0, "nothing changes", ""},
		{running + " " + otherDiscovery, 0, "discovery: 127.0.0.1:1 -> 127.0.0.1:2 (SIGHUP", ""},
		{running + " " + weakerEffect, 1, "settings.classes[activate].effect: once -> repeatable", "refused: settings.classes[activate].effect"},
		{weakerEffect + " " + running, 0, "repeatable -> once", ""},
		{running + " " + fewerSockets, 0, "limits.sockets: 1024 -> 64", ""},
		{"--sockets 100 " + running + " " + fewerSockets, 1, "limits.sockets", "100 sockets are in use"},
		{running + " " + running + " --next-features " + featuresFile, 0, "features.paths[/v1/Activate]: none -> activate", ""},
		{running + " " + invalid, 1, "", "MaxAttempts"},
		{running + " nowhere", 1, "", "nowhere"},
		{running, 1, "", "next"},
	} {
		c.runAndCheck(t, "config", "plan")
	}
}

// Guards the output and exit status of 'config apply', 'status', 'rollback' and 'history' for a
// change that is refused, empty, on trial, kept or undone, and for a daemon that can't be reached.
func TestConfigCommands(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: rig.ActivationClasses()})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	dir := t.TempDir()
	socket := filepath.Join(dir, "s")
	daemon, err := site.StartDaemon(1, "version = 1\n[admin]\nsocket = \""+socket+"\"\n[config]\nenabled = true\nbake = \"2s\"\n")
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	writeVariant := func(name, old, new string) string {
		text := strings.Replace(string(site.PlatformConfig("127.0.0.1:0", 1)), old, new, 1)
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	unchanged, fewerAttempts := writeVariant("same", "", ""), writeVariant("fewer", `"attemptsCap":5`, `"attemptsCap":4`)
	weakerEffect := writeVariant("bad", `"effect":"once"`, `"effect":"repeatable"`)
	socketFlag := " --socket " + socket
	for _, e := range []commandCase{
		{"apply --platform " + unchanged + socketFlag, 0, "nothing changes", ""},
		{"apply --platform " + weakerEffect + socketFlag, 1, "", "refused: settings.classes[activate].effect: once -> repeatable"},
		{"apply --platform " + filepath.Join(dir, "none") + socketFlag, 1, "", "no such file"},
		{"apply --features " + weakerEffect + socketFlag, 1, "", "refused: features"},
		{"rollback" + socketFlag, 1, "", "no configuration before"},
		{"apply --platform " + fewerAttempts + " --why fewer --wait" + socketFlag, 0, "kept: too few calls", ""},
		{"status" + socketFlag, 0, "ends with the process", ""},
		{"history" + socketFlag, 0, "applied  fewer", ""},
		{"rollback" + socketFlag, 0, "done", ""},
		{"status --json" + socketFlag, 0, `"trial":3`, ""},
		{"rollback" + socketFlag, 0, "done", ""},
		{"history" + socketFlag, 0, "undone   by the operators", ""},
		{"status --socket " + filepath.Join(dir, "away"), 3, "", "can't be asked"},
		{"apply --platform " + unchanged + " --socket " + filepath.Join(dir, "away"), 3, "", "can't be asked"},
	} {
		e.runAndCheck(t, "config")
	}
}
