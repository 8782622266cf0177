package daemon

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/change"
	"chalkrack/internal/upstream"
)

// pair is a configuration's two files in a folder.
type pair struct{ dir, platform, own string }

func newPair(t *testing.T) *pair {
	dir := t.TempDir()
	return &pair{dir, filepath.Join(dir, "config.json"), filepath.Join(dir, "features.toml")}
}

func (p *pair) getenv(name string) string {
	return map[string]string{"BALANCER_CONFIG": p.platform, "FAWN_FEATURES": p.own}[name]
}

// write writes both files, the platform's with so many attempts and a seed of its own.
func (p *pair) write(t *testing.T, attempts int, own string) {
	t.Helper()
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%016x","limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"replicasOfMe":1,"zone":"z","caps":{"attemptsCap":%d,"connIdleUs":30000000,"dialTimeoutUs":250000},"guarantees":{"drainGraceUs":2000000},
"classes":[{"name":"activate","effect":"once","promiseUs":1000000,"hardLimitUs":3000000}]}}`, 1+attempts, time.Now().UnixNano(), attempts)
	for path, data := range map[string]string{p.platform: text, p.own: "version = 1\n" + own} {
		if err := os.WriteFile(path, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func (p *pair) load(t *testing.T) *Config {
	t.Helper()
	c, err := Load(p.getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Which configuration a start runs, by what the files say and what is remembered. The
// address of discovery is the files' always.
func TestRecall(t *testing.T) {
	p := newPair(t)
	folder := filepath.Join(p.dir, "memory")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	own := fmt.Sprintf("[config]\nenabled = true\nfolder = %q\n", folder)
	for n, c := range []struct {
		files, runs int
		trial       bool
	}{
		{5, 5, false}, {5, 5, false}, // the first one is kept
		{4, 4, true}, {4, 4, true}, {4, 4, true}, {4, 4, true}, // changed while nobody was there, and started again
		{4, 5, false}, {4, 5, false}, // once too often; the files hold what was undone
		{3, 3, true}, {2, 2, true}, {3, 3, true}, // what gave way to another was not found bad
		{5, 5, false}, // back
		{4, 5, false}, // still what was undone last
	} {
		p.write(t, c.files, own)
		got, err := Recall(p.load(t))
		if err != nil {
			t.Fatalf("start %d: %v", n, err)
		}
		if got.settings.Config.MaxAttempts != c.runs || got.trial != c.trial || got.discovery != fmt.Sprintf("127.0.0.1:%d", 1+c.files) {
			t.Errorf("start %d: files say %d: %d attempts, on trial %v, discovery %s", n, c.files, got.settings.Config.MaxAttempts, got.trial, got.discovery)
		}
		if n == 0 { // two at once
			if _, err := Recall(p.load(t)); err == nil || !strings.Contains(err.Error(), "another process") {
				t.Errorf("%v", err)
			}
		}
		got.store.Close()
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if err := os.WriteFile(f, []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Recall(p.load(t)); err == nil || !strings.Contains(err.Error(), "as remembered") {
		t.Errorf("spoilt documents: %v", err)
	}
	p.write(t, 3, "[config]\nenabled = true\n")
	if got, err := Recall(p.load(t)); err != nil || got.lasting || got.id() != 1 {
		t.Errorf("without a folder: %+v, %v", got, err)
	}
	p.write(t, 3, "")
	if got, err := Recall(p.load(t)); err != nil || got.store != nil {
		t.Errorf("off: %+v, %v", got, err)
	}
}

// A file that is half written is waited for, also where the half is good by itself; one
// that never rests is not taken.
func TestReadTwice(t *testing.T) {
	p := newPair(t)
	const half, whole = "[paths]\n\"/a\" = \"activate\"\n", "[paths]\n\"/a\" = \"activate\"\n\"/b\" = \"activate\"\n"
	p.write(t, 5, half)
	pauses := 0
	_, own, _, err := readTwice(p.getenv, func() {
		if pauses++; pauses == 1 {
			p.write(t, 5, whole)
		}
	})
	if err != nil || !bytes.Contains(own, []byte(`"/b"`)) || pauses < 2 {
		t.Errorf("%q after %d pauses, %v", own, pauses, err)
	}
	if _, _, _, err := readTwice(p.getenv, func() { p.write(t, 5, whole) }); err == nil || !strings.Contains(err.Error(), "changing") {
		t.Errorf("%v", err)
	}
	if _, _, _, err := readTwice(p.getenv, func() { os.Remove(p.own) }); err == nil {
		t.Error("a file that goes is taken")
	}
}

// What the parts of a daemon were made with waits for a start, whatever else a change
// says: nothing of it is taken.
func TestPlanWaitsForAStart(t *testing.T) {
	p := newPair(t)
	const bodies = "[bodies]\nenabled = true\n"
	const radius = "[radius]\nenabled = true\nauth = \"127.0.0.1:1812\"\nacct = \"127.0.0.1:1813\"\n[[radius.clients]]\nname = \"c\"\nrange = \"10.0.0.0/8\"\nsecret = \"a long secret\"\n" +
		"[[radius.servers]]\nname = \"r\"\nauth = \"127.0.0.1:1\"\nacct = \"127.0.0.1:2\"\nsecret = \"another secret\"\n"
	for _, c := range []struct {
		own, old, new, field string // field: empty, it may be made
	}{
		{"", `"attemptsCap":5`, `"attemptsCap":4`, ""},
		{bodies, `"attemptsCap":5`, `"attemptsCap":4`, ""},
		{bodies, `"classes":[`, `"classes":[{"name":"more","effect":"once","promiseUs":1,"hardLimitUs":1},`, "settings.classes[more].name"},
		{"", `"classes":[`, `"classes":[{"name":"more","effect":"once","promiseUs":1,"hardLimitUs":1},`, ""},
		{radius, `"attemptsCap":5`, `"attemptsCap":4`, "settings.caps.attemptsCap"},
		{"", `"zone":"z"`, `"zone":"y"`, "settings.zone"},
		{"", `"memory_mb":64`, `"memory_mb":96`, "limits.memory_mb"},
	} {
		p.write(t, 5, c.own)
		running := p.load(t)
		text := bytes.Replace(running.platform, []byte(c.old), []byte(c.new), 1)
		next, err := parse(text, running.own, "features", p.getenv)
		if err != nil {
			t.Fatal(err)
		}
		plan, why, err := planOf(running, next, change.Use{})
		if err != nil || len(plan.Changes) == 0 {
			t.Fatalf("%+v, %v", plan, err)
		}
		said := fmt.Sprint(why)
		if (c.field == "") != (len(why) == 0) || !strings.Contains(said, c.field) || c.field != "" && !strings.Contains(said, "next start") {
			t.Errorf("%s to %s with %.10q: %v", c.old, c.new, c.own, why)
		}
	}
}

// While two configurations serve, what their connections have in common keeps to both.
func TestStrictest(t *testing.T) {
	a := upstream.Times{ConnIdle: 3, DialTimeout: 1, DrainGrace: 2}
	b := upstream.Times{ConnIdle: 2, DialTimeout: 4, DrainGrace: 5}
	if got := strictest(a, b); got != (upstream.Times{ConnIdle: 2, DialTimeout: 4, DrainGrace: 2}) || got != strictest(b, a) {
		t.Errorf("%+v", got)
	}
}
