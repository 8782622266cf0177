// Package translate says what each directive of a HAProxy configuration becomes here, and
// makes routes and pools of what can be carried. It has no I/O. It does not guess: what
// it does not know is not carried, and what would repeat requests that must not run twice
// is refused as dangerous, whatever else it says.
package translate

import (
	"cmp"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"chalkrack/internal/duration"
	"chalkrack/internal/features"
	"chalkrack/internal/haproxy"
)

// Verdict is what becomes of a directive.
type Verdict int

const (
	Carried Verdict = iota
	Different
	Lost
	Danger
)

// String is the verdict for people.
func (v Verdict) String() string {
	return [...]string{"carried", "carried with a difference", "not carried", "dangerous"}[v]
}

// Entry is one directive's verdict.
type Entry struct {
	At      string  `json:"at"`
	Section string  `json:"section"`
	Text    string  `json:"directive"`
	Verdict Verdict `json:"-"`
	Word    string  `json:"verdict"`
	Why     string  `json:"why"`
}

// Result is what a configuration became.
type Result struct {
	Entries   []Entry
	Listeners []features.Listener
	Pools     []features.Pool
	Routes    []features.Route
}

// Count is how many directives have a verdict.
func (r *Result) Count(v Verdict) (n int) {
	for _, e := range r.Entries {
		if e.Verdict == v {
			n++
		}
	}
	return n
}

// Options are what a translation goes by.
type Options struct {
	// Classes are the platform's, whose first parts of paths a check must not ask for.
	Classes []string
	// SafeClass is that of imported requests by GET, HEAD and OPTIONS, OtherClass that of
	// all others; without them the first part of a request's path names its class.
	SafeClass, OtherClass string
}

// proxy is what holds for a frontend, backend or listen, its defaults included.
type proxy struct {
	s        *haproxy.Section
	mode     string
	retries  int
	check    features.PoolChecks
	checked  bool // option httpchk, with a path
	badCheck bool
	inter    time.Duration
	acls     map[string][]*haproxy.Directive
	servers  []features.PoolServer
	slow     time.Duration
	conns    int
	// active is what the servers' maxconn add up to, unless one has none.
	active, waiting int
	unbounded       bool
	queueWait       time.Duration // timeout queue
	connectWait     time.Duration // and what holds in its place
	listener        string        // of a frontend that is carried; empty: it is not
	bind            *haproxy.Directive
	address         string // of bind
	// each is what default-server puts before a server's own options, backend the default
	// one, its defaults' included.
	each    []string
	backend string
}

type translator struct {
	o         Options
	c         *haproxy.Config
	out       *Result
	proxies   map[*haproxy.Section]*proxy
	backend   map[string]*proxy
	routes    []ranked
	byDefault map[*proxy]string // the pool behind all rules of a frontend
	fronts    []*proxy          // that are carried, in their order
}

// Translate gives every directive one verdict and makes what can be made.
func Translate(c *haproxy.Config, o Options) *Result {
	t := &translator{o: o, c: c, out: new(Result), proxies: make(map[*haproxy.Section]*proxy), backend: make(map[string]*proxy), byDefault: make(map[*proxy]string)}
	for _, s := range c.Sections {
		switch s.Kind {
		case "frontend", "backend", "listen":
		default:
			continue
		}
		p := &proxy{s: s, mode: "tcp", retries: 3, conns: 32, inter: 2 * time.Second, acls: make(map[string][]*haproxy.Directive)}
		t.proxies[s] = p
		for d := range s.All {
			if d.Holds == haproxy.True {
				t.collect(p, d)
			}
		}
		if s.Kind != "backend" && p.mode == "http" && s.Head.Holds == haproxy.True {
			t.listen(p)
		}
		if s.Kind != "frontend" && t.backend[s.Name] == nil {
			t.backend[s.Name] = p
		}
	}
	for _, d := range c.Outside {
		t.say(nil, d, Lost, "stands before any section")
	}
	for _, d := range c.Blocks {
		t.say(nil, d, Carried, "a conditional block: its lines have verdicts of their own")
	}
	for _, s := range c.Sections {
		t.head(s)
		for _, d := range s.Directives {
			t.directive(s, d)
		}
	}
	t.pools()
	t.order()
	return t.out
}

