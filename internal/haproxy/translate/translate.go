// Package translate turns a HAProxy configuration into listeners, pools and routes, and gives
// each directive a verdict: whether it is carried over. The package does no I/O. It never guesses:
// a directive that it does not know is not carried. A directive that would repeat requests that
// must not run twice is reported as dangerous and left out, and so is a directive that rejects
// requests but can't be carried over.
package translate

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/haproxy"
)

// Verdict says whether a directive is carried over.
type Verdict int

const (
	Carried    Verdict = iota // has the same effect
	Different                 // has a similar effect; the reason names the difference
	NotCarried                // has no effect
	Dangerous                 // left out, and an operator must decide what replaces it
)

// String returns the verdict as reports print it.
func (v Verdict) String() string {
	return [...]string{"carried", "carried with a difference", "not carried", "dangerous"}[v]
}

// Entry is the verdict on one directive, as reports contain it.
type Entry struct {
	Location    string  `json:"at"`        // "file:line"
	Section     string  `json:"section"`   // kind and name; empty outside sections
	Directive   string  `json:"directive"` // as written, without surrounding space
	Verdict     Verdict `json:"-"`
	VerdictText string  `json:"verdict"` // Verdict as text
	Reason      string  `json:"why"`
}

// Result is a translated configuration: one entry for each directive, and the settings that the
// carried ones make up.
type Result struct {
	Entries   []Entry
	Listeners []features.Listener
	Pools     []features.Pool
	Routes    []features.Route
}

// Count returns the number of directives with the given verdict.
func (r *Result) Count(v Verdict) (n int) {
	for _, e := range r.Entries {
		if e.Verdict == v {
			n++
		}
	}
	return n
}

// Options are the platform's settings that a translation needs.
type Options struct {
	// Classes are the names of the platform's classes. A health check is dangerous if the first part
	// of its path is such a name, because it would run a request of that class.
	Classes []string
	// SafeClass is the class of imported GET, HEAD and OPTIONS requests, OtherClass that of all
	// others. If they are empty, the first part of a request's path names its class.
	SafeClass, OtherClass string
}

// translator holds the state of one translation.
type translator struct {
	options      Options
	config       *haproxy.Config
	result       *Result
	proxies      map[*haproxy.Section]*proxySettings
	backends     map[string]*proxySettings
	routes       []rankedRoute
	defaultPools map[*proxySettings]string // by frontend, the pool of requests that match no rule
	frontends    []*proxySettings          // the carried ones, in the order of the files
}

// Translate gives every directive exactly one verdict and makes the listeners, pools and routes
// that can be carried over.
func Translate(config *haproxy.Config, options Options) *Result {
	t := &translator{options: options, config: config, result: new(Result), proxies: make(map[*haproxy.Section]*proxySettings), backends: make(map[string]*proxySettings), defaultPools: make(map[*proxySettings]string)}
	for _, section := range config.Sections {
		switch section.Kind {
		case "frontend", "backend", "listen":
		default:
			continue
		}
		proxy := &proxySettings{section: section, mode: "tcp", retries: 3, conns: 32, checkInterval: 2 * time.Second, acls: make(map[string][]*haproxy.Directive)}
		t.proxies[section] = proxy
		for directive := range section.AllDirectives {
			if directive.Active == haproxy.True {
				t.applyDirective(proxy, directive)
			}
		}
		if section.Kind != "backend" && proxy.mode == "http" && section.Head.Active == haproxy.True {
			t.assignListener(proxy)
		}
		if section.Kind != "frontend" && t.backends[section.Name] == nil {
			t.backends[section.Name] = proxy
		}
	}
	for _, directive := range config.OutsideDirectives {
		t.addEntry(nil, directive, NotCarried, "it appears before the first section")
	}
	for _, directive := range config.BlockDirectives {
		t.addEntry(nil, directive, Carried, "a conditional block: its lines have verdicts of their own")
	}
	for _, section := range config.Sections {
		t.translateHead(section)
		for _, directive := range section.Directives {
			t.translateDirective(section, directive)
		}
	}
	t.buildPools()
	t.buildRoutes()
	return t.result
}

// addEntry records the verdict on a directive. section is nil for a directive outside sections.
func (t *translator) addEntry(section *haproxy.Section, directive *haproxy.Directive, verdict Verdict, reason string) {
	entry := Entry{Location: directive.Location(), Directive: strings.TrimSpace(directive.Raw), Verdict: verdict, VerdictText: verdict.String(), Reason: reason}
	if section != nil {
		entry.Section = strings.TrimSpace(section.Kind + " " + section.Name)
	}
	t.result.Entries = append(t.result.Entries, entry)
}

