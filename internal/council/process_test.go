package council

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

	"chalkrack/internal/agreed"
	"chalkrack/internal/fleet"
)

const testKey = "the key of this fleet"

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "council")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "fawncouncil")
	if out, err := exec.Command("go", "build", "-o", program, "chalkrack/cmd/fawncouncil").CombinedOutput(); err != nil {
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
	log                        *logged
	ended                      chan error
	dead                       *atomic.Bool
}

type logged struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// group is a council of processes.
type group struct {
	t     *testing.T
	procs []*proc
	times agreed.LeaseTimes
	host  string                    // where its links listen
	links map[[2]string]*fleet.Link // by who opens connections, and to whom
	ways  map[[2]string][2]bool     // which of their directions are cut
}

// link is the way from one party to a member, with faults of its own.
func (g *group) link(from string, to *proc) *fleet.Link {
	g.t.Helper()
	l, err := fleet.NewLink(g.host, fleet.Party(from), fleet.Party(to.name), to.addr, uint64(len(g.links)))
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(l.Close)
	g.links[[2]string{from, to.name}] = l
	return l
}

// cut has nothing that one member says reach another, on connections of either, or has it come
// again.
func (g *group) cut(from, to *proc, is bool) {
	there, back := [2]string{from.name, to.name}, [2]string{to.name, from.name}
	a, b := g.ways[there], g.ways[back]
	a[0], b[1] = is, is
	g.ways[there], g.ways[back] = a, b
	g.links[there].SetCut(a[0], a[1])
	g.links[back].SetCut(b[0], b[1])
}

var hosts atomic.Int64

// host is one of loopback's that nothing else in this run listens at: whoever is started again
// finds its port free.
func host() string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 2+n/250%100, 20+os.Getpid()%200, 1+n%250)
}

// free is an address that nobody listens at now.
func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

const testTimes = "lease = \"2s\"\nmargin = \"200ms\"\ndrift = 0.01\ncall = \"1s\"\nbeat = \"60ms\"\n"

// convene starts a council of so many.
func convene(t *testing.T, many int) *group {
	t.Helper()
	g := &group{t: t, host: host(), links: make(map[[2]string]*fleet.Link), ways: make(map[[2]string][2]bool), times: agreed.LeaseTimes{Lease: 2 * time.Second, Margin: 200 * time.Millisecond, Drift: 0.01, Call: time.Second}}
	dir := t.TempDir()
	for n := range many {
		p := &proc{name: fmt.Sprintf("m%d", n+1), addr: free(t)}
		p.folder, p.config = filepath.Join(dir, p.name), filepath.Join(dir, p.name+".toml")
		g.procs = append(g.procs, p)
	}
	for _, p := range g.procs { // each reaches each other by an address of its own
		members := "[members]\n"
		for _, q := range g.procs {
			addr := q.addr
			if q != p {
				addr = g.link(p.name, q).Addr()
			}
			members += fmt.Sprintf("%s = %q\n", q.name, addr)
		}
		g.write(p, members)
		g.start(p)
	}
	g.leader(20 * time.Second)
	return g
}

func (g *group) write(p *proc, rest string) {
	g.t.Helper()
	text := fmt.Sprintf("fleet = \"f\"\nname = %q\nlisten = %q\nfolder = %q\nkey = %q\n%s%s", p.name, p.addr, p.folder, testKey, testTimes, rest)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) start(p *proc) {
	g.t.Helper()
	p.log, p.ended = new(logged), make(chan error, 1)
	p.cmd = exec.Command(program, p.config)
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

// kill ends a process as a crash does.
func (g *group) kill(p *proc) {
	p.cmd.Process.Kill()
	<-p.ended
}

// one asks one member alone.
func one(p *proc) *Client { return NewClient(testKey, 0, map[string]string{p.name: p.addr}) }

func (g *group) client(n int) *Client {
	all := make(map[string]string)
	for _, p := range g.procs {
		all[p.name] = p.addr
	}
	c := NewClient(testKey, n, all)
	g.t.Cleanup(c.Close)
	return c
}

// leads says that a member says that it leads.
func leads(p *proc) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	c := one(p)
	defer c.Close()
	st, err := c.Status(ctx)
	return err == nil && st.Leads
}

// leader waits until a member says that it leads.
func (g *group) leader(most time.Duration) *proc {
	g.t.Helper()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, p := range g.procs {
			if !p.dead.Load() && leads(p) {
				return p
			}
		}
	}
	for _, p := range g.procs {
		g.t.Logf("%s:\n%s", p.name, p.log.String())
	}
	g.t.Fatal("nobody leads")
	return nil
}

// car is a sidecar of the fleet: the pure half with its calls, and when it acted on what.
type car struct {
	c    *Client
	inc  uint64
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	car   *agreed.Participant
	seen  []uint64 // versions that it came to act on
	no    string   // why it can't take what comes next; empty: it can
	quiet bool     // it asks nothing
}

