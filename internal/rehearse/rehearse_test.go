package rehearse

import (
	"strings"
	"testing"

	"chalkrack/internal/load"
)

// Every scenario of the library is sound.
func TestLibrary(t *testing.T) {
	if n := len(Names()); n < 5 {
		t.Fatalf("%d scenarios", n)
	}
	for _, name := range Names() {
		s, err := Read(name)
		if err != nil || s.Site == nil || s.About == "" || s.Aims.Earned == 0 {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
	}
	if _, err := Read("no-such-day"); err == nil || !strings.Contains(err.Error(), "quiet-day") {
		t.Errorf("%v", err)
	}
}

const short = `
version = 1
name = "short"
seed = 4
length = "3s"
[[arrivals]]
kind = "constant"
rate = 40
[[classes]]
name = "status-check"
share = 1.0
effect = "safe"
aim = "10s"
deadline = "20s"
worth = 1.0
[[classes]]
name = "activate"
share = 1.0
effect = "once"
aim = "10s"
deadline = "20s"
worth = 10.0
[limits]
lag = "10s"
cpu = 1000.0
[site]
servers = 4
zones = ["a", "b"]
work_from = "1ms"
work_to = "5ms"
[[events]]
at = "500ms"
do = "kill"
zone = "b"
[[events]]
at = "1s"
do = "drain"
servers = [1]
[[events]]
at = "1500ms"
do = "restart"
zone = "b"
[[events]]
at = "2s"
do = "freeze"
servers = [3]
[[events]]
at = "2200ms"
do = "thaw"
servers = [3]
`

// A rehearsal plays its events under load, and every rule is kept and said to be,
// whoever decides on the calls.
func TestRehearsal(t *testing.T) {
	for _, by := range []By{ByDaemon, ByPlugin, ByBoth} {
		t.Run(string(by), func(t *testing.T) {
			t.Parallel()
			s, err := load.ParseScenario([]byte(short))
			if err != nil {
				t.Fatal(err)
			}
			var notes []string
			rep, err := Run(t.Context(), s, by, nil, func(text string) { notes = append(notes, text) })
			if err != nil {
				t.Fatal(err)
			}
			if rep.Sent != 120 || len(notes) != 7 {
				t.Errorf("%d sent, notes %q", rep.Sent, notes)
			}
			for _, f := range rep.Judged {
				if !f.Kept {
					t.Errorf("%+v", f)
				}
			}
		})
	}
}

// What breaks a rule is found: calls without an answer, and an effect that happens
// twice.
func TestJudgeFinds(t *testing.T) {
	s, err := load.ParseScenario([]byte(short))
	if err != nil {
		t.Fatal(err)
	}
	s.Events = nil
	s.Aims.Earned = 1
	s.Length /= 10
	rep, err := Run(t.Context(), s, ByDaemon, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	rep.Classes[0].None, rep.Earned = 1, 0.5
	r := &rehearsal{s: s, site: nil}
	if r.site, err = newSite(s); err != nil {
		t.Fatal(err)
	}
	defer r.site.Close()
	r.site.Ledger.Book("x", "activate", "")
	r.site.Ledger.Book("x-1", "activate", "")
	broken := 0
	for _, f := range r.judge(rep) {
		if !f.Kept {
			broken++
		}
	}
	if broken != 3 { // no answer, twice, earned
		t.Errorf("%+v", r.judge(rep))
	}
}
