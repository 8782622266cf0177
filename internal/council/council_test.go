package council

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"chalkrack/internal/agreed"
	"chalkrack/internal/duration"
)

const good = "fleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nfolder = \"x\"\nkey = \"sixteen bytes...\"\n"

// What can't be used is named by its field.
func TestBadConfig(t *testing.T) {
	if _, err := Read([]byte(good + "[members]\na = \"127.0.0.1:1\"\n")); err != nil {
		t.Error(err)
	}
	if _, err := Read([]byte(good + "join = true\n")); err != nil {
		t.Error(err)
	}
	for text, want := range map[string]string{
		good + "[members]\na = \"127.0.0.1:1\"\nb = \"127.0.0.1:2\"\n":                      "council.members: are 2",
		good + "[members]\nb = \"127.0.0.1:1\"\n":                                           `council.members: "a"`,
		good + "[members]\na = \"127.0.0.1:1\"\nb = \"127.0.0.1:2\"\nc = \"127.0.0.1:2\"\n": "stands twice",
		good + "[members]\na = \"nowhere\"\n":                                               "council.members.a",
		good + "join = true\n[members]\na = \"127.0.0.1:1\"\n":                              "council.members: are the founders'",
		good + "what = 1\n": "what",
		good + "lease = \"4s\"\nbeat = \"200ms\"\n[members]\na = \"127.0.0.1:1\"\n": "council.lease: must be 30 beats",
		good + "drift = 0.5\n[members]\na = \"127.0.0.1:1\"\n":                      "council.drift",
		good + "beat = \"1ms\"\n": "council.beat",
		strings.Replace(good, "sixteen bytes...", "short", 1) + "[members]\na = \"127.0.0.1:1\"\n": "council.key",
		strings.Replace(good, `"x"`, `""`, 1):                                                      "council.folder",
		strings.Replace(good, `"f"`, `""`, 1):                                                      "council.fleet",
		strings.Replace(good, `"a"`, `""`, 1):                                                      "council.name",
		strings.Replace(good, "127.0.0.1:1", "here", 1):                                            "council.listen",
	} {
		if _, err := Read([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// alone is a council of one, in this process.
func alone(t *testing.T, folder string) (*Server, *Client, func()) {
	t.Helper()
	cfg := Default()
	cfg.Fleet, cfg.Name, cfg.Listen, cfg.Folder, cfg.Key = "f", "a", "127.0.0.1:0", folder, testKey
	cfg.Members = map[string]string{"a": "127.0.0.1:1"}
	cfg.Lease = duration.Duration(time.Hour) // no sidecar goes silent meanwhile
	s, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	c := NewClient(testKey, 0, map[string]string{"a": s.Addr()})
	return s, c, func() {
		stop()
		<-done
		c.Close()
		s.Close()
	}
}

// answered tells when an answer has been read.
type answered struct {
	*http.Transport
	tell func()
}

func (a answered) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := a.Transport.RoundTrip(r)
	if err == nil {
		resp.Body = readBody{resp.Body, a.tell}
	}
	return resp, err
}

type readBody struct {
	io.ReadCloser
	tell func()
}

func (b readBody) Close() error {
	b.tell()
	return b.ReadCloser.Close()
}

// A caller who gives up while a later try is under way is still told what an earlier one met: with
// another fleet's key, or without a leader, the end of its own time says nothing.
func TestCallerGivesUpDuringTry(t *testing.T) {
	for name, first := range map[string]struct {
		does http.HandlerFunc
		want error
	}{
		"another key": {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusForbidden) }, ErrKey},
		"no leader": {func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			asked, text := mac([]byte(testKey), []byte(r.URL.Path), body), []byte("nobody leads")
			w.Header().Set(macHeader, hex.EncodeToString(mac([]byte(testKey), asked, text)))
			w.WriteHeader(http.StatusMisdirectedRequest)
			w.Write(text)
		}, ErrNotLeader},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithTimeout(t.Context(), time.Minute)
			defer stop()
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					first.does(w, r)
					return
				}
				io.Copy(io.Discard, r.Body)
				stop()
				<-r.Context().Done()
			}))
			defer s.Close()
			c := NewClient(testKey, 0, map[string]string{"a": s.Listener.Addr().String()})
			defer c.Close()
			if _, err := c.Status(ctx); !errors.Is(err, first.want) || !errors.Is(err, context.Canceled) {
				t.Errorf("%v after %d calls", err, calls.Load())
			}
		})
	}
}

