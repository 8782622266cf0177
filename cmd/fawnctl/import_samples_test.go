package main

import "chalkrack/internal/standin"

// sampleRequest is a request to a daemon with imported settings, and the result that HAProxy's
// manual requires.
type sampleRequest struct {
	host, method, path, header string
	wantStatus                 int
	wantServers                string // names of the servers that may serve it; empty: none
	wantAttempts               int    // 0: any number
	listener                   string // E: the second listener; empty: the platform's
}

// samples are realistic configurations. A to D stand for the addresses of stand-in servers, E for
// the address of a second listener, and a line of three dashes begins another file. Each request
// must go where HAProxy's manual says. Each text in wantVerdicts is a verdict, a bar and a part of
// the directive that has the verdict.
var samples = []struct {
	name, text   string
	wantExit     int
	requests     []sampleRequest
	wantVerdicts []string
	deadServer   string                        // name of a server that is killed
	serverKinds  map[string]standin.ActionKind // by name of a server, its action in place of answering
}{
	{name: "web farm", text: `
global
	maxconn 2000
	log /dev/log local0
defaults
	mode http
	timeout connect 5s
	timeout client 30s
	retries 2
	option redispatch
frontend www
	bind :80
	default_backend farm
backend farm
	balance roundrobin
	server a A check
	server b B check weight 10
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a b", 0, ""}, {"x", "POST", "/buy", "", 200, "a b", 0, ""}},
		wantVerdicts: []string{"not carried|maxconn 2000", "carried with a difference|retries 2", "carried|option redispatch", "carried|server a A check"}},
	{name: "api gateway, order of rules", text: `
frontend api
	mode http
	bind :80
	acl v1 path_beg /v1/
	acl admin path_beg -i /v1/admin
	acl inside src 10.0.0.0/8
	acl write method POST PUT
	acl beta req.hdr(x-beta) -m found
	use_backend one if admin inside
	http-request deny if admin
	use_backend one if { path /v1/late }
	http-request deny if { path /v1/late }
	use_backend two if v1 write || beta
	use_backend one if v1
	use_backend three if { hdr(host) -i shop.example } !beta
backend one
	mode http
	server a A
backend two
	mode http
	server b B
backend three
	mode http
	server c C
`, wantExit: 1, requests: []sampleRequest{
		{"x", "GET", "/V1/Admin/x", "", 403, "", 0, ""}, {"x", "GET", "/v1/a", "", 200, "a", 0, ""}, {"x", "GET", "/v1/late", "", 403, "", 0, ""}, {"x", "POST", "/v1/a", "", 200, "b", 0, ""},
		{"x", "GET", "/other", "X-Beta: 1", 200, "b", 0, ""}, {"shop.example", "GET", "/other", "", 200, "c", 0, ""}, {"shop.example:80", "GET", "/v1/a", "", 200, "a", 0, ""},
	}, wantVerdicts: []string{"carried|http-request deny if admin", "carried|use_backend two if v1 write || beta"}},
	{name: "redirects, answers, a backup", text: `
listen all
	mode http
	bind :80
	option httpchk GET /ping
	redirect location /new code 301 if { path /old }
	http-request return status 200 string "it works" if { path_end .probe }
	http-request deny deny_status 405 if { method TRACE }
	server a A check inter 2s fall 1
	server b B check backup
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/old", "", 301, "", 0, ""}, {"x", "GET", "/a.probe", "", 200, "", 0, ""}, {"x", "TRACE", "/", "", 405, "", 0, ""}, {"x", "GET", "/", "", 200, "a", 0, ""}},
		wantVerdicts: []string{"carried with a difference|option httpchk GET /ping", "carried|server b B check backup"}},
	{name: "what would repeat, inherited", text: `
defaults base
	mode http
	retry-on all-retryable-errors
	retries 3
defaults web from base
	option httpchk POST /status-check/ping
frontend f from web
	bind :80
	default_backend b
backend b from web
	http-check send meth PUT uri /touch
	server a A check
`, wantExit: 2, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a", 0, ""}},
		wantVerdicts: []string{"dangerous|retry-on all-retryable-errors", "dangerous|option httpchk POST", "dangerous|http-check send meth PUT"}},
	{name: "TCP, TLS, tables, unknown sections", text: `
peers mine
	peer p1 192.0.2.1:1024
program x
	command /bin/true
nosuch section
	what 1
frontend db
	mode tcp
	bind :5432
	default_backend db
frontend www
	mode http
	bind :443 ssl crt /etc/x.pem
	stick-table type ip size 1m
	use_backend %[req.hdr(host)]
	use_backend nowhere
	use_backend web unless { path /x }
	default_backend web
frontend second
	mode http
	bind :81 ssl crt /etc/x.pem
	default_backend web
backend db
	server d D
backend web
	mode http
	cookie SRV insert
	surprise me
	server a A ssl verify none
	server b db.example.com:80
	server c C cookie c
`, wantExit: 3, requests: []sampleRequest{{"x", "GET", "/", "", 200, "c", 0, ""}},
		wantVerdicts: []string{"not carried|peer p1", "not carried|what 1", "not carried|use_backend %[", "not carried|use_backend nowhere", "not carried|unless", "not carried|surprise me",
			"not carried|server a A ssl", "not carried|server b db", "carried with a difference|server c C cookie", "not carried|frontend second", "not carried|frontend db", "not carried|cookie SRV"}},
	{name: "blocks", text: `
frontend f
	mode http
	.if streq(a,a)
	default_backend one
	.else
	default_backend two
	.endif
	.if feature(LUA)
	http-request deny
	.endif
backend one
	mode http
	server a A
backend two
	mode http
	server b B
`, wantExit: 2, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a", 0, ""}}, wantVerdicts: []string{"dangerous|http-request deny", "not carried|default_backend two"}},
	{name: "blue and green", text: `
defaults
	mode http
	default-server check inter 2s
	default_backend blue
frontend f
	use_backend green if { req.hdr(x-env) green }
	use_backend green if { hdr(host) green.example }
backend blue
	server a A
backend green
	server b B
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a", 0, ""}, {"x", "GET", "/", "X-Env: green", 200, "b", 0, ""}, {"green.example", "POST", "/", "", 200, "b", 0, ""}, {"x", "GET", "/", "X-Env: greener", 200, "a", 0, ""}},
		wantVerdicts: []string{"carried|default-server check", "carried|default_backend blue"}},
	{name: "a page for maintenance", text: `
frontend f
	mode http
	http-request return status 503 content-type text/plain string "back soon" if { path_beg /shop }
	default_backend one
backend one
	mode http
	server a A
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/shop/x", "", 503, "", 0, ""}, {"x", "GET", "/shopping", "", 503, "", 0, ""}, {"x", "GET", "/", "", 200, "a", 0, ""}},
		wantVerdicts: []string{"carried with a difference|http-request return"}},
	{name: "several files", text: `
defaults common
	mode http
	retries 1
---
frontend f from common
	use_backend two if { path /two }
	default_backend one
---
backend one from common
	server a A
backend two from common
	server b B
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/two", "", 200, "b", 0, ""}, {"x", "GET", "/two/x", "", 200, "a", 0, ""}}, wantVerdicts: []string{"carried with a difference|retries 1", "carried|backend two from common"}},
	{name: "many services, the first rule that holds", text: `
frontend f
	mode http
	acl is_orders path_beg /orders
	acl is_admin path_sub /admin
	acl is_orders path_beg /basket
	use_backend d if is_orders is_admin
	use_backend b if is_admin
	use_backend a if is_orders
	use_backend c if { path_reg ^/v[0-9]+/ } or { path_dir status }
	use_backend d if !{ req.hdr(x-key) -m found }
backend a
	mode http
	server a A
backend b
	mode http
	server b B
backend c
	mode http
	server c C
backend d
	mode http
	server d D
`, wantExit: 1, requests: []sampleRequest{
		{"x", "GET", "/orders/admin", "", 200, "b", 0, ""}, {"x", "GET", "/basket", "", 200, "a", 0, ""}, {"x", "GET", "/v12/x", "", 200, "c", 0, ""},
		{"x", "GET", "/a/status/b", "", 200, "c", 0, ""}, {"x", "GET", "/vx", "", 200, "d", 0, ""}, {"x", "GET", "/status-check", "X-Key: 1", 200, "s1", 0, ""},
	}, wantVerdicts: []string{"not carried|use_backend d if is_orders is_admin", "carried|use_backend c if", "carried|use_backend d if !{"}},
	{name: "variables and quotes", text: `
frontend f
	mode http
	bind ":${NO_SUCH_PORT-8080}"
	use_backend "$FAWN_TEST_POOL" if { path '/a b' }
	default_backend other
backend shop
	mode http
	server a A
backend other
	mode http
	server b B weight 10 # twice as much as nothing
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/a%20b", "", 200, "a", 0, ""}, {"x", "GET", "/", "", 200, "b", 0, ""}}, wantVerdicts: []string{"carried|use_backend \"$FAWN_TEST_POOL\""}},
	{name: "static files by their ends", text: `
frontend f
	mode http
	acl static path_end -i .png .css
	acl get method GET HEAD
	use_backend files if static get
	default_backend app
backend files
	mode http
	server a A
backend app
	mode http
	server b B
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/x.PNG", "", 200, "a", 0, ""}, {"x", "POST", "/x.png", "", 200, "b", 0, ""}, {"x", "GET", "/x.png/y", "", 200, "b", 0, ""}}, wantVerdicts: []string{"carried|use_backend files if static get"}},
	{name: "names that are wrong", text: `
defaults a from b
	mode http
defaults b from a
	mode http
frontend f from b
	default_backend twice
frontend f
	use_backend missing
backend twice
	mode http
	server a A
backend twice
	mode http
	server b B
backend lonely from nowhere
	server c C
`, wantExit: 3, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a", 0, ""}}, wantVerdicts: []string{"not carried|frontend f"}},
	{name: "a server that is down", text: `
defaults
	mode http
	retries 3
	option redispatch
	retry-on conn-failure
listen all
	server a A
	server b B
`, wantExit: 1, deadServer: "a", requests: []sampleRequest{{"x", "GET", "/", "", 200, "b", 1, ""}, {"x", "POST", "/", "", 200, "b", 1, ""}, {"x", "POST", "/", "", 200, "b", 1, ""}, {"x", "POST", "/", "", 200, "b", 1, ""}},
		wantVerdicts: []string{"carried|retry-on conn-failure", "carried with a difference|retries 3"}},
	{name: "what may have run", text: `
listen all
	mode http
	retries 1
	server a A
	server b B
`, wantExit: 1, serverKinds: map[string]standin.ActionKind{"a": standin.ResetLate, "b": standin.ResetLate},
		requests: []sampleRequest{{"x", "POST", "/", "", 502, "a b", 1, ""}, {"x", "GET", "/", "", 503, "a b", 2, ""}}, wantVerdicts: []string{"carried with a difference|retries 1"}},
	{name: "sticky sessions", text: `
frontend f
	mode http
	default_backend one
backend one
	mode http
	cookie SRV insert indirect nocache
	stick-table type ip size 200k expire 30m
	stick on src
	server a A cookie a check
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/", "Cookie: SRV=b", 200, "a", 1, ""}},
		wantVerdicts: []string{"not carried|cookie SRV", "not carried|stick-table", "not carried|stick on", "carried with a difference|server a"}},
	{name: "a database alone", text: `
listen db
	mode tcp
	bind :5432
	option tcp-check
	server d D check
	server c C check backup
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/status-check", "", 200, "s1", 1, ""}}, wantVerdicts: []string{"not carried|server d", "not carried|listen db"}},
	{name: "a check with a host", text: `
listen all
	mode http
	option httpchk
	http-check send meth GET uri /ping hdr Host www
	http-check expect status 200
	server a A check inter 2s rise 1 fall 2
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a", 1, ""}}, wantVerdicts: []string{"carried with a difference|http-check send", "carried with a difference|http-check expect"}},
	{name: "servers that are left out", text: `
listen all
	mode http
	fullconn 100
	server a A weight 0
	server b B weight 256 maxconn 10 slowstart 2s
	server c C disabled
	server d D mystery
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/", "", 200, "b", 1, ""}, {"x", "POST", "/", "", 200, "b", 1, ""}},
		wantVerdicts: []string{"not carried|server a", "carried with a difference|server b", "not carried|server c", "not carried|server d", "not carried|fullconn"}},
	{name: "a queue", text: `
defaults
	mode http
	timeout connect 3s
	default-server maxconn 4
listen all
	timeout queue 2s
	server a A maxqueue 7
	server b B maxconn 6
	server c C backup
backend one_is_open
	server d D
	server c C maxconn 0
`, wantExit: 1, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a b", 1, ""}},
		wantVerdicts: []string{"carried with a difference|timeout queue", "carried with a difference|server a"}},
	{name: "two frontends", text: `
defaults
	mode http
frontend www
	bind :80
	use_backend one if { path /one }
	default_backend two
frontend inner
	bind E
	bind 127.0.0.1:82
	http-request deny if { path /one }
	default_backend three
backend one
	server a A
backend two
	server b B
backend three
	server c C
`, wantExit: 1, requests: []sampleRequest{
		{"x", "GET", "/one", "", 200, "a", 1, ""}, {"x", "GET", "/two", "", 200, "b", 1, ""},
		{"x", "GET", "/one", "", 403, "", 0, "E"}, {"x", "GET", "/two", "", 200, "c", 1, "E"},
	}, wantVerdicts: []string{"carried|frontend inner", "carried with a difference|bind E", "not carried|bind 127.0.0.1:82"}},
	{name: "what keeps requests out", text: `
frontend f
	mode http
	acl inside src 10.0.0.0/8
	http-request deny if !inside
	http-request auth realm shops
	http-request deny deny_status 429 if { path /slow }
	tcp-request connection reject if { src 192.0.2.0/24 }
	tcp-request inspect-delay 5s
	default_backend one
backend one
	mode http
	http-request deny if { path /x }
	http-request tarpit if { path /y }
	server a A
`, wantExit: 2, requests: []sampleRequest{{"x", "GET", "/", "", 200, "a", 0, ""}, {"x", "HEAD", "/slow", "", 429, "", 0, ""}},
		wantVerdicts: []string{"dangerous|http-request deny if !inside", "dangerous|http-request auth", "carried|deny_status 429", "dangerous|tcp-request connection reject",
			"not carried|inspect-delay", "dangerous|http-request deny if { path /x }", "dangerous|http-request tarpit"}},
}
