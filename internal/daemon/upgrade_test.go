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

// sidecar is a listening socket that the platform holds, and the folder that successive processes
// share.
type sidecar struct {
	site   *rig.Site
	socket *net.TCPListener
	duties string
	seed   uint64
}

func newSidecar(t *testing.T, servers int) *sidecar {
	t.Helper()
	site := newManagedSite(t, servers, 0, 5*time.Millisecond)
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
	d, err := s.site.StartDaemonOnSocket(s.seed, s.socket, s.duties, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop() })
	return d
}

// Three upgrades under load: every call of every class is answered once and none takes effect
// twice. Management commands to either process during an upgrade apply to both.
func TestUpgradesUnderLoad(t *testing.T) {
	s := newSidecar(t, 4)
	d := s.start(t)
	quit := make(chan struct{})
	var wg sync.WaitGroup
	classes := rig.LongDeadlineClasses()
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
				a := standin.ClientRequest{ID: fmt.Sprintf("%d-%d", n, k), Class: class}
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
	waitUntil(t, "s1 is never used", func() bool { return receivedAttempts(s.site, "s1") > 10 })
	requireYes(t, d.ManagementAddr, "DISABLE s1")
	out := []string{"s1"}
	for round := range 3 {
		next := s.start(t)
		if got := sendCommand(t, next.ManagementAddr, "READY"); got != "YES\n" {
			t.Errorf("READY after the start: %q", got)
		}
		// Both processes serve: a command to the old or the new one disables another server.
		asked := []*rig.Daemon{d, next}[round%2]
		server := fmt.Sprintf("s%d", round+2)
		if round < 2 {
			requireYes(t, asked.ManagementAddr, "DISABLE "+server)
			out = append(out, server)
		}
		for _, p := range []*rig.Daemon{d, next} {
			waitUntil(t, "a process did not learn of the disabled servers", func() bool { return readFigure(t, p.ManagementAddr, "ejected") == len(out) })
		}
		for n := range ended { // once a client's next call ends, its earlier calls have ended
			had := ended[n].Load()
			waitUntil(t, "a client's calls don't end", func() bool { return ended[n].Load() > had })
		}
		before := make(map[string]int)
		for _, id := range out {
			before[id] = receivedAttempts(s.site, id)
		}
		if err := d.Stop(); err != nil {
			t.Errorf("the old process exited with %v", err)
		}
		d = next
		served := readFigure(t, d.ManagementAddr, "forwards")
		waitUntil(t, "the new process does not serve", func() bool { return readFigure(t, d.ManagementAddr, "forwards") > served+50 })
		for id, n := range before {
			if now := receivedAttempts(s.site, id); now != n {
				t.Errorf("round %d: %s got %d attempts while disabled", round, id, now-n)
			}
		}
	}
	requireYes(t, d.ManagementAddr, "ENABLE s1")
	n := receivedAttempts(s.site, "s1")
	waitUntil(t, "s1 is not used after ENABLE", func() bool { return receivedAttempts(s.site, "s1") > n })
	close(quit)
	wg.Wait()
	for id, c := range s.site.Ledger.RequestCounts() {
		if c.Effects > 1 {
			t.Errorf("%s took effect %d times", id, c.Effects)
		}
	}
}

// A drain continues in the new process of an upgrade until UNDRAIN. Disabled servers stay disabled
// in a process that starts after the last one has stopped.
func TestDrainOutlivesUpgrade(t *testing.T) {
	s := newSidecar(t, 2)
	d := s.start(t)
	requireYes(t, d.ManagementAddr, "DISABLE s2")
	requireYes(t, d.ManagementAddr, "DRAIN")
	next := s.start(t)
	requireYes(t, next.ManagementAddr, "READY")
	if n := readFigure(t, next.ManagementAddr, "ejected"); n != 1 {
		t.Errorf("%d ejected in the new process, want 1", n)
	}
	if err := d.Stop(); err != nil {
		t.Fatal(err)
	}
	if got := healthStatus(t, next.Addr); got != 503 {
		t.Errorf("health check of the new process in a drain: %d", got)
	}
	requireYes(t, next.ManagementAddr, "UNDRAIN")
	if got := healthStatus(t, next.Addr); got != 200 {
		t.Errorf("health check of the new process after UNDRAIN: %d", got)
	}
	if err := next.Stop(); err != nil {
		t.Fatal(err)
	}
	last := s.start(t) // while no other process runs
	if n := readFigure(t, last.ManagementAddr, "ejected"); n != 1 {
		t.Errorf("%d ejected in a later process, want 1", n)
	}
}

// A handover file that cannot be read, such as a truncated one, is ignored: the process starts as
// without it.
func TestTruncatedHandoverIsIgnored(t *testing.T) {
	s := newSidecar(t, 2)
	d := s.start(t)
	requireYes(t, d.ManagementAddr, "DISABLE s2")
	d.Stop()
	files, err := filepath.Glob(filepath.Join(s.duties, "*", "done"))
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
	checkServesTwoCalls(t, d.Addr)
	if n := readFigure(t, d.ManagementAddr, "ejected"); n != 0 {
		t.Errorf("%d ejected from a truncated file, want 0", n)
	}
}

// An invalid descriptor, or one that does not listen, is rejected with an error that names
// BALANCER_FD.
func TestInvalidDescriptorIsRejected(t *testing.T) {
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
		if err := s.site.StartError(map[string]string{"BALANCER_FD": fd}); err == nil || !strings.Contains(err.Error(), "BALANCER_FD") {
			t.Errorf("descriptor %s: %v", fd, err)
		}
	}
}
