package replies

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{TTL: 10 * time.Second, MaxBytes: 1 << 20, MaxBytesPerClient: 1 << 18, MaxCallsPerClient: 1000}
}

func testKey(client, id int) Key {
	return Key{Client: netip.AddrFrom4([4]byte{127, 0, byte(client >> 8), byte(client)}), Code: 1, ID: byte(id), Authenticator: [16]byte{byte(id >> 8), byte(id >> 16)}}
}

func expectVerdict(t *testing.T, step string, got, want Verdict) {
	t.Helper()
	if got != want {
		t.Errorf("%s: verdict %d, want %d", step, got, want)
	}
}

// A retransmission must join its call, or get its answer while that is kept, and not run again.
// A packet that differs in client, code, identifier or authenticator is another call.
func TestRetransmissionJoinsOrGetsTheAnswer(t *testing.T) {
	table := NewTable(testConfig())
	call, verdict := table.Arrive(0, testKey(1, 1), "")
	expectVerdict(t, "the first", verdict, New)
	again, verdict := table.Arrive(time.Second, testKey(1, 1), "")
	if expectVerdict(t, "while it is under way", verdict, Joined); again != call {
		t.Error("the retransmission got another call")
	}
	table.End(2*time.Second, call, []byte("answer"))
	again, verdict = table.Arrive(11*time.Second, testKey(1, 1), "")
	if expectVerdict(t, "after its answer", verdict, Answered); string(again.Answer()) != "answer" {
		t.Errorf("remembered answer %q, want \"answer\"", again.Answer())
	}
	_, verdict = table.Arrive(12*time.Second, testKey(1, 1), "")
	expectVerdict(t, "after the entry expired", verdict, New)
	for name, k := range map[string]Key{"another client": testKey(2, 1), "another identifier": testKey(1, 2), "another authenticator": testKey(1, 257)} {
		_, verdict = table.Arrive(12*time.Second, k, "")
		expectVerdict(t, name, verdict, New)
	}
	k := testKey(1, 1)
	k.Code = 4
	_, verdict = table.Arrive(12*time.Second, k, "")
	expectVerdict(t, "another code", verdict, New)
}

// A client sends an accounting event again with a new identifier when Acct-Delay-Time changes. The
// packets must be one call, or the event would be counted twice.
func TestAccountingEventIsOneCall(t *testing.T) {
	table := NewTable(testConfig())
	call, verdict := table.Arrive(0, testKey(1, 1), "nas session stop 7")
	expectVerdict(t, "the first", verdict, New)
	_, verdict = table.Arrive(1, testKey(1, 2), "nas session stop 7")
	expectVerdict(t, "with a new identifier", verdict, Joined)
	table.End(2, call, []byte("x"))
	_, verdict = table.Arrive(3, testKey(1, 3), "nas session stop 7")
	expectVerdict(t, "after its answer", verdict, Answered)
	_, verdict = table.Arrive(3, testKey(1, 4), "nas session interim 8")
	expectVerdict(t, "another event", verdict, New)
}

// When a call was given up without answer, the client's next packet must become a new call that
// has the first one's RetryState. A late end of the first call must not end the new one.
func TestCallWithoutAnswerCanBeRetried(t *testing.T) {
	table := NewTable(testConfig())
	first, _ := table.Arrive(0, testKey(1, 1), "e")
	first.RetryState = "may have run at s1"
	table.End(1, first, nil)
	again, verdict := table.Arrive(2, testKey(1, 1), "e")
	if expectVerdict(t, "its repeat", verdict, Retried); again == first || again.RetryState != "may have run at s1" {
		t.Error("the retry is the ended call itself, or lacks its RetryState")
	}
	_, verdict = table.Arrive(3, testKey(1, 1), "e")
	expectVerdict(t, "the repeat's repeat", verdict, Joined)
	table.End(4, first, []byte("late")) // ignored: the first call has ended already
	_, verdict = table.Arrive(5, testKey(1, 1), "e")
	expectVerdict(t, "after a late end of the first", verdict, Joined)
	table.End(6, again, []byte("x"))
	_, verdict = table.Arrive(7, testKey(1, 1), "e")
	expectVerdict(t, "answered", verdict, Answered)
}

