package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"chalkrack"
	"chalkrack/internal/discovery"
	"chalkrack/internal/membership"
	"chalkrack/internal/settings"
)

// Effect says whether calls of a class may run more than once.
type Effect int

const (
	// Unsafe calls must not run twice. It is the zero value, so that a class without an
	// Effect is never repeated.
	Unsafe Effect = iota
	// Keyed calls carry an Idempotency-Key, which servers use to drop repeats for a window.
	Keyed
	// Safe calls may run any number of times.
	Safe
)

// Scope is the set of servers that share the keys of keyed calls and so drop repeats.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Class holds the rules and time limits for a class of calls.
type Class struct {
	Name     string
	Effect   Effect
	Scope    Scope         // used if Effect is Keyed
	Window   time.Duration // used if Effect is Keyed: how long servers drop repeats
	Aim      time.Duration // target latency
	Deadline time.Duration // longest wait of a caller that sets no deadline of its own
	Worth    float64       // weight relative to other classes; 0: 1
}

// Node is one server of a fixed list.
type Node struct {
	Name     string // must be the same at all callers; empty: the address
	Address  string // host:port
	Zone     string
	Group    int
	Draining bool
}

// Info is the result of classifying a request.
type Info struct {
	Class  string
	Key    string // the Idempotency-Key
	Tenant string
	About  string // subject of the call: calls with the same subject may go to the same server
}

// Config configures a Transport. Either Platform, or Classes and a source of nodes must
// be set. Errors name the invalid field.
type Config struct {
	Classes []Class

	// Nodes is a fixed list of servers. Discovery is the address of a discovery service
	// whose list the Transport watches.
	Nodes     []Node
	Discovery string
	// Daemon is the address of the sidecar on this host. If it is set, calls are sent
	// through the sidecar, which decides them, while it is available. While it is not,
	// the Transport decides if it has nodes, and refuses calls if it has none.
	Daemon string

	// Platform is a daemon's JSON configuration. Its settings replace Classes,
	// MaxAttempts, Zone and Instances, which must not be set; its list and its discovery
	// address are used if neither Nodes nor Discovery is set.
	Platform []byte

	MaxAttempts int    // attempts per call; 0: 3
	Zone        string // zone of this process
	Instances   int    // number of processes like this one that send to the servers; 0: 1
	NoCopies    bool   // disables hedging: no copy is sent before the first attempt has ended

	MaxCalls int   // concurrent calls, more are refused; 0: 1024
	MaxConns int   // concurrent connections to servers; 0: 128
	MaxBody  int64 // bytes of a call's body, which is held for further attempts; 0: 1 MiB
	// Keep configures storing larger bodies for further attempts, by the same rules as
	// the daemon's. MaxBody is ignored then. The zero value turns it off.
	Keep     Keep
	ConnIdle time.Duration // idle time after which servers close a connection; 0: 15 s
	Dial     time.Duration // timeout for connecting; 0: 1 s

	// Pause is the longest time without data in a streamed response that has begun;
	// 0: 400 ms. Raise it for streams whose servers send only now and then.
	Pause time.Duration

	// PassClientErrors returns a server's 4xx response (except 408 and 429) to the
	// caller. Otherwise every status but 200 is a failed attempt, as in the daemon.
	PassClientErrors bool

	// Classify returns the class and keys of a request; nil: Classify of this package.
	Classify func(*http.Request) (Info, error)

	Seed uint64       // seed of all random choices; 0: a random seed
	Log  *slog.Logger // nil: slog.Default()
}

const drainGrace = 2 * time.Second

// validConfig is a Config that has been validated and completed with defaults.
type validConfig struct {
	Config
	settings      *settings.Settings
	knownNodes    *membership.List
	asksDiscovery bool
}

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

func validateAddress(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err == nil {
		if n, perr := strconv.Atoi(port); perr != nil || n < 1 || n > 65535 || host == "" {
			err = fmt.Errorf("%q is not an address with a host and a port", addr)
		}
	}
	if err != nil {
		return fmt.Errorf("client: %s: %w", field, err)
	}
	return nil
}

func (c Config) validate() (*validConfig, error) {
	p := &validConfig{Config: c}
	var err error
	if len(c.Platform) > 0 {
		err = p.loadPlatform()
	} else {
		p.settings, err = c.newSettings()
	}
	if err != nil {
		return nil, err
	}
	switch {
	case c.MaxCalls < 0:
		return nil, errors.New("client: MaxCalls must be 0 or more")
	case c.MaxConns < 0:
		return nil, errors.New("client: MaxConns must be 0 or more")
	case c.MaxBody < 0:
		return nil, errors.New("client: MaxBody must be 0 or more")
	case c.ConnIdle < 0:
		return nil, errors.New("client: ConnIdle must be 0 or more")
	case c.Pause < 0:
		return nil, errors.New("client: Pause must be 0 or more")
	case c.Dial < 0:
		return nil, errors.New("client: Dial must be 0 or more")
	case len(p.Nodes) > 0 && p.Discovery != "":
		return nil, errors.New("client: Nodes and Discovery are both set")
	case len(p.Nodes) == 0 && p.Discovery == "" && c.Daemon == "":
		return nil, errors.New("client: none of Nodes, Discovery and Daemon is set")
	}
	for field, addr := range map[string]string{"Discovery": p.Discovery, "Daemon": p.Daemon} {
		if addr != "" {
			if err := validateAddress(field, addr); err != nil {
				return nil, err
			}
		}
	}
	if len(p.Nodes) > 0 {
		if p.knownNodes, err = newNodeList(p.Nodes); err != nil {
			return nil, err
		}
	}
	p.settings.MaxHeld = orDefault(c.MaxCalls, orDefault(p.settings.MaxHeld, 1024))
	p.settings.ConnIdle = orDefault(c.ConnIdle, orDefault(p.settings.ConnIdle, 15*time.Second))
	p.settings.DialTimeout = orDefault(c.Dial, orDefault(p.settings.DialTimeout, time.Second))
	p.MaxConns = orDefault(c.MaxConns, 128)
	p.MaxBody = orDefault(c.MaxBody, 1<<20)
	p.Seed = orDefault(p.Seed, rand.Uint64())
	if p.Classify == nil {
		p.Classify = Classify
	}
	return p, nil
}

