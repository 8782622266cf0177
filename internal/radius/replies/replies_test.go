package replies

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func cfg() Config {
	return Config{Keep: 10 * time.Second, Bytes: 1 << 20, EachClient: 1 << 18, Open: 1000}
}

func key(client, id int) Key {
	return Key{Client: netip.AddrFrom4([4]byte{127, 0, byte(client >> 8), byte(client)}), Code: 1, ID: byte(id), Authenticator: [16]byte{byte(id >> 8), byte(id >> 16)}}
}

func want(t *testing.T, what string, got, want Verdict) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d, want %d", what, got, want)
	}
}

// A retransmission joins its call, or gets its answer, for as long as that is kept.
func TestRetransmission(t *testing.T) {
	tb := NewTable(cfg())
	c, v := tb.Arrive(0, key(1, 1), "")
	want(t, "the first", v, New)
	again, v := tb.Arrive(time.Second, key(1, 1), "")
	if want(t, "while it is under way", v, Joined); again != c {
		t.Error("another call")
	}
	tb.End(2*time.Second, c, []byte("answer"))
	again, v = tb.Arrive(11*time.Second, key(1, 1), "")
	if want(t, "after its answer", v, Answered); string(again.Answer()) != "answer" {
		t.Errorf("%q", again.Answer())
	}
	_, v = tb.Arrive(12*time.Second, key(1, 1), "")
	want(t, "when it is forgotten", v, New)
	for name, k := range map[string]Key{"another client": key(2, 1), "another identifier": key(1, 2), "another authenticator": key(1, 257)} {
		_, v = tb.Arrive(12*time.Second, k, "")
		want(t, name, v, New)
	}
	k := key(1, 1)
	k.Code = 4
	_, v = tb.Arrive(12*time.Second, k, "")
	want(t, "another code", v, New)
}

// An event is one call under whatever identifiers it comes; another event is another.
func TestEvent(t *testing.T) {
	tb := NewTable(cfg())
	c, v := tb.Arrive(0, key(1, 1), "nas session stop 7")
	want(t, "the first", v, New)
	_, v = tb.Arrive(1, key(1, 2), "nas session stop 7")
	want(t, "with a new identifier", v, Joined)
	tb.End(2, c, []byte("x"))
	_, v = tb.Arrive(3, key(1, 3), "nas session stop 7")
	want(t, "after its answer", v, Answered)
	_, v = tb.Arrive(3, key(1, 4), "nas session interim 8")
	want(t, "another event", v, New)
}

// What was given up without answer is the client's to try again, as a new call.
func TestGivenUp(t *testing.T) {
	tb := NewTable(cfg())
	c, _ := tb.Arrive(0, key(1, 1), "e")
	c.Memo = "may have run at s1"
	tb.End(1, c, nil)
	again, v := tb.Arrive(2, key(1, 1), "e")
	if want(t, "its repeat", v, Ended); again == c || again.Memo != "may have run at s1" {
		t.Error("the call that has ended, or nothing is known of it")
	}
	_, v = tb.Arrive(3, key(1, 1), "e")
	want(t, "the repeat's repeat", v, Joined)
	tb.End(4, c, []byte("late")) // of the first: it has ended
	_, v = tb.Arrive(5, key(1, 1), "e")
	want(t, "after a late end of the first", v, Joined)
	tb.End(6, again, []byte("x"))
	_, v = tb.Arrive(7, key(1, 1), "e")
	want(t, "answered", v, Answered)
}

// A flood from one client takes its own room only: others' answers stay, and their
// calls are taken.
func TestFlood(t *testing.T) {
	c := Config{Keep: time.Hour, Bytes: 100 * overhead, EachClient: 20 * overhead, Open: 1000}
	tb := NewTable(c)
	quiet, _ := tb.Arrive(0, key(1, 1), "")
	tb.End(0, quiet, []byte("x"))
	for n := range 500 { // never ended
		_, v := tb.Arrive(1, key(2, n), "")
		if n < 20 != (v == New) {
			t.Fatalf("call %d of the flood: %d", n, v)
		}
	}
	for n := range 500 { // answered at once
		call, v := tb.Arrive(2, key(3, n), "")
		if want(t, "an answered flood", v, New); v == New {
			tb.End(2, call, []byte("answer"))
		}
	}
	_, v := tb.Arrive(3, key(1, 1), "")
	want(t, "the quiet one's answer", v, Answered)
	for n := range 200 { // many clients: all together are bounded too
		if call, v := tb.Arrive(4, key(100+n, 1), ""); v == New {
			tb.End(4, call, []byte("y"))
		}
	}
	if tb.Size() > c.Bytes {
		t.Errorf("%d bytes, %d at most", tb.Size(), c.Bytes)
	}
	_, v = tb.Arrive(5, key(5000, 1), "")
	want(t, "a new client's call", v, New)
}

// What a retry must know is handed on, or forgotten, once.
func TestMemo(t *testing.T) {
	c := cfg()
	var forgotten []any
	c.Forget = func(memo any) { forgotten = append(forgotten, memo) }
	tb := NewTable(c)
	call, _ := tb.Arrive(0, key(1, 1), "e")
	call.Memo = "a"
	tb.End(0, call, nil)
	retry, v := tb.Arrive(1, key(1, 1), "e")
	if want(t, "its retry", v, Ended); retry.Memo != "a" || len(forgotten) > 0 {
		t.Errorf("%v, forgotten %v", retry.Memo, forgotten)
	}
	tb.End(2, retry, nil)
	tb.Expire(time.Minute)
	if fmt.Sprint(forgotten) != "[a]" || tb.Len() != 0 {
		t.Errorf("forgotten %v", forgotten)
	}
	// Its retry finds no room: nobody holds it any more.
	c.Open = 1
	tb = NewTable(c)
	call, _ = tb.Arrive(0, key(1, 1), "e")
	call.Memo = "b"
	tb.End(0, call, nil)
	tb.Arrive(0, key(1, 2), "other")
	if _, v := tb.Arrive(1, key(1, 1), "e"); v != Full || fmt.Sprint(forgotten) != "[a b]" {
		t.Errorf("%d, forgotten %v", v, forgotten)
	}
}

