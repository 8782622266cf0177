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

// Secret is a text that shows nowhere: not in logs, errors or dumps.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return "(secret)" }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return "(secret)" }

// Radius is the section [radius]: counter terminals that check identities over RADIUS.
// It does nothing unless Enabled.
type Radius struct {
	Enabled bool `toml:"enabled"`
	// Auth and Acct are the addresses on which access and accounting are taken; empty:
	// not at all.
	Auth string `toml:"auth"`
	Acct string `toml:"acct"`

	Clients []RadiusClient `toml:"clients"`
	Servers []RadiusServer `toml:"servers"`
	// AuthDiscovery and AcctDiscovery name servers in place of the list, for all realms;
	// all of these have DiscoverySecret.
	AuthDiscovery       string `toml:"auth_discovery"`
	AcctDiscovery       string `toml:"acct_discovery"`
	DiscoverySecret     Secret `toml:"discovery_secret"`
	DiscoverySecretFile string `toml:"discovery_secret_file"`

	Access     RadiusClass `toml:"access"`
	Accounting RadiusClass `toml:"accounting"`

	Attempts        int               `toml:"attempts"` // servers tried for one call, 1 to 5
	Sockets         int               `toml:"sockets"`  // of each server, 256 attempts each
	UnsignedAnswers bool              `toml:"unsigned_answers"`
	Rest            duration.Duration `toml:"rest"` // how long a late answer may come

	RememberFor       duration.Duration `toml:"remember_for"`
	RememberBytes     int               `toml:"remember_bytes"`
	RememberBytesEach int               `toml:"remember_bytes_each"` // of one client address
	// RememberFile keeps what is remembered of accounting over a restart by SIGTERM;
	// empty: it is forgotten.
	RememberFile    string            `toml:"remember_file"`
	CallsEach       int               `toml:"calls_each"` // under way, of one client address
	Conversations   int               `toml:"conversations"`
	ConversationFor duration.Duration `toml:"conversation_for"`

	OnGiveUp   string `toml:"on_give_up"` // reject or silent, for access
	ErrorCause int    `toml:"error_cause"`

	ProbeEvery  duration.Duration `toml:"probe_every"` // Status-Server to each server; 0: never
	ProbeMisses int               `toml:"probe_misses"`
}

// RadiusClient is [[radius.clients]].
type RadiusClient struct {
	Name       string `toml:"name"`
	Range      string `toml:"range"`
	Secret     Secret `toml:"secret"`
	SecretFile string `toml:"secret_file"`
	Unsigned   bool   `toml:"unsigned"`
}

// RadiusServer is [[radius.servers]].
type RadiusServer struct {
	Name       string   `toml:"name"`
	Auth       string   `toml:"auth"`
	Acct       string   `toml:"acct"`
	Zone       string   `toml:"zone"`
	Secret     Secret   `toml:"secret"`
	SecretFile string   `toml:"secret_file"`
	Realms     []string `toml:"realms"` // that it serves; none: all that no server names
}

// RadiusClass is [radius.access] and [radius.accounting].
type RadiusClass struct {
	Aim      duration.Duration `toml:"aim"`
	Deadline duration.Duration `toml:"deadline"`
	Patience duration.Duration `toml:"patience"` // of one attempt
	Resend   duration.Duration `toml:"resend"`   // the same packet to the same server again, first after so long
	Resends  int               `toml:"resends"`
	Effect   string            `toml:"effect"` // safe: another server may be asked when one says nothing; once: not
	Worth    float64           `toml:"worth"`
}

// radiusDefault is what the section has where it says nothing.
func radiusDefault() Radius {
	return Radius{
		Access:     RadiusClass{Aim: s(2), Deadline: s(4), Patience: s(1), Resend: duration.Duration(300 * time.Millisecond), Resends: 1, Effect: "safe", Worth: 1},
		Accounting: RadiusClass{Aim: s(5), Deadline: s(20), Patience: s(19), Resend: duration.Duration(500 * time.Millisecond), Resends: 8, Effect: "once", Worth: 1},
		Attempts:   3, Sockets: 4, Rest: s(10),
		RememberFor: s(30), RememberBytes: 8 << 20, RememberBytesEach: 1 << 20, CallsEach: 256,
		Conversations: 4096, ConversationFor: s(120), OnGiveUp: "reject", ErrorCause: 502, ProbeMisses: 3,
	}
}

func s(n int) duration.Duration { return duration.Duration(time.Duration(n) * time.Second) }

const (
	radiusServersMost = 256
	radiusClientsMost = 1024
)

