package conversation

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// Entries must be found by client and State together, expire at their time, and stay within the
// bound. Binding an entry again renews its time.
func TestEntriesExpireAndAreBounded(t *testing.T) {
	a, b := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	table := New(Config{TTL: 10 * time.Second, MaxEntries: 3})
	table.Bind(0, a, []byte("x"), "s1")
	table.Bind(1, b, []byte("x"), "s2")
	if table.ServerFor(2, a, []byte("x")) != "s1" || table.ServerFor(2, b, []byte("x")) != "s2" || table.ServerFor(2, a, []byte("y")) != "" {
		t.Error("entries of another client or State were returned")
	}
	if table.ServerFor(10*time.Second, a, []byte("x")) != "" {
		t.Error("an entry is found after its time")
	}
	table.Bind(5*time.Second, a, []byte("x"), "s3") // renews the time of the entry
	if table.ServerFor(12*time.Second, a, []byte("x")) != "s3" || table.Len() != 2 {
		t.Error("an entry that was bound again is not renewed, or is there twice")
	}
	for n := range 100 {
		table.Bind(6*time.Second, a, fmt.Append(nil, n), "s")
		if table.Len() > 3 {
			t.Fatalf("%d entries, 3 at most", table.Len())
		}
	}
	if table.ServerFor(6*time.Second, a, []byte("97")) != "s" || table.ServerFor(6*time.Second, a, []byte("x")) != "" {
		t.Error("the oldest entries were not the ones evicted")
	}
	table.Bind(time.Minute, a, []byte("z"), "s")
	if table.Len() != 1 {
		t.Error("expired entries were not evicted")
	}
}
