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
	// readyMost is how long a sidecar's process may take to serve.
	readyMost = 20 * time.Second
	// endMost is how long one may take to end after SIGTERM before it is killed.
	endMost = 15 * time.Second
	// linesMost bounds the lines of one process's log that go into a history.
	linesMost = 20000
	// starveSlice is the time within which a starved process runs for its share.
	starveSlice = 100 * time.Millisecond
)

// process is one sidecar's. It ends what it started itself, by its handle.
type process struct {
	party  Party
	dir    string // its configuration, settings, socket and TMPDIR
	listen string
	notes  string // where its peers' notes come
	binary string
	h      *History
	ctx    context.Context // of the run
	wg     *sync.WaitGroup // of the run

	held *os.File // the clients' socket, where it is held for the processes; nil: each listens

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed when cmd has ended
	up     chan struct{} // closed when cmd has said that it is ready
	lines  int
	starve chan struct{} // closed to end the slices
}

func (p *process) config() string   { return filepath.Join(p.dir, "config.json") }
func (p *process) features() string { return filepath.Join(p.dir, "features.toml") }
func (p *process) socket() string   { return filepath.Join(p.dir, "s") }

func (p *process) tmp() string { return filepath.Join(p.dir, "tmp") }

// start starts it, without waiting until it serves.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := os.RemoveAll(p.tmp()); err != nil { // no disk outlives it
		return err
	}
	if err := os.Mkdir(p.tmp(), 0o700); err != nil {
		return err
	}
	return p.run()
}

// run starts a process; the lock is held.
func (p *process) run() error {
	cmd := exec.Command(p.binary)
	cmd.Env = []string{"BALANCER_CONFIG=" + p.config(), "FAWN_FEATURES=" + p.features(), "TMPDIR=" + p.tmp()}
	if p.held != nil {
		cmd.ExtraFiles = []*os.File{p.held}
		cmd.Env = append(cmd.Env, "BALANCER_FD=3")
	}
	// What this program leaves behind when it dies is ended by the kernel.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("fleet: %s: %w", p.party, err)
	}
	ended, ready := make(chan struct{}), make(chan struct{})
	p.cmd, p.ended, p.up = cmd, ended, ready
	p.h.add(Event{Kind: Process, Who: p.party, What: "started"})
	go func() {
		lines, said := bufio.NewScanner(log), false
		for lines.Scan() {
			if !said && strings.Contains(lines.Text(), "msg=ready ") {
				said = true
				close(ready)
			}
			p.mu.Lock()
			p.lines++
			room := p.lines <= linesMost
			p.mu.Unlock()
			if room {
				p.h.add(Event{Kind: Logged, Who: p.party, What: lines.Text()})
			}
		}
		err := cmd.Wait()
		what := "ended"
		if err != nil {
			what = "ended: " + err.Error()
		}
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		} else {
			what = "the process before " + what
		}
		p.mu.Unlock()
		p.h.add(Event{Kind: Process, Who: p.party, What: what})
		close(ended)
	}()
	return nil
}

// ready waits until it serves.
func (p *process) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyMost)
	defer cancel()
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	for {
		p.mu.Lock()
		runs := p.cmd != nil
		p.mu.Unlock()
		if !runs { // whoever answers is another
			return fmt.Errorf("fleet: %s has ended", p.party)
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/_health", nil)
		if err != nil {
			return err
		}
		if resp, err := t.RoundTrip(r); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s does not serve", p.party)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// upgrade starts a second process beside the one that runs, and has that end once the second
// serves.
func (p *process) upgrade() error {
	p.mu.Lock()
	before, ended := p.cmd, p.ended
	if before == nil || p.held == nil {
		p.mu.Unlock()
		return errors.New("nothing runs, or its socket is its own")
	}
	err := p.run()
	ready, second := p.up, p.ended
	p.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-ready:
	case <-second:
		return errors.New("the second process ended")
	case <-time.After(readyMost):
		return errors.New("the second process does not serve")
	}
	before.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(endMost):
		before.Process.Kill()
		return errors.New("the process before did not end on SIGTERM")
	}
	return nil
}

// serves waits until it does, and writes that down: until then clients don't come.
func (p *process) serves() {
	if p.ready(p.ctx) == nil {
		p.h.add(Event{Kind: Process, Who: p.party, What: "serves"})
	}
}

// again starts it once more, without waiting until it serves.
func (p *process) again() error {
	if err := p.start(); err != nil {
		return err
	}
	p.wg.Go(p.serves)
	return nil
}

// signal sends one, if the process runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// wait waits until it has ended.
func (p *process) wait(most time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-time.After(most):
		return errors.New("fleet: it does not end")
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(endMost)
}

// spoil has starts fail, or no more.
func (p *process) spoil(on bool) error {
	whole := p.config() + ".whole"
	if !on {
		return os.Rename(whole, p.config())
	}
	if err := os.Rename(p.config(), whole); err != nil {
		return err
	}
	return os.WriteFile(p.config(), []byte("{"), 0o600)
}

// term ends it as a planned restart does.
func (p *process) term() {
	p.signal(syscall.SIGTERM)
	if p.wait(endMost) != nil {
		p.h.add(Event{Kind: Process, Who: p.party, What: "did not end on SIGTERM"})
		p.kill()
	}
}

// slices lets it run for a share of the time only, until stopped.
func (p *process) slices(share float64) {
	stop := make(chan struct{})
	p.mu.Lock()
	p.starve = stop
	p.mu.Unlock()
	go func() {
		run := time.Duration(share * float64(starveSlice))
		for {
			p.signal(syscall.SIGSTOP)
			select {
			case <-stop:
				p.signal(syscall.SIGCONT)
				return
			case <-time.After(starveSlice - run):
			}
			p.signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(run):
			}
		}
	}()
}

func (p *process) unslice() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.starve != nil {
		close(p.starve)
		p.starve = nil
	}
}

// resident is the most memory that it has had, in bytes; 0 where that can't be read.
func (p *process) resident() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return rig.Resident(p.cmd.Process.Pid)
}
