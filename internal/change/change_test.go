package change

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/features"
	"pgregory.net/rapid"
)

const platform = `{"name":"n0","listen":"127.0.0.1:8080","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:9"}]},
"settings":{"replicasOfMe":1,"zone":"z","caps":{"attemptsCap":3,"connIdleUs":30000000,"dialTimeoutUs":250000,"mostHeld":500},
"guarantees":{"drainGraceUs":2000000,"coldFrom":0.2,"coldUs":8000000,"overloadFactor":2,"overloadForUs":500000,"askWithinUs":30000000},
"classes":[{"name":"activate","effect":"once","promiseUs":1000000,"hardLimitUs":3000000},
{"name":"register","effect":"by_key","dedupScope":"cell","repeatWindowUs":60000000,"promiseUs":1000000,"hardLimitUs":3000000},
{"name":"check","effect":"repeatable","promiseUs":1000000,"hardLimitUs":3000000}]}}`

const featuresTOML = `[paths]
"/sim.v1/Activate" = "activate"
"/sim.v1/Check" = "check"
[radius]
enabled = true
auth = "127.0.0.1:1812"
acct = "127.0.0.1:1813"
remember_file = "/tmp/memory"
[radius.access]
effect = "once"
[[radius.clients]]
name = "shops"
range = "10.0.0.0/8"
secret = "the shops' secret"
[[radius.servers]]
name = "r1"
auth = "127.0.0.1:1"
acct = "127.0.0.1:2"
secret = "the server's secret"
[level]
enabled = true
[level.trimmed]
retry_worth = 4.0
no_copies = true
cut = { check = 0.4 }
[[routes]]
name = "shopping"
prefixes = ["/shop"]
class = "activate"
`

