package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack"
	"chalkrack/internal/membership"
)

// serving returns the whole list with the backups that are held back, and a test for its servers.
func serving(p *Pool) (*membership.List, func(name string) bool) {
	s := p.NewStandby()
	return s.Apply(p.List()), s.IsServing
}

func servingNames(p *Pool) string {
	var all []string
	l, _ := serving(p)
	for _, e := range l.Entries {
		if e.State == chalkrack.Serving {
			all = append(all, e.Name)
		}
	}
	return strings.Join(all, " ")
}

// Rise and Fall consecutive results change a member's state, a backup serves only while no
// other member does, and a member that comes up counts as just started.
func TestResultsChangeServingMembers(t *testing.T) {
	p, err := New([]Member{{Name: "a", Address: "x"}, {Name: "b", Address: "x", Weight: 3}, {Name: "s", Address: "x", Backup: true}}, Checks{Interval: time.Second, Rise: 2, Fall: 3})
	if err != nil {
		t.Fatal(err)
	}
	for n, c := range []struct {
		result  string
		changed bool
		want    string
	}{
		{"a+", false, "a b"}, {"b-", true, "a"}, // the first result takes effect at once
		{"a-", false, "a"}, {"a-", false, "a"}, {"a+", false, "a"}, // a pass resets the streak
		{"a-", false, "a"}, {"a-", false, "a"}, {"a-", true, "s"},
		{"s-", true, ""}, {"b+", false, ""}, {"b-", false, ""}, {"b+", false, ""}, {"b+", true, "b"},
		{"s+", false, "b"}, {"s+", true, "b"}, {"x+", false, "b"},
	} {
		now := time.Duration(n+1) * time.Second
		if got := p.RecordResult(now, c.result[:1], c.result[1] == '+'); got != c.changed || servingNames(p) != c.want {
			t.Errorf("step %d, %s: changed %v, serving %q, want %q", n, c.result, got, servingNames(p), c.want)
		}
	}
	if e := p.List().Entries[1]; e.Started != 13*time.Second || e.Hint != 3 {
		t.Errorf("entry of b: %+v, want started at 13s with hint 3", e)
	}
	if !p.SetDraining("b", true) || servingNames(p) != "s" || p.SetDraining("none", true) {
		t.Errorf("serving %q after draining b, want s; or an unknown member was drained", servingNames(p))
	}
	_, isServing := serving(p)
	if v := p.View(isServing); !v[1].Up || v[1].Serving || !v[2].Serving {
		t.Errorf("views %+v, want b up and not serving, s serving", v)
	}
}

// Each invalid setting is rejected with an error that names it.
func TestNewRejectsInvalidPools(t *testing.T) {
	m := Member{Name: "a", Address: "x"}
	for _, c := range []struct {
		members []Member
		checks  Checks
		want    string
	}{
		{nil, Checks{}, "servers"}, {[]Member{m, m}, Checks{}, "servers[1].name"}, {[]Member{{Name: "a"}}, Checks{}, "servers[0].address"},
		{[]Member{{Name: "a", Address: "x", Weight: -1}}, Checks{}, "weight"}, {[]Member{m}, Checks{Interval: 1}, "rise"}, {[]Member{m}, Checks{Interval: -1}, "every"},
	} {
		if _, err := New(c.members, c.checks); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: got error %v", c, err)
		}
	}
}

// For random check results, a backup serves only while no other member does, no member
// that is down serves, some member serves if any is up, every member is listed, and the
// serving members change only when RecordResult reports a change.
func TestRandomResultsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		n := rapid.IntRange(1, 6).Draw(t, "members")
		for i := range n {
			members = append(members, Member{Name: fmt.Sprint(i), Address: "x", Backup: rapid.Bool().Draw(t, "backup")})
		}
		p, err := New(members, Checks{Interval: 1, Rise: rapid.IntRange(1, 3).Draw(t, "rise"), Fall: rapid.IntRange(1, 3).Draw(t, "fall")})
		if err != nil {
			t.Fatal(err)
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := servingNames(p)
			changed := p.RecordResult(time.Duration(step), fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "who")), rapid.Bool().Draw(t, "ok"))
			if !changed && servingNames(p) != before {
				t.Fatal("the serving members changed although RecordResult reported no change")
			}
			l, isServing := serving(p)
			if len(l.Entries) != n || !l.Complete {
				t.Fatalf("the list has %d entries of %d members, or is not whole", len(l.Entries), n)
			}
			first, backups, up := 0, 0, 0
			for _, v := range p.View(isServing) {
				switch {
				case v.Serving && !v.Up:
					t.Fatalf("member %s is down and serving", v.Name)
				case v.Serving && v.Backup:
					backups++
				case v.Serving:
					first++
				}
				if v.Up {
					up++
				}
			}
			if first > 0 && backups > 0 || up > 0 && first+backups == 0 {
				t.Fatalf("%d regular members and %d backups serve, %d members are up", first, backups, up)
			}
		}
	})
}

// Guards against a pool without service: a backup serves while operators, and not checks, have taken
// the other members out, one after the other, and is held back as soon as one of them is there again.
func TestBackupServesForMembersOutByHand(t *testing.T) {
	p, err := New([]Member{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}, {Name: "s", Address: "z", Backup: true}}, Checks{})
	if err != nil {
		t.Fatal(err)
	}
	s := p.NewStandby()
	listed := p.List().Entries
	s.Apply(&membership.List{Complete: true, Entries: listed})
	for _, step := range []struct {
		member int
		state  chalkrack.State
		want   string
	}{
		{0, chalkrack.Draining, "b"}, {1, chalkrack.Draining, "s"}, {2, chalkrack.Draining, ""},
		{2, chalkrack.Serving, "s"}, {0, chalkrack.Serving, "a"}, {1, chalkrack.Serving, "a b"},
	} {
		e := listed[step.member]
		e.State = step.state
		l := s.Apply(&membership.List{Entries: []membership.Entry{e}})
		var all []string
		for _, e := range l.Entries {
			if (e.State == chalkrack.Serving) != s.IsServing(e.Name) {
				t.Errorf("%s: state %v, serving %v", e.Name, e.State, s.IsServing(e.Name))
			}
			if e.State == chalkrack.Serving {
				all = append(all, e.Name)
			}
		}
		if got := strings.Join(all, " "); got != step.want || !l.Complete || len(l.Entries) != 3 {
			t.Errorf("%+v: %q serve, want %q", step, got, step.want)
		}
	}
}
