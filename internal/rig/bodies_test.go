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

// testTimeout limits each connection of a test and each wait for a state of the daemon.
const testTimeout = 30 * time.Second

// unkeptBytes is the length of a body that is not kept and does not fit into the socket buffers on
// its way: its last byte cannot be sent before the server reads.
const unkeptBytes = 24 << 20

// bodyFeatures returns a features file with a small store for bodies: memory keeps a body of at
// most 256 KiB and a file one of at most 2 MiB, if folder is not empty. An admin socket is optional
// too.
func bodyFeatures(folder, socket string) string {
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

// startSite starts a site with long deadlines and a daemon in this process. Both end with the test.
func startSite(t *testing.T, servers int, features string) (*rig.Site, *rig.Daemon) {
	t.Helper()
	classes := rig.LongDeadlineClasses()
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
	testDaemon, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { testDaemon.Stop() })
	return site, testDaemon
}

// setScript sets the script of all servers.
func setScript(site *rig.Site, s standin.Script) {
	for _, server := range site.Servers {
		server.SetScript(s)
	}
}

// randomBytes returns n bytes that depend on the seed only.
func randomBytes(seed uint64, n int) []byte {
	content := make([]byte, n)
	rng := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	rng.Read(content)
	return content
}

// postBody sends one request on its own connection and returns the status and header of the answer.
// A negative size sends the body in chunks. The status is 0 if there is no answer.
func postBody(addr, class, id string, body io.Reader, size int64) (status int, header http.Header, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app\r\nReq-Id: %s\r\nReq-Deadline-Ms: 15000\r\n", class, id)
	if class == "id-register" {
		head += "Idempotency-Key: k" + id + "\r\n"
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if size >= 0 {
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, size)
			io.Copy(conn, body)
			return
		}
		io.WriteString(conn, head+"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
		writer := bufio.NewWriter(conn)
		for chunk := make([]byte, 50000); ; {
			n, err := io.ReadFull(body, chunk)
			if n > 0 {
				fmt.Fprintf(writer, "%x\r\n%s\r\n", n, chunk[:n])
			}
			if err != nil {
				break
			}
		}
		io.WriteString(writer, "0\r\nX-Sum: 1\r\n\r\n")
		writer.Flush()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	conn.Close()
	<-sent
	return resp.StatusCode, resp.Header, err
}

// Guards against bodies that are changed, lost or sent twice. Bodies of each size, kept in memory,
// in a file or not at all, arrive as they were sent. A keyed request whose body is kept is retried;
// one whose body is not kept is never retried, whatever its class.
func TestBodiesThroughTheDaemon(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, testDaemon := startSite(t, 4, bodyFeatures(t.TempDir(), socket))
	caseNumber := 0
	for _, c := range []struct {
		name     string
		class    string
		size     int
		chunked  bool
		act      standin.Action // of the server at the first attempt
		status   int
		attempts int
	}{
		{"small", "activate", 300, false, standin.Action{}, 200, 1},
		{"in memory", "activate", 200 << 10, false, standin.Action{}, 200, 1},
		{"in memory, in chunks", "id-register", 100 << 10, true, standin.Action{}, 200, 1},
		{"in a file", "activate", 1 << 20, false, standin.Action{}, 200, 1},
		{"in a file, in chunks", "activate", 1 << 20, true, standin.Action{}, 200, 1},
		{"not kept", "activate", 5 << 20, false, standin.Action{}, 200, 1},
		{"not kept, in chunks", "activate", 5 << 20, true, standin.Action{}, 200, 1},
		{"memory, failed", "id-register", 200 << 10, false, standin.Action{Kind: standin.Fail}, 200, 2},
		{"file, failed", "id-register", 1 << 20, false, standin.Action{Kind: standin.ResetLate}, 200, 2},
		{"file, in chunks, failed", "id-register", 1 << 20, true, standin.Action{Kind: standin.ResetLate}, 200, 2},
		{"file, declined", "activate", 1 << 20, false, standin.Action{Kind: standin.Decline}, 200, 2},
		{"file, must not run twice", "activate", 1 << 20, false, standin.Action{Kind: standin.ResetLate}, 502, 1},
		{"not kept, failed", "id-register", 5 << 20, false, standin.Action{Kind: standin.Fail}, 503, 1},
		{"not kept, reset behind the last byte", "id-register", 5 << 20, false, standin.Action{Kind: standin.ResetLate}, 503, 1},
		{"not kept, must not run twice, reset behind", "activate", 5 << 20, true, standin.Action{Kind: standin.ResetLate}, 502, 1},
		{"not kept, declined", "activate", 5 << 20, false, standin.Action{Kind: standin.Decline}, 503, 1},
		{"not kept, reset in the middle", "activate", unkeptBytes, false, standin.Action{Kind: standin.ResetEarly, Delay: 20 * time.Millisecond}, 503, 0},
		{"not kept, 413 early", "activate", unkeptBytes, false, standin.Action{Kind: standin.Deny, Status: 413, BeforeBody: true}, 413, 0},
		{"not kept, 503 early", "activate", unkeptBytes, false, standin.Action{Kind: standin.Deny, Status: 503, BeforeBody: true}, 503, 0},
		{"not kept, 200 early", "activate", unkeptBytes, false, standin.Action{BeforeBody: true}, 200, 0},
		{"small, failed", "id-register", 300, false, standin.Action{Kind: standin.Fail}, 200, 2},
		{"too long", "activate", 65 << 20, false, standin.Action{}, 413, 0},
	} {
		caseNumber++
		id := fmt.Sprintf("r%d", caseNumber)
		setScript(site, standin.Sequence(c.act, standin.Action{}))
		content := randomBytes(uint64(caseNumber), c.size)
		size := int64(c.size)
		if c.chunked {
			size = -1
		}
		status, header, err := postBody(testDaemon.Addr, c.class, id, bytes.NewReader(content), size)
		if status != c.status || err != nil {
			t.Errorf("%s: status %d, %v, want %d", c.name, status, err, c.status)
		}
		if status == 503 && header.Get("Retry-After") == "" {
			t.Errorf("%s: status 503 without Retry-After", c.name)
		}
		if wantProxyStatus := strings.HasPrefix(c.name, "not kept") && (status == 502 || status == 503); wantProxyStatus != (header.Get("Proxy-Status") != "") && status != 413 {
			t.Errorf("%s: unexpected Proxy-Status %q", c.name, header.Get("Proxy-Status"))
		}
		if got := site.Ledger.RequestCount(id).Attempts; got != c.attempts {
			t.Errorf("%s: %d attempts arrived with the whole body, want %d", c.name, got, c.attempts)
		}
		for _, a := range site.Ledger.Arrivals() {
			if a.ID == id && (a.BodySize != int64(len(content)) || a.BodyHash != sha256.Sum256(content)) {
				t.Errorf("%s: attempt %d has %d bytes that differ from those sent", c.name, a.AttemptNumber, a.BodySize)
			}
		}
	}
	var view body.View
	if err := admin.Get(context.Background(), socket, "bodies", &view); err != nil {
		t.Fatal(err)
	}
	byClass := make(map[string]body.ClassView)
	for _, c := range view.Classes {
		byClass[c.Class] = c
	}
	if c := byClass["id-register"]; c.RetriedMemory != 2 || c.RetriedFile != 2 || c.UnkeptRefused != 2 || c.File != 2 {
		t.Errorf("counts of class id-register: %+v", c)
	}
	if c := byClass["activate"]; c.UnkeptFailed != 1 || c.UnkeptRefused != 3 {
		t.Errorf("counts of class activate: %+v", c)
	}
	if view.Memory.Now+view.Disk.Now+view.Files.Now+view.Streams.Now != 0 {
		t.Errorf("the store still holds bodies: %+v", view)
	}
	var daemonStatus daemon.Status
	if err := admin.Get(context.Background(), socket, "status", &daemonStatus); err != nil || !daemonStatus.Bodies || !daemonStatus.Ready {
		t.Errorf("status %+v, %v", daemonStatus, err)
	}
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("admin socket: %v, %v, want mode 0600", info, err)
	}
}

