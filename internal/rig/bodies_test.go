package rig_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/body"
	"chalkrack/internal/daemon"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

const patience = 30 * time.Second

// unkept is the length of a body that is not kept and that no socket's buffers hold: its
// last byte is not out before its server reads.
const unkept = 24 << 20

// bodies are the settings of a small store: memory keeps 256 KiB each, files 2 MiB.
func bodies(folder, socket string) string {
	text := "version = 1\n[bodies]\nenabled = true\nmemory_mb = 16\nmemory_longest_kb = 256\nfile_longest_mb = 2\ndisk_mb = 16\nfiles = 8\nstreams = 8\nlongest_mb = 64\nproxy_status = true\n" +
		"[bodies.shares]\nstatus-check = 0.1\nid-register = 0.2\nactivate = 0.4\n"
	if folder != "" {
		text = strings.Replace(text, "[bodies.shares]", fmt.Sprintf("folder = %q\n[bodies.shares]", folder), 1)
	}
	if socket != "" {
		text += fmt.Sprintf("[admin]\nsocket = %q\n", socket)
	}
	return text
}

func start(t *testing.T, servers int, features string) (*rig.Site, *rig.Daemon) {
	t.Helper()
	classes := rig.Patient()
	for n := range classes {
		if classes[n].Window > 0 {
			classes[n].Window = 8 * time.Second
		}
	}
	site, err := rig.NewSite(rig.SiteConfig{Servers: servers, Classes: classes, NoHedge: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	d, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop() })
	return site, d
}

func script(site *rig.Site, s standin.Script) {
	for _, server := range site.Servers {
		server.Do(s)
	}
}

func random(seed uint64, n int) []byte {
	p := make([]byte, n)
	rng := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	rng.Read(p)
	return p
}