// translateHead records the verdict on a section's first line.
func (t *translator) translateHead(section *haproxy.Section) {
	switch proxy := t.proxies[section]; {
	case section.Kind == "global" || section.Kind == "defaults":
		t.addEntry(section, section.Head, Carried, "its directives have verdicts of their own")
	case proxy == nil && section.Known:
		t.addEntry(section, section.Head, NotCarried, "the platform has nothing of this kind")
	case proxy == nil:
		t.addEntry(section, section.Head, NotCarried, "HAProxy is not known to have sections of this kind")
	case section.Head.Active != haproxy.True:
		t.addEntry(section, section.Head, NotCarried, inactiveReason(section.Head))
	case proxy.mode != "http":
		t.addEntry(section, section.Head, NotCarried, "mode "+proxy.mode+": only HTTP is carried")
	case section.Kind == "backend" && t.backends[section.Name] != proxy:
		t.addEntry(section, section.Head, NotCarried, "an earlier backend has the same name")
	case section.Kind == "backend" && len(proxy.servers) == 0:
		t.addEntry(section, section.Head, NotCarried, "none of its servers is carried")
	case section.Kind == "backend":
		t.addEntry(section, section.Head, Carried, "a pool")
	case proxy.listener == "":
		t.addEntry(section, section.Head, NotCarried, "a further listener needs a name of its own and a bind with a port and without TLS")
	case proxy.listener != features.PlatformListener:
		t.addEntry(section, section.Head, Carried, "a listener and its routes")
	default:
		t.addEntry(section, section.Head, Different, "routes; the platform sets the address that it listens at")
	}
}

// inactiveReason explains why a directive whose condition is false or unknown is not carried.
func inactiveReason(directive *haproxy.Directive) string {
	if directive.Active == haproxy.False {
		return "in a conditional block whose condition is false"
	}
	return "in a conditional block that depends on the HAProxy that reads it: decide by hand"
}

// directiveName returns a directive's name: its first word, or two words if the first is only a
// group such as "option" or "timeout".
func directiveName(directive *haproxy.Directive) string {
	keyword := directive.Keyword()
	args := directive.Args()
	switch keyword {
	case "option", "timeout", "http-request", "http-response", "http-check", "tcp-request", "tcp-response", "tcp-check", "stats", "stick", "http-after-response":
		if len(args) > 0 {
			return keyword + " " + args[0]
		}
	case "no":
		if len(args) > 1 && args[0] == "option" {
			return "no option " + args[1]
		}
	}
	return keyword
}

