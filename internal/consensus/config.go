// Package consensus implements a member of a fleet's council, a raft cluster of usually three or
// five processes, and a client for it. The council replicates the log from which package agreement
// derives the settings version that the sidecars apply. This package supplies storage, network and
// clock to package agreement and to the raft state machine, both of which run in one goroutine.
// docs/design/agreement.md describes the design and its reasons.
package consensus

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

	"chalkrack/internal/agreement"
	"chalkrack/internal/duration"
)

// Limits of a council.
const (
	MaxMembers  = 7
	minKeyBytes = 16 // bytes of the fleet's key
)

// Config is the configuration of a member.
type Config struct {
	Fleet  string `toml:"fleet"`  // unique name of the fleet
	Name   string `toml:"name"`   // of this member
	Listen string `toml:"listen"` // address for members, sidecars and operators
	Folder string `toml:"folder"` // holds the log; used by this process only
	Key    string `toml:"key"`    // shared key of the fleet, the same as in [duty] of the sidecars
	// Members maps the names of all founding members, this one included, to their addresses. It
	// is empty for a member that joins later, which waits until the others add it.
	Members map[string]string `toml:"members"`
	Join    bool              `toml:"join"` // joins an existing council

	// Lease, Drift, Margin and MaxCallTime are described at agreement.LeaseTimes.
	Lease       duration.Duration `toml:"lease"`
	Drift       float64           `toml:"drift"`
	Margin      duration.Duration `toml:"margin"`
	MaxCallTime duration.Duration `toml:"call"`
	// HeartbeatInterval is the interval of the leader's heartbeats. A member that receives none for
	// ten intervals starts an election.
	HeartbeatInterval duration.Duration `toml:"beat"`
}

// DefaultConfig returns a configuration with the default times and no other fields.
func DefaultConfig() Config {
	return Config{Lease: duration.Duration(10 * time.Second), Drift: 0.01, Margin: duration.Duration(time.Second), MaxCallTime: duration.Duration(5 * time.Second), HeartbeatInterval: duration.Duration(100 * time.Millisecond)}
}

// ParseConfig parses and validates a configuration in TOML. Errors name the field.
func ParseConfig(text []byte) (Config, error) {
	c, err := decodeConfig(text)
	if err != nil {
		return c, err
	}
	return c, c.Validate()
}

// decodeConfig parses a configuration without validating it. Unknown fields are errors.
func decodeConfig(text []byte) (Config, error) {
	c := DefaultConfig()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return c, fmt.Errorf("council: %s: unknown field", strict.Errors[0].Key())
		}
		return c, fmt.Errorf("council: %w", err)
	}
	return c, nil
}

// LeaseTimes returns the parameters of the leases.
func (c *Config) LeaseTimes() agreement.LeaseTimes {
	return agreement.LeaseTimes{Lease: time.Duration(c.Lease), Drift: c.Drift, Margin: time.Duration(c.Margin), MaxCallTime: time.Duration(c.MaxCallTime)}
}

// Validate returns an error that names the first invalid field.
func (c *Config) Validate() error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("council.%s: %s", field, fmt.Sprintf(format, args...))
	}
	switch {
	case c.Fleet == "" || len(c.Fleet) > agreement.MaxKeyBytes:
		return invalid("fleet", "must have 1 to %d bytes", agreement.MaxKeyBytes)
	case c.Name == "" || len(c.Name) > agreement.MaxKeyBytes:
		return invalid("name", "must have 1 to %d bytes", agreement.MaxKeyBytes)
	case c.Folder == "":
		return invalid("folder", "is missing: without a disk a member loses its votes and its log on a restart")
	case len(c.Key) < minKeyBytes:
		return invalid("key", "must have at least %d bytes", minKeyBytes)
	case time.Duration(c.HeartbeatInterval) < 10*time.Millisecond || time.Duration(c.HeartbeatInterval) > 5*time.Second:
		return invalid("beat", "must be between 10ms and 5s")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return invalid("listen", "%v", err)
	}
	if err := c.LeaseTimes().Validate(); err != nil {
		return err
	}
	if time.Duration(c.Lease) < 30*time.Duration(c.HeartbeatInterval) {
		return invalid("lease", "must be at least 30 times council.beat, so that an election fits into a lease")
	}
	if c.Join {
		if len(c.Members) > 0 {
			return invalid("members", "must be empty with join = true: it lists the founding members")
		}
		return nil
	}
	if n := len(c.Members); n%2 == 0 || n > MaxMembers {
		return invalid("members", "has %d members, must be 1, 3, 5 or 7: an even number tolerates no more failures than one member less", n)
	}
	if c.Members[c.Name] == "" {
		return invalid("members", "%q, the name of this member, is missing", c.Name)
	}
	var seen []string
	for name, addr := range c.Members {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return invalid("members."+name, "%v", err)
		}
		if slices.Contains(seen, addr) {
			return invalid("members."+name, "address %s is used twice", addr)
		}
		seen = append(seen, addr)
	}
	return nil
}

// founderID returns the raft id of a founding member. Each member derives it from the names, so
// that the founders agree on the ids without communication.
func founderID(fleet, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", fleet, name)
	return max(1, h.Sum64())
}

// ClientConfig holds the key and the addresses by which a client calls a council. It can be read
// from the configuration file of any founding member, or from a file with just the key and the
// members. Members maps names to addresses.
type ClientConfig struct {
	Key     string
	Members map[string]string
}

// ReadClientConfig parses a ClientConfig from a configuration in TOML. Errors name the field.
func ReadClientConfig(text []byte) (clientConfig ClientConfig, err error) {
	c, err := decodeConfig(text)
	switch {
	case err != nil:
		return clientConfig, err
	case len(c.Key) < minKeyBytes:
		return clientConfig, fmt.Errorf("council.key: must have at least %d bytes", minKeyBytes)
	case len(c.Members) == 0:
		return clientConfig, errors.New("council.members: is missing: must map the name of each member to its address")
	}
	return ClientConfig{c.Key, c.Members}, nil
}

// NewClient returns a client that starts with a random member.
func (r *ClientConfig) NewClient() *Client {
	return NewClient(r.Key, rand.IntN(len(r.Members)), r.Members)
}
