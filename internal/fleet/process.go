package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkrack/internal/rig"
)

const (
	// readyTimeout is how long a sidecar process may take until it serves.
	readyTimeout = 20 * time.Second
	// exitTimeout is how long a process may take to exit after a signal. One that does not exit on
	// SIGTERM is then killed.
	exitTimeout = 15 * time.Second
	// maxLogLines limits the log lines of one sidecar that are added to a history.
	maxLogLines = 20000
	// starvePeriod is the period in which a starved process runs once, for its share of the period.
	starvePeriod = 100 * time.Millisecond
)

// process manages the operating-system process of one sidecar. It signals only processes that it
// started itself, through their handles.
type process struct {
	party      Party
	dir        string // holds its configuration, features file, admin socket and TMPDIR
	clientAddr string // address for clients
	noteAddr   string // address for notes of peers
	binary     string
	history    *History
	ctx        context.Context // of Fleet.Play
	wg         *sync.WaitGroup // of the Fleet

	clientSocket *os.File // listening socket for clients, passed to each process; nil: the process listens itself

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{} // closed when cmd has exited
	ready      chan struct{} // closed when cmd has logged that it is ready
	logLines   int
	starveDone chan struct{} // closed to end starving; nil: the process is not starved
}

func (p *process) configPath() string   { return filepath.Join(p.dir, "config.json") }
func (p *process) featuresPath() string { return filepath.Join(p.dir, "features.toml") }
func (p *process) socketPath() string   { return filepath.Join(p.dir, "s") }

func (p *process) tmpDir() string { return filepath.Join(p.dir, "tmp") }

// start starts the process if it does not run. It does not wait until it serves.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := os.RemoveAll(p.tmpDir()); err != nil { // a restarted sidecar has an empty disk
		return err
	}
	if err := os.Mkdir(p.tmpDir(), 0o700); err != nil {
		return err
	}
	return p.spawn()
}

// spawn starts a process and records its log and its exit. The lock must be held.
func (p *process) spawn() error {
	cmd := exec.Command(p.binary)
	cmd.Env = []string{"BALANCER_CONFIG=" + p.configPath(), "FAWN_FEATURES=" + p.featuresPath(), "TMPDIR=" + p.tmpDir()}
	if p.clientSocket != nil {
		cmd.ExtraFiles = []*os.File{p.clientSocket}
		cmd.Env = append(cmd.Env, "BALANCER_FD=3")
	}
	// The kernel kills the process if this program dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("fleet: %s: %w", p.party, err)
	}
	exited, ready := make(chan struct{}), make(chan struct{})
	p.cmd, p.exited, p.ready = cmd, exited, ready
	p.history.add(Event{Kind: EventProcess, Party: p.party, Detail: "started"})
	go func() {
		lines, sawReady := bufio.NewScanner(log), false
		for lines.Scan() {
			if !sawReady && strings.Contains(lines.Text(), "msg=ready ") {
				sawReady = true
				close(ready)
			}
			p.mu.Lock()
			p.logLines++
			keep := p.logLines <= maxLogLines
			p.mu.Unlock()
			if keep {
				p.history.add(Event{Kind: EventLogLine, Party: p.party, Detail: lines.Text()})
			}
		}
		err := cmd.Wait()
		detail := "ended"
		if err != nil {
			detail = "ended: " + err.Error()
		}
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		} else {
			detail = "the process before " + detail // a prefix other than "ended", which begins a downtime
		}
		p.mu.Unlock()
		p.history.add(Event{Kind: EventProcess, Party: p.party, Detail: detail})
		close(exited)
	}()
	return nil
}

// awaitReady blocks until the process answers health checks. It returns an error if the process has
// exited, after readyTimeout, or when ctx ends.
func (p *process) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	for {
		p.mu.Lock()
		running := p.cmd != nil
		p.mu.Unlock()
		if !running { // an answer at its address would come from another process
			return fmt.Errorf("fleet: the process of %s has exited", p.party)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.clientAddr+"/_health", nil)
		if err != nil {
			return err
		}
		if resp, err := transport.RoundTrip(request); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s does not answer health checks", p.party)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// upgrade starts a second process and sends the first one SIGTERM when the second is ready. It
// blocks until the first has exited.
func (p *process) upgrade() error {
	p.mu.Lock()
	first, firstExited := p.cmd, p.exited
	if first == nil || p.clientSocket == nil {
		p.mu.Unlock()
		return errors.New("no process runs, or its listening socket is not held for it")
	}
	err := p.spawn()
	ready, secondExited := p.ready, p.exited
	p.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-ready:
	case <-secondExited:
		return errors.New("the second process exited before it was ready")
	case <-time.After(readyTimeout):
		return errors.New("the second process was not ready in time")
	}
	first.Process.Signal(syscall.SIGTERM)
	select {
	case <-firstExited:
	case <-time.After(exitTimeout):
		first.Process.Kill()
		return errors.New("the first process did not exit after SIGTERM")
	}
	return nil
}

// recordServing blocks until the process serves and records that. Until then Check expects no
// answers from it.
func (p *process) recordServing() {
	if p.awaitReady(p.ctx) == nil {
		p.history.add(Event{Kind: EventProcess, Party: p.party, Detail: "serves"})
	}
}

// restart starts the process again. It does not wait until it serves.
func (p *process) restart() error {
	if err := p.start(); err != nil {
		return err
	}
	p.wg.Go(p.recordServing)
	return nil
}

// signal sends a signal if the process runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// awaitExit blocks until the process has exited, at most for timeout.
func (p *process) awaitExit(timeout time.Duration) error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		return errors.New("fleet: the process did not exit in time")
	}
}

// kill kills the process and waits until it has exited, at most for exitTimeout.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.awaitExit(exitTimeout)
}

// breakConfig replaces the configuration by an invalid one so that starts fail, or restores it if
// on is false.
func (p *process) breakConfig(on bool) error {
	intactPath := p.configPath() + ".whole"
	if !on {
		return os.Rename(intactPath, p.configPath())
	}
	if err := os.Rename(p.configPath(), intactPath); err != nil {
		return err
	}
	return os.WriteFile(p.configPath(), []byte("{"), 0o600)
}

// terminate ends the process with SIGTERM, as a planned restart does. It kills the process if it
// has not exited after exitTimeout.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	if p.awaitExit(exitTimeout) != nil {
		p.history.add(Event{Kind: EventProcess, Party: p.party, Detail: "did not end on SIGTERM"})
		p.kill()
	}
}

// startStarving lets the process run only for a share of each starvePeriod, until stopStarving.
func (p *process) startStarving(share float64) {
	stop := make(chan struct{})
	p.mu.Lock()
	p.starveDone = stop
	p.mu.Unlock()
	go func() {
		runTime := time.Duration(share * float64(starvePeriod))
		for {
			p.signal(syscall.SIGSTOP)
			select {
			case <-stop:
				p.signal(syscall.SIGCONT)
				return
			case <-time.After(starvePeriod - runTime):
			}
			p.signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(runTime):
			}
		}
	}()
}

// stopStarving lets the process run without interruption again.
func (p *process) stopStarving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.starveDone != nil {
		close(p.starveDone)
		p.starveDone = nil
	}
}

// peakMemoryBytes returns the peak resident memory of the process, or 0 if it cannot be read.
func (p *process) peakMemoryBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return rig.PeakResidentBytes(p.cmd.Process.Pid)
}
