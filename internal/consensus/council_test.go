package consensus

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

	"chalkrack/internal/agreement"
	"chalkrack/internal/duration"
)

const validConfig = "fleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nfolder = \"x\"\nkey = \"sixteen bytes...\"\n"

// An invalid configuration is rejected with an error that names the field.
func TestInvalidConfig(t *testing.T) {
	if _, err := ParseConfig([]byte(validConfig + "[members]\na = \"127.0.0.1:1\"\n")); err != nil {
		t.Error(err)
	}
	if _, err := ParseConfig([]byte(validConfig + "join = true\n")); err != nil {
		t.Error(err)
	}
	for text, want := range map[string]string{
		validConfig + "[members]\na = \"127.0.0.1:1\"\nb = \"127.0.0.1:2\"\n":                             "council.members: has 2 members",
		validConfig + "[members]\nb = \"127.0.0.1:1\"\n":                                                  `council.members: "a"`,
		validConfig + "[members]\na = \"127.0.0.1:1\"\nb = \"127.0.0.1:2\"\nc = \"127.0.0.1:2\"\n":        "address 127.0.0.1:2 is used twice",
		validConfig + "[members]\na = \"nowhere\"\n":                                                      "council.members.a",
		validConfig + "join = true\n[members]\na = \"127.0.0.1:1\"\n":                                     "council.members: must be empty with join = true",
		validConfig + "what = 1\n":                                                                        "what",
		validConfig + "lease = \"4s\"\nbeat = \"200ms\"\n[members]\na = \"127.0.0.1:1\"\n":                "council.lease: must be at least 30 times council.beat",
		validConfig + "drift = 0.5\n[members]\na = \"127.0.0.1:1\"\n":                                     "council.drift",
		validConfig + "beat = \"1ms\"\n":                                                                  "council.beat",
		strings.Replace(validConfig, "sixteen bytes...", "short", 1) + "[members]\na = \"127.0.0.1:1\"\n": "council.key",
		strings.Replace(validConfig, `"x"`, `""`, 1):                                                      "council.folder",
		strings.Replace(validConfig, `"f"`, `""`, 1):                                                      "council.fleet",
		strings.Replace(validConfig, `"a"`, `""`, 1):                                                      "council.name",
		strings.Replace(validConfig, "127.0.0.1:1", "here", 1):                                            "council.listen",
	} {
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want error %q, got %v", want, err)
		}
	}
}

// startSingleMember starts a council of one member in this process. The returned function stops it.
func startSingleMember(t *testing.T, folder string) (*Server, *Client, func()) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Fleet, cfg.Name, cfg.Listen, cfg.Folder, cfg.Key = "f", "a", "127.0.0.1:0", folder, testKey
	cfg.Members = map[string]string{"a": "127.0.0.1:1"}
	cfg.Lease = duration.Duration(time.Hour) // no lease expires during the test
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

// notifyingTransport is a transport that calls onClose when a response body is closed.
type notifyingTransport struct {
	*http.Transport
	onClose func()
}

func (a notifyingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := a.Transport.RoundTrip(r)
	if err == nil {
		resp.Body = notifyingBody{resp.Body, a.onClose}
	}
	return resp, err
}

type notifyingBody struct {
	io.ReadCloser
	onClose func()
}

func (b notifyingBody) Close() error {
	b.onClose()
	return b.ReadCloser.Close()
}

// When the context ends during a try, the error must still include that of an earlier try.
// Otherwise the caller sees only a cancellation, and not that the key is wrong or that no member
// leads.
func TestCancelledCallKeepsEarlierError(t *testing.T) {
	for name, first := range map[string]struct {
		handle http.HandlerFunc
		want   error
	}{
		"another key": {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusForbidden) }, ErrWrongKey},
		"no leader": {func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			requestMAC, text := computeMAC([]byte(testKey), []byte(r.URL.Path), body), []byte("nobody leads")
			w.Header().Set(macHeader, hex.EncodeToString(computeMAC([]byte(testKey), requestMAC, text)))
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
					first.handle(w, r)
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
				t.Errorf("the error does not include both that of the first try and the cancellation: %v after %d calls", err, calls.Load())
			}
		})
	}
}