// What callers without the key, with another fleet's, too long, or that makes no sense are told;
// nothing of it is stored.
func TestBadCalls(t *testing.T) {
	s, c, end := alone(t, t.TempDir())
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := c.Enter(ctx, agreed.Entry{Kind: agreed.Propose, Doc: level("k1", 1)}); err != nil {
		t.Fatal(err)
	}
	before, err := c.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	other := NewClient("the key of another fleet", 0, map[string]string{"a": s.Addr()})
	defer other.Close()
	few, stop := context.WithCancel(ctx)
	other.c.Transport = answered{other.c.Transport.(*http.Transport), stop}
	if _, err := other.Status(few); !errors.Is(err, ErrKey) {
		t.Errorf("another key: %v", err)
	}
	resp, err := http.Post("http://"+s.Addr()+"/v1/entry", "", strings.NewReader(strings.Repeat("x", callMost+1)))
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("too long: %v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	for body, want := range map[string]string{
		`{"kind":"withdraw","more":1}`: "unknown field",
		"{":                            "makes no sense",
		`{"kind":"yes"}`:               "nothing that an operator does",
		`{"kind":"forget"}`:            "no such sidecar",
		`{"kind":"propose","base":1,"doc":{"key":"k","who":"w","reason":"r","rules":{"what":1}}}`: `"what" is no key`,
	} {
		var no *Refusal
		if _, err := call(ctx, http.DefaultClient, []byte(testKey), s.Addr(), "/v1/entry", []byte(body)); !errors.As(err, &no) || !strings.Contains(no.Text, want) {
			t.Errorf("%s: %v", body, err)
		}
	}
	if _, err := c.Change(ctx, 7, Peer{}, true); err == nil {
		t.Error("a member is removed that is not there")
	}
	after, err := c.Status(ctx)
	if err != nil || after.InForce.Version != before.InForce.Version || after.Next != nil || len(after.Members) != 1 {
		t.Errorf("%+v, %v", after, err)
	}
}

// A member whose disk takes nothing more ends and says why; who waits is told.
func TestDiskThatTakesNothing(t *testing.T) {
	s, c, end := alone(t, t.TempDir())
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := c.Enter(ctx, agreed.Entry{Kind: agreed.Propose, Doc: level("k1", 1)}); err != nil {
		t.Fatal(err)
	}
	m := s.now()
	if err := s.store.close(); err != nil {
		t.Fatal(err)
	}
	if err := m.Enter(ctx, agreed.Entry{Kind: agreed.Propose, Base: 1, Doc: level("k2", 1)}); err == nil {
		t.Error("a version is agreed on that is not on the disk")
	}
	<-m.done
	if err := m.Close(); err == nil || !strings.Contains(err.Error(), "can't be written") {
		t.Errorf("it ended by %v", err)
	}
	if m.Status().InForce.Version != 1 {
		t.Errorf("version %d is in force", m.Status().InForce.Version)
	}
}