// post is one request on a connection of its own. It returns the answer, its status 0
// if none came.
func post(addr, class, id string, body io.Reader, size int64) (status int, h http.Header, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app\r\nReq-Id: %s\r\nReq-Deadline-Ms: 15000\r\n", class, id)
	if class == "id-register" {
		head += "Idempotency-Key: k" + id + "\r\n"
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if size >= 0 {
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, size)
			io.Copy(c, body)
			return
		}
		io.WriteString(c, head+"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
		w := bufio.NewWriter(c)
		for p := make([]byte, 50000); ; {
			n, err := io.ReadFull(body, p)
			if n > 0 {
				fmt.Fprintf(w, "%x\r\n%s\r\n", n, p[:n])
			}
			if err != nil {
				break
			}
		}
		io.WriteString(w, "0\r\nX-Sum: 1\r\n\r\n")
		w.Flush()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	c.Close()
	<-sent
	return resp.StatusCode, resp.Header, err
}

// Bodies of every size go through every place and arrive as they were sent; a keyed one
// that is kept is tried again, one that is not kept never is, whatever its class.
func TestBodiesThroughTheDaemon(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, d := start(t, 4, bodies(t.TempDir(), socket))
	n := 0
	for _, c := range []struct {
		name     string
		class    string
		size     int
		chunked  bool
		act      standin.Act // the first attempt's
		status   int
		attempts int
	}{
		{"small", "activate", 300, false, standin.Act{}, 200, 1},
		{"in memory", "activate", 200 << 10, false, standin.Act{}, 200, 1},
		{"in memory, in chunks", "id-register", 100 << 10, true, standin.Act{}, 200, 1},
		{"in a file", "activate", 1 << 20, false, standin.Act{}, 200, 1},
		{"in a file, in chunks", "activate", 1 << 20, true, standin.Act{}, 200, 1},
		{"not kept", "activate", 5 << 20, false, standin.Act{}, 200, 1},
		{"not kept, in chunks", "activate", 5 << 20, true, standin.Act{}, 200, 1},
		{"memory, failed", "id-register", 200 << 10, false, standin.Act{Kind: standin.Fail}, 200, 2},
		{"file, failed", "id-register", 1 << 20, false, standin.Act{Kind: standin.ResetLate}, 200, 2},
		{"file, in chunks, failed", "id-register", 1 << 20, true, standin.Act{Kind: standin.ResetLate}, 200, 2},
		{"file, declined", "activate", 1 << 20, false, standin.Act{Kind: standin.Decline}, 200, 2},
		{"file, must not run twice", "activate", 1 << 20, false, standin.Act{Kind: standin.ResetLate}, 502, 1},
		{"not kept, failed", "id-register", 5 << 20, false, standin.Act{Kind: standin.Fail}, 503, 1},
		{"not kept, reset behind the last byte", "id-register", 5 << 20, false, standin.Act{Kind: standin.ResetLate}, 503, 1},
		{"not kept, must not run twice, reset behind", "activate", 5 << 20, true, standin.Act{Kind: standin.ResetLate}, 502, 1},
		{"not kept, declined", "activate", 5 << 20, false, standin.Act{Kind: standin.Decline}, 503, 1},
		{"not kept, reset in the middle", "activate", unkept, false, standin.Act{Kind: standin.ResetEarly, Delay: 20 * time.Millisecond}, 503, 0},
		{"not kept, 413 early", "activate", unkept, false, standin.Act{Kind: standin.Deny, Status: 413, Early: true}, 413, 0},
		{"not kept, 503 early", "activate", unkept, false, standin.Act{Kind: standin.Deny, Status: 503, Early: true}, 503, 0},
		{"not kept, 200 early", "activate", unkept, false, standin.Act{Early: true}, 200, 0},
		{"small, failed", "id-register", 300, false, standin.Act{Kind: standin.Fail}, 200, 2},
		{"too long", "activate", 65 << 20, false, standin.Act{}, 413, 0},
	} {
		n++
		id := fmt.Sprintf("r%d", n)
		script(site, standin.Nth(c.act, standin.Act{}))
		p := random(uint64(n), c.size)
		size := int64(c.size)
		if c.chunked {
			size = -1
		}
		status, h, err := post(d.Addr, c.class, id, bytes.NewReader(p), size)
		if status != c.status || err != nil {
			t.Errorf("%s: status %d, %v, want %d", c.name, status, err, c.status)
		}
		if status == 503 && h.Get("Retry-After") == "" {
			t.Errorf("%s: refused and not told when to come back", c.name)
		}
		if unkept := strings.HasPrefix(c.name, "not kept") && (status == 502 || status == 503); unkept != (h.Get("Proxy-Status") != "") && status != 413 {
			t.Errorf("%s: Proxy-Status %q", c.name, h.Get("Proxy-Status"))
		}
		if got := site.Ledger.ID(id).Attempts; got != c.attempts {
			t.Errorf("%s: %d attempts arrived whole, want %d", c.name, got, c.attempts)
		}
		for _, a := range site.Ledger.Log() {
			if a.ID == id && (a.Size != int64(len(p)) || a.Sum != sha256.Sum256(p)) {
				t.Errorf("%s: attempt %d has %d bytes that are not those sent", c.name, a.Nth, a.Size)
			}
		}
	}
	var v body.View
	if err := admin.Get(context.Background(), socket, "bodies", &v); err != nil {
		t.Fatal(err)
	}
	byClass := make(map[string]body.ClassView)
	for _, c := range v.Classes {
		byClass[c.Class] = c
	}
	if c := byClass["id-register"]; c.RetriedMemory != 2 || c.RetriedFile != 2 || c.UnkeptRefused != 2 || c.File != 2 {
		t.Errorf("id-register: %+v", c)
	}
	if c := byClass["activate"]; c.UnkeptFailed != 1 || c.UnkeptRefused != 3 {
		t.Errorf("activate: %+v", c)
	}
	if v.Memory.Now+v.Disk.Now+v.Files.Now+v.Streams.Now != 0 {
		t.Errorf("held: %+v", v)
	}
	var st daemon.Status
	if err := admin.Get(context.Background(), socket, "status", &st); err != nil || !st.Bodies || !st.Ready {
		t.Errorf("status %+v, %v", st, err)
	}
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, %v", info, err)
	}
}

