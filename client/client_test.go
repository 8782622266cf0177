package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// longDeadlineClasses have deadlines longer than any test waits, so that no test passes because a
// deadline ended a call.
func longDeadlineClasses() []Class {
	return []Class{
		{Name: "status-check", Effect: Safe, Aim: 10 * time.Second, Deadline: 5 * time.Minute, Worth: 1},
		{Name: "id-register", Effect: Keyed, Window: 8 * time.Second, Aim: 10 * time.Second, Deadline: 5 * time.Minute, Worth: 3},
		{Name: "activate", Aim: 10 * time.Second, Deadline: 5 * time.Minute, Worth: 10},
	}
}

var standinClasses = map[string]standin.Class{
	"status-check": {Name: "status-check", Effect: standin.Safe},
	"id-register":  {Name: "id-register", Effect: standin.Keyed},
	"activate":     {Name: "activate", Effect: standin.Unsafe},
}

// fixedNodes returns the servers of a site as a fixed list.
func fixedNodes(s *rig.Site) (list []Node) {
	for _, server := range s.Servers {
		list = append(list, Node{Name: server.Name(), Address: server.Addr()})
	}
	return list
}

func askOf(class, id string) standin.ClientRequest {
	a := standin.ClientRequest{ID: id, Class: standinClasses[class]}
	if class == "id-register" {
		a.Key = "key of " + id
	}
	if class != "status-check" {
		a.Body = "body of " + id
	}
	return a
}

// A request reaches the server unchanged, except for the fields of the connection and the
// mark that the Transport decides the call.
func TestRequestForwardedUnchanged(t *testing.T) {
	got := make(chan standin.Request, 1)
	site := newSite(t, rig.SiteConfig{Servers: 1, Server: standin.ServerConfig{Script: func(r standin.Request) standin.Action {
		got <- r
		return standin.Action{}
	}}})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site)})
	r := newRequest(context.Background(), askOf("id-register", "a1"))
	r.Header.Set("X-Own", "kept")
	r.Header.Set("Connection", "x")
	r.Header.Set("Req-Attempts", "9")
	before := r.Header.Clone()
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || string(body) != "done a1" || resp.Header.Get(VerdictField) != "" || resp.ContentLength != 7 {
		t.Errorf("%d %q %v", resp.StatusCode, body, resp.Header)
	}
	in := <-got
	for name, want := range map[string]string{"X-Own": "kept", "Connection": "", "Idempotency-Key": "key of a1", "Req-Id": "a1", "Req-Attempts": "1; nth=1"} {
		if v := in.Header.Get(name); v != want || len(in.Header.Values(name)) > 1 {
			t.Errorf("%s: %q, want %q", name, in.Header.Values(name), want)
		}
	}
	if in.Header.Get("Req-Deadline-Ms") == "" {
		t.Error("the request to the server has no Req-Deadline-Ms")
	}
	if fmt.Sprint(before) != fmt.Sprint(r.Header) {
		t.Error("RoundTrip changed the header of the caller's request")
	}
	// A call without Req-Id gets a generated one.
	ids := make(map[string]bool)
	for range 3 {
		r := newRequest(context.Background(), askOf("activate", "x"))
		r.Header.Del("Req-Id")
		if _, err := tr.RoundTrip(r); err != nil {
			t.Fatal(err)
		}
		ids[(<-got).ID] = true
	}
	if len(ids) != 3 || ids[""] {
		t.Errorf("ids %v", ids)
	}
}

