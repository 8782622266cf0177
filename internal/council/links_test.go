package council

import (
	"context"
	"testing"
	"time"

	"chalkrack/internal/agreed"
)

// others are the members beside one.
func (g *group) others(p *proc) (all []*proc) {
	for _, q := range g.procs {
		if q != p {
			all = append(all, q)
		}
	}
	return all
}

// agrees has so many versions agreed on within a time.
func (g *group) agrees(base *uint64, many int, most time.Duration) {
	g.t.Helper()
	began := time.Now()
	for range many {
		if _, err := g.propose(*base, level(string(rune('a'+*base)), *base%3)); err != nil {
			g.t.Fatal(err)
		}
		*base++
	}
	if took := time.Since(began); took > most {
		g.t.Errorf("%d versions took %v", many, took)
	}
}

// Links between members fail in one direction or both. A leader that reaches one other goes on;
// one that hears nobody gives the lead up, and another leads; a member that can't hear but is heard
// deposes nobody; one that is cut off comes back without an election.
func TestLinksBetweenMembers(t *testing.T) {
	t.Parallel()
	g := convene(t, 3)
	base := uint64(0)
	g.agrees(&base, 2, 20*time.Second)
	stays := func(what string, lead *proc, most time.Duration) {
		t.Helper()
		for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			c := one(lead)
			st, err := c.Status(ctx)
			c.Close()
			cancel()
			if err != nil || !st.Leads {
				t.Fatalf("%s: %s leads no more, %v", what, lead.name, err)
			}
		}
	}
	lead := g.leader(20 * time.Second)
	a, b := g.others(lead)[0], g.others(lead)[1]
	// The leader is cut from one of the others.
	g.cut(lead, b, true)
	g.cut(b, lead, true)
	stays("cut from one", lead, 2*time.Second)
	g.agrees(&base, 2, 20*time.Second)
	g.cut(lead, b, false)
	g.cut(b, lead, false)
	// One hears nobody, and is heard.
	g.cut(lead, b, true)
	g.cut(a, b, true)
	stays("one that can't hear", lead, 2*time.Second)
	g.agrees(&base, 2, 20*time.Second)
	g.cut(lead, b, false)
	g.cut(a, b, false)
	stays("whole again", lead, time.Second)
	// The leader hears nobody, and is heard.
	g.cut(a, lead, true)
	g.cut(b, lead, true)
	until(t, "another leads", func() bool { return leads(a) || leads(b) })
	g.agrees(&base, 2, 30*time.Second)
	g.cut(a, lead, false)
	g.cut(b, lead, false)
	g.agrees(&base, 1, 20*time.Second)
}

// What the council has said comes to one sidecar three seconds late, longer than its lease: it has
// no lease by it and acts on the stricter, also while the others act on a laxer version, and never
// on less than what is in force.
func TestAnswersThatAreOld(t *testing.T) {
	t.Parallel()
	g := convene(t, 3)
	base := uint64(0)
	g.agrees(&base, 1, 20*time.Second) // level 0
	at := make(map[string]string)
	for _, p := range g.procs {
		at[p.name] = g.link("old", p).Addr()
	}
	slow := g.car("old", 0)
	slow.c.Close()
	slow.reach(NewClient(testKey, 0, at))
	well := g.car("well", 1)
	until(t, "both leased", func() bool { return slow.level() == 0 && well.level() == 0 })
	for _, p := range g.procs {
		g.links[[2]string{"old", p.name}].SetDelay(3 * time.Second)
	}
	until(t, "without a lease", func() bool { return slow.level() == agreed.LevelOnce })
	g.agrees(&base, 1, 20*time.Second) // level 1
	until(t, "the other acts on it", func() bool { return well.acts() == base })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if now := slow.level(); now != agreed.LevelOnce {
			t.Fatalf("it acts on level %d by an answer that is older than its lease", now)
		}
	}
	for _, p := range g.procs {
		g.links[[2]string{"old", p.name}].SetDelay(0)
	}
	until(t, "leased again, on the version in force", func() bool { return slow.acts() == base && slow.level() == 1 })
}
