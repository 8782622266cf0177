// Package harness starts sidecars by the deploy file and has the platform's side of a case:
// configuration, discovery and the record of what was seen.
package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record writes the lines of record.txt, with the time since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record in the working folder.
func NewRecord() *Record {
	f, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	return &Record{file: f, start: time.Now()}
}

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the disruption is to happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Case ends all that it started before it exits.
type Case struct {
	*Record
	Root, Dir string
	mu        sync.Mutex
	processes []*exec.Cmd
}

// New returns a Case. The repository is two folders above the working folder.
func New() *Case {
	c := &Case{Record: NewRecord()}
	var err error
	if c.Root, err = filepath.Abs("../.."); err == nil {
		c.Dir, err = os.MkdirTemp("", "case")
	}
	if err != nil {
		c.Fatal("%v", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		c.Fatal("stopped from outside")
	}()
	return c
}

// Fatal ends the case as one that could not run.
func (c *Case) Fatal(format string, args ...any) {
	c.Say("cannot run: "+format, args...)
	c.Exit(CannotRun)
}

// Exit ends all processes and exits.
func (c *Case) Exit(status int) {
	c.mu.Lock()
	for _, p := range c.processes {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
		p.Wait()
	}
	c.mu.Unlock()
	os.RemoveAll(c.Dir)
	c.Line("exit %d", status)
	os.Exit(status)
}

// FreeAddr returns a loopback address that was free.
func (c *Case) FreeAddr(network string) string {
	if network == "udp" {
		p, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			c.Fatal("%v", err)
		}
		defer p.Close()
		return p.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Class is a class of the settings.
type Class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	Scope    string  `json:"dedupScope"`
	Aim      int64   `json:"promiseUs"`
	Deadline int64   `json:"hardLimitUs"`
	Window   int64   `json:"repeatWindowUs"`
	Worth    float64 `json:"worth"`
	Late     float64 `json:"lateValue"`
}

// Classes returns the three classes of a small SIM activation site.
func Classes() []Class {
	return []Class{
		{"status-check", "repeatable", "all", 800e3, 3000e3, 5000e3, 1, 0},
		{"id-register", "by_key", "all", 1000e3, 2500e3, 1500e3, 3, 0},
		{"activate", "once", "all", 750e3, 2500e3, 5000e3, 10, 0},
	}
}

// Settings returns the settings of a site with that many sidecars.
func Settings(sidecars int) map[string]any {
	return map[string]any{
		"replicasOfMe": sidecars, "zone": "bandung", "registryMode": "automatic", "overShareWorth": 0.1,
		"caps": map[string]any{"attemptsCap": 5, "mayCancel": true, "secondCopies": true, "probes": true, "peers": true, "retryAfter": true,
			"maxRetryAfterUs": 2000000, "connIdleUs": 30000000, "dialTimeoutUs": 250000, "mostHeld": 35000},
		"classes": Classes(), "tenants": []any{},
		"costs":      map[string]any{"connection": 0, "crossZone": 0.03, "probe": 0.01, "waste": 0.2},
		"feedback":   map[string]any{"how": "none", "fields": []string{}},
		"familyInfo": map[string]any{"warmKeys": false},
		"guarantees": map[string]any{"askWithinUs": 10000000, "coldFrom": 0.14, "coldUs": 23000000, "drainGraceUs": 2000000, "overloadFactor": 4, "overloadForUs": 2000000},
	}
}

// Sidecar is a running sidecar.
type Sidecar struct {
	Name, Listen string
	Cmd          *exec.Cmd
	Done         chan struct{}

	configPath string
	config     map[string]any
}

// Reconfigure replaces the settings in the sidecar's configuration file and sends SIGHUP.
func (c *Case) Reconfigure(s *Sidecar, settings map[string]any) {
	s.config["settings"] = settings
	data, err := json.Marshal(s.config)
	if err == nil {
		err = os.WriteFile(s.configPath+".new", data, 0o600)
	}
	if err == nil {
		err = os.Rename(s.configPath+".new", s.configPath)
	}
	if err == nil {
		err = s.Cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		c.Fatal("%v", err)
	}
	c.Line("%s: new configuration and SIGHUP", s.Name)
}

// SidecarConfig says how a sidecar is started.
type SidecarConfig struct {
	Name, Listen, Discovery string
	Settings                map[string]any
	Features                string // text of the operators' file
	Management              string
	FD                      *os.File // the clients' listening socket, as descriptor 5
	Tmp                     string
	Env                     []string
	MemoryMB, Sockets       int
}

// Start starts a sidecar by the run command of the deploy file, and does not wait until it is ready.
func (c *Case) Start(s SidecarConfig) *Sidecar {
	deploy, err := os.ReadFile(filepath.Join(c.Root, "deploy/balancer.toml"))
	if err != nil {
		c.Fatal("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if m == nil {
		c.Fatal("the deploy file has no run")
	}
	dir, err := os.MkdirTemp(c.Dir, s.Name)
	if err != nil {
		c.Fatal("%v", err)
	}
	if s.Listen == "" {
		s.Listen = c.FreeAddr("tcp")
	}
	if s.Tmp == "" {
		s.Tmp = filepath.Join(dir, "tmp")
		os.Mkdir(s.Tmp, 0o700)
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 192
	}
	if s.Sockets == 0 {
		s.Sockets = 1024
	}
	config := map[string]any{"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets}, "settings": s.Settings}
	if s.Management != "" {
		config["management"] = s.Management
	}
	data, err := json.Marshal(config)
	if err != nil {
		c.Fatal("%v", err)
	}
	path, features := filepath.Join(dir, "config.json"), filepath.Join(dir, "features.toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.Fatal("%v", err)
	}
	if err := os.WriteFile(features, []byte(s.Features), 0o600); err != nil {
		c.Fatal("%v", err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		c.Fatal("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", string(m[1]))
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.Root, log, log
	cmd.Env = append(os.Environ(), "BALANCER_NAME="+s.Name, "BALANCER_LISTEN="+s.Listen, "BALANCER_DISCOVERY="+s.Discovery, "BALANCER_CONFIG="+path, "FAWN_FEATURES="+features, "TMPDIR="+s.Tmp)
	if s.Management != "" {
		cmd.Env = append(cmd.Env, "BALANCER_MANAGEMENT="+s.Management)
	}
	if s.FD != nil {
		null, _ := os.Open(os.DevNull)
		cmd.ExtraFiles = []*os.File{null, null, s.FD} // descriptors 3, 4 and 5
		cmd.Env = append(cmd.Env, "BALANCER_FD=5")
	}
	cmd.Env = append(cmd.Env, s.Env...)
	if err := cmd.Start(); err != nil {
		c.Fatal("%v", err)
	}
	c.mu.Lock()
	c.processes = append(c.processes, cmd)
	c.mu.Unlock()
	p := &Sidecar{Name: s.Name, Listen: s.Listen, Cmd: cmd, Done: make(chan struct{}), configPath: path, config: config}
	go func() {
		err := cmd.Wait()
		text, _ := os.ReadFile(log.Name())
		if len(text) > 2000 {
			text = text[len(text)-2000:]
		}
		c.Line("%s ended: %v; the end of its log: %s", s.Name, err, text)
		close(p.Done)
	}()
	c.Line("%s started, listens on %s", s.Name, s.Listen)
	return p
}

// Log returns the end of a sidecar's log so far.
func (c *Case) Log(s *Sidecar) string {
	names, _ := filepath.Glob(filepath.Join(c.Dir, s.Name+"*", "log"))
	for _, n := range names {
		if text, err := os.ReadFile(n); err == nil {
			return string(text)
		}
	}
	return ""
}

// WaitReady waits until the sidecar's health is 200.
func (c *Case) WaitReady(s *Sidecar) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + s.Listen + "/_health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	c.Fatal("%s is not ready; its log: %s", s.Name, c.Log(s))
}

// Endpoint is an entry of the list of servers.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Discovery serves one list that does not change: each call and watch gets the whole list, and a
// watch an empty line every 2 s.
func (c *Case) Discovery(endpoints []Endpoint) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	text, _ := json.Marshal(map[string]any{"index": 41, "snapshot": true, "endpoints": endpoints})
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/catalog/members" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
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
				w.Write([]byte("\n"))
			}
		}
	}))
	return ln.Addr().String()
}
