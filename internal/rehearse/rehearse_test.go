package rehearse

import (
	"strings"
	"testing"

	"chalkrack/internal/load"
)

// Guards against library scenarios that do not parse or lack a site, a description or an aim, and
// against an error for an unknown name that does not list the library.
func TestLibraryScenariosAreValid(t *testing.T) {
	if n := len(ScenarioNames()); n < 5 {
		t.Fatalf("%d scenarios, want at least 5", n)
	}
	for _, name := range ScenarioNames() {
		s, err := ReadScenario(name)
		if err != nil || s.Site == nil || s.About == "" || s.Aims.Earned == 0 {
			t.Errorf("scenario %s: %+v, %v", name, s, err)
		}
	}
	if _, err := ReadScenario("no-such-day"); err == nil || !strings.Contains(err.Error(), "quiet-day") {
		t.Errorf("unknown scenario: %v, want an error that names quiet-day", err)
	}
}

const shortScenario = `
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

// Guards against events that are not applied under load and against rules that a sound run breaks,
// with the daemon, the plug-in or both deciding on the calls.
func TestRehearsalKeepsTheRules(t *testing.T) {
	for _, callPath := range []CallPath{ViaDaemon, ViaPlugin, ViaPluginAndDaemon} {
		t.Run(string(callPath), func(t *testing.T) {
			t.Parallel()
			scenario, err := load.ParseScenario([]byte(shortScenario))
			if err != nil {
				t.Fatal(err)
			}
			var notes []string
			report, err := Run(t.Context(), scenario, callPath, nil, func(text string) { notes = append(notes, text) })
			if err != nil {
				t.Fatal(err)
			}
			if report.Sent != 120 || len(notes) != 7 {
				t.Errorf("%d calls sent, notes %q; want 120 calls and 7 notes", report.Sent, notes)
			}
			for _, f := range report.Judged {
				if !f.Kept {
					t.Errorf("rule not kept: %+v", f)
				}
			}
		})
	}
}

// Guards against broken rules that the findings do not report: a call without an answer, an effect
// that happens twice, and too little worth earned.
func TestJudgeReportsBrokenRules(t *testing.T) {
	scenario, err := load.ParseScenario([]byte(shortScenario))
	if err != nil {
		t.Fatal(err)
	}
	scenario.Events = nil
	scenario.Aims.Earned = 1
	scenario.Length /= 10
	report, err := Run(t.Context(), scenario, ViaDaemon, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	report.Classes[0].NoAnswer, report.Earned = 1, 0.5
	run := &rehearsal{scenario: scenario, site: nil}
	if run.site, err = newSite(scenario); err != nil {
		t.Fatal(err)
	}
	defer run.site.Close()
	run.site.Ledger.Record("x", "activate", "")
	run.site.Ledger.Record("x-1", "activate", "")
	broken := 0
	for _, f := range run.judge(report) {
		if !f.Kept {
			broken++
		}
	}
	if broken != 3 { // unanswered call, repeated effect, worth earned
		t.Errorf("want 3 broken rules: %+v", run.judge(report))
	}
}
