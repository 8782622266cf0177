package evacuation

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const sec = time.Second

// pair returns two sidecars with the zones a and b, whose notes a test delivers by hand.
func pair(t *testing.T) (a, b *Machine) {
	t.Helper()
	for n := range 2 {
		cfg := Default()
		cfg.Self, cfg.Peers, cfg.Incarnation = n, 2, 5
		m, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		m.SetServers(sec, []Server{{"s1", "a"}, {"s2", "a"}, {"s3", "b"}, {"s4", "b"}})
		m.Tick(sec)
		if n == 0 {
			a = m
		} else {
			b = m
		}
	}
	return a, b
}

// An order must not make the fleet leave the last zone in use either.
func TestOrderCannotLeaveLastZone(t *testing.T) {
	a, _ := pair(t)
	a.SetServers(sec, []Server{{"s1", "a"}})
	if err := a.SubmitOrder(sec, "a", "leave", "x", "y"); err == nil || err.Error() != `zone "a": it is the last zone in use and cannot be left` {
		t.Error(err)
	}
}

// A note that is truncated, forged, of another version, from an unknown sidecar or from the
// receiver itself, or that is a duplicate, must be counted and dropped without effect. A valid note
// is accepted.
func TestInvalidNotesAreDropped(t *testing.T) {
	a, b := pair(t)
	if err := a.SubmitOrder(sec, "a", "leave", "kim", "a test"); err != nil {
		t.Fatal(err)
	}
	valid := a.EncodeNote(sec, 150)
	for name, corrupt := range map[string]func(b []byte) (from int, bytes []byte){
		"empty":           func([]byte) (int, []byte) { return 0, nil },
		"cut in the head": func(b []byte) (int, []byte) { return 0, b[:headerLen-1] },
		"cut in a zone":   func(b []byte) (int, []byte) { return 0, b[:headerLen+zoneEntryLen-1] },
		"cut in a text":   func(b []byte) (int, []byte) { return 0, b[:len(b)-1] },
		"too long":        func(b []byte) (int, []byte) { return 0, append(b, 0) },
		"a version":       func(b []byte) (int, []byte) { b[0] = 9; return 0, b },
		"another's":       func(b []byte) (int, []byte) { return 1, b },
		"a stranger's":    func(b []byte) (int, []byte) { b[1] = 9; return 9 << 8, b },
		"too many zones":  func(b []byte) (int, []byte) { b[12] = maxNoteZones + 1; return 0, b },
		"a vote":          func(b []byte) (int, []byte) { b[headerLen+2] = byte(voteCount); return 0, b },
		"a stage":         func(b []byte) (int, []byte) { b[headerLen+10] = 0xff; return 0, b },
		"an order":        func(b []byte) (int, []byte) { b[headerLen+17] = 0xff; return 0, b },
		"a flag":          func(b []byte) (int, []byte) { b[11] = 0x80; return 0, b },
	} {
		before, _ := b.NoteErrors()
		from, text := corrupt(bytes.Clone(valid))
		out := b.ReceiveNote(sec, from, 5, text)
		if after, _ := b.NoteErrors(); after != before+1 || len(out.Recipients)+len(out.Changes) > 0 || !b.UsesZone("a") || b.RecentPeers() > 0 {
			t.Errorf("%s: %d notes counted as invalid, want 1; result %+v, want none; %d peers heard, want 0", name, after-before, out, b.RecentPeers())
		}
	}
	b.ReceiveNote(sec, 0, 5, valid)
	if b.UsesZone("a") || b.RecentPeers() != 1 {
		t.Fatalf("valid note: uses zone a: %v, want false; %d peers heard, want 1", b.UsesZone("a"), b.RecentPeers())
	}
	// A duplicate, and a note from an earlier incarnation.
	for _, inc := range []uint64{5, 4} {
		_, before := b.NoteErrors()
		if b.ReceiveNote(sec, 0, inc, valid); true {
			if _, after := b.NoteErrors(); after != before+1 {
				t.Errorf("duplicate or older note of incarnation %d was not counted as outdated", inc)
			}
		}
	}
	if n := len(a.EncodeNote(sec, MinNoteBytes-1)); n > 0 {
		t.Errorf("note of %d bytes without room for a zone, want none", n)
	}
}

// A note delayed by 30 s must count with the age of its content.
func TestDelayedNoteCountsAsOld(t *testing.T) {
	a, b := pair(t)
	a.zones[0].vote, a.zones[0].firstBadSent = VoteFailing, sec
	fast, delayed := a.EncodeNote(sec, 150), a.EncodeNote(sec, 150)
	b.ReceiveNote(sec, 0, 5, fast)
	b.Tick(sec)
	if failing, _ := b.countVotes(b.zones[0]); failing != 1 {
		t.Fatalf("%d failing votes after a fast note, want 1", failing)
	}
	later := 31 * sec
	b.Tick(later)
	b.ReceiveNote(later, 0, 5, delayed)
	b.Tick(later)
	if failing, _ := b.countVotes(b.zones[0]); failing != 0 || b.RecentPeers() != 0 {
		t.Errorf("%d failing votes after a delayed note, want 0; %d peers heard, want 0", failing, b.RecentPeers())
	}
	// A clock drift of one percent must not count as delay.
	a2, b2 := pair(t)
	for s := range 600 {
		at := time.Duration(s+1) * sec
		b2.Tick(at + at/101)
		b2.ReceiveNote(at+at/101, 0, 5, a2.EncodeNote(at, 150))
	}
	if b2.RecentPeers() != 1 {
		t.Error("a peer whose clock is slower by one percent is not heard after ten minutes")
	}
}

