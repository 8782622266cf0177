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
	"chalkrack/internal/rig"
	"chalkrack/internal/rooms/pools"
	"chalkrack/internal/standin"
)

// pooled is a site with two pools of fixed servers beside the platform's, and routes in
// the shapes that sites have.
func pooled(t testing.TB, socket string) (site *rig.Site, extra []*standin.Server, features string) {
	t.Helper()
	site, err := rig.NewSite(rig.SiteConfig{Servers: 2, Classes: rig.Patient(), NoHedge: true})
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

// ask is a GET of a path at a host; redirects are not followed.
func askPath(t testing.TB, addr, host, path, id string) (status int, body string, h http.Header) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	r.Header.Set("Req-Id", id)
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header
}

// Requests go where the first route that matches says, are answered here where it says
// so, and to the platform's servers where none does; checks move a pool to its backup and
// back.
func TestRoutesAndPools(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, extra, features := pooled(t, socket)
	d, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	for n, c := range []struct {
		host, path string
		status     int
		says       string
		servers    string
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
		status, body, h := askPath(t, d.Addr, c.host, c.path, id)
		if status != c.status || !strings.Contains(body, c.says) || c.status == 301 && h.Get("Location") != "/status-check/new" {
			t.Errorf("%s%s: %d %q", c.host, c.path, status, body)
		}
		count := site.Ledger.ID(id)
		if (c.servers == "") != (count.Attempts == 0) {
			t.Errorf("%s%s: %+v", c.host, c.path, count)
		}
		for _, a := range site.Ledger.Log() {
			if a.ID == id && (!slices.Contains(strings.Fields(c.servers), a.Server) || a.Class != "status-check") {
				t.Errorf("%s%s went to %s as %s", c.host, c.path, a.Server, a.Class)
			}
		}
	}
	// An answer that a route gives to HEAD has no body: the next one follows at once.
	nc, err := net.Dial("tcp", d.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(30 * time.Second))
	br := bufio.NewReader(nc)
	for _, method := range []string{http.MethodHead, http.MethodGet} {
		fmt.Fprintf(nc, "%s /status-check/admin/x HTTP/1.1\r\nHost: app\r\nReq-Id: %s\r\n\r\n", method, method)
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil || resp.StatusCode != 403 {
			t.Fatalf("%s: %+v, %v", method, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	serving := func() string {
		var seen []pools.Status
		if err := admin.Get(t.Context(), socket, "pools", &seen); err != nil {
			t.Fatal(err)
		}
		var all []string
		for _, s := range seen[0].Servers {
			if s.Serving {
				all = append(all, s.Name)
			}
		}
		return strings.Join(all, " ")
	}
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); serving() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%q serve, want %q", serving(), want)
			}
		}
	}
	until("w1 w2")
	extra[0].Kill()
	until("w2")
	extra[1].Kill()
	until("spare")
	if status, _, _ := askPath(t, d.Addr, "app", "/shop/1", "on the backup"); status != 200 {
		t.Errorf("on the backup: %d", status)
	}
	if err := extra[0].Restart(); err != nil {
		t.Fatal(err)
	}
	until("w1")
	// SIGTERM with a call under way in a pool: it is answered.
	extra[3].Do(standin.Always(standin.Act{Delay: 300 * time.Millisecond}))
	var wg sync.WaitGroup
	wg.Go(func() {
		if status, _, _ := askPath(t, d.Addr, "a.partners.example", "/status-check/x", "at the end"); status != 200 {
			t.Errorf("under way at SIGTERM: %d", status)
		}
	})
	for end := time.Now().Add(30 * time.Second); site.Ledger.ID("at the end").Attempts == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
	wg.Wait()
}