func (t *translator) say(s *haproxy.Section, d *haproxy.Directive, v Verdict, why string) {
	e := Entry{At: d.At(), Text: strings.TrimSpace(d.Raw), Verdict: v, Word: v.String(), Why: why}
	if s != nil {
		e.Section = strings.TrimSpace(s.Kind + " " + s.Name)
	}
	t.out.Entries = append(t.out.Entries, e)
}

// head is the verdict of a section's own line.
func (t *translator) head(s *haproxy.Section) {
	switch p := t.proxies[s]; {
	case s.Kind == "global" || s.Kind == "defaults":
		t.say(s, s.Head, Carried, "its directives have verdicts of their own")
	case p == nil && s.Known:
		t.say(s, s.Head, Lost, "there is nothing of its kind here")
	case p == nil:
		t.say(s, s.Head, Lost, "HAProxy has no section of this kind, as far as is known here")
	case s.Head.Holds != haproxy.True:
		t.say(s, s.Head, Lost, notHeld(s.Head))
	case p.mode != "http":
		t.say(s, s.Head, Lost, "mode "+p.mode+": only HTTP is carried")
	case s.Kind == "backend" && t.backend[s.Name] != p:
		t.say(s, s.Head, Lost, "a backend of that name is there already")
	case s.Kind == "backend" && len(p.servers) == 0:
		t.say(s, s.Head, Lost, "none of its servers is carried")
	case s.Kind == "backend":
		t.say(s, s.Head, Carried, "a pool")
	case p.listener == "":
		t.say(s, s.Head, Lost, "a further listener needs a name of its own and a bind with a port and without TLS")
	case p.listener != features.PlatformListener:
		t.say(s, s.Head, Carried, "a listener and its routes")
	default:
		t.say(s, s.Head, Different, "routes; where it listens is for the platform to say")
	}
}

func notHeld(d *haproxy.Directive) string {
	if d.Holds == haproxy.False {
		return "in a conditional block that does not hold"
	}
	return "in a conditional block that depends on the HAProxy that reads it: decide by hand"
}

// key is a directive's name: two words where the first says only what kind it is.
func key(d *haproxy.Directive) string {
	k := d.Key()
	args := d.Args()
	switch k {
	case "option", "timeout", "http-request", "http-response", "http-check", "tcp-request", "tcp-response", "tcp-check", "stats", "stick", "http-after-response":
		if len(args) > 0 {
			return k + " " + args[0]
		}
	case "no":
		if len(args) > 1 && args[0] == "option" {
			return "no option " + args[1]
		}
	}
	return k
}

// value is a time with HAProxy's units; without one it is of milliseconds.
func value(text string) (time.Duration, bool) {
	units := []struct {
		name string
		d    time.Duration
	}{{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour}, {"", time.Millisecond}}
	for _, u := range units {
		if number, ok := strings.CutSuffix(text, u.name); ok {
			if n, err := strconv.ParseInt(number, 10, 32); err == nil && n >= 0 {
				return time.Duration(n) * u.d, true
			}
		}
	}
	return 0, false
}