func document(t testing.TB, platform, own string) Document {
	t.Helper()
	path := filepath.Join(t.TempDir(), "features.toml")
	if err := os.WriteFile(path, []byte("version = 1\n"+own), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := features.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return Document{[]byte(platform), f}
}

func replaceOnce(t testing.TB, text, old, new string) string {
	t.Helper()
	if strings.Count(text, old) != 1 {
		t.Fatalf("%q occurs %d times, want once", old, strings.Count(text, old))
	}
	return strings.Replace(text, old, new, 1)
}

// Each change leads to a valid configuration but weakens the running one. It is refused
// with its field and both values; the reverse change is allowed.
func TestWeakeningChangeIsRefused(t *testing.T) {
	use := Usage{MemoryMB: 40, Sockets: 100, Held: 50}
	for _, c := range []struct {
		name, old, new string // replacement in the platform JSON, or in the features file if own is set
		own            bool
		field          string
		back           bool // the reverse change is refused too, or is of another kind
	}{
		{"activate may repeat by its key", `"activate","effect":"once"`, `"activate","effect":"by_key"`, false, "settings.classes[activate].effect", false},
		{"activate may repeat", `"activate","effect":"once"`, `"activate","effect":"repeatable"`, false, "settings.classes[activate].effect", false},
		{"register may repeat", `"register","effect":"by_key"`, `"register","effect":"repeatable"`, false, "settings.classes[register].effect", false},
		{"longer window", `"repeatWindowUs":60000000`, `"repeatWindowUs":90000000`, false, "settings.classes[register].repeatWindowUs", false},
		{"wider scope, a zone", `"dedupScope":"cell"`, `"dedupScope":"zone"`, false, "settings.classes[register].dedupScope", false},
		{"wider scope, all", `"dedupScope":"cell"`, `"dedupScope":"all"`, false, "settings.classes[register].dedupScope", false},
		{"scope left out, which is all", `"dedupScope":"cell",`, ``, false, "settings.classes[register].dedupScope", false},
		{"longer grace", `"drainGraceUs":2000000`, `"drainGraceUs":2000001`, false, "settings.guarantees.drainGraceUs", false},
		{"more for cold servers", `"coldFrom":0.2`, `"coldFrom":0.3`, false, "settings.guarantees.coldFrom", false},
		{"warm earlier", `"coldUs":8000000`, `"coldUs":1000000`, false, "settings.guarantees.coldUs", false},
		{"warm at once", `"coldUs":8000000,`, ``, false, "settings.guarantees.coldUs", false},
		{"overload counts later", `"overloadFactor":2`, `"overloadFactor":3`, false, "settings.guarantees.overloadFactor", false},
		{"overload for longer", `"overloadForUs":500000`, `"overloadForUs":900000`, false, "settings.guarantees.overloadForUs", false},
		{"asks later", `"askWithinUs":30000000`, `"askWithinUs":60000000`, false, "settings.guarantees.askWithinUs", false},
		{"never asks", `"askWithinUs":30000000`, `"askWithinUs":0`, false, "settings.guarantees.askWithinUs", false},
		{"keeps connections for longer than servers", `"connIdleUs":30000000`, `"connIdleUs":60000000`, false, "settings.caps.connIdleUs", false},
		{"fewer held than there are", `"mostHeld":500`, `"mostHeld":10`, false, "settings.caps.mostHeld", false},
		{"less memory than in use", `"memory_mb":192`, `"memory_mb":32`, false, "limits.memory_mb", false},
		{"fewer sockets than in use", `"sockets":1024`, `"sockets":64`, false, "limits.sockets", false},
		{"a path of activate as a check", `"/sim.v1/Activate" = "activate"`, `"/sim.v1/Activate" = "check"`, true, "features.paths[/sim.v1/Activate]", false},
		{"a path under activate as a check", "[paths]\n", "[paths]\n\"/activate/fast\" = \"check\"\n", true, "features.paths[/activate/fast]", false},
		{"a route of activate as a check", "class = \"activate\"\n", "class = \"check\"\n", true, "features.routes[shopping].class", false},
		{"access asked twice", `effect = "once"`, `effect = "safe"`, true, "features.radius.access.effect", false},
		{"identifiers rest too little", "[radius]\n", "[radius]\nrest = \"1s\"\n[radius.access2]\n", true, "features.radius.rest", false},
		{"events forgotten early", "[radius]\n", "[radius]\nremember_for = \"5s\"\n", true, "features.radius.remember_for", false},
		{"forged answers", "[radius]\n", "[radius]\nunsigned_answers = true\n", true, "features.radius.unsigned_answers", false},
		{"forged requests", "name = \"shops\"\n", "name = \"shops\"\nunsigned = true\n", true, "features.radius.clients[shops].unsigned", false},
		{"memory of events", "remember_file = \"/tmp/memory\"\n", "", true, "features.radius.remember_file", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			running := document(t, platform, featuresTOML)
			var next Document
			switch {
			case strings.Contains(c.new, "access2"): // with a patience that is longer than the rest
				next = document(t, platform, replaceOnce(t, replaceOnce(t, featuresTOML, "[radius]\n", "[radius]\nrest = \"1s\"\n"), "effect = \"once\"", "effect = \"once\"\npatience = \"3s\""))
				running = document(t, platform, replaceOnce(t, featuresTOML, "effect = \"once\"", "effect = \"once\"\npatience = \"3s\""))
			case c.own:
				next = document(t, platform, replaceOnce(t, featuresTOML, c.old, c.new))
			default:
				next = document(t, replaceOnce(t, platform, c.old, c.new), featuresTOML)
			}
			p, err := Compare(running, next, use)
			if err != nil {
				t.Fatal(err)
			}
			if len(p.Refusals) != 1 || p.Refusals[0].Field != c.field || p.Refusals[0].Old == p.Refusals[0].New {
				t.Errorf("%v", p.Refusals)
			}
			if len(p.Changes) != 1 || p.Changes[0].Field != c.field {
				t.Errorf("%v", p.Changes)
			}
			back, err := Compare(next, running, use)
			if err != nil {
				t.Fatal(err)
			}
			if len(back.Refusals) != 0 || len(back.Changes) != 1 {
				t.Errorf("reverse change: refusals %v, changes %v", back.Refusals, back.Changes)
			}
		})
	}
}

