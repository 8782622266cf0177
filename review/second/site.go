// Command second plays the cases of the second review, one for each number. It starts the sidecar as
// deploy/balancer.toml says and has the stand-ins for clients, servers, discovery and the platform.
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is one run of a case: its folder, its record and what it has started.
type site struct {
	root, dir, tmp string
	trouble        bool
	cores          float64 // of a sidecar; 0: 1
	sockets        int     // of a sidecar; 0: 1024
	began          time.Time

	mu       sync.Mutex
	record   *os.File
	closers  []func()
	findings []string
}

// unable ends the run with status 2.
type unable struct{ err error }

func (s *site) must(err error, what string) {
	if err != nil {
		panic(unable{fmt.Errorf("%s: %w", what, err)})
	}
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.4f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

// broken notes that the rule was broken.
func (s *site) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.note("BROKEN %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, text)
}

func (s *site) onClose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// freeAddr returns a loopback address with a free port.
func (s *site) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "free port")
	defer ln.Close()
	return ln.Addr().String()
}

// class is a class of requests in the settings.
type class struct {
	name, effect                 string // effect as in the settings: repeatable, by_key, once
	promiseMs, limitMs, windowMs int
	worth                        float64
}

// classes are those of the site java-activation.
func classes() []class {
	return []class{
		{"status-check", "repeatable", 800, 3000, 5000, 1},
		{"id-register", "by_key", 1000, 2500, 1500, 3},
		{"activate", "once", 750, 2500, 5000, 10},
	}
}

const drainGrace = 2 * time.Second

// configure writes a configuration file and returns its path.
func (s *site) configure(name, listen, discovery string, list []class, servers []*server) string {
	var cs []map[string]any
	for _, c := range list {
		cs = append(cs, map[string]any{"name": c.name, "effect": c.effect, "dedupScope": "all", "promiseUs": c.promiseMs * 1000, "hardLimitUs": c.limitMs * 1000,
			"repeatWindowUs": c.windowMs * 1000, "worth": c.worth, "lateValue": 0.0, "stream": false})
	}
	settings := map[string]any{
		"caps": map[string]any{"attemptsCap": 5, "connIdleUs": 30000000, "dialTimeoutUs": 250000, "maxRetryAfterUs": 2000000, "mayCancel": true, "mostHeld": 35726,
			"multiplex": 1, "peers": true, "probes": true, "retryAfter": true, "secondCopies": true, "cpuUsPerRequest": 10.0, "cpuUsPerS": 14290},
		"classes": cs, "costs": map[string]any{"crossZone": 0.03, "lateFail": 0.08, "peer": 0.01, "probe": 0.01, "waste": 0.2},
		"failureDomains": []string{"jakarta", "bandung", "semarang"}, "family": "mesh",
		"feedback":   map[string]any{"fields": []string{}, "how": "none"},
		"guarantees": map[string]any{"answerSlackUs": 20000, "askWithinUs": 10000000, "coldFrom": 0.14, "coldUs": 23000000, "drainGraceUs": drainGrace.Microseconds(), "overloadFactor": 4.0, "overloadForUs": 2000000},
		"kinds":      []string{"standard", "half-speed"}, "overShareWorth": 0.1, "periodUs": 5000, "rank": 0, "registryMode": "automatic", "replicasOfMe": 3,
		"tenants": []any{}, "tier": 0, "tiers": []string{"activation-servers"}, "weights": "rough", "worthBy": "request", "zone": "bandung",
	}
	c := map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": max(s.cores, 1), "memory_mb": 192, "sockets": cmp.Or(s.sockets, 1024)}, "known": listOf(1, servers), "settings": settings}
	data, err := json.MarshalIndent(c, "", " ")
	s.must(err, "configuration")
	path := filepath.Join(s.tmp, name)
	s.must(os.WriteFile(path+".new", data, 0o600), "configuration")
	s.must(os.Rename(path+".new", path), "configuration")
	return path
}

// features writes the operators' file and returns its path.
func (s *site) features(text string) string {
	path := filepath.Join(s.tmp, "features.toml")
	s.must(os.WriteFile(path, []byte(text), 0o600), "features")
	return path
}

// process is a started program of the project.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the sidecar with the command of the deploy file. files become the descriptors 3, 4, 5...
func (s *site) start(name string, files []*os.File, env ...string) *process {
	deploy, err := os.ReadFile(filepath.Join(s.root, "deploy/balancer.toml"))
	s.must(err, "deploy file")
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		s.must(errors.New("no run"), "deploy file")
	}
	log, err := os.Create(filepath.Join(s.tmp, name+".log"))
	s.must(err, "log")
	p := &process{cmd: exec.Command("/bin/sh", "-c", string(line[1])), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr, p.cmd.ExtraFiles = s.root, log, log, files
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + s.folder("tmpdir")}, env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.must(p.cmd.Start(), "sidecar")
	s.note("start %s pid %d", name, p.cmd.Process.Pid)
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		text, _ := os.ReadFile(log.Name())
		s.note("end of %s: %v; the end of its log:\n%s", name, p.err, tail(text, 40))
		close(p.done)
	}()
	s.onClose(func() {
		p.cmd.Process.Kill()
		<-p.done
	})
	return p
}

