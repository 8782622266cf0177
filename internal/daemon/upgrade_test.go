package daemon_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// sidecar is a socket that the platform holds, and the folder of the processes.
type sidecar struct {
	site   *rig.Site
	socket *net.TCPListener
	shared string
	seed   uint64
}

func newSidecar(t *testing.T, servers int) *sidecar {
	t.Helper()
	site := managedSite(t, servers, 0, 5*time.Millisecond)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &sidecar{site, ln.(*net.TCPListener), t.TempDir(), 0}
}

func (s *sidecar) start(t *testing.T) *rig.Daemon {
	t.Helper()
	s.seed++
	d, err := s.site.StartSuccessor(s.seed, s.socket, s.shared)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop() })
	return d
}

// Three upgrades under load: every call of every class has one answer and none runs
// twice, and what operators do meanwhile, by calls to either process, holds for both.
func TestUpgradeUnderLoad(t *testing.T) {
	s := newSidecar(t, 4)
	d := s.start(t)
	quit := make(chan struct{})
	var wg sync.WaitGroup
	classes := rig.Patient()
	var ended [6]atomic.Int64
	for n := range ended {
		wg.Go(func() {
			c := standin.NewClient(d.Addr)
			defer c.Close()
			class := standin.Class{Name: classes[n%3].Name, Effect: classes[n%3].Effect}
			for k := 0; ; k++ {
				select {
				case <-quit:
					return
				default:
				}
				a := standin.Ask{ID: fmt.Sprintf("%d-%d", n, k), Class: class}
				if class.Effect == standin.Keyed {
					a.Key = a.ID
				}
				if r := c.Do(context.Background(), a); r.Verdict() != "served" {
					t.Errorf("%s of %s: %s, %v", a.ID, class.Name, r.Verdict(), r.Err)
				}
				ended[n].Add(1)
			}
		})
	}
	settles(t, "s1 is never used", func() bool { return came(s.site, "s1") > 10 })
	yes(t, d.Management, "DISABLE s1")
	out := []string{"s1"}
	for round := range 3 {
		next := s.start(t)
		if got := operate(t, next.Management, "READY"); got != "YES\n" {
			t.Errorf("READY after the start: %q", got)
		}
		// Both serve: one more goes out by a call to the old process or to the new one.
		asked := []*rig.Daemon{d, next}[round%2]
		server := fmt.Sprintf("s%d", round+2)
		if round < 2 {
			yes(t, asked.Management, "DISABLE "+server)
			out = append(out, server)
		}
		for _, p := range []*rig.Daemon{d, next} {
			settles(t, "a process did not hear of servers that are out", func() bool { return figure(t, p.Management, "ejected") == len(out) })
		}
		for n := range ended { // what was on its way has ended when the call after it has begun
			had := ended[n].Load()
			settles(t, "a client's calls don't end", func() bool { return ended[n].Load() > had })
		}
		before := make(map[string]int)
		for _, id := range out {
			before[id] = came(s.site, id)
		}
		if err := d.Stop(); err != nil {
			t.Errorf("the old process ends with %v", err)
		}
		d = next
		served := figure(t, d.Management, "forwards")
		settles(t, "the new process does not serve", func() bool { return figure(t, d.Management, "forwards") > served+50 })
		for id, n := range before {
			if now := came(s.site, id); now != n {
				t.Errorf("round %d: %s got %d while it was out", round, id, now-n)
			}
		}
	}
	yes(t, d.Management, "ENABLE s1")
	n := came(s.site, "s1")
	settles(t, "s1 is not used after the call back", func() bool { return came(s.site, "s1") > n })
	close(quit)
	wg.Wait()
	for id, c := range s.site.Ledger.IDs() {
		if c.Effects > 1 {
			t.Errorf("%s took effect %d times", id, c.Effects)
		}
	}
}

// A drain goes on over an upgrade, and so does its end; servers that are out stay out
// for a process that follows one that was killed.
func TestDrainOverAnUpgrade(t *testing.T) {
	s := newSidecar(t, 2)
	d := s.start(t)
	yes(t, d.Management, "DISABLE s2")
	yes(t, d.Management, "DRAIN")
	next := s.start(t)
	yes(t, next.Management, "READY")
	if n := figure(t, next.Management, "ejected"); n != 1 {
		t.Errorf("%d ejected by the new process", n)
	}
	if err := d.Stop(); err != nil {
		t.Fatal(err)
	}
	if got := health(t, next.Addr); got != 503 {
		t.Errorf("the new process says %d in a drain", got)
	}
	yes(t, next.Management, "UNDRAIN")
	if got := health(t, next.Addr); got != 200 {
		t.Errorf("the new process says %d after it", got)
	}
	if err := next.Stop(); err != nil {
		t.Fatal(err)
	}
	last := s.start(t) // with nobody there to ask
	if n := figure(t, last.Management, "ejected"); n != 1 {
		t.Errorf("%d ejected by a process that follows later", n)
	}
}

// A file that another version wrote, or half of one, leaves a start as it would be.
func TestSpoiltHandover(t *testing.T) {
	s := newSidecar(t, 2)
	d := s.start(t)
	yes(t, d.Management, "DISABLE s2")
	d.Stop()
	files, err := filepath.Glob(filepath.Join(s.shared, "*", "done"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%q, %v", files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files[0], text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	d = s.start(t)
	serves(t, d.Addr)
	if n := figure(t, d.Management, "ejected"); n != 0 {
		t.Errorf("%d ejected by half a file", n)
	}
}

// A descriptor that is none, or does not listen, is refused by its name.
func TestBadDescriptor(t *testing.T) {
	s := newSidecar(t, 1)
	c, err := net.Dial("tcp", s.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	f, err := c.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, fd := range []string{"2", "x", "-1", "999983", fmt.Sprint(f.Fd())} {
		if err := s.site.Refused(map[string]string{"BALANCER_FD": fd}); err == nil || !strings.Contains(err.Error(), "BALANCER_FD") {
			t.Errorf("descriptor %s: %v", fd, err)
		}
	}
}