// translateDirective records the verdict on a directive, and adds the routes that it makes.
func (t *translator) translateDirective(section *haproxy.Section, directive *haproxy.Directive) {
	proxy := t.proxies[section]
	name := directiveName(directive)
	switch {
	case directive.Err != "":
		t.addEntry(section, directive, NotCarried, "it can't be parsed: "+directive.Err)
	case directive.Active == haproxy.False:
		t.addEntry(section, directive, NotCarried, inactiveReason(directive))
	case directive.Active == haproxy.Unknown && rejectsRequests(directive, name):
		t.addEntry(section, directive, Dangerous, "it rejects requests, "+inactiveReason(directive))
	case directive.Active == haproxy.Unknown:
		t.addEntry(section, directive, NotCarried, inactiveReason(directive))
	case dangerReason(directive, name) != "":
		t.addEntry(section, directive, Dangerous, dangerReason(directive, name))
	case section.Kind == "global":
		t.addEntry(section, directive, NotCarried, "about HAProxy's process: the platform sets up the daemon's")
	case proxy == nil && section.Kind != "defaults":
		t.addEntry(section, directive, NotCarried, "its section is not carried")
	case proxy != nil && proxy.mode != "http":
		t.addEntry(section, directive, NotCarried, "its section is of mode "+proxy.mode)
	case proxy != nil && section.Kind != "backend" && proxy.listener == "" && name != "server" && name != "balance":
		t.addEntry(section, directive, NotCarried, "its section is a listener that is not carried")
	case proxy != nil && section.Kind == "backend" && t.backends[section.Name] != proxy:
		t.addEntry(section, directive, NotCarried, "an earlier section has the same name")
	case name == "bind" && slices.Contains(directive.Args(), "ssl"):
		t.addEntry(section, directive, NotCarried, reasonNoTLS)
	case name == "bind" && proxy != nil && proxy.listener != "" && proxy.listener != features.PlatformListener:
		if directive == proxy.bind {
			t.addEntry(section, directive, Different, "a listener at "+proxy.bindAddress)
		} else {
			t.addEntry(section, directive, NotCarried, "one address for each listener")
		}
	case name == "server" && proxy != nil:
		verdict, reason := t.translateServer(proxy, directive.Args(), false)
		if proxy.dangerousCheck && verdict != NotCarried && slices.Contains(slices.Concat(proxy.defaultServerArgs, directive.Args()), "check") {
			verdict, reason = Different, reason+"; it is not checked, because the check is dangerous"
		}
		t.addEntry(section, directive, verdict, reason)
	case name == "default-server":
		if verdict, reason := t.translateServer(&proxySettings{}, append([]string{"any", "127.0.0.1:1"}, directive.Args()...), false); verdict == NotCarried {
			t.addEntry(section, directive, NotCarried, reason)
		} else {
			t.addEntry(section, directive, Carried, "before each server's own options")
		}
	case name == "default_backend" && section.Kind == "defaults":
		t.addEntry(section, directive, Carried, "for carried frontends without a default_backend of their own")
	case name == "option httpchk" || name == "http-check send":
		t.translateCheck(section, directive, proxy)
	case proxy != nil && proxy.listener == "" && rejectsRequests(directive, name):
		t.addEntry(section, directive, Dangerous, "it rejects requests, and rules of a backend are not carried, because routes are chosen before the backend")
	case proxy != nil && proxy.listener == "" && (name == "http-request return" || name == "redirect" || name == "http-request redirect"):
		t.addEntry(section, directive, NotCarried, "rules of a backend are not carried, because routes are chosen before the backend")
	case (name == "use_backend" || name == "default_backend" || name == "http-request deny" || name == "http-request return" || name == "redirect" || name == "http-request redirect") && proxy != nil:
		verdict, reason := t.translateRule(proxy, directive, name)
		if verdict == NotCarried && rejectsRequests(directive, name) {
			verdict = Dangerous
		}
		t.addEntry(section, directive, verdict, reason)
	case name == "acl" && proxy != nil:
		_, err := t.parseACL(directive.Args()[min(1, len(directive.Args())):])
		if err != nil {
			t.addEntry(section, directive, NotCarried, err.Error())
		} else {
			t.addEntry(section, directive, Carried, "where a rule uses it")
		}
	default:
		if verdict, ok := Keywords[name]; ok {
			t.addEntry(section, directive, verdict.Verdict, verdict.Reason)
			return
		}
		if rejectsRequests(directive, name) {
			t.addEntry(section, directive, Dangerous, "it rejects requests, which are let in without it")
			return
		}
		t.addEntry(section, directive, NotCarried, "unknown directive: not carried")
	}
}

// rejectsRequests returns whether a directive rejects requests. If such a directive is left out,
// those requests are let in.
func rejectsRequests(directive *haproxy.Directive, name string) bool {
	switch name {
	case "http-request deny", "http-request auth", "http-request reject", "http-request silent-drop", "http-request tarpit", "block":
		return true
	case "tcp-request connection", "tcp-request content", "tcp-request session":
		for _, word := range directive.Args() {
			if word == "reject" || word == "silent-drop" {
				return true
			}
		}
	}
	return false
}

// dangerReason returns why a directive is dangerous in any section, or an empty string if it is
// not.
func dangerReason(directive *haproxy.Directive, name string) string {
	if name != "retry-on" {
		return ""
	}
	for _, word := range directive.Args() {
		switch word {
		case "none", "conn-failure", "0rtt-rejected":
		default:
			return word + " repeats requests that may have run, also those that must run only once: set the effects of the classes by hand"
		}
	}
	return ""
}

// translateCheck records the verdict on a directive that sets a health check.
func (t *translator) translateCheck(section *haproxy.Section, directive *haproxy.Directive, proxy *proxySettings) {
	parsed := &proxySettings{}
	t.applyDirective(parsed, directive)
	switch {
	case parsed.dangerousCheck:
		t.addEntry(section, directive, Dangerous, "each check may have an effect at a server: choose a path that only reads")
	case parsed.check.Path == "":
		t.addEntry(section, directive, Different, "checks are GET requests without a body or additional header fields")
	default:
		t.addEntry(section, directive, Different, "checks are GET of "+parsed.check.Path+", good with 2xx and 3xx")
	}
}

