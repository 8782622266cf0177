package daemon

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/core"
	"chalkrack/internal/membership"
	"chalkrack/internal/upstream"
	"chalkrack/internal/weights"
)

// A signed plan is on the hints from the first list on; one that is not signed, or older,
// changes nothing; without a plan the list's own hints hold.
func TestWeighted(t *testing.T) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))
	file := filepath.Join(t.TempDir(), "plan.json")
	now := time.Now()
	write := func(made time.Time, by ed25519.PrivateKey, a, b float64) {
		t.Helper()
		data, err := weights.Write(&weights.Plan{Version: 1, Made: made, Until: made.Add(time.Hour), Weights: map[string]map[string]float64{"z": {"a": a, "b": b}}}, by)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(now, key, 3, 1)
	p := newPair(t)
	p.write(t, 5, fmt.Sprintf("[weights]\nfile = %q\nkey = %q\n", file, base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))))
	c := p.load(t)
	host, err := core.New(core.Config{Settings: c.settings, Seed: 1, Transport: upstream.New(upstream.Config{MostConns: 1})})
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	w, err := newWeighted(c, host)
	if err != nil {
		t.Fatal(err)
	}
	list := &membership.List{Whole: true}
	for _, name := range []string{"a", "b", "c"} {
		list.Entries = append(list.Entries, membership.Entry{Endpoint: chalkrack.Endpoint{Name: name, Hint: 2, State: chalkrack.Serving}, Address: "127.0.0.1:1"})
	}
	list.Entries = list.Entries[:2]
	w.listed(list)
	check := func(what string, a, b float64) {
		t.Helper()
		if x, y := w.hinted(list.Entries[0]).Hint, w.hinted(list.Entries[1]).Hint; x != a || y != b {
			t.Errorf("%s: hints %v and %v, want %v and %v", what, x, y, a, b)
		}
	}
	check("at the start", 3, 1)
	write(now.Add(time.Second), ed25519.NewKeyFromSeed(bytes.Repeat([]byte{8}, ed25519.SeedSize)), 1, 3)
	w.reload()
	w.tick(now)
	check("signed by another", 3, 1)
	write(now.Add(-time.Second), key, 1, 3)
	w.reload()
	w.tick(now)
	check("older", 3, 1)
	write(now.Add(time.Second), key, 1, 3)
	w.reload()
	w.tick(now)
	check("newer, by a step", 3/1.25, 1.25)
	w.tick(now.Add(3 * time.Hour))
	if v := w.view(); v.Why != weights.Over || v.Hold != 0 {
		t.Errorf("%+v", v)
	}
	gone := list.Entries[0]
	gone.State = chalkrack.Gone
	w.listed(&membership.List{Entries: []membership.Entry{gone}})
	w.tick(now)
	if len(w.entries) != 1 || len(w.view().Hints) != 1 {
		t.Errorf("of a server that has gone %d entries, %d hints are left", len(w.entries), len(w.view().Hints))
	}
	(*weighted)(nil).reload() // off
}
