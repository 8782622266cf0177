package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/headless"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// Guards that a pinned level takes effect: at "essential" the cheapest class is turned away and the
// dearest is served. The command's output, the page, the JSON and the metrics must show that level.
func TestLevelCommandAndPage(t *testing.T) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 2, Classes: rig.LongDeadlineClasses(), NoHedge: true})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	socket := filepath.Join(t.TempDir(), "s")
	daemon, err := site.StartDaemon(1, fmt.Sprintf("version = 1\n[admin]\nsocket = %q\n[level]\nenabled = true\n[level.saving]\nenter = { lag = 0.0, memory = 0.0 }\n[level.trimmed]\nenter = { lag = 0.0, memory = 0.0 }\n[level.essential]\nenter = { lag = 0.0, memory = 0.0 }\n[level.emergency]\nenter = { lag = 0.0, memory = 0.0 }\n", socket))
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	client := standin.NewClient(daemon.Addr)
	defer client.Close()
	sendRequest := func(class string) int {
		t.Helper()
		effect := map[string]standin.Effect{"status-check": standin.Safe, "activate": standin.Unsafe}[class]
		return client.Do(t.Context(), standin.ClientRequest{Class: standin.Class{Name: class, Effect: effect}, ID: fmt.Sprint(class, t.Name(), len(site.Ledger.Arrivals())), Deadline: 0}).Status
	}
	for _, c := range []commandCase{
		{"--socket " + socket, 0, "normal", ""},
		{"--socket " + socket, 0, "sensor", ""},
		{"--socket " + socket + " --pin essential --for 10m", 0, "pinned", ""},
		{"--socket " + socket + " --json", 0, `"level":"essential"`, ""},
		{"--socket " + socket + " --pin nonsense", 1, "", "no level"},
		{"--socket " + socket + " --pin normal --for 48h", 1, "", "within"},
		{"--socket " + socket + " --pin normal --unpin", 1, "", "exclude"},
		{"--socket " + filepath.Join(t.TempDir(), "none"), 3, "", "can't be asked"},
	} {
		c.runAndCheck(t, "level")
	}
	if got := sendRequest("status-check"); got != 503 {
		t.Errorf("the cheapest class at essential: %d", got)
	}
	if got := sendRequest("activate"); got != 200 {
		t.Errorf("the dearest class at essential: %d", got)
	}
	server := httptest.NewServer(levelHandler(socket))
	defer server.Close()
	getBody := func(path string) string {
		t.Helper()
		resp, err := http.Get(server.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return string(text)
	}
	for path, want := range map[string]string{
		"/metrics": "fawnrock_level 3", "/level": `"pinned":"essential"`, "/": `class="essential" id="level"`,
	} {
		if got := getBody(path); !strings.Contains(got, want) {
			t.Errorf("%s does not contain %q:\n%s", path, want, got)
		}
	}
	if text := getBody("/metrics"); !strings.Contains(text, `fawnrock_level_turned_away_total{class="status-check"} 1`) {
		t.Errorf("%s", text)
	}
	commandCase{"--socket " + socket + " --unpin", 0, "normal", ""}.runAndCheck(t, "level")
	// After the pin ends, the share turned away falls in steps, so that both answers are right.
	if got := sendRequest("status-check"); got != 200 && got != 503 {
		t.Errorf("the cheapest class at normal: %d", got)
	}
	page := string(headless.Run(t, server.URL+"/", "--dump-dom"))
	for _, want := range []string{`id="level">normal`, "status-check", "pinned by hand"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page in a browser does not show %q:\n%s", want, page)
		}
	}
}
