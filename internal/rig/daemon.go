package rig

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chalkrack/internal/config"
	"chalkrack/internal/daemon"
	"chalkrack/internal/durable"
	"chalkrack/internal/spool"
)

// Daemon is a daemon in front of a site, either in this process or in one of its own.
type Daemon struct {
	Addr           string
	ManagementAddr string // set only in this process and with a management listener
	configPath     string // of the platform's configuration file
	dir            string

	// For a daemon in this process:
	sigterm chan os.Signal
	sighup  chan os.Signal
	result  chan error

	// For a daemon in its own process:
	binary    string
	cmd       *exec.Cmd
	cpuTime   time.Duration
	stderrLog lockedBuffer
}

// lockedBuffer is a log buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// maxLogBytes limits how much of a daemon's log is kept; the rest is dropped.
const maxLogBytes = 1 << 20

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buffer.Len() < maxLogBytes {
		l.buffer.Write(p)
	}
	return len(p), nil
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// writeConfigFiles writes the configuration and features files of a new daemon to a temporary
// folder, without starting it.
func (s *Site) writeConfigFiles(listen string, seed uint64, features string) (*Daemon, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	d := &Daemon{dir: dir, configPath: filepath.Join(dir, "config.json")}
	if err := os.WriteFile(d.configPath, s.PlatformConfig(listen, seed), 0o600); err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.featuresPath(), []byte(features), 0o600)
}

func (d *Daemon) featuresPath() string { return filepath.Join(d.dir, "features.toml") }

// StartDaemon runs a daemon within this process, on a port that the system picks, and waits until
// it is ready. features is the text of its features file.
func (s *Site) StartDaemon(seed uint64, features string) (*Daemon, error) {
	return s.StartDaemonWithDisk(nil, seed, features)
}

// StartDaemonWithDisk is StartDaemon with a file system for kept bodies; nil is the system's.
func (s *Site) StartDaemonWithDisk(disk spool.FS, seed uint64, features string) (*Daemon, error) {
	return s.startInProcess(disk, seed, features, nil)
}

// StartDaemonOnSocket runs a daemon within this process that accepts clients from a listening
// socket. Other daemons of the same sidecar may share the socket and the folder for temporary
// files. features is the text of its features file.
func (s *Site) StartDaemonOnSocket(seed uint64, socket *net.TCPListener, sharedDir, features string) (*Daemon, error) {
	file, err := socket.File() // a duplicate is passed on: the daemon closes its descriptor
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Dup(int(file.Fd()))
	file.Close()
	if err != nil {
		return nil, err
	}
	return s.startInProcess(nil, seed, features, map[string]string{"BALANCER_FD": strconv.Itoa(fd), "TMPDIR": sharedDir})
}

// startInProcess is StartDaemonWithDisk with environment variables that override the daemon's own.
func (s *Site) startInProcess(disk spool.FS, seed uint64, features string, overrides map[string]string) (*Daemon, error) {
	d, err := s.writeConfigFiles("127.0.0.1:0", seed, features)
	if err != nil {
		return nil, err
	}
	d.sigterm, d.result = make(chan os.Signal, 1), make(chan error, 1)
	environment := map[string]string{"BALANCER_CONFIG": d.configPath, "FAWN_FEATURES": d.featuresPath()}
	maps.Copy(environment, overrides)
	cfg, err := config.Load(func(name string) string { return environment[name] })
	if err != nil {
		os.RemoveAll(d.dir)
		return nil, err
	}
	cfg.BodyFS = disk
	cfg.OnManagementListen = func(a net.Addr) { d.ManagementAddr = a.String() } // called before the daemon is ready
	if cfg, err = config.RestoreHistory(cfg); err != nil {
		os.RemoveAll(d.dir)
		return nil, err
	}
	d.sighup = make(chan os.Signal, 1)
	ready := make(chan string, 1)
	go func() { d.result <- daemon.Run(cfg, d.sigterm, d.sighup, func(a net.Addr) { ready <- a.String() }) }()
	select {
	case d.Addr = <-ready:
		return d, nil
	case err := <-d.result:
		os.RemoveAll(d.dir)
		return nil, fmt.Errorf("rig: the daemon ended before it was ready: %w", err)
	}
}

// StartProcess runs a daemon's binary on a free loopback address and waits until it serves. The
// address is on a host other than 127.0.0.1, so that no outgoing connection from there can take
// its port while the daemon restarts.
func (s *Site) StartProcess(binary string, seed uint64, features string) (*Daemon, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	d, err := s.writeConfigFiles(addr, seed, features)
	if err != nil {
		return nil, err
	}
	d.Addr, d.binary = addr, binary
	return d, d.Start()
}

// addressesChosen counts the addresses that freeAddress has chosen.
var addressesChosen atomic.Uint32

// freeAddress returns a loopback address for a process to listen on. Each call uses another host,
// so that a port which is released for one process is not taken by another that starts at the same
// time. The fork lock is held while the port is open: a forked child keeps a copy of the listener
// until it calls exec, and the port would be in use until then.
func freeAddress() (string, error) {
	number := addressesChosen.Add(1)
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 130+number/250%100, os.Getpid()&0xff, 1+number%250))
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

