package fleet

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/fleet/schedules"
)

const ms = time.Millisecond

// well is a history in which nothing is wrong.
func well() *History {
	s, err := Read([]byte("name = \"x\"\nsidecars = 2\n"))
	if err != nil {
		panic(err)
	}
	return &History{Head: Head{Schedule: s, Effects: map[string]string{"activate": "unsafe", "id-register": "keyed"}, Runs: map[string]int{}}, Events: []Event{
		{At: 10 * ms, Kind: Called, Who: "sidecar:1", ID: "1", Class: "activate", Verdict: "served", Took: 40 * ms, Wait: 800 * ms},
		{At: 12 * ms, Kind: Sent, Who: "sidecar:1", ID: "1", What: "s1", Zone: "a"},
		{At: 13 * ms, Kind: Arrived, Who: "server:s1", ID: "1", Class: "activate", Zone: "a", Ran: true},
		{At: 20 * ms, Kind: Called, Who: "sidecar:2", ID: "2", Class: "id-register", Verdict: "refused", Took: 40 * ms, Wait: 800 * ms},
	}}
}

// Each planted breach is found, and nothing where there is none.
func TestCheckersFindWhatIsPlanted(t *testing.T) {
	if all := Check(well()); len(all) > 0 {
		t.Errorf("nothing is wrong, and found: %v", all)
	}
	arrive := func(at time.Duration, id, class string) Event {
		return Event{At: at, Kind: Arrived, Who: "server:s2", ID: id, Class: class, Zone: "b", Ran: true}
	}
	for _, c := range []struct {
		name  string
		rule  string
		plant func(h *History)
	}{
		{"no answer", "one answer", func(h *History) { h.Events[0].Verdict = "none" }},
		{"an answer too late", "one answer", func(h *History) { h.Events[0].Took = 800*ms + answerSlack + ms; h.Events[0].Verdict = "failed" }},
		{"run twice", "no effect twice", func(h *History) { h.Events = append(h.Events, arrive(14*ms, "1", "activate")) }},
		{"a key twice", "no effect twice", func(h *History) { h.Runs["2"] = 2 }},
		{"a key too late, over links that hold up", "no effect twice", func(h *History) {
			h.Runs["2"] = 2
			h.Schedule.Faults = []Fault{{Kind: Cut}}
			for _, at := range []time.Duration{20 * ms, 20*ms + keyWindow + keySlack + ms} {
				h.Events = append(h.Events, Event{At: at, Kind: Sent, Who: "sidecar:2", ID: "2", What: "s2", Verdict: "doubtful"})
			}
		}},
		{"sent after the end", "nothing after", func(h *History) {
			h.Events = append(h.Events, Event{At: 50*ms + afterSlack + ms, Kind: Sent, Who: "sidecar:1", ID: "1", What: "s2"})
		}},
		{"its last byte after the end", "nothing after", func(h *History) { h.Events[1].Took = 38*ms + afterSlack + ms }},
		{"to a server that drains", "drains", func(h *History) { h.Events[2].Drained = drainGrace + drainSlack + ms }},
		{"a cold server", "cold servers", func(h *History) { h.Fallen = []string{"s1"} }},
		{"a call of nobody's", "known calls", func(h *History) { h.Events = append(h.Events, arrive(14*ms, "9", "activate")) }},
	} {
		h := well()
		c.plant(h)
		all := Check(h)
		if len(all) != 1 || all[0].Rule != c.rule || all[0].Excused {
			t.Errorf("%s: found %v", c.name, all)
		}
		h.Events = append(h.Events, Event{At: all[0].At + 10*ms, Kind: Lagged, Took: 300 * ms})
		if all = Check(h); len(Held(all)) != 0 || len(all) != 1 {
			t.Errorf("%s on a machine that starved it: %v", c.name, all)
		}
	}
	// A sidecar that was stopped hears of a drain when it goes on.
	h := well()
	h.Events[2].Drained = 10 * ms
	h.Events = append([]Event{{At: 0, Kind: Process, Who: "sidecar:1", What: "stopped"}, {At: 11 * ms, Kind: Process, Who: "sidecar:1", What: "goes on"}}, h.Events...)
	h.Events[4].At, h.Events[4].Drained = 11*ms+drainGrace, drainGrace+drainSlack+ms
	h.Events[2].Took = drainGrace + 11*ms
	for _, f := range Check(h) {
		if f.Rule == "drains" {
			t.Errorf("a sidecar that was stopped: %v", f)
		}
	}
	// What a process held that was killed or stopped, it need not answer.
	for _, down := range []string{"killed", "stopped", "told to end", "ended: signal"} {
		h := well()
		h.Events[0].Verdict = "none"
		h.Events = append(h.Events, Event{At: 30 * ms, Kind: Process, Who: "sidecar:1", What: down})
		if all := Check(h); len(all) != 0 {
			t.Errorf("%s: %v", down, all)
		}
		h.Events[len(h.Events)-1].Who = "sidecar:2"
		if all := Check(h); len(all) != 1 {
			t.Errorf("the other one %s: %v", down, all)
		}
	}
}