// emptied waits until nothing is held, and returns what is told then.
func emptied(t *testing.T, socket string) (v body.View) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if err := admin.Get(t.Context(), socket, "bodies", &v); err != nil {
			t.Fatal(err)
		}
		if v.Memory.Now+v.Disk.Now+v.Files.Now+v.Streams.Now == 0 {
			return v
		}
		if time.Now().After(end) {
			t.Fatalf("held: %+v", v)
		}
	}
}

// Where the length is told, it is decided before the body is sent for: no 100 for what
// is refused.
func TestExpectIsDecidedUnread(t *testing.T) {
	roomy, full := bodies("", ""), strings.Replace(bodies("", ""), "streams = 8", "streams = 0", 1)
	for _, c := range []struct {
		features string
		size     int
		want     string
	}{{roomy, 1000, "100"}, {roomy, 5 << 20, "100"}, {roomy, 65 << 20, "413"}, {full, 1000, "100"}, {full, 5 << 20, "503"}} {
		_, d := start(t, 2, c.features)
		conn, err := net.Dial("tcp", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(conn, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: e%d\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", c.size, c.size)
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.1 "+c.want) {
			t.Errorf("%d bytes: %q, %v, want %s", c.size, line, err, c.want)
		}
		conn.Close()
	}
}

// A client that leaves at any point of its body, one that ends its chunks wrongly and
// one that goes on behind its end: nothing reaches a server whole, nothing is held.
func TestClientsThatLeaveOrLie(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, d := start(t, 2, bodies(t.TempDir(), socket))
	n := 0
	for _, size := range []int{1 << 10, 200 << 10, 1 << 20, 5 << 20} {
		for _, at := range []int{0, 1, 4096, size / 2, size - 1} {
			if at >= size {
				continue // a body that is there whole is not left: it may be sent on
			}
			n++
			c, err := net.Dial("tcp", d.Addr)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(c, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: l%d\r\nContent-Length: %d\r\n\r\n", n, size)
			c.Write(random(1, at))
			c.Close()
		}
		for _, end := range []string{"zz\r\n", "5\r\nabc", "-1\r\n\r\n"} {
			n++
			c, err := net.Dial("tcp", d.Addr)
			if err != nil {
				t.Fatal(err)
			}
			c.SetDeadline(time.Now().Add(patience))
			fmt.Fprintf(c, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: l%d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", n, size, random(1, size), end)
			if end == "5\r\nabc" {
				c.(*net.TCPConn).CloseWrite()
			} else if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 400") {
				t.Errorf("%d bytes, then %q: %q, %v", size, end, line, err)
			}
			c.Close()
		}
	}
	emptied(t, socket)
	for id, c := range site.Ledger.IDs() {
		t.Errorf("%s arrived: %+v", id, c)
	}
}

// A flood of one class's largest bodies, from clients that never end them, leaves the
// others' share: each activate beside it is answered, also such as are kept in files.
func TestFloodOfOneClass(t *testing.T) {
	site, d := start(t, 2, bodies(t.TempDir(), ""))
	var flood []net.Conn
	for n := range 60 {
		c, err := net.Dial("tcp", d.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		flood = append(flood, c)
		fmt.Fprintf(c, "POST /id-register HTTP/1.1\r\nHost: app\r\nReq-Id: f%d\r\nIdempotency-Key: f%d\r\nContent-Length: %d\r\n\r\n", n, n, 2<<20)
	}
	var wg sync.WaitGroup
	for _, c := range flood {
		wg.Go(func() {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			c.Write(random(1, 2<<20-1))
		})
	}
	for n := range 30 {
		size := []int{300, 100 << 10, 1 << 20}[n%3]
		id := fmt.Sprintf("a%d", n)
		if status, _, err := post(d.Addr, "activate", id, bytes.NewReader(random(2, size)), int64(size)); status != 200 {
			t.Errorf("activate of %d bytes beside the flood: %d, %v", size, status, err)
		}
	}
	wg.Wait()
	for n := range 30 {
		if c := site.Ledger.ID(fmt.Sprintf("a%d", n)); c.Attempts != 1 {
			t.Errorf("activate %d: %+v", n, c)
		}
	}
}

func run(name string, args ...string) ([]byte, error) {
	return exec.Command(name, args...).CombinedOutput()
}

// Clients that trickle a byte now and then (200, or FAWN_SLOW) hold no more than the bound, and are told to
// go in the time that any request has; others' calls go on beside them.
func TestTricklersAreToldToGo(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	_, d := start(t, 2, bodies(t.TempDir(), socket))
	var wg sync.WaitGroup
	began := time.Now()
	clients := 200
	if n, err := strconv.Atoi(os.Getenv("FAWN_SLOW")); err == nil {
		clients = n
	}
	for n := range clients {
		wg.Go(func() {
			c, err := net.Dial("tcp", d.Addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			fmt.Fprintf(c, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: t%d\r\nContent-Length: %d\r\n\r\n", n, 1<<20)
			go func() {
				for {
					if _, err := c.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(200 * time.Millisecond)
				}
			}()
			line, err := bufio.NewReader(c).ReadString('\n')
			if err == nil && !strings.HasPrefix(line, "HTTP/1.1 408") && !strings.HasPrefix(line, "HTTP/1.1 503") {
				t.Errorf("a trickler is told %q", line)
			}
		})
	}
	for n := range 20 {
		if status, _, err := post(d.Addr, "activate", fmt.Sprint("o", n), strings.NewReader("x"), 1); status != 200 {
			t.Errorf("beside tricklers: %d, %v", status, err)
		}
	}
	wg.Wait()
	if took := time.Since(began); took > patience/2 {
		t.Errorf("tricklers stayed for %v", took)
	}
	var v body.View
	if err := admin.Get(context.Background(), socket, "bodies", &v); err != nil {
		t.Fatal(err)
	}
	if v.Memory.Max > v.Memory.Limit || v.Disk.Max > v.Disk.Limit || v.Files.Max > v.Files.Limit || v.Streams.Max > v.Streams.Limit {
		t.Errorf("beyond a bound: %+v", v)
	}
}

// An answer that comes before a body's end is followed by an end in order: a close with
// bytes unread would reset the connection, and may take the answer back.
func TestEarlyAnswerEndsInOrder(t *testing.T) {
	site, d := start(t, 2, bodies("", ""))
	script(site, standin.Always(standin.Act{Early: true}))
	c, err := net.Dial("tcp", d.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: e1\r\nContent-Length: %d\r\n\r\n", unkept)
	// No more than sockets hold, and nobody writes meanwhile: a write would take the
	// connection's error away from the read.
	if _, err := c.Write(random(1, 512<<10)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil || !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) || !bytes.Contains(answer, []byte("Connection: close")) {
		t.Errorf("%q, %v", answer, err)
	}
}

// SIGTERM while a body in a file waits for its server, and while one that is not kept is
// on its way: both are answered, and the instance's folder goes.
func TestStopWithBodiesInUse(t *testing.T) {
	folder := t.TempDir()
	site, d := start(t, 2, bodies(folder, ""))
	seen := make(chan struct{}, 2)
	script(site, func(r standin.Request) standin.Act {
		seen <- struct{}{}
		return standin.Act{Delay: 300 * time.Millisecond}
	})
	var wg sync.WaitGroup
	send := func(id string, size int, body io.Reader) {
		wg.Go(func() {
			if status, _, err := post(d.Addr, "activate", id, body, int64(size)); status != 200 || err != nil {
				t.Errorf("%s: %d, %v", id, status, err)
			}
		})
	}
	p := random(1, unkept)
	send("file", 1<<20, bytes.NewReader(p[:1<<20]))
	r, w := io.Pipe()
	send("stream", unkept, r)
	if _, err := w.Write(p[:unkept/2]); err != nil {
		t.Fatal(err)
	}
	<-seen
	<-seen // both are at their servers, the second without its end
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop() }()
	w.Write(p[unkept/2:])
	w.Close()
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	for id, size := range map[string]int{"file": 1 << 20, "stream": unkept} {
		found := false
		for _, a := range site.Ledger.Log() {
			found = found || a.ID == id && a.Sum == sha256.Sum256(p[:size])
		}
		if !found {
			t.Errorf("%s did not arrive whole", id)
		}
	}
	if left, err := os.ReadDir(folder); err != nil || len(left) != 1 || left[0].Name() != "lock" {
		t.Errorf("left: %v, %v", left, err)
	}
}
