package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/standin"
)

const testTimeout = 30 * time.Second

// binary is the sidecar's binary.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fawnrock")
	if err == nil {
		binary = filepath.Join(dir, "fawnrock")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const validConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:9","zone":"z","status":"up","weight":1}]},
"settings":{"replicasOfMe":1,"zone":"z","caps":{"attemptsCap":3,"connIdleUs":30000000,"dialTimeoutUs":250000},
"guarantees":{"drainGraceUs":2000000},"classes":[{"name":"a","effect":"repeatable","promiseUs":1000000,"hardLimitUs":3000000}]}}`

func writeConfig(t *testing.T, config string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Bad configuration is one line that names the field, and exit status 1.
func TestBadConfigEndsWithError(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, c := range []struct{ old, new, names string }{
		{validConfig, "what", "BALANCER_CONFIG"},
		{`"listen":"127.0.0.1:0"`, `"listen":"nowhere"`, "listen"},
		{`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, taken.Addr()), "listen"},
		{`"discovery":"127.0.0.1:1"`, `"discovery":""`, "discovery"},
		{`"discovery":"127.0.0.1:1"`, `"discovery":"127.0.0.1:http"`, "discovery"},
		{`"discovery":"127.0.0.1:1"`, `"discovery":":1"`, "discovery"},
		{`"memory_mb":192`, `"memory_mb":1e18`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":1e99`, "limits.sockets"},
		{`"effect":"repeatable"`, `"effect":"repeatible"`, "classes[0].effect"},
		{`"hardLimitUs":3000000`, `"hardLimitUs":0`, "classes[0].hardLimitUs"},
		{"8c1f30d27a5be964", "not hex", "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"known":{"index":1,`, `"known":{`, "known"},
		{`"attemptsCap":3`, `"attemptsCap":0`, "MaxAttempts"},
		{`"dialTimeoutUs":250000`, `"dialTimeoutUs":0`, "dialTimeoutUs"},
		{`"connIdleUs":30000000`, `"connIdleUs":-1`, "connIdleUs"},
		{`"promiseUs":1000000`, `"promiseUs":"x"`, "settings"},
	} {
		cmd := exec.Command(binary)
		cmd.Env = []string{"BALANCER_CONFIG=" + writeConfig(t, strings.Replace(validConfig, c.old, c.new, 1))}
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		cmd.Run()
		if code := cmd.ProcessState.ExitCode(); code != 1 || strings.Count(stderr.String(), "\n") != 1 || !strings.Contains(stderr.String(), c.names) {
			t.Errorf("%s: exit %d, %q", c.new, code, stderr.String())
		}
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{}
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "BALANCER_CONFIG") {
		t.Errorf("without configuration: %q", out)
	}
}

// A planned restart: what was taken before SIGTERM, and what still comes after
// it, is answered; then the program exits with 0.
func TestSIGTERMAnswersOpenCalls(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	arrived := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					arrived <- c
				}
			}()
		}
	}()
	freeListener, err := net.Listen("tcp", "127.0.0.1:0") // for an address that is free
	if err != nil {
		t.Fatal(err)
	}
	addr := freeListener.Addr().String()
	freeListener.Close()
	cmd := exec.Command(binary)
	cmd.Env = []string{"BALANCER_LISTEN=" + addr, "BALANCER_CONFIG=" + writeConfig(t, strings.Replace(validConfig, "127.0.0.1:9", server.Addr().String(), 1))}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("never ready", err)
		}
	}
	sent := 0
	send := func() *bufio.Reader {
		t.Helper()
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		sent++
		fmt.Fprintf(c, "GET /a HTTP/1.1\r\nHost: h\r\nReq-Id: %d\r\nReq-Deadline-Ms: 2900\r\n\r\n", sent)
		return bufio.NewReader(c)
	}
	answerBefore := send()
	firstArrival := <-arrived
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	answerAfter := send()
	secondArrival := <-arrived
	for _, c := range []net.Conn{firstArrival, secondArrival} {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}
	for _, br := range []*bufio.Reader{answerBefore, answerAfter} {
		if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("answered %v, %v", resp, err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// newDiscovery is a discovery whose list has one server, which answers all with the same
// body, and that has told of so many changes before it, and since.
func newDiscovery(t *testing.T, body string, before, after int) (addr string) {
	t.Helper()
	server, err := standin.NewServer(standin.ServerConfig{Name: "s", Script: standin.Always(standin.Act{Body: body})})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	other := standin.Endpoint{Name: "other", Address: "127.0.0.1:9", Zone: "z", Status: "draining", Weight: 1}
	d, err := standin.NewDiscovery(other)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	for range before {
		d.Change(other)
	}
	d.Change(standin.Endpoint{Name: "s", Address: server.Addr(), Zone: "z", Status: "up", Weight: 1})
	for range after {
		d.Change(other)
	}
	return d.Addr()
}

// logBuffer collects what a process writes.
type logBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.content.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.content.String(), text)
}

// SIGHUP reads the configuration anew: discovery is asked at its new address, also
// where the environment still names the old. One that is bad is logged with its
// field and changes nothing. Neither ends the process.
func TestSIGHUPReloadsConfig(t *testing.T) {
	// Who asked the second for what is new since the first's index would not hear of its
	// server.
	first, second := newDiscovery(t, "old", 50, 0), newDiscovery(t, "new", 0, 100)
	freeListener, err := net.Listen("tcp", "127.0.0.1:0") // for an address that is free
	if err != nil {
		t.Fatal(err)
	}
	addr := freeListener.Addr().String()
	freeListener.Close()
	config := strings.Replace(validConfig, "127.0.0.1:1\"", first+"\"", 1)
	path := writeConfig(t, config)
	replace := func(old, new string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(strings.Replace(config, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	log := new(logBuffer)
	cmd := exec.Command(binary)
	cmd.Env = []string{"BALANCER_LISTEN=" + addr, "BALANCER_DISCOVERY=" + first, "BALANCER_CONFIG=" + path}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	waitFor := func(failure string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s; its log:\n%s", failure, log.content.String())
			}
		}
	}
	id := 0
	answer := func() string {
		id++
		req, _ := http.NewRequest("GET", "http://"+addr+"/a", nil)
		req.Header.Set("Req-Id", fmt.Sprint(id))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	waitFor("never served", func() bool { return answer() == "old" })

	replace(`"attemptsCap":3`, `"attemptsCap":0`)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("a bad configuration is not named", func() bool { return log.contains("MaxAttempts") })
	replace(`"discovery":"`+first, `"discovery":"nowhere`)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("a bad address is not named", func() bool { return log.contains("config: discovery") })
	if body := answer(); body != "old" {
		t.Errorf("after bad configurations: answered %q", body)
	}

	// What takes a start is named, and so is what weakens the rules that are in force.
	replace(`"drainGraceUs":2000000`, `"drainGraceUs":3000000`)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("what waits for a start is not named", func() bool {
		return log.contains("field=settings.guarantees.drainGraceUs old=2000000 new=3000000") && log.contains("weakens what runs")
	})

	replace(first, second)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("the new discovery is not followed", func() bool { return answer() == "new" })
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