// An invalid request returns an error and reaches no server; its body is closed.
func TestBadRequests(t *testing.T) {
	site := newSite(t, rig.SiteConfig{Servers: 1})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), MaxBody: 100})
	past, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	for name, c := range map[string]struct {
		change func(*http.Request)
		want   string
	}{
		"unknown class":       {func(r *http.Request) { r.URL.Path = "/elsewhere" }, `no class "elsewhere"`},
		"no key":              {func(r *http.Request) { r.URL.Path = "/id-register" }, "Idempotency-Key"},
		"too large":           {func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 101))) }, "too large"},
		"other length":        {func(r *http.Request) { r.ContentLength = 99 }, "99 are stated"},
		"body that breaks":    {func(r *http.Request) { r.Body = io.NopCloser(io.MultiReader(strings.NewReader("x"), failingReader{})) }, "broken"},
		"a field in a value":  {func(r *http.Request) { r.Header["X"] = []string{"y\r\nContent-Length: 0"} }, `field "X"`},
		"a field in a name":   {func(r *http.Request) { r.Header["X: y\r\nZ"] = []string{"y"} }, "field name"},
		"a line in the host":  {func(r *http.Request) { r.Host = "h\r\nX: y" }, "host"},
		"a line in a method":  {func(r *http.Request) { r.Method = "GET / HTTP/1.1\r\n" }, "method"},
		"nonsense as a limit": {func(r *http.Request) { r.Header.Set("Req-Deadline-Ms", "soon") }, "Req-Deadline-Ms"},
		"no time left":        {func(r *http.Request) { *r = *r.WithContext(past) }, "deadline"},
	} {
		r := newRequest(context.Background(), askOf("activate", "b1"))
		c.change(r)
		closed := &closeRecorder{Reader: r.Body}
		r.Body = closed
		if _, err := tr.RoundTrip(r); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
		if !closed.closed {
			t.Errorf("%s: the request body was not closed", name)
		}
	}
	if n := len(site.Ledger.Arrivals()); n != 0 {
		t.Errorf("%d requests reached a server, want none", n)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error { c.closed = true; return nil }

func TestBadConfig(t *testing.T) {
	ok := func() Config { return Config{Classes: longDeadlineClasses(), Nodes: []Node{{Address: "127.0.0.1:1"}}} }
	for want, change := range map[string]func(*Config){
		"Classes must be":     func(c *Config) { c.Classes = nil },
		"Classes[1].Aim":      func(c *Config) { c.Classes[1].Aim = 0 },
		"Classes[1].Deadline": func(c *Config) { c.Classes[1].Deadline = -1 },
		"Classes[2].Name":     func(c *Config) { c.Classes[2].Name = c.Classes[0].Name },
		"Classes[0].Effect":   func(c *Config) { c.Classes[0].Effect = 7 },
		"Classes[0].Scope":    func(c *Config) { c.Classes[0].Scope = 7 },
		"Nodes[0].Address":    func(c *Config) { c.Nodes[0].Address = "nowhere" },
		"Nodes[1].Name":       func(c *Config) { c.Nodes = append(c.Nodes, c.Nodes[0]) },
		"Nodes and Discovery": func(c *Config) { c.Discovery = "127.0.0.1:1" },
		"none of Nodes":       func(c *Config) { c.Nodes = nil },
		"Daemon: ":            func(c *Config) { c.Daemon = "127.0.0.1:0" },
		"MaxAttempts":         func(c *Config) { c.MaxAttempts = -1 },
		"MaxCalls":            func(c *Config) { c.MaxCalls = -1 },
		"MaxConns":            func(c *Config) { c.MaxConns = -1 },
		"MaxBody":             func(c *Config) { c.MaxBody = -1 },
		"ConnIdle":            func(c *Config) { c.ConnIdle = -1 },
		"Dial":                func(c *Config) { c.Dial = -1 },
		"Platform: ":          func(c *Config) { c.Platform = []byte("{") },
		"Platform stands in":  func(c *Config) { c.Platform = []byte(`{"settings":{}}`) },
		"client: Platform: settings": func(c *Config) {
			*c = Config{Platform: []byte(`{"discovery":"127.0.0.1:1","settings":{"registryMode":"x"}}`)}
		},
	} {
		c := ok()
		change(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "client: ") {
			t.Errorf("want %q: %v", want, err)
		}
	}
	tr, err := New(ok())
	if err != nil {
		t.Fatal(err)
	}
	tr.Close(context.Background())
}

// A long response is streamed to the caller; one that ends early returns an error on Read.
func TestLongAnswerStreamed(t *testing.T) {
	long := strings.Repeat("long ", 60<<10)
	kind := standin.Serve
	site := newSite(t, rig.SiteConfig{Servers: 1, Server: standin.ServerConfig{Script: func(standin.Request) standin.Action {
		return standin.Action{Kind: kind, Body: long}
	}}})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site)})
	if r := send(context.Background(), tr, askOf("activate", "1")); r.Status != 200 || r.Body != long {
		t.Errorf("%d, %d bytes, %v", r.Status, len(r.Body), r.Err)
	}
	kind = standin.ShortBody
	if r := send(context.Background(), tr, askOf("activate", "2")); !errors.Is(r.Err, io.ErrUnexpectedEOF) {
		t.Errorf("response that ends early: %v", r.Err)
	}
	waitUntil(t, "calls or streams remain active", func() bool { tr.mu.Lock(); defer tr.mu.Unlock(); return tr.active == 0 && len(tr.streams) == 0 })
}