// Requests that use another fleet's key, are too long or are invalid get an error response and
// change nothing.
func TestInvalidRequests(t *testing.T) {
	s, c, end := startSingleMember(t, t.TempDir())
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := c.Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, Doc: level("k1", 1)}); err != nil {
		t.Fatal(err)
	}
	before, err := c.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	other := NewClient("the key of another fleet", 0, map[string]string{"a": s.Addr()})
	defer other.Close()
	statusCtx, stop := context.WithCancel(ctx)
	other.httpClient.Transport = notifyingTransport{other.httpClient.Transport.(*http.Transport), stop}
	if _, err := other.Status(statusCtx); !errors.Is(err, ErrWrongKey) {
		t.Errorf("another key: got error %v, want ErrWrongKey", err)
	}
	resp, err := http.Post("http://"+s.Addr()+"/v1/entry", "", strings.NewReader(strings.Repeat("x", maxRequestBytes+1)))
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("too long: got response %v, error %v, want status 413", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	for body, want := range map[string]string{
		`{"kind":"withdraw","more":1}`: "unknown field",
		"{":                            "invalid request",
		`{"kind":"yes"}`:               "not an entry that an operator can propose",
		`{"kind":"forget"}`:            "no such sidecar",
		`{"kind":"propose","base":1,"doc":{"key":"k","who":"w","reason":"r","rules":{"what":1}}}`: `"what" is not a valid key`,
	} {
		var refusal *Refusal
		if _, err := postRequest(ctx, http.DefaultClient, []byte(testKey), s.Addr(), "/v1/entry", []byte(body)); !errors.As(err, &refusal) || !strings.Contains(refusal.Text, want) {
			t.Errorf("request %s: wrong error: %v", body, err)
		}
	}
	if _, err := c.ChangeMember(ctx, 7, Endpoint{}, true); err == nil {
		t.Error("the removal of an unknown member is accepted")
	}
	after, err := c.Status(ctx)
	if err != nil || after.InForce.Version != before.InForce.Version || after.Pending != nil || len(after.Members) != 1 {
		t.Errorf("the invalid requests changed the status to %+v, error %v", after, err)
	}
}

// A member that can't write to its disk stops with the error, applies no entry that is not stored,
// and returns an error to waiting callers.
func TestDiskWriteFailureStopsMember(t *testing.T) {
	s, c, end := startSingleMember(t, t.TempDir())
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := c.Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, Doc: level("k1", 1)}); err != nil {
		t.Fatal(err)
	}
	m := s.currentMember()
	if err := s.store.close(); err != nil {
		t.Fatal(err)
	}
	if err := m.ProposeEntry(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: 1, Doc: level("k2", 1)}); err == nil {
		t.Error("a proposal that could not be stored is accepted")
	}
	<-m.done
	if err := m.Close(); err == nil || !strings.Contains(err.Error(), "can't be written") {
		t.Errorf("the member stopped with error %v, want a write error", err)
	}
	if m.Status().InForce.Version != 1 {
		t.Errorf("version %d is in force, want 1", m.Status().InForce.Version)
	}
}

