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
	clientSecret = []byte("of the terminals")
	clientAddr   = netip.MustParseAddr("127.0.0.1")
)

// newListenerWithoutServers opens a Listener that has no servers, so each call is given up.
func newListenerWithoutServers(t testing.TB, accounting bool) *Listener {
	l, err := Listen("127.0.0.1:0", Config{
		Accounting:    accounting,
		Clients:       []Client{{Name: "shop", Range: netip.PrefixFrom(clientAddr, 32), Secret: clientSecret}},
		HostForRealm:  func(string) *core.Host { return nil },
		Replies:       replies.Config{TTL: time.Minute, MaxBytes: 1 << 16, MaxBytesPerClient: 1 << 15, MaxCallsPerClient: 10},
		Conversations: conversation.Config{TTL: time.Minute, MaxEntries: 10},
		ErrorCause:    502,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// attributes lists the types and values of a request's attributes.
type attributes [][2]any

func accountingPacket(t *testing.T, attrs attributes) *radius.Packet {
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

// Packets that report the same event must get the same name, or the event would be counted twice.
// Packets that report different events must get different names, or one would never be counted.
func TestEventNames(t *testing.T) {
	const (
		octets      = radius.Type(42)
		sessionTime = acctSessionTime
	)
	start := attributes{{radius.NASIdentifier, "shop"}, {radius.AcctSessionID, "s1"}, {radius.AcctStatusType, 1}, {radius.EventTimestamp, 100}}
	update := attributes{{radius.NASIdentifier, "shop"}, {radius.AcctSessionID, "s1"}, {radius.AcctStatusType, statusInterimUpdate}, {octets, 5}}
	with := func(a attributes, more ...[2]any) attributes { return append(append(attributes{}, a...), more...) }
	other := netip.MustParseAddr("127.0.0.9")
	for _, c := range []struct {
		name string
		a, b attributes
		from netip.Addr
		same bool
	}{
		{"another delay", with(start, [2]any{radius.AcctDelayTime, 0}), with(start, [2]any{radius.AcctDelayTime, 9}), clientAddr, true},
		{"a proxy's state", start, with(start, [2]any{radius.ProxyState, "x"}), clientAddr, true},
		{"other counters at the same time", with(start, [2]any{octets, 1}), with(start, [2]any{octets, 2}), clientAddr, true},
		{"another client", start, start, other, false},
		{"another session", start, with(attributes{{radius.AcctSessionID, "s2"}}, start...), clientAddr, false},
		{"another status", start, with(attributes{{radius.AcctStatusType, 2}}, start...), clientAddr, false},
		{"another time", start, with(attributes{{radius.EventTimestamp, 101}}, start...), clientAddr, false},
		{"another NAS", start, with(attributes{{radius.NASIdentifier, "kiosk"}}, start...), clientAddr, false},
		{"values that run into one another", attributes{{radius.NASIdentifier, "ab"}, {radius.AcctSessionID, "c"}}, attributes{{radius.NASIdentifier, "a"}, {radius.AcctSessionID, "bc"}}, clientAddr, false},
		{"an update's session time", with(update, [2]any{sessionTime, 60}), with(update, [2]any{sessionTime, 120}), clientAddr, false},
		{"an update's session time again", with(update, [2]any{sessionTime, 60}), with(update, [2]any{sessionTime, 60}, [2]any{radius.AcctDelayTime, 9}), clientAddr, true},
		{"an update without a time", update, with(attributes{{radius.AcctDelayTime, 9}}, update...), clientAddr, true},
		{"another update without a time", update, with(attributes{{octets, 6}}, update...), clientAddr, false},
	} {
		a, b := EventName(clientAddr, accountingPacket(t, c.a)), EventName(c.from, accountingPacket(t, c.b))
		if len(a) != eventNameBytes || (a == b) != c.same {
			t.Errorf("%s: names %x and %x", c.name, a, b)
		}
	}
	if e := EventName(clientAddr, accountingPacket(t, attributes{{radius.AcctStatusType, 7}})); e != "" {
		t.Errorf("a request without a session got the name %x", e)
	}
}

// Every request under the right secret must end in exactly one counter, without a panic and within
// the bounds of the memory. As there are no servers, no call may stay under way.
func FuzzTake(f *testing.F) {
	f.Add(false, byte(1), []byte{1, 4, 'u', '@'})
	f.Add(true, byte(4), []byte{44, 4, 's', '1', 40, 6, 0, 0, 0, 3})
	f.Add(true, byte(4), []byte{44, 2, 40, 3, 1, 55, 2, 46, 255})
	f.Add(false, byte(12), []byte{33, 2, 33, 3, 9})
	f.Add(false, byte(1), bytes.Repeat([]byte{33, 255}, 40))
	accessListener, accountingListener := newListenerWithoutServers(f, false), newListenerWithoutServers(f, true)
	f.Fuzz(func(t *testing.T, accounting bool, code byte, attrs []byte) {
		listener := accessListener
		if accounting {
			listener = accountingListener
		}
		wire := append([]byte{code, identifierFor(attrs), 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 80, 18)
		wire = append(append(wire, make([]byte, 16)...), attrs...)
		wire[2], wire[3] = byte(len(wire)>>8), byte(len(wire))
		before := listener.Counts()
		if p, err := radius.Parse(bytes.Clone(wire)); err == nil {
			p.SignRequest(clientSecret)
			wire = p.Marshal()
		}
		listener.handleDatagram(wire, netip.AddrPortFrom(clientAddr, 9))
		after := listener.Counts()
		if after.Requests != before.Requests+1 {
			t.Error("the datagram was not counted")
		}
		ends := func(c Counts) int64 {
			return c.Malformed + c.Unexpected + c.Unsigned + c.Unverified + c.Joined + c.Remembered + c.TableFull + c.NoRealm
		}
		if n := ends(after) - ends(before); n != 1 && code != byte(radius.StatusServer) || n > 1 {
			t.Errorf("the request ended %d times: %+v, then %+v", n, before, after)
		}
		if listener.table.Size() > 1<<15 {
			t.Errorf("%d bytes remembered, above the bound", listener.table.Size())
		}
	})
}

// identifierFor derives a packet identifier from the attributes, so that equal attributes come as a
// retransmission and different ones mostly as another packet.
func identifierFor(attrs []byte) (id byte) {
	for _, b := range attrs {
		id = id*31 + b
	}
	return id
}

// Load must return the right number of calls for any file, valid or not. The calls must stay within
// the bounds, and it must be possible to save them again.
func FuzzLoad(f *testing.F) {
	f.Add(`{"Version":1,"Saved":"2026-01-01T00:00:00Z","Calls":[{"Client":"127.0.0.1","Code":4,"ID":1,"Authenticator":"AAAAAAAAAAAAAAAAAAAAAA==","Event":"AAAA","Answer":"AAAA","Until":"2026-01-01T00:00:30Z"}]}`)
	f.Add(`{"Version":1,"Calls":[{"Client":"","MayHaveRun":"r1"}]}`)
	f.Add(`{"Version":1,"Calls":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		listener := newListenerWithoutServers(t, true)
		defer listener.Close()
		// Moves the expiry into the time that a loaded call may have left.
		text = strings.ReplaceAll(text, "2026-01-01T00:00:30Z", time.Now().Add(30*time.Second).Format(time.RFC3339))
		n, err := listener.Load(strings.NewReader(text))
		if n != listener.table.Len() || n > 1000 {
			t.Errorf("%d calls loaded, %d in the table, %v", n, listener.table.Len(), err)
		}
		var b bytes.Buffer
		if err := listener.Save(&b); err != nil {
			t.Error(err)
		}
	})
}

// A Listener that loads the saved calls of another must answer their retransmissions, until the
// entries expire. Calls that no server can have run are not saved, and a file from the future is
// rejected.
func TestNextListenerLoadsSavedCalls(t *testing.T) {
	previous := newListenerWithoutServers(t, true)
	key := replies.Key{Client: clientAddr, Code: 4, ID: 1, Authenticator: [16]byte{7}}
	answered, _ := previous.table.Arrive(previous.now(), key, "event of 16 byte")
	previous.table.End(previous.now(), answered, []byte("the answer"))
	neverSent, _ := previous.table.Arrive(previous.now(), replies.Key{Client: clientAddr, Code: 4, ID: 2}, "another")
	previous.table.End(previous.now(), neverSent, nil) // ended without having been sent
	var b bytes.Buffer
	if err := previous.Save(&b); err != nil {
		t.Fatal(err)
	}
	next := newListenerWithoutServers(t, true)
	if n, err := next.Load(bytes.NewReader(b.Bytes())); n != 1 || err != nil {
		t.Fatalf("%d calls loaded, want 1: %v", n, err)
	}
	again, verdict := next.table.Arrive(next.now(), replies.Key{Client: clientAddr, Code: 4, ID: 9}, "event of 16 byte")
	if verdict != replies.Answered || string(again.Answer()) != "the answer" {
		t.Errorf("retransmission of a loaded call: verdict %v, call %v", verdict, again)
	}
	next.table.Expire(next.now() + time.Minute)
	if next.table.Len() != 0 {
		t.Error("a loaded call is kept after it expired")
	}
	future := strings.Replace(b.String(), `"Saved":"20`, `"Saved":"21`, 1)
	if n, err := newListenerWithoutServers(t, true).Load(strings.NewReader(future)); n != 0 || err == nil {
		t.Errorf("a file saved in the future: %d calls loaded, %v", n, err)
	}
}
