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

// unkept is the length of a body that no socket's buffers hold.
const unkept = 24 << 20

func random(seed byte, n int) []byte {
	p := make([]byte, n)
	rand.NewChaCha8([32]byte{seed}).Read(p)
	return p
}

// upload is a request whose body can be read once.
func upload(ctx context.Context, class, id string, body io.Reader, size int64) *http.Request {
	r := request(ctx, askOf(class, id))
	r.Body, r.ContentLength, r.GetBody = io.NopCloser(body), size, nil
	return r
}

// Bodies that can be read once are kept as the daemon keeps them: tried again from
// memory and from a file; not kept, sent once and never again, also where the daemon
// dies over them and the plug-in would take over.
func TestBodiesAreKept(t *testing.T) {
	keep := Keep{Memory: 4 << 20, MemoryLongest: 256 << 10, Folder: t.TempDir(), Disk: 16 << 20, FileLongest: 2 << 20}
	site := newSite(t, rig.SiteConfig{Servers: 3, Classes: rigClasses()})
	tr := newTransport(t, Config{Classes: threeClasses(), Nodes: nodes(site), Keep: keep, NoCopies: true})
	d, err := site.StartDaemon(1, "version = 1\n[bodies]\nenabled = true\nmemory_longest_kb = 1024\n")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	by := newTransport(t, Config{Classes: threeClasses(), Nodes: nodes(site), Daemon: d.Addr, Keep: keep, NoCopies: true})
	n := byte(0)
	for _, c := range []struct {
		name     string
		class    string
		size     int
		act      standin.Act
		status   int
		attempts int
		only     bool // without the daemon
	}{
		{"in memory", "id-register", 100 << 10, standin.Act{Kind: standin.ResetLate}, 200, 2, false},
		{"in a file", "id-register", 1 << 20, standin.Act{Kind: standin.ResetLate}, 200, 2, true},
		{"in a file, must not run twice", "activate", 1 << 20, standin.Act{Kind: standin.ResetLate}, 502, 1, false},
		{"not kept", "activate", 5 << 20, standin.Act{}, 200, 1, false},
		{"not kept, reset behind its end", "id-register", 5 << 20, standin.Act{Kind: standin.ResetLate}, 503, 1, false},
		{"not kept, reset in its middle", "activate", unkept, standin.Act{Kind: standin.ResetEarly, Delay: 10 * time.Millisecond}, 503, 0, false},
	} {
		for via, tr := range map[string]*Transport{"": tr, "by the daemon, ": by} {
			if via != "" && c.only {
				continue
			}
			for _, announced := range []bool{true, false} {
				n++
				id := fmt.Sprintf("u%d", n)
				for _, s := range site.Servers {
					s.Do(standin.Nth(c.act, standin.Act{}))
				}
				p := random(n, c.size)
				size := int64(-1)
				if announced {
					size = int64(len(p))
				}
				resp, err := tr.RoundTrip(upload(t.Context(), c.class, id, bytes.NewReader(p), size))
				if err != nil {
					t.Errorf("%s%s: %v", via, c.name, err)
					continue
				}
				resp.Body.Close()
				if got := site.Ledger.ID(id).Attempts; resp.StatusCode != c.status || got != c.attempts {
					t.Errorf("%s%s: status %d after %d whole attempts, want %d after %d", via, c.name, resp.StatusCode, got, c.status, c.attempts)
				}
				for _, a := range site.Ledger.Log() {
					if a.ID == id && a.Sum != sha256.Sum256(p) {
						t.Errorf("%s%s: attempt %d is not what was sent", via, c.name, a.Nth)
					}
				}
			}
		}
	}
}

