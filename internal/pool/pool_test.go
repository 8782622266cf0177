package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkrack"
)

func serving(p *Pool) string {
	var all []string
	for _, e := range p.List().Entries {
		if e.State == chalkrack.Serving {
			all = append(all, e.Name)
		}
	}
	return strings.Join(all, " ")
}

// Checks take members down and bring them up by their rows, backups step in only for all
// the others, and one that comes up counts as just started.
func TestChecks(t *testing.T) {
	p, err := New([]Member{{Name: "a", Address: "x"}, {Name: "b", Address: "x", Weight: 3}, {Name: "s", Address: "x", Backup: true}}, Checks{Every: time.Second, Rise: 2, Fall: 3})
	if err != nil {
		t.Fatal(err)
	}
	for n, c := range []struct {
		result  string
		changed bool
		want    string
	}{
		{"a+", false, "a b"}, {"b-", true, "a"}, // the first result counts at once
		{"a-", false, "a"}, {"a-", false, "a"}, {"a+", false, "a"}, // a row that breaks
		{"a-", false, "a"}, {"a-", false, "a"}, {"a-", true, "s"},
		{"s-", true, ""}, {"b+", false, ""}, {"b-", false, ""}, {"b+", false, ""}, {"b+", true, "b"},
		{"s+", false, "b"}, {"s+", true, "b"}, {"x+", false, "b"},
	} {
		now := time.Duration(n+1) * time.Second
		if got := p.Result(now, c.result[:1], c.result[1] == '+'); got != c.changed || serving(p) != c.want {
			t.Errorf("step %d, %s: changed %v, serving %q, want %q", n, c.result, got, serving(p), c.want)
		}
	}
	if e := p.List().Entries[1]; e.Started != 13*time.Second || e.Hint != 3 {
		t.Errorf("%+v", e)
	}
	if !p.Drain("b", true) || serving(p) != "s" || p.Drain("none", true) {
		t.Errorf("drained: %q", serving(p))
	}
	if v := p.View(); !v[1].Up || v[1].Serving || !v[2].Serving {
		t.Errorf("%+v", v)
	}
}

func TestBadPools(t *testing.T) {
	m := Member{Name: "a", Address: "x"}
	for _, c := range []struct {
		members []Member
		checks  Checks
		want    string
	}{
		{nil, Checks{}, "servers"}, {[]Member{m, m}, Checks{}, "servers[1].name"}, {[]Member{{Name: "a"}}, Checks{}, "servers[0].address"},
		{[]Member{{Name: "a", Address: "x", Weight: -1}}, Checks{}, "weight"}, {[]Member{m}, Checks{Every: 1}, "rise"}, {[]Member{m}, Checks{Every: -1}, "every"},
	} {
		if _, err := New(c.members, c.checks); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// Whatever checks say: a backup serves only while no other does, nobody serves who is
// down, and every member is on the list.
func TestAnyResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		n := rapid.IntRange(1, 6).Draw(t, "members")
		for i := range n {
			members = append(members, Member{Name: fmt.Sprint(i), Address: "x", Backup: rapid.Bool().Draw(t, "backup")})
		}
		p, err := New(members, Checks{Every: 1, Rise: rapid.IntRange(1, 3).Draw(t, "rise"), Fall: rapid.IntRange(1, 3).Draw(t, "fall")})
		if err != nil {
			t.Fatal(err)
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := serving(p)
			changed := p.Result(time.Duration(step), fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "who")), rapid.Bool().Draw(t, "ok"))
			if !changed && serving(p) != before {
				t.Fatal("another list, untold")
			}
			l := p.List()
			if len(l.Entries) != n || !l.Whole {
				t.Fatalf("%d of %d", len(l.Entries), n)
			}
			first, backups, up := 0, 0, 0
			for _, v := range p.View() {
				switch {
				case v.Serving && !v.Up:
					t.Fatalf("%s is down and serves", v.Name)
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
				t.Fatalf("%d and %d backups serve, %d are up", first, backups, up)
			}
		}
	})
}
