package consensus

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/agreement"
)

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
			for _, sidecar := range sidecars {
				if sidecar.activeVersion() != version {
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
	isLax := func(sidecar *testSidecar) bool { return sidecar.level() < 2 }
	waitUntil(t, "all other sidecars apply level 2", func() bool {
		for n, sidecar := range sidecars {
			if n != 3 && isLax(sidecar) {
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
	sidecar := g.startSidecar("car", 0)
	waitUntil(t, "the sidecar has a lease", func() bool { return sidecar.activeVersion() == 1 && sidecar.level() == 0 })
	for _, p := range g.procs {
		g.killProcess(p)
	}
	waitUntil(t, "the sidecar applies the strictest level", func() bool { return sidecar.level() == agreement.LevelOnce })
	for _, p := range g.procs {
		g.startProcess(p)
	}
	waitUntil(t, "the sidecar has a lease again", func() bool { return sidecar.level() == 0 })
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
	waitUntil(t, "the sidecar applies the strictest level again", func() bool { return sidecar.level() == agreement.LevelOnce })
}

// A leader that is suspended and resumed after another member has become leader must grant no lease
// from its old state. A proposal that a sidecar rejects ends with the sidecar's reason.
func TestSuspendedLeaderGrantsNoLease(t *testing.T) {
	t.Parallel()
	g := startCouncil(t, 3)
	if _, err := g.propose(0, level("k1", 0)); err != nil {
		t.Fatal(err)
	}
	sidecar := g.startSidecar("car", 0)
	waitUntil(t, "the sidecar has a lease", func() bool { return sidecar.activeVersion() == 1 })
	old := g.awaitLeader(10 * time.Second)
	old.cmd.Process.Signal(syscall.SIGSTOP)
	waitUntil(t, "another member leads", func() bool { return isLeading(g.otherMembers(old)[0]) || isLeading(g.otherMembers(old)[1]) })
	if st, err := g.propose(1, level("k2", 2)); err != nil || st.Pending == nil && st.InForce.Version != 2 {
		t.Fatalf("status %+v, error %v, want version 2 in force or pending", st, err)
	}
	waitUntil(t, "version 2 is active at the sidecar", func() bool { return sidecar.activeVersion() == 2 })
	// Requests wait in the old leader's socket when it resumes. They come from a sidecar that it
	// knows, with the version active that was in force when it was suspended: it must not grant a
	// lease without a majority.
	sidecar.mu.Lock()
	r := agreement.Request{Sidecar: "car", Incarnation: sidecar.incarnation, Seq: 1, ActiveVersion: 1}
	sidecar.mu.Unlock()
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
	sidecar.mu.Lock()
	sidecar.rejectReason = "class a can't be that"
	sidecar.mu.Unlock()
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
