package consensus

import (
	"context"
	"testing"
	"time"

	"chalkrack/internal/agreement"
)

// otherMembers returns all members but p.
func (g *testCouncil) otherMembers(p *proc) (all []*proc) {
	for _, q := range g.procs {
		if q != p {
			all = append(all, q)
		}
	}
	return all
}

// commitVersions has the council commit a number of versions from base on, and fails the test if
// that takes too long.
func (g *testCouncil) commitVersions(base *uint64, count int, timeout time.Duration) {
	g.t.Helper()
	began := time.Now()
	for range count {
		if _, err := g.propose(*base, level(string(rune('a'+*base)), *base%3)); err != nil {
			g.t.Fatal(err)
		}
		*base++
	}
	if took := time.Since(began); took > timeout {
		g.t.Errorf("%d versions took too long: %v", count, took)
	}
}

// Links between members fail in one direction or in both. A leader that still reaches one other
// member must stay leader. A member that receives nothing but can send must not depose the leader,
// and must come back without an election. A leader that receives nothing must step down, and
// another member must become leader.
func TestLinksBetweenMembers(t *testing.T) {
	t.Parallel()
	g := startCouncil(t, 3)
	base := uint64(0)
	g.commitVersions(&base, 2, 20*time.Second)
	requireLeader := func(condition string, leader *proc, period time.Duration) {
		t.Helper()
		for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			c := clientOf(leader)
			st, err := c.Status(ctx)
			c.Close()
			cancel()
			if err != nil || !st.IsLeader {
				t.Fatalf("%s: %s is no longer the leader, error %v", condition, leader.name, err)
			}
		}
	}
	lead := g.awaitLeader(20 * time.Second)
	a, b := g.otherMembers(lead)[0], g.otherMembers(lead)[1]
	// The link between the leader and one other member is cut in both directions.
	g.setCut(lead, b, true)
	g.setCut(b, lead, true)
	requireLeader("leader cut off from one member", lead, 2*time.Second)
	g.commitVersions(&base, 2, 20*time.Second)
	g.setCut(lead, b, false)
	g.setCut(b, lead, false)
	// One member receives nothing, but the others receive its messages.
	g.setCut(lead, b, true)
	g.setCut(a, b, true)
	requireLeader("one member receives nothing", lead, 2*time.Second)
	g.commitVersions(&base, 2, 20*time.Second)
	g.setCut(lead, b, false)
	g.setCut(a, b, false)
	requireLeader("links restored", lead, time.Second)
	// The leader receives nothing, but the others receive its messages.
	g.setCut(a, lead, true)
	g.setCut(b, lead, true)
	waitUntil(t, "another member leads", func() bool { return isLeading(a) || isLeading(b) })
	g.commitVersions(&base, 2, 30*time.Second)
	g.setCut(a, lead, false)
	g.setCut(b, lead, false)
	g.commitVersions(&base, 1, 20*time.Second)
}

// Responses reach one sidecar three seconds late, which is longer than a lease, so they must not
// give it a lease. It must apply the strictest level throughout, also while a version with a lower
// level comes into force, and recover once the delay ends.
func TestDelayedResponsesGrantNoLease(t *testing.T) {
	t.Parallel()
	g := startCouncil(t, 3)
	base := uint64(0)
	g.commitVersions(&base, 1, 20*time.Second) // level 0
	addrs := make(map[string]string)
	for _, p := range g.procs {
		addrs[p.name] = g.addLink("old", p).Addr()
	}
	slow := g.startSidecar("old", 0)
	slow.c.Close()
	slow.setClient(NewClient(testKey, 0, addrs))
	other := g.startSidecar("well", 1)
	waitUntil(t, "both sidecars have a lease", func() bool { return slow.level() == 0 && other.level() == 0 })
	for _, p := range g.procs {
		g.links[[2]string{"old", p.name}].SetDelay(3 * time.Second)
	}
	waitUntil(t, "the delayed sidecar applies the strictest level", func() bool { return slow.level() == agreement.LevelOnce })
	g.commitVersions(&base, 1, 20*time.Second) // level 1
	waitUntil(t, "the new version is active at the other sidecar", func() bool { return other.activeVersion() == base })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if now := slow.level(); now != agreement.LevelOnce {
			t.Fatalf("the delayed sidecar applies level %d after a response older than its lease", now)
		}
	}
	for _, p := range g.procs {
		g.links[[2]string{"old", p.name}].SetDelay(0)
	}
	waitUntil(t, "the delayed sidecar has a lease and the version in force active", func() bool { return slow.activeVersion() == base && slow.level() == 1 })
}