func (r *Radius) check(c *checker) {
	at := func(field string) string { return "radius." + field }
	address := func(field, addr string) {
		_, err := netip.ParseAddrPort(addr)
		c.need(err == nil, field, "must be an IP address with a port, not %q", addr)
	}
	within := func(field string, d duration.Duration, least, most time.Duration) {
		c.need(time.Duration(d) >= least && time.Duration(d) <= most, field, "must be within %v and %v, not %v", least, most, time.Duration(d))
	}
	between := func(field string, n, least, most int) {
		c.need(n >= least && n <= most, field, "must be within %d and %d, not %d", least, most, n)
	}
	if r.Auth != "" {
		address(at("auth"), r.Auth)
	}
	if r.Acct != "" {
		address(at("acct"), r.Acct)
	}
	c.need(!r.Enabled || r.Auth != "" || r.Acct != "", at("enabled"), "neither radius.auth nor radius.acct is set")
	c.need(!r.Enabled || len(r.Clients) > 0, at("clients"), "there is none")
	c.need(len(r.Clients) <= radiusClientsMost, at("clients"), "%d at most", radiusClientsMost)
	c.need(len(r.Servers) <= radiusServersMost, at("servers"), "%d at most", radiusServersMost)
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
		c.need(err == nil, name+"range", "must be an address or a range (10.0.0.0/8), not %q", k.Range)
		c.need(err != nil || !ranges[p.Masked()], name+"range", "is there twice")
		ranges[p.Masked()] = true
		k.Secret = c.secret(name, "secret", k.Secret, k.SecretFile, r.Enabled)
	}
	names := make(map[string]bool)
	anyAuth, anyAcct := r.AuthDiscovery != "", r.AcctDiscovery != ""
	for n := range r.Servers {
		k := &r.Servers[n]
		name := fmt.Sprintf("radius.servers[%d].", n)
		c.need(k.Name != "" && !names[k.Name], name+"name", "must be set and the only one of its kind")
		names[k.Name] = true
		c.need(k.Auth != "" || k.Acct != "", name+"auth", "neither auth nor acct is set")
		if k.Auth != "" {
			address(name+"auth", k.Auth)
			anyAuth = true
		}
		if k.Acct != "" {
			address(name+"acct", k.Acct)
			anyAcct = true
		}
		k.Secret = c.secret(name, "secret", k.Secret, k.SecretFile, r.Enabled)
	}
	c.need(!r.Enabled || r.Auth == "" || anyAuth, at("servers"), "none takes access, which radius.auth brings")
	c.need(!r.Enabled || r.Acct == "" || anyAcct, at("servers"), "none takes accounting, which radius.acct brings")
	for field, addr := range map[string]string{"auth_discovery": r.AuthDiscovery, "acct_discovery": r.AcctDiscovery} {
		if addr != "" {
			address(at(field), addr)
		}
	}
	if r.AuthDiscovery != "" || r.AcctDiscovery != "" {
		c.need(len(r.Servers) == 0, at("servers"), "stands beside a discovery")
		c.need(r.ProbeEvery == 0, at("probe_every"), "stands beside a discovery, which tells who is there")
		r.DiscoverySecret = c.secret("radius.", "discovery_secret", r.DiscoverySecret, r.DiscoverySecretFile, r.Enabled)
	}
	for name, k := range map[string]*RadiusClass{"radius.access.": &r.Access, "radius.accounting.": &r.Accounting} {
		within(name+"deadline", k.Deadline, 100*time.Millisecond, 2*time.Minute)
		within(name+"aim", k.Aim, time.Millisecond, time.Duration(k.Deadline))
		within(name+"patience", k.Patience, 10*time.Millisecond, time.Duration(k.Deadline))
		within(name+"resend", k.Resend, 10*time.Millisecond, time.Minute)
		between(name+"resends", k.Resends, 0, 10)
		c.need(k.Effect == "safe" || k.Effect == "once", name+"effect", "must be safe or once, not %q", k.Effect)
		c.need(k.Worth >= 0 && k.Worth < 1e6, name+"worth", "must be 0 or more")
	}
	// Another server counts what the first may have counted: no setting may allow that.
	c.need(r.Accounting.Effect != "safe", "radius.accounting.effect", "must be once: an event would be counted twice")
	between(at("attempts"), r.Attempts, 1, 5)
	between(at("sockets"), r.Sockets, 1, 64)
	within(at("rest"), r.Rest, time.Second, 5*time.Minute)
	within(at("remember_for"), r.RememberFor, time.Second, 10*time.Minute)
	between(at("remember_bytes"), r.RememberBytes, 1<<16, 1<<30)
	between(at("remember_bytes_each"), r.RememberBytesEach, 1<<14, max(1<<14, r.RememberBytes))
	if r.Enabled && r.RememberFile != "" { // its end would be too late to notice
		info, err := os.Stat(filepath.Dir(r.RememberFile))
		c.need(err == nil && info.IsDir(), at("remember_file"), "its folder is not there")
	}
	between(at("calls_each"), r.CallsEach, 1, 1<<16)
	between(at("conversations"), r.Conversations, 1, 1<<20)
	within(at("conversation_for"), r.ConversationFor, time.Second, time.Hour)
	c.need(r.OnGiveUp == "reject" || r.OnGiveUp == "silent", at("on_give_up"), "must be reject or silent, not %q", r.OnGiveUp)
	between(at("error_cause"), r.ErrorCause, 0, 599)
	c.need(r.ProbeEvery == 0 || time.Duration(r.ProbeEvery) >= 100*time.Millisecond && time.Duration(r.ProbeEvery) <= time.Hour, at("probe_every"), "must be 0 or within 100ms and 1h")
	between(at("probe_misses"), r.ProbeMisses, 1, 100)
}

// secretMost bounds a file with a secret.
const secretMost = 4 << 10

// secret is the one that stands in the file, or in a file of its own.
func (c *checker) secret(at, field string, given Secret, path string, read bool) Secret {
	c.need(given == "" || path == "", at+field, "and %s_file are both set", field)
	if path != "" {
		if !read { // what is off must not stop a start
			return given
		}
		text, err := os.ReadFile(path)
		if err != nil || len(text) > secretMost {
			c.need(false, at+field+"_file", "can't be read")
			return given
		}
		given = Secret(strings.TrimRight(string(text), "\r\n"))
	}
	c.need(!read || given != "", at+field, "is not set")
	return given
}
