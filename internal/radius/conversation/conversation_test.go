package conversation

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

func TestTable(t *testing.T) {
	a, b := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	tb := New(Config{Keep: 10 * time.Second, Most: 3})
	tb.Bind(0, a, []byte("x"), "s1")
	tb.Bind(1, b, []byte("x"), "s2")
	if tb.Server(2, a, []byte("x")) != "s1" || tb.Server(2, b, []byte("x")) != "s2" || tb.Server(2, a, []byte("y")) != "" {
		t.Error("not by client and state")
	}
	if tb.Server(10*time.Second, a, []byte("x")) != "" {
		t.Error("kept for too long")
	}
	tb.Bind(5*time.Second, a, []byte("x"), "s3") // again: it lives on
	if tb.Server(12*time.Second, a, []byte("x")) != "s3" || tb.Len() != 2 {
		t.Error("bound again")
	}
	for n := range 100 {
		tb.Bind(6*time.Second, a, fmt.Append(nil, n), "s")
		if tb.Len() > 3 {
			t.Fatalf("%d held", tb.Len())
		}
	}
	if tb.Server(6*time.Second, a, []byte("97")) != "s" || tb.Server(6*time.Second, a, []byte("x")) != "" {
		t.Error("the oldest gives way")
	}
	tb.Bind(time.Minute, a, []byte("z"), "s")
	if tb.Len() != 1 {
		t.Error("what has expired is held")
	}
}
