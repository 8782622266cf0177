package features

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"chalkrack/internal/duration"
)

// Secret is a text that is never printed in logs, errors or dumps.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return "(secret)" }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return "(secret)" }

// Radius is the section [radius]: the front for counter terminals that check identities
// over RADIUS. It has no effect unless Enabled is set.
type Radius struct {
	Enabled bool `toml:"enabled"`
	// Auth and Acct are the addresses at which access and accounting requests are
	// received; if empty, they are not.
	Auth string `toml:"auth"`
	Acct string `toml:"acct"`

	Clients []RadiusClient `toml:"clients"`
	Servers []RadiusServer `toml:"servers"`
	// AuthDiscovery and AcctDiscovery are addresses of discoveries that replace Servers.
	// Their servers serve all realms and share DiscoverySecret.
	AuthDiscovery       string `toml:"auth_discovery"`
	AcctDiscovery       string `toml:"acct_discovery"`
	DiscoverySecret     Secret `toml:"discovery_secret"`
	DiscoverySecretFile string `toml:"discovery_secret_file"`

	Access     RadiusClass `toml:"access"`
	Accounting RadiusClass `toml:"accounting"`

	MaxAttempts          int               `toml:"attempts"` // maximum number of servers tried for one call, 1 to 5
	MaxSocketsPerServer  int               `toml:"sockets"`  // per server; each carries up to 256 attempts
	AllowUnsignedAnswers bool              `toml:"unsigned_answers"`
	LateAnswerTTL        duration.Duration `toml:"rest"` // how long a late answer is still accepted

	RememberTTL               duration.Duration `toml:"remember_for"`
	MaxRememberBytes          int               `toml:"remember_bytes"`
	MaxRememberBytesPerClient int               `toml:"remember_bytes_each"` // limit per client address
	// RememberFile keeps the remembered accounting answers across a restart by SIGTERM;
	// if empty, they are lost.
	RememberFile      string            `toml:"remember_file"`
	MaxCallsPerClient int               `toml:"calls_each"` // concurrent calls per client address
	MaxConversations  int               `toml:"conversations"`
	ConversationTTL   duration.Duration `toml:"conversation_for"`

	OnGiveUp   string `toml:"on_give_up"` // reject or silent, for access requests
	ErrorCause int    `toml:"error_cause"`

	ProbeInterval  duration.Duration `toml:"probe_every"` // interval of Status-Server probes to each server; 0: none
	MaxProbeMisses int               `toml:"probe_misses"`
}

// RadiusClient is an entry of [[radius.clients]].
type RadiusClient struct {
	Name          string `toml:"name"`
	Range         string `toml:"range"`
	Secret        Secret `toml:"secret"`
	SecretFile    string `toml:"secret_file"`
	AllowUnsigned bool   `toml:"unsigned"`
}

// RadiusServer is an entry of [[radius.servers]].
type RadiusServer struct {
	Name       string   `toml:"name"`
	Auth       string   `toml:"auth"`
	Acct       string   `toml:"acct"`
	Zone       string   `toml:"zone"`
	Secret     Secret   `toml:"secret"`
	SecretFile string   `toml:"secret_file"`
	Realms     []string `toml:"realms"` // realms it serves; none: all realms that no server names
}

// RadiusClass is the section [radius.access] or [radius.accounting].
type RadiusClass struct {
	Aim            duration.Duration `toml:"aim"`
	Deadline       duration.Duration `toml:"deadline"`
	AttemptTimeout duration.Duration `toml:"patience"` // timeout of one attempt
	ResendDelay    duration.Duration `toml:"resend"`   // delay before the packet is first sent again to the same server
	MaxResends     int               `toml:"resends"`
	Effect         string            `toml:"effect"` // safe: another server may be tried if one does not answer; once: it may not
	Worth          float64           `toml:"worth"`
}

