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

// Effect is what a class of calls allows.
type Effect int

const (
	// Unsafe calls must not run twice. It is the zero value: a class that says nothing
	// of repeats has none.
	Unsafe Effect = iota
	// Keyed calls carry an Idempotency-Key, by which servers drop repeats for a window.
	Keyed
	// Safe calls may run any number of times.
	Safe
)

// Scope is the group of servers that drops the repeats of a keyed call.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Class is a class of calls.
type Class struct {
	Name     string
	Effect   Effect
	Scope    Scope         // for Keyed
	Window   time.Duration // for Keyed: how long servers drop repeats
	Aim      time.Duration // an answer is wanted within it
	Deadline time.Duration // a caller waits no longer, unless its context says so
	Worth    float64       // beside other classes; 0: 1
}

// Node is one server of a fixed list.
type Node struct {
	Name     string // the same at all callers; empty: the address
	Address  string // host:port
	Zone     string
	Group    int
	Draining bool
}

// Info is what a Transport must know of a request.
type Info struct {
	Class  string
	Key    string // the Idempotency-Key
	Tenant string
	About  string // what the call is about: calls on the same may go to the same server
}

// Config is what a Transport is told. Classes and one source of nodes must be set, or
// Platform. Errors name the field.
type Config struct {
	Classes []Class

	// Nodes is a fixed list of servers, Discovery the address of one that is followed.
	Nodes     []Node
	Discovery string
	// Daemon is the address of the sidecar on this host. Where it is set, calls go by
	// way of it and it decides on them, as long as it is there. While it is not, the
	// Transport decides, if it has nodes, and refuses calls if it has none.
	Daemon string

	// Platform is a daemon's JSON configuration. Its settings stand in place of
	// Classes, MaxAttempts, Zone and Instances, its list and its discovery in place of
	// Nodes and Discovery.
	Platform []byte

	MaxAttempts int    // of one call; 0: 3
	Zone        string // that of this process
	Instances   int    // how many processes like this one send to the servers; 0: 1
	NoCopies    bool   // no second copy before the first attempt has ended

	MaxCalls int   // held at once, more are refused; 0: 1024
	MaxConns int   // to servers at once; 0: 128
	MaxBody  int64 // of a call's body, in bytes: it is kept for further attempts; 0: 1 MiB
	// Keep has larger bodies kept for further attempts, by the same rules as the
	// daemon's; MaxBody does not count then. Its zero value is off.
	Keep     Keep
	ConnIdle time.Duration // servers close a connection that has been idle for so long; 0: 15 s
	Dial     time.Duration // how long a connection may take to come up; 0: 1 s

	// Pause is how long a long answer may say nothing once it has begun; 0: 400 ms. For
	// streams whose servers speak now and then.
	Pause time.Duration

	// PassClientErrors hands a server's 4xx (but for 408 and 429) to the caller as the
	// answer. Otherwise all but 200 are failed attempts, as the daemon has it.
	PassClientErrors bool

	// Classify says what a request is; nil: Classify of this package.
	Classify func(*http.Request) (Info, error)

	Seed uint64       // of all chance; 0: a random one
	Log  *slog.Logger // nil: slog.Default()
}

const drainGrace = 2 * time.Second

// plan is a Config that has been checked.
type plan struct {
	Config
	set   *settings.Settings
	known *membership.List
	asks  bool
}

func or[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

func checkAddress(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err == nil {
		if n, perr := strconv.Atoi(port); perr != nil || n < 1 || n > 65535 || host == "" {
			err = fmt.Errorf("%q is no address with a port", addr)
		}
	}
	if err != nil {
		return fmt.Errorf("client: %s: %w", field, err)
	}
	return nil
}

func (c Config) check() (*plan, error) {
	p := &plan{Config: c}
	var err error
	if len(c.Platform) > 0 {
		err = p.platform()
	} else {
		p.set, err = c.settings()
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
			if err := checkAddress(field, addr); err != nil {
				return nil, err
			}
		}
	}
	if len(p.Nodes) > 0 {
		if p.known, err = nodeList(p.Nodes); err != nil {
			return nil, err
		}
	}
	p.set.MaxHeld = or(c.MaxCalls, or(p.set.MaxHeld, 1024))
	p.set.ConnIdle = or(c.ConnIdle, or(p.set.ConnIdle, 15*time.Second))
	p.set.DialTimeout = or(c.Dial, or(p.set.DialTimeout, time.Second))
	p.MaxConns = or(c.MaxConns, 128)
	p.MaxBody = or(c.MaxBody, 1<<20)
	p.Seed = or(p.Seed, rand.Uint64())
	if p.Classify == nil {
		p.Classify = Classify
	}
	return p, nil
}