func tail(text []byte, lines int) string {
	all := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return "    " + strings.Join(all[max(0, len(all)-lines):], "\n    ")
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// folder makes a folder in the temporary one.
func (s *site) folder(name string) string {
	path := filepath.Join(s.tmp, name)
	s.must(os.MkdirAll(path, 0o700), "folder")
	return path
}

// awaitReady waits until the sidecar answers GET /_health with 200.
func (s *site) awaitReady(addr string) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if a := (&client{s, addr}).do(request{method: "GET", path: "/_health", quiet: true}); a.status == 200 {
			s.note("ready")
			return
		}
	}
	s.must(errors.New("not ready within 30 s"), "sidecar")
}

// server is a stand-in for a server. It runs a request when its last byte has come.
type server struct {
	s          *site
	name, addr string
	// act says what becomes of a request that has come: how long it works and how it ends.
	act func(id, class string) (work time.Duration, end ending)

	mu   sync.Mutex
	runs map[string]int // by id
	// firstBytes has the time of the first byte of each request.
	firstBytes []arrival
}

type arrival struct {
	at time.Time
	id string
}

type ending int

const (
	answers ending = iota
	resets         // the connection is reset after the request has run
)

func (s *site) server(name string, act func(id, class string) (time.Duration, ending)) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "server")
	v := &server{s: s, name: name, addr: ln.Addr().String(), act: act, runs: make(map[string]int)}
	h := &http.Server{Handler: v}
	go h.Serve(ln)
	s.onClose(func() { h.Close() })
	s.note("server %s at %s", name, v.addr)
	return v
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	if r.URL.Path == "/ping" {
		w.WriteHeader(200)
		return
	}
	id := r.Header.Get("Req-Id")
	if id == "" {
		w.WriteHeader(404)
		return
	}
	v.mu.Lock()
	v.firstBytes = append(v.firstBytes, arrival{came, id})
	v.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		v.s.note("%s: body of %s broke off: %v", v.name, id, err)
		return
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	v.mu.Lock()
	v.runs[id]++
	n := v.runs[id]
	v.mu.Unlock()
	v.s.note("%s runs %s (%s) deadline %s, here the %d. time", v.name, id, kind, r.Header.Get("Req-Deadline-Ms"), n)
	work, end := 5*time.Millisecond, answers
	if v.act != nil {
		work, end = v.act(id, kind)
	}
	time.Sleep(work)
	if end == resets {
		if h, ok := w.(http.Hijacker); ok {
			if c, _, err := h.Hijack(); err == nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				v.s.note("%s resets the connection of %s", v.name, id)
				return
			}
		}
	}
	fmt.Fprintf(w, "%s ran %s", v.name, id)
}

// timesRun returns how often an id has run at the servers.
func timesRun(servers []*server, id string) (n int) {
	for _, v := range servers {
		v.mu.Lock()
		n += v.runs[id]
		v.mu.Unlock()
	}
	return n
}

func listOf(version int, servers []*server) map[string]any {
	all := []map[string]any{}
	for _, v := range servers {
		all = append(all, map[string]any{"name": v.name, "address": v.addr, "zone": "bandung", "type": "standard", "group": 0, "status": "up", "weight": 1.0, "since_ms": 0})
	}
	return map[string]any{"index": version, "snapshot": true, "endpoints": all}
}

// discovery is a stand-in for discovery, whose list doesn't change. It returns its address.
func (s *site) discovery(servers []*server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "discovery")
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := json.Marshal(listOf(1, servers))
		w.Write(append(text, '\n'))
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				if _, err := io.WriteString(w, "\n"); err != nil {
					return
				}
			}
		}
	})}
	go h.Serve(ln)
	s.onClose(func() { h.Close() })
	return ln.Addr().String()
}

// client sends each request on a connection of its own.
type client struct {
	s    *site
	addr string
}

type request struct {
	method, path, id, kind, key string
	body, cookie                string
	deadline                    time.Duration
	slack                       time.Duration // how long the client waits beyond it; 0: a second
	who                         string
	quiet                       bool
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a request and reads its answer.
func (c *client) do(q request) (a answer) {
	wait := q.deadline
	if wait == 0 {
		wait = 2500 * time.Millisecond
	}
	if !q.quiet {
		c.s.note("%s sends %s %s id %s", q.who, q.method, q.path, q.id)
		defer func() { c.s.note("%s gets %d %q for id %s, err %v", q.who, a.status, a.body, q.id, a.err) }()
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.svc\r\n", q.method, q.path)
	if q.id != "" {
		fmt.Fprintf(&b, "Req-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n", q.id, q.kind, wait.Milliseconds())
	}
	if q.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.key)
	}
	if q.cookie != "" {
		fmt.Fprintf(&b, "Cookie: %s\r\n", q.cookie)
	}
	if q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	conn.SetDeadline(time.Now().Add(wait + cmp.Or(q.slack, time.Second)))
	if _, err := conn.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(text), err}
}

// call sends a line to a management address and returns the answer.
func (s *site) call(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection: " + err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	text, err := io.ReadAll(conn)
	if err != nil && len(text) == 0 {
		return "no answer: " + err.Error()
	}
	return strings.TrimSpace(string(text))
}