// collect takes what a directive sets for a proxy.
func (t *translator) collect(p *proxy, d *haproxy.Directive) {
	args := d.Args()
	arg := func(n int) string {
		if n < len(args) {
			return args[n]
		}
		return ""
	}
	switch key(d) {
	case "mode":
		p.mode = arg(0)
	case "retries":
		if n, err := strconv.Atoi(arg(0)); err == nil && n >= 0 && n < 20 {
			p.retries = n
		}
	case "option httpchk":
		p.checked = true
		method, path := "OPTIONS", "/"
		switch {
		case strings.HasPrefix(arg(1), "/"):
			path = arg(1)
		case arg(1) != "":
			method = arg(1)
			if arg(2) != "" {
				path = arg(2)
			}
		}
		p.check.Path = path
		p.badCheck = p.badCheck || !harmless(method) || t.ofClass(path)
	case "http-check send":
		for n := 1; n+1 < len(args); n++ {
			switch args[n] {
			case "meth":
				p.badCheck = p.badCheck || !harmless(args[n+1])
			case "uri":
				p.check.Path = args[n+1]
				p.badCheck = p.badCheck || t.ofClass(args[n+1])
			}
		}
	case "timeout queue":
		p.queueWait, _ = value(arg(1))
	case "timeout connect":
		p.connectWait, _ = value(arg(1))
	case "acl":
		p.acls[arg(0)] = append(p.acls[arg(0)], d)
	case "default-server":
		p.each = append(p.each[:len(p.each):len(p.each)], args...)
	case "default_backend":
		p.backend = arg(0)
	case "bind":
		if addr := address(arg(0)); p.bind == nil && addr != "" && !slices.Contains(args, "ssl") {
			p.bind, p.address = d, addr
		}
	case "server":
		t.server(p, args, true)
	}
}

