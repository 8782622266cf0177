package main

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/plan"
	"chalkrack/internal/weights"
)

// Guards the output and exit status of 'plan' and 'keygen' for plans that serve all, not all or
// nothing, for files and flags that are wrong, and for the files that plan writes.
func TestPlanAndKeygenCommands(t *testing.T) {
	dir := t.TempDir()
	fleet := filepath.Join("testdata", "plan", "fleet.toml")
	text, err := os.ReadFile(fleet)
	if err != nil {
		t.Fatal(err)
	}
	writeVariant := func(name, old, new string) string {
		t.Helper()
		if !strings.Contains(string(text), old) {
			t.Fatalf("the fleet's file does not contain %q", old)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	chooseFleet := writeVariant("choose.toml", "version = 1", "version = 1\nchoose = true")
	svgFile, keyFile, weightsFile := filepath.Join(dir, "load.svg"), filepath.Join(dir, "key"), filepath.Join(dir, "plan.json")
	for _, c := range []commandCase{
		{fleet, 0, "held", ""},
		{fleet + " --explain", 0, "as even as", ""},
		{fleet + " --losses", 0, "zone semarang: held", ""},
		{fleet + " --lose zone=jakarta --lose zone=bandung", 1, "not served", "not all can be served"},
		{fleet + " --lose zone=jakarta --lose kind=half-speed --what-if rate:activate=*3", 1, "one more", ""},
		{fleet + " --lose zone=nowhere", 3, "", "--lose"},
		{fleet + " --what-if rate:status-check=*4", 1, "the capacity of zone", ""},
		{fleet + " --what-if add:n1=3 --what-if rate:*=*2", 0, "n1+3", ""},
		{fleet + " --what-if speed:kind:half-speed=*0.5", 0, "held", ""},
		{fleet + " --what-if speed:n9=1", 3, "", "--what-if"},
		{fleet + " --what-if rate:activate=-1", 3, "", "--what-if"},
		{fleet + " --diff " + writeVariant("other.toml", "speed = 0.9", "speed = 1.8"), 0, "against", ""},
		{fleet + " --json", 0, `"status":"held"`, ""},
		{fleet + " --svg " + svgFile, 0, "held", ""},
		{fleet + " --robust", 3, "", "choose = true"},
		{chooseFleet + " --robust", 0, "robust", ""},
		{chooseFleet, 0, "proven", ""},
		{writeVariant("conflict.toml", "must = true", "at_least = 1.0\nnot = [\"zone:jakarta\", \"zone:bandung\", \"zone:semarang\"]"), 2, "classes: activate: not zone:jakarta", "contradict"},
		{writeVariant("field.toml", "speed = 0.9", "speed = -1.0"), 3, "", "nodes[2].speed"},
		{writeVariant("unknown.toml", "queue = 5", "cue = 5"), 3, "", "cue"},
		{writeVariant("broken.toml", "[limits]", "[limits"), 3, "", "broken.toml"},
		{filepath.Join(dir, "none.toml"), 3, "", "none.toml"},
		{fleet + " --weights " + weightsFile, 3, "", "--key"},
		{fleet + " --time 0s", 4, "", "--time"},
	} {
		c.runAndCheck(t, "plan")
	}
	if picture, err := os.ReadFile(svgFile); err != nil || !bytes.Contains(picture, []byte("<svg")) || !bytes.Contains(picture, []byte("jakarta")) {
		t.Errorf("the drawing: %v, %d bytes", err, len(picture))
	}
	public, err := weights.ParseKey(strings.TrimSpace(commandCase{keyFile, 0, "", ""}.runAndCheck(t, "keygen")))
	if err != nil {
		t.Fatal(err)
	}
	commandCase{keyFile, 1, "", "exists"}.runAndCheck(t, "keygen")
	commandCase{fleet + " --weights " + weightsFile + " --key " + keyFile, 0, "held", ""}.runAndCheck(t, "plan")
	data, err := os.ReadFile(weightsFile)
	if err != nil {
		t.Fatal(err)
	}
	p, err := weights.DecodePlan(data, public)
	if err != nil || len(p.Weights["jakarta"]) != 3 {
		t.Fatalf("%+v, %v", p, err)
	}
	sum := 0.0
	for _, w := range p.Weights["bandung"] {
		sum += w
	}
	if sum < 0.999 || sum > 1.001 {
		t.Errorf("the weights of a zone add up to %v", sum)
	}
	seed, _ := os.ReadFile(keyFile)
	if raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(seed))); err != nil || len(raw) != ed25519.SeedSize {
		t.Errorf("%v", err)
	}
	var v plan.Plan
	if err := json.Unmarshal([]byte(commandCase{fleet + " --json --losses", 0, "", ""}.runAndCheck(t, "plan")), &v); err != nil || len(v.Losses) != 6 {
		t.Errorf("%v, %d losses", err, len(v.Losses))
	}
}