// A Table that is shut joins and answers, and takes nothing new; what may be retried
// stays for the one that comes after.
func TestShut(t *testing.T) {
	tb := NewTable(cfg())
	open, _ := tb.Arrive(0, key(1, 1), "open")
	done, _ := tb.Arrive(0, key(1, 2), "done")
	tb.End(0, done, []byte("x"))
	given, _ := tb.Arrive(0, key(1, 3), "given up")
	given.Memo = "a"
	tb.End(0, given, nil)
	tb.Shut()
	for n, c := range []struct {
		id    int
		event string
		want  Verdict
	}{{1, "open", Joined}, {2, "done", Answered}, {3, "given up", Full}, {4, "new", Full}} {
		_, v := tb.Arrive(1, key(1, c.id), c.event)
		want(t, fmt.Sprint(n), v, c.want)
	}
	tb.End(2, open, []byte("y"))
	next := NewTable(cfg())
	for _, r := range tb.Records(3 * time.Second) {
		next.Restore(time.Hour, r)
	}
	again, v := next.Arrive(time.Hour+time.Second, key(1, 3), "given up")
	if want(t, "handed on", v, Ended); again.Memo != "a" {
		t.Errorf("%v", again.Memo)
	}
	if next.Expire(time.Hour + 9*time.Second); next.Len() != 1 {
		t.Errorf("%d are kept past their time", next.Len())
	}
}

// One client has so many calls under way and no more.
func TestOpen(t *testing.T) {
	c := cfg()
	c.Open = 3
	tb := NewTable(c)
	var last *Call
	for n := range 5 {
		call, v := tb.Arrive(0, key(1, n), "")
		if n < 3 != (v == New) {
			t.Errorf("call %d: %d", n, v)
		}
		if call != nil {
			last = call
		}
	}
	_, v := tb.Arrive(0, key(2, 1), "")
	want(t, "another client", v, New)
	tb.End(0, last, nil)
	_, v = tb.Arrive(0, key(1, 9), "")
	want(t, "after one has ended", v, New)
}

// An answer larger than there is room for is not remembered, and nothing else is lost.
func TestHugeAnswer(t *testing.T) {
	tb := NewTable(Config{Keep: time.Hour, Bytes: 1 << 20, EachClient: 3 * overhead, Open: 1000})
	c, _ := tb.Arrive(0, key(1, 1), "")
	tb.End(0, c, make([]byte, 4*overhead))
	if tb.Len() != 0 || tb.Size() != 0 {
		t.Errorf("%d calls of %d bytes", tb.Len(), tb.Size())
	}
}

// In any order the sums are right, the bounds kept, and a call is never two.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Keep: 5 * time.Second, Bytes: 12 * overhead, EachClient: 5 * overhead, Open: 4}
		tb := NewTable(c)
		now := time.Duration(0)
		under := make(map[Key]*Call)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			k := key(rapid.IntRange(1, 4).Draw(t, "client"), rapid.IntRange(1, 8).Draw(t, "id"))
			if call := under[k]; call != nil && rapid.Bool().Draw(t, "end") {
				var answer []byte
				if rapid.Bool().Draw(t, "answered") {
					answer = make([]byte, rapid.IntRange(1, 2*overhead).Draw(t, "size"))
				}
				tb.End(now, call, answer)
				delete(under, k)
			} else {
				event := ""
				if rapid.Bool().Draw(t, "accounting") {
					event = fmt.Sprint(k)
				}
				call, v := tb.Arrive(now, k, event)
				if (under[k] != nil) != (v == Joined) {
					t.Fatalf("%d, under way %v", v, under[k] != nil)
				}
				if v == New || v == Ended {
					under[k] = call
				}
			}
			sum, calls := 0, 0
			for _, cl := range tb.clients {
				if cl.size > c.EachClient {
					t.Fatalf("a client holds %d", cl.size)
				}
				sum += cl.size
				calls += cl.calls
			}
			if sum != tb.size || sum > c.Bytes || calls != tb.Len() || tb.Len()-tb.done.Len() != len(under) {
				t.Fatalf("%d bytes in %d calls, counted %d in %d, %d under way", sum, calls, tb.size, tb.Len(), len(under))
			}
		}
	})
}

// The bytes that are counted are those that are used, within half.
func TestCountedBytes(t *testing.T) {
	heap := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heap()
	tb := NewTable(Config{Keep: time.Hour, Bytes: 1 << 30, EachClient: 1 << 30, Open: 1 << 30})
	const many = 10000
	for n := range many {
		c, _ := tb.Arrive(0, key(n, n), fmt.Sprintf("nas-%d session-%08d stop", n, n))
		tb.End(0, c, make([]byte, 64))
	}
	used := heap() - before
	t.Logf("%d remembered answers: %d KB used, %d KB counted", many, used>>10, tb.Size()>>10)
	if used > tb.Size()*3/2 {
		t.Errorf("%d bytes used, %d counted", used, tb.Size())
	}
	runtime.KeepAlive(tb)
}