// A flood of calls from one client must use up that client's bound only: the answers of other
// clients stay and their calls are accepted. A flood from many clients stays within the total.
func TestFloodOfOneClientLeavesOthers(t *testing.T) {
	config := Config{TTL: time.Hour, MaxBytes: 100 * entryOverheadBytes, MaxBytesPerClient: 20 * entryOverheadBytes, MaxCallsPerClient: 1000}
	table := NewTable(config)
	quiet, _ := table.Arrive(0, testKey(1, 1), "")
	table.End(0, quiet, []byte("x"))
	for n := range 500 { // calls that never end
		_, verdict := table.Arrive(1, testKey(2, n), "")
		if n < 20 != (verdict == New) {
			t.Fatalf("call %d of the flood: verdict %d", n, verdict)
		}
	}
	for n := range 500 { // calls that are answered at once
		call, verdict := table.Arrive(2, testKey(3, n), "")
		if expectVerdict(t, "an answered flood", verdict, New); verdict == New {
			table.End(2, call, []byte("answer"))
		}
	}
	_, verdict := table.Arrive(3, testKey(1, 1), "")
	expectVerdict(t, "the quiet client's answer", verdict, Answered)
	for n := range 200 { // many clients, bounded by the total
		if call, verdict := table.Arrive(4, testKey(100+n, 1), ""); verdict == New {
			table.End(4, call, []byte("y"))
		}
	}
	if table.Size() > config.MaxBytes {
		t.Errorf("%d bytes counted, want at most %d", table.Size(), config.MaxBytes)
	}
	_, verdict = table.Arrive(5, testKey(5000, 1), "")
	expectVerdict(t, "a new client's call", verdict, New)
}

// The RetryState of a call must be passed on to its retry, or reported to OnForget, and that only
// once: it holds resources that must be freed.
func TestRetryStateIsPassedOnOrForgottenOnce(t *testing.T) {
	config := testConfig()
	var forgotten []any
	config.OnForget = func(retryState any) { forgotten = append(forgotten, retryState) }
	table := NewTable(config)
	call, _ := table.Arrive(0, testKey(1, 1), "e")
	call.RetryState = "a"
	table.End(0, call, nil)
	retry, verdict := table.Arrive(1, testKey(1, 1), "e")
	if expectVerdict(t, "its retry", verdict, Retried); retry.RetryState != "a" || len(forgotten) > 0 {
		t.Errorf("RetryState %v, forgotten %v; want a and none", retry.RetryState, forgotten)
	}
	table.End(2, retry, nil)
	table.Expire(time.Minute)
	if fmt.Sprint(forgotten) != "[a]" || table.Len() != 0 {
		t.Errorf("forgotten %v, want [a] and no entry left", forgotten)
	}
	// There is no room for the retry: its state must be reported, as no entry has it any more.
	config.MaxCallsPerClient = 1
	table = NewTable(config)
	call, _ = table.Arrive(0, testKey(1, 1), "e")
	call.RetryState = "b"
	table.End(0, call, nil)
	table.Arrive(0, testKey(1, 2), "other")
	if _, verdict := table.Arrive(1, testKey(1, 1), "e"); verdict != Full || fmt.Sprint(forgotten) != "[a b]" {
		t.Errorf("retry without room: verdict %d, forgotten %v", verdict, forgotten)
	}
}

// A Table that drains must still join and answer retransmissions, but accept no new calls and no
// retries. A call that may be retried is handed over to the next Table with its RetryState.
func TestDrainAndRestore(t *testing.T) {
	table := NewTable(testConfig())
	open, _ := table.Arrive(0, testKey(1, 1), "open")
	done, _ := table.Arrive(0, testKey(1, 2), "done")
	table.End(0, done, []byte("x"))
	givenUp, _ := table.Arrive(0, testKey(1, 3), "given up")
	givenUp.RetryState = "a"
	table.End(0, givenUp, nil)
	table.Drain()
	for n, c := range []struct {
		id    int
		event string
		want  Verdict
	}{{1, "open", Joined}, {2, "done", Answered}, {3, "given up", Full}, {4, "new", Full}} {
		_, verdict := table.Arrive(1, testKey(1, c.id), c.event)
		expectVerdict(t, fmt.Sprint(n), verdict, c.want)
	}
	table.End(2, open, []byte("y"))
	next := NewTable(testConfig())
	for _, r := range table.Records(3 * time.Second) {
		next.Restore(time.Hour, r)
	}
	again, verdict := next.Arrive(time.Hour+time.Second, testKey(1, 3), "given up")
	if expectVerdict(t, "handed over", verdict, Retried); again.RetryState != "a" {
		t.Errorf("RetryState %v, want a", again.RetryState)
	}
	if next.Expire(time.Hour + 9*time.Second); next.Len() != 1 {
		t.Errorf("%d entries, want only the retry under way: the others have expired", next.Len())
	}
}

