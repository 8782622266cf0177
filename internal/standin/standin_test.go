package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 20 * time.Second

func newServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	s, err := NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// waitFor waits until condition holds and fails the test with a message if it doesn't in time.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

var checkClass, activateClass, registerClass = Class{Name: "check"}, Class{Name: "activate", Effect: Unsafe}, Class{Name: "register", Effect: Keyed}

// A server that answers differently from its script, or counts a request that didn't run, makes
// every test that relies on it wrong. Each action is checked at the client and in the ledger.
func TestEachActionOnTheWireAndInTheLedger(t *testing.T) {
	for _, want := range []struct {
		action            Action
		verdict           string
		attempts, effects int
	}{
		{Action{}, "served", 1, 1},
		{Action{Delay: time.Millisecond, Body: "x"}, "served", 1, 1},
		{Action{Kind: Fail}, "failed", 1, 1},
		{Action{Kind: Decline}, "refused", 1, 0},
		{Action{Kind: Deny, Status: 404}, "failed", 1, 0},
		{Action{Kind: ResetEarly}, "none", 0, 0},
		{Action{Kind: ResetLate}, "none", 1, 1},
		{Action{Kind: CloseLate}, "none", 1, 1},
		{Action{Kind: Silence}, "none", 1, 1},
		{Action{Kind: Noise}, "none", 1, 1},
		{Action{Kind: EndlessHead}, "none", 1, 1},
		{Action{Kind: ShortBody}, "none", 1, 1},
		{Action{Kind: StopBody}, "none", 1, 1},
		{Action{Kind: Excess}, "served", 1, 1},
		{Action{Kind: Oversize}, "none", 1, 1},
	} {
		t.Run(want.action.Kind.String(), func(t *testing.T) {
			t.Parallel()
			s := newServer(t, ServerConfig{Script: Always(want.action)})
			client := NewClient(s.Addr())
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if want.verdict == "none" && want.attempts > 0 { // some of these answers never end
				go func() {
					for ctx.Err() == nil && s.Ledger().RequestCount("1").Effects == 0 {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			reply := client.Do(ctx, ClientRequest{ID: "1", Class: activateClass, Body: "body"})
			if reply.Verdict() != want.verdict || s.Ledger().RequestCount("1") != (Count{want.attempts, want.effects}) || s.Ledger().ClassCount("activate") != s.Ledger().RequestCount("1") {
				t.Errorf("the client got %+v, the ledger has %+v", reply, s.Ledger().RequestCount("1"))
			}
		})
	}
}

// A repeat of a key takes no effect at any server of the fleet within the window, and takes effect
// after it. Without that, tests would miss repeats or report false ones.
func TestKeysAreRememberedForTheirWindow(t *testing.T) {
	for window, effects := range map[time.Duration]int{time.Hour: 1, 1: 3} {
		ledger := NewLedger(window)
		a, b := newServer(t, ServerConfig{Ledger: ledger}), newServer(t, ServerConfig{Ledger: ledger})
		for _, s := range []*Server{a, b, b} {
			client := NewClient(s.Addr())
			client.Do(context.Background(), ClientRequest{ID: "1", Class: registerClass, Key: "k"})
			client.Close()
		}
		if c := ledger.RequestCount("1"); c != (Count{3, effects}) {
			t.Errorf("window %v: the ledger has %+v", window, c)
		}
		if arrivals := ledger.Arrivals(); len(arrivals) != 3 || arrivals[2].AttemptNumber != 3 || !strings.Contains(ledger.String(), "1: 3 attempts") {
			t.Errorf("the arrivals are %+v", arrivals)
		}
	}
}

// The choice of a random action depends on nothing but the seed, the request's id and the attempt's
// number; otherwise a failing test could not be repeated.
func TestRandomActionsDependOnSeedRequestAndAttempt(t *testing.T) {
	draw := func(seed uint64) (all string) {
		s := Random(seed, WeightedAction{0.3, Action{Kind: Fail}}, WeightedAction{0.3, Action{Kind: Decline}})
		for n := range 200 {
			all += fmt.Sprint(int(s(Request{ID: fmt.Sprint(n % 50), AttemptNumber: n / 50}).Kind))
		}
		return all
	}
	if one := draw(1); one != draw(1) || one == draw(2) {
		t.Error("the choices don't follow from the seed")
	}
	if n := strings.Count(draw(1), "1"); n < 40 || n > 80 {
		t.Errorf("%d of 200 fail, expected about 60", n)
	}
	s := ByClass(map[string]Script{"a": Sequence(Action{Kind: Fail}, Action{Kind: Decline})})
	if s(Request{Class: "a", AttemptNumber: 1}).Kind != Fail || s(Request{Class: "a", AttemptNumber: 7}).Kind != Decline || s(Request{Class: "b", AttemptNumber: 1}).Kind != Serve {
		t.Error("the action is not that of the class and the attempt's number")
	}
}

// A server answers nothing while frozen, declines while draining, refuses connections once killed,
// and serves again after a restart.
func TestFreezeKillRestartDrain(t *testing.T) {
	s := newServer(t, ServerConfig{})
	client := NewClient(s.Addr())
	defer client.Close()
	askWithin := func(timeout time.Duration) string {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return client.Do(ctx, ClientRequest{ID: "1", Class: checkClass}).Verdict()
	}
	s.Freeze()
	if verdict := askWithin(50 * time.Millisecond); verdict != "none" {
		t.Errorf("frozen: the verdict is %s, expected none", verdict)
	}
	s.Thaw()
	if verdict := askWithin(testTimeout); verdict != "served" {
		t.Errorf("thawed: the verdict is %s, expected served", verdict)
	}
	s.Drain()
	if verdict := askWithin(testTimeout); verdict != "refused" {
		t.Errorf("draining: the verdict is %s, expected refused", verdict)
	}
	if arrivals := s.Ledger().Arrivals(); arrivals[len(arrivals)-1].DrainingFor <= 0 {
		t.Error("the arrival is not recorded as draining")
	}
	s.Kill()
	if verdict := askWithin(testTimeout); verdict != "none" || s.Up() {
		t.Errorf("killed: the verdict is %s, expected none from a server that is down", verdict)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	if verdict := askWithin(testTimeout); verdict != "served" || !s.Up() {
		t.Errorf("restarted: the verdict is %s, expected served by a server that is up", verdict)
	}
}

// A cold server that receives far more than its rate stops and stays down, while a warm one only
// gets slow. Without that, tests of cold starts would pass under any load.
func TestColdServerFallsOverWhenOverloaded(t *testing.T) {
	warm := newServer(t, ServerConfig{RequestsPerSecond: 10000, FallFactor: 2, FallFor: 10 * time.Millisecond})
	client := NewClient(warm.Addr())
	defer client.Close()
	for n := range 100 {
		client.Do(context.Background(), ClientRequest{ID: fmt.Sprint(n), Class: checkClass})
	}
	if warm.Fallen() {
		t.Error("the warm server stopped")
	}
	cold := newServer(t, ServerConfig{RequestsPerSecond: 10, ColdShare: 0.1, WarmUpTime: time.Hour, FallFactor: 2, FallFor: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cold.cfg.FallFactor = 2 / time.Hour.Seconds() // two requests an hour, so timing doesn't matter
	for n := range 10 {
		go NewClient(cold.Addr()).Do(ctx, ClientRequest{ID: fmt.Sprint(n), Class: checkClass})
	}
	waitFor(t, "the cold server did not stop", cold.Fallen)
	if cold.Up() {
		t.Error("the cold server is up after it fell")
	}
	now := cold.StartTime()
	if share := cold.rateShare(now.Add(30 * time.Minute)); share < 0.5 || share > 0.6 {
		t.Errorf("half way through the warm-up the share of the rate is %v", share)
	}
}

// openCatalog sends a request to discovery and returns a function that reads the next listing, with
// Index -1 once the connection has ended.
func openCatalog(t *testing.T, d *Discovery, query string) (next func() catalogListing, conn net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "GET /catalog/members%s HTTP/1.1\r\nHost: d\r\n\r\n", query)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(resp.Body)
	return func() (listing catalogListing) {
		t.Helper()
		for {
			text, err := reader.ReadString('\n')
			if len(strings.TrimSpace(text)) > 0 {
				if err := json.Unmarshal([]byte(text), &listing); err != nil {
					t.Fatal(err)
				}
				return listing
			}
			if err != nil {
				return catalogListing{Index: -1}
			}
		}
	}, conn
}

// A watcher gets a snapshot and then each change, except those that are dropped or delayed on
// purpose; a move refuses new connections and an outage ends the watches.
func TestDiscoverySnapshotsChangesAndFailures(t *testing.T) {
	a, b := Endpoint{Name: "a", Status: "up"}, Endpoint{Name: "b", Status: "up"}
	d, err := NewDiscovery(a)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.heartbeatInterval = 20 * time.Millisecond
	next, _ := openCatalog(t, d, "?watch=1")
	if listing := next(); !listing.Snapshot || len(listing.Endpoints) != 1 || listing.Index != 1 {
		t.Errorf("the first listing is %+v", listing)
	}
	waitFor(t, "the watch was not opened", func() bool { return d.OpenWatches() == 1 })
	d.Change(b)
	if listing := next(); listing.Snapshot || len(listing.Endpoints) != 1 || listing.Endpoints[0] != b || listing.Index != 2 {
		t.Errorf("after a change: %+v", listing)
	}
	d.DropChanges(1)
	a.Status = "draining"
	d.Change(a)
	b.Status = "removed"
	d.Change(b)
	if listing := next(); len(listing.Endpoints) != 1 || listing.Endpoints[0].Status != "removed" {
		t.Errorf("after a dropped change: %+v", listing)
	}
	if listing, _ := openCatalog(t, d, ""); listing().Endpoints[0].Status != "draining" {
		t.Error("the snapshot lacks the dropped change")
	}
	if listing, _ := openCatalog(t, d, "?watch=1&after=3"); listing().Index != 4 {
		t.Error("the watch does not resume after its index")
	}
	d.SetDelay(50 * time.Millisecond)
	start := time.Now()
	d.Change(b)
	if next(); time.Since(start) < 50*time.Millisecond {
		t.Error("the change was not delayed")
	}
	old := d.Addr()
	if err := d.Move(); err != nil || d.Addr() == old {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", old); err == nil {
		t.Error("the old address takes connections")
	}
	d.SetDown(true)
	if listing := next(); listing.Index != -1 {
		t.Errorf("down: got %+v, expected the end of the connection", listing)
	}
	resp, err := http.Get("http://" + d.Addr() + "/catalog/members")
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("down: got %v and error %v, expected status 503", resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	waitFor(t, "the watch was not closed", func() bool { return d.OpenWatches() == 0 })
}

// Two mixes of the same seed give the same requests, each id once, in the shares of the classes;
// otherwise a failing test could not be repeated.
func TestMixRepeatsTheRequestsOfItsSeed(t *testing.T) {
	drawRequests := func() (all []ClientRequest) {
		m := NewMix(4, Class{Name: "a", Share: 3}, Class{Name: "b", Effect: Keyed, Share: 1, BodySize: 5})
		for range 400 {
			all = append(all, m.Next())
		}
		return all
	}
	first, second := drawRequests(), drawRequests()
	seen, keyed := make(map[string]bool), 0
	for n := range first {
		if first[n].ID != second[n].ID || first[n].Key != second[n].Key || seen[first[n].ID] {
			t.Fatal("the requests differ between runs or an id came twice")
		}
		seen[first[n].ID] = true
		if first[n].Key != "" {
			keyed++
		}
	}
	if keyed < 70 || keyed > 130 {
		t.Errorf("%d of 400 are keyed, expected about 100", keyed)
	}
}

// Each server listens on its own host. On a shared one the system can give the port of a stopped
// server to another that starts in the meantime, and the first can't restart.
func TestServersHaveHostsOfTheirOwn(t *testing.T) {
	hosts := make(map[string]bool)
	for range 300 {
		s, err := NewServer(ServerConfig{})
		if err != nil {
			t.Fatal(err)
		}
		host, _, err := net.SplitHostPort(s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
		if hosts[host] {
			t.Fatalf("host %s was given a second time, after %d servers", host, len(hosts))
		}
		hosts[host] = true
	}
}