// Keyword is the verdict on a directive whose arguments and section don't change the verdict.
type Keyword struct {
	Verdict Verdict
	Reason  string
}

// Reasons that several keywords share.
const (
	reasonTimeouts     = "times are the platform's: each class has a deadline, and each request may bring one"
	reasonNoTLS        = "there is no TLS here: it ends before the daemon"
	reasonLogs         = "logs are slog's, to standard error"
	reasonHeaders      = "fields are passed on as they come and go"
	reasonNoStickiness = "there are no tables and no stickiness"
)

// Keywords holds the verdicts that depend only on the directive's name. The operators' page lists
// them.
var Keywords = map[string]Keyword{
	"mode": {Carried, "HTTP is what is spoken here"}, "retries": {Different, "the attempts of a call at most, of which only those go on that the class allows, to another server"},
	"retry-on": {Carried, "attempts that never ran are tried again"}, "option redispatch": {Carried, "a further attempt goes to another server"},
	"no option redispatch": {Different, "a further attempt goes to another server all the same"},
	"balance":              {Different, "two random choices by calls under way, latency and weight"},
	"bind":                 {Different, "where it listens is for the platform to say"},
	"maxconn":              {Different, "connections are bounded by the platform's sockets"}, "fullconn": {NotCarried, "there are no dynamic limits by it"},
	"timeout client": {Different, reasonTimeouts}, "timeout server": {Different, reasonTimeouts}, "timeout connect": {Different, reasonTimeouts}, "timeout http-request": {Different, "a head must come within 2.5 s"},
	"timeout queue": {Different, "of a pool whose servers all have a maxconn; a call that can't get its turn by then is refused as it comes"}, "timeout http-keep-alive": {Different, "idle connections are closed when there is no room"},
	"timeout check": {Different, "a check may take as long as lies between two"}, "timeout tunnel": {NotCarried, "there are no tunnels"}, "timeout tarpit": {NotCarried, "nobody is held back here"},
	"http-check expect": {Different, "good is 2xx and 3xx"}, "http-check connect": {NotCarried, "checks have one step"},
	"option forwardfor": {NotCarried, reasonHeaders}, "option http-server-close": {Different, "connections to servers are kept as long as they are good"}, "option httpclose": {Different, "connections are kept"},
	"option http-keep-alive": {Carried, "connections are kept"}, "option httplog": {NotCarried, reasonLogs}, "option tcplog": {NotCarried, reasonLogs}, "option dontlognull": {NotCarried, reasonLogs}, "log": {NotCarried, reasonLogs}, "log-format": {NotCarried, reasonLogs},
	"option abortonclose": {Carried, "a client that leaves ends its call"}, "option allbackups": {Different, "all backups serve at once"}, "option tcp-check": {Different, "a check is a connection that comes up"},
	"http-request set-header": {NotCarried, reasonHeaders}, "http-request add-header": {NotCarried, reasonHeaders}, "http-request del-header": {NotCarried, reasonHeaders}, "http-response set-header": {NotCarried, reasonHeaders}, "http-response del-header": {NotCarried, reasonHeaders}, "http-response add-header": {NotCarried, reasonHeaders},
	"cookie": {NotCarried, reasonNoStickiness}, "stick-table": {NotCarried, reasonNoStickiness}, "stick on": {NotCarried, reasonNoStickiness}, "stick match": {NotCarried, reasonNoStickiness}, "stick store-request": {NotCarried, reasonNoStickiness},
	"errorfile": {NotCarried, "answers of the daemon's own have no body"}, "compression": {NotCarried, "bodies are passed on as they are"}, "stats": {NotCarried, "fawnctl status shows the daemon's state"},
	"stats enable": {NotCarried, "fawnctl status shows the daemon's state"}, "stats uri": {NotCarried, "fawnctl status shows the daemon's state"},
	"server-template": {NotCarried, "names are not looked up: use a discovery"}, "description": {Carried, "a text for people"}, "disabled": {NotCarried, "the section is imported all the same: take it out by hand"},
}

// quoteRegexp returns a regular expression that matches the text itself.
func quoteRegexp(text string) string { return regexp.QuoteMeta(text) }
