package translate

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"chalkrack/internal/duration"
	"chalkrack/internal/features"
	"chalkrack/internal/haproxy"
)

// proxySettings are the settings of a frontend, backend or listen section, including those of its
// defaults.
type proxySettings struct {
	section        *haproxy.Section
	mode           string
	retries        int
	check          features.PoolChecks
	hasHTTPCheck   bool // option httpchk is set; check.Path holds its path
	dangerousCheck bool // a check may change state at the server
	checkInterval  time.Duration
	acls           map[string][]*haproxy.Directive
	servers        []features.PoolServer
	slowStart      time.Duration
	conns          int
	// maxActive and maxWaiting are the sums of maxconn and maxqueue over all servers but backups.
	// hasUnboundedServer says that one of these servers has no maxconn.
	maxActive, maxWaiting int
	hasUnboundedServer    bool
	queueTimeout          time.Duration // timeout queue
	// connectTimeout is timeout connect, which HAProxy uses if timeout queue is not set.
	connectTimeout time.Duration
	listener       string             // the listener's name; empty: not a carried frontend
	bind           *haproxy.Directive // the first bind without TLS that has an address and a port
	bindAddress    string             // the address that bind listens at
	// defaultServerArgs are the options of default-server, which come before a server's own.
	// defaultBackend is the backend that default_backend names, possibly in a defaults section.
	defaultServerArgs []string
	defaultBackend    string
}

// parseDuration parses a time with one of HAProxy's units; the default unit is milliseconds. It
// returns false for an invalid or negative time.
func parseDuration(text string) (time.Duration, bool) {
	units := []struct {
		name string
		unit time.Duration
	}{{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour}, {"", time.Millisecond}}
	for _, u := range units {
		if number, ok := strings.CutSuffix(text, u.name); ok {
			if n, err := strconv.ParseInt(number, 10, 32); err == nil && n >= 0 {
				return time.Duration(n) * u.unit, true
			}
		}
	}
	return 0, false
}

// applyDirective stores the settings that a directive makes for a section.
func (t *translator) applyDirective(proxy *proxySettings, directive *haproxy.Directive) {
	args := directive.Args()
	arg := func(n int) string {
		if n < len(args) {
			return args[n]
		}
		return ""
	}
	switch directiveName(directive) {
	case "mode":
		proxy.mode = arg(0)
	case "retries":
		if n, err := strconv.Atoi(arg(0)); err == nil && n >= 0 && n < 20 {
			proxy.retries = n
		}
	case "option httpchk":
		proxy.hasHTTPCheck = true
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
		proxy.check.Path = path
		proxy.dangerousCheck = proxy.dangerousCheck || !isSafeMethod(method) || t.isClassPath(path)
	case "http-check send":
		for n := 1; n+1 < len(args); n++ {
			switch args[n] {
			case "meth":
				proxy.dangerousCheck = proxy.dangerousCheck || !isSafeMethod(args[n+1])
			case "uri":
				proxy.check.Path = args[n+1]
				proxy.dangerousCheck = proxy.dangerousCheck || t.isClassPath(args[n+1])
			}
		}
	case "timeout queue":
		proxy.queueTimeout, _ = parseDuration(arg(1))
	case "timeout connect":
		proxy.connectTimeout, _ = parseDuration(arg(1))
	case "acl":
		proxy.acls[arg(0)] = append(proxy.acls[arg(0)], directive)
	case "default-server":
		proxy.defaultServerArgs = append(proxy.defaultServerArgs[:len(proxy.defaultServerArgs):len(proxy.defaultServerArgs)], args...)
	case "default_backend":
		proxy.defaultBackend = arg(0)
	case "bind":
		if addr := listenAddress(arg(0)); proxy.bind == nil && addr != "" && !slices.Contains(args, "ssl") {
			proxy.bind, proxy.bindAddress = directive, addr
		}
	case "server":
		t.translateServer(proxy, args, true)
	}
}