// Closing a streamed response closes its connection even while the server sends nothing;
// reading the response to its end leaves the connection for the next call.
func TestClosingLongAnswerClosesConnection(t *testing.T) {
	kind := standin.StopBody
	site := newSite(t, rig.SiteConfig{Servers: 1, Server: standin.ServerConfig{Script: func(standin.Request) standin.Action {
		return standin.Action{Kind: kind, Body: strings.Repeat("x", 100<<10)}
	}}})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), Pause: time.Hour})
	resp, err := tr.RoundTrip(newRequest(context.Background(), askOf("activate", "1")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 100<<10)); err != nil { // the server sends no more than this
		t.Fatal(err)
	}
	resp.Body.Close()
	waitUntil(t, "the connection is still open after Close", func() bool { return tr.pool.Conns() == 0 })
	kind = standin.Serve
	for n := range 3 {
		if r := send(context.Background(), tr, askOf("activate", fmt.Sprint("whole", n))); r.Status != 200 {
			t.Errorf("%+v", r)
		}
		waitUntil(t, "calls or streams remain active", func() bool { tr.mu.Lock(); defer tr.mu.Unlock(); return tr.active == 0 })
	}
	if n := site.Servers[0].OpenedConns(); n != 2 {
		t.Errorf("%d connections opened for 4 calls, want 2: one was closed early, the other reused", n)
	}
}

// SetNodes replaces the list: a server that is no longer on it gets no more calls.
func TestSetNodesReplacesList(t *testing.T) {
	site := newSite(t, rig.SiteConfig{Servers: 2})
	list := fixedNodes(site)
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: list[:1]})
	for n := range 4 {
		if n == 2 {
			if err := tr.SetNodes(list[1:]); err != nil {
				t.Fatal(err)
			}
		}
		send(context.Background(), tr, askOf("activate", fmt.Sprint(n)))
	}
	for n, a := range site.Ledger.Arrivals() {
		if want := site.Servers[n/2].Name(); a.Server != want {
			t.Errorf("call %d was sent to %s, want %s", n, a.Server, want)
		}
	}
	if err := tr.SetNodes([]Node{{Address: "x"}}); err == nil {
		t.Error("SetNodes accepted an invalid list")
	}
}

// With PassClientErrors a server's 4xx response is returned to the caller and not retried.
func TestPassClientErrors(t *testing.T) {
	status := 0
	site := newSite(t, rig.SiteConfig{Servers: 3, Server: standin.ServerConfig{Script: func(standin.Request) standin.Action {
		return standin.Action{Kind: standin.Deny, Status: status, Body: "why"}
	}}})
	tr := newTransport(t, Config{Classes: longDeadlineClasses(), Nodes: fixedNodes(site), PassClientErrors: true})
	for n, c := range []struct{ status, want, attempts int }{{404, 404, 1}, {409, 409, 1}, {429, 503, 3}, {408, 503, 3}, {500, 503, 3}, {301, 503, 3}} {
		status = c.status
		id := fmt.Sprint(n)
		r := send(context.Background(), tr, askOf("status-check", id))
		if r.Status != c.want || r.Status == c.status && r.Body != "why" {
			t.Errorf("%d: %+v", c.status, r)
		}
		if got := site.Ledger.RequestCount(id).Attempts; c.status != 301 && got > c.attempts || c.want == c.status && got != 1 {
			t.Errorf("%d: %d attempts", c.status, got)
		}
	}
}
