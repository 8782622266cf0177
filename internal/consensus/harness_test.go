package consensus

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/agreement"
	"chalkrack/internal/fleet"
)

const testKey = "the key of this fleet"

var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "council")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "fawncouncil")
	if out, err := exec.Command("go", "build", "-o", programPath, "chalkrack/cmd/fawncouncil").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// proc is a member's process.
type proc struct {
	name, addr, folder, config string
	cmd                        *exec.Cmd
	log                        *logBuffer
	ended                      chan error
	dead                       *atomic.Bool
}

// logBuffer is a buffer for a process's log that is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testCouncil is a council of member processes.
type testCouncil struct {
	t        *testing.T
	procs    []*proc
	times    agreement.LeaseTimes
	host     string                    // address at which the links listen
	links    map[[2]string]*fleet.Link // by the names of the connecting party and of the member
	cutLinks map[[2]string][2]bool     // by the keys of links: whether requests and responses are cut
}

// addLink adds a proxied link from a party to a member, into which faults can be injected.
func (g *testCouncil) addLink(from string, to *proc) *fleet.Link {
	g.t.Helper()
	l, err := fleet.NewLink(g.host, fleet.Party(from), fleet.Party(to.name), to.addr, uint64(len(g.links)))
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(l.Close)
	g.links[[2]string{from, to.name}] = l
	return l
}

// setCut blocks or unblocks all data from one member to another, on connections opened by either.
func (g *testCouncil) setCut(from, to *proc, isCut bool) {
	there, back := [2]string{from.name, to.name}, [2]string{to.name, from.name}
	a, b := g.cutLinks[there], g.cutLinks[back]
	a[0], b[1] = isCut, isCut
	g.cutLinks[there], g.cutLinks[back] = a, b
	g.links[there].SetCut(a[0], a[1])
	g.links[back].SetCut(b[0], b[1])
}

var hostCount atomic.Int64

// newHost returns a loopback address that nothing else in this run uses, so that the port of a
// stopped process is still free when the process is restarted.
func newHost() string {
	n := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 2+n/250%100, 20+os.Getpid()%200, 1+n%250)
}

// freeAddr returns an address with a port that is currently free. Nothing is forked while the
// port is held: until a forked child executes its program it has a copy of the listener, and the
// port stays in use.
func freeAddr(t *testing.T) string {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

const testTimes = "lease = \"2s\"\nmargin = \"200ms\"\ndrift = 0.01\ncall = \"1s\"\nbeat = \"60ms\"\n"

// startCouncil starts a council and waits until a member leads.
func startCouncil(t *testing.T, count int) *testCouncil {
	t.Helper()
	g := &testCouncil{t: t, host: newHost(), links: make(map[[2]string]*fleet.Link), cutLinks: make(map[[2]string][2]bool), times: agreement.LeaseTimes{Lease: 2 * time.Second, Margin: 200 * time.Millisecond, Drift: 0.01, MaxCallTime: time.Second}}
	dir := t.TempDir()
	for n := range count {
		p := &proc{name: fmt.Sprintf("m%d", n+1), addr: freeAddr(t)}
		p.folder, p.config = filepath.Join(dir, p.name), filepath.Join(dir, p.name+".toml")
		g.procs = append(g.procs, p)
	}
	for _, p := range g.procs { // each member has its own link to each other member
		members := "[members]\n"
		for _, q := range g.procs {
			addr := q.addr
			if q != p {
				addr = g.addLink(p.name, q).Addr()
			}
			members += fmt.Sprintf("%s = %q\n", q.name, addr)
		}
		g.writeConfig(p, members)
		g.startProcess(p)
	}
	g.awaitLeader(20 * time.Second)
	return g
}

// writeConfig writes the configuration file of a member, with rest at its end.
func (g *testCouncil) writeConfig(p *proc, rest string) {
	g.t.Helper()
	text := fmt.Sprintf("fleet = \"f\"\nname = %q\nlisten = %q\nfolder = %q\nkey = %q\n%s%s", p.name, p.addr, p.folder, testKey, testTimes, rest)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		g.t.Fatal(err)
	}
}

// startProcess starts the process of a member.
func (g *testCouncil) startProcess(p *proc) {
	g.t.Helper()
	p.log, p.ended = new(logBuffer), make(chan error, 1)
	p.cmd = exec.Command(programPath, p.config)
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		g.t.Fatal(err)
	}
	cmd, ended, dead := p.cmd, p.ended, new(atomic.Bool)
	p.dead = dead
	go func() {
		err := cmd.Wait()
		dead.Store(true)
		ended <- err
	}()
	g.t.Cleanup(func() { cmd.Process.Kill() })
}