// listenAddress returns the host and port of a bind, or an empty string if it does not consist of
// an IP address and a single port. A bind without a host listens at all IPv4 addresses.
func listenAddress(bind string) string {
	host, port, err := net.SplitHostPort(strings.TrimPrefix(bind, "ipv4@"))
	if n, portErr := strconv.Atoi(port); err != nil || portErr != nil || n < 1 || n > 65535 {
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

// assignListener gives a frontend its listener: the platform's to the first frontend, and to each
// further one a listener of its own if it has a bind and a unique name.
func (t *translator) assignListener(proxy *proxySettings) {
	switch {
	case len(t.frontends) == 0:
		proxy.listener = features.PlatformListener
	case proxy.bind == nil || proxy.section.Name == features.PlatformListener || slices.ContainsFunc(t.frontends, func(other *proxySettings) bool { return other.section.Name == proxy.section.Name }):
		return
	default:
		proxy.listener = proxy.section.Name
		t.result.Listeners = append(t.result.Listeners, features.Listener{Name: proxy.section.Name, Address: proxy.bindAddress})
	}
	t.frontends = append(t.frontends, proxy)
}

// isSafeMethod returns whether requests of the method have no effect at a server.
func isSafeMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

// isClassPath returns whether the first part of a path is the name of a class of the platform.
func (t *translator) isClassPath(path string) bool {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	first, _, _ = strings.Cut(first, "?")
	for _, class := range t.options.Classes {
		if class == first {
			return true
		}
	}
	return false
}

// translateServer returns the verdict on a server line with the given arguments and its reason. If
// add is true, it also adds the server and its options to the proxy.
func (t *translator) translateServer(proxy *proxySettings, args []string, add bool) (Verdict, string) {
	if len(args) < 2 {
		return NotCarried, "the server has no address"
	}
	args = slices.Concat(args[:2], proxy.defaultServerArgs, args[2:])
	server := features.PoolServer{Name: args[0], Address: args[1], Weight: 1}
	host, port, err := net.SplitHostPort(server.Address)
	if n, portErr := strconv.Atoi(port); err != nil || portErr != nil || n < 1 || n > 65535 || net.ParseIP(host) == nil {
		return NotCarried, "its address must be an IP address with a port: names are not resolved, and there is no default port"
	}
	verdict, reason, checked := Carried, "", false
	addDifference := func(text string) {
		if verdict = Different; strings.Contains(reason, text) {
			return // the option is in default-server and in the server line
		}
		if reason != "" {
			reason += "; "
		}
		reason += text
	}
	var slowStart time.Duration
	maxConns, maxQueue := 0, 0
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
			if parsed, ok := parseDuration(next); ok && args[n-1] == "inter" && add {
				proxy.checkInterval = parsed
			}
			if count, err := strconv.Atoi(next); err == nil && count > 0 && add {
				switch args[n-1] {
				case "rise":
					proxy.check.Rise = count
				case "fall":
					proxy.check.Fall = count
				}
			}
			addDifference(args[n-1] + " applies to all servers of the pool, with the value of the last one")
		case "weight":
			n++
			weight, err := strconv.Atoi(next)
			if err != nil || weight < 0 || weight > 256 {
				return NotCarried, "weight " + next + " is not between 0 and 256"
			}
			if server.Weight = float64(weight); weight == 0 {
				return NotCarried, "weight 0: it gets no calls in HAProxy, so it is left out"
			}
		case "backup":
			server.Backup = true
		case "slowstart":
			n++
			if parsed, ok := parseDuration(next); ok {
				slowStart = parsed
			}
			addDifference("a slow start applies to the whole pool, and limits calls by the known capacity of a cold server")
		case "maxconn", "maxqueue":
			n++
			count, err := strconv.Atoi(next)
			if err != nil || count < 0 {
				return NotCarried, args[n-1] + " " + next + " is not a number of at least 0"
			}
			if args[n-1] == "maxconn" {
				maxConns = count
			} else {
				maxQueue = count
			}
			addDifference(args[n-1] + " applies to the pool as a whole, as the sum over its servers, if each has a maxconn")
		case "cookie":
			n++
			addDifference("no stickiness by cookie: clients are not bound to it")
		case "ssl", "send-proxy", "send-proxy-v2", "proto", "socks4", "disabled", "track", "agent-check":
			return NotCarried, args[n] + ": not supported, and the server can't be used correctly without it"
		default:
			return NotCarried, args[n] + " is unknown, and so is its effect on the server"
		}
	}
	if add {
		proxy.servers = append(proxy.servers, server)
		proxy.slowStart = max(proxy.slowStart, slowStart)
		if !server.Backup { // backups serve instead of the others, so they add no capacity
			proxy.maxActive += maxConns
			proxy.maxWaiting += maxQueue
			proxy.hasUnboundedServer = proxy.hasUnboundedServer || maxConns == 0
		}
		if checked {
			proxy.check.Interval = duration.Duration(proxy.checkInterval)
		}
	}
	if reason == "" {
		reason = "a server of the pool"
	}
	return verdict, reason
}

// maxPoolCalls limits the calls at the servers of an imported pool, and those that wait.
const maxPoolCalls = 1 << 16

// buildPools adds a pool for each carried backend and listen section.
func (t *translator) buildPools() {
	for _, section := range t.config.Sections {
		proxy := t.proxies[section]
		if proxy == nil || section.Kind == "frontend" || t.backends[section.Name] != proxy || proxy.mode != "http" || len(proxy.servers) == 0 || section.Head.Active != haproxy.True {
			continue
		}
		pool := features.Pool{Name: section.Name, Servers: proxy.servers, MaxAttempts: proxy.retries + 1, SlowStart: duration.Duration(proxy.slowStart)}
		if !proxy.hasUnboundedServer && proxy.maxActive > 0 && proxy.maxActive <= maxPoolCalls {
			pool.MaxActive, pool.MaxHeld = proxy.maxActive, max(proxy.maxActive, 256)
			// A sum of 0 means unlimited in HAProxy.
			pool.MaxWaiting = cmp.Or(min(proxy.maxWaiting, maxPoolCalls), 1024)
			pool.QueueWait = duration.Duration(cmp.Or(proxy.queueTimeout, proxy.connectTimeout, time.Minute))
		}
		if proxy.check.Interval > 0 && !proxy.dangerousCheck {
			pool.Checks = proxy.check
			if !proxy.hasHTTPCheck {
				pool.Checks.Path = ""
			}
		}
		t.result.Pools = append(t.result.Pools, pool)
		if proxy.listener != "" && t.defaultPools[proxy] == "" { // a listen section is its own backend
			t.defaultPools[proxy] = section.Name
		}
	}
}

// hasPool returns whether a backend is carried as a pool.
func (t *translator) hasPool(name string) bool {
	proxy := t.backends[name]
	return proxy != nil && proxy.mode == "http" && len(proxy.servers) > 0 && proxy.section.Head.Active == haproxy.True
}
