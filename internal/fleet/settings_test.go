package fleet

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/duration"
)

// pushed are the settings of sidecars whose configuration may change while they run, with
// calls to /a in a class.
func pushed(class string) string {
	return "[admin]\nsocket = \"@SOCKET@\"\n[config]\nenabled = true\nbake = \"300ms\"\n[paths]\n\"/a\" = \"" + class + "\"\n"
}

// What stood before agreement: a script pushes a change to eight sidecars one after the other.
// By the old settings calls to /a may run again, by the new ones they must not. One is stopped,
// one starts again with the old file, one is pushed to late. FAWN_BASELINE prints for how long
// some act by the one and some by the other.
func TestPushOneByOne(t *testing.T) {
	if os.Getenv("FAWN_BASELINE") == "" {
		t.Skip("by hand: FAWN_BASELINE=1 go test ./internal/fleet -run PushOneByOne -v")
	}
	for name, fault := range map[string]Fault{
		"all well":          {Kind: Mark},
		"one stopped":       {Kind: Stop, On: "sidecar:5", At: duration.Duration(900 * time.Millisecond), For: duration.Duration(5 * time.Second)},
		"one starts again":  {Kind: Kill, On: "sidecar:5", At: duration.Duration(2500 * time.Millisecond), For: duration.Duration(time.Second)},
		"the script dies":   {Kind: Mark},
		"one can't take it": {Kind: Kill, On: "sidecar:5", At: duration.Duration(900 * time.Millisecond), For: duration.Duration(3 * time.Second)},
	} {
		s := shipped(t, "zone-vanishes")
		s.Sidecars, s.Quiet, s.Length, s.Features = 8, 2, duration.Duration(10*time.Second), pushed("status-check")
		with, err := json.Marshal(map[string]string{"features": "version = 1\n" + pushed("activate"), "why": "a push"})
		if err != nil {
			t.Fatal(err)
		}
		s.Faults = []Fault{fault}
		for n := range s.Sidecars {
			if name == "the script dies" && n == 5 {
				break
			}
			s.Faults = append(s.Faults, Fault{Kind: Deed, On: string(sidecarParty(n)), Name: "config/apply", With: string(with), At: duration.Duration(time.Second + time.Duration(n)*100*time.Millisecond)})
		}
		h := play(t, s)
		first, last, by := time.Duration(-1), time.Duration(-1), make(map[Party]bool)
		for _, e := range h.Events {
			switch {
			case e.Kind == Logged && strings.Contains(e.What, `msg="configuration kept"`):
				if by[e.Who] = true; len(by) == s.Sidecars {
					last = e.At
				}
			case e.Kind == Logged && strings.Contains(e.What, `msg="configuration on trial"`) && first < 0:
				first = e.At
			case e.Kind == Process && e.What == "killed":
				delete(by, e.Who)
			case e.Kind == Process && strings.HasPrefix(e.What, "deed") && !strings.HasSuffix(e.What, "done"):
				t.Logf("%s: %s: %v", name, e.Who, e.What)
			}
		}
		if len(by) < s.Sidecars {
			t.Logf("%s: from %v to the end of the run at %v: %d of %d have the new one", name, first, time.Duration(s.Length), len(by), s.Sidecars)
			continue
		}
		t.Logf("%s: for %v", name, (last - first).Round(10*time.Millisecond))
	}
}
