package duty

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Encoding and parsing a note returns the same note, and a note with a changed bit is rejected
// if there is a key.
func TestNoteRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.SliceOfN(rapid.Byte(), 0, 32).Draw(t, "key")
		note := &Note{Kind: Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")), From: ID(rapid.Uint32().Draw(t, "from")), Incarnation: rapid.Uint64().Draw(t, "inc"), Seq: rapid.Uint32().Draw(t, "seq"), Target: ID(rapid.Uint32().Draw(t, "whom"))}
		for range rapid.IntRange(0, maxUpdates).Draw(t, "news") {
			note.Updates = append(note.Updates, Update{ID(rapid.Uint32().Draw(t, "who")), rapid.Uint64().Draw(t, "inc"), PeerState(rapid.IntRange(0, 2).Draw(t, "life"))})
		}
		if maxPayload := min(MaxPayloadBytes, freeBytes(len(note.Updates), len(key) > 0)-1); rapid.Bool().Draw(t, "part") {
			note.Payload = rapid.SliceOfN(rapid.Byte(), 1, maxPayload).Draw(t, "bytes")
		}
		for range rapid.IntRange(0, note.maxFindings(len(key) > 0)).Draw(t, "found") {
			note.Findings = append(note.Findings, Finding{ID(rapid.Uint32().Draw(t, "node")), State(rapid.IntRange(0, 3).Draw(t, "state")), time.Duration(rapid.IntRange(0, maxAgeUnits).Draw(t, "age")) * ageUnit})
		}
		b := note.Append(nil, key)
		if got, err := Parse(b, key); err != nil || len(b) > MaxNoteBytes || !reflect.DeepEqual(got, note) {
			t.Fatalf("parsed %+v with error %v, want %+v", got, err, note)
		}
		if len(key) > 0 {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			if _, err := Parse(b, key); err == nil {
				t.Fatal("a note with a changed bit was accepted")
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	n := Note{Kind: Ping, From: 1, Incarnation: 2, Seq: 3, Updates: []Update{{1, 2, Dead}}, Findings: []Finding{{1, Silent, time.Second}}}
	f.Add(n.Append(nil, nil))
	n.Payload = []byte("of others")
	f.Add(n.Append(nil, nil))
	f.Add([]byte{1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := Parse(b, nil)
		if err != nil {
			return
		}
		if again := n.Append(nil, nil); !bytes.Equal(again, b) {
			t.Errorf("% x is encoded again as % x", b, again)
		}
		d, _ := New(func() Config { c := Default(); c.Self, c.Peers = "a", []Peer{{Name: "b"}}; return c }())
		n.From = IDOf("b")
		d.Receive(time.Second, n)
	})
}

// An update of an earlier incarnation, or of the same one with a state that is not worse, is
// ignored; a suspicion is refuted by a later incarnation; a restart is distinguished from a
// delayed note.
func TestIncarnationsOrderUpdates(t *testing.T) {
	cfg := Default()
	cfg.Self, cfg.Peers, cfg.Incarnation = "a", []Peer{{Name: "b"}, {Name: "c"}}, 100
	d, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b, c := IDOf("b"), IDOf("c")
	note := func(from ID, inc uint64, news ...Update) {
		d.Receive(time.Second, &Note{From: from, Incarnation: inc, Updates: news})
	}
	state := func() string {
		v := d.View()
		return strings.Join(v.Suspects, ",") + "/" + strings.Join(v.Dead, ",")
	}
	for n, step := range []struct {
		do   func()
		want string
	}{
		{func() { note(b, 50) }, "/"},
		{func() { note(c, 7, Update{b, 49, Dead}) }, "/"}, // earlier incarnation
		{func() { note(c, 7, Update{b, 50, Suspect}) }, "b/"},
		{func() { note(c, 7, Update{b, 50, Alive}) }, "b/"}, // not worse
		{func() { note(b, 50) }, "b/"},                      // the refutation needs a later incarnation
		{func() { note(b, 51) }, "/"},
		{func() { note(c, 7, Update{b, 51, Dead}) }, "/b"},
		{func() { note(b, 51) }, "/b"},
		{func() { note(b, 1<<30) }, "/"}, // restarted
		{func() { note(b, 51) }, "/"},    // delayed note of an earlier incarnation
		{func() { note(c, 7, Update{ID(12345), 9, Dead}) }, "/"},
	} {
		step.do()
		if got := state(); got != step.want {
			t.Fatalf("step %d: %q, want %q", n, got, step.want)
		}
	}
	note(c, 7, Update{IDOf("a"), 100, Dead})
	out := d.Receive(2*time.Second, &Note{Kind: Ping, From: c, Incarnation: 7, Seq: 1})
	if len(out.Notes) != 1 || out.Notes[0].Note.Incarnation != 101 || out.Notes[0].Note.Kind != Ack {
		t.Errorf("ping after an update that declares this sidecar dead: answered with %+v, want an Ack of incarnation 101", out.Notes)
	}
	if d.Receive(2*time.Second, &Note{Kind: Ping, From: 99, Incarnation: 1}); d.View().Counts.UnknownSender != 1 {
		t.Error("a note of an unknown sender must be counted as strange")
	}
}

// A note that took longer than the fastest one of its sender ages its findings and its sign of
// life by the difference; a later incarnation starts from its own first note. Clocks may
// differ by any amount.
func TestDelayedNoteAgesFindings(t *testing.T) {
	cfg := Default()
	cfg.Self, cfg.Peers = "a", []Peer{{Name: "b", Zone: ""}}
	d, _ := New(cfg)
	const hour = time.Hour
	d.SetServers(hour, []Server{{"n", ""}})
	b := IDOf("b")
	note := func(now, sent time.Duration, inc uint64, age time.Duration) time.Duration {
		d.Receive(now, &Note{From: b, Incarnation: inc, SentMillis: millis(sent), Findings: []Finding{{IDOf("n"), Answering, age}}})
		_, known, _, _ := d.Lookup("n")
		return known
	}
	for n, c := range []struct {
		now, sent       time.Duration
		inc             uint64
		age, want, sign time.Duration
	}{
		{hour, 7 * time.Second, 1, time.Second, time.Second, hour},                                                                 // the first has no reference
		{hour + 2*time.Second, 9100 * time.Millisecond, 1, time.Second, time.Second, hour + 2*time.Second},                         // a faster one
		{hour + 6*time.Second, 10 * time.Second, 1, 200 * time.Millisecond, 3300 * time.Millisecond, hour + 2900*time.Millisecond}, // 3.1 s late
		{hour + 6*time.Second, 7 * time.Second, 1, 0, 3300 * time.Millisecond, hour + 2900*time.Millisecond},                       // an old one, repeated
		{hour + 7*time.Second, 100 * time.Millisecond, 2, time.Second, time.Second, hour + 7*time.Second},                          // a later incarnation
	} {
		if got := note(c.now, c.sent, c.inc, c.age); got != c.want {
			t.Errorf("note %d: its finding is %v old, want %v", n, got, c.want)
		}
		if got := d.peersByID[b].lastSign; got != c.sign {
			t.Errorf("note %d: last sign of life at %v, want %v", n, got, c.sign)
		}
	}
}

// Findings of servers that are not on the own list are ignored, an older finding does not
// replace a newer one, and a finding's age is not lowered.
func TestFindingsAreMergedByAge(t *testing.T) {
	cfg := Default()
	cfg.Self, cfg.Peers = "a", []Peer{{Name: "b", Zone: ""}}
	d, _ := New(cfg)
	d.SetServers(10*time.Second, []Server{{"n", ""}})
	d.Receive(20*time.Second, &Note{From: IDOf("b"), Incarnation: 1, Findings: []Finding{{IDOf("n"), Silent, 3 * time.Second}, {IDOf("other"), Silent, 0}}})
	if s, age, own, ok := d.Lookup("n"); s != Silent || age != 3*time.Second || own || !ok {
		t.Errorf("known of n: state %v, age %v, own %v, ok %v; want silent, 3s, false, true", s, age, own, ok)
	}
	if _, _, _, ok := d.Lookup("other"); ok || len(d.View().Servers) != 1 {
		t.Error("a server that is not on the list is known")
	}
	d.Receive(20*time.Second, &Note{From: IDOf("b"), Incarnation: 1, Findings: []Finding{{IDOf("n"), Answering, 4 * time.Second}}})
	if s, _, _, _ := d.Lookup("n"); s != Silent {
		t.Error("an older finding replaces a newer one")
	}
	d.RecordProbe(21*time.Second, "n", Slow)
	if s, age, own, _ := d.Lookup("n"); s != Slow || age != 0 || !own {
		t.Errorf("known of n after an own probe: state %v, age %v, own %v; want slow, 0, true", s, age, own)
	}
	d.SetServers(22*time.Second, nil)
	if _, _, _, ok := d.Lookup("n"); ok {
		t.Error("a server that was removed from the list is known")
	}
}