// After a suspension a sidecar must discard its evidence, ask for the fleet's records, and end no
// stage by the time spent suspended.
func TestSuspensionDiscardsEvidence(t *testing.T) {
	a, b := pair(t)
	b.ReceiveNote(sec, 0, 5, a.EncodeNote(sec, 150))
	for n, name := range []string{"s1", "s2", "s1", "s2"} {
		b.RecordEnd(sec+time.Duration(n)*time.Millisecond, b.RecordSend(sec, name), ResultConnectFailed, false)
	}
	b.RecordEnd(sec, b.RecordSend(sec+time.Millisecond, "s3"), ResultGood, false)
	b.Tick(sec + 100*time.Millisecond)
	if v := b.zones[0].vote; v != VoteFailing {
		t.Fatalf("vote on zone a is %v, want failing", v)
	}
	if err := b.SubmitOrder(sec+100*time.Millisecond, "a", "leave", "x", "y"); err != nil {
		t.Fatal(err)
	}
	b.SubmitOrder(sec+100*time.Millisecond, "a", "auto", "x", "y")
	open := b.RecordSend(sec+100*time.Millisecond, "s1")
	out := b.Tick(20 * sec)
	if v := b.zones[0].vote; v != VoteUnknown || b.RecentPeers() != 0 || out.RandomNotes == 0 || b.zones[0].record.Stage != StageOut {
		t.Errorf("after a suspension of 19 s: vote %v, want unknown; %d peers heard, want 0; %d notes to send, want some; record %v, want stage out", v, b.RecentPeers(), out.RandomNotes, b.zones[0].record)
	}
	b.RecordEnd(20*sec, open, ResultLate, false)
	b.Tick(20*sec + 50*time.Millisecond)
	if v := b.zones[0].vote; v != VoteUnknown {
		t.Errorf("vote %v by an attempt from before the suspension, want unknown", v)
	}
	if n := b.EncodeNote(20*sec, 150); n[11]&flagHello == 0 {
		t.Error("note has no hello flag")
	}
}

// A successful attempt that may have been sent before the failure began must not contradict it. One
// that was sent a moment later must.
func TestContradictionRequiresLaterSend(t *testing.T) {
	a, b := pair(t)
	for sent, want := range map[time.Duration]int{10*sec + 40*time.Millisecond: 0, 10*sec + 60*time.Millisecond: 1} {
		a.lastTick, b.lastTick, b.now = 10*sec, 10*sec+500*time.Millisecond, 10*sec+500*time.Millisecond
		a.zones[0].vote, a.zones[0].lastGoodSent = VoteFine, sent
		b.zones[0].suspectSince = 10 * sec
		b.ReceiveNote(b.now, 0, 5, a.EncodeNote(b.now, 150))
		if _, against := b.countVotes(b.zones[0]); against != want {
			t.Errorf("success sent %v after the first failure: %d contradict", sent-10*sec, against)
		}
	}
}

func TestConfigValidation(t *testing.T) {
	for want, invalidate := range map[string]func(c *Config){
		"zones.witnesses":  func(c *Config) { c.MinWitnesses = 0 },
		"zones.share":      func(c *Config) { c.MinFailingShare = 0.4 },
		"zones.fails":      func(c *Config) { c.FailingRatio = 1.1 },
		"zones.limps":      func(c *Config) { c.DegradedRatio = c.FailingRatio },
		"zones.silence":    func(c *Config) { c.ResponseTimeout = time.Millisecond },
		"zones.slow":       func(c *Config) { c.SlowFactor = 1 },
		"zones.window":     func(c *Config) { c.EvidenceWindow = c.ResponseTimeout - 1 },
		"zones.settle":     func(c *Config) { c.SettleDelay = c.EvidenceWindow },
		"zones.alone":      func(c *Config) { c.LocalDepartureDelay = c.SettleDelay - 1 },
		"zones.proof":      func(c *Config) { c.MinStageDuration = c.ResponseTimeout - 1 },
		"zones.dwell:":     func(c *Config) { c.MinDwell = c.MinStageDuration - 1 },
		"zones.dwell_most": func(c *Config) { c.MaxDwell = c.MinDwell - 1 },
		"zones.bears":      func(c *Config) { c.ServerCapacity = 0 },
		"zones.spread":     func(c *Config) { c.Fanout = 17 },
		"zones.full":       func(c *Config) { c.MaxRefusalShare = 0 },
		"zones.peers":      func(c *Config) { c.Peers = 0 },
		"zones.self":       func(c *Config) { c.Self = 1 },
	} {
		c := Default()
		if invalidate(&c); true {
			if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want one with %s", err, want)
			}
		}
	}
	c := Default()
	if _, err := New(c); err != nil {
		t.Error(err)
	}
}

// Parsed notes stay within the size limits, and a machine that received one still writes its own.
func FuzzNote(f *testing.F) {
	cfg := Default()
	cfg.Peers = 4
	m, _ := New(cfg)
	m.SetServers(sec, []Server{{"s1", "a"}, {"s2", "b"}})
	m.Tick(sec)
	f.Add(m.EncodeNote(sec, 150))
	m.SubmitOrder(sec, "a", "hold", "kim", "why not")
	f.Add(m.EncodeNote(sec, 150))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		n, ok := parseNote(b)
		if !ok {
			return
		}
		if len(n.who) > MaxWhoBytes || len(n.reason) > MaxReasonBytes || len(n.zones) > maxNoteZones {
			t.Errorf("note exceeds the limits: %+v", n)
		}
		cfg.Self = 3
		m, _ := New(cfg)
		m.SetServers(sec, []Server{{"s1", "a"}, {"s2", "b"}})
		m.ReceiveNote(2*sec, int(n.from), 1, b)
		m.Tick(3 * sec)
		if m.EncodeNote(3*sec, 150) == nil {
			t.Error("no note after receiving one")
		}
	})
}