// killProcess kills a process, as in a crash, and waits until it has ended.
func (g *testCouncil) killProcess(p *proc) {
	p.cmd.Process.Kill()
	<-p.ended
}

// clientOf returns a client that knows a single member.
func clientOf(p *proc) *Client { return NewClient(testKey, 0, map[string]string{p.name: p.addr}) }

// client returns a client that knows all members. Different n start with different members.
func (g *testCouncil) client(n int) *Client {
	all := make(map[string]string)
	for _, p := range g.procs {
		all[p.name] = p.addr
	}
	c := NewClient(testKey, n, all)
	g.t.Cleanup(c.Close)
	return c
}

// isLeading reports whether a member responds that it is the leader.
func isLeading(p *proc) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	c := clientOf(p)
	defer c.Close()
	st, err := c.Status(ctx)
	return err == nil && st.IsLeader
}

// awaitLeader waits until a member responds that it is the leader, and returns it.
func (g *testCouncil) awaitLeader(timeout time.Duration) *proc {
	g.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, p := range g.procs {
			if !p.dead.Load() && isLeading(p) {
				return p
			}
		}
	}
	for _, p := range g.procs {
		g.t.Logf("%s:\n%s", p.name, p.log.String())
	}
	g.t.Fatal("no member became leader in time")
	return nil
}

// testSidecar is a simulated sidecar: an agreement.Participant and a goroutine that renews its
// lease.
type testSidecar struct {
	c           *Client
	incarnation uint64
	stop        context.CancelFunc
	done        chan struct{}

	mu           sync.Mutex
	participant  *agreement.Participant
	received     []uint64 // versions in force that it received
	rejectReason string   // the reason for which it rejects the next version; empty: it accepts it
	isSilent     bool     // it sends no requests and ignores responses
}

// startSidecar starts a sidecar that renews its lease until the test ends.
func (g *testCouncil) startSidecar(name string, n int) *testSidecar {
	ctx, stop := context.WithCancel(context.Background())
	incarnation := uint64(bootTime())
	sidecar := &testSidecar{c: g.client(n), incarnation: incarnation, stop: stop, done: make(chan struct{}), participant: agreement.NewParticipant(name, incarnation, g.times, agreement.PersistentState{})}
	go func() {
		defer close(sidecar.done)
		for ctx.Err() == nil {
			sidecar.mu.Lock()
			isSilent := sidecar.isSilent
			var r agreement.Request
			if !isSilent {
				r = sidecar.participant.NextRequest(bootTime())
			}
			sidecar.mu.Unlock()
			if isSilent {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			sidecar.mu.Lock()
			c := sidecar.c
			sidecar.mu.Unlock()
			a, err := c.Renew(ctx, r, g.times.Lease/4)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			sidecar.mu.Lock()
			if sidecar.isSilent { // the response is lost
				sidecar.mu.Unlock()
				continue
			}
			actions := sidecar.participant.HandleResponse(bootTime(), a)
			if actions.Activate != nil {
				sidecar.received = append(sidecar.received, actions.Activate.Version)
			}
			if actions.Prepare != nil {
				var err error
				if sidecar.rejectReason != "" {
					err = fmt.Errorf("%s", sidecar.rejectReason)
				}
				sidecar.participant.RecordPrepareResult(actions.Prepare, err)
			}
			sidecar.mu.Unlock()
		}
	}()
	g.t.Cleanup(func() { stop(); <-sidecar.done })
	return sidecar
}

// level returns the level of the test's class that the sidecar applies now.
func (k *testSidecar) level() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.participant.Level(bootTime(), "class/a")
}

// activeVersion returns the sidecar's active version.
func (k *testSidecar) activeVersion() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.participant.Active().Version
}

// setClient replaces the client by which the sidecar calls the council.
func (k *testSidecar) setClient(c *Client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c = c
}

// setSilent stops or resumes the sidecar's requests.
func (k *testSidecar) setSilent(isSilent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isSilent = isSilent
}

// level returns a document that sets the level of the test's class.
func level(key string, level uint64) *agreement.Doc {
	return &agreement.Doc{Key: key, Who: "kim", Reason: "a test", Rules: agreement.Rules{"class/a": level}}
}

// propose proposes a version. It repeats the proposal while the version before is not settled.
func (g *testCouncil) propose(base uint64, d *agreement.Doc) (Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		st, err := g.client(0).Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: base, Doc: d})
		if err == nil || !strings.Contains(err.Error(), agreement.ErrNotSettled.Error()) {
			return st, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitUntil waits for a condition, and fails the test if it is not met within 30 seconds.
func waitUntil(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !isMet(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 30s: %s", condition)
		}
	}
}