func (g *group) car(name string, n int) *car {
	ctx, stop := context.WithCancel(context.Background())
	inc := uint64(bootNow())
	k := &car{c: g.client(n), inc: inc, stop: stop, done: make(chan struct{}), car: agreed.NewParticipant(name, inc, g.times, agreed.PersistentState{})}
	go func() {
		defer close(k.done)
		for ctx.Err() == nil {
			k.mu.Lock()
			quiet := k.quiet
			var r agreed.Request
			if !quiet {
				r = k.car.NextRequest(bootNow())
			}
			k.mu.Unlock()
			if quiet {
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
			if k.quiet { // what came meanwhile is lost
				k.mu.Unlock()
				continue
			}
			w := k.car.HandleResponse(bootNow(), a)
			if w.Activate != nil {
				k.seen = append(k.seen, w.Activate.Version)
			}
			if w.Prepare != nil {
				var err error
				if k.no != "" {
					err = fmt.Errorf("%s", k.no)
				}
				k.car.RecordPrepareResult(w.Prepare, err)
			}
			k.mu.Unlock()
		}
	}()
	g.t.Cleanup(func() { stop(); <-k.done })
	return k
}

func (k *car) level() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.car.Level(bootNow(), "class/a")
}

func (k *car) acts() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.car.Active().Version
}

// reach has it call the council by other ways.
func (k *car) reach(c *Client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c = c
}

func (k *car) hush(quiet bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quiet = quiet
}

func level(key string, level uint64) *agreed.Doc {
	return &agreed.Doc{Key: key, Who: "kim", Reason: "a test", Rules: agreed.Rules{"class/a": level}}
}

// propose has a version proposed, sent again until it is known that it was.
func (g *group) propose(base uint64, d *agreed.Doc) (Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for { // until the version before is settled
		st, err := g.client(0).Enter(ctx, agreed.Entry{Kind: agreed.Propose, Base: base, Doc: d})
		if err == nil || !strings.Contains(err.Error(), agreed.ErrNotSettled.Error()) {
			return st, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not %s within 30s", what)
		}
	}
}

// Three members, eight sidecars: a version comes into force when all are prepared, a second one
// though the leader dies as it is proposed, and a third though one sidecar has gone silent, which
// acts on the stricter before its lease ends.
func TestVersionsThroughAFaultyCouncil(t *testing.T) {
	t.Parallel()
	g := convene(t, 3)
	if st, err := g.propose(0, level("k1", 0)); err != nil || st.InForce.Version != 1 {
		t.Fatalf("%+v, %v", st.InForce, err)
	}
	var cars []*car
	for n := range 8 {
		cars = append(cars, g.car(fmt.Sprintf("car%d", n), n))
	}
	all := func(version uint64) func() bool {
		return func() bool {
			for _, k := range cars {
				if k.acts() != version {
					return false
				}
			}
			return true
		}
	}
	until(t, "all on version 1", all(1))
	lead := g.leader(10 * time.Second)
	proposed := make(chan error, 1)
	go func() {
		_, err := g.propose(1, level("k2", 1))
		proposed <- err
	}()
	g.kill(lead)
	if err := <-proposed; err != nil {
		t.Fatal(err)
	}
	until(t, "all on version 2", all(2))
	g.start(lead)
	cars[3].hush(true)
	began := time.Now()
	if _, err := g.propose(2, level("k3", 2)); err != nil {
		t.Fatal(err)
	}
	loose := func(k *car) bool { return k.level() < 2 }
	until(t, "all but the silent one on version 3", func() bool {
		for n, k := range cars {
			if n != 3 && loose(k) {
				return false
			}
		}
		return true
	})
	if loose(cars[3]) || time.Since(began) < time.Second {
		t.Errorf("after %v version 3 is in force, and the silent sidecar acts on level %d", time.Since(began), cars[3].level())
	}
	cars[3].hush(false)
	until(t, "all on version 3", all(3))
	until(t, "settled", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		st, err := g.client(1).Status(ctx)
		return err == nil && st.Settled && st.InForce.Version == 3
	})
}