// Routine changes by operators appear in the plan and are not refused. Secrets are not
// shown.
func TestRoutineChangeIsAllowed(t *testing.T) {
	running := document(t, platform, featuresTOML)
	for _, c := range []struct {
		platform, own [2]string
		want          string
	}{
		{platform: [2]string{`"discovery":"127.0.0.1:1"`, `"discovery":"127.0.0.1:2"`}, want: "discovery: 127.0.0.1:1 -> 127.0.0.1:2 (SIGHUP"},
		{platform: [2]string{`"listen":"127.0.0.1:8080"`, `"listen":"127.0.0.1:8081"`}, want: "listen: "},
		{platform: [2]string{`"attemptsCap":3`, `"attemptsCap":2`}, want: "settings.caps.attemptsCap: 3 -> 2"},
		{platform: [2]string{`"memory_mb":192`, `"memory_mb":64`}, want: "limits.memory_mb: 192 -> 64"},
		{platform: [2]string{`"repeatWindowUs":60000000`, `"repeatWindowUs":30000000`}, want: "repeatWindowUs"},
		{platform: [2]string{`{"name":"check","effect":"repeatable"`, `{"name":"new","effect":"repeatable","promiseUs":1,"hardLimitUs":1},{"name":"check","effect":"repeatable"`}, want: "settings.classes[new].effect: none -> repeatable"},
		{platform: [2]string{`{"name":"check","effect":"repeatable"`, `{"name":"new","effect":"by_key","dedupScope":"all","repeatWindowUs":5,"promiseUs":1,"hardLimitUs":1},{"name":"check","effect":"repeatable"`}, want: "settings.classes[new].dedupScope: none -> all"},
		{own: [2]string{`"/sim.v1/Check" = "check"`, `"/sim.v1/Check" = "activate"`}, want: "features.paths[/sim.v1/Check]: check -> activate"},
		{own: [2]string{`secret = "the server's secret"`, `secret = "another one"`}, want: "features.radius.servers[r1].secret: (secret) -> another secret"},
		{own: [2]string{`range = "10.0.0.0/8"`, `range = "10.0.0.0/9"`}, want: "features.radius.clients[shops].range: 10.0.0.0/8 -> 10.0.0.0/9"},
	} {
		next := running
		if c.own[0] != "" {
			next = document(t, platform, replaceOnce(t, featuresTOML, c.own[0], c.own[1]))
		} else {
			next = document(t, replaceOnce(t, platform, c.platform[0], c.platform[1]), featuresTOML)
		}
		p, err := Compare(running, next, Usage{MemoryMB: 40, Sockets: 100, Held: 50})
		if err != nil {
			t.Fatal(err)
		}
		if len(p.Refusals) > 0 {
			t.Errorf("%s: refused: %v", c.want, p.Refusals)
		}
		var text strings.Builder
		for _, c := range p.Changes {
			text.WriteString(c.String() + "\n")
		}
		if !strings.Contains(text.String(), c.want) || strings.Contains(text.String(), "server's") || strings.Contains(text.String(), "another one") {
			t.Errorf("%s: planned:\n%s", c.want, text.String())
		}
	}
	// An effect that allows fewer repeats is allowed, even if scope and window are removed.
	once := document(t, replaceOnce(t, platform, `"by_key","dedupScope":"cell","repeatWindowUs":60000000`, `"once"`), featuresTOML)
	if p, err := Compare(running, once, Usage{}); err != nil || len(p.Changes) != 3 || len(p.Refusals) > 0 {
		t.Errorf("%+v, %v", p, err)
	}
	if p, err := Compare(running, document(t, platform, featuresTOML), Usage{}); err != nil || len(p.Changes) > 0 || len(p.Refusals) > 0 {
		t.Errorf("%+v, %v", p, err)
	}
	if _, err := Compare(running, Document{Platform: []byte("{")}, Usage{}); err == nil {
		t.Error("Compare accepted truncated JSON")
	}
	// All refusals are reported together.
	next := document(t, replaceOnce(t, replaceOnce(t, platform, `"once"`, `"repeatable"`), `"coldFrom":0.2`, `"coldFrom":1`), replaceOnce(t, featuresTOML, "effect = \"once\"", "effect = \"safe\""))
	if p, err := Compare(running, next, Usage{}); err != nil || len(p.Refusals) != 3 {
		t.Errorf("%+v, %v", p, err)
	}
}

// A change between any two sets of effects is refused exactly for the classes whose effect
// allows more repeats than before, whatever the order of the classes.
func TestEffectChangeIsRefusedIfMoreRepeatable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		configuration := func(label string) (string, map[string]int) {
			ranks := make(map[string]int)
			var entries []string
			for _, name := range rapid.Permutation(names).Draw(t, label) {
				if rapid.Bool().Draw(t, "left out") {
					continue
				}
				ranks[name] = rapid.IntRange(0, 2).Draw(t, "effect")
				entries = append(entries, `{"name":"`+name+`","effect":"`+effects[ranks[name]]+`"}`)
			}
			return `{"settings":{"classes":[` + strings.Join(entries, ",") + `]}}`, ranks
		}
		old, was := configuration("old")
		next, is := configuration("new")
		p, err := Compare(Document{Platform: []byte(old)}, Document{Platform: []byte(next)}, Usage{})
		if err != nil {
			t.Fatal(err)
		}
		want := 0
		for name, rank := range was {
			if now, ok := is[name]; ok && now > rank {
				want++
			}
		}
		if len(p.Refusals) != want {
			t.Errorf("%s to %s: %v", old, next, p.Refusals)
		}
	})
}

func FuzzCompare(f *testing.F) {
	f.Add(platform, `{"settings":{"classes":[{"name":"activate"}]}}`)
	f.Add(`{"settings":{"classes":{"[":{"effect":1}}}}`, `{"a]":[[],{}]}`)
	f.Add(`null`, `{"limits":{"sockets":"many"}}`)
	f.Fuzz(func(t *testing.T, old, next string) {
		p, err := Compare(Document{Platform: []byte(old)}, Document{Platform: []byte(next)}, Usage{MemoryMB: 1, Sockets: 1, Held: 1})
		if err == nil && len(p.Refusals) > len(p.Changes)*len(rules) {
			t.Error(p)
		}
	})
}
