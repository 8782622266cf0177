package features

import (
	"strings"
	"testing"
)

// Every error about [weights], [level], [duty] and the queues of [[pools]] names the field,
// and the line where that is known.
func TestSectionErrorNamesField(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[weights]\nfile = \"x\"\nkey = \"short\"\n", "f.toml:3: weights.key: "},
		{"[weights]\nevery = \"1ms\"\n", "f.toml:2: weights.every: "},
		{"[weights]\nstep = 1.0\n", "f.toml:2: weights.step: "},
		{"[weights]\nstrangers = 0.6\n", "f.toml:2: weights.strangers: "},
		{"[weights]\noff = 5.0\n", "f.toml:2: weights.off: "},
		{"[weights]\nproof = 0\n", "f.toml:2: weights.proof: "},
		{"[level]\nslope = 1.0\n", "f.toml:2: level.slope: "},
		{"[level]\ndoublings = -1\n", "f.toml:2: level.doublings: "},
		{"[level.trimmed]\nenter = { lateness = 0.1 }\n", "level.trimmed.enter.lateness: there is no such sensor"},
		{"[level.trimmed]\nleave = { late = -0.1 }\n", "level.trimmed.leave.late: must be 0 or more"},
		{"[level.trimmed]\ncut = { activate = 1.5 }\n", "level.trimmed.cut.activate: "},
		{"[duty]\npath = \"x\"\n", "f.toml:2: duty.path: "},
		{"[duty]\nslow = \"1s\"\n", "f.toml:2: duty.slow: "},
		{"[[pools]]\nname = \"p\"\nservers = [{ name = \"a\", address = \"10.0.0.1:1\" }]\nmax_active = 300\n", "pools[0].max_active: must be within 0 and max_held, which is 256"},
		{"[[pools]]\nname = \"p\"\nservers = [{ name = \"a\", address = \"10.0.0.1:1\" }]\nmax_waiting = 1\n", "pools[0].max_waiting: "},
		{"[[pools]]\nname = \"p\"\nservers = [{ name = \"a\", address = \"10.0.0.1:1\" }]\nmax_active = 1\nqueue_wait = \"1s\"\n", "pools[0].queue_wait: "},
	} {
		if _, err := Parse("f.toml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Parse(%q) = %v, want an error with %q", c.text, err, c.want)
		}
	}
}