// The calls under way of one client are bounded; other clients are not affected, and the end of a
// call makes room for another.
func TestCallsUnderWayAreBoundedPerClient(t *testing.T) {
	config := testConfig()
	config.MaxCallsPerClient = 3
	table := NewTable(config)
	var last *Call
	for n := range 5 {
		call, verdict := table.Arrive(0, testKey(1, n), "")
		if n < 3 != (verdict == New) {
			t.Errorf("call %d: verdict %d", n, verdict)
		}
		if call != nil {
			last = call
		}
	}
	_, verdict := table.Arrive(0, testKey(2, 1), "")
	expectVerdict(t, "another client", verdict, New)
	table.End(0, last, nil)
	_, verdict = table.Arrive(0, testKey(1, 9), "")
	expectVerdict(t, "after one has ended", verdict, New)
}

// An answer larger than its client's bound must not be remembered, and must leave no bytes counted.
func TestTooLargeAnswerIsNotRemembered(t *testing.T) {
	table := NewTable(Config{TTL: time.Hour, MaxBytes: 1 << 20, MaxBytesPerClient: 3 * entryOverheadBytes, MaxCallsPerClient: 1000})
	call, _ := table.Arrive(0, testKey(1, 1), "")
	table.End(0, call, make([]byte, 4*entryOverheadBytes))
	if table.Len() != 0 || table.Size() != 0 {
		t.Errorf("%d calls of %d bytes are remembered, want none", table.Len(), table.Size())
	}
}

// In any order of calls, the totals must match the entries, the bounds must hold, and a
// retransmission must join its call under way.
func TestTotalsAndBoundsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{TTL: 5 * time.Second, MaxBytes: 12 * entryOverheadBytes, MaxBytesPerClient: 5 * entryOverheadBytes, MaxCallsPerClient: 4}
		table := NewTable(config)
		now := time.Duration(0)
		underWay := make(map[Key]*Call)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			key := testKey(rapid.IntRange(1, 4).Draw(t, "client"), rapid.IntRange(1, 8).Draw(t, "id"))
			if call := underWay[key]; call != nil && rapid.Bool().Draw(t, "end") {
				var answer []byte
				if rapid.Bool().Draw(t, "answered") {
					answer = make([]byte, rapid.IntRange(1, 2*entryOverheadBytes).Draw(t, "size"))
				}
				table.End(now, call, answer)
				delete(underWay, key)
			} else {
				event := ""
				if rapid.Bool().Draw(t, "accounting") {
					event = fmt.Sprint(key)
				}
				call, verdict := table.Arrive(now, key, event)
				if (underWay[key] != nil) != (verdict == Joined) {
					t.Fatalf("verdict %d, though under way is %v", verdict, underWay[key] != nil)
				}
				if verdict == New || verdict == Retried {
					underWay[key] = call
				}
			}
			sum, calls := 0, 0
			for _, client := range table.clients {
				if client.size > config.MaxBytesPerClient {
					t.Fatalf("a client's entries have %d bytes: over the bound", client.size)
				}
				sum += client.size
				calls += client.calls
			}
			if sum != table.size || sum > config.MaxBytes || calls != table.Len() || table.Len()-table.ended.Len() != len(underWay) {
				t.Fatalf("%d bytes in %d calls, counted as %d in %d, %d under way", sum, calls, table.size, table.Len(), len(underWay))
			}
		}
	})
}

// Size must be close to the memory in use: entries may take at most 1.5 times the counted bytes, or
// the bounds in bytes would not limit the memory.
func TestSizeIsCloseToUsedMemory(t *testing.T) {
	heap := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heap()
	table := NewTable(Config{TTL: time.Hour, MaxBytes: 1 << 30, MaxBytesPerClient: 1 << 30, MaxCallsPerClient: 1 << 30})
	const many = 10000
	for n := range many {
		call, _ := table.Arrive(0, testKey(n, n), fmt.Sprintf("nas-%d session-%08d stop", n, n))
		table.End(0, call, make([]byte, 64))
	}
	used := heap() - before
	t.Logf("%d remembered answers: %d KB used, %d KB counted", many, used>>10, table.Size()>>10)
	if used > table.Size()*3/2 {
		t.Errorf("%d bytes used for %d counted, want at most 1.5 times as many", used, table.Size())
	}
	runtime.KeepAlive(table)
}