// A pool whose servers are frozen takes no more than its bound and holds up no other.
func TestPoolsApart(t *testing.T) {
	site, extra, features := pooled(t, filepath.Join(t.TempDir(), "s"))
	d, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	extra[3].Freeze()
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for n := range 20 {
		wg.Go(func() {
			c := standin.NewClient(d.Addr)
			defer c.Close()
			r := c.Do(t.Context(), standin.Ask{ID: fmt.Sprint("f", n), Class: standin.Class{Name: "status-check"}, Header: http.Header{"X-Partner": {"1"}}, Deadline: 3 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			if r.Status == 503 && r.Took < 2*time.Second {
				refused++
			}
			if r.Status == 0 {
				t.Errorf("no answer: %v", r.Err)
			}
		})
	}
	for n := range 50 {
		if status, _, _ := askPath(t, d.Addr, "app", "/shop/x", fmt.Sprint("w", n)); status != 200 {
			t.Errorf("beside a frozen pool: %d", status)
		}
	}
	wg.Wait()
	if refused < 16 {
		t.Errorf("%d of 20 calls refused at a bound of 4", refused)
	}
	extra[3].Thaw()
}

// BenchmarkPoolsApart is p50 and p99 of a call to a healthy pool alone, and beside 50
// calls a second to one whose server is frozen, in turns.
// go test ./internal/rig -run '^$' -bench PoolsApart -benchtime 1x
func BenchmarkPoolsApart(b *testing.B) {
	site, extra, features := pooled(b, filepath.Join(b.TempDir(), "s"))
	d, err := site.StartDaemon(1, features)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	const rounds, calls = 5, 1500
	var ratios []float64
	took := make(map[bool][]time.Duration)
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
							c := standin.NewClient(d.Addr)
							defer c.Close()
							c.Do(context.Background(), standin.Ask{ID: fmt.Sprint("f", round, "-", n), Class: standin.Class{Name: "status-check"}, Header: http.Header{"X-Partner": {"1"}}, Deadline: time.Second})
						})
					}
				})
			}
			client := standin.NewClient(d.Addr)
			var all []time.Duration
			for n := range calls {
				r := client.Do(context.Background(), standin.Ask{ID: fmt.Sprint("h", round, frozen, n), Class: standin.Class{Name: "status-check"}, Deadline: 5 * time.Second})
				if r.Status != 200 {
					b.Errorf("%d, %v", r.Status, r.Err)
				}
				all = append(all, r.Took)
				time.Sleep(500 * time.Microsecond)
			}
			client.Close()
			close(stop)
			extra[3].Thaw()
			wg.Wait()
			slices.Sort(all)
			took[frozen] = append(took[frozen], all...)
			p99[map[bool]int{false: 0, true: 1}[frozen]] = all[len(all)*99/100]
		}
		ratios = append(ratios, float64(p99[1])/float64(p99[0]))
	}
	for frozen, all := range took {
		slices.Sort(all)
		name := map[bool]string{false: "alone", true: "beside-frozen"}[frozen]
		b.ReportMetric(float64(all[len(all)/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), name+"-p99-us")
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[rounds/2], "p99-ratio")
	b.ReportMetric(0, "ns/op")
}

// A pool with a queue has no more at its servers than it may; what waits goes as places
// come free, and what finds the line full is told at once to come back.
func TestPoolQueue(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	site, extra, features := pooled(t, socket)
	features = strings.Replace(features, "max_held = 4\n", "max_active = 2\nmax_waiting = 3\nqueue_wait = \"1m\"\n", 1)
	d, err := site.StartDaemon(1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	extra[3].Freeze()
	var wg sync.WaitGroup
	statuses := make(chan int, 20)
	ask := func(id string) {
		wg.Go(func() {
			c := standin.NewClient(d.Addr)
			defer c.Close()
			statuses <- c.Do(t.Context(), standin.Ask{ID: id, Class: standin.Class{Name: "status-check"}, Header: http.Header{"X-Partner": {"1"}}, Deadline: 19 * time.Second}).Status
		})
	}
	queue := func() string {
		var seen []pools.Status
		if err := admin.Get(t.Context(), socket, "pools", &seen); err != nil {
			t.Fatal(err)
		}
		q := seen[1].Queue
		return fmt.Sprint(q.Active, " ", q.Waiting)
	}
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); queue() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("active and waiting: %s, want %s", queue(), want)
			}
		}
	}
	for n := range 5 {
		ask(fmt.Sprint("q", n))
	}
	until("2 3")
	for n := range 5 {
		ask(fmt.Sprint("over", n))
	}
	for range 5 {
		if s := <-statuses; s != 503 {
			t.Errorf("at a full line: %d", s)
		}
	}
	extra[3].Thaw()
	for range 5 {
		if s := <-statuses; s != 200 {
			t.Errorf("one that waited: %d", s)
		}
	}
	wg.Wait()
	until("0 0")
}
