package client

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// unbufferedBytes is the length of a body that doesn't fit into the sockets' buffers.
const unbufferedBytes = 24 << 20

func randomBytes(seed byte, n int) []byte {
	p := make([]byte, n)
	rand.NewChaCha8([32]byte{seed}).Read(p)
	return p
}

// newUploadRequest returns a request whose body can be read only once.
func newUploadRequest(ctx context.Context, class, id string, body io.Reader, size int64) *http.Request {
	r := newRequest(ctx, askOf(class, id))
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(body), size, nil
	return r
}

// Bodies that can be read only once are stored as in the daemon and retried from memory or
// from a file. A body that is not stored is sent only once, even if the daemon dies during
// the call and the plug-in would take over.
func TestStoredBodiesAreRetried(t *testing.T) {
	keep := Keep{Memory: 4 << 20, MemoryLongest: 256 << 10, Folder: t.TempDir(), Disk: 16 << 20, FileLongest: 2 << 20}
	site := newSite(t, rig.SiteConfig{Servers: 3, Classes: longDeadlineRigClasses()})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Keep: keep, NoCopies: true})
	d, err := site.StartDaemon(1, "version = 1\n[bodies]\nenabled = true\nmemory_longest_kb = 1024\n")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	by := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Daemon: d.Addr, Keep: keep, NoCopies: true})
	n := byte(0)
	for _, c := range []struct {
		name     string
		class    string
		size     int
		act      standin.Action
		status   int
		attempts int
		only     bool // not through the daemon
	}{
		{"in memory", "id-register", 100 << 10, standin.Action{Kind: standin.ResetLate}, 200, 2, false},
		{"in a file", "id-register", 1 << 20, standin.Action{Kind: standin.ResetLate}, 200, 2, true},
		{"in a file, must not run twice", "activate", 1 << 20, standin.Action{Kind: standin.ResetLate}, 502, 1, false},
		{"not kept", "activate", 5 << 20, standin.Action{}, 200, 1, false},
		{"not kept, reset behind its end", "id-register", 5 << 20, standin.Action{Kind: standin.ResetLate}, 503, 1, false},
		{"not kept, reset in its middle", "activate", unbufferedBytes, standin.Action{Kind: standin.ResetEarly, Delay: 10 * time.Millisecond}, 503, 0, false},
	} {
		for via, tr := range map[string]*Transport{"": tr, "by the daemon, ": by} {
			if via != "" && c.only {
				continue
			}
			for _, announced := range []bool{true, false} {
				n++
				id := fmt.Sprintf("u%d", n)
				for _, s := range site.Servers {
					s.SetScript(standin.Sequence(c.act, standin.Action{}))
				}
				p := randomBytes(n, c.size)
				size := int64(-1)
				if announced {
					size = int64(len(p))
				}
				resp, err := tr.RoundTrip(newUploadRequest(t.Context(), c.class, id, bytes.NewReader(p), size))
				if err != nil {
					t.Errorf("%s%s: %v", via, c.name, err)
					continue
				}
				resp.Body.Close()
				if got := site.Ledger.RequestCount(id).Attempts; resp.StatusCode != c.status || got != c.attempts {
					t.Errorf("%s%s: status %d after %d complete attempts, want status %d after %d", via, c.name, resp.StatusCode, got, c.status, c.attempts)
				}
				for _, a := range site.Ledger.Arrivals() {
					if a.ID == id && a.BodyHash != sha256.Sum256(p) {
						t.Errorf("%s%s: attempt %d has a body other than the one that was sent", via, c.name, a.AttemptNumber)
					}
				}
			}
		}
	}
}

// Bodies counts by class where request bodies were stored and how often they were retried.
func TestBodiesViewCountsByClass(t *testing.T) {
	site := newSite(t, rig.SiteConfig{Servers: 3, Classes: longDeadlineRigClasses(), Server: standin.ServerConfig{Script: standin.Sequence(standin.Action{Kind: standin.Fail}, standin.Action{})}})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Keep: Keep{Memory: 1 << 20, MemoryLongest: 100 << 10}, NoCopies: true})
	for n, size := range []int{100, 80 << 10, 1 << 20} {
		resp, err := tr.RoundTrip(newUploadRequest(t.Context(), "id-register", fmt.Sprint("t", n), bytes.NewReader(randomBytes(1, size)), int64(size)))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	v, ok := tr.Bodies()
	if c := v.Classes[1]; !ok || c.Class != "id-register" || c.Memory != 2 || c.NotKept != 1 || c.RetriedMemory != 2 || c.UnkeptRefused != 1 {
		t.Errorf("%+v", v)
	}
	off := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site)})
	if _, ok := off.Bodies(); ok {
		t.Error("Bodies returned true although Keep is off")
	}
}