// What the plug-in did with bodies is told by class.
func TestBodiesAreTold(t *testing.T) {
	site := newSite(t, rig.SiteConfig{Servers: 3, Classes: rigClasses(), Server: standin.ServerConfig{Script: standin.Nth(standin.Act{Kind: standin.Fail}, standin.Act{})}})
	tr := newTransport(t, Config{Classes: threeClasses(), Nodes: nodes(site), Keep: Keep{Memory: 1 << 20, MemoryLongest: 100 << 10}, NoCopies: true})
	for n, size := range []int{100, 80 << 10, 1 << 20} {
		resp, err := tr.RoundTrip(upload(t.Context(), "id-register", fmt.Sprint("t", n), bytes.NewReader(random(1, size)), int64(size)))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	v, ok := tr.Bodies()
	if c := v.Classes[1]; !ok || c.Class != "id-register" || c.Memory != 2 || c.Nowhere != 1 || c.RetriedMemory != 2 || c.UnkeptRefused != 1 {
		t.Errorf("%+v", v)
	}
	off := newTransport(t, Config{Classes: threeClasses(), Nodes: nodes(site)})
	if _, ok := off.Bodies(); ok {
		t.Error("told where it is off")
	}
}

// rigClasses have deadlines beyond any test's patience, as threeClasses.
func rigClasses() []rig.Class {
	classes := rig.Activation()
	for n := range classes {
		classes[n].Aim, classes[n].Deadline = 10*time.Second, 5*time.Minute
		if classes[n].Window > 0 {
			classes[n].Window = 8 * time.Second
		}
	}
	return classes
}

// A daemon that dies in the middle of a body that is not kept: the call is refused and
// goes nowhere else; one that is not there at all costs nothing.
func TestDaemonDiesUnderABody(t *testing.T) {
	for name, announced := range map[string]bool{"announced": true, "in chunks": false} {
		got := make(chan struct{}, 100)
		site := newSite(t, rig.SiteConfig{Servers: 2, Classes: rigClasses()})
		dead := newSite(t, rig.SiteConfig{Servers: 1, Server: standin.ServerConfig{Script: func(standin.Request) standin.Act {
			got <- struct{}{}
			return standin.Act{Kind: standin.ResetEarly}
		}}}) // answers /_health with a reset too: it is away after the first look
		tr := newTransport(t, Config{Classes: threeClasses(), Nodes: nodes(site), Daemon: dead.Servers[0].Addr(), Keep: Keep{Memory: 1 << 20, MemoryLongest: 64 << 10}})
		p := random(1, 3<<20)
		size := int64(-1)
		if announced {
			size = int64(len(p))
		}
		r, w := io.Pipe()
		go func() {
			w.Write(p[:100<<10])
			<-got // the daemon has its head, and dies
			w.Write(p[100<<10:])
			w.Close()
		}()
		resp, err := tr.RoundTrip(upload(t.Context(), "id-register", "d1", r, size))
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || site.Ledger.ID("d1").Attempts != 0 {
			t.Errorf("%s: %d, %v, %d attempts elsewhere", name, resp.StatusCode, resp.Header, site.Ledger.ID("d1").Attempts)
		}
		resp, err = tr.RoundTrip(upload(t.Context(), "id-register", "d2", bytes.NewReader(p), size))
		if err != nil || resp.StatusCode != 200 || site.Ledger.ID("d2").Attempts != 1 {
			t.Errorf("%s, with the daemon away: %v, %v", name, resp, err)
		}
	}
}

// Its caller's body that breaks, a context that ends, and settings that make no sense.
func TestKeepEdges(t *testing.T) {
	site := newSite(t, rig.SiteConfig{Servers: 2, Classes: rigClasses()})
	tr := newTransport(t, Config{Classes: threeClasses(), Nodes: nodes(site), Keep: Keep{Memory: 1 << 20}})
	cut := errors.New("cut")
	for _, at := range []int{0, 1000, 300 << 10, 2 << 20} {
		body := io.MultiReader(bytes.NewReader(random(2, at)), failing{cut})
		if _, err := tr.RoundTrip(upload(t.Context(), "activate", fmt.Sprint("c", at), body, 3<<20)); !errors.Is(err, cut) {
			t.Errorf("a body that breaks at %d: %v", at, err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	go func() {
		w.Write(random(3, 1<<20))
		cancel() // and the pipe stays open: Close of the body must end it
	}()
	req := upload(ctx, "activate", "x", r, 3<<20)
	req.Body = r
	if _, err := tr.RoundTrip(req); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	if n := len(site.Ledger.Log()); n != 0 {
		t.Errorf("%d requests arrived", n)
	}
	for name, k := range map[string]Keep{
		"Memory":        {MemoryLongest: 1},
		"MemoryLongest": {Memory: 10, MemoryLongest: 11},
		"Streams":       {Memory: 10, Streams: -1},
		"FileLongest":   {Memory: 10, Folder: t.TempDir(), Disk: 100, FileLongest: 200},
		"Folder":        {Memory: 1 << 20, Folder: "/does/not/exist"},
	} {
		if tr, err := New(Config{Classes: threeClasses(), Nodes: nodes(site), Keep: k}); err == nil {
			tr.Close(t.Context())
			t.Errorf("%s: taken", name)
		}
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }
