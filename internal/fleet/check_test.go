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

// validHistory returns a history without violations.
func validHistory() *History {
	s, err := ParseSchedule([]byte("name = \"x\"\nsidecars = 2\n"))
	if err != nil {
		panic(err)
	}
	return &History{Header: Header{Schedule: s, ClassEffects: map[string]string{"activate": "unsafe", "id-register": "keyed"}, EffectCounts: map[string]int{}}, Events: []Event{
		{At: 10 * ms, Kind: EventCall, Party: "sidecar:1", ID: "1", Class: "activate", Verdict: "served", Elapsed: 40 * ms, Deadline: 800 * ms},
		{At: 12 * ms, Kind: EventSend, Party: "sidecar:1", ID: "1", Detail: "s1", Zone: "a"},
		{At: 13 * ms, Kind: EventArrival, Party: "server:s1", ID: "1", Class: "activate", Zone: "a", Executed: true},
		{At: 20 * ms, Kind: EventCall, Party: "sidecar:2", ID: "2", Class: "id-register", Verdict: "refused", Elapsed: 40 * ms, Deadline: 800 * ms},
	}}
}

// Guards against a checker that misses a violation, reports one that is not there, or does not
// excuse it on a starved machine.
func TestCheckFindsEachViolation(t *testing.T) {
	if all := Check(validHistory()); len(all) > 0 {
		t.Errorf("findings in a valid history: %v", all)
	}
	arrive := func(at time.Duration, id, class string) Event {
		return Event{At: at, Kind: EventArrival, Party: "server:s2", ID: id, Class: class, Zone: "b", Executed: true}
	}
	for _, test := range []struct {
		name   string
		rule   string
		modify func(h *History)
	}{
		{"no answer", "one answer", func(h *History) { h.Events[0].Verdict = "none" }},
		{"an answer too late", "one answer", func(h *History) { h.Events[0].Elapsed = 800*ms + answerSlack + ms; h.Events[0].Verdict = "failed" }},
		{"unsafe call executed twice", "no effect twice", func(h *History) { h.Events = append(h.Events, arrive(14*ms, "1", "activate")) }},
		{"two effects of one key", "no effect twice", func(h *History) { h.EffectCounts["2"] = 2 }},
		{"key sent again after its window, over delaying links", "no effect twice", func(h *History) {
			h.EffectCounts["2"] = 2
			h.Schedule.Faults = []Fault{{Kind: Cut}}
			for _, at := range []time.Duration{20 * ms, 20*ms + keyWindow + keySlack + ms} {
				h.Events = append(h.Events, Event{At: at, Kind: EventSend, Party: "sidecar:2", ID: "2", Detail: "s2", Verdict: "doubtful"})
			}
		}},
		{"sent after the end of the call", "nothing after", func(h *History) {
			h.Events = append(h.Events, Event{At: 50*ms + lateSendSlack + ms, Kind: EventSend, Party: "sidecar:1", ID: "1", Detail: "s2"})
		}},
		{"last byte sent after the end of the call", "nothing after", func(h *History) { h.Events[1].Elapsed = 38*ms + lateSendSlack + ms }},
		{"sent to a draining server", "drains", func(h *History) { h.Events[2].DrainingFor = drainGrace + drainSlack + ms }},
		{"cold server failed from overload", "cold servers", func(h *History) { h.Fallen = []string{"s1"} }},
		{"request that no client sent", "known calls", func(h *History) { h.Events = append(h.Events, arrive(14*ms, "9", "activate")) }},
	} {
		h := validHistory()
		test.modify(h)
		all := Check(h)
		if len(all) != 1 || all[0].Rule != test.rule || all[0].Excused {
			t.Errorf("%s: found %v, want one finding of this rule, not excused", test.name, all)
		}
		h.Events = append(h.Events, Event{At: all[0].At + 10*ms, Kind: EventStarved, Elapsed: 300 * ms})
		if all = Check(h); len(Unexcused(all)) != 0 || len(all) != 1 {
			t.Errorf("%s on a starved machine: %v, want one excused finding", test.name, all)
		}
	}
	// A sidecar that was stopped learns of a drain when it continues.
	h := validHistory()
	h.Events[2].DrainingFor = 10 * ms
	h.Events = append([]Event{{At: 0, Kind: EventProcess, Party: "sidecar:1", Detail: "stopped"}, {At: 11 * ms, Kind: EventProcess, Party: "sidecar:1", Detail: "goes on"}}, h.Events...)
	h.Events[4].At, h.Events[4].DrainingFor = 11*ms+drainGrace, drainGrace+drainSlack+ms
	h.Events[2].Elapsed = drainGrace + 11*ms
	for _, f := range Check(h) {
		if f.Rule == "drains" {
			t.Errorf("drain while the sidecar was stopped: %v", f)
		}
	}
	// A process that is killed or stopped need not answer the calls it had accepted.
	for _, down := range []string{"killed", "stopped", "told to end", "ended: signal"} {
		h := validHistory()
		h.Events[0].Verdict = "none"
		h.Events = append(h.Events, Event{At: 30 * ms, Kind: EventProcess, Party: "sidecar:1", Detail: down})
		if all := Check(h); len(all) != 0 {
			t.Errorf("the sidecar was %s: findings %v, want none", down, all)
		}
		h.Events[len(h.Events)-1].Party = "sidecar:2"
		if all := Check(h); len(all) != 1 {
			t.Errorf("another sidecar was %s: findings %v, want one", down, all)
		}
	}
}

// Guards against a history that changes when it is written and read again, and against invalid
// files that are accepted.
func TestHistoryRoundTrip(t *testing.T) {
	h := validHistory()
	var b bytes.Buffer
	if err := h.Write(&b); err != nil {
		t.Fatal(err)
	}
	whole := b.String()
	again, err := ReadHistory(strings.NewReader(whole))
	if err != nil || !reflect.DeepEqual(again.Events, h.Events) {
		t.Errorf("history read back: error %v, got %v", err, again)
	}
	for _, bad := range []string{"", "{}\n", whole + "what\n", "no\n"} {
		if _, err := ReadHistory(strings.NewReader(bad)); err == nil || !strings.HasPrefix(err.Error(), "history: ") {
			t.Errorf("reading %.20q: error %v, want one that begins with \"history: \"", bad, err)
		}
	}
	if err := h.WriteHTML(&b); err != nil || !strings.Contains(b.String(), "<svg") {
		t.Error(err)
	}
}

// Guards against embedded or random schedules that are invalid, and against invalid fields that are
// accepted or that the error does not name.
func TestSchedules(t *testing.T) {
	for _, name := range schedules.Names() {
		text, err := schedules.Text(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseSchedule(text)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if s.Name != name {
			t.Errorf("schedule %s has the name %q", name, s.Name)
		}
		s.Scale(40, 5, 3)
		if err := s.Validate(); err != nil || s.Sidecars != 40 {
			t.Errorf("%s with 40 sidecars: %v", name, err)
		}
	}
	if _, err := schedules.Text("none"); err == nil {
		t.Error("no error for a schedule that does not exist")
	}
	for seed := range uint64(200) {
		base := validHistory().Schedule
		s := RandomSchedule(*base, seed, 6)
		if err := s.Validate(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseSchedule(text)
		if err != nil || !reflect.DeepEqual(again, RandomSchedule(*base, seed, 6)) {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
	}
	for want, text := range map[string]string{
		"sidecars":         "sidecars = 0",
		"zones":            "zones = [\"a\", \"a\"]",
		"servers":          "servers = 100",
		"rate":             "rate = 1e9",
		"length":           "length = \"2h\"",
		"quiet":            "quiet = 99",
		"line 2":           "name = \"x\"\nspeed = 9",
		"faults[0].kind":   "[[faults]]\nkind = \"explode\"\non = \"sidecars\"",
		"faults[0].on":     "[[faults]]\nkind = \"stop\"\non = \"zone:a\"",
		"faults[0].from":   "[[faults]]\nkind = \"cut\"\nfrom = \"sidecar:99\"\nto = \"zone:a\"",
		"zone:b:4/3":       "[[faults]]\nkind = \"cut\"\nfrom = \"sidecars\"\nto = \"zone:b:4/3\"",
		"faults[0].to":     "[[faults]]\nkind = \"cut\"\nfrom = \"sidecars\"\nto = \"zone:q\"",
		"faults[0].at":     "[[faults]]\nkind = \"stop\"\non = \"sidecar:1\"\nat = \"1h\"",
		"faults[0].share":  "[[faults]]\nkind = \"starve\"\non = \"sidecar:1\"",
		"faults[0].rate":   "[[faults]]\nkind = \"trickle\"\nfrom = \"sidecars\"\nto = \"servers\"",
		"faults[0].factor": "[[faults]]\nkind = \"slow\"\non = \"servers\"",
		"faults[0].with":   "[[faults]]\nkind = \"list\"\non = \"server:s1\"\nwith = \"gone\"",
		"faults[0].name":   "[[faults]]\nkind = \"deed\"\non = \"sidecar:1\"",
		"sidecar numbers":  "[[faults]]\nkind = \"stop\"\non = \"sidecar:3-1x\"",
	} {
		if _, err := ParseSchedule([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
}
