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

const patience = 20 * time.Second

func newServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	s, err := NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func settle(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

var check, activate, register = Class{Name: "check"}, Class{Name: "activate", Effect: Unsafe}, Class{Name: "register", Effect: Keyed}

// Each act is what it says on the wire, and counts as it says.
func TestActs(t *testing.T) {
	for _, c := range []struct {
		act               Act
		verdict           string
		attempts, effects int
	}{
		{Act{}, "served", 1, 1},
		{Act{Delay: time.Millisecond, Body: "x"}, "served", 1, 1},
		{Act{Kind: Fail}, "failed", 1, 1},
		{Act{Kind: Decline}, "refused", 1, 0},
		{Act{Kind: Deny, Status: 404}, "failed", 1, 0},
		{Act{Kind: ResetEarly}, "none", 0, 0},
		{Act{Kind: ResetLate}, "none", 1, 1},
		{Act{Kind: CloseLate}, "none", 1, 1},
		{Act{Kind: Silence}, "none", 1, 1},
		{Act{Kind: Noise}, "none", 1, 1},
		{Act{Kind: EndlessHead}, "none", 1, 1},
		{Act{Kind: ShortBody}, "none", 1, 1},
		{Act{Kind: StopBody}, "none", 1, 1},
		{Act{Kind: Excess}, "served", 1, 1},
		{Act{Kind: Oversize}, "none", 1, 1},
	} {
		t.Run(c.act.Kind.String(), func(t *testing.T) {
			t.Parallel()
			s := newServer(t, ServerConfig{Script: Always(c.act)})
			cl := NewClient(s.Addr())
			defer cl.Close()
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			if c.verdict == "none" && c.attempts > 0 { // some never end by themselves
				go func() {
					for ctx.Err() == nil && s.Ledger().ID("1").Effects == 0 {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			r := cl.Do(ctx, Ask{ID: "1", Class: activate, Body: "body"})
			if r.Verdict() != c.verdict || s.Ledger().ID("1") != (Count{c.attempts, c.effects}) || s.Ledger().Class("activate") != s.Ledger().ID("1") {
				t.Errorf("%+v, %+v", r, s.Ledger().ID("1"))
			}
		})
	}
}

// Keys are remembered for their window, by all of a fleet alike.
func TestKeys(t *testing.T) {
	for window, effects := range map[time.Duration]int{time.Hour: 1, 1: 3} {
		l := NewLedger(window)
		a, b := newServer(t, ServerConfig{Ledger: l}), newServer(t, ServerConfig{Ledger: l})
		for _, s := range []*Server{a, b, b} {
			cl := NewClient(s.Addr())
			cl.Do(context.Background(), Ask{ID: "1", Class: register, Key: "k"})
			cl.Close()
		}
		if c := l.ID("1"); c != (Count{3, effects}) {
			t.Errorf("with %v: %+v", window, c)
		}
		if log := l.Log(); len(log) != 3 || log[2].Nth != 3 || !strings.Contains(l.String(), "1: 3 attempts") {
			t.Errorf("%+v", log)
		}
	}
}

// Chance comes from the seed, the request and its attempt alone.
func TestRandom(t *testing.T) {
	draw := func(seed uint64) (all string) {
		s := Random(seed, Odd{0.3, Act{Kind: Fail}}, Odd{0.3, Act{Kind: Decline}})
		for n := range 200 {
			all += fmt.Sprint(int(s(Request{ID: fmt.Sprint(n % 50), Nth: n / 50}).Kind))
		}
		return all
	}
	if one := draw(1); one != draw(1) || one == draw(2) {
		t.Error("not by its seed")
	}
	if n := strings.Count(draw(1), "1"); n < 40 || n > 80 {
		t.Errorf("%d of 200 fail, 60 are meant to", n)
	}
	s := ByClass(map[string]Script{"a": Nth(Act{Kind: Fail}, Act{Kind: Decline})})
	if s(Request{Class: "a", Nth: 1}).Kind != Fail || s(Request{Class: "a", Nth: 7}).Kind != Decline || s(Request{Class: "b", Nth: 1}).Kind != Serve {
		t.Error("by class and number")
	}
}

func TestFreezeKillRestartDrain(t *testing.T) {
	s := newServer(t, ServerConfig{})
	cl := NewClient(s.Addr())
	defer cl.Close()
	ask := func(within time.Duration) string {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		return cl.Do(ctx, Ask{ID: "1", Class: check}).Verdict()
	}
	s.Freeze()
	if v := ask(50 * time.Millisecond); v != "none" {
		t.Errorf("frozen: %s", v)
	}
	s.Thaw()
	if v := ask(patience); v != "served" {
		t.Errorf("thawed: %s", v)
	}
	s.Drain()
	if v := ask(patience); v != "refused" {
		t.Errorf("draining: %s", v)
	}
	if log := s.Ledger().Log(); log[len(log)-1].Draining <= 0 {
		t.Error("that it drains is not written down")
	}
	s.Kill()
	if v := ask(patience); v != "none" || s.Up() {
		t.Errorf("killed: %s", v)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	if v := ask(patience); v != "served" || !s.Up() {
		t.Errorf("again: %s", v)
	}
}

// A cold server that is sent far more than it can do falls over and stays down; one
// that is warm only gets slow.
func TestCold(t *testing.T) {
	warm := newServer(t, ServerConfig{Rate: 10000, FallFactor: 2, FallFor: 10 * time.Millisecond})
	cl := NewClient(warm.Addr())
	defer cl.Close()
	for n := range 100 {
		cl.Do(context.Background(), Ask{ID: fmt.Sprint(n), Class: check})
	}
	if warm.Fallen() {
		t.Error("a warm one fell")
	}
	s := newServer(t, ServerConfig{Rate: 10, Cold: 0.1, WarmIn: time.Hour, FallFactor: 2, FallFor: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.cfg.FallFactor = 2 / time.Hour.Seconds() // two in an hour, so that no clock counts
	for n := range 10 {
		go NewClient(s.Addr()).Do(ctx, Ask{ID: fmt.Sprint(n), Class: check})
	}
	settle(t, "it stands", s.Fallen)
	if s.Up() {
		t.Error("it is up")
	}
	now := s.Started()
	if w := s.warmth(now.Add(30 * time.Minute)); w < 0.5 || w > 0.6 {
		t.Errorf("half way it has %v", w)
	}
}

func lines(t *testing.T, d *Discovery, query string) (next func() listing, c net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "GET /catalog/members%s HTTP/1.1\r\nHost: d\r\n\r\n", query)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(resp.Body)
	return func() (l listing) {
		t.Helper()
		for {
			text, err := br.ReadString('\n')
			if len(strings.TrimSpace(text)) > 0 {
				if err := json.Unmarshal([]byte(text), &l); err != nil {
					t.Fatal(err)
				}
				return l
			}
			if err != nil {
				return listing{Index: -1}
			}
		}
	}, c
}

func TestDiscovery(t *testing.T) {
	a, b := Endpoint{Name: "a", Status: "up"}, Endpoint{Name: "b", Status: "up"}
	d, err := NewDiscovery(a)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.beat = 20 * time.Millisecond
	next, _ := lines(t, d, "?watch=1")
	if l := next(); !l.Snapshot || len(l.Endpoints) != 1 || l.Index != 1 {
		t.Errorf("at first %+v", l)
	}
	settle(t, "nobody watches", func() bool { return d.Watching() == 1 })
	d.Change(b)
	if l := next(); l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0] != b || l.Index != 2 {
		t.Errorf("a change: %+v", l)
	}
	d.Lose(1)
	a.Status = "draining"
	d.Change(a)
	b.Status = "removed"
	d.Change(b)
	if l := next(); len(l.Endpoints) != 1 || l.Endpoints[0].Status != "removed" {
		t.Errorf("after one that is lost: %+v", l)
	}
	if l, _ := lines(t, d, ""); l().Endpoints[0].Status != "draining" {
		t.Error("the whole list does not have what was lost")
	}
	if l, _ := lines(t, d, "?watch=1&after=3"); l().Index != 4 {
		t.Error("what came after")
	}
	d.Lag(50 * time.Millisecond)
	began := time.Now()
	d.Change(b)
	if next(); time.Since(began) < 50*time.Millisecond {
		t.Error("no lag")
	}
	old := d.Addr()
	if err := d.Move(); err != nil || d.Addr() == old {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", old); err == nil {
		t.Error("the old address takes connections")
	}
	d.Down(true)
	if l := next(); l.Index != -1 {
		t.Errorf("down: %+v", l)
	}
	resp, err := http.Get("http://" + d.Addr() + "/catalog/members")
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("down: %v %v", resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	settle(t, "a watch stays", func() bool { return d.Watching() == 0 })
}

func TestMix(t *testing.T) {
	take := func() (all []Ask) {
		m := NewMix(4, Class{Name: "a", Share: 3}, Class{Name: "b", Effect: Keyed, Share: 1, BodySize: 5})
		for range 400 {
			all = append(all, m.Next())
		}
		return all
	}
	one, two := take(), take()
	seen, keyed := make(map[string]bool), 0
	for n := range one {
		if one[n].ID != two[n].ID || one[n].Key != two[n].Key || seen[one[n].ID] {
			t.Fatal("not the same ones, each once")
		}
		seen[one[n].ID] = true
		if one[n].Key != "" {
			keyed++
		}
	}
	if keyed < 70 || keyed > 130 {
		t.Errorf("%d of 400 keyed, 100 are meant to be", keyed)
	}
}

// Each server listens at a host of its own. At a shared one the port of a server that is down can
// be given to another that starts meanwhile, and the first can't be restarted.
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
			t.Fatalf("%s is given a second time, after %d servers", host, len(hosts))
		}
		hosts[host] = true
	}
}
