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
	k := &testSidecar{c: g.client(n), incarnation: incarnation, stop: stop, done: make(chan struct{}), participant: agreement.NewParticipant(name, incarnation, g.times, agreement.PersistentState{})}
	go func() {
		defer close(k.done)
		for ctx.Err() == nil {
			k.mu.Lock()
			isSilent := k.isSilent
			var r agreement.Request
			if !isSilent {
				r = k.participant.NextRequest(bootTime())
			}
			k.mu.Unlock()
			if isSilent {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			k.mu.Lock()
			c := k.c
			k.mu.Unlock()
			a, err := c.Renew(ctx, r, g.times.Lease/4)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			k.mu.Lock()
			if k.isSilent { // the response is lost
				k.mu.Unlock()
				continue
			}
			actions := k.participant.HandleResponse(bootTime(), a)
			if actions.Activate != nil {
				k.received = append(k.received, actions.Activate.Version)
			}
			if actions.Prepare != nil {
				var err error
				if k.rejectReason != "" {
					err = fmt.Errorf("%s", k.rejectReason)
				}
				k.participant.RecordPrepareResult(actions.Prepare, err)
			}
			k.mu.Unlock()
		}
	}()
	g.t.Cleanup(func() { stop(); <-k.done })
	return k
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

// With three members and eight sidecars, one version comes into force once all sidecars have
// prepared it, a second one although the leader is killed during its proposal, and a third although
// one sidecar sends no requests. That sidecar must apply the strictest level before the third
// version comes into force.
func TestVersionsComeIntoForceDespiteFailures(t *testing.T) {
	t.Parallel()
	g := startCouncil(t, 3)
	if st, err := g.propose(0, level("k1", 0)); err != nil || st.InForce.Version != 1 {
		t.Fatalf("in force: %+v, error %v, want version 1", st.InForce, err)
	}
	var sidecars []*testSidecar
	for n := range 8 {
		sidecars = append(sidecars, g.startSidecar(fmt.Sprintf("car%d", n), n))
	}
	all := func(version uint64) func() bool {
		return func() bool {
			for _, k := range sidecars {
				if k.activeVersion() != version {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "version 1 is active at all sidecars", all(1))
	lead := g.awaitLeader(10 * time.Second)
	proposed := make(chan error, 1)
	go func() {
		_, err := g.propose(1, level("k2", 1))
		proposed <- err
	}()
	g.killProcess(lead)
	if err := <-proposed; err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "version 2 is active at all sidecars", all(2))
	g.startProcess(lead)
	sidecars[3].setSilent(true)
	began := time.Now()
	if _, err := g.propose(2, level("k3", 2)); err != nil {
		t.Fatal(err)
	}
	isLax := func(k *testSidecar) bool { return k.level() < 2 }
	waitUntil(t, "all other sidecars apply level 2", func() bool {
		for n, k := range sidecars {
			if n != 3 && isLax(k) {
				return false
			}
		}
		return true
	})
	if isLax(sidecars[3]) || time.Since(began) < time.Second {
		t.Errorf("version 3 came into force after %v, while the sidecar without contact applies level %d", time.Since(began), sidecars[3].level())
	}
	sidecars[3].setSilent(false)
	waitUntil(t, "version 3 is active at all sidecars", all(3))
	waitUntil(t, "version 3 is settled", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		st, err := g.client(1).Status(ctx)
		return err == nil && st.IsSettled && st.InForce.Version == 3
	})
}

// Without a majority nothing is committed, and sidecars apply the strictest level before their
// lease expires. After all members were killed at once and restarted, the version in force is the
// same.
func TestMajorityLossAndRecovery(t *testing.T) {
	t.Parallel()
	g := startCouncil(t, 3)
	if _, err := g.propose(0, level("k1", 0)); err != nil {
		t.Fatal(err)
	}
	k := g.startSidecar("car", 0)
	waitUntil(t, "the sidecar has a lease", func() bool { return k.activeVersion() == 1 && k.level() == 0 })
	for _, p := range g.procs {
		g.killProcess(p)
	}
	waitUntil(t, "the sidecar applies the strictest level", func() bool { return k.level() == agreement.LevelOnce })
	for _, p := range g.procs {
		g.startProcess(p)
	}
	waitUntil(t, "the sidecar has a lease again", func() bool { return k.level() == 0 })
	lead := g.awaitLeader(20 * time.Second)
	for _, p := range g.procs {
		if p != lead {
			g.killProcess(p)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := g.client(0).Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: 1, Doc: level("k2", 1)}); err == nil {
		t.Error("one of three members accepted a proposal")
	}
	waitUntil(t, "the sidecar applies the strictest level again", func() bool { return k.level() == agreement.LevelOnce })
}

// A leader that is suspended and resumed after another member has become leader must grant no lease
// from its old state. A proposal that a sidecar rejects ends with the sidecar's reason.
func TestSuspendedLeaderGrantsNoLease(t *testing.T) {
	t.Parallel()
	g := startCouncil(t, 3)
	if _, err := g.propose(0, level("k1", 0)); err != nil {
		t.Fatal(err)
	}
	k := g.startSidecar("car", 0)
	waitUntil(t, "the sidecar has a lease", func() bool { return k.activeVersion() == 1 })
	old := g.awaitLeader(10 * time.Second)
	old.cmd.Process.Signal(syscall.SIGSTOP)
	waitUntil(t, "another member leads", func() bool { return isLeading(g.otherMembers(old)[0]) || isLeading(g.otherMembers(old)[1]) })
	if st, err := g.propose(1, level("k2", 2)); err != nil || st.Pending == nil && st.InForce.Version != 2 {
		t.Fatalf("status %+v, error %v, want version 2 in force or pending", st, err)
	}
	waitUntil(t, "version 2 is active at the sidecar", func() bool { return k.activeVersion() == 2 })
	// Requests wait in the old leader's socket when it resumes. They come from a sidecar that it
	// knows, with the version active that was in force when it was suspended: it must not grant a
	// lease without a majority.
	k.mu.Lock()
	r := agreement.Request{Sidecar: "car", Incarnation: k.incarnation, Seq: 1, ActiveVersion: 1}
	k.mu.Unlock()
	answers := make(chan agreement.Response, 20)
	var wait sync.WaitGroup
	for range cap(answers) {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			c := clientOf(old)
			defer c.Close()
			if a, err := c.Renew(ctx, r, 0); err == nil {
				answers <- a
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // gives the requests time to arrive; with fewer of them waiting the test checks less
	old.cmd.Process.Signal(syscall.SIGCONT)
	wait.Wait()
	close(answers)
	for a := range answers {
		if a.LeaseGranted && a.InForceOmitted {
			t.Errorf("the old leader granted a lease for version 1: %+v", a)
		}
	}
	k.mu.Lock()
	k.rejectReason = "class a can't be that"
	k.mu.Unlock()
	if _, err := g.propose(2, level("k3", 1)); err != nil {
		t.Fatal(err)
	}
	var seen any
	defer func() {
		if t.Failed() {
			t.Logf("last status: %+v", seen)
		}
	}()
	waitUntil(t, "the proposal is refused", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		st, err := g.client(0).Apply(ctx, agreement.Entry{Kind: agreement.KindPropose, BaseVersion: 2, Doc: level("k3", 1)}) // repeats the proposal
		if err != nil {
			t.Fatal(err)
		}
		seen = st
		for _, e := range st.Results {
			if e.Key == "k3" {
				return e.Outcome == agreement.OutcomeRefused && e.Who == "car" && strings.Contains(e.Reason, "can't be that")
			}
		}
		return false
	})
}

// A member that has lost its folder must stop with an error rather than vote again under its old
// id. After it is removed and started with join = true, it can be added under a new id and receives
// the log.
func TestMemberThatLostItsFolderMustRejoin(t *testing.T) {
	t.Parallel()
	g := startCouncil(t, 3)
	if _, err := g.propose(0, level("k1", 1)); err != nil {
		t.Fatal(err)
	}
	lost := g.procs[0]
	if lost == g.awaitLeader(10*time.Second) {
		lost = g.procs[1]
	}
	g.killProcess(lost)
	if err := os.RemoveAll(lost.folder); err != nil {
		t.Fatal(err)
	}
	g.startProcess(lost)
	select {
	case err := <-lost.ended:
		if err == nil || !strings.Contains(lost.log.String(), "must not vote") {
			t.Fatalf("the member ended with %v, want an error that it must not vote; log: %s", err, lost.log.String())
		}
		lost.ended <- err
	case <-time.After(20 * time.Second):
		t.Fatalf("the member still runs; log: %s", lost.log.String())
	}
	g.writeConfig(lost, "join = true\n")
	if err := os.RemoveAll(lost.folder); err != nil {
		t.Fatal(err)
	}
	g.startProcess(lost)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := g.client(0)
	if _, err := c.ChangeMember(ctx, founderID("f", lost.name), Endpoint{}, true); err != nil {
		t.Fatal(err)
	}
	id := uint64(0)
	waitUntil(t, "the member waits to be added", func() bool {
		_, rest, ok := strings.Cut(lost.log.String(), " id=")
		fmt.Sscan(rest, &id)
		return ok && id != 0
	})
	waitUntil(t, "the old member is removed", func() bool {
		st, err := c.Status(ctx)
		return err == nil && len(st.Members) == 2
	})
	if _, err := c.ChangeMember(ctx, id, Endpoint{lost.name, lost.addr}, false); err != nil {
		t.Fatal(err)
	}
	rejoined := clientOf(lost)
	defer rejoined.Close()
	waitUntil(t, "the new member has received the log", func() bool {
		st, err := rejoined.Status(ctx)
		return err == nil && st.InForce.Version == 1 && len(st.Members) == 3
	})
}
