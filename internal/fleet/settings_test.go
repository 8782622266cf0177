package fleet

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/duration"
)

// pushedFeatures returns the features of sidecars whose configuration may change while they run,
// and that assign calls to /a to a class.
func pushedFeatures(class string) string {
	return "[admin]\nsocket = \"@SOCKET@\"\n[config]\nenabled = true\nbake = \"300ms\"\n[paths]\n\"/a\" = \"" + class + "\"\n"
}

// Measures how configuration changes behave without an agreement among the sidecars: a script
// pushes a change to eight sidecars one after the other. By the old settings calls to /a may run
// again, by the new ones they must not. In the cases one sidecar is stopped, one restarts with the
// old file, the script dies, or one is down when its push comes. Runs only with FAWN_BASELINE set,
// and logs for how long some sidecars follow the old settings and some the new ones.
func TestPushOneByOne(t *testing.T) {
	if os.Getenv("FAWN_BASELINE") == "" {
		t.Skip("by hand: FAWN_BASELINE=1 go test ./internal/fleet -run PushOneByOne -v")
	}
	for name, fault := range map[string]Fault{
		"no fault":        {Kind: Marker},
		"one stopped":     {Kind: Stop, On: "sidecar:5", At: duration.Duration(900 * time.Millisecond), For: duration.Duration(5 * time.Second)},
		"one restarts":    {Kind: Kill, On: "sidecar:5", At: duration.Duration(2500 * time.Millisecond), For: duration.Duration(time.Second)},
		"the script dies": {Kind: Marker},
		"one is down":     {Kind: Kill, On: "sidecar:5", At: duration.Duration(900 * time.Millisecond), For: duration.Duration(3 * time.Second)},
	} {
		s := shippedSchedule(t, "zone-vanishes")
		s.Sidecars, s.QuietSidecars, s.Length, s.Features = 8, 2, duration.Duration(10*time.Second), pushedFeatures("status-check")
		request, err := json.Marshal(map[string]string{"features": "version = 1\n" + pushedFeatures("activate"), "why": "a push"})
		if err != nil {
			t.Fatal(err)
		}
		s.Faults = []Fault{fault}
		for n := range s.Sidecars {
			if name == "the script dies" && n == 5 {
				break
			}
			s.Faults = append(s.Faults, Fault{Kind: AdminCall, On: string(sidecarParty(n)), Name: "config/apply", Argument: string(request), At: duration.Duration(time.Second + time.Duration(n)*100*time.Millisecond)})
		}
		h := runSchedule(t, s)
		first, last, updated := time.Duration(-1), time.Duration(-1), make(map[Party]bool)
		for _, e := range h.Events {
			switch {
			case e.Kind == EventLogLine && strings.Contains(e.Detail, `msg="configuration kept"`):
				if updated[e.Party] = true; len(updated) == s.Sidecars {
					last = e.At
				}
			case e.Kind == EventLogLine && strings.Contains(e.Detail, `msg="configuration on trial"`) && first < 0:
				first = e.At
			case e.Kind == EventProcess && e.Detail == "killed":
				delete(updated, e.Party)
			case e.Kind == EventProcess && strings.HasPrefix(e.Detail, "deed") && !strings.HasSuffix(e.Detail, "done"):
				t.Logf("%s: %s: %v", name, e.Party, e.Detail)
			}
		}
		if len(updated) < s.Sidecars {
			t.Logf("%s: from %v to the end of the run at %v: %d of %d sidecars have the new configuration", name, first, time.Duration(s.Length), len(updated), s.Sidecars)
			continue
		}
		t.Logf("%s: two configurations in use for %v", name, (last - first).Round(10*time.Millisecond))
	}
}
