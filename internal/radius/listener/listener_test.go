package listener

import (
	"bytes"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/core"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/conversation"
	"chalkrack/internal/radius/replies"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

var (
	secret = []byte("of the terminals")
	shop   = netip.MustParseAddr("127.0.0.1")
)

// alone is a Listener that has no servers: each call is given up.
func alone(t testing.TB, accounting bool) *Listener {
	l, err := Listen("127.0.0.1:0", Config{
		Accounting:    accounting,
		Clients:       []Client{{Name: "shop", Range: netip.PrefixFrom(shop, 32), Secret: secret}},
		Pool:          func(string) *core.Host { return nil },
		Replies:       replies.Config{Keep: time.Minute, Bytes: 1 << 16, EachClient: 1 << 15, Open: 10},
		Conversations: conversation.Config{Keep: time.Minute, Most: 10},
		ErrorCause:    502,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Shut)
	return l
}

// attributes of an event, as type and value.
type attributes [][2]any

func accounting(t *testing.T, attrs attributes) *radius.Packet {
	p := &radius.Packet{Code: radius.AccountingRequest}
	for _, a := range attrs {
		var err error
		switch v := a[1].(type) {
		case string:
			err = p.Add(a[0].(radius.Type), []byte(v))
		case int:
			err = p.AddUint32(a[0].(radius.Type), uint32(v))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// Which packets tell of one event, and which do not.
func TestEvent(t *testing.T) {
	const (
		octets = radius.Type(42)
		took   = acctSessionTime
	)
	start := attributes{{radius.NASIdentifier, "shop"}, {radius.AcctSessionID, "s1"}, {radius.AcctStatusType, 1}, {radius.EventTimestamp, 100}}
	update := attributes{{radius.NASIdentifier, "shop"}, {radius.AcctSessionID, "s1"}, {radius.AcctStatusType, interim}, {octets, 5}}
	with := func(a attributes, more ...[2]any) attributes { return append(append(attributes{}, a...), more...) }
	other := netip.MustParseAddr("127.0.0.9")
	for _, c := range []struct {
		name string
		a, b attributes
		from netip.Addr
		same bool
	}{
		{"another delay", with(start, [2]any{radius.AcctDelayTime, 0}), with(start, [2]any{radius.AcctDelayTime, 9}), shop, true},
		{"a proxy's state", start, with(start, [2]any{radius.ProxyState, "x"}), shop, true},
		{"other counters at the same time", with(start, [2]any{octets, 1}), with(start, [2]any{octets, 2}), shop, true},
		{"another client", start, start, other, false},
		{"another session", start, with(attributes{{radius.AcctSessionID, "s2"}}, start...), shop, false},
		{"another status", start, with(attributes{{radius.AcctStatusType, 2}}, start...), shop, false},
		{"another time", start, with(attributes{{radius.EventTimestamp, 101}}, start...), shop, false},
		{"another NAS", start, with(attributes{{radius.NASIdentifier, "kiosk"}}, start...), shop, false},
		{"values that run into one another", attributes{{radius.NASIdentifier, "ab"}, {radius.AcctSessionID, "c"}}, attributes{{radius.NASIdentifier, "a"}, {radius.AcctSessionID, "bc"}}, shop, false},
		{"an update's session time", with(update, [2]any{took, 60}), with(update, [2]any{took, 120}), shop, false},
		{"an update's session time again", with(update, [2]any{took, 60}), with(update, [2]any{took, 60}, [2]any{radius.AcctDelayTime, 9}), shop, true},
		{"an update without a time", update, with(attributes{{radius.AcctDelayTime, 9}}, update...), shop, true},
		{"another update without a time", update, with(attributes{{octets, 6}}, update...), shop, false},
	} {
		a, b := Event(shop, accounting(t, c.a)), Event(c.from, accounting(t, c.b))
		if len(a) != eventSize || (a == b) != c.same {
			t.Errorf("%s: %x and %x", c.name, a, b)
		}
	}
	if e := Event(shop, accounting(t, attributes{{radius.AcctStatusType, 7}})); e != "" {
		t.Errorf("without a session: %x", e)
	}
}

// Whatever comes under a good secret ends in a count, within the bounds, without a panic;
// nothing of it is left under way.
func FuzzTake(f *testing.F) {
	f.Add(false, byte(1), []byte{1, 4, 'u', '@'})
	f.Add(true, byte(4), []byte{44, 4, 's', '1', 40, 6, 0, 0, 0, 3})
	f.Add(true, byte(4), []byte{44, 2, 40, 3, 1, 55, 2, 46, 255})
	f.Add(false, byte(12), []byte{33, 2, 33, 3, 9})
	f.Add(false, byte(1), bytes.Repeat([]byte{33, 255}, 40))
	access, events := alone(f, false), alone(f, true)
	f.Fuzz(func(t *testing.T, accounting bool, code byte, attrs []byte) {
		l := access
		if accounting {
			l = events
		}
		wire := append([]byte{code, attrs2id(attrs), 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 80, 18)
		wire = append(append(wire, make([]byte, 16)...), attrs...)
		wire[2], wire[3] = byte(len(wire)>>8), byte(len(wire))
		before := l.Counts()
		if p, err := radius.Parse(bytes.Clone(wire)); err == nil {
			p.SignRequest(secret)
			wire = p.Marshal()
		}
		l.take(wire, netip.AddrPortFrom(shop, 9))
		after := l.Counts()
		if after.Requests != before.Requests+1 {
			t.Error("not counted")
		}
		ends := func(c Counts) int64 {
			return c.Malformed + c.Unexpected + c.Unsigned + c.Unverified + c.Joined + c.Remembered + c.Full + c.NoRealm
		}
		if n := ends(after) - ends(before); n != 1 && code != byte(radius.StatusServer) || n > 1 {
			t.Errorf("%d ends: %+v, then %+v", n, before, after)
		}
		if l.table.Size() > 1<<15 {
			t.Errorf("%d bytes", l.table.Size())
		}
	})
}

// attrs2id lets equal attributes come under one identifier, and others under others.
func attrs2id(attrs []byte) (id byte) {
	for _, b := range attrs {
		id = id*31 + b
	}
	return id
}

// Whatever lies in a file, what is loaded of it stays within bounds, and can be saved.
func FuzzLoad(f *testing.F) {
	f.Add(`{"Version":1,"Saved":"2026-01-01T00:00:00Z","Calls":[{"Client":"127.0.0.1","Code":4,"ID":1,"Authenticator":"AAAAAAAAAAAAAAAAAAAAAA==","Event":"AAAA","Answer":"AAAA","Until":"2026-01-01T00:00:30Z"}]}`)
	f.Add(`{"Version":1,"Calls":[{"Client":"","MayHaveRun":"r1"}]}`)
	f.Add(`{"Version":1,"Calls":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		l := alone(t, true)
		defer l.Shut()
		// Within the time that a record may have left.
		text = strings.ReplaceAll(text, "2026-01-01T00:00:30Z", time.Now().Add(30*time.Second).Format(time.RFC3339))
		n, err := l.Load(strings.NewReader(text))
		if n != l.table.Len() || n > 1000 {
			t.Errorf("%d taken, %d there, %v", n, l.table.Len(), err)
		}
		var b bytes.Buffer
		if err := l.Save(&b); err != nil {
			t.Error(err)
		}
	})
}

// What one Listener saves the next has, for as long as was left.
func TestSaveAndLoad(t *testing.T) {
	l := alone(t, true)
	key := replies.Key{Client: shop, Code: 4, ID: 1, Authenticator: [16]byte{7}}
	c, _ := l.table.Arrive(l.now(), key, "event of 16 byte")
	l.table.End(l.now(), c, []byte("the answer"))
	never, _ := l.table.Arrive(l.now(), replies.Key{Client: shop, Code: 4, ID: 2}, "another")
	l.table.End(l.now(), never, nil) // ended, and never sent
	var b bytes.Buffer
	if err := l.Save(&b); err != nil {
		t.Fatal(err)
	}
	next := alone(t, true)
	if n, err := next.Load(bytes.NewReader(b.Bytes())); n != 1 || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
	again, verdict := next.table.Arrive(next.now(), replies.Key{Client: shop, Code: 4, ID: 9}, "event of 16 byte")
	if verdict != replies.Answered || string(again.Answer()) != "the answer" {
		t.Errorf("%v %v", verdict, again)
	}
	next.table.Expire(next.now() + time.Minute)
	if next.table.Len() != 0 {
		t.Error("kept past its time")
	}
	future := strings.Replace(b.String(), `"Saved":"20`, `"Saved":"21`, 1)
	if n, err := alone(t, true).Load(strings.NewReader(future)); n != 0 || err == nil {
		t.Errorf("from the future: %d, %v", n, err)
	}
}