// The log is cut and read back: 5,000 entries leave a short one, and after a start the state is
// the same. A folder that was spoilt, or is another's, is refused.
func TestLogOnDisk(t *testing.T) {
	folder := t.TempDir()
	s, c, end := alone(t, folder)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := c.Enter(ctx, agreed.Entry{Kind: agreed.Propose, Doc: level("k1", 1)}); err != nil {
		t.Fatal(err)
	}
	m := s.now()
	var all []chan error
	for n := range compactEach + 2*compactKeep {
		told := make(chan error, 1)
		all = append(all, told)
		if err := m.do(ctx, func() { // all at once: one write on the disk for many
			if err := m.propose(&agreed.Entry{Kind: agreed.KindJoin, Car: fmt.Sprint("car", n%7), Incarnation: uint64(n + 1), Version: 1}, told); err != nil {
				told <- err
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	for _, told := range all {
		if err := <-told; err != nil {
			t.Fatal(err)
		}
	}
	was := m.Status()
	first, _ := m.mem.FirstIndex()
	if was.Index-first > 2*compactKeep+compactEach/2 || first < compactEach/2 {
		t.Errorf("the log is kept from %d to %d", first, was.Index)
	}
	end()
	_, c, end = alone(t, folder)
	st, err := c.Enter(ctx, agreed.Entry{Kind: agreed.Propose, Base: 1, Doc: level("k1", 1)}) // once it leads
	if err != nil || st.InForce.Version != 1 || len(st.Cars) != 7 || st.Cars["car3"] != was.Cars["car3"] {
		t.Errorf("%+v, %v", st, err)
	}
	end()
	cfg := Default()
	cfg.Fleet, cfg.Name, cfg.Listen, cfg.Folder, cfg.Key, cfg.Join = "f", "b", "127.0.0.1:0", folder, testKey, true
	if _, err := Open(cfg); !errors.Is(err, ErrOther) {
		t.Errorf("another's folder: %v", err)
	}
	for name, spoil := range map[string]func(tx *bbolt.Tx) error{
		"an entry":         func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Put(indexKey(was.Index), []byte("12345678")) },
		"the last entries": func(tx *bbolt.Tx) error { return drop(tx.Bucket(logBucket), was.Index-1, 1<<62) },
		"the snapshot":     func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(snapKey, sealed([]byte{0xff})) },
		"the hard state":   func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(hardKey, []byte{1}) },
	} {
		cfg := Default()
		cfg.Fleet, cfg.Name, cfg.Listen, cfg.Folder, cfg.Key = "f", "a", "127.0.0.1:0", t.TempDir(), testKey
		cfg.Members = map[string]string{"a": "127.0.0.1:1"}
		text, err := os.ReadFile(filepath.Join(folder, "council.db"))
		if err == nil {
			err = os.WriteFile(filepath.Join(cfg.Folder, "council.db"), text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		db, err := openStore(cfg.Folder)
		if err != nil {
			t.Fatal(err)
		}
		if err := db.db.Update(spoil); err != nil {
			t.Fatal(err)
		}
		db.close()
		if s, err := Open(cfg); err == nil {
			s.Close()
			t.Errorf("%s: it goes on", name)
		} else if name != "the snapshot" && !errors.Is(err, ErrSpoilt) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A batch of messages is read whole, or not at all.
func FuzzBatch(f *testing.F) {
	kind, to := raftpb.MsgHeartbeat, uint64(3)
	f.Add(packed(framed(nil, []byte(`{"id":7,"name":"a","addr":"b"}`)), &raftpb.Message{Type: &kind, To: &to}))
	f.Add(framed(nil, []byte(`{}`)))
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		from, all, err := unpacked(b)
		if err != nil {
			return
		}
		again := framed(nil, []byte("{}"))
		for _, m := range all {
			again = packed(again, m)
		}
		_, two, err := unpacked(again)
		if err != nil || len(two) != len(all) {
			t.Errorf("%+v: %d messages, again %d, %v", from, len(all), len(two), err)
		}
	})
}

// What is read back from the disk is what was written, or refused.
func FuzzSealed(f *testing.F) {
	f.Add([]byte("an entry"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := unsealed(sealed(b)); err != nil || string(got) != string(b) {
			t.Errorf("%q, %v", got, err)
		}
		if _, err := unsealed(b); err == nil && string(sealed(b[4:])) != string(b) {
			t.Errorf("%q is taken", b)
		}
	})
}
