// Command case2: a new configuration adds a class, and the first long body of that class leaves all
// requests with long bodies without an answer, of all classes, for good.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/harness"
)

const (
	servers    = 4
	configAt   = 5 * time.Second  // the new configuration
	newClassAt = 12 * time.Second // clients begin to use the new class
	runLasts   = 30 * time.Second
	interval   = 200 * time.Millisecond // between the requests of each kind
	longBody   = 100 << 10
	deadline   = 2500 * time.Millisecond
	slack      = 500 * time.Millisecond // after its time an answer only earns nothing
	newClass   = "sim-swap"
)

// kind is a kind of requests that clients send.
type kind struct {
	name, class string
	from        time.Duration
	bytes       int
	chunked     bool

	sent, served, refused, failed, lost atomic.Int64
}

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

func main() {
	c := harness.New()
	var list []harness.Endpoint
	for n := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.Fatal("%v", err)
		}
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(w, "answer to %s with %d bytes", r.Header.Get("Req-Id"), n)
		}))
		list = append(list, harness.Endpoint{Name: fmt.Sprintf("s%d", n), Address: ln.Addr().String(), Zone: "bandung", Type: "standard", Group: 1, Status: "up", Weight: 1})
	}
	before, after := harness.Settings(1), harness.Settings(1)
	after["classes"] = append(harness.Classes(), harness.Class{Name: newClass, Effect: "once", Scope: "all", Aim: 750e3, Deadline: 2500e3, Window: 5000e3, Worth: 5})
	if !harness.Trouble() { // the class is there from the start, and nothing changes
		before = after
	}
	s := c.Start(harness.SidecarConfig{Name: "n0", Discovery: c.Discovery(list), Settings: before, Features: "version = 1\n[config]\nenabled = true\nbake = \"3s\"\n"})
	c.WaitReady(s)
	start := time.Now()
	if harness.Trouble() {
		time.AfterFunc(configAt, func() { c.Reconfigure(s, after) })
	}
	kinds := []*kind{
		{name: "status-check", class: "status-check"},
		{name: "activate, short body", class: "activate", bytes: 200},
		{name: "activate, long body", class: "activate", bytes: longBody},
		{name: "id-register, short body in chunks", class: "id-register", bytes: 200, chunked: true},
		{name: newClass + ", short body", class: newClass, bytes: 200, from: newClassAt},
		{name: newClass + ", long body", class: newClass, bytes: longBody, from: newClassAt},
	}
	client := &http.Client{Timeout: deadline + slack, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	request := func(k *kind, id string) {
		var body io.Reader
		method := http.MethodGet
		if k.bytes > 0 {
			method, body = http.MethodPost, strings.NewReader(strings.Repeat("x", k.bytes))
			if k.chunked {
				body = unsized{body}
			}
		}
		r, err := http.NewRequest(method, "http://"+s.Listen+"/"+k.class, body)
		if err != nil {
			c.Fatal("%v", err)
		}
		r.GetBody = nil // a request goes out once
		r.Header.Set("Req-Id", id)
		r.Header.Set("Req-Kind", k.class)
		r.Header.Set("Req-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
		if k.class == "id-register" {
			r.Header.Set("Idempotency-Key", "key-"+id)
		}
		k.sent.Add(1)
		began := time.Now()
		resp, err := client.Do(r)
		var text []byte
		if err == nil {
			text, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		took := time.Since(began).Seconds()
		switch {
		case err != nil:
			k.lost.Add(1)
			c.Line("NO ANSWER: %s (%s) after %.2f s: %v", id, k.name, took, err)
			return
		case resp.StatusCode == http.StatusOK && string(text) == fmt.Sprintf("answer to %s with %d bytes", id, k.bytes):
			k.served.Add(1)
		case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
			k.refused.Add(1)
		default:
			k.failed.Add(1)
		}
		c.Line("%s (%s): %d after %.2f s", id, k.name, resp.StatusCode, took)
	}
	var wg sync.WaitGroup
	for i, k := range kinds {
		wg.Go(func() {
			time.Sleep(k.from)
			for n := 0; time.Since(start) < runLasts; n++ {
				wg.Go(func() { request(k, fmt.Sprintf("%d-%04d", i, n)) })
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	lost, served := int64(0), int64(0)
	for _, k := range kinds {
		c.Say("%s: %d sent, %d served, %d refused, %d failed, %d without an answer", k.name, k.sent.Load(), k.served.Load(), k.refused.Load(), k.failed.Load(), k.lost.Load())
		lost, served = lost+k.lost.Load(), served+k.served.Load()
	}
	if resp, err := http.Get("http://" + s.Listen + "/_health"); err == nil {
		resp.Body.Close()
		c.Say("/_health says %d at the end", resp.StatusCode)
	}
	if n := strings.Count(c.Log(s), "panic while serving a client connection"); n > 0 {
		c.Say("the sidecar's log has %d panics", n)
	}
	select {
	case <-s.Done:
		c.Say("the sidecar ended")
		c.Exit(harness.Broken)
	default:
	}
	if served < 200 {
		c.Fatal("too few were served")
	}
	if lost > 0 {
		c.Exit(harness.Broken)
	}
	c.Exit(harness.Held)
}