// waitUntilEmpty waits until the daemon holds no body, and returns its view of bodies at that time.
func waitUntilEmpty(t *testing.T, socket string) (view body.View) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if err := admin.Get(t.Context(), socket, "bodies", &view); err != nil {
			t.Fatal(err)
		}
		if view.Memory.Now+view.Disk.Now+view.Files.Now+view.Streams.Now == 0 {
			return view
		}
		if time.Now().After(deadline) {
			t.Fatalf("the store still holds bodies: %+v", view)
		}
	}
}

// Guards against a client that sends a body in vain: when the request states its length, the daemon
// refuses it before it asks for the body with status 100.
func TestExpectContinueIsDecidedBeforeTheBody(t *testing.T) {
	withStreams, withoutStreams := bodyFeatures("", ""), strings.Replace(bodyFeatures("", ""), "streams = 8", "streams = 0", 1)
	for _, c := range []struct {
		features string
		size     int
		want     string
	}{{withStreams, 1000, "100"}, {withStreams, 5 << 20, "100"}, {withStreams, 65 << 20, "413"}, {withoutStreams, 1000, "100"}, {withoutStreams, 5 << 20, "503"}} {
		_, testDaemon := startSite(t, 2, c.features)
		conn, err := net.Dial("tcp", testDaemon.Addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(conn, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: e%d\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", c.size, c.size)
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "HTTP/1.1 "+c.want) {
			t.Errorf("body of %d bytes: first line %q, %v, want status %s", c.size, line, err, c.want)
		}
		conn.Close()
	}
}

// Guards against incomplete bodies that are taken as whole, and against their memory being kept. A
// client closes its connection within a body, ends it within a chunk, or sends a malformed chunk:
// no request reaches a server whole, and the daemon holds nothing afterwards.
func TestIncompleteAndMalformedBodiesReachNoServer(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, testDaemon := startSite(t, 2, bodyFeatures(t.TempDir(), socket))
	requests := 0
	for _, size := range []int{1 << 10, 200 << 10, 1 << 20, 5 << 20} {
		for _, sentBytes := range []int{0, 1, 4096, size / 2, size - 1} {
			if sentBytes >= size {
				continue // a complete body may reach a server
			}
			requests++
			c, err := net.Dial("tcp", testDaemon.Addr)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(c, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: l%d\r\nContent-Length: %d\r\n\r\n", requests, size)
			c.Write(randomBytes(1, sentBytes))
			c.Close()
		}
		for _, ending := range []string{"zz\r\n", "5\r\nabc", "-1\r\n\r\n"} {
			requests++
			c, err := net.Dial("tcp", testDaemon.Addr)
			if err != nil {
				t.Fatal(err)
			}
			c.SetDeadline(time.Now().Add(testTimeout))
			fmt.Fprintf(c, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: l%d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", requests, size, randomBytes(1, size), ending)
			if ending == "5\r\nabc" {
				c.(*net.TCPConn).CloseWrite()
			} else if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 400") {
				t.Errorf("%d bytes, then %q: first line %q, %v, want status 400", size, ending, line, err)
			}
			c.Close()
		}
	}
	waitUntilEmpty(t, socket)
	for id, c := range site.Ledger.RequestCounts() {
		t.Errorf("request %s arrived at a server: %+v", id, c)
	}
}

// Guards against a class that takes all space for bodies: 60 clients of one class send the largest
// bodies and never finish them, and every activate request meanwhile is answered, also those whose
// bodies are kept in files.
func TestFloodOfOneClassLeavesOthersTheirShare(t *testing.T) {
	site, testDaemon := startSite(t, 2, bodyFeatures(t.TempDir(), ""))
	var floodConns []net.Conn
	for n := range 60 {
		c, err := net.Dial("tcp", testDaemon.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		floodConns = append(floodConns, c)
		fmt.Fprintf(c, "POST /id-register HTTP/1.1\r\nHost: app\r\nReq-Id: f%d\r\nIdempotency-Key: f%d\r\nContent-Length: %d\r\n\r\n", n, n, 2<<20)
	}
	var wg sync.WaitGroup
	for _, c := range floodConns {
		wg.Go(func() {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			c.Write(randomBytes(1, 2<<20-1))
		})
	}
	for n := range 30 {
		size := []int{300, 100 << 10, 1 << 20}[n%3]
		id := fmt.Sprintf("a%d", n)
		if status, _, err := postBody(testDaemon.Addr, "activate", id, bytes.NewReader(randomBytes(2, size)), int64(size)); status != 200 {
			t.Errorf("activate request of %d bytes during the flood: status %d, %v", size, status, err)
		}
	}
	wg.Wait()
	for n := range 30 {
		if c := site.Ledger.RequestCount(fmt.Sprintf("a%d", n)); c.Attempts != 1 {
			t.Errorf("activate request %d: %+v, want one attempt", n, c)
		}
	}
}

// runCommand runs a program and returns its standard output and standard error together.
func runCommand(name string, args ...string) ([]byte, error) {
	return exec.Command(name, args...).CombinedOutput()
}

// Guards against slow clients that occupy the store. 200 clients, or FAWN_SLOW, send one byte of
// their bodies every 200 ms: they occupy no more than the limits and are refused or timed out like
// any request, and other calls are served meanwhile.
func TestSlowSendersAreTimedOut(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	_, testDaemon := startSite(t, 2, bodyFeatures(t.TempDir(), socket))
	var wg sync.WaitGroup
	startTime := time.Now()
	clients := 200
	if n, err := strconv.Atoi(os.Getenv("FAWN_SLOW")); err == nil {
		clients = n
	}
	for n := range clients {
		wg.Go(func() {
			c, err := net.Dial("tcp", testDaemon.Addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
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
				t.Errorf("a slow client is answered %q, want status 408 or 503", line)
			}
		})
	}
	for n := range 20 {
		if status, _, err := postBody(testDaemon.Addr, "activate", fmt.Sprint("o", n), strings.NewReader("x"), 1); status != 200 {
			t.Errorf("call beside slow clients: status %d, %v", status, err)
		}
	}
	wg.Wait()
	if took := time.Since(startTime); took > testTimeout/2 {
		t.Errorf("slow clients stayed connected for %v", took)
	}
	var view body.View
	if err := admin.Get(context.Background(), socket, "bodies", &view); err != nil {
		t.Fatal(err)
	}
	if view.Memory.Max > view.Memory.Limit || view.Disk.Max > view.Disk.Limit || view.Files.Max > view.Files.Limit || view.Streams.Max > view.Streams.Limit {
		t.Errorf("a limit was exceeded: %+v", view)
	}
}

// Guards against a reset that destroys an early answer: when the daemon answers before the end of a
// body, it must not close the connection with unread bytes, because the reset that follows can
// discard the answer at the client.
func TestEarlyAnswerIsNotLostToAReset(t *testing.T) {
	site, testDaemon := startSite(t, 2, bodyFeatures("", ""))
	setScript(site, standin.Always(standin.Action{BeforeBody: true}))
	conn, err := net.Dial("tcp", testDaemon.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "POST /activate HTTP/1.1\r\nHost: app\r\nReq-Id: e1\r\nContent-Length: %d\r\n\r\n", unkeptBytes)
	// The part of the body fits into the socket buffers, and nothing is written during the read:
	// a write would receive the connection's error instead of the read.
	if _, err := conn.Write(randomBytes(1, 512<<10)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) || !bytes.Contains(answer, []byte("Connection: close")) {
		t.Errorf("answer %q, %v, want status 200 and Connection: close", answer, err)
	}
}

// Guards against requests and files that are left behind at SIGTERM: a request whose body is in a
// file and waits for its server, and one whose body is not kept and still being sent, are both
// answered, and the instance deletes its folder.
func TestStopAnswersRequestsWithBodiesInUse(t *testing.T) {
	folder := t.TempDir()
	site, testDaemon := startSite(t, 2, bodyFeatures(folder, ""))
	arrivals := make(chan struct{}, 2)
	setScript(site, func(r standin.Request) standin.Action {
		arrivals <- struct{}{}
		return standin.Action{Delay: 300 * time.Millisecond}
	})
	var wg sync.WaitGroup
	send := func(id string, size int, body io.Reader) {
		wg.Go(func() {
			if status, _, err := postBody(testDaemon.Addr, "activate", id, body, int64(size)); status != 200 || err != nil {
				t.Errorf("request %s: status %d, %v", id, status, err)
			}
		})
	}
	content := randomBytes(1, unkeptBytes)
	send("file", 1<<20, bytes.NewReader(content[:1<<20]))
	r, w := io.Pipe()
	send("stream", unkeptBytes, r)
	if _, err := w.Write(content[:unkeptBytes/2]); err != nil {
		t.Fatal(err)
	}
	<-arrivals
	<-arrivals // both requests are at their servers, the second without the end of its body
	stopped := make(chan error, 1)
	go func() { stopped <- testDaemon.Stop() }()
	w.Write(content[unkeptBytes/2:])
	w.Close()
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	for id, size := range map[string]int{"file": 1 << 20, "stream": unkeptBytes} {
		found := false
		for _, a := range site.Ledger.Arrivals() {
			found = found || a.ID == id && a.BodyHash == sha256.Sum256(content[:size])
		}
		if !found {
			t.Errorf("the body of %s did not arrive whole", id)
		}
	}
	if left, err := os.ReadDir(folder); err != nil || len(left) != 1 || left[0].Name() != "lock" {
		t.Errorf("left in the folder: %v, %v, want the lock file only", left, err)
	}
}
