package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

const testTimeout = 20 * time.Second

// patientTiming has a long call timeout, so that slow machines do not fail unrelated tests.
var patientTiming = Timing{CallTimeout: testTimeout, SilenceTimeout: AgentTiming.SilenceTimeout, MinBackoff: AgentTiming.MinBackoff, MaxBackoff: AgentTiming.MaxBackoff}

func entry(name string) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","zone":"a","group":3,"status":"up","weight":1.5,"since_ms":2}`, name)
}

func list(index int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`+"\n", index, whole, strings.Join(entries, ","))
}

func TestParse(t *testing.T) {
	l, err := Parse([]byte(list(7, true, entry("s"), `{"name":"t","status":"removed"}`)))
	if err != nil || l.Version != 7 || !l.Complete || len(l.Entries) != 2 {
		t.Fatalf("Parse = %+v, %v", l, err)
	}
	want := chalkrack.Endpoint{Name: "s", Zone: "a", Group: 3, Hint: 1.5, Started: 2 * time.Millisecond}
	if e := l.Entries[0]; e.Endpoint != want || e.Address != "127.0.0.1:1" {
		t.Errorf("first entry %+v", e)
	}
	if l.Entries[1].State != chalkrack.Gone {
		t.Errorf("second entry %+v, want state Gone", l.Entries[1])
	}
	for _, bad := range []string{`{"status":"up","address":"a:1"}`, `{"name":"x","status":"odd","address":"a:1"}`,
		`{"name":"x","status":"up","address":"nowhere"}`, `{"name":"x","status":"up","address":"a:1","since_ms":-1}`, `7`} {
		l, err := Parse([]byte(list(7, true, bad, entry("s"))))
		if err != nil || len(l.Entries) != 1 || l.Entries[0].Name != "s" {
			t.Errorf("%s: %+v, %v", bad, l, err)
		}
	}
	for _, bad := range []string{"", "{", `{"snapshot":true,"endpoints":[]}`, `[]`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("Parse(%q) returned no error", bad)
		}
	}
}

// runScripts serves watches from scripts, one per connection. It returns each query that a
// Watcher makes and the server names in each list that it hands on.
func runScripts(t *testing.T, want int, scripts ...func(net.Conn)) (queries, lists []string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	asked := make(chan string, 100)
	got := make(chan string, 100)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				asked <- r.URL.RawQuery
				scripts[min(n, len(scripts)-1)](c)
			}()
		}
	}()
	w := &Watcher{Addr: ln.Addr().String(), Timing: patientTiming, OnError: func(error) {}}
	w.OnList = func(l *membership.List) {
		var names []string
		for _, e := range l.Entries {
			names = append(names, e.Name)
		}
		got <- strings.Join(names, " ")
	}
	over := make(chan struct{})
	go func() { w.Run(); close(over) }()
	for range want {
		select {
		case s := <-got:
			lists = append(lists, s)
		case <-time.After(testTimeout):
			t.Fatalf("received only the lists %q", lists)
		}
	}
	w.Close()
	<-over
	for len(asked) > 0 {
		queries = append(queries, <-asked)
	}
	return queries, lists
}

// answerWith answers a watch with the given lines. It then closes the connection if end is set,
// and otherwise waits until the other side closes.
func answerWith(end bool, lines ...string) func(net.Conn) {
	return func(c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, l := range lines {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(l), l)
		}
		if !end {
			c.Read(make([]byte, 1))
		}
	}
}

func TestWatchScripts(t *testing.T) {
	whole := list(5, true, entry("a"))
	for _, c := range []struct {
		name    string
		scripts []func(net.Conn)
		queries []string
		lists   []string
	}{
		{"goes on after its end", []func(net.Conn){answerWith(true, whole, "\n"), answerWith(false, list(6, false, entry("b")))},
			[]string{"watch=1", "watch=1&after=5"}, []string{"a", "b"}},
		{"a line that does not parse", []func(net.Conn){answerWith(false, whole, "nonsense\n"), answerWith(false, list(6, true, entry("b")))},
			[]string{"watch=1", "watch=1"}, []string{"a", "b"}},
		{"a line cut short", []func(net.Conn){answerWith(true, whole, list(6, false, entry("x"))[:20]), answerWith(false, list(6, false, entry("b")))},
			[]string{"watch=1", "watch=1&after=5"}, []string{"a", "b"}},
		{"a version that goes back", []func(net.Conn){answerWith(false, whole, list(2, false, entry("x"))), answerWith(false, list(2, true, entry("b")))},
			[]string{"watch=1", "watch=1"}, []string{"a", "b"}},
		{"a whole list of a version that goes back", []func(net.Conn){answerWith(true, whole, list(2, true, entry("b"))), answerWith(false, list(3, false, entry("c")))},
			[]string{"watch=1", "watch=1&after=2"}, []string{"a", "b", "c"}},
		{"a whole list without a server", []func(net.Conn){answerWith(false, whole, list(9, true)), answerWith(false, list(9, true, entry("b")))},
			[]string{"watch=1", "watch=1"}, []string{"a", "b"}},
		{"a whole list of which no entry can be read", []func(net.Conn){answerWith(false, whole, list(9, true, "7")), answerWith(false, list(9, true, entry("b")))},
			[]string{"watch=1", "watch=1"}, []string{"a", "b"}},
		{"all servers removed one by one", []func(net.Conn){answerWith(true, whole, list(9, false, `{"name":"a","status":"removed"}`)), answerWith(false, list(9, false, entry("b")))},
			[]string{"watch=1", "watch=1&after=9"}, []string{"a", "a", "b"}},
		{"an error", []func(net.Conn){func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }, answerWith(false, whole)},
			[]string{"watch=1", "watch=1"}, []string{"a"}},
		// The other end of the watch disappears without closing the connection.
		{"silence", []func(net.Conn){answerWith(false, whole), answerWith(false, list(6, false, entry("b")))},
			[]string{"watch=1", "watch=1&after=5"}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			queries, lists := runScripts(t, len(c.lists), c.scripts...)
			if !slices.Equal(queries, c.queries) || !slices.Equal(lists, c.lists) {
				t.Errorf("queries %q, lists %q", queries, lists)
			}
		})
	}
}

// startAgent starts a discovery service that reports each query, prefixed with name, and answers
// all queries with the same line.
func startAgent(t *testing.T, name, line string, queries chan<- string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					queries <- name + " " + r.URL.RawQuery
					answerWith(false, line)(c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// A change of address leaves the old address at once, although it still sends, and requests the
// whole list from the new address, which has versions of its own. It also ends a delay between
// two calls.
func TestNewAddressIsAskedForWholeList(t *testing.T) {
	asked := make(chan string, 100)
	old, next := startAgent(t, "old", list(50, true, entry("a")), asked), startAgent(t, "next", list(3, true, entry("b")), asked)
	got := make(chan string, 100)
	w := &Watcher{Addr: old, Timing: patientTiming, OnError: func(error) {}, OnList: func(l *membership.List) { got <- l.Entries[0].Name }}
	over := make(chan struct{})
	go func() { w.Run(); close(over) }()
	expect := func(ch <-chan string, want string) {
		t.Helper()
		select {
		case s := <-ch:
			if s != want {
				t.Fatalf("got %q, want %q", s, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("%q did not arrive", want)
		}
	}
	expect(asked, "old watch=1")
	expect(got, "a")
	w.SetAddr(next)
	expect(asked, "next watch=1")
	expect(got, "b")
	w.SetAddr("127.0.0.1:1") // no service listens here
	w.SetAddr(old)
	expect(asked, "old watch=1")
	expect(got, "a")
	w.Close()
	<-over
}

// A service that sends only unusable lists is called with a growing backoff, on average at most
// three times in 1.5 s, however long this goes on. The test checks a minimum duration for a
// number of calls, so that a slow machine, which makes fewer calls, cannot fail it.
func TestUnusableListsAreRequestedWithBackoff(t *testing.T) {
	for _, bad := range []string{"nonsense\n", list(3, true)} {
		asked := make(chan string, 1000)
		w := &Watcher{Addr: startAgent(t, "", bad, asked), Timing: patientTiming, Track: membership.ListTracker{Version: 5, HasServers: true}}
		failed := make(chan error, 1000)
		w.OnError = func(err error) { failed <- err }
		w.OnList = func(l *membership.List) { t.Errorf("unusable list %q was handed on: %+v", bad, l) }
		over := make(chan struct{})
		began := time.Now()
		go func() { w.Run(); close(over) }()
		for range 8 {
			<-failed
		}
		took := time.Since(began)
		w.Close()
		<-over
		// The seven delays are at least half of 20, 40, 80, 160, 320, 500 and 500 ms.
		if least := 810 * time.Millisecond; took < least {
			t.Errorf("%q: eight calls took %v, want at least %v", bad, took, least)
		}
		if q := <-asked; q != " watch=1&after=5" {
			t.Errorf("first query %q, want \" watch=1&after=5\"", q)
		}
		for len(asked) > 0 {
			if q := <-asked; q != " watch=1" {
				t.Errorf("%q: later query %q, want \" watch=1\"", bad, q)
			}
		}
	}
}
