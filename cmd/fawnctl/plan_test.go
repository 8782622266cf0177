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

// Each use of the command, with its exit status and what it must say.
func TestPlan(t *testing.T) {
	dir := t.TempDir()
	fleet := filepath.Join("testdata", "plan", "fleet.toml")
	text, err := os.ReadFile(fleet)
	if err != nil {
		t.Fatal(err)
	}
	file := func(name, old, new string) string {
		t.Helper()
		if !strings.Contains(string(text), old) {
			t.Fatalf("%q is not there", old)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	choose := file("choose.toml", "version = 1", "version = 1\nchoose = true")
	svg, key, out := filepath.Join(dir, "load.svg"), filepath.Join(dir, "key"), filepath.Join(dir, "plan.json")
	for _, c := range []example{
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
		{fleet + " --diff " + file("other.toml", "speed = 0.9", "speed = 1.8"), 0, "against", ""},
		{fleet + " --json", 0, `"status":"held"`, ""},
		{fleet + " --svg " + svg, 0, "held", ""},
		{fleet + " --robust", 3, "", "choose = true"},
		{choose + " --robust", 0, "robust", ""},
		{choose, 0, "proven", ""},
		{file("conflict.toml", "must = true", "at_least = 1.0\nnot = [\"zone:jakarta\", \"zone:bandung\", \"zone:semarang\"]"), 2, "classes: activate: not zone:jakarta", "contradict"},
		{file("field.toml", "speed = 0.9", "speed = -1.0"), 3, "", "nodes[2].speed"},
		{file("unknown.toml", "queue = 5", "cue = 5"), 3, "", "cue"},
		{file("broken.toml", "[limits]", "[limits"), 3, "", "broken.toml"},
		{filepath.Join(dir, "none.toml"), 3, "", "none.toml"},
		{fleet + " --weights " + out, 3, "", "--key"},
		{fleet + " --time 0s", 4, "", "--time"},
	} {
		c.try(t, "plan")
	}
	if picture, err := os.ReadFile(svg); err != nil || !bytes.Contains(picture, []byte("<svg")) || !bytes.Contains(picture, []byte("jakarta")) {
		t.Errorf("the picture: %v, %d bytes", err, len(picture))
	}
	public, err := weights.ParseKey(strings.TrimSpace(example{key, 0, "", ""}.try(t, "keygen")))
	if err != nil {
		t.Fatal(err)
	}
	example{key, 1, "", "exists"}.try(t, "keygen")
	example{fleet + " --weights " + out + " --key " + key, 0, "held", ""}.try(t, "plan")
	data, err := os.ReadFile(out)
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
	seed, _ := os.ReadFile(key)
	if raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(seed))); err != nil || len(raw) != ed25519.SeedSize {
		t.Errorf("%v", err)
	}
	var v plan.Plan
	if err := json.Unmarshal([]byte(example{fleet + " --json --losses", 0, "", ""}.try(t, "plan")), &v); err != nil || len(v.Losses) != 6 {
		t.Errorf("%v, %d losses", err, len(v.Losses))
	}
}