// settings is what Classes and their company say.
func (c Config) settings() (*settings.Settings, error) {
	if c.MaxAttempts < 0 || c.Instances < 0 {
		return nil, errors.New("client: MaxAttempts and Instances must be 0 or more")
	}
	cfg := chalkrack.Config{
		Instances:     or(c.Instances, 1),
		Zone:          c.Zone,
		MaxAttempts:   or(c.MaxAttempts, 3),
		MayCancel:     true,
		SecondCopies:  !c.NoCopies,
		MaxRetryAfter: time.Second,
	}
	var names []string
	var deadlines []time.Duration
	for n, k := range c.Classes {
		class := chalkrack.Class{Aim: k.Aim, Worth: or(k.Worth, 1), Scope: chalkrack.Scope(k.Scope), Window: k.Window}
		switch k.Effect {
		case Unsafe:
			class.Effect = chalkrack.Unsafe
		case Keyed:
			class.Effect = chalkrack.Keyed
		case Safe:
			class.Effect = chalkrack.Safe
		default:
			return nil, fmt.Errorf("client: Classes[%d].Effect must be Unsafe, Keyed or Safe", n)
		}
		if k.Worth < 0 || k.Window < 0 {
			return nil, fmt.Errorf("client: Classes[%d]: Worth and Window must be 0 or more", n)
		}
		cfg.Classes = append(cfg.Classes, class)
		names = append(names, k.Name)
		deadlines = append(deadlines, k.Deadline)
	}
	set, err := settings.New(cfg, names, deadlines)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	set.DrainGrace = drainGrace
	return set, nil
}

// platform reads a daemon's configuration.
func (p *plan) platform() error {
	var raw struct {
		Discovery       string
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(p.Platform, &raw); err != nil {
		return fmt.Errorf("client: Platform: %w", err)
	}
	if len(p.Classes) > 0 || p.MaxAttempts != 0 || p.Zone != "" || p.Instances != 0 {
		return errors.New("client: Platform stands in place of Classes, MaxAttempts, Zone and Instances, which are set too")
	}
	var err error
	if p.set, err = settings.Parse(raw.Settings); err != nil {
		return fmt.Errorf("client: Platform: %w", err)
	}
	if err := p.set.Config.Validate(); err != nil {
		return fmt.Errorf("client: Platform: %w", err)
	}
	for n, d := range p.set.Deadlines {
		if d <= 0 {
			return fmt.Errorf("client: Platform: settings.classes[%d].hardLimitUs must be above 0", n)
		}
	}
	if p.NoCopies {
		p.set.Config.SecondCopies = false
	}
	if len(p.Nodes) == 0 && p.Discovery == "" {
		p.Discovery = raw.Discovery
		if len(raw.Known) > 0 && string(raw.Known) != "null" {
			if p.known, err = discovery.Parse(raw.Known); err != nil {
				return fmt.Errorf("client: Platform: known: %w", err)
			}
			p.known.Whole = true
		}
	}
	p.asks = p.set.Config.AskWithin > 0 && p.Discovery != ""
	if !p.asks {
		p.set.Config.AskWithin = 0
	}
	return nil
}

func nodeList(nodes []Node) (*membership.List, error) {
	l := &membership.List{Whole: true}
	seen := make(map[string]bool)
	for n, node := range nodes {
		if err := checkAddress(fmt.Sprintf("Nodes[%d].Address", n), node.Address); err != nil {
			return nil, err
		}
		e := membership.Entry{Endpoint: chalkrack.Endpoint{Name: or(node.Name, node.Address), Zone: node.Zone, Group: node.Group, Hint: 1}, Address: node.Address}
		if seen[e.Name] {
			return nil, fmt.Errorf("client: Nodes[%d].Name: %q is there twice", n, e.Name)
		}
		seen[e.Name] = true
		if node.Draining {
			e.State = chalkrack.Draining
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}
