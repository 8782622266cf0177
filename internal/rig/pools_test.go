package rig_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/components/pools"
	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// newPoolSite returns a site with two pools of fixed servers beside the platform's servers, and the
// text of a features file with these pools and with routes of each kind. The extra servers are w1,
// w2 and spare of pool web and p1 of pool partners.
func newPoolSite(t testing.TB, socket string) (site *rig.Site, extra []*standin.Server, features string) {
	t.Helper()
	site, err := rig.NewSite(rig.SiteConfig{Servers: 2, Classes: rig.LongDeadlineClasses(), NoHedge: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	for _, name := range []string{"w1", "w2", "spare", "p1"} {
		s, err := standin.NewServer(standin.ServerConfig{Name: name, Ledger: site.Ledger})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		extra = append(extra, s)
	}
	return site, extra, fmt.Sprintf(`version = 1
[admin]
socket = %q
[[pools]]
name = "web"
max_connections = 16
servers = [{ name = "w1", address = %q, weight = 3 }, { name = "w2", address = %q }, { name = "spare", address = %q, backup = true }]
checks = { every = "50ms", timeout = "2s", path = "/ping", rise = 2, fall = 2 }
[[pools]]
name = "partners"
max_connections = 8
max_held = 4
servers = [{ name = "p1", address = %q }]
[[routes]]
name = "what the platform asks for, which no route takes"
paths = ["/_health"]
status = 500
[[routes]]
name = "inside only"
prefixes = ["/status-check/admin"]
sources = ["10.0.0.0/8"]
pool = "web"
[[routes]]
name = "no admin"
prefixes = ["/status-check/admin"]
status = 403
body = "not from here"
[[routes]]
name = "partners"
hosts = ["*.partners.example"]
pool = "partners"
[[routes]]
name = "partners by field"
headers = [{ name = "x-partner" }]
pool = "partners"
[[routes]]
name = "old address"
paths = ["/status-check/old"]
status = 301
location = "/status-check/new"
[[routes]]
name = "web"
prefixes = ["/status-check/web", "/shop"]
rewrite = "/status-check"
class = "status-check"
pool = "web"
`, socket, extra[0].Addr(), extra[1].Addr(), extra[2].Addr(), extra[3].Addr())
}

// getPath sends a GET request for a path and a host to addr. It does not follow redirects.
func getPath(t testing.TB, addr, host, path, id string) (status int, body string, header http.Header) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Req-Id", id)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header
}

// Guards against requests that reach a wrong pool. The first matching route decides: it names a
// pool or answers itself, and without a match the platform's servers are used. Failed checks move a
// pool to its backup server, and passed checks move it back.
func TestRoutesAndPools(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, extra, features := newPoolSite(t, socket)
	daemon, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	for n, c := range []struct {
		host, path  string
		status      int
		wantBody    string
		wantServers string
	}{
		{"app", "/status-check/x", 200, "", "s1 s2"},
		{"app", "/status-check/admin/users", 403, "not from here", ""},
		{"app", "/status-check/%61dmin", 403, "", ""},
		{"a.partners.example:80", "/status-check/x", 200, "", "p1"},
		{"partners.example", "/status-check/x", 200, "", "s1 s2"},
		{"app", "/status-check/old?a=b", 301, "", ""},
		{"app", "/status-check/web/a?b=c", 200, "", "w1 w2"},
		{"app", "/shop/basket", 200, "", "w1 w2"},
		{"app", "/none", 404, "", ""},
		{"app", "/_health", 200, "", ""},
	} {
		id := fmt.Sprint("r", n)
		status, body, header := getPath(t, daemon.Addr, c.host, c.path, id)
		if status != c.status || !strings.Contains(body, c.wantBody) || c.status == 301 && header.Get("Location") != "/status-check/new" {
			t.Errorf("%s%s: status %d, body %q", c.host, c.path, status, body)
		}
		count := site.Ledger.RequestCount(id)
		if (c.wantServers == "") != (count.Attempts == 0) {
			t.Errorf("%s%s: the servers recorded %+v", c.host, c.path, count)
		}
		for _, a := range site.Ledger.Arrivals() {
			if a.ID == id && (!slices.Contains(strings.Fields(c.wantServers), a.Server) || a.Class != "status-check") {
				t.Errorf("%s%s was sent to server %s as class %s", c.host, c.path, a.Server, a.Class)
			}
		}
	}
	// A route's answer to HEAD has no body: the next answer follows directly on the connection.
	conn, err := net.Dial("tcp", daemon.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	reader := bufio.NewReader(conn)
	for _, method := range []string{http.MethodHead, http.MethodGet} {
		fmt.Fprintf(conn, "%s /status-check/admin/x HTTP/1.1\r\nHost: app\r\nReq-Id: %s\r\n\r\n", method, method)
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil || resp.StatusCode != 403 {
			t.Fatalf("%s: %+v, %v, want status 403", method, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	servingNames := func() string {
		var poolStatuses []pools.Status
		if err := admin.Get(t.Context(), socket, "pools", &poolStatuses); err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, s := range poolStatuses[0].Servers {
			if s.Serving {
				names = append(names, s.Name)
			}
		}
		return strings.Join(names, " ")
	}
	waitForServing := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); servingNames() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("servers %q of pool web serve, want %q", servingNames(), want)
			}
		}
	}
	waitForServing("w1 w2")
	extra[0].Kill()
	waitForServing("w2")
	extra[1].Kill()
	waitForServing("spare")
	if status, _, _ := getPath(t, daemon.Addr, "app", "/shop/1", "on the backup"); status != 200 {
		t.Errorf("status %d from the backup server, want 200", status)
	}
	if err := extra[0].Restart(); err != nil {
		t.Fatal(err)
	}
	waitForServing("w1")
	// A call that is in progress in a pool at SIGTERM is answered.
	extra[3].SetScript(standin.Always(standin.Action{Delay: 300 * time.Millisecond}))
	var wg sync.WaitGroup
	wg.Go(func() {
		if status, _, _ := getPath(t, daemon.Addr, "a.partners.example", "/status-check/x", "at the end"); status != 200 {
			t.Errorf("status %d for the call in progress at SIGTERM, want 200", status)
		}
	})
	for deadline := time.Now().Add(30 * time.Second); site.Ledger.RequestCount("at the end").Attempts == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	if err := daemon.Stop(); err != nil {
		t.Error(err)
	}
	wg.Wait()
}

// Guards against one pool that blocks others: a pool whose servers are frozen holds at most its
// limit of 4 calls and refuses the rest early, and calls to another pool are served meanwhile.
func TestFrozenPoolDoesNotDelayOthers(t *testing.T) {
	site, extra, features := newPoolSite(t, filepath.Join(t.TempDir(), "s"))
	daemon, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	extra[3].Freeze()
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for n := range 20 {
		wg.Go(func() {
			c := standin.NewClient(daemon.Addr)
			defer c.Close()
			reply := c.Do(t.Context(), standin.ClientRequest{ID: fmt.Sprint("f", n), Class: standin.Class{Name: "status-check"}, Header: http.Header{"X-Partner": {"1"}}, Deadline: 3 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			if reply.Status == 503 && reply.Elapsed < 2*time.Second {
				refused++
			}
			if reply.Status == 0 {
				t.Errorf("no answer: %v", reply.Err)
			}
		})
	}
	for n := range 50 {
		if status, _, _ := getPath(t, daemon.Addr, "app", "/shop/x", fmt.Sprint("w", n)); status != 200 {
			t.Errorf("status %d from a pool beside a frozen one, want 200", status)
		}
	}
	wg.Wait()
	if refused < 16 {
		t.Errorf("%d of 20 calls refused, want at least 16 with a limit of 4", refused)
	}
	extra[3].Thaw()
}

// BenchmarkPoolsApart measures p50 and p99 of calls to a healthy pool, alternately alone and beside
// 50 calls per second to a pool whose server is frozen.
//
// go test ./internal/rig -run '^$' -bench PoolsApart -benchtime 1x
func BenchmarkPoolsApart(b *testing.B) {
	site, extra, features := newPoolSite(b, filepath.Join(b.TempDir(), "s"))
	daemon, err := site.StartDaemon(1, features)
	if err != nil {
		b.Fatal(err)
	}
	defer daemon.Stop()
	const rounds, calls = 5, 1500
	var ratios []float64
	timesByFrozen := make(map[bool][]time.Duration)
	for round := range rounds {
		var p99 [2]time.Duration
		for _, frozen := range []bool{false, true} {
			stop := make(chan struct{})
			var wg sync.WaitGroup
			if frozen {
				extra[3].Freeze()
				wg.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
						}
						wg.Go(func() {
							c := standin.NewClient(daemon.Addr)
							defer c.Close()
							c.Do(context.Background(), standin.ClientRequest{ID: fmt.Sprint("f", round, "-", n), Class: standin.Class{Name: "status-check"}, Header: http.Header{"X-Partner": {"1"}}, Deadline: time.Second})
						})
					}
				})
			}
			client := standin.NewClient(daemon.Addr)
			var all []time.Duration
			for n := range calls {
				reply := client.Do(context.Background(), standin.ClientRequest{ID: fmt.Sprint("h", round, frozen, n), Class: standin.Class{Name: "status-check"}, Deadline: 5 * time.Second})
				if reply.Status != 200 {
					b.Errorf("status %d from the healthy pool, %v", reply.Status, reply.Err)
				}
				all = append(all, reply.Elapsed)
				time.Sleep(500 * time.Microsecond)
			}
			client.Close()
			close(stop)
			extra[3].Thaw()
			wg.Wait()
			slices.Sort(all)
			timesByFrozen[frozen] = append(timesByFrozen[frozen], all...)
			p99[map[bool]int{false: 0, true: 1}[frozen]] = all[len(all)*99/100]
		}
		ratios = append(ratios, float64(p99[1])/float64(p99[0]))
	}
	for frozen, all := range timesByFrozen {
		slices.Sort(all)
		name := map[bool]string{false: "alone", true: "beside-frozen"}[frozen]
		b.ReportMetric(float64(all[len(all)/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), name+"-p99-us")
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[rounds/2], "p99-ratio")
	b.ReportMetric(0, "ns/op")
}