// longDeadlineRigClasses have deadlines longer than any test waits, as longDeadlineClasses.
func longDeadlineRigClasses() []rig.Class {
	classes := rig.ActivationClasses()
	for n := range classes {
		classes[n].Aim, classes[n].Deadline = 10*time.Second, 5*time.Minute
		if classes[n].Window > 0 {
			classes[n].Window = 8 * time.Second
		}
	}
	return classes
}

// If the daemon dies in the middle of a streamed body, the call is refused and sent to no
// server, since the body can't be sent again. If the daemon is already down, the call is
// served without it.
func TestDaemonDiesDuringStreamedBody(t *testing.T) {
	for name, announced := range map[string]bool{"announced": true, "in chunks": false} {
		got := make(chan struct{}, 100)
		site := newSite(t, rig.SiteConfig{Servers: 2, Classes: longDeadlineRigClasses()})
		dead := newSite(t, rig.SiteConfig{Servers: 1, Server: standin.ServerConfig{Script: func(standin.Request) standin.Action {
			got <- struct{}{}
			return standin.Action{Kind: standin.ResetEarly}
		}}}) // resets /_health as well, so the first probe finds it down
		tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Daemon: dead.Servers[0].Addr(), Keep: Keep{Memory: 1 << 20, MemoryLongest: 64 << 10}})
		p := randomBytes(1, 3<<20)
		size := int64(-1)
		if announced {
			size = int64(len(p))
		}
		r, w := io.Pipe()
		go func() {
			w.Write(p[:100<<10])
			<-got // the daemon has received the head and resets the connection
			w.Write(p[100<<10:])
			w.Close()
		}()
		resp, err := tr.RoundTrip(newUploadRequest(t.Context(), "id-register", "d1", r, size))
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || site.Ledger.RequestCount("d1").Attempts != 0 {
			t.Errorf("%s: status %d, header %v, %d attempts at the nodes", name, resp.StatusCode, resp.Header, site.Ledger.RequestCount("d1").Attempts)
		}
		resp, err = tr.RoundTrip(newUploadRequest(t.Context(), "id-register", "d2", bytes.NewReader(p), size))
		if err != nil || resp.StatusCode != 200 || site.Ledger.RequestCount("d2").Attempts != 1 {
			t.Errorf("%s, with the daemon down: %v, %v", name, resp, err)
		}
	}
}

// A request body that fails and a context that ends return their errors and leave no
// request at a server; invalid Keep settings are rejected.
func TestBodyErrorsAndInvalidKeep(t *testing.T) {
	site := newSite(t, rig.SiteConfig{Servers: 2, Classes: longDeadlineRigClasses()})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Keep: Keep{Memory: 1 << 20}})
	cut := errors.New("cut")
	for _, at := range []int{0, 1000, 300 << 10, 2 << 20} {
		body := io.MultiReader(bytes.NewReader(randomBytes(2, at)), errorReader{cut})
		if _, err := tr.RoundTrip(newUploadRequest(t.Context(), "activate", fmt.Sprint("c", at), body, 3<<20)); !errors.Is(err, cut) {
			t.Errorf("body that fails after %d bytes: %v", at, err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	go func() {
		w.Write(randomBytes(3, 1<<20))
		cancel() // the pipe stays open: closing the body must unblock its reader
	}()
	req := newUploadRequest(ctx, "activate", "x", r, 3<<20)
	req.Body = r
	if _, err := tr.RoundTrip(req); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	if n := len(site.Ledger.Arrivals()); n != 0 {
		t.Errorf("%d requests reached a server, want none", n)
	}
	for name, k := range map[string]Keep{
		"Memory":        {MemoryLongest: 1},
		"MemoryLongest": {Memory: 10, MemoryLongest: 11},
		"Streams":       {Memory: 10, Streams: -1},
		"FileLongest":   {Memory: 10, Folder: t.TempDir(), Disk: 100, FileLongest: 200},
		"Folder":        {Memory: 1 << 20, Folder: "/does/not/exist"},
	} {
		if tr, err := New(Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Keep: k}); err == nil {
			tr.Close(t.Context())
			t.Errorf("invalid Keep.%s was accepted", name)
		}
	}
}

type errorReader struct{ err error }

func (f errorReader) Read([]byte) (int, error) { return 0, f.err }