// defaultRadius returns the defaults of the section.
func defaultRadius() Radius {
	return Radius{
		Access:      RadiusClass{Aim: seconds(2), Deadline: seconds(4), AttemptTimeout: seconds(1), ResendDelay: duration.Duration(300 * time.Millisecond), MaxResends: 1, Effect: "safe", Worth: 1},
		Accounting:  RadiusClass{Aim: seconds(5), Deadline: seconds(20), AttemptTimeout: seconds(19), ResendDelay: duration.Duration(500 * time.Millisecond), MaxResends: 8, Effect: "once", Worth: 1},
		MaxAttempts: 3, MaxSocketsPerServer: 4, LateAnswerTTL: seconds(10),
		RememberTTL: seconds(30), MaxRememberBytes: 8 << 20, MaxRememberBytesPerClient: 1 << 20, MaxCallsPerClient: 256,
		MaxConversations: 4096, ConversationTTL: seconds(120), OnGiveUp: "reject", ErrorCause: 502, MaxProbeMisses: 3,
	}
}

func seconds(n int) duration.Duration { return duration.Duration(time.Duration(n) * time.Second) }

const (
	maxRadiusServers = 256
	maxRadiusClients = 1024
)

func (r *Radius) check(c *checker) {
	fieldName := func(field string) string { return "radius." + field }
	requireAddress := func(field, addr string) {
		_, err := netip.ParseAddrPort(addr)
		c.require(err == nil, field, "must be an IP address with a port, not %q", addr)
	}
	requireDuration := func(field string, d duration.Duration, lower, upper time.Duration) {
		c.require(time.Duration(d) >= lower && time.Duration(d) <= upper, field, "must be within %v and %v, not %v", lower, upper, time.Duration(d))
	}
	requireInt := func(field string, n, lower, upper int) {
		c.require(n >= lower && n <= upper, field, "must be within %d and %d, not %d", lower, upper, n)
	}
	if r.Auth != "" {
		requireAddress(fieldName("auth"), r.Auth)
	}
	if r.Acct != "" {
		requireAddress(fieldName("acct"), r.Acct)
	}
	c.require(!r.Enabled || r.Auth != "" || r.Acct != "", fieldName("enabled"), "neither radius.auth nor radius.acct is set")
	c.require(!r.Enabled || len(r.Clients) > 0, fieldName("clients"), "there is none")
	c.require(len(r.Clients) <= maxRadiusClients, fieldName("clients"), "%d at most", maxRadiusClients)
	c.require(len(r.Servers) <= maxRadiusServers, fieldName("servers"), "%d at most", maxRadiusServers)
	ranges := make(map[netip.Prefix]bool)
	for n := range r.Clients {
		k := &r.Clients[n]
		name := fmt.Sprintf("radius.clients[%d].", n)
		p, err := netip.ParsePrefix(k.Range)
		if err != nil {
			if a, aerr := netip.ParseAddr(k.Range); aerr == nil {
				p, err = netip.PrefixFrom(a, a.BitLen()), nil
			}
		}
		c.require(err == nil, name+"range", "must be an address or a range (10.0.0.0/8), not %q", k.Range)
		c.require(err != nil || !ranges[p.Masked()], name+"range", "is there twice")
		ranges[p.Masked()] = true
		k.Secret = c.loadSecret(name, "secret", k.Secret, k.SecretFile, r.Enabled)
	}
	names := make(map[string]bool)
	anyAuth, anyAcct := r.AuthDiscovery != "", r.AcctDiscovery != ""
	for n := range r.Servers {
		k := &r.Servers[n]
		name := fmt.Sprintf("radius.servers[%d].", n)
		c.require(k.Name != "" && !names[k.Name], name+"name", "must be set and the only one of its kind")
		names[k.Name] = true
		c.require(k.Auth != "" || k.Acct != "", name+"auth", "neither auth nor acct is set")
		if k.Auth != "" {
			requireAddress(name+"auth", k.Auth)
			anyAuth = true
		}
		if k.Acct != "" {
			requireAddress(name+"acct", k.Acct)
			anyAcct = true
		}
		k.Secret = c.loadSecret(name, "secret", k.Secret, k.SecretFile, r.Enabled)
	}
	c.require(!r.Enabled || r.Auth == "" || anyAuth, fieldName("servers"), "none takes access, which radius.auth brings")
	c.require(!r.Enabled || r.Acct == "" || anyAcct, fieldName("servers"), "none takes accounting, which radius.acct brings")
	for field, addr := range map[string]string{"auth_discovery": r.AuthDiscovery, "acct_discovery": r.AcctDiscovery} {
		if addr != "" {
			requireAddress(fieldName(field), addr)
		}
	}
	if r.AuthDiscovery != "" || r.AcctDiscovery != "" {
		c.require(len(r.Servers) == 0, fieldName("servers"), "stands beside a discovery")
		c.require(r.ProbeInterval == 0, fieldName("probe_every"), "stands beside a discovery, which tells who is there")
		r.DiscoverySecret = c.loadSecret("radius.", "discovery_secret", r.DiscoverySecret, r.DiscoverySecretFile, r.Enabled)
	}
	for name, k := range map[string]*RadiusClass{"radius.access.": &r.Access, "radius.accounting.": &r.Accounting} {
		requireDuration(name+"deadline", k.Deadline, 100*time.Millisecond, 2*time.Minute)
		requireDuration(name+"aim", k.Aim, time.Millisecond, time.Duration(k.Deadline))
		requireDuration(name+"patience", k.AttemptTimeout, 10*time.Millisecond, time.Duration(k.Deadline))
		requireDuration(name+"resend", k.ResendDelay, 10*time.Millisecond, time.Minute)
		requireInt(name+"resends", k.MaxResends, 0, 10)
		c.require(k.Effect == "safe" || k.Effect == "once", name+"effect", "must be safe or once, not %q", k.Effect)
		c.require(k.Worth >= 0 && k.Worth < 1e6, name+"worth", "must be 0 or more")
	}
	// A second server could count an event that the first has already counted, so no
	// setting may allow an attempt at another server.
	c.require(r.Accounting.Effect != "safe", "radius.accounting.effect", "must be once: an event would be counted twice")
	requireInt(fieldName("attempts"), r.MaxAttempts, 1, 5)
	requireInt(fieldName("sockets"), r.MaxSocketsPerServer, 1, 64)
	requireDuration(fieldName("rest"), r.LateAnswerTTL, time.Second, 5*time.Minute)
	requireDuration(fieldName("remember_for"), r.RememberTTL, time.Second, 10*time.Minute)
	requireInt(fieldName("remember_bytes"), r.MaxRememberBytes, 1<<16, 1<<30)
	requireInt(fieldName("remember_bytes_each"), r.MaxRememberBytesPerClient, 1<<14, max(1<<14, r.MaxRememberBytes))
	// Report a missing folder at startup; the file is only written at shutdown.
	if r.Enabled && r.RememberFile != "" {
		info, err := os.Stat(filepath.Dir(r.RememberFile))
		c.require(err == nil && info.IsDir(), fieldName("remember_file"), "its folder is not there")
	}
	requireInt(fieldName("calls_each"), r.MaxCallsPerClient, 1, 1<<16)
	requireInt(fieldName("conversations"), r.MaxConversations, 1, 1<<20)
	requireDuration(fieldName("conversation_for"), r.ConversationTTL, time.Second, time.Hour)
	c.require(r.OnGiveUp == "reject" || r.OnGiveUp == "silent", fieldName("on_give_up"), "must be reject or silent, not %q", r.OnGiveUp)
	requireInt(fieldName("error_cause"), r.ErrorCause, 0, 599)
	c.require(r.ProbeInterval == 0 || time.Duration(r.ProbeInterval) >= 100*time.Millisecond && time.Duration(r.ProbeInterval) <= time.Hour, fieldName("probe_every"), "must be 0 or within 100ms and 1h")
	requireInt(fieldName("probe_misses"), r.MaxProbeMisses, 1, 100)
}

// maxSecretFileBytes limits the size of a file with a secret.
const maxSecretFileBytes = 4 << 10

// loadSecret returns the given secret, or the content of the file at path. The file is not
// read unless enabled.
func (c *checker) loadSecret(prefix, field string, secret Secret, path string, enabled bool) Secret {
	c.require(secret == "" || path == "", prefix+field, "and %s_file are both set", field)
	if path != "" {
		if !enabled { // a disabled section must not prevent the start
			return secret
		}
		text, err := os.ReadFile(path)
		if err != nil || len(text) > maxSecretFileBytes {
			c.require(false, prefix+field+"_file", "can't be read")
			return secret
		}
		secret = Secret(strings.TrimRight(string(text), "\r\n"))
	}
	c.require(!enabled || secret != "", prefix+field, "is not set")
	return secret
}
