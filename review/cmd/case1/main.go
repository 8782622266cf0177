// Command case1: a server sends a second copy of an answer some milliseconds late, and a client gets
// it as the answer to another request.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/harness"
)

const (
	sidecars    = 8
	servers     = 6
	rate        = 320                  // requests a second to each sidecar
	oneWay      = 2 * time.Millisecond // between the sidecars' zone and the servers'
	work        = 6 * time.Millisecond // mean time that a server works
	copyOneIn   = 50                   // answers that bring a second copy, during a spell
	spellEvery  = 33 * time.Second     // spells of second copies, with quiet time between them
	spellLasts  = 2 * time.Second
	runLasts    = 100 * time.Second
	quietBefore = 3 * time.Second
)

// pipe passes bytes on, each oneWay after it has come.
func pipe(from, to net.Conn) {
	type piece struct {
		at   time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now().Add(oneWay), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	to.(*net.TCPConn).CloseWrite()
	for range pieces {
	}
}

// delay listens for the sidecars and passes each connection on to a server, oneWay later.
func delay(c *harness.Case, to string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			go pipe(a, b)
			go pipe(b, a)
		}
	}()
	return ln.Addr().String()
}

type world struct {
	c      *harness.Case
	start  time.Time
	copies atomic.Int64
}

// inSpell reports whether answers bring second copies now.
func (w *world) inSpell() bool {
	at := time.Since(w.start) - quietBefore
	return harness.Trouble() && at >= 0 && at%spellEvery < spellLasts
}

// answerTo returns the body that answers a request and no other.
func answerTo(id string) string { return "answer to " + id }

// server answers each request with a body of its own. During a spell it sends a second copy of some
// answers, some milliseconds later, if by then nothing else waits on the connection.
func (w *world) server(name string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.c.Fatal("%v", err)
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(name, nc)
		}
	}()
	return ln.Addr().String()
}

// arrivals counts the reads of a connection that brought bytes.
type arrivals struct {
	net.Conn
	n atomic.Int64
}

func (a *arrivals) Read(p []byte) (int, error) {
	n, err := a.Conn.Read(p)
	a.n.Add(1)
	return n, err
}

func (w *world) serve(name string, nc net.Conn) {
	defer nc.Close()
	a := &arrivals{Conn: nc}
	br := bufio.NewReader(a)
	var mu sync.Mutex // of the writes
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Req-Id")
		body := answerTo(id)
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(work)))
		wire := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		mu.Lock()
		before := a.n.Load()
		nc.Write(wire)
		mu.Unlock()
		if w.inSpell() && rand.IntN(copyOneIn) == 0 {
			time.AfterFunc(time.Duration(2000+rand.IntN(5000))*time.Microsecond, func() {
				mu.Lock()
				defer mu.Unlock()
				if a.n.Load() == before { // nothing has come since: nothing else waits
					nc.Write(wire)
					w.copies.Add(1)
					w.c.Line("%s sent a second copy of the answer to %s", name, id)
				}
			})
		}
	}
}

type totals struct{ sent, served, refused, failed, foreign, lost atomic.Int64 }

// request sends one request and judges its answer.
func (w *world) request(client *http.Client, s *harness.Sidecar, n int, t *totals) {
	id := fmt.Sprintf("%s-%06d", s.Name, n)
	class, method := "status-check", http.MethodGet
	switch n % 10 {
	case 0, 1:
		class, method = "activate", http.MethodPost
	case 2, 3, 4:
		class, method = "id-register", http.MethodPost
	}
	r, _ := http.NewRequest(method, "http://"+s.Listen+"/"+class, nil)
	if method == http.MethodPost {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("card")), 4
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Kind", class)
	r.Header.Set("Req-Deadline-Ms", "2000")
	if class == "id-register" {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	t.sent.Add(1)
	resp, err := client.Do(r)
	if err != nil {
		t.lost.Add(1)
		w.c.Line("%s (%s) has no answer: %v", id, class, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case err != nil:
		t.lost.Add(1)
		w.c.Line("%s (%s) has no whole answer: %v", id, class, err)
	case resp.StatusCode == http.StatusOK && string(body) == answerTo(id):
		t.served.Add(1)
	case resp.StatusCode == http.StatusOK:
		t.foreign.Add(1)
		w.c.Line("FOREIGN: %s (%s) was served with %q", id, class, body)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
		w.c.Line("%s (%s) failed with %d", id, class, resp.StatusCode)
	}
}

func main() {
	c := harness.New()
	w := &world{c: c}
	var list []harness.Endpoint
	for n := range servers {
		name := fmt.Sprintf("s%d", n)
		list = append(list, harness.Endpoint{Name: name, Address: delay(c, w.server(name)), Zone: "jakarta", Type: "standard", Group: 1, Status: "up", Weight: 1})
	}
	discovery := c.Discovery(list)
	var all []*harness.Sidecar
	for n := range sidecars {
		all = append(all, c.Start(harness.SidecarConfig{Name: fmt.Sprintf("n%d", n), Discovery: discovery, Settings: harness.Settings(sidecars)}))
	}
	for _, s := range all {
		c.WaitReady(s)
	}
	w.start = time.Now()
	var t totals
	var wg sync.WaitGroup
	for _, s := range all {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
		wg.Go(func() {
			next := time.Now()
			for n := 0; time.Since(w.start) < runLasts; n++ {
				next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
				time.Sleep(time.Until(next))
				wg.Go(func() { w.request(client, s, n, &t) })
			}
		})
	}
	wg.Wait()
	c.Say("%d sent, %d served, %d refused, %d failed, %d without an answer; %d second copies; %d served with a foreign answer",
		t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load(), t.lost.Load(), w.copies.Load(), t.foreign.Load())
	for _, s := range all {
		select {
		case <-s.Done:
			c.Say("%s ended", s.Name)
			c.Exit(harness.Broken)
		default:
		}
	}
	if t.foreign.Load() > 0 {
		c.Exit(harness.Broken)
	}
	if t.served.Load() < t.sent.Load()/2 {
		c.Fatal("under half was served")
	}
	c.Exit(harness.Held)
}