// The log is compacted once it has grown by compactInterval entries, and the state is the same
// after a restart. A folder with corrupt data, or of another member, is rejected.
func TestLogCompactionAndRestart(t *testing.T) {
	folder := t.TempDir()
	s, c, end := startSingleMember(t, folder)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := c.Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, Doc: level("k1", 1)}); err != nil {
		t.Fatal(err)
	}
	m := s.currentMember()
	var results []chan error
	for n := range compactInterval + 2*compactKeepEntries {
		result := make(chan error, 1)
		results = append(results, result)
		if err := m.enqueue(ctx, func() { // queued together, so that one write to disk covers many entries
			if err := m.propose(&agreement.Entry{Kind: agreement.KindJoin, Sidecar: fmt.Sprint("car", n%7), Incarnation: uint64(n + 1), Version: 1}, result); err != nil {
				result <- err
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	for _, result := range results {
		if err := <-result; err != nil {
			t.Fatal(err)
		}
	}
	before := m.Status()
	first, _ := m.raftStorage.FirstIndex()
	if before.Index-first > 2*compactKeepEntries+compactInterval/2 || first < compactInterval/2 {
		t.Errorf("the log holds entries %d to %d, want it compacted", first, before.Index)
	}
	end()
	_, c, end = startSingleMember(t, folder)
	st, err := c.Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: 1, Doc: level("k1", 1)}) // succeeds once the member leads
	if err != nil || st.InForce.Version != 1 || len(st.Sidecars) != 7 || st.Sidecars["car3"] != before.Sidecars["car3"] {
		t.Errorf("after the restart: status %+v, error %v", st, err)
	}
	end()
	cfg := DefaultConfig()
	cfg.Fleet, cfg.Name, cfg.Listen, cfg.Folder, cfg.Key, cfg.Join = "f", "b", "127.0.0.1:0", folder, testKey, true
	if _, err := Open(cfg); !errors.Is(err, ErrForeignFolder) {
		t.Errorf("folder of another member: got error %v, want ErrForeignFolder", err)
	}
	for name, corrupt := range map[string]func(tx *bbolt.Tx) error{
		"an entry":         func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Put(entryKey(before.Index), []byte("12345678")) },
		"the last entries": func(tx *bbolt.Tx) error { return deleteEntries(tx.Bucket(logBucket), before.Index-1, 1<<62) },
		"the snapshot":     func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(snapshotKey, withChecksum([]byte{0xff})) },
		"the hard state":   func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(hardStateKey, []byte{1}) },
	} {
		cfg := DefaultConfig()
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
		if err := db.db.Update(corrupt); err != nil {
			t.Fatal(err)
		}
		db.close()
		if s, err := Open(cfg); err == nil {
			s.Close()
			t.Errorf("corruption of %s: the member starts", name)
		} else if name != "the snapshot" && !errors.Is(err, ErrCorrupt) {
			t.Errorf("corruption of %s: got error %v, want ErrCorrupt", name, err)
		}
	}
}

// A batch of messages is decoded as a whole or rejected, and survives encoding and decoding again.
func FuzzBatch(f *testing.F) {
	kind, to := raftpb.MsgHeartbeat, uint64(3)
	f.Add(appendMessage(appendFrame(nil, []byte(`{"id":7,"name":"a","addr":"b"}`)), &raftpb.Message{Type: &kind, To: &to}))
	f.Add(appendFrame(nil, []byte(`{}`)))
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		sentBy, all, err := decodeBatch(b)
		if err != nil {
			return
		}
		again := appendFrame(nil, []byte("{}"))
		for _, m := range all {
			again = appendMessage(again, m)
		}
		_, decodedAgain, err := decodeBatch(again)
		if err != nil || len(decodedAgain) != len(all) {
			t.Errorf("sender %+v: %d messages, after encoding and decoding %d, error %v", sentBy, len(all), len(decodedAgain), err)
		}
	})
}

// Data with a checksum is read back unchanged; data that does not match its checksum is rejected.
func FuzzChecksum(f *testing.F) {
	f.Add([]byte("an entry"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := verifyChecksum(withChecksum(b)); err != nil || string(got) != string(b) {
			t.Errorf("data changed by adding and verifying a checksum: got %q, error %v", got, err)
		}
		if _, err := verifyChecksum(b); err == nil && string(withChecksum(b[4:])) != string(b) {
			t.Errorf("%q is accepted with a wrong checksum", b)
		}
	})
}