func TestHistoryKeepsItsForm(t *testing.T) {
	h := well()
	var b bytes.Buffer
	if err := h.Write(&b); err != nil {
		t.Fatal(err)
	}
	whole := b.String()
	again, err := ReadHistory(strings.NewReader(whole))
	if err != nil || !reflect.DeepEqual(again.Events, h.Events) {
		t.Errorf("%v: %v", err, again)
	}
	for _, bad := range []string{"", "{}\n", whole + "what\n", "no\n"} {
		if _, err := ReadHistory(strings.NewReader(bad)); err == nil || !strings.HasPrefix(err.Error(), "history: ") {
			t.Errorf("%.20q: %v", bad, err)
		}
	}
	if err := h.HTML(&b); err != nil || !strings.Contains(b.String(), "<svg") {
		t.Error(err)
	}
}

func TestSchedules(t *testing.T) {
	for _, name := range schedules.Names() {
		text, err := schedules.Text(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Read(text)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if s.Name != name {
			t.Errorf("%s is called %q", name, s.Name)
		}
		s.Scale(40, 5, 3)
		if err := s.Validate(); err != nil || s.Sidecars != 40 {
			t.Errorf("%s with 40 sidecars: %v", name, err)
		}
	}
	if _, err := schedules.Text("none"); err == nil {
		t.Error("a schedule that is not there")
	}
	for seed := range uint64(200) {
		base := well().Schedule
		s := Draw(*base, seed, 6)
		if err := s.Validate(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Read(text)
		if err != nil || !reflect.DeepEqual(again, Draw(*base, seed, 6)) {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
	}
	for want, text := range map[string]string{
		"sidecars":           "sidecars = 0",
		"zones":              "zones = [\"a\", \"a\"]",
		"servers":            "servers = 100",
		"rate":               "rate = 1e9",
		"length":             "length = \"2h\"",
		"quiet":              "quiet = 99",
		"line 2":             "name = \"x\"\nspeed = 9",
		"faults[0].kind":     "[[faults]]\nkind = \"explode\"\non = \"sidecars\"",
		"faults[0].on":       "[[faults]]\nkind = \"stop\"\non = \"zone:a\"",
		"faults[0].from":     "[[faults]]\nkind = \"cut\"\nfrom = \"sidecar:99\"\nto = \"zone:a\"",
		"zone:b:4/3":         "[[faults]]\nkind = \"cut\"\nfrom = \"sidecars\"\nto = \"zone:b:4/3\"",
		"faults[0].to":       "[[faults]]\nkind = \"cut\"\nfrom = \"sidecars\"\nto = \"zone:q\"",
		"faults[0].at":       "[[faults]]\nkind = \"stop\"\non = \"sidecar:1\"\nat = \"1h\"",
		"faults[0].share":    "[[faults]]\nkind = \"starve\"\non = \"sidecar:1\"",
		"faults[0].rate":     "[[faults]]\nkind = \"trickle\"\nfrom = \"sidecars\"\nto = \"servers\"",
		"faults[0].factor":   "[[faults]]\nkind = \"slow\"\non = \"servers\"",
		"faults[0].with":     "[[faults]]\nkind = \"list\"\non = \"server:s1\"\nwith = \"gone\"",
		"faults[0].name":     "[[faults]]\nkind = \"deed\"\non = \"sidecar:1\"",
		"there are sidecars": "[[faults]]\nkind = \"stop\"\non = \"sidecar:3-1x\"",
	} {
		if _, err := Read([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