// newSettings builds the settings from Classes and the fields that Platform would replace.
func (c Config) newSettings() (*settings.Settings, error) {
	if c.MaxAttempts < 0 || c.Instances < 0 {
		return nil, errors.New("client: MaxAttempts and Instances must be 0 or more")
	}
	cfg := chalkrack.Config{
		Instances:     orDefault(c.Instances, 1),
		Zone:          c.Zone,
		MaxAttempts:   orDefault(c.MaxAttempts, 3),
		MayCancel:     true,
		SecondCopies:  !c.NoCopies,
		MaxRetryAfter: time.Second,
	}
	var names []string
	var deadlines []time.Duration
	for n, classConfig := range c.Classes {
		class := chalkrack.Class{Aim: classConfig.Aim, Worth: orDefault(classConfig.Worth, 1), Scope: chalkrack.Scope(classConfig.Scope), Window: classConfig.Window}
		switch classConfig.Effect {
		case Unsafe:
			class.Effect = chalkrack.Unsafe
		case Keyed:
			class.Effect = chalkrack.Keyed
		case Safe:
			class.Effect = chalkrack.Safe
		default:
			return nil, fmt.Errorf("client: Classes[%d].Effect must be Unsafe, Keyed or Safe", n)
		}
		if classConfig.Worth < 0 || classConfig.Window < 0 {
			return nil, fmt.Errorf("client: Classes[%d]: Worth and Window must be 0 or more", n)
		}
		cfg.Classes = append(cfg.Classes, class)
		names = append(names, classConfig.Name)
		deadlines = append(deadlines, classConfig.Deadline)
	}
	set, err := settings.New(cfg, names, deadlines)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	set.DrainGrace = drainGrace
	return set, nil
}

// loadPlatform applies the daemon configuration in Platform.
func (p *validConfig) loadPlatform() error {
	var raw struct {
		Discovery       string
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(p.Platform, &raw); err != nil {
		return fmt.Errorf("client: Platform: %w", err)
	}
	if len(p.Classes) > 0 || p.MaxAttempts != 0 || p.Zone != "" || p.Instances != 0 {
		return errors.New("client: Platform stands in place of Classes, MaxAttempts, Zone and Instances, which must not be set")
	}
	var err error
	if p.settings, err = settings.Parse(raw.Settings); err != nil {
		return fmt.Errorf("client: Platform: %w", err)
	}
	if err := p.settings.Config.Validate(); err != nil {
		return fmt.Errorf("client: Platform: %w", err)
	}
	for n, d := range p.settings.Deadlines {
		if d <= 0 {
			return fmt.Errorf("client: Platform: settings.classes[%d].hardLimitUs must be above 0", n)
		}
	}
	if p.NoCopies {
		p.settings.Config.SecondCopies = false
	}
	if len(p.Nodes) == 0 && p.Discovery == "" {
		p.Discovery = raw.Discovery
		if len(raw.Known) > 0 && string(raw.Known) != "null" {
			if p.knownNodes, err = discovery.Parse(raw.Known); err != nil {
				return fmt.Errorf("client: Platform: known: %w", err)
			}
			p.knownNodes.Complete = true
		}
	}
	p.asksDiscovery = p.settings.Config.AskWithin > 0 && p.Discovery != ""
	if !p.asksDiscovery {
		p.settings.Config.AskWithin = 0
	}
	return nil
}

func newNodeList(nodes []Node) (*membership.List, error) {
	l := &membership.List{Complete: true}
	seen := make(map[string]bool)
	for n, node := range nodes {
		if err := validateAddress(fmt.Sprintf("Nodes[%d].Address", n), node.Address); err != nil {
			return nil, err
		}
		e := membership.Entry{Endpoint: chalkrack.Endpoint{Name: orDefault(node.Name, node.Address), Zone: node.Zone, Group: node.Group, Hint: 1}, Address: node.Address}
		if seen[e.Name] {
			return nil, fmt.Errorf("client: Nodes[%d].Name: %q is used twice", n, e.Name)
		}
		seen[e.Name] = true
		if node.Draining {
			e.State = chalkrack.Draining
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}