// Guards against an unbounded pool: with a queue, at most max_active calls are at its servers,
// waiting calls are sent as others end, and a call that finds the queue full is refused at once.
func TestPoolQueue(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, extra, features := newPoolSite(t, socket)
	features = strings.Replace(features, "max_held = 4\n", "max_active = 2\nmax_waiting = 3\nqueue_wait = \"1m\"\n", 1)
	daemon, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer daemon.Stop()
	extra[3].Freeze()
	var wg sync.WaitGroup
	statuses := make(chan int, 20)
	sendCall := func(id string) {
		wg.Go(func() {
			c := standin.NewClient(daemon.Addr)
			defer c.Close()
			statuses <- c.Do(t.Context(), standin.ClientRequest{ID: id, Class: standin.Class{Name: "status-check"}, Header: http.Header{"X-Partner": {"1"}}, Deadline: 19 * time.Second}).Status
		})
	}
	queueState := func() string {
		var poolStatuses []pools.Status
		if err := admin.Get(t.Context(), socket, "pools", &poolStatuses); err != nil {
			t.Fatal(err)
		}
		q := poolStatuses[1].Queue
		return fmt.Sprint(q.Active, " ", q.Waiting)
	}
	waitForQueue := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(15 * time.Second); queueState() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("active and waiting calls: %s, want %s", queueState(), want)
			}
		}
	}
	for n := range 5 {
		sendCall(fmt.Sprint("q", n))
	}
	waitForQueue("2 3")
	for n := range 5 {
		sendCall(fmt.Sprint("over", n))
	}
	for range 5 {
		if s := <-statuses; s != 503 {
			t.Errorf("status %d with a full queue, want 503", s)
		}
	}
	extra[3].Thaw()
	for range 5 {
		if s := <-statuses; s != 200 {
			t.Errorf("status %d for a call that waited, want 200", s)
		}
	}
	wg.Wait()
	waitForQueue("0 0")
}