// Without a majority nothing is agreed on, and sidecars go to the stricter before their lease
// ends and keep what they hold; when all members have been killed at once and are back, so is
// what was in force.
func TestMajorityLostAndBack(t *testing.T) {
	t.Parallel()
	g := convene(t, 3)
	if _, err := g.propose(0, level("k1", 0)); err != nil {
		t.Fatal(err)
	}
	k := g.car("car", 0)
	until(t, "leased", func() bool { return k.acts() == 1 && k.level() == 0 })
	for _, p := range g.procs {
		g.kill(p)
	}
	until(t, "on the stricter", func() bool { return k.level() == agreed.LevelOnce })
	for _, p := range g.procs {
		g.start(p)
	}
	until(t, "leased again", func() bool { return k.level() == 0 })
	lead := g.leader(20 * time.Second)
	for _, p := range g.procs {
		if p != lead {
			g.kill(p)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := g.client(0).Enter(ctx, agreed.Entry{Kind: agreed.Propose, Base: 1, Doc: level("k2", 1)}); err == nil {
		t.Error("one of three has agreed on something")
	}
	until(t, "on the stricter again", func() bool { return k.level() == agreed.LevelOnce })
}

// A member that is stopped while it leads, and goes on, leads no more and gives nobody a lease
// by what it knew; a proposal that one sidecar refuses ends with its reason.
func TestStoppedLeader(t *testing.T) {
	t.Parallel()
	g := convene(t, 3)
	if _, err := g.propose(0, level("k1", 0)); err != nil {
		t.Fatal(err)
	}
	k := g.car("car", 0)
	until(t, "leased", func() bool { return k.acts() == 1 })
	old := g.leader(10 * time.Second)
	old.cmd.Process.Signal(syscall.SIGSTOP)
	until(t, "another leads", func() bool { return leads(g.others(old)[0]) || leads(g.others(old)[1]) })
	if st, err := g.propose(1, level("k2", 2)); err != nil || st.Next == nil && st.InForce.Version != 2 {
		t.Fatalf("%+v, %v", st, err)
	}
	until(t, "version 2", func() bool { return k.acts() == 2 })
	// A request lies in its socket as it goes on, of a sidecar that it knows well, and of whose
	// new version it knows nothing: it must not grant a lease by itself.
	k.mu.Lock()
	r := agreed.Request{Sidecar: "car", Incarnation: k.inc, Seq: 1, ActiveVersion: 1}
	k.mu.Unlock()
	answers := make(chan agreed.Response, 20)
	var wait sync.WaitGroup
	for range cap(answers) {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			c := one(old)
			defer c.Close()
			if a, err := c.Renew(ctx, r, 0); err == nil {
				answers <- a
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // for the requests to lie there; fewer would prove less
	old.cmd.Process.Signal(syscall.SIGCONT)
	wait.Wait()
	close(answers)
	for a := range answers {
		if a.LeaseGranted && a.InForceOmitted {
			t.Errorf("who led before grants a lease on version 1: %+v", a)
		}
	}
	k.mu.Lock()
	k.no = "class a can't be that"
	k.mu.Unlock()
	if _, err := g.propose(2, level("k3", 1)); err != nil {
		t.Fatal(err)
	}
	var seen any
	defer func() {
		if t.Failed() {
			t.Logf("last seen: %+v", seen)
		}
	}()
	until(t, "refused", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		st, err := g.client(0).Enter(ctx, agreed.Entry{Kind: agreed.Propose, Base: 2, Doc: level("k3", 1)}) // the same one
		if err != nil {
			t.Fatal(err)
		}
		seen = st
		for _, e := range st.Endings {
			if e.Key == "k3" {
				return e.Outcome == agreed.Refused && e.Who == "car" && strings.Contains(e.Reason, "can't be that")
			}
		}
		return false
	})
}

// One that has lost its folder does not vote as who it was: it says so and ends; removed, and
// started to join, it is added with another id and learns all.
func TestForgetfulMember(t *testing.T) {
	t.Parallel()
	g := convene(t, 3)
	if _, err := g.propose(0, level("k1", 1)); err != nil {
		t.Fatal(err)
	}
	lost := g.procs[0]
	if lost == g.leader(10*time.Second) {
		lost = g.procs[1]
	}
	g.kill(lost)
	if err := os.RemoveAll(lost.folder); err != nil {
		t.Fatal(err)
	}
	g.start(lost)
	select {
	case err := <-lost.ended:
		if err == nil || !strings.Contains(lost.log.String(), "must not vote") {
			t.Fatalf("%v: %s", err, lost.log.String())
		}
		lost.ended <- err
	case <-time.After(20 * time.Second):
		t.Fatalf("it goes on: %s", lost.log.String())
	}
	g.write(lost, "join = true\n")
	if err := os.RemoveAll(lost.folder); err != nil {
		t.Fatal(err)
	}
	g.start(lost)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := g.client(0)
	if _, err := c.Change(ctx, founderID("f", lost.name), Peer{}, true); err != nil {
		t.Fatal(err)
	}
	id := uint64(0)
	until(t, "waiting to be added", func() bool {
		_, rest, ok := strings.Cut(lost.log.String(), " id=")
		fmt.Sscan(rest, &id)
		return ok && id != 0
	})
	until(t, "the old one is gone", func() bool {
		st, err := c.Status(ctx)
		return err == nil && len(st.Members) == 2
	})
	if _, err := c.Change(ctx, id, Peer{lost.name, lost.addr}, false); err != nil {
		t.Fatal(err)
	}
	it := one(lost)
	defer it.Close()
	until(t, "it has learnt all", func() bool {
		st, err := it.Status(ctx)
		return err == nil && st.InForce.Version == 1 && len(st.Members) == 3
	})
}
