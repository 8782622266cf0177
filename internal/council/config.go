// Package council is one member of a fleet's council: three or five processes that keep one log
// of what the fleet acts on. What the log means is package agreed's; who leads and what is
// committed is raft's, as a state machine in this package's one goroutine. The package does the
// disk, the network and the clock for both. Why it is so: docs/design/agreement.md.
package council

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"chalkrack/internal/agreed"
	"chalkrack/internal/duration"
)

// Bounds of a council.
const (
	MembersMost = 7
	keyLeast    = 16 // bytes of the fleet's key
)

// Config is what a member is told.
type Config struct {
	Fleet  string `toml:"fleet"`  // a name that no other fleet has
	Name   string `toml:"name"`   // of this member
	Listen string `toml:"listen"` // where the others and sidecars come
	Folder string `toml:"folder"` // its log; no other process may use it
	Key    string `toml:"key"`    // the fleet's; the same as in [duty] of the sidecars
	// Members are all that found the council, this one too: an address by each name. One that
	// joins later has none: it waits until the others have added it.
	Members map[string]string `toml:"members"`
	Join    bool              `toml:"join"`

	Lease  duration.Duration `toml:"lease"`
	Drift  float64           `toml:"drift"`
	Margin duration.Duration `toml:"margin"`
	Call   duration.Duration `toml:"call"`
	// Beat is how often the leader tells the others that it leads; ten of them without a word
	// are an election.
	Beat duration.Duration `toml:"beat"`
}

// Default has the times of the operators' page.
func Default() Config {
	return Config{Lease: duration.Duration(10 * time.Second), Drift: 0.01, Margin: duration.Duration(time.Second), Call: duration.Duration(5 * time.Second), Beat: duration.Duration(100 * time.Millisecond)}
}

// Read is a configuration from its text. Errors name the field.
func Read(text []byte) (Config, error) {
	c, err := decode(text)
	if err != nil {
		return c, err
	}
	return c, c.Validate()
}

func decode(text []byte) (Config, error) {
	c := Default()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return c, fmt.Errorf("council: %s: there is no such field", strict.Errors[0].Key())
		}
		return c, fmt.Errorf("council: %w", err)
	}
	return c, nil
}

// Times are what leases go by.
func (c *Config) Times() agreed.LeaseTimes {
	return agreed.LeaseTimes{Lease: time.Duration(c.Lease), Drift: c.Drift, Margin: time.Duration(c.Margin), Call: time.Duration(c.Call)}
}

// Validate says what can't be used, by the field's name.
func (c *Config) Validate() error {
	bad := func(field, format string, args ...any) error {
		return fmt.Errorf("council.%s: %s", field, fmt.Sprintf(format, args...))
	}
	switch {
	case c.Fleet == "" || len(c.Fleet) > agreed.MaxKeyBytes:
		return bad("fleet", "must have 1 to %d bytes", agreed.MaxKeyBytes)
	case c.Name == "" || len(c.Name) > agreed.MaxKeyBytes:
		return bad("name", "must have 1 to %d bytes", agreed.MaxKeyBytes)
	case c.Folder == "":
		return bad("folder", "is missing: a member without a disk forgets what it has promised")
	case len(c.Key) < keyLeast:
		return bad("key", "must have %d bytes at least", keyLeast)
	case time.Duration(c.Beat) < 10*time.Millisecond || time.Duration(c.Beat) > 5*time.Second:
		return bad("beat", "must be within 10ms and 5s")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return bad("listen", "%v", err)
	}
	if err := c.Times().Validate(); err != nil {
		return err
	}
	if time.Duration(c.Lease) < 30*time.Duration(c.Beat) {
		return bad("lease", "must be 30 beats at least: an election has to fit into it")
	}
	if c.Join {
		if len(c.Members) > 0 {
			return bad("members", "are the founders': one that joins has none")
		}
		return nil
	}
	if n := len(c.Members); n%2 == 0 || n > MembersMost {
		return bad("members", "are %d: must be 1, 3, 5 or 7, for an even count bears no more losses than one less", n)
	}
	if c.Members[c.Name] == "" {
		return bad("members", "%q, this one, is not among them", c.Name)
	}
	var seen []string
	for name, addr := range c.Members {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return bad("members."+name, "%v", err)
		}
		if slices.Contains(seen, addr) {
			return bad("members."+name, "%s stands twice", addr)
		}
		seen = append(seen, addr)
	}
	return nil
}

// founderID is a founder's in the log's configuration.
func founderID(fleet, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", fleet, name)
	return max(1, h.Sum64())
}

// Reach is how operators find a council: any member's file will do, or one with the key and the
// members alone.
type Reach struct {
	Key     string
	Members map[string]string
}

// ReadReach is a Reach from a file's text. Errors name the field.
func ReadReach(text []byte) (r Reach, err error) {
	c, err := decode(text)
	switch {
	case err != nil:
		return r, err
	case len(c.Key) < keyLeast:
		return r, fmt.Errorf("council.key: must have %d bytes at least", keyLeast)
	case len(c.Members) == 0:
		return r, errors.New("council.members: is missing: an address by each member's name")
	}
	return Reach{c.Key, c.Members}, nil
}

// Client calls the council of a Reach.
func (r *Reach) Client() *Client {
	return NewClient(r.Key, rand.IntN(len(r.Members)), r.Members)
}