// address is where a bind listens, with a host and one port; empty if it says otherwise.
func address(bind string) string {
	host, port, err := net.SplitHostPort(strings.TrimPrefix(bind, "ipv4@"))
	if n, perr := strconv.Atoi(port); err != nil || perr != nil || n < 1 || n > 65535 {
		return ""
	}
	if host == "" || host == "*" {
		host = "0.0.0.0"
	}
	if net.ParseIP(host) == nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// listen gives a frontend its listener: the first one the platform's, others one of their
// own, if they can have one.
func (t *translator) listen(p *proxy) {
	switch {
	case len(t.fronts) == 0:
		p.listener = features.PlatformListener
	case p.bind == nil || p.s.Name == features.PlatformListener || slices.ContainsFunc(t.fronts, func(o *proxy) bool { return o.s.Name == p.s.Name }):
		return
	default:
		p.listener = p.s.Name
		t.out.Listeners = append(t.out.Listeners, features.Listener{Name: p.s.Name, Address: p.address})
	}
	t.fronts = append(t.fronts, p)
}

func harmless(method string) bool { return method == "GET" || method == "HEAD" || method == "OPTIONS" }

// ofClass says whether a path is one that the platform's classes have.
func (t *translator) ofClass(path string) bool {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	first, _, _ = strings.Cut(first, "?")
	for _, c := range t.o.Classes {
		if c == first {
			return true
		}
	}
	return false
}

// server reads a server's words, takes it up, and gives its verdict.
func (t *translator) server(p *proxy, args []string, take bool) (Verdict, string) {
	if len(args) < 2 {
		return Lost, "a server without an address"
	}
	args = slices.Concat(args[:2], p.each, args[2:])
	s := features.PoolServer{Name: args[0], Address: args[1], Weight: 1}
	host, port, err := net.SplitHostPort(s.Address)
	if n, perr := strconv.Atoi(port); err != nil || perr != nil || n < 1 || n > 65535 || net.ParseIP(host) == nil {
		return Lost, "its address must be an IP address with a port: names are not looked up, and a port is not made up"
	}
	v, why, checked := Carried, "", false
	differs := func(text string) {
		if v = Different; strings.Contains(why, text) {
			return // of a default and of the server's own
		}
		if why != "" {
			why += "; "
		}
		why += text
	}
	var slow time.Duration
	active, waiting := 0, 0
	for n := 2; n < len(args); n++ {
		next := ""
		if n+1 < len(args) {
			next = args[n+1]
		}
		switch args[n] {
		case "check":
			checked = true
		case "inter", "rise", "fall":
			n++
			if d, ok := value(next); ok && args[n-1] == "inter" && take {
				p.inter = d
			}
			if k, err := strconv.Atoi(next); err == nil && k > 0 && take {
				switch args[n-1] {
				case "rise":
					p.check.Rise = k
				case "fall":
					p.check.Fall = k
				}
			}
			differs(args[n-1] + " holds for all servers of the pool, as the last one says it")
		case "weight":
			n++
			w, err := strconv.Atoi(next)
			if err != nil || w < 0 || w > 256 {
				return Lost, "weight " + next + " is out of range"
			}
			if s.Weight = float64(w); w == 0 {
				return Lost, "weight 0: it gets no calls in HAProxy, so it is left out"
			}
		case "backup":
			s.Backup = true
		case "slowstart":
			n++
			if d, ok := value(next); ok {
				slow = d
			}
			differs("a slow start is the pool's, and limits calls by what a cold server is known to bear")
		case "maxconn", "maxqueue":
			n++
			k, err := strconv.Atoi(next)
			if err != nil || k < 0 {
				return Lost, args[n-1] + " " + next + " is no number"
			}
			if args[n-1] == "maxconn" {
				active = k
			} else {
				waiting = k
			}
			differs(args[n-1] + " holds for the pool as a whole, as the sum of its servers', if each has a maxconn")
		case "cookie":
			n++
			differs("no stickiness by cookie: clients are not bound to it")
		case "ssl", "send-proxy", "send-proxy-v2", "proto", "socks4", "disabled", "track", "agent-check":
			return Lost, args[n] + ": there is nothing like it here, and without it the server would be spoken to wrongly"
		default:
			return Lost, args[n] + " is not known here, and what the server is without it neither"
		}
	}
	if take {
		p.servers = append(p.servers, s)
		p.slow = max(p.slow, slow)
		if !s.Backup { // which serve in the others' place
			p.active += active
			p.waiting += waiting
			p.unbounded = p.unbounded || active == 0
		}
		if checked {
			p.check.Interval = duration.Duration(p.inter)
		}
	}
	if why == "" {
		why = "a server of the pool"
	}
	return v, why
}

// directive gives one directive its verdict.
func (t *translator) directive(s *haproxy.Section, d *haproxy.Directive) {
	p := t.proxies[s]
	k := key(d)
	switch {
	case d.Err != "":
		t.say(s, d, Lost, "can't be read: "+d.Err)
	case d.Holds == haproxy.False:
		t.say(s, d, Lost, notHeld(d))
	case d.Holds == haproxy.Unknown && keepsOut(d, k):
		t.say(s, d, Danger, "it keeps requests out, "+notHeld(d))
	case d.Holds == haproxy.Unknown:
		t.say(s, d, Lost, notHeld(d))
	case dangerous(d, k) != "":
		t.say(s, d, Danger, dangerous(d, k))
	case s.Kind == "global":
		t.say(s, d, Lost, "of HAProxy's process: the platform sets up this one")
	case p == nil && s.Kind != "defaults":
		t.say(s, d, Lost, "its section is not carried")
	case p != nil && p.mode != "http":
		t.say(s, d, Lost, "its section is of mode "+p.mode)
	case p != nil && s.Kind != "backend" && p.listener == "" && k != "server" && k != "balance":
		t.say(s, d, Lost, "its section is a listener that is not carried")
	case p != nil && s.Kind == "backend" && t.backend[s.Name] != p:
		t.say(s, d, Lost, "its section has the name of another")
	case k == "bind" && slices.Contains(d.Args(), "ssl"):
		t.say(s, d, Lost, noTLS)
	case k == "bind" && p != nil && p.listener != "" && p.listener != features.PlatformListener:
		if d == p.bind {
			t.say(s, d, Different, "a listener at "+p.address)
		} else {
			t.say(s, d, Lost, "one address for each listener")
		}
	case k == "server" && p != nil:
		v, why := t.server(p, d.Args(), false)
		if p.badCheck && v != Lost && slices.Contains(slices.Concat(p.each, d.Args()), "check") {
			v, why = Different, why+"; it is not checked, for the check is dangerous"
		}
		t.say(s, d, v, why)
	case k == "default-server":
		if v, why := t.server(&proxy{}, append([]string{"any", "127.0.0.1:1"}, d.Args()...), false); v == Lost {
			t.say(s, d, Lost, why)
		} else {
			t.say(s, d, Carried, "before each server's own options")
		}
	case k == "default_backend" && s.Kind == "defaults":
		t.say(s, d, Carried, "for the frontend that is carried, if it has none of its own")
	case k == "option httpchk" || k == "http-check send":
		t.checkVerdict(s, d, p)
	case p != nil && p.listener == "" && keepsOut(d, k):
		t.say(s, d, Danger, "it keeps requests out, and rules of a backend are not carried: routes are chosen before it")
	case p != nil && p.listener == "" && (k == "http-request return" || k == "redirect" || k == "http-request redirect"):
		t.say(s, d, Lost, "rules of a backend are not carried: routes are chosen before it")
	case (k == "use_backend" || k == "default_backend" || k == "http-request deny" || k == "http-request return" || k == "redirect" || k == "http-request redirect") && p != nil:
		v, why := t.rule(p, d, k)
		if v == Lost && keepsOut(d, k) {
			v = Danger
		}
		t.say(s, d, v, why)
	case k == "acl" && p != nil:
		_, err := t.acl(d.Args()[min(1, len(d.Args())):])
		if err != nil {
			t.say(s, d, Lost, err.Error())
		} else {
			t.say(s, d, Carried, "where a rule uses it")
		}
	default:
		if v, ok := Keywords[k]; ok {
			t.say(s, d, v.Verdict, v.Why)
			return
		}
		if keepsOut(d, k) {
			t.say(s, d, Danger, "it keeps requests out: without it they come in")
			return
		}
		t.say(s, d, Lost, "not known here: nothing of it is carried")
	}
}

// keepsOut says whether a directive turns requests away, so that losing it lets them in.
func keepsOut(d *haproxy.Directive, k string) bool {
	switch k {
	case "http-request deny", "http-request auth", "http-request reject", "http-request silent-drop", "http-request tarpit", "block":
		return true
	case "tcp-request connection", "tcp-request content", "tcp-request session":
		for _, word := range d.Args() {
			if word == "reject" || word == "silent-drop" {
				return true
			}
		}
	}
	return false
}

// dangerous says why a directive must not be kept, whatever section it stands in.
func dangerous(d *haproxy.Directive, k string) string {
	if k != "retry-on" {
		return ""
	}
	for _, word := range d.Args() {
		switch word {
		case "none", "conn-failure", "0rtt-rejected":
		default:
			return word + " repeats requests that may have run, also those that must run once: what may be repeated is for the classes' effects to say, by hand"
		}
	}
	return ""
}

func (t *translator) checkVerdict(s *haproxy.Section, d *haproxy.Directive, p *proxy) {
	one := &proxy{}
	t.collect(one, d)
	switch {
	case one.badCheck:
		t.say(s, d, Danger, "a check that may take effect at a server, once for each check: choose a path that only looks")
	case one.check.Path == "":
		t.say(s, d, Different, "checks are a GET without a body or further fields")
	default:
		t.say(s, d, Different, "checks are GET of "+one.check.Path+", good with 2xx and 3xx")
	}
}

// Keyword is what is said of a directive that says the same everywhere.
type Keyword struct {
	Verdict Verdict
	Why     string
}

const (
	byClass  = "times are the platform's: each class has a deadline, and each request may bring one"
	noTLS    = "there is no TLS here: it ends before the daemon"
	noLogs   = "logs are slog's, to standard error"
	headers  = "fields are passed on as they come and go"
	noSticky = "there are no tables and no stickiness"
)

// queueMost bounds what an imported pool has at its servers, and what waits.
const queueMost = 1 << 16

// Keywords are the directives whose verdict depends on nothing else.
var Keywords = map[string]Keyword{
	"mode": {Carried, "HTTP is what is spoken here"}, "retries": {Different, "the attempts of a call at most, of which only those go on that the class allows, to another server"},
	"retry-on": {Carried, "attempts that never ran are tried again"}, "option redispatch": {Carried, "a further attempt goes to another server"},
	"no option redispatch": {Different, "a further attempt goes to another server all the same"},
	"balance":              {Different, "two random choices by calls under way, latency and weight"},
	"bind":                 {Different, "where it listens is for the platform to say"},
	"maxconn":              {Different, "connections are bounded by the platform's sockets"}, "fullconn": {Lost, "there are no dynamic limits by it"},
	"timeout client": {Different, byClass}, "timeout server": {Different, byClass}, "timeout connect": {Different, byClass}, "timeout http-request": {Different, "a head must come within 2.5 s"},
	"timeout queue": {Different, "of a pool whose servers all have a maxconn; a call that can't get its turn by then is refused as it comes"}, "timeout http-keep-alive": {Different, "idle connections are closed when there is no room"},
	"timeout check": {Different, "a check may take as long as lies between two"}, "timeout tunnel": {Lost, "there are no tunnels"}, "timeout tarpit": {Lost, "nobody is held back here"},
	"http-check expect": {Different, "good is 2xx and 3xx"}, "http-check connect": {Lost, "checks have one step"},
	"option forwardfor": {Lost, headers}, "option http-server-close": {Different, "connections to servers are kept as long as they are good"}, "option httpclose": {Different, "connections are kept"},
	"option http-keep-alive": {Carried, "connections are kept"}, "option httplog": {Lost, noLogs}, "option tcplog": {Lost, noLogs}, "option dontlognull": {Lost, noLogs}, "log": {Lost, noLogs}, "log-format": {Lost, noLogs},
	"option abortonclose": {Carried, "a client that leaves ends its call"}, "option allbackups": {Different, "all backups serve at once"}, "option tcp-check": {Different, "a check is a connection that comes up"},
	"http-request set-header": {Lost, headers}, "http-request add-header": {Lost, headers}, "http-request del-header": {Lost, headers}, "http-response set-header": {Lost, headers}, "http-response del-header": {Lost, headers}, "http-response add-header": {Lost, headers},
	"cookie": {Lost, noSticky}, "stick-table": {Lost, noSticky}, "stick on": {Lost, noSticky}, "stick match": {Lost, noSticky}, "stick store-request": {Lost, noSticky},
	"errorfile": {Lost, "answers of the daemon's own have no body"}, "compression": {Lost, "bodies are passed on as they are"}, "stats": {Lost, "fawnctl status shows the daemon's state"},
	"stats enable": {Lost, "fawnctl status shows the daemon's state"}, "stats uri": {Lost, "fawnctl status shows the daemon's state"},
	"server-template": {Lost, "names are not looked up: use a discovery"}, "description": {Carried, "a text for people"}, "disabled": {Lost, "the section is imported all the same: take it out by hand"},
}

// pools makes the pools of the backends that can be made.
func (t *translator) pools() {
	for _, s := range t.c.Sections {
		p := t.proxies[s]
		if p == nil || s.Kind == "frontend" || t.backend[s.Name] != p || p.mode != "http" || len(p.servers) == 0 || s.Head.Holds != haproxy.True {
			continue
		}
		pool := features.Pool{Name: s.Name, Servers: p.servers, MaxAttempts: p.retries + 1, SlowStart: duration.Duration(p.slow)}
		if !p.unbounded && p.active > 0 && p.active <= queueMost {
			pool.MaxActive, pool.MaxHeld = p.active, max(p.active, 256)
			pool.MaxWaiting = cmp.Or(min(p.waiting, queueMost), 1024) // there without a bound
			pool.QueueWait = duration.Duration(cmp.Or(p.queueWait, p.connectWait, time.Minute))
		}
		if p.check.Interval > 0 && !p.badCheck {
			pool.Checks = p.check
			if !p.checked {
				pool.Checks.Path = ""
			}
		}
		t.out.Pools = append(t.out.Pools, pool)
		if p.listener != "" && t.byDefault[p] == "" { // a listen is its own backend
			t.byDefault[p] = s.Name
		}
	}
}

// made says whether a backend became a pool.
func (t *translator) made(name string) bool {
	p := t.backend[name]
	return p != nil && p.mode == "http" && len(p.servers) > 0 && p.s.Head.Holds == haproxy.True
}

// quoted is a text as part of a regular expression.
func quoted(text string) string { return regexp.QuoteMeta(text) }