var buildDir string // folder of the daemon's binary; empty: none was built

// buildOnce builds the daemon once in a process and returns the path of its binary.
var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "daemon")
	if err != nil {
		return "", err
	}
	buildDir = dir
	path := filepath.Join(dir, "daemon")
	if out, err := exec.Command("go", "build", "-o", path, "chalkrack/cmd/fawnrock").CombinedOutput(); err != nil {
		return "", fmt.Errorf("rig: %w: %s", err, out)
	}
	return path, nil
})

// BuildDaemon builds the daemon, once in a process, and returns the path of its binary. The working
// directory has to be within the module.
func BuildDaemon() (string, error) { return buildOnce() }

// RemoveBuiltDaemon deletes the binary, if one was built. No daemon may be started from it
// afterwards.
func RemoveBuiltDaemon() {
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
}

// readyTimeout limits how long a daemon's process may take until it serves.
const readyTimeout = 20 * time.Second

// Start starts the daemon's process, also again after Kill or Stop, on the same address and waits
// until it serves. It returns an error with the daemon's log after readyTimeout.
func (d *Daemon) Start() error {
	d.cmd = exec.Command(d.binary)
	d.cmd.Env = []string{"BALANCER_CONFIG=" + d.configPath, "FAWN_FEATURES=" + d.featuresPath()}
	d.cmd.Stderr = &d.stderrLog
	if err := d.cmd.Start(); err != nil {
		return err
	}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", d.Addr); err == nil {
			c.Close()
			return nil
		}
		if time.Now().After(deadline) {
			d.Kill()
			return fmt.Errorf("rig: the daemon does not accept connections; its log:\n%s", d.stderrLog.String())
		}
	}
}

// Reload replaces the daemon's configuration and features files and sends SIGHUP.
func (d *Daemon) Reload(platformConfig []byte, features string) error {
	for path, data := range map[string][]byte{d.configPath: platformConfig, d.featuresPath(): []byte(features)} {
		if err := durable.Replace(path, data); err != nil {
			return err
		}
	}
	if d.binary != "" {
		return d.cmd.Process.Signal(syscall.SIGHUP)
	}
	select {
	case d.sighup <- syscall.SIGHUP:
	default: // a SIGHUP is already pending, and signals do not queue
	}
	return nil
}

// operateTimeout limits how long an operators' call may take.
const operateTimeout = 20 * time.Second

// Operate sends an operators' call, a line, to a daemon in this process and returns the answer.
func (d *Daemon) Operate(line string) (answer string, err error) {
	conn, err := net.Dial("tcp", d.ManagementAddr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(operateTimeout))
	fmt.Fprintln(conn, line)
	text, err := io.ReadAll(conn)
	return strings.TrimSpace(string(text)), err
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(s os.Signal) error { return d.cmd.Process.Signal(s) }

// Kill ends the process with SIGKILL and waits for it. It does nothing without a process.
func (d *Daemon) Kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		d.cmd.Process.Kill()
		d.cmd.Wait()
		d.cmd = nil
	}
}

// Stop ends the daemon with SIGTERM, as a planned restart does, and waits for it.
func (d *Daemon) Stop() error {
	if d.binary == "" {
		if d.sigterm == nil { // it was stopped before
			return nil
		}
		d.sigterm <- syscall.SIGTERM
		err := <-d.result
		d.sigterm = nil
		os.RemoveAll(d.dir)
		return err
	}
	if d.cmd == nil {
		return nil
	}
	d.cmd.Process.Signal(syscall.SIGTERM)
	err := d.cmd.Wait()
	d.cpuTime = d.cmd.ProcessState.UserTime() + d.cmd.ProcessState.SystemTime()
	d.cmd = nil
	return err
}

// Close kills the process, if one runs, and deletes the daemon's files.
func (d *Daemon) Close() {
	d.Kill()
	os.RemoveAll(d.dir)
}

// Pid returns the process id of a daemon that runs as a process, 0 before its first start.
func (d *Daemon) Pid() int {
	if d.cmd == nil || d.cmd.Process == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// PeakResidentBytes returns the peak resident memory of the daemon's process in bytes, 0 where it
// cannot be read.
func (d *Daemon) PeakResidentBytes() int64 {
	if d.cmd == nil || d.cmd.Process == nil {
		return 0
	}
	return PeakResidentBytes(d.cmd.Process.Pid)
}

// PeakResidentBytes returns the peak resident memory of a process in bytes, 0 where it cannot be
// read.
func PeakResidentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kibibytes := int64(0)
	fmt.Sscanf(strings.TrimSpace(rest), "%d", &kibibytes)
	return kibibytes << 10
}

// CPUTime returns the user and system time of the process that Stop ended last, 0 before.
func (d *Daemon) CPUTime() time.Duration { return d.cpuTime }

// Log returns the first maxLogBytes of what the process has written to standard error.
func (d *Daemon) Log() string { return d.stderrLog.String() }

// StartError starts a daemon with additional environment variables and returns the error with which
// it ends before it is ready. It returns nil if the daemon serves, and stops it.
func (s *Site) StartError(overrides map[string]string) error {
	d, err := s.startInProcess(nil, 1, "", overrides)
	if err == nil {
		d.Stop()
	}
	return err
}
