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

// binary is the path of the built command.
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

// writeConfig writes a configuration to a file and returns its path.
func writeConfig(t *testing.T, config string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A configuration that is not valid must end the process with exit status 1 and one line that names
// the field, so that an operator finds the mistake.
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
			t.Errorf("%s: exit code %d, stderr %q; want 1 and one line that names the field", c.new, code, stderr.String())
		}
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{}
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "BALANCER_CONFIG") {
		t.Errorf("without configuration: output %q, want exit code 1 and BALANCER_CONFIG named", out)
	}
}

// In a planned restart no call may be lost: calls accepted before SIGTERM and calls that still
// arrive after it must be answered, and then the process must exit with status 0.
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
			t.Fatal("/_health did not report ready in time: ", err)
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
			t.Errorf("got answer %v, error %v, want status 200", resp, err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v, want status 0", err)
	}
}

// newDiscovery starts a discovery and a server that answers all calls with the same body. The
// discovery reports that server as up, before and after it the given numbers of changes of another
// endpoint, which is draining. It returns the discovery's address.
func newDiscovery(t *testing.T, body string, before, after int) (addr string) {
	t.Helper()
	server, err := standin.NewServer(standin.ServerConfig{Name: "s", Script: standin.Always(standin.Action{Body: body})})
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

// logBuffer collects the output of a process and is safe for concurrent use.
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

// SIGHUP reloads the configuration: the new address of discovery is used, even if the environment
// still has the old one. A configuration that is not valid is logged with its field and changes
// nothing. Neither ends the process.
func TestSIGHUPReloadsConfig(t *testing.T) {
	// The second discovery has a lower index at its server's change than the first has reached. A
	// sidecar that asked it for changes since the first one's index would not learn of that server.
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
				t.Fatalf("%s; log of the sidecar:\n%s", failure, log.content.String())
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
	waitFor("the first server's answer was not received", func() bool { return answer() == "old" })

	replace(`"attemptsCap":3`, `"attemptsCap":0`)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("the log does not name the bad field MaxAttempts", func() bool { return log.contains("MaxAttempts") })
	replace(`"discovery":"`+first, `"discovery":"nowhere`)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("the log does not name the bad address of discovery", func() bool { return log.contains("config: discovery") })
	if body := answer(); body != "old" {
		t.Errorf("after bad configurations: got answer %q, want \"old\"", body)
	}

	// The log names a changed field that takes effect only at a start, and warns of a change that
	// weakens the rules in force.
	replace(`"drainGraceUs":2000000`, `"drainGraceUs":3000000`)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("the log does not name the change that needs a restart", func() bool {
		return log.contains("field=settings.guarantees.drainGraceUs old=2000000 new=3000000") && log.contains("weakens what runs")
	})

	replace(first, second)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("the server of the new discovery did not answer", func() bool { return answer() == "new" })
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v, want status 0", err)
	}
}
